#include "pool/model.h"
#include "suite.h"

#define OWNER 0
#define TASK_TIME (5 * SNIPE_S)

static snipe_time
long_duration (const char *task)
{
  (void)task;
  return TASK_TIME;
}

static void
silence (struct model *model)
{
  model->endpoints[0].unresponsive = true;
}

static void
restart (struct model *model)
{
  model_restart (model, 0);
}

/* Guards against a run that its owner takes as ended without a report of the
 * endpoint and without a line in the log: a task that runs twice could not be
 * traced to the owner's mistake. */
static void
test_reasons (void)
{
  static const struct
  {
    void (*disturb) (struct model *model);
    uint32_t counts[SNIPE_ASSUMED_RESTARTED + 1];
  } cases[] = {
    { silence, { [SNIPE_ASSUMED_LEASE] = 1 } },
    { restart, { [SNIPE_ASSUMED_MISSING] = 1 } },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model_job job = { .coordinator = 1,
                               .number = 1,
                               .job = "0123456789abcdef",
                               .count = 1,
                               .estimate = TASK_TIME,
                               .soft_deadline = 2 * TASK_TIME,
                               .hard_deadline = 3 * TASK_TIME,
                               .caller_deadline = 3 * TASK_TIME };
      struct model model;

      model_init (&model, 1, 30000, long_duration);
      model_claim (&model, OWNER, 1 << 20, 1);
      snipe_pool_directory_synced (model.owners[OWNER].pool);
      model_advance (&model, model.now + 20 * SNIPE_MS);
      model_submit (&model, OWNER, &job);
      model_advance (&model, model.now + 300 * SNIPE_MS);
      cases[i].disturb (&model);
      model_advance (&model, model.now + 2 * SNIPE_S);
      for (size_t k = 0; k < G_N_ELEMENTS (model.assumed_ends); k++)
        CU_ASSERT_EQUAL (model.assumed_ends[k], cases[i].counts[k]);
      model_clear (&model);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "reasons", test_reasons },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("assumed_end", tests);
}
