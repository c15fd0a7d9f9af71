/**
 * @file directory.h
 * What the list of endpoints in the store says of a job. Pure.
 */
#ifndef SNIPE_NODE_DIRECTORY_H
#define SNIPE_NODE_DIRECTORY_H

#include <glib.h>
#include "snipe/coordinator.h"

/** How far the list can be trusted. */
struct snipe_directory_freshness
{
  /** When the first of the whole reads was asked for since the store or this
   * host was away, 0: none yet. */
  snipe_time complete_since;
  snipe_time requested_at; /**< when the last whole read was asked for */
};

/** @param unlisted when an endpoint was missing from the list
 * @param store_since the store answers, 0: it does not
 * @return whether the endpoint has gone. */
bool snipe_directory_is_gone (snipe_time unlisted, snipe_time store_since,
                              snipe_time now);
/** @param endpoints id -> struct snipe_endpoint_entry
 * @return whether one of the endpoints could ever run a task of the job. */
enum snipe_job_feasibility
snipe_directory_fit (GHashTable *endpoints,
                     const struct snipe_directory_freshness *age,
                     const struct snipe_coordinator_job *job, snipe_time now);

#endif
