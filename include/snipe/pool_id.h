/**
 * @file pool_id.h
 * Identifies a pool: a shard of the endpoints of a service in one failure
 * domain. A domain with many endpoints has several pools, so that the work of
 * one host is bounded regardless of the size of the fleet.
 */
#ifndef SNIPE_POOL_ID_H
#define SNIPE_POOL_ID_H

#include <stdbool.h>
#include <stdint.h>

#define SNIPE_NAME_BYTES 208 /**< longest id or name, with its NUL */
/** Most pools of a service in a domain; a message that names more is invalid.
 */
#define SNIPE_POOL_SHARDS_MAX 4096U

struct snipe_pool_id
{
  char service[SNIPE_NAME_BYTES];
  char domain[SNIPE_NAME_BYTES];
  uint32_t shard;  /**< 0 to shards - 1 */
  uint32_t shards; /**< pools of this service in the domain, a power of two */
};

/** @return whether the numbers of an id that another host has sent are
 * possible. A host lists all pools of a group, so a wrong number of pools
 * could use up its memory. */
bool snipe_pool_id_is_valid (const struct snipe_pool_id *id);
/** @return whether both belong to the same service and domain. */
bool snipe_pool_id_same_group (const struct snipe_pool_id *a,
                               const struct snipe_pool_id *b);
bool snipe_pool_id_equal (const struct snipe_pool_id *a,
                          const struct snipe_pool_id *b);
/** @return a hash of the service and domain. */
uint32_t snipe_pool_id_group_hash (const struct snipe_pool_id *id);
uint32_t snipe_pool_id_hash (const struct snipe_pool_id *id);
/** Total order of pools: arbitrary, but the same on every host. */
int snipe_pool_id_compare (const struct snipe_pool_id *a,
                           const struct snipe_pool_id *b);
/** @return the shard of an endpoint, by a hash of its id. */
uint32_t snipe_pool_id_shard_of (const char *endpoint, uint32_t shards);
/** @return the number of pools for @p endpoints endpoints of which a host can
 * own @p endpoints_max, a power of two. */
uint32_t snipe_pool_id_shards_for (uint32_t endpoints, uint32_t endpoints_max);

#endif
