/**
 * @file sim_input.h
 * Random numbers, and the arrivals and speeds that the schedules are run on.
 */
#ifndef DECIDE_SIM_INPUT_H
#define DECIDE_SIM_INPUT_H

#include <stdint.h>
#include "params.h"

/** The next number of a sequence by splitmix64. */
uint64_t random_bits (uint64_t *state);
/** @return a number between 0 and 1, both excluded. */
double random_unit (uint64_t *state);
/** @return a number from 0 to @p limit - 1. */
uint32_t random_below (uint64_t *state, uint32_t limit);
/** @return a log-uniform factor in [1/range, range]. */
double random_factor (uint64_t *state, double range);

struct sim_job
{
  snipe_time arrival;
  uint32_t host;
  uint32_t task_count;
  uint32_t left;
  double service[JOB_TASKS_MAX];  /**< at speed 1, microseconds */
  double declared[JOB_TASKS_MAX]; /**< microseconds */
  double ratio;                   /**< response over bound */
};

/** The arrivals and speeds that every policy is run on. */
struct sim_input
{
  uint32_t endpoints;
  uint32_t hosts;
  uint32_t job_count;
  double *speeds;
  uint32_t *owners;
  double fastest;
  struct sim_job *jobs;
  snipe_time end;
};

/** Makes the input of @p params at @p load, a share of the capacity. */
void sim_input_make (struct sim_input *input, const struct params *params,
                     double load);
void sim_input_clear (struct sim_input *input);
/** Sets the ratio of a job that ended at @p now. */
void sim_job_ended (const struct sim_input *input, struct sim_job *job,
                    snipe_time now);

#endif
