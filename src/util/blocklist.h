/**
 * @file blocklist.h
 * Blocklist for tests of network partitions: names of hosts and "ip:port"
 * addresses that this process neither calls nor answers. Thread-safe.
 */
#ifndef SNIPE_UTIL_BLOCKLIST_H
#define SNIPE_UTIL_BLOCKLIST_H

#include <stdbool.h>
#include <stdint.h>

/** Replaces the list with a copy of @p entries. @return 0 or SNIPE_E_NOMEM. */
int snipe_blocklist_set (const char *const *entries, uint32_t count);
/** @return whether @p entry (a name or an address) is listed; one atomic load
 * while the list is empty. */
bool snipe_blocklist_contains (const char *entry);

#endif
