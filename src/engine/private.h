/**
 * @file private.h
 * Types shared by the files of the engine.
 *
 * Locks, in the order in which they may nest: a submission shard's, then
 * the scheduler's. The forwards', decisions' and archive's locks are leaves.
 * No lock is held over a callback or I/O.
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

/** How far a task of a run has come. */
enum task_state
{
  TASK_WAITING,
  TASK_STARTED, /**< start handed to the endpoint client */
  TASK_PASSED,  /**< in a batch at a peer */
  TASK_RAN,
  TASK_FAILED,
  TASK_NOT_RUN,
  TASK_UNKNOWN,
};

struct task_run
{
  enum task_state state;
  uint16_t repeats;     /**< starts after the first */
  uint16_t repeats_max; /**< from the retry rule */
  uint32_t rule_line;   /**< allow line that admits it */
  bool refused;         /**< refused to the peer that passed it */
  uint64_t batch;       /**< batch at a peer, if PASSED */
  struct snipe_str result;
};

struct submission;

/** Tasks in execution: a job of this home, or a batch from a peer. Guarded
 * by the scheduler's lock until every task has ended. */
struct run
{
  enum
  {
    RUN_HOME,
    RUN_GUEST
  } kind;
  union
  {
    struct submission *home; /**< holds a reference */
    struct
    {
      uint64_t incarnation;
      uint64_t batch;
      uint32_t *indexes; /**< index of each task in its batch's job */
      char address[ADDRESS_BYTES];
    } guest;
  } u;
  char job[40]; /**< id of the job */
  struct snipe_job_spec *spec;
  struct snipe_rules *rules; /**< rules by which it was admitted */
  struct snipe_task_group *work;
  struct task_run *tasks;
  uint32_t open; /**< tasks that have not ended */
  int code;      /**< first failure, or 0 */
  char message[160];
  uint32_t queue_line; /**< queue rule that bounds its wait, 0 if none */
  snipe_time deadline;
  snipe_time wait_until; /**< a task not started by then is not requeued */
};

enum submission_state
{
  SUBMISSION_CLAIMING,
  SUBMISSION_RUNNING,
  SUBMISSION_DONE,
};

/** One answer that a request waits for. */
struct waiter
{
  struct waiter *next;
  snipe_reply reply;
  void *ctx;
  snipe_time deadline; /**< INT64_MAX: no limit */
  enum snipe_verb verb;
};

/** What this host knows of an id. Guarded by its shard's lock. */
struct submission
{
  uint32_t references;
  struct snipe_id id;
  enum submission_state state;
  enum snipe_outcome outcome;
  int code;
  bool has_digest; /**< false if only a cancellation was seen */
  bool cancelled;
  uint8_t digest[DIGEST_BYTES];
  struct snipe_str body;   /**< while CLAIMING */
  struct snipe_str answer; /**< while DONE and held */
  int http;
  struct waiter *waiters;
  struct run *run; /**< while RUNNING */
};

struct shard
{
  pthread_mutex_t lock;
  GHashTable *submissions; /**< id text -> struct submission */
  uint32_t timed;          /**< waiters with a deadline */
};

/** Another entry host. Guarded by the scheduler's lock. */
struct peer
{
  uint64_t incarnation;
  char name[NAME_BYTES];
  char address[ADDRESS_BYTES]; /**< RPC */
  char domain[NAME_BYTES];
  double size;
  bool leaving;
  bool listed;  /**< in the platform's table */
  bool waiting; /**< had tasks refused here, wants an offer */
  bool fetching_rules;
  uint64_t rules_version;
  uint32_t free_slots;
  uint32_t queued;
  uint64_t domains;
  snipe_time heard;   /**< last message from it */
  snipe_time learned; /**< when this host first knew of it */
  snipe_time offered; /**< last offer sent to it */
  snipe_time greeted; /**< last heartbeat sent to it */
  bool lost;          /**< its batches were given up */
};

/** A batch passed to a peer, by its number. */
struct batch
{
  struct run *run;
  uint64_t incarnation;
  uint32_t open;
};

/** Ids handed out by one request: sequence numbers from @c first on. */
struct issue_block
{
  uint32_t first;
  snipe_time issued;
};

/** A task that was started and whose end is unknown: it counts against its
 * team's share until it must have stopped. */
struct lost_task
{
  uint32_t team;
  snipe_time until;
};

struct decision
{
  int64_t wall_ms;
  char job[40];
  uint32_t task;
  uint32_t rule_line;
  uint64_t rules_version;
  char what[12];
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
  struct snipe_engine_dependencies links;
  struct snipe_platform *platform; /**< atomic, may be NULL */
  int64_t wall_base; /**< wall clock minus monotonic clock at start, ms */

  struct shard shards[SHARD_COUNT];

  pthread_mutex_t sched_lock;
  struct snipe_sched *sched;
  struct snipe_retry_budget retry_budget;
  struct snipe_rules *rules;
  GHashTable *peers;    /**< &incarnation -> struct peer */
  GHashTable *batches;  /**< &number -> struct batch */
  GPtrArray *endpoints; /**< struct snipe_endpoint_info, the whole list */
  GHashTable *owned;    /**< names of endpoints this host owns */
  GHashTable *shares;   /**< team -> share of its quota */
  snipe_time shares_until;
  bool shares_stopped;
  GQueue lost_tasks; /**< struct lost_task, oldest first */
  uint64_t next_batch;
  uint32_t runs;            /**< runs not yet ended */
  uint32_t notices;         /**< results on their way to peers, atomic */
  uint32_t waiting_peers;   /**< peers that want an offer, atomic hint */
  GPtrArray *owned_domains; /**< names of the domains of owned endpoints */
  snipe_time next_owners;   /**< when to look at ownership again */
  snipe_time next_hello;    /**< next look for due heartbeats */
  snipe_time next_seeds;

  pthread_mutex_t issue_lock;
  uint32_t next_sequence;
  GQueue issued; /**< struct issue_block, oldest first */

  pthread_mutex_t forward_lock;
  GHashTable *forwards; /**< &token -> struct forward */
  uint64_t next_token;
  GQueue late_notices; /**< struct notice to be sent again */

  pthread_mutex_t archive_lock;
  GQueue unarchived; /**< struct submission, referenced */
  GQueue held;       /**< struct submission with answers, oldest first */
  size_t held_bytes;
  uint32_t next_segment;
  pthread_mutex_t archive_write_lock; /**< one writer at a time */

  pthread_mutex_t decision_lock;
  struct decision *decisions;
  uint64_t decision_count;
  GPtrArray *rule_history; /**< struct snipe_rules, newest last */

  GAsyncQueue *lookups; /**< struct lookup for the resolver thread */
  pthread_t tick_thread;
  pthread_t archive_thread;
  pthread_t lookup_thread;
  bool threads_started;
  uint32_t stopping;
  uint32_t draining;
  uint32_t rules_loaded;
};

/** One start, from the decision to its end. */
struct start
{
  struct snipe_engine *engine;
  struct run *run;
  uint32_t task;
  char address[ADDRESS_BYTES];
  char endpoint[NAME_BYTES];
  enum snipe_reason reason;
};

/** A decision taken under the scheduler's lock, to be acted on without. */
struct action
{
  enum snipe_decision_kind kind;
  union
  {
    struct start *start;
    struct
    {
      struct snipe_peer_call *call;
      struct pass *pass;
      char address[ADDRESS_BYTES];
    } pass;
  } u;
};

/** @return the platform client, or NULL before start and after stop. */
static inline struct snipe_platform *
engine_platform (struct snipe_engine *engine)
{
  return __atomic_load_n (&engine->platform, __ATOMIC_ACQUIRE);
}

/* submission.c */
struct shard *engine_shard (struct snipe_engine *engine, const char *id);
struct submission *submission_new (const struct snipe_id *id);
struct submission *submission_ref (struct submission *sub);
void submission_unref (struct submission *sub);
void waiter_answer (struct waiter *list, int http,
                    const struct snipe_str *body);
/** Ends a submission and answers those who wait. */
void submission_finish (struct snipe_engine *engine, struct submission *sub,
                        enum snipe_outcome outcome, int code,
                        struct snipe_str *answer);
/** Builds a failed answer without tasks. */
void answer_failed (struct snipe_str *out, const char *id,
                    enum snipe_outcome outcome, int code, const char *message);
int answer_http (enum snipe_outcome outcome, int code);
void reply_failed (snipe_reply reply, void *ctx, const char *id,
                   enum snipe_outcome outcome, int code, const char *message);
/** Gives up waiters whose time is over and forgets old ids. */
void submission_sweep (struct snipe_engine *engine, struct shard *shard,
                       snipe_time now);
int64_t engine_wall_ms (const struct snipe_engine *engine, snipe_time now);
bool engine_id_expired (struct snipe_engine *engine, const struct snipe_id *id,
                        snipe_time now);

/* request.c */
void digest_body (uint8_t *digest, const char *body, size_t len);
/** Handles a request at the home of its id. */
void home_request (struct snipe_engine *engine, const struct snipe_id *id,
                   const struct snipe_request *request, bool claimed,
                   snipe_time now, snipe_reply reply, void *ctx);

/* run.c */
/** Starts the run of a job at its home; ends the submission if refused. */
void run_start_home (struct snipe_engine *engine, struct submission *sub,
                     const char *body, size_t len, snipe_time now);
/** Ends a task that was not started and may not wait any longer, by the
 * queue rule or the deadline. @return whether it did; then @p over tells
 * whether its run has ended. */
bool run_task_waited (struct snipe_engine *engine, struct run *run,
                      uint32_t task, snipe_time now, bool *over);
void run_cancel (struct snipe_engine *engine, struct submission *sub,
                 snipe_time now);
/** A task ended for good; call with the scheduler's lock. @return true if it
 * was the last: the caller then runs run_end () without the lock. */
bool run_task_ended (struct snipe_engine *engine, struct run *run,
                     uint32_t task, enum task_state state, int code,
                     const char *message);
void run_end (struct snipe_engine *engine, struct run *run);
void run_free (struct snipe_engine *engine, struct run *run);
int run_tasks_resolve (struct snipe_engine *engine, struct run *run,
                       struct snipe_group_task *tasks);

/* dispatch.c */
/** Acts on all decisions that the scheduler can take now. */
void engine_pump (struct snipe_engine *engine, snipe_time now);
/** Takes decisions under the scheduler's lock, adding actions and the runs
 * that ended. */
void engine_decide (struct snipe_engine *engine, snipe_time now,
                    GArray *actions, GPtrArray *ended);
/** Carries out actions, without the lock. */
void engine_act (struct snipe_engine *engine, GArray *actions,
                 GPtrArray *ended, snipe_time now);

/* pass.c */
struct pass *pass_new (struct snipe_engine *engine, struct run *run,
                       const struct snipe_decision *decision, snipe_time now,
                       struct snipe_peer_call **call, char *address);
/** Sends a batch, or takes its tasks back if the decision is @p stale. */
void pass_send (struct snipe_engine *engine, struct action *action,
                bool stale);
/** Marks the tasks of all batches at a peer as unknown. */
void pass_peer_lost (struct snipe_engine *engine, uint64_t incarnation,
                     GPtrArray *ended);
/** Gives up batches whose deadline is over. */
void pass_sweep (struct snipe_engine *engine, snipe_time now,
                 GPtrArray *ended);
/** Sends a guest's results to its home and frees the run. */
void guest_send_results (struct snipe_engine *engine, struct run *run);
/** Sends results again whose delivery failed. */
void guest_resend (struct snipe_engine *engine, snipe_time now);
/** Gives a task back to the peer that passed it; with the lock. */
void guest_decline (struct run *run, uint32_t task);
int engine_on_run_batch (void *ctx, const peer_batch *args,
                         peer_batch_reply *reply);
int engine_on_results (void *ctx, const peer_results *args, peer_load *reply);

/* cluster.c */
/** Fills this host's load, strings from malloc; takes the lock itself. */
void engine_load (struct snipe_engine *engine, snipe_time now, peer_load *out);
void engine_load_locked (struct snipe_engine *engine, snipe_time now,
                         peer_load *out);
/** Takes in a peer's report. */
void engine_heard (struct snipe_engine *engine, const peer_load *load,
                   snipe_time now);
bool peer_live (const struct snipe_engine *engine, const struct peer *peer,
                snipe_time now);
void engine_owners_update (struct snipe_engine *engine, snipe_time now);
void engine_hello (struct snipe_engine *engine, bool all, snipe_time now);
/** Offers free slots to a peer whose tasks were refused here. */
void engine_offer (struct snipe_engine *engine, snipe_time now);
/** Notes that a peer has tasks that found no slot here; with the lock. */
void peer_wants_offer (struct snipe_engine *engine, uint64_t incarnation);
/** Overrides a peer's known free slots; with the lock. */
void peer_set_free (struct snipe_engine *engine, uint64_t incarnation,
                    uint32_t free_slots, snipe_time now);
struct peer *engine_peer (struct snipe_engine *engine, uint64_t incarnation);
/** Looks at the liveness of peers: ownership, lost batches. */
void engine_check_peers (struct snipe_engine *engine, snipe_time now);
int engine_on_hello (void *ctx, const peer_load *args, peer_load *reply);
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
/** @return the share of a team's quota that this host holds, 0 if it never
 * got one; with the lock. */
uint32_t engine_share_of (struct snipe_engine *engine,
                          const struct snipe_str *team);
/** Counts a started task whose end is unknown against its team's share until
 * the longest task time has passed; with the lock. */
void engine_task_lost (struct snipe_engine *engine, const struct run *run,
                       snipe_time now);
/** Stops limited teams when their shares have lapsed, and frees the slots of
 * lost tasks whose time is over; with the lock. */
void engine_check_shares (struct snipe_engine *engine, snipe_time now);

/* forward.c */
struct forward;
/** Sends a request to the home of its id, or answers from its archive. */
void forward_request (struct snipe_engine *engine, const struct snipe_id *id,
                      uint64_t home, const struct snipe_request *request,
                      bool claimed, snipe_time now, snipe_reply reply,
                      void *ctx);
/** Hands a request to any live peer, for a host that is leaving. */
bool forward_anywhere (struct snipe_engine *engine, const struct snipe_id *id,
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
  LOOKUP_ARCHIVE, /**< answer from the archive of a home */
  LOOKUP_OWNER,   /**< find the owner of a caller-supplied id */
  LOOKUP_STOP,
};
struct lookup
{
  enum lookup_kind kind;
  struct snipe_id id;
  uint64_t home;
  bool has_digest; /**< of the body, for a submission */
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
/** Name prefix of an incarnation's archive segments, from malloc. */
char *archive_prefix (uint64_t incarnation);

/* decision_log.c */
/** Records and logs one decision. */
void decision_record (struct snipe_engine *engine, const char *job,
                      uint32_t task, const char *what, const char *reason,
                      const char *target, uint32_t rule_line,
                      const struct snipe_rules *rules);
const struct snipe_rule *rule_by_line (const struct snipe_rules *rules,
                                       uint32_t line);

#endif
