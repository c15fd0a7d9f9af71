/**
 * @file private.h
 * Types shared by the files of the pool scheduler.
 */
#ifndef SNIPE_POOL_PRIVATE_H
#define SNIPE_POOL_PRIVATE_H

#include <glib.h>
#include "snipe/pool.h"

struct batch;

/** Where a run stands, as this owner knows it. */
enum run_state
{
  RUN_ORDERED,  /**< start sent, not answered */
  RUN_UNSURE,   /**< start not answered in time, sent again */
  RUN_ACTIVE,   /**< the endpoint said that it runs */
  RUN_STOPPING, /**< stop sent; counts until its end is listed */
};

/** A run of a task at an endpoint. It counts against the endpoint's capacity
 * from the order until it is certain that it neither runs nor will. */
struct run
{
  char task[SNIPE_TASK_NAME_BYTES];
  uint32_t number;
  enum run_state state;
  struct snipe_pool_endpoint *endpoint;
  struct batch *batch; /**< NULL: of nobody, to be stopped or adopted */
  uint32_t slot;       /**< of the task in its batch */
  struct snipe_capacity size;
  uint32_t orders; /**< start orders sent */
  bool stop_in_flight;
  bool stop_done;       /**< the endpoint has confirmed the stop */
  snipe_time ordered;   /**< first start order sent */
  snipe_time confirmed; /**< when it became RUN_ACTIVE */
  snipe_time expected;  /**< duration that was predicted */
  snipe_time found;     /**< when it became nobody's */
  snipe_time stop_sent;
};

struct task
{
  enum snipe_task_outcome end;
  uint32_t index;
  uint32_t next_run;
  uint32_t failures;
  snipe_time retry_at; /**< not placed before */
  struct run *run;     /**< NULL while it waits */
  bool started;        /**< an order for it was sent at some time */
};

struct batch
{
  uint64_t coordinator;
  uint64_t number;
  uint32_t attempt; /**< newest one that came */
  char *job;
  char *route;
  char *label;
  char *rack;
  uint32_t step;
  struct snipe_str spec;
  struct task *tasks;
  uint32_t count;
  uint32_t waiting; /**< tasks without a run and without an end */
  uint32_t open;    /**< tasks without an end */
  struct snipe_capacity each;
  uint32_t max_per_endpoint;
  uint32_t priority;
  uint32_t attempts;
  snipe_time estimate;
  snipe_time arrived;
  snipe_time due;
  snipe_time late;
  snipe_time give_up;
  bool resent;
  uint64_t endpoints; /**< digest of the earlier owner's endpoints */
  bool started;       /**< an order of it was sent at some time */
};

enum claim_state
{
  CLAIM_ASKED,  /**< first hold not answered yet */
  CLAIM_HELD,   /**< what runs there is known */
  CLAIM_FENCED, /**< another owner has a higher token */
};

struct snipe_pool_endpoint
{
  struct snipe_endpoint_entry entry;
  enum claim_state claim;
  bool listed;
  struct snipe_capacity used;
  GPtrArray *runs; /**< struct run, owned */
  uint64_t last_seen;
  uint64_t acknowledged;   /**< last_seen of the last hold that was answered */
  uint64_t hold_last_seen; /**< of the hold under way */
  int64_t clock_base;      /**< endpoint clock at clock_at, ms */
  snipe_time clock_at;
  bool hold_in_flight;
  snipe_time hold_sent;
  snipe_time claim_deadline; /**< nothing of an earlier owner runs after it */
  double speed_ratio;        /**< actual over predicted duration, smoothed */
  uint32_t failures;         /**< in a row */
  snipe_time suspended_until;
  snipe_time heard;    /**< last answer */
  snipe_time extended; /**< last order sent that extends the lease */
};

struct snipe_pool
{
  uint64_t token;
  snipe_time lease_max;
  struct snipe_pool_callbacks port;
  snipe_time created;
  GHashTable *endpoints; /**< id -> struct snipe_pool_endpoint */
  GPtrArray *batches;    /**< struct batch, in order of arrival */
  double slowness;       /**< actual over estimated duration, smoothed */
  bool directory_known;
  bool fenced;
  GHashTable *done; /**< names of tasks that ended under an earlier owner */
};

/* endpoint.c */
struct snipe_pool_endpoint *
snipe_pool_endpoint_new (const struct snipe_endpoint_entry *entry,
                         snipe_time lease_max, snipe_time now);
void snipe_pool_endpoint_free (struct snipe_pool_endpoint *endpoint);
/** @return whether new work may go there. */
bool snipe_pool_endpoint_usable (const struct snipe_pool_endpoint *endpoint,
                                 snipe_time now);
bool snipe_pool_endpoint_fits (const struct snipe_pool_endpoint *endpoint,
                               const struct snipe_capacity *size);
/** @return the endpoint's clock in ms, as far as it can be told at @p now. */
int64_t snipe_pool_endpoint_clock (const struct snipe_pool_endpoint *endpoint,
                                   snipe_time now);
struct run *snipe_pool_run_add (struct snipe_pool_endpoint *endpoint,
                                const char *task, uint32_t number,
                                const struct snipe_capacity *size);
void snipe_pool_run_remove (struct run *run);
struct run *snipe_pool_run_find (struct snipe_pool_endpoint *endpoint,
                                 const char *task, uint32_t number);
/** Learns from the end of a run. */
void snipe_pool_endpoint_ended (struct snipe_pool *pool,
                                struct snipe_pool_endpoint *endpoint,
                                const struct run *run,
                                enum snipe_run_outcome end, snipe_time now);
/** Judges an endpoint by an order that failed or stood still. */
void snipe_pool_endpoint_failed (struct snipe_pool_endpoint *endpoint,
                                 snipe_time now);

/* place.c */
/** Predicted duration of a task of @p batch at @p endpoint. */
snipe_time snipe_pool_predict (const struct snipe_pool *pool,
                               const struct snipe_pool_endpoint *endpoint,
                               const struct batch *batch);
/** @return where the next task of @p batch goes, or NULL. */
struct snipe_pool_endpoint *snipe_pool_choose (const struct snipe_pool *pool,
                                               const struct batch *batch,
                                               snipe_time now);
/** Sorts @p order, the batches with waiting tasks, by who goes first. */
void snipe_pool_sort (const struct snipe_pool *pool, GPtrArray *order,
                      snipe_time now);
/** @return 0, or the reason for which a waiting batch is refused now. */
int snipe_pool_refusal (const struct snipe_pool *pool,
                        const struct batch *batch, snipe_time now);

#endif
