#include "node/leave.h"

/* Part of the time to leave that is kept for the process to end. */
#define RESERVE (300 * SNIPE_MS)
/* Of that, the last part is for the end itself. */
#define RESERVE_PARTS 3
/* Callers may use their connections for this long after the host has said that
 * it is not ready: two misses, a second apart, and a little. */
#define SERVE_MIN (2500 * SNIPE_MS)

enum snipe_leave_step
snipe_leave_decide (const struct snipe_leave_state *state)
{
  snipe_time left = state->grace - state->waited;
  bool idle = state->open == 0 && state->idle;

  if (left <= RESERVE / RESERVE_PARTS || (left <= RESERVE && state->open == 0)
      || (idle && state->waited >= SERVE_MIN + RESERVE))
    return SNIPE_LEAVE_END;
  if (left <= RESERVE && state->kept > 0)
    return SNIPE_LEAVE_GIVE_UP;
  /* What comes in the second half could not be answered before the end. */
  if (left <= state->grace / 2 || (idle && state->waited >= SERVE_MIN))
    return SNIPE_LEAVE_REFUSE;
  return SNIPE_LEAVE_SERVE;
}
