/**
 * @file http_async.h
 * Non-blocking HTTP client on an event loop (libcurl's multi socket
 * interface). Connections are kept alive and shared by all calls to an
 * address.
 */
#ifndef SNIPE_LOOP_HTTP_ASYNC_H
#define SNIPE_LOOP_HTTP_ASYNC_H

#include <stdbool.h>
#include "loop/loop.h"
#include "snipe/str.h"

#define SNIPE_HTTP_ASYNC_NOT_SENT (-1)
#define SNIPE_HTTP_ASYNC_REFUSED (-2)

struct snipe_http_async;

/**
 * Called once at the end of each call, never from within
 * snipe_http_async_call (). A call with another method than GET is sent once
 * at most.
 * @param http_status status of the response; 0 if there was none, and then the
 * call may or may not have taken effect; SNIPE_HTTP_ASYNC_NOT_SENT if it was
 * not sent, so that it cannot have taken effect; SNIPE_HTTP_ASYNC_REFUSED if
 * it was not sent because no process listens at the address
 */
typedef void (*snipe_http_async_done) (void *ctx, int http_status,
                                       const struct snipe_str *body);

struct snipe_http_async_request
{
  const char *method;
  const char *address;    /**< "ip:port" */
  const char *path;       /**< with its query string */
  const char *headers[3]; /**< "Name: value", NULL-terminated if fewer */
  struct snipe_str body;  /**< the call takes ownership; empty: no body */
  snipe_time timeout;     /**< of the whole call */
  /** Time after which the call is not sent any more, if it still waits for
   * its connection; 0: when it times out. */
  snipe_time send_until;
  /** If the call times out, the idle connections to its address are closed:
   * they may have gone silent at the same time, and each would cost a later
   * call its timeout. */
  bool close_idle_on_timeout;
  snipe_http_async_done done;
  /** If set, called once if the call has not ended after @p overdue_after,
   * unless it can no longer be sent. The call goes on and keeps its
   * connection: closing it would cost a new one, and the answer would be
   * lost.
   * @param connected whether it was sent as the first one on its connection */
  void (*overdue) (void *ctx, bool connected);
  snipe_time overdue_after;
  void *ctx;
};

int snipe_http_async_new (struct snipe_http_async **out,
                          struct snipe_loop *loop, uint32_t connections_max);
/** Ends pending calls with status 0. */
void snipe_http_async_free (struct snipe_http_async *client);
/** Starts a call. One that cannot be made ends as one without a response. */
void snipe_http_async_call (struct snipe_http_async *client,
                            struct snipe_http_async_request *request);

#endif
