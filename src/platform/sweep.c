#include <string.h>

#include "platform/internal.h"
#include "snipe/status.h"

#define SWEEP_INTERVAL (30 * SNIPE_S)
/* Rows per read. Seven hosts that each delete this many every 30 s keep up
 * with 1,000 claims per second. */
#define SWEEP_ROWS_MAX 5000

/* @return the time in the first 48 bits of a UUID version 7, in milliseconds
 * since 1970, or -1. Implemented here so that the sweeper does not depend on
 * the parser of job ids. */
static int64_t
uuid_time_ms (const char *id)
{
  int64_t ms = 0;

  if (strlen (id) != 36 || id[8] != '-' || id[14] != '7')
    return -1;
  for (int i = 0; i < 13; i++)
    {
      if (i == 8)
        continue;
      if (!g_ascii_isxdigit (id[i]))
        return -1;
      ms = ms * 16 + g_ascii_xdigit_value (id[i]);
    }
  return ms;
}

/* Records the versions of all lease rows. An entry row without a lease row
 * counts as a lease of version 0. */
static int
observe_leases (struct snipe_platform *p)
{
  GHashTable *found
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  snipe_time sent = snipe_clock_now ();
  snipe_time now;
  json_t *rows;
  json_t *row;
  size_t i;
  int rc = snipe_range_read (&rows, NULL, &p->watch_http,
                             &(struct snipe_range){ .prefix = "lease/" },
                             p->options.timeout);

  now = snipe_clock_now ();
  json_array_foreach (rows, i, row)
  {
    json_int_t version = json_integer_value (json_object_get (row, "version"));
    uint64_t incarnation;

    if (!snipe_row_parse_incarnation (&incarnation, row, "lease/"))
      continue;
    snipe_lease_observe (p->sweep_leases, incarnation, (uint64_t)version, sent,
                         now);
    g_hash_table_add (found, g_memdup2 (&incarnation, sizeof incarnation));
  }
  json_array_foreach (p->entries, i, row)
  {
    uint64_t incarnation;

    if (rc == SNIPE_OK
        && snipe_row_parse_incarnation (&incarnation, row, "entry/")
        && !g_hash_table_contains (found, &incarnation))
      snipe_lease_observe (p->sweep_leases, incarnation, 0, sent, now);
  }
  json_decref (rows);
  g_hash_table_unref (found);
  return rc;
}

static int
delete_host_rows (struct snipe_platform *p, uint64_t incarnation,
                  uint64_t version)
{
  struct snipe_txn txn;
  char inc[SNIPE_INCARNATION_TEXT_BYTES];
  char entry[32];
  char lease[32];
  int rc = snipe_txn_init (&txn);

  snipe_incarnation_format (inc, incarnation);
  g_snprintf (entry, sizeof entry, "entry/%s", inc);
  g_snprintf (lease, sizeof lease, "lease/%s", inc);
  if (rc == SNIPE_OK)
    rc = snipe_txn_if (&txn, lease, version);
  if (rc == SNIPE_OK)
    rc = snipe_txn_delete (&txn, entry);
  if (rc == SNIPE_OK)
    rc = snipe_txn_delete (&txn, lease);
  if (rc == SNIPE_OK)
    rc = snipe_txn_run (NULL, NULL, &txn, &p->watch_http, p->options.timeout);
  snipe_txn_clear (&txn);
  /* A conflict means that the host has renewed its lease. */
  return rc == SNIPE_E_CONFLICT ? SNIPE_OK : rc;
}

int
snipe_sweep_hosts (struct snipe_platform *platform, snipe_time wait)
{
  GHashTableIter iter;
  gpointer key;
  gpointer item;
  int rc = observe_leases (platform);

  g_hash_table_iter_init (&iter, platform->sweep_leases);
  while (rc == SNIPE_OK && g_hash_table_iter_next (&iter, &key, &item))
    {
      uint64_t incarnation = *(const uint64_t *)key;
      const struct snipe_lease_observation *seen = item;

      if (incarnation == platform->options.self.incarnation
          || !snipe_lease_expired (platform->sweep_leases, incarnation, wait))
        continue;
      rc = delete_host_rows (platform, incarnation, seen->version);
      if (rc == SNIPE_OK)
        g_hash_table_iter_remove (&iter);
    }
  return rc;
}

static int
sweep_claims (struct snipe_platform *platform, int64_t wall_ms)
{
  int64_t oldest = wall_ms - platform->options.claim_retention / SNIPE_MS;
  struct snipe_txn txn;
  json_t *rows = NULL;
  json_t *row;
  size_t i;
  int rc;

  if (platform->options.claim_retention <= 0)
    return SNIPE_OK;
  rc = snipe_txn_init (&txn);
  if (rc == SNIPE_OK)
    rc = snipe_range_read (
        &rows, NULL, &platform->watch_http,
        &(struct snipe_range){ .prefix = "claim/", .limit = SWEEP_ROWS_MAX },
        platform->options.timeout);
  json_array_foreach (rows, i, row)
  {
    const char *key = json_string_value (json_object_get (row, "key"));
    int64_t created;

    if (rc != SNIPE_OK || key == NULL || !g_str_has_prefix (key, "claim/"))
      continue;
    created = uuid_time_ms (key + strlen ("claim/"));
    if (created >= 0 && created < oldest)
      rc = snipe_txn_delete (&txn, key);
  }
  if (rc == SNIPE_OK && json_array_size (txn.deletes) > 0)
    rc = snipe_txn_run (NULL, NULL, &txn, &platform->watch_http,
                        platform->options.timeout);
  json_decref (rows);
  snipe_txn_clear (&txn);
  return rc;
}

int
snipe_sweep (struct snipe_platform *platform, snipe_time now, int64_t wall_ms)
{
  const struct snipe_platform_options *options = &platform->options;
  int rc;

  if (now < platform->sweep_next_at)
    return SNIPE_OK;
  platform->sweep_next_at = now + SWEEP_INTERVAL;
  rc = sweep_claims (platform, wall_ms);
  /* Twice the time after which a share is reclaimed: if the lease row were
   * deleted earlier, other hosts would have to start that wait again. */
  if (rc == SNIPE_OK)
    rc = snipe_sweep_hosts (
        platform, 2 * (options->lease_duration + options->task_duration_max));
  return rc;
}
