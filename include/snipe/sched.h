/**
 * @file sched.h
 * The scheduler of one host: slots of the endpoints it owns, free slots that
 * peers report, and the queue of tasks. Pure: it does no I/O, reads no
 * clock, takes no lock; the caller serializes calls.
 *
 * A work is the tasks of one job (or of one batch received from a peer) that
 * wait or run here. Its tasks are numbered from 0.
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

/** How a free slot is chosen; the others are baselines for comparison. */
enum snipe_policy
{
  SNIPE_POLICY_POOLED,      /**< fastest free slot, pass by gain */
  SNIPE_POLICY_RANDOM,      /**< any endpoint, full or not */
  SNIPE_POLICY_ROUND_ROBIN, /**< next endpoint, full or not */
  SNIPE_POLICY_LEAST_STALE, /**< fewest running by a report 100 ms old */
};

struct snipe_sched_options
{
  unsigned int version;
  enum snipe_policy policy;
  double offload_min_speedup; /**< ratio; a peer's free endpoint must be this
                       much faster than the best free one here */
  uint32_t queue_max;         /**< waiting tasks of a host */
  snipe_time suspend_min;     /**< first suspension of a failing endpoint */
  snipe_time suspend_max;     /**< longest suspension */
  snipe_time full_backoff;    /**< pause after "full" */
  uint64_t seed;              /**< of jitter and of the baselines */
};

#define SNIPE_SCHED_OPTIONS_VERSION 1
#define SNIPE_SCHED_OPTIONS_INIT                                              \
  {                                                                           \
    .version = SNIPE_SCHED_OPTIONS_VERSION, .policy = SNIPE_POLICY_POOLED,    \
    .offload_min_speedup = 1.25, .queue_max = 100000,                         \
    .suspend_min = 500 * SNIPE_MS, .suspend_max = 30 * SNIPE_S,               \
    .full_backoff = 20 * SNIPE_MS, .seed = 1                                  \
  }

/** An endpoint as the platform's list describes it. */
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
  bool draining;
};

/** What a peer last reported about its spare capacity. */
struct snipe_peer_load
{
  uint64_t incarnation;
  uint64_t domains;    /**< mask of failure domains of its endpoints */
  uint32_t free_slots; /**< usable slots now */
  uint32_t queued;     /**< tasks waiting there */
  float best_speed;    /**< of its fastest free endpoint, 1 is average */
  bool live;           /**< may be sent work */
};

enum snipe_task_state
{
  SNIPE_TASK_QUEUED,
  SNIPE_TASK_RUNNING,   /**< start sent to an endpoint of this host */
  SNIPE_TASK_OFFLOADED, /**< sent to a peer */
  SNIPE_TASK_ENDED,
};

struct snipe_group_task
{
  struct snipe_task_resources needs;
  uint32_t kind;    /**< from snipe_sched_kind () */
  uint64_t domains; /**< mask of failure domains its rule admits */
  snipe_time
      declared_duration; /**< declared duration on an average endpoint */
  bool idempotent;
  bool offloadable; /**< false for a task that a peer passed here */
};

struct snipe_task_group_options
{
  unsigned int version;
  uint32_t team; /**< from snipe_sched_team () */
  uint32_t task_count;
  const struct snipe_group_task *tasks; /**< copied */
  snipe_time wait_max; /**< longest wait of a task in the queue, 0: none */
  float speed_min;     /**< least speed of an endpoint for a batch from a peer;
                          its tasks are declined when none is free, 0: any */
  bool counts_against_quota; /**< false for a batch from a peer: its home
                                counts */
  void *ctx; /**< the caller's own, see snipe_task_group_ctx () */
};
#define SNIPE_TASK_GROUP_OPTIONS_VERSION 1
#define SNIPE_TASK_GROUP_OPTIONS_INIT                                         \
  {                                                                           \
    .version = SNIPE_TASK_GROUP_OPTIONS_VERSION, .counts_against_quota = true \
  }

enum snipe_reason
{
  SNIPE_REASON_FASTEST_FREE, /**< fastest free slot of this host */
  SNIPE_REASON_IN_TIME,      /**< slowest free slot of this host that does
                                not delay the job */
  SNIPE_REASON_PROBE,        /**< trial of a suspended endpoint */
  SNIPE_REASON_HOME_FULL,    /**< passed: no free slot here */
  SNIPE_REASON_PEER_FASTER,  /**< passed: peer faster by offload_min_speedup */
  SNIPE_REASON_WAITED,       /**< waited longer than its rule allows */
  SNIPE_REASON_TOO_SLOW, /**< no free endpoint of the batch's least speed */
  SNIPE_REASON_BASELINE, /**< chosen by a baseline policy */
};

enum snipe_decision_kind
{
  SNIPE_DECISION_START,   /**< send a start to an endpoint */
  SNIPE_DECISION_OFFLOAD, /**< send a batch of tasks of a work to a peer */
  SNIPE_DECISION_EXPIRE,  /**< the task waited too long, or its batch is
                             declined (TOO_SLOW), and left the queue */
};

/** Largest number of tasks in one PASS decision. */
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
      float speed_min; /**< for the peer's work options, 0: any */
      uint32_t count;
      uint32_t tasks[SNIPE_OFFLOAD_TASKS_MAX];
    } offload;
    struct
    {
      uint32_t task;
    } expire;
  } u;
};

/** How a start at an endpoint ended. */
enum snipe_attempt_outcome
{
  SNIPE_ATTEMPT_OK,               /**< ran, answered */
  SNIPE_ATTEMPT_FAILED,           /**< ran and failed, or broken answer */
  SNIPE_ATTEMPT_REFUSED_FULL,     /**< not started: no free slot */
  SNIPE_ATTEMPT_REFUSED_DRAINING, /**< not started: endpoint is leaving */
  SNIPE_ATTEMPT_NOT_CONNECTED,    /**< not started: no connection */
  SNIPE_ATTEMPT_LOST,             /**< may have run: no answer */
};

int snipe_sched_new (struct snipe_sched **out,
                     const struct snipe_sched_options *options);
void snipe_sched_free (struct snipe_sched *sched);

/** Interns names; the numbers hold for the life of the scheduler. */
uint32_t snipe_sched_team (struct snipe_sched *sched,
                           const struct snipe_str *team);
uint32_t snipe_sched_kind (struct snipe_sched *sched,
                           const struct snipe_str *team,
                           const struct snipe_str *kind);
/** @return the bit of a failure domain; at most 64 domains. */
uint64_t snipe_sched_domain (struct snipe_sched *sched,
                             const struct snipe_str *domain);

/** Sets a team's part under contention (default 1). */
void snipe_sched_team_weight (struct snipe_sched *sched, uint32_t team,
                              uint32_t weight);
/** Sets the slots that this host may use for a team; UINT32_MAX: no limit. */
void snipe_sched_team_share (struct snipe_sched *sched, uint32_t team,
                             uint32_t share);
/** Reports a team's slots in use and its waiting tasks. */
void snipe_sched_team_usage (const struct snipe_sched *sched, uint32_t team,
                             uint32_t *running, uint32_t *queued);

/** Adds an endpoint or changes its attributes. Learnt speed and health are
 * kept. An endpoint marked leaving gets no new start. */
int snipe_sched_endpoint_set (struct snipe_sched *sched,
                              const struct snipe_endpoint_info *info,
                              snipe_time now);
/** Takes an endpoint out of use; its running tasks may still end. */
void snipe_sched_endpoint_drop (struct snipe_sched *sched,
                                const struct snipe_str *name, snipe_time now);
const struct snipe_endpoint_info *
snipe_sched_endpoint_info (const struct snipe_sched_endpoint *endpoint);

/** One endpoint as operators see it. */
struct snipe_endpoint_status
{
  const struct snipe_endpoint_info *info;
  uint32_t running;
  float speed; /**< learnt, 1 is as declared */
  bool suspended;
  snipe_time probe_at; /**< when suspended: time of the next probe */
};
/** Calls @p visit for each endpoint in use. */
void snipe_sched_endpoint_foreach (
    const struct snipe_sched *sched,
    void (*visit) (void *ctx, const struct snipe_endpoint_status *status),
    void *ctx);

/** Stores a peer's report, replacing the earlier one. */
void snipe_sched_peer_set (struct snipe_sched *sched,
                           const struct snipe_peer_load *load, snipe_time now);
void snipe_sched_peer_drop (struct snipe_sched *sched, uint64_t incarnation);

/** Reports this host's own spare capacity for its peers; incarnation and
 * live are left for the caller to fill. */
void snipe_sched_load_get (const struct snipe_sched *sched, snipe_time now,
                           struct snipe_peer_load *out);
/** @return whether any live endpoint or peer could ever hold the task. */
bool snipe_sched_fits (const struct snipe_sched *sched,
                       const struct snipe_group_task *task);

/**
 * Queues the tasks of a work.
 * @return 0, SNIPE_E_OVERLOAD if the queue of this host would exceed its
 * limit, SNIPE_E_NOMEM.
 */
int snipe_sched_group_add (struct snipe_task_group **out,
                           struct snipe_sched *sched,
                           const struct snipe_task_group_options *options,
                           snipe_time now);
/** Removes queued tasks, leaving running and passed ones. @return how many
 * were removed; @p removed (may be NULL, task_count long) receives them. */
uint32_t snipe_sched_group_cancel (struct snipe_sched *sched,
                                   struct snipe_task_group *work,
                                   uint32_t *removed);
/** Frees a work whose tasks have all ended. */
void snipe_sched_group_free (struct snipe_sched *sched,
                             struct snipe_task_group *work);
void *snipe_task_group_ctx (const struct snipe_task_group *work);

/**
 * Takes the next decision. START marks the task running and its slot used;
 * PASS marks its tasks passed and lowers the peer's known free slots.
 * @return false when nothing can be decided now.
 */
bool snipe_sched_next (struct snipe_sched *sched, snipe_time now,
                       struct snipe_decision *out);
/** @return when to call snipe_sched_next () again although nothing happened
 * (end of a back-off, wait limit), INT64_MAX if never. */
snipe_time snipe_sched_wakeup_time (const struct snipe_sched *sched,
                                    snipe_time now);

/** A start ended: frees the slot, learns speed and duration, judges the
 * endpoint. The task is ENDED; snipe_sched_requeue () queues it again. */
void snipe_sched_task_end (struct snipe_sched *sched,
                           struct snipe_task_group *work, uint32_t task,
                           enum snipe_attempt_outcome end, snipe_time duration,
                           snipe_time now);
/** A task passed to a peer came back; the task is ENDED. */
void snipe_sched_offload_end (struct snipe_sched *sched,
                              struct snipe_task_group *work, uint32_t task,
                              snipe_time now);
/** Queues an ENDED task again. */
void snipe_sched_requeue (struct snipe_sched *sched,
                          struct snipe_task_group *work, uint32_t task,
                          snipe_time now);
enum snipe_task_state
snipe_task_group_task_state (const struct snipe_task_group *work,
                             uint32_t task);

const char *snipe_reason_name (enum snipe_reason reason);

#endif
