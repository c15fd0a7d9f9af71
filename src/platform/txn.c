#include <stdlib.h>
#include <string.h>

#include "platform/internal.h"
#include "snipe/status.h"

static int
append (json_t *array, json_t *item)
{
  if (item == NULL || json_array_append_new (array, item) != 0)
    return snipe_status_set (SNIPE_E_NOMEM, "out of memory for a transaction");
  return SNIPE_OK;
}

int
snipe_txn_init (struct snipe_txn *txn)
{
  txn->conditions = json_array ();
  txn->puts = json_array ();
  txn->deletes = json_array ();
  if (txn->conditions != NULL && txn->puts != NULL && txn->deletes != NULL)
    return SNIPE_OK;
  snipe_txn_clear (txn);
  return snipe_status_set (SNIPE_E_NOMEM, "out of memory for a transaction");
}

void
snipe_txn_clear (struct snipe_txn *txn)
{
  json_decref (txn->conditions);
  json_decref (txn->puts);
  json_decref (txn->deletes);
  memset (txn, 0, sizeof *txn);
}

int
snipe_txn_if (struct snipe_txn *txn, const char *key, uint64_t version)
{
  return append (txn->conditions, json_pack ("{s:s, s:I}", "key", key,
                                             "version", (json_int_t)version));
}

int
snipe_txn_put (struct snipe_txn *txn, const char *key, json_t *value)
{
  if (value == NULL)
    return snipe_status_set (SNIPE_E_NOMEM, "out of memory for a row's value");
  return append (txn->puts,
                 json_pack ("{s:s, s:o}", "key", key, "value", value));
}

int
snipe_txn_delete (struct snipe_txn *txn, const char *key)
{
  return append (txn->deletes, json_string (key));
}

int
snipe_txn_run (uint64_t *version, json_t **conflicts,
               const struct snipe_txn *txn, struct snipe_platform_http *http,
               snipe_time timeout)
{
  struct snipe_platform_http_call call
      = { .method = "POST", .path = "/table/txn", .timeout = timeout };
  json_t *request = json_pack ("{s:O, s:O, s:O}", "if", txn->conditions, "put",
                               txn->puts, "delete", txn->deletes);
  char *body = request == NULL ? NULL : json_dumps (request, JSON_COMPACT);
  json_t *reply = NULL;
  json_t *number;
  int rc;

  json_decref (request);
  if (body == NULL)
    return snipe_status_set (SNIPE_E_NOMEM, "out of memory for a transaction");
  call.body = body;
  call.body_len = strlen (body);
  rc = snipe_platform_http_json (&reply, http, &call);
  if (rc != SNIPE_OK)
    goto cleanup;
  if (http->reply.status == 409)
    {
      json_t *list = json_object_get (reply, "conflicts");

      rc = snipe_status_set (SNIPE_E_CONFLICT,
                             "a condition of the transaction does not hold");
      if (conflicts != NULL)
        *conflicts = json_is_array (list) ? json_incref (list) : json_array ();
      goto cleanup;
    }
  number = json_object_get (reply, "version");
  if (!json_is_integer (number))
    rc = snipe_status_set (SNIPE_E_PLATFORM,
                           "reply to a transaction has no version");
  else if (version != NULL)
    *version = (uint64_t)json_integer_value (number);
cleanup:
  json_decref (reply);
  free (body);
  return rc;
}

int
snipe_range_read (json_t **out, uint64_t *version,
                  struct snipe_platform_http *http,
                  const struct snipe_range *range, snipe_time timeout)
{
  struct snipe_platform_http_call call
      = { .method = "GET", .timeout = timeout };
  GString *path = g_string_new ("/table/range?prefix=");
  json_t *reply = NULL;
  const json_t *number;
  json_t *rows;
  int rc;

  *out = NULL;
  g_string_append (path, range->prefix);
  if (range->since > 0)
    g_string_append_printf (path, "&since=%" G_GUINT64_FORMAT,
                            (guint64)range->since);
  if (range->limit > 0)
    g_string_append_printf (path, "&limit=%u", range->limit);
  call.path = path->str;
  rc = snipe_platform_http_json (&reply, http, &call);
  g_string_free (path, TRUE);
  if (rc != SNIPE_OK)
    return rc;
  rows = json_object_get (reply, "rows");
  number = json_object_get (reply, "version");
  if (http->reply.status != 200 || !json_is_array (rows)
      || (version != NULL && !json_is_integer (number)))
    rc = snipe_status_set (SNIPE_E_PLATFORM,
                           "range %s: reply has no rows or no version",
                           range->prefix);
  else
    {
      *out = json_incref (rows);
      if (version != NULL)
        *version = (uint64_t)json_integer_value (number);
    }
  json_decref (reply);
  return rc;
}

int
snipe_range_read_changes (json_t **out, uint64_t *since,
                          struct snipe_platform_http *http, const char *prefix,
                          snipe_time timeout)
{
  const struct snipe_range range = { .prefix = prefix, .since = *since };
  int rc = snipe_range_read (out, since, http, &range, timeout);

  if (rc == SNIPE_OK && *since < range.since)
    {
      json_decref (*out);
      *out = NULL;
      rc = snipe_status_set (SNIPE_E_PLATFORM,
                             "range %s: table version decreased", prefix);
    }
  if (rc != SNIPE_OK)
    *since = 0;
  return rc;
}
