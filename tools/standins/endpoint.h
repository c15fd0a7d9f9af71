/**
 * @file endpoint.h
 * One endpoint of the stand-in: POST /run on a port of its own, with modes
 * that act out faults. Thread-safe.
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
  ENDPOINT_FAIL,   /**< starts, answers 500 at once */
  ENDPOINT_DEAD,   /**< port closed, running tasks gone */
  ENDPOINT_FREEZE, /**< starts, answers when the mode changes */
  ENDPOINT_SLOW,   /**< tasks take `factor` times longer */
  ENDPOINT_REFUSE, /**< always full */
  ENDPOINT_LEAVE,  /**< refuses new work as leaving */
  ENDPOINT_LATE,   /**< slot free in time, answer `factor` times later */
  ENDPOINT_CUT,    /**< starts, closes the connection without an answer */
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
  uint64_t refused;
  uint64_t running;
  uint64_t after_leave;      /**< start requests while leaving */
  snipe_time after_leave_us; /**< time from leaving to the last of them */
};

struct endpoint *endpoint_new (const struct endpoint_options *options);
/** Closes the port and drops running tasks; the object stays valid. */
void endpoint_close (struct endpoint *endpoint);
const char *endpoint_name (const struct endpoint *endpoint);
const char *endpoint_address (const struct endpoint *endpoint);
double endpoint_speed (const struct endpoint *endpoint);
enum endpoint_mode endpoint_mode (struct endpoint *endpoint);
/** @return 0, or -1 if the port cannot be opened again. */
int endpoint_set_mode (struct endpoint *endpoint, enum endpoint_mode mode,
                       double factor);
void endpoint_counts (struct endpoint *endpoint, struct endpoint_counts *out);
void endpoint_reset (struct endpoint *endpoint);
const char *endpoint_mode_name (enum endpoint_mode mode);
/** @return ENDPOINT_MODES if unknown. */
enum endpoint_mode endpoint_mode_parse (const char *name);

#endif
