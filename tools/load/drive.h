/**
 * @file drive.h
 * Submits the jobs of a workload at their arrival times, whether or not
 * earlier ones have been answered, from one thread over libcurl.
 */
#ifndef TOOLS_DRIVE_H
#define TOOLS_DRIVE_H

#include <stdbool.h>
#include <stdint.h>
#include "workload.h"

struct drive_options
{
  char **hosts; /**< "ip:port" of the entry daemons, ends with NULL */
  bool own_ids; /**< UUIDs of our own instead of issued ids */
  struct workload_form form;
  struct workload_job *jobs;
  uint32_t job_count;
};

struct drive_report
{
  uint32_t id_stalls; /**< times a submission had to wait for issued ids */
  uint32_t cancels;   /**< cancellations sent */
  double seconds;     /**< from the start to the last answer */
};

/** Runs the workload; outcomes and times are in the jobs. Messages about
 * wrong answers go to stderr. @return 0, or -1 if it could not start. */
int drive_run (const struct drive_options *options,
               struct drive_report *report);

#endif
