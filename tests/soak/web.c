#include "soak/web.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

static enum MHD_Result
on_request (void *ctx, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **state)
{
  struct web *web = ctx;
  struct web_call *call = *state;
  struct MHD_Response *response;
  enum MHD_Result result;

  (void)version;
  if (call == NULL)
    {
      call = g_new0 (struct web_call, 1);
      call->connection = connection;
      call->body = g_string_new (NULL);
      *state = call;
      return MHD_YES;
    }
  if (*size > 0)
    {
      g_string_append_len (call->body, data, (gssize)*size);
      *size = 0;
      return MHD_YES;
    }
  call->method = method;
  call->path = url;
  call->http = 200;
  web->handle (web->ctx, call);
  if (call->http == 0)
    return MHD_NO;
  if (call->answer == NULL)
    call->answer = g_strdup ("");
  response = MHD_create_response_from_buffer (
      strlen (call->answer), call->answer, MHD_RESPMEM_MUST_COPY);
  result = MHD_queue_response (connection, (unsigned int)call->http, response);
  MHD_destroy_response (response);
  return result;
}

static void
on_completed (void *ctx, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct web_call *call = *state;

  (void)ctx;
  (void)connection;
  (void)code;
  if (call == NULL)
    return;
  g_string_free (call->body, TRUE);
  g_free (call->answer);
  g_free (call);
  *state = NULL;
}

void
web_start (struct web *web)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  web->daemon = MHD_start_daemon (
      MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0, NULL,
      NULL, on_request, web, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
      MHD_OPTION_THREAD_STACK_SIZE, (size_t)(256 * 1024), MHD_OPTION_END);
  g_assert (web->daemon != NULL);
}

guint16
web_port (const struct web *web)
{
  return MHD_get_daemon_info (web->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

const char *
web_argument (const struct web_call *call, const char *name)
{
  const char *value = MHD_lookup_connection_value (
      call->connection, MHD_GET_ARGUMENT_KIND, name);

  return value == NULL ? "" : value;
}
