/**
 * @file histogram.h
 * Latency histograms of this process, exposed with the counters in the
 * Prometheus text format. Recording takes no lock, only atomic additions.
 */
#ifndef SNIPE_HISTOGRAM_H
#define SNIPE_HISTOGRAM_H

#include "snipe/clock.h"
#include "snipe/str.h"

/** Every histogram: enumerator, metric name, help text. */
#define SNIPE_HISTOGRAMS(X)                                                   \
  X (JOB_COMPLETE, "job_complete_seconds",                                    \
     "From a job's request to its answer, all tasks done")                    \
  X (JOB_NOT_RUN, "job_not_run_seconds",                                      \
     "From a job's request to its refusal")                                   \
  X (JOB_OTHER, "job_other_seconds",                                          \
     "From a job's request to any other answer")

#define SNIPE_HISTOGRAM_ENUM(id, name, help) SNIPE_H_##id,
enum snipe_histogram
{
  SNIPE_HISTOGRAMS (SNIPE_HISTOGRAM_ENUM) SNIPE_HISTOGRAM_COUNT
};
#undef SNIPE_HISTOGRAM_ENUM

/** Records a duration. Thread-safe. */
void snipe_histogram_add (enum snipe_histogram histogram, snipe_time duration);
/** Appends all histograms to @p out. @return 0 or SNIPE_E_NOMEM. */
int snipe_histogram_print (struct snipe_str *out);

#endif
