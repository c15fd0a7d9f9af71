/** HTTP server on the loopback interface, in the process of the test, that
 * stands in for the platform's table or an entry host and injects faults. */
#ifndef TESTS_CTL_FAKE_H
#define TESTS_CTL_FAKE_H

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdbool.h>
#include <string.h>

/** Handles a request. @return the HTTP status, or 0 to close the connection
 * without a reply. Called with fake_lock held. */
typedef int (*fake_handler) (void *ctx, struct MHD_Connection *connection,
                             const char *method, const char *url,
                             const char *body, char **reply);

struct fake_server
{
  struct MHD_Daemon *daemon;
  fake_handler handler;
  void *ctx;
  char address[32];
  char url[48];
};

static pthread_mutex_t fake_lock = PTHREAD_MUTEX_INITIALIZER;

static enum MHD_Result
fake_on_request (void *ctx, struct MHD_Connection *connection, const char *url,
                 const char *method, const char *version, const char *data,
                 size_t *data_len, void **state)
{
  struct fake_server *server = ctx;
  GString *body = *state;
  struct MHD_Response *response;
  enum MHD_Result result;
  char *reply = NULL;
  int status;

  (void)version;
  if (body == NULL)
    {
      *state = g_string_new (NULL);
      return MHD_YES;
    }
  if (*data_len > 0)
    {
      g_string_append_len (body, data, (gssize)*data_len);
      *data_len = 0;
      return MHD_YES;
    }
  pthread_mutex_lock (&fake_lock);
  status = server->handler (server->ctx, connection, method, url, body->str,
                            &reply);
  pthread_mutex_unlock (&fake_lock);
  if (status == 0)
    {
      g_free (reply);
      return MHD_NO;
    }
  response = MHD_create_response_from_buffer (
      reply == NULL ? 0 : strlen (reply), reply, MHD_RESPMEM_MUST_COPY);
  g_free (reply);
  result = MHD_queue_response (connection, (unsigned int)status, response);
  MHD_destroy_response (response);
  return result;
}

static void
fake_on_completed (void *ctx, struct MHD_Connection *connection, void **state,
                   enum MHD_RequestTerminationCode code)
{
  (void)ctx;
  (void)connection;
  (void)code;
  if (*state != NULL)
    g_string_free (*state, TRUE);
}

static inline void
fake_start (struct fake_server *server, fake_handler handler, void *ctx)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->handler = handler;
  server->ctx = ctx;
  server->daemon = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, fake_on_request, server,
      MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
      fake_on_completed, NULL, MHD_OPTION_END);
  CU_ASSERT_PTR_NOT_NULL_FATAL (server->daemon);
  g_snprintf (
      server->address, sizeof server->address, "127.0.0.1:%u",
      MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
  g_snprintf (server->url, sizeof server->url, "http://%s", server->address);
}

static inline void
fake_stop (struct fake_server *server)
{
  MHD_stop_daemon (server->daemon);
}

/** @return the JSON text, to be freed with g_free (). Releases @p json. */
static inline char *
fake_dump (json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  char *copy = g_strdup (text);

  free (text);
  json_decref (json);
  return copy;
}

#endif
