/**
 * @file leaving.h
 * Tasks at endpoints that leave soon; internal to the pool scheduler. Pure
 * functions.
 */
#ifndef SNIPE_POOL_LEAVING_H
#define SNIPE_POOL_LEAVING_H

#include "pool/private.h"

/** @return whether a task of the batch may be started at an endpoint that is
 * draining: soon enough after it was listed as such, and it is expected to end
 * before the endpoint leaves. False for an endpoint that does not drain, or if
 * it is not known when it leaves. */
bool
snipe_pool_ends_before_leaving (const struct snipe_pool *pool,
                                const struct snipe_pool_endpoint *endpoint,
                                const struct batch *batch, snipe_time now);
/** @return whether a start request that is sent now to an endpoint that is
 * draining may arrive later after it was listed as such than is allowed. */
bool snipe_pool_start_is_too_late (const struct snipe_pool *pool,
                                   const struct snipe_pool_endpoint *endpoint,
                                   snipe_time now);

#endif
