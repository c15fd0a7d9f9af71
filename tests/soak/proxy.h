/**
 * @file proxy.h
 * A loopback proxy that disturbs the connections through it.
 */
#ifndef TESTS_SOAK_PROXY_H
#define TESTS_SOAK_PROXY_H

#include <stdint.h>

enum proxy_mode
{
  PROXY_PASS,
  PROXY_SILENT,   /**< holds everything, connections stay open */
  PROXY_CUT_UP,   /**< drops what the caller sends */
  PROXY_CUT_DOWN, /**< drops what the server sends */
  PROXY_REFUSE,   /**< resets all connections, also new ones */
};

struct proxy;
struct proxy *proxy_new (uint16_t target);
uint16_t proxy_port (const struct proxy *proxy);
void proxy_set (struct proxy *proxy, enum proxy_mode mode,
                unsigned int delay_ms);
/** Resets the connections that are open now. */
void proxy_reset (struct proxy *proxy);

#endif
