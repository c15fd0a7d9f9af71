#include "snipe/share.h"

#include <stdlib.h>

#include "snipe/status.h"

static struct snipe_share_entry *
find_entry (const struct snipe_share_row *row, uint64_t incarnation)
{
  for (uint32_t i = 0; i < row->count; i++)
    if (row->entries[i].incarnation == incarnation)
      return &row->entries[i];
  return NULL;
}

static void
remove_entry (struct snipe_share_row *row, uint32_t index)
{
  row->count--;
  for (uint32_t i = index; i < row->count; i++)
    row->entries[i] = row->entries[i + 1];
}

static bool
remove_reclaimable (struct snipe_share_row *row,
                    const struct snipe_share_input *in)
{
  bool dropped = false;
  uint32_t i = 0;

  while (i < row->count)
    {
      uint64_t incarnation = row->entries[i].incarnation;

      if (incarnation != in->self && in->reclaimable != NULL
          && in->reclaimable (in->ctx, incarnation))
        {
          remove_entry (row, i);
          dropped = true;
        }
      else
        i++;
    }
  return dropped;
}

static uint32_t
min_u32 (uint64_t a, uint64_t b)
{
  return (uint32_t)(a < b ? a : b);
}

static uint64_t
max_u64 (uint64_t a, uint64_t b)
{
  return a > b ? a : b;
}

/* @return the sum of min (want, level) over all hosts, with @p need as the
 * want of self. */
static uint64_t
sum_at_level (const struct snipe_share_row *row, uint64_t self, uint32_t need,
              uint32_t level)
{
  uint64_t sum = min_u32 (need, level);

  for (uint32_t i = 0; i < row->count; i++)
    if (row->entries[i].incarnation != self)
      sum += min_u32 (row->entries[i].want, level);
  return sum;
}

/* @return the max-min fair share of the limit for self. The remainder above
 * the common level goes, one slot each, to the lowest incarnations, so that
 * hosts that see the same row compute shares whose sum is within the limit. */
static uint32_t
fair_share (const struct snipe_share_row *row,
            const struct snipe_share_input *in, uint32_t need)
{
  uint32_t low = 0;
  uint32_t high = in->limit;
  uint64_t left;
  uint64_t before = 0;

  while (low < high)
    {
      uint32_t mid = low + (high - low + 1) / 2;

      if (sum_at_level (row, in->self, need, mid) <= in->limit)
        low = mid;
      else
        high = mid - 1;
    }
  if (need <= low)
    return need;
  left = in->limit - sum_at_level (row, in->self, need, low);
  for (uint32_t i = 0; i < row->count; i++)
    if (row->entries[i].want > low && row->entries[i].incarnation < in->self)
      before++;
  return low + (before < left ? 1 : 0);
}

/* @return the share that self should have by this row; at most its present one
 * plus the free slots. */
static uint32_t
target_share (const struct snipe_share_row *row,
              const struct snipe_share_input *in, uint32_t need)
{
  uint32_t held = snipe_share_held (row, in->self);
  uint64_t sum = snipe_share_sum (row);
  uint64_t available = sum < in->limit ? in->limit - sum : 0;
  uint64_t missing = 0;
  uint64_t equal_share = in->limit / (in->hosts > 0 ? in->hosts : 1);
  uint64_t kept;

  for (uint32_t i = 0; i < row->count; i++)
    if (row->entries[i].incarnation != in->self
        && row->entries[i].want > row->entries[i].held)
      missing += row->entries[i].want - row->entries[i].held;
  /* The limit was lowered. Idle slots are given up at once, since the slots in
   * use or usable, over all hosts, must not grow while the sum is over it. */
  if (sum > in->limit)
    return min_u32 (min_u32 (held, in->running), fair_share (row, in, need));
  /* The own need must count too, or two short hosts would leave the free slots
   * to each other forever. */
  if (missing > 0 && missing + (need > held ? need - held : 0) > available)
    return min_u32 (held + available, fair_share (row, in, need));
  available -= missing;
  if (need > held)
    return min_u32 (held + available, max_u64 (need, equal_share));
  /* Keeping an equal share, or a quarter more than needed, saves a write for
   * each small change of demand. */
  kept = max_u64 ((uint64_t)need + need / 4, equal_share);
  /* An idle host takes its equal share while no host is short, so that the
   * first task of a team does not wait until the row has been written. */
  if (missing == 0 && held < equal_share)
    return min_u32 (held + available, equal_share);
  return min_u32 (held, kept);
}

/* @return whether @p want must be written although no share changes. It must
 * if the host becomes short or stops being short, and on each change while the
 * sum is over the limit, because the fair shares add up only if all wants are
 * exact. Otherwise it must only after a change of more than a quarter while
 * some host is short, since others do not use it before. */
static bool
want_must_be_written (const struct snipe_share_row *row,
                      const struct snipe_share_entry *entry, uint32_t want,
                      uint32_t limit)
{
  uint32_t difference
      = want > entry->want ? want - entry->want : entry->want - want;
  bool was_short = entry->want > entry->held;
  bool any_short = was_short;

  if (was_short != (want > entry->held))
    return true;
  if (snipe_share_sum (row) > limit)
    return difference > 0;
  for (uint32_t i = 0; i < row->count; i++)
    any_short = any_short || row->entries[i].want > row->entries[i].held;
  return any_short && difference > 1 && difference > entry->want / 4;
}

int
snipe_share_decide (struct snipe_share_row *row,
                    const struct snipe_share_input *input, uint32_t *usable)
{
  uint64_t demand = (uint64_t)input->running + input->queued;
  uint32_t need = min_u32 (demand, input->limit);
  struct snipe_share_entry *entry;
  struct snipe_share_entry next = { .incarnation = input->self, .want = need };
  struct snipe_share_entry old = { .incarnation = input->self };
  bool changed = remove_reclaimable (row, input);
  int rc;

  *usable = target_share (row, input, need);
  entry = find_entry (row, input->self);
  if (entry != NULL)
    old = *entry;
  next.held = *usable;
  /* A slot in use is given back only when its task has ended. */
  if (next.held < old.held)
    next.held
        = (uint32_t)max_u64 (next.held, min_u32 (old.held, input->running));
  if (next.held == old.held
      && !want_must_be_written (row, &old, need, input->limit))
    return changed ? 1 : 0;
  if (next.held == 0 && next.want == 0)
    {
      if (entry == NULL)
        return changed ? 1 : 0;
      remove_entry (row, (uint32_t)(entry - row->entries));
      return 1;
    }
  rc = snipe_share_row_set (row, &next);
  return rc < 0 ? rc : 1;
}

uint32_t
snipe_share_held (const struct snipe_share_row *row, uint64_t self)
{
  const struct snipe_share_entry *entry = find_entry (row, self);

  return entry == NULL ? 0 : entry->held;
}

uint64_t
snipe_share_sum (const struct snipe_share_row *row)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < row->count; i++)
    sum += row->entries[i].held;
  return sum;
}

int
snipe_share_row_set (struct snipe_share_row *row,
                     const struct snipe_share_entry *entry)
{
  struct snipe_share_entry *old = find_entry (row, entry->incarnation);

  if (old != NULL)
    {
      *old = *entry;
      return SNIPE_OK;
    }
  if (row->count == row->capacity)
    {
      uint32_t capacity = row->capacity == 0 ? 8 : row->capacity * 2;
      struct snipe_share_entry *grown
          = realloc (row->entries, capacity * sizeof *grown);

      if (grown == NULL)
        return snipe_status_set (SNIPE_E_NOMEM,
                                 "out of memory for a quota row");
      row->entries = grown;
      row->capacity = capacity;
    }
  row->entries[row->count++] = *entry;
  return SNIPE_OK;
}

void
snipe_share_row_clear (struct snipe_share_row *row)
{
  free (row->entries);
  row->entries = NULL;
  row->count = 0;
  row->capacity = 0;
}
