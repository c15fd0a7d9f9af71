/* Runs that no batch waits for: found by a new owner, or cancelled. Their
 * caller may submit the job again RESEND_AFTER later, and it may then
 * run in another pool, so they have to have ended by then. */
#include "pool/model.h"
#include "suite.h"

#define FIRST 0
#define SECOND 1
#define RESEND_AFTER (1300 * SNIPE_MS)
#define TASK_TIME (3 * SNIPE_S)
#define UNCLAIMED_JOB "0123456789abcdef"
#define CLAIMED_JOB "fedcba9876543210"

static snipe_time
long_duration (const char *task)
{
  (void)task;
  return TASK_TIME;
}

static struct model_job
job (const char *name, uint64_t number)
{
  return (struct model_job){ .coordinator = number,
                             .number = number,
                             .job = name,
                             .count = 1,
                             .estimate = TASK_TIME,
                             .soft_deadline = 2 * TASK_TIME,
                             .hard_deadline = 3 * TASK_TIME,
                             .caller_deadline = 3 * TASK_TIME };
}

static bool
is_running (const struct model *model, const char *name)
{
  for (uint32_t k = 0; k < model->endpoint_count; k++)
    for (uint32_t i = 0; i < model->endpoints[k].run_count; i++)
      if (g_str_has_prefix (model->endpoints[k].runs[i].task, name))
        return true;
  return false;
}

/* One endpoint runs a task of each of the two jobs. */
static void
start_both_jobs (struct model *model)
{
  struct model_job unclaimed = job (UNCLAIMED_JOB, 1);
  struct model_job claimed = job (CLAIMED_JOB, 2);

  model_init (model, 1, 30000, long_duration);
  model_claim (model, FIRST, 1 << 20, 1);
  snipe_pool_directory_synced (model->owners[FIRST].pool);
  model_advance (model, model->now + 20 * SNIPE_MS);
  model_submit (model, FIRST, &unclaimed);
  model_submit (model, FIRST, &claimed);
  model_advance (model, model->now + 20 * SNIPE_MS);
  CU_ASSERT_EQUAL_FATAL (model->endpoints[0].run_count, 2);
}

struct takeover_case
{
  const char *name;
  snipe_time claim_delay; /**< from the end of the previous owner */
  bool other_job_claimed; /**< its coordinator is live and sends its batch */
};

/* Guards against a new owner that extends the leases of runs whose coordinator
 * was lost together with the previous owner: the caller's second submission
 * then ran beside them (TWICE, review/1). */
static void
test_takeover (void)
{
  const struct takeover_case cases[] = {
    { "claimed soon, no batch", 300 * SNIPE_MS, false },
    { "claimed after 800 ms, no batch", 800 * SNIPE_MS, false },
    { "claimed after 950 ms, no batch", 950 * SNIPE_MS, false },
    { "claimed after 970 ms, no batch", 970 * SNIPE_MS, false },
    { "claimed soon, a batch for the other run", 300 * SNIPE_MS, true },
    { "claimed after 700 ms, a batch for the other run", 700 * SNIPE_MS,
      true },
    { "claimed after 950 ms, a batch for the other run", 950 * SNIPE_MS,
      true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model_job again = job (CLAIMED_JOB, 2);
      unsigned int before = CU_get_number_of_failures ();
      const struct model_result *result;
      struct model model;
      snipe_time lost_at;

      start_both_jobs (&model);
      lost_at = model.now;
      again.resent = true;
      again.endpoint_digest = model_digest (&model, FIRST);
      model_release (&model, FIRST);
      model_advance (&model, lost_at + cases[i].claim_delay);
      model_claim (&model, SECOND, 2 << 20, 1);
      snipe_pool_directory_synced (model.owners[SECOND].pool);
      model_advance (&model, model.now + 5 * SNIPE_MS);
      CU_ASSERT_TRUE (is_running (&model, UNCLAIMED_JOB));
      if (cases[i].other_job_claimed)
        model_submit (&model, SECOND, &again);
      model_advance (&model, lost_at + RESEND_AFTER);
      CU_ASSERT_FALSE (is_running (&model, UNCLAIMED_JOB));
      CU_ASSERT_EQUAL (is_running (&model, CLAIMED_JOB),
                       cases[i].other_job_claimed);
      model_advance (&model, model.now + 2 * TASK_TIME);
      result = model_find_result (&model, 2);
      CU_ASSERT_EQUAL (result != NULL && result->code == SNIPE_OK,
                       cases[i].other_job_claimed);
      CU_ASSERT_EQUAL (model.starts, 2);
      CU_ASSERT_EQUAL (model.duplicate_runs, 0);
      CU_ASSERT_TRUE (snipe_pool_idle (model.owners[SECOND].pool));
      if (CU_get_number_of_failures () != before)
        printf ("%s\n", cases[i].name);
      model_clear (&model);
    }
}

/* Guards against stopping the run of a live job whose coordinator is in
 * another region, 20 ms away, so that its batch arrives later at the new owner
 * than that of a job beside it. Most of the lease that the earlier owner
 * granted is left. */
static void
test_distant_coordinator (void)
{
  static const snipe_time delays[]
      = { 10 * SNIPE_MS, 30 * SNIPE_MS, 42 * SNIPE_MS };

  for (size_t i = 0; i < G_N_ELEMENTS (delays); i++)
    {
      struct model_job distant = job (UNCLAIMED_JOB, 1);
      struct model_job near = job (CLAIMED_JOB, 2);
      struct model model;

      start_both_jobs (&model);
      model.round_trip_max = 40 * SNIPE_MS;
      distant.resent = near.resent = true;
      distant.endpoint_digest = near.endpoint_digest
          = model_digest (&model, FIRST);
      model_release (&model, FIRST);
      model_advance (&model, model.now + 300 * SNIPE_MS);
      model_claim (&model, SECOND, 2 << 20, 1);
      snipe_pool_directory_synced (model.owners[SECOND].pool);
      model_advance (&model, model.now + 5 * SNIPE_MS);
      model_submit (&model, SECOND, &near);
      model_advance (&model, model.now - 5 * SNIPE_MS + delays[i]);
      model_submit (&model, SECOND, &distant);
      model_advance (&model, model.now + 2 * TASK_TIME);
      if (model.starts != 2)
        printf ("\n  batch %d ms after the claim: %u starts",
                (int)(delays[i] / SNIPE_MS), model.starts);
      CU_ASSERT_EQUAL (model.starts, 2);
      CU_ASSERT_TRUE (snipe_pool_idle (model.owners[SECOND].pool));
      model_clear (&model);
    }
}

/* Guards against polls that extend the lease of a run whose stop requests are
 * lost, and against capacity that stays in use after the lease has expired. */
static void
test_lost_stops (void)
{
  struct model model;

  start_both_jobs (&model);
  model.endpoints[0].drops_stops = true;
  snipe_pool_cancel (model.owners[FIRST].pool, 1, 1, model.now);
  snipe_pool_cancel (model.owners[FIRST].pool, 2, 2, model.now);
  model_advance (&model, model.now + RESEND_AFTER);
  CU_ASSERT_EQUAL (model.endpoints[0].run_count, 0);
  model.endpoints[0].unresponsive = true;
  model_advance (&model, model.now + RESEND_AFTER);
  CU_ASSERT_TRUE (snipe_pool_idle (model.owners[FIRST].pool));
  model_clear (&model);
}

/* Guards against counting capacity as used for ever at an endpoint that stops
 * answering after its last run was cancelled: no request has extended its
 * lease since its last answer. */
static void
test_silent_after_cancel (void)
{
  struct model model;

  start_both_jobs (&model);
  model.endpoints[0].drops_stops = true;
  snipe_pool_cancel (model.owners[FIRST].pool, 1, 1, model.now);
  snipe_pool_cancel (model.owners[FIRST].pool, 2, 2, model.now);
  model_advance (&model, model.now + 500 * SNIPE_MS);
  CU_ASSERT_FALSE (snipe_pool_idle (model.owners[FIRST].pool));
  model.endpoints[0].unresponsive = true;
  model_advance (&model, model.now + RESEND_AFTER);
  CU_ASSERT_TRUE (snipe_pool_idle (model.owners[FIRST].pool));
  model_clear (&model);
}

/* Guards against keeping a run that its owner does not know of, started by a
 * request that was carried out after its task had been given up. */
static void
test_unexpected_run (void)
{
  struct model model;
  struct model_endpoint *endpoint = &model.endpoints[0];

  start_both_jobs (&model);
  endpoint->runs[endpoint->run_count++] = (struct model_run){
    .task = "00000000000000aa.0.0.0", .run = 1, .until = model.now + TASK_TIME
  };
  snipe_pool_cancel (model.owners[FIRST].pool, 1, 1, model.now);
  model_advance (&model, model.now + 50 * SNIPE_MS);
  CU_ASSERT_FALSE (is_running (&model, "00000000000000aa"));
  CU_ASSERT_TRUE (is_running (&model, CLAIMED_JOB));
  model_clear (&model);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "takeover", test_takeover },
    { "distant coordinator", test_distant_coordinator },
    { "lost stops", test_lost_stops },
    { "silent after a cancel", test_silent_after_cancel },
    { "unexpected run", test_unexpected_run },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("unclaimed_runs", tests);
}
