/* Guards against calls that time out one after the other because all kept
 * connections to a server have gone silent: two in a row kept a host from a
 * configuration for 4.4 s. */
#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop/http_async.h"
#include "suite.h"

#define CONNECTIONS_MAX 16
#define TIMEOUT (300 * SNIPE_MS)
/* Upper limit of a case on a busy machine. */
#define CASE_TIME_MAX (20 * SNIPE_S)

/** A server that can stop answering on the connections that it has. */
struct server
{
  int listen_fd;
  char address[32];
  pthread_t thread;
  struct pollfd fds[CONNECTIONS_MAX + 1]; /**< the first one accepts */
  bool silent[CONNECTIONS_MAX + 1];
  nfds_t count;
  bool silence; /**< atomic: set to silence the present connections */
  bool stop;    /**< atomic */
};

static void
server_answer (struct server *server, nfds_t i)
{
  static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  char data[4096];
  ssize_t got = recv (server->fds[i].fd, data, sizeof data, 0);

  if (got <= 0)
    {
      close (server->fds[i].fd);
      server->fds[i].fd = -1;
    }
  else if (!server->silent[i])
    (void)send (server->fds[i].fd, answer, sizeof answer - 1, MSG_NOSIGNAL);
}

static void *
serve (void *ctx)
{
  struct server *server = ctx;

  while (!__atomic_load_n (&server->stop, __ATOMIC_ACQUIRE))
    {
      (void)poll (server->fds, server->count, 10);
      if (__atomic_exchange_n (&server->silence, false, __ATOMIC_ACQ_REL))
        for (nfds_t i = 1; i < server->count; i++)
          server->silent[i] = true;
      for (nfds_t i = 1; i < server->count; i++)
        if (server->fds[i].revents != 0)
          server_answer (server, i);
      if (server->fds[0].revents != 0 && server->count <= CONNECTIONS_MAX)
        server->fds[server->count++]
            = (struct pollfd){ .fd = accept (server->listen_fd, NULL, NULL),
                               .events = POLLIN };
    }
  return NULL;
}

static void
server_start (struct server *server)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  socklen_t len = sizeof in;

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (server->listen_fd < 0
      || bind (server->listen_fd, (struct sockaddr *)&in, sizeof in) != 0
      || listen (server->listen_fd, 8) != 0
      || getsockname (server->listen_fd, (struct sockaddr *)&in, &len) != 0)
    abort ();
  server->fds[0]
      = (struct pollfd){ .fd = server->listen_fd, .events = POLLIN };
  server->count = 1;
  g_snprintf (server->address, sizeof server->address, "127.0.0.1:%u",
              (unsigned int)ntohs (in.sin_port));
  if (pthread_create (&server->thread, NULL, serve, server) != 0)
    abort ();
}

static void
server_stop (struct server *server)
{
  __atomic_store_n (&server->stop, true, __ATOMIC_RELEASE);
  pthread_join (server->thread, NULL);
  for (nfds_t i = 0; i < server->count; i++)
    if (server->fds[i].fd >= 0)
      close (server->fds[i].fd);
}

/** Opens connections with calls at the same time, has them silenced, and then
 * makes one call after the other until one is answered. */
struct caller
{
  struct snipe_loop *loop;
  struct snipe_http_async *client;
  struct server *server;
  int pending;
  bool silenced;
  int answered; /**< calls with status 200 */
  int failed;
  snipe_time stop_at;
};

static void
on_done (void *ctx, int http_status, const struct snipe_str *body)
{
  struct caller *caller = ctx;

  (void)body;
  caller->pending--;
  if (http_status == 200)
    caller->answered++;
  else
    caller->failed++;
}

static void
start_call (struct caller *caller)
{
  struct snipe_http_async_request request
      = { .method = "GET",
          .address = caller->server->address,
          .path = "/",
          .timeout = TIMEOUT,
          .close_idle_on_timeout = true,
          .done = on_done,
          .ctx = caller };

  caller->pending++;
  snipe_http_async_call (caller->client, &request);
}

static snipe_time
on_tick (void *ctx, snipe_time now)
{
  struct caller *caller = ctx;

  if (now >= caller->stop_at
      || (caller->silenced && caller->pending == 0 && caller->answered > 0))
    snipe_loop_stop (caller->loop);
  else if (caller->pending == 0 && !caller->silenced)
    {
      caller->silenced = true;
      caller->answered = 0;
      __atomic_store_n (&caller->server->silence, true, __ATOMIC_RELEASE);
    }
  else if (caller->pending == 0
           && !__atomic_load_n (&caller->server->silence, __ATOMIC_ACQUIRE))
    start_call (caller);
  return 10 * SNIPE_MS;
}

static void
test_silent_connections (void)
{
  static const int connections[] = { 1, 2, 4 };

  for (size_t i = 0; i < G_N_ELEMENTS (connections); i++)
    {
      struct server server = { 0 };
      struct caller caller = { .server = &server,
                               .stop_at = snipe_clock_now () + CASE_TIME_MAX };

      server_start (&server);
      CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&caller.loop), 0);
      CU_ASSERT_EQUAL_FATAL (
          snipe_http_async_new (&caller.client, caller.loop, 8), 0);
      for (int k = 0; k < connections[i]; k++)
        start_call (&caller);
      snipe_loop_run (caller.loop, on_tick, &caller);
      if (caller.failed != 1)
        printf ("\n  %d connections: %d calls failed", connections[i],
                caller.failed);
      CU_ASSERT_EQUAL (caller.failed, 1);
      CU_ASSERT_EQUAL (caller.answered, 1);
      snipe_http_async_free (caller.client);
      snipe_loop_free (caller.loop);
      server_stop (&server);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "silent connections", test_silent_connections },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("silent_connections", tests);
}
