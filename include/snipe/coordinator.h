/**
 * @file coordinator.h
 * The coordinator of a job is the host that accepted it from its caller: it
 * sends the tasks to pools, follows a pool to its next owner, and answers the
 * caller. Nothing is stored: if the host fails, the caller submits the job
 * again. The module does no I/O of its own; it acts through struct
 * snipe_coordinator_callbacks.
 *
 * A task that may have started in a pool is only ever continued in that pool,
 * whose owner learns from the endpoints what runs there. So a task never runs
 * twice at the same time, whichever hosts fail or are partitioned.
 */
#ifndef SNIPE_COORDINATOR_H
#define SNIPE_COORDINATOR_H

#include "snipe/pool.h"

/** Most tasks of a job. A message between hosts holds a batch of a whole job.
 */
#define SNIPE_JOB_TASKS_MAX 4096

struct snipe_coordinator;

/** Whether any listed endpoint could run the tasks of a job at all. */
enum snipe_job_feasibility
{
  SNIPE_FEASIBILITY_POSSIBLE, /**< some could, or unknown: pools decide */
  SNIPE_FEASIBILITY_NONE,     /**< none could */
  SNIPE_FEASIBILITY_STALE,    /**< none listed, but the list is outdated */
};

/** A job of one step; its caller gets the answer once it has ended. */
struct snipe_coordinator_job
{
  const char *id;
  const char *route;
  const char *service;
  struct snipe_str spec;
  uint32_t count; /**< number of tasks */
  struct snipe_capacity task_resources;
  const char *label;
  const char *rack;
  bool group; /**< its tasks are slower if they run in several racks */
  uint32_t max_per_endpoint;
  uint32_t priority;
  uint32_t attempts;
  snipe_time estimate;
  double slack_factor; /**< target duration over the longest task's estimate */
  snipe_time slo;      /**< added to that target duration */
  snipe_time caller_deadline; /**< the caller stops waiting then */
  uint64_t rules_version; /**< configuration that admitted it; for the log */
  enum snipe_job_feasibility feasibility;
  void *ctx; /**< passed to the answer callback */
};

enum snipe_coordinator_outcome
{
  SNIPE_COORDINATOR_COMPLETE,
  SNIPE_COORDINATOR_FAILED,  /**< a task has used up its attempts */
  SNIPE_COORDINATOR_NOT_RUN, /**< no task has started, and none will */
  SNIPE_COORDINATOR_UNKNOWN, /**< abandoned; a task may have started */
};

struct snipe_coordinator_answer
{
  enum snipe_coordinator_outcome outcome;
  int code;               /**< enum snipe_status */
  snipe_time retry_after; /**< with shared_order, whole seconds for a job that
                             was not run */
};

/** A batch is sent to another owner of its pool, or again to the same one
 * after that was lost. */
struct snipe_coordinator_move
{
  const char *job;
  uint64_t number;
  const struct snipe_pool_id *pool;
  uint64_t from; /**< owner to which it was sent last, 0: none */
  uint64_t from_token;
  uint64_t to;
  uint64_t to_token;
};

/** A batch is sent to a pool that was chosen by this host's view of it. */
struct snipe_coordinator_choice
{
  const char *job;
  uint64_t number;
  const struct snipe_pool_id *pool;
  uint32_t count;      /**< tasks of the batch */
  uint32_t candidates; /**< pools that were considered */
  uint32_t free_slots; /**< tasks for which the view has room */
  snipe_time wait;     /**< queueing delay by the view */
  snipe_time view_age; /**< since the last load report, -1: there was none */
  bool queued;
  bool declinable;
  bool held; /**< until all batches of its job have room */
};

/** When the caller of a job that was not run should come back, and why.
 * Core-time is in thousandths of a core times milliseconds. */
struct snipe_coordinator_rejection
{
  const char *job;
  const char *service;
  int code;          /**< enum snipe_status */
  uint32_t seconds;  /**< Retry-After */
  uint32_t horizon;  /**< s; the longest that such a caller is told */
  int64_t total_cpu; /**< of the service's pools, thousandths of a core */
  int64_t backlog;   /**< core-time that waits there */
  int64_t returning; /**< core-time that this host expects back */
  int64_t served;    /**< core-time that this host served lately */
};

/** Tells an owner of a pool to give up a batch. */
struct snipe_coordinator_cancellation
{
  uint64_t owner;
  uint64_t number; /**< of the batch */
  bool moved;      /**< the batch has moved to another owner */
  bool again;      /**< an earlier message was not acknowledged */
};

struct snipe_coordinator_callbacks
{
  void *ctx;
  /**
   * Sends a batch to the owner of a pool.
   * @return 0, or a negative status if the batch is certain not to arrive.
   */
  int (*submit) (void *ctx, uint64_t owner, const struct snipe_pool_id *pool,
                 const struct snipe_pool_batch *batch);
  /**
   * Tells an owner of a pool to cancel a batch. Unless that is this host, the
   * owner acknowledges it with a result without outcomes whose code is
   * SNIPE_E_CANCELLED.
   */
  void (*cancel) (void *ctx,
                  const struct snipe_coordinator_cancellation *cancellation);
  /**
   * Tells an owner of a pool to start the tasks of a held batch.
   * @return 0, or a negative status if the message is certain not to arrive.
   */
  int (*commit) (void *ctx, uint64_t owner, uint64_t number);
  /** @return the latest time up to which all that callers sent is handled;
   * never later than @p now. NULL: the present time. */
  snipe_time (*callers_handled) (void *ctx, snipe_time now);
  /** For the log; may be NULL. */
  void (*moved) (void *ctx, const struct snipe_coordinator_move *move);
  /** For the log; may be NULL. */
  void (*routed) (void *ctx, const struct snipe_coordinator_choice *route);
  /** For the log, with the option shared_order; may be NULL. */
  void (*rejected) (void *ctx,
                    const struct snipe_coordinator_rejection *rejection);
  /** Delivers the answer to a job, once per request; not called for an
   * abandoned one. */
  void (*answer) (void *ctx, void *job_ctx,
                  const struct snipe_coordinator_answer *answer);
};

struct snipe_coordinator_options
{
  unsigned int version;
  uint64_t incarnation;
  const char *domain;
  /** Time within which a pool whose owner was lost gets a new one; after it,
   * the jobs with batches there are abandoned. */
  snipe_time takeover_timeout;
  /** A job that does not find free slots for all of its tasks goes to the one
   * pool in which all of them end first, if there is one. If it is sent to
   * several pools, nothing of it is started before all of them have room. */
  bool whole_jobs;
  /** Many hosts send to the same pools: draw among equally good ones, and keep
   * the room that a pool tells with a batch that it declines. */
  bool spread_load;
  /** Callers of jobs that were not run are told to come back at different
   * times, spread over the time in which the pools will have room. A job goes
   * to a pool where it is in time if less urgent work gives way to it. */
  bool shared_order;
  struct snipe_coordinator_callbacks callbacks;
};
#define SNIPE_COORDINATOR_OPTIONS_VERSION 1
#define SNIPE_COORDINATOR_OPTIONS_INIT                                        \
  {                                                                           \
    .version = SNIPE_COORDINATOR_OPTIONS_VERSION,                             \
    .takeover_timeout = 800 * SNIPE_MS                                        \
  }

int snipe_coordinator_new (struct snipe_coordinator **out,
                           const struct snipe_coordinator_options *options);
void snipe_coordinator_free (struct snipe_coordinator *coordinator);

/** Accepts a job. The answer is delivered through the callbacks, possibly
 * before this function returns. A job with stale feasibility waits for
 * snipe_coordinator_recheck_jobs (), but only for a short time. */
void snipe_coordinator_submit (struct snipe_coordinator *coordinator,
                               const struct snipe_coordinator_job *job,
                               snipe_time now);
/** Called after the list of endpoints was refreshed: evaluates the feasibility
 * of the jobs that wait for it again, by calling @p feasibility. */
void snipe_coordinator_recheck_jobs (
    struct snipe_coordinator *coordinator,
    enum snipe_job_feasibility (*feasibility) (
        void *ctx, const struct snipe_coordinator_job *job, snipe_time now),
    void *ctx, snipe_time now);
/** The caller has closed its connection: cancels the job without an answer. */
void snipe_coordinator_abandon (struct snipe_coordinator *coordinator,
                                void *ctx, snipe_time now);
/**
 * Cancels a job at the caller's request.
 * @return whether it was running here.
 */
bool snipe_coordinator_cancel (struct snipe_coordinator *coordinator,
                               const char *id, snipe_time now);
/** @return whether the job is running here. */
bool snipe_coordinator_has_job (const struct snipe_coordinator *coordinator,
                                const char *id);
/** @return the number of a route's jobs of which no task is known to have
 * completed. */
uint32_t
snipe_coordinator_pending_count (const struct snipe_coordinator *coordinator,
                                 const char *route);
/** @return whether the owner of some pool is known. */
bool snipe_coordinator_can_serve (const struct snipe_coordinator *coordinator);
/** @return whether an unfinished batch was last sent to the host. */
bool
snipe_coordinator_has_batch_at (const struct snipe_coordinator *coordinator,
                                uint64_t owner);
/** @return a time before which no caller had left whose batch was cancelled at
 * the host without its acknowledgement; @p owner 0: at any host. INT64_MAX if
 * there is none. */
snipe_time snipe_coordinator_cancelled_handled (
    const struct snipe_coordinator *coordinator, uint64_t owner);
/** @return the number of jobs that have not been answered. */
uint32_t
snipe_coordinator_job_count (const struct snipe_coordinator *coordinator);

/** State of a pool as reported by its owner at @p now. A higher fencing token
 * than before means that the pool has a new owner: its batches are sent to
 * that one, and cancelled at the earlier one, which may not know of the claim.
 */
struct snipe_coordinator_load
{
  const struct snipe_pool_id *pool;
  uint64_t owner;
  uint64_t token;
  const uint32_t *free_cpu; /**< per endpoint with free capacity, in
                               thousandths of a core */
  uint32_t free_count;
  int64_t total_cpu;
  int64_t backlog;
  double slowdown;
  uint64_t endpoint_digest; /**< of the ids of the pool's endpoints */
};
void snipe_coordinator_update_load (struct snipe_coordinator *coordinator,
                                    const struct snipe_coordinator_load *load,
                                    snipe_time now);
/** Core-time that waits in a pool and would give way to more urgent jobs, as
 * its owner reported with the fencing token: by class of urgency, in
 * thousandths of cores times milliseconds. It belongs to the load that was
 * reported last; of another owner than the known one it is ignored. */
void snipe_coordinator_update_waiting (
    struct snipe_coordinator *coordinator, const struct snipe_pool_id *pool,
    uint64_t owner, uint64_t token,
    const int64_t waiting[SNIPE_URGENCY_CLASSES]);
/** Reports the owner of a pool whose load is not known yet. */
void snipe_coordinator_set_owner (struct snipe_coordinator *coordinator,
                                  const struct snipe_pool_id *pool,
                                  uint64_t owner, uint64_t token,
                                  snipe_time now);
/** The endpoints of a service in a domain were split into more shards: pools
 * with fewer shards than @p pool get no more work. */
void snipe_coordinator_pool_split (struct snipe_coordinator *coordinator,
                                   const struct snipe_pool_id *pool,
                                   snipe_time now);
/** A failure domain is evacuated, or taken back: while it is evacuated, no
 * tasks are sent to its pools. */
void snipe_coordinator_set_evacuated (struct snipe_coordinator *coordinator,
                                      const char *domain, bool evacuated);
/** A host was declared lost: its pools have no known owner until one is
 * reported. */
void snipe_coordinator_owner_lost (struct snipe_coordinator *coordinator,
                                   uint64_t owner, snipe_time now);
/** Handles the result of a batch from the host @p from. Unless it reports a
 * complete batch, it counts only if it comes from the present owner and
 * answers the latest transmission of the batch: an earlier rejection tells
 * nothing about a copy that arrived later. */
void snipe_coordinator_handle_result (struct snipe_coordinator *coordinator,
                                      uint64_t from,
                                      const struct snipe_pool_result *result,
                                      snipe_time now);
/** The host @p from keeps room for all tasks of a held batch. When all batches
 * of its job have room, they are committed. */
void snipe_coordinator_handle_grant (struct snipe_coordinator *coordinator,
                                     uint64_t from, uint64_t number,
                                     snipe_time now);
/** Sends the unfinished batches of a host's pools to it again, because some
 * may have been lost. Cancellations follow with the next tick. */
void snipe_coordinator_resend (struct snipe_coordinator *coordinator,
                               uint64_t owner);
/** Abandons all jobs: this process was paused for so long that other hosts
 * have declared this host lost. */
void snipe_coordinator_fail_all (struct snipe_coordinator *coordinator,
                                 snipe_time now);
void snipe_coordinator_tick (struct snipe_coordinator *coordinator,
                             snipe_time now);

#endif
