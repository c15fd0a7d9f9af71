/* Benchmark of the scheduler: the cost of a decision or, with --sim, the
 * quality of the schedule in a discrete-event simulation. */
#include <argp.h>
#include <glib.h>
#include <stdlib.h>

#include "decide/cost.h"
#include "decide/params.h"
#include "decide/sim_table.h"

enum option_key
{
  OPTION_SIM = 256,
  OPTION_PASS_GAIN,
  OPTION_DECLARED_FACTOR,
  OPTION_HOSTS,
  OPTION_ENDPOINTS,
  OPTION_SEED,
  OPTION_JOBS,
  OPTION_LOAD,
  OPTION_LATENCY,
  OPTION_POOLED_ONLY,
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct params *params = state->input;

  switch (key)
    {
    case OPTION_SIM:
      params->sim = true;
      return 0;
    case OPTION_PASS_GAIN:
      params->offload_min_speedup = g_ascii_strtod (arg, NULL);
      return 0;
    case OPTION_DECLARED_FACTOR:
      params->declared_factor = MAX (1.0, g_ascii_strtod (arg, NULL));
      return 0;
    case OPTION_HOSTS:
      params->hosts = (uint32_t)MAX (1, g_ascii_strtoull (arg, NULL, 10));
      return 0;
    case OPTION_ENDPOINTS:
      params->endpoints = (uint32_t)MAX (1, g_ascii_strtoull (arg, NULL, 10));
      return 0;
    case OPTION_SEED:
      params->seed = g_ascii_strtoull (arg, NULL, 10);
      return 0;
    case OPTION_JOBS:
      params->jobs = (uint32_t)MAX (100, g_ascii_strtoull (arg, NULL, 10));
      return 0;
    case OPTION_LOAD:
      params->load_percent = (uint32_t)g_ascii_strtoull (arg, NULL, 10);
      return 0;
    case OPTION_LATENCY:
      params->latency = g_ascii_strtoll (arg, NULL, 10);
      return 0;
    case OPTION_POOLED_ONLY:
      params->baselines = false;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "sim", OPTION_SIM, NULL, 0, "Simulate the schedule", 0 },
    { "pass-gain", OPTION_PASS_GAIN, "RATIO", 0, "Gain that passes a task",
      0 },
    { "declared-factor", OPTION_DECLARED_FACTOR, "F", 0,
      "Declared durations are off by up to F", 0 },
    { "hosts", OPTION_HOSTS, "N", 0, "Entry hosts", 0 },
    { "endpoints", OPTION_ENDPOINTS, "N", 0, "Endpoints of all hosts", 0 },
    { "seed", OPTION_SEED, "N", 0, "Seed of the arrivals", 0 },
    { "jobs", OPTION_JOBS, "N", 0, "Jobs of a run", 0 },
    { "load", OPTION_LOAD, "PERCENT", 0, "Only this load: 50, 80 or 95", 0 },
    { "latency", OPTION_LATENCY, "US", 0, "One way between hosts", 0 },
    { "pooled-only", OPTION_POOLED_ONLY, NULL, 0, "Leave out the baselines",
      0 },
    { NULL, 0, NULL, 0, NULL, 0 },
  };
  struct argp argp = {
    .options = options,
    .parser = parse_option,
    .doc = "Measures the cost and the quality of scheduling decisions.",
  };
  struct params params = {
    .baselines = true,
    .offload_min_speedup = 1.25,
    .declared_factor = 1,
    .hosts = 7,
    .endpoints = 48,
    .jobs = 20000,
    .latency = 500,
    .seed = 1,
  };

  argp_parse (&argp, argc, argv, 0, NULL, &params);
  if (params.sim)
    sim_table (&params);
  else
    cost_table (&params);
  return EXIT_SUCCESS;
}
