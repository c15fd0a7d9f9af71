#include "pool/workload.h"
#include "suite.h"

#define OWNER 0
#define ENDPOINTS 16

struct load_result
{
  double possible[G_N_ELEMENTS (job_classes)];
  double earned[G_N_ELEMENTS (job_classes)];
  double share;       /**< earned part of the value of all jobs */
  double worst_class; /**< the same for the kind that earned least */
  uint32_t over_capacity;
  uint32_t duplicate_runs;
  double wasted; /**< part of all starts that were for jobs without value */
};

static void
score_jobs (const struct model *model, struct load_result *out)
{
  uint32_t useless = 0;

  for (uint32_t i = 0; i < plan_count; i++)
    {
      const struct planned_job *job = &plan[i];
      const struct model_result *result = model_find_result (model, i + 1);
      double value = job_classes[job->class].value;
      snipe_time elapsed;

      if (job->arrival < WARM_UP)
        continue;
      out->possible[job->class] += value;
      if (result == NULL || result->code != SNIPE_OK)
        {
          useless += result == NULL ? 0 : result->done;
          continue;
        }
      elapsed = result->time - SNIPE_S - job->arrival;
      out->earned[job->class] += value * earned_share (job, elapsed);
    }
  out->wasted = (double)useless / MAX (model->starts, 1);
}

static struct load_result
simulate (double load, double burst, uint32_t seed)
{
  struct load_result out = { .worst_class = 1 };
  struct model model;
  double possible = 0;
  double earned = 0;

  make_plan (load, burst, seed);
  model_init (&model, ENDPOINTS, 27000, planned_duration);
  model.size = planned_size;
  for (uint32_t i = 0; i < ENDPOINTS; i += 3)
    model.endpoints[i].entry.capacity.cpu = 96000;
  model_claim (&model, OWNER, 1 << 20, ENDPOINTS);
  snipe_pool_directory_synced (model.owners[OWNER].pool);
  for (uint32_t i = 0; i < plan_count; i++)
    {
      const struct planned_job *planned = &plan[i];
      char name[20];
      /* As the coordinator of a job submits it, which knows only the
       * estimate. */
      struct model_job job
          = { .coordinator = 1,
              .number = i + 1,
              .job = name,
              .count = planned->width,
              .estimate = planned->estimate,
              .soft_deadline
              = (snipe_time)(1.6 * (double)planned->estimate) + 60 * SNIPE_MS,
              .caller_deadline = 1500 * SNIPE_MS,
              .cpu = planned->cpu,
              .route = job_classes[planned->class].name,
              .priority = job_classes[planned->class].priority };

      job.hard_deadline = MIN (3 * job.soft_deadline, job.caller_deadline);
      snprintf (name, sizeof name, "%016x", i);
      model_advance (&model, SNIPE_S + planned->arrival);
      model_submit (&model, OWNER, &job);
    }
  model_advance (&model, model.now + 3 * SNIPE_S);
  score_jobs (&model, &out);
  out.over_capacity = model.over_capacity;
  out.duplicate_runs = model.duplicate_runs;
  for (size_t i = 0; i < G_N_ELEMENTS (job_classes); i++)
    {
      possible += out.possible[i];
      earned += out.earned[i];
      out.worst_class = MIN (out.worst_class, out.earned[i] / out.possible[i]);
    }
  out.share = earned / possible;
  model_clear (&model);
  return out;
}

struct load_case
{
  const char *name;
  double load;            /**< relative to the rate of the reference sites */
  double burst;           /**< factor on the load during four seconds */
  double share_min;       /**< least part of the value that must be earned */
  double worst_class_min; /**< the same for every kind of job */
};

/* Guards against a backlog that makes all later jobs late, starvation of a
 * kind of job, and work on jobs that are refused later. The bounds are the
 * users' minimum for a day (0.5 without disturbance, 0.3 to 0.39 with, the
 * same for each kind of job) plus the project's margin of 0.1. */
static void
test_load (void)
{
  const struct load_case cases[] = {
    { "low load", 0.6, 1.0, 0.9, 0.9 },
    { "reference sites at midday", 1.0, 1.0, 0.6, 0.5 },
    { "burst of 1.8", 1.0, 1.8, 0.49, 0.4 },
    { "sustained overload", 1.8, 1.0, 0.4, 0.3 },
    { "twice what the endpoints can do", 2.6, 1.0, 0.4, 0.2 },
  };
  bool verbose = getenv ("SNIPE_VERBOSE") != NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct load_case *row = &cases[i];
      double share = 0;
      double worst = 0;
      double wasted = 0;
      double class_shares[G_N_ELEMENTS (job_classes)] = { 0 };
      uint32_t seeds = 3;

      for (uint32_t seed = 1; seed <= seeds; seed++)
        {
          struct load_result out = simulate (row->load, row->burst, seed);

          share += out.share / seeds;
          worst += out.worst_class / seeds;
          wasted += out.wasted / seeds;
          for (size_t k = 0; k < G_N_ELEMENTS (job_classes); k++)
            class_shares[k] += out.earned[k] / out.possible[k] / seeds;
          CU_ASSERT_EQUAL (out.over_capacity, 0);
          CU_ASSERT_EQUAL (out.duplicate_runs, 0);
        }
      if (verbose || share < row->share_min || worst < row->worst_class_min)
        printf ("%s: share %.3f, worst kind %.3f (%.3f %.3f %.3f), wasted "
                "%.3f\n",
                row->name, share, worst, class_shares[0], class_shares[1],
                class_shares[2], wasted);
      CU_ASSERT_TRUE (share >= row->share_min);
      CU_ASSERT_TRUE (worst >= row->worst_class_min);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "load", test_load },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("pool_load", tests);
}
