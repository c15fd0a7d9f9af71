#include <math.h>

#include "sched_private.h"

/* Batches of one work to faster peers; bounds repeated declines. */
#define PASSES_FASTER_MAX 8
/* A peer reports only its fastest free endpoint. Its other free slots are
 * taken to fall evenly to this part below it. */
#define PEER_SPEED_FALL 0.5

static struct sched_team *
pick_team (struct snipe_sched *sched)
{
  struct sched_team *best = NULL;

  if (sched->queued == 0 || sched->ready == 0)
    return NULL;
  for (guint i = 0; i < sched->teams->len; i++)
    {
      struct sched_team *team = sched_team_at (sched, i);
      uint64_t waiting
          = team->used < team->share ? team->shapes : team->shapes_free;

      if ((waiting & sched->ready) == 0 || team->skipped == sched->stamp)
        continue;
      if (best == NULL || team->key < best->key
          || (team->key <= best->key && team->served < best->served))
        best = team;
    }
  return best;
}

/* @return the part with least remaining work among the team's open lanes. */
static struct sched_part *
pick_part (const struct sched_team *team)
{
  const struct sched_node *best = NULL;

  for (guint i = 0; i < team->lanes->len; i++)
    {
      const struct sched_lane *lane = g_ptr_array_index (team->lanes, i);
      const struct sched_node *top;

      if (lane->parts.count == 0 || lane->shape->blocked
          || (lane->shape->key.counts_quota && team->used >= team->share))
        continue;
      top = lane->parts.nodes[0];
      if (best == NULL || top->key < best->key
          || (top->key <= best->key && top->seq < best->seq))
        best = top;
    }
  if (best == NULL)
    return NULL;
  return (struct sched_part *)((char *)best
                               - offsetof (struct sched_part, node));
}

/* @return the first endpoint of a speed class that holds the shape. */
static struct snipe_sched_endpoint *
first_in (const struct sched_domain *domain, int class,
          const struct sched_shape_key *key)
{
  struct snipe_sched_endpoint *endpoint = domain->head[class];

  while (endpoint != NULL && !sched_endpoint_can_hold (endpoint, key))
    endpoint = endpoint->next;
  return endpoint;
}

/* @return the fastest free endpoint of a domain that holds the shape and is
 * faster than class @p above. */
static struct snipe_sched_endpoint *
fastest_in (const struct sched_domain *domain, int above,
            const struct sched_shape_key *key)
{
  for (int word = SCHED_CLASS_WORDS - 1; word >= 0; word--)
    {
      uint64_t bits = domain->bits[word];

      while (bits != 0)
        {
          int bit = 63 - __builtin_clzll (bits);
          struct snipe_sched_endpoint *endpoint;

          if (word * 64 + bit <= above)
            return NULL;
          endpoint = first_in (domain, word * 64 + bit, key);
          if (endpoint != NULL)
            return endpoint;
          bits &= ~(UINT64_C (1) << bit);
        }
    }
  return NULL;
}

/* @return the slowest free endpoint of a domain that holds the shape, from
 * class @p least on and slower than class @p below. */
static struct snipe_sched_endpoint *
slowest_in (const struct sched_domain *domain, int least, int below,
            const struct sched_shape_key *key)
{
  for (int word = least / 64; word < SCHED_CLASS_WORDS; word++)
    {
      uint64_t bits = domain->bits[word];

      if (word == least / 64)
        bits &= UINT64_MAX << (least % 64);
      for (; bits != 0; bits &= bits - 1)
        {
          int class = word * 64 + __builtin_ctzll (bits);
          struct snipe_sched_endpoint *endpoint;

          if (class >= below)
            return NULL;
          endpoint = first_in (domain, class, key);
          if (endpoint != NULL)
            return endpoint;
        }
    }
  return NULL;
}

static struct snipe_sched_endpoint *
fastest_free (const struct snipe_sched *sched, const struct sched_shape *shape)
{
  struct snipe_sched_endpoint *best = NULL;
  uint64_t domains = shape->key.domains & sched->domains_free;

  if (shape->reserved != NULL
      && sched_endpoint_can_hold (shape->reserved, &shape->key))
    return shape->reserved;
  for (; domains != 0; domains &= domains - 1)
    {
      struct snipe_sched_endpoint *endpoint
          = fastest_in (sched->domains[__builtin_ctzll (domains)],
                        best == NULL ? -1 : best->free_class, &shape->key);

      if (endpoint != NULL)
        best = endpoint;
    }
  return best;
}

/* @return the slowest free endpoint on which the part's next task ends before
 * the tasks of its work that were started; NULL if there is none. */
static struct snipe_sched_endpoint *
slowest_enough (const struct snipe_sched *sched, const struct sched_part *part,
                snipe_time now)
{
  const struct snipe_task_group *work = part->work;
  const struct sched_shape_key *key = &part->lane->shape->key;
  struct snipe_sched_endpoint *best = NULL;
  uint64_t domains = key->domains & sched->domains_free;
  const struct sched_task *task = &work->tasks[part->order[part->head]];
  double expected
      = (double)task->expected * sched_learn_margin (sched, task->kind);
  double left = work->finish - (double)now;
  int least;

  if (left <= expected * 0.1)
    return NULL;
  least = sched_speed_class (log (expected / left)) + 1;
  for (; domains != 0 && least < SCHED_CLASSES; domains &= domains - 1)
    {
      struct snipe_sched_endpoint *endpoint
          = slowest_in (sched->domains[__builtin_ctzll (domains)], least,
                        best == NULL ? SCHED_CLASSES : best->free_class, key);

      if (endpoint != NULL)
        best = endpoint;
    }
  return best;
}

static bool
any_healthy (const struct snipe_sched *sched, const struct sched_shape *shape)
{
  for (guint i = 0; i < sched->endpoints->len; i++)
    {
      const struct snipe_sched_endpoint *endpoint
          = g_ptr_array_index (sched->endpoints, i);

      if (!endpoint->dropped && !endpoint->info.draining
          && !endpoint->suspended
          && sched_endpoint_could_hold (endpoint, &shape->key))
        return true;
    }
  return false;
}

/* @return a suspended endpoint whose probe is due. A task that must not run
 * twice is only used when @p last_resort, or when no other task has come for
 * as long as the longest suspension. */
static struct snipe_sched_endpoint *
probe_due (const struct snipe_sched *sched, const struct sched_shape *shape,
           bool last_resort, snipe_time now)
{
  for (guint i = 0; i < sched->probes->len; i++)
    {
      struct snipe_sched_endpoint *endpoint
          = g_ptr_array_index (sched->probes, i);

      if (endpoint->probing || endpoint->info.draining
          || !sched_endpoint_can_hold (endpoint, &shape->key))
        continue;
      if (shape->key.idempotent || last_resort
          || now - endpoint->retry_at >= sched->options.suspend_max)
        return endpoint;
    }
  return NULL;
}

static struct snipe_sched_endpoint *
pick_baseline (struct snipe_sched *sched, const struct sched_shape *shape,
               snipe_time now)
{
  uint32_t count = sched->endpoints->len;
  struct snipe_sched_endpoint *best = NULL;
  uint32_t start;

  if (count == 0)
    return NULL;
  if (sched->options.policy == SNIPE_POLICY_LEAST_STALE
      && now >= sched->stale_at)
    {
      for (uint32_t i = 0; i < count; i++)
        {
          struct snipe_sched_endpoint *endpoint
              = g_ptr_array_index (sched->endpoints, i);

          endpoint->running_stale = endpoint->running;
        }
      sched->stale_at = now + SCHED_STALE_AGE;
    }
  start = sched->options.policy == SNIPE_POLICY_ROUND_ROBIN
              ? sched->next_endpoint++ % count
              : (uint32_t)(sched_random (sched) % count);
  for (uint32_t i = 0; i < count; i++)
    {
      struct snipe_sched_endpoint *endpoint
          = g_ptr_array_index (sched->endpoints, (start + i) % count);

      if (!sched_endpoint_usable (endpoint, now)
          || !sched_endpoint_could_hold (endpoint, &shape->key))
        continue;
      if (sched->options.policy != SNIPE_POLICY_LEAST_STALE)
        return endpoint;
      if (best == NULL || endpoint->running_stale < best->running_stale)
        best = endpoint;
    }
  return best;
}

static void
count_active (struct snipe_sched *sched, struct snipe_task_group *work)
{
  struct sched_team *team = sched_team_at (sched, work->team);

  team->active++;
  if (work->counts_quota)
    team->used++;
  sched_team_rekey (team);
  team->served += 1.0 / team->weight;
  sched->served_now = team->served;
}

static bool
start (struct snipe_sched *sched, struct sched_part *part,
       struct snipe_sched_endpoint *endpoint, enum snipe_reason reason,
       snipe_time now, struct snipe_decision *out)
{
  struct snipe_task_group *work = part->work;
  struct sched_shape *shape = part->lane->shape;
  uint32_t task = sched_part_take (sched, part, 0);
  struct sched_task *entry = &work->tasks[task];

  entry->state = SNIPE_TASK_RUNNING;
  entry->endpoint = endpoint;
  entry->probe = reason == SNIPE_REASON_PROBE;
  work->finish
      = MAX (work->finish,
             (double)now + (double)entry->expected / (double)endpoint->speed);
  shape->passed_over = 0;
  if (shape->reserved != NULL && shape->reserved != endpoint)
    sched_endpoint_release (sched, shape->reserved, now);
  if (entry->probe)
    endpoint->probing = true;
  sched_endpoint_take (sched, endpoint, &shape->key.needs, now);
  count_active (sched, work);
  out->kind = SNIPE_DECISION_START;
  out->reason = reason;
  out->group = work;
  out->u.start.task = task;
  out->u.start.endpoint = endpoint;
  return true;
}

static double
peer_speed (const struct sched_peer *peer, uint32_t taken)
{
  double part_taken = (double)taken / MAX (peer->load.free_slots, 1);

  return MAX ((double)peer->load.best_speed, 0.1)
         * (1 - PEER_SPEED_FALL * part_taken);
}

static void
pass_task (struct snipe_sched *sched, struct sched_part *part, uint32_t place,
           double speed, snipe_time now, struct snipe_decision *out)
{
  struct snipe_task_group *work = part->work;
  uint32_t task = sched_part_take (sched, part, place);
  struct sched_task *entry = &work->tasks[task];

  entry->state = SNIPE_TASK_OFFLOADED;
  work->finish
      = MAX (work->finish, (double)now + (double)entry->expected / speed);
  out->u.offload.tasks[out->u.offload.count++] = task;
  count_active (sched, work);
}

static bool
pass (struct snipe_sched *sched, struct sched_part *part,
      struct sched_peer *peer, struct snipe_sched_endpoint *local,
      snipe_time now, struct snipe_decision *out)
{
  struct snipe_task_group *work = part->work;
  const struct sched_team *team = sched_team_at (sched, work->team);
  uint32_t limit = MIN (peer->load.free_slots, SNIPE_OFFLOAD_TASKS_MAX);

  if (work->counts_quota)
    limit = MIN (limit, team->share - team->used);
  out->kind = SNIPE_DECISION_OFFLOAD;
  out->reason
      = local == NULL ? SNIPE_REASON_HOME_FULL : SNIPE_REASON_PEER_FASTER;
  out->group = work;
  out->u.offload.incarnation = peer->load.incarnation;
  out->u.offload.count = 0;
  while (part->count > 0 && out->u.offload.count < limit)
    {
      double speed = peer_speed (peer, out->u.offload.count);

      if (local != NULL && out->u.offload.count > 0
          && (speed < sched->options.offload_min_speedup * (double)local->speed
              || slowest_enough (sched, part, now) != NULL))
        break;
      pass_task (sched, part, 0, speed, now, out);
    }
  if (local != NULL)
    work->passes_faster++;
  out->u.offload.speed_min
      = local == NULL
            ? 0
            : (float)sched->options.offload_min_speedup * local->speed;
  peer->load.best_speed = (float)peer_speed (peer, out->u.offload.count);
  sched_peer_used (sched, peer, out->u.offload.count);
  return true;
}

/* Gives a task back to the peer that passed it: the peer has an endpoint that
 * is as fast as what is free here. */
static bool
decline (struct snipe_sched *sched, struct sched_part *part,
         struct snipe_decision *out)
{
  struct snipe_task_group *work = part->work;
  uint32_t task = sched_part_take (sched, part, 0);

  work->tasks[task].state = SNIPE_TASK_ENDED;
  sched_work_shrink (work, (double)work->tasks[task].expected);
  out->kind = SNIPE_DECISION_EXPIRE;
  out->reason = SNIPE_REASON_TOO_SLOW;
  out->group = work;
  out->u.expire.task = task;
  return true;
}

static bool
place_pooled (struct snipe_sched *sched, struct sched_part *part,
              snipe_time now, struct snipe_decision *out)
{
  struct sched_shape *shape = part->lane->shape;
  struct snipe_sched_endpoint *endpoint;
  struct sched_peer *peer = NULL;

  if (sched->probes->len > 0)
    {
      endpoint = probe_due (sched, shape, false, now);
      if (endpoint != NULL)
        return start (sched, part, endpoint, SNIPE_REASON_PROBE, now, out);
    }
  endpoint = slowest_enough (sched, part, now);
  if (endpoint != NULL)
    return start (sched, part, endpoint, SNIPE_REASON_IN_TIME, now, out);
  endpoint = fastest_free (sched, shape);
  if (endpoint != NULL && endpoint->speed < part->work->speed_min)
    return decline (sched, part, out);
  if (shape->key.passable && sched->peer_best_speed > 0
      && (endpoint == NULL
          || (part->work->passes_faster < PASSES_FASTER_MAX
              && (double)sched->peer_best_speed
                     >= sched->options.offload_min_speedup
                            * (double)endpoint->speed)))
    peer = sched_peer_find (sched, &shape->key,
                            endpoint == NULL ? part->count : 0);
  if (peer != NULL
      && (endpoint == NULL
          || (double)peer->load.best_speed
                 >= sched->options.offload_min_speedup
                        * (double)endpoint->speed))
    return pass (sched, part, peer, endpoint, now, out);
  if (endpoint != NULL)
    return start (sched, part, endpoint, SNIPE_REASON_FASTEST_FREE, now, out);
  if (sched->probes->len > 0 && !any_healthy (sched, shape))
    {
      endpoint = probe_due (sched, shape, true, now);
      if (endpoint != NULL)
        return start (sched, part, endpoint, SNIPE_REASON_PROBE, now, out);
    }
  return false;
}

static bool
place (struct snipe_sched *sched, struct sched_part *part, snipe_time now,
       struct snipe_decision *out)
{
  struct sched_shape *shape = part->lane->shape;
  struct snipe_sched_endpoint *endpoint;

  switch (sched->options.policy)
    {
    case SNIPE_POLICY_RANDOM:
    case SNIPE_POLICY_ROUND_ROBIN:
    case SNIPE_POLICY_LEAST_STALE:
      endpoint = pick_baseline (sched, shape, now);
      if (endpoint != NULL)
        return start (sched, part, endpoint, SNIPE_REASON_BASELINE, now, out);
      endpoint = probe_due (sched, shape, true, now);
      if (endpoint != NULL)
        return start (sched, part, endpoint, SNIPE_REASON_PROBE, now, out);
      return false;
    case SNIPE_POLICY_POOLED:
    default:
      return place_pooled (sched, part, now, out);
    }
}

/* Keeps an endpoint for each shape that has been passed over too long. */
static void
reserve_starved (struct snipe_sched *sched, snipe_time now)
{
  uint32_t most = 1 + sched->endpoints->len / 8;

  if (now < sched->starved_at)
    return;
  sched->starved_at = INT64_MAX;
  for (guint i = 0; i < sched->shapes->len; i++)
    {
      struct sched_shape *shape = g_ptr_array_index (sched->shapes, i);
      struct snipe_sched_endpoint *best = NULL;

      if (shape->passed_over == 0 || shape->queued == 0
          || shape->reserved != NULL)
        continue;
      if (now - shape->passed_over < SCHED_STARVED_AGE
          || sched->reservations >= most)
        {
          sched->starved_at = MIN (sched->starved_at,
                                   MAX (shape->passed_over + SCHED_STARVED_AGE,
                                        now + 100 * SNIPE_MS));
          continue;
        }
      for (guint j = 0; j < sched->endpoints->len; j++)
        {
          struct snipe_sched_endpoint *endpoint
              = g_ptr_array_index (sched->endpoints, j);

          if (sched_endpoint_usable (endpoint, now)
              && endpoint->reserved_for == NULL
              && sched_endpoint_could_hold (endpoint, &shape->key)
              && (best == NULL || endpoint->running < best->running))
            best = endpoint;
        }
      if (best != NULL)
        sched_endpoint_reserve (sched, best, shape, now);
      else
        sched->starved_at = now + 100 * SNIPE_MS;
    }
}

bool
snipe_sched_next (struct snipe_sched *sched, snipe_time now,
                  struct snipe_decision *out)
{
  sched_endpoints_tick (sched, now);
  if (sched_expire_next (sched, now, out))
    return true;
  reserve_starved (sched, now);
  sched->stamp++;
  for (;;)
    {
      struct sched_team *team = pick_team (sched);
      struct sched_part *part;

      if (team == NULL)
        return false;
      part = pick_part (team);
      if (part == NULL)
        team->skipped = sched->stamp;
      else if (place (sched, part, now, out))
        return true;
      else
        sched_shape_block (sched, part->lane->shape);
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
  if (sched->starved_at != INT64_MAX)
    at = MIN (at, (double)sched->starved_at);
  if (at >= 9e18)
    return INT64_MAX;
  return MAX ((snipe_time)at, now);
}
