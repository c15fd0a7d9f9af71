#include <math.h>

#include "sched_private.h"

/* One task's declared duration may be off by a factor of 4, so a single
 * observation moves an estimate little once some have been made. */
#define ENDPOINT_GAIN 0.05
#define KIND_GAIN 0.02
/* Residuals beyond a factor of 6 are treated as outliers. */
#define RESIDUAL_MAX 1.8
/* 2 mean distances cover about nine tenths of log-uniform errors. */
#define MARGIN_SPREADS 2.0
#define LOG_SPEED_MAX 2.5
#define LOG_FACTOR_MAX 2.0

static double
gain (uint32_t samples, double least)
{
  /* The prior counts as one sample, so the first one moves halfway. */
  return fmax (least, 1.0 / (samples + 2.0));
}

float
sched_learn_expected (const struct snipe_sched *sched, uint32_t kind,
                      snipe_time declared)
{
  double log_factor = 0;

  if (kind < sched->kinds->len)
    log_factor
        = g_array_index (sched->kinds, struct sched_kind, kind).log_factor
          - sched->kinds_log_mean;
  return (float)((double)MAX (declared, 1) * exp (log_factor));
}

double
sched_learn_margin (const struct snipe_sched *sched, uint32_t kind)
{
  if (kind >= sched->kinds->len)
    return 1;
  return exp (MARGIN_SPREADS
              * g_array_index (sched->kinds, struct sched_kind, kind).spread);
}

double
sched_learn_initial (const struct snipe_sched *sched)
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
sched_learn_ended (struct snipe_sched *sched,
                   struct snipe_sched_endpoint *endpoint, uint32_t kind,
                   double declared, snipe_time duration)
{
  struct sched_kind *learnt;
  double residual;
  double change;

  if (kind >= sched->kinds->len)
    return;
  learnt = &g_array_index (sched->kinds, struct sched_kind, kind);
  residual = log (declared / (double)MAX (duration, 1)) + learnt->log_factor
             - sched->kinds_log_mean - endpoint->log_speed;
  residual = CLAMP (residual, -RESIDUAL_MAX, RESIDUAL_MAX);
  endpoint->log_speed += gain (endpoint->samples, ENDPOINT_GAIN) * residual;
  endpoint->log_speed
      = CLAMP (endpoint->log_speed, -LOG_SPEED_MAX, LOG_SPEED_MAX);
  endpoint->speed = (float)exp (endpoint->log_speed);
  endpoint->samples++;
  /* The mean factor of the kinds is taken as 1: speeds and factors are only
   * determined up to a constant, and this choice makes the speeds that
   * different hosts report comparable. */
  change = -gain (learnt->samples + 8, KIND_GAIN) * residual;
  change = CLAMP (learnt->log_factor + change, -LOG_FACTOR_MAX, LOG_FACTOR_MAX)
           - learnt->log_factor;
  learnt->log_factor += change;
  learnt->spread += gain (learnt->samples, KIND_GAIN)
                    * (fabs (residual) - learnt->spread);
  learnt->samples++;
  sched->kinds_log_mean += change / sched->kinds->len;
}
