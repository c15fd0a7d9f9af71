/**
 * @file locality.h
 * How long a task waits for a place near its data or its group, and by which
 * factor tasks are slower elsewhere. No I/O, no clock.
 *
 * Load patterns that the decision addresses:
 * - The near places are busy for a short while, and others are free: a start
 *   elsewhere would end later than one after a short wait.
 * - Work piles up: a start elsewhere occupies a place for longer, and delays
 *   all that wait for one.
 */
#ifndef SNIPE_POOL_LOCALITY_H
#define SNIPE_POOL_LOCALITY_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"
#include "snipe/pool.h"

/** The time is not known, or there is no such place. */
#define SNIPE_LOCALITY_UNKNOWN INT64_MAX

/** What a decision depends on. */
struct snipe_locality_input
{
  snipe_time now;
  /** Expected time when a near place is free, after those who wait for it
   * before: @c now if one is, or SNIPE_LOCALITY_UNKNOWN. */
  snipe_time near_at;
  snipe_time duration; /**< of the task at a near place */
  double factor;       /**< duration elsewhere, over that */
  snipe_time soft_deadline;
  snipe_time hard_deadline;
  /** When the task, or its group, was first made to wait; 0: never. */
  snipe_time waiting_since;
  uint32_t tasks;  /**< that take longer after a start elsewhere */
  uint32_t others; /**< other tasks that wait for any place */
  uint32_t places; /**< number of places for such tasks, busy ones too */
};

struct snipe_locality_decision
{
  enum snipe_locality_choice choice;
  snipe_time
      until; /**< if it waits: time of a start elsewhere at the latest */
};

/** Decides for a task that could start elsewhere at once. */
struct snipe_locality_decision
snipe_locality_decide (const struct snipe_locality_input *input);

/** By how much longer tasks take that run far from their data than those that
 * run near it. All zero, but for @c declared: nothing is measured. */
struct snipe_locality_factor
{
  double declared; /**< by the settings; 1 or less: places do not matter */
  /** Numbers of tasks, up to a maximum, and means of the logarithms of their
   * actual over their predicted durations at a near place. */
  double near_samples, near_mean;
  double far_samples, far_mean;
};

/** @param ratio actual duration of a task over the one predicted for a near
 * place at its endpoint */
void snipe_locality_factor_add (struct snipe_locality_factor *factor, bool far,
                                double ratio);
/** @return the factor, at least 1. */
double snipe_locality_factor_get (const struct snipe_locality_factor *factor);

#endif
