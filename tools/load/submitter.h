/**
 * @file submitter.h
 * Submits the jobs of a workload at their arrival times, whether or not
 * earlier jobs are complete (open loop). Uses libcurl in one thread.
 */
#ifndef TOOLS_SUBMITTER_H
#define TOOLS_SUBMITTER_H

#include <stdbool.h>
#include <stdint.h>
#include "workload.h"

struct submitter_options
{
  char **hosts; /**< "ip:port" of the entry daemons, NULL-terminated */
  bool caller_supplied_ids; /**< new UUIDs instead of issued ids */
  struct workload_submission submission;
  struct workload_job *jobs;
  uint32_t job_count;
};

struct submitter_report
{
  uint32_t id_stalls; /**< submissions that waited for issued ids */
  uint32_t cancels;   /**< cancellation requests sent */
  double seconds;     /**< from the start to the last answer */
};

/** Runs the workload, stores outcomes and times in the jobs and writes wrong
 * answers to stderr. @return 0, or -1 if a host issued no ids at the start. */
int submitter_run (const struct submitter_options *options,
                   struct submitter_report *report);

#endif
