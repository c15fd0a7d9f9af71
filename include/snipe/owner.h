/**
 * @file owner.h
 * Which entry host owns an endpoint: weighted rendezvous hashing over the
 * entry hosts believed live, by failure domain. Pure.
 */
#ifndef SNIPE_OWNER_H
#define SNIPE_OWNER_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/str.h"

/** An entry host as seen by this one. */
struct snipe_owner_host
{
  uint64_t incarnation;
  struct snipe_str name;
  struct snipe_str domain;
  double capacity_weight; /**< relative capacity, over 0 */
  bool live;              /**< believed live and not leaving */
};

/**
 * Finds the owner of an endpoint: the live host of its failure domain with
 * the highest weighted hash, or of all hosts if the domain has no live one.
 * @return index into @p hosts, or -1 if no host is live.
 */
int snipe_owner_find (const struct snipe_owner_host *hosts, uint32_t count,
                      const struct snipe_str *endpoint,
                      const struct snipe_str *domain);

#endif
