#include "ideal.h"

#include <glib.h>

#include "sim_event.h"

struct ideal_job
{
  struct sim_job *job;
  uint32_t order[JOB_TASKS_MAX]; /**< longest first */
  uint32_t next;
  uint32_t left;
  double remaining; /**< of tasks that have not ended */
  double finish;    /**< latest end of a started task */
};

struct ideal
{
  const struct sim_input *input;
  enum ideal_kind kind;
  uint32_t *free;
  GPtrArray *waiting; /**< jobs with tasks that have not started */
  struct event_queue queue;
};

/* @return an endpoint by the rule of the schedule, -1 if all are full. */
static int
ideal_pick (const struct ideal *ideal, const struct ideal_job *entry,
            double service, double now)
{
  const double *speeds = ideal->input->speeds;
  int fastest = -1;
  int enough = -1;

  for (uint32_t i = 0; i < ideal->input->endpoints; i++)
    {
      if (ideal->free[i] == 0)
        continue;
      if (fastest < 0 || speeds[i] > speeds[fastest])
        fastest = (int)i;
      if (now + service / speeds[i] <= entry->finish
          && (enough < 0 || speeds[i] < speeds[enough]))
        enough = (int)i;
    }
  return ideal->kind == IDEAL_SLACK && enough >= 0 ? enough : fastest;
}

static void
ideal_place (struct ideal *ideal, snipe_time now)
{
  while (ideal->waiting->len > 0)
    {
      struct ideal_job *entry = NULL;
      struct event event = { .kind = EVENT_TASK_END };
      guint place = 0;
      int endpoint;

      for (guint i = 0; i < ideal->waiting->len; i++)
        {
          struct ideal_job *other = g_ptr_array_index (ideal->waiting, i);

          if (entry == NULL || other->remaining < entry->remaining)
            {
              entry = other;
              place = i;
            }
        }
      event.task = entry->order[entry->next];
      endpoint = ideal_pick (ideal, entry, entry->job->service[event.task],
                             (double)now);
      if (endpoint < 0)
        return;
      ideal->free[endpoint]--;
      event.endpoint = (uint32_t)endpoint;
      event.subject = entry;
      event.at = now
                 + (snipe_time)(entry->job->service[event.task]
                                / ideal->input->speeds[endpoint]);
      entry->finish = MAX (entry->finish, (double)event.at);
      event_push (&ideal->queue, &event);
      if (++entry->next == entry->job->task_count)
        g_ptr_array_remove_index_fast (ideal->waiting, place);
    }
}

static void
ideal_job_set (struct ideal_job *entry, struct sim_job *job)
{
  entry->job = job;
  entry->left = job->task_count;
  for (uint32_t i = 0; i < job->task_count; i++)
    {
      uint32_t place = i;

      while (place > 0
             && job->service[entry->order[place - 1]] < job->service[i])
        {
          entry->order[place] = entry->order[place - 1];
          place--;
        }
      entry->order[place] = i;
      entry->remaining += job->service[i];
    }
}

struct sim_stats
ideal_run (const struct sim_input *input, enum ideal_kind kind)
{
  struct ideal ideal = { .input = input, .kind = kind };
  struct ideal_job *entries = g_new0 (struct ideal_job, input->job_count);
  uint32_t next = 0;

  ideal.free = g_new (uint32_t, input->endpoints);
  ideal.waiting = g_ptr_array_new ();
  for (uint32_t i = 0; i < input->endpoints; i++)
    ideal.free[i] = SLOTS;
  while (next < input->job_count || ideal.queue.count > 0)
    {
      snipe_time now;

      if (ideal.queue.count == 0
          || (next < input->job_count
              && input->jobs[next].arrival <= ideal.queue.events[0].at))
        {
          now = input->jobs[next].arrival;
          ideal_job_set (&entries[next], &input->jobs[next]);
          g_ptr_array_add (ideal.waiting, &entries[next]);
          next++;
        }
      else
        {
          struct event event = event_pop (&ideal.queue);
          struct ideal_job *entry = event.subject;

          now = event.at;
          ideal.free[event.endpoint]++;
          entry->remaining -= entry->job->service[event.task];
          if (--entry->left == 0)
            sim_job_ended (input, entry->job, now);
        }
      ideal_place (&ideal, now);
    }
  g_ptr_array_free (ideal.waiting, TRUE);
  g_free (entries);
  g_free (ideal.free);
  g_free (ideal.queue.events);
  return sim_stats_of (input);
}
