#include "coordinator/earlier_owner.h"

/* Guards against a task that the new owner starts while its run goes on at an
 * endpoint that only the earlier owner lists, which extends the lease there
 * until it hears of the move: no caller leaves, and nothing is submitted
 * again. */
static void
test_unlisted_endpoint (void)
{
  static const struct
  {
    const char *name;
    uint32_t lost_cancels; /**< cancellations to the earlier owner */
    bool lost_stops;       /**< its stop requests to that endpoint */
  } cases[] = {
    { "stopped", 0, false },
    { "cancellation lost three times", 3, false },
    { "stops lost", 0, true },
    { "cancellation lost twice, stops lost", 2, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      uint32_t duplicates = 0;
      uint32_t duplicate_offsets = 0;

      for (uint32_t k = 0; k < OFFSETS; k++)
        {
          struct fleet fleet;

          fleet_init (&fleet, HEARTBEAT_INTERVAL);
          submit (&fleet, 0);
          advance (&fleet, CLAIM_TIME + k * OFFSET);
          CU_ASSERT_EQUAL (fleet.model.starts, TASKS);
          fleet.lost_cancels = cases[i].lost_cancels;
          claim_without (&fleet, find_run (&fleet), cases[i].lost_stops);
          report_owner (&fleet, SECOND, 2 << 20);
          advance (&fleet, 3 * TASK_TIME);
          duplicates += fleet.model.duplicate_runs;
          duplicate_offsets += fleet.model.duplicate_runs > 0;
          CU_ASSERT_TRUE (fleet.hosts[0].answered);
          fleet_clear (&fleet);
        }
      CU_ASSERT_EQUAL (duplicates, 0);
      if (duplicates > 0)
        printf ("\n  %s: %u duplicate runs at %u of %d offsets", cases[i].name,
                duplicates, duplicate_offsets, OFFSETS);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "unlisted endpoint", test_unlisted_endpoint },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("unlisted_endpoint_open", tests);
}
