/**
 * @file capacity.h
 * How much of the fleet's work a host can carry. No I/O, no state.
 */
#ifndef SNIPE_NODE_CAPACITY_H
#define SNIPE_NODE_CAPACITY_H

#include <stdint.h>

/**
 * @param cpu_millicores share of a core that the host may use
 * @param link_kbps rate of its link, 0: unlimited
 * @return what the host can carry, in thousandths of a core: less than its
 *   share if its link is the narrower limit
 */
uint32_t snipe_capacity_of_host (uint32_t cpu_millicores, uint32_t link_kbps);
/** @return the number of endpoints above which a pool is too large for a host
 * of the capacity. */
uint32_t snipe_capacity_pool_endpoints (uint32_t capacity);

#endif
