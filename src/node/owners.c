/* Which pools this host owns: claims, and letting go. */
#include "node/private.h"

#include <string.h>

#include "snipe/status.h"

/* Ownership is decided after each change of the view, and this often besides,
 * for what only time brings about. */
#define OWNER_INTERVAL (100 * SNIPE_MS)
/* Calls that ask whether a pool of another domain can be reached. */
#define PROBES 3U
#define PROBE_INTERVAL (150 * SNIPE_MS)
#define REACHED_TIME (400 * SNIPE_MS)
/* From the first answer to the claim: the hosts of a domain that was only cut
 * off are heard by then. */
#define REACHED_SETTLE (500 * SNIPE_MS)
/* The owner with the higher token is heard within this time if it lives. */
#define FENCED_WAIT (300 * SNIPE_MS)

void
snipe_node_note_probe (struct snipe_node *node, const char *endpoint,
                       enum snipe_endpoint_answer answer, snipe_time now)
{
  const struct snipe_endpoint_entry *entry
      = g_hash_table_lookup (node->directory, endpoint);
  struct snipe_pool_id id;

  if (entry == NULL || answer == SNIPE_ANSWER_NONE
      || answer == SNIPE_ANSWER_UNREACHABLE)
    return;
  id = snipe_node_pool_of (node, entry);
  if (!snipe_pool_id_same_group (&node->reached, &id)
      || now - node->reached_at >= REACHED_TIME)
    node->reached_since = now;
  node->reached = id;
  node->reached_at = now;
}

/* A token above @p highest, and above those from before all hosts restarted:
 * the store's version only grows. */
static uint64_t
next_token (const struct snipe_node *node, uint64_t highest)
{
  uint64_t epoch
      = MAX (highest >> SNIPE_NODE_SLOT_BITS, node->store_version) + 1;

  return epoch << SNIPE_NODE_SLOT_BITS | node->slot;
}

static void
claim (struct snipe_node *node, const struct snipe_pool_id *id, uint64_t token,
       snipe_time now)
{
  struct snipe_pool_options options = SNIPE_POOL_OPTIONS_INIT;
  struct held_pool *held = g_new0 (struct held_pool, 1);
  GHashTableIter iter;
  gpointer value;

  held->node = node;
  held->id = *id;
  held->token = token;
  held->claimed = now;
  options.token = held->token;
  options.lease_max = node->options.lease_max;
  options.callbacks
      = (struct snipe_pool_callbacks){ .ctx = held,
                                       .start = snipe_held_start,
                                       .stop = snipe_held_stop,
                                       .poll = snipe_held_hold,
                                       .result = snipe_held_result };
  if (snipe_pool_new (&held->pool, &options, now) < 0)
    {
      g_warning ("pool: %s", snipe_status_last ());
      g_free (held);
      return;
    }
  g_message ("pool: event=claimed service=%s domain=%s shard=%u/%u "
             "token=%" G_GUINT64_FORMAT,
             id->service, id->domain, id->shard, id->shards, held->token);
  g_ptr_array_add (node->pools, held);
  g_hash_table_iter_init (&iter, node->directory);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_endpoint_entry *entry = value;

      struct snipe_pool_id of = snipe_node_pool_of (node, entry);

      if (snipe_pool_id_equal (&of, id))
        snipe_pool_endpoint_set (held->pool, entry, now);
    }
  node->hello_due = 0;
  node->owner_due = 0;
  node->options.callbacks.refresh_directory (node->options.callbacks.ctx);
  snipe_coordinator_set_owner (node->home, id, node->incarnation, token, now);
}

/* Whether the endpoints of a pool can be reached. A domain of which no host is
 * heard may only be cut off, and a claim from outside would take its pool from
 * the host that serves it as soon as the cut heals. */
static bool
can_reach (struct snipe_node *node, const struct snipe_pool_id *id,
           snipe_time now)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t sent = 0;

  if (strcmp (id->domain, node->options.domain) == 0)
    return true;
  if (snipe_pool_id_same_group (&node->reached, id)
      && now - node->reached_at < REACHED_TIME
      && now - node->reached_since >= REACHED_SETTLE)
    return true;
  if (now < node->probe_due)
    return false;
  node->probe_due = now + PROBE_INTERVAL;
  g_hash_table_iter_init (&iter, node->directory);
  while (sent < PROBES && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_endpoint_entry *entry = value;
      /* No endpoint obeys a token this low; its refusal is the answer. */
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
release (struct snipe_node *node, struct held_pool *pool, const char *why)
{
  g_message ("pool: event=released service=%s domain=%s shard=%u/%u "
             "token=%" G_GUINT64_FORMAT " reason=%s",
             pool->id.service, pool->id.domain, pool->id.shard,
             pool->id.shards, pool->token, why);
  g_ptr_array_remove (node->pools, pool);
  node->hello_due = 0;
  node->owner_due = 0;
}

/* A higher token was met, and nobody is heard who has it: a host that was
 * lost, or that only this host does not hear. */
static void
check_fence (struct snipe_node *node, struct held_pool *held, snipe_time now)
{
  struct snipe_pool_id id = held->id;
  uint64_t token = next_token (node, held->token);

  if (!snipe_pool_fenced (held->pool))
    return;
  if (held->fenced_at == 0)
    held->fenced_at = now;
  if (now - held->fenced_at < FENCED_WAIT)
    return;
  release (node, held, "a higher token was met");
  if (!node->leaving)
    claim (node, &id, token, now);
}

static void
carry_out (struct snipe_node *node, const struct snipe_pool_id *id,
           const struct snipe_ownership_result *result, snipe_time now)
{
  struct held_pool *held = snipe_node_find_pool (node, id);

  switch (result->action)
    {
    case SNIPE_OWN_RELEASE:
      release (node, held, "another host has claimed it");
      break;
    case SNIPE_OWN_CLAIM:
      if (!node->leaving && can_reach (node, id, now))
        claim (node, id, next_token (node, result->token), now);
      return;
    case SNIPE_OWN_KEEP:
      check_fence (node, held, now);
      break;
    case SNIPE_OWN_NONE:
      break;
    }
  if (result->owner != 0)
    snipe_coordinator_set_owner (node->home, id, result->owner, result->token,
                                 now);
}

void
snipe_node_decide_owners (struct snipe_node *node, snipe_time now)
{
  uint32_t count = node->known_pools->len;
  const struct snipe_pool_id *pools
      = (const struct snipe_pool_id *)node->known_pools->data;
  uint64_t *tokens;
  struct snipe_ownership_result *results;

  if (now < node->owner_due || count == 0)
    return;
  node->owner_due = now + OWNER_INTERVAL;
  tokens = g_new0 (uint64_t, count);
  results = g_new0 (struct snipe_ownership_result, count);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct held_pool *held = snipe_node_find_pool (node, &pools[i]);

      tokens[i] = held == NULL ? 0 : held->token;
    }
  snipe_members_plan_ownership (node->members, pools, tokens, count, results,
                                now);
  for (uint32_t i = 0; i < count; i++)
    carry_out (node, &pools[i], &results[i], now);
  g_free (tokens);
  g_free (results);
}
