#include "coordinator/abandoned.h"

/* Guards against taking the acknowledgement of an earlier cancellation, which
 * was sent because the batch had moved, for that of the cancellation of the
 * abandoned job: the batch has come back to the owner meanwhile, and the later
 * cancellation may be lost. */
static void
test_earlier_acknowledgement (void)
{
  struct record record;
  struct snipe_pool_id pool
      = { .service = "work", .domain = "a", .shards = 1 };
  struct snipe_coordinator *coordinator = submit_job (&record, OWNER);
  struct snipe_pool_result result = { .coordinator = SELF,
                                      .number = record.number,
                                      .code = SNIPE_E_CANCELLED };
  snipe_time now = START;

  record.moves = true;
  snipe_coordinator_set_owner (coordinator, &pool, OTHER_HOST, 2, now);
  for (; now < START + 300 * SNIPE_MS; now += TICK)
    snipe_coordinator_tick (coordinator, now);
  /* The cancellation was sent; its acknowledgement is under way. */
  CU_ASSERT_EQUAL (record.owner, OWNER);
  snipe_coordinator_set_owner (coordinator, &pool, OWNER, 3, now);
  record.moves = false;
  snipe_coordinator_abandon (coordinator, &record, now);
  CU_ASSERT_EQUAL (snipe_coordinator_cancelled_handled (coordinator, OWNER),
                   HANDLED);
  snipe_coordinator_handle_result (coordinator, OWNER, &result, now);
  CU_ASSERT_EQUAL (snipe_coordinator_cancelled_handled (coordinator, OWNER),
                   HANDLED);
  snipe_coordinator_free (coordinator);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "earlier acknowledgement", test_earlier_acknowledgement },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("earlier_acknowledgement_open", tests);
}
