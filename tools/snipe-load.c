/* Open-loop load generator: submits jobs at arrival times generated from a
 * seed, checks every answer and compares the response times with reference
 * schedules. */
#include <argp.h>
#include <curl/curl.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include "load/submitter.h"
#include "load/summary.h"

struct load_run
{
  const char *host_list;
  const char *control_url;
  double rate;
  double load_fraction;
  uint32_t slots_total;
  double mean_speed;
  bool caller_supplied_ids;
  bool json_output;
  struct workload_options workload;
  struct workload_submission submission;

  char **hosts;
  json_t *counts_before; /**< of fake-endpoints before the run, or NULL */
  struct clairvoyant_endpoint *endpoints;
  size_t endpoint_count;
};

enum option_key
{
  OPT_HOSTS = 256,
  OPT_JOBS,
  OPT_RATE,
  OPT_LOAD,
  OPT_SLOTS_TOTAL,
  OPT_MEAN_SPEED,
  OPT_TASKS_MIN,
  OPT_TASKS_MAX,
  OPT_MS_MIN,
  OPT_MS_MAX,
  OPT_DECLARED_FACTOR,
  OPT_TEAM,
  OPT_KIND,
  OPT_DEADLINE_MS,
  OPT_IDEMPOTENT,
  OPT_ID,
  OPT_BURST,
  OPT_CANCEL,
  OPT_SEED,
  OPT_ENDPOINTS_CONTROL,
  OPT_JSON,
};

static const struct argp_option options[] = {
  { "hosts", OPT_HOSTS, "IP:PORT,..", 0, "Entry daemons", 0 },
  { "jobs", OPT_JOBS, "N", 0, "Jobs to submit (100)", 0 },
  { "rate", OPT_RATE, "JOBS/S", 0, "Mean rate of arrivals", 0 },
  { "load", OPT_LOAD, "FRACTION", 0,
    "Rate as a fraction of what the slots can do", 0 },
  { "slots-total", OPT_SLOTS_TOTAL, "N", 0,
    "Total number of slots, if --endpoints-control is not given", 0 },
  { "mean-speed", OPT_MEAN_SPEED, "F", 0, "Mean speed of these slots (1)", 0 },
  { "tasks-min", OPT_TASKS_MIN, "N", 0, "Fewest tasks of a job (1)", 0 },
  { "tasks-max", OPT_TASKS_MAX, "N", 0,
    "Most tasks of a job (20); the number is uniform", 0 },
  { "ms-min", OPT_MS_MIN, "MS", 0, "Shortest task at speed 1 (50)", 0 },
  { "ms-max", OPT_MS_MAX, "MS", 0,
    "Longest task at speed 1 (1000); durations are log-uniform with mean "
    "(max - min) / ln (max / min)",
    0 },
  { "declared-factor", OPT_DECLARED_FACTOR, "F", 0,
    "Declared run_ms is off by a random factor of up to F (1)", 0 },
  { "team", OPT_TEAM, "NAME", 0, "Team of the jobs (load)", 0 },
  { "kind", OPT_KIND, "NAME", 0, "Kind of the tasks (work)", 0 },
  { "deadline-ms", OPT_DEADLINE_MS, "MS", 0, "Deadline of a job (30000)", 0 },
  { "idempotent", OPT_IDEMPOTENT, NULL, 0,
    "Tasks are idempotent; starting one twice is not counted as a fault", 0 },
  { "id", OPT_ID, "issued|own", 0, "Kind of ids (issued)", 0 },
  { "burst", OPT_BURST, NULL, 0,
    "All arrivals of each second in its first 100 ms", 0 },
  { "cancel", OPT_CANCEL, "FRACTION", 0,
    "Cancel that fraction of the jobs, after up to twice their longest task",
    0 },
  { "seed", OPT_SEED, "N", 0, "Seed of arrivals and durations (1)", 0 },
  { "endpoints-control", OPT_ENDPOINTS_CONTROL, "URL", 0,
    "Control port of fake-endpoints, for speeds and counts", 0 },
  { "json", OPT_JSON, NULL, 0, "Print the report as JSON", 0 },
  { 0 },
};

static double
parse_number (const char *arg, double min, double max,
              struct argp_state *state)
{
  char *end;
  double value = strtod (arg, &end);
  if (*arg == '\0' || *end != '\0' || !(value >= min && value <= max))
    argp_error (state, "\"%s\" is not a number from %g to %g", arg, min, max);
  return value;
}

static uint32_t
parse_count (const char *arg, struct argp_state *state)
{
  return (uint32_t)parse_number (arg, 0, 1e9, state);
}

static void
check_options (const struct load_run *run, struct argp_state *state)
{
  const struct workload_options *workload = &run->workload;
  if (!run->host_list)
    argp_error (state, "--hosts is missing");
  if ((run->rate > 0) == (run->load_fraction > 0))
    argp_error (state, "give either --rate or --load");
  if (run->load_fraction > 0 && !run->control_url && run->slots_total == 0)
    argp_error (state, "--load needs --endpoints-control or --slots-total");
  if (workload->job_count == 0 || workload->tasks_min == 0
      || workload->tasks_max < workload->tasks_min)
    argp_error (state, "--jobs, --tasks-min or --tasks-max is out of range");
  if (workload->ms_min <= 0 || workload->ms_max < workload->ms_min)
    argp_error (state, "durations must satisfy 0 < --ms-min <= --ms-max");
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct load_run *run = state->input;
  struct workload_options *workload = &run->workload;
  switch (key)
    {
    case OPT_HOSTS:
      run->host_list = arg;
      return 0;
    case OPT_JOBS:
      workload->job_count = parse_count (arg, state);
      return 0;
    case OPT_RATE:
      run->rate = parse_number (arg, 0.001, 1e6, state);
      return 0;
    case OPT_LOAD:
      run->load_fraction = parse_number (arg, 0.001, 100, state);
      return 0;
    case OPT_SLOTS_TOTAL:
      run->slots_total = parse_count (arg, state);
      return 0;
    case OPT_MEAN_SPEED:
      run->mean_speed = parse_number (arg, 0.001, 1000, state);
      return 0;
    case OPT_TASKS_MIN:
      workload->tasks_min = parse_count (arg, state);
      return 0;
    case OPT_TASKS_MAX:
      workload->tasks_max = parse_count (arg, state);
      return 0;
    case OPT_MS_MIN:
      workload->ms_min = parse_number (arg, 0.001, 1e6, state);
      return 0;
    case OPT_MS_MAX:
      workload->ms_max = parse_number (arg, 0.001, 1e6, state);
      return 0;
    case OPT_DECLARED_FACTOR:
      workload->declared_factor = parse_number (arg, 1, 1000, state);
      return 0;
    case OPT_TEAM:
      run->submission.team = arg;
      return 0;
    case OPT_KIND:
      run->submission.kind = arg;
      return 0;
    case OPT_DEADLINE_MS:
      run->submission.deadline_ms = parse_count (arg, state);
      return 0;
    case OPT_IDEMPOTENT:
      run->submission.idempotent = true;
      return 0;
    case OPT_ID:
      if (strcmp (arg, "own") != 0 && strcmp (arg, "issued") != 0)
        argp_error (state, "--id must be issued or own");
      run->caller_supplied_ids = strcmp (arg, "own") == 0;
      return 0;
    case OPT_BURST:
      workload->burst = true;
      return 0;
    case OPT_CANCEL:
      workload->cancel_fraction = parse_number (arg, 0, 1, state);
      return 0;
    case OPT_SEED:
      workload->seed = parse_count (arg, state);
      return 0;
    case OPT_ENDPOINTS_CONTROL:
      run->control_url = arg;
      return 0;
    case OPT_JSON:
      run->json_output = true;
      return 0;
    case ARGP_KEY_END:
      check_options (run, state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
read_endpoints (struct load_run *run)
{
  json_t *item;
  size_t i;
  if (!run->control_url)
    {
      /* Models all slots as one endpoint of the mean speed. */
      run->endpoints = g_new0 (struct clairvoyant_endpoint, 1);
      run->endpoints[0].slots = run->slots_total;
      run->endpoints[0].speed = run->mean_speed;
      run->endpoint_count = run->slots_total > 0;
      return 0;
    }
  char *url = g_strconcat (run->control_url, "/control/counts", NULL);
  run->counts_before = fetch_json (url);
  g_free (url);
  json_t *list = json_object_get (run->counts_before, "endpoints");
  run->endpoint_count = json_array_size (list);
  if (run->endpoint_count == 0)
    {
      fprintf (stderr, "cannot read the endpoints from %s\n",
               run->control_url);
      return -1;
    }
  run->endpoints = g_new0 (struct clairvoyant_endpoint, run->endpoint_count);
  json_array_foreach (list, i, item)
  {
    run->endpoints[i].speed
        = json_number_value (json_object_get (item, "speed"));
    run->endpoints[i].slots
        = (uint32_t)json_integer_value (json_object_get (item, "slots"));
  }
  return 0;
}

static void
set_rate (struct load_run *run)
{
  double capacity = 0;
  for (size_t i = 0; i < run->endpoint_count; i++)
    capacity += run->endpoints[i].slots * run->endpoints[i].speed;
  run->workload.rate = run->rate;
  if (run->load_fraction > 0)
    run->workload.rate
        = run->load_fraction * capacity / workload_mean_work (&run->workload);
}

/* @return exit status */
static int
run_workload (struct load_run *run)
{
  uint32_t hosts = run->workload.host_count;
  struct fetch_counters *counters_before
      = g_new0 (struct fetch_counters, hosts);
  bool *counters_before_read = g_new0 (bool, hosts);
  struct workload_job *jobs = workload_new (&run->workload);
  const struct submitter_options submitter_options
      = { .hosts = run->hosts,
          .caller_supplied_ids = run->caller_supplied_ids,
          .submission = run->submission,
          .jobs = jobs,
          .job_count = run->workload.job_count };
  struct submitter_report submitter_report;
  int rc = EXIT_FAILURE;
  for (uint32_t i = 0; i < hosts; i++)
    counters_before_read[i]
        = fetch_metrics (&counters_before[i], run->hosts[i]) == 0;
  if (submitter_run (&submitter_options, &submitter_report) == 0)
    {
      const struct summary_input input
          = { .jobs = jobs,
              .job_count = run->workload.job_count,
              .endpoints = run->endpoints,
              .endpoint_count = run->endpoint_count,
              .hosts = run->hosts,
              .counters_before = counters_before,
              .counters_before_read = counters_before_read,
              .control_url = run->control_url,
              .counts_before = run->counts_before,
              .idempotent = run->submission.idempotent };
      uint64_t violations;
      json_t *report = summary_new (&input, &violations);
      json_object_set_new (
          report, "run",
          json_pack ("{s:f,s:f,s:I,s:I,s:I}", "rate", run->workload.rate,
                     "seconds", submitter_report.seconds, "cancels",
                     (json_int_t)submitter_report.cancels, "id_stalls",
                     (json_int_t)submitter_report.id_stalls, "seed",
                     (json_int_t)run->workload.seed));
      if (run->json_output)
        json_dumpf (report, stdout, JSON_INDENT (1));
      else
        summary_print (report);
      putchar ('\n');
      json_decref (report);
      rc = violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    }
  workload_free (jobs, run->workload.job_count);
  g_free (counters_before);
  g_free (counters_before_read);
  return rc;
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { .options = options,
          .parser = parse_option,
          .doc = "Open-loop load generator for snipelbd. Exits with 1 if an "
                 "answer was wrong or a task was started twice." };
  struct load_run run = {
    .mean_speed = 1,
    .workload = { .job_count = 100,
                  .tasks_min = 1,
                  .tasks_max = 20,
                  .ms_min = 50,
                  .ms_max = 1000,
                  .declared_factor = 1,
                  .seed = 1 },
    .submission = { .team = "load", .kind = "work", .deadline_ms = 30000 },
  };
  struct rlimit limit;
  int rc = EXIT_FAILURE;
  if (argp_parse (&parser, argc, argv, 0, NULL, &run) != 0)
    return EXIT_FAILURE;
  /* Each job that waits for its answer occupies a connection. */
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0)
    {
      limit.rlim_cur = limit.rlim_max;
      setrlimit (RLIMIT_NOFILE, &limit);
    }
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  run.hosts = g_strsplit (run.host_list, ",", -1);
  run.workload.host_count = g_strv_length (run.hosts);
  if (read_endpoints (&run) == 0)
    {
      set_rate (&run);
      rc = run_workload (&run);
    }
  json_decref (run.counts_before);
  g_free (run.endpoints);
  g_strfreev (run.hosts);
  curl_global_cleanup ();
  return rc;
}
