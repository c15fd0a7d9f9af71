/**
 * @file share.h
 * Divides a team's quota between the entry hosts. Decides how one host changes
 * the quota row of a team in the platform's store. No I/O, no clock: takes the
 * row and the demand, and returns the new row. No host ever raises the sum of
 * the shares in a row above the limit of the rule.
 */
#ifndef SNIPE_SHARE_H
#define SNIPE_SHARE_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"

/** One host's entry in a quota row. */
struct snipe_share_entry
{
  uint64_t incarnation;
  uint32_t held; /**< allocated share: slots that this host may use */
  uint32_t want; /**< requested share: slots that it could use now */
};

/** Quota row of one team, as stored. */
struct snipe_share_row
{
  uint32_t count;
  uint32_t capacity;
  struct snipe_share_entry *entries;
};

/** Demand and local view of the host that decides. */
struct snipe_share_input
{
  uint64_t self;
  uint32_t limit;   /**< quota of the team, from its rule */
  uint32_t running; /**< slots that the team uses at this host */
  uint32_t queued;  /**< queued tasks of the team at this host */
  uint32_t hosts;   /**< live entry hosts, at least 1 */
  /** Whether a host's share may be reclaimed: its lease row has not changed
   * for the lease time plus the longest task time, on this host's clock, so it
   * starts no task any more and its tasks have ended. */
  bool (*reclaimable) (void *ctx, uint64_t incarnation);
  void *ctx;
};

/**
 * Updates the row for this host. The host takes the free slots that it needs,
 * or an equal share while no host is short, gives back unused slots that
 * others request, and removes hosts whose shares are reclaimable. After the
 * limit was lowered, hosts give back slots as their tasks end, and none takes
 * slots until the sum is under the new limit.
 * @param usable the target share of this host, which is under its share in the
 * row while slots in use are still to be given back. The host must start no
 * task beyond the lower of @p usable and its confirmed share, or a busy host
 * would never give anything back.
 * @return 1 if @p row was changed and should be written, 0 if not, or a
 * negative error code.
 */
int snipe_share_decide (struct snipe_share_row *row,
                        const struct snipe_share_input *input,
                        uint32_t *usable);
/** @return the share allocated to @p self in this row. */
uint32_t snipe_share_held (const struct snipe_share_row *row, uint64_t self);
/** @return the sum of all allocated shares. */
uint64_t snipe_share_sum (const struct snipe_share_row *row);
/** Adds a host's entry, or replaces it. */
int snipe_share_row_set (struct snipe_share_row *row,
                         const struct snipe_share_entry *entry);
void snipe_share_row_clear (struct snipe_share_row *row);

#endif
