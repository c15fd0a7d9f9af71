/**
 * @file directory.h
 * Decisions based on the directory, the list of endpoints read from the store.
 * Pure.
 */
#ifndef SNIPE_NODE_DIRECTORY_H
#define SNIPE_NODE_DIRECTORY_H

#include <glib.h>
#include "snipe/coordinator.h"

/** How complete and recent the directory is. */
struct snipe_directory_freshness
{
  /** When the first complete read was requested since the store or this host
   * was last unavailable, 0: none yet. */
  snipe_time complete_since;
  snipe_time requested_at; /**< when the last complete read was requested */
};

/** @param unlisted_at when the endpoint's entry disappeared from the store
 * @param store_reachable_since 0: the store is unreachable
 * @return whether the endpoint has to be removed. */
bool snipe_directory_is_gone (snipe_time unlisted_at,
                              snipe_time store_reachable_since,
                              snipe_time now);
/** @param endpoints id -> struct snipe_endpoint_entry
 * @return whether one of the endpoints could run a task of the job at all. */
enum snipe_job_feasibility snipe_directory_feasibility (
    GHashTable *endpoints, const struct snipe_directory_freshness *freshness,
    const struct snipe_coordinator_job *job, snipe_time now);

#endif
