#include "snipe/retry.h"

void
snipe_retry_budget_add (struct snipe_retry_budget *budget, double tokens)
{
  budget->tokens += tokens;
  if (budget->tokens > budget->tokens_max)
    budget->tokens = budget->tokens_max;
}

void
snipe_retry_budget_refill (struct snipe_retry_budget *budget)
{
  snipe_retry_budget_add (budget, budget->tokens_per_start);
}

bool
snipe_retry_budget_take (struct snipe_retry_budget *budget)
{
  if (budget->tokens < 1)
    return false;
  budget->tokens -= 1;
  return true;
}

enum snipe_retry_action
snipe_retry_decide (struct snipe_retry_budget *budget,
                    enum snipe_attempt_outcome outcome, bool idempotent,
                    uint32_t lost, uint32_t retries, uint32_t retries_max)
{
  enum snipe_retry_action no_retry_action;

  switch (outcome)
    {
    case SNIPE_ATTEMPT_REFUSED_FULL:
    case SNIPE_ATTEMPT_REFUSED_DRAINING:
    case SNIPE_ATTEMPT_NOT_CONNECTED:
      return SNIPE_RETRY_REQUEUE;
    case SNIPE_ATTEMPT_LOST:
      no_retry_action = SNIPE_RETRY_UNKNOWN;
      break;
    case SNIPE_ATTEMPT_OK:
    case SNIPE_ATTEMPT_FAILED:
    default:
      no_retry_action = SNIPE_RETRY_FAIL;
      break;
    }
  if (outcome == SNIPE_ATTEMPT_OK || !idempotent || retries >= retries_max
      || (outcome == SNIPE_ATTEMPT_LOST && lost >= SNIPE_LOST_ATTEMPTS_MAX)
      || !snipe_retry_budget_take (budget))
    return no_retry_action;
  return SNIPE_RETRY_AGAIN;
}

snipe_time
snipe_retry_backoff (uint32_t attempt, snipe_time base, snipe_time cap,
                     uint64_t random)
{
  snipe_time full = base;
  snipe_time half;

  while (attempt-- > 0 && full < cap)
    full = full > cap / 2 ? cap : full * 2;
  if (full > cap)
    full = cap;
  half = full / 2;
  return half + (snipe_time)(random % ((uint64_t)(full - half) + 1));
}
