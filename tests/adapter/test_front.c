#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "front.h"
#include "suite.h"

#define REQUEST                                                               \
  "POST /jobs/0123456789abcdef HTTP/1.1\r\nHost: h.example:80\r\n"            \
  "Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\n{}"

/* Whether the loop cannot watch further connections of clients. */
static bool watches_fail;

/* In place of the C library's. */
int
epoll_ctl (int epoll_fd, int operation, int fd, struct epoll_event *event)
{
  if (__atomic_load_n (&watches_fail, __ATOMIC_RELAXED)
      && operation == EPOLL_CTL_ADD && event->events == EPOLLRDHUP)
    {
      errno = ENOSPC;
      return -1;
    }
  return (int)syscall (SYS_epoll_ctl, epoll_fd, operation, fd, event);
}

struct observed
{
  struct snipe_loop *loop;
  struct platform_front *front;
  snipe_time stop_at;
  int requests;
  int abandoned;
  bool answer;  /**< at once */
  int close_fd; /**< closed once a request has arrived, -1: none */
};

static void
on_request (void *ctx, struct platform_request *request)
{
  struct observed *observed = ctx;

  observed->requests++;
  CU_ASSERT_EQUAL (platform_request_verb (request), PLATFORM_SUBMIT);
  CU_ASSERT_STRING_EQUAL (platform_request_host (request), "h.example");
  CU_ASSERT_EQUAL (platform_request_client_timeout (request), 1500 * SNIPE_MS);
  if (observed->answer)
    platform_request_answer (request, 503, "{}", 1500 * SNIPE_MS);
}

static void
on_abandoned (void *ctx, struct platform_request *request)
{
  struct observed *observed = ctx;

  observed->abandoned++;
  platform_request_answer (request, 502, "", 0);
}

static bool
is_ready (void *ctx)
{
  (void)ctx;
  return true;
}

static snipe_time
on_tick (void *ctx, snipe_time now)
{
  struct observed *observed = ctx;

  if (observed->requests > 0 && observed->close_fd >= 0)
    {
      close (observed->close_fd);
      observed->close_fd = -1;
    }
  if (now >= observed->stop_at)
    snipe_loop_stop (observed->loop);
  return 10 * SNIPE_MS;
}

static int
open_connection (uint16_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

static int
connect_to (uint16_t port)
{
  int fd = open_connection (port);

  CU_ASSERT_TRUE (send (fd, REQUEST, strlen (REQUEST), 0) > 0);
  /* libmicrohttpd's thread reads the request and hands it to the loop. */
  g_usleep (100000);
  return fd;
}

struct front_case
{
  const char *name;
  bool close_before; /**< before the loop runs (process stopped) */
  bool close_during; /**< while the request waits for its answer */
  bool answer;
  int requests;
  int abandoned;
  bool unwatched;   /**< the loop cannot watch the client's connection */
  const char *text; /**< contained in the answer, NULL: answer is not read */
};

static uint16_t
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (
      bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  getsockname (fd, (struct sockaddr *)&address, &len);
  close (fd);
  return ntohs (address.sin_port);
}

/* Guards against executing a request whose client closed the connection while
 * this process was stopped and then sent the job to another host (task run
 * TWICE, soak seed 10), against working for clients that disconnected, and
 * against starting a job of which the caller's leaving would not be noticed.
 */
static void
test_requests (void)
{
  const struct front_case cases[] = {
    { "answered", false, false, true, 1, 0, false, "Retry-After: 2" },
    { "client disconnects while it waits", false, true, false, 1, 1, false,
      NULL },
    { "client disconnected before the request was read", true, false, true, 0,
      0, false, NULL },
    { "connection cannot be watched", false, false, true, 0, 0, true,
      "HTTP/1.1 503" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct front_case *row = &cases[i];
      struct observed observed = { .answer = row->answer, .close_fd = -1 };
      char listen[32];
      char ready[32];
      char text[1024] = "";
      uint16_t port = free_port ();
      struct platform_front_options options = { .listen = listen,
                                                .ready = ready,
                                                .body_max = 1024,
                                                .ctx = &observed,
                                                .request = on_request,
                                                .abandoned = on_abandoned,
                                                .is_ready = is_ready };
      int fd;

      snprintf (listen, sizeof listen, "127.0.0.1:%u", port);
      snprintf (ready, sizeof ready, "127.0.0.1:%u", free_port ());
      CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&observed.loop), 0);
      options.loop = observed.loop;
      CU_ASSERT_EQUAL_FATAL (platform_front_new (&observed.front, &options),
                             0);
      fd = connect_to (port);
      if (row->close_before)
        {
          close (fd);
          g_usleep (50000);
        }
      if (row->close_during)
        observed.close_fd = fd;
      __atomic_store_n (&watches_fail, row->unwatched, __ATOMIC_RELAXED);
      observed.stop_at = snipe_clock_now () + 100 * SNIPE_MS;
      snipe_loop_run (observed.loop, on_tick, &observed);
      __atomic_store_n (&watches_fail, false, __ATOMIC_RELAXED);
      if (row->text != NULL)
        CU_ASSERT_TRUE (recv (fd, text, sizeof text - 1, 0) > 0);
      if (!row->close_before && !row->close_during)
        close (fd);
      platform_front_free (observed.front);
      snipe_loop_free (observed.loop);
      if (observed.requests != row->requests)
        printf ("%s: %d requests\n", row->name, observed.requests);
      CU_ASSERT_EQUAL (observed.requests, row->requests);
      CU_ASSERT_EQUAL (observed.abandoned, row->abandoned);
      if (row->text != NULL)
        CU_ASSERT_PTR_NOT_NULL (strstr (text, row->text));
    }
}

/* Guards against reading and keeping bodies that are refused anyway, and
 * against handling such requests: a 503 promises that the job never runs. */
static void
test_refusals (void)
{
  static const struct
  {
    const char *name;
    uint64_t memory_mb; /* 0: none for bodies over 8 KiB */
    const char *request;
    const char *answer; /* "": the connection is closed */
  } cases[] = {
    { "announced over the limit", 256,
      "POST /j HTTP/1.1\r\nHost: h\r\nContent-Length: 20001\r\n\r\n",
      "HTTP/1.1 413" },
    { "GET over the limit", 256,
      "GET /j HTTP/1.1\r\nHost: h\r\nContent-Length: 20001\r\n\r\n",
      "HTTP/1.1 413" },
    { "no memory", 0,
      "POST /j HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n",
      "HTTP/1.1 503" },
    { "chunk over the limit", 256,
      "POST /j HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4e21\r\n",
      "" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct observed observed = { .answer = true, .close_fd = -1 };
      char *listen = g_strdup_printf ("127.0.0.1:%u", free_port ());
      char *ready = g_strdup_printf ("127.0.0.1:%u", free_port ());
      char *filler = g_strnfill (20001, 'a');
      char text[1024] = "";
      struct platform_front_options options
          = { .listen = listen,
              .ready = ready,
              .body_max = 20000,
              .memory_mb = cases[i].memory_mb,
              .max_fds = 1000,
              .ctx = &observed,
              .request = on_request,
              .abandoned = on_abandoned,
              .is_ready = is_ready };
      ssize_t got;
      int fd;

      CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&observed.loop), 0);
      options.loop = observed.loop;
      CU_ASSERT_EQUAL_FATAL (platform_front_new (&observed.front, &options),
                             0);
      fd = open_connection ((uint16_t)atoi (strchr (listen, ':') + 1));
      send (fd, cases[i].request, strlen (cases[i].request), MSG_NOSIGNAL);
      if (cases[i].answer[0] == '\0')
        send (fd, filler, strlen (filler), MSG_NOSIGNAL);
      got = recv (fd, text, sizeof text - 1, 0);
      if (!g_str_has_prefix (text, cases[i].answer))
        printf ("%s: %s\n", cases[i].name, text);
      CU_ASSERT_TRUE (g_str_has_prefix (text, cases[i].answer));
      CU_ASSERT_EQUAL (got > 0, cases[i].answer[0] != '\0');
      CU_ASSERT_EQUAL (strstr (text, "503") != NULL,
                       strstr (text, "Retry-After: 1") != NULL);
      CU_ASSERT_EQUAL (got > 0, strstr (text, "Connection: close") != NULL);
      observed.stop_at = snipe_clock_now () + 20 * SNIPE_MS;
      snipe_loop_run (observed.loop, on_tick, &observed);
      CU_ASSERT_EQUAL (observed.requests, 0);
      close (fd);
      platform_front_free (observed.front);
      snipe_loop_free (observed.loop);
      g_free (filler);
      g_free (ready);
      g_free (listen);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "requests", test_requests },
    { "refusals", test_refusals },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("front", tests);
}
