/* Guards against a run of a lost coordinator that goes on when its caller is
 * back because each owner that takes its pool over extends the lease on top of
 * what the earlier owners have extended. */
#include "pool/model.h"
#include "suite.h"

#define FIRST 0
#define COORDINATOR 1
#define RESEND_AFTER (1300 * SNIPE_MS)
#define HEARTBEAT_INTERVAL (200 * SNIPE_MS)
#define STEP (5 * SNIPE_MS)
#define TASK_TIME (4 * SNIPE_S)
#define CLAIMS_MAX 4

static snipe_time
long_duration (const char *task)
{
  (void)task;
  return TASK_TIME;
}

struct chain_case
{
  const char *name;
  /** Claims by further owners, after the coordinator's last message. */
  snipe_time claims[CLAIMS_MAX];
  uint32_t claim_count;
};

/* @return how long after the coordinator's last message its run ended. */
static snipe_time
measure_end (const struct chain_case *it, snipe_time phase)
{
  struct model_job job = { .coordinator = COORDINATOR,
                           .number = 1,
                           .job = "0123456789abcdef",
                           .count = 1,
                           .estimate = TASK_TIME,
                           .soft_deadline = 2 * TASK_TIME,
                           .hard_deadline = 3 * TASK_TIME,
                           .caller_deadline = 3 * TASK_TIME };
  snipe_time last_message;
  snipe_time end = 0;
  uint32_t claims = 0;
  struct model model;

  model_init (&model, 1, 20000, long_duration);
  model.heartbeat_interval = HEARTBEAT_INTERVAL;
  model_claim (&model, FIRST, 1 << 20, 1);
  snipe_pool_directory_synced (model.owners[FIRST].pool);
  model_advance (&model, model.now + 20 * SNIPE_MS);
  model_submit (&model, FIRST, &job);
  model_advance (&model, model.now + 20 * SNIPE_MS + phase);
  CU_ASSERT_EQUAL (model.endpoints[0].run_count, 1);
  last_message = model.now;
  model.silent_since[COORDINATOR] = last_message;
  for (snipe_time at = 0; at < 3 * SNIPE_S; at += STEP)
    {
      if (claims < it->claim_count && at >= it->claims[claims])
        {
          claims++;
          model_claim (&model, FIRST + claims, (claims + 1) << 20, 1);
          snipe_pool_directory_synced (model.owners[FIRST + claims].pool);
        }
      model_advance (&model, last_message + at + STEP);
      if (model.endpoints[0].run_count > 0)
        end = at + STEP;
    }
  model_clear (&model);
  return end;
}

static void
test_takeovers (void)
{
  static const struct chain_case cases[] = {
    { "taken over before the bound", { 1200 * SNIPE_MS }, 1 },
    { "taken over again and again",
      { 380 * SNIPE_MS, 780 * SNIPE_MS, 1160 * SNIPE_MS, 1220 * SNIPE_MS },
      4 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      snipe_time latest = 0;

      for (snipe_time phase = 0; phase < SNIPE_S; phase += 10 * SNIPE_MS)
        latest = MAX (latest, measure_end (&cases[i], phase));
      CU_ASSERT_TRUE (latest <= RESEND_AFTER);
      if (latest > RESEND_AFTER)
        printf ("%s: ended after %d ms\n", cases[i].name,
                (int)(latest / SNIPE_MS));
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "takeovers", test_takeovers },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("takeover_chain", tests);
}
