#include "engine/private.h"

#include <stdlib.h>
#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

/* A peer answers a batch at once; past this its reply is not waited for, and
 * a batch that is still queued is not sent any more. */
#define BATCH_TIMEOUT SNIPE_S
/* Results of a batch may arrive this long after the job's deadline. */
#define RESULTS_GRACE (500 * SNIPE_MS)
#define RESULTS_TIMEOUT (2 * SNIPE_S)
#define RESULTS_RETRY (250 * SNIPE_MS)

/** A batch on its way to a peer. */
struct pass
{
  struct snipe_engine *engine;
  uint64_t number;
  uint64_t incarnation;
  char job[40];
  char peer[NAME_BYTES];
  enum snipe_reason reason;
  struct snipe_rules *rules;
  uint32_t count;
  struct
  {
    uint32_t task;
    uint32_t rule_line;
  } tasks[];
};

/** Results of a guest run on their way to its home. */
struct notice
{
  struct snipe_engine *engine;
  struct run *run;
  snipe_time next;
};

static void
fill_task (peer_task *out, const struct snipe_task_spec *spec, uint32_t index)
{
  out->index = index;
  out->kind = strdup (snipe_str_c (&spec->kind));
  out->cores = spec->resources.cores;
  out->mem_mb = spec->resources.mem_mb;
  out->accel = spec->resources.accel;
  out->declared = (u_quad_t)spec->run_ms * SNIPE_MS;
  out->idempotent = spec->idempotent;
  out->payload.payload_len = (u_int)spec->payload.len;
  out->payload.payload_val = g_memdup2 (spec->payload.data, spec->payload.len);
}

struct pass *
pass_new (struct snipe_engine *engine, struct run *run,
          const struct snipe_decision *decision, snipe_time now,
          struct snipe_peer_call **call, char *address)
{
  struct peer *peer = engine_peer (engine, decision->u.offload.incarnation);
  uint32_t count = decision->u.offload.count;
  struct pass *pass;
  struct batch *batch;
  peer_batch *args;

  if (peer == NULL)
    {
      snipe_sched_peer_drop (engine->sched, decision->u.offload.incarnation);
      for (uint32_t i = 0; i < count; i++)
        {
          uint32_t task = decision->u.offload.tasks[i];

          snipe_sched_offload_end (engine->sched, run->work, task, now);
          snipe_sched_requeue (engine->sched, run->work, task, now);
        }
      return NULL;
    }
  pass = g_malloc0 (sizeof *pass + count * sizeof pass->tasks[0]);
  pass->engine = engine;
  pass->number = ++engine->next_batch;
  pass->incarnation = peer->incarnation;
  pass->reason = decision->reason;
  pass->rules = snipe_rules_ref (run->rules);
  pass->count = count;
  g_strlcpy (pass->job, run->job, sizeof pass->job);
  g_strlcpy (pass->peer, peer->name, sizeof pass->peer);
  g_strlcpy (address, peer->address, ADDRESS_BYTES);

  batch = g_new0 (struct batch, 1);
  batch->run = run;
  batch->incarnation = peer->incarnation;
  batch->open = count;
  g_hash_table_insert (engine->batches,
                       g_memdup2 (&pass->number, sizeof pass->number), batch);

  *call = g_new0 (struct snipe_peer_call, 1);
  (*call)->procedure = PEER_RUN_BATCH;
  args = &(*call)->args.run_batch;
  engine_load_locked (engine, now, &args->from);
  args->batch = pass->number;
  args->job = strdup (run->job);
  args->team = strdup (snipe_str_c (&run->spec->team));
  args->deadline = (u_quad_t)MAX (run->deadline - now, SNIPE_MS);
  args->speed_min_permille = (u_int)(decision->u.offload.speed_min * 1000);
  args->tasks.tasks_len = count;
  args->tasks.tasks_val = calloc (count, sizeof (peer_task));
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t task = decision->u.offload.tasks[i];

      pass->tasks[i].task = task;
      pass->tasks[i].rule_line = run->tasks[task].rule_line;
      run->tasks[task].state = TASK_PASSED;
      run->tasks[task].batch = pass->number;
      fill_task (&args->tasks.tasks_val[i], &run->spec->tasks[task], task);
    }
  return pass;
}

/** Takes a task out of its batch; with the lock. @return its run, or NULL if
 * the task is not in that batch any more. */
static struct run *
batch_take (struct snipe_engine *engine, uint64_t number, uint32_t task,
            snipe_time now)
{
  struct batch *batch = g_hash_table_lookup (engine->batches, &number);
  struct run *run;

  if (batch == NULL)
    return NULL;
  run = batch->run;
  if (task >= run->spec->task_count || run->tasks[task].state != TASK_PASSED
      || run->tasks[task].batch != number)
    return NULL;
  snipe_sched_offload_end (engine->sched, run->work, task, now);
  if (--batch->open == 0)
    g_hash_table_remove (engine->batches, &number);
  return run;
}

/** Handles a passed task that came back without having run. */
static bool
task_came_back (struct snipe_engine *engine, struct run *run, uint32_t task,
                snipe_time now)
{
  bool over;

  if (run_task_waited (engine, run, task, now, &over))
    return over;
  run->tasks[task].state = TASK_WAITING;
  snipe_sched_requeue (engine->sched, run->work, task, now);
  return false;
}

/** Handles a passed task that failed or whose result will not come. */
static bool
task_lost (struct snipe_engine *engine, struct run *run, uint32_t task,
           enum snipe_attempt_outcome end, snipe_time now)
{
  struct task_run *state = &run->tasks[task];

  if (end == SNIPE_ATTEMPT_LOST)
    engine_task_lost (engine, run, now);
  if (run->code == SNIPE_OK && now < run->deadline
      && snipe_retry_decide (&engine->retry_budget, end,
                             run->spec->tasks[task].idempotent, state->repeats,
                             state->repeats_max)
             == SNIPE_RETRY_AGAIN)
    {
      state->repeats++;
      state->state = TASK_WAITING;
      snipe_counter_add (SNIPE_C_TASK_RETRIES, 1);
      snipe_sched_requeue (engine->sched, run->work, task, now);
      return false;
    }
  if (end == SNIPE_ATTEMPT_FAILED)
    return run_task_ended (engine, run, task, TASK_FAILED, SNIPE_E_TASK_FAILED,
                           "a task ran and failed at a peer's endpoint");
  return run_task_ended (engine, run, task, TASK_UNKNOWN, SNIPE_E_TASK_LOST,
                         "a task was passed to a peer, its result was lost");
}

static void
pass_done (void *ctx, int status, union snipe_peer_reply *reply)
{
  struct pass *pass = ctx;
  struct snipe_engine *engine = pass->engine;
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (struct action));
  GPtrArray *ended = g_ptr_array_new ();
  snipe_time now = snipe_clock_now ();
  uint32_t back = 0;

  if (status == SNIPE_OK)
    engine_heard (engine, &reply->run_batch.load, now);
  pthread_mutex_lock (&engine->sched_lock);
  if (status == SNIPE_E_UNREACHABLE)
    {
      snipe_sched_peer_drop (engine->sched, pass->incarnation);
      back = pass->count;
    }
  else if (status == SNIPE_OK)
    {
      back = reply->run_batch.refused.refused_len;
    }
  for (uint32_t i = 0; i < back; i++)
    {
      uint32_t task = status == SNIPE_OK
                          ? reply->run_batch.refused.refused_val[i]
                          : pass->tasks[i].task;
      struct run *run = batch_take (engine, pass->number, task, now);

      if (run != NULL && task_came_back (engine, run, task, now))
        g_ptr_array_add (ended, run);
    }
  /* What the peer could not place now it cannot place at once again, whatever
     free slots it reports: a task may not fit, or its rules may differ. */
  if (back > 0)
    peer_set_free (engine, pass->incarnation, 0, now);
  engine_decide (engine, now, actions, ended);
  pthread_mutex_unlock (&engine->sched_lock);
  snipe_counter_add (SNIPE_C_PASS_REFUSED, back);
  snipe_rules_unref (pass->rules);
  g_free (pass);
  engine_act (engine, actions, ended, now);
}

void
pass_send (struct snipe_engine *engine, struct action *action, bool stale)
{
  struct pass *pass = action->u.pass.pass;
  int status;

  if (stale)
    {
      xdr_free ((xdrproc_t)xdr_peer_batch,
                (char *)&action->u.pass.call->args.run_batch);
      g_free (action->u.pass.call);
      pass_done (pass, SNIPE_E_UNREACHABLE, NULL);
      return;
    }
  for (uint32_t i = 0; i < pass->count; i++)
    decision_record (engine, pass->job, pass->tasks[i].task, "pass",
                     snipe_reason_name (pass->reason), pass->peer,
                     pass->tasks[i].rule_line, pass->rules);
  snipe_counter_add (SNIPE_C_PASS_BATCHES, 1);
  snipe_counter_add (SNIPE_C_PASS_TASKS, pass->count);
  status = snipe_peer_net_call (engine->links.net, action->u.pass.address,
                                action->u.pass.call, BATCH_TIMEOUT, pass_done,
                                pass);
  g_free (action->u.pass.call);
  if (status < 0)
    pass_done (pass, SNIPE_E_UNREACHABLE, NULL);
}

/** Gives up the tasks of every batch that @p given_up picks. */
static void
give_up (struct snipe_engine *engine,
         bool (*given_up) (const struct batch *batch, const void *arg),
         const void *arg, snipe_time now, GPtrArray *ended)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, engine->batches);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (given_up (value, arg))
      g_array_append_val (numbers, *(uint64_t *)key);
  for (guint i = 0; i < numbers->len; i++)
    {
      uint64_t number = g_array_index (numbers, uint64_t, i);
      struct batch *batch = g_hash_table_lookup (engine->batches, &number);
      struct run *run = batch->run;
      bool over = false;

      for (uint32_t t = 0; t < run->spec->task_count; t++)
        if (batch_take (engine, number, t, now) != NULL)
          over = task_lost (engine, run, t, SNIPE_ATTEMPT_LOST, now) || over;
      if (over)
        g_ptr_array_add (ended, run);
    }
  g_array_free (numbers, TRUE);
}

static bool
batch_is_at (const struct batch *batch, const void *arg)
{
  return batch->incarnation == *(const uint64_t *)arg;
}

void
pass_peer_lost (struct snipe_engine *engine, uint64_t incarnation,
                GPtrArray *ended)
{
  give_up (engine, batch_is_at, &incarnation, snipe_clock_now (), ended);
}

static bool
batch_is_late (const struct batch *batch, const void *arg)
{
  return *(const snipe_time *)arg > batch->run->deadline + RESULTS_GRACE;
}

void
pass_sweep (struct snipe_engine *engine, snipe_time now, GPtrArray *ended)
{
  give_up (engine, batch_is_late, &now, now, ended);
}

/** Takes in one result; with the lock. @return its run if that has ended. */
static struct run *
take_result (struct snipe_engine *engine, uint64_t number,
             const peer_result *result, snipe_time now)
{
  struct run *run = batch_take (engine, number, result->index, now);
  bool over = false;

  if (run == NULL)
    return NULL;
  switch (result->outcome)
    {
    case PEER_RAN:
      snipe_str_set (&run->tasks[result->index].result,
                     result->result.result_val, result->result.result_len);
      over = run_task_ended (engine, run, result->index, TASK_RAN, SNIPE_OK,
                             "");
      break;
    case PEER_FAILED:
      over = task_lost (engine, run, result->index, SNIPE_ATTEMPT_FAILED, now);
      break;
    case PEER_NOT_RUN:
      over = task_came_back (engine, run, result->index, now);
      break;
    case PEER_UNKNOWN:
      over = task_lost (engine, run, result->index, SNIPE_ATTEMPT_LOST, now);
      break;
    }
  return over ? run : NULL;
}

int
engine_on_results (void *ctx, const peer_results *args, peer_load *reply)
{
  struct snipe_engine *engine = ctx;
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (struct action));
  GPtrArray *ended = g_ptr_array_new ();
  snipe_time now = snipe_clock_now ();
  const struct batch *batch;

  engine_heard (engine, &args->from, now);
  pthread_mutex_lock (&engine->sched_lock);
  batch = g_hash_table_lookup (engine->batches, &args->batch);
  /* A duplicate finds no batch; another host cannot answer for this one. */
  if (batch != NULL && batch->incarnation == args->from.incarnation)
    for (u_int i = 0; i < args->results.results_len; i++)
      {
        struct run *run = take_result (engine, args->batch,
                                       &args->results.results_val[i], now);

        if (run != NULL)
          g_ptr_array_add (ended, run);
      }
  engine_decide (engine, now, actions, ended);
  engine_load_locked (engine, now, reply);
  pthread_mutex_unlock (&engine->sched_lock);
  engine_act (engine, actions, ended, now);
  return 0;
}

static struct run *
guest_new (const peer_batch *args, snipe_time now)
{
  struct run *run = calloc (1, sizeof *run);
  uint32_t count = args->tasks.tasks_len;

  if (run == NULL)
    g_error ("no memory for a batch");
  run->kind = RUN_GUEST;
  run->u.guest.incarnation = args->from.incarnation;
  run->u.guest.batch = args->batch;
  run->u.guest.indexes = calloc (count, sizeof (uint32_t));
  g_strlcpy (run->u.guest.address, args->from.address,
             sizeof run->u.guest.address);
  g_strlcpy (run->job, args->job, sizeof run->job);
  run->deadline = now + (snipe_time)args->deadline;
  run->spec = calloc (1, sizeof *run->spec);
  snipe_str_set_c (&run->spec->team, args->team);
  run->spec->task_count = count;
  run->spec->tasks = calloc (count, sizeof *run->spec->tasks);
  run->tasks = calloc (count, sizeof *run->tasks);
  for (uint32_t i = 0; i < count; i++)
    {
      const peer_task *in = &args->tasks.tasks_val[i];
      struct snipe_task_spec *out = &run->spec->tasks[i];

      run->u.guest.indexes[i] = in->index;
      snipe_str_set_c (&out->kind, in->kind);
      snipe_str_set (&out->payload, in->payload.payload_val,
                     in->payload.payload_len);
      out->resources = (struct snipe_task_resources){ .cores = in->cores,
                                                      .mem_mb = in->mem_mb,
                                                      .accel = in->accel };
      out->run_ms = (uint32_t)(in->declared / SNIPE_MS);
      out->idempotent = in->idempotent;
    }
  return run;
}

void
guest_decline (struct run *run, uint32_t task)
{
  run->tasks[task].state = TASK_NOT_RUN;
  run->tasks[task].refused = true;
  run->open--;
}

/** Admits a batch; with the lock. */
static int
guest_admit (struct snipe_engine *engine, struct run *run, float speed_min,
             snipe_time now)
{
  uint32_t count = run->spec->task_count;
  struct snipe_group_task *tasks;
  struct snipe_task_group_options options = SNIPE_TASK_GROUP_OPTIONS_INIT;
  int status;

  if (engine->rules == NULL || count == 0 || snipe_engine_draining (engine))
    return SNIPE_E_NOT_READY;
  run->rules = snipe_rules_ref (engine->rules);
  tasks = g_new0 (struct snipe_group_task, count);
  status = run_tasks_resolve (engine, run, tasks);
  if (status == SNIPE_OK)
    {
      options.team = snipe_sched_team (engine->sched, &run->spec->team);
      options.task_count = count;
      options.tasks = tasks;
      options.wait_max = run->deadline - now;
      options.counts_against_quota = false;
      options.speed_min = speed_min;
      options.ctx = run;
      status
          = snipe_sched_group_add (&run->work, engine->sched, &options, now);
    }
  g_free (tasks);
  if (status == SNIPE_OK)
    {
      run->open = count;
      engine->runs++;
    }
  return status;
}

/** Lists the tasks of a batch as refused that found no slot, or none that
 * was fast enough. */
static void
guest_refuse_queued (struct snipe_engine *engine, struct run *run,
                     peer_batch_reply *reply)
{
  uint32_t count = run->spec->task_count;
  uint32_t *list = calloc (count, sizeof *list);
  uint32_t queued;
  uint32_t refused = 0;

  if (list == NULL)
    g_error ("no memory for refused tasks");
  if (run->work != NULL)
    {
      queued = snipe_sched_group_cancel (engine->sched, run->work, list);
      for (uint32_t i = 0; i < queued; i++)
        guest_decline (run, list[i]);
    }
  for (uint32_t i = 0; i < count; i++)
    if (run->work == NULL || run->tasks[i].refused)
      list[refused++] = run->u.guest.indexes[i];
  reply->refused.refused_len = refused;
  reply->refused.refused_val = list;
}

int
engine_on_run_batch (void *ctx, const peer_batch *args,
                     peer_batch_reply *reply)
{
  struct snipe_engine *engine = ctx;
  snipe_time now = snipe_clock_now ();
  struct run *run = guest_new (args, now);
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (struct action));
  GPtrArray *ended = g_ptr_array_new ();
  bool empty;

  engine_heard (engine, &args->from, now);
  pthread_mutex_lock (&engine->sched_lock);
  if (guest_admit (engine, run, (float)args->speed_min_permille / 1000.0F, now)
      == SNIPE_OK)
    engine_decide (engine, now, actions, ended);
  guest_refuse_queued (engine, run, reply);
  empty = run->work == NULL || run->open == 0;
  engine_load_locked (engine, now, &reply->load);
  /* An offer helps only if slots were what was missing. */
  if (reply->refused.refused_len > 0 && reply->load.free_slots == 0)
    peer_wants_offer (engine, args->from.incarnation);
  pthread_mutex_unlock (&engine->sched_lock);
  engine_act (engine, actions, ended, now);
  if (empty)
    run_free (engine, run);
  return 0;
}

static peer_outcome
guest_outcome (enum task_state state)
{
  switch (state)
    {
    case TASK_RAN:
      return PEER_RAN;
    case TASK_FAILED:
      return PEER_FAILED;
    case TASK_NOT_RUN:
      return PEER_NOT_RUN;
    case TASK_WAITING:
    case TASK_STARTED:
    case TASK_PASSED:
    case TASK_UNKNOWN:
      break;
    }
  return PEER_UNKNOWN;
}

static void
notice_done (void *ctx, int status, union snipe_peer_reply *reply)
{
  struct notice *notice = ctx;
  struct snipe_engine *engine = notice->engine;
  snipe_time now = snipe_clock_now ();

  if (status == SNIPE_OK)
    engine_heard (engine, &reply->load, now);
  if (status == SNIPE_OK || now > notice->run->deadline + RESULTS_GRACE)
    {
      run_free (engine, notice->run);
      g_free (notice);
      __atomic_sub_fetch (&engine->notices, 1, __ATOMIC_RELAXED);
      if (status == SNIPE_OK)
        engine_pump (engine, now);
      return;
    }
  notice->next = now + RESULTS_RETRY;
  pthread_mutex_lock (&engine->forward_lock);
  g_queue_push_tail (&engine->late_notices, notice);
  pthread_mutex_unlock (&engine->forward_lock);
}

static void
notice_send (struct notice *notice)
{
  struct snipe_engine *engine = notice->engine;
  const struct run *run = notice->run;
  struct snipe_peer_call call = { .procedure = PEER_RESULTS };
  peer_results *args = &call.args.results;
  int status;

  engine_load (engine, snipe_clock_now (), &args->from);
  args->batch = run->u.guest.batch;
  args->results.results_val
      = calloc (run->spec->task_count, sizeof (peer_result));
  for (uint32_t i = 0; i < run->spec->task_count; i++)
    {
      peer_result *out;

      if (run->tasks[i].refused)
        continue;
      out = &args->results.results_val[args->results.results_len++];
      out->index = run->u.guest.indexes[i];
      out->outcome = guest_outcome (run->tasks[i].state);
      out->result.result_len = (u_int)run->tasks[i].result.len;
      out->result.result_val
          = g_memdup2 (run->tasks[i].result.data, run->tasks[i].result.len);
    }
  status = snipe_peer_net_call (engine->links.net, run->u.guest.address, &call,
                                RESULTS_TIMEOUT, notice_done, notice);
  if (status < 0)
    notice_done (notice, status, NULL);
}

void
guest_send_results (struct snipe_engine *engine, struct run *run)
{
  struct notice *notice = g_new0 (struct notice, 1);

  notice->engine = engine;
  notice->run = run;
  __atomic_add_fetch (&engine->notices, 1, __ATOMIC_RELAXED);
  notice_send (notice);
}

void
guest_resend (struct snipe_engine *engine, snipe_time now)
{
  for (;;)
    {
      struct notice *notice;

      pthread_mutex_lock (&engine->forward_lock);
      notice = g_queue_peek_head (&engine->late_notices);
      if (notice != NULL && notice->next <= now)
        g_queue_pop_head (&engine->late_notices);
      else
        notice = NULL;
      pthread_mutex_unlock (&engine->forward_lock);
      if (notice == NULL)
        return;
      notice_send (notice);
    }
}
