#include <math.h>

#include "sched_private.h"

/* Limit on the batches of one task group that are sent to faster peers, so
 * that tasks that the peers decline are not sent back and forth without end.
 */
#define FASTER_PEER_OFFLOADS_MAX 8
/* A peer reports only the speed of its fastest free endpoint. The speeds of
 * its other free slots are assumed to fall linearly by this fraction. */
#define PEER_SPEED_RANGE 0.5

static struct sched_team *
pick_team (struct snipe_sched *sched)
{
  struct sched_team *best = NULL;

  if (sched->queued == 0 || sched->runnable_classes == 0)
    return NULL;
  for (guint i = 0; i < sched->teams->len; i++)
    {
      struct sched_team *team = sched_team_at (sched, i);
      uint64_t waiting = team->quota_used < team->share
                             ? team->waiting_classes
                             : team->waiting_classes_no_quota;

      if ((waiting & sched->runnable_classes) == 0
          || team->skipped_round == sched->round)
        continue;
      if (best == NULL || team->load_per_weight < best->load_per_weight
          || (team->load_per_weight <= best->load_per_weight
              && team->starts_per_weight < best->starts_per_weight))
        best = team;
    }
  return best;
}

/* @return the subgroup with the least remaining work among the team's queues
 * that are neither blocked nor over the quota share. */
static struct sched_subgroup *
pick_subgroup (const struct sched_team *team)
{
  const struct sched_heap_node *best = NULL;

  for (guint i = 0; i < team->class_queues->len; i++)
    {
      const struct sched_class_queue *queue
          = g_ptr_array_index (team->class_queues, i);
      const struct sched_heap_node *first;

      if (queue->subgroups.count == 0 || queue->task_class->blocked
          || (queue->task_class->key.counts_against_quota
              && team->quota_used >= team->share))
        continue;
      first = queue->subgroups.nodes[0];
      if (best == NULL || first->key < best->key
          || (first->key <= best->key && first->seq < best->seq))
        best = first;
    }
  if (best == NULL)
    return NULL;
  return (struct sched_subgroup *)((char *)best
                                   - offsetof (struct sched_subgroup, node));
}

/* @return the first endpoint of a speed bucket that has free capacity for the
 * class. */
static struct snipe_sched_endpoint *
first_in_bucket (const struct sched_domain *domain, int bucket,
                 const struct sched_task_class_key *key)
{
  struct snipe_sched_endpoint *endpoint = domain->head[bucket];

  while (endpoint != NULL && !sched_endpoint_can_hold (endpoint, key))
    endpoint = endpoint->next;
  return endpoint;
}

/* @return the fastest free endpoint of a domain that has free capacity for the
 * class and is in a faster speed bucket than @p above. */
static struct snipe_sched_endpoint *
fastest_in_domain (const struct sched_domain *domain, int above,
                   const struct sched_task_class_key *key)
{
  for (int word = SCHED_SPEED_BITMAP_WORDS - 1; word >= 0; word--)
    {
      uint64_t bits = domain->bucket_bitmap[word];

      while (bits != 0)
        {
          int bit = 63 - __builtin_clzll (bits);
          struct snipe_sched_endpoint *endpoint;

          if (word * 64 + bit <= above)
            return NULL;
          endpoint = first_in_bucket (domain, word * 64 + bit, key);
          if (endpoint != NULL)
            return endpoint;
          bits &= ~(UINT64_C (1) << bit);
        }
    }
  return NULL;
}

/* @return the slowest free endpoint of a domain that has free capacity for the
 * class, in a speed bucket from @p least on and slower than @p below. */
static struct snipe_sched_endpoint *
slowest_in_domain (const struct sched_domain *domain, int least, int below,
                   const struct sched_task_class_key *key)
{
  for (int word = least / 64; word < SCHED_SPEED_BITMAP_WORDS; word++)
    {
      uint64_t bits = domain->bucket_bitmap[word];

      if (word == least / 64)
        bits &= UINT64_MAX << (least % 64);
      for (; bits != 0; bits &= bits - 1)
        {
          int bucket = word * 64 + __builtin_ctzll (bits);
          struct snipe_sched_endpoint *endpoint;

          if (bucket >= below)
            return NULL;
          endpoint = first_in_bucket (domain, bucket, key);
          if (endpoint != NULL)
            return endpoint;
        }
    }
  return NULL;
}

static struct snipe_sched_endpoint *
fastest_free (const struct snipe_sched *sched,
              const struct sched_task_class *task_class)
{
  struct snipe_sched_endpoint *best = NULL;
  uint64_t domains = task_class->key.domains & sched->domains_free;

  if (task_class->reserved_endpoint != NULL
      && sched_endpoint_can_hold (task_class->reserved_endpoint,
                                  &task_class->key))
    return task_class->reserved_endpoint;
  for (; domains != 0; domains &= domains - 1)
    {
      struct snipe_sched_endpoint *endpoint = fastest_in_domain (
          sched->domains[__builtin_ctzll (domains)],
          best == NULL ? -1 : best->free_bucket, &task_class->key);

      if (endpoint != NULL)
        best = endpoint;
    }
  return best;
}

/* @return the slowest free endpoint on which the subgroup's next task is
 * expected to end before the started tasks of its group; NULL if none. */
static struct snipe_sched_endpoint *
slowest_in_time (const struct snipe_sched *sched,
                 const struct sched_subgroup *subgroup, snipe_time now)
{
  const struct snipe_task_group *group = subgroup->group;
  const struct sched_task_class_key *key
      = &subgroup->class_queue->task_class->key;
  struct snipe_sched_endpoint *best = NULL;
  uint64_t domains = key->domains & sched->domains_free;
  const struct sched_task *task
      = &group->tasks[subgroup->tasks[subgroup->head]];
  double expected
      = (double)task->expected_us * sched_learn_margin (sched, task->kind);
  double time_left = group->expected_end - (double)now;
  int least;

  if (time_left <= expected * 0.1)
    return NULL;
  least = sched_speed_bucket (log (expected / time_left)) + 1;
  for (; domains != 0 && least < SCHED_SPEED_BUCKETS; domains &= domains - 1)
    {
      struct snipe_sched_endpoint *endpoint = slowest_in_domain (
          sched->domains[__builtin_ctzll (domains)], least,
          best == NULL ? SCHED_SPEED_BUCKETS : best->free_bucket, key);

      if (endpoint != NULL)
        best = endpoint;
    }
  return best;
}

static bool
has_healthy_endpoint (const struct snipe_sched *sched,
                      const struct sched_task_class *task_class)
{
  for (guint i = 0; i < sched->endpoints->len; i++)
    {
      const struct snipe_sched_endpoint *endpoint
          = g_ptr_array_index (sched->endpoints, i);

      if (!endpoint->removed && !endpoint->info.draining
          && !endpoint->suspended
          && sched_endpoint_could_hold (endpoint, &task_class->key))
        return true;
    }
  return false;
}

/* @return a suspended endpoint whose probe is due, NULL if none. A task that
 * is not idempotent is only used as a probe if @p last_resort, or if the probe
 * has been due for as long as the longest suspension. */
static struct snipe_sched_endpoint *
find_due_probe (const struct snipe_sched *sched,
                const struct sched_task_class *task_class, bool last_resort,
                snipe_time now)
{
  for (guint i = 0; i < sched->probe_ready_endpoints->len; i++)
    {
      struct snipe_sched_endpoint *endpoint
          = g_ptr_array_index (sched->probe_ready_endpoints, i);

      if (endpoint->probe_running || endpoint->info.draining
          || !sched_endpoint_can_hold (endpoint, &task_class->key))
        continue;
      if (task_class->key.idempotent || last_resort
          || now - endpoint->probe_at >= sched->options.suspend_max)
        return endpoint;
    }
  return NULL;
}

static struct snipe_sched_endpoint *
pick_baseline (struct snipe_sched *sched,
               const struct sched_task_class *task_class, snipe_time now)
{
  uint32_t count = sched->endpoints->len;
  struct snipe_sched_endpoint *best = NULL;
  uint32_t start;

  if (count == 0)
    return NULL;
  if (sched->options.policy == SNIPE_POLICY_LEAST_STALE
      && now >= sched->stale_report_at)
    {
      for (uint32_t i = 0; i < count; i++)
        {
          struct snipe_sched_endpoint *endpoint
              = g_ptr_array_index (sched->endpoints, i);

          endpoint->running_stale = endpoint->running;
        }
      sched->stale_report_at = now + SCHED_STALE_REPORT_INTERVAL;
    }
  start = sched->options.policy == SNIPE_POLICY_ROUND_ROBIN
              ? sched->round_robin_next++ % count
              : (uint32_t)(sched_random (sched) % count);
  for (uint32_t i = 0; i < count; i++)
    {
      struct snipe_sched_endpoint *endpoint
          = g_ptr_array_index (sched->endpoints, (start + i) % count);

      if (!sched_endpoint_usable (endpoint, now)
          || !sched_endpoint_could_hold (endpoint, &task_class->key))
        continue;
      if (sched->options.policy != SNIPE_POLICY_LEAST_STALE)
        return endpoint;
      if (best == NULL || endpoint->running_stale < best->running_stale)
        best = endpoint;
    }
  return best;
}

static void
count_active (struct snipe_sched *sched, struct snipe_task_group *group)
{
  struct sched_team *team = sched_team_at (sched, group->team);

  team->active++;
  if (group->counts_against_quota)
    team->quota_used++;
  sched_team_update_load (team);
  team->starts_per_weight += 1.0 / team->weight;
  sched->current_starts_per_weight = team->starts_per_weight;
}

static bool
start_task (struct snipe_sched *sched, struct sched_subgroup *subgroup,
            struct snipe_sched_endpoint *endpoint, enum snipe_reason reason,
            snipe_time now, struct snipe_decision *out)
{
  struct snipe_task_group *group = subgroup->group;
  struct sched_task_class *task_class = subgroup->class_queue->task_class;
  uint32_t task = sched_subgroup_dequeue (sched, subgroup, 0);
  struct sched_task *entry = &group->tasks[task];

  entry->state = SNIPE_TASK_RUNNING;
  entry->endpoint = endpoint;
  entry->probe = reason == SNIPE_REASON_PROBE;
  group->expected_end = MAX (
      group->expected_end,
      (double)now + (double)entry->expected_us / (double)endpoint->speed);
  task_class->starved_since = 0;
  if (task_class->reserved_endpoint != NULL
      && task_class->reserved_endpoint != endpoint)
    sched_endpoint_unreserve (sched, task_class->reserved_endpoint, now);
  if (entry->probe)
    endpoint->probe_running = true;
  sched_endpoint_acquire (sched, endpoint, &task_class->key.needs, now);
  count_active (sched, group);
  out->kind = SNIPE_DECISION_START;
  out->reason = reason;
  out->group = group;
  out->u.start.task = task;
  out->u.start.endpoint = endpoint;
  return true;
}

static double
peer_slot_speed (const struct sched_peer *peer, uint32_t taken)
{
  double fraction_taken = (double)taken / MAX (peer->load.free_slots, 1);

  return MAX ((double)peer->load.best_speed, 0.1)
         * (1 - PEER_SPEED_RANGE * fraction_taken);
}

static void
offload_task (struct snipe_sched *sched, struct sched_subgroup *subgroup,
              uint32_t position, double speed, snipe_time now,
              struct snipe_decision *out)
{
  struct snipe_task_group *group = subgroup->group;
  uint32_t task = sched_subgroup_dequeue (sched, subgroup, position);
  struct sched_task *entry = &group->tasks[task];

  entry->state = SNIPE_TASK_OFFLOADED;
  group->expected_end = MAX (group->expected_end,
                             (double)now + (double)entry->expected_us / speed);
  out->u.offload.tasks[out->u.offload.count++] = task;
  count_active (sched, group);
}

static bool
offload_batch (struct snipe_sched *sched, struct sched_subgroup *subgroup,
               struct sched_peer *peer, struct snipe_sched_endpoint *local,
               snipe_time now, struct snipe_decision *out)
{
  struct snipe_task_group *group = subgroup->group;
  const struct sched_team *team = sched_team_at (sched, group->team);
  uint32_t limit = MIN (peer->load.free_slots, SNIPE_OFFLOAD_TASKS_MAX);

  if (group->counts_against_quota)
    limit = MIN (limit, team->share - team->quota_used);
  out->kind = SNIPE_DECISION_OFFLOAD;
  out->reason
      = local == NULL ? SNIPE_REASON_HOME_FULL : SNIPE_REASON_PEER_FASTER;
  out->group = group;
  out->u.offload.incarnation = peer->load.incarnation;
  out->u.offload.count = 0;
  while (subgroup->queued > 0 && out->u.offload.count < limit)
    {
      double speed = peer_slot_speed (peer, out->u.offload.count);

      if (local != NULL && out->u.offload.count > 0
          && (speed < sched->options.offload_min_speedup * (double)local->speed
              || slowest_in_time (sched, subgroup, now) != NULL))
        break;
      offload_task (sched, subgroup, 0, speed, now, out);
    }
  if (local != NULL)
    group->faster_peer_offloads++;
  out->u.offload.speed_min
      = local == NULL
            ? 0
            : (float)sched->options.offload_min_speedup * local->speed;
  peer->load.best_speed = (float)peer_slot_speed (peer, out->u.offload.count);
  sched_peer_reduce_free_slots (sched, peer, out->u.offload.count);
  return true;
}

/* Returns a task to the peer that offloaded it, which has an endpoint as fast
 * as the free ones here. */
static bool
decline_task (struct snipe_sched *sched, struct sched_subgroup *subgroup,
              struct snipe_decision *out)
{
  struct snipe_task_group *group = subgroup->group;
  uint32_t task = sched_subgroup_dequeue (sched, subgroup, 0);

  group->tasks[task].state = SNIPE_TASK_ENDED;
  sched_group_reduce_remaining (group, (double)group->tasks[task].expected_us);
  out->kind = SNIPE_DECISION_EXPIRE;
  out->reason = SNIPE_REASON_TOO_SLOW;
  out->group = group;
  out->u.expire.task = task;
  return true;
}

static bool
place_pooled (struct snipe_sched *sched, struct sched_subgroup *subgroup,
              snipe_time now, struct snipe_decision *out)
{
  struct sched_task_class *task_class = subgroup->class_queue->task_class;
  struct snipe_sched_endpoint *endpoint;
  struct sched_peer *peer = NULL;

  if (sched->probe_ready_endpoints->len > 0)
    {
      endpoint = find_due_probe (sched, task_class, false, now);
      if (endpoint != NULL)
        return start_task (sched, subgroup, endpoint, SNIPE_REASON_PROBE, now,
                           out);
    }
  endpoint = slowest_in_time (sched, subgroup, now);
  if (endpoint != NULL)
    return start_task (sched, subgroup, endpoint, SNIPE_REASON_IN_TIME, now,
                       out);
  endpoint = fastest_free (sched, task_class);
  if (endpoint != NULL && endpoint->speed < subgroup->group->speed_min)
    return decline_task (sched, subgroup, out);
  if (task_class->key.offloadable && sched->peer_best_speed > 0
      && (endpoint == NULL
          || (subgroup->group->faster_peer_offloads < FASTER_PEER_OFFLOADS_MAX
              && (double)sched->peer_best_speed
                     >= sched->options.offload_min_speedup
                            * (double)endpoint->speed)))
    peer = sched_peer_find (sched, &task_class->key,
                            endpoint == NULL ? subgroup->queued : 0);
  if (peer != NULL
      && (endpoint == NULL
          || (double)peer->load.best_speed
                 >= sched->options.offload_min_speedup
                        * (double)endpoint->speed))
    return offload_batch (sched, subgroup, peer, endpoint, now, out);
  if (endpoint != NULL)
    return start_task (sched, subgroup, endpoint, SNIPE_REASON_FASTEST_FREE,
                       now, out);
  if (sched->probe_ready_endpoints->len > 0
      && !has_healthy_endpoint (sched, task_class))
    {
      endpoint = find_due_probe (sched, task_class, true, now);
      if (endpoint != NULL)
        return start_task (sched, subgroup, endpoint, SNIPE_REASON_PROBE, now,
                           out);
    }
  return false;
}

static bool
place_task (struct snipe_sched *sched, struct sched_subgroup *subgroup,
            snipe_time now, struct snipe_decision *out)
{
  struct sched_task_class *task_class = subgroup->class_queue->task_class;
  struct snipe_sched_endpoint *endpoint;

  switch (sched->options.policy)
    {
    case SNIPE_POLICY_RANDOM:
    case SNIPE_POLICY_ROUND_ROBIN:
    case SNIPE_POLICY_LEAST_STALE:
      endpoint = pick_baseline (sched, task_class, now);
      if (endpoint != NULL)
        return start_task (sched, subgroup, endpoint, SNIPE_REASON_BASELINE,
                           now, out);
      endpoint = find_due_probe (sched, task_class, true, now);
      if (endpoint != NULL)
        return start_task (sched, subgroup, endpoint, SNIPE_REASON_PROBE, now,
                           out);
      return false;
    case SNIPE_POLICY_POOLED:
    default:
      return place_pooled (sched, subgroup, now, out);
    }
}

/* Reserves an endpoint for each task class that has been starved for too
 * long. */
static void
reserve_for_starved (struct snipe_sched *sched, snipe_time now)
{
  uint32_t reservations_max = 1 + sched->endpoints->len / 8;

  if (now < sched->starvation_check_at)
    return;
  sched->starvation_check_at = INT64_MAX;
  for (guint i = 0; i < sched->task_classes->len; i++)
    {
      struct sched_task_class *task_class
          = g_ptr_array_index (sched->task_classes, i);
      struct snipe_sched_endpoint *best = NULL;

      if (task_class->starved_since == 0 || task_class->queued == 0
          || task_class->reserved_endpoint != NULL)
        continue;
      if (now - task_class->starved_since < SCHED_STARVATION_TIMEOUT
          || sched->reservations >= reservations_max)
        {
          sched->starvation_check_at
              = MIN (sched->starvation_check_at,
                     MAX (task_class->starved_since + SCHED_STARVATION_TIMEOUT,
                          now + 100 * SNIPE_MS));
          continue;
        }
      for (guint j = 0; j < sched->endpoints->len; j++)
        {
          struct snipe_sched_endpoint *endpoint
              = g_ptr_array_index (sched->endpoints, j);

          if (sched_endpoint_usable (endpoint, now)
              && endpoint->reserved_for == NULL
              && sched_endpoint_could_hold (endpoint, &task_class->key)
              && (best == NULL || endpoint->running < best->running))
            best = endpoint;
        }
      if (best != NULL)
        sched_endpoint_reserve (sched, best, task_class, now);
      else
        sched->starvation_check_at = now + 100 * SNIPE_MS;
    }
}

bool
snipe_sched_next (struct snipe_sched *sched, snipe_time now,
                  struct snipe_decision *out)
{
  sched_endpoints_run_timers (sched, now);
  if (sched_expire_next (sched, now, out))
    return true;
  reserve_for_starved (sched, now);
  sched->round++;
  for (;;)
    {
      struct sched_team *team = pick_team (sched);
      struct sched_subgroup *subgroup;

      if (team == NULL)
        return false;
      subgroup = pick_subgroup (team);
      if (subgroup == NULL)
        team->skipped_round = sched->round;
      else if (place_task (sched, subgroup, now, out))
        return true;
      else
        sched_task_class_block (sched, subgroup->class_queue->task_class);
    }
}

snipe_time
snipe_sched_wakeup_time (const struct snipe_sched *sched, snipe_time now)
{
  double at = 9e18;

  if (sched->timers.count > 0)
    at = MIN (at, sched->timers.nodes[0]->key);
  if (sched->expiries.count > 0)
    at = MIN (at, sched->expiries.nodes[0]->key);
  if (sched->starvation_check_at != INT64_MAX)
    at = MIN (at, (double)sched->starvation_check_at);
  if (at >= 9e18)
    return INT64_MAX;
  return MAX ((snipe_time)at, now);
}
