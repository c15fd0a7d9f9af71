#include "snipe/pool_id.h"

#include <glib.h>
#include <string.h>

bool
snipe_pool_id_is_valid (const struct snipe_pool_id *id)
{
  return id->shards > 0 && id->shards <= SNIPE_POOL_SHARDS_MAX
         && (id->shards & (id->shards - 1)) == 0 && id->shard < id->shards;
}

bool
snipe_pool_id_same_group (const struct snipe_pool_id *a,
                          const struct snipe_pool_id *b)
{
  return strcmp (a->service, b->service) == 0
         && strcmp (a->domain, b->domain) == 0;
}

uint32_t
snipe_pool_id_group_hash (const struct snipe_pool_id *id)
{
  return g_str_hash (id->service) * 31 + g_str_hash (id->domain);
}

uint32_t
snipe_pool_id_hash (const struct snipe_pool_id *id)
{
  return (snipe_pool_id_group_hash (id) * 31 + id->shards) * 31 + id->shard;
}

int
snipe_pool_id_compare (const struct snipe_pool_id *a,
                       const struct snipe_pool_id *b)
{
  int order = strcmp (a->service, b->service);

  if (order == 0)
    order = strcmp (a->domain, b->domain);
  if (order == 0)
    order = (a->shards > b->shards) - (a->shards < b->shards);
  if (order == 0)
    order = (a->shard > b->shard) - (a->shard < b->shard);
  return order;
}

bool
snipe_pool_id_equal (const struct snipe_pool_id *a,
                     const struct snipe_pool_id *b)
{
  return a->shard == b->shard && a->shards == b->shards
         && snipe_pool_id_same_group (a, b);
}

uint32_t
snipe_pool_id_shard_of (const char *endpoint, uint32_t shards)
{
  /* Ids may differ only in their last characters, with which the low bits of
   * g_str_hash () are strongly correlated. */
  uint32_t hash = g_str_hash (endpoint) * 2654435761U;

  return (hash >> 16) & (shards - 1);
}

uint32_t
snipe_pool_id_shards_for (uint32_t endpoints, uint32_t endpoints_max)
{
  uint32_t shards = 1;

  while (endpoints > shards * MAX (endpoints_max, 1)
         && shards < SNIPE_POOL_SHARDS_MAX)
    shards *= 2;
  return shards;
}
