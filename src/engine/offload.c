#include "engine/private.h"

#include <stdlib.h>
#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

/* A peer replies to a batch at once. After this time the reply is no longer
 * awaited, and a batch that is still in the send queue is not sent. */
#define OFFLOAD_TIMEOUT SNIPE_S
/* Time, after the job's deadline, for the results of a batch to arrive. */
#define RESULTS_GRACE (500 * SNIPE_MS)
#define RESULTS_TIMEOUT (2 * SNIPE_S)
#define RESULTS_RETRY_INTERVAL (250 * SNIPE_MS)

/** The call that sends a batch to a peer. */
struct offload
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

/** The delivery of a received batch's results to its coordinator. */
struct result_delivery
{
  struct snipe_engine *engine;
  struct execution *execution;
  snipe_time next_attempt;
};

static void
fill_task (peer_task *out, const struct snipe_task_spec *spec, uint32_t index)
{
  out->index = index;
  out->kind = strdup (snipe_str_c (&spec->kind));
  out->cores = spec->resources.cores;
  out->mem_mb = spec->resources.mem_mb;
  out->accel = spec->resources.accel;
  out->declared_duration = (u_quad_t)spec->run_ms * SNIPE_MS;
  out->idempotent = spec->idempotent;
  out->payload.payload_len = (u_int)spec->payload.len;
  out->payload.payload_val = g_memdup2 (spec->payload.data, spec->payload.len);
}

struct offload *
offload_new (struct snipe_engine *engine, struct execution *execution,
             const struct snipe_decision *decision, snipe_time now,
             struct snipe_peer_call **call, char *address)
{
  struct peer *peer
      = engine_find_peer (engine, decision->u.offload.incarnation);
  uint32_t count = decision->u.offload.count;
  struct offload *offload;
  struct offloaded_batch *batch;
  peer_batch *args;

  if (peer == NULL)
    {
      snipe_sched_peer_drop (engine->sched, decision->u.offload.incarnation);
      for (uint32_t i = 0; i < count; i++)
        {
          uint32_t task = decision->u.offload.tasks[i];

          snipe_sched_offload_end (engine->sched, execution->task_group, task,
                                   now);
          snipe_sched_requeue (engine->sched, execution->task_group, task,
                               now);
        }
      return NULL;
    }
  offload = g_malloc0 (sizeof *offload + count * sizeof offload->tasks[0]);
  offload->engine = engine;
  offload->number = ++engine->last_batch_number;
  offload->incarnation = peer->incarnation;
  offload->reason = decision->reason;
  offload->rules = snipe_rules_ref (execution->rules);
  offload->count = count;
  g_strlcpy (offload->job, execution->job, sizeof offload->job);
  g_strlcpy (offload->peer, peer->name, sizeof offload->peer);
  g_strlcpy (address, peer->address, ADDRESS_BYTES);

  batch = g_new0 (struct offloaded_batch, 1);
  batch->execution = execution;
  batch->incarnation = peer->incarnation;
  batch->pending_tasks = count;
  g_hash_table_insert (engine->offloaded_batches,
                       g_memdup2 (&offload->number, sizeof offload->number),
                       batch);

  *call = g_new0 (struct snipe_peer_call, 1);
  (*call)->procedure = PEER_RUN_BATCH;
  args = &(*call)->args.run_batch;
  engine_fill_load_report_locked (engine, now, &args->from);
  args->batch = offload->number;
  args->job = strdup (execution->job);
  args->team = strdup (snipe_str_c (&execution->spec->team));
  args->time_left = (u_quad_t)MAX (execution->deadline - now, SNIPE_MS);
  args->speed_min_permille = (u_int)(decision->u.offload.speed_min * 1000);
  args->tasks.tasks_len = count;
  args->tasks.tasks_val = calloc (count, sizeof (peer_task));
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t task = decision->u.offload.tasks[i];

      offload->tasks[i].task = task;
      offload->tasks[i].rule_line = execution->tasks[task].rule_line;
      execution->tasks[task].state = TASK_OFFLOADED;
      execution->tasks[task].batch = offload->number;
      fill_task (&args->tasks.tasks_val[i], &execution->spec->tasks[task],
                 task);
    }
  return offload;
}

/** Removes a task from its batch; with the lock. @return its execution, or
 * NULL if the task is no longer in that batch. */
static struct execution *
batch_remove_task (struct snipe_engine *engine, uint64_t number, uint32_t task,
                   snipe_time now)
{
  struct offloaded_batch *batch
      = g_hash_table_lookup (engine->offloaded_batches, &number);
  struct execution *execution;

  if (batch == NULL)
    return NULL;
  execution = batch->execution;
  if (task >= execution->spec->task_count
      || execution->tasks[task].state != TASK_OFFLOADED
      || execution->tasks[task].batch != number)
    return NULL;
  snipe_sched_offload_end (engine->sched, execution->task_group, task, now);
  if (--batch->pending_tasks == 0)
    g_hash_table_remove (engine->offloaded_batches, &number);
  return execution;
}

/** Handles an offloaded task that was returned without having run. @return
 * true if its execution has ended. */
static bool
handle_returned_task (struct snipe_engine *engine, struct execution *execution,
                      uint32_t task, snipe_time now)
{
  bool execution_ended;

  if (execution_expire_task_if_due (engine, execution, task, now,
                                    &execution_ended))
    return execution_ended;
  execution->tasks[task].state = TASK_WAITING;
  snipe_sched_requeue (engine->sched, execution->task_group, task, now);
  return false;
}

/** Handles an offloaded task that failed or whose result is lost. @return true
 * if its execution has ended. */
static bool
handle_failed_task (struct snipe_engine *engine, struct execution *execution,
                    uint32_t task, enum snipe_attempt_outcome end,
                    snipe_time now)
{
  struct task_execution *state = &execution->tasks[task];

  if (end == SNIPE_ATTEMPT_LOST)
    {
      engine_count_lost_task (engine, execution, now);
      state->lost_count++;
    }
  if (execution->code == SNIPE_OK && now < execution->deadline
      && snipe_retry_decide (&engine->retry_budget, end,
                             execution->spec->tasks[task].idempotent,
                             state->lost_count, state->retry_count,
                             state->retry_max)
             == SNIPE_RETRY_AGAIN)
    {
      state->retry_count++;
      state->state = TASK_WAITING;
      snipe_counter_add (SNIPE_C_TASK_RETRIES, 1);
      snipe_sched_requeue (engine->sched, execution->task_group, task, now);
      return false;
    }
  if (end == SNIPE_ATTEMPT_FAILED)
    return execution_end_task (engine, execution, task, TASK_FAILED,
                               SNIPE_E_TASK_FAILED,
                               "a task ran and failed at a peer's endpoint");
  return execution_end_lost_task (
      engine, execution, task,
      "a task was offloaded to a peer, but its result was lost");
}

static void
offload_done (void *ctx, int status, union snipe_peer_reply *reply)
{
  struct offload *offload = ctx;
  struct snipe_engine *engine = offload->engine;
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (struct action));
  GPtrArray *ended = g_ptr_array_new ();
  snipe_time now = snipe_clock_now ();
  uint32_t returned = 0;

  if (status == SNIPE_OK)
    engine_on_load_report (engine, &reply->run_batch.load, now);
  pthread_mutex_lock (&engine->sched_lock);
  if (status == SNIPE_E_UNREACHABLE)
    {
      snipe_sched_peer_drop (engine->sched, offload->incarnation);
      returned = offload->count;
    }
  else if (status == SNIPE_OK)
    {
      returned = reply->run_batch.refused.refused_len;
    }
  for (uint32_t i = 0; i < returned; i++)
    {
      uint32_t task = status == SNIPE_OK
                          ? reply->run_batch.refused.refused_val[i]
                          : offload->tasks[i].task;
      struct execution *execution
          = batch_remove_task (engine, offload->number, task, now);

      if (execution != NULL
          && handle_returned_task (engine, execution, task, now))
        g_ptr_array_add (ended, execution);
    }
  /* The peer is treated as full, whatever free slots it reports: what it could
     not place now it cannot place at once again, as a task may not fit or its
     rules may differ. */
  if (returned > 0)
    peer_set_free_slots (engine, offload->incarnation, 0, now);
  engine_take_decisions (engine, now, actions, ended);
  pthread_mutex_unlock (&engine->sched_lock);
  snipe_counter_add (SNIPE_C_PASS_REFUSED, returned);
  snipe_rules_unref (offload->rules);
  g_free (offload);
  engine_execute_actions (engine, actions, ended, now);
}

void
offload_send (struct snipe_engine *engine, struct action *action, bool stale)
{
  struct offload *offload = action->u.offload.offload;
  int status;

  if (stale)
    {
      xdr_free ((xdrproc_t)xdr_peer_batch,
                (char *)&action->u.offload.call->args.run_batch);
      g_free (action->u.offload.call);
      offload_done (offload, SNIPE_E_UNREACHABLE, NULL);
      return;
    }
  for (uint32_t i = 0; i < offload->count; i++)
    decision_record (engine, offload->job, offload->tasks[i].task, "pass",
                     snipe_reason_name (offload->reason), offload->peer,
                     offload->tasks[i].rule_line, offload->rules);
  snipe_counter_add (SNIPE_C_PASS_BATCHES, 1);
  snipe_counter_add (SNIPE_C_PASS_TASKS, offload->count);
  status = snipe_peer_net_call (
      engine->dependencies.net, action->u.offload.address,
      action->u.offload.call, OFFLOAD_TIMEOUT, offload_done, offload);
  g_free (action->u.offload.call);
  if (status < 0)
    offload_done (offload, SNIPE_E_UNREACHABLE, NULL);
}

/** Abandons every batch that @p is_abandoned selects; its tasks may have run.
 */
static void
abandon_batches (struct snipe_engine *engine,
                 bool (*is_abandoned) (const struct offloaded_batch *batch,
                                       const void *arg),
                 const void *arg, snipe_time now, GPtrArray *ended)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, engine->offloaded_batches);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (is_abandoned (value, arg))
      g_array_append_val (numbers, *(uint64_t *)key);
  for (guint i = 0; i < numbers->len; i++)
    {
      uint64_t number = g_array_index (numbers, uint64_t, i);
      struct offloaded_batch *batch
          = g_hash_table_lookup (engine->offloaded_batches, &number);
      struct execution *execution = batch->execution;
      bool execution_ended = false;

      for (uint32_t t = 0; t < execution->spec->task_count; t++)
        if (batch_remove_task (engine, number, t, now) != NULL)
          execution_ended = handle_failed_task (engine, execution, t,
                                                SNIPE_ATTEMPT_LOST, now)
                            || execution_ended;
      if (execution_ended)
        g_ptr_array_add (ended, execution);
    }
  g_array_free (numbers, TRUE);
}

static bool
batch_is_at (const struct offloaded_batch *batch, const void *arg)
{
  return batch->incarnation == *(const uint64_t *)arg;
}

void
offload_abandon_peer (struct snipe_engine *engine, uint64_t incarnation,
                      GPtrArray *ended)
{
  abandon_batches (engine, batch_is_at, &incarnation, snipe_clock_now (),
                   ended);
}

static bool
batch_is_overdue (const struct offloaded_batch *batch, const void *arg)
{
  return *(const snipe_time *)arg > batch->execution->deadline + RESULTS_GRACE;
}

void
offload_abandon_overdue (struct snipe_engine *engine, snipe_time now,
                         GPtrArray *ended)
{
  abandon_batches (engine, batch_is_overdue, &now, now, ended);
}

/** Processes one result; with the lock. @return its execution if that has
 * ended. */
static struct execution *
handle_result (struct snipe_engine *engine, uint64_t number,
               const peer_result *result, snipe_time now)
{
  struct execution *execution
      = batch_remove_task (engine, number, result->index, now);
  bool execution_ended = false;

  if (execution == NULL)
    return NULL;
  switch (result->outcome)
    {
    case PEER_COMPLETED:
      snipe_str_set (&execution->tasks[result->index].result,
                     result->result.result_val, result->result.result_len);
      execution_ended = execution_end_task (engine, execution, result->index,
                                            TASK_SUCCEEDED, SNIPE_OK, "");
      break;
    case PEER_FAILED:
      execution_ended = handle_failed_task (engine, execution, result->index,
                                            SNIPE_ATTEMPT_FAILED, now);
      break;
    case PEER_NOT_RUN:
      execution_ended
          = handle_returned_task (engine, execution, result->index, now);
      break;
    case PEER_UNKNOWN:
      execution_ended = handle_failed_task (engine, execution, result->index,
                                            SNIPE_ATTEMPT_LOST, now);
      break;
    }
  return execution_ended ? execution : NULL;
}

int
engine_on_results (void *ctx, const peer_results *args, peer_load *reply)
{
  struct snipe_engine *engine = ctx;
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (struct action));
  GPtrArray *ended = g_ptr_array_new ();
  snipe_time now = snipe_clock_now ();
  const struct offloaded_batch *batch;

  engine_on_load_report (engine, &args->from, now);
  pthread_mutex_lock (&engine->sched_lock);
  batch = g_hash_table_lookup (engine->offloaded_batches, &args->batch);
  /* A duplicate message finds no batch. Results are accepted only from the
     host that the batch was sent to. */
  if (batch != NULL && batch->incarnation == args->from.incarnation)
    for (u_int i = 0; i < args->results.results_len; i++)
      {
        struct execution *execution = handle_result (
            engine, args->batch, &args->results.results_val[i], now);

        if (execution != NULL)
          g_ptr_array_add (ended, execution);
      }
  engine_take_decisions (engine, now, actions, ended);
  engine_fill_load_report_locked (engine, now, reply);
  pthread_mutex_unlock (&engine->sched_lock);
  engine_execute_actions (engine, actions, ended, now);
  return 0;
}

static struct execution *
received_batch_new (const peer_batch *args, snipe_time now)
{
  struct execution *execution = calloc (1, sizeof *execution);
  uint32_t count = args->tasks.tasks_len;

  if (execution == NULL)
    g_error ("out of memory for a received batch");
  execution->kind = EXECUTION_RECEIVED_BATCH;
  execution->u.received.incarnation = args->from.incarnation;
  execution->u.received.batch = args->batch;
  execution->u.received.indexes = calloc (count, sizeof (uint32_t));
  g_strlcpy (execution->u.received.address, args->from.address,
             sizeof execution->u.received.address);
  g_strlcpy (execution->job, args->job, sizeof execution->job);
  execution->deadline = now + (snipe_time)args->time_left;
  execution->spec = calloc (1, sizeof *execution->spec);
  snipe_str_set_c (&execution->spec->team, args->team);
  execution->spec->task_count = count;
  execution->spec->tasks = calloc (count, sizeof *execution->spec->tasks);
  execution->tasks = calloc (count, sizeof *execution->tasks);
  for (uint32_t i = 0; i < count; i++)
    {
      const peer_task *in = &args->tasks.tasks_val[i];
      struct snipe_task_spec *out = &execution->spec->tasks[i];

      execution->u.received.indexes[i] = in->index;
      snipe_str_set_c (&out->kind, in->kind);
      snipe_str_set (&out->payload, in->payload.payload_val,
                     in->payload.payload_len);
      out->resources = (struct snipe_task_resources){ .cores = in->cores,
                                                      .mem_mb = in->mem_mb,
                                                      .accel = in->accel };
      out->run_ms = (uint32_t)(in->declared_duration / SNIPE_MS);
      out->idempotent = in->idempotent;
    }
  return execution;
}

void
received_batch_reject_task (struct execution *execution, uint32_t task)
{
  execution->tasks[task].state = TASK_NOT_RUN;
  execution->tasks[task].rejected = true;
  execution->pending_tasks--;
}

/** Adds a received batch to the scheduler; with the lock. */
static int
received_batch_admit (struct snipe_engine *engine, struct execution *execution,
                      float speed_min, snipe_time now)
{
  uint32_t count = execution->spec->task_count;
  struct snipe_group_task *tasks;
  struct snipe_task_group_options options = SNIPE_TASK_GROUP_OPTIONS_INIT;
  int status;

  if (engine->rules == NULL || count == 0 || snipe_engine_draining (engine))
    return SNIPE_E_NOT_READY;
  execution->rules = snipe_rules_ref (engine->rules);
  tasks = g_new0 (struct snipe_group_task, count);
  status = execution_resolve_tasks (engine, execution, tasks);
  if (status == SNIPE_OK)
    {
      options.team = snipe_sched_team (engine->sched, &execution->spec->team);
      options.task_count = count;
      options.tasks = tasks;
      options.wait_max = execution->deadline - now;
      options.counts_against_quota = false;
      options.speed_min = speed_min;
      options.ctx = execution;
      status = snipe_sched_group_add (&execution->task_group, engine->sched,
                                      &options, now);
    }
  g_free (tasks);
  if (status == SNIPE_OK)
    {
      execution->pending_tasks = count;
      engine->execution_count++;
    }
  return status;
}

/** Rejects the tasks of a batch that got no slot, or none on an endpoint that
 * is fast enough, and lists them in the reply. */
static void
received_batch_reject_queued (struct snipe_engine *engine,
                              struct execution *execution,
                              peer_batch_reply *reply)
{
  uint32_t count = execution->spec->task_count;
  uint32_t *list = calloc (count, sizeof *list);
  uint32_t queued;
  uint32_t rejected = 0;

  if (list == NULL)
    g_error ("out of memory for the list of rejected tasks");
  if (execution->task_group != NULL)
    {
      queued = snipe_sched_group_cancel (engine->sched, execution->task_group,
                                         list);
      for (uint32_t i = 0; i < queued; i++)
        received_batch_reject_task (execution, list[i]);
    }
  for (uint32_t i = 0; i < count; i++)
    if (execution->task_group == NULL || execution->tasks[i].rejected)
      list[rejected++] = execution->u.received.indexes[i];
  reply->refused.refused_len = rejected;
  reply->refused.refused_val = list;
}

int
engine_on_run_batch (void *ctx, const peer_batch *args,
                     peer_batch_reply *reply)
{
  struct snipe_engine *engine = ctx;
  snipe_time now = snipe_clock_now ();
  struct execution *execution = received_batch_new (args, now);
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (struct action));
  GPtrArray *ended = g_ptr_array_new ();
  bool empty;

  engine_on_load_report (engine, &args->from, now);
  pthread_mutex_lock (&engine->sched_lock);
  if (received_batch_admit (engine, execution,
                            (float)args->speed_min_permille / 1000.0F, now)
      == SNIPE_OK)
    engine_take_decisions (engine, now, actions, ended);
  received_batch_reject_queued (engine, execution, reply);
  empty = execution->task_group == NULL || execution->pending_tasks == 0;
  engine_fill_load_report_locked (engine, now, &reply->load);
  /* An offer helps only if the tasks were rejected because no slot was free.
   */
  if (reply->refused.refused_len > 0 && reply->load.free_slots == 0)
    peer_mark_wants_offer (engine, args->from.incarnation);
  pthread_mutex_unlock (&engine->sched_lock);
  engine_execute_actions (engine, actions, ended, now);
  if (empty)
    execution_free (engine, execution);
  return 0;
}

static peer_outcome
task_outcome_to_wire (enum task_state state)
{
  switch (state)
    {
    case TASK_SUCCEEDED:
      return PEER_COMPLETED;
    case TASK_FAILED:
      return PEER_FAILED;
    case TASK_NOT_RUN:
      return PEER_NOT_RUN;
    case TASK_WAITING:
    case TASK_STARTED:
    case TASK_OFFLOADED:
    case TASK_UNKNOWN:
      break;
    }
  return PEER_UNKNOWN;
}

static void
result_delivery_done (void *ctx, int status, union snipe_peer_reply *reply)
{
  struct result_delivery *delivery = ctx;
  struct snipe_engine *engine = delivery->engine;
  snipe_time now = snipe_clock_now ();

  if (status == SNIPE_OK)
    engine_on_load_report (engine, &reply->load, now);
  if (status == SNIPE_OK
      || now > delivery->execution->deadline + RESULTS_GRACE)
    {
      execution_free (engine, delivery->execution);
      g_free (delivery);
      __atomic_sub_fetch (&engine->result_deliveries, 1, __ATOMIC_RELAXED);
      if (status == SNIPE_OK)
        engine_dispatch (engine, now);
      return;
    }
  delivery->next_attempt = now + RESULTS_RETRY_INTERVAL;
  pthread_mutex_lock (&engine->forward_lock);
  g_queue_push_tail (&engine->delivery_retries, delivery);
  pthread_mutex_unlock (&engine->forward_lock);
}

static void
result_delivery_send (struct result_delivery *delivery)
{
  struct snipe_engine *engine = delivery->engine;
  const struct execution *execution = delivery->execution;
  struct snipe_peer_call call = { .procedure = PEER_RESULTS };
  peer_results *args = &call.args.results;
  int status;

  engine_fill_load_report (engine, snipe_clock_now (), &args->from);
  args->batch = execution->u.received.batch;
  args->results.results_val
      = calloc (execution->spec->task_count, sizeof (peer_result));
  for (uint32_t i = 0; i < execution->spec->task_count; i++)
    {
      peer_result *out;

      if (execution->tasks[i].rejected)
        continue;
      out = &args->results.results_val[args->results.results_len++];
      out->index = execution->u.received.indexes[i];
      out->outcome = task_outcome_to_wire (execution->tasks[i].state);
      out->result.result_len = (u_int)execution->tasks[i].result.len;
      out->result.result_val = g_memdup2 (execution->tasks[i].result.data,
                                          execution->tasks[i].result.len);
    }
  status = snipe_peer_net_call (
      engine->dependencies.net, execution->u.received.address, &call,
      RESULTS_TIMEOUT, result_delivery_done, delivery);
  if (status < 0)
    result_delivery_done (delivery, status, NULL);
}

void
received_batch_send_results (struct snipe_engine *engine,
                             struct execution *execution)
{
  struct result_delivery *delivery = g_new0 (struct result_delivery, 1);

  delivery->engine = engine;
  delivery->execution = execution;
  __atomic_add_fetch (&engine->result_deliveries, 1, __ATOMIC_RELAXED);
  result_delivery_send (delivery);
}

void
received_batch_resend_results (struct snipe_engine *engine, snipe_time now)
{
  for (;;)
    {
      struct result_delivery *delivery;

      pthread_mutex_lock (&engine->forward_lock);
      delivery = g_queue_peek_head (&engine->delivery_retries);
      if (delivery != NULL && delivery->next_attempt <= now)
        g_queue_pop_head (&engine->delivery_retries);
      else
        delivery = NULL;
      pthread_mutex_unlock (&engine->forward_lock);
      if (delivery == NULL)
        return;
      result_delivery_send (delivery);
    }
}
