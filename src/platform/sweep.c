#include <string.h>

#include "platform/internal.h"
#include "snipe/status.h"

#define SWEEP_INTERVAL (30 * SNIPE_S)
/* Rows of one read. Seven hosts that each delete this many every 30 s keep up
 * with 1,000 claims a second. */
#define SWEEP_ROWS 5000

/* Milliseconds since 1970 from the first 48 bits of a UUID version 7, or -1.
 * Written out here so that the sweeper needs no parser of job ids. */
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

int
snipe_sweep (struct snipe_platform *platform, snipe_time now, int64_t wall_ms)
{
  int64_t oldest = wall_ms - platform->options.claim_keep / SNIPE_MS;
  struct snipe_txn txn;
  json_t *rows = NULL;
  json_t *row;
  size_t i;
  int rc;

  if (now < platform->sweep_next || platform->options.claim_keep <= 0)
    return SNIPE_OK;
  platform->sweep_next = now + SWEEP_INTERVAL;
  rc = snipe_txn_init (&txn);
  if (rc == SNIPE_OK)
    rc = snipe_range_read (&rows, &platform->watch_http, "claim/", SWEEP_ROWS,
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
