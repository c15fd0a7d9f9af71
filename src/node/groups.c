/* How the endpoints of a service in a domain are split into pools.
 *
 * The number of pools follows the number of endpoints and only grows while the
 * process runs. A host that learns from a peer of more pools than it has
 * adopts the higher number, so that all hosts soon agree after a change. */
#include "node/private.h"

#include <string.h>

#include "node/capacity.h"

static struct endpoint_group *
find_group (const struct snipe_node *node, const char *service,
            const char *domain)
{
  for (guint i = 0; i < node->groups->len; i++)
    {
      struct endpoint_group *group = g_ptr_array_index (node->groups, i);

      if (strcmp (group->id.service, service) == 0
          && strcmp (group->id.domain, domain) == 0)
        return group;
    }
  return NULL;
}

static struct endpoint_group *
add_group (struct snipe_node *node, const char *service, const char *domain)
{
  struct endpoint_group *group = find_group (node, service, domain);

  if (group != NULL)
    return group;
  group = g_new0 (struct endpoint_group, 1);
  group->id.shards = 1;
  g_strlcpy (group->id.service, service, sizeof group->id.service);
  g_strlcpy (group->id.domain, domain, sizeof group->id.domain);
  g_ptr_array_add (node->groups, group);
  return group;
}

struct snipe_pool_id
snipe_node_pool_of (const struct snipe_node *node,
                    const struct snipe_endpoint_entry *entry)
{
  const struct endpoint_group *group
      = find_group (node, entry->service, entry->domain);
  struct snipe_pool_id id = { .shards = 1 };

  if (group != NULL)
    id = group->id;
  else
    {
      g_strlcpy (id.service, entry->service, sizeof id.service);
      g_strlcpy (id.domain, entry->domain, sizeof id.domain);
    }
  id.shard = snipe_pool_id_shard_of (entry->id, id.shards);
  return id;
}

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  return snipe_pool_id_compare (a, b);
}

static void
rebuild_pool_list (struct snipe_node *node)
{
  g_array_set_size (node->all_pools, 0);
  for (guint i = 0; i < node->groups->len; i++)
    {
      struct snipe_pool_id id
          = ((struct endpoint_group *)g_ptr_array_index (node->groups, i))->id;

      for (id.shard = 0; id.shard < id.shards; id.shard++)
        g_array_append_val (node->all_pools, id);
    }
  g_array_sort (node->all_pools, compare_ids);
}

static void
set_shards (struct snipe_node *node, struct endpoint_group *group,
            uint32_t shards, snipe_time now)
{
  g_message ("pool: event=divided service=%s domain=%s endpoints=%u "
             "pools=%u before=%u",
             group->id.service, group->id.domain, group->endpoint_count,
             shards, group->id.shards);
  group->id.shards = shards;
  for (guint i = node->owned_pools->len; i > 0; i--)
    {
      struct owned_pool *pool = g_ptr_array_index (node->owned_pools, i - 1);

      if (!snipe_pool_id_same_group (&pool->id, &group->id))
        continue;
      g_message ("pool: event=released service=%s domain=%s shard=%u/%u "
                 "token=%" G_GUINT64_FORMAT " reason=divided",
                 pool->id.service, pool->id.domain, pool->id.shard,
                 pool->id.shards, pool->token);
      g_ptr_array_remove_index (node->owned_pools, i - 1);
    }
  snipe_coordinator_pool_split (node->coordinator, &group->id, now);
  node->full_heartbeat_due = 0;
}

void
snipe_node_split_pools (struct snipe_node *node, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < node->groups->len; i++)
    ((struct endpoint_group *)g_ptr_array_index (node->groups, i))
        ->endpoint_count
        = 0;
  g_hash_table_iter_init (&iter, node->directory);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_endpoint_entry *entry = value;

      add_group (node, entry->service, entry->domain)->endpoint_count++;
    }
  for (guint i = 0; i < node->groups->len; i++)
    {
      struct endpoint_group *group = g_ptr_array_index (node->groups, i);
      uint32_t shards = snipe_pool_id_shards_for (
          group->endpoint_count,
          snipe_capacity_pool_endpoints (node->capacity));

      if (shards > group->id.shards)
        set_shards (node, group, shards, now);
    }
  rebuild_pool_list (node);
}

void
snipe_node_adopt_shards (struct snipe_node *node,
                         const struct snipe_pool_id *id, snipe_time now)
{
  struct endpoint_group *group = find_group (node, id->service, id->domain);

  if (group == NULL || id->shards <= group->id.shards)
    return;
  set_shards (node, group, id->shards, now);
  rebuild_pool_list (node);
}
