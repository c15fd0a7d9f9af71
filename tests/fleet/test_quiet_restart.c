/* Guards against a host that starts while nothing runs in the fleet and is
 * told no load of the others' pools, as none changes: it is never ready and
 * rejects all jobs (RECOVER, review/12). */
#include <CUnit/Basic.h>

#include "fleet/fleet.h"
#include "suite.h"

#define PLAYS 20
#define RESTARTED 1
#define JOB_BEGIN (9 * SNIPE_S)

struct restart_case
{
  const char *name;
  uint32_t host_domains[SIM_HOSTS];
  uint32_t endpoint_counts[PLAN_DOMAINS];
  snipe_time down;
  bool machine; /**< is lost, not the process */
  bool resets;  /**< the first connections to the host */
};

static const struct restart_case cases[] = {
  { .name = "same domain",
    .host_domains = { 0, 0, 1 },
    .endpoint_counts = { 2, 2 },
    .down = 300 * SNIPE_MS },
  { .name = "alone in a domain without endpoints",
    .host_domains = { 0, 2, 1 },
    .endpoint_counts = { 2, 2 },
    .down = 300 * SNIPE_MS },
  { .name = "machine lost for longer",
    .host_domains = { 0, 2, 1 },
    .endpoint_counts = { 2, 2 },
    .down = 3 * SNIPE_S,
    .machine = true },
  { .name = "connections lost while it starts",
    .host_domains = { 0, 2, 1 },
    .endpoint_counts = { 2, 2 },
    .down = 300 * SNIPE_MS,
    .resets = true },
};

static void
draw_plan (struct plan *plan, const struct restart_case *from, uint32_t play)
{
  struct sim_random random = { play + 1 };
  snipe_time killed = (3000 + sim_draw (&random, 0, 1000)) * SNIPE_MS;

  *plan = (struct plan){ .seed = play + 1,
                         .mode = PLAN_NEVER_AGAIN,
                         .network = MODEL_CONNECTIONS,
                         .host_count = 3,
                         .domain_count = PLAN_DOMAINS,
                         .endpoint_cpu = 8000,
                         .store_write_interval = PLAN_STORE_WRITE_INTERVAL,
                         .job_count = 1,
                         .disturbance_count = 1 };
  memcpy (plan->host_domains, from->host_domains, sizeof plan->host_domains);
  memcpy (plan->endpoint_counts, from->endpoint_counts,
          sizeof plan->endpoint_counts);
  for (uint32_t i = 0; i < PLAN_DOMAINS; i++)
    plan->endpoint_count += plan->endpoint_counts[i];
  plan->jobs[0] = (struct plan_job){ .id = "00000000000000aa",
                                     .host = RESTARTED,
                                     .begin = JOB_BEGIN,
                                     .tasks = 1,
                                     .duration = 100 * SNIPE_MS,
                                     .estimate = 100 * SNIPE_MS,
                                     .patience = 2 * SNIPE_S,
                                     .cpu = 1000 };
  plan->disturbances[0] = (struct disturbance){ .kind = DISTURB_KILL,
                                                .begin = killed,
                                                .length = from->down,
                                                .host = RESTARTED,
                                                .hard = from->machine };
  for (uint32_t i = 0; from->resets && i < 3; i += 2)
    plan->disturbances[plan->disturbance_count++] = (struct disturbance){
      .kind = DISTURB_RESET,
      .begin = killed + from->down + sim_draw (&random, 1, 60) * SNIPE_MS,
      .host = i,
      .other = RESTARTED
    };
}

static void
test_quiet_restart (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      uint32_t complete = 0;

      for (uint32_t play = 0; play < PLAYS; play++)
        {
          struct plan plan;

          draw_plan (&plan, &cases[i], play);
          CU_ASSERT_EQUAL (fleet_play (&plan, false).kind, VIOLATION_NONE);
          complete += fleet.last_submission[0]->answers == 1
                      && fleet.last_submission[0]->answer.outcome
                             == SNIPE_COORDINATOR_COMPLETE;
          fleet_end ();
        }
      if (complete < PLAYS)
        printf ("\n  %s: complete in %u of %d plays", cases[i].name, complete,
                PLAYS);
      CU_ASSERT_EQUAL (complete, PLAYS);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "quiet restart", test_quiet_restart },
    CU_TEST_INFO_NULL,
  };

  setvbuf (stdout, NULL, _IOLBF, 0);
  g_log_set_writer_func (sim_log_writer, NULL, NULL);
  return suite_run ("quiet_restart", tests);
}
