#include "setup.h"

#include <stdio.h>
#include <stdlib.h>

#include "snipe/status.h"

struct snipe_sched *
sched_new (const struct params *params, enum snipe_policy policy,
           uint64_t seed)
{
  struct snipe_sched_options options = SNIPE_SCHED_OPTIONS_INIT;
  struct snipe_sched *sched;

  options.policy = policy;
  options.offload_min_speedup = params->offload_min_speedup;
  options.queue_max = UINT32_MAX;
  options.seed = seed;
  if (snipe_sched_new (&sched, &options) != SNIPE_OK)
    {
      fprintf (stderr, "%s\n", snipe_status_last ());
      exit (EXIT_FAILURE);
    }
  return sched;
}

void
add_endpoint (struct snipe_sched *sched, uint32_t index, const char *domain)
{
  char name[16];
  char domain_name[16];
  struct snipe_endpoint_info info = { .slots = ENDPOINT_SLOTS, .cores = 64 };

  info.name.len = (size_t)snprintf (name, sizeof name, "%u", index);
  info.name.data = name;
  info.domain.len
      = (size_t)snprintf (domain_name, sizeof domain_name, "%s", domain);
  info.domain.data = domain_name;
  snipe_sched_endpoint_set (sched, &info, 0);
}

uint32_t
endpoint_index (const struct snipe_sched_endpoint *endpoint)
{
  return (uint32_t)strtoul (snipe_sched_endpoint_info (endpoint)->name.data,
                            NULL, 10);
}
