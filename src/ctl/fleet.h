/**
 * @file fleet.h
 * The entry hosts, and requests to all of them in parallel.
 */
#ifndef SNIPE_CTL_FLEET_H
#define SNIPE_CTL_FLEET_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include "ctl/table.h"

struct snipe_fleet_host
{
  char *name;    /**< name in the table; without the table, the address */
  char *address; /**< "ip:port" of its HTTP interface */
  bool skip;     /**< not requested by snipe_fleet_get () */
  int result;    /**< of the last request: 0 or an error code */
  char *message; /**< error message of the last request, or NULL */
  json_t *reply; /**< of the last request, NULL on failure */
};

struct snipe_fleet
{
  struct snipe_fleet_host *hosts;
  uint32_t count;
};

/** Parses a list "ip:port,...". */
void snipe_fleet_parse (struct snipe_fleet *out, const char *addresses);
/** Reads the hosts from the table's rows entry/...; of rows with the same
 * address only the one with the highest version is used. */
int snipe_fleet_load (struct snipe_fleet *out,
                      const struct snipe_table *table);
/**
 * Sends GET @p path to every host whose skip is unset, on the calling thread
 * and up to 64 others.
 * @param timeout_ms of each request
 */
void snipe_fleet_get (struct snipe_fleet *fleet, const char *path,
                      int64_t timeout_ms);
void snipe_fleet_clear (struct snipe_fleet *fleet);

#endif
