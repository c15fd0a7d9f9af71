/**
 * @file http_server.h
 * A small HTTP server for the fakes, with a thread for each connection, so
 * that handlers may block.
 */
#ifndef TESTS_SOAK_HTTP_SERVER_H
#define TESTS_SOAK_HTTP_SERVER_H

#include <glib.h>
#include <microhttpd.h>

/** A request and its answer. */
struct http_exchange
{
  struct MHD_Connection *connection;
  const char *method;
  const char *path;
  GString *body;
  int status;   /**< 0: close the connection without an answer */
  char *answer; /**< body, from g_malloc; NULL: empty */
};

struct http_server
{
  struct MHD_Daemon *daemon;
  void (*handle) (void *ctx, struct http_exchange *exchange);
  void *ctx;
};

/** Listens on a port of 127.0.0.1 that the kernel chooses. */
void http_server_start (struct http_server *server);
guint16 http_server_port (const struct http_server *server);
/** @return the value of a query argument, "" if it is missing. */
const char *http_query_argument (const struct http_exchange *exchange,
                                 const char *name);

#endif
