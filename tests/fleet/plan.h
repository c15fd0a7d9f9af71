/**
 * @file plan.h
 * What a seed plays: hosts, endpoints, jobs and disturbances.
 */
#ifndef TESTS_FLEET_PLAN_H
#define TESTS_FLEET_PLAN_H

#include "fleet/endpoints.h"
#include "fleet/sim.h"

#define PLAN_JOBS_MAX 48
#define PLAN_DISTURBANCES_MAX 24
#define PLAN_RESTARTS_MAX 12
#define PLAN_DOMAINS 3
#define PLAN_RESIZES 6
#define PLAN_JOINS 4
#define PLAN_STORE_CUTS 4
#define PLAN_EVACUATIONS 2
/* Of 48 endpoints with a heartbeat each 1.5 s. */
#define PLAN_STORE_WRITE_INTERVAL (31 * SNIPE_MS)
/* Patience of a caller whose job crashes its endpoints: time for several. */
#define PLAN_CRASH_PATIENCE (15 * SNIPE_S)
#define PLAN_STORMS 3
/* With callers that return: moments, and what is drawn for each of them. */
#define PLAN_RETURN_STORMS 6
#define PLAN_RETURN_CALLERS 3
#define PLAN_RETURN_PARTS 11
#define PLAN_RETURN_JOBS 32
/* Jobs arrive and disturbances begin within this time, once the hosts have
 * claimed their pools. */
#define PLAN_BEGIN (2 * SNIPE_S)
#define PLAN_LENGTH (8 * SNIPE_S)

enum plan_mode
{
  PLAN_NEVER_AGAIN = 1, /**< callers never submit a job again */
  PLAN_AGAIN = 2,       /**< after a broken connection or an unknown outcome */
};

enum disturbance_kind
{
  DISTURB_CUT, /**< between two hosts, both directions */
  DISTURB_CUT_ONE_WAY,
  DISTURB_ISOLATE,    /**< a host from all hosts, but not from endpoints */
  DISTURB_CUT_DOMAIN, /**< its hosts and endpoints from all other hosts */
  DISTURB_PARTITION,  /**< into two sides, each with hosts and endpoints */
  DISTURB_RESET,      /**< of the connection between two hosts */
  DISTURB_SILENT,     /**< the connection delivers nothing more */
  DISTURB_KILL,       /**< one host */
  DISTURB_KILL_ALL,
  DISTURB_FREEZE,
  DISTURB_ENDPOINT_CUT, /**< between a host and an endpoint */
  DISTURB_LATE,         /**< requests of one kind are carried out late */
  DISTURB_RESTART,      /**< of an endpoint, behind a cut of some hosts */
  DISTURB_SLOW_CLOCK,   /**< of an endpoint, for the whole time */
  DISTURB_LEAVE,        /**< a caller */
  DISTURB_CALLER_RESET, /**< connection of a caller */
  DISTURB_CANCEL,       /**< by job id at another host */
  DISTURB_STORE,    /**< a host cannot read the store; plans draw it apart */
  DISTURB_LATE_ALL, /**< of all hosts to all endpoints; drawn apart */
  DISTURB_KINDS,
};

static const char *const disturbance_names[] = { "cut",
                                                 "one-way cut",
                                                 "isolated host",
                                                 "domain cut",
                                                 "partition",
                                                 "reset",
                                                 "silent connection",
                                                 "kill",
                                                 "kill all",
                                                 "freeze",
                                                 "endpoint cut",
                                                 "late requests",
                                                 "endpoint restart",
                                                 "slow endpoint clock",
                                                 "caller leaves",
                                                 "caller reset",
                                                 "cancellation",
                                                 "store away",
                                                 "all late" };

struct disturbance
{
  enum disturbance_kind kind;
  snipe_time begin; /**< since the start */
  snipe_time length;
  uint32_t host;
  uint32_t other;   /**< host, endpoint or job */
  uint32_t detail;  /**< kind of request, permille, or bit set of hosts */
  snipe_time delay; /**< of a restart, from the beginning of its cut */
  bool hard;        /**< a lossy cut; the machine is lost, not the process */
  bool off;
};

/** A change of an endpoint's capacity, to a share in percent of the full one.
 */
struct plan_resize
{
  snipe_time begin;
  uint32_t endpoint;
  uint32_t percent;
};

/** An endpoint that is listed only from some time on. */
struct plan_join
{
  snipe_time begin;
  uint32_t endpoint;
};

/** The operator evacuates a failure domain and takes it back. */
struct plan_evacuation
{
  snipe_time begin;
  snipe_time length;
  uint32_t domain;
};

struct plan_job
{
  char id[17];
  bool crashes; /**< each endpoint that starts its first task */
  uint32_t host;
  snipe_time begin;
  uint32_t tasks;
  snipe_time duration;
  snipe_time estimate;
  snipe_time patience; /**< of its caller */
  int64_t cpu;
  bool off;
};

struct plan
{
  uint64_t seed;
  enum plan_mode mode;
  enum model_network network;
  uint32_t host_count;
  uint32_t domain_count;
  uint32_t host_domains[SIM_HOSTS];
  uint32_t endpoint_counts[PLAN_DOMAINS];
  uint32_t endpoint_count;
  int64_t endpoint_cpu;
  struct plan_job jobs[PLAN_JOBS_MAX];
  uint32_t job_count;
  struct disturbance disturbances
      [PLAN_DISTURBANCES_MAX + PLAN_RESTARTS_MAX + 2 * PLAN_STORE_CUTS
       + PLAN_RETURN_STORMS * (PLAN_RETURN_CALLERS + PLAN_RETURN_PARTS)];
  uint32_t disturbance_count;
  struct plan_resize resizes[PLAN_RESIZES];
  uint32_t resize_count;
  struct plan_join joins[PLAN_JOINS];
  uint32_t join_count;
  struct plan_evacuation evacuations[PLAN_EVACUATIONS];
  uint32_t evacuation_count;
  /** Interval of the writes to the store that the plan does not name, such as
   * heartbeats of endpoints; 0: there are none. */
  snipe_time store_write_interval;
  bool whole_jobs;   /**< a job starts only when all of its tasks can */
  bool shared_order; /**< jobs of three priorities, the urgent ones first */
  bool returns_elsewhere; /**< callers, to a host of another domain */
  bool drops_losses;      /**< planted: hosts are not told of lost runs */
  bool ignores_stalls;    /**< planted: hosts vouch for unread connections */
};

/** A moment around which disturbances overlap, and the host that most of them
 * concern. */
struct storm
{
  snipe_time at;
  uint32_t host;
};

/* Returns a job that is open at a time if there is one. */
static uint32_t
plan_job_at (const struct plan *plan, snipe_time at, struct sim_random *random)
{
  uint32_t first = (uint32_t)sim_draw (random, 0, plan->job_count - 1);

  for (uint32_t i = 0; i < plan->job_count; i++)
    {
      uint32_t job = (first + i) % plan->job_count;

      if (plan->jobs[job].begin <= at
          && plan->jobs[job].begin + plan->jobs[job].duration >= at)
        return job;
    }
  return first;
}

static void
plan_draw_disturbance (struct disturbance *out, const struct plan *plan,
                       const struct storm *storm, struct sim_random *random)
{
  *out = (struct disturbance){
    .kind = (enum disturbance_kind)sim_draw (random, 0, DISTURB_STORE - 1),
    .begin = MAX (storm->at + sim_draw (random, -300, 1500) * SNIPE_MS, 0),
    .length = sim_draw (random, 50, 3000) * SNIPE_MS,
    .host = sim_chance (random, 60)
                ? storm->host
                : (uint32_t)sim_draw (random, 0, plan->host_count - 1),
    .hard = sim_chance (random, 50),
  };
  switch (out->kind)
    {
    case DISTURB_CUT:
    case DISTURB_CUT_ONE_WAY:
    case DISTURB_RESET:
    case DISTURB_SILENT:
      out->other
          = (out->host + (uint32_t)sim_draw (random, 1, plan->host_count - 1))
            % plan->host_count;
      break;
    case DISTURB_KILL:
    case DISTURB_KILL_ALL:
      out->length = sim_draw (random, 300, 1500) * SNIPE_MS;
      break;
    case DISTURB_FREEZE:
      out->length = sim_draw (random, 300, 3000) * SNIPE_MS;
      out->detail = (uint32_t)sim_draw (random, 0, 1);
      break;
    case DISTURB_LATE:
      out->detail = (uint32_t)sim_draw (random, 0, 2);
      out->other = (uint32_t)sim_draw (random, 0, plan->endpoint_count - 1);
      break;
    case DISTURB_SLOW_CLOCK:
      out->detail = (uint32_t)sim_draw (random, 1, 20);
      out->other = (uint32_t)sim_draw (random, 0, plan->endpoint_count - 1);
      break;
    case DISTURB_ENDPOINT_CUT:
    case DISTURB_RESTART:
      out->other = (uint32_t)sim_draw (random, 0, plan->endpoint_count - 1);
      break;
    case DISTURB_LEAVE:
    case DISTURB_CALLER_RESET:
    case DISTURB_CANCEL:
      out->other = plan_job_at (plan, out->begin, random);
      out->begin = MAX (out->begin, plan->jobs[out->other].begin + SNIPE_MS);
      break;
    case DISTURB_PARTITION:
      out->detail = (uint32_t)sim_draw (
          random, 0, (1 << (SIM_HOSTS + ENDPOINTS_MAX)) - 1);
      break;
    case DISTURB_ISOLATE:
    case DISTURB_CUT_DOMAIN:
    case DISTURB_STORE:
    case DISTURB_LATE_ALL:
    case DISTURB_KINDS:
      break;
    }
}

/* Most restarts happen behind a cut, as a request of before has to be held up
 * to reach the new incarnation. Half of the cuts last longer than a lease, and
 * not longer than a call. */
static void
plan_draw_cut (struct disturbance *restart, struct sim_random *random)
{
  int64_t way = sim_draw (random, 0, 7);

  restart->detail = way == 0 ? 0
                    : way < 3
                        ? (uint32_t)sim_draw (random, 1, (1 << SIM_HOSTS) - 1)
                        : (1U << SIM_HOSTS) - 1;
  restart->length = (sim_chance (random, 50) ? sim_draw (random, 1300, 2200)
                                             : sim_draw (random, 100, 3000))
                    * SNIPE_MS;
  restart->delay = sim_draw (random, 0, restart->length);
}

/* Adds the cuts behind which endpoints restart, and restarts around the times
 * at which tasks start. */
static void
plan_draw_restarts (struct plan *plan)
{
  struct sim_random random = { ~plan->seed };
  uint32_t more = (uint32_t)sim_draw (&random, 0, PLAN_RESTARTS_MAX);

  for (uint32_t i = 0; i < more; i++)
    {
      const struct plan_job *job
          = &plan->jobs[sim_draw (&random, 0, plan->job_count - 1)];

      plan->disturbances[plan->disturbance_count++] = (struct disturbance){
        .kind = DISTURB_RESTART,
        .begin = job->begin - sim_draw (&random, 0, 60) * SNIPE_MS,
        .other = (uint32_t)sim_draw (&random, 0, plan->endpoint_count - 1),
      };
    }
  for (uint32_t i = 0; i < plan->disturbance_count; i++)
    if (plan->disturbances[i].kind == DISTURB_RESTART)
      plan_draw_cut (&plan->disturbances[i], &random);
}

static inline void
plan_draw (struct plan *plan, uint64_t seed, enum plan_mode mode)
{
  struct sim_random random = { seed };
  struct storm storms[PLAN_STORMS];

  *plan = (struct plan){ .seed = seed,
                         .mode = mode,
                         .network = MODEL_CONNECTIONS };
  plan->domain_count = (uint32_t)sim_draw (&random, 1, PLAN_DOMAINS);
  plan->host_count
      = (uint32_t)sim_draw (&random, MAX (plan->domain_count, 2), SIM_HOSTS);
  for (uint32_t i = 0; i < plan->host_count; i++)
    plan->host_domains[i] = i % plan->domain_count;
  for (uint32_t i = 0; i < plan->domain_count; i++)
    plan->endpoint_count += plan->endpoint_counts[i]
        = (uint32_t)sim_draw (&random, 2, 4);
  plan->endpoint_cpu = sim_draw (&random, 2, 8) * 1000;
  plan->job_count = (uint32_t)sim_draw (&random, 8, PLAN_JOBS_MAX);
  for (uint32_t i = 0; i < plan->job_count; i++)
    {
      struct plan_job *job = &plan->jobs[i];

      g_snprintf (job->id, sizeof job->id, "%08x%08x",
                  (unsigned int)(seed & 0xffffffffU), i + 1);
      job->host = (uint32_t)sim_draw (&random, 0, plan->host_count - 1);
      job->begin = PLAN_BEGIN + sim_draw (&random, 0, PLAN_LENGTH);
      job->tasks = (uint32_t)sim_draw (&random, 1, 4);
      job->duration
          = (sim_chance (&random, 50) ? sim_draw (&random, 60, 500)
                                      : sim_draw (&random, 300, 3000))
            * SNIPE_MS;
      job->estimate = job->duration * sim_draw (&random, 70, 130) / 100;
      job->patience = sim_draw (&random, 1500, 6000) * SNIPE_MS;
      job->cpu = sim_draw (&random, 1, 2) * 1000;
    }
  plan->disturbance_count
      = (uint32_t)sim_draw (&random, 2, PLAN_DISTURBANCES_MAX);
  for (uint32_t i = 0; i < PLAN_STORMS; i++)
    storms[i] = (struct storm){
      .at = PLAN_BEGIN + sim_draw (&random, 0, PLAN_LENGTH),
      .host = (uint32_t)sim_draw (&random, 0, plan->host_count - 1),
    };
  for (uint32_t i = 0; i < plan->disturbance_count; i++)
    plan_draw_disturbance (&plan->disturbances[i], plan,
                           &storms[sim_draw (&random, 0, PLAN_STORMS - 1)],
                           &random);
  plan_draw_restarts (plan);
}

/* Adds tasks that crash their endpoints, and capacities that change. If all
 * hosts are killed at once, nobody is left that knows of a crash. */
static inline void
plan_draw_crashes (struct plan *plan)
{
  struct sim_random random = { plan->seed ^ UINT64_C (0x9e3779b9) };
  uint32_t crashes = (uint32_t)sim_draw (&random, 1, 3);

  for (uint32_t i = 0; i < crashes; i++)
    {
      struct plan_job *job
          = &plan->jobs[sim_draw (&random, 0, plan->job_count - 1)];

      job->crashes = true;
      job->tasks = 1;
      job->patience = PLAN_CRASH_PATIENCE;
    }
  plan->resize_count = PLAN_RESIZES;
  for (uint32_t i = 0; i < plan->resize_count; i++)
    plan->resizes[i] = (struct plan_resize){
      .begin = PLAN_BEGIN + sim_draw (&random, 0, PLAN_LENGTH),
      .endpoint = (uint32_t)sim_draw (&random, 0, plan->endpoint_count - 1),
      .percent = sim_chance (&random, 60) ? 50 : 100,
    };
  for (uint32_t i = 0; i < plan->disturbance_count; i++)
    plan->disturbances[i].off
        |= plan->disturbances[i].kind == DISTURB_KILL_ALL;
}

/* Adds hosts that cannot read the store, most of them isolated beside that,
 * endpoints that join and capacities that shrink meanwhile. */
static inline void
plan_draw_old_lists (struct plan *plan)
{
  struct sim_random random = { plan->seed ^ UINT64_C (0x85ebca6b) };

  plan->store_write_interval = PLAN_STORE_WRITE_INTERVAL;
  for (uint32_t i = 0; i < PLAN_STORE_CUTS; i++)
    {
      struct disturbance store = {
        .kind = DISTURB_STORE,
        .begin = PLAN_BEGIN + sim_draw (&random, -1500, 4000) * SNIPE_MS,
        .length = sim_draw (&random, 2000, 9000) * SNIPE_MS,
        .host = (uint32_t)sim_draw (&random, 0, plan->host_count - 1),
        .hard = sim_chance (&random, 50),
      };
      struct disturbance isolated = store;

      plan->disturbances[plan->disturbance_count++] = store;
      isolated.kind = DISTURB_ISOLATE;
      isolated.length
          = MAX (store.length - sim_draw (&random, 0, 1500) * SNIPE_MS, 0);
      if (sim_chance (&random, 60))
        plan->disturbances[plan->disturbance_count++] = isolated;
    }
  plan->join_count = (uint32_t)sim_draw (&random, 1, PLAN_JOINS);
  for (uint32_t i = 0; i < plan->join_count; i++)
    plan->joins[i] = (struct plan_join){
      .begin = PLAN_BEGIN + sim_draw (&random, 0, PLAN_LENGTH),
      .endpoint = (uint32_t)sim_draw (&random, 0, plan->endpoint_count - 1),
    };
  plan->resize_count = PLAN_RESIZES;
  for (uint32_t i = 0; i < plan->resize_count; i++)
    plan->resizes[i] = (struct plan_resize){
      .begin = PLAN_BEGIN + sim_draw (&random, -1000, 6000) * SNIPE_MS,
      .endpoint = (uint32_t)sim_draw (&random, 0, plan->endpoint_count - 1),
      .percent = sim_chance (&random, 60) ? 50 : 100,
    };
}

/* Adds a host that stands still, is killed or loses connections around the
 * moment at which callers lose their connections to it, while stops are late.
 */
static void
plan_draw_return (struct plan *plan, const struct storm *storm,
                  struct sim_random *random)
{
  static const struct
  {
    enum disturbance_kind kind;
    int64_t percent; /**< chance */
    /** Since the break, and length, in ms: the least and the most. */
    int64_t begin_min, begin_max, length_min, length_max;
    uint32_t detail;
    bool any_host;
  } parts[PLAN_RETURN_PARTS] = {
    { DISTURB_FREEZE, 60, -60, 20, 200, 590, 0, false },
    { DISTURB_FREEZE, 40, -590, 200, 20, 590, 0, false },
    { DISTURB_FREEZE, 30, -590, 600, 20, 590, 0, true },
    { DISTURB_LATE_ALL, 85, -300, 50, 1000, 5000, ENDPOINT_STOP, true },
    { DISTURB_LATE_ALL, 15, -300, 600, 50, 800, ENDPOINT_POLL, true },
    { DISTURB_LATE_ALL, 15, -300, 600, 50, 800, ENDPOINT_START, true },
    { DISTURB_KILL, 25, 0, 700, 300, 3000, 0, false },
    { DISTURB_KILL, 40, 0, 700, 300, 3000, 0, true },
    { DISTURB_RESET, 40, 0, 2, 0, 0, 0, false },
    { DISTURB_RESET, 40, -5, 250, 0, 0, 0, false },
    { DISTURB_SILENT, 30, -300, 250, 0, 0, 0, false },
  };

  for (int64_t i = sim_draw (random, 1, PLAN_RETURN_CALLERS); i > 0; i--)
    {
      uint32_t index = (uint32_t)sim_draw (random, 0, plan->job_count - 1);
      struct plan_job *job = &plan->jobs[index];

      job->host = storm->host;
      job->begin = storm->at - sim_draw (random, 20, 1200) * SNIPE_MS;
      job->duration = sim_draw (random, 2600, 5000) * SNIPE_MS;
      job->estimate = job->duration;
      job->patience = sim_draw (random, 6000, 12000) * SNIPE_MS;
      plan->disturbances[plan->disturbance_count++] = (struct disturbance){
        .kind = DISTURB_CALLER_RESET,
        .begin = storm->at + sim_draw (random, 0, 20 * SNIPE_MS),
        .other = index,
      };
    }
  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    {
      struct disturbance *out = &plan->disturbances[plan->disturbance_count];
      uint32_t hosts = MAX (plan->host_count, 2);

      if (!sim_chance (random, parts[i].percent))
        continue;
      plan->disturbance_count++;
      *out = (struct disturbance){
        .kind = parts[i].kind,
        .begin = storm->at
                 + sim_draw (random, parts[i].begin_min * SNIPE_MS,
                             parts[i].begin_max * SNIPE_MS),
        .length = sim_draw (random, parts[i].length_min * SNIPE_MS,
                            parts[i].length_max * SNIPE_MS),
        .host = parts[i].any_host ? (uint32_t)sim_draw (random, 0, hosts - 1)
                                  : storm->host,
        .detail = parts[i].kind == DISTURB_FREEZE
                      ? (uint32_t)sim_draw (random, 0, 1)
                      : parts[i].detail,
        .hard = sim_chance (random, 50),
      };
      out->other
          = (out->host + (uint32_t)sim_draw (random, 1, hosts - 1)) % hosts;
    }
}

/* Replaces the disturbances by callers that lose their connections and return
 * at a host of another domain. */
static inline void
plan_draw_returns (struct plan *plan)
{
  struct sim_random random = { plan->seed ^ UINT64_C (0xc2b2ae35) };
  uint32_t storms = (uint32_t)sim_draw (&random, 3, PLAN_RETURN_STORMS);
  struct storm storm = { 0 };

  if (plan->domain_count == 1)
    {
      plan->domain_count = 2;
      plan->endpoint_count += plan->endpoint_counts[1]
          = plan->endpoint_counts[0];
      for (uint32_t i = 0; i < plan->host_count; i++)
        plan->host_domains[i] = i % plan->domain_count;
    }
  plan->store_write_interval = PLAN_STORE_WRITE_INTERVAL;
  plan->returns_elsewhere = true;
  plan->job_count = CLAMP (plan->job_count, 1, PLAN_RETURN_JOBS);
  plan->disturbance_count = 0;
  for (uint32_t i = 0; i < storms; i++)
    {
      storm.at = i > 0 && sim_chance (&random, 40)
                     ? storm.at + sim_draw (&random, 0, 1500 * SNIPE_MS)
                     : PLAN_BEGIN + sim_draw (&random, 0, PLAN_LENGTH);
      storm.host = (uint32_t)sim_draw (&random, 0, plan->host_count - 1);
      plan_draw_return (plan, &storm, &random);
    }
}

#endif
