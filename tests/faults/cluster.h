/**
 * @file cluster.h
 * Access of the fault tests to a running cluster. Its addresses and process
 * ids come from the environment that cluster.sh sets. Unless said otherwise, a
 * failed call aborts the test program, so that a test checks only its
 * subject.
 */
#ifndef TESTS_FAULTS_CLUSTER_H
#define TESTS_FAULTS_CLUSTER_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define CLUSTER_HOSTS_MAX 16
#define CLUSTER_TEXT_MAX 128
#define CLUSTER_PATH_MAX 192

struct cluster_host
{
  char name[CLUSTER_TEXT_MAX];
  char domain[CLUSTER_TEXT_MAX];
  char http_address[CLUSTER_TEXT_MAX];
  char rpc_address[CLUSTER_TEXT_MAX];
  pid_t pid;
};

struct cluster
{
  char platform_address[CLUSTER_TEXT_MAX];
  char control_address[CLUSTER_TEXT_MAX]; /**< of the endpoints' stand-in */
  struct cluster_host hosts[CLUSTER_HOSTS_MAX];
  int host_count;
  int endpoint_count;
};

/** What a caller gets for one request. */
struct cluster_answer
{
  int call_status;  /**< of the HTTP call: 0 or SNIPE_E_... */
  int http_status;  /**< 0 if there was no answer */
  json_t *root;     /**< parsed body, NULL if there is none */
  char outcome[16]; /**< "complete", "not_run", "unknown" or "" */
  int code;         /**< numbered result code */
};

/** A request that is sent on a thread of its own. */
struct cluster_request
{
  const struct cluster *cluster;
  int host;
  const char *method;
  char path[CLUSTER_PATH_MAX];
  char *body;
  int64_t timeout_ms;
  struct cluster_answer answer;
  pthread_t thread;
};

void cluster_load (struct cluster *out);
/** Requests an issued id from a host. */
void cluster_issue_id (char *id, const struct cluster *cluster, int host);
/** Makes a caller-supplied id whose time is @p age_ms in the past. */
void cluster_make_caller_id (char *id, int64_t age_ms);
/** A job of equal tasks; 0 selects the default of a field. */
struct cluster_job
{
  const char *team;
  const char *kind; /**< NULL: "price-strip" */
  int tasks;
  int ms;
  bool idempotent;
  int deadline_ms;
  int cores;
};
/** @return body of a job, to be freed with g_free (). */
char *cluster_job_body (const struct cluster_job *job);
/** @return body of a job of @p tasks tasks of @p ms each, to be freed with
 * g_free (). */
char *cluster_simple_job_body (const char *team, int tasks, int ms,
                               bool idempotent);
/** Sends a request to a host and waits for its answer. A failure is reported
 * in @p out. */
void cluster_send (struct cluster_answer *out, const struct cluster *cluster,
                   int host, const char *method, const char *path,
                   const char *body, int64_t timeout_ms);
void cluster_submit (struct cluster_answer *out, const struct cluster *cluster,
                     int host, const char *id, const char *body);
void cluster_answer_clear (struct cluster_answer *answer);
/** Submits a job on a new thread; cluster_join () waits for the answer. */
void cluster_submit_async (struct cluster_request *out,
                           const struct cluster *cluster, int host,
                           const char *id, const char *body);
void cluster_join (struct cluster_request *request);

/** Posts a control message to the stand-in of the platform or of the
 * endpoints. */
void cluster_platform_control (const struct cluster *cluster,
                               const char *json);
void cluster_endpoints_control (const struct cluster *cluster,
                                const char *json);
/** Replaces the published rules by a write to the platform's table. */
void cluster_publish_rules (const struct cluster *cluster, const char *text);
/** @return the JSON that a host or stand-in serves at a path; the caller owns
 * the reference. */
json_t *cluster_get (const char *address, const char *path);
/** @return starts of all tasks of a job, as the endpoints counted them. */
int cluster_job_starts (const struct cluster *cluster, const char *id);
/** @return starts of one task of a job. */
int cluster_task_starts (const struct cluster *cluster, const char *id,
                         int task);
/** @return starts of all tasks of all jobs. */
int cluster_total_starts (const struct cluster *cluster);
/** Checks an answer against the endpoints' counts of starts: it is complete,
 * with the echo of every task in order, or failed without results, and tasks
 * reported as not run have no start. Prints every contradiction.
 * @return number of contradictions. */
int cluster_answer_error_count (const struct cluster *cluster, const char *id,
                                int tasks,
                                const struct cluster_answer *answer);
/** @return number of tasks of all jobs that were started more than once. */
int cluster_duplicate_starts (const struct cluster *cluster);
/** Waits, at most @p timeout_ms, until the endpoints have counted @p starts
 * starts of a job. @return whether they have. */
bool cluster_wait_starts (const struct cluster *cluster, const char *id,
                          int starts, int64_t timeout_ms);
void cluster_signal (const struct cluster *cluster, int host, int signal);
/** Waits, at most @p timeout_ms, until a host's process has ended.
 * @return whether it has. */
bool cluster_wait_exit (const struct cluster *cluster, int host,
                        int64_t timeout_ms);
/** Makes a host refuse all connections with the hosts and addresses in @p
 * names (NULL-terminated), in place of those set before; "platform" stands for
 * the platform. */
void cluster_refuse_connections (const struct cluster *cluster, int host,
                                 const char *const *names);
/** Simulates a network partition: a failure domain and its endpoints cannot
 * reach the other domains and, if @p platform, the platform. Ends the
 * partition if @p domain is NULL. */
void cluster_partition (const struct cluster *cluster, const char *domain,
                        bool platform);
/** @return host number @p nth (from 0) of a failure domain, or -1. */
int cluster_domain_host (const struct cluster *cluster, const char *domain,
                         int nth);
/** Sets the mode of every @p every-th endpoint, from the first on. */
void cluster_set_modes (const struct cluster *cluster, int every,
                        const char *mode, double factor);
/** @return an endpoint's counter @p field at the stand-in. */
int cluster_endpoint_counter (const struct cluster *cluster, int endpoint,
                              const char *field);
/** @return the host whose status page lists an endpoint as its own, or -1. */
int cluster_endpoint_owner (const struct cluster *cluster, int endpoint);
/** Polls @p done until it returns true or @p timeout_ms have passed.
 * @return whether it returned true. */
bool cluster_wait (bool (*done) (const struct cluster *cluster, void *arg),
                   const struct cluster *cluster, void *arg,
                   int64_t timeout_ms);
/** Sets all endpoints to mode "ok" and submits idempotent tasks of a team
 * until no running host has an endpoint suspended.
 * @return false if it takes too long. */
bool cluster_recover_endpoints (const struct cluster *cluster,
                                const char *team);
/** @return whether every running host reports all its peers as live. */
bool cluster_all_live (const struct cluster *cluster, void *unused);
void cluster_sleep_ms (int64_t ms);

#endif
