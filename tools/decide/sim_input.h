/**
 * @file sim_input.h
 * Random numbers, and the arrivals and speeds that every schedule is given.
 */
#ifndef DECIDE_SIM_INPUT_H
#define DECIDE_SIM_INPUT_H

#include <stdint.h>
#include "params.h"

/** @return the next number of a splitmix64 generator. */
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
  uint32_t pending_count;
  double service_us[JOB_TASKS_MAX]; /**< duration at speed 1 */
  double declared_us[JOB_TASKS_MAX];
  double response_ratio; /**< response time over its lower bound */
};

struct sim_input
{
  uint32_t endpoints;
  uint32_t hosts;
  uint32_t job_count;
  double *speeds;
  uint32_t *owners;
  double max_speed;
  struct sim_job *jobs;
  snipe_time last_arrival;
};

/** Generates the input for @p load, a share of the capacity. */
void sim_input_make (struct sim_input *input, const struct params *params,
                     double load);
void sim_input_clear (struct sim_input *input);
/** Sets the response ratio of a job that ended at @p now. The lower bound of
 *  its response time is its longest task on the fastest endpoint. */
void sim_job_set_ratio (const struct sim_input *input, struct sim_job *job,
                        snipe_time now);

#endif
