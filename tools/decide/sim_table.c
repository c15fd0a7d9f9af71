#include "sim_table.h"

#include <math.h>
#include <stdio.h>

#include "ideal.h"
#include "sim.h"
#include "sim_input.h"
#include "sim_stats.h"

void
sim_table (const struct params *params)
{
  static const double loads[] = { 0.5, 0.8, 0.95 };
  static const char *const ideal_names[] = { "ideal-fastest", "ideal-slack" };

  printf ("seed %llu, %u jobs, %u hosts, %u endpoints, pass gain %.2f, "
          "declared factor %.2f, latency %d us\n",
          (unsigned long long)params->seed, params->jobs, params->hosts,
          params->endpoints, params->offload_min_speedup,
          params->declared_factor, (int)params->latency);
  printf ("load policy            mean      p50      p99  ratio to the ideal  "
          "   batch  passed refused   offer   hello   start\n"
          "                  response over the bound        mean    p50    "
          "p99     /task   /task   /task   /task   /task refused\n");
  for (int i = 0; i < 3; i++)
    {
      struct sim_input input;
      struct sim_stats ideal = { 0, 0, 0 };

      if (params->load_percent != 0
          && fabs (params->load_percent / 100.0 - loads[i]) > 1e-6)
        continue;
      sim_input_make (&input, params, loads[i]);
      for (int kind = 0; kind < IDEAL_COUNT; kind++)
        {
          struct sim_stats stats = ideal_run (&input, (enum ideal_kind)kind);

          sim_stats_print (ideal_names[kind], loads[i], &stats, NULL);
          printf ("\n");
          if (kind == 0 || stats.mean < ideal.mean)
            ideal = stats;
        }
      sim_run (params, &input, SNIPE_POLICY_POOLED, loads[i], &ideal);
      if (params->baselines)
        for (int policy = SNIPE_POLICY_RANDOM;
             policy <= SNIPE_POLICY_LEAST_STALE; policy++)
          sim_run (params, &input, (enum snipe_policy)policy, loads[i],
                   &ideal);
      sim_input_clear (&input);
    }
}
