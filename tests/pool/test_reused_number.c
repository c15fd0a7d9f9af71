#include "pool/model.h"
#include "suite.h"

#define OWNER 0
#define TASK_TIME (2 * SNIPE_S)
/* Longer than an owner waits for the leases of a silent endpoint to expire. */
#define START_DELAY (1500 * SNIPE_MS)

static snipe_time
long_duration (const char *task)
{
  (void)task;
  return TASK_TIME;
}

/* Guards against an answer to a start request for an earlier run of the same
 * number: after a job was cancelled and submitted again, its runs are numbered
 * anew, and a rejection of the earlier run was taken for one of the later,
 * whose start was still under way. The task ran twice at the same time. */
static void
test_answer_for_earlier_run (void)
{
  static const struct
  {
    const char *name;
    snipe_time again_at;    /**< since the first submission */
    snipe_time start_delay; /**< of the later start */
  } cases[] = {
    { "rejected before the later start arrives", 1470 * SNIPE_MS,
      60 * SNIPE_MS },
    { "rejected after the later start has arrived", 1470 * SNIPE_MS, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model_job sent = { .coordinator = 1,
                                .number = 1,
                                .job = "0123456789abcdef",
                                .count = 1,
                                .estimate = TASK_TIME,
                                .soft_deadline = 2 * TASK_TIME,
                                .hard_deadline = 4 * TASK_TIME,
                                .caller_deadline = 4 * TASK_TIME };
      struct model_job again = sent;
      unsigned int before = CU_get_number_of_failures ();
      struct model model;
      snipe_time begin;

      model_init (&model, 1, 30000, long_duration);
      model_claim (&model, OWNER, 1 << 20, 1);
      snipe_pool_directory_synced (model.owners[OWNER].pool);
      model_advance (&model, model.now + 20 * SNIPE_MS);
      begin = model.now;
      model.endpoints[0].start_delay = START_DELAY;
      model.endpoints[0].drops_stops = true;
      model_submit (&model, OWNER, &sent);
      model_advance (&model, begin + 100 * SNIPE_MS);
      snipe_pool_cancel (model.owners[OWNER].pool, 1, 1, model.now);
      model_advance (&model, begin + cases[i].again_at);
      CU_ASSERT_EQUAL (model.starts, 0);
      model.endpoints[0].drops_stops = false;
      model.endpoints[0].start_delay = cases[i].start_delay;
      again.number = 2;
      model_submit (&model, OWNER, &again);
      model_advance (&model, model.now + TASK_TIME + 100 * SNIPE_MS);
      CU_ASSERT_EQUAL (model.duplicate_runs, 0);
      CU_ASSERT_EQUAL (model.starts, 1);
      CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 2));
      if (CU_get_number_of_failures () > before)
        printf ("  %s\n", cases[i].name);
      model_clear (&model);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "answer for an earlier run", test_answer_for_earlier_run },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("reused_number", tests);
}
