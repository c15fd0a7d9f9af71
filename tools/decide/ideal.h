/**
 * @file ideal.h
 * Clairvoyant schedules: one scheduler over all slots that knows true
 * durations and speeds.
 */
#ifndef DECIDE_IDEAL_H
#define DECIDE_IDEAL_H

#include "sim_input.h"
#include "sim_stats.h"

enum ideal_kind
{
  IDEAL_FASTEST, /**< fastest free endpoint */
  IDEAL_SLACK,   /**< slowest one that does not delay the job */
  IDEAL_COUNT
};

/** Runs a clairvoyant schedule on the input. */
struct sim_stats ideal_run (const struct sim_input *input,
                            enum ideal_kind kind);

#endif
