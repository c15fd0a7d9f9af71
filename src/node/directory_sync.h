/**
 * @file directory_sync.h
 * When a host reads the directory of endpoints, and from where. Pure.
 *
 * The row of an endpoint changes with each of its heartbeats, so following the
 * rows costs each host a data rate proportional to the number of endpoints: at
 * 100 hosts and 1,000 endpoints it was most of the 172 KB/s per host. So only
 * the domain leader follows them, and relays the changes to the other hosts of
 * its domain.
 */
#ifndef SNIPE_NODE_DIRECTORY_SYNC_H
#define SNIPE_NODE_DIRECTORY_SYNC_H

#include <stdbool.h>
#include "snipe/clock.h"

/** Relayed changes are not older, when they were read and on their way each.
 */
#define SNIPE_DIRECTORY_RELAY_AGE_MAX (300 * SNIPE_MS)

/** State of a host's directory synchronisation. */
struct snipe_directory_sync
{
  bool is_domain_leader; /**< it reads for the other hosts of its domain */
  bool owns_pool;
  /** An endpoint is listed, and the directory was read completely since the
   * store was last unreachable. */
  bool complete;
  /** An endpoint has crashed: it, or another one in its place, is listed again
   * soon. */
  bool awaits_endpoint;
  snipe_time last_relay; /**< last changes relayed by a peer, 0: never */
};

/** Where a host gets the directory from. */
enum snipe_directory_source
{
  SNIPE_DIRECTORY_SOURCE_STORE, /**< the store, for itself only */
  /** The store; it relays the changes to the others of its domain. */
  SNIPE_DIRECTORY_SOURCE_STORE_AS_LEADER,
  SNIPE_DIRECTORY_SOURCE_PEER, /**< changes relayed by a peer */
};

enum snipe_directory_source
snipe_directory_sync_source (const struct snipe_directory_sync *sync,
                             snipe_time now);
/** @param requested_at when this host last requested the directory
 * @return when the directory has to be read again. */
snipe_time snipe_directory_sync_due (const struct snipe_directory_sync *sync,
                                     snipe_time requested_at);
/** Tells whether relayed changes are recent enough to rely on. A host that was
 * paused or partitioned may relay changes that the others know to be outdated.
 * @param requested_at when the relaying host requested the changes
 * @param delay of its message */
bool snipe_directory_sync_is_fresh (snipe_time requested_at, snipe_time delay,
                                    snipe_time now);

#endif
