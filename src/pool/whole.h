/**
 * @file whole.h
 * Batches of which all tasks or none are started; internal to the pool
 * scheduler. The decisions read no clock and do no I/O.
 *
 * A task of such a batch is started only if the plan says that all of its
 * tasks end in time. From then on its waiting tasks go before those of batches
 * that have not been started, and later plans count them.
 */
#ifndef SNIPE_POOL_WHOLE_H
#define SNIPE_POOL_WHOLE_H

#include "pool/plan.h"

/** @return whether no task of the batch may start before all of them are
 * expected to end in time. A batch that may run already is continued. */
bool snipe_batch_starts_whole (const struct snipe_pool *pool,
                               const struct batch *batch);
/** Plans the batch, unless a plan of a moment ago has failed.
 * @return whether all of its tasks are expected to end in time if they start
 *   as endpoints become free. */
bool snipe_whole_is_in_time (const struct snipe_pool *pool,
                             struct batch *batch, snipe_time now);
/** @return SNIPE_OK, or the status with which a batch that starts as a whole
 * is rejected because it cannot end in time by its plan. */
int snipe_whole_rejection_status (const struct snipe_pool *pool,
                                  struct batch *batch, snipe_time now);

#endif
