/* Guards against a poll answer that is held up for longer than a lease and
 * whose runs have ended since: the owner attached such a run to a waiting task
 * and extended a lease for it. */
#include "pool/model.h"
#include "suite.h"

#define FIRST 0
#define SECOND 1
#define TASK_TIME (2 * SNIPE_S)
#define HELD_UP (3 * SNIPE_S)

static snipe_time
long_duration (const char *task)
{
  (void)task;
  return TASK_TIME;
}

static snipe_time held_up_until;

static bool later_polls_lost;

/* Starts are lost meanwhile, and polls may be. */
static bool
hold_up_answers (struct model *model, struct model_event *event)
{
  if (event->kind > MODEL_POLL)
    event->time = MAX (event->time, held_up_until);
  if (model->now >= held_up_until)
    return true;
  return event->kind != MODEL_START
         && (event->kind != MODEL_POLL || !later_polls_lost);
}

static void
test_run_that_has_ended (void)
{
  static const struct
  {
    const char *name;
    bool moved; /**< the pool gets a new owner, which finds the run */
    bool held_up;
    bool later_polls_lost;
    uint32_t claimed; /**< found runs that a task claimed */
    uint32_t starts;
    snipe_time started_by; /**< after the answers have arrived */
  } cases[] = {
    { "new owner", true, false, false, 1, 1, 50 * SNIPE_MS },
    { "new owner, answers held up", true, true, false, 0, 2, 50 * SNIPE_MS },
    { "new owner, one answer held up", true, true, true, 0, 2,
      200 * SNIPE_MS },
    { "same owner, answers held up", false, true, false, 0, 2,
      300 * SNIPE_MS },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model_job job = { .coordinator = 1,
                               .number = 1,
                               .job = "0123456789abcdef",
                               .count = 1,
                               .estimate = TASK_TIME,
                               .soft_deadline = 2 * TASK_TIME,
                               .hard_deadline = 10 * TASK_TIME,
                               .caller_deadline = 10 * TASK_TIME };
      unsigned int before = CU_get_number_of_failures ();
      uint32_t owner = cases[i].moved ? SECOND : FIRST;
      struct model model;
      snipe_time begin;

      model_init (&model, 1, 30000, long_duration);
      model_claim (&model, FIRST, 1 << 20, 1);
      snipe_pool_directory_synced (model.owners[FIRST].pool);
      model_advance (&model, model.now + 20 * SNIPE_MS);
      begin = model.now;
      model_submit (&model, FIRST, &job);
      model_advance (&model, begin + 10 * SNIPE_MS);
      held_up_until = cases[i].held_up ? model.now + HELD_UP : 0;
      model.on_message = hold_up_answers;
      if (cases[i].moved)
        {
          job.resent = true;
          job.endpoint_digest = model_digest (&model, FIRST);
          model_release (&model, FIRST);
          model_claim (&model, SECOND, 2 << 20, 1);
          snipe_pool_directory_synced (model.owners[SECOND].pool);
          model_submit (&model, SECOND, &job);
        }
      later_polls_lost = cases[i].later_polls_lost;
      model_advance (&model, MAX (begin, held_up_until) + cases[i].started_by);
      CU_ASSERT_EQUAL (model.claimed_runs, cases[i].claimed);
      CU_ASSERT_EQUAL (model.starts, cases[i].starts);
      model_advance (&model, model.now + TASK_TIME + 50 * SNIPE_MS);
      CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 1));
      CU_ASSERT_EQUAL (model.starts, cases[i].starts);
      CU_ASSERT_EQUAL (model.duplicate_runs, 0);
      CU_ASSERT_TRUE (snipe_pool_idle (model.owners[owner].pool));
      if (CU_get_number_of_failures () > before)
        printf ("  %s: %u claimed, %u starts\n", cases[i].name,
                model.claimed_runs, model.starts);
      model_clear (&model);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "run that has ended", test_run_that_has_ended },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("held_up_answer", tests);
}
