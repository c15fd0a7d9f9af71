#include "endpoint/client.h"

#include <ck_pr.h>
#include <curl/curl.h>
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "endpoint/start.h"
#include "snipe/status.h"
#include "util/mpsc.h"

#define EVENTS_MAX 256
/* Idle connections that a thread keeps open, over all its endpoints; beyond
 * this libcurl closes the oldest. Sized for 1,200 endpoints with 64
 * connections each. */
#define CACHED_CONNECTIONS_MAX (1200L * 64)

/* The epoll events that are registered for a socket, and those that libcurl
 * wants. Indexed by the descriptor. */
struct watch
{
  uint32_t registered; /* epoll events; 0 if the socket is not registered */
  uint32_t wanted;
};

struct worker
{
  struct snipe_endpoint_client *client;
  pthread_t thread;
  CURLM *multi;
  struct curl_slist *headers;
  int epoll_fd;
  int wake_fd;
  ck_stack_t queue;
  unsigned int sleeping; /* 1: a producer has to write to wake_fd */
  snipe_time timer_at;   /* when libcurl's timer expires; -1: none */
  struct watch *watches;
  size_t watch_count;
  CURL **idle; /* easy handles for reuse */
  size_t idle_count;
  size_t idle_capacity;
  struct snipe_start *transfers; /* in progress */
};

struct snipe_endpoint_client
{
  uint32_t thread_count;
  snipe_time connect_timeout;
  unsigned int stopping;
  struct worker *workers;
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void
init_curl (void)
{
  (void)curl_global_init (CURL_GLOBAL_DEFAULT);
}

static struct watch *
find_watch (struct worker *worker, curl_socket_t fd)
{
  if ((size_t)fd >= worker->watch_count)
    {
      size_t count = 2 * (size_t)fd + 64;
      struct watch *grown
          = realloc (worker->watches, count * sizeof *worker->watches);

      if (grown == NULL)
        return NULL;
      memset (grown + worker->watch_count, 0,
              (count - worker->watch_count) * sizeof *grown);
      worker->watches = grown;
      worker->watch_count = count;
    }
  return &worker->watches[fd];
}

static int
register_watch (struct worker *worker, curl_socket_t fd, struct watch *watch,
                uint32_t events)
{
  struct epoll_event event = { .events = events, .data.fd = fd };
  int op = watch->registered == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;

  if (watch->registered == events)
    return 0;
  if (events == 0)
    op = EPOLL_CTL_DEL;
  if (epoll_ctl (worker->epoll_fd, op, fd, &event) != 0)
    return -1;
  watch->registered = events;
  return 0;
}

/* Whether the connection of a transfer has not been established. libcurl's own
 * transfers, which close idle connections, have no start. */
static bool
is_connecting (CURL *easy)
{
  struct snipe_start *start = NULL;

  (void)curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&start);
  return start != NULL && start->connecting;
}

/* libcurl stops watching a socket at the end of each exchange and watches it
 * again for the next one. The epoll registration is kept in between, which
 * saves two system calls per start; handle_event () removes it if the socket
 * becomes readable while idle. libcurl 7.88 closes a connection that was not
 * established without the close callback, and its descriptor may be used again
 * at once, so the registration of such a one is removed. */
static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *ctx, void *socket_ctx)
{
  struct worker *worker = ctx;
  struct watch *watch = find_watch (worker, fd);
  uint32_t events = 0;

  (void)socket_ctx;
  if (watch == NULL)
    return -1;
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    events |= EPOLLIN;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    events |= EPOLLOUT;
  watch->wanted = events;
  if (events == 0 && is_connecting (easy))
    {
      (void)register_watch (worker, fd, watch, 0);
      *watch = (struct watch){ 0 };
      return 0;
    }
  if (events == 0)
    return 0;
  return register_watch (worker, fd, watch, events);
}

/* The kernel removes the epoll registration of a closed descriptor, and the
 * next connection may get the same descriptor number. */
static int
on_close (void *ctx, curl_socket_t fd)
{
  struct worker *worker = ctx;

  if ((size_t)fd < worker->watch_count)
    worker->watches[fd] = (struct watch){ 0 };
  return close (fd);
}

static int
on_timer (CURLM *multi, long timeout_ms, void *ctx)
{
  struct worker *worker = ctx;

  (void)multi;
  worker->timer_at
      = timeout_ms < 0 ? -1 : snipe_clock_now () + timeout_ms * SNIPE_MS;
  return 0;
}

static CURL *
acquire_easy (struct worker *worker)
{
  CURL *easy;

  if (worker->idle_count > 0)
    return worker->idle[--worker->idle_count];
  easy = curl_easy_init ();
  if (easy == NULL)
    return NULL;
  if (snipe_start_easy_prepare (easy, worker->headers,
                                worker->client->connect_timeout)
          < 0
      || curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, on_close)
             != CURLE_OK
      || curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, worker) != CURLE_OK)
    {
      curl_easy_cleanup (easy);
      return NULL;
    }
  return easy;
}

static void
release_easy (struct worker *worker, CURL *easy)
{
  if (worker->idle_count == worker->idle_capacity)
    {
      size_t capacity = 2 * worker->idle_capacity + 64;
      CURL **grown = realloc (worker->idle, capacity * sizeof *worker->idle);

      if (grown == NULL)
        {
          curl_easy_cleanup (easy);
          return;
        }
      worker->idle = grown;
      worker->idle_capacity = capacity;
    }
  worker->idle[worker->idle_count++] = easy;
}

static void
link_transfer (struct worker *worker, struct snipe_start *start)
{
  start->previous = NULL;
  start->next = worker->transfers;
  if (start->next != NULL)
    start->next->previous = start;
  worker->transfers = start;
}

static void
unlink_transfer (struct worker *worker, struct snipe_start *start)
{
  if (start->previous != NULL)
    start->previous->next = start->next;
  else
    worker->transfers = start->next;
  if (start->next != NULL)
    start->next->previous = start->previous;
}

static void
begin_transfer (struct worker *worker, struct snipe_start *start)
{
  snipe_time now = snipe_clock_now ();
  CURL *easy = NULL;

  if (now - start->queued_at >= start->timeout)
    goto on_error;
  easy = acquire_easy (worker);
  if (easy == NULL)
    goto on_error;
  if (snipe_start_easy_set (easy, start, now) < 0)
    goto on_error;
  start->easy = easy;
  link_transfer (worker, start);
  if (curl_multi_add_handle (worker->multi, easy) == CURLM_OK)
    return;
  unlink_transfer (worker, start);
on_error:
  if (easy != NULL)
    release_easy (worker, easy);
  snipe_start_complete (start, SNIPE_ATTEMPT_NOT_CONNECTED);
}

static void
begin_queued (struct worker *worker)
{
  ck_stack_entry_t *entry = snipe_mpsc_pop_all (&worker->queue);

  while (entry != NULL)
    {
      /* The stack entry is the first member of the structure. */
      struct snipe_start *start = (struct snipe_start *)entry;

      entry = entry->next;
      if (ck_pr_load_uint (&worker->client->stopping) != 0)
        snipe_start_complete (start, SNIPE_ATTEMPT_NOT_CONNECTED);
      else
        begin_transfer (worker, start);
    }
}

static void
finish_transfers (struct worker *worker)
{
  CURLMsg *msg;
  int left;

  while ((msg = curl_multi_info_read (worker->multi, &left)) != NULL)
    {
      struct snipe_start *start = NULL;
      CURL *easy = msg->easy_handle;
      CURLcode code = msg->data.result;

      (void)curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&start);
      (void)curl_multi_remove_handle (worker->multi, easy);
      unlink_transfer (worker, start);
      snipe_start_complete_transfer (start, code);
      release_easy (worker, easy);
    }
}

static void
handle_event (struct worker *worker, const struct epoll_event *event)
{
  int fd = event->data.fd;
  struct watch *watch = find_watch (worker, fd);
  int action = 0;
  int running;

  if (fd == worker->wake_fd)
    {
      eventfd_t count;

      (void)eventfd_read (fd, &count);
      return;
    }
  if (watch == NULL || watch->registered == 0)
    return;
  if (watch->wanted == 0)
    {
      /* The endpoint closed an idle connection; libcurl detects this when
       * it next looks for a connection to reuse. */
      (void)register_watch (worker, fd, watch, 0);
      return;
    }
  /* With 0, libcurl checks the socket itself. CURL_CSELECT_ERR would end the
   * transfer, which a stale event of an earlier connection with the same
   * descriptor must not do. */
  if ((event->events & (EPOLLERR | EPOLLHUP)) == 0)
    {
      if (event->events & EPOLLIN)
        action |= CURL_CSELECT_IN;
      if (event->events & EPOLLOUT)
        action |= CURL_CSELECT_OUT;
    }
  (void)curl_multi_socket_action (worker->multi, fd, action, &running);
}

/* Milliseconds until libcurl's timer expires, rounded up. */
static int
sleep_ms (const struct worker *worker)
{
  snipe_time left;

  if (worker->timer_at < 0)
    return -1;
  left = worker->timer_at - snipe_clock_now ();
  if (left <= 0)
    return 0;
  if (left > 60 * SNIPE_S)
    left = 60 * SNIPE_S;
  return (int)((left + SNIPE_MS - 1) / SNIPE_MS);
}

static void
run_timer (struct worker *worker)
{
  int running;

  if (worker->timer_at < 0 || worker->timer_at > snipe_clock_now ())
    return;
  worker->timer_at = -1;
  (void)curl_multi_socket_action (worker->multi, CURL_SOCKET_TIMEOUT, 0,
                                  &running);
}

static void *
run_worker (void *ctx)
{
  struct worker *worker = ctx;
  struct epoll_event events[EVENTS_MAX];

  while (ck_pr_load_uint (&worker->client->stopping) == 0)
    {
      int count;

      begin_queued (worker);
      run_timer (worker);
      finish_transfers (worker);
      ck_pr_store_uint (&worker->sleeping, 1);
      ck_pr_fence_memory ();
      if (!snipe_mpsc_is_empty (&worker->queue)
          || ck_pr_load_uint (&worker->client->stopping) != 0)
        count = epoll_wait (worker->epoll_fd, events, EVENTS_MAX, 0);
      else
        count = epoll_wait (worker->epoll_fd, events, EVENTS_MAX,
                            sleep_ms (worker));
      ck_pr_store_uint (&worker->sleeping, 0);
      for (int i = 0; i < count; i++)
        handle_event (worker, &events[i]);
      finish_transfers (worker);
    }
  while (worker->transfers != NULL)
    {
      struct snipe_start *start = worker->transfers;

      (void)curl_multi_remove_handle (worker->multi, start->easy);
      unlink_transfer (worker, start);
      curl_easy_cleanup (start->easy);
      snipe_start_complete (start, start->written
                                       ? SNIPE_ATTEMPT_LOST
                                       : SNIPE_ATTEMPT_NOT_CONNECTED);
    }
  return NULL;
}

static void
wake_worker (struct worker *worker)
{
  ck_pr_fence_memory ();
  if (ck_pr_load_uint (&worker->sleeping) != 0
      && ck_pr_fas_uint (&worker->sleeping, 0) != 0)
    (void)eventfd_write (worker->wake_fd, 1);
}

static void
clear_worker (struct worker *worker)
{
  for (size_t i = 0; i < worker->idle_count; i++)
    curl_easy_cleanup (worker->idle[i]);
  if (worker->multi != NULL)
    (void)curl_multi_cleanup (worker->multi);
  curl_slist_free_all (worker->headers);
  free (worker->idle);
  free (worker->watches);
  if (worker->epoll_fd >= 0)
    close (worker->epoll_fd);
  if (worker->wake_fd >= 0)
    close (worker->wake_fd);
}

static int
init_worker (struct worker *worker, struct snipe_endpoint_client *client,
             uint32_t connections)
{
  struct epoll_event event = { .events = EPOLLIN };
  struct curl_slist *headers;
  CURLMcode result = CURLM_OK;

  worker->client = client;
  worker->timer_at = -1;
  worker->wake_fd = -1;
  ck_stack_init (&worker->queue);
  worker->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (worker->epoll_fd < 0)
    return -1;
  worker->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  event.data.fd = worker->wake_fd;
  if (worker->wake_fd < 0
      || epoll_ctl (worker->epoll_fd, EPOLL_CTL_ADD, worker->wake_fd, &event)
             != 0)
    return -1;
  worker->headers = curl_slist_append (NULL, "Content-Type: application/json");
  headers = curl_slist_append (worker->headers, "Expect:");
  worker->multi = curl_multi_init ();
  if (worker->headers == NULL || headers == NULL || worker->multi == NULL)
    return -1;
  result
      |= curl_multi_setopt (worker->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  result |= curl_multi_setopt (worker->multi, CURLMOPT_SOCKETDATA, worker);
  result
      |= curl_multi_setopt (worker->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  result |= curl_multi_setopt (worker->multi, CURLMOPT_TIMERDATA, worker);
  result |= curl_multi_setopt (worker->multi, CURLMOPT_PIPELINING,
                               (long)CURLPIPE_NOTHING);
  result |= curl_multi_setopt (worker->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                               (long)connections);
  result |= curl_multi_setopt (worker->multi, CURLMOPT_MAXCONNECTS,
                               CACHED_CONNECTIONS_MAX);
  return result == CURLM_OK ? 0 : -1;
}

int
snipe_endpoint_client_new (struct snipe_endpoint_client **out,
                           const struct snipe_endpoint_client_options *opts)
{
  struct snipe_endpoint_client *client = NULL;
  int status = SNIPE_OK;

  if (opts->version != SNIPE_ENDPOINT_CLIENT_OPTIONS_VERSION
      || opts->threads == 0 || opts->connections == 0)
    return snipe_status_set (SNIPE_E_INVALID,
                             "invalid options for the endpoint client");
  (void)pthread_once (&curl_once, init_curl);
  client = calloc (1, sizeof *client);
  if (client == NULL)
    goto on_nomem;
  client->workers = calloc (opts->threads, sizeof *client->workers);
  if (client->workers == NULL)
    goto on_nomem;
  client->connect_timeout = opts->connect_timeout;
  for (uint32_t i = 0; i < opts->threads; i++)
    {
      struct worker *worker = &client->workers[i];

      if (init_worker (worker, client, opts->connections) < 0
          || pthread_create (&worker->thread, NULL, run_worker, worker) != 0)
        {
          status = snipe_status_set (
              SNIPE_E_INTERNAL, "cannot start an endpoint client thread: %s",
              strerror (errno));
          clear_worker (worker);
          goto on_error;
        }
      client->thread_count++;
    }
  *out = client;
  return SNIPE_OK;

on_nomem:
  status = snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for an endpoint client");
on_error:
  snipe_endpoint_client_free (client);
  return status;
}

void
snipe_endpoint_client_free (struct snipe_endpoint_client *client)
{
  if (client == NULL)
    return;
  ck_pr_store_uint (&client->stopping, 1);
  for (uint32_t i = 0; i < client->thread_count; i++)
    wake_worker (&client->workers[i]);
  for (uint32_t i = 0; i < client->thread_count; i++)
    pthread_join (client->workers[i].thread, NULL);
  for (uint32_t i = 0; i < client->thread_count; i++)
    {
      begin_queued (&client->workers[i]);
      clear_worker (&client->workers[i]);
    }
  free (client->workers);
  free (client);
}

/* FNV-1a, 32 bits. */
static uint32_t
hash_address (const char *address)
{
  uint32_t hash = 2166136261U;

  for (; *address != '\0'; address++)
    hash = (hash ^ (unsigned char)*address) * 16777619U;
  return hash;
}

int
snipe_endpoint_client_start (struct snipe_endpoint_client *client,
                             const char *address, struct snipe_str *body,
                             snipe_time timeout, snipe_start_done done,
                             void *ctx)
{
  struct worker *worker;
  struct snipe_start *start;
  size_t len = strlen (address);

  if (len == 0 || len >= SNIPE_START_ADDRESS_MAX
      || strpbrk (address, "/?#@ ") != NULL)
    return snipe_status_set (SNIPE_E_INVALID,
                             "invalid endpoint address \"%s\"", address);
  if (ck_pr_load_uint (&client->stopping) != 0)
    return snipe_status_set (SNIPE_E_DRAINING, "endpoint client is stopping");
  start = calloc (1, sizeof *start);
  if (start == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for a start request");
  memcpy (start->address, address, len + 1);
  start->body = *body;
  *body = (struct snipe_str)SNIPE_STR_INIT;
  start->queued_at = snipe_clock_now ();
  start->timeout = timeout;
  start->done = done;
  start->ctx = ctx;
  worker = &client->workers[hash_address (address) % client->thread_count];
  snipe_mpsc_push (&worker->queue, &start->link);
  wake_worker (worker);
  return SNIPE_OK;
}
