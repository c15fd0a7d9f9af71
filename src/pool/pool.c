/* Orders to endpoints, their answers, and what time brings about. */
#include "pool/batch.h"

#include <string.h>

#include "snipe/status.h"

/* An endpoint that is well answers within a few ms; a second order for the
 * same run is harmless, so it goes out early. */
#define START_TIMEOUT (80 * SNIPE_MS)
#define START_ORDERS_MAX 3
#define STOP_TIMEOUT (80 * SNIPE_MS)
#define STOP_INTERVAL (60 * SNIPE_MS)
/* Time over its wait that an answer to a hold may take. */
#define HOLD_SLACK (150 * SNIPE_MS)
/* How long a run of an earlier owner waits for the host that keeps its job. */
#define ORPHAN_WAIT (500 * SNIPE_MS)
/* Time that a new list of endpoints takes after a claim, if the store is well;
 * a multiple of its answer time. */
#define DIRECTORY_WAIT (60 * SNIPE_MS)
/* A task that takes this many times its predicted duration and this much
 * longer stands still or is on an endpoint that turned slow. */
#define STRAGGLER_FACTOR 3
#define STRAGGLER_MIN (120 * SNIPE_MS)
/* Shortest and longest time after which a refused caller may come back. */
#define RETRY_AFTER_MIN (1 * SNIPE_S)
#define RETRY_AFTER_MAX (30 * SNIPE_S)

int
snipe_pool_new (struct snipe_pool **out,
                const struct snipe_pool_options *options, snipe_time now)
{
  struct snipe_pool *pool;

  if (options->version != SNIPE_POOL_OPTIONS_VERSION)
    return snipe_status_set (SNIPE_E_INVALID,
                             "unknown version %u of pool options",
                             options->version);
  pool = g_new0 (struct snipe_pool, 1);
  pool->token = options->token;
  pool->lease_max = options->lease_max;
  pool->stop_max = options->stop_max;
  pool->port = options->port;
  pool->created = now;
  pool->slowness = 1.0;
  pool->endpoints = g_hash_table_new_full (
      g_str_hash, g_str_equal, NULL, (GDestroyNotify)snipe_pool_endpoint_free);
  pool->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  pool->batches
      = g_ptr_array_new_with_free_func ((GDestroyNotify)snipe_batch_free);
  *out = pool;
  return SNIPE_OK;
}

void
snipe_pool_free (struct snipe_pool *pool)
{
  if (pool == NULL)
    return;
  g_ptr_array_free (pool->batches, TRUE);
  g_hash_table_destroy (pool->endpoints);
  g_hash_table_destroy (pool->done);
  g_free (pool);
}

bool
snipe_pool_fenced (const struct snipe_pool *pool)
{
  return pool->fenced;
}

void
snipe_pool_directory_known (struct snipe_pool *pool)
{
  pool->directory_known = true;
}

bool
snipe_pool_has (const struct snipe_pool *pool, const char *endpoint)
{
  return g_hash_table_contains (pool->endpoints, endpoint);
}

bool
snipe_pool_busy (const struct snipe_pool *pool)
{
  GHashTableIter iter;
  gpointer value;

  if (pool->batches->len > 0)
    return true;
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct snipe_pool_endpoint *)value)->runs->len > 0)
      return true;
  return false;
}

/* A short hold asks what runs; one that waits also keeps the lease. */
static void
send_hold (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
           bool wait, snipe_time now)
{
  struct snipe_pool_hold order = {
    .endpoint = &endpoint->entry,
    .token = pool->token,
    .last_seen = endpoint->last_seen,
    .wait = wait ? pool->lease_max / 2 - pool->lease_max / 20 : 0,
  };

  if (endpoint->hold_in_flight || endpoint->claim == CLAIM_FENCED)
    return;
  /* A silent endpoint is only asked: its lease has to end for certain. */
  if (endpoint->clock_at > 0
      && (wait || endpoint->heard >= endpoint->hold_sent))
    endpoint->extended = now;
  if (endpoint->extended == now)
    order.valid_until = snipe_pool_endpoint_clock (endpoint, now)
                        + pool->lease_max / SNIPE_MS;
  order.timeout = order.wait + HOLD_SLACK;
  endpoint->hold_in_flight = true;
  endpoint->hold_sent = now;
  pool->port.hold (pool->port.ctx, &order);
}

static void
send_start (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  struct snipe_pool_endpoint *endpoint = run->endpoint;
  struct snipe_pool_start order = {
    .endpoint = &endpoint->entry,
    .token = pool->token,
    .run = run->number,
    .spec = run->batch->spec,
    .valid_until = snipe_pool_endpoint_clock (endpoint, now)
                   + pool->lease_max / 2 / SNIPE_MS,
    .timeout = START_TIMEOUT,
  };

  g_strlcpy (order.task, run->task, sizeof order.task);
  run->orders++;
  endpoint->extended = now;
  pool->port.start (pool->port.ctx, &order);
}

static void
send_stop (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  struct snipe_pool_stop order = { .endpoint = &run->endpoint->entry,
                                   .token = pool->token,
                                   .run = run->number,
                                   .timeout = STOP_TIMEOUT };

  g_strlcpy (order.task, run->task, sizeof order.task);
  run->stop_in_flight = true;
  run->stop_sent = now;
  pool->port.stop (pool->port.ctx, &order);
}

void
snipe_pool_run_stop (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  if (run->state == RUN_STOPPING)
    return;
  run->state = RUN_STOPPING;
  send_stop (pool, run, now);
}

/* The run is neither at the endpoint nor will it be. */
static void
end_run (struct snipe_pool *pool, struct run *run, enum snipe_run_end end,
         snipe_time now)
{
  struct run copy = *run;

  snipe_pool_endpoint_ended (pool, run->endpoint, run, end, now);
  snipe_pool_run_remove (run);
  if (copy.batch != NULL)
    snipe_batch_run_ended (pool, &copy, end, now);
}

static void
void_run (struct run *run, bool old_number)
{
  if (run->batch != NULL)
    snipe_batch_run_void (run, old_number);
  snipe_pool_run_remove (run);
}

/* Everything that ran there is gone. */
static void
lapse_all (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
           snipe_time now)
{
  while (endpoint->runs->len > 0)
    end_run (pool, g_ptr_array_index (endpoint->runs, 0), SNIPE_RUN_LAPSED,
             now);
}

/* The endpoint has restarted under its id. What ran in the life before is
 * gone, but a task that was ordered since may run in this one already: the
 * next hold tells which. */
static void
begin_life (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
            int64_t born_ms, snipe_time now)
{
  endpoint->entry.born_ms = born_ms;
  endpoint->last_seen = 0;
  endpoint->claim = CLAIM_ASKED;
  endpoint->claim_deadline = now;
  send_hold (pool, endpoint, false, now);
}

void
snipe_pool_endpoint_set (struct snipe_pool *pool,
                         const struct snipe_endpoint_entry *entry,
                         snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, entry->id);
  int64_t born_ms;

  if (endpoint == NULL)
    {
      endpoint = snipe_pool_endpoint_new (entry, pool->lease_max, now);
      g_hash_table_insert (pool->endpoints, endpoint->entry.id, endpoint);
      send_hold (pool, endpoint, false, now);
      return;
    }
  /* The list may be behind what the endpoint itself has said. */
  born_ms = MAX (entry->born_ms, endpoint->entry.born_ms);
  if (born_ms == endpoint->entry.born_ms && endpoint->entry.draining)
    {
      endpoint->entry = *entry;
      endpoint->entry.draining = true;
    }
  else if (born_ms == endpoint->entry.born_ms)
    endpoint->entry = *entry;
  else
    {
      endpoint->entry = *entry;
      begin_life (pool, endpoint, born_ms, now);
    }
  endpoint->entry.born_ms = born_ms;
  endpoint->listed = true;
}

void
snipe_pool_endpoint_remove (struct snipe_pool *pool, const char *id,
                            snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, id);

  (void)now;
  /* An entry may be missing while its endpoint lives, so what runs there is
   * kept until it has ended. */
  if (endpoint != NULL)
    endpoint->listed = false;
}

static struct snipe_pool_endpoint *
heard (struct snipe_pool *pool, const char *id,
       const struct snipe_endpoint_report *report, snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, id);

  if (endpoint == NULL)
    return NULL;
  if (report != NULL)
    {
      endpoint->heard = now;
      if (report->leaving)
        endpoint->entry.draining = true;
      if (report->clock_ms > 0)
        {
          endpoint->clock_base = report->clock_ms;
          endpoint->clock_at = now;
        }
    }
  return endpoint;
}

static void
fence (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint)
{
  endpoint->claim = CLAIM_FENCED;
  pool->fenced = true;
}

static void
start_unanswered (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  if (run->state == RUN_STOPPING || run->state == RUN_ACTIVE)
    return;
  run->state = RUN_UNSURE;
  if (run->orders < START_ORDERS_MAX && run->batch != NULL)
    {
      send_start (pool, run, now);
      return;
    }
  snipe_pool_endpoint_failed (run->endpoint, now);
  run->endpoint->suspended_until
      = MAX (run->endpoint->suspended_until, now + 2 * START_TIMEOUT);
  snipe_pool_run_stop (pool, run, now);
}

static void place (struct snipe_pool *pool, snipe_time now);

void
snipe_pool_on_start (struct snipe_pool *pool, const char *id, const char *task,
                     uint32_t number, enum snipe_endpoint_answer answer,
                     const struct snipe_endpoint_report *report,
                     snipe_time now)
{
  struct snipe_pool_endpoint *endpoint = heard (pool, id, report, now);
  struct run *run
      = endpoint == NULL ? NULL : snipe_pool_run_find (endpoint, task, number);

  if (run == NULL)
    return;
  switch (answer)
    {
    case SNIPE_ANSWER_OK:
      if (run->state == RUN_ORDERED || run->state == RUN_UNSURE)
        {
          run->state = RUN_ACTIVE;
          run->confirmed = now;
        }
      send_hold (pool, endpoint, true, now);
      return;
    case SNIPE_ANSWER_NONE:
      start_unanswered (pool, run, now);
      return;
    case SNIPE_ANSWER_FENCED:
      fence (pool, endpoint);
      break;
    case SNIPE_ANSWER_OLD_RUN:
    case SNIPE_ANSWER_TOO_LATE:
      break;
    case SNIPE_ANSWER_UNREACHED:
    case SNIPE_ANSWER_NO_ROOM:
    case SNIPE_ANSWER_UNHEALTHY:
      snipe_pool_endpoint_failed (endpoint, now);
      endpoint->suspended_until
          = MAX (endpoint->suspended_until, now + START_TIMEOUT);
      break;
    case SNIPE_ANSWER_OTHER_LIFE:
      endpoint->listed = false;
      lapse_all (pool, endpoint, now);
      place (pool, now);
      return;
    case SNIPE_ANSWER_REFUSED:
      if (run->batch != NULL && run->orders == 1)
        {
          struct batch *batch = run->batch;

          void_run (run, false);
          snipe_batch_finish (pool, batch, SNIPE_E_INVALID, 0, now);
          return;
        }
      break;
    }
  /* An earlier order for the same run that got no answer may have been
   * carried out: then only its end, in a hold, says what became of it. */
  if (run->orders > 1 || run->state == RUN_ACTIVE)
    {
      snipe_pool_run_stop (pool, run, now);
      return;
    }
  if (run->state != RUN_STOPPING || answer == SNIPE_ANSWER_TOO_LATE)
    void_run (run, answer == SNIPE_ANSWER_OLD_RUN);
  place (pool, now);
}

void
snipe_pool_on_stop (struct snipe_pool *pool, const char *id, const char *task,
                    uint32_t number, enum snipe_endpoint_answer answer,
                    const struct snipe_endpoint_report *report, snipe_time now)
{
  struct snipe_pool_endpoint *endpoint = heard (pool, id, report, now);
  struct run *run
      = endpoint == NULL ? NULL : snipe_pool_run_find (endpoint, task, number);

  if (run == NULL)
    return;
  run->stop_in_flight = false;
  switch (answer)
    {
    case SNIPE_ANSWER_OK:
      run->stop_done = true;
      run->stop_sent = now;
      send_hold (pool, endpoint, true, now);
      break;
    case SNIPE_ANSWER_FENCED:
      fence (pool, endpoint);
      break;
    case SNIPE_ANSWER_OTHER_LIFE:
      endpoint->listed = false;
      lapse_all (pool, endpoint, now);
      break;
    default:
      break; /* the tick sends it again */
    }
}

static bool
listed_as_running (const struct snipe_endpoint_report *report,
                   const struct run *run)
{
  for (uint32_t i = 0; i < report->running_count; i++)
    if (report->running[i].run == run->number
        && strcmp (report->running[i].task, run->task) == 0)
      return true;
  return false;
}

/* A run of an earlier owner, or one whose start was given up and carried out
 * all the same. Its size is not known, so it counts as the whole endpoint. */
static void
found_running (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
               const struct snipe_endpoint_run *found, snipe_time now)
{
  struct run *run = snipe_pool_run_add (endpoint, found->task, found->run,
                                        &endpoint->entry.capacity);

  run->state = RUN_ACTIVE;
  run->confirmed = now;
  run->found = now;
  for (guint i = 0; i < pool->batches->len; i++)
    if (snipe_batch_adopt_run (g_ptr_array_index (pool->batches, i), run))
      return;
}

static void
note_ends (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
           const struct snipe_endpoint_report *report, snipe_time now)
{
  for (uint32_t i = 0; i < report->end_count; i++)
    {
      const struct snipe_endpoint_end *end = &report->ends[i];
      struct run *run;

      if (end->number <= endpoint->last_seen)
        continue;
      endpoint->last_seen = end->number;
      run = snipe_pool_run_find (endpoint, end->task, end->run);
      if (run != NULL)
        end_run (pool, run, end->end, now);
      else if (end->end == SNIPE_RUN_DONE && endpoint->claim == CLAIM_ASKED)
        snipe_batch_note_done (pool, end->task, now);
    }
}

static void
note_running (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
              const struct snipe_endpoint_report *report, snipe_time now)
{
  for (uint32_t i = 0; i < report->running_count; i++)
    {
      const struct snipe_endpoint_run *found = &report->running[i];
      struct run *run
          = snipe_pool_run_find (endpoint, found->task, found->run);

      if (run == NULL)
        found_running (pool, endpoint, found, now);
      else if (run->state == RUN_ORDERED || run->state == RUN_UNSURE)
        {
          run->state = RUN_ACTIVE;
          run->confirmed = now;
        }
    }
}

/* A run that a hold sent after its confirmation neither lists as running nor
 * as ended has ended; an earlier owner noted its end. A hold sent before may
 * have been answered before the start was carried out. */
static void
note_missing (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
              const struct snipe_endpoint_report *report, snipe_time sent,
              snipe_time now)
{
  for (guint i = endpoint->runs->len; i > 0; i--)
    {
      struct run *run = g_ptr_array_index (endpoint->runs, i - 1);
      bool settled = run->state == RUN_STOPPING
                         ? run->stop_done && run->stop_sent < sent
                         : run->state == RUN_ACTIVE && run->confirmed < sent;

      if (settled && !listed_as_running (report, run))
        end_run (pool, run, SNIPE_RUN_LAPSED, now);
    }
}

static void
hold_answered (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
               const struct snipe_endpoint_report *report, snipe_time now)
{
  if (report->born_ms != 0 && endpoint->entry.born_ms != 0)
    {
      if (report->born_ms < endpoint->entry.born_ms)
        return; /* of the life before */
      if (report->born_ms > endpoint->entry.born_ms)
        begin_life (pool, endpoint, report->born_ms, now);
    }
  note_ends (pool, endpoint, report, now);
  note_running (pool, endpoint, report, now);
  note_missing (pool, endpoint, report, endpoint->hold_sent, now);
  endpoint->claim = CLAIM_HELD;
  if (endpoint->runs->len > 0)
    send_hold (pool, endpoint, true, now);
}

void
snipe_pool_on_hold (struct snipe_pool *pool, const char *id,
                    enum snipe_endpoint_answer answer,
                    const struct snipe_endpoint_report *report, snipe_time now)
{
  struct snipe_pool_endpoint *endpoint = heard (pool, id, report, now);

  if (endpoint == NULL)
    return;
  endpoint->hold_in_flight = false;
  switch (answer)
    {
    case SNIPE_ANSWER_OK:
      if (report != NULL)
        hold_answered (pool, endpoint, report, now);
      break;
    case SNIPE_ANSWER_FENCED:
      fence (pool, endpoint);
      return;
    case SNIPE_ANSWER_OTHER_LIFE:
      endpoint->listed = false;
      lapse_all (pool, endpoint, now);
      break;
    default:
      /* Silent: no new work until it answers again; the tick asks. */
      endpoint->suspended_until
          = MAX (endpoint->suspended_until, now + HOLD_SLACK);
      break;
    }
  place (pool, now);
}

static uint64_t
digest_of (const struct snipe_pool *pool)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t digest = 0;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      if (endpoint->listed || endpoint->runs->len > 0)
        digest += (uint64_t)g_str_hash (endpoint->entry.id) * 2654435761U + 1;
    }
  return digest;
}

/* Whether the leases that an earlier owner can have given have run out. */
static bool
leases_over (const struct snipe_pool *pool, snipe_time now)
{
  return now >= pool->created + pool->lease_max + pool->lease_max / 20;
}

/* Whether a batch that may run already can only run where this owner looks. */
static bool
may_place (const struct snipe_pool *pool, const struct batch *batch,
           bool all_answered, uint64_t digest, snipe_time now)
{
  return !batch->resent || leases_over (pool, now)
         || (all_answered && batch->endpoints == digest);
}

/* Whether no earlier owner's run can be unknown to this one. */
static bool
settled (const struct snipe_pool *pool, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  /* The earlier owner may use endpoints that are not in this list yet; it
   * extends no lease after it has heard of the claim. */
  if (!pool->directory_known && !leases_over (pool, now))
    return false;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      if (endpoint->claim == CLAIM_ASKED && now < endpoint->claim_deadline)
        return false;
    }
  return true;
}

static void
start_task (struct snipe_pool *pool, struct batch *batch, uint32_t slot,
            struct snipe_pool_endpoint *endpoint, snipe_time now)
{
  char name[SNIPE_TASK_NAME_BYTES];
  struct run *run;

  snipe_batch_task_name (batch, slot, name, sizeof name);
  run = snipe_pool_run_add (endpoint, name, batch->tasks[slot].next_run,
                            &batch->each);
  run->ordered = now;
  run->expected = snipe_pool_predict (pool, endpoint, batch);
  run->state = RUN_ORDERED;
  snipe_batch_attach (batch, slot, run);
  send_start (pool, run, now);
}

static void
place_batch (struct snipe_pool *pool, struct batch *batch, snipe_time now)
{
  for (uint32_t i = 0; i < batch->count && batch->waiting > 0; i++)
    {
      struct task *task = &batch->tasks[i];
      struct snipe_pool_endpoint *endpoint;

      if (task->run != NULL || task->end != SNIPE_TASK_OPEN
          || task->retry_at > now)
        continue;
      endpoint = snipe_pool_choose (pool, batch, now);
      if (endpoint == NULL)
        return;
      start_task (pool, batch, i, endpoint, now);
    }
}

static void
place (struct snipe_pool *pool, snipe_time now)
{
  GPtrArray *order = g_ptr_array_sized_new (pool->batches->len);
  bool all = settled (pool, now);
  uint64_t digest = digest_of (pool);

  /* An entry of the list may be seconds old, and its endpoint leaving. */
  if (!pool->directory_known && now < pool->created + DIRECTORY_WAIT)
    {
      g_ptr_array_free (order, TRUE);
      return;
    }
  /* Another owner has a higher token somewhere. What this one would start at
   * the endpoints that still obey it, the other may start elsewhere. */
  if (pool->fenced)
    {
      g_ptr_array_free (order, TRUE);
      return;
    }
  for (guint i = 0; i < pool->batches->len; i++)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i);

      if (batch->waiting > 0 && now < batch->give_up
          && may_place (pool, batch, all, digest, now))
        g_ptr_array_add (order, batch);
    }
  snipe_pool_sort (pool, order, now);
  for (guint i = 0; i < order->len; i++)
    place_batch (pool, g_ptr_array_index (order, i), now);
  g_ptr_array_free (order, TRUE);
}

static snipe_time
retry_after (const struct snipe_pool *pool, snipe_time now)
{
  struct snipe_pool_load load;

  snipe_pool_load (pool, &load, NULL, 0, now);
  if (load.total_cpu == 0)
    return RETRY_AFTER_MIN;
  return CLAMP (load.backlog / load.total_cpu * SNIPE_MS, RETRY_AFTER_MIN,
                RETRY_AFTER_MAX);
}

/* Refuses what cannot be served any more and ends what nobody waits for. */
static void
expire_batches (struct snipe_pool *pool, snipe_time now)
{
  for (guint i = pool->batches->len; i > 0; i--)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i - 1);
      int code = snipe_pool_refusal (pool, batch, now);

      if (now >= batch->give_up)
        code = SNIPE_E_DEADLINE;
      if (code != SNIPE_OK)
        snipe_batch_finish (pool, batch, code, retry_after (pool, now), now);
    }
}

/* Whether the lease that any order could have given has run out, also on a
 * clock that is 2 % slow, and nothing was heard since that order. */
static bool
surely_lapsed (const struct snipe_pool *pool,
               const struct snipe_pool_endpoint *endpoint, snipe_time now)
{
  snipe_time lease = pool->lease_max + pool->lease_max / 20 + HOLD_SLACK;

  return endpoint->heard < endpoint->extended
         && now - endpoint->extended > lease;
}

static void
check_run (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  struct batch *batch = run->batch;
  snipe_time elapsed = now - run->ordered;

  if (run->state == RUN_STOPPING)
    {
      if (!run->stop_in_flight && !run->stop_done
          && now - run->stop_sent >= STOP_INTERVAL)
        send_stop (pool, run, now);
      return;
    }
  if (batch == NULL)
    {
      if (now - run->found >= ORPHAN_WAIT)
        snipe_pool_run_stop (pool, run, now);
      return;
    }
  if (run->state != RUN_ACTIVE || run->ordered == 0
      || elapsed < STRAGGLER_FACTOR * run->expected + STRAGGLER_MIN)
    return;
  snipe_pool_endpoint_failed (run->endpoint, now);
  run->endpoint->speed_ratio
      = MAX (run->endpoint->speed_ratio, (double)STRAGGLER_FACTOR);
  if (now + snipe_pool_predict (pool, NULL, batch)
      < MIN (batch->late, batch->give_up))
    snipe_pool_run_stop (pool, run, now);
  else
    run->expected = elapsed; /* judged once per tripling */
}

static void
check_endpoint (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
                snipe_time now)
{
  if (endpoint->claim == CLAIM_FENCED)
    return;
  for (guint i = endpoint->runs->len; i > 0; i--)
    check_run (pool, g_ptr_array_index (endpoint->runs, i - 1), now);
  if (endpoint->runs->len > 0 && surely_lapsed (pool, endpoint, now))
    lapse_all (pool, endpoint, now);
  if (!endpoint->hold_in_flight
      && ((endpoint->claim == CLAIM_ASKED && endpoint->listed)
          || (endpoint->runs->len > 0
              && now - endpoint->hold_sent >= HOLD_SLACK)))
    send_hold (pool, endpoint, false, now);
}

void
snipe_pool_tick (struct snipe_pool *pool, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct snipe_pool_endpoint *endpoint = value;

      check_endpoint (pool, endpoint, now);
      if (!endpoint->listed && endpoint->runs->len == 0
          && !endpoint->hold_in_flight)
        g_hash_table_iter_remove (&iter);
    }
  expire_batches (pool, now);
  place (pool, now);
}

uint32_t
snipe_pool_load (const struct snipe_pool *pool, struct snipe_pool_load *out,
                 uint32_t *free_cpu, uint32_t max, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t written = 0;

  *out = (struct snipe_pool_load){ .slowness = pool->slowness,
                                   .digest = digest_of (pool) };
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;
      int64_t room = endpoint->entry.capacity.cpu - endpoint->used.cpu;

      if (!snipe_pool_endpoint_usable (endpoint, now))
        continue;
      out->endpoints++;
      out->total_cpu += endpoint->entry.capacity.cpu;
      if (room > 0 && written < max)
        free_cpu[written++] = (uint32_t)room;
    }
  for (guint i = 0; i < pool->batches->len; i++)
    {
      const struct batch *batch = g_ptr_array_index (pool->batches, i);

      out->backlog += (int64_t)batch->waiting * batch->each.cpu
                      * (snipe_pool_predict (pool, NULL, batch) / SNIPE_MS);
    }
  return written;
}
