/**
 * @file rtt.h
 * Round-trip time of requests: smoothed mean and deviation, and the timeout
 * that follows from them (Jacobson and Karels, "Congestion Avoidance and
 * Control", 1988). No I/O, no clock.
 */
#ifndef SNIPE_RTT_H
#define SNIPE_RTT_H

#include <stdint.h>
#include "snipe/clock.h"

/** All zero: nothing is known. */
struct snipe_rtt
{
  snipe_time mean;
  snipe_time deviation;
  uint32_t samples;
};

/**
 * Takes a measured round-trip time into account. The sample must belong to one
 * known request: an answer that may be that of either of two requests is none.
 * @param limit a longer sample counts as this long, so that a single peer that
 *   was silent for seconds does not set the timeout of all others
 */
void snipe_rtt_add (struct snipe_rtt *rtt, snipe_time sample,
                    snipe_time limit);
/** @return the time after which an answer counts as overdue, between @p min
 * and @p max; @p min if nothing is known. */
snipe_time snipe_rtt_timeout (const struct snipe_rtt *rtt, snipe_time min,
                              snipe_time max);

#endif
