/**
 * @file fleet.h
 * The entry hosts and requests to all of them at once.
 */
#ifndef SNIPE_CTL_FLEET_H
#define SNIPE_CTL_FLEET_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include "ctl/table.h"

struct snipe_fleet_host
{
  char *name;    /**< from the table, else the address */
  char *address; /**< "ip:port" of its HTTP interface */
  bool skip;     /**< snipe_fleet_get () leaves it out */
  int result;    /**< of the last request, 0 or a result code */
  char *message; /**< of a failure, else NULL */
  json_t *reply; /**< of the last request, NULL on failure */
};

struct snipe_fleet
{
  struct snipe_fleet_host *hosts;
  uint32_t count;
};

/** Takes the hosts from a list "ip:port,...". */
void snipe_fleet_parse (struct snipe_fleet *out, const char *addresses);
/** Takes the hosts from the table's rows entry/...; of rows with the same
 * address only the newest counts. */
int snipe_fleet_load (struct snipe_fleet *out,
                      const struct snipe_table *table);
/**
 * Requests GET @p path of every host, up to 64 at a time.
 * @param timeout_ms of each request
 */
void snipe_fleet_get (struct snipe_fleet *fleet, const char *path,
                      int64_t timeout_ms);
void snipe_fleet_clear (struct snipe_fleet *fleet);

#endif
