/* Owner whose link is slow, or whose endpoints are: requests are answered
 * late, but they are answered. */
#include "pool/model.h"
#include "suite.h"

#define OWNER 0
#define ENDPOINTS 24
#define TASK_TIME (200 * SNIPE_MS)

static snipe_time
fixed_duration (const char *task)
{
  (void)task;
  return TASK_TIME;
}

struct load_case
{
  const char *name;
  int64_t link_bytes_per_ms; /**< 0: unlimited */
  snipe_time start_delay;    /**< of every endpoint */
  snipe_time job_interval;
  uint32_t jobs;
  uint32_t resends_max; /**< requests that may be sent again */
};

static void
play (const struct load_case *row, struct model *model)
{
  model_init (model, ENDPOINTS, 30000, fixed_duration);
  model->link_bytes_per_ms = row->link_bytes_per_ms;
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    model->endpoints[i].start_delay = row->start_delay;
  model_claim (model, OWNER, 1 << 20, ENDPOINTS);
  snipe_pool_directory_synced (model->owners[OWNER].pool);
  model_advance (model, model->now + 2 * SNIPE_S);
  for (uint64_t i = 1; i <= row->jobs; i++)
    {
      char name[20];
      struct model_job job = { .coordinator = 1,
                               .number = i,
                               .job = name,
                               .count = 4,
                               .estimate = TASK_TIME,
                               .soft_deadline = 2 * TASK_TIME,
                               .hard_deadline = 3 * SNIPE_S,
                               .caller_deadline = 3 * SNIPE_S };

      snprintf (name, sizeof name, "%016" G_GINT64_MODIFIER "x", i);
      model_submit (model, OWNER, &job);
      model_advance (model, model->now + row->job_interval);
    }
  model_advance (model, model->now + 3 * SNIPE_S);
}

/* Guards against timeouts that are shorter than the link's or the endpoints'
 * delay: each request was sent again and each run stopped, which filled the
 * link for good (120 endpoints behind 2 Mbit/s: 43,256 stop requests for 933
 * tasks on a day without a fault). */
static void
test_late_answers (void)
{
  const struct load_case cases[] = {
    { "fast link", 0, 0, 50 * SNIPE_MS, 60, 0 },
    /* All claims and polls fit, but a burst of them is late. */
    { "link of 2 Mbit/s", 250, 0, 50 * SNIPE_MS, 60, 0 },
    { "link of 1 Mbit/s", 125, 0, 100 * SNIPE_MS, 60, 12 },
    { "link of 0.5 Mbit/s", 62, 0, 250 * SNIPE_MS, 40, 24 },
    { "endpoints answer starts after 150 ms", 0, 150 * SNIPE_MS,
      100 * SNIPE_MS, 60, 40 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct load_case *row = &cases[i];
      struct model model;
      uint32_t complete = 0;

      play (row, &model);
      for (guint k = 0; k < model.results->len; k++)
        complete += g_array_index (model.results, struct model_result, k).code
                    == SNIPE_OK;
      if (complete != row->jobs || model.resends > row->resends_max
          || model.stop_requests > 0)
        printf ("\n  %s: %u of %u jobs complete, %u starts, %u start "
                "requests, %u stop requests, %u resends",
                row->name, complete, row->jobs, model.starts,
                model.start_requests, model.stop_requests, model.resends);
      CU_ASSERT_EQUAL (complete, row->jobs);
      CU_ASSERT_EQUAL (model.starts, 4 * row->jobs);
      CU_ASSERT_EQUAL (model.stop_requests, 0);
      CU_ASSERT_TRUE (model.resends <= row->resends_max);
      CU_ASSERT_EQUAL (model.duplicate_runs, 0);
      CU_ASSERT_EQUAL (model.over_capacity, 0);
      model_clear (&model);
    }
}

/* Guards against resends that grow without bound while endpoints are silent:
 * stops were sent every 60 ms, up to 513 for one task. */
static void
test_silent_endpoints (void)
{
  const snipe_time silence = 10 * SNIPE_S;
  const struct load_case load
      = { "", 0, 0, 20 * SNIPE_MS, ENDPOINTS, UINT32_MAX };
  struct model model;
  uint32_t first;
  uint32_t before;

  play (&load, &model);
  before = model.start_requests + model.stop_requests + model.polls;
  first = before - model.resends;
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    model.endpoints[i].unresponsive = true;
  for (uint64_t i = 1; i <= ENDPOINTS; i++)
    {
      char name[20];
      struct model_job job = { .coordinator = 2,
                               .number = 1000 + i,
                               .job = name,
                               .count = 2,
                               .estimate = TASK_TIME,
                               .soft_deadline = 2 * TASK_TIME,
                               .hard_deadline = 3 * SNIPE_S,
                               .caller_deadline = 3 * SNIPE_S };

      snprintf (name, sizeof name, "%016" G_GINT64_MODIFIER "x", 1000 + i);
      model_submit (&model, OWNER, &job);
    }
  model_advance (&model, model.now + silence);
  /* A stock of 100, a fifth of the first requests, and two per endpoint and
   * second. */
  CU_ASSERT_TRUE (model.resends
                  <= 100 + first / 5
                         + 2 * ENDPOINTS * (uint32_t)(silence / SNIPE_S));
  model_clear (&model);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "late answers", test_late_answers },
    { "silent endpoints", test_silent_endpoints },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("slow_link", tests);
}
