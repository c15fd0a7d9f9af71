/* Which pools the tasks of a job go to. Pure.
 *
 * The load patterns that each rule answers:
 * - domains of unequal speed: short jobs go to a slow pool where they still
 *   end in time, which keeps the fast ones for long jobs;
 * - wide jobs and bursts: a job that no single pool has room for is spread
 *   over those that have, before any of its tasks waits;
 * - all pools full: the job waits where it would end first, and is refused at
 *   once if that is too late for its caller. */
#include "home/private.h"

#include <string.h>

#include "snipe/status.h"

/* Declared durations are off by tens of percent. */
#define DURATION_MARGIN 1.15
/* Pools within this factor of speed count as equally fast. */
#define SPEED_STEP 1.3
/* Added for another domain than the caller's; prefers the own one among
 * equals, because a cut between domains loses what was passed. */
#define REMOTE_PENALTY 0.25
/* Added for a fast pool if a slow one ends in time too. */
#define FAST_PENALTY 0.5

static uint32_t
room_for (const struct pool_view *pool, const struct snipe_capacity *each)
{
  uint32_t count = 0;

  if (each->cpu <= 0)
    return G_MAXUINT32 / 2;
  for (guint i = 0; i < pool->free_cpu->len; i++)
    count
        += (uint32_t)(g_array_index (pool->free_cpu, uint32_t, i) / each->cpu);
  return count;
}

static snipe_time
queue_wait (const struct pool_view *pool)
{
  if (pool->total_cpu <= 0)
    return SNIPE_S;
  return pool->backlog / pool->total_cpu * SNIPE_MS
         + pool->backlog % pool->total_cpu * SNIPE_MS / pool->total_cpu;
}

static snipe_time
length_at (const struct pool_view *pool,
           const struct snipe_coordinator_job *job)
{
  return (snipe_time)((double)job->estimate * pool->slowness);
}

double
snipe_home_best_slowness (const GPtrArray *pools, const char *service)
{
  double best = 0;

  for (guint i = 0; i < pools->len; i++)
    {
      const struct pool_view *pool = g_ptr_array_index (pools, i);

      if (strcmp (pool->id.service, service) == 0 && pool->owner != 0
          && pool->total_cpu > 0 && (best <= 0 || pool->slowness < best))
        best = pool->slowness;
    }
  return best <= 0 ? 1.0 : best;
}

struct option
{
  struct pool_view *pool;
  uint32_t room;
  snipe_time wait;
  snipe_time end; /**< of a task that waits in the pool's queue */
  bool in_time;   /**< a task that starts now ends by then */
  double penalty;
};

static gint
by_penalty (gconstpointer a, gconstpointer b)
{
  const struct option *one = a;
  const struct option *two = b;

  if (one->in_time != two->in_time)
    return one->in_time ? -1 : 1;
  return (one->penalty > two->penalty) - (one->penalty < two->penalty);
}

static GArray *
list_options (GPtrArray *pools, const char *domain,
              const struct snipe_coordinator_job *job, snipe_time due,
              snipe_time now)
{
  GArray *options = g_array_new (FALSE, FALSE, sizeof (struct option));
  double best = snipe_home_best_slowness (pools, job->service);

  for (guint i = 0; i < pools->len; i++)
    {
      struct pool_view *pool = g_ptr_array_index (pools, i);
      struct option option = { .pool = pool };
      snipe_time length;

      if (strcmp (pool->id.service, job->service) != 0 || pool->owner == 0
          || pool->total_cpu <= 0 || now < pool->retry)
        continue;
      length = length_at (pool, job);
      option.room = room_for (pool, &job->task_resources);
      option.wait = queue_wait (pool);
      option.end = now + option.wait + length;
      option.in_time
          = now + (snipe_time)((double)length * DURATION_MARGIN) <= due;
      option.penalty = 1.0
                       - (double)option.room * (double)job->task_resources.cpu
                             / (double)pool->total_cpu;
      if (strcmp (pool->id.domain, domain) != 0)
        option.penalty += REMOTE_PENALTY;
      if (!option.in_time)
        option.penalty += pool->slowness / best;
      else if (pool->slowness < best * SPEED_STEP)
        option.penalty += FAST_PENALTY;
      g_array_append_val (options, option);
    }
  g_array_sort (options, by_penalty);
  return options;
}

/* Gives tasks to pools with room, those first that can hold all of them. */
static uint32_t
fill_rooms (GArray *options, struct share *out, uint32_t *left)
{
  uint32_t shares = 0;

  for (guint i = 0; i < options->len; i++)
    {
      struct option *option = &g_array_index (options, struct option, i);

      if (!option->in_time || option->room < *left)
        continue;
      out[0] = (struct share){ .pool = option->pool, .count = *left };
      *left = 0;
      return 1;
    }
  for (guint i = 0; i<options->len && * left> 0; i++)
    {
      struct option *option = &g_array_index (options, struct option, i);
      uint32_t count = MIN (option->room, *left);

      if (!option->in_time || count == 0)
        continue;
      out[shares++] = (struct share){ .pool = option->pool, .count = count };
      *left -= count;
    }
  return shares;
}

uint32_t
snipe_home_route (GPtrArray *pools, const char *domain,
                  const struct snipe_coordinator_job *job, uint32_t count,
                  snipe_time due, snipe_time late, struct share *out,
                  snipe_time *wait, snipe_time now)
{
  GArray *options = list_options (pools, domain, job, due, now);
  struct option *first = NULL;
  uint32_t left = count;
  uint32_t shares = fill_rooms (options, out, &left);

  *wait = 0;
  for (guint i = 0; i < options->len; i++)
    {
      struct option *option = &g_array_index (options, struct option, i);

      if (first == NULL || option->end < first->end)
        first = option;
    }
  if (left > 0 && (first == NULL || first->end > late))
    {
      *wait = first == NULL ? SNIPE_S : first->wait;
      shares = 0;
    }
  else if (left > 0)
    {
      uint32_t i = 0;

      while (i < shares && out[i].pool != first->pool)
        i++;
      if (i == shares)
        out[shares++] = (struct share){ .pool = first->pool };
      out[i].count += left;
    }
  g_array_free (options, TRUE);
  return shares;
}

void
snipe_home_take_room (struct pool_view *pool,
                      const struct snipe_capacity *each, uint32_t count,
                      snipe_time estimate)
{
  for (; count > 0; count--)
    {
      int best = -1;

      for (guint i = 0; i < pool->free_cpu->len; i++)
        {
          uint32_t room = g_array_index (pool->free_cpu, uint32_t, i);

          if (room >= each->cpu
              && (best < 0
                  || room < g_array_index (pool->free_cpu, uint32_t, best)))
            best = (int)i;
        }
      if (best < 0)
        break;
      g_array_index (pool->free_cpu, uint32_t, best) -= (uint32_t)each->cpu;
    }
  pool->backlog
      += (int64_t)count * each->cpu
         * (snipe_time)((double)estimate * pool->slowness / SNIPE_MS);
}
