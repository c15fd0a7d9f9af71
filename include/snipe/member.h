/**
 * @file member.h
 * The hosts as this one sees them, and which of them owns each pool. Pure:
 * a view is built from heartbeats and from the store's list of hosts.
 *
 * No agreement is needed for safety: an endpoint obeys the highest fencing
 * token it has seen. Each claim of a pool has a token of its own, and the
 * highest one owns the pool here too, so that views which differ for a moment
 * cost orders that are refused, never a second start.
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
  uint64_t token; /**< fencing token of the claim */
};

/** What a host says of itself. */
struct snipe_member
{
  uint64_t incarnation;
  char name[SNIPE_NAME_BYTES];
  char address[64]; /**< of its link, "ip:port" */
  char domain[SNIPE_NAME_BYTES];
  uint32_t cpu_millicores; /**< share of a core, in thousandths */
  bool leaving;
  snipe_time
      heartbeat_interval; /**< this host hears it again within this time */
  uint32_t losses;        /**< how often it has counted this host as lost */
  const struct snipe_claim *claims;
  uint32_t claim_count;
};

struct snipe_members_options
{
  unsigned int version;
  struct snipe_member self; /**< without claims */
  /** A host of this domain, or one that shares work with this one, is lost if
   * it is not heard for this long; others if they miss what they promised. */
  snipe_time failure_timeout;
  snipe_time settle_delay; /**< no claim before, counted from the start */
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
  SNIPE_HEARTBEAT_CHANGED,   /**< it leaves, or its claims are others */
  SNIPE_HEARTBEAT_NEW_HOST,  /**< it was not live before */
  SNIPE_HEARTBEAT_LOST_SELF, /**< it has given up this host, and its work,
                                since */
};

/** A heartbeat of a host. */
enum snipe_heartbeat_effect
snipe_members_handle_heartbeat (struct snipe_members *members,
                                const struct snipe_member *member,
                                snipe_time now);
/** Any other message of a host. */
void snipe_members_message_received (struct snipe_members *members,
                                     uint64_t incarnation, snipe_time now);
/** Notes the time that a message took from the host to this one.
 * @param sent by its steady clock, @param now by this host's */
void snipe_members_record_transit (struct snipe_members *members,
                                   uint64_t incarnation, snipe_time sent,
                                   snipe_time now);
/** @return how much longer a message was under way than the fastest of the
 * last ten seconds and more; INT64_MAX if the host is not known. */
snipe_time snipe_members_delay (const struct snipe_members *members,
                                uint64_t incarnation, snipe_time sent,
                                snipe_time now);
/** A message but a heartbeat was sent to the host: a sign of this one. */
void snipe_members_message_sent (struct snipe_members *members,
                                 uint64_t incarnation, snipe_time now);
/** This host and the other one have work for each other that is not answered:
 * each has to notice soon if the other is lost. */
void snipe_members_note_shared_work (struct snipe_members *members,
                                     uint64_t incarnation, snipe_time now);
/** @return how often the host has to hear this one, so that the heartbeats of
 * a host hardly grow with the fleet. */
snipe_time
snipe_members_heartbeat_interval (const struct snipe_members *members,
                                  uint64_t incarnation, snipe_time now);
/** @return how often all hosts get a heartbeat, also those that had another
 * message: only heartbeats tell of claims and of the configuration's version.
 */
snipe_time
snipe_members_broadcast_interval (const struct snipe_members *members);
/** A heartbeat with this promise was sent to the host. */
void snipe_members_heartbeat_sent (struct snipe_members *members,
                                   uint64_t incarnation, snipe_time promise,
                                   snipe_time now);
/** @return whether the host has to get a heartbeat by now: it had no other
 * message for as long as was promised, or as is due by now. */
bool snipe_members_heartbeat_due (const struct snipe_members *members,
                                  uint64_t incarnation, snipe_time now);
/** @param silence since the host last heard this one
 * @return whether it has missed so much that the connection to it seems to
 * carry nothing. */
bool snipe_members_outbound_stalled (const struct snipe_members *members,
                                     uint64_t incarnation, snipe_time silence);
/** A connection of the host broke: its process has ended, or only the
 * connection has. It counts as lost unless it is heard again soon. */
void snipe_members_suspect (struct snipe_members *members,
                            uint64_t incarnation, snipe_time now);
/** Nobody listens at the address: the process there has ended. */
void snipe_members_address_refused (struct snipe_members *members,
                                    const char *address, snipe_time now);
bool snipe_members_is_live (const struct snipe_members *members,
                            uint64_t incarnation);
/** @return microseconds since the host was heard, INT64_MAX: never. */
snipe_time snipe_members_silence (const struct snipe_members *members,
                                  uint64_t incarnation, snipe_time now);
/** @return how often the host was lost. */
uint32_t snipe_members_loss_count (const struct snipe_members *members,
                                   uint64_t incarnation);
/** Looks for hosts that fell silent; call it every few milliseconds.
 * @return the incarnation of one that is lost by now, each once, or 0. */
uint64_t snipe_members_next_lost (struct snipe_members *members,
                                  snipe_time now);
/** All other hosts are heard: pools may be claimed from now on. */
void snipe_members_end_settling (struct snipe_members *members,
                                 snipe_time now);
/** This host was stopped: it knows nothing of the others until it hears
 * them, and claims nothing before that. */
void snipe_members_resume (struct snipe_members *members, snipe_time now);
void snipe_members_leave (struct snipe_members *members);

/** @return whether this host does for the others of its domain what only one
 * of them needs to do: the largest live host that does not leave, by its view.
 * Views may differ for a moment; then two do it, or none. */
bool snipe_members_is_domain_leader (const struct snipe_members *members);
/** @param silent since a host was last heard at a listed address
 * @return whether this host has to take it off the list: it was lost for good.
 * One that lives lists itself again. */
bool snipe_members_should_unlist (const struct snipe_members *members,
                                  snipe_time silent);
/** @param silent since a host was last heard at an address, or was listed
 * there
 * @return pause until that address is greeted again. */
snipe_time snipe_members_discovery_interval (snipe_time silent);
/** @return the incarnation of the other live host that owns the pool, 0: none
 * is known. */
uint64_t snipe_members_pool_owner (const struct snipe_members *members,
                                   const struct snipe_pool_id *pool);
/** @return a live host but this one, until the next call that changes the
 * view; NULL if there is none. */
const struct snipe_member *
snipe_members_find (const struct snipe_members *members, uint64_t incarnation);
/** The same by the address of its link. */
const struct snipe_member *
snipe_members_find_by_address (const struct snipe_members *members,
                               const char *address);
/** Calls @p visit for each live host but this one. */
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
  SNIPE_OWN_RELEASE, /**< this host owns it and has to let go */
};

struct snipe_ownership_result
{
  enum snipe_ownership_action action;
  uint64_t owner; /**< incarnation of the host that has it, 0: none known */
  uint64_t token; /**< of that claim; the highest known for SNIPE_OWN_CLAIM */
};

/**
 * Decides who owns each pool. A pool without an owner goes to the host of its
 * domain with the least pools for its size, or to one of another domain if it
 * has none; a pool that has an owner stays.
 * @param pools sorted by snipe_pool_id_compare ()
 * @param own_tokens of this host's claims, 0: none
 * @param results one for each pool
 */
void snipe_members_plan_ownership (const struct snipe_members *members,
                                   const struct snipe_pool_id *pools,
                                   const uint64_t *own_tokens, uint32_t count,
                                   struct snipe_ownership_result *results,
                                   snipe_time now);

#endif
