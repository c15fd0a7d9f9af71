/* Measures the decision modules: the cost of a decision, and with --sim the
 * quality of the schedule in an event simulation with virtual time. */
#include <argp.h>
#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "snipe/sched.h"
#include "snipe/status.h"

#define SLOTS 8
#define JOB_TASKS_MAX 32
/* A host offers its free slots when they hold all tasks that wait at the other
 * host, when there are this many, or after this time. */
#define OFFER_SLOTS 8
#define OFFER_WAIT (100 * SNIPE_MS)

struct params
{
  bool sim;
  bool verbose;
  double pass_gain;
  double declared_factor;
  uint32_t hosts;
  uint32_t endpoints;
  uint32_t jobs;
  uint32_t load;
  snipe_time latency;
  uint64_t seed;
};

/* splitmix64 */
static uint64_t
random_bits (uint64_t *state)
{
  uint64_t z = *state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

static double
random_unit (uint64_t *state)
{
  return ((double)(random_bits (state) >> 11) + 0.5) * 0x1p-53;
}

static uint32_t
random_below (uint64_t *state, uint32_t limit)
{
  return (uint32_t)(random_bits (state) % limit);
}

/* @return a log-uniform factor in [1/range, range]. */
static double
random_factor (uint64_t *state, double range)
{
  return exp (log (range) * (2 * random_unit (state) - 1));
}

static struct snipe_sched *
sched_new (const struct params *params, enum snipe_policy policy,
           uint64_t seed)
{
  struct snipe_sched_options options = SNIPE_SCHED_OPTIONS_INIT;
  struct snipe_sched *sched;

  options.policy = policy;
  options.pass_gain = params->pass_gain;
  options.queue_max = UINT32_MAX;
  options.seed = seed;
  if (snipe_sched_new (&sched, &options) != SNIPE_OK)
    {
      fprintf (stderr, "%s\n", snipe_status_last ());
      exit (EXIT_FAILURE);
    }
  return sched;
}

static void
add_endpoint (struct snipe_sched *sched, uint32_t index, const char *domain)
{
  char name[16];
  char domain_name[16];
  struct snipe_endpoint_info info = { .slots = SLOTS, .cores = 64 };

  info.name.len = (size_t)snprintf (name, sizeof name, "%u", index);
  info.name.data = name;
  info.domain.len
      = (size_t)snprintf (domain_name, sizeof domain_name, "%s", domain);
  info.domain.data = domain_name;
  snipe_sched_endpoint_set (sched, &info, 0);
}

static uint32_t
endpoint_index (const struct snipe_sched_endpoint *endpoint)
{
  return (uint32_t)strtoul (snipe_sched_endpoint_info (endpoint)->name.data,
                            NULL, 10);
}

/* ---- cost of a decision ---- */

#define COST_BATCH 64

struct cost_running
{
  struct snipe_work *work;
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
  struct snipe_work_task tasks[JOB_TASKS_MAX] = { { .kind = 0 } };
  struct snipe_work_options options = SNIPE_WORK_OPTIONS_INIT;
  struct snipe_work *work;

  options.team = random_below (&cost->random, cost->teams);
  options.task_count = count;
  options.tasks = tasks;
  for (uint32_t i = 0; i < count; i++)
    {
      tasks[i].needs.cores = 1;
      tasks[i].domains = UINT64_MAX;
      tasks[i].kind = options.team;
      tasks[i].declared
          = (snipe_time)(50000 + random_unit (&cost->random) * 950000);
      tasks[i].passable = true;
    }
  if (snipe_sched_work_add (&work, cost->sched, &options, cost->now)
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

      running->work = decision.work;
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
  snipe_sched_task_end (cost->sched, running.work, running.task, SNIPE_END_OK,
                        (snipe_time)(500000 / cost->speeds[running.endpoint]),
                        cost->now);
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

static void
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

/* ---- simulation ---- */

struct sim_job
{
  snipe_time arrival;
  uint32_t host;
  uint32_t task_count;
  uint32_t left;
  double service[JOB_TASKS_MAX];  /**< at speed 1, microseconds */
  double declared[JOB_TASKS_MAX]; /**< microseconds */
  double ratio;                   /**< response over bound */
};

/* The arrivals and speeds that every policy is run on. */
struct sim_input
{
  uint32_t endpoints;
  uint32_t hosts;
  uint32_t job_count;
  double *speeds;
  uint32_t *owners;
  double fastest;
  struct sim_job *jobs;
  snipe_time end;
};

static void
input_make (struct sim_input *input, const struct params *params, double load)
{
  uint64_t random = params->seed;
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
      input->speeds[i] = random_factor (&random, 2);
      input->owners[i] = random_below (&random, input->hosts);
      input->fastest = MAX (input->fastest, input->speeds[i]);
      capacity += SLOTS * input->speeds[i];
    }
  /* Jobs per microsecond; 16.5 tasks of 525 ms on average. */
  rate = load * capacity / (16.5 * 525000);
  input->jobs = g_new0 (struct sim_job, input->job_count);
  for (uint32_t i = 0; i < input->job_count; i++)
    {
      struct sim_job *job = &input->jobs[i];

      now += -log (random_unit (&random)) / rate;
      job->arrival = (snipe_time)now;
      job->host = random_below (&random, input->hosts);
      job->task_count = 1 + random_below (&random, JOB_TASKS_MAX);
      for (uint32_t j = 0; j < job->task_count; j++)
        {
          job->service[j] = 50000 + random_unit (&random) * 950000;
          job->declared[j]
              = job->service[j]
                * random_factor (&random, params->declared_factor);
        }
    }
  input->end = (snipe_time)now;
}

static void
input_clear (struct sim_input *input)
{
  g_free (input->speeds);
  g_free (input->owners);
  g_free (input->jobs);
}

static void
job_ended (const struct sim_input *input, struct sim_job *job, snipe_time now)
{
  double longest = 0;

  for (uint32_t i = 0; i < job->task_count; i++)
    longest = MAX (longest, job->service[i]);
  job->ratio = (double)(now - job->arrival) * input->fastest / longest;
}

enum event_kind
{
  EVENT_ARRIVE,
  EVENT_TASK_END,
  EVENT_BATCH,   /**< RUN_BATCH reaches the peer */
  EVENT_REPLY,   /**< the reply to RUN_BATCH reaches the home host */
  EVENT_RESULTS, /**< RESULTS reach the home host */
  EVENT_REPORT,  /**< OFFER or HELLO reaches a host */
  EVENT_LOAD,    /**< the load in a reply reaches a host */
  EVENT_HELLO,   /**< time to send HELLO */
  EVENT_WAKE,
};

struct event
{
  snipe_time at;
  uint64_t seq;
  enum event_kind kind;
  uint32_t host;
  uint32_t task;
  uint32_t endpoint;
  void *subject; /**< work, batch or job */
  struct snipe_peer_load load;
};

struct event_queue
{
  struct event *events;
  uint32_t count;
  uint32_t room;
  uint64_t seq;
};

static bool
event_before (const struct event *a, const struct event *b)
{
  return a->at < b->at || (a->at == b->at && a->seq < b->seq);
}

static void
event_push (struct event_queue *queue, const struct event *event)
{
  uint32_t index = queue->count++;
  struct event added = *event;

  added.seq = queue->seq++;
  if (queue->count > queue->room)
    {
      queue->room = queue->room * 2 + 64;
      queue->events = g_renew (struct event, queue->events, queue->room);
    }
  while (index > 0 && event_before (&added, &queue->events[(index - 1) / 2]))
    {
      queue->events[index] = queue->events[(index - 1) / 2];
      index = (index - 1) / 2;
    }
  queue->events[index] = added;
}

static struct event
event_pop (struct event_queue *queue)
{
  struct event first = queue->events[0];
  struct event last = queue->events[--queue->count];
  uint32_t index = 0;

  for (;;)
    {
      uint32_t child = 2 * index + 1;

      if (child >= queue->count)
        break;
      if (child + 1 < queue->count
          && event_before (&queue->events[child + 1], &queue->events[child]))
        child++;
      if (!event_before (&queue->events[child], &last))
        break;
      queue->events[index] = queue->events[child];
      index = child;
    }
  queue->events[index] = last;
  return first;
}

/* The tasks of a job that run at its home host, or those that a peer got. */
struct sim_work
{
  struct snipe_work *work;
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

struct sim_host
{
  struct snipe_sched *sched;
  bool *waiting; /**< hosts that have work for this one */
  uint32_t *wanted;
  uint32_t *offered;
  snipe_time *offered_until;
  snipe_time free_since;
  uint32_t next;
  snipe_time wake;
};

struct sim
{
  const struct params *params;
  const struct sim_input *input;
  enum snipe_policy policy;
  struct sim_host *hosts;
  struct event_queue queue;
  uint32_t *running; /**< of each endpoint */
  snipe_time now;
  uint32_t jobs_left;
  GArray *passes; /**< batches of the decisions being taken */
  uint64_t tasks;
  uint64_t batches;
  uint64_t passed;
  uint64_t passed_refused;
  uint64_t offers;
  uint64_t hellos;
  uint64_t refused;
};

static void sim_pump (struct sim *sim, uint32_t host);

static void
sim_load (struct sim *sim, uint32_t host, struct snipe_peer_load *load)
{
  snipe_sched_load (sim->hosts[host].sched, sim->now, load);
  load->incarnation = host + 1;
  load->live = true;
}

static void
sim_report_free (struct sim *sim, uint32_t from, uint32_t to,
                 enum event_kind kind, uint32_t most)
{
  struct event event = {
    .at = sim->now + sim->params->latency,
    .kind = kind,
    .host = to,
  };

  sim_load (sim, from, &event.load);
  event.load.free_slots = MIN (event.load.free_slots, most);
  event_push (&sim->queue, &event);
}

static void
sim_report (struct sim *sim, uint32_t from, uint32_t to, enum event_kind kind)
{
  sim_report_free (sim, from, to, kind, UINT32_MAX);
}

static void
sim_load_received (struct sim *sim, uint32_t host,
                   const struct snipe_peer_load *load)
{
  snipe_sched_peer_set (sim->hosts[host].sched, load, sim->now);
  sim->hosts[host].waiting[load->incarnation - 1] = load->queued > 0;
  sim->hosts[host].wanted[load->incarnation - 1] = load->queued;
}

static void
sim_start (struct sim *sim, uint32_t host,
           const struct snipe_decision *decision)
{
  struct sim_work *work = snipe_work_ctx (decision->work);
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
                            SNIPE_END_REFUSED_FULL, 0, sim->now);
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
  struct sim_work *parent = snipe_work_ctx (decision->work);
  struct sim_work *batch = g_new0 (struct sim_work, 1);
  struct event event = {
    .at = sim->now + sim->params->latency,
    .kind = EVENT_BATCH,
    .host = (uint32_t)decision->u.pass.incarnation - 1,
    .subject = batch,
  };

  batch->job = parent->job;
  batch->parent = parent;
  batch->home = host;
  batch->host = event.host;
  batch->count = decision->u.pass.count;
  memcpy (batch->tasks, decision->u.pass.tasks,
          batch->count * sizeof batch->tasks[0]);
  batch->speed_min = decision->u.pass.speed_min;
  g_array_append_val (sim->passes, event);
  sim->batches++;
  sim->passed += batch->count;
}

static void
sim_offer (struct sim *sim, uint32_t host)
{
  struct sim_host *self = &sim->hosts[host];
  struct snipe_peer_load load;
  uint32_t offered = 0;

  sim_load (sim, host, &load);
  if (load.free_slots == 0 || load.queued > 0)
    {
      self->free_since = 0;
      return;
    }
  for (uint32_t i = 0; i < sim->input->hosts; i++)
    {
      if (self->offered_until[i] <= sim->now)
        self->offered[i] = 0;
      offered += self->offered[i];
    }
  for (uint32_t i = 0; i < sim->input->hosts && load.free_slots > offered; i++)
    {
      uint32_t to = (self->next + i) % sim->input->hosts;
      uint32_t count = MIN (self->wanted[to], load.free_slots - offered);

      if (!self->waiting[to] || count == 0)
        continue;
      if (count < OFFER_SLOTS && count < self->wanted[to]
          && (self->free_since == 0
              || sim->now - self->free_since < OFFER_WAIT))
        {
          if (self->free_since == 0)
            {
              struct event event = {
                .at = sim->now + OFFER_WAIT,
                .kind = EVENT_WAKE,
                .host = host,
              };

              self->free_since = sim->now;
              event_push (&sim->queue, &event);
            }
          return;
        }
      self->waiting[to] = false;
      self->offered[to] = count;
      self->offered_until[to] = sim->now + 4 * sim->params->latency + 1000;
      offered += count;
      sim->offers++;
      sim_report_free (sim, host, to, EVENT_REPORT, count);
      self->free_since = 0;
    }
  self->next++;
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
      case SNIPE_DECISION_PASS:
        sim_pass (sim, host, &decision);
        break;
      case SNIPE_DECISION_EXPIRE:
        {
          struct sim_work *work = snipe_work_ctx (decision.work);
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
  wake = snipe_sched_wakeup (self->sched, sim->now);
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
  struct snipe_work_task tasks[JOB_TASKS_MAX] = { { .kind = 0 } };
  struct snipe_work_options options = SNIPE_WORK_OPTIONS_INIT;

  options.task_count = work->count;
  options.tasks = tasks;
  options.counts_quota = passable;
  options.speed_min = work->speed_min;
  options.ctx = work;
  for (uint32_t i = 0; i < work->count; i++)
    {
      tasks[i].needs.cores = 1;
      tasks[i].domains = UINT64_MAX;
      tasks[i].declared = (snipe_time)work->job->declared[work->tasks[i]];
      tasks[i].passable = passable;
    }
  if (snipe_sched_work_add (&work->work, sim->hosts[host].sched, &options,
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
  job_ended (sim->input, work->job, sim->now);
  snipe_sched_work_free (sim->hosts[work->host].sched, work->work);
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
      sched, work->work, event->task, SNIPE_END_OK,
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

      snipe_sched_work_free (sched, work->work);
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
      += snipe_sched_work_cancel (sim->hosts[event->host].sched, batch->work,
                                  batch->refused + batch->refused_count);
  batch->left = batch->count - batch->refused_count;
  if (batch->refused_count > 0)
    {
      sim->hosts[event->host].waiting[batch->home] = true;
      sim->hosts[event->host].wanted[batch->home] += batch->refused_count;
    }
  if (batch->left == 0)
    {
      snipe_sched_work_free (sim->hosts[event->host].sched, batch->work);
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

      snipe_sched_pass_end (sched, batch->parent->work, task, sim->now);
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
      snipe_sched_pass_end (sim->hosts[event->host].sched, batch->parent->work,
                            batch->tasks[i], sim->now);
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

static int
by_ratio (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

struct sim_stats
{
  double mean;
  double p50;
  double p99;
};

/* The first tenth of the jobs is left out: speeds are learnt there. */
static struct sim_stats
input_stats (const struct sim_input *input)
{
  uint32_t skip = input->job_count / 10;
  uint32_t count = input->job_count - skip;
  double *ratios = g_new (double, count);
  struct sim_stats stats = { 0, 0, 0 };

  for (uint32_t i = 0; i < count; i++)
    {
      ratios[i] = input->jobs[skip + i].ratio;
      stats.mean += ratios[i] / count;
    }
  qsort (ratios, count, sizeof *ratios, by_ratio);
  stats.p50 = ratios[count / 2];
  stats.p99 = ratios[(size_t)(count * 0.99)];
  g_free (ratios);
  return stats;
}

static void
print_stats (const char *name, double load, const struct sim_stats *stats,
             const struct sim_stats *ideal)
{
  printf ("%4.0f%% %-13s %8.3f %8.3f %8.3f", load * 100, name, stats->mean,
          stats->p50, stats->p99);
  if (ideal != NULL)
    printf ("  %6.3f %6.3f %6.3f", stats->mean / ideal->mean,
            stats->p50 / ideal->p50, stats->p99 / ideal->p99);
}

static void
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
  stats = input_stats (input);
  tasks = (double)sim.tasks;
  print_stats (names[policy], load, &stats, ideal);
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

/* ---- clairvoyant schedules ---- */

/* One scheduler over all slots that knows true durations and speeds. */
enum ideal_kind
{
  IDEAL_FASTEST, /**< fastest free endpoint */
  IDEAL_SLACK,   /**< slowest one that does not delay the job */
  IDEAL_COUNT
};

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

static struct sim_stats
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
            job_ended (input, entry->job, now);
        }
      ideal_place (&ideal, now);
    }
  g_ptr_array_free (ideal.waiting, TRUE);
  g_free (entries);
  g_free (ideal.free);
  g_free (ideal.queue.events);
  return input_stats (input);
}

static void
sim_table (const struct params *params)
{
  static const double loads[] = { 0.5, 0.8, 0.95 };
  static const char *const ideal_names[] = { "ideal-fastest", "ideal-slack" };

  printf ("seed %llu, %u jobs, %u hosts, %u endpoints, pass gain %.2f, "
          "declared factor %.2f, latency %d us\n",
          (unsigned long long)params->seed, params->jobs, params->hosts,
          params->endpoints, params->pass_gain, params->declared_factor,
          (int)params->latency);
  printf ("load policy            mean      p50      p99  ratio to the ideal  "
          "   batch  passed refused   offer   hello   start\n"
          "                  response over the bound        mean    p50    "
          "p99     /task   /task   /task   /task   /task refused\n");
  for (int i = 0; i < 3; i++)
    {
      struct sim_input input;
      struct sim_stats ideal = { 0, 0, 0 };

      if (params->load != 0 && fabs (params->load / 100.0 - loads[i]) > 1e-6)
        continue;
      input_make (&input, params, loads[i]);
      for (int kind = 0; kind < IDEAL_COUNT; kind++)
        {
          struct sim_stats stats = ideal_run (&input, (enum ideal_kind)kind);

          print_stats (ideal_names[kind], loads[i], &stats, NULL);
          printf ("\n");
          if (kind == 0 || stats.mean < ideal.mean)
            ideal = stats;
        }
      sim_run (params, &input, SNIPE_POLICY_POOLED, loads[i], &ideal);
      if (params->verbose)
        for (int policy = SNIPE_POLICY_RANDOM;
             policy <= SNIPE_POLICY_LEAST_STALE; policy++)
          sim_run (params, &input, (enum snipe_policy)policy, loads[i],
                   &ideal);
      input_clear (&input);
    }
}

enum option_key
{
  OPTION_SIM = 256,
  OPTION_PASS_GAIN,
  OPTION_DECLARED,
  OPTION_HOSTS,
  OPTION_ENDPOINTS,
  OPTION_SEED,
  OPTION_JOBS,
  OPTION_LOAD,
  OPTION_LATENCY,
  OPTION_POOLED,
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct params *params = state->input;

  switch (key)
    {
    case OPTION_SIM:
      params->sim = true;
      return 0;
    case OPTION_PASS_GAIN:
      params->pass_gain = g_ascii_strtod (arg, NULL);
      return 0;
    case OPTION_DECLARED:
      params->declared_factor = MAX (1.0, g_ascii_strtod (arg, NULL));
      return 0;
    case OPTION_HOSTS:
      params->hosts = (uint32_t)MAX (1, g_ascii_strtoull (arg, NULL, 10));
      return 0;
    case OPTION_ENDPOINTS:
      params->endpoints = (uint32_t)MAX (1, g_ascii_strtoull (arg, NULL, 10));
      return 0;
    case OPTION_SEED:
      params->seed = g_ascii_strtoull (arg, NULL, 10);
      return 0;
    case OPTION_JOBS:
      params->jobs = (uint32_t)MAX (100, g_ascii_strtoull (arg, NULL, 10));
      return 0;
    case OPTION_LOAD:
      params->load = (uint32_t)g_ascii_strtoull (arg, NULL, 10);
      return 0;
    case OPTION_LATENCY:
      params->latency = g_ascii_strtoll (arg, NULL, 10);
      return 0;
    case OPTION_POOLED:
      params->verbose = false;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "sim", OPTION_SIM, NULL, 0, "Simulate the schedule", 0 },
    { "pass-gain", OPTION_PASS_GAIN, "RATIO", 0, "Gain that passes a task",
      0 },
    { "declared-factor", OPTION_DECLARED, "F", 0,
      "Declared durations are off by up to F", 0 },
    { "hosts", OPTION_HOSTS, "N", 0, "Entry hosts", 0 },
    { "endpoints", OPTION_ENDPOINTS, "N", 0, "Endpoints of all hosts", 0 },
    { "seed", OPTION_SEED, "N", 0, "Seed of the arrivals", 0 },
    { "jobs", OPTION_JOBS, "N", 0, "Jobs of a run", 0 },
    { "load", OPTION_LOAD, "PERCENT", 0, "Only this load: 50, 80 or 95", 0 },
    { "latency", OPTION_LATENCY, "US", 0, "One way between hosts", 0 },
    { "pooled-only", OPTION_POOLED, NULL, 0, "Leave out the baselines", 0 },
    { NULL, 0, NULL, 0, NULL, 0 },
  };
  struct argp argp = {
    .options = options,
    .parser = parse_option,
    .doc = "Measures the cost and the quality of scheduling decisions.",
  };
  struct params params = {
    .verbose = true,
    .pass_gain = 1.25,
    .declared_factor = 1,
    .hosts = 7,
    .endpoints = 48,
    .jobs = 20000,
    .latency = 500,
    .seed = 1,
  };

  argp_parse (&argp, argc, argv, 0, NULL, &params);
  if (params.sim)
    sim_table (&params);
  else
    cost_table (&params);
  return EXIT_SUCCESS;
}
