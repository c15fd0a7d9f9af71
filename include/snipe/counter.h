/**
 * @file counter.h
 * Counters and gauges of this process, exposed at /metrics in the Prometheus
 * text format. An update is one atomic instruction (Concurrency Kit).
 */
#ifndef SNIPE_COUNTER_H
#define SNIPE_COUNTER_H

#include <stdint.h>
#include "snipe/str.h"

/** Every counter and gauge: enumerator, metric name, type, help text. The
 * enumerators follow the metric names, which are an external interface. */
#define SNIPE_COUNTERS(X)                                                     \
  X (JOBS_ACCEPTED, "jobs_accepted_total", "counter", "Jobs accepted")        \
  X (JOBS_COMPLETE, "jobs_complete_total", "counter", "Jobs complete")        \
  X (JOBS_NOT_RUN, "jobs_not_run_total", "counter", "Jobs not run")           \
  X (JOBS_REFUSED, "jobs_refused_total", "counter",                           \
     "Jobs refused because a field cannot be kept")                           \
  X (JOBS_UNKNOWN, "jobs_unknown_total", "counter",                           \
     "Jobs failed that may have run")                                         \
  X (JOBS_RESUBMITTED, "jobs_resubmitted_total", "counter",                   \
     "Submissions of an id already known")                                    \
  X (CLIENTS_REFUSED, "clients_refused_total", "counter",                     \
     "Requests refused or connections closed for what a host can hold")       \
  X (TASK_STARTS, "task_starts_total", "counter",                             \
     "Start requests sent to endpoints")                                      \
  X (TASK_ANSWERS, "task_answers_total", "counter",                           \
     "Answers of started tasks")                                              \
  X (TASK_REFUSED, "task_refused_total", "counter",                           \
     "Starts refused by an endpoint")                                         \
  X (TASK_RETRIES, "task_retries_total", "counter", "Tasks started again")    \
  X (RESENT_STARTS, "endpoint_resent_starts_total", "counter",                \
     "Start requests sent again because no answer came in time")              \
  X (RESENT_STOPS, "endpoint_resent_stops_total", "counter",                  \
     "Stop requests sent again because no answer came in time")               \
  X (RESENT_POLLS, "endpoint_resent_polls_total", "counter",                  \
     "Polls sent again because no answer came in time")                       \
  X (BATCHES_DECLINED, "batches_declined_total", "counter",                   \
     "Batches declined by a pool that could not start them at once")          \
  X (BATCHES_HANDED_BACK, "batches_handed_back_total", "counter",             \
     "Batches handed back because their failure domain is evacuated")         \
  X (DOMAINS_EVACUATED, "domains_evacuated", "gauge",                         \
     "Failure domains that are evacuated")                                    \
  X (LOCALITY_NEAR, "locality_near_total", "counter",                         \
     "Decisions to start a batch near its data or in one rack")               \
  X (LOCALITY_FAR, "locality_far_total", "counter",                           \
     "Decisions to start a batch elsewhere")                                  \
  X (LOCALITY_WAITED, "locality_waited_total", "counter",                     \
     "Decisions to let a batch wait for a near place")                        \
  X (WHOLE_STARTED, "whole_batches_started_total", "counter",                 \
     "Batches whose tasks were all started at once")                          \
  X (WHOLE_WAITED, "whole_batches_waited_total", "counter",                   \
     "Batches that waited for room for all of their tasks")                   \
  X (WHOLE_GIVEN_UP, "whole_batches_given_up_total", "counter",               \
     "Batches given up before a task of them was started")                    \
  X (HOLDS_GRANTED, "holds_granted_total", "counter",                         \
     "Held batches for which a pool kept room")                               \
  X (HOLDS_EXPIRED, "holds_expired_total", "counter",                         \
     "Held batches whose room was kept for too long")                         \
  X (HOLDS_COMMITTED, "holds_committed_total", "counter",                     \
     "Held batches that were started with all others of their job")           \
  X (DECLINE_LOADS, "decline_loads_total", "counter",                         \
     "Loads of a pool sent to the coordinator of a declined batch")           \
  X (BATCHES_DISPLACED, "batches_displaced_total", "counter",                 \
     "Waiting batches that gave way to more urgent ones")                     \
  X (RETRIES_SPREAD, "retries_spread_total", "counter",                       \
     "Callers of jobs that were not run who were told a spread Retry-After")  \
  X (TASK_LOST, "task_lost_total", "counter",                                 \
     "Started tasks whose answer was lost")                                   \
  X (RUNS_CRASHED, "runs_crashed_total", "counter",                           \
     "Runs that were at work when their endpoint crashed")                    \
  X (TASKS_GIVEN_UP, "tasks_given_up_total", "counter",                       \
     "Tasks given up because endpoints crashed under them")                   \
  X (ENDPOINTS_OVER, "endpoints_over_capacity", "gauge",                      \
     "Endpoints of this host's pools that run more than they have room for")  \
  X (OLDER_ENTRIES, "older_endpoint_entries_total", "counter",                \
     "Endpoint entries ignored because a newer one was known")                \
  X (PROBES, "probes_total", "counter", "Probes of suspended endpoints")      \
  X (PASS_BATCHES, "pass_batches_total", "counter",                           \
     "Batches of tasks passed to a peer")                                     \
  X (PASS_TASKS, "pass_tasks_total", "counter", "Tasks passed to a peer")     \
  X (PASS_REFUSED, "pass_refused_total", "counter",                           \
     "Passed tasks that the peer refused")                                    \
  X (OFFERS, "offers_total", "counter", "Offers of free slots to peers")      \
  X (HELLOS, "hellos_total", "counter", "Heartbeats sent to peers")           \
  X (HELLOS_UNSENT, "hellos_unsent_total", "counter",                         \
     "Heartbeats that found no connection to their host")                     \
  X (FORWARDS, "forwards_total", "counter", "Requests forwarded to a home")   \
  X (PEER_BYTES, "peer_bytes_total", "counter",                               \
     "Bytes of calls to peers and of their replies, without TCP")             \
  X (STORE_READS, "store_reads_total", "counter",                             \
     "Reads sent to the platform")                                            \
  X (STORE_WRITES, "store_writes_total", "counter",                           \
     "Writes sent to the platform")                                           \
  X (STORE_BYTES, "store_bytes_total", "counter",                             \
     "Bytes of HTTP exchanged with the platform, both directions")            \
  X (STORE_FAILURES, "store_failures_total", "counter",                       \
     "Calls to the platform that failed")                                     \
  X (CLAIMS, "claims_total", "counter", "Ids claimed in the table")           \
  X (CLAIM_TXNS, "claim_transactions_total", "counter",                       \
     "Transactions that carried claims")                                      \
  X (RULES_VERSION, "rules_version", "gauge", "Version of rules in force")    \
  X (TASKS_QUEUED, "tasks_queued", "gauge", "Tasks waiting")                  \
  X (TASKS_RUNNING, "tasks_running", "gauge", "Tasks running at endpoints")   \
  X (PLATFORM_UP, "platform_up", "gauge",                                     \
     "1 if the last call to the platform succeeded")

#define SNIPE_COUNTER_ENUM(id, name, type, help) SNIPE_C_##id,
enum snipe_counter
{
  SNIPE_COUNTERS (SNIPE_COUNTER_ENUM) SNIPE_COUNTER_COUNT
};
#undef SNIPE_COUNTER_ENUM

void snipe_counter_add (enum snipe_counter counter, uint64_t n);
void snipe_counter_set (enum snipe_counter counter, uint64_t value);
uint64_t snipe_counter_get (enum snipe_counter counter);
/** Replaces @p out with all counters in the Prometheus text format.
 * @return 0 or SNIPE_E_NOMEM. */
int snipe_counter_print (struct snipe_str *out);

#endif
