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

#define SNIPE_INCARNATION_TEXT_BYTES 17 /**< 16 hex digits and NUL */
#define SNIPE_CLAIM_BATCH_MAX 500
/** Every so many polls all entry and lease rows are read, which reveals
 * deleted rows; the polls in between read only rows that changed. */
#define SNIPE_FULL_READ_POLLS 30

struct snipe_platform_http_call
{
  const char *method; /**< "GET", "POST", "PUT" */
  const char *path;   /**< with query, starts with "/" */
  const char *body;   /**< NULL: none */
  const char *etag;   /**< sent as If-None-Match; NULL: none */
  size_t body_len;
  snipe_time timeout;
};

/** A connection to the platform, used by one thread at a time. */
struct snipe_platform_http
{
  struct snipe_http_client *client;
  const char *url;
  char *host_header;
  struct snipe_http_response reply; /**< of the last call */
};

int snipe_platform_http_init (struct snipe_platform_http *http,
                              const char *url, const char *host);
void snipe_platform_http_clear (struct snipe_platform_http *http);
/**
 * Makes one call and updates the counters. Any HTTP status from 200 to 499 is
 * a success.
 * @return 0, SNIPE_E_UNREACHABLE (the request was not sent), or
 * SNIPE_E_TIMEOUT or SNIPE_E_PLATFORM (its effect is unknown).
 */
int snipe_platform_http_call (struct snipe_platform_http *http,
                              const struct snipe_platform_http_call *call);
/** Makes one call and parses a reply with status 200 or 409. @p out is NULL
 * for status 404, and for 304 if the call has an ETag; any other status is
 * SNIPE_E_PLATFORM. @return 0 with a new reference in @p out. */
int snipe_platform_http_json (json_t **out, struct snipe_platform_http *http,
                              const struct snipe_platform_http_call *call);

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
 * Sends the transaction.
 * @param version set to the version of the rows put if 0 is returned; may be
 * NULL
 * @param conflicts set to a new reference to the conflicting rows if
 * SNIPE_E_CONFLICT is returned; may be NULL
 * @return 0; SNIPE_E_CONFLICT or SNIPE_E_UNREACHABLE if it had no effect; any
 * other code if its effect is unknown.
 */
int snipe_txn_run (uint64_t *version, json_t **conflicts,
                   const struct snipe_txn *txn,
                   struct snipe_platform_http *http, snipe_time timeout);
struct snipe_range
{
  const char *prefix;
  uint32_t limit; /**< 0: all */
  uint64_t since; /**< only rows with a higher version */
};

/** Reads the rows of a prefix.
 * @param version set to the version of the table at the read; may be NULL
 * @return 0 with a new reference to the array of rows in @p out. */
int snipe_range_read (json_t **out, uint64_t *version,
                      struct snipe_platform_http *http,
                      const struct snipe_range *range, snipe_time timeout);
/** Reads the rows of a prefix that changed since the last read.
 * @param since table version of the last read, or 0 to read all rows; set to
 * the version of this read, or to 0 on failure */
int snipe_range_read_changes (json_t **out, uint64_t *since,
                              struct snipe_platform_http *http,
                              const char *prefix, snipe_time timeout);

/** A queued claim of an id. */
struct snipe_claim
{
  char id[37];
  snipe_claim_done done;
  void *ctx;
  snipe_time deadline;
  bool finished;
  int status;
  uint64_t owner;
};

/** What this host's reads showed of another host's lease row. */
struct snipe_lease_observation
{
  uint64_t version;           /**< 0: no row */
  snipe_time unchanged_since; /**< end of the first read of this version */
  /** When the last read that showed this version was sent. */
  snipe_time last_read_sent_at;
};

/** One team's quota row as last read, and this host's share of it. */
struct snipe_quota_team
{
  struct snipe_str team;
  struct snipe_share_row row;
  uint64_t version;            /**< 0: no row */
  bool row_valid;              /**< the row could be parsed */
  uint32_t confirmed_share;    /**< this host's share in the table */
  uint32_t target_share;       /**< also limits starts */
  bool write_pending;          /**< the effect of a write is unknown */
  uint64_t pending_if_version; /**< condition of that write */
  uint32_t pending_held;       /**< lowest share in such writes */
};

struct snipe_platform
{
  struct snipe_platform_options options; /**< strings owned by this struct */
  char *url;
  char *host;
  struct snipe_platform_callbacks callbacks;
  char incarnation_text[SNIPE_INCARNATION_TEXT_BYTES];
  char *entry_key;
  char *lease_key;

  pthread_mutex_t lock; /**< guards the flags and claims */
  pthread_cond_t claim_cond;
  pthread_cond_t watch_cond;
  bool stop;
  bool leaving;
  bool deregistered;
  bool quota_requested; /**< tasks wait for a share */
  /** Earliest start of the next requested quota round. */
  snipe_time quota_request_next_at;
  GQueue claims; /**< struct snipe_claim */

  struct snipe_platform_http claim_http; /**< used by the claim thread */
  pthread_t claim_thread;
  pthread_t watch_thread;

  /** Idle connections for blocking calls of other threads. */
  pthread_mutex_t idle_http_lock;
  GQueue idle_http; /**< struct snipe_platform_http */

  /** Held during a round of the watch thread and while
   * snipe_platform_leave () deregisters. Guards all fields below. */
  pthread_mutex_t round_lock;
  struct snipe_platform_http watch_http;
  uint64_t rules_version;
  json_t *hosts; /**< last list read, NULL before the first */
  char hosts_etag[SNIPE_HTTP_ETAG_BYTES];
  json_t *entries; /**< entry rows by key, NULL before the first read */
  /** Table version of the last read; 0: the next one reads all rows. */
  uint64_t entries_version;
  uint64_t leases_version;
  uint64_t quotas_version;
  snipe_time leases_full_read_at; /**< time of the next full read */
  GHashTable *lease_versions;     /**< uint64_t * incarnation -> version */
  uint32_t live_host_count;
  bool hosts_changed;     /**< entries are to be reported again */
  bool tasks_await_quota; /**< in the last quota round */
  bool last_round_failed; /**< at least one step failed */
  uint64_t poll_count;
  bool registered;
  bool registered_leaving;
  uint64_t renewal_count;
  bool lease_renewed;             /**< the last renewal succeeded */
  snipe_time lease_sent_at;       /**< when the last success was sent */
  snipe_time valid_until;         /**< 0 before the first renewal */
  snipe_time quota_round_next_at; /**< earliest next quota round */
  snipe_time sweep_next_at;
  /** uint64_t * incarnation -> struct snipe_lease_observation, by the reads of
   * quota rounds and by those of the sweeper. */
  GHashTable *quota_leases;
  GHashTable *sweep_leases;
  GHashTable *quotas; /**< char * team -> struct snipe_quota_team */
};

void snipe_incarnation_format (char out[SNIPE_INCARNATION_TEXT_BYTES],
                               uint64_t incarnation);
/** Parses exactly 16 hex digits. @return 0 or SNIPE_E_INVALID. */
int snipe_incarnation_parse (uint64_t *out, const char *text);
/** Waits on @p cond (with platform->lock held) for at most @p wait. */
void snipe_platform_wait (struct snipe_platform *platform,
                          pthread_cond_t *cond, snipe_time wait);
/** @return an idle or new connection, NULL if out of memory. */
struct snipe_platform_http *
snipe_platform_http_acquire (struct snipe_platform *platform);
void snipe_platform_http_release (struct snipe_platform *platform,
                                  struct snipe_platform_http *http);
/** Maps a status of snipe_platform_http_call () to one of the public
 * functions. */
int snipe_platform_status_map (int rc);

void *snipe_claim_main (void *platform);
void *snipe_watch_main (void *platform);

/** Renews this host's lease if it is due. @return 0 or the failure of the
 * call. */
int snipe_lease_renew (struct snipe_platform *platform, snipe_time now);
/** Reads the quota rows and takes or gives back shares of this host. */
int snipe_quota_round (struct snipe_platform *platform);
/** Parses the value of row quota/<team> and replaces the entries of @p row.
 * @return 0, SNIPE_E_INVALID or SNIPE_E_NOMEM. */
int snipe_quota_row_parse (struct snipe_share_row *row, const json_t *value);
/** @return a new reference, NULL if out of memory. */
json_t *snipe_quota_row_format (const struct snipe_share_row *row);
/** Releases this host's quota shares and deletes its entry and lease rows, in
 * one transaction. */
int snipe_quota_release (struct snipe_platform *platform,
                         struct snipe_platform_http *http,
                         snipe_time deadline);
void snipe_quota_team_free (void *team);
/** Records the version of a lease row in a read that was sent at @p sent and
 * ended by @p now. */
void snipe_lease_observe (GHashTable *leases, uint64_t incarnation,
                          uint64_t version, snipe_time sent, snipe_time now);
/** @return whether reads showed the same version of a lease for at least
 * @p wait. */
bool snipe_lease_expired (GHashTable *leases, uint64_t incarnation,
                          snipe_time wait);

/** Parses the incarnation in a row's key.
 * @return whether the key is @p prefix and an incarnation. */
bool snipe_row_parse_incarnation (uint64_t *out, const json_t *row,
                                  const char *prefix);
/** @return whether the watch thread should make no more calls. */
bool snipe_platform_stopping (struct snipe_platform *platform);

/** Deletes the entry and lease rows of hosts whose lease has not changed for
 * @p wait. */
int snipe_sweep_hosts (struct snipe_platform *platform, snipe_time wait);
/** Deletes expired claim rows and rows of dead hosts, at most every 30 s. */
int snipe_sweep (struct snipe_platform *platform, snipe_time now,
                 int64_t wall_ms);

/** Writes this host's entry row. */
int snipe_watch_register (struct snipe_platform *platform,
                          struct snipe_platform_http *http, bool leaving,
                          snipe_time timeout);
#endif
