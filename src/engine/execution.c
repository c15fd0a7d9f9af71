#include "engine/private.h"

#include <stdlib.h>
#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

static const char *
task_state_name (enum task_state state)
{
  switch (state)
    {
    case TASK_SUCCEEDED:
    case TASK_FAILED:
      return "ran";
    case TASK_NOT_RUN:
      return "not_run";
    case TASK_WAITING:
    case TASK_STARTED:
    case TASK_OFFLOADED:
    case TASK_UNKNOWN:
      break;
    }
  return "unknown";
}

void
execution_free (struct snipe_engine *engine, struct execution *execution)
{
  if (execution == NULL)
    return;
  if (execution->task_group != NULL)
    {
      pthread_mutex_lock (&engine->sched_lock);
      snipe_sched_group_free (engine->sched, execution->task_group);
      engine->execution_count--;
      pthread_mutex_unlock (&engine->sched_lock);
    }
  switch (execution->kind)
    {
    case EXECUTION_JOB:
      if (execution->u.submission != NULL)
        submission_unref (execution->u.submission);
      break;
    case EXECUTION_RECEIVED_BATCH:
      free (execution->u.received.indexes);
      break;
    }
  if (execution->tasks != NULL && execution->spec != NULL)
    for (uint32_t i = 0; i < execution->spec->task_count; i++)
      snipe_str_clear (&execution->tasks[i].result);
  free (execution->tasks);
  snipe_job_spec_free (execution->spec);
  snipe_rules_unref (execution->rules);
  free (execution);
}

/** Looks up the rules of each task and fills in its description for the
 * scheduler. Call with the scheduler's lock. */
int
execution_resolve_tasks (struct snipe_engine *engine,
                         struct execution *execution,
                         struct snipe_group_task *tasks)
{
  const struct snipe_job_spec *spec = execution->spec;

  for (uint32_t i = 0; i < spec->task_count; i++)
    {
      const struct snipe_task_spec *task = &spec->tasks[i];
      const struct snipe_rule *allow
          = snipe_rules_allow (execution->rules, &spec->team, &task->kind);
      const struct snipe_rule *retry
          = snipe_rules_retry (execution->rules, &spec->team, &task->kind);

      if (allow == NULL)
        return snipe_status_set (
            SNIPE_E_NO_RULE,
            "no allow rule of version %llu matches team \"%s\", kind \"%s\"",
            (unsigned long long)snipe_rules_version (execution->rules),
            snipe_str_c (&spec->team), snipe_str_c (&task->kind));
      execution->tasks[i].rule_line = allow->line;
      /* The coordinator of a batch counts the retries of its tasks: if the
         peer retried them too, the rule's maximum would multiply. */
      execution->tasks[i].retry_max
          = retry == NULL || execution->kind == EXECUTION_RECEIVED_BATCH
                ? 0
                : (uint16_t)MIN (retry->u.retry.max, UINT16_MAX);
      tasks[i] = (struct snipe_group_task){
        .needs = task->resources,
        .domains = allow->u.allow.domain_count == 0 ? ~(uint64_t)0 : 0,
        .kind = snipe_sched_kind (engine->sched, &spec->team, &task->kind),
        .declared_duration = (snipe_time)task->run_ms * SNIPE_MS,
        .idempotent = task->idempotent,
        .offloadable = execution->kind == EXECUTION_JOB,
      };
      for (uint32_t d = 0; d < allow->u.allow.domain_count; d++)
        tasks[i].domains
            |= snipe_sched_domain (engine->sched, &allow->u.allow.domains[d]);
    }
  return SNIPE_OK;
}

static bool
endpoint_fits_task (const struct snipe_endpoint_info *info, uint64_t domain,
                    const struct snipe_group_task *task)
{
  return (task->domains & domain) != 0 && info->cores >= task->needs.cores
         && info->mem_mb >= task->needs.mem_mb
         && info->accel >= task->needs.accel;
}

/** Rejects work that no endpoint of the platform's list could ever run. While
 * the list is empty, nothing is rejected: an empty list proves nothing. */
static int
check_endpoints_fit (struct snipe_engine *engine,
                     const struct snipe_group_task *tasks, uint32_t count)
{
  const GPtrArray *list = engine->endpoints;

  for (uint32_t i = 0; i < count && list->len > 0; i++)
    {
      bool fits = false;

      if (i > 0 && tasks[i].domains == tasks[i - 1].domains
          && memcmp (&tasks[i].needs, &tasks[i - 1].needs,
                     sizeof tasks[i].needs)
                 == 0)
        continue;
      for (guint e = 0; e < list->len && !fits; e++)
        {
          const struct snipe_endpoint_info *info = list->pdata[e];

          fits = endpoint_fits_task (
              info, snipe_sched_domain (engine->sched, &info->domain),
              &tasks[i]);
        }
      if (!fits)
        return snipe_status_set (
            SNIPE_E_UNFIT,
            "tasks[%u] needs %u cores, %u MB, %u accelerators: no endpoint "
            "of the failure domains that its rule allows is that large",
            i, tasks[i].needs.cores, tasks[i].needs.mem_mb,
            tasks[i].needs.accel);
    }
  return SNIPE_OK;
}

/** Checks the team's queue rule and lowers @p wait to its limit. */
static int
check_queue_rule (struct snipe_engine *engine, struct execution *execution,
                  uint32_t team, snipe_time *wait)
{
  const struct snipe_rule *queue
      = snipe_rules_queue (execution->rules, &execution->spec->team);
  uint32_t running;
  uint32_t queued;

  if (queue == NULL)
    return SNIPE_OK;
  execution->queue_rule_line = queue->line;
  snipe_sched_team_usage (engine->sched, team, &running, &queued);
  if (queued + execution->spec->task_count > queue->u.queue.max)
    return snipe_status_set (
        SNIPE_E_OVERLOAD,
        "team \"%s\" has %u tasks waiting here; rule line %u allows %u",
        snipe_str_c (&execution->spec->team), queued, queue->line,
        queue->u.queue.max);
  *wait = MIN (*wait, (snipe_time)queue->u.queue.wait_ms * SNIPE_MS);
  return SNIPE_OK;
}

/** Adds the execution of a job to the scheduler; with the scheduler's lock. */
static int
execution_admit (struct snipe_engine *engine, struct execution *execution,
                 snipe_time now)
{
  uint32_t count = execution->spec->task_count;
  uint32_t team = snipe_sched_team (engine->sched, &execution->spec->team);
  struct snipe_group_task *tasks = g_new0 (struct snipe_group_task, count);
  struct snipe_task_group_options options = SNIPE_TASK_GROUP_OPTIONS_INIT;
  snipe_time wait = execution->deadline - now;
  int status;

  if (engine->rules == NULL)
    {
      status
          = snipe_status_set (SNIPE_E_NOT_READY, "this host has no rules yet");
      goto cleanup;
    }
  execution->rules = snipe_rules_ref (engine->rules);
  if ((status = execution_resolve_tasks (engine, execution, tasks)) < 0
      || (status = check_endpoints_fit (engine, tasks, count)) < 0
      || (status = check_queue_rule (engine, execution, team, &wait)) < 0)
    goto cleanup;
  options.team = team;
  options.task_count = count;
  options.tasks = tasks;
  options.wait_max = wait;
  options.ctx = execution;
  status = snipe_sched_group_add (&execution->task_group, engine->sched,
                                  &options, now);
  if (status < 0)
    goto cleanup;
  execution->pending_tasks = count;
  execution->queue_deadline = now + wait;
  engine->execution_count++;

cleanup:
  g_free (tasks);
  return status;
}

/** @return whether a team has more tasks here than this host's share of its
 * quota; with the lock. */
static bool
exceeds_quota_share (struct snipe_engine *engine, const struct snipe_str *team)
{
  uint32_t running;
  uint32_t queued;

  if (engine->rules == NULL || snipe_rules_limit (engine->rules, team) == NULL)
    return false;
  snipe_sched_team_usage (engine->sched,
                          snipe_sched_team (engine->sched, team), &running,
                          &queued);
  return running + queued > engine_team_share (engine, team);
}

static void
reject_job (struct snipe_engine *engine, struct submission *sub,
            struct execution *execution, int code)
{
  struct snipe_str answer = SNIPE_STR_INIT;
  char message[256];

  g_strlcpy (message, snipe_status_last (), sizeof message);
  decision_record (engine, sub->id.text, 0, "refuse", snipe_status_name (code),
                   "",
                   code == SNIPE_E_OVERLOAD ? execution->queue_rule_line : 0,
                   execution->rules);
  answer_build_failed (&answer, sub->id.text, SNIPE_OUTCOME_NOT_RUN, code,
                       message);
  submission_finish (engine, sub, SNIPE_OUTCOME_NOT_RUN, code, &answer);
  execution_free (engine, execution);
}

void
execution_start_job (struct snipe_engine *engine, struct submission *sub,
                     const char *body, size_t len, snipe_time now)
{
  struct shard *shard = shard_of_id (engine, sub->id.text);
  struct execution *execution = calloc (1, sizeof *execution);
  struct snipe_platform *platform = engine_platform (engine);
  bool cancelled;
  bool wants_quota = false;
  int status;

  if (execution == NULL)
    g_error ("out of memory for a job");
  execution->kind = EXECUTION_JOB;
  execution->u.submission = submission_ref (sub);
  g_strlcpy (execution->job, sub->id.text, sizeof execution->job);
  status = snipe_job_spec_parse (&execution->spec, body, len,
                                 &engine->options.limits);
  if (status < 0)
    {
      reject_job (engine, sub, execution, status);
      return;
    }
  execution->deadline
      = now + (snipe_time)execution->spec->deadline_ms * SNIPE_MS;
  execution->tasks
      = calloc (execution->spec->task_count, sizeof *execution->tasks);
  if (execution->tasks == NULL)
    g_error ("out of memory for the tasks of a job");

  pthread_mutex_lock (&shard->lock);
  pthread_mutex_lock (&engine->sched_lock);
  status = execution_admit (engine, execution, now);
  cancelled = sub->cancelled;
  if (status == SNIPE_OK)
    {
      sub->state = SUBMISSION_RUNNING;
      sub->execution = execution;
      wants_quota = exceeds_quota_share (engine, &execution->spec->team);
    }
  pthread_mutex_unlock (&engine->sched_lock);
  pthread_mutex_unlock (&shard->lock);
  if (status < 0)
    {
      reject_job (engine, sub, execution, status);
      return;
    }
  snipe_counter_add (SNIPE_C_JOBS_ACCEPTED, 1);
  if (wants_quota && platform != NULL)
    snipe_platform_quota_request (platform);
  if (cancelled)
    execution_cancel (engine, sub, now);
  else
    engine_dispatch (engine, now);
}

/** Removes the queued tasks of an execution from the scheduler. */
static void
cancel_queued_tasks (struct snipe_engine *engine, struct execution *execution)
{
  uint32_t *removed = g_new (uint32_t, execution->spec->task_count);
  uint32_t count = snipe_sched_group_cancel (engine->sched,
                                             execution->task_group, removed);

  for (uint32_t i = 0; i < count; i++)
    {
      struct task_execution *task = &execution->tasks[removed[i]];

      /* A task that waits for a retry was started before. */
      task->state = task->retry_count > 0 ? TASK_UNKNOWN : TASK_NOT_RUN;
    }
  execution->pending_tasks -= count;
  g_free (removed);
}

bool
execution_end_task (struct snipe_engine *engine, struct execution *execution,
                    uint32_t task, enum task_state state, int code,
                    const char *message)
{
  execution->tasks[task].state = state;
  execution->pending_tasks--;
  if (code != SNIPE_OK && execution->code == SNIPE_OK)
    {
      execution->code = code;
      g_strlcpy (execution->message, message, sizeof execution->message);
      /* A job has results only if all of its tasks succeed, so the remaining
         tasks need not run. */
      if (execution->kind == EXECUTION_JOB)
        cancel_queued_tasks (engine, execution);
    }
  return execution->pending_tasks == 0;
}

bool
execution_end_lost_task (struct snipe_engine *engine,
                         struct execution *execution, uint32_t task,
                         const char *message)
{
  if (execution->tasks[task].lost_count < SNIPE_LOST_ATTEMPTS_MAX)
    return execution_end_task (engine, execution, task, TASK_UNKNOWN,
                               SNIPE_E_TASK_LOST, message);
  snipe_counter_add (SNIPE_C_TASKS_GIVEN_UP, 1);
  return execution_end_task (engine, execution, task, TASK_UNKNOWN,
                             SNIPE_E_TASK_CRASHED,
                             "each endpoint that started a task was lost");
}

bool
execution_expire_task_if_due (struct snipe_engine *engine,
                              struct execution *execution, uint32_t task,
                              snipe_time now, bool *execution_ended)
{
  bool late = execution->code != SNIPE_OK || now >= execution->deadline;
  bool was_started = execution->tasks[task].retry_count > 0;

  /* The queue wait of a task that was started before began anew with its
     retry. */
  if (!late && (was_started || now < execution->queue_deadline))
    return false;
  *execution_ended = execution_end_task (
      engine, execution, task, was_started ? TASK_UNKNOWN : TASK_NOT_RUN,
      late ? SNIPE_E_DEADLINE : SNIPE_E_OVERLOAD,
      late
          ? "no endpoint accepted the task before the deadline"
          : "no endpoint accepted the task within the wait of its queue rule");
  return true;
}

void
execution_cancel (struct snipe_engine *engine, struct submission *sub,
                  snipe_time now)
{
  struct shard *shard = shard_of_id (engine, sub->id.text);
  struct execution *ended = NULL;
  struct execution *execution;

  pthread_mutex_lock (&shard->lock);
  execution = sub->execution;
  if (execution != NULL)
    {
      pthread_mutex_lock (&engine->sched_lock);
      if (execution->pending_tasks > 0)
        {
          if (execution->code == SNIPE_OK)
            {
              execution->code = SNIPE_E_CANCELLED;
              g_strlcpy (execution->message, "cancelled",
                         sizeof execution->message);
            }
          cancel_queued_tasks (engine, execution);
          if (execution->pending_tasks == 0)
            ended = execution;
        }
      pthread_mutex_unlock (&engine->sched_lock);
    }
  pthread_mutex_unlock (&shard->lock);
  if (ended != NULL)
    execution_end (engine, ended);
  engine_dispatch (engine, now);
}

static enum snipe_outcome
execution_outcome (const struct execution *execution)
{
  uint32_t ran = 0;
  uint32_t not_run = 0;

  for (uint32_t i = 0; i < execution->spec->task_count; i++)
    {
      ran += execution->tasks[i].state == TASK_SUCCEEDED;
      not_run += execution->tasks[i].state == TASK_NOT_RUN;
    }
  if (ran == execution->spec->task_count)
    return SNIPE_OUTCOME_COMPLETE;
  return not_run == execution->spec->task_count ? SNIPE_OUTCOME_NOT_RUN
                                                : SNIPE_OUTCOME_UNKNOWN;
}

static void
answer_build_complete (struct snipe_str *out,
                       const struct execution *execution)
{
  GString *text = g_string_sized_new (256);

  g_string_printf (text,
                   "{\"id\":\"%s\",\"outcome\":\"complete\",\"code\":0,"
                   "\"status\":\"SNIPE_OK\",\"message\":\"\",\"results\":[",
                   execution->job);
  for (uint32_t i = 0; i < execution->spec->task_count; i++)
    {
      if (i > 0)
        g_string_append_c (text, ',');
      g_string_append_len (text, execution->tasks[i].result.data,
                           (gssize)execution->tasks[i].result.len);
    }
  g_string_append (text, "]}");
  snipe_str_take (out, text->str, text->len);
  g_string_free (text, FALSE);
}

static void
answer_build_failed_execution (struct snipe_str *out,
                               const struct execution *execution,
                               enum snipe_outcome outcome)
{
  GString *text;

  answer_build_failed (out, execution->job, outcome, execution->code,
                       execution->message);
  text = g_string_new_len (out->data, (gssize)out->len - 1);
  g_string_append (text, ",\"tasks\":[");
  for (uint32_t i = 0; i < execution->spec->task_count; i++)
    g_string_append_printf (text, "%s\"%s\"", i == 0 ? "" : ",",
                            task_state_name (execution->tasks[i].state));
  g_string_append (text, "]}");
  snipe_str_take (out, text->str, text->len);
  g_string_free (text, FALSE);
}

void
execution_end (struct snipe_engine *engine, struct execution *execution)
{
  struct snipe_str answer = SNIPE_STR_INIT;
  enum snipe_outcome outcome;

  switch (execution->kind)
    {
    case EXECUTION_RECEIVED_BATCH:
      received_batch_send_results (engine, execution);
      return;
    case EXECUTION_JOB:
      outcome = execution_outcome (execution);
      if (outcome == SNIPE_OUTCOME_COMPLETE)
        answer_build_complete (&answer, execution);
      else
        answer_build_failed_execution (&answer, execution, outcome);
      submission_finish (engine, execution->u.submission, outcome,
                         outcome == SNIPE_OUTCOME_COMPLETE ? SNIPE_OK
                                                           : execution->code,
                         &answer);
      break;
    }
  execution_free (engine, execution);
}
