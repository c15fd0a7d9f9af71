#include "soak/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

static enum MHD_Result
on_request (void *ctx, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **state)
{
  struct http_server *server = ctx;
  struct http_exchange *exchange = *state;
  struct MHD_Response *response;
  enum MHD_Result result;

  (void)version;
  if (exchange == NULL)
    {
      exchange = g_new0 (struct http_exchange, 1);
      exchange->connection = connection;
      exchange->body = g_string_new (NULL);
      *state = exchange;
      return MHD_YES;
    }
  if (*size > 0)
    {
      g_string_append_len (exchange->body, data, (gssize)*size);
      *size = 0;
      return MHD_YES;
    }
  exchange->method = method;
  exchange->path = url;
  exchange->status = 200;
  server->handle (server->ctx, exchange);
  if (exchange->status == 0)
    return MHD_NO;
  if (exchange->answer == NULL)
    exchange->answer = g_strdup ("");
  response = MHD_create_response_from_buffer (
      strlen (exchange->answer), exchange->answer, MHD_RESPMEM_MUST_COPY);
  result = MHD_queue_response (connection, (unsigned int)exchange->status,
                               response);
  MHD_destroy_response (response);
  return result;
}

static void
on_completed (void *ctx, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct http_exchange *exchange = *state;

  (void)ctx;
  (void)connection;
  (void)code;
  if (exchange == NULL)
    return;
  g_string_free (exchange->body, TRUE);
  g_free (exchange->answer);
  g_free (exchange);
  *state = NULL;
}

void
http_server_start (struct http_server *server)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->daemon = MHD_start_daemon (
      MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0, NULL,
      NULL, on_request, server, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
      MHD_OPTION_THREAD_STACK_SIZE, (size_t)(256 * 1024), MHD_OPTION_END);
  g_assert (server->daemon != NULL);
}

guint16
http_server_port (const struct http_server *server)
{
  return MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

const char *
http_query_argument (const struct http_exchange *exchange, const char *name)
{
  const char *value = MHD_lookup_connection_value (
      exchange->connection, MHD_GET_ARGUMENT_KIND, name);

  return value == NULL ? "" : value;
}
