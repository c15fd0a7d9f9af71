/* snipelbd: the entry daemon. */

#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <time.h>

#include "caller/server.h"
#include "endpoint/client.h"
#include "engine/engine.h"
#include "operator/operator.h"
#include "platform/platform.h"
#include "snipe/status.h"
#include "util/log.h"
#include "util/settings.h"

#define EXIT_USAGE 2
/* The host counts as idle when nothing was in flight for this long: requests
   that a peer is about to hand over are then in. */
#define IDLE_TIME (300 * SNIPE_MS)
#define WAIT_STEP_NS 20000000
#define FILES_MAX 65536

/** Everything that can be set, with its default. */
struct config
{
  const char *listen;
  const char *rpc;
  const char *host;
  const char *domain;
  const char *region;
  double size;
  const char *platform;
  const char *peers;
  const char *port_file;
  uint64_t log_level;
  bool test_hooks;
  uint64_t http_threads;
  uint64_t endpoint_threads;
  uint64_t rpc_threads;
  uint64_t connections;
  uint64_t endpoint_connections;
  uint64_t body_bytes;
  uint64_t payload_bytes;
  uint64_t tasks;
  uint64_t depth;
  uint64_t queue;
  uint64_t policy;
  double pass_gain;
  uint64_t horizon_s;
  uint64_t answer_mb;
  uint64_t decisions;
  uint64_t hello_ms;
  uint64_t poll_ms;
  uint64_t platform_timeout_ms;
  uint64_t claim_ms;
  uint64_t lease_ms;
  uint64_t task_max_ms;
  uint64_t archive_ms;
  uint64_t drain_s;
  uint64_t seed;
};

static struct config config = {
  .listen = "127.0.0.1:7070",
  .rpc = "127.0.0.1:7071",
  .region = "default",
  .size = 1,
  .log_level = 3,
  .http_threads = 4,
  .endpoint_threads = 2,
  .rpc_threads = 16,
  .connections = 4000,
  .endpoint_connections = 64,
  .body_bytes = 1048576,
  .payload_bytes = 65536,
  .tasks = 220,
  .depth = 16,
  .queue = 100000,
  .pass_gain = 1.25,
  .horizon_s = 600,
  .answer_mb = 64,
  .decisions = 65536,
  .hello_ms = 1000,
  .poll_ms = 1000,
  .platform_timeout_ms = 1000,
  .claim_ms = 10,
  .lease_ms = 600000,
  .task_max_ms = 60000,
  .archive_ms = 2000,
  .drain_s = 60,
  .seed = 1,
};

static const char *const log_levels[]
    = { "error", "warning", "message", "info", "debug", NULL };
static const char *const policies[]
    = { "pooled", "random", "round-robin", "least-stale", NULL };

#define UINT_ROW(flag_, env_, arg_, help_, min_, max_, field)                 \
  {                                                                           \
    .flag = flag_, .env = "SNIPELBD_" env_, .arg = arg_, .help = help_,       \
    .type = SNIPE_SETTING_COUNT, .min = min_, .max = max_,                    \
    .out.number = &config.field                                               \
  }
#define TEXT_ROW(flag_, env_, arg_, help_, type_, required_, field)           \
  {                                                                           \
    .flag = flag_, .env = "SNIPELBD_" env_, .arg = arg_, .help = help_,       \
    .type = type_, .required = required_, .out.text = &config.field           \
  }

static const struct snipe_setting settings[] = {
  TEXT_ROW ("listen", "LISTEN", "IP:PORT", "address for callers and operators",
            SNIPE_SETTING_ADDRESS, false, listen),
  TEXT_ROW ("rpc", "RPC", "IP:PORT", "address for other entry daemons",
            SNIPE_SETTING_ADDRESS, false, rpc),
  TEXT_ROW ("host", "HOST", "NAME", "name of this host", SNIPE_SETTING_TEXT,
            true, host),
  TEXT_ROW ("domain", "DOMAIN", "NAME", "failure domain of this host",
            SNIPE_SETTING_TEXT, true, domain),
  TEXT_ROW ("region", "REGION", "NAME", "region of this host",
            SNIPE_SETTING_TEXT, false, region),
  { .flag = "size",
    .env = "SNIPELBD_SIZE",
    .arg = "N",
    .help = "capacity of this host relative to the others",
    .type = SNIPE_SETTING_DOUBLE,
    .min = 0.01,
    .max = 100,
    .out.real = &config.size },
  TEXT_ROW ("platform", "PLATFORM", "URL", "base URL of the platform",
            SNIPE_SETTING_TEXT, true, platform),
  TEXT_ROW ("peers", "PEERS", "IP:PORT,...",
            "RPC addresses of peers to greet when the platform is down",
            SNIPE_SETTING_TEXT, false, peers),
  TEXT_ROW ("port-file", "PORT_FILE", "PATH",
            "file that receives the two addresses once they are open",
            SNIPE_SETTING_TEXT, false, port_file),
  { .flag = "log-level",
    .env = "SNIPELBD_LOG_LEVEL",
    .arg = "LEVEL",
    .help = "least severe level; info has a line for each decision",
    .type = SNIPE_SETTING_CHOICE,
    .choices = log_levels,
    .out.number = &config.log_level },
  { .flag = "test-hooks",
    .env = "SNIPELBD_TEST_HOOKS",
    .arg = "BOOL",
    .help = "offer PUT /v1/test/refuse, which cuts off named hosts",
    .type = SNIPE_SETTING_BOOL,
    .out.flag = &config.test_hooks },
  UINT_ROW ("http-threads", "HTTP_THREADS", "N", "threads for callers", 1, 64,
            http_threads),
  UINT_ROW ("endpoint-threads", "ENDPOINT_THREADS", "N",
            "threads for endpoints", 1, 64, endpoint_threads),
  UINT_ROW ("rpc-threads", "RPC_THREADS", "N", "threads that call peers", 1,
            64, rpc_threads),
  UINT_ROW ("connections", "CONNECTIONS", "N", "open connections of callers",
            1, 100000, connections),
  UINT_ROW ("endpoint-connections", "ENDPOINT_CONNECTIONS", "N",
            "connections to an endpoint", 1, 4096, endpoint_connections),
  UINT_ROW ("body-bytes", "BODY_BYTES", "N", "largest body of a request", 1024,
            4194304, body_bytes),
  UINT_ROW ("payload-bytes", "PAYLOAD_BYTES", "N", "largest payload of a task",
            16, 4194304, payload_bytes),
  UINT_ROW ("tasks", "TASKS", "N", "most tasks of a job", 1, 256, tasks),
  UINT_ROW ("depth", "DEPTH", "N", "deepest nesting of JSON", 3, 512, depth),
  UINT_ROW ("queue", "QUEUE", "N", "most tasks that wait on this host", 1,
            10000000, queue),
  { .flag = "policy",
    .env = "SNIPELBD_POLICY",
    .arg = "NAME",
    .help = "placement policy; all but pooled are baselines to compare with",
    .type = SNIPE_SETTING_CHOICE,
    .choices = policies,
    .out.number = &config.policy },
  { .flag = "pass-gain",
    .env = "SNIPELBD_PASS_GAIN",
    .arg = "RATIO",
    .help = "how much faster a peer's endpoint must be to pass a task",
    .type = SNIPE_SETTING_DOUBLE,
    .min = 1,
    .max = 1000,
    .out.real = &config.pass_gain },
  UINT_ROW ("horizon-s", "HORIZON_S", "S", "memory of submission ids", 10,
            86400, horizon_s),
  UINT_ROW ("answer-mb", "ANSWER_MB", "MB", "memory for answers", 1, 65536,
            answer_mb),
  UINT_ROW ("decisions", "DECISIONS", "N",
            "decisions kept to explain, a power of two", 16, 16777216,
            decisions),
  UINT_ROW ("hello-ms", "HELLO_MS", "MS", "between heartbeats to a peer", 50,
            60000, hello_ms),
  UINT_ROW ("poll-ms", "POLL_MS", "MS", "between polls of the platform", 50,
            2000, poll_ms),
  UINT_ROW ("platform-timeout-ms", "PLATFORM_TIMEOUT_MS", "MS",
            "longest call to the platform", 50, 60000, platform_timeout_ms),
  UINT_ROW ("claim-ms", "CLAIM_MS", "MS",
            "least time between two claim transactions", 0, 1000, claim_ms),
  UINT_ROW ("lease-ms", "LEASE_MS", "MS", "lease of quota shares", 600,
            86400000, lease_ms),
  UINT_ROW ("task-max-ms", "TASK_MAX_MS", "MS", "longest task", 100, 3600000,
            task_max_ms),
  UINT_ROW ("archive-ms", "ARCHIVE_MS", "MS", "between archive segments", 50,
            600000, archive_ms),
  UINT_ROW ("drain-s", "DRAIN_S", "S",
            "longest wait for work in flight at shutdown", 0, 3600, drain_s),
  UINT_ROW ("seed", "SEED", "N", "seed of jitter", 0, 1e15, seed),
  { .flag = NULL },
};

/** The parts of the running daemon. */
struct daemon
{
  struct snipe_engine *engine;
  struct snipe_endpoint_client *endpoints;
  struct snipe_peer_net *net;
  struct snipe_operator *pages;
  struct snipe_caller_server *server;
  struct snipe_platform *platform;
  uint64_t incarnation;
  char rpc[64];
  char http[64];
  gchar **seeds;
};

/** Raises the soft limit of open files: connections to endpoints alone may
 * pass the usual 1024. libtirpc sizes tables by the limit, so it is bounded
 * and set before the first RPC call. */
static void
raise_file_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = MIN (limit.rlim_max, FILES_MAX);
  setrlimit (RLIMIT_NOFILE, &limit);
}

/** Replaces the port of an "ip:port" address. */
static void
with_port (char *out, size_t size, const char *address, uint16_t port)
{
  const char *colon = strrchr (address, ':');

  snprintf (out, size, "%.*s:%u", (int)(colon - address), address, port);
}

static int
start_engine (struct daemon *daemon)
{
  struct snipe_engine_options options = SNIPE_ENGINE_OPTIONS_INIT;

  options.incarnation = daemon->incarnation;
  options.host = config.host;
  options.domain = config.domain;
  options.region = config.region;
  options.size = config.size;
  options.id_retention = (snipe_time)config.horizon_s * SNIPE_S;
  options.answer_cache_bytes = config.answer_mb * 1048576;
  options.decision_log_entries = (uint32_t)config.decisions;
  options.task_duration_max = (snipe_time)config.task_max_ms * SNIPE_MS;
  options.heartbeat_interval = (snipe_time)config.hello_ms * SNIPE_MS;
  options.archive_interval = (snipe_time)config.archive_ms * SNIPE_MS;
  options.limits.body_bytes = config.body_bytes;
  options.limits.payload_bytes = config.payload_bytes;
  options.limits.tasks = (uint32_t)config.tasks;
  options.limits.depth = (uint32_t)config.depth;
  options.sched.policy = (enum snipe_policy)config.policy;
  options.sched.offload_min_speedup = config.pass_gain;
  options.sched.queue_max = (uint32_t)config.queue;
  options.sched.seed = config.seed ^ daemon->incarnation;
  return snipe_engine_new (&daemon->engine, &options);
}

static int
start_clients (struct daemon *daemon)
{
  struct snipe_endpoint_client_options endpoints
      = SNIPE_ENDPOINT_CLIENT_OPTIONS_INIT;
  struct snipe_peer_net_options net = SNIPE_PEER_NET_OPTIONS_INIT;
  struct snipe_engine_dependencies links = { 0 };
  int status;

  endpoints.threads = (uint32_t)config.endpoint_threads;
  endpoints.connections = (uint32_t)config.endpoint_connections;
  status = snipe_endpoint_client_new (&daemon->endpoints, &endpoints);
  if (status < 0)
    return status;
  net.listen = config.rpc;
  net.sender_threads = (uint32_t)config.rpc_threads;
  net.handlers = snipe_engine_peer_handlers ();
  net.ctx = daemon->engine;
  status = snipe_peer_net_new (&daemon->net, &net);
  if (status < 0)
    return status;
  with_port (daemon->rpc, sizeof daemon->rpc, config.rpc,
             snipe_peer_net_port (daemon->net));
  links.endpoints = daemon->endpoints;
  links.net = daemon->net;
  links.rpc_address = daemon->rpc;
  links.seeds = (const char *const *)daemon->seeds;
  return snipe_engine_start (daemon->engine, &links);
}

static int
start_server (struct daemon *daemon)
{
  struct snipe_caller_server_options options
      = SNIPE_CALLER_SERVER_OPTIONS_INIT;
  int status
      = snipe_operator_new (&daemon->pages, daemon->engine, config.test_hooks);

  if (status < 0)
    return status;
  options.listen = config.listen;
  options.threads = (uint32_t)config.http_threads;
  options.connections = (uint32_t)config.connections;
  options.body_bytes = config.body_bytes;
  options.engine = daemon->engine;
  options.operator_pages = daemon->pages;
  status = snipe_caller_server_new (&daemon->server, &options);
  if (status < 0)
    return status;
  with_port (daemon->http, sizeof daemon->http, config.listen,
             snipe_caller_server_port (daemon->server));
  return SNIPE_OK;
}

static int
start_platform (struct daemon *daemon)
{
  struct snipe_platform_options options = SNIPE_PLATFORM_OPTIONS_INIT;
  int status;

  options.url = config.platform;
  options.host = config.host;
  options.timeout = (snipe_time)config.platform_timeout_ms * SNIPE_MS;
  options.poll = (snipe_time)config.poll_ms * SNIPE_MS;
  options.claim_interval = (snipe_time)config.claim_ms * SNIPE_MS;
  options.lease = (snipe_time)config.lease_ms * SNIPE_MS;
  options.task_max = (snipe_time)config.task_max_ms * SNIPE_MS;
  options.claim_keep = 2 * (snipe_time)config.horizon_s * SNIPE_S;
  options.self.incarnation = daemon->incarnation;
  options.self.size = config.size;
  snipe_str_set_c (&options.self.name, config.host);
  snipe_str_set_c (&options.self.rpc, daemon->rpc);
  snipe_str_set_c (&options.self.http, daemon->http);
  snipe_str_set_c (&options.self.domain, config.domain);
  snipe_str_set_c (&options.self.region, config.region);
  options.events = snipe_engine_platform_events ();
  options.ctx = daemon->engine;
  status = snipe_platform_new (&daemon->platform, &options);
  snipe_str_clear (&options.self.name);
  snipe_str_clear (&options.self.rpc);
  snipe_str_clear (&options.self.http);
  snipe_str_clear (&options.self.domain);
  snipe_str_clear (&options.self.region);
  if (status == SNIPE_OK)
    snipe_engine_set_platform (daemon->engine, daemon->platform);
  return status;
}

static int
write_port_file (const struct daemon *daemon)
{
  char *text;
  GError *error = NULL;
  int status = SNIPE_OK;

  if (config.port_file == NULL)
    return SNIPE_OK;
  text = g_strdup_printf ("%s %s\n", daemon->http, daemon->rpc);
  if (!g_file_set_contents (config.port_file, text, -1, &error))
    {
      status = snipe_status_set (SNIPE_E_INVALID, "%s", error->message);
      g_error_free (error);
    }
  g_free (text);
  return status;
}

static int
start (struct daemon *daemon)
{
  int status;

  if (getrandom (&daemon->incarnation, sizeof daemon->incarnation, 0)
      != (ssize_t)sizeof daemon->incarnation)
    return snipe_status_set (SNIPE_E_INTERNAL, "no random numbers");
  daemon->seeds
      = config.peers == NULL ? NULL : g_strsplit (config.peers, ",", -1);
  if ((status = start_engine (daemon)) < 0
      || (status = start_clients (daemon)) < 0
      || (status = start_server (daemon)) < 0
      || (status = start_platform (daemon)) < 0)
    return status;
  return write_port_file (daemon);
}

/** Waits for SIGTERM, SIGINT or an operator's drain. */
static void
wait_for_stop (const struct daemon *daemon, const sigset_t *signals)
{
  const struct timespec step = { .tv_nsec = WAIT_STEP_NS };

  while (!snipe_operator_drain_requested (daemon->pages))
    if (sigtimedwait (signals, NULL, &step) > 0 || errno == EINVAL)
      return;
}

/** Lets work in flight end. @return whether all of it did. */
static bool
drain (struct daemon *daemon)
{
  snipe_time give_up
      = snipe_clock_now () + (snipe_time)config.drain_s * SNIPE_S;
  snipe_time idle_since = -1;

  snipe_engine_drain (daemon->engine);
  snipe_platform_leave (daemon->platform, false);
  for (;;)
    {
      const struct timespec step = { .tv_nsec = WAIT_STEP_NS };
      snipe_time now = snipe_clock_now ();
      bool idle = snipe_engine_idle (daemon->engine)
                  && snipe_caller_server_waiting (daemon->server) == 0;

      if (!idle)
        idle_since = -1;
      else if (idle_since < 0)
        idle_since = now;
      if (idle && now - idle_since >= IDLE_TIME)
        return true;
      if (now >= give_up)
        return false;
      nanosleep (&step, NULL);
    }
}

static void
stop (struct daemon *daemon, bool drained)
{
  int status = snipe_engine_archive (daemon->engine, drained);

  if (status < 0)
    g_warning ("the archive could not be completed: %s", snipe_status_last ());
  snipe_platform_leave (daemon->platform, true);
  if (!drained)
    {
      /* Work still runs; freeing under it would be unsafe. */
      g_warning ("work was still in flight after %d s; its outcome is "
                 "unknown",
                 (int)config.drain_s);
      snipe_log_stop ();
      _exit (EXIT_FAILURE);
    }
  snipe_engine_stop (daemon->engine);
  snipe_caller_server_free (daemon->server);
  snipe_engine_set_platform (daemon->engine, NULL);
  snipe_platform_free (daemon->platform);
  snipe_peer_net_free (daemon->net);
  snipe_endpoint_client_free (daemon->endpoints);
  snipe_operator_free (daemon->pages);
  snipe_engine_free (daemon->engine);
  g_strfreev (daemon->seeds);
}

int
main (int argc, char **argv)
{
  struct daemon daemon = { 0 };
  sigset_t signals;
  bool drained;

  if (snipe_settings_read (settings, argc, argv,
                           "Entry daemon of snipelb: takes jobs from callers "
                           "and starts their tasks at endpoints.")
      < 0)
    return EXIT_USAGE;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  raise_file_limit ();
  curl_global_init (CURL_GLOBAL_ALL);
  if (snipe_log_start (log_levels[config.log_level]) < 0
      || start (&daemon) < 0)
    {
      fprintf (stderr, "snipelbd: %s\n", snipe_status_last ());
      snipe_log_stop ();
      _exit (EXIT_FAILURE);
    }
  g_message ("host %s, incarnation %016" G_GINT64_MODIFIER
             "x, callers at %s, peers at %s",
             config.host, (guint64)daemon.incarnation, daemon.http,
             daemon.rpc);
  wait_for_stop (&daemon, &signals);
  drained = drain (&daemon);
  stop (&daemon, drained);
  g_message ("stopped");
  snipe_log_stop ();
  curl_global_cleanup ();
  return EXIT_SUCCESS;
}
