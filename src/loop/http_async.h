/**
 * @file web.h
 * HTTP calls without blocking, on an event loop (libcurl's socket interface).
 * Connections are kept and shared by all calls to an address.
 */
#ifndef SNIPE_LOOP_WEB_H
#define SNIPE_LOOP_WEB_H

#include "loop/loop.h"
#include "snipe/str.h"

#define SNIPE_HTTP_ASYNC_NOT_CONNECTED (-1)

struct snipe_http_async;

/**
 * End of a call, exactly once, never from within snipe_http_async_call ().
 * @param http status of the answer; 0 if there was none, and then the call
 * may or may not have been carried out; SNIPE_HTTP_ASYNC_NOT_CONNECTED if no
 * connection was made, so that it was surely not carried out
 */
typedef void (*snipe_http_async_done) (void *ctx, int http,
                                       const struct snipe_str *body);

struct snipe_http_async_request
{
  const char *method;
  const char *address;    /**< "ip:port" */
  const char *path;       /**< with its query */
  const char *headers[3]; /**< "Name: value", NULL-terminated if fewer */
  struct snipe_str body;  /**< taken over; empty: none */
  snipe_time timeout;     /**< of the whole call */
  snipe_http_async_done done;
  void *ctx;
};

int snipe_http_async_new (struct snipe_http_async **out,
                          struct snipe_loop *loop, uint32_t connections_max);
/** Ends open calls without an answer. */
void snipe_http_async_free (struct snipe_http_async *web);
/** Starts a call. A call that cannot be made ends with no answer. */
void snipe_http_async_call (struct snipe_http_async *web,
                            struct snipe_http_async_request *request);

#endif
