/* Scheduling order of waiting batches, choice of an endpoint, and rejection.
 * Pure functions.
 *
 * Load patterns that the rules address:
 * - Bursts above the capacity: batches that can still meet their soft deadline
 *   go before those that cannot, and among them the one with the most slack
 *   relative to its task duration goes first. A backlog then delays the
 *   batches that have waited longest, most of which would be late anyway,
 *   instead of all that follow them. No kind of job starves, as it would if
 *   the most urgent or the smallest went first (at 2.6 times the load the
 *   worst kind earns 0.60 of its value, against 0.43 and 0.47,
 *   tests/pool/test_pool_load.c).
 * - Bursts of jobs of unlike urgency, with the option shared_order: the more
 *   urgent batches go first, also before started ones
 *   (tests/coordinator/test_shared_order.c).
 * - Wide batches under load: a batch that has a started task goes first,
 *   because its job has no value until its last task has ended.
 * - Many hosts that send to the same pools with views of the free capacity
 *   that are as old as the fleet is large: a pool declines a batch that it
 *   cannot start at once, so that it does not wait while other pools have free
 *   capacity (tests/coordinator/test_fleet_load.c).
 * - Endpoints that leave at short notice while the others are full: tasks that
 *   end before run there (leaving.c).
 * - Tasks that need a third to a half of an endpoint: the endpoint with the
 *   least free capacity is filled first, so that others keep enough free
 *   capacity for large tasks. */
#include "pool/hold.h"
#include "pool/leaving.h"
#include "pool/near.h"

#include <string.h>

#include "snipe/status.h"

/* Declared durations are off by tens of percent; a batch is expected to be on
 * time only if a task that takes this many times its predicted duration would
 * be. Lower values start work under overload that ends late. */
#define DURATION_MARGIN 1.7
/* Endpoints whose duration ratio is at most this count as equally fast. */
#define EQUAL_SPEED_RATIO 1.3

snipe_time
snipe_pool_predict_duration (const struct snipe_pool *pool,
                             const struct snipe_pool_endpoint *endpoint,
                             const struct batch *batch)
{
  double ratio = endpoint == NULL ? 1.0 : endpoint->duration_ratio;

  ratio *= snipe_pool_far_factor (pool, endpoint, batch);
  return (snipe_time)((double)batch->estimate * pool->slowdown * ratio);
}

/* Number of tasks of the batch that run at the endpoint or have room kept. */
static uint32_t
count_tasks (const struct snipe_pool_endpoint *endpoint,
             const struct batch *batch)
{
  uint32_t count = endpoint->held_batch == batch ? endpoint->held_tasks : 0;

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const struct run *run = g_ptr_array_index (endpoint->runs, i);

      if (run->batch == batch)
        count++;
    }
  return count;
}

bool
snipe_pool_has_label (const struct snipe_endpoint_entry *entry,
                      const char *label)
{
  return *label == '\0' || strcmp (entry->kind, label) == 0
         || strcmp (entry->rack, label) == 0;
}

/* Cost of placing a task at an endpoint. In decreasing weight: outside the
 * preferred rack, about to leave, too slow to meet the soft deadline, capacity
 * left free. */
static double
placement_cost (const struct snipe_pool *pool,
                const struct snipe_pool_endpoint *endpoint,
                const struct batch *batch, snipe_time now)
{
  double free_share = (double)(snipe_pool_endpoint_free_capacity (endpoint).cpu
                               - batch->task_resources.cpu)
                      / (double)MAX (endpoint->entry.capacity.cpu, 1);
  double cost = free_share;
  snipe_time end = now + snipe_pool_predict_duration (pool, endpoint, batch);

  if (endpoint->duration_ratio > EQUAL_SPEED_RATIO)
    cost += endpoint->duration_ratio;
  if (end > batch->soft_deadline)
    cost += 10.0 * (double)(end - now) / (double)MAX (batch->estimate, 1);
  /* What runs there is lost if it takes much longer than predicted. */
  if (endpoint->entry.draining)
    cost += 100.0;
  if (!snipe_pool_prefers_endpoint (pool, endpoint, batch))
    cost += 1000.0;
  return cost;
}

struct snipe_pool_endpoint *
snipe_pool_choose_endpoint (const struct snipe_pool *pool,
                            const struct batch *batch, bool alone,
                            snipe_time now)
{
  struct snipe_pool_endpoint *best = NULL;
  double best_cost = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct snipe_pool_endpoint *endpoint = value;
      double cost;

      if (!snipe_pool_endpoint_fits (endpoint, &batch->task_resources)
          || !(snipe_pool_endpoint_usable (endpoint, now)
               || (!alone
                   && snipe_pool_ends_before_leaving (pool, endpoint, batch,
                                                      now)))
          || !(alone ? endpoint->runs->len == 0
                     : snipe_pool_endpoint_is_shared (endpoint, now))
          || !snipe_pool_has_label (&endpoint->entry, batch->label)
          || (batch->max_per_endpoint > 0
              && count_tasks (endpoint, batch) >= batch->max_per_endpoint)
          || snipe_pool_start_validity (pool, endpoint, batch, now) == 0
          || !snipe_pool_lease_ends_in_time (pool, endpoint, batch, now))
        continue;
      cost = placement_cost (pool, endpoint, batch, now);
      if (best == NULL || cost < best_cost)
        {
          best = endpoint;
          best_cost = cost;
        }
    }
  return best;
}

static uint32_t
free_slots (const struct snipe_pool_endpoint *endpoint,
            const struct batch *batch)
{
  const struct snipe_capacity left
      = snipe_pool_endpoint_free_capacity (endpoint);
  const struct snipe_capacity *size = &batch->task_resources;
  int64_t slots
      = batch->max_per_endpoint > 0 ? batch->max_per_endpoint : batch->count;

  if (endpoint->unknown_sizes > 0)
    return 0;
  if (size->cpu > 0)
    slots = MIN (slots, left.cpu / size->cpu);
  if (size->mem_mb > 0)
    slots = MIN (slots, left.mem_mb / size->mem_mb);
  if (size->gpu > 0)
    slots = MIN (slots, left.gpu / size->gpu);
  return (uint32_t)MAX (slots, 0);
}

bool
snipe_pool_can_start (const struct snipe_pool *pool, const struct batch *batch,
                      snipe_time now)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t slots = 0;

  if (pool->fenced)
    return false;
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (slots < batch->count && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      if ((snipe_pool_endpoint_usable (endpoint, now)
           || snipe_pool_ends_before_leaving (pool, endpoint, batch, now))
          && snipe_pool_endpoint_is_shared (endpoint, now)
          && snipe_pool_has_label (&endpoint->entry, batch->label))
        slots += free_slots (endpoint, batch);
    }
  return slots >= batch->count;
}

struct sort_context
{
  const struct snipe_pool *pool;
  snipe_time now;
};

/* 0: a task has been started, or its room is kept; 1: can meet its soft
 * deadline; 2: can meet only its hard deadline. */
static int
tier (const struct sort_context *context, const struct batch *batch)
{
  snipe_time length = (snipe_time)(DURATION_MARGIN
                                   * (double)snipe_pool_predict_duration (
                                       context->pool, NULL, batch));

  if (snipe_batch_goes_first (batch))
    return 0;
  return context->now + length <= batch->soft_deadline ? 1 : 2;
}

/* Time left until the soft deadline, in predicted task durations. */
static double
relative_slack (const struct sort_context *context, const struct batch *batch)
{
  snipe_time length = snipe_pool_predict_duration (context->pool, NULL, batch);

  return (double)(batch->soft_deadline - context->now)
         / (double)MAX (length, 1);
}

static bool
is_granted (const struct batch *batch)
{
  return batch->hold == HOLD_GRANTED || batch->hold == HOLD_COMMITTED;
}

static gint
compare_batches (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct sort_context *context = ctx;
  const struct batch *one = *(struct batch *const *)a;
  const struct batch *two = *(struct batch *const *)b;
  int one_tier = tier (context, one);
  int two_tier = tier (context, two);
  double one_slack;
  double two_slack;

  if (context->pool->shared_order)
    {
      /* Room that was promised to a coordinator is kept. */
      if (is_granted (one) != is_granted (two))
        return is_granted (one) ? -1 : 1;
      if (one->priority != two->priority)
        return one->priority < two->priority ? -1 : 1;
    }
  if (one_tier != two_tier)
    return one_tier - two_tier;
  if (one_tier == 2 && one->priority != two->priority)
    return one->priority < two->priority ? -1 : 1;
  one_slack = relative_slack (context, one);
  two_slack = relative_slack (context, two);
  return (one_slack < two_slack) - (one_slack > two_slack);
}

void
snipe_pool_sort_batches (const struct snipe_pool *pool, GPtrArray *queue,
                         snipe_time now)
{
  struct sort_context context = { .pool = pool, .now = now };

  g_ptr_array_sort_with_data (queue, compare_batches, &context);
}

int
snipe_pool_rejection_status (const struct snipe_pool *pool,
                             const struct batch *batch, snipe_time now)
{
  snipe_time end = MIN (batch->hard_deadline, batch->caller_deadline);
  double factor = snipe_pool_far_factor (pool, NULL, batch);
  snipe_time expected;

  /* A started batch is rejected as well if a waiting task cannot end in time:
   * its other tasks would run in vain. */
  if (batch->waiting == 0)
    return SNIPE_OK;
  expected = snipe_pool_predict_duration (pool, NULL, batch);
  if (now + expected <= end)
    return SNIPE_OK;
  /* Declared durations are often too long. While there is free capacity, a
   * task that may end in time is worth a start. */
  expected
      = snipe_calibration_predict (batch->calibration, batch->estimate,
                                   (snipe_time)((double)expected / factor));
  expected = (snipe_time)((double)expected * factor);
  if (now + expected > end || !snipe_pool_can_start (pool, batch, now))
    return SNIPE_E_OVERLOAD;
  return SNIPE_OK;
}
