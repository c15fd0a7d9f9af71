/* A pool's owner that receives cancellations of another host's batches. */
#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "link/link.h"
#include "node/callbacks.h"
#include "snipe/status.h"
#include "suite.h"

#define COORDINATOR 77
#define RUNNING_BATCH 1
#define LATE_BATCH 2
#define COPY_BATCH 3
#define JOB_ID "0123456789abcdef"
#define HEARTBEAT_INTERVAL (50 * SNIPE_MS)
/* Earliest time after its cancellation at which a batch comes back: the owner
 * claims the pool again after 300 ms, and is cancelled after 200 ms. */
#define BACK_DELAY (100 * SNIPE_MS)
#define TIME_MAX (20 * SNIPE_S)

enum step
{
  STEP_CLAIM,            /**< the node claims its pool */
  STEP_START,            /**< it starts the task of the first batch */
  STEP_CANCEL_RUNNING,   /**< which is then cancelled */
  STEP_CANCEL_UNKNOWN,   /**< the second batch is cancelled, */
  STEP_SUBMIT_CANCELLED, /**< and arrives afterwards, */
  STEP_SUBMIT_OLD,       /**< as does a copy that was sent again before. */
  STEP_SUBMIT_AGAIN,     /**< It comes back after the cancellation, */
  STEP_CANCEL_AGAIN,     /**< starts, and is cancelled again */
  STEP_SUBMIT_HELD,      /**< It comes back once more, held. */
  STEP_CANCELLED_JOB,    /**< the third one is of a cancelled job */
  STEP_CANCEL_HERE,      /**< a job is cancelled at the node, */
  STEP_LOST,             /**< which the coordinator then counts as lost */
  STEP_END,
};

struct test
{
  struct snipe_loop *loop;
  struct snipe_node *node;
  struct snipe_link *link; /**< of the coordinator */
  char node_address[32];
  char link_address[32];
  enum step step;
  snipe_time started_at;
  snipe_time cancelled_at; /**< before the second batch is cancelled */
  snipe_time heartbeat_due;
  snipe_time held_up; /**< for how long all heartbeats are */
  bool poll_pending;
  uint64_t poll_token;
  uint32_t starts;
  uint32_t stops;
  uint32_t acknowledgements;
  uint32_t grants;
  uint32_t job_cancellations;
  uint32_t losses; /**< of the node, as the coordinator announces them */
};

static void
on_start (void *ctx, const struct snipe_pool_start_request *request)
{
  (void)request;
  ((struct test *)ctx)->starts++;
}

static void
on_stop (void *ctx, const struct snipe_pool_stop_request *request)
{
  (void)request;
  ((struct test *)ctx)->stops++;
}

static void
on_poll (void *ctx, const struct snipe_pool_poll_request *request)
{
  struct test *test = ctx;

  test->poll_pending = true;
  test->poll_token = request->token;
}

static void
on_message (void *ctx, uint64_t incarnation,
            const struct snipe_link_message *message)
{
  struct test *test = ctx;

  (void)incarnation;
  if (message->procedure == LINK_SEND_HEARTBEAT)
    g_strlcpy (test->node_address, message->args.heartbeat.address,
               sizeof test->node_address);
  if (message->procedure == LINK_SEND_RESULT
      && message->args.result.coordinator == COORDINATOR
      && message->args.result.code == SNIPE_E_CANCELLED)
    test->acknowledgements++;
  if (message->procedure == LINK_SEND_GRANT
      && message->args.batch_id.number == LATE_BATCH)
    test->grants++;
  if (message->procedure == LINK_SEND_CANCEL_JOB
      && strcmp (message->args.cancel_job.job, JOB_ID) == 0)
    test->job_cancellations++;
}

static void
on_closed (void *ctx, uint64_t incarnation)
{
  (void)ctx;
  (void)incarnation;
}

static void
send_message (struct test *test, const struct snipe_link_message *message)
{
  CU_ASSERT_EQUAL (snipe_link_send (test->link, test->node_address, message),
                   SNIPE_OK);
}

static void
send_heartbeat (struct test *test, snipe_time now)
{
  struct snipe_link_message message
      = { .procedure = LINK_SEND_HEARTBEAT,
          .args.heartbeat = { .incarnation = COORDINATOR,
                              .sent_us = now - test->held_up,
                              .name = (char *)"c",
                              .address = test->link_address,
                              .domain = (char *)"b",
                              .cpu_millicores = 100,
                              .transit_us = 1,
                              .heartbeat_interval_ms = 150,
                              .loss_count = test->losses } };

  /* The node calls first, as the coordinator is listed. */
  if (*test->node_address == '\0' || now < test->heartbeat_due)
    return;
  test->heartbeat_due = now + HEARTBEAT_INTERVAL;
  send_message (test, &message);
}

static void
send_copy (struct test *test, uint32_t procedure, uint64_t number,
           snipe_time sent, bool resent)
{
  u_int index = 0;
  struct snipe_link_message message = {
    .procedure = procedure,
    .args.batch
    = { .coordinator = COORDINATOR,
        .number = number,
        .sent_us = sent,
        .pool
        = { .service = (char *)"work", .domain = (char *)"a", .shards = 1 },
        .job = (char *)(number == LATE_BATCH ? "fedcba9876543210" : JOB_ID),
        .route = (char *)"r",
        .spec = { .spec_len = 1, .spec_val = (char *)"s" },
        .indexes = { .indexes_len = 1, .indexes_val = &index },
        .cpu = 1000,
        .mem_mb = 64,
        .label = (char *)"",
        .rack = (char *)"",
        .attempts = 3,
        .estimate_ms = 20000,
        .soft_deadline_ms = 60000,
        .hard_deadline_ms = 60000,
        .caller_deadline_ms = 60000,
        .resent = resent,
        .attempt = 2 }
  };

  send_message (test, &message);
}

static void
send_batch (struct test *test, uint64_t number, snipe_time sent, bool resent)
{
  send_copy (test, LINK_SEND_BATCH, number, sent, resent);
}

static void
send_cancel (struct test *test, uint64_t number)
{
  struct snipe_link_message message
      = { .procedure = LINK_SEND_CANCEL,
          .args.cancel = { .coordinator = COORDINATOR, .number = number } };

  send_message (test, &message);
}

static void
send_cancel_job (struct test *test)
{
  struct snipe_link_message message
      = { .procedure = LINK_SEND_CANCEL_JOB,
          .args.cancel_job = { .job = (char *)JOB_ID } };

  send_message (test, &message);
}

static void
answer_poll (struct test *test, snipe_time now)
{
  struct snipe_endpoint_report report = { .clock_ms = 5000, .started_ms = 1 };

  if (!test->poll_pending)
    return;
  test->poll_pending = false;
  snipe_node_on_poll (test->node, test->poll_token, "e", SNIPE_ANSWER_OK,
                      &report, now);
  snipe_node_directory_synced (test->node, now, now);
  if (test->step == STEP_CLAIM)
    {
      send_batch (test, RUNNING_BATCH, now, false);
      test->step = STEP_START;
    }
}

static snipe_time
on_tick (void *ctx, snipe_time now)
{
  struct test *test = ctx;

  snipe_node_tick (test->node, now);
  send_heartbeat (test, now);
  answer_poll (test, now);
  if (now - test->started_at > TIME_MAX)
    snipe_loop_stop (test->loop);
  switch (test->step)
    {
    case STEP_CLAIM:
      break;
    case STEP_START:
      if (test->starts == 0)
        break;
      send_cancel (test, RUNNING_BATCH);
      test->step = STEP_CANCEL_RUNNING;
      break;
    case STEP_CANCEL_RUNNING:
      if (test->acknowledgements < 1)
        break;
      CU_ASSERT_EQUAL (test->stops, 1);
      test->cancelled_at = now;
      send_cancel (test, LATE_BATCH);
      test->step = STEP_CANCEL_UNKNOWN;
      break;
    case STEP_CANCEL_UNKNOWN:
      if (test->acknowledgements < 2)
        break;
      send_batch (test, LATE_BATCH, now, false);
      test->step = STEP_SUBMIT_CANCELLED;
      break;
    case STEP_SUBMIT_CANCELLED:
      if (test->acknowledgements < 3 || now - test->cancelled_at < BACK_DELAY)
        break;
      send_batch (test, LATE_BATCH, test->cancelled_at, true);
      test->step = STEP_SUBMIT_OLD;
      break;
    case STEP_SUBMIT_OLD:
      if (test->acknowledgements < 4)
        break;
      CU_ASSERT_EQUAL (test->starts, 1);
      if (now - test->cancelled_at < BACK_DELAY)
        break;
      send_batch (test, LATE_BATCH, now, true);
      test->step = STEP_SUBMIT_AGAIN;
      break;
    case STEP_SUBMIT_AGAIN:
      if (test->starts < 2)
        break;
      CU_ASSERT_EQUAL (test->acknowledgements, 4);
      test->cancelled_at = now;
      send_cancel (test, LATE_BATCH);
      test->step = STEP_CANCEL_AGAIN;
      break;
    case STEP_CANCEL_AGAIN:
      if (test->acknowledgements < 5 || now - test->cancelled_at < BACK_DELAY)
        break;
      send_copy (test, LINK_SEND_HELD_BATCH, LATE_BATCH, now, false);
      test->step = STEP_SUBMIT_HELD;
      break;
    case STEP_SUBMIT_HELD:
      if (test->grants < 1)
        break;
      CU_ASSERT_EQUAL (test->acknowledgements, 5);
      CU_ASSERT_EQUAL (test->job_cancellations, 0);
      send_cancel_job (test);
      send_batch (test, COPY_BATCH, now, false);
      test->step = STEP_CANCELLED_JOB;
      break;
    case STEP_CANCELLED_JOB:
      if (test->acknowledgements < 6)
        break;
      CU_ASSERT_EQUAL (test->job_cancellations, 1);
      snipe_node_cancel (test->node, JOB_ID, now);
      test->step = STEP_CANCEL_HERE;
      break;
    case STEP_CANCEL_HERE:
      if (test->job_cancellations < 2)
        break;
      test->losses++;
      test->step = STEP_LOST;
      break;
    case STEP_LOST:
      if (test->job_cancellations < 3)
        break;
      test->step = STEP_END;
      snipe_loop_stop (test->loop);
      break;
    case STEP_END:
      break;
    }
  return 2 * SNIPE_MS;
}

/* Guards against an owner that does not acknowledge cancellations, so that its
 * peers cannot tell that one was lost (TWICE, review/2), against starting a
 * copy of a batch that arrives after its cancellation, against ignoring a
 * batch that has moved to another owner and comes back to this one, also held,
 * and against starting a batch of a job that was cancelled by its id, which
 * its coordinator has to be told. A host that counted the node as lost has
 * dropped its messages, so it is told again. */
static void
play (snipe_time held_up)
{
  struct snipe_node_options options = SNIPE_NODE_OPTIONS_INIT;
  struct snipe_link_options link = SNIPE_LINK_OPTIONS_INIT;
  struct snipe_endpoint_entry entry
      = { .id = "e",
          .service = "work",
          .domain = "a",
          .address = "127.0.0.1:1",
          .capacity = { .cpu = 64000, .mem_mb = 65536 },
          .started_ms = 1 };
  snipe_time now = snipe_clock_now ();
  struct test test = { .started_at = now, .held_up = held_up };

  CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&test.loop), SNIPE_OK);
  link.loop = options.loop = test.loop;
  link.listen = "127.0.0.1:0";
  link.received = on_message;
  link.closed = on_closed;
  link.ctx = &test;
  CU_ASSERT_EQUAL_FATAL (snipe_link_new (&test.link, &link), SNIPE_OK);
  g_snprintf (test.link_address, sizeof test.link_address, "127.0.0.1:%u",
              snipe_link_port (test.link));
  options.name = "h";
  options.domain = "a";
  options.listen = "127.0.0.1:0";
  options.callbacks = (struct snipe_node_callbacks)NODE_CALLBACKS_INIT;
  options.callbacks.ctx = &test;
  options.callbacks.start = on_start;
  options.callbacks.stop = on_stop;
  options.callbacks.poll = on_poll;
  CU_ASSERT_EQUAL_FATAL (snipe_node_new (&test.node, &options, now), SNIPE_OK);
  snipe_node_host_listed (test.node, test.link_address, now);
  snipe_node_set_store_reachable (test.node, true, now);
  snipe_node_endpoint_set (test.node, &entry, now);
  snipe_node_directory_synced (test.node, now, now);
  snipe_loop_run (test.loop, on_tick, &test);
  CU_ASSERT_EQUAL (test.step, STEP_END);
  CU_ASSERT_EQUAL (test.starts, 2);
  CU_ASSERT_EQUAL (test.stops, 2);
  snipe_link_free (test.link);
  snipe_node_free (test.node);
  snipe_loop_free (test.loop);
}

static void
test_acknowledged (void)
{
  play (0);
}

/* Guards against starting a copy that was sent before its cancellation, and
 * was in transit for longer: its coordinator, which has removed the batch,
 * would not cancel it any more. */
static void
test_heartbeats_held_up (void)
{
  play (200 * SNIPE_MS);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "cancellation acknowledged", test_acknowledged },
    { "heartbeats held up", test_heartbeats_held_up },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("cancel_batch", tests);
}
