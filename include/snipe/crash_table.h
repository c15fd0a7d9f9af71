/**
 * @file crash_table.h
 * Runs that were lost with their endpoints, by task. A task that crashes each
 * endpoint that starts it is given up after SNIPE_CRASHES_MAX of them, and a
 * cut is told from a crash by what the endpoint answers later.
 *
 * Each host has one table for all its pools, and hosts tell each other the
 * losses, so that the count outlives the owner of a pool, the coordinator of a
 * job, and a job that is submitted again. Merging is idempotent and does not
 * depend on the order of messages. Bounded in tasks, losses per task and time.
 */
#ifndef SNIPE_CRASH_TABLE_H
#define SNIPE_CRASH_TABLE_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"
#include "snipe/pool_id.h"

/** "<job>.<occurrence>.<step>.<index>" */
#define SNIPE_TASK_NAME_BYTES 96
/** Crashes of endpoints after which a task is given up. */
#define SNIPE_CRASHES_MAX 3
/** Runs of a task that were lost, crashes included, after which it waits until
 * it is known what became of them. */
#define SNIPE_LOST_RUNS_MAX 4
/** Losses that are kept for each task. */
#define SNIPE_LOSSES_MAX 8
/** Time for which a loss is kept. */
#define SNIPE_LOSS_RETENTION (120 * SNIPE_S)

struct snipe_crash_table;

/** What is known of a lost run. The higher value replaces the lower one; part
 * of the protocol between hosts. */
enum snipe_loss_kind
{
  /** Its start was not answered, so that it may never have begun. */
  SNIPE_LOSS_UNANSWERED = 1,
  /** The endpoint was silent until the lease was over, or the run of a task
   * under suspicion has not been reported as ended yet. */
  SNIPE_LOSS_SILENT = 2,
  /** The same, of few endpoints, and no other run was started there later. */
  SNIPE_LOSS_LIKELY = 3,
  SNIPE_LOSS_REFUTED = 4, /**< the same incarnation has answered since */
  SNIPE_LOSS_CRASH = 5,   /**< a new incarnation, while it was at work */
};

/** A lost run. */
struct snipe_loss
{
  const char *task;
  uint32_t run;
  const char *endpoint;
  int64_t started_ms; /**< of the endpoint's incarnation, 0: unknown */
  enum snipe_loss_kind kind;
};

/** Lost runs of a task. */
struct snipe_loss_count
{
  uint32_t crashes;
  uint32_t likely; /**< to have been crashes */
  uint32_t silent; /**< or unanswered */
};

/** What the losses of a task lead to. */
enum snipe_suspicion
{
  SNIPE_SUSPICION_NONE,
  SNIPE_SUSPICION_ALONE,    /**< starts only where nothing else runs */
  SNIPE_SUSPICION_WAIT,     /**< does not start until more is known */
  SNIPE_SUSPICION_GIVEN_UP, /**< has crashed SNIPE_CRASHES_MAX endpoints */
};

/** Where a loss became known, and who has to know of it. */
enum snipe_loss_source
{
  SNIPE_LOSS_MERGED, /**< told by another host */
  /** Recorded here. Nobody is told of a single silent endpoint, as a cut would
   * cost a message for each task. */
  SNIPE_LOSS_KEEP,
  SNIPE_LOSS_TELL, /**< recorded here, and all hosts have to be told */
};

struct snipe_crash_table_options
{
  unsigned int version;
  void *ctx;
  /** A loss became known or more certain. May be NULL. */
  void (*changed) (void *ctx, const struct snipe_loss *loss,
                   const struct snipe_loss_count *count,
                   enum snipe_loss_source source);
};
#define SNIPE_CRASH_TABLE_OPTIONS_VERSION 1
#define SNIPE_CRASH_TABLE_OPTIONS_INIT                                        \
  {                                                                           \
    .version = SNIPE_CRASH_TABLE_OPTIONS_VERSION                              \
  }

int snipe_crash_table_new (struct snipe_crash_table **out,
                           const struct snipe_crash_table_options *options);
void snipe_crash_table_free (struct snipe_crash_table *table);

/** Adds a loss, or what is known of it meanwhile. */
void snipe_crash_table_record (struct snipe_crash_table *table,
                               const struct snipe_loss *loss, snipe_time now);
/** Adds a loss that another host has recorded. */
void snipe_crash_table_merge (struct snipe_crash_table *table,
                              const struct snipe_loss *loss, snipe_time now);
/** The incarnations of an endpoint up to one have ended: the runs that were
 * lost there were lost by a crash.
 * @param started_ms of that incarnation, 0: unknown */
void snipe_crash_table_endpoint_ended (struct snipe_crash_table *table,
                                       const char *endpoint,
                                       int64_t started_ms, snipe_time now);
/** An incarnation of an endpoint has listed its runs to a request that was
 * sent at @p sent, to the owner with the highest token. The runs of earlier
 * incarnations were lost by a crash; of this one's, those that were lost
 * before the request were not, but for those that are still at work. */
void snipe_crash_table_endpoint_answered (
    struct snipe_crash_table *table, const char *endpoint, int64_t started_ms,
    snipe_time sent,
    bool (*at_work) (void *ctx, const char *task, uint32_t run), void *ctx,
    snipe_time now);
/** @return whether it is unknown what became of a run at the endpoint that has
 * begun. */
bool snipe_crash_table_is_open (const struct snipe_crash_table *table,
                                const char *endpoint);
struct snipe_loss_count
snipe_crash_table_count (const struct snipe_crash_table *table,
                         const char *task);
enum snipe_suspicion
snipe_crash_table_judge (const struct snipe_crash_table *table,
                         const char *task);
/** @return a number that rises with each change; 0 while nothing was added. */
uint64_t snipe_crash_table_revision (const struct snipe_crash_table *table);
/** Calls @p each with the losses that other hosts were told of by this one and
 * that changed within @p age. */
void snipe_crash_table_each (const struct snipe_crash_table *table,
                             snipe_time age,
                             void (*each) (void *ctx,
                                           const struct snipe_loss *loss),
                             void *ctx, snipe_time now);
/** Calls @p each with all known losses of the tasks of a job. */
void snipe_crash_table_each_of_job (
    const struct snipe_crash_table *table, const char *job,
    void (*each) (void *ctx, const struct snipe_loss *loss), void *ctx);
/** Drops what is older than SNIPE_LOSS_RETENTION. */
void snipe_crash_table_expire (struct snipe_crash_table *table,
                               snipe_time now);

#endif
