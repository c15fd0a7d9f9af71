#include "sched_private.h"
#include "snipe/retry.h"

/* An endpoint is suspended at the third consecutive failure, or when more than
 * half of its last 16 attempts failed. */
#define CONSECUTIVE_FAILURES_MAX 3
#define RECENT_FAILURES_MAX 8

static void
suspend (struct snipe_sched *sched, struct snipe_sched_endpoint *endpoint,
         snipe_time now)
{
  endpoint->suspended = true;
  endpoint->probe_at = now
                       + snipe_retry_backoff (
                           endpoint->suspensions++, sched->options.suspend_min,
                           sched->options.suspend_max, sched_random (sched));
  sched_health_set_probe_ready (sched, endpoint, false);
  sched_endpoint_set_timer (sched, endpoint);
}

void
sched_health_set_probe_ready (struct snipe_sched *sched,
                              struct snipe_sched_endpoint *endpoint,
                              bool ready)
{
  if (endpoint->probe_ready == ready)
    return;
  endpoint->probe_ready = ready;
  if (ready)
    g_ptr_array_add (sched->probe_ready_endpoints, endpoint);
  else
    g_ptr_array_remove_fast (sched->probe_ready_endpoints, endpoint);
}

void
sched_health_record (struct snipe_sched *sched,
                     struct snipe_sched_endpoint *endpoint, bool failed,
                     bool probe, snipe_time now)
{
  endpoint->outcome_bits
      = (uint16_t)(endpoint->outcome_bits << 1 | (failed ? 1 : 0));
  endpoint->consecutive_failures
      = failed ? MIN (endpoint->consecutive_failures + 1, UINT8_MAX) : 0;
  if (endpoint->suspended)
    {
      /* Outcomes of tasks started before the suspension do not count. */
      if (!probe)
        return;
      if (failed)
        {
          suspend (sched, endpoint, now);
          return;
        }
      endpoint->suspended = false;
      endpoint->suspensions = 0;
      endpoint->outcome_bits = 0;
      sched_health_set_probe_ready (sched, endpoint, false);
      sched_endpoint_set_timer (sched, endpoint);
      return;
    }
  if (failed
      && (endpoint->consecutive_failures >= CONSECUTIVE_FAILURES_MAX
          || __builtin_popcount (endpoint->outcome_bits)
                 > RECENT_FAILURES_MAX))
    suspend (sched, endpoint, now);
}
