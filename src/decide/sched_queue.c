#include <stdlib.h>
#include <string.h>

#include "sched_private.h"
#include "snipe/status.h"

/* Unused task classes are removed when there are more classes than this. */
#define UNUSED_CLASSES_MAX 128

static void
update_runnable (struct snipe_sched *sched,
                 const struct sched_task_class *task_class, bool ready)
{
  uint32_t bit = task_class->id % 64;

  sched->runnable_class_count[bit] += ready ? 1U : UINT32_MAX;
  if (sched->runnable_class_count[bit] > 0)
    sched->runnable_classes |= UINT64_C (1) << bit;
  else
    sched->runnable_classes &= ~(UINT64_C (1) << bit);
}

void
sched_task_class_block (struct snipe_sched *sched,
                        struct sched_task_class *task_class)
{
  if (task_class->blocked)
    return;
  task_class->blocked = true;
  update_runnable (sched, task_class, false);
}

void
sched_task_class_unblock (struct snipe_sched *sched,
                          struct sched_task_class *task_class)
{
  if (!task_class->blocked)
    return;
  task_class->blocked = false;
  update_runnable (sched, task_class, true);
}

static void
class_queue_free (struct sched_class_queue *queue)
{
  g_free (queue->subgroups.nodes);
  g_free (queue);
}

static void
remove_unused_classes (struct snipe_sched *sched)
{
  for (guint i = 0; i < sched->teams->len; i++)
    {
      struct sched_team *team = sched_team_at (sched, i);

      for (guint j = team->class_queues->len; j-- > 0;)
        {
          struct sched_class_queue *queue
              = g_ptr_array_index (team->class_queues, j);

          if (queue->task_class->subgroup_count == 0)
            {
              class_queue_free (queue);
              g_ptr_array_remove_index_fast (team->class_queues, j);
            }
        }
    }
  for (guint i = sched->task_classes->len; i-- > 0;)
    {
      struct sched_task_class *task_class
          = g_ptr_array_index (sched->task_classes, i);

      if (task_class->subgroup_count > 0)
        continue;
      if (task_class->reserved_endpoint != NULL)
        sched_endpoint_unreserve (sched, task_class->reserved_endpoint, 0);
      if (!task_class->blocked)
        update_runnable (sched, task_class, false);
      g_hash_table_remove (sched->task_classes_by_key, &task_class->key);
      g_ptr_array_remove_index_fast (sched->task_classes, i);
      g_free (task_class);
    }
}

struct sched_task_class *
sched_task_class_get (struct snipe_sched *sched,
                      const struct sched_task_class_key *key)
{
  struct sched_task_class *task_class
      = g_hash_table_lookup (sched->task_classes_by_key, key);

  if (task_class != NULL)
    return task_class;
  if (sched->task_classes->len >= UNUSED_CLASSES_MAX
      && sched->task_classes->len % UNUSED_CLASSES_MAX == 0)
    remove_unused_classes (sched);
  task_class = g_new0 (struct sched_task_class, 1);
  task_class->key = *key;
  task_class->id = sched->next_class_id++;
  g_ptr_array_add (sched->task_classes, task_class);
  g_hash_table_insert (sched->task_classes_by_key, &task_class->key,
                       task_class);
  update_runnable (sched, task_class, true);
  return task_class;
}

static struct sched_class_queue *
class_queue_get (struct sched_team *team, struct sched_task_class *task_class)
{
  struct sched_class_queue *queue;

  for (guint i = 0; i < team->class_queues->len; i++)
    {
      queue = g_ptr_array_index (team->class_queues, i);
      if (queue->task_class == task_class)
        return queue;
    }
  queue = g_new0 (struct sched_class_queue, 1);
  queue->task_class = task_class;
  g_ptr_array_add (team->class_queues, queue);
  return queue;
}

/* Recomputes which task classes are queued in a team; called when a class
 * queue gets its first subgroup or loses its last one. */
static void
update_waiting_classes (struct sched_team *team)
{
  team->waiting_classes = 0;
  team->waiting_classes_no_quota = 0;
  for (guint i = 0; i < team->class_queues->len; i++)
    {
      const struct sched_class_queue *queue
          = g_ptr_array_index (team->class_queues, i);
      uint64_t bit = UINT64_C (1) << (queue->task_class->id % 64);

      if (queue->subgroups.count == 0)
        continue;
      team->waiting_classes |= bit;
      if (!queue->task_class->key.counts_against_quota)
        team->waiting_classes_no_quota |= bit;
    }
}

/* Adds @p by, which may be negative, to the counts of queued tasks, and
 * inserts the subgroup into its queue or removes it. */
static void
change_queued (struct snipe_sched *sched, struct sched_subgroup *subgroup,
               int by)
{
  struct snipe_task_group *group = subgroup->group;
  struct sched_team *team = sched_team_at (sched, group->team);
  struct sched_task_class *task_class = subgroup->class_queue->task_class;
  uint32_t change = (uint32_t)by;

  subgroup->queued += change;
  group->queued += change;
  task_class->queued += change;
  team->queued += change;
  if (group->counts_against_quota)
    team->quota_queued += change;
  sched->queued += change;
  if (subgroup->queued == 0 && subgroup->node.index != SCHED_HEAP_INDEX_NONE)
    {
      sched_heap_remove (&subgroup->class_queue->subgroups, &subgroup->node);
      if (subgroup->class_queue->subgroups.count == 0)
        update_waiting_classes (team);
    }
  else if (subgroup->queued > 0
           && subgroup->node.index == SCHED_HEAP_INDEX_NONE)
    {
      /* An idle team gets no credit for the starts it did not use. */
      if (team->queued == subgroup->queued)
        team->starts_per_weight
            = MAX (team->starts_per_weight, sched->current_starts_per_weight);
      subgroup->node.key = group->remaining_us;
      sched_heap_push (&subgroup->class_queue->subgroups, &subgroup->node);
      if (subgroup->class_queue->subgroups.count == 1)
        update_waiting_classes (team);
    }
  if (task_class->queued == 0)
    {
      task_class->starved_since = 0;
      if (task_class->reserved_endpoint != NULL)
        sched_endpoint_unreserve (sched, task_class->reserved_endpoint, 0);
    }
  if (group->queued == 0)
    sched_heap_remove (&sched->expiries, &group->expiry);
}

uint32_t
sched_subgroup_dequeue (struct snipe_sched *sched,
                        struct sched_subgroup *subgroup, uint32_t position)
{
  uint32_t *first = subgroup->tasks + subgroup->head;
  uint32_t task = first[position];

  memmove (first + 1, first, position * sizeof *first);
  subgroup->head++;
  change_queued (sched, subgroup, -1);
  return task;
}

void
sched_group_reduce_remaining (struct snipe_task_group *group, double by)
{
  group->remaining_us -= by;
  for (uint32_t i = 0; i < group->subgroup_count; i++)
    {
      struct sched_subgroup *subgroup = &sched_group_subgroups (group)[i];

      if (subgroup->node.index == SCHED_HEAP_INDEX_NONE)
        continue;
      subgroup->node.key = group->remaining_us;
      sched_heap_update (&subgroup->class_queue->subgroups, &subgroup->node);
    }
}

static void
task_class_key (struct sched_task_class_key *key,
                const struct snipe_group_task *task, bool counts_against_quota)
{
  memset (key, 0, sizeof *key);
  key->domains = task->domains;
  key->needs = task->needs;
  key->offloadable = task->offloadable;
  key->idempotent = task->idempotent;
  key->counts_against_quota = counts_against_quota;
}

/* qsort () passes no context to the comparison, so the sorted elements contain
 * the keys. */
struct sort_key
{
  float expected_us;
  uint32_t task;
};

static int
compare_expected_descending (const void *a, const void *b)
{
  const struct sort_key *x = a;
  const struct sort_key *y = b;

  if (x->expected_us > y->expected_us || x->expected_us < y->expected_us)
    return x->expected_us > y->expected_us ? -1 : 1;
  return x->task < y->task ? -1 : 1;
}

/* Finds the task class of each task, and so the subgroups of the new group.
 * @return the number of subgroups. */
static uint32_t
find_task_classes (struct snipe_sched *sched,
                   const struct snipe_task_group_options *options,
                   struct sched_task_class **task_classes,
                   uint16_t *subgroup_of)
{
  struct sched_task_class_key last;
  uint32_t count = 0;
  uint32_t found = 0;

  for (uint32_t i = 0; i < options->task_count; i++)
    {
      struct sched_task_class_key key;

      task_class_key (&key, &options->tasks[i], options->counts_against_quota);
      if (i == 0 || memcmp (&key, &last, sizeof key) != 0)
        {
          struct sched_task_class *task_class
              = sched_task_class_get (sched, &key);

          for (found = 0; found < count && task_classes[found] != task_class;
               found++)
            ;
          if (found == count)
            {
              task_classes[count++] = task_class;
              /* This reference keeps the class while others are added. */
              task_class->subgroup_count++;
            }
          last = key;
        }
      subgroup_of[i] = (uint16_t)found;
    }
  return count;
}

static size_t
align8 (size_t bytes)
{
  return (bytes + 7) & ~(size_t)7;
}

static void
fill_subgroups (struct snipe_task_group *group, const struct sort_key *sorted,
                uint32_t *order)
{
  for (uint32_t i = 0; i < group->task_count; i++)
    sched_group_subgroups (group)[group->tasks[i].subgroup].task_count++;
  for (uint32_t i = 0; i < group->subgroup_count; i++)
    {
      sched_group_subgroups (group)[i].tasks = order;
      order += sched_group_subgroups (group)[i].task_count;
      sched_group_subgroups (group)[i].task_count = 0;
    }
  for (uint32_t i = 0; i < group->task_count; i++)
    {
      struct sched_subgroup *subgroup = &sched_group_subgroups (
          group)[group->tasks[sorted[i].task].subgroup];

      subgroup->tasks[subgroup->task_count++] = sorted[i].task;
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
  struct sched_task_class **task_classes = NULL;
  uint16_t *subgroup_of = NULL;
  struct sort_key *sorted = NULL;
  struct snipe_task_group *group = NULL;
  uint32_t subgroup_count;
  size_t size;
  int code = SNIPE_OK;

  *out = NULL;
  if (count == 0 || count > UINT16_MAX || options->team >= sched->teams->len)
    return snipe_status_set (SNIPE_E_INVALID,
                             "invalid group of %u tasks for team id %u", count,
                             options->team);
  if (count > sched->options.queue_max
      || sched->queued > sched->options.queue_max - count)
    return snipe_status_set (
        SNIPE_E_OVERLOAD,
        "%u tasks are queued, %u more exceed the limit of %u", sched->queued,
        count, sched->options.queue_max);
  task_classes = malloc (count * sizeof (struct sched_task_class *));
  subgroup_of = malloc (count * sizeof *subgroup_of);
  sorted = malloc (count * sizeof *sorted);
  if (task_classes == NULL || subgroup_of == NULL || sorted == NULL)
    {
      code = snipe_status_set (SNIPE_E_NOMEM, "out of memory for %u tasks",
                               count);
      goto cleanup;
    }
  subgroup_count
      = find_task_classes (sched, options, task_classes, subgroup_of);
  size = align8 (sizeof *group)
         + subgroup_count * sizeof (struct sched_subgroup)
         + count * sizeof (struct sched_task) + count * sizeof (uint32_t);
  group = calloc (1, size);
  if (group == NULL)
    {
      for (uint32_t i = 0; i < subgroup_count; i++)
        task_classes[i]->subgroup_count--;
      code = snipe_status_set (SNIPE_E_NOMEM, "out of memory for %u tasks",
                               count);
      goto cleanup;
    }
  group->expiry.index = SCHED_HEAP_INDEX_NONE;
  group->ctx = options->ctx;
  group->wait_max = options->wait_max;
  group->speed_min = options->speed_min;
  group->task_count = (uint16_t)count;
  group->subgroup_count = (uint16_t)subgroup_count;
  group->team = options->team;
  group->counts_against_quota = options->counts_against_quota;
  for (uint32_t i = 0; i < count; i++)
    {
      struct sched_task *task = &group->tasks[i];

      task->queued_at = now;
      task->declared_us = (float)MAX (options->tasks[i].declared_duration, 1);
      task->kind = options->tasks[i].kind;
      task->expected_us = sched_learn_expected_us (
          sched, task->kind, options->tasks[i].declared_duration);
      task->subgroup = subgroup_of[i];
      task->state = SNIPE_TASK_QUEUED;
      group->remaining_us += (double)task->expected_us;
      sorted[i] = (struct sort_key){ task->expected_us, i };
    }
  if (count > 1)
    qsort (sorted, count, sizeof *sorted, compare_expected_descending);
  fill_subgroups (
      group, sorted,
      (uint32_t *)(sched_group_subgroups (group) + subgroup_count));
  team = sched_team_at (sched, options->team);
  for (uint32_t i = 0; i < subgroup_count; i++)
    {
      struct sched_subgroup *subgroup = &sched_group_subgroups (group)[i];

      subgroup->group = group;
      subgroup->class_queue = class_queue_get (team, task_classes[i]);
      subgroup->node.index = SCHED_HEAP_INDEX_NONE;
      subgroup->node.seq = sched->next_seq++;
      change_queued (sched, subgroup, (int)subgroup->task_count);
    }
  if (group->wait_max > 0)
    {
      group->expiry.key = (double)(now + group->wait_max);
      sched_heap_push (&sched->expiries, &group->expiry);
    }
  *out = group;
cleanup:
  free (task_classes);
  free (subgroup_of);
  free (sorted);
  return code;
}

uint32_t
snipe_sched_group_cancel (struct snipe_sched *sched,
                          struct snipe_task_group *group, uint32_t *removed)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < group->subgroup_count; i++)
    {
      struct sched_subgroup *subgroup = &sched_group_subgroups (group)[i];

      while (subgroup->queued > 0)
        {
          uint32_t task = sched_subgroup_dequeue (sched, subgroup, 0);

          group->tasks[task].state = SNIPE_TASK_ENDED;
          group->remaining_us -= (double)group->tasks[task].expected_us;
          if (removed != NULL)
            removed[count] = task;
          count++;
        }
    }
  return count;
}

void
snipe_sched_group_free (struct snipe_sched *sched,
                        struct snipe_task_group *group)
{
  if (group == NULL)
    return;
  snipe_sched_group_cancel (sched, group, NULL);
  for (uint32_t i = 0; i < group->subgroup_count; i++)
    sched_group_subgroups (group)[i].class_queue->task_class->subgroup_count--;
  free (group);
}

void *
snipe_task_group_ctx (const struct snipe_task_group *group)
{
  return group->ctx;
}

enum snipe_task_state
snipe_task_group_task_state (const struct snipe_task_group *group,
                             uint32_t task)
{
  return (enum snipe_task_state)group->tasks[task].state;
}

/* @return whether task @p a comes before @p b in the order of
 * compare_expected_descending (). */
static bool
longer_first (const struct snipe_task_group *group, uint32_t a, uint32_t b)
{
  float x = group->tasks[a].expected_us;
  float y = group->tasks[b].expected_us;

  return x > y || (x >= y && a < b);
}

void
snipe_sched_requeue (struct snipe_sched *sched, struct snipe_task_group *group,
                     uint32_t task, snipe_time now)
{
  struct sched_task *entry = &group->tasks[task];
  struct sched_subgroup *subgroup
      = &sched_group_subgroups (group)[entry->subgroup];
  uint32_t *first;
  uint32_t position = 0;

  if (entry->state != SNIPE_TASK_ENDED)
    return;
  entry->state = SNIPE_TASK_QUEUED;
  entry->queued_at = now;
  /* The task was dequeued before, so there is an entry in front of head. */
  subgroup->head--;
  first = subgroup->tasks + subgroup->head;
  while (position < subgroup->queued
         && longer_first (group, first[position + 1], task))
    {
      first[position] = first[position + 1];
      position++;
    }
  first[position] = task;
  sched_group_reduce_remaining (group, -(double)entry->expected_us);
  change_queued (sched, subgroup, 1);
  if (group->wait_max > 0 && group->expiry.index == SCHED_HEAP_INDEX_NONE)
    {
      group->expiry.key = (double)(now + group->wait_max);
      sched_heap_push (&sched->expiries, &group->expiry);
    }
}

bool
sched_expire_next (struct snipe_sched *sched, snipe_time now,
                   struct snipe_decision *out)
{
  while (sched->expiries.count > 0
         && sched->expiries.nodes[0]->key <= (double)now)
    {
      struct snipe_task_group *group
          = (struct snipe_task_group *)((char *)sched->expiries.nodes[0]
                                        - offsetof (struct snipe_task_group,
                                                    expiry));
      snipe_time earliest = INT64_MAX;

      for (uint32_t i = 0; i < group->subgroup_count; i++)
        {
          struct sched_subgroup *subgroup = &sched_group_subgroups (group)[i];

          for (uint32_t j = 0; j < subgroup->queued; j++)
            {
              uint32_t task = subgroup->tasks[subgroup->head + j];
              struct sched_task *entry = &group->tasks[task];

              if (entry->queued_at + group->wait_max > now)
                {
                  earliest
                      = MIN (earliest, entry->queued_at + group->wait_max);
                  continue;
                }
              sched_subgroup_dequeue (sched, subgroup, j);
              entry->state = SNIPE_TASK_ENDED;
              sched_group_reduce_remaining (group, (double)entry->expected_us);
              *out = (struct snipe_decision){
                .kind = SNIPE_DECISION_EXPIRE,
                .reason = SNIPE_REASON_WAITED,
                .group = group,
                .u.expire.task = task,
              };
              return true;
            }
        }
      group->expiry.key = (double)earliest;
      sched_heap_update (&sched->expiries, &group->expiry);
    }
  return false;
}
