#include "peer/connection.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/proc.h"
#include "snipe/status.h"

#define READ_BUFFER_BYTES 65536
#define LAST_FRAGMENT 0x80000000U
/* A larger record buffer is freed once its record has been handled. */
#define RECORD_KEEP_BYTES ((size_t)256 << 10)

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

/* Ensures that a buffer holds @p needed bytes. Callers pass the number of
 * bytes that have arrived, never the length that a header announces. */
static int
reserve (char **data, size_t *capacity, size_t needed)
{
  size_t new_capacity = 2 * *capacity + 512;
  char *resized;

  if (*data != NULL && needed <= *capacity)
    return SNIPE_OK;
  if (new_capacity < needed)
    new_capacity = needed;
  resized = realloc (*data, new_capacity);
  if (resized == NULL)
    return SNIPE_E_NOMEM;
  *data = resized;
  *capacity = new_capacity;
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
  /* If a record exactly fills libtirpc's buffer, libtirpc sends an empty last
   * fragment after it. Any other empty fragment is rejected, as a client could
   * send them without end. */
  if (connection->fragment_left == 0 && !connection->last_fragment)
    return SNIPE_E_INVALID;
  return SNIPE_OK;
}

static int
finish_record (struct snipe_peer_connection *connection,
               snipe_peer_on_record on_record, void *ctx)
{
  int status = on_record (ctx, connection);

  connection->record_len = 0;
  if (connection->record_capacity > RECORD_KEEP_BYTES)
    {
      free (connection->record);
      connection->record = NULL;
      connection->record_capacity = 0;
    }
  return status;
}

/* Appends data of the current fragment to the record.
 * @return the number of bytes used, or a negative code */
static ssize_t
consume_data (struct snipe_peer_connection *connection, const char *data,
              size_t len)
{
  if (len > connection->fragment_left)
    len = connection->fragment_left;
  if (reserve (&connection->record, &connection->record_capacity,
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
      ssize_t consumed = 1;

      if (connection->header_len < sizeof connection->header)
        {
          connection->header[connection->header_len++] = (unsigned char)*data;
          if (connection->header_len == sizeof connection->header)
            status = read_header (connection);
        }
      else
        consumed = consume_data (connection, data, len);
      if (consumed < 0)
        return (int)consumed;
      data += consumed;
      len -= (size_t)consumed;
      if (status >= 0 && connection->header_len == sizeof connection->header
          && connection->fragment_left == 0)
        {
          connection->header_len = 0;
          if (connection->last_fragment)
            status = finish_record (connection, on_record, ctx);
        }
    }
  return status;
}

int
snipe_peer_connection_read (struct snipe_peer_connection *connection,
                            snipe_peer_on_record on_record, void *ctx)
{
  char data[READ_BUFFER_BYTES];
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
  char *resized
      = realloc (connection->out, connection->out_len + sizeof header + len);
  char *start;

  if (resized == NULL)
    return NULL;
  connection->out = resized;
  start = resized + connection->out_len;
  memcpy (start, &header, sizeof header);
  connection->out_len += sizeof header + len;
  return start + sizeof header;
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
