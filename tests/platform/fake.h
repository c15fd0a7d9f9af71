/**
 * @file fake.h
 * A fake platform in the test process: table, objects and list of hosts,
 * served with libmicrohttpd. Tests inject faults into selected requests.
 * Included by the test programs of this folder.
 */
#ifndef TESTS_PLATFORM_FAKE_H
#define TESTS_PLATFORM_FAKE_H

#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

enum fake_fault_kind
{
  FAKE_NO_FAULT,
  FAKE_UNAVAILABLE, /**< no effect, status 503 */
  FAKE_LOSE_REPLY,  /**< takes effect, connection closed without reply */
  FAKE_STALL,       /**< no effect, no reply before fake_release () */
  FAKE_STALL_LATE,  /**< takes effect only at fake_release (), no reply */
  FAKE_MALFORMED,   /**< takes effect, reply is not valid JSON */
  FAKE_PARTITION,   /**< takes effect, then calls on_partition */
};

struct fake_row
{
  uint64_t version;
  json_t *value;
};

struct fake
{
  struct MHD_Daemon *daemon;
  char url[64];
  pthread_mutex_t lock;
  pthread_cond_t released_cond;
  uint64_t version;
  GTree *rows;         /**< key -> struct fake_row */
  GHashTable *objects; /**< name -> GBytes */
  json_t *hosts;
  char hosts_etag[24];
  uint64_t release_count; /**< calls of fake_release () */
  uint64_t request_count;
  uint64_t claim_txns;
  uint64_t claim_batch_max;     /**< most ids in one transaction */
  GHashTable *claims_in_flight; /**< hosts with one in flight */
  bool claims_overlapped;       /**< two of one host were in flight at once */
  uint64_t rows_sent;           /**< in replies to range reads */
  uint64_t host_lists_sent;     /**< replies with the list of hosts */
  uint64_t hosts_not_modified;  /**< replies with status 304 */
  uint64_t fault_count;         /**< requests that got a fault */
  /** Applied to the next @c fault_remaining requests whose path, prefix or
   * body contains @c fault_match. */
  enum fake_fault_kind fault;
  const char *fault_match;
  int fault_remaining;
  /** Called before each put takes effect, with the lock held. @p old is NULL
   * if there is no row. */
  void (*on_put) (void *ctx, const char *key, const json_t *old,
                  const json_t *value);
  void (*on_partition) (void *ctx);
  void *ctx;
};

/** Body of one request, accumulated as it arrives. */
struct fake_request
{
  GString *body;
};

static inline void
fake_row_free (gpointer item)
{
  struct fake_row *row = item;

  json_decref (row->value);
  g_free (row);
}

static inline gint
fake_key_compare (gconstpointer a, gconstpointer b, gpointer ctx)
{
  (void)ctx;
  return strcmp (a, b);
}

/** Writes a row; lock held. */
static inline void
fake_put_locked (struct fake *fake, const char *key, json_t *value)
{
  struct fake_row *row = g_new0 (struct fake_row, 1);

  row->version = fake->version;
  row->value = value;
  g_tree_replace (fake->rows, g_strdup (key), row);
}

static inline uint64_t
fake_put (struct fake *fake, const char *key, json_t *value)
{
  uint64_t version;

  pthread_mutex_lock (&fake->lock);
  version = ++fake->version;
  fake_put_locked (fake, key, value);
  pthread_mutex_unlock (&fake->lock);
  return version;
}

static inline void
fake_delete (struct fake *fake, const char *key)
{
  pthread_mutex_lock (&fake->lock);
  fake->version++;
  g_tree_remove (fake->rows, key);
  pthread_mutex_unlock (&fake->lock);
}

/** @return a copy of a row's value, NULL if absent. */
static inline json_t *
fake_get (struct fake *fake, const char *key)
{
  const struct fake_row *row;
  json_t *value = NULL;

  pthread_mutex_lock (&fake->lock);
  row = g_tree_lookup (fake->rows, key);
  if (row != NULL)
    value = json_deep_copy (row->value);
  pthread_mutex_unlock (&fake->lock);
  return value;
}

static inline bool
fake_has (struct fake *fake, const char *key)
{
  json_t *value = fake_get (fake, key);

  json_decref (value);
  return value != NULL;
}

static inline void
fake_set_hosts (struct fake *fake, json_t *hosts)
{
  pthread_mutex_lock (&fake->lock);
  json_decref (fake->hosts);
  fake->hosts = hosts;
  g_snprintf (fake->hosts_etag, sizeof fake->hosts_etag,
              "\"%" G_GUINT64_FORMAT "\"", (guint64)++fake->version);
  pthread_mutex_unlock (&fake->lock);
}

static inline void
fake_fault (struct fake *fake, enum fake_fault_kind fault, const char *match,
            int times)
{
  pthread_mutex_lock (&fake->lock);
  fake->fault = fault;
  fake->fault_match = match;
  fake->fault_remaining = times;
  pthread_mutex_unlock (&fake->lock);
}

static inline void
fake_release (struct fake *fake)
{
  pthread_mutex_lock (&fake->lock);
  fake->release_count++;
  pthread_cond_broadcast (&fake->released_cond);
  pthread_mutex_unlock (&fake->lock);
}

static inline uint64_t
fake_read_counter (struct fake *fake, const uint64_t *counter)
{
  uint64_t value;

  pthread_mutex_lock (&fake->lock);
  value = *counter;
  pthread_mutex_unlock (&fake->lock);
  return value;
}

static inline json_t *
fake_row_json (const char *key, const struct fake_row *row)
{
  return json_pack ("{s:s, s:I, s:O}", "key", key, "version",
                    (json_int_t)row->version, "value", row->value);
}

static inline json_t *
fake_conflicts (struct fake *fake, const json_t *conditions)
{
  json_t *conflicts = json_array ();
  size_t i;
  json_t *item;

  json_array_foreach (conditions, i, item)
  {
    const char *key = json_string_value (json_object_get (item, "key"));
    uint64_t version
        = (uint64_t)json_integer_value (json_object_get (item, "version"));
    const struct fake_row *row = g_tree_lookup (fake->rows, key);

    if (row == NULL && version != 0)
      json_array_append_new (
          conflicts,
          json_pack ("{s:s, s:i, s:n}", "key", key, "version", 0, "value"));
    else if (row != NULL && row->version != version)
      json_array_append_new (conflicts, fake_row_json (key, row));
  }
  return conflicts;
}

/* Applies a transaction; lock held. */
static inline unsigned int
fake_txn (struct fake *fake, const json_t *request, json_t **reply)
{
  json_t *conflicts = fake_conflicts (fake, json_object_get (request, "if"));
  size_t i;
  json_t *item;

  if (json_array_size (conflicts) > 0)
    {
      *reply = json_pack ("{s:o}", "conflicts", conflicts);
      return 409;
    }
  json_decref (conflicts);
  fake->version++;
  json_array_foreach (json_object_get (request, "put"), i, item)
  {
    const char *key = json_string_value (json_object_get (item, "key"));
    const struct fake_row *old = g_tree_lookup (fake->rows, key);

    if (fake->on_put != NULL)
      fake->on_put (fake->ctx, key, old == NULL ? NULL : old->value,
                    json_object_get (item, "value"));
    fake_put_locked (fake, key, json_incref (json_object_get (item, "value")));
  }
  json_array_foreach (json_object_get (request, "delete"), i, item)
  {
    g_tree_remove (fake->rows, json_string_value (item));
  }
  *reply = json_pack ("{s:I}", "version", (json_int_t)fake->version);
  return 200;
}

/** Collects the rows of a range. */
struct fake_range
{
  const char *prefix;
  uint64_t limit;
  uint64_t since;
  json_t *rows;
};

static inline gboolean
fake_range_visit (gpointer key, gpointer value, gpointer ctx)
{
  struct fake_range *range = ctx;
  const struct fake_row *row = value;

  if (row->version > range->since && g_str_has_prefix (key, range->prefix)
      && (range->limit == 0 || json_array_size (range->rows) < range->limit))
    json_array_append_new (range->rows, fake_row_json (key, value));
  return FALSE;
}

static inline const char *
fake_argument (struct MHD_Connection *connection, const char *name)
{
  const char *value
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);

  return value == NULL ? "" : value;
}

static inline void
fake_object_names (struct fake *fake, const char *prefix, json_t *names)
{
  GList *keys = g_hash_table_get_keys (fake->objects);

  keys = g_list_sort (keys, (GCompareFunc)strcmp);
  for (GList *link = keys; link != NULL; link = link->next)
    if (g_str_has_prefix (link->data, prefix))
      json_array_append_new (names, json_string (link->data));
  g_list_free (keys);
}

static inline unsigned int
fake_object (struct fake *fake, const char *method, const char *name,
             const GString *body, GBytes **data)
{
  GBytes *object;

  if (strcmp (method, "PUT") == 0)
    {
      g_hash_table_replace (fake->objects, g_strdup (name),
                            g_bytes_new (body->str, body->len));
      return 200;
    }
  object = g_hash_table_lookup (fake->objects, name);
  if (object == NULL)
    return 404;
  *data = g_bytes_ref (object);
  return 200;
}

/* Serves a request; lock held. Sets @p reply for JSON or @p data for bytes. */
static inline unsigned int
fake_serve (struct fake *fake, struct MHD_Connection *connection,
            const char *method, const char *path, const GString *body,
            json_t **reply, GBytes **data)
{
  if (strcmp (path, "/table/txn") == 0)
    {
      json_t *request = json_loadb (body->str, body->len, 0, NULL);
      unsigned int status
          = request == NULL ? 400 : fake_txn (fake, request, reply);

      json_decref (request);
      return status;
    }
  if (strcmp (path, "/table/row") == 0)
    {
      const char *key = fake_argument (connection, "key");
      const struct fake_row *row = g_tree_lookup (fake->rows, key);

      if (row == NULL)
        return 404;
      *reply = fake_row_json (key, row);
      return 200;
    }
  if (strcmp (path, "/table/range") == 0)
    {
      struct fake_range range
          = { .prefix = fake_argument (connection, "prefix"),
              .limit = g_ascii_strtoull (fake_argument (connection, "limit"),
                                         NULL, 10),
              .since = g_ascii_strtoull (fake_argument (connection, "since"),
                                         NULL, 10),
              .rows = json_array () };

      g_tree_foreach (fake->rows, fake_range_visit, &range);
      fake->rows_sent += json_array_size (range.rows);
      *reply = json_pack ("{s:o, s:I}", "rows", range.rows, "version",
                          (json_int_t)fake->version);
      return 200;
    }
  if (strcmp (path, "/hosts") == 0)
    {
      const char *known = MHD_lookup_connection_value (
          connection, MHD_HEADER_KIND, "If-None-Match");

      if (known != NULL && strcmp (known, fake->hosts_etag) == 0)
        {
          fake->hosts_not_modified++;
          return 304;
        }
      fake->host_lists_sent++;
      *reply = json_pack ("{s:O}", "hosts", fake->hosts);
      return 200;
    }
  if (strcmp (path, "/objects") == 0)
    {
      json_t *names = json_array ();

      fake_object_names (fake, fake_argument (connection, "prefix"), names);
      *reply = json_pack ("{s:o}", "names", names);
      return 200;
    }
  if (g_str_has_prefix (path, "/objects/"))
    return fake_object (fake, method, path + strlen ("/objects/"), body, data);
  return 404;
}

static inline enum fake_fault_kind
fake_next_fault (struct fake *fake, const char *path, const char *query,
                 const GString *body)
{
  if (fake->fault == FAKE_NO_FAULT || fake->fault_remaining == 0)
    return FAKE_NO_FAULT;
  if (strstr (path, fake->fault_match) == NULL
      && strstr (query, fake->fault_match) == NULL
      && strstr (body->str, fake->fault_match) == NULL)
    return FAKE_NO_FAULT;
  fake->fault_remaining--;
  fake->fault_count++;
  return fake->fault;
}

static inline enum MHD_Result
fake_send (struct MHD_Connection *connection, unsigned int status,
           const char *text, size_t len, const char *etag)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      len, (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  if (etag[0] != '\0')
    MHD_add_response_header (response, MHD_HTTP_HEADER_ETAG, etag);
  result = MHD_queue_response (connection, status, response);

  MHD_destroy_response (response);
  return result;
}

/* Counts claim transactions and detects whether a host has two in flight; lock
 * held. */
static inline bool
fake_count_claims (struct fake *fake, const char *host, const GString *body)
{
  uint64_t ids = 0;
  const char *at = body->str;

  if (strstr (body->str, "\"claim/") == NULL
      || strstr (body->str, "\"delete\":[]") == NULL)
    return false;
  while ((at = strstr (at, "\"key\":\"claim/")) != NULL)
    {
      ids++;
      at++;
    }
  fake->claim_txns++;
  fake->claim_batch_max = MAX (fake->claim_batch_max, ids / 2);
  fake->claims_overlapped
      = fake->claims_overlapped
        || g_hash_table_contains (fake->claims_in_flight, host);
  g_hash_table_add (fake->claims_in_flight, g_strdup (host));
  return true;
}

static inline enum MHD_Result
fake_handle (void *ctx, struct MHD_Connection *connection, const char *path,
             const char *method, const char *version, const char *upload,
             size_t *upload_len, void **state)
{
  struct fake *fake = ctx;
  struct fake_request *request = *state;
  const char *host = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                  "X-Snipe-Host");
  enum MHD_Result result = MHD_NO;
  enum fake_fault_kind fault;
  unsigned int status = 503;
  json_t *reply = NULL;
  GBytes *data = NULL;
  char *text = NULL;
  char etag[24] = "";
  uint64_t released;

  (void)version;
  if (request == NULL)
    {
      request = g_new0 (struct fake_request, 1);
      request->body = g_string_new (NULL);
      *state = request;
      return MHD_YES;
    }
  if (*upload_len > 0)
    {
      g_string_append_len (request->body, upload, (gssize)*upload_len);
      *upload_len = 0;
      return MHD_YES;
    }
  if (host == NULL)
    return fake_send (connection, 400, "", 0, "");

  pthread_mutex_lock (&fake->lock);
  fake->request_count++;
  fault = fake_next_fault (fake, path, fake_argument (connection, "prefix"),
                           request->body);
  fake_count_claims (fake, host, request->body);
  released = fake->release_count;
  while ((fault == FAKE_STALL || fault == FAKE_STALL_LATE)
         && released == fake->release_count)
    {
      /* The client times out, so it has no transaction in flight any more. */
      g_hash_table_remove (fake->claims_in_flight, host);
      pthread_cond_wait (&fake->released_cond, &fake->lock);
    }
  if (fault != FAKE_UNAVAILABLE && fault != FAKE_STALL)
    status = fake_serve (fake, connection, method, path, request->body, &reply,
                         &data);
  if (fault == FAKE_PARTITION && fake->on_partition != NULL)
    fake->on_partition (fake->ctx);
  g_hash_table_remove (fake->claims_in_flight, host);
  if (strcmp (path, "/hosts") == 0)
    g_strlcpy (etag, fake->hosts_etag, sizeof etag);
  /* Formatted under the lock, as the reply shares values with the table. */
  if (fault == FAKE_MALFORMED)
    text = g_strdup ("{\"version\":");
  else if (reply != NULL)
    text = json_dumps (reply, JSON_COMPACT);
  json_decref (reply);
  pthread_mutex_unlock (&fake->lock);

  if (fault != FAKE_LOSE_REPLY && fault != FAKE_STALL
      && fault != FAKE_STALL_LATE)
    {
      if (data != NULL)
        result = fake_send (connection, status, g_bytes_get_data (data, NULL),
                            g_bytes_get_size (data), "");
      else
        result = fake_send (connection, status, text == NULL ? "" : text,
                            text == NULL ? 0 : strlen (text), etag);
    }
  if (data != NULL)
    g_bytes_unref (data);
  free (text);
  return result;
}

static inline void
fake_request_completed (void *ctx, struct MHD_Connection *connection,
                        void **state, enum MHD_RequestTerminationCode code)
{
  struct fake_request *request = *state;

  (void)ctx;
  (void)connection;
  (void)code;
  if (request == NULL)
    return;
  g_string_free (request->body, TRUE);
  g_free (request);
}

/** Listens on a free port of 127.0.0.1. @return whether that succeeded. */
static inline bool
fake_start (struct fake *fake)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_addr = { .s_addr = htonl (INADDR_LOOPBACK) } };
  const union MHD_DaemonInfo *info;

  memset (fake, 0, sizeof *fake);
  pthread_mutex_init (&fake->lock, NULL);
  pthread_cond_init (&fake->released_cond, NULL);
  fake->rows = g_tree_new_full (fake_key_compare, NULL, g_free, fake_row_free);
  fake->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)g_bytes_unref);
  fake->claims_in_flight
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fake->hosts = json_array ();
  fake->fault_match = "";
  fake->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
      NULL, fake_handle, fake, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, fake_request_completed, NULL,
      MHD_OPTION_END);
  if (fake->daemon == NULL)
    return false;
  info = MHD_get_daemon_info (fake->daemon, MHD_DAEMON_INFO_BIND_PORT);
  g_snprintf (fake->url, sizeof fake->url, "http://127.0.0.1:%u",
              (unsigned int)info->port);
  return true;
}

static inline void
fake_stop (struct fake *fake)
{
  fake_fault (fake, FAKE_NO_FAULT, "", 0);
  fake_release (fake);
  MHD_stop_daemon (fake->daemon);
  g_tree_unref (fake->rows);
  g_hash_table_unref (fake->objects);
  g_hash_table_unref (fake->claims_in_flight);
  json_decref (fake->hosts);
  pthread_cond_destroy (&fake->released_cond);
  pthread_mutex_destroy (&fake->lock);
}

#endif
