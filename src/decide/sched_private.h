/**
 * @file sched_private.h
 * State of the scheduler, shared by the sched files of src/decide.
 *
 * Tasks with equal resources, domains and flags form a task class. A class
 * for which no endpoint or peer has free capacity is blocked until capacity
 * that could hold it appears, so its tasks cost nothing while they wait. Each
 * team has a queue for each class. A subgroup is the tasks of one class within
 * a task group, and the unit in that queue.
 */
#ifndef SNIPE_SCHED_PRIVATE_H
#define SNIPE_SCHED_PRIVATE_H

#include <glib.h>

#include "snipe/sched.h"

#define SCHED_DOMAINS_MAX 64
/* Endpoints are indexed by the log of their speed, in buckets of 2 % from
 * e^-2.56 to e^2.56. */
#define SCHED_SPEED_BUCKETS 256
#define SCHED_SPEED_BUCKET_WIDTH 0.02
#define SCHED_SPEED_BITMAP_WORDS (SCHED_SPEED_BUCKETS / 64)
#define SCHED_HEAP_INDEX_NONE UINT32_MAX
/* How old the counts get that SNIPE_POLICY_LEAST_STALE compares. */
#define SCHED_STALE_REPORT_INTERVAL (100 * SNIPE_MS)
/* A class that is starved for so long gets an endpoint reserved. */
#define SCHED_STARVATION_TIMEOUT SNIPE_S

struct sched_heap_node
{
  double key;
  uint64_t seq;   /**< order among equal keys */
  uint32_t index; /**< in the heap, SCHED_HEAP_INDEX_NONE if not in one */
};

/** Binary min-heap, ordered by (key, seq). */
struct sched_heap
{
  struct sched_heap_node **nodes;
  uint32_t count;
  uint32_t capacity;
};

struct sched_task_class_key
{
  uint64_t domains;
  struct snipe_task_resources needs;
  uint8_t offloadable;
  uint8_t idempotent;
  uint8_t counts_against_quota;
  uint8_t reserved; /**< padding, 0, so that memcmp () works */
};

struct sched_task_class
{
  struct sched_task_class_key key;
  uint32_t id;
  uint32_t subgroup_count;  /**< subgroups that refer to it */
  uint32_t queued;          /**< tasks */
  bool blocked;             /**< no free capacity when last tried */
  snipe_time starved_since; /**< first time that a slot was freed whose
                                 endpoint only lacked cores, memory or
                                 accelerators; 0: never */
  struct snipe_sched_endpoint *reserved_endpoint;
};

/** Queue of one task class of a team. */
struct sched_class_queue
{
  struct sched_task_class *task_class;
  struct sched_heap subgroups; /**< by remaining_us of their groups */
};

struct sched_team
{
  double load_per_weight;            /**< active / weight */
  uint64_t waiting_classes;          /**< bits of classes with queued tasks, by
                                          id modulo 64 */
  uint64_t waiting_classes_no_quota; /**< the same, only classes that do not
                                          count against the quota */
  double starts_per_weight;          /**< starts / weight, breaks ties of
                                          load_per_weight */
  uint64_t skipped_round; /**< round in which it had nothing to start */
  uint32_t weight;
  uint32_t active;     /**< running and offloaded tasks */
  uint32_t quota_used; /**< active tasks that count against the share */
  uint32_t share;
  uint32_t queued;
  uint32_t quota_queued;   /**< queued tasks that count against the share */
  GPtrArray *class_queues; /**< of struct sched_class_queue */
};

/** What was learned about the durations of one kind of task. */
struct sched_kind_estimate
{
  double log_factor;     /**< log of actual / declared duration at speed 1 */
  double log_error_mean; /**< mean absolute log of actual / expected */
  uint32_t samples;
};

struct sched_subgroup
{
  struct sched_heap_node node; /**< in the class queue; key is the group's
                                    remaining_us */
  struct snipe_task_group *group;
  struct sched_class_queue *class_queue;
  uint32_t *tasks; /**< longest first */
  uint16_t task_count;
  uint16_t head;   /**< index in tasks of the first queued one */
  uint16_t queued; /**< number of queued ones, from head on */
};

struct sched_task
{
  snipe_time queued_at;
  struct snipe_sched_endpoint *endpoint;
  float declared_us;
  float expected_us; /**< declared_us corrected by the estimate of its kind */
  uint32_t kind;
  uint16_t subgroup;
  uint8_t state;
  uint8_t probe; /**< runs as the probe of its endpoint */
};

struct snipe_task_group
{
  struct sched_heap_node expiry; /**< earliest time that a task may expire */
  void *ctx;
  snipe_time wait_max;
  double remaining_us; /**< sum of expected_us of tasks that have not ended */
  double
      expected_end; /**< latest expected end of its started tasks, 0 if none */
  uint32_t team;
  float speed_min;
  uint16_t task_count;
  uint16_t queued;
  uint16_t subgroup_count;
  bool counts_against_quota;
  uint8_t faster_peer_offloads; /**< batches sent to faster peers */
  struct sched_task tasks[];    /**< followed by the subgroups */
};

static inline struct sched_subgroup *
sched_group_subgroups (struct snipe_task_group *group)
{
  return (struct sched_subgroup *)(group->tasks + group->task_count);
}

struct snipe_sched_endpoint
{
  struct snipe_endpoint_info info;
  struct sched_heap_node timer;      /**< end of a back-off or suspension */
  struct snipe_sched_endpoint *prev; /**< in its speed bucket */
  struct snipe_sched_endpoint *next;
  uint64_t domain_bit;
  uint32_t domain;
  uint32_t index; /**< in the list of all endpoints */
  uint32_t slots;
  uint32_t running;
  uint32_t running_stale; /**< running when last sampled (LEAST_STALE) */
  /* Negative after totals were lowered, and under the baseline policies, which
   * ignore what is left. */
  int64_t cores_left;
  int64_t mem_left;
  int64_t accel_left;
  uint32_t free_slots_counted; /**< its contribution to free_slots of the
                                    scheduler */
  int free_bucket; /**< speed bucket whose list holds it, -1 none */
  double log_speed;
  float speed;
  uint32_t samples;
  uint16_t outcome_bits; /**< last 16 outcomes, 1 is a failure */
  uint8_t consecutive_failures;
  bool removed;
  bool reported_draining; /**< rejected a start as draining; the store's list
                               may lag behind */
  bool live_counted;      /**< counted in domain_live */
  bool suspended;
  bool probe_running;
  bool probe_ready;
  uint32_t suspensions; /**< consecutive ones, determines the back-off */
  snipe_time probe_at;
  snipe_time full_until;
  struct sched_task_class *reserved_for;
};

/** Free endpoints of one failure domain, in lists by speed bucket. */
struct sched_domain
{
  uint64_t bucket_bitmap[SCHED_SPEED_BITMAP_WORDS]; /**< buckets not empty */
  struct snipe_sched_endpoint *head[SCHED_SPEED_BUCKETS];
  struct snipe_sched_endpoint *tail[SCHED_SPEED_BUCKETS];
};

struct sched_peer
{
  struct snipe_peer_load load;
};

struct snipe_sched
{
  struct snipe_sched_options options;
  GHashTable *team_ids;
  GHashTable *kind_ids;
  GHashTable *domain_ids;
  GHashTable *endpoints_by_name;
  GHashTable *task_classes_by_key;
  GArray *teams;        /**< struct sched_team */
  GArray *kinds;        /**< struct sched_kind_estimate */
  GPtrArray *endpoints; /**< including removed ones that still run tasks */
  GPtrArray *task_classes;
  GPtrArray
      *probe_ready_endpoints; /**< suspended endpoints whose probe is due */
  GArray *peers;              /**< struct sched_peer */
  struct sched_domain *domains[SCHED_DOMAINS_MAX];
  uint32_t domain_live[SCHED_DOMAINS_MAX]; /**< endpoints not draining */
  uint64_t domains_live;     /**< domains that have such an endpoint */
  uint64_t domains_free;     /**< domains that have a free endpoint */
  uint64_t runnable_classes; /**< bits of classes that are not blocked, by id
                                  modulo 64 */
  uint32_t runnable_class_count[64]; /**< of each bit */
  struct sched_heap timers;
  struct sched_heap expiries;
  double kinds_log_mean; /**< mean of log_factor, held near 0 */
  float peer_best_speed; /**< over usable peers, 0 if none */
  uint32_t queued;
  uint32_t free_slots;
  uint32_t reservations;
  uint32_t round_robin_next;
  uint32_t next_class_id;
  uint64_t next_seq;
  uint64_t round;                   /**< number of the decision being taken */
  double current_starts_per_weight; /**< of the team that started last */
  uint64_t random_state;
  snipe_time stale_report_at;
  snipe_time starvation_check_at; /**< when a class may be starved, INT64_MAX:
                                     never */
};

/* sched_heap.c */
void sched_heap_push (struct sched_heap *heap, struct sched_heap_node *node);
void sched_heap_remove (struct sched_heap *heap, struct sched_heap_node *node);
void sched_heap_update (struct sched_heap *heap, struct sched_heap_node *node);

/* sched.c */
uint64_t sched_random (struct snipe_sched *sched);
static inline struct sched_team *
sched_team_at (const struct snipe_sched *sched, uint32_t team)
{
  return &g_array_index (sched->teams, struct sched_team, team);
}
void sched_team_update_load (struct sched_team *team);

/* sched_queue.c */
struct sched_task_class *
sched_task_class_get (struct snipe_sched *sched,
                      const struct sched_task_class_key *key);
void sched_task_class_block (struct snipe_sched *sched,
                             struct sched_task_class *task_class);
void sched_task_class_unblock (struct snipe_sched *sched,
                               struct sched_task_class *task_class);
/** Removes the task at @p position among the queued tasks of the subgroup
 * from the queue. @return its number in the group. */
uint32_t sched_subgroup_dequeue (struct snipe_sched *sched,
                                 struct sched_subgroup *subgroup,
                                 uint32_t position);
/** Removes the next expired task from the queue, if there is one. */
bool sched_expire_next (struct snipe_sched *sched, snipe_time now,
                        struct snipe_decision *out);
/** Subtracts @p by from the remaining duration of a group and reorders its
 * subgroups in their queues. */
void sched_group_reduce_remaining (struct snipe_task_group *group, double by);

/* sched_endpoint.c */
int sched_speed_bucket (double log_speed);
/** Brings the index of free endpoints and the counters up to date with the
 * state of the endpoint. */
void sched_endpoint_update_index (struct snipe_sched *sched,
                                  struct snipe_sched_endpoint *endpoint,
                                  snipe_time now);
/** Unblocks the task classes for which the endpoint has free capacity now. */
void sched_endpoint_unblock_classes (struct snipe_sched *sched,
                                     struct snipe_sched_endpoint *endpoint,
                                     snipe_time now);
/** @return whether the endpoint could run the task when it is idle. */
bool sched_endpoint_could_hold (const struct snipe_sched_endpoint *endpoint,
                                const struct sched_task_class_key *key);
/** @return whether the endpoint has free capacity for the task now. */
bool sched_endpoint_can_hold (const struct snipe_sched_endpoint *endpoint,
                              const struct sched_task_class_key *key);
/** @return whether tasks other than a probe may be started there. */
bool sched_endpoint_usable (const struct snipe_sched_endpoint *endpoint,
                            snipe_time now);
/** Takes a slot and the resources of one task. */
void sched_endpoint_acquire (struct snipe_sched *sched,
                             struct snipe_sched_endpoint *endpoint,
                             const struct snipe_task_resources *needs,
                             snipe_time now);
/** Gives back the slot and resources of one task, and frees a removed endpoint
 * after its last task. */
void sched_endpoint_release (struct snipe_sched *sched,
                             struct snipe_sched_endpoint *endpoint,
                             const struct snipe_task_resources *needs,
                             snipe_time now);
void sched_endpoint_set_timer (struct snipe_sched *sched,
                               struct snipe_sched_endpoint *endpoint);
void sched_endpoints_run_timers (struct snipe_sched *sched, snipe_time now);
/** Keeps the endpoint free for the next task of a starved class. */
void sched_endpoint_reserve (struct snipe_sched *sched,
                             struct snipe_sched_endpoint *endpoint,
                             struct sched_task_class *task_class,
                             snipe_time now);
void sched_endpoint_unreserve (struct snipe_sched *sched,
                               struct snipe_sched_endpoint *endpoint,
                               snipe_time now);
void sched_endpoint_free (struct snipe_sched *sched,
                          struct snipe_sched_endpoint *endpoint);

/* sched_health.c */
/** Records the outcome of an attempt, which may suspend the endpoint or end
 * its suspension. */
void sched_health_record (struct snipe_sched *sched,
                          struct snipe_sched_endpoint *endpoint, bool failed,
                          bool probe, snipe_time now);
void sched_health_set_probe_ready (struct snipe_sched *sched,
                                   struct snipe_sched_endpoint *endpoint,
                                   bool ready);

/* sched_learn.c */
/** @return the declared duration, corrected by the estimate of the kind. */
float sched_learn_expected_us (const struct snipe_sched *sched, uint32_t kind,
                               snipe_time declared);
/** Updates the estimates of an endpoint and a kind by one completed task. */
void sched_learn_update (struct snipe_sched *sched,
                         struct snipe_sched_endpoint *endpoint, uint32_t kind,
                         double declared, snipe_time duration);
/** @return a safety factor on the expected duration: few tasks of the kind
 * take longer. */
double sched_learn_margin (const struct snipe_sched *sched, uint32_t kind);
/** @return the log speed assumed for a new endpoint. */
double sched_learn_initial_log_speed (const struct snipe_sched *sched);

/* sched_peer.c */
/** @return the best peer for @p wanted tasks, NULL if none has a free slot. */
struct sched_peer *sched_peer_find (struct snipe_sched *sched,
                                    const struct sched_task_class_key *key,
                                    uint32_t wanted);
void sched_peer_reduce_free_slots (struct snipe_sched *sched,
                                   struct sched_peer *peer, uint32_t count);

#endif
