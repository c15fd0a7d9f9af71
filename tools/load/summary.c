#include "summary.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "snipe/status.h"

/* Complete jobs looked up at the stand-in, which scans its tasks for each. */
#define COMPLETE_LOOKED_UP 1000

/* The schedule that may wait took 237 s of CPU time for 20,000 jobs on 9,600
 * slots; it is left out above this number. */
#define WAITING_SLOTS_MAX 1024

/* Messages beyond one start and one answer, in the order of the columns. */
static const struct
{
  const char *name;
  enum snipe_counter counter;
} columns[] = {
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
ascending (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

/* Sorts the values. */
static json_t *
spread (double *values, size_t count)
{
  double sum = 0;
  if (count == 0)
    return json_null ();
  qsort (values, count, sizeof *values, ascending);
  for (size_t i = 0; i < count; i++)
    sum += values[i];
  return json_pack ("{s:f,s:f,s:f,s:f}", "mean", sum / (double)count, "p50",
                    values[(count - 1) / 2], "p99",
                    values[(size_t)ceil (0.99 * (double)count) - 1], "max",
                    values[count - 1]);
}

static bool
measured (const struct workload_job *job)
{
  return job->outcome == WORKLOAD_COMPLETE && job->cancel_at == 0;
}

/* Complete jobs that were not to be cancelled, as input of a schedule. */
static struct clairvoyant_job *
schedule_input (const struct summary_input *input, size_t *count)
{
  struct clairvoyant_job *out
      = g_new0 (struct clairvoyant_job, input->job_count + 1);
  *count = 0;
  for (uint32_t i = 0; i < input->job_count; i++)
    {
      const struct workload_job *job = &input->jobs[i];
      if (!measured (job))
        continue;
      double *work = g_new (double, job->task_count);
      for (uint32_t t = 0; t < job->task_count; t++)
        work[t] = job->tasks[t].ms / 1000;
      out[(*count)++] = (struct clairvoyant_job){
        .arrival = job->arrival, .task_count = job->task_count, .work = work
      };
    }
  return out;
}

static double
bound (const struct clairvoyant_job *job, double speed_max)
{
  double longest = 0;
  for (uint32_t i = 0; i < job->task_count; i++)
    longest = fmax (longest, job->work[i]);
  /* A run of empty tasks has no bound; 1 us avoids a division by 0. */
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
  double ours = 0;
  double theirs = 0;
  for (size_t i = 0; i < count; i++)
    {
      ratio[i] = response[i] / fmax (jobs[i].response, 1e-6);
      ours += response[i];
      theirs += jobs[i].response;
    }
  json_object_set_new (
      report, wait ? "response_over_waiting" : "response_over_clairvoyant",
      spread (ratio, count));
  json_object_set_new (
      report, wait ? "mean_over_waiting_mean" : "mean_over_clairvoyant_mean",
      theirs > 0 ? json_real (ours / theirs) : json_null ());
  for (size_t i = 0; i < count; i++)
    ratio[i] = jobs[i].response / bounds[i];
  json_object_set_new (report,
                       wait ? "waiting_over_bound" : "clairvoyant_over_bound",
                       spread (ratio, count));
  g_free (ratio);
}

static void
add_times (json_t *report, const struct summary_input *input)
{
  size_t count;
  struct clairvoyant_job *jobs = schedule_input (input, &count);
  double *response = g_new (double, count + 1);
  double *bounds = g_new (double, count + 1);
  double *values = g_new (double, input->job_count + 1);
  double speed_max = 0;
  uint64_t slots = 0;
  size_t at = 0;
  for (size_t i = 0; i < input->endpoint_count; i++)
    {
      speed_max = fmax (speed_max, input->endpoints[i].speed);
      slots += input->endpoints[i].slots;
    }
  for (uint32_t i = 0; i < input->job_count; i++)
    {
      values[i] = input->jobs[i].lag * 1000;
      if (measured (&input->jobs[i]))
        response[at++] = input->jobs[i].response;
    }
  json_object_set_new (report, "send_lag_ms",
                       spread (values, input->job_count));
  for (size_t i = 0; i < count; i++)
    values[i] = response[i] * 1000;
  json_object_set_new (report, "response_ms", spread (values, count));
  if (speed_max > 0)
    {
      for (size_t i = 0; i < count; i++)
        {
          bounds[i] = bound (&jobs[i], speed_max);
          values[i] = response[i] / bounds[i];
        }
      json_object_set_new (report, "response_over_bound",
                           spread (values, count));
      add_schedule (report, input, jobs, response, bounds, count,
                    CLAIRVOYANT_GREEDY);
      if (slots <= WAITING_SLOTS_MAX)
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
  uint64_t outcomes[WORKLOAD_OUTCOMES] = { 0 };
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
  for (int i = 0; i < WORKLOAD_OUTCOMES; i++)
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
  json_int_t unread = 0;
  double sum = 0;
  for (int h = 0; input->hosts[h]; h++)
    {
      struct fetch_metrics after;
      if (!input->before_read[h]
          || fetch_metrics (&after, input->hosts[h]) != 0)
        {
          unread++;
          continue;
        }
      for (int i = 0; i < SNIPE_COUNTER_COUNT; i++)
        {
          /* Lower after a restart of the daemon. */
          uint64_t from = input->before[h].values[i];
          if (after.values[i] >= from)
            delta[i] += after.values[i] - from;
          else
            delta[i] += after.values[i];
        }
    }
  for (size_t i = 0; i < G_N_ELEMENTS (columns); i++)
    {
      double each = (double)delta[columns[i].counter] / (double)MAX (tasks, 1);
      json_object_set_new (messages, columns[i].name, json_real (each));
      sum += each;
    }
  json_object_set_new (messages, "sum", json_real (sum));
  json_object_set_new (report, "messages_per_task", messages);
  json_object_set_new (report, "hosts_without_metrics", json_integer (unread));
}

static json_int_t
change (const json_t *before, const json_t *after, const char *name)
{
  return json_integer_value (json_object_get (after, name))
         - json_integer_value (json_object_get (before, name));
}

/* @return jobs whose starts at the endpoints contradict their answer. */
static uint64_t
contradictions (const struct summary_input *input)
{
  uint64_t found = 0;
  uint32_t looked_up = 0;
  for (uint32_t i = 0; i < input->job_count; i++)
    {
      const struct workload_job *job = &input->jobs[i];
      bool complete = job->outcome == WORKLOAD_COMPLETE
                      && looked_up++ < COMPLETE_LOOKED_UP;
      if (!complete && job->outcome != WORKLOAD_NOT_RUN)
        continue;
      char *url
          = g_strdup_printf ("%s/control/job?id=%s", input->control, job->id);
      json_t *counts = fetch_json (url);
      json_int_t started
          = json_integer_value (json_object_get (counts, "tasks_started"));
      if (started != (complete ? (json_int_t)job->task_count : 0))
        {
          fprintf (stderr, "job %s: answered as %s, but %d tasks started\n",
                   job->id, workload_outcome_name (job->outcome),
                   (int)started);
          found++;
        }
      json_decref (counts);
      g_free (url);
    }
  return found;
}

static void
add_endpoints (json_t *report, const struct summary_input *input,
               uint64_t *faults)
{
  const json_t *before = input->counts_before;
  char *url = g_strconcat (input->control, "/control/counts", NULL);
  json_t *after = fetch_json (url);
  g_free (url);
  if (!after)
    {
      fprintf (stderr, "no counts from %s\n", input->control);
      (*faults)++;
      return;
    }
  json_int_t twice = change (before, after, "duplicate_starts");
  uint64_t wrong = contradictions (input);
  json_object_set_new (
      report, "endpoints",
      json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I,s:O}", "starts",
                 change (before, after, "starts"), "answers",
                 change (before, after, "answers"), "refused",
                 change (before, after, "refused"), "duplicate_starts", twice,
                 "after_leave_starts",
                 change (before, after, "after_leave_starts"),
                 "jobs_contradicted", (json_int_t)wrong, "max_running_team",
                 json_object_get (after, "max_running_team")));
  json_decref (after);
  *faults += wrong;
  if (!input->idempotent)
    *faults += (uint64_t)MAX (twice, 0);
}

json_t *
summary_new (const struct summary_input *input, uint64_t *faults)
{
  json_t *report = json_object ();
  uint64_t tasks;
  *faults = 0;
  for (uint32_t i = 0; i < input->job_count; i++)
    *faults += input->jobs[i].outcome == WORKLOAD_WRONG;
  add_outcomes (report, input, &tasks);
  add_times (report, input);
  add_messages (report, input, tasks);
  if (input->control)
    add_endpoints (report, input, faults);
  json_object_set_new (report, "faults", json_integer ((json_int_t)*faults));
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
