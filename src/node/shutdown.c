#include "node/shutdown.h"

/* End of the grace period, reserved for the last answers and the exit. */
#define EXIT_RESERVE (300 * SNIPE_MS)
/* The last of so many equal parts of the reserve is for the exit itself. */
#define EXIT_RESERVE_PARTS 3
/* Callers may use their connections for this long after the host has reported
 * itself not ready: two failed health checks, one second apart, plus a margin.
 */
#define SERVE_TIME_MIN (2500 * SNIPE_MS)

enum snipe_shutdown_step
snipe_shutdown_decide (const struct snipe_shutdown_state *state)
{
  snipe_time remaining = state->grace_period - state->elapsed;
  bool idle = state->open_requests == 0 && state->idle;

  if (remaining <= EXIT_RESERVE / EXIT_RESERVE_PARTS
      || (remaining <= EXIT_RESERVE && state->open_requests == 0)
      || (idle && state->elapsed >= SERVE_TIME_MIN + EXIT_RESERVE))
    return SNIPE_SHUTDOWN_EXIT;
  if (remaining <= EXIT_RESERVE && state->unanswered_requests > 0)
    return SNIPE_SHUTDOWN_FAIL_JOBS;
  /* A request accepted in the second half of the grace period could not be
   * answered before the exit. */
  if (remaining <= state->grace_period / 2
      || (idle && state->elapsed >= SERVE_TIME_MIN))
    return SNIPE_SHUTDOWN_REJECT;
  return SNIPE_SHUTDOWN_SERVE;
}
