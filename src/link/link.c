#include "link/link.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/connection.h"
#include "snipe/status.h"
#include "util/address.h"

/* A connection breaks if sent data is unacknowledged for this long; less than
 * the failure timeout after which a host counts as lost. */
#define UNACKED_TIMEOUT_MS 500
/* Data queued for a peer that does not read. */
#define SEND_QUEUE_MAX_BYTES ((size_t)8 << 20)
/* Delay after a failed connection attempt. */
#define RETRY_DELAY (100 * SNIPE_MS)

/* Hosts of one site connect within a few milliseconds. An older attempt was
 * made while the other host was down. */
#define CONNECT_TIME_MAX (50 * SNIPE_MS)

/** A connection to or from a peer, watched by the event loop. */
struct channel
{
  struct snipe_link *link;
  struct snipe_loop_watch watch;
  struct snipe_peer_connection *connection;
  char address[64];     /**< outgoing only */
  uint64_t incarnation; /**< incoming only, after a heartbeat */
  snipe_time opened_at; /**< outgoing only */
  bool connecting;
  bool wait_writable; /**< has queued data, waits for EPOLLOUT */
};

struct snipe_link
{
  struct snipe_link_options options;
  struct snipe_loop_watch listener;
  uint16_t port;
  GHashTable *outgoing;    /**< address -> struct channel */
  GHashTable *retry_times; /**< address -> earliest next attempt */
  GPtrArray *incoming;
};

static void
channel_free (struct channel *channel)
{
  snipe_loop_remove (channel->link->options.loop, &channel->watch);
  snipe_peer_connection_free (channel->connection);
  g_free (channel);
}

static void
set_socket_options (int fd)
{
  int one = 1;
  unsigned int timeout = UNACKED_TIMEOUT_MS;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

/* Decodes an RPC call and passes its arguments to the callback. */
static int
on_record (void *ctx, struct snipe_peer_connection *connection)
{
  struct channel *channel = ctx;
  struct snipe_link *link = channel->link;
  struct snipe_link_message message;
  int status = snipe_link_decode (&message, connection->record,
                                  connection->record_len);

  if (status == SNIPE_OK)
    {
      if (message.procedure == LINK_SEND_HEARTBEAT)
        channel->incarnation = message.args.heartbeat.incarnation;
      link->options.received (link->options.ctx, channel->incarnation,
                              &message);
      snipe_link_message_clear (&message);
    }
  else
    g_warning ("link: closing a connection: cannot decode a record of "
               "%zu bytes",
               connection->record_len);
  return status;
}

static void
on_incoming (void *ctx, uint32_t events)
{
  struct channel *channel = ctx;
  struct snipe_link *link = channel->link;
  uint64_t incarnation;

  (void)events;
  if (snipe_peer_connection_read (channel->connection, on_record, channel)
      >= 0)
    return;
  incarnation = channel->incarnation;
  g_ptr_array_remove_fast (link->incoming, channel);
  if (incarnation != 0)
    link->options.closed (link->options.ctx, incarnation);
}

static struct channel *
channel_new (struct snipe_link *link, int fd,
             void (*ready) (void *ctx, uint32_t events))
{
  struct channel *channel = g_new0 (struct channel, 1);

  channel->link = link;
  channel->connection = snipe_peer_connection_new (fd);
  channel->watch
      = (struct snipe_loop_watch){ .fd = fd, .ready = ready, .ctx = channel };
  return channel;
}

static void
on_accept (void *ctx, uint32_t events)
{
  struct snipe_link *link = ctx;
  int fd
      = accept4 (link->listener.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  struct channel *channel;

  (void)events;
  if (fd < 0)
    return;
  set_socket_options (fd);
  channel = channel_new (link, fd, on_incoming);
  g_ptr_array_add (link->incoming, channel);
  snipe_loop_add (link->options.loop, &channel->watch, EPOLLIN);
}

static void
close_outgoing (struct channel *channel, const char *why)
{
  struct snipe_link *link = channel->link;
  snipe_time *retry = g_new (snipe_time, 1);

  /* A connection that had been established is reopened without delay. */
  g_message ("link: event=lost peer=%s reason=%s", channel->address, why);
  *retry = snipe_clock_now () + (channel->connecting ? RETRY_DELAY : 0);
  g_hash_table_replace (link->retry_times, g_strdup (channel->address), retry);
  g_hash_table_remove (link->outgoing, channel->address);
}

static void
flush_channel (struct channel *channel)
{
  struct snipe_link *link = channel->link;
  bool pending;

  if (snipe_peer_connection_flush (channel->connection) < 0)
    {
      close_outgoing (channel, "write");
      return;
    }
  pending = channel->connection->out_len > 0;
  if (pending == channel->wait_writable)
    return;
  channel->wait_writable = pending;
  snipe_loop_change (link->options.loop, &channel->watch,
                     pending ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

static void
on_outgoing (void *ctx, uint32_t events)
{
  struct channel *channel = ctx;
  int error = 0;
  socklen_t len = sizeof error;

  getsockopt (channel->watch.fd, SOL_SOCKET, SO_ERROR, &error, &len);
  if (error == ECONNREFUSED && channel->link->options.refused != NULL)
    channel->link->options.refused (channel->link->options.ctx,
                                    channel->address);
  if (error != 0 || (events & (EPOLLERR | EPOLLHUP)))
    {
      close_outgoing (channel, error != 0 ? g_strerror (error) : "closed");
      return;
    }
  if (events & EPOLLIN)
    {
      char byte;

      /* The peer sends nothing on this connection; it can only close it. */
      if (recv (channel->watch.fd, &byte, 1, 0) == 0)
        {
          close_outgoing (channel, "closed");
          return;
        }
    }
  if (events & EPOLLOUT)
    {
      channel->connecting = false;
      flush_channel (channel);
    }
}

static struct channel *
open_channel (struct snipe_link *link, const char *address)
{
  const snipe_time *retry = g_hash_table_lookup (link->retry_times, address);
  struct sockaddr_in to;
  struct channel *channel;
  int fd;

  if (retry != NULL && snipe_clock_now () < *retry)
    return NULL;
  if (snipe_address_parse (&to, address) < 0)
    return NULL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  set_socket_options (fd);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) < 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  channel = channel_new (link, fd, on_outgoing);
  g_strlcpy (channel->address, address, sizeof channel->address);
  channel->opened_at = snipe_clock_now ();
  channel->connecting = true;
  channel->wait_writable = true;
  g_hash_table_insert (link->outgoing, channel->address, channel);
  snipe_loop_add (link->options.loop, &channel->watch, EPOLLIN | EPOLLOUT);
  if (link->options.opened != NULL)
    link->options.opened (link->options.ctx, address);
  return channel;
}

int
snipe_link_send_encoded (struct snipe_link *link, const char *address,
                         const struct snipe_str *message)
{
  struct channel *channel = g_hash_table_lookup (link->outgoing, address);
  char *data;

  if (message->data == NULL)
    return snipe_status_set (SNIPE_E_INVALID, "cannot send an empty message");
  if (channel == NULL)
    channel = open_channel (link, address);
  if (channel == NULL)
    return snipe_status_set (SNIPE_E_UNREACHABLE, "no connection to %s",
                             address);
  if (channel->connection->out_len > SEND_QUEUE_MAX_BYTES)
    return snipe_status_set (SNIPE_E_UNREACHABLE, "send queue to %s is full",
                             address);
  data = snipe_peer_connection_reserve (channel->connection,
                                        (uint32_t)message->len);
  if (data == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for a queued message");
  memcpy (data, message->data, message->len);
  if (!channel->connecting)
    flush_channel (channel);
  return SNIPE_OK;
}

int
snipe_link_send (struct snipe_link *link, const char *address,
                 const struct snipe_link_message *message)
{
  struct snipe_str encoded = SNIPE_STR_INIT;
  int status = snipe_link_encode (&encoded, message);

  if (status == SNIPE_OK)
    status = snipe_link_send_encoded (link, address, &encoded);
  snipe_str_clear (&encoded);
  return status;
}

snipe_time
snipe_link_age (const struct snipe_link *link, const char *address,
                snipe_time now)
{
  const struct channel *channel
      = g_hash_table_lookup (link->outgoing, address);

  return channel == NULL ? INT64_MAX : now - channel->opened_at;
}

void
snipe_link_reset (struct snipe_link *link, const char *address)
{
  struct channel *channel = g_hash_table_lookup (link->outgoing, address);

  if (channel != NULL)
    {
      close_outgoing (channel, "silent");
      g_hash_table_remove (link->retry_times, address);
    }
}

void
snipe_link_retry (struct snipe_link *link, const char *address, snipe_time now)
{
  struct channel *channel = g_hash_table_lookup (link->outgoing, address);

  if (channel != NULL && channel->connecting
      && now - channel->opened_at > CONNECT_TIME_MAX)
    close_outgoing (channel, "unanswered");
  g_hash_table_remove (link->retry_times, address);
}

static int
listen_on (struct snipe_link *link, const char *address)
{
  struct sockaddr_in at;
  socklen_t len = sizeof at;
  int one = 1;
  int fd;

  if (snipe_address_parse (&at, address) < 0)
    return SNIPE_E_INVALID;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return snipe_status_set (SNIPE_E_INTERNAL,
                             "cannot create the link's socket");
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&at, sizeof at) < 0 || listen (fd, 128) < 0
      || getsockname (fd, (struct sockaddr *)&at, &len) < 0)
    {
      int error = errno;

      close (fd);
      return snipe_status_set (SNIPE_E_INVALID, "cannot listen on %s: %s",
                               address, g_strerror (error));
    }
  link->port = ntohs (at.sin_port);
  link->listener
      = (struct snipe_loop_watch){ .fd = fd, .ready = on_accept, .ctx = link };
  return snipe_loop_add (link->options.loop, &link->listener, EPOLLIN);
}

int
snipe_link_new (struct snipe_link **out,
                const struct snipe_link_options *options)
{
  struct snipe_link *link;
  int status;

  if (options->version != SNIPE_LINK_OPTIONS_VERSION)
    return snipe_status_set (SNIPE_E_INVALID,
                             "unknown version %u of link options",
                             options->version);
  link = g_new0 (struct snipe_link, 1);
  link->options = *options;
  link->listener.fd = -1;
  link->outgoing = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                          (GDestroyNotify)channel_free);
  link->retry_times
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  link->incoming
      = g_ptr_array_new_with_free_func ((GDestroyNotify)channel_free);
  status = listen_on (link, options->listen);
  if (status < 0)
    {
      snipe_link_free (link);
      return status;
    }
  *out = link;
  return SNIPE_OK;
}

void
snipe_link_free (struct snipe_link *link)
{
  if (link == NULL)
    return;
  g_hash_table_destroy (link->outgoing);
  g_hash_table_destroy (link->retry_times);
  g_ptr_array_free (link->incoming, TRUE);
  if (link->listener.fd >= 0)
    {
      snipe_loop_remove (link->options.loop, &link->listener);
      close (link->listener.fd);
    }
  g_free (link);
}

uint16_t
snipe_link_port (const struct snipe_link *link)
{
  return link->port;
}
