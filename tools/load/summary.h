/**
 * @file summary.h
 * Report of a load run: outcomes, response times compared with the reference
 * schedules, messages per task, and the counts of fake-endpoints.
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
  char **hosts; /**< entry daemons, NULL-terminated */
  const struct fetch_counters *counters_before; /**< one per host */
  const bool *counters_before_read;
  const char *control_url;     /**< of fake-endpoints, or NULL */
  const json_t *counts_before; /**< of fake-endpoints, or NULL */
  bool idempotent;             /**< a task may be started twice */
};

/** Computes the reference schedules and reads the daemons' counters and the
 * counts of fake-endpoints.
 * @param violations receives the number of violated guarantees: wrong answers,
 * tasks started twice unless they are idempotent, jobs answered as not run of
 * which a task was started, and complete jobs of which a task was never
 * started; 1 is added if the counts cannot be read
 * @return report for summary_print () or json_dumpf () */
json_t *summary_new (const struct summary_input *input, uint64_t *violations);
/** Prints "name value" lines. */
void summary_print (const json_t *report);

#endif
