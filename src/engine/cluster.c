#include "engine/private.h"

#include <stdlib.h>
#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

/* A peer counts as dead after this many heartbeat intervals of silence. */
#define SILENT_HELLOS 3.5
#define NEAR_PEERS 8
#define HELLO_TIMEOUT (500 * SNIPE_MS)
#define OFFER_INTERVAL (5 * SNIPE_MS)
#define OWNERS_INTERVAL (250 * SNIPE_MS)
#define RULES_TIMEOUT (2 * SNIPE_S)
/* A peer that was silent and unlisted this long is forgotten. */
#define FORGET_AFTER (60 * SNIPE_S)

struct call_context
{
  struct snipe_engine *engine;
  uint64_t incarnation;
};

struct peer *
engine_peer (struct snipe_engine *engine, uint64_t incarnation)
{
  return g_hash_table_lookup (engine->peers, &incarnation);
}

/** Time between heartbeats with a peer. Heartbeats of a host grow with the
 * number of hosts; beyond NEAR_PEERS, hosts of other failure domains are
 * greeted less often, so that their cost stays bounded. Ownership of
 * endpoints only needs the hosts of the own domain. */
static snipe_time
hello_interval (const struct snipe_engine *engine, const struct peer *peer)
{
  guint peers = g_hash_table_size (engine->peers);

  if (peers <= NEAR_PEERS || strcmp (peer->domain, engine->domain) == 0)
    return engine->options.heartbeat_interval;
  return engine->options.heartbeat_interval * peers / NEAR_PEERS;
}

/** Whether nothing was heard for long; a new peer gets time to speak. */
static bool
peer_silent (const struct snipe_engine *engine, const struct peer *peer,
             snipe_time now)
{
  snipe_time silence
      = (snipe_time)(SILENT_HELLOS * (double)hello_interval (engine, peer));

  return now - peer->heard > silence
         && !(peer->listed && now - peer->learned <= silence);
}

bool
peer_live (const struct snipe_engine *engine, const struct peer *peer,
           snipe_time now)
{
  return !peer->leaving && !peer_silent (engine, peer, now);
}

void
engine_load_locked (struct snipe_engine *engine, snipe_time now,
                    peer_load *out)
{
  struct snipe_peer_load load;
  const GPtrArray *domains = engine->owned_domains;
  peer_name *names = calloc (domains->len + 1, sizeof *names);

  if (names == NULL)
    g_error ("no memory for a load report");
  snipe_sched_load_get (engine->sched, now, &load);
  *out = (peer_load){
    .incarnation = engine->options.incarnation,
    .name = g_strdup (engine->host),
    .address = g_strdup (engine->rpc_address),
    .domain = g_strdup (engine->domain),
    .size_permille = (u_int)(engine->options.size * 1000),
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
engine_load (struct snipe_engine *engine, snipe_time now, peer_load *out)
{
  pthread_mutex_lock (&engine->sched_lock);
  engine_load_locked (engine, now, out);
  pthread_mutex_unlock (&engine->sched_lock);
}

static struct peer *
peer_add (struct snipe_engine *engine, uint64_t incarnation, snipe_time now)
{
  struct peer *peer = engine_peer (engine, incarnation);

  if (peer != NULL)
    return peer;
  peer = g_new0 (struct peer, 1);
  peer->incarnation = incarnation;
  peer->learned = now;
  peer->heard = INT64_MIN / 2;
  peer->greeted = INT64_MIN / 2;
  peer->size = 1;
  g_hash_table_insert (engine->peers, &peer->incarnation, peer);
  engine->next_owners = now;
  return peer;
}

/** A process at an address is replaced by a new one: the old one is dead. */
static void
drop_predecessor (struct snipe_engine *engine, const struct peer *successor)
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
peer_report (struct snipe_engine *engine, const struct peer *peer,
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
peer_set_free (struct snipe_engine *engine, uint64_t incarnation,
               uint32_t free_slots, snipe_time now)
{
  struct peer *peer = engine_peer (engine, incarnation);

  if (peer == NULL)
    return;
  peer->free_slots = free_slots;
  peer_report (engine, peer, 0, now);
}

static void
rules_fetched (void *ctx, int status, union snipe_peer_reply *reply)
{
  struct call_context *call = ctx;
  struct snipe_engine *engine = call->engine;
  struct peer *peer;

  pthread_mutex_lock (&engine->sched_lock);
  peer = engine_peer (engine, call->incarnation);
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
  struct call_context *ctx = g_new0 (struct call_context, 1);
  int status;

  ctx->engine = engine;
  ctx->incarnation = incarnation;
  engine_load (engine, now, &call.args.hello);
  status = snipe_peer_net_call (engine->links.net, address, &call,
                                RULES_TIMEOUT, rules_fetched, ctx);
  if (status < 0)
    rules_fetched (ctx, status, NULL);
}

void
engine_heard (struct snipe_engine *engine, const peer_load *load,
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
  if (!peer_live (engine, peer, now)
      || peer->leaving != (load->state == PEER_LEAVING))
    engine->next_owners = now;
  if (strcmp (peer->address, load->address) != 0)
    {
      g_strlcpy (peer->address, load->address, sizeof peer->address);
      drop_predecessor (engine, peer);
    }
  g_strlcpy (peer->name, load->name, sizeof peer->name);
  g_strlcpy (peer->domain, load->domain, sizeof peer->domain);
  peer->size = load->size_permille / 1000.0;
  peer->leaving = load->state == PEER_LEAVING;
  peer->heard = now;
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
  peer_report (engine, peer, load->best_speed_permille, now);
  fetch = !peer->fetching_rules
          && load->rules_version > (engine->rules == NULL
                                        ? 0
                                        : snipe_rules_version (engine->rules));
  fetch = fetch && engine->links.net != NULL;
  if (fetch)
    peer->fetching_rules = true;
  g_strlcpy (address, peer->address, sizeof address);
  pthread_mutex_unlock (&engine->sched_lock);
  if (fetch)
    fetch_rules (engine, load->incarnation, address, now);
}

/** Hosts that take part in ownership; this one comes last. */
static struct snipe_owner_host *
owner_hosts (struct snipe_engine *engine, snipe_time now, uint32_t *count)
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
        .capacity_weight = peer->size > 0 ? peer->size : 1,
        .live = peer_live (engine, peer, now),
      };
    }
  hosts[n++] = (struct snipe_owner_host){
    .incarnation = engine->options.incarnation,
    .name = { .data = engine->host, .len = strlen (engine->host) },
    .domain = { .data = engine->domain, .len = strlen (engine->domain) },
    .capacity_weight = engine->options.size,
    .live = true,
  };
  *count = n;
  return hosts;
}

static void
note_owned_domain (GPtrArray *domains, const struct snipe_str *domain)
{
  for (guint i = 0; i < domains->len; i++)
    if (snipe_str_equal_c (domain, domains->pdata[i]))
      return;
  g_ptr_array_add (domains, g_strdup (snipe_str_c (domain)));
}

/** Takes endpoints into use or out of use by ownership; with the lock. */
static void
update_owned (struct snipe_engine *engine, snipe_time now)
{
  GHashTable *owned
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct snipe_owner_host *hosts;
  GHashTableIter iter;
  gpointer key;
  uint32_t count;

  hosts = owner_hosts (engine, now, &count);
  g_ptr_array_set_size (engine->owned_domains, 0);
  for (guint i = 0; i < engine->endpoints->len; i++)
    {
      const struct snipe_endpoint_info *info = engine->endpoints->pdata[i];

      if (snipe_owner_find (hosts, count, &info->name, &info->domain)
          != (int)count - 1)
        continue;
      snipe_sched_endpoint_set (engine->sched, info, now);
      note_owned_domain (engine->owned_domains, &info->domain);
      g_hash_table_add (owned, g_strdup (snipe_str_c (&info->name)));
    }
  g_hash_table_iter_init (&iter, engine->owned);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (owned, key))
      {
        struct snipe_str name = { .data = key, .len = strlen (key) };

        snipe_sched_endpoint_drop (engine->sched, &name, now);
      }
  g_hash_table_destroy (engine->owned);
  engine->owned = owned;
  engine->next_owners = now + OWNERS_INTERVAL;
  g_free (hosts);
}

void
engine_owners_update (struct snipe_engine *engine, snipe_time now)
{
  pthread_mutex_lock (&engine->sched_lock);
  update_owned (engine, now);
  pthread_mutex_unlock (&engine->sched_lock);
  engine_pump (engine, now);
}

static gboolean
forgettable (gpointer key, gpointer value, gpointer arg)
{
  const struct peer *peer = value;
  snipe_time now = *(snipe_time *)arg;

  (void)key;
  return !peer->listed && now - peer->heard > FORGET_AFTER
         && now - peer->learned > FORGET_AFTER;
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
  due = now >= engine->next_owners;
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

      /* A leaving peer still ends the batches that it took. */
      if (peer->lost || !peer_silent (engine, peer, now))
        continue;
      peer->lost = true;
      g_message ("peer %s is silent; its batches are given up", peer->name);
      snipe_sched_peer_drop (engine->sched, peer->incarnation);
      pass_peer_lost (engine, peer->incarnation, ended);
    }
  pass_sweep (engine, now, ended);
  g_hash_table_foreach_remove (engine->peers, forgettable, &now);
  update_owned (engine, now);
  engine_decide (engine, now, actions, ended);
  pthread_mutex_unlock (&engine->sched_lock);
  engine_act (engine, actions, ended, now);
}

static void
hello_done (void *ctx, int status, union snipe_peer_reply *reply)
{
  struct snipe_engine *engine = ctx;
  snipe_time now = snipe_clock_now ();

  if (status != SNIPE_OK)
    return;
  engine_heard (engine, &reply->load, now);
  engine_pump (engine, now);
}

static void
hello (struct snipe_engine *engine, const char *address, uint32_t procedure,
       snipe_time now)
{
  struct snipe_peer_call call = { .procedure = procedure };

  engine_load (engine, now, &call.args.hello);
  snipe_peer_net_call (engine->links.net, address, &call, HELLO_TIMEOUT,
                       hello_done, engine);
}

/** Whether a heartbeat to a peer is due. Every message and every reply carries
 * the sender's load, so a peer that was heard has also heard this host, and
 * the next heartbeat can wait for a whole interval from then on. */
static bool
hello_due (const struct snipe_engine *engine, const struct peer *peer,
           snipe_time now)
{
  snipe_time interval = hello_interval (engine, peer);

  if (now - peer->greeted < interval)
    return false;
  /* One exchange serves both sides; the one with the greater incarnation
     leaves it to the other and only speaks if that one is late. */
  if (engine->options.incarnation > peer->incarnation)
    interval += interval / 4;
  return now - peer->heard >= interval;
}

static bool
greet_seeds (struct snipe_engine *engine, snipe_time now)
{
  if (now < engine->next_seeds)
    return false;
  engine->next_seeds = now + engine->options.heartbeat_interval;
  return true;
}

void
engine_hello (struct snipe_engine *engine, bool all, snipe_time now)
{
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);
  GPtrArray *known = g_ptr_array_new_with_free_func (g_free);
  const char *const *seed = engine->links.seeds;
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&engine->sched_lock);
  g_hash_table_iter_init (&iter, engine->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      g_ptr_array_add (known, g_strdup (peer->address));
      if (!all && !hello_due (engine, peer, now))
        continue;
      peer->greeted = now;
      g_ptr_array_add (addresses, g_strdup (peer->address));
    }
  if (!greet_seeds (engine, now))
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
      hello (engine, addresses->pdata[i], PEER_HELLO, now);
    }
  g_ptr_array_free (addresses, TRUE);
}

void
peer_wants_offer (struct snipe_engine *engine, uint64_t incarnation)
{
  struct peer *peer = engine_peer (engine, incarnation);

  if (peer == NULL || peer->waiting)
    return;
  peer->waiting = true;
  __atomic_add_fetch (&engine->waiting_peers, 1, __ATOMIC_RELAXED);
}

/** Picks the waiting peer that was offered longest ago; with the lock. */
static struct peer *
pick_waiting (struct snipe_engine *engine, snipe_time now)
{
  struct peer *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engine->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      if (peer->waiting && peer_live (engine, peer, now)
          && now - peer->offered >= OFFER_INTERVAL
          && (best == NULL || peer->offered < best->offered))
        best = peer;
    }
  return best;
}

void
engine_offer (struct snipe_engine *engine, snipe_time now)
{
  struct snipe_peer_load load;
  char address[ADDRESS_BYTES];
  struct peer *peer = NULL;

  if (__atomic_load_n (&engine->waiting_peers, __ATOMIC_RELAXED) == 0)
    return;
  pthread_mutex_lock (&engine->sched_lock);
  snipe_sched_load_get (engine->sched, now, &load);
  if (load.free_slots > 0 && load.queued == 0)
    peer = pick_waiting (engine, now);
  if (peer != NULL)
    {
      peer->waiting = false;
      peer->offered = now;
      __atomic_sub_fetch (&engine->waiting_peers, 1, __ATOMIC_RELAXED);
      g_strlcpy (address, peer->address, sizeof address);
    }
  pthread_mutex_unlock (&engine->sched_lock);
  if (peer == NULL)
    return;
  snipe_counter_add (SNIPE_C_OFFERS, 1);
  hello (engine, address, PEER_OFFER, now);
}

int
engine_on_hello (void *ctx, const peer_load *args, peer_load *reply)
{
  struct snipe_engine *engine = ctx;
  snipe_time now = snipe_clock_now ();

  engine_heard (engine, args, now);
  engine_pump (engine, now);
  engine_load (engine, now, reply);
  return 0;
}

int
engine_on_offer (void *ctx, const peer_load *args, peer_load *reply)
{
  return engine_on_hello (ctx, args, reply);
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
      /* What the peer says of itself is newer than its row. */
      if (peer->address[0] != '\0' && peer->heard > 0)
        continue;
      peer->leaving = info->leaving;
      peer->size = info->size;
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
    g_error ("no memory for the list of endpoints");
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
  engine_owners_update (engine, snipe_clock_now ());
}
