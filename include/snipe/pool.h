/**
 * @file pool.h
 * Scheduler of one pool of endpoints,
 * each with a capacity in cores and memory, used by one host at a time. It
 * decides which waiting task starts where, which work is refused, and what is
 * stopped. Pure: it reads no clock and does no I/O; orders leave through
 * struct snipe_pool_callbacks and their answers come back as calls.
 *
 * Exclusive use of an endpoint rests on the endpoint itself: it carries out
 * no order with a lower fencing token than it has seen. A new owner first
 * reads what runs at each endpoint with its own, higher token.
 */
#ifndef SNIPE_POOL_H
#define SNIPE_POOL_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"
#include "snipe/pool_id.h"
#include "snipe/str.h"

#define SNIPE_TASK_NAME_BYTES 96 /**< "<job>.<occurrence>.<step>.<index>" */

struct snipe_pool;
struct snipe_pool_endpoint;

/** What a task takes, or an endpoint has. */
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
  char kind[64];      /**< label of the hardware, "" if none */
  char rack[64];      /**< "" if none */
  int64_t started_ms; /**< start of this life, Unix time; 0 if unknown */
  struct snipe_capacity capacity;
  bool draining; /**< gets no new work */
};

bool snipe_endpoint_entry_equal (const struct snipe_endpoint_entry *a,
                                 const struct snipe_endpoint_entry *b);

/** How a task of a batch ended; part of the protocol between hosts. */
enum snipe_task_outcome
{
  SNIPE_TASK_PENDING = 0, /**< not yet */
  SNIPE_TASK_DONE = 1,    /**< ran to its end */
  SNIPE_TASK_FAILED = 2,  /**< started, failed for the last time */
  SNIPE_TASK_NOT_RUN = 3, /**< never started, never will be */
  SNIPE_TASK_STOPPED = 4, /**< started, then stopped */
};

/** Tasks of one job step that a host hands to a pool. */
struct snipe_pool_batch
{
  uint64_t coordinator; /**< incarnation of the host that keeps the job */
  uint64_t number;      /**< unique at the home */
  uint32_t attempt;     /**< how often it was sent, this time included */
  const char *job;
  uint32_t step;
  const char *route; /**< name under which durations are learned */
  struct snipe_str spec;
  const uint32_t *indexes; /**< of the tasks, in their step */
  uint32_t count;
  struct snipe_capacity task_resources; /**< what one task takes */
  const char *label;          /**< the endpoint must have it, "": any */
  const char *rack;           /**< preferred rack, "": any */
  uint32_t max_per_endpoint;  /**< 0: no limit */
  uint32_t priority;          /**< 0 is the highest */
  uint32_t attempts;          /**< starts that may fail before the job does */
  snipe_time estimate;        /**< declared duration of a task */
  snipe_time soft_deadline;   /**< end wanted by then */
  snipe_time hard_deadline;   /**< worthless to the caller after that */
  snipe_time caller_deadline; /**< caller waits no longer */
  bool resent;                /**< may run already, under an earlier owner */
  /** If so: digest of the endpoints that the earlier owner used, 0: unknown.
   * If this owner's differ, the tasks may run where it does not look. */
  uint64_t endpoint_digest;
};

/** End of a batch, sent to its home once. */
struct snipe_pool_result
{
  uint64_t coordinator;
  uint64_t number;
  uint32_t attempt; /**< of the batch that this is the answer to */
  const char *job;
  const uint32_t *outcomes; /**< enum snipe_task_outcome of each task */
  uint32_t count;
  int code;                   /**< enum snipe_status */
  snipe_time retry_after;     /**< if refused: when to come back */
  snipe_time caller_deadline; /**< of the batch: its home waits no longer */
};

/** Orders. Each is answered by one call of the function named, also when the
 * endpoint gave no answer. */
struct snipe_pool_start_request
{
  const struct snipe_endpoint_entry *endpoint;
  uint64_t token;
  char task[SNIPE_TASK_NAME_BYTES];
  uint32_t run;
  struct snipe_str spec; /**< borrowed */
  int64_t valid_until;   /**< endpoint clock, ms */
  snipe_time timeout;
};

struct snipe_pool_stop_request
{
  const struct snipe_endpoint_entry *endpoint;
  uint64_t token;
  char task[SNIPE_TASK_NAME_BYTES];
  uint32_t run;
  snipe_time timeout;
};

struct snipe_pool_poll_request
{
  const struct snipe_endpoint_entry *endpoint;
  uint64_t token;
  uint64_t last_seen_end; /**< number of the last end noted */
  int64_t valid_until;    /**< endpoint clock, ms; 0: do not extend */
  snipe_time wait;        /**< the endpoint answers at an end, or after this */
  snipe_time timeout;
};

struct snipe_pool_callbacks
{
  void *ctx;
  /** Answered by snipe_pool_on_start (). */
  void (*start) (void *ctx, const struct snipe_pool_start_request *order);
  /** Answered by snipe_pool_on_stop (). */
  void (*stop) (void *ctx, const struct snipe_pool_stop_request *order);
  /** Answered by snipe_pool_on_poll (). */
  void (*poll) (void *ctx, const struct snipe_pool_poll_request *order);
  void (*result) (void *ctx, const struct snipe_pool_result *result);
};

/** Answer of an endpoint to an order. */
enum snipe_endpoint_answer
{
  SNIPE_ANSWER_OK,
  SNIPE_ANSWER_NONE,        /**< no answer: may be carried out yet */
  SNIPE_ANSWER_UNREACHABLE, /**< no connection: surely not carried out */
  SNIPE_ANSWER_FENCED,      /**< a higher token was seen there */
  SNIPE_ANSWER_STALE_RUN,   /**< an equal or higher run ended there */
  SNIPE_ANSWER_EXPIRED,     /**< the order's time was over */
  SNIPE_ANSWER_NO_CAPACITY,
  SNIPE_ANSWER_UNHEALTHY, /**< nothing was done */
  SNIPE_ANSWER_RESTARTED, /**< restarted since it was listed */
  SNIPE_ANSWER_INVALID,   /**< malformed order; nothing was done */
};

/** How the endpoint says that a run ended. */
enum snipe_run_outcome
{
  SNIPE_RUN_DONE,
  SNIPE_RUN_FAILED,
  SNIPE_RUN_STOPPED,
  SNIPE_RUN_LEASE_EXPIRED, /**< the endpoint's lease ran out */
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
  int64_t clock_ms;   /**< endpoint clock; 0 if not told */
  int64_t started_ms; /**< 0 if not told */
  bool draining;      /**< it says that it gets no new work */
  const struct snipe_endpoint_run *running;
  uint32_t running_count;
  const struct snipe_endpoint_ended_run *ended;
  uint32_t ended_count;
};

struct snipe_pool_options
{
  unsigned int version;
  uint64_t token;       /**< for every endpoint of the pool */
  snipe_time lease_max; /**< longest lease that an endpoint grants */
  struct snipe_pool_callbacks callbacks;
};
#define SNIPE_POOL_OPTIONS_VERSION 1
#define SNIPE_POOL_OPTIONS_INIT                                               \
  {                                                                           \
    .version = SNIPE_POOL_OPTIONS_VERSION, .lease_max = 1000 * SNIPE_MS       \
  }

int snipe_pool_new (struct snipe_pool **out,
                    const struct snipe_pool_options *options, snipe_time now);
void snipe_pool_free (struct snipe_pool *pool);

/** Adds an endpoint or takes over what has changed of it. */
void snipe_pool_endpoint_set (struct snipe_pool *pool,
                              const struct snipe_endpoint_entry *entry,
                              snipe_time now);
/** Another host has read that this life of the endpoint leaves: it gets no new
 * work. */
void snipe_pool_endpoint_drain (struct snipe_pool *pool, const char *id,
                                int64_t born_ms);
/** The directory lists the endpoint no longer. */
void snipe_pool_endpoint_remove (struct snipe_pool *pool, const char *id,
                                 snipe_time now);

/** All endpoints that were listed at some time after the pool was claimed are
 * set. Until then a batch that may run already is not started: it may run at
 * an endpoint that this owner does not know yet. */
void snipe_pool_directory_synced (struct snipe_pool *pool);

/** Takes a batch; its end comes through the port, maybe at once. */
void snipe_pool_submit (struct snipe_pool *pool,
                        const struct snipe_pool_batch *batch, snipe_time now);
/** Ends a batch: removes what waits and stops what runs. No result is sent. */
void snipe_pool_cancel (struct snipe_pool *pool, uint64_t home,
                        uint64_t number, snipe_time now);
/** @return whether no batch is open and nothing runs that is known of. */
bool snipe_pool_idle (const struct snipe_pool *pool);
/** @return whether a batch of that host is open. */
bool snipe_pool_has_batch_of (const struct snipe_pool *pool, uint64_t home);
/** The host @p home is lost: ends all its batches, with a result in case that
 * it is heard again. */
void snipe_pool_coordinator_lost (struct snipe_pool *pool, uint64_t home,
                                  snipe_time now);

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
/** Time has passed. Call at least every 50 ms. */
void snipe_pool_tick (struct snipe_pool *pool, snipe_time now);
/** @return whether the endpoint is one of the pool's. */
bool snipe_pool_has_endpoint (const struct snipe_pool *pool,
                              const char *endpoint);
/** @return whether an endpoint answered that another owner took over. */
bool snipe_pool_fenced (const struct snipe_pool *pool);

struct snipe_pool_load
{
  uint32_t endpoints; /**< usable ones */
  int64_t total_cpu;
  int64_t backlog; /**< waiting: thousandths of cores x ms */
  double slowdown; /**< actual over estimated duration */
  uint64_t
      endpoint_digest; /**< of the ids of the endpoints, 0 if there are none */
};

/** Fills in the load; writes the free cores of up to @p max usable endpoints
 * to @p free_cpu. @return how many were written. */
uint32_t snipe_pool_load (const struct snipe_pool *pool,
                          struct snipe_pool_load *out, uint32_t *free_cpu,
                          uint32_t max, snipe_time now);

#endif
