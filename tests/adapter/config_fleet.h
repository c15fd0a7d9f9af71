/**
 * @file config_fleet.h
 * Plays hosts with their adapter to the platform's store in virtual time, and
 * checks when configurations come into force.
 */
#ifndef TESTS_ADAPTER_CONFIG_FLEET_H
#define TESTS_ADAPTER_CONFIG_FLEET_H

#include "adapter/sim_store.h"
#include "config.h"
#include "fleet/transport.h"
#include "node/node.h"
#include "store.h"

/* A configuration has to be in force this long after its acknowledgement at
 * each host that was not disturbed for CONTACT_TIME. */
#define APPLY_TIME (2 * SNIPE_S)
#define CONTACT_TIME (3 * SNIPE_S)
#define CHECK_INTERVAL (20 * SNIPE_MS)
#define CONFIG_DOMAINS 3
#define CONFIG_DISTURBANCES_MAX 12
#define CONFIG_VERSIONS_MAX 64
/* Configurations and disturbances begin within this time. */
#define CONFIG_BEGIN (2 * SNIPE_S)
#define CONFIG_LENGTH (14 * SNIPE_S)
#define CONFIG_QUIET (6 * SNIPE_S)

enum config_trouble
{
  TROUBLE_TURNED_AWAY,   /**< the store turns a host away */
  TROUBLE_DOMAIN_AWAY,   /**< the store turns the hosts of a domain away */
  TROUBLE_STORE_DOWN,    /**< for all hosts and the operator */
  TROUBLE_STORE_SLOW,    /**< its answers take longer */
  TROUBLE_STORE_SILENT,  /**< all connections to it deliver nothing more */
  TROUBLE_STORE_COMPACT, /**< it drops its history */
  TROUBLE_STORE_CUT,     /**< between a host and the store */
  TROUBLE_CUT,           /**< between two hosts */
  TROUBLE_CUT_ONE_WAY,
  TROUBLE_ISOLATED,    /**< a host from all others */
  TROUBLE_CUT_DOMAIN,  /**< from the other domains and the store */
  TROUBLE_RESET,       /**< of the connections of two hosts */
  TROUBLE_SILENT,      /**< connections between two hosts */
  TROUBLE_KILL,        /**< a host, which starts again */
  TROUBLE_FREEZE,      /**< a host */
  TROUBLE_FOREIGN_ROW, /**< a row of another part with the same key */
  TROUBLE_KINDS,
};

static const char *const config_troubles[]
    = { "turned away",  "domain turned away",
        "store down",   "store slow",
        "store silent", "store compacts",
        "store cut",    "cut",
        "one-way cut",  "isolated",
        "domain cut",   "reset",
        "silent",       "kill",
        "freeze",       "row of another part" };

/** Faults that the search has to find. */
enum config_fault
{
  FAULT_NONE,
  FAULT_PEERS_MUTE, /**< hosts do not give their configuration to others */
  FAULT_GOES_BACK,  /**< hosts take any version */
  FAULT_KEEPS_CONNECTIONS, /**< a timeout closes one connection only */
  FAULT_HIDES_PARTS,       /**< rows of all parts look alike */
  FAULT_KINDS,
};

struct config_disturbance
{
  enum config_trouble kind;
  snipe_time begin; /**< since the start */
  snipe_time length;
  uint32_t host;
  uint32_t other;
  enum store_mode mode;
  int64_t factor;
  bool hard;
  bool off;
};

struct config_plan
{
  uint64_t seed;
  enum config_fault fault;
  uint32_t host_count;
  uint32_t domain_count;
  snipe_time writes[CONFIG_VERSIONS_MAX];
  uint64_t versions[CONFIG_VERSIONS_MAX];
  uint32_t write_count;
  struct config_disturbance disturbances[CONFIG_DISTURBANCES_MAX];
  uint32_t disturbance_count;
};

struct config_host
{
  uint32_t index;
  char name[8];
  char domain[8];
  char address[32];
  struct snipe_node *node;
  struct platform_store *store;
  struct snipe_config *config;
  /** Since when this process has a version or a newer one, 0: it has not. */
  snipe_time in_force_at[CONFIG_VERSIONS_MAX];
};

/** Disturbances of one thing. */
struct config_calm
{
  uint32_t active;
  snipe_time last_end;
};

struct config_fleet
{
  const struct config_plan *plan;
  snipe_time start;
  struct config_host hosts[SIM_HOSTS];
  struct config_calm store;
  struct config_calm processes[SIM_HOSTS];
  struct config_calm store_paths[SIM_HOSTS];
  struct config_calm links[SIM_HOSTS][SIM_HOSTS];
  snipe_time acknowledged[CONFIG_VERSIONS_MAX]; /**< 0: not yet */
  bool failed;
  snipe_time failed_at;
  char failure[200];
  uint64_t checks; /**< of a host that hears the store */
  /** Of a host without a version that another one has, which it hears. */
  uint64_t peer_checks;
  /** Longest time for which such a host had not got a configuration. */
  snipe_time latest;
  snipe_time latest_from_peer;
};

static struct config_fleet config_fleet;

static void G_GNUC_PRINTF (1, 2) config_violate (const char *format, ...)
{
  va_list args;

  if (config_fleet.failed)
    return;
  config_fleet.failed = true;
  config_fleet.failed_at = sim.now;
  va_start (args, format);
  vsnprintf (config_fleet.failure, sizeof config_fleet.failure, format, args);
  va_end (args);
  sim_note (SIM_NO_HOST, true, "VIOLATION %s", config_fleet.failure);
}

static guint
config_route_count (uint64_t version)
{
  return (guint)(version % 5);
}

/* Returns the number of a version that the operator has written, or -1. */
static int
config_number (uint64_t version)
{
  for (uint32_t i = 0; i < config_fleet.plan->write_count; i++)
    if (config_fleet.plan->versions[i] == version)
      return (int)i;
  return -1;
}

static char *
config_value (uint64_t version)
{
  GString *text = g_string_new (NULL);
  char *encoded;

  g_string_printf (text, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[",
                   version);
  for (guint i = 0; i < config_route_count (version); i++)
    g_string_append_printf (text,
                            "%s{\"host\":\"h\",\"path_prefix\":\"/%u/\","
                            "\"service\":\"s\"}",
                            i > 0 ? "," : "", i);
  g_string_append (text, "]}");
  encoded = g_base64_encode ((const guchar *)text->str, text->len);
  g_string_free (text, TRUE);
  return encoded;
}

static void
config_apply (struct config_host *host, const char *text, size_t len,
              const char *source)
{
  uint64_t before = host->config == NULL ? 0 : host->config->version;

  if (config_fleet.plan->fault == FAULT_GOES_BACK)
    {
      snipe_config_free (host->config);
      host->config = NULL;
    }
  if (!platform_config_apply (&host->config, text, len, source))
    return;
  sim_note (host->index, true, "IN FORCE version=%" G_GUINT64_FORMAT " by %s",
            host->config->version, source);
  snipe_node_config_changed (host->node, host->config->version, sim.now);
  for (uint32_t i = 0; i < config_fleet.plan->write_count; i++)
    if (host->in_force_at[i] == 0
        && config_fleet.plan->versions[i] <= host->config->version)
      host->in_force_at[i] = sim.now;
  if (host->config->version < before)
    config_violate ("h%u goes back from version %" G_GUINT64_FORMAT
                    " to %" G_GUINT64_FORMAT,
                    host->index, before, host->config->version);
  if (config_number (host->config->version) < 0
      || host->config->routes->len
             != config_route_count (host->config->version))
    config_violate ("h%u takes version %" G_GUINT64_FORMAT
                    " with %u routes, which nobody wrote",
                    host->index, host->config->version,
                    host->config->routes->len);
}

static void
config_on_store (void *ctx, const char *text, size_t len)
{
  config_apply (ctx, text, len, "store");
}

static void
config_on_peer (void *ctx, uint64_t version, const struct snipe_str *text)
{
  (void)version;
  config_apply (ctx, snipe_str_c (text), text->len, "peer");
}

static void
config_get (void *ctx, uint64_t *version, struct snipe_str *text)
{
  const struct config_host *host = ctx;

  if (host->config == NULL || config_fleet.plan->fault == FAULT_PEERS_MUTE)
    return;
  *version = host->config->version;
  snipe_str_set (text, host->config->text, host->config->text_len);
}

static void
config_on_version (void *ctx, uint64_t version, bool registered)
{
  snipe_node_set_store_version (((struct config_host *)ctx)->node, version,
                                registered, snipe_clock_now ());
}

static void
config_on_endpoint (void *ctx, const struct snipe_endpoint_entry *entry)
{
  snipe_node_endpoint_set (((struct config_host *)ctx)->node, entry, sim.now);
}

static void
config_on_endpoint_removed (void *ctx, const char *id)
{
  snipe_node_endpoint_unlisted (((struct config_host *)ctx)->node, id,
                                sim.now);
}

static void
config_on_host (void *ctx, const struct platform_host *host)
{
  snipe_node_host_listed (((struct config_host *)ctx)->node, host->address,
                          sim.now);
}

static void
config_on_host_removed (void *ctx, const char *address)
{
  snipe_node_host_unlisted (((struct config_host *)ctx)->node, address);
}

static void
config_on_endpoints_synced (void *ctx, snipe_time asked)
{
  snipe_node_directory_synced (((struct config_host *)ctx)->node, asked,
                               sim.now);
}

static void
config_on_reachable (void *ctx, bool reachable)
{
  sim_note (((struct config_host *)ctx)->index, true, "STORE reachable=%d",
            (int)reachable);
  snipe_node_set_store_reachable (((struct config_host *)ctx)->node, reachable,
                                  sim.now);
}

static void
config_on_hosts_synced (void *ctx)
{
  snipe_node_hosts_synced (((struct config_host *)ctx)->node);
}

static void
config_on_endpoint_changes (void *ctx, uint64_t after, uint64_t version,
                            const struct snipe_str *rows, snipe_time asked)
{
  snipe_node_relay_endpoint_changes (((struct config_host *)ctx)->node, after,
                                     version, rows, asked, sim.now);
}

static void
config_on_evacuation (void *ctx, const char *domain, bool requested,
                      uint64_t version)
{
  snipe_node_evacuation_set (((struct config_host *)ctx)->node, domain,
                             requested, version, sim.now);
}

static void
config_on_evacuations_synced (void *ctx, uint64_t version)
{
  snipe_node_evacuations_synced (((struct config_host *)ctx)->node, version,
                                 sim.now);
}

static snipe_time
config_next_endpoints_read (void *ctx, snipe_time asked)
{
  return snipe_node_directory_read_due (((struct config_host *)ctx)->node,
                                        asked);
}

static void
config_refresh_directory (void *ctx)
{
  platform_store_refresh_endpoints (((struct config_host *)ctx)->store);
}

static void
config_deregister_host (void *ctx, const char *address)
{
  platform_store_deregister_host (((struct config_host *)ctx)->store, address);
}

static bool
config_apply_endpoint_changes (void *ctx, uint64_t after, uint64_t version,
                               const struct snipe_str *rows)
{
  return platform_store_apply_endpoint_changes (
      ((struct config_host *)ctx)->store, after, version, rows, sim.now);
}

static void
config_tick (void *data)
{
  struct config_host *host = data;

  platform_store_tick (host->store, sim.now);
  sim_at (sim.now + snipe_node_tick (host->node, sim.now), host->index,
          config_tick, host);
}

static void
config_host_start (struct config_host *host, bool first)
{
  struct snipe_node_options node = SNIPE_NODE_OPTIONS_INIT;
  struct platform_store_options store
      = { .web = store_client (host->index),
          .address = "10.1.0.1:800",
          .recovery_time = CONTACT_TIME,
          .ctx = host,
          .version = config_on_version,
          .config = config_on_store,
          .evacuation = config_on_evacuation,
          .evacuations_synced = config_on_evacuations_synced,
          .endpoint = config_on_endpoint,
          .endpoint_removed = config_on_endpoint_removed,
          .host = config_on_host,
          .host_removed = config_on_host_removed,
          .hosts_synced = config_on_hosts_synced,
          .endpoints_synced = config_on_endpoints_synced,
          .reachable = config_on_reachable,
          .endpoint_changes = config_on_endpoint_changes,
          .next_endpoints_read = config_next_endpoints_read };

  sim_process_start (host->index);
  transport.machine_down[host->index] = false;
  node.name = host->name;
  node.domain = host->domain;
  node.listen = host->address;
  node.first_start = first;
  node.callbacks = (struct snipe_node_callbacks){
    .ctx = host,
    .refresh_directory = config_refresh_directory,
    .deregister_host = config_deregister_host,
    .apply_endpoint_changes = config_apply_endpoint_changes,
    .get_config = config_get,
    .apply_peer_config = config_on_peer,
  };
  if (snipe_node_new (&host->node, &node, sim.now) < 0)
    g_error ("%s", snipe_status_last ());
  g_strlcpy (store.self.name, host->name, sizeof store.self.name);
  g_strlcpy (store.self.address, host->address, sizeof store.self.address);
  g_strlcpy (store.self.domain, host->domain, sizeof store.self.domain);
  platform_store_new (&host->store, &store);
  /* Seeds. */
  for (uint32_t i = 0; i < MIN (config_fleet.plan->host_count, 2); i++)
    snipe_node_host_listed (host->node, config_fleet.hosts[i].address,
                            sim.now);
  sim_note (host->index, true, "STARTED");
  sim_at (sim.now, host->index, config_tick, host);
}

static void
config_host_end (struct config_host *host, bool machine)
{
  if (host->node == NULL)
    return;
  transport_host_ends (host->index, machine);
  sim_process_end (host->index);
  snipe_node_free (host->node);
  platform_store_free (host->store);
  snipe_config_free (host->config);
  host->node = NULL;
  host->store = NULL;
  host->config = NULL;
  memset (host->in_force_at, 0, sizeof host->in_force_at);
}

/* The operator writes a configuration, again and again until the store takes
 * it. */
static void
config_write (void *data)
{
  const snipe_time *at = data;
  uint32_t number = (uint32_t)(at - config_fleet.plan->writes);
  uint64_t version = config_fleet.plan->versions[number];

  if (sim_store.mode != STORE_SERVES)
    {
      sim_at (sim.now + 100 * SNIPE_MS, SIM_NO_HOST, config_write, data);
      return;
    }
  /* One that was delayed until a later one was written is given up. */
  for (uint32_t i = number + 1; i < config_fleet.plan->write_count; i++)
    if (config_fleet.acknowledged[i] > 0)
      return;
  sim_note (SIM_NO_HOST, true, "WRITTEN version=%" G_GUINT64_FORMAT, version);
  config_fleet.acknowledged[number] = sim.now;
  store_put (PLATFORM_TABLE_OPERATOR, "", PLATFORM_KEY_CONFIG,
             config_value (version));
}

static void
config_disturb (struct config_calm *calm, bool begins)
{
  calm->active += begins ? 1U : -1U;
  calm->last_end = sim.now;
}

static void
config_disturb_link (uint32_t from, uint32_t to, bool begins)
{
  config_disturb (&config_fleet.links[from][to], begins);
  config_disturb (&config_fleet.links[to][from], begins);
}

static void
config_cut (uint32_t from, uint32_t to, bool begins, bool hard)
{
  if (begins)
    transport_cut (from, to, hard);
  else
    transport_heal (from, to, hard);
  config_disturb_link (from, to, begins);
}

static void
config_cut_store (uint32_t host, bool begins)
{
  sim_store.cuts[host] += begins ? 1U : -1U;
  config_disturb (&config_fleet.store_paths[host], begins);
}

static void
config_turn_away (uint32_t host, enum store_mode mode, bool begins)
{
  sim_store.host_modes[host] = begins ? mode : STORE_SERVES;
  config_disturb (&config_fleet.store_paths[host], begins);
  store_on_mode_change ();
}

/* The connection from one host to another delivers nothing more. One that is
 * being opened does not go silent: the kernel repeats its first packet. */
static void
config_silence (uint32_t from, uint32_t to)
{
  const struct snipe_link *link = transport.links[from];

  if (link != NULL && link->outgoing[to] != NULL
      && !link->outgoing[to]->connecting)
    transport_silence (from, to);
}

/* Cuts a domain off from the other domains and from the store. */
static void
config_cut_domain (const struct config_disturbance *disturbance, bool begins)
{
  const char *domain = config_fleet.hosts[disturbance->host].domain;
  uint32_t count = config_fleet.plan->host_count;

  for (uint32_t i = 0; i < count; i++)
    {
      bool inside = strcmp (config_fleet.hosts[i].domain, domain) == 0;

      if (inside)
        config_cut_store (i, begins);
      for (uint32_t k = 0; k < count; k++)
        if (inside != (strcmp (config_fleet.hosts[k].domain, domain) == 0))
          config_cut (i, k, begins, disturbance->hard);
    }
}

static void
config_change_trouble (const struct config_disturbance *disturbance,
                       bool begins)
{
  uint32_t host = disturbance->host;
  uint32_t other = disturbance->other;
  uint32_t count = config_fleet.plan->host_count;

  switch (disturbance->kind)
    {
    case TROUBLE_TURNED_AWAY:
      config_turn_away (host, disturbance->mode, begins);
      break;
    case TROUBLE_DOMAIN_AWAY:
      for (uint32_t i = 0; i < count; i++)
        if (strcmp (config_fleet.hosts[i].domain,
                    config_fleet.hosts[host].domain)
            == 0)
          config_turn_away (i, disturbance->mode, begins);
      break;
    case TROUBLE_STORE_DOWN:
      sim_store.mode = begins ? disturbance->mode : STORE_SERVES;
      config_disturb (&config_fleet.store, begins);
      store_on_mode_change ();
      break;
    case TROUBLE_STORE_SLOW:
      sim_store.slowness = begins ? disturbance->factor : 1;
      config_disturb (&config_fleet.store, begins);
      break;
    case TROUBLE_STORE_SILENT:
      if (begins)
        store_silence ();
      config_disturb (&config_fleet.store, begins);
      break;
    case TROUBLE_STORE_COMPACT:
      if (begins)
        store_deafen ();
      else
        store_compact ();
      config_disturb (&config_fleet.store, begins);
      break;
    case TROUBLE_STORE_CUT:
      config_cut_store (host, begins);
      break;
    case TROUBLE_CUT:
      config_cut (host, other, begins, disturbance->hard);
      config_cut (other, host, begins, disturbance->hard);
      break;
    case TROUBLE_CUT_ONE_WAY:
      config_cut (host, other, begins, disturbance->hard);
      break;
    case TROUBLE_ISOLATED:
      for (uint32_t i = 0; i < count; i++)
        if (i != host)
          {
            config_cut (host, i, begins, disturbance->hard);
            config_cut (i, host, begins, disturbance->hard);
          }
      break;
    case TROUBLE_CUT_DOMAIN:
      config_cut_domain (disturbance, begins);
      break;
    case TROUBLE_RESET:
      if (begins)
        {
          transport_reset (host, other);
          transport_reset (other, host);
        }
      config_disturb_link (host, other, begins);
      break;
    case TROUBLE_SILENT:
      if (begins)
        {
          config_silence (host, other);
          config_silence (other, host);
        }
      config_disturb_link (host, other, begins);
      break;
    case TROUBLE_KILL:
      if (begins)
        config_host_end (&config_fleet.hosts[host], disturbance->hard);
      else if (config_fleet.hosts[host].node == NULL)
        config_host_start (&config_fleet.hosts[host], false);
      config_disturb (&config_fleet.processes[host], begins);
      break;
    case TROUBLE_FREEZE:
      if (begins)
        sim_freeze (host);
      else if (sim.processes[host].frozen)
        {
          sim_thaw (host, disturbance->hard);
          transport_pump_all ();
        }
      config_disturb (&config_fleet.processes[host], begins);
      break;
    case TROUBLE_FOREIGN_ROW:
      if (begins)
        store_put (PLATFORM_TABLE_OPERATOR, "other", PLATFORM_KEY_CONFIG,
                   config_value (UINT32_MAX));
      break;
    case TROUBLE_KINDS:
      break;
    }
  sim_note (host, true, "%s %s other=%u mode=%d", begins ? "BEGIN" : "END",
            config_troubles[disturbance->kind], other, (int)disturbance->mode);
}

static void
config_begin_trouble (void *data)
{
  config_change_trouble (data, true);
}

static void
config_end_trouble (void *data)
{
  config_change_trouble (data, false);
}

static bool
config_is_calm (const struct config_calm *calm)
{
  return calm->active == 0 && sim.now - calm->last_end >= CONTACT_TIME;
}

/* Whether a host has to have learned of a configuration from the store. */
static bool
config_hears_store (uint32_t host)
{
  return config_is_calm (&config_fleet.store)
         && config_is_calm (&config_fleet.processes[host])
         && config_is_calm (&config_fleet.store_paths[host]);
}

/* Returns the number of the first version that was acknowledged and that a
 * host does not have, -1 if there is none. */
static int
config_missing (const struct config_host *host)
{
  uint64_t has = host->config == NULL ? 0 : host->config->version;

  for (uint32_t i = 0; i < config_fleet.plan->write_count; i++)
    if (config_fleet.acknowledged[i] > 0
        && config_fleet.plan->versions[i] > has)
      return (int)i;
  return -1;
}

/* Returns since when the host could have learned of a version from another one
 * that it hears, INT64_MAX if there is none. */
static snipe_time
config_known_to_peer (uint32_t host, int number)
{
  snipe_time since = INT64_MAX;

  if (!config_is_calm (&config_fleet.processes[host]))
    return since;
  for (uint32_t i = 0; i < config_fleet.plan->host_count; i++)
    {
      const struct config_host *peer = &config_fleet.hosts[i];

      if (i != host && config_is_calm (&config_fleet.processes[i])
          && config_is_calm (&config_fleet.links[host][i])
          && peer->in_force_at[number] > 0)
        since = MIN (since, peer->in_force_at[number]);
    }
  return since;
}

static void
config_check_host (uint32_t host)
{
  int missing = config_missing (&config_fleet.hosts[host]);
  bool from_store = config_hears_store (host);
  snipe_time known
      = missing < 0 ? INT64_MAX : config_known_to_peer (host, missing);
  snipe_time late;

  config_fleet.checks += from_store;
  config_fleet.peer_checks += known < INT64_MAX;
  if (missing < 0)
    return;
  late = from_store ? sim.now - config_fleet.acknowledged[missing] : 0;
  config_fleet.latest = MAX (config_fleet.latest, late);
  if (known < INT64_MAX)
    {
      config_fleet.latest_from_peer
          = MAX (config_fleet.latest_from_peer, sim.now - known);
      late = MAX (late, sim.now - known);
    }
  if (late > APPLY_TIME)
    config_violate ("h%u has been without version %" G_GUINT64_FORMAT
                    " for %" G_GINT64_FORMAT " ms, it hears a %s",
                    host, config_fleet.plan->versions[missing],
                    late / SNIPE_MS, from_store ? "store" : "host");
}

static void
config_check (void *data)
{
  (void)data;
  for (uint32_t i = 0; i < config_fleet.plan->host_count; i++)
    config_check_host (i);
  sim_at (sim.now + CHECK_INTERVAL, SIM_NO_HOST, config_check, NULL);
}

static void
config_plan_draw (struct config_plan *plan, uint64_t seed,
                  enum config_fault fault)
{
  struct sim_random random = { seed };
  snipe_time gap = sim_draw (&random, 100, 3000) * SNIPE_MS;
  snipe_time at = 0;
  uint64_t version = 0;

  *plan = (struct config_plan){ .seed = seed, .fault = fault };
  plan->domain_count = (uint32_t)sim_draw (&random, 1, CONFIG_DOMAINS);
  plan->host_count = (uint32_t)sim_draw (&random, 3, SIM_HOSTS);
  for (uint32_t i = 0; i < CONFIG_VERSIONS_MAX && at < CONFIG_LENGTH; i++)
    {
      version += (uint64_t)sim_draw (&random, 1, 4);
      plan->writes[i] = at;
      plan->versions[i] = version;
      plan->write_count++;
      at += sim_draw (&random, gap / 2, gap * 3 / 2);
    }
  plan->disturbance_count
      = (uint32_t)sim_draw (&random, 1, CONFIG_DISTURBANCES_MAX);
  for (uint32_t i = 0; i < plan->disturbance_count; i++)
    {
      struct config_disturbance *out = &plan->disturbances[i];
      /* Half of them close to a write. */
      snipe_time begin
          = sim_chance (&random, 50)
                ? plan->writes[sim_draw (&random, 0, plan->write_count - 1)]
                      + sim_draw (&random, -300, 500) * SNIPE_MS
                : sim_draw (&random, 0, CONFIG_LENGTH);

      *out = (struct config_disturbance){
        .kind = (enum config_trouble)sim_draw (&random, 0, TROUBLE_KINDS - 1),
        .begin = CONFIG_BEGIN + MAX (begin, 0),
        .length = sim_draw (&random, 50, 5000) * SNIPE_MS,
        .host = (uint32_t)sim_draw (&random, 0, plan->host_count - 1),
        .mode
        = (enum store_mode)sim_draw (&random, STORE_SILENT, STORE_RESETS),
        .factor = sim_draw (&random, 10, 100),
        .hard = sim_chance (&random, 50),
      };
      out->other
          = (out->host + (uint32_t)sim_draw (&random, 1, plan->host_count - 1))
            % plan->host_count;
      if (out->kind == TROUBLE_STORE_COMPACT)
        out->length = STORE_DEAF_TIME;
      if (out->kind == TROUBLE_STORE_SILENT || out->kind == TROUBLE_RESET
          || out->kind == TROUBLE_SILENT)
        out->length = 0;
    }
}

/* Plays a plan until a violation or the end. The caller ends it with
 * config_fleet_end (). @return whether no rule was broken. */
static bool
config_fleet_play (const struct config_plan *plan, bool tracing)
{
  snipe_time until;

  sim_begin (plan->seed ^ UINT64_C (0x5bd1e995), tracing);
  transport_begin ();
  store_begin ();
  sim_store.keeps_idle_connections = plan->fault == FAULT_KEEPS_CONNECTIONS;
  sim_store.hides_parts = plan->fault == FAULT_HIDES_PARTS;
  config_fleet = (struct config_fleet){ .plan = plan, .start = sim.now };
  until = sim.now + CONFIG_BEGIN + CONFIG_LENGTH;
  for (uint32_t i = 0; i < plan->host_count; i++)
    {
      struct config_host *host = &config_fleet.hosts[i];

      host->index = i;
      g_snprintf (host->name, sizeof host->name, "h%u", i);
      g_snprintf (host->domain, sizeof host->domain, "d%u",
                  i % plan->domain_count);
      transport_address (i, host->address);
      config_fleet.processes[i].last_end = sim.now;
    }
  for (uint32_t i = 0; i < plan->host_count; i++)
    config_host_start (&config_fleet.hosts[i], true);
  for (uint32_t i = 0; i < plan->write_count; i++)
    sim_at (config_fleet.start + CONFIG_BEGIN + plan->writes[i], SIM_NO_HOST,
            config_write, (void *)&plan->writes[i]);
  for (uint32_t i = 0; i < plan->disturbance_count; i++)
    {
      const struct config_disturbance *disturbance = &plan->disturbances[i];
      snipe_time begin = config_fleet.start + disturbance->begin;

      if (disturbance->off)
        continue;
      sim_at (begin, SIM_NO_HOST, config_begin_trouble, (void *)disturbance);
      sim_at (begin + disturbance->length, SIM_NO_HOST, config_end_trouble,
              (void *)disturbance);
      until = MAX (until, begin + disturbance->length);
    }
  sim_at (sim.now, SIM_NO_HOST, config_check, NULL);
  until += CONFIG_QUIET;
  while (!config_fleet.failed
         && ((const struct sim_event *)sim.events->pdata[0])->time <= until)
    sim_step ();
  return !config_fleet.failed;
}

static void
config_fleet_end (void)
{
  for (uint32_t i = 0; i < config_fleet.plan->host_count; i++)
    config_host_end (&config_fleet.hosts[i], false);
  transport_end ();
  store_end ();
  sim_end ();
}

#endif
