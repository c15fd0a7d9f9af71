/* Incarnations of endpoints: how a restart under the same id is recognized. */
#include "pool/incarnation.h"

#include "pool/batch.h"
#include "pool/requests.h"
#include "pool/suspect.h"

/* A clock that deviates further from an earlier reading is that of another
 * incarnation: more than the 2 % that an endpoint's clock may run slow, and
 * more than the rounding of its readings. */
#define CLOCK_TOLERANCE_DIVISOR 20
#define CLOCK_SLACK (20 * SNIPE_MS)

/* A start request that is under way to the previous incarnation is valid for
 * an unknown time by the clock of the new one. Once that one has confirmed a
 * stop request, it rejects the start. */
static void
stop_starts_under_way (struct snipe_pool *pool,
                       struct snipe_pool_endpoint *endpoint, snipe_time now)
{
  GArray *forgotten = endpoint->forgotten_starts;

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      struct run *run = g_ptr_array_index (endpoint->runs, i);

      if (!snipe_pool_run_start_under_way (run))
        continue;
      run->stop_confirmed = false;
      /* Any other may be the first run of the new incarnation. */
      if (run->state == RUN_ACTIVE)
        snipe_pool_run_stop (pool, run, now);
    }
  for (guint i = 0; i < forgotten->len; i++)
    {
      const struct forgotten_start *start
          = &g_array_index (forgotten, struct forgotten_start, i);

      if (now - start->sent < START_UNDER_WAY_MAX
          && snipe_pool_run_find (endpoint, start->task, start->run) == NULL)
        {
          struct run *run = snipe_pool_run_add (endpoint, start->task,
                                                start->run, &start->resources);

          run->start_requests = start->requests;
          run->start_sent = start->sent;
          /* Its task does not start elsewhere before it is stopped. */
          snipe_pool_adopt_run (pool, run);
          snipe_pool_run_stop (pool, run, now);
        }
    }
  g_array_set_size (forgotten, 0);
}

/* The endpoint restarted under the same id, or may have restarted if
 * @p started_ms is the known start time. Runs of the previous incarnation are
 * gone, but a task requested since the restart may already run in the new one:
 * the next poll request, which acknowledges no ends, reports which. */
static void
begin_incarnation (struct snipe_pool *pool,
                   struct snipe_pool_endpoint *endpoint, int64_t started_ms,
                   snipe_time now)
{
  if (started_ms != endpoint->entry.started_ms)
    {
      snipe_pool_incarnation_ended (pool, endpoint, now);
      endpoint->superseded_ms
          = MAX (endpoint->superseded_ms, endpoint->entry.started_ms);
      endpoint->known_since = now;
      /* What the earlier one did is not held against the new one. */
      endpoint->consecutive_failures = 0;
      endpoint->suspended_until = 0;
      endpoint->reserved_until = 0;
    }
  endpoint->restart_suspected = started_ms == endpoint->entry.started_ms;
  endpoint->entry.started_ms = started_ms;
  endpoint->entry_outdated
      = endpoint->listed_ms != 0 && endpoint->listed_ms != started_ms;
  endpoint->last_seen_end = 0;
  endpoint->acknowledged_end = 0;
  endpoint->poll_last_seen_end = 0;
  endpoint->claim = CLAIM_PENDING;
  endpoint->restarted_at = now;
  endpoint->clock_read_at = 0;
  endpoint->lease_extended = now;
  stop_starts_under_way (pool, endpoint, now);
}

void
snipe_pool_endpoint_set (struct snipe_pool *pool,
                         const struct snipe_endpoint_entry *entry,
                         snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, entry->id);
  int64_t known_ms;
  bool changed;
  bool drains;

  if (endpoint == NULL)
    {
      endpoint = snipe_pool_endpoint_new (entry, pool->lease_max, now);
      g_hash_table_insert (pool->endpoints, endpoint->entry.id, endpoint);
      snipe_pool_send_claim_polls (pool, now);
      return;
    }
  /* The store may answer with an older state than it did before, and lists
   * arrive by several ways: a capacity that has shrunk since must not come
   * back. */
  if (snipe_endpoint_entry_is_older (entry, &endpoint->entry))
    return;
  known_ms = endpoint->entry.started_ms;
  changed = entry->started_ms != endpoint->listed_ms;
  drains = endpoint->entry.draining && !endpoint->entry_outdated;
  endpoint->entry = *entry;
  endpoint->entry.started_ms = known_ms;
  endpoint->listed_ms = entry->started_ms;
  endpoint->listed = true;
  if (entry->started_ms == 0 || entry->started_ms == known_ms)
    {
      endpoint->entry_outdated = false;
      endpoint->entry.draining |= drains;
    }
  else if (entry->started_ms > MAX (known_ms, endpoint->superseded_ms))
    {
      begin_incarnation (pool, endpoint, entry->started_ms, now);
      snipe_pool_send_claim_polls (pool, now);
    }
  /* Either the list is older than what the endpoint itself has reported, or
   * the endpoint has restarted with an earlier start time. */
  else if (changed)
    {
      begin_incarnation (pool, endpoint, known_ms, now);
      snipe_pool_send_claim_polls (pool, now);
    }
}

void
snipe_pool_endpoint_drain (struct snipe_pool *pool, const char *id,
                           int64_t started_ms)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, id);

  if (endpoint == NULL)
    return;
  if (started_ms == endpoint->entry.started_ms
      || started_ms
             > MAX (endpoint->entry.started_ms, endpoint->superseded_ms))
    endpoint->entry.draining = true;
}

void
snipe_pool_endpoint_remove (struct snipe_pool *pool, const char *id,
                            snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, id);

  /* An entry may be missing although its endpoint is alive, so its runs are
   * kept until they have ended. */
  if (endpoint != NULL)
    snipe_pool_endpoint_unlist (endpoint, now);
}

/* Whether an answer is, or may be, from an earlier incarnation than the one
 * that is known. Start times may go back, as an endpoint's time of day may be
 * set back: a request that was sent after the known incarnation had started is
 * answered by that one or a later one. Answers to start and stop requests may
 * not name theirs: then the present one answers only what was sent after its
 * start became known. */
bool
snipe_pool_is_from_earlier_incarnation (
    const struct snipe_pool_endpoint *endpoint,
    const struct snipe_endpoint_report *report)
{
  int64_t known_ms = endpoint->entry.started_ms;

  if (report->started_ms == 0)
    return report->sent_at > 0 && report->sent_at < endpoint->restarted_at;
  if (endpoint->restart_suspected && report->sent_at > 0
      && report->sent_at < endpoint->restarted_at)
    return true;
  if (report->started_ms == known_ms)
    return false;
  if (report->sent_at == 0)
    return report->started_ms < known_ms;
  return report->sent_at < endpoint->known_since;
}

static void
record_round_trip (struct snipe_pool *pool,
                   struct snipe_pool_endpoint *endpoint, snipe_time time)
{
  snipe_time max = snipe_pool_request_timeout_max (pool);

  snipe_rtt_add (&endpoint->rtt, time, 2 * max);
  snipe_rtt_add (&pool->rtt, time,
                 2 * snipe_rtt_timeout (&pool->rtt, REQUEST_TIMEOUT_MIN, max));
}

/* Any answer of the new incarnation may be the first one: until a poll request
 * has told what runs there, nothing else is started. */
static void
record_incarnation (struct snipe_pool *pool,
                    struct snipe_pool_endpoint *endpoint,
                    const struct snipe_endpoint_report *report, snipe_time now)
{
  if (endpoint->entry.started_ms == 0 || report->started_ms == 0)
    return;
  if (report->started_ms == endpoint->entry.started_ms)
    {
      endpoint->restart_suspected = false;
      return;
    }
  /* The entry in the list may be that of the earlier incarnation. */
  if (report->started_ms != endpoint->listed_ms)
    endpoint->entry.draining = false;
  begin_incarnation (pool, endpoint, report->started_ms, now);
}

/* Whether the clock in an answer that does not name its incarnation is not the
 * one that was read before. Each was read at some time between its request and
 * its answer. */
static bool
clock_contradicts (const struct snipe_pool_endpoint *endpoint,
                   const struct snipe_endpoint_report *report, snipe_time now)
{
  snipe_time least = report->sent_at - endpoint->clock_read_at;
  snipe_time most = now - endpoint->clock_request_sent;
  double elapsed = ((double)report->clock_ms - (double)endpoint->clock_base_ms)
                   * (double)SNIPE_MS;

  if (report->started_ms != 0 || report->clock_ms <= 0 || report->sent_at <= 0
      || endpoint->clock_read_at == 0)
    return false;
  least -= ABS (least) / CLOCK_TOLERANCE_DIVISOR + CLOCK_SLACK;
  most += most / CLOCK_TOLERANCE_DIVISOR + CLOCK_SLACK;
  return elapsed < (double)least || elapsed > (double)most;
}

static void
record_clock (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
              const struct snipe_endpoint_report *report, snipe_time now)
{
  bool contradicts = clock_contradicts (endpoint, report, now);

  if (report->clock_ms <= 0)
    return;
  if (contradicts)
    {
      /* The answer to an earlier request may be the earlier incarnation's. */
      bool newer = report->sent_at >= endpoint->clock_read_at;

      if (newer)
        snipe_pool_incarnation_ended (pool, endpoint, now);
      begin_incarnation (pool, endpoint, endpoint->entry.started_ms, now);
      if (!newer)
        return;
    }
  endpoint->clock_base_ms = report->clock_ms;
  endpoint->clock_read_at = now;
  endpoint->clock_request_sent = report->sent_at > 0 ? report->sent_at : now;
}

struct snipe_pool_endpoint *
snipe_pool_record_answer (struct snipe_pool *pool, const char *id,
                          enum snipe_endpoint_answer answer,
                          const struct snipe_endpoint_report *report,
                          snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, id);

  if (endpoint == NULL)
    return NULL;
  if (report == NULL)
    {
      endpoint->overdue = true;
      if (answer == SNIPE_ANSWER_REFUSED && endpoint->refuses_since == 0)
        endpoint->refuses_since = now;
    }
  /* An answer of an earlier incarnation tells nothing of the present one,
   * whose clock starts anew. One that names an unknown incarnation with a
   * later start time may be of a later one. */
  else if (snipe_pool_is_from_earlier_incarnation (endpoint, report))
    {
      if (!endpoint->restart_suspected
          && report->started_ms
                 > MAX (endpoint->entry.started_ms, endpoint->superseded_ms))
        begin_incarnation (pool, endpoint, endpoint->entry.started_ms, now);
    }
  else
    {
      endpoint->last_received_at = now;
      endpoint->overdue = false;
      endpoint->refuses_since = 0;
      endpoint->unanswered_polls = 0;
      endpoint->unresponsive_until = 0;
      record_incarnation (pool, endpoint, report, now);
      if (report->sent_at > 0 && report->waited == 0)
        record_round_trip (pool, endpoint, now - report->sent_at);
      if (report->draining)
        endpoint->entry.draining = true;
      record_clock (pool, endpoint, report, now);
    }
  return endpoint;
}
