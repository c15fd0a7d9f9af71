/* Which endpoints there are, as the store lists them or a peer tells. */
#include "node/private.h"

#include <string.h>

static void
remove_endpoint (struct snipe_node *node, const char *id, snipe_time now)
{
  const struct snipe_endpoint_entry *entry
      = g_hash_table_lookup (node->directory, id);
  struct snipe_pool_id pool_id;
  struct held_pool *pool;

  if (entry == NULL)
    return;
  snipe_node_log (node, "event=endpoint id=%s state=removed", id);
  pool_id = snipe_node_pool_of (node, entry);
  pool = snipe_node_find_pool (node, &pool_id);
  if (pool != NULL)
    snipe_pool_endpoint_remove (pool->pool, id, now);
  g_hash_table_remove (node->directory, id);
  node->directory_changes++;
  snipe_node_drain_pending (node, now);
}

void
snipe_node_endpoint_set (struct snipe_node *node,
                         const struct snipe_endpoint_entry *entry,
                         snipe_time now)
{
  struct snipe_endpoint_entry *copy = g_memdup2 (entry, sizeof *entry);
  const struct snipe_endpoint_entry *old
      = g_hash_table_lookup (node->directory, entry->id);
  bool begins_to_drain = entry->draining && old != NULL && !old->draining;
  struct snipe_pool_id id;
  struct held_pool *pool;

  /* Hundreds of lines at once would hold up a small host that has to claim its
   * pools; the first list is logged by its length. */
  if (node->directory_age.complete_since > 0
      && (old == NULL || old->draining != entry->draining
          || old->started_ms != entry->started_ms))
    snipe_node_log (node,
                    "event=endpoint id=%s state=%s address=%s domain=%s "
                    "cpu=%" G_GINT64_FORMAT " born=%" G_GINT64_FORMAT,
                    entry->id, entry->draining ? "draining" : "ready",
                    entry->address, entry->domain, entry->capacity.cpu,
                    entry->started_ms);
  if (old != NULL
      && (strcmp (old->service, entry->service) != 0
          || strcmp (old->domain, entry->domain) != 0))
    remove_endpoint (node, entry->id, now);
  g_hash_table_remove (node->unlisted, entry->id);
  g_hash_table_replace (node->directory, copy->id, copy);
  node->directory_changes++;
  id = snipe_node_pool_of (node, entry);
  pool = snipe_node_find_pool (node, &id);
  if (pool != NULL)
    snipe_pool_endpoint_set (pool->pool, entry, now);
  /* Hosts that are told of it leave this to the one that has read it. */
  else if (begins_to_drain && !node->being_told)
    snipe_node_send_drain (node, &id, entry);
  snipe_node_drain_pending (node, now);
}

void
snipe_node_endpoint_unlisted (struct snipe_node *node, const char *id,
                              snipe_time now)
{
  if (g_hash_table_contains (node->directory, id))
    g_hash_table_replace (node->unlisted, g_strdup (id),
                          g_memdup2 (&now, sizeof now));
}

static void
remove_gone (struct snipe_node *node, snipe_time now)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, node->unlisted);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (snipe_directory_is_gone (*(snipe_time *)value, node->store_since, now))
      {
        remove_endpoint (node, key, now);
        g_hash_table_iter_remove (&iter);
      }
}

void
snipe_node_set_store_reachable (struct snipe_node *node, bool reached,
                                snipe_time now)
{
  node->store_since = reached ? now : 0;
  if (!reached)
    node->directory_age = (struct snipe_directory_freshness){ 0 };
}

void
snipe_node_relay_endpoint_changes (struct snipe_node *node, uint64_t after,
                                   uint64_t version,
                                   const struct snipe_str *rows,
                                   snipe_time asked, snipe_time now)
{
  if (snipe_members_is_domain_leader (node->members)
      && snipe_reading_is_news (asked, 0, now))
    snipe_node_send_news (node, after, version, rows, now);
}

static struct snipe_reading
reading_of (const struct snipe_node *node)
{
  return (struct snipe_reading){
    .first = snipe_members_is_domain_leader (node->members),
    .owner = node->pools->len > 0,
    .known = g_hash_table_size (node->directory) > 0
             && node->directory_age.complete_since > 0,
    .heard = node->told_at,
  };
}

snipe_time
snipe_node_directory_read_due (const struct snipe_node *node, snipe_time asked)
{
  struct snipe_reading reading = reading_of (node);

  return snipe_reading_due (&reading, asked);
}

static void
note_source (struct snipe_node *node, snipe_time now)
{
  static const char *const names[] = { [SNIPE_READING_ALONE] = "store",
                                       [SNIPE_READING_FIRST] = "store_for_all",
                                       [SNIPE_READING_TOLD] = "peer" };
  struct snipe_reading reading = reading_of (node);
  enum snipe_reading_source source = snipe_reading_source (&reading, now);

  if (source == node->source)
    return;
  node->source = source;
  g_message ("store: event=endpoints_from source=%s known=%d "
             "told_ms_ago=%" G_GINT64_FORMAT,
             names[source], (int)reading.known,
             reading.heard == 0 ? -1 : (now - reading.heard) / SNIPE_MS);
}

void
snipe_node_check_endpoints (struct snipe_node *node, snipe_time now)
{
  remove_gone (node, now);
  note_source (node, now);
}

enum snipe_job_feasibility
snipe_node_fit (void *ctx, const struct snipe_coordinator_job *job,
                snipe_time now)
{
  const struct snipe_node *node = ctx;

  return snipe_directory_fit (node->directory, &node->directory_age, job, now);
}

void
snipe_node_directory_synced (struct snipe_node *node, snipe_time asked,
                             snipe_time now)
{
  struct snipe_directory_freshness *age = &node->directory_age;

  if (age->complete_since == 0)
    {
      age->complete_since = asked;
      g_message ("store: event=endpoints_read listed=%u",
                 g_hash_table_size (node->directory));
    }
  age->requested_at = asked;
  snipe_node_divide (node, now);
  for (guint i = 0; i < node->pools->len; i++)
    {
      struct held_pool *pool = g_ptr_array_index (node->pools, i);

      if (pool->claimed <= asked)
        snipe_pool_directory_synced (pool->pool);
    }
  snipe_coordinator_recheck_jobs (node->home, snipe_node_fit, node, now);
  snipe_node_drain_pending (node, now);
}
