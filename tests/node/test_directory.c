#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>

#include "node/directory.h"
#include "suite.h"

#define NOW (60 * SNIPE_S)

struct fit_case
{
  const char *name;
  int64_t cpu;          /**< of the only endpoint, 0: none is listed */
  const char *service;  /**< of that endpoint */
  const char *label;    /**< wanted by the job */
  snipe_time whole_ago; /**< -1: never read */
  snipe_time asked_ago;
  enum snipe_job_feasibility fit;
};

/* Guards against a job being failed for good although an endpoint can run it
 * whose entry had lapsed with the store and was not read since (LOST on
 * sbmp-reorders, hunt-0a7f-39: a host without pools had read the list once, at
 * the store's return, and took it for whole three seconds later). */
static void
test_fit (void)
{
  const struct fit_case cases[] = {
    { "fits", 64000, "work", "", 9 * SNIPE_S, 0, SNIPE_FEASIBILITY_POSSIBLE },
    { "too large", 8000, "work", "", 9 * SNIPE_S, 0, SNIPE_FEASIBILITY_NONE },
    { "no such label", 64000, "work", "big", 9 * SNIPE_S, 0,
      SNIPE_FEASIBILITY_NONE },
    { "label is its kind", 64000, "work", "std", 9 * SNIPE_S, 0,
      SNIPE_FEASIBILITY_POSSIBLE },
    { "label is its rack", 64000, "work", "r1", 9 * SNIPE_S, 0,
      SNIPE_FEASIBILITY_POSSIBLE },
    { "none listed", 0, "work", "", 9 * SNIPE_S, 0,
      SNIPE_FEASIBILITY_POSSIBLE },
    { "only those of another service", 64000, "other", "", 9 * SNIPE_S, 0,
      SNIPE_FEASIBILITY_POSSIBLE },
    { "never read", 8000, "work", "", -1, 0, SNIPE_FEASIBILITY_POSSIBLE },
    { "read once, just now", 8000, "work", "", 0, 0,
      SNIPE_FEASIBILITY_POSSIBLE },
    { "read since the store is back, not settled", 8000, "work", "",
      2 * SNIPE_S, 0, SNIPE_FEASIBILITY_POSSIBLE },
    { "read once, at the store's return", 8000, "work", "", 3100 * SNIPE_MS,
      3100 * SNIPE_MS, SNIPE_FEASIBILITY_STALE },
    { "read in time, but long ago", 8000, "work", "", 20 * SNIPE_S,
      7 * SNIPE_S, SNIPE_FEASIBILITY_STALE },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct fit_case *row = &cases[i];
      struct snipe_endpoint_entry entry
          = { .id = "e1",
              .kind = "std",
              .rack = "r1",
              .capacity = { .cpu = row->cpu, .mem_mb = 1024 } };
      struct snipe_coordinator_job job
          = { .service = "work",
              .label = row->label,
              .task_resources = { .cpu = 30000, .mem_mb = 64 } };
      struct snipe_directory_freshness age
          = { .complete_since = row->whole_ago < 0 ? 0 : NOW - row->whole_ago,
              .requested_at = row->whole_ago < 0 ? 0 : NOW - row->asked_ago };
      GHashTable *endpoints = g_hash_table_new (g_str_hash, g_str_equal);
      enum snipe_job_feasibility fit;

      g_strlcpy (entry.service, row->service, sizeof entry.service);
      if (row->cpu > 0)
        g_hash_table_insert (endpoints, entry.id, &entry);
      fit = snipe_directory_fit (endpoints, &age, &job, NOW);
      if (fit != row->fit)
        printf ("%s: fit %d, not %d\n", row->name, (int)fit, (int)row->fit);
      CU_ASSERT_EQUAL (fit, row->fit);
      g_hash_table_destroy (endpoints);
    }
}

/* Guards against endpoints being dropped whose entries had lapsed with the
 * store and are back a moment later. */
static void
test_gone (void)
{
  static const struct
  {
    const char *name;
    snipe_time unlisted;    /**< ago */
    snipe_time store_since; /**< ago, -1: it does not answer */
    bool gone;
  } cases[] = {
    { "store is well", 0, 50 * SNIPE_S, true },
    { "store is away", 9 * SNIPE_S, -1, false },
    { "store is just back", 0, 2 * SNIPE_S, false },
    { "lapsed while the store was away", 9 * SNIPE_S, 2 * SNIPE_S, false },
    { "not back in time", 9 * SNIPE_S, 2500 * SNIPE_MS, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      bool gone = snipe_directory_is_gone (
          NOW - cases[i].unlisted,
          cases[i].store_since < 0 ? 0 : NOW - cases[i].store_since, NOW);

      if (gone != cases[i].gone)
        printf ("%s\n", cases[i].name);
      CU_ASSERT_EQUAL (gone, cases[i].gone);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "fit", test_fit },
    { "gone", test_gone },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("directory", tests);
}
