#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>

#include "node/shutdown.h"
#include "suite.h"

#define GRACE (6 * SNIPE_S)

struct shutdown_case
{
  const char *name;
  struct snipe_shutdown_state state;
  enum snipe_shutdown_step step;
};

/* Guards against a host that shuts down without answering a request it has
 * read. Seen on ciotola-sched (run hunt-8552-23, one job lost): the request
 * was accepted 1.2 s before the exit. Also guards against rejecting callers
 * that cannot know yet that the host shuts down. */
static void
test_decide (void)
{
  const struct shutdown_case cases[] = {
    { "just told to terminate",
      { 0, GRACE, 3, 3, false },
      SNIPE_SHUTDOWN_SERVE },
    { "idle, but callers do not know yet",
      { 2 * SNIPE_S, GRACE, 0, 0, true },
      SNIPE_SHUTDOWN_SERVE },
    { "idle, callers know",
      { 2600 * SNIPE_MS, GRACE, 0, 0, true },
      SNIPE_SHUTDOWN_REJECT },
    { "no request, but a pool not handed over yet",
      { 2900 * SNIPE_MS, GRACE, 0, 0, false },
      SNIPE_SHUTDOWN_SERVE },
    { "idle, minimum serving time and reserve over",
      { 2800 * SNIPE_MS, GRACE, 0, 0, true },
      SNIPE_SHUTDOWN_EXIT },
    { "second half of the grace period",
      { 3 * SNIPE_S, GRACE, 5, 5, false },
      SNIPE_SHUTDOWN_REJECT },
    { "request open late",
      { 5 * SNIPE_S, GRACE, 1, 1, true },
      SNIPE_SHUTDOWN_REJECT },
    { "last moment to answer",
      { GRACE - 250 * SNIPE_MS, GRACE, 1, 1, false },
      SNIPE_SHUTDOWN_FAIL_JOBS },
    { "answers are being written",
      { GRACE - 250 * SNIPE_MS, GRACE, 1, 0, true },
      SNIPE_SHUTDOWN_REJECT },
    { "all answered",
      { GRACE - 250 * SNIPE_MS, GRACE, 0, 0, false },
      SNIPE_SHUTDOWN_EXIT },
    { "no time left",
      { GRACE - 90 * SNIPE_MS, GRACE, 2, 2, false },
      SNIPE_SHUTDOWN_EXIT },
    { "very short grace period",
      { 0, SNIPE_S / 10, 2, 2, false },
      SNIPE_SHUTDOWN_EXIT },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      enum snipe_shutdown_step step = snipe_shutdown_decide (&cases[i].state);

      if (step != cases[i].step)
        printf ("%s: step %d\n", cases[i].name, (int)step);
      CU_ASSERT_EQUAL (step, cases[i].step);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "decide", test_decide },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("shutdown", tests);
}
