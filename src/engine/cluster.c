#include "engine/private.h"

#include <stdlib.h>
#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

/* A peer is considered lost after this many heartbeat intervals without a
 * message. */
#define PEER_TIMEOUT_HEARTBEATS 3.5
#define FULL_RATE_PEERS 8
#define HEARTBEAT_TIMEOUT (500 * SNIPE_MS)
#define OFFER_INTERVAL (5 * SNIPE_MS)
#define OWNERSHIP_INTERVAL (250 * SNIPE_MS)
#define RULES_FETCH_TIMEOUT (2 * SNIPE_S)
/* A peer that is not listed is removed after this time without a message. */
#define PEER_RETENTION (60 * SNIPE_S)

struct rules_fetch
{
  struct snipe_engine *engine;
  uint64_t incarnation;
};

struct peer *
engine_find_peer (struct snipe_engine *engine, uint64_t incarnation)
{
  return g_hash_table_lookup (engine->peers, &incarnation);
}

/** Interval between heartbeats to a peer. The heartbeats that a host sends
 * grow with the number of hosts; beyond FULL_RATE_PEERS, hosts of other
 * failure domains get them less often, so that their cost stays bounded.
 * Ownership of endpoints depends only on the hosts of this host's own failure
 * domain. */
static snipe_time
heartbeat_interval (const struct snipe_engine *engine, const struct peer *peer)
{
  guint peers = g_hash_table_size (engine->peers);

  if (peers <= FULL_RATE_PEERS || strcmp (peer->domain, engine->domain) == 0)
    return engine->options.heartbeat_interval;
  return engine->options.heartbeat_interval * peers / FULL_RATE_PEERS;
}

/** Whether a peer has sent nothing for too long. A newly listed peer is given
 * the same time for its first message. */
static bool
peer_timed_out (const struct snipe_engine *engine, const struct peer *peer,
                snipe_time now)
{
  snipe_time failure_timeout
      = (snipe_time)(PEER_TIMEOUT_HEARTBEATS
                     * (double)heartbeat_interval (engine, peer));

  return now - peer->last_received_at > failure_timeout
         && !(peer->listed && now - peer->first_seen_at <= failure_timeout);
}

bool
peer_is_live (const struct snipe_engine *engine, const struct peer *peer,
              snipe_time now)
{
  return !peer->leaving && !peer_timed_out (engine, peer, now);
}

void
engine_fill_load_report_locked (struct snipe_engine *engine, snipe_time now,
                                peer_load *out)
{
  struct snipe_peer_load load;
  const GPtrArray *domains = engine->owned_domains;
  peer_name *names = calloc (domains->len + 1, sizeof *names);

  if (names == NULL)
    g_error ("out of memory for a load report");
  snipe_sched_load_get (engine->sched, now, &load);
  *out = (peer_load){
    .incarnation = engine->options.incarnation,
    .name = g_strdup (engine->host),
    .address = g_strdup (engine->rpc_address),
    .domain = g_strdup (engine->domain),
    .capacity_weight_permille
    = (u_int)(engine->options.capacity_weight * 1000),
    .state = snipe_engine_draining (engine) ? PEER_LEAVING : PEER_LIVE,
    .rules_version
    = engine->rules == NULL ? 0 : snipe_rules_version (engine->rules),
    .free_slots = load.free_slots,
    .queued = load.queued,
    .best_speed_permille = (u_int)(load.best_speed * 1000),
  };
  if (snipe_engine_draining (engine))
    out->free_slots = 0;
  for (guint i = 0; i < domains->len; i++)
    names[i] = g_strdup (domains->pdata[i]);
  out->domains.domains_len = domains->len;
  out->domains.domains_val = names;
}

void
engine_fill_load_report (struct snipe_engine *engine, snipe_time now,
                         peer_load *out)
{
  pthread_mutex_lock (&engine->sched_lock);
  engine_fill_load_report_locked (engine, now, out);
  pthread_mutex_unlock (&engine->sched_lock);
}

static struct peer *
peer_add (struct snipe_engine *engine, uint64_t incarnation, snipe_time now)
{
  struct peer *peer = engine_find_peer (engine, incarnation);

  if (peer != NULL)
    return peer;
  peer = g_new0 (struct peer, 1);
  peer->incarnation = incarnation;
  peer->first_seen_at = now;
  peer->last_received_at = INT64_MIN / 2;
  peer->heartbeat_sent_at = INT64_MIN / 2;
  peer->capacity_weight = 1;
  g_hash_table_insert (engine->peers, &peer->incarnation, peer);
  engine->next_ownership_check = now;
  return peer;
}

/** Marks an older process at the same address as leaving: a new process has
 * replaced it. */
static void
retire_predecessor (struct snipe_engine *engine, const struct peer *successor)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engine->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      if (peer != successor && strcmp (peer->address, successor->address) == 0)
        peer->leaving = true;
    }
}

static void
peer_update_scheduler (struct snipe_engine *engine, const struct peer *peer,
                       uint32_t speed_permille, snipe_time now)
{
  struct snipe_peer_load load = {
    .incarnation = peer->incarnation,
    .domains = peer->domains,
    .free_slots = peer->free_slots,
    .queued = peer->queued,
    .best_speed = (float)speed_permille / 1000.0F,
    .live = !peer->leaving,
  };

  snipe_sched_peer_set (engine->sched, &load, now);
}

void
peer_set_free_slots (struct snipe_engine *engine, uint64_t incarnation,
                     uint32_t free_slots, snipe_time now)
{
  struct peer *peer = engine_find_peer (engine, incarnation);

  if (peer == NULL)
    return;
  peer->free_slots = free_slots;
  peer_update_scheduler (engine, peer, 0, now);
}

static void
rules_fetched (void *ctx, int status, union snipe_peer_reply *reply)
{
  struct rules_fetch *call = ctx;
  struct snipe_engine *engine = call->engine;
  struct peer *peer;

  pthread_mutex_lock (&engine->sched_lock);
  peer = engine_find_peer (engine, call->incarnation);
  if (peer != NULL)
    peer->fetching_rules = false;
  pthread_mutex_unlock (&engine->sched_lock);
  if (status == SNIPE_OK)
    {
      const struct snipe_str text = { .data = reply->rules.text.text_val,
                                      .len = reply->rules.text.text_len };

      engine_on_rules (engine, reply->rules.rules_version, &text);
    }
  g_free (call);
}

static void
fetch_rules (struct snipe_engine *engine, uint64_t incarnation,
             const char *address, snipe_time now)
{
  struct snipe_peer_call call = { .procedure = PEER_GET_RULES };
  struct rules_fetch *ctx = g_new0 (struct rules_fetch, 1);
  int status;

  ctx->engine = engine;
  ctx->incarnation = incarnation;
  engine_fill_load_report (engine, now, &call.args.load);
  status = snipe_peer_net_call (engine->dependencies.net, address, &call,
                                RULES_FETCH_TIMEOUT, rules_fetched, ctx);
  if (status < 0)
    rules_fetched (ctx, status, NULL);
}

void
engine_on_load_report (struct snipe_engine *engine, const peer_load *load,
                       snipe_time now)
{
  struct peer *peer;
  char address[ADDRESS_BYTES];
  bool fetch;

  if (load->incarnation == engine->options.incarnation
      || load->incarnation == 0)
    return;
  pthread_mutex_lock (&engine->sched_lock);
  peer = peer_add (engine, load->incarnation, now);
  if (!peer_is_live (engine, peer, now)
      || peer->leaving != (load->state == PEER_LEAVING))
    engine->next_ownership_check = now;
  if (strcmp (peer->address, load->address) != 0)
    {
      g_strlcpy (peer->address, load->address, sizeof peer->address);
      retire_predecessor (engine, peer);
    }
  g_strlcpy (peer->name, load->name, sizeof peer->name);
  g_strlcpy (peer->domain, load->domain, sizeof peer->domain);
  peer->capacity_weight = load->capacity_weight_permille / 1000.0;
  peer->leaving = load->state == PEER_LEAVING;
  peer->last_received_at = now;
  peer->lost = false;
  peer->rules_version = load->rules_version;
  peer->free_slots = load->free_slots;
  peer->queued = load->queued;
  peer->domains = 0;
  for (u_int i = 0; i < load->domains.domains_len; i++)
    {
      struct snipe_str name = { .data = load->domains.domains_val[i],
                                .len = strlen (load->domains.domains_val[i]) };

      peer->domains |= snipe_sched_domain (engine->sched, &name);
    }
  peer_update_scheduler (engine, peer, load->best_speed_permille, now);
  fetch = !peer->fetching_rules
          && load->rules_version > (engine->rules == NULL
                                        ? 0
                                        : snipe_rules_version (engine->rules));
  fetch = fetch && engine->dependencies.net != NULL;
  if (fetch)
    peer->fetching_rules = true;
  g_strlcpy (address, peer->address, sizeof address);
  pthread_mutex_unlock (&engine->sched_lock);
  if (fetch)
    fetch_rules (engine, load->incarnation, address, now);
}

/** Lists the hosts that the endpoints are split among, this host last. */
static struct snipe_owner_host *
list_owner_hosts (struct snipe_engine *engine, snipe_time now, uint32_t *count)
{
  struct snipe_owner_host *hosts = g_new0 (
      struct snipe_owner_host, g_hash_table_size (engine->peers) + 1);
  GHashTableIter iter;
  gpointer value;
  uint32_t n = 0;

  g_hash_table_iter_init (&iter, engine->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      hosts[n++] = (struct snipe_owner_host){
        .incarnation = peer->incarnation,
        .name = { .data = peer->name, .len = strlen (peer->name) },
        .domain = { .data = peer->domain, .len = strlen (peer->domain) },
        .capacity_weight
        = peer->capacity_weight > 0 ? peer->capacity_weight : 1,
        .live = peer_is_live (engine, peer, now),
      };
    }
  hosts[n++] = (struct snipe_owner_host){
    .incarnation = engine->options.incarnation,
    .name = { .data = engine->host, .len = strlen (engine->host) },
    .domain = { .data = engine->domain, .len = strlen (engine->domain) },
    .capacity_weight = engine->options.capacity_weight,
    .live = true,
  };
  *count = n;
  return hosts;
}

static void
add_owned_domain (GPtrArray *domains, const struct snipe_str *domain)
{
  for (guint i = 0; i < domains->len; i++)
    if (snipe_str_equal_c (domain, domains->pdata[i]))
      return;
  g_ptr_array_add (domains, g_strdup (snipe_str_c (domain)));
}

/** Adds the endpoints that this host owns to the scheduler and removes those
 * that it no longer owns; with the lock. */
static void
update_ownership (struct snipe_engine *engine, snipe_time now)
{
  GHashTable *owned
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct snipe_owner_host *hosts;
  GHashTableIter iter;
  gpointer key;
  uint32_t count;

  hosts = list_owner_hosts (engine, now, &count);
  g_ptr_array_set_size (engine->owned_domains, 0);
  for (guint i = 0; i < engine->endpoints->len; i++)
    {
      const struct snipe_endpoint_info *info = engine->endpoints->pdata[i];

      if (snipe_owner_find (hosts, count, &info->name, &info->domain)
          != (int)count - 1)
        continue;
      snipe_sched_endpoint_set (engine->sched, info, now);
      add_owned_domain (engine->owned_domains, &info->domain);
      g_hash_table_add (owned, g_strdup (snipe_str_c (&info->name)));
    }
  g_hash_table_iter_init (&iter, engine->owned_endpoints);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (owned, key))
      {
        struct snipe_str name = { .data = key, .len = strlen (key) };

        snipe_sched_endpoint_drop (engine->sched, &name, now);
      }
  g_hash_table_destroy (engine->owned_endpoints);
  engine->owned_endpoints = owned;
  engine->next_ownership_check = now + OWNERSHIP_INTERVAL;
  g_free (hosts);
}

void
engine_ownership_update (struct snipe_engine *engine, snipe_time now)
{
  pthread_mutex_lock (&engine->sched_lock);
  update_ownership (engine, now);
  pthread_mutex_unlock (&engine->sched_lock);
  engine_dispatch (engine, now);
}

static bool
peer_is_expired (const struct peer *peer, snipe_time now)
{
  return !peer->listed && now - peer->last_received_at > PEER_RETENTION
         && now - peer->first_seen_at > PEER_RETENTION;
}

/* With the lock. */
static void
remove_expired_peers (struct snipe_engine *engine, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engine->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;

      if (!peer_is_expired (peer, now))
        continue;
      /* A count that stays above 0 would take the lock for each offer. */
      if (peer->wants_offer)
        __atomic_sub_fetch (&engine->peers_wanting_offer, 1, __ATOMIC_RELAXED);
      g_hash_table_iter_remove (&iter);
    }
}

void
engine_check_peers (struct snipe_engine *engine, snipe_time now)
{
  GArray *actions;
  GPtrArray *ended;
  GHashTableIter iter;
  gpointer value;
  bool due;

  pthread_mutex_lock (&engine->sched_lock);
  due = now >= engine->next_ownership_check;
  if (!due)
    {
      pthread_mutex_unlock (&engine->sched_lock);
      return;
    }
  actions = g_array_new (FALSE, FALSE, sizeof (struct action));
  ended = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, engine->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      /* A leaving peer still completes the batches that it accepted. */
      if (peer->lost || !peer_timed_out (engine, peer, now))
        continue;
      peer->lost = true;
      g_message (
          "peer %s is lost (no message received); its batches are abandoned",
          peer->name);
      snipe_sched_peer_drop (engine->sched, peer->incarnation);
      offload_abandon_peer (engine, peer->incarnation, ended);
    }
  offload_abandon_overdue (engine, now, ended);
  remove_expired_peers (engine, now);
  update_ownership (engine, now);
  engine_take_decisions (engine, now, actions, ended);
  pthread_mutex_unlock (&engine->sched_lock);
  engine_execute_actions (engine, actions, ended, now);
}

static void
heartbeat_done (void *ctx, int status, union snipe_peer_reply *reply)
{
  struct snipe_engine *engine = ctx;
  snipe_time now = snipe_clock_now ();

  if (status != SNIPE_OK)
    return;
  engine_on_load_report (engine, &reply->load, now);
  engine_dispatch (engine, now);
}

static void
send_heartbeat (struct snipe_engine *engine, const char *address,
                uint32_t procedure, snipe_time now)
{
  struct snipe_peer_call call = { .procedure = procedure };

  engine_fill_load_report (engine, now, &call.args.load);
  snipe_peer_net_call (engine->dependencies.net, address, &call,
                       HEARTBEAT_TIMEOUT, heartbeat_done, engine);
}

/** Whether a heartbeat to a peer is due. Every message and every reply carries
 * the sender's load report, so a peer whose message arrived has also received
 * one from this host, and the next heartbeat can wait for a whole interval
 * from then on. */
static bool
heartbeat_due (const struct snipe_engine *engine, const struct peer *peer,
               snipe_time now)
{
  snipe_time interval = heartbeat_interval (engine, peer);

  if (now - peer->heartbeat_sent_at < interval)
    return false;
  /* One exchange serves both sides: the host with the greater incarnation
     leaves it to the other and sends one only if that is late. */
  if (engine->options.incarnation > peer->incarnation)
    interval += interval / 4;
  return now - peer->last_received_at >= interval;
}

static bool
discovery_due (struct snipe_engine *engine, snipe_time now)
{
  if (now < engine->next_discovery)
    return false;
  engine->next_discovery = now + engine->options.heartbeat_interval;
  return true;
}

void
engine_send_heartbeats (struct snipe_engine *engine, bool all, snipe_time now)
{
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);
  GPtrArray *known = g_ptr_array_new_with_free_func (g_free);
  const char *const *seed = engine->dependencies.seeds;
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&engine->sched_lock);
  g_hash_table_iter_init (&iter, engine->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      g_ptr_array_add (known, g_strdup (peer->address));
      if (!all && !heartbeat_due (engine, peer, now))
        continue;
      peer->heartbeat_sent_at = now;
      g_ptr_array_add (addresses, g_strdup (peer->address));
    }
  if (!discovery_due (engine, now))
    seed = NULL;
  pthread_mutex_unlock (&engine->sched_lock);
  for (; seed != NULL && *seed != NULL; seed++)
    if (!g_ptr_array_find_with_equal_func (known, *seed, g_str_equal, NULL)
        && strcmp (*seed, engine->rpc_address) != 0)
      g_ptr_array_add (addresses, g_strdup (*seed));
  g_ptr_array_free (known, TRUE);
  for (guint i = 0; i < addresses->len; i++)
    {
      snipe_counter_add (SNIPE_C_HELLOS, 1);
      send_heartbeat (engine, addresses->pdata[i], PEER_HEARTBEAT, now);
    }
  g_ptr_array_free (addresses, TRUE);
}

void
peer_mark_wants_offer (struct snipe_engine *engine, uint64_t incarnation)
{
  struct peer *peer = engine_find_peer (engine, incarnation);

  if (peer == NULL || peer->wants_offer)
    return;
  peer->wants_offer = true;
  __atomic_add_fetch (&engine->peers_wanting_offer, 1, __ATOMIC_RELAXED);
}

/** Picks the peer to send an offer to: the one whose last offer is oldest;
 * with the lock. */
static struct peer *
pick_offer_recipient (struct snipe_engine *engine, snipe_time now)
{
  struct peer *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engine->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      if (peer->wants_offer && peer_is_live (engine, peer, now)
          && now - peer->offer_sent_at >= OFFER_INTERVAL
          && (best == NULL || peer->offer_sent_at < best->offer_sent_at))
        best = peer;
    }
  return best;
}

void
engine_send_offer (struct snipe_engine *engine, snipe_time now)
{
  struct snipe_peer_load load;
  char address[ADDRESS_BYTES];
  struct peer *peer = NULL;

  if (__atomic_load_n (&engine->peers_wanting_offer, __ATOMIC_RELAXED) == 0)
    return;
  pthread_mutex_lock (&engine->sched_lock);
  snipe_sched_load_get (engine->sched, now, &load);
  if (load.free_slots > 0 && load.queued == 0)
    peer = pick_offer_recipient (engine, now);
  if (peer != NULL)
    {
      peer->wants_offer = false;
      peer->offer_sent_at = now;
      __atomic_sub_fetch (&engine->peers_wanting_offer, 1, __ATOMIC_RELAXED);
      g_strlcpy (address, peer->address, sizeof address);
    }
  pthread_mutex_unlock (&engine->sched_lock);
  if (peer == NULL)
    return;
  snipe_counter_add (SNIPE_C_OFFERS, 1);
  send_heartbeat (engine, address, PEER_OFFER, now);
}

int
engine_on_heartbeat (void *ctx, const peer_load *args, peer_load *reply)
{
  struct snipe_engine *engine = ctx;
  snipe_time now = snipe_clock_now ();

  engine_on_load_report (engine, args, now);
  engine_dispatch (engine, now);
  engine_fill_load_report (engine, now, reply);
  return 0;
}

int
engine_on_offer (void *ctx, const peer_load *args, peer_load *reply)
{
  return engine_on_heartbeat (ctx, args, reply);
}

int
engine_on_get_rules (void *ctx, const peer_load *args, peer_rules *reply)
{
  struct snipe_engine *engine = ctx;
  struct snipe_rules *rules = NULL;

  (void)args;
  pthread_mutex_lock (&engine->sched_lock);
  if (engine->rules != NULL)
    rules = snipe_rules_ref (engine->rules);
  pthread_mutex_unlock (&engine->sched_lock);
  *reply = (peer_rules){ 0 };
  if (rules != NULL)
    {
      const struct snipe_str *text = snipe_rules_text (rules);

      reply->rules_version = snipe_rules_version (rules);
      reply->text.text_len = (u_int)text->len;
      reply->text.text_val = g_memdup2 (text->data, text->len);
      snipe_rules_unref (rules);
    }
  return 0;
}

void
engine_on_entries (void *ctx, const struct snipe_entry_info *list,
                   uint32_t count)
{
  struct snipe_engine *engine = ctx;
  snipe_time now = snipe_clock_now ();
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&engine->sched_lock);
  g_hash_table_iter_init (&iter, engine->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct peer *)value)->listed = false;
  for (uint32_t i = 0; i < count; i++)
    {
      const struct snipe_entry_info *info = &list[i];
      struct peer *peer;

      if (info->incarnation == engine->options.incarnation)
        continue;
      peer = peer_add (engine, info->incarnation, now);
      peer->listed = true;
      /* The peer's own load report is newer than its row. */
      if (peer->address[0] != '\0' && peer->last_received_at > 0)
        continue;
      peer->leaving = info->leaving;
      peer->capacity_weight = info->capacity_weight;
      g_strlcpy (peer->name, snipe_str_c (&info->name), sizeof peer->name);
      g_strlcpy (peer->domain, snipe_str_c (&info->domain),
                 sizeof peer->domain);
      g_strlcpy (peer->address, snipe_str_c (&info->rpc),
                 sizeof peer->address);
    }
  pthread_mutex_unlock (&engine->sched_lock);
}

static void
endpoint_info_free (void *ptr)
{
  struct snipe_endpoint_info *info = ptr;

  snipe_str_clear (&info->name);
  snipe_str_clear (&info->address);
  snipe_str_clear (&info->domain);
  snipe_str_clear (&info->region);
  snipe_str_clear (&info->rack);
  free (info);
}

static struct snipe_endpoint_info *
endpoint_info_copy (const struct snipe_endpoint_info *info)
{
  struct snipe_endpoint_info *copy = calloc (1, sizeof *copy);

  if (copy == NULL)
    g_error ("out of memory for the list of endpoints");
  *copy = *info;
  copy->name = copy->address = copy->domain = copy->region = copy->rack
      = (struct snipe_str)SNIPE_STR_INIT;
  snipe_str_set (&copy->name, info->name.data, info->name.len);
  snipe_str_set (&copy->address, info->address.data, info->address.len);
  snipe_str_set (&copy->domain, info->domain.data, info->domain.len);
  snipe_str_set (&copy->region, info->region.data, info->region.len);
  snipe_str_set (&copy->rack, info->rack.data, info->rack.len);
  return copy;
}

void
engine_on_endpoints (void *ctx, const struct snipe_endpoint_info *list,
                     uint32_t count)
{
  struct snipe_engine *engine = ctx;
  GPtrArray *copy = g_ptr_array_new_with_free_func (endpoint_info_free);

  for (uint32_t i = 0; i < count; i++)
    g_ptr_array_add (copy, endpoint_info_copy (&list[i]));
  pthread_mutex_lock (&engine->sched_lock);
  if (engine->endpoints != NULL)
    g_ptr_array_free (engine->endpoints, TRUE);
  engine->endpoints = copy;
  pthread_mutex_unlock (&engine->sched_lock);
  engine_ownership_update (engine, snipe_clock_now ());
}
