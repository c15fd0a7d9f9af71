#include "loop/http_async.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "snipe/status.h"

#define BODY_MAX (16U * 1024 * 1024)
#define CONNECT_TIMEOUT_MS 300L
/* Idle easy handles that are kept; making one costs some 10 us. */
#define IDLE_MAX 64
/* Bounds the work between two waits for events. */
#define ROUNDS_MAX 16

struct call
{
  struct snipe_http_async *web;
  CURL *easy;
  struct curl_slist *headers;
  struct snipe_str body;
  GString *answer;
  snipe_http_async_done done;
  void *ctx;
  bool written; /**< on some connection; libcurl may have tried a second */
};

/** A socket of libcurl's in the loop. It stays there while its connection is
 * idle, because taking it out and in again costs two system calls a request.
 */
struct socket
{
  struct snipe_http_async *web;
  struct snipe_loop_watch watch;
  uint32_t events; /**< that the loop waits for */
  bool idle;       /**< libcurl does not wait for it */
};

struct snipe_http_async
{
  struct snipe_loop *loop;
  CURLM *multi;
  snipe_time due;  /**< of libcurl's timeout, 0: none */
  GPtrArray *idle; /**< CURL handles */
  GHashTable *calls;
  GHashTable *sockets; /**< descriptor -> struct socket */
};

static size_t
on_body (char *data, size_t size, size_t count, void *ctx)
{
  struct call *call = ctx;
  size_t len = size * count;

  if (call->answer->len + len > BODY_MAX)
    return 0;
  g_string_append_len (call->answer, data, (gssize)len);
  return len;
}

/* Called when a connection stands, before the request is written. */
static int
on_connected (void *ctx, char *remote_ip, char *local_ip, int remote_port,
              int local_port)
{
  struct call *call = ctx;

  (void)remote_ip;
  (void)local_ip;
  (void)remote_port;
  (void)local_port;
  call->written = true;
  return CURL_PREREQFUNC_OK;
}

static void
finish (struct call *call, int http)
{
  struct snipe_http_async *web = call->web;
  struct snipe_str body
      = { .data = call->answer->str, .len = call->answer->len };

  g_hash_table_remove (web->calls, call);
  curl_multi_remove_handle (web->multi, call->easy);
  if (web->idle->len < IDLE_MAX)
    {
      curl_easy_reset (call->easy);
      g_ptr_array_add (web->idle, call->easy);
    }
  else
    {
      curl_easy_cleanup (call->easy);
    }
  call->done (call->ctx, http, &body);
  curl_slist_free_all (call->headers);
  g_string_free (call->answer, TRUE);
  snipe_str_clear (&call->body);
  g_free (call);
}

static void
collect (struct snipe_http_async *web)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (web->multi, &left)) != NULL)
    {
      struct call *call = NULL;
      long http = 0;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
      if (message->data.result == CURLE_OK)
        curl_easy_getinfo (message->easy_handle, CURLINFO_RESPONSE_CODE,
                           &http);
      else if (message->data.result == CURLE_COULDNT_CONNECT && !call->written)
        http = SNIPE_HTTP_ASYNC_NOT_CONNECTED;
      finish (call, (int)http);
    }
}

static void
run (struct snipe_http_async *web, curl_socket_t fd, int flags)
{
  int running;

  curl_multi_socket_action (web->multi, fd, flags, &running);
  collect (web);
}

static void
on_ready (void *ctx, uint32_t events)
{
  struct socket *socket = ctx;
  int flags = 0;

  if (socket->idle)
    {
      /* The other side has closed it; libcurl finds out when it uses it. */
      snipe_loop_change (socket->web->loop, &socket->watch, 0);
      socket->events = 0;
      return;
    }
  if (events & (EPOLLIN | EPOLLHUP))
    flags |= CURL_CSELECT_IN;
  if (events & EPOLLOUT)
    flags |= CURL_CSELECT_OUT;
  if (events & EPOLLERR)
    flags |= CURL_CSELECT_ERR;
  run (socket->web, socket->watch.fd, flags);
}

/* libcurl closes a connection. */
static int
on_close (void *ctx, curl_socket_t fd)
{
  struct snipe_http_async *web = ctx;
  struct socket *socket
      = g_hash_table_lookup (web->sockets, GINT_TO_POINTER (fd));

  if (socket != NULL)
    {
      snipe_loop_remove (web->loop, &socket->watch);
      g_hash_table_remove (web->sockets, GINT_TO_POINTER (fd));
    }
  return close (fd);
}

static struct socket *
add_socket (struct snipe_http_async *web, curl_socket_t fd, uint32_t events)
{
  struct socket *socket = g_new0 (struct socket, 1);

  socket->web = web;
  socket->events = events;
  socket->watch = (struct snipe_loop_watch){ .fd = fd,
                                             .ready = on_ready,
                                             .ctx = socket };
  g_hash_table_insert (web->sockets, GINT_TO_POINTER (fd), socket);
  snipe_loop_add (web->loop, &socket->watch, events);
  return socket;
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *ctx, void *state)
{
  struct snipe_http_async *web = ctx;
  struct socket *socket
      = g_hash_table_lookup (web->sockets, GINT_TO_POINTER (fd));
  uint32_t events = 0;

  (void)easy;
  (void)state;
  if (what == CURL_POLL_REMOVE)
    {
      if (socket != NULL)
        socket->idle = true;
      return 0;
    }
  if (what & CURL_POLL_IN)
    events |= EPOLLIN;
  if (what & CURL_POLL_OUT)
    events |= EPOLLOUT;
  if (socket == NULL)
    socket = add_socket (web, fd, events);
  else if (socket->events != events)
    {
      snipe_loop_change (web->loop, &socket->watch, events);
      socket->events = events;
    }
  socket->idle = false;
  return 0;
}

static int
on_timer (CURLM *multi, long timeout_ms, void *ctx)
{
  struct snipe_http_async *web = ctx;

  (void)multi;
  web->due = timeout_ms < 0 ? 0 : snipe_clock_now () + timeout_ms * SNIPE_MS;
  return 0;
}

/* Carries out libcurl's timeouts. New calls set one that is due at once. */
static snipe_time
on_prepare (void *ctx, snipe_time now)
{
  struct snipe_http_async *web = ctx;

  for (int i = 0; i < ROUNDS_MAX && web->due > 0 && web->due <= now; i++)
    {
      web->due = 0;
      run (web, CURL_SOCKET_TIMEOUT, 0);
    }
  return web->due;
}

int
snipe_http_async_new (struct snipe_http_async **out, struct snipe_loop *loop,
                      uint32_t connections_max)
{
  struct snipe_http_async *web = g_new0 (struct snipe_http_async, 1);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  web->loop = loop;
  web->idle = g_ptr_array_new ();
  web->calls = g_hash_table_new (NULL, NULL);
  web->sockets = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  web->multi = curl_multi_init ();
  if (web->multi == NULL)
    {
      snipe_http_async_free (web);
      return snipe_status_set (SNIPE_E_NOMEM, "no memory for HTTP calls");
    }
  curl_multi_setopt (web->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (web->multi, CURLMOPT_SOCKETDATA, web);
  curl_multi_setopt (web->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (web->multi, CURLMOPT_TIMERDATA, web);
  curl_multi_setopt (web->multi, CURLMOPT_MAXCONNECTS, (long)connections_max);
  snipe_loop_set_prepare (loop, on_prepare, web);
  *out = web;
  return SNIPE_OK;
}

void
snipe_http_async_free (struct snipe_http_async *web)
{
  GHashTableIter iter;
  gpointer key;

  if (web == NULL)
    return;
  g_hash_table_iter_init (&iter, web->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      finish (key, 0);
      g_hash_table_iter_init (&iter, web->calls);
    }
  for (guint i = 0; i < web->idle->len; i++)
    curl_easy_cleanup (g_ptr_array_index (web->idle, i));
  if (web->multi != NULL)
    curl_multi_cleanup (web->multi);
  g_ptr_array_free (web->idle, TRUE);
  g_hash_table_destroy (web->calls);
  g_hash_table_destroy (web->sockets);
  g_free (web);
}

static CURL *
take_handle (struct snipe_http_async *web)
{
  if (web->idle->len > 0)
    return g_ptr_array_steal_index_fast (web->idle, web->idle->len - 1);
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
snipe_http_async_call (struct snipe_http_async *web,
                       struct snipe_http_async_request *request)
{
  struct call *call = g_new0 (struct call, 1);
  char url[1024];

  call->web = web;
  call->done = request->done;
  call->ctx = request->ctx;
  call->body = request->body;
  call->answer = g_string_new (NULL);
  call->easy = take_handle (web);
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
  curl_easy_setopt (call->easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
  curl_easy_setopt (call->easy, CURLOPT_CLOSESOCKETDATA, web);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_PREREQFUNCTION, on_connected);
  curl_easy_setopt (call->easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
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
  g_hash_table_add (web->calls, call);
  curl_multi_add_handle (web->multi, call->easy);
}
