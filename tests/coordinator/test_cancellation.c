/* Cancellations that the owner of a pool has not acknowledged. */
#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>

#include "snipe/coordinator.h"
#include "snipe/status.h"
#include "suite.h"

#define SELF 1
#define OWNER 2
#define OTHER_HOST 3
#define START SNIPE_S
#define CALLER_TIMEOUT (1500 * SNIPE_MS)
#define TICK (20 * SNIPE_MS)
#define NEVER (-1)
/* Half of the time after which callers resend the job, in whole ticks. */
#define HALF_RESEND_DELAY (640 * SNIPE_MS)

struct record
{
  uint64_t number; /**< of the batch */
  uint32_t cancels;
  uint32_t repeated; /**< of these, marked as sent again */
  uint64_t owner;    /**< to which the last one was sent */
};

/* The caller left while its host stood still. */
#define HANDLED (START - 300 * SNIPE_MS)

static snipe_time
callers_handled (void *ctx, snipe_time now)
{
  (void)ctx;
  return MIN (now, HANDLED);
}

static int
on_submit (void *ctx, uint64_t owner, const struct snipe_pool_id *pool,
           const struct snipe_pool_batch *batch)
{
  (void)owner;
  (void)pool;
  ((struct record *)ctx)->number = batch->number;
  return SNIPE_OK;
}

static void
on_cancel (void *ctx,
           const struct snipe_coordinator_cancellation *cancellation)
{
  struct record *record = ctx;

  CU_ASSERT_EQUAL (cancellation->number, record->number);
  CU_ASSERT_FALSE (cancellation->moved);
  record->owner = cancellation->owner;
  record->cancels++;
  record->repeated += cancellation->again;
}

static void
on_answer (void *ctx, void *job_ctx,
           const struct snipe_coordinator_answer *answer)
{
  (void)ctx;
  (void)job_ctx;
  (void)answer;
}

/* Submits a job to the pool of @p owner, and abandons it. */
static struct snipe_coordinator *
abandon_job (struct record *record, uint64_t owner)
{
  struct snipe_coordinator_options options = SNIPE_COORDINATOR_OPTIONS_INIT;
  struct snipe_pool_id pool
      = { .service = "work", .domain = "a", .shards = 1 };
  uint32_t free_cpu = 64000;
  struct snipe_coordinator_load load = { .pool = &pool,
                                         .owner = owner,
                                         .token = 1,
                                         .free_cpu = &free_cpu,
                                         .free_count = 1,
                                         .total_cpu = 64000,
                                         .slowdown = 1.0 };
  struct snipe_coordinator_job job
      = { .id = "0123456789abcdef",
          .route = "r",
          .service = "work",
          .spec = { .data = (char *)"s", .len = 1 },
          .count = 1,
          .task_resources = { .cpu = 1000, .mem_mb = 1 },
          .label = "",
          .rack = "",
          .attempts = 1,
          .estimate = 200 * SNIPE_MS,
          .slack_factor = 2,
          .caller_deadline = START + CALLER_TIMEOUT,
          .ctx = record };
  struct snipe_coordinator *coordinator;

  *record = (struct record){ 0 };
  options.incarnation = SELF;
  options.domain = "a";
  options.callbacks
      = (struct snipe_coordinator_callbacks){ .ctx = record,
                                              .submit = on_submit,
                                              .cancel = on_cancel,
                                              .callers_handled
                                              = callers_handled,
                                              .answer = on_answer };
  CU_ASSERT_EQUAL_FATAL (snipe_coordinator_new (&coordinator, &options),
                         SNIPE_OK);
  snipe_coordinator_update_load (coordinator, &load, START);
  snipe_coordinator_submit (coordinator, &job, START);
  snipe_coordinator_abandon (coordinator, record, START);
  return coordinator;
}

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
