/* P11: the tasks of a team that run at one time never exceed its rule, over
   all hosts and whatever happens to them. The endpoints' count of running
   tasks is the judge. Each case runs under load through all hosts. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "faults/cluster.h"
#include "snipe/clock.h"
#include "suite.h"

#define TEAM "reorder"
#define LIMIT 60
#define TASKS 10
#define TASK_MS 150
#define CLIENTS 2 /* of each host, each with one job at a time */
#define WAIT_MS 30000
/* Past lease and longest task of the script's daemons. */
#define LAPSE_MS 4500

enum fault
{
  FAULT_NONE,
  FAULT_ONE_HOST, /* demand at one host only, then at another */
  FAULT_PLATFORM, /* platform down, for less than the lease */
  FAULT_OUTAGE,   /* platform down past the lease */
  FAULT_LOSE,     /* replies to writes are lost */
  FAULT_SLOW,     /* tasks outlive their jobs' deadlines */
  FAULT_FREEZE,   /* a host stops past its lease, then goes on */
  FAULT_CUT,      /* a domain is cut off past its lease */
  FAULT_LOWER,    /* the rule's limit shrinks */
  FAULT_RAISE,
  FAULT_DRAIN,
  FAULT_KILL,
};

struct limit_case
{
  const char *name;
  enum fault fault;
  int limit; /* of the rule afterwards */
};

static const struct limit_case cases[] = {
  { "no fault", FAULT_NONE, LIMIT },
  { "demand moves between hosts", FAULT_ONE_HOST, LIMIT },
  { "platform down for a moment", FAULT_PLATFORM, LIMIT },
  { "platform down past the lease", FAULT_OUTAGE, LIMIT },
  { "replies lost", FAULT_LOSE, LIMIT },
  { "tasks outlive their deadlines", FAULT_SLOW, LIMIT },
  { "host frozen past its lease", FAULT_FREEZE, LIMIT },
  { "domain cut off past its lease", FAULT_CUT, LIMIT },
  { "limit lowered", FAULT_LOWER, 25 },
  { "limit raised", FAULT_RAISE, 70 },
  { "host drained", FAULT_DRAIN, 70 },
  { "host killed", FAULT_KILL, 70 },
};

static struct cluster cluster;
/* Whether a host gets load. Read and written atomically. */
static gint active[CLUSTER_HOSTS_MAX];
static gint stop;

/** Puts load on the hosts from @p first to before @p end, and on no other. */
static void
load_hosts (int first, int end)
{
  for (int i = 0; i < CLUSTER_HOSTS_MAX; i++)
    g_atomic_int_set (&active[i], i >= first && i < end);
}

/** Submits one job after the other to one host while it is active. */
static void *
client (void *arg)
{
  int host = GPOINTER_TO_INT (arg);
  char *body = cluster_job (TEAM, TASKS, TASK_MS, false);

  while (!g_atomic_int_get (&stop))
    {
      struct cluster_answer answer;
      char path[CLUSTER_TEXT];
      const char *id;

      if (!g_atomic_int_get (&active[host]))
        {
          cluster_sleep_ms (20);
          continue;
        }
      cluster_send (&answer, &cluster, host, "POST", "/v1/ids", "", 5000);
      id = json_string_value (
          json_array_get (json_object_get (answer.root, "ids"), 0));
      g_snprintf (path, sizeof path, "/v1/jobs/%s", id == NULL ? "" : id);
      cluster_answer_clear (&answer);
      if (id == NULL)
        {
          cluster_sleep_ms (20);
          continue;
        }
      cluster_send (&answer, &cluster, host, "PUT", path, body, 10000);
      if (answer.http != 200)
        cluster_sleep_ms (20);
      cluster_answer_clear (&answer);
    }
  g_free (body);
  return NULL;
}

static int
max_running (void)
{
  json_t *counts = cluster_get (cluster.endpoints, "/control/counts");
  int max = (int)json_integer_value (
      json_object_get (json_object_get (counts, "max_running_team"), TEAM));

  json_decref (counts);
  return max;
}

/** Forgets the past maximum; running tasks stay counted. */
static void
reset_max (void)
{
  cluster_endpoints (&cluster, "{\"reset\":true}");
}

/** Sum of the shares in the table. */
static int
table_held (void)
{
  json_t *row = cluster_get (cluster.platform, "/table/row?key=quota/" TEAM);
  const char *key;
  json_t *held;
  int sum = 0;

  json_object_foreach (
      json_object_get (json_object_get (row, "value"), "held"), key, held) sum
      += (int)json_integer_value (held);
  json_decref (row);
  return sum;
}

static int
share (int host)
{
  json_t *status = cluster_get (cluster.hosts[host].http, "/v1/status");
  int value = 0;
  size_t i;
  json_t *team;

  json_array_foreach (
      json_object_get (status, "teams"), i,
      team) if (strcmp (json_string_value (json_object_get (team, "team")),
                        TEAM)
                == 0) value
      = (int)json_integer_value (json_object_get (team, "share"));
  json_decref (status);
  return value;
}

/** Waits until a host's share is from @p least to @p most. */
static bool
wait_share (int host, int least, int most)
{
  for (int64_t waited = 0; waited < WAIT_MS; waited += 20)
    {
      int now = share (host);

      if (now >= least && now <= most)
        return true;
      cluster_sleep_ms (20);
    }
  return false;
}

/** Waits until the endpoints ran @p least tasks of the team at one time. */
static bool
wait_running (int least)
{
  for (int64_t waited = 0; waited < WAIT_MS; waited += 20)
    {
      if (max_running () >= least)
        return true;
      cluster_sleep_ms (20);
    }
  return false;
}

static void
publish_limit (int limit)
{
  char *text = g_strdup_printf (
      "allow team=" TEAM " kind=* domain=*  # asked by Dana Wills\n"
      "allow team=free kind=* domain=*  # asked by Dana Wills\n"
      "limit team=" TEAM " slots=%d  # asked by Lee Park\n",
      limit);

  cluster_publish_rules (&cluster, text);
  g_free (text);
}

/** Waits until the table's shares are within a limit that shrank. */
static bool
wait_within (int limit)
{
  for (int64_t waited = 0; waited < WAIT_MS; waited += 20)
    {
      if (table_held () <= limit)
        return true;
      cluster_sleep_ms (20);
    }
  return false;
}

static void
check_unlimited (int host)
{
  struct cluster_answer answer;
  char *body = cluster_job ("free", 4, TASK_MS, false);
  char id[CLUSTER_TEXT];

  cluster_issue (id, &cluster, host);
  cluster_submit (&answer, &cluster, host, id, body);
  CU_ASSERT_STRING_EQUAL (answer.outcome, "complete");
  cluster_answer_clear (&answer);
  g_free (body);
}

/** Waves of jobs whose tasks still run when their callers give up. A task
 * takes 1.2 s, less than the longest task time of the script's daemons. */
static void
outlive_deadlines (void)
{
  const struct cluster_job job
      = { .team = TEAM, .tasks = 60, .ms = TASK_MS, .deadline_ms = 300 };
  struct cluster_request requests[CLUSTER_HOSTS_MAX];
  char *body = cluster_job_body (&job);

  load_hosts (0, 0);
  cluster_mode (&cluster, 1, "slow", 8);
  for (int wave = 0; wave < 3; wave++)
    {
      for (int i = 0; i < cluster.host_count; i++)
        {
          char id[CLUSTER_TEXT];

          cluster_issue (id, &cluster, i);
          cluster_submit_async (&requests[i], &cluster, i, id, body);
        }
      for (int i = 0; i < cluster.host_count; i++)
        {
          cluster_join (&requests[i]);
          cluster_answer_clear (&requests[i].answer);
        }
    }
  cluster_mode (&cluster, 1, "ok", 1);
  g_free (body);
}

static void
disturb (const struct limit_case *c, int victim)
{
  const char *domain = cluster.hosts[victim].domain;

  switch (c->fault)
    {
    case FAULT_NONE:
      break;
    case FAULT_ONE_HOST:
      for (int host = 0; host < 2; host++)
        {
          load_hosts (host, host + 1);
          /* 20 tasks of one host at a time, over its equal slice of 6. */
          CU_ASSERT_TRUE (wait_share (host, CLIENTS * TASKS, LIMIT));
        }
      break;
    case FAULT_PLATFORM:
    case FAULT_OUTAGE:
      cluster_platform (&cluster, "{\"down\":true}");
      cluster_sleep_ms (c->fault == FAULT_OUTAGE ? LAPSE_MS : 800);
      cluster_platform (&cluster, "{\"down\":false}");
      break;
    case FAULT_SLOW:
      outlive_deadlines ();
      break;
    case FAULT_LOSE:
      cluster_platform (&cluster, "{\"lose_replies\":20}");
      cluster_sleep_ms (2000);
      break;
    case FAULT_FREEZE:
      cluster_signal (&cluster, victim, SIGSTOP);
      cluster_sleep_ms (LAPSE_MS);
      cluster_signal (&cluster, victim, SIGCONT);
      break;
    case FAULT_CUT:
      cluster_cut (&cluster, domain, true);
      cluster_sleep_ms (LAPSE_MS);
      /* Its lease is over: only limited teams stop. */
      CU_ASSERT_TRUE (wait_share (victim, 0, 0));
      check_unlimited (victim);
      cluster_cut (&cluster, NULL, false);
      CU_ASSERT_TRUE (wait_share (victim, 1, LIMIT));
      break;
    case FAULT_LOWER:
    case FAULT_RAISE:
      publish_limit (c->limit);
      CU_ASSERT_TRUE (wait_within (c->limit));
      break;
    case FAULT_DRAIN:
      cluster_signal (&cluster, victim, SIGTERM);
      CU_ASSERT_TRUE (cluster_wait_exit (&cluster, victim, WAIT_MS));
      break;
    case FAULT_KILL:
      cluster_signal (&cluster, victim, SIGKILL);
      cluster_sleep_ms (LAPSE_MS);
      break;
    }
}

static void
run_case (const struct limit_case *c, int *before, int *victim)
{
  int most;
  int held;

  /* Frozen and cut hosts are used again; those that end are not. */
  if (c->fault == FAULT_KILL || c->fault == FAULT_DRAIN)
    load_hosts (0, *victim);
  reset_max ();
  disturb (c, *victim);
  most = max_running ();
  CU_ASSERT_TRUE (most <= MAX (*before, c->limit));
  if (c->fault == FAULT_KILL || c->fault == FAULT_DRAIN)
    (*victim)--;
  load_hosts (0, *victim + 1);
  /* A lower limit holds from here on, and all of it is put to use. */
  reset_max ();
  CU_ASSERT_TRUE (wait_running (c->limit * 9 / 10));
  cluster_sleep_ms (500);
  held = table_held ();
  printf ("\n    %s: most running %d under the fault, %d after it, of %d; "
          "%d held",
          c->name, most, max_running (), c->limit, held);
  CU_ASSERT_TRUE (max_running () <= c->limit);
  CU_ASSERT_TRUE (held <= c->limit);
  *before = c->limit;
}

static void
test_limits (void)
{
  pthread_t threads[CLIENTS * CLUSTER_HOSTS_MAX];
  int count = 0;
  int before = LIMIT;
  int victim;

  cluster_load (&cluster);
  victim = cluster.host_count - 1;
  load_hosts (0, cluster.host_count);
  for (int host = 0; host < cluster.host_count; host++)
    for (int i = 0; i < CLIENTS; i++)
      CU_ASSERT_EQUAL_FATAL (pthread_create (&threads[count++], NULL, client,
                                             GINT_TO_POINTER (host)),
                             0);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    run_case (&cases[i], &before, &victim);
  CU_ASSERT_EQUAL (cluster_duplicate_starts (&cluster), 0);
  g_atomic_int_set (&stop, 1);
  for (int i = 0; i < count; i++)
    pthread_join (threads[i], NULL);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "a team's limit holds over all hosts", test_limits },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("limits", tests);
}
