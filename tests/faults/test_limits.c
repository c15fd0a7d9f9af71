/* P11: over all hosts and under every fault, no more tasks of a team run at
   one time than its limit rule allows, as the endpoints count them. Each case
   runs under load at all hosts. */

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
#define CLIENTS_PER_HOST 2 /* each with one job at a time */
#define WAIT_MS 30000
/* Longer than lease plus longest task time in run-limits.sh. */
#define LEASE_EXPIRY_MS 4500

enum fault
{
  FAULT_NONE,
  FAULT_DEMAND_MOVES,  /* load at one host only, then at another */
  FAULT_PLATFORM,      /* platform down, for less than the lease */
  FAULT_PLATFORM_LONG, /* platform down for longer than the lease */
  FAULT_REPLY_LOST,    /* replies to writes are lost */
  FAULT_SLOW,          /* tasks run past their jobs' deadlines */
  FAULT_FREEZE,        /* a host is stopped past its lease, then resumed */
  FAULT_PARTITION,     /* a domain is separated past its lease */
  FAULT_LOWER,         /* a rule with a lower limit is published */
  FAULT_RAISE,
  FAULT_DRAIN,
  FAULT_KILL,
};

struct limit_case
{
  const char *name;
  enum fault fault;
  int limit; /* of the rule after the fault */
};

static const struct limit_case cases[] = {
  { "no fault", FAULT_NONE, LIMIT },
  { "demand moves between hosts", FAULT_DEMAND_MOVES, LIMIT },
  { "platform down for less than the lease", FAULT_PLATFORM, LIMIT },
  { "platform down past the lease", FAULT_PLATFORM_LONG, LIMIT },
  { "replies lost", FAULT_REPLY_LOST, LIMIT },
  { "tasks run past their deadlines", FAULT_SLOW, LIMIT },
  { "host frozen past its lease", FAULT_FREEZE, LIMIT },
  { "domain separated past its lease", FAULT_PARTITION, LIMIT },
  { "limit lowered", FAULT_LOWER, 25 },
  { "limit raised", FAULT_RAISE, 70 },
  { "host drained", FAULT_DRAIN, 70 },
  { "host killed", FAULT_KILL, 70 },
};

static struct cluster cluster;
/* Accessed atomically. */
static gint host_gets_load[CLUSTER_HOSTS_MAX];
static gint stop;

/** Sends load to the hosts @p first to @p end - 1 only. */
static void
load_hosts (int first, int end)
{
  for (int i = 0; i < CLUSTER_HOSTS_MAX; i++)
    g_atomic_int_set (&host_gets_load[i], i >= first && i < end);
}

/** Submits jobs to a host, one at a time, while it gets load. */
static void *
client (void *arg)
{
  int host = GPOINTER_TO_INT (arg);
  char *body = cluster_simple_job_body (TEAM, TASKS, TASK_MS, false);

  while (!g_atomic_int_get (&stop))
    {
      struct cluster_answer answer;
      char path[CLUSTER_TEXT_MAX];
      const char *id;

      if (!g_atomic_int_get (&host_gets_load[host]))
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
      if (answer.http_status != 200)
        cluster_sleep_ms (20);
      cluster_answer_clear (&answer);
    }
  g_free (body);
  return NULL;
}

static int
max_running (void)
{
  json_t *counts = cluster_get (cluster.control_address, "/control/counts");
  int max = (int)json_integer_value (
      json_object_get (json_object_get (counts, "max_running_team"), TEAM));

  json_decref (counts);
  return max;
}

/** Resets the maximum to the number of tasks that run now. */
static void
reset_max_running (void)
{
  cluster_endpoints_control (&cluster, "{\"reset\":true}");
}

/** @return sum of the allocated shares in the platform's table. */
static int
table_allocated (void)
{
  json_t *row
      = cluster_get (cluster.platform_address, "/table/row?key=quota/" TEAM);
  const char *key;
  json_t *share;
  int sum = 0;

  json_object_foreach (
      json_object_get (json_object_get (row, "value"), "held"), key, share) sum
      += (int)json_integer_value (share);
  json_decref (row);
  return sum;
}

static int
team_share (int host)
{
  json_t *status
      = cluster_get (cluster.hosts[host].http_address, "/v1/status");
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

/** Waits until a host's allocated share is between @p least and @p most. */
static bool
wait_share (int host, int least, int most)
{
  for (int64_t waited = 0; waited < WAIT_MS; waited += 20)
    {
      int now = team_share (host);

      if (now >= least && now <= most)
        return true;
      cluster_sleep_ms (20);
    }
  return false;
}

/** Waits until at least @p least tasks of the team have run at one time. */
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

/** Waits until the allocated shares sum to at most @p limit. */
static bool
wait_allocated_at_most (int limit)
{
  for (int64_t waited = 0; waited < WAIT_MS; waited += 20)
    {
      if (table_allocated () <= limit)
        return true;
      cluster_sleep_ms (20);
    }
  return false;
}

static void
check_unlimited (int host)
{
  struct cluster_answer answer;
  char *body = cluster_simple_job_body ("free", 4, TASK_MS, false);
  char id[CLUSTER_TEXT_MAX];

  cluster_issue_id (id, &cluster, host);
  cluster_submit (&answer, &cluster, host, id, body);
  CU_ASSERT_STRING_EQUAL (answer.outcome, "complete");
  cluster_answer_clear (&answer);
  g_free (body);
}

/** Runs rounds of jobs whose tasks still run when their deadlines pass. A task
 * takes 1.2 s, less than --task-max-ms in run-limits.sh. */
static void
run_past_deadlines (void)
{
  const struct cluster_job job
      = { .team = TEAM, .tasks = 60, .ms = TASK_MS, .deadline_ms = 300 };
  struct cluster_request requests[CLUSTER_HOSTS_MAX];
  char *body = cluster_job_body (&job);

  load_hosts (0, 0);
  cluster_set_modes (&cluster, 1, "slow", 8);
  for (int round = 0; round < 3; round++)
    {
      for (int i = 0; i < cluster.host_count; i++)
        {
          char id[CLUSTER_TEXT_MAX];

          cluster_issue_id (id, &cluster, i);
          cluster_submit_async (&requests[i], &cluster, i, id, body);
        }
      for (int i = 0; i < cluster.host_count; i++)
        {
          cluster_join (&requests[i]);
          cluster_answer_clear (&requests[i].answer);
        }
    }
  cluster_set_modes (&cluster, 1, "ok", 1);
  g_free (body);
}

static void
inject_fault (const struct limit_case *c, int victim)
{
  const char *domain = cluster.hosts[victim].domain;

  switch (c->fault)
    {
    case FAULT_NONE:
      break;
    case FAULT_DEMAND_MOVES:
      for (int host = 0; host < 2; host++)
        {
          load_hosts (host, host + 1);
          /* One host runs 20 tasks at a time; its equal part is 6. */
          CU_ASSERT_TRUE (wait_share (host, CLIENTS_PER_HOST * TASKS, LIMIT));
        }
      break;
    case FAULT_PLATFORM:
    case FAULT_PLATFORM_LONG:
      cluster_platform_control (&cluster, "{\"down\":true}");
      cluster_sleep_ms (c->fault == FAULT_PLATFORM_LONG ? LEASE_EXPIRY_MS
                                                        : 800);
      cluster_platform_control (&cluster, "{\"down\":false}");
      break;
    case FAULT_SLOW:
      run_past_deadlines ();
      break;
    case FAULT_REPLY_LOST:
      cluster_platform_control (&cluster, "{\"lose_replies\":20}");
      cluster_sleep_ms (2000);
      break;
    case FAULT_FREEZE:
      cluster_signal (&cluster, victim, SIGSTOP);
      cluster_sleep_ms (LEASE_EXPIRY_MS);
      cluster_signal (&cluster, victim, SIGCONT);
      break;
    case FAULT_PARTITION:
      cluster_partition (&cluster, domain, true);
      cluster_sleep_ms (LEASE_EXPIRY_MS);
      /* The lease has expired: only teams with a limit stop. */
      CU_ASSERT_TRUE (wait_share (victim, 0, 0));
      check_unlimited (victim);
      cluster_partition (&cluster, NULL, false);
      CU_ASSERT_TRUE (wait_share (victim, 1, LIMIT));
      break;
    case FAULT_LOWER:
    case FAULT_RAISE:
      publish_limit (c->limit);
      CU_ASSERT_TRUE (wait_allocated_at_most (c->limit));
      break;
    case FAULT_DRAIN:
      cluster_signal (&cluster, victim, SIGTERM);
      CU_ASSERT_TRUE (cluster_wait_exit (&cluster, victim, WAIT_MS));
      break;
    case FAULT_KILL:
      cluster_signal (&cluster, victim, SIGKILL);
      cluster_sleep_ms (LEASE_EXPIRY_MS);
      break;
    }
}

static void
run_case (const struct limit_case *c, int *previous_limit, int *victim)
{
  int most;
  int allocated;

  /* Frozen and separated hosts get load again; hosts that exit do not. */
  if (c->fault == FAULT_KILL || c->fault == FAULT_DRAIN)
    load_hosts (0, *victim);
  reset_max_running ();
  inject_fault (c, *victim);
  most = max_running ();
  CU_ASSERT_TRUE (most <= MAX (*previous_limit, c->limit));
  if (c->fault == FAULT_KILL || c->fault == FAULT_DRAIN)
    (*victim)--;
  load_hosts (0, *victim + 1);
  /* From here on the new limit holds, and at least 9/10 of it is used. */
  reset_max_running ();
  CU_ASSERT_TRUE (wait_running (c->limit * 9 / 10));
  cluster_sleep_ms (500);
  allocated = table_allocated ();
  printf ("\n    %s: most running %d under the fault, %d after it, of %d; "
          "%d allocated",
          c->name, most, max_running (), c->limit, allocated);
  CU_ASSERT_TRUE (max_running () <= c->limit);
  CU_ASSERT_TRUE (allocated <= c->limit);
  *previous_limit = c->limit;
}

static void
test_limits (void)
{
  pthread_t threads[CLIENTS_PER_HOST * CLUSTER_HOSTS_MAX];
  int count = 0;
  int previous_limit = LIMIT;
  int victim;

  cluster_load (&cluster);
  victim = cluster.host_count - 1;
  load_hosts (0, cluster.host_count);
  for (int host = 0; host < cluster.host_count; host++)
    for (int i = 0; i < CLIENTS_PER_HOST; i++)
      CU_ASSERT_EQUAL_FATAL (pthread_create (&threads[count++], NULL, client,
                                             GINT_TO_POINTER (host)),
                             0);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    run_case (&cases[i], &previous_limit, &victim);
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
