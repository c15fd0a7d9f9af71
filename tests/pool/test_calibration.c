#include <CUnit/Basic.h>
#include <glib.h>
#include <math.h>

#include "pool/calibration.h"
#include "pool/model.h"
#include "suite.h"

#define OWNER 0

/* Guards against a prediction that follows declared durations which tell
 * nothing, one that ignores those that are exact, and one that follows a few
 * samples. */
static void
test_predict (void)
{
  static const struct
  {
    const char *name;
    uint32_t samples;
    double declared_spread, actual_spread; /**< factors around 100 ms */
    snipe_time declared;
    snipe_time expected_min, expected_max;
  } cases[] = {
    { "nothing known", 0, 1, 1, 400 * SNIPE_MS, 400 * SNIPE_MS,
      400 * SNIPE_MS },
    { "exact", 200, 4, 4, 400 * SNIPE_MS, 390 * SNIPE_MS, 410 * SNIPE_MS },
    { "declared at random", 200, 4, 1, 400 * SNIPE_MS, 90 * SNIPE_MS,
      130 * SNIPE_MS },
    { "partly right", 200, 4, 2, 400 * SNIPE_MS, 180 * SNIPE_MS,
      230 * SNIPE_MS },
    { "one sample", 1, 1, 1, 400 * SNIPE_MS, 350 * SNIPE_MS, 400 * SNIPE_MS },
    { "all alike", 200, 1, 1, 100 * SNIPE_MS, 95 * SNIPE_MS, 105 * SNIPE_MS },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct snipe_calibration calibration = { 0 };
      snipe_time expected;

      for (uint32_t n = 0; n < cases[i].samples; n++)
        {
          double at = (double)(n % 5) / 2 - 1; /* -1 to 1 */

          snipe_calibration_add (
              &calibration,
              (snipe_time)(100 * SNIPE_MS
                           * pow (cases[i].declared_spread, at)),
              (snipe_time)(100 * SNIPE_MS * pow (cases[i].actual_spread, at)));
        }
      expected = snipe_calibration_predict (&calibration, cases[i].declared,
                                            cases[i].declared);
      if (expected < cases[i].expected_min || expected > cases[i].expected_max)
        printf ("\n  %s: %" G_GINT64_FORMAT " us", cases[i].name, expected);
      CU_ASSERT_TRUE (expected >= cases[i].expected_min);
      CU_ASSERT_TRUE (expected <= cases[i].expected_max);
    }
}

static snipe_time
actual_duration (const char *task)
{
  (void)task;
  return 900 * SNIPE_MS;
}

/* Guards against refusing a job on an idle pool because its declared duration
 * is longer than its caller waits, although the tasks of its route have never
 * taken that long. */
static void
test_long_declaration (void)
{
  struct model model;

  model_init (&model, 4, 30000, actual_duration);
  model_claim (&model, OWNER, 1 << 20, 4);
  snipe_pool_directory_synced (model.owners[OWNER].pool);
  model_advance (&model, model.now + 20 * SNIPE_MS);
  for (uint64_t i = 1; i <= 41; i++)
    {
      const snipe_time declared
          = i > 40 ? 2100 * SNIPE_MS : (600 + 20 * (i % 30)) * SNIPE_MS;
      const struct model_result *result;
      char name[20];
      struct model_job job = { .coordinator = 1,
                               .number = i,
                               .job = name,
                               .count = 4,
                               .estimate = declared,
                               .soft_deadline = 1500 * SNIPE_MS,
                               .hard_deadline = 1500 * SNIPE_MS,
                               .caller_deadline = 1500 * SNIPE_MS };

      snprintf (name, sizeof name, "%016" G_GINT64_MODIFIER "x", i);
      model_submit (&model, OWNER, &job);
      model_advance (&model, model.now + 1600 * SNIPE_MS);
      result = model_find_result (&model, i);
      CU_ASSERT_PTR_NOT_NULL_FATAL (result);
      if (result != NULL)
        CU_ASSERT_EQUAL (result->code, SNIPE_OK);
    }
  model_clear (&model);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "predict", test_predict },
    { "long declaration", test_long_declaration },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("calibration", tests);
}
