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
/* The host is idle once nothing has been in flight for this long: batches that
   a peer is about to send arrive within this time. */
#define IDLE_TIME_US (300 * SNIPE_MS)
#define CHECK_INTERVAL_NS 20000000
#define OPEN_FILES_MAX 65536

/** Values of the settings; config below holds the defaults. */
struct config
{
  const char *listen;
  const char *rpc_listen;
  const char *host;
  const char *domain;
  const char *region;
  double capacity_weight;
  const char *platform;
  const char *peers;
  const char *port_file;
  uint64_t log_level;
  bool test_hooks;
  uint64_t http_threads;
  uint64_t endpoint_threads;
  uint64_t rpc_threads;
  uint64_t connections_max;
  uint64_t endpoint_connections_max;
  uint64_t body_bytes_max;
  uint64_t memory_mb;
  uint64_t max_fds;
  uint64_t payload_bytes_max;
  uint64_t job_tasks_max;
  uint64_t json_depth_max;
  uint64_t queue_max;
  uint64_t policy;
  double offload_min_speedup;
  uint64_t id_retention_s;
  uint64_t answer_cache_mb;
  uint64_t decision_log_entries;
  uint64_t heartbeat_interval_ms;
  uint64_t platform_poll_interval_ms;
  uint64_t platform_timeout_ms;
  uint64_t claim_interval_ms;
  uint64_t quota_lease_ms;
  uint64_t task_duration_max_ms;
  uint64_t archive_interval_ms;
  uint64_t drain_timeout_s;
  uint64_t jitter_seed;
};

static struct config config = {
  .listen = "127.0.0.1:7070",
  .rpc_listen = "127.0.0.1:7071",
  .region = "default",
  .capacity_weight = 1,
  .log_level = 3,
  .http_threads = 4,
  .endpoint_threads = 2,
  .rpc_threads = 16,
  .connections_max = 4000,
  .endpoint_connections_max = 64,
  .body_bytes_max = 1048576,
  .memory_mb = 16700,
  .max_fds = 8000,
  .payload_bytes_max = 65536,
  .job_tasks_max = 220,
  .json_depth_max = 16,
  .queue_max = 100000,
  .offload_min_speedup = 1.25,
  .id_retention_s = 600,
  .answer_cache_mb = 64,
  .decision_log_entries = 65536,
  .heartbeat_interval_ms = 1000,
  .platform_poll_interval_ms = 1000,
  .platform_timeout_ms = 1000,
  .claim_interval_ms = 10,
  .quota_lease_ms = 600000,
  .task_duration_max_ms = 60000,
  .archive_interval_ms = 2000,
  .drain_timeout_s = 60,
  .jitter_seed = 1,
};

static const char *const log_levels[]
    = { "error", "warning", "message", "info", "debug", NULL };
static const char *const policies[]
    = { "pooled", "random", "round-robin", "least-stale", NULL };

#define UINT_SETTING(flag_, env_, arg_, help_, min_, max_, field)             \
  {                                                                           \
    .flag = flag_, .env = "SNIPELBD_" env_, .arg = arg_, .help = help_,       \
    .type = SNIPE_SETTING_COUNT, .min = min_, .max = max_,                    \
    .out.number = &config.field                                               \
  }
#define TEXT_SETTING(flag_, env_, arg_, help_, type_, required_, field)       \
  {                                                                           \
    .flag = flag_, .env = "SNIPELBD_" env_, .arg = arg_, .help = help_,       \
    .type = type_, .required = required_, .out.text = &config.field           \
  }

static const struct snipe_setting settings[] = {
  TEXT_SETTING ("listen", "LISTEN", "IP:PORT",
                "address for callers and operators", SNIPE_SETTING_ADDRESS,
                false, listen),
  TEXT_SETTING ("rpc", "RPC", "IP:PORT", "address for other entry daemons",
                SNIPE_SETTING_ADDRESS, false, rpc_listen),
  TEXT_SETTING ("host", "HOST", "NAME", "name of this host",
                SNIPE_SETTING_TEXT, true, host),
  TEXT_SETTING ("domain", "DOMAIN", "NAME", "failure domain of this host",
                SNIPE_SETTING_TEXT, true, domain),
  TEXT_SETTING ("region", "REGION", "NAME", "region of this host",
                SNIPE_SETTING_TEXT, false, region),
  { .flag = "size",
    .env = "SNIPELBD_SIZE",
    .arg = "N",
    .help = "capacity of this host relative to the others",
    .type = SNIPE_SETTING_DOUBLE,
    .min = 0.01,
    .max = 100,
    .out.real = &config.capacity_weight },
  TEXT_SETTING ("platform", "PLATFORM", "URL", "base URL of the platform",
                SNIPE_SETTING_TEXT, true, platform),
  TEXT_SETTING ("peers", "PEERS", "IP:PORT,...",
                "RPC addresses of peers to contact when the platform is down",
                SNIPE_SETTING_TEXT, false, peers),
  TEXT_SETTING ("port-file", "PORT_FILE", "PATH",
                "file to write both addresses to once they are open",
                SNIPE_SETTING_TEXT, false, port_file),
  { .flag = "log-level",
    .env = "SNIPELBD_LOG_LEVEL",
    .arg = "LEVEL",
    .help = "least severe level to log; info logs each decision",
    .type = SNIPE_SETTING_CHOICE,
    .choices = log_levels,
    .out.number = &config.log_level },
  { .flag = "test-hooks",
    .env = "SNIPELBD_TEST_HOOKS",
    .arg = "BOOL",
    .help = "serve PUT /v1/test/refuse, which blocks named hosts",
    .type = SNIPE_SETTING_BOOL,
    .out.flag = &config.test_hooks },
  UINT_SETTING ("http-threads", "HTTP_THREADS", "N", "threads for callers", 1,
                64, http_threads),
  UINT_SETTING ("endpoint-threads", "ENDPOINT_THREADS", "N",
                "threads for endpoints", 1, 64, endpoint_threads),
  UINT_SETTING ("rpc-threads", "RPC_THREADS", "N", "threads that call peers",
                1, 64, rpc_threads),
  UINT_SETTING ("connections", "CONNECTIONS", "N",
                "most open connections of callers", 1, 100000,
                connections_max),
  UINT_SETTING ("endpoint-connections", "ENDPOINT_CONNECTIONS", "N",
                "most connections to an endpoint", 1, 4096,
                endpoint_connections_max),
  UINT_SETTING ("body-bytes", "BODY_BYTES", "N", "largest body of a request",
                1024, 4194304, body_bytes_max),
  UINT_SETTING ("memory-mb", "MEMORY_MB", "MB",
                "memory of this process, which bounds connections and bodies "
                "of callers to a quarter of it each",
                16, 1048576, memory_mb),
  UINT_SETTING ("max-fds", "MAX_FDS", "N",
                "descriptors of this process, half of them for callers", 64,
                1048576, max_fds),
  UINT_SETTING ("payload-bytes", "PAYLOAD_BYTES", "N",
                "largest payload of a task", 16, 4194304, payload_bytes_max),
  UINT_SETTING ("tasks", "TASKS", "N", "most tasks in a job", 1, 256,
                job_tasks_max),
  UINT_SETTING ("depth", "DEPTH", "N", "deepest nesting of JSON", 3, 512,
                json_depth_max),
  UINT_SETTING ("queue", "QUEUE", "N", "most queued tasks on this host", 1,
                10000000, queue_max),
  { .flag = "policy",
    .env = "SNIPELBD_POLICY",
    .arg = "NAME",
    .help = "placement policy; all but pooled are baselines for comparison",
    .type = SNIPE_SETTING_CHOICE,
    .choices = policies,
    .out.number = &config.policy },
  { .flag = "pass-gain",
    .env = "SNIPELBD_PASS_GAIN",
    .arg = "RATIO",
    .help = "minimum speedup at a peer's endpoint to offload a task",
    .type = SNIPE_SETTING_DOUBLE,
    .min = 1,
    .max = 1000,
    .out.real = &config.offload_min_speedup },
  UINT_SETTING ("horizon-s", "HORIZON_S", "S",
                "time to remember submission ids", 10, 86400, id_retention_s),
  UINT_SETTING ("answer-mb", "ANSWER_MB", "MB", "memory for cached answers", 1,
                65536, answer_cache_mb),
  UINT_SETTING ("decisions", "DECISIONS", "N",
                "decisions kept for explain, a power of two", 16, 16777216,
                decision_log_entries),
  UINT_SETTING ("hello-ms", "HELLO_MS", "MS",
                "interval between heartbeats to a peer", 50, 60000,
                heartbeat_interval_ms),
  UINT_SETTING ("poll-ms", "POLL_MS", "MS",
                "interval between polls of the platform", 50, 2000,
                platform_poll_interval_ms),
  UINT_SETTING ("platform-timeout-ms", "PLATFORM_TIMEOUT_MS", "MS",
                "time limit of a call to the platform", 50, 60000,
                platform_timeout_ms),
  UINT_SETTING ("claim-ms", "CLAIM_MS", "MS",
                "minimum interval between claim transactions", 0, 1000,
                claim_interval_ms),
  UINT_SETTING ("lease-ms", "LEASE_MS", "MS",
                "duration of the lease of quota shares", 600, 86400000,
                quota_lease_ms),
  UINT_SETTING ("task-max-ms", "TASK_MAX_MS", "MS",
                "maximum duration of a task", 100, 3600000,
                task_duration_max_ms),
  UINT_SETTING ("archive-ms", "ARCHIVE_MS", "MS",
                "interval between archive segments", 50, 600000,
                archive_interval_ms),
  UINT_SETTING ("drain-s", "DRAIN_S", "S",
                "longest wait for work in flight at shutdown", 0, 3600,
                drain_timeout_s),
  UINT_SETTING ("seed", "SEED", "N", "seed of random jitter", 0, 1e15,
                jitter_seed),
  { .flag = NULL },
};

/** Components of the running daemon. */
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

/** Raises the soft limit of open files, since connections to endpoints alone
 * may exceed the usual 1024. libtirpc allocates tables of the size of this
 * limit, so it is capped, and set before the first RPC call. */
static void
raise_file_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = MIN (limit.rlim_max, OPEN_FILES_MAX);
  setrlimit (RLIMIT_NOFILE, &limit);
}

/** Formats an "ip:port" address with its port replaced by @p port. */
static void
format_address (char *out, size_t size, const char *address, uint16_t port)
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
  options.capacity_weight = config.capacity_weight;
  options.id_retention = (snipe_time)config.id_retention_s * SNIPE_S;
  options.answer_cache_bytes = config.answer_cache_mb * 1048576;
  options.decision_log_entries = (uint32_t)config.decision_log_entries;
  options.task_duration_max
      = (snipe_time)config.task_duration_max_ms * SNIPE_MS;
  options.heartbeat_interval
      = (snipe_time)config.heartbeat_interval_ms * SNIPE_MS;
  options.archive_interval = (snipe_time)config.archive_interval_ms * SNIPE_MS;
  options.limits.body_bytes = config.body_bytes_max;
  options.limits.payload_bytes = config.payload_bytes_max;
  options.limits.tasks = (uint32_t)config.job_tasks_max;
  options.limits.depth = (uint32_t)config.json_depth_max;
  options.sched.policy = (enum snipe_policy)config.policy;
  options.sched.offload_min_speedup = config.offload_min_speedup;
  options.sched.queue_max = (uint32_t)config.queue_max;
  options.sched.seed = config.jitter_seed ^ daemon->incarnation;
  return snipe_engine_new (&daemon->engine, &options);
}

static int
start_clients (struct daemon *daemon)
{
  struct snipe_endpoint_client_options endpoints
      = SNIPE_ENDPOINT_CLIENT_OPTIONS_INIT;
  struct snipe_peer_net_options net = SNIPE_PEER_NET_OPTIONS_INIT;
  struct snipe_engine_dependencies dependencies = { 0 };
  int status;

  endpoints.threads = (uint32_t)config.endpoint_threads;
  endpoints.connections = (uint32_t)config.endpoint_connections_max;
  status = snipe_endpoint_client_new (&daemon->endpoints, &endpoints);
  if (status < 0)
    return status;
  net.listen = config.rpc_listen;
  net.sender_threads = (uint32_t)config.rpc_threads;
  net.handlers = snipe_engine_peer_handlers ();
  net.ctx = daemon->engine;
  status = snipe_peer_net_new (&daemon->net, &net);
  if (status < 0)
    return status;
  format_address (daemon->rpc, sizeof daemon->rpc, config.rpc_listen,
                  snipe_peer_net_port (daemon->net));
  dependencies.endpoints = daemon->endpoints;
  dependencies.net = daemon->net;
  dependencies.rpc_address = daemon->rpc;
  dependencies.seeds = (const char *const *)daemon->seeds;
  return snipe_engine_start (daemon->engine, &dependencies);
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
  options.connections = (uint32_t)config.connections_max;
  options.body_bytes = config.body_bytes_max;
  options.memory_mb = config.memory_mb;
  options.max_fds = config.max_fds;
  options.engine = daemon->engine;
  options.operator_pages = daemon->pages;
  status = snipe_caller_server_new (&daemon->server, &options);
  if (status < 0)
    return status;
  format_address (daemon->http, sizeof daemon->http, config.listen,
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
  options.poll_interval
      = (snipe_time)config.platform_poll_interval_ms * SNIPE_MS;
  options.claim_interval = (snipe_time)config.claim_interval_ms * SNIPE_MS;
  options.lease_duration = (snipe_time)config.quota_lease_ms * SNIPE_MS;
  options.task_duration_max
      = (snipe_time)config.task_duration_max_ms * SNIPE_MS;
  options.claim_retention = 2 * (snipe_time)config.id_retention_s * SNIPE_S;
  options.self.incarnation = daemon->incarnation;
  options.self.capacity_weight = config.capacity_weight;
  snipe_str_set_c (&options.self.name, config.host);
  snipe_str_set_c (&options.self.rpc, daemon->rpc);
  snipe_str_set_c (&options.self.http, daemon->http);
  snipe_str_set_c (&options.self.domain, config.domain);
  snipe_str_set_c (&options.self.region, config.region);
  options.callbacks = snipe_engine_platform_callbacks ();
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
    return snipe_status_set (
        SNIPE_E_INTERNAL, "cannot generate an incarnation: no random bytes");
  daemon->seeds
      = config.peers == NULL ? NULL : g_strsplit (config.peers, ",", -1);
  if ((status = start_engine (daemon)) < 0
      || (status = start_clients (daemon)) < 0
      || (status = start_server (daemon)) < 0
      || (status = start_platform (daemon)) < 0)
    return status;
  return write_port_file (daemon);
}

/** Waits for SIGTERM, SIGINT or an operator's request to drain. */
static void
wait_for_stop (const struct daemon *daemon, const sigset_t *signals)
{
  const struct timespec interval = { .tv_nsec = CHECK_INTERVAL_NS };

  while (!snipe_operator_drain_requested (daemon->pages))
    if (sigtimedwait (signals, NULL, &interval) > 0 || errno == EINVAL)
      return;
}

/** Stops taking new work and waits until nothing is in flight, at most the
 * drain timeout. @return whether all work has ended. */
static bool
drain (struct daemon *daemon)
{
  snipe_time deadline
      = snipe_clock_now () + (snipe_time)config.drain_timeout_s * SNIPE_S;
  snipe_time idle_since = -1;

  snipe_engine_drain (daemon->engine);
  snipe_platform_leave (daemon->platform, false);
  for (;;)
    {
      const struct timespec interval = { .tv_nsec = CHECK_INTERVAL_NS };
      snipe_time now = snipe_clock_now ();
      bool idle = snipe_engine_idle (daemon->engine)
                  && snipe_caller_server_waiting (daemon->server) == 0;

      if (!idle)
        idle_since = -1;
      else if (idle_since < 0)
        idle_since = now;
      if (idle && now - idle_since >= IDLE_TIME_US)
        return true;
      if (now >= deadline)
        return false;
      nanosleep (&interval, NULL);
    }
}

static void
stop (struct daemon *daemon, bool drained)
{
  int status = snipe_engine_archive (daemon->engine, drained);

  if (status < 0)
    g_warning ("cannot complete the archive: %s", snipe_status_last ());
  snipe_platform_leave (daemon->platform, true);
  if (!drained)
    {
      /* Threads still use the components, so freeing them would be unsafe. */
      g_warning ("work was still in flight after %d s; its outcome is "
                 "unknown",
                 (int)config.drain_timeout_s);
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
