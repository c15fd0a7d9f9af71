/**
 * @file plan.h
 * Prediction of when a batch can start and end in a pool; internal to the pool
 * scheduler. Pure functions.
 */
#ifndef SNIPE_POOL_PLAN_H
#define SNIPE_POOL_PLAN_H

#include "pool/private.h"

/** When the waiting tasks of a batch are expected to run. */
struct snipe_plan
{
  snipe_time start; /**< when the last one can start */
  snipe_time end;   /**< when the last one ends, expected */
  uint32_t at_once; /**< number of them that can start now */
};

/**
 * Plans the waiting tasks of a batch, each at the endpoint that is free first,
 * as if no other batch waited. What runs is expected to end after its
 * predicted duration. Tasks for which there is never room side by side run
 * one after the other.
 *
 * The cost is O (E + R log R + (E + W) log (E + W)) for E endpoints, R runs
 * and W waiting tasks, times the number of endpoint slots that a task can use,
 * which W bounds.
 *
 * @return false if no usable endpoint could ever run a task of the batch, or
 *   another owner has the pool; @p out is not written then.
 */
bool snipe_pool_plan (struct snipe_plan *out, const struct snipe_pool *pool,
                      const struct batch *batch, snipe_time now);

#endif
