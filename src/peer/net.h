/**
 * @file net.h
 * Calls between entry daemons over ONC RPC on TCP: a server thread, and a
 * fixed number of sender threads that share the connections to all peers.
 * The message types are those that rpcgen makes from snipe_peer.x.
 */
#ifndef SNIPE_PEER_NET_H
#define SNIPE_PEER_NET_H

#include <stdint.h>
#include "peer/snipe_peer.h"
#include "snipe/clock.h"

struct snipe_peer_net;

/** Handlers of incoming calls. They run on the server thread, must not
 * block, and fill @p reply with memory from malloc, which the server frees
 * with xdr_free () after sending. Each returns 0, or negative to send no
 * reply (the sender then times out). */
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
  const char *listen;         /**< "ip:port", port 0: chosen by the system */
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

/** Starts listening and starts the threads. */
int snipe_peer_net_new (struct snipe_peer_net **out,
                        const struct snipe_peer_net_options *options);
/** Stops the threads; waiting calls end with SNIPE_E_UNREACHABLE. */
void snipe_peer_net_free (struct snipe_peer_net *net);
/** @return the port that the server listens on. */
uint16_t snipe_peer_net_port (const struct snipe_peer_net *net);

/** A call: tagged by the RPC procedure number. The net takes over the
 * arguments, which must come from malloc, and frees them by xdr_free (). */
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

/** The reply, valid during the callback; the member is the one of the
 * call's procedure. */
union snipe_peer_reply
{
  peer_load load; /**< PEER_HEARTBEAT, PEER_OFFER, PEER_RESULTS */
  peer_forward_reply forward;
  peer_batch_reply run_batch;
  peer_rules rules;
};

/**
 * End of a call, on a sender thread, exactly once per call.
 * @param status 0; SNIPE_E_UNREACHABLE if the request was surely not
 * delivered; SNIPE_E_TIMEOUT if it may have been. @p reply is NULL unless 0.
 */
typedef void (*snipe_peer_done) (void *ctx, int status,
                                 union snipe_peer_reply *reply);

/**
 * Queues a call to the peer at @p address ("ip:port"). Calls to one address
 * go out in order, on one kept connection. Never repeats a call.
 * @param timeout from the moment it is queued
 * @return 0; on a negative code @p done is not called and the arguments are
 * freed all the same.
 */
int snipe_peer_net_call (struct snipe_peer_net *net, const char *address,
                         struct snipe_peer_call *call, snipe_time timeout,
                         snipe_peer_done done, void *ctx);

#endif
