/**
 * @file private.h
 * Types shared by the files of the node.
 */
#ifndef SNIPE_NODE_PRIVATE_H
#define SNIPE_NODE_PRIVATE_H

#include <glib.h>
#include "link/link.h"
#include "node/directory.h"
#include "node/node.h"
#include "node/reading.h"

/* Bits of a fencing token that tell hosts apart; JSON numbers are exact up to
 * 2^53, which leaves 33 bits for the epoch. */
#define SNIPE_NODE_SLOT_BITS 20
/* No endpoint obeys a token this low; its refusal shows that it is reached. */
#define SNIPE_NODE_PROBE_TOKEN 1

/** Endpoints of a service in a domain, and how they are divided. */
struct group
{
  struct snipe_pool_id id; /**< with shard 0 */
  uint32_t endpoints;
};

/** An address that the store lists or that is a seed. */
struct listed_host
{
  snipe_time heard; /**< last time that a host was live there, or listed */
  snipe_time due;   /**< next greeting */
};

/** Reports of a pool's load to some of the hosts. */
struct load_report
{
  snipe_time due;
  uint64_t digest; /**< of what was reported last */
};

/** A pool that this host owns. */
struct held_pool
{
  struct snipe_node *node;
  struct snipe_pool_id id;
  uint64_t token;
  snipe_time claimed;
  struct snipe_pool *pool;
  snipe_time fenced_at;    /**< when a higher token was first met, 0: never */
  struct load_report near; /**< to the hosts of this domain */
  struct load_report far;  /**< to the others */
};

/** Something for this host itself. It waits until the call that caused it has
 * returned, because the pure modules are not entered twice. */
struct pending
{
  enum
  {
    PENDING_BATCH,
    PENDING_CANCEL,
    PENDING_RESULT,
    PENDING_ANSWER,
  } kind;
  union
  {
    struct
    {
      struct snipe_pool_id pool;
      struct snipe_pool_batch order; /**< its texts are owned */
    } batch;
    struct
    {
      uint64_t home;
      uint64_t number;
    } cancel;
    struct snipe_pool_result result; /**< its arrays are owned */
    struct
    {
      void *job_ctx;
      struct snipe_coordinator_answer value;
    } answer;
  } u;
};

/** A result that its home may not have received. */
struct kept_result
{
  struct snipe_pool_result result;
  snipe_time until; /**< kept */
};

struct snipe_node
{
  struct snipe_node_options options;
  uint64_t incarnation;
  uint64_t slot; /**< lowest bits of this host's tokens */
  char address[64];
  bool leaving;
  uint64_t store_version;
  uint64_t config_version;
  struct snipe_link *link;
  struct snipe_members *members;
  struct snipe_coordinator *home;
  GPtrArray *pools;      /**< struct held_pool */
  GPtrArray *groups;     /**< struct group */
  GArray *known_pools;   /**< struct snipe_pool_id, sorted */
  GHashTable *directory; /**< id -> struct snipe_endpoint_entry */
  uint64_t directory_changes;
  GHashTable *unlisted;   /**< id -> since when it is not listed any more */
  snipe_time store_since; /**< the store answers, 0: it does not */
  GHashTable *listed;     /**< address -> struct listed_host */
  bool hosts_read;        /**< listed is whole, and not settled yet */
  GQueue pending;
  GPtrArray *results; /**< struct kept_result */
  snipe_time silence;
  snipe_time last_tick;
  snipe_time hello_due; /**< heartbeats to all hosts */
  snipe_time check_due; /**< heartbeats to those that had no message */
  snipe_time greet_due;
  snipe_time owner_due;
  struct snipe_directory_freshness directory_age;
  snipe_time told_at; /**< when a peer last told of changes of the endpoints */
  enum snipe_reading_source source;
  bool being_told;              /**< while the changes are taken over */
  struct snipe_pool_id reached; /**< pool whose endpoints have answered */
  snipe_time reached_since;
  snipe_time reached_at;
  snipe_time probe_due;
  snipe_time outdated_since; /**< a peer has a newer configuration; 0: none */
  snipe_time fetch_due;
  snipe_time reset_at; /**< last connection that was given up as silent */
};

/* node.c */
void snipe_node_log (const struct snipe_node *node, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* endpoints.c */
/** Removes endpoints that are gone; notes who tells of them. */
void snipe_node_check_endpoints (struct snipe_node *node, snipe_time now);
/** @return whether an endpoint could run the job; @p ctx is the node. */
enum snipe_job_feasibility
snipe_node_fit (void *ctx, const struct snipe_coordinator_job *job,
                snipe_time now);

/* owners.c */
/** Claims pools and lets go of them, if it is time to decide. */
void snipe_node_decide_owners (struct snipe_node *node, snipe_time now);
/** An endpoint has answered a call with the probe's token, or has not. */
void snipe_node_note_probe (struct snipe_node *node, const char *endpoint,
                            enum snipe_endpoint_answer answer, snipe_time now);

/* groups.c */
/** @return the pool that an endpoint is in by the present division. */
struct snipe_pool_id
snipe_node_pool_of (const struct snipe_node *node,
                    const struct snipe_endpoint_entry *entry);
/** Divides the endpoints anew after their list was read. */
void snipe_node_divide (struct snipe_node *node, snipe_time now);
/** A host divides the endpoints of a group into more pools. */
void snipe_node_note_shards (struct snipe_node *node,
                             const struct snipe_pool_id *id, snipe_time now);

/* local.c */
void snipe_pending_free (struct pending *item);
/** Carries out what this host has for itself. */
void snipe_node_drain_pending (struct snipe_node *node, snipe_time now);
struct held_pool *snipe_node_find_pool (struct snipe_node *node,
                                        const struct snipe_pool_id *id);
void snipe_held_pool_free (gpointer pool);
void snipe_held_start (void *ctx,
                       const struct snipe_pool_start_request *order);
void snipe_held_stop (void *ctx, const struct snipe_pool_stop_request *order);
void snipe_held_hold (void *ctx, const struct snipe_pool_poll_request *order);
void snipe_held_result (void *ctx, const struct snipe_pool_result *result);
void snipe_node_answer (void *ctx, void *job_ctx,
                        const struct snipe_coordinator_answer *answer);
void snipe_kept_result_free (gpointer kept);
/** Forgets the results that no home asks for any more. */
void snipe_node_forget_results (struct snipe_node *node, snipe_time now);
/** Gives a batch to the pool of this host that it is for. */
void snipe_node_take_batch (struct snipe_node *node,
                            const struct snipe_pool_id *id,
                            const struct snipe_pool_batch *batch,
                            snipe_time now);

/** Ends a batch of the home in whichever pool of this host it is. */
void snipe_node_cancel_batch (struct snipe_node *node, uint64_t home,
                              uint64_t number, snipe_time now);
/** Tells the home of a batch that nothing of it has started or will. */
void snipe_node_refuse_batch (struct snipe_node *node,
                              const struct snipe_pool_batch *batch, int code);

/* wire.c */
int snipe_node_send_batch (void *ctx, uint64_t owner,
                           const struct snipe_pool_id *pool,
                           const struct snipe_pool_batch *batch);
void snipe_node_send_cancel (void *ctx, uint64_t owner, uint64_t number);
void snipe_node_send_result (struct snipe_node *node,
                             const struct snipe_pool_result *result);
void snipe_node_send_hello (struct snipe_node *node, const char *address,
                            uint64_t incarnation, snipe_time now);
/** Tells the owner of the pool that an endpoint leaves. */
void snipe_node_send_drain (struct snipe_node *node,
                            const struct snipe_pool_id *pool,
                            const struct snipe_endpoint_entry *entry);
/** Passes changes of the list of endpoints on to the hosts of this domain. */
void snipe_node_send_news (struct snipe_node *node, uint64_t after,
                           uint64_t version, const struct snipe_str *rows,
                           snipe_time now);
void snipe_node_send_loads (struct snipe_node *node, snipe_time now);
void snipe_node_received (void *ctx, uint64_t incarnation,
                          const struct snipe_link_message *message);
void snipe_node_link_closed (void *ctx, uint64_t incarnation);
void snipe_node_link_opened (void *ctx, const char *address);
void snipe_node_link_refused (void *ctx, const char *address);

#endif
