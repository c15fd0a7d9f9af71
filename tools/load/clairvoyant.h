/**
 * @file clairvoyant.h
 * Reference schedule: a discrete-event simulation of a clairvoyant scheduler,
 * which knows the true duration of each task and the speed of each slot and
 * needs no messages. The job with the least unstarted work comes first, and
 * within a job the longest task. Tasks are not preempted.
 */
#ifndef TOOLS_CLAIRVOYANT_H
#define TOOLS_CLAIRVOYANT_H

#include <stddef.h>
#include <stdint.h>

struct clairvoyant_job
{
  double arrival; /**< seconds; jobs are sorted by it */
  uint32_t task_count;
  const double *work; /**< seconds of each task at speed 1 */
  double response;    /**< out: seconds from arrival to completion of the last
                         task */
};

struct clairvoyant_endpoint
{
  double speed;
  uint32_t slots;
};

enum clairvoyant_policy
{
  /** Assigns each task to the fastest free slot. */
  CLAIRVOYANT_GREEDY,
  /** Assigns each task to the slot that completes it earliest, which may be a
   * busy slot that it waits for. */
  CLAIRVOYANT_WAIT,
};

/** Computes the response of each job.
 * @return 0, or -1 if there is no endpoint, or one without slots or with a
 * speed that is not positive */
int clairvoyant_run (struct clairvoyant_job *jobs, size_t job_count,
                     const struct clairvoyant_endpoint *endpoints,
                     size_t endpoint_count, enum clairvoyant_policy policy);

#endif
