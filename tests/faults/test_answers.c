/* P2, P3, P4: under each endpoint fault an answer is either complete or
   failed, never partial, and agrees with the endpoints' counts of starts.
   Invalid input starts no task and is answered with a numbered code. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "faults/cluster.h"
#include "snipe/status.h"
#include "suite.h"

/* Jobs of each case, and their tasks: together more tasks than the cluster has
   slots, so that tasks are queued and offloaded to peers. */
#define JOBS 6
#define TASKS 30
#define TASK_MS 40
#define DEADLINE_MS 1500
#define TEXT_MAX 64

struct fault_case
{
  const char *name; /**< defect of the daemon that the case would show */
  const char *mode;
  int factor;
  int every; /**< 1: all endpoints, 2: half of them */
  const char *team;
  bool idempotent;
  int deadline_ms;
  const char *allowed_outcomes; /**< separated by blanks */
  int code;                     /**< code of a failed answer, 0: any */
};

static const struct fault_case faults[] = {
  { "results swapped between jobs or hosts", "ok", 1, 1, "reorder", false, 0,
    "complete", 0 },
  { "failed tasks reported as results", "fail", 1, 1, "reorder", false,
    DEADLINE_MS, "unknown not_run", 0 },
  { "partial answer when some tasks fail", "fail", 1, 2, "reorder", false, 0,
    "complete unknown", SNIPE_E_TASK_FAILED },
  { "retried task reported as not run", "fail", 1, 2, "routes", true, 0,
    "complete unknown", SNIPE_E_TASK_FAILED },
  { "retried task reported as not run, all endpoints fail", "fail", 1, 1,
    "routes", true, DEADLINE_MS, "unknown not_run", 0 },
  { "sent start reported as not run, all endpoints dead", "dead", 1, 1,
    "reorder", false, DEADLINE_MS, "not_run unknown", 0 },
  { "partial answer when some endpoints are dead", "dead", 1, 2, "reorder",
    false, 0, "complete unknown", 0 },
  { "start at a frozen endpoint reported as not run", "freeze", 1, 1,
    "reorder", false, DEADLINE_MS, "unknown not_run", 0 },
  { "partial answer when some endpoints freeze", "freeze", 1, 2, "routes",
    true, DEADLINE_MS, "complete unknown not_run", 0 },
  { "start without a reply reported as not run", "cut", 1, 1, "reorder", false,
    DEADLINE_MS, "unknown not_run", 0 },
  { "partial answer when some starts get no reply", "cut", 1, 2, "routes",
    true, 0, "complete unknown", SNIPE_E_TASK_LOST },
  { "late reply taken for that of another task", "late", 3, 1, "reorder",
    false, 0, "complete", 0 },
  { "answer after the deadline", "late", 100, 1, "reorder", false, DEADLINE_MS,
    "unknown not_run", 0 },
  { "rejected start reported as started", "refuse", 1, 1, "reorder", false,
    DEADLINE_MS, "not_run", SNIPE_E_DEADLINE },
  { "rejected start not retried at another endpoint", "refuse", 1, 2,
    "reorder", false, 0, "complete", 0 },
  { "queued for longer than its queue rule allows", "refuse", 1, 1, "patient",
    false, 0, "not_run", SNIPE_E_OVERLOAD },
};

static struct cluster cluster;

static void
check_answer (const struct fault_case *c, const char *id, const char *first,
              const struct cluster_answer *answer)
{
  bool allowed
      = answer->outcome[0] != '\0'
        && strstr (first == NULL ? c->allowed_outcomes : first,
                   answer->outcome)
               != NULL
        && (c->code == 0 || answer->code == 0 || answer->code == c->code);

  if (!allowed)
    printf ("\n      %s: HTTP status %d, outcome \"%s\", code %d", id,
            answer->http_status, answer->outcome, answer->code);
  CU_ASSERT_TRUE (allowed);
  CU_ASSERT_EQUAL (cluster_answer_error_count (&cluster, id, TASKS, answer),
                   0);
}

static void
run_fault (const struct fault_case *c)
{
  const struct cluster_job job = { .team = c->team,
                                   .tasks = TASKS,
                                   .ms = TASK_MS,
                                   .idempotent = c->idempotent,
                                   .deadline_ms = c->deadline_ms };
  struct cluster_request requests[JOBS];
  char ids[JOBS][CLUSTER_TEXT_MAX];
  char *body = cluster_job_body (&job);
  int starts[JOBS];
  int count[3] = { 0 };

  cluster_set_modes (&cluster, c->every, c->mode, c->factor);
  for (int i = 0; i < JOBS; i++)
    {
      cluster_issue_id (ids[i], &cluster, i % cluster.host_count);
      cluster_submit_async (&requests[i], &cluster, i % cluster.host_count,
                            ids[i], body);
    }
  for (int i = 0; i < JOBS; i++)
    {
      cluster_join (&requests[i]);
      count[requests[i].answer.outcome[0] == 'c'   ? 0
            : requests[i].answer.outcome[0] == 'n' ? 1
                                                   : 2]++;
      check_answer (c, ids[i], NULL, &requests[i].answer);
      starts[i] = cluster_job_starts (&cluster, ids[i]);
    }
  printf ("\n    %s (%s): %d complete, %d not_run, %d unknown", c->name,
          c->mode, count[0], count[1], count[2]);
  CU_ASSERT_TRUE (cluster_recover_endpoints (&cluster, "routes"));
  /* After the endpoints have recovered, each id keeps its answer, at its
     coordinator and at another host, and none of its tasks starts. */
  for (int i = 0; i < JOBS; i++)
    for (int at = i; at < i + 2; at++)
      {
        struct cluster_answer again;

        cluster_submit (&again, &cluster, at % cluster.host_count, ids[i],
                        body);
        check_answer (c, ids[i], requests[i].answer.outcome, &again);
        cluster_answer_clear (&again);
      }
  for (int i = 0; i < JOBS; i++)
    {
      CU_ASSERT_EQUAL (cluster_job_starts (&cluster, ids[i]), starts[i]);
      cluster_answer_clear (&requests[i].answer);
    }
  if (!c->idempotent)
    CU_ASSERT_EQUAL (cluster_duplicate_starts (&cluster), 0);
  cluster_endpoints_control (&cluster, "{\"reset\":true}");
  g_free (body);
}

static void
test_faults (void)
{
  cluster_load (&cluster);
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    run_fault (&faults[i]);
}

enum id_kind
{
  ID_ISSUED,        /* issued by the host */
  ID_TEXT,          /* the text of the case */
  ID_CALLER_FUTURE, /* UUID of a time two minutes ahead */
  ID_CALLER_OLD,    /* UUID older than the id retention */
  ID_USED,          /* used before, with another body */
  ID_NEVER_ISSUED,  /* sequence number that was not issued */
};

/** How the body of a case is made. */
enum body_kind
{
  BODY_TEXT,      /* the text of the case */
  BODY_OVERSIZED, /* larger than the limit for a body */
  BODY_PAYLOAD,   /* a payload larger than its limit */
  BODY_DEEP,      /* nested too deeply */
  BODY_TASKS,     /* one task too many */
};

struct bad_case
{
  const char *name;
  enum id_kind id;
  enum body_kind kind;
  const char *id_text;
  const char *body;
  const char *outcome;
  int http;
  int code;
  const char *message_part; /**< expected in the message; NULL: the id */
};

#define TASK "{\"kind\":\"price-strip\"}"
#define JOB(member) "{\"team\":\"reorder\",\"tasks\":[" TASK "]" member "}"
#define WITH_TASK(member)                                                     \
  "{\"team\":\"reorder\",\"tasks\":[{\"kind\":\"price-strip\"," member "}]}"
#define BAD_BODY(name, body, http, code, says)                                \
  {                                                                           \
    name, ID_ISSUED, BODY_TEXT, NULL, body, "not_run", http, code, says       \
  }
#define BAD_ID(name, id, text, http, code, says)                              \
  {                                                                           \
    name, id, BODY_TEXT, text, JOB (""), "unknown", http, code, says          \
  }

static const struct bad_case bad[] = {
  BAD_BODY ("malformed", "{\"team\":", 400, SNIPE_E_INVALID, "line 1"),
  BAD_BODY ("empty", "", 400, SNIPE_E_INVALID, "empty"),
  BAD_BODY ("not an object", "[]", 400, SNIPE_E_INVALID, "object"),
  BAD_BODY ("unknown field", JOB (",\"colour\":1"), 400, SNIPE_E_INVALID,
            "colour"),
  BAD_BODY ("unknown task field", WITH_TASK ("\"cpus\":1"), 400,
            SNIPE_E_INVALID, "cpus"),
  BAD_BODY ("duplicate key", JOB (",\"team\":\"routes\""), 400,
            SNIPE_E_INVALID, "duplicate"),
  BAD_BODY ("team is a number", "{\"team\":7,\"tasks\":[" TASK "]}", 400,
            SNIPE_E_INVALID, "\"team\""),
  BAD_BODY ("no team", "{\"tasks\":[" TASK "]}", 400, SNIPE_E_INVALID,
            "\"team\""),
  BAD_BODY ("tasks is an object", "{\"team\":\"reorder\",\"tasks\":{}}", 400,
            SNIPE_E_INVALID, "\"tasks\""),
  BAD_BODY ("no tasks", "{\"team\":\"reorder\",\"tasks\":[]}", 400,
            SNIPE_E_INVALID, "\"tasks\""),
  BAD_BODY ("task is a string", "{\"team\":\"reorder\",\"tasks\":[\"a\"]}",
            400, SNIPE_E_INVALID, "tasks[0]"),
  BAD_BODY ("run_ms is text", WITH_TASK ("\"run_ms\":\"1\""), 400,
            SNIPE_E_INVALID, "\"run_ms\""),
  BAD_BODY ("run_ms is negative", WITH_TASK ("\"run_ms\":-1"), 400,
            SNIPE_E_INVALID, "\"run_ms\""),
  BAD_BODY ("cores is a fraction", WITH_TASK ("\"cores\":1.5"), 400,
            SNIPE_E_INVALID, "\"cores\""),
  BAD_BODY ("idempotent is a number", WITH_TASK ("\"idempotent\":1"), 400,
            SNIPE_E_INVALID, "\"idempotent\""),
  BAD_BODY ("deadline too long", JOB (",\"deadline_ms\":600001"), 400,
            SNIPE_E_INVALID, "\"deadline_ms\""),
  { "oversized body", ID_ISSUED, BODY_OVERSIZED, NULL, NULL, "unknown", 413,
    SNIPE_E_TOO_LARGE, "1048576" },
  { "oversized payload", ID_ISSUED, BODY_PAYLOAD, NULL, NULL, "not_run", 413,
    SNIPE_E_TOO_LARGE, "65536" },
  { "deep", ID_ISSUED, BODY_DEEP, NULL, NULL, "not_run", 413,
    SNIPE_E_TOO_LARGE, "16" },
  { "too many tasks", ID_ISSUED, BODY_TASKS, NULL, NULL, "not_run", 413,
    SNIPE_E_TOO_LARGE, "221" },
  BAD_BODY ("fits nowhere", WITH_TASK ("\"cores\":65"), 422, SNIPE_E_UNFIT,
            "65 cores"),
  BAD_BODY ("no rule for the kind",
            "{\"team\":\"reorder\",\"tasks\":[{\"kind\":\"other\"}]}", 403,
            SNIPE_E_NO_RULE, "\"other\""),
  BAD_BODY ("unknown team", "{\"team\":\"nobody\",\"tasks\":[" TASK "]}", 403,
            SNIPE_E_NO_RULE, "\"nobody\""),
  BAD_ID ("malformed id", ID_TEXT, "abc", 400, SNIPE_E_BAD_ID, "\"abc\""),
  BAD_ID ("id is a UUID of version 4", ID_TEXT,
          "6f1d3c9e-8b0a-4c57-9d2e-0123456789ab", 400, SNIPE_E_BAD_ID, NULL),
  BAD_ID ("id missing", ID_TEXT, "", 400, SNIPE_E_BAD_ID, "POST /v1/ids"),
  BAD_ID ("id of the future", ID_CALLER_FUTURE, NULL, 400, SNIPE_E_BAD_ID,
          NULL),
  BAD_ID ("id older than the id retention", ID_CALLER_OLD, NULL, 410,
          SNIPE_E_ID_EXPIRED, NULL),
  BAD_ID ("id of another body", ID_USED, NULL, 409, SNIPE_E_ID_REUSED, NULL),
  BAD_ID ("never issued number", ID_NEVER_ISSUED, NULL, 400, SNIPE_E_BAD_ID,
          NULL),
  BAD_ID ("id of an unknown host", ID_TEXT, "s-0000000000000001-00000000", 502,
          SNIPE_E_HOME_AWAY, NULL),
};

static char *
make_body (const struct bad_case *c)
{
  GString *text;

  switch (c->kind)
    {
    case BODY_OVERSIZED:
    case BODY_PAYLOAD:
      text = g_string_new ("{\"team\":\"reorder\",\"tasks\":[{\"kind\":"
                           "\"price-strip\",\"payload\":\"");
      for (int i = 0; i < (c->kind == BODY_PAYLOAD ? 70000 : 1100000); i++)
        g_string_append_c (text, 'x');
      g_string_append (text, "\"}]}");
      return g_string_free (text, FALSE);
    case BODY_DEEP:
      text = g_string_new (NULL);
      for (int i = 0; i < 100000; i++)
        g_string_append_c (text, '[');
      return g_string_free (text, FALSE);
    case BODY_TASKS:
      return cluster_simple_job_body ("reorder", 221, 1, false);
    case BODY_TEXT:
      break;
    }
  return g_strdup (c->body);
}

static void
run_valid_job (int host, char *id, int n)
{
  struct cluster_answer answer;
  char *body = cluster_simple_job_body ("reorder", n, 1, false);

  cluster_issue_id (id, &cluster, host);
  cluster_submit (&answer, &cluster, host, id, body);
  CU_ASSERT_STRING_EQUAL (answer.outcome, "complete");
  CU_ASSERT_EQUAL (cluster_answer_error_count (&cluster, id, n, &answer), 0);
  cluster_answer_clear (&answer);
  g_free (body);
}

static void
make_id (const struct bad_case *c, int host, char *id)
{
  switch (c->id)
    {
    case ID_ISSUED:
      cluster_issue_id (id, &cluster, host);
      break;
    case ID_TEXT:
      g_strlcpy (id, c->id_text, CLUSTER_TEXT_MAX);
      break;
    case ID_CALLER_FUTURE:
      cluster_make_caller_id (id, -120000);
      break;
    case ID_CALLER_OLD:
      cluster_make_caller_id (id, 700000);
      break;
    case ID_USED:
      run_valid_job (host, id, 2);
      break;
    case ID_NEVER_ISSUED:
      cluster_issue_id (id, &cluster, host);
      g_strlcpy (strrchr (id, '-') + 1, "7fffffff", 9);
      break;
    }
}

static void
run_bad_case (const struct bad_case *c, int host, int at)
{
  struct cluster_answer answer;
  char id[CLUSTER_TEXT_MAX];
  char good[CLUSTER_TEXT_MAX];
  char *body = make_body (c);
  const char *message;
  bool expected;
  int before;

  make_id (c, host, id);
  before = cluster_total_starts (&cluster);
  cluster_submit (&answer, &cluster, at, id, body);
  message = json_string_value (json_object_get (answer.root, "message"));
  expected
      = strcmp (answer.outcome, c->outcome) == 0
        && answer.http_status == c->http && answer.code == c->code
        && message != NULL
        && strstr (message, c->message_part == NULL ? id : c->message_part)
               != NULL;
  if (!expected)
    printf ("\n    %s: HTTP status %d, outcome \"%s\", code %d: %s", c->name,
            answer.http_status, answer.outcome, answer.code,
            message == NULL ? "-" : message);
  CU_ASSERT_TRUE (expected);
  CU_ASSERT_EQUAL (cluster_total_starts (&cluster), before);
  /* The daemon still runs jobs. */
  run_valid_job (at, good, 1);
  cluster_answer_clear (&answer);
  g_free (body);
}

static void
test_bad_input (void)
{
  cluster_load (&cluster);
  /* At the coordinator of the id, and at a host that forwards to it. */
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    for (int at = 0; at < 2; at++)
      run_bad_case (&bad[i], 0, at);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "bad input", test_bad_input },
    { "answers under faults of endpoints", test_faults },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("answers", tests);
}
