/**
 * @file table.h
 * Transactional key-value table of the platform stand-in. Not thread-safe.
 */
#ifndef STANDINS_TABLE_H
#define STANDINS_TABLE_H

#include <jansson.h>
#include <stdint.h>

struct table;

struct table *table_new (void);
void table_free (struct table *table);
/** Applies {"if":[..],"put":[..],"delete":[..]} atomically.
 * @param reply receives the body of the reply
 * @return HTTP status: 200, 400 or 409. */
unsigned int table_txn (struct table *table, json_t *txn, json_t **reply);
/** @return {"key","version","value"} or NULL if absent. */
json_t *table_row (const struct table *table, const char *key);
/** @return the rows whose key starts with @p prefix and whose version is
 * greater than @p since, in key order, at most @p limit of them (0: no limit);
 * with "more": true if the limit left some out. */
json_t *table_range (const struct table *table, const char *prefix,
                     uint64_t since, uint64_t limit);

#endif
