#include <math.h>

#include "sched_private.h"

/* Minimum gains of the estimates. The declared duration of one task may be off
 * by a factor of 4, so a single sample must not move an estimate much. */
#define ENDPOINT_GAIN_MIN 0.05
#define KIND_GAIN_MIN 0.02
/* Residuals are limited to a factor of 6, to bound the effect of outliers. */
#define LOG_RESIDUAL_MAX 1.8
/* 2 mean absolute log errors cover about 90 % of log-uniform errors. */
#define MARGIN_LOG_ERRORS 2.0
#define LOG_SPEED_MAX 2.5
#define LOG_FACTOR_MAX 2.0

static double
gain (uint32_t samples, double least)
{
  /* The prior counts as one sample, so the first sample has a gain of 1/2. */
  return fmax (least, 1.0 / (samples + 2.0));
}

float
sched_learn_expected_us (const struct snipe_sched *sched, uint32_t kind,
                         snipe_time declared)
{
  double log_factor = 0;

  if (kind < sched->kinds->len)
    log_factor = g_array_index (sched->kinds, struct sched_kind_estimate, kind)
                     .log_factor
                 - sched->kinds_log_mean;
  return (float)((double)MAX (declared, 1) * exp (log_factor));
}

double
sched_learn_margin (const struct snipe_sched *sched, uint32_t kind)
{
  if (kind >= sched->kinds->len)
    return 1;
  return exp (MARGIN_LOG_ERRORS
              * g_array_index (sched->kinds, struct sched_kind_estimate, kind)
                    .log_error_mean);
}

double
sched_learn_initial_log_speed (const struct snipe_sched *sched)
{
  double sum = 0;
  uint32_t count = 0;

  for (guint i = 0; i < sched->endpoints->len; i++)
    {
      const struct snipe_sched_endpoint *endpoint
          = g_ptr_array_index (sched->endpoints, i);

      if (endpoint->samples == 0)
        continue;
      sum += endpoint->log_speed;
      count++;
    }
  return count == 0 ? 0 : sum / count;
}

void
sched_learn_update (struct snipe_sched *sched,
                    struct snipe_sched_endpoint *endpoint, uint32_t kind,
                    double declared, snipe_time duration)
{
  struct sched_kind_estimate *estimate;
  double residual;
  double change;

  if (kind >= sched->kinds->len)
    return;
  estimate = &g_array_index (sched->kinds, struct sched_kind_estimate, kind);
  residual = log (declared / (double)MAX (duration, 1)) + estimate->log_factor
             - sched->kinds_log_mean - endpoint->log_speed;
  residual = CLAMP (residual, -LOG_RESIDUAL_MAX, LOG_RESIDUAL_MAX);
  endpoint->log_speed
      += gain (endpoint->samples, ENDPOINT_GAIN_MIN) * residual;
  endpoint->log_speed
      = CLAMP (endpoint->log_speed, -LOG_SPEED_MAX, LOG_SPEED_MAX);
  endpoint->speed = (float)exp (endpoint->log_speed);
  endpoint->samples++;
  /* Speeds and factors are only determined up to a common constant. Fixing the
   * mean factor of the kinds at 1 makes the speeds that different hosts report
   * comparable. */
  change = -gain (estimate->samples + 8, KIND_GAIN_MIN) * residual;
  change
      = CLAMP (estimate->log_factor + change, -LOG_FACTOR_MAX, LOG_FACTOR_MAX)
        - estimate->log_factor;
  estimate->log_factor += change;
  estimate->log_error_mean += gain (estimate->samples, KIND_GAIN_MIN)
                              * (fabs (residual) - estimate->log_error_mean);
  estimate->samples++;
  sched->kinds_log_mean += change / sched->kinds->len;
}
