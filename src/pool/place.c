/* Order of waiting batches, choice of an endpoint, and refusal. Pure.
 *
 * The load patterns that each rule answers:
 * - a burst over the capacity: batches that can still end in time go before
 *   those that cannot, and among them the one with the most time left for its
 *   length. A backlog then costs the batches that have waited longest, most of
 *   which would be late anyway, and not all that follow them; and no kind of
 *   job starves, as it would if the most urgent or the smallest went first
 *   (worst kind 0.60 of its worth at 2.6 times the load, against 0.43 and
 *   0.47, tests/pool/test_pool_load.c);
 * - wide batches under load: a batch of which a task runs goes first, because
 *   its job is worth nothing until its last task has ended;
 * - tasks of a third to a half of an endpoint: the endpoint with the least
 *   room left is filled first, so that whole gaps stay for large tasks. */
#include "pool/private.h"

#include <string.h>

#include "snipe/status.h"

/* Declared durations are off by tens of percent; a batch counts as on time
 * only if a task this much longer than predicted would still be. Lower values
 * keep starting work under overload that ends late. */
#define DURATION_MARGIN 1.7
/* Two endpoints within this factor of speed count as equally fast. */
#define SPEED_STEP 1.3

snipe_time
snipe_pool_predict (const struct snipe_pool *pool,
                    const struct snipe_pool_endpoint *endpoint,
                    const struct batch *batch)
{
  double ratio = endpoint == NULL ? 1.0 : endpoint->speed_ratio;

  return (snipe_time)((double)batch->estimate * pool->slowness * ratio);
}

static uint32_t
runs_of (const struct snipe_pool_endpoint *endpoint, const struct batch *batch)
{
  uint32_t count = 0;

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const struct run *run = g_ptr_array_index (endpoint->runs, i);

      if (run->batch == batch)
        count++;
    }
  return count;
}

static bool
has_label (const struct snipe_endpoint_entry *entry, const char *label)
{
  return *label == '\0' || strcmp (entry->kind, label) == 0
         || strcmp (entry->rack, label) == 0;
}

/* How much worse a choice is: first out of the wanted rack, then too slow to
 * end in time, then the room that it leaves. */
static double
penalty (const struct snipe_pool *pool,
         const struct snipe_pool_endpoint *endpoint, const struct batch *batch,
         snipe_time now)
{
  const struct snipe_endpoint_entry *entry = &endpoint->entry;
  double room
      = (double)(entry->capacity.cpu - endpoint->used.cpu - batch->each.cpu)
        / (double)MAX (entry->capacity.cpu, 1);
  double value = room;
  snipe_time end = now + snipe_pool_predict (pool, endpoint, batch);

  if (endpoint->speed_ratio > SPEED_STEP)
    value += endpoint->speed_ratio;
  if (end > batch->due)
    value += 10.0 * (double)(end - now) / (double)MAX (batch->estimate, 1);
  if (*batch->rack != '\0' && strcmp (batch->rack, entry->rack) != 0)
    value += 1000.0;
  return value;
}

struct snipe_pool_endpoint *
snipe_pool_choose (const struct snipe_pool *pool, const struct batch *batch,
                   snipe_time now)
{
  struct snipe_pool_endpoint *best = NULL;
  double best_penalty = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct snipe_pool_endpoint *endpoint = value;
      double cost;

      if (!snipe_pool_endpoint_fits (endpoint, &batch->each)
          || !snipe_pool_endpoint_usable (endpoint, now)
          || !has_label (&endpoint->entry, batch->label)
          || (batch->max_per_endpoint > 0
              && runs_of (endpoint, batch) >= batch->max_per_endpoint))
        continue;
      cost = penalty (pool, endpoint, batch, now);
      if (best == NULL || cost < best_penalty)
        {
          best = endpoint;
          best_penalty = cost;
        }
    }
  return best;
}

struct rank
{
  const struct snipe_pool *pool;
  snipe_time now;
};

/* 0: has begun; 1: can end in time; 2: can end before it is worthless. */
static int
tier (const struct rank *rank, const struct batch *batch)
{
  snipe_time length
      = (snipe_time)(DURATION_MARGIN
                     * (double)snipe_pool_predict (rank->pool, NULL, batch));

  if (batch->started)
    return 0;
  return rank->now + length <= batch->due ? 1 : 2;
}

/* Time left until the batch should end, in durations of its tasks. */
static double
relative_slack (const struct rank *rank, const struct batch *batch)
{
  snipe_time length = snipe_pool_predict (rank->pool, NULL, batch);

  return (double)(batch->due - rank->now) / (double)MAX (length, 1);
}

static gint
compare (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct rank *rank = ctx;
  const struct batch *one = *(struct batch *const *)a;
  const struct batch *two = *(struct batch *const *)b;
  int one_tier = tier (rank, one);
  int two_tier = tier (rank, two);
  double one_slack;
  double two_slack;

  if (one_tier != two_tier)
    return one_tier - two_tier;
  if (one_tier == 2 && one->priority != two->priority)
    return one->priority < two->priority ? -1 : 1;
  one_slack = relative_slack (rank, one);
  two_slack = relative_slack (rank, two);
  return (one_slack < two_slack) - (one_slack > two_slack);
}

void
snipe_pool_sort (const struct snipe_pool *pool, GPtrArray *order,
                 snipe_time now)
{
  struct rank rank = { .pool = pool, .now = now };

  g_ptr_array_sort_with_data (order, compare, &rank);
}

int
snipe_pool_refusal (const struct snipe_pool *pool, const struct batch *batch,
                    snipe_time now)
{
  snipe_time end = MIN (batch->late, batch->give_up);

  /* What has begun is given up as well when a task that still waits cannot
   * end in time: the others would run for nothing. */
  if (batch->waiting == 0)
    return SNIPE_OK;
  if (now + snipe_pool_predict (pool, NULL, batch) > end)
    return SNIPE_E_OVERLOAD;
  return SNIPE_OK;
}
