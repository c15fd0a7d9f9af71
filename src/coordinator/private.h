/**
 * @file private.h
 * Types shared by the files of the coordinator.
 */
#ifndef SNIPE_COORDINATOR_PRIVATE_H
#define SNIPE_COORDINATOR_PRIVATE_H

#include <glib.h>
#include "coordinator/retry_after.h"
#include "snipe/coordinator.h"

/* Powers of two that a number of pools can be. */
#define SHARD_LEVELS 33

/** The views of the pools of a service in a domain. */
struct view_group
{
  struct snipe_pool_id id; /**< only its service and domain are used */
  /** Pools with a known owner, by the logarithm of their number of shards. */
  uint32_t owned_counts[SHARD_LEVELS];
  bool evacuated; /**< its domain: no tasks are sent to the pools */
};

/** What this host knows of a pool, from its owner's reports. */
struct pool_view
{
  struct snipe_pool_id id;
  struct view_group *group;
  uint64_t owner; /**< 0: unknown; set by snipe_view_set_owner () */
  uint64_t token;
  GArray *free_cpu; /**< uint32_t, less what was sent since the last report */
  int64_t total_cpu;
  int64_t backlog;
  double slowdown;
  int64_t waiting[SNIPE_URGENCY_CLASSES]; /**< gives way to more urgent jobs */
  uint64_t endpoint_digest; /**< of the ids that its owner reported last */
  snipe_time reported_at;   /**< when its load was received last, 0: never */
  snipe_time lost_at;       /**< when its owner was lost, 0: it was not */
  snipe_time retry_at;      /**< its owner is unreachable until then */
};

/** The views of all pools. A load report finds its view in constant time: a
 * host that owned many pools searched all views for each of them. */
struct views
{
  GPtrArray *pools;              /**< struct pool_view */
  GHashTable *by_id;             /**< &id -> struct pool_view */
  GHashTable *groups;            /**< &id -> struct view_group */
  GHashTable *evacuated_domains; /**< set of names */
};

struct job;

/** Tasks of a job that were sent to one pool. */
struct batch
{
  uint64_t number;
  struct job *job;
  struct pool_view *pool;
  uint64_t owner; /**< host to which it was sent last, 0: none yet */
  uint64_t token;
  uint32_t *indexes;
  uint32_t count;
  uint32_t attempts;        /**< number of times that it was sent */
  snipe_time sent_at;       /**< when it was sent first */
  snipe_time resend_at;     /**< its owner does not have it; 0: it does */
  bool declinable;          /**< the pool may decline it */
  bool resent;              /**< sent more than once */
  bool held;                /**< nothing of it is started before a commit */
  bool granted;             /**< held, and its pool keeps room for it */
  uint64_t endpoint_digest; /**< of the endpoints that may run its tasks */
};

struct job
{
  struct snipe_coordinator_job spec; /**< its strings are owned by the job */
  snipe_time arrived;
  snipe_time soft_deadline;
  snipe_time hard_deadline;
  uint32_t unfinished; /**< tasks that have not completed */
  uint32_t reassignments;
  uint32_t declines;
  bool ran;   /**< a task that is in no batch any more may have started */
  bool waits; /**< for a pool owner or for the list of endpoints */
  /** Its batches are cancelled, and their results tell whether a task has
   * started; the caller is answered at this time at the latest. 0: no. */
  snipe_time closes_at;
  int close_code; /**< with which it will be answered */
  snipe_time close_retry_after;
  GPtrArray *batches;
  /** Indexes of tasks that were handed back while no pool could take them and
   * other batches of the job were open. */
  GArray *unplaced;
};

struct snipe_coordinator
{
  uint64_t incarnation;
  char domain[SNIPE_NAME_BYTES];
  snipe_time takeover_timeout;
  bool whole_jobs;
  bool spread_load;
  bool shared_order;
  struct snipe_coordinator_callbacks callbacks;
  uint64_t next_number;
  GHashTable *jobs;    /**< id -> struct job */
  GHashTable *batches; /**< &number -> struct batch */
  GHashTable *cancellations;
  GHashTable *retry_books; /**< service -> struct snipe_retry_book */
  struct views views;
};

/* view.c: the elements of @p pools are struct pool_view */
void snipe_views_init (struct views *views);
void snipe_views_clear (struct views *views);
/** @return the view of a pool, created if it does not exist; NULL if the
 * endpoints of the pool have since been split into more pools. */
struct pool_view *snipe_views_find (struct views *views,
                                    const struct snipe_pool_id *id);
void snipe_view_set_owner (struct pool_view *pool, uint64_t owner);
/** @return whether the owner of a pool of the service (NULL: of any service)
 * is known, and not known to be unreachable. */
bool snipe_views_can_serve (const GPtrArray *pools, const char *service,
                            snipe_time now);
void snipe_views_set_evacuated (struct views *views, const char *domain,
                                bool evacuated);
/** @return whether pools of the service (NULL: of any service) are known, and
 * all are in evacuated domains. */
bool snipe_views_all_evacuated (const GPtrArray *pools, const char *service);
/** Sums up the pools of a service to which tasks are sent. */
void snipe_views_sum_room (struct snipe_retry_room *out,
                           const GPtrArray *pools, const char *service);
/** Clears the owner of the pools with fewer shards than @p id in its group. */
void snipe_views_pool_split (struct views *views,
                             const struct snipe_pool_id *id, snipe_time now);
void snipe_views_owner_lost (struct views *views, uint64_t owner,
                             snipe_time now);

/* held.c */
/** @return whether nothing of the job can have been started, because all of
 * its batches are held. */
bool snipe_job_is_held (const struct job *job);
/** @return whether the owner of a pool that has a held batch of the job was
 * lost. */
bool snipe_job_has_lost_part (const struct job *job);

/* cancellation.c */
/** @return a table of cancellations that the owners have not acknowledged, by
 * owner and number of the batch. */
GHashTable *snipe_cancellations_new (void);
/** Adds a cancellation that has just been sent. It is repeated until the pool
 * ends the batch by itself, at @p caller_deadline.
 * @param handled a time before which the caller of the batch had not left */
void snipe_cancellations_add (GHashTable *cancellations, uint64_t owner,
                              uint64_t number, snipe_time caller_deadline,
                              snipe_time handled, snipe_time now);
/** Adds a cancellation at the earlier owner of a batch that has moved. It is
 * sent as soon as the claim of the new owner has reached the endpoints, and
 * repeated like any other. */
void snipe_cancellations_add_moved (GHashTable *cancellations, uint64_t owner,
                                    uint64_t number,
                                    snipe_time caller_deadline,
                                    snipe_time now);
/** The owner has acknowledged the cancellation, or gets the batch again. */
void snipe_cancellations_remove (GHashTable *cancellations, uint64_t owner,
                                 uint64_t number);
/** The connection to the owner was replaced: the cancellations that were sent
 * on it become due. */
void snipe_cancellations_expedite (GHashTable *cancellations, uint64_t owner);
/** The batch is not continued anywhere: its cancellations that have not been
 * sent yet become due.
 * @param handled a time before which its caller had not left */
void snipe_cancellations_batch_removed (GHashTable *cancellations,
                                        uint64_t number, snipe_time handled);
/** @return a time before which no caller had left whose batch is cancelled at
 * the owner, 0: at any, without an acknowledgement; INT64_MAX: there is none.
 */
snipe_time snipe_cancellations_handled (GHashTable *cancellations,
                                        uint64_t owner);
/** Sends the cancellations that are due, and drops expired ones.
 * @param incarnation of this host */
void
snipe_cancellations_send (GHashTable *cancellations, uint64_t incarnation,
                          const struct snipe_coordinator_callbacks *callbacks,
                          snipe_time now);

/* route.c */
/** Part of a job's tasks that is planned for one pool. */
struct share
{
  struct pool_view *pool;
  uint32_t count;
  bool queued;         /**< not all of them are expected to start at once */
  uint32_t free_slots; /**< tasks of the job for which the view has room */
  snipe_time wait;     /**< queueing delay by the view */
  uint32_t candidates; /**< number of pools that were considered */
};

/** How a host chooses between pools that other hosts choose from as well. */
struct route_spread
{
  bool enabled;
  bool shared_order; /**< less urgent work gives way */
  uint32_t attempt;  /**< differs each time that tasks of a job are sent */
};

/** @return how long the tasks that are queued in a pool occupy all of it. */
snipe_time snipe_view_queueing_delay (const struct pool_view *pool);
/** @return the same without the work that gives way to a job of the priority.
 */
snipe_time snipe_view_urgent_delay (const struct pool_view *pool,
                                    uint32_t priority);
/** @return the predicted duration of a task of the job in a pool. */
snipe_time snipe_view_duration (const struct pool_view *pool,
                                const struct snipe_coordinator_job *job);
/**
 * Distributes @p count tasks over the pools of the job's service.
 * @param out has room for as many shares as there are pools
 * @param wait if 0 is returned: the shortest queueing delay of any pool
 * @return the number of shares written; 0 if no pool can complete the job
 *   before its hard deadline.
 */
uint32_t snipe_coordinator_route (GPtrArray *pools, const char *domain,
                                  const struct snipe_coordinator_job *job,
                                  uint32_t count, snipe_time soft_deadline,
                                  snipe_time hard_deadline,
                                  const struct route_spread *spread,
                                  struct share *out, snipe_time *wait,
                                  snipe_time now);
/**
 * Chooses the pool in which all @p count tasks of a job end first if they wait
 * there until they can start together.
 * @return false if no pool of its service can run them side by side and end
 *   before the job's hard deadline: then they run in waves or in several pools
 */
bool snipe_coordinator_choose_whole (struct share *out, GPtrArray *pools,
                                     const struct snipe_coordinator_job *job,
                                     uint32_t count, snipe_time hard_deadline,
                                     snipe_time now);
/** @return the slowdown of the fastest pool of a service: actual over
 * estimated duration. */
double snipe_coordinator_best_slowdown (const GPtrArray *pools,
                                        const char *service);
/** Deducts tasks that were sent to a pool from the free capacity of its view.
 */
void snipe_coordinator_reserve_capacity (
    struct pool_view *pool, const struct snipe_capacity *task_resources,
    uint32_t count, snipe_time estimate);

#endif
