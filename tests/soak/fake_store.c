#include <stdlib.h>
#include <string.h>

#include "soak/fakes.h"
#include "soak/http_server.h"

struct row
{
  char *table;
  char *key;
  char *value; /**< base64; NULL: deleted */
  uint64_t version;
};

struct fake_store
{
  struct http_server server;
  GMutex lock;
  GCond changed;
  GPtrArray *rows; /**< struct row, one per key, with its last change */
  uint64_t version;
  uint64_t compacted_version; /**< no changes up to here are kept */
  int error_status;           /**< 0: none */
  int unanswered_writes;      /**< next writes that get no answer */
  unsigned int delay_ms;
};

static struct row *
find_row (struct fake_store *store, const char *table, const char *key)
{
  for (guint i = 0; i < store->rows->len; i++)
    {
      struct row *row = g_ptr_array_index (store->rows, i);

      if (strcmp (row->table, table) == 0 && strcmp (row->key, key) == 0)
        return row;
    }
  return NULL;
}

static void
write_row (struct fake_store *store, const char *table, const char *key,
           const char *value)
{
  struct row *row = find_row (store, table, key);

  if (row == NULL)
    {
      row = g_new0 (struct row, 1);
      row->table = g_strdup (table);
      row->key = g_strdup (key);
      g_ptr_array_add (store->rows, row);
    }
  g_free (row->value);
  row->value = g_strdup (value);
  row->version = store->version;
}

static json_t *
encode_row (const struct row *row)
{
  json_t *object
      = json_pack ("{s:s, s:s, s:s, s:I}", "table", row->table, "part", "",
                   "key", row->key, "ver", (json_int_t)row->version);

  if (row->value == NULL)
    json_object_set_new (object, "deleted", json_true ());
  else
    json_object_set_new (object, "value", json_string (row->value));
  return object;
}

static gint
by_version (gconstpointer a, gconstpointer b)
{
  const struct row *one = *(struct row *const *)a;
  const struct row *two = *(struct row *const *)b;

  return one->version < two->version ? -1 : one->version > two->version;
}

/* @param all the present rows instead of the changes after @p after */
static json_t *
rows_after (struct fake_store *store, const char *table, uint64_t after,
            bool all)
{
  json_t *array = json_array ();

  g_ptr_array_sort (store->rows, by_version);
  for (guint i = 0; i < store->rows->len; i++)
    {
      const struct row *row = g_ptr_array_index (store->rows, i);

      if (strcmp (row->table, table) == 0
          && (all ? row->value != NULL : row->version > after))
        json_array_append_new (array, encode_row (row));
    }
  return array;
}

static void
answer_rows (struct fake_store *store, struct http_exchange *exchange,
             json_t *rows)
{
  json_t *object = json_pack ("{s:o, s:b, s:I, s:I}", "rows", rows, "has_more",
                              0, "ver", (json_int_t)store->version, "now_ms",
                              (json_int_t)(g_get_monotonic_time () / 1000));
  char *text = json_dumps (object, JSON_COMPACT);

  exchange->answer = g_strdup (text);
  free (text);
  json_decref (object);
}

static void
handle_feed (struct fake_store *store, struct http_exchange *exchange)
{
  const char *table = http_query_argument (exchange, "table");
  uint64_t after
      = g_ascii_strtoull (http_query_argument (exchange, "after"), NULL, 10);
  gint64 deadline
      = g_get_monotonic_time ()
        + 1000
              * g_ascii_strtoll (http_query_argument (exchange, "wait_ms"),
                                 NULL, 10);
  json_t *rows = rows_after (store, table, after, false);

  while (json_array_size (rows) == 0 && after >= store->compacted_version
         && g_cond_wait_until (&store->changed, &store->lock, deadline))
    {
      json_decref (rows);
      rows = rows_after (store, table, after, false);
    }
  if (after < store->compacted_version)
    {
      exchange->status = 410;
      json_decref (rows);
      return;
    }
  answer_rows (store, exchange, rows);
}

static void
handle_transaction (struct fake_store *store, struct http_exchange *exchange)
{
  json_t *body
      = json_loadb (exchange->body->str, exchange->body->len, 0, NULL);
  const json_t *puts;
  const json_t *removals;
  const json_t *row;

  store->version++;
  puts = json_object_get (body, "puts");
  removals = json_object_get (body, "remove");
  for (size_t i = 0; i < json_array_size (puts); i++)
    {
      row = json_array_get (puts, i);
      write_row (store, json_string_value (json_object_get (row, "table")),
                 json_string_value (json_object_get (row, "key")),
                 json_string_value (json_object_get (row, "value")));
    }
  for (size_t i = 0; i < json_array_size (removals); i++)
    {
      row = json_array_get (removals, i);
      write_row (store, json_string_value (json_object_get (row, "table")),
                 json_string_value (json_object_get (row, "key")), NULL);
    }
  json_decref (body);
  g_cond_broadcast (&store->changed);
  answer_rows (store, exchange, json_array ());
  if (store->unanswered_writes > 0)
    {
      store->unanswered_writes--;
      exchange->status = 0;
    }
}

static void
handle_exchange (void *ctx, struct http_exchange *exchange)
{
  struct fake_store *store = ctx;
  unsigned int delay_ms;

  g_mutex_lock (&store->lock);
  delay_ms = store->delay_ms;
  if (store->error_status != 0)
    exchange->status = store->error_status;
  else if (strcmp (exchange->path, "/api/rows-get") == 0)
    answer_rows (
        store, exchange,
        rows_after (store, http_query_argument (exchange, "table"), 0, true));
  else if (strcmp (exchange->path, "/api/rows-feed") == 0)
    handle_feed (store, exchange);
  else if (strcmp (exchange->path, "/api/rows-tx") == 0)
    handle_transaction (store, exchange);
  else
    exchange->status = 404;
  g_mutex_unlock (&store->lock);
  g_usleep (1000 * (1 + delay_ms));
}

struct fake_store *
fake_store_new (void)
{
  struct fake_store *store = g_new0 (struct fake_store, 1);

  g_mutex_init (&store->lock);
  g_cond_init (&store->changed);
  store->rows = g_ptr_array_new ();
  store->version = 1;
  store->server.handle = handle_exchange;
  store->server.ctx = store;
  http_server_start (&store->server);
  return store;
}

uint16_t
fake_store_port (const struct fake_store *store)
{
  return http_server_port (&store->server);
}

void
fake_store_put (struct fake_store *store, const char *table, const char *key,
                const json_t *value)
{
  char *text = value == NULL ? NULL : json_dumps (value, JSON_COMPACT);
  char *encoded = text == NULL
                      ? NULL
                      : g_base64_encode ((const guchar *)text, strlen (text));

  g_mutex_lock (&store->lock);
  store->version++;
  write_row (store, table, key, encoded);
  g_cond_broadcast (&store->changed);
  g_mutex_unlock (&store->lock);
  g_free (encoded);
  free (text);
}

void
fake_store_set_error (struct fake_store *store, int status)
{
  g_mutex_lock (&store->lock);
  store->error_status = status;
  g_mutex_unlock (&store->lock);
}

void
fake_store_drop_answers (struct fake_store *store, int count)
{
  g_mutex_lock (&store->lock);
  store->unanswered_writes = count;
  g_mutex_unlock (&store->lock);
}

void
fake_store_set_delay (struct fake_store *store, unsigned int ms)
{
  g_mutex_lock (&store->lock);
  store->delay_ms = ms;
  g_mutex_unlock (&store->lock);
}

void
fake_store_compact (struct fake_store *store)
{
  g_mutex_lock (&store->lock);
  store->compacted_version = store->version;
  g_cond_broadcast (&store->changed);
  g_mutex_unlock (&store->lock);
}
