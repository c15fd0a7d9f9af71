/* Pool scheduler: placement, rejection and expiry as time passes. */
#include "pool/batch.h"
#include "pool/hold.h"
#include "pool/near.h"
#include "pool/requests.h"
#include "pool/suspect.h"
#include "pool/whole.h"

#include <string.h>

#include "snipe/status.h"

/* Time that an orphaned run is kept for its batch to be sent again. */
#define ORPHAN_TIMEOUT (500 * SNIPE_MS)
/* The same beside runs that a batch has claimed: their lease is not extended
 * before the orphaned one has ended, and may end soon. The coordinators of
 * live jobs hear of a claim at once, and send their batches again: a round
 * trip. */
#define ORPHAN_TIMEOUT_BESIDE_CLAIMED (20 * SNIPE_MS)
/* Time that reading the list of endpoints takes after a claim while the store
 * is healthy; a multiple of its response time. */
#define DIRECTORY_WAIT (60 * SNIPE_MS)
/* Time, in leases, in which a previous owner that is cut off from this host
 * learns of the claim. Bounded, because a listed endpoint may not exist. */
#define CLAIM_NOTICE_LEASES 9
/* A run that takes this many times its predicted duration, and at least this
 * much longer, is stuck or its endpoint has become slow. */
#define STRAGGLER_FACTOR 3
#define STRAGGLER_MIN (120 * SNIPE_MS)
/* Ended runs that no other request has acknowledged after this time are
 * acknowledged by a separate poll request, so that an endpoint that gets no
 * more tasks does not keep them. Until then a host that takes over the pool
 * still learns of them. */
#define ACKNOWLEDGE_DELAY (2 * SNIPE_S)
/* Budget of resent requests: a share of the first ones and a small stock. More
 * would feed the overload that makes answers late. */
#define RESENDS_PER_REQUEST 0.2
#define RESENDS_MAX 100.0
/* Bounds of the delay after which a rejected caller may retry. */
#define RETRY_AFTER_MIN (1 * SNIPE_S)
#define RETRY_AFTER_MAX (30 * SNIPE_S)
/* Time for which an endpoint that is not listed is remembered, so that an
 * older reading of the list does not bring it back as it was. */
#define UNLISTED_KEPT (10 * SNIPE_S)

int
snipe_pool_new (struct snipe_pool **out,
                const struct snipe_pool_options *options, snipe_time now)
{
  const struct snipe_crash_table_options crashes
      = SNIPE_CRASH_TABLE_OPTIONS_INIT;
  struct snipe_pool *pool;
  int status = SNIPE_OK;

  if (options->version != SNIPE_POOL_OPTIONS_VERSION)
    return snipe_status_set (SNIPE_E_INVALID,
                             "unknown version %u of pool options",
                             options->version);
  pool = g_new0 (struct snipe_pool, 1);
  pool->crashes = options->crashes;
  pool->owns_crashes = options->crashes == NULL;
  if (pool->owns_crashes)
    status = snipe_crash_table_new (&pool->crashes, &crashes);
  if (status < 0)
    {
      g_free (pool);
      return status;
    }
  pool->token = options->token;
  pool->lease_max = options->lease_max;
  pool->round_trip_max = options->round_trip_max;
  pool->resend_after = options->resend_after;
  pool->stop_max = options->stop_max;
  pool->callbacks = options->callbacks;
  pool->created = now;
  pool->earlier_owner_until = now;
  pool->list = options->list;
  pool->drain_max = options->drain_max;
  pool->whole_jobs = options->whole_jobs;
  pool->spread_load = options->spread_load;
  pool->shared_order = options->shared_order;
  pool->slowdown = 1.0;
  pool->typical_ratio = 1.0;
  pool->far_factor.declared = options->remote_factor;
  pool->calibrations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  pool->resends = (struct snipe_retry_budget){
    .tokens = RESENDS_MAX / 2,
    .tokens_per_start = RESENDS_PER_REQUEST,
    .tokens_max = RESENDS_MAX,
  };
  pool->resends_refilled = now;
  pool->endpoints = g_hash_table_new_full (
      g_str_hash, g_str_equal, NULL, (GDestroyNotify)snipe_pool_endpoint_free);
  pool->outcomes = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&pool->outcome_order);
  pool->batches
      = g_ptr_array_new_with_free_func ((GDestroyNotify)snipe_batch_free);
  *out = pool;
  return SNIPE_OK;
}

void
snipe_pool_free (struct snipe_pool *pool)
{
  if (pool == NULL)
    return;
  g_ptr_array_free (pool->batches, TRUE);
  g_hash_table_destroy (pool->endpoints);
  g_hash_table_destroy (pool->outcomes);
  g_queue_clear_full (&pool->outcome_order, g_free);
  g_hash_table_destroy (pool->calibrations);
  if (pool->owns_crashes)
    snipe_crash_table_free (pool->crashes);
  g_free (pool);
}

bool
snipe_pool_fenced (const struct snipe_pool *pool)
{
  return pool->fenced;
}

void
snipe_pool_directory_synced (struct snipe_pool *pool)
{
  pool->directory_synced = true;
}

void
snipe_pool_earlier_owner_heard (struct snipe_pool *pool, snipe_time now)
{
  pool->earlier_owner_until = now;
}

void
snipe_pool_set_evacuated (struct snipe_pool *pool, bool evacuated,
                          snipe_time now)
{
  if (pool->evacuated == evacuated)
    return;
  pool->evacuated = evacuated;
  snipe_pool_tick (pool, now);
}

bool
snipe_pool_is_evacuated (const struct snipe_pool *pool)
{
  return pool->evacuated;
}

bool
snipe_pool_has_endpoint (const struct snipe_pool *pool, const char *endpoint)
{
  return g_hash_table_contains (pool->endpoints, endpoint);
}

static uint64_t
endpoint_digest (const struct snipe_pool *pool)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t digest = 0;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      if (endpoint->listed || endpoint->runs->len > 0)
        digest += (uint64_t)g_str_hash (endpoint->entry.id) * 2654435761U + 1;
    }
  return digest;
}

/* Whether all leases that a previous owner can have granted for a resent batch
 * have expired, also on a clock that runs 2 % slow. At an endpoint that this
 * owner does not know, that owner extends them until it hears of the claim, or
 * of the batch's move from the coordinator. */
static bool
previous_leases_expired (const struct snipe_pool *pool,
                         const struct batch *batch, snipe_time now)
{
  return now >= MAX (pool->earlier_owner_until, batch->arrived)
                    + pool->lease_max + pool->lease_max / 20;
}

/* Whether a batch may be started. A resent one may already run: it has to wait
 * until it is certain that all its runs would be known to this owner, which
 * they are if its endpoints are those of the previous owner. */
static bool
may_start (const struct snipe_pool *pool, const struct batch *batch,
           bool runs_known, uint64_t digest, snipe_time now)
{
  if (!batch->resent)
    return true;
  return runs_known
         && ((pool->directory_synced && batch->endpoint_digest == digest)
             || previous_leases_expired (pool, batch, now));
}

/* Whether the endpoint may have a run of a previous owner that is not known
 * yet. That owner may reach a listed endpoint that this one does not reach,
 * and extends the lease there until it learns of the claim. If the endpoint
 * restarts, its new incarnation knows no token, and that owner may start tasks
 * there. */
static bool
may_have_unknown_run (const struct snipe_pool *pool,
                      const struct snipe_pool_endpoint *endpoint,
                      snipe_time now)
{
  snipe_time deadline = endpoint->claim_deadline;

  if (endpoint->listed)
    deadline += CLAIM_NOTICE_LEASES * pool->lease_max;
  return endpoint->claim == CLAIM_PENDING && now < deadline;
}

/* Whether every run that a previous owner may have started at the endpoints of
 * this one is known. */
static bool
previous_runs_known (const struct snipe_pool *pool, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (may_have_unknown_run (pool, value, now))
      return false;
  return true;
}

static void
start_task (struct snipe_pool *pool, struct batch *batch, uint32_t task_index,
            struct snipe_pool_endpoint *endpoint, snipe_time now)
{
  char name[SNIPE_TASK_NAME_BYTES];
  struct run *run;

  snipe_batch_task_name (batch, task_index, name, sizeof name);
  run = snipe_pool_run_add (endpoint, name, batch->tasks[task_index].next_run,
                            &batch->task_resources);
  run->start_sent = now;
  run->predicted_duration
      = snipe_pool_predict_duration (pool, endpoint, batch);
  run->state = RUN_STARTING;
  if (snipe_pool_judge_task (pool, batch, task_index) == SNIPE_SUSPICION_ALONE)
    snipe_pool_run_isolate (run);
  /* A previous owner may have been lost before it could count a crash. */
  if (batch->resent || snipe_pool_has_losses (pool, name))
    snipe_pool_announce_run (pool, run, now);
  snipe_batch_attach_run (batch, task_index, run);
  snipe_pool_note_place (pool, batch, run);
  snipe_pool_send_start (pool, run, now);
}

/* @param leftover all other batches have been placed
 * @param full no endpoint is left for tasks that need not run alone */
static struct snipe_pool_endpoint *
choose_endpoint (struct snipe_pool *pool, struct batch *batch,
                 uint32_t task_index, bool leftover, bool *full,
                 snipe_time now)
{
  struct snipe_pool_endpoint *endpoint;

  switch (snipe_pool_judge_task (pool, batch, task_index))
    {
    case SNIPE_SUSPICION_NONE:
      break;
    case SNIPE_SUSPICION_ALONE:
      return snipe_pool_choose_isolated (pool, batch, now);
    case SNIPE_SUSPICION_WAIT:
    case SNIPE_SUSPICION_GIVEN_UP:
      return NULL;
    }
  if (*full)
    return NULL;
  endpoint = snipe_pool_choose_endpoint (pool, batch, false, now);
  if (endpoint != NULL
      && !snipe_pool_accepts_place (pool, batch, endpoint, leftover, now))
    endpoint = NULL;
  *full = endpoint == NULL;
  return endpoint;
}

static void
report_whole (const struct snipe_pool *pool, const struct batch *batch,
              enum snipe_whole_decision decision, snipe_time now)
{
  const struct snipe_pool_whole_event event = {
    .decision = decision,
    .job = batch->job,
    .coordinator = batch->coordinator,
    .batch = batch->number,
    .needed = batch->count,
    .free_now = batch->plan.at_once,
    .waited = now - batch->arrived,
    .until_start = batch->fits ? MAX (batch->plan.start - now, 0) : 0,
    .until_end = batch->fits ? MAX (batch->plan.end - now, 0) : 0,
    .until_due = MIN (batch->hard_deadline, batch->caller_deadline) - now,
  };

  if (pool->callbacks.whole != NULL)
    pool->callbacks.whole (pool->callbacks.ctx, &event);
}

static bool
has_suspect (struct snipe_pool *pool, struct batch *batch)
{
  for (uint32_t i = 0; i < batch->count; i++)
    if (snipe_pool_judge_task (pool, batch, i) != SNIPE_SUSPICION_NONE)
      return true;
  return false;
}

/* Whether a batch of which nothing has been started may be, because all of its
 * tasks are expected to end in time. A held one is granted its room also if no
 * task of it could start now. */
static bool
may_start_whole (const struct snipe_pool *pool, struct batch *batch,
                 snipe_time now)
{
  if (snipe_pool_can_start (pool, batch, now)
      || ((snipe_batch_is_held (batch)
           || snipe_pool_choose_endpoint (pool, batch, false, now) != NULL)
          && snipe_whole_is_in_time (pool, batch, now)))
    return true;
  if (!batch->wait_reported)
    report_whole (pool, batch, SNIPE_WHOLE_WAITS, now);
  batch->wait_reported = true;
  return false;
}

static void
place_batch (struct snipe_pool *pool, struct batch *batch, bool leftover,
             snipe_time now)
{
  bool full = false;

  batch->gave_way = false;
  snipe_pool_locate_batch (pool, batch, now);
  for (uint32_t i = 0; i < batch->count && batch->waiting > 0; i++)
    {
      struct task *task = &batch->tasks[i];
      struct snipe_pool_endpoint *endpoint;

      if (task->run != NULL || task->outcome != SNIPE_TASK_PENDING
          || task->retry_at > now)
        continue;
      endpoint = choose_endpoint (pool, batch, i, leftover, &full, now);
      if (endpoint != NULL)
        start_task (pool, batch, i, endpoint, now);
    }
}

/* Places a batch and reports the start of one that starts as a whole. */
static void
place_and_report (struct snipe_pool *pool, struct batch *batch, bool leftover,
                  snipe_time now)
{
  bool whole = snipe_batch_starts_whole (pool, batch);

  place_batch (pool, batch, leftover, now);
  if (whole && batch->started)
    report_whole (pool, batch, SNIPE_WHOLE_STARTED, now);
}

/* Grants a held batch its room once all of its tasks are expected to end in
 * time, and keeps it in each round from then on.
 * @return whether the batch is held: nothing of it is started. */
static bool
hold_batch (struct snipe_pool *pool, struct batch *batch, snipe_time now)
{
  switch (batch->hold)
    {
    case HOLD_NONE:
    case HOLD_COMMITTED:
      return false;
    case HOLD_WAITS:
      if (!has_suspect (pool, batch) && !may_start_whole (pool, batch, now))
        break;
      snipe_hold_grant (pool, batch, now);
      report_whole (pool, batch, SNIPE_WHOLE_GRANTED, now);
      snipe_hold_keep_room (pool, batch, now);
      break;
    case HOLD_GRANTED:
      snipe_hold_keep_room (pool, batch, now);
      break;
    }
  batch->gave_way = false;
  return true;
}

/* Whether nothing may be started before the list of endpoints is read: an
 * entry may be seconds old and its endpoint draining, or have shrunk. */
static bool
awaits_list (const struct snipe_pool *pool, snipe_time now)
{
  if (!pool->directory_synced && now < pool->created + DIRECTORY_WAIT)
    return true;
  return pool->list != NULL
         && snipe_list_age_is_awaited (pool->list, pool->created, now);
}

static snipe_time
retry_after (const struct snipe_pool *pool, snipe_time now)
{
  struct snipe_pool_load load;

  snipe_pool_load (pool, &load, NULL, 0, now);
  if (load.total_cpu == 0)
    return RETRY_AFTER_MIN;
  return CLAMP (load.backlog / load.total_cpu * SNIPE_MS, RETRY_AFTER_MIN,
                RETRY_AFTER_MAX);
}

/* Hands batches back to their coordinators, which send the tasks that were
 * never started to other pools. A result covers the whole batch, so that one
 * of which tasks run is kept until they have ended. */
static void
hand_back_batches (struct snipe_pool *pool, snipe_time now)
{
  bool runs_known = previous_runs_known (pool, now);
  uint64_t digest = endpoint_digest (pool);

  for (guint i = pool->batches->len; i > 0; i--)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i - 1);

      if (batch->waiting == batch->pending
          && may_start (pool, batch, runs_known, digest, now))
        snipe_batch_finish (pool, batch, SNIPE_E_REFUSED,
                            retry_after (pool, now), now);
    }
}

void
snipe_pool_place_tasks (struct snipe_pool *pool, snipe_time now)
{
  GPtrArray *queue;
  uint64_t digest;
  bool runs_known;

  snipe_pool_end_given_up (pool, now);
  snipe_hold_release_room (pool);
  if (pool->evacuated)
    {
      hand_back_batches (pool, now);
      return;
    }
  if (awaits_list (pool, now))
    return;
  /* Another owner has a higher token somewhere and may start elsewhere the
   * tasks that this one would start at endpoints that still accept its token.
   */
  if (pool->fenced)
    return;
  queue = g_ptr_array_sized_new (pool->batches->len);
  runs_known = previous_runs_known (pool, now);
  digest = endpoint_digest (pool);
  for (guint i = 0; i < pool->batches->len; i++)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i);

      if (batch->waiting > 0 && now < batch->caller_deadline
          && may_start (pool, batch, runs_known, digest, now))
        g_ptr_array_add (queue, batch);
    }
  snipe_pool_sort_batches (pool, queue, now);
  snipe_pool_begin_round (pool, now);
  for (guint i = 0; i < queue->len; i++)
    {
      struct batch *batch = g_ptr_array_index (queue, i);

      if (hold_batch (pool, batch, now))
        continue;
      if (!snipe_batch_starts_whole (pool, batch) || has_suspect (pool, batch)
          || may_start_whole (pool, batch, now))
        place_and_report (pool, batch, false, now);
      else
        batch->gave_way = false;
    }
  for (guint i = 0; i < queue->len; i++)
    {
      struct batch *batch = g_ptr_array_index (queue, i);

      if (batch->gave_way)
        place_and_report (pool, batch, true, now);
    }
  g_ptr_array_free (queue, TRUE);
}

/* Time at which a run at a silent endpoint is taken as ended: every lease that
 * a request can have extended has expired, also on a clock that runs 2 % slow,
 * and if the request was sent as late as it may be and to a new incarnation,
 * whose clock starts anew. */
static snipe_time
lease_certain_end (const struct snipe_pool *pool,
                   const struct snipe_pool_endpoint *endpoint)
{
  return MAX (endpoint->lease_extended + POLL_TIMEOUT_MARGIN,
              endpoint->lease_send_until)
         + pool->lease_max + pool->lease_max / 20;
}

/* Whether a task runs where no process listens any more, and cannot end in
 * time if it is started again when its lease is over. */
static bool
is_lost (const struct snipe_pool *pool, const struct batch *batch)
{
  snipe_time length = snipe_pool_predict_duration (pool, NULL, batch);

  for (uint32_t i = 0; i < batch->count; i++)
    {
      const struct run *run = batch->tasks[i].run;

      if (run != NULL && run->endpoint->refuses_since > 0
          && lease_certain_end (pool, run->endpoint) + length
                 > MIN (batch->hard_deadline, batch->caller_deadline))
        return true;
    }
  return false;
}

/* Rejects batches that cannot end in time and finishes those for which the
 * caller no longer waits. */
static void
expire_batches (struct snipe_pool *pool, snipe_time now)
{
  for (guint i = pool->batches->len; i > 0; i--)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i - 1);
      int code;

      snipe_pool_locate_batch (pool, batch, now);
      if (batch->hold == HOLD_GRANTED)
        code = snipe_hold_status (batch, now);
      else
        code = snipe_batch_starts_whole (pool, batch)
                   ? snipe_whole_rejection_status (pool, batch, now)
                   : snipe_pool_rejection_status (pool, batch, now);
      if (is_lost (pool, batch))
        code = SNIPE_E_TASK_LOST;
      if (now >= batch->caller_deadline)
        code = SNIPE_E_DEADLINE;
      if (code == SNIPE_OK)
        continue;
      if (code == SNIPE_E_HOLD_EXPIRED)
        report_whole (pool, batch, SNIPE_WHOLE_EXPIRED, now);
      else if (snipe_batch_starts_whole (pool, batch))
        report_whole (pool, batch, SNIPE_WHOLE_GIVEN_UP, now);
      snipe_batch_finish (pool, batch, code, retry_after (pool, now), now);
    }
}

static bool
lease_certainly_expired (const struct snipe_pool *pool,
                         const struct snipe_pool_endpoint *endpoint,
                         snipe_time now)
{
  return now > lease_certain_end (pool, endpoint);
}

/* Time after which an orphaned run is stopped. */
static snipe_time
orphan_timeout (const struct snipe_pool *pool, const struct run *run)
{
  return snipe_pool_endpoint_has_claimed_run (run->endpoint)
             ? MIN (ORPHAN_TIMEOUT_BESIDE_CLAIMED + pool->round_trip_max,
                    ORPHAN_TIMEOUT)
             : ORPHAN_TIMEOUT;
}

static void
check_run (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  struct batch *batch = run->batch;
  snipe_time elapsed = now - run->start_sent;

  if (run->state == RUN_STOPPING)
    {
      snipe_pool_resend_stop (pool, run, now);
      return;
    }
  if (run->start_overdue)
    snipe_pool_resend_start (pool, run, now);
  if (batch == NULL)
    {
      if (now - run->orphaned_since >= orphan_timeout (pool, run))
        snipe_pool_run_stop (pool, run, now);
      return;
    }
  if (run->state != RUN_ACTIVE || run->start_sent == 0
      || elapsed < STRAGGLER_FACTOR * run->predicted_duration + STRAGGLER_MIN)
    return;
  snipe_pool_endpoint_record_failure (run->endpoint, now);
  run->endpoint->duration_ratio
      = MAX (run->endpoint->duration_ratio, (double)STRAGGLER_FACTOR);
  if (now + snipe_pool_predict_duration (pool, NULL, batch)
      < MIN (batch->hard_deadline, batch->caller_deadline))
    snipe_pool_run_stop (pool, run, now);
  else
    /* Checked again after STRAGGLER_FACTOR times as long. */
    run->predicted_duration = elapsed;
}

static void
check_endpoint (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
                snipe_time now)
{
  if (endpoint->claim == CLAIM_FENCED)
    return;
  for (guint i = endpoint->runs->len; i > 0; i--)
    check_run (pool, g_ptr_array_index (endpoint->runs, i - 1), now);
  if (endpoint->runs->len > 0 && lease_certainly_expired (pool, endpoint, now))
    snipe_pool_end_expired_runs (pool, endpoint, now);
  if (!endpoint->poll_in_flight
      && (endpoint->claim != CLAIM_PENDING || !endpoint->listed)
      && (((endpoint->runs->len > 0
            || snipe_crash_table_is_open (pool->crashes, endpoint->entry.id))
           && now - endpoint->poll_sent >= POLL_TIMEOUT_MARGIN)
          || endpoint->unanswered_polls > 0
          || (endpoint->last_seen_end > endpoint->acknowledged_end
              && endpoint->listed
              && now - endpoint->poll_sent >= ACKNOWLEDGE_DELAY)))
    snipe_pool_send_poll (pool, endpoint, false, now);
}

void
snipe_pool_tick (struct snipe_pool *pool, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  snipe_pool_refill_resends (pool, now);
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct snipe_pool_endpoint *endpoint = value;

      check_endpoint (pool, endpoint, now);
      if (!endpoint->listed && endpoint->runs->len == 0
          && now - endpoint->unlisted_at >= UNLISTED_KEPT
          && !endpoint->poll_in_flight
          && !snipe_crash_table_is_open (pool->crashes, endpoint->entry.id))
        g_hash_table_iter_remove (&iter);
    }
  snipe_pool_send_claim_polls (pool, now);
  expire_batches (pool, now);
  snipe_pool_place_tasks (pool, now);
}

bool
snipe_pool_idle (const struct snipe_pool *pool)
{
  GHashTableIter iter;
  gpointer value;

  if (pool->batches->len > 0)
    return false;
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      if (endpoint->runs->len > 0
          || (endpoint->claim == CLAIM_PENDING && endpoint->listed))
        return false;
    }
  return true;
}

bool
snipe_pool_awaits_endpoint (const struct snipe_pool *pool, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      if (endpoint->refuses_since > 0
          && now - endpoint->refuses_since < SNIPE_POOL_AWAIT_MAX)
        return true;
    }
  return false;
}

uint32_t
snipe_pool_load (const struct snipe_pool *pool, struct snipe_pool_load *out,
                 uint32_t *free_cpu, uint32_t max, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t written = 0;

  *out = (struct snipe_pool_load){ .slowdown = pool->slowdown,
                                   .endpoint_digest = endpoint_digest (pool) };
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;
      int64_t free_capacity = snipe_pool_endpoint_free_capacity (endpoint).cpu;

      out->over += snipe_pool_endpoint_is_over (endpoint);
      if (pool->evacuated || !snipe_pool_endpoint_usable (endpoint, now))
        continue;
      out->endpoints++;
      out->total_cpu += endpoint->entry.capacity.cpu;
      if (free_capacity > 0 && written < max && endpoint->unknown_sizes == 0
          && snipe_pool_endpoint_is_shared (endpoint, now))
        free_cpu[written++] = (uint32_t)free_capacity;
    }
  for (guint i = 0; i < pool->batches->len; i++)
    {
      const struct batch *batch = g_ptr_array_index (pool->batches, i);

      /* A task whose place is kept counts there, as one that runs. */
      out->backlog
          += (int64_t)(batch->waiting - batch->kept)
             * batch->task_resources.cpu
             * (snipe_pool_predict_duration (pool, NULL, batch) / SNIPE_MS);
    }
  return written;
}
