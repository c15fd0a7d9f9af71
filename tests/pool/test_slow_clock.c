#include "pool/model.h"
#include "suite.h"

#define OWNER 0
#define TASK_TIME (5 * SNIPE_S)
#define IDLE_TIME (60 * SNIPE_S)
/* Slowest clock of an endpoint, by the platform's rules. */
#define SLOWEST_RATE 0.98

static snipe_time
long_duration (const char *task)
{
  (void)task;
  return TASK_TIME;
}

static const struct model_job job = { .coordinator = 1,
                                      .number = 1,
                                      .job = "0123456789abcdef",
                                      .count = 1,
                                      .estimate = TASK_TIME,
                                      .soft_deadline = 2 * TASK_TIME,
                                      .hard_deadline = 3 * TASK_TIME,
                                      .caller_deadline = 3 * TASK_TIME };

/* Two endpoints with slow clocks, of which none has been used for a minute. */
static void
start_model (struct model *model)
{
  model_init (model, 2, 30000, long_duration);
  for (uint32_t i = 0; i < model->endpoint_count; i++)
    model->endpoints[i].clock_rate = SLOWEST_RATE;
  model_claim (model, OWNER, 1 << 20, model->endpoint_count);
  snipe_pool_directory_synced (model->owners[OWNER].pool);
  model_advance (model, model->now + IDLE_TIME);
}

/* @return the endpoint to which the pending start request is sent. */
static uint32_t
start_request_endpoint (struct model *model)
{
  for (const GList *at = model->events.head; at != NULL; at = at->next)
    {
      const struct model_event *event = at->data;

      if (event->kind == MODEL_START)
        return event->endpoint;
    }
  CU_FAIL_FATAL ("no start request");
  return 0;
}

/* Guards against a start request that is held up on the way and still valid
 * after its owner has taken the run as ended: the owner computed the time
 * until which it is valid as if the endpoint's clock were exact, and an idle
 * endpoint's clock had been read long ago. The task ran twice at the same
 * time, and the endpoint's capacity was given away twice. */
static void
test_delayed_start (void)
{
  for (snipe_time delay = SNIPE_S; delay < 3 * SNIPE_S; delay += SNIPE_S / 8)
    {
      struct model model;
      uint32_t chosen;

      start_model (&model);
      for (uint32_t i = 0; i < model.endpoint_count; i++)
        model.endpoints[i].start_delay = delay;
      model_submit (&model, OWNER, &job);
      chosen = start_request_endpoint (&model);
      model.endpoints[chosen].drops_stops = true;
      model.endpoints[chosen].drops_polls = true;
      model.endpoints[1 - chosen].start_delay = 0;
      model_advance (&model, model.now + 4 * SNIPE_S);
      CU_ASSERT_EQUAL (model.duplicate_runs, 0);
      model_clear (&model);
    }
}

/* Guards against a start request that is never valid at an endpoint whose
 * clock was read long ago: it is sent again with the clock of the rejection.
 */
static void
test_idle_endpoint (void)
{
  static const double rates[] = { SLOWEST_RATE, 1.0 };

  for (size_t i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct model model;

      start_model (&model);
      for (uint32_t k = 0; k < model.endpoint_count; k++)
        model.endpoints[k].clock_rate = rates[i];
      model_submit (&model, OWNER, &job);
      model_advance (&model, model.now + 20 * SNIPE_MS);
      CU_ASSERT_EQUAL (model.starts, 1);
      model_clear (&model);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "delayed start", test_delayed_start },
    { "idle endpoint", test_idle_endpoint },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("slow_clock", tests);
}
