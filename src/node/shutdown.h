/**
 * @file shutdown.h
 * Decides how a host serves requests between SIGTERM and its exit. Pure.
 */
#ifndef SNIPE_NODE_SHUTDOWN_H
#define SNIPE_NODE_SHUTDOWN_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"

enum snipe_shutdown_step
{
  /** Callers do not know yet that the host shuts down. */
  SNIPE_SHUTDOWN_SERVE,
  /** Accept no new requests, finish the open ones. */
  SNIPE_SHUTDOWN_REJECT,
  /** Fail the jobs of open requests while they can still be answered. */
  SNIPE_SHUTDOWN_FAIL_JOBS,
  SNIPE_SHUTDOWN_EXIT,
};

struct snipe_shutdown_state
{
  snipe_time elapsed;           /**< since the host received SIGTERM */
  snipe_time grace_period;      /**< after it, the process is killed */
  uint32_t open_requests;       /**< being read, processed or answered */
  uint32_t unanswered_requests; /**< those of them without an answer yet */
  bool idle; /**< the host coordinates no job and owns no pool */
};

enum snipe_shutdown_step
snipe_shutdown_decide (const struct snipe_shutdown_state *state);

#endif
