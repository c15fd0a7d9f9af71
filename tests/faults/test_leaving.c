/* P6: a draining endpoint gets no new start once its owner knows that it
   drains, from the platform's list or from a rejected start. P7: a host that
   receives SIGTERM completes and answers its jobs in flight before it exits,
   and other hosts answer its ids afterwards. */

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
  const char *platform;   /**< control message before it drains */
  bool wait_for_list;     /**< the owner has read it before any job */
  int start_requests_max; /**< while draining */
};

static const struct endpoint_case endpoint_cases[] = {
  { "learned from the list", "{\"list_lag_ms\":0}", true, 0 },
  { "learned from a delayed list, no jobs meanwhile", "{\"list_lag_ms\":1500}",
    true, 0 },
  { "learned from a rejected start, list delayed", "{\"list_lag_ms\":600000}",
    false, SLOTS },
  { "learned from a rejected start, platform down", "{\"down\":true}", false,
    SLOTS },
};

static bool
owner_knows_draining (const struct cluster *unused, void *arg)
{
  int endpoint = *(int *)arg;
  int owner = cluster_endpoint_owner (&cluster, endpoint);
  char name[CLUSTER_TEXT_MAX];
  bool known = true;
  json_t *root;
  json_t *item;
  size_t i;

  (void)unused;
  if (owner < 0)
    return true;
  g_snprintf (name, sizeof name, "ep-%03d", endpoint);
  root = cluster_get (cluster.hosts[owner].http_address, "/v1/status");
  json_array_foreach (json_object_get (root, "endpoints"), i, item)
  {
    if (strcmp (json_string_value (json_object_get (item, "name")), name) == 0)
      known = json_is_true (json_object_get (item, "leaving"));
  }
  json_decref (root);
  return known;
}

static int
start_requests_while_draining (void)
{
  json_t *root = cluster_get (cluster.control_address, "/control/counts");
  int count
      = (int)json_integer_value (json_object_get (root, "after_leave_starts"));

  json_decref (root);
  return count;
}

/** Submits a job to every host, together more tasks than there are slots. */
static void
run_load (void)
{
  struct cluster_request requests[CLUSTER_HOSTS_MAX];
  char ids[CLUSTER_HOSTS_MAX][CLUSTER_TEXT_MAX];
  char *body = cluster_simple_job_body ("plain", 40, 20, false);

  for (int h = 0; h < cluster.host_count; h++)
    {
      cluster_issue_id (ids[h], &cluster, h);
      cluster_submit_async (&requests[h], &cluster, h, ids[h], body);
    }
  for (int h = 0; h < cluster.host_count; h++)
    {
      cluster_join (&requests[h]);
      CU_ASSERT_STRING_EQUAL (requests[h].answer.outcome, "complete");
      CU_ASSERT_EQUAL (cluster_answer_error_count (&cluster, ids[h], 40,
                                                   &requests[h].answer),
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
      char text[CLUSTER_TEXT_MAX];
      int requested;

      cluster_endpoints_control (&cluster, "{\"reset\":true}");
      cluster_platform_control (&cluster, c->platform);
      run_load ();
      g_snprintf (text, sizeof text,
                  "{\"endpoint\":\"ep-%03d\",\"mode\":\"leave\"}", i);
      cluster_endpoints_control (&cluster, text);
      if (c->wait_for_list)
        CU_ASSERT_TRUE (
            cluster_wait (owner_knows_draining, &cluster, &i, WAIT_MS));
      run_load ();
      CU_ASSERT_TRUE (owner_knows_draining (&cluster, &i));
      requested = start_requests_while_draining ();
      for (int r = 0; r < 5; r++)
        run_load ();
      printf ("\n    %s: %d start requests while draining", c->name,
              requested);
      CU_ASSERT_TRUE (requested <= c->start_requests_max);
      CU_ASSERT_EQUAL (start_requests_while_draining (), requested);
      cluster_platform_control (&cluster,
                                "{\"list_lag_ms\":0,\"down\":false}");
    }
}

static bool
host_runs_tasks (const struct cluster *unused, void *arg)
{
  json_t *root = cluster_get (arg, "/v1/status");
  bool runs = json_integer_value (json_object_get (root, "running")) > 0;

  (void)unused;
  json_decref (root);
  return runs;
}

static bool
host_is_draining (const struct cluster *unused, void *arg)
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
check_job (const char *id, int tasks, const char *outcome, int starts,
           struct cluster_answer *answer)
{
  if (strcmp (answer->outcome, outcome) != 0)
    printf ("\n      %s: outcome \"%s\", code %d; expected \"%s\"", id,
            answer->outcome, answer->code, outcome);
  CU_ASSERT_STRING_EQUAL (answer->outcome, outcome);
  CU_ASSERT_EQUAL (cluster_answer_error_count (&cluster, id, tasks, answer),
                   0);
  CU_ASSERT_EQUAL (cluster_job_starts (&cluster, id), starts);
  cluster_answer_clear (answer);
}

/** Stops a host that runs tasks of its own and of a peer. */
static void
stop_host (int host, int peer, bool by_operator)
{
  struct cluster_request requests[3];
  struct cluster_answer answer;
  char ids[6][CLUSTER_TEXT_MAX];
  char path[CLUSTER_PATH_MAX];
  char *large = cluster_simple_job_body ("plain", 150, 400, false);
  char *small = cluster_simple_job_body ("plain", 10, 400, false);
  char *log = NULL;

  for (int i = 0; i < 5; i++)
    cluster_issue_id (ids[i], &cluster, i == 1 ? peer : host);
  cluster_make_caller_id (ids[5], 0);
  /* The peer's job fills all slots, also those of this host's endpoints. */
  cluster_submit_async (&requests[1], &cluster, peer, ids[1], large);
  CU_ASSERT_TRUE (cluster_wait (host_runs_tasks, &cluster,
                                cluster.hosts[host].http_address, WAIT_MS));
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
  CU_ASSERT_TRUE (cluster_wait (host_is_draining, &cluster,
                                cluster.hosts[host].http_address, WAIT_MS));
  /* A new job with an id of this host is not run; one with a caller-supplied
     id is forwarded. */
  cluster_submit (&answer, &cluster, host, ids[3], small);
  CU_ASSERT_EQUAL (answer.code, SNIPE_E_DRAINING);
  check_job (ids[3], 10, "not_run", 0, &answer);
  cluster_submit (&answer, &cluster, host, ids[5], small);
  check_job (ids[5], 10, "complete", 10, &answer);
  for (int i = 0; i < 3; i++)
    {
      cluster_join (&requests[i]);
      check_job (ids[i], i == 1 ? 150 : 10, "complete", i == 1 ? 150 : 10,
                 &requests[i].answer);
    }
  CU_ASSERT_TRUE (cluster_wait_exit (&cluster, host, WAIT_MS));
  g_snprintf (path, sizeof path, "%s/%s.log", g_getenv ("SNIPE_TEST_DIR"),
              cluster.hosts[host].name);
  /* The log shows whether the drain completed or its time limit ended it. */
  CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &log, NULL, NULL));
  CU_ASSERT_PTR_NOT_NULL (strstr (log, "stopped"));
  CU_ASSERT_PTR_NULL (strstr (log, "still in flight"));
  g_free (log);
  /* Another host returns the answers of its ids, and not run for ids[4], which
     was never submitted before. */
  for (int i = 0; i < 6; i++)
    {
      static const char *const outcomes[]
          = { "complete", "complete", "complete",
              "not_run",  "not_run",  "complete" };
      int tasks = i == 1 ? 150 : 10;

      cluster_submit (&answer, &cluster, peer, ids[i], i == 1 ? large : small);
      check_job (ids[i], tasks, outcomes[i], outcomes[i][0] == 'c' ? tasks : 0,
                 &answer);
    }
  CU_ASSERT_EQUAL (cluster_duplicate_starts (&cluster), 0);
  g_free (large);
  g_free (small);
}

/** @return number of a host's endpoints that accept tasks; those that
 * test_endpoint () drained do not. */
static int
usable_endpoints (int host)
{
  json_t *root = cluster_get (cluster.hosts[host].http_address, "/v1/status");
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

/** Waits for a host other than @p except that owns a usable endpoint, as only
 * such a host can run tasks of a peer. Ownership differs with each start of
 * the daemons, and a host may own none. @return the host */
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
  g_error ("no host owns a usable endpoint");
}

static void
test_host (void)
{
  int first;
  int second;
  int peer;

  cluster_load (&cluster);
  cluster_endpoints_control (&cluster, "{\"reset\":true}");
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
    { "an endpoint that drains", test_endpoint },
    { "a host that stops", test_host },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("leaving", tests);
}
