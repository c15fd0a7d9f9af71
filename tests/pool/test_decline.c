#include "pool/model.h"
#include "suite.h"

#define OWNER 0
#define TASK_TIME (200 * SNIPE_MS)

static snipe_time
fixed_duration (const char *task)
{
  (void)task;
  return TASK_TIME;
}

struct decline_case
{
  const char *name;
  uint32_t endpoints;
  uint32_t running; /**< tasks of another job, two to an endpoint */
  uint32_t count;
  bool declinable, resent;
  bool known; /**< tasks of the same job run for another coordinator */
  bool fenced;
  bool declined;
};

/* Guards against a batch that waits in a full pool although other pools have
 * free capacity, against declining a batch that no other pool may start, and
 * against "not run" for a job of which a task runs here. */
static void
test_decline (void)
{
  static const struct decline_case cases[] = {
    { "room for all", 4, 0, 8, true, false, false, false, false },
    { "room for all but one", 4, 1, 8, true, false, false, false, true },
    { "not declinable", 4, 8, 2, false, false, false, false, false },
    { "full", 4, 8, 1, true, false, false, false, true },
    { "may run already", 4, 8, 1, true, true, false, false, false },
    { "runs for another coordinator", 2, 2, 4, true, false, true, false,
      false },
    { "no endpoints", 0, 0, 1, true, false, false, false, true },
    { "fenced", 2, 0, 1, true, false, false, true, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct decline_case *row = &cases[i];
      struct model_job other = { .coordinator = 1,
                                 .number = 1,
                                 .job = "00000000000000aa",
                                 .count = row->running,
                                 .estimate = TASK_TIME,
                                 .soft_deadline = 2 * TASK_TIME,
                                 .hard_deadline = SNIPE_S,
                                 .caller_deadline = SNIPE_S };
      struct model_job sent = other;
      const struct model_result *result;
      struct model model;
      uint32_t starts;

      model_init (&model, row->endpoints, 30000, fixed_duration);
      model_claim (&model, OWNER, 1 << 20, row->endpoints);
      snipe_pool_directory_synced (model.owners[OWNER].pool);
      model_advance (&model, model.now + 20 * SNIPE_MS);
      if (row->running > 0)
        model_submit (&model, OWNER, &other);
      if (row->fenced)
        {
          for (uint32_t k = 0; k < row->endpoints; k++)
            model.endpoints[k].token = 2 << 20;
          sent.job = "00000000000000cc";
          sent.number = 3;
          sent.count = 1;
          model_submit (&model, OWNER, &sent);
        }
      model_advance (&model, model.now + 20 * SNIPE_MS);
      sent.coordinator = 2;
      sent.number = 2;
      sent.job = row->known ? other.job : "00000000000000bb";
      sent.count = row->count;
      sent.declinable = row->declinable;
      sent.resent = row->resent;
      starts = model.starts;
      model_submit (&model, OWNER, &sent);
      result = model_find_result (&model, 2);
      if ((result != NULL) != row->declined)
        printf ("\n  %s: %s", row->name,
                result == NULL ? "taken" : "declined");
      CU_ASSERT_EQUAL (result != NULL, row->declined);
      if (result != NULL)
        {
          CU_ASSERT_EQUAL (result->code, SNIPE_E_REFUSED);
          CU_ASSERT_EQUAL (result->not_run, row->count);
          /* "Not run" stays true. */
          model_advance (&model, model.now + 2 * SNIPE_S);
          CU_ASSERT_EQUAL (model.starts, starts);
        }
      model_clear (&model);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "decline", test_decline },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("decline", tests);
}
