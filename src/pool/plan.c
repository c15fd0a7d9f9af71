/* When a batch can start and end in a pool.
 *
 * Load pattern: bursts far above the capacity, in which a batch that does not
 * find room at once may still find it in time. The plan tells a batch that is
 * worth waiting from one that is not, before any of its tasks is started. */
#include "pool/plan.h"

#include "pool/hold.h"

/* A run that has outlasted its prediction is expected to go on for this part
 * of it: durations are off by tens of percent. */
#define OVERDUE_DIVISOR 4

/** Room for one task of the batch at an endpoint. */
struct slot
{
  snipe_time free_at;
  snipe_time duration; /**< of a task there */
};

/** An end of a run, which frees its resources. */
struct release
{
  snipe_time time;
  const struct run *run;
};

static gint
compare_slots (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct slot *one = a;
  const struct slot *two = b;

  (void)ctx;
  if (one->free_at != two->free_at)
    return one->free_at < two->free_at ? -1 : 1;
  return (one->duration > two->duration) - (one->duration < two->duration);
}

static gint
compare_releases (gconstpointer a, gconstpointer b)
{
  const struct release *one = a;
  const struct release *two = b;

  return (one->time > two->time) - (one->time < two->time);
}

/* The start of a run that a previous owner started is not known. */
static snipe_time
expected_end (const struct snipe_pool *pool, const struct batch *batch,
              const struct run *run, snipe_time now)
{
  snipe_time length = run->predicted_duration;

  if (run->start_sent == 0 || length <= 0)
    return now + snipe_pool_predict_duration (pool, run->endpoint, batch);
  if (run->start_sent + length > now)
    return run->start_sent + length;
  return now + length / OVERDUE_DIVISOR;
}

static void
append_slots (GArray *slots, uint32_t count, const struct slot *slot)
{
  for (uint32_t i = 0; i < count; i++)
    g_array_append_val (slots, *slot);
}

/* Number of tasks of the batch, up to @p max, that an endpoint has room for if
 * @p used is occupied there. */
static uint32_t
room (const struct snipe_pool_endpoint *endpoint, const struct batch *batch,
      const struct snipe_capacity *used, uint32_t own_runs, uint32_t max)
{
  const struct snipe_capacity *capacity = &endpoint->entry.capacity;
  const struct snipe_capacity *size = &batch->task_resources;
  int64_t slots = max;

  if (batch->max_per_endpoint > 0)
    slots = MIN (slots, (int64_t)batch->max_per_endpoint - own_runs);
  if (size->cpu > 0)
    slots = MIN (slots, (capacity->cpu - used->cpu) / size->cpu);
  if (size->mem_mb > 0)
    slots = MIN (slots, (capacity->mem_mb - used->mem_mb) / size->mem_mb);
  if (size->gpu > 0)
    slots = MIN (slots, (capacity->gpu - used->gpu) / size->gpu);
  return (uint32_t)MAX (slots, 0);
}

/* Appends the slots of an endpoint, now and as its runs end. */
static void
append_endpoint (GArray *slots, const struct snipe_pool *pool,
                 const struct snipe_pool_endpoint *endpoint,
                 const struct batch *batch, uint32_t max, snipe_time now)
{
  GArray *releases = g_array_new (FALSE, FALSE, sizeof (struct release));
  struct snipe_capacity used = endpoint->used;
  uint32_t unknown_sizes = endpoint->unknown_sizes;
  uint32_t alone = endpoint->alone_runs;
  uint32_t own = 0;
  uint32_t counted = 0;
  struct slot slot
      = { .free_at = MAX (now, endpoint->reserved_until),
          .duration = snipe_pool_predict_duration (pool, endpoint, batch) };

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const struct run *run = g_ptr_array_index (endpoint->runs, i);
      struct release release
          = { .time = expected_end (pool, batch, run, now), .run = run };

      own += run->batch == batch;
      g_array_append_val (releases, release);
    }
  g_array_sort (releases, compare_releases);
  for (guint i = 0; counted < max; i++)
    {
      uint32_t count = unknown_sizes > 0 || alone > 0
                           ? 0
                           : room (endpoint, batch, &used, own, max);
      const struct release *release;

      if (count > counted)
        {
          append_slots (slots, count - counted, &slot);
          counted = count;
        }
      if (i == releases->len)
        break;
      release = &g_array_index (releases, struct release, i);
      used.cpu -= release->run->resources.cpu;
      used.mem_mb -= release->run->resources.mem_mb;
      used.gpu -= release->run->resources.gpu;
      unknown_sizes -= release->run->size_unknown;
      alone -= release->run->alone;
      own -= release->run->batch == batch;
      slot.free_at = MAX (slot.free_at, release->time);
    }
  g_array_free (releases, TRUE);
}

/* Number of tasks of the size of @p batch that a batch which goes first still
 * has to start, 0 for one that is not ahead of it. */
static uint32_t
tasks_ahead (const struct batch *started, const struct batch *batch)
{
  int64_t size = MAX (batch->task_resources.cpu, 1);

  if (started == batch || !snipe_batch_goes_first (started))
    return 0;
  return (uint32_t)((started->waiting * started->task_resources.cpu + size - 1)
                    / size);
}

/* Runs @p count tasks, each in the slot that is free first.
 * @param duration of each; 0: that of the slot */
static void
run_tasks (GSequence *queue, uint32_t count, snipe_time duration,
           struct snipe_plan *plan, snipe_time now)
{
  for (uint32_t i = 0; i < count; i++)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (queue);
      struct slot *slot = g_sequence_get (first);

      plan->start = MAX (plan->start, slot->free_at);
      plan->at_once += slot->free_at <= now;
      slot->free_at += duration > 0 ? duration : slot->duration;
      plan->end = MAX (plan->end, slot->free_at);
      g_sequence_sort_changed (first, compare_slots, NULL);
    }
}

bool
snipe_pool_plan (struct snipe_plan *out, const struct snipe_pool *pool,
                 const struct batch *batch, snipe_time now)
{
  struct snipe_plan plan = { .start = now, .end = now };
  struct snipe_plan ahead = { 0 };
  uint32_t total = batch->waiting;
  GArray *slots = g_array_new (FALSE, FALSE, sizeof (struct slot));
  GSequence *queue = NULL;
  GHashTableIter iter;
  gpointer value;
  bool fits = false;

  if (pool->fenced)
    goto cleanup;
  for (guint i = 0; i < pool->batches->len; i++)
    total += tasks_ahead (g_ptr_array_index (pool->batches, i), batch);
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      if (snipe_pool_endpoint_usable (endpoint, now)
          && snipe_pool_has_label (&endpoint->entry, batch->label))
        append_endpoint (slots, pool, endpoint, batch, total, now);
    }
  fits = slots->len > 0 || batch->waiting == 0;
  if (!fits)
    goto cleanup;
  g_array_sort_with_data (slots, compare_slots, NULL);
  queue = g_sequence_new (NULL);
  for (guint i = 0; i < MIN (slots->len, total); i++)
    g_sequence_append (queue, &g_array_index (slots, struct slot, i));
  for (guint i = 0; i < pool->batches->len; i++)
    {
      const struct batch *started = g_ptr_array_index (pool->batches, i);

      run_tasks (queue, tasks_ahead (started, batch),
                 snipe_pool_predict_duration (pool, NULL, started), &ahead,
                 now);
    }
  run_tasks (queue, batch->waiting, 0, &plan, now);
  *out = plan;

cleanup:
  if (queue != NULL)
    g_sequence_free (queue);
  g_array_free (slots, TRUE);
  return fits;
}
