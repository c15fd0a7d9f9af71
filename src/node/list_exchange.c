/* The list of endpoints by way of another host: a host whose list is old asks
 * one that has a newer list for the entries of its own pools. */
#include "node/private.h"

#include <string.h>

#include "snipe/status.h"

/* Within this time after contact was regained, hosts that have a newer list
 * are heard, or the store is. */
#define SOURCE_TIME (1500 * SNIPE_MS)
/* Bounds of a capacity that another host may name. */
#define CAPACITY_MAX ((int64_t)1 << 40)

static bool
is_in_pool (const struct snipe_endpoint_entry *entry,
            const struct snipe_pool_id *id)
{
  return strcmp (entry->service, id->service) == 0
         && strcmp (entry->domain, id->domain) == 0
         && snipe_pool_id_shard_of (entry->id, id->shards) == id->shard;
}

/* @return a digest of what a list of endpoints says of one that matters for
 * starts there. */
static uint64_t
entry_digest (const struct snipe_endpoint_entry *entry)
{
  const uint64_t values[] = { g_str_hash (entry->id),
                              g_str_hash (entry->address),
                              g_str_hash (entry->kind),
                              g_str_hash (entry->rack),
                              (uint64_t)entry->started_ms,
                              (uint64_t)entry->capacity.cpu,
                              (uint64_t)entry->capacity.mem_mb,
                              (uint64_t)entry->capacity.gpu,
                              entry->draining };
  uint64_t digest = 1;

  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    digest = (digest ^ values[i]) * UINT64_C (0x9e3779b97f4a7c15);
  return digest;
}

/* Collects the endpoints of a pool, borrowed from the directory.
 * @return a digest of them, whatever their order */
static uint64_t
collect_pool (const struct snipe_node *node, const struct snipe_pool_id *id,
              GPtrArray *entries)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t digest = 0;

  g_hash_table_iter_init (&iter, node->directory);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_in_pool (value, id))
      {
        digest += entry_digest (value);
        g_ptr_array_add (entries, value);
      }
  return digest;
}

static uint64_t
pool_digest (const struct snipe_node *node, const struct snipe_pool_id *id)
{
  GPtrArray *entries = g_ptr_array_new ();
  uint64_t digest = collect_pool (node, id, entries);

  g_ptr_array_free (entries, TRUE);
  return digest;
}

static void
send_request (struct snipe_node *node, uint64_t source, const GPtrArray *pools,
              snipe_time read_at, snipe_time now)
{
  link_listed_pool *listed = g_new0 (link_listed_pool, pools->len);
  struct snipe_link_message message
      = { .procedure = LINK_SEND_LIST_REQUEST,
          .args.list_request
          = { .pools = { .pools_len = pools->len, .pools_val = listed } } };
  snipe_time oldest = now;
  bool sent;

  for (guint i = 0; i < pools->len; i++)
    {
      struct owned_pool *owned = g_ptr_array_index (pools, i);

      listed[i] = (link_listed_pool){
        .pool = snipe_node_encode_pool (&owned->id),
        .digest = pool_digest (node, &owned->id),
      };
      oldest = MIN (oldest, owned->list.read_at);
      snipe_list_age_requested (&owned->list, now);
    }
  node->list_source = source;
  sent = snipe_node_send_to (node, source, &message) == SNIPE_OK;
  snipe_node_log (
      node,
      "event=list_request host=%016" G_GINT64_MODIFIER
      "x list_ms=%" G_GINT64_FORMAT " theirs_ms=%" G_GINT64_FORMAT
      " store=%d pools=%u sent=%d",
      source, (now - oldest) / SNIPE_MS, (now - read_at) / SNIPE_MS,
      (int)(node->store_reachable_since > 0), pools->len, (int)sent);
  g_free (listed);
}

/* @return whether the lists of all pools are so recent that no newer one is
 * needed. */
static bool
lists_are_recent (const struct snipe_node *node, snipe_time now)
{
  for (guint i = 0; i < node->owned_pools->len; i++)
    if (!snipe_list_age_is_recent (
            &((struct owned_pool *)g_ptr_array_index (node->owned_pools, i))
                 ->list,
            now))
      return false;
  return true;
}

/* Collects the pools for which a list that was read at @p read_at has to be
 * requested. */
static GPtrArray *
list_due_pools (const struct snipe_node *node, snipe_time read_at,
                snipe_time now)
{
  GPtrArray *due = g_ptr_array_new ();

  for (guint i = 0; i < node->owned_pools->len; i++)
    {
      struct owned_pool *owned = g_ptr_array_index (node->owned_pools, i);

      if (!snipe_list_age_is_recent (&owned->list, now)
          && snipe_list_age_request_due (&owned->list, read_at, now))
        g_ptr_array_add (due, owned);
    }
  return due;
}

static void
update_lists (struct snipe_node *node, snipe_time read_at, snipe_time now)
{
  bool source_known
      = node->store_reachable_since > 0
        || (node->regained_at > 0 && now - node->regained_at < SOURCE_TIME);

  for (guint i = 0; i < node->owned_pools->len; i++)
    snipe_list_age_update (
        &((struct owned_pool *)g_ptr_array_index (node->owned_pools, i))->list,
        source_known, read_at, now);
}

void
snipe_node_request_list (struct snipe_node *node, snipe_time now)
{
  snipe_time read_at;
  uint64_t source;
  GPtrArray *due;

  if (lists_are_recent (node, now))
    return;
  source = snipe_members_newest_list (node->members, 0, &read_at, now);
  update_lists (node, read_at, now);
  if (source == node->list_source)
    {
      /* It has not answered: another host may have a newer list as well. */
      snipe_time other_read_at;
      uint64_t other = snipe_members_newest_list (node->members, source,
                                                  &other_read_at, now);

      due = list_due_pools (node, other_read_at, now);
      if (due->len > 0)
        send_request (node, other, due, other_read_at, now);
      g_ptr_array_free (due, TRUE);
    }
  due = list_due_pools (node, read_at, now);
  if (due->len > 0)
    send_request (node, source, due, read_at, now);
  g_ptr_array_free (due, TRUE);
}

static link_endpoint
encode_entry (const struct snipe_endpoint_entry *entry)
{
  return (link_endpoint){ .id = (char *)entry->id,
                          .address = (char *)entry->address,
                          .kind = (char *)entry->kind,
                          .rack = (char *)entry->rack,
                          .started_ms = entry->started_ms,
                          .entry_version = entry->version,
                          .cpu = entry->capacity.cpu,
                          .mem_mb = entry->capacity.mem_mb,
                          .gpu = entry->capacity.gpu,
                          .draining = entry->draining };
}

static void
encode_pool_list (link_pool_list *out, const struct snipe_pool_id *id,
                  const GPtrArray *entries)
{
  out->pool = snipe_node_encode_pool (id);
  out->endpoints.endpoints_len = MIN (entries->len, LINK_ENDPOINTS_MAX);
  out->endpoints.endpoints_val
      = g_new0 (link_endpoint, out->endpoints.endpoints_len);
  for (u_int i = 0; i < out->endpoints.endpoints_len; i++)
    out->endpoints.endpoints_val[i]
        = encode_entry (g_ptr_array_index (entries, i));
}

void
snipe_node_on_list_request (struct snipe_node *node, uint64_t sender,
                            const link_list_request *request, snipe_time now)
{
  u_int count = request->pools.pools_len;
  struct snipe_pool_id *ids = g_new0 (struct snipe_pool_id, count + 1);
  link_pool_list *lists = g_new0 (link_pool_list, count + 1);
  GPtrArray *entries = g_ptr_array_new ();
  struct snipe_link_message message
      = { .procedure = LINK_SEND_LIST,
          .args.list = { .sent_us = now,
                         .age_ms = snipe_node_encode_list_age (node, now),
                         .pools = { .pools_val = lists } } };
  u_int *written = &message.args.list.pools.pools_len;

  for (u_int i = 0; i < count; i++)
    {
      struct snipe_pool_id *id = &ids[*written];

      if (!snipe_node_decode_pool (id, &request->pools.pools_val[i].pool))
        continue;
      g_ptr_array_set_size (entries, 0);
      if (collect_pool (node, id, entries)
          == request->pools.pools_val[i].digest)
        g_ptr_array_set_size (entries, 0);
      encode_pool_list (&lists[(*written)++], id, entries);
    }
  if (snipe_node_send_to (node, sender, &message) < 0)
    snipe_node_log (node,
                    "event=list_unsent host=%016" G_GINT64_MODIFIER
                    "x reason=\"%s\"",
                    sender, snipe_status_last ());
  for (u_int i = 0; i < *written; i++)
    g_free (lists[i].endpoints.endpoints_val);
  g_ptr_array_free (entries, TRUE);
  g_free (lists);
  g_free (ids);
}

static bool
decode_entry (struct snipe_endpoint_entry *out, const link_endpoint *from,
              const struct snipe_pool_id *id)
{
  *out = (struct snipe_endpoint_entry){
    .started_ms = from->started_ms,
    .version = from->entry_version,
    .capacity = { .cpu = from->cpu, .mem_mb = from->mem_mb, .gpu = from->gpu },
    .draining = from->draining
  };
  g_strlcpy (out->service, id->service, sizeof out->service);
  g_strlcpy (out->domain, id->domain, sizeof out->domain);
  return *from->id != '\0'
         && g_strlcpy (out->id, from->id, sizeof out->id) < sizeof out->id
         && g_strlcpy (out->address, from->address, sizeof out->address)
                < sizeof out->address
         && g_strlcpy (out->kind, from->kind, sizeof out->kind)
                < sizeof out->kind
         && g_strlcpy (out->rack, from->rack, sizeof out->rack)
                < sizeof out->rack
         && from->cpu >= 0 && from->cpu <= CAPACITY_MAX && from->mem_mb >= 0
         && from->mem_mb <= CAPACITY_MAX && from->gpu >= 0
         && from->gpu <= CAPACITY_MAX && from->started_ms >= 0;
}

static void
apply_pool_list (struct snipe_node *node, const link_pool_list *list,
                 snipe_time read_at, snipe_time now)
{
  struct snipe_pool_id id;
  struct snipe_endpoint_entry entry;
  struct owned_pool *owned;

  if (!snipe_node_decode_pool (&id, &list->pool))
    return;
  for (u_int i = 0; i < list->endpoints.endpoints_len; i++)
    if (decode_entry (&entry, &list->endpoints.endpoints_val[i], &id))
      snipe_node_endpoint_set (node, &entry, now);
    else
      g_warning ("link: event=bad_endpoint service=%s domain=%s", id.service,
                 id.domain);
  owned = snipe_node_find_pool (node, &id);
  if (owned != NULL && read_at > 0)
    snipe_owned_pool_list_read (owned, read_at);
}

/* @return when the list in a message was read, 0: unknown. */
static snipe_time
decode_read_at (const struct snipe_node *node, uint64_t sender,
                const link_list *list, snipe_time now)
{
  snipe_time delay = snipe_members_delay (
      node->members, sender, snipe_node_decode_sent (list->sent_us), now);

  if (list->age_ms == UINT32_MAX || delay == INT64_MAX)
    return 0;
  return now - MAX (delay, 0) - (snipe_time)list->age_ms * SNIPE_MS;
}

void
snipe_node_on_list (struct snipe_node *node, uint64_t sender,
                    const link_list *list, snipe_time now)
{
  snipe_time read_at = decode_read_at (node, sender, list, now);
  uint64_t revision = node->directory_revision;

  if (node->list_source == sender)
    node->list_source = 0;
  node->applying_relay = true;
  for (u_int i = 0; i < list->pools.pools_len; i++)
    apply_pool_list (node, &list->pools.pools_val[i], read_at, now);
  node->applying_relay = false;
  snipe_node_log (node,
                  "event=list_received host=%016" G_GINT64_MODIFIER
                  "x age_ms=%" G_GINT64_FORMAT " pools=%u changed=%d",
                  sender, read_at == 0 ? -1 : (now - read_at) / SNIPE_MS,
                  list->pools.pools_len,
                  (int)(node->directory_revision != revision));
  if (node->directory_revision != revision)
    snipe_node_split_pools (node, now);
}
