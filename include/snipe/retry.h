/**
 * @file retry.h
 * Whether a task may be started again, and when. Pure.
 */
#ifndef SNIPE_RETRY_H
#define SNIPE_RETRY_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"
#include "snipe/sched.h"

/** Budget of retries of a host: a token bucket filled by first starts. */
struct snipe_retry_budget
{
  double tokens;           /**< retries that may be made now */
  double tokens_per_start; /**< tokens each first start adds, default 0.1 */
  double tokens_max;       /**< default 100 */
};
#define SNIPE_RETRY_BUDGET_INIT                                               \
  {                                                                           \
    .tokens = 20, .tokens_per_start = 0.1, .tokens_max = 100                  \
  }

enum snipe_retry_action
{
  SNIPE_RETRY_REQUEUE, /**< surely not started: queue again, no budget used */
  SNIPE_RETRY_AGAIN,   /**< idempotent, within rule and budget */
  SNIPE_RETRY_FAIL,    /**< ran and failed */
  SNIPE_RETRY_UNKNOWN, /**< may have run, must not be started again */
};

void snipe_retry_budget_refill (struct snipe_retry_budget *budget);
/**
 * Judges a task after an attempt.
 * @param repeats starts after the first so far
 * @param repeats_max from the retry rule, 0 without one
 */
enum snipe_retry_action snipe_retry_decide (struct snipe_retry_budget *budget,
                                            enum snipe_attempt_outcome end,
                                            bool idempotent, uint32_t repeats,
                                            uint32_t repeats_max);
/** Exponential back-off with full jitter in [base/2, base] << attempt,
 * capped. @param random 64 random bits. */
snipe_time snipe_retry_backoff (uint32_t attempt, snipe_time base,
                                snipe_time cap, uint64_t random);

#endif
