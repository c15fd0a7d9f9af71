/**
 * @file accept.h
 * Whether a pool accepts a batch that it may decline.
 */
#ifndef SNIPE_POOL_ACCEPT_H
#define SNIPE_POOL_ACCEPT_H

#include "pool/private.h"

/** @return whether all tasks of a batch can be started now or, if the pool was
 * created with the option spread_load, soon enough that they are expected to
 * meet the soft deadline of the batch. */
bool snipe_pool_accepts (const struct snipe_pool *pool,
                         const struct batch *batch, snipe_time now);
/** @return the core-time, in thousandths of a core times milliseconds, of the
 * waiting tasks of a batch that go before those of one that has just arrived.
 */
int64_t snipe_batch_work_ahead (const struct snipe_pool *pool,
                                const struct batch *batch, snipe_time now);
/**
 * Predicts how long after its soft deadline the last task of a batch ends that
 * waits behind the others.
 * @param out 0 or less: it is in time
 * @param total_cpu of the pool, above 0
 * @return false if the pool cannot run the batch
 */
bool snipe_pool_lateness (snipe_time *out, int64_t *total_cpu,
                          const struct snipe_pool *pool,
                          const struct batch *batch, snipe_time now);

#endif
