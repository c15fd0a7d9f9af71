/**
 * @file intake.h
 * Decides what a host takes from its clients: how many connections, and how
 * many bytes of request bodies at the same time. Clients may announce, send or
 * hold back anything, so that both are bounded by the host's memory and
 * descriptors. Pure, without a lock: an HTTP server of several threads calls
 * it under its own.
 */
#ifndef SNIPE_UTIL_INTAKE_H
#define SNIPE_UTIL_INTAKE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"

/** Memory of the platform's HTTP server for a connection: the largest header,
 * 16 KiB, the server's record of its fields, and the header of the answer. */
#define SNIPE_INTAKE_CONNECTION_BYTES ((size_t)32768)
/** Bytes of a body that each connection may use without a reservation, so that
 * large bodies never keep an ordinary job out: its spec has up to 4,000. */
#define SNIPE_INTAKE_OWN_BYTES ((size_t)8192)

enum snipe_intake_verdict
{
  SNIPE_INTAKE_TAKE,
  SNIPE_INTAKE_TOO_LARGE, /**< the body is over the limit */
  SNIPE_INTAKE_FULL,      /**< all bodies together would be */
};

/** A connection of a client. */
struct snipe_intake_client
{
  GList link;       /**< in the queue of those that may be closed */
  bool queued;      /**< whether it is there */
  bool closing;     /**< chosen to be closed, not counted any more */
  size_t reserved;  /**< bytes, of the shared ones */
  snipe_time since; /**< when it connected, or began its request or answer */
};

struct snipe_intake
{
  uint32_t connections_max;
  uint32_t connections;
  size_t shared_max; /**< bytes of all bodies beyond SNIPE_INTAKE_OWN_BYTES */
  size_t shared;
  GQueue idle; /**< clients whose requests are not being handled, the one that
                  has been so for longest first */
};

/** @param memory_mb of this process
 * @param max_fds that this process may open */
void snipe_intake_init (struct snipe_intake *intake, uint64_t memory_mb,
                        uint64_t max_fds);
/** Counts a new connection.
 * @return the connection to close for it, which may be itself; NULL: none. */
struct snipe_intake_client *
snipe_intake_connect (struct snipe_intake *intake,
                      struct snipe_intake_client *client, snipe_time now);
void snipe_intake_disconnect (struct snipe_intake *intake,
                              struct snipe_intake_client *client);
/** A request is complete and waits for its answer: its connection stays. */
void snipe_intake_begin_work (struct snipe_intake *intake,
                              struct snipe_intake_client *client);
/** A request begins, or an answer is ready to be sent. */
void snipe_intake_end_work (struct snipe_intake *intake,
                            struct snipe_intake_client *client,
                            snipe_time now);
/** Reserves memory for a body of @p size bytes, what is reserved for it
 * already included.
 * @param body_max largest body, bytes */
enum snipe_intake_verdict
snipe_intake_reserve (struct snipe_intake *intake,
                      struct snipe_intake_client *client, size_t size,
                      size_t body_max);
void snipe_intake_release (struct snipe_intake *intake,
                           struct snipe_intake_client *client);
/** @return the connection to close when reservations are used up: one whose
 * body has been under way for longer than @p time_max; NULL: none. */
struct snipe_intake_client *
snipe_intake_take_slow (struct snipe_intake *intake, snipe_time time_max,
                        snipe_time now);

#endif
