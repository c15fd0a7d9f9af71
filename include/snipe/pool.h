/**
 * @file pool.h
 * Scheduler of one pool of endpoints. Each endpoint has a capacity in cores
 * and memory; a pool has one owner, a host, at a time. The scheduler decides
 * which waiting task starts at which endpoint, which batches are rejected, and
 * which runs are stopped. It reads no clock and does no I/O: requests leave
 * through struct snipe_pool_callbacks, and their answers come back through
 * snipe_pool_on_start () and the like.
 *
 * The endpoints enforce exclusive use: an endpoint rejects every request whose
 * fencing token is lower than the highest one it has seen. A new owner first
 * reads what runs at each endpoint with its own, higher token.
 */
#ifndef SNIPE_POOL_H
#define SNIPE_POOL_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"
#include "snipe/crash_table.h"
#include "snipe/list_age.h"
#include "snipe/pool_id.h"
#include "snipe/str.h"

/** Attempt of a batch that its pool may decline; the attempts of a batch that
 * it may not decline start above. */
#define SNIPE_POOL_DECLINABLE_ATTEMPT 1
/** Time for which a pool keeps the room of a held batch. The other pools of
 * its job need a few round trips between domains; meanwhile the room is idle.
 */
#define SNIPE_POOL_HOLD_TIME (100 * SNIPE_MS)
/** An endpoint that has crashed is back within this time, or gone for long. */
#define SNIPE_POOL_AWAIT_MAX (6 * SNIPE_S)

struct snipe_pool;
struct snipe_pool_endpoint;

/** Resources that a task needs or that an endpoint has. */
struct snipe_capacity
{
  int64_t cpu; /**< thousandths of a core */
  int64_t mem_mb;
  int64_t gpu;
};

/** An endpoint as the directory lists it. */
struct snipe_endpoint_entry
{
  char id[SNIPE_NAME_BYTES];
  char address[64]; /**< "ip:port" */
  char service[SNIPE_NAME_BYTES];
  char domain[SNIPE_NAME_BYTES];
  char kind[64];      /**< hardware label, "" if none */
  char rack[64];      /**< "" if none */
  int64_t started_ms; /**< start of the incarnation, Unix time; 0: unknown */
  /** Version of the list at which the endpoint wrote the entry, 0: unknown. Of
   * two readings, that with the lower one is older. */
  uint64_t version;
  struct snipe_capacity capacity;
  /** Largest capacity that its incarnation is known to have had, which it may
   * have again; zeros if unknown. */
  struct snipe_capacity largest;
  bool draining; /**< will leave: accepts no new tasks, or only short ones */
  /** If it is draining: its clock when it was listed as such, and when it
   * leaves at the earliest, ms; 0: unknown. */
  int64_t draining_clock_ms;
  int64_t leaves_clock_ms;
};

/** @return whether the entries differ in nothing but their version. */
bool snipe_endpoint_entry_equal (const struct snipe_endpoint_entry *a,
                                 const struct snipe_endpoint_entry *b);
/** @return whether @p a is an older reading than @p b. */
bool snipe_endpoint_entry_is_older (const struct snipe_endpoint_entry *a,
                                    const struct snipe_endpoint_entry *b);

/** Outcome of a task of a batch; part of the protocol between hosts. */
enum snipe_task_outcome
{
  SNIPE_TASK_PENDING = 0, /**< has not ended yet */
  SNIPE_TASK_DONE = 1,    /**< completed */
  SNIPE_TASK_FAILED = 2,  /**< started and failed in its last attempt */
  SNIPE_TASK_NOT_RUN = 3, /**< never started and never will be */
  SNIPE_TASK_STOPPED = 4, /**< started and then stopped */
};

/** Tasks of one job step that a host submits to a pool. */
struct snipe_pool_batch
{
  uint64_t coordinator; /**< incarnation of the host that coordinates it */
  uint64_t number;      /**< unique per coordinator */
  uint32_t attempt;     /**< number of times it was sent, this one included */
  snipe_time sent_at;   /**< 0: now */
  /** Up to when its coordinator had handled what its callers sent: the caller
   * of the batch had not left before. 0: now */
  snipe_time handled_at;
  const char *job;
  uint32_t step;
  const char *route; /**< key under which task durations are learned */
  struct snipe_str spec;
  const uint32_t *indexes; /**< of the tasks within their step */
  uint32_t count;
  struct snipe_capacity task_resources; /**< needed by one task */
  const char *label;         /**< label that the endpoint must have, "": any */
  const char *rack;          /**< preferred rack, "": any */
  uint32_t max_per_endpoint; /**< 0: no limit */
  uint32_t priority;         /**< 0 is the highest */
  uint32_t attempts;   /**< failed runs of a task after which the job fails */
  snipe_time estimate; /**< declared duration of a task */
  snipe_time soft_deadline;   /**< wanted completion time */
  snipe_time hard_deadline;   /**< a later result is worthless to the caller */
  snipe_time caller_deadline; /**< the caller stops waiting */
  /** The pool rejects it with SNIPE_E_REFUSED if it cannot start all tasks at
   * once, or, with the option spread_load, soon enough: its coordinator then
   * tries another pool. */
  bool declinable;
  /** One of several batches of a job of which nothing may start before all
   * have room: nothing is started before snipe_pool_commit (). */
  bool held;
  bool group;  /**< its tasks are slower if they run in several racks */
  bool resent; /**< may already run, started by a previous owner */
  /** If resent: digest of the endpoints that the previous owner used, 0 if
   * unknown. If the digest of this owner differs, the tasks may run at
   * endpoints that it does not query. */
  uint64_t endpoint_digest;
};

/** Result of a batch, sent to its coordinator exactly once. */
struct snipe_pool_result
{
  uint64_t coordinator;
  uint64_t number;
  uint32_t attempt; /**< attempt of the batch that this result answers */
  const char *job;
  const uint32_t *outcomes; /**< enum snipe_task_outcome of each task */
  uint32_t count;
  int code;                   /**< enum snipe_status */
  snipe_time retry_after;     /**< if rejected: when to retry */
  snipe_time caller_deadline; /**< that of the batch */
};

/** Requests to endpoints. Each is sent once at most, and not later than
 * @p send_within after @p decided_at, because a later one may reach a new
 * incarnation of the endpoint when its run has been taken as ended. Each is
 * answered by one call of the function that its callback names: with
 * SNIPE_ANSWER_UNREACHABLE if it was not sent, with SNIPE_ANSWER_NONE or
 * SNIPE_ANSWER_NONE_CONNECTED if there is no answer within @p timeout. An
 * answer that arrives later is passed as well, in a second call. */
struct snipe_pool_start_request
{
  const struct snipe_endpoint_entry *endpoint;
  uint64_t token;
  char task[SNIPE_TASK_NAME_BYTES];
  uint32_t run;
  struct snipe_str spec; /**< borrowed */
  int64_t valid_until;   /**< endpoint clock, ms */
  bool again;            /**< an earlier request for the run is unanswered */
  snipe_time decided_at;
  snipe_time send_within; /**< 0: at any time */
  snipe_time timeout;
  uint64_t coordinator; /**< of the batch */
  uint64_t batch;       /**< its number */
  /** Endpoints of the pool that have not answered the claim: a previous owner
   * may have runs there that are not known. */
  uint32_t unconfirmed_endpoints;
};

struct snipe_pool_stop_request
{
  const struct snipe_endpoint_entry *endpoint;
  uint64_t token;
  char task[SNIPE_TASK_NAME_BYTES];
  uint32_t run;
  bool again; /**< an earlier request for the run is unanswered */
  snipe_time decided_at;
  snipe_time send_within; /**< 0: at any time */
  snipe_time timeout;
};

struct snipe_pool_poll_request
{
  const struct snipe_endpoint_entry *endpoint;
  uint64_t token;
  uint64_t last_seen_end; /**< sequence of the last ended run processed */
  int64_t valid_until; /**< endpoint clock, ms; 0: do not extend the lease */
  snipe_time wait; /**< the endpoint answers when a run ends, or after this */
  bool again;      /**< an earlier poll is unanswered */
  snipe_time decided_at;
  snipe_time send_within; /**< 0: at any time */
  snipe_time timeout;
};

/** Why the owner of a pool takes a run as ended that no endpoint reported. */
enum snipe_assumed_end_reason
{
  SNIPE_ASSUMED_LEASE,     /**< every lease that was granted has expired */
  SNIPE_ASSUMED_MISSING,   /**< the endpoint does not list it any more */
  SNIPE_ASSUMED_RESTARTED, /**< another incarnation is at the address */
};

struct snipe_pool_assumed_end
{
  const char *task;
  uint32_t run;
  const char *endpoint;
  enum snipe_assumed_end_reason reason;
  snipe_time since_extended; /**< time since the lease was extended last */
  snipe_time since_received; /**< time since the endpoint's last answer */
  uint32_t start_requests;   /**< number sent */
  bool stop_confirmed;       /**< by the endpoint */
};

/** A run that an endpoint reports and that the owner did not know. */
struct snipe_pool_found_run
{
  const char *task;
  uint32_t run;
  const char *endpoint;
  snipe_time answer_age; /**< since the answered request was sent */
  bool claimed;          /**< by a task of an open batch */
};

/** What a pool decided on a batch that starts as a whole. */
enum snipe_whole_decision
{
  SNIPE_WHOLE_WAITS,    /**< there is not room for all of its tasks yet */
  SNIPE_WHOLE_STARTED,  /**< all of its tasks */
  SNIPE_WHOLE_GIVEN_UP, /**< it cannot end in time; nothing was started */
  SNIPE_WHOLE_GRANTED,  /**< held: its room is kept for SNIPE_POOL_HOLD_TIME */
  SNIPE_WHOLE_EXPIRED,  /**< held: its room was kept for too long */
};

/** A decision with its inputs, for the log. */
struct snipe_pool_whole_event
{
  enum snipe_whole_decision decision;
  const char *job;
  uint64_t coordinator;
  uint64_t batch;         /**< its number */
  uint32_t needed;        /**< number of tasks */
  uint32_t free_now;      /**< number of them that could start now */
  snipe_time waited;      /**< since it arrived */
  snipe_time until_start; /**< expected start of its last task, from now */
  snipe_time until_end;   /**< expected end of its last task, from now */
  snipe_time until_due;   /**< its deadline, from now */
};

/** A task that has crashed SNIPE_CRASHES_MAX endpoints. Its batch has failed.
 */
struct snipe_pool_given_up
{
  const char *task;
  uint64_t coordinator;
  uint64_t batch; /**< its number */
  struct snipe_loss_count losses;
};

/** A run that is done and that no batch had when its end was reported. */
struct snipe_pool_late_end
{
  const char *task;
  uint32_t run;
  const char *endpoint;
  snipe_time answer_age; /**< since the answered request was sent */
  bool claimed;          /**< by a task of an open batch, which is done */
};

/** Where the tasks of a batch start that are faster near their data or their
 * group. */
enum snipe_locality_choice
{
  SNIPE_LOCALITY_NEAR, /**< now, at a near place */
  SNIPE_LOCALITY_WAIT, /**< when a near place is free, or later elsewhere */
  SNIPE_LOCALITY_FAR,  /**< now, elsewhere */
};

/** Decision on the waiting tasks of a batch, with what it depends on. */
struct snipe_pool_locality
{
  const char *job;
  uint64_t coordinator;
  uint64_t batch; /**< its number */
  enum snipe_locality_choice choice;
  const char *rack;     /**< where a place is near, "": none is */
  snipe_time near_wait; /**< until a near place is free; -1: unknown */
  double factor;        /**< by which a task takes longer elsewhere */
  snipe_time left;      /**< until the hard deadline */
  snipe_time wait_max;  /**< if it waits */
};

/** A waiting batch is handed back, because a more urgent one needs its room.
 */
struct snipe_pool_displaced
{
  const char *job;
  uint64_t coordinator;
  uint64_t batch; /**< number */
  uint32_t priority;
  uint32_t count; /**< tasks */
  snipe_time waited;
  const char *by_job;
  uint32_t by_priority;
};

/** A request extends the lease of an endpoint at which an earlier owner's run
 * is unclaimed, or for less than the longest lease. */
struct snipe_pool_lease
{
  const char *endpoint;
  /** A run that the lease is extended for, NULL: a start, or unclaimed runs.
   */
  const char *task;
  snipe_time length;      /**< 0 or less: it is not extended */
  const char *bounded_by; /**< run that has to end first, NULL: none */
  uint32_t bounding_run;  /**< its number */
  bool claimed;           /**< it belongs to a batch */
  uint64_t coordinator;   /**< of that batch, whose last stamp is the bound */
  int64_t valid_until;    /**< endpoint clock, ms; 0: it is not extended */
  /** Until that run has to have ended, INT64_MAX: without end. */
  snipe_time until_due;
  uint32_t unclaimed; /**< number of runs of no batch */
};

struct snipe_pool_callbacks
{
  void *ctx;
  /** Answered by snipe_pool_on_start (). */
  void (*start) (void *ctx, const struct snipe_pool_start_request *request);
  /** Answered by snipe_pool_on_stop (). */
  void (*stop) (void *ctx, const struct snipe_pool_stop_request *request);
  /** Answered by snipe_pool_on_poll (). */
  void (*poll) (void *ctx, const struct snipe_pool_poll_request *request);
  void (*result) (void *ctx, const struct snipe_pool_result *result);
  /** The pool keeps room for all tasks of a held batch. Called again if the
   * batch arrives again. */
  void (*granted) (void *ctx, uint64_t coordinator, uint64_t number);
  /** A run is taken as ended, and its task may start elsewhere. For the log;
   * may be NULL. */
  void (*assumed_end) (void *ctx, const struct snipe_pool_assumed_end *end);
  /** For the log; may be NULL. */
  void (*lease) (void *ctx, const struct snipe_pool_lease *lease);
  /** For the log; may be NULL. */
  void (*found_run) (void *ctx, const struct snipe_pool_found_run *found);
  /** A run is done that had been taken as ended, or that a batch took although
   * it did not know the run. For the log; may be NULL. */
  void (*late_end) (void *ctx, const struct snipe_pool_late_end *end);
  /** For the log; may be NULL. */
  void (*given_up) (void *ctx, const struct snipe_pool_given_up *given_up);
  /** The decision for a batch has changed. For the log; may be NULL. */
  void (*locality) (void *ctx, const struct snipe_pool_locality *locality);
  /** For the log; may be NULL. */
  void (*displaced) (void *ctx, const struct snipe_pool_displaced *event);
  /** For the log; may be NULL. */
  void (*whole) (void *ctx, const struct snipe_pool_whole_event *event);
  /** @return the latest time up to which the host @p coordinator had certainly
   * handled what its callers sent, without a cancellation that is still to
   * arrive; never later than @p now. May be NULL: then leases do not depend on
   * it. */
  snipe_time (*coordinator_heard) (void *ctx, uint64_t coordinator,
                                   snipe_time now);
};

/** Answer of an endpoint to a request. */
enum snipe_endpoint_answer
{
  SNIPE_ANSWER_OK,
  SNIPE_ANSWER_NONE, /**< no answer: may still be carried out */
  /** The same, and it was the first request on its connection, which may be
   * one to an incarnation of the endpoint that is not known yet. */
  SNIPE_ANSWER_NONE_CONNECTED,
  SNIPE_ANSWER_UNREACHABLE, /**< not sent: certainly not carried out */
  SNIPE_ANSWER_FENCED,      /**< the endpoint has seen a higher token */
  SNIPE_ANSWER_STALE_RUN,   /**< an equal or higher run has ended there */
  SNIPE_ANSWER_EXPIRED,     /**< arrived after valid_until */
  SNIPE_ANSWER_NO_CAPACITY,
  SNIPE_ANSWER_UNHEALTHY, /**< not carried out */
  SNIPE_ANSWER_RESTARTED, /**< the endpoint restarted since it was listed */
  SNIPE_ANSWER_INVALID,   /**< malformed request; not carried out */
  /** Not sent, because no process listens at the address. */
  SNIPE_ANSWER_REFUSED,
};

/** Outcome of a run as reported by the endpoint. */
enum snipe_run_outcome
{
  SNIPE_RUN_DONE,
  SNIPE_RUN_FAILED,
  SNIPE_RUN_STOPPED,
  SNIPE_RUN_LEASE_EXPIRED, /**< stopped because the endpoint's lease expired */
};

struct snipe_endpoint_run
{
  char task[SNIPE_TASK_NAME_BYTES];
  uint32_t run;
};

struct snipe_endpoint_ended_run
{
  uint64_t sequence;
  char task[SNIPE_TASK_NAME_BYTES];
  uint32_t run;
  enum snipe_run_outcome outcome;
};

struct snipe_endpoint_report
{
  int64_t clock_ms;   /**< endpoint clock; 0 if not reported */
  int64_t started_ms; /**< 0 if not reported */
  bool draining;      /**< the endpoint accepts no new tasks */
  snipe_time sent_at; /**< when the request was sent that it answers */
  snipe_time waited;  /**< how long the endpoint was asked to wait */
  const struct snipe_endpoint_run *running;
  uint32_t running_count;
  const struct snipe_endpoint_ended_run *ended;
  uint32_t ended_count;
};

struct snipe_pool_options
{
  unsigned int version;
  uint64_t token;       /**< sent to every endpoint of the pool */
  snipe_time lease_max; /**< longest lease that an endpoint grants */
  /** Callers of a host that was lost, or that has cancelled a batch, resend
   * their jobs no sooner. No lease is extended beyond this time, less
   * @c stop_max, after its run's coordinator was heard. */
  snipe_time resend_after;
  snipe_time stop_max; /**< longest duration of a stop */
  /** Longest round trip to a coordinator, if its host is not slow. */
  snipe_time round_trip_max;
  /** Runs that were lost with their endpoints, shared by the pools of a host;
   * NULL: the pool has a table of its own. */
  struct snipe_crash_table *crashes;
  /** Age of the list by which the endpoints are set: by an old one, which may
   * not have a capacity that has shrunk, nothing is started while a newer one
   * can be had. NULL: the age does not matter. */
  const struct snipe_list_age *list;
  /** Duration of a task in another rack than the one of its data, or of a task
   * whose group runs in several racks, over its duration otherwise. 1 or less:
   * no task waits for a place. */
  double remote_factor;
  /** Time for which tasks may be started at an endpoint after it was listed as
   * draining, if they end before it leaves; 0: none is. */
  snipe_time drain_max;
  /** A batch starts only when there is room for all of its tasks, and is
   * rejected as soon as that cannot be in time. */
  bool whole_jobs;
  /** Many hosts send to the pool: accept a declinable batch also if its tasks
   * have to wait, but are expected to meet the soft deadline. */
  bool spread_load;
  /** A batch for which there is no room in time gets that of less urgent ones
   * that wait: they are rejected with SNIPE_E_DISPLACED, not run. */
  bool shared_order;
  struct snipe_pool_callbacks callbacks;
};
#define SNIPE_POOL_OPTIONS_VERSION 1
#define SNIPE_POOL_OPTIONS_INIT                                               \
  {                                                                           \
    .version = SNIPE_POOL_OPTIONS_VERSION, .lease_max = 1000 * SNIPE_MS,      \
    .resend_after = 1300 * SNIPE_MS, .stop_max = 50 * SNIPE_MS,               \
    .remote_factor = 1                                                        \
  }

int snipe_pool_new (struct snipe_pool **out,
                    const struct snipe_pool_options *options, snipe_time now);
void snipe_pool_free (struct snipe_pool *pool);

/** Adds an endpoint or updates its entry. */
void snipe_pool_endpoint_set (struct snipe_pool *pool,
                              const struct snipe_endpoint_entry *entry,
                              snipe_time now);
/** Another host reported that this incarnation of the endpoint is draining: no
 * new tasks are started there. */
void snipe_pool_endpoint_drain (struct snipe_pool *pool, const char *id,
                                int64_t started_ms);
/** The directory no longer lists the endpoint. */
void snipe_pool_endpoint_remove (struct snipe_pool *pool, const char *id,
                                 snipe_time now);

/** Marks that all endpoints of a list that was read after the claim of the
 * pool have been set. Until then no resent batch is started: its tasks may run
 * at an endpoint that this owner does not know yet. */
void snipe_pool_directory_synced (struct snipe_pool *pool);

/** Another host may have owned the pool until now, and not have known of this
 * owner: it may have extended leases at endpoints that this one does not
 * know. */
void snipe_pool_earlier_owner_heard (struct snipe_pool *pool, snipe_time now);

/** The failure domain of the pool is evacuated, or taken back. While it is
 * evacuated, nothing is started and no capacity is reported; what runs goes
 * on. Batches of which no task runs are handed back with SNIPE_E_REFUSED. */
void snipe_pool_set_evacuated (struct snipe_pool *pool, bool evacuated,
                               snipe_time now);
bool snipe_pool_is_evacuated (const struct snipe_pool *pool);

/** Submits a batch. Its result is passed to the result callback, possibly
 * before this function returns. */
void snipe_pool_submit (struct snipe_pool *pool,
                        const struct snipe_pool_batch *batch, snipe_time now);
/** All batches of the job of a held batch have room: its tasks are started.
 * @return false if the pool does not have the batch, or if it is not held. */
bool snipe_pool_commit (struct snipe_pool *pool, uint64_t coordinator,
                        uint64_t number, snipe_time now);
/** A cancelled batch of which no task had been started. */
struct snipe_pool_unstarted
{
  uint32_t count;   /**< of its tasks; 0: the pool cannot tell */
  uint32_t attempt; /**< the latest that it received */
};

/** Cancels a batch: drops its waiting tasks and stops its runs. No result is
 * sent. */
struct snipe_pool_unstarted snipe_pool_cancel (struct snipe_pool *pool,
                                               uint64_t coordinator,
                                               uint64_t number,
                                               snipe_time now);
/** @return whether no batch is open and no run is known. */
bool snipe_pool_idle (const struct snipe_pool *pool);
/** @return whether the batch is open. */
bool snipe_pool_has_batch (struct snipe_pool *pool, uint64_t coordinator,
                           uint64_t number);
/** @return whether a batch of @p coordinator is open. */
bool snipe_pool_has_batch_of (const struct snipe_pool *pool,
                              uint64_t coordinator);
/** The host @p coordinator is considered lost: finishes all its
 * batches. Their results are sent nevertheless, in case it becomes reachable
 * again. */
void snipe_pool_coordinator_lost (struct snipe_pool *pool,
                                  uint64_t coordinator, snipe_time now);

void snipe_pool_on_start (struct snipe_pool *pool, const char *endpoint,
                          const char *task, uint32_t run,
                          enum snipe_endpoint_answer answer,
                          const struct snipe_endpoint_report *report,
                          snipe_time now);
void snipe_pool_on_stop (struct snipe_pool *pool, const char *endpoint,
                         const char *task, uint32_t run,
                         enum snipe_endpoint_answer answer,
                         const struct snipe_endpoint_report *report,
                         snipe_time now);
void snipe_pool_on_poll (struct snipe_pool *pool, const char *endpoint,
                         enum snipe_endpoint_answer answer,
                         const struct snipe_endpoint_report *report,
                         snipe_time now);
/** Runs everything that depends on time: timeouts, rejections, retries and
 * placement. Call at least every 50 ms. */
void snipe_pool_tick (struct snipe_pool *pool, snipe_time now);
/** @return whether the endpoint belongs to the pool. */
bool snipe_pool_has_endpoint (const struct snipe_pool *pool,
                              const char *endpoint);
/** @return whether an endpoint has crashed and is expected to be back. */
bool snipe_pool_awaits_endpoint (const struct snipe_pool *pool,
                                 snipe_time now);
/** @return whether an endpoint rejected a request because another owner with a
 * higher token has claimed it. */
bool snipe_pool_fenced (const struct snipe_pool *pool);

struct snipe_pool_load
{
  uint32_t endpoints; /**< usable ones */
  uint32_t over;      /**< those that run more than they have room for */
  int64_t total_cpu;
  int64_t backlog;          /**< of waiting tasks: thousandths of cores x ms */
  double slowdown;          /**< actual over estimated duration */
  uint64_t endpoint_digest; /**< of their ids, 0 if there are none */
};

/** Classes of urgency in which a pool tells what waits: a priority each, the
 * last with all that are less urgent. */
#define SNIPE_URGENCY_CLASSES 4

static inline uint32_t
snipe_urgency_class (uint32_t priority)
{
  return priority < SNIPE_URGENCY_CLASSES ? priority
                                          : SNIPE_URGENCY_CLASSES - 1;
}

/** Reads the core-time of the waiting batches that would give way to more
 * urgent ones, by class, in thousandths of cores times milliseconds. */
void snipe_pool_read_waiting (const struct snipe_pool *pool,
                              int64_t out[SNIPE_URGENCY_CLASSES],
                              snipe_time now);

/** Fills in the load; writes the free cores of up to @p max usable endpoints
 * to @p free_cpu. @return the number of values written. */
uint32_t snipe_pool_load (const struct snipe_pool *pool,
                          struct snipe_pool_load *out, uint32_t *free_cpu,
                          uint32_t max, snipe_time now);

#endif
