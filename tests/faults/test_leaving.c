/* P6: a leaving endpoint gets no new start once its owner knows, by the
   platform's list or by a refusal. P7: a host that is told to stop ends and
   answers what it has in flight, and its ids are answered by others. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "faults/cluster.h"
#include "snipe/status.h"
#include "suite.h"

#define SLOTS 8
#define WAIT_MS 60000

static struct cluster cluster;

struct endpoint_case
{
  const char *name;
  const char *platform; /**< control before it leaves */
  bool idle;            /**< the list is heard of before any work */
  int after_max;        /**< starts asked of it while leaving */
};

static const struct endpoint_case endpoint_cases[] = {
  { "the list says so", "{\"list_lag_ms\":0}", true, 0 },
  { "the list lags, no work meanwhile", "{\"list_lag_ms\":1500}", true, 0 },
  { "only its refusal says so, the list lags", "{\"list_lag_ms\":600000}",
    false, SLOTS },
  { "only its refusal says so, platform down", "{\"down\":true}", false,
    SLOTS },
};

static bool
owner_knows (const struct cluster *unused, void *arg)
{
  int endpoint = *(int *)arg;
  int owner = cluster_owner (&cluster, endpoint);
  char name[CLUSTER_TEXT];
  bool known = true;
  json_t *root;
  json_t *item;
  size_t i;

  (void)unused;
  if (owner < 0)
    return true;
  g_snprintf (name, sizeof name, "ep-%03d", endpoint);
  root = cluster_get (cluster.hosts[owner].http, "/v1/status");
  json_array_foreach (json_object_get (root, "endpoints"), i, item)
  {
    if (strcmp (json_string_value (json_object_get (item, "name")), name) == 0)
      known = json_is_true (json_object_get (item, "leaving"));
  }
  json_decref (root);
  return known;
}

static int
after_leave (void)
{
  json_t *root = cluster_get (cluster.endpoints, "/control/counts");
  int count
      = (int)json_integer_value (json_object_get (root, "after_leave_starts"));

  json_decref (root);
  return count;
}

/** Runs more tasks than there are slots, from every host. */
static void
run_load (void)
{
  struct cluster_request requests[CLUSTER_HOSTS_MAX];
  char ids[CLUSTER_HOSTS_MAX][CLUSTER_TEXT];
  char *body = cluster_job ("plain", 40, 20, false);

  for (int h = 0; h < cluster.host_count; h++)
    {
      cluster_issue (ids[h], &cluster, h);
      cluster_submit_async (&requests[h], &cluster, h, ids[h], body);
    }
  for (int h = 0; h < cluster.host_count; h++)
    {
      cluster_join (&requests[h]);
      CU_ASSERT_STRING_EQUAL (requests[h].answer.outcome, "complete");
      CU_ASSERT_EQUAL (
          cluster_answer_faults (&cluster, ids[h], 40, &requests[h].answer),
          0);
      cluster_answer_clear (&requests[h].answer);
    }
  g_free (body);
}

static void
test_endpoint (void)
{
  cluster_load (&cluster);
  for (int i = 0; i < (int)G_N_ELEMENTS (endpoint_cases); i++)
    {
      const struct endpoint_case *c = &endpoint_cases[i];
      char text[CLUSTER_TEXT];
      int known;

      cluster_endpoints (&cluster, "{\"reset\":true}");
      cluster_platform (&cluster, c->platform);
      run_load ();
      g_snprintf (text, sizeof text,
                  "{\"endpoint\":\"ep-%03d\",\"mode\":\"leave\"}", i);
      cluster_endpoints (&cluster, text);
      if (c->idle)
        CU_ASSERT_TRUE (cluster_wait (owner_knows, &cluster, &i, WAIT_MS));
      run_load ();
      CU_ASSERT_TRUE (owner_knows (&cluster, &i));
      known = after_leave ();
      for (int r = 0; r < 5; r++)
        run_load ();
      printf ("\n    %s: %d starts asked while leaving", c->name, known);
      CU_ASSERT_TRUE (known <= c->after_max);
      CU_ASSERT_EQUAL (after_leave (), known);
      cluster_platform (&cluster, "{\"list_lag_ms\":0,\"down\":false}");
    }
}

static bool
host_runs (const struct cluster *unused, void *arg)
{
  json_t *root = cluster_get (arg, "/v1/status");
  bool runs = json_integer_value (json_object_get (root, "running")) > 0;

  (void)unused;
  json_decref (root);
  return runs;
}

static bool
host_drains (const struct cluster *unused, void *arg)
{
  json_t *root = cluster_get (arg, "/v1/status");
  bool drains = g_strcmp0 (json_string_value (json_object_get (root, "state")),
                           "draining")
                == 0;

  (void)unused;
  json_decref (root);
  return drains;
}

static void
check (const char *id, int tasks, const char *outcome, int starts,
       struct cluster_answer *answer)
{
  if (strcmp (answer->outcome, outcome) != 0)
    printf ("\n      %s: \"%s\" code %d, wanted \"%s\"", id, answer->outcome,
            answer->code, outcome);
  CU_ASSERT_STRING_EQUAL (answer->outcome, outcome);
  CU_ASSERT_EQUAL (cluster_answer_faults (&cluster, id, tasks, answer), 0);
  CU_ASSERT_EQUAL (cluster_job_starts (&cluster, id), starts);
  cluster_answer_clear (answer);
}

/** Stops a host that has work of its own and of a peer. */
static void
stop_host (int host, int peer, bool by_operator)
{
  struct cluster_request requests[3];
  struct cluster_answer answer;
  char ids[6][CLUSTER_TEXT];
  char path[CLUSTER_PATH];
  char *large = cluster_job ("plain", 150, 400, false);
  char *small = cluster_job ("plain", 10, 400, false);
  char *log = NULL;

  for (int i = 0; i < 5; i++)
    cluster_issue (ids[i], &cluster, i == 1 ? peer : host);
  cluster_own_id (ids[5], 0);
  /* The peer's job fills every slot, this host's too. */
  cluster_submit_async (&requests[1], &cluster, peer, ids[1], large);
  CU_ASSERT_TRUE (
      cluster_wait (host_runs, &cluster, cluster.hosts[host].http, WAIT_MS));
  cluster_submit_async (&requests[0], &cluster, host, ids[0], small);
  cluster_submit_async (&requests[2], &cluster, peer, ids[2], small);
  CU_ASSERT_TRUE (cluster_wait_starts (&cluster, ids[2], 1, WAIT_MS));
  CU_ASSERT_TRUE (cluster_wait_starts (&cluster, ids[0], 1, WAIT_MS));
  if (by_operator)
    {
      cluster_send (&answer, &cluster, host, "POST", "/v1/drain", "", WAIT_MS);
      cluster_answer_clear (&answer);
    }
  else
    {
      cluster_signal (&cluster, host, SIGTERM);
    }
  CU_ASSERT_TRUE (
      cluster_wait (host_drains, &cluster, cluster.hosts[host].http, WAIT_MS));
  /* New work is not run, or passed on. */
  cluster_submit (&answer, &cluster, host, ids[3], small);
  CU_ASSERT_EQUAL (answer.code, SNIPE_E_DRAINING);
  check (ids[3], 10, "not_run", 0, &answer);
  cluster_submit (&answer, &cluster, host, ids[5], small);
  check (ids[5], 10, "complete", 10, &answer);
  for (int i = 0; i < 3; i++)
    {
      cluster_join (&requests[i]);
      check (ids[i], i == 1 ? 150 : 10, "complete", i == 1 ? 150 : 10,
             &requests[i].answer);
    }
  CU_ASSERT_TRUE (cluster_wait_exit (&cluster, host, WAIT_MS));
  g_snprintf (path, sizeof path, "%s/%s.log", g_getenv ("SNIPE_TEST_DIR"),
              cluster.hosts[host].name);
  /* Its last line tells a whole drain from one cut short by the limit. */
  CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &log, NULL, NULL));
  CU_ASSERT_PTR_NOT_NULL (strstr (log, "stopped"));
  CU_ASSERT_PTR_NULL (strstr (log, "still in flight"));
  g_free (log);
  /* Its ids, at another host: the answers, and not run for ids[4], which was
     never submitted. */
  for (int i = 0; i < 6; i++)
    {
      static const char *const outcomes[]
          = { "complete", "complete", "complete",
              "not_run",  "not_run",  "complete" };
      int tasks = i == 1 ? 150 : 10;

      cluster_submit (&answer, &cluster, peer, ids[i], i == 1 ? large : small);
      check (ids[i], tasks, outcomes[i], outcomes[i][0] == 'c' ? tasks : 0,
             &answer);
    }
  CU_ASSERT_EQUAL (cluster_duplicate_starts (&cluster), 0);
  g_free (large);
  g_free (small);
}

/** Endpoints of a host that can take work: those that left in the test before
 * stay out of use. */
static int
usable_endpoints (int host)
{
  json_t *root = cluster_get (cluster.hosts[host].http, "/v1/status");
  json_t *endpoint;
  int usable = 0;
  size_t i;

  json_array_foreach (json_object_get (root, "endpoints"), i, endpoint)
  {
    usable += json_is_false (json_object_get (endpoint, "leaving"))
              && json_is_false (json_object_get (endpoint, "suspended"));
  }
  json_decref (root);
  return usable;
}

/** Waits until a host owns such an endpoint. Which host owns which is drawn
 * anew with each start of the daemons, and a host may own none; one that does
 * is picked, as only it can run work of a peer. @return the host */
static int
pick_owner (int except)
{
  for (int waited = 0; waited < WAIT_MS; waited += 10)
    {
      for (int i = 0; i < cluster.host_count; i++)
        if (i != except && usable_endpoints (i) > 0)
          return i;
      cluster_sleep_ms (10);
    }
  g_error ("no host owns an endpoint");
}

static void
test_host (void)
{
  int first;
  int second;
  int peer;

  cluster_load (&cluster);
  cluster_endpoints (&cluster, "{\"reset\":true}");
  first = pick_owner (-1);
  stop_host (first, (first + 1) % cluster.host_count, false);
  second = pick_owner (first);
  peer = 0;
  while (peer == first || peer == second)
    peer++;
  stop_host (second, peer, true);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "an endpoint that leaves", test_endpoint },
    { "a host that stops", test_host },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("leaving", tests);
}
