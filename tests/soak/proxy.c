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
  int listen_fd;
  uint16_t port;
  uint16_t target_port;
  int mode;       /**< atomic enum proxy_mode */
  int delay_ms;   /**< atomic */
  int generation; /**< atomic; connections of an earlier one are reset */
};

struct connection
{
  struct proxy *proxy;
  int fds[2]; /**< to the client, to the server */
  int generation;
};

static int
connect_to (uint16_t port)
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
close_with_reset (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

/* Forwards a block of data from fds[@p from] to the other side.
 * @return whether the connection stays open. */
static bool
relay (struct connection *connection, int from)
{
  char data[16384];
  struct proxy *proxy = connection->proxy;
  int mode = g_atomic_int_get (&proxy->mode);
  int delay = g_atomic_int_get (&proxy->delay_ms);
  ssize_t received = recv (connection->fds[from], data, sizeof data, 0);
  ssize_t sent = 0;

  if (received <= 0)
    return false;
  if ((mode == PROXY_DROP_FROM_CLIENT && from == 0)
      || (mode == PROXY_DROP_FROM_SERVER && from == 1))
    return true;
  if (delay > 0)
    g_usleep (1000 * (gulong)delay);
  while (sent < received)
    {
      ssize_t n = send (connection->fds[1 - from], data + sent,
                        (size_t)(received - sent), MSG_NOSIGNAL);

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
  bool open = connection->fds[1] >= 0;
  bool reset = false;

  while (open)
    {
      struct pollfd fds[2]
          = { { .fd = connection->fds[0], .events = POLLIN },
              { .fd = connection->fds[1], .events = POLLIN } };
      int mode = g_atomic_int_get (&proxy->mode);

      if (mode == PROXY_RESET
          || g_atomic_int_get (&proxy->generation) != connection->generation)
        {
          reset = true;
          break;
        }
      if (mode == PROXY_STALL)
        {
          g_usleep (10000);
          continue;
        }
      if (poll (fds, 2, 20) <= 0)
        continue;
      for (int i = 0; i < 2 && open; i++)
        if (fds[i].revents != 0)
          open = relay (connection, i);
    }
  for (int i = 0; i < 2; i++)
    if (connection->fds[i] >= 0)
      {
        if (reset)
          close_with_reset (connection->fds[i]);
        else
          close (connection->fds[i]);
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
      int fd = accept4 (proxy->listen_fd, NULL, NULL, SOCK_CLOEXEC);
      struct connection *connection;

      if (fd < 0)
        continue;
      connection = g_new0 (struct connection, 1);
      connection->proxy = proxy;
      connection->generation = g_atomic_int_get (&proxy->generation);
      connection->fds[0] = fd;
      connection->fds[1] = connect_to (proxy->target_port);
      g_thread_unref (g_thread_new ("proxy", run_connection, connection));
    }
  return NULL;
}

struct proxy *
proxy_new (uint16_t target_port)
{
  struct proxy *proxy = g_new0 (struct proxy, 1);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  proxy->target_port = target_port;
  proxy->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert (
      bind (proxy->listen_fd, (struct sockaddr *)&address, sizeof address) == 0
      && listen (proxy->listen_fd, 128) == 0
      && getsockname (proxy->listen_fd, (struct sockaddr *)&address, &len)
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
proxy_set_mode (struct proxy *proxy, enum proxy_mode mode,
                unsigned int delay_ms)
{
  g_atomic_int_set (&proxy->delay_ms, (int)delay_ms);
  g_atomic_int_set (&proxy->mode, (int)mode);
}

void
proxy_reset_connections (struct proxy *proxy)
{
  g_atomic_int_inc (&proxy->generation);
}
