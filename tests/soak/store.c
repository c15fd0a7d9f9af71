#include <stdlib.h>
#include <string.h>

#include "soak/standin.h"
#include "soak/web.h"

struct row
{
  char *table;
  char *key;
  char *value; /**< base64; NULL: dropped */
  uint64_t version;
};

struct store
{
  struct web web;
  GMutex lock;
  GCond changed;
  GPtrArray *rows; /**< struct row, each key once, with its last change */
  uint64_t version;
  uint64_t oldest; /**< history begins after this version */
  int refuse;
  int lose;
  unsigned int slow_ms;
};

static struct row *
find_row (struct store *store, const char *table, const char *key)
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
write_row (struct store *store, const char *table, const char *key,
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
  json_t *out
      = json_pack ("{s:s, s:s, s:s, s:I}", "table", row->table, "part", "",
                   "key", row->key, "ver", (json_int_t)row->version);

  if (row->value == NULL)
    json_object_set_new (out, "deleted", json_true ());
  else
    json_object_set_new (out, "value", json_string (row->value));
  return out;
}

static gint
by_version (gconstpointer a, gconstpointer b)
{
  const struct row *one = *(struct row *const *)a;
  const struct row *two = *(struct row *const *)b;

  return one->version < two->version ? -1 : one->version > two->version;
}

static json_t *
rows_after (struct store *store, const char *table, uint64_t after, bool all)
{
  json_t *out = json_array ();

  g_ptr_array_sort (store->rows, by_version);
  for (guint i = 0; i < store->rows->len; i++)
    {
      const struct row *row = g_ptr_array_index (store->rows, i);

      if (strcmp (row->table, table) == 0
          && (all ? row->value != NULL : row->version > after))
        json_array_append_new (out, encode_row (row));
    }
  return out;
}

static void
answer_rows (struct store *store, struct web_call *call, json_t *rows)
{
  json_t *out = json_pack ("{s:o, s:b, s:I, s:I}", "rows", rows, "has_more", 0,
                           "ver", (json_int_t)store->version, "now_ms",
                           (json_int_t)(g_get_monotonic_time () / 1000));
  char *text = json_dumps (out, JSON_COMPACT);

  call->answer = g_strdup (text);
  free (text);
  json_decref (out);
}

static void
follow (struct store *store, struct web_call *call)
{
  const char *table = web_argument (call, "table");
  uint64_t after = g_ascii_strtoull (web_argument (call, "after"), NULL, 10);
  gint64 until
      = g_get_monotonic_time ()
        + 1000 * g_ascii_strtoll (web_argument (call, "wait_ms"), NULL, 10);
  json_t *rows = rows_after (store, table, after, false);

  while (json_array_size (rows) == 0 && after >= store->oldest
         && g_cond_wait_until (&store->changed, &store->lock, until))
    {
      json_decref (rows);
      rows = rows_after (store, table, after, false);
    }
  if (after < store->oldest)
    {
      call->http = 410;
      json_decref (rows);
      return;
    }
  answer_rows (store, call, rows);
}

static void
transact (struct store *store, struct web_call *call)
{
  json_t *body = json_loadb (call->body->str, call->body->len, 0, NULL);
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
  answer_rows (store, call, json_array ());
  if (store->lose > 0)
    {
      store->lose--;
      call->http = 0;
    }
}

static void
handle (void *ctx, struct web_call *call)
{
  struct store *store = ctx;
  unsigned int slow;

  g_mutex_lock (&store->lock);
  slow = store->slow_ms;
  if (store->refuse != 0)
    call->http = store->refuse;
  else if (strcmp (call->path, "/api/rows-get") == 0)
    answer_rows (store, call,
                 rows_after (store, web_argument (call, "table"), 0, true));
  else if (strcmp (call->path, "/api/rows-feed") == 0)
    follow (store, call);
  else if (strcmp (call->path, "/api/rows-tx") == 0)
    transact (store, call);
  else
    call->http = 404;
  g_mutex_unlock (&store->lock);
  g_usleep (1000 * (1 + slow));
}

struct store *
store_new (void)
{
  struct store *store = g_new0 (struct store, 1);

  g_mutex_init (&store->lock);
  g_cond_init (&store->changed);
  store->rows = g_ptr_array_new ();
  store->version = 1;
  store->web.handle = handle;
  store->web.ctx = store;
  web_start (&store->web);
  return store;
}

uint16_t
store_port (const struct store *store)
{
  return web_port (&store->web);
}

void
store_put (struct store *store, const char *table, const char *key,
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
store_refuse (struct store *store, int http)
{
  g_mutex_lock (&store->lock);
  store->refuse = http;
  g_mutex_unlock (&store->lock);
}

void
store_lose_answers (struct store *store, int count)
{
  g_mutex_lock (&store->lock);
  store->lose = count;
  g_mutex_unlock (&store->lock);
}

void
store_slow (struct store *store, unsigned int ms)
{
  g_mutex_lock (&store->lock);
  store->slow_ms = ms;
  g_mutex_unlock (&store->lock);
}

void
store_compact (struct store *store)
{
  g_mutex_lock (&store->lock);
  store->oldest = store->version;
  g_cond_broadcast (&store->changed);
  g_mutex_unlock (&store->lock);
}
