/**
 * @file ctl.h
 * Subcommands of snipectl. Each prints to the streams of its context and
 * returns the exit code of the program, enum snipe_ctl_exit.
 */
#ifndef SNIPE_CTL_CTL_H
#define SNIPE_CTL_CTL_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include "ctl/fleet.h"
#include "ctl/table.h"
#include "snipe/rules.h"
#include "snipe/str.h"

enum snipe_ctl_exit
{
  SNIPE_CTL_OK = 0,
  SNIPE_CTL_FAILED = 1,
  SNIPE_CTL_USAGE = 2,
  SNIPE_CTL_CONFLICT = 3,     /**< another version is published */
  SNIPE_CTL_NOT_IN_FORCE = 4, /**< accepted, not in force on every host */
};

/** Settings and streams of a subcommand. */
struct snipe_ctl
{
  const char *platform;       /**< "http://ip:port", NULL: none */
  const char *hosts;          /**< "ip:port,...", NULL: from the table */
  const char *publisher;      /**< name of the publisher */
  int64_t timeout_ms;         /**< of each request */
  int64_t wait_ms;            /**< longest wait for a version to be in force */
  int64_t confirm_timeout_ms; /**< longest time to find out whether the
                                 platform accepted a publication */
  int64_t if_version;         /**< version to replace, -1: the current one */
  bool json;
  FILE *out;
  FILE *err;
};

int snipe_ctl_rules_check (const struct snipe_ctl *ctl, const char *file);
int snipe_ctl_rules_diff (const struct snipe_ctl *ctl, const char *file);
int snipe_ctl_rules_show (const struct snipe_ctl *ctl);
int snipe_ctl_rules_publish (const struct snipe_ctl *ctl, const char *file);
int snipe_ctl_status (const struct snipe_ctl *ctl);
/** @param host name or "ip:port" */
int snipe_ctl_drain (const struct snipe_ctl *ctl, const char *host);
int snipe_ctl_metrics (const struct snipe_ctl *ctl, const char *host);
int snipe_ctl_explain (const struct snipe_ctl *ctl, const char *job);

/** Contents of the row "rules" of the platform's table. */
struct snipe_ctl_published
{
  uint64_t version; /**< 0: never published */
  struct snipe_str text;
  struct snipe_str publisher;
  struct snipe_str published_at;
  struct snipe_str operation_id;
};

/** Helpers shared by the subcommands. */
struct snipe_table snipe_ctl_table (const struct snipe_ctl *ctl);
/** Prints the last error message on the error stream.
 * @param subject what failed, printed before the message
 * @return SNIPE_CTL_FAILED */
int snipe_ctl_fail (const struct snipe_ctl *ctl, const char *subject);
/** Prints JSON and a newline on the output stream. */
void snipe_ctl_print_json (const struct snipe_ctl *ctl, const json_t *json);
/** Members of an object in a host's reply; "-", 0 or false if absent. */
const char *snipe_ctl_json_text (const json_t *object, const char *name);
long long snipe_ctl_json_number (const json_t *object, const char *name);
bool snipe_ctl_json_flag (const json_t *object, const char *name);
/** Reads and parses a rules file, "-" for standard input. */
int snipe_ctl_rules_load (struct snipe_rules **out, const char *file);
/** Reads the row; if it is absent, version is 0 and the text empty. */
int snipe_ctl_published_get (struct snipe_ctl_published *out,
                             const struct snipe_ctl *ctl);
void snipe_ctl_published_clear (struct snipe_ctl_published *row);
/** Loads the hosts given by --hosts, else those in the platform's table. */
int snipe_ctl_fleet_load (struct snipe_fleet *out,
                          const struct snipe_ctl *ctl);

/**
 * Polls the hosts of @p fleet until @p version or a later one is in force on
 * each, for up to --wait; prints progress on the error stream. Sets skip of
 * the hosts that have it.
 * @return whether all have it.
 */
bool snipe_ctl_in_force_wait (const struct snipe_ctl *ctl,
                              struct snipe_fleet *fleet, uint64_t version);
/** Prints "in force on: ..." and "not yet on: ...". */
void snipe_ctl_in_force_print (const struct snipe_ctl *ctl,
                               const struct snipe_fleet *fleet);
/** Adds the same lists to an object, as "in_force" and "not_yet". */
void snipe_ctl_in_force_json (json_t *out, const struct snipe_fleet *fleet);

#endif
