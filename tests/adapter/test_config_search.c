/* Randomized search for configurations that do not come into force in time,
 * go back, or come from elsewhere: hosts with their adapter to the platform's
 * store, in virtual time, under disturbances that a seed determines.
 *
 * SNIPE_SEARCH_SEED plays one seed, or the first of SNIPE_SEARCH_COUNT seeds;
 * SNIPE_SEARCH_BRIEF prints failed seeds without traces. */
#include <CUnit/Basic.h>
#include <stdlib.h>

#include "adapter/config_fleet.h"
#include "suite.h"

#define SEEDS 150
/* A planted fault has to be found within this many seeds. */
#define FAULT_SEEDS 2000
/* Lines of a trace, the last ones before the violation. */
#define TRACE_LINES 60

static void
print_trace (void)
{
  guint first = sim.lines->len;

  for (guint shown = 0; first > 0 && shown < TRACE_LINES; first--)
    shown += g_array_index (sim.lines, struct sim_line, first - 1).fleet;
  for (guint i = first; i < sim.lines->len; i++)
    {
      const struct sim_line *line
          = &g_array_index (sim.lines, struct sim_line, i);
      snipe_time at = line->time - config_fleet.start;

      if (line->fleet)
        printf ("  %3" G_GINT64_FORMAT ".%03" G_GINT64_FORMAT " %c%u %s\n",
                at / SNIPE_S, at % SNIPE_S / SNIPE_MS,
                line->host == SIM_NO_HOST ? '-' : 'h',
                line->host == SIM_NO_HOST ? 0 : line->host, line->text);
    }
}

static bool
still_fails (const struct config_plan *plan)
{
  bool fails = !config_fleet_play (plan, false);

  config_fleet_end ();
  return fails;
}

/* Switches off the disturbances that the violation does not need. */
static void
shrink (struct config_plan *plan)
{
  for (uint32_t i = 0; i < plan->disturbance_count; i++)
    {
      plan->disturbances[i].off = true;
      if (!still_fails (plan))
        plan->disturbances[i].off = false;
    }
}

static void
print_failure (struct config_plan *plan)
{
  shrink (plan);
  config_fleet_play (plan, true);
  printf ("  after shrinking: at %" G_GINT64_FORMAT " ms: %s\n",
          (config_fleet.failed_at - config_fleet.start) / SNIPE_MS,
          config_fleet.failure);
  print_trace ();
  config_fleet_end ();
}

struct search_totals
{
  uint64_t checks;
  uint64_t peer_checks;
  snipe_time latest;
  snipe_time latest_from_peer;
};

static bool
play_seed (uint64_t seed, enum config_fault fault,
           struct search_totals *totals)
{
  struct config_plan plan;
  bool good;

  config_plan_draw (&plan, seed, fault);
  good = config_fleet_play (&plan, false);
  totals->checks += config_fleet.checks;
  totals->peer_checks += config_fleet.peer_checks;
  totals->latest = MAX (totals->latest, config_fleet.latest);
  totals->latest_from_peer
      = MAX (totals->latest_from_peer, config_fleet.latest_from_peer);
  if (!good && fault == FAULT_NONE)
    printf ("\n  seed %" G_GUINT64_FORMAT ": %s\n", seed,
            config_fleet.failure);
  config_fleet_end ();
  if (!good && fault == FAULT_NONE && getenv ("SNIPE_SEARCH_BRIEF") == NULL)
    print_failure (&plan);
  return good;
}

/* Guards against a configuration that is not in force within two seconds at a
 * host that hears the store, or another host that does. */
static void
test_search (void)
{
  const char *seed = getenv ("SNIPE_SEARCH_SEED");
  const char *count = getenv ("SNIPE_SEARCH_COUNT");
  uint64_t first = seed == NULL ? 1 : g_ascii_strtoull (seed, NULL, 10);
  uint64_t seeds = count != NULL  ? g_ascii_strtoull (count, NULL, 10)
                   : seed != NULL ? 1
                                  : SEEDS;
  struct search_totals totals = { 0 };
  uint32_t failures = 0;

  for (uint64_t i = 0; i < seeds; i++)
    failures += !play_seed (first + i, FAULT_NONE, &totals);
  printf ("\n  %u of %" G_GUINT64_FORMAT
          " seeds failed; checked %" G_GUINT64_FORMAT
          " times against the store, %" G_GUINT64_FORMAT
          " against another host; latest %" G_GINT64_FORMAT
          " and %" G_GINT64_FORMAT " ms\n",
          failures, seeds, totals.checks, totals.peer_checks,
          totals.latest / SNIPE_MS, totals.latest_from_peer / SNIPE_MS);
  CU_ASSERT_EQUAL (failures, 0);
}

/* Guards against a search that finds nothing because it plays nothing. */
static void
test_planted_faults (void)
{
  static const struct
  {
    const char *name;
    enum config_fault fault;
  } cases[] = {
    { "hosts do not give their configuration", FAULT_PEERS_MUTE },
    { "hosts take any version", FAULT_GOES_BACK },
    { "silent connections are kept", FAULT_KEEPS_CONNECTIONS },
    { "rows of all parts look alike", FAULT_HIDES_PARTS },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct search_totals totals = { 0 };
      uint64_t seed = 1;

      while (seed <= FAULT_SEEDS && play_seed (seed, cases[i].fault, &totals))
        seed++;
      printf ("\n  %s: found by seed %" G_GUINT64_FORMAT, cases[i].name, seed);
      CU_ASSERT_TRUE (seed <= FAULT_SEEDS);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "search", test_search },
    { "planted faults", test_planted_faults },
    CU_TEST_INFO_NULL,
  };

  setvbuf (stdout, NULL, _IOLBF, 0);
  g_log_set_writer_func (sim_log_writer, NULL, NULL);
  return suite_run ("config_search", tests);
}
