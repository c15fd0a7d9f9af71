/**
 * @file private.h
 * Types shared by the files of the pool scheduler.
 */
#ifndef SNIPE_POOL_PRIVATE_H
#define SNIPE_POOL_PRIVATE_H

#include <glib.h>
#include "pool/calibration.h"
#include "pool/locality.h"
#include "snipe/pool.h"
#include "snipe/retry.h"
#include "snipe/rtt.h"

struct batch;

/** When the waiting tasks of a batch are expected to run, see plan.h. */
struct snipe_plan
{
  snipe_time start; /**< when the last one can start */
  snipe_time end;   /**< when the last one ends, expected */
  uint32_t at_once; /**< number of them that can start now */
};

/** State of a run as this owner knows it. */
enum run_state
{
  RUN_STARTING,    /**< start request sent, no answer yet */
  RUN_UNCONFIRMED, /**< start request timed out and was sent again */
  RUN_ACTIVE,      /**< the endpoint confirmed that it runs */
  RUN_STOPPING,    /**< stop request sent; uses capacity until it ended */
};

/** A run of a task at an endpoint. It uses the endpoint's capacity from the
 * start request until it is certain that it does not run and never will. */
struct run
{
  char task[SNIPE_TASK_NAME_BYTES];
  uint32_t number;
  enum run_state state;
  struct snipe_pool_endpoint *endpoint;
  struct batch *batch; /**< NULL: orphaned, to be adopted or stopped */
  uint32_t task_index; /**< in batch->tasks */
  struct snipe_capacity resources;
  uint32_t start_requests; /**< number sent */
  uint32_t start_answers;  /**< number of them that are answered */
  uint32_t stop_requests;  /**< number sent */
  bool start_overdue;      /**< the last start request is unanswered */
  /** One that had no answer in time was the first on its connection. */
  bool start_on_new_connection;
  bool stop_in_flight;
  bool stop_confirmed;     /**< by the endpoint */
  bool alone;              /**< its task is under suspicion */
  bool announced;          /**< counted as lost until its end is reported */
  bool lost;               /**< counted as lost with its incarnation */
  bool size_unknown;       /**< found, and claimed by no batch yet */
  snipe_time start_sent;   /**< first start request */
  snipe_time active_since; /**< time when it became RUN_ACTIVE */
  snipe_time predicted_duration;
  bool far;          /**< from its data or its group when it was started */
  bool partly_far;   /**< its group was split after it was started */
  double far_factor; /**< part of its predicted duration */
  snipe_time orphaned_since; /**< when it became orphaned; if found at the
                                endpoint: when that poll was sent */
  snipe_time stop_sent;
  /** If it has no batch: the run has to have ended by then, as the caller of
   * the batch that it belonged to may be back. */
  snipe_time end_due;
};

struct task
{
  enum snipe_task_outcome outcome;
  uint32_t index;
  uint32_t next_run;
  uint32_t failures;
  snipe_time retry_at; /**< earliest time of the next start */
  struct run *run;     /**< NULL while it waits */
  bool started;        /**< a start request was sent at some time */
  enum snipe_suspicion suspicion;
  uint64_t judged_revision; /**< of the crash table, at the last judgement */
};

/** Whether the tasks of a batch wait for the other batches of its job. */
enum hold_state
{
  HOLD_NONE,
  HOLD_WAITS,     /**< for room for all of its tasks */
  HOLD_GRANTED,   /**< there is room, which is kept until hold_until */
  HOLD_COMMITTED, /**< its tasks may start */
};

struct batch
{
  uint64_t coordinator;
  uint64_t number;
  uint32_t attempt; /**< highest attempt received */
  /** Up to when its caller had not left, by its newest copy. */
  snipe_time handled_at;
  char *job;
  char *route;
  struct snipe_calibration *calibration; /**< of its route */
  char *label;
  char *rack;
  uint32_t step;
  struct snipe_str spec;
  struct task *tasks;
  uint32_t count;
  uint32_t waiting; /**< pending tasks without a run */
  uint32_t pending; /**< tasks that have not ended */
  struct snipe_capacity task_resources;
  uint32_t max_per_endpoint;
  uint32_t priority;
  uint32_t attempts;
  snipe_time estimate;
  snipe_time arrived;
  snipe_time soft_deadline;
  snipe_time hard_deadline;
  snipe_time caller_deadline;
  bool resent;
  uint64_t endpoint_digest; /**< digest of the previous owner's endpoints */
  bool started;             /**< a start request was sent at some time */
  /** Its tasks take longer if they run in several racks. */
  bool group;
  bool split;    /**< a group of which tasks run in several racks */
  char home[64]; /**< rack chosen for a group, "": none */
  bool all_far;  /**< no place of the pool is near */
  bool locality_decided;
  enum snipe_locality_choice locality; /**< last decision, if there is one */
  uint64_t locality_round; /**< round of placement in which it was made */
  bool gave_way; /**< left the place to other batches in this round */
  snipe_time near_wait_since; /**< first decision to wait, 0: none */
  bool wait_reported;         /**< to the log */
  struct snipe_plan plan;     /**< the last one made for it */
  bool fits;                  /**< the plan is valid */
  snipe_time plan_due;        /**< the plan is made again then */
  snipe_time blocked_until;   /**< the plan said then that it is not in time */
  enum hold_state hold;
  snipe_time hold_until; /**< if its room is granted */
  uint32_t kept; /**< while it is held: free places that are kept for it */
};

/** A start request that may still reach the endpoint although its run has
 * ended. */
struct forgotten_start
{
  char task[SNIPE_TASK_NAME_BYTES];
  uint32_t run;
  struct snipe_capacity resources;
  uint32_t requests; /**< number of them without an answer */
  snipe_time sent;   /**< first request */
};

/* Requests have been seen to arrive 12 s late. */
#define START_UNDER_WAY_MAX (15 * SNIPE_S)

/** A task that is done, for a batch that is sent again. */
struct snipe_pool_outcome
{
  snipe_time reported;
  char task[SNIPE_TASK_NAME_BYTES];
};

enum claim_state
{
  CLAIM_PENDING,   /**< first poll request not answered yet */
  CLAIM_CONFIRMED, /**< the runs at the endpoint are known */
  CLAIM_FENCED,    /**< another owner has a higher token */
};

struct snipe_pool_endpoint
{
  struct snipe_endpoint_entry entry;
  enum claim_state claim;
  bool listed;
  snipe_time unlisted_at; /**< if it is not */
  /** The list does not have the present incarnation yet, whose capacity and
   * labels may differ from those of the entry. */
  bool entry_outdated;
  int64_t listed_ms; /**< start time in the list */
  /** Latest start time of the incarnations before the known one: the start
   * time goes back if the endpoint's time of day was set back. */
  int64_t superseded_ms;
  snipe_time known_since; /**< when the known incarnation became known */
  struct snipe_capacity used;
  /** Kept for granted batches since the last round of placement; not part of
   * @c used. */
  struct snipe_capacity held;
  /** For which capacity was held last, and for how many of its tasks. */
  const struct batch *held_batch;
  uint32_t held_tasks;
  GPtrArray *runs; /**< struct run, owned */
  /** Runs whose size is unknown: they may use all that is left, also of a
   * capacity that grows meanwhile. */
  uint32_t unknown_sizes;
  uint32_t alone_runs; /**< runs beside which nothing is started */
  /** Kept free until then for a task that has to run alone. */
  snipe_time reserved_until;
  /** Since when no process has listened there, 0: one did at the last
   * request. */
  snipe_time refuses_since;
  /** struct forgotten_start, by the end of their runs, for a restart */
  GArray *forgotten_starts;
  uint64_t last_seen_end;
  uint64_t acknowledged_end;   /**< last_seen_end of the last answered poll */
  uint64_t poll_last_seen_end; /**< last_seen_end of the poll in flight */
  int64_t clock_base_ms;       /**< endpoint clock at clock_read_at */
  snipe_time clock_read_at;    /**< 0: unknown */
  snipe_time clock_request_sent; /**< request whose answer told the clock */
  bool poll_in_flight;
  snipe_time poll_sent;
  snipe_time poll_due; /**< an unanswered poll is not sent again before */
  snipe_time poll_processed; /**< when the newest answered poll was sent */
  uint32_t unanswered_polls; /**< in a row */
  bool overdue;         /**< a request is overdue, and no answer came since */
  struct snipe_rtt rtt; /**< of requests that the endpoint answers at once */
  /** No run of a previous owner that has learned of the claim outlives it. */
  snipe_time claim_deadline;
  snipe_time restarted_at; /**< when a restart became known, 0: none did */
  /** It may have restarted at restarted_at: an answer to a request that was
   * sent before may be from an earlier incarnation, whichever it names. */
  bool restart_suspected;
  double duration_ratio; /**< actual over predicted duration, smoothed */
  uint32_t consecutive_failures; /**< since the last completed run */
  snipe_time suspended_until;    /**< because of failures */
  snipe_time unresponsive_until; /**< unless it answers before */
  snipe_time last_received_at;   /**< time of the last answer */
  /** Last request that extends the lease. A previous owner may have sent one
   * until the endpoint was added. */
  snipe_time lease_extended;
  snipe_time lease_send_until; /**< until when it may be sent and arrive */
  snipe_time lease_until;      /**< latest end of a lease that was extended */
};

struct snipe_pool
{
  uint64_t token;
  snipe_time lease_max;
  snipe_time resend_after;
  snipe_time stop_max;
  snipe_time round_trip_max;
  struct snipe_pool_callbacks callbacks;
  snipe_time created;
  GHashTable *endpoints; /**< id -> struct snipe_pool_endpoint */
  GPtrArray *batches;    /**< struct batch, by arrival */
  double slowdown;       /**< actual over estimated duration, smoothed */
  struct snipe_locality_factor far_factor;
  uint64_t locality_round; /**< number of the round of placement */
  bool holds_room;         /**< some endpoint has held capacity */
  double typical_ratio; /**< median duration ratio of the usable endpoints */
  GHashTable *calibrations; /**< route -> struct snipe_calibration */
  struct snipe_rtt rtt; /**< of all endpoints: mostly that of the own link */
  struct snipe_retry_budget resends; /**< of requests to endpoints */
  snipe_time resends_refilled;
  bool directory_synced;
  const struct snipe_list_age *list; /**< NULL: not known */
  snipe_time drain_max;
  bool whole_jobs;
  bool spread_load;
  bool shared_order;
  /** Until when another owner may have extended leases here without being
   * rejected by the endpoints that this owner knows. */
  snipe_time earlier_owner_until;
  bool fenced;
  bool evacuated; /**< nothing may be started */
  struct snipe_crash_table *crashes;
  bool owns_crashes;
  uint64_t judged_revision; /**< of the crash table, see suspect.h */
  /** Tasks that were reported as done while no batch had them: name -> struct
   * snipe_pool_outcome, which @c outcome_order owns, the oldest first. */
  GHashTable *outcomes;
  GQueue outcome_order;
};

/* endpoint.c */
struct snipe_pool_endpoint *
snipe_pool_endpoint_new (const struct snipe_endpoint_entry *entry,
                         snipe_time lease_max, snipe_time now);
void snipe_pool_endpoint_free (struct snipe_pool_endpoint *endpoint);
void snipe_pool_endpoint_unlist (struct snipe_pool_endpoint *endpoint,
                                 snipe_time now);
/** @return whether new tasks may be started there. */
bool snipe_pool_endpoint_usable (const struct snipe_pool_endpoint *endpoint,
                                 snipe_time now);
/** @return whether the endpoint would be usable if it did not drain. */
bool snipe_pool_endpoint_usable_but_drains (
    const struct snipe_pool_endpoint *endpoint, snipe_time now);
bool snipe_pool_endpoint_fits (const struct snipe_pool_endpoint *endpoint,
                               const struct snipe_capacity *size);
/** @return what is neither used nor held; below 0 if the capacity has shrunk.
 */
struct snipe_capacity
snipe_pool_endpoint_free_capacity (const struct snipe_pool_endpoint *endpoint);
/** @return whether what is counted there exceeds its capacity, which has
 * shrunk. */
bool snipe_pool_endpoint_is_over (const struct snipe_pool_endpoint *endpoint);
/** @return whether tasks that need not run alone may be started there. */
bool snipe_pool_endpoint_is_shared (const struct snipe_pool_endpoint *endpoint,
                                    snipe_time now);
/** @return a time in ms that the endpoint's clock has certainly reached at
 * @p now. A request that is valid until a time after it, however late it
 * arrives, is not valid for longer than the difference. */
int64_t snipe_pool_endpoint_clock (const struct snipe_pool_endpoint *endpoint,
                                   snipe_time now);
/** Notes that a request extends the lease by a time on the endpoint's clock.
 */
void snipe_pool_endpoint_extend_lease (struct snipe_pool_endpoint *endpoint,
                                       snipe_time lease,
                                       snipe_time send_within, snipe_time now);
struct run *snipe_pool_run_add (struct snipe_pool_endpoint *endpoint,
                                const char *task, uint32_t number,
                                const struct snipe_capacity *size);
/** Notes that nothing may be started beside the run. */
void snipe_pool_run_isolate (struct run *run);
void snipe_pool_run_remove (struct run *run);
/** @return whether a start request for the run may still reach the endpoint.
 */
bool snipe_pool_run_start_under_way (const struct run *run);
struct run *snipe_pool_run_find (struct snipe_pool_endpoint *endpoint,
                                 const char *task, uint32_t number);
/** @return whether a run at the endpoint belongs to a batch and has to go on.
 */
bool snipe_pool_endpoint_has_claimed_run (
    const struct snipe_pool_endpoint *endpoint);
/** @return when all runs of a batch have to have ended if its coordinator is
 * lost or has cancelled it: its caller may be back then. */
snipe_time snipe_pool_batch_end_due (const struct snipe_pool *pool,
                                     const struct batch *batch,
                                     snipe_time now);
/** @return until when a run may go on at most. A stop request may be lost, so
 * that only the lease ends the run, and a request that arrives later would
 * extend it again. INT64_MAX: without end. */
snipe_time snipe_pool_run_end_due (const struct snipe_pool *pool,
                                   const struct run *run, snipe_time now);
/** @return the longest time for which a request may extend the lease of the
 * endpoint, by its clock, which all its runs share. 0 or less if one of them
 * has to end first. */
snipe_time snipe_pool_lease_bound (const struct snipe_pool *pool,
                                   const struct snipe_pool_endpoint *endpoint,
                                   snipe_time now);
/** @return the longest time for which a start request of the batch may be
 * valid at the endpoint, 0 if it is too short for starting a task. */
snipe_time
snipe_pool_start_validity (const struct snipe_pool *pool,
                           const struct snipe_pool_endpoint *endpoint,
                           const struct batch *batch, snipe_time now);
/** @return whether a run of the batch at the endpoint ends in time if it gets
 * no further request: the lease that it may have is that of all its runs. */
bool snipe_pool_lease_ends_in_time (const struct snipe_pool *pool,
                                    const struct snipe_pool_endpoint *endpoint,
                                    const struct batch *batch, snipe_time now);
/** Updates the learned durations and the failure count of an endpoint after a
 * run ended. */
void snipe_pool_endpoint_record_end (struct snipe_pool *pool,
                                     struct snipe_pool_endpoint *endpoint,
                                     const struct run *run,
                                     enum snipe_run_outcome outcome,
                                     snipe_time now);
/** Counts a failure of the endpoint (rejected or unanswered start request,
 * failed run, straggler) and suspends it after several in a row. */
void snipe_pool_endpoint_record_failure (struct snipe_pool_endpoint *endpoint,
                                         snipe_time now);

/* place.c */
/** Predicted duration of a task of @p batch at @p endpoint. */
snipe_time
snipe_pool_predict_duration (const struct snipe_pool *pool,
                             const struct snipe_pool_endpoint *endpoint,
                             const struct batch *batch);
/** @return whether an endpoint has the label that a batch asks for, "": any.
 */
bool snipe_pool_has_label (const struct snipe_endpoint_entry *entry,
                           const char *label);
/** @param alone the task may only run where nothing else does
 * @return the endpoint for the next task of @p batch, or NULL. */
struct snipe_pool_endpoint *
snipe_pool_choose_endpoint (const struct snipe_pool *pool,
                            const struct batch *batch, bool alone,
                            snipe_time now);
/** @return whether all tasks of a batch can be started now. */
bool snipe_pool_can_start (const struct snipe_pool *pool,
                           const struct batch *batch, snipe_time now);
/** Sorts @p queue, the batches with waiting tasks, by scheduling order. */
void snipe_pool_sort_batches (const struct snipe_pool *pool, GPtrArray *queue,
                              snipe_time now);
/** @return SNIPE_OK, or the status with which a waiting batch is rejected. */
int snipe_pool_rejection_status (const struct snipe_pool *pool,
                                 const struct batch *batch, snipe_time now);

#endif
