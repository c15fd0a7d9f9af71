/**
 * @file home.h
 * The host that took a job from its caller keeps it until it is answered:
 * it hands the tasks to pools, follows a pool to its next owner, and gives
 * the answer. Nothing is stored; if the host dies, the caller sends the job
 * again. Pure: orders leave through struct snipe_coordinator_callbacks.
 *
 * A task that may have started in a pool is only ever continued in that pool,
 * whose owner learns from the endpoints what runs there. So it never runs
 * twice at the same time, whichever hosts die or are cut off.
 */
#ifndef SNIPE_HOME_H
#define SNIPE_HOME_H

#include "snipe/pool.h"

struct snipe_coordinator;

/** Whether some endpoint could ever run a job, by the list of endpoints. */
enum snipe_job_feasibility
{
  SNIPE_FEASIBILITY_POSSIBLE, /**< some could, or the list does not tell: pools
                                 decide */
  SNIPE_FEASIBILITY_NONE,     /**< none could */
  SNIPE_FEASIBILITY_STALE,    /**< none that is listed, but the list has to be
                               * read anew
                               */
};

/** A job of one step, answered when it has ended. */
struct snipe_coordinator_job
{
  const char *id;
  const char *route;
  const char *service;
  struct snipe_str spec;
  uint32_t count; /**< tasks */
  struct snipe_capacity task_resources;
  const char *label;
  const char *rack;
  uint32_t max_per_endpoint;
  uint32_t priority;
  uint32_t attempts;
  snipe_time estimate;
  double slack_factor; /**< wanted duration over that of the longest task */
  snipe_time slo;      /**< wanted duration beyond that */
  snipe_time caller_deadline; /**< caller waits no longer */
  uint64_t rules_version; /**< configuration that admitted it, for the log */
  enum snipe_job_feasibility feasibility;
  void *ctx; /**< of the answer */
};

enum snipe_coordinator_outcome
{
  SNIPE_COORDINATOR_COMPLETE,
  SNIPE_COORDINATOR_FAILED,  /**< a task failed for the last time */
  SNIPE_COORDINATOR_NOT_RUN, /**< nothing has started, nothing will */
  SNIPE_COORDINATOR_UNKNOWN, /**< given up; something may have started */
};

struct snipe_coordinator_answer
{
  enum snipe_coordinator_outcome outcome;
  int code; /**< enum snipe_status */
  snipe_time retry_after;
};

struct snipe_coordinator_callbacks
{
  void *ctx;
  /** Sends a batch to the owner of a pool.
   * @return 0, or negative if it surely does not arrive. */
  int (*submit) (void *ctx, uint64_t owner, const struct snipe_pool_id *pool,
                 const struct snipe_pool_batch *batch);
  void (*cancel) (void *ctx, uint64_t owner, uint64_t number);
  /** The answer to a job, once. */
  void (*answer) (void *ctx, void *job_ctx,
                  const struct snipe_coordinator_answer *answer);
};

struct snipe_coordinator_options
{
  unsigned int version;
  uint64_t incarnation;
  const char *domain;
  /** A pool whose owner was lost gets a new one within this time. */
  snipe_time takeover_timeout;
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
void snipe_coordinator_free (struct snipe_coordinator *home);

/** Takes a job. The answer comes through the port, maybe at once. A job whose
 * fit is stale waits for snipe_coordinator_recheck_jobs (), but not for long.
 */
void snipe_coordinator_submit (struct snipe_coordinator *home,
                               const struct snipe_coordinator_job *job,
                               snipe_time now);
/** The list of endpoints was read anew: asks @p fit of the jobs that wait for
 * it. */
void snipe_coordinator_recheck_jobs (
    struct snipe_coordinator *home,
    enum snipe_job_feasibility (*fit) (void *ctx,
                                       const struct snipe_coordinator_job *job,
                                       snipe_time now),
    void *ctx, snipe_time now);
/** The caller has closed its connection: stops the job without an answer. */
void snipe_coordinator_abandon (struct snipe_coordinator *home, void *ctx,
                                snipe_time now);
/** Ends a job at the caller's request.
 * @return whether it was running here. */
bool snipe_coordinator_cancel (struct snipe_coordinator *home, const char *id,
                               snipe_time now);
/** @return whether the job is running here. */
bool snipe_coordinator_has_job (const struct snipe_coordinator *home,
                                const char *id);
/** @return jobs of a route of which no task is known to have started. */
uint32_t snipe_coordinator_pending_count (const struct snipe_coordinator *home,
                                          const char *route);
/** @return whether the owner of some pool is known. */
bool snipe_coordinator_can_serve (const struct snipe_coordinator *home);
/** @return whether a batch is open at that owner of pools. */
bool snipe_coordinator_has_batch_at (const struct snipe_coordinator *home,
                                     uint64_t owner);
/** @return jobs that are not answered. */
uint32_t snipe_coordinator_job_count (const struct snipe_coordinator *home);

/** State of a pool, as its owner told it at @p now. A higher token than
 * before means that the pool has a new owner. */
struct snipe_coordinator_load
{
  const struct snipe_pool_id *pool;
  uint64_t owner;
  uint64_t token;
  const uint32_t *free_cpu; /**< of each endpoint with room, thousandths */
  uint32_t free_count;
  int64_t total_cpu;
  int64_t backlog;
  double slowdown;
  uint64_t endpoint_digest; /**< digest of the endpoints' ids */
};
void snipe_coordinator_update_load (struct snipe_coordinator *home,
                                    const struct snipe_coordinator_load *load,
                                    snipe_time now);
/** An owner is claimed without a load yet. */
void snipe_coordinator_set_owner (struct snipe_coordinator *home,
                                  const struct snipe_pool_id *pool,
                                  uint64_t owner, uint64_t token,
                                  snipe_time now);
/** The endpoints of a service in a domain are divided anew: pools with fewer
 * shards than @p pool get no more work. */
void snipe_coordinator_pool_split (struct snipe_coordinator *home,
                                   const struct snipe_pool_id *pool,
                                   snipe_time now);
/** A host is not heard any more. */
void snipe_coordinator_owner_lost (struct snipe_coordinator *home,
                                   uint64_t owner, snipe_time now);
/** A result from the host @p from. If the batch is not complete, it counts
 * only as the answer of the present owner to the last time that it was sent:
 * an earlier refusal says nothing of a copy that came later. */
void snipe_coordinator_handle_result (struct snipe_coordinator *home,
                                      uint64_t from,
                                      const struct snipe_pool_result *result,
                                      snipe_time now);
/** Sends the open batches of a host's pools again: some may be lost. */
void snipe_coordinator_resend (struct snipe_coordinator *home, uint64_t owner);
/** Gives up all jobs: this host was stopped for so long that others have
 * given it up. */
void snipe_coordinator_fail_all (struct snipe_coordinator *home,
                                 snipe_time now);
void snipe_coordinator_tick (struct snipe_coordinator *home, snipe_time now);

#endif
