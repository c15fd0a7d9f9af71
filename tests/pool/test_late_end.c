/* Guards against a task that is started again although an endpoint has
 * reported that it is done: its run was not known to the owner any more, or no
 * batch had it yet. */
#include "pool/model.h"
#include "suite.h"

#define FIRST 0
#define SECOND 1
/* Shorter than a lease, so that a run ends by itself while its owner hears
 * nothing. */
#define TASK_TIME (900 * SNIPE_MS)
#define TASK_CPU 30000
#define JOB "0123456789abcdef"

static snipe_time
task_duration (const char *task)
{
  (void)task;
  return TASK_TIME;
}

static void
start_model (struct model *model, uint32_t endpoints)
{
  model_init (model, endpoints, TASK_CPU, task_duration);
  model_claim (model, FIRST, 1 << 20, endpoints);
  snipe_pool_directory_synced (model->owners[FIRST].pool);
  model_advance (model, model->now + 20 * SNIPE_MS);
}

static struct model_job
job (const char *name, uint64_t number, uint32_t count)
{
  return (struct model_job){ .coordinator = 1,
                             .number = number,
                             .job = name,
                             .count = count,
                             .estimate = TASK_TIME,
                             .soft_deadline = 2 * TASK_TIME,
                             .hard_deadline = 10 * TASK_TIME,
                             .caller_deadline = 10 * TASK_TIME };
}

/* Guards against a new owner that drops the end of a run it has found, because
 * the batch is sent to it later. */
static void
test_end_before_batch (void)
{
  static const struct
  {
    const char *name;
    snipe_time claimed_at; /**< since the submission */
    snipe_time resent_at;  /**< the same */
  } cases[] = {
    { "found, ends after the batch arrives", 600 * SNIPE_MS, 700 * SNIPE_MS },
    { "found, ends before the batch arrives", 600 * SNIPE_MS, 950 * SNIPE_MS },
    { "ends before the claim", 920 * SNIPE_MS, 950 * SNIPE_MS },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model_job sent = job (JOB, 1, 1);
      unsigned int before = CU_get_number_of_failures ();
      const struct model_result *result;
      struct model model;
      snipe_time begin;

      start_model (&model, 1);
      begin = model.now;
      model_submit (&model, FIRST, &sent);
      model_advance (&model, begin + 550 * SNIPE_MS);
      sent.resent = true;
      sent.endpoint_digest = model_digest (&model, FIRST);
      model_release (&model, FIRST);
      model_advance (&model, begin + cases[i].claimed_at);
      model_claim (&model, SECOND, 2 << 20, 1);
      snipe_pool_directory_synced (model.owners[SECOND].pool);
      model_advance (&model, begin + cases[i].resent_at);
      model_submit (&model, SECOND, &sent);
      model_advance (&model, begin + TASK_TIME + 100 * SNIPE_MS);
      result = model_find_result (&model, 1);
      CU_ASSERT_PTR_NOT_NULL (result);
      CU_ASSERT_TRUE (result != NULL && result->done == 1);
      CU_ASSERT_EQUAL (model.starts, 1);
      CU_ASSERT_TRUE (snipe_pool_idle (model.owners[SECOND].pool));
      if (CU_get_number_of_failures () > before)
        printf ("  %s: %u starts\n", cases[i].name, model.starts);
      model_clear (&model);
    }
}

#define HELD_UP_UNTIL (2 * SNIPE_S)

static snipe_time held_up_from;
static uint32_t first_endpoint;
static bool starts_lost;

/* Holds up the answers of the first endpoint of a task, and may lose later
 * starts. */
static bool
hold_up_answers (struct model *model, struct model_event *event)
{
  if (event->kind == MODEL_START)
    return !starts_lost;
  if (event->kind > MODEL_POLL && event->endpoint == first_endpoint
      && model->now >= held_up_from)
    event->time = MAX (event->time, held_up_from + HELD_UP_UNTIL);
  return true;
}

/* Guards against an owner that ignores a held-up report that a run is done
 * whose lease it took as expired. */
static void
test_end_after_lease (void)
{
  static const struct
  {
    const char *name;
    uint32_t endpoints;
    uint32_t tasks;
    bool starts_lost; /**< at the second endpoint */
    uint32_t starts;  /**< that are carried out */
  } cases[] = {
    { "task waits", 1, 1, false, 1 },
    { "start at another endpoint is lost", 2, 1, true, 1 },
    { "task runs at another endpoint", 2, 1, false, 2 },
    { "two tasks run at another endpoint", 2, 2, false, 4 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model_job sent = job (JOB, 1, cases[i].tasks);
      unsigned int before = CU_get_number_of_failures ();
      const struct model_result *result;
      struct model model;

      start_model (&model, cases[i].endpoints);
      model_submit (&model, FIRST, &sent);
      model_advance (&model, model.now + 10 * SNIPE_MS);
      /* The endpoint with the runs is the one whose answers are held up. */
      first_endpoint = model.endpoints[0].run_count > 0 ? 0 : 1;
      held_up_from = model.now;
      starts_lost = cases[i].starts_lost;
      model.on_message = hold_up_answers;
      snipe_pool_endpoint_drain (model.owners[FIRST].pool,
                                 model.endpoints[first_endpoint].entry.id, 1);
      model_advance (&model, held_up_from + HELD_UP_UNTIL + 50 * SNIPE_MS);
      CU_ASSERT_EQUAL (model.assumed_ends[SNIPE_ASSUMED_LEASE],
                       cases[i].tasks);
      result = model_find_result (&model, 1);
      CU_ASSERT_PTR_NOT_NULL (result);
      CU_ASSERT_TRUE (result != NULL && result->done == cases[i].tasks);
      model_advance (&model, model.now + 3 * SNIPE_S);
      CU_ASSERT_EQUAL (model.starts, cases[i].starts);
      CU_ASSERT_TRUE (snipe_pool_idle (model.owners[FIRST].pool));
      if (CU_get_number_of_failures () > before)
        printf ("  %s: %u starts\n", cases[i].name, model.starts);
      model_clear (&model);
    }
}

/* Guards against an outcome that counts for a job which its caller submits
 * again after it was done, and against one that is not kept for a batch that
 * is sent again. */
static void
test_outcome_before_submission (void)
{
  static const struct
  {
    const char *name;
    bool resent;
    uint32_t starts;
  } cases[] = {
    { "submitted again", false, 2 },
    { "sent again", true, 1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model_job sent = job (JOB, 1, 1);
      struct model_job again = job (JOB, 2, 1);
      unsigned int before = CU_get_number_of_failures ();
      const struct model_result *result;
      struct model model;
      snipe_time begin;

      start_model (&model, 1);
      begin = model.now;
      model_submit (&model, FIRST, &sent);
      model_advance (&model, begin + TASK_TIME - 50 * SNIPE_MS);
      model.endpoints[0].drops_stops = true;
      snipe_pool_cancel (model.owners[FIRST].pool, 1, 1, model.now);
      model_advance (&model, begin + TASK_TIME + 50 * SNIPE_MS);
      model.endpoints[0].drops_stops = false;
      again.resent = cases[i].resent;
      model_submit (&model, FIRST, &again);
      model_advance (&model, model.now + 3 * TASK_TIME);
      result = model_find_result (&model, 2);
      CU_ASSERT_PTR_NOT_NULL (result);
      CU_ASSERT_TRUE (result != NULL && result->done == 1);
      CU_ASSERT_EQUAL (model.starts, cases[i].starts);
      if (CU_get_number_of_failures () > before)
        printf ("  %s: %u starts\n", cases[i].name, model.starts);
      model_clear (&model);
    }
}

/* Guards against outcomes that are kept without a bound. */
static void
test_outcomes_bounded (void)
{
  static const struct
  {
    const char *name;
    uint32_t count; /**< of outcomes, the first is that of the batch */
    snipe_time age;
    bool kept;
  } cases[] = {
    { "few", 100, SNIPE_S, true },
    { "many", 8192, SNIPE_S, true },
    { "too many", 8193, SNIPE_S, false },
    { "old", 100, 61 * SNIPE_S, false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct snipe_endpoint_ended_run *ended
          = g_new0 (struct snipe_endpoint_ended_run, cases[i].count);
      struct snipe_endpoint_report report
          = { .started_ms = 1, .ended = ended, .ended_count = cases[i].count };
      struct model_job sent = job ("0", 1, 1);
      unsigned int before = CU_get_number_of_failures ();
      struct model model;

      for (uint32_t k = 0; k < cases[i].count; k++)
        {
          ended[k].sequence = k + 1;
          ended[k].run = 1;
          snprintf (ended[k].task, sizeof ended[k].task, "%u.0.0.0", k);
        }
      start_model (&model, 1);
      snipe_pool_on_poll (model.owners[FIRST].pool, "e0", SNIPE_ANSWER_OK,
                          &report, model.now);
      model_advance (&model, model.now + cases[i].age);
      sent.resent = true;
      model_submit (&model, FIRST, &sent);
      CU_ASSERT_EQUAL (model_find_result (&model, 1) != NULL, cases[i].kept);
      if (CU_get_number_of_failures () > before)
        printf ("  %s\n", cases[i].name);
      model_clear (&model);
      g_free (ended);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "end before the batch", test_end_before_batch },
    { "end after the lease", test_end_after_lease },
    { "outcome before the submission", test_outcome_before_submission },
    { "bounded outcomes", test_outcomes_bounded },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("late_end", tests);
}
