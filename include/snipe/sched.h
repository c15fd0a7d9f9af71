/**
 * @file sched.h
 * The scheduler of one host. It tracks the slots of the endpoints that the
 * host owns, the free slots that peers report, and the queue of tasks. It
 * does no I/O, reads no clock and takes no lock; the caller must serialize
 * the calls.
 *
 * A task group holds the tasks of one job, or of one batch received from a
 * peer, that are queued or running here. Its tasks are numbered from 0.
 */
#ifndef SNIPE_SCHED_H
#define SNIPE_SCHED_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"
#include "snipe/job.h"
#include "snipe/str.h"

struct snipe_sched;
struct snipe_task_group;
struct snipe_sched_endpoint;

/** How an endpoint is chosen. All but POOLED are baselines for comparison. */
enum snipe_policy
{
  SNIPE_POLICY_POOLED,      /**< fastest free slot here or at a peer */
  SNIPE_POLICY_RANDOM,      /**< random endpoint, full or not */
  SNIPE_POLICY_ROUND_ROBIN, /**< next endpoint, full or not */
  SNIPE_POLICY_LEAST_STALE, /**< fewest running tasks, by counts that are up to
                                 100 ms old */
};

struct snipe_sched_options
{
  unsigned int version;
  enum snipe_policy policy;
  double offload_min_speedup; /**< ratio by which a peer's free endpoint must
                                   be faster than the best free one here */
  uint32_t queue_max;         /**< queued tasks, over all teams */
  snipe_time suspend_min;     /**< first suspension of a failing endpoint */
  snipe_time suspend_max;     /**< longest suspension */
  snipe_time full_backoff;    /**< pause after an endpoint rejected a start
                                   because it was full */
  uint64_t seed;              /**< for jitter and the random baseline */
};

#define SNIPE_SCHED_OPTIONS_VERSION 1
#define SNIPE_SCHED_OPTIONS_INIT                                              \
  {                                                                           \
    .version = SNIPE_SCHED_OPTIONS_VERSION, .policy = SNIPE_POLICY_POOLED,    \
    .offload_min_speedup = 1.25, .queue_max = 100000,                         \
    .suspend_min = 500 * SNIPE_MS, .suspend_max = 30 * SNIPE_S,               \
    .full_backoff = 20 * SNIPE_MS, .seed = 1                                  \
  }

/** An endpoint as listed in the platform's store. */
struct snipe_endpoint_info
{
  struct snipe_str name;
  struct snipe_str address; /**< "ip:port" */
  struct snipe_str domain;
  struct snipe_str region;
  struct snipe_str rack;
  uint32_t slots;
  uint32_t connections;
  uint32_t cores;
  uint32_t mem_mb;
  uint32_t accel;
  bool draining; /**< gets no new task */
};

/** What a peer last reported about its spare capacity. */
struct snipe_peer_load
{
  uint64_t incarnation;
  uint64_t domains;    /**< mask of failure domains of its endpoints */
  uint32_t free_slots; /**< usable slots now */
  uint32_t queued;     /**< tasks queued there */
  float best_speed;    /**< speed of its fastest free endpoint, 1 is average */
  bool live;           /**< may be sent tasks */
};

enum snipe_task_state
{
  SNIPE_TASK_QUEUED,
  SNIPE_TASK_RUNNING,   /**< started at an endpoint of this host */
  SNIPE_TASK_OFFLOADED, /**< sent to a peer */
  SNIPE_TASK_ENDED,
};

/** One task of a group, as the scheduler needs to know it. */
struct snipe_group_task
{
  struct snipe_task_resources needs;
  uint32_t kind;    /**< from snipe_sched_kind () */
  uint64_t domains; /**< mask of failure domains that its rule allows */
  snipe_time declared_duration; /**< on an endpoint of speed 1 */
  bool idempotent;
  bool offloadable; /**< false for a task received from a peer */
};

struct snipe_task_group_options
{
  unsigned int version;
  uint32_t team; /**< from snipe_sched_team () */
  uint32_t task_count;
  const struct snipe_group_task *tasks; /**< copied */
  snipe_time wait_max; /**< longest wait of a task in the queue, 0: none */
  float speed_min;     /**< minimum speed of an endpoint for a received batch;
                            its tasks are declined if the fastest free endpoint
                            is slower, 0: any */
  bool counts_against_quota; /**< false for a received batch, which its
                                  coordinator counts */
  void *ctx; /**< opaque, returned by snipe_task_group_ctx () */
};
#define SNIPE_TASK_GROUP_OPTIONS_VERSION 1
#define SNIPE_TASK_GROUP_OPTIONS_INIT                                         \
  {                                                                           \
    .version = SNIPE_TASK_GROUP_OPTIONS_VERSION, .counts_against_quota = true \
  }

/** Why a decision was taken. */
enum snipe_reason
{
  SNIPE_REASON_FASTEST_FREE, /**< fastest free slot of this host */
  SNIPE_REASON_IN_TIME,      /**< slowest free slot of this host that does not
                                  delay the job */
  SNIPE_REASON_PROBE,        /**< probe of a suspended endpoint */
  SNIPE_REASON_HOME_FULL,    /**< offloaded: no free slot here */
  SNIPE_REASON_PEER_FASTER,  /**< offloaded: peer faster by
                                  offload_min_speedup */
  SNIPE_REASON_WAITED,       /**< expired: queued longer than wait_max */
  SNIPE_REASON_TOO_SLOW,     /**< declined: the fastest free endpoint is slower
                                  than the batch's speed_min */
  SNIPE_REASON_BASELINE,     /**< chosen by a baseline policy */
};

enum snipe_decision_kind
{
  SNIPE_DECISION_START,   /**< send a start to an endpoint */
  SNIPE_DECISION_OFFLOAD, /**< send a batch of tasks of a group to a peer */
  SNIPE_DECISION_EXPIRE, /**< remove a task from the queue: it waited too long,
                              or is declined (TOO_SLOW) */
};

/** Maximum number of tasks in one OFFLOAD decision. */
#define SNIPE_OFFLOAD_TASKS_MAX 256

struct snipe_decision
{
  enum snipe_decision_kind kind;
  enum snipe_reason reason;
  struct snipe_task_group *group;
  union
  {
    struct
    {
      uint32_t task;
      struct snipe_sched_endpoint *endpoint;
    } start;
    struct
    {
      uint64_t incarnation;
      float speed_min; /**< for the peer's task group, 0: any */
      uint32_t count;
      uint32_t tasks[SNIPE_OFFLOAD_TASKS_MAX];
    } offload;
    struct
    {
      uint32_t task;
    } expire;
  } u;
};

/** Outcome of one attempt to run a task at an endpoint. */
enum snipe_attempt_outcome
{
  SNIPE_ATTEMPT_OK,     /**< ran and returned a result */
  SNIPE_ATTEMPT_FAILED, /**< ran and failed, or sent an invalid response */
  SNIPE_ATTEMPT_REFUSED_FULL,     /**< not started: no free slot */
  SNIPE_ATTEMPT_REFUSED_DRAINING, /**< not started: endpoint is draining */
  SNIPE_ATTEMPT_NOT_CONNECTED,    /**< not started: no connection */
  SNIPE_ATTEMPT_LOST,             /**< no response; the task may have run */
};

int snipe_sched_new (struct snipe_sched **out,
                     const struct snipe_sched_options *options);
void snipe_sched_free (struct snipe_sched *sched);

/** Interns a name.
 * @return its id, valid for the lifetime of the scheduler. */
uint32_t snipe_sched_team (struct snipe_sched *sched,
                           const struct snipe_str *team);
uint32_t snipe_sched_kind (struct snipe_sched *sched,
                           const struct snipe_str *team,
                           const struct snipe_str *kind);
/** Interns a failure domain.
 * @return its bit in masks of domains, 0 if there are 64 others already. */
uint64_t snipe_sched_domain (struct snipe_sched *sched,
                             const struct snipe_str *domain);

/** Sets a team's weight (default 1): under contention, teams get slots in
 * proportion to their weights. */
void snipe_sched_team_weight (struct snipe_sched *sched, uint32_t team,
                              uint32_t weight);
/** Sets how many slots this host may use for a team; UINT32_MAX: no limit. */
void snipe_sched_team_share (struct snipe_sched *sched, uint32_t team,
                             uint32_t share);
/** Gets the number of a team's slots in use and of its queued tasks, without
 * those of received batches. */
void snipe_sched_team_usage (const struct snipe_sched *sched, uint32_t team,
                             uint32_t *running, uint32_t *queued);

/** Adds an endpoint, or updates its attributes while keeping its learned
 * speed and its health. */
int snipe_sched_endpoint_set (struct snipe_sched *sched,
                              const struct snipe_endpoint_info *info,
                              snipe_time now);
/** Removes an endpoint. Its running tasks may still end. */
void snipe_sched_endpoint_drop (struct snipe_sched *sched,
                                const struct snipe_str *name, snipe_time now);
const struct snipe_endpoint_info *
snipe_sched_endpoint_info (const struct snipe_sched_endpoint *endpoint);

/** State of an endpoint, for operators. */
struct snipe_endpoint_status
{
  const struct snipe_endpoint_info *info;
  uint32_t running;
  float speed; /**< learned; 1: tasks take as declared */
  bool suspended;
  snipe_time probe_at; /**< time of the next probe if suspended, else 0 */
};
/** Calls @p visit for each endpoint that has not been removed. */
void snipe_sched_endpoint_foreach (
    const struct snipe_sched *sched,
    void (*visit) (void *ctx, const struct snipe_endpoint_status *status),
    void *ctx);

/** Stores a peer's load report, replacing the previous one. */
void snipe_sched_peer_set (struct snipe_sched *sched,
                           const struct snipe_peer_load *load, snipe_time now);
void snipe_sched_peer_drop (struct snipe_sched *sched, uint64_t incarnation);

/** Gets this host's own load report for its peers, without incarnation and
 * live, which the caller fills in. */
void snipe_sched_load_get (const struct snipe_sched *sched, snipe_time now,
                           struct snipe_peer_load *out);
/** @return whether some endpoint could run the task when idle, or some live
 * peer has endpoints in its domains. */
bool snipe_sched_is_feasible (const struct snipe_sched *sched,
                              const struct snipe_group_task *task);

/**
 * Queues the tasks of a new group.
 * @return 0, SNIPE_E_OVERLOAD if the queue of this host would exceed its
 * limit, SNIPE_E_NOMEM.
 */
int snipe_sched_group_add (struct snipe_task_group **out,
                           struct snipe_sched *sched,
                           const struct snipe_task_group_options *options,
                           snipe_time now);
/** Removes the queued tasks of a group; running and offloaded ones continue.
 * @param removed receives the numbers of the removed tasks; NULL, or
 * task_count long
 * @return the number of removed tasks. */
uint32_t snipe_sched_group_cancel (struct snipe_sched *sched,
                                   struct snipe_task_group *group,
                                   uint32_t *removed);
/** Frees a group of which no task is running or offloaded. */
void snipe_sched_group_free (struct snipe_sched *sched,
                             struct snipe_task_group *group);
void *snipe_task_group_ctx (const struct snipe_task_group *group);

/**
 * Takes the next decision. START marks the task running and takes a slot;
 * OFFLOAD marks its tasks offloaded and lowers the peer's free slots.
 * @return false if there is nothing to do now.
 */
bool snipe_sched_next (struct snipe_sched *sched, snipe_time now,
                       struct snipe_decision *out);
/** @return when snipe_sched_next () must be called again even without a new
 * event, since a back-off or a wait limit ends; INT64_MAX if never. */
snipe_time snipe_sched_wakeup_time (const struct snipe_sched *sched,
                                    snipe_time now);

/** Records the outcome of an attempt: frees the slot and updates the estimates
 * of speed and duration and the health of the endpoint. The task is ENDED
 * afterwards; snipe_sched_requeue () queues it again. */
void snipe_sched_task_end (struct snipe_sched *sched,
                           struct snipe_task_group *group, uint32_t task,
                           enum snipe_attempt_outcome outcome,
                           snipe_time duration, snipe_time now);
/** Records that the peer returned an offloaded task or its result. The task
 * is ENDED afterwards. */
void snipe_sched_offload_end (struct snipe_sched *sched,
                              struct snipe_task_group *group, uint32_t task,
                              snipe_time now);
/** Queues an ENDED task again. Its wait limit starts anew. */
void snipe_sched_requeue (struct snipe_sched *sched,
                          struct snipe_task_group *group, uint32_t task,
                          snipe_time now);
enum snipe_task_state
snipe_task_group_task_state (const struct snipe_task_group *group,
                             uint32_t task);

const char *snipe_reason_name (enum snipe_reason reason);

#endif
