/* Leases that a pool's owner extends for the tasks of another host, whose
 * messages are held up on the way. */
#include <CUnit/Basic.h>
#include <glib.h>

#include "link/link.h"
#include "node/callbacks.h"
#include "snipe/status.h"
#include "suite.h"

#define COORDINATOR 77
#define BATCH 1
#define HEARTBEAT_INTERVAL (50 * SNIPE_MS)
#define POLL_INTERVAL (20 * SNIPE_MS)
/* The coordinator's messages are in time until this time after the start of
 * its task, and arrive later and later from then on. */
#define DELAY_START (500 * SNIPE_MS)
#define TEST_TIME (1500 * SNIPE_MS)
#define TIME_MAX (20 * SNIPE_S)
/* Of the messages of the test, which is the coordinator and the endpoint. */
#define TRANSIT_MAX (10 * SNIPE_MS)

struct test
{
  struct snipe_loop *loop;
  struct snipe_node *node;
  struct snipe_link *link; /**< of the coordinator */
  char node_address[32];
  char link_address[32];
  snipe_time created_at;
  snipe_time started_at; /**< when the task was started */
  snipe_time heartbeat_due;
  snipe_time last_sent; /**< time of sending of the newest message */
  bool batch_sent;
  bool start_pending;
  bool poll_pending;
  uint64_t token;
  snipe_time poll_due;
  char task[SNIPE_TASK_NAME_BYTES];
  uint32_t run;
  uint32_t extensions;
  uint32_t short_extensions;
  snipe_time latest; /**< longest lease after the newest message was sent */
};

static void
check_lease (struct test *test, int64_t valid_until)
{
  snipe_time lease = valid_until * SNIPE_MS - test->last_sent;

  test->extensions++;
  test->short_extensions
      += valid_until * SNIPE_MS - snipe_clock_now () < 900 * SNIPE_MS;
  test->latest = MAX (test->latest, lease);
}

static void
on_start (void *ctx, const struct snipe_pool_start_request *request)
{
  struct test *test = ctx;

  test->started_at = snipe_clock_now ();
  test->start_pending = true;
  test->token = request->token;
  test->run = request->run;
  g_strlcpy (test->task, request->task, sizeof test->task);
  check_lease (test, request->valid_until);
}

static void
on_stop (void *ctx, const struct snipe_pool_stop_request *request)
{
  (void)ctx;
  (void)request;
}

static void
on_poll (void *ctx, const struct snipe_pool_poll_request *request)
{
  struct test *test = ctx;

  test->poll_pending = true;
  test->poll_due = snipe_clock_now () + MIN (request->wait, POLL_INTERVAL);
  test->token = request->token;
  if (request->valid_until > 0)
    check_lease (test, request->valid_until);
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

/* Sends a message that does not tell when it was sent: it may have stood in
 * the connection as long as the heartbeats have. */
static void
send_unstamped (struct test *test)
{
  const struct snipe_link_message message
      = { .procedure = LINK_SEND_DRAIN,
          .args.drain = { .pool = { .service = (char *)"none",
                                    .domain = (char *)"a",
                                    .shards = 1 },
                          .endpoint = (char *)"none" } };

  send_message (test, &message);
}

static void
send_heartbeat (struct test *test, snipe_time now)
{
  struct snipe_link_message message
      = { .procedure = LINK_SEND_HEARTBEAT,
          .args.heartbeat = { .incarnation = COORDINATOR,
                              .name = (char *)"c",
                              .address = test->link_address,
                              .domain = (char *)"b",
                              .cpu_millicores = 100,
                              .transit_us = 1,
                              .heartbeat_interval_ms = 150 } };

  /* The node calls first, as the coordinator is listed. */
  if (*test->node_address == '\0' || now < test->heartbeat_due)
    return;
  test->heartbeat_due = now + HEARTBEAT_INTERVAL;
  if (test->started_at == 0 || now - test->started_at < DELAY_START)
    test->last_sent = now;
  message.args.heartbeat.sent_us = test->last_sent;
  send_message (test, &message);
  send_unstamped (test);
}

static void
send_batch (struct test *test, snipe_time now)
{
  u_int index = 0;
  struct snipe_link_message message = {
    .procedure = LINK_SEND_BATCH,
    .args.batch
    = { .coordinator = COORDINATOR,
        .number = BATCH,
        .sent_us = now,
        .pool
        = { .service = (char *)"work", .domain = (char *)"a", .shards = 1 },
        .job = (char *)"0123456789abcdef",
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
        .attempt = 2 }
  };

  test->batch_sent = true;
  test->last_sent = now;
  send_message (test, &message);
}

/* Answers the requests that are due as the endpoint. */
static void
answer_requests (struct test *test, snipe_time now)
{
  struct snipe_endpoint_run running = { .run = test->run };
  struct snipe_endpoint_report report
      = { .clock_ms = now / SNIPE_MS,
          .started_ms = 1,
          .running = &running,
          .running_count = test->started_at != 0 };

  g_strlcpy (running.task, test->task, sizeof running.task);
  if (test->start_pending)
    {
      test->start_pending = false;
      snipe_node_on_start (test->node, test->token, "e", test->task, test->run,
                           SNIPE_ANSWER_OK, &report, now);
    }
  if (!test->poll_pending || now < test->poll_due)
    return;
  test->poll_pending = false;
  snipe_node_on_poll (test->node, test->token, "e", SNIPE_ANSWER_OK, &report,
                      now);
  snipe_node_directory_synced (test->node, now, now);
  if (!test->batch_sent)
    send_batch (test, now);
}

static snipe_time
on_tick (void *ctx, snipe_time now)
{
  struct test *test = ctx;

  snipe_node_tick (test->node, now);
  send_heartbeat (test, now);
  answer_requests (test, now);
  if (now - test->created_at > TIME_MAX
      || (test->started_at != 0 && now - test->started_at > TEST_TIME))
    snipe_loop_stop (test->loop);
  return 2 * SNIPE_MS;
}

/* Guards against taking the arrival of a message for a sign of life: it may
 * have stood in its connection since before the coordinator was lost, and the
 * lease then outlived the return of its caller. */
static void
test_delayed_messages (void)
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
  struct test test = { .created_at = now };

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
  CU_ASSERT_TRUE (test.started_at != 0);
  CU_ASSERT_TRUE (test.extensions > 10);
  CU_ASSERT_TRUE (test.short_extensions > 0);
  CU_ASSERT_TRUE (test.latest
                  <= options.resend_after - options.stop_max + TRANSIT_MAX);
  if (test.latest > options.resend_after - options.stop_max + TRANSIT_MAX)
    printf ("a lease expires %d ms after the last message was sent\n",
            (int)(test.latest / SNIPE_MS));
  snipe_link_free (test.link);
  snipe_node_free (test.node);
  snipe_loop_free (test.loop);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "delayed messages", test_delayed_messages },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("coordinator_heard", tests);
}
