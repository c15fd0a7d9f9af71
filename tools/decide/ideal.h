/**
 * @file ideal.h
 * Clairvoyant schedules, as a reference: a single scheduler of all slots that
 * knows the true durations and speeds.
 */
#ifndef DECIDE_IDEAL_H
#define DECIDE_IDEAL_H

#include "sim_input.h"
#include "sim_stats.h"

enum ideal_kind
{
  IDEAL_FASTEST, /**< fastest endpoint with a free slot */
  IDEAL_SLACK,   /**< slowest one that does not delay the job, if any */
  IDEAL_COUNT
};

/** Runs a clairvoyant schedule on the input. */
struct sim_stats ideal_run (const struct sim_input *input,
                            enum ideal_kind kind);

#endif
