#include "pool/private.h"

#include <string.h>

#include "pool/requests.h"

/* Weight of the newest observation in a smoothed ratio; about the last ten
 * tasks dominate. */
#define SMOOTHING_WEIGHT 0.15
/* Bounds of a learned ratio: endpoints at the reference sites differ up to
 * sevenfold during disturbances; a larger deviation is more likely an error of
 * the estimate. */
#define RATIO_MIN 0.2
#define RATIO_MAX 10.0
/* Consecutive failures after which an endpoint gets only one task at a time.
 * Task failures that the endpoint has not caused (1 in 500 at the reference
 * sites) must not reach this count. */
#define FAILURES_MAX 2
#define SUSPEND_MIN (400 * SNIPE_MS)
#define SUSPEND_MAX (6 * SNIPE_S)
/* An endpoint's clock may run 2 % slow. */
#define CLOCK_DRIFT_DIVISOR 50
/* Bounds the memory for starts that never get an answer. */
#define FORGOTTEN_STARTS_MAX 32
/* A start request and the poll request that extends the lease next have to
 * arrive within the validity of a start: not less than this share of the
 * longest lease. */
#define START_VALIDITY_DIVISOR 5

bool
snipe_endpoint_entry_equal (const struct snipe_endpoint_entry *a,
                            const struct snipe_endpoint_entry *b)
{
  return strcmp (a->id, b->id) == 0 && strcmp (a->address, b->address) == 0
         && strcmp (a->service, b->service) == 0
         && strcmp (a->domain, b->domain) == 0
         && strcmp (a->kind, b->kind) == 0 && strcmp (a->rack, b->rack) == 0
         && a->started_ms == b->started_ms
         && a->capacity.cpu == b->capacity.cpu
         && a->capacity.mem_mb == b->capacity.mem_mb
         && a->capacity.gpu == b->capacity.gpu && a->draining == b->draining;
}

bool
snipe_endpoint_entry_is_older (const struct snipe_endpoint_entry *a,
                               const struct snipe_endpoint_entry *b)
{
  return a->version != 0 && a->version < b->version;
}

struct snipe_pool_endpoint *
snipe_pool_endpoint_new (const struct snipe_endpoint_entry *entry,
                         snipe_time lease_max, snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = g_new0 (struct snipe_pool_endpoint, 1);

  endpoint->entry = *entry;
  endpoint->listed = true;
  endpoint->listed_ms = entry->started_ms;
  endpoint->known_since = now;
  endpoint->runs = g_ptr_array_new_with_free_func (g_free);
  endpoint->forgotten_starts
      = g_array_new (FALSE, FALSE, sizeof (struct forgotten_start));
  endpoint->duration_ratio = 1.0;
  /* The endpoint's clock, which measures the lease, may run 2 % slow. */
  endpoint->claim_deadline = now + lease_max + lease_max / 20;
  /* By the previous owner. */
  snipe_pool_endpoint_extend_lease (endpoint, lease_max, 0, now);
  return endpoint;
}

void
snipe_pool_endpoint_free (struct snipe_pool_endpoint *endpoint)
{
  g_ptr_array_free (endpoint->runs, TRUE);
  g_array_free (endpoint->forgotten_starts, TRUE);
  g_free (endpoint);
}

void
snipe_pool_endpoint_unlist (struct snipe_pool_endpoint *endpoint,
                            snipe_time now)
{
  if (endpoint->listed)
    endpoint->unlisted_at = now;
  endpoint->listed = false;
}

static bool
is_sound (const struct snipe_pool_endpoint *endpoint, snipe_time now)
{
  return endpoint->listed && endpoint->claim == CLAIM_CONFIRMED
         && !endpoint->entry_outdated && endpoint->refuses_since == 0
         && endpoint->unanswered_polls == 0 && endpoint->suspended_until <= now
         && endpoint->unresponsive_until <= now
         && (endpoint->consecutive_failures < FAILURES_MAX
             || endpoint->runs->len == 0);
}

bool
snipe_pool_endpoint_usable (const struct snipe_pool_endpoint *endpoint,
                            snipe_time now)
{
  return !endpoint->entry.draining && is_sound (endpoint, now);
}

bool
snipe_pool_endpoint_usable_but_drains (
    const struct snipe_pool_endpoint *endpoint, snipe_time now)
{
  return endpoint->entry.draining && is_sound (endpoint, now);
}

bool
snipe_pool_endpoint_is_shared (const struct snipe_pool_endpoint *endpoint,
                               snipe_time now)
{
  return endpoint->alone_runs == 0 && endpoint->reserved_until <= now;
}

struct snipe_capacity
snipe_pool_endpoint_free_capacity (const struct snipe_pool_endpoint *endpoint)
{
  const struct snipe_capacity *capacity = &endpoint->entry.capacity;
  const struct snipe_capacity *used = &endpoint->used;
  const struct snipe_capacity *held = &endpoint->held;

  return (struct snipe_capacity){
    .cpu = capacity->cpu - used->cpu - held->cpu,
    .mem_mb = capacity->mem_mb - used->mem_mb - held->mem_mb,
    .gpu = capacity->gpu - used->gpu - held->gpu,
  };
}

bool
snipe_pool_endpoint_fits (const struct snipe_pool_endpoint *endpoint,
                          const struct snipe_capacity *size)
{
  struct snipe_capacity left = snipe_pool_endpoint_free_capacity (endpoint);

  return endpoint->unknown_sizes == 0 && size->cpu <= left.cpu
         && size->mem_mb <= left.mem_mb && size->gpu <= left.gpu;
}

int64_t
snipe_pool_endpoint_clock (const struct snipe_pool_endpoint *endpoint,
                           snipe_time now)
{
  snipe_time age = now - endpoint->clock_read_at;

  return endpoint->clock_base_ms
         + (age - age / CLOCK_DRIFT_DIVISOR) / SNIPE_MS;
}

void
snipe_pool_endpoint_extend_lease (struct snipe_pool_endpoint *endpoint,
                                  snipe_time lease, snipe_time send_within,
                                  snipe_time now)
{
  endpoint->lease_extended = now;
  /* On a slow link, where more time is left for sending it, its way takes as
   * much time again. */
  endpoint->lease_send_until
      = MAX (endpoint->lease_send_until,
             now + MAX (send_within, 2 * send_within - POLL_TIMEOUT_MARGIN));
  endpoint->lease_until
      = MAX (endpoint->lease_until,
             now + lease + lease / (CLOCK_DRIFT_DIVISOR - 1) + SNIPE_MS);
}

bool
snipe_pool_endpoint_is_over (const struct snipe_pool_endpoint *endpoint)
{
  const struct snipe_capacity *capacity = &endpoint->entry.capacity;
  const struct snipe_capacity *used = &endpoint->used;

  return used->cpu > capacity->cpu || used->mem_mb > capacity->mem_mb
         || used->gpu > capacity->gpu;
}

struct run *
snipe_pool_run_add (struct snipe_pool_endpoint *endpoint, const char *task,
                    uint32_t number, const struct snipe_capacity *size)
{
  struct run *run = g_new0 (struct run, 1);

  g_strlcpy (run->task, task, sizeof run->task);
  run->number = number;
  run->endpoint = endpoint;
  run->resources = *size;
  run->far_factor = 1;
  endpoint->used.cpu += size->cpu;
  endpoint->used.mem_mb += size->mem_mb;
  endpoint->used.gpu += size->gpu;
  g_ptr_array_add (endpoint->runs, run);
  return run;
}

void
snipe_pool_run_isolate (struct run *run)
{
  if (!run->alone)
    run->endpoint->alone_runs++;
  run->alone = true;
}

bool
snipe_pool_run_start_under_way (const struct run *run)
{
  return run->start_requests > run->start_answers;
}

static void
remember_start (const struct run *run)
{
  GArray *starts = run->endpoint->forgotten_starts;
  struct forgotten_start start
      = { .run = run->number,
          .resources = run->resources,
          .requests = run->start_requests - run->start_answers,
          .sent = run->start_sent };

  if (starts->len == FORGOTTEN_STARTS_MAX)
    g_array_remove_index (starts, 0);
  g_strlcpy (start.task, run->task, sizeof start.task);
  g_array_append_val (starts, start);
}

void
snipe_pool_run_remove (struct run *run)
{
  struct snipe_pool_endpoint *endpoint = run->endpoint;

  if (snipe_pool_run_start_under_way (run))
    remember_start (run);
  endpoint->used.cpu -= run->resources.cpu;
  endpoint->used.mem_mb -= run->resources.mem_mb;
  endpoint->used.gpu -= run->resources.gpu;
  endpoint->unknown_sizes -= run->size_unknown;
  endpoint->alone_runs -= run->alone;
  g_ptr_array_remove_fast (endpoint->runs, run);
}

struct run *
snipe_pool_run_find (struct snipe_pool_endpoint *endpoint, const char *task,
                     uint32_t number)
{
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      struct run *run = g_ptr_array_index (endpoint->runs, i);

      if (run->number == number && strcmp (run->task, task) == 0)
        return run;
    }
  return NULL;
}

bool
snipe_pool_endpoint_has_claimed_run (
    const struct snipe_pool_endpoint *endpoint)
{
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const struct run *run = g_ptr_array_index (endpoint->runs, i);

      if (run->batch != NULL && run->state != RUN_STOPPING)
        return true;
    }
  return false;
}

snipe_time
snipe_pool_batch_end_due (const struct snipe_pool *pool,
                          const struct batch *batch, snipe_time now)
{
  const struct snipe_pool_callbacks *callbacks = &pool->callbacks;
  snipe_time heard;

  if (callbacks->coordinator_heard == NULL)
    return INT64_MAX;
  heard
      = callbacks->coordinator_heard (callbacks->ctx, batch->coordinator, now);
  return MAX (heard, batch->handled_at) + pool->resend_after - pool->stop_max;
}

snipe_time
snipe_pool_run_end_due (const struct snipe_pool *pool, const struct run *run,
                        snipe_time now)
{
  if (run->state == RUN_STOPPING && run->stop_confirmed)
    return INT64_MAX;
  if (run->batch != NULL)
    return snipe_pool_batch_end_due (pool, run->batch, now);
  return run->end_due;
}

/* @return the lease, by the endpoint's clock, that has certainly expired at
 * @p end_due. */
static snipe_time
lease_until (const struct snipe_pool *pool, snipe_time end_due, snipe_time now)
{
  snipe_time left = end_due - now;

  return MIN (pool->lease_max, left - left / CLOCK_DRIFT_DIVISOR - SNIPE_MS);
}

snipe_time
snipe_pool_lease_bound (const struct snipe_pool *pool,
                        const struct snipe_pool_endpoint *endpoint,
                        snipe_time now)
{
  snipe_time end_due = INT64_MAX;

  for (guint i = 0; i < endpoint->runs->len; i++)
    end_due
        = MIN (end_due, snipe_pool_run_end_due (
                            pool, g_ptr_array_index (endpoint->runs, i), now));
  return lease_until (pool, end_due, now);
}

snipe_time
snipe_pool_start_validity (const struct snipe_pool *pool,
                           const struct snipe_pool_endpoint *endpoint,
                           const struct batch *batch, snipe_time now)
{
  snipe_time bound = MIN (
      snipe_pool_lease_bound (pool, endpoint, now),
      lease_until (pool, snipe_pool_batch_end_due (pool, batch, now), now));

  bound = MIN (bound, pool->lease_max / 2);
  return bound < pool->lease_max / START_VALIDITY_DIVISOR ? 0 : bound;
}

bool
snipe_pool_lease_ends_in_time (const struct snipe_pool *pool,
                               const struct snipe_pool_endpoint *endpoint,
                               const struct batch *batch, snipe_time now)
{
  return endpoint->lease_until <= snipe_pool_batch_end_due (pool, batch, now);
}

static double
smooth (double old, double seen)
{
  return CLAMP (old + SMOOTHING_WEIGHT * (seen - old), RATIO_MIN, RATIO_MAX);
}

void
snipe_pool_endpoint_record_failure (struct snipe_pool_endpoint *endpoint,
                                    snipe_time now)
{
  snipe_time pause = SUSPEND_MIN;

  endpoint->consecutive_failures++;
  if (endpoint->consecutive_failures < FAILURES_MAX)
    return;
  for (uint32_t i = FAILURES_MAX;
       i < endpoint->consecutive_failures && pause < SUSPEND_MAX; i++)
    pause *= 2;
  endpoint->suspended_until = now + MIN (pause, SUSPEND_MAX);
}

void
snipe_pool_endpoint_record_end (struct snipe_pool *pool,
                                struct snipe_pool_endpoint *endpoint,
                                const struct run *run,
                                enum snipe_run_outcome outcome, snipe_time now)
{
  snipe_time length = now - run->start_sent;
  double ratio;

  switch (outcome)
    {
    case SNIPE_RUN_FAILED:
      snipe_pool_endpoint_record_failure (endpoint, now);
      return;
    case SNIPE_RUN_STOPPED:
    case SNIPE_RUN_LEASE_EXPIRED:
      return;
    case SNIPE_RUN_DONE:
      break;
    }
  endpoint->consecutive_failures = 0;
  if (run->batch == NULL || run->start_sent == 0
      || run->predicted_duration <= 0 || run->partly_far)
    return;
  ratio = (double)length / (double)run->predicted_duration;
  if (*run->batch->rack != '\0')
    snipe_locality_factor_add (&pool->far_factor, run->far,
                               ratio * run->far_factor);
  /* What is learned holds for near places. */
  length = (snipe_time)((double)length / run->far_factor);
  endpoint->duration_ratio
      = smooth (endpoint->duration_ratio, ratio * endpoint->duration_ratio);
  snipe_calibration_add (
      run->batch->calibration, run->batch->estimate,
      (snipe_time)((double)length / endpoint->duration_ratio));
  pool->slowdown
      = smooth (pool->slowdown, (double)length / (double)run->batch->estimate
                                    / endpoint->duration_ratio);
}
