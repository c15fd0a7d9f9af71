#include "engine/private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "endpoint/client.h"
#include "snipe/counter.h"
#include "snipe/status.h"

/* A start that was written shortly before the job's deadline is given this
 * much longer to be refused: given up at the deadline, a refusal on its way
 * would count as "may have run". Shorter than a peer's grace for results. */
#define START_GRACE (250 * SNIPE_MS)
/* A decision that is older than this when it is carried out is dropped: the
 * process was stopped in between, and leases may have lapsed. */
#define DECISION_MAX_AGE (500 * SNIPE_MS)

static const char *
end_message (enum snipe_attempt_outcome end)
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
  return "a task was started, its answer was lost";
}

static void
count_end (enum snipe_attempt_outcome end)
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

/** Decides what becomes of a task after a start; with the scheduler's lock.
 * @return true if its run has ended. */
static bool
after_start (struct snipe_engine *engine, const struct start *start,
             struct snipe_start_result *result, snipe_time now)
{
  struct run *run = start->run;
  struct task_run *task = &run->tasks[start->task];
  const struct snipe_task_spec *spec = &run->spec->tasks[start->task];
  bool over;

  snipe_sched_task_end (engine->sched, run->work, start->task, result->end,
                        result->duration, now);
  if (result->end == SNIPE_ATTEMPT_LOST)
    engine_task_lost (engine, run, now);
  if (result->end == SNIPE_ATTEMPT_OK)
    {
      task->result = result->result;
      result->result = (struct snipe_str)SNIPE_STR_INIT;
      return run_task_ended (engine, run, start->task, TASK_RAN, SNIPE_OK, "");
    }
  switch (snipe_retry_decide (&engine->retry_budget, result->end,
                              spec->idempotent, task->repeats,
                              task->repeats_max))
    {
    case SNIPE_RETRY_AGAIN:
      if (run->code != SNIPE_OK || now >= run->deadline)
        break;
      task->repeats++;
      task->state = TASK_WAITING;
      snipe_counter_add (SNIPE_C_TASK_RETRIES, 1);
      snipe_sched_requeue (engine->sched, run->work, start->task, now);
      return false;
    case SNIPE_RETRY_REQUEUE:
      /* The home can place it anywhere; here it would wait for the endpoints
         of this host alone, which may all refuse. */
      if (run->kind == RUN_GUEST)
        return run_task_ended (engine, run, start->task, TASK_NOT_RUN,
                               SNIPE_OK, "");
      if (run_task_waited (engine, run, start->task, now, &over))
        return over;
      task->state = TASK_WAITING;
      snipe_sched_requeue (engine->sched, run->work, start->task, now);
      return false;
    case SNIPE_RETRY_FAIL:
    case SNIPE_RETRY_UNKNOWN:
      break;
    }
  if (result->end == SNIPE_ATTEMPT_FAILED)
    return run_task_ended (engine, run, start->task, TASK_FAILED,
                           SNIPE_E_TASK_FAILED, end_message (result->end));
  return run_task_ended (engine, run, start->task, TASK_UNKNOWN,
                         SNIPE_E_TASK_LOST, end_message (result->end));
}

static void
start_done (void *ctx, struct snipe_start_result *result)
{
  struct start *start = ctx;
  struct snipe_engine *engine = start->engine;
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (struct action));
  GPtrArray *ended = g_ptr_array_new ();
  snipe_time now = snipe_clock_now ();

  count_end (result->end);
  pthread_mutex_lock (&engine->sched_lock);
  if (after_start (engine, start, result, now))
    g_ptr_array_add (ended, start->run);
  engine_decide (engine, now, actions, ended);
  pthread_mutex_unlock (&engine->sched_lock);
  free (start);
  engine_act (engine, actions, ended, now);
  engine_offer (engine, now);
}

static uint32_t
task_index (const struct run *run, uint32_t task)
{
  switch (run->kind)
    {
    case RUN_GUEST:
      return run->u.guest.indexes[task];
    case RUN_HOME:
      break;
    }
  return task;
}

static void
start_body (struct snipe_str *out, const struct start *start)
{
  const struct run *run = start->run;
  const struct snipe_task_spec *task = &run->spec->tasks[start->task];
  size_t size = task->payload.len + task->kind.len + run->spec->team.len + 128;
  char *text = malloc (size);
  int len;

  if (text == NULL)
    g_error ("no memory for a start");
  /* Job ids, teams and kinds hold no character that JSON would escape. */
  len = snprintf (text, size,
                  "{\"task\":\"%s/%u\",\"team\":\"%s\",\"kind\":\"%s\","
                  "\"payload\":",
                  run->job, task_index (run, start->task),
                  snipe_str_c (&run->spec->team), snipe_str_c (&task->kind));
  memcpy (text + len, task->payload.data, task->payload.len);
  memcpy (text + len + task->payload.len, "}", 2);
  snipe_str_take (out, text, (size_t)len + task->payload.len + 1);
}

static struct start *
start_new (struct snipe_engine *engine, struct run *run,
           const struct snipe_decision *decision)
{
  const struct snipe_endpoint_info *info
      = snipe_sched_endpoint_info (decision->u.start.endpoint);
  struct start *start = calloc (1, sizeof *start);

  if (start == NULL)
    g_error ("no memory for a start");
  start->engine = engine;
  start->run = run;
  start->task = decision->u.start.task;
  start->reason = decision->reason;
  g_strlcpy (start->address, snipe_str_c (&info->address),
             sizeof start->address);
  g_strlcpy (start->endpoint, snipe_str_c (&info->name),
             sizeof start->endpoint);
  run->tasks[start->task].state = TASK_STARTED;
  if (run->tasks[start->task].repeats == 0)
    snipe_retry_budget_refill (&engine->retry_budget);
  return start;
}

static void
expire (struct snipe_engine *engine, struct run *run, uint32_t task,
        snipe_time now, GPtrArray *ended)
{
  bool late = now >= run->deadline;
  bool ran = run->tasks[task].repeats > 0;

  decision_record (engine, run->job, task_index (run, task), "expire",
                   late ? "deadline" : snipe_reason_name (SNIPE_REASON_WAITED),
                   "", late ? 0 : run->queue_line, run->rules);
  if (run_task_ended (engine, run, task, ran ? TASK_UNKNOWN : TASK_NOT_RUN,
                      late ? SNIPE_E_DEADLINE : SNIPE_E_OVERLOAD,
                      late ? "the job's deadline passed while tasks waited"
                           : "tasks waited longer than the queue rule allows"))
    g_ptr_array_add (ended, run);
}

void
engine_decide (struct snipe_engine *engine, snipe_time now, GArray *actions,
               GPtrArray *ended)
{
  struct snipe_decision decision;

  engine_check_shares (engine, now);
  while (snipe_sched_next (engine->sched, now, &decision))
    {
      struct run *run = snipe_task_group_ctx (decision.group);
      struct action action = { .kind = decision.kind };

      switch (decision.kind)
        {
        case SNIPE_DECISION_START:
          action.u.start = start_new (engine, run, &decision);
          break;
        case SNIPE_DECISION_OFFLOAD:
          action.u.pass.pass
              = pass_new (engine, run, &decision, now, &action.u.pass.call,
                          action.u.pass.address);
          if (action.u.pass.pass == NULL)
            continue;
          break;
        case SNIPE_DECISION_EXPIRE:
          /* A declined task goes back in the reply to its batch. */
          if (decision.reason == SNIPE_REASON_TOO_SLOW)
            guest_decline (run, decision.u.expire.task);
          else
            expire (engine, run, decision.u.expire.task, now, ended);
          continue;
        }
      g_array_append_val (actions, action);
    }
}

static void
act_start (struct snipe_engine *engine, struct start *start, snipe_time now)
{
  struct run *run = start->run;
  struct snipe_str body = SNIPE_STR_INIT;
  snipe_time timeout = MAX (run->deadline - now, 0) + START_GRACE;
  int status;

  if (snipe_clock_now () - now > DECISION_MAX_AGE)
    {
      struct snipe_start_result result
          = { .end = SNIPE_ATTEMPT_NOT_CONNECTED };

      start_done (start, &result);
      return;
    }
  decision_record (engine, run->job, task_index (run, start->task), "start",
                   snipe_reason_name (start->reason), start->endpoint,
                   run->tasks[start->task].rule_line, run->rules);
  snipe_counter_add (SNIPE_C_TASK_STARTS, 1);
  if (start->reason == SNIPE_REASON_PROBE)
    snipe_counter_add (SNIPE_C_PROBES, 1);
  start_body (&body, start);
  status
      = snipe_endpoint_client_start (engine->links.endpoints, start->address,
                                     &body, timeout, start_done, start);
  if (status < 0)
    {
      struct snipe_start_result result
          = { .end = SNIPE_ATTEMPT_NOT_CONNECTED };

      start_done (start, &result);
    }
}

void
engine_act (struct snipe_engine *engine, GArray *actions, GPtrArray *ended,
            snipe_time now)
{
  for (guint i = 0; i < actions->len; i++)
    {
      struct action *action = &g_array_index (actions, struct action, i);

      switch (action->kind)
        {
        case SNIPE_DECISION_START:
          act_start (engine, action->u.start, now);
          break;
        case SNIPE_DECISION_OFFLOAD:
          pass_send (engine, action,
                     snipe_clock_now () - now > DECISION_MAX_AGE);
          break;
        case SNIPE_DECISION_EXPIRE:
          break;
        }
    }
  for (guint i = 0; i < ended->len; i++)
    run_end (engine, ended->pdata[i]);
  g_array_free (actions, TRUE);
  g_ptr_array_free (ended, TRUE);
}

void
engine_pump (struct snipe_engine *engine, snipe_time now)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (struct action));
  GPtrArray *ended = g_ptr_array_new ();

  pthread_mutex_lock (&engine->sched_lock);
  engine_decide (engine, now, actions, ended);
  pthread_mutex_unlock (&engine->sched_lock);
  engine_act (engine, actions, ended, now);
}
