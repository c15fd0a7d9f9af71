#include <CUnit/Basic.h>
#include <glib.h>

#include "snipe/rtt.h"
#include "suite.h"

#define MIN_TIMEOUT (80 * SNIPE_MS)
#define MAX_TIMEOUT (500 * SNIPE_MS)

/* Guards against a timeout that is shorter than the round trip, one that a
 * single long round trip sets for good, and one outside its bounds. */
static void
test_timeout (void)
{
  static const struct
  {
    const char *name;
    struct
    {
      uint32_t count;
      snipe_time time;
    } samples[2];
    snipe_time limit;
    snipe_time timeout_min, timeout_max;
  } cases[] = {
    { "nothing known", { { 0, 0 } }, SNIPE_S, MIN_TIMEOUT, MIN_TIMEOUT },
    { "fast link", { { 100, SNIPE_MS } }, SNIPE_S, MIN_TIMEOUT, MIN_TIMEOUT },
    { "first sample",
      { { 1, 100 * SNIPE_MS } },
      SNIPE_S,
      300 * SNIPE_MS,
      300 * SNIPE_MS },
    { "steady slow link",
      { { 100, 200 * SNIPE_MS } },
      SNIPE_S,
      200 * SNIPE_MS,
      210 * SNIPE_MS },
    { "becomes slow",
      { { 100, SNIPE_MS }, { 3, 200 * SNIPE_MS } },
      SNIPE_S,
      250 * SNIPE_MS,
      MAX_TIMEOUT },
    { "becomes fast",
      { { 100, 200 * SNIPE_MS }, { 40, SNIPE_MS } },
      SNIPE_S,
      MIN_TIMEOUT,
      MIN_TIMEOUT },
    { "one answer after seconds",
      { { 100, SNIPE_MS }, { 1, 5 * SNIPE_S } },
      160 * SNIPE_MS,
      MIN_TIMEOUT,
      200 * SNIPE_MS },
    { "longer than any timeout",
      { { 10, 5 * SNIPE_S } },
      10 * SNIPE_S,
      MAX_TIMEOUT,
      MAX_TIMEOUT },
    { "negative, from a clock that went back",
      { { 10, -SNIPE_S } },
      SNIPE_S,
      MIN_TIMEOUT,
      MIN_TIMEOUT },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct snipe_rtt rtt = { 0 };
      snipe_time timeout;

      for (size_t k = 0; k < G_N_ELEMENTS (cases[i].samples); k++)
        for (uint32_t n = 0; n < cases[i].samples[k].count; n++)
          snipe_rtt_add (&rtt, cases[i].samples[k].time, cases[i].limit);
      timeout = snipe_rtt_timeout (&rtt, MIN_TIMEOUT, MAX_TIMEOUT);
      if (timeout < cases[i].timeout_min || timeout > cases[i].timeout_max)
        printf ("\n  %s: %" G_GINT64_FORMAT " us", cases[i].name, timeout);
      CU_ASSERT_TRUE (timeout >= cases[i].timeout_min);
      CU_ASSERT_TRUE (timeout <= cases[i].timeout_max);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "timeout", test_timeout },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("rtt", tests);
}
