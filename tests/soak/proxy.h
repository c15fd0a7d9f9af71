/**
 * @file proxy.h
 * A loopback TCP proxy that injects faults into its connections.
 */
#ifndef TESTS_SOAK_PROXY_H
#define TESTS_SOAK_PROXY_H

#include <stdint.h>

enum proxy_mode
{
  PROXY_FORWARD,
  PROXY_STALL,            /**< forwards nothing, connections stay open */
  PROXY_DROP_FROM_CLIENT, /**< drops what the client sends */
  PROXY_DROP_FROM_SERVER, /**< drops what the server sends */
  PROXY_RESET,            /**< resets open and new connections */
};

struct proxy;
/** Listens on a free port and connects to @p target_port of 127.0.0.1. */
struct proxy *proxy_new (uint16_t target_port);
uint16_t proxy_port (const struct proxy *proxy);
/** @param delay_ms before each forwarded block */
void proxy_set_mode (struct proxy *proxy, enum proxy_mode mode,
                     unsigned int delay_ms);
/** Resets the connections that are open now. */
void proxy_reset_connections (struct proxy *proxy);

#endif
