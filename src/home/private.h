/**
 * @file private.h
 * Types shared by the files of the job keeper.
 */
#ifndef SNIPE_HOME_PRIVATE_H
#define SNIPE_HOME_PRIVATE_H

#include <glib.h>
#include "snipe/home.h"

/** What is known of a pool. */
struct pool_view
{
  struct snipe_pool_id id;
  uint64_t owner; /**< 0: none is known */
  uint64_t token;
  GArray *free_cpu; /**< uint32_t, less what was sent since the report */
  int64_t total_cpu;
  int64_t backlog;
  double slowness;
  uint64_t endpoints; /**< digest of the ids that its owner told last */
  snipe_time lost;    /**< when its owner was lost, 0: it was not */
  snipe_time retry;   /**< nothing can be sent to its owner before */
};

/* view.c: @p pools has struct pool_view */
void snipe_view_free (gpointer view);
/** @return the view of a pool, a new one if it was not known; NULL if its
 * endpoints were divided into more pools since. */
struct pool_view *snipe_views_find (GPtrArray *pools,
                                    const struct snipe_pool_id *id);
/** @return whether the owner of a pool of the service (NULL: any) is known,
 * and can be reached as far as is known. */
bool snipe_views_serve (const GPtrArray *pools, const char *service,
                        snipe_time now);
/** Pools with fewer shards than @p id in its group lose their owner. */
void snipe_views_divided (GPtrArray *pools, const struct snipe_pool_id *id,
                          snipe_time now);
void snipe_views_owner_lost (GPtrArray *pools, uint64_t owner, snipe_time now);

/* route.c */
/** A planned share of a job's tasks. */
struct share
{
  struct pool_view *pool;
  uint32_t count;
};

/** Distributes @p count tasks over the pools of the job's service.
 * @param out room for as many shares as there are pools
 * @return how many shares were written; 0 if no pool can end the job before
 *   it is worthless to its caller, and then @p wait is the shortest wait. */
uint32_t snipe_home_route (GPtrArray *pools, const char *domain,
                           const struct snipe_coordinator_job *job,
                           uint32_t count, snipe_time due, snipe_time late,
                           struct share *out, snipe_time *wait,
                           snipe_time now);
/** @return the speed of the fastest pool of a service: actual over estimated
 * duration. */
double snipe_home_best_slowness (const GPtrArray *pools, const char *service);
/** Takes the room of tasks that are being sent from a view. */
void snipe_home_take_room (struct pool_view *pool,
                           const struct snipe_capacity *each, uint32_t count,
                           snipe_time estimate);

#endif
