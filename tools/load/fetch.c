#include "fetch.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

static const char *const metric_names[SNIPE_COUNTER_COUNT] = {
#define METRIC_NAME(id, name, type, help) "snipelb_" name,
  SNIPE_COUNTERS (METRIC_NAME)
#undef METRIC_NAME
};

static size_t
on_data (char *data, size_t size, size_t count, void *ctx)
{
  g_string_append_len (ctx, data, (gssize)(size * count));
  return size * count;
}

GString *
fetch_body (const char *url, const char *body)
{
  long status = 0;
  GString *response = g_string_new (NULL);
  CURL *easy = curl_easy_init ();
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, response);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT, 10L);
  if (body)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  CURLcode rc = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (easy);
  if (rc == CURLE_OK && status == 200)
    return response;
  g_string_free (response, TRUE);
  return NULL;
}

json_t *
fetch_json (const char *url)
{
  GString *body = fetch_body (url, NULL);
  json_t *value = body ? json_loadb (body->str, body->len, 0, NULL) : NULL;
  if (body)
    g_string_free (body, TRUE);
  return value;
}

static void
parse_metric_line (struct fetch_counters *counters, const char *line)
{
  const char *space = strchr (line, ' ');
  if (line[0] == '#' || !space)
    return;
  size_t len = (size_t)(space - line);
  for (int i = 0; i < SNIPE_COUNTER_COUNT; i++)
    if (strlen (metric_names[i]) == len
        && strncmp (metric_names[i], line, len) == 0)
      counters->values[i] = (uint64_t)strtod (space + 1, NULL);
}

int
fetch_metrics (struct fetch_counters *counters, const char *host)
{
  char *url = g_strdup_printf ("http://%s/metrics", host);
  GString *body = fetch_body (url, NULL);
  g_free (url);
  *counters = (struct fetch_counters){ 0 };
  if (!body)
    return -1;
  char **lines = g_strsplit (body->str, "\n", -1);
  for (char **line = lines; *line; line++)
    parse_metric_line (counters, *line);
  g_strfreev (lines);
  g_string_free (body, TRUE);
  return 0;
}
