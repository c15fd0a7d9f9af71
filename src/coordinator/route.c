/*
 * Selects the pools to which the tasks of a job are sent. Does no I/O.
 *
 * The rules, by the load pattern that they handle:
 * - domains of unequal speed: short jobs go to a slow pool if they still meet
 *   their soft deadline there, which keeps the fast pools free for long jobs;
 * - wide jobs and bursts: a job for which no single pool has enough free
 *   capacity is spread over those that have some, before any of its tasks is
 *   queued;
 * - all pools full: the job is queued where it would end first, and is
 * rejected at once if that is after its hard deadline;
 * - many hosts that decide between two load reports (struct route_spread):
 *   each draws among equally good pools with a probability in proportion to
 *   their room. If all chose the pool with the most room, that pool would
 *   decline most of their batches (tests/coordinator/test_competing_hosts.c).
 */
#include "coordinator/private.h"

#include <math.h>
#include <string.h>

#include "snipe/status.h"

/* Declared durations are off by tens of percent. */
#define DURATION_MARGIN 1.15
/* Pools whose slowdown is within this factor of the best count as equally
 * fast. */
#define EQUAL_SPEED_FACTOR 1.3
/* Added for a pool of another domain than the caller's. Prefers the caller's
 * domain among equal pools, because a partition between domains loses the
 * tasks that were sent across it. */
#define REMOTE_PENALTY 0.25
/* Added for a fast pool; slow pools that meet the soft deadline are preferred.
 */
#define FAST_PENALTY 0.5

static uint32_t
free_task_slots (const struct pool_view *pool,
                 const struct snipe_capacity *task_resources)
{
  uint32_t count = 0;

  if (task_resources->cpu <= 0)
    return G_MAXUINT32 / 2;
  for (guint i = 0; i < pool->free_cpu->len; i++)
    count += (uint32_t)(g_array_index (pool->free_cpu, uint32_t, i)
                        / task_resources->cpu);
  return count;
}

static snipe_time
delay_of (int64_t backlog, int64_t total_cpu)
{
  if (total_cpu <= 0)
    return SNIPE_S;
  return backlog / total_cpu * SNIPE_MS
         + backlog % total_cpu * SNIPE_MS / total_cpu;
}

snipe_time
snipe_view_queueing_delay (const struct pool_view *pool)
{
  return delay_of (pool->backlog, pool->total_cpu);
}

snipe_time
snipe_view_urgent_delay (const struct pool_view *pool, uint32_t priority)
{
  int64_t backlog = MAX (pool->backlog, 0);

  /* What waits may have been reported before the backlog or after it. */
  for (uint32_t i = snipe_urgency_class (priority) + 1;
       i < SNIPE_URGENCY_CLASSES; i++)
    backlog -= MIN (pool->waiting[i], backlog);
  return delay_of (backlog, pool->total_cpu);
}

snipe_time
snipe_view_duration (const struct pool_view *pool,
                     const struct snipe_coordinator_job *job)
{
  return (snipe_time)((double)job->estimate * pool->slowdown);
}

double
snipe_coordinator_best_slowdown (const GPtrArray *pools, const char *service)
{
  double best = 0;

  for (guint i = 0; i < pools->len; i++)
    {
      const struct pool_view *pool = g_ptr_array_index (pools, i);

      if (strcmp (pool->id.service, service) == 0 && pool->owner != 0
          && pool->total_cpu > 0 && (best <= 0 || pool->slowdown < best))
        best = pool->slowdown;
    }
  return best <= 0 ? 1.0 : best;
}

struct candidate
{
  struct pool_view *pool;
  uint32_t free_slots;
  snipe_time wait;
  snipe_time end;      /**< of a task that is queued in the pool */
  bool meets_deadline; /**< a task that starts now meets the soft deadline */
  bool meets_queued;   /**< a task that is queued there meets it as well */
  double free_share;   /**< of the pool's capacity that the job can use */
  double preference;   /**< penalty apart from that for the used capacity */
  double penalty;
  double draw; /**< variate over weight, the least goes first */
};

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const struct candidate *one = a;
  const struct candidate *two = b;

  if (one->meets_deadline != two->meets_deadline)
    return one->meets_deadline ? -1 : 1;
  if (one->penalty != two->penalty)
    return one->penalty < two->penalty ? -1 : 1;
  return (one->draw > two->draw) - (one->draw < two->draw);
}

/* Exponentially distributed with mean 1, and the same for the same job, pool
 * and attempt. */
static double
draw_variate (const char *job, const struct snipe_pool_id *pool,
              uint32_t attempt)
{
  uint64_t hash = 14695981039346656037ULL; /* FNV-1a */

  for (const char *at = job; *at != '\0'; at++)
    hash = (hash ^ (uint8_t)*at) * 1099511628211ULL;
  hash = (hash ^ snipe_pool_id_hash (pool)) * 1099511628211ULL;
  hash = (hash ^ attempt) * 1099511628211ULL;
  /* The high bits of FNV-1a depend little on the last input. */
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  hash ^= hash >> 33;
  return -log (((double)(hash >> 11) + 0.5) / 9007199254740992.0);
}

/* Of several pools, one has the least variate over its weight with a
 * probability in proportion to its weight. */
static double
weigh_draw (double variate, double weight)
{
  return weight > 0 ? variate / weight : variate * 1e12;
}

static gint
compare_preferences (gconstpointer a, gconstpointer b)
{
  const struct candidate *one = a;
  const struct candidate *two = b;

  if (one->meets_deadline != two->meets_deadline)
    return one->meets_deadline ? -1 : 1;
  return (one->preference > two->preference)
         - (one->preference < two->preference);
}

/* Orders the pools of the same preference by a draw, weighted by their room.
 * Between those of different preference, the mean load decides as it does
 * between two pools. */
static void
spread_candidates (GArray *candidates, const char *job, uint32_t attempt)
{
  struct candidate *all = (struct candidate *)(void *)candidates->data;
  guint end;

  g_array_sort (candidates, compare_preferences);
  for (guint first = 0; first < candidates->len; first = end)
    {
      double free_cpu = 0;
      double total_cpu = 0;

      for (end = first; end < candidates->len
                        && compare_preferences (&all[first], &all[end]) == 0;
           end++)
        {
          free_cpu += all[end].free_share * (double)all[end].pool->total_cpu;
          total_cpu += (double)all[end].pool->total_cpu;
        }
      for (guint i = first; i < end; i++)
        {
          all[i].penalty = 1.0 - free_cpu / total_cpu + all[i].preference;
          all[i].draw
              = weigh_draw (draw_variate (job, &all[i].pool->id, attempt),
                            all[i].free_slots);
        }
    }
}

static GArray *
list_candidates (GPtrArray *pools, const char *domain,
                 const struct snipe_coordinator_job *job,
                 snipe_time soft_deadline, const struct route_spread *spread,
                 snipe_time now)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  double best = snipe_coordinator_best_slowdown (pools, job->service);

  for (guint i = 0; i < pools->len; i++)
    {
      struct pool_view *pool = g_ptr_array_index (pools, i);
      struct candidate candidate = { .pool = pool };
      snipe_time duration;

      if (strcmp (pool->id.service, job->service) != 0 || pool->owner == 0
          || pool->total_cpu <= 0 || now < pool->retry_at
          || pool->group->evacuated)
        continue;
      duration = snipe_view_duration (pool, job);
      candidate.free_slots = free_task_slots (pool, &job->task_resources);
      candidate.wait = spread->shared_order
                           ? snipe_view_urgent_delay (pool, job->priority)
                           : snipe_view_queueing_delay (pool);
      candidate.end = now + candidate.wait + duration;
      candidate.meets_deadline
          = now + (snipe_time)((double)duration * DURATION_MARGIN)
            <= soft_deadline;
      candidate.meets_queued
          = now + candidate.wait
                + (snipe_time)((double)duration * DURATION_MARGIN)
            <= soft_deadline;
      candidate.free_share = (double)candidate.free_slots
                             * (double)job->task_resources.cpu
                             / (double)pool->total_cpu;
      if (strcmp (pool->id.domain, domain) != 0)
        candidate.preference += REMOTE_PENALTY;
      if (!candidate.meets_deadline)
        candidate.preference += pool->slowdown / best;
      else if (pool->slowdown < best * EQUAL_SPEED_FACTOR)
        candidate.preference += FAST_PENALTY;
      candidate.penalty = 1.0 - candidate.free_share + candidate.preference;
      g_array_append_val (candidates, candidate);
    }
  if (spread->enabled)
    spread_candidates (candidates, job->id, spread->attempt);
  g_array_sort (candidates, compare_candidates);
  return candidates;
}

static struct share
share_of (const struct candidate *candidate, guint candidates, uint32_t count)
{
  return (struct share){ .pool = candidate->pool,
                         .count = count,
                         .free_slots = candidate->free_slots,
                         .candidates = candidates,
                         .wait = candidate->wait };
}

/* Assigns tasks to pools with free capacity, preferably all of them to one
 * pool. */
static uint32_t
assign_free_slots (GArray *candidates, struct share *out, uint32_t *left)
{
  uint32_t shares = 0;

  for (guint i = 0; i < candidates->len; i++)
    {
      struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);

      if (!candidate->meets_deadline || candidate->free_slots < *left)
        continue;
      out[0] = share_of (candidate, candidates->len, *left);
      *left = 0;
      return 1;
    }
  for (guint i = 0; i<candidates->len && * left> 0; i++)
    {
      struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);
      uint32_t count = MIN (candidate->free_slots, *left);

      if (!candidate->meets_deadline || count == 0)
        continue;
      out[shares++] = share_of (candidate, candidates->len, count);
      *left -= count;
    }
  return shares;
}

static const struct candidate *
choose_earliest (const GArray *candidates)
{
  const struct candidate *earliest = NULL;

  for (guint i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);

      if (earliest == NULL || candidate->end < earliest->end)
        earliest = candidate;
    }
  return earliest;
}

/* Draws two pools, weighted by what they can still start before the deadline,
 * and takes that where the job ends earlier. */
static const struct candidate *
draw_queue (const GArray *candidates, const char *job,
            const struct route_spread *spread, snipe_time hard_deadline)
{
  const struct candidate *drawn[2] = { NULL, NULL };
  double draws[2] = { 0, 0 };
  bool on_time = false;

  for (guint i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);

      on_time |= candidate->meets_queued && candidate->end <= hard_deadline;
    }
  for (guint i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);
      double time_left = (double)(hard_deadline - candidate->end);
      double draw;

      if (time_left < 0 || candidate->meets_queued != on_time)
        continue;
      draw = weigh_draw (
          draw_variate (job, &candidate->pool->id, spread->attempt),
          time_left / SNIPE_S * (double)candidate->pool->total_cpu);
      if (drawn[0] == NULL || draw < draws[0])
        {
          drawn[1] = drawn[0];
          draws[1] = draws[0];
          drawn[0] = candidate;
          draws[0] = draw;
        }
      else if (drawn[1] == NULL || draw < draws[1])
        {
          drawn[1] = candidate;
          draws[1] = draw;
        }
    }
  if (drawn[1] != NULL && drawn[1]->end < drawn[0]->end)
    return drawn[1];
  return drawn[0];
}

uint32_t
snipe_coordinator_route (GPtrArray *pools, const char *domain,
                         const struct snipe_coordinator_job *job,
                         uint32_t count, snipe_time soft_deadline,
                         snipe_time hard_deadline,
                         const struct route_spread *spread, struct share *out,
                         snipe_time *wait, snipe_time now)
{
  GArray *candidates
      = list_candidates (pools, domain, job, soft_deadline, spread, now);
  const struct candidate *earliest = choose_earliest (candidates);
  uint32_t left = count;
  uint32_t shares = assign_free_slots (candidates, out, &left);

  *wait = 0;
  if (left > 0 && (earliest == NULL || earliest->end > hard_deadline))
    {
      *wait = earliest == NULL ? SNIPE_S : earliest->wait;
      shares = 0;
    }
  else if (left > 0)
    {
      const struct candidate *queue
          = spread->enabled
                ? draw_queue (candidates, job->id, spread, hard_deadline)
                : earliest;
      uint32_t i = 0;

      while (i < shares && out[i].pool != queue->pool)
        i++;
      if (i == shares)
        out[shares++] = share_of (queue, candidates->len, 0);
      out[i].count += left;
      out[i].queued = true;
    }
  g_array_free (candidates, TRUE);
  return shares;
}

void
snipe_coordinator_reserve_capacity (
    struct pool_view *pool, const struct snipe_capacity *task_resources,
    uint32_t count, snipe_time estimate)
{
  for (; count > 0; count--)
    {
      int best = -1;

      for (guint i = 0; i < pool->free_cpu->len; i++)
        {
          uint32_t free_cpu = g_array_index (pool->free_cpu, uint32_t, i);

          if (free_cpu >= task_resources->cpu
              && (best < 0
                  || free_cpu
                         < g_array_index (pool->free_cpu, uint32_t, best)))
            best = (int)i;
        }
      if (best < 0)
        break;
      g_array_index (pool->free_cpu, uint32_t, best)
          -= (uint32_t)task_resources->cpu;
    }
  pool->backlog
      += (int64_t)count * task_resources->cpu
         * (snipe_time)((double)estimate * pool->slowdown / SNIPE_MS);
}
