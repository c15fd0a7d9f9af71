/* Guards against a host that the store does not serve being left with an old
 * configuration: it waited 400 ms for a delivery by the store that it knew to
 * be impossible, asked only when the next heartbeat arrived, always waited
 * anew after a configuration that was outdated already, and asked hosts that
 * had ended. */
#include "node/config_sync.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>

#include "suite.h"

#define MS SNIPE_MS
#define STEPS_MAX 8

enum step_kind
{
  STEP_END,
  STEP_APPLIED,   /**< a version comes into force */
  STEP_ANNOUNCED, /**< a host announces a version */
  STEP_ASK,       /**< the store serves this host */
  STEP_ASK_ALONE, /**< the store does not */
  STEP_DROPPED,   /**< a host cannot be reached */
};

struct step
{
  enum step_kind kind;
  snipe_time at;
  uint64_t host; /**< that announces, or that has to be asked */
  uint64_t version;
};

static const struct
{
  const char *name;
  struct step steps[STEPS_MAX];
} cases[] = {
  { "nothing announced",
    { { STEP_APPLIED, 0, 0, 7 }, { STEP_ASK_ALONE, 5000 * MS, 0, 0 } } },
  { "same and older versions announced",
    { { STEP_APPLIED, 0, 0, 7 },
      { STEP_ANNOUNCED, 10 * MS, 1, 7 },
      { STEP_ANNOUNCED, 10 * MS, 2, 6 },
      { STEP_ASK_ALONE, 5000 * MS, 0, 0 } } },
  { "the store may deliver it",
    { { STEP_ANNOUNCED, 1000 * MS, 1, 7 },
      { STEP_ASK, 1390 * MS, 0, 0 },
      { STEP_ASK, 1400 * MS, 1, 0 } } },
  { "the store delivers it",
    { { STEP_ANNOUNCED, 1000 * MS, 1, 7 },
      { STEP_APPLIED, 1030 * MS, 0, 7 },
      { STEP_ASK, 1400 * MS, 0, 0 } } },
  { "the store does not serve this host",
    { { STEP_ANNOUNCED, 1000 * MS, 1, 7 },
      { STEP_ASK_ALONE, 1000 * MS, 1, 0 } } },
  { "the store turns this host away during the wait",
    { { STEP_ANNOUNCED, 1000 * MS, 1, 7 },
      { STEP_ASK, 1100 * MS, 0, 0 },
      { STEP_ASK_ALONE, 1110 * MS, 1, 0 } } },
  { "answer lost, no further announcement",
    { { STEP_ANNOUNCED, 1000 * MS, 1, 7 },
      { STEP_ASK_ALONE, 1000 * MS, 1, 0 },
      { STEP_ASK_ALONE, 1290 * MS, 0, 0 },
      { STEP_ASK_ALONE, 1300 * MS, 1, 0 } } },
  { "answer lost, another host has announced it",
    { { STEP_ANNOUNCED, 1000 * MS, 1, 7 },
      { STEP_ANNOUNCED, 1001 * MS, 2, 7 },
      { STEP_ASK_ALONE, 1010 * MS, 1, 0 },
      { STEP_ASK_ALONE, 1310 * MS, 2, 0 },
      { STEP_ASK_ALONE, 1610 * MS, 1, 0 } } },
  { "a host cannot be reached",
    { { STEP_ANNOUNCED, 1000 * MS, 1, 7 },
      { STEP_ANNOUNCED, 1001 * MS, 2, 7 },
      { STEP_ASK_ALONE, 1010 * MS, 1, 0 },
      { STEP_DROPPED, 1010 * MS, 1, 0 },
      { STEP_ASK_ALONE, 1010 * MS, 2, 0 } } },
  { "quick succession: the wait is not begun anew",
    { { STEP_ANNOUNCED, 1000 * MS, 1, 7 },
      { STEP_ANNOUNCED, 1200 * MS, 1, 8 },
      { STEP_APPLIED, 1250 * MS, 0, 7 },
      { STEP_ASK, 1400 * MS, 1, 0 } } },
  { "host with a version that is in force is not asked",
    { { STEP_ANNOUNCED, 1000 * MS, 1, 7 },
      { STEP_ANNOUNCED, 1000 * MS, 2, 9 },
      { STEP_APPLIED, 1010 * MS, 0, 7 },
      { STEP_ASK_ALONE, 1020 * MS, 2, 0 },
      { STEP_ASK_ALONE, 1320 * MS, 2, 0 } } },
  { "the newest of many hosts is kept",
    { { STEP_ANNOUNCED, 1000 * MS, 1, 9 },
      { STEP_ANNOUNCED, 1001 * MS, 5, 7 },
      { STEP_ANNOUNCED, 1002 * MS, 9, 7 },
      { STEP_ANNOUNCED, 1003 * MS, 13, 7 },
      { STEP_ANNOUNCED, 1004 * MS, 17, 7 },
      { STEP_APPLIED, 1005 * MS, 0, 8 },
      { STEP_ASK_ALONE, 1010 * MS, 1, 0 } } },
};

static void
check (bool good, size_t row, int step)
{
  if (!good)
    printf ("\n  %s: step %d", cases[row].name, step);
  CU_ASSERT_TRUE (good);
}

static void
test_requests (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct snipe_config_sync sync = { 0 };

      for (int k = 0; k < STEPS_MAX && cases[i].steps[k].kind != STEP_END; k++)
        {
          const struct step *step = &cases[i].steps[k];

          switch (step->kind)
            {
            case STEP_APPLIED:
              snipe_config_sync_applied (&sync, step->version, step->at);
              break;
            case STEP_ANNOUNCED:
              snipe_config_sync_announced (&sync, step->host, step->version,
                                           step->at);
              break;
            case STEP_ASK:
            case STEP_ASK_ALONE:
              check (snipe_config_sync_source (&sync, step->kind == STEP_ASK,
                                               step->at)
                         == step->host,
                     i, k);
              break;
            case STEP_DROPPED:
              snipe_config_sync_drop_source (&sync, step->host, step->at);
              break;
            case STEP_END:
              break;
            }
        }
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "requests", test_requests },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("config_sync", tests);
}
