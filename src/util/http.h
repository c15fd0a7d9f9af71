/**
 * @file http.h
 * Blocking HTTP requests for command line programs. Each request uses a
 * connection of its own and is written at most once.
 */
#ifndef SNIPE_UTIL_HTTP_H
#define SNIPE_UTIL_HTTP_H

#include <stdint.h>
#include "snipe/str.h"

struct snipe_http_request
{
  unsigned int version;
  const char *method;         /**< default GET */
  const char *url;            /**< "http://ip:port/path" */
  const char *body;           /**< NULL: none */
  size_t body_len;            /**< bytes */
  const char *const *headers; /**< "Name: value", NULL-terminated, or NULL */
  int64_t timeout_ms;         /**< of the whole call, default 1000 */
};
#define SNIPE_HTTP_REQUEST_VERSION 1
#define SNIPE_HTTP_REQUEST_INIT                                               \
  {                                                                           \
    .version = SNIPE_HTTP_REQUEST_VERSION, .method = "GET",                   \
    .timeout_ms = 1000                                                        \
  }

struct snipe_http_response
{
  int status; /**< HTTP status */
  struct snipe_str body;
};

/**
 * Makes a request; any HTTP status is a success of the call.
 * @return 0; SNIPE_E_UNREACHABLE if the connection was never made, so that
 * nothing was sent; SNIPE_E_TIMEOUT if it was made but no whole answer came;
 * SNIPE_E_TOO_LARGE for an answer over 16 MiB; SNIPE_E_INVALID for a bad
 * request.
 */
int snipe_http_call (struct snipe_http_response *out,
                     const struct snipe_http_request *request);
void snipe_http_response_clear (struct snipe_http_response *response);

#endif
