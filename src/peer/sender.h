/**
 * @file sender.h
 * One sender thread of a peer network. It owns the connections to the peers
 * assigned to it, so that only one thread uses a CLIENT of libtirpc.
 */
#ifndef SNIPE_PEER_SENDER_H
#define SNIPE_PEER_SENDER_H

#include <netinet/in.h>
#include "peer/net.h"
#include "peer/proc.h"

struct snipe_peer_sender;

/** A peer. Only its sender's thread uses it, except for the first three
 * fields, which do not change. */
struct snipe_peer
{
  char *address_text;
  struct sockaddr_in address;
  struct snipe_peer_sender *sender;
  CLIENT *client; /**< NULL while there is no connection */
  int fd;
  snipe_time retry_at; /**< earliest time of the next connection attempt */
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
/** Stops the thread. Queued calls complete with SNIPE_E_UNREACHABLE, the call
 * in progress with SNIPE_E_TIMEOUT; later calls are rejected. */
void snipe_peer_sender_stop (struct snipe_peer_sender *sender);
/** Frees a stopped sender. */
void snipe_peer_sender_free (struct snipe_peer_sender *sender);
/** Queues @p call and takes ownership of it.
 * @return 0, or SNIPE_E_DRAINING if the sender is stopping; then @p call stays
 * with the caller */
int snipe_peer_sender_enqueue (struct snipe_peer_sender *sender,
                               struct snipe_peer_sender_call *call);
/** Assigns @p peer to this sender, whose thread closes the peer's connection
 * when it stops. */
int snipe_peer_sender_assign (struct snipe_peer_sender *sender,
                              struct snipe_peer *peer);

#endif
