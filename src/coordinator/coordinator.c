#include "coordinator/private.h"

#include <string.h>

#include "snipe/status.h"

/* Number of times that rejected tasks of a job are sent to another pool. */
#define REASSIGNMENTS_MAX 3
/* Number of times that pools may decline tasks of a job. Each costs a message
 * each way; with more, the last pools to be tried are hardly less loaded. */
#define DECLINES_MAX 3
/* Hard deadline of a job in multiples of its target duration: by the users'
 * rules, a later result is worthless to the caller. */
#define HARD_DEADLINE_FACTOR 3
#define RETRY_AFTER_MIN (1 * SNIPE_S)
/* A job that arrives before the owner of any pool is known waits for as long
 * as a restart of all hosts takes: they come back within half a second and
 * claim pools 0.3 s later. A late answer is of more use to the caller than a
 * rejection. */
#define WAIT_TIME_MAX (800 * SNIPE_MS)
/* A connection that could not be made is not retried earlier. */
#define RECONNECT_DELAY (100 * SNIPE_MS)
/* A pool that has refused what it may not decline gets no tasks for this long;
 * why it starts nothing is heard from its owner or another host meanwhile. */
#define REFUSED_DELAY (100 * SNIPE_MS)
/* Refreshing the list of endpoints takes a few milliseconds; if it takes
 * longer than this, the pools decide. */
#define ENDPOINT_LIST_WAIT_MAX (100 * SNIPE_MS)
/* Delay after which a batch that its owner does not have is sent to it again.
 * A host of an earlier version ignores a batch for a second after it was
 * cancelled there. */
#define BATCH_RESEND_DELAY (200 * SNIPE_MS)
/* Time within which the results of cancelled batches of a job are awaited: a
 * few round trips between domains. A caller that learns that its job has not
 * run may send it again at once, and one that does not has to find out. */
#define CLOSE_TIME_MAX (100 * SNIPE_MS)

/* A time that has passed. */
#define DUE ((snipe_time)1)

static void
batch_free (struct batch *batch)
{
  g_free (batch->indexes);
  g_free (batch);
}

static void
job_free (struct job *job)
{
  g_free ((char *)job->spec.id);
  g_free ((char *)job->spec.route);
  g_free ((char *)job->spec.service);
  g_free ((char *)job->spec.label);
  g_free ((char *)job->spec.rack);
  snipe_str_clear (&job->spec.spec);
  g_ptr_array_free (job->batches, TRUE);
  g_array_free (job->unplaced, TRUE);
  g_free (job);
}

int
snipe_coordinator_new (struct snipe_coordinator **out,
                       const struct snipe_coordinator_options *options)
{
  struct snipe_coordinator *coordinator;

  if (options->version != SNIPE_COORDINATOR_OPTIONS_VERSION)
    return snipe_status_set (SNIPE_E_INVALID,
                             "unknown version %u of coordinator options",
                             options->version);
  coordinator = g_new0 (struct snipe_coordinator, 1);
  coordinator->incarnation = options->incarnation;
  g_strlcpy (coordinator->domain, options->domain, sizeof coordinator->domain);
  coordinator->takeover_timeout = options->takeover_timeout;
  coordinator->whole_jobs = options->whole_jobs;
  coordinator->spread_load = options->spread_load;
  coordinator->shared_order = options->shared_order;
  coordinator->callbacks = options->callbacks;
  coordinator->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                             (GDestroyNotify)job_free);
  coordinator->batches = g_hash_table_new_full (
      g_int64_hash, g_int64_equal, NULL, (GDestroyNotify)batch_free);
  coordinator->cancellations = snipe_cancellations_new ();
  coordinator->retry_books
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  snipe_views_init (&coordinator->views);
  *out = coordinator;
  return SNIPE_OK;
}

void
snipe_coordinator_free (struct snipe_coordinator *coordinator)
{
  if (coordinator == NULL)
    return;
  g_hash_table_destroy (coordinator->retry_books);
  g_hash_table_destroy (coordinator->cancellations);
  g_hash_table_destroy (coordinator->batches);
  g_hash_table_destroy (coordinator->jobs);
  snipe_views_clear (&coordinator->views);
  g_free (coordinator);
}

/* @return the latest time up to which all that callers sent is handled. */
static snipe_time
callers_handled (const struct snipe_coordinator *coordinator, snipe_time now)
{
  const struct snipe_coordinator_callbacks *callbacks
      = &coordinator->callbacks;

  return callbacks->callers_handled == NULL
             ? now
             : callbacks->callers_handled (callbacks->ctx, now);
}

static void
remove_batch (struct snipe_coordinator *coordinator, struct batch *batch,
              snipe_time now)
{
  g_ptr_array_remove (batch->job->batches, batch);
  snipe_cancellations_batch_removed (coordinator->cancellations, batch->number,
                                     callers_handled (coordinator, now));
  g_hash_table_remove (coordinator->batches, &batch->number);
}

static void
cancel_batch (struct snipe_coordinator *coordinator, const struct batch *batch,
              snipe_time now)
{
  struct snipe_coordinator_cancellation message
      = { .owner = batch->owner, .number = batch->number };

  coordinator->callbacks.cancel (coordinator->callbacks.ctx, &message);
  /* A message of this host to itself is not lost. */
  if (batch->owner != coordinator->incarnation)
    snipe_cancellations_add (coordinator->cancellations, batch->owner,
                             batch->number, batch->job->spec.caller_deadline,
                             callers_handled (coordinator, now), now);
}

/* Removes the job and cancels its batches. */
static void
remove_job (struct snipe_coordinator *coordinator, struct job *job,
            snipe_time now)
{
  while (job->batches->len > 0)
    {
      struct batch *batch = g_ptr_array_index (job->batches, 0);

      if (batch->owner != 0)
        cancel_batch (coordinator, batch, now);
      remove_batch (coordinator, batch, now);
    }
  g_hash_table_remove (coordinator->jobs, job->spec.id);
}

static struct snipe_retry_book *
find_retry_book (struct snipe_coordinator *coordinator, const char *service)
{
  struct snipe_retry_book *book
      = g_hash_table_lookup (coordinator->retry_books, service);

  if (book == NULL)
    {
      book = g_new0 (struct snipe_retry_book, 1);
      g_hash_table_insert (coordinator->retry_books, g_strdup (service), book);
    }
  return book;
}

/* Core-time of all tasks of a job, in thousandths of a core times
 * milliseconds. */
static double
job_work (const struct job *job)
{
  return (double)job->spec.count * (double)job->spec.task_resources.cpu
         * (double)job->spec.estimate / SNIPE_MS;
}

/* Chooses when the caller of a job that was not run should come back. */
static snipe_time
spread_retry (struct snipe_coordinator *coordinator, const struct job *job,
              int code, snipe_time now)
{
  struct snipe_retry_book *book
      = find_retry_book (coordinator, job->spec.service);
  struct snipe_coordinator_rejection rejection
      = { .job = job->spec.id, .service = job->spec.service, .code = code };
  struct snipe_retry_room room;
  struct snipe_retry_choice choice;

  snipe_views_sum_room (&room, coordinator->views.pools, job->spec.service);
  snipe_retry_book_choose (&choice, book, &room, job->spec.id, job_work (job),
                           now);
  rejection.seconds = choice.seconds;
  rejection.horizon = choice.horizon;
  rejection.total_cpu = room.total_cpu;
  rejection.backlog = room.backlog;
  rejection.returning = choice.returning;
  rejection.served = choice.served;
  if (coordinator->callbacks.rejected != NULL)
    coordinator->callbacks.rejected (coordinator->callbacks.ctx, &rejection);
  return choice.seconds * SNIPE_S;
}

static void
answer_job (struct snipe_coordinator *coordinator, struct job *job,
            enum snipe_coordinator_outcome outcome, int code,
            snipe_time retry_after, snipe_time now)
{
  struct snipe_coordinator_answer value
      = { .outcome = outcome, .code = code, .retry_after = retry_after };

  coordinator->callbacks.answer (coordinator->callbacks.ctx, job->spec.ctx,
                                 &value);
  remove_job (coordinator, job, now);
}

/* Whether a task of the job may have started. A batch that was sent may have
 * been until its result tells that it was not. */
static bool
may_have_started (const struct job *job)
{
  for (guint i = 0; i < job->batches->len; i++)
    if (((const struct batch *)g_ptr_array_index (job->batches, i))->owner
        != 0)
      return true;
  return job->ran;
}

/* Abandons the job. Its outcome is "not run" only if no task of it can have
 * started. */
static void
abandon_job (struct snipe_coordinator *coordinator, struct job *job, int code,
             snipe_time retry_after, snipe_time now)
{
  bool not_run = !may_have_started (job);

  if (not_run && coordinator->shared_order)
    retry_after = spread_retry (coordinator, job, code, now);
  answer_job (coordinator, job,
              not_run ? SNIPE_COORDINATOR_NOT_RUN : SNIPE_COORDINATOR_UNKNOWN,
              code, MAX (retry_after, RETRY_AFTER_MIN), now);
}

/* Abandons a job that finds no room. If its other batches decide whether a
 * task has started, they are cancelled, and the caller is answered when the
 * last of their results is in, or after CLOSE_TIME_MAX. */
static void
close_job (struct snipe_coordinator *coordinator, struct job *job, int code,
           snipe_time retry_after, snipe_time now)
{
  if (job->ran || !may_have_started (job))
    {
      abandon_job (coordinator, job, code, retry_after, now);
      return;
    }
  job->closes_at = MIN (now + CLOSE_TIME_MAX, job->spec.caller_deadline);
  job->close_code = code;
  job->close_retry_after = retry_after;
  for (guint i = 0; i < job->batches->len; i++)
    {
      struct batch *batch = g_ptr_array_index (job->batches, i);

      if (batch->owner != 0)
        cancel_batch (coordinator, batch, now);
    }
}

static int
send_batch (struct snipe_coordinator *coordinator, struct batch *batch,
            bool resent)
{
  const struct snipe_coordinator_job *spec = &batch->job->spec;
  struct snipe_pool_batch message = {
    .coordinator = coordinator->incarnation,
    .number = batch->number,
    .attempt = ++batch->attempts,
    .job = spec->id,
    .route = spec->route,
    .spec = spec->spec,
    .indexes = batch->indexes,
    .count = batch->count,
    .task_resources = spec->task_resources,
    .label = spec->label,
    .rack = spec->rack,
    .group = spec->group,
    .max_per_endpoint = spec->max_per_endpoint,
    .priority = spec->priority,
    .attempts = spec->attempts,
    .estimate = spec->estimate,
    .soft_deadline = batch->job->soft_deadline,
    .hard_deadline = batch->job->hard_deadline,
    .caller_deadline = spec->caller_deadline,
    .declinable = batch->declinable && !resent,
    .held = batch->held,
    /* Nothing of a held batch is started under an earlier owner either. */
    .resent = resent && !batch->held,
    .endpoint_digest = batch->endpoint_digest,
  };
  int status = coordinator->callbacks.submit (coordinator->callbacks.ctx,
                                              batch->pool->owner,
                                              &batch->pool->id, &message);

  if (status == SNIPE_OK)
    {
      batch->owner = batch->pool->owner;
      if (batch->held)
        batch->granted = false;
      if (resent && !batch->held)
        batch->resent = true;
      else
        batch->endpoint_digest = batch->pool->endpoint_digest;
      batch->token = batch->pool->token;
    }
  return status;
}

static void
report_route (const struct snipe_coordinator *coordinator,
              const struct batch *batch, const struct share *share,
              snipe_time now)
{
  snipe_time reported_at = share->pool->reported_at;
  struct snipe_coordinator_choice route
      = { .job = batch->job->spec.id,
          .number = batch->number,
          .pool = &share->pool->id,
          .count = share->count,
          .candidates = share->candidates,
          .free_slots = share->free_slots,
          .wait = share->wait,
          .view_age = reported_at == 0 ? -1 : now - reported_at,
          .queued = share->queued,
          .declinable = batch->declinable,
          .held = batch->held };

  if (coordinator->callbacks.routed != NULL)
    coordinator->callbacks.routed (coordinator->callbacks.ctx, &route);
}

/* Sends part of a job's tasks to a pool.
 * @param held nothing of it is started before the other parts have room */
static int
send_share (struct snipe_coordinator *coordinator, struct job *job,
            const struct share *share, const uint32_t *indexes, bool held,
            snipe_time now)
{
  struct batch *batch = g_new0 (struct batch, 1);
  int status;

  batch->number = ++coordinator->next_number;
  batch->job = job;
  batch->pool = share->pool;
  batch->sent_at = now;
  batch->held = held;
  batch->declinable = !share->queued && job->declines < DECLINES_MAX;
  /* Between hosts, only the first attempt of a batch is declinable. */
  batch->attempts = batch->declinable ? 0 : SNIPE_POOL_DECLINABLE_ATTEMPT;
  batch->count = share->count;
  batch->indexes = g_memdup2 (indexes, share->count * sizeof *indexes);
  g_hash_table_insert (coordinator->batches, &batch->number, batch);
  g_ptr_array_add (job->batches, batch);
  status = send_batch (coordinator, batch, false);
  if (status == SNIPE_OK)
    {
      report_route (coordinator, batch, share, now);
      snipe_coordinator_reserve_capacity (share->pool,
                                          &job->spec.task_resources,
                                          share->count, job->spec.estimate);
      return SNIPE_OK;
    }
  if (status == SNIPE_E_UNREACHABLE)
    share->pool->retry_at = now + RECONNECT_DELAY;
  remove_batch (coordinator, batch, now);
  return status;
}

/* Whether no pool can take tasks of the service, and one may soon: not if all
 * are in evacuated domains. */
static bool
awaits_pool (const struct snipe_coordinator *coordinator, const char *service,
             snipe_time now)
{
  const GPtrArray *pools = coordinator->views.pools;

  return !snipe_views_can_serve (pools, service, now)
         && !snipe_views_all_evacuated (pools, service);
}

/* Whether no task of the job was sent and no pool of its service can be
 * reached. */
static bool
can_wait (const struct snipe_coordinator *coordinator, const struct job *job,
          snipe_time now)
{
  return !job->ran && job->batches->len == 0
         && job->unfinished == job->spec.count
         && awaits_pool (coordinator, job->spec.service, now);
}

static bool
has_queued (const struct share *shares, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (shares[i].queued)
      return true;
  return false;
}

/* Distributes tasks of a job over the pools, except those whose owner cannot
 * be reached. If that fails, the job is answered and freed. */
static void
dispatch (struct snipe_coordinator *coordinator, struct job *job,
          const uint32_t *indexes, uint32_t count, snipe_time now)
{
  struct share *shares
      = g_new0 (struct share, coordinator->views.pools->len + 1);
  snipe_time wait = 0;
  uint32_t sent = 0;
  bool held;
  int status = SNIPE_OK;

  while (sent < count && status == SNIPE_OK)
    {
      const struct route_spread spread
          = { .enabled = coordinator->spread_load,
              .shared_order = coordinator->shared_order,
              .attempt = job->declines + job->reassignments };
      uint32_t share_count = snipe_coordinator_route (
          coordinator->views.pools, coordinator->domain, &job->spec,
          count - sent, job->soft_deadline, job->hard_deadline, &spread,
          shares, &wait, now);

      if (share_count > 1 && coordinator->whole_jobs
          && (has_queued (shares, share_count) || job->declines > 0)
          && snipe_coordinator_choose_whole (shares, coordinator->views.pools,
                                             &job->spec, count - sent,
                                             job->hard_deadline, now))
        share_count = 1;
      if (share_count == 0)
        status = SNIPE_E_OVERLOAD;
      held = coordinator->whole_jobs && snipe_job_is_held (job)
             && share_count + job->batches->len > 1;
      for (uint32_t i = 0; i < share_count && status == SNIPE_OK; i++)
        {
          status = send_share (coordinator, job, &shares[i], indexes + sent,
                               held, now);
          if (status == SNIPE_OK)
            sent += shares[i].count;
        }
      if (status == SNIPE_E_UNREACHABLE)
        status = SNIPE_OK;
    }
  g_free (shares);
  if (status == SNIPE_E_OVERLOAD && can_wait (coordinator, job, now))
    job->waits = true;
  else if (status != SNIPE_OK)
    close_job (coordinator, job, status, wait, now);
}

static void
dispatch_all (struct snipe_coordinator *coordinator, struct job *job,
              snipe_time now)
{
  uint32_t *indexes = g_new (uint32_t, job->spec.count);
  uint32_t count = job->spec.count;

  for (uint32_t i = 0; i < count; i++)
    indexes[i] = i;
  dispatch (coordinator, job, indexes, count, now);
  g_free (indexes);
}

bool
snipe_coordinator_can_serve (const struct snipe_coordinator *coordinator)
{
  return !awaits_pool (coordinator, NULL, INT64_MAX);
}

void
snipe_coordinator_submit (struct snipe_coordinator *coordinator,
                          const struct snipe_coordinator_job *spec,
                          snipe_time now)
{
  struct job *job = g_hash_table_lookup (coordinator->jobs, spec->id);
  double duration;

  if (job != NULL)
    {
      /* The caller submitted the job again while it runs, or while its batches
       * are being cancelled: the newer request gets the answer. */
      struct snipe_coordinator_answer value
          = { .outcome = SNIPE_COORDINATOR_UNKNOWN,
              .code = SNIPE_E_CANCELLED };

      coordinator->callbacks.answer (coordinator->callbacks.ctx, job->spec.ctx,
                                     &value);
      job->spec.ctx = spec->ctx;
      job->spec.caller_deadline = spec->caller_deadline;
      return;
    }
  if (spec->feasibility == SNIPE_FEASIBILITY_NONE)
    {
      struct snipe_coordinator_answer value
          = { .outcome = SNIPE_COORDINATOR_FAILED, .code = SNIPE_E_UNFIT };

      coordinator->callbacks.answer (coordinator->callbacks.ctx, spec->ctx,
                                     &value);
      return;
    }
  job = g_new0 (struct job, 1);
  job->spec = *spec;
  job->spec.id = g_strdup (spec->id);
  job->spec.route = g_strdup (spec->route);
  job->spec.service = g_strdup (spec->service);
  job->spec.label = g_strdup (spec->label);
  job->spec.rack = g_strdup (spec->rack);
  job->spec.spec = (struct snipe_str)SNIPE_STR_INIT;
  snipe_str_set (&job->spec.spec, spec->spec.data, spec->spec.len);
  job->arrived = now;
  job->unfinished = spec->count;
  job->batches = g_ptr_array_new ();
  job->unplaced = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  duration = (double)spec->estimate
             * snipe_coordinator_best_slowdown (coordinator->views.pools,
                                                spec->service);
  job->soft_deadline
      = now + (snipe_time)(duration * spec->slack_factor) + spec->slo;
  job->hard_deadline
      = MIN (now + HARD_DEADLINE_FACTOR * (job->soft_deadline - now),
             spec->caller_deadline);
  g_hash_table_insert (coordinator->jobs, (char *)job->spec.id, job);
  job->waits = spec->feasibility == SNIPE_FEASIBILITY_STALE
               || awaits_pool (coordinator, spec->service, now);
  if (!job->waits)
    dispatch_all (coordinator, job, now);
}

void
snipe_coordinator_abandon (struct snipe_coordinator *coordinator, void *ctx,
                           snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, coordinator->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct job *job = value;

      if (job->spec.ctx != ctx)
        continue;
      remove_job (coordinator, job, now);
      return;
    }
}

bool
snipe_coordinator_cancel (struct snipe_coordinator *coordinator,
                          const char *id, snipe_time now)
{
  struct job *job = g_hash_table_lookup (coordinator->jobs, id);

  if (job == NULL)
    return false;
  answer_job (coordinator, job, SNIPE_COORDINATOR_FAILED, SNIPE_E_CANCELLED, 0,
              now);
  return true;
}

bool
snipe_coordinator_has_job (const struct snipe_coordinator *coordinator,
                           const char *id)
{
  return g_hash_table_contains (coordinator->jobs, id);
}

uint32_t
snipe_coordinator_pending_count (const struct snipe_coordinator *coordinator,
                                 const char *route)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, coordinator->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct job *job = value;

      if (job->unfinished == job->spec.count
          && strcmp (job->spec.route, route) == 0)
        count++;
    }
  return count;
}

snipe_time
snipe_coordinator_cancelled_handled (
    const struct snipe_coordinator *coordinator, uint64_t owner)
{
  return snipe_cancellations_handled (coordinator->cancellations, owner);
}

bool
snipe_coordinator_has_batch_at (const struct snipe_coordinator *coordinator,
                                uint64_t owner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, coordinator->batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const struct batch *)value)->owner == owner)
      return true;
  return false;
}

uint32_t
snipe_coordinator_job_count (const struct snipe_coordinator *coordinator)
{
  return g_hash_table_size (coordinator->jobs);
}

void
snipe_coordinator_pool_split (struct snipe_coordinator *coordinator,
                              const struct snipe_pool_id *id, snipe_time now)
{
  snipe_views_pool_split (&coordinator->views, id, now);
}

static GPtrArray *
batches_in_pool (struct snipe_coordinator *coordinator,
                 const struct pool_view *pool)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, coordinator->batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct batch *)value)->pool == pool)
      g_ptr_array_add (found, value);
  return found;
}

/* Sends a batch to the present owner of its pool, which may have changed. */
static void
send_batch_again (struct snipe_coordinator *coordinator, struct batch *batch,
                  snipe_time now)
{
  uint64_t earlier = batch->owner;

  /* What has become of a cancelled batch is not found out elsewhere. */
  if (batch->job->closes_at > 0)
    {
      batch->job->ran = true;
      return;
    }
  if (send_batch (coordinator, batch, true) != SNIPE_OK)
    {
      batch->resend_at = now + BATCH_RESEND_DELAY;
      return;
    }
  batch->resend_at = 0;
  if (batch->owner == earlier)
    return;
  /* An owner from which the pool was taken may claim it again. */
  snipe_cancellations_remove (coordinator->cancellations, batch->owner,
                              batch->number);
  snipe_cancellations_add_moved (coordinator->cancellations, earlier,
                                 batch->number,
                                 batch->job->spec.caller_deadline, now);
}

static void
report_move (const struct snipe_coordinator *coordinator,
             const struct batch *batch)
{
  struct snipe_coordinator_move move = { .job = batch->job->spec.id,
                                         .number = batch->number,
                                         .pool = &batch->pool->id,
                                         .from = batch->owner,
                                         .from_token = batch->token,
                                         .to = batch->pool->owner,
                                         .to_token = batch->pool->token };

  if (coordinator->callbacks.moved != NULL)
    coordinator->callbacks.moved (coordinator->callbacks.ctx, &move);
}

/* The pool has a new owner, or its owner is back after it was lost. All
 * batches of the pool are sent again: tasks that may run there are continued,
 * and a result that was lost is sent again. The earlier owner may be cut off
 * from the new one only, and would go on with them. */
static void
change_owner (struct snipe_coordinator *coordinator, struct pool_view *pool,
              uint64_t owner, uint64_t token, snipe_time now)
{
  GPtrArray *batches;

  snipe_view_set_owner (pool, owner);
  pool->token = token;
  pool->lost_at = 0;
  memset (pool->waiting, 0, sizeof pool->waiting);
  batches = batches_in_pool (coordinator, pool);
  for (guint i = 0; i < batches->len; i++)
    {
      struct batch *batch = g_ptr_array_index (batches, i);

      report_move (coordinator, batch);
      send_batch_again (coordinator, batch, now);
    }
  g_ptr_array_free (batches, TRUE);
}

static void
update_owner (struct snipe_coordinator *coordinator, struct pool_view *pool,
              uint64_t owner, uint64_t token, snipe_time now)
{
  if (pool->owner == 0)
    snipe_views_pool_split (&coordinator->views, &pool->id, now);
  if (token > pool->token || (token == pool->token && pool->owner == 0))
    change_owner (coordinator, pool, owner, token, now);
}

void
snipe_coordinator_set_owner (struct snipe_coordinator *coordinator,
                             const struct snipe_pool_id *id, uint64_t owner,
                             uint64_t token, snipe_time now)
{
  struct pool_view *pool = snipe_views_find (&coordinator->views, id);

  if (pool != NULL)
    update_owner (coordinator, pool, owner, token, now);
}

void
snipe_coordinator_update_load (struct snipe_coordinator *coordinator,
                               const struct snipe_coordinator_load *load,
                               snipe_time now)
{
  struct pool_view *pool = snipe_views_find (&coordinator->views, load->pool);

  if (pool == NULL || load->token < pool->token)
    return;
  update_owner (coordinator, pool, load->owner, load->token, now);
  g_array_set_size (pool->free_cpu, 0);
  g_array_append_vals (pool->free_cpu, load->free_cpu, load->free_count);
  pool->total_cpu = load->total_cpu;
  pool->backlog = load->backlog;
  pool->slowdown = load->slowdown;
  pool->endpoint_digest = load->endpoint_digest;
  pool->reported_at = now;
}

void
snipe_coordinator_update_waiting (struct snipe_coordinator *coordinator,
                                  const struct snipe_pool_id *id,
                                  uint64_t owner, uint64_t token,
                                  const int64_t waiting[SNIPE_URGENCY_CLASSES])
{
  struct pool_view *pool = snipe_views_find (&coordinator->views, id);

  if (pool == NULL || pool->owner != owner || pool->token != token)
    return;
  for (uint32_t i = 0; i < SNIPE_URGENCY_CLASSES; i++)
    pool->waiting[i] = waiting[i];
}

void
snipe_coordinator_set_evacuated (struct snipe_coordinator *coordinator,
                                 const char *domain, bool evacuated)
{
  snipe_views_set_evacuated (&coordinator->views, domain, evacuated);
}

void
snipe_coordinator_owner_lost (struct snipe_coordinator *coordinator,
                              uint64_t owner, snipe_time now)
{
  snipe_views_owner_lost (&coordinator->views, owner, now);
}

/* Whether a result acknowledges a cancellation, unlike the result of a batch
 * whose job goes on for another host. */
static bool
is_acknowledgement (const struct snipe_pool_result *result)
{
  return result->code == SNIPE_E_CANCELLED && result->count == 0;
}

/* Keeps tasks that no pool can take until the other batches of the job have
 * ended: whether the job has run is known only then. */
static bool
keep_unplaced (struct snipe_coordinator *coordinator, struct job *job,
               const uint32_t *indexes, uint32_t count)
{
  if (job->batches->len == 0
      || !snipe_views_all_evacuated (coordinator->views.pools,
                                     job->spec.service))
    return false;
  g_array_append_vals (job->unplaced, indexes, count);
  return true;
}

void
snipe_coordinator_handle_result (struct snipe_coordinator *coordinator,
                                 uint64_t from,
                                 const struct snipe_pool_result *result,
                                 snipe_time now)
{
  struct batch *batch
      = g_hash_table_lookup (coordinator->batches, &result->number);
  struct job *job;
  uint32_t *not_run;
  uint32_t not_run_count = 0;
  bool failed = false;
  bool stopped = false;
  bool declined;
  /* A job is not answered with the end of a hold, or with what displaced it.
   */
  int code = result->code == SNIPE_E_HOLD_EXPIRED
                     || result->code == SNIPE_E_DISPLACED
                 ? SNIPE_E_OVERLOAD
                 : result->code;

  if (result->code == SNIPE_E_CANCELLED)
    snipe_cancellations_remove (coordinator->cancellations, from,
                                result->number);
  /* A cancellation from before the batch came back to this owner arrived after
   * it, or made the owner ignore it. */
  if (batch != NULL && is_acknowledgement (result) && batch->owner == from)
    {
      if (batch->job->closes_at == 0)
        batch->resend_at = now + BATCH_RESEND_DELAY;
      else
        batch->job->ran = true;
    }
  if (batch == NULL || result->count != batch->count
      || (result->code != SNIPE_OK
          && (batch->owner != from || batch->attempts != result->attempt)))
    return;
  job = batch->job;
  not_run = g_new (uint32_t, batch->count + job->unplaced->len);
  for (uint32_t i = 0; i < result->count; i++)
    switch (result->outcomes[i])
      {
      case SNIPE_TASK_DONE:
        job->unfinished--;
        break;
      case SNIPE_TASK_FAILED:
        failed = true;
        break;
      case SNIPE_TASK_NOT_RUN:
        not_run[not_run_count++] = batch->indexes[i];
        break;
      default:
        stopped = true;
        break;
      }
  /* A batch that was sent more than once may have run for an earlier copy. */
  if (not_run_count < batch->count || batch->resent)
    job->ran = true;
  declined = result->code == SNIPE_E_REFUSED && not_run_count == batch->count;
  for (guint i = 0; i < job->unplaced->len; i++)
    not_run[not_run_count++] = g_array_index (job->unplaced, uint32_t, i);
  g_array_set_size (job->unplaced, 0);
  if (declined)
    {
      job->declines++;
      /* The pool may have reported its load since, with the result. */
      if (!coordinator->spread_load
          || batch->pool->reported_at <= batch->sent_at)
        g_array_set_size (batch->pool->free_cpu, 0);
    }
  /* Only a pool that starts nothing at all refuses a batch that it may not
   * decline, or the rest of one that it has begun, unless it was cancelled. */
  if (result->code == SNIPE_E_REFUSED && job->closes_at == 0
      && (!declined || !batch->declinable))
    batch->pool->retry_at = now + REFUSED_DELAY;
  /* An earlier owner has completed the batch: the present one, which may have
   * learned nothing of that, would run it again. */
  if (batch->owner != from)
    {
      cancel_batch (coordinator, batch, now);
      snipe_cancellations_remove (coordinator->cancellations, from,
                                  batch->number);
    }
  batch->owner = 0;
  remove_batch (coordinator, batch, now);
  if (failed)
    answer_job (coordinator, job, SNIPE_COORDINATOR_FAILED, result->code, 0,
                now);
  else if (result->code == SNIPE_E_CANCELLED)
    /* The caller submitted the job again to another host, for which it
     * continues. */
    answer_job (coordinator, job, SNIPE_COORDINATOR_UNKNOWN, result->code, 0,
                now);
  else if (job->closes_at > 0)
    {
      if (job->ran || !may_have_started (job))
        abandon_job (coordinator, job, job->close_code, job->close_retry_after,
                     now);
    }
  else if (stopped || result->code == SNIPE_E_INVALID)
    close_job (coordinator, job, code, result->retry_after, now);
  else if (job->unfinished == 0)
    {
      if (coordinator->shared_order)
        snipe_retry_book_add_served (
            find_retry_book (coordinator, job->spec.service), job_work (job),
            now);
      answer_job (coordinator, job, SNIPE_COORDINATOR_COMPLETE, SNIPE_OK, 0,
                  now);
    }
  else if (not_run_count > 0
           && !keep_unplaced (coordinator, job, not_run, not_run_count))
    {
      if (!declined && ++job->reassignments > REASSIGNMENTS_MAX)
        close_job (coordinator, job, code, result->retry_after, now);
      else
        dispatch (coordinator, job, not_run, not_run_count, now);
    }
  g_free (not_run);
}

/* @return the status with which the job has to be abandoned at @p now, or
 * SNIPE_OK. */
static int
job_failure (const struct snipe_coordinator *coordinator,
             const struct job *job, snipe_time now)
{
  if (now >= job->spec.caller_deadline)
    return SNIPE_E_DEADLINE;
  if (job->closes_at > 0)
    return job->ran || now >= job->closes_at ? job->close_code : SNIPE_OK;
  if (job->waits && job->spec.feasibility != SNIPE_FEASIBILITY_STALE
      && now >= MIN (job->hard_deadline - job->spec.estimate,
                     job->arrived + WAIT_TIME_MAX))
    return SNIPE_E_NOT_READY;
  for (guint i = 0; i < job->batches->len; i++)
    {
      const struct batch *batch = g_ptr_array_index (job->batches, i);

      if (batch->pool->owner == 0
          && now - batch->pool->lost_at > coordinator->takeover_timeout)
        return SNIPE_E_TASK_LOST;
    }
  return SNIPE_OK;
}

/* Distributes the waiting jobs of an array, and frees the array. */
static void
dispatch_waiting_jobs (struct snipe_coordinator *coordinator, GPtrArray *ready,
                       snipe_time now)
{
  for (guint i = 0; i < ready->len; i++)
    {
      struct job *job = g_ptr_array_index (ready, i);

      job->waits = false;
      dispatch_all (coordinator, job, now);
    }
  g_ptr_array_free (ready, TRUE);
}

void
snipe_coordinator_recheck_jobs (struct snipe_coordinator *coordinator,
                                enum snipe_job_feasibility (*feasibility) (
                                    void *ctx,
                                    const struct snipe_coordinator_job *job,
                                    snipe_time now),
                                void *ctx, snipe_time now)
{
  GPtrArray *ready = g_ptr_array_new ();
  GPtrArray *unfit = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, coordinator->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct job *job = value;

      if (job->spec.feasibility != SNIPE_FEASIBILITY_STALE)
        continue;
      job->spec.feasibility = feasibility (ctx, &job->spec, now);
      if (job->spec.feasibility == SNIPE_FEASIBILITY_NONE)
        g_ptr_array_add (unfit, job);
      else if (job->spec.feasibility == SNIPE_FEASIBILITY_POSSIBLE
               && !awaits_pool (coordinator, job->spec.service, now))
        g_ptr_array_add (ready, job);
    }
  for (guint i = 0; i < unfit->len; i++)
    answer_job (coordinator, g_ptr_array_index (unfit, i),
                SNIPE_COORDINATOR_FAILED, SNIPE_E_UNFIT, 0, now);
  g_ptr_array_free (unfit, TRUE);
  dispatch_waiting_jobs (coordinator, ready, now);
}

/* Distributes the parts of held jobs whose pools have lost their owners. None
 * of their tasks has been started, so that other pools may have them. */
static void
dispatch_lost_parts (struct snipe_coordinator *coordinator, GPtrArray *jobs,
                     snipe_time now)
{
  for (guint i = 0; i < jobs->len; i++)
    {
      struct job *job = g_ptr_array_index (jobs, i);
      GArray *indexes = g_array_new (FALSE, FALSE, sizeof (uint32_t));

      for (guint k = job->batches->len; k > 0; k--)
        {
          struct batch *batch = g_ptr_array_index (job->batches, k - 1);

          if (!batch->held || batch->pool->owner != 0)
            continue;
          g_array_append_vals (indexes, batch->indexes, batch->count);
          cancel_batch (coordinator, batch, now);
          remove_batch (coordinator, batch, now);
        }
      dispatch (coordinator, job, (const uint32_t *)(void *)indexes->data,
                indexes->len, now);
      g_array_free (indexes, TRUE);
    }
  g_ptr_array_free (jobs, TRUE);
}

/* Distributes the tasks that were kept because all domains were evacuated. */
static void
dispatch_unplaced (struct snipe_coordinator *coordinator, GPtrArray *jobs,
                   snipe_time now)
{
  for (guint i = 0; i < jobs->len; i++)
    {
      struct job *job = g_ptr_array_index (jobs, i);
      GArray *unplaced = job->unplaced;

      job->unplaced = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      dispatch (coordinator, job, (const uint32_t *)(void *)unplaced->data,
                unplaced->len, now);
      g_array_free (unplaced, TRUE);
    }
  g_ptr_array_free (jobs, TRUE);
}

/* Sends the batches again that their owners do not have. */
static void
resend_batches (struct snipe_coordinator *coordinator, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, coordinator->batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct batch *batch = value;

      if (batch->resend_at != 0 && now >= batch->resend_at
          && batch->pool->owner != 0)
        send_batch_again (coordinator, batch, now);
    }
}

void
snipe_coordinator_tick (struct snipe_coordinator *coordinator, snipe_time now)
{
  GPtrArray *ended = g_ptr_array_new ();
  GPtrArray *placeable = g_ptr_array_new ();
  GPtrArray *ready = g_ptr_array_new ();
  GPtrArray *lost = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, coordinator->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct job *job = value;

      if (job->spec.feasibility == SNIPE_FEASIBILITY_STALE
          && now >= job->arrived + ENDPOINT_LIST_WAIT_MAX)
        job->spec.feasibility = SNIPE_FEASIBILITY_POSSIBLE;
      if (job_failure (coordinator, job, now) != SNIPE_OK)
        g_ptr_array_add (ended, job);
      else if (job->waits
               && job->spec.feasibility == SNIPE_FEASIBILITY_POSSIBLE
               && !awaits_pool (coordinator, job->spec.service, now))
        g_ptr_array_add (ready, job);
      else if (job->unplaced->len > 0 && job->closes_at == 0
               && !snipe_views_all_evacuated (coordinator->views.pools,
                                              job->spec.service))
        g_ptr_array_add (placeable, job);
      else if (job->closes_at == 0 && snipe_job_has_lost_part (job))
        g_ptr_array_add (lost, job);
    }
  dispatch_waiting_jobs (coordinator, ready, now);
  dispatch_lost_parts (coordinator, lost, now);
  dispatch_unplaced (coordinator, placeable, now);
  for (guint i = 0; i < ended->len; i++)
    {
      struct job *job = g_ptr_array_index (ended, i);

      abandon_job (coordinator, job, job_failure (coordinator, job, now),
                   job->close_retry_after, now);
    }
  g_ptr_array_free (ended, TRUE);
  resend_batches (coordinator, now);
  snipe_cancellations_send (coordinator->cancellations,
                            coordinator->incarnation, &coordinator->callbacks,
                            now);
}

void
snipe_coordinator_resend (struct snipe_coordinator *coordinator,
                          uint64_t owner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, coordinator->batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct batch *batch = value;

      if (batch->pool->owner != owner || batch->owner != owner
          || batch->job->closes_at > 0)
        continue;
      if (send_batch (coordinator, batch, true) != SNIPE_OK)
        batch->resend_at = DUE;
    }
  snipe_cancellations_expedite (coordinator->cancellations, owner);
}

void
snipe_coordinator_fail_all (struct snipe_coordinator *coordinator,
                            snipe_time now)
{
  GList *jobs = g_hash_table_get_values (coordinator->jobs);

  for (GList *at = jobs; at != NULL; at = at->next)
    abandon_job (coordinator, at->data, SNIPE_E_TASK_LOST, 0, now);
  g_list_free (jobs);
}
