/**
 * @file node.h
 * One host of the dispatcher with pools. Combines the coordinator of jobs, the
 * pools that this host owns, the view of the other hosts and the messages
 * between them. Runs on the thread of its event loop.
 *
 * Callers, endpoints and the store are reached through struct
 * snipe_node_callbacks, which an adapter provides.
 */
#ifndef SNIPE_NODE_NODE_H
#define SNIPE_NODE_NODE_H

#include "loop/loop.h"
#include "node/config_sync.h"
#include "snipe/coordinator.h"
#include "snipe/member.h"
#include "snipe/pool.h"

struct snipe_node;

struct snipe_node_callbacks
{
  void *ctx;
  /** Requests to endpoints. Each is answered by snipe_node_on_start (),
   * ..._on_stop () or ..._on_poll () with the request's token, but never from
   * within the callback. */
  void (*start) (void *ctx, const struct snipe_pool_start_request *request);
  void (*stop) (void *ctx, const struct snipe_pool_stop_request *request);
  void (*poll) (void *ctx, const struct snipe_pool_poll_request *request);
  /** The answer to a job. Never called from within snipe_node_submit (). */
  void (*answer) (void *ctx, void *job_ctx,
                  const struct snipe_coordinator_answer *answer);
  /** The directory of endpoints has to be read again: a pool was claimed, or
   * no listed endpoint can run a job. */
  void (*refresh_directory) (void *ctx);
  /** No host was live at a listed address for long: its entry has to be
   * removed from the list of hosts. */
  void (*deregister_host) (void *ctx, const char *address);
  /** A host of this domain relays endpoint changes between two versions of the
   * store, as they were passed to snipe_node_relay_endpoint_changes () there.
   * @return whether the directory is at least as new as @p version now. */
  bool (*apply_endpoint_changes) (void *ctx, uint64_t after, uint64_t version,
                                  const struct snipe_str *rows);
  /** Gets the configuration in force, in the form in which a peer can apply
   * it; empty if there is none. */
  void (*get_config) (void *ctx, uint64_t *version, struct snipe_str *text);
  /** A peer has a newer configuration. */
  void (*apply_peer_config) (void *ctx, uint64_t version,
                             const struct snipe_str *text);
  /** @return the latest time at which no caller can have left without that
   * having been passed to snipe_node_abandon (). The runs of a caller that
   * left later end in time before it is back. NULL: the present time. */
  snipe_time (*callers_handled) (void *ctx);
};

struct snipe_node_options
{
  unsigned int version;
  const char *name;
  const char *domain;
  const char *listen; /**< of the link, "ip:port" */
  /** Address at which other hosts reach the link; NULL: listen. */
  const char *advertise_address;
  bool first_start; /**< of the fleet: the list of hosts is incomplete */
  uint32_t cpu_millicores; /**< share of a core, in thousandths */
  uint32_t link_kbps;      /**< rate of its link in kbit/s, 0: unlimited */
  double remote_factor;    /**< see struct snipe_pool_options */
  struct snipe_loop *loop;
  snipe_time lease_max; /**< longest lease of an endpoint */
  snipe_time stop_max;  /**< longest duration of a stop */
  /** More hosts than pools: see the options of the coordinator and of the pool
   * with this name. */
  bool spread_load;
  /** One order of urgency for the jobs of all hosts: see the option of the
   * coordinator with this name. */
  bool shared_order;
  snipe_time resend_after; /**< callers resend a job no sooner */
  snipe_time drain_max;    /**< see struct snipe_pool_options */
  bool whole_jobs;         /**< a job starts only when all of its tasks can */
  struct snipe_node_callbacks callbacks;
};
#define SNIPE_NODE_OPTIONS_VERSION 1
#define SNIPE_NODE_OPTIONS_INIT                                               \
  {                                                                           \
    .version = SNIPE_NODE_OPTIONS_VERSION, .lease_max = 1000 * SNIPE_MS,      \
    .stop_max = 50 * SNIPE_MS, .resend_after = 1300 * SNIPE_MS,               \
    .remote_factor = 1, .cpu_millicores = 1000                                \
  }

int snipe_node_new (struct snipe_node **out,
                    const struct snipe_node_options *options, snipe_time now);
void snipe_node_free (struct snipe_node *node);

/** The store lists a host at this address. */
void snipe_node_host_listed (struct snipe_node *node, const char *address,
                             snipe_time now);
/** No host is listed at this address any more: discovery there ends. */
void snipe_node_host_unlisted (struct snipe_node *node, const char *address);
/** All hosts that the store listed at some time after it listed this one have
 * been passed to snipe_node_host_listed (). */
void snipe_node_hosts_synced (struct snipe_node *node);
/** Sets the newest version of the store.
 * @param registered whether @p version is that of this host's own entry, which
 * makes its fencing tokens distinct from those of all other hosts */
void snipe_node_set_store_version (struct snipe_node *node, uint64_t version,
                                   bool registered, snipe_time now);
void snipe_node_endpoint_set (struct snipe_node *node,
                              const struct snipe_endpoint_entry *entry,
                              snipe_time now);
/** An endpoint is not listed any more. It is removed, unless the store was
 * unreachable and lists it again soon after. */
void snipe_node_endpoint_unlisted (struct snipe_node *node, const char *id,
                                   snipe_time now);
/** The directory contains all changes that the store had at @p requested_at,
 * when the read was requested. */
void snipe_node_directory_synced (struct snipe_node *node,
                                  snipe_time requested_at, snipe_time now);
/** The store became reachable or unreachable. */
void snipe_node_set_store_reachable (struct snipe_node *node, bool reachable,
                                     snipe_time now);
/** Relays endpoint changes between two versions of the store to the other
 * hosts of the domain, if this host is the domain leader.
 * @param requested_at when they were requested from the store */
void snipe_node_relay_endpoint_changes (struct snipe_node *node,
                                        uint64_t after, uint64_t version,
                                        const struct snipe_str *rows,
                                        snipe_time requested_at,
                                        snipe_time now);
/** @param requested_at when the directory was last requested
 * @return when it has to be read again. */
snipe_time snipe_node_directory_read_due (const struct snipe_node *node,
                                          snipe_time requested_at);
/** The store says whether a failure domain is evacuated: no host starts tasks
 * there until it is taken back.
 * @param version of the store at which this was so */
void snipe_node_evacuation_set (struct snipe_node *node, const char *domain,
                                bool evacuated, uint64_t version,
                                snipe_time now);
/** All domains that are evacuated at @p version of the store have been passed
 * to snipe_node_evacuation_set () with that version: the others are not. */
void snipe_node_evacuations_synced (struct snipe_node *node, uint64_t version,
                                    snipe_time now);
/** A configuration has come into force, whether from the store or a peer. */
void snipe_node_config_changed (struct snipe_node *node, uint64_t version,
                                snipe_time now);
/** @return the state of the configuration, for the log. */
const struct snipe_config_sync *
snipe_node_config (const struct snipe_node *node);

void snipe_node_submit (struct snipe_node *node,
                        const struct snipe_coordinator_job *job,
                        snipe_time now);
void snipe_node_abandon (struct snipe_node *node, void *job_ctx,
                         snipe_time now);
/** Cancels a job at whichever host coordinates it. A request for it that
 * arrives at any host within SNIPE_CANCELLED_JOBS_RETENTION is answered as
 * cancelled. @return whether this host coordinates the job. */
bool snipe_node_cancel (struct snipe_node *node, const char *id,
                        snipe_time now);
bool snipe_node_has_job (const struct snipe_node *node, const char *id);
uint32_t snipe_node_pending_count (const struct snipe_node *node,
                                   const char *route);

void snipe_node_on_start (struct snipe_node *node, uint64_t token,
                          const char *endpoint, const char *task, uint32_t run,
                          enum snipe_endpoint_answer answer,
                          const struct snipe_endpoint_report *report,
                          snipe_time now);
void snipe_node_on_stop (struct snipe_node *node, uint64_t token,
                         const char *endpoint, const char *task, uint32_t run,
                         enum snipe_endpoint_answer answer,
                         const struct snipe_endpoint_report *report,
                         snipe_time now);
void snipe_node_on_poll (struct snipe_node *node, uint64_t token,
                         const char *endpoint,
                         enum snipe_endpoint_answer answer,
                         const struct snipe_endpoint_report *report,
                         snipe_time now);
/** Does the work that is due. @return time until the next call. */
snipe_time snipe_node_tick (struct snipe_node *node, snipe_time now);

/** @return whether the owner of some pool is known, so that jobs can be
 * served. */
bool snipe_node_can_serve (const struct snipe_node *node);
/** Starts to hand over the pools of this host to other hosts. */
void snipe_node_leave (struct snipe_node *node);
/** Fails all jobs that this host coordinates. */
void snipe_node_fail_jobs (struct snipe_node *node, snipe_time now);
/** @return whether this host coordinates no job and owns no pool. */
bool snipe_node_idle (const struct snipe_node *node);

#endif
