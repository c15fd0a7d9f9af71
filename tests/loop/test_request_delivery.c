/* Guards against requests that are carried out at another time than their
 * caller knows of: sent a second time, or sent late, when another process
 * listens at the address. */
#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop/http_async.h"
#include "suite.h"

#define CONNECTIONS_MAX 32
#define CALLS_MAX 4
/* Connections that fill a backlog of 0, so that the kernel drops the SYN of
 * the next one. It is sent again after a second. */
#define BACKLOG_FILLERS 4
#define RETRANSMISSION_TIME (1 * SNIPE_S)
/* Upper limit of a case on a busy machine. */
#define CASE_TIME_MAX (20 * SNIPE_S)

enum server_mode
{
  SERVER_ANSWERS,
  SERVER_CLOSES, /**< its first connection, at the second request */
  SERVER_RESETS, /**< the same */
  SERVER_SILENT, /**< does not answer */
};

struct server
{
  enum server_mode mode;
  int listen_fd;
  char address[32];
  pthread_t thread;
  bool running;
  struct pollfd fds[CONNECTIONS_MAX + 1]; /**< the first one accepts */
  nfds_t count;
  int fillers[BACKLOG_FILLERS];
  int received; /**< atomic: requests */
  bool stop;    /**< atomic */
};

static void
server_end_connection (struct server *server, nfds_t i)
{
  struct linger reset = { .l_onoff = 1 };

  if (server->mode == SERVER_RESETS)
    (void)setsockopt (server->fds[i].fd, SOL_SOCKET, SO_LINGER, &reset,
                      sizeof reset);
  close (server->fds[i].fd);
  server->fds[i].fd = -1;
}

static void
server_read (struct server *server, nfds_t i)
{
  static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  char data[4096];
  ssize_t got = recv (server->fds[i].fd, data, sizeof data, 0);
  int received;

  if (got <= 0)
    {
      close (server->fds[i].fd);
      server->fds[i].fd = -1;
      return;
    }
  received = g_atomic_int_add (&server->received, 1) + 1;
  if (server->mode == SERVER_SILENT)
    return;
  if (server->mode != SERVER_ANSWERS && i == 1 && received == 2)
    {
      g_usleep (50000);
      server_end_connection (server, i);
      return;
    }
  (void)send (server->fds[i].fd, answer, sizeof answer - 1, MSG_NOSIGNAL);
}

static void *
serve (void *ctx)
{
  struct server *server = ctx;

  while (!__atomic_load_n (&server->stop, __ATOMIC_ACQUIRE))
    {
      (void)poll (server->fds, server->count, 10);
      for (nfds_t i = 1; i < server->count; i++)
        if (server->fds[i].fd >= 0 && server->fds[i].revents != 0)
          server_read (server, i);
      if (server->fds[0].revents != 0 && server->count <= CONNECTIONS_MAX)
        server->fds[server->count++]
            = (struct pollfd){ .fd = accept (server->listen_fd, NULL, NULL),
                               .events = POLLIN };
    }
  return NULL;
}

static void
server_listen (struct server *server, int backlog)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  socklen_t len = sizeof in;

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (server->listen_fd < 0
      || bind (server->listen_fd, (struct sockaddr *)&in, sizeof in) != 0
      || listen (server->listen_fd, backlog) != 0
      || getsockname (server->listen_fd, (struct sockaddr *)&in, &len) != 0)
    abort ();
  server->fds[0]
      = (struct pollfd){ .fd = server->listen_fd, .events = POLLIN };
  server->count = 1;
  g_snprintf (server->address, sizeof server->address, "127.0.0.1:%u",
              (unsigned int)ntohs (in.sin_port));
  for (int i = 0; i < BACKLOG_FILLERS; i++)
    server->fillers[i] = -1;
  for (int i = 0; backlog == 0 && i < BACKLOG_FILLERS; i++)
    {
      server->fillers[i]
          = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      (void)connect (server->fillers[i], (struct sockaddr *)&in, sizeof in);
    }
}

/* Accepts connections from now on. */
static void
server_run (struct server *server)
{
  server->running = true;
  if (pthread_create (&server->thread, NULL, serve, server) != 0)
    abort ();
}

static void
server_stop (struct server *server)
{
  __atomic_store_n (&server->stop, true, __ATOMIC_RELEASE);
  if (server->running)
    pthread_join (server->thread, NULL);
  for (nfds_t i = 0; i < server->count; i++)
    if (server->fds[i].fd >= 0)
      close (server->fds[i].fd);
  for (int i = 0; i < BACKLOG_FILLERS; i++)
    if (server->fillers[i] >= 0)
      close (server->fillers[i]);
}

struct step
{
  const char *method; /**< NULL: no further step */
  int server;
  snipe_time send_within;
  snipe_time timeout;
  bool overdue; /**< is reported */
  bool blocks;  /**< this thread does not run after the call */
  int status;
};

/** Makes one call after the other, and then waits for a while. */
struct caller
{
  struct snipe_loop *loop;
  struct snipe_http_async *client;
  struct server *servers;
  const struct step *steps;
  struct server *unblocked; /**< accepts connections after unblock_at */
  snipe_time unblock_at;
  snipe_time stop_at;
  snipe_time failed_at;
  int started;
  int ended;
  int statuses[CALLS_MAX];
  void (*between) (void *ctx, int ended); /**< before a call; may be NULL */
  void *ctx;
};

static void
on_done (void *ctx, int http_status, const struct snipe_str *body)
{
  struct caller *caller = ctx;

  (void)body;
  caller->statuses[caller->ended++] = http_status;
}

static void
on_overdue (void *ctx, bool connected)
{
  (void)connected;
  (void)ctx;
}

static void
start_call (struct caller *caller)
{
  const struct step *step = &caller->steps[caller->started++];
  struct snipe_http_async_request request
      = { .method = step->method,
          .address = caller->servers[step->server].address,
          .path = "/",
          .timeout = step->timeout,
          .send_until
          = step->send_within > 0 ? snipe_clock_now () + step->send_within : 0,
          .close_idle_on_timeout = true,
          .done = on_done,
          .overdue = step->overdue ? on_overdue : NULL,
          .overdue_after = 100 * SNIPE_MS,
          .ctx = caller };

  if (caller->between != NULL)
    caller->between (caller->ctx, caller->ended);
  snipe_http_async_call (caller->client, &request);
  if (step->blocks)
    g_usleep ((gulong)(2 * step->send_within));
}

static snipe_time
on_tick (void *ctx, snipe_time now)
{
  struct caller *caller = ctx;

  if (caller->unblocked != NULL && now >= caller->unblock_at)
    {
      server_run (caller->unblocked);
      caller->unblocked = NULL;
    }
  if (caller->started == caller->ended && caller->started < CALLS_MAX
      && caller->steps[caller->started].method != NULL)
    start_call (caller);
  else if ((caller->started == caller->ended && now >= caller->stop_at)
           || now >= caller->failed_at)
    snipe_loop_stop (caller->loop);
  return 10 * SNIPE_MS;
}

static void
caller_run (struct caller *caller, const char *name)
{
  snipe_time now = snipe_clock_now ();

  caller->stop_at += now;
  caller->unblock_at += now;
  caller->failed_at = now + CASE_TIME_MAX;
  CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&caller->loop), 0);
  CU_ASSERT_EQUAL_FATAL (
      snipe_http_async_new (&caller->client, caller->loop, 8), 0);
  snipe_loop_run (caller->loop, on_tick, caller);
  for (int i = 0; i < caller->started; i++)
    {
      if (caller->statuses[i] != caller->steps[i].status)
        printf ("\n  %s, call %d: status %d", name, i, caller->statuses[i]);
      CU_ASSERT_EQUAL (caller->statuses[i], caller->steps[i].status);
    }
  CU_ASSERT_EQUAL (caller->started, caller->ended);
  snipe_http_async_free (caller->client);
  snipe_loop_free (caller->loop);
}

/* Guards against a start that libcurl sends again when its kept connection
 * closes without a response: an endpoint that has restarted meanwhile carries
 * it out, although its owner has given the run up. */
static void
test_sent_once (void)
{
  static const struct
  {
    const char *name;
    enum server_mode mode;
    int received;
    struct step steps[CALLS_MAX];
  } cases[] = {
    { "closed",
      SERVER_CLOSES,
      2,
      { { .method = "POST", .timeout = SNIPE_S, .status = 200 },
        { .method = "POST", .timeout = SNIPE_S, .status = 0 } } },
    { "reset",
      SERVER_RESETS,
      2,
      { { .method = "POST", .timeout = SNIPE_S, .status = 200 },
        { .method = "POST", .timeout = SNIPE_S, .status = 0 } } },
    { "closed after it was overdue",
      SERVER_CLOSES,
      2,
      { { .method = "POST", .timeout = SNIPE_S, .status = 200 },
        { .method = "POST",
          .timeout = SNIPE_S,
          .send_within = 20 * SNIPE_MS,
          .overdue = true,
          .status = 0 } } },
    { "without effect",
      SERVER_CLOSES,
      3,
      { { .method = "POST", .timeout = SNIPE_S, .status = 200 },
        { .method = "GET", .timeout = SNIPE_S, .status = 200 } } },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct server server = { .mode = cases[i].mode };
      struct caller caller = { .servers = &server,
                               .steps = cases[i].steps,
                               .stop_at = 200 * SNIPE_MS };

      server_listen (&server, 8);
      server_run (&server);
      caller_run (&caller, cases[i].name);
      server_stop (&server);
      if (server.received != cases[i].received)
        printf ("\n  %s: %d requests", cases[i].name, server.received);
      CU_ASSERT_EQUAL (server.received, cases[i].received);
    }
}

/* Guards against a start that waits for its connection, whatever its age: it
 * is sent when the endpoint that its owner has given up is back. */
static void
test_sent_in_time (void)
{
  static const struct
  {
    const char *name;
    bool blocked;
    int received;
    struct step steps[CALLS_MAX];
  } cases[] = {
    { "late connection",
      true,
      0,
      { { .method = "POST",
          .timeout = 5 * SNIPE_S,
          .send_within = 200 * SNIPE_MS,
          .overdue = true,
          .status = SNIPE_HTTP_ASYNC_NOT_SENT } } },
    { "late connection, at any time",
      true,
      1,
      { { .method = "POST",
          .timeout = 10 * SNIPE_S,
          .overdue = true,
          .status = 200 } } },
    { "caller stopped",
      false,
      0,
      { { .method = "POST",
          .timeout = 5 * SNIPE_S,
          .send_within = 200 * SNIPE_MS,
          .overdue = true,
          .blocks = true,
          .status = SNIPE_HTTP_ASYNC_NOT_SENT } } },
    { "caller stopped, kept connection",
      false,
      1,
      { { .method = "POST", .timeout = 5 * SNIPE_S, .status = 200 },
        { .method = "POST",
          .timeout = 5 * SNIPE_S,
          .send_within = 200 * SNIPE_MS,
          .overdue = true,
          .blocks = true,
          .status = SNIPE_HTTP_ASYNC_NOT_SENT } } },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct server server = { .mode = SERVER_ANSWERS };
      struct caller caller
          = { .servers = &server,
              .steps = cases[i].steps,
              .unblocked = &server,
              .unblock_at = cases[i].blocked ? 300 * SNIPE_MS : 0,
              .stop_at = RETRANSMISSION_TIME + 500 * SNIPE_MS };

      server_listen (&server, cases[i].blocked ? 0 : 8);
      caller_run (&caller, cases[i].name);
      server_stop (&server);
      if (server.received != cases[i].received)
        printf ("\n  %s: %d requests", cases[i].name, server.received);
      CU_ASSERT_EQUAL (server.received, cases[i].received);
    }
}

static int warnings;

static GLogWriterOutput
count_warnings (GLogLevelFlags level, const GLogField *fields, gsize count,
                gpointer ctx)
{
  warnings += (level & G_LOG_LEVEL_WARNING) != 0;
  return g_log_writer_default (level, fields, count, ctx);
}

/* Guards against a connection that is not watched, so that its answer is not
 * read, because its descriptor is that of an earlier connection that was not
 * established: libcurl 7.88 closes that without its callback. */
static void
test_descriptor_used_again (void)
{
  static const struct step steps[CALLS_MAX] = {
    { .method = "POST",
      .server = 1,
      .timeout = 100 * SNIPE_MS,
      .status = SNIPE_HTTP_ASYNC_NOT_SENT },
    { .method = "POST", .timeout = 5 * SNIPE_S, .status = 200 },
    { .method = "POST", .timeout = 5 * SNIPE_S, .status = 200 },
  };
  struct server servers[2] = { { .mode = SERVER_ANSWERS }, { 0 } };
  struct caller caller = { .servers = servers, .steps = steps };

  server_listen (&servers[0], 8);
  server_listen (&servers[1], 0);
  server_run (&servers[0]);
  caller_run (&caller, "descriptor used again");
  server_stop (&servers[0]);
  server_stop (&servers[1]);
  CU_ASSERT_EQUAL (warnings, 0);
}

/** Descriptors that others open after a connection was not established. */
struct others
{
  int pairs[4][2];
};

static void
open_others (void *ctx, int ended)
{
  struct others *others = ctx;

  if (ended != 1)
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (others->pairs); i++)
    if (socketpair (AF_UNIX, SOCK_STREAM, 0, others->pairs[i]) != 0)
      abort ();
}

/* Guards against a timeout that shuts down a descriptor of another owner: the
 * connection that had its number was not established. */
static void
test_descriptor_of_others (void)
{
  static const struct step steps[CALLS_MAX] = {
    { .method = "POST",
      .timeout = 100 * SNIPE_MS,
      .status = SNIPE_HTTP_ASYNC_NOT_SENT },
    { .method = "POST", .timeout = 5 * SNIPE_S, .overdue = true, .status = 0 },
  };
  struct server server = { .mode = SERVER_SILENT };
  struct others others;
  struct caller caller = { .servers = &server,
                           .steps = steps,
                           .unblocked = &server,
                           .unblock_at = 300 * SNIPE_MS,
                           .between = open_others,
                           .ctx = &others };

  server_listen (&server, 0);
  caller_run (&caller, "descriptor of others");
  server_stop (&server);
  for (size_t i = 0; i < G_N_ELEMENTS (others.pairs); i++)
    {
      for (size_t k = 0; k < 2; k++)
        CU_ASSERT_EQUAL (send (others.pairs[i][k], "x", 1, MSG_NOSIGNAL), 1);
      close (others.pairs[i][0]);
      close (others.pairs[i][1]);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "sent once", test_sent_once },
    { "sent in time", test_sent_in_time },
    { "descriptor used again", test_descriptor_used_again },
    { "descriptor of others", test_descriptor_of_others },
    CU_TEST_INFO_NULL,
  };

  g_log_set_writer_func (count_warnings, NULL, NULL);
  return suite_run ("request_delivery", tests);
}
