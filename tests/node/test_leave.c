#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>

#include "node/leave.h"
#include "suite.h"

#define GRACE (6 * SNIPE_S)

struct leave_case
{
  const char *name;
  struct snipe_leave_state state;
  enum snipe_leave_step step;
};

/* Guards against a request that a leaving host has read and does not answer
 * (LOST on ciotola-sched, hunt-8552-23: one was taken 1.2 s before the end),
 * and against callers being refused who cannot know yet that it leaves. */
static void
test_decide (void)
{
  const struct leave_case cases[] = {
    { "just asked", { 0, GRACE, 3, 3, false }, SNIPE_LEAVE_SERVE },
    { "idle, but callers do not know yet",
      { 2 * SNIPE_S, GRACE, 0, 0, true },
      SNIPE_LEAVE_SERVE },
    { "idle, callers know",
      { 2600 * SNIPE_MS, GRACE, 0, 0, true },
      SNIPE_LEAVE_REFUSE },
    { "no request, but a pool is not handed over",
      { 2900 * SNIPE_MS, GRACE, 0, 0, false },
      SNIPE_LEAVE_SERVE },
    { "idle, time to end",
      { 2800 * SNIPE_MS, GRACE, 0, 0, true },
      SNIPE_LEAVE_END },
    { "second half", { 3 * SNIPE_S, GRACE, 5, 5, false }, SNIPE_LEAVE_REFUSE },
    { "request open late",
      { 5 * SNIPE_S, GRACE, 1, 1, true },
      SNIPE_LEAVE_REFUSE },
    { "last moment to answer",
      { GRACE - 250 * SNIPE_MS, GRACE, 1, 1, false },
      SNIPE_LEAVE_GIVE_UP },
    { "answers are being written",
      { GRACE - 250 * SNIPE_MS, GRACE, 1, 0, true },
      SNIPE_LEAVE_REFUSE },
    { "all answered",
      { GRACE - 250 * SNIPE_MS, GRACE, 0, 0, false },
      SNIPE_LEAVE_END },
    { "no time left",
      { GRACE - 90 * SNIPE_MS, GRACE, 2, 2, false },
      SNIPE_LEAVE_END },
    { "hardly any time at all",
      { 0, SNIPE_S / 10, 2, 2, false },
      SNIPE_LEAVE_END },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      enum snipe_leave_step step = snipe_leave_decide (&cases[i].state);

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

  return suite_run ("leave", tests);
}
