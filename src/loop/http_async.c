#include "loop/http_async.h"

#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "snipe/status.h"

#define RESPONSE_MAX_BYTES (16U * 1024 * 1024)
#define CONNECT_TIMEOUT (300 * SNIPE_MS)
/* Idle easy handles kept for reuse; creating one takes about 10 us. */
#define IDLE_HANDLES_MAX 64
/* Bounds the work between two waits for events. */
#define TIMEOUT_ROUNDS_MAX 16
/* A request that is sent later after its call is logged. */
#define SEND_DELAY_LOGGED (50 * SNIPE_MS)

struct call
{
  struct snipe_http_async *client;
  CURL *easy;
  struct curl_slist *headers;
  struct snipe_str body;
  GString *response;
  snipe_http_async_done done;
  /** NULL: none, or it has been called */
  void (*overdue) (void *ctx, bool connected);
  snipe_time overdue_at;
  void *ctx;
  char address[64];
  snipe_time called_at;
  snipe_time send_until;
  bool send_once;
  bool close_idle_on_timeout;
  bool connecting; /**< on a new connection */
  bool connected;  /**< sent as the first one on its connection */
  bool sent;       /**< at least once */
};

/** A socket of libcurl that the loop watches. It is also watched while its
 * connection is idle, because removing and adding it again would cost two
 * system calls per request. */
struct socket
{
  struct snipe_http_async *client;
  struct snipe_loop_watch watch;
  uint32_t events; /**< that the loop watches for */
  bool watched;    /**< by the loop */
  bool idle;       /**< libcurl does not watch it */
  char address[64];
};

struct snipe_http_async
{
  struct snipe_loop *loop;
  CURLM *multi;
  snipe_time timeout_at;   /**< when libcurl's timeout expires, 0: none */
  snipe_time overdue_at;   /**< not later than that of any call, 0: none */
  bool overdue_pending;    /**< overdue calls are reported after the events */
  GPtrArray *idle_handles; /**< CURL */
  GHashTable *calls;
  GHashTable *sockets; /**< descriptor -> struct socket */
};

static size_t
on_body (char *data, size_t size, size_t count, void *ctx)
{
  struct call *call = ctx;
  size_t len = size * count;

  if (call->response->len + len > RESPONSE_MAX_BYTES)
    return 0;
  g_string_append_len (call->response, data, (gssize)len);
  return len;
}

/* Whether the call may be sent now. libcurl sends a request again if its kept
 * connection closes before a response, on a new connection and up to the
 * call's timeout: by then, its caller may have decided otherwise, and another
 * process may listen at the address. */
static bool
may_be_sent (const struct call *call, snipe_time now)
{
  return !call->send_once || (!call->sent && now <= call->send_until);
}

static const char *
url_of (const struct call *call)
{
  const char *url = NULL;

  curl_easy_getinfo (call->easy, CURLINFO_EFFECTIVE_URL, &url);
  return url != NULL ? url : call->address;
}

/* Called when the call has a connection, before the request is sent. */
static int
on_connected (void *ctx, char *remote_ip, char *local_ip, int remote_port,
              int local_port)
{
  struct call *call = ctx;
  snipe_time now = snipe_clock_now ();
  snipe_time age = now - call->called_at;

  (void)remote_ip;
  (void)local_ip;
  (void)remote_port;
  call->connected = call->connecting;
  call->connecting = false;
  if (!may_be_sent (call, now))
    {
      g_message (
          "http: event=not_sent url=%s reason=%s age_ms=%" G_GINT64_FORMAT
          " connection=%d",
          url_of (call), call->sent ? "sent_before" : "late", age / SNIPE_MS,
          local_port);
      return CURL_PREREQFUNC_ABORT;
    }
  if (age > SEND_DELAY_LOGGED)
    g_message ("http: event=sent_late url=%s again=%d age_ms=%" G_GINT64_FORMAT
               " connection=%d",
               url_of (call), (int)call->sent, age / SNIPE_MS, local_port);
  call->sent = true;
  return CURL_PREREQFUNC_OK;
}

static void
finish_call (struct call *call, int http_status)
{
  struct snipe_http_async *client = call->client;
  struct snipe_str body
      = { .data = call->response->str, .len = call->response->len };

  g_hash_table_remove (client->calls, call);
  curl_multi_remove_handle (client->multi, call->easy);
  if (client->idle_handles->len < IDLE_HANDLES_MAX)
    {
      curl_easy_reset (call->easy);
      g_ptr_array_add (client->idle_handles, call->easy);
    }
  else
    {
      curl_easy_cleanup (call->easy);
    }
  call->done (call->ctx, http_status, &body);
  curl_slist_free_all (call->headers);
  g_string_free (call->response, TRUE);
  snipe_str_clear (&call->body);
  g_free (call);
}

/* Shuts down the idle connections to an address. libcurl closes each one when
 * it is about to use it, and opens a new one instead. */
static void
shut_down_idle (struct snipe_http_async *client, const char *address)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, client->sockets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct socket *socket = value;

      if (!socket->idle || strcmp (socket->address, address) != 0)
        continue;
      shutdown (socket->watch.fd, SHUT_RDWR);
      count++;
    }
  if (count > 0)
    g_message ("http: event=idle_closed address=%s connections=%u", address,
               count);
}

static void
finish_completed_calls (struct snipe_http_async *client)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    {
      struct call *call = NULL;
      long http_status = 0;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
      if (message->data.result == CURLE_OK)
        curl_easy_getinfo (message->easy_handle, CURLINFO_RESPONSE_CODE,
                           &http_status);
      else if (!call->sent)
        {
          long error = 0;

          curl_easy_getinfo (message->easy_handle, CURLINFO_OS_ERRNO, &error);
          http_status = message->data.result == CURLE_COULDNT_CONNECT
                                && error == ECONNREFUSED
                            ? SNIPE_HTTP_ASYNC_REFUSED
                            : SNIPE_HTTP_ASYNC_NOT_SENT;
          g_message ("http: event=not_connected url=%s reason=\"%s\"",
                     url_of (call), curl_easy_strerror (message->data.result));
        }
      if (message->data.result == CURLE_OPERATION_TIMEDOUT && call->sent
          && call->close_idle_on_timeout)
        shut_down_idle (client, call->address);
      finish_call (call, (int)http_status);
    }
}

static void
run_socket_action (struct snipe_http_async *client, curl_socket_t fd,
                   int flags)
{
  int running;

  curl_multi_socket_action (client->multi, fd, flags, &running);
  finish_completed_calls (client);
}

static void
on_ready (void *ctx, uint32_t events)
{
  struct socket *socket = ctx;
  int flags = 0;

  if (socket->idle)
    {
      /* The server has closed or reset the idle connection; libcurl notices
         when it uses the connection next. A reset would be reported again
         and again, whatever the socket is watched for. */
      snipe_loop_remove (socket->client->loop, &socket->watch);
      socket->watched = false;
      return;
    }
  if (events & (EPOLLIN | EPOLLHUP))
    flags |= CURL_CSELECT_IN;
  if (events & EPOLLOUT)
    flags |= CURL_CSELECT_OUT;
  if (events & EPOLLERR)
    flags |= CURL_CSELECT_ERR;
  run_socket_action (socket->client, socket->watch.fd, flags);
}

static void
remove_socket (struct socket *socket)
{
  struct snipe_http_async *client = socket->client;

  if (socket->watched)
    snipe_loop_remove (client->loop, &socket->watch);
  g_hash_table_remove (client->sockets, GINT_TO_POINTER (socket->watch.fd));
}

static curl_socket_t
on_open (void *ctx, curlsocktype purpose, struct curl_sockaddr *address)
{
  struct call *call = ctx;

  (void)purpose;
  if (!may_be_sent (call, snipe_clock_now ()))
    return CURL_SOCKET_BAD;
  call->connecting = true;
  return socket (address->family, address->socktype | SOCK_CLOEXEC,
                 address->protocol);
}

/* Stops watching a socket that libcurl closes. */
static int
on_close (void *ctx, curl_socket_t fd)
{
  struct snipe_http_async *client = ctx;
  struct socket *socket
      = g_hash_table_lookup (client->sockets, GINT_TO_POINTER (fd));

  if (socket != NULL)
    remove_socket (socket);
  return close (fd);
}

static struct socket *
add_socket (struct snipe_http_async *client, curl_socket_t fd,
            const char *address)
{
  struct socket *socket = g_new0 (struct socket, 1);

  socket->client = client;
  socket->watch = (struct snipe_loop_watch){ .fd = fd,
                                             .ready = on_ready,
                                             .ctx = socket };
  g_strlcpy (socket->address, address, sizeof socket->address);
  g_hash_table_insert (client->sockets, GINT_TO_POINTER (fd), socket);
  return socket;
}

static void
watch_socket (struct socket *socket, uint32_t events)
{
  struct snipe_loop *loop = socket->client->loop;

  if (socket->watched && socket->events == events)
    return;
  if ((socket->watched ? snipe_loop_change (loop, &socket->watch, events)
                       : snipe_loop_add (loop, &socket->watch, events))
      < 0)
    g_warning ("http: event=watch_failed reason=\"%s\"", snipe_status_last ());
  else
    socket->watched = true;
  socket->events = events;
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *ctx, void *state)
{
  struct snipe_http_async *client = ctx;
  struct socket *socket
      = g_hash_table_lookup (client->sockets, GINT_TO_POINTER (fd));
  struct call *call = NULL;
  uint32_t events = 0;

  (void)state;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &call);
  if (what == CURL_POLL_REMOVE)
    {
      /* libcurl 7.88 closes a connection that was not established without the
         close callback, and its descriptor may be used again at once. */
      if (socket != NULL && call != NULL && call->connecting)
        remove_socket (socket);
      else if (socket != NULL)
        socket->idle = true;
      return 0;
    }
  if (what & CURL_POLL_IN)
    events |= EPOLLIN;
  if (what & CURL_POLL_OUT)
    events |= EPOLLOUT;
  if (socket == NULL)
    socket = add_socket (client, fd, call->address);
  watch_socket (socket, events);
  socket->idle = false;
  return 0;
}

static int
on_timer (CURLM *multi, long timeout_ms, void *ctx)
{
  struct snipe_http_async *client = ctx;

  (void)multi;
  client->timeout_at
      = timeout_ms < 0 ? 0 : snipe_clock_now () + timeout_ms * SNIPE_MS;
  return 0;
}

static snipe_time
earlier (snipe_time a, snipe_time b)
{
  return a > 0 && (b == 0 || a < b) ? a : b;
}

/* Reports the calls that have become overdue. The callbacks may start calls,
 * but end none. */
static void
report_overdue_calls (struct snipe_http_async *client, snipe_time now)
{
  GPtrArray *overdue = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;

  client->overdue_at = 0;
  g_hash_table_iter_init (&iter, client->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct call *call = key;

      if (call->overdue == NULL)
        continue;
      /* It ends without being sent. */
      if (!call->sent && !may_be_sent (call, now))
        continue;
      if (call->overdue_at <= now)
        g_ptr_array_add (overdue, call);
      else
        client->overdue_at = earlier (call->overdue_at, client->overdue_at);
    }
  for (guint i = 0; i < overdue->len; i++)
    {
      struct call *call = g_ptr_array_index (overdue, i);
      void (*report) (void *ctx, bool connected) = call->overdue;

      call->overdue = NULL;
      report (call->ctx, call->connected);
    }
  g_ptr_array_free (overdue, TRUE);
}

/* Runs expired timeouts. A new call sets one of libcurl that expires at once.
 */
static snipe_time
on_prepare (void *ctx, snipe_time now)
{
  struct snipe_http_async *client = ctx;

  if (client->overdue_at > 0 && client->overdue_at <= now)
    {
      /* If this process was not running for a while, the answers may have
         arrived: they are read first. */
      client->overdue_pending = !client->overdue_pending;
      if (client->overdue_pending)
        return now;
      report_overdue_calls (client, now);
    }

  for (int i = 0; i < TIMEOUT_ROUNDS_MAX && client->timeout_at > 0
                  && client->timeout_at <= now;
       i++)
    {
      client->timeout_at = 0;
      run_socket_action (client, CURL_SOCKET_TIMEOUT, 0);
    }
  return earlier (client->overdue_at, client->timeout_at);
}

int
snipe_http_async_new (struct snipe_http_async **out, struct snipe_loop *loop,
                      uint32_t connections_max)
{
  struct snipe_http_async *client = g_new0 (struct snipe_http_async, 1);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  client->loop = loop;
  client->idle_handles = g_ptr_array_new ();
  client->calls = g_hash_table_new (NULL, NULL);
  client->sockets = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  client->multi = curl_multi_init ();
  if (client->multi == NULL)
    {
      snipe_http_async_free (client);
      return snipe_status_set (SNIPE_E_NOMEM,
                               "out of memory for the HTTP client");
    }
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS,
                     (long)connections_max);
  snipe_loop_set_prepare (loop, on_prepare, client);
  *out = client;
  return SNIPE_OK;
}

void
snipe_http_async_free (struct snipe_http_async *client)
{
  GHashTableIter iter;
  gpointer key;

  if (client == NULL)
    return;
  g_hash_table_iter_init (&iter, client->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      finish_call (key, 0);
      g_hash_table_iter_init (&iter, client->calls);
    }
  for (guint i = 0; i < client->idle_handles->len; i++)
    curl_easy_cleanup (g_ptr_array_index (client->idle_handles, i));
  if (client->multi != NULL)
    curl_multi_cleanup (client->multi);
  g_ptr_array_free (client->idle_handles, TRUE);
  g_hash_table_destroy (client->calls);
  g_hash_table_destroy (client->sockets);
  g_free (client);
}

static CURL *
acquire_handle (struct snipe_http_async *client)
{
  if (client->idle_handles->len > 0)
    return g_ptr_array_steal_index_fast (client->idle_handles,
                                         client->idle_handles->len - 1);
  return curl_easy_init ();
}

static void
add_header (struct call *call, const char *header)
{
  struct curl_slist *list = curl_slist_append (call->headers, header);

  if (list != NULL)
    call->headers = list;
}

void
snipe_http_async_call (struct snipe_http_async *client,
                       struct snipe_http_async_request *request)
{
  struct call *call = g_new0 (struct call, 1);
  char url[1024];
  snipe_time now = snipe_clock_now ();
  snipe_time connect_timeout;

  call->client = client;
  call->called_at = now;
  call->send_until = now + request->timeout;
  if (request->send_until > 0)
    call->send_until = MIN (call->send_until, request->send_until);
  else if (request->overdue == NULL)
    call->send_until = MIN (call->send_until, now + CONNECT_TIMEOUT);
  /* libcurl takes 0 as its default of 300 s. */
  connect_timeout = MAX (call->send_until - now, SNIPE_MS);
  call->send_once = strcmp (request->method, "GET") != 0;
  call->done = request->done;
  call->ctx = request->ctx;
  call->close_idle_on_timeout = request->close_idle_on_timeout;
  g_strlcpy (call->address, request->address, sizeof call->address);
  if (request->overdue != NULL)
    {
      call->overdue = request->overdue;
      call->overdue_at = now + request->overdue_after;
      client->overdue_at = earlier (call->overdue_at, client->overdue_at);
    }
  call->body = request->body;
  call->response = g_string_new (NULL);
  call->easy = acquire_handle (client);
  g_assert (call->easy != NULL);
  snprintf (url, sizeof url, "http://%s%s", request->address, request->path);
  /* Without this, libcurl waits for "100 Continue" with larger bodies. */
  add_header (call, "Expect:");
  if (call->body.len > 0)
    add_header (call, "Content-Type: application/json");
  for (size_t i = 0;
       i < G_N_ELEMENTS (request->headers) && request->headers[i] != NULL; i++)
    add_header (call, request->headers[i]);
  curl_easy_setopt (call->easy, CURLOPT_URL, url);
  curl_easy_setopt (call->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (call->easy, CURLOPT_OPENSOCKETFUNCTION, on_open);
  curl_easy_setopt (call->easy, CURLOPT_OPENSOCKETDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
  curl_easy_setopt (call->easy, CURLOPT_CLOSESOCKETDATA, client);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_PREREQFUNCTION, on_connected);
  curl_easy_setopt (call->easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)(connect_timeout / SNIPE_MS));
  curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS,
                    (long)(request->timeout / SNIPE_MS));
  if (strcmp (request->method, "GET") != 0)
    {
      curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS,
                        snipe_str_c (&call->body));
      curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)call->body.len);
      curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, request->method);
    }
  g_hash_table_add (client->calls, call);
  curl_multi_add_handle (client->multi, call->easy);
}
