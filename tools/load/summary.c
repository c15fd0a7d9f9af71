#include "summary.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "snipe/status.h"

/* Number of complete jobs compared with the starts at fake-endpoints, which
 * scans all its tasks for each lookup. */
#define MAX_COMPLETE_JOBS_CHECKED 1000

/* CLAIRVOYANT_WAIT is left out above this number of slots: for 20,000 jobs on
 * 9,600 slots it takes 237 s of processor time. */
#define WAIT_SCHEDULE_SLOTS_MAX 1024

/* Messages per task beyond one start and one result, in report order. */
static const struct
{
  const char *name;
  enum snipe_counter counter;
} message_columns[] = {
  { "refused_starts", SNIPE_C_TASK_REFUSED },
  { "retries", SNIPE_C_TASK_RETRIES },
  { "probes", SNIPE_C_PROBES },
  { "pass_batches", SNIPE_C_PASS_BATCHES },
  { "offers", SNIPE_C_OFFERS },
  { "hellos", SNIPE_C_HELLOS },
  { "forwards", SNIPE_C_FORWARDS },
  { "store_reads", SNIPE_C_STORE_READS },
  { "store_writes", SNIPE_C_STORE_WRITES },
};

static int
compare_ascending (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

/* Sorts the values in place. */
static json_t *
distribution (double *values, size_t count)
{
  double sum = 0;
  if (count == 0)
    return json_null ();
  qsort (values, count, sizeof *values, compare_ascending);
  for (size_t i = 0; i < count; i++)
    sum += values[i];
  return json_pack ("{s:f,s:f,s:f,s:f}", "mean", sum / (double)count, "p50",
                    values[(count - 1) / 2], "p99",
                    values[(size_t)ceil (0.99 * (double)count) - 1], "max",
                    values[count - 1]);
}

/* Jobs that were to be cancelled are left out of the response times. */
static bool
counts_for_response_times (const struct workload_job *job)
{
  return job->outcome == WORKLOAD_COMPLETE && job->cancel_at == 0;
}

/* Converts the jobs that count for response times. */
static struct clairvoyant_job *
new_schedule_jobs (const struct summary_input *input, size_t *count)
{
  struct clairvoyant_job *out
      = g_new0 (struct clairvoyant_job, input->job_count + 1);
  *count = 0;
  for (uint32_t i = 0; i < input->job_count; i++)
    {
      const struct workload_job *job = &input->jobs[i];
      if (!counts_for_response_times (job))
        continue;
      double *work = g_new (double, job->task_count);
      for (uint32_t t = 0; t < job->task_count; t++)
        work[t] = job->tasks[t].duration_ms / 1000;
      out[(*count)++] = (struct clairvoyant_job){
        .arrival = job->arrival, .task_count = job->task_count, .work = work
      };
    }
  return out;
}

static double
response_lower_bound (const struct clairvoyant_job *job, double speed_max)
{
  double longest = 0;
  for (uint32_t i = 0; i < job->task_count; i++)
    longest = fmax (longest, job->work[i]);
  /* Empty tasks have a bound of 0; 1 us avoids a division by it. */
  return fmax (longest / speed_max, 1e-6);
}

static void
add_schedule (json_t *report, const struct summary_input *input,
              struct clairvoyant_job *jobs, const double *response,
              const double *bounds, size_t count,
              enum clairvoyant_policy policy)
{
  bool wait = policy == CLAIRVOYANT_WAIT;
  if (clairvoyant_run (jobs, count, input->endpoints, input->endpoint_count,
                       policy)
      != 0)
    return;
  double *ratio = g_new (double, count + 1);
  double measured_sum = 0;
  double reference_sum = 0;
  for (size_t i = 0; i < count; i++)
    {
      ratio[i] = response[i] / fmax (jobs[i].response, 1e-6);
      measured_sum += response[i];
      reference_sum += jobs[i].response;
    }
  json_object_set_new (
      report, wait ? "response_over_waiting" : "response_over_clairvoyant",
      distribution (ratio, count));
  json_object_set_new (
      report, wait ? "mean_over_waiting_mean" : "mean_over_clairvoyant_mean",
      reference_sum > 0 ? json_real (measured_sum / reference_sum)
                        : json_null ());
  for (size_t i = 0; i < count; i++)
    ratio[i] = jobs[i].response / bounds[i];
  json_object_set_new (report,
                       wait ? "waiting_over_bound" : "clairvoyant_over_bound",
                       distribution (ratio, count));
  g_free (ratio);
}

static void
add_response_times (json_t *report, const struct summary_input *input)
{
  size_t count;
  struct clairvoyant_job *jobs = new_schedule_jobs (input, &count);
  double *response = g_new (double, count + 1);
  double *bounds = g_new (double, count + 1);
  double *values = g_new (double, input->job_count + 1);
  double speed_max = 0;
  uint64_t slots = 0;
  size_t measured = 0;
  for (size_t i = 0; i < input->endpoint_count; i++)
    {
      speed_max = fmax (speed_max, input->endpoints[i].speed);
      slots += input->endpoints[i].slots;
    }
  for (uint32_t i = 0; i < input->job_count; i++)
    {
      values[i] = input->jobs[i].send_lag * 1000;
      if (counts_for_response_times (&input->jobs[i]))
        response[measured++] = input->jobs[i].response;
    }
  json_object_set_new (report, "send_lag_ms",
                       distribution (values, input->job_count));
  for (size_t i = 0; i < count; i++)
    values[i] = response[i] * 1000;
  json_object_set_new (report, "response_ms", distribution (values, count));
  if (speed_max > 0)
    {
      for (size_t i = 0; i < count; i++)
        {
          bounds[i] = response_lower_bound (&jobs[i], speed_max);
          values[i] = response[i] / bounds[i];
        }
      json_object_set_new (report, "response_over_bound",
                           distribution (values, count));
      add_schedule (report, input, jobs, response, bounds, count,
                    CLAIRVOYANT_GREEDY);
      if (slots <= WAIT_SCHEDULE_SLOTS_MAX)
        add_schedule (report, input, jobs, response, bounds, count,
                      CLAIRVOYANT_WAIT);
    }
  for (size_t i = 0; i < count; i++)
    g_free ((double *)jobs[i].work);
  g_free (jobs);
  g_free (response);
  g_free (bounds);
  g_free (values);
}

static void
add_outcomes (json_t *report, const struct summary_input *input,
              uint64_t *tasks)
{
  uint64_t outcomes[WORKLOAD_OUTCOME_COUNT] = { 0 };
  json_t *jobs = json_object ();
  json_t *codes = json_object ();
  *tasks = 0;
  for (uint32_t i = 0; i < input->job_count; i++)
    {
      const struct workload_job *job = &input->jobs[i];
      *tasks += job->task_count;
      outcomes[job->outcome]++;
      if (job->code == 0)
        continue;
      const char *name = snipe_status_name (job->code);
      json_int_t seen = json_integer_value (json_object_get (codes, name));
      json_object_set_new (codes, name, json_integer (seen + 1));
    }
  for (int i = 0; i < WORKLOAD_OUTCOME_COUNT; i++)
    json_object_set_new (jobs,
                         workload_outcome_name ((enum workload_outcome)i),
                         json_integer ((json_int_t)outcomes[i]));
  json_object_set_new (report, "jobs", jobs);
  json_object_set_new (report, "codes", codes);
  json_object_set_new (report, "tasks", json_integer ((json_int_t)*tasks));
}

static void
add_messages (json_t *report, const struct summary_input *input,
              uint64_t tasks)
{
  uint64_t delta[SNIPE_COUNTER_COUNT] = { 0 };
  json_t *messages = json_object ();
  json_int_t hosts_unread = 0;
  double sum = 0;
  for (int host = 0; input->hosts[host]; host++)
    {
      struct fetch_counters after;
      if (!input->counters_before_read[host]
          || fetch_metrics (&after, input->hosts[host]) != 0)
        {
          hosts_unread++;
          continue;
        }
      for (int i = 0; i < SNIPE_COUNTER_COUNT; i++)
        {
          /* A restarted daemon counts from 0 again. */
          uint64_t before = input->counters_before[host].values[i];
          if (after.values[i] >= before)
            delta[i] += after.values[i] - before;
          else
            delta[i] += after.values[i];
        }
    }
  for (size_t i = 0; i < G_N_ELEMENTS (message_columns); i++)
    {
      double per_task
          = (double)delta[message_columns[i].counter] / (double)MAX (tasks, 1);
      json_object_set_new (messages, message_columns[i].name,
                           json_real (per_task));
      sum += per_task;
    }
  json_object_set_new (messages, "sum", json_real (sum));
  json_object_set_new (report, "messages_per_task", messages);
  json_object_set_new (report, "hosts_without_metrics",
                       json_integer (hosts_unread));
}

static json_int_t
counter_delta (const json_t *before, const json_t *after, const char *name)
{
  return json_integer_value (json_object_get (after, name))
         - json_integer_value (json_object_get (before, name));
}

/* @return number of jobs whose answer contradicts the endpoints' starts. */
static uint64_t
count_contradicted_jobs (const struct summary_input *input)
{
  uint64_t contradicted = 0;
  uint32_t checked = 0;
  for (uint32_t i = 0; i < input->job_count; i++)
    {
      const struct workload_job *job = &input->jobs[i];
      bool complete = job->outcome == WORKLOAD_COMPLETE
                      && checked++ < MAX_COMPLETE_JOBS_CHECKED;
      if (!complete && job->outcome != WORKLOAD_NOT_RUN)
        continue;
      char *url = g_strdup_printf ("%s/control/job?id=%s", input->control_url,
                                   job->id);
      json_t *counts = fetch_json (url);
      json_int_t started
          = json_integer_value (json_object_get (counts, "tasks_started"));
      if (started != (complete ? (json_int_t)job->task_count : 0))
        {
          fprintf (
              stderr, "job %s: outcome is %s, but %d tasks were started\n",
              job->id, workload_outcome_name (job->outcome), (int)started);
          contradicted++;
        }
      json_decref (counts);
      g_free (url);
    }
  return contradicted;
}

static void
add_endpoint_counts (json_t *report, const struct summary_input *input,
                     uint64_t *violations)
{
  const json_t *before = input->counts_before;
  char *url = g_strconcat (input->control_url, "/control/counts", NULL);
  json_t *after = fetch_json (url);
  g_free (url);
  if (!after)
    {
      fprintf (stderr, "cannot read the counts from %s\n", input->control_url);
      (*violations)++;
      return;
    }
  json_int_t duplicates = counter_delta (before, after, "duplicate_starts");
  uint64_t contradicted = count_contradicted_jobs (input);
  json_object_set_new (
      report, "endpoints",
      json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I,s:O}", "starts",
                 counter_delta (before, after, "starts"), "answers",
                 counter_delta (before, after, "answers"), "refused",
                 counter_delta (before, after, "refused"), "duplicate_starts",
                 duplicates, "after_leave_starts",
                 counter_delta (before, after, "after_leave_starts"),
                 "jobs_contradicted", (json_int_t)contradicted,
                 "max_running_team",
                 json_object_get (after, "max_running_team")));
  json_decref (after);
  *violations += contradicted;
  if (!input->idempotent)
    *violations += (uint64_t)MAX (duplicates, 0);
}

json_t *
summary_new (const struct summary_input *input, uint64_t *violations)
{
  json_t *report = json_object ();
  uint64_t tasks;
  *violations = 0;
  for (uint32_t i = 0; i < input->job_count; i++)
    *violations += input->jobs[i].outcome == WORKLOAD_WRONG;
  add_outcomes (report, input, &tasks);
  add_response_times (report, input);
  add_messages (report, input, tasks);
  if (input->control_url)
    add_endpoint_counts (report, input, violations);
  json_object_set_new (report, "faults",
                       json_integer ((json_int_t)*violations));
  return report;
}

static void
print_value (const json_t *value)
{
  if (json_is_integer (value))
    printf (" %lld", (long long)json_integer_value (value));
  else if (json_is_real (value))
    printf (" %.4f", json_real_value (value));
  else
    printf (" -");
}

void
summary_print (const json_t *report)
{
  const char *name;
  const char *part;
  json_t *value;
  json_t *item;
  json_object_foreach ((json_t *)report, name, value)
  {
    printf ("%-28s", name);
    if (!json_is_object (value))
      print_value (value);
    json_object_foreach (value, part, item)
    {
      if (json_is_object (item))
        continue;
      printf (" %s", part);
      print_value (item);
    }
    printf ("\n");
  }
}
