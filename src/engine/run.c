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
    case TASK_RAN:
    case TASK_FAILED:
      return "ran";
    case TASK_NOT_RUN:
      return "not_run";
    case TASK_WAITING:
    case TASK_STARTED:
    case TASK_PASSED:
    case TASK_UNKNOWN:
      break;
    }
  return "unknown";
}

void
run_free (struct snipe_engine *engine, struct run *run)
{
  if (run == NULL)
    return;
  if (run->work != NULL)
    {
      pthread_mutex_lock (&engine->sched_lock);
      snipe_sched_group_free (engine->sched, run->work);
      engine->runs--;
      pthread_mutex_unlock (&engine->sched_lock);
    }
  switch (run->kind)
    {
    case RUN_HOME:
      if (run->u.home != NULL)
        submission_unref (run->u.home);
      break;
    case RUN_GUEST:
      free (run->u.guest.indexes);
      break;
    }
  if (run->tasks != NULL && run->spec != NULL)
    for (uint32_t i = 0; i < run->spec->task_count; i++)
      snipe_str_clear (&run->tasks[i].result);
  free (run->tasks);
  snipe_job_spec_free (run->spec);
  snipe_rules_unref (run->rules);
  free (run);
}

/** Looks up the rules of each task and describes it to the scheduler. Call
 * with the scheduler's lock. */
int
run_tasks_resolve (struct snipe_engine *engine, struct run *run,
                   struct snipe_group_task *tasks)
{
  const struct snipe_job_spec *spec = run->spec;

  for (uint32_t i = 0; i < spec->task_count; i++)
    {
      const struct snipe_task_spec *task = &spec->tasks[i];
      const struct snipe_rule *allow
          = snipe_rules_allow (run->rules, &spec->team, &task->kind);
      const struct snipe_rule *retry
          = snipe_rules_retry (run->rules, &spec->team, &task->kind);

      if (allow == NULL)
        return snipe_status_set (
            SNIPE_E_NO_RULE,
            "no allow rule of version %llu matches team \"%s\", kind \"%s\"",
            (unsigned long long)snipe_rules_version (run->rules),
            snipe_str_c (&spec->team), snipe_str_c (&task->kind));
      run->tasks[i].rule_line = allow->line;
      /* The home of a batch counts the repeats of its tasks: if the peer
         repeated them too, the rule's maximum would multiply. */
      run->tasks[i].repeats_max
          = retry == NULL || run->kind == RUN_GUEST
                ? 0
                : (uint16_t)MIN (retry->u.retry.max, UINT16_MAX);
      tasks[i] = (struct snipe_group_task){
        .needs = task->resources,
        .domains = allow->u.allow.domain_count == 0 ? ~(uint64_t)0 : 0,
        .kind = snipe_sched_kind (engine->sched, &spec->team, &task->kind),
        .declared_duration = (snipe_time)task->run_ms * SNIPE_MS,
        .idempotent = task->idempotent,
        .offloadable = run->kind == RUN_HOME,
      };
      for (uint32_t d = 0; d < allow->u.allow.domain_count; d++)
        tasks[i].domains
            |= snipe_sched_domain (engine->sched, &allow->u.allow.domains[d]);
    }
  return SNIPE_OK;
}

static bool
endpoint_holds (const struct snipe_endpoint_info *info, uint64_t domain,
                const struct snipe_group_task *task)
{
  return (task->domains & domain) != 0 && info->cores >= task->needs.cores
         && info->mem_mb >= task->needs.mem_mb
         && info->accel >= task->needs.accel;
}

/** Refuses work that no endpoint of the platform's list could ever hold. An
 * empty list says nothing, so it refuses nothing. */
static int
check_fits (struct snipe_engine *engine, const struct snipe_group_task *tasks,
            uint32_t count)
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

          fits = endpoint_holds (
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

/** Checks the team's queue rule. @return its wait limit in @p wait. */
static int
check_queue (struct snipe_engine *engine, struct run *run, uint32_t team,
             snipe_time *wait)
{
  const struct snipe_rule *queue
      = snipe_rules_queue (run->rules, &run->spec->team);
  uint32_t running;
  uint32_t queued;

  if (queue == NULL)
    return SNIPE_OK;
  run->queue_line = queue->line;
  snipe_sched_team_usage (engine->sched, team, &running, &queued);
  if (queued + run->spec->task_count > queue->u.queue.max)
    return snipe_status_set (
        SNIPE_E_OVERLOAD,
        "team \"%s\" has %u tasks waiting here; rule line %u allows %u",
        snipe_str_c (&run->spec->team), queued, queue->line,
        queue->u.queue.max);
  *wait = MIN (*wait, (snipe_time)queue->u.queue.wait_ms * SNIPE_MS);
  return SNIPE_OK;
}

/** Admits a home run into the scheduler; with the scheduler's lock. */
static int
admit (struct snipe_engine *engine, struct run *run, snipe_time now)
{
  uint32_t count = run->spec->task_count;
  uint32_t team = snipe_sched_team (engine->sched, &run->spec->team);
  struct snipe_group_task *tasks = g_new0 (struct snipe_group_task, count);
  struct snipe_task_group_options options = SNIPE_TASK_GROUP_OPTIONS_INIT;
  snipe_time wait = run->deadline - now;
  int status;

  if (engine->rules == NULL)
    {
      status
          = snipe_status_set (SNIPE_E_NOT_READY, "this host has no rules yet");
      goto cleanup;
    }
  run->rules = snipe_rules_ref (engine->rules);
  if ((status = run_tasks_resolve (engine, run, tasks)) < 0
      || (status = check_fits (engine, tasks, count)) < 0
      || (status = check_queue (engine, run, team, &wait)) < 0)
    goto cleanup;
  options.team = team;
  options.task_count = count;
  options.tasks = tasks;
  options.wait_max = wait;
  options.ctx = run;
  status = snipe_sched_group_add (&run->work, engine->sched, &options, now);
  if (status < 0)
    goto cleanup;
  run->open = count;
  run->wait_until = now + wait;
  engine->runs++;

cleanup:
  g_free (tasks);
  return status;
}

/** @return whether a team has more tasks than its share here admits; with the
 * lock. */
static bool
exceeds_share (struct snipe_engine *engine, const struct snipe_str *team)
{
  uint32_t running;
  uint32_t queued;

  if (engine->rules == NULL || snipe_rules_limit (engine->rules, team) == NULL)
    return false;
  snipe_sched_team_usage (engine->sched,
                          snipe_sched_team (engine->sched, team), &running,
                          &queued);
  return running + queued > engine_share_of (engine, team);
}

static void
refuse (struct snipe_engine *engine, struct submission *sub, struct run *run,
        int code)
{
  struct snipe_str answer = SNIPE_STR_INIT;
  char message[256];

  g_strlcpy (message, snipe_status_last (), sizeof message);
  decision_record (engine, sub->id.text, 0, "refuse", snipe_status_name (code),
                   "", code == SNIPE_E_OVERLOAD ? run->queue_line : 0,
                   run->rules);
  answer_failed (&answer, sub->id.text, SNIPE_OUTCOME_NOT_RUN, code, message);
  submission_finish (engine, sub, SNIPE_OUTCOME_NOT_RUN, code, &answer);
  run_free (engine, run);
}

void
run_start_home (struct snipe_engine *engine, struct submission *sub,
                const char *body, size_t len, snipe_time now)
{
  struct shard *shard = engine_shard (engine, sub->id.text);
  struct run *run = calloc (1, sizeof *run);
  struct snipe_platform *platform = engine_platform (engine);
  bool cancelled;
  bool wants_quota = false;
  int status;

  if (run == NULL)
    g_error ("no memory for a job");
  run->kind = RUN_HOME;
  run->u.home = submission_ref (sub);
  g_strlcpy (run->job, sub->id.text, sizeof run->job);
  status
      = snipe_job_spec_parse (&run->spec, body, len, &engine->options.limits);
  if (status < 0)
    {
      refuse (engine, sub, run, status);
      return;
    }
  run->deadline = now + (snipe_time)run->spec->deadline_ms * SNIPE_MS;
  run->tasks = calloc (run->spec->task_count, sizeof *run->tasks);
  if (run->tasks == NULL)
    g_error ("no memory for tasks");

  pthread_mutex_lock (&shard->lock);
  pthread_mutex_lock (&engine->sched_lock);
  status = admit (engine, run, now);
  cancelled = sub->cancelled;
  if (status == SNIPE_OK)
    {
      sub->state = SUBMISSION_RUNNING;
      sub->run = run;
      wants_quota = exceeds_share (engine, &run->spec->team);
    }
  pthread_mutex_unlock (&engine->sched_lock);
  pthread_mutex_unlock (&shard->lock);
  if (status < 0)
    {
      refuse (engine, sub, run, status);
      return;
    }
  snipe_counter_add (SNIPE_C_JOBS_ACCEPTED, 1);
  if (wants_quota && platform != NULL)
    snipe_platform_quota_wanted (platform);
  if (cancelled)
    run_cancel (engine, sub, now);
  else
    engine_pump (engine, now);
}

/** Takes the queued tasks of a run out of the scheduler. */
static void
drop_queued (struct snipe_engine *engine, struct run *run)
{
  uint32_t *removed = g_new (uint32_t, run->spec->task_count);
  uint32_t count
      = snipe_sched_group_cancel (engine->sched, run->work, removed);

  for (uint32_t i = 0; i < count; i++)
    {
      struct task_run *task = &run->tasks[removed[i]];

      /* A task that waits for its retry was started before. */
      task->state = task->repeats > 0 ? TASK_UNKNOWN : TASK_NOT_RUN;
    }
  run->open -= count;
  g_free (removed);
}

bool
run_task_ended (struct snipe_engine *engine, struct run *run, uint32_t task,
                enum task_state state, int code, const char *message)
{
  run->tasks[task].state = state;
  run->open--;
  if (code != SNIPE_OK && run->code == SNIPE_OK)
    {
      run->code = code;
      g_strlcpy (run->message, message, sizeof run->message);
      /* An answer is whole or failed, so the rest need not run. */
      if (run->kind == RUN_HOME)
        drop_queued (engine, run);
    }
  return run->open == 0;
}

bool
run_task_waited (struct snipe_engine *engine, struct run *run, uint32_t task,
                 snipe_time now, bool *over)
{
  bool late = run->code != SNIPE_OK || now >= run->deadline;
  bool ran = run->tasks[task].repeats > 0;

  /* The wait of a task that ran before began anew with its retry. */
  if (!late && (ran || now < run->wait_until))
    return false;
  *over = run_task_ended (
      engine, run, task, ran ? TASK_UNKNOWN : TASK_NOT_RUN,
      late ? SNIPE_E_DEADLINE : SNIPE_E_OVERLOAD,
      late ? "no endpoint took the task in time"
           : "no endpoint took the task in the wait of its queue rule");
  return true;
}

void
run_cancel (struct snipe_engine *engine, struct submission *sub,
            snipe_time now)
{
  struct shard *shard = engine_shard (engine, sub->id.text);
  struct run *ended = NULL;
  struct run *run;

  pthread_mutex_lock (&shard->lock);
  run = sub->run;
  if (run != NULL)
    {
      pthread_mutex_lock (&engine->sched_lock);
      if (run->open > 0)
        {
          if (run->code == SNIPE_OK)
            {
              run->code = SNIPE_E_CANCELLED;
              g_strlcpy (run->message, "cancelled", sizeof run->message);
            }
          drop_queued (engine, run);
          if (run->open == 0)
            ended = run;
        }
      pthread_mutex_unlock (&engine->sched_lock);
    }
  pthread_mutex_unlock (&shard->lock);
  if (ended != NULL)
    run_end (engine, ended);
  engine_pump (engine, now);
}

static enum snipe_outcome
run_outcome (const struct run *run)
{
  uint32_t ran = 0;
  uint32_t not_run = 0;

  for (uint32_t i = 0; i < run->spec->task_count; i++)
    {
      ran += run->tasks[i].state == TASK_RAN;
      not_run += run->tasks[i].state == TASK_NOT_RUN;
    }
  if (ran == run->spec->task_count)
    return SNIPE_OUTCOME_COMPLETE;
  return not_run == run->spec->task_count ? SNIPE_OUTCOME_NOT_RUN
                                          : SNIPE_OUTCOME_UNKNOWN;
}

static void
answer_complete (struct snipe_str *out, const struct run *run)
{
  GString *text = g_string_sized_new (256);

  g_string_printf (text,
                   "{\"id\":\"%s\",\"outcome\":\"complete\",\"code\":0,"
                   "\"status\":\"SNIPE_OK\",\"message\":\"\",\"results\":[",
                   run->job);
  for (uint32_t i = 0; i < run->spec->task_count; i++)
    {
      if (i > 0)
        g_string_append_c (text, ',');
      g_string_append_len (text, run->tasks[i].result.data,
                           (gssize)run->tasks[i].result.len);
    }
  g_string_append (text, "]}");
  snipe_str_take (out, text->str, text->len);
  g_string_free (text, FALSE);
}

static void
answer_of_failed_run (struct snipe_str *out, const struct run *run,
                      enum snipe_outcome outcome)
{
  GString *text;

  answer_failed (out, run->job, outcome, run->code, run->message);
  text = g_string_new_len (out->data, (gssize)out->len - 1);
  g_string_append (text, ",\"tasks\":[");
  for (uint32_t i = 0; i < run->spec->task_count; i++)
    g_string_append_printf (text, "%s\"%s\"", i == 0 ? "" : ",",
                            task_state_name (run->tasks[i].state));
  g_string_append (text, "]}");
  snipe_str_take (out, text->str, text->len);
  g_string_free (text, FALSE);
}

void
run_end (struct snipe_engine *engine, struct run *run)
{
  struct snipe_str answer = SNIPE_STR_INIT;
  enum snipe_outcome outcome;

  switch (run->kind)
    {
    case RUN_GUEST:
      guest_send_results (engine, run);
      return;
    case RUN_HOME:
      outcome = run_outcome (run);
      if (outcome == SNIPE_OUTCOME_COMPLETE)
        answer_complete (&answer, run);
      else
        answer_of_failed_run (&answer, run, outcome);
      submission_finish (
          engine, run->u.home, outcome,
          outcome == SNIPE_OUTCOME_COMPLETE ? SNIPE_OK : run->code, &answer);
      break;
    }
  run_free (engine, run);
}
