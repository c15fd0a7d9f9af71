/* What a host knows of the pools, from the reports of their owners. */
#include "coordinator/private.h"

#include <string.h>

static void
view_free (gpointer view)
{
  struct pool_view *pool = view;

  g_array_free (pool->free_cpu, TRUE);
  g_free (pool);
}

static guint
group_hash (gconstpointer id)
{
  return snipe_pool_id_group_hash (id);
}

static gboolean
group_equal (gconstpointer a, gconstpointer b)
{
  return snipe_pool_id_same_group (a, b);
}

static guint
id_hash (gconstpointer id)
{
  return snipe_pool_id_hash (id);
}

static gboolean
id_equal (gconstpointer a, gconstpointer b)
{
  return snipe_pool_id_equal (a, b);
}

void
snipe_views_init (struct views *views)
{
  views->pools = g_ptr_array_new_with_free_func (view_free);
  views->by_id = g_hash_table_new (id_hash, id_equal);
  views->groups
      = g_hash_table_new_full (group_hash, group_equal, NULL, g_free);
  views->evacuated_domains
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
snipe_views_clear (struct views *views)
{
  g_hash_table_destroy (views->by_id);
  g_ptr_array_free (views->pools, TRUE);
  g_hash_table_destroy (views->groups);
  g_hash_table_destroy (views->evacuated_domains);
}

static guint
shard_level (const struct snipe_pool_id *id)
{
  return g_bit_storage (id->shards) - 1;
}

/* Whether the endpoints of the pool have since been split into more pools. */
static bool
is_outdated (const struct view_group *group, const struct snipe_pool_id *id)
{
  for (guint level = shard_level (id) + 1; level < SHARD_LEVELS; level++)
    if (group->owned_counts[level] > 0)
      return true;
  return false;
}

static bool
has_earlier_owner (const struct view_group *group,
                   const struct snipe_pool_id *id)
{
  for (guint level = 0; level < shard_level (id); level++)
    if (group->owned_counts[level] > 0)
      return true;
  return false;
}

static struct view_group *
find_group (struct views *views, const struct snipe_pool_id *id)
{
  struct view_group *group = g_hash_table_lookup (views->groups, id);

  if (group != NULL)
    return group;
  group = g_new0 (struct view_group, 1);
  group->id = *id;
  group->evacuated
      = g_hash_table_contains (views->evacuated_domains, id->domain);
  g_hash_table_insert (views->groups, &group->id, group);
  return group;
}

struct pool_view *
snipe_views_find (struct views *views, const struct snipe_pool_id *id)
{
  struct pool_view *pool = g_hash_table_lookup (views->by_id, id);
  struct view_group *group
      = pool != NULL ? pool->group : find_group (views, id);

  /* A heartbeat sent before the split may arrive after it. */
  if (is_outdated (group, id))
    return NULL;
  if (pool != NULL)
    return pool;
  pool = g_new0 (struct pool_view, 1);
  pool->id = *id;
  pool->group = group;
  pool->free_cpu = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  pool->slowdown = 1.0;
  g_ptr_array_add (views->pools, pool);
  g_hash_table_insert (views->by_id, &pool->id, pool);
  return pool;
}

void
snipe_view_set_owner (struct pool_view *pool, uint64_t owner)
{
  uint32_t *count = &pool->group->owned_counts[shard_level (&pool->id)];

  *count -= pool->owner != 0;
  *count += owner != 0;
  pool->owner = owner;
}

bool
snipe_views_can_serve (const GPtrArray *pools, const char *service,
                       snipe_time now)
{
  for (guint i = 0; i < pools->len; i++)
    {
      const struct pool_view *pool = g_ptr_array_index (pools, i);

      if (pool->owner != 0 && pool->total_cpu > 0 && now >= pool->retry_at
          && !pool->group->evacuated
          && (service == NULL || strcmp (pool->id.service, service) == 0))
        return true;
    }
  return false;
}

void
snipe_views_set_evacuated (struct views *views, const char *domain,
                           bool evacuated)
{
  GHashTableIter iter;
  gpointer value;

  if (evacuated)
    g_hash_table_add (views->evacuated_domains, g_strdup (domain));
  else
    g_hash_table_remove (views->evacuated_domains, domain);
  g_hash_table_iter_init (&iter, views->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct view_group *group = value;

      if (strcmp (group->id.domain, domain) == 0)
        group->evacuated = evacuated;
    }
}

bool
snipe_views_all_evacuated (const GPtrArray *pools, const char *service)
{
  bool some = false;

  for (guint i = 0; i < pools->len; i++)
    {
      const struct pool_view *pool = g_ptr_array_index (pools, i);

      if (service != NULL && strcmp (pool->id.service, service) != 0)
        continue;
      if (!pool->group->evacuated)
        return false;
      some = true;
    }
  return some;
}

/* Whether tasks of the service may be sent to the pool: its owner is known,
 * and its domain is not evacuated. */
static bool
is_usable (const struct pool_view *pool, const char *service)
{
  return pool->owner != 0 && pool->total_cpu > 0 && !pool->group->evacuated
         && strcmp (pool->id.service, service) == 0;
}

void
snipe_views_sum_room (struct snipe_retry_room *out, const GPtrArray *pools,
                      const char *service)
{
  *out = (struct snipe_retry_room){ 0 };
  for (guint i = 0; i < pools->len; i++)
    {
      const struct pool_view *pool = g_ptr_array_index (pools, i);

      if (!is_usable (pool, service))
        continue;
      out->total_cpu += pool->total_cpu;
      out->backlog += pool->backlog;
      out->pools++;
    }
}

void
snipe_views_pool_split (struct views *views, const struct snipe_pool_id *id,
                        snipe_time now)
{
  const struct view_group *group = g_hash_table_lookup (views->groups, id);

  if (group == NULL || !has_earlier_owner (group, id))
    return;
  for (guint i = 0; i < views->pools->len; i++)
    {
      struct pool_view *pool = g_ptr_array_index (views->pools, i);

      if (pool->group != group || pool->owner == 0
          || pool->id.shards >= id->shards)
        continue;
      snipe_view_set_owner (pool, 0);
      pool->lost_at = now;
    }
}

void
snipe_views_owner_lost (struct views *views, uint64_t owner, snipe_time now)
{
  for (guint i = 0; i < views->pools->len; i++)
    {
      struct pool_view *pool = g_ptr_array_index (views->pools, i);

      if (pool->owner != owner)
        continue;
      snipe_view_set_owner (pool, 0);
      pool->lost_at = now;
    }
}
