/* Leases of runs whose coordinator is lost, or whose cancellation arrives
 * late. Its caller may submit the job again RESEND_AFTER after the last
 * message of the coordinator that reached the owner, and the job may then run
 * in another pool, so its runs have to have ended by then, also at an endpoint
 * that does not hear the owner any more. */
#include "pool/model.h"
#include "suite.h"

#define FIRST 0
#define SECOND 1
#define LOST 1 /* coordinator, and number of its batch */
#define LIVE 2
#define RESEND_AFTER (1300 * SNIPE_MS)
/* Longest time between two messages of a live host that shares work with the
 * owner: the interval of heartbeats, and that of the check for due ones. */
#define HEARTBEAT_INTERVAL (200 * SNIPE_MS)
#define FAILURE_TIMEOUT (600 * SNIPE_MS)
/* A live coordinator whose connection is silent and replaced counts as heard
 * again after the loss of heartbeats was noticed (390 ms), cancellations were
 * repeated and acknowledged (250 ms) and the next heartbeat has come (200 ms).
 */
#define SILENCE_MAX (840 * SNIPE_MS)
#define STEP (10 * SNIPE_MS)
#define TASK_TIME (4 * SNIPE_S)
#define LOST_JOB "0123456789abcdef"
#define LIVE_JOB "fedcba9876543210"

static snipe_time filler_time;

static snipe_time
long_duration (const char *task)
{
  if (g_str_has_prefix (task, "filler"))
    return filler_time;
  return g_str_has_prefix (task, "short") ? 10 * SNIPE_MS : TASK_TIME;
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

static void
init (struct model *model, double clock_rate)
{
  model_init (model, 1, 20000, long_duration);
  model->heartbeat_interval = HEARTBEAT_INTERVAL;
  model->endpoints[0].clock_rate = clock_rate;
  model_claim (model, FIRST, 1 << 20, 1);
  snipe_pool_directory_synced (model->owners[FIRST].pool);
  model_advance (model, model->now + 20 * SNIPE_MS);
}

/* One endpoint runs a task of each of the two jobs. */
static void
start_both_jobs (struct model *model, double clock_rate)
{
  struct model_job lost = job (LOST_JOB, LOST);
  struct model_job live = job (LIVE_JOB, LIVE);

  init (model, clock_rate);
  model_submit (model, FIRST, &lost);
  model_submit (model, FIRST, &live);
  model_advance (model, model->now + 20 * SNIPE_MS);
  CU_ASSERT_EQUAL_FATAL (model->endpoints[0].run_count, 2);
}

/* The next owner of the pool gets the batches again. */
static void
take_over (struct model *model)
{
  struct model_job lost = job (LOST_JOB, LOST);
  struct model_job live = job (LIVE_JOB, LIVE);

  lost.resent = live.resent = true;
  lost.endpoint_digest = live.endpoint_digest = model_digest (model, FIRST);
  model_release (model, FIRST);
  model_advance (model, model->now + 300 * SNIPE_MS);
  model_claim (model, SECOND, 2 << 20, 1);
  snipe_pool_directory_synced (model->owners[SECOND].pool);
  model_advance (model, model->now + 5 * SNIPE_MS);
  model_submit (model, SECOND, &lost);
  model_submit (model, SECOND, &live);
  model_advance (model, model->now + 5 * SNIPE_MS);
  CU_ASSERT_EQUAL_FATAL (model->endpoints[0].run_count, 2);
}

struct lost_case
{
  const char *name;
  snipe_time noticed_after; /**< from the coordinator's last message */
  bool cancelled;   /**< a cancellation arrives then; otherwise the loss is
                     * noticed
                     */
  bool taken_over;  /**< the owner has taken the pool over before */
  bool drops_stops; /**< the endpoint hears the owner, but does not stop */
};

static const struct lost_case lost_cases[] = {
  { "lost, connection reset", 250 * SNIPE_MS, false, false, false },
  { "lost, silent", FAILURE_TIMEOUT, false, false, false },
  { "lost, silent, pool taken over", FAILURE_TIMEOUT, false, true, false },
  { "cancelled, cancellation lost once", 200 * SNIPE_MS, true, false, false },
  { "cancelled, connection silent", 400 * SNIPE_MS, true, false, false },
  { "cancelled, connection silent, lost again", 600 * SNIPE_MS, true, false,
    false },
  { "lost, silent, stops ignored", FAILURE_TIMEOUT, false, false, true },
  { "cancelled, stops ignored", 0, true, false, true },
};

/* @return how long after the coordinator's last message the job's last run
 * ended, if the endpoint stops hearing the owner after @p cut. */
static snipe_time
measure_end (const struct lost_case *it, snipe_time phase, snipe_time cut,
             double clock_rate)
{
  snipe_time end = 0;
  snipe_time last_message;
  struct snipe_pool *pool;
  struct model model;
  uint32_t owner = it->taken_over ? SECOND : FIRST;

  start_both_jobs (&model, clock_rate);
  if (it->taken_over)
    take_over (&model);
  pool = model.owners[owner].pool;
  model_advance (&model, model.now + phase);
  last_message = model.now;
  model.silent_since[LOST] = last_message;
  model.endpoints[0].drops_stops = it->drops_stops;
  for (snipe_time at = 0; at < 3 * SNIPE_S; at += STEP)
    {
      if (at == cut)
        model.endpoints[0].unresponsive = true;
      if (at == it->noticed_after && it->cancelled)
        snipe_pool_cancel (pool, LOST, LOST, model.now);
      else if (at == it->noticed_after)
        snipe_pool_coordinator_lost (pool, LOST, model.now);
      model_advance (&model, last_message + at + STEP);
      if (is_running (&model, LOST_JOB))
        end = at + STEP;
    }
  model_clear (&model);
  return end;
}

/* Guards against a lease that outlives the time at which a lost coordinator's
 * caller is back: the owner extended it by a whole lease until it noticed the
 * loss (1,620 ms), or for as long as the endpoint ignored the stop. */
static void
test_lost_coordinator (void)
{
  static const double clock_rates[] = { 0.98, 1.0, 1.02 };

  for (size_t i = 0; i < G_N_ELEMENTS (lost_cases); i++)
    {
      const struct lost_case *it = &lost_cases[i];
      snipe_time latest = 0;
      uint32_t late = 0;
      uint32_t count = 0;

      for (size_t k = 0; k < G_N_ELEMENTS (clock_rates); k++)
        for (snipe_time phase = 0; phase < 600 * SNIPE_MS; phase += 7 * STEP)
          for (snipe_time cut = 0; cut <= it->noticed_after + 5 * STEP;
               cut += 2 * STEP)
            {
              /* If only stops are ignored, there is no cut. */
              snipe_time end = measure_end (
                  it, phase, it->drops_stops ? -1 : cut, clock_rates[k]);

              latest = MAX (latest, end);
              late += end > RESEND_AFTER;
              count++;
              if (it->drops_stops)
                break;
            }
      CU_ASSERT_EQUAL (late, 0);
      if (late > 0)
        printf ("%s: %u of %u runs ended late, the last after %d ms\n",
                it->name, late, count, (int)(latest / SNIPE_MS));
    }
}

/* Guards against a run of a live coordinator that lapses because another
 * coordinator, which has a run at the same endpoint, is silent for a time or
 * is lost, also if the answers to polls are late. */
static void
test_live_coordinator (void)
{
  for (snipe_time phase = 0; phase < 600 * SNIPE_MS; phase += 5 * STEP)
    for (snipe_time silence = 3 * STEP; silence <= SILENCE_MAX;
         silence += 3 * STEP)
      for (int late_answers = 0; late_answers < 2; late_answers++)
        {
          const struct model_result *result;
          snipe_time last_message;
          struct model model;

          start_both_jobs (&model, 1.02);
          model_advance (&model, model.now + phase);
          last_message = model.now;
          model.silent_since[LOST] = last_message;
          model.endpoints[0].poll_delay
              = late_answers == 0 ? 0 : 120 * SNIPE_MS;
          model_advance (&model, last_message + silence);
          if (silence == FAILURE_TIMEOUT)
            snipe_pool_coordinator_lost (model.owners[FIRST].pool, LOST,
                                         model.now);
          else
            model.silent_since[LOST] = 0;
          model_advance (&model, model.now + 2 * TASK_TIME);
          result = model_find_result (&model, LIVE);
          CU_ASSERT_TRUE (result != NULL && result->code == SNIPE_OK);
          CU_ASSERT_EQUAL (model.starts, 2);
          CU_ASSERT_EQUAL (model.assumed_ends[SNIPE_ASSUMED_LEASE], 0);
          model_clear (&model);
        }
}

struct unclaimed_case
{
  const char *name;
  /** Of the second owner, from the loss of the first one. */
  snipe_time claimed_after;
  /** Before that loss, the first owner acknowledges that the run's batch is
   * cancelled; -1: the run's coordinator is lost with the owner. */
  snipe_time cancelled_before;
  bool drops_stops;
  bool goes_on; /**< the claimed run must not lapse */
};

/* Guards against a run without a batch whose lease a new owner extends while a
 * claimed run beside it goes on and its stops get no answer, as its
 * coordinator is lost or only the lost owner knew that it was cancelled: it
 * goes on when its caller is back. Guards as well against a claimed run that
 * lapses beside it although the stop is answered. */
static void
test_unclaimed_run (void)
{
  static const struct unclaimed_case cases[] = {
    { "connection reset", 270 * SNIPE_MS, -1, false, true },
    { "stops unanswered", 270 * SNIPE_MS, -1, true, false },
    { "silent, stops unanswered", FAILURE_TIMEOUT, -1, true, false },
    { "cancelled at the lost owner, stops unanswered", 270 * SNIPE_MS, 0, true,
      false },
    { "cancelled before, stops unanswered", 270 * SNIPE_MS, 400 * SNIPE_MS,
      true, false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct unclaimed_case *it = &cases[i];
      snipe_time latest = 0;

      for (snipe_time phase = 0; phase < 600 * SNIPE_MS; phase += 2 * STEP)
        {
          struct model_job live = job (LIVE_JOB, LIVE);
          const struct model_result *result;
          snipe_time last_message;
          struct model model;

          start_both_jobs (&model, 0.98);
          live.resent = true;
          live.endpoint_digest = model_digest (&model, FIRST);
          model_advance (&model, model.now + phase);
          last_message = model.now;
          model.endpoints[0].drops_stops = it->drops_stops;
          if (it->cancelled_before < 0)
            model.silent_since[LOST] = last_message;
          else
            {
              snipe_pool_cancel (model.owners[FIRST].pool, LOST, LOST,
                                 model.now);
              model_advance (&model, model.now + it->cancelled_before);
            }
          model_release (&model, FIRST);
          model_advance (&model, model.now + it->claimed_after);
          model_claim (&model, SECOND, 2 << 20, 1);
          snipe_pool_directory_synced (model.owners[SECOND].pool);
          model_advance (&model, model.now + STEP);
          model_submit (&model, SECOND, &live);
          while (model.now < last_message + 3 * SNIPE_S)
            {
              model_advance (&model, model.now + STEP);
              if (is_running (&model, LOST_JOB))
                latest = MAX (latest, model.now - last_message);
            }
          model_advance (&model, model.now + 2 * TASK_TIME);
          result = model_find_result (&model, LIVE);
          CU_ASSERT_TRUE (result != NULL && result->code == SNIPE_OK);
          CU_ASSERT_TRUE (!it->goes_on || model.starts == 2);
          model_clear (&model);
        }
      CU_ASSERT_TRUE (latest <= RESEND_AFTER);
      if (latest > RESEND_AFTER)
        printf ("%s: ended after %d ms\n", it->name, (int)(latest / SNIPE_MS));
    }
}

static uint32_t
count_polls (snipe_time heartbeat_interval)
{
  struct model model;
  uint32_t polls;

  start_both_jobs (&model, 1.0);
  model.heartbeat_interval = heartbeat_interval;
  model_advance (&model, model.now + TASK_TIME + 500 * SNIPE_MS);
  CU_ASSERT_EQUAL (model.starts, 2);
  CU_ASSERT_TRUE (snipe_pool_idle (model.owners[FIRST].pool));
  polls = model.polls;
  model_clear (&model);
  return polls;
}

/* Guards against more polls while all coordinators are live. */
static void
test_poll_count (void)
{
  uint32_t before = count_polls (1);

  CU_ASSERT_EQUAL (count_polls (HEARTBEAT_INTERVAL), before);
  CU_ASSERT_TRUE (before < 20);
}

/* Guards against start requests that extend the lease of a run that a lost
 * coordinator has left behind and that the endpoint does not stop, and against
 * start requests without an end while its lease may not be extended. */
static void
test_starts_beside_lost_run (void)
{
  struct model_job lost = job (LOST_JOB, LOST);
  snipe_time last_message;
  struct model model;
  uint32_t number = 10;

  init (&model, 0.98);
  model_submit (&model, FIRST, &lost);
  model_advance (&model, model.now + 500 * SNIPE_MS);
  last_message = model.now;
  model.silent_since[LOST] = last_message;
  model.endpoints[0].drops_stops = true;
  model_advance (&model, last_message + FAILURE_TIMEOUT);
  snipe_pool_coordinator_lost (model.owners[FIRST].pool, LOST, model.now);
  while (model.now < last_message + RESEND_AFTER)
    {
      char name[17];
      struct model_job live;

      g_snprintf (name, sizeof name, "short%011u", number);
      live = job (name, number++);
      live.coordinator = LIVE;
      model_submit (&model, FIRST, &live);
      model_advance (&model, model.now + 50 * SNIPE_MS);
    }
  CU_ASSERT_FALSE (is_running (&model, LOST_JOB));
  CU_ASSERT_TRUE (model.start_requests < 2 * number);
  model_advance (&model, model.now + SNIPE_S);
  CU_ASSERT_TRUE (snipe_pool_idle (model.owners[FIRST].pool));
  CU_ASSERT_EQUAL (model.results->len, number - 10 + 1);
  model_clear (&model);
}

/* Guards against a task that waited for room and starts at an endpoint whose
 * lease another run has just extended: if its coordinator is lost, the lease
 * ends later than its caller is back. */
static void
test_start_after_extension (void)
{
  uint32_t started = 0;

  for (snipe_time wait = 5 * STEP; wait < FAILURE_TIMEOUT; wait += 3 * STEP)
    for (snipe_time cut = 0; cut <= 6 * STEP; cut += STEP)
      {
        struct model_job live = job (LIVE_JOB, LIVE);
        struct model_job filler = job ("filler0000000000", 3);
        struct model_job lost = job (LOST_JOB, LOST);
        snipe_time last_message;
        snipe_time end = 0;
        struct model model;

        init (&model, 0.98);
        filler_time = wait;
        filler.count = 2;
        filler.coordinator = LIVE;
        model_submit (&model, FIRST, &live);
        model_submit (&model, FIRST, &filler);
        model_submit (&model, FIRST, &lost);
        last_message = model.now;
        model.silent_since[LOST] = last_message;
        for (snipe_time at = 0; at < 3 * SNIPE_S; at += STEP)
          {
            if (at == wait + cut)
              model.endpoints[0].unresponsive = true;
            if (at == FAILURE_TIMEOUT)
              snipe_pool_coordinator_lost (model.owners[FIRST].pool, LOST,
                                           model.now);
            model_advance (&model, last_message + at + STEP);
            if (is_running (&model, LOST_JOB))
              end = at + STEP;
          }
        started += end > 0;
        if (end > RESEND_AFTER)
          printf ("room after %d ms, cut %d ms later: ended after %d ms\n",
                  (int)(wait / SNIPE_MS), (int)(cut / SNIPE_MS),
                  (int)(end / SNIPE_MS));
        CU_ASSERT_TRUE (end <= RESEND_AFTER);
        model_clear (&model);
      }
  CU_ASSERT_TRUE (started > 0);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "lost coordinator", test_lost_coordinator },
    { "live coordinator", test_live_coordinator },
    { "count of polls", test_poll_count },
    { "starts beside a lost run", test_starts_beside_lost_run },
    { "start after an extension", test_start_after_extension },
    { "unclaimed run", test_unclaimed_run },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("lease_bound", tests);
}
