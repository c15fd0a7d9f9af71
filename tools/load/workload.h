/**
 * @file workload.h
 * Jobs of a load run: generates arrival times and true and declared task
 * durations from a seed, and checks the answer to each job.
 */
#ifndef TOOLS_WORKLOAD_H
#define TOOLS_WORKLOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct workload_task
{
  double duration_ms;   /**< true duration on an endpoint of speed 1 */
  uint32_t declared_ms; /**< run_ms as submitted */
};

/** Outcome of a job as its caller sees it. */
enum workload_outcome
{
  WORKLOAD_NO_ANSWER, /**< connection failed or timed out */
  WORKLOAD_COMPLETE,
  WORKLOAD_NOT_RUN,
  WORKLOAD_UNKNOWN,
  WORKLOAD_WRONG, /**< the answer violates the API contract */
  WORKLOAD_OUTCOME_COUNT
};

struct workload_job
{
  double arrival;   /**< seconds from the start, ascending */
  double cancel_at; /**< seconds from the start, 0: never */
  uint32_t host;    /**< index of the entry host that it is submitted to */
  uint32_t task_count;
  struct workload_task *tasks;
  char id[40]; /**< set at submission */

  double send_lag; /**< seconds from arrival to submission */
  double response; /**< seconds from arrival to the end of the answer */
  enum workload_outcome outcome;
  int code; /**< error code of the answer, 0 if complete */
};

struct workload_options
{
  uint32_t job_count;
  uint32_t host_count;
  double rate; /**< jobs/s; arrivals are a Poisson process */
  uint32_t tasks_min;
  uint32_t tasks_max; /**< tasks of a job: uniform, mean (min + max) / 2 */
  double ms_min;
  /** Duration of a task: log-uniform, mean (max - min) / ln (max / min). */
  double ms_max;
  double declared_factor; /**< run_ms = ms * factor^u, u uniform in [-1, 1] */
  bool burst;             /**< all arrivals in the first 100 ms of a second */
  double cancel_fraction; /**< of the jobs */
  uint32_t seed;
};

/** @return mean seconds of work of a job at speed 1. */
double workload_mean_work (const struct workload_options *options);
struct workload_job *workload_new (const struct workload_options *options);
void workload_free (struct workload_job *jobs, uint32_t count);

/** Fields that are the same in the submission of every job. */
struct workload_submission
{
  const char *team;
  const char *kind;
  uint32_t deadline_ms;
  bool idempotent;
};

/** @return body of the submission; free it with g_string_free (). */
GString *workload_body (const struct workload_job *job, uint32_t job_index,
                        const struct workload_submission *submission);
/** Checks an answer and sets the job's outcome and code.
 * @return NULL, or a description of the error if the outcome is
 * WORKLOAD_WRONG. */
const char *workload_check_answer (struct workload_job *job,
                                   uint32_t job_index, long status,
                                   const char *body, size_t length);
const char *workload_outcome_name (enum workload_outcome outcome);
/** Generates a UUID version 7 (RFC 9562). */
void workload_uuid (char out[40], int64_t wall_ms);

#endif
