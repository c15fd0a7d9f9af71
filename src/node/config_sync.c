#include "node/config_sync.h"

/* All hosts that the store serves get a new configuration within this time,
 * so that they need not ask for it: it may be large. */
#define STORE_DELIVERY_TIME (400 * SNIPE_MS)
#define REQUEST_INTERVAL (300 * SNIPE_MS)

void
snipe_config_sync_applied (struct snipe_config_sync *sync, uint64_t version,
                           snipe_time now)
{
  sync->version = version;
  sync->in_force_at = now;
  /* Of configurations in quick succession, the one that is asked for may be
   * replaced before it arrives: the time of waiting goes on. */
  if (sync->announced_version <= version)
    sync->outdated_since = 0;
}

bool
snipe_config_sync_announced (struct snipe_config_sync *sync,
                             uint64_t incarnation, uint64_t version,
                             snipe_time now)
{
  bool newest = version > sync->announced_version && version > sync->version;
  uint32_t slot = (uint32_t)(incarnation % SNIPE_CONFIG_SYNC_SOURCES);

  if (version <= sync->version)
    return false;
  if (sync->outdated_since == 0)
    sync->outdated_since = now;
  if (newest)
    sync->announced_version = version;
  /* Replaces its own earlier announcement, or the oldest version. Among equal
   * ones the incarnation decides, so that the hosts of a large fleet do not
   * all ask the same ones. */
  for (uint32_t i = 0; i < SNIPE_CONFIG_SYNC_SOURCES; i++)
    {
      if (sync->sources[i].incarnation == incarnation)
        {
          slot = i;
          break;
        }
      if (sync->sources[i].version < sync->sources[slot].version)
        slot = i;
    }
  sync->sources[slot].incarnation = incarnation;
  sync->sources[slot].version = version;
  return newest;
}

uint64_t
snipe_config_sync_source (struct snipe_config_sync *sync, bool store_reachable,
                          snipe_time now)
{
  snipe_time delay = store_reachable ? STORE_DELIVERY_TIME : 0;

  if (sync->outdated_since == 0 || now - sync->outdated_since < delay
      || now < sync->next_request)
    return 0;
  for (uint32_t i = 1; i <= SNIPE_CONFIG_SYNC_SOURCES; i++)
    {
      uint32_t source = (sync->last_source + i) % SNIPE_CONFIG_SYNC_SOURCES;

      if (sync->sources[source].version <= sync->version)
        continue;
      sync->last_source = source;
      sync->next_request = now + REQUEST_INTERVAL;
      return sync->sources[source].incarnation;
    }
  return 0;
}

void
snipe_config_sync_drop_source (struct snipe_config_sync *sync,
                               uint64_t incarnation, snipe_time now)
{
  for (uint32_t i = 0; i < SNIPE_CONFIG_SYNC_SOURCES; i++)
    if (sync->sources[i].incarnation == incarnation)
      {
        sync->sources[i].incarnation = 0;
        sync->sources[i].version = 0;
        sync->next_request = now;
      }
}
