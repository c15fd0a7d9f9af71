#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

struct row
{
  uint64_t version;
  json_t *value;
};

struct table
{
  GTree *rows;
  uint64_t version;
};

static gint
compare (gconstpointer a, gconstpointer b, gpointer ctx)
{
  (void)ctx;
  return strcmp (a, b);
}

static void
row_free (gpointer data)
{
  struct row *row = data;
  json_decref (row->value);
  g_free (row);
}

struct table *
table_new (void)
{
  struct table *table = g_new0 (struct table, 1);
  table->rows = g_tree_new_full (compare, NULL, g_free, row_free);
  return table;
}

void
table_free (struct table *table)
{
  if (!table)
    return;
  g_tree_unref (table->rows);
  g_free (table);
}

static json_t *
row_json (const char *key, const struct row *row)
{
  return json_pack ("{s:s,s:I,s:O}", "key", key, "version",
                    (json_int_t)row->version, "value", row->value);
}

/* Checks the whole transaction before the first change, so that a malformed
 * one has no effect. */
static bool
well_formed (json_t *txn)
{
  json_t *item;
  size_t i;
  const char *key;
  json_int_t version;
  json_t *value;
  if (!json_is_object (txn))
    return false;
  json_array_foreach (json_object_get (txn, "if"), i, item)
  {
    if (json_unpack (item, "{s:s,s:I}", "key", &key, "version", &version) != 0
        || version < 0)
      return false;
  }
  json_array_foreach (json_object_get (txn, "put"), i, item)
  {
    if (json_unpack (item, "{s:s,s:o}", "key", &key, "value", &value) != 0)
      return false;
  }
  json_array_foreach (json_object_get (txn, "delete"), i, item)
  {
    if (!json_is_string (item))
      return false;
  }
  return true;
}

static json_t *
find_conflicts (const struct table *table, json_t *conditions)
{
  json_t *found = json_array ();
  json_t *item;
  size_t i;
  json_array_foreach (conditions, i, item)
  {
    const char *key = json_string_value (json_object_get (item, "key"));
    json_int_t want = json_integer_value (json_object_get (item, "version"));
    const struct row *row = g_tree_lookup (table->rows, key);
    if ((row ? row->version : 0) == (uint64_t)want)
      continue;
    json_array_append_new (found, row ? row_json (key, row)
                                      : json_pack ("{s:s,s:i,s:n}", "key", key,
                                                   "version", 0, "value"));
  }
  return found;
}

unsigned int
table_txn (struct table *table, json_t *txn, json_t **reply)
{
  json_t *item;
  size_t i;
  if (!well_formed (txn))
    {
      *reply = json_pack ("{s:s}", "error", "malformed transaction");
      return 400;
    }
  json_t *conflicts = find_conflicts (table, json_object_get (txn, "if"));
  if (json_array_size (conflicts) > 0)
    {
      *reply = json_pack ("{s:o}", "conflicts", conflicts);
      return 409;
    }
  json_decref (conflicts);
  table->version++;
  json_array_foreach (json_object_get (txn, "put"), i, item)
  {
    struct row *row = g_new0 (struct row, 1);
    row->version = table->version;
    row->value = json_incref (json_object_get (item, "value"));
    g_tree_replace (
        table->rows,
        g_strdup (json_string_value (json_object_get (item, "key"))), row);
  }
  json_array_foreach (json_object_get (txn, "delete"), i, item)
  {
    g_tree_remove (table->rows, json_string_value (item));
  }
  *reply = json_pack ("{s:I}", "version", (json_int_t)table->version);
  return 200;
}

json_t *
table_row (const struct table *table, const char *key)
{
  const struct row *row = g_tree_lookup (table->rows, key);
  return row ? row_json (key, row) : NULL;
}

json_t *
table_range (const struct table *table, const char *prefix, uint64_t since,
             uint64_t limit)
{
  json_t *rows = json_array ();
  json_t *reply = json_pack ("{s:o,s:I}", "rows", rows, "version",
                             (json_int_t)table->version);
  GTreeNode *node = g_tree_lower_bound (table->rows, prefix);
  for (; node; node = g_tree_node_next (node))
    {
      const char *key = g_tree_node_key (node);
      const struct row *row = g_tree_node_value (node);
      if (!g_str_has_prefix (key, prefix))
        break;
      if (row->version <= since)
        continue;
      if (limit > 0 && json_array_size (rows) >= limit)
        {
          json_object_set_new (reply, "more", json_true ());
          break;
        }
      json_array_append_new (rows, row_json (key, row));
    }
  return reply;
}
