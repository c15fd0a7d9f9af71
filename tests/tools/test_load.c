/* Guards the judges of a load run: a reference schedule that is too slow or
 * an answer check that is too kind would pass a faulty daemon. */
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

static const double one[] = { 1 };
static const double three_one[] = { 1, 3 };
static const double ones[] = { 1, 1, 1 };
static const double four[] = { 4 };

/* Responses worked out by hand. */
static const struct schedule_case schedule_cases[] = {
  { "fastest slot first",
    CLAIRVOYANT_GREEDY,
    { { 1, 1 }, { 2, 1 } },
    2,
    { { 0, 1, one } },
    1,
    { 0.5 } },
  { "longest task to the fastest slot",
    CLAIRVOYANT_GREEDY,
    { { 1, 1 }, { 3, 1 } },
    2,
    { { 0, 2, three_one } },
    1,
    { 1 } },
  { "slots of one endpoint run side by side",
    CLAIRVOYANT_GREEDY,
    { { 1, 2 } },
    1,
    { { 0, 3, ones } },
    1,
    { 2 } },
  { "least work left goes first when a slot is free",
    CLAIRVOYANT_GREEDY,
    { { 1, 1 } },
    1,
    { { 0, 1, one }, { 0.1, 1, four }, { 0.2, 1, one } },
    3,
    { 1, 5.9, 1.8 } },
  { "greedy takes a slow slot at once",
    CLAIRVOYANT_GREEDY,
    { { 4, 1 }, { 1, 1 } },
    2,
    { { 0, 1, four }, { 0, 1, four } },
    2,
    { 1, 4 } },
  { "the other policy waits for the fast slot",
    CLAIRVOYANT_WAIT,
    { { 4, 1 }, { 1, 1 } },
    2,
    { { 0, 1, four }, { 0, 1, four } },
    2,
    { 1, 2 } },
  { "but takes the slow one when the wait is longer",
    CLAIRVOYANT_WAIT,
    { { 1.5, 1 }, { 1, 1 } },
    2,
    { { 0, 3, ones } },
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
            printf ("%s: job %zu took %g, not %g\n", c.name, j,
                    c.jobs[j].response, c.response[j]);
            CU_FAIL ("schedule differs");
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
  { "whole", 200, COMPLETE (FIRST "," SECOND), WORKLOAD_COMPLETE },
  { "one result missing", 200, COMPLETE (FIRST), WORKLOAD_WRONG },
  { "results swapped", 200, COMPLETE (SECOND "," FIRST), WORKLOAD_WRONG },
  { "result of another job", 200,
    COMPLETE (FIRST "," RESULT ("k", "1", "7", "1", "2.5")), WORKLOAD_WRONG },
  { "echo of another job", 200,
    COMPLETE (FIRST "," RESULT ("j", "1", "8", "1", "2.5")), WORKLOAD_WRONG },
  { "echo of another task", 200,
    COMPLETE (FIRST "," RESULT ("j", "1", "7", "0", "2.5")), WORKLOAD_WRONG },
  { "another payload", 200,
    COMPLETE (FIRST "," RESULT ("j", "1", "7", "1", "2.6")), WORKLOAD_WRONG },
  { "complete under another status", 502, COMPLETE (FIRST "," SECOND),
    WORKLOAD_WRONG },
  { "not run", 409, FAILED ("not_run", ",'tasks':['not_run','not_run']"),
    WORKLOAD_NOT_RUN },
  { "not run, yet a task ran", 409,
    FAILED ("not_run", ",'tasks':['not_run','ran']"), WORKLOAD_WRONG },
  { "unknown", 502, FAILED ("unknown", ",'tasks':['ran','unknown']"),
    WORKLOAD_UNKNOWN },
  { "state of one task missing", 502, FAILED ("unknown", ",'tasks':['ran']"),
    WORKLOAD_WRONG },
  { "failed with results", 502, FAILED ("unknown", ",'results':[]"),
    WORKLOAD_WRONG },
  { "failed under status 200", 200, FAILED ("unknown", ""), WORKLOAD_WRONG },
  { "no such outcome", 502, FAILED ("done", ""), WORKLOAD_WRONG },
  { "another id", 502, "{'id':'k','outcome':'unknown','code':-24}",
    WORKLOAD_WRONG },
  { "no code", 502, "{'id':'j','outcome':'unknown','code':0}",
    WORKLOAD_WRONG },
  { "cut off", 200, "{'id':'j','outcome':'comp", WORKLOAD_WRONG },
};

static void
test_answers (void)
{
  struct workload_task tasks[] = { { .ms = 1.5 }, { .ms = 2.5 } };
  for (size_t i = 0; i < sizeof answer_cases / sizeof answer_cases[0]; i++)
    {
      const struct answer_case *c = &answer_cases[i];
      struct workload_job job = { .task_count = 2, .tasks = tasks, .id = "j" };
      char *body = g_strdelimit (g_strdup (c->body), "'", '"');
      workload_check (&job, 7, c->status, body, strlen (body));
      if (job.outcome != c->outcome)
        {
          printf ("%s: judged %s\n", c->name,
                  workload_outcome_name (job.outcome));
          CU_FAIL ("answer judged wrongly");
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
