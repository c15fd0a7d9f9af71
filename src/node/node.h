/**
 * @file node.h
 * One host of the dispatcher by pools: puts together the job keeper, the
 * pools that this host owns, the view of the other hosts and the messages
 * between them. Runs on the thread of its event loop.
 *
 * Callers, endpoints and the store are reached through struct
 * snipe_node_callbacks, which an adapter provides.
 */
#ifndef SNIPE_NODE_NODE_H
#define SNIPE_NODE_NODE_H

#include "loop/loop.h"
#include "snipe/coordinator.h"
#include "snipe/member.h"
#include "snipe/pool.h"

struct snipe_node;

struct snipe_node_callbacks
{
  void *ctx;
  /** Orders to endpoints; each is answered by snipe_node_on_start (),
   * ..._on_stop () or ..._on_hold () with the order's token, never at once. */
  void (*start) (void *ctx, const struct snipe_pool_start_request *order);
  void (*stop) (void *ctx, const struct snipe_pool_stop_request *order);
  void (*poll) (void *ctx, const struct snipe_pool_poll_request *order);
  /** The answer to a job, never from within snipe_node_submit (). */
  void (*answer) (void *ctx, void *job_ctx,
                  const struct snipe_coordinator_answer *answer);
  /** The list of endpoints is needed anew: a pool was claimed, or a job fits
   * no endpoint that is listed. */
  void (*refresh_directory) (void *ctx);
  /** No host was heard at a listed address for long: it is to be listed no
   * more. */
  void (*deregister_host) (void *ctx, const char *address);
  /** A host of this domain tells what has changed in the list of endpoints
   * between two versions of the store, as snipe_node_relay_endpoint_changes ()
   * there was told.
   * @return whether the list is as new as @p version now. */
  bool (*apply_endpoint_changes) (void *ctx, uint64_t after, uint64_t version,
                                  const struct snipe_str *rows);
  /** The configuration in force as a peer can take it over; empty: none. */
  void (*get_config) (void *ctx, uint64_t *version, struct snipe_str *text);
  /** A peer has a newer configuration. */
  void (*apply_peer_config) (void *ctx, uint64_t version,
                             const struct snipe_str *text);
};

struct snipe_node_options
{
  unsigned int version;
  const char *name;
  const char *domain;
  const char *listen; /**< of the link, "ip:port" */
  const char
      *advertise_address;  /**< at which others reach the link; NULL: listen */
  bool first_start;        /**< the list of hosts is only being written */
  uint32_t cpu_millicores; /**< share of a core, in thousandths */
  struct snipe_loop *loop;
  snipe_time lease_max;    /**< longest lease of an endpoint */
  snipe_time stop_max;     /**< longest time that a stop takes */
  snipe_time resend_after; /**< callers send a job again no sooner */
  struct snipe_node_callbacks callbacks;
};
#define SNIPE_NODE_OPTIONS_VERSION 1
#define SNIPE_NODE_OPTIONS_INIT                                               \
  {                                                                           \
    .version = SNIPE_NODE_OPTIONS_VERSION, .lease_max = 1000 * SNIPE_MS,      \
    .stop_max = 50 * SNIPE_MS, .resend_after = 1300 * SNIPE_MS,               \
    .cpu_millicores = 1000                                                    \
  }

int snipe_node_new (struct snipe_node **out,
                    const struct snipe_node_options *options, snipe_time now);
void snipe_node_free (struct snipe_node *node);

/** A host that the store lists. */
void snipe_node_host_listed (struct snipe_node *node, const char *address,
                             snipe_time now);
/** A host is no longer listed at that address; it is not greeted any more. */
void snipe_node_host_unlisted (struct snipe_node *node, const char *address);
/** All hosts that the store listed at some time after this one was listed were
 * passed on. */
void snipe_node_hosts_synced (struct snipe_node *node);
/** The store's newest version; its first one makes the tokens of this host
 * different from those of all others. */
void snipe_node_set_store_version (struct snipe_node *node, uint64_t version,
                                   bool registered);
void snipe_node_endpoint_set (struct snipe_node *node,
                              const struct snipe_endpoint_entry *entry,
                              snipe_time now);
/** An endpoint is not listed any more; it counts as gone unless the store was
 * away and lists it again soon after. */
void snipe_node_endpoint_unlisted (struct snipe_node *node, const char *id,
                                   snipe_time now);
/** All changes of the list of endpoints up to @p asked were passed on. */
void snipe_node_directory_synced (struct snipe_node *node, snipe_time asked,
                                  snipe_time now);
/** The store answers, or does not any more. */
void snipe_node_set_store_reachable (struct snipe_node *node, bool reached,
                                     snipe_time now);
/** What changed in the list of endpoints between two versions of the store,
 * to be passed on to other hosts if this one does so.
 * @param asked when the store was asked for it */
void snipe_node_relay_endpoint_changes (struct snipe_node *node,
                                        uint64_t after, uint64_t version,
                                        const struct snipe_str *rows,
                                        snipe_time asked, snipe_time now);
/** @param asked when the list of endpoints was last asked for
 * @return when it has to be read again. */
snipe_time snipe_node_directory_read_due (const struct snipe_node *node,
                                          snipe_time asked);
void snipe_node_config_changed (struct snipe_node *node, uint64_t version);

void snipe_node_submit (struct snipe_node *node,
                        const struct snipe_coordinator_job *job,
                        snipe_time now);
void snipe_node_abandon (struct snipe_node *node, void *job_ctx,
                         snipe_time now);
/** Cancels a job at whichever host keeps it. @return whether it runs here */
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
/** @return time until it has to be called again. */
snipe_time snipe_node_tick (struct snipe_node *node, snipe_time now);

/** @return whether the owner of some pool is known, so that jobs can be
 * served. */
bool snipe_node_can_serve (const struct snipe_node *node);
/** Starts to hand over pools to other hosts. */
void snipe_node_leave (struct snipe_node *node);
/** Gives up all jobs that this host keeps. */
void snipe_node_fail_jobs (struct snipe_node *node, snipe_time now);
/** @return whether nothing is left that this host is needed for. */
bool snipe_node_idle (const struct snipe_node *node);

#endif
