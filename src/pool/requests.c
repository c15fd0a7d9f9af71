/* Requests to the endpoints of a pool and handling of their answers. */
#include "pool/requests.h"

#include <string.h>

#include "pool/batch.h"
#include "snipe/status.h"

/* A healthy endpoint answers within a few ms, and a duplicate start request
 * for the same run is harmless, so the retry is sent early. */
#define START_TIMEOUT (80 * SNIPE_MS)
#define START_REQUESTS_MAX 3
#define STOP_TIMEOUT (80 * SNIPE_MS)

void
snipe_pool_send_poll (struct snipe_pool *pool,
                      struct snipe_pool_endpoint *endpoint, bool wait,
                      snipe_time now)
{
  struct snipe_pool_poll_request request = {
    .endpoint = &endpoint->entry,
    .token = pool->token,
    .last_seen_end = endpoint->last_seen_end,
    .wait = wait ? pool->lease_max / 2 - pool->lease_max / 20 : 0,
  };

  if (endpoint->poll_in_flight || endpoint->claim == CLAIM_FENCED)
    return;
  /* The lease of an unresponsive endpoint is not extended, so that it
   * certainly expires. */
  if (endpoint->clock_read_at > 0
      && (wait || endpoint->last_received_at >= endpoint->poll_sent))
    endpoint->lease_extended = now;
  if (endpoint->lease_extended == now)
    request.valid_until = snipe_pool_endpoint_clock (endpoint, now)
                          + pool->lease_max / SNIPE_MS;
  request.timeout = request.wait + POLL_TIMEOUT_MARGIN;
  endpoint->poll_in_flight = true;
  endpoint->poll_last_seen_end = endpoint->last_seen_end;
  endpoint->poll_sent = now;
  pool->callbacks.poll (pool->callbacks.ctx, &request);
}

void
snipe_pool_send_start (struct snipe_pool *pool, struct run *run,
                       snipe_time now)
{
  struct snipe_pool_endpoint *endpoint = run->endpoint;
  struct snipe_pool_start_request request = {
    .endpoint = &endpoint->entry,
    .token = pool->token,
    .run = run->number,
    .spec = run->batch->spec,
    .valid_until = snipe_pool_endpoint_clock (endpoint, now)
                   + pool->lease_max / 2 / SNIPE_MS,
    .timeout = START_TIMEOUT,
  };

  g_strlcpy (request.task, run->task, sizeof request.task);
  run->start_requests++;
  endpoint->lease_extended = now;
  pool->callbacks.start (pool->callbacks.ctx, &request);
}

void
snipe_pool_send_stop (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  struct snipe_pool_stop_request request = { .endpoint = &run->endpoint->entry,
                                             .token = pool->token,
                                             .run = run->number,
                                             .timeout = STOP_TIMEOUT };

  g_strlcpy (request.task, run->task, sizeof request.task);
  run->stop_in_flight = true;
  run->stop_sent = now;
  pool->callbacks.stop (pool->callbacks.ctx, &request);
}

void
snipe_pool_run_stop (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  if (run->state == RUN_STOPPING)
    return;
  run->state = RUN_STOPPING;
  snipe_pool_send_stop (pool, run, now);
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
discard_run (struct run *run, bool stale_number)
{
  if (run->batch != NULL)
    snipe_batch_detach_run (run, stale_number);
  snipe_pool_run_remove (run);
}

void
snipe_pool_end_all_runs (struct snipe_pool *pool,
                         struct snipe_pool_endpoint *endpoint, snipe_time now)
{
  while (endpoint->runs->len > 0)
    end_run (pool, g_ptr_array_index (endpoint->runs, 0),
             SNIPE_RUN_LEASE_EXPIRED, now);
}

/* The endpoint restarted under the same id. Runs of the previous incarnation
 * are gone, but a task requested since the restart may already run in the new
 * one: the next poll request reports which. */
static void
begin_incarnation (struct snipe_pool_endpoint *endpoint, int64_t started_ms,
                   snipe_time now)
{
  endpoint->entry.started_ms = started_ms;
  endpoint->last_seen_end = 0;
  endpoint->acknowledged_end = 0;
  endpoint->claim = CLAIM_PENDING;
  endpoint->claim_deadline = now;
}

void
snipe_pool_endpoint_set (struct snipe_pool *pool,
                         const struct snipe_endpoint_entry *entry,
                         snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, entry->id);
  int64_t started_ms;

  if (endpoint == NULL)
    {
      endpoint = snipe_pool_endpoint_new (entry, pool->lease_max, now);
      g_hash_table_insert (pool->endpoints, endpoint->entry.id, endpoint);
      snipe_pool_send_poll (pool, endpoint, false, now);
      return;
    }
  /* The list may be older than what the endpoint itself has reported. */
  started_ms = MAX (entry->started_ms, endpoint->entry.started_ms);
  if (started_ms == endpoint->entry.started_ms && endpoint->entry.draining)
    {
      endpoint->entry = *entry;
      endpoint->entry.draining = true;
    }
  else if (started_ms == endpoint->entry.started_ms)
    endpoint->entry = *entry;
  else
    {
      endpoint->entry = *entry;
      begin_incarnation (endpoint, started_ms, now);
      snipe_pool_send_poll (pool, endpoint, false, now);
    }
  endpoint->entry.started_ms = started_ms;
  endpoint->listed = true;
}

void
snipe_pool_endpoint_drain (struct snipe_pool *pool, const char *id,
                           int64_t started_ms)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, id);

  if (endpoint != NULL && endpoint->entry.started_ms <= started_ms)
    endpoint->entry.draining = true;
}

void
snipe_pool_endpoint_remove (struct snipe_pool *pool, const char *id,
                            snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, id);

  (void)now;
  /* An entry may be missing although its endpoint is alive, so its runs are
   * kept until they have ended. */
  if (endpoint != NULL)
    endpoint->listed = false;
}

static struct snipe_pool_endpoint *
record_answer (struct snipe_pool *pool, const char *id,
               const struct snipe_endpoint_report *report, snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, id);

  if (endpoint == NULL)
    return NULL;
  if (report != NULL)
    {
      endpoint->last_received_at = now;
      if (report->draining)
        endpoint->entry.draining = true;
      if (report->clock_ms > 0)
        {
          endpoint->clock_base_ms = report->clock_ms;
          endpoint->clock_read_at = now;
        }
    }
  return endpoint;
}

static void
mark_fenced (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint)
{
  endpoint->claim = CLAIM_FENCED;
  pool->fenced = true;
}

static void
handle_unanswered_start (struct snipe_pool *pool, struct run *run,
                         snipe_time now)
{
  if (run->state == RUN_STOPPING || run->state == RUN_ACTIVE)
    return;
  run->state = RUN_UNCONFIRMED;
  if (run->start_requests < START_REQUESTS_MAX && run->batch != NULL)
    {
      snipe_pool_send_start (pool, run, now);
      return;
    }
  snipe_pool_endpoint_record_failure (run->endpoint, now);
  run->endpoint->suspended_until
      = MAX (run->endpoint->suspended_until, now + 2 * START_TIMEOUT);
  snipe_pool_run_stop (pool, run, now);
}

void
snipe_pool_on_start (struct snipe_pool *pool, const char *id, const char *task,
                     uint32_t number, enum snipe_endpoint_answer answer,
                     const struct snipe_endpoint_report *report,
                     snipe_time now)
{
  struct snipe_pool_endpoint *endpoint = record_answer (pool, id, report, now);
  struct run *run
      = endpoint == NULL ? NULL : snipe_pool_run_find (endpoint, task, number);

  if (run == NULL)
    return;
  switch (answer)
    {
    case SNIPE_ANSWER_OK:
      if (run->state == RUN_STARTING || run->state == RUN_UNCONFIRMED)
        {
          run->state = RUN_ACTIVE;
          run->active_since = now;
        }
      snipe_pool_send_poll (pool, endpoint, true, now);
      return;
    case SNIPE_ANSWER_NONE:
      handle_unanswered_start (pool, run, now);
      return;
    case SNIPE_ANSWER_FENCED:
      mark_fenced (pool, endpoint);
      break;
    case SNIPE_ANSWER_STALE_RUN:
    case SNIPE_ANSWER_EXPIRED:
      break;
    case SNIPE_ANSWER_UNREACHABLE:
    case SNIPE_ANSWER_NO_CAPACITY:
    case SNIPE_ANSWER_UNHEALTHY:
      snipe_pool_endpoint_record_failure (endpoint, now);
      endpoint->suspended_until
          = MAX (endpoint->suspended_until, now + START_TIMEOUT);
      break;
    case SNIPE_ANSWER_RESTARTED:
      endpoint->listed = false;
      snipe_pool_end_all_runs (pool, endpoint, now);
      snipe_pool_place_tasks (pool, now);
      return;
    case SNIPE_ANSWER_INVALID:
      if (run->batch != NULL && run->start_requests == 1)
        {
          struct batch *batch = run->batch;

          discard_run (run, false);
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
  if (run->state != RUN_STOPPING || answer == SNIPE_ANSWER_EXPIRED)
    discard_run (run, answer == SNIPE_ANSWER_STALE_RUN);
  snipe_pool_place_tasks (pool, now);
}

void
snipe_pool_on_stop (struct snipe_pool *pool, const char *id, const char *task,
                    uint32_t number, enum snipe_endpoint_answer answer,
                    const struct snipe_endpoint_report *report, snipe_time now)
{
  struct snipe_pool_endpoint *endpoint = record_answer (pool, id, report, now);
  struct run *run
      = endpoint == NULL ? NULL : snipe_pool_run_find (endpoint, task, number);

  if (run == NULL)
    return;
  run->stop_in_flight = false;
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
      endpoint->listed = false;
      snipe_pool_end_all_runs (pool, endpoint, now);
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

/* Adds a run of a previous owner, or one that was started although its start
 * request was abandoned. Its resources are unknown, so it is counted as using
 * the whole endpoint. */
static void
add_found_run (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
               const struct snipe_endpoint_run *found, snipe_time now)
{
  struct run *run = snipe_pool_run_add (endpoint, found->task, found->run,
                                        &endpoint->entry.capacity);

  run->state = RUN_ACTIVE;
  run->active_since = now;
  run->orphaned_since = now;
  for (guint i = 0; i < pool->batches->len; i++)
    if (snipe_batch_adopt_run (g_ptr_array_index (pool->batches, i), run))
      return;
}

static void
process_ended_runs (struct snipe_pool *pool,
                    struct snipe_pool_endpoint *endpoint,
                    const struct snipe_endpoint_report *report, snipe_time now)
{
  for (uint32_t i = 0; i < report->ended_count; i++)
    {
      const struct snipe_endpoint_ended_run *ended = &report->ended[i];
      struct run *run;

      if (ended->sequence <= endpoint->last_seen_end)
        continue;
      endpoint->last_seen_end = ended->sequence;
      run = snipe_pool_run_find (endpoint, ended->task, ended->run);
      if (run != NULL)
        end_run (pool, run, ended->outcome, now);
      else if (ended->outcome == SNIPE_RUN_DONE
               && endpoint->claim == CLAIM_PENDING)
        snipe_batch_record_completed (pool, ended->task, now);
    }
}

static void
process_running_runs (struct snipe_pool *pool,
                      struct snipe_pool_endpoint *endpoint,
                      const struct snipe_endpoint_report *report,
                      snipe_time now)
{
  for (uint32_t i = 0; i < report->running_count; i++)
    {
      const struct snipe_endpoint_run *found = &report->running[i];
      struct run *run
          = snipe_pool_run_find (endpoint, found->task, found->run);

      if (run == NULL)
        add_found_run (pool, endpoint, found, now);
      else if (run->state == RUN_STARTING || run->state == RUN_UNCONFIRMED)
        {
          run->state = RUN_ACTIVE;
          run->active_since = now;
        }
    }
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

      if (settled && !reported_running (report, run))
        end_run (pool, run, SNIPE_RUN_LEASE_EXPIRED, now);
    }
}

static void
process_poll_answer (struct snipe_pool *pool,
                     struct snipe_pool_endpoint *endpoint,
                     const struct snipe_endpoint_report *report,
                     snipe_time now)
{
  if (report->started_ms != 0 && endpoint->entry.started_ms != 0)
    {
      if (report->started_ms < endpoint->entry.started_ms)
        return; /* from the previous incarnation */
      if (report->started_ms > endpoint->entry.started_ms)
        begin_incarnation (endpoint, report->started_ms, now);
    }
  endpoint->acknowledged_end
      = MAX (endpoint->acknowledged_end, endpoint->poll_last_seen_end);
  process_ended_runs (pool, endpoint, report, now);
  process_running_runs (pool, endpoint, report, now);
  end_missing_runs (pool, endpoint, report, endpoint->poll_sent, now);
  endpoint->claim = CLAIM_CONFIRMED;
  if (endpoint->runs->len > 0)
    snipe_pool_send_poll (pool, endpoint, true, now);
}

void
snipe_pool_on_poll (struct snipe_pool *pool, const char *id,
                    enum snipe_endpoint_answer answer,
                    const struct snipe_endpoint_report *report, snipe_time now)
{
  struct snipe_pool_endpoint *endpoint = record_answer (pool, id, report, now);

  if (endpoint == NULL)
    return;
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
      endpoint->listed = false;
      snipe_pool_end_all_runs (pool, endpoint, now);
      break;
    default:
      /* Unresponsive: no new tasks until it answers the poll requests that
       * snipe_pool_tick () sends. */
      endpoint->suspended_until
          = MAX (endpoint->suspended_until, now + POLL_TIMEOUT_MARGIN);
      break;
    }
  snipe_pool_place_tasks (pool, now);
}
