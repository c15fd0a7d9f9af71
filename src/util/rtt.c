#include "snipe/rtt.h"

#include <glib.h>

/* Gains of the published algorithm: an eighth for the mean, a quarter for the
 * deviation, and four deviations of margin. */
#define MEAN_DIVISOR 8
#define DEVIATION_DIVISOR 4
#define DEVIATIONS 4

void
snipe_rtt_add (struct snipe_rtt *rtt, snipe_time sample, snipe_time limit)
{
  snipe_time error;

  sample = CLAMP (sample, 0, limit);
  if (rtt->samples == 0)
    {
      rtt->mean = sample;
      rtt->deviation = sample / 2;
    }
  else
    {
      error = sample - rtt->mean;
      rtt->mean += error / MEAN_DIVISOR;
      rtt->deviation += (ABS (error) - rtt->deviation) / DEVIATION_DIVISOR;
    }
  if (rtt->samples < UINT32_MAX)
    rtt->samples++;
}

snipe_time
snipe_rtt_timeout (const struct snipe_rtt *rtt, snipe_time min, snipe_time max)
{
  return CLAMP (rtt->mean + DEVIATIONS * rtt->deviation, min, max);
}
