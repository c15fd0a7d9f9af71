/* What a host knows of the pools, from the reports of their owners. */
#include "coordinator/private.h"

#include <string.h>

void
snipe_view_free (gpointer view)
{
  struct pool_view *pool = view;

  g_array_free (pool->free_cpu, TRUE);
  g_free (pool);
}

/* Whether the endpoints of the pool have since been split into more pools. */
static bool
is_outdated (const GPtrArray *pools, const struct snipe_pool_id *id)
{
  for (guint i = 0; i < pools->len; i++)
    {
      const struct pool_view *pool = g_ptr_array_index (pools, i);

      if (pool->id.shards > id->shards && pool->owner != 0
          && snipe_pool_id_same_group (&pool->id, id))
        return true;
    }
  return false;
}

struct pool_view *
snipe_views_find (GPtrArray *pools, const struct snipe_pool_id *id)
{
  struct pool_view *pool;

  /* A heartbeat sent before the split may arrive after it. */
  if (is_outdated (pools, id))
    return NULL;
  for (guint i = 0; i < pools->len; i++)
    {
      pool = g_ptr_array_index (pools, i);
      if (snipe_pool_id_equal (&pool->id, id))
        return pool;
    }
  pool = g_new0 (struct pool_view, 1);
  pool->id = *id;
  pool->free_cpu = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  pool->slowdown = 1.0;
  g_ptr_array_add (pools, pool);
  return pool;
}

bool
snipe_views_can_serve (const GPtrArray *pools, const char *service,
                       snipe_time now)
{
  for (guint i = 0; i < pools->len; i++)
    {
      const struct pool_view *pool = g_ptr_array_index (pools, i);

      if (pool->owner != 0 && pool->total_cpu > 0 && now >= pool->retry_at
          && (service == NULL || strcmp (pool->id.service, service) == 0))
        return true;
    }
  return false;
}

void
snipe_views_pool_split (GPtrArray *pools, const struct snipe_pool_id *id,
                        snipe_time now)
{
  for (guint i = 0; i < pools->len; i++)
    {
      struct pool_view *pool = g_ptr_array_index (pools, i);

      if (pool->owner == 0 || pool->id.shards >= id->shards
          || !snipe_pool_id_same_group (&pool->id, id))
        continue;
      pool->owner = 0;
      pool->lost_at = now;
    }
}

void
snipe_views_owner_lost (GPtrArray *pools, uint64_t owner, snipe_time now)
{
  for (guint i = 0; i < pools->len; i++)
    {
      struct pool_view *pool = g_ptr_array_index (pools, i);

      if (pool->owner != owner)
        continue;
      pool->owner = 0;
      pool->lost_at = now;
    }
}
