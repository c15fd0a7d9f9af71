/**
 * @file http.h
 * Blocking HTTP requests, over a connection of their own or over a kept one.
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
  /** The request may be written again, if a kept connection turns out to be
   * closed; otherwise it is written at most once. */
  bool idempotent;
  /** Told of all bytes that pass, headers included; NULL: nobody is. */
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
  char etag[SNIPE_HTTP_ETAG_BYTES]; /**< "" without one */
};

/**
 * Makes a request; any HTTP status is a success of the call.
 * @return 0; SNIPE_E_UNREACHABLE if the connection was never made, so that
 * nothing was sent; SNIPE_E_TIMEOUT if it was made but no whole answer came;
 * SNIPE_E_TOO_LARGE for an answer over its limit; SNIPE_E_INVALID for a bad
 * request.
 */
int snipe_http_call (struct snipe_http_response *out,
                     const struct snipe_http_request *request);

/** Keeps its connection between calls; used by one thread at a time. */
struct snipe_http_client;

int snipe_http_client_new (struct snipe_http_client **out);
void snipe_http_client_free (struct snipe_http_client *client);
/** As snipe_http_call (). */
int snipe_http_client_call (struct snipe_http_client *client,
                            struct snipe_http_response *out,
                            const struct snipe_http_request *request);
void snipe_http_response_clear (struct snipe_http_response *response);

#endif
