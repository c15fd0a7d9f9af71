/* P1: no task of a submission starts twice. Each case submits one id twice
   under a fault and checks the endpoints' counts of starts. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "faults/cluster.h"
#include "suite.h"

#define TASKS 6
#define TASK_MS 400
#define WAIT_MS 20000

enum id_kind
{
  ID_ISSUED,
  ID_CALLER_SUPPLIED,
};

/** Which host gets the resubmission. */
enum resubmit_target
{
  SAME_HOST,
  SAME_DOMAIN,
  OTHER_DOMAIN,
};

/** Fault at the first host or the platform, and when it occurs. */
enum fault
{
  FAULT_NONE,
  FAULT_CONCURRENT,    /* both requests at once */
  FAULT_KILL_BEFORE,   /* killed before the submission reaches it */
  FAULT_KILL_BETWEEN,  /* killed while its tasks run */
  FAULT_KILL_AFTER,    /* killed after its answer */
  FAULT_KILL_ARCHIVED, /* killed after its answer was archived */
  FAULT_FREEZE,        /* stopped while running, resumed after the leases */
  FAULT_PLATFORM_DOWN, /* platform down during both submissions */
  FAULT_REPLY_LOST,    /* the claim's reply is lost after it took effect */
  FAULT_PARTITION,     /* its domain is separated before the resubmission */
};

struct once_case
{
  const char *name;
  enum id_kind id;
  enum resubmit_target target;
  enum fault fault;
  /* For the resubmission, separated by blanks. */
  const char *allowed_outcomes;
};

static const struct once_case cases[] = {
  { "issued, same host", ID_ISSUED, SAME_HOST, FAULT_NONE, "complete" },
  { "issued, same domain", ID_ISSUED, SAME_DOMAIN, FAULT_NONE, "complete" },
  { "issued, other domain", ID_ISSUED, OTHER_DOMAIN, FAULT_NONE, "complete" },
  { "issued, concurrent same host", ID_ISSUED, SAME_HOST, FAULT_CONCURRENT,
    "complete" },
  { "issued, concurrent other domain", ID_ISSUED, OTHER_DOMAIN,
    FAULT_CONCURRENT, "complete" },
  { "caller-supplied, same host", ID_CALLER_SUPPLIED, SAME_HOST, FAULT_NONE,
    "complete" },
  { "caller-supplied, other domain", ID_CALLER_SUPPLIED, OTHER_DOMAIN,
    FAULT_NONE, "complete" },
  { "caller-supplied, concurrent same host", ID_CALLER_SUPPLIED, SAME_HOST,
    FAULT_CONCURRENT, "complete" },
  { "caller-supplied, concurrent other domain", ID_CALLER_SUPPLIED,
    OTHER_DOMAIN, FAULT_CONCURRENT, "complete" },
  { "issued, platform down", ID_ISSUED, OTHER_DOMAIN, FAULT_PLATFORM_DOWN,
    "complete" },
  { "caller-supplied, platform down", ID_CALLER_SUPPLIED, OTHER_DOMAIN,
    FAULT_PLATFORM_DOWN, "unknown" },
  { "caller-supplied, claim reply lost, same host", ID_CALLER_SUPPLIED,
    SAME_HOST, FAULT_REPLY_LOST, "complete" },
  { "caller-supplied, claim reply lost, other domain", ID_CALLER_SUPPLIED,
    OTHER_DOMAIN, FAULT_REPLY_LOST, "complete" },
  { "issued, domain separated", ID_ISSUED, OTHER_DOMAIN, FAULT_PARTITION,
    "unknown complete" },
  { "caller-supplied, domain separated", ID_CALLER_SUPPLIED, OTHER_DOMAIN,
    FAULT_PARTITION, "unknown complete" },
  { "issued, coordinator frozen", ID_ISSUED, OTHER_DOMAIN, FAULT_FREEZE,
    "unknown" },
  { "caller-supplied, coordinator frozen", ID_CALLER_SUPPLIED, OTHER_DOMAIN,
    FAULT_FREEZE, "unknown" },
  { "issued, killed before", ID_ISSUED, OTHER_DOMAIN, FAULT_KILL_BEFORE,
    "unknown" },
  { "caller-supplied, killed before", ID_CALLER_SUPPLIED, OTHER_DOMAIN,
    FAULT_KILL_BEFORE, "complete" },
  { "issued, killed between", ID_ISSUED, OTHER_DOMAIN, FAULT_KILL_BETWEEN,
    "unknown" },
  { "caller-supplied, killed between", ID_CALLER_SUPPLIED, SAME_DOMAIN,
    FAULT_KILL_BETWEEN, "unknown" },
  { "issued, killed after", ID_ISSUED, OTHER_DOMAIN, FAULT_KILL_AFTER,
    "complete unknown" },
  { "caller-supplied, killed after", ID_CALLER_SUPPLIED, OTHER_DOMAIN,
    FAULT_KILL_AFTER, "complete unknown" },
  { "caller-supplied, killed when archived", ID_CALLER_SUPPLIED, OTHER_DOMAIN,
    FAULT_KILL_ARCHIVED, "complete" },
  { "issued, killed when archived", ID_ISSUED, OTHER_DOMAIN,
    FAULT_KILL_ARCHIVED, "complete" },
};

static struct cluster cluster;
/* Hosts that a case has killed; later cases do not use them. */
static bool dead[CLUSTER_HOSTS_MAX];

static int
pick_first_host (void)
{
  for (int i = 0; i < cluster.host_count; i++)
    if (!dead[i])
      return i;
  g_error ("all hosts have been killed");
}

static int
pick_second_host (int first_host, enum resubmit_target target)
{
  for (int i = 0; i < cluster.host_count; i++)
    {
      bool same
          = strcmp (cluster.hosts[i].domain, cluster.hosts[first_host].domain)
            == 0;

      if (dead[i] || (target == SAME_HOST) != (i == first_host))
        continue;
      if (target == SAME_HOST || same == (target == SAME_DOMAIN))
        return i;
    }
  g_error ("no running host fits for the resubmission");
}

static void
kill_host (int host)
{
  cluster_signal (&cluster, host, SIGKILL);
  CU_ASSERT_TRUE (cluster_wait_exit (&cluster, host, WAIT_MS));
  dead[host] = true;
}

static void
inject_before_submit (const struct once_case *c, int first_host)
{
  switch (c->fault)
    {
    case FAULT_KILL_BEFORE:
      kill_host (first_host);
      break;
    case FAULT_PLATFORM_DOWN:
      cluster_platform_control (&cluster, "{\"down\":true}");
      break;
    case FAULT_REPLY_LOST:
      cluster_platform_control (&cluster, "{\"lose_replies\":1}");
      break;
    default:
      break;
    }
}

static void
inject_before_resubmit (const struct once_case *c, int first_host,
                        const char *id, struct cluster_request *request)
{
  switch (c->fault)
    {
    case FAULT_CONCURRENT:
    case FAULT_KILL_BEFORE:
    case FAULT_PLATFORM_DOWN:
      break;
    case FAULT_KILL_BETWEEN:
      CU_ASSERT_TRUE (cluster_wait_starts (&cluster, id, 1, WAIT_MS));
      kill_host (first_host);
      break;
    case FAULT_FREEZE:
      CU_ASSERT_TRUE (cluster_wait_starts (&cluster, id, 1, WAIT_MS));
      cluster_signal (&cluster, first_host, SIGSTOP);
      break;
    case FAULT_KILL_AFTER:
      cluster_join (request);
      CU_ASSERT_STRING_EQUAL (request->answer.outcome, "complete");
      kill_host (first_host);
      break;
    case FAULT_KILL_ARCHIVED:
      cluster_join (request);
      CU_ASSERT_STRING_EQUAL (request->answer.outcome, "complete");
      /* Several archive intervals (200 ms in run-once.sh). */
      cluster_sleep_ms (2000);
      kill_host (first_host);
      break;
    case FAULT_PARTITION:
      CU_ASSERT_TRUE (cluster_wait_starts (&cluster, id, 1, WAIT_MS));
      cluster_partition (&cluster, cluster.hosts[first_host].domain, true);
      break;
    case FAULT_NONE:
    case FAULT_REPLY_LOST:
      cluster_join (request);
      CU_ASSERT_STRING_EQUAL (request->answer.outcome, "complete");
      break;
    }
}

static void
end_fault (const struct once_case *c, int first_host)
{
  switch (c->fault)
    {
    case FAULT_FREEZE:
      /* Longer than every lease and heartbeat interval of the others. */
      cluster_sleep_ms (5000);
      cluster_signal (&cluster, first_host, SIGCONT);
      break;
    case FAULT_PLATFORM_DOWN:
      cluster_platform_control (&cluster, "{\"down\":false}");
      break;
    case FAULT_PARTITION:
      cluster_partition (&cluster, NULL, false);
      break;
    default:
      break;
    }
}

static bool
joined_between (enum fault fault)
{
  return fault == FAULT_NONE || fault == FAULT_REPLY_LOST
         || fault == FAULT_KILL_AFTER || fault == FAULT_KILL_ARCHIVED;
}

static void
run_case (const struct once_case *c)
{
  struct cluster_request request;
  struct cluster_answer second;
  char id[CLUSTER_TEXT_MAX];
  char *body = cluster_simple_job_body ("reorder", TASKS, TASK_MS, false);
  int first_host = pick_first_host ();
  int second_host = pick_second_host (first_host, c->target);

  if (c->id == ID_ISSUED)
    cluster_issue_id (id, &cluster, first_host);
  else
    cluster_make_caller_id (id, 0);
  inject_before_submit (c, first_host);
  cluster_submit_async (&request, &cluster, first_host, id, body);
  inject_before_resubmit (c, first_host, id, &request);
  cluster_submit (&second, &cluster, second_host, id, body);
  end_fault (c, first_host);
  if (!joined_between (c->fault))
    cluster_join (&request);
  printf ("\n    %s: first HTTP status %d, \"%s\"; resubmission %d, "
          "\"%s\", code %d",
          c->name, request.answer.http_status, request.answer.outcome,
          second.http_status, second.outcome, second.code);
  CU_ASSERT_TRUE (second.outcome[0] != '\0'
                  && strstr (c->allowed_outcomes, second.outcome) != NULL);
  /* A resumed or rejoined host may still start tasks that it had queued. */
  cluster_sleep_ms (2 * TASK_MS);
  CU_ASSERT_TRUE (cluster_job_starts (&cluster, id) <= TASKS);
  CU_ASSERT_EQUAL (cluster_duplicate_starts (&cluster), 0);
  /* The outcome agrees with the endpoints' count of starts. */
  if (strcmp (second.outcome, "not_run") == 0)
    CU_ASSERT_EQUAL (cluster_job_starts (&cluster, id), 0);
  if (strcmp (second.outcome, "complete") == 0)
    CU_ASSERT_EQUAL (cluster_job_starts (&cluster, id), TASKS);
  cluster_answer_clear (&second);
  cluster_answer_clear (&request.answer);
  g_free (body);
}

static void
test_once (void)
{
  cluster_load (&cluster);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    run_case (&cases[i]);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "a submission starts once", test_once },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("once", tests);
}
