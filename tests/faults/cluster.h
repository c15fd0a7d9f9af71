/**
 * @file cluster.h
 * A running cluster as the fault tests see it: its addresses and processes
 * come from the environment that cluster.sh sets. Everything here fails the
 * test program on a broken cluster, so that a test checks only what it is
 * about.
 */
#ifndef TESTS_FAULTS_CLUSTER_H
#define TESTS_FAULTS_CLUSTER_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define CLUSTER_HOSTS_MAX 16
#define CLUSTER_TEXT 128
#define CLUSTER_PATH 192

struct cluster_host
{
  char name[CLUSTER_TEXT];
  char domain[CLUSTER_TEXT];
  char http[CLUSTER_TEXT];
  char rpc[CLUSTER_TEXT];
  pid_t pid;
};

struct cluster
{
  char platform[CLUSTER_TEXT];
  char endpoints[CLUSTER_TEXT]; /**< control address */
  struct cluster_host hosts[CLUSTER_HOSTS_MAX];
  int host_count;
  int endpoint_count;
};

/** A caller's view of one request. */
struct cluster_answer
{
  int status;       /**< result of the HTTP call: 0 or SNIPE_E_... */
  int http;         /**< HTTP status, 0 without an answer */
  json_t *root;     /**< parsed body, NULL without one */
  char outcome[16]; /**< "complete", "not_run", "unknown" or "" */
  int code;         /**< numbered result code */
};

/** A request that runs on a thread of its own. */
struct cluster_request
{
  const struct cluster *cluster;
  int host;
  const char *method;
  char path[CLUSTER_PATH];
  char *body;
  int64_t timeout_ms;
  struct cluster_answer answer;
  pthread_t thread;
};

void cluster_load (struct cluster *out);
/** Takes an issued id from a host. */
void cluster_issue (char *id, const struct cluster *cluster, int host);
/** Makes a caller-supplied id of the present time, @p age_ms in the past. */
void cluster_own_id (char *id, int64_t age_ms);
/** A job of equal tasks; 0 stands for the daemon's default. */
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
/** Builds the body of a job; from malloc. */
char *cluster_job_body (const struct cluster_job *job);
/** Builds a job of @p tasks tasks of @p ms each; from malloc. */
char *cluster_job (const char *team, int tasks, int ms, bool idempotent);
/** Sends a request to a host and waits for its answer. */
void cluster_send (struct cluster_answer *out, const struct cluster *cluster,
                   int host, const char *method, const char *path,
                   const char *body, int64_t timeout_ms);
void cluster_submit (struct cluster_answer *out, const struct cluster *cluster,
                     int host, const char *id, const char *body);
void cluster_answer_clear (struct cluster_answer *answer);
/** Submits on a thread; cluster_join () waits for the answer. */
void cluster_submit_async (struct cluster_request *out,
                           const struct cluster *cluster, int host,
                           const char *id, const char *body);
void cluster_join (struct cluster_request *request);

/** Posts a control message to the platform or the endpoints. */
void cluster_platform (const struct cluster *cluster, const char *json);
void cluster_endpoints (const struct cluster *cluster, const char *json);
/** Publishes rules over the present ones by a plain table write. */
void cluster_publish_rules (const struct cluster *cluster, const char *text);
/** Reads a JSON page of a host or stand-in; the caller drops it. */
json_t *cluster_get (const char *address, const char *path);
/** @return starts of all tasks of a job that the endpoints counted. */
int cluster_job_starts (const struct cluster *cluster, const char *id);
/** @return starts of one task of a job. */
int cluster_task_starts (const struct cluster *cluster, const char *id,
                         int task);
/** @return starts of all tasks of all jobs. */
int cluster_all_starts (const struct cluster *cluster);
/** Compares an answer with the endpoints' counts: it is complete, with the
 * echo of every task in order, or failed without a result, and what it calls
 * not run has no start. @return how many contradictions were printed. */
int cluster_answer_faults (const struct cluster *cluster, const char *id,
                           int tasks, const struct cluster_answer *answer);
/** @return tasks of all jobs that the endpoints saw started twice. */
int cluster_duplicate_starts (const struct cluster *cluster);
/** Waits, at most @p limit_ms, until the endpoints counted that many starts
 * of a job. @return whether they did. */
bool cluster_wait_starts (const struct cluster *cluster, const char *id,
                          int starts, int64_t limit_ms);
void cluster_signal (const struct cluster *cluster, int host, int signal);
/** Waits until a host's process has ended. */
bool cluster_wait_exit (const struct cluster *cluster, int host,
                        int64_t limit_ms);
/** Makes a host refuse the named hosts and addresses; NULL-terminated. */
void cluster_refuse (const struct cluster *cluster, int host,
                     const char *const *names);
/** Cuts a failure domain, with its endpoints, off from all other domains,
 * and from the platform
 * if @p platform; heals everything if @p domain is NULL. */
void cluster_cut (const struct cluster *cluster, const char *domain,
                  bool platform);
/** First host of a failure domain (@p nth = 0), or -1. */
int cluster_host_of (const struct cluster *cluster, const char *domain,
                     int nth);
/** Puts every @p every-th endpoint, from the first on, into a mode. */
void cluster_mode (const struct cluster *cluster, int every, const char *mode,
                   double factor);
/** @return a field of an endpoint on the page of the stand-in, by number. */
int cluster_endpoint_count (const struct cluster *cluster, int endpoint,
                            const char *field);
/** @return the host whose page lists an endpoint, or -1. */
int cluster_owner (const struct cluster *cluster, int endpoint);
/** Waits until @p done holds. @return whether it did. */
bool cluster_wait (bool (*done) (const struct cluster *cluster, void *arg),
                   const struct cluster *cluster, void *arg, int64_t limit_ms);
/** Puts all endpoints into mode "ok" and sends idempotent work of a team
 * until no host that lives has one suspended. @return whether so. */
bool cluster_recover (const struct cluster *cluster, const char *team);
/** @return whether every host that lives sees all others live. */
bool cluster_all_live (const struct cluster *cluster, void *unused);
void cluster_sleep_ms (int64_t ms);

#endif
