/* Cancellation: queued tasks of a cancelled job never start, its answer agrees
   with the endpoints' counts of starts, and a job whose id was cancelled
   before it was submitted never starts. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "faults/cluster.h"
#include "snipe/status.h"
#include "suite.h"

#define WAIT_MS 60000
#define JOBS 2000
#define SUBMIT_THREADS 8

static struct cluster cluster;

static void
send_job_request (struct cluster_answer *out, int host, const char *method,
                  const char *id, const char *query, const char *body)
{
  char path[CLUSTER_PATH_MAX];

  g_snprintf (path, sizeof path, "/v1/jobs/%s%s", id, query);
  cluster_send (out, &cluster, host, method, path, body, WAIT_MS);
}

struct one_case
{
  const char *name;       /**< defect of the daemon that the case would show */
  const char *mode;       /**< of all endpoints but ep-000 */
  const char *first_mode; /**< of ep-000 */
  bool caller_id;
  int tasks;
  int ms;
  int starts_before_cancel; /**< to wait for; -1: cancels before submitting */
  /** From the coordinator to the host that gets the cancellation. */
  int cancel_host_offset;
  const char *outcome;
};

static const struct one_case cases[] = {
  { "queued task starts after its cancellation", "refuse", "refuse", false, 20,
    50, 0, 0, "not_run" },
  { "the same, cancelled at another host", "refuse", "refuse", false, 20, 50,
    0, 1, "not_run" },
  { "the same, with a caller-supplied id", "refuse", "refuse", true, 20, 50, 0,
    1, "not_run" },
  { "job that ran in part reported as not run", "ok", "ok", false, 200, 300, 1,
    0, "unknown" },
  { "the same, cancelled at another host", "ok", "ok", false, 200, 300, 1, 1,
    "unknown" },
  { "task that waits for its retry reported as not run", "refuse", "fail",
    false, 1, 50, 3, 0, "unknown" },
  { "job starts although its id was cancelled before", "ok", "ok", false, 20,
    50, -1, 0, "not_run" },
  { "the same, cancelled at another host", "ok", "ok", false, 20, 50, -1, 1,
    "not_run" },
  { "the same, with a caller-supplied id", "ok", "ok", true, 20, 50, -1, 1,
    "not_run" },
};

static void
run_one (const struct one_case *c)
{
  struct cluster_request request;
  struct cluster_answer cancel;
  struct cluster_answer again;
  char id[CLUSTER_TEXT_MAX];
  char text[CLUSTER_TEXT_MAX];
  char *body = cluster_simple_job_body ("reorder", c->tasks, c->ms, true);
  int coordinator = cluster_endpoint_owner (&cluster, 0);
  int other = (coordinator + c->cancel_host_offset) % cluster.host_count;
  int starts;

  CU_ASSERT_TRUE_FATAL (coordinator >= 0);
  if (c->caller_id)
    cluster_make_caller_id (id, 0);
  else
    cluster_issue_id (id, &cluster, coordinator);
  cluster_set_modes (&cluster, 1, c->mode, 1);
  g_snprintf (text, sizeof text, "{\"endpoint\":\"ep-000\",\"mode\":\"%s\"}",
              c->first_mode);
  cluster_endpoints_control (&cluster, text);
  if (c->starts_before_cancel >= 0)
    {
      /* The answer 202 shows that the job has been accepted. */
      send_job_request (&again, coordinator, "PUT", id, "?wait=0", body);
      cluster_answer_clear (&again);
      CU_ASSERT_TRUE (cluster_wait_starts (&cluster, id,
                                           c->starts_before_cancel, WAIT_MS));
      cluster_submit_async (&request, &cluster, coordinator, id, body);
    }
  send_job_request (&cancel, other, "DELETE", id, "", "");
  if (c->starts_before_cancel >= 0)
    cluster_join (&request);
  else
    memset (&request, 0, sizeof request);
  starts = cluster_job_starts (&cluster, id);
  CU_ASSERT_TRUE (cluster_recover_endpoints (&cluster, "reorder"));
  send_job_request (&again, other, "PUT", id, "", body);
  printf ("\n    %s: outcome \"%s\", code %d, %d starts", c->name,
          cancel.outcome, cancel.code, starts);
  CU_ASSERT_STRING_EQUAL (cancel.outcome, c->outcome);
  CU_ASSERT_EQUAL (cancel.code, SNIPE_E_CANCELLED);
  CU_ASSERT_STRING_EQUAL (again.outcome, c->outcome);
  if (c->starts_before_cancel >= 0)
    CU_ASSERT_STRING_EQUAL (request.answer.outcome, c->outcome);
  CU_ASSERT_EQUAL (
      cluster_answer_error_count (&cluster, id, c->tasks, &cancel), 0);
  CU_ASSERT_EQUAL (cluster_answer_error_count (&cluster, id, c->tasks, &again),
                   0);
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

static char job_ids[JOBS][CLUSTER_TEXT_MAX];
static int next_job;
static char *job_body;

static void *
submit_jobs (void *arg)
{
  int i;

  (void)arg;
  while ((i = __atomic_fetch_add (&next_job, 1, __ATOMIC_RELAXED)) < JOBS)
    {
      struct cluster_answer answer;

      cluster_issue_id (job_ids[i], &cluster, i % 2);
      send_job_request (&answer, i % 2, "PUT", job_ids[i], "?wait=0",
                        job_body);
      cluster_answer_clear (&answer);
    }
  return NULL;
}

/** Cancels many jobs of two coordinators, most of them queued, in one call. */
static void
test_many_jobs (void)
{
  pthread_t threads[SUBMIT_THREADS];
  struct cluster_answer cancel;
  json_t *list = json_array ();
  json_t *root = json_pack ("{s:o}", "ids", list);
  char *text;
  int started = 0;
  int not_run = 0;

  cluster_load (&cluster);
  job_body = cluster_simple_job_body ("reorder", 2, 1000, false);
  for (int i = 0; i < SUBMIT_THREADS; i++)
    pthread_create (&threads[i], NULL, submit_jobs, NULL);
  for (int i = 0; i < SUBMIT_THREADS; i++)
    pthread_join (threads[i], NULL);
  for (int i = 0; i < JOBS; i++)
    json_array_append_new (list, json_string (job_ids[i]));
  text = json_dumps (root, JSON_COMPACT);
  cluster_send (&cancel, &cluster, 0, "POST", "/v1/cancel", text, WAIT_MS);
  CU_ASSERT_EQUAL (cancel.http_status, 200);
  for (int i = 0; i < JOBS; i++)
    {
      struct cluster_answer answer;
      int starts;

      /* Waits until the started tasks have ended. */
      send_job_request (&answer, i % 2, "GET", job_ids[i], "", NULL);
      starts = cluster_job_starts (&cluster, job_ids[i]);
      started += starts > 0;
      not_run += strcmp (answer.outcome, "not_run") == 0;
      CU_ASSERT_EQUAL (
          cluster_answer_error_count (&cluster, job_ids[i], 2, &answer), 0);
      cluster_answer_clear (&answer);
    }
  printf ("\n    %d jobs: %d started, %d not run", JOBS, started, not_run);
  CU_ASSERT_TRUE (not_run > 0 && started + not_run <= JOBS);
  /* All slots are free now: a task that wrongly stayed queued would start. */
  cluster_sleep_ms (500);
  for (int i = 0, later = 0; i < JOBS; i++)
    {
      later += cluster_job_starts (&cluster, job_ids[i]) > 0;
      if (i == JOBS - 1)
        CU_ASSERT_EQUAL (later, started);
    }
  cluster_answer_clear (&cancel);
  g_free (job_body);
  free (text);
  json_decref (root);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "one job", test_one },
    { "many jobs", test_many_jobs },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("cancel", tests);
}
