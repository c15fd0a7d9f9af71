/**
 * @file connection.h
 * One accepted connection of a server: reassembles incoming ONC RPC records
 * (RFC 5531, section 11) and buffers outgoing ones, without blocking.
 *
 * libtirpc's own server transport is not used: its blocking mode waits up to
 * 35 s for the rest of a record, and its non-blocking mode corrupts records
 * of more than one fragment and loops on fragments larger than 64 KiB.
 */
#ifndef SNIPE_PEER_CONNECTION_H
#define SNIPE_PEER_CONNECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct snipe_peer_connection
{
  int fd;
  unsigned char header[4]; /**< of the fragment being read */
  uint32_t header_len;
  uint32_t fragment_left;
  bool last_fragment;
  char *record; /**< fragments of the current record received so far */
  size_t record_len;
  size_t record_capacity;
  char *out; /**< records not yet completely sent */
  size_t out_len;
  size_t out_sent;
};

/** Handles one complete record.
 * @return 0, or negative to close the connection */
typedef int (*snipe_peer_on_record) (void *ctx,
                                     struct snipe_peer_connection *connection);

/** Takes ownership of @p fd, a non-blocking socket.
 * @return NULL if out of memory; then @p fd stays with the caller */
struct snipe_peer_connection *snipe_peer_connection_new (int fd);
void snipe_peer_connection_free (struct snipe_peer_connection *connection);

/** Reads once and calls @p on_record for each record that is complete.
 * @return 0, or negative to close the connection */
int snipe_peer_connection_read (struct snipe_peer_connection *connection,
                                snipe_peer_on_record on_record, void *ctx);
/** Reserves space in the send buffer for a record with @p len bytes of data.
 * @return where the data starts, or NULL if out of memory */
char *snipe_peer_connection_reserve (struct snipe_peer_connection *connection,
                                     uint32_t len);
/** Sends as much of the buffer as the socket accepts without blocking.
 * @return 0, or negative to close the connection */
int snipe_peer_connection_flush (struct snipe_peer_connection *connection);

#endif
