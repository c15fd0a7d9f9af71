/**
 * @file sim_stats.h
 * Response times of the jobs of a run, as ratios to their bound.
 */
#ifndef DECIDE_SIM_STATS_H
#define DECIDE_SIM_STATS_H

#include "sim_input.h"

/** Response over the bound. */
struct sim_stats
{
  double mean;
  double p50;
  double p99;
};

/** The first tenth of the jobs is left out: speeds are learnt there. */
struct sim_stats sim_stats_of (const struct sim_input *input);
/** Prints the start of a row. @param ideal for the ratios to it, or NULL. */
void sim_stats_print (const char *name, double load,
                      const struct sim_stats *stats,
                      const struct sim_stats *ideal);

#endif
