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
                             .due = 2 * TASK_TIME,
                             .late = 1500 * SNIPE_MS,
                             .give_up = 1500 * SNIPE_MS };
}

/* First owner with every endpoint, a moment after its claim. */
static void
begin (struct model *model, uint32_t endpoints)
{
  model_init (model, endpoints, 30000, fixed_duration);
  model_claim (model, FIRST, 1 << 20, endpoints);
  snipe_pool_directory_synced (model->owners[FIRST].pool);
  model_run (model, model->now + 20 * SNIPE_MS);
}

/* Guards against an endpoint that was idle for longer than a lease counting as
 * lapsed, so that its first task was started twice. */
static void
idle_endpoint (struct model *model)
{
  struct model_job first = job (1, 2);

  begin (model, 1);
  model_run (model, model->now + 5 * SNIPE_S);
  model_submit (model, FIRST, &first);
  model_run (model, model->now + SNIPE_S);
  CU_ASSERT_EQUAL (model->starts, 2);
}

/* The second task of a job takes a little longer. */
static snipe_time
uneven_duration (const char *task)
{
  return g_str_has_suffix (task, ".1") ? TASK_TIME + 10 * SNIPE_MS : TASK_TIME;
}

/* Guards against a hold that was answered before a start was carried out
 * ending that run, so that its task was started again. */
static void
start_overtaken_by_hold (struct model *model)
{
  struct model_job one = job (1, 2);
  struct model_job two = job (2, 1);

  begin (model, 1);
  model->cpu = 20000;
  model->duration = uneven_duration;
  two.job = "fedcba9876543210";
  model_submit (model, FIRST, &one);
  model_run (model, model->now + TASK_TIME - 10 * SNIPE_MS);
  model->endpoints[0].start_delay = 30 * SNIPE_MS;
  model->endpoints[0].hold_delay = 15 * SNIPE_MS;
  model_submit (model, FIRST, &two);
  model_run (model, model->now + SNIPE_S);
  CU_ASSERT_EQUAL (model->starts, 3);
}

/* A second owner claims the pool and knows only the endpoints where nothing
 * runs. */
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

/* Guards against a new owner that does not know an endpoint yet starting a
 * task again that runs there. */
static void
unknown_endpoint (struct model *model)
{
  struct model_job sent = job (1, 2);
  struct model_job again = sent;
  struct snipe_pool *second;

  begin (model, 2);
  model_submit (model, FIRST, &sent);
  model_run (model, model->now + 20 * SNIPE_MS);
  second = claim_idle_endpoints (model);
  again.resent = true;
  model_submit (model, SECOND, &again);
  model_run (model, model->now + 50 * SNIPE_MS);
  for (uint32_t i = 0; i < 2; i++)
    snipe_pool_endpoint_set (second, &model->endpoints[i].entry, model->now);
  snipe_pool_directory_synced (second);
  model_run (model, model->now + SNIPE_S);
  CU_ASSERT_EQUAL (model->starts, 2);
}

/* Guards against a new owner whose list lacks an endpoint, because its entry
 * lapsed while its domain was cut off, starting a task again that runs there
 * (TWICE, sbmp-reorders hunt-0a7f-19). */
static void
lapsed_entry (struct model *model)
{
  struct model_job sent = job (1, 2);
  struct model_job again = sent;
  struct snipe_pool *second;

  begin (model, 2);
  model_submit (model, FIRST, &sent);
  model_run (model, model->now + 20 * SNIPE_MS);
  again.resent = true;
  again.endpoints = model_digest (model, FIRST);
  second = claim_idle_endpoints (model);
  snipe_pool_directory_synced (second);
  model_submit (model, SECOND, &again);
  model_run (model, model->now + 3 * SNIPE_S);
}

/* Guards against a task that was started in the new life of an endpoint being
 * started again when the list says that the endpoint has restarted (TWICE,
 * soak seed 4). */
static void
restarted_endpoint (struct model *model)
{
  struct model_job sent = job (1, 2);
  struct model_endpoint *endpoint;
  struct snipe_pool *pool;

  begin (model, 2);
  pool = model->owners[FIRST].pool;
  for (uint32_t i = 0; i < 2; i++)
    {
      /* New lives that the owner does not know of. */
      endpoint = &model->endpoints[i];
      endpoint->token = 0;
      endpoint->entry.started_ms = 2;
    }
  model_submit (model, FIRST, &sent);
  model_run (model, model->now + 20 * SNIPE_MS);
  for (uint32_t i = 0; i < 2; i++)
    snipe_pool_endpoint_set (pool, &model->endpoints[i].entry, model->now);
  model_run (model, model->now + SNIPE_S);
  CU_ASSERT_EQUAL (model->starts, 2);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (model, 1));
}

/* Guards against a task that was started in the new life of an endpoint being
 * started again when the hold of the old life tells of the new one, answered
 * before the start was carried out (TWICE and LIMIT, soak seed 46). */
static void
restart_told_by_hold (struct model *model)
{
  struct model_job one = job (1, 1);
  struct model_job two = job (2, 1);

  begin (model, 1);
  two.job = "fedcba9876543210";
  model_submit (model, FIRST, &one);
  model_run (model, model->now + 20 * SNIPE_MS);
  model->endpoints[0].hold_delay = 15 * SNIPE_MS;
  model_restart (model, 0);
  model->endpoints[0].hold_delay = 0;
  model_submit (model, FIRST, &two);
  model_run (model, model->now + SNIPE_S);
  /* The first job's task, the second's, and the first's again. */
  CU_ASSERT_EQUAL (model->starts, 3);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (model, 1));
  CU_ASSERT_PTR_NOT_NULL (model_find_result (model, 2));
}

/* Guards against an owner that was fenced at one endpoint starting tasks at
 * the others, which the host with the higher token has not claimed yet. */
static void
fenced_owner (struct model *model)
{
  struct model_job sent = job (1, 2);
  struct model_job again = sent;

  model_init (model, 2, 30000, fixed_duration);
  model_claim (model, FIRST, 2 << 20, 1);
  snipe_pool_directory_synced (model->owners[FIRST].pool);
  model_run (model, model->now + 20 * SNIPE_MS);
  model_submit (model, FIRST, &sent);
  model_run (model, model->now + 5 * SNIPE_MS);
  model_claim (model, SECOND, 1 << 20, 2);
  snipe_pool_directory_synced (model->owners[SECOND].pool);
  model_run (model, model->now + 5 * SNIPE_MS);
  CU_ASSERT_TRUE (snipe_pool_fenced (model->owners[SECOND].pool));
  again.resent = true;
  model_submit (model, SECOND, &again);
  model_run (model, model->now + SNIPE_S);
  CU_ASSERT_EQUAL (model->starts, 2);
}

/* Guards against a takeover that loses running tasks, or ends that were listed
 * before the batch came to the new owner. */
static void
takeover (struct model *model)
{
  struct model_job sent = job (1, 2);
  struct model_job again = sent;
  const struct model_result *result;

  begin (model, 1);
  model_submit (model, FIRST, &sent);
  model_run (model, model->now + TASK_TIME - 20 * SNIPE_MS);
  again.endpoints = model_digest (model, FIRST);
  model_release (model, FIRST);
  model_run (model, model->now + 40 * SNIPE_MS);
  model_claim (model, SECOND, 2 << 20, 1);
  snipe_pool_directory_synced (model->owners[SECOND].pool);
  model_run (model, model->now + 5 * SNIPE_MS);
  again.resent = true;
  model_submit (model, SECOND, &again);
  model_run (model, model->now + SNIPE_S);
  result = model_find_result (model, 1);
  CU_ASSERT_EQUAL (model->starts, 2);
  CU_ASSERT_TRUE (result != NULL && result->code == 0 && result->done == 2);
}

/* Guards against a start that got no answer being carried out at a second
 * endpoint while it runs at the first. */
static void
mute_starts (struct model *model)
{
  struct model_job sent = job (1, 2);

  begin (model, 3);
  model->endpoints[0].mute_starts = true;
  model->endpoints[1].mute_starts = true;
  model_submit (model, FIRST, &sent);
  model_run (model, model->now + 3 * SNIPE_S);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (model, 1));
}

/* Guards against a task of an endpoint that fell silent running elsewhere
 * before its lease has run out. */
static void
silent_endpoint (struct model *model)
{
  struct model_job sent = job (1, 4);

  begin (model, 3);
  sent.late = 5 * SNIPE_S;
  sent.give_up = 5 * SNIPE_S;
  model->duration = fixed_duration;
  model_submit (model, FIRST, &sent);
  model_run (model, model->now + 20 * SNIPE_MS);
  for (uint32_t i = 0; i < 2; i++)
    for (uint32_t k = 0; k < model->endpoints[i].run_count; k++)
      model->endpoints[i].runs[k].until += 10 * SNIPE_S;
  model->endpoints[0].silent = true;
  model_run (model, model->now + 2 * SNIPE_S);
  model->endpoints[0].silent = false;
  model_run (model, model->now + 3 * SNIPE_S);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (model, 1));
}

/* Guards against a job that came through a second host running twice, or
 * being lost to it. */
static void
second_home (struct model *model)
{
  struct model_job sent = job (1, 2);
  struct model_job again = job (9, 2);
  const struct model_result *result;

  begin (model, 2);
  model_submit (model, FIRST, &sent);
  model_run (model, model->now + 50 * SNIPE_MS);
  again.coordinator = 2;
  model_submit (model, FIRST, &again);
  model_run (model, model->now + SNIPE_S);
  result = model_find_result (model, 9);
  CU_ASSERT_TRUE (result != NULL && result->code == 0);
  result = model_find_result (model, 1);
  CU_ASSERT_TRUE (result != NULL && result->code == SNIPE_E_CANCELLED);
  CU_ASSERT_EQUAL (model->starts, 2);
}

/* Guards against runs that go on after their home was lost, and against their
 * room being used before they have ended. */
static void
lost_home (struct model *model)
{
  struct model_job sent = job (1, 4);
  struct model_job next = job (2, 4);
  const struct model_result *result;

  begin (model, 2);
  next.job = "fedcba9876543210";
  next.coordinator = 2;
  model_submit (model, FIRST, &sent);
  model_run (model, model->now + 20 * SNIPE_MS);
  snipe_pool_coordinator_lost (model->owners[FIRST].pool, 1, model->now);
  model_submit (model, FIRST, &next);
  model_run (model, model->now + 100 * SNIPE_MS);
  CU_ASSERT_EQUAL (model->starts, 8);
  model_run (model, model->now + SNIPE_S);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (model, 2));
  /* The home may only have been out of reach; it asks again when it is heard,
   * and must learn what became of its tasks. */
  result = model_find_result (model, 1);
  CU_ASSERT_TRUE (result != NULL && result->code == SNIPE_E_TASK_LOST);
}

/* Guards against an owner that is cut off from the store starting tasks at an
 * endpoint that leaves (DRAIN, soak seed 102), and against news of a former
 * life taking the present one out of use. */
static void
told_to_drain (struct model *model)
{
  struct model_job sent = job (1, 2);
  struct model_job next = job (2, 2);
  struct snipe_pool *pool;

  begin (model, 2);
  next.job = "fedcba9876543210";
  pool = model->owners[FIRST].pool;
  snipe_pool_endpoint_drain (pool, model->endpoints[0].entry.id,
                             model->endpoints[0].entry.started_ms);
  snipe_pool_endpoint_drain (pool, model->endpoints[1].entry.id,
                             model->endpoints[1].entry.started_ms - 1);
  snipe_pool_endpoint_drain (pool, "unknown", 0);
  model_submit (model, FIRST, &sent);
  model_run (model, model->now + 20 * SNIPE_MS);
  CU_ASSERT_EQUAL (model->endpoints[0].run_count, 0);
  CU_ASSERT_TRUE (model->endpoints[1].run_count > 0);
  snipe_pool_endpoint_drain (pool, model->endpoints[1].entry.id,
                             model->endpoints[1].entry.started_ms);
  model_submit (model, FIRST, &next);
  model_run (model, model->now + SNIPE_S);
  CU_ASSERT_EQUAL (model->starts, 2);
}

/* Guards against ends that nobody acknowledges at endpoints that get no more
 * work: "82 of 246 ends were not taken note of" on a fleet with little to do.
 */
static void
last_ends (struct model *model)
{
  struct model_job sent = job (1, 4);
  uint32_t holds;

  begin (model, 2);
  model_submit (model, FIRST, &sent);
  model_run (model, model->now + SNIPE_S);
  CU_ASSERT_PTR_NOT_NULL (model_find_result (model, 1));
  model_run (model, model->now + 3 * SNIPE_S);
  for (uint32_t i = 0; i < model->endpoint_count; i++)
    CU_ASSERT_EQUAL (model->endpoints[i].hold_seen,
                     model->endpoints[i].next_end);
  holds = model->holds;
  model_run (model, model->now + 10 * SNIPE_S);
  CU_ASSERT_EQUAL (model->holds, holds);
}

/* Guards against an endpoint that fails every task at once, and so always
 * looks idle, using up the attempts of all jobs. */
static void
failing_endpoint (struct model *model)
{
  uint32_t failed = 0;

  begin (model, 6);
  model->endpoints[3].fails = true;
  for (uint64_t i = 1; i <= 60; i++)
    {
      char name[20];
      struct model_job sent = job (i, 2);

      snprintf (name, sizeof name, "%016" G_GINT64_MODIFIER "x", i);
      sent.job = name;
      model_submit (model, FIRST, &sent);
      model_run (model, model->now + 60 * SNIPE_MS);
    }
  model_run (model, model->now + SNIPE_S);
  for (guint i = 0; i < model->results->len; i++)
    failed += g_array_index (model->results, struct model_result, i).code
              == SNIPE_E_TASK_FAILED;
  CU_ASSERT_EQUAL (model->results->len, 60);
  CU_ASSERT_EQUAL (failed, 0);
}

struct fault_case
{
  const char *name;
  void (*play) (struct model *model);
};

/* Whatever happens: no start over an endpoint's capacity, no task that runs
 * twice at the same time. */
static void
test_faults (void)
{
  const struct fault_case cases[] = {
    { "endpoint idle for longer than a lease", idle_endpoint },
    { "hold answered before a start is carried out", start_overtaken_by_hold },
    { "new owner does not know an endpoint", unknown_endpoint },
    { "list of a new owner lacks an endpoint", lapsed_entry },
    { "endpoint restarts under its id", restarted_endpoint },
    { "hold tells of a restart", restart_told_by_hold },
    { "owner fenced at one endpoint", fenced_owner },
    { "takeover of running and ended tasks", takeover },
    { "starts without an answer", mute_starts },
    { "endpoint falls silent", silent_endpoint },
    { "job comes through a second host", second_home },
    { "home is lost", lost_home },
    { "last ends", last_ends },
    { "told to drain", told_to_drain },
    { "endpoint fails everything", failing_endpoint },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model model;
      unsigned int before = CU_get_number_of_failures ();

      cases[i].play (&model);
      CU_ASSERT_EQUAL (model.over_capacity, 0);
      CU_ASSERT_EQUAL (model.twice, 0);
      if (CU_get_number_of_failures () != before)
        printf ("%s: %u starts, %u over capacity, %u twice\n", cases[i].name,
                model.starts, model.over_capacity, model.twice);
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
