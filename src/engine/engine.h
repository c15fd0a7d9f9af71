/**
 * @file engine.h
 * The dispatch engine of snipelbd: accepts jobs and records their outcomes,
 * executes the decisions of the scheduler, and exchanges load reports, batches
 * and results with peers.
 */
#ifndef SNIPE_ENGINE_H
#define SNIPE_ENGINE_H

#include <stdbool.h>
#include <stdint.h>
#include "peer/net.h"
#include "platform/platform.h"
#include "snipe/clock.h"
#include "snipe/job.h"
#include "snipe/rules.h"
#include "snipe/sched.h"
#include "snipe/str.h"

struct snipe_engine;
struct snipe_endpoint_client;

struct snipe_engine_options
{
  unsigned int version;
  uint64_t incarnation;
  const char *host;   /**< this host's name */
  const char *domain; /**< its failure domain */
  const char *region;
  double capacity_weight;    /**< relative to the other hosts */
  snipe_time id_retention;   /**< how long a job id and its outcome are
                                remembered, default 600 s */
  size_t answer_cache_bytes; /**< memory for cached answers, default 64 MiB */
  uint32_t decision_log_entries; /**< decisions kept to explain jobs, a power
                                    of two, default 65536 */
  snipe_time task_duration_max;  /**< longest task run time, default 60 s */
  snipe_time heartbeat_interval; /**< between heartbeats, default 1 s */
  snipe_time archive_interval;   /**< between archive segments, default 2 s */
  struct snipe_job_limits limits;
  struct snipe_sched_options sched;
};
#define SNIPE_ENGINE_OPTIONS_VERSION 1
#define SNIPE_ENGINE_OPTIONS_INIT                                             \
  {                                                                           \
    .version = SNIPE_ENGINE_OPTIONS_VERSION, .capacity_weight = 1,            \
    .id_retention = 600 * SNIPE_S, .answer_cache_bytes = 64 * 1048576,        \
    .decision_log_entries = 65536, .task_duration_max = 60 * SNIPE_S,         \
    .heartbeat_interval = SNIPE_S, .archive_interval = 2 * SNIPE_S,           \
    .limits = SNIPE_JOB_LIMITS_INIT, .sched = SNIPE_SCHED_OPTIONS_INIT        \
  }

/** Creates an engine. It schedules nothing before snipe_engine_start (). */
int snipe_engine_new (struct snipe_engine **out,
                      const struct snipe_engine_options *options);
/** Handlers for the peer net and for the platform client; their context is the
 * engine. */
const struct snipe_peer_handlers *snipe_engine_peer_handlers (void);
const struct snipe_platform_callbacks *snipe_engine_platform_callbacks (void);

/** Components and addresses that the engine uses. They must outlive the
 * engine's threads. */
struct snipe_engine_dependencies
{
  struct snipe_endpoint_client *endpoints;
  struct snipe_peer_net *net;
  const char *rpc_address;  /**< "ip:port" for peers */
  const char *const *seeds; /**< peers' "ip:port", NULL-terminated */
};
/** Sets the dependencies and starts the engine's threads. */
int snipe_engine_start (struct snipe_engine *engine,
                        const struct snipe_engine_dependencies *dependencies);
/** Sets the platform client, once it is connected; NULL removes it. */
void snipe_engine_set_platform (struct snipe_engine *engine,
                                struct snipe_platform *platform);
/** Stops the threads and frees the engine. Call it after draining, once the
 * endpoint client, the peer net and the platform client have stopped. */
void snipe_engine_free (struct snipe_engine *engine);
/** Stops the engine's threads, so that its dependencies can be freed. */
void snipe_engine_stop (struct snipe_engine *engine);

/**
 * Receives the answer to a request, exactly once. May be called on any
 * thread, also before snipe_engine_request () returns.
 * @param http HTTP status
 * @param body JSON, valid during the call
 */
typedef void (*snipe_reply) (void *ctx, int http,
                             const struct snipe_str *body);

enum snipe_verb
{
  SNIPE_VERB_SUBMIT, /**< start the job, or wait for it if the id is known */
  SNIPE_VERB_QUERY,  /**< wait for the job if the id is known, start nothing */
  SNIPE_VERB_CANCEL, /**< cancel the job, or record the id so that it never
                        starts */
};

struct snipe_request
{
  enum snipe_verb verb;
  const char *id; /**< as received from the caller */
  const char *body;
  size_t body_len;
  snipe_time wait; /**< longest wait; negative: until the job has ended */
};
/** Handles a request of a caller; @p reply is called exactly once. */
void snipe_engine_request (struct snipe_engine *engine,
                           const struct snipe_request *request, snipe_time now,
                           snipe_reply reply, void *ctx);
/** Issues job ids. @p out receives {"ids":[...]}. */
int snipe_engine_issue_ids (struct snipe_str *out, struct snipe_engine *engine,
                            uint32_t count, snipe_time now);

/** Starts draining: new work is rejected, work in flight is completed. */
void snipe_engine_drain (struct snipe_engine *engine);
bool snipe_engine_draining (const struct snipe_engine *engine);
/** @return whether no submission, batch or answer is still in flight. */
bool snipe_engine_idle (struct snipe_engine *engine);
/** Archives the outcomes that are not archived yet.
 * @param final no job starts any more; marks the archive as complete */
int snipe_engine_archive (struct snipe_engine *engine, bool final);

/** Whether the host can accept work (rules loaded, not draining). */
bool snipe_engine_ready (const struct snipe_engine *engine);
/** Writes the status of the host as JSON, see docs/OPERATIONS.md. */
int snipe_engine_status (struct snipe_str *out, struct snipe_engine *engine,
                         snipe_time now);
int snipe_engine_explain (struct snipe_str *out, struct snipe_engine *engine,
                          const char *job);

#endif
