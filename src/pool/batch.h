/**
 * @file batch.h
 * Batches of a pool and their runs; internal to the pool scheduler.
 */
#ifndef SNIPE_POOL_BATCH_H
#define SNIPE_POOL_BATCH_H

#include "pool/private.h"

void snipe_batch_free (struct batch *batch);
struct batch *snipe_batch_find (struct snipe_pool *pool, uint64_t coordinator,
                                uint64_t number);
/** Writes "<job>.0.<step>.<index>". */
void snipe_batch_task_name (const struct batch *batch, uint32_t task_index,
                            char *out, size_t size);
/** Assigns @p run to a waiting task. */
void snipe_batch_attach_run (struct batch *batch, uint32_t task_index,
                             struct run *run);
/** Attaches an orphaned run if it belongs to a waiting task of the batch.
 * @return whether it does. */
bool snipe_batch_adopt_run (struct batch *batch, struct run *run);
/** Attaches a run to the batch whose task waits for one.
 * @return whether there is one */
bool snipe_pool_adopt_run (struct snipe_pool *pool, struct run *run);
/** Records the outcome of a run; the caller has removed the run from its
 * endpoint. May free the batch. */
void snipe_batch_record_end (struct snipe_pool *pool, struct run *run,
                             enum snipe_run_outcome outcome, snipe_time now);
/** Detaches a run whose start request was not carried out and never will be.
 * @param stale_number the endpoint knew an equal or higher run number */
void snipe_batch_detach_run (struct run *run, bool stale_number);
/** @return whether a task of the job of a batch may run here, for this or
 * another coordinator, apart from the batch itself. */
bool snipe_pool_knows_job (const struct snipe_pool *pool,
                           const struct batch *batch);
/** Sends the result, stops the runs of the batch and frees it. */
void snipe_batch_finish (struct snipe_pool *pool, struct batch *batch,
                         int code, snipe_time retry_after, snipe_time now);
/** Stops the runs of the batch and frees it without sending a result. */
void snipe_batch_drop (struct snipe_pool *pool, struct batch *batch,
                       snipe_time now);
/** Records that a run of a task, by its name, is done which no batch has. The
 * task of an open batch is done then, and another run of it is stopped. Else
 * the outcome is kept for a batch that is sent again.
 * @return whether a task waited for it */
bool snipe_batch_record_done (struct snipe_pool *pool, const char *task,
                              snipe_time now);
/** Requests the stop of a run unless that has been done. */
void snipe_pool_run_stop (struct snipe_pool *pool, struct run *run,
                          snipe_time now);

#endif
