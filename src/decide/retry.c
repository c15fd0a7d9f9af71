#include "snipe/retry.h"

void
snipe_retry_started (struct snipe_retry_budget *budget)
{
  budget->tokens += budget->per_start;
  if (budget->tokens > budget->tokens_max)
    budget->tokens = budget->tokens_max;
}

enum snipe_retry_verdict
snipe_retry_judge (struct snipe_retry_budget *budget, enum snipe_end end,
                   bool idempotent, uint32_t repeats, uint32_t repeats_max)
{
  enum snipe_retry_verdict final;

  switch (end)
    {
    case SNIPE_END_REFUSED_FULL:
    case SNIPE_END_REFUSED_LEAVING:
    case SNIPE_END_NOT_CONNECTED:
      return SNIPE_RETRY_REQUEUE;
    case SNIPE_END_LOST:
      final = SNIPE_RETRY_UNKNOWN;
      break;
    case SNIPE_END_OK:
    case SNIPE_END_FAILED:
    default:
      final = SNIPE_RETRY_FAIL;
      break;
    }
  if (end == SNIPE_END_OK || !idempotent || repeats >= repeats_max
      || budget->tokens < 1)
    return final;
  budget->tokens -= 1;
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
