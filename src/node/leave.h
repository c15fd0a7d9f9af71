/**
 * @file leave.h
 * What a host does that was asked to end. Pure.
 */
#ifndef SNIPE_NODE_LEAVE_H
#define SNIPE_NODE_LEAVE_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"

enum snipe_leave_step
{
  SNIPE_LEAVE_SERVE,   /**< callers do not know yet: serve them */
  SNIPE_LEAVE_REFUSE,  /**< take no new requests, end those that are open */
  SNIPE_LEAVE_GIVE_UP, /**< answer the open ones while that is possible */
  SNIPE_LEAVE_END,
};

struct snipe_leave_state
{
  snipe_time waited; /**< since the host was asked to end */
  snipe_time grace;  /**< after which its process is killed */
  uint32_t open;     /**< requests that are being read, kept or answered */
  uint32_t kept;     /**< of them, those that the host may still answer */
  bool idle;         /**< it keeps no job and owns no pool */
};

enum snipe_leave_step
snipe_leave_decide (const struct snipe_leave_state *state);

#endif
