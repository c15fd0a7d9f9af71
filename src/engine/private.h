/**
 * @file private.h
 * Types and functions shared by the files of the engine.
 *
 * Lock order: the lock of a submission shard, then the scheduler's lock. The
 * locks of issued ids, forwards, decisions and the archive are leaves: no
 * other lock is taken while one of them is held. No lock is held during a
 * callback or I/O. archive_write_lock is the exception to both: it is held
 * while a segment is built and written.
 */
#ifndef SNIPE_ENGINE_PRIVATE_H
#define SNIPE_ENGINE_PRIVATE_H

#include <glib.h>
#include <jansson.h>
#include <pthread.h>

#include "engine/engine.h"
#include "snipe/owner.h"
#include "snipe/retry.h"

#define SHARD_COUNT 16
#define DIGEST_BYTES 32
#define NAME_BYTES 64
#define ADDRESS_BYTES 64

enum snipe_outcome
{
  SNIPE_OUTCOME_COMPLETE,
  SNIPE_OUTCOME_NOT_RUN,
  SNIPE_OUTCOME_UNKNOWN,
};

/** State of a task of an execution. */
enum task_state
{
  TASK_WAITING,
  TASK_STARTED,   /**< handed to the endpoint client */
  TASK_OFFLOADED, /**< offloaded to a peer in a batch */
  TASK_SUCCEEDED,
  TASK_FAILED,
  TASK_NOT_RUN,
  TASK_UNKNOWN,
};

struct task_execution
{
  enum task_state state;
  uint16_t retry_count; /**< starts after the first */
  uint16_t retry_max;   /**< from the retry rule */
  uint16_t lost_count;  /**< starts whose answer was lost */
  uint32_t rule_line;   /**< line of the allow rule that admits it */
  bool rejected;        /**< rejected in the reply to the peer that sent it */
  uint64_t batch;       /**< number of its batch, while TASK_OFFLOADED */
  struct snipe_str result;
};

struct submission;

/** The execution of a set of tasks: those of a job that this host coordinates,
 * or of a batch received from a peer. Guarded by the scheduler's lock until
 * every task has ended. */
struct execution
{
  enum
  {
    EXECUTION_JOB,
    EXECUTION_RECEIVED_BATCH
  } kind;
  union
  {
    struct submission *submission; /**< owns a reference */
    struct
    {
      uint64_t incarnation;
      uint64_t batch;
      uint32_t *indexes; /**< index of each task in its job, as sent by the
                            coordinator */
      char address[ADDRESS_BYTES];
    } received;
  } u;
  char job[40]; /**< id of the job */
  struct snipe_job_spec *spec;
  struct snipe_rules *rules; /**< rules under which it was admitted */
  struct snipe_task_group *task_group;
  struct task_execution *tasks;
  uint32_t pending_tasks; /**< tasks that have not ended */
  int code;               /**< status of the first failure, or 0 */
  char message[160];
  uint32_t queue_rule_line; /**< line of the queue rule that limits the wait, 0
                               if none */
  snipe_time deadline;
  snipe_time queue_deadline; /**< a task that is not started by then is not
                                queued again */
};

enum submission_state
{
  SUBMISSION_CLAIMING,
  SUBMISSION_RUNNING,
  SUBMISSION_DONE,
};

/** A request that waits for the answer of a submission. */
struct waiter
{
  struct waiter *next;
  snipe_reply reply;
  void *ctx;
  snipe_time deadline; /**< INT64_MAX: no limit */
  enum snipe_verb verb;
};

/** The record of a job id at this host. Guarded by its shard's lock. */
struct submission
{
  uint32_t references;
  struct snipe_id id;
  enum submission_state state;
  enum snipe_outcome outcome;
  int code;
  bool has_digest; /**< false if only a cancellation was received */
  bool cancelled;
  uint8_t digest[DIGEST_BYTES];
  struct snipe_str body;   /**< while CLAIMING */
  struct snipe_str answer; /**< while DONE and cached */
  int http_status;
  struct waiter *waiters;
  struct execution *execution; /**< while RUNNING */
};

struct shard
{
  pthread_mutex_t lock;
  GHashTable *submissions; /**< id text -> struct submission */
  uint32_t timed_waiters;  /**< number of waiters with a deadline */
};

/** Another host that runs snipelbd. Guarded by the scheduler's lock. */
struct peer
{
  uint64_t incarnation;
  char name[NAME_BYTES];
  char address[ADDRESS_BYTES]; /**< address for RPC */
  char domain[NAME_BYTES];
  double capacity_weight;
  bool leaving;
  bool listed;      /**< in the platform's table */
  bool wants_offer; /**< its tasks were rejected here; gets an offer when slots
                       are free */
  bool fetching_rules;
  uint64_t rules_version;
  uint32_t free_slots;
  uint32_t queued;
  uint64_t domains;
  snipe_time last_received_at;  /**< when its last load report arrived */
  snipe_time first_seen_at;     /**< when this host first learned of it */
  snipe_time offer_sent_at;     /**< when the last offer was sent to it */
  snipe_time heartbeat_sent_at; /**< when the last heartbeat was sent to it */
  bool lost; /**< no message for the failure timeout; its batches were
                abandoned */
};

/** A batch offloaded to a peer. */
struct offloaded_batch
{
  struct execution *execution;
  uint64_t incarnation;
  uint32_t pending_tasks;
};

/** A block of issued ids: sequence numbers from @c first on. */
struct issue_block
{
  uint32_t first;
  snipe_time closes_at;
};

/** A started task whose outcome is unknown. It counts against its team's share
 * until @c expires_at, by when it must have stopped. */
struct lost_task
{
  uint32_t team;
  snipe_time expires_at;
};

struct decision
{
  int64_t wall_ms;
  char job[40];
  uint32_t task;
  uint32_t rule_line;
  uint64_t rules_version;
  char kind[12];
  char reason[24];
  char target[NAME_BYTES]; /**< endpoint or peer */
};

struct snipe_engine
{
  struct snipe_engine_options options;
  char host[NAME_BYTES];
  char domain[NAME_BYTES];
  char region[NAME_BYTES];
  char rpc_address[ADDRESS_BYTES];
  struct snipe_engine_dependencies dependencies;
  struct snipe_platform *platform; /**< atomic, may be NULL */
  int64_t wall_offset_ms; /**< wall clock minus monotonic clock at start */

  struct shard shards[SHARD_COUNT];

  pthread_mutex_t sched_lock;
  struct snipe_sched *sched;
  struct snipe_retry_budget retry_budget;
  struct snipe_rules *rules;
  GHashTable *peers;             /**< &incarnation -> struct peer */
  GHashTable *offloaded_batches; /**< &number -> struct offloaded_batch */
  GPtrArray *endpoints; /**< struct snipe_endpoint_info, the whole list */
  GHashTable *owned_endpoints; /**< names of endpoints of this host */
  GHashTable *quota_shares;    /**< team -> share of its quota */
  snipe_time shares_valid_until;
  bool shares_expired;
  GQueue lost_tasks; /**< struct lost_task, oldest first */
  uint64_t last_batch_number;
  uint32_t execution_count;     /**< executions that have not ended */
  uint32_t result_deliveries;   /**< result deliveries in progress, atomic */
  uint32_t peers_wanting_offer; /**< number of peers to be sent an offer,
                                   atomic; a hint, read without the lock */
  GPtrArray *owned_domains;     /**< names of the domains of owned endpoints */
  snipe_time next_ownership_check; /**< next check of peers and ownership */
  snipe_time next_heartbeat_check; /**< next check for due heartbeats */
  snipe_time next_discovery;

  pthread_mutex_t issue_lock;
  uint32_t next_sequence;
  GQueue issue_blocks; /**< struct issue_block, oldest first */

  pthread_mutex_t forward_lock;
  GHashTable *forwards; /**< &token -> struct forward */
  uint64_t last_token;
  GQueue delivery_retries; /**< struct result_delivery, to be sent again */

  pthread_mutex_t archive_lock;
  GQueue unarchived;     /**< struct submission, each with a reference */
  GQueue cached_answers; /**< struct submission with a cached answer, oldest
                            first */
  size_t cached_bytes;
  uint32_t next_segment;
  pthread_mutex_t archive_write_lock; /**< held while a segment is written */

  pthread_mutex_t decision_lock;
  struct decision *decision_log;
  uint64_t decision_count;
  GPtrArray *rule_history; /**< struct snipe_rules, newest last */

  GAsyncQueue *lookups; /**< struct lookup, for the lookup thread */
  pthread_t tick_thread;
  pthread_t archive_thread;
  pthread_t lookup_thread;
  bool threads_started;
  uint32_t stopping;
  uint32_t draining;
  uint32_t rules_loaded;
};

/** The start of a task on an endpoint, from the decision to the result. */
struct task_start
{
  struct snipe_engine *engine;
  struct execution *execution;
  uint32_t task;
  char address[ADDRESS_BYTES];
  char endpoint[NAME_BYTES];
  enum snipe_reason reason;
};

/** A decision taken under the scheduler's lock, to be executed after its
 * release. */
struct action
{
  enum snipe_decision_kind kind;
  union
  {
    struct task_start *start;
    struct
    {
      struct snipe_peer_call *call;
      struct offload *offload;
      char address[ADDRESS_BYTES];
    } offload;
  } u;
};

/** @return the platform client, or NULL before start and after stop. */
static inline struct snipe_platform *
engine_platform (struct snipe_engine *engine)
{
  return __atomic_load_n (&engine->platform, __ATOMIC_ACQUIRE);
}

/* submission.c */
struct shard *shard_of_id (struct snipe_engine *engine, const char *id);
struct submission *submission_new (const struct snipe_id *id);
struct submission *submission_ref (struct submission *sub);
void submission_unref (struct submission *sub);
void waiters_answer (struct waiter *list, int http,
                     const struct snipe_str *body);
/** Records the outcome of a submission and answers its waiters. Takes the data
 * of @p answer. */
void submission_finish (struct snipe_engine *engine, struct submission *sub,
                        enum snipe_outcome outcome, int code,
                        struct snipe_str *answer);
/** Builds the answer of a failed job, without a list of tasks. */
void answer_build_failed (struct snipe_str *out, const char *id,
                          enum snipe_outcome outcome, int code,
                          const char *message);
int answer_http_status (enum snipe_outcome outcome, int code);
void reply_failed (snipe_reply reply, void *ctx, const char *id,
                   enum snipe_outcome outcome, int code, const char *message);
/** Answers the waiters whose deadline has passed and removes expired
 * records. */
void submission_sweep (struct snipe_engine *engine, struct shard *shard,
                       snipe_time now);
int64_t engine_wall_ms (const struct snipe_engine *engine, snipe_time now);
bool engine_id_expired (struct snipe_engine *engine, const struct snipe_id *id,
                        snipe_time now);

/* request.c */
void digest_body (uint8_t *digest, const char *body, size_t len);
/** Handles a request for an id that this host coordinates.
 * @param claimed the id is known to be claimed for this host */
void coordinator_request (struct snipe_engine *engine,
                          const struct snipe_id *id,
                          const struct snipe_request *request, bool claimed,
                          snipe_time now, snipe_reply reply, void *ctx);

/* execution.c */
/** Parses and starts a job; ends the submission if it is rejected. */
void execution_start_job (struct snipe_engine *engine, struct submission *sub,
                          const char *body, size_t len, snipe_time now);
/** Ends a task that was returned without having been started, if the queue
 * rule or the deadline lets it wait no longer. @return whether it did; then @p
 * execution_ended tells whether its execution has ended. */
bool execution_expire_task_if_due (struct snipe_engine *engine,
                                   struct execution *execution, uint32_t task,
                                   snipe_time now, bool *execution_ended);
void execution_cancel (struct snipe_engine *engine, struct submission *sub,
                       snipe_time now);
/** Sets the final state of a task; call with the scheduler's lock. @return
 * true if it was the last of its execution: the caller then calls
 * execution_end () without the lock. */
bool execution_end_task (struct snipe_engine *engine,
                         struct execution *execution, uint32_t task,
                         enum task_state state, int code, const char *message);
/** Ends a task whose last start was lost. */
bool execution_end_lost_task (struct snipe_engine *engine,
                              struct execution *execution, uint32_t task,
                              const char *message);
void execution_end (struct snipe_engine *engine, struct execution *execution);
void execution_free (struct snipe_engine *engine, struct execution *execution);
int execution_resolve_tasks (struct snipe_engine *engine,
                             struct execution *execution,
                             struct snipe_group_task *tasks);

/* dispatch.c */
/** Takes and executes all decisions that the scheduler can make now. */
void engine_dispatch (struct snipe_engine *engine, snipe_time now);
/** Takes decisions from the scheduler, with its lock held. Appends the actions
 * to carry out and the executions that ended. */
void engine_take_decisions (struct snipe_engine *engine, snipe_time now,
                            GArray *actions, GPtrArray *ended);
/** Carries out actions and ends executions, without the lock. Frees both
 * arrays. */
void engine_execute_actions (struct snipe_engine *engine, GArray *actions,
                             GPtrArray *ended, snipe_time now);

/* offload.c */
struct offload *offload_new (struct snipe_engine *engine,
                             struct execution *execution,
                             const struct snipe_decision *decision,
                             snipe_time now, struct snipe_peer_call **call,
                             char *address);
/** Sends a batch, or queues its tasks again if the decision is @p stale. */
void offload_send (struct snipe_engine *engine, struct action *action,
                   bool stale);
/** Abandons all batches at a peer: their tasks may have run. */
void offload_abandon_peer (struct snipe_engine *engine, uint64_t incarnation,
                           GPtrArray *ended);
/** Abandons the batches whose results are overdue. */
void offload_abandon_overdue (struct snipe_engine *engine, snipe_time now,
                              GPtrArray *ended);
/** Sends the results of a received batch to its coordinator, then frees the
 * execution. */
void received_batch_send_results (struct snipe_engine *engine,
                                  struct execution *execution);
/** Repeats the result deliveries that failed, when due. */
void received_batch_resend_results (struct snipe_engine *engine,
                                    snipe_time now);
/** Marks a task as rejected, to be returned to the peer that sent it; with the
 * lock. */
void received_batch_reject_task (struct execution *execution, uint32_t task);
int engine_on_run_batch (void *ctx, const peer_batch *args,
                         peer_batch_reply *reply);
int engine_on_results (void *ctx, const peer_results *args, peer_load *reply);

/* cluster.c */
/** Fills in this host's load report, with strings from malloc; takes the
 * scheduler's lock. */
void engine_fill_load_report (struct snipe_engine *engine, snipe_time now,
                              peer_load *out);
void engine_fill_load_report_locked (struct snipe_engine *engine,
                                     snipe_time now, peer_load *out);
/** Processes the load report of a peer. */
void engine_on_load_report (struct snipe_engine *engine, const peer_load *load,
                            snipe_time now);
bool peer_is_live (const struct snipe_engine *engine, const struct peer *peer,
                   snipe_time now);
void engine_ownership_update (struct snipe_engine *engine, snipe_time now);
void engine_send_heartbeats (struct snipe_engine *engine, bool all,
                             snipe_time now);
/** Tells a peer whose tasks were rejected here that slots are free. */
void engine_send_offer (struct snipe_engine *engine, snipe_time now);
/** Records that tasks of a peer were rejected because no slot was free; with
 * the lock. */
void peer_mark_wants_offer (struct snipe_engine *engine, uint64_t incarnation);
/** Overrides the free slots that a peer reported; with the lock. */
void peer_set_free_slots (struct snipe_engine *engine, uint64_t incarnation,
                          uint32_t free_slots, snipe_time now);
struct peer *engine_find_peer (struct snipe_engine *engine,
                               uint64_t incarnation);
/** Abandons the batches of lost peers and updates ownership, if due. */
void engine_check_peers (struct snipe_engine *engine, snipe_time now);
int engine_on_heartbeat (void *ctx, const peer_load *args, peer_load *reply);
int engine_on_offer (void *ctx, const peer_load *args, peer_load *reply);
int engine_on_get_rules (void *ctx, const peer_load *args, peer_rules *reply);
void engine_on_entries (void *ctx, const struct snipe_entry_info *list,
                        uint32_t count);
void engine_on_endpoints (void *ctx, const struct snipe_endpoint_info *list,
                          uint32_t count);

/* rules_in_force.c */
void engine_on_rules (void *ctx, uint64_t version,
                      const struct snipe_str *text);
void engine_on_demands (void *ctx, struct snipe_team_demand **out,
                        uint32_t *count);
void engine_on_shares (void *ctx, const struct snipe_team_share *list,
                       uint32_t count, snipe_time valid_until);
/** @return the share of a team's quota that this host holds, 0 if it has none;
 * with the lock. */
uint32_t engine_team_share (struct snipe_engine *engine,
                            const struct snipe_str *team);
/** Counts a started task whose outcome is unknown against its team's share
 * until the longest run time of a task has passed; with the lock. */
void engine_count_lost_task (struct snipe_engine *engine,
                             const struct execution *execution,
                             snipe_time now);
/** Sets the shares to 0 once their lease has expired, and no longer counts
 * lost tasks that must have stopped; with the lock. */
void engine_check_shares (struct snipe_engine *engine, snipe_time now);

/* forward.c */
struct forward;
/** Sends a request to the coordinator of its id, or answers it from that
 * host's archive. */
void forward_request (struct snipe_engine *engine, const struct snipe_id *id,
                      uint64_t coordinator,
                      const struct snipe_request *request, bool claimed,
                      snipe_time now, snipe_reply reply, void *ctx);
/** Sends a request to any live peer, while this host is draining. @return
 * false if there is none. */
bool forward_to_any_peer (struct snipe_engine *engine,
                          const struct snipe_id *id,
                          const struct snipe_request *request, snipe_time now,
                          snipe_reply reply, void *ctx);
void forward_sweep (struct snipe_engine *engine, snipe_time now);
void forward_free (void *forward);
int engine_on_forward (void *ctx, const peer_forward *args,
                       peer_forward_reply *reply);
int engine_on_answer (void *ctx, const peer_answer *args);

/* lookup.c */
enum lookup_kind
{
  LOOKUP_ARCHIVE, /**< answer from the archive of the coordinator */
  LOOKUP_OWNER,   /**< find the host that claimed a caller-supplied id */
  LOOKUP_STOP,
};
struct lookup
{
  enum lookup_kind kind;
  struct snipe_id id;
  uint64_t coordinator;
  bool has_digest; /**< digest is set: that of the body of a submission */
  uint8_t digest[DIGEST_BYTES];
  snipe_time wait;
  snipe_reply reply;
  void *ctx;
};
void lookup_push (struct snipe_engine *engine, const struct lookup *lookup);
void *lookup_thread (void *ctx);

/* archive.c */
void archive_add (struct snipe_engine *engine, struct submission *sub);
void *archive_thread (void *ctx);
/** Writes 2 * DIGEST_BYTES hex digits and a NUL. */
void digest_hex (char *out, const uint8_t *digest);
/** @return the name prefix of an incarnation's archive segments, from
 * malloc */
char *archive_prefix (uint64_t incarnation);

/* decision_log.c */
/** Records and logs one decision. */
void decision_record (struct snipe_engine *engine, const char *job,
                      uint32_t task, const char *kind, const char *reason,
                      const char *target, uint32_t rule_line,
                      const struct snipe_rules *rules);
const struct snipe_rule *rule_by_line (const struct snipe_rules *rules,
                                       uint32_t line);

#endif
