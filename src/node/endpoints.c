/* The directory of endpoints, read from the store or relayed by a peer. */
#include "node/private.h"

#include <string.h>

#include "snipe/counter.h"

static void
remove_endpoint (struct snipe_node *node, const char *id, snipe_time now)
{
  const struct snipe_endpoint_entry *entry
      = g_hash_table_lookup (node->directory, id);
  struct snipe_pool_id pool_id;
  struct owned_pool *pool;

  if (entry == NULL)
    return;
  snipe_node_log (node, "event=endpoint id=%s state=removed", id);
  pool_id = snipe_node_pool_of (node, entry);
  pool = snipe_node_find_pool (node, &pool_id);
  if (pool != NULL)
    snipe_pool_endpoint_remove (pool->pool, id, now);
  g_hash_table_remove (node->directory, id);
  node->directory_revision++;
  snipe_node_process_local_queue (node, now);
}

snipe_time
snipe_node_list_age (const struct snipe_node *node, snipe_time now)
{
  return node->list_read_at == 0 ? INT64_MAX : now - node->list_read_at;
}

void
snipe_owned_pool_list_read (struct owned_pool *pool, snipe_time read_at)
{
  snipe_list_age_read (&pool->list, read_at);
  if (pool->claimed_at <= read_at)
    snipe_pool_directory_synced (pool->pool);
}

void
snipe_node_list_read (struct snipe_node *node, snipe_time read_at)
{
  node->list_read_at = MAX (node->list_read_at, read_at);
  for (guint i = 0; i < node->owned_pools->len; i++)
    snipe_owned_pool_list_read (g_ptr_array_index (node->owned_pools, i),
                                read_at);
}

static struct snipe_capacity
larger_capacity (const struct snipe_capacity *a,
                 const struct snipe_capacity *b)
{
  return (struct snipe_capacity){ .cpu = MAX (a->cpu, b->cpu),
                                  .mem_mb = MAX (a->mem_mb, b->mem_mb),
                                  .gpu = MAX (a->gpu, b->gpu) };
}

static bool
same_capacity (const struct snipe_capacity *a, const struct snipe_capacity *b)
{
  return a->cpu == b->cpu && a->mem_mb == b->mem_mb && a->gpu == b->gpu;
}

/* An entry that is written again tells the clock of that moment, and one that
 * another host sends tells none: the endpoint has drained since the first
 * reading of the same incarnation that told it. If this host has not read the
 * incarnation as ready before, it is not known for how long it has drained. */
static void
keep_drain_times (struct snipe_endpoint_entry *entry,
                  const struct snipe_endpoint_entry *old)
{
  if (!entry->draining)
    return;
  if (old == NULL || old->started_ms != entry->started_ms
      || (old->draining && old->draining_clock_ms == 0))
    {
      entry->draining_clock_ms = 0;
      entry->leaves_clock_ms = 0;
      return;
    }
  if (!old->draining)
    return;
  if (entry->leaves_clock_ms == 0)
    entry->leaves_clock_ms = old->leaves_clock_ms;
  if (entry->draining_clock_ms == 0
      || entry->draining_clock_ms > old->draining_clock_ms)
    entry->draining_clock_ms = old->draining_clock_ms;
}

void
snipe_node_endpoint_set (struct snipe_node *node,
                         const struct snipe_endpoint_entry *entry,
                         snipe_time now)
{
  struct snipe_endpoint_entry *copy;
  const struct snipe_endpoint_entry *old
      = g_hash_table_lookup (node->directory, entry->id);
  bool starts_draining = entry->draining && old != NULL && !old->draining;
  struct snipe_pool_id id;
  struct owned_pool *pool;

  snipe_node_tick_after_pause (node, now);
  if (old != NULL && snipe_endpoint_entry_is_older (entry, old))
    {
      snipe_counter_add (SNIPE_C_OLDER_ENTRIES, 1);
      snipe_node_log (node,
                      "event=endpoint_older id=%s version=%" G_GUINT64_FORMAT
                      " known=%" G_GUINT64_FORMAT " cpu=%" G_GINT64_FORMAT,
                      entry->id, entry->version, old->version,
                      entry->capacity.cpu);
      return;
    }
  copy = g_memdup2 (entry, sizeof *entry);
  copy->largest = entry->capacity;
  keep_drain_times (copy, old);
  if (old != NULL && old->started_ms == entry->started_ms)
    copy->largest = larger_capacity (&copy->largest, &old->largest);
  /* Hundreds of log lines at once would delay a small host that has to claim
   * its pools, so of the first read only the number of endpoints is logged. */
  if (node->directory_freshness.complete_since > 0
      && (old == NULL || old->draining != entry->draining
          || old->started_ms != entry->started_ms
          || !same_capacity (&old->capacity, &entry->capacity)))
    snipe_node_log (
        node,
        "event=endpoint id=%s state=%s address=%s domain=%s "
        "cpu=%" G_GINT64_FORMAT " born=%" G_GINT64_FORMAT
        " version=%" G_GUINT64_FORMAT " known_cpu=%" G_GINT64_FORMAT,
        entry->id, entry->draining ? "draining" : "ready", entry->address,
        entry->domain, entry->capacity.cpu, entry->started_ms, entry->version,
        old == NULL ? 0 : old->capacity.cpu);
  if (old != NULL
      && (strcmp (old->service, entry->service) != 0
          || strcmp (old->domain, entry->domain) != 0))
    remove_endpoint (node, entry->id, now);
  g_hash_table_remove (node->unlisted_endpoints, entry->id);
  g_hash_table_replace (node->directory, copy->id, copy);
  node->directory_revision++;
  id = snipe_node_pool_of (node, entry);
  pool = snipe_node_find_pool (node, &id);
  if (pool != NULL)
    snipe_pool_endpoint_set (pool->pool, copy, now);
  /* If a peer relayed the change, that peer has sent the drain message. */
  else if (starts_draining && !node->applying_relay)
    snipe_node_send_drain (node, &id, entry);
  snipe_node_process_local_queue (node, now);
}

void
snipe_node_endpoint_unlisted (struct snipe_node *node, const char *id,
                              snipe_time now)
{
  if (g_hash_table_contains (node->directory, id))
    g_hash_table_replace (node->unlisted_endpoints, g_strdup (id),
                          g_memdup2 (&now, sizeof now));
}

static void
remove_unlisted (struct snipe_node *node, snipe_time now)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, node->unlisted_endpoints);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (snipe_directory_is_gone (*(snipe_time *)value,
                                 node->store_reachable_since, now))
      {
        remove_endpoint (node, key, now);
        g_hash_table_iter_remove (&iter);
      }
}

void
snipe_node_set_store_reachable (struct snipe_node *node, bool reachable,
                                snipe_time now)
{
  node->store_reachable_since = reachable ? now : 0;
  if (!reachable)
    node->directory_freshness = (struct snipe_directory_freshness){ 0 };
}

void
snipe_node_relay_endpoint_changes (struct snipe_node *node, uint64_t after,
                                   uint64_t version,
                                   const struct snipe_str *rows,
                                   snipe_time requested_at, snipe_time now)
{
  if (snipe_members_is_domain_leader (node->members)
      && snipe_directory_sync_is_fresh (requested_at, 0, now))
    snipe_node_send_endpoint_changes (node, after, version, rows, now);
}

static bool
awaits_endpoint (const struct snipe_node *node, snipe_time now)
{
  if (node->last_crash_at > 0
      && now - node->last_crash_at < SNIPE_POOL_AWAIT_MAX)
    return true;
  for (guint i = 0; i < node->owned_pools->len; i++)
    if (snipe_pool_awaits_endpoint (
            ((struct owned_pool *)g_ptr_array_index (node->owned_pools, i))
                ->pool,
            now))
      return true;
  return false;
}

static struct snipe_directory_sync
sync_state (const struct snipe_node *node)
{
  return (struct snipe_directory_sync){
    .is_domain_leader = snipe_members_is_domain_leader (node->members),
    .owns_pool = node->owned_pools->len > 0,
    .complete = g_hash_table_size (node->directory) > 0
                && node->directory_freshness.complete_since > 0,
    .awaits_endpoint = awaits_endpoint (node, node->last_tick),
    .last_relay = node->last_relay,
  };
}

snipe_time
snipe_node_directory_read_due (const struct snipe_node *node,
                               snipe_time requested_at)
{
  struct snipe_directory_sync sync = sync_state (node);

  return snipe_directory_sync_due (&sync, requested_at);
}

static void
log_source_change (struct snipe_node *node, snipe_time now)
{
  static const char *const names[]
      = { [SNIPE_DIRECTORY_SOURCE_STORE] = "store",
          [SNIPE_DIRECTORY_SOURCE_STORE_AS_LEADER] = "store_for_all",
          [SNIPE_DIRECTORY_SOURCE_PEER] = "peer" };
  struct snipe_directory_sync sync = sync_state (node);
  enum snipe_directory_source source
      = snipe_directory_sync_source (&sync, now);

  if (source == node->directory_source)
    return;
  node->directory_source = source;
  g_message ("store: event=endpoints_from source=%s known=%d "
             "told_ms_ago=%" G_GINT64_FORMAT,
             names[source], (int)sync.complete,
             sync.last_relay == 0 ? -1 : (now - sync.last_relay) / SNIPE_MS);
}

void
snipe_node_check_endpoints (struct snipe_node *node, snipe_time now)
{
  remove_unlisted (node, now);
  log_source_change (node, now);
}

enum snipe_job_feasibility
snipe_node_job_feasibility (void *ctx, const struct snipe_coordinator_job *job,
                            snipe_time now)
{
  const struct snipe_node *node = ctx;

  return snipe_directory_feasibility (node->directory,
                                      &node->directory_freshness, job, now);
}

void
snipe_node_directory_synced (struct snipe_node *node, snipe_time requested_at,
                             snipe_time now)
{
  struct snipe_directory_freshness *freshness = &node->directory_freshness;

  snipe_node_tick_after_pause (node, now);
  if (freshness->complete_since == 0)
    {
      freshness->complete_since = requested_at;
      g_message ("store: event=endpoints_read listed=%u",
                 g_hash_table_size (node->directory));
    }
  freshness->requested_at = requested_at;
  snipe_node_split_pools (node, now);
  snipe_node_list_read (node, requested_at);
  snipe_coordinator_recheck_jobs (node->coordinator,
                                  snipe_node_job_feasibility, node, now);
  snipe_node_process_local_queue (node, now);
}
