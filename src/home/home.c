#include "home/private.h"

#include <string.h>

#include "snipe/status.h"

/* Times that refused tasks of a job are handed to another pool. */
#define HANDOVERS_MAX 3
/* A job that ends after this many times its wanted duration is worthless to
 * its caller, by the users' rules. */
#define LATE_FACTOR 3
#define RETRY_AFTER_MIN (1 * SNIPE_S)
/* A job that comes before the owner of any pool is known waits for it, as long
 * as a restart of all hosts takes: they come back over half a second, and
 * claim 0.3 s later. An answer that comes late serves its caller better than a
 * refusal. */
#define HELD_MAX (800 * SNIPE_MS)
/* A connection that could not be made is tried again no sooner. */
#define UNREACHED_PAUSE (100 * SNIPE_MS)
/* The list of endpoints is read within a few milliseconds; without it the
 * pools decide. */
#define REVIEW_MAX (100 * SNIPE_MS)

struct job;

/** Tasks of a job in one pool. */
struct batch
{
  uint64_t number;
  struct job *job;
  struct pool_view *pool;
  uint64_t owner; /**< host that it was sent to last, 0: none yet */
  uint64_t token;
  uint32_t *indexes;
  uint32_t count;
  uint32_t attempts;  /**< how often it was sent */
  uint64_t endpoints; /**< digest of those of the owner that may run it */
};

struct job
{
  struct snipe_coordinator_job spec; /**< its texts are owned */
  snipe_time arrived;
  snipe_time due;
  snipe_time late;
  uint32_t open; /**< tasks that are not done */
  uint32_t handovers;
  bool started; /**< a task may have started */
  bool held;    /**< waits for a pool's owner or the list of endpoints */
  GPtrArray *batches;
};

struct snipe_coordinator
{
  uint64_t incarnation;
  char domain[SNIPE_NAME_BYTES];
  snipe_time takeover;
  struct snipe_coordinator_callbacks port;
  uint64_t next_number;
  GHashTable *jobs;    /**< id -> struct job */
  GHashTable *batches; /**< &number -> struct batch */
  GPtrArray *pools;
};

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
  g_free (job);
}

int
snipe_coordinator_new (struct snipe_coordinator **out,
                       const struct snipe_coordinator_options *options)
{
  struct snipe_coordinator *home;

  if (options->version != SNIPE_COORDINATOR_OPTIONS_VERSION)
    return snipe_status_set (SNIPE_E_INVALID,
                             "unknown version %u of home options",
                             options->version);
  home = g_new0 (struct snipe_coordinator, 1);
  home->incarnation = options->incarnation;
  g_strlcpy (home->domain, options->domain, sizeof home->domain);
  home->takeover = options->takeover_timeout;
  home->port = options->callbacks;
  home->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                      (GDestroyNotify)job_free);
  home->batches = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                         (GDestroyNotify)batch_free);
  home->pools = g_ptr_array_new_with_free_func (snipe_view_free);
  *out = home;
  return SNIPE_OK;
}

void
snipe_coordinator_free (struct snipe_coordinator *home)
{
  if (home == NULL)
    return;
  g_hash_table_destroy (home->batches);
  g_hash_table_destroy (home->jobs);
  g_ptr_array_free (home->pools, TRUE);
  g_free (home);
}

static void
drop_batch (struct snipe_coordinator *home, struct batch *batch)
{
  g_ptr_array_remove (batch->job->batches, batch);
  g_hash_table_remove (home->batches, &batch->number);
}

/* Removes the job; what of it may run is stopped. */
static void
drop_job (struct snipe_coordinator *home, struct job *job)
{
  while (job->batches->len > 0)
    {
      struct batch *batch = g_ptr_array_index (job->batches, 0);

      if (batch->owner != 0)
        home->port.cancel (home->port.ctx, batch->owner, batch->number);
      drop_batch (home, batch);
    }
  g_hash_table_remove (home->jobs, job->spec.id);
}

static void
answer (struct snipe_coordinator *home, struct job *job,
        enum snipe_coordinator_outcome outcome, int code,
        snipe_time retry_after)
{
  struct snipe_coordinator_answer value
      = { .outcome = outcome, .code = code, .retry_after = retry_after };

  home->port.answer (home->port.ctx, job->spec.ctx, &value);
  drop_job (home, job);
}

/* Gives the job up: "not run" only if no task of it can have started. */
static void
give_up (struct snipe_coordinator *home, struct job *job, int code,
         snipe_time retry_after)
{
  answer (home, job,
          job->started ? SNIPE_COORDINATOR_UNKNOWN : SNIPE_COORDINATOR_NOT_RUN,
          code, MAX (retry_after, RETRY_AFTER_MIN));
}

static int
send_batch (struct snipe_coordinator *home, struct batch *batch, bool resent)
{
  const struct snipe_coordinator_job *spec = &batch->job->spec;
  struct snipe_pool_batch order = {
    .coordinator = home->incarnation,
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
    .max_per_endpoint = spec->max_per_endpoint,
    .priority = spec->priority,
    .attempts = spec->attempts,
    .estimate = spec->estimate,
    .soft_deadline = batch->job->due,
    .hard_deadline = batch->job->late,
    .caller_deadline = spec->caller_deadline,
    .resent = resent,
    .endpoint_digest = batch->endpoints,
  };
  int status = home->port.submit (home->port.ctx, batch->pool->owner,
                                  &batch->pool->id, &order);

  if (status == SNIPE_OK)
    {
      batch->owner = batch->pool->owner;
      if (!resent)
        batch->endpoints = batch->pool->endpoints;
      batch->token = batch->pool->token;
    }
  return status;
}

/* Sends a share of a job's tasks to its pool. */
static int
send_share (struct snipe_coordinator *home, struct job *job,
            const struct share *share, const uint32_t *indexes, snipe_time now)
{
  struct batch *batch = g_new0 (struct batch, 1);
  int status;

  batch->number = ++home->next_number;
  batch->job = job;
  batch->pool = share->pool;
  batch->count = share->count;
  batch->indexes = g_memdup2 (indexes, share->count * sizeof *indexes);
  g_hash_table_insert (home->batches, &batch->number, batch);
  g_ptr_array_add (job->batches, batch);
  status = send_batch (home, batch, false);
  if (status == SNIPE_OK)
    {
      job->started = true;
      snipe_home_take_room (share->pool, &job->spec.task_resources,
                            share->count, job->spec.estimate);
      return SNIPE_OK;
    }
  if (status == SNIPE_E_UNREACHABLE)
    share->pool->retry = now + UNREACHED_PAUSE;
  drop_batch (home, batch);
  return status;
}

/* Whether all of the job waits for a pool that can be reached. */
static bool
can_hold (const struct snipe_coordinator *home, const struct job *job,
          snipe_time now)
{
  return !job->started && job->batches->len == 0
         && job->open == job->spec.count
         && !snipe_views_serve (home->pools, job->spec.service, now);
}

/* Distributes tasks of a job, which is given up and freed if that fails. Pools
 * whose owner cannot be reached are left out. */
static void
dispatch (struct snipe_coordinator *home, struct job *job,
          const uint32_t *indexes, uint32_t count, snipe_time now)
{
  struct share *shares = g_new0 (struct share, home->pools->len + 1);
  snipe_time wait = 0;
  uint32_t sent = 0;
  int status = SNIPE_OK;

  while (sent < count && status == SNIPE_OK)
    {
      uint32_t share_count = snipe_home_route (
          home->pools, home->domain, &job->spec, count - sent, job->due,
          job->late, shares, &wait, now);

      if (share_count == 0)
        status = SNIPE_E_OVERLOAD;
      for (uint32_t i = 0; i < share_count && status == SNIPE_OK; i++)
        {
          status = send_share (home, job, &shares[i], indexes + sent, now);
          if (status == SNIPE_OK)
            sent += shares[i].count;
        }
      if (status == SNIPE_E_UNREACHABLE)
        status = SNIPE_OK;
    }
  g_free (shares);
  if (status == SNIPE_E_OVERLOAD && can_hold (home, job, now))
    job->held = true;
  else if (status != SNIPE_OK)
    give_up (home, job, status, wait);
}

static void
dispatch_all (struct snipe_coordinator *home, struct job *job, snipe_time now)
{
  uint32_t *indexes = g_new (uint32_t, job->spec.count);
  uint32_t count = job->spec.count;

  for (uint32_t i = 0; i < count; i++)
    indexes[i] = i;
  dispatch (home, job, indexes, count, now);
  g_free (indexes);
}

bool
snipe_coordinator_can_serve (const struct snipe_coordinator *home)
{
  return snipe_views_serve (home->pools, NULL, INT64_MAX);
}

void
snipe_coordinator_submit (struct snipe_coordinator *home,
                          const struct snipe_coordinator_job *spec,
                          snipe_time now)
{
  struct job *job = g_hash_table_lookup (home->jobs, spec->id);
  double length;

  if (job != NULL)
    {
      /* Sent again while it runs: the newer request gets the answer. */
      struct snipe_coordinator_answer value
          = { .outcome = SNIPE_COORDINATOR_UNKNOWN,
              .code = SNIPE_E_CANCELLED };

      home->port.answer (home->port.ctx, job->spec.ctx, &value);
      job->spec.ctx = spec->ctx;
      job->spec.caller_deadline = spec->caller_deadline;
      return;
    }
  if (spec->feasibility == SNIPE_FEASIBILITY_NONE)
    {
      struct snipe_coordinator_answer value
          = { .outcome = SNIPE_COORDINATOR_FAILED, .code = SNIPE_E_UNFIT };

      home->port.answer (home->port.ctx, spec->ctx, &value);
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
  job->open = spec->count;
  job->batches = g_ptr_array_new ();
  length = (double)spec->estimate
           * snipe_home_best_slowness (home->pools, spec->service);
  job->due = now + (snipe_time)(length * spec->slack_factor) + spec->slo;
  job->late
      = MIN (now + LATE_FACTOR * (job->due - now), spec->caller_deadline);
  g_hash_table_insert (home->jobs, (char *)job->spec.id, job);
  job->held = spec->feasibility == SNIPE_FEASIBILITY_STALE
              || !snipe_views_serve (home->pools, spec->service, now);
  if (!job->held)
    dispatch_all (home, job, now);
}

void
snipe_coordinator_abandon (struct snipe_coordinator *home, void *ctx,
                           snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  (void)now;
  g_hash_table_iter_init (&iter, home->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct job *job = value;

      if (job->spec.ctx != ctx)
        continue;
      drop_job (home, job);
      return;
    }
}

bool
snipe_coordinator_cancel (struct snipe_coordinator *home, const char *id,
                          snipe_time now)
{
  struct job *job = g_hash_table_lookup (home->jobs, id);

  (void)now;
  if (job == NULL)
    return false;
  answer (home, job, SNIPE_COORDINATOR_FAILED, SNIPE_E_CANCELLED, 0);
  return true;
}

bool
snipe_coordinator_has_job (const struct snipe_coordinator *home,
                           const char *id)
{
  return g_hash_table_contains (home->jobs, id);
}

uint32_t
snipe_coordinator_pending_count (const struct snipe_coordinator *home,
                                 const char *route)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, home->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct job *job = value;

      if (job->open == job->spec.count && strcmp (job->spec.route, route) == 0)
        count++;
    }
  return count;
}

bool
snipe_coordinator_has_batch_at (const struct snipe_coordinator *home,
                                uint64_t owner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, home->batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const struct batch *)value)->owner == owner)
      return true;
  return false;
}

uint32_t
snipe_coordinator_job_count (const struct snipe_coordinator *home)
{
  return g_hash_table_size (home->jobs);
}

void
snipe_coordinator_pool_split (struct snipe_coordinator *home,
                              const struct snipe_pool_id *id, snipe_time now)
{
  snipe_views_divided (home->pools, id, now);
}

static GPtrArray *
batches_of (struct snipe_coordinator *home, const struct pool_view *pool)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, home->batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct batch *)value)->pool == pool)
      g_ptr_array_add (found, value);
  return found;
}

/* The pool has another owner, or its owner is back after it was lost: what may
 * run in it goes on there, and a result that was lost is sent again. */
static void
change_owner (struct snipe_coordinator *home, struct pool_view *pool,
              uint64_t owner, uint64_t token)
{
  GPtrArray *batches;

  pool->owner = owner;
  pool->token = token;
  pool->lost = 0;
  batches = batches_of (home, pool);
  for (guint i = 0; i < batches->len; i++)
    send_batch (home, g_ptr_array_index (batches, i), true);
  g_ptr_array_free (batches, TRUE);
}

static void
note_owner (struct snipe_coordinator *home, struct pool_view *pool,
            uint64_t owner, uint64_t token, snipe_time now)
{
  if (pool->owner == 0)
    snipe_views_divided (home->pools, &pool->id, now);
  if (token > pool->token || (token == pool->token && pool->owner == 0))
    change_owner (home, pool, owner, token);
}

void
snipe_coordinator_set_owner (struct snipe_coordinator *home,
                             const struct snipe_pool_id *id, uint64_t owner,
                             uint64_t token, snipe_time now)
{
  struct pool_view *pool = snipe_views_find (home->pools, id);

  if (pool != NULL)
    note_owner (home, pool, owner, token, now);
}

void
snipe_coordinator_update_load (struct snipe_coordinator *home,
                               const struct snipe_coordinator_load *load,
                               snipe_time now)
{
  struct pool_view *pool = snipe_views_find (home->pools, load->pool);

  if (pool == NULL || load->token < pool->token)
    return;
  note_owner (home, pool, load->owner, load->token, now);
  g_array_set_size (pool->free_cpu, 0);
  g_array_append_vals (pool->free_cpu, load->free_cpu, load->free_count);
  pool->total_cpu = load->total_cpu;
  pool->backlog = load->backlog;
  pool->slowness = load->slowdown;
  pool->endpoints = load->endpoint_digest;
}

void
snipe_coordinator_owner_lost (struct snipe_coordinator *home, uint64_t owner,
                              snipe_time now)
{
  snipe_views_owner_lost (home->pools, owner, now);
}

void
snipe_coordinator_handle_result (struct snipe_coordinator *home, uint64_t from,
                                 const struct snipe_pool_result *result,
                                 snipe_time now)
{
  struct batch *batch = g_hash_table_lookup (home->batches, &result->number);
  struct job *job;
  uint32_t *unrun;
  uint32_t unrun_count = 0;
  bool broken = false;
  bool stopped = false;

  if (batch == NULL || result->count != batch->count
      || (result->code != SNIPE_OK
          && (batch->owner != from || batch->attempts != result->attempt)))
    return;
  job = batch->job;
  unrun = g_new (uint32_t, batch->count);
  for (uint32_t i = 0; i < result->count; i++)
    switch (result->outcomes[i])
      {
      case SNIPE_TASK_DONE:
        job->open--;
        break;
      case SNIPE_TASK_FAILED:
        broken = true;
        break;
      case SNIPE_TASK_NOT_RUN:
        unrun[unrun_count++] = batch->indexes[i];
        break;
      default:
        stopped = true;
        break;
      }
  /* The job has not started if this was its only batch and none of it has. */
  if (job->batches->len == 1 && unrun_count == job->spec.count)
    job->started = false;
  batch->owner = 0;
  drop_batch (home, batch);
  if (broken)
    answer (home, job, SNIPE_COORDINATOR_FAILED, result->code, 0);
  else if (result->code == SNIPE_E_CANCELLED)
    /* Goes on for another host, to which the caller has sent it again. */
    answer (home, job, SNIPE_COORDINATOR_UNKNOWN, result->code, 0);
  else if (stopped || result->code == SNIPE_E_INVALID)
    give_up (home, job, result->code, result->retry_after);
  else if (job->open == 0)
    answer (home, job, SNIPE_COORDINATOR_COMPLETE, SNIPE_OK, 0);
  else if (unrun_count > 0)
    {
      if (++job->handovers > HANDOVERS_MAX)
        give_up (home, job, result->code, result->retry_after);
      else
        dispatch (home, job, unrun, unrun_count, now);
    }
  g_free (unrun);
}

/* @return a code if the job has to be given up at @p now. */
static int
check_job (const struct snipe_coordinator *home, const struct job *job,
           snipe_time now)
{
  if (now >= job->spec.caller_deadline)
    return SNIPE_E_DEADLINE;
  if (job->held && job->spec.feasibility != SNIPE_FEASIBILITY_STALE
      && now >= MIN (job->late - job->spec.estimate, job->arrived + HELD_MAX))
    return SNIPE_E_NOT_READY;
  for (guint i = 0; i < job->batches->len; i++)
    {
      const struct batch *batch = g_ptr_array_index (job->batches, i);

      if (batch->pool->owner == 0 && now - batch->pool->lost > home->takeover)
        return SNIPE_E_TASK_LOST;
    }
  return SNIPE_OK;
}

/* Distributes the held jobs of an array, and frees it. */
static void
release (struct snipe_coordinator *home, GPtrArray *ready, snipe_time now)
{
  for (guint i = 0; i < ready->len; i++)
    {
      struct job *job = g_ptr_array_index (ready, i);

      job->held = false;
      dispatch_all (home, job, now);
    }
  g_ptr_array_free (ready, TRUE);
}

void
snipe_coordinator_recheck_jobs (
    struct snipe_coordinator *home,
    enum snipe_job_feasibility (*fit) (void *ctx,
                                       const struct snipe_coordinator_job *job,
                                       snipe_time now),
    void *ctx, snipe_time now)
{
  GPtrArray *ready = g_ptr_array_new ();
  GPtrArray *unfit = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, home->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct job *job = value;

      if (job->spec.feasibility != SNIPE_FEASIBILITY_STALE)
        continue;
      job->spec.feasibility = fit (ctx, &job->spec, now);
      if (job->spec.feasibility == SNIPE_FEASIBILITY_NONE)
        g_ptr_array_add (unfit, job);
      else if (job->spec.feasibility == SNIPE_FEASIBILITY_POSSIBLE
               && snipe_views_serve (home->pools, job->spec.service, now))
        g_ptr_array_add (ready, job);
    }
  for (guint i = 0; i < unfit->len; i++)
    answer (home, g_ptr_array_index (unfit, i), SNIPE_COORDINATOR_FAILED,
            SNIPE_E_UNFIT, 0);
  g_ptr_array_free (unfit, TRUE);
  release (home, ready, now);
}

void
snipe_coordinator_tick (struct snipe_coordinator *home, snipe_time now)
{
  GPtrArray *ended = g_ptr_array_new ();
  GPtrArray *ready = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, home->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct job *job = value;

      if (job->spec.feasibility == SNIPE_FEASIBILITY_STALE
          && now >= job->arrived + REVIEW_MAX)
        job->spec.feasibility = SNIPE_FEASIBILITY_POSSIBLE;
      if (check_job (home, job, now) != SNIPE_OK)
        g_ptr_array_add (ended, job);
      else if (job->held && job->spec.feasibility == SNIPE_FEASIBILITY_POSSIBLE
               && snipe_views_serve (home->pools, job->spec.service, now))
        g_ptr_array_add (ready, job);
    }
  release (home, ready, now);
  for (guint i = 0; i < ended->len; i++)
    {
      struct job *job = g_ptr_array_index (ended, i);

      give_up (home, job, check_job (home, job, now), 0);
    }
  g_ptr_array_free (ended, TRUE);
}

void
snipe_coordinator_resend (struct snipe_coordinator *home, uint64_t owner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, home->batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct batch *batch = value;

      if (batch->pool->owner == owner && batch->owner == owner)
        send_batch (home, batch, true);
    }
}

void
snipe_coordinator_fail_all (struct snipe_coordinator *home, snipe_time now)
{
  GList *jobs = g_hash_table_get_values (home->jobs);

  (void)now;
  for (GList *at = jobs; at != NULL; at = at->next)
    answer (home, at->data, SNIPE_COORDINATOR_UNKNOWN, SNIPE_E_TASK_LOST, 0);
  g_list_free (jobs);
}
