#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "snipe/histogram.h"
#include "suite.h"

/* Guards against durations counted in the wrong bucket, and against buckets
 * that are not cumulative, as the Prometheus format requires. */
static void
test_print (void)
{
  const snipe_time durations[]
      = { 5 * SNIPE_MS, 10 * SNIPE_MS, 11 * SNIPE_MS, 20 * SNIPE_S };
  const char *lines[]
      = { "snipelb_job_complete_seconds_bucket{le=\"0.01\"} 2\n",
          "snipelb_job_complete_seconds_bucket{le=\"0.025\"} 3\n",
          "snipelb_job_complete_seconds_bucket{le=\"6\"} 3\n",
          "snipelb_job_complete_seconds_bucket{le=\"+Inf\"} 4\n",
          "snipelb_job_complete_seconds_count 4\n",
          "snipelb_job_complete_seconds_sum 20.026000\n",
          "snipelb_job_not_run_seconds_count 0\n" };
  struct snipe_str text = SNIPE_STR_INIT;

  for (size_t i = 0; i < G_N_ELEMENTS (durations); i++)
    snipe_histogram_add (SNIPE_H_JOB_COMPLETE, durations[i]);
  CU_ASSERT_EQUAL (snipe_str_set_c (&text, "before\n"), 0);
  CU_ASSERT_EQUAL (snipe_histogram_print (&text), 0);
  CU_ASSERT_TRUE (g_str_has_prefix (snipe_str_c (&text), "before\n"));
  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    CU_ASSERT_PTR_NOT_NULL (strstr (snipe_str_c (&text), lines[i]));
  snipe_str_clear (&text);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "print", test_print },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("histogram", tests);
}
