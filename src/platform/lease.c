#include "platform/internal.h"

void
snipe_lease_observe (GHashTable *leases, uint64_t incarnation,
                     uint64_t version, snipe_time sent, snipe_time now)
{
  struct snipe_lease_observation *seen
      = g_hash_table_lookup (leases, &incarnation);

  if (seen == NULL)
    {
      uint64_t *key = g_new (uint64_t, 1);

      *key = incarnation;
      seen = g_new0 (struct snipe_lease_observation, 1);
      seen->version = version;
      seen->unchanged_since = now;
      seen->last_read_sent_at = sent;
      g_hash_table_insert (leases, key, seen);
      return;
    }
  if (seen->version != version)
    {
      seen->version = version;
      seen->unchanged_since = now;
    }
  seen->last_read_sent_at = sent;
}

bool
snipe_lease_expired (GHashTable *leases, uint64_t incarnation, snipe_time wait)
{
  const struct snipe_lease_observation *seen
      = g_hash_table_lookup (leases, &incarnation);

  return seen != NULL
         && seen->last_read_sent_at - seen->unchanged_since >= wait;
}
