#include "pool/near.h"

#include <string.h>

/* A run may take this many times its predicted duration, as declared durations
 * are off by tens of percent. When it will end is not known after that. */
#define OVERDUE_MAX 1.7
/* Places of an endpoint that are looked at; bounds the work for tasks that
 * need hardly anything. */
#define PLACES_MAX 256U

/* Places of a rack for the tasks of one batch. */
struct near_view
{
  uint32_t places; /* busy ones too */
  uint32_t free;
  snipe_time duration; /* shortest of a task */
  GArray *free_at;     /* snipe_time of each place whose time is known */
};

static bool
has_locality (const struct snipe_pool *pool, const struct batch *batch)
{
  return pool->far_factor.declared > 1
         && (*batch->rack != '\0' || batch->group);
}

/* @return the rack where a place is near, "" if that is not known. */
static const char *
near_rack (const struct batch *batch)
{
  return *batch->rack != '\0' ? batch->rack : batch->home;
}

bool
snipe_pool_is_far (const struct snipe_pool *pool,
                   const struct snipe_pool_endpoint *endpoint,
                   const struct batch *batch)
{
  const char *rack = near_rack (batch);

  return has_locality (pool, batch)
         && (batch->split
             || (*rack != '\0' && strcmp (rack, endpoint->entry.rack) != 0));
}

double
snipe_pool_far_factor (const struct snipe_pool *pool,
                       const struct snipe_pool_endpoint *endpoint,
                       const struct batch *batch)
{
  bool far = endpoint == NULL ? has_locality (pool, batch) && batch->all_far
                              : snipe_pool_is_far (pool, endpoint, batch);

  return far ? snipe_locality_factor_get (&pool->far_factor) : 1;
}

/* Whether a task is as slow at the endpoint as it is far from its data at the
 * others. Ratios are relative to each other: they may all drift. */
static bool
is_slow (const struct snipe_pool *pool,
         const struct snipe_pool_endpoint *endpoint)
{
  return endpoint->duration_ratio
         >= pool->typical_ratio
                * snipe_locality_factor_get (&pool->far_factor);
}

bool
snipe_pool_prefers_endpoint (const struct snipe_pool *pool,
                             const struct snipe_pool_endpoint *endpoint,
                             const struct batch *batch)
{
  const char *rack = near_rack (batch);

  if (!has_locality (pool, batch))
    return *batch->rack == '\0'
           || strcmp (batch->rack, endpoint->entry.rack) == 0;
  return batch->split || *rack == '\0'
         || (strcmp (rack, endpoint->entry.rack) == 0
             && !is_slow (pool, endpoint));
}

/* @return when the run is expected to have ended, or SNIPE_LOCALITY_UNKNOWN.
 */
static snipe_time
expected_end (const struct snipe_pool *pool, const struct run *run,
              snipe_time now)
{
  snipe_time elapsed = now - run->start_sent;
  snipe_time limit
      = (snipe_time)(OVERDUE_MAX * (double)run->predicted_duration);

  if (run->state == RUN_STOPPING)
    return now + pool->stop_max;
  if (run->start_sent == 0 || elapsed >= limit)
    return SNIPE_LOCALITY_UNKNOWN;
  if (elapsed < run->predicted_duration)
    return run->start_sent + run->predicted_duration;
  return now + (limit - elapsed) / 2;
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  snipe_time one = *(const snipe_time *)a;
  snipe_time two = *(const snipe_time *)b;

  return (one > two) - (one < two);
}

/* @return how many tasks of the batch the capacity has room for. */
static uint32_t
count_places (const struct snipe_capacity *capacity, const struct batch *batch,
              uint32_t max)
{
  const struct snipe_capacity *size = &batch->task_resources;
  int64_t places = max;

  if (size->cpu > 0)
    places = MIN (places, capacity->cpu / size->cpu);
  if (size->mem_mb > 0)
    places = MIN (places, capacity->mem_mb / size->mem_mb);
  if (size->gpu > 0)
    places = MIN (places, capacity->gpu / size->gpu);
  return (uint32_t)MAX (places, 0);
}

static uint32_t
places_max (const struct batch *batch)
{
  return batch->max_per_endpoint > 0
             ? MIN (batch->max_per_endpoint, PLACES_MAX)
             : PLACES_MAX;
}

struct expected_run
{
  snipe_time end;
  const struct snipe_capacity *size;
};

/* Adds the times when places of an endpoint become free. */
static void
add_free_times (const struct snipe_pool *pool,
                const struct snipe_pool_endpoint *endpoint,
                const struct batch *batch, struct near_view *view,
                snipe_time now)
{
  const struct snipe_capacity capacity
      = snipe_pool_endpoint_free_capacity (endpoint);
  struct snipe_capacity left = { .cpu = MAX (capacity.cpu, 0),
                                 .mem_mb = MAX (capacity.mem_mb, 0),
                                 .gpu = MAX (capacity.gpu, 0) };
  uint32_t count = count_places (&left, batch, places_max (batch));
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (struct expected_run));

  view->free += count;
  for (uint32_t k = 0; k < count; k++)
    g_array_append_val (view->free_at, now);
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const struct run *run = g_ptr_array_index (endpoint->runs, i);
      struct expected_run item
          = { .end = expected_end (pool, run, now), .size = &run->resources };

      if (item.end != SNIPE_LOCALITY_UNKNOWN)
        g_array_append_val (ends, item);
    }
  /* The end is the first member. */
  g_array_sort (ends, compare_times);
  for (guint i = 0; i < ends->len; i++)
    {
      const struct expected_run *item
          = &g_array_index (ends, struct expected_run, i);
      uint32_t more;

      left.cpu += item->size->cpu;
      left.mem_mb += item->size->mem_mb;
      left.gpu += item->size->gpu;
      more = count_places (&left, batch, places_max (batch));
      for (; count < more; count++)
        g_array_append_val (view->free_at, item->end);
    }
  g_array_free (ends, TRUE);
}

/* Looks at the endpoints of a rack that a wait may be for. */
static void
view_rack (const struct snipe_pool *pool, const struct batch *batch,
           const char *rack, struct near_view *out, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  *out = (struct near_view){
    .duration = SNIPE_LOCALITY_UNKNOWN,
    .free_at = g_array_new (FALSE, FALSE, sizeof (snipe_time)),
  };
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;
      double duration;

      if (strcmp (endpoint->entry.rack, rack) != 0 || is_slow (pool, endpoint)
          || endpoint->unknown_sizes > 0
          || !snipe_pool_endpoint_usable (endpoint, now)
          || !snipe_pool_endpoint_is_shared (endpoint, now)
          || !snipe_pool_has_label (&endpoint->entry, batch->label))
        continue;
      duration = (double)batch->estimate * pool->slowdown
                 * endpoint->duration_ratio;
      out->duration = MIN (out->duration, (snipe_time)duration);
      out->places += count_places (&endpoint->entry.capacity, batch,
                                   places_max (batch));
      add_free_times (pool, endpoint, batch, out, now);
    }
  g_array_sort (out->free_at, compare_times);
}

/* @return when the @p count th place from now on is free: each place is used
 * again when its task has ended. */
static snipe_time
place_free_at (const struct near_view *view, uint32_t count)
{
  uint32_t places = view->free_at->len;

  if (places == 0 || count == 0)
    return SNIPE_LOCALITY_UNKNOWN;
  return g_array_index (view->free_at, snipe_time, (count - 1) % places)
         + (snipe_time)((count - 1) / places) * view->duration;
}

/* Whether the rack @p one serves all waiting tasks sooner than @p two, or as
 * soon and leaves more room elsewhere. */
static bool
is_better_rack (const struct near_view *one, const struct near_view *two,
                uint32_t count)
{
  snipe_time one_at = place_free_at (one, count);
  snipe_time two_at = place_free_at (two, count);

  if (one_at == SNIPE_LOCALITY_UNKNOWN || two_at == SNIPE_LOCALITY_UNKNOWN)
    return two_at == SNIPE_LOCALITY_UNKNOWN
           && one_at != SNIPE_LOCALITY_UNKNOWN;
  if (one_at + one->duration != two_at + two->duration)
    return one_at + one->duration < two_at + two->duration;
  return one->free < two->free;
}

/* Chooses the rack in which the last waiting task is expected to end first. */
static void
choose_home (const struct snipe_pool *pool, struct batch *batch,
             snipe_time now)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  struct near_view best = { .free_at = g_array_new (FALSE, FALSE, 1) };
  GHashTableIter iter;
  gpointer value;

  *batch->home = '\0';
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;
      const char *rack = endpoint->entry.rack;
      struct near_view view;

      if (*rack == '\0' || !g_hash_table_add (seen, (gpointer)rack))
        continue;
      view_rack (pool, batch, rack, &view, now);
      if (is_better_rack (&view, &best, batch->waiting))
        {
          g_array_free (best.free_at, TRUE);
          best = view;
          g_strlcpy (batch->home, rack, sizeof batch->home);
        }
      else
        g_array_free (view.free_at, TRUE);
    }
  g_array_free (best.free_at, TRUE);
  g_hash_table_destroy (seen);
}

/* Whether an endpoint of the rack may be used now or soon. */
static bool
has_rack (const struct snipe_pool *pool, const char *rack)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      if (endpoint->listed && !endpoint->entry.draining
          && endpoint->refuses_since == 0
          && strcmp (endpoint->entry.rack, rack) == 0)
        return true;
    }
  return false;
}

/* Takes the rack of a group from its runs, of which some may be adopted. */
static void
follow_runs (struct batch *batch)
{
  for (uint32_t i = 0; i < batch->count; i++)
    {
      const struct run *run = batch->tasks[i].run;

      if (run == NULL)
        continue;
      if (*batch->home == '\0')
        g_strlcpy (batch->home, run->endpoint->entry.rack, sizeof batch->home);
      batch->split |= strcmp (batch->home, run->endpoint->entry.rack) != 0;
    }
}

static gint
compare_ratios (gconstpointer a, gconstpointer b)
{
  double one = *(const double *)a;
  double two = *(const double *)b;

  return (one > two) - (one < two);
}

void
snipe_pool_begin_round (struct snipe_pool *pool, snipe_time now)
{
  GArray *ratios;
  GHashTableIter iter;
  gpointer value;
  bool needed = false;

  pool->locality_round++;
  for (guint i = 0; i < pool->batches->len && !needed; i++)
    needed = has_locality (pool, g_ptr_array_index (pool->batches, i));
  if (!needed)
    return;
  ratios = g_array_new (FALSE, FALSE, sizeof (double));
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      if (snipe_pool_endpoint_usable (endpoint, now))
        g_array_append_val (ratios, endpoint->duration_ratio);
    }
  g_array_sort (ratios, compare_ratios);
  if (ratios->len > 0)
    pool->typical_ratio = g_array_index (ratios, double, ratios->len / 2);
  g_array_free (ratios, TRUE);
}

void
snipe_pool_locate_batch (struct snipe_pool *pool, struct batch *batch,
                         snipe_time now)
{
  if (!has_locality (pool, batch))
    return;
  if (*batch->rack != '\0')
    {
      batch->all_far = !has_rack (pool, batch->rack);
      return;
    }
  if (batch->waiting == batch->count)
    {
      batch->split = false;
      choose_home (pool, batch, now);
    }
  else
    follow_runs (batch);
  batch->all_far = batch->split;
}

/* @return the number of tasks that were made to wait for near places of the
 * rack in this round, which goes by the scheduling order. */
static uint32_t
count_ahead (const struct snipe_pool *pool, const struct batch *batch)
{
  uint32_t count = 0;

  for (guint i = 0; i < pool->batches->len; i++)
    {
      const struct batch *other = g_ptr_array_index (pool->batches, i);

      if (other != batch && other->locality_round == pool->locality_round
          && other->locality == SNIPE_LOCALITY_WAIT
          && strcmp (near_rack (other), near_rack (batch)) == 0)
        count += other->waiting;
    }
  return count;
}

/* Fills in what waits for any place, and how many places there are. */
static void
count_others (const struct snipe_pool *pool, const struct batch *batch,
              struct snipe_locality_input *input, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < pool->batches->len; i++)
    {
      const struct batch *other = g_ptr_array_index (pool->batches, i);

      if (other != batch
          && !(other->locality_decided
               && other->locality == SNIPE_LOCALITY_WAIT))
        input->others += other->waiting;
    }
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      if (snipe_pool_endpoint_usable (endpoint, now))
        input->places += count_places (&endpoint->entry.capacity, batch,
                                       places_max (batch));
    }
}

static void
report (const struct snipe_pool *pool, struct batch *batch,
        const struct snipe_locality_input *input,
        const struct snipe_locality_decision *decision)
{
  struct snipe_pool_locality locality = {
    .job = batch->job,
    .coordinator = batch->coordinator,
    .batch = batch->number,
    .choice = decision->choice,
    .rack = near_rack (batch),
    .near_wait = input->near_at == SNIPE_LOCALITY_UNKNOWN
                     ? -1
                     : MAX (input->near_at - input->now, 0),
    .factor = input->factor,
    .left = input->hard_deadline - input->now,
  };

  if (decision->choice == SNIPE_LOCALITY_WAIT)
    locality.wait_max = decision->until - input->now;
  batch->locality_round = pool->locality_round;
  if (batch->locality_decided && batch->locality == decision->choice)
    return;
  batch->locality_decided = true;
  batch->locality = decision->choice;
  if (pool->callbacks.locality != NULL)
    pool->callbacks.locality (pool->callbacks.ctx, &locality);
}

/* Whether a start elsewhere is tried after those of the other batches, as it
 * would be late for its caller. A group does not give way: its tasks that run
 * already have no value without the others, and it earned less in the replay.
 */
static bool
gives_way (const struct batch *batch, const struct snipe_locality_input *input)
{
  double far_duration = (double)input->duration * input->factor;

  return *batch->rack != '\0' && input->others > 0
         && input->now + (snipe_time)far_duration > input->soft_deadline;
}

bool
snipe_pool_accepts_place (struct snipe_pool *pool, struct batch *batch,
                          const struct snipe_pool_endpoint *endpoint,
                          bool leftover, snipe_time now)
{
  struct snipe_locality_input input = {
    .now = now,
    .near_at = now,
    .soft_deadline = batch->soft_deadline,
    .hard_deadline = MIN (batch->hard_deadline, batch->caller_deadline),
    .waiting_since = batch->near_wait_since,
    .tasks = *batch->rack == '\0' ? batch->pending : 1,
  };
  struct snipe_locality_decision decision;
  snipe_time duration;

  if (!has_locality (pool, batch) || batch->split)
    return true;
  duration = snipe_pool_predict_duration (pool, endpoint, batch);
  input.duration = duration;
  input.factor = snipe_locality_factor_get (&pool->far_factor);
  if (!snipe_pool_prefers_endpoint (pool, endpoint, batch))
    {
      struct near_view view;

      view_rack (pool, batch, near_rack (batch), &view, now);
      input.near_at
          = place_free_at (&view, count_ahead (pool, batch) + batch->waiting);
      input.duration = (snipe_time)((double)duration / input.factor);
      if (view.places > 0)
        {
          input.duration = view.duration;
          input.factor = (double)duration / (double)MAX (view.duration, 1);
        }
      g_array_free (view.free_at, TRUE);
      count_others (pool, batch, &input, now);
    }
  decision = snipe_locality_decide (&input);
  batch->gave_way = !leftover && decision.choice == SNIPE_LOCALITY_FAR
                    && gives_way (batch, &input);
  if (batch->gave_way)
    return false;
  report (pool, batch, &input, &decision);
  if (decision.choice == SNIPE_LOCALITY_WAIT && batch->near_wait_since == 0)
    batch->near_wait_since = now;
  return decision.choice != SNIPE_LOCALITY_WAIT;
}

/* The tasks of a group that run already take longer from now on. */
static void
split_group (const struct snipe_pool *pool, struct batch *batch)
{
  double factor = snipe_locality_factor_get (&pool->far_factor);

  batch->split = true;
  batch->all_far = true;
  for (uint32_t i = 0; i < batch->count; i++)
    {
      struct run *run = batch->tasks[i].run;

      if (run == NULL || run->far)
        continue;
      run->partly_far = true;
      run->predicted_duration
          = (snipe_time)((double)run->predicted_duration * factor);
    }
}

void
snipe_pool_note_place (struct snipe_pool *pool, struct batch *batch,
                       struct run *run)
{
  run->far = snipe_pool_is_far (pool, run->endpoint, batch);
  run->far_factor = snipe_pool_far_factor (pool, run->endpoint, batch);
  if (run->far && *batch->rack == '\0' && !batch->split)
    split_group (pool, batch);
}
