/**
 * @file workload.h
 * Jobs of a load run: arrivals, true and declared durations from a seed, and
 * the check of each answer.
 */
#ifndef TOOLS_WORKLOAD_H
#define TOOLS_WORKLOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct workload_task
{
  double ms;         /**< true duration on an endpoint of speed 1 */
  uint32_t declared; /**< run_ms as submitted */
};

/** How a job ended, as its caller saw it. */
enum workload_outcome
{
  WORKLOAD_NO_ANSWER, /**< connection failed or timed out */
  WORKLOAD_COMPLETE,
  WORKLOAD_NOT_RUN,
  WORKLOAD_UNKNOWN,
  WORKLOAD_WRONG, /**< the answer breaks the contract */
  WORKLOAD_OUTCOMES
};

struct workload_job
{
  double arrival;   /**< seconds from the start, ascending */
  double cancel_at; /**< seconds from the start, 0: never */
  uint32_t host;    /**< index of the entry host */
  uint32_t task_count;
  struct workload_task *tasks;
  char id[40]; /**< set at submission */

  double lag;      /**< seconds from arrival to the sending */
  double response; /**< seconds from arrival to the whole answer */
  enum workload_outcome outcome;
  int code; /**< code of a failed answer */
};

struct workload_options
{
  uint32_t jobs;
  uint32_t hosts;
  double rate; /**< jobs/s; arrivals are a Poisson process */
  uint32_t tasks_min;
  uint32_t tasks_max; /**< tasks of a job: uniform, mean (min + max) / 2 */
  double ms_min;
  /** Duration of a task: log-uniform, mean (max - min) / ln (max / min). */
  double ms_max;
  double declared_factor; /**< run_ms = ms * factor^u, u uniform in [-1, 1] */
  bool burst;             /**< arrivals of each second in its first 100 ms */
  double cancel;
  uint32_t seed;
};

/** @return mean seconds of work of a job at speed 1. */
double workload_mean_work (const struct workload_options *options);
struct workload_job *workload_new (const struct workload_options *options);
void workload_free (struct workload_job *jobs, uint32_t count);

struct workload_form
{
  const char *team;
  const char *kind;
  uint32_t deadline_ms;
  bool idempotent;
};

/** @return body of the submission, freed with g_string_free (). */
GString *workload_body (const struct workload_job *job, uint32_t number,
                        const struct workload_form *form);
/** Judges an answer; sets outcome and code.
 * @return NULL, or what is wrong with it if the outcome is WORKLOAD_WRONG. */
const char *workload_check (struct workload_job *job, uint32_t number,
                            long status, const char *body, size_t len);
const char *workload_outcome_name (enum workload_outcome outcome);
/** Formats a new UUID version 7 (RFC 9562). */
void workload_uuid (char out[40], int64_t wall_ms);

#endif
