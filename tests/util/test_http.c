#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "snipe/status.h"
#include "suite.h"
#include "util/http.h"

static gint requests;

static enum MHD_Result
handle_request (void *ctx, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *data,
                size_t *data_len, void **state)
{
  GString *body = *state;
  const char *name;
  struct MHD_Response *response;
  enum MHD_Result result;
  char *text;

  (void)ctx;
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
  g_atomic_int_inc (&requests);
  if (strcmp (url, "/close") == 0)
    return MHD_NO;
  if (strcmp (url, "/slow") == 0)
    usleep (400000);
  name = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                      "X-Snipe-Host");
  text = g_strdup_printf ("%s %s %s", method, name == NULL ? "-" : name,
                          body->str);
  response = MHD_create_response_from_buffer (strlen (text), text,
                                              MHD_RESPMEM_MUST_COPY);
  g_free (text);
  result = MHD_queue_response (
      connection, strcmp (url, "/teapot") == 0 ? 418 : 200, response);
  MHD_destroy_response (response);
  return result;
}

static void
on_completed (void *ctx, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  (void)ctx;
  (void)connection;
  (void)code;
  if (*state != NULL)
    g_string_free (*state, TRUE);
}

static struct MHD_Daemon *
start_server (uint16_t *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct MHD_Daemon *server;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  /* A thread per connection: with a single one, the slow request would delay
   * the next one beyond its timeout. */
  server = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0, NULL,
      NULL, handle_request, NULL, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
  *port = MHD_get_daemon_info (server, MHD_DAEMON_INFO_BIND_PORT)->port;
  return server;
}

/* Guards against a lost method, body, header or status, and against confusing
 * "never sent" with "may have taken effect". */
static void
test_calls (void)
{
  static const char *const headers[] = { "X-Snipe-Host: h1", NULL };
  static const struct
  {
    const char *method, *path, *body;
    const char *const *headers;
    int status, http;
    const char *expected_body;
  } cases[] = {
    { "GET", "/x", NULL, NULL, 0, 200, "GET - " },
    { "POST", "/x", "{\"a\":1}", headers, 0, 200, "POST h1 {\"a\":1}" },
    { "POST", "/x", "", NULL, 0, 200, "POST - " },
    { "PUT", "/teapot", "b", NULL, 0, 418, "PUT - b" },
    { "DELETE", "/x", NULL, NULL, 0, 200, "DELETE - " },
    { "POST", "/slow", "b", NULL, SNIPE_E_TIMEOUT, 0, NULL },
    { "POST", "/close", "b", NULL, SNIPE_E_TIMEOUT, 0, NULL },
  };
  uint16_t port;
  struct MHD_Daemon *server = start_server (&port);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct snipe_http_request request = SNIPE_HTTP_REQUEST_INIT;
      struct snipe_http_response response = { 0 };
      char *url
          = g_strdup_printf ("http://127.0.0.1:%u%s", port, cases[i].path);

      request.method = cases[i].method;
      request.url = url;
      request.body = cases[i].body;
      request.body_len = cases[i].body == NULL ? 0 : strlen (cases[i].body);
      request.headers = cases[i].headers;
      request.timeout_ms = 200;
      CU_ASSERT_EQUAL (snipe_http_call (&response, &request), cases[i].status);
      if (cases[i].status == 0)
        {
          CU_ASSERT_EQUAL (response.status, cases[i].http);
          CU_ASSERT_TRUE (
              snipe_str_equal_c (&response.body, cases[i].expected_body));
        }
      snipe_http_response_clear (&response);
      g_free (url);
    }
  MHD_stop_daemon (server);
  /* Guards against a request sent twice after a lost connection. */
  CU_ASSERT_EQUAL (g_atomic_int_get (&requests), (gint)G_N_ELEMENTS (cases));
}

/* Guards against reporting a request that was never sent as one that may have
 * taken effect. */
static void
test_unreachable (void)
{
  struct snipe_http_request request = SNIPE_HTTP_REQUEST_INIT;
  struct snipe_http_response response = { 0 };
  uint16_t port;
  struct MHD_Daemon *server = start_server (&port);
  char *url = g_strdup_printf ("http://127.0.0.1:%u/", port);

  MHD_stop_daemon (server);
  request.url = url;
  CU_ASSERT_EQUAL (snipe_http_call (&response, &request), SNIPE_E_UNREACHABLE);
  request.url = "ftp://127.0.0.1/";
  CU_ASSERT_EQUAL (snipe_http_call (&response, &request), SNIPE_E_INVALID);
  g_free (url);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "calls", test_calls },
    { "unreachable", test_unreachable },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("http", tests);
}
