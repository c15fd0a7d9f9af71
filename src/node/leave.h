/**
 * @file leave.h
 * What a host does that was asked to end. Pure.
 */
#ifndef SNIPE_NODE_LEAVE_H
#define SNIPE_NODE_LEAVE_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"

enum snipe_shutdown_step
{
  SNIPE_SHUTDOWN_SERVE,  /**< callers do not know yet: serve them */
  SNIPE_SHUTDOWN_REJECT, /**< take no new requests, end those that are open */
  SNIPE_SHUTDOWN_FAIL_JOBS, /**< answer the open ones while that is possible */
  SNIPE_SHUTDOWN_EXIT,
};

struct snipe_shutdown_state
{
  snipe_time elapsed;      /**< since the host was asked to end */
  snipe_time grace_period; /**< after which its process is killed */
  uint32_t
      open_requests; /**< requests that are being read, kept or answered */
  uint32_t unanswered_requests; /**< of them, those that the host may still
                                   answer */
  bool idle;                    /**< it keeps no job and owns no pool */
};

enum snipe_shutdown_step
snipe_shutdown_decide (const struct snipe_shutdown_state *state);

#endif
