#include "sim_stats.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

static int
by_ratio (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

struct sim_stats
sim_stats_compute (const struct sim_input *input)
{
  uint32_t skip = input->job_count / 10;
  uint32_t count = input->job_count - skip;
  double *ratios = g_new (double, count);
  struct sim_stats stats = { 0, 0, 0 };

  for (uint32_t i = 0; i < count; i++)
    {
      ratios[i] = input->jobs[skip + i].response_ratio;
      stats.mean += ratios[i] / count;
    }
  qsort (ratios, count, sizeof *ratios, by_ratio);
  stats.p50 = ratios[count / 2];
  stats.p99 = ratios[(size_t)(count * 0.99)];
  g_free (ratios);
  return stats;
}

void
sim_stats_print (const char *name, double load, const struct sim_stats *stats,
                 const struct sim_stats *ideal)
{
  printf ("%4.0f%% %-13s %8.3f %8.3f %8.3f", load * 100, name, stats->mean,
          stats->p50, stats->p99);
  if (ideal != NULL)
    printf ("  %6.3f %6.3f %6.3f", stats->mean / ideal->mean,
            stats->p50 / ideal->p50, stats->p99 / ideal->p99);
}
