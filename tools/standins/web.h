/**
 * @file web.h
 * HTTP server of the stand-ins: whole bodies, delayed answers by suspended
 * connections, and a listening port that can be closed and opened again.
 */
#ifndef STANDINS_WEB_H
#define STANDINS_WEB_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include "snipe/clock.h"

struct web;

struct web_request
{
  struct MHD_Connection *connection;
  const char *method;
  const char *url;
  GString *body;

  /* Set by the handler. */
  unsigned int status;
  char *reply; /**< malloc'ed, NULL for an empty body */
  size_t reply_len;
  char etag[72];       /**< value of ETag, or "" */
  const char *refused; /**< value of X-Refused, static, or NULL */
  bool cut;            /**< close the connection without an answer */

  /* Owned by web.c. */
  struct web *web;
  char *url_copy;
  GList link;
  bool handled;
  bool held;
  bool frozen;
  gint refs;
};

/** Delay of an answer that waits until web_freeze (web, false); sent at once
 * if the server is not frozen. */
#define WEB_NEVER INT64_MAX

/** Fills in the answer. Called once for each request, on a server thread.
 * @return microseconds to hold the answer back, 0 to send it now. */
typedef snipe_time (*web_handler) (void *ctx, struct web_request *request);

struct web_options
{
  const char *listen; /**< "ip:port", port 0 is chosen by the system */
  unsigned int threads;
  unsigned int connections; /**< largest number of open connections */
  web_handler handler;
  void *ctx;
};

/** @return NULL with a message on stderr on failure. */
struct web *web_new (const struct web_options *options);
/** Frees a server that web_close () closed, with no answer held. */
void web_free (struct web *web);
/** @return "ip:port". */
const char *web_address (const struct web *web);
/** Closes the listening socket and all connections; keeps the port bound so
 * that connects are refused and no one else gets it. */
void web_close (struct web *web);
/** Listens again on the same port. @return 0 or -1. */
int web_reopen (struct web *web);
/** Starts or stops holding answers with WEB_NEVER; stopping sends those that
 * are held. */
void web_freeze (struct web *web, bool frozen);

/** Sets a JSON answer and drops the reference to @p body. */
void web_reply (struct web_request *request, unsigned int status,
                json_t *body);
/** Sets {"error": message}. */
void web_fail (struct web_request *request, unsigned int status,
               const char *message);
const char *web_arg (const struct web_request *request, const char *name);
const char *web_header (const struct web_request *request, const char *name);

/** Writes @p text and a newline to @p path by rename. @return 0 or -1. */
int web_write_file (const char *path, const char *text);
/** Raises the limit of open files and blocks the signals that end the
 * program; call before any thread starts. */
void web_prepare (void);
/** Waits for SIGTERM or SIGINT. */
void web_wait (void);

#endif
