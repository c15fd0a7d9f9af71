/* P5: under each fault of the endpoints a non-idempotent task starts at most
   once and an idempotent one within the maximum of its retry rule; a failing
   endpoint is suspended, probed and used again without a storm. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <math.h>
#include <string.h>

#include "faults/cluster.h"
#include "snipe/clock.h"
#include "suite.h"

#define JOBS 6
#define TASKS 30
#define RETRY_MAX 2 /* of the script's rule for team reorder */
#define SLOTS 8
#define FILL 120 /* 12 endpoints have 96 slots */
#define SUSPEND_MIN_MS 500
#define WAIT_MS 60000

struct retry_case
{
  const char *mode;
  int every;
  const char *team; /**< "plain" has no retry rule */
  bool idempotent;
  int starts_max; /**< of a task */
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
  { "fail", 1, "reorder", true, 1 + RETRY_MAX },
  { "fail", 2, "reorder", true, 1 + RETRY_MAX },
  { "cut", 1, "reorder", true, 1 + RETRY_MAX },
  { "cut", 2, "reorder", true, 1 + RETRY_MAX },
  { "dead", 2, "reorder", true, 1 + RETRY_MAX },
  { "freeze", 2, "reorder", true, 1 + RETRY_MAX },
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
  char ids[JOBS][CLUSTER_TEXT];
  char *body = cluster_job_body (&job);
  int most = 0;

  cluster_endpoints (&cluster, "{\"reset\":true}");
  cluster_mode (&cluster, c->every, c->mode, 3);
  for (int i = 0; i < JOBS; i++)
    {
      cluster_issue (ids[i], &cluster, i % cluster.host_count);
      cluster_submit_async (&requests[i], &cluster, i % cluster.host_count,
                            ids[i], body);
    }
  for (int i = 0; i < JOBS; i++)
    cluster_join (&requests[i]);
  CU_ASSERT_TRUE (cluster_recover (&cluster, "reorder"));
  for (int i = 0; i < JOBS; i++)
    {
      CU_ASSERT_EQUAL (
          cluster_answer_faults (&cluster, ids[i], TASKS, &requests[i].answer),
          0);
      for (int t = 0; t < TASKS; t++)
        most = MAX (most, cluster_task_starts (&cluster, ids[i], t));
      cluster_answer_clear (&requests[i].answer);
    }
  printf ("\n    %s, %s of the endpoints, team %s, %s: at most %d starts",
          c->mode, c->every == 1 ? "all" : "half", c->team,
          c->idempotent ? "idempotent" : "once", most);
  CU_ASSERT_TRUE (most <= c->starts_max);
  /* The rule is used: something was retried. */
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

/** Runs more tasks than there are slots, so that no endpoint stays idle. */
static void
run_job (int host)
{
  struct cluster_answer answer;
  char id[CLUSTER_TEXT];
  char *body = cluster_job ("reorder", FILL, 5, true);

  cluster_issue (id, &cluster, host);
  cluster_submit (&answer, &cluster, host, id, body);
  CU_ASSERT_EQUAL (cluster_answer_faults (&cluster, id, FILL, &answer), 0);
  cluster_answer_clear (&answer);
  g_free (body);
}

/** Sends work to an endpoint's owner. @return whether the endpoint runs it
 * again. */
static bool
runs_again (const struct cluster *unused, void *arg)
{
  int before = *(int *)arg;

  (void)unused;
  run_job (cluster_owner (&cluster, 0));
  /* More than a probe: it is back in use. */
  return cluster_endpoint_count (&cluster, 0, "starts") >= before + 2;
}

static void
test_storm (void)
{
  static const char *const modes[] = { "fail", "cut" };

  cluster_load (&cluster);
  for (size_t m = 0; m < G_N_ELEMENTS (modes); m++)
    {
      char text[CLUSTER_TEXT];
      snipe_time begin;
      double ms;
      int owner = cluster_owner (&cluster, 0);
      int starts;
      int bound;

      CU_ASSERT_TRUE_FATAL (owner >= 0);
      CU_ASSERT_TRUE (cluster_recover (&cluster, "reorder"));
      cluster_endpoints (&cluster, "{\"reset\":true}");
      g_snprintf (text, sizeof text,
                  "{\"endpoint\":\"ep-000\",\"mode\":\"%s\"}", modes[m]);
      cluster_endpoints (&cluster, text);
      begin = snipe_clock_now ();
      for (int i = 0; i < 60; i++)
        run_job (owner);
      starts = cluster_endpoint_count (&cluster, 0, "starts");
      ms = (double)(snipe_clock_now () - begin) / SNIPE_MS;
      /* All its slots at once, one more for each failure before the
         suspension, then probes at intervals that double from at least half
         of the first back-off. */
      bound
          = SLOTS + 3 + 2 + (int)ceil (log2 (1 + ms / (SUSPEND_MIN_MS / 2.0)));
      printf ("\n    %s: %d starts in %.0f ms, bound %d", modes[m], starts, ms,
              bound);
      CU_ASSERT_TRUE (starts > 0 && starts <= bound);
      cluster_mode (&cluster, 1, "ok", 1);
      CU_ASSERT_TRUE (cluster_wait (runs_again, &cluster, &starts, WAIT_MS));
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "starts of a task under faults", test_starts },
    { "a failing endpoint is spared and comes back", test_storm },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("retries", tests);
}
