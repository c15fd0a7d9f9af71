/**
 * @file orders.h
 * Orders to endpoints; internal to the pool scheduler.
 */
#ifndef SNIPE_POOL_ORDERS_H
#define SNIPE_POOL_ORDERS_H

#include "pool/private.h"

/* Time over its wait that an answer to a hold may take. */
#define HOLD_SLACK (150 * SNIPE_MS)

/** Asks what runs; with @p wait the endpoint answers at the next end, and its
 * lease is kept. Does nothing while a hold is under way. */
void snipe_pool_send_hold (struct snipe_pool *pool,
                           struct snipe_pool_endpoint *endpoint, bool wait,
                           snipe_time now);
void snipe_pool_send_start (struct snipe_pool *pool, struct run *run,
                            snipe_time now);
void snipe_pool_send_stop (struct snipe_pool *pool, struct run *run,
                           snipe_time now);
/** Everything that ran at the endpoint is gone. */
void snipe_pool_lapse_all (struct snipe_pool *pool,
                           struct snipe_pool_endpoint *endpoint,
                           snipe_time now);
/** Starts what can be started. */
void snipe_pool_place (struct snipe_pool *pool, snipe_time now);

#endif
