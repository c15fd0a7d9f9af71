/* P1: no task of a submission starts twice. Each case submits one id several
   times under a fault; the endpoints' count of starts is the judge. */

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
  ID_OWN,
};

/** Which host gets the resubmission. */
enum where
{
  SAME_HOST,
  SAME_DOMAIN,
  OTHER_DOMAIN,
};

/** What happens to the first host. */
enum fault
{
  FAULT_NONE,
  FAULT_CONCURRENT,    /* both requests at once */
  FAULT_KILL_BEFORE,   /* before the submission reaches it */
  FAULT_KILL_BETWEEN,  /* while its tasks run */
  FAULT_KILL_AFTER,    /* after its answer */
  FAULT_KILL_ARCHIVED, /* after its answer was archived */
  FAULT_FREEZE,        /* stopped while running, resumed past every lease */
  FAULT_STORE_DOWN,    /* platform down during both */
  FAULT_REPLY_LOST,    /* the claim's reply is lost after it took effect */
  FAULT_CUT,           /* first host's domain is cut off before resubmission */
};

struct once_case
{
  const char *name;
  enum id_kind id;
  enum where where;
  enum fault fault;
  /* Outcomes allowed for the resubmission, separated by blanks. */
  const char *allowed;
};

static const struct once_case cases[] = {
  { "issued, same host", ID_ISSUED, SAME_HOST, FAULT_NONE, "complete" },
  { "issued, same domain", ID_ISSUED, SAME_DOMAIN, FAULT_NONE, "complete" },
  { "issued, other domain", ID_ISSUED, OTHER_DOMAIN, FAULT_NONE, "complete" },
  { "issued, concurrent same host", ID_ISSUED, SAME_HOST, FAULT_CONCURRENT,
    "complete" },
  { "issued, concurrent other domain", ID_ISSUED, OTHER_DOMAIN,
    FAULT_CONCURRENT, "complete" },
  { "own, same host", ID_OWN, SAME_HOST, FAULT_NONE, "complete" },
  { "own, other domain", ID_OWN, OTHER_DOMAIN, FAULT_NONE, "complete" },
  { "own, concurrent same host", ID_OWN, SAME_HOST, FAULT_CONCURRENT,
    "complete" },
  { "own, concurrent other domain", ID_OWN, OTHER_DOMAIN, FAULT_CONCURRENT,
    "complete" },
  { "issued, store down", ID_ISSUED, OTHER_DOMAIN, FAULT_STORE_DOWN,
    "complete" },
  { "own, store down", ID_OWN, OTHER_DOMAIN, FAULT_STORE_DOWN, "unknown" },
  { "own, claim reply lost, same host", ID_OWN, SAME_HOST, FAULT_REPLY_LOST,
    "complete" },
  { "own, claim reply lost, other domain", ID_OWN, OTHER_DOMAIN,
    FAULT_REPLY_LOST, "complete" },
  { "issued, domain cut", ID_ISSUED, OTHER_DOMAIN, FAULT_CUT,
    "unknown complete" },
  { "own, domain cut", ID_OWN, OTHER_DOMAIN, FAULT_CUT, "unknown complete" },
  { "issued, home frozen", ID_ISSUED, OTHER_DOMAIN, FAULT_FREEZE, "unknown" },
  { "own, home frozen", ID_OWN, OTHER_DOMAIN, FAULT_FREEZE, "unknown" },
  { "issued, killed before", ID_ISSUED, OTHER_DOMAIN, FAULT_KILL_BEFORE,
    "unknown" },
  { "own, killed before", ID_OWN, OTHER_DOMAIN, FAULT_KILL_BEFORE,
    "complete" },
  { "issued, killed between", ID_ISSUED, OTHER_DOMAIN, FAULT_KILL_BETWEEN,
    "unknown" },
  { "own, killed between", ID_OWN, SAME_DOMAIN, FAULT_KILL_BETWEEN,
    "unknown" },
  { "issued, killed after", ID_ISSUED, OTHER_DOMAIN, FAULT_KILL_AFTER,
    "complete unknown" },
  { "own, killed after", ID_OWN, OTHER_DOMAIN, FAULT_KILL_AFTER,
    "complete unknown" },
  { "own, killed when archived", ID_OWN, OTHER_DOMAIN, FAULT_KILL_ARCHIVED,
    "complete" },
  { "issued, killed when archived", ID_ISSUED, OTHER_DOMAIN,
    FAULT_KILL_ARCHIVED, "complete" },
};

static struct cluster cluster;
/* Hosts that a case has killed; later cases go round them. */
static bool dead[CLUSTER_HOSTS_MAX];

static int
pick_first (void)
{
  for (int i = 0; i < cluster.host_count; i++)
    if (!dead[i])
      return i;
  g_error ("no host is left");
}

static int
pick_second (int first, enum where where)
{
  for (int i = 0; i < cluster.host_count; i++)
    {
      bool same
          = strcmp (cluster.hosts[i].domain, cluster.hosts[first].domain) == 0;

      if (dead[i] || (where == SAME_HOST) != (i == first))
        continue;
      if (where == SAME_HOST || same == (where == SAME_DOMAIN))
        return i;
    }
  g_error ("no second host is left");
}

static void
kill_host (int host)
{
  cluster_signal (&cluster, host, SIGKILL);
  CU_ASSERT_TRUE (cluster_wait_exit (&cluster, host, WAIT_MS));
  dead[host] = true;
}

static void
before_first (const struct once_case *c, int first)
{
  switch (c->fault)
    {
    case FAULT_KILL_BEFORE:
      kill_host (first);
      break;
    case FAULT_STORE_DOWN:
      cluster_platform (&cluster, "{\"down\":true}");
      break;
    case FAULT_REPLY_LOST:
      cluster_platform (&cluster, "{\"lose_replies\":1}");
      break;
    default:
      break;
    }
}

static void
between (const struct once_case *c, int first, const char *id,
         struct cluster_request *request)
{
  switch (c->fault)
    {
    case FAULT_CONCURRENT:
    case FAULT_KILL_BEFORE:
    case FAULT_STORE_DOWN:
      break;
    case FAULT_KILL_BETWEEN:
      CU_ASSERT_TRUE (cluster_wait_starts (&cluster, id, 1, WAIT_MS));
      kill_host (first);
      break;
    case FAULT_FREEZE:
      CU_ASSERT_TRUE (cluster_wait_starts (&cluster, id, 1, WAIT_MS));
      cluster_signal (&cluster, first, SIGSTOP);
      break;
    case FAULT_KILL_AFTER:
      cluster_join (request);
      CU_ASSERT_STRING_EQUAL (request->answer.outcome, "complete");
      kill_host (first);
      break;
    case FAULT_KILL_ARCHIVED:
      cluster_join (request);
      CU_ASSERT_STRING_EQUAL (request->answer.outcome, "complete");
      /* Several archive intervals of the script's daemons (200 ms). */
      cluster_sleep_ms (2000);
      kill_host (first);
      break;
    case FAULT_CUT:
      CU_ASSERT_TRUE (cluster_wait_starts (&cluster, id, 1, WAIT_MS));
      cluster_cut (&cluster, cluster.hosts[first].domain, true);
      break;
    case FAULT_NONE:
    case FAULT_REPLY_LOST:
      cluster_join (request);
      CU_ASSERT_STRING_EQUAL (request->answer.outcome, "complete");
      break;
    }
}

static void
heal (const struct once_case *c, int first)
{
  switch (c->fault)
    {
    case FAULT_FREEZE:
      /* Past every lease and heartbeat of the others. */
      cluster_sleep_ms (5000);
      cluster_signal (&cluster, first, SIGCONT);
      break;
    case FAULT_STORE_DOWN:
      cluster_platform (&cluster, "{\"down\":false}");
      break;
    case FAULT_CUT:
      cluster_cut (&cluster, NULL, false);
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
  char id[CLUSTER_TEXT];
  char *body = cluster_job ("reorder", TASKS, TASK_MS, false);
  int first = pick_first ();
  int again = pick_second (first, c->where);

  if (c->id == ID_ISSUED)
    cluster_issue (id, &cluster, first);
  else
    cluster_own_id (id, 0);
  before_first (c, first);
  cluster_submit_async (&request, &cluster, first, id, body);
  between (c, first, id, &request);
  cluster_submit (&second, &cluster, again, id, body);
  heal (c, first);
  if (!joined_between (c->fault))
    cluster_join (&request);
  printf ("\n    %s: first %d \"%s\", again %d \"%s\" code %d", c->name,
          request.answer.http, request.answer.outcome, second.http,
          second.outcome, second.code);
  CU_ASSERT_TRUE (second.outcome[0] != '\0'
                  && strstr (c->allowed, second.outcome) != NULL);
  /* The resumed or healed host may still start what it had queued. */
  cluster_sleep_ms (2 * TASK_MS);
  CU_ASSERT_TRUE (cluster_job_starts (&cluster, id) <= TASKS);
  CU_ASSERT_EQUAL (cluster_duplicate_starts (&cluster), 0);
  /* "Not run" and "complete" are true against the endpoints' count. */
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
