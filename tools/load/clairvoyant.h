/**
 * @file clairvoyant.h
 * Reference schedule: an event simulation that knows the true duration of
 * each task and the speed of each slot, without latency or messages. Jobs
 * with the least work left to start come first, within a job the longest
 * task. Tasks are not preempted.
 */
#ifndef TOOLS_CLAIRVOYANT_H
#define TOOLS_CLAIRVOYANT_H

#include <stddef.h>
#include <stdint.h>

struct clairvoyant_job
{
  double arrival; /**< seconds, ascending over the jobs */
  uint32_t task_count;
  const double *work; /**< seconds of each task at speed 1 */
  double response;    /**< out: seconds from arrival to the last end */
};

struct clairvoyant_endpoint
{
  double speed;
  uint32_t slots;
};

enum clairvoyant_policy
{
  /** A task goes to the fastest free slot. */
  CLAIRVOYANT_GREEDY,
  /** A task goes where it ends first, and waits for a busy slot if that one
   * ends it earlier than any free one. */
  CLAIRVOYANT_WAIT,
};

/** Fills in the response of each job. @return 0, or -1 without a slot. */
int clairvoyant_run (struct clairvoyant_job *jobs, size_t job_count,
                     const struct clairvoyant_endpoint *endpoints,
                     size_t endpoint_count, enum clairvoyant_policy policy);

#endif
