/**
 * @file platform.h
 * Client of the platform: table, objects, list of hosts. A claim thread
 * groups claims of ids; a watch thread polls rules, hosts, entry rows and
 * quota rows, renews the lease, and moves quota shares.
 */
#ifndef SNIPE_PLATFORM_H
#define SNIPE_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"
#include "snipe/sched.h"
#include "snipe/str.h"

struct snipe_platform;

/** An entry host's own row entry/<incarnation>. */
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
  bool listed; /**< the platform's host list shows it as live */
};

/** A team's use at this host, for moving shares. */
struct snipe_team_demand
{
  struct snipe_str team;
  uint32_t limit; /**< slots of its rule */
  uint32_t running;
  uint32_t queued;
};

/** A team's share at this host. */
struct snipe_team_share
{
  struct snipe_str team;
  uint32_t share; /**< slots */
};

/** Callbacks, on the watch thread. Arguments are valid during the call. */
struct snipe_platform_callbacks
{
  void (*rules) (void *ctx, uint64_t version, const struct snipe_str *text);
  void (*endpoints) (void *ctx, const struct snipe_endpoint_info *list,
                     uint32_t count);
  void (*entries) (void *ctx, const struct snipe_entry_info *list,
                   uint32_t count);
  /** Fills @p out (malloc; freed by the platform with its strings) with the
   * teams that have a limit. */
  void (*demands) (void *ctx, struct snipe_team_demand **out, uint32_t *count);
  /** @p valid_until: this host's own monotonic time after which it must not
   * start tasks on these shares. */
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
  snipe_time claim_timeout;  /**< of one claim with its read-backs, default
                                3 s */
  snipe_time lease_duration; /**< of quota shares, default 600 s */
  snipe_time task_duration_max; /**< longest task, default 60 s */
  snipe_time claim_retention;   /**< age at which claim rows are deleted */
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

/** Starts the threads; registers this host in the background. Works while
 * the platform is down. */
int snipe_platform_new (struct snipe_platform **out,
                        const struct snipe_platform_options *options);
/** Stops the threads. */
void snipe_platform_free (struct snipe_platform *platform);

/**
 * End of a claim, on the claim thread, exactly once.
 * @param status 0, or SNIPE_E_PLATFORM when the owner could not be found out
 * @param owner incarnation that owns the id, if 0
 */
typedef void (*snipe_claim_done) (void *ctx, int status, uint64_t owner);
/** Claims id @p id (canonical text) for this host's incarnation. */
int snipe_platform_claim (struct snipe_platform *platform, const char *id,
                          snipe_claim_done done, void *ctx);

/** Blocking object calls for background threads. A put of an object that
 * exists replaces it. @return 0, SNIPE_E_NOT_FOUND, SNIPE_E_PLATFORM. */
int snipe_platform_object_put (struct snipe_platform *platform,
                               const char *name, const struct snipe_str *data);
int snipe_platform_object_get (struct snipe_str *out,
                               struct snipe_platform *platform,
                               const char *name);
/** Lists names; frees with g_strfreev (). */
int snipe_platform_object_list (char ***out, struct snipe_platform *platform,
                                const char *prefix);

/** Tells the watch thread that tasks wait for a share of their quota. It
 * looks at the quotas soon, but at most once a second. Does not block. */
void snipe_platform_quota_request (struct snipe_platform *platform);

/** Marks this host's row as leaving (first call), or gives back its shares
 * and deletes its row and lease (@p gone). Blocking, bounded by two
 * timeouts. */
int snipe_platform_leave (struct snipe_platform *platform, bool gone);

/** Reads, or swaps, a row; for the operator's command. @p value is JSON
 * text. @return 0, SNIPE_E_NOT_FOUND, SNIPE_E_CONFLICT (the row as it is in
 * the outputs), SNIPE_E_PLATFORM (the effect is unknown). */
int snipe_platform_row_get (struct snipe_str *value, uint64_t *version,
                            struct snipe_platform *platform, const char *key);
int snipe_platform_row_swap (uint64_t *version,
                             struct snipe_platform *platform, const char *key,
                             uint64_t if_version,
                             const struct snipe_str *value);

#endif
