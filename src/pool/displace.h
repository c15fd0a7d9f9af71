/**
 * @file displace.h
 * Waiting batches that give way to a more urgent one; internal to the pool
 * scheduler. The functions read no clock.
 */
#ifndef SNIPE_POOL_DISPLACE_H
#define SNIPE_POOL_DISPLACE_H

#include "pool/private.h"

/**
 * Makes room in time for a batch for which there is none, if less urgent
 * batches that wait and of which nothing has been started hold it: they are
 * handed back to their coordinators, no more of them than are needed.
 * @return false, with nothing changed, if that does not make enough room, or
 *   without the option shared_order
 */
bool snipe_pool_displace_for (struct snipe_pool *pool,
                              const struct batch *batch, snipe_time now);

#endif
