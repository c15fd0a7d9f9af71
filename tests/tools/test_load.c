/* Tests the checks of a load run: with a reference schedule that is too slow,
 * or an answer check that accepts wrong answers, a faulty daemon would pass.
 */
#include "suite.h"
#include <math.h>
#include <string.h>
#include "load/clairvoyant.h"
#include "load/workload.h"

struct schedule_case
{
  const char *name;
  enum clairvoyant_policy policy;
  struct clairvoyant_endpoint endpoints[3];
  size_t endpoint_count;
  struct clairvoyant_job jobs[3];
  size_t job_count;
  double response[3];
};

static const double work_1[] = { 1 };
static const double work_1_3[] = { 1, 3 };
static const double work_1_1_1[] = { 1, 1, 1 };
static const double work_4[] = { 4 };

/* The expected responses are computed by hand. */
static const struct schedule_case schedule_cases[] = {
  { "a task goes to the fastest slot",
    CLAIRVOYANT_GREEDY,
    { { 1, 1 }, { 2, 1 } },
    2,
    { { 0, 1, work_1 } },
    1,
    { 0.5 } },
  { "the longest task goes to the fastest slot",
    CLAIRVOYANT_GREEDY,
    { { 1, 1 }, { 3, 1 } },
    2,
    { { 0, 2, work_1_3 } },
    1,
    { 1 } },
  { "slots of one endpoint run concurrently",
    CLAIRVOYANT_GREEDY,
    { { 1, 2 } },
    1,
    { { 0, 3, work_1_1_1 } },
    1,
    { 2 } },
  { "the job with the least work left gets the free slot",
    CLAIRVOYANT_GREEDY,
    { { 1, 1 } },
    1,
    { { 0, 1, work_1 }, { 0.1, 1, work_4 }, { 0.2, 1, work_1 } },
    3,
    { 1, 5.9, 1.8 } },
  { "greedy policy uses a free slow slot",
    CLAIRVOYANT_GREEDY,
    { { 4, 1 }, { 1, 1 } },
    2,
    { { 0, 1, work_4 }, { 0, 1, work_4 } },
    2,
    { 1, 4 } },
  { "waiting policy waits for the fast slot",
    CLAIRVOYANT_WAIT,
    { { 4, 1 }, { 1, 1 } },
    2,
    { { 0, 1, work_4 }, { 0, 1, work_4 } },
    2,
    { 1, 2 } },
  { "waiting policy uses the slow slot if waiting takes longer",
    CLAIRVOYANT_WAIT,
    { { 1.5, 1 }, { 1, 1 } },
    2,
    { { 0, 3, work_1_1_1 } },
    1,
    { 4 / 3.0 } },
};

static void
test_schedule (void)
{
  for (size_t i = 0; i < sizeof schedule_cases / sizeof schedule_cases[0]; i++)
    {
      struct schedule_case c = schedule_cases[i];
      CU_ASSERT_EQUAL (clairvoyant_run (c.jobs, c.job_count, c.endpoints,
                                        c.endpoint_count, c.policy),
                       0);
      for (size_t j = 0; j < c.job_count; j++)
        if (fabs (c.jobs[j].response - c.response[j]) > 1e-6)
          {
            printf ("%s: response of job %zu is %g, expected %g\n", c.name, j,
                    c.jobs[j].response, c.response[j]);
            CU_FAIL ("wrong response in a reference schedule");
          }
    }
  CU_ASSERT_EQUAL (clairvoyant_run (NULL, 0, NULL, 0, CLAIRVOYANT_GREEDY), -1);
}

struct answer_case
{
  const char *name;
  long status;
  const char *body;
  enum workload_outcome outcome;
};

#define RESULT(id, index, job, echo, ms)                                      \
  "{'task':'" id "/" index "','echo':{'ms':" ms ",'job':" job                 \
  ",'index':" echo "}}"
#define FIRST RESULT ("j", "0", "7", "0", "1.5")
#define SECOND RESULT ("j", "1", "7", "1", "2.5")
#define COMPLETE(results)                                                     \
  "{'id':'j','outcome':'complete','code':0,'message':'','results':[" results  \
  "]}"
#define FAILED(outcome, rest)                                                 \
  "{'id':'j','outcome':'" outcome "','code':-24,'message':'x'" rest "}"

static const struct answer_case answer_cases[] = {
  { "complete", 200, COMPLETE (FIRST "," SECOND), WORKLOAD_COMPLETE },
  { "one result missing", 200, COMPLETE (FIRST), WORKLOAD_WRONG },
  { "results swapped", 200, COMPLETE (SECOND "," FIRST), WORKLOAD_WRONG },
  { "result of another job", 200,
    COMPLETE (FIRST "," RESULT ("k", "1", "7", "1", "2.5")), WORKLOAD_WRONG },
  { "payload of another job", 200,
    COMPLETE (FIRST "," RESULT ("j", "1", "8", "1", "2.5")), WORKLOAD_WRONG },
  { "payload of another task", 200,
    COMPLETE (FIRST "," RESULT ("j", "1", "7", "0", "2.5")), WORKLOAD_WRONG },
  { "payload with another duration", 200,
    COMPLETE (FIRST "," RESULT ("j", "1", "7", "1", "2.6")), WORKLOAD_WRONG },
  { "complete with HTTP status 502", 502, COMPLETE (FIRST "," SECOND),
    WORKLOAD_WRONG },
  { "not run", 409, FAILED ("not_run", ",'tasks':['not_run','not_run']"),
    WORKLOAD_NOT_RUN },
  { "not run, but a task ran", 409,
    FAILED ("not_run", ",'tasks':['not_run','ran']"), WORKLOAD_WRONG },
  { "unknown", 502, FAILED ("unknown", ",'tasks':['ran','unknown']"),
    WORKLOAD_UNKNOWN },
  { "state of one task missing", 502, FAILED ("unknown", ",'tasks':['ran']"),
    WORKLOAD_WRONG },
  { "failed with results", 502, FAILED ("unknown", ",'results':[]"),
    WORKLOAD_WRONG },
  { "failed with HTTP status 200", 200, FAILED ("unknown", ""),
    WORKLOAD_WRONG },
  { "invalid outcome", 502, FAILED ("done", ""), WORKLOAD_WRONG },
  { "id of another job", 502, "{'id':'k','outcome':'unknown','code':-24}",
    WORKLOAD_WRONG },
  { "failed without an error code", 502,
    "{'id':'j','outcome':'unknown','code':0}", WORKLOAD_WRONG },
  { "truncated", 200, "{'id':'j','outcome':'comp", WORKLOAD_WRONG },
};

static void
test_answers (void)
{
  struct workload_task tasks[]
      = { { .duration_ms = 1.5 }, { .duration_ms = 2.5 } };
  for (size_t i = 0; i < sizeof answer_cases / sizeof answer_cases[0]; i++)
    {
      const struct answer_case *c = &answer_cases[i];
      struct workload_job job = { .task_count = 2, .tasks = tasks, .id = "j" };
      char *body = g_strdelimit (g_strdup (c->body), "'", '"');
      workload_check_answer (&job, 7, c->status, body, strlen (body));
      if (job.outcome != c->outcome)
        {
          printf ("%s: wrong outcome %s\n", c->name,
                  workload_outcome_name (job.outcome));
          CU_FAIL ("wrong outcome of an answer");
        }
      g_free (body);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "reference schedules", test_schedule },
    { "answers", test_answers },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("load", tests);
}
