#include "peer/connection.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/proc.h"
#include "snipe/status.h"

#define READ_BYTES 65536
#define LAST_FRAGMENT 0x80000000U
/* A record buffer above this is given back after its record. */
#define KEEP_BYTES ((size_t)256 << 10)

struct snipe_peer_connection *
snipe_peer_connection_new (int fd)
{
  struct snipe_peer_connection *connection = calloc (1, sizeof *connection);

  if (connection != NULL)
    connection->fd = fd;
  return connection;
}

void
snipe_peer_connection_free (struct snipe_peer_connection *connection)
{
  close (connection->fd);
  free (connection->record);
  free (connection->out);
  free (connection);
}

/* Grows a buffer by what has arrived, never by what a header announces. */
static int
reserve (char **data, size_t *room, size_t need)
{
  size_t wanted = 2 * *room + 512;
  char *grown;

  if (*data != NULL && need <= *room)
    return SNIPE_OK;
  if (wanted < need)
    wanted = need;
  grown = realloc (*data, wanted);
  if (grown == NULL)
    return SNIPE_E_NOMEM;
  *data = grown;
  *room = wanted;
  return SNIPE_OK;
}

static int
read_header (struct snipe_peer_connection *connection)
{
  uint32_t header;

  memcpy (&header, connection->header, sizeof header);
  header = ntohl (header);
  connection->last_fragment = (header & LAST_FRAGMENT) != 0;
  connection->fragment_left = header & ~LAST_FRAGMENT;
  if (connection->fragment_left
      > SNIPE_PEER_RECORD_MAX - connection->record_len)
    return SNIPE_E_TOO_LARGE;
  /* libtirpc ends a record that just fills its buffer with an empty last
   * fragment. Other empty fragments could go on for ever. */
  if (connection->fragment_left == 0 && !connection->last_fragment)
    return SNIPE_E_INVALID;
  return SNIPE_OK;
}

static int
end_record (struct snipe_peer_connection *connection,
            snipe_peer_on_record on_record, void *ctx)
{
  int status = on_record (ctx, connection);

  connection->record_len = 0;
  if (connection->record_room > KEEP_BYTES)
    {
      free (connection->record);
      connection->record = NULL;
      connection->record_room = 0;
    }
  return status;
}

/* Takes bytes of the present fragment. @return how many, or negative. */
static ssize_t
consume_data (struct snipe_peer_connection *connection, const char *data,
              size_t len)
{
  if (len > connection->fragment_left)
    len = connection->fragment_left;
  if (reserve (&connection->record, &connection->record_room,
               connection->record_len + len)
      < 0)
    return SNIPE_E_NOMEM;
  memcpy (connection->record + connection->record_len, data, len);
  connection->record_len += len;
  connection->fragment_left -= (uint32_t)len;
  return (ssize_t)len;
}

static int
consume (struct snipe_peer_connection *connection, const char *data,
         size_t len, snipe_peer_on_record on_record, void *ctx)
{
  int status = SNIPE_OK;

  while (len > 0 && status >= 0)
    {
      ssize_t taken = 1;

      if (connection->header_len < sizeof connection->header)
        {
          connection->header[connection->header_len++] = (unsigned char)*data;
          if (connection->header_len == sizeof connection->header)
            status = read_header (connection);
        }
      else
        taken = consume_data (connection, data, len);
      if (taken < 0)
        return (int)taken;
      data += taken;
      len -= (size_t)taken;
      if (status >= 0 && connection->header_len == sizeof connection->header
          && connection->fragment_left == 0)
        {
          connection->header_len = 0;
          if (connection->last_fragment)
            status = end_record (connection, on_record, ctx);
        }
    }
  return status;
}

int
snipe_peer_connection_read (struct snipe_peer_connection *connection,
                            snipe_peer_on_record on_record, void *ctx)
{
  char data[READ_BYTES];
  ssize_t got = recv (connection->fd, data, sizeof data, 0);

  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return SNIPE_OK;
  if (got <= 0)
    return SNIPE_E_UNREACHABLE;
  return consume (connection, data, (size_t)got, on_record, ctx);
}

char *
snipe_peer_connection_reserve (struct snipe_peer_connection *connection,
                               uint32_t len)
{
  uint32_t header = htonl (len | LAST_FRAGMENT);
  char *grown
      = realloc (connection->out, connection->out_len + sizeof header + len);
  char *begin;

  if (grown == NULL)
    return NULL;
  connection->out = grown;
  begin = grown + connection->out_len;
  memcpy (begin, &header, sizeof header);
  connection->out_len += sizeof header + len;
  return begin + sizeof header;
}

int
snipe_peer_connection_flush (struct snipe_peer_connection *connection)
{
  while (connection->out_sent < connection->out_len)
    {
      ssize_t sent
          = send (connection->fd, connection->out + connection->out_sent,
                  connection->out_len - connection->out_sent, MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0)
        return errno == EAGAIN ? SNIPE_OK : SNIPE_E_UNREACHABLE;
      connection->out_sent += (size_t)sent;
    }
  free (connection->out);
  connection->out = NULL;
  connection->out_len = 0;
  connection->out_sent = 0;
  return SNIPE_OK;
}
