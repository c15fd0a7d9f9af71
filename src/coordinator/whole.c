/*
 * Choice of one pool for all tasks of a job. A pure function.
 *
 * Load pattern: bursts far above the capacity, in which no pool has room for a
 * whole wide job. Parts that are sent to several pools start at different
 * times, and what has started is lost if one part finds no room in time.
 */
#include "coordinator/private.h"

#include <string.h>

/* Time until a pool has room for all tasks of a job, besides its queue. Its
 * running tasks are assumed to end evenly over the duration of a task. */
static snipe_time
room_delay (const struct pool_view *pool, int64_t needed, snipe_time duration)
{
  int64_t running = pool->total_cpu;
  int64_t missing = needed;

  for (guint i = 0; i < pool->free_cpu->len; i++)
    {
      running -= g_array_index (pool->free_cpu, uint32_t, i);
      missing -= g_array_index (pool->free_cpu, uint32_t, i);
    }
  if (missing <= 0 || running <= 0)
    return 0;
  return (snipe_time)((double)duration * (double)missing / (double)running);
}

bool
snipe_coordinator_choose_whole (struct share *out, GPtrArray *pools,
                                const struct snipe_coordinator_job *job,
                                uint32_t count, snipe_time hard_deadline,
                                snipe_time now)
{
  int64_t needed = count * job->task_resources.cpu;
  snipe_time best = 0;
  bool found = false;

  for (guint i = 0; i < pools->len; i++)
    {
      struct pool_view *pool = g_ptr_array_index (pools, i);
      snipe_time duration = snipe_view_duration (pool, job);
      snipe_time end;

      if (strcmp (pool->id.service, job->service) != 0 || pool->owner == 0
          || pool->group->evacuated || pool->total_cpu < needed
          || now < pool->retry_at)
        continue;
      end = now + duration + room_delay (pool, needed, duration)
            + snipe_view_queueing_delay (pool);
      if (end > hard_deadline || (found && end >= best))
        continue;
      *out = (struct share){ .pool = pool, .count = count, .queued = true };
      best = end;
      found = true;
    }
  return found;
}
