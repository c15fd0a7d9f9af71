/**
 * @file batch.h
 * Batches of a pool and their runs; internal to the pool scheduler.
 */
#ifndef SNIPE_POOL_BATCH_H
#define SNIPE_POOL_BATCH_H

#include "pool/private.h"

void snipe_batch_free (struct batch *batch);
struct batch *snipe_batch_find (struct snipe_pool *pool, uint64_t home,
                                uint64_t number);
/** Writes "<job>.0.<step>.<index>". */
void snipe_batch_task_name (const struct batch *batch, uint32_t slot,
                            char *out, size_t size);
/** Makes @p run the run of a waiting task. */
void snipe_batch_attach (struct batch *batch, uint32_t slot, struct run *run);
/** Attaches a run that belongs to nobody if it is one of the batch's.
 * @return whether it is. */
bool snipe_batch_adopt_run (struct batch *batch, struct run *run);
/** The run has ended; the caller removes it from its endpoint first. May free
 * the batch. */
void snipe_batch_run_ended (struct snipe_pool *pool, struct run *run,
                            enum snipe_run_outcome end, snipe_time now);
/** The start of the run was not carried out and never will be.
 * @param old_number the endpoint knew an equal or higher run number */
void snipe_batch_run_void (struct run *run, bool old_number);
/** Sends the result and removes the batch; what runs of it is stopped. */
void snipe_batch_finish (struct snipe_pool *pool, struct batch *batch,
                         int code, snipe_time retry_after, snipe_time now);
/** Removes the batch without a result; what runs of it is stopped. */
void snipe_batch_drop (struct snipe_pool *pool, struct batch *batch,
                       snipe_time now);
/** A task has ended well under an earlier owner; its batch may come later. */
void snipe_batch_note_done (struct snipe_pool *pool, const char *task,
                            snipe_time now);
/** Orders the end of a run. */
void snipe_pool_run_stop (struct snipe_pool *pool, struct run *run,
                          snipe_time now);

#endif
