#include "pool/calibration.h"

#include <glib.h>
#include <math.h>

/* Tasks that the regression remembers. */
#define SAMPLES_MAX 200.0
/* Number of tasks at which the regression counts as much as the fallback. */
#define SAMPLES_HALF_TRUSTED 20.0
/* Below this variance, the declared durations are all alike and tell nothing.
 */
#define VARIANCE_MIN 1e-4

void
snipe_calibration_add (struct snipe_calibration *calibration,
                       snipe_time declared, snipe_time actual)
{
  double x = log ((double)MAX (declared, 1));
  double y = log ((double)MAX (actual, 1));
  double weight;
  double dx;

  calibration->samples = MIN (calibration->samples + 1, SAMPLES_MAX);
  weight = 1 / calibration->samples;
  dx = x - calibration->declared_mean;
  calibration->declared_mean += weight * dx;
  calibration->actual_mean += weight * (y - calibration->actual_mean);
  calibration->declared_variance += weight
                                    * (dx * (x - calibration->declared_mean)
                                       - calibration->declared_variance);
  calibration->covariance
      += weight
         * (dx * (y - calibration->actual_mean) - calibration->covariance);
}

snipe_time
snipe_calibration_predict (const struct snipe_calibration *calibration,
                           snipe_time declared, snipe_time fallback)
{
  double trust
      = calibration->samples / (calibration->samples + SAMPLES_HALF_TRUSTED);
  double slope = 1;
  double expected;

  if (calibration->samples < 1 || fallback <= 0)
    return fallback;
  if (calibration->declared_variance > VARIANCE_MIN)
    slope = CLAMP (calibration->covariance / calibration->declared_variance,
                   0.0, 1.0);
  expected
      = calibration->actual_mean
        + slope
              * (log ((double)MAX (declared, 1)) - calibration->declared_mean);
  return (snipe_time)exp (trust * expected
                          + (1 - trust) * log ((double)fallback));
}
