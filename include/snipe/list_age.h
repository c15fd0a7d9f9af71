/**
 * @file list_age.h
 * Age of what a host knows of the endpoints of a pool, and what may be done
 * with an old list of them. Pure.
 *
 * What the list says of an endpoint, and which endpoints it lacks, is as old
 * as the list. A host that was cut off or that the store turns away has an old
 * one and cannot tell: so it asks whoever has a newer list, and while one can
 * be had it starts nothing by the old one. If none can be had, the host goes
 * on with what it has, as a failure domain that is cut off has to.
 */
#ifndef SNIPE_LIST_AGE_H
#define SNIPE_LIST_AGE_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"

/** Zero-initialised: there is no list, and none can be had. */
struct snipe_list_age
{
  snipe_time read_at; /**< the list is not older than this, 0: there is none */
  bool obtainable;    /**< a newer one, from the store or another host */
  snipe_time changed_at; /**< when that changed last */
  /** When a newer one began to be obtainable, short breaks left out. */
  snipe_time obtainable_since;
  snipe_time requested_at; /**< last request to another host */
};

/** Notes that the list was read as it was at @p read_at, whatever the source.
 */
void snipe_list_age_read (struct snipe_list_age *list, snipe_time read_at);
/** @return whether the list is so recent that no newer one is needed. */
bool snipe_list_age_is_recent (const struct snipe_list_age *list,
                               snipe_time now);
/** @return whether the list is so old that it may lack what counts by now. */
bool snipe_list_age_is_old (const struct snipe_list_age *list, snipe_time now);
/**
 * Notes from where a newer list can be had.
 * @param source whether one can be had from elsewhere, such as the store
 * @param peer_read_at when the newest list of another host was read, 0: no
 * host has one
 */
void snipe_list_age_update (struct snipe_list_age *list, bool source,
                            snipe_time peer_read_at, snipe_time now);
/** @return whether another host, whose list was read at @p peer_read_at, has
 * to be asked for it now, unless the own one is recent. */
bool snipe_list_age_request_due (const struct snipe_list_age *list,
                                 snipe_time peer_read_at, snipe_time now);
/** Notes that another host was asked for its list. */
void snipe_list_age_requested (struct snipe_list_age *list, snipe_time now);
/**
 * Tells whether starts by the list have to wait for a newer one.
 * @param needed_since when the list began to be needed for them
 */
bool snipe_list_age_is_awaited (const struct snipe_list_age *list,
                                snipe_time needed_since, snipe_time now);

#endif
