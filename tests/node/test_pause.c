/* A host whose process was stopped for longer than others take to count it as
 * lost. Time is an argument, so the pause is simulated. */
#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "node/callbacks.h"
#include "snipe/status.h"
#include "suite.h"

#define START (1000 * SNIPE_S)
#define PAUSE (5 * SNIPE_S)
#define TASK_CPU 30000

struct record
{
  struct snipe_node *node;
  uint32_t starts;
  uint32_t polls;
  uint64_t poll_token;
  char polled[SNIPE_NAME_BYTES];
  uint32_t answers;
  struct snipe_coordinator_answer answer;
};

static void
on_start (void *ctx, const struct snipe_pool_start_request *request)
{
  (void)request;
  ((struct record *)ctx)->starts++;
}

static void
on_poll (void *ctx, const struct snipe_pool_poll_request *request)
{
  struct record *record = ctx;

  record->polls++;
  record->poll_token = request->token;
  g_strlcpy (record->polled, request->endpoint->id, sizeof record->polled);
}

static void
on_answer (void *ctx, void *job_ctx,
           const struct snipe_coordinator_answer *answer)
{
  struct record *record = ctx;

  (void)job_ctx;
  record->answers++;
  record->answer = *answer;
}

static void
set_endpoint (struct record *record, const char *id, int64_t cpu,
              snipe_time now)
{
  struct snipe_endpoint_entry entry
      = { .service = "work",
          .domain = "a",
          .address = "127.0.0.1:1",
          .capacity = { .cpu = cpu, .mem_mb = 1000 },
          .started_ms = 1 };

  g_strlcpy (entry.id, id, sizeof entry.id);
  snipe_node_endpoint_set (record->node, &entry, now);
}

/* Answers the polls of the claimed pool. */
static void
answer_poll (struct record *record, snipe_time now)
{
  struct snipe_endpoint_report report = { .clock_ms = 5000, .started_ms = 1 };

  snipe_node_on_poll (record->node, record->poll_token, record->polled,
                      SNIPE_ANSWER_OK, &report, now);
}

static void
submit (struct record *record, const char *id, int64_t cpu, snipe_time now)
{
  struct snipe_coordinator_job job
      = { .id = id,
          .route = "r",
          .service = "work",
          .spec = { .data = (char *)"s", .len = 1 },
          .count = 1,
          .task_resources = { .cpu = cpu, .mem_mb = 64 },
          .label = "",
          .rack = "",
          .attempts = 3,
          .estimate = 200 * SNIPE_MS,
          .slack_factor = 1.6,
          .slo = 60 * SNIPE_MS,
          .caller_deadline = now + 60 * SNIPE_S };

  snipe_node_submit (record->node, &job, now);
}

/* What the process hears first after the pause. */
static void
endpoint_listed (struct record *record, snipe_time now)
{
  set_endpoint (record, "big", 4 * TASK_CPU, now);
}

static void
directory_read (struct record *record, snipe_time now)
{
  set_endpoint (record, "big", 4 * TASK_CPU, now);
  snipe_node_directory_synced (record->node, now, now);
}

static void
poll_answered (struct record *record, snipe_time now)
{
  answer_poll (record, now);
}

static void
caller_gone (struct record *record, snipe_time now)
{
  snipe_node_abandon (record->node, NULL, now);
}

static void
cancelled (struct record *record, snipe_time now)
{
  snipe_node_cancel (record->node, "00000000000000ff", now);
}

static void
ticked (struct record *record, snipe_time now)
{
  snipe_node_tick (record->node, now);
}

/* Guards against a host that goes on with pools and jobs of before a pause,
 * whatever it hears first after it: other hosts may have taken both over. */
static void
test_first_event (void)
{
  static const struct
  {
    const char *name;
    void (*hear) (struct record *record, snipe_time now);
  } cases[] = {
    { "endpoint listed", endpoint_listed },
    { "directory read", directory_read },
    { "poll answered", poll_answered },
    { "caller gone", caller_gone },
    { "job cancelled", cancelled },
    { "tick", ticked },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct snipe_node_options options = SNIPE_NODE_OPTIONS_INIT;
      struct record record = { 0 };
      snipe_time now = START;
      uint32_t starts;

      options.name = "h";
      options.domain = "a";
      options.listen = "127.0.0.1:0";
      options.first_start = true;
      CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&options.loop), SNIPE_OK);
      options.callbacks = (struct snipe_node_callbacks)NODE_CALLBACKS_INIT;
      options.callbacks.ctx = &record;
      options.callbacks.start = on_start;
      options.callbacks.poll = on_poll;
      options.callbacks.answer = on_answer;
      CU_ASSERT_EQUAL_FATAL (snipe_node_new (&record.node, &options, now),
                             SNIPE_OK);
      snipe_node_set_store_reachable (record.node, true, now);
      set_endpoint (&record, "small", TASK_CPU, now);
      snipe_node_directory_synced (record.node, now, now);
      for (; now < START + SNIPE_S; now += 20 * SNIPE_MS)
        snipe_node_tick (record.node, now);
      CU_ASSERT_EQUAL_FATAL (record.polls, 1);
      answer_poll (&record, now);
      snipe_node_directory_synced (record.node, now, now);
      snipe_node_tick (record.node, now);
      /* The first task fills the endpoint, the second one waits. */
      submit (&record, "0000000000000001", TASK_CPU, now);
      submit (&record, "0000000000000002", TASK_CPU, now);
      CU_ASSERT_EQUAL (record.starts, 1);
      CU_ASSERT_EQUAL (record.answers, 0);
      starts = record.starts;
      now += PAUSE;
      cases[i].hear (&record, now);
      if (record.starts != starts || record.answers != 2)
        printf ("\n  %s: %u starts, %u answers", cases[i].name,
                record.starts - starts, record.answers);
      CU_ASSERT_EQUAL (record.starts, starts);
      CU_ASSERT_EQUAL (record.answers, 2);
      CU_ASSERT_EQUAL (record.answer.outcome, SNIPE_COORDINATOR_UNKNOWN);
      snipe_node_free (record.node);
      snipe_loop_free (options.loop);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "first event after a pause", test_first_event },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("pause", tests);
}
