#include "pool/model.h"
#include "suite.h"

#define OWNER 0
#define TASK_TIME (2 * SNIPE_S)
#define CAPACITY 60000
#define TASK_CPU 30000

static snipe_time
long_duration (const char *task)
{
  (void)task;
  return TASK_TIME;
}

static struct model_job
job (const char *name, uint64_t number, uint32_t count)
{
  return (struct model_job){ .coordinator = 1,
                             .number = number,
                             .job = name,
                             .count = count,
                             .estimate = TASK_TIME,
                             .soft_deadline = 2 * TASK_TIME,
                             .hard_deadline = 10 * TASK_TIME,
                             .caller_deadline = 10 * TASK_TIME };
}

/* Starts with one owner that knows every endpoint, 20 ms after its claim. */
static void
start_model (struct model *model, uint32_t endpoints)
{
  model_init (model, endpoints, TASK_CPU, long_duration);
  for (uint32_t i = 0; i < endpoints; i++)
    model->endpoints[i].entry.capacity.cpu = CAPACITY;
  model_claim (model, OWNER, 1 << 20, endpoints);
  snipe_pool_directory_synced (model->owners[OWNER].pool);
  model_advance (model, model->now + 20 * SNIPE_MS);
}

/* Guards against starts beyond the capacity of an endpoint that has restarted
 * with less of it, when the answer to a start request is the first that tells
 * of the restart: only poll requests were taken to tell of one. */
static void
test_restart_told_by_start_answer (void)
{
  static const struct
  {
    const char *name;
    uint32_t tasks;
    bool unhealthy;
  } cases[] = {
    { "the first start is accepted, the second is too much", 2, false },
    { "the first start is rejected", 2, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model_job first = job ("0123456789abcdef", 1, 1);
      struct model_job second = job ("fedcba9876543210", 2, cases[i].tasks);
      unsigned int before = CU_get_number_of_failures ();
      struct model model;

      start_model (&model, 1);
      model_restart (&model, 0);
      model.endpoints[0].entry.capacity.cpu = TASK_CPU;
      model.endpoints[0].unhealthy = cases[i].unhealthy;
      model_submit (&model, OWNER, &first);
      model_advance (&model, model.now + 5 * SNIPE_MS);
      model.endpoints[0].unhealthy = false;
      model_submit (&model, OWNER, &second);
      model_advance (&model, model.now + SNIPE_S);
      CU_ASSERT_EQUAL (model.over_capacity, 0);
      if (CU_get_number_of_failures () > before)
        printf ("  %s\n", cases[i].name);
      model_clear (&model);
    }
}

static snipe_time late_start_delay;
static uint64_t late_answer_request;
static bool late_answer_unnamed;

/* The first start request gets no answer and is carried out late. */
static bool
delay_first_start (struct model *model, struct model_event *event)
{
  if (event->kind == MODEL_START && model->start_requests == 1)
    {
      event->answer_lost = true;
      event->time = model->now + late_start_delay;
    }
  return true;
}

/* Guards against a copy of a start request that arrives at a new incarnation
 * of the endpoint: the earlier incarnation had confirmed the other copy, so
 * the run was taken as ended by the restart and its task was started
 * elsewhere, while the copy was valid by the new clock. The task ran twice at
 * the same time. */
static void
test_copy_of_start_request (void)
{
  static const struct
  {
    const char *name;
    snipe_time delay;
    snipe_time restart_at;
    bool listed; /**< the list tells of the restart, else an answer */
  } cases[] = {
    { "soon after the restart", 1 * SNIPE_S, 900 * SNIPE_MS, false },
    { "after the end of the leases", 3 * SNIPE_S, 1500 * SNIPE_MS, false },
    { "soon after the restart is listed", 1 * SNIPE_S, 900 * SNIPE_MS, true },
    { "long after the restart is listed", 3 * SNIPE_S, 1500 * SNIPE_MS, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model_job sent = job ("0123456789abcdef", 1, 1);
      unsigned int before = CU_get_number_of_failures ();
      struct model model;
      uint32_t chosen = 0;
      snipe_time begin;

      start_model (&model, 2);
      begin = model.now;
      late_start_delay = cases[i].delay;
      model.on_message = delay_first_start;
      model_submit (&model, OWNER, &sent);
      model_advance (&model, begin + 100 * SNIPE_MS);
      CU_ASSERT_EQUAL (model.starts, 1);
      if (model.endpoints[1].run_count > 0)
        chosen = 1;
      model_advance (&model, begin + cases[i].restart_at);
      model_restart (&model, chosen);
      if (cases[i].listed)
        snipe_pool_endpoint_set (model.owners[OWNER].pool,
                                 &model.endpoints[chosen].entry, model.now);
      model_advance (&model, begin + 4 * TASK_TIME);
      CU_ASSERT_EQUAL (model.duplicate_runs, 0);
      CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 1));
      if (CU_get_number_of_failures () > before)
        printf ("  %s\n", cases[i].name);
      model_clear (&model);
    }
}

/* Guards against starts beyond the capacity of an endpoint that has restarted
 * with less of it: a start request without an answer was sent again although
 * another answer had told of the restart. */
static void
test_start_sent_again (void)
{
  struct model_job sent = job ("0123456789abcdef", 1, 2);
  struct model model;

  start_model (&model, 1);
  late_start_delay = 3 * SNIPE_S;
  model.on_message = delay_first_start;
  model_restart (&model, 0);
  model.endpoints[0].entry.capacity.cpu = TASK_CPU;
  model_submit (&model, OWNER, &sent);
  model_advance (&model, model.now + 500 * SNIPE_MS);
  snipe_pool_endpoint_set (model.owners[OWNER].pool, &model.endpoints[0].entry,
                           model.now);
  model_advance (&model, model.now + 4 * TASK_TIME);
  CU_ASSERT_EQUAL (model.over_capacity, 0);
  CU_ASSERT_EQUAL (model.duplicate_runs, 0);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 1));
  model_clear (&model);
}

/* Guards against a copy of a start request that arrives at a new incarnation
 * of the endpoint after its run has ended: the run was forgotten, and its
 * capacity was given to other tasks. */
static void
test_copy_of_ended_run (void)
{
  struct model_job first = job ("0123456789abcdef", 1, 1);
  struct model_job second = job ("fedcba9876543210", 2, 1);
  struct model model;
  snipe_time begin;

  start_model (&model, 1);
  model.endpoints[0].entry.capacity.cpu = TASK_CPU;
  snipe_pool_endpoint_set (model.owners[OWNER].pool, &model.endpoints[0].entry,
                           model.now);
  begin = model.now;
  late_start_delay = 4 * SNIPE_S;
  model.on_message = delay_first_start;
  model_submit (&model, OWNER, &first);
  model_advance (&model, begin + 3 * SNIPE_S);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 1));
  model_restart (&model, 0);
  snipe_pool_endpoint_set (model.owners[OWNER].pool, &model.endpoints[0].entry,
                           model.now);
  model_advance (&model, begin + 4200 * SNIPE_MS);
  model_submit (&model, OWNER, &second);
  model_advance (&model, model.now + 2 * TASK_TIME);
  CU_ASSERT_EQUAL (model.over_capacity, 0);
  CU_ASSERT_EQUAL (model.starts, 2);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 2));
  model_clear (&model);
}

/* Guards against taking a start that is under way as expired with the leases
 * although its endpoint is known to have restarted, and is silent: the start
 * was valid by the clock of the new incarnation, and the task was started
 * elsewhere at the same time. */
static void
test_silent_after_restart (void)
{
  static const snipe_time restarts[]
      = { 100 * SNIPE_MS, 500 * SNIPE_MS, 1000 * SNIPE_MS };

  for (size_t i = 0; i < G_N_ELEMENTS (restarts); i++)
    {
      struct model_job sent = job ("0123456789abcdef", 1, 1);
      struct model model;
      uint32_t chosen;
      snipe_time begin;

      start_model (&model, 2);
      begin = model.now;
      late_start_delay = 3 * SNIPE_S;
      model.on_message = delay_first_start;
      model_submit (&model, OWNER, &sent);
      model_advance (&model, begin + 90 * SNIPE_MS);
      chosen = model.endpoints[0].run_count > 0 ? 0 : 1;
      model_advance (&model, begin + restarts[i]);
      model.endpoints[chosen].drops_polls = true;
      model.endpoints[chosen].drops_stops = true;
      model_restart (&model, chosen);
      model.endpoints[chosen].entry.draining = true;
      snipe_pool_endpoint_set (model.owners[OWNER].pool,
                               &model.endpoints[chosen].entry, model.now);
      model_advance (&model, begin + 3500 * SNIPE_MS);
      model.endpoints[chosen].drops_polls = false;
      model.endpoints[chosen].drops_stops = false;
      model_advance (&model, begin + 5 * TASK_TIME);
      CU_ASSERT_EQUAL (model.duplicate_runs, 0);
      CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 1));
      CU_ASSERT_TRUE (snipe_pool_idle (model.owners[OWNER].pool));
      model_clear (&model);
    }
}

/* Guards against starting a task while a late start of an earlier run of it is
 * stopped at a new incarnation of the endpoint, where it may run. */
static void
test_waiting_task_of_late_start (void)
{
  struct model_job first = job ("0123456789abcdef", 1, 1);
  struct model_job second = job ("fedcba9876543210", 2, 1);
  struct snipe_endpoint_entry draining;
  struct model model;
  uint32_t late;

  start_model (&model, 2);
  for (uint32_t i = 0; i < 2; i++)
    {
      model.endpoints[i].entry.capacity.cpu = TASK_CPU;
      snipe_pool_endpoint_set (model.owners[OWNER].pool,
                               &model.endpoints[i].entry, model.now);
    }
  model_submit (&model, OWNER, &first);
  model_advance (&model, model.now + 20 * SNIPE_MS);
  late = model.endpoints[0].run_count > 0 ? 1 : 0;
  model.endpoints[late].start_delay = 1780 * SNIPE_MS;
  model.endpoints[late].drops_stops = true;
  model_submit (&model, OWNER, &second);
  model_advance (&model, model.now + SNIPE_S);
  draining = model.endpoints[late].entry;
  draining.draining = true;
  snipe_pool_endpoint_set (model.owners[OWNER].pool, &draining, model.now);
  model_advance (&model, model.now + 700 * SNIPE_MS);
  model_restart (&model, late);
  model_advance (&model, model.now + 750 * SNIPE_MS);
  model.endpoints[late].drops_stops = false;
  model_advance (&model, model.now + 4 * TASK_TIME);
  CU_ASSERT_EQUAL (model.duplicate_runs, 0);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 2));
  model_clear (&model);
}

/* Guards against starting a task again although the poll answer that lacks its
 * run lists another one of it, which an earlier owner has started at the new
 * incarnation. */
static void
test_run_of_earlier_owner (void)
{
  struct model_job sent = job ("0123456789abcdef", 1, 1);
  struct model model;
  struct model_run run;
  uint32_t chosen;

  start_model (&model, 2);
  model_submit (&model, OWNER, &sent);
  model_advance (&model, model.now + 100 * SNIPE_MS);
  chosen = model.endpoints[0].run_count > 0 ? 0 : 1;
  run = model.endpoints[chosen].runs[0];
  run.run++;
  model.endpoints[chosen].poll_pending = false;
  model_restart (&model, chosen);
  model.endpoints[chosen].runs[0] = run;
  model.endpoints[chosen].run_count = 1;
  model.endpoints[chosen].lease_until = model.now + 1200 * SNIPE_MS;
  snipe_pool_endpoint_set (model.owners[OWNER].pool,
                           &model.endpoints[chosen].entry, model.now);
  model_advance (&model, model.now + 2 * TASK_TIME);
  CU_ASSERT_EQUAL (model.duplicate_runs, 0);
  CU_ASSERT_EQUAL (model.starts, 1);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 1));
  model_clear (&model);
}

/* Guards against an endpoint that never comes back after a restart: its tasks
 * start elsewhere once no start request can be under way. */
static void
test_gone_after_restart (void)
{
  struct model_job sent = job ("0123456789abcdef", 1, 1);
  struct model model;
  uint32_t chosen;

  start_model (&model, 2);
  late_start_delay = 60 * SNIPE_S;
  model.on_message = delay_first_start;
  model_submit (&model, OWNER, &sent);
  model_advance (&model, model.now + 90 * SNIPE_MS);
  chosen = model.endpoints[0].run_count > 0 ? 0 : 1;
  model.endpoints[chosen].unresponsive = true;
  model.endpoints[chosen].poll_pending = false;
  model_restart (&model, chosen);
  snipe_pool_endpoint_set (model.owners[OWNER].pool,
                           &model.endpoints[chosen].entry, model.now);
  model_advance (&model, model.now + 18 * SNIPE_S);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 1));
  model_clear (&model);
}

/* The first start answer arrives late; later start requests arrive late and
 * get no answer. */
static bool
delay_answer_then_start (struct model *model, struct model_event *event)
{
  if (event->kind == MODEL_START_ANSWER
      && event->request == late_answer_request)
    {
      event->time = model->now + 500 * SNIPE_MS;
      if (late_answer_unnamed)
        event->started_ms = 0;
    }
  if (event->kind != MODEL_START || event->task[0] != 'f')
    return true;
  event->answer_lost = true;
  if (model->endpoints[event->endpoint].drops_polls)
    event->time = model->now + late_start_delay;
  return true;
}

/* Guards against the clock of an earlier incarnation, told by an answer that
 * was held up: start requests were valid at the new incarnation for as long as
 * the earlier one had been up, so a late one was carried out after the run had
 * been taken as ended. The task ran twice at the same time. */
static void
play_clock_of_earlier_incarnation (bool unnamed)
{
  struct model_job first = job ("0123456789abcdef", 1, 1);
  struct model_job second = job ("fedcba9876543210", 2, 1);
  struct snipe_pool *pool;
  struct model model;
  uint32_t chosen;

  start_model (&model, 2);
  pool = model.owners[OWNER].pool;
  late_start_delay = 2 * SNIPE_S;
  late_answer_unnamed = unnamed;
  late_answer_request = model.last_request + 1;
  model.on_message = delay_answer_then_start;
  model_submit (&model, OWNER, &first);
  model_advance (&model, model.now + 100 * SNIPE_MS);
  chosen = model.endpoints[0].run_count > 0 ? 0 : 1;
  snipe_pool_cancel (pool, 1, 1, model.now);
  model_advance (&model, model.now + 50 * SNIPE_MS);
  model_restart (&model, chosen);
  snipe_pool_endpoint_set (pool, &model.endpoints[chosen].entry, model.now);
  model_advance (&model, model.now + 800 * SNIPE_MS);
  model.endpoints[chosen].drops_polls = true;
  model.endpoints[chosen].drops_stops = true;
  model_submit (&model, OWNER, &second);
  model_advance (&model, model.now + 4 * TASK_TIME);
  CU_ASSERT_EQUAL (model.duplicate_runs, 0);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (&model, 2));
  model_clear (&model);
}

/* The answer names the incarnation, or has only its clock, like the answers to
 * start requests of the platform's endpoints. */
static void
test_clock_of_earlier_incarnation (void)
{
  play_clock_of_earlier_incarnation (false);
  play_clock_of_earlier_incarnation (true);
}

/* Guards against an endpoint whose start time goes back at a restart, because
 * its time of day was set back: all its answers were taken as those of an
 * earlier incarnation, so that its task ran twice at the same time. The list
 * may show the superseded incarnation, with the later start time, for long. */
static void
test_start_time_goes_back (void)
{
  static const struct
  {
    const char *name;
    snipe_time listed_after;
    int64_t step_ms;
    bool drained; /**< the superseded incarnation, as another host tells */
  } cases[] = {
    { "told by the list", 0, 500, false },
    { "told by an answer, listed soon", 300 * SNIPE_MS, 500, false },
    { "told by an answer, listed late", 1500 * SNIPE_MS, 500, false },
    { "the superseded incarnation drained", 1500 * SNIPE_MS, 500, true },
    { "set back by hours", 1500 * SNIPE_MS, 7200000, false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model_job sent = job ("0123456789abcdef", 1, 1);
      unsigned int before = CU_get_number_of_failures ();
      struct snipe_endpoint_entry superseded;
      const struct model_result *result;
      struct model_endpoint *endpoint;
      struct snipe_pool *pool;
      struct model model;
      snipe_time begin;

      start_model (&model, 1);
      endpoint = &model.endpoints[0];
      pool = model.owners[OWNER].pool;
      endpoint->entry.started_ms = 10000000;
      snipe_pool_endpoint_set (pool, &endpoint->entry, model.now);
      model_advance (&model, model.now + 20 * SNIPE_MS);
      model_submit (&model, OWNER, &sent);
      model_advance (&model, model.now + 100 * SNIPE_MS);
      CU_ASSERT_EQUAL (model.starts, 1);
      begin = model.now;
      superseded = endpoint->entry;
      endpoint->poll_pending = false;
      model_restart (&model, 0);
      endpoint->entry.started_ms = superseded.started_ms - cases[i].step_ms;
      while (model.now < begin + 4 * TASK_TIME)
        {
          bool listed = model.now - begin >= cases[i].listed_after;

          snipe_pool_endpoint_set (
              pool, listed ? &endpoint->entry : &superseded, model.now);
          if (cases[i].drained)
            snipe_pool_endpoint_drain (pool, superseded.id,
                                       superseded.started_ms);
          model_advance (&model, model.now + 50 * SNIPE_MS);
        }
      result = model_find_result (&model, 1);
      CU_ASSERT_TRUE (result != NULL && result->done == 1);
      CU_ASSERT_EQUAL (model.starts, 2);
      CU_ASSERT_EQUAL (model.duplicate_runs, 0);
      CU_ASSERT_TRUE (snipe_pool_idle (pool));
      if (CU_get_number_of_failures () > before)
        printf ("  %s: %u starts, %u duplicate runs\n", cases[i].name,
                model.starts, model.duplicate_runs);
      model_clear (&model);
    }
}

static bool poll_answers_late;

static bool
delay_poll_answers (struct model *model, struct model_event *event)
{
  (void)model;
  if (event->kind == MODEL_POLL_ANSWER && poll_answers_late)
    event->time += 300 * SNIPE_MS;
  return true;
}

/* Guards against an endpoint that is never used again after two restarts: an
 * answer of the first new incarnation arrived after the list had told of the
 * second one, and was taken to be of the newest. */
static void
test_two_restarts (void)
{
  static const struct
  {
    const char *name;
    int64_t first_ms;
    int64_t second_ms;
  } cases[] = {
    { "later, later", 2000, 3000 },   { "later, between", 2000, 1500 },
    { "later, earlier", 2000, 500 },  { "earlier, earlier", 900, 800 },
    { "earlier, between", 900, 950 }, { "earlier, later", 900, 2000 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model_job sent = job ("0123456789abcdef", 1, 1);
      unsigned int before = CU_get_number_of_failures ();
      const struct model_result *result;
      struct model_endpoint *endpoint;
      struct snipe_pool *pool;
      struct model model;

      start_model (&model, 1);
      endpoint = &model.endpoints[0];
      pool = model.owners[OWNER].pool;
      poll_answers_late = false;
      model.on_message = delay_poll_answers;
      endpoint->entry.started_ms = 1000;
      snipe_pool_endpoint_set (pool, &endpoint->entry, model.now);
      model_advance (&model, model.now + 20 * SNIPE_MS);
      model_submit (&model, OWNER, &sent);
      /* The second poll request for the run waits. */
      model_advance (&model, model.now + 600 * SNIPE_MS);
      CU_ASSERT_TRUE (endpoint->poll_pending);
      poll_answers_late = true;
      endpoint->entry.started_ms = cases[i].first_ms - 1;
      /* Answers the poll request that waits. */
      model_restart (&model, 0);
      poll_answers_late = false;
      model_advance (&model, model.now + 100 * SNIPE_MS);
      model_restart (&model, 0);
      endpoint->entry.started_ms = cases[i].second_ms;
      snipe_pool_endpoint_set (pool, &endpoint->entry, model.now);
      model_advance (&model, model.now + 2 * TASK_TIME);
      result = model_find_result (&model, 1);
      CU_ASSERT_TRUE (result != NULL && result->done == 1);
      CU_ASSERT_EQUAL (model.starts, 2);
      CU_ASSERT_EQUAL (model.duplicate_runs, 0);
      if (CU_get_number_of_failures () > before)
        printf ("  %s: %u starts\n", cases[i].name, model.starts);
      model_clear (&model);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "restart told by a start answer", test_restart_told_by_start_answer },
    { "copy of a start request", test_copy_of_start_request },
    { "start sent again", test_start_sent_again },
    { "copy of the start of an ended run", test_copy_of_ended_run },
    { "waiting task of a late start", test_waiting_task_of_late_start },
    { "run of an earlier owner", test_run_of_earlier_owner },
    { "silent after a restart", test_silent_after_restart },
    { "gone after a restart", test_gone_after_restart },
    { "clock of an earlier incarnation", test_clock_of_earlier_incarnation },
    { "start time goes back", test_start_time_goes_back },
    { "two restarts", test_two_restarts },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("restarted_endpoint", tests);
}
