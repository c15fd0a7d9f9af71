/**
 * @file fleet.h
 * Plays a plan: whole hosts in virtual time, with their callers and the store,
 * and checks what they do.
 */
#ifndef TESTS_FLEET_FLEET_H
#define TESTS_FLEET_FLEET_H

#include "fleet/endpoints.h"
#include "fleet/plan.h"
#include "fleet/transport.h"
#include "node/private.h"

#define PRIORITIES 3 /* with shared_order */
/* Callers that submit a job again do so after this time, as
 * snipe_node_options.resend_after says. */
#define FLEET_RESUBMIT_DELAY (1300 * SNIPE_MS)
#define FLEET_SUBMISSIONS_MAX 3U
/* Time after the last deadline and disturbance in which everything ends. */
#define FLEET_QUIET (6 * SNIPE_S)
#define FLEET_LATE_MAX (12 * SNIPE_S)
#define FLEET_STORE_DELAY (4 * SNIPE_MS)
/* As in platform/store.c. */
#define FLEET_STORE_TIMEOUT (1500 * SNIPE_MS)
#define FLEET_STORE_RETRY_MIN (200 * SNIPE_MS)
#define FLEET_STORE_RETRY_MAX (1600 * SNIPE_MS)
#define FLEET_OPERATOR_RETRY (400 * SNIPE_MS)
/* A domain is evacuated within this time of the operator's request. */
#define FLEET_EVACUATE_MAX (5 * SNIPE_S)
/* A job that no pool can run is rejected within this time. */
#define FLEET_REJECT_MAX (100 * SNIPE_MS)

/** One request of a caller. */
struct submission
{
  uint32_t job;
  uint32_t host;
  uint32_t generation;
  uint64_t incarnation;
  uint32_t number; /**< of the job's submissions, from 1 */
  snipe_time at;
  bool submitted;
  bool broken; /**< its caller has left or lost its connection */
  uint32_t answers;
  snipe_time answered_at; /**< 0: never */
  struct snipe_coordinator_answer answer;
};

struct fleet_host
{
  uint32_t index;
  char name[8];
  char domain[8];
  char address[32];
  struct snipe_node *node;
  snipe_time requested_at; /**< last read of the endpoints */
  bool read_pending;
  bool store_lost;
  snipe_time retry_delay;
  snipe_time retry_at;
};

enum violation_kind
{
  VIOLATION_NONE,
  VIOLATION_TWO_RUNS,
  VIOLATION_ANSWERS,
  VIOLATION_RUN_LEFT,
  VIOLATION_NOT_RUN,
  VIOLATION_COMPLETE,
  VIOLATION_HOST_LOST,
  VIOLATION_FORBIDDEN, /**< a start */
  VIOLATION_EVACUATED, /**< a start */
  VIOLATION_HELD,      /**< a job that no pool can run */
};

struct violation
{
  enum violation_kind kind;
  snipe_time at;
  char task[SNIPE_TASK_NAME_BYTES];
  char text[256];
};

struct fleet_totals
{
  uint64_t seeds;
  uint64_t submissions;
  uint64_t runs;
  uint64_t answers[SNIPE_COORDINATOR_UNKNOWN + 1];
  uint64_t repeated_runs;
  uint64_t over_capacity;
  uint64_t events;
};

struct fleet
{
  const struct plan *plan;
  snipe_time start;
  struct fleet_host hosts[SIM_HOSTS];
  GPtrArray *submissions; /**< struct submission, all of them */
  struct submission *last_submission[PLAN_JOBS_MAX];
  uint64_t store_version;
  uint32_t store_cuts[SIM_HOSTS];   /**< number of those that last */
  uint32_t store_silent[SIM_HOSTS]; /**< of them, without an answer */
  struct
  {
    bool evacuated;
    uint64_t version; /**< of the operator's last write, 0: none */
  } domains[PLAN_DOMAINS];
  struct violation violation;
};

static const char *const fleet_domains[PLAN_DOMAINS] = { "a", "b", "c" };

static struct fleet fleet;
static struct fleet_totals fleet_totals;

static void G_GNUC_PRINTF (3, 4)
    fleet_violate (enum violation_kind kind, const char *task,
                   const char *format, ...)
{
  va_list args;

  if (fleet.violation.kind != VIOLATION_NONE)
    return;
  fleet.violation.kind = kind;
  fleet.violation.at = sim.now;
  g_strlcpy (fleet.violation.task, task, sizeof fleet.violation.task);
  va_start (args, format);
  vsnprintf (fleet.violation.text, sizeof fleet.violation.text, format, args);
  va_end (args);
  sim_note (SIM_NO_HOST, true, "VIOLATION task=%s %s", task,
            fleet.violation.text);
}

static const struct plan_job *
fleet_job_of_task (const char *task)
{
  for (uint32_t i = 0; i < fleet.plan->job_count; i++)
    if (strncmp (fleet.plan->jobs[i].id, task, 16) == 0)
      return &fleet.plan->jobs[i];
  g_error ("unknown task %s", task);
}

static snipe_time
fleet_duration (const char *task)
{
  return fleet_job_of_task (task)->duration;
}

static int64_t
fleet_size (const char *task)
{
  return fleet_job_of_task (task)->cpu;
}

static bool
fleet_crashes_endpoint (const char *task)
{
  return fleet_job_of_task (task)->crashes;
}

static void
fleet_on_forbidden (const char *task, const char *what)
{
  fleet_violate (VIOLATION_FORBIDDEN, task, "%s", what);
}

static void
fleet_on_restarted (void)
{
  fleet.store_version++;
}

static void
fleet_resize_endpoint (void *data)
{
  const struct plan_resize *resize = data;

  endpoint_resize (&endpoints.list[resize->endpoint], resize->percent);
  fleet.store_version++;
}

static void
fleet_on_duplicate (const struct endpoint_run *run,
                    const struct endpoint_run *other)
{
  fleet_violate (VIOLATION_TWO_RUNS, run->task,
                 "two runs at a time: run %u at %s by h%u, run %u at %s by "
                 "h%u since %" G_GINT64_FORMAT " ms",
                 run->run, endpoints.list[run->endpoint].entry.id, run->host,
                 other->run, endpoints.list[other->endpoint].entry.id,
                 other->host, (sim.now - other->started_at) / SNIPE_MS);
}

static void
fleet_on_endpoint_answer (const struct endpoint_request *request,
                          enum snipe_endpoint_answer answer,
                          const struct snipe_endpoint_report *report)
{
  struct snipe_node *node = fleet.hosts[request->host].node;
  const char *id = endpoints.list[request->endpoint].entry.id;

  switch (request->kind)
    {
    case ENDPOINT_START:
      snipe_node_on_start (node, request->token, id, request->task,
                           request->run, answer, report, sim.now);
      break;
    case ENDPOINT_STOP:
      snipe_node_on_stop (node, request->token, id, request->task,
                          request->run, answer, report, sim.now);
      break;
    case ENDPOINT_POLL:
      snipe_node_on_poll (node, request->token, id, answer, report, sim.now);
      break;
    }
}

static void
fleet_on_start (void *ctx, const struct snipe_pool_start_request *from)
{
  struct endpoint_request request
      = { .kind = ENDPOINT_START,
          .host = ((struct fleet_host *)ctx)->index,
          .endpoint = endpoint_index (from->endpoint->id),
          .token = from->token,
          .run = from->run,
          .valid_until = from->valid_until,
          .send_within = from->send_within,
          .timeout = from->timeout,
          .coordinator = from->coordinator };

  g_strlcpy (request.task, from->task, sizeof request.task);
  endpoint_send (&request);
}

static void
fleet_on_stop (void *ctx, const struct snipe_pool_stop_request *from)
{
  struct endpoint_request request
      = { .kind = ENDPOINT_STOP,
          .host = ((struct fleet_host *)ctx)->index,
          .endpoint = endpoint_index (from->endpoint->id),
          .token = from->token,
          .run = from->run,
          .send_within = from->send_within,
          .timeout = from->timeout };

  g_strlcpy (request.task, from->task, sizeof request.task);
  endpoint_send (&request);
}

static void
fleet_on_poll (void *ctx, const struct snipe_pool_poll_request *from)
{
  struct endpoint_request request
      = { .kind = ENDPOINT_POLL,
          .host = ((struct fleet_host *)ctx)->index,
          .endpoint = endpoint_index (from->endpoint->id),
          .token = from->token,
          .last_seen_end = from->last_seen_end,
          .valid_until = from->valid_until,
          .wait = from->wait,
          .send_within = from->send_within,
          .timeout = from->timeout };

  endpoint_send (&request);
}

static void fleet_resubmit (struct submission *submission);

static void
fleet_on_answer (void *ctx, void *job_ctx,
                 const struct snipe_coordinator_answer *answer)
{
  static const char *const names[]
      = { "complete", "failed", "not run", "unknown" };
  struct submission *submission = job_ctx;

  sim_note (((struct fleet_host *)ctx)->index, false,
            "ANSWER job=%s submission=%u outcome=%s code=%d%s",
            fleet.plan->jobs[submission->job].id, submission->number,
            names[answer->outcome], answer->code,
            submission->broken ? " (caller gone)" : "");
  submission->answers++;
  submission->answer = *answer;
  submission->answered_at = sim.now;
  fleet_totals.answers[answer->outcome]++;
  if (submission->answers > 1)
    fleet_violate (VIOLATION_ANSWERS, fleet.plan->jobs[submission->job].id,
                   "%u answers", submission->answers);
  if (answer->outcome == SNIPE_COORDINATOR_UNKNOWN && !submission->broken)
    fleet_resubmit (submission);
}

static uint64_t
fleet_store_version (void)
{
  snipe_time interval = fleet.plan->store_write_interval;

  return fleet.store_version
         + (interval == 0 ? 0
                          : (uint64_t)((sim.now - fleet.start) / interval));
}

static void
fleet_join (void *data)
{
  const struct plan_join *join = data;

  endpoints.list[join->endpoint].unlisted = false;
  fleet.store_version++;
  sim_note (SIM_NO_HOST, true, "JOINED endpoint=%s",
            endpoints.list[join->endpoint].entry.id);
}

/* A read of the list of endpoints has ended. */
static void
fleet_on_store_read (void *data)
{
  struct fleet_host *host = data;

  host->read_pending = false;
  if (fleet.store_cuts[host->index] > 0)
    {
      if (!host->store_lost)
        snipe_node_set_store_reachable (host->node, false, sim.now);
      host->store_lost = true;
      host->retry_delay = CLAMP (2 * host->retry_delay, FLEET_STORE_RETRY_MIN,
                                 FLEET_STORE_RETRY_MAX);
      host->retry_at = sim.now + host->retry_delay;
      return;
    }
  if (host->store_lost)
    snipe_node_set_store_reachable (host->node, true, sim.now);
  host->store_lost = false;
  host->retry_delay = 0;
  snipe_node_set_store_version (host->node, fleet_store_version (), false,
                                sim.now);
  for (uint32_t i = 0; i < endpoints.count; i++)
    if (!endpoints.list[i].unlisted)
      snipe_node_endpoint_set (host->node, &endpoints.list[i].entry, sim.now);
  snipe_node_directory_synced (host->node, host->requested_at, sim.now);
}

static void
fleet_read_store (struct fleet_host *host)
{
  if (host->read_pending || sim.now < host->retry_at)
    return;
  host->read_pending = true;
  host->requested_at = sim.now;
  sim_at (sim.now
              + (fleet.store_silent[host->index] > 0 ? FLEET_STORE_TIMEOUT
                                                     : FLEET_STORE_DELAY),
          host->index, fleet_on_store_read, host);
}

static void
fleet_on_refresh (void *ctx)
{
  fleet_read_store (ctx);
}

static void
fleet_on_deregister (void *ctx, const char *address)
{
  (void)ctx;
  (void)address;
}

static bool
fleet_on_endpoint_changes (void *ctx, uint64_t after, uint64_t version,
                           const struct snipe_str *rows)
{
  (void)ctx;
  (void)after;
  (void)version;
  (void)rows;
  return false;
}

static void
fleet_on_get_config (void *ctx, uint64_t *version, struct snipe_str *text)
{
  (void)ctx;
  (void)version;
  (void)text;
}

static void
fleet_on_peer_config (void *ctx, uint64_t version,
                      const struct snipe_str *text)
{
  (void)ctx;
  (void)version;
  (void)text;
}

static snipe_time
fleet_callers_handled (void *ctx)
{
  snipe_time behind_since
      = sim.processes[((struct fleet_host *)ctx)->index].behind_since;

  return behind_since == 0 || fleet.plan->ignores_stalls ? sim.now
                                                         : behind_since;
}

/* The host reads the operator's requests, again and again until the store
 * answers. */
static void
fleet_read_evacuations (void *data)
{
  struct fleet_host *host = data;

  if (fleet.store_cuts[host->index] > 0)
    {
      sim_at (sim.now + FLEET_OPERATOR_RETRY, host->index,
              fleet_read_evacuations, host);
      return;
    }
  for (uint32_t i = 0; i < PLAN_DOMAINS; i++)
    if (fleet.domains[i].version > 0)
      snipe_node_evacuation_set (host->node, fleet_domains[i],
                                 fleet.domains[i].evacuated,
                                 fleet.domains[i].version, sim.now);
}

static void
fleet_write_evacuation (uint32_t domain, bool evacuated)
{
  sim_note (SIM_NO_HOST, true, "%s domain=%s",
            evacuated ? "EVACUATED" : "TAKEN BACK", fleet_domains[domain]);
  fleet.store_version++;
  fleet.domains[domain].evacuated = evacuated;
  fleet.domains[domain].version = fleet_store_version ();
  for (uint32_t i = 0; i < fleet.plan->host_count; i++)
    sim_at (sim.now + FLEET_STORE_DELAY, i, fleet_read_evacuations,
            &fleet.hosts[i]);
}

static void
fleet_begin_evacuation (void *data)
{
  fleet_write_evacuation (((struct plan_evacuation *)data)->domain, true);
}

static void
fleet_end_evacuation (void *data)
{
  fleet_write_evacuation (((struct plan_evacuation *)data)->domain, false);
}

static void
fleet_tick (void *data)
{
  struct fleet_host *host = data;
  snipe_time delay = snipe_node_tick (host->node, sim.now);

  if (host->store_lost
      || sim.now
             >= snipe_node_directory_read_due (host->node, host->requested_at))
    fleet_read_store (host);
  sim_at (sim.now + delay, host->index, fleet_tick, host);
}

static void
fleet_register (void *data)
{
  struct fleet_host *host = data;

  if (fleet.store_cuts[host->index] > 0)
    {
      sim_at (sim.now + FLEET_STORE_RETRY_MIN, host->index, fleet_register,
              host);
      return;
    }
  snipe_node_set_store_reachable (host->node, true, sim.now);
  fleet.store_version++;
  snipe_node_set_store_version (host->node, fleet_store_version (), true,
                                sim.now);
  for (uint32_t i = 0; i < fleet.plan->host_count; i++)
    if (i != host->index)
      snipe_node_host_listed (host->node, fleet.hosts[i].address, sim.now);
  snipe_node_hosts_synced (host->node);
  fleet_read_evacuations (host);
  fleet_read_store (host);
}

static void
fleet_host_start (struct fleet_host *host, bool first)
{
  struct snipe_node_options options = SNIPE_NODE_OPTIONS_INIT;

  sim_process_start (host->index);
  transport.machine_down[host->index] = false;
  options.name = host->name;
  options.domain = host->domain;
  options.listen = host->address;
  options.first_start = first;
  options.whole_jobs = fleet.plan->whole_jobs;
  options.shared_order = fleet.plan->shared_order;
  options.callbacks = (struct snipe_node_callbacks){
    .ctx = host,
    .start = fleet_on_start,
    .stop = fleet_on_stop,
    .poll = fleet_on_poll,
    .answer = fleet_on_answer,
    .refresh_directory = fleet_on_refresh,
    .deregister_host = fleet_on_deregister,
    .apply_endpoint_changes = fleet_on_endpoint_changes,
    .get_config = fleet_on_get_config,
    .apply_peer_config = fleet_on_peer_config,
    .callers_handled = fleet_callers_handled,
  };
  if (snipe_node_new (&host->node, &options, sim.now) < 0)
    g_error ("%s", snipe_status_last ());
  host->read_pending = false;
  host->requested_at = 0;
  host->store_lost = false;
  host->retry_delay = 0;
  host->retry_at = 0;
  sim_note (host->index, true,
            "STARTED incarnation=%016" G_GINT64_MODIFIER "x",
            host->node->incarnation);
  sim_at (sim.now + sim_draw (&sim.random, 1, 20) * SNIPE_MS, host->index,
          fleet_register, host);
  sim_at (sim.now, host->index, fleet_tick, host);
}

static void
fleet_do_submit (void *data)
{
  struct submission *submission = data;
  struct fleet_host *host = &fleet.hosts[submission->host];
  const struct plan_job *job = &fleet.plan->jobs[submission->job];

  if (submission->broken)
    return;
  submission->submitted = true;
  submission->incarnation = host->node->incarnation;
  fleet_totals.submissions++;
  sim_note (host->index, false,
            "SUBMIT job=%s submission=%u tasks=%u "
            "duration_ms=%" G_GINT64_FORMAT " patience_ms=%" G_GINT64_FORMAT,
            job->id, submission->number, job->tasks, job->duration / SNIPE_MS,
            job->patience / SNIPE_MS);
  snipe_node_submit (host->node,
                     &(struct snipe_coordinator_job){
                         .id = job->id,
                         .route = "r",
                         .service = "work",
                         .spec = { .data = (char *)"s", .len = 1 },
                         .count = job->tasks,
                         .task_resources = { .cpu = job->cpu, .mem_mb = 64 },
                         .label = "",
                         .rack = "",
                         .priority = fleet.plan->shared_order
                                         ? g_str_hash (job->id) % PRIORITIES
                                         : 0,
                         .attempts = 3,
                         .estimate = job->estimate,
                         .slack_factor = 2.0,
                         .slo = 300 * SNIPE_MS,
                         .caller_deadline = submission->at + job->patience,
                         .ctx = submission,
                     },
                     sim.now);
}

/* Submits a job at the host, or at the next one that runs. */
static void
fleet_submit (uint32_t job, uint32_t host, uint32_t number)
{
  struct submission *submission;

  for (uint32_t i = 0; i < fleet.plan->host_count; i++)
    {
      if (sim.processes[host].running)
        break;
      host = (host + 1) % fleet.plan->host_count;
    }
  if (!sim.processes[host].running)
    return;
  submission = g_new0 (struct submission, 1);
  submission->job = job;
  submission->host = host;
  submission->generation = sim.processes[host].generation;
  submission->number = number;
  submission->at = sim.now;
  g_ptr_array_add (fleet.submissions, submission);
  fleet.last_submission[job] = submission;
  sim_at (sim.now, host, fleet_do_submit, submission);
}

static void
fleet_submit_first (void *data)
{
  const struct plan_job *job = data;

  fleet_submit ((uint32_t)(job - fleet.plan->jobs), job->host, 1);
}

static void
fleet_submit_again (void *data)
{
  const struct submission *submission = data;
  const uint32_t *domains = fleet.plan->host_domains;
  uint32_t hosts = fleet.plan->host_count;
  uint32_t host
      = (submission->host + (uint32_t)sim_draw (&sim.random, 1, hosts - 1))
        % hosts;

  while (fleet.plan->returns_elsewhere
         && domains[host] == domains[submission->host])
    host = (host + 1) % hosts;
  fleet_submit (submission->job, host, submission->number + 1);
}

/* The outcome of a submission is unknown to its caller. */
static void
fleet_resubmit (struct submission *submission)
{
  if (fleet.plan->mode == PLAN_AGAIN
      && submission->number < FLEET_SUBMISSIONS_MAX)
    sim_at (sim.now + FLEET_RESUBMIT_DELAY, SIM_NO_HOST, fleet_submit_again,
            submission);
}

static void
fleet_abandon (void *data)
{
  struct submission *submission = data;

  if (submission->answers == 0)
    snipe_node_abandon (fleet.hosts[submission->host].node, submission,
                        sim.now);
}

/* The connection of a caller ends. */
static void
fleet_break_caller (uint32_t job, bool leaves)
{
  struct submission *submission = fleet.last_submission[job];

  if (submission == NULL || submission->broken || submission->answers > 0)
    return;
  sim_note (submission->host, false, "CALLER %s job=%s submission=%u",
            leaves ? "LEAVES" : "RESET", fleet.plan->jobs[job].id,
            submission->number);
  submission->broken = true;
  if (submission->submitted)
    sim_at_process (sim.now, submission->host, submission->generation,
                    fleet_abandon, submission);
  if (!leaves)
    fleet_resubmit (submission);
}

static void
fleet_host_end (struct fleet_host *host, bool machine)
{
  if (!sim.processes[host->index].running)
    return;
  sim_note (host->index, true, "KILLED %s", machine ? "machine" : "process");
  transport_host_ends (host->index, machine);
  sim_process_end (host->index);
  snipe_node_free (host->node);
  host->node = NULL;
  for (guint i = 0; i < fleet.submissions->len; i++)
    {
      struct submission *submission = fleet.submissions->pdata[i];

      if (submission->host != host->index || submission->broken
          || submission->answers > 0
          || submission->generation != sim.processes[host->index].generation)
        continue;
      submission->broken = true;
      fleet_resubmit (submission);
    }
}

static void
fleet_cancel (void *data)
{
  const struct disturbance *disturbance = data;

  sim_note (disturbance->host, false, "CANCEL job=%s",
            fleet.plan->jobs[disturbance->other].id);
  snipe_node_cancel (fleet.hosts[disturbance->host].node,
                     fleet.plan->jobs[disturbance->other].id, sim.now);
}

/* Adds to the causes that hold back a kind of request of all hosts. */
static void
fleet_hold_back_all (uint32_t kind, int32_t change)
{
  for (uint32_t i = 0; i < fleet.plan->host_count; i++)
    for (uint32_t k = 0; k < endpoints.count; k++)
      endpoints.list[k].late[i][kind] += (uint32_t)change;
}

/* Cuts a host off from all others, or heals that. */
static void
fleet_isolate (const struct disturbance *disturbance, bool begins)
{
  void (*change) (uint32_t from, uint32_t to, bool lossy)
      = begins ? transport_cut : transport_heal;

  for (uint32_t i = 0; i < fleet.plan->host_count; i++)
    if (i != disturbance->host)
      {
        change (i, disturbance->host, disturbance->hard);
        change (disturbance->host, i, disturbance->hard);
      }
}

static void
fleet_cut_endpoint (uint32_t host, uint32_t endpoint, bool begins)
{
  if (begins)
    endpoint_cut (&endpoints.list[endpoint], host);
  else
    endpoint_heal (&endpoints.list[endpoint], host);
}

/* Cuts the domain of a host off from the other domains, or heals that. */
static void
fleet_cut_domain (const struct disturbance *disturbance, bool begins)
{
  void (*change) (uint32_t from, uint32_t to, bool lossy)
      = begins ? transport_cut : transport_heal;
  const char *domain = fleet.hosts[disturbance->host].domain;

  for (uint32_t i = 0; i < fleet.plan->host_count; i++)
    {
      bool inside = strcmp (fleet.hosts[i].domain, domain) == 0;

      for (uint32_t k = 0; k < fleet.plan->host_count; k++)
        if (inside != (strcmp (fleet.hosts[k].domain, domain) == 0))
          change (i, k, disturbance->hard);
      for (uint32_t k = 0; k < endpoints.count; k++)
        if (inside != (strcmp (endpoints.list[k].entry.domain, domain) == 0))
          fleet_cut_endpoint (i, k, begins);
    }
}

/* Cuts two sides of the fleet off from each other, or heals that. Each host
 * and each endpoint is on the side that a bit of the disturbance tells. */
static void
fleet_partition (const struct disturbance *disturbance, bool begins)
{
  void (*change) (uint32_t from, uint32_t to, bool lossy)
      = begins ? transport_cut : transport_heal;
  uint32_t sides = disturbance->detail;

  for (uint32_t i = 0; i < fleet.plan->host_count; i++)
    {
      for (uint32_t k = 0; k < fleet.plan->host_count; k++)
        if ((sides >> i & 1) != (sides >> k & 1))
          change (i, k, disturbance->hard);
      for (uint32_t k = 0; k < endpoints.count; k++)
        if ((sides >> i & 1) != (sides >> (SIM_HOSTS + k) & 1))
          fleet_cut_endpoint (i, k, begins);
    }
}

/* Cuts hosts off from an endpoint that restarts, or heals that. */
static void
fleet_cut_restarted (const struct disturbance *disturbance, bool begins)
{
  for (uint32_t i = 0; i < fleet.plan->host_count; i++)
    if (disturbance->detail >> i & 1)
      fleet_cut_endpoint (i, disturbance->other, begins);
}

static void
fleet_restart_endpoint (void *data)
{
  const struct disturbance *disturbance = data;

  endpoint_restart (&endpoints.list[disturbance->other]);
  fleet.store_version++;
}

static void
fleet_note_disturbance (const struct disturbance *disturbance, bool begins)
{
  sim_note (disturbance->host, true, "%s %s other=%u detail=%u%s",
            begins ? "BEGIN" : "END", disturbance_names[disturbance->kind],
            disturbance->other, disturbance->detail,
            disturbance->hard ? " hard" : "");
}

static void
fleet_begin_disturbance (void *data)
{
  struct disturbance *disturbance = data;
  uint32_t host = disturbance->host;
  uint32_t other = disturbance->other;

  if (disturbance->kind < DISTURB_LEAVE || disturbance->kind >= DISTURB_STORE)
    fleet_note_disturbance (disturbance, true);
  switch (disturbance->kind)
    {
    case DISTURB_CUT:
      transport_cut (other, host, disturbance->hard);
      transport_cut (host, other, disturbance->hard);
      break;
    case DISTURB_CUT_ONE_WAY:
      transport_cut (host, other, disturbance->hard);
      break;
    case DISTURB_ISOLATE:
      fleet_isolate (disturbance, true);
      break;
    case DISTURB_CUT_DOMAIN:
      fleet_cut_domain (disturbance, true);
      break;
    case DISTURB_PARTITION:
      fleet_partition (disturbance, true);
      break;
    case DISTURB_RESET:
      transport_reset (host, other);
      if (disturbance->hard)
        transport_reset (other, host);
      break;
    case DISTURB_SILENT:
      transport_silence (host, other);
      break;
    case DISTURB_KILL:
      fleet_host_end (&fleet.hosts[host], disturbance->hard);
      break;
    case DISTURB_KILL_ALL:
      for (uint32_t i = 0; i < fleet.plan->host_count; i++)
        fleet_host_end (&fleet.hosts[i], disturbance->hard);
      break;
    case DISTURB_FREEZE:
      sim_freeze (host);
      break;
    case DISTURB_ENDPOINT_CUT:
      fleet_cut_endpoint (host, other, true);
      break;
    case DISTURB_LATE:
      endpoints.list[other].late[host][disturbance->detail]++;
      break;
    case DISTURB_RESTART:
      fleet_cut_restarted (disturbance, true);
      sim_at (sim.now + disturbance->delay, SIM_NO_HOST,
              fleet_restart_endpoint, disturbance);
      break;
    case DISTURB_SLOW_CLOCK:
      break;
    case DISTURB_LEAVE:
    case DISTURB_CALLER_RESET:
      fleet_break_caller (other, disturbance->kind == DISTURB_LEAVE);
      break;
    case DISTURB_CANCEL:
      sim_at (sim.now, host, fleet_cancel, disturbance);
      break;
    case DISTURB_STORE:
      fleet.store_cuts[host]++;
      fleet.store_silent[host] += disturbance->hard;
      break;
    case DISTURB_LATE_ALL:
      fleet_hold_back_all (disturbance->detail, 1);
      break;
    case DISTURB_KINDS:
      break;
    }
}

static void
fleet_end_disturbance (void *data)
{
  const struct disturbance *disturbance = data;
  uint32_t host = disturbance->host;
  uint32_t other = disturbance->other;

  switch (disturbance->kind)
    {
    case DISTURB_CUT:
      transport_heal (other, host, disturbance->hard);
      transport_heal (host, other, disturbance->hard);
      break;
    case DISTURB_CUT_ONE_WAY:
      transport_heal (host, other, disturbance->hard);
      break;
    case DISTURB_ISOLATE:
      fleet_isolate (disturbance, false);
      break;
    case DISTURB_CUT_DOMAIN:
      fleet_cut_domain (disturbance, false);
      break;
    case DISTURB_PARTITION:
      fleet_partition (disturbance, false);
      break;
    case DISTURB_KILL:
      if (!sim.processes[host].running)
        fleet_host_start (&fleet.hosts[host], false);
      return;
    case DISTURB_KILL_ALL:
      for (uint32_t i = 0; i < fleet.plan->host_count; i++)
        if (!sim.processes[i].running)
          fleet_host_start (&fleet.hosts[i], false);
      return;
    case DISTURB_FREEZE:
      if (!sim.processes[host].frozen)
        return;
      sim_thaw (host, disturbance->detail != 0);
      transport_pump_all ();
      break;
    case DISTURB_ENDPOINT_CUT:
      fleet_cut_endpoint (host, other, false);
      break;
    case DISTURB_RESTART:
      fleet_cut_restarted (disturbance, false);
      break;
    case DISTURB_LATE:
      endpoints.list[other].late[host][disturbance->detail]--;
      break;
    case DISTURB_STORE:
      fleet.store_cuts[host]--;
      fleet.store_silent[host] -= disturbance->hard;
      break;
    case DISTURB_LATE_ALL:
      fleet_hold_back_all (disturbance->detail, -1);
      break;
    default:
      return;
    }
  fleet_note_disturbance (disturbance, false);
}

static bool
fleet_task_done (const char *job, uint32_t index)
{
  char task[SNIPE_TASK_NAME_BYTES];

  g_snprintf (task, sizeof task, "%s.0.0.%u", job, index);
  for (guint i = 0; i < endpoints.runs->len; i++)
    {
      const struct endpoint_run *run = endpoints.runs->pdata[i];

      if (strcmp (run->task, task) == 0 && run->ended_at > 0
          && run->outcome == SNIPE_RUN_DONE)
        return true;
    }
  return false;
}

/* Returns when the job was submitted to the same process again, INT64_MAX if
 * never. */
static snipe_time
fleet_submitted_again_at (const struct submission *submission)
{
  snipe_time at = INT64_MAX;

  for (guint i = 0; i < fleet.submissions->len; i++)
    {
      const struct submission *other = fleet.submissions->pdata[i];

      if (other->job == submission->job && other->at > submission->at
          && other->incarnation == submission->incarnation)
        at = MIN (at, other->at);
    }
  return at;
}

static void
fleet_check_submission (const struct submission *submission)
{
  const struct plan_job *job = &fleet.plan->jobs[submission->job];
  snipe_time next = fleet_submitted_again_at (submission);

  if (submission->submitted && !submission->broken && submission->answers != 1)
    fleet_violate (VIOLATION_ANSWERS, job->id, "submission %u got %u answers",
                   submission->number, submission->answers);
  if (submission->answers == 0)
    return;
  if (submission->answer.outcome == SNIPE_COORDINATOR_COMPLETE)
    for (uint32_t i = 0; i < job->tasks; i++)
      if (!fleet_task_done (job->id, i))
        fleet_violate (VIOLATION_COMPLETE, job->id,
                       "complete, but task %u was not", i);
  if (submission->answer.outcome == SNIPE_COORDINATOR_NOT_RUN)
    for (guint i = 0; i < endpoints.runs->len; i++)
      {
        const struct endpoint_run *run = endpoints.runs->pdata[i];

        if (strncmp (run->task, job->id, 16) == 0
            && (fleet.plan->mode == PLAN_NEVER_AGAIN
                || (run->coordinator == submission->incarnation
                    && run->requested_at >= submission->at
                    && run->requested_at < next)))
          fleet_violate (VIOLATION_NOT_RUN, run->task,
                         "answered as not run, but run %u was started at %s",
                         run->run, endpoints.list[run->endpoint].entry.id);
      }
}

/* Checks that every host counts the others as live again. */
static void
fleet_check_hosts (void)
{
  for (uint32_t i = 0; i < fleet.plan->host_count; i++)
    for (uint32_t k = 0; k < fleet.plan->host_count; k++)
      if (k != i
          && snipe_members_find_by_address (fleet.hosts[i].node->members,
                                            fleet.hosts[k].address)
                 == NULL)
        fleet_violate (VIOLATION_HOST_LOST, "", "h%u counts h%u as lost", i,
                       k);
}

static bool
fleet_is_evacuated (const struct plan_evacuation *evacuation,
                    const char *domain, snipe_time at)
{
  snipe_time begin = fleet.start + evacuation->begin;

  return strcmp (domain, fleet_domains[evacuation->domain]) == 0
         && at > begin + FLEET_EVACUATE_MAX && at < begin + evacuation->length;
}

/* Checks that nothing is started in an evacuated domain, and that jobs which
 * can run nowhere else are rejected at once. */
static void
fleet_check_evacuation (const struct plan_evacuation *evacuation)
{
  bool elsewhere = false;

  for (guint i = 0; i < endpoints.runs->len; i++)
    {
      const struct endpoint_run *run = endpoints.runs->pdata[i];

      if (fleet_is_evacuated (evacuation,
                              endpoints.list[run->endpoint].entry.domain,
                              run->started_at))
        fleet_violate (VIOLATION_EVACUATED, run->task,
                       "started by h%u in the evacuated domain %s", run->host,
                       fleet_domains[evacuation->domain]);
    }
  for (uint32_t i = 0; i < endpoints.count; i++)
    elsewhere |= strcmp (endpoints.list[i].entry.domain,
                         fleet_domains[evacuation->domain])
                 != 0;
  for (guint i = 0; i < fleet.submissions->len && !elsewhere; i++)
    {
      const struct submission *submission = fleet.submissions->pdata[i];

      if (fleet_is_evacuated (evacuation, fleet_domains[evacuation->domain],
                              submission->at)
          && !submission->broken
          && (submission->answer.outcome != SNIPE_COORDINATOR_NOT_RUN
              || submission->answer.retry_after <= 0
              || submission->answered_at > submission->at + FLEET_REJECT_MAX))
        fleet_violate (VIOLATION_HELD, fleet.plan->jobs[submission->job].id,
                       "outcome %d after %" G_GINT64_FORMAT
                       " ms with its only domain evacuated",
                       (int)submission->answer.outcome,
                       (submission->answered_at - submission->at) / SNIPE_MS);
    }
}

/* Checks what has to hold once everything is quiet. */
static void
fleet_check_end (void)
{
  for (uint32_t i = 0; i < endpoints.count; i++)
    {
      endpoint_wake (&endpoints.list[i]);
      if (endpoints.list[i].run_count > 0)
        fleet_violate (VIOLATION_RUN_LEFT, endpoints.list[i].runs[0]->task,
                       "run %u is left at %s", endpoints.list[i].runs[0]->run,
                       endpoints.list[i].entry.id);
    }
  for (guint i = 0; i < fleet.submissions->len; i++)
    fleet_check_submission (fleet.submissions->pdata[i]);
  for (uint32_t i = 0; i < fleet.plan->evacuation_count; i++)
    fleet_check_evacuation (&fleet.plan->evacuations[i]);
  fleet_check_hosts ();
}

static void
fleet_begin (const struct plan *plan, bool tracing)
{
  sim_begin (plan->seed ^ UINT64_C (0x5bd1e995), tracing);
  transport_begin ();
  transport.drops_losses = plan->drops_losses;
  endpoints_begin (plan->network);
  endpoints.duration = fleet_duration;
  endpoints.size = fleet_size;
  endpoints.answered = fleet_on_endpoint_answer;
  endpoints.duplicate = fleet_on_duplicate;
  endpoints.crashes_endpoint = fleet_crashes_endpoint;
  endpoints.forbidden = fleet_on_forbidden;
  endpoints.restarted = fleet_on_restarted;
  fleet = (struct fleet){ .plan = plan,
                          .start = sim.now,
                          .store_version = 100,
                          .submissions
                          = g_ptr_array_new_with_free_func (g_free) };
  for (uint32_t i = 0; i < PLAN_DOMAINS; i++)
    for (uint32_t k = 0; k < plan->endpoint_counts[i]; k++)
      endpoint_add (fleet_domains[i], k, plan->endpoint_cpu, 1.0);
  for (uint32_t i = 0; i < plan->host_count; i++)
    {
      struct fleet_host *host = &fleet.hosts[i];

      host->index = i;
      g_snprintf (host->name, sizeof host->name, "h%u", i);
      g_strlcpy (host->domain, fleet_domains[plan->host_domains[i]],
                 sizeof host->domain);
      transport_address (i, host->address);
    }
}

static void
fleet_end (void)
{
  fleet_totals.seeds++;
  fleet_totals.runs += endpoints.runs->len;
  fleet_totals.over_capacity += endpoints.over_capacity;
  fleet_totals.events += sim.last_sequence;
  for (uint32_t i = 0; i < fleet.plan->host_count; i++)
    snipe_node_free (fleet.hosts[i].node);
  transport_end ();
  endpoints_end ();
  g_ptr_array_free (fleet.submissions, TRUE);
  sim_end ();
}

/* Plays a plan until a violation or the end. The caller ends it with
 * fleet_end (). */
static struct violation
fleet_play (const struct plan *plan, bool tracing)
{
  snipe_time until;

  fleet_begin (plan, tracing);
  until = fleet.start + PLAN_BEGIN + PLAN_LENGTH;
  for (uint32_t i = 0; i < plan->host_count; i++)
    fleet_host_start (&fleet.hosts[i], true);
  for (uint32_t i = 0; i < plan->job_count; i++)
    {
      const struct plan_job *job = &plan->jobs[i];

      if (job->off)
        continue;
      sim_at (fleet.start + job->begin, SIM_NO_HOST, fleet_submit_first,
              (void *)job);
      until = MAX (until, fleet.start + job->begin + job->patience);
    }
  for (uint32_t i = 0; i < plan->disturbance_count; i++)
    {
      const struct disturbance *disturbance = &plan->disturbances[i];
      snipe_time begin = fleet.start + disturbance->begin;
      snipe_time end = begin + disturbance->length;
      bool late = disturbance->kind == DISTURB_LATE
                  || disturbance->kind == DISTURB_LATE_ALL;

      if (disturbance->off)
        continue;
      if (disturbance->kind == DISTURB_SLOW_CLOCK)
        endpoints.list[disturbance->other].clock_rate
            = 1.0 - disturbance->detail / 1000.0;
      sim_at (begin, SIM_NO_HOST, fleet_begin_disturbance,
              (void *)disturbance);
      sim_at (end, SIM_NO_HOST, fleet_end_disturbance, (void *)disturbance);
      until = MAX (until, end + (late ? FLEET_LATE_MAX : 0));
    }
  for (uint32_t i = 0; i < plan->resize_count; i++)
    sim_at (fleet.start + plan->resizes[i].begin, SIM_NO_HOST,
            fleet_resize_endpoint, (void *)&plan->resizes[i]);
  for (uint32_t i = 0; i < plan->join_count; i++)
    {
      endpoints.list[plan->joins[i].endpoint].unlisted = true;
      sim_at (fleet.start + plan->joins[i].begin, SIM_NO_HOST, fleet_join,
              (void *)&plan->joins[i]);
    }
  for (uint32_t i = 0; i < plan->evacuation_count; i++)
    {
      const struct plan_evacuation *evacuation = &plan->evacuations[i];
      snipe_time begin = fleet.start + evacuation->begin;

      sim_at (begin, SIM_NO_HOST, fleet_begin_evacuation, (void *)evacuation);
      sim_at (begin + evacuation->length, SIM_NO_HOST, fleet_end_evacuation,
              (void *)evacuation);
      until = MAX (until, begin + evacuation->length);
    }
  until += FLEET_QUIET;
  if (plan->mode == PLAN_AGAIN)
    until += 12 * SNIPE_S;
  while (fleet.violation.kind == VIOLATION_NONE && sim.events->len > 0
         && ((const struct sim_event *)sim.events->pdata[0])->time <= until)
    sim_step ();
  sim.now = MAX (sim.now, until);
  if (fleet.violation.kind == VIOLATION_NONE)
    fleet_check_end ();
  return fleet.violation;
}

#endif
