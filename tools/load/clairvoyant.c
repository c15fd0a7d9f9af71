#include "clairvoyant.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Tasks that may choose to wait in one pass, per slot; the others take the
 * fastest free slot, so that under overload no slot idles. 1 and 4 gave the
 * same responses within 0.2 % at loads of 0.8 to 1.2 of 384 slots. */
#define WAITING_PER_SLOT 4

struct job
{
  struct clairvoyant_job *out;
  double *work;   /**< longest first, 0 once started */
  uint32_t first; /**< tasks before this one have been started */
  uint32_t unstarted;
  uint32_t unended;
  double left; /**< work not started */
  size_t number;
};

struct end
{
  double time;
  uint32_t slot;
  struct job *job;
};

struct slot
{
  double end;     /**< time at which it is free */
  double planned; /**< the same with the tasks that wait in this pass */
  bool busy;
};

struct endpoint
{
  double speed;
  uint32_t first; /**< its slots in simulation.slots */
  uint32_t slots;
  uint32_t free;
  uint32_t next; /**< slot with the lowest planned time */
};

struct simulation
{
  enum clairvoyant_policy policy;
  double now;
  GSequence *queue;           /**< jobs with tasks to start, by work left */
  GSequence *ends;            /**< running tasks by end */
  struct endpoint *endpoints; /**< fastest first */
  size_t endpoint_count;
  struct slot *slots;
  uint32_t slot_count;
  uint32_t free;
  uint32_t waiting; /**< tasks that chose to wait in this pass */
};

static int
longer_first (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x < y) - (x > y);
}

static int
faster_first (const void *a, const void *b)
{
  return longer_first (&((const struct endpoint *)a)->speed,
                       &((const struct endpoint *)b)->speed);
}

static gint
by_work_left (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct job *x = a;
  const struct job *y = b;
  (void)ctx;
  if (x->left != y->left)
    return x->left < y->left ? -1 : 1;
  return (x->number > y->number) - (x->number < y->number);
}

static gint
by_time (gconstpointer a, gconstpointer b, gpointer ctx)
{
  double x = ((const struct end *)a)->time;
  double y = ((const struct end *)b)->time;
  (void)ctx;
  return (x > y) - (x < y);
}

static void
find_next (struct simulation *sim, struct endpoint *endpoint)
{
  uint32_t best = endpoint->first;
  for (uint32_t i = best + 1; i < endpoint->first + endpoint->slots; i++)
    if (sim->slots[i].planned < sim->slots[best].planned)
      best = i;
  endpoint->next = best;
}

static void
plan_reset (struct simulation *sim)
{
  for (uint32_t i = 0; i < sim->slot_count; i++)
    sim->slots[i].planned = sim->slots[i].busy ? sim->slots[i].end : sim->now;
  for (size_t i = 0; i < sim->endpoint_count; i++)
    find_next (sim, &sim->endpoints[i]);
}

static struct endpoint *
pick (struct simulation *sim, double work)
{
  struct endpoint *best = NULL;
  double best_end = 0;
  bool greedy = sim->policy == CLAIRVOYANT_GREEDY
                || sim->waiting >= WAITING_PER_SLOT * sim->slot_count;
  for (size_t i = 0; i < sim->endpoint_count; i++)
    {
      struct endpoint *endpoint = &sim->endpoints[i];
      double end = sim->slots[endpoint->next].planned + work / endpoint->speed;
      if (greedy && endpoint->free > 0)
        return endpoint;
      if (!greedy && (!best || end < best_end))
        {
          best = endpoint;
          best_end = end;
        }
    }
  return best;
}

/* @return whether the task was started; otherwise it waits for a slot. */
static bool
place (struct simulation *sim, struct job *job, uint32_t task)
{
  double work = job->work[task];
  struct endpoint *endpoint = pick (sim, work);
  uint32_t number = endpoint->next;
  struct slot *slot = &sim->slots[number];
  bool start = !slot->busy && slot->planned <= sim->now;
  slot->planned += work / endpoint->speed;
  find_next (sim, endpoint);
  if (!start)
    return false;
  slot->busy = true;
  slot->end = slot->planned;
  endpoint->free--;
  sim->free--;
  struct end *end = g_new (struct end, 1);
  *end = (struct end){ .time = slot->end, .slot = number, .job = job };
  g_sequence_insert_sorted (sim->ends, end, by_time, NULL);
  job->work[task] = 0;
  job->unstarted--;
  job->left -= work;
  while (job->first < job->out->task_count && job->work[job->first] == 0)
    job->first++;
  return true;
}

static void
pass (struct simulation *sim)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (sim->queue);
  if (sim->free == 0 || g_sequence_iter_is_end (iter))
    return;
  sim->waiting = 0;
  plan_reset (sim);
  while (sim->free > 0 && !g_sequence_iter_is_end (iter))
    {
      struct job *job = g_sequence_get (iter);
      GSequenceIter *next = g_sequence_iter_next (iter);
      for (uint32_t i = job->first; i < job->out->task_count && sim->free > 0;
           i++)
        if (job->work[i] > 0 && !place (sim, job, i))
          sim->waiting++;
      if (job->unstarted == 0)
        g_sequence_remove (iter);
      else
        g_sequence_sort_changed (iter, by_work_left, NULL);
      iter = next;
    }
}

static void
end_first (struct simulation *sim)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (sim->ends);
  const struct end *end = g_sequence_get (iter);
  struct job *job = end->job;
  sim->now = end->time;
  sim->slots[end->slot].busy = false;
  for (size_t i = 0; i < sim->endpoint_count; i++)
    if (end->slot - sim->endpoints[i].first < sim->endpoints[i].slots)
      sim->endpoints[i].free++;
  sim->free++;
  if (--job->unended == 0)
    {
      job->out->response = sim->now - job->out->arrival;
      g_free (job->work);
      g_free (job);
    }
  g_sequence_remove (iter);
}

static void
arrive (struct simulation *sim, struct clairvoyant_job *out, size_t number)
{
  struct job *job = g_new0 (struct job, 1);
  sim->now = out->arrival;
  out->response = 0;
  job->out = out;
  job->number = number;
  job->unstarted = job->unended = out->task_count;
  job->work = g_new (double, out->task_count);
  for (uint32_t i = 0; i < out->task_count; i++)
    {
      /* 0 marks a started task. */
      job->work[i] = out->work[i] > 0 ? out->work[i] : 1e-9;
      job->left += job->work[i];
    }
  qsort (job->work, out->task_count, sizeof (double), longer_first);
  g_sequence_insert_sorted (sim->queue, job, by_work_left, NULL);
}

static void
set_up (struct simulation *sim, const struct clairvoyant_endpoint *endpoints)
{
  uint32_t first = 0;
  sim->endpoints = g_new0 (struct endpoint, sim->endpoint_count);
  for (size_t i = 0; i < sim->endpoint_count; i++)
    sim->endpoints[i] = (struct endpoint){ .speed = endpoints[i].speed,
                                           .slots = endpoints[i].slots,
                                           .free = endpoints[i].slots };
  qsort (sim->endpoints, sim->endpoint_count, sizeof (struct endpoint),
         faster_first);
  for (size_t i = 0; i < sim->endpoint_count; i++)
    {
      sim->endpoints[i].first = first;
      first += sim->endpoints[i].slots;
    }
  sim->slot_count = sim->free = first;
  sim->slots = g_new0 (struct slot, first);
  sim->queue = g_sequence_new (NULL);
  sim->ends = g_sequence_new (g_free);
}

int
clairvoyant_run (struct clairvoyant_job *jobs, size_t job_count,
                 const struct clairvoyant_endpoint *endpoints,
                 size_t endpoint_count, enum clairvoyant_policy policy)
{
  struct simulation sim
      = { .policy = policy, .endpoint_count = endpoint_count };
  size_t arrived = 0;
  for (size_t i = 0; i < endpoint_count; i++)
    if (endpoints[i].slots == 0 || endpoints[i].speed <= 0)
      return -1;
  if (endpoint_count == 0)
    return -1;
  set_up (&sim, endpoints);
  while (arrived < job_count || g_sequence_get_length (sim.ends) > 0)
    {
      GSequenceIter *iter = g_sequence_get_begin_iter (sim.ends);
      const struct end *end
          = g_sequence_iter_is_end (iter) ? NULL : g_sequence_get (iter);
      if (end && (arrived == job_count || end->time <= jobs[arrived].arrival))
        end_first (&sim);
      else
        {
          arrive (&sim, &jobs[arrived], arrived);
          arrived++;
        }
      pass (&sim);
    }
  g_sequence_free (sim.queue);
  g_sequence_free (sim.ends);
  g_free (sim.endpoints);
  g_free (sim.slots);
  return 0;
}
