/* What a coordinator sends, and to whom, when a batch moves between the owners
 * of its pool. */
#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>

#include "snipe/coordinator.h"
#include "snipe/status.h"
#include "suite.h"

#define SELF 1
#define A 2
#define B 3
#define C 4
#define HOSTS 5
#define START SNIPE_S
#define CALLER_TIMEOUT (3 * SNIPE_S)
#define TICK (20 * SNIPE_MS)
#define STEPS 8
#define MOVES 4
#define OPEN (-1)

struct record
{
  uint64_t number;         /**< of the batch */
  uint32_t attempt;        /**< the last one */
  uint32_t batches[HOSTS]; /**< sent to each host */
  uint32_t resent[HOSTS];  /**< of these, marked as resent */
  uint32_t moved[HOSTS];   /**< cancellations because the batch has moved */
  uint32_t others[HOSTS];  /**< other cancellations */
  uint32_t again;          /**< cancellations marked as sent again */
  uint64_t unreachable;    /**< host that gets no batches */
  struct snipe_coordinator_move moves[MOVES];
  uint32_t move_count;
  int outcome;
};

static int
on_submit (void *ctx, uint64_t owner, const struct snipe_pool_id *pool,
           const struct snipe_pool_batch *batch)
{
  struct record *record = ctx;

  (void)pool;
  if (owner == record->unreachable)
    return SNIPE_E_UNREACHABLE;
  record->number = batch->number;
  record->attempt = batch->attempt;
  record->batches[owner]++;
  record->resent[owner] += batch->resent;
  return SNIPE_OK;
}

static void
on_cancel (void *ctx,
           const struct snipe_coordinator_cancellation *cancellation)
{
  struct record *record = ctx;

  CU_ASSERT_EQUAL (cancellation->number, record->number);
  if (cancellation->moved)
    record->moved[cancellation->owner]++;
  else
    record->others[cancellation->owner]++;
  record->again += cancellation->again;
}

static void
on_moved (void *ctx, const struct snipe_coordinator_move *move)
{
  struct record *record = ctx;

  CU_ASSERT_FATAL (record->move_count < MOVES);
  CU_ASSERT_STRING_EQUAL (move->job, "0123456789abcdef");
  CU_ASSERT_STRING_EQUAL (move->pool->domain, "a");
  CU_ASSERT_EQUAL (move->number, record->number);
  record->moves[record->move_count++] = *move;
}

static void
on_answer (void *ctx, void *job_ctx,
           const struct snipe_coordinator_answer *answer)
{
  (void)job_ctx;
  ((struct record *)ctx)->outcome = (int)answer->outcome;
}

enum action
{
  END,
  OWNER,       /**< the host claims the pool with a token */
  LOST,        /**< the host counts as lost */
  WAIT,        /**< for a number of ms */
  ACKNOWLEDGE, /**< the host acknowledges a cancellation */
  RESULT,      /**< the host sends a result with a code */
  ABANDON,     /**< the caller closes its connection */
  RECONNECT,   /**< the connection to the host is replaced */
  UNREACHABLE, /**< the host gets no batches; 0: all do */
};

struct step
{
  enum action action;
  uint64_t host;
  int value;
};

struct move_case
{
  const char *name;
  uint64_t first; /**< owner to which the batch is sent first */
  struct step steps[STEPS];
  uint32_t moves;
  uint32_t moved[HOSTS];   /**< cancellations that are expected */
  uint32_t others[HOSTS];  /**< the same, because the job was abandoned */
  uint32_t batches[HOSTS]; /**< batches that are expected */
  int outcome;             /**< of the job, or OPEN */
};

static void
send_result (struct snipe_coordinator *coordinator,
             const struct record *record, const struct step *step,
             snipe_time now)
{
  uint32_t outcome
      = step->value == SNIPE_OK ? SNIPE_TASK_DONE : SNIPE_TASK_STOPPED;
  struct snipe_pool_result result = { .coordinator = SELF,
                                      .number = record->number,
                                      .attempt = 1,
                                      .outcomes = &outcome,
                                      .count = 1,
                                      .code = step->value };

  if (step->action == ACKNOWLEDGE)
    {
      result.attempt = 0;
      result.count = 0;
      result.code = SNIPE_E_CANCELLED;
    }
  snipe_coordinator_handle_result (coordinator, step->host, &result, now);
}

static void
run_step (struct snipe_coordinator *coordinator, struct record *record,
          const struct step *step, snipe_time *now)
{
  static const struct snipe_pool_id pool
      = { .service = "work", .domain = "a", .shards = 1 };
  snipe_time until = *now + step->value * SNIPE_MS;

  switch (step->action)
    {
    case OWNER:
      snipe_coordinator_set_owner (coordinator, &pool, step->host,
                                   (uint64_t)step->value, *now);
      break;
    case LOST:
      snipe_coordinator_owner_lost (coordinator, step->host, *now);
      break;
    case WAIT:
      for (; *now < until; *now += TICK)
        snipe_coordinator_tick (coordinator, *now);
      snipe_coordinator_tick (coordinator, *now);
      break;
    case ACKNOWLEDGE:
    case RESULT:
      send_result (coordinator, record, step, *now);
      break;
    case ABANDON:
      snipe_coordinator_abandon (coordinator, record, *now);
      break;
    case RECONNECT:
      snipe_coordinator_resend (coordinator, step->host);
      break;
    case UNREACHABLE:
      record->unreachable = step->host;
      break;
    case END:
      break;
    }
}

static struct snipe_coordinator *
submit_job (struct record *record, uint64_t owner)
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
          .estimate = SNIPE_S,
          .slack_factor = 3,
          .caller_deadline = START + CALLER_TIMEOUT,
          .ctx = record };
  struct snipe_coordinator *coordinator;

  *record = (struct record){ .outcome = OPEN };
  options.incarnation = SELF;
  options.domain = "a";
  options.callbacks
      = (struct snipe_coordinator_callbacks){ .ctx = record,
                                              .submit = on_submit,
                                              .cancel = on_cancel,
                                              .moved = on_moved,
                                              .answer = on_answer };
  CU_ASSERT_EQUAL_FATAL (snipe_coordinator_new (&coordinator, &options),
                         SNIPE_OK);
  snipe_coordinator_update_load (coordinator, &load, START);
  snipe_coordinator_submit (coordinator, &job, START);
  return coordinator;
}

static const struct move_case cases[] = {
  /* The earlier owner has to be told. */
  { "acknowledged",
    A,
    { { OWNER, B, 2 },
      { WAIT, 0, 180 },
      { WAIT, 0, 40 },
      { ACKNOWLEDGE, A, 0 },
      { WAIT, 0, 1000 } },
    1,
    { [A] = 1 },
    { 0 },
    { [A] = 1, [B] = 1 },
    OPEN },
  { "not sent before the claim is known",
    A,
    { { OWNER, B, 2 }, { WAIT, 0, 180 } },
    1,
    { 0 },
    { 0 },
    { [A] = 1, [B] = 1 },
    OPEN },
  { "repeated",
    A,
    { { OWNER, B, 2 }, { WAIT, 0, 680 } },
    1,
    { [A] = 3 },
    { 0 },
    { [A] = 1, [B] = 1 },
    OPEN },
  { "not repeated after the caller's deadline",
    A,
    { { WAIT, 0, 2700 }, { OWNER, B, 2 }, { WAIT, 0, 5000 } },
    1,
    { [A] = 1 },
    { [B] = 1 },
    { [A] = 1, [B] = 1 },
    SNIPE_COORDINATOR_UNKNOWN },
  { "acknowledged by another host",
    A,
    { { OWNER, B, 2 },
      { WAIT, 0, 220 },
      { ACKNOWLEDGE, C, 0 },
      { WAIT, 0, 200 } },
    1,
    { [A] = 2 },
    { 0 },
    { [A] = 1, [B] = 1 },
    OPEN },
  { "connection replaced",
    A,
    { { OWNER, B, 2 },
      { WAIT, 0, 220 },
      { RECONNECT, A, 0 },
      { WAIT, 0, 20 } },
    1,
    { [A] = 2 },
    { 0 },
    { [A] = 1, [B] = 1 },
    OPEN },
  { "connection replaced before",
    A,
    { { OWNER, B, 2 }, { RECONNECT, A, 0 }, { WAIT, 0, 180 } },
    1,
    { 0 },
    { 0 },
    { [A] = 1, [B] = 1 },
    OPEN },
  { "caller leaves: at once",
    A,
    { { OWNER, B, 2 }, { WAIT, 0, 20 }, { ABANDON, 0, 0 }, { WAIT, 0, 20 } },
    1,
    { [A] = 1 },
    { [B] = 1 },
    { [A] = 1, [B] = 1 },
    OPEN },
  /* The table of cancellations was keyed by the number of the batch. */
  { "two earlier owners",
    A,
    { { OWNER, B, 2 },
      { OWNER, C, 3 },
      { WAIT, 0, 220 },
      { ACKNOWLEDGE, A, 0 },
      { WAIT, 0, 460 } },
    2,
    { [A] = 1, [B] = 3 },
    { 0 },
    { [A] = 1, [B] = 1, [C] = 1 },
    OPEN },
  { "an earlier and a present owner",
    A,
    { { OWNER, B, 2 },
      { WAIT, 0, 220 },
      { ABANDON, 0, 0 },
      { ACKNOWLEDGE, B, 0 },
      { WAIT, 0, 460 } },
    1,
    { [A] = 3 },
    { [B] = 1 },
    { [A] = 1, [B] = 1 },
    OPEN },
  /* A batch that comes back must not be stopped. */
  { "back before the cancellation",
    A,
    { { OWNER, B, 2 },
      { WAIT, 0, 100 },
      { OWNER, A, 3 },
      { WAIT, 0, 220 },
      { ACKNOWLEDGE, B, 0 },
      { WAIT, 0, 700 } },
    2,
    { [B] = 1 },
    { 0 },
    { [A] = 2, [B] = 1 },
    OPEN },
  { "back while it is repeated",
    A,
    { { OWNER, B, 2 },
      { WAIT, 0, 440 },
      { OWNER, A, 3 },
      { WAIT, 0, 220 },
      { ACKNOWLEDGE, B, 0 },
      { WAIT, 0, 700 } },
    2,
    { [A] = 2, [B] = 1 },
    { 0 },
    { [A] = 2, [B] = 1 },
    OPEN },
  { "back, and an older cancellation arrives after it",
    A,
    { { OWNER, B, 2 },
      { WAIT, 0, 220 },
      { OWNER, A, 3 },
      { ACKNOWLEDGE, A, 0 },
      { ACKNOWLEDGE, B, 0 },
      { WAIT, 0, 180 },
      { WAIT, 0, 600 } },
    2,
    { [A] = 1 },
    { 0 },
    { [A] = 3, [B] = 1 },
    OPEN },
  /* Owners that are not told. */
  { "same owner, higher token",
    A,
    { { OWNER, A, 2 }, { WAIT, 0, 700 } },
    1,
    { 0 },
    { 0 },
    { [A] = 2 },
    OPEN },
  { "same owner, lost and back",
    A,
    { { LOST, A, 0 }, { OWNER, A, 1 }, { WAIT, 0, 700 } },
    1,
    { 0 },
    { 0 },
    { [A] = 2 },
    OPEN },
  { "same token",
    A,
    { { OWNER, B, 1 }, { WAIT, 0, 700 } },
    0,
    { 0 },
    { 0 },
    { [A] = 1 },
    OPEN },
  /* Special owners. */
  { "this host: told once",
    SELF,
    { { OWNER, B, 2 }, { WAIT, 0, 700 } },
    1,
    { [SELF] = 1 },
    { 0 },
    { [SELF] = 1, [B] = 1 },
    OPEN },
  { "to this host",
    A,
    { { OWNER, SELF, 2 },
      { WAIT, 0, 220 },
      { ACKNOWLEDGE, A, 0 },
      { WAIT, 0, 700 } },
    1,
    { [A] = 1 },
    { 0 },
    { [A] = 1, [SELF] = 1 },
    OPEN },
  { "lost owner, which may be back",
    A,
    { { LOST, A, 0 },
      { WAIT, 0, 300 },
      { OWNER, B, 2 },
      { WAIT, 0, 460 },
      { ACKNOWLEDGE, A, 0 },
      { WAIT, 0, 700 } },
    1,
    { [A] = 2 },
    { 0 },
    { [A] = 1, [B] = 1 },
    OPEN },
  { "new owner unreachable at first",
    A,
    { { UNREACHABLE, B, 0 },
      { OWNER, B, 2 },
      { WAIT, 0, 180 },
      { UNREACHABLE, 0, 0 },
      { WAIT, 0, 200 } },
    1,
    { 0 },
    { 0 },
    { [A] = 1, [B] = 1 },
    OPEN },
  { "new owner unreachable, caller leaves",
    A,
    { { UNREACHABLE, B, 0 },
      { OWNER, B, 2 },
      { WAIT, 0, 180 },
      { ABANDON, 0, 0 },
      { WAIT, 0, 20 } },
    1,
    { 0 },
    { [A] = 1 },
    { [A] = 1 },
    OPEN },
  { "connection replaced, and not usable at once",
    A,
    { { UNREACHABLE, A, 0 },
      { RECONNECT, A, 0 },
      { UNREACHABLE, 0, 0 },
      { WAIT, 0, 20 } },
    0,
    { 0 },
    { 0 },
    { [A] = 2 },
    OPEN },
  /* Results of an earlier owner. */
  { "completed by the earlier owner",
    A,
    { { OWNER, B, 2 }, { WAIT, 0, 220 }, { RESULT, A, SNIPE_OK } },
    1,
    { [A] = 1 },
    { [B] = 1 },
    { [A] = 1, [B] = 1 },
    SNIPE_COORDINATOR_COMPLETE },
  { "completed by the earlier owner, the other lost a message",
    A,
    { { OWNER, B, 2 }, { RESULT, A, SNIPE_OK }, { WAIT, 0, 220 } },
    1,
    { 0 },
    { [B] = 2 },
    { [A] = 1, [B] = 1 },
    SNIPE_COORDINATOR_COMPLETE },
  { "completed by the present owner",
    A,
    { { OWNER, B, 2 }, { RESULT, B, SNIPE_OK }, { WAIT, 0, 20 } },
    1,
    { [A] = 1 },
    { 0 },
    { [A] = 1, [B] = 1 },
    SNIPE_COORDINATOR_COMPLETE },
  { "given up by the earlier owner",
    A,
    { { OWNER, B, 2 },
      { RESULT, A, SNIPE_E_CANCELLED },
      { RESULT, A, SNIPE_E_TASK_LOST },
      { RESULT, A, SNIPE_E_DEADLINE },
      { ACKNOWLEDGE, A, 0 },
      { WAIT, 0, 100 } },
    1,
    { 0 },
    { 0 },
    { [A] = 1, [B] = 1 },
    OPEN },
  { "given up by it, and it has the batch again",
    A,
    { { OWNER, B, 2 },
      { OWNER, A, 3 },
      { RESULT, A, SNIPE_E_CANCELLED },
      { RESULT, A, SNIPE_E_TASK_LOST },
      { WAIT, 0, 100 } },
    2,
    { 0 },
    { 0 },
    { [A] = 2, [B] = 1 },
    OPEN },
};

/* Guards against an owner that goes on with a batch which has moved to another
 * one or was completed by it, against cancelling it where it is continued, and
 * against a job that ends because an earlier owner has given it up. */
static void
test_owners_told (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct move_case *c = &cases[i];
      unsigned int before = CU_get_number_of_failures ();
      struct record record;
      struct snipe_coordinator *coordinator = submit_job (&record, c->first);
      snipe_time now = START;
      uint32_t first_messages = 0;
      uint32_t messages = 0;

      for (size_t k = 0; k < STEPS; k++)
        run_step (coordinator, &record, &c->steps[k], &now);
      for (size_t host = SELF; host < HOSTS; host++)
        {
          CU_ASSERT_EQUAL (record.moved[host], c->moved[host]);
          CU_ASSERT_EQUAL (record.others[host], c->others[host]);
          CU_ASSERT_EQUAL (record.batches[host], c->batches[host]);
          CU_ASSERT_EQUAL (record.resent[host],
                           record.batches[host] - (host == c->first));
          first_messages
              += (record.moved[host] > 0) + (record.others[host] > 0);
          messages += record.moved[host] + record.others[host];
        }
      CU_ASSERT_EQUAL (record.again, messages - first_messages);
      CU_ASSERT_EQUAL (record.move_count, c->moves);
      CU_ASSERT_EQUAL (record.outcome, c->outcome);
      if (CU_get_number_of_failures () != before)
        printf ("\n  %s: A %u, B %u, again %u, outcome %d", c->name,
                record.moved[A], record.moved[B], record.again,
                record.outcome);
      snipe_coordinator_free (coordinator);
    }
}

/* Guards against a log that names the wrong owners of a moved batch. */
static void
test_reported (void)
{
  static const struct step steps[]
      = { { LOST, A, 0 }, { OWNER, B, 5 }, { OWNER, A, 7 }, { OWNER, A, 8 } };
  static const struct snipe_coordinator_move expected[]
      = { { .from = A, .from_token = 1, .to = B, .to_token = 5 },
          { .from = B, .from_token = 5, .to = A, .to_token = 7 },
          { .from = A, .from_token = 7, .to = A, .to_token = 8 } };
  struct record record;
  struct snipe_coordinator *coordinator = submit_job (&record, A);
  snipe_time now = START;

  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    run_step (coordinator, &record, &steps[i], &now);
  CU_ASSERT_EQUAL (record.move_count, G_N_ELEMENTS (expected));
  for (size_t i = 0; i < G_N_ELEMENTS (expected); i++)
    {
      CU_ASSERT_EQUAL (record.moves[i].from, expected[i].from);
      CU_ASSERT_EQUAL (record.moves[i].from_token, expected[i].from_token);
      CU_ASSERT_EQUAL (record.moves[i].to, expected[i].to);
      CU_ASSERT_EQUAL (record.moves[i].to_token, expected[i].to_token);
    }
  snipe_coordinator_free (coordinator);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "owners told", test_owners_told },
    { "moves reported", test_reported },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("moved_batch", tests);
}
