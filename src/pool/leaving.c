/* Tasks at endpoints that leave soon.
 *
 * Load pattern: a sixth to a third of the endpoints leave at short notice, a
 * few seconds, while the others are full. They serve until they leave, which
 * is many times the duration of a short task. */
#include "pool/leaving.h"

/* Declared durations are off by tens of percent, some tasks take twice as
 * long; a run that is cut short is lost with the time that it has used. */
#define DURATION_MARGIN 2.5
/* For the start request, and for the poll that tells the end. */
#define ANSWER_TIME (150 * SNIPE_MS)
/* An endpoint's clock may be 2 % off. */
#define CLOCK_DRIFT_DIVISOR 50

/* @return a time in ms that the endpoint's clock has certainly not passed at
 * @p now; it was read between its request and its answer. */
static int64_t
latest_clock (const struct snipe_pool_endpoint *endpoint, snipe_time now)
{
  snipe_time age = now - endpoint->clock_request_sent;

  return endpoint->clock_base_ms + (age + age / CLOCK_DRIFT_DIVISOR) / SNIPE_MS
         + 1;
}

bool
snipe_pool_start_is_too_late (const struct snipe_pool *pool,
                              const struct snipe_pool_endpoint *endpoint,
                              snipe_time now)
{
  const struct snipe_endpoint_entry *entry = &endpoint->entry;

  if (pool->drain_max == 0 || !entry->draining || endpoint->clock_read_at == 0
      || entry->draining_clock_ms == 0)
    return false;
  /* A start request may arrive as late as it is valid, which is half a lease
   * at most. */
  return latest_clock (endpoint, now) + pool->lease_max / 2 / SNIPE_MS
         > entry->draining_clock_ms + pool->drain_max / SNIPE_MS;
}

bool
snipe_pool_ends_before_leaving (const struct snipe_pool *pool,
                                const struct snipe_pool_endpoint *endpoint,
                                const struct batch *batch, snipe_time now)
{
  const struct snipe_endpoint_entry *entry = &endpoint->entry;
  snipe_time length = snipe_pool_predict_duration (pool, endpoint, batch);

  if (pool->drain_max == 0 || endpoint->clock_read_at == 0
      || entry->leaves_clock_ms == 0
      || !snipe_pool_endpoint_usable_but_drains (endpoint, now)
      || snipe_pool_start_is_too_late (pool, endpoint, now))
    return false;
  return latest_clock (endpoint, now)
             + ((snipe_time)(DURATION_MARGIN * (double)length) + ANSWER_TIME)
                   / SNIPE_MS
         <= entry->leaves_clock_ms;
}
