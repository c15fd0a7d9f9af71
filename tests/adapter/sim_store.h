/**
 * @file sim_store.h
 * The platform's store in virtual time, and the hosts' HTTP connections to it.
 * Replaces the library's HTTP client.
 */
#ifndef TESTS_ADAPTER_SIM_STORE_H
#define TESTS_ADAPTER_SIM_STORE_H

#include <jansson.h>
#include <stdlib.h>

#include "fleet/sim.h"
#include "loop/http_async.h"

/* One way between a host and the store, and the time of an answer. */
#define STORE_DELAY (SNIPE_MS / 2)
#define STORE_ANSWER_TIME (4 * SNIPE_MS)
/* As in http_async.c. */
#define STORE_CONNECT_TIMEOUT (300 * SNIPE_MS)
/* A kernel sends a packet again after about this time. */
#define STORE_RESEND_INTERVAL (50 * SNIPE_MS)
/* The store's watches hear nothing for this long before it drops its history.
 */
#define STORE_DEAF_TIME (1 * SNIPE_S)

/** How the store answers. */
enum store_mode
{
  STORE_SERVES,
  STORE_SILENT,
  STORE_BUSY,
  STORE_MANY,
  STORE_RESETS,
  STORE_MODES,
};

struct store_row
{
  char table[32];
  char part[8];
  char key[64];
  char *value; /**< base64; NULL: deleted */
  uint64_t version;
};

struct store_connection
{
  bool busy;
  bool silent; /**< delivers nothing more */
  bool closed;
};

struct store_call
{
  struct snipe_http_async *client;
  uint32_t host;
  uint32_t generation;
  char path[256];
  char *body;
  bool close_idle_on_timeout;
  snipe_http_async_done done;
  void *ctx;
  struct store_connection *connection;
  bool ended;
  bool waits; /**< for changes */
  int http;
  char *answer;
};

/** Of one process of a host. */
struct snipe_http_async
{
  uint32_t host;
  GPtrArray *connections; /**< struct store_connection */
};

struct sim_store
{
  GPtrArray *rows;    /**< struct store_row */
  GPtrArray *waiting; /**< struct store_call */
  uint64_t version;
  uint64_t history_from; /**< changes after this version are known */
  uint64_t deaf_version; /**< that watches are told, 0: the newest */
  int64_t slowness;      /**< factor of the time of an answer */
  enum store_mode mode;
  enum store_mode host_modes[SIM_HOSTS];
  uint32_t cuts[SIM_HOSTS];
  GPtrArray *clients;          /**< struct snipe_http_async */
  bool keeps_idle_connections; /**< planted fault of the HTTP client */
  bool hides_parts;            /**< planted fault: rows look alike */
};

static struct sim_store sim_store;

static void
store_begin (void)
{
  sim_store
      = (struct sim_store){ .rows = g_ptr_array_new (),
                            .waiting = g_ptr_array_new (),
                            .clients = g_ptr_array_new_with_free_func (g_free),
                            .version = 100,
                            .slowness = 1 };
}

static void
store_end (void)
{
  for (guint i = 0; i < sim_store.rows->len; i++)
    g_free (((struct store_row *)sim_store.rows->pdata[i])->value);
  for (guint i = 0; i < sim_store.clients->len; i++)
    g_ptr_array_free (
        ((struct snipe_http_async *)sim_store.clients->pdata[i])->connections,
        TRUE);
  g_ptr_array_free (sim_store.rows, TRUE);
  g_ptr_array_free (sim_store.waiting, TRUE);
  g_ptr_array_free (sim_store.clients, TRUE);
}

static struct snipe_http_async *
store_client (uint32_t host)
{
  struct snipe_http_async *client = g_new0 (struct snipe_http_async, 1);

  client->host = host;
  client->connections = g_ptr_array_new ();
  g_ptr_array_add (sim_store.clients, client);
  return client;
}

static enum store_mode
store_mode_for (uint32_t host)
{
  return sim_store.mode != STORE_SERVES ? sim_store.mode
                                        : sim_store.host_modes[host];
}

/* Reads a parameter of a request's query string. */
static const char *
store_parameter (const struct store_call *call, const char *name, char out[64])
{
  const char *at = strstr (call->path, name);
  size_t len = 0;

  if (at != NULL)
    for (at += strlen (name); at[len] != '\0' && at[len] != '&' && len < 63;
         len++)
      out[len] = at[len];
  out[len] = '\0';
  return out;
}

static uint64_t
store_number (const struct store_call *call, const char *name)
{
  char text[64];

  return g_ascii_strtoull (store_parameter (call, name, text), NULL, 10);
}

static bool
store_is_feed (const struct store_call *call)
{
  return g_str_has_prefix (call->path, "/api/rows-feed");
}

/* Encodes the rows of a table: those of the empty part, or the changes of all
 * parts after a version. */
static char *
store_encode (const char *table, bool changes, uint64_t after,
              uint64_t version, guint *count)
{
  GString *text = g_string_new ("{\"rows\":[");

  *count = 0;
  for (guint i = 0; i < sim_store.rows->len; i++)
    {
      const struct store_row *row = sim_store.rows->pdata[i];

      if (strcmp (row->table, table) != 0 || row->version > version
          || (changes ? row->version <= after
                      : row->value == NULL || *row->part != '\0'))
        continue;
      g_string_append_printf (
          text,
          "%s{\"table\":\"%s\",\"part\":\"%s\",\"key\":\"%s\","
          "\"ver\":%" G_GUINT64_FORMAT,
          (*count)++ > 0 ? "," : "", table,
          sim_store.hides_parts ? "" : row->part, row->key, row->version);
      if (row->value != NULL)
        g_string_append_printf (text, ",\"value\":\"%s\"}", row->value);
      else
        g_string_append (text, ",\"deleted\":true}");
    }
  g_string_append_printf (text, "],\"ver\":%" G_GUINT64_FORMAT "}", version);
  return g_string_free (text, FALSE);
}

static void
store_close (struct store_connection *connection)
{
  connection->closed = true;
  connection->busy = false;
}

static void
store_end_call (struct store_call *call, int http, const char *text)
{
  struct snipe_str body
      = { .data = (char *)text, .len = text == NULL ? 0 : strlen (text) };

  call->ended = true;
  g_ptr_array_remove (sim_store.waiting, call);
  if (call->connection != NULL)
    call->connection->busy = false;
  call->done (call->ctx, http, &body);
}

static void
store_on_timeout (void *data)
{
  struct store_call *call = data;

  if (call->ended)
    return;
  if (call->connection != NULL)
    {
      store_close (call->connection);
      if (call->close_idle_on_timeout && !sim_store.keeps_idle_connections)
        for (guint i = 0; i < call->client->connections->len; i++)
          {
            struct store_connection *other
                = call->client->connections->pdata[i];

            if (!other->busy)
              store_close (other);
          }
    }
  store_end_call (call, 0, NULL);
}

static void
store_on_connect_timeout (void *data)
{
  store_end_call (data, SNIPE_HTTP_ASYNC_NOT_SENT, NULL);
}

/* An answer arrives at its host, unless a cut holds it up. */
static void
store_on_answer (void *data)
{
  struct store_call *call = data;

  if (call->ended || (call->connection != NULL && call->connection->silent))
    return;
  if (sim_store.cuts[call->host] > 0)
    {
      sim_at_process (sim.now + STORE_RESEND_INTERVAL, call->host,
                      call->generation, store_on_answer, call);
      return;
    }
  if (call->http == 0)
    store_close (call->connection);
  store_end_call (call, call->http, call->answer);
}

/* Sends an answer; takes ownership of its text. */
static void
store_answer (struct store_call *call, int http, char *text)
{
  g_ptr_array_remove (sim_store.waiting, call);
  call->waits = false;
  call->http = http;
  if (text != NULL)
    {
      call->answer = sim_alloc (strlen (text) + 1);
      memcpy (call->answer, text, strlen (text));
      g_free (text);
    }
  sim_at_process (sim.now + STORE_ANSWER_TIME * sim_store.slowness, call->host,
                  call->generation, store_on_answer, call);
}

static struct store_row *
store_find (const char *table, const char *part, const char *key)
{
  for (guint i = 0; i < sim_store.rows->len; i++)
    {
      struct store_row *row = sim_store.rows->pdata[i];

      if (strcmp (row->table, table) == 0 && strcmp (row->part, part) == 0
          && strcmp (row->key, key) == 0)
        return row;
    }
  return NULL;
}

/* Answers a request for changes if there are any. */
static bool
store_answer_changes (struct store_call *call)
{
  uint64_t after = store_number (call, "after=");
  uint64_t version = sim_store.deaf_version != 0 ? sim_store.deaf_version
                                                 : sim_store.version;
  char table[64];
  guint count;
  char *text = store_encode (store_parameter (call, "table=", table), true,
                             after, MAX (version, after), &count);

  if (count > 0)
    {
      store_answer (call, 200, text);
      return true;
    }
  g_free (text);
  return false;
}

static void
store_answer_waiting (void)
{
  GPtrArray *calls = g_ptr_array_copy (sim_store.waiting, NULL, NULL);

  for (guint i = 0; i < calls->len; i++)
    store_answer_changes (calls->pdata[i]);
  g_ptr_array_free (calls, TRUE);
}

/* Sets a row, or removes it if @p value is NULL. Takes ownership of the value.
 */
static void
store_put (const char *table, const char *part, const char *key, char *value)
{
  struct store_row *row = store_find (table, part, key);

  if (row == NULL)
    {
      row = sim_alloc (sizeof *row);
      g_strlcpy (row->table, table, sizeof row->table);
      g_strlcpy (row->part, part, sizeof row->part);
      g_strlcpy (row->key, key, sizeof row->key);
      g_ptr_array_add (sim_store.rows, row);
    }
  g_free (row->value);
  row->value = value;
  row->version = ++sim_store.version;
  if (sim_store.deaf_version == 0)
    store_answer_waiting ();
}

static const char *
store_text (const json_t *entry, const char *name)
{
  return json_string_value (json_object_get (entry, name));
}

static bool
store_expectations_hold (const json_t *expected)
{
  size_t i;
  json_t *entry;

  json_array_foreach (expected, i, entry)
  {
    const struct store_row *row
        = store_find (store_text (entry, "table"), store_text (entry, "part"),
                      store_text (entry, "key"));

    if ((row == NULL || row->value == NULL ? 0 : (json_int_t)row->version)
        != json_integer_value (json_object_get (entry, "ver")))
      return false;
  }
  return true;
}

static void
store_write (struct store_call *call)
{
  json_t *root = json_loads (call->body, 0, NULL);
  size_t i;
  json_t *entry;

  if (root == NULL)
    g_error ("cannot decode %s", call->body);
  if (!store_expectations_hold (json_object_get (root, "expected_rev")))
    {
      store_answer (call, 412, NULL);
      json_decref (root);
      return;
    }
  json_array_foreach (json_object_get (root, "puts"), i, entry)
  {
    store_put (store_text (entry, "table"), store_text (entry, "part"),
               store_text (entry, "key"),
               g_strdup (store_text (entry, "value")));
  }
  json_array_foreach (json_object_get (root, "remove"), i, entry)
  {
    store_put (store_text (entry, "table"), store_text (entry, "part"),
               store_text (entry, "key"), NULL);
  }
  store_answer (call, 200,
                g_strdup_printf ("{\"rows\":[],\"ver\":%" G_GUINT64_FORMAT "}",
                                 sim_store.version));
  json_decref (root);
}

/* The time of a request for changes has passed. */
static void
store_on_wait_end (void *data)
{
  struct store_call *call = data;
  uint64_t version = MAX (sim_store.deaf_version != 0 ? sim_store.deaf_version
                                                      : sim_store.version,
                          store_number (call, "after="));

  if (!call->ended && call->waits)
    store_answer (call, 200,
                  g_strdup_printf (
                      "{\"rows\":[],\"ver\":%" G_GUINT64_FORMAT "}", version));
}

static void
store_read (struct store_call *call)
{
  char table[64];
  guint count;

  if (!store_is_feed (call))
    store_answer (call, 200,
                  store_encode (store_parameter (call, "table=", table), false,
                                0, sim_store.version, &count));
  else if (store_number (call, "after=") < sim_store.history_from)
    store_answer (call, 410, NULL);
  else if (!store_answer_changes (call))
    {
      call->waits = true;
      g_ptr_array_add (sim_store.waiting, call);
      sim_at (sim.now + (snipe_time)store_number (call, "wait_ms=") * SNIPE_MS,
              SIM_NO_HOST, store_on_wait_end, call);
    }
}

/* Answers a call as a store that turns its host away. */
static void
store_turn_away (struct store_call *call, enum store_mode mode)
{
  switch (mode)
    {
    case STORE_BUSY:
      store_answer (call, 503, NULL);
      break;
    case STORE_MANY:
      store_answer (call, 429, NULL);
      break;
    case STORE_RESETS:
      store_answer (call, 0, NULL);
      break;
    case STORE_SERVES:
    case STORE_SILENT:
    case STORE_MODES:
      g_ptr_array_remove (sim_store.waiting, call);
      call->waits = false;
      break;
    }
}

/* A request arrives at the store, unless a cut holds it up. */
static void
store_on_request (void *data)
{
  struct store_call *call = data;

  if (call->ended || call->connection->silent)
    return;
  if (sim_store.cuts[call->host] > 0)
    sim_at (sim.now + STORE_RESEND_INTERVAL, SIM_NO_HOST, store_on_request,
            call);
  else if (store_mode_for (call->host) != STORE_SERVES)
    store_turn_away (call, store_mode_for (call->host));
  else if (call->body != NULL)
    store_write (call);
  else
    store_read (call);
}

/* Turns away the hosts whose requests wait for changes, now that their mode
 * has changed. */
static void
store_on_mode_change (void)
{
  GPtrArray *calls = g_ptr_array_copy (sim_store.waiting, NULL, NULL);

  for (guint i = 0; i < calls->len; i++)
    {
      struct store_call *call = calls->pdata[i];

      if (store_mode_for (call->host) != STORE_SERVES)
        store_turn_away (call, store_mode_for (call->host));
    }
  g_ptr_array_free (calls, TRUE);
}

/* All connections that hosts have to the store deliver nothing more. */
static void
store_silence (void)
{
  for (guint i = 0; i < sim_store.clients->len; i++)
    {
      const struct snipe_http_async *client = sim_store.clients->pdata[i];

      for (guint k = 0; k < client->connections->len; k++)
        ((struct store_connection *)client->connections->pdata[k])->silent
            = true;
    }
}

/* Watches hear nothing from now on. Those that hear nothing already are told
 * the version up to which they know the changes, not a newer one. */
static void
store_deafen (void)
{
  if (sim_store.deaf_version == 0)
    sim_store.deaf_version = sim_store.version;
}

/* The history is dropped, and the watches are cut. */
static void
store_compact (void)
{
  GPtrArray *calls = g_ptr_array_copy (sim_store.waiting, NULL, NULL);

  sim_store.deaf_version = 0;
  sim_store.history_from = sim_store.version;
  for (guint i = 0; i < calls->len; i++)
    store_turn_away (calls->pdata[i], STORE_RESETS);
  g_ptr_array_free (calls, TRUE);
}

static struct store_connection *
store_idle_connection (const struct snipe_http_async *client)
{
  guint count = client->connections->len;
  guint first
      = count == 0 ? 0 : (guint)sim_draw (&sim.random, 0, (int64_t)count - 1);

  for (guint i = 0; i < count; i++)
    {
      struct store_connection *connection
          = client->connections->pdata[(first + i) % count];

      if (!connection->busy && !connection->closed)
        return connection;
    }
  return NULL;
}

void
snipe_http_async_call (struct snipe_http_async *client,
                       struct snipe_http_async_request *request)
{
  struct store_call *call = sim_alloc (sizeof *call);

  call->client = client;
  call->host = client->host;
  call->generation = sim.processes[client->host].generation;
  g_strlcpy (call->path, request->path, sizeof call->path);
  if (request->body.len > 0)
    {
      call->body = sim_alloc (request->body.len + 1);
      memcpy (call->body, request->body.data, request->body.len);
    }
  snipe_str_clear (&request->body);
  call->close_idle_on_timeout = request->close_idle_on_timeout;
  call->done = request->done;
  call->ctx = request->ctx;
  call->connection = store_idle_connection (client);
  if (call->connection == NULL)
    {
      if (sim_store.cuts[call->host] > 0)
        {
          sim_at (sim.now + STORE_CONNECT_TIMEOUT, call->host,
                  store_on_connect_timeout, call);
          return;
        }
      call->connection = sim_alloc (sizeof *call->connection);
      g_ptr_array_add (client->connections, call->connection);
    }
  call->connection->busy = true;
  sim_at (sim.now + STORE_DELAY, SIM_NO_HOST, store_on_request, call);
  sim_at (sim.now + request->timeout, call->host, store_on_timeout, call);
}

#endif
