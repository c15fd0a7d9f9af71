/* Ownership of pools: claim and release. */
#include "node/private.h"

#include <stdlib.h>
#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

/* Ownership is decided after each change of the view of hosts, and also at
 * this interval, as some decisions depend on time only. */
#define OWNERSHIP_INTERVAL (100 * SNIPE_MS)
/* Probes test whether the endpoints of a pool of another domain are reachable.
 */
#define PROBES_MAX 3U
#define PROBE_INTERVAL (150 * SNIPE_MS)
#define PROBE_REPLY_VALID (400 * SNIPE_MS)
/* Time from the first answer to the claim. If the domain was only partitioned,
 * messages of its hosts arrive within it. */
#define PROBE_SETTLE_DELAY (500 * SNIPE_MS)
/* A live owner with the higher token is known to this host within this time
 * of the first rejection, or of the end of a cut. */
#define FENCED_RELEASE_DELAY (300 * SNIPE_MS)

void
snipe_node_note_probe_reply (struct snipe_node *node, const char *endpoint,
                             enum snipe_endpoint_answer answer, snipe_time now)
{
  const struct snipe_endpoint_entry *entry
      = g_hash_table_lookup (node->directory, endpoint);
  struct snipe_pool_id id;

  if (entry == NULL || answer == SNIPE_ANSWER_NONE
      || answer == SNIPE_ANSWER_UNREACHABLE || answer == SNIPE_ANSWER_REFUSED)
    return;
  id = snipe_node_pool_of (node, entry);
  if (!snipe_pool_id_same_group (&node->probed_group, &id)
      || now - node->probe_answered_at >= PROBE_REPLY_VALID)
    node->probe_answered_since = now;
  node->probed_group = id;
  node->probe_answered_at = now;
}

/* Returns a token above @p highest and above all tokens from before a restart
 * of all hosts, as the version of the store only grows. */
static uint64_t
next_token (const struct snipe_node *node, uint64_t highest)
{
  uint64_t epoch
      = MAX (highest >> SNIPE_NODE_TOKEN_HOST_BITS, node->store_version) + 1;

  return epoch << SNIPE_NODE_TOKEN_HOST_BITS | node->token_host_id;
}

static void
on_locality (void *ctx, const struct snipe_pool_locality *locality)
{
  static const char *const decisions[] = { [SNIPE_LOCALITY_NEAR] = "near",
                                           [SNIPE_LOCALITY_WAIT] = "wait",
                                           [SNIPE_LOCALITY_FAR] = "far" };
  static const enum snipe_counter counters[]
      = { [SNIPE_LOCALITY_NEAR] = SNIPE_C_LOCALITY_NEAR,
          [SNIPE_LOCALITY_WAIT] = SNIPE_C_LOCALITY_WAITED,
          [SNIPE_LOCALITY_FAR] = SNIPE_C_LOCALITY_FAR };
  const struct owned_pool *owned = ctx;

  snipe_counter_add (counters[locality->choice], 1);
  snipe_node_log (
      owned->node,
      "event=locality job=%s batch=%" G_GUINT64_FORMAT
      " coordinator=%016" G_GINT64_MODIFIER
      "x rack=%s near_wait_ms=%" G_GINT64_FORMAT
      " factor=%.2f left_ms=%" G_GINT64_FORMAT
      " decision=%s wait_max_ms=%" G_GINT64_FORMAT,
      locality->job, locality->batch, locality->coordinator, locality->rack,
      locality->near_wait < 0 ? -1 : locality->near_wait / SNIPE_MS,
      locality->factor, locality->left / SNIPE_MS, decisions[locality->choice],
      locality->wait_max / SNIPE_MS);
}

static void
claim_pool (struct snipe_node *node, const struct snipe_pool_id *id,
            uint64_t token, snipe_time now)
{
  struct snipe_pool_options options = SNIPE_POOL_OPTIONS_INIT;
  struct owned_pool *owned = g_new0 (struct owned_pool, 1);
  GHashTableIter iter;
  gpointer value;

  owned->node = node;
  owned->id = *id;
  owned->token = token;
  owned->claimed_at = now;
  options.token = owned->token;
  options.lease_max = node->options.lease_max;
  options.resend_after = node->options.resend_after;
  options.stop_max = node->options.stop_max;
  options.round_trip_max = snipe_members_round_trip_max (node->members);
  options.spread_load = node->options.spread_load;
  options.shared_order = node->options.shared_order;
  options.crashes = node->crashes;
  options.remote_factor = node->options.remote_factor;
  options.drain_max = node->options.drain_max;
  options.whole_jobs = node->options.whole_jobs;
  snipe_list_age_read (&owned->list, node->list_read_at);
  options.list = &owned->list;
  options.callbacks = (struct snipe_pool_callbacks){
    .ctx = owned,
    .start = snipe_owned_pool_start,
    .stop = snipe_owned_pool_stop,
    .poll = snipe_owned_pool_poll,
    .result = snipe_owned_pool_result,
    .granted = snipe_owned_pool_granted,
    .assumed_end = snipe_owned_pool_assumed_end,
    .lease = snipe_owned_pool_lease,
    .found_run = snipe_owned_pool_found_run,
    .late_end = snipe_owned_pool_late_end,
    .given_up = snipe_owned_pool_given_up,
    .locality = on_locality,
    .whole = snipe_owned_pool_whole,
    .displaced = snipe_owned_pool_displaced,
    .coordinator_heard = snipe_owned_pool_coordinator_heard,
  };
  if (snipe_pool_new (&owned->pool, &options, now) < 0)
    {
      g_warning ("pool: cannot claim: %s", snipe_status_last ());
      g_free (owned);
      return;
    }
  g_message ("pool: event=claimed service=%s domain=%s shard=%u/%u "
             "token=%" G_GUINT64_FORMAT " list_ms=%" G_GINT64_FORMAT,
             id->service, id->domain, id->shard, id->shards, owned->token,
             snipe_node_list_age (node, now) / SNIPE_MS);
  g_ptr_array_add (node->owned_pools, owned);
  g_hash_table_iter_init (&iter, node->directory);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_endpoint_entry *entry = value;

      struct snipe_pool_id pool_id = snipe_node_pool_of (node, entry);

      if (snipe_pool_id_equal (&pool_id, id))
        snipe_pool_endpoint_set (owned->pool, entry, now);
    }
  snipe_node_evacuate_claimed (node, owned, now);
  node->full_heartbeat_due = 0;
  node->ownership_due = 0;
  node->options.callbacks.refresh_directory (node->options.callbacks.ctx);
  snipe_node_request_list (node, now);
  snipe_coordinator_set_owner (node->coordinator, id, node->incarnation, token,
                               now);
}

/* Returns whether the endpoints of a pool are reachable. A domain without a
 * live host may only be partitioned, and a claim from outside would take the
 * pool from the host that serves it as soon as the partition heals. */
static bool
is_pool_reachable (struct snipe_node *node, const struct snipe_pool_id *id,
                   snipe_time now)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t sent = 0;

  if (strcmp (id->domain, node->options.domain) == 0)
    return true;
  if (snipe_pool_id_same_group (&node->probed_group, id)
      && now - node->probe_answered_at < PROBE_REPLY_VALID
      && now - node->probe_answered_since >= PROBE_SETTLE_DELAY)
    return true;
  if (now < node->probe_due)
    return false;
  node->probe_due = now + PROBE_INTERVAL;
  g_hash_table_iter_init (&iter, node->directory);
  while (sent < PROBES_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_endpoint_entry *entry = value;
      struct snipe_pool_poll_request probe = { .endpoint = entry,
                                               .token = SNIPE_NODE_PROBE_TOKEN,
                                               .timeout = PROBE_INTERVAL };

      if (strcmp (entry->service, id->service) != 0
          || strcmp (entry->domain, id->domain) != 0)
        continue;
      node->options.callbacks.poll (node->options.callbacks.ctx, &probe);
      sent++;
    }
  return false;
}

static void
release_pool (struct snipe_node *node, struct owned_pool *pool,
              const char *reason)
{
  g_message ("pool: event=released service=%s domain=%s shard=%u/%u "
             "token=%" G_GUINT64_FORMAT " reason=%s",
             pool->id.service, pool->id.domain, pool->id.shard,
             pool->id.shards, pool->token, reason);
  g_ptr_array_remove (node->owned_pools, pool);
  node->full_heartbeat_due = 0;
  node->ownership_due = 0;
}

/* Whether most of the listed hosts are not heard: rather than all of them,
 * this host is lost. */
static bool
is_cut_off (const struct snipe_node *node)
{
  GHashTableIter iter;
  gpointer key;
  guint live = 0;

  g_hash_table_iter_init (&iter, node->listed_hosts);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    live += snipe_members_find_by_address (node->members, key) != NULL;
  return 2 * live < g_hash_table_size (node->listed_hosts);
}

/* A host that is cut off and has an old list leaves a pool to the host that
 * has claimed it and that it cannot hear. Each claim raises the token: after
 * some seconds it would take the pool from that host. */
static bool
leaves_fenced (struct snipe_node *node, struct owned_pool *owned,
               snipe_time now)
{
  if (!snipe_list_age_is_old (&owned->list, now) || !is_cut_off (node))
    return false;
  if (!owned->left_fenced)
    g_message ("pool: event=left_fenced service=%s domain=%s shard=%u/%u "
               "token=%" G_GUINT64_FORMAT " list_ms=%" G_GINT64_FORMAT,
               owned->id.service, owned->id.domain, owned->id.shard,
               owned->id.shards, owned->token,
               (now - owned->list.read_at) / SNIPE_MS);
  owned->left_fenced = true;
  return true;
}

/* An endpoint reported a higher token, but no live host claims the pool with
 * it: its owner is lost, or only its messages to this host are. */
static void
reclaim_if_fenced (struct snipe_node *node, struct owned_pool *owned,
                   snipe_time now)
{
  struct snipe_pool_id id = owned->id;
  uint64_t token = next_token (node, owned->token);

  if (!snipe_pool_fenced (owned->pool))
    return;
  if (owned->fenced_since == 0)
    owned->fenced_since = now;
  if (now - MAX (owned->fenced_since, node->regained_at)
      < FENCED_RELEASE_DELAY)
    return;
  /* Until it has a newer list, it would start nothing. */
  if (snipe_list_age_is_awaited (&owned->list, owned->claimed_at, now)
      || leaves_fenced (node, owned, now))
    return;
  release_pool (node, owned, "an endpoint reported a higher token");
  if (!node->leaving)
    claim_pool (node, &id, token, now);
}

void
snipe_node_claim_heard (struct snipe_node *node,
                        const struct snipe_claim *claim, snipe_time now)
{
  struct owned_pool *owned = snipe_node_find_pool (node, &claim->pool);

  if (owned != NULL && claim->token < owned->token)
    snipe_pool_earlier_owner_heard (owned->pool, now);
}

/* @p owned is the pool if this host owns it, NULL if not. */
static void
apply_ownership (struct snipe_node *node, const struct snipe_pool_id *id,
                 struct owned_pool *owned,
                 const struct snipe_ownership_result *result, snipe_time now)
{
  switch (result->action)
    {
    case SNIPE_OWN_RELEASE:
      if (owned != NULL)
        release_pool (node, owned, "another host has claimed it");
      break;
    case SNIPE_OWN_CLAIM:
      if (!node->leaving && is_pool_reachable (node, id, now))
        claim_pool (node, id, next_token (node, result->token), now);
      return;
    case SNIPE_OWN_KEEP:
      if (owned != NULL)
        reclaim_if_fenced (node, owned, now);
      break;
    case SNIPE_OWN_NONE:
      break;
    }
  if (result->owner != 0)
    snipe_coordinator_set_owner (node->coordinator, id, result->owner,
                                 result->token, now);
}

static int
compare_ids (const void *a, const void *b)
{
  return snipe_pool_id_compare (a, b);
}

/* Returns the pools that this host owns in the order of the list of all pools,
 * with NULL for the others. */
static struct owned_pool **
sort_owned_pools (const struct snipe_node *node)
{
  struct owned_pool **sorted
      = g_new0 (struct owned_pool *, node->all_pools->len);
  const struct snipe_pool_id *pools
      = (const struct snipe_pool_id *)node->all_pools->data;

  for (guint i = 0; i < node->owned_pools->len; i++)
    {
      struct owned_pool *owned = g_ptr_array_index (node->owned_pools, i);
      const struct snipe_pool_id *id = bsearch (
          &owned->id, pools, node->all_pools->len, sizeof *pools, compare_ids);

      if (id != NULL)
        sorted[id - pools] = owned;
    }
  return sorted;
}

void
snipe_node_update_ownership (struct snipe_node *node, snipe_time now)
{
  uint32_t count = node->all_pools->len;
  const struct snipe_pool_id *pools
      = (const struct snipe_pool_id *)node->all_pools->data;
  struct owned_pool **owned;
  uint64_t *tokens;
  struct snipe_ownership_result *results;

  if (now < node->ownership_due || count == 0)
    return;
  node->ownership_due = now + OWNERSHIP_INTERVAL;
  owned = sort_owned_pools (node);
  tokens = g_new0 (uint64_t, count);
  results = g_new0 (struct snipe_ownership_result, count);
  for (uint32_t i = 0; i < count; i++)
    tokens[i] = owned[i] == NULL ? 0 : owned[i]->token;
  snipe_members_plan_ownership (node->members, pools, tokens, count, results,
                                now);
  for (uint32_t i = 0; i < count; i++)
    apply_ownership (node, &pools[i], owned[i], &results[i], now);
  g_free (owned);
  g_free (tokens);
  g_free (results);
}
