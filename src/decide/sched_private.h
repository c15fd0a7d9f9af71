/**
 * @file sched_private.h
 * State of the scheduler, shared by the files of src/decide.
 *
 * Tasks that ask for the same (needs, domains, flags) have one shape. A shape
 * that fits nowhere is blocked until capacity that could hold it appears, so
 * misfits cost nothing while they wait. A lane is the queue of one shape
 * within a team; a part is the tasks of one shape within a work.
 */
#ifndef SNIPE_SCHED_PRIVATE_H
#define SNIPE_SCHED_PRIVATE_H

#include <glib.h>

#include "snipe/sched.h"

#define SCHED_DOMAINS 64
/* Speed classes are 2 % apart and cover e^-2.56 to e^2.56. */
#define SCHED_CLASSES 256
#define SCHED_CLASS_STEP 0.02
#define SCHED_CLASS_WORDS (SCHED_CLASSES / 64)
#define SCHED_NOWHERE UINT32_MAX
#define SCHED_STALE_AGE (100 * SNIPE_MS)
#define SCHED_STARVED_AGE SNIPE_S

struct sched_node
{
  double key;
  uint64_t seq;   /**< order among equal keys */
  uint32_t index; /**< place in the heap, SCHED_NOWHERE outside */
};

/** Binary heap, least (key, seq) first. */
struct sched_heap
{
  struct sched_node **nodes;
  uint32_t count;
  uint32_t room;
};

struct sched_shape_key
{
  uint64_t domains;
  struct snipe_task_resources needs;
  uint8_t passable;
  uint8_t idempotent;
  uint8_t counts_quota;
  uint8_t zero;
};

struct sched_shape
{
  struct sched_shape_key key;
  uint32_t id;
  uint32_t parts;         /**< references */
  uint32_t queued;        /**< waiting tasks */
  bool blocked;           /**< fitted nowhere when last tried */
  snipe_time passed_over; /**< first time a slot was freed that only lacked
                             cores, memory or accelerators; 0: never */
  struct snipe_sched_endpoint *reserved;
};

struct sched_lane
{
  struct sched_shape *shape;
  struct sched_heap parts; /**< by remaining work */
};

struct sched_team
{
  double key;           /**< active / weight */
  uint64_t shapes;      /**< bits of shapes that wait */
  uint64_t shapes_free; /**< the same, of shapes that count no quota */
  double served;        /**< starts / weight, orders equal keys */
  uint64_t skipped;     /**< stamp of the decision that passed it over */
  uint32_t weight;
  uint32_t active; /**< running and passed tasks */
  uint32_t used;   /**< of these, the ones that count against the share */
  uint32_t share;
  uint32_t queued;
  uint32_t queued_quota;
  GPtrArray *lanes; /**< of struct sched_lane */
};

struct sched_kind
{
  double log_factor; /**< actual / declared duration at speed 1 */
  double spread;     /**< mean distance of the log of actual / expected */
  uint32_t samples;
};

struct sched_part
{
  struct sched_node node; /**< in the lane; key is the work's remaining */
  struct snipe_task_group *work;
  struct sched_lane *lane;
  uint32_t *order; /**< tasks of the shape, longest first */
  uint16_t room;
  uint16_t head;  /**< first waiting one in order */
  uint16_t count; /**< waiting ones */
};

struct sched_task
{
  snipe_time at; /**< when it was queued */
  struct snipe_sched_endpoint *endpoint;
  float declared; /**< microseconds */
  float expected; /**< corrected, microseconds */
  uint32_t kind;
  uint16_t part;
  uint8_t state;
  uint8_t probe; /**< runs as the probe of its endpoint */
};

struct snipe_task_group
{
  struct sched_node expiry; /**< earliest time at which a task may expire */
  void *ctx;
  snipe_time wait_max;
  double remaining; /**< expected work of tasks that have not ended */
  double finish;    /**< expected end of the started tasks, 0 if none */
  uint32_t team;
  float speed_min;
  uint16_t task_count;
  uint16_t queued;
  uint16_t part_count;
  bool counts_quota;
  uint8_t passes_faster;     /**< batches sent to faster peers */
  struct sched_task tasks[]; /**< followed by the parts */
};

static inline struct sched_part *
sched_parts (struct snipe_task_group *work)
{
  return (struct sched_part *)(work->tasks + work->task_count);
}

struct snipe_sched_endpoint
{
  struct snipe_endpoint_info info;
  struct sched_node timer;           /**< end of a back-off or suspension */
  struct snipe_sched_endpoint *prev; /**< in its speed class */
  struct snipe_sched_endpoint *next;
  uint64_t domain_bit;
  uint32_t domain;
  uint32_t index; /**< in the list of all endpoints */
  uint32_t slots;
  uint32_t running;
  uint32_t running_stale;
  /* Below 0 after totals shrank, and under the baselines. */
  int64_t cores_left;
  int64_t mem_left;
  int64_t accel_left;
  uint32_t counted; /**< free slots it adds to the host's total */
  int free_class;   /**< speed class whose list holds it, -1 none */
  double log_speed;
  float speed;
  uint32_t samples;
  uint16_t history; /**< last 16 outcomes, 1 is a failure */
  uint8_t in_row;   /**< failures in a row */
  bool dropped;
  bool said_leaving; /**< refused a start so; the host list may lag */
  bool counted_live; /**< in domain_live */
  bool suspended;
  bool probing; /**< a probe runs */
  bool probe_ready;
  uint32_t suspensions; /**< in a row, sets the back-off */
  snipe_time retry_at;
  snipe_time full_until;
  struct sched_shape *reserved_for;
};

struct sched_domain
{
  uint64_t bits[SCHED_CLASS_WORDS];
  struct snipe_sched_endpoint *head[SCHED_CLASSES];
  struct snipe_sched_endpoint *tail[SCHED_CLASSES];
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
  GHashTable *endpoint_names;
  GHashTable *shape_keys;
  GArray *teams;        /**< struct sched_team */
  GArray *kinds;        /**< struct sched_kind */
  GPtrArray *endpoints; /**< including dropped ones that still run tasks */
  GPtrArray *shapes;
  GPtrArray *probes; /**< suspended endpoints whose probe is due */
  GArray *peers;     /**< struct sched_peer */
  struct sched_domain *domains[SCHED_DOMAINS];
  uint32_t domain_live[SCHED_DOMAINS]; /**< endpoints not leaving */
  uint64_t domains_live; /**< domains that have such an endpoint */
  uint64_t domains_free; /**< domains that have a free endpoint */
  uint64_t ready;        /**< bits of shapes that are not blocked */
  uint32_t ready_count[64];
  struct sched_heap timers;
  struct sched_heap expiries;
  double kinds_log_mean; /**< mean of log_factor, held near 0 */
  float peer_best_speed; /**< over usable peers, 0 if none */
  uint32_t queued;
  uint32_t free_slots;
  uint32_t reservations;
  uint32_t next_endpoint; /**< of round robin */
  uint32_t next_shape;
  uint64_t seq;
  uint64_t stamp;
  double served_now; /**< served of the team that started last */
  uint64_t random;
  snipe_time stale_at;
  snipe_time starved_at; /**< when a shape may be starved, INT64_MAX never */
};

/* sched_heap.c */
void sched_heap_push (struct sched_heap *heap, struct sched_node *node);
void sched_heap_remove (struct sched_heap *heap, struct sched_node *node);
void sched_heap_update (struct sched_heap *heap, struct sched_node *node);

/* sched.c */
uint64_t sched_random (struct snipe_sched *sched);
static inline struct sched_team *
sched_team_at (const struct snipe_sched *sched, uint32_t team)
{
  return &g_array_index (sched->teams, struct sched_team, team);
}
void sched_team_rekey (struct sched_team *team);

/* sched_queue.c */
struct sched_shape *sched_shape_get (struct snipe_sched *sched,
                                     const struct sched_shape_key *key);
void sched_shape_block (struct snipe_sched *sched, struct sched_shape *shape);
void sched_shape_unblock (struct snipe_sched *sched,
                          struct sched_shape *shape);
/** Takes the task at @p place of the part's waiting tasks out of the queue. */
uint32_t sched_part_take (struct snipe_sched *sched, struct sched_part *part,
                          uint32_t place);
/** Finds an expired task. */
bool sched_expire_next (struct snipe_sched *sched, snipe_time now,
                        struct snipe_decision *out);
/** Changes the remaining work and restores the order of its parts. */
void sched_work_shrink (struct snipe_task_group *work, double by);

/* sched_endpoint.c */
int sched_speed_class (double log_speed);
/** Puts the endpoint into or out of the order of free ones. */
void sched_endpoint_refresh (struct snipe_sched *sched,
                             struct snipe_sched_endpoint *endpoint,
                             snipe_time now);
/** Unblocks the shapes that the endpoint can hold now. */
void sched_endpoint_wake (struct snipe_sched *sched,
                          struct snipe_sched_endpoint *endpoint,
                          snipe_time now);
bool sched_endpoint_could_hold (const struct snipe_sched_endpoint *endpoint,
                                const struct sched_shape_key *key);
bool sched_endpoint_can_hold (const struct snipe_sched_endpoint *endpoint,
                              const struct sched_shape_key *key);
bool sched_endpoint_usable (const struct snipe_sched_endpoint *endpoint,
                            snipe_time now);
void sched_endpoint_take (struct snipe_sched *sched,
                          struct snipe_sched_endpoint *endpoint,
                          const struct snipe_task_resources *needs,
                          snipe_time now);
/** Gives resources back; frees a dropped endpoint that runs nothing. */
void sched_endpoint_give (struct snipe_sched *sched,
                          struct snipe_sched_endpoint *endpoint,
                          const struct snipe_task_resources *needs,
                          snipe_time now);
void sched_endpoint_timer (struct snipe_sched *sched,
                           struct snipe_sched_endpoint *endpoint);
void sched_endpoints_tick (struct snipe_sched *sched, snipe_time now);
void sched_endpoint_reserve (struct snipe_sched *sched,
                             struct snipe_sched_endpoint *endpoint,
                             struct sched_shape *shape, snipe_time now);
void sched_endpoint_release (struct snipe_sched *sched,
                             struct snipe_sched_endpoint *endpoint,
                             snipe_time now);
void sched_endpoint_free (struct snipe_sched *sched,
                          struct snipe_sched_endpoint *endpoint);

/* sched_health.c */
void sched_health_judge (struct snipe_sched *sched,
                         struct snipe_sched_endpoint *endpoint, bool failed,
                         bool probe, snipe_time now);
void sched_health_probe_ready (struct snipe_sched *sched,
                               struct snipe_sched_endpoint *endpoint,
                               bool ready);

/* sched_learn.c */
float sched_learn_expected (const struct snipe_sched *sched, uint32_t kind,
                            snipe_time declared);
void sched_learn_ended (struct snipe_sched *sched,
                        struct snipe_sched_endpoint *endpoint, uint32_t kind,
                        double declared, snipe_time duration);
/** @return a factor that few tasks of the kind exceed their expected
 * duration by. */
double sched_learn_margin (const struct snipe_sched *sched, uint32_t kind);
/** @return the log speed to assume of a new endpoint. */
double sched_learn_initial (const struct snipe_sched *sched);

/* sched_peer.c */
struct sched_peer *sched_peer_find (struct snipe_sched *sched,
                                    const struct sched_shape_key *key,
                                    uint32_t wanted);
void sched_peer_used (struct snipe_sched *sched, struct sched_peer *peer,
                      uint32_t count);

#endif
