/**
 * @file link.h
 * Messages between hosts: one-way ONC RPC calls over TCP, on the event loop.
 * Each host sends on the connections that it opened and receives on those that
 * its peers opened. A message may be lost if its connection breaks; senders
 * that need delivery send it again.
 */
#ifndef SNIPE_LINK_LINK_H
#define SNIPE_LINK_LINK_H

#include "link/snipe_link.h"
#include "loop/loop.h"
#include "snipe/str.h"

struct snipe_link;

/** A message, tagged by its procedure. */
struct snipe_link_message
{
  uint32_t procedure; /**< LINK_SEND_HEARTBEAT, ... */
  union
  {
    link_heartbeat heartbeat;
    link_load load;
    link_waiting waiting;
    link_batch batch;
    link_result result;
    link_cancel cancel;
    link_cancel_job cancel_job;
    link_config_request config_request;
    link_config config;
    link_drain drain;
    link_endpoint_changes endpoint_changes;
    link_losses losses;
    link_list_request list_request;
    link_list list;
    link_evacuation evacuation;
    link_batch_id batch_id;
  } args;
};

struct snipe_link_options
{
  unsigned int version;
  struct snipe_loop *loop;
  const char *listen; /**< "ip:port", port 0: chosen by the system */
  /** Handles a message; @p incarnation is that of the last heartbeat on the
   * same connection, 0 before the first one. The arguments are freed when it
   * returns. */
  void (*received) (void *ctx, uint64_t incarnation,
                    const struct snipe_link_message *message);
  /** A connection from that host to this one was closed or broke. */
  void (*closed) (void *ctx, uint64_t incarnation);
  /** A connection to @p address is being opened: a message sent from here
   * arrives first. It has to be a heartbeat, because the receiver drops
   * messages that arrive before one. */
  void (*opened) (void *ctx, const char *address);
  /** The connection to @p address was refused: no process listens there. */
  void (*refused) (void *ctx, const char *address);
  void *ctx;
};
#define SNIPE_LINK_OPTIONS_VERSION 1
#define SNIPE_LINK_OPTIONS_INIT                                               \
  {                                                                           \
    .version = SNIPE_LINK_OPTIONS_VERSION                                     \
  }

int snipe_link_new (struct snipe_link **out,
                    const struct snipe_link_options *options);
void snipe_link_free (struct snipe_link *link);
uint16_t snipe_link_port (const struct snipe_link *link);

/** Sends a message to the host at @p address and opens a connection to it if
 * there is none.
 * @return 0, or SNIPE_E_UNREACHABLE if the message certainly does not
 * arrive. */
int snipe_link_send (struct snipe_link *link, const char *address,
                     const struct snipe_link_message *message);
/** Encodes a message that is sent to several hosts. @p out is freed by
 * snipe_str_clear (). */
int snipe_link_encode (struct snipe_str *out,
                       const struct snipe_link_message *message);
/** Decodes a record that snipe_link_encode () has made.
 * @return 0, or SNIPE_E_INVALID if it is not a valid message. After 0, @p out
 * has to be cleared by snipe_link_message_clear (). */
int snipe_link_decode (struct snipe_link_message *out, const char *data,
                       size_t len);
void snipe_link_message_clear (struct snipe_link_message *message);
int snipe_link_send_encoded (struct snipe_link *link, const char *address,
                             const struct snipe_str *message);
/** To be called when the host at @p address turns out to be live. Abandons a
 * connection attempt that is still unanswered, with the messages queued on it,
 * so that the next message connects anew without delay. */
void snipe_link_retry (struct snipe_link *link, const char *address,
                       snipe_time now);
/** @return the time since the connection to @p address was opened, INT64_MAX
 * if there is none. */
snipe_time snipe_link_age (const struct snipe_link *link, const char *address,
                           snipe_time now);
/** Closes the connection to @p address, whose messages seem not to arrive. */
void snipe_link_reset (struct snipe_link *link, const char *address);

#endif
