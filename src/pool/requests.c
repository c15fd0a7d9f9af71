/* Requests to the endpoints of a pool and handling of their answers. */
#include "pool/requests.h"

#include <string.h>

#include "pool/batch.h"
#include "pool/incarnation.h"
#include "pool/leaving.h"
#include "pool/suspect.h"
#include "snipe/status.h"

#define START_REQUESTS_MAX 3
#define STOP_INTERVAL_MAX (1 * SNIPE_S)
#define POLL_INTERVAL_MAX (1 * SNIPE_S)
/* Endpoints of a claimed pool that are polled at the same time. A slow link
 * delays the answers to many requests beyond any reasonable timeout. */
#define CLAIM_POLLS_MAX 8
/* Resends that the budget gains per endpoint and second, so that silent
 * endpoints of an idle pool are still polled. */
#define RESENDS_PER_ENDPOINT_SECOND 2.0

static snipe_time
request_timeout (const struct snipe_pool *pool,
                 const struct snipe_pool_endpoint *endpoint, snipe_time min)
{
  snipe_time max = MAX (snipe_pool_request_timeout_max (pool), min);

  return MAX (snipe_rtt_timeout (&pool->rtt, min, max),
              snipe_rtt_timeout (&endpoint->rtt, min, max));
}

void
snipe_pool_refill_resends (struct snipe_pool *pool, snipe_time now)
{
  double seconds = (double)(now - pool->resends_refilled) / (double)SNIPE_S;

  pool->resends_refilled = now;
  snipe_retry_budget_add (&pool->resends,
                          seconds * RESENDS_PER_ENDPOINT_SECOND
                              * g_hash_table_size (pool->endpoints));
}

/* Differs between endpoints, so that requests to many of them that were lost
 * together are not resent together. */
static snipe_time
backoff (const struct snipe_pool_endpoint *endpoint, uint32_t resends,
         snipe_time base, snipe_time max)
{
  return snipe_retry_backoff (
      resends, base, max,
      (uint64_t)(g_str_hash (endpoint->entry.id) + resends) * 2654435761U);
}

/* @return until when the lease of an endpoint has to be extended; a time in
 * the past if no run needs it. */
static snipe_time
lease_needed_until (const struct snipe_pool *pool,
                    const struct snipe_pool_endpoint *endpoint, snipe_time now)
{
  return snipe_pool_endpoint_has_claimed_run (endpoint)
             ? now + snipe_pool_lease_bound (pool, endpoint, now)
             : 0;
}

/* Reports a decision on a lease that depends on more than claimed runs of live
 * coordinators. */
static void
report_lease (const struct snipe_pool *pool,
              const struct snipe_pool_endpoint *endpoint, snipe_time length,
              snipe_time now)
{
  struct snipe_pool_lease lease = { .endpoint = endpoint->entry.id,
                                    .length = length,
                                    .until_due = INT64_MAX };

  if (length > 0)
    lease.valid_until
        = snipe_pool_endpoint_clock (endpoint, now) + length / SNIPE_MS;

  if (pool->callbacks.lease == NULL)
    return;
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const struct run *run = g_ptr_array_index (endpoint->runs, i);
      snipe_time end_due = snipe_pool_run_end_due (pool, run, now);

      lease.unclaimed += run->batch == NULL;
      if (run->batch != NULL && run->state != RUN_STOPPING)
        lease.task = run->task;
      if (end_due == INT64_MAX || end_due - now >= lease.until_due)
        continue;
      lease.bounded_by = run->task;
      lease.bounding_run = run->number;
      lease.claimed = run->batch != NULL;
      lease.coordinator = run->batch == NULL ? 0 : run->batch->coordinator;
      lease.until_due = end_due - now;
    }
  if (lease.unclaimed > 0 || lease.until_due < pool->lease_max)
    pool->callbacks.lease (pool->callbacks.ctx, &lease);
}

/* @return for how long a poll request that extends the lease by @p lease waits
 * for the end of a run; with its margin, that is the same time whatever the
 * margin. */
static snipe_time
poll_wait (const struct snipe_pool *pool,
           const struct snipe_pool_endpoint *endpoint, snipe_time lease,
           snipe_time margin)
{
  /* The next poll has to extend the lease soon after a batch has claimed a
   * run or a task has been started. */
  if (!snipe_pool_endpoint_has_claimed_run (endpoint))
    return pool->lease_max / 10;
  return MAX (lease * 6 / 10 - margin, pool->lease_max / 10);
}

void
snipe_pool_send_poll (struct snipe_pool *pool,
                      struct snipe_pool_endpoint *endpoint, bool wait,
                      snipe_time now)
{
  snipe_time margin = request_timeout (pool, endpoint, POLL_TIMEOUT_MARGIN);
  snipe_time lease_until = lease_needed_until (pool, endpoint, now);
  bool silent = endpoint->overdue || endpoint->unanswered_polls > 0;
  struct snipe_pool_poll_request request = {
    .endpoint = &endpoint->entry,
    .token = pool->token,
    /* An endpoint that does not answer may have restarted: then its ends are
     * numbered anew. */
    .last_seen_end = silent ? 0 : endpoint->last_seen_end,
    .wait = wait ? poll_wait (pool, endpoint, lease_until - now, margin) : 0,
    .again = endpoint->unanswered_polls > 0,
    .decided_at = now,
  };

  if (endpoint->poll_in_flight || endpoint->claim == CLAIM_FENCED)
    return;
  if (request.again
      && (now < endpoint->poll_due
          || !snipe_retry_budget_take (&pool->resends)))
    return;
  if (!request.again)
    snipe_retry_budget_refill (&pool->resends);
  /* The lease of an unresponsive endpoint is not extended, so that it
   * certainly expires. */
  if (endpoint->clock_read_at > 0 && lease_until > now
      && (wait || endpoint->last_received_at >= endpoint->poll_sent))
    {
      report_lease (pool, endpoint, lease_until - now, now);
      snipe_pool_endpoint_extend_lease (endpoint, lease_until - now, margin,
                                        now);
      request.valid_until = snipe_pool_endpoint_clock (endpoint, now)
                            + (lease_until - now) / SNIPE_MS;
    }
  else if (endpoint->runs->len > 0)
    report_lease (pool, endpoint, 0, now);
  /* Any other may establish the connection to a slow endpoint, however long
   * that takes. */
  if (request.valid_until > 0 || request.last_seen_end > 0)
    request.send_within = margin;
  request.timeout = request.wait + margin;
  endpoint->poll_in_flight = true;
  endpoint->poll_last_seen_end = request.last_seen_end;
  endpoint->poll_sent = now;
  pool->callbacks.poll (pool->callbacks.ctx, &request);
}

void
snipe_pool_send_claim_polls (struct snipe_pool *pool, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t in_flight = 0;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      in_flight
          += endpoint->claim == CLAIM_PENDING && endpoint->poll_in_flight;
    }
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (in_flight < CLAIM_POLLS_MAX
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct snipe_pool_endpoint *endpoint = value;

      if (endpoint->claim != CLAIM_PENDING || !endpoint->listed
          || endpoint->poll_in_flight)
        continue;
      snipe_pool_send_poll (pool, endpoint, false, now);
      in_flight += endpoint->poll_in_flight;
    }
}

static uint32_t
count_unconfirmed (const struct snipe_pool *pool)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count
        += ((const struct snipe_pool_endpoint *)value)->claim == CLAIM_PENDING;
  return count;
}

void
snipe_pool_send_start (struct snipe_pool *pool, struct run *run,
                       snipe_time now)
{
  struct snipe_pool_endpoint *endpoint = run->endpoint;
  snipe_time timeout = request_timeout (pool, endpoint, REQUEST_TIMEOUT_MIN);
  snipe_time lease
      = snipe_pool_start_validity (pool, endpoint, run->batch, now);
  struct snipe_pool_start_request request = {
    .endpoint = &endpoint->entry,
    .token = pool->token,
    .run = run->number,
    .spec = run->batch->spec,
    .valid_until
    = snipe_pool_endpoint_clock (endpoint, now) + lease / SNIPE_MS,
    .again = run->start_requests > 0,
    .decided_at = now,
    .send_within = timeout,
    .timeout = timeout,
    .coordinator = run->batch->coordinator,
    .batch = run->batch->number,
    .unconfirmed_endpoints = count_unconfirmed (pool),
  };

  g_strlcpy (request.task, run->task, sizeof request.task);
  if (!request.again)
    snipe_retry_budget_refill (&pool->resends);
  run->start_requests++;
  run->start_overdue = false;
  report_lease (pool, endpoint, lease, now);
  snipe_pool_endpoint_extend_lease (endpoint, lease, request.send_within, now);
  pool->callbacks.start (pool->callbacks.ctx, &request);
}

void
snipe_pool_send_stop (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  /* It may be sent at any time: a late one ends no run that goes on. */
  struct snipe_pool_stop_request request
      = { .endpoint = &run->endpoint->entry,
          .token = pool->token,
          .run = run->number,
          .again = run->stop_requests > 0,
          .decided_at = now,
          .timeout
          = request_timeout (pool, run->endpoint, REQUEST_TIMEOUT_MIN) };

  g_strlcpy (request.task, run->task, sizeof request.task);
  if (!request.again)
    snipe_retry_budget_refill (&pool->resends);
  run->stop_requests++;
  run->stop_in_flight = true;
  run->stop_sent = now;
  pool->callbacks.stop (pool->callbacks.ctx, &request);
}

void
snipe_pool_resend_stop (struct snipe_pool *pool, struct run *run,
                        snipe_time now)
{
  snipe_time interval
      = backoff (run->endpoint, run->stop_requests,
                 request_timeout (pool, run->endpoint, REQUEST_TIMEOUT_MIN),
                 STOP_INTERVAL_MAX);

  if (run->stop_in_flight || run->stop_confirmed
      || now - run->stop_sent < interval
      || !snipe_retry_budget_take (&pool->resends))
    return;
  snipe_pool_send_stop (pool, run, now);
}

void
snipe_pool_run_stop (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  if (run->state == RUN_STOPPING)
    return;
  run->state = RUN_STOPPING;
  snipe_pool_send_stop (pool, run, now);
}

static void
report_assumed_end (const struct snipe_pool *pool, const struct run *run,
                    enum snipe_assumed_end_reason reason, snipe_time now)
{
  const struct snipe_pool_endpoint *endpoint = run->endpoint;
  struct snipe_pool_assumed_end end
      = { .task = run->task,
          .run = run->number,
          .endpoint = endpoint->entry.id,
          .reason = reason,
          .since_extended = now - endpoint->lease_extended,
          .since_received = now - endpoint->last_received_at,
          .start_requests = run->start_requests,
          .stop_confirmed = run->stop_confirmed };

  if (pool->callbacks.assumed_end != NULL)
    pool->callbacks.assumed_end (pool->callbacks.ctx, &end);
}

/* Records that a run is done that no batch has.
 * @param known whether the run was still counted as running */
static void
record_late_end (struct snipe_pool *pool,
                 const struct snipe_pool_endpoint *endpoint,
                 const struct snipe_endpoint_ended_run *ended, bool known,
                 snipe_time sent, snipe_time now)
{
  struct snipe_pool_late_end end
      = { .task = ended->task,
          .run = ended->run,
          .endpoint = endpoint->entry.id,
          .answer_age = now - sent,
          .claimed = snipe_batch_record_done (pool, ended->task, now) };

  /* A new owner also gets the ends that the previous one has processed. */
  if (pool->callbacks.late_end != NULL
      && (end.claimed || (!known && endpoint->claim == CLAIM_CONFIRMED)))
    pool->callbacks.late_end (pool->callbacks.ctx, &end);
}

/* Ends a run that is not at the endpoint and will not be started there. */
static void
end_run (struct snipe_pool *pool, struct run *run,
         enum snipe_run_outcome outcome, snipe_time now)
{
  struct run copy = *run;

  snipe_pool_endpoint_record_end (pool, run->endpoint, run, outcome, now);
  snipe_pool_run_remove (run);
  if (copy.batch != NULL)
    snipe_batch_record_end (pool, &copy, outcome, now);
}

static void
discard_run (struct snipe_pool *pool, struct run *run, bool stale_number,
             snipe_time now)
{
  snipe_pool_run_cleared (pool, run, now);
  if (run->batch != NULL)
    snipe_batch_detach_run (run, stale_number);
  snipe_pool_run_remove (run);
}

static void
assume_end (struct snipe_pool *pool, struct run *run,
            enum snipe_assumed_end_reason reason, snipe_time now)
{
  report_assumed_end (pool, run, reason, now);
  end_run (pool, run, SNIPE_RUN_LEASE_EXPIRED, now);
}

void
snipe_pool_end_all_runs (struct snipe_pool *pool,
                         struct snipe_pool_endpoint *endpoint,
                         enum snipe_assumed_end_reason reason, snipe_time now)
{
  snipe_pool_incarnation_ended (pool, endpoint, now);
  while (endpoint->runs->len > 0)
    assume_end (pool, g_ptr_array_index (endpoint->runs, 0), reason, now);
}

/* Whether a start request of before a restart may be under way. An unanswered
 * one on a new connection may have reached an incarnation that is not known
 * yet. */
static bool
start_outlives_restart (const struct run *run, snipe_time now)
{
  return run->stop_requests > 0 && !run->stop_confirmed
         && (run->start_sent <= run->endpoint->restarted_at
             || run->start_on_new_connection)
         && now - run->start_sent < START_UNDER_WAY_MAX
         && snipe_pool_run_start_under_way (run);
}

void
snipe_pool_end_expired_runs (struct snipe_pool *pool,
                             struct snipe_pool_endpoint *endpoint,
                             snipe_time now)
{
  snipe_time latest_start = 0;

  for (guint i = 0; i < endpoint->runs->len; i++)
    latest_start = MAX (
        latest_start,
        ((struct run *)g_ptr_array_index (endpoint->runs, i))->start_sent);
  for (guint i = endpoint->runs->len; i > 0; i--)
    {
      struct run *run = g_ptr_array_index (endpoint->runs, i - 1);

      /* Valid for an unknown time: the new incarnation's clock starts anew. */
      if (start_outlives_restart (run, now))
        continue;
      snipe_pool_run_lost (
          pool, run,
          snipe_pool_silent_loss (pool, endpoint,
                                  run->start_sent == latest_start),
          now);
      assume_end (pool, run, SNIPE_ASSUMED_LEASE, now);
    }
}

static void
mark_fenced (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint)
{
  endpoint->claim = CLAIM_FENCED;
  pool->fenced = true;
}

/* Whether most endpoints are silent: rather than all of them, this host or its
 * link has failed or is overloaded. */
static bool
most_endpoints_silent (const struct snipe_pool *pool)
{
  GHashTableIter iter;
  gpointer value;
  guint listed = 0;
  guint silent = 0;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      listed += endpoint->listed;
      silent += endpoint->listed && endpoint->overdue;
    }
  return silent > 1 && 2 * silent > listed;
}

void
snipe_pool_resend_start (struct snipe_pool *pool, struct run *run,
                         snipe_time now)
{
  struct snipe_pool_endpoint *endpoint = run->endpoint;

  if (!run->start_overdue || run->state != RUN_UNCONFIRMED)
    return;
  /* The new incarnation may have less capacity, or the present one may have
   * shrunk since. */
  if (pool->evacuated || run->start_sent <= endpoint->restarted_at
      || snipe_pool_endpoint_is_over (endpoint)
      || snipe_pool_start_is_too_late (pool, endpoint, now))
    {
      snipe_pool_run_stop (pool, run, now);
      return;
    }
  if (run->start_requests < START_REQUESTS_MAX && run->batch != NULL)
    {
      if (snipe_retry_budget_take (&pool->resends))
        snipe_pool_send_start (pool, run, now);
      return;
    }
  if (!most_endpoints_silent (pool))
    snipe_pool_endpoint_record_failure (endpoint, now);
  endpoint->unresponsive_until
      = MAX (endpoint->unresponsive_until,
             now + 2 * request_timeout (pool, endpoint, REQUEST_TIMEOUT_MIN));
  snipe_pool_run_stop (pool, run, now);
}

static void
handle_unanswered_start (struct snipe_pool *pool, struct run *run,
                         snipe_time now)
{
  if (run->state == RUN_STOPPING || run->state == RUN_ACTIVE)
    return;
  run->state = RUN_UNCONFIRMED;
  run->start_overdue = true;
  snipe_pool_resend_start (pool, run, now);
}

/* Whether an answer is to a request for an earlier run of the same number: a
 * job that is submitted again numbers its runs anew. */
static bool
is_for_earlier_run (const struct run *run,
                    const struct snipe_endpoint_report *report)
{
  return report != NULL && report->sent_at > 0
         && report->sent_at < run->start_sent;
}

void
snipe_pool_on_start (struct snipe_pool *pool, const char *id, const char *task,
                     uint32_t number, enum snipe_endpoint_answer answer,
                     const struct snipe_endpoint_report *report,
                     snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = snipe_pool_record_answer (pool, id, answer, report, now);
  struct run *run
      = endpoint == NULL ? NULL : snipe_pool_run_find (endpoint, task, number);

  if (run == NULL || is_for_earlier_run (run, report))
    return;
  if (answer != SNIPE_ANSWER_NONE && answer != SNIPE_ANSWER_NONE_CONNECTED)
    run->start_answers++;
  switch (answer)
    {
    case SNIPE_ANSWER_OK:
      if (run->state == RUN_STARTING || run->state == RUN_UNCONFIRMED)
        snipe_pool_run_begun (pool, run, now);
      /* A start that outlives a restart may have arrived just now. */
      if (run->start_sent <= endpoint->restarted_at)
        endpoint->lease_extended = now;
      if (report != NULL
          && snipe_pool_is_from_earlier_incarnation (endpoint, report)
          && snipe_pool_run_start_under_way (run))
        snipe_pool_run_stop (pool, run, now);
      snipe_pool_send_poll (pool, endpoint, endpoint->claim != CLAIM_PENDING,
                            now);
      return;
    case SNIPE_ANSWER_NONE_CONNECTED:
      run->start_on_new_connection = true;
      G_GNUC_FALLTHROUGH;
    case SNIPE_ANSWER_NONE:
      handle_unanswered_start (pool, run, now);
      return;
    case SNIPE_ANSWER_FENCED:
      mark_fenced (pool, endpoint);
      break;
    case SNIPE_ANSWER_STALE_RUN:
    case SNIPE_ANSWER_EXPIRED:
      break;
    case SNIPE_ANSWER_REFUSED:
    case SNIPE_ANSWER_UNREACHABLE:
      if (run->state == RUN_ACTIVE)
        return;
      if (snipe_pool_run_start_under_way (run))
        {
          handle_unanswered_start (pool, run, now);
          return;
        }
      if (!most_endpoints_silent (pool))
        snipe_pool_endpoint_record_failure (endpoint, now);
      endpoint->suspended_until
          = MAX (endpoint->suspended_until, now + REQUEST_TIMEOUT_MIN);
      break;
    case SNIPE_ANSWER_NO_CAPACITY:
    case SNIPE_ANSWER_UNHEALTHY:
      snipe_pool_endpoint_record_failure (endpoint, now);
      endpoint->suspended_until
          = MAX (endpoint->suspended_until, now + REQUEST_TIMEOUT_MIN);
      break;
    case SNIPE_ANSWER_RESTARTED:
      snipe_pool_endpoint_unlist (endpoint, now);
      snipe_pool_end_all_runs (pool, endpoint, SNIPE_ASSUMED_RESTARTED, now);
      snipe_pool_place_tasks (pool, now);
      return;
    case SNIPE_ANSWER_INVALID:
      if (run->batch != NULL && run->start_requests == 1)
        {
          struct batch *batch = run->batch;

          discard_run (pool, run, false, now);
          snipe_batch_finish (pool, batch, SNIPE_E_INVALID, 0, now);
          return;
        }
      break;
    }
  /* An earlier, unanswered start request for the same run may have been
   * carried out: then only the end of the run, reported by a poll request,
   * tells its outcome. */
  if (run->start_requests > 1 || run->state == RUN_ACTIVE)
    {
      snipe_pool_run_stop (pool, run, now);
      return;
    }
  if (run->state != RUN_STOPPING || answer == SNIPE_ANSWER_EXPIRED
      || answer == SNIPE_ANSWER_UNREACHABLE || answer == SNIPE_ANSWER_REFUSED)
    discard_run (pool, run, answer == SNIPE_ANSWER_STALE_RUN, now);
  snipe_pool_place_tasks (pool, now);
}

void
snipe_pool_on_stop (struct snipe_pool *pool, const char *id, const char *task,
                    uint32_t number, enum snipe_endpoint_answer answer,
                    const struct snipe_endpoint_report *report, snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = snipe_pool_record_answer (pool, id, answer, report, now);
  struct run *run
      = endpoint == NULL ? NULL : snipe_pool_run_find (endpoint, task, number);

  if (run == NULL || is_for_earlier_run (run, report))
    return;
  run->stop_in_flight = false;
  if (report != NULL
      && snipe_pool_is_from_earlier_incarnation (endpoint, report))
    return; /* snipe_pool_tick () sends it again */
  switch (answer)
    {
    case SNIPE_ANSWER_OK:
      run->stop_confirmed = true;
      run->stop_sent = now;
      snipe_pool_send_poll (pool, endpoint, true, now);
      break;
    case SNIPE_ANSWER_FENCED:
      mark_fenced (pool, endpoint);
      break;
    case SNIPE_ANSWER_RESTARTED:
      snipe_pool_endpoint_unlist (endpoint, now);
      snipe_pool_end_all_runs (pool, endpoint, SNIPE_ASSUMED_RESTARTED, now);
      break;
    default:
      break; /* snipe_pool_tick () sends it again */
    }
}

static bool
reported_running (const struct snipe_endpoint_report *report,
                  const struct run *run)
{
  for (uint32_t i = 0; i < report->running_count; i++)
    if (report->running[i].run == run->number
        && strcmp (report->running[i].task, run->task) == 0)
      return true;
  return false;
}

static void
report_found_run (const struct snipe_pool *pool,
                  const struct snipe_pool_endpoint *endpoint,
                  const struct snipe_endpoint_run *run, bool claimed,
                  snipe_time answer_age)
{
  struct snipe_pool_found_run found = { .task = run->task,
                                        .run = run->run,
                                        .endpoint = endpoint->entry.id,
                                        .answer_age = answer_age,
                                        .claimed = claimed };

  if (pool->callbacks.found_run != NULL)
    pool->callbacks.found_run (pool->callbacks.ctx, &found);
}

/* Adds a run of a previous owner, or one that was started although its start
 * request was abandoned. Its size is unknown until a batch claims it, so that
 * nothing fits beside it. */
static void
add_found_run (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
               const struct snipe_endpoint_run *found, snipe_time sent,
               snipe_time now)
{
  const struct snipe_capacity none = { .cpu = 0 };
  struct run *run
      = snipe_pool_run_add (endpoint, found->task, found->run, &none);
  bool claimed;

  run->size_unknown = true;
  endpoint->unknown_sizes++;
  if (snipe_crash_table_judge (pool->crashes, found->task)
      != SNIPE_SUSPICION_NONE)
    snipe_pool_run_isolate (run);
  if (snipe_pool_has_losses (pool, found->task))
    snipe_pool_announce_run (pool, run, now);
  snipe_pool_run_begun (pool, run, now);
  /* The run was alive after this time, so the previous owner extended its
   * lease less than lease_max before. */
  run->orphaned_since = sent;
  /* Its caller may have left long ago, and only the earlier owner knew. */
  run->end_due = now;
  claimed = snipe_pool_adopt_run (pool, run);
  report_found_run (pool, endpoint, found, claimed, now - sent);
  if (claimed)
    return;
  /* All runs of previous owners are known here, so this one was started late,
   * after its task was given up. */
  if (endpoint->claim == CLAIM_CONFIRMED)
    snipe_pool_run_stop (pool, run, now);
}

static void
process_ended_runs (struct snipe_pool *pool,
                    struct snipe_pool_endpoint *endpoint,
                    const struct snipe_endpoint_report *report,
                    snipe_time sent, snipe_time now)
{
  for (uint32_t i = 0; i < report->ended_count; i++)
    {
      const struct snipe_endpoint_ended_run *ended = &report->ended[i];
      bool is_late;
      struct run *run;

      if (ended->sequence <= endpoint->last_seen_end)
        continue;
      endpoint->last_seen_end = ended->sequence;
      run = snipe_pool_run_find (endpoint, ended->task, ended->run);
      is_late = ended->outcome == SNIPE_RUN_DONE
                && (run == NULL || run->batch == NULL);
      if (run != NULL)
        {
          snipe_pool_run_cleared (pool, run, now);
          end_run (pool, run, ended->outcome, now);
        }
      if (is_late)
        record_late_end (pool, endpoint, ended, run != NULL, sent, now);
    }
}

/* A run that only a held-up answer lists may have ended since, as its lease
 * may have expired: it is not added.
 * @return whether there is none */
static bool
process_running_runs (struct snipe_pool *pool,
                      struct snipe_pool_endpoint *endpoint,
                      const struct snipe_endpoint_report *report,
                      snipe_time sent, snipe_time now)
{
  bool outdated = now - sent > pool->lease_max;
  bool complete = true;

  for (uint32_t i = 0; i < report->running_count; i++)
    {
      const struct snipe_endpoint_run *found = &report->running[i];
      struct run *run
          = snipe_pool_run_find (endpoint, found->task, found->run);

      if (run == NULL && outdated)
        {
          report_found_run (pool, endpoint, found, false, now - sent);
          complete = false;
        }
      else if (run == NULL)
        add_found_run (pool, endpoint, found, sent, now);
      else if (run->state == RUN_STARTING || run->state == RUN_UNCONFIRMED)
        snipe_pool_run_begun (pool, run, now);
    }
  return complete;
}

/* A run has ended if a poll request that was sent after the run's confirmation
 * reports it neither as running nor as ended: a previous owner has processed
 * its end. A poll request sent before may have been answered before the start
 * was carried out. */
static void
end_missing_runs (struct snipe_pool *pool,
                  struct snipe_pool_endpoint *endpoint,
                  const struct snipe_endpoint_report *report, snipe_time sent,
                  snipe_time now)
{
  for (guint i = endpoint->runs->len; i > 0; i--)
    {
      struct run *run = g_ptr_array_index (endpoint->runs, i - 1);
      bool settled
          = run->state == RUN_STOPPING
                ? run->stop_confirmed && run->stop_sent < sent
                : run->state == RUN_ACTIVE && run->active_since < sent;

      if (!settled || reported_running (report, run))
        continue;
      assume_end (pool, run, SNIPE_ASSUMED_MISSING, now);
    }
}

static void
process_poll_answer (struct snipe_pool *pool,
                     struct snipe_pool_endpoint *endpoint,
                     const struct snipe_endpoint_report *report,
                     snipe_time now)
{
  /* A late answer is that of an earlier poll than the one sent last. */
  bool late = report->sent_at > 0 && report->sent_at < endpoint->poll_sent;
  snipe_time sent = late ? report->sent_at : endpoint->poll_sent;

  if (snipe_pool_is_from_earlier_incarnation (endpoint, report))
    return;
  if (!late)
    endpoint->acknowledged_end
        = MAX (endpoint->acknowledged_end, endpoint->poll_last_seen_end);
  process_ended_runs (pool, endpoint, report, sent, now);
  /* The answer to a later poll has told what runs since. */
  if (sent < endpoint->poll_processed)
    return;
  endpoint->poll_processed = sent;
  /* A task whose run is missing may have another one here. */
  end_missing_runs (pool, endpoint, report, sent, now);
  if (!process_running_runs (pool, endpoint, report, sent, now))
    {
      endpoint->claim = CLAIM_PENDING;
      snipe_pool_send_poll (pool, endpoint, false, now);
      return;
    }
  if (report->started_ms == endpoint->entry.started_ms)
    snipe_pool_endpoint_listed_runs (pool, endpoint, sent, now);
  /* Until this request arrived, a previous owner may have extended the lease.
   */
  if (endpoint->claim == CLAIM_PENDING)
    endpoint->lease_extended = now;
  endpoint->claim = CLAIM_CONFIRMED;
  if (endpoint->runs->len > 0)
    snipe_pool_send_poll (pool, endpoint, true, now);
}

void
snipe_pool_on_poll (struct snipe_pool *pool, const char *id,
                    enum snipe_endpoint_answer answer,
                    const struct snipe_endpoint_report *report, snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = snipe_pool_record_answer (pool, id, answer, report, now);

  if (endpoint == NULL)
    return;
  if (report == NULL || report->sent_at == 0
      || report->sent_at >= endpoint->poll_sent)
    endpoint->poll_in_flight = false;
  switch (answer)
    {
    case SNIPE_ANSWER_OK:
      if (report != NULL)
        process_poll_answer (pool, endpoint, report, now);
      break;
    case SNIPE_ANSWER_FENCED:
      mark_fenced (pool, endpoint);
      return;
    case SNIPE_ANSWER_RESTARTED:
      snipe_pool_endpoint_unlist (endpoint, now);
      snipe_pool_end_all_runs (pool, endpoint, SNIPE_ASSUMED_RESTARTED, now);
      break;
    default:
      /* Unresponsive: no new tasks until it answers the poll requests that
       * snipe_pool_tick () sends. */
      endpoint->unresponsive_until
          = MAX (endpoint->unresponsive_until, now + POLL_TIMEOUT_MARGIN);
      endpoint->poll_due = now;
      if (endpoint->unanswered_polls++ > 0)
        endpoint->poll_due += backoff (endpoint, endpoint->unanswered_polls,
                                       REQUEST_TIMEOUT_MIN, POLL_INTERVAL_MAX);
      /* If its connection broke, a new one tells whether it has crashed. */
      else
        snipe_pool_send_poll (pool, endpoint, false, now);
      break;
    }
  snipe_pool_send_claim_polls (pool, now);
  snipe_pool_place_tasks (pool, now);
}
