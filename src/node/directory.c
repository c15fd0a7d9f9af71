#include "node/directory.h"

#include <string.h>

/* Endpoints whose entries lapsed with the store are listed again within two
 * seconds of its return. */
#define SETTLE (3 * SNIPE_S)
#define RETURN_TIME (2500 * SNIPE_MS)
/* Hosts that own no pool read the list rarely. Before a job is failed for good
 * the list is read again, at most five times a second. */
#define FRESH (200 * SNIPE_MS)

bool
snipe_directory_is_gone (snipe_time unlisted, snipe_time store_since,
                         snipe_time now)
{
  return store_since > 0 && now >= MAX (unlisted, store_since + RETURN_TIME);
}

enum snipe_job_feasibility
snipe_directory_fit (GHashTable *endpoints,
                     const struct snipe_directory_freshness *age,
                     const struct snipe_coordinator_job *job, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;
  bool listed = false;

  g_hash_table_iter_init (&iter, endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_endpoint_entry *entry = value;

      if (strcmp (entry->service, job->service) != 0)
        continue;
      listed = true;
      if (job->task_resources.cpu <= entry->capacity.cpu
          && job->task_resources.mem_mb <= entry->capacity.mem_mb
          && job->task_resources.gpu <= entry->capacity.gpu
          && (*job->label == '\0' || strcmp (job->label, entry->kind) == 0
              || strcmp (job->label, entry->rack) == 0))
        return SNIPE_FEASIBILITY_POSSIBLE;
    }
  if (!listed || age->complete_since == 0
      || now - age->complete_since < SETTLE)
    return SNIPE_FEASIBILITY_POSSIBLE;
  /* Only a read that was asked for after the time to settle has seen all. */
  return age->requested_at - age->complete_since >= SETTLE
                 && now - age->requested_at <= FRESH
             ? SNIPE_FEASIBILITY_NONE
             : SNIPE_FEASIBILITY_STALE;
}
