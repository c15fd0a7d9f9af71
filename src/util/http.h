/**
 * @file http.h
 * Blocking HTTP client, with a new connection per request or a persistent one.
 */
#ifndef SNIPE_UTIL_HTTP_H
#define SNIPE_UTIL_HTTP_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/str.h"

#define SNIPE_HTTP_ETAG_BYTES 80

struct snipe_http_request
{
  unsigned int version;
  const char *method;         /**< default GET */
  const char *url;            /**< "http://ip:port/path" */
  const char *body;           /**< NULL: none */
  size_t body_len;            /**< bytes */
  const char *const *headers; /**< "Name: value", NULL-terminated, or NULL */
  int64_t timeout_ms;         /**< of the whole call, default 1000 */
  size_t response_max_bytes;  /**< bytes, default 16 MiB */
  /** The request may be sent again if a reused connection turns out to be
   * closed; otherwise it is sent at most once. */
  bool idempotent;
  /** Called with the number of bytes sent or received, headers included;
   * may be NULL. */
  void (*count_bytes) (size_t bytes);
};
#define SNIPE_HTTP_REQUEST_VERSION 1
#define SNIPE_HTTP_REQUEST_INIT                                               \
  {                                                                           \
    .version = SNIPE_HTTP_REQUEST_VERSION, .method = "GET",                   \
    .timeout_ms = 1000, .response_max_bytes = (size_t)16 << 20                \
  }

struct snipe_http_response
{
  int status; /**< HTTP status */
  struct snipe_str body;
  char etag[SNIPE_HTTP_ETAG_BYTES]; /**< "" if there is none */
};

/**
 * Sends a request and receives the response, whose HTTP status may be any.
 * @return 0; SNIPE_E_UNREACHABLE if no connection was established, so that
 * nothing was sent; SNIPE_E_TIMEOUT if one was, but no complete response
 * arrived; SNIPE_E_TOO_LARGE for a response over its limit; SNIPE_E_INVALID
 * for a malformed request.
 */
int snipe_http_call (struct snipe_http_response *out,
                     const struct snipe_http_request *request);

/** Client with a persistent connection; used by one thread at a time. */
struct snipe_http_client;

int snipe_http_client_new (struct snipe_http_client **out);
void snipe_http_client_free (struct snipe_http_client *client);
/** As snipe_http_call (), over the client's connection. */
int snipe_http_client_call (struct snipe_http_client *client,
                            struct snipe_http_response *out,
                            const struct snipe_http_request *request);
void snipe_http_response_clear (struct snipe_http_response *response);

#endif
