#include "pool/model.h"
#include "suite.h"

#define FIRST 0
#define SECOND 1
#define TASK_TIME (200 * SNIPE_MS)

static snipe_time
fixed_duration (const char *task)
{
  (void)task;
  return TASK_TIME;
}

static struct model_job
job (uint64_t number, uint32_t count)
{
  return (struct model_job){ .coordinator = 1,
                             .number = number,
                             .job = "0123456789abcdef",
                             .count = count,
                             .estimate = TASK_TIME,
                             .soft_deadline = 2 * TASK_TIME,
                             .hard_deadline = 1500 * SNIPE_MS,
                             .caller_deadline = 1500 * SNIPE_MS };
}

/* Starts with one owner that knows every endpoint, 20 ms after its claim. */
static void
start_model (struct model *model, uint32_t endpoints)
{
  model_init (model, endpoints, 30000, fixed_duration);
  model_claim (model, FIRST, 1 << 20, endpoints);
  snipe_pool_directory_synced (model->owners[FIRST].pool);
  model_advance (model, model->now + 20 * SNIPE_MS);
}

/* Guards against treating the lease of an endpoint as expired after it was
 * idle for longer than a lease, which started its first task twice. */
static void
idle_endpoint (struct model *model)
{
  struct model_job first = job (1, 2);

  start_model (model, 1);
  model_advance (model, model->now + 5 * SNIPE_S);
  model_submit (model, FIRST, &first);
  model_advance (model, model->now + SNIPE_S);
  CU_ASSERT_EQUAL (model->starts, 2);
}

/* The second task of a job takes 10 ms longer. */
static snipe_time
uneven_duration (const char *task)
{
  return g_str_has_suffix (task, ".1") ? TASK_TIME + 10 * SNIPE_MS : TASK_TIME;
}

/* Guards against ending a run because of a poll request that was answered
 * before the start was carried out, which started the task again. */
static void
poll_answered_before_start (struct model *model)
{
  struct model_job one = job (1, 2);
  struct model_job two = job (2, 1);

  start_model (model, 1);
  model->cpu = 20000;
  model->duration = uneven_duration;
  two.job = "fedcba9876543210";
  model_submit (model, FIRST, &one);
  model_advance (model, model->now + TASK_TIME - 10 * SNIPE_MS);
  model->endpoints[0].start_delay = 30 * SNIPE_MS;
  model->endpoints[0].poll_delay = 15 * SNIPE_MS;
  model_submit (model, FIRST, &two);
  model_advance (model, model->now + SNIPE_S);
  CU_ASSERT_EQUAL (model->starts, 3);
}

/* A second owner claims the pool and knows only endpoints without runs. */
static struct snipe_pool *
claim_idle_endpoints (struct model *model)
{
  struct snipe_pool *pool;

  model_release (model, FIRST);
  model_claim (model, SECOND, 2 << 20, 0);
  pool = model->owners[SECOND].pool;
  for (uint32_t i = 0; i < model->endpoint_count; i++)
    if (model->endpoints[i].run_count == 0)
      snipe_pool_endpoint_set (pool, &model->endpoints[i].entry, model->now);
  return pool;
}

/* Guards against a new owner restarting a task that runs at an endpoint it
 * does not know yet. */
static void
unknown_endpoint (struct model *model)
{
  struct model_job sent = job (1, 2);
  struct model_job again = sent;
  struct snipe_pool *second;

  start_model (model, 2);
  model_submit (model, FIRST, &sent);
  model_advance (model, model->now + 20 * SNIPE_MS);
  second = claim_idle_endpoints (model);
  again.resent = true;
  model_submit (model, SECOND, &again);
  model_advance (model, model->now + 50 * SNIPE_MS);
  for (uint32_t i = 0; i < 2; i++)
    snipe_pool_endpoint_set (second, &model->endpoints[i].entry, model->now);
  snipe_pool_directory_synced (second);
  model_advance (model, model->now + SNIPE_S);
  CU_ASSERT_EQUAL (model->starts, 2);
}

/* Guards against a new owner restarting a task that runs at an endpoint
 * missing from its list because the entry expired while the domain was
 * partitioned (TWICE, sbmp-reorders hunt-0a7f-19). */
static void
expired_entry (struct model *model)
{
  struct model_job sent = job (1, 2);
  struct model_job again = sent;
  struct snipe_pool *second;

  start_model (model, 2);
  model_submit (model, FIRST, &sent);
  model_advance (model, model->now + 20 * SNIPE_MS);
  again.resent = true;
  again.endpoint_digest = model_digest (model, FIRST);
  second = claim_idle_endpoints (model);
  snipe_pool_directory_synced (second);
  model_submit (model, SECOND, &again);
  model_advance (model, model->now + 3 * SNIPE_S);
}

/* Guards against restarting a task that runs in the new incarnation of an
 * endpoint when the list reports the restart of the endpoint (TWICE, soak seed
 * 4). */
static void
restarted_endpoint (struct model *model)
{
  struct model_job sent = job (1, 2);
  struct model_endpoint *endpoint;
  struct snipe_pool *pool;

  start_model (model, 2);
  pool = model->owners[FIRST].pool;
  for (uint32_t i = 0; i < 2; i++)
    {
      /* A new incarnation that the owner does not know of. */
      endpoint = &model->endpoints[i];
      endpoint->token = 0;
      endpoint->entry.started_ms = 2;
    }
  model_submit (model, FIRST, &sent);
  model_advance (model, model->now + 20 * SNIPE_MS);
  for (uint32_t i = 0; i < 2; i++)
    snipe_pool_endpoint_set (pool, &model->endpoints[i].entry, model->now);
  model_advance (model, model->now + SNIPE_S);
  CU_ASSERT_EQUAL (model->starts, 2);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (model, 1));
}

/* Guards against restarting a task that runs in the new incarnation of an
 * endpoint when a poll request sent to the old one reports the new one,
 * answered before the start was carried out (TWICE and LIMIT, soak seed
 * 46). */
static void
restart_reported_by_poll (struct model *model)
{
  struct model_job one = job (1, 1);
  struct model_job two = job (2, 1);

  start_model (model, 1);
  two.job = "fedcba9876543210";
  model_submit (model, FIRST, &one);
  model_advance (model, model->now + 20 * SNIPE_MS);
  model->endpoints[0].poll_delay = 15 * SNIPE_MS;
  model_restart (model, 0);
  model->endpoints[0].poll_delay = 0;
  model_submit (model, FIRST, &two);
  model_advance (model, model->now + 100 * SNIPE_MS);
  snipe_pool_endpoint_set (model->owners[FIRST].pool,
                           &model->endpoints[0].entry, model->now);
  model_advance (model, model->now + SNIPE_S);
  /* The first job's task, the second job's, and the first job's again. */
  CU_ASSERT_EQUAL (model->starts, 3);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (model, 1));
  CU_ASSERT_PTR_NOT_NULL (model_find_result (model, 2));
}

/* Guards against using the capacity of an endpoint's previous incarnation for
 * the new one, which may be smaller, until the list has it (LIMIT). */
static void
restarted_with_less_capacity (struct model *model)
{
  struct model_job one = job (1, 1);
  struct model_job two = job (2, 2);
  struct model_endpoint *endpoint = &model->endpoints[0];

  start_model (model, 1);
  two.job = "fedcba9876543210";
  model_submit (model, FIRST, &one);
  model_advance (model, model->now + 20 * SNIPE_MS);
  model_restart (model, 0);
  endpoint->entry.capacity.cpu = 30000;
  /* The poll that was open tells of the new incarnation. */
  model_advance (model, model->now + 20 * SNIPE_MS);
  model_submit (model, FIRST, &two);
  model_advance (model, model->now + 100 * SNIPE_MS);
  CU_ASSERT_EQUAL (model->starts, 1);
  snipe_pool_endpoint_set (model->owners[FIRST].pool, &endpoint->entry,
                           model->now);
  model_advance (model, model->now + SNIPE_S);
  CU_ASSERT_EQUAL (model->starts, 4);
}

/* Guards against an owner that is fenced at one endpoint starting tasks at the
 * others, which the host with the higher token has not claimed yet. */
static void
fenced_owner (struct model *model)
{
  struct model_job sent = job (1, 2);
  struct model_job again = sent;

  model_init (model, 2, 30000, fixed_duration);
  model_claim (model, FIRST, 2 << 20, 1);
  snipe_pool_directory_synced (model->owners[FIRST].pool);
  model_advance (model, model->now + 20 * SNIPE_MS);
  model_submit (model, FIRST, &sent);
  model_advance (model, model->now + 5 * SNIPE_MS);
  model_claim (model, SECOND, 1 << 20, 2);
  snipe_pool_directory_synced (model->owners[SECOND].pool);
  model_advance (model, model->now + 5 * SNIPE_MS);
  CU_ASSERT_TRUE (snipe_pool_fenced (model->owners[SECOND].pool));
  again.resent = true;
  model_submit (model, SECOND, &again);
  model_advance (model, model->now + SNIPE_S);
  CU_ASSERT_EQUAL (model->starts, 2);
}

/* Guards against a takeover losing running tasks, or ended runs that were
 * reported before the batch was sent to the new owner. */
static void
takeover (struct model *model)
{
  struct model_job sent = job (1, 2);
  struct model_job again = sent;
  const struct model_result *result;

  start_model (model, 1);
  model_submit (model, FIRST, &sent);
  model_advance (model, model->now + TASK_TIME - 20 * SNIPE_MS);
  again.endpoint_digest = model_digest (model, FIRST);
  model_release (model, FIRST);
  model_advance (model, model->now + 40 * SNIPE_MS);
  model_claim (model, SECOND, 2 << 20, 1);
  snipe_pool_directory_synced (model->owners[SECOND].pool);
  model_advance (model, model->now + 5 * SNIPE_MS);
  again.resent = true;
  model_submit (model, SECOND, &again);
  model_advance (model, model->now + SNIPE_S);
  result = model_find_result (model, 1);
  CU_ASSERT_EQUAL (model->starts, 2);
  CU_ASSERT_TRUE (result != NULL && result->code == 0 && result->done == 2);
}

/* Guards against starting a task at a second endpoint while an unanswered
 * start request for it was carried out at the first. */
static void
unanswered_starts (struct model *model)
{
  struct model_job sent = job (1, 2);

  start_model (model, 3);
  model->endpoints[0].drops_start_answers = true;
  model->endpoints[1].drops_start_answers = true;
  model_submit (model, FIRST, &sent);
  model_advance (model, model->now + 3 * SNIPE_S);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (model, 1));
}

/* Guards against starting a task elsewhere before the lease of its
 * unresponsive endpoint has expired. */
static void
unresponsive_endpoint (struct model *model)
{
  struct model_job sent = job (1, 4);

  start_model (model, 3);
  sent.hard_deadline = 5 * SNIPE_S;
  sent.caller_deadline = 5 * SNIPE_S;
  model->duration = fixed_duration;
  model_submit (model, FIRST, &sent);
  model_advance (model, model->now + 20 * SNIPE_MS);
  for (uint32_t i = 0; i < 2; i++)
    for (uint32_t k = 0; k < model->endpoints[i].run_count; k++)
      model->endpoints[i].runs[k].until += 10 * SNIPE_S;
  model->endpoints[0].unresponsive = true;
  model_advance (model, model->now + 2 * SNIPE_S);
  model->endpoints[0].unresponsive = false;
  model_advance (model, model->now + 3 * SNIPE_S);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (model, 1));
}

/* Guards against running a job twice, or losing it, when it is submitted again
 * through a second host. */
static void
second_coordinator (struct model *model)
{
  struct model_job sent = job (1, 2);
  struct model_job again = job (9, 2);
  const struct model_result *result;

  start_model (model, 2);
  model_submit (model, FIRST, &sent);
  model_advance (model, model->now + 50 * SNIPE_MS);
  again.coordinator = 2;
  model_submit (model, FIRST, &again);
  model_advance (model, model->now + SNIPE_S);
  result = model_find_result (model, 9);
  CU_ASSERT_TRUE (result != NULL && result->code == 0);
  result = model_find_result (model, 1);
  CU_ASSERT_TRUE (result != NULL && result->code == SNIPE_E_CANCELLED);
  CU_ASSERT_EQUAL (model->starts, 2);
}

/* Guards against runs continuing after their coordinator was lost, and against
 * using their capacity before they have ended. */
static void
lost_coordinator (struct model *model)
{
  struct model_job sent = job (1, 4);
  struct model_job next = job (2, 4);
  const struct model_result *result;

  start_model (model, 2);
  next.job = "fedcba9876543210";
  next.coordinator = 2;
  model_submit (model, FIRST, &sent);
  model_advance (model, model->now + 20 * SNIPE_MS);
  snipe_pool_coordinator_lost (model->owners[FIRST].pool, 1, model->now);
  model_submit (model, FIRST, &next);
  model_advance (model, model->now + 100 * SNIPE_MS);
  CU_ASSERT_EQUAL (model->starts, 8);
  model_advance (model, model->now + SNIPE_S);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (model, 2));
  /* The coordinator may only have been unreachable; it sends the batch again
   * when it is back and must learn the outcome of its tasks. */
  result = model_find_result (model, 1);
  CU_ASSERT_TRUE (result != NULL && result->code == SNIPE_E_TASK_LOST);
}

/* Guards against an owner without a connection to the store starting tasks at
 * a draining endpoint (DRAIN, soak seed 102), and against a report about a
 * previous incarnation draining the present one. */
static void
reported_draining (struct model *model)
{
  struct model_job sent = job (1, 2);
  struct model_job next = job (2, 2);
  struct snipe_pool *pool;

  start_model (model, 2);
  next.job = "fedcba9876543210";
  pool = model->owners[FIRST].pool;
  snipe_pool_endpoint_drain (pool, model->endpoints[0].entry.id,
                             model->endpoints[0].entry.started_ms);
  snipe_pool_endpoint_drain (pool, model->endpoints[1].entry.id,
                             model->endpoints[1].entry.started_ms - 1);
  snipe_pool_endpoint_drain (pool, "unknown", 0);
  model_submit (model, FIRST, &sent);
  model_advance (model, model->now + 20 * SNIPE_MS);
  CU_ASSERT_EQUAL (model->endpoints[0].run_count, 0);
  CU_ASSERT_TRUE (model->endpoints[1].run_count > 0);
  snipe_pool_endpoint_drain (pool, model->endpoints[1].entry.id,
                             model->endpoints[1].entry.started_ms);
  model_submit (model, FIRST, &next);
  model_advance (model, model->now + SNIPE_S);
  CU_ASSERT_EQUAL (model->starts, 2);
}

/* Guards against ended runs that are never acknowledged at endpoints that get
 * no more tasks: on a lightly loaded fleet "82 of 246 ends were not taken note
 * of". */
static void
last_ended_runs (struct model *model)
{
  struct model_job sent = job (1, 4);
  uint32_t polls;

  start_model (model, 2);
  model_submit (model, FIRST, &sent);
  model_advance (model, model->now + SNIPE_S);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (model, 1));
  model_advance (model, model->now + 3 * SNIPE_S);
  for (uint32_t i = 0; i < model->endpoint_count; i++)
    CU_ASSERT_EQUAL (model->endpoints[i].poll_last_seen_end,
                     model->endpoints[i].last_end);
  polls = model->polls;
  model_advance (model, model->now + 10 * SNIPE_S);
  CU_ASSERT_EQUAL (model->polls, polls);
}

/* Guards against an endpoint that fails every task at once, and so always
 * looks idle, using up the attempts of all jobs. */
static void
failing_endpoint (struct model *model)
{
  uint32_t failed = 0;

  start_model (model, 6);
  model->endpoints[3].fails = true;
  for (uint64_t i = 1; i <= 60; i++)
    {
      char name[20];
      struct model_job sent = job (i, 2);

      snprintf (name, sizeof name, "%016" G_GINT64_MODIFIER "x", i);
      sent.job = name;
      model_submit (model, FIRST, &sent);
      model_advance (model, model->now + 60 * SNIPE_MS);
    }
  model_advance (model, model->now + SNIPE_S);
  for (guint i = 0; i < model->results->len; i++)
    failed += g_array_index (model->results, struct model_result, i).code
              == SNIPE_E_TASK_FAILED;
  CU_ASSERT_EQUAL (model->results->len, 60);
  CU_ASSERT_EQUAL (failed, 0);
}

struct fault_case
{
  const char *name;
  void (*run) (struct model *model);
};

/* In every case: no start exceeds an endpoint's capacity, and no task runs
 * twice at the same time. */
static void
test_faults (void)
{
  const struct fault_case cases[] = {
    { "endpoint idle for longer than a lease", idle_endpoint },
    { "poll answered before a start is carried out",
      poll_answered_before_start },
    { "new owner does not know an endpoint", unknown_endpoint },
    { "list of a new owner lacks an endpoint", expired_entry },
    { "endpoint restarts under its id", restarted_endpoint },
    { "poll reports a restart", restart_reported_by_poll },
    { "endpoint restarts with less capacity", restarted_with_less_capacity },
    { "owner fenced at one endpoint", fenced_owner },
    { "takeover of running and ended tasks", takeover },
    { "starts without an answer", unanswered_starts },
    { "endpoint becomes unresponsive", unresponsive_endpoint },
    { "job submitted again through a second host", second_coordinator },
    { "coordinator is lost", lost_coordinator },
    { "last ended runs are acknowledged", last_ended_runs },
    { "endpoint reported as draining", reported_draining },
    { "endpoint fails every task", failing_endpoint },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model model;
      unsigned int before = CU_get_number_of_failures ();

      cases[i].run (&model);
      CU_ASSERT_EQUAL (model.over_capacity, 0);
      CU_ASSERT_EQUAL (model.duplicate_runs, 0);
      if (CU_get_number_of_failures () != before)
        printf ("%s: %u starts, %u over capacity, %u run twice\n",
                cases[i].name, model.starts, model.over_capacity,
                model.duplicate_runs);
      model_clear (&model);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "faults", test_faults },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("pool_faults", tests);
}
