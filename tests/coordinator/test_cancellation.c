/* Cancellations that the owner of a pool has not acknowledged. */
#include "coordinator/abandoned.h"

struct cancellation_case
{
  const char *name;
  uint64_t owner;
  snipe_time acknowledged; /**< after the cancellation, or NEVER */
  uint64_t acknowledged_by;
  int code;             /**< of the result that acknowledges it */
  snipe_time reconnect; /**< the connection is replaced, or NEVER */
  uint32_t cancels_min; /**< within HALF_RESEND_DELAY */
  uint32_t cancels_max; /**< in all */
};

/* Guards against a cancellation that is lost with its connection and never
 * sent again: the run then went on beside that of the caller's second
 * submission (TWICE, review/2). */
static void
test_repeated (void)
{
  const struct cancellation_case cases[] = {
    { "acknowledged", OWNER, 20 * SNIPE_MS, OWNER, SNIPE_E_CANCELLED, NEVER, 1,
      1 },
    { "not acknowledged", OWNER, NEVER, 0, 0, NEVER, 3, 8 },
    { "acknowledged late", OWNER, 300 * SNIPE_MS, OWNER, SNIPE_E_CANCELLED,
      NEVER, 2, 2 },
    { "connection replaced at once", OWNER, 100 * SNIPE_MS, OWNER,
      SNIPE_E_CANCELLED, 20 * SNIPE_MS, 2, 2 },
    { "acknowledged by another host", OWNER, 20 * SNIPE_MS, OTHER_HOST,
      SNIPE_E_CANCELLED, NEVER, 3, 8 },
    { "refused copy of the batch", OWNER, 20 * SNIPE_MS, OWNER,
      SNIPE_E_DEADLINE, NEVER, 3, 8 },
    { "own pool", SELF, NEVER, 0, 0, NEVER, 1, 1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct cancellation_case *c = &cases[i];
      unsigned int before = CU_get_number_of_failures ();
      struct record record;
      struct snipe_coordinator *coordinator = abandon_job (&record, c->owner);
      struct snipe_pool_result result
          = { .coordinator = SELF, .number = record.number, .code = c->code };

      CU_ASSERT_EQUAL (record.cancels, 1);
      for (snipe_time t = 0; t < 4 * CALLER_TIMEOUT; t += TICK)
        {
          if (t == c->acknowledged)
            snipe_coordinator_handle_result (coordinator, c->acknowledged_by,
                                             &result, START + t);
          if (t == c->reconnect)
            snipe_coordinator_resend (coordinator, c->owner);
          snipe_coordinator_tick (coordinator, START + t);
          if (t == HALF_RESEND_DELAY)
            CU_ASSERT_TRUE (record.cancels >= c->cancels_min);
        }
      CU_ASSERT_TRUE (record.cancels <= c->cancels_max);
      CU_ASSERT_EQUAL (record.repeated, record.cancels - 1);
      CU_ASSERT_EQUAL (record.owner, c->owner);
      if (CU_get_number_of_failures () != before)
        printf ("\n  %s: sent %u times", c->name, record.cancels);
      snipe_coordinator_free (coordinator);
    }
}

/* Guards against a host that vouches for its callers to the owner of a pool
 * which does not know yet that one of them has left: the cancellation was lost
 * with its connection, and a heartbeat overtakes the next one. */
static void
test_unacknowledged (void)
{
  static const struct
  {
    const char *name;
    uint64_t owner;    /**< of the pool */
    uint64_t receiver; /**< of the heartbeat, 0: unknown */
    snipe_time at;     /**< after the cancellation */
    bool acknowledged; /**< before */
    snipe_time expected;
  } cases[] = {
    { "at once", OWNER, OWNER, 0, false, HANDLED },
    { "sent again", OWNER, OWNER, 600 * SNIPE_MS, false, HANDLED },
    { "receiver unknown", OWNER, 0, 0, false, HANDLED },
    { "another host", OWNER, OTHER_HOST, 0, false, INT64_MAX },
    { "acknowledged", OWNER, OWNER, 20 * SNIPE_MS, true, INT64_MAX },
    { "batch may be there", OWNER, OWNER, CALLER_TIMEOUT, false, HANDLED },
    { "batch has ended", OWNER, OWNER, CALLER_TIMEOUT + SNIPE_S, false,
      INT64_MAX },
    { "own pool", SELF, 0, 0, false, INT64_MAX },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct record record;
      struct snipe_coordinator *coordinator
          = abandon_job (&record, cases[i].owner);
      struct snipe_pool_result result = { .coordinator = SELF,
                                          .number = record.number,
                                          .code = SNIPE_E_CANCELLED };
      snipe_time handled;

      if (cases[i].acknowledged)
        snipe_coordinator_handle_result (coordinator, OWNER, &result, START);
      for (snipe_time t = 0; t <= cases[i].at; t += TICK)
        snipe_coordinator_tick (coordinator, START + t);
      handled = snipe_coordinator_cancelled_handled (coordinator,
                                                     cases[i].receiver);
      if (handled != cases[i].expected)
        printf ("\n  %s: %" G_GINT64_FORMAT, cases[i].name, handled);
      CU_ASSERT_EQUAL (handled, cases[i].expected);
      snipe_coordinator_free (coordinator);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "repeated until acknowledged", test_repeated },
    { "unacknowledged", test_unacknowledged },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("cancellation", tests);
}
