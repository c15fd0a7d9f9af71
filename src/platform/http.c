#include <string.h>

#include "platform/internal.h"
#include "snipe/counter.h"
#include "snipe/status.h"
#include "util/blocklist.h"

/* Larger replies are rejected, so that a faulty service cannot exhaust the
 * memory. A range of 10,000 rows stays well below this. */
#define REPLY_BYTES_MAX (64U << 20)

/* Name of the platform on the blocklist. */
static const char blocklist_name[] = "platform";

static void
count_traffic (size_t bytes)
{
  snipe_counter_add (SNIPE_C_STORE_BYTES, bytes);
}

int
snipe_platform_http_init (struct snipe_platform_http *http, const char *url,
                          const char *host)
{
  int rc;

  memset (http, 0, sizeof *http);
  rc = snipe_http_client_new (&http->client);
  if (rc != SNIPE_OK)
    return rc;
  http->url = url;
  http->host_header = g_strdup_printf ("X-Snipe-Host: %s", host);
  return SNIPE_OK;
}

void
snipe_platform_http_clear (struct snipe_platform_http *http)
{
  snipe_http_client_free (http->client);
  g_free (http->host_header);
  snipe_http_response_clear (&http->reply);
  memset (http, 0, sizeof *http);
}

static int
perform (struct snipe_platform_http *http,
         const struct snipe_platform_http_call *call)
{
  struct snipe_http_request request = SNIPE_HTTP_REQUEST_INIT;
  char *url = g_strconcat (http->url, call->path, NULL);
  char *condition = call->etag == NULL
                        ? NULL
                        : g_strdup_printf ("If-None-Match: %s", call->etag);
  const char *const headers[] = { http->host_header, condition, NULL };
  int rc;

  request.method = call->method;
  request.url = url;
  request.headers = headers;
  request.timeout_ms = MAX (call->timeout / SNIPE_MS, 1);
  request.response_max_bytes = REPLY_BYTES_MAX;
  request.count_bytes = count_traffic;
  /* Only reads are resent: a conditional write that is sent twice would
   * conflict with its own effect. */
  request.idempotent = strcmp (call->method, "GET") == 0;
  if (!request.idempotent)
    {
      request.body = call->body == NULL ? "" : call->body;
      request.body_len = call->body == NULL ? 0 : call->body_len;
    }
  rc = snipe_http_client_call (http->client, &http->reply, &request);
  /* A simulated partition that began during the call blocks its reply. */
  if (snipe_blocklist_contains (blocklist_name))
    rc = snipe_status_set (SNIPE_E_TIMEOUT,
                           "%s %s: reply blocked by the blocklist",
                           call->method, call->path);
  else if (rc == SNIPE_OK
           && (http->reply.status < 200 || http->reply.status >= 500))
    rc = snipe_status_set (SNIPE_E_PLATFORM, "%s %s: HTTP status %d",
                           call->method, url, http->reply.status);
  /* Without the complete reply the effect of the call is unknown. */
  else if (rc != SNIPE_OK && rc != SNIPE_E_UNREACHABLE)
    rc = SNIPE_E_TIMEOUT;
  g_free (condition);
  g_free (url);
  return rc;
}

int
snipe_platform_http_call (struct snipe_platform_http *http,
                          const struct snipe_platform_http_call *call)
{
  int rc;

  snipe_http_response_clear (&http->reply);
  http->reply.status = 0;
  if (snipe_blocklist_contains (blocklist_name))
    rc = snipe_status_set (SNIPE_E_UNREACHABLE,
                           "%s %s: blocked by the blocklist", call->method,
                           call->path);
  else
    {
      snipe_counter_add (strcmp (call->method, "GET") == 0
                             ? SNIPE_C_STORE_READS
                             : SNIPE_C_STORE_WRITES,
                         1);
      rc = perform (http, call);
    }
  if (rc != SNIPE_OK)
    snipe_counter_add (SNIPE_C_STORE_FAILURES, 1);
  snipe_counter_set (SNIPE_C_PLATFORM_UP, rc == SNIPE_OK ? 1 : 0);
  return rc;
}

int
snipe_platform_http_json (json_t **out, struct snipe_platform_http *http,
                          const struct snipe_platform_http_call *call)
{
  json_error_t error;
  int rc = snipe_platform_http_call (http, call);

  *out = NULL;
  if (rc != SNIPE_OK || http->reply.status == 404
      || (http->reply.status == 304 && call->etag != NULL))
    return rc;
  if (http->reply.status != 200 && http->reply.status != 409)
    return snipe_status_set (SNIPE_E_PLATFORM, "%s %s: HTTP status %d",
                             call->method, call->path, http->reply.status);
  *out = json_loadb (snipe_str_c (&http->reply.body), http->reply.body.len, 0,
                     &error);
  if (*out == NULL)
    return snipe_status_set (SNIPE_E_PLATFORM, "%s %s: malformed reply: %s",
                             call->method, call->path, error.text);
  return SNIPE_OK;
}
