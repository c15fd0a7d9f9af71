/**
 * @file owner.h
 * Assigns endpoints to entry hosts by weighted rendezvous hashing over the
 * entry hosts believed live, by failure domain. No I/O, no state.
 */
#ifndef SNIPE_OWNER_H
#define SNIPE_OWNER_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/str.h"

/** An entry host, by the local view of this host. */
struct snipe_owner_host
{
  uint64_t incarnation;
  struct snipe_str name;
  struct snipe_str domain;
  double capacity_weight; /**< relative, must be over 0 to own anything */
  bool live;              /**< believed live and not leaving */
};

/**
 * Finds the owner of an endpoint: among the live hosts of its failure domain,
 * or among all live hosts if the domain has none, the one with the highest
 * weighted hash.
 * @return index into @p hosts, or -1 if no host is live.
 */
int snipe_owner_find (const struct snipe_owner_host *hosts, uint32_t count,
                      const struct snipe_str *endpoint,
                      const struct snipe_str *domain);

#endif
