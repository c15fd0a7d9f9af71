/**
 * @file fetch.h
 * Blocking HTTP calls and what the load generator reads with them.
 */
#ifndef TOOLS_FETCH_H
#define TOOLS_FETCH_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>
#include "snipe/counter.h"

/** GET, or POST if @p body is not NULL. @return body of a 200, or NULL. */
GString *fetch_call (const char *url, const char *body);
/** GET of JSON. @return NULL on failure. */
json_t *fetch_json (const char *url);

/** Sums of the counters of daemons. */
struct fetch_metrics
{
  uint64_t values[SNIPE_COUNTER_COUNT];
};

/** Reads /metrics of one daemon. @return 0 or -1. */
int fetch_metrics (struct fetch_metrics *out, const char *host);

#endif
