/* The set of jobs that were cancelled lately. */
#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "node/cancelled_jobs.h"
#include "suite.h"

#define START (1000 * SNIPE_S)
#define RETENTION SNIPE_CANCELLED_JOBS_RETENTION
#define ADDS_MAX 3

/* Guards against starting a copy of a cancelled job (UNASKED, review/4),
 * against refusing a job for longer than intended, and against hosts that
 * renew each other's entries without end. */
static void
test_remembered (void)
{
  static const struct
  {
    const char *name;
    struct
    {
      const char *id;
      bool own;
      snipe_time at; /**< since START */
    } adds[ADDS_MAX];
    const char *asked;
    snipe_time at;
    bool remembered;
    uint32_t count; /**< after the expiry of the old ones */
  } cases[] = {
    { "nothing", { { 0 } }, "a", 0, false, 0 },
    { "at once", { { "a", true, 0 } }, "a", 0, true, 1 },
    { "told by a peer", { { "a", false, 0 } }, "a", 3500000, true, 1 },
    { "other job", { { "a", true, 0 } }, "b", 0, false, 1 },
    { "until the end", { { "a", true, 0 } }, "a", RETENTION - 1, true, 1 },
    { "expired", { { "a", true, 0 } }, "a", RETENTION, false, 0 },
    { "cancelled here again",
      { { "a", true, 0 }, { "b", true, 1 }, { "a", true, 10 } },
      "a",
      RETENTION + 9,
      true,
      1 },
    { "told again",
      { { "a", false, 0 }, { "a", false, 10 } },
      "a",
      RETENTION,
      false,
      0 },
    { "told of an own one",
      { { "a", true, 0 }, { "a", false, 10 } },
      "a",
      RETENTION,
      false,
      0 },
    { "cancelled here after it was told",
      { { "a", false, 0 }, { "a", true, 10 } },
      "a",
      RETENTION,
      true,
      1 },
    { "renewed one outlives a newer one",
      { { "a", true, 0 }, { "b", true, 5 }, { "a", true, 10 } },
      "b",
      RETENTION + 5,
      false,
      1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct snipe_cancelled_jobs *jobs = snipe_cancelled_jobs_new ();
      snipe_time now = START + cases[i].at;

      for (int add = 0; add < ADDS_MAX && cases[i].adds[add].id != NULL; add++)
        snipe_cancelled_jobs_add (jobs, cases[i].adds[add].id,
                                  cases[i].adds[add].own,
                                  START + cases[i].adds[add].at);
      if (snipe_cancelled_jobs_contains (jobs, cases[i].asked, now)
          != cases[i].remembered)
        {
          printf ("\n  %s", cases[i].name);
          CU_FAIL ("wrong answer");
        }
      snipe_cancelled_jobs_expire (jobs, now);
      if (snipe_cancelled_jobs_count (jobs) != cases[i].count)
        {
          printf ("\n  %s: %u remembered", cases[i].name,
                  snipe_cancelled_jobs_count (jobs));
          CU_FAIL ("wrong number of jobs");
        }
      CU_ASSERT_EQUAL (snipe_cancelled_jobs_dropped (jobs), 0);
      snipe_cancelled_jobs_free (jobs);
    }
}

static void
append_id (void *ctx, const char *id)
{
  g_string_append (ctx, id);
}

/* Guards against a host that sends jobs again that it was told of, as all
 * hosts would then send the cancellations of the whole fleet, and against one
 * that leaves out those of a silent connection. */
static void
test_each_own (void)
{
  static const struct
  {
    snipe_time age;
    snipe_time at; /**< since the last one was cancelled */
    const char *visited;
  } cases[] = {
    { 0, 0, "d" },
    { SNIPE_S, 0, "dc" },
    { 2 * SNIPE_S, 0, "dc" },
    { 3 * SNIPE_S, 0, "dca" },
    { INT64_MAX, 0, "dca" },
    { 3 * SNIPE_S, SNIPE_S, "dc" },
    { 3 * SNIPE_S, 4 * SNIPE_S, "" },
    { INT64_MAX, RETENTION - SNIPE_S, "d" },
    { INT64_MAX, RETENTION, "" },
  };
  struct snipe_cancelled_jobs *jobs = snipe_cancelled_jobs_new ();

  snipe_cancelled_jobs_add (jobs, "a", true, START);
  snipe_cancelled_jobs_add (jobs, "b", false, START + SNIPE_S);
  snipe_cancelled_jobs_add (jobs, "c", true, START + 2 * SNIPE_S);
  snipe_cancelled_jobs_add (jobs, "d", true, START + 3 * SNIPE_S);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GString *visited = g_string_new (NULL);

      snipe_cancelled_jobs_each_own (jobs, cases[i].age, append_id, visited,
                                     START + 3 * SNIPE_S + cases[i].at);
      CU_ASSERT_STRING_EQUAL (visited->str, cases[i].visited);
      g_string_free (visited, TRUE);
    }
  snipe_cancelled_jobs_free (jobs);
}

static uint32_t warnings;

static GLogWriterOutput
count_warning (GLogLevelFlags level, const GLogField *fields, gsize count,
               gpointer ctx)
{
  (void)fields;
  (void)count;
  (void)ctx;
  if ((level & G_LOG_LEVEL_WARNING) != 0)
    warnings++;
  return G_LOG_WRITER_HANDLED;
}

/* Guards against a set that grows with the rate of cancellations, and against
 * one that forgets a job without a line in the log, or with one for each. */
static void
test_bounded (void)
{
  struct snipe_cancelled_jobs *jobs = snipe_cancelled_jobs_new ();
  uint32_t extra = 100;
  char id[24];

  g_log_set_writer_func (count_warning, NULL, NULL);
  for (uint32_t i = 0; i < SNIPE_CANCELLED_JOBS_MAX + extra; i++)
    {
      snprintf (id, sizeof id, "%016x", i);
      snipe_cancelled_jobs_add (jobs, id, true, START + i);
      CU_ASSERT_FATAL (snipe_cancelled_jobs_count (jobs)
                       <= SNIPE_CANCELLED_JOBS_MAX);
    }
  CU_ASSERT_EQUAL (snipe_cancelled_jobs_count (jobs),
                   SNIPE_CANCELLED_JOBS_MAX);
  CU_ASSERT_EQUAL (snipe_cancelled_jobs_dropped (jobs), extra);
  CU_ASSERT_EQUAL (warnings, 1);
  snprintf (id, sizeof id, "%016x", extra - 1);
  CU_ASSERT_FALSE (snipe_cancelled_jobs_contains (jobs, id, START + SNIPE_S));
  snprintf (id, sizeof id, "%016x", extra);
  CU_ASSERT_TRUE (snipe_cancelled_jobs_contains (jobs, id, START + SNIPE_S));
  /* One that is renewed takes no second entry. */
  snipe_cancelled_jobs_add (jobs, id, true, START + SNIPE_S);
  CU_ASSERT_EQUAL (snipe_cancelled_jobs_dropped (jobs), extra);
  snipe_cancelled_jobs_free (jobs);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "remembered", test_remembered },
    { "each own", test_each_own },
    { "bounded", test_bounded },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("cancelled_jobs", tests);
}
