#include "web.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include "timer.h"

/* Objects and whole jobs are far smaller: only a faulty client sends more. */
#define WEB_BODY_MAX_BYTES (64U << 20)

struct web
{
  struct MHD_Daemon *daemon;
  struct web_options options;
  struct sockaddr_in addr;
  char address[64];
  int reserved_fd; /**< bound, not listening, while closed; otherwise -1 */
  pthread_mutex_t lock; /**< guards the fields below, request.suspended */
  GQueue suspended;
  bool stopping;
  bool frozen;
};

static void
request_unref (struct web_request *request)
{
  if (!g_atomic_int_dec_and_test (&request->refs))
    return;
  g_string_free (request->body, TRUE);
  free (request->reply);
  g_free (request->url_copy);
  g_free (request);
}

/* Call with the lock held. */
static void
resume_request (struct web *web, struct web_request *request)
{
  g_queue_unlink (&web->suspended, &request->link);
  request->suspended = false;
  MHD_resume_connection (request->connection);
}

static void
on_delay_elapsed (void *arg)
{
  struct web_request *request = arg;
  struct web *web = request->web;
  pthread_mutex_lock (&web->lock);
  if (request->suspended)
    resume_request (web, request);
  pthread_mutex_unlock (&web->lock);
  request_unref (request);
}

static bool
suspend_request (struct web *web, struct web_request *request,
                 snipe_time delay)
{
  pthread_mutex_lock (&web->lock);
  if (web->stopping)
    {
      pthread_mutex_unlock (&web->lock);
      request->close_connection = true;
      return false;
    }
  if (delay == WEB_UNTIL_UNFROZEN && !web->frozen)
    {
      pthread_mutex_unlock (&web->lock);
      return false;
    }
  MHD_suspend_connection (request->connection);
  request->suspended = true;
  request->until_unfrozen = delay == WEB_UNTIL_UNFROZEN;
  g_queue_push_tail_link (&web->suspended, &request->link);
  if (delay != WEB_UNTIL_UNFROZEN)
    g_atomic_int_inc (&request->refs);
  pthread_mutex_unlock (&web->lock);
  if (delay != WEB_UNTIL_UNFROZEN)
    timer_at (snipe_clock_now () + delay, on_delay_elapsed, request);
  return true;
}

static enum MHD_Result
send_reply (struct web_request *request)
{
  if (request->close_connection)
    return MHD_NO;
  struct MHD_Response *response = MHD_create_response_from_buffer (
      request->reply_len, request->reply, MHD_RESPMEM_MUST_FREE);
  if (!response)
    return MHD_NO;
  request->reply = NULL;
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "application/json");
  if (request->etag[0])
    MHD_add_response_header (response, MHD_HTTP_HEADER_ETAG, request->etag);
  if (request->rejection)
    MHD_add_response_header (response, "X-Refused", request->rejection);
  enum MHD_Result rc
      = MHD_queue_response (request->connection, request->status, response);
  MHD_destroy_response (response);
  return rc;
}

static enum MHD_Result
on_request (void *ctx, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *len, void **state)
{
  struct web *web = ctx;
  struct web_request *request = *state;
  (void)version;
  if (!request)
    {
      request = g_new0 (struct web_request, 1);
      request->connection = connection;
      request->web = web;
      request->method = method;
      request->url = request->url_copy = g_strdup (url);
      request->body = g_string_sized_new (256);
      request->link.data = request;
      request->refs = 1;
      *state = request;
      return MHD_YES;
    }
  if (*len > 0)
    {
      if (request->body->len + *len > WEB_BODY_MAX_BYTES)
        return MHD_NO;
      g_string_append_len (request->body, data, (gssize)*len);
      *len = 0;
      return MHD_YES;
    }
  if (!request->handled)
    {
      request->handled = true;
      snipe_time delay = web->options.handler (web->options.ctx, request);
      if (delay > 0 && suspend_request (web, request, delay))
        return MHD_YES;
    }
  return send_reply (request);
}

static void
on_completed (void *ctx, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  (void)ctx;
  (void)connection;
  (void)code;
  if (*state)
    request_unref (*state);
  *state = NULL;
}

static int
bind_socket (struct web *web)
{
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&web->addr, sizeof web->addr) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static int
start_daemon (struct web *web, int fd)
{
  if (listen (fd, 1024) != 0)
    return -1;
  web->stopping = false;
  unsigned int threads = web->options.threads;
  web->daemon = MHD_start_daemon (
      MHD_USE_POLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      on_request, web, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_CONNECTION_LIMIT, web->options.connections,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, web,
      MHD_OPTION_THREAD_POOL_SIZE, threads > 1 ? threads : 0, MHD_OPTION_END);
  return web->daemon ? 0 : -1;
}

static int
parse_address (struct sockaddr_in *out, const char *text)
{
  char **parts = g_strsplit (text, ":", 2);
  int rc = -1;
  *out = (struct sockaddr_in){ .sin_family = AF_INET };
  if (parts[0] && parts[1]
      && inet_pton (AF_INET, parts[0], &out->sin_addr) == 1)
    {
      out->sin_port = htons ((uint16_t)strtoul (parts[1], NULL, 10));
      rc = 0;
    }
  g_strfreev (parts);
  return rc;
}

struct web *
web_new (const struct web_options *options)
{
  struct web *web = g_new0 (struct web, 1);
  int fd = -1;
  socklen_t len = sizeof web->addr;
  char ip[INET_ADDRSTRLEN];
  web->options = *options;
  web->reserved_fd = -1;
  g_queue_init (&web->suspended);
  pthread_mutex_init (&web->lock, NULL);
  if (parse_address (&web->addr, options->listen) != 0)
    {
      fprintf (stderr, "listen address \"%s\" is not ip:port\n",
               options->listen);
      goto on_error;
    }
  fd = bind_socket (web);
  if (fd < 0 || getsockname (fd, (struct sockaddr *)&web->addr, &len) != 0)
    {
      fprintf (stderr, "cannot bind %s: %m\n", options->listen);
      goto on_error;
    }
  inet_ntop (AF_INET, &web->addr.sin_addr, ip, sizeof ip);
  g_snprintf (web->address, sizeof web->address, "%s:%d", ip,
              ntohs (web->addr.sin_port));
  if (start_daemon (web, fd) != 0)
    {
      fprintf (stderr, "cannot start the HTTP server on %s: %m\n",
               web->address);
      goto on_error;
    }
  return web;

on_error:
  if (fd >= 0)
    close (fd);
  web_free (web);
  return NULL;
}

void
web_free (struct web *web)
{
  if (!web)
    return;
  if (web->reserved_fd >= 0)
    close (web->reserved_fd);
  pthread_mutex_destroy (&web->lock);
  g_free (web);
}

const char *
web_address (const struct web *web)
{
  return web->address;
}

void
web_close (struct web *web)
{
  if (!web->daemon)
    return;
  pthread_mutex_lock (&web->lock);
  web->stopping = true;
  while (web->suspended.head)
    {
      struct web_request *request = web->suspended.head->data;
      request->close_connection = true;
      resume_request (web, request);
    }
  pthread_mutex_unlock (&web->lock);
  MHD_stop_daemon (web->daemon);
  web->daemon = NULL;
  web->reserved_fd = bind_socket (web);
}

int
web_reopen (struct web *web)
{
  if (web->daemon)
    return 0;
  int fd = web->reserved_fd >= 0 ? web->reserved_fd : bind_socket (web);
  web->reserved_fd = -1;
  if (fd < 0)
    return -1;
  if (start_daemon (web, fd) == 0)
    return 0;
  web->reserved_fd = fd;
  return -1;
}

void
web_freeze (struct web *web, bool frozen)
{
  pthread_mutex_lock (&web->lock);
  web->frozen = frozen;
  GList *link = web->suspended.head;
  while (link && !frozen)
    {
      struct web_request *request = link->data;
      link = link->next;
      if (request->until_unfrozen)
        resume_request (web, request);
    }
  pthread_mutex_unlock (&web->lock);
}

void
web_reply (struct web_request *request, unsigned int status, json_t *body)
{
  free (request->reply);
  request->status = status;
  request->reply = json_dumps (body, JSON_COMPACT | JSON_ENCODE_ANY);
  request->reply_len = request->reply ? strlen (request->reply) : 0;
  json_decref (body);
}

void
web_reply_error (struct web_request *request, unsigned int status,
                 const char *message)
{
  web_reply (request, status, json_pack ("{s:s}", "error", message));
}

const char *
web_arg (const struct web_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

const char *
web_header (const struct web_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

int
web_write_file (const char *path, const char *text)
{
  char *line = g_strconcat (text, "\n", NULL);
  int rc = g_file_set_contents (path, line, -1, NULL) ? 0 : -1;
  if (rc != 0)
    fprintf (stderr, "cannot write the file %s\n", path);
  g_free (line);
  return rc;
}

static void
termination_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
}

void
web_process_init (void)
{
  struct rlimit limit;
  sigset_t set;
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0)
    {
      limit.rlim_cur = limit.rlim_max;
      setrlimit (RLIMIT_NOFILE, &limit);
    }
  signal (SIGPIPE, SIG_IGN);
  termination_signals (&set);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
}

void
web_wait_for_signal (void)
{
  sigset_t set;
  int got;
  termination_signals (&set);
  sigwait (&set, &got);
}
