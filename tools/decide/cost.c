#include "cost.h"

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "setup.h"
#include "sim_input.h"
#include "snipe/sched.h"
#include "snipe/status.h"

#define COST_BATCH 64

struct cost_running
{
  struct snipe_task_group *work;
  uint32_t task;
  uint32_t endpoint;
};

struct cost
{
  struct snipe_sched *sched;
  struct cost_running *running;
  uint32_t running_count;
  uint32_t teams;
  double *speeds;
  uint64_t random;
  snipe_time now;
  uint64_t decisions;
  uint64_t decide_ns;
  uint64_t add_tasks;
  uint64_t add_ns;
};

static uint64_t
wall_ns (void)
{
  struct timespec time;

  clock_gettime (CLOCK_MONOTONIC, &time);
  return (uint64_t)time.tv_sec * 1000000000U + (uint64_t)time.tv_nsec;
}

static void
cost_add (struct cost *cost, uint32_t count)
{
  struct snipe_group_task tasks[JOB_TASKS_MAX] = { { .kind = 0 } };
  struct snipe_task_group_options options = SNIPE_TASK_GROUP_OPTIONS_INIT;
  struct snipe_task_group *work;

  options.team = random_below (&cost->random, cost->teams);
  options.task_count = count;
  options.tasks = tasks;
  for (uint32_t i = 0; i < count; i++)
    {
      tasks[i].needs.cores = 1;
      tasks[i].domains = UINT64_MAX;
      tasks[i].kind = options.team;
      tasks[i].declared_duration
          = (snipe_time)(50000 + random_unit (&cost->random) * 950000);
      tasks[i].offloadable = true;
    }
  if (snipe_sched_group_add (&work, cost->sched, &options, cost->now)
      != SNIPE_OK)
    {
      fprintf (stderr, "%s\n", snipe_status_last ());
      exit (EXIT_FAILURE);
    }
}

/* Takes decisions until one more would exceed the free slots or the queue. */
static uint32_t
cost_start (struct cost *cost, uint32_t most)
{
  struct snipe_decision decision;
  uint32_t count = 0;

  while (count < most && snipe_sched_next (cost->sched, cost->now, &decision))
    {
      struct cost_running *running = &cost->running[cost->running_count++];

      running->work = decision.group;
      running->task = decision.u.start.task;
      running->endpoint = endpoint_index (decision.u.start.endpoint);
      count++;
    }
  return count;
}

static void
cost_end (struct cost *cost)
{
  uint32_t index = random_below (&cost->random, cost->running_count);
  struct cost_running running = cost->running[index];

  cost->running[index] = cost->running[--cost->running_count];
  cost->now += 1000;
  snipe_sched_task_end (
      cost->sched, running.work, running.task, SNIPE_ATTEMPT_OK,
      (snipe_time)(500000 / cost->speeds[running.endpoint]), cost->now);
}

static void
cost_row (const struct params *params, uint32_t endpoints, uint32_t teams,
          uint32_t queue)
{
  /* At an empty queue half of the slots stay busy. */
  uint32_t slots = endpoints * SLOTS;
  uint32_t busy = queue == 0 ? slots / 2 : slots;
  uint64_t rounds = 200000 / COST_BATCH;
  struct cost cost = { .teams = teams, .random = params->seed };
  size_t before;
  size_t queued_bytes;
  size_t steady;

  cost.sched = sched_new (params, SNIPE_POLICY_POOLED, params->seed);
  cost.running = g_new0 (struct cost_running, slots + COST_BATCH);
  cost.speeds = g_new (double, endpoints);
  for (uint32_t i = 0; i < teams; i++)
    {
      char name[16];
      struct snipe_str team = { name, 0 };

      team.len = (size_t)snprintf (name, sizeof name, "t%u", i);
      snipe_sched_team (cost.sched, &team);
      snipe_sched_kind (cost.sched, &team, &team);
    }
  for (uint32_t i = 0; i < endpoints; i++)
    {
      static const char *const domains[] = { "d0", "d1", "d2", "d3", "d4" };

      cost.speeds[i] = random_factor (&cost.random, 2);
      add_endpoint (cost.sched, i, domains[i % 5]);
    }
  while (cost.running_count < busy)
    {
      cost_add (&cost, 1);
      cost_start (&cost, 1);
    }
  /* Works are not freed in this run, so only the growth of the queue is
   * counted as its size. */
  before = mallinfo2 ().uordblks;
  for (uint32_t i = 0; i < queue; i++)
    cost_add (&cost, 1);
  queued_bytes = mallinfo2 ().uordblks - before;
  for (uint32_t i = 0; i < 20000; i++)
    {
      cost_end (&cost);
      cost_add (&cost, 1);
      cost_start (&cost, 1);
    }
  steady = 0;
  for (uint64_t round = 0; round < rounds; round++)
    {
      uint64_t start = wall_ns ();

      for (uint32_t i = 0; i < COST_BATCH; i++)
        cost_add (&cost, 1);
      cost.add_ns += wall_ns () - start;
      cost.add_tasks += COST_BATCH;
      before = mallinfo2 ().uordblks;
      start = wall_ns ();
      for (uint32_t i = 0; i < COST_BATCH; i++)
        {
          cost_end (&cost);
          cost.decisions += cost_start (&cost, 1);
        }
      cost.decide_ns += wall_ns () - start;
      steady += mallinfo2 ().uordblks - before;
    }
  printf ("%9u %6u %8u %12.0f %10.0f %14.1f %14.1f\n", endpoints, teams, queue,
          (double)cost.decide_ns / (double)cost.decisions,
          (double)cost.add_ns / (double)cost.add_tasks,
          queue == 0 ? 0 : (double)queued_bytes / queue,
          (double)steady / (double)cost.decisions);
  snipe_sched_free (cost.sched);
  g_free (cost.running);
  g_free (cost.speeds);
}

void
cost_table (const struct params *params)
{
  static const uint32_t endpoints[] = { 48, 300, 1200 };
  static const uint32_t teams[] = { 2, 190 };
  static const uint32_t queues[] = { 0, 1000, 100000 };

  printf ("%9s %6s %8s %12s %10s %14s %14s\n", "endpoints", "teams", "queue",
          "ns/decision", "ns/add", "bytes/queued", "bytes/decision");
  for (int i = 0; i < 3; i++)
    for (int j = 0; j < 2; j++)
      for (int k = 0; k < 3; k++)
        cost_row (params, endpoints[i], teams[j], queues[k]);
}
