/**
 * @file web.h
 * HTTP server of the stand-ins: reads whole bodies, delays replies by
 * suspending connections, and can close its listening port and reopen it.
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
  char etag[72];         /**< value of the ETag header, or "" */
  const char *rejection; /**< X-Refused header (static) or NULL */
  bool close_connection; /**< close the connection without a reply */

  /* Owned by web.c. */
  struct web *web;
  char *url_copy;
  GList link;
  bool handled;
  bool suspended;
  bool until_unfrozen;
  gint refs;
};

/** Delays a reply until web_freeze (web, false); it is sent at once if the
 * server is not frozen. */
#define WEB_UNTIL_UNFROZEN INT64_MAX

/** Fills in the reply. Called once for each request, on a server thread.
 * @return delay of the reply in microseconds, 0 to send it at once. */
typedef snipe_time (*web_handler) (void *ctx, struct web_request *request);

struct web_options
{
  const char *listen; /**< "ip:port"; port 0 lets the system choose one */
  unsigned int threads;
  unsigned int connections; /**< largest number of open connections */
  web_handler handler;
  void *ctx;
};

/** @return NULL on failure, after a message on stderr. */
struct web *web_new (const struct web_options *options);
/** Frees a server that web_close () closed, once no timer refers to it. */
void web_free (struct web *web);
/** @return "ip:port". */
const char *web_address (const struct web *web);
/** Closes the listening socket and all connections; keeps the port bound so
 * that connections are refused and no other process can take it. */
void web_close (struct web *web);
/** Listens again on the same port. @return 0 or -1. */
int web_reopen (struct web *web);
/** Starts or stops delaying replies with WEB_UNTIL_UNFROZEN; stopping sends
 * the delayed ones. */
void web_freeze (struct web *web, bool frozen);

/** Sets a JSON reply and drops the reference to @p body. */
void web_reply (struct web_request *request, unsigned int status,
                json_t *body);
/** Sets the reply {"error": message}. */
void web_reply_error (struct web_request *request, unsigned int status,
                      const char *message);
const char *web_arg (const struct web_request *request, const char *name);
const char *web_header (const struct web_request *request, const char *name);

/** Replaces the file @p path atomically with @p text and a newline.
 * @return 0, or -1 after a message on stderr. */
int web_write_file (const char *path, const char *text);
/** Raises the limit of open files, ignores SIGPIPE and blocks SIGTERM and
 * SIGINT; call before any thread starts. */
void web_process_init (void);
/** Waits for SIGTERM or SIGINT. */
void web_wait_for_signal (void);

#endif
