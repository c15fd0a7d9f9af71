/**
 * @file clock.h
 * Monotonic and wall clock. Scheduling code takes the current time as an
 * argument; only the outer layers read a clock.
 */
#ifndef SNIPE_CLOCK_H
#define SNIPE_CLOCK_H

#include <stdint.h>

/** Microseconds of a monotonic clock that includes time in suspend. */
typedef int64_t snipe_time;

#define SNIPE_MS ((snipe_time)1000)
#define SNIPE_S ((snipe_time)1000000)

/** @return the monotonic time (CLOCK_BOOTTIME) in microseconds. */
snipe_time snipe_clock_now (void);
/** @return the wall-clock time in milliseconds since the Unix epoch. */
int64_t snipe_clock_wall_ms (void);

#endif
