/**
 * @file calibration.h
 * Relation between the declared and the actual durations of the tasks of a
 * route: a linear regression of their logarithms over recent tasks. Declared
 * durations that vary more than the actual ones are drawn towards the mean. No
 * I/O, no clock.
 */
#ifndef SNIPE_POOL_CALIBRATION_H
#define SNIPE_POOL_CALIBRATION_H

#include "snipe/clock.h"

/** All zero: nothing is known. */
struct snipe_calibration
{
  double samples;                    /**< number of tasks, up to a maximum */
  double declared_mean, actual_mean; /**< of the logarithms of microseconds */
  double declared_variance, covariance;
};

void snipe_calibration_add (struct snipe_calibration *calibration,
                            snipe_time declared, snipe_time actual);
/**
 * @param fallback returned while too little is known; until enough is, the
 *   result lies between it and the regression
 * @return the expected duration of a task with this declared one
 */
snipe_time
snipe_calibration_predict (const struct snipe_calibration *calibration,
                           snipe_time declared, snipe_time fallback);

#endif
