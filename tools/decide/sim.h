/**
 * @file sim.h
 * Event simulation, in virtual time, of hosts that share their endpoints.
 */
#ifndef DECIDE_SIM_H
#define DECIDE_SIM_H

#include "params.h"
#include "sim_input.h"
#include "sim_stats.h"
#include "snipe/sched.h"

/** Simulates a policy on the input; prints a row with ratios to @p ideal. */
void sim_run (const struct params *params, const struct sim_input *input,
              enum snipe_policy policy, double load,
              const struct sim_stats *ideal);

#endif
