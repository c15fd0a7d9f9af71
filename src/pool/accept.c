/* Whether a pool accepts a batch that it may decline. Pure functions.
 *
 * Load pattern: more hosts than pools, whose views of the free capacity are as
 * old as the fleet is large. A batch often arrives a few milliseconds before
 * the capacity that it needs is free. Declining it costs a message each way,
 * and the next pool that its coordinator tries is as full; so a batch is
 * accepted if its tasks can start soon enough to end on time
 * (tests/coordinator/test_competing_hosts.c). */
#include "pool/accept.h"

#include "pool/hold.h"
#include "pool/plan.h"

/* Declared durations are off by tens of percent. */
#define DURATION_MARGIN 1.15

/* Duration of a task, with the margin. */
static snipe_time
longest_duration (const struct snipe_pool *pool, const struct batch *batch)
{
  return (
      snipe_time)(DURATION_MARGIN
                  * (double)snipe_pool_predict_duration (pool, NULL, batch));
}

/* The plan counts the tasks of those that go first. A batch that cannot end on
 * time any more goes after those that can. */
int64_t
snipe_batch_work_ahead (const struct snipe_pool *pool,
                        const struct batch *batch, snipe_time now)
{
  if (snipe_batch_goes_first (batch)
      || now + longest_duration (pool, batch) > batch->soft_deadline)
    return 0;
  return (int64_t)batch->waiting * batch->task_resources.cpu
         * (snipe_pool_predict_duration (pool, NULL, batch) / SNIPE_MS);
}

bool
snipe_pool_lateness (snipe_time *out, int64_t *total_cpu,
                     const struct snipe_pool *pool, const struct batch *batch,
                     snipe_time now)
{
  struct snipe_pool_load load;
  struct snipe_plan plan;
  int64_t ahead = 0;

  snipe_pool_load (pool, &load, NULL, 0, now);
  if (load.total_cpu <= 0 || !snipe_pool_plan (&plan, pool, batch, now))
    return false;
  for (guint i = 0; i < pool->batches->len; i++)
    ahead += snipe_batch_work_ahead (
        pool, g_ptr_array_index (pool->batches, i), now);
  *out = plan.start + ahead * SNIPE_MS / load.total_cpu
         + longest_duration (pool, batch) - batch->soft_deadline;
  *total_cpu = load.total_cpu;
  return true;
}

bool
snipe_pool_accepts (const struct snipe_pool *pool, const struct batch *batch,
                    snipe_time now)
{
  snipe_time late;
  int64_t total_cpu;

  if (snipe_pool_can_start (pool, batch, now))
    return true;
  return pool->spread_load
         && snipe_pool_lateness (&late, &total_cpu, pool, batch, now)
         && late <= 0;
}
