/**
 * @file requests.h
 * Requests to endpoints; internal to the pool scheduler.
 */
#ifndef SNIPE_POOL_REQUESTS_H
#define SNIPE_POOL_REQUESTS_H

#include "pool/private.h"

/* Least timeout of a start or stop request. A healthy endpoint on a fast link
 * answers within a few ms, and a duplicate start request for the same run is
 * harmless, so the retry is sent early. */
#define REQUEST_TIMEOUT_MIN (80 * SNIPE_MS)
/* Least time that an answer to a poll request may take beyond its wait. */
#define POLL_TIMEOUT_MARGIN (150 * SNIPE_MS)

/** Longest timeout: an unanswered request must be noticed before the lease
 * that the previous one extended expires. */
static inline snipe_time
snipe_pool_request_timeout_max (const struct snipe_pool *pool)
{
  return pool->lease_max / 2;
}

/** Adds the requests that the budget for resends gains as time passes. */
void snipe_pool_refill_resends (struct snipe_pool *pool, snipe_time now);
/** Requests the running and ended runs. With @p wait it is a long poll: the
 * endpoint answers when the next run ends. Extends the lease for the runs of
 * batches, and briefly for those that a batch may still claim; without @p wait
 * not that of an unresponsive endpoint. Does nothing while a poll request is
 * in flight. */
void snipe_pool_send_poll (struct snipe_pool *pool,
                           struct snipe_pool_endpoint *endpoint, bool wait,
                           snipe_time now);
void snipe_pool_send_start (struct snipe_pool *pool, struct run *run,
                            snipe_time now);
void snipe_pool_send_stop (struct snipe_pool *pool, struct run *run,
                           snipe_time now);
/** Sends the unanswered start or stop request of a run again if it is due and
 * the budget allows it. */
void snipe_pool_resend_start (struct snipe_pool *pool, struct run *run,
                              snipe_time now);
void snipe_pool_resend_stop (struct snipe_pool *pool, struct run *run,
                             snipe_time now);
/** Sends the first polls of endpoints whose runs are not known yet, a few at a
 * time. */
void snipe_pool_send_claim_polls (struct snipe_pool *pool, snipe_time now);
/** Ends all runs of an endpoint that has restarted. */
void snipe_pool_end_all_runs (struct snipe_pool *pool,
                              struct snipe_pool_endpoint *endpoint,
                              enum snipe_assumed_end_reason reason,
                              snipe_time now);
/** Ends the runs of an endpoint whose lease has expired, but for those that
 * may still be started by its new incarnation. */
void snipe_pool_end_expired_runs (struct snipe_pool *pool,
                                  struct snipe_pool_endpoint *endpoint,
                                  snipe_time now);
/** Starts waiting tasks for which an endpoint has free capacity. */
void snipe_pool_place_tasks (struct snipe_pool *pool, snipe_time now);

#endif
