#include "platform/internal.h"
#include "snipe/status.h"

#define RELEASE_RETRY_INTERVAL (20 * SNIPE_MS)

/* Adds writes that remove this host's entries from all quota rows. */
static int
remove_shares (struct snipe_platform *p, struct snipe_txn *txn, json_t *rows)
{
  int rc = SNIPE_OK;
  size_t i;
  json_t *row;

  json_array_foreach (rows, i, row)
  {
    const char *key = json_string_value (json_object_get (row, "key"));
    json_int_t version = json_integer_value (json_object_get (row, "version"));
    json_t *value = json_object_get (row, "value");
    /* Quota rows are never deleted: a delayed write of another host that is
     * conditional on version 0 would then take effect. */
    int held = json_object_del (json_object_get (value, "held"),
                                p->incarnation_text);
    int want = json_object_del (json_object_get (value, "want"),
                                p->incarnation_text);

    if (rc != SNIPE_OK || key == NULL || (held != 0 && want != 0))
      continue;
    rc = snipe_txn_if (txn, key, (uint64_t)version);
    if (rc == SNIPE_OK)
      rc = snipe_txn_put (txn, key, json_incref (value));
  }
  return rc;
}

static int
try_release (struct snipe_platform *p, struct snipe_platform_http *http,
             snipe_time deadline)
{
  struct snipe_txn txn;
  json_t *rows = NULL;
  int rc = snipe_txn_init (&txn);

  if (rc == SNIPE_OK)
    rc = snipe_range_read (
        &rows, NULL, http, &(struct snipe_range){ .prefix = "quota/" },
        MIN (p->options.timeout, deadline - snipe_clock_now ()));
  if (rc == SNIPE_OK)
    rc = remove_shares (p, &txn, rows);
  if (rc == SNIPE_OK)
    rc = snipe_txn_delete (&txn, p->entry_key);
  if (rc == SNIPE_OK)
    rc = snipe_txn_delete (&txn, p->lease_key);
  if (rc == SNIPE_OK)
    rc = snipe_txn_run (
        NULL, NULL, &txn, http,
        MIN (p->options.timeout, deadline - snipe_clock_now ()));
  json_decref (rows);
  snipe_txn_clear (&txn);
  return rc;
}

int
snipe_quota_release (struct snipe_platform *platform,
                     struct snipe_platform_http *http, snipe_time deadline)
{
  int rc;

  /* After a conflict or a lost reply the rows are read again; shares that
   * were released already no longer appear in them. */
  for (;;)
    {
      rc = try_release (platform, http, deadline);
      if (rc == SNIPE_OK || rc == SNIPE_E_UNREACHABLE || rc == SNIPE_E_NOMEM
          || snipe_clock_now () >= deadline)
        return rc;
      g_usleep (RELEASE_RETRY_INTERVAL);
    }
}
