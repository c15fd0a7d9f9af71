/**
 * @file sim_stats.h
 * Response times of the jobs, as ratios to their lower bounds.
 */
#ifndef DECIDE_SIM_STATS_H
#define DECIDE_SIM_STATS_H

#include "sim_input.h"

/** Response time over its lower bound. */
struct sim_stats
{
  double mean;
  double p50;
  double p99;
};

/** Leaves out the first tenth of the jobs, in which the schedulers learn the
 *  speeds. */
struct sim_stats sim_stats_compute (const struct sim_input *input);
/** Prints the start of a row. @param ideal reference of the ratios, or NULL */
void sim_stats_print (const char *name, double load,
                      const struct sim_stats *stats,
                      const struct sim_stats *ideal);

#endif
