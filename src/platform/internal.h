/**
 * @file internal.h
 * State shared by the files of the platform client.
 */
#ifndef SNIPE_PLATFORM_INTERNAL_H
#define SNIPE_PLATFORM_INTERNAL_H

#include <glib.h>
#include <jansson.h>
#include <pthread.h>

#include "platform/platform.h"
#include "snipe/share.h"
#include "util/http.h"

#define SNIPE_INC_TEXT 17 /**< 16 hex digits and NUL */
#define SNIPE_CLAIM_BATCH 500
/** Rows of hosts are read whole each so many polls, which shows deleted ones;
 * between them only what changed. */
#define SNIPE_WHOLE_POLLS 30

/** One HTTP call. */
struct snipe_platform_http_call
{
  const char *method; /**< "GET", "POST", "PUT" */
  const char *path;   /**< with query, starts with "/" */
  const char *body;   /**< NULL: none */
  const char *etag;   /**< of the copy at hand, for If-None-Match, or NULL */
  size_t body_len;
  snipe_time timeout;
};

/** A connection to the platform, used by one thread at a time. */
struct snipe_http
{
  struct snipe_http_client *client;
  const char *url;
  char *host_header;
  struct snipe_http_response reply; /**< to the last call */
};

int snipe_platform_http_init (struct snipe_http *http, const char *url,
                              const char *host);
void snipe_platform_http_clear (struct snipe_http *http);
/**
 * Makes one call and counts it. Any HTTP status under 500 is a success.
 * @return 0, SNIPE_E_UNREACHABLE (surely not sent), or SNIPE_E_TIMEOUT or
 * SNIPE_E_PLATFORM (the effect is unknown).
 */
int snipe_platform_http_call (struct snipe_http *http,
                              const struct snipe_platform_http_call *call);
/** Calls, and parses a reply of status 200 or 409; others but 404 fail with
 * SNIPE_E_PLATFORM. @return 0 with a new reference in @p out (NULL for
 * 404, and for 304 if the call has an ETag). */
int snipe_platform_http_json (json_t **out, struct snipe_http *http,
                              const struct snipe_platform_http_call *call);

/** A transaction under construction. */
struct snipe_txn
{
  json_t *conditions;
  json_t *puts;
  json_t *deletes;
};

int snipe_txn_init (struct snipe_txn *txn);
void snipe_txn_clear (struct snipe_txn *txn);
int snipe_txn_if (struct snipe_txn *txn, const char *key, uint64_t version);
/** Takes over @p value, also on failure. */
int snipe_txn_put (struct snipe_txn *txn, const char *key, json_t *value);
int snipe_txn_delete (struct snipe_txn *txn, const char *key);
/**
 * Sends it.
 * @param version of the rows put, if 0 is returned; may be NULL
 * @param conflicts new reference, if SNIPE_E_CONFLICT is returned; may be NULL
 * @return 0, SNIPE_E_CONFLICT (no effect), SNIPE_E_UNREACHABLE (no effect),
 * other codes: effect unknown.
 */
int snipe_txn_run (uint64_t *version, json_t **conflicts,
                   const struct snipe_txn *txn, struct snipe_http *http,
                   snipe_time timeout);
/** Rows to read. */
struct snipe_range
{
  const char *prefix;
  uint32_t limit; /**< 0: all */
  uint64_t since; /**< only rows with a higher version */
};

/** Reads rows of a prefix.
 * @param version of the whole table at the read; may be NULL
 * @return 0 with the array of rows in @p out (new reference). */
int snipe_range_read (json_t **out, uint64_t *version, struct snipe_http *http,
                      const struct snipe_range *range, snipe_time timeout);
/** Reads the rows of a prefix that changed since the last read.
 * @param since version of that read, 0 to read all; moved on, or set to 0 on
 * failure */
int snipe_range_follow (json_t **out, uint64_t *since, struct snipe_http *http,
                        const char *prefix, snipe_time timeout);

/** A claim that waits. */
struct snipe_claim
{
  char id[37];
  snipe_claim_done done;
  void *ctx;
  snipe_time deadline;
  bool ended;
  int status;
  uint64_t owner;
};

/** What this host last saw of another one's lease row. */
struct snipe_lease_seen
{
  uint64_t version; /**< 0: no row */
  snipe_time since; /**< first read that showed this version */
  snipe_time last;  /**< sending time of the last read that showed it */
};

/** This host's knowledge of one team's quota row. */
struct snipe_quota_team
{
  struct snipe_str team;
  struct snipe_share_row row;
  uint64_t version;    /**< 0: no row */
  bool valid;          /**< the row could be parsed */
  uint32_t confirmed;  /**< own share by the table */
  uint32_t use;        /**< share aimed at; starts stay under it */
  bool pending;        /**< effect of a write is unknown */
  uint64_t pending_if; /**< version that write was conditional on */
  uint32_t pending_held;
};

struct snipe_platform
{
  struct snipe_platform_options options; /**< strings owned below */
  char *url;
  char *host;
  struct snipe_platform_callbacks events;
  char inc[SNIPE_INC_TEXT];
  char *entry_key;
  char *lease_key;

  pthread_mutex_t lock; /**< of the flags and of the claim queue */
  pthread_cond_t claim_wake;
  pthread_cond_t watch_wake;
  bool stop;
  bool leaving;
  bool gone;
  bool quota_wanted;           /**< tasks wait for a share */
  snipe_time quota_asked_next; /**< earliest next round that they ask for */
  GQueue claims;               /**< struct snipe_claim */

  struct snipe_http claim_http; /**< of the claim thread */
  pthread_t claim_thread;
  pthread_t watch_thread;

  /** Connections for blocking calls of other threads. */
  pthread_mutex_t pool_lock;
  GQueue pool; /**< struct snipe_http */

  /** Held during a round of the watch thread, and by leave. Guards all
   * below. */
  pthread_mutex_t round_lock;
  struct snipe_http watch_http;
  uint64_t rules_version;
  json_t *hosts; /**< last list of hosts, NULL before the first */
  char hosts_etag[SNIPE_HTTP_ETAG_BYTES];
  json_t *entries; /**< last entry rows by key, NULL before the first */
  /** Versions of the last reads, 0 if the next must read all. */
  uint64_t entries_since;
  uint64_t leases_since;
  uint64_t quotas_since;
  snipe_time leases_whole; /**< when to read all lease rows again */
  GHashTable *lease_rows; /**< incarnation (uint64_t *) -> version, the same */
  uint32_t live_hosts;
  bool hosts_changed; /**< the entries must be reported again */
  bool quota_short;   /**< tasks waited for a share in the last round */
  bool failing;       /**< the last whole round had a failure */
  uint64_t polls;
  bool registered;
  bool registered_leaving;
  uint64_t lease_n;
  bool lease_ok;          /**< the last renewal took effect */
  snipe_time lease_sent;  /**< sending time of the last that did */
  snipe_time valid_until; /**< 0 before the first renewal */
  snipe_time quota_next;  /**< earliest next round that may write */
  snipe_time sweep_next;
  GHashTable *leases; /**< incarnation (uint64_t *) -> snipe_lease_seen */
  GHashTable *swept;  /**< the same as leases, as the sweeper saw them */
  GHashTable *quotas; /**< team (char *) -> struct snipe_quota_team */
};

void snipe_inc_format (char out[SNIPE_INC_TEXT], uint64_t incarnation);
/** @return 0 or SNIPE_E_INVALID; exactly 16 hex digits. */
int snipe_inc_parse (uint64_t *out, const char *text);
/** Waits on @p cond (with platform->lock held) for at most @p wait. */
void snipe_platform_wait (struct snipe_platform *platform,
                          pthread_cond_t *cond, snipe_time wait);
/** Takes a connection of the pool, or a new one; NULL without memory. */
struct snipe_http *snipe_platform_http_get (struct snipe_platform *platform);
void snipe_platform_http_put (struct snipe_platform *platform,
                              struct snipe_http *http);
/** Maps codes of a call to those of the public functions. */
int snipe_platform_code (int rc);

void *snipe_claim_main (void *platform);
void *snipe_watch_main (void *platform);

/** Renews the lease if due. @return 0 or the failure of the call. */
int snipe_quota_renew (struct snipe_platform *platform, snipe_time now);
/** Reads the quota rows and moves this host's shares. */
int snipe_quota_round (struct snipe_platform *platform);
/** Parses the value of row quota/<team>, replacing the entries.
 * @return 0, SNIPE_E_INVALID or SNIPE_E_NOMEM. */
int snipe_quota_row_parse (struct snipe_share_row *row, const json_t *value);
/** @return a new reference, NULL without memory. */
json_t *snipe_quota_row_format (const struct snipe_share_row *row);
/** Deletes own shares, row and lease in one transaction. */
int snipe_quota_release (struct snipe_platform *platform,
                         struct snipe_http *http, snipe_time deadline);
void snipe_quota_team_free (void *team);
/** Records a read of lease rows that was sent at @p sent and had ended by
 * @p now. */
void snipe_lease_note (GHashTable *leases, uint64_t incarnation,
                       uint64_t version, snipe_time sent, snipe_time now);
/** @return whether a lease has not changed for @p wait. */
bool snipe_lease_lapsed (GHashTable *leases, uint64_t incarnation,
                         snipe_time wait);

/** Parses the key of a row that ends with an incarnation.
 * @return whether it does. */
bool snipe_row_incarnation (uint64_t *out, const json_t *row,
                            const char *prefix);
/** @return whether the watch thread should make no more calls. */
bool snipe_platform_stopping (struct snipe_platform *platform);

/** Deletes the entry and lease rows of hosts whose lease has not changed for
 * @p wait. */
int snipe_sweep_hosts (struct snipe_platform *platform, snipe_time wait);
/** Deletes old claims and rows of dead hosts, at most each 30 s. */
int snipe_sweep (struct snipe_platform *platform, snipe_time now,
                 int64_t wall_ms);

/** Puts this host's entry row. */
int snipe_watch_register (struct snipe_platform *platform,
                          struct snipe_http *http, bool leaving,
                          snipe_time timeout);
#endif
