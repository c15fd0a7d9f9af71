#include "caller/server.h"

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "snipe/counter.h"
#include "snipe/status.h"
#include "util/address.h"
#include "util/intake.h"

#define JOBS_PATH "/v1/jobs/"
#define IDS_MAX 1000
#define CANCEL_MAX 10000
/* Decoded, each value takes up to 200 times its bytes: eight bodies of 1 MiB
 * took 330 MB. */
#define CANCEL_VALUES_MAX 20000
#define IDLE_TIMEOUT_S 120
#define CONNECTION_MEMORY_BYTES 16384
#define BYTES_PER_MB 1000000U
/* The other half of the memory is for the daemon itself and for the decoded
 * form of the jobs whose bodies it holds. */
#define CONNECTIONS_MEMORY_SHARE 4U
#define BODIES_MEMORY_SHARE 4U
/* The other half is for endpoints, other daemons, the platform and files. */
#define CONNECTIONS_FDS_SHARE 2U
/* Connections beyond the limit for as long as they take to be closed. */
#define CONNECTIONS_CLOSING_MAX 16U
/* The space of a body without a length grows by this factor: with 2, copies
 * left 16 MB in use and in freed blocks for 8 MB of bodies. */
#define BODY_GROWTH 16U
/* When no memory is left for bodies, one that has been under way for longer
 * is closed. */
#define BODY_TIME_MAX (15 * SNIPE_S)
/* Largest refused body that is read, and discarded, so that a caller which
 * sends it at once receives the answer: the largest --body-bytes. */
#define DISCARD_BYTES_MAX ((size_t)4194304)
#define REFUSED_RETRY_AFTER_S "1"
/* Shortest time between two log lines about refused callers. */
#define LOG_INTERVAL SNIPE_S

struct snipe_caller_server
{
  struct MHD_Daemon *daemon;
  struct snipe_engine *engine;
  struct snipe_operator *operator_pages;
  size_t body_bytes;
  uint32_t waiting;
  GMutex lock; /**< guards the fields below, and the sockets of connections
                  that are closed by another thread than their own */
  struct snipe_intake intake;
  snipe_time logged_at;
  uint32_t unlogged; /**< refused callers since then */
};

/** A connection of a caller. */
struct connection
{
  struct snipe_intake_client client; /**< first, see shutdown_client () */
  int fd;
};

/** One HTTP request, from its headers to its answer. */
struct exchange
{
  struct snipe_caller_server *server;
  struct MHD_Connection *connection;
  struct snipe_intake_client *client;
  struct snipe_str body;
  size_t body_first; /**< bytes to allocate at first */
  size_t body_space; /**< bytes that body has space for */
  size_t body_max;   /**< bytes as announced, or the limit */
  size_t body_bytes; /**< that have arrived */
  int refused;       /**< HTTP status that refuses the body; 0: taken */
  int http_status;   /**< 0 until answered */
  const char *content_type;
  struct snipe_str answer;
};

/** A request to cancel several jobs; answered once the engine has replied for
 * each of them. */
struct bulk_cancel
{
  struct exchange *exchange;
  uint32_t references; /**< replies to come, and one of handle_cancel () */
  uint32_t not_run;
  uint32_t running;
  uint32_t other;
};

static void
set_answer (struct exchange *ex, int http_status, const char *content_type,
            const char *data, size_t len)
{
  snipe_str_set (&ex->answer, data, len);
  ex->content_type = content_type;
  ex->http_status = http_status;
}

static void
set_error (struct exchange *ex, int http_status, int code)
{
  json_t *root
      = json_pack ("{s:s, s:s, s:i, s:s, s:s}", "id", "", "outcome", "unknown",
                   "code", code, "status", snipe_status_name (code), "message",
                   snipe_status_last ());
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  set_answer (ex, http_status, "application/json", text, strlen (text));
  free (text);
}

/** The engine's answer to a suspended request. */
static void
on_reply (void *ctx, int http_status, const struct snipe_str *body)
{
  struct exchange *ex = ctx;

  set_answer (ex, http_status, "application/json", snipe_str_c (body),
              body->len);
  __atomic_sub_fetch (&ex->server->waiting, 1, __ATOMIC_RELAXED);
  MHD_resume_connection (ex->connection);
}

static void
suspend_request (struct exchange *ex)
{
  struct snipe_caller_server *server = ex->server;

  __atomic_add_fetch (&server->waiting, 1, __ATOMIC_RELAXED);
  g_mutex_lock (&server->lock);
  snipe_intake_begin_work (&server->intake, ex->client);
  g_mutex_unlock (&server->lock);
  MHD_suspend_connection (ex->connection);
}

/** Parses the query argument wait=MS. @return microseconds; -1 if it is absent
 * or out of range. */
static snipe_time
parse_wait_argument (struct exchange *ex)
{
  const char *text = MHD_lookup_connection_value (
      ex->connection, MHD_GET_ARGUMENT_KIND, "wait");
  guint64 ms;

  if (text == NULL
      || !g_ascii_string_to_unsigned (text, 10, 0, 3600000, &ms, NULL))
    return -1;
  return (snipe_time)ms * SNIPE_MS;
}

static bool
handle_job (struct exchange *ex, const char *method, const char *id)
{
  struct snipe_request request = {
    .id = id,
    .body = snipe_str_c (&ex->body),
    .body_len = ex->body.len,
    .wait = parse_wait_argument (ex),
  };

  if (strcmp (method, "PUT") == 0 || strcmp (method, "POST") == 0)
    request.verb = SNIPE_VERB_SUBMIT;
  else if (strcmp (method, "GET") == 0)
    request.verb = SNIPE_VERB_QUERY;
  else if (strcmp (method, "DELETE") == 0)
    request.verb = SNIPE_VERB_CANCEL;
  else
    {
      set_error (ex, 405,
                 snipe_status_set (SNIPE_E_INVALID,
                                   "method %s is not one of PUT, GET, "
                                   "DELETE",
                                   method));
      return false;
    }
  suspend_request (ex);
  snipe_engine_request (ex->server->engine, &request, snipe_clock_now (),
                        on_reply, ex);
  return true;
}

static void
handle_ids (struct exchange *ex)
{
  const char *text = MHD_lookup_connection_value (
      ex->connection, MHD_GET_ARGUMENT_KIND, "count");
  struct snipe_str body = SNIPE_STR_INIT;
  guint64 count = 1;
  int status;

  if (text != NULL
      && !g_ascii_string_to_unsigned (text, 10, 1, IDS_MAX, &count, NULL))
    {
      set_error (ex, 400,
                 snipe_status_set (SNIPE_E_INVALID,
                                   "count \"%.32s\" is not a whole number "
                                   "from 1 to %d",
                                   text, IDS_MAX));
      return;
    }
  status = snipe_engine_issue_ids (&body, ex->server->engine, (uint32_t)count,
                                   snipe_clock_now ());
  if (status < 0)
    set_error (ex, 503, status);
  else
    set_answer (ex, 200, "application/json", body.data, body.len);
  snipe_str_clear (&body);
}

static void
bulk_cancel_unref (struct bulk_cancel *bulk)
{
  struct snipe_str answer;

  if (__atomic_sub_fetch (&bulk->references, 1, __ATOMIC_ACQ_REL) > 0)
    return;
  answer.data
      = g_strdup_printf ("{\"cancelled\":%u,\"running\":%u,\"other\":%u}",
                         bulk->not_run, bulk->running, bulk->other);
  answer.len = strlen (answer.data);
  on_reply (bulk->exchange, 200, &answer);
  g_free (answer.data);
  g_free (bulk);
}

static void
on_cancel_reply (void *ctx, int http_status, const struct snipe_str *body)
{
  struct bulk_cancel *bulk = ctx;
  uint32_t *count = http_status == 409   ? &bulk->not_run
                    : http_status == 202 ? &bulk->running
                                         : &bulk->other;

  (void)body;
  __atomic_add_fetch (count, 1, __ATOMIC_RELAXED);
  bulk_cancel_unref (bulk);
}

/* @return whether a JSON text has at most CANCEL_VALUES_MAX values, counted by
 * the commas and opening brackets before them. */
static bool
has_few_values (const struct snipe_str *text)
{
  size_t count = 0;

  for (size_t i = 0; i < text->len && count <= CANCEL_VALUES_MAX; i++)
    count += text->data[i] == ',' || text->data[i] == '['
             || text->data[i] == '{';
  return count <= CANCEL_VALUES_MAX;
}

static bool
handle_cancel (struct exchange *ex)
{
  json_t *root
      = has_few_values (&ex->body)
            ? json_loadb (snipe_str_c (&ex->body), ex->body.len, 0, NULL)
            : NULL;
  json_t *ids = json_object_get (root, "ids");
  size_t count = json_array_size (ids);
  struct bulk_cancel *bulk;
  json_t *id;
  size_t i;

  if (count == 0 || count > CANCEL_MAX)
    {
      json_decref (root);
      set_error (ex, 400,
                 snipe_status_set (SNIPE_E_INVALID,
                                   "\"ids\" must be an array of 1 to %d "
                                   "ids",
                                   CANCEL_MAX));
      return false;
    }
  bulk = g_new0 (struct bulk_cancel, 1);
  bulk->exchange = ex;
  bulk->references = (uint32_t)count + 1;
  suspend_request (ex);
  json_array_foreach (ids, i, id)
  {
    const char *text = json_string_value (id);
    struct snipe_request request = { .verb = SNIPE_VERB_CANCEL,
                                     .id = text == NULL ? "" : text,
                                     .wait = 0 };

    snipe_engine_request (ex->server->engine, &request, snipe_clock_now (),
                          on_cancel_reply, bulk);
  }
  json_decref (root);
  /* Drops the reference that kept the answer from being sent before the last
     id was passed to the engine. */
  bulk_cancel_unref (bulk);
  return true;
}

static void
handle_page (struct exchange *ex, const char *method, const char *url)
{
  struct snipe_page_request request = {
    .method = method,
    .path = url,
    .job_id = MHD_lookup_connection_value (ex->connection,
                                           MHD_GET_ARGUMENT_KIND, "job"),
    .body = snipe_str_c (&ex->body),
    .body_len = ex->body.len,
  };
  struct snipe_page_response page;

  snipe_operator_handle (&page, ex->server->operator_pages, &request,
                         snipe_clock_now ());
  set_answer (ex, page.http_status, page.content_type,
              snipe_str_c (&page.body), page.body.len);
  snipe_str_clear (&page.body);
}

/** @return whether the request was suspended. The engine then answers it,
 * possibly already on another thread, so @p ex must not be accessed. */
static bool
handle (struct exchange *ex, const char *method, const char *url)
{
  if (g_str_has_prefix (url, JOBS_PATH))
    return handle_job (ex, method, url + strlen (JOBS_PATH));
  else if (strcmp (url, "/v1/jobs") == 0)
    set_error (ex, 400,
               snipe_status_set (SNIPE_E_BAD_ID,
                                 "a job needs an id: get one by POST "
                                 "/v1/ids, or use a UUID version 7, and "
                                 "PUT the job to /v1/jobs/{id}"));
  else if (strcmp (url, "/v1/ids") == 0 && strcmp (method, "POST") == 0)
    handle_ids (ex);
  else if (strcmp (url, "/v1/cancel") == 0 && strcmp (method, "POST") == 0)
    return handle_cancel (ex);
  else
    handle_page (ex, method, url);
  return false;
}

static enum MHD_Result
send_answer (struct exchange *ex)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      ex->answer.len, ex->answer.data, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result;

  if (response == NULL)
    return MHD_NO;
  ex->answer = (struct snipe_str)SNIPE_STR_INIT;
  MHD_add_response_header (response, "Content-Type", ex->content_type);
  if (ex->refused != 0)
    MHD_add_response_header (response, "Connection", "close");
  if (ex->refused == 503)
    MHD_add_response_header (response, "Retry-After", REFUSED_RETRY_AFTER_S);
  result = MHD_queue_response (ex->connection, (unsigned int)ex->http_status,
                               response);
  MHD_destroy_response (response);
  return result;
}

/* Counts a caller that is refused or closed, and logs at most one each
 * LOG_INTERVAL. The lock is held. */
static void
log_refused (struct snipe_caller_server *server, const char *reason,
             size_t bytes, size_t limit, snipe_time now)
{
  snipe_counter_add (SNIPE_C_CLIENTS_REFUSED, 1);
  server->unlogged++;
  if (server->logged_at != 0 && now - server->logged_at < LOG_INTERVAL)
    return;
  g_message ("caller: event=client_refused reason=\"%s\" bytes=%zu limit=%zu "
             "count=%u",
             reason, bytes, limit, server->unlogged);
  server->logged_at = now;
  server->unlogged = 0;
}

/* Its server thread closes the connection when it notices its end. The lock is
 * held, without which that thread may already have closed the descriptor. */
static void
shutdown_client (struct snipe_intake_client *client)
{
  shutdown (((struct connection *)client)->fd, SHUT_RDWR);
}

static void
on_connection (void *ctx, struct MHD_Connection *connection, void **state,
               enum MHD_ConnectionNotificationCode code)
{
  struct snipe_caller_server *server = ctx;
  struct connection *self = *state;
  struct snipe_intake_client *closed;
  snipe_time now = snipe_clock_now ();

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      g_mutex_lock (&server->lock);
      snipe_intake_disconnect (&server->intake, &self->client);
      g_mutex_unlock (&server->lock);
      g_free (self);
      *state = NULL;
      return;
    }
  self = g_new0 (struct connection, 1);
  *state = self;
  self->fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  g_mutex_lock (&server->lock);
  closed = snipe_intake_connect (&server->intake, &self->client, now);
  if (closed != NULL)
    {
      log_refused (server, "too many connections", 0,
                   server->intake.connections_max, now);
      shutdown_client (closed);
    }
  g_mutex_unlock (&server->lock);
}

/* Reserves memory for a body of @p size bytes.
 * @return 0, or the HTTP status with which the request is refused. */
static int
reserve_body (struct exchange *ex, size_t size, snipe_time now)
{
  struct snipe_caller_server *server = ex->server;
  struct snipe_intake_client *slow;
  int http_status = 0;

  g_mutex_lock (&server->lock);
  switch (snipe_intake_reserve (&server->intake, ex->client, size,
                                server->body_bytes))
    {
    case SNIPE_INTAKE_TAKE:
      break;
    case SNIPE_INTAKE_TOO_LARGE:
      log_refused (server, "body too large", size, server->body_bytes, now);
      http_status = 413;
      break;
    case SNIPE_INTAKE_FULL:
      log_refused (server, "no memory for bodies", size,
                   server->intake.shared_max, now);
      slow = snipe_intake_take_slow (&server->intake, BODY_TIME_MAX, now);
      if (slow != NULL)
        shutdown_client (slow);
      http_status = 503;
      break;
    }
  g_mutex_unlock (&server->lock);
  return http_status;
}

/* Refuses a body: what came of it is freed, and the rest is not kept. */
static void
refuse_body (struct exchange *ex, int http_status)
{
  struct snipe_caller_server *server = ex->server;

  ex->refused = http_status;
  snipe_str_clear (&ex->body);
  g_mutex_lock (&server->lock);
  snipe_intake_release (&server->intake, ex->client);
  g_mutex_unlock (&server->lock);
  /* The outcome is unknown, since the id may have run by an earlier
     request. */
  if (http_status == 413)
    set_error (ex, http_status,
               snipe_status_set (SNIPE_E_TOO_LARGE,
                                 "request body exceeds the limit of %zu "
                                 "bytes; the request was not processed",
                                 server->body_bytes));
  else
    set_error (ex, http_status,
               snipe_status_set (SNIPE_E_OVERLOAD,
                                 "no memory for the request body beside "
                                 "those of other requests; the request was "
                                 "not processed"));
}

/* A caller that waits for "100 Continue" is answered before its body. The
 * others send it at once, and a connection closed under them may reset before
 * they have read the answer.
 * @return MHD_NO to close the connection. */
static enum MHD_Result
begin_request (struct exchange *ex)
{
  struct snipe_caller_server *server = ex->server;
  const char *announced = MHD_lookup_connection_value (
      ex->connection, MHD_HEADER_KIND, "Content-Length");
  const char *expect = MHD_lookup_connection_value (ex->connection,
                                                    MHD_HEADER_KIND, "Expect");
  snipe_time now = snipe_clock_now ();
  int http_status;

  g_mutex_lock (&server->lock);
  snipe_intake_end_work (&server->intake, ex->client, now);
  g_mutex_unlock (&server->lock);
  ex->body_max = server->body_bytes;
  ex->body_first = MIN (SNIPE_INTAKE_OWN_BYTES, ex->body_max);
  if (announced == NULL)
    return MHD_YES;
  ex->body_max = g_ascii_strtoull (announced, NULL, 10);
  ex->body_first = ex->body_max;
  http_status = reserve_body (ex, ex->body_max, now);
  if (http_status == 0)
    return MHD_YES;
  refuse_body (ex, http_status);
  return expect != NULL || ex->body_max > DISCARD_BYTES_MAX ? send_answer (ex)
                                                            : MHD_YES;
}

/* @return MHD_NO to close the connection. */
static enum MHD_Result
append_body (struct exchange *ex, const char *data, size_t size)
{
  struct snipe_str *body = &ex->body;
  size_t space = ex->body_space;
  int http_status;

  ex->body_bytes += size;
  if (ex->refused != 0)
    return ex->body_bytes > DISCARD_BYTES_MAX ? MHD_NO : MHD_YES;
  if (ex->body_bytes > space)
    {
      space = space == 0 ? ex->body_first
                         : MIN (BODY_GROWTH * space, ex->body_max);
      space = MAX (space, ex->body_bytes);
      http_status = reserve_body (ex, space, snipe_clock_now ());
      if (http_status != 0)
        {
          refuse_body (ex, http_status);
          return MHD_YES;
        }
      body->data = g_realloc (body->data, space + 1);
      ex->body_space = space;
    }
  memcpy (body->data + body->len, data, size);
  body->len = ex->body_bytes;
  body->data[body->len] = '\0';
  return MHD_YES;
}

static enum MHD_Result
on_request (void *ctx, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **state)
{
  struct snipe_caller_server *server = ctx;
  struct exchange *ex = *state;

  (void)version;
  if (ex == NULL)
    {
      ex = g_new0 (struct exchange, 1);
      ex->server = server;
      ex->connection = connection;
      ex->client = MHD_get_connection_info (connection,
                                            MHD_CONNECTION_INFO_SOCKET_CONTEXT)
                       ->socket_context;
      *state = ex;
      return begin_request (ex);
    }
  if (*size > 0)
    {
      enum MHD_Result result = append_body (ex, data, *size);

      *size = 0;
      return result;
    }
  /* libmicrohttpd calls this again when a suspended request, by then
     answered, is resumed. */
  if (ex->http_status == 0 && handle (ex, method, url))
    return MHD_YES;
  g_mutex_lock (&server->lock);
  snipe_intake_end_work (&server->intake, ex->client, snipe_clock_now ());
  g_mutex_unlock (&server->lock);
  return send_answer (ex);
}

static void
on_completed (void *ctx, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct snipe_caller_server *server = ctx;
  struct exchange *ex = *state;

  (void)connection;
  (void)code;
  if (ex == NULL)
    return;
  g_mutex_lock (&server->lock);
  snipe_intake_release (&server->intake, ex->client);
  g_mutex_unlock (&server->lock);
  snipe_str_clear (&ex->body);
  snipe_str_clear (&ex->answer);
  g_free (ex);
  *state = NULL;
}

static void
init_intake (struct snipe_intake *intake,
             const struct snipe_caller_server_options *opts)
{
  uint64_t memory = opts->memory_mb * BYTES_PER_MB;
  uint64_t by_memory = memory / CONNECTIONS_MEMORY_SHARE
                       / (CONNECTION_MEMORY_BYTES + SNIPE_INTAKE_OWN_BYTES);
  uint64_t by_fds = opts->max_fds / CONNECTIONS_FDS_SHARE;

  *intake = (struct snipe_intake){
    .connections_max
    = (uint32_t)CLAMP (MIN (by_memory, by_fds), 1, opts->connections),
    /* A single body inside the limit is always taken in calm. */
    .shared_max = MAX (memory / BODIES_MEMORY_SHARE, opts->body_bytes),
    .idle = G_QUEUE_INIT,
  };
}

int
snipe_caller_server_new (struct snipe_caller_server **out,
                         const struct snipe_caller_server_options *opts)
{
  struct snipe_caller_server *server;
  struct sockaddr_in address;
  int status = snipe_address_parse (&address, opts->listen);

  if (status < 0)
    return status;
  server = calloc (1, sizeof *server);
  if (server == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for the HTTP server");
  server->engine = opts->engine;
  server->operator_pages = opts->operator_pages;
  server->body_bytes = opts->body_bytes;
  g_mutex_init (&server->lock);
  init_intake (&server->intake, opts);
  /* With libmicrohttpd's epoll loop some benchmark runs over 256 connections
     stalled with requests unread. poll is cheap for as many connections as a
     host has. */
  server->daemon = MHD_start_daemon (
      MHD_USE_POLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      on_request, server, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_THREAD_POOL_SIZE, opts->threads, MHD_OPTION_CONNECTION_LIMIT,
      server->intake.connections_max + CONNECTIONS_CLOSING_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, server, MHD_OPTION_END);
  if (server->daemon == NULL)
    {
      g_mutex_clear (&server->lock);
      free (server);
      return snipe_status_set (SNIPE_E_INVALID, "cannot listen on %s",
                               opts->listen);
    }
  *out = server;
  return SNIPE_OK;
}

uint16_t
snipe_caller_server_port (const struct snipe_caller_server *server)
{
  return MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

uint32_t
snipe_caller_server_waiting (const struct snipe_caller_server *server)
{
  return __atomic_load_n (&server->waiting, __ATOMIC_RELAXED);
}

void
snipe_caller_server_free (struct snipe_caller_server *server)
{
  if (server == NULL)
    return;
  MHD_stop_daemon (server->daemon);
  g_mutex_clear (&server->lock);
  free (server);
}
