#include "sim.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "setup.h"
#include "sim_event.h"
#include "sim_load.h"
#include "snipe/status.h"

/* The tasks of a job that run at its home host, or those that a peer got. */
struct sim_work
{
  struct snipe_task_group *work;
  struct sim_job *job;
  uint32_t home;
  uint32_t host; /**< where it runs */
  uint32_t count;
  uint32_t left;
  uint32_t refused_count;
  float speed_min;
  uint32_t tasks[JOB_TASKS_MAX];   /**< numbers in the job */
  uint32_t refused[JOB_TASKS_MAX]; /**< places in tasks */
  struct sim_work *parent;         /**< the home host's, of a batch */
};

static void sim_pump (struct sim *sim, uint32_t host);

static void
sim_start (struct sim *sim, uint32_t host,
           const struct snipe_decision *decision)
{
  struct sim_work *work = snipe_task_group_ctx (decision->group);
  uint32_t task = decision->u.start.task;
  uint32_t endpoint = endpoint_index (decision->u.start.endpoint);
  struct event event = {
    .kind = EVENT_TASK_END,
    .host = host,
    .task = task,
    .endpoint = endpoint,
    .subject = work,
  };

  if (sim->running[endpoint] >= SLOTS)
    {
      sim->refused++;
      snipe_sched_task_end (sim->hosts[host].sched, work->work, task,
                            SNIPE_ATTEMPT_REFUSED_FULL, 0, sim->now);
      snipe_sched_requeue (sim->hosts[host].sched, work->work, task, sim->now);
      return;
    }
  sim->running[endpoint]++;
  event.at = sim->now
             + (snipe_time)(work->job->service[work->tasks[task]]
                            / sim->input->speeds[endpoint]);
  event_push (&sim->queue, &event);
}

static void
sim_pass (struct sim *sim, uint32_t host,
          const struct snipe_decision *decision)
{
  struct sim_work *parent = snipe_task_group_ctx (decision->group);
  struct sim_work *batch = g_new0 (struct sim_work, 1);
  struct event event = {
    .at = sim->now + sim->params->latency,
    .kind = EVENT_BATCH,
    .host = (uint32_t)decision->u.offload.incarnation - 1,
    .subject = batch,
  };

  batch->job = parent->job;
  batch->parent = parent;
  batch->home = host;
  batch->host = event.host;
  batch->count = decision->u.offload.count;
  memcpy (batch->tasks, decision->u.offload.tasks,
          batch->count * sizeof batch->tasks[0]);
  batch->speed_min = decision->u.offload.speed_min;
  g_array_append_val (sim->passes, event);
  sim->batches++;
  sim->passed += batch->count;
}

static void
sim_pump (struct sim *sim, uint32_t host)
{
  struct sim_host *self = &sim->hosts[host];
  struct snipe_decision decision;
  snipe_time wake;

  while (snipe_sched_next (self->sched, sim->now, &decision))
    switch (decision.kind)
      {
      case SNIPE_DECISION_START:
        sim_start (sim, host, &decision);
        break;
      case SNIPE_DECISION_OFFLOAD:
        sim_pass (sim, host, &decision);
        break;
      case SNIPE_DECISION_EXPIRE:
        {
          struct sim_work *work = snipe_task_group_ctx (decision.group);
          work->refused[work->refused_count++] = decision.u.expire.task;
        }
        break;
      default:
        break;
      }
  /* Loads are read after the last decision; in between they would show tasks
   * as waiting, and slots as free, that the next decision takes. */
  for (guint i = 0; i < sim->passes->len; i++)
    {
      struct event *event = &g_array_index (sim->passes, struct event, i);

      sim_load (sim, host, &event->load);
      event_push (&sim->queue, event);
    }
  g_array_set_size (sim->passes, 0);
  if (sim->policy == SNIPE_POLICY_POOLED)
    sim_offer (sim, host);
  wake = snipe_sched_wakeup_time (self->sched, sim->now);
  if (wake != INT64_MAX && (self->wake <= sim->now || wake < self->wake))
    {
      struct event event
          = { .at = MAX (wake, sim->now + 1), .kind = EVENT_WAKE };

      event.host = host;
      self->wake = event.at;
      event_push (&sim->queue, &event);
    }
}

static void
sim_work_add (struct sim *sim, uint32_t host, struct sim_work *work,
              bool passable)
{
  struct snipe_group_task tasks[JOB_TASKS_MAX] = { { .kind = 0 } };
  struct snipe_task_group_options options = SNIPE_TASK_GROUP_OPTIONS_INIT;

  options.task_count = work->count;
  options.tasks = tasks;
  options.counts_against_quota = passable;
  options.speed_min = work->speed_min;
  options.ctx = work;
  for (uint32_t i = 0; i < work->count; i++)
    {
      tasks[i].needs.cores = 1;
      tasks[i].domains = UINT64_MAX;
      tasks[i].declared_duration
          = (snipe_time)work->job->declared[work->tasks[i]];
      tasks[i].offloadable = passable;
    }
  if (snipe_sched_group_add (&work->work, sim->hosts[host].sched, &options,
                             sim->now)
      != SNIPE_OK)
    {
      fprintf (stderr, "%s\n", snipe_status_last ());
      exit (EXIT_FAILURE);
    }
}

static void
sim_arrive (struct sim *sim, struct sim_job *job)
{
  struct sim_work *work = g_new0 (struct sim_work, 1);

  work->job = job;
  work->home = work->host = job->host;
  work->count = work->left = job->task_count;
  for (uint32_t i = 0; i < work->count; i++)
    work->tasks[i] = i;
  sim->tasks += work->count;
  sim_work_add (sim, job->host, work, sim->policy == SNIPE_POLICY_POOLED);
  sim_pump (sim, job->host);
}

static void
sim_job_progress (struct sim *sim, struct sim_work *work, uint32_t ended)
{
  work->left -= ended;
  if (work->left > 0)
    return;
  sim_job_ended (sim->input, work->job, sim->now);
  snipe_sched_group_free (sim->hosts[work->host].sched, work->work);
  g_free (work);
  sim->jobs_left--;
}

static void
sim_task_end (struct sim *sim, const struct event *event)
{
  struct sim_work *work = event->subject;
  struct snipe_sched *sched = sim->hosts[event->host].sched;
  double service = work->job->service[work->tasks[event->task]];

  sim->running[event->endpoint]--;
  snipe_sched_task_end (
      sched, work->work, event->task, SNIPE_ATTEMPT_OK,
      (snipe_time)(service / sim->input->speeds[event->endpoint]), sim->now);
  if (work->parent == NULL)
    sim_job_progress (sim, work, 1);
  else if (--work->left == 0)
    {
      struct event results = {
        .at = sim->now + sim->params->latency,
        .kind = EVENT_RESULTS,
        .host = work->home,
        .subject = work,
      };

      snipe_sched_group_free (sched, work->work);
      work->work = NULL;
      sim_load (sim, event->host, &results.load);
      event_push (&sim->queue, &results);
    }
  sim_pump (sim, event->host);
}

static void
sim_batch (struct sim *sim, const struct event *event)
{
  struct sim_work *batch = event->subject;
  struct event reply = {
    .at = sim->now + sim->params->latency,
    .kind = EVENT_REPLY,
    .host = batch->home,
    .subject = batch,
  };

  sim_load_received (sim, event->host, &event->load);
  sim->hosts[event->host].offered[batch->home] = 0;
  sim_work_add (sim, event->host, batch, false);
  sim_pump (sim, event->host);
  batch->refused_count
      += snipe_sched_group_cancel (sim->hosts[event->host].sched, batch->work,
                                   batch->refused + batch->refused_count);
  batch->left = batch->count - batch->refused_count;
  if (batch->refused_count > 0)
    {
      sim->hosts[event->host].waiting[batch->home] = true;
      sim->hosts[event->host].wanted[batch->home] += batch->refused_count;
    }
  if (batch->left == 0)
    {
      snipe_sched_group_free (sim->hosts[event->host].sched, batch->work);
      batch->work = NULL;
    }
  sim->passed_refused += batch->refused_count;
  sim_load (sim, event->host, &reply.load);
  event_push (&sim->queue, &reply);
}

static void
sim_reply (struct sim *sim, const struct event *event)
{
  struct sim_work *batch = event->subject;
  struct snipe_sched *sched = sim->hosts[event->host].sched;

  sim_load_received (sim, event->host, &event->load);
  for (uint32_t i = 0; i < batch->refused_count; i++)
    {
      uint32_t task = batch->tasks[batch->refused[i]];

      snipe_sched_offload_end (sched, batch->parent->work, task, sim->now);
      snipe_sched_requeue (sched, batch->parent->work, task, sim->now);
    }
  if (batch->refused_count == batch->count)
    g_free (batch);
  sim_pump (sim, event->host);
}

static void
sim_results (struct sim *sim, const struct event *event)
{
  struct sim_work *batch = event->subject;
  bool refused[JOB_TASKS_MAX] = { false };

  sim_load_received (sim, event->host, &event->load);
  for (uint32_t i = 0; i < batch->refused_count; i++)
    refused[batch->refused[i]] = true;
  for (uint32_t i = 0; i < batch->count; i++)
    if (!refused[i])
      snipe_sched_offload_end (sim->hosts[event->host].sched,
                               batch->parent->work, batch->tasks[i], sim->now);
  sim_job_progress (sim, batch->parent, batch->count - batch->refused_count);
  sim_pump (sim, event->host);
  sim_report (sim, event->host, batch->host, EVENT_LOAD);
  g_free (batch);
}

static void
sim_event (struct sim *sim, const struct event *event)
{
  struct event hello = *event;

  switch (event->kind)
    {
    case EVENT_ARRIVE:
      sim_arrive (sim, event->subject);
      break;
    case EVENT_TASK_END:
      sim_task_end (sim, event);
      break;
    case EVENT_BATCH:
      sim_batch (sim, event);
      break;
    case EVENT_REPLY:
      sim_reply (sim, event);
      break;
    case EVENT_RESULTS:
      sim_results (sim, event);
      break;
    case EVENT_REPORT:
    case EVENT_LOAD:
      sim_load_received (sim, event->host, &event->load);
      sim_pump (sim, event->host);
      if (event->kind == EVENT_REPORT)
        sim_report (sim, event->host, (uint32_t)event->load.incarnation - 1,
                    EVENT_LOAD);
      break;
    case EVENT_HELLO:
      for (uint32_t i = 0; i < sim->input->hosts; i++)
        if (i != event->host)
          {
            sim->hellos++;
            sim_report (sim, event->host, i, EVENT_REPORT);
          }
      hello.at += SNIPE_S;
      event_push (&sim->queue, &hello);
      break;
    case EVENT_WAKE:
    default:
      sim_pump (sim, event->host);
      break;
    }
}

static void
sim_setup (struct sim *sim)
{
  const struct sim_input *input = sim->input;
  char name[] = "t";
  struct snipe_str text = { name, 1 };

  sim->hosts = g_new0 (struct sim_host, input->hosts);
  sim->running = g_new0 (uint32_t, input->endpoints);
  sim->jobs_left = input->job_count;
  sim->passes = g_array_new (FALSE, FALSE, sizeof (struct event));
  for (uint32_t i = 0; i < input->hosts; i++)
    {
      struct event hello = {
        .at = SNIPE_S * i / input->hosts,
        .kind = EVENT_HELLO,
        .host = i,
      };

      sim->hosts[i].sched
          = sched_new (sim->params, sim->policy, sim->params->seed + i);
      sim->hosts[i].waiting = g_new0 (bool, input->hosts);
      sim->hosts[i].wanted = g_new0 (uint32_t, input->hosts);
      sim->hosts[i].offered = g_new0 (uint32_t, input->hosts);
      sim->hosts[i].offered_until = g_new0 (snipe_time, input->hosts);
      snipe_sched_team (sim->hosts[i].sched, &text);
      snipe_sched_kind (sim->hosts[i].sched, &text, &text);
      /* The baselines know no owners: each host uses every endpoint. */
      for (uint32_t j = 0; j < input->endpoints; j++)
        if (sim->policy != SNIPE_POLICY_POOLED || input->owners[j] == i)
          add_endpoint (sim->hosts[i].sched, j, "d");
      if (sim->policy == SNIPE_POLICY_POOLED)
        event_push (&sim->queue, &hello);
    }
  for (uint32_t i = 0; i < input->job_count; i++)
    {
      struct event event = {
        .at = input->jobs[i].arrival,
        .kind = EVENT_ARRIVE,
        .subject = &input->jobs[i],
      };

      event_push (&sim->queue, &event);
    }
}

void
sim_run (const struct params *params, const struct sim_input *input,
         enum snipe_policy policy, double load, const struct sim_stats *ideal)
{
  static const char *const names[]
      = { "pooled", "random", "round-robin", "least-stale" };
  struct sim sim = { .params = params, .input = input, .policy = policy };
  struct sim_stats stats;
  double tasks;

  sim_setup (&sim);
  while (sim.jobs_left > 0)
    {
      struct event event = event_pop (&sim.queue);

      sim.now = event.at;
      sim_event (&sim, &event);
    }
  stats = sim_stats_of (input);
  tasks = (double)sim.tasks;
  sim_stats_print (names[policy], load, &stats, ideal);
  printf ("  %7.4f %7.4f %7.4f %7.4f %7.4f %7.4f\n",
          (double)sim.batches / tasks, (double)sim.passed / tasks,
          (double)sim.passed_refused / tasks, (double)sim.offers / tasks,
          (double)sim.hellos / tasks, (double)sim.refused / tasks);
  fflush (stdout);
  for (uint32_t i = 0; i < input->hosts; i++)
    {
      snipe_sched_free (sim.hosts[i].sched);
      g_free (sim.hosts[i].waiting);
      g_free (sim.hosts[i].wanted);
      g_free (sim.hosts[i].offered);
      g_free (sim.hosts[i].offered_until);
    }
  g_free (sim.hosts);
  g_array_free (sim.passes, TRUE);
  g_free (sim.running);
  g_free (sim.queue.events);
}
