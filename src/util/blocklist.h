/**
 * @file refuse.h
 * Refusal list for tests of partitions: names of hosts and "ip:port"
 * addresses that this process neither calls nor answers. Thread-safe.
 */
#ifndef SNIPE_UTIL_REFUSE_H
#define SNIPE_UTIL_REFUSE_H

#include <stdbool.h>
#include <stdint.h>

/** Replaces the list. */
int snipe_blocklist_set (const char *const *entries, uint32_t count);
/** @return whether @p entry (a name or an address) is refused; one atomic
 * load while the list is empty. */
bool snipe_blocklist_contains (const char *entry);

#endif
