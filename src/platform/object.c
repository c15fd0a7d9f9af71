#include <string.h>

#include "platform/internal.h"
#include "snipe/status.h"

static char *
object_path (const char *name)
{
  char *escaped = g_uri_escape_string (name, "/", FALSE);
  char *path = g_strconcat ("/objects/", escaped, NULL);

  g_free (escaped);
  return path;
}

/* Makes the call on an idle or new connection, which the caller releases. */
static int
call_object (struct snipe_platform_http **http,
             struct snipe_platform *platform,
             struct snipe_platform_http_call *call)
{
  *http = snipe_platform_http_acquire (platform);
  if (*http == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for a platform connection");
  call->timeout = platform->options.timeout;
  return snipe_platform_status_map (snipe_platform_http_call (*http, call));
}

static int
check_status (const struct snipe_platform_http *http, const char *name)
{
  if (http->reply.status == 404)
    return snipe_status_set (SNIPE_E_NOT_FOUND, "object '%s' does not exist",
                             name);
  if (http->reply.status >= 300)
    return snipe_status_set (SNIPE_E_PLATFORM, "object '%s': HTTP status %d",
                             name, http->reply.status);
  return SNIPE_OK;
}

int
snipe_platform_object_put (struct snipe_platform *platform, const char *name,
                           const struct snipe_str *data)
{
  char *path = object_path (name);
  struct snipe_platform_http_call call = { .method = "PUT",
                                           .path = path,
                                           .body = snipe_str_c (data),
                                           .body_len = data->len };
  struct snipe_platform_http *http;
  int rc = call_object (&http, platform, &call);

  if (rc == SNIPE_OK)
    rc = check_status (http, name);
  snipe_platform_http_release (platform, http);
  g_free (path);
  return rc;
}

int
snipe_platform_object_get (struct snipe_str *out,
                           struct snipe_platform *platform, const char *name)
{
  char *path = object_path (name);
  struct snipe_platform_http_call call = { .method = "GET", .path = path };
  struct snipe_platform_http *http;
  int rc = call_object (&http, platform, &call);

  if (rc == SNIPE_OK)
    rc = check_status (http, name);
  if (rc == SNIPE_OK)
    {
      snipe_str_take (out, http->reply.body.data, http->reply.body.len);
      http->reply.body = (struct snipe_str)SNIPE_STR_INIT;
    }
  snipe_platform_http_release (platform, http);
  g_free (path);
  return rc;
}

static int
parse_names (char ***out, const json_t *reply)
{
  const json_t *names = json_object_get (reply, "names");
  GPtrArray *list;
  size_t i;
  json_t *name;

  if (!json_is_array (names))
    return snipe_status_set (SNIPE_E_PLATFORM,
                             "reply to an object listing has no names");
  list = g_ptr_array_new ();
  json_array_foreach (names, i, name)
  {
    if (json_is_string (name))
      g_ptr_array_add (list, g_strdup (json_string_value (name)));
  }
  g_ptr_array_add (list, NULL);
  *out = (char **)g_ptr_array_free (list, FALSE);
  return SNIPE_OK;
}

int
snipe_platform_object_list (char ***out, struct snipe_platform *platform,
                            const char *prefix)
{
  char *escaped = g_uri_escape_string (prefix, "/", FALSE);
  char *path = g_strconcat ("/objects?prefix=", escaped, NULL);
  struct snipe_platform_http_call call = {
    .method = "GET", .path = path, .timeout = platform->options.timeout
  };
  struct snipe_platform_http *http = snipe_platform_http_acquire (platform);
  json_t *reply = NULL;
  int rc;

  *out = NULL;
  if (http == NULL)
    rc = snipe_status_set (SNIPE_E_NOMEM,
                           "out of memory for a platform connection");
  else
    rc = snipe_platform_status_map (
        snipe_platform_http_json (&reply, http, &call));
  if (rc == SNIPE_OK)
    rc = parse_names (out, reply);
  json_decref (reply);
  snipe_platform_http_release (platform, http);
  g_free (path);
  g_free (escaped);
  return rc;
}
