/* Life of a batch: arrival, ends of its tasks, its result. */
#include "pool/batch.h"

#include <stdio.h>
#include <string.h>

#include "snipe/status.h"

/* Raise of the run number after an endpoint knew an equal or higher one: the
 * job was tried before, by a host that is gone. */
#define RUN_STEP 8
/* First pause before a task that failed is placed again. */
#define RETRY_PAUSE (20 * SNIPE_MS)

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

static struct batch *
batch_new (const struct snipe_pool_batch *from, snipe_time now)
{
  struct batch *batch = g_new0 (struct batch, 1);

  batch->coordinator = from->coordinator;
  batch->number = from->number;
  batch->attempt = from->attempt;
  batch->job = g_strdup (from->job);
  batch->route = g_strdup (from->route);
  batch->label = g_strdup (from->label == NULL ? "" : from->label);
  batch->rack = g_strdup (from->rack == NULL ? "" : from->rack);
  batch->step = from->step;
  snipe_str_set (&batch->spec, from->spec.data, from->spec.len);
  batch->tasks = g_new0 (struct task, from->count);
  batch->count = from->count;
  batch->waiting = from->count;
  batch->open = from->count;
  for (uint32_t i = 0; i < from->count; i++)
    {
      batch->tasks[i].index = from->indexes[i];
      batch->tasks[i].next_run = 1;
    }
  batch->each = from->task_resources;
  batch->max_per_endpoint = from->max_per_endpoint;
  batch->priority = from->priority;
  batch->attempts = MAX (from->attempts, 1);
  batch->estimate = MAX (from->estimate, SNIPE_MS);
  batch->arrived = now;
  batch->due = from->soft_deadline;
  batch->late = from->hard_deadline;
  batch->give_up = from->caller_deadline;
  batch->resent = from->resent;
  batch->endpoints = from->endpoint_digest;
  /* A batch that was sent before may have begun under the last owner; it is
   * neither refused nor reported as not run. */
  batch->started = from->resent;
  if (from->resent)
    for (uint32_t i = 0; i < from->count; i++)
      batch->tasks[i].started = true;
  return batch;
}

void
snipe_batch_task_name (const struct batch *batch, uint32_t slot, char *out,
                       size_t size)
{
  snprintf (out, size, "%s.0.%u.%u", batch->job, batch->step,
            batch->tasks[slot].index);
}

static struct batch *
find_other (struct snipe_pool *pool, const struct snipe_pool_batch *from,
            uint32_t index)
{
  for (guint i = 0; i < pool->batches->len; i++)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i);

      if (batch->step != from->step || strcmp (batch->job, from->job) != 0)
        continue;
      for (uint32_t k = 0; k < batch->count; k++)
        if (batch->tasks[k].index == index)
          return batch;
    }
  return NULL;
}

struct batch *
snipe_batch_find (struct snipe_pool *pool, uint64_t home, uint64_t number)
{
  for (guint i = 0; i < pool->batches->len; i++)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i);

      if (batch->coordinator == home && batch->number == number)
        return batch;
    }
  return NULL;
}

/* Ends the batch without a word to its home. */
void
snipe_batch_drop (struct snipe_pool *pool, struct batch *batch, snipe_time now)
{
  for (uint32_t i = 0; i < batch->count; i++)
    {
      struct run *run = batch->tasks[i].run;

      if (run == NULL)
        continue;
      run->batch = NULL;
      run->found = now;
      snipe_pool_run_stop (pool, run, now);
    }
  g_ptr_array_remove (pool->batches, batch);
}

void
snipe_batch_finish (struct snipe_pool *pool, struct batch *batch, int code,
                    snipe_time retry_after, snipe_time now)
{
  uint32_t *ends = g_new (uint32_t, batch->count);
  struct snipe_pool_result result = { .coordinator = batch->coordinator,
                                      .number = batch->number,
                                      .attempt = batch->attempt,
                                      .job = batch->job,
                                      .outcomes = ends,
                                      .count = batch->count,
                                      .code = code,
                                      .retry_after = retry_after,
                                      .caller_deadline = batch->give_up };

  for (uint32_t i = 0; i < batch->count; i++)
    {
      const struct task *task = &batch->tasks[i];

      ends[i] = task->end;
      if (task->end == SNIPE_TASK_PENDING)
        ends[i] = task->started ? SNIPE_TASK_STOPPED : SNIPE_TASK_NOT_RUN;
    }
  pool->port.result (pool->port.ctx, &result);
  g_free (ends);
  snipe_batch_drop (pool, batch, now);
}

/* The same job came through another host, so the host that sent it before is
 * no longer waited for: what runs of it goes on for the new one. */
static void
take_over (struct snipe_pool *pool, struct batch *batch,
           const struct snipe_pool_batch *from, snipe_time now)
{
  struct batch *other;

  for (uint32_t i = 0; i < batch->count; i++)
    {
      other = find_other (pool, from, batch->tasks[i].index);
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
          snipe_batch_attach (batch, i, old->run);
          old->run = NULL;
        }
    }
  for (uint32_t i = 0; i < batch->count; i++)
    while ((other = find_other (pool, from, batch->tasks[i].index)) != NULL)
      snipe_batch_finish (pool, other, SNIPE_E_CANCELLED, 0, now);
}

void
snipe_batch_attach (struct batch *batch, uint32_t slot, struct run *run)
{
  struct task *task = &batch->tasks[slot];
  struct snipe_pool_endpoint *endpoint = run->endpoint;

  endpoint->used.cpu += batch->each.cpu - run->size.cpu;
  endpoint->used.mem_mb += batch->each.mem_mb - run->size.mem_mb;
  endpoint->used.gpu += batch->each.gpu - run->size.gpu;
  run->size = batch->each;
  run->batch = batch;
  run->slot = slot;
  task->run = run;
  task->started = true;
  task->next_run = MAX (task->next_run, run->number + 1);
  batch->started = true;
  batch->waiting--;
}

/* Finds runs of the batch that belong to nobody: those of an earlier owner. */
static void
adopt (struct snipe_pool *pool, struct batch *batch)
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

bool
snipe_batch_adopt_run (struct batch *batch, struct run *run)
{
  char name[SNIPE_TASK_NAME_BYTES];

  for (uint32_t i = 0; i < batch->count; i++)
    {
      struct task *task = &batch->tasks[i];

      if (task->run != NULL || task->end != SNIPE_TASK_PENDING)
        continue;
      snipe_batch_task_name (batch, i, name, sizeof name);
      if (strcmp (name, run->task) != 0)
        continue;
      snipe_batch_attach (batch, i, run);
      return true;
    }
  return false;
}

/* Ends the tasks of a batch that ended before it came.
 * @return whether the batch is finished and freed */
static bool
take_done (struct snipe_pool *pool, struct batch *batch, snipe_time now)
{
  char name[SNIPE_TASK_NAME_BYTES];

  for (uint32_t i = 0; i < batch->count; i++)
    {
      struct task *task = &batch->tasks[i];

      if (task->run != NULL || task->end != SNIPE_TASK_PENDING)
        continue;
      snipe_batch_task_name (batch, i, name, sizeof name);
      if (!g_hash_table_remove (pool->done, name))
        continue;
      task->end = SNIPE_TASK_DONE;
      batch->waiting--;
      batch->open--;
    }
  if (batch->open > 0)
    return false;
  snipe_batch_finish (pool, batch, SNIPE_OK, 0, now);
  return true;
}

void
snipe_batch_note_done (struct snipe_pool *pool, const char *name,
                       snipe_time now)
{
  g_hash_table_add (pool->done, g_strdup (name));
  for (guint i = pool->batches->len; i > 0; i--)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i - 1);

      if (batch->resent)
        take_done (pool, batch, now);
    }
}

void
snipe_batch_run_ended (struct snipe_pool *pool, struct run *run,
                       enum snipe_run_outcome end, snipe_time now)
{
  struct batch *batch = run->batch;
  struct task *task = &batch->tasks[run->slot];

  task->run = NULL;
  batch->waiting++;
  switch (end)
    {
    case SNIPE_RUN_DONE:
      task->end = SNIPE_TASK_DONE;
      break;
    case SNIPE_RUN_FAILED:
      task->failures++;
      task->retry_at = now + task->failures * RETRY_PAUSE;
      if (task->failures >= batch->attempts)
        task->end = SNIPE_TASK_FAILED;
      break;
    case SNIPE_RUN_STOPPED:
    case SNIPE_RUN_LEASE_EXPIRED:
      break;
    }
  if (task->end == SNIPE_TASK_PENDING)
    return;
  batch->waiting--;
  batch->open--;
  if (task->end == SNIPE_TASK_FAILED)
    snipe_batch_finish (pool, batch, SNIPE_E_TASK_FAILED, 0, now);
  else if (batch->open == 0)
    snipe_batch_finish (pool, batch, SNIPE_OK, 0, now);
}

void
snipe_batch_run_void (struct run *run, bool old_number)
{
  struct task *task = &run->batch->tasks[run->slot];

  task->run = NULL;
  run->batch->waiting++;
  if (old_number)
    task->next_run += RUN_STEP;
}

void
snipe_pool_submit (struct snipe_pool *pool,
                   const struct snipe_pool_batch *from, snipe_time now)
{
  struct batch *batch
      = snipe_batch_find (pool, from->coordinator, from->number);

  if (batch != NULL)
    batch->attempt = MAX (batch->attempt, from->attempt);
  if (from->count == 0 || batch != NULL)
    return;
  batch = batch_new (from, now);
  take_over (pool, batch, from, now);
  g_ptr_array_add (pool->batches, batch);
  adopt (pool, batch);
  if (batch->resent)
    take_done (pool, batch, now);
  snipe_pool_tick (pool, now);
}

void
snipe_pool_cancel (struct snipe_pool *pool, uint64_t home, uint64_t number,
                   snipe_time now)
{
  struct batch *batch = snipe_batch_find (pool, home, number);

  if (batch == NULL)
    return;
  snipe_batch_drop (pool, batch, now);
  snipe_pool_tick (pool, now);
}

bool
snipe_pool_has_batch_of (const struct snipe_pool *pool, uint64_t home)
{
  for (guint i = 0; i < pool->batches->len; i++)
    if (((const struct batch *)g_ptr_array_index (pool->batches, i))
            ->coordinator
        == home)
      return true;
  return false;
}

void
snipe_pool_coordinator_lost (struct snipe_pool *pool, uint64_t home,
                             snipe_time now)
{
  for (guint i = pool->batches->len; i > 0; i--)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i - 1);

      if (batch->coordinator == home)
        snipe_batch_finish (pool, batch, SNIPE_E_TASK_LOST, 0, now);
    }
}
