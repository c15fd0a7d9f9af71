#include <string.h>

#include "platform/internal.h"
#include "snipe/counter.h"
#include "snipe/status.h"
#include "util/refuse.h"

/* Replies over this are refused, so that a faulty service cannot exhaust
 * the memory; a range of 10,000 rows stays well under it. */
#define REPLY_MAX (64U << 20)

/* Name of the platform on the refusal list. */
static const char refuse_name[] = "platform";

struct sink
{
  GByteArray *bytes;
  bool too_large;
};

static size_t
on_data (char *data, size_t size, size_t count, void *ctx)
{
  struct sink *sink = ctx;
  size_t len = size * count;

  if (sink->bytes->len + len > REPLY_MAX)
    {
      sink->too_large = true;
      return 0;
    }
  g_byte_array_append (sink->bytes, (const guint8 *)data, (guint)len);
  return len;
}

/* Counts what goes over the connection, headers included; the sizes that
 * curl_easy_getinfo () gives leave it open whether a short body is part of
 * the request's size. */
static int
on_trace (CURL *easy, curl_infotype type, char *data, size_t size, void *ctx)
{
  (void)easy;
  (void)data;
  (void)ctx;
  switch (type)
    {
    case CURLINFO_HEADER_IN:
    case CURLINFO_HEADER_OUT:
    case CURLINFO_DATA_IN:
    case CURLINFO_DATA_OUT:
      snipe_counter_add (SNIPE_C_STORE_BYTES, size);
      break;
    default:
      break;
    }
  return 0;
}

/* libcurl repeats a request on a fresh connection when a kept one closes
 * before the reply; a repeated conditional write would conflict with its own
 * effect, so only one request may be written for each call. */
static int
on_request (void *ctx, char *primary_ip, char *local_ip, int primary_port,
            int local_port)
{
  struct snipe_http *http = ctx;

  (void)primary_ip;
  (void)local_ip;
  (void)primary_port;
  (void)local_port;
  if (http->sent)
    return CURL_PREREQFUNC_ABORT;
  http->sent = true;
  return CURL_PREREQFUNC_OK;
}

int
snipe_platform_http_init (struct snipe_http *http, const char *url,
                          const char *host)
{
  char *header = g_strdup_printf ("X-Snipe-Host: %s", host);

  memset (http, 0, sizeof *http);
  http->url = url;
  http->easy = curl_easy_init ();
  http->headers = curl_slist_append (NULL, header);
  g_free (header);
  if (http->easy != NULL && http->headers != NULL)
    {
      /* Without it curl waits a second for "100 Continue" on long bodies. */
      struct curl_slist *more = curl_slist_append (http->headers, "Expect:");

      if (more != NULL)
        return SNIPE_OK;
    }
  snipe_platform_http_clear (http);
  return snipe_status_set (SNIPE_E_NOMEM, "no memory for a connection");
}

void
snipe_platform_http_clear (struct snipe_http *http)
{
  curl_easy_cleanup (http->easy);
  curl_slist_free_all (http->headers);
  snipe_str_clear (&http->reply);
  memset (http, 0, sizeof *http);
}

static void
set_options (struct snipe_http *http,
             const struct snipe_platform_http_call *call, const char *url,
             struct curl_slist *headers, struct sink *sink)
{
  CURL *easy = http->easy;
  long timeout_ms = (long)(call->timeout / SNIPE_MS);

  curl_easy_reset (easy);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    timeout_ms > 0 ? timeout_ms : 1L);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, sink);
  curl_easy_setopt (easy, CURLOPT_DEBUGFUNCTION, on_trace);
  curl_easy_setopt (easy, CURLOPT_VERBOSE, 1L);
  if (strcmp (call->method, "GET") != 0)
    {
      curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_request);
      curl_easy_setopt (easy, CURLOPT_PREREQDATA, http);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                        call->body == NULL ? "" : call->body);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)call->body_len);
      curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, call->method);
    }
}

/* Headers of a conditional request; NULL without memory. */
static struct curl_slist *
conditional (const struct snipe_http *http, const char *etag)
{
  char *line = g_strdup_printf ("If-None-Match: %s", etag);
  struct curl_slist *list = curl_slist_append (NULL, line);

  g_free (line);
  for (const struct curl_slist *item = http->headers;
       item != NULL && list != NULL; item = item->next)
    {
      struct curl_slist *more = curl_slist_append (list, item->data);

      if (more == NULL)
        curl_slist_free_all (list);
      list = more;
    }
  return list;
}

static void
keep_etag (struct snipe_http *http)
{
  struct curl_header *header;

  http->etag[0] = '\0';
  if (curl_easy_header (http->easy, "ETag", 0, CURLH_HEADER, -1, &header)
          == CURLHE_OK
      && strlen (header->value) < sizeof http->etag)
    g_strlcpy (http->etag, header->value, sizeof http->etag);
}

static int
perform (struct snipe_http *http, const struct snipe_platform_http_call *call,
         struct sink *sink)
{
  char *url = g_strconcat (http->url, call->path, NULL);
  struct curl_slist *extra
      = call->etag == NULL ? NULL : conditional (http, call->etag);
  CURLcode code;
  int rc = SNIPE_OK;

  /* Without memory for the condition the whole reply is read. */
  set_options (http, call, url, extra != NULL ? extra : http->headers, sink);
  code = curl_easy_perform (http->easy);
  /* The partition began while the call was under way. */
  if (snipe_refuse_match (refuse_name))
    rc = snipe_status_set (SNIPE_E_TIMEOUT, "%s %s: reply refused",
                           call->method, call->path);
  else if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
    rc = snipe_status_set (SNIPE_E_UNREACHABLE, "%s %s: %s", call->method, url,
                           curl_easy_strerror (code));
  else if (code == CURLE_ABORTED_BY_CALLBACK)
    rc = snipe_status_set (SNIPE_E_TIMEOUT,
                           "%s %s: connection closed before the reply",
                           call->method, url);
  else if (code != CURLE_OK)
    rc = snipe_status_set (SNIPE_E_TIMEOUT, "%s %s: %s", call->method, url,
                           sink->too_large ? "reply too large"
                                           : curl_easy_strerror (code));
  else
    {
      curl_easy_getinfo (http->easy, CURLINFO_RESPONSE_CODE, &http->status);
      if (http->status < 200 || http->status >= 500)
        rc = snipe_status_set (SNIPE_E_PLATFORM, "%s %s: status %ld",
                               call->method, url, http->status);
      keep_etag (http);
    }
  curl_slist_free_all (extra);
  g_free (url);
  return rc;
}

int
snipe_platform_http_call (struct snipe_http *http,
                          const struct snipe_platform_http_call *call)
{
  struct sink sink = { .bytes = NULL };
  int rc;

  http->status = 0;
  http->sent = false;
  snipe_str_clear (&http->reply);
  if (snipe_refuse_match (refuse_name))
    rc = snipe_status_set (SNIPE_E_UNREACHABLE, "%s %s: refused", call->method,
                           call->path);
  else
    {
      snipe_counter_add (strcmp (call->method, "GET") == 0
                             ? SNIPE_C_STORE_READS
                             : SNIPE_C_STORE_WRITES,
                         1);
      sink.bytes = g_byte_array_new ();
      rc = perform (http, call, &sink);
      if (rc == SNIPE_OK)
        rc = snipe_str_set (&http->reply, (const char *)sink.bytes->data,
                            sink.bytes->len);
      g_byte_array_unref (sink.bytes);
    }
  if (rc != SNIPE_OK)
    snipe_counter_add (SNIPE_C_STORE_FAILURES, 1);
  snipe_counter_set (SNIPE_C_PLATFORM_UP, rc == SNIPE_OK ? 1 : 0);
  return rc;
}

int
snipe_platform_http_json (json_t **out, struct snipe_http *http,
                          const struct snipe_platform_http_call *call)
{
  json_error_t error;
  int rc = snipe_platform_http_call (http, call);

  *out = NULL;
  if (rc != SNIPE_OK || http->status == 404
      || (http->status == 304 && call->etag != NULL))
    return rc;
  if (http->status != 200 && http->status != 409)
    return snipe_status_set (SNIPE_E_PLATFORM, "%s %s: status %ld",
                             call->method, call->path, http->status);
  *out = json_loadb (snipe_str_c (&http->reply), http->reply.len, 0, &error);
  if (*out == NULL)
    return snipe_status_set (SNIPE_E_PLATFORM, "%s %s: malformed reply: %s",
                             call->method, call->path, error.text);
  return SNIPE_OK;
}
