/* Guards against what a pool does at an endpoint that has restarted under its
 * id while no answer has named the new incarnation: the platform's endpoints
 * name it only in the answers to poll requests. */
#include "pool/model.h"
#include "suite.h"

#define OWNER 0
#define SHORT_TIME (60 * SNIPE_MS)
#define LONG_TIME (2 * SNIPE_S)
#define TASK_CPU 20000

/* Tasks whose names begin with "a" are long. */
static snipe_time
task_duration (const char *task)
{
  return task[0] == 'a' ? LONG_TIME : SHORT_TIME;
}

static bool answers_lost;
static uint32_t late_start; /**< number of the start that is answered late */

static bool
disturb_answers (struct model *model, struct model_event *event)
{
  (void)model;
  if (event->kind == MODEL_START_ANSWER || event->kind == MODEL_STOP_ANSWER)
    event->started_ms = 0;
  /* Later than the end of the run, but in time. */
  if (event->kind == MODEL_START_ANSWER && model->start_requests == late_start)
    event->time += SHORT_TIME + 10 * SNIPE_MS;
  return event->kind <= MODEL_POLL || !answers_lost;
}

static void
start_model (struct model *model)
{
  model_init (model, 1, TASK_CPU, task_duration);
  model->network = MODEL_CONNECTIONS;
  model->forgets_ends = true;
  model->on_message = disturb_answers;
  answers_lost = false;
  late_start = 0;
  model_claim (model, OWNER, 1 << 20, 1);
  snipe_pool_directory_synced (model->owners[OWNER].pool);
  model_advance (model, model->now + 20 * SNIPE_MS);
}

static void
submit (struct model *model, uint64_t number, const char *name)
{
  struct model_job job = { .coordinator = 1,
                           .number = number,
                           .job = name,
                           .count = 1,
                           .estimate = task_duration (name),
                           .soft_deadline = 2 * LONG_TIME,
                           .hard_deadline = 10 * LONG_TIME,
                           .caller_deadline = 10 * LONG_TIME };

  model_submit (model, OWNER, &job);
}

/* The endpoint restarts; a poll request that waits there is not answered. */
static void
restart (struct model *model)
{
  model->endpoints[0].poll_pending = false;
  model_restart (model, 0);
}

/* Guards against running a task again whose run has ended at an incarnation
 * that the owner did not know: it acknowledged the end by the numbers of the
 * earlier incarnation. The clock in the answer to the start tells that another
 * incarnation has answered. */
static void
test_clock_tells_restart (void)
{
  static const struct
  {
    const char *name;
    bool anew;
    int64_t ahead_ms; /**< of the clock of the earlier incarnation */
  } cases[] = {
    { "clock starts anew", true, 0 },
    { "clock is behind", false, -100 },
    { "clock is ahead", false, 300 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      unsigned int before = CU_get_number_of_failures ();
      const struct model_result *result;
      struct model model;
      int64_t clock_ms;

      start_model (&model);
      submit (&model, 1, "b123456789abcdef");
      model_advance (&model, model.now + SHORT_TIME + 10 * SNIPE_MS);
      CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 1));
      clock_ms = model_clock (&model, &model.endpoints[0]);
      restart (&model);
      if (!cases[i].anew)
        model.endpoints[0].clock_base_ms = clock_ms + cases[i].ahead_ms;
      late_start = 2;
      submit (&model, 2, "c123456789abcdef");
      model_advance (&model, model.now + SNIPE_S);
      snipe_pool_endpoint_set (model.owners[OWNER].pool,
                               &model.endpoints[0].entry, model.now);
      model_advance (&model, model.now + 2 * SNIPE_S);
      result = model_find_result (&model, 2);
      CU_ASSERT_TRUE (result != NULL && result->done == 1);
      CU_ASSERT_EQUAL (model.starts, 2);
      if (CU_get_number_of_failures () > before)
        printf ("  %s: %u starts\n", cases[i].name, model.starts);
      model_clear (&model);
    }
}

/* Guards against taking the clock of an incarnation for that of another one:
 * a slow clock and answers that are late or overtake each other are no
 * restart. */
static void
test_no_restart (void)
{
  static const double rates[] = { 0.98, 1.0 };

  for (size_t i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct model model;

      start_model (&model);
      model.endpoints[0].clock_rate = rates[i];
      submit (&model, 1, "a123456789abcdef");
      model_advance (&model, model.now + 100 * SNIPE_MS);
      late_start = 2;
      submit (&model, 2, "b123456789abcdef");
      model_advance (&model, model.now + 10 * SNIPE_MS);
      submit (&model, 3, "c123456789abcdef");
      model_advance (&model, model.now + 60 * SNIPE_S);
      submit (&model, 4, "d123456789abcdef");
      model_advance (&model, model.now + SNIPE_S);
      CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 4));
      CU_ASSERT_EQUAL (model.starts, 4);
      CU_ASSERT_EQUAL (model.assumed_ends[SNIPE_ASSUMED_MISSING], 0);
      model_clear (&model);
    }
}

/* Guards against acknowledging ends at an endpoint that does not answer: it
 * may have restarted, and the ends of its new incarnation were lost. */
static void
test_silent_endpoint (void)
{
  static const struct
  {
    const char *name;
    bool clock_goes_on; /**< like that of the earlier incarnation */
  } cases[] = {
    { "clock starts anew", false },
    { "clock goes on", true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      unsigned int before = CU_get_number_of_failures ();
      const struct model_result *result;
      struct model_endpoint *endpoint;
      struct model model;
      int64_t clock_ms;

      start_model (&model);
      endpoint = &model.endpoints[0];
      submit (&model, 1, "b123456789abcdef");
      model_advance (&model, model.now + 200 * SNIPE_MS);
      submit (&model, 2, "a123456789abcdef");
      model_advance (&model, model.now + 50 * SNIPE_MS);
      /* Answered while the poll request for the task before waits. */
      submit (&model, 3, "a23456789abcdef0");
      model_advance (&model, model.now + 20 * SNIPE_MS);
      CU_ASSERT_EQUAL (endpoint->run_count, 2);
      clock_ms = model_clock (&model, endpoint);
      restart (&model);
      if (cases[i].clock_goes_on)
        endpoint->clock_base_ms = clock_ms;
      answers_lost = true;
      endpoint->drops_stops = true;
      submit (&model, 4, "c123456789abcdef");
      /* Until that poll request is overdue. */
      model_advance (&model, model.now + 500 * SNIPE_MS);
      CU_ASSERT_EQUAL (endpoint->last_end, 1);
      answers_lost = false;
      model_advance (&model, model.now + 200 * SNIPE_MS);
      endpoint->drops_stops = false;
      model_advance (&model, model.now + 2 * SNIPE_S);
      result = model_find_result (&model, 4);
      CU_ASSERT_TRUE (result != NULL && result->done == 1);
      /* The others start again. */
      snipe_pool_endpoint_set (model.owners[OWNER].pool, &endpoint->entry,
                               model.now);
      model_advance (&model, model.now + 3 * LONG_TIME);
      for (uint64_t number = 1; number <= 4; number++)
        CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, number));
      CU_ASSERT_EQUAL (model.duplicate_runs, 0);
      CU_ASSERT_EQUAL (model.starts, 6);
      /* Acknowledged once the endpoint has answered. */
      CU_ASSERT_EQUAL (endpoint->forgotten_end, endpoint->last_end);
      if (CU_get_number_of_failures () > before)
        printf ("  %s: %u starts\n", cases[i].name, model.starts);
      model_clear (&model);
    }
}

/* Guards against ends of a new incarnation that are never acknowledged: the
 * poll request that told of the restart was taken to have acknowledged as many
 * as the earlier incarnation had reported. */
static void
test_acknowledged_after_restart (void)
{
  struct model_endpoint *endpoint;
  struct model model;

  start_model (&model);
  endpoint = &model.endpoints[0];
  submit (&model, 1, "b123456789abcdef");
  model_advance (&model, model.now + 200 * SNIPE_MS);
  submit (&model, 2, "b23456789abcdef0");
  model_advance (&model, model.now + 200 * SNIPE_MS);
  submit (&model, 3, "a123456789abcdef");
  model_advance (&model, model.now + 50 * SNIPE_MS);
  CU_ASSERT_TRUE (endpoint->poll_pending);
  /* Answers that poll request. */
  model_restart (&model, 0);
  snipe_pool_endpoint_set (model.owners[OWNER].pool, &endpoint->entry,
                           model.now);
  model_advance (&model, model.now + LONG_TIME + 3 * SNIPE_S);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 3));
  CU_ASSERT_EQUAL (endpoint->last_end, 1);
  CU_ASSERT_EQUAL (endpoint->forgotten_end, 1);
  model_clear (&model);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "clock tells of a restart", test_clock_tells_restart },
    { "no restart", test_no_restart },
    { "silent endpoint", test_silent_endpoint },
    { "acknowledged after a restart", test_acknowledged_after_restart },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("unnamed_restart", tests);
}
