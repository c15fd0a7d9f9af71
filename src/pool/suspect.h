/**
 * @file suspect.h
 * Tasks under which endpoints were lost; internal to the pool scheduler.
 */
#ifndef SNIPE_POOL_SUSPECT_H
#define SNIPE_POOL_SUSPECT_H

#include "pool/private.h"

/** A run was lost with its endpoint: no answer came until its lease was over,
 * or its incarnation has ended. */
void snipe_pool_run_lost (struct snipe_pool *pool, const struct run *run,
                          enum snipe_loss_kind kind, snipe_time now);
/** The runs of an endpoint whose incarnation has ended were lost. */
void snipe_pool_incarnation_ended (struct snipe_pool *pool,
                                   struct snipe_pool_endpoint *endpoint,
                                   snipe_time now);
/** @param latest the run was started last at the endpoint
 * @return how the end of a lease at a silent endpoint is counted. */
enum snipe_loss_kind
snipe_pool_silent_loss (const struct snipe_pool *pool,
                        const struct snipe_pool_endpoint *endpoint,
                        bool latest);
/** A run has certainly ended, or never began, without a crash. */
void snipe_pool_run_cleared (struct snipe_pool *pool, const struct run *run,
                             snipe_time now);
/** The known incarnation of an endpoint has answered a poll that was sent at
 * @p sent, and its runs are known. */
void snipe_pool_endpoint_listed_runs (struct snipe_pool *pool,
                                      struct snipe_pool_endpoint *endpoint,
                                      snipe_time sent, snipe_time now);
/** @return what the losses of a task of a batch lead to. */
enum snipe_suspicion snipe_pool_judge_task (const struct snipe_pool *pool,
                                            struct batch *batch,
                                            uint32_t task_index);
/** Fails the batches with tasks that have crashed too many endpoints. */
void snipe_pool_end_given_up (struct snipe_pool *pool, snipe_time now);
/** @return an endpoint for a task that has to run alone, or NULL. If there is
 * none that is empty, one is kept free. */
struct snipe_pool_endpoint *
snipe_pool_choose_isolated (struct snipe_pool *pool, const struct batch *batch,
                            snipe_time now);
/** Counts a run as lost until its end is reported, so that its loss counts
 * also if this owner is lost. */
void snipe_pool_announce_run (struct snipe_pool *pool, struct run *run,
                              snipe_time now);
/** The endpoint has confirmed that the run has begun. */
void snipe_pool_run_begun (struct snipe_pool *pool, struct run *run,
                           snipe_time now);
/** @return whether a run of the task was lost, as far as is known. */
bool snipe_pool_has_losses (const struct snipe_pool *pool, const char *task);

#endif
