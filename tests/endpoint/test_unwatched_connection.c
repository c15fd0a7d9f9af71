/* Guards against a connection that is not watched because its descriptor is
 * that of an earlier connection that was not established: libcurl 7.88 closes
 * that without its callback. */
#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "endpoint/client.h"
#include "suite.h"

#define CONNECTIONS_MAX 8
#define STARTS_MAX 4
/* Connections that fill a backlog of 0, so that the kernel drops the SYN of
 * the next one. */
#define BACKLOG_FILLERS 4
/* Upper limit of a start on a busy machine. */
#define START_TIME_MAX (5 * SNIPE_S)

struct server
{
  int listen_fd;
  char address[32];
  pthread_t thread;
  struct pollfd fds[CONNECTIONS_MAX + 1]; /**< the first one accepts */
  nfds_t count;
  int fillers[BACKLOG_FILLERS];
  bool stop; /**< atomic */
};

static void
server_read (struct server *server, nfds_t i)
{
  static const char answer[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"result\":1}";
  char data[4096];

  if (recv (server->fds[i].fd, data, sizeof data, 0) > 0)
    {
      (void)send (server->fds[i].fd, answer, sizeof answer - 1, MSG_NOSIGNAL);
      return;
    }
  close (server->fds[i].fd);
  server->fds[i].fd = -1;
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

enum endpoint_state
{
  ENDPOINT_SERVES,
  ENDPOINT_UNREACHABLE, /**< connecting to it times out */
  ENDPOINT_DOWN,        /**< refuses connections */
};

static void
server_start (struct server *server, enum endpoint_state state)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  socklen_t len = sizeof in;

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (server->listen_fd < 0
      || bind (server->listen_fd, (struct sockaddr *)&in, sizeof in) != 0
      || (state != ENDPOINT_DOWN
          && listen (server->listen_fd, state == ENDPOINT_SERVES ? 8 : 0) != 0)
      || getsockname (server->listen_fd, (struct sockaddr *)&in, &len) != 0)
    abort ();
  server->fds[0]
      = (struct pollfd){ .fd = server->listen_fd, .events = POLLIN };
  server->count = 1;
  g_snprintf (server->address, sizeof server->address, "127.0.0.1:%u",
              (unsigned int)ntohs (in.sin_port));
  for (int i = 0; i < BACKLOG_FILLERS; i++)
    server->fillers[i] = -1;
  for (int i = 0; state == ENDPOINT_UNREACHABLE && i < BACKLOG_FILLERS; i++)
    {
      server->fillers[i]
          = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      (void)connect (server->fillers[i], (struct sockaddr *)&in, sizeof in);
    }
  if (state == ENDPOINT_SERVES
      && pthread_create (&server->thread, NULL, serve, server) != 0)
    abort ();
}

static void
server_stop (struct server *server, enum endpoint_state state)
{
  __atomic_store_n (&server->stop, true, __ATOMIC_RELEASE);
  if (state == ENDPOINT_SERVES)
    pthread_join (server->thread, NULL);
  for (nfds_t i = 0; i < server->count; i++)
    if (server->fds[i].fd >= 0)
      close (server->fds[i].fd);
  for (int i = 0; i < BACKLOG_FILLERS; i++)
    if (server->fillers[i] >= 0)
      close (server->fillers[i]);
}

/** One start at a time. */
struct waiter
{
  GMutex lock;
  GCond ended;
  bool done;
  enum snipe_attempt_outcome outcome;
};

static void
on_done (void *ctx, struct snipe_start_result *result)
{
  struct waiter *waiter = ctx;

  g_mutex_lock (&waiter->lock);
  waiter->done = true;
  waiter->outcome = result->outcome;
  g_cond_signal (&waiter->ended);
  g_mutex_unlock (&waiter->lock);
}

/* Returns whether the start has ended in time. */
static bool
run_start (struct snipe_endpoint_client *client, const char *address,
           struct waiter *waiter)
{
  gint64 until = g_get_monotonic_time () + 2 * START_TIME_MAX;
  struct snipe_str body = SNIPE_STR_INIT;
  bool done;

  waiter->done = false;
  if (snipe_str_set (&body, "{}", 2) < 0
      || snipe_endpoint_client_start (client, address, &body, START_TIME_MAX,
                                      on_done, waiter)
             < 0)
    abort ();
  g_mutex_lock (&waiter->lock);
  while (!waiter->done
         && g_cond_wait_until (&waiter->ended, &waiter->lock, until))
    continue;
  done = waiter->done;
  g_mutex_unlock (&waiter->lock);
  return done;
}

static void
test_descriptor_used_again (void)
{
  static const struct
  {
    const char *name;
    enum endpoint_state states[2];
    struct
    {
      int endpoint;
      enum snipe_attempt_outcome outcome;
    } starts[STARTS_MAX];
  } cases[] = {
    { "served",
      { ENDPOINT_SERVES, ENDPOINT_SERVES },
      { { 1, SNIPE_ATTEMPT_OK },
        { 0, SNIPE_ATTEMPT_OK },
        { 1, SNIPE_ATTEMPT_OK },
        { 0, SNIPE_ATTEMPT_OK } } },
    { "timed out",
      { ENDPOINT_SERVES, ENDPOINT_UNREACHABLE },
      { { 1, SNIPE_ATTEMPT_NOT_CONNECTED },
        { 0, SNIPE_ATTEMPT_OK },
        { 1, SNIPE_ATTEMPT_NOT_CONNECTED },
        { 0, SNIPE_ATTEMPT_OK } } },
    { "refused",
      { ENDPOINT_SERVES, ENDPOINT_DOWN },
      { { 1, SNIPE_ATTEMPT_NOT_CONNECTED },
        { 0, SNIPE_ATTEMPT_OK },
        { 1, SNIPE_ATTEMPT_NOT_CONNECTED },
        { 0, SNIPE_ATTEMPT_OK } } },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct snipe_endpoint_client_options options
          = SNIPE_ENDPOINT_CLIENT_OPTIONS_INIT;
      struct server servers[2] = { 0 };
      struct snipe_endpoint_client *client;
      struct waiter waiter = { 0 };
      bool done = true;

      g_mutex_init (&waiter.lock);
      g_cond_init (&waiter.ended);
      for (size_t k = 0; k < 2; k++)
        server_start (&servers[k], cases[i].states[k]);
      options.threads = 1;
      options.connect_timeout = 100 * SNIPE_MS;
      CU_ASSERT_EQUAL_FATAL (snipe_endpoint_client_new (&client, &options), 0);
      for (size_t k = 0; k < STARTS_MAX && done; k++)
        {
          const char *address = servers[cases[i].starts[k].endpoint].address;

          done = run_start (client, address, &waiter);
          if (!done || waiter.outcome != cases[i].starts[k].outcome)
            printf ("\n  %s, start %zu: ended %d, outcome %d", cases[i].name,
                    k, (int)done, (int)waiter.outcome);
          CU_ASSERT_TRUE (done);
          CU_ASSERT_EQUAL (waiter.outcome, cases[i].starts[k].outcome);
        }
      snipe_endpoint_client_free (client);
      for (size_t k = 0; k < 2; k++)
        server_stop (&servers[k], cases[i].states[k]);
      g_mutex_clear (&waiter.lock);
      g_cond_clear (&waiter.ended);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "descriptor used again", test_descriptor_used_again },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("unwatched_connection", tests);
}
