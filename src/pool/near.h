/**
 * @file near.h
 * Near places of a batch: those in the rack of its data, or in the rack that
 * the pool has chosen for its tasks.
 */
#ifndef SNIPE_POOL_NEAR_H
#define SNIPE_POOL_NEAR_H

#include "pool/private.h"

/** @return whether a task of the batch takes longer at the endpoint because of
 * its rack. Always false if the pool has no remote factor. */
bool snipe_pool_is_far (const struct snipe_pool *pool,
                        const struct snipe_pool_endpoint *endpoint,
                        const struct batch *batch);
/** @return the factor by which all endpoints of the pool, or @p endpoint if it
 * is not NULL, are slower for a task of the batch than a near one. */
double snipe_pool_far_factor (const struct snipe_pool *pool,
                              const struct snipe_pool_endpoint *endpoint,
                              const struct batch *batch);
/** @return whether the endpoint is near, and not so slow that a task would be
 * as fast elsewhere. */
bool snipe_pool_prefers_endpoint (const struct snipe_pool *pool,
                                  const struct snipe_pool_endpoint *endpoint,
                                  const struct batch *batch);
/** Begins a round of placement, in which batches are decided for in their
 * scheduling order. */
void snipe_pool_begin_round (struct snipe_pool *pool, snipe_time now);
/** Chooses the rack of a group of which nothing has been started, and notes
 * whether the pool has near places at all. */
void snipe_pool_locate_batch (struct snipe_pool *pool, struct batch *batch,
                              snipe_time now);
/** @param leftover no other batch has a use for the place
 * @return whether the next task of the batch starts at @p endpoint, the best
 * one now, rather than wait for a near place, or give way to other batches. */
bool snipe_pool_accepts_place (struct snipe_pool *pool, struct batch *batch,
                               const struct snipe_pool_endpoint *endpoint,
                               bool leftover, snipe_time now);
/** Notes the start of a run of the batch, which is attached to it already. */
void snipe_pool_note_place (struct snipe_pool *pool, struct batch *batch,
                            struct run *run);

#endif
