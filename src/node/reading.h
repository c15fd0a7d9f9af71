/**
 * @file reading.h
 * When a host reads the list of endpoints. Pure.
 *
 * The rows of endpoints change with each of their heartbeats, and all hosts
 * that followed them would read as much as the fleet is large: at 100 hosts
 * and 1,000 endpoints that was most of the 172 KB/s of a host. So one host of
 * a domain follows them and tells the others what has changed.
 */
#ifndef SNIPE_NODE_READING_H
#define SNIPE_NODE_READING_H

#include <stdbool.h>
#include "snipe/clock.h"

/** How a host follows the list of endpoints. */
struct snipe_reading
{
  bool first; /**< this host reads for the others of its domain */
  bool owner; /**< it schedules a pool */
  bool known; /**< an endpoint is listed, and the whole list was read since
                 the store was away */
  snipe_time heard; /**< last time that another host told it, 0: never */
};

/** Where a host learns from which endpoints are listed. */
enum snipe_reading_source
{
  SNIPE_READING_ALONE, /**< it reads the store, for itself */
  SNIPE_READING_FIRST, /**< it reads for the others of its domain, too */
  SNIPE_READING_TOLD,  /**< another host tells it */
};

enum snipe_reading_source
snipe_reading_source (const struct snipe_reading *reading, snipe_time now);
/** @param asked when this host last asked for the list
 * @return when the list has to be read again. */
snipe_time snipe_reading_due (const struct snipe_reading *reading,
                              snipe_time asked);
/** @param asked when the host that tells has asked for the changes
 * @param delay of its message
 * @return whether the changes are new enough to rely on; a host that was
 * stopped or cut off tells what others know to be old. */
bool snipe_reading_is_news (snipe_time asked, snipe_time delay,
                            snipe_time now);

#endif
