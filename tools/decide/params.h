/**
 * @file params.h
 * Parameters of a run of bench-decide.
 */
#ifndef DECIDE_PARAMS_H
#define DECIDE_PARAMS_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"

#define ENDPOINT_SLOTS 8
#define JOB_TASKS_MAX 32

struct params
{
  bool sim;
  bool baselines;             /**< simulate the baseline policies, too */
  double offload_min_speedup; /**< least expected gain to offload a task */
  double declared_factor; /**< largest error factor of declared durations */
  uint32_t hosts;
  uint32_t endpoints;
  uint32_t jobs;
  uint32_t load_percent; /**< 0: every load */
  snipe_time latency;    /**< one way between hosts */
  uint64_t seed;
};

#endif
