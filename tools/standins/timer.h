/**
 * @file timer.h
 * Timer thread that calls functions at given times.
 */
#ifndef STANDINS_TIMER_H
#define STANDINS_TIMER_H

#include "snipe/clock.h"

typedef void (*timer_fn) (void *arg);

/** Starts the thread; call once, before timer_at (). @return 0 or -1. */
int timer_start (void);
/** Calls @p fn on the timer thread at time @p due of snipe_clock_now (). Calls
 * for the same time are made in the order of their timer_at () calls. Cannot
 * be cancelled. Thread-safe. */
void timer_at (snipe_time due, timer_fn fn, void *arg);

#endif
