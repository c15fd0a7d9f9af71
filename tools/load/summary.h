/**
 * @file summary.h
 * What a load run showed: outcomes, response times against the references,
 * messages per task, and what the endpoints' stand-in counted.
 */
#ifndef TOOLS_SUMMARY_H
#define TOOLS_SUMMARY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include "clairvoyant.h"
#include "fetch.h"
#include "workload.h"

struct summary_input
{
  const struct workload_job *jobs;
  uint32_t job_count;
  const struct clairvoyant_endpoint *endpoints;
  size_t endpoint_count;
  char **hosts;                       /**< entry daemons, ends with NULL */
  const struct fetch_metrics *before; /**< one for each host */
  const bool *before_read;
  const char *control;         /**< URL of the stand-in, or NULL */
  const json_t *counts_before; /**< its counts, or NULL */
  bool idempotent;             /**< tasks may be started twice */
};

/** Computes the references, reads the daemons and the stand-in.
 * @param faults receives the number of broken guarantees: wrong answers,
 * tasks started twice, starts of jobs answered as not run, and complete jobs
 * with a task that never started
 * @return report for summary_print () or json_dumpf () */
json_t *summary_new (const struct summary_input *input, uint64_t *faults);
/** Prints "name value" lines. */
void summary_print (const json_t *report);

#endif
