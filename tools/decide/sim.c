#include "sim.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "setup.h"
#include "sim_event.h"
#include "sim_load.h"
#include "snipe/status.h"

/* The tasks of a job at its coordinator, or those of a batch at a peer. */
struct sim_group
{
  struct snipe_task_group *group;
  struct sim_job *job;
  uint32_t coordinator;
  uint32_t host; /**< that executes it */
  uint32_t count;
  uint32_t pending_count;
  uint32_t rejected_count;
  float speed_min;
  uint32_t tasks[JOB_TASKS_MAX];    /**< indices in the job */
  uint32_t rejected[JOB_TASKS_MAX]; /**< indices in tasks */
  struct sim_group *parent;         /**< of a batch: the job's group */
};

static void sim_apply_decisions (struct sim *sim, uint32_t host);

static void
sim_start_task (struct sim *sim, uint32_t host,
                const struct snipe_decision *decision)
{
  struct sim_group *group = snipe_task_group_ctx (decision->group);
  uint32_t task = decision->u.start.task;
  uint32_t endpoint = endpoint_index (decision->u.start.endpoint);
  struct event event = {
    .kind = EVENT_TASK_END,
    .host = host,
    .task = task,
    .endpoint = endpoint,
    .subject = group,
  };

  if (sim->running_count[endpoint] >= ENDPOINT_SLOTS)
    {
      sim->refused_start_count++;
      snipe_sched_task_end (sim->hosts[host].sched, group->group, task,
                            SNIPE_ATTEMPT_REFUSED_FULL, 0, sim->now);
      snipe_sched_requeue (sim->hosts[host].sched, group->group, task,
                           sim->now);
      return;
    }
  sim->running_count[endpoint]++;
  event.at = sim->now
             + (snipe_time)(group->job->service_us[group->tasks[task]]
                            / sim->input->speeds[endpoint]);
  event_push (&sim->queue, &event);
}

static void
sim_offload (struct sim *sim, uint32_t host,
             const struct snipe_decision *decision)
{
  struct sim_group *parent = snipe_task_group_ctx (decision->group);
  struct sim_group *batch = g_new0 (struct sim_group, 1);
  struct event event = {
    .at = sim->now + sim->params->latency,
    .kind = EVENT_BATCH,
    .host = (uint32_t)decision->u.offload.incarnation - 1,
    .subject = batch,
  };

  batch->job = parent->job;
  batch->parent = parent;
  batch->coordinator = host;
  batch->host = event.host;
  batch->count = decision->u.offload.count;
  memcpy (batch->tasks, decision->u.offload.tasks,
          batch->count * sizeof batch->tasks[0]);
  batch->speed_min = decision->u.offload.speed_min;
  g_array_append_val (sim->offload_events, event);
  sim->batch_count++;
  sim->offloaded_count += batch->count;
}

static void
sim_apply_decisions (struct sim *sim, uint32_t host)
{
  struct sim_host *self = &sim->hosts[host];
  struct snipe_decision decision;
  snipe_time wake;

  while (snipe_sched_next (self->sched, sim->now, &decision))
    switch (decision.kind)
      {
      case SNIPE_DECISION_START:
        sim_start_task (sim, host, &decision);
        break;
      case SNIPE_DECISION_OFFLOAD:
        sim_offload (sim, host, &decision);
        break;
      case SNIPE_DECISION_EXPIRE:
        {
          struct sim_group *group = snipe_task_group_ctx (decision.group);
          group->rejected[group->rejected_count++] = decision.u.expire.task;
        }
        break;
      default:
        break;
      }
  /* Loads are read after the last decision; before, they would include queued
   * tasks and free slots that the next decision takes. */
  for (guint i = 0; i < sim->offload_events->len; i++)
    {
      struct event *event
          = &g_array_index (sim->offload_events, struct event, i);

      sim_host_load (sim, host, &event->load);
      event_push (&sim->queue, event);
    }
  g_array_set_size (sim->offload_events, 0);
  if (sim->policy == SNIPE_POLICY_POOLED)
    sim_offer_slots (sim, host);
  wake = snipe_sched_wakeup_time (self->sched, sim->now);
  if (wake != INT64_MAX
      && (self->wakeup_at <= sim->now || wake < self->wakeup_at))
    {
      struct event event
          = { .at = MAX (wake, sim->now + 1), .kind = EVENT_WAKEUP };

      event.host = host;
      self->wakeup_at = event.at;
      event_push (&sim->queue, &event);
    }
}

static void
sim_group_add (struct sim *sim, uint32_t host, struct sim_group *group,
               bool offloadable)
{
  struct snipe_group_task tasks[JOB_TASKS_MAX] = { { .kind = 0 } };
  struct snipe_task_group_options options = SNIPE_TASK_GROUP_OPTIONS_INIT;

  options.task_count = group->count;
  options.tasks = tasks;
  options.counts_against_quota = offloadable;
  options.speed_min = group->speed_min;
  options.ctx = group;
  for (uint32_t i = 0; i < group->count; i++)
    {
      tasks[i].needs.cores = 1;
      tasks[i].domains = UINT64_MAX;
      tasks[i].declared_duration
          = (snipe_time)group->job->declared_us[group->tasks[i]];
      tasks[i].offloadable = offloadable;
    }
  if (snipe_sched_group_add (&group->group, sim->hosts[host].sched, &options,
                             sim->now)
      != SNIPE_OK)
    {
      fprintf (stderr, "%s\n", snipe_status_last ());
      exit (EXIT_FAILURE);
    }
}

static void
sim_submit_job (struct sim *sim, struct sim_job *job)
{
  struct sim_group *group = g_new0 (struct sim_group, 1);

  group->job = job;
  group->coordinator = group->host = job->host;
  group->count = group->pending_count = job->task_count;
  for (uint32_t i = 0; i < group->count; i++)
    group->tasks[i] = i;
  sim->task_count += group->count;
  sim_group_add (sim, job->host, group, sim->policy == SNIPE_POLICY_POOLED);
  sim_apply_decisions (sim, job->host);
}

static void
sim_job_progress (struct sim *sim, struct sim_group *group,
                  uint32_t ended_count)
{
  group->pending_count -= ended_count;
  if (group->pending_count > 0)
    return;
  sim_job_set_ratio (sim->input, group->job, sim->now);
  snipe_sched_group_free (sim->hosts[group->host].sched, group->group);
  g_free (group);
  sim->jobs_left--;
}

static void
sim_task_end (struct sim *sim, const struct event *event)
{
  struct sim_group *group = event->subject;
  struct snipe_sched *sched = sim->hosts[event->host].sched;
  double service = group->job->service_us[group->tasks[event->task]];

  sim->running_count[event->endpoint]--;
  snipe_sched_task_end (
      sched, group->group, event->task, SNIPE_ATTEMPT_OK,
      (snipe_time)(service / sim->input->speeds[event->endpoint]), sim->now);
  if (group->parent == NULL)
    sim_job_progress (sim, group, 1);
  else if (--group->pending_count == 0)
    {
      struct event results = {
        .at = sim->now + sim->params->latency,
        .kind = EVENT_RESULTS,
        .host = group->coordinator,
        .subject = group,
      };

      snipe_sched_group_free (sched, group->group);
      group->group = NULL;
      sim_host_load (sim, event->host, &results.load);
      event_push (&sim->queue, &results);
    }
  sim_apply_decisions (sim, event->host);
}

static void
sim_handle_batch (struct sim *sim, const struct event *event)
{
  struct sim_group *batch = event->subject;
  struct event reply = {
    .at = sim->now + sim->params->latency,
    .kind = EVENT_REPLY,
    .host = batch->coordinator,
    .subject = batch,
  };

  sim_handle_load (sim, event->host, &event->load);
  sim->hosts[event->host].offered_slots[batch->coordinator] = 0;
  sim_group_add (sim, event->host, batch, false);
  sim_apply_decisions (sim, event->host);
  batch->rejected_count
      += snipe_sched_group_cancel (sim->hosts[event->host].sched, batch->group,
                                   batch->rejected + batch->rejected_count);
  batch->pending_count = batch->count - batch->rejected_count;
  if (batch->rejected_count > 0)
    {
      sim->hosts[event->host].has_queued[batch->coordinator] = true;
      sim->hosts[event->host].queued_count[batch->coordinator]
          += batch->rejected_count;
    }
  if (batch->pending_count == 0)
    {
      snipe_sched_group_free (sim->hosts[event->host].sched, batch->group);
      batch->group = NULL;
    }
  sim->rejected_count += batch->rejected_count;
  sim_host_load (sim, event->host, &reply.load);
  event_push (&sim->queue, &reply);
}

static void
sim_handle_reply (struct sim *sim, const struct event *event)
{
  struct sim_group *batch = event->subject;
  struct snipe_sched *sched = sim->hosts[event->host].sched;

  sim_handle_load (sim, event->host, &event->load);
  for (uint32_t i = 0; i < batch->rejected_count; i++)
    {
      uint32_t task = batch->tasks[batch->rejected[i]];

      snipe_sched_offload_end (sched, batch->parent->group, task, sim->now);
      snipe_sched_requeue (sched, batch->parent->group, task, sim->now);
    }
  if (batch->rejected_count == batch->count)
    g_free (batch);
  sim_apply_decisions (sim, event->host);
}

static void
sim_handle_results (struct sim *sim, const struct event *event)
{
  struct sim_group *batch = event->subject;
  bool rejected[JOB_TASKS_MAX] = { false };

  sim_handle_load (sim, event->host, &event->load);
  for (uint32_t i = 0; i < batch->rejected_count; i++)
    rejected[batch->rejected[i]] = true;
  for (uint32_t i = 0; i < batch->count; i++)
    if (!rejected[i])
      snipe_sched_offload_end (sim->hosts[event->host].sched,
                               batch->parent->group, batch->tasks[i],
                               sim->now);
  sim_job_progress (sim, batch->parent, batch->count - batch->rejected_count);
  sim_apply_decisions (sim, event->host);
  sim_send_load (sim, event->host, batch->host, EVENT_LOAD);
  g_free (batch);
}

static void
sim_handle_event (struct sim *sim, const struct event *event)
{
  struct event heartbeat = *event;

  switch (event->kind)
    {
    case EVENT_JOB_ARRIVAL:
      sim_submit_job (sim, event->subject);
      break;
    case EVENT_TASK_END:
      sim_task_end (sim, event);
      break;
    case EVENT_BATCH:
      sim_handle_batch (sim, event);
      break;
    case EVENT_REPLY:
      sim_handle_reply (sim, event);
      break;
    case EVENT_RESULTS:
      sim_handle_results (sim, event);
      break;
    case EVENT_REPORT:
    case EVENT_LOAD:
      sim_handle_load (sim, event->host, &event->load);
      sim_apply_decisions (sim, event->host);
      if (event->kind == EVENT_REPORT)
        sim_send_load (sim, event->host, (uint32_t)event->load.incarnation - 1,
                       EVENT_LOAD);
      break;
    case EVENT_HEARTBEAT:
      for (uint32_t i = 0; i < sim->input->hosts; i++)
        if (i != event->host)
          {
            sim->heartbeat_count++;
            sim_send_load (sim, event->host, i, EVENT_REPORT);
          }
      heartbeat.at += SNIPE_S;
      event_push (&sim->queue, &heartbeat);
      break;
    case EVENT_WAKEUP:
    default:
      sim_apply_decisions (sim, event->host);
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
  sim->running_count = g_new0 (uint32_t, input->endpoints);
  sim->jobs_left = input->job_count;
  sim->offload_events = g_array_new (FALSE, FALSE, sizeof (struct event));
  for (uint32_t i = 0; i < input->hosts; i++)
    {
      struct event heartbeat = {
        .at = SNIPE_S * i / input->hosts,
        .kind = EVENT_HEARTBEAT,
        .host = i,
      };

      sim->hosts[i].sched
          = sched_new (sim->params, sim->policy, sim->params->seed + i);
      sim->hosts[i].has_queued = g_new0 (bool, input->hosts);
      sim->hosts[i].queued_count = g_new0 (uint32_t, input->hosts);
      sim->hosts[i].offered_slots = g_new0 (uint32_t, input->hosts);
      sim->hosts[i].offered_until = g_new0 (snipe_time, input->hosts);
      snipe_sched_team (sim->hosts[i].sched, &text);
      snipe_sched_kind (sim->hosts[i].sched, &text, &text);
      /* The baseline policies have no pool owners: each host uses every
       * endpoint. */
      for (uint32_t j = 0; j < input->endpoints; j++)
        if (sim->policy != SNIPE_POLICY_POOLED || input->owners[j] == i)
          add_endpoint (sim->hosts[i].sched, j, "d");
      if (sim->policy == SNIPE_POLICY_POOLED)
        event_push (&sim->queue, &heartbeat);
    }
  for (uint32_t i = 0; i < input->job_count; i++)
    {
      struct event event = {
        .at = input->jobs[i].arrival,
        .kind = EVENT_JOB_ARRIVAL,
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
      sim_handle_event (&sim, &event);
    }
  stats = sim_stats_compute (input);
  tasks = (double)sim.task_count;
  sim_stats_print (names[policy], load, &stats, ideal);
  printf ("  %7.4f %7.4f %7.4f %7.4f %7.4f %7.4f\n",
          (double)sim.batch_count / tasks, (double)sim.offloaded_count / tasks,
          (double)sim.rejected_count / tasks, (double)sim.offer_count / tasks,
          (double)sim.heartbeat_count / tasks,
          (double)sim.refused_start_count / tasks);
  fflush (stdout);
  for (uint32_t i = 0; i < input->hosts; i++)
    {
      snipe_sched_free (sim.hosts[i].sched);
      g_free (sim.hosts[i].has_queued);
      g_free (sim.hosts[i].queued_count);
      g_free (sim.hosts[i].offered_slots);
      g_free (sim.hosts[i].offered_until);
    }
  g_free (sim.hosts);
  g_array_free (sim.offload_events, TRUE);
  g_free (sim.running_count);
  g_free (sim.queue.events);
}
