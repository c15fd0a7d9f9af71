/**
 * @file table.h
 * Blocking client of the platform's table, for operators' commands.
 */
#ifndef SNIPE_CTL_TABLE_H
#define SNIPE_CTL_TABLE_H

#include <jansson.h>
#include <stdint.h>

/** Where and how to call the platform's table. */
struct snipe_table
{
  const char *url;    /**< "http://ip:port" */
  int64_t timeout_ms; /**< of one call */
};

/**
 * Reads a row. Every call below returns 0; SNIPE_E_UNREACHABLE (nothing was
 * sent); SNIPE_E_TIMEOUT or SNIPE_E_PLATFORM (no reply, or an unexpected one:
 * the effect of a write is unknown).
 * @param value new reference
 * @return SNIPE_E_NOT_FOUND if the row is absent.
 */
int snipe_table_get (json_t **value, uint64_t *version,
                     const struct snipe_table *table, const char *key);
/** Reads the rows whose keys begin with @p prefix.
 * @param rows array of {"key","version","value"}, new reference
 * @return SNIPE_E_TOO_LARGE if there are 10000 or more. */
int snipe_table_range (json_t **rows, const struct snipe_table *table,
                       const char *prefix);
/** Writes a row if its version is @p if_version, where 0 means that the row is
 * absent.
 * @param version set to the new version
 * @return SNIPE_E_CONFLICT if it has another version. */
int snipe_table_compare_and_swap (uint64_t *version,
                                  const struct snipe_table *table,
                                  const char *key, uint64_t if_version,
                                  json_t *value);

#endif
