/**
 * @file incarnation.h
 * Incarnations of endpoints; internal to the pool scheduler.
 */
#ifndef SNIPE_POOL_INCARNATION_H
#define SNIPE_POOL_INCARNATION_H

#include "pool/private.h"

/** @return whether an answer is, or may be, from an earlier incarnation than
 * the one that is known. */
bool snipe_pool_is_from_earlier_incarnation (
    const struct snipe_pool_endpoint *endpoint,
    const struct snipe_endpoint_report *report);
/** Updates what is known of an endpoint by an answer, or by its absence if
 * @p report is NULL: @p answer then tells why.
 * @return the endpoint, or NULL if it is not known */
struct snipe_pool_endpoint *snipe_pool_record_answer (
    struct snipe_pool *pool, const char *id, enum snipe_endpoint_answer answer,
    const struct snipe_endpoint_report *report, snipe_time now);

#endif
