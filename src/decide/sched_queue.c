#include <stdlib.h>
#include <string.h>

#include "sched_private.h"
#include "snipe/status.h"

/* Shapes that no work uses are dropped when there are more than this. */
#define SHAPES_KEPT 128

static void
ready_change (struct snipe_sched *sched, const struct sched_shape *shape,
              bool ready)
{
  uint32_t bit = shape->id % 64;

  sched->ready_count[bit] += ready ? 1U : UINT32_MAX;
  if (sched->ready_count[bit] > 0)
    sched->ready |= UINT64_C (1) << bit;
  else
    sched->ready &= ~(UINT64_C (1) << bit);
}

void
sched_shape_block (struct snipe_sched *sched, struct sched_shape *shape)
{
  if (shape->blocked)
    return;
  shape->blocked = true;
  ready_change (sched, shape, false);
}

void
sched_shape_unblock (struct snipe_sched *sched, struct sched_shape *shape)
{
  if (!shape->blocked)
    return;
  shape->blocked = false;
  ready_change (sched, shape, true);
}

static void
lane_free (struct sched_lane *lane)
{
  g_free (lane->parts.nodes);
  g_free (lane);
}

static void
shapes_sweep (struct snipe_sched *sched)
{
  for (guint i = 0; i < sched->teams->len; i++)
    {
      struct sched_team *team = sched_team_at (sched, i);

      for (guint j = team->lanes->len; j-- > 0;)
        {
          struct sched_lane *lane = g_ptr_array_index (team->lanes, j);

          if (lane->shape->parts == 0)
            {
              lane_free (lane);
              g_ptr_array_remove_index_fast (team->lanes, j);
            }
        }
    }
  for (guint i = sched->shapes->len; i-- > 0;)
    {
      struct sched_shape *shape = g_ptr_array_index (sched->shapes, i);

      if (shape->parts > 0)
        continue;
      if (shape->reserved != NULL)
        sched_endpoint_release (sched, shape->reserved, 0);
      if (!shape->blocked)
        ready_change (sched, shape, false);
      g_hash_table_remove (sched->shape_keys, &shape->key);
      g_ptr_array_remove_index_fast (sched->shapes, i);
      g_free (shape);
    }
}

struct sched_shape *
sched_shape_get (struct snipe_sched *sched, const struct sched_shape_key *key)
{
  struct sched_shape *shape = g_hash_table_lookup (sched->shape_keys, key);

  if (shape != NULL)
    return shape;
  if (sched->shapes->len >= SHAPES_KEPT
      && sched->shapes->len % SHAPES_KEPT == 0)
    shapes_sweep (sched);
  shape = g_new0 (struct sched_shape, 1);
  shape->key = *key;
  shape->id = sched->next_shape++;
  g_ptr_array_add (sched->shapes, shape);
  g_hash_table_insert (sched->shape_keys, &shape->key, shape);
  ready_change (sched, shape, true);
  return shape;
}

static struct sched_lane *
lane_get (struct sched_team *team, struct sched_shape *shape)
{
  struct sched_lane *lane;

  for (guint i = 0; i < team->lanes->len; i++)
    {
      lane = g_ptr_array_index (team->lanes, i);
      if (lane->shape == shape)
        return lane;
    }
  lane = g_new0 (struct sched_lane, 1);
  lane->shape = shape;
  g_ptr_array_add (team->lanes, lane);
  return lane;
}

/* Recomputes which shapes wait in a team; called when a lane gets its first
 * part or loses its last one. */
static void
team_shapes (struct sched_team *team)
{
  team->shapes = 0;
  team->shapes_free = 0;
  for (guint i = 0; i < team->lanes->len; i++)
    {
      const struct sched_lane *lane = g_ptr_array_index (team->lanes, i);
      uint64_t bit = UINT64_C (1) << (lane->shape->id % 64);

      if (lane->parts.count == 0)
        continue;
      team->shapes |= bit;
      if (!lane->shape->key.counts_quota)
        team->shapes_free |= bit;
    }
}

/* Counts tasks into the queue, or out of it when @p by is negative. */
static void
count_queued (struct snipe_sched *sched, struct sched_part *part, int by)
{
  struct snipe_task_group *work = part->work;
  struct sched_team *team = sched_team_at (sched, work->team);
  struct sched_shape *shape = part->lane->shape;
  uint32_t change = (uint32_t)by;

  part->count += change;
  work->queued += change;
  shape->queued += change;
  team->queued += change;
  if (work->counts_quota)
    team->queued_quota += change;
  sched->queued += change;
  if (part->count == 0 && part->node.index != SCHED_NOWHERE)
    {
      sched_heap_remove (&part->lane->parts, &part->node);
      if (part->lane->parts.count == 0)
        team_shapes (team);
    }
  else if (part->count > 0 && part->node.index == SCHED_NOWHERE)
    {
      /* A team that was idle does not save up turns. */
      if (team->queued == part->count)
        team->served = MAX (team->served, sched->served_now);
      part->node.key = work->remaining;
      sched_heap_push (&part->lane->parts, &part->node);
      if (part->lane->parts.count == 1)
        team_shapes (team);
    }
  if (shape->queued == 0)
    {
      shape->passed_over = 0;
      if (shape->reserved != NULL)
        sched_endpoint_release (sched, shape->reserved, 0);
    }
  if (work->queued == 0)
    sched_heap_remove (&sched->expiries, &work->expiry);
}

uint32_t
sched_part_take (struct snipe_sched *sched, struct sched_part *part,
                 uint32_t place)
{
  uint32_t *first = part->order + part->head;
  uint32_t task = first[place];

  memmove (first + 1, first, place * sizeof *first);
  part->head++;
  count_queued (sched, part, -1);
  return task;
}

void
sched_work_shrink (struct snipe_task_group *work, double by)
{
  work->remaining -= by;
  for (uint32_t i = 0; i < work->part_count; i++)
    {
      struct sched_part *part = &sched_parts (work)[i];

      if (part->node.index == SCHED_NOWHERE)
        continue;
      part->node.key = work->remaining;
      sched_heap_update (&part->lane->parts, &part->node);
    }
}

static void
shape_key (struct sched_shape_key *key, const struct snipe_group_task *task,
           bool counts_quota)
{
  memset (key, 0, sizeof *key);
  key->domains = task->domains;
  key->needs = task->needs;
  key->passable = task->offloadable;
  key->idempotent = task->idempotent;
  key->counts_quota = counts_quota;
}

/* qsort has no argument for the tasks, so keys are sorted with them. */
struct sort_key
{
  float expected;
  uint32_t task;
};

static int
by_expected (const void *a, const void *b)
{
  const struct sort_key *x = a;
  const struct sort_key *y = b;

  if (x->expected > y->expected || x->expected < y->expected)
    return x->expected > y->expected ? -1 : 1;
  return x->task < y->task ? -1 : 1;
}

/* Finds the parts of the new work. @return their number. */
static uint32_t
find_shapes (struct snipe_sched *sched,
             const struct snipe_task_group_options *options,
             struct sched_shape **shapes, uint16_t *part_of)
{
  struct sched_shape_key last;
  uint32_t count = 0;
  uint32_t found = 0;

  for (uint32_t i = 0; i < options->task_count; i++)
    {
      struct sched_shape_key key;

      shape_key (&key, &options->tasks[i], options->counts_against_quota);
      if (i == 0 || memcmp (&key, &last, sizeof key) != 0)
        {
          struct sched_shape *shape = sched_shape_get (sched, &key);

          for (found = 0; found < count && shapes[found] != shape; found++)
            ;
          if (found == count)
            {
              shapes[count++] = shape;
              /* A reference, so that a sweep keeps the shape. */
              shape->parts++;
            }
          last = key;
        }
      part_of[i] = (uint16_t)found;
    }
  return count;
}

static size_t
align8 (size_t bytes)
{
  return (bytes + 7) & ~(size_t)7;
}

static void
fill_parts (struct snipe_task_group *work, const struct sort_key *sorted,
            uint32_t *order)
{
  for (uint32_t i = 0; i < work->task_count; i++)
    sched_parts (work)[work->tasks[i].part].room++;
  for (uint32_t i = 0; i < work->part_count; i++)
    {
      sched_parts (work)[i].order = order;
      order += sched_parts (work)[i].room;
      sched_parts (work)[i].room = 0;
    }
  for (uint32_t i = 0; i < work->task_count; i++)
    {
      struct sched_part *part
          = &sched_parts (work)[work->tasks[sorted[i].task].part];

      part->order[part->room++] = sorted[i].task;
    }
}

int
snipe_sched_group_add (struct snipe_task_group **out,
                       struct snipe_sched *sched,
                       const struct snipe_task_group_options *options,
                       snipe_time now)
{
  uint32_t count = options->task_count;
  struct sched_team *team;
  struct sched_shape **shapes = NULL;
  uint16_t *part_of = NULL;
  struct sort_key *sorted = NULL;
  struct snipe_task_group *work = NULL;
  uint32_t parts;
  size_t size;
  int code = SNIPE_OK;

  *out = NULL;
  if (count == 0 || count > UINT16_MAX || options->team >= sched->teams->len)
    return snipe_status_set (SNIPE_E_INVALID, "work of %u tasks of team %u",
                             count, options->team);
  if (count > sched->options.queue_max
      || sched->queued > sched->options.queue_max - count)
    return snipe_status_set (SNIPE_E_OVERLOAD,
                             "%u tasks wait, %u more exceed the limit of %u",
                             sched->queued, count, sched->options.queue_max);
  shapes = malloc (count * sizeof (struct sched_shape *));
  part_of = malloc (count * sizeof *part_of);
  sorted = malloc (count * sizeof *sorted);
  if (shapes == NULL || part_of == NULL || sorted == NULL)
    {
      code = snipe_status_set (SNIPE_E_NOMEM, "no memory for %u tasks", count);
      goto cleanup;
    }
  parts = find_shapes (sched, options, shapes, part_of);
  size = align8 (sizeof *work) + parts * sizeof (struct sched_part)
         + count * sizeof (struct sched_task) + count * sizeof (uint32_t);
  work = calloc (1, size);
  if (work == NULL)
    {
      for (uint32_t i = 0; i < parts; i++)
        shapes[i]->parts--;
      code = snipe_status_set (SNIPE_E_NOMEM, "no memory for %u tasks", count);
      goto cleanup;
    }
  work->expiry.index = SCHED_NOWHERE;
  work->ctx = options->ctx;
  work->wait_max = options->wait_max;
  work->speed_min = options->speed_min;
  work->task_count = (uint16_t)count;
  work->part_count = (uint16_t)parts;
  work->team = options->team;
  work->counts_quota = options->counts_against_quota;
  for (uint32_t i = 0; i < count; i++)
    {
      struct sched_task *task = &work->tasks[i];

      task->at = now;
      task->declared = (float)MAX (options->tasks[i].declared_duration, 1);
      task->kind = options->tasks[i].kind;
      task->expected = sched_learn_expected (
          sched, task->kind, options->tasks[i].declared_duration);
      task->part = part_of[i];
      task->state = SNIPE_TASK_QUEUED;
      work->remaining += (double)task->expected;
      sorted[i] = (struct sort_key){ task->expected, i };
    }
  if (count > 1)
    qsort (sorted, count, sizeof *sorted, by_expected);
  fill_parts (work, sorted, (uint32_t *)(sched_parts (work) + parts));
  team = sched_team_at (sched, options->team);
  for (uint32_t i = 0; i < parts; i++)
    {
      struct sched_part *part = &sched_parts (work)[i];

      part->work = work;
      part->lane = lane_get (team, shapes[i]);
      part->node.index = SCHED_NOWHERE;
      part->node.seq = sched->seq++;
      count_queued (sched, part, (int)part->room);
    }
  if (work->wait_max > 0)
    {
      work->expiry.key = (double)(now + work->wait_max);
      sched_heap_push (&sched->expiries, &work->expiry);
    }
  *out = work;
cleanup:
  free (shapes);
  free (part_of);
  free (sorted);
  return code;
}

uint32_t
snipe_sched_group_cancel (struct snipe_sched *sched,
                          struct snipe_task_group *work, uint32_t *removed)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < work->part_count; i++)
    {
      struct sched_part *part = &sched_parts (work)[i];

      while (part->count > 0)
        {
          uint32_t task = sched_part_take (sched, part, 0);

          work->tasks[task].state = SNIPE_TASK_ENDED;
          work->remaining -= (double)work->tasks[task].expected;
          if (removed != NULL)
            removed[count] = task;
          count++;
        }
    }
  return count;
}

void
snipe_sched_group_free (struct snipe_sched *sched,
                        struct snipe_task_group *work)
{
  if (work == NULL)
    return;
  snipe_sched_group_cancel (sched, work, NULL);
  for (uint32_t i = 0; i < work->part_count; i++)
    sched_parts (work)[i].lane->shape->parts--;
  free (work);
}

void *
snipe_task_group_ctx (const struct snipe_task_group *work)
{
  return work->ctx;
}

enum snipe_task_state
snipe_task_group_task_state (const struct snipe_task_group *work,
                             uint32_t task)
{
  return (enum snipe_task_state)work->tasks[task].state;
}

/* @return whether task @p a comes before @p b, by the order of work_add. */
static bool
queued_before (const struct snipe_task_group *work, uint32_t a, uint32_t b)
{
  float x = work->tasks[a].expected;
  float y = work->tasks[b].expected;

  return x > y || (x >= y && a < b);
}

void
snipe_sched_requeue (struct snipe_sched *sched, struct snipe_task_group *work,
                     uint32_t task, snipe_time now)
{
  struct sched_task *entry = &work->tasks[task];
  struct sched_part *part = &sched_parts (work)[entry->part];
  uint32_t *first;
  uint32_t place = 0;

  if (entry->state != SNIPE_TASK_ENDED)
    return;
  entry->state = SNIPE_TASK_QUEUED;
  entry->at = now;
  /* The task left the part before, so there is room in front. */
  part->head--;
  first = part->order + part->head;
  while (place < part->count && queued_before (work, first[place + 1], task))
    {
      first[place] = first[place + 1];
      place++;
    }
  first[place] = task;
  sched_work_shrink (work, -(double)entry->expected);
  count_queued (sched, part, 1);
  if (work->wait_max > 0 && work->expiry.index == SCHED_NOWHERE)
    {
      work->expiry.key = (double)(now + work->wait_max);
      sched_heap_push (&sched->expiries, &work->expiry);
    }
}

bool
sched_expire_next (struct snipe_sched *sched, snipe_time now,
                   struct snipe_decision *out)
{
  while (sched->expiries.count > 0
         && sched->expiries.nodes[0]->key <= (double)now)
    {
      struct snipe_task_group *work
          = (struct snipe_task_group *)((char *)sched->expiries.nodes[0]
                                        - offsetof (struct snipe_task_group,
                                                    expiry));
      snipe_time earliest = INT64_MAX;

      for (uint32_t i = 0; i < work->part_count; i++)
        {
          struct sched_part *part = &sched_parts (work)[i];

          for (uint32_t j = 0; j < part->count; j++)
            {
              uint32_t task = part->order[part->head + j];
              struct sched_task *entry = &work->tasks[task];

              if (entry->at + work->wait_max > now)
                {
                  earliest = MIN (earliest, entry->at + work->wait_max);
                  continue;
                }
              sched_part_take (sched, part, j);
              entry->state = SNIPE_TASK_ENDED;
              sched_work_shrink (work, (double)entry->expected);
              *out = (struct snipe_decision){
                .kind = SNIPE_DECISION_EXPIRE,
                .reason = SNIPE_REASON_WAITED,
                .group = work,
                .u.expire.task = task,
              };
              return true;
            }
        }
      work->expiry.key = (double)earliest;
      sched_heap_update (&sched->expiries, &work->expiry);
    }
  return false;
}
