/**
 * @file web.h
 * A small HTTP server for the stand-ins: one thread a connection, handlers may
 * block.
 */
#ifndef TESTS_SOAK_WEB_H
#define TESTS_SOAK_WEB_H

#include <glib.h>
#include <microhttpd.h>

struct web_call
{
  struct MHD_Connection *connection;
  const char *method;
  const char *path;
  GString *body;
  int http;     /**< of the answer; 0: close without one */
  char *answer; /**< from g_malloc, NULL: empty */
};

struct web
{
  struct MHD_Daemon *daemon;
  void (*handle) (void *ctx, struct web_call *call);
  void *ctx;
};

/** Listens on a port of 127.0.0.1 that the system chooses. */
void web_start (struct web *web);
guint16 web_port (const struct web *web);
/** @return an argument of the query, "" if it is missing. */
const char *web_argument (const struct web_call *call, const char *name);

#endif
