#include "ideal.h"

#include <glib.h>

#include "sim_event.h"

struct ideal_job
{
  struct sim_job *job;
  uint32_t order[JOB_TASKS_MAX]; /**< tasks, longest first */
  uint32_t next_start;           /**< place in order */
  uint32_t pending_count;
  double pending_service; /**< of tasks that have not ended, microseconds */
  double finish;          /**< latest end of a started task */
};

struct ideal
{
  const struct sim_input *input;
  enum ideal_kind kind;
  uint32_t *free_slots;
  GPtrArray *unstarted; /**< jobs with tasks that have not started */
  struct event_queue queue;
};

/* @return the endpoint for the next task, -1 if no slot is free. */
static int
ideal_pick_endpoint (const struct ideal *ideal,
                     const struct ideal_job *ideal_job, double service,
                     double now)
{
  const double *speeds = ideal->input->speeds;
  int fastest = -1;
  int slowest_in_time = -1;

  for (uint32_t i = 0; i < ideal->input->endpoints; i++)
    {
      if (ideal->free_slots[i] == 0)
        continue;
      if (fastest < 0 || speeds[i] > speeds[fastest])
        fastest = (int)i;
      if (now + service / speeds[i] <= ideal_job->finish
          && (slowest_in_time < 0 || speeds[i] < speeds[slowest_in_time]))
        slowest_in_time = (int)i;
    }
  return ideal->kind == IDEAL_SLACK && slowest_in_time >= 0 ? slowest_in_time
                                                            : fastest;
}

static void
ideal_start_tasks (struct ideal *ideal, snipe_time now)
{
  while (ideal->unstarted->len > 0)
    {
      struct ideal_job *ideal_job = NULL;
      struct event event = { .kind = EVENT_TASK_END };
      guint index = 0;
      int endpoint;

      for (guint i = 0; i < ideal->unstarted->len; i++)
        {
          struct ideal_job *other = g_ptr_array_index (ideal->unstarted, i);

          if (ideal_job == NULL
              || other->pending_service < ideal_job->pending_service)
            {
              ideal_job = other;
              index = i;
            }
        }
      event.task = ideal_job->order[ideal_job->next_start];
      endpoint = ideal_pick_endpoint (ideal, ideal_job,
                                      ideal_job->job->service_us[event.task],
                                      (double)now);
      if (endpoint < 0)
        return;
      ideal->free_slots[endpoint]--;
      event.endpoint = (uint32_t)endpoint;
      event.subject = ideal_job;
      event.at = now
                 + (snipe_time)(ideal_job->job->service_us[event.task]
                                / ideal->input->speeds[endpoint]);
      ideal_job->finish = MAX (ideal_job->finish, (double)event.at);
      event_push (&ideal->queue, &event);
      if (++ideal_job->next_start == ideal_job->job->task_count)
        g_ptr_array_remove_index_fast (ideal->unstarted, index);
    }
}

static void
ideal_job_init (struct ideal_job *ideal_job, struct sim_job *job)
{
  ideal_job->job = job;
  ideal_job->pending_count = job->task_count;
  for (uint32_t i = 0; i < job->task_count; i++)
    {
      uint32_t index = i;

      while (index > 0
             && job->service_us[ideal_job->order[index - 1]]
                    < job->service_us[i])
        {
          ideal_job->order[index] = ideal_job->order[index - 1];
          index--;
        }
      ideal_job->order[index] = i;
      ideal_job->pending_service += job->service_us[i];
    }
}

struct sim_stats
ideal_run (const struct sim_input *input, enum ideal_kind kind)
{
  struct ideal ideal = { .input = input, .kind = kind };
  struct ideal_job *ideal_jobs = g_new0 (struct ideal_job, input->job_count);
  uint32_t next = 0;

  ideal.free_slots = g_new (uint32_t, input->endpoints);
  ideal.unstarted = g_ptr_array_new ();
  for (uint32_t i = 0; i < input->endpoints; i++)
    ideal.free_slots[i] = ENDPOINT_SLOTS;
  while (next < input->job_count || ideal.queue.count > 0)
    {
      snipe_time now;

      if (ideal.queue.count == 0
          || (next < input->job_count
              && input->jobs[next].arrival <= ideal.queue.events[0].at))
        {
          now = input->jobs[next].arrival;
          ideal_job_init (&ideal_jobs[next], &input->jobs[next]);
          g_ptr_array_add (ideal.unstarted, &ideal_jobs[next]);
          next++;
        }
      else
        {
          struct event event = event_pop (&ideal.queue);
          struct ideal_job *ideal_job = event.subject;

          now = event.at;
          ideal.free_slots[event.endpoint]++;
          ideal_job->pending_service -= ideal_job->job->service_us[event.task];
          if (--ideal_job->pending_count == 0)
            sim_job_set_ratio (input, ideal_job->job, now);
        }
      ideal_start_tasks (&ideal, now);
    }
  g_ptr_array_free (ideal.unstarted, TRUE);
  g_free (ideal_jobs);
  g_free (ideal.free_slots);
  g_free (ideal.queue.events);
  return sim_stats_compute (input);
}
