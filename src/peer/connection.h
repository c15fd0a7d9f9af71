/**
 * @file connection.h
 * One accepted connection of the peer server: takes records of ONC RPC apart
 * (RFC 5531, section 11) and puts replies together, without blocking.
 *
 * libtirpc's own server transport is not used. Its blocking mode waits up to
 * 35 s for the rest of a record, and its non-blocking mode damages records of
 * more than one fragment and loops on fragments over 64 KiB.
 */
#ifndef SNIPE_PEER_CONNECTION_H
#define SNIPE_PEER_CONNECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct snipe_peer_connection
{
  int fd;
  unsigned char header[4]; /**< of the fragment that is being read */
  uint32_t header_len;
  uint32_t fragment_left;
  bool last_fragment;
  char *record;
  size_t record_len;
  size_t record_room;
  char *out; /**< replies that the socket has not taken yet */
  size_t out_len;
  size_t out_sent;
};

/** Receives one record. @return 0, or negative to close the connection. */
typedef int (*snipe_peer_on_record) (void *ctx,
                                     struct snipe_peer_connection *connection);

/** Takes over @p fd, which does not block. @return NULL without memory. */
struct snipe_peer_connection *snipe_peer_connection_new (int fd);
void snipe_peer_connection_free (struct snipe_peer_connection *connection);

/** Reads once and passes on the records that are complete.
 * @return 0, or negative to close the connection. */
int snipe_peer_connection_read (struct snipe_peer_connection *connection,
                                snipe_peer_on_record on_record, void *ctx);
/** Reserves room for a reply of @p len bytes as one record.
 * @return where it begins, NULL without memory */
char *snipe_peer_connection_reserve (struct snipe_peer_connection *connection,
                                     uint32_t len);
/** Writes what the socket takes. @return 0, or negative to close. */
int snipe_peer_connection_flush (struct snipe_peer_connection *connection);

#endif
