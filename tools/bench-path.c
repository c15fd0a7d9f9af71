/**
 * @file bench-path.c
 * Compares processor time per request and request rate of the endpoint client
 * with those of two bare libcurl multi clients that post the same body over
 * the same number of persistent connections: one uses curl_multi_poll (), the
 * other curl_multi_socket_action () and epoll. The clients take turns within
 * one run, because times of different runs are not comparable.
 */
#include <argp.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <time.h>

#include "endpoint/client.h"
#include "snipe/status.h"

#define ADDRESSES_MAX 64
#define ROUNDS_MAX 99

static const char body_text[]
    = "{\"task\":\"s-0123456789abcdef-00000001/7\",\"team\":\"reorder\","
      "\"kind\":\"price-strip\",\"payload\":{\"sku\":12345}}";
static const char answer_text[] = "{\"result\":{\"price\":1250}}";

struct settings
{
  char *address_list;
  char *addresses[ADDRESSES_MAX];
  int address_count;
  long count;
  long concurrency;
  long rounds;
  long threads;
  bool self_serve;
};

struct bench
{
  struct settings settings;
  char urls[ADDRESSES_MAX][96];
  struct curl_slist *headers;
  /* Bare clients. */
  CURLM *multi;
  long started;
  long completed;
  long failed;
  int epoll_fd;
  long timeout_ms;
  /* Endpoint client. */
  struct snipe_endpoint_client *client;
  pthread_mutex_t lock;
  pthread_cond_t finished;
};

struct measurement
{
  double cpu_us; /* processor time per request */
  double rate;   /* requests per second */
};

/* HTTP server of --self-serve. Its thread stores its CPU-time clock, so that
 * its time can be subtracted from that of the process. */
static pthread_mutex_t server_lock = PTHREAD_MUTEX_INITIALIZER;
static bool server_clock_valid;
static clockid_t server_clock;

static enum MHD_Result
on_request (void *ctx, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *data_len, void **request)
{
  static int request_seen;
  struct MHD_Response *response;
  enum MHD_Result result;

  (void)ctx;
  (void)url;
  (void)method;
  (void)version;
  (void)data;
  if (*request == NULL)
    {
      pthread_mutex_lock (&server_lock);
      if (!server_clock_valid)
        server_clock_valid
            = pthread_getcpuclockid (pthread_self (), &server_clock) == 0;
      pthread_mutex_unlock (&server_lock);
      *request = &request_seen;
      return MHD_YES;
    }
  if (*data_len > 0)
    {
      *data_len = 0;
      return MHD_YES;
    }
  response = MHD_create_response_from_buffer (
      sizeof answer_text - 1, (void *)answer_text, MHD_RESPMEM_PERSISTENT);
  if (response == NULL)
    return MHD_NO;
  result = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static double
server_cpu_seconds (void)
{
  struct timespec time = { 0 };

  pthread_mutex_lock (&server_lock);
  if (server_clock_valid)
    (void)clock_gettime (server_clock, &time);
  pthread_mutex_unlock (&server_lock);
  return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static double
timeval_seconds (struct timeval time)
{
  return (double)time.tv_sec + (double)time.tv_usec / 1e6;
}

/* Processor time of this process without the HTTP server's thread. */
static double
cpu_seconds (void)
{
  struct rusage usage;

  (void)getrusage (RUSAGE_SELF, &usage);
  return timeval_seconds (usage.ru_utime) + timeval_seconds (usage.ru_stime)
         - server_cpu_seconds ();
}

static size_t
discard_data (char *data, size_t size, size_t count, void *ctx)
{
  (void)data;
  (void)ctx;
  return size * count;
}

static CURL *
new_easy (const struct bench *bench, long request_index)
{
  CURL *easy = curl_easy_init ();

  if (easy == NULL)
    return NULL;
  (void)curl_easy_setopt (
      easy, CURLOPT_URL,
      bench->urls[request_index % bench->settings.address_count]);
  (void)curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  (void)curl_easy_setopt (easy, CURLOPT_PROXY, "");
  (void)curl_easy_setopt (easy, CURLOPT_HTTPHEADER, bench->headers);
  (void)curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body_text);
  (void)curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_data);
  return easy;
}

/* Starts the next request on the handle of each completed transfer. */
static void
restart_transfers (struct bench *bench)
{
  CURLMsg *msg;
  int left;

  while ((msg = curl_multi_info_read (bench->multi, &left)) != NULL)
    {
      CURL *easy = msg->easy_handle;
      long status = 0;

      (void)curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
      if (msg->data.result != CURLE_OK || status != 200)
        bench->failed++;
      bench->completed++;
      (void)curl_multi_remove_handle (bench->multi, easy);
      if (bench->started < bench->settings.count)
        {
          bench->started++;
          (void)curl_multi_add_handle (bench->multi, easy);
        }
    }
}

static void
run_poll_loop (struct bench *bench)
{
  int running;

  while (bench->completed < bench->settings.count)
    {
      (void)curl_multi_perform (bench->multi, &running);
      restart_transfers (bench);
      if (bench->completed < bench->settings.count)
        (void)curl_multi_poll (bench->multi, NULL, 0, 1000, NULL);
    }
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *ctx,
           void *socket_data)
{
  struct bench *bench = ctx;
  struct epoll_event event = { .data.fd = fd };

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      (void)epoll_ctl (bench->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
      return 0;
    }
  if (what & CURL_POLL_IN)
    event.events |= EPOLLIN;
  if (what & CURL_POLL_OUT)
    event.events |= EPOLLOUT;
  (void)epoll_ctl (bench->epoll_fd,
                   socket_data == NULL ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd,
                   &event);
  (void)curl_multi_assign (bench->multi, fd, bench);
  return 0;
}

static int
on_timer (CURLM *multi, long timeout_ms, void *ctx)
{
  struct bench *bench = ctx;

  (void)multi;
  bench->timeout_ms = timeout_ms;
  return 0;
}

static void
run_epoll_loop (struct bench *bench)
{
  struct epoll_event events[64];
  int running;

  while (bench->completed < bench->settings.count)
    {
      int count
          = epoll_wait (bench->epoll_fd, events, 64, (int)bench->timeout_ms);

      for (int i = 0; i < count; i++)
        {
          int action = 0;

          if (events[i].events & EPOLLIN)
            action |= CURL_CSELECT_IN;
          if (events[i].events & EPOLLOUT)
            action |= CURL_CSELECT_OUT;
          (void)curl_multi_socket_action (bench->multi, events[i].data.fd,
                                          action, &running);
        }
      if (count == 0 || bench->timeout_ms == 0)
        (void)curl_multi_socket_action (bench->multi, CURL_SOCKET_TIMEOUT, 0,
                                        &running);
      restart_transfers (bench);
    }
}

static void
free_bare_client (struct bench *bench, CURL **easies)
{
  for (long i = 0; i < bench->settings.concurrency; i++)
    if (easies[i] != NULL)
      {
        (void)curl_multi_remove_handle (bench->multi, easies[i]);
        curl_easy_cleanup (easies[i]);
      }
  (void)curl_multi_cleanup (bench->multi);
  free (easies);
}

static void
run_bare_client (struct bench *bench, bool by_epoll)
{
  CURL **easies
      = calloc ((size_t)bench->settings.concurrency, sizeof (CURL *));

  bench->multi = curl_multi_init ();
  if (easies == NULL || bench->multi == NULL)
    abort ();
  (void)curl_multi_setopt (bench->multi, CURLMOPT_MAXCONNECTS,
                           bench->settings.concurrency);
  if (by_epoll)
    {
      (void)curl_multi_setopt (bench->multi, CURLMOPT_SOCKETFUNCTION,
                               on_socket);
      (void)curl_multi_setopt (bench->multi, CURLMOPT_SOCKETDATA, bench);
      (void)curl_multi_setopt (bench->multi, CURLMOPT_TIMERFUNCTION, on_timer);
      (void)curl_multi_setopt (bench->multi, CURLMOPT_TIMERDATA, bench);
    }
  for (long i = 0; i < bench->settings.concurrency
                   && bench->started < bench->settings.count;
       i++)
    {
      easies[i] = new_easy (bench, i);
      if (easies[i] == NULL)
        abort ();
      bench->started++;
      (void)curl_multi_add_handle (bench->multi, easies[i]);
    }
  if (by_epoll)
    run_epoll_loop (bench);
  else
    run_poll_loop (bench);
  free_bare_client (bench, easies);
}

static void on_start_done (void *ctx, struct snipe_start_result *result);

static void
send_start (struct bench *bench, long request_index)
{
  struct snipe_str body = SNIPE_STR_INIT;

  if (snipe_str_set (&body, body_text, sizeof body_text - 1) != SNIPE_OK
      || snipe_endpoint_client_start (
             bench->client,
             bench->settings
                 .addresses[request_index % bench->settings.address_count],
             &body, 30 * SNIPE_S, on_start_done, bench)
             != SNIPE_OK)
    abort ();
}

static void
on_start_done (void *ctx, struct snipe_start_result *result)
{
  struct bench *bench = ctx;
  long next = -1;

  pthread_mutex_lock (&bench->lock);
  if (result->outcome != SNIPE_ATTEMPT_OK)
    bench->failed++;
  if (bench->started < bench->settings.count)
    next = bench->started++;
  if (++bench->completed == bench->settings.count)
    pthread_cond_signal (&bench->finished);
  pthread_mutex_unlock (&bench->lock);
  if (next >= 0)
    send_start (bench, next);
}

static void
run_endpoint_client (struct bench *bench)
{
  struct snipe_endpoint_client_options options
      = SNIPE_ENDPOINT_CLIENT_OPTIONS_INIT;
  long first;

  options.threads = (uint32_t)bench->settings.threads;
  options.connections = (uint32_t)bench->settings.concurrency;
  if (snipe_endpoint_client_new (&bench->client, &options) != SNIPE_OK)
    abort ();
  pthread_mutex_lock (&bench->lock);
  first = bench->settings.concurrency < bench->settings.count
              ? bench->settings.concurrency
              : bench->settings.count;
  bench->started = first;
  pthread_mutex_unlock (&bench->lock);
  for (long i = 0; i < first; i++)
    send_start (bench, i);
  pthread_mutex_lock (&bench->lock);
  while (bench->completed < bench->settings.count)
    pthread_cond_wait (&bench->finished, &bench->lock);
  pthread_mutex_unlock (&bench->lock);
  snipe_endpoint_client_free (bench->client);
}

enum client_kind
{
  BARE_POLL,
  BARE_EPOLL,
  ENDPOINT_CLIENT,
  CLIENT_KIND_COUNT
};

static const char *const kind_names[CLIENT_KIND_COUNT]
    = { "bare, curl_multi_poll", "bare, epoll", "endpoint client" };

static struct measurement
measure (struct bench *bench, enum client_kind kind)
{
  struct timespec begin;
  struct timespec end;
  double cpu = cpu_seconds ();
  double elapsed;

  (void)clock_gettime (CLOCK_MONOTONIC, &begin);
  bench->started = 0;
  bench->completed = 0;
  if (kind == ENDPOINT_CLIENT)
    run_endpoint_client (bench);
  else
    run_bare_client (bench, kind == BARE_EPOLL);
  (void)clock_gettime (CLOCK_MONOTONIC, &end);
  elapsed = (double)(end.tv_sec - begin.tv_sec)
            + (double)(end.tv_nsec - begin.tv_nsec) / 1e9;
  return (struct measurement){
    .cpu_us = (cpu_seconds () - cpu) * 1e6 / (double)bench->settings.count,
    .rate = (double)bench->settings.count / elapsed,
  };
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
median (double *values, long count)
{
  qsort (values, (size_t)count, sizeof *values, compare_doubles);
  return values[count / 2];
}

static void
run_rounds (struct bench *bench)
{
  double cpu[CLIENT_KIND_COUNT][ROUNDS_MAX];
  double rate[CLIENT_KIND_COUNT][ROUNDS_MAX];
  double cpu_ratio[CLIENT_KIND_COUNT][ROUNDS_MAX];
  long rounds = bench->settings.rounds;

  /* Warm-up, not counted; it also makes the HTTP server's thread store its
   * clock. */
  (void)measure (bench, BARE_POLL);
  for (long round = 0; round < rounds; round++)
    {
      for (int kind = 0; kind < CLIENT_KIND_COUNT; kind++)
        {
          struct measurement measurement = measure (bench, kind);

          cpu[kind][round] = measurement.cpu_us;
          rate[kind][round] = measurement.rate;
        }
      for (int kind = 0; kind < CLIENT_KIND_COUNT; kind++)
        cpu_ratio[kind][round]
            = cpu[ENDPOINT_CLIENT][round] / cpu[kind][round];
    }
  printf ("%ld requests, concurrency %ld, medians of %ld rounds, %ld failed\n",
          bench->settings.count, bench->settings.concurrency, rounds,
          bench->failed);
  printf ("%-24s %14s %14s %22s\n", "client", "cpu us/request", "requests/s",
          "client's cpu over its");
  for (int kind = 0; kind < CLIENT_KIND_COUNT; kind++)
    printf ("%-24s %14.2f %14.0f %22.2f\n", kind_names[kind],
            median (cpu[kind], rounds), median (rate[kind], rounds),
            median (cpu_ratio[kind], rounds));
}

enum option_key
{
  KEY_ADDRESS = 'a',
  KEY_COUNT = 'n',
  KEY_CONCURRENCY = 'c',
  KEY_ROUNDS = 'r',
  KEY_THREADS = 't',
  KEY_SELF_SERVE = 's',
};

static long
parse_number (const char *text, long max, struct argp_state *state)
{
  char *end;
  long value = strtol (text, &end, 10);

  if (*end != '\0' || value < 1 || value > max)
    argp_error (state, "\"%s\" is not a number from 1 to %ld", text, max);
  return value;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct settings *settings = state->input;

  switch (key)
    {
    case KEY_ADDRESS:
      settings->address_list = arg;
      break;
    case KEY_COUNT:
      settings->count = parse_number (arg, 10000000, state);
      break;
    case KEY_CONCURRENCY:
      settings->concurrency = parse_number (arg, 4096, state);
      break;
    case KEY_ROUNDS:
      settings->rounds = parse_number (arg, ROUNDS_MAX, state);
      break;
    case KEY_THREADS:
      settings->threads = parse_number (arg, 64, state);
      break;
    case KEY_SELF_SERVE:
      settings->self_serve = true;
      break;
    case ARGP_KEY_END:
      if ((settings->address_list == NULL) == !settings->self_serve)
        argp_error (state, "give either --address or --self-serve");
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static const struct argp_option options[] = {
  { "address", KEY_ADDRESS, "LIST", 0,
    "endpoints to post to, ip:port separated by commas", 0 },
  { "count", KEY_COUNT, "N", 0, "requests per client and round (20000)", 0 },
  { "concurrency", KEY_CONCURRENCY, "N", 0,
    "concurrent requests and connections (64)", 0 },
  { "rounds", KEY_ROUNDS, "N", 0,
    "rounds, each of which runs every client once (5)", 0 },
  { "threads", KEY_THREADS, "N", 0, "threads of the endpoint client (2)", 0 },
  { "self-serve", KEY_SELF_SERVE, NULL, 0,
    "serve the requests from a thread of this process", 0 },
  { 0 },
};

static const struct argp argp = {
  .options = options,
  .parser = parse_option,
  .doc = "Compares the endpoint client with bare libcurl multi clients.",
};

/* Uses poll (): with 256 connections, libmicrohttpd's epoll loop can leave
 * requests unread in their sockets forever. */
static struct MHD_Daemon *
start_server (struct settings *settings, char *address, size_t address_size)
{
  struct MHD_Daemon *daemon = MHD_start_daemon (
      MHD_USE_POLL_INTERNAL_THREAD, 0, NULL, NULL, on_request, NULL,
      MHD_OPTION_CONNECTION_LIMIT, 8192U, MHD_OPTION_END);
  const union MHD_DaemonInfo *info;

  if (daemon == NULL)
    return NULL;
  info = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT);
  (void)snprintf (address, address_size, "127.0.0.1:%u",
                  (unsigned int)info->port);
  settings->address_list = address;
  return daemon;
}

static void
split_addresses (struct bench *bench)
{
  struct settings *settings = &bench->settings;
  char *rest = settings->address_list;
  char *address;

  while (settings->address_count < ADDRESSES_MAX
         && (address = strsep (&rest, ",")) != NULL)
    {
      (void)snprintf (bench->urls[settings->address_count],
                      sizeof bench->urls[0], "http://%s/run", address);
      settings->addresses[settings->address_count++] = address;
    }
}

int
main (int argc, char **argv)
{
  static struct bench bench = {
    .settings
    = { .count = 20000, .concurrency = 64, .rounds = 5, .threads = 2 },
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .finished = PTHREAD_COND_INITIALIZER,
  };
  struct MHD_Daemon *daemon = NULL;
  static char address[32];

  if (argp_parse (&argp, argc, argv, 0, NULL, &bench.settings) != 0)
    return EXIT_FAILURE;
  (void)curl_global_init (CURL_GLOBAL_DEFAULT);
  if (bench.settings.self_serve)
    {
      daemon = start_server (&bench.settings, address, sizeof address);
      if (daemon == NULL)
        {
          (void)fprintf (stderr, "cannot start HTTP listener\n");
          return EXIT_FAILURE;
        }
    }
  split_addresses (&bench);
  bench.epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  bench.headers = curl_slist_append (NULL, "Content-Type: application/json");
  if (bench.epoll_fd < 0 || bench.headers == NULL)
    return EXIT_FAILURE;
  run_rounds (&bench);
  curl_slist_free_all (bench.headers);
  if (daemon != NULL)
    MHD_stop_daemon (daemon);
  return bench.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
