#include "workload.h"

#include <jansson.h>
#include <math.h>
#include <string.h>
#include <sys/random.h>

static double
random_log_uniform (GRand *rand, double min, double max)
{
  return min * pow (max / min, g_rand_double (rand));
}

double
workload_mean_work (const struct workload_options *options)
{
  double tasks = (options->tasks_min + options->tasks_max) / 2.0;
  double ratio = options->ms_max / options->ms_min;
  double ms = ratio > 1 ? (options->ms_max - options->ms_min) / log (ratio)
                        : options->ms_min;
  return tasks * ms / 1000;
}

static void
generate_tasks (struct workload_job *job,
                const struct workload_options *options, GRand *rand)
{
  job->task_count = (uint32_t)g_rand_int_range (
      rand, (gint32)options->tasks_min, (gint32)options->tasks_max + 1);
  job->tasks = g_new0 (struct workload_task, job->task_count);
  for (uint32_t i = 0; i < job->task_count; i++)
    {
      struct workload_task *task = &job->tasks[i];
      double estimate_factor = random_log_uniform (
          rand, 1 / options->declared_factor, options->declared_factor);
      /* Rounded to the precision with which the payload states it. */
      task->duration_ms
          = round (random_log_uniform (rand, options->ms_min, options->ms_max)
                   * 1000)
            / 1000;
      task->declared_ms
          = (uint32_t)fmax (1, round (task->duration_ms * estimate_factor));
    }
}

struct workload_job *
workload_new (const struct workload_options *options)
{
  GRand *rand = g_rand_new_with_seed (options->seed);
  struct workload_job *jobs = g_new0 (struct workload_job, options->job_count);
  double now = 0;
  for (uint32_t i = 0; i < options->job_count; i++)
    {
      struct workload_job *job = &jobs[i];
      now -= log (1 - g_rand_double (rand)) / options->rate;
      job->arrival
          = options->burst ? floor (now) + (now - floor (now)) / 10 : now;
      job->host
          = (uint32_t)g_rand_int_range (rand, 0, (gint32)options->host_count);
      generate_tasks (job, options, rand);
      double longest = 0;
      for (uint32_t t = 0; t < job->task_count; t++)
        longest = fmax (longest, job->tasks[t].duration_ms / 1000);
      double draw = g_rand_double (rand);
      /* Up to twice the longest task, so that some cancellations come too
       * late. */
      double delay = g_rand_double (rand) * 2 * longest;
      if (draw < options->cancel_fraction)
        job->cancel_at = job->arrival + delay;
    }
  g_rand_free (rand);
  return jobs;
}

void
workload_free (struct workload_job *jobs, uint32_t count)
{
  for (uint32_t i = 0; jobs && i < count; i++)
    g_free (jobs[i].tasks);
  g_free (jobs);
}

GString *
workload_body (const struct workload_job *job, uint32_t job_index,
               const struct workload_submission *submission)
{
  GString *body = g_string_sized_new (64 + 128 * (gsize)job->task_count);
  g_string_append_printf (body,
                          "{\"team\":\"%s\",\"deadline_ms\":%u,\"tasks\":[",
                          submission->team, submission->deadline_ms);
  for (uint32_t i = 0; i < job->task_count; i++)
    g_string_append_printf (
        body,
        "%s{\"kind\":\"%s\",\"run_ms\":%u,\"idempotent\":%s,"
        "\"payload\":{\"ms\":%.3f,\"job\":%u,\"index\":%u}}",
        i > 0 ? "," : "", submission->kind, job->tasks[i].declared_ms,
        submission->idempotent ? "true" : "false", job->tasks[i].duration_ms,
        job_index, i);
  g_string_append (body, "]}");
  return body;
}

static const char *
check_results (const struct workload_job *job, uint32_t job_index,
               json_t *answer)
{
  json_t *results = json_object_get (answer, "results");
  json_t *result;
  size_t i;
  char task[64];
  if (json_array_size (results) != job->task_count)
    return "complete, but not one result per task";
  if (json_object_get (answer, "tasks"))
    return "complete, but with task states";
  if (json_integer_value (json_object_get (answer, "code")) != 0)
    return "complete, but with an error code";
  json_array_foreach (results, i, result)
  {
    json_t *echo = json_object_get (result, "echo");
    const char *name = json_string_value (json_object_get (result, "task"));
    g_snprintf (task, sizeof task, "%s/%zu", job->id, i);
    if (g_strcmp0 (name, task) != 0)
      return "result of another task";
    if (json_integer_value (json_object_get (echo, "job"))
            != (json_int_t)job_index
        || json_integer_value (json_object_get (echo, "index"))
               != (json_int_t)i
        || fabs (json_number_value (json_object_get (echo, "ms"))
                 - job->tasks[i].duration_ms)
               > 1e-6)
      return "result with the payload of another task";
  }
  return NULL;
}

static const char *
check_failed_answer (const struct workload_job *job, json_t *answer,
                     bool not_run)
{
  json_t *tasks = json_object_get (answer, "tasks");
  json_t *state;
  size_t i;
  if (json_object_get (answer, "results"))
    return "failed, but with results";
  if (json_integer_value (json_object_get (answer, "code")) == 0)
    return "failed, but without an error code";
  if (!tasks)
    return NULL;
  if (json_array_size (tasks) != job->task_count)
    return "failed, but not one state per task";
  json_array_foreach (tasks, i, state)
  {
    const char *name = json_string_value (state);
    bool task_not_run = g_strcmp0 (name, "not_run") == 0;
    if (!task_not_run && g_strcmp0 (name, "ran") != 0
        && g_strcmp0 (name, "unknown") != 0)
      return "invalid task state";
    if (!task_not_run && not_run)
      return "not run, but a task may have run";
  }
  return NULL;
}

static const char *
check_answer (struct workload_job *job, uint32_t job_index, long status,
              json_t *answer)
{
  const char *id = json_string_value (json_object_get (answer, "id"));
  const char *outcome
      = json_string_value (json_object_get (answer, "outcome"));
  if (!outcome)
    return "answer has no outcome";
  if (g_strcmp0 (id, job->id) != 0)
    return "answer has another job's id";
  job->code = (int)json_integer_value (json_object_get (answer, "code"));
  if (strcmp (outcome, "complete") == 0)
    {
      job->outcome = WORKLOAD_COMPLETE;
      return status == 200 ? check_results (job, job_index, answer)
                           : "complete, but HTTP status is not 200";
    }
  if (status == 200 || status == 202)
    return "failed, but HTTP status is 200 or 202";
  if (strcmp (outcome, "not_run") == 0)
    {
      job->outcome = WORKLOAD_NOT_RUN;
      return check_failed_answer (job, answer, true);
    }
  if (strcmp (outcome, "unknown") == 0)
    {
      job->outcome = WORKLOAD_UNKNOWN;
      return check_failed_answer (job, answer, false);
    }
  return "invalid outcome";
}

const char *
workload_check_answer (struct workload_job *job, uint32_t job_index,
                       long status, const char *body, size_t length)
{
  json_t *answer = json_loadb (body, length, 0, NULL);
  const char *error = answer ? check_answer (job, job_index, status, answer)
                             : "answer is not JSON";
  json_decref (answer);
  if (error)
    job->outcome = WORKLOAD_WRONG;
  return error;
}

const char *
workload_outcome_name (enum workload_outcome outcome)
{
  static const char *const names[WORKLOAD_OUTCOME_COUNT] = {
    [WORKLOAD_NO_ANSWER] = "no_answer", [WORKLOAD_COMPLETE] = "complete",
    [WORKLOAD_NOT_RUN] = "not_run",     [WORKLOAD_UNKNOWN] = "unknown",
    [WORKLOAD_WRONG] = "wrong",
  };
  return names[outcome];
}

void
workload_uuid (char out[40], int64_t wall_ms)
{
  uint8_t bytes[16];
  char *next = out;
  if (getrandom (bytes, sizeof bytes, 0) != (ssize_t)sizeof bytes)
    g_error ("getrandom failed");
  for (int i = 0; i < 6; i++)
    bytes[i] = (uint8_t)(wall_ms >> (40 - 8 * i));
  bytes[6] = (uint8_t)(0x70 | (bytes[6] & 0x0f));
  bytes[8] = (uint8_t)(0x80 | (bytes[8] & 0x3f));
  for (int i = 0; i < 16; i++)
    {
      if (i == 4 || i == 6 || i == 8 || i == 10)
        *next++ = '-';
      next += g_snprintf (next, 3, "%02x", bytes[i]);
    }
}
