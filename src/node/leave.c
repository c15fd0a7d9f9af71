#include "node/leave.h"

/* Part of the time to leave that is kept for the process to end. */
#define RESERVE (300 * SNIPE_MS)
/* Of that, the last part is for the end itself. */
#define RESERVE_PARTS 3
/* Callers may use their connections for this long after the host has said that
 * it is not ready: two misses, a second apart, and a little. */
#define SERVE_MIN (2500 * SNIPE_MS)

enum snipe_shutdown_step
snipe_shutdown_decide (const struct snipe_shutdown_state *state)
{
  snipe_time left = state->grace_period - state->elapsed;
  bool idle = state->open_requests == 0 && state->idle;

  if (left <= RESERVE / RESERVE_PARTS
      || (left <= RESERVE && state->open_requests == 0)
      || (idle && state->elapsed >= SERVE_MIN + RESERVE))
    return SNIPE_SHUTDOWN_EXIT;
  if (left <= RESERVE && state->unanswered_requests > 0)
    return SNIPE_SHUTDOWN_FAIL_JOBS;
  /* What comes in the second half could not be answered before the end. */
  if (left <= state->grace_period / 2 || (idle && state->elapsed >= SERVE_MIN))
    return SNIPE_SHUTDOWN_REJECT;
  return SNIPE_SHUTDOWN_SERVE;
}
