/**
 * @file share.h
 * Shares of a team's quota. Decides how one host changes the quota row of a
 * team in the platform's table. Pure: rows and the present time in, new row
 * out. The sum of shares in a row never exceeds the limit of its rule.
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
  uint32_t held; /**< slots this host may use */
  uint32_t want; /**< slots it would use if it could */
};

struct snipe_share_row
{
  uint32_t count;
  uint32_t capacity;
  struct snipe_share_entry *entries;
};

/** What one host knows and needs for a decision. */
struct snipe_share_input
{
  uint64_t self;
  uint32_t limit;   /**< slots of the rule */
  uint32_t running; /**< slots in use now for the team at this host */
  uint32_t queued;  /**< tasks that wait now */
  uint32_t hosts;   /**< live entry hosts, at least 1 */
  /** Whether a holder's share may be taken back: its lease row has not
   * changed for lease + longest task time on this host's clock. */
  bool (*reclaimable) (void *ctx, uint64_t incarnation);
  void *ctx;
};

/**
 * Works out this host's next row: takes free slots it needs, or an equal
 * slice while nobody is short, gives back what it does not use when others
 * want it, drops lapsed holders. When the limit
 * shrank, holders give back as their tasks end; nobody takes until the sum
 * is under the new limit.
 * @param use the share this host aims at. It is under the share in the row
 * while tasks in use are still to be given back: the host must start no task
 * beyond the lower of @p use and its confirmed share, or a busy host would
 * never give anything back.
 * @return 1 if @p row was changed and should be written, 0 if not, or a
 * negative code.
 */
int snipe_share_decide (struct snipe_share_row *row,
                        const struct snipe_share_input *input, uint32_t *use);
/** @return the slots that @p self may use by this row. */
uint32_t snipe_share_held (const struct snipe_share_row *row, uint64_t self);
/** @return sum of all shares. */
uint64_t snipe_share_sum (const struct snipe_share_row *row);
int snipe_share_row_set (struct snipe_share_row *row,
                         const struct snipe_share_entry *entry);
void snipe_share_row_clear (struct snipe_share_row *row);

#endif
