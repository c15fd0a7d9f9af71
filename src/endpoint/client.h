/**
 * @file client.h
 * Starts tasks at endpoints over HTTP with a fixed number of threads, each
 * with one libcurl multi handle. The request of a start is written to a
 * connection at most once, because the endpoint may have run the task even if
 * no response arrives.
 */
#ifndef SNIPE_ENDPOINT_CLIENT_H
#define SNIPE_ENDPOINT_CLIENT_H

#include <stdint.h>
#include "snipe/clock.h"
#include "snipe/sched.h"
#include "snipe/str.h"

struct snipe_endpoint_client;

struct snipe_start_result
{
  enum snipe_attempt_outcome outcome;
  struct snipe_str result; /**< JSON text of "result" if OK; the callback may
                              take ownership by clearing this field */
  snipe_time duration;     /**< from queueing to the response */
};

/** Completion callback: called exactly once per start, on a thread of the
 * client. */
typedef void (*snipe_start_done) (void *ctx,
                                  struct snipe_start_result *result);

struct snipe_endpoint_client_options
{
  unsigned int version;
  uint32_t threads;           /**< default 2 */
  uint32_t connections;       /**< maximum per endpoint, default 64 */
  snipe_time connect_timeout; /**< default 250 ms */
};
#define SNIPE_ENDPOINT_CLIENT_OPTIONS_VERSION 1
#define SNIPE_ENDPOINT_CLIENT_OPTIONS_INIT                                    \
  {                                                                           \
    .version = SNIPE_ENDPOINT_CLIENT_OPTIONS_VERSION, .threads = 2,           \
    .connections = 64, .connect_timeout = 250 * SNIPE_MS                      \
  }

int
snipe_endpoint_client_new (struct snipe_endpoint_client **out,
                           const struct snipe_endpoint_client_options *opts);
/** Stops the threads. A start whose request was written ends with
 * SNIPE_ATTEMPT_LOST, any other with SNIPE_ATTEMPT_NOT_CONNECTED. */
void snipe_endpoint_client_free (struct snipe_endpoint_client *client);

/**
 * Queues a POST of @p body to http://@p address/run. Thread-safe.
 * @param address "ip:port", copied
 * @param body JSON; if 0 is returned, the client has taken ownership and the
 * string is cleared
 * @param timeout for the whole exchange. When it expires, the start ends with
 * SNIPE_ATTEMPT_LOST, or with SNIPE_ATTEMPT_NOT_CONNECTED if its request
 * was never written.
 * @return 0; on a negative code @p done is not called.
 */
int snipe_endpoint_client_start (struct snipe_endpoint_client *client,
                                 const char *address, struct snipe_str *body,
                                 snipe_time timeout, snipe_start_done done,
                                 void *ctx);

#endif
