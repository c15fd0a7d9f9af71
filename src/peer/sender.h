/**
 * @file sender.h
 * One sender thread of a peer net. It owns the connections to the peers that
 * are assigned to it, so that each CLIENT of libtirpc is used by one thread.
 */
#ifndef SNIPE_PEER_SENDER_H
#define SNIPE_PEER_SENDER_H

#include <netinet/in.h>
#include "peer/net.h"
#include "peer/proc.h"

struct snipe_peer_sender;

/** A peer; used by its sender's thread only, except for the first three
 * fields, which do not change. */
struct snipe_peer
{
  char *text;
  struct sockaddr_in address;
  struct snipe_peer_sender *sender;
  CLIENT *client; /**< NULL while there is no connection */
  int fd;
  snipe_time retry_at; /**< no connection is tried before */
};

struct snipe_peer_sender_call
{
  struct snipe_peer_sender_call *next;
  struct snipe_peer *peer;
  const struct snipe_peer_proc *proc;
  struct snipe_peer_call call;
  snipe_time deadline;
  snipe_peer_done done;
  void *ctx;
};

int snipe_peer_sender_new (struct snipe_peer_sender **out,
                           snipe_time connect_timeout);
/** Ends the thread. Queued calls end with SNIPE_E_UNREACHABLE, the one under
 * way with SNIPE_E_TIMEOUT; later ones are refused. */
void snipe_peer_sender_stop (struct snipe_peer_sender *sender);
/** Frees a stopped sender. */
void snipe_peer_sender_free (struct snipe_peer_sender *sender);
/** Takes over @p call. @return 0, or SNIPE_E_DRAINING and it is not taken. */
int snipe_peer_sender_add (struct snipe_peer_sender *sender,
                           struct snipe_peer_sender_call *call);
/** Makes this thread close the connection of @p peer when it ends. */
int snipe_peer_sender_adopt (struct snipe_peer_sender *sender,
                             struct snipe_peer *peer);

#endif
