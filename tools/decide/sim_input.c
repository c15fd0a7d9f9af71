#include "sim_input.h"

#include <glib.h>
#include <math.h>

uint64_t
random_bits (uint64_t *state)
{
  uint64_t z = *state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

double
random_unit (uint64_t *state)
{
  return ((double)(random_bits (state) >> 11) + 0.5) * 0x1p-53;
}

uint32_t
random_below (uint64_t *state, uint32_t limit)
{
  return (uint32_t)(random_bits (state) % limit);
}

double
random_factor (uint64_t *state, double range)
{
  return exp (log (range) * (2 * random_unit (state) - 1));
}

void
sim_input_make (struct sim_input *input, const struct params *params,
                double load)
{
  uint64_t random_state = params->seed;
  double capacity = 0;
  double rate;
  double now = 0;

  *input = (struct sim_input){
    .endpoints = params->endpoints,
    .hosts = params->hosts,
    .job_count = params->jobs,
  };
  input->speeds = g_new (double, input->endpoints);
  input->owners = g_new (uint32_t, input->endpoints);
  for (uint32_t i = 0; i < input->endpoints; i++)
    {
      input->speeds[i] = random_factor (&random_state, 2);
      input->owners[i] = random_below (&random_state, input->hosts);
      input->max_speed = MAX (input->max_speed, input->speeds[i]);
      capacity += ENDPOINT_SLOTS * input->speeds[i];
    }
  /* Jobs per microsecond; 16.5 tasks of 525 ms on average. */
  rate = load * capacity / (16.5 * 525000);
  input->jobs = g_new0 (struct sim_job, input->job_count);
  for (uint32_t i = 0; i < input->job_count; i++)
    {
      struct sim_job *job = &input->jobs[i];

      now += -log (random_unit (&random_state)) / rate;
      job->arrival = (snipe_time)now;
      job->host = random_below (&random_state, input->hosts);
      job->task_count = 1 + random_below (&random_state, JOB_TASKS_MAX);
      for (uint32_t j = 0; j < job->task_count; j++)
        {
          job->service_us[j] = 50000 + random_unit (&random_state) * 950000;
          job->declared_us[j]
              = job->service_us[j]
                * random_factor (&random_state, params->declared_factor);
        }
    }
  input->last_arrival = (snipe_time)now;
}

void
sim_input_clear (struct sim_input *input)
{
  g_free (input->speeds);
  g_free (input->owners);
  g_free (input->jobs);
}

void
sim_job_set_ratio (const struct sim_input *input, struct sim_job *job,
                   snipe_time now)
{
  double longest = 0;

  for (uint32_t i = 0; i < job->task_count; i++)
    longest = MAX (longest, job->service_us[i]);
  job->response_ratio
      = (double)(now - job->arrival) * input->max_speed / longest;
}
