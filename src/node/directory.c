#include "node/directory.h"

#include <string.h>

/* Endpoints whose entries expired while the store was unavailable are listed
 * again within two seconds of its return. */
#define STORE_SETTLE_DELAY (3 * SNIPE_S)
#define RELIST_TIME (2500 * SNIPE_MS)
/* Hosts that own no pool read the directory rarely. Before a job is failed as
 * infeasible the directory is read again, at most five times a second. */
#define READ_AGE_MAX (200 * SNIPE_MS)

bool
snipe_directory_is_gone (snipe_time unlisted_at,
                         snipe_time store_reachable_since, snipe_time now)
{
  return store_reachable_since > 0
         && now >= MAX (unlisted_at, store_reachable_since + RELIST_TIME);
}

static bool
fits (const struct snipe_capacity *size, const struct snipe_capacity *present,
      const struct snipe_capacity *largest)
{
  return size->cpu <= MAX (present->cpu, largest->cpu)
         && size->mem_mb <= MAX (present->mem_mb, largest->mem_mb)
         && size->gpu <= MAX (present->gpu, largest->gpu);
}

enum snipe_job_feasibility
snipe_directory_feasibility (GHashTable *endpoints,
                             const struct snipe_directory_freshness *freshness,
                             const struct snipe_coordinator_job *job,
                             snipe_time now)
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
      /* A capacity that has shrunk may grow again. */
      if (fits (&job->task_resources, &entry->capacity, &entry->largest)
          && (*job->label == '\0' || strcmp (job->label, entry->kind) == 0
              || strcmp (job->label, entry->rack) == 0))
        return SNIPE_FEASIBILITY_POSSIBLE;
    }
  if (!listed || freshness->complete_since == 0
      || now - freshness->complete_since < STORE_SETTLE_DELAY)
    return SNIPE_FEASIBILITY_POSSIBLE;
  /* Only a read requested after the settle delay is sure to contain every
   * endpoint. */
  return freshness->requested_at - freshness->complete_since
                     >= STORE_SETTLE_DELAY
                 && now - freshness->requested_at <= READ_AGE_MAX
             ? SNIPE_FEASIBILITY_NONE
             : SNIPE_FEASIBILITY_STALE;
}
