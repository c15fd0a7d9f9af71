#include <stdlib.h>
#include <string.h>

#include "platform/internal.h"
#include "snipe/status.h"

/* Copies a row's value, as JSON text, and its version. */
static int
copy_row (struct snipe_str *value, uint64_t *version, const json_t *row)
{
  const json_t *number = json_object_get (row, "version");
  const json_t *content = json_object_get (row, "value");
  char *text;

  if (!json_is_integer (number) || content == NULL)
    return snipe_status_set (SNIPE_E_PLATFORM,
                             "row has no version or no value");
  text = json_dumps (content, JSON_COMPACT | JSON_ENCODE_ANY);
  if (text == NULL)
    return snipe_status_set (SNIPE_E_NOMEM, "out of memory for a row's value");
  snipe_str_take (value, text, strlen (text));
  *version = (uint64_t)json_integer_value (number);
  return SNIPE_OK;
}

int
snipe_platform_row_get (struct snipe_str *value, uint64_t *version,
                        struct snipe_platform *platform, const char *key)
{
  char *escaped = g_uri_escape_string (key, "/", FALSE);
  char *path = g_strconcat ("/table/row?key=", escaped, NULL);
  struct snipe_platform_http_call call = {
    .method = "GET", .path = path, .timeout = platform->options.timeout
  };
  struct snipe_platform_http *http = snipe_platform_http_acquire (platform);
  json_t *row = NULL;
  int rc;

  if (http == NULL)
    rc = snipe_status_set (SNIPE_E_NOMEM,
                           "out of memory for a platform connection");
  else
    rc = snipe_platform_status_map (
        snipe_platform_http_json (&row, http, &call));
  if (rc == SNIPE_OK && row == NULL)
    rc = snipe_status_set (SNIPE_E_NOT_FOUND, "row '%s' does not exist", key);
  if (rc == SNIPE_OK)
    rc = copy_row (value, version, row);
  json_decref (row);
  snipe_platform_http_release (platform, http);
  g_free (path);
  g_free (escaped);
  return rc;
}

int
snipe_platform_row_swap (uint64_t *version, struct snipe_platform *platform,
                         const char *key, uint64_t if_version,
                         const struct snipe_str *value)
{
  json_error_t error;
  json_t *content
      = json_loadb (snipe_str_c (value), value->len, JSON_DECODE_ANY, &error);
  struct snipe_platform_http *http = snipe_platform_http_acquire (platform);
  struct snipe_txn txn;
  json_t *conflicts = NULL;
  int rc = snipe_txn_init (&txn);

  if (rc != SNIPE_OK)
    goto cleanup;
  if (content == NULL)
    {
      rc = snipe_status_set (SNIPE_E_INVALID, "value of row '%s': %s", key,
                             error.text);
      goto cleanup;
    }
  if (http == NULL)
    {
      rc = snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for a platform connection");
      goto cleanup;
    }
  rc = snipe_txn_if (&txn, key, if_version);
  if (rc == SNIPE_OK)
    rc = snipe_txn_put (&txn, key, json_incref (content));
  if (rc == SNIPE_OK)
    rc = snipe_platform_status_map (snipe_txn_run (
        version, &conflicts, &txn, http, platform->options.timeout));
  if (rc == SNIPE_E_CONFLICT)
    {
      const json_t *now
          = json_object_get (json_array_get (conflicts, 0), "version");

      *version = (uint64_t)json_integer_value (now);
    }
cleanup:
  json_decref (conflicts);
  json_decref (content);
  snipe_txn_clear (&txn);
  snipe_platform_http_release (platform, http);
  return rc;
}
