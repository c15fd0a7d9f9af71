/**
 * @file relay.h
 * A relay between hosts on loopback, on the event loop of the test. Its open
 * connections can be made silent: nothing more is delivered on them, they are
 * not reset, and new ones work. The kernel goes on acknowledging what is sent
 * on them, so TCP_USER_TIMEOUT does not notice.
 */
#ifndef TESTS_NODE_RELAY_H
#define TESTS_NODE_RELAY_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop/loop.h"

struct relay_connection;

struct relay_end
{
  struct snipe_loop_watch watch; /**< fd -1: closed */
  struct relay_connection *connection;
};

struct relay_connection
{
  struct relay *relay;
  struct relay_end ends[2];
  bool silent;
};

struct relay
{
  struct snipe_loop *loop;
  struct snipe_loop_watch listener;
  uint16_t target_port; /**< on loopback */
  char address[32];
  GPtrArray *connections;
};

static inline void
relay_close_end (struct relay_end *end)
{
  if (end->watch.fd < 0)
    return;
  if (!end->connection->silent)
    snipe_loop_remove (end->connection->relay->loop, &end->watch);
  close (end->watch.fd);
  end->watch.fd = -1;
}

static inline void
relay_on_data (void *ctx, uint32_t events)
{
  struct relay_end *end = ctx;
  struct relay_connection *connection = end->connection;
  struct relay_end *other = &connection->ends[end == connection->ends];
  char data[16384];
  ssize_t received = recv (end->watch.fd, data, sizeof data, 0);

  (void)events;
  /* The tests send less than the socket buffers hold. */
  if (received > 0
      && send (other->watch.fd, data, (size_t)received, MSG_NOSIGNAL)
             == received)
    return;
  relay_close_end (&connection->ends[0]);
  relay_close_end (&connection->ends[1]);
}

static inline void
relay_on_accept (void *ctx, uint32_t events)
{
  struct relay *relay = ctx;
  struct relay_connection *connection = g_new0 (struct relay_connection, 1);
  struct sockaddr_in to
      = { .sin_family = AF_INET, .sin_port = htons (relay->target_port) };

  (void)events;
  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  connection->relay = relay;
  connection->ends[0].watch.fd
      = accept4 (relay->listener.fd, NULL, NULL, SOCK_CLOEXEC);
  connection->ends[1].watch.fd
      = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connection->ends[0].watch.fd < 0
      || connect (connection->ends[1].watch.fd, (struct sockaddr *)&to,
                  sizeof to)
             != 0)
    abort ();
  for (int i = 0; i < 2; i++)
    {
      struct relay_end *end = &connection->ends[i];

      end->connection = connection;
      end->watch.ready = relay_on_data;
      end->watch.ctx = end;
      fcntl (end->watch.fd, F_SETFL, O_NONBLOCK);
      snipe_loop_add (relay->loop, &end->watch, EPOLLIN);
    }
  g_ptr_array_add (relay->connections, connection);
}

/** The port of the target is set in relay->target_port before the first
 * connection. */
static inline struct relay *
relay_new (struct snipe_loop *loop)
{
  struct relay *relay = g_new0 (struct relay, 1);
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t len = sizeof at;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0 || bind (fd, (struct sockaddr *)&at, sizeof at) != 0
      || listen (fd, 16) != 0
      || getsockname (fd, (struct sockaddr *)&at, &len) != 0)
    abort ();
  g_snprintf (relay->address, sizeof relay->address, "127.0.0.1:%u",
              (unsigned int)ntohs (at.sin_port));
  relay->loop = loop;
  relay->connections = g_ptr_array_new_with_free_func (g_free);
  relay->listener = (struct snipe_loop_watch){ .fd = fd,
                                               .ready = relay_on_accept,
                                               .ctx = relay };
  snipe_loop_add (loop, &relay->listener, EPOLLIN);
  return relay;
}

/** Makes the connections silent that are open now, in both directions. */
static inline void
relay_silence (struct relay *relay)
{
  for (guint i = 0; i < relay->connections->len; i++)
    {
      struct relay_connection *connection
          = g_ptr_array_index (relay->connections, i);

      if (connection->silent || connection->ends[0].watch.fd < 0)
        continue;
      connection->silent = true;
      snipe_loop_remove (relay->loop, &connection->ends[0].watch);
      snipe_loop_remove (relay->loop, &connection->ends[1].watch);
    }
}

static inline void
relay_free (struct relay *relay)
{
  for (guint i = 0; i < relay->connections->len; i++)
    {
      struct relay_connection *connection
          = g_ptr_array_index (relay->connections, i);

      relay_close_end (&connection->ends[0]);
      relay_close_end (&connection->ends[1]);
    }
  snipe_loop_remove (relay->loop, &relay->listener);
  close (relay->listener.fd);
  g_ptr_array_free (relay->connections, TRUE);
  g_free (relay);
}

#endif
