#include "sched_private.h"
#include "snipe/retry.h"

#define FAILURES_IN_ROW 3
#define FAILURES_OF_16 8

static void
suspend (struct snipe_sched *sched, struct snipe_sched_endpoint *endpoint,
         snipe_time now)
{
  endpoint->suspended = true;
  endpoint->retry_at = now
                       + snipe_retry_backoff (
                           endpoint->suspensions++, sched->options.suspend_min,
                           sched->options.suspend_max, sched_random (sched));
  sched_health_probe_ready (sched, endpoint, false);
  sched_endpoint_timer (sched, endpoint);
}

void
sched_health_probe_ready (struct snipe_sched *sched,
                          struct snipe_sched_endpoint *endpoint, bool ready)
{
  if (endpoint->probe_ready == ready)
    return;
  endpoint->probe_ready = ready;
  if (ready)
    g_ptr_array_add (sched->probes, endpoint);
  else
    g_ptr_array_remove_fast (sched->probes, endpoint);
}

void
sched_health_judge (struct snipe_sched *sched,
                    struct snipe_sched_endpoint *endpoint, bool failed,
                    bool probe, snipe_time now)
{
  endpoint->history = (uint16_t)(endpoint->history << 1 | (failed ? 1 : 0));
  endpoint->in_row = failed ? MIN (endpoint->in_row + 1, UINT8_MAX) : 0;
  if (endpoint->suspended)
    {
      /* Tasks that started before the suspension say nothing new. */
      if (!probe)
        return;
      if (failed)
        {
          suspend (sched, endpoint, now);
          return;
        }
      endpoint->suspended = false;
      endpoint->suspensions = 0;
      endpoint->history = 0;
      sched_health_probe_ready (sched, endpoint, false);
      sched_endpoint_timer (sched, endpoint);
      return;
    }
  if (failed
      && (endpoint->in_row >= FAILURES_IN_ROW
          || __builtin_popcount (endpoint->history) > FAILURES_OF_16))
    suspend (sched, endpoint, now);
}
