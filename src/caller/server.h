/**
 * @file server.h
 * HTTP interface of an entry daemon: requests of callers for jobs; every other
 * path is passed to the operators' pages.
 */
#ifndef SNIPE_CALLER_SERVER_H
#define SNIPE_CALLER_SERVER_H

#include <stdint.h>
#include "engine/engine.h"
#include "operator/operator.h"

struct snipe_caller_server;

struct snipe_caller_server_options
{
  unsigned int version;
  const char *listen;   /**< "ip:port", port 0: any free port */
  uint32_t threads;     /**< default 4 */
  uint32_t connections; /**< most open connections, default 4000 */
  size_t body_bytes;    /**< most bytes of a request body */
  uint64_t memory_mb;   /**< of this process, bounds connections and bodies:
                           a quarter of it each. The default is four times
                           4,000 bodies of 1 MiB less 8 KiB, and 24 KiB for
                           each connection. */
  uint64_t max_fds;     /**< that this process may open: half for callers */
  struct snipe_engine *engine;
  struct snipe_operator *operator_pages;
};
#define SNIPE_CALLER_SERVER_OPTIONS_VERSION 1
#define SNIPE_CALLER_SERVER_OPTIONS_INIT                                      \
  {                                                                           \
    .version = SNIPE_CALLER_SERVER_OPTIONS_VERSION, .threads = 4,             \
    .connections = 4000, .body_bytes = 1048576, .memory_mb = 16700,           \
    .max_fds = 8000                                                           \
  }

int snipe_caller_server_new (struct snipe_caller_server **out,
                             const struct snipe_caller_server_options *opts);
/** @return the port on which the server listens. */
uint16_t snipe_caller_server_port (const struct snipe_caller_server *server);
/** @return the number of requests that wait for an answer. */
uint32_t
snipe_caller_server_waiting (const struct snipe_caller_server *server);
/** Stops the server. Call only when no request waits for an answer. */
void snipe_caller_server_free (struct snipe_caller_server *server);

#endif
