/* P5: under each endpoint fault a non-idempotent task starts at most once, and
   an idempotent one at most as often as its retry rule allows. A failing
   endpoint is suspended, probed and used again without a retry storm. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <math.h>
#include <string.h>

#include "faults/cluster.h"
#include "snipe/clock.h"
#include "suite.h"

#define JOBS 6
#define TASKS 30
#define RETRIES_MAX 2 /* of the rule for team reorder in run-retries.sh */
#define SLOTS 8
#define FILL_TASKS 120 /* 12 endpoints have 96 slots */
#define SUSPEND_MIN_MS 500
#define WAIT_MS 60000

struct retry_case
{
  const char *mode;
  int every;
  const char *team; /**< "plain" has no retry rule */
  bool idempotent;
  int starts_max; /**< bound for each task */
};

static const struct retry_case cases[] = {
  { "fail", 2, "reorder", false, 1 },
  { "cut", 2, "reorder", false, 1 },
  { "dead", 2, "reorder", false, 1 },
  { "freeze", 2, "reorder", false, 1 },
  { "late", 1, "reorder", false, 1 },
  { "refuse", 2, "reorder", false, 1 },
  { "fail", 1, "plain", true, 1 },
  { "cut", 1, "plain", true, 1 },
  { "fail", 1, "reorder", true, 1 + RETRIES_MAX },
  { "fail", 2, "reorder", true, 1 + RETRIES_MAX },
  { "cut", 1, "reorder", true, 1 + RETRIES_MAX },
  { "cut", 2, "reorder", true, 1 + RETRIES_MAX },
  { "dead", 2, "reorder", true, 1 + RETRIES_MAX },
  { "freeze", 2, "reorder", true, 1 + RETRIES_MAX },
};

static struct cluster cluster;

static void
run_case (const struct retry_case *c)
{
  const struct cluster_job job = { .team = c->team,
                                   .tasks = TASKS,
                                   .ms = 20,
                                   .idempotent = c->idempotent,
                                   .deadline_ms = 2000 };
  struct cluster_request requests[JOBS];
  char ids[JOBS][CLUSTER_TEXT_MAX];
  char *body = cluster_job_body (&job);
  int most = 0;

  cluster_endpoints_control (&cluster, "{\"reset\":true}");
  cluster_set_modes (&cluster, c->every, c->mode, 3);
  for (int i = 0; i < JOBS; i++)
    {
      cluster_issue_id (ids[i], &cluster, i % cluster.host_count);
      cluster_submit_async (&requests[i], &cluster, i % cluster.host_count,
                            ids[i], body);
    }
  for (int i = 0; i < JOBS; i++)
    cluster_join (&requests[i]);
  CU_ASSERT_TRUE (cluster_recover_endpoints (&cluster, "reorder"));
  for (int i = 0; i < JOBS; i++)
    {
      CU_ASSERT_EQUAL (cluster_answer_error_count (&cluster, ids[i], TASKS,
                                                   &requests[i].answer),
                       0);
      for (int t = 0; t < TASKS; t++)
        most = MAX (most, cluster_task_starts (&cluster, ids[i], t));
      cluster_answer_clear (&requests[i].answer);
    }
  printf ("\n    %s, %s of the endpoints, team %s, %s: at most %d starts",
          c->mode, c->every == 1 ? "all" : "half", c->team,
          c->idempotent ? "idempotent" : "once", most);
  CU_ASSERT_TRUE (most <= c->starts_max);
  /* The retry rule was applied: a task was retried. */
  if (c->starts_max > 1 && strcmp (c->mode, "fail") == 0)
    CU_ASSERT_TRUE (most > 1);
  g_free (body);
}

static void
test_starts (void)
{
  cluster_load (&cluster);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    run_case (&cases[i]);
}

/** Runs a job with more tasks than there are slots, so that no endpoint stays
 * idle. */
static void
run_job (int host)
{
  struct cluster_answer answer;
  char id[CLUSTER_TEXT_MAX];
  char *body = cluster_simple_job_body ("reorder", FILL_TASKS, 5, true);

  cluster_issue_id (id, &cluster, host);
  cluster_submit (&answer, &cluster, host, id, body);
  CU_ASSERT_EQUAL (
      cluster_answer_error_count (&cluster, id, FILL_TASKS, &answer), 0);
  cluster_answer_clear (&answer);
  g_free (body);
}

/** Submits a job to the owner of ep-000. @return whether that endpoint is in
 * use again. */
static bool
runs_again (const struct cluster *unused, void *arg)
{
  int before = *(int *)arg;

  (void)unused;
  run_job (cluster_endpoint_owner (&cluster, 0));
  /* Two starts are more than a probe. */
  return cluster_endpoint_counter (&cluster, 0, "starts") >= before + 2;
}

static void
test_storm (void)
{
  static const char *const modes[] = { "fail", "cut" };

  cluster_load (&cluster);
  for (size_t m = 0; m < G_N_ELEMENTS (modes); m++)
    {
      char text[CLUSTER_TEXT_MAX];
      snipe_time begin;
      double ms;
      int owner = cluster_endpoint_owner (&cluster, 0);
      int starts;
      int bound;

      CU_ASSERT_TRUE_FATAL (owner >= 0);
      CU_ASSERT_TRUE (cluster_recover_endpoints (&cluster, "reorder"));
      cluster_endpoints_control (&cluster, "{\"reset\":true}");
      g_snprintf (text, sizeof text,
                  "{\"endpoint\":\"ep-000\",\"mode\":\"%s\"}", modes[m]);
      cluster_endpoints_control (&cluster, text);
      begin = snipe_clock_now ();
      for (int i = 0; i < 60; i++)
        run_job (owner);
      starts = cluster_endpoint_counter (&cluster, 0, "starts");
      ms = (double)(snipe_clock_now () - begin) / SNIPE_MS;
      /* One start for each slot, one more for each failure before the
         suspension, then probes at intervals that double from at least half
         of the first back-off. */
      bound
          = SLOTS + 3 + 2 + (int)ceil (log2 (1 + ms / (SUSPEND_MIN_MS / 2.0)));
      printf ("\n    %s: %d starts in %.0f ms, bound %d", modes[m], starts, ms,
              bound);
      CU_ASSERT_TRUE (starts > 0 && starts <= bound);
      cluster_set_modes (&cluster, 1, "ok", 1);
      CU_ASSERT_TRUE (cluster_wait (runs_again, &cluster, &starts, WAIT_MS));
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "starts of a task under faults", test_starts },
    { "a failing endpoint is suspended and used again", test_storm },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("retries", tests);
}
