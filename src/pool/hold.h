/**
 * @file hold.h
 * Held batches: parts of a job that is spread over several pools, of which
 * nothing is started before all pools have room; internal to the pool
 * scheduler. The functions read no clock.
 *
 * A pool grants a held batch as soon as all of its tasks are expected to end
 * in time. From then on it goes before batches that have not been started, and
 * its room is kept free, until its coordinator commits or cancels it, but no
 * longer than SNIPE_POOL_HOLD_TIME.
 */
#ifndef SNIPE_POOL_HOLD_H
#define SNIPE_POOL_HOLD_H

#include "pool/private.h"

/** @return whether a batch goes before those that have not been started: it
 * has been, or its room is kept for it. */
bool snipe_batch_goes_first (const struct batch *batch);
/** @return whether nothing of the batch is started or taken over yet. */
bool snipe_batch_is_held (const struct batch *batch);
/** Grants a batch its room, and tells its coordinator. */
void snipe_hold_grant (struct snipe_pool *pool, struct batch *batch,
                       snipe_time now);
/** The batch arrived again: tells its coordinator again if it was granted. */
void snipe_hold_repeat_grant (const struct snipe_pool *pool,
                              const struct batch *batch);
/** Keeps a free place for each waiting task of a granted batch that has one,
 * until the next round of placement. */
void snipe_hold_keep_room (struct snipe_pool *pool, struct batch *batch,
                           snipe_time now);
/** Frees the room that was kept in the last round. */
void snipe_hold_release_room (struct snipe_pool *pool);
/** @return SNIPE_OK, or SNIPE_E_HOLD_EXPIRED for a granted batch whose room
 * was kept for too long. */
int snipe_hold_status (const struct batch *batch, snipe_time now);

#endif
