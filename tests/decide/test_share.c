#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "snipe/share.h"
#include "suite.h"

#define SELF 5
#define DEAD 99

static bool
is_dead (void *ctx, uint64_t incarnation)
{
  (void)ctx;
  return incarnation == DEAD;
}

struct decide_case
{
  const char *name;
  struct snipe_share_entry before[4]; /**< ends with incarnation 0 */
  uint32_t limit;
  uint32_t running;
  uint32_t queued;
  uint32_t hosts;
  int rc;
  uint32_t held; /**< in the row afterwards */
  uint32_t want;
  uint32_t usable;
  uint64_t sum;
};

/* Guards against taking more slots than are free, giving back slots in use,
 * keeping idle slots that other hosts need, and never reclaiming the shares of
 * hosts that are gone. */
static void
test_decide (void)
{
  const struct decide_case cases[] = {
    { "idle: takes equal share", { { 0 } }, 40, 0, 0, 4, 1, 10, 0, 10, 10 },
    { "idle host takes the free part of an equal share",
      { { 1, 36, 36 } },
      40,
      0,
      0,
      4,
      1,
      4,
      0,
      4,
      40 },
    { "idle host leaves free slots to a short host",
      { { 1, 20, 30 } },
      40,
      0,
      0,
      4,
      0,
      0,
      0,
      0,
      20 },
    { "no change: limit below the number of hosts",
      { { 0 } },
      3,
      0,
      0,
      4,
      0,
      0,
      0,
      0,
      0 },
    { "first task: equal share", { { 0 } }, 40, 0, 3, 4, 1, 10, 3, 10, 10 },
    { "large demand takes more", { { 0 } }, 40, 0, 25, 4, 1, 25, 25, 25, 25 },
    { "demand over the limit", { { 0 } }, 40, 0, 500, 4, 1, 40, 40, 40, 40 },
    { "only free slots", { { 1, 36, 36 } }, 40, 0, 20, 4, 1, 4, 20, 4, 40 },
    { "no free slot: request is written",
      { { 1, 40, 40 } },
      40,
      0,
      20,
      4,
      1,
      0,
      20,
      0,
      40 },
    { "request already written",
      { { 1, 40, 40 }, { SELF, 0, 20 } },
      40,
      0,
      20,
      4,
      0,
      0,
      20,
      0,
      40 },
    { "idle share kept", { { SELF, 10, 3 } }, 40, 0, 0, 4, 0, 10, 3, 10, 10 },
    { "idle slots over an equal share given back",
      { { SELF, 30, 30 } },
      40,
      1,
      0,
      4,
      1,
      10,
      1,
      10,
      10 },
    { "idle slots given back to a short host",
      { { 1, 0, 40 }, { SELF, 40, 40 } },
      40,
      5,
      0,
      4,
      1,
      5,
      5,
      5,
      5 },
    { "busy host targets its fair share, keeps slots in use",
      { { 1, 0, 40 }, { SELF, 40, 40 } },
      40,
      40,
      100,
      2,
      0,
      40,
      40,
      20,
      40 },
    { "slots given back as tasks end",
      { { 1, 0, 40 }, { SELF, 40, 40 } },
      40,
      31,
      100,
      2,
      1,
      31,
      40,
      20,
      31 },
    { "odd slot goes to the lowest incarnation",
      { { 1, 0, 41 }, { SELF, 41, 41 } },
      41,
      0,
      100,
      2,
      1,
      20,
      41,
      20,
      20 },
    { "reclaimable share taken",
      { { DEAD, 40, 40 } },
      40,
      0,
      40,
      4,
      1,
      40,
      40,
      40,
      40 },
    { "reclaimable share removed, equal share of it taken while idle",
      { { DEAD, 40, 40 } },
      40,
      0,
      0,
      4,
      1,
      10,
      0,
      10,
      10 },
    { "lowered limit: idle slots given back",
      { { 1, 20, 20 }, { SELF, 20, 20 } },
      20,
      4,
      50,
      2,
      1,
      4,
      20,
      4,
      24 },
    { "lowered limit: busy host targets its fair share",
      { { 1, 20, 20 }, { SELF, 20, 20 } },
      20,
      20,
      50,
      2,
      0,
      20,
      20,
      10,
      40 },
    { "lowered limit: no slots taken",
      { { 1, 30, 30 }, { SELF, 5, 5 } },
      20,
      5,
      50,
      2,
      1,
      5,
      20,
      5,
      35 },
    { "limit of 0: all slots given back",
      { { SELF, 5, 5 } },
      0,
      0,
      9,
      2,
      1,
      0,
      0,
      0,
      0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const struct decide_case *c = &cases[i];
      struct snipe_share_row row = { 0 };
      struct snipe_share_input input = { .self = SELF,
                                         .limit = c->limit,
                                         .running = c->running,
                                         .queued = c->queued,
                                         .hosts = c->hosts,
                                         .reclaimable = is_dead };
      uint32_t usable = 0;
      uint32_t want = 0;
      int rc;

      for (int k = 0; c->before[k].incarnation != 0; k++)
        CU_ASSERT_EQUAL (snipe_share_row_set (&row, &c->before[k]), 0);
      rc = snipe_share_decide (&row, &input, &usable);
      for (uint32_t k = 0; k < row.count; k++)
        if (row.entries[k].incarnation == SELF)
          want = row.entries[k].want;
      if (rc != c->rc || snipe_share_held (&row, SELF) != c->held
          || want != c->want || usable != c->usable
          || snipe_share_sum (&row) != c->sum)
        printf ("%s: rc %d held %u want %u usable %u sum %lu\n", c->name, rc,
                snipe_share_held (&row, SELF), want, usable,
                (unsigned long)snipe_share_sum (&row));
      CU_ASSERT_EQUAL (rc, c->rc);
      CU_ASSERT_EQUAL (snipe_share_held (&row, SELF), c->held);
      CU_ASSERT_EQUAL (want, c->want);
      CU_ASSERT_EQUAL (usable, c->usable);
      CU_ASSERT_EQUAL (snipe_share_sum (&row), c->sum);
      snipe_share_row_clear (&row);
    }
}

/* Randomized simulation: hosts read one row and replace it by
 * compare-and-swap. Time is counted in rounds. A host that renewed its lease
 * LEASE_ROUNDS ago starts no task; the others reclaim its share after
 * LEASE_ROUNDS + TASK_ROUNDS_MAX. */

#define HOSTS 7
#define ROUNDS 6000
#define FAULT_ROUNDS 40
#define LEASE_ROUNDS 12
#define TASK_ROUNDS_MAX 4
/* Rounds without faults after each FAULT_ROUNDS: until the shares of dead
 * hosts are reclaimable, plus some to move them. */
#define QUIET_ROUNDS (LEASE_ROUNDS + TASK_ROUNDS_MAX + SETTLE_ROUNDS)
#define SETTLE_ROUNDS 8
#define SEED 20261204
#define SEED_COUNT 8

enum host_state
{
  HOST_LIVE,
  HOST_PARTITIONED, /**< runs tasks, but neither reads nor writes */
  HOST_DEAD,        /**< its tasks end within TASK_ROUNDS_MAX rounds */
};

struct sim_host
{
  uint64_t incarnation;
  enum host_state state;
  int since;   /**< round in which the state began */
  int renewed; /**< round of the last renewal */
  uint32_t confirmed;
  uint32_t usable;
  uint32_t tasks_ending[TASK_ROUNDS_MAX]; /**< by round of their end, modulo
                                             TASK_ROUNDS_MAX */
  uint32_t demand;                        /**< running + queued tasks */
  struct snipe_share_row seen;
  uint64_t seen_version;
};

struct sim
{
  uint64_t random;
  int round;
  uint32_t limit;
  struct snipe_share_row row;
  uint64_t version;
  uint64_t next_incarnation;
  struct sim_host hosts[HOSTS];
  /** Incarnation and last renewal of dead hosts. */
  uint64_t dead_incarnation[4096];
  int dead_renewed[4096];
  int dead_count;
  uint32_t orphaned_tasks[TASK_ROUNDS_MAX]; /**< tasks of dead hosts, by round
                                               of their end */
  uint64_t writes;
  uint64_t conflicts;
};

static uint64_t
random_below (struct sim *sim, uint64_t below)
{
  sim->random ^= sim->random << 13;
  sim->random ^= sim->random >> 7;
  sim->random ^= sim->random << 17;
  return sim->random % below;
}

static bool
sim_lease_expired (void *ctx, uint64_t incarnation)
{
  const struct sim *sim = ctx;

  for (int i = 0; i < HOSTS; i++)
    if (sim->hosts[i].incarnation == incarnation)
      return sim->round - sim->hosts[i].renewed
             >= LEASE_ROUNDS + TASK_ROUNDS_MAX;
  for (int i = 0; i < sim->dead_count; i++)
    if (sim->dead_incarnation[i] == incarnation)
      return sim->round - sim->dead_renewed[i]
             >= LEASE_ROUNDS + TASK_ROUNDS_MAX;
  return false;
}

static uint32_t
running (const struct sim_host *host)
{
  uint32_t sum = 0;

  for (int i = 0; i < TASK_ROUNDS_MAX; i++)
    sum += host->tasks_ending[i];
  return sum;
}

static uint32_t
usable_slots (const struct sim *sim, const struct sim_host *host)
{
  if (host->state == HOST_DEAD || sim->round - host->renewed >= LEASE_ROUNDS)
    return 0;
  return host->confirmed < host->usable ? host->confirmed : host->usable;
}

static void
host_new (struct sim *sim, struct sim_host *host)
{
  snipe_share_row_clear (&host->seen);
  memset (host, 0, sizeof *host);
  host->incarnation = ++sim->next_incarnation;
  host->since = sim->round;
  host->renewed = sim->round;
}

static void
copy_row (struct snipe_share_row *out, const struct snipe_share_row *in)
{
  out->count = 0;
  for (uint32_t i = 0; i < in->count; i++)
    CU_ASSERT_EQUAL (snipe_share_row_set (out, &in->entries[i]), 0);
}

/* Ends the tasks due in this round and starts new ones within the share. */
static void
step_tasks (struct sim *sim, struct sim_host *host)
{
  uint32_t share = usable_slots (sim, host);
  uint32_t now;

  host->tasks_ending[sim->round % TASK_ROUNDS_MAX] = 0;
  now = running (host);
  while (now < share && now < host->demand)
    {
      host->tasks_ending[(sim->round + 1
                          + random_below (sim, TASK_ROUNDS_MAX - 1))
                         % TASK_ROUNDS_MAX]++;
      now++;
    }
}

static void
read_row (const struct sim *sim, struct sim_host *host)
{
  copy_row (&host->seen, &sim->row);
  host->seen_version = sim->version;
  host->confirmed = snipe_share_held (&sim->row, host->incarnation);
}

static void
write_row (struct sim *sim, struct sim_host *host)
{
  uint32_t running_now = running (host);
  struct snipe_share_input input
      = { .self = host->incarnation,
          .limit = sim->limit,
          .running = running_now,
          .queued
          = host->demand > running_now ? host->demand - running_now : 0,
          .hosts = HOSTS,
          .reclaimable = sim_lease_expired,
          .ctx = sim };
  int rc = snipe_share_decide (&host->seen, &input, &host->usable);

  CU_ASSERT_TRUE (rc >= 0);
  if (rc <= 0)
    return;
  if (host->seen_version != sim->version)
    {
      sim->conflicts++;
      return;
    }
  copy_row (&sim->row, &host->seen);
  sim->version++;
  sim->writes++;
  host->confirmed = snipe_share_held (&sim->row, host->incarnation);
}

static void
restart_host (struct sim *sim, struct sim_host *host)
{
  CU_ASSERT_FATAL (sim->dead_count < 4096);
  sim->dead_incarnation[sim->dead_count] = host->incarnation;
  sim->dead_renewed[sim->dead_count++] = host->renewed;
  /* The tasks due in this round have ended. */
  for (int i = 0; i < TASK_ROUNDS_MAX; i++)
    if (i != sim->round % TASK_ROUNDS_MAX)
      sim->orphaned_tasks[i] += host->tasks_ending[i];
  host_new (sim, host);
}

static void
inject_fault (struct sim *sim)
{
  struct sim_host *host = &sim->hosts[random_below (sim, HOSTS)];

  switch (random_below (sim, 12))
    {
    case 0:
      restart_host (sim, host);
      break;
    case 1:
    case 2:
      host->state
          = host->state == HOST_PARTITIONED ? HOST_LIVE : HOST_PARTITIONED;
      break;
    case 3:
      sim->limit = (uint32_t)(20 + random_below (sim, 200));
      break;
    case 4:
    case 5:
    case 6:
      host->demand = (uint32_t)random_below (sim, 300);
      break;
    case 7:
      host->demand = 0;
      break;
    default:
      break;
    }
}

/* @return the number of slots that are in use or may still be used. */
static uint64_t
slots_at_risk (const struct sim *sim)
{
  uint64_t sum = 0;

  for (int i = 0; i < HOSTS; i++)
    {
      const struct sim_host *host = &sim->hosts[i];
      uint32_t share = usable_slots (sim, host);
      uint32_t busy = running (host);

      /* A partitioned host, or one whose lease expired, may use its whole
       * share again after its next read. */
      if (host->state == HOST_PARTITIONED
          || sim->round - host->renewed >= LEASE_ROUNDS)
        {
          uint32_t held = snipe_share_held (&sim->row, host->incarnation);

          share = share > held ? share : held;
        }
      sum += share > busy ? share : busy;
    }
  for (int i = 0; i < TASK_ROUNDS_MAX; i++)
    sum += sim->orphaned_tasks[i];
  return sum;
}

/* Checks that, after rounds without faults, each host has the slots that it
 * needs or its fair share, and that idle slots were given back. */
static void
check_steady (const struct sim *sim, uint64_t *idle, uint64_t *shortfall)
{
  uint64_t need = 0;
  uint64_t held = snipe_share_sum (&sim->row);
  uint64_t served = 0;
  uint32_t hosts_with_demand = 0;

  for (int i = 0; i < HOSTS; i++)
    {
      need += sim->hosts[i].demand;
      hosts_with_demand += sim->hosts[i].demand > 0 ? 1 : 0;
    }
  for (int i = 0; i < HOSTS; i++)
    {
      const struct sim_host *host = &sim->hosts[i];
      uint32_t fair_share
          = hosts_with_demand > 0 ? sim->limit / hosts_with_demand : 0;
      uint32_t bound = host->demand < fair_share ? host->demand : fair_share;

      served += running (host);
      if (host->confirmed < bound)
        printf (
            "round %d: host %d holds %u, its fair share is %u (limit %u)\n",
            sim->round, i, host->confirmed, bound, sim->limit);
      CU_ASSERT_TRUE (host->confirmed >= bound);
      /* A host keeps an equal share, or a quarter more than it needs. */
      bound = host->demand + host->demand / 4;
      fair_share = sim->limit / HOSTS;
      CU_ASSERT_TRUE (host->confirmed
                      <= (bound > fair_share ? bound : fair_share));
    }
  CU_ASSERT_TRUE (held <= sim->limit);
  need = need < sim->limit ? need : sim->limit;
  if (served < need)
    printf ("round %d: %lu of %lu slots served\n", sim->round,
            (unsigned long)served, (unsigned long)need);
  CU_ASSERT_TRUE (served >= need);
  *idle += held - served;
  *shortfall += need - served;
}

/* Guards against two hosts using the same slot after any sequence of faults
 * and writes to the row, and against shares that stay at hosts without demand.
 */
static void
run_simulation (uint64_t seed)
{
  static struct sim sim;
  uint64_t before = 0;
  uint64_t idle = 0;
  uint64_t idle_under_faults = 0;
  uint64_t slots = 0;
  uint64_t slots_under_faults = 0;
  uint64_t shortfall = 0;
  bool over = false; /**< the row still exceeds a lowered limit */

  memset (&sim, 0, sizeof sim);
  sim.random = seed;
  sim.limit = 120;
  for (int i = 0; i < HOSTS; i++)
    host_new (&sim, &sim.hosts[i]);
  for (sim.round = 0; sim.round < ROUNDS; sim.round++)
    {
      int phase = sim.round % (FAULT_ROUNDS + QUIET_ROUNDS);
      uint32_t limit = sim.limit;
      uint64_t now;
      uint64_t sum;

      sim.orphaned_tasks[sim.round % TASK_ROUNDS_MAX] = 0;
      if (phase < FAULT_ROUNDS)
        inject_fault (&sim);
      else if (phase == FAULT_ROUNDS)
        for (int i = 0; i < HOSTS; i++)
          sim.hosts[i].state = HOST_LIVE;
      for (int i = 0; i < HOSTS; i++)
        step_tasks (&sim, &sim.hosts[i]);
      /* May be over the limit only after it was lowered. */
      now = slots_at_risk (&sim);
      CU_ASSERT_TRUE (now <= limit || over);
      before = now;
      /* All hosts read first and then write from a random host on. Three out
       * of four read again before they write; the others cause conflicts. */
      for (int i = 0; i < HOSTS; i++)
        if (sim.hosts[i].state == HOST_LIVE)
          {
            if (sim.round - sim.hosts[i].renewed >= LEASE_ROUNDS)
              sim.hosts[i].confirmed = 0;
            sim.hosts[i].renewed = sim.round;
            read_row (&sim, &sim.hosts[i]);
          }
      for (int k = 0, first = (int)random_below (&sim, HOSTS); k < HOSTS; k++)
        {
          struct sim_host *host = &sim.hosts[(first + k) % HOSTS];

          if (host->state != HOST_LIVE)
            continue;
          if (random_below (&sim, 4) != 0)
            read_row (&sim, host);
          sum = snipe_share_sum (&sim.row);
          write_row (&sim, host);
          CU_ASSERT_TRUE (snipe_share_sum (&sim.row) <= sim.limit
                          || snipe_share_sum (&sim.row) <= sum);
          now = slots_at_risk (&sim);
          if (now > sim.limit && now > before)
            printf ("round %d: %lu slots of %u, before %lu\n", sim.round,
                    (unsigned long)now, sim.limit, (unsigned long)before);
          CU_ASSERT_TRUE (now <= sim.limit || now <= before);
          before = now;
        }
      for (int i = 0; i < HOSTS; i++)
        step_tasks (&sim, &sim.hosts[i]);
      over = snipe_share_sum (&sim.row) > sim.limit;
      CU_ASSERT_TRUE (slots_at_risk (&sim) <= sim.limit || over);
      if (phase == FAULT_ROUNDS + QUIET_ROUNDS - 1)
        {
          check_steady (&sim, &idle, &shortfall);
          slots += sim.limit;
        }
      else if (phase < FAULT_ROUNDS)
        {
          uint64_t busy = 0;

          for (int i = 0; i < HOSTS; i++)
            busy += running (&sim.hosts[i]);
          now = snipe_share_sum (&sim.row);
          idle_under_faults += now > busy ? now - busy : 0;
          slots_under_faults += sim.limit;
        }
    }
  printf ("seed %lu: %lu writes, %lu conflicts, idle quota %.3f when steady, "
          "%.3f under faults, short %lu\n",
          (unsigned long)seed, (unsigned long)sim.writes,
          (unsigned long)sim.conflicts, (double)idle / (double)slots,
          (double)idle_under_faults / (double)slots_under_faults,
          (unsigned long)shortfall);
  for (int i = 0; i < HOSTS; i++)
    snipe_share_row_clear (&sim.hosts[i].seen);
  snipe_share_row_clear (&sim.row);
}

static void
test_random (void)
{
  for (uint64_t i = 0; i < SEED_COUNT; i++)
    run_simulation (SEED + i);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "decisions by table", test_decide },
    { "randomized simulation", test_random },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("share", tests);
}
