/* Start of a batch as a whole.
 *
 * Load pattern: bursts far above the capacity, in which single tasks of many
 * wide batches take the free slots and hardly any batch gets all of its own in
 * time. What has started is stopped then, and its work is lost just when room
 * is short. */
#include "pool/whole.h"

#include "snipe/status.h"

/* A batch that does not fit its time is not planned again sooner: what runs
 * ends rarely enough. Bounds the work for a long queue. */
#define PLAN_INTERVAL (10 * SNIPE_MS)
/* Declared durations are off by tens of percent. */
#define DURATION_MARGIN 1.15

bool
snipe_batch_starts_whole (const struct snipe_pool *pool,
                          const struct batch *batch)
{
  return pool->whole_jobs && !batch->started && batch->hold != HOLD_COMMITTED;
}

static snipe_time
due (const struct batch *batch)
{
  return MIN (batch->hard_deadline, batch->caller_deadline);
}

bool
snipe_whole_is_in_time (const struct snipe_pool *pool, struct batch *batch,
                        snipe_time now)
{
  snipe_time length = snipe_pool_predict_duration (pool, NULL, batch);

  if (now < batch->blocked_until)
    return false;
  batch->fits = snipe_pool_plan (&batch->plan, pool, batch, now);
  if (batch->fits
      && batch->plan.start + (snipe_time)(DURATION_MARGIN * (double)length)
             <= due (batch))
    return true;
  batch->blocked_until = now + PLAN_INTERVAL;
  return false;
}

int
snipe_whole_rejection_status (const struct snipe_pool *pool,
                              struct batch *batch, snipe_time now)
{
  snipe_time declared = snipe_pool_predict_duration (pool, NULL, batch);
  /* Declared durations are often too long. */
  snipe_time expected
      = MIN (declared, snipe_calibration_predict (batch->calibration,
                                                  batch->estimate, declared));
  snipe_time start = now;

  if (snipe_pool_can_start (pool, batch, now))
    return now + expected > due (batch) ? SNIPE_E_OVERLOAD : SNIPE_OK;
  if (now >= batch->plan_due)
    {
      batch->fits = snipe_pool_plan (&batch->plan, pool, batch, now);
      batch->plan_due = now + PLAN_INTERVAL;
    }
  /* Endpoints may be out of use for a moment only: then the time left decides.
   */
  if (batch->fits)
    start = MAX (now, batch->plan.start);
  return start + expected > due (batch) ? SNIPE_E_OVERLOAD : SNIPE_OK;
}
