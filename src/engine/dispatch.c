#include "engine/private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "endpoint/client.h"
#include "snipe/counter.h"
#include "snipe/status.h"

/* Extra time, after the job's deadline, for the answer to a start request. If
 * a start that was sent shortly before the deadline were abandoned at the
 * deadline, a rejection in transit would count as "may have run". Shorter than
 * the time allowed for results of a batch (RESULTS_GRACE). */
#define START_TIMEOUT_GRACE (250 * SNIPE_MS)
/* A decision that is older than this when it is executed is dropped: the
 * process was suspended in between, and leases may have expired. */
#define DECISION_MAX_AGE (500 * SNIPE_MS)

static const char *
start_outcome_message (enum snipe_attempt_outcome end)
{
  switch (end)
    {
    case SNIPE_ATTEMPT_OK:
      return "";
    case SNIPE_ATTEMPT_FAILED:
      return "a task ran and failed at its endpoint";
    case SNIPE_ATTEMPT_REFUSED_FULL:
      return "an endpoint refused a task: full";
    case SNIPE_ATTEMPT_REFUSED_DRAINING:
      return "an endpoint refused a task: leaving";
    case SNIPE_ATTEMPT_NOT_CONNECTED:
      return "an endpoint could not be reached";
    case SNIPE_ATTEMPT_LOST:
      break;
    }
  return "a task was started, but its answer was lost";
}

static void
count_start_outcome (enum snipe_attempt_outcome end)
{
  switch (end)
    {
    case SNIPE_ATTEMPT_OK:
    case SNIPE_ATTEMPT_FAILED:
      snipe_counter_add (SNIPE_C_TASK_ANSWERS, 1);
      break;
    case SNIPE_ATTEMPT_REFUSED_FULL:
    case SNIPE_ATTEMPT_REFUSED_DRAINING:
      snipe_counter_add (SNIPE_C_TASK_REFUSED, 1);
      break;
    case SNIPE_ATTEMPT_LOST:
      snipe_counter_add (SNIPE_C_TASK_LOST, 1);
      break;
    case SNIPE_ATTEMPT_NOT_CONNECTED:
      break;
    }
}

/** Handles the result of a start: ends, retries or requeues the task; with the
 * scheduler's lock. @return true if its execution has ended. */
static bool
handle_start_result (struct snipe_engine *engine,
                     const struct task_start *start,
                     struct snipe_start_result *result, snipe_time now)
{
  struct execution *execution = start->execution;
  struct task_execution *task = &execution->tasks[start->task];
  const struct snipe_task_spec *spec = &execution->spec->tasks[start->task];
  bool execution_ended;

  snipe_sched_task_end (engine->sched, execution->task_group, start->task,
                        result->outcome, result->duration, now);
  if (result->outcome == SNIPE_ATTEMPT_LOST)
    {
      engine_count_lost_task (engine, execution, now);
      task->lost_count++;
    }
  if (result->outcome == SNIPE_ATTEMPT_OK)
    {
      task->result = result->result;
      result->result = (struct snipe_str)SNIPE_STR_INIT;
      return execution_end_task (engine, execution, start->task,
                                 TASK_SUCCEEDED, SNIPE_OK, "");
    }
  switch (snipe_retry_decide (&engine->retry_budget, result->outcome,
                              spec->idempotent, task->lost_count,
                              task->retry_count, task->retry_max))
    {
    case SNIPE_RETRY_AGAIN:
      if (execution->code != SNIPE_OK || now >= execution->deadline)
        break;
      task->retry_count++;
      task->state = TASK_WAITING;
      snipe_counter_add (SNIPE_C_TASK_RETRIES, 1);
      snipe_sched_requeue (engine->sched, execution->task_group, start->task,
                           now);
      return false;
    case SNIPE_RETRY_REQUEUE:
      /* The coordinator can place it on any host; here it would wait for the
         endpoints of this host alone, which may all refuse it. */
      if (execution->kind == EXECUTION_RECEIVED_BATCH)
        return execution_end_task (engine, execution, start->task,
                                   TASK_NOT_RUN, SNIPE_OK, "");
      if (execution_expire_task_if_due (engine, execution, start->task, now,
                                        &execution_ended))
        return execution_ended;
      task->state = TASK_WAITING;
      snipe_sched_requeue (engine->sched, execution->task_group, start->task,
                           now);
      return false;
    case SNIPE_RETRY_FAIL:
    case SNIPE_RETRY_UNKNOWN:
      break;
    }
  if (result->outcome == SNIPE_ATTEMPT_FAILED)
    return execution_end_task (engine, execution, start->task, TASK_FAILED,
                               SNIPE_E_TASK_FAILED,
                               start_outcome_message (result->outcome));
  return execution_end_lost_task (engine, execution, start->task,
                                  start_outcome_message (result->outcome));
}

static void
start_done (void *ctx, struct snipe_start_result *result)
{
  struct task_start *start = ctx;
  struct snipe_engine *engine = start->engine;
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (struct action));
  GPtrArray *ended = g_ptr_array_new ();
  snipe_time now = snipe_clock_now ();

  count_start_outcome (result->outcome);
  pthread_mutex_lock (&engine->sched_lock);
  if (handle_start_result (engine, start, result, now))
    g_ptr_array_add (ended, start->execution);
  engine_take_decisions (engine, now, actions, ended);
  pthread_mutex_unlock (&engine->sched_lock);
  free (start);
  engine_execute_actions (engine, actions, ended, now);
  engine_send_offer (engine, now);
}

static uint32_t
task_index (const struct execution *execution, uint32_t task)
{
  switch (execution->kind)
    {
    case EXECUTION_RECEIVED_BATCH:
      return execution->u.received.indexes[task];
    case EXECUTION_JOB:
      break;
    }
  return task;
}

static void
build_start_body (struct snipe_str *out, const struct task_start *start)
{
  const struct execution *execution = start->execution;
  const struct snipe_task_spec *task = &execution->spec->tasks[start->task];
  size_t size
      = task->payload.len + task->kind.len + execution->spec->team.len + 128;
  char *text = malloc (size);
  int len;

  if (text == NULL)
    g_error ("out of memory for the start of a task");
  /* Job ids, team names and kinds contain no character that JSON would
     escape. */
  len = snprintf (text, size,
                  "{\"task\":\"%s/%u\",\"team\":\"%s\",\"kind\":\"%s\","
                  "\"payload\":",
                  execution->job, task_index (execution, start->task),
                  snipe_str_c (&execution->spec->team),
                  snipe_str_c (&task->kind));
  memcpy (text + len, task->payload.data, task->payload.len);
  memcpy (text + len + task->payload.len, "}", 2);
  snipe_str_take (out, text, (size_t)len + task->payload.len + 1);
}

static struct task_start *
start_new (struct snipe_engine *engine, struct execution *execution,
           const struct snipe_decision *decision)
{
  const struct snipe_endpoint_info *info
      = snipe_sched_endpoint_info (decision->u.start.endpoint);
  struct task_start *start = calloc (1, sizeof *start);

  if (start == NULL)
    g_error ("out of memory for the start of a task");
  start->engine = engine;
  start->execution = execution;
  start->task = decision->u.start.task;
  start->reason = decision->reason;
  g_strlcpy (start->address, snipe_str_c (&info->address),
             sizeof start->address);
  g_strlcpy (start->endpoint, snipe_str_c (&info->name),
             sizeof start->endpoint);
  execution->tasks[start->task].state = TASK_STARTED;
  if (execution->tasks[start->task].retry_count == 0)
    snipe_retry_budget_refill (&engine->retry_budget);
  return start;
}

static void
expire_task (struct snipe_engine *engine, struct execution *execution,
             uint32_t task, snipe_time now, GPtrArray *ended)
{
  bool deadline_passed = now >= execution->deadline;
  bool was_started = execution->tasks[task].retry_count > 0;

  decision_record (
      engine, execution->job, task_index (execution, task), "expire",
      deadline_passed ? "deadline" : snipe_reason_name (SNIPE_REASON_WAITED),
      "", deadline_passed ? 0 : execution->queue_rule_line, execution->rules);
  if (execution_end_task (
          engine, execution, task, was_started ? TASK_UNKNOWN : TASK_NOT_RUN,
          deadline_passed ? SNIPE_E_DEADLINE : SNIPE_E_OVERLOAD,
          deadline_passed
              ? "the job's deadline passed while tasks were queued"
              : "tasks were queued longer than the queue rule allows"))
    g_ptr_array_add (ended, execution);
}

void
engine_take_decisions (struct snipe_engine *engine, snipe_time now,
                       GArray *actions, GPtrArray *ended)
{
  struct snipe_decision decision;

  engine_check_shares (engine, now);
  while (snipe_sched_next (engine->sched, now, &decision))
    {
      struct execution *execution = snipe_task_group_ctx (decision.group);
      struct action action = { .kind = decision.kind };

      switch (decision.kind)
        {
        case SNIPE_DECISION_START:
          action.u.start = start_new (engine, execution, &decision);
          break;
        case SNIPE_DECISION_OFFLOAD:
          action.u.offload.offload
              = offload_new (engine, execution, &decision, now,
                             &action.u.offload.call, action.u.offload.address);
          if (action.u.offload.offload == NULL)
            continue;
          break;
        case SNIPE_DECISION_EXPIRE:
          /* A rejected task is returned in the reply to its batch. */
          if (decision.reason == SNIPE_REASON_TOO_SLOW)
            received_batch_reject_task (execution, decision.u.expire.task);
          else
            expire_task (engine, execution, decision.u.expire.task, now,
                         ended);
          continue;
        }
      g_array_append_val (actions, action);
    }
}

static void
execute_start (struct snipe_engine *engine, struct task_start *start,
               snipe_time now)
{
  struct execution *execution = start->execution;
  struct snipe_str body = SNIPE_STR_INIT;
  snipe_time timeout
      = MAX (execution->deadline - now, 0) + START_TIMEOUT_GRACE;
  int status;

  if (snipe_clock_now () - now > DECISION_MAX_AGE)
    {
      struct snipe_start_result result
          = { .outcome = SNIPE_ATTEMPT_NOT_CONNECTED };

      start_done (start, &result);
      return;
    }
  decision_record (engine, execution->job, task_index (execution, start->task),
                   "start", snipe_reason_name (start->reason), start->endpoint,
                   execution->tasks[start->task].rule_line, execution->rules);
  snipe_counter_add (SNIPE_C_TASK_STARTS, 1);
  if (start->reason == SNIPE_REASON_PROBE)
    snipe_counter_add (SNIPE_C_PROBES, 1);
  build_start_body (&body, start);
  status = snipe_endpoint_client_start (engine->dependencies.endpoints,
                                        start->address, &body, timeout,
                                        start_done, start);
  if (status < 0)
    {
      struct snipe_start_result result
          = { .outcome = SNIPE_ATTEMPT_NOT_CONNECTED };

      start_done (start, &result);
    }
}

void
engine_execute_actions (struct snipe_engine *engine, GArray *actions,
                        GPtrArray *ended, snipe_time now)
{
  for (guint i = 0; i < actions->len; i++)
    {
      struct action *action = &g_array_index (actions, struct action, i);

      switch (action->kind)
        {
        case SNIPE_DECISION_START:
          execute_start (engine, action->u.start, now);
          break;
        case SNIPE_DECISION_OFFLOAD:
          offload_send (engine, action,
                        snipe_clock_now () - now > DECISION_MAX_AGE);
          break;
        case SNIPE_DECISION_EXPIRE:
          break;
        }
    }
  for (guint i = 0; i < ended->len; i++)
    execution_end (engine, ended->pdata[i]);
  g_array_free (actions, TRUE);
  g_ptr_array_free (ended, TRUE);
}

void
engine_dispatch (struct snipe_engine *engine, snipe_time now)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (struct action));
  GPtrArray *ended = g_ptr_array_new ();

  pthread_mutex_lock (&engine->sched_lock);
  engine_take_decisions (engine, now, actions, ended);
  pthread_mutex_unlock (&engine->sched_lock);
  engine_execute_actions (engine, actions, ended, now);
}
