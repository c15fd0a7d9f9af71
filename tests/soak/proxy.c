#include "soak/proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

struct proxy
{
  int fd;
  uint16_t port;
  uint16_t target;
  int mode;       /**< atomic enum proxy_mode */
  int delay_ms;   /**< atomic */
  int generation; /**< atomic; connections of earlier ones are reset */
};

struct connection
{
  struct proxy *proxy;
  int ends[2]; /**< caller's, server's */
  int generation;
};

static int
socket_to (uint16_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
reset (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

/* Moves what one end has sent. @return whether the connection goes on. */
static bool
move (struct connection *connection, int from)
{
  char data[16384];
  struct proxy *proxy = connection->proxy;
  int mode = g_atomic_int_get (&proxy->mode);
  int delay = g_atomic_int_get (&proxy->delay_ms);
  ssize_t got = recv (connection->ends[from], data, sizeof data, 0);
  ssize_t sent = 0;

  if (got <= 0)
    return false;
  if ((mode == PROXY_CUT_UP && from == 0)
      || (mode == PROXY_CUT_DOWN && from == 1))
    return true;
  if (delay > 0)
    g_usleep (1000 * (gulong)delay);
  while (sent < got)
    {
      ssize_t n = send (connection->ends[1 - from], data + sent,
                        (size_t)(got - sent), MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      sent += n;
    }
  return true;
}

static gpointer
run_connection (gpointer data)
{
  struct connection *connection = data;
  struct proxy *proxy = connection->proxy;
  bool open = connection->ends[1] >= 0;
  bool by_fault = false;

  while (open)
    {
      struct pollfd fds[2]
          = { { .fd = connection->ends[0], .events = POLLIN },
              { .fd = connection->ends[1], .events = POLLIN } };
      int mode = g_atomic_int_get (&proxy->mode);

      if (mode == PROXY_REFUSE
          || g_atomic_int_get (&proxy->generation) != connection->generation)
        {
          by_fault = true;
          break;
        }
      if (mode == PROXY_SILENT)
        {
          g_usleep (10000);
          continue;
        }
      if (poll (fds, 2, 20) <= 0)
        continue;
      for (int i = 0; i < 2 && open; i++)
        if (fds[i].revents != 0)
          open = move (connection, i);
    }
  for (int i = 0; i < 2; i++)
    if (connection->ends[i] >= 0)
      {
        if (by_fault)
          reset (connection->ends[i]);
        else
          close (connection->ends[i]);
      }
  g_free (connection);
  return NULL;
}

static gpointer
run_listener (gpointer data)
{
  struct proxy *proxy = data;

  for (;;)
    {
      int fd = accept4 (proxy->fd, NULL, NULL, SOCK_CLOEXEC);
      struct connection *connection;

      if (fd < 0)
        continue;
      connection = g_new0 (struct connection, 1);
      connection->proxy = proxy;
      connection->generation = g_atomic_int_get (&proxy->generation);
      connection->ends[0] = fd;
      connection->ends[1] = socket_to (proxy->target);
      g_thread_unref (g_thread_new ("proxy", run_connection, connection));
    }
  return NULL;
}

struct proxy *
proxy_new (uint16_t target)
{
  struct proxy *proxy = g_new0 (struct proxy, 1);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  proxy->target = target;
  proxy->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert (bind (proxy->fd, (struct sockaddr *)&address, sizeof address) == 0
            && listen (proxy->fd, 128) == 0
            && getsockname (proxy->fd, (struct sockaddr *)&address, &len)
                   == 0);
  proxy->port = ntohs (address.sin_port);
  g_thread_unref (g_thread_new ("proxy", run_listener, proxy));
  return proxy;
}

uint16_t
proxy_port (const struct proxy *proxy)
{
  return proxy->port;
}

void
proxy_set (struct proxy *proxy, enum proxy_mode mode, unsigned int delay_ms)
{
  g_atomic_int_set (&proxy->delay_ms, (int)delay_ms);
  g_atomic_int_set (&proxy->mode, (int)mode);
}

void
proxy_reset (struct proxy *proxy)
{
  g_atomic_int_inc (&proxy->generation);
}
