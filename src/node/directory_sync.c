#include "node/directory_sync.h"

/* The owner of a pool has to notice within two seconds that an endpoint is
 * draining. */
#define READ_INTERVAL (1000 * SNIPE_MS)
/* A crashed endpoint is back after some seconds; its room should not be unused
 * for another one. Only domain leaders read that often: the changes of a read
 * grow with the fleet, and the others get what matters from their leader. */
#define READ_INTERVAL_AWAITING (100 * SNIPE_MS)
/* A host that gets relayed changes reads the store itself when the next ones
 * are overdue. With the maximum age of the last ones, this stays within the
 * two seconds. */
#define RELAY_TIMEOUT (1300 * SNIPE_MS)
/* A host that owns no pool reads the directory again when it claims one, and
 * until then only needs to know which endpoints exist. */
#define READ_INTERVAL_WITHOUT_POOL (8000 * SNIPE_MS)

enum snipe_directory_source
snipe_directory_sync_source (const struct snipe_directory_sync *sync,
                             snipe_time now)
{
  if (sync->is_domain_leader)
    return SNIPE_DIRECTORY_SOURCE_STORE_AS_LEADER;
  return sync->complete && sync->last_relay > 0
                 && now - sync->last_relay < RELAY_TIMEOUT
             ? SNIPE_DIRECTORY_SOURCE_PEER
             : SNIPE_DIRECTORY_SOURCE_STORE;
}

snipe_time
snipe_directory_sync_due (const struct snipe_directory_sync *sync,
                          snipe_time requested_at)
{
  snipe_time due = requested_at + READ_INTERVAL;

  if (sync->complete && sync->is_domain_leader && sync->awaits_endpoint)
    return requested_at + READ_INTERVAL_AWAITING;
  if (!sync->complete || sync->is_domain_leader)
    return due;
  if (!sync->owns_pool)
    due = requested_at + READ_INTERVAL_WITHOUT_POOL;
  if (sync->last_relay > 0 && sync->last_relay + RELAY_TIMEOUT > due)
    due = sync->last_relay + RELAY_TIMEOUT;
  return due;
}

bool
snipe_directory_sync_is_fresh (snipe_time requested_at, snipe_time delay,
                               snipe_time now)
{
  return now - requested_at <= SNIPE_DIRECTORY_RELAY_AGE_MAX
         && delay <= SNIPE_DIRECTORY_RELAY_AGE_MAX;
}
