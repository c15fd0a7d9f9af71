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
  uint32_t use;
  uint64_t sum;
};

/* Guards against taking more than is free, giving back slots in use, idle
 * shares kept from hosts in need, and shares of lapsed hosts kept. */
static void
test_decide (void)
{
  const struct decide_case cases[] = {
    { "idle host takes a slice", { { 0 } }, 40, 0, 0, 4, 1, 10, 0, 10, 10 },
    { "idle host takes what is free of its slice",
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
    { "idle host leaves free slots to one that is short",
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
    { "nothing to do: limit below the number of hosts",
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
    { "first need takes a slice", { { 0 } }, 40, 0, 3, 4, 1, 10, 3, 10, 10 },
    { "large need takes more", { { 0 } }, 40, 0, 25, 4, 1, 25, 25, 25, 25 },
    { "need over limit", { { 0 } }, 40, 0, 500, 4, 1, 40, 40, 40, 40 },
    { "only what is free", { { 1, 36, 36 } }, 40, 0, 20, 4, 1, 4, 20, 4, 40 },
    { "nothing free: want is written",
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
    { "want known already",
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
    { "idle slice kept", { { SELF, 10, 3 } }, 40, 0, 0, 4, 0, 10, 3, 10, 10 },
    { "idle over slice given back",
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
    { "idle given back to need",
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
    { "busy host aims at fair part, keeps slots in use",
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
    { "gives back as tasks end",
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
    { "odd slot to the lowest incarnation",
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
    { "lapsed holder dropped and used",
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
    { "lapsed holder dropped without need, a slice of it taken",
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
    { "shrunk limit: gives back idle slots",
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
    { "shrunk limit: busy host aims at its fair part",
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
    { "shrunk limit: no one takes",
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
    { "limit of 0 takes all back",
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
      uint32_t use = 0;
      uint32_t want = 0;
      int rc;

      for (int k = 0; c->before[k].incarnation != 0; k++)
        CU_ASSERT_EQUAL (snipe_share_row_set (&row, &c->before[k]), 0);
      rc = snipe_share_decide (&row, &input, &use);
      for (uint32_t k = 0; k < row.count; k++)
        if (row.entries[k].incarnation == SELF)
          want = row.entries[k].want;
      if (rc != c->rc || snipe_share_held (&row, SELF) != c->held
          || want != c->want || use != c->use
          || snipe_share_sum (&row) != c->sum)
        printf ("%s: rc %d held %u want %u use %u sum %lu\n", c->name, rc,
                snipe_share_held (&row, SELF), want, use,
                (unsigned long)snipe_share_sum (&row));
      CU_ASSERT_EQUAL (rc, c->rc);
      CU_ASSERT_EQUAL (snipe_share_held (&row, SELF), c->held);
      CU_ASSERT_EQUAL (want, c->want);
      CU_ASSERT_EQUAL (use, c->use);
      CU_ASSERT_EQUAL (snipe_share_sum (&row), c->sum);
      snipe_share_row_clear (&row);
    }
}

/* Randomized run: hosts read and swap one row in turn. Time is counted in
 * rounds; a host whose last renewal is LEASE rounds old starts nothing, and
 * the others take its share back after LEASE + TASK_MAX rounds. */

#define HOSTS 7
#define ROUNDS 6000
#define DISTURBED 40
#define LEASE 12
#define TASK_MAX 4
/* Rounds without faults after each disturbance: until the shares of the dead
 * can be taken, and a few more to move them. */
#define STEADY (LEASE + TASK_MAX + FEW)
#define FEW 8
#define SEED 20261204
#define RUNS 8

enum host_state
{
  HOST_LIVE,
  HOST_CUT,  /**< partitioned: runs on, neither reads nor writes */
  HOST_DEAD, /**< its tasks end within TASK_MAX rounds */
};

struct sim_host
{
  uint64_t incarnation;
  enum host_state state;
  int since;   /**< round in which the state began */
  int renewed; /**< round of the last renewal */
  uint32_t confirmed;
  uint32_t use;
  uint32_t started[TASK_MAX]; /**< tasks by round of their end */
  uint32_t demand;            /**< running + queued, while steady */
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
  /** Dead hosts' leases: incarnation, last renewal. */
  uint64_t old_incarnation[4096];
  int old_renewed[4096];
  int old_count;
  uint32_t orphans[TASK_MAX]; /**< tasks of dead hosts by round of end */
  uint64_t writes;
  uint64_t conflicts;
};

static uint64_t
rnd (struct sim *sim, uint64_t below)
{
  sim->random ^= sim->random << 13;
  sim->random ^= sim->random >> 7;
  sim->random ^= sim->random << 17;
  return sim->random % below;
}

static bool
sim_lapsed (void *ctx, uint64_t incarnation)
{
  const struct sim *sim = ctx;

  for (int i = 0; i < HOSTS; i++)
    if (sim->hosts[i].incarnation == incarnation)
      return sim->round - sim->hosts[i].renewed >= LEASE + TASK_MAX;
  for (int i = 0; i < sim->old_count; i++)
    if (sim->old_incarnation[i] == incarnation)
      return sim->round - sim->old_renewed[i] >= LEASE + TASK_MAX;
  return false;
}

static uint32_t
running (const struct sim_host *host)
{
  uint32_t sum = 0;

  for (int i = 0; i < TASK_MAX; i++)
    sum += host->started[i];
  return sum;
}

static uint32_t
usable (const struct sim *sim, const struct sim_host *host)
{
  if (host->state == HOST_DEAD || sim->round - host->renewed >= LEASE)
    return 0;
  return host->confirmed < host->use ? host->confirmed : host->use;
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

/* Ends tasks of this round and starts new ones within the share. */
static void
run_tasks (struct sim *sim, struct sim_host *host)
{
  uint32_t share = usable (sim, host);
  uint32_t now;

  host->started[sim->round % TASK_MAX] = 0;
  now = running (host);
  while (now < share && now < host->demand)
    {
      host->started[(sim->round + 1 + rnd (sim, TASK_MAX - 1)) % TASK_MAX]++;
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
  uint32_t in_use = running (host);
  struct snipe_share_input input
      = { .self = host->incarnation,
          .limit = sim->limit,
          .running = in_use,
          .queued = host->demand > in_use ? host->demand - in_use : 0,
          .hosts = HOSTS,
          .reclaimable = sim_lapsed,
          .ctx = sim };
  int rc = snipe_share_decide (&host->seen, &input, &host->use);

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
die (struct sim *sim, struct sim_host *host)
{
  CU_ASSERT_FATAL (sim->old_count < 4096);
  sim->old_incarnation[sim->old_count] = host->incarnation;
  sim->old_renewed[sim->old_count++] = host->renewed;
  /* Tasks that end in this round have ended. */
  for (int i = 0; i < TASK_MAX; i++)
    if (i != sim->round % TASK_MAX)
      sim->orphans[i] += host->started[i];
  host_new (sim, host);
}

static void
disturb (struct sim *sim)
{
  struct sim_host *host = &sim->hosts[rnd (sim, HOSTS)];

  switch (rnd (sim, 12))
    {
    case 0:
      die (sim, host);
      break;
    case 1:
    case 2:
      host->state = host->state == HOST_CUT ? HOST_LIVE : HOST_CUT;
      break;
    case 3:
      sim->limit = (uint32_t)(20 + rnd (sim, 200));
      break;
    case 4:
    case 5:
    case 6:
      host->demand = (uint32_t)rnd (sim, 300);
      break;
    case 7:
      host->demand = 0;
      break;
    default:
      break;
    }
}

/* Slots that are in use or could be. */
static uint64_t
exposure (const struct sim *sim)
{
  uint64_t sum = 0;

  for (int i = 0; i < HOSTS; i++)
    {
      const struct sim_host *host = &sim->hosts[i];
      uint32_t share = usable (sim, host);
      uint32_t busy = running (host);

      /* A host that was out of contact may use its whole row again. */
      if (host->state == HOST_CUT || sim->round - host->renewed >= LEASE)
        {
          uint32_t held = snipe_share_held (&sim->row, host->incarnation);

          share = share > held ? share : held;
        }
      sum += share > busy ? share : busy;
    }
  for (int i = 0; i < TASK_MAX; i++)
    sum += sim->orphans[i];
  return sum;
}

/* After quiet rounds everybody has what it needs, or a fair part of it. */
static void
check_steady (const struct sim *sim, uint64_t *idle, uint64_t *short_of)
{
  uint64_t need = 0;
  uint64_t held = snipe_share_sum (&sim->row);
  uint64_t served = 0;
  uint32_t wanting = 0;

  for (int i = 0; i < HOSTS; i++)
    {
      need += sim->hosts[i].demand;
      wanting += sim->hosts[i].demand > 0 ? 1 : 0;
    }
  for (int i = 0; i < HOSTS; i++)
    {
      const struct sim_host *host = &sim->hosts[i];
      uint32_t part = wanting > 0 ? sim->limit / wanting : 0;
      uint32_t least = host->demand < part ? host->demand : part;

      served += running (host);
      if (host->confirmed < least)
        printf ("round %d: host %d holds %u, its part is %u (limit %u)\n",
                sim->round, i, host->confirmed, least, sim->limit);
      CU_ASSERT_TRUE (host->confirmed >= least);
      /* Idle shares are given back, but for an equal slice. */
      least = host->demand + host->demand / 4;
      part = sim->limit / HOSTS;
      CU_ASSERT_TRUE (host->confirmed <= (least > part ? least : part));
    }
  CU_ASSERT_TRUE (held <= sim->limit);
  need = need < sim->limit ? need : sim->limit;
  if (served < need)
    printf ("round %d: %lu of %lu slots served\n", sim->round,
            (unsigned long)served, (unsigned long)need);
  CU_ASSERT_TRUE (served >= need);
  *idle += held - served;
  *short_of += need - served;
}

/* Guards against two hosts counting on one slot, whatever hosts do to the
 * row, and against shares that stay where no demand is. */
static void
run_seed (uint64_t seed)
{
  static struct sim sim;
  uint64_t before = 0;
  uint64_t idle = 0;
  uint64_t idle_faults = 0;
  uint64_t slots = 0;
  uint64_t slots_faults = 0;
  uint64_t short_of = 0;
  bool over = false; /**< the row still exceeds a shrunk limit */

  memset (&sim, 0, sizeof sim);
  sim.random = seed;
  sim.limit = 120;
  for (int i = 0; i < HOSTS; i++)
    host_new (&sim, &sim.hosts[i]);
  for (sim.round = 0; sim.round < ROUNDS; sim.round++)
    {
      int phase = sim.round % (DISTURBED + STEADY);
      uint32_t limit = sim.limit;
      uint64_t now;
      uint64_t sum;

      sim.orphans[sim.round % TASK_MAX] = 0;
      if (phase < DISTURBED)
        disturb (&sim);
      else if (phase == DISTURBED)
        for (int i = 0; i < HOSTS; i++)
          sim.hosts[i].state = HOST_LIVE;
      for (int i = 0; i < HOSTS; i++)
        run_tasks (&sim, &sim.hosts[i]);
      /* Over the limit only because it shrank, in this round or before. */
      now = exposure (&sim);
      CU_ASSERT_TRUE (now <= limit || over);
      before = now;
      /* Hosts read together and write in random order, so that some writes
       * conflict, or read and write one after the other. */
      for (int i = 0; i < HOSTS; i++)
        if (sim.hosts[i].state == HOST_LIVE)
          {
            if (sim.round - sim.hosts[i].renewed >= LEASE)
              sim.hosts[i].confirmed = 0;
            sim.hosts[i].renewed = sim.round;
            read_row (&sim, &sim.hosts[i]);
          }
      for (int k = 0, first = (int)rnd (&sim, HOSTS); k < HOSTS; k++)
        {
          struct sim_host *host = &sim.hosts[(first + k) % HOSTS];

          if (host->state != HOST_LIVE)
            continue;
          if (rnd (&sim, 4) != 0)
            read_row (&sim, host);
          sum = snipe_share_sum (&sim.row);
          write_row (&sim, host);
          CU_ASSERT_TRUE (snipe_share_sum (&sim.row) <= sim.limit
                          || snipe_share_sum (&sim.row) <= sum);
          now = exposure (&sim);
          if (now > sim.limit && now > before)
            printf ("round %d: %lu slots of %u, before %lu\n", sim.round,
                    (unsigned long)now, sim.limit, (unsigned long)before);
          CU_ASSERT_TRUE (now <= sim.limit || now <= before);
          before = now;
        }
      for (int i = 0; i < HOSTS; i++)
        run_tasks (&sim, &sim.hosts[i]);
      over = snipe_share_sum (&sim.row) > sim.limit;
      CU_ASSERT_TRUE (exposure (&sim) <= sim.limit || over);
      if (phase == DISTURBED + STEADY - 1)
        {
          check_steady (&sim, &idle, &short_of);
          slots += sim.limit;
        }
      else if (phase < DISTURBED)
        {
          uint64_t busy = 0;

          for (int i = 0; i < HOSTS; i++)
            busy += running (&sim.hosts[i]);
          now = snipe_share_sum (&sim.row);
          idle_faults += now > busy ? now - busy : 0;
          slots_faults += sim.limit;
        }
    }
  printf ("seed %lu: %lu writes, %lu conflicts, idle quota %.3f when steady, "
          "%.3f under faults, short %lu\n",
          (unsigned long)seed, (unsigned long)sim.writes,
          (unsigned long)sim.conflicts, (double)idle / (double)slots,
          (double)idle_faults / (double)slots_faults, (unsigned long)short_of);
  for (int i = 0; i < HOSTS; i++)
    snipe_share_row_clear (&sim.hosts[i].seen);
  snipe_share_row_clear (&sim.row);
}

static void
test_random (void)
{
  for (uint64_t i = 0; i < RUNS; i++)
    run_seed (SEED + i);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "decisions by table", test_decide },
    { "randomized run", test_random },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("share", tests);
}
