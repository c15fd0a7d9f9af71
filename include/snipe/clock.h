/**
 * @file clock.h
 * Time. Functions that decide take the present time as an argument; only
 * the outer layers read a clock.
 */
#ifndef SNIPE_CLOCK_H
#define SNIPE_CLOCK_H

#include <stdint.h>

/** Microseconds of a monotonic clock that counts on while suspended. */
typedef int64_t snipe_time;

#define SNIPE_MS ((snipe_time)1000)
#define SNIPE_S ((snipe_time)1000000)

/** @return the present monotonic time (CLOCK_BOOTTIME), microseconds. */
snipe_time snipe_clock_now (void);
/** @return the wall clock, milliseconds since 1970. */
int64_t snipe_clock_wall_ms (void);

#endif
