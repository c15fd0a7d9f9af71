/**
 * @file net.h
 * Calls between the daemons of different hosts over ONC RPC on TCP: one server
 * thread, and a fixed number of sender threads that share the connections to
 * all peers. rpcgen generates the message types from snipe_peer.x.
 */
#ifndef SNIPE_PEER_NET_H
#define SNIPE_PEER_NET_H

#include <stdint.h>
#include "peer/snipe_peer.h"
#include "snipe/clock.h"

struct snipe_peer_net;

/** Handlers of incoming calls. They run on the server thread, must not
 * block, and fill @p reply with memory from malloc, which the server frees
 * with xdr_free () after sending. Each returns 0, or a negative code to send
 * no reply, so that the call times out at the sender. */
struct snipe_peer_handlers
{
  int (*heartbeat) (void *ctx, const peer_load *args, peer_load *reply);
  int (*forward) (void *ctx, const peer_forward *args,
                  peer_forward_reply *reply);
  int (*answer) (void *ctx, const peer_answer *args);
  int (*run_batch) (void *ctx, const peer_batch *args,
                    peer_batch_reply *reply);
  int (*results) (void *ctx, const peer_results *args, peer_load *reply);
  int (*offer) (void *ctx, const peer_load *args, peer_load *reply);
  int (*get_rules) (void *ctx, const peer_load *args, peer_rules *reply);
};

struct snipe_peer_net_options
{
  unsigned int version;
  const char *listen;         /**< "ip:port", port 0: any free port */
  uint32_t sender_threads;    /**< default 4 */
  snipe_time connect_timeout; /**< default 250 ms */
  const struct snipe_peer_handlers *handlers;
  void *ctx; /**< first argument of the handlers */
};
#define SNIPE_PEER_NET_OPTIONS_VERSION 1
#define SNIPE_PEER_NET_OPTIONS_INIT                                           \
  {                                                                           \
    .version = SNIPE_PEER_NET_OPTIONS_VERSION, .sender_threads = 4,           \
    .connect_timeout = 250 * SNIPE_MS                                         \
  }

/** Opens the listening socket and starts the threads. */
int snipe_peer_net_new (struct snipe_peer_net **out,
                        const struct snipe_peer_net_options *options);
/** Stops the threads; queued calls complete with SNIPE_E_UNREACHABLE. */
void snipe_peer_net_free (struct snipe_peer_net *net);
/** @return the port that the server listens on. */
uint16_t snipe_peer_net_port (const struct snipe_peer_net *net);

/** A call; the procedure number selects the member of the union. The peer
 * network takes ownership of the arguments, which must be allocated with
 * malloc, and frees them with xdr_free (). */
struct snipe_peer_call
{
  uint32_t procedure; /**< PEER_HEARTBEAT, PEER_FORWARD, ... */
  union
  {
    peer_load load; /**< also PEER_OFFER and PEER_GET_RULES */
    peer_forward forward;
    peer_answer answer;
    peer_batch run_batch;
    peer_results results;
  } args;
};

/** A reply, valid during the callback; the procedure of the call selects the
 * member. */
union snipe_peer_reply
{
  peer_load load; /**< PEER_HEARTBEAT, PEER_OFFER, PEER_RESULTS */
  peer_forward_reply forward;
  peer_batch_reply run_batch;
  peer_rules rules;
};

/**
 * Completion callback of a call; runs exactly once per call, on a sender
 * thread.
 * @param status 0; SNIPE_E_UNREACHABLE if the request was certainly not
 * delivered; SNIPE_E_TIMEOUT if it may have been
 * @param reply NULL unless @p status is 0
 */
typedef void (*snipe_peer_done) (void *ctx, int status,
                                 union snipe_peer_reply *reply);

/**
 * Queues a call to the peer at @p address ("ip:port"). Calls to the same
 * address are sent in order over one persistent connection. A call is never
 * sent twice.
 * @param timeout counted from queueing
 * @return 0; on a negative code @p done is not called, but the arguments are
 * freed as well.
 */
int snipe_peer_net_call (struct snipe_peer_net *net, const char *address,
                         struct snipe_peer_call *call, snipe_time timeout,
                         snipe_peer_done done, void *ctx);

#endif
