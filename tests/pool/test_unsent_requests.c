/* Guards against what a pool concludes from requests that were not sent, or
 * that were sent as late as they may be. */
#include "pool/model.h"
#include "suite.h"

#define OWNER 0
#define TASK_TIME (600 * SNIPE_MS)
#define TASK_CPU 30000

static snipe_time
task_duration (const char *task)
{
  (void)task;
  return TASK_TIME;
}

static snipe_time
long_duration (const char *task)
{
  (void)task;
  return 5 * TASK_TIME;
}

static void
start_model (struct model *model, uint32_t endpoints)
{
  model_init (model, endpoints, TASK_CPU, task_duration);
  model->network = MODEL_CONNECTIONS;
  model_claim (model, OWNER, 1 << 20, endpoints);
  snipe_pool_directory_synced (model->owners[OWNER].pool);
  model_advance (model, model->now + 20 * SNIPE_MS);
}

static void
submit (struct model *model, uint64_t number)
{
  struct model_job job
      = { .coordinator = 1,
          .number = number,
          .job = number == 1 ? "0123456789abcdef" : "fedcba9876543210",
          .count = 1,
          .estimate = TASK_TIME,
          .soft_deadline = 2 * TASK_TIME,
          .hard_deadline = 10 * TASK_TIME,
          .caller_deadline = 10 * TASK_TIME };

  model_submit (model, OWNER, &job);
}

static uint32_t unsent_starts; /**< bit set, by their number */
static uint32_t lost_starts;   /**< the same */
static uint32_t lost_answers;  /**< the same */

/* The connections of some start requests are established a second late. */
static bool
disturb_starts (struct model *model, struct model_event *event)
{
  uint32_t bit = 1U << model->start_requests;

  if (event->kind != MODEL_START)
    return true;
  if (unsent_starts & bit)
    {
      event->new_connection = true;
      event->connecting = true;
      event->time += SNIPE_S;
    }
  event->answer_lost = lost_answers & bit;
  return !(lost_starts & bit);
}

/* Guards against a task that waits for a lease, or whose run is stopped,
 * because a start request was not sent. */
static void
test_unsent_start (void)
{
  static const struct
  {
    const char *name;
    uint32_t unsent;
    uint32_t lost;
    uint32_t answers_lost;
    uint32_t starts;    /**< that were carried out */
    snipe_time done_by; /**< after the submission */
  } cases[] = {
    /* Timeouts of the requests and pauses of the endpoint. */
    { "first request", 1U << 1, 0, 0, 1, TASK_TIME + 200 * SNIPE_MS },
    { "first two requests", 3U << 1, 0, 0, 1, TASK_TIME + 700 * SNIPE_MS },
    { "second request, the first is lost", 1U << 2, 1U << 1, 0, 1,
      TASK_TIME + 300 * SNIPE_MS },
    { "second request, the first runs", 1U << 2, 0, 1U << 1, 1,
      TASK_TIME + 100 * SNIPE_MS },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      unsigned int before = CU_get_number_of_failures ();
      const struct model_result *result;
      struct model model;
      snipe_time begin;

      start_model (&model, 1);
      begin = model.now;
      unsent_starts = cases[i].unsent;
      lost_starts = cases[i].lost;
      lost_answers = cases[i].answers_lost;
      model.on_message = disturb_starts;
      submit (&model, 1);
      model_advance (&model, begin + 5 * SNIPE_S);
      result = model_find_result (&model, 1);
      CU_ASSERT_TRUE (result != NULL && result->done == 1);
      CU_ASSERT_EQUAL (model.starts, cases[i].starts);
      CU_ASSERT_TRUE (result != NULL
                      && result->time - begin <= cases[i].done_by);
      CU_ASSERT_TRUE (snipe_pool_idle (model.owners[OWNER].pool));
      if (CU_get_number_of_failures () > before)
        printf ("  %s: %u starts\n", cases[i].name, model.starts);
      model_clear (&model);
    }
}

static uint32_t unbounded_polls;
static uint32_t harmful_polls; /**< with an effect, but without a bound */

static void
check_poll (void *ctx, const struct snipe_pool_poll_request *request)
{
  unbounded_polls += request->send_within == 0;
  harmful_polls += request->send_within == 0
                   && (request->valid_until > 0 || request->last_seen_end > 0);
  model_on_poll (ctx, request);
}

/* Guards against a poll request that waits for its connection and then extends
 * the lease of a new incarnation or acknowledges its ends; and against a slow
 * endpoint that no request ever reaches because all of them end before they
 * have a connection. */
static void
test_poll_at_any_time (void)
{
  struct snipe_pool_options options = SNIPE_POOL_OPTIONS_INIT;
  struct model model;

  model_init (&model, 1, TASK_CPU, task_duration);
  model.network = MODEL_CONNECTIONS;
  options.token = 1 << 20;
  options.callbacks
      = (struct snipe_pool_callbacks){ .ctx = &model.owners[OWNER],
                                       .start = model_on_start,
                                       .stop = model_on_stop,
                                       .poll = check_poll,
                                       .result = model_on_result };
  CU_ASSERT_EQUAL_FATAL (
      snipe_pool_new (&model.owners[OWNER].pool, &options, model.now), 0);
  snipe_pool_endpoint_set (model.owners[OWNER].pool, &model.endpoints[0].entry,
                           model.now);
  snipe_pool_directory_synced (model.owners[OWNER].pool);
  model_advance (&model, model.now + 20 * SNIPE_MS);
  submit (&model, 1);
  model_advance (&model, model.now + 2 * TASK_TIME);
  submit (&model, 2);
  model_advance (&model, model.now + TASK_TIME / 2);
  unbounded_polls = 0;
  model.endpoints[0].unresponsive = true;
  model_advance (&model, model.now + 3 * SNIPE_S);
  CU_ASSERT_TRUE (unbounded_polls > 0);
  CU_ASSERT_EQUAL (harmful_polls, 0);
  model_clear (&model);
}

/** Until when the last start request may be sent. */
static snipe_time start_deadline;
/** Time between that and the first assumed end, 0: none. */
static snipe_time assumed_end_after;

static void
note_start (void *ctx, const struct snipe_pool_start_request *request)
{
  struct model *model = ((struct model_owner *)ctx)->model;

  start_deadline = model->now + request->send_within;
  model_on_start (ctx, request);
}

static void
note_assumed_end (void *ctx, const struct snipe_pool_assumed_end *end)
{
  if (end->reason == SNIPE_ASSUMED_LEASE && assumed_end_after == 0)
    assumed_end_after
        = ((struct model_owner *)ctx)->model->now - start_deadline;
}

/* Guards against a run that is taken as ended while the last start request for
 * it may have begun a lease at a new incarnation: on a slow link requests may
 * be sent half a lease late. */
static void
test_lease_after_late_sending (void)
{
  static const snipe_time delays[] = { 0, 40 * SNIPE_MS, 300 * SNIPE_MS };

  for (size_t i = 0; i < G_N_ELEMENTS (delays); i++)
    {
      struct snipe_pool_options options = SNIPE_POOL_OPTIONS_INIT;
      struct model model;

      model_init (&model, 1, TASK_CPU, task_duration);
      model.network = MODEL_CONNECTIONS;
      options.token = 1 << 20;
      options.callbacks
          = (struct snipe_pool_callbacks){ .ctx = &model.owners[OWNER],
                                           .start = note_start,
                                           .stop = model_on_stop,
                                           .poll = model_on_poll,
                                           .result = model_on_result,
                                           .assumed_end = note_assumed_end };
      CU_ASSERT_EQUAL_FATAL (
          snipe_pool_new (&model.owners[OWNER].pool, &options, model.now), 0);
      snipe_pool_endpoint_set (model.owners[OWNER].pool,
                               &model.endpoints[0].entry, model.now);
      snipe_pool_directory_synced (model.owners[OWNER].pool);
      model_advance (&model, model.now + 20 * SNIPE_MS);
      model.endpoints[0].start_delay = delays[i];
      for (int k = 0; k < 6; k++)
        {
          submit (&model, 1);
          model_advance (&model, model.now + 2 * TASK_TIME);
        }
      assumed_end_after = 0;
      model.endpoints[0].unresponsive = true;
      submit (&model, 2);
      model_advance (&model, model.now + 4 * SNIPE_S);
      CU_ASSERT_TRUE (assumed_end_after >= MODEL_LEASE + MODEL_LEASE / 50);
      model_clear (&model);
    }
}

static snipe_time held_for;
static snipe_time held_until;
static uint32_t held_endpoint;

/* An endpoint restarts just before it gets its first start request, and is cut
 * off when that has been sent. */
static bool
hold_first_start (struct model *model, struct model_event *event)
{
  if (held_until == 0 && event->kind == MODEL_START)
    {
      held_endpoint = event->endpoint;
      model_restart (model, held_endpoint);
      held_until = model->now + held_for;
      event->new_connection = true;
      event->time = held_until;
    }
  else if (event->endpoint == held_endpoint && model->now < held_until)
    {
      event->new_connection = event->kind <= MODEL_POLL;
      event->connecting = event->new_connection;
      event->time = MAX (event->time, held_until + 5 * SNIPE_MS);
    }
  return true;
}

/* Guards against a start that was sent in time, on a connection to an
 * incarnation that its owner does not know, and is held up there until its run
 * has been taken as ended. */
static void
test_start_held_up_on_new_connection (void)
{
  static const snipe_time times[]
      = { 600 * SNIPE_MS,  1000 * SNIPE_MS, 1300 * SNIPE_MS,
          1500 * SNIPE_MS, 2000 * SNIPE_MS, 2500 * SNIPE_MS };

  for (size_t i = 0; i < G_N_ELEMENTS (times); i++)
    {
      struct model model;

      held_for = times[i];
      held_until = 0;
      start_model (&model, 2);
      model.duration = long_duration;
      model.on_message = hold_first_start;
      submit (&model, 1);
      model_advance (&model, model.now + 8 * SNIPE_S);
      CU_ASSERT_EQUAL (model.duplicate_runs, 0);
      CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 1));
      model_clear (&model);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "start not sent", test_unsent_start },
    { "poll at any time", test_poll_at_any_time },
    { "lease after late sending", test_lease_after_late_sending },
    { "start held up on a new connection",
      test_start_held_up_on_new_connection },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("unsent_requests", tests);
}
