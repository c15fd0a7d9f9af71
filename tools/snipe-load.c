/* Open-loop load generator: submits jobs at the arrival times of a seed,
 * checks every answer and compares the response times with references. */
#include <argp.h>
#include <curl/curl.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include "load/drive.h"
#include "load/summary.h"

struct load
{
  const char *host_list;
  const char *control;
  double rate;
  double load;
  uint32_t slots_total;
  double mean_speed;
  bool own_ids;
  bool json;
  struct workload_options workload;
  struct workload_form form;

  char **hosts;
  json_t *counts; /**< of the stand-in before the run */
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
    "Slots, if no --endpoints-control tells", 0 },
  { "mean-speed", OPT_MEAN_SPEED, "F", 0, "Their mean speed (1)", 0 },
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
    "Tasks are idempotent; starting one twice is no fault", 0 },
  { "id", OPT_ID, "issued|own", 0, "Kind of ids (issued)", 0 },
  { "burst", OPT_BURST, NULL, 0,
    "All arrivals of each second in its first 100 ms", 0 },
  { "cancel", OPT_CANCEL, "FRACTION", 0,
    "Cancel that part of the jobs, after up to twice their longest task", 0 },
  { "seed", OPT_SEED, "N", 0, "Seed of arrivals and durations (1)", 0 },
  { "endpoints-control", OPT_ENDPOINTS_CONTROL, "URL", 0,
    "Control port of fake-endpoints, for speeds and counts", 0 },
  { "json", OPT_JSON, NULL, 0, "Print the report as JSON", 0 },
  { 0 },
};

static double
number (const char *arg, double min, double max, struct argp_state *state)
{
  char *end;
  double value = strtod (arg, &end);
  if (*arg == '\0' || *end != '\0' || !(value >= min && value <= max))
    argp_error (state, "\"%s\" is not a number from %g to %g", arg, min, max);
  return value;
}

static uint32_t
count (const char *arg, struct argp_state *state)
{
  return (uint32_t)number (arg, 0, 1e9, state);
}

static void
check (const struct load *load, struct argp_state *state)
{
  const struct workload_options *workload = &load->workload;
  if (!load->host_list)
    argp_error (state, "--hosts is missing");
  if ((load->rate > 0) == (load->load > 0))
    argp_error (state, "give one of --rate and --load");
  if (load->load > 0 && !load->control && load->slots_total == 0)
    argp_error (state, "--load needs --endpoints-control or --slots-total");
  if (workload->jobs == 0 || workload->tasks_min == 0
      || workload->tasks_max < workload->tasks_min)
    argp_error (state, "--jobs, --tasks-min or --tasks-max is out of range");
  if (workload->ms_min <= 0 || workload->ms_max < workload->ms_min)
    argp_error (state, "durations are not 0 < min <= max");
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct load *load = state->input;
  struct workload_options *workload = &load->workload;
  switch (key)
    {
    case OPT_HOSTS:
      load->host_list = arg;
      return 0;
    case OPT_JOBS:
      workload->jobs = count (arg, state);
      return 0;
    case OPT_RATE:
      load->rate = number (arg, 0.001, 1e6, state);
      return 0;
    case OPT_LOAD:
      load->load = number (arg, 0.001, 100, state);
      return 0;
    case OPT_SLOTS_TOTAL:
      load->slots_total = count (arg, state);
      return 0;
    case OPT_MEAN_SPEED:
      load->mean_speed = number (arg, 0.001, 1000, state);
      return 0;
    case OPT_TASKS_MIN:
      workload->tasks_min = count (arg, state);
      return 0;
    case OPT_TASKS_MAX:
      workload->tasks_max = count (arg, state);
      return 0;
    case OPT_MS_MIN:
      workload->ms_min = number (arg, 0.001, 1e6, state);
      return 0;
    case OPT_MS_MAX:
      workload->ms_max = number (arg, 0.001, 1e6, state);
      return 0;
    case OPT_DECLARED_FACTOR:
      workload->declared_factor = number (arg, 1, 1000, state);
      return 0;
    case OPT_TEAM:
      load->form.team = arg;
      return 0;
    case OPT_KIND:
      load->form.kind = arg;
      return 0;
    case OPT_DEADLINE_MS:
      load->form.deadline_ms = count (arg, state);
      return 0;
    case OPT_IDEMPOTENT:
      load->form.idempotent = true;
      return 0;
    case OPT_ID:
      if (strcmp (arg, "own") != 0 && strcmp (arg, "issued") != 0)
        argp_error (state, "--id is neither issued nor own");
      load->own_ids = strcmp (arg, "own") == 0;
      return 0;
    case OPT_BURST:
      workload->burst = true;
      return 0;
    case OPT_CANCEL:
      workload->cancel = number (arg, 0, 1, state);
      return 0;
    case OPT_SEED:
      workload->seed = count (arg, state);
      return 0;
    case OPT_ENDPOINTS_CONTROL:
      load->control = arg;
      return 0;
    case OPT_JSON:
      load->json = true;
      return 0;
    case ARGP_KEY_END:
      check (load, state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
read_endpoints (struct load *load)
{
  json_t *item;
  size_t i;
  if (!load->control)
    {
      /* One endpoint of mean speed stands for all slots. */
      load->endpoints = g_new0 (struct clairvoyant_endpoint, 1);
      load->endpoints[0].slots = load->slots_total;
      load->endpoints[0].speed = load->mean_speed;
      load->endpoint_count = load->slots_total > 0;
      return 0;
    }
  char *url = g_strconcat (load->control, "/control/counts", NULL);
  load->counts = fetch_json (url);
  g_free (url);
  json_t *list = json_object_get (load->counts, "endpoints");
  load->endpoint_count = json_array_size (list);
  if (load->endpoint_count == 0)
    {
      fprintf (stderr, "no endpoints from %s\n", load->control);
      return -1;
    }
  load->endpoints = g_new0 (struct clairvoyant_endpoint, load->endpoint_count);
  json_array_foreach (list, i, item)
  {
    load->endpoints[i].speed
        = json_number_value (json_object_get (item, "speed"));
    load->endpoints[i].slots
        = (uint32_t)json_integer_value (json_object_get (item, "slots"));
  }
  return 0;
}

static void
set_rate (struct load *load)
{
  double capacity = 0;
  for (size_t i = 0; i < load->endpoint_count; i++)
    capacity += load->endpoints[i].slots * load->endpoints[i].speed;
  load->workload.rate = load->rate;
  if (load->load > 0)
    load->workload.rate
        = load->load * capacity / workload_mean_work (&load->workload);
}

/* @return exit code. */
static int
run (struct load *load)
{
  uint32_t hosts = load->workload.hosts;
  struct fetch_metrics *before = g_new0 (struct fetch_metrics, hosts);
  bool *before_read = g_new0 (bool, hosts);
  struct workload_job *jobs = workload_new (&load->workload);
  const struct drive_options drive = { .hosts = load->hosts,
                                       .own_ids = load->own_ids,
                                       .form = load->form,
                                       .jobs = jobs,
                                       .job_count = load->workload.jobs };
  struct drive_report driven;
  int rc = EXIT_FAILURE;
  for (uint32_t i = 0; i < hosts; i++)
    before_read[i] = fetch_metrics (&before[i], load->hosts[i]) == 0;
  if (drive_run (&drive, &driven) == 0)
    {
      const struct summary_input input
          = { .jobs = jobs,
              .job_count = load->workload.jobs,
              .endpoints = load->endpoints,
              .endpoint_count = load->endpoint_count,
              .hosts = load->hosts,
              .before = before,
              .before_read = before_read,
              .control = load->control,
              .counts_before = load->counts,
              .idempotent = load->form.idempotent };
      uint64_t faults;
      json_t *report = summary_new (&input, &faults);
      json_object_set_new (report, "run",
                           json_pack ("{s:f,s:f,s:I,s:I,s:I}", "rate",
                                      load->workload.rate, "seconds",
                                      driven.seconds, "cancels",
                                      (json_int_t)driven.cancels, "id_stalls",
                                      (json_int_t)driven.id_stalls, "seed",
                                      (json_int_t)load->workload.seed));
      if (load->json)
        json_dumpf (report, stdout, JSON_INDENT (1));
      else
        summary_print (report);
      putchar ('\n');
      json_decref (report);
      rc = faults == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    }
  workload_free (jobs, load->workload.jobs);
  g_free (before);
  g_free (before_read);
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
  struct load load = {
    .mean_speed = 1,
    .workload = { .jobs = 100,
                  .tasks_min = 1,
                  .tasks_max = 20,
                  .ms_min = 50,
                  .ms_max = 1000,
                  .declared_factor = 1,
                  .seed = 1 },
    .form = { .team = "load", .kind = "work", .deadline_ms = 30000 },
  };
  struct rlimit limit;
  int rc = EXIT_FAILURE;
  if (argp_parse (&parser, argc, argv, 0, NULL, &load) != 0)
    return EXIT_FAILURE;
  /* Each job that waits for its answer holds a connection. */
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0)
    {
      limit.rlim_cur = limit.rlim_max;
      setrlimit (RLIMIT_NOFILE, &limit);
    }
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  load.hosts = g_strsplit (load.host_list, ",", -1);
  load.workload.hosts = g_strv_length (load.hosts);
  if (read_endpoints (&load) == 0)
    {
      set_rate (&load);
      rc = run (&load);
    }
  json_decref (load.counts);
  g_free (load.endpoints);
  g_strfreev (load.hosts);
  curl_global_cleanup ();
  return rc;
}
