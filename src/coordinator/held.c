/* Jobs that are spread over several pools: nothing of them is started before
 * all pools have room.
 *
 * Load pattern: wide jobs under a load near the capacity, whose parts find
 * room by views that are some milliseconds old. Without a hold, what one pool
 * has started is lost when another one declines. */
#include "coordinator/private.h"

#include "snipe/status.h"

bool
snipe_job_is_held (const struct job *job)
{
  for (guint i = 0; i < job->batches->len; i++)
    if (!((const struct batch *)g_ptr_array_index (job->batches, i))->held)
      return false;
  return !job->ran;
}

bool
snipe_job_has_lost_part (const struct job *job)
{
  for (guint i = 0; i < job->batches->len; i++)
    {
      const struct batch *batch = g_ptr_array_index (job->batches, i);

      if (batch->held && batch->pool->owner == 0)
        return true;
    }
  return false;
}

/* Whether all tasks of the job are in batches that have room. */
static bool
has_room (const struct job *job)
{
  uint32_t tasks = 0;

  for (guint i = 0; i < job->batches->len; i++)
    {
      const struct batch *batch = g_ptr_array_index (job->batches, i);

      if (!batch->granted)
        return false;
      tasks += batch->count;
    }
  return tasks == job->unfinished;
}

/* Whether more than one copy of the batch was sent. */
static bool
was_sent_again (const struct batch *batch)
{
  uint32_t first = batch->declinable ? SNIPE_POOL_DECLINABLE_ATTEMPT
                                     : SNIPE_POOL_DECLINABLE_ATTEMPT + 1;

  return batch->attempts > first;
}

static void
commit_job (struct snipe_coordinator *coordinator, struct job *job,
            snipe_time now)
{
  for (guint i = 0; i < job->batches->len; i++)
    {
      struct batch *batch = g_ptr_array_index (job->batches, i);

      batch->held = false;
      if (coordinator->callbacks.commit (coordinator->callbacks.ctx,
                                         batch->owner, batch->number)
          != SNIPE_OK)
        batch->resend_at = now;
      /* The owner may reject the last copy, which is late, and start the batch
       * by an earlier one: only a further copy tells its results from that
       * rejection. */
      if (was_sent_again (batch))
        {
          batch->attempts++;
          batch->resend_at = now;
        }
    }
}

void
snipe_coordinator_handle_grant (struct snipe_coordinator *coordinator,
                                uint64_t from, uint64_t number, snipe_time now)
{
  struct batch *batch = g_hash_table_lookup (coordinator->batches, &number);

  if (batch == NULL || !batch->held || batch->owner != from
      || batch->job->closes_at > 0)
    return;
  batch->granted = true;
  if (has_room (batch->job))
    commit_job (coordinator, batch->job, now);
}
