#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/callbacks.h"
#include "snipe/status.h"
#include "suite.h"

#define START (1000 * SNIPE_S)

static int
listen_on_loopback (char *address, size_t size)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  socklen_t len = sizeof in;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0 || bind (fd, (struct sockaddr *)&in, sizeof in) != 0
      || listen (fd, 8) != 0
      || getsockname (fd, (struct sockaddr *)&in, &len) != 0)
    abort ();
  g_snprintf (address, size, "127.0.0.1:%u",
              (unsigned int)ntohs (in.sin_port));
  return fd;
}

/* Guards against a host that joins others and claims their pools because it
 * calls the hosts that the store lists only with the next round of discovery,
 * up to 300 ms after it has read the list (inc-b16e: two hosts claimed one
 * pool within 320 ms). */
static void
test_listed_host_is_called (void)
{
  static const struct
  {
    const char *name;
    snipe_time listed; /**< time after the last round of discovery */
  } cases[] = {
    { "at once", 0 },
    { "just after the round", 10 * SNIPE_MS },
    { "before the next round", 290 * SNIPE_MS },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct snipe_node_options options = SNIPE_NODE_OPTIONS_INIT;
      struct snipe_node *node;
      struct pollfd poll_fd = { .events = POLLIN };
      snipe_time now = START;
      char address[32];

      poll_fd.fd = listen_on_loopback (address, sizeof address);
      options.name = "h";
      options.domain = "a";
      options.listen = "127.0.0.1:0";
      options.callbacks = (struct snipe_node_callbacks)NODE_CALLBACKS_INIT;
      CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&options.loop), SNIPE_OK);
      CU_ASSERT_EQUAL_FATAL (snipe_node_new (&node, &options, now), SNIPE_OK);
      snipe_node_tick (node, now);
      now += cases[i].listed;
      snipe_node_host_listed (node, address, now);
      /* The next tick, at most 50 ms later. */
      now += 50 * SNIPE_MS;
      snipe_node_tick (node, now);
      if (poll (&poll_fd, 1, 1000) != 1)
        {
          printf ("\n  %s: not called", cases[i].name);
          CU_FAIL ("listed host is not called");
        }
      snipe_node_free (node);
      snipe_loop_free (options.loop);
      close (poll_fd.fd);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "listed host is called", test_listed_host_is_called },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("discovery", tests);
}
