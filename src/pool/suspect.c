/* A task under which an endpoint was lost starts alone, so that the next start
 * tells whether it crashes its endpoint and harms no other task. */
#include "pool/suspect.h"

#include "pool/batch.h"

#include "snipe/status.h"

/* One endpoint of so many runs a task under suspicion at a time, at least two
 * of a pool. */
#define ENDPOINTS_PER_ALONE_RUN 6U
#define ALONE_RUNS_MIN 2U
/* One endpoint of so many is kept free for them, at least one of a pool: that
 * costs the other tasks their room. */
#define ENDPOINTS_PER_RESERVATION 12U
/* Time for which an endpoint is kept free for a task that has to run alone;
 * most runs end within it. */
#define RESERVATION_TIME (1 * SNIPE_S)

static struct snipe_loss
describe_loss (const struct run *run, enum snipe_loss_kind kind)
{
  const struct snipe_endpoint_entry *entry = &run->endpoint->entry;

  return (struct snipe_loss){ .task = run->task,
                              .run = run->number,
                              .endpoint = entry->id,
                              .started_ms = entry->started_ms,
                              .kind = kind };
}

void
snipe_pool_run_lost (struct snipe_pool *pool, const struct run *run,
                     enum snipe_loss_kind kind, snipe_time now)
{
  struct snipe_loss loss = describe_loss (run, kind);
  bool unanswered = run->active_since == 0;

  /* The start may have reached an endpoint that had just crashed. */
  if (unanswered)
    loss.kind = SNIPE_LOSS_UNANSWERED;
  /* An endpoint that leaves ends its runs. */
  if ((!unanswered || snipe_pool_run_start_under_way (run)) && !run->lost
      && !run->stop_confirmed && !run->endpoint->entry.draining)
    snipe_crash_table_record (pool->crashes, &loss, now);
}

void
snipe_pool_incarnation_ended (struct snipe_pool *pool,
                              struct snipe_pool_endpoint *endpoint,
                              snipe_time now)
{
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      struct run *run = g_ptr_array_index (endpoint->runs, i);

      snipe_pool_run_lost (pool, run, SNIPE_LOSS_CRASH, now);
      run->lost = true;
    }
  snipe_crash_table_endpoint_ended (pool->crashes, endpoint->entry.id,
                                    endpoint->entry.started_ms, now);
}

/* If many endpoints are silent at the same time, a network or a domain has
 * failed rather than each of them, unless they refuse connections. Of the runs
 * at an endpoint that crashed, the one that was started last is the most
 * likely cause; the others are under suspicion if it happens to them again. */
enum snipe_loss_kind
snipe_pool_silent_loss (const struct snipe_pool *pool,
                        const struct snipe_pool_endpoint *endpoint,
                        bool latest)
{
  GHashTableIter iter;
  gpointer value;
  guint listed = 0;
  guint silent = 0;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *other = value;

      listed += other->listed;
      silent += other->listed && other->overdue;
    }
  return latest
                 && (silent <= 1 || 3 * silent <= listed
                     || endpoint->refuses_since > 0)
             ? SNIPE_LOSS_LIKELY
             : SNIPE_LOSS_SILENT;
}

void
snipe_pool_run_cleared (struct snipe_pool *pool, const struct run *run,
                        snipe_time now)
{
  struct snipe_loss loss = describe_loss (run, SNIPE_LOSS_REFUTED);

  if (run->announced)
    snipe_crash_table_record (pool->crashes, &loss, now);
}

static bool
is_at_work (void *ctx, const char *task, uint32_t number)
{
  return snipe_pool_run_find (ctx, task, number) != NULL;
}

void
snipe_pool_endpoint_listed_runs (struct snipe_pool *pool,
                                 struct snipe_pool_endpoint *endpoint,
                                 snipe_time sent, snipe_time now)
{
  /* Whether it has restarted is not known yet. */
  if (endpoint->restart_suspected)
    return;
  snipe_crash_table_endpoint_answered (pool->crashes, endpoint->entry.id,
                                       endpoint->entry.started_ms, sent,
                                       is_at_work, endpoint, now);
}

enum snipe_suspicion
snipe_pool_judge_task (const struct snipe_pool *pool, struct batch *batch,
                       uint32_t task_index)
{
  struct task *task = &batch->tasks[task_index];
  uint64_t revision = snipe_crash_table_revision (pool->crashes);
  char name[SNIPE_TASK_NAME_BYTES];

  if (task->judged_revision == revision)
    return task->suspicion;
  snipe_batch_task_name (batch, task_index, name, sizeof name);
  task->suspicion = snipe_crash_table_judge (pool->crashes, name);
  task->judged_revision = revision;
  return task->suspicion;
}

static void
give_up (struct snipe_pool *pool, struct batch *batch, uint32_t task_index,
         snipe_time now)
{
  char name[SNIPE_TASK_NAME_BYTES];
  struct snipe_pool_given_up given_up = { .task = name,
                                          .coordinator = batch->coordinator,
                                          .batch = batch->number };

  snipe_batch_task_name (batch, task_index, name, sizeof name);
  given_up.losses = snipe_crash_table_count (pool->crashes, name);
  if (pool->callbacks.given_up != NULL)
    pool->callbacks.given_up (pool->callbacks.ctx, &given_up);
  batch->tasks[task_index].outcome = SNIPE_TASK_FAILED;
  snipe_batch_finish (pool, batch, SNIPE_E_TASK_CRASHED, 0, now);
}

void
snipe_pool_end_given_up (struct snipe_pool *pool, snipe_time now)
{
  uint64_t revision = snipe_crash_table_revision (pool->crashes);

  if (revision == pool->judged_revision)
    return;
  pool->judged_revision = revision;
  for (guint i = pool->batches->len; i > 0; i--)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i - 1);
      uint32_t k = 0;

      while (k < batch->count
             && (batch->tasks[k].outcome != SNIPE_TASK_PENDING
                 || snipe_pool_judge_task (pool, batch, k)
                        != SNIPE_SUSPICION_GIVEN_UP))
        k++;
      if (k < batch->count)
        give_up (pool, batch, k, now);
    }
}

static uint32_t
alone_runs_max (const struct snipe_pool *pool)
{
  return MAX (g_hash_table_size (pool->endpoints) / ENDPOINTS_PER_ALONE_RUN,
              ALONE_RUNS_MIN);
}

static uint32_t
reservations_max (const struct snipe_pool *pool)
{
  return MAX (g_hash_table_size (pool->endpoints) / ENDPOINTS_PER_RESERVATION,
              1U);
}

static uint32_t
count_reserved (const struct snipe_pool *pool, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      count += endpoint->reserved_until > now;
    }
  return count;
}

/* Keeps the endpoint with the fewest runs free. */
static void
reserve_endpoint (struct snipe_pool *pool, snipe_time now)
{
  struct snipe_pool_endpoint *best = NULL;
  GHashTableIter iter;
  gpointer value;

  if (count_reserved (pool, now) >= reservations_max (pool))
    return;
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct snipe_pool_endpoint *endpoint = value;

      if (snipe_pool_endpoint_usable (endpoint, now)
          && snipe_pool_endpoint_is_shared (endpoint, now)
          && (best == NULL || endpoint->runs->len < best->runs->len))
        best = endpoint;
    }
  if (best != NULL)
    best->reserved_until = now + RESERVATION_TIME;
}

/* One that has crashed its endpoint takes no room from others. */
static uint32_t
count_alone_runs (const struct snipe_pool *pool)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      if (endpoint->refuses_since == 0)
        count += endpoint->alone_runs;
    }
  return count;
}

struct snipe_pool_endpoint *
snipe_pool_choose_isolated (struct snipe_pool *pool, const struct batch *batch,
                            snipe_time now)
{
  struct snipe_pool_endpoint *endpoint = NULL;

  if (count_alone_runs (pool) >= alone_runs_max (pool))
    return NULL;
  endpoint = snipe_pool_choose_endpoint (pool, batch, true, now);
  if (endpoint == NULL)
    reserve_endpoint (pool, now);
  else
    endpoint->reserved_until = 0;
  return endpoint;
}

void
snipe_pool_announce_run (struct snipe_pool *pool, struct run *run,
                         snipe_time now)
{
  struct snipe_loss loss = describe_loss (run, SNIPE_LOSS_UNANSWERED);

  run->announced = true;
  snipe_crash_table_record (pool->crashes, &loss, now);
}

void
snipe_pool_run_begun (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  struct snipe_loss loss = describe_loss (run, SNIPE_LOSS_SILENT);

  run->state = RUN_ACTIVE;
  run->active_since = now;
  if (run->announced)
    snipe_crash_table_record (pool->crashes, &loss, now);
}

bool
snipe_pool_has_losses (const struct snipe_pool *pool, const char *task)
{
  struct snipe_loss_count count
      = snipe_crash_table_count (pool->crashes, task);

  return count.crashes + count.likely + count.silent > 0;
}
