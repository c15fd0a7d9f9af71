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

#define TASKS_PER_ROUND 64

struct cost_running_task
{
  struct snipe_task_group *group;
  uint32_t task;
  uint32_t endpoint;
};

struct cost
{
  struct snipe_sched *sched;
  struct cost_running_task *running;
  uint32_t running_count;
  uint32_t teams;
  double *speeds;
  uint64_t random_state;
  snipe_time now;
  uint64_t decisions;
  uint64_t decide_ns;
  uint64_t added_tasks;
  uint64_t add_ns;
};

static uint64_t
monotonic_ns (void)
{
  struct timespec time;

  clock_gettime (CLOCK_MONOTONIC, &time);
  return (uint64_t)time.tv_sec * 1000000000U + (uint64_t)time.tv_nsec;
}

static void
cost_add_group (struct cost *cost, uint32_t count)
{
  struct snipe_group_task tasks[JOB_TASKS_MAX] = { { .kind = 0 } };
  struct snipe_task_group_options options = SNIPE_TASK_GROUP_OPTIONS_INIT;
  struct snipe_task_group *group;

  options.team = random_below (&cost->random_state, cost->teams);
  options.task_count = count;
  options.tasks = tasks;
  for (uint32_t i = 0; i < count; i++)
    {
      tasks[i].needs.cores = 1;
      tasks[i].domains = UINT64_MAX;
      tasks[i].kind = options.team;
      tasks[i].declared_duration
          = (snipe_time)(50000 + random_unit (&cost->random_state) * 950000);
      tasks[i].offloadable = true;
    }
  if (snipe_sched_group_add (&group, cost->sched, &options, cost->now)
      != SNIPE_OK)
    {
      fprintf (stderr, "%s\n", snipe_status_last ());
      exit (EXIT_FAILURE);
    }
}

/* Takes decisions, up to @p max, while the scheduler has any. @return their
 * number. */
static uint32_t
cost_take_decisions (struct cost *cost, uint32_t max)
{
  struct snipe_decision decision;
  uint32_t count = 0;

  while (count < max && snipe_sched_next (cost->sched, cost->now, &decision))
    {
      struct cost_running_task *running
          = &cost->running[cost->running_count++];

      running->group = decision.group;
      running->task = decision.u.start.task;
      running->endpoint = endpoint_index (decision.u.start.endpoint);
      count++;
    }
  return count;
}

static void
cost_end_task (struct cost *cost)
{
  uint32_t index = random_below (&cost->random_state, cost->running_count);
  struct cost_running_task running = cost->running[index];

  cost->running[index] = cost->running[--cost->running_count];
  cost->now += 1000;
  snipe_sched_task_end (
      cost->sched, running.group, running.task, SNIPE_ATTEMPT_OK,
      (snipe_time)(500000 / cost->speeds[running.endpoint]), cost->now);
}

static void
cost_measure_row (const struct params *params, uint32_t endpoints,
                  uint32_t teams, uint32_t queued_count)
{
  /* With an empty queue, half of the slots are busy. */
  uint32_t slots = endpoints * ENDPOINT_SLOTS;
  uint32_t busy = queued_count == 0 ? slots / 2 : slots;
  uint64_t rounds = 200000 / TASKS_PER_ROUND;
  struct cost cost = { .teams = teams, .random_state = params->seed };
  size_t before;
  size_t queued_bytes;
  size_t steady_bytes;

  cost.sched = sched_new (params, SNIPE_POLICY_POOLED, params->seed);
  cost.running = g_new0 (struct cost_running_task, slots + TASKS_PER_ROUND);
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

      cost.speeds[i] = random_factor (&cost.random_state, 2);
      add_endpoint (cost.sched, i, domains[i % 5]);
    }
  while (cost.running_count < busy)
    {
      cost_add_group (&cost, 1);
      cost_take_decisions (&cost, 1);
    }
  /* Task groups are never freed here, so the memory of the queue is measured
   * by its growth. */
  before = mallinfo2 ().uordblks;
  for (uint32_t i = 0; i < queued_count; i++)
    cost_add_group (&cost, 1);
  queued_bytes = mallinfo2 ().uordblks - before;
  for (uint32_t i = 0; i < 20000; i++)
    {
      cost_end_task (&cost);
      cost_add_group (&cost, 1);
      cost_take_decisions (&cost, 1);
    }
  steady_bytes = 0;
  for (uint64_t round = 0; round < rounds; round++)
    {
      uint64_t start = monotonic_ns ();

      for (uint32_t i = 0; i < TASKS_PER_ROUND; i++)
        cost_add_group (&cost, 1);
      cost.add_ns += monotonic_ns () - start;
      cost.added_tasks += TASKS_PER_ROUND;
      before = mallinfo2 ().uordblks;
      start = monotonic_ns ();
      for (uint32_t i = 0; i < TASKS_PER_ROUND; i++)
        {
          cost_end_task (&cost);
          cost.decisions += cost_take_decisions (&cost, 1);
        }
      cost.decide_ns += monotonic_ns () - start;
      steady_bytes += mallinfo2 ().uordblks - before;
    }
  printf ("%9u %6u %8u %12.0f %10.0f %14.1f %14.1f\n", endpoints, teams,
          queued_count, (double)cost.decide_ns / (double)cost.decisions,
          (double)cost.add_ns / (double)cost.added_tasks,
          queued_count == 0 ? 0 : (double)queued_bytes / queued_count,
          (double)steady_bytes / (double)cost.decisions);
  snipe_sched_free (cost.sched);
  g_free (cost.running);
  g_free (cost.speeds);
}

void
cost_table (const struct params *params)
{
  static const uint32_t endpoints[] = { 48, 300, 1200 };
  static const uint32_t teams[] = { 2, 190 };
  static const uint32_t queued_counts[] = { 0, 1000, 100000 };

  printf ("%9s %6s %8s %12s %10s %14s %14s\n", "endpoints", "teams", "queue",
          "ns/decision", "ns/add", "bytes/queued", "bytes/decision");
  for (int i = 0; i < 3; i++)
    for (int j = 0; j < 2; j++)
      for (int k = 0; k < 3; k++)
        cost_measure_row (params, endpoints[i], teams[j], queued_counts[k]);
}
