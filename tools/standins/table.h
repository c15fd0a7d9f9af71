/**
 * @file table.h
 * The transactional table of the platform stand-in. Not thread-safe.
 */
#ifndef STANDINS_TABLE_H
#define STANDINS_TABLE_H

#include <jansson.h>
#include <stdint.h>

struct table;

struct table *table_new (void);
void table_free (struct table *table);
/** Runs {"if":[..],"put":[..],"delete":[..]}, all or nothing.
 * @param reply receives the answer's body
 * @return HTTP status: 200, 400 or 409. */
unsigned int table_txn (struct table *table, json_t *txn, json_t **reply);
/** @return {"key","version","value"} or NULL if absent. */
json_t *table_row (const struct table *table, const char *key);
/** Rows under @p prefix in key order with a version over @p since. With more
 * than @p limit (0: no limit), the reply has "more": true. */
json_t *table_range (const struct table *table, const char *prefix,
                     uint64_t since, uint64_t limit);

#endif
