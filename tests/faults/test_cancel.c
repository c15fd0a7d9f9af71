/* Cancellation: queued tasks of a cancelled job never start, its answer
   agrees with the endpoints' counts, and an id cancelled before it was
   submitted never starts. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "faults/cluster.h"
#include "snipe/status.h"
#include "suite.h"

#define WAIT_MS 60000
#define WAVE 2000
#define WAVE_THREADS 8

static struct cluster cluster;

static void
ask (struct cluster_answer *out, int host, const char *method, const char *id,
     const char *query, const char *body)
{
  char path[CLUSTER_PATH];

  g_snprintf (path, sizeof path, "/v1/jobs/%s%s", id, query);
  cluster_send (out, &cluster, host, method, path, body, WAIT_MS);
}

struct one_case
{
  const char *name; /**< the failure that the case guards against */
  const char *mode; /**< of all endpoints but the first */
  const char *first;
  bool own_id;
  int tasks;
  int ms;
  int starts; /**< to wait for before cancelling; -1: before submitting */
  int at;     /**< hosts between the home and the one that cancels */
  const char *outcome;
};

static const struct one_case cases[] = {
  { "a queued task starts after cancel", "refuse", "refuse", false, 20, 50, 0,
    0, "not_run" },
  { "the same, cancelled at another host", "refuse", "refuse", false, 20, 50,
    0, 1, "not_run" },
  { "the same, with a caller's id", "refuse", "refuse", true, 20, 50, 0, 1,
    "not_run" },
  { "a partly run job called not run", "ok", "ok", false, 200, 300, 1, 0,
    "unknown" },
  { "the same, cancelled at another host", "ok", "ok", false, 200, 300, 1, 1,
    "unknown" },
  { "a task that waits for its retry called not run", "refuse", "fail", false,
    1, 50, 3, 0, "unknown" },
  { "an id cancelled first starts later", "ok", "ok", false, 20, 50, -1, 0,
    "not_run" },
  { "the same, cancelled at another host", "ok", "ok", false, 20, 50, -1, 1,
    "not_run" },
  { "the same, with a caller's id", "ok", "ok", true, 20, 50, -1, 1,
    "not_run" },
};

static void
run_one (const struct one_case *c)
{
  struct cluster_request request;
  struct cluster_answer cancel;
  struct cluster_answer again;
  char id[CLUSTER_TEXT];
  char text[CLUSTER_TEXT];
  char *body = cluster_job ("reorder", c->tasks, c->ms, true);
  int home = cluster_owner (&cluster, 0);
  int other = (home + c->at) % cluster.host_count;
  int starts;

  CU_ASSERT_TRUE_FATAL (home >= 0);
  if (c->own_id)
    cluster_own_id (id, 0);
  else
    cluster_issue (id, &cluster, home);
  cluster_mode (&cluster, 1, c->mode, 1);
  g_snprintf (text, sizeof text, "{\"endpoint\":\"ep-000\",\"mode\":\"%s\"}",
              c->first);
  cluster_endpoints (&cluster, text);
  if (c->starts >= 0)
    {
      /* Answered with 202, so that the job is known to be accepted. */
      ask (&again, home, "PUT", id, "?wait=0", body);
      cluster_answer_clear (&again);
      CU_ASSERT_TRUE (cluster_wait_starts (&cluster, id, c->starts, WAIT_MS));
      cluster_submit_async (&request, &cluster, home, id, body);
    }
  ask (&cancel, other, "DELETE", id, "", "");
  if (c->starts >= 0)
    cluster_join (&request);
  else
    memset (&request, 0, sizeof request);
  starts = cluster_job_starts (&cluster, id);
  CU_ASSERT_TRUE (cluster_recover (&cluster, "reorder"));
  ask (&again, other, "PUT", id, "", body);
  printf ("\n    %s: \"%s\" code %d, %d starts", c->name, cancel.outcome,
          cancel.code, starts);
  CU_ASSERT_STRING_EQUAL (cancel.outcome, c->outcome);
  CU_ASSERT_EQUAL (cancel.code, SNIPE_E_CANCELLED);
  CU_ASSERT_STRING_EQUAL (again.outcome, c->outcome);
  if (c->starts >= 0)
    CU_ASSERT_STRING_EQUAL (request.answer.outcome, c->outcome);
  CU_ASSERT_EQUAL (cluster_answer_faults (&cluster, id, c->tasks, &cancel), 0);
  CU_ASSERT_EQUAL (cluster_answer_faults (&cluster, id, c->tasks, &again), 0);
  CU_ASSERT_EQUAL (cluster_job_starts (&cluster, id), starts);
  cluster_answer_clear (&cancel);
  cluster_answer_clear (&again);
  cluster_answer_clear (&request.answer);
  g_free (body);
}

static void
test_one (void)
{
  cluster_load (&cluster);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    run_one (&cases[i]);
}

static char wave_ids[WAVE][CLUSTER_TEXT];
static int wave_next;
static char *wave_body;

static void *
submit_wave (void *arg)
{
  int i;

  (void)arg;
  while ((i = __atomic_fetch_add (&wave_next, 1, __ATOMIC_RELAXED)) < WAVE)
    {
      struct cluster_answer answer;

      cluster_issue (wave_ids[i], &cluster, i % 2);
      ask (&answer, i % 2, "PUT", wave_ids[i], "?wait=0", wave_body);
      cluster_answer_clear (&answer);
    }
  return NULL;
}

/** A wave of jobs of two homes, most of them queued, cancelled in one call. */
static void
test_wave (void)
{
  pthread_t threads[WAVE_THREADS];
  struct cluster_answer cancel;
  json_t *list = json_array ();
  json_t *root = json_pack ("{s:o}", "ids", list);
  char *text;
  int started = 0;
  int not_run = 0;

  cluster_load (&cluster);
  wave_body = cluster_job ("reorder", 2, 1000, false);
  for (int i = 0; i < WAVE_THREADS; i++)
    pthread_create (&threads[i], NULL, submit_wave, NULL);
  for (int i = 0; i < WAVE_THREADS; i++)
    pthread_join (threads[i], NULL);
  for (int i = 0; i < WAVE; i++)
    json_array_append_new (list, json_string (wave_ids[i]));
  text = json_dumps (root, JSON_COMPACT);
  cluster_send (&cancel, &cluster, 0, "POST", "/v1/cancel", text, WAIT_MS);
  CU_ASSERT_EQUAL (cancel.http, 200);
  for (int i = 0; i < WAVE; i++)
    {
      struct cluster_answer answer;
      int starts;

      /* Waits until the tasks that had started have ended. */
      ask (&answer, i % 2, "GET", wave_ids[i], "", NULL);
      starts = cluster_job_starts (&cluster, wave_ids[i]);
      started += starts > 0;
      not_run += strcmp (answer.outcome, "not_run") == 0;
      CU_ASSERT_EQUAL (
          cluster_answer_faults (&cluster, wave_ids[i], 2, &answer), 0);
      cluster_answer_clear (&answer);
    }
  printf ("\n    %d jobs: %d started, %d not run", WAVE, started, not_run);
  CU_ASSERT_TRUE (not_run > 0 && started + not_run <= WAVE);
  /* All slots are free now; what starts after cancel would start here. */
  cluster_sleep_ms (500);
  for (int i = 0, later = 0; i < WAVE; i++)
    {
      later += cluster_job_starts (&cluster, wave_ids[i]) > 0;
      if (i == WAVE - 1)
        CU_ASSERT_EQUAL (later, started);
    }
  cluster_answer_clear (&cancel);
  g_free (wave_body);
  free (text);
  json_decref (root);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "one job", test_one },
    { "a wave of jobs", test_wave },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("cancel", tests);
}
