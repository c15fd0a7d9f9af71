#include "ctl/table.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "snipe/status.h"
#include "util/http.h"

#define ROWS_MAX 10000

/* Calls the table. *reply is the body whatever the HTTP status, NULL if it is
 * not JSON. */
static int
call (json_t **reply, int *http_status, const struct snipe_table *table,
      const char *method, const char *path, const char *body)
{
  static const char *const headers[] = { "X-Snipe-Host: snipectl", NULL };
  struct snipe_http_request request = SNIPE_HTTP_REQUEST_INIT;
  struct snipe_http_response response = { 0 };
  char *url = g_strconcat (table->url, path, NULL);
  int status;

  request.method = method;
  request.url = url;
  request.headers = headers;
  request.timeout_ms = table->timeout_ms;
  request.body = body;
  request.body_len = body == NULL ? 0 : strlen (body);
  status = snipe_http_call (&response, &request);
  if (status == SNIPE_OK)
    {
      *http_status = response.status;
      *reply = json_loadb (snipe_str_c (&response.body), response.body.len, 0,
                           NULL);
    }
  snipe_http_response_clear (&response);
  g_free (url);
  return status;
}

static int
set_unexpected_reply (const struct snipe_table *table, int http_status)
{
  return snipe_status_set (SNIPE_E_PLATFORM,
                           "unexpected reply from platform %s: HTTP %d",
                           table->url, http_status);
}

int
snipe_table_get (json_t **value, uint64_t *version,
                 const struct snipe_table *table, const char *key)
{
  char *escaped = g_uri_escape_string (key, NULL, FALSE);
  char *path = g_strconcat ("/table/row?key=", escaped, NULL);
  json_t *reply = NULL;
  json_int_t found = 0;
  int http_status = 0;
  int status = call (&reply, &http_status, table, "GET", path, NULL);

  if (status != SNIPE_OK)
    goto cleanup;
  if (http_status == 404)
    {
      status = snipe_status_set (SNIPE_E_NOT_FOUND, "no row \"%s\"", key);
      goto cleanup;
    }
  if (http_status != 200
      || json_unpack (reply, "{s:I, s:O}", "version", &found, "value", value)
             != 0)
    {
      status = set_unexpected_reply (table, http_status);
      goto cleanup;
    }
  *version = (uint64_t)found;

cleanup:
  json_decref (reply);
  g_free (path);
  g_free (escaped);
  return status;
}

int
snipe_table_range (json_t **rows, const struct snipe_table *table,
                   const char *prefix)
{
  char *escaped = g_uri_escape_string (prefix, NULL, FALSE);
  char *path = g_strdup_printf ("/table/range?prefix=%s&since=0&limit=%d",
                                escaped, ROWS_MAX);
  json_t *reply = NULL;
  int http_status = 0;
  int status = call (&reply, &http_status, table, "GET", path, NULL);

  if (status == SNIPE_OK
      && (http_status != 200
          || json_unpack (reply, "{s:O}", "rows", rows) != 0))
    status = set_unexpected_reply (table, http_status);
  else if (status == SNIPE_OK && json_array_size (*rows) >= ROWS_MAX)
    {
      json_decref (*rows);
      *rows = NULL;
      status = snipe_status_set (SNIPE_E_TOO_LARGE,
                                 "the table has %d rows with the prefix "
                                 "\"%s\" or more, which cannot be read at "
                                 "once",
                                 ROWS_MAX, prefix);
    }
  json_decref (reply);
  g_free (path);
  g_free (escaped);
  return status;
}

int
snipe_table_compare_and_swap (uint64_t *version,
                              const struct snipe_table *table, const char *key,
                              uint64_t if_version, json_t *value)
{
  json_t *txn = json_pack ("{s:[{s:s, s:I}], s:[{s:s, s:O}]}", "if", "key",
                           key, "version", (json_int_t)if_version, "put",
                           "key", key, "value", value);
  char *body = txn == NULL ? NULL : json_dumps (txn, JSON_COMPACT);
  json_t *reply = NULL;
  json_int_t found = 0;
  int http_status = 0;
  int status;

  if (body == NULL)
    {
      status = snipe_status_set (SNIPE_E_NOMEM, "out of memory for row \"%s\"",
                                 key);
      goto cleanup;
    }
  status = call (&reply, &http_status, table, "POST", "/table/txn", body);
  if (status != SNIPE_OK)
    goto cleanup;
  if (http_status == 409)
    status = snipe_status_set (SNIPE_E_CONFLICT,
                               "row \"%s\" has another version", key);
  else if (http_status != 200
           || json_unpack (reply, "{s:I}", "version", &found) != 0)
    status = set_unexpected_reply (table, http_status);
  *version = (uint64_t)found;

cleanup:
  json_decref (reply);
  json_decref (txn);
  free (body);
  return status;
}
