#include "util/http.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "snipe/status.h"

struct snipe_http_client
{
  CURL *easy;
};

struct call
{
  CURL *easy;
  const struct snipe_http_request *request;
  struct curl_slist *headers;
  char *data;
  size_t len;
  size_t capacity;
  bool connected;
  bool too_large;
  char message[CURL_ERROR_SIZE];
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void
init_curl (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
}

/* Called when a connection is established, before the request is sent. */
static int
on_connected (void *ctx, char *remote_ip, char *local_ip, int remote_port,
              int local_port)
{
  struct call *call = ctx;

  (void)remote_ip;
  (void)local_ip;
  (void)remote_port;
  (void)local_port;
  /* libcurl resends a request on a new connection if a reused one closes
   * before the response. */
  if (call->connected && !call->request->idempotent)
    return CURL_PREREQFUNC_ABORT;
  call->connected = true;
  return CURL_PREREQFUNC_OK;
}

static size_t
on_body (char *data, size_t size, size_t count, void *ctx)
{
  struct call *call = ctx;
  size_t len = size * count;

  if (call->len + len > call->request->response_max_bytes)
    {
      call->too_large = true;
      return 0;
    }
  if (call->len + len + 1 > call->capacity)
    {
      size_t capacity = (call->len + len + 1) * 2;
      char *grown = realloc (call->data, capacity);

      if (grown == NULL)
        return 0;
      call->data = grown;
      call->capacity = capacity;
    }
  memcpy (call->data + call->len, data, len);
  call->len += len;
  call->data[call->len] = '\0';
  return len;
}

/* Counts bytes from the debug callback: the sizes from curl_easy_getinfo () do
 * not tell whether the request's size includes a short body. */
static int
on_trace (CURL *easy, curl_infotype type, char *data, size_t size, void *ctx)
{
  const struct call *call = ctx;

  (void)easy;
  (void)data;
  switch (type)
    {
    case CURLINFO_HEADER_IN:
    case CURLINFO_HEADER_OUT:
    case CURLINFO_DATA_IN:
    case CURLINFO_DATA_OUT:
      call->request->count_bytes (size);
      break;
    default:
      break;
    }
  return 0;
}

static int
add_header (struct call *call, const char *header)
{
  struct curl_slist *list = curl_slist_append (call->headers, header);

  if (list == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for an HTTP header");
  call->headers = list;
  return SNIPE_OK;
}

static int
set_headers (struct call *call, const struct snipe_http_request *request)
{
  /* Without this, libcurl waits up to a second for "100 Continue". */
  int status = add_header (call, "Expect:");

  if (status == SNIPE_OK && request->body != NULL)
    status = add_header (call, "Content-Type: application/json");
  for (int i = 0; status == SNIPE_OK && request->headers != NULL
                  && request->headers[i] != NULL;
       i++)
    status = add_header (call, request->headers[i]);
  return status;
}

static void
set_options (struct call *call, const struct snipe_http_request *request)
{
  CURL *easy = call->easy;

  curl_easy_reset (easy);
  if (request->count_bytes != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_DEBUGFUNCTION, on_trace);
      curl_easy_setopt (easy, CURLOPT_DEBUGDATA, call);
      curl_easy_setopt (easy, CURLOPT_VERBOSE, 1L);
    }
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_ERRORBUFFER, call->message);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_connected);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  if (request->body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)request->body_len);
    }
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
}

static int
perform (struct call *call, const struct snipe_http_request *request)
{
  CURLcode code = curl_easy_perform (call->easy);
  const char *reason
      = call->message[0] != '\0' ? call->message : curl_easy_strerror (code);

  if (code == CURLE_OK)
    return SNIPE_OK;
  if (code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL)
    return snipe_status_set (SNIPE_E_INVALID, "%s: %s", request->url, reason);
  if (call->too_large)
    return snipe_status_set (SNIPE_E_TOO_LARGE, "%s: response over %zu bytes",
                             request->url, request->response_max_bytes);
  return snipe_status_set (call->connected ? SNIPE_E_TIMEOUT
                                           : SNIPE_E_UNREACHABLE,
                           "%s %s: %s", request->method, request->url, reason);
}

static void
store_etag (struct snipe_http_response *out, CURL *easy)
{
  struct curl_header *header;
  size_t len;

  out->etag[0] = '\0';
  if (curl_easy_header (easy, "ETag", 0, CURLH_HEADER, -1, &header)
      != CURLHE_OK)
    return;
  len = strlen (header->value);
  if (len < sizeof out->etag)
    memcpy (out->etag, header->value, len + 1);
}

int
snipe_http_client_new (struct snipe_http_client **out)
{
  struct snipe_http_client *client = NULL;

  pthread_once (&curl_once, init_curl);
  client = calloc (1, sizeof *client);
  if (client != NULL)
    client->easy = curl_easy_init ();
  if (client == NULL || client->easy == NULL)
    {
      free (client);
      return snipe_status_set (SNIPE_E_NOMEM,
                               "out of memory for an HTTP client");
    }
  *out = client;
  return SNIPE_OK;
}

void
snipe_http_client_free (struct snipe_http_client *client)
{
  if (client == NULL)
    return;
  curl_easy_cleanup (client->easy);
  free (client);
}

int
snipe_http_client_call (struct snipe_http_client *client,
                        struct snipe_http_response *out,
                        const struct snipe_http_request *request)
{
  struct call call = { .easy = client->easy, .request = request };
  long http_status = 0;
  int status;

  if (request->version != SNIPE_HTTP_REQUEST_VERSION)
    return snipe_status_set (SNIPE_E_INVALID,
                             "unknown version %u of HTTP request",
                             request->version);
  status = set_headers (&call, request);
  if (status != SNIPE_OK)
    goto cleanup;
  set_options (&call, request);
  status = perform (&call, request);
  if (status != SNIPE_OK)
    goto cleanup;
  curl_easy_getinfo (call.easy, CURLINFO_RESPONSE_CODE, &http_status);
  out->status = (int)http_status;
  store_etag (out, call.easy);
  snipe_str_take (&out->body, call.data, call.len);
  call.data = NULL;

cleanup:
  curl_slist_free_all (call.headers);
  free (call.data);
  return status;
}

int
snipe_http_call (struct snipe_http_response *out,
                 const struct snipe_http_request *request)
{
  struct snipe_http_client *client = NULL;
  int status = snipe_http_client_new (&client);

  if (client == NULL)
    return status;
  status = snipe_http_client_call (client, out, request);
  snipe_http_client_free (client);
  return status;
}

void
snipe_http_response_clear (struct snipe_http_response *response)
{
  snipe_str_clear (&response->body);
}
