#include "pool/model.h"
#include "suite.h"

#define FIRST 0
#define SECOND 1
#define TASK_TIME (3 * SNIPE_S)
#define ENDPOINTS 3

static snipe_time
long_duration (const char *task)
{
  (void)task;
  return TASK_TIME;
}

/* Guards against an owner that goes on extending leases after another host has
 * claimed its pool, because it is cut off from that host and reaches an
 * endpoint that the other one does not reach. The new owner starts the tasks
 * of that endpoint elsewhere when all leases have to have expired. */
static void
test_owner_cut_off (void)
{
  struct model model;

  for (snipe_time delay = 0; delay < SNIPE_S; delay += 50 * SNIPE_MS)
    {
      struct model_job sent = { .coordinator = 1,
                                .number = 1,
                                .job = "0123456789abcdef",
                                .count = 2,
                                .estimate = TASK_TIME,
                                .soft_deadline = 2 * TASK_TIME,
                                .hard_deadline = 3 * TASK_TIME,
                                .caller_deadline = 3 * TASK_TIME };
      struct model_job again = sent;
      const struct model_result *result;

      model_init (&model, ENDPOINTS, 60000, long_duration);
      model_claim (&model, FIRST, 1 << 20, ENDPOINTS);
      snipe_pool_directory_synced (model.owners[FIRST].pool);
      model_advance (&model, model.now + 20 * SNIPE_MS);
      model_submit (&model, FIRST, &sent);
      model_advance (&model, model.now + 20 * SNIPE_MS + delay);
      for (uint32_t i = 0; i < ENDPOINTS; i++)
        if (model.endpoints[i].run_count > 0)
          model.endpoints[i].cut_owners |= 1U << SECOND;
      again.resent = true;
      again.endpoint_digest = model_digest (&model, FIRST);
      model_claim (&model, SECOND, 2 << 20, ENDPOINTS);
      snipe_pool_directory_synced (model.owners[SECOND].pool);
      model_submit (&model, SECOND, &again);
      model_advance (&model, model.now + 1500 * SNIPE_MS);
      CU_ASSERT_EQUAL (model.duplicate_runs, 0);
      for (uint32_t i = 0; i < ENDPOINTS; i++)
        model.endpoints[i].cut_owners = 0;
      model_release (&model, FIRST);
      model_advance (&model, model.now + 2 * TASK_TIME);
      result = model_find_result (&model, 1);
      CU_ASSERT_TRUE (result != NULL && result->code == SNIPE_OK
                      && result->done == 2);
      CU_ASSERT_EQUAL (model.duplicate_runs, 0);
      model_clear (&model);
    }
}

/* Guards against taking an endpoint that has restarted since the claim for one
 * without runs of the earlier owner: that owner may be cut off from this one,
 * and start tasks in the new incarnation (two runs at a time, fleet search
 * seeds 211 and 867). */
static void
test_endpoint_restarts (void)
{
  struct model_job sent = { .coordinator = 1,
                            .number = 1,
                            .job = "0123456789abcdef",
                            .count = 1,
                            .estimate = TASK_TIME,
                            .soft_deadline = 2 * TASK_TIME,
                            .hard_deadline = 3 * TASK_TIME,
                            .caller_deadline = 3 * TASK_TIME };
  struct model_job again = sent;
  const struct model_result *result;
  struct model model;

  model_init (&model, ENDPOINTS, 60000, long_duration);
  /* The task fits only at the first endpoint until the second owner claims. */
  for (uint32_t i = 1; i < ENDPOINTS; i++)
    model.endpoints[i].entry.capacity.cpu = 1000;
  model_claim (&model, FIRST, 1 << 20, ENDPOINTS);
  snipe_pool_directory_synced (model.owners[FIRST].pool);
  model_advance (&model, model.now + 100 * SNIPE_MS);
  for (uint32_t i = 1; i < ENDPOINTS; i++)
    {
      model.endpoints[i].entry.capacity.cpu = 64000;
      model.endpoints[i].cut_owners |= 1U << FIRST;
    }
  model.endpoints[0].cut_owners |= 1U << SECOND;
  model_claim (&model, SECOND, 2 << 20, ENDPOINTS);
  snipe_pool_directory_synced (model.owners[SECOND].pool);
  model_advance (&model, model.now + 200 * SNIPE_MS);
  model_restart (&model, 0);
  for (uint32_t i = FIRST; i <= SECOND; i++)
    snipe_pool_endpoint_set (model.owners[i].pool, &model.endpoints[0].entry,
                             model.now);
  model_advance (&model, model.now + 200 * SNIPE_MS);
  model_submit (&model, FIRST, &sent);
  model_advance (&model, model.now + 100 * SNIPE_MS);
  CU_ASSERT_EQUAL (model.endpoints[0].run_count, 1);
  again.resent = true;
  again.endpoint_digest = model_digest (&model, FIRST);
  model_submit (&model, SECOND, &again);
  model_advance (&model, model.now + SNIPE_S);
  CU_ASSERT_EQUAL (model.duplicate_runs, 0);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    model.endpoints[i].cut_owners = 0;
  model_advance (&model, model.now + 2 * TASK_TIME);
  result = model_find_result (&model, 1);
  CU_ASSERT_TRUE (result != NULL && result->code == SNIPE_OK
                  && result->done == 1);
  CU_ASSERT_EQUAL (model.duplicate_runs, 0);
  model_clear (&model);
}

/* Guards against a takeover that waits for ever for a listed endpoint that
 * does not exist, such as that of a row by another writer. */
static void
test_absent_endpoint (void)
{
  struct model_job again = { .coordinator = 1,
                             .number = 1,
                             .job = "0123456789abcdef",
                             .count = 2,
                             .estimate = TASK_TIME,
                             .soft_deadline = 60 * SNIPE_S,
                             .hard_deadline = 60 * SNIPE_S,
                             .caller_deadline = 60 * SNIPE_S,
                             .resent = true };
  const struct model_result *result;
  struct model model;

  model_init (&model, ENDPOINTS, 60000, long_duration);
  model.endpoints[0].unresponsive = true;
  model_claim (&model, SECOND, 2 << 20, ENDPOINTS);
  snipe_pool_directory_synced (model.owners[SECOND].pool);
  again.endpoint_digest = model_digest (&model, SECOND);
  model_submit (&model, SECOND, &again);
  model_advance (&model, model.now + 20 * SNIPE_S);
  result = model_find_result (&model, 1);
  CU_ASSERT_TRUE (result != NULL && result->code == SNIPE_OK);
  model_clear (&model);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "owner cut off from its successor", test_owner_cut_off },
    { "endpoint restarts after the claim", test_endpoint_restarts },
    { "absent endpoint", test_absent_endpoint },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("cut_off_owner", tests);
}
