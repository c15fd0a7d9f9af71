/* Evacuation of failure domains: applied to the pools of this host and told to
 * the other hosts, of which the store may turn some away. */
#include "node/private.h"

#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

static struct snipe_link_message
encode (const struct snipe_evacuation *evacuation)
{
  return (struct snipe_link_message){
    .procedure = LINK_SEND_EVACUATION,
    .args.evacuation = { .domain = (char *)evacuation->domain,
                         .evacuated = evacuation->evacuated,
                         .store_version = evacuation->version }
  };
}

/* Applies a change to the coordinator and the pools of this host. */
static void
apply (struct snipe_node *node, const struct snipe_evacuation *evacuation,
       const char *source, snipe_time now)
{
  uint32_t pools = 0;

  snipe_coordinator_set_evacuated (node->coordinator, evacuation->domain,
                                   evacuation->evacuated);
  for (guint i = 0; i < node->owned_pools->len; i++)
    {
      struct owned_pool *pool = g_ptr_array_index (node->owned_pools, i);

      if (strcmp (pool->id.domain, evacuation->domain) != 0)
        continue;
      pools++;
      snipe_pool_set_evacuated (pool->pool, evacuation->evacuated, now);
      /* The next tick reports the capacity to all hosts. */
      pool->same_domain_report = (struct load_report){ 0 };
      pool->other_domains_report = (struct load_report){ 0 };
    }
  snipe_counter_set (SNIPE_C_DOMAINS_EVACUATED,
                     snipe_evacuations_count (node->evacuations));
  g_message ("host: event=%s domain=%s version=%" G_GUINT64_FORMAT
             " source=%s pools=%u",
             evacuation->evacuated ? "evacuated" : "taken_back",
             evacuation->domain, evacuation->version, source, pools);
}

static void
tell_hosts (struct snipe_node *node, const struct snipe_evacuation *evacuation,
            snipe_time now)
{
  struct snipe_link_message message = encode (evacuation);

  snipe_node_send_to_hosts (node, &message, now);
}

void
snipe_node_evacuation_set (struct snipe_node *node, const char *domain,
                           bool evacuated, uint64_t version, snipe_time now)
{
  const struct snipe_evacuation evacuation
      = { .domain = domain, .evacuated = evacuated, .version = version };

  snipe_node_tick_after_pause (node, now);
  switch (snipe_evacuations_set (node->evacuations, &evacuation))
    {
    case SNIPE_EVACUATION_OLDER:
      return;
    case SNIPE_EVACUATION_CHANGED:
      apply (node, &evacuation, "store", now);
      break;
    case SNIPE_EVACUATION_SAME:
      break;
    }
  tell_hosts (node, &evacuation, now);
  snipe_node_process_local_queue (node, now);
}

struct sync
{
  struct snipe_node *node;
  snipe_time now;
};

static void
on_taken_back (void *ctx, const struct snipe_evacuation *evacuation)
{
  const struct sync *sync = ctx;

  apply (sync->node, evacuation, "store", sync->now);
  tell_hosts (sync->node, evacuation, sync->now);
}

void
snipe_node_evacuations_synced (struct snipe_node *node, uint64_t version,
                               snipe_time now)
{
  struct sync sync = { .node = node, .now = now };

  snipe_node_tick_after_pause (node, now);
  snipe_evacuations_synced (node->evacuations, version, on_taken_back, &sync);
  snipe_node_process_local_queue (node, now);
}

void
snipe_node_evacuate_claimed (struct snipe_node *node, struct owned_pool *pool,
                             snipe_time now)
{
  if (!snipe_evacuations_contains (node->evacuations, pool->id.domain))
    return;
  g_message ("pool: event=claimed_evacuated service=%s domain=%s shard=%u/%u",
             pool->id.service, pool->id.domain, pool->id.shard,
             pool->id.shards);
  snipe_pool_set_evacuated (pool->pool, true, now);
}

struct recipient
{
  struct snipe_node *node;
  const char *address;
};

static void
send_evacuation (void *ctx, const struct snipe_evacuation *evacuation)
{
  const struct recipient *to = ctx;
  struct snipe_link_message message = encode (evacuation);

  if (snipe_link_send (to->node->link, to->address, &message) < 0)
    snipe_node_log (to->node,
                    "event=evacuation_unsent domain=%s reason=\"%s\"",
                    evacuation->domain, snipe_status_last ());
}

void
snipe_node_send_evacuations (struct snipe_node *node, const char *address)
{
  struct recipient to = { .node = node, .address = address };

  snipe_evacuations_each (node->evacuations, send_evacuation, &to);
}

/* A change is passed on, in case its sender does not reach all hosts. */
void
snipe_node_on_evacuation (struct snipe_node *node, const link_evacuation *from,
                          snipe_time now)
{
  const struct snipe_evacuation evacuation
      = { .domain = from->domain,
          .evacuated = from->evacuated,
          .version = from->store_version };

  switch (snipe_evacuations_set (node->evacuations, &evacuation))
    {
    case SNIPE_EVACUATION_OLDER:
    case SNIPE_EVACUATION_SAME:
      break;
    case SNIPE_EVACUATION_CHANGED:
      apply (node, &evacuation, "peer", now);
      tell_hosts (node, &evacuation, now);
      break;
    }
}
