#include "snipe/share.h"

#include <stdlib.h>

#include "snipe/status.h"

static struct snipe_share_entry *
find (const struct snipe_share_row *row, uint64_t incarnation)
{
  for (uint32_t i = 0; i < row->count; i++)
    if (row->entries[i].incarnation == incarnation)
      return &row->entries[i];
  return NULL;
}

static void
drop (struct snipe_share_row *row, uint32_t index)
{
  row->count--;
  for (uint32_t i = index; i < row->count; i++)
    row->entries[i] = row->entries[i + 1];
}

static bool
drop_lapsed (struct snipe_share_row *row, const struct snipe_share_input *in)
{
  bool dropped = false;
  uint32_t i = 0;

  while (i < row->count)
    {
      uint64_t incarnation = row->entries[i].incarnation;

      if (incarnation != in->self && in->reclaimable != NULL
          && in->reclaimable (in->ctx, incarnation))
        {
          drop (row, i);
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

/* Sum of min (want, level) over all hosts; self's want is @p need. */
static uint64_t
filled (const struct snipe_share_row *row, uint64_t self, uint32_t need,
        uint32_t level)
{
  uint64_t sum = min_u32 (need, level);

  for (uint32_t i = 0; i < row->count; i++)
    if (row->entries[i].incarnation != self)
      sum += min_u32 (row->entries[i].want, level);
  return sum;
}

/* Max-min fair part of the limit for self. What is left after the common
 * level goes, one slot each, to the lowest incarnations, so that all hosts
 * that see the same row work out parts whose sum is within the limit. */
static uint32_t
fair_part (const struct snipe_share_row *row,
           const struct snipe_share_input *in, uint32_t need)
{
  uint32_t low = 0;
  uint32_t high = in->limit;
  uint64_t left;
  uint64_t before = 0;

  while (low < high)
    {
      uint32_t mid = low + (high - low + 1) / 2;

      if (filled (row, in->self, need, mid) <= in->limit)
        low = mid;
      else
        high = mid - 1;
    }
  if (need <= low)
    return need;
  left = in->limit - filled (row, in->self, need, low);
  for (uint32_t i = 0; i < row->count; i++)
    if (row->entries[i].want > low && row->entries[i].incarnation < in->self)
      before++;
  return low + (before < left ? 1 : 0);
}

/* The share self should have by this row, never more than its own plus what
 * is free. */
static uint32_t
target (const struct snipe_share_row *row, const struct snipe_share_input *in,
        uint32_t need)
{
  uint32_t held = snipe_share_held (row, in->self);
  uint64_t sum = snipe_share_sum (row);
  uint64_t available = sum < in->limit ? in->limit - sum : 0;
  uint64_t missing = 0;
  uint64_t slice = in->limit / (in->hosts > 0 ? in->hosts : 1);
  uint64_t wish;

  for (uint32_t i = 0; i < row->count; i++)
    if (row->entries[i].incarnation != in->self
        && row->entries[i].want > row->entries[i].held)
      missing += row->entries[i].want - row->entries[i].held;
  /* Over a limit that shrank, idle slots count as gone at once: the slots in
   * use or usable, over all hosts, must not grow before the sum is under. */
  if (sum > in->limit)
    return min_u32 (min_u32 (held, in->running), fair_part (row, in, need));
  /* Own need counts too: two hosts would otherwise leave free slots to each
   * other for ever. */
  if (missing > 0 && missing + (need > held ? need - held : 0) > available)
    return min_u32 (held + available, fair_part (row, in, need));
  available -= missing;
  if (need > held)
    return min_u32 (held + available, max_u64 (need, slice));
  /* Keeping an equal slice, and a quarter over the need, spares a write for
   * each small change of demand. */
  wish = max_u64 ((uint64_t)need + need / 4, slice);
  /* An idle host takes its slice while nobody is short, so that the first
   * task of a team does not wait for a round. */
  if (missing == 0 && held < slice)
    return min_u32 (held + available, slice);
  return min_u32 (held, wish);
}

/* Whether @p want must be written although no share changes: always if it
 * starts or stops being a shortage or while the sum is over the limit, because
 * the parts of all hosts then add up only if their wants are exact. Otherwise
 * only if it moved by more than a quarter while somebody is short: nobody
 * reads it before. */
static bool
want_moved (const struct snipe_share_row *row,
            const struct snipe_share_entry *entry, uint32_t want,
            uint32_t limit)
{
  uint32_t apart
      = want > entry->want ? want - entry->want : entry->want - want;
  bool was_short = entry->want > entry->held;
  bool any_short = was_short;

  if (was_short != (want > entry->held))
    return true;
  if (snipe_share_sum (row) > limit)
    return apart > 0;
  for (uint32_t i = 0; i < row->count; i++)
    any_short = any_short || row->entries[i].want > row->entries[i].held;
  return any_short && apart > 1 && apart > entry->want / 4;
}

int
snipe_share_decide (struct snipe_share_row *row,
                    const struct snipe_share_input *input, uint32_t *use)
{
  uint64_t demand = (uint64_t)input->running + input->queued;
  uint32_t need = min_u32 (demand, input->limit);
  struct snipe_share_entry *entry;
  struct snipe_share_entry next = { .incarnation = input->self, .want = need };
  struct snipe_share_entry old = { .incarnation = input->self };
  bool changed = drop_lapsed (row, input);
  int rc;

  *use = target (row, input, need);
  entry = find (row, input->self);
  if (entry != NULL)
    old = *entry;
  next.held = *use;
  /* A slot in use is given back only after its task has ended. */
  if (next.held < old.held)
    next.held
        = (uint32_t)max_u64 (next.held, min_u32 (old.held, input->running));
  if (next.held == old.held && !want_moved (row, &old, need, input->limit))
    return changed ? 1 : 0;
  if (next.held == 0 && next.want == 0)
    {
      if (entry == NULL)
        return changed ? 1 : 0;
      drop (row, (uint32_t)(entry - row->entries));
      return 1;
    }
  rc = snipe_share_row_set (row, &next);
  return rc < 0 ? rc : 1;
}

uint32_t
snipe_share_held (const struct snipe_share_row *row, uint64_t self)
{
  const struct snipe_share_entry *entry = find (row, self);

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
  struct snipe_share_entry *old = find (row, entry->incarnation);

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
        return snipe_status_set (SNIPE_E_NOMEM, "no memory for a quota row");
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
