/* Guards against two runs of one task after a caller's connection broke: the
 * caller submits its job again 1,300 ms later, through a host of another
 * failure domain, while the first run goes on because no stop arrives. */
#include <CUnit/Basic.h>

#include "fleet/fleet.h"
#include "fleet/trace.h"
#include "suite.h"

#define PLAYS 200
#define BREAK_AT (4 * SNIPE_S)
#define LATE_TIME (6 * SNIPE_S)
#define TASK_TIME (4 * SNIPE_S)

struct returned_case
{
  const char *name;
  uint32_t host_domains[SIM_HOSTS];
  uint32_t host_count;
  uint32_t endpoint_counts[PLAN_DOMAINS];
  uint32_t jobs; /**< the first one's caller comes back */
  /** Of the host with the caller's connection; 0: it does not stand still. */
  snipe_time freeze_min;
  snipe_time freeze_max;
  /** From the break on: the shortest and the longest time. */
  snipe_time freeze_after[2];
  /** The connection over which it sends a cancellation breaks meanwhile. */
  bool resets;
  /** A host that is killed, from the break on; the longest time, 0: none. */
  uint32_t killed;
  snipe_time kill_after_max;
};

static const struct returned_case cases[] = {
  { .name = "host stands still and owns the pool",
    .host_domains = { 0, 1 },
    .host_count = 2,
    .endpoint_counts = { 1, 1 },
    .jobs = 4,
    .freeze_min = 100 * SNIPE_MS,
    .freeze_max = 580 * SNIPE_MS,
    .freeze_after = { -5 * SNIPE_MS, -5 * SNIPE_MS } },
  { .name = "host stands still, another one owns the pool",
    .host_domains = { 0, 1, 2 },
    .host_count = 3,
    .endpoint_counts = { 0, 1, 1 },
    .jobs = 4,
    .freeze_min = 100 * SNIPE_MS,
    .freeze_max = 580 * SNIPE_MS,
    .freeze_after = { -5 * SNIPE_MS, -5 * SNIPE_MS } },
  { .name = "cancellation is lost, and its host stands still",
    .host_domains = { 0, 1, 2 },
    .host_count = 3,
    .endpoint_counts = { 0, 1, 1 },
    .jobs = 4,
    .freeze_min = 250 * SNIPE_MS,
    .freeze_max = 580 * SNIPE_MS,
    .freeze_after = { 2 * SNIPE_MS, 190 * SNIPE_MS },
    .resets = true },
  { .name = "owner is killed after it was told of the cancellation",
    .host_domains = { 0, 1, 2 },
    .host_count = 3,
    .endpoint_counts = { 0, 1, 1 },
    .jobs = 4,
    .killed = 1,
    .kill_after_max = 300 * SNIPE_MS },
};

static void
add_disturbance (struct plan *plan, const struct disturbance *disturbance)
{
  plan->disturbances[plan->disturbance_count++] = *disturbance;
}

static void
draw_plan (struct plan *plan, const struct returned_case *from, uint32_t play)
{
  struct sim_random random = { play + 1 };
  snipe_time freeze
      = sim_draw (&random, from->freeze_min, MAX (from->freeze_max, 1));

  *plan = (struct plan){ .seed = play + 1,
                         .mode = PLAN_AGAIN,
                         .network = MODEL_CONNECTIONS,
                         .host_count = from->host_count,
                         .domain_count = PLAN_DOMAINS,
                         .endpoint_cpu = 8000,
                         .store_write_interval = PLAN_STORE_WRITE_INTERVAL,
                         .job_count = from->jobs };
  memcpy (plan->host_domains, from->host_domains, sizeof plan->host_domains);
  memcpy (plan->endpoint_counts, from->endpoint_counts,
          sizeof plan->endpoint_counts);
  for (uint32_t i = 0; i < PLAN_DOMAINS; i++)
    plan->endpoint_count += plan->endpoint_counts[i];
  for (uint32_t i = 0; i < plan->job_count; i++)
    {
      struct plan_job *job = &plan->jobs[i];

      *job = (struct plan_job){
        .begin = BREAK_AT - sim_draw (&random, 300, 900) * SNIPE_MS,
        .tasks = 1,
        .duration = TASK_TIME,
        .estimate = TASK_TIME,
        .patience = 3 * TASK_TIME,
        .cpu = 1000
      };
      g_snprintf (job->id, sizeof job->id, "%08x%08x",
                  (unsigned int)plan->seed, i + 1);
    }
  if (freeze > 1)
    add_disturbance (plan,
                     &(struct disturbance){
                         .kind = DISTURB_FREEZE,
                         .begin = BREAK_AT
                                  + sim_draw (&random, from->freeze_after[0],
                                              from->freeze_after[1]),
                         .length = freeze,
                         .detail = (uint32_t)sim_draw (&random, 0, 1) });
  add_disturbance (plan, &(struct disturbance){ .kind = DISTURB_CALLER_RESET,
                                                .begin = BREAK_AT });
  for (uint32_t i = 1; from->resets && i < plan->host_count; i++)
    add_disturbance (plan,
                     &(struct disturbance){
                         .kind = DISTURB_RESET,
                         .begin = BREAK_AT + sim_draw (&random, 0, SNIPE_MS),
                         .other = i,
                         .hard = false });
  if (from->kill_after_max > 0)
    add_disturbance (
        plan,
        &(struct disturbance){
            .kind = DISTURB_KILL,
            .begin = BREAK_AT
                     + sim_draw (&random, 2, from->kill_after_max / SNIPE_MS)
                           * SNIPE_MS,
            .length = LATE_TIME,
            .host = from->killed });
  for (uint32_t i = 0; i < plan->host_count; i++)
    for (uint32_t k = 0; k < plan->endpoint_count; k++)
      add_disturbance (plan, &(struct disturbance){ .kind = DISTURB_LATE,
                                                    .begin = BREAK_AT,
                                                    .length = LATE_TIME,
                                                    .host = i,
                                                    .other = k,
                                                    .detail = ENDPOINT_STOP });
}

static void
play_case (const struct returned_case *it)
{
  uint32_t broken = 0;
  uint32_t again = 0;

  for (uint32_t i = 0; i < PLAYS; i++)
    {
      struct plan plan;
      struct violation violation;

      draw_plan (&plan, it, i);
      violation = fleet_play (&plan, false);
      again += fleet.last_submission[0]->number > 1;
      fleet_end ();
      if (violation.kind == VIOLATION_NONE || broken++ > 0)
        continue;
      fleet_play (&plan, true);
      printf ("\n  %s, play %u: %s: %s\n", it->name, i, violation.task,
              violation.text);
      fleet_print_trace ();
      fleet_end ();
    }
  printf ("\n  %s: broken in %u of %d plays, caller back in %u", it->name,
          broken, PLAYS, again);
  CU_ASSERT_EQUAL (broken, 0);
  CU_ASSERT_TRUE (again > PLAYS / 2);
}

static void
test_returned_caller (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    play_case (&cases[i]);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "returned caller", test_returned_caller },
    CU_TEST_INFO_NULL,
  };

  setvbuf (stdout, NULL, _IOLBF, 0);
  g_log_set_writer_func (sim_log_writer, NULL, NULL);
  return suite_run ("returned_caller", tests);
}
