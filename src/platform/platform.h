/**
 * @file platform.h
 * Client of the platform: its table, its objects and its list of hosts. A
 * claim thread sends claims of ids in batches. A watch thread polls the rules,
 * the list of hosts, the entry rows and the quota rows, renews this host's
 * lease and adjusts its quota shares.
 */
#ifndef SNIPE_PLATFORM_H
#define SNIPE_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"
#include "snipe/sched.h"
#include "snipe/str.h"

struct snipe_platform;

/** An entry host as described by its row entry/<incarnation>. */
struct snipe_entry_info
{
  uint64_t incarnation;
  struct snipe_str name;
  struct snipe_str rpc;  /**< "ip:port" for peers */
  struct snipe_str http; /**< "ip:port" for callers and operators */
  struct snipe_str domain;
  struct snipe_str region;
  double capacity_weight;
  bool leaving;
  bool listed; /**< live in the platform's list of hosts */
};

/** A team's demand for slots at this host. */
struct snipe_team_demand
{
  struct snipe_str team;
  uint32_t limit; /**< slots, set by its rule */
  uint32_t running;
  uint32_t queued;
};

/** A team's share of its quota at this host. */
struct snipe_team_share
{
  struct snipe_str team;
  uint32_t share; /**< slots */
};

/** Called on the watch thread. Arguments are valid during the call only. */
struct snipe_platform_callbacks
{
  void (*rules) (void *ctx, uint64_t version, const struct snipe_str *text);
  void (*endpoints) (void *ctx, const struct snipe_endpoint_info *list,
                     uint32_t count);
  void (*entries) (void *ctx, const struct snipe_entry_info *list,
                   uint32_t count);
  /** Sets @p out to an array of the teams that have a limit, allocated with
   * malloc (). The platform client frees it and its strings. */
  void (*demands) (void *ctx, struct snipe_team_demand **out, uint32_t *count);
  /** @param valid_until monotonic time of this host after which it must not
   * start tasks on these shares */
  void (*shares) (void *ctx, const struct snipe_team_share *list,
                  uint32_t count, snipe_time valid_until);
};

struct snipe_platform_options
{
  unsigned int version;
  const char *url;           /**< "http://ip:port" */
  const char *host;          /**< this host's name, sent as X-Snipe-Host */
  snipe_time timeout;        /**< of one call, default 1 s */
  snipe_time poll_interval;  /**< of rules and lists, default 1 s */
  snipe_time claim_interval; /**< between claim transactions, default 10 ms */
  snipe_time claim_timeout;  /**< of one claim with its retries, default 3 s */
  snipe_time lease_duration; /**< of quota shares, default 600 s */
  snipe_time task_duration_max; /**< default 60 s */
  snipe_time claim_retention;   /**< claim rows older than this are deleted */
  struct snipe_entry_info self;
  const struct snipe_platform_callbacks *callbacks;
  void *ctx;
};
#define SNIPE_PLATFORM_OPTIONS_VERSION 1
#define SNIPE_PLATFORM_OPTIONS_INIT                                           \
  {                                                                           \
    .version = SNIPE_PLATFORM_OPTIONS_VERSION, .timeout = SNIPE_S,            \
    .poll_interval = SNIPE_S, .claim_interval = 10 * SNIPE_MS,                \
    .claim_timeout = 3 * SNIPE_S, .lease_duration = 600 * SNIPE_S,            \
    .task_duration_max = 60 * SNIPE_S, .claim_retention = 1200 * SNIPE_S      \
  }

/** Starts the threads, which register this host in the background. Succeeds
 * even if the platform is unreachable. */
int snipe_platform_new (struct snipe_platform **out,
                        const struct snipe_platform_options *options);
void snipe_platform_free (struct snipe_platform *platform);

/**
 * Reports the result of a claim, exactly once, on the claim thread.
 * @param status 0, or SNIPE_E_PLATFORM if the owner could not be determined
 * @param owner incarnation that owns the id, if @p status is 0
 */
typedef void (*snipe_claim_done) (void *ctx, int status, uint64_t owner);
/** Claims @p id, a UUID in canonical text form, for this host's incarnation.
 */
int snipe_platform_claim (struct snipe_platform *platform, const char *id,
                          snipe_claim_done done, void *ctx);

/** Blocking object calls, for background threads. A put replaces an existing
 * object. @return 0, SNIPE_E_NOT_FOUND, SNIPE_E_PLATFORM. */
int snipe_platform_object_put (struct snipe_platform *platform,
                               const char *name, const struct snipe_str *data);
int snipe_platform_object_get (struct snipe_str *out,
                               struct snipe_platform *platform,
                               const char *name);
/** Lists the names of objects. Free @p out with g_strfreev (). */
int snipe_platform_object_list (char ***out, struct snipe_platform *platform,
                                const char *prefix);

/** Requests an extra quota round because tasks wait for a share. The watch
 * thread runs requested rounds at most once a second. Does not block. */
void snipe_platform_quota_request (struct snipe_platform *platform);

/** Marks this host's entry row as leaving or, if @p deregister, releases its
 * quota shares and deletes its entry and lease rows. Blocks for at most two
 * timeouts. */
int snipe_platform_leave (struct snipe_platform *platform, bool deregister);

/** Reads a row, or replaces it if its version is @p if_version. @p value is
 * JSON text. @return 0, SNIPE_E_NOT_FOUND, SNIPE_E_CONFLICT with the present
 * version in @p version, SNIPE_E_PLATFORM (the effect is unknown). */
int snipe_platform_row_get (struct snipe_str *value, uint64_t *version,
                            struct snipe_platform *platform, const char *key);
int snipe_platform_row_swap (uint64_t *version,
                             struct snipe_platform *platform, const char *key,
                             uint64_t if_version,
                             const struct snipe_str *value);

#endif
