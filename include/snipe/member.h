/**
 * @file member.h
 * Membership: the hosts as this one sees them, and which of them owns each
 * pool. The module does no I/O; its view is built from heartbeats and from the
 * list of hosts in the store.
 *
 * Safety needs no consensus: an endpoint obeys the highest fencing token that
 * it has seen. Each claim of a pool has a unique token, and the highest one
 * owns the pool in every view. So views that differ for a moment cost rejected
 * requests, never a second start.
 */
#ifndef SNIPE_MEMBER_H
#define SNIPE_MEMBER_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"
#include "snipe/pool_id.h"

struct snipe_members;

struct snipe_claim
{
  struct snipe_pool_id pool;
  uint64_t token; /**< fencing token */
};

/** State of a host as advertised in its heartbeats. */
struct snipe_member
{
  uint64_t incarnation;
  char name[SNIPE_NAME_BYTES];
  char address[64]; /**< of its link, "ip:port" */
  char domain[SNIPE_NAME_BYTES];
  /** What it can carry, in thousandths of a core; less than its share of a
   * core if its link is slow. */
  uint32_t capacity;
  bool leaving;
  snipe_time heartbeat_interval; /**< longest time until its next message */
  uint32_t losses;     /**< how often it has declared this host lost */
  snipe_time list_age; /**< of its list of endpoints, INT64_MAX: unknown */
  /** Shortest transit time of this host's heartbeats to it, which includes the
   * difference of the two clocks; 0: unknown. */
  snipe_time transit;
  const struct snipe_claim *claims;
  uint32_t claim_count;
};

struct snipe_members_options
{
  unsigned int version;
  struct snipe_member self; /**< without claims */
  /** A host of this domain, or one that shares work with this host, counts as
   * lost if nothing was received from it for this long. Other hosts count as
   * lost when they exceed a multiple of the heartbeat interval that they
   * announced. */
  snipe_time failure_timeout;
  snipe_time settle_delay; /**< no pool is claimed before, from the start */
};
#define SNIPE_MEMBERS_OPTIONS_VERSION 1
#define SNIPE_MEMBERS_OPTIONS_INIT                                            \
  {                                                                           \
    .version = SNIPE_MEMBERS_OPTIONS_VERSION,                                 \
    .failure_timeout = 600 * SNIPE_MS, .settle_delay = 700 * SNIPE_MS         \
  }

int snipe_members_new (struct snipe_members **out,
                       const struct snipe_members_options *options,
                       snipe_time now);
void snipe_members_free (struct snipe_members *members);

enum snipe_heartbeat_effect
{
  SNIPE_HEARTBEAT_UNCHANGED,
  SNIPE_HEARTBEAT_CHANGED,   /**< it started to leave, or its claims changed */
  SNIPE_HEARTBEAT_NEW_HOST,  /**< it was not live before */
  SNIPE_HEARTBEAT_LOST_SELF, /**< it has since declared this host lost */
};

enum snipe_heartbeat_effect
snipe_members_handle_heartbeat (struct snipe_members *members,
                                const struct snipe_member *member,
                                snipe_time now);
/** Notes a message other than a heartbeat: the host is live. */
void snipe_members_message_received (struct snipe_members *members,
                                     uint64_t incarnation, snipe_time now);
/**
 * Records the transit time of a message from the host to this one.
 * @param sent by the sender's monotonic clock
 * @param now by the monotonic clock of this host
 */
void snipe_members_record_transit (struct snipe_members *members,
                                   uint64_t incarnation, snipe_time sent,
                                   snipe_time now);
/** @return by how much the transit of a message exceeded the fastest one of
 * the last ten seconds or more; INT64_MAX if the host is unknown. */
snipe_time snipe_members_delay (const struct snipe_members *members,
                                uint64_t incarnation, snipe_time sent,
                                snipe_time now);
/** Records a time, by the host's clock, up to which it has handled all that
 * its callers sent, and all cancellations that follow from it have arrived. */
void snipe_members_record_handled (struct snipe_members *members,
                                   uint64_t incarnation, snipe_time handled);
/** @return the shortest transit time of heartbeats from the host to this one,
 * which includes the difference of the two clocks; 0: unknown. */
snipe_time snipe_members_transit (const struct snipe_members *members,
                                  uint64_t incarnation);
/** @return the longest of the shortest round trips to the live hosts. */
snipe_time snipe_members_round_trip_max (const struct snipe_members *members);
/** @return a time of this host's clock that is not later than the moment at
 * which the clock of another one showed @p stamp: earlier by the shortest
 * transit time from here to there. 0: unknown, as that host has not told what
 * its clock showed when it heard this one. */
snipe_time snipe_members_local_time (const struct snipe_members *members,
                                     uint64_t incarnation, snipe_time stamp,
                                     snipe_time now);
/** @return snipe_members_local_time () of the latest time that was recorded
 * for the host. Messages that do not tell one do not count, as they may have
 * stood in their connection. */
snipe_time snipe_members_heard_at (const struct snipe_members *members,
                                   uint64_t incarnation, snipe_time now);
/** Notes that a message other than a heartbeat was sent to the host; it
 * replaces the heartbeat that is due next, unless the hosts share work. */
void snipe_members_message_sent (struct snipe_members *members,
                                 uint64_t incarnation, snipe_time now);
/** This host and the other one have unanswered work for each other, so each
 * has to detect the loss of the other quickly. */
void snipe_members_note_shared_work (struct snipe_members *members,
                                     uint64_t incarnation, snipe_time now);
/** @return the interval of the messages to the host. It grows with the number
 * of hosts, so that the total rate of heartbeats hardly does. */
snipe_time
snipe_members_heartbeat_interval (const struct snipe_members *members,
                                  uint64_t incarnation, snipe_time now);
/** @return the interval of the heartbeats to all hosts, also to those that got
 * another message: only heartbeats carry claims and the version of the
 * configuration. */
snipe_time
snipe_members_broadcast_interval (const struct snipe_members *members);
/** Notes that a heartbeat that announced @p interval was sent to the host. */
void snipe_members_heartbeat_sent (struct snipe_members *members,
                                   uint64_t incarnation, snipe_time interval,
                                   snipe_time now);
/** @return whether a heartbeat to the host is due: no message was sent to it
 * for the announced interval, or for the present one if that is shorter. */
bool snipe_members_heartbeat_due (const struct snipe_members *members,
                                  uint64_t incarnation, snipe_time now);
/**
 * @param since_received time since the host last received a message of this
 * one
 * @return whether it has missed so many messages that the connection to it
 *   seems to be stalled.
 */
bool snipe_members_outbound_stalled (const struct snipe_members *members,
                                     uint64_t incarnation,
                                     snipe_time since_received);
/** The host reported that it knows no live process at the address of this
 * one.
 * @return whether it has been live here for so long that it should have heard
 *   of this host, so that the connection to it seems to be stalled. */
bool snipe_members_outbound_unheard (const struct snipe_members *members,
                                     uint64_t incarnation, snipe_time now);
/** A connection of the host was reset: its process has ended, or only the
 * connection has. The host counts as lost unless a message arrives soon. */
void snipe_members_suspect (struct snipe_members *members,
                            uint64_t incarnation, snipe_time now);
/** The address refuses connections: the process there has ended. */
void snipe_members_address_refused (struct snipe_members *members,
                                    const char *address, snipe_time now);
bool snipe_members_is_live (const struct snipe_members *members,
                            uint64_t incarnation);
/** @return microseconds since the last message of the host, INT64_MAX if there
 * was none. */
snipe_time
snipe_members_time_since_received (const struct snipe_members *members,
                                   uint64_t incarnation, snipe_time now);
/** @return whether no other host is live, although some were. */
bool snipe_members_is_isolated (const struct snipe_members *members);
/**
 * Finds the live host with the newest list of endpoints.
 * @param skipped incarnation of a host that does not count, 0: none
 * @param read_at when the list was read, as far as it is known; 0: no host has
 * one
 * @return the host's incarnation, 0: none
 */
uint64_t snipe_members_newest_list (const struct snipe_members *members,
                                    uint64_t skipped, snipe_time *read_at,
                                    snipe_time now);
/** @return how often this host has declared the other one lost. */
uint32_t snipe_members_loss_count (const struct snipe_members *members,
                                   uint64_t incarnation);
/**
 * Detects hosts that have timed out; to be called every few milliseconds.
 * @return the incarnation of a host that was lost, each once, or 0.
 */
uint64_t snipe_members_next_lost (struct snipe_members *members,
                                  snipe_time now);
/** All other listed hosts are live: pools may be claimed from now on. */
void snipe_members_end_settling (struct snipe_members *members,
                                 snipe_time now);
/** This process was paused, or cut off from all other hosts: its view of them
 * is out of date, so it claims nothing until it has received their messages.
 */
void snipe_members_resume (struct snipe_members *members, snipe_time now);
void snipe_members_leave (struct snipe_members *members);

/** @return whether this host performs the tasks that one host per domain has
 * to perform: it is the largest live host of its domain, by its own view, that
 * is not leaving. While views differ, two hosts or none may be the leader. */
bool snipe_members_is_domain_leader (const struct snipe_members *members);
/**
 * @param since_received time since a message was received from a listed
 * address
 * @return whether this host has to remove the address from the list, because
 *   the host there was lost for good. A host that is live lists itself again.
 */
bool snipe_members_should_unlist (const struct snipe_members *members,
                                  snipe_time since_received);
/**
 * @param since_received time since a message was received from an address, or
 * since it was listed
 * @return the time until the next discovery heartbeat to that address.
 */
snipe_time snipe_members_discovery_interval (snipe_time since_received);
/** @return the incarnation of the live host other than this one that owns the
 * pool, 0: none is known. */
uint64_t snipe_members_pool_owner (const struct snipe_members *members,
                                   const struct snipe_pool_id *pool);
/** @return a live host other than this one, valid until the next call that
 * changes the view; NULL if there is none. */
const struct snipe_member *
snipe_members_find (const struct snipe_members *members, uint64_t incarnation);
/** Like snipe_members_find (), by the address of the host's link. */
const struct snipe_member *
snipe_members_find_by_address (const struct snipe_members *members,
                               const char *address);
/** @return the address of a host's link, also if the host was lost; NULL if it
 * is unknown. Valid until the next call that changes the view. */
const char *snipe_members_address (const struct snipe_members *members,
                                   uint64_t incarnation);
/** Calls @p visit for each live host other than this one. */
void snipe_members_each (const struct snipe_members *members,
                         void (*visit) (void *ctx,
                                        const struct snipe_member *member),
                         void *ctx);

enum snipe_ownership_action
{
  SNIPE_OWN_NONE,  /**< another host owns it, or should */
  SNIPE_OWN_CLAIM, /**< this host should claim it, with a token above @c token
                    */
  SNIPE_OWN_KEEP,  /**< this host owns it */
  SNIPE_OWN_RELEASE, /**< this host has a claim and has to release it */
};

struct snipe_ownership_result
{
  enum snipe_ownership_action action;
  uint64_t owner; /**< incarnation of the owner, 0: none is known */
  uint64_t token; /**< of the owner; SNIPE_OWN_CLAIM: highest known token */
};

/**
 * Decides who owns each pool. A pool without an owner goes to the host of its
 * domain with the fewest pools for its size, or to a host of another domain if
 * its own has none. A pool that has an owner stays there.
 * @param pools sorted by snipe_pool_id_compare ()
 * @param own_tokens tokens of this host's claims, 0: no claim
 * @param results one for each pool
 */
void snipe_members_plan_ownership (const struct snipe_members *members,
                                   const struct snipe_pool_id *pools,
                                   const uint64_t *own_tokens, uint32_t count,
                                   struct snipe_ownership_result *results,
                                   snipe_time now);

#endif
