/**
 * @file setup.h
 * Setup of schedulers and endpoints for the benchmarks.
 */
#ifndef DECIDE_SETUP_H
#define DECIDE_SETUP_H

#include "params.h"
#include "snipe/sched.h"

/** Exits with a message on failure. */
struct snipe_sched *sched_new (const struct params *params,
                               enum snipe_policy policy, uint64_t seed);
/** Adds an endpoint of ENDPOINT_SLOTS slots, named after @p index. */
void add_endpoint (struct snipe_sched *sched, uint32_t index,
                   const char *domain);
/** @return the index with which the endpoint was added. */
uint32_t endpoint_index (const struct snipe_sched_endpoint *endpoint);

#endif
