#include "pool/locality.h"

#include <glib.h>
#include <math.h>

/* Declared durations are off by tens of percent: a start at the end of a wait
 * has to meet its deadline although its task takes this many times its
 * predicted duration. */
#define DEADLINE_MARGIN 1.5
/* What a start elsewhere costs the others counts at most as this many times
 * what it costs the caller itself. */
#define PRESSURE_MAX 1.0
/* Bound of a measured factor: a larger one is more likely an error of the
 * estimates. */
#define FACTOR_MAX 10.0
/* Tasks that a mean remembers. */
#define SAMPLES_MAX 100.0
/* Number of tasks at which the measured factor counts as much as the declared
 * one. */
#define SAMPLES_HALF_TRUSTED 20.0

/* Time that a task takes longer elsewhere. */
static snipe_time
far_loss (const struct snipe_locality_input *input)
{
  return (snipe_time)((double)input->duration * (input->factor - 1));
}

/* Delay of the other tasks that wait, summed up, by a start elsewhere, which
 * occupies places for longer. */
static snipe_time
loss_of_others (const struct snipe_locality_input *input)
{
  double pressure = (double)input->others * (double)input->tasks
                    / (double)MAX (input->places, (uint32_t)1);

  return (snipe_time)((double)far_loss (input) * MIN (pressure, PRESSURE_MAX));
}

/* Latest start of a task that has to end by the deadline although it may take
 * longer than predicted. */
static snipe_time
latest_start (snipe_time deadline, double duration)
{
  return deadline - (snipe_time)(DEADLINE_MARGIN * duration);
}

/* End of the wait. If a start elsewhere would be in time for the caller, the
 * wait leaves time for it, and does not cost more than it could gain. Else it
 * leaves time for a start elsewhere that meets the hard deadline; if none does
 * now, only a near place is of use. */
static snipe_time
wait_limit (const struct snipe_locality_input *input, snipe_time gain)
{
  double far_duration = (double)input->duration * input->factor;
  snipe_time far_in_time = latest_start (input->soft_deadline, far_duration);
  snipe_time far_at_all = latest_start (input->hard_deadline, far_duration);
  snipe_time since
      = input->waiting_since == 0 ? input->now : input->waiting_since;

  if (far_in_time > input->now)
    return MIN (far_in_time, since + gain);
  if (far_at_all > input->now)
    return far_at_all;
  return latest_start (input->hard_deadline, (double)input->duration);
}

struct snipe_locality_decision
snipe_locality_decide (const struct snipe_locality_input *input)
{
  static const struct snipe_locality_decision far
      = { .choice = SNIPE_LOCALITY_FAR };
  snipe_time gain = far_loss (input);
  snipe_time far_end = input->now + input->duration + gain;
  bool far_is_late = far_end > input->soft_deadline;
  bool pays;
  snipe_time near_end;
  snipe_time until;

  if (input->near_at <= input->now)
    return (struct snipe_locality_decision){ .choice = SNIPE_LOCALITY_NEAR };
  if (input->factor <= 1 || input->near_at == SNIPE_LOCALITY_UNKNOWN)
    return far;
  near_end = input->near_at + input->duration;
  /* The others count unless they would make this caller's task late. */
  if (near_end <= input->soft_deadline || far_is_late)
    gain += loss_of_others (input);
  until = wait_limit (input, gain);
  /* A start elsewhere that is late for its caller, now or at the end of the
   * wait, gives way to the others. */
  pays = far_is_late && input->others > 0
             ? input->now < until
                   && (input->near_at <= until
                       || input->now < latest_start (input->hard_deadline,
                                                     (double)input->duration
                                                         * input->factor))
             : input->near_at < input->now + gain && input->near_at <= until;
  if (!pays)
    return far;
  return (struct snipe_locality_decision){ .choice = SNIPE_LOCALITY_WAIT,
                                           .until = until };
}

void
snipe_locality_factor_add (struct snipe_locality_factor *factor, bool far,
                           double ratio)
{
  double *samples = far ? &factor->far_samples : &factor->near_samples;
  double *mean = far ? &factor->far_mean : &factor->near_mean;

  *samples = MIN (*samples + 1, SAMPLES_MAX);
  *mean
      += (log (CLAMP (ratio, 1 / FACTOR_MAX, FACTOR_MAX)) - *mean) / *samples;
}

double
snipe_locality_factor_get (const struct snipe_locality_factor *factor)
{
  double samples = MIN (factor->near_samples, factor->far_samples);
  double trust = samples / (samples + SAMPLES_HALF_TRUSTED);

  if (factor->declared <= 1)
    return 1;
  return CLAMP (exp (trust * (factor->far_mean - factor->near_mean)
                     + (1 - trust) * log (factor->declared)),
                1.0, FACTOR_MAX);
}
