/* P9: a failure domain that a network partition separates from the others and
   from the platform keeps running jobs with newly issued ids on its own
   endpoints, starts no job whose coordinator it cannot know, and rejoins when
   the partition ends. The same holds for all hosts while the platform is
   down. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "faults/cluster.h"
#include "snipe/status.h"
#include "suite.h"

#define TASKS 20
#define WAIT_MS 60000
#define ROUNDS 10

struct partition_case
{
  const char *name;
  const char *domain;    /**< separated from the others, NULL: none */
  const char *platform;  /**< control message to the platform, NULL: none */
  const char *end_fault; /**< control message to the platform, or NULL */
  bool store_reachable;  /**< by the separated domain */
};

static const struct partition_case cases[] = {
  { "separated from all domains and the platform", "bunbury", NULL, NULL,
    false },
  { "separated from the other domains", "perth-north", NULL, NULL, true },
  { "platform down for long", NULL, "{\"down\":true}", "{\"down\":false}",
    false },
  { "platform hangs for long", NULL, "{\"down\":\"hang\"}", "{\"down\":false}",
    false },
};

static struct cluster cluster;
static char *body;

static int
domain_starts (const char *domain)
{
  json_t *root = cluster_get (cluster.platform_address, "/hosts");
  json_t *item;
  size_t i;
  int sum = 0;

  json_array_foreach (json_object_get (root, "hosts"), i, item)
  {
    const char *name = json_string_value (json_object_get (item, "name"));

    if (g_str_has_prefix (name, "ep-")
        && strcmp (json_string_value (json_object_get (item, "domain")),
                   domain)
               == 0)
      sum += cluster_endpoint_counter (&cluster, atoi (name + 3), "starts");
  }
  json_decref (root);
  return sum;
}

/** Submits a job and checks its answer.
 * @return how often its tasks started. */
static int
submit (int host, const char *id, const char *outcome, int code)
{
  struct cluster_answer answer;
  int starts;

  cluster_submit (&answer, &cluster, host, id, body);
  if (strcmp (answer.outcome, outcome) != 0 || answer.code != code)
    printf (
        "\n      %s at %s: outcome \"%s\", code %d; expected \"%s\", code %d",
        id, cluster.hosts[host].name, answer.outcome, answer.code, outcome,
        code);
  CU_ASSERT_STRING_EQUAL (answer.outcome, outcome);
  CU_ASSERT_EQUAL (answer.code, code);
  CU_ASSERT_EQUAL (cluster_answer_error_count (&cluster, id, TASKS, &answer),
                   0);
  starts = cluster_job_starts (&cluster, id);
  CU_ASSERT_EQUAL (starts, strcmp (outcome, "complete") == 0 ? TASKS : 0);
  cluster_answer_clear (&answer);
  return starts;
}

/** @return whether no host inside the domain @p arg sees one outside as live,
 * nor the reverse. */
static bool
is_partitioned (const struct cluster *unused, void *arg)
{
  (void)unused;
  for (int h = 0; h < cluster.host_count; h++)
    {
      json_t *root = cluster_get (cluster.hosts[h].http_address, "/v1/status");
      json_t *peer;
      bool mixed = false;
      size_t i;

      json_array_foreach (json_object_get (root, "peers"), i, peer)
      {
        const char *domain
            = json_string_value (json_object_get (peer, "domain"));

        if (json_is_true (json_object_get (peer, "live"))
            && (strcmp (domain, arg) == 0)
                   != (strcmp (cluster.hosts[h].domain, arg) == 0))
          mixed = true;
      }
      json_decref (root);
      if (mixed)
        return false;
    }
  return true;
}

static void
run_case (const struct partition_case *c)
{
  char caller_ids[CLUSTER_HOSTS_MAX][CLUSTER_TEXT_MAX];
  char id[CLUSTER_TEXT_MAX];
  char name[CLUSTER_TEXT_MAX] = "";
  int before = 0;
  int ran = 0;

  cluster_endpoints_control (&cluster, "{\"reset\":true}");
  if (c->domain != NULL)
    {
      g_strlcpy (name, c->domain, sizeof name);
      cluster_partition (&cluster, c->domain, !c->store_reachable);
      CU_ASSERT_TRUE (cluster_wait (is_partitioned, &cluster, name, WAIT_MS));
      before = domain_starts (c->domain);
    }
  if (c->platform != NULL)
    cluster_platform_control (&cluster, c->platform);
  for (int r = 0; r < ROUNDS; r++)
    for (int h = 0; h < cluster.host_count; h++)
      {
        bool inside = c->domain == NULL
                      || strcmp (cluster.hosts[h].domain, c->domain) == 0;

        if (!inside)
          continue;
        cluster_issue_id (id, &cluster, h);
        ran += submit (h, id, "complete", SNIPE_OK);
        if (r == 0)
          {
            cluster_make_caller_id (caller_ids[h], 0);
            if (c->store_reachable)
              submit (h, caller_ids[h], "complete", SNIPE_OK);
            else
              submit (h, caller_ids[h], "unknown", SNIPE_E_PLATFORM);
          }
      }
  if (c->domain != NULL)
    CU_ASSERT_EQUAL (domain_starts (c->domain) - before,
                     ran + (c->store_reachable ? ran / ROUNDS : 0));
  /* Longer than several heartbeats, polls and platform timeouts. */
  cluster_sleep_ms (3000);
  if (c->domain != NULL)
    cluster_partition (&cluster, NULL, false);
  if (c->end_fault != NULL)
    cluster_platform_control (&cluster, c->end_fault);
  CU_ASSERT_TRUE (cluster_wait (cluster_all_live, &cluster, NULL, WAIT_MS));
  CU_ASSERT_TRUE (cluster_recover_endpoints (&cluster, "reorder"));
  for (int h = 0; h < cluster.host_count; h++)
    {
      int next = (h + 1) % cluster.host_count;

      cluster_issue_id (id, &cluster, h);
      submit (next, id, "complete", SNIPE_OK);
      if (c->domain == NULL
          || strcmp (cluster.hosts[h].domain, c->domain) == 0)
        submit (next, caller_ids[h], "complete", SNIPE_OK);
    }
  printf ("\n    %s: %d tasks ran under the fault", c->name, ran);
  CU_ASSERT_EQUAL (cluster_duplicate_starts (&cluster), 0);
}

static void
test_partition (void)
{
  cluster_load (&cluster);
  body = cluster_simple_job_body ("reorder", TASKS, 10, false);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    run_case (&cases[i]);
  g_free (body);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "partition and recovery", test_partition },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("cut", tests);
}
