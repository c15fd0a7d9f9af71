/**
 * @file private.h
 * Types shared by the files of the node.
 */
#ifndef SNIPE_NODE_PRIVATE_H
#define SNIPE_NODE_PRIVATE_H

#include <glib.h>
#include "link/link.h"
#include "node/cancelled_jobs.h"
#include "node/directory.h"
#include "node/evacuations.h"
#include "node/node.h"
#include "node/directory_sync.h"
#include "snipe/list_age.h"

/* Low bits of a fencing token, which make the tokens of different hosts
 * distinct. JSON numbers are exact up to 2^53, which leaves 33 bits for the
 * epoch. */
#define SNIPE_NODE_TOKEN_HOST_BITS 20
/* Too low for any endpoint to accept. The rejection shows that the endpoint is
 * reachable. */
#define SNIPE_NODE_PROBE_TOKEN 1

/** The endpoints of a service in a domain and the pools they are split into.
 */
struct endpoint_group
{
  struct snipe_pool_id id; /**< with shard 0 */
  uint32_t endpoint_count;
};

/** An address from the store's list of hosts, or a seed. */
struct listed_host
{
  /** Last time that a host was live there, or that the address was listed. */
  snipe_time last_received_at;
  snipe_time discovery_due;
};

/** State of the load reports of a pool to one set of hosts. */
struct load_report
{
  snipe_time next_due;
  uint64_t last_digest; /**< of the last report */
};

/** A pool that this host owns. */
struct owned_pool
{
  struct snipe_node *node;
  struct snipe_pool_id id;
  uint64_t token;
  snipe_time claimed_at;
  struct snipe_list_age list; /**< of its endpoints */
  struct snipe_pool *pool;
  /** When an endpoint first reported a higher token, 0: never. */
  snipe_time fenced_since;
  bool left_fenced; /**< not claimed again, because this host is cut off */
  struct load_report same_domain_report;
  struct load_report other_domains_report;
};

/** A message of this host to itself. It is queued until the call that sent it
 * has returned, because the pure modules are not reentrant. */
struct local_message
{
  enum
  {
    LOCAL_BATCH,
    LOCAL_CANCEL,
    LOCAL_GRANT,
    LOCAL_COMMIT,
    LOCAL_RESULT,
    LOCAL_ANSWER,
  } kind;
  union
  {
    struct
    {
      struct snipe_pool_id pool;
      struct snipe_pool_batch batch; /**< owns its strings and arrays */
    } batch;
    struct
    {
      uint64_t coordinator;
      uint64_t number;
    } id; /**< of a cancelled, granted or committed batch */
    struct snipe_pool_result result; /**< owns its arrays */
    struct
    {
      void *job_ctx;
      struct snipe_coordinator_answer value;
    } answer;
  } u;
};

/** A result that its coordinator may not have received, or the
 * acknowledgement of a cancellation, which has no outcomes. */
struct retained_result
{
  struct snipe_pool_result result;
  snipe_time retained_at;
  snipe_time expires_at;
};

struct snipe_node
{
  struct snipe_node_options options;
  uint64_t incarnation;
  uint64_t token_host_id; /**< low bits of this host's fencing tokens */
  char address[64];
  uint32_t capacity; /**< thousandths of a core, see capacity.h */
  bool leaving;
  uint64_t store_version;
  snipe_time store_version_at; /**< when it grew last, 0: never */
  struct snipe_config_sync config;
  struct snipe_link *link;
  struct snipe_members *members;
  struct snipe_coordinator *coordinator;
  GPtrArray *owned_pools; /**< struct owned_pool */
  GPtrArray *groups;      /**< struct endpoint_group */
  GArray *all_pools;      /**< struct snipe_pool_id, sorted */
  GHashTable *directory;  /**< id -> struct snipe_endpoint_entry */
  uint64_t directory_revision;
  GHashTable *unlisted_endpoints;   /**< id -> time when it was unlisted */
  snipe_time store_reachable_since; /**< 0: it is unreachable */
  GHashTable *listed_hosts;         /**< address -> struct listed_host */
  /** The list of hosts is complete, but some of them are not live yet. */
  bool awaiting_listed_hosts;
  GQueue local_queue;
  GPtrArray *retained_results; /**< struct retained_result */
  struct snipe_cancelled_jobs *cancelled_jobs;
  struct snipe_evacuations *evacuations;
  struct snipe_crash_table *crashes;
  GArray *untold_losses;    /**< of the table's, for the next message */
  snipe_time last_crash_at; /**< of an endpoint, as far as it is known */
  snipe_time failure_timeout;
  snipe_time last_tick;
  snipe_time full_heartbeat_due; /**< next heartbeat to all hosts */
  /** Next check for hosts that got no other message lately. */
  snipe_time heartbeat_check_due;
  snipe_time discovery_due;
  snipe_time ownership_due;
  /** Last time that a host that was lost was heard again, or that something
   * was heard of the store after a silence; 0: never. */
  snipe_time regained_at;
  struct snipe_directory_freshness directory_freshness;
  /** The whole list of endpoints is not older than this, 0: there is none. */
  snipe_time list_read_at;
  uint64_t list_source; /**< host that was asked for it and has not answered */
  /** When a peer last relayed endpoint changes, 0: never. */
  snipe_time last_relay;
  enum snipe_directory_source directory_source;
  bool applying_relay; /**< while a peer's endpoint changes are applied */
  /** Endpoints of this group have answered probes. */
  struct snipe_pool_id probed_group;
  snipe_time probe_answered_since;
  snipe_time probe_answered_at; /**< last answer */
  snipe_time probe_due;
  /** When a stalled connection was last closed. */
  snipe_time last_link_reset;
};

/* node.c */
void snipe_node_log (const struct snipe_node *node, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** @return the latest time up to which this host has handled all that its
 * callers sent. */
snipe_time snipe_node_callers_handled (const struct snipe_node *node,
                                       snipe_time now);

/** Every function through which something reaches the node calls this first:
 * after a pause of the process, the tick has to find out whether other hosts
 * have taken over before anything is decided. */
void snipe_node_tick_after_pause (struct snipe_node *node, snipe_time now);
/** This host may have been cut off from others, which may have claimed pools
 * meanwhile and may be reachable again.
 * @param cut_off whether it has heard nothing of the others meanwhile */
void snipe_node_contact_regained (struct snipe_node *node, bool cut_off,
                                  snipe_time now);
/** Notes the newest version of the store that is known. */
void snipe_node_note_store_version (struct snipe_node *node, uint64_t version,
                                    snipe_time now);

/* endpoints.c */
/** @return the age of the list of endpoints, INT64_MAX: it was never read. */
snipe_time snipe_node_list_age (const struct snipe_node *node, snipe_time now);
/** Notes that the list of a pool's endpoints is as it was at @p read_at. */
void snipe_owned_pool_list_read (struct owned_pool *pool, snipe_time read_at);
/** The same of the whole list. */
void snipe_node_list_read (struct snipe_node *node, snipe_time read_at);
/** Removes endpoints that stay unlisted, and logs a change of the source of
 * the directory. */
void snipe_node_check_endpoints (struct snipe_node *node, snipe_time now);
/** @return whether a listed endpoint could run a task of the job; @p ctx is
 * the node. */
enum snipe_job_feasibility
snipe_node_job_feasibility (void *ctx, const struct snipe_coordinator_job *job,
                            snipe_time now);

/* list_exchange.c */
/** Asks another host for its list of endpoints, if that is due. */
void snipe_node_request_list (struct snipe_node *node, snipe_time now);
void snipe_node_on_list_request (struct snipe_node *node, uint64_t sender,
                                 const link_list_request *request,
                                 snipe_time now);
void snipe_node_on_list (struct snipe_node *node, uint64_t sender,
                         const link_list *list, snipe_time now);

/* owners.c */
/** Claims and releases pools, if a decision is due. */
void snipe_node_update_ownership (struct snipe_node *node, snipe_time now);
/** Another host claims a pool that this one may own. */
void snipe_node_claim_heard (struct snipe_node *node,
                             const struct snipe_claim *claim, snipe_time now);
/** Handles the answer of an endpoint to a probe. */
void snipe_node_note_probe_reply (struct snipe_node *node,
                                  const char *endpoint,
                                  enum snipe_endpoint_answer answer,
                                  snipe_time now);

/* groups.c */
/** @return the pool that an endpoint belongs to with the current number of
 * shards. */
struct snipe_pool_id
snipe_node_pool_of (const struct snipe_node *node,
                    const struct snipe_endpoint_entry *entry);
/** Updates the number of pools of each group after the directory was read. */
void snipe_node_split_pools (struct snipe_node *node, snipe_time now);
/** Adopts the number of shards of another host's pool if it is higher. */
void snipe_node_adopt_shards (struct snipe_node *node,
                              const struct snipe_pool_id *id, snipe_time now);

/* held.c */
/** Tells the coordinator of a held batch that a pool of this host keeps room
 * for it. */
void snipe_owned_pool_granted (void *ctx, uint64_t coordinator,
                               uint64_t number);
/** The host @p from keeps room for a held batch of this one. */
void snipe_node_on_grant (struct snipe_node *node, uint64_t from,
                          const link_batch_id *id, snipe_time now);
int snipe_node_send_commit (void *ctx, uint64_t owner, uint64_t number);
/** Starts a held batch in whichever pool of this host it is. */
void snipe_node_commit_batch (struct snipe_node *node, uint64_t coordinator,
                              uint64_t number, snipe_time now);

/* local.c */
void snipe_local_message_free (struct local_message *message);
/** Handles the messages of this host to itself. */
void snipe_node_process_local_queue (struct snipe_node *node, snipe_time now);
struct owned_pool *snipe_node_find_pool (struct snipe_node *node,
                                         const struct snipe_pool_id *id);
void snipe_owned_pool_free (gpointer pool);
void snipe_owned_pool_start (void *ctx,
                             const struct snipe_pool_start_request *request);
void snipe_owned_pool_stop (void *ctx,
                            const struct snipe_pool_stop_request *request);
void snipe_owned_pool_poll (void *ctx,
                            const struct snipe_pool_poll_request *request);
void snipe_owned_pool_result (void *ctx,
                              const struct snipe_pool_result *result);
void snipe_owned_pool_assumed_end (void *ctx,
                                   const struct snipe_pool_assumed_end *end);
void snipe_owned_pool_lease (void *ctx, const struct snipe_pool_lease *lease);
void snipe_owned_pool_found_run (void *ctx,
                                 const struct snipe_pool_found_run *found);
void snipe_owned_pool_late_end (void *ctx,
                                const struct snipe_pool_late_end *end);
snipe_time snipe_owned_pool_coordinator_heard (void *ctx, uint64_t coordinator,
                                               snipe_time now);
/** Logs that a batch is sent to another owner, and whether the earlier one
 * counts as live. */
void snipe_node_batch_moved (void *ctx,
                             const struct snipe_coordinator_move *move);
/** Logs a result with tasks that were not run, which may go to another pool
 * now, and passes it to this host's coordinator. */
void snipe_node_handle_result (struct snipe_node *node, uint64_t from,
                               const struct snipe_pool_result *result,
                               snipe_time now);
void snipe_node_batch_routed (void *ctx,
                              const struct snipe_coordinator_choice *route);
void
snipe_node_job_rejected (void *ctx,
                         const struct snipe_coordinator_rejection *rejection);
void snipe_node_answer (void *ctx, void *job_ctx,
                        const struct snipe_coordinator_answer *answer);
void snipe_retained_result_free (gpointer result);
/** Drops the results that no coordinator asks for any more. */
void snipe_node_expire_results (struct snipe_node *node, snipe_time now);
/** Submits a batch to the pool of this host that it is for, or rejects it. */
void snipe_node_accept_batch (struct snipe_node *node,
                              const struct snipe_pool_id *id,
                              const struct snipe_pool_batch *batch,
                              snipe_time now);

/** Cancels a batch in whichever pool of this host it is, and acknowledges that
 * to its coordinator if it is another host. */
void snipe_node_cancel_batch (struct snipe_node *node, uint64_t coordinator,
                              uint64_t number, snipe_time now);
/** Tells the coordinator of a batch that none of its tasks was or will be
 * started. */
void snipe_node_reject_batch (struct snipe_node *node,
                              const struct snipe_pool_batch *batch, int code);

/* evacuation.c */
/** Applies the state of a pool's domain to a pool that was claimed. */
void snipe_node_evacuate_claimed (struct snipe_node *node,
                                  struct owned_pool *pool, snipe_time now);
/** Tells a host which domains are evacuated, or were taken back. */
void snipe_node_send_evacuations (struct snipe_node *node,
                                  const char *address);
void snipe_node_on_evacuation (struct snipe_node *node,
                               const link_evacuation *evacuation,
                               snipe_time now);

/* losses.c */
/** @return 0 or a negative status. */
int snipe_node_losses_init (struct snipe_node *node);
void snipe_node_losses_clear (struct snipe_node *node);
/** Tells all hosts the losses that became known since the last call. */
void snipe_node_tell_losses (struct snipe_node *node, snipe_time now);
/** Tells a host what it may have missed in @p silence. */
void snipe_node_resend_losses (struct snipe_node *node, const char *address,
                               snipe_time silence, snipe_time now);
/** Tells the owner of a pool, before a batch, what was lost of its job. */
void snipe_node_send_losses_of_job (struct snipe_node *node,
                                    const char *address, const char *job,
                                    snipe_time now);
/** Tells the coordinator of a task with losses of its start: it tells the next
 * owner of the pool. */
void
snipe_node_tell_coordinator (struct snipe_node *node,
                             const struct snipe_pool_start_request *request);
void snipe_node_on_losses (struct snipe_node *node, const link_losses *losses,
                           snipe_time now);
void snipe_owned_pool_given_up (void *ctx,
                                const struct snipe_pool_given_up *given_up);
void snipe_owned_pool_displaced (void *ctx,
                                 const struct snipe_pool_displaced *event);
void snipe_owned_pool_whole (void *ctx,
                             const struct snipe_pool_whole_event *event);

/* wire.c */
/** @return 0 or a negative status, if the host is not live. */
int snipe_node_send_to (struct snipe_node *node, uint64_t incarnation,
                        const struct snipe_link_message *message);
/** @return the pool in the encoding of a message, borrowing its strings. */
link_pool snipe_node_encode_pool (const struct snipe_pool_id *id);
/** @return whether the pool is a possible one; if not, what concerns it has to
 * be ignored. */
bool snipe_node_decode_pool (struct snipe_pool_id *out, const link_pool *from);
/** @return a time of sending, by the sender's clock, which counts from an
 * unknown moment. */
snipe_time snipe_node_decode_sent (int64_t sent_us);
/** @return the age of the list of endpoints in ms, UINT32_MAX: unknown. */
uint32_t snipe_node_encode_list_age (const struct snipe_node *node,
                                     snipe_time now);
/** Sends a message to all live hosts. */
void snipe_node_send_to_hosts (struct snipe_node *node,
                               const struct snipe_link_message *message,
                               snipe_time now);
int snipe_node_send_batch (void *ctx, uint64_t owner,
                           const struct snipe_pool_id *pool,
                           const struct snipe_pool_batch *batch);
void snipe_node_send_cancel (
    void *ctx, const struct snipe_coordinator_cancellation *cancellation);
void snipe_node_send_result (struct snipe_node *node,
                             const struct snipe_pool_result *result);
/** Sends the load of a pool to the coordinator of a batch that the pool
 * declines. To be called before the result is sent. */
void snipe_node_send_decline_load (struct snipe_node *node,
                                   const struct owned_pool *pool,
                                   const struct snipe_pool_result *result,
                                   snipe_time now);
void snipe_node_send_heartbeat (struct snipe_node *node, const char *address,
                                uint64_t incarnation, snipe_time now);
/** Tells the owner of the pool that an endpoint is draining. */
void snipe_node_send_drain (struct snipe_node *node,
                            const struct snipe_pool_id *pool,
                            const struct snipe_endpoint_entry *entry);
/** Relays endpoint changes to the hosts of this domain. */
void snipe_node_send_endpoint_changes (struct snipe_node *node, uint64_t after,
                                       uint64_t version,
                                       const struct snipe_str *rows,
                                       snipe_time now);
/** Asks another host for a newer configuration if that is due. */
void snipe_node_request_config (struct snipe_node *node, snipe_time now);
void snipe_node_send_loads (struct snipe_node *node, snipe_time now);
void snipe_node_received (void *ctx, uint64_t incarnation,
                          const struct snipe_link_message *message);
void snipe_node_link_closed (void *ctx, uint64_t incarnation);
void snipe_node_link_opened (void *ctx, const char *address);
void snipe_node_link_refused (void *ctx, const char *address);

#endif
