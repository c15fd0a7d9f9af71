/**
 * @file params.h
 * Parameters of a run of bench-decide.
 */
#ifndef DECIDE_PARAMS_H
#define DECIDE_PARAMS_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"

/** Slots of every endpoint. */
#define SLOTS 8
#define JOB_TASKS_MAX 32

struct params
{
  bool sim;
  bool verbose;           /**< with the baselines */
  double pass_gain;       /**< gain that passes a task */
  double declared_factor; /**< declared durations are off by up to it */
  uint32_t hosts;
  uint32_t endpoints;
  uint32_t jobs;
  uint32_t load;      /**< percent; 0 for every load */
  snipe_time latency; /**< one way between hosts */
  uint64_t seed;
};

#endif
