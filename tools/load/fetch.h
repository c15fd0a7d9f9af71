/**
 * @file fetch.h
 * Blocking HTTP requests of the load generator.
 */
#ifndef TOOLS_FETCH_H
#define TOOLS_FETCH_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>
#include "snipe/counter.h"

/** Sends a GET, or a POST if @p body is not NULL.
 * @return body of the response, or NULL if the request failed or the status is
 * not 200. */
GString *fetch_body (const char *url, const char *body);
/** Fetches and parses JSON. @return NULL on failure. */
json_t *fetch_json (const char *url);

/** Counters of one daemon. */
struct fetch_counters
{
  uint64_t values[SNIPE_COUNTER_COUNT];
};

/** Reads the counters from /metrics of a daemon. @return 0 or -1. */
int fetch_metrics (struct fetch_counters *counters, const char *host);

#endif
