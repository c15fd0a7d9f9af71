/* Life cycle of a batch: submission, outcomes of its tasks, result. */
#include "pool/batch.h"
#include "pool/hold.h"
#include "pool/accept.h"
#include "pool/displace.h"

#include <stdio.h>
#include <string.h>

#include "snipe/status.h"

/* Added to the run number if the endpoint knew an equal or higher one: an
 * earlier host, lost since, has already tried the job. */
#define RUN_NUMBER_INCREMENT 8
/* Delay before a failed task is started again, per failure. */
#define RETRY_DELAY (20 * SNIPE_MS)
/* Outcomes that are kept for batches that are sent again. An endpoint reports
 * up to 500 ends to a new owner. */
#define OUTCOMES_MAX 8192
/* A coordinator sends its batches again as soon as it learns of a new owner,
 * unless it cannot reach it. */
#define OUTCOME_KEPT_MAX (60 * SNIPE_S)

void
snipe_batch_free (struct batch *batch)
{
  g_free (batch->job);
  g_free (batch->route);
  g_free (batch->label);
  g_free (batch->rack);
  snipe_str_clear (&batch->spec);
  g_free (batch->tasks);
  g_free (batch);
}

static struct snipe_calibration *
find_calibration (struct snipe_pool *pool, const char *route)
{
  struct snipe_calibration *calibration
      = g_hash_table_lookup (pool->calibrations, route);

  if (calibration == NULL)
    {
      calibration = g_new0 (struct snipe_calibration, 1);
      g_hash_table_insert (pool->calibrations, g_strdup (route), calibration);
    }
  return calibration;
}

static struct batch *
batch_new (struct snipe_pool *pool, const struct snipe_pool_batch *from,
           snipe_time now)
{
  struct batch *batch = g_new0 (struct batch, 1);

  batch->coordinator = from->coordinator;
  batch->number = from->number;
  batch->attempt = from->attempt;
  batch->job = g_strdup (from->job);
  batch->route = g_strdup (from->route);
  batch->calibration = find_calibration (pool, from->route);
  batch->label = g_strdup (from->label == NULL ? "" : from->label);
  batch->rack = g_strdup (from->rack == NULL ? "" : from->rack);
  batch->group = from->group;
  batch->step = from->step;
  snipe_str_set (&batch->spec, from->spec.data, from->spec.len);
  batch->tasks = g_new0 (struct task, from->count);
  batch->count = from->count;
  batch->waiting = from->count;
  batch->pending = from->count;
  for (uint32_t i = 0; i < from->count; i++)
    {
      batch->tasks[i].index = from->indexes[i];
      batch->tasks[i].next_run = 1;
    }
  batch->task_resources = from->task_resources;
  batch->max_per_endpoint = from->max_per_endpoint;
  batch->priority = from->priority;
  batch->attempts = MAX (from->attempts, 1);
  batch->estimate = MAX (from->estimate, SNIPE_MS);
  batch->arrived = now;
  batch->handled_at = from->handled_at == 0 ? now : from->handled_at;
  batch->soft_deadline = from->soft_deadline;
  batch->hard_deadline = from->hard_deadline;
  batch->caller_deadline = from->caller_deadline;
  batch->resent = from->resent;
  batch->hold = from->held && !from->resent ? HOLD_WAITS : HOLD_NONE;
  batch->endpoint_digest = from->endpoint_digest;
  /* A resent batch may have been started by the previous owner, so it is
   * neither rejected nor reported as not run. */
  batch->started = from->resent;
  if (from->resent)
    for (uint32_t i = 0; i < from->count; i++)
      batch->tasks[i].started = true;
  return batch;
}

void
snipe_batch_task_name (const struct batch *batch, uint32_t task_index,
                       char *out, size_t size)
{
  snprintf (out, size, "%s.0.%u.%u", batch->job, batch->step,
            batch->tasks[task_index].index);
}

/* @return a batch of the same job, apart from @p batch, that has the task. */
static struct batch *
find_other_batch (struct snipe_pool *pool, const struct batch *batch,
                  uint32_t index)
{
  for (guint i = 0; i < pool->batches->len; i++)
    {
      struct batch *other = g_ptr_array_index (pool->batches, i);

      if (other == batch || other->step != batch->step
          || strcmp (other->job, batch->job) != 0)
        continue;
      for (uint32_t k = 0; k < other->count; k++)
        if (other->tasks[k].index == index)
          return other;
    }
  return NULL;
}

struct batch *
snipe_batch_find (struct snipe_pool *pool, uint64_t coordinator,
                  uint64_t number)
{
  for (guint i = 0; i < pool->batches->len; i++)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i);

      if (batch->coordinator == coordinator && batch->number == number)
        return batch;
    }
  return NULL;
}

/* Stops a run that its task does not need any more. */
static void
release_run (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  run->end_due = snipe_pool_batch_end_due (pool, run->batch, now);
  run->batch = NULL;
  run->orphaned_since = now;
  snipe_pool_run_stop (pool, run, now);
}

void
snipe_batch_drop (struct snipe_pool *pool, struct batch *batch, snipe_time now)
{
  for (uint32_t i = 0; i < batch->count; i++)
    if (batch->tasks[i].run != NULL)
      release_run (pool, batch->tasks[i].run, now);
  g_ptr_array_remove (pool->batches, batch);
}

static void
report_result (struct snipe_pool *pool, const struct batch *batch, int code,
               snipe_time retry_after)
{
  uint32_t *outcomes = g_new (uint32_t, batch->count);
  struct snipe_pool_result result
      = { .coordinator = batch->coordinator,
          .number = batch->number,
          .attempt = batch->attempt,
          .job = batch->job,
          .outcomes = outcomes,
          .count = batch->count,
          .code = code,
          .retry_after = retry_after,
          .caller_deadline = batch->caller_deadline };

  for (uint32_t i = 0; i < batch->count; i++)
    {
      const struct task *task = &batch->tasks[i];

      outcomes[i] = task->outcome;
      if (task->outcome == SNIPE_TASK_PENDING)
        outcomes[i] = task->started ? SNIPE_TASK_STOPPED : SNIPE_TASK_NOT_RUN;
    }
  pool->callbacks.result (pool->callbacks.ctx, &result);
  g_free (outcomes);
}

void
snipe_batch_finish (struct snipe_pool *pool, struct batch *batch, int code,
                    snipe_time retry_after, snipe_time now)
{
  report_result (pool, batch, code, retry_after);
  snipe_batch_drop (pool, batch, now);
}

/* The same job was submitted through another host, so the earlier host no
 * longer waits for it: its runs are attached to the new batch and continue. */
static void
take_over_runs (struct snipe_pool *pool, struct batch *batch, snipe_time now)
{
  struct batch *other;

  for (uint32_t i = 0; i < batch->count; i++)
    {
      other = find_other_batch (pool, batch, batch->tasks[i].index);
      if (other == NULL)
        continue;
      for (uint32_t k = 0; k < other->count; k++)
        {
          struct task *old = &other->tasks[k];
          struct task *task = &batch->tasks[i];

          if (old->index != task->index)
            continue;
          task->next_run = MAX (task->next_run, old->next_run);
          if (old->run == NULL || task->run != NULL)
            continue;
          snipe_batch_attach_run (batch, i, old->run);
          old->run = NULL;
        }
    }
  for (uint32_t i = 0; i < batch->count; i++)
    while ((other = find_other_batch (pool, batch, batch->tasks[i].index))
           != NULL)
      snipe_batch_finish (pool, other, SNIPE_E_CANCELLED, 0, now);
}

/* The same job was submitted through another host, and the batch is held. What
 * its pool has of the other submission goes on until the commit; if the batch
 * is given up before, its tasks must not be reported as not run. Nothing runs
 * of a batch that is held as well. */
static void
note_other_batches (const struct snipe_pool *pool, struct batch *batch)
{
  for (guint k = 0; k < pool->batches->len; k++)
    {
      const struct batch *other = g_ptr_array_index (pool->batches, k);

      if (other->step != batch->step || strcmp (other->job, batch->job) != 0)
        continue;
      for (uint32_t i = 0; i < batch->count; i++)
        for (uint32_t n = 0; n < other->count; n++)
          if (other->tasks[n].index == batch->tasks[i].index
              && (other->tasks[n].started || !snipe_batch_is_held (other)))
            batch->tasks[i].started = true;
    }
}

void
snipe_batch_attach_run (struct batch *batch, uint32_t task_index,
                        struct run *run)
{
  struct task *task = &batch->tasks[task_index];
  struct snipe_pool_endpoint *endpoint = run->endpoint;

  endpoint->used.cpu += batch->task_resources.cpu - run->resources.cpu;
  endpoint->used.mem_mb
      += batch->task_resources.mem_mb - run->resources.mem_mb;
  endpoint->used.gpu += batch->task_resources.gpu - run->resources.gpu;
  endpoint->unknown_sizes -= run->size_unknown;
  run->size_unknown = false;
  run->resources = batch->task_resources;
  run->batch = batch;
  run->task_index = task_index;
  task->run = run;
  task->started = true;
  task->next_run = MAX (task->next_run, run->number + 1);
  batch->started = true;
  batch->waiting--;
}

/* Attaches orphaned runs of a previous owner that belong to the batch. */
static void
adopt_runs (struct snipe_pool *pool, struct batch *batch)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct snipe_pool_endpoint *endpoint = value;

      for (guint i = 0; i < endpoint->runs->len; i++)
        {
          struct run *run = g_ptr_array_index (endpoint->runs, i);

          if (run->batch == NULL)
            snipe_batch_adopt_run (batch, run);
        }
    }
}

/* @return the task with this name, or NULL. */
static struct task *
find_task (const struct batch *batch, const char *name)
{
  size_t len = strlen (batch->job);
  char task_name[SNIPE_TASK_NAME_BYTES];

  if (strncmp (name, batch->job, len) != 0 || name[len] != '.')
    return NULL;
  for (uint32_t i = 0; i < batch->count; i++)
    {
      snipe_batch_task_name (batch, i, task_name, sizeof task_name);
      if (strcmp (name, task_name) == 0)
        return &batch->tasks[i];
    }
  return NULL;
}

bool
snipe_batch_adopt_run (struct batch *batch, struct run *run)
{
  struct task *task = find_task (batch, run->task);

  if (task == NULL || task->run != NULL || task->outcome != SNIPE_TASK_PENDING)
    return false;
  /* It is taken over with the commit, unless it has ended before. */
  if (snipe_batch_is_held (batch))
    {
      task->started = true;
      return false;
    }
  snipe_batch_attach_run (batch, (uint32_t)(task - batch->tasks), run);
  return true;
}

bool
snipe_pool_adopt_run (struct snipe_pool *pool, struct run *run)
{
  for (guint i = 0; i < pool->batches->len; i++)
    if (snipe_batch_adopt_run (g_ptr_array_index (pool->batches, i), run))
      return true;
  return false;
}

/* Completes a pending task.
 * @return whether the batch is finished and freed */
static bool
complete_task (struct snipe_pool *pool, struct batch *batch, struct task *task,
               snipe_time now)
{
  struct run *run = task->run;

  task->outcome = SNIPE_TASK_DONE;
  task->started = true;
  task->run = NULL;
  batch->started = true;
  batch->pending--;
  if (run == NULL)
    batch->waiting--;
  else
    release_run (pool, run, now);
  if (batch->pending > 0)
    return false;
  snipe_batch_finish (pool, batch, SNIPE_OK, 0, now);
  return true;
}

static void
remove_oldest_outcome (struct snipe_pool *pool)
{
  struct snipe_pool_outcome *outcome = g_queue_pop_head (&pool->outcome_order);

  if (g_hash_table_lookup (pool->outcomes, outcome->task) == outcome)
    g_hash_table_remove (pool->outcomes, outcome->task);
  g_free (outcome);
}

static void
remove_expired_outcomes (struct snipe_pool *pool, snipe_time now)
{
  const struct snipe_pool_outcome *oldest;

  while ((oldest = g_queue_peek_head (&pool->outcome_order)) != NULL
         && now - oldest->reported > OUTCOME_KEPT_MAX)
    remove_oldest_outcome (pool);
}

static void
keep_outcome (struct snipe_pool *pool, const char *name, snipe_time now)
{
  struct snipe_pool_outcome *outcome = g_new0 (struct snipe_pool_outcome, 1);

  remove_expired_outcomes (pool, now);
  if (pool->outcome_order.length == OUTCOMES_MAX)
    remove_oldest_outcome (pool);
  outcome->reported = now;
  g_strlcpy (outcome->task, name, sizeof outcome->task);
  g_queue_push_tail (&pool->outcome_order, outcome);
  g_hash_table_replace (pool->outcomes, outcome->task, outcome);
}

/* Completes the tasks of a batch that were reported as done before the batch
 * was submitted. */
static void
apply_outcomes (struct snipe_pool *pool, struct batch *batch, snipe_time now)
{
  char name[SNIPE_TASK_NAME_BYTES];

  remove_expired_outcomes (pool, now);
  for (uint32_t i = 0; i < batch->count; i++)
    {
      struct task *task = &batch->tasks[i];

      snipe_batch_task_name (batch, i, name, sizeof name);
      if (task->outcome == SNIPE_TASK_PENDING
          && g_hash_table_remove (pool->outcomes, name)
          && complete_task (pool, batch, task, now))
        return;
    }
}

/* The number of the run does not matter: a job that is submitted again numbers
 * its runs anew, and a run of its earlier submission that goes on is attached
 * to its task as well. An end that was reported before the job was submitted
 * again does not count, as it may be that of a job whose caller wants it
 * done once more; only a batch that is sent again has begun before. */
bool
snipe_batch_record_done (struct snipe_pool *pool, const char *name,
                         snipe_time now)
{
  for (guint i = 0; i < pool->batches->len; i++)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i);
      struct task *task = find_task (batch, name);

      if (task == NULL)
        continue;
      if (snipe_batch_is_held (batch))
        {
          task->started = true;
          continue;
        }
      if (task->outcome != SNIPE_TASK_PENDING)
        return false;
      complete_task (pool, batch, task, now);
      return true;
    }
  keep_outcome (pool, name, now);
  return false;
}

void
snipe_batch_record_end (struct snipe_pool *pool, struct run *run,
                        enum snipe_run_outcome outcome, snipe_time now)
{
  struct batch *batch = run->batch;
  struct task *task = &batch->tasks[run->task_index];

  task->run = NULL;
  batch->waiting++;
  switch (outcome)
    {
    case SNIPE_RUN_DONE:
      task->outcome = SNIPE_TASK_DONE;
      break;
    case SNIPE_RUN_FAILED:
      task->failures++;
      task->retry_at = now + task->failures * RETRY_DELAY;
      if (task->failures >= batch->attempts)
        task->outcome = SNIPE_TASK_FAILED;
      break;
    case SNIPE_RUN_STOPPED:
    case SNIPE_RUN_LEASE_EXPIRED:
      break;
    }
  if (task->outcome == SNIPE_TASK_PENDING)
    return;
  batch->waiting--;
  batch->pending--;
  if (task->outcome == SNIPE_TASK_FAILED)
    snipe_batch_finish (pool, batch, SNIPE_E_TASK_FAILED, 0, now);
  else if (batch->pending == 0)
    snipe_batch_finish (pool, batch, SNIPE_OK, 0, now);
}

void
snipe_batch_detach_run (struct run *run, bool stale_number)
{
  struct task *task = &run->batch->tasks[run->task_index];

  task->run = NULL;
  run->batch->waiting++;
  if (stale_number)
    task->next_run += RUN_NUMBER_INCREMENT;
}

bool
snipe_pool_knows_job (const struct snipe_pool *pool, const struct batch *batch)
{
  const char *job = batch->job;
  size_t len = strlen (job);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < pool->batches->len; i++)
    {
      const struct batch *other = g_ptr_array_index (pool->batches, i);

      if (other != batch && strcmp (other->job, job) == 0)
        return true;
    }
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      for (guint i = 0; i < endpoint->runs->len; i++)
        {
          const struct run *run = g_ptr_array_index (endpoint->runs, i);

          if (strncmp (run->task, job, len) == 0 && run->task[len] == '.')
            return true;
        }
    }
  return false;
}

/* Rejects a batch that is not one of the pool's yet. */
static void
decline (struct snipe_pool *pool, struct batch *batch)
{
  report_result (pool, batch, SNIPE_E_REFUSED, 0);
  snipe_batch_free (batch);
}

void
snipe_pool_submit (struct snipe_pool *pool,
                   const struct snipe_pool_batch *from, snipe_time now)
{
  struct batch *batch
      = snipe_batch_find (pool, from->coordinator, from->number);

  if (batch != NULL)
    {
      batch->attempt = MAX (batch->attempt, from->attempt);
      batch->handled_at = MAX (batch->handled_at, from->handled_at);
      if (from->held)
        snipe_hold_repeat_grant (pool, batch);
      else
        snipe_pool_commit (pool, from->coordinator, from->number, now);
    }
  if (from->count == 0 || batch != NULL)
    return;
  batch = batch_new (pool, from, now);
  if ((from->declinable || pool->shared_order) && !from->resent
      && !snipe_pool_knows_job (pool, batch)
      && !snipe_pool_accepts (pool, batch, now)
      && !snipe_pool_displace_for (pool, batch, now) && from->declinable)
    {
      decline (pool, batch);
      return;
    }
  if (snipe_batch_is_held (batch))
    note_other_batches (pool, batch);
  else
    take_over_runs (pool, batch, now);
  g_ptr_array_add (pool->batches, batch);
  adopt_runs (pool, batch);
  if (batch->resent)
    apply_outcomes (pool, batch, now);
  snipe_pool_tick (pool, now);
}

bool
snipe_pool_commit (struct snipe_pool *pool, uint64_t coordinator,
                   uint64_t number, snipe_time now)
{
  struct batch *batch = snipe_batch_find (pool, coordinator, number);

  if (batch == NULL || !snipe_batch_is_held (batch))
    return false;
  batch->hold = HOLD_COMMITTED;
  batch->kept = 0;
  take_over_runs (pool, batch, now);
  adopt_runs (pool, batch);
  snipe_pool_tick (pool, now);
  return true;
}

/* Whether a task of the batch may have run, for it or for another batch of its
 * job. */
static bool
may_have_run (const struct batch *batch)
{
  bool ran = batch->started;

  for (uint32_t i = 0; i < batch->count; i++)
    ran |= batch->tasks[i].started;
  return ran;
}

struct snipe_pool_unstarted
snipe_pool_cancel (struct snipe_pool *pool, uint64_t coordinator,
                   uint64_t number, snipe_time now)
{
  struct batch *batch = snipe_batch_find (pool, coordinator, number);
  struct snipe_pool_unstarted unstarted = { 0 };

  if (batch == NULL)
    return unstarted;
  if (!may_have_run (batch))
    unstarted = (struct snipe_pool_unstarted){ .count = batch->count,
                                               .attempt = batch->attempt };
  snipe_batch_drop (pool, batch, now);
  snipe_pool_tick (pool, now);
  return unstarted;
}

bool
snipe_pool_has_batch (struct snipe_pool *pool, uint64_t coordinator,
                      uint64_t number)
{
  return snipe_batch_find (pool, coordinator, number) != NULL;
}

bool
snipe_pool_has_batch_of (const struct snipe_pool *pool, uint64_t coordinator)
{
  for (guint i = 0; i < pool->batches->len; i++)
    if (((const struct batch *)g_ptr_array_index (pool->batches, i))
            ->coordinator
        == coordinator)
      return true;
  return false;
}

void
snipe_pool_coordinator_lost (struct snipe_pool *pool, uint64_t coordinator,
                             snipe_time now)
{
  for (guint i = pool->batches->len; i > 0; i--)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i - 1);

      if (batch->coordinator == coordinator)
        snipe_batch_finish (pool, batch, SNIPE_E_TASK_LOST, 0, now);
    }
}
