/* P8: accepted rules are in force on every reachable host within 4 s and are
   never replaced by older ones. P10: each decision names the rule it is based
   on. Checked by the hosts' status pages and the time stamps of their logs.
   The argument "new" checks the hosts that the script started later. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ctl/ctl.h"
#include "faults/cluster.h"
#include "snipe/clock.h"
#include "snipe/status.h"
#include "suite.h"

#define IN_FORCE_MAX_MS 4000 /* the stated bound */
#define WAIT_MS 30000
#define ALLOW_RULE                                                            \
  "allow team=reorder kind=* domain=*  # asked by Dana Wills\n"
#define ALL_HOSTS UINT32_MAX

static struct cluster cluster;

/** @return rules that a number tells from all others of this test. */
static char *
rules_text (int number)
{
  return g_strdup_printf ("# Test\n" ALLOW_RULE
                          "weight team=reorder value=%d  # asked by Ops\n",
                          number);
}

static uint64_t
version_of (const char *address, const char *path)
{
  json_t *page = cluster_get (address, path);
  const json_t *rules = json_object_get (page, "rules");
  uint64_t version = (uint64_t)json_integer_value (
      json_object_get (rules == NULL ? page : rules, "version"));

  json_decref (page);
  return version;
}

static uint64_t
published_version (void)
{
  return version_of (cluster.platform_address, "/table/row?key=rules");
}

static uint64_t
in_force_version (int host)
{
  return version_of (cluster.hosts[host].http_address, "/v1/status");
}

/** Waits until a version is in force on all hosts in a bit mask. */
static bool
wait_in_force (uint32_t mask, uint64_t version)
{
  for (int64_t waited = 0; waited < WAIT_MS; waited += 20)
    {
      bool all = true;

      for (int i = 0; i < cluster.host_count; i++)
        if ((mask >> i & 1) != 0)
          all = in_force_version (i) == version && all;
      if (all)
        return true;
      cluster_sleep_ms (20);
    }
  return false;
}

/** Also checks that the host never went back to an older version.
 * @return when, by its log, the host put @p version in force, in ms since
 * 1970, or -1. */
static int64_t
in_force_logged_at (int host, uint64_t version)
{
  char *path = g_strdup_printf ("%s/%s.log", g_getenv ("SNIPE_TEST_LOGS"),
                                cluster.hosts[host].name);
  uint64_t last = 0;
  int64_t at = -1;
  gchar *text = NULL;
  gchar **lines;

  CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (int i = 0; lines[i] != NULL; i++)
    {
      const char *found = strstr (lines[i], " rules version ");
      uint64_t number;

      if (found == NULL || !g_str_has_suffix (lines[i], " in force"))
        continue;
      number = g_ascii_strtoull (found + strlen (" rules version "), NULL, 10);
      CU_ASSERT_TRUE (number > last);
      last = number;
      if (number == version)
        {
          char stamp[32];
          GDateTime *time;

          g_strlcpy (stamp, lines[i], sizeof "2026-01-01T00:00:00.000Z");
          time = g_date_time_new_from_iso8601 (stamp, NULL);
          CU_ASSERT_PTR_NOT_NULL_FATAL (time);
          at = g_date_time_to_unix (time) * 1000
               + g_date_time_get_microsecond (time) / 1000;
          g_date_time_unref (time);
        }
    }
  g_strfreev (lines);
  g_free (text);
  g_free (path);
  return at;
}

/** Checks by their logs that the hosts in a bit mask put a version in force in
 * time. */
static void
check_in_time (const char *name, uint32_t mask, uint64_t version,
               int64_t accepted)
{
  int64_t longest = 0;

  CU_ASSERT_TRUE (wait_in_force (mask, version));
  for (int i = 0; i < cluster.host_count; i++)
    {
      int64_t at = -1;

      if ((mask >> i & 1) == 0)
        continue;
      /* A separate thread writes the log, so the line may come later. */
      for (int64_t waited = 0; at < 0 && waited < WAIT_MS; waited += 20)
        {
          at = in_force_logged_at (i, version);
          if (at < 0)
            cluster_sleep_ms (20);
        }
      CU_ASSERT_TRUE (at >= 0);
      longest = MAX (longest, at - accepted);
    }
  printf ("\n    %s: in force everywhere %lld ms after acceptance", name,
          (long long)longest);
  CU_ASSERT_TRUE (longest <= IN_FORCE_MAX_MS);
}

struct publisher
{
  const char *who;
  char *text;
  int64_t if_version;
  int result; /**< exit code of snipectl */
  char *out;
  char *err;
  pthread_t thread;
};

/** Publishes rules like "snipectl rules publish FILE". */
static void *
publish (void *arg)
{
  struct publisher *p = arg;
  struct snipe_ctl ctl = { .publisher = p->who,
                           .timeout_ms = 5000,
                           .wait_ms = WAIT_MS,
                           .confirm_timeout_ms = WAIT_MS,
                           .if_version = p->if_version };
  char *platform = g_strdup_printf ("http://%s", cluster.platform_address);
  char *path = NULL;
  size_t out_size;
  size_t err_size;
  int file = g_file_open_tmp ("snipe-rules-XXXXXX", &path, NULL);

  close (file);
  g_file_set_contents (path, p->text, -1, NULL);
  ctl.platform = platform;
  ctl.out = open_memstream (&p->out, &out_size);
  ctl.err = open_memstream (&p->err, &err_size);
  p->result = snipe_ctl_rules_publish (&ctl, path);
  fclose (ctl.out);
  fclose (ctl.err);
  unlink (path);
  g_free (path);
  g_free (platform);
  return NULL;
}

static void
publisher_clear (struct publisher *p)
{
  g_free (p->text);
  free (p->out);
  free (p->err);
}

/* Guards against rules that some hosts get late or never: also hosts that
 * cannot reach the platform, and when it goes down after one host has them. */
static void
test_in_time (void)
{
  static const char *const no_platform[] = { "platform", NULL };
  static const char *const none[] = { NULL };

  for (int round = 0; round < 3; round++)
    {
      char *text = rules_text (10 + round);
      int64_t accepted;
      uint64_t version;

      /* In the last round only host 0 reaches the platform. */
      for (int i = 1; round == 2 && i < cluster.host_count; i++)
        cluster_refuse_connections (&cluster, i, no_platform);
      cluster_publish_rules (&cluster, text);
      accepted = snipe_clock_wall_ms ();
      version = published_version ();
      if (round == 2)
        {
          CU_ASSERT_TRUE (wait_in_force (1, version));
          cluster_platform_control (&cluster, "{\"down\":true}");
        }
      check_in_time (round < 2 ? "published" : "learned from a peer",
                     ALL_HOSTS, version, accepted);
      g_free (text);
    }
  cluster_platform_control (&cluster, "{\"down\":false}");
  for (int i = 1; i < cluster.host_count; i++)
    cluster_refuse_connections (&cluster, i, none);
}

/* Guards against a publication that is applied twice, against two concurrent
 * ones that both seem accepted, and against an invalid file that changes the
 * rules. */
static void
test_publish (void)
{
  struct publisher one = { .who = "Dana", .text = rules_text (20) };
  struct publisher two = { .who = "Lee", .text = rules_text (21) };
  struct publisher lost
      = { .who = "Ops", .text = rules_text (22), .if_version = -1 };
  struct publisher bad
      = { .who = "Ops",
          .text = g_strdup (ALLOW_RULE "allow team=  # asked by\n"),
          .if_version = -1 };
  const struct publisher *winner;
  const struct publisher *loser;
  uint64_t version = published_version ();

  one.if_version = two.if_version = (int64_t)version;
  CU_ASSERT_EQUAL_FATAL (pthread_create (&one.thread, NULL, publish, &one), 0);
  publish (&two);
  pthread_join (one.thread, NULL);
  winner = one.result == SNIPE_CTL_OK ? &one : &two;
  loser = winner == &one ? &two : &one;
  CU_ASSERT_EQUAL (winner->result, SNIPE_CTL_OK);
  CU_ASSERT_EQUAL (loser->result, SNIPE_CTL_CONFLICT);
  CU_ASSERT_PTR_NOT_NULL (strstr (loser->err, "conflict"));
  CU_ASSERT_PTR_NOT_NULL (strstr (loser->err, winner->who));
  version = published_version ();
  CU_ASSERT_TRUE (wait_in_force (ALL_HOSTS, version));

  publish (&bad);
  CU_ASSERT_EQUAL (bad.result, SNIPE_CTL_FAILED);
  CU_ASSERT_PTR_NOT_NULL (strstr (bad.err, "line 2"));
  CU_ASSERT_EQUAL (published_version (), version);

  cluster_platform_control (&cluster, "{\"lose_replies\":1}");
  publish (&lost);
  CU_ASSERT_EQUAL (lost.result, SNIPE_CTL_OK);
  CU_ASSERT_TRUE (published_version () > version);
  version = published_version ();
  CU_ASSERT_TRUE (wait_in_force (ALL_HOSTS, version));
  printf ("\n    race: %s", loser->err);
  printf ("    error: %s", bad.err);
  printf ("    lost reply: %s", lost.err);
  publisher_clear (&one);
  publisher_clear (&two);
  publisher_clear (&lost);
  publisher_clear (&bad);
}

/* Guards against a domain that brings its older rules back when a partition
 * ends, or that stops because it lacks the newer ones. */
static void
test_heal (void)
{
  const char *domain = cluster.hosts[0].domain;
  uint64_t before = published_version ();
  char *text = rules_text (30);
  uint32_t inside = 0;
  uint64_t version;
  int64_t healed;

  for (int i = 0; i < cluster.host_count; i++)
    if (strcmp (cluster.hosts[i].domain, domain) == 0)
      inside |= 1U << i;
  cluster_partition (&cluster, domain, true);
  cluster_publish_rules (&cluster, text);
  version = published_version ();
  check_in_time ("outside a partition", ~inside, version,
                 snipe_clock_wall_ms ());
  CU_ASSERT_EQUAL (in_force_version (0), before);
  cluster_partition (&cluster, NULL, false);
  healed = snipe_clock_wall_ms ();
  check_in_time ("healed", inside, version, healed);
  /* in_force_logged_at () checks the whole log of each host. */
  for (int i = 0; i < cluster.host_count; i++)
    CU_ASSERT_TRUE (in_force_logged_at (i, version) >= 0
                    && in_force_version (i) == version);
  g_free (text);
}

/* Guards against a decision that names no rule, or the wrong line, requester
 * or version of it. */
static void
test_explain (void)
{
  struct cluster_answer answer;
  char *body = cluster_simple_job_body ("reorder", 6, 50, false);
  uint64_t version = published_version ();
  char *allow = g_strstrip (g_strdup (ALLOW_RULE));
  int starts = 0;
  char id[CLUSTER_TEXT_MAX];

  cluster_issue_id (id, &cluster, 0);
  cluster_submit (&answer, &cluster, 0, id, body);
  CU_ASSERT_STRING_EQUAL (answer.outcome, "complete");
  for (int host = 0; host < cluster.host_count; host++)
    {
      char path[2 * CLUSTER_TEXT_MAX];
      json_t *page;
      json_t *decision;
      size_t i;

      snprintf (path, sizeof path, "/v1/explain?job=%s", id);
      page = cluster_get (cluster.hosts[host].http_address, path);
      json_array_foreach (json_object_get (page, "decisions"), i, decision)
      {
        json_t *rule = json_object_get (decision, "rule");
        const char *what
            = json_string_value (json_object_get (decision, "decision"));

        starts += strcmp (what, "start") == 0;
        if (strcmp (what, "start") != 0 && strcmp (what, "pass") != 0)
          continue;
        CU_ASSERT_EQUAL (json_integer_value (json_object_get (rule, "line")),
                         2);
        CU_ASSERT_EQUAL (
            (uint64_t)json_integer_value (json_object_get (rule, "version")),
            version);
        CU_ASSERT_STRING_EQUAL (
            json_string_value (json_object_get (rule, "requester")),
            "Dana Wills");
        CU_ASSERT_STRING_EQUAL (
            json_string_value (json_object_get (rule, "text")), allow);
      }
      json_decref (page);
    }
  CU_ASSERT_EQUAL (starts, 6);
  cluster_answer_clear (&answer);
  g_free (allow);
  g_free (body);
}

/** Checks that a host rejects a job and starts none of its tasks. */
static void
check_refused (int host, int code)
{
  struct cluster_answer answer;
  char *body = cluster_simple_job_body ("reorder", 2, 50, false);
  char id[CLUSTER_TEXT_MAX];

  cluster_issue_id (id, &cluster, host);
  cluster_submit (&answer, &cluster, host, id, body);
  CU_ASSERT_STRING_EQUAL (answer.outcome, "not_run");
  CU_ASSERT_EQUAL (answer.code, code);
  cluster_answer_clear (&answer);
  CU_ASSERT_EQUAL (cluster_job_starts (&cluster, id), 0);
  g_free (body);
}

/* Guards against jobs that are still run after no rule allows them. */
static void
test_forbidden (void)
{
  uint64_t version;

  cluster_publish_rules (
      &cluster, "allow team=other kind=* domain=*  # asked by Dana Wills\n");
  version = published_version ();
  CU_ASSERT_TRUE (wait_in_force (ALL_HOSTS, version));
  for (int i = 0; i < cluster.host_count; i++)
    check_refused (i, SNIPE_E_NO_RULE);
  cluster_publish_rules (&cluster, ALLOW_RULE);
  CU_ASSERT_TRUE (wait_in_force (ALL_HOSTS, published_version ()));
}

/* Guards against a new host that starts with older rules, that cannot get them
 * from a peer without the platform, or that runs jobs without any rules. */
static void
test_new_hosts (void)
{
  uint64_t version = published_version ();

  CU_ASSERT_TRUE (wait_in_force (1U << 0 | 1U << 1, version));
  CU_ASSERT_TRUE (in_force_logged_at (0, version) >= 0);
  CU_ASSERT_EQUAL (in_force_version (2), 0);
  check_refused (2, SNIPE_E_NOT_READY);
}

int
main (int argc, char **argv)
{
  CU_TestInfo tests[] = {
    { "in force in time", test_in_time },
    { "publications", test_publish },
    { "a rejoined domain keeps the newer rules", test_heal },
    { "decisions are explained", test_explain },
    { "forbidden jobs are rejected", test_forbidden },
    CU_TEST_INFO_NULL,
  };
  CU_TestInfo new_tests[] = {
    { "new hosts", test_new_hosts },
    CU_TEST_INFO_NULL,
  };

  cluster_load (&cluster);
  return suite_run ("rules in force", argc > 1 && strcmp (argv[1], "new") == 0
                                          ? new_tests
                                          : tests);
}
