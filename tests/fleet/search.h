/**
 * @file search.h
 * Plays the seeds of a search for faults of a whole fleet, and prints what a
 * failing one needs. SNIPE_SEARCH_SEED plays one seed, or the first of
 * SNIPE_SEARCH_COUNT seeds; SNIPE_SEARCH_MODE (1 or 2) restricts the mode of
 * the callers; SNIPE_SEARCH_BRIEF prints failed seeds without traces, and
 * SNIPE_SEARCH_FIRST ends the search with the first one.
 */
#ifndef TESTS_FLEET_SEARCH_H
#define TESTS_FLEET_SEARCH_H

#include <CUnit/Basic.h>
#include <stdlib.h>

#include "fleet/fleet.h"
#include "fleet/trace.h"
#include "suite.h"

/* Of each mode; both take some 7 s of CPU time. */
#define SEEDS 300
/* With callers that return, some 4 s. */
#define RETURN_SEEDS 200
static bool
still_fails (const struct plan *plan, enum violation_kind kind)
{
  bool fails = fleet_play (plan, false).kind == kind;

  fleet_end ();
  return fails;
}

/* Switches off what the violation does not need. */
static void
shrink (struct plan *plan, enum violation_kind kind)
{
  struct plan smaller;

  for (enum disturbance_kind off = 0; off < DISTURB_KINDS; off++)
    {
      smaller = *plan;
      for (uint32_t i = 0; i < plan->disturbance_count; i++)
        smaller.disturbances[i].off |= smaller.disturbances[i].kind == off;
      if (still_fails (&smaller, kind))
        *plan = smaller;
    }
  for (uint32_t i = 0; i < plan->disturbance_count; i++)
    {
      smaller = *plan;
      smaller.disturbances[i].off = true;
      if (!plan->disturbances[i].off && still_fails (&smaller, kind))
        *plan = smaller;
    }
  for (uint32_t i = 0; i < plan->job_count; i++)
    {
      smaller = *plan;
      smaller.jobs[i].off = true;
      if (still_fails (&smaller, kind))
        *plan = smaller;
    }
}

static void
print_plan (const struct plan *plan)
{
  uint32_t jobs = 0;

  for (uint32_t i = 0; i < plan->job_count; i++)
    jobs += !plan->jobs[i].off;
  printf ("  %u hosts in %u domains, %u endpoints, %u jobs; disturbances "
          "left:\n",
          plan->host_count, plan->domain_count, plan->endpoint_count, jobs);
  for (uint32_t i = 0; i < plan->disturbance_count; i++)
    {
      const struct disturbance *at = &plan->disturbances[i];

      if (!at->off)
        printf ("    %6" G_GINT64_FORMAT " ms for %5" G_GINT64_FORMAT
                " ms: %s host=h%u other=%u detail=%u%s\n",
                at->begin / SNIPE_MS, at->length / SNIPE_MS,
                disturbance_names[at->kind], at->host, at->other, at->detail,
                at->hard ? " hard" : "");
    }
}

/** What a play adds to the disturbances of its plan. */
enum extras
{
  EXTRA_NONE,
  EXTRA_CRASHES,
  EXTRA_OLD_LISTS,
  EXTRA_RETURNS,
  EXTRA_WHOLE_JOBS,
  EXTRA_SHARED_ORDER,
};

static void
draw (struct plan *plan, uint64_t seed, enum plan_mode mode,
      enum extras extras)
{
  plan_draw (plan, seed, mode);
  switch (extras)
    {
    case EXTRA_NONE:
      break;
    case EXTRA_CRASHES:
      plan_draw_crashes (plan);
      break;
    case EXTRA_OLD_LISTS:
      plan_draw_old_lists (plan);
      break;
    case EXTRA_RETURNS:
      plan_draw_returns (plan);
      break;
    case EXTRA_WHOLE_JOBS:
      plan->whole_jobs = true;
      break;
    case EXTRA_SHARED_ORDER:
      plan->shared_order = true;
      break;
    }
}

static bool
play_seed (uint64_t seed, enum plan_mode mode, enum extras extras)
{
  struct plan plan;
  struct violation violation;

  draw (&plan, seed, mode, extras);
  violation = fleet_play (&plan, false);
  fleet_end ();
  if (violation.kind == VIOLATION_NONE)
    return true;
  printf ("\n  seed %" G_GUINT64_FORMAT " mode %d: task %s: %s\n", seed,
          (int)mode, violation.task, violation.text);
  if (getenv ("SNIPE_SEARCH_BRIEF") != NULL)
    return false;
  shrink (&plan, violation.kind);
  violation = fleet_play (&plan, true);
  printf ("  after shrinking: at %" G_GINT64_FORMAT " ms: task %s: %s\n",
          (violation.at - fleet.start) / SNIPE_MS, violation.task,
          violation.text);
  print_plan (&plan);
  fleet_print_trace ();
  fleet_end ();
  return false;
}

static void
search (enum plan_mode mode, enum extras extras)
{
  const char *seed = getenv ("SNIPE_SEARCH_SEED");
  const char *count = getenv ("SNIPE_SEARCH_COUNT");
  const char *only = getenv ("SNIPE_SEARCH_MODE");
  uint64_t first = seed == NULL ? 1 : g_ascii_strtoull (seed, NULL, 10);
  uint64_t seeds = count != NULL  ? g_ascii_strtoull (count, NULL, 10)
                   : seed != NULL ? 1
                   : extras == EXTRA_RETURNS ? RETURN_SEEDS
                                             : SEEDS;
  uint32_t failures = 0;

  if (only != NULL && atoi (only) != (int)mode)
    return;
  fleet_totals = (struct fleet_totals){ 0 };
  for (uint64_t i = 0;
       i < seeds && (failures == 0 || getenv ("SNIPE_SEARCH_FIRST") == NULL);
       i++)
    failures += !play_seed (first + i, mode, extras);
  printf (
      "\n  mode %d: %u of %" G_GUINT64_FORMAT
      " seeds failed; played %" G_GUINT64_FORMAT
      ": submissions=%" G_GUINT64_FORMAT " runs=%" G_GUINT64_FORMAT
      " complete=%" G_GUINT64_FORMAT " failed=%" G_GUINT64_FORMAT
      " not_run=%" G_GUINT64_FORMAT " unknown=%" G_GUINT64_FORMAT
      " over_capacity=%" G_GUINT64_FORMAT " events=%" G_GUINT64_FORMAT "\n",
      (int)mode, failures, seeds, fleet_totals.seeds, fleet_totals.submissions,
      fleet_totals.runs, fleet_totals.answers[0], fleet_totals.answers[1],
      fleet_totals.answers[2], fleet_totals.answers[3],
      fleet_totals.over_capacity, fleet_totals.events);
  CU_ASSERT_EQUAL (failures, 0);
}

#endif
