/**
 * @file retry_after.h
 * When callers whose jobs were not run should come back. Does no I/O.
 *
 * Load pattern: a burst above the capacity, of which a part is rejected. If
 * all of those callers came back after the same time, they would be a second
 * burst. They are spread over the time that the pools need for what waits and
 * for the jobs of the other callers that will come back.
 */
#ifndef SNIPE_COORDINATOR_RETRY_AFTER_H
#define SNIPE_COORDINATOR_RETRY_AFTER_H

#include <glib.h>
#include <stdint.h>

#include "snipe/clock.h"

/** Longest time that a caller is told, in seconds. */
#define SNIPE_RETRY_SECONDS_MAX 30

/** What a host knows of the pools that serve a service. Core-time is in
 * thousandths of a core times milliseconds. */
struct snipe_retry_room
{
  int64_t total_cpu; /**< thousandths of a core */
  int64_t backlog;   /**< core-time of the tasks that wait */
  uint32_t pools;    /**< number of them */
};

/** Callers of one service that this host expects back, and what it served. */
struct snipe_retry_book
{
  /** Core-time of the jobs that come back in a second, by the second modulo
   * the number of elements. */
  double returning[SNIPE_RETRY_SECONDS_MAX + 1];
  int64_t second; /**< up to which the elements were cleared */
  double served;  /**< core-time of completed jobs, decaying */
  snipe_time served_at;
};

/** How a time was chosen, for the log. */
struct snipe_retry_choice
{
  uint32_t seconds;
  uint32_t horizon;  /**< s; the range is 1 to this */
  int64_t returning; /**< core-time of the jobs that were expected back */
  int64_t served;    /**< core-time that this host served lately */
};

/** Counts a completed job of @p work core-time. */
void snipe_retry_book_add_served (struct snipe_retry_book *book, double work,
                                  snipe_time now);
/**
 * Chooses when the caller of a rejected job should come back, and counts it as
 * returning then: a whole number of seconds from 1 to the horizon, by a hash
 * of the job's id and the present second. The horizon is at most
 * SNIPE_RETRY_SECONDS_MAX.
 */
void snipe_retry_book_choose (struct snipe_retry_choice *out,
                              struct snipe_retry_book *book,
                              const struct snipe_retry_room *room,
                              const char *job, double work, snipe_time now);

#endif
