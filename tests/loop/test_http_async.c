#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "loop/http_async.h"
#include "snipe/status.h"
#include "suite.h"

#define CALLS_MAX 4

/* How a server ends a connection after its answer. */
enum connection_end
{
  END_KEEP, /**< leaves it open */
  END_CLOSE,
  END_RESET,
};

/* A server that answers a number of requests per connection, one after the
 * other. */
struct server
{
  int fd;
  char address[32];
  enum connection_end end;
  int requests_max; /**< answered on a connection */
  gulong delay_us;  /**< before each answer */
  pthread_t thread;
  int connections;
  int open_fd; /**< the last connection, if it was left open */
};

static bool
read_request (int fd)
{
  char data[4096];
  size_t len = 0;

  while (len + 1 < sizeof data)
    {
      ssize_t got = recv (fd, data + len, sizeof data - 1 - len, 0);

      if (got <= 0)
        return false;
      len += (size_t)got;
      data[len] = '\0';
      if (strstr (data, "\r\n\r\n") != NULL)
        return true;
    }
  return false;
}

static void *
serve (void *ctx)
{
  static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  struct server *server = ctx;
  int fd;

  while ((fd = accept (server->fd, NULL, NULL)) >= 0)
    {
      struct linger reset = { .l_onoff = 1 };

      g_atomic_int_inc (&server->connections);
      for (int i = 0; i < server->requests_max && read_request (fd); i++)
        {
          g_usleep (server->delay_us);
          (void)send (fd, answer, sizeof answer - 1, MSG_NOSIGNAL);
        }
      /* The client has to take the answer before it sees the end. */
      g_usleep (20000);
      if (server->end == END_RESET)
        (void)setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      if (server->end == END_KEEP)
        server->open_fd = fd;
      else
        close (fd);
    }
  return NULL;
}

static void
server_start (struct server *server)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  socklen_t len = sizeof in;

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->open_fd = -1;
  server->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (server->fd < 0
      || bind (server->fd, (struct sockaddr *)&in, sizeof in) != 0
      || listen (server->fd, 8) != 0
      || getsockname (server->fd, (struct sockaddr *)&in, &len) != 0
      || pthread_create (&server->thread, NULL, serve, server) != 0)
    abort ();
  g_snprintf (server->address, sizeof server->address, "127.0.0.1:%u",
              (unsigned int)ntohs (in.sin_port));
}

static void
server_stop (struct server *server)
{
  (void)shutdown (server->fd, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  close (server->fd);
  if (server->open_fd >= 0)
    close (server->open_fd);
}

/* Calls the server a number of times, one after the other, with a pause
 * between two calls. */
struct caller
{
  struct snipe_loop *loop;
  struct snipe_http_async *client;
  const char *address;
  int calls;
  int started;
  int statuses[CALLS_MAX];
  int ended;
  snipe_time overdue_after; /**< 0: not reported */
  int overdue;
  gulong block_us; /**< time that the thread does not run after each start */
  snipe_time pause;
  snipe_time next_call;
};

static void
on_done (void *ctx, int http_status, const struct snipe_str *body)
{
  struct caller *caller = ctx;

  (void)body;
  caller->statuses[caller->ended++] = http_status;
  caller->next_call = snipe_clock_now () + caller->pause;
}

static void
on_overdue (void *ctx, bool connected)
{
  (void)connected;
  ((struct caller *)ctx)->overdue++;
}

static snipe_time
on_tick (void *ctx, snipe_time now)
{
  struct caller *caller = ctx;

  if (caller->started == caller->ended && now >= caller->next_call)
    {
      struct snipe_http_async_request request
          = { .method = "GET",
              .address = caller->address,
              .path = "/",
              .timeout = 20 * SNIPE_S,
              .done = on_done,
              .overdue = caller->overdue_after > 0 ? on_overdue : NULL,
              .overdue_after = caller->overdue_after,
              .ctx = caller };

      if (caller->started == caller->calls)
        snipe_loop_stop (caller->loop);
      else
        {
          caller->started++;
          snipe_http_async_call (caller->client, &request);
        }
    }
  else if (caller->block_us > 0 && caller->started > caller->ended)
    {
      /* The request has been sent by now. */
      g_usleep (caller->block_us);
      caller->block_us = 0;
    }
  return 10 * SNIPE_MS;
}

static snipe_time
cpu_time (void)
{
  struct timespec time;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
  return time.tv_sec * SNIPE_S + time.tv_nsec / 1000;
}

/* Guards against an event loop that spins because the server has closed or
 * reset a connection that is kept for reuse (2.0 s of CPU time in 2 s until
 * libcurl dropped it), and against a kept connection that is not watched any
 * more when it is used again. */
static void
test_idle_connections (void)
{
  static const struct
  {
    const char *name;
    enum connection_end end;
  } cases[] = {
    { "left open", END_KEEP },
    { "closed", END_CLOSE },
    { "reset", END_RESET },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct server server = { .end = cases[i].end, .requests_max = 1 };
      struct caller caller = { .calls = cases[i].end == END_KEEP ? 1 : 2,
                               .pause = 500 * SNIPE_MS };
      snipe_time used;

      server_start (&server);
      caller.address = server.address;
      CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&caller.loop), SNIPE_OK);
      CU_ASSERT_EQUAL_FATAL (
          snipe_http_async_new (&caller.client, caller.loop, 8), SNIPE_OK);
      used = cpu_time ();
      snipe_loop_run (caller.loop, on_tick, &caller);
      used = cpu_time () - used;
      for (int k = 0; k < caller.calls; k++)
        CU_ASSERT_EQUAL (caller.statuses[k], 200);
      CU_ASSERT_EQUAL (caller.ended, caller.calls);
      CU_ASSERT_EQUAL (g_atomic_int_get (&server.connections), caller.calls);
      /* A tenth of the time that the connections were idle. */
      if (used > caller.calls * caller.pause / 10)
        printf ("\n  %s: %" G_GINT64_FORMAT " us of CPU time", cases[i].name,
                used);
      CU_ASSERT_TRUE (used <= caller.calls * caller.pause / 10);
      snipe_http_async_free (caller.client);
      snipe_loop_free (caller.loop);
      server_stop (&server);
    }
}

/* Guards against a call that loses its connection and its answer because it
 * takes long, and against an answer that has arrived but is taken for overdue
 * because this process was stopped. */
static void
test_overdue_calls (void)
{
  static const struct
  {
    const char *name;
    gulong delay_us;
    snipe_time overdue_after;
    gulong block_us;
    int calls;
    int overdue;
  } cases[] = {
    { "in time", 0, 10 * SNIPE_S, 0, 2, 0 },
    { "late", 300000, 50 * SNIPE_MS, 0, 2, 2 },
    { "not reported", 100000, 0, 0, 2, 0 },
    { "caller stopped", 100000, 1 * SNIPE_S, 1500000, 1, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct server server = { .end = END_KEEP,
                               .requests_max = cases[i].calls,
                               .delay_us = cases[i].delay_us };
      struct caller caller = { .calls = cases[i].calls,
                               .overdue_after = cases[i].overdue_after,
                               .block_us = cases[i].block_us };

      server_start (&server);
      caller.address = server.address;
      CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&caller.loop), SNIPE_OK);
      CU_ASSERT_EQUAL_FATAL (
          snipe_http_async_new (&caller.client, caller.loop, 8), SNIPE_OK);
      snipe_loop_run (caller.loop, on_tick, &caller);
      for (int k = 0; k < caller.calls; k++)
        CU_ASSERT_EQUAL (caller.statuses[k], 200);
      if (caller.overdue != cases[i].overdue)
        printf ("\n  %s: %d overdue", cases[i].name, caller.overdue);
      CU_ASSERT_EQUAL (caller.overdue, cases[i].overdue);
      CU_ASSERT_EQUAL (g_atomic_int_get (&server.connections), 1);
      snipe_http_async_free (caller.client);
      snipe_loop_free (caller.loop);
      server_stop (&server);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "idle connections", test_idle_connections },
    { "overdue calls", test_overdue_calls },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("http_async", tests);
}
