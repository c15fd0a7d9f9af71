/**
 * @file retry.h
 * Decides whether a task may be started again, and when. No I/O, no clock.
 */
#ifndef SNIPE_RETRY_H
#define SNIPE_RETRY_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"
#include "snipe/sched.h"

/** Retry budget of a host: a token bucket that each first attempt refills. */
struct snipe_retry_budget
{
  double tokens;           /**< retries allowed now */
  double tokens_per_start; /**< added by each first attempt, default 0.1 */
  double tokens_max;       /**< default 100 */
};
#define SNIPE_RETRY_BUDGET_INIT                                               \
  {                                                                           \
    .tokens = 20, .tokens_per_start = 0.1, .tokens_max = 100                  \
  }

/** What to do with a task after an attempt. */
enum snipe_retry_action
{
  SNIPE_RETRY_REQUEUE, /**< certainly not started: queue again; uses no
                            budget */
  SNIPE_RETRY_AGAIN, /**< queue again as a retry, which the rule and the budget
                          allow */
  SNIPE_RETRY_FAIL,  /**< ran and failed */
  SNIPE_RETRY_UNKNOWN, /**< may have run, must not be started again */
};

/** Adds the tokens of one first attempt. */
void snipe_retry_budget_refill (struct snipe_retry_budget *budget);
/** Adds tokens that do not depend on first attempts. */
void snipe_retry_budget_add (struct snipe_retry_budget *budget, double tokens);
/** Takes the token of one retry. @return false if there is none. */
bool snipe_retry_budget_take (struct snipe_retry_budget *budget);
/** Attempts of a task that were lost after which it is not started again,
 * whatever its rule allows: it may crash each endpoint that starts it. */
#define SNIPE_LOST_ATTEMPTS_MAX 5
/**
 * Decides what to do with a task after an attempt, and takes a token for a
 * retry.
 * @param lost attempts that were lost, this one included
 * @param retries retries made so far
 * @param retries_max limit of the retry rule, 0 if there is none
 */
enum snipe_retry_action snipe_retry_decide (struct snipe_retry_budget *budget,
                                            enum snipe_attempt_outcome outcome,
                                            bool idempotent, uint32_t lost,
                                            uint32_t retries,
                                            uint32_t retries_max);
/** Exponential back-off with jitter: between half and all of base * 2^attempt,
 * which is limited to @p cap.
 * @param random 64 random bits */
snipe_time snipe_retry_backoff (uint32_t attempt, snipe_time base,
                                snipe_time cap, uint64_t random);

#endif
