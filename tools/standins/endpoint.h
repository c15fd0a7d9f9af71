/**
 * @file endpoint.h
 * One simulated endpoint: an HTTP server for POST /run on a port of its own,
 * with modes that simulate faults. Thread-safe.
 */
#ifndef STANDINS_ENDPOINT_H
#define STANDINS_ENDPOINT_H

#include <jansson.h>
#include <stdint.h>
#include "snipe/clock.h"
#include "starts.h"

enum endpoint_mode
{
  ENDPOINT_OK,
  ENDPOINT_FAIL,   /**< starts the task, replies 500 at once */
  ENDPOINT_DEAD,   /**< port closed, running tasks aborted */
  ENDPOINT_FREEZE, /**< starts the task, replies when the mode changes */
  ENDPOINT_SLOW,   /**< tasks take `factor` times as long */
  ENDPOINT_REFUSE, /**< rejects every task as "full" */
  ENDPOINT_LEAVE,  /**< draining: rejects every task as "leaving" */
  ENDPOINT_LATE,   /**< frees the slot in time, replies `factor` times later */
  ENDPOINT_CUT,    /**< starts the task, closes the connection */
  ENDPOINT_MODES
};

struct endpoint;

struct endpoint_options
{
  const char *name;
  const char *listen;
  uint32_t slots;
  uint32_t connections;
  double speed;
  snipe_time latency; /**< one way */
  struct starts *starts;
};

struct endpoint_counts
{
  uint64_t starts;
  uint64_t answers;
  uint64_t rejected;
  uint64_t running;
  uint64_t requests_while_draining; /**< start requests */
  /** Time from the start of draining to the last of these requests. */
  snipe_time last_request_while_draining;
};

struct endpoint *endpoint_new (const struct endpoint_options *options);
/** Closes the port and aborts running tasks; the object stays valid and can be
 * opened again by endpoint_set_mode (). */
void endpoint_close (struct endpoint *endpoint);
const char *endpoint_name (const struct endpoint *endpoint);
const char *endpoint_address (const struct endpoint *endpoint);
double endpoint_speed (const struct endpoint *endpoint);
enum endpoint_mode endpoint_mode (struct endpoint *endpoint);
/** @return 0, or -1 if the port cannot be reopened. */
int endpoint_set_mode (struct endpoint *endpoint, enum endpoint_mode mode,
                       double factor);
void endpoint_counts (struct endpoint *endpoint, struct endpoint_counts *out);
/** Sets all counts but `running` to 0. */
void endpoint_reset_counts (struct endpoint *endpoint);
const char *endpoint_mode_name (enum endpoint_mode mode);
/** @return ENDPOINT_MODES if @p name is no mode. */
enum endpoint_mode endpoint_mode_parse (const char *name);

#endif
