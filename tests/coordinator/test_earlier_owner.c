/* Batches that move to a new owner of their pool while the earlier one still
 * hears their coordinator: two coordinators and two owners of a pool, joined
 * by messages with a delay. */
#include "coordinator/earlier_owner.h"

struct cut_case
{
  const char *name;
  bool endpoint_cut;     /**< the new owner does not reach one endpoint */
  uint32_t lost_cancels; /**< cancellations to the earlier owner */
  snipe_time leave;      /**< from the claim until the caller leaves */
  bool slow_claim;       /**< its requests arrive 35, 70 and 105 ms late */
  uint32_t running;      /**< tasks that go on until the caller leaves */
};

/* Guards against an earlier owner that goes on with a batch after it has moved
 * to the new owner, because it hears its coordinator but not the new owner:
 * the caller's second submission starts at once at the new owner, beside the
 * runs of the first one at endpoints that the new owner does not reach. */
static void
test_caller_comes_back (void)
{
  static const struct cut_case cases[] = {
    { "owners cut off from each other", false, 0, 0, false, TASKS },
    { "owners cut off, caller leaves later", false, 0, 500 * SNIPE_MS, false,
      TASKS },
    { "claim slower than the cancellation would be", false, 0, 500 * SNIPE_MS,
      true, TASKS },
    { "one endpoint cut off", true, 0, 0, false, TASKS },
    { "one endpoint cut off, caller leaves later", true, 0, 500 * SNIPE_MS,
      false, TASKS - 1 },
    { "cancellation lost once", true, 1, 0, false, TASKS },
    { "cancellation lost three times", true, 3, 0, false, TASKS },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct cut_case *c = &cases[i];
      uint32_t duplicates = 0;
      uint32_t duplicate_offsets = 0;

      for (uint32_t k = 0; k < OFFSETS; k++)
        {
          struct fleet fleet;

          fleet_init (&fleet, 0);
          submit (&fleet, 0);
          advance (&fleet, CLAIM_TIME + k * OFFSET);
          CU_ASSERT_EQUAL (fleet.model.starts, TASKS);
          if (c->endpoint_cut)
            cut_endpoint (&fleet);
          fleet.lost_cancels = c->lost_cancels;
          if (c->slow_claim)
            fleet.model.link_bytes_per_ms = SLOW_BYTES_PER_MS;
          claim (&fleet, SECOND, 2 << 20);
          report_owner (&fleet, SECOND, 2 << 20);
          advance (&fleet, MIN (c->leave, CLAIM_TIME / 2));
          fleet.model.link_bytes_per_ms = 0;
          advance (&fleet, c->leave - MIN (c->leave, CLAIM_TIME / 2));
          /* The new owner's claim protects the runs that it reaches from the
           * stop requests of the earlier one. */
          CU_ASSERT_EQUAL (running (&fleet), c->running);
          CU_ASSERT_EQUAL (fleet.model.starts, TASKS);
          snipe_coordinator_abandon (fleet.hosts[0].coordinator,
                                     &fleet.hosts[0], fleet.model.now);
          advance (&fleet, RESEND_DELAY);
          submit (&fleet, 1);
          advance (&fleet, 2 * TASK_TIME);
          duplicates += fleet.model.duplicate_runs;
          duplicate_offsets += fleet.model.duplicate_runs > 0;
          CU_ASSERT_EQUAL (fleet.first_cancels, c->lost_cancels + 1);
          CU_ASSERT_EQUAL (fleet.acknowledged, 1);
          CU_ASSERT_EQUAL (fleet.hosts[1].answer.outcome,
                           SNIPE_COORDINATOR_COMPLETE);
          CU_ASSERT_TRUE (fleet.hosts[1].answered);
          fleet_clear (&fleet);
        }
      CU_ASSERT_EQUAL (duplicates, 0);
      if (duplicates > 0)
        printf ("\n  %s: %u duplicate runs at %u of %d offsets", c->name,
                duplicates, duplicate_offsets, OFFSETS);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "caller comes back", test_caller_comes_back },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("earlier_owner", tests);
}
