/* Load pattern: bursts above the capacity of jobs of unlike urgency. The
 * queues are full of less urgent batches when a more urgent one arrives, which
 * would be rejected while those are started. */
#include "pool/displace.h"

#include "pool/accept.h"
#include "pool/batch.h"
#include "snipe/status.h"

/* Whether certainly nothing of the batch has been started, here or under an
 * earlier owner, and its room is not promised to its coordinator. */
static bool
is_displaceable (const struct snipe_pool *pool, const struct batch *batch)
{
  return !batch->started && !batch->resent && batch->hold == HOLD_NONE
         && batch->waiting == batch->count
         && !snipe_pool_knows_job (pool, batch);
}

static gint
compare_victims (gconstpointer a, gconstpointer b)
{
  const struct batch *one = *(struct batch *const *)a;
  const struct batch *two = *(struct batch *const *)b;

  if (one->priority != two->priority)
    return one->priority > two->priority ? -1 : 1;
  return (one->arrived < two->arrived) - (one->arrived > two->arrived);
}

/* @return batches that give way to @p batch, the least urgent and latest
 * first. */
static GPtrArray *
list_victims (const struct snipe_pool *pool, const struct batch *batch,
              snipe_time now)
{
  GPtrArray *victims = g_ptr_array_new ();

  for (guint i = 0; i < pool->batches->len; i++)
    {
      struct batch *other = g_ptr_array_index (pool->batches, i);

      if (other->priority > batch->priority
          && snipe_batch_work_ahead (pool, other, now) > 0
          && is_displaceable (pool, other))
        g_ptr_array_add (victims, other);
    }
  g_ptr_array_sort (victims, compare_victims);
  return victims;
}

static void
displace (struct snipe_pool *pool, struct batch *victim,
          const struct batch *batch, snipe_time now)
{
  const struct snipe_pool_displaced event
      = { .job = victim->job,
          .coordinator = victim->coordinator,
          .batch = victim->number,
          .priority = victim->priority,
          .count = victim->count,
          .waited = now - victim->arrived,
          .by_job = batch->job,
          .by_priority = batch->priority };

  if (pool->callbacks.displaced != NULL)
    pool->callbacks.displaced (pool->callbacks.ctx, &event);
  snipe_batch_finish (pool, victim, SNIPE_E_DISPLACED, 0, now);
}

bool
snipe_pool_displace_for (struct snipe_pool *pool, const struct batch *batch,
                         snipe_time now)
{
  GPtrArray *victims;
  snipe_time late;
  int64_t total_cpu;
  int64_t relieved = 0;
  guint needed = 0;

  if (!pool->shared_order
      || !snipe_pool_lateness (&late, &total_cpu, pool, batch, now))
    return false;
  victims = list_victims (pool, batch, now);
  while (needed < victims->len && relieved * SNIPE_MS / total_cpu < late)
    relieved += snipe_batch_work_ahead (
        pool, g_ptr_array_index (victims, needed++), now);
  if (relieved * SNIPE_MS / total_cpu < late)
    needed = 0;
  for (guint i = 0; i < needed; i++)
    displace (pool, g_ptr_array_index (victims, i), batch, now);
  g_ptr_array_free (victims, TRUE);
  return needed > 0 || late <= 0;
}

void
snipe_pool_read_waiting (const struct snipe_pool *pool,
                         int64_t out[SNIPE_URGENCY_CLASSES], snipe_time now)
{
  for (uint32_t i = 0; i < SNIPE_URGENCY_CLASSES; i++)
    out[i] = 0;
  for (guint i = 0; i < pool->batches->len; i++)
    {
      const struct batch *batch = g_ptr_array_index (pool->batches, i);

      if (is_displaceable (pool, batch))
        out[snipe_urgency_class (batch->priority)]
            += snipe_batch_work_ahead (pool, batch, now);
    }
}
