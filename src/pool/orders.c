/* Orders to the endpoints of a pool, and what their answers say. */
#include "pool/orders.h"

#include <string.h>

#include "pool/batch.h"
#include "snipe/status.h"

/* An endpoint that is well answers within a few ms; a second order for the
 * same run is harmless, so it goes out early. */
#define START_TIMEOUT (80 * SNIPE_MS)
#define START_ORDERS_MAX 3
#define STOP_TIMEOUT (80 * SNIPE_MS)

/* A short hold asks what runs; one that waits also keeps the lease. */
void
snipe_pool_send_hold (struct snipe_pool *pool,
                      struct snipe_pool_endpoint *endpoint, bool wait,
                      snipe_time now)
{
  struct snipe_pool_poll_request order = {
    .endpoint = &endpoint->entry,
    .token = pool->token,
    .last_seen_end = endpoint->last_seen,
    .wait = wait ? pool->lease_max / 2 - pool->lease_max / 20 : 0,
  };

  if (endpoint->hold_in_flight || endpoint->claim == CLAIM_FENCED)
    return;
  /* A silent endpoint is only asked: its lease has to end for certain. */
  if (endpoint->clock_at > 0
      && (wait || endpoint->heard >= endpoint->hold_sent))
    endpoint->extended = now;
  if (endpoint->extended == now)
    order.valid_until = snipe_pool_endpoint_clock (endpoint, now)
                        + pool->lease_max / SNIPE_MS;
  order.timeout = order.wait + HOLD_SLACK;
  endpoint->hold_in_flight = true;
  endpoint->hold_last_seen = endpoint->last_seen;
  endpoint->hold_sent = now;
  pool->port.poll (pool->port.ctx, &order);
}

void
snipe_pool_send_start (struct snipe_pool *pool, struct run *run,
                       snipe_time now)
{
  struct snipe_pool_endpoint *endpoint = run->endpoint;
  struct snipe_pool_start_request order = {
    .endpoint = &endpoint->entry,
    .token = pool->token,
    .run = run->number,
    .spec = run->batch->spec,
    .valid_until = snipe_pool_endpoint_clock (endpoint, now)
                   + pool->lease_max / 2 / SNIPE_MS,
    .timeout = START_TIMEOUT,
  };

  g_strlcpy (order.task, run->task, sizeof order.task);
  run->orders++;
  endpoint->extended = now;
  pool->port.start (pool->port.ctx, &order);
}

void
snipe_pool_send_stop (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  struct snipe_pool_stop_request order = { .endpoint = &run->endpoint->entry,
                                           .token = pool->token,
                                           .run = run->number,
                                           .timeout = STOP_TIMEOUT };

  g_strlcpy (order.task, run->task, sizeof order.task);
  run->stop_in_flight = true;
  run->stop_sent = now;
  pool->port.stop (pool->port.ctx, &order);
}

void
snipe_pool_run_stop (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  if (run->state == RUN_STOPPING)
    return;
  run->state = RUN_STOPPING;
  snipe_pool_send_stop (pool, run, now);
}

/* The run is neither at the endpoint nor will it be. */
static void
end_run (struct snipe_pool *pool, struct run *run, enum snipe_run_outcome end,
         snipe_time now)
{
  struct run copy = *run;

  snipe_pool_endpoint_ended (pool, run->endpoint, run, end, now);
  snipe_pool_run_remove (run);
  if (copy.batch != NULL)
    snipe_batch_run_ended (pool, &copy, end, now);
}

static void
void_run (struct run *run, bool old_number)
{
  if (run->batch != NULL)
    snipe_batch_run_void (run, old_number);
  snipe_pool_run_remove (run);
}

/* Everything that ran there is gone. */
void
snipe_pool_lapse_all (struct snipe_pool *pool,
                      struct snipe_pool_endpoint *endpoint, snipe_time now)
{
  while (endpoint->runs->len > 0)
    end_run (pool, g_ptr_array_index (endpoint->runs, 0),
             SNIPE_RUN_LEASE_EXPIRED, now);
}

/* The endpoint has restarted under its id. What ran in the life before is
 * gone, but a task that was ordered since may run in this one already: the
 * next hold tells which. */
static void
begin_life (struct snipe_pool_endpoint *endpoint, int64_t born_ms,
            snipe_time now)
{
  endpoint->entry.started_ms = born_ms;
  endpoint->last_seen = 0;
  endpoint->acknowledged = 0;
  endpoint->claim = CLAIM_ASKED;
  endpoint->claim_deadline = now;
}

void
snipe_pool_endpoint_set (struct snipe_pool *pool,
                         const struct snipe_endpoint_entry *entry,
                         snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, entry->id);
  int64_t born_ms;

  if (endpoint == NULL)
    {
      endpoint = snipe_pool_endpoint_new (entry, pool->lease_max, now);
      g_hash_table_insert (pool->endpoints, endpoint->entry.id, endpoint);
      snipe_pool_send_hold (pool, endpoint, false, now);
      return;
    }
  /* The list may be behind what the endpoint itself has said. */
  born_ms = MAX (entry->started_ms, endpoint->entry.started_ms);
  if (born_ms == endpoint->entry.started_ms && endpoint->entry.draining)
    {
      endpoint->entry = *entry;
      endpoint->entry.draining = true;
    }
  else if (born_ms == endpoint->entry.started_ms)
    endpoint->entry = *entry;
  else
    {
      endpoint->entry = *entry;
      begin_life (endpoint, born_ms, now);
      snipe_pool_send_hold (pool, endpoint, false, now);
    }
  endpoint->entry.started_ms = born_ms;
  endpoint->listed = true;
}

void
snipe_pool_endpoint_drain (struct snipe_pool *pool, const char *id,
                           int64_t born_ms)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, id);

  if (endpoint != NULL && endpoint->entry.started_ms <= born_ms)
    endpoint->entry.draining = true;
}

void
snipe_pool_endpoint_remove (struct snipe_pool *pool, const char *id,
                            snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, id);

  (void)now;
  /* An entry may be missing while its endpoint lives, so what runs there is
   * kept until it has ended. */
  if (endpoint != NULL)
    endpoint->listed = false;
}

static struct snipe_pool_endpoint *
heard (struct snipe_pool *pool, const char *id,
       const struct snipe_endpoint_report *report, snipe_time now)
{
  struct snipe_pool_endpoint *endpoint
      = g_hash_table_lookup (pool->endpoints, id);

  if (endpoint == NULL)
    return NULL;
  if (report != NULL)
    {
      endpoint->heard = now;
      if (report->draining)
        endpoint->entry.draining = true;
      if (report->clock_ms > 0)
        {
          endpoint->clock_base = report->clock_ms;
          endpoint->clock_at = now;
        }
    }
  return endpoint;
}

static void
fence (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint)
{
  endpoint->claim = CLAIM_FENCED;
  pool->fenced = true;
}

static void
start_unanswered (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  if (run->state == RUN_STOPPING || run->state == RUN_ACTIVE)
    return;
  run->state = RUN_UNSURE;
  if (run->orders < START_ORDERS_MAX && run->batch != NULL)
    {
      snipe_pool_send_start (pool, run, now);
      return;
    }
  snipe_pool_endpoint_failed (run->endpoint, now);
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
  struct snipe_pool_endpoint *endpoint = heard (pool, id, report, now);
  struct run *run
      = endpoint == NULL ? NULL : snipe_pool_run_find (endpoint, task, number);

  if (run == NULL)
    return;
  switch (answer)
    {
    case SNIPE_ANSWER_OK:
      if (run->state == RUN_ORDERED || run->state == RUN_UNSURE)
        {
          run->state = RUN_ACTIVE;
          run->confirmed = now;
        }
      snipe_pool_send_hold (pool, endpoint, true, now);
      return;
    case SNIPE_ANSWER_NONE:
      start_unanswered (pool, run, now);
      return;
    case SNIPE_ANSWER_FENCED:
      fence (pool, endpoint);
      break;
    case SNIPE_ANSWER_STALE_RUN:
    case SNIPE_ANSWER_EXPIRED:
      break;
    case SNIPE_ANSWER_UNREACHABLE:
    case SNIPE_ANSWER_NO_CAPACITY:
    case SNIPE_ANSWER_UNHEALTHY:
      snipe_pool_endpoint_failed (endpoint, now);
      endpoint->suspended_until
          = MAX (endpoint->suspended_until, now + START_TIMEOUT);
      break;
    case SNIPE_ANSWER_RESTARTED:
      endpoint->listed = false;
      snipe_pool_lapse_all (pool, endpoint, now);
      snipe_pool_place (pool, now);
      return;
    case SNIPE_ANSWER_INVALID:
      if (run->batch != NULL && run->orders == 1)
        {
          struct batch *batch = run->batch;

          void_run (run, false);
          snipe_batch_finish (pool, batch, SNIPE_E_INVALID, 0, now);
          return;
        }
      break;
    }
  /* An earlier order for the same run that got no answer may have been
   * carried out: then only its end, in a hold, says what became of it. */
  if (run->orders > 1 || run->state == RUN_ACTIVE)
    {
      snipe_pool_run_stop (pool, run, now);
      return;
    }
  if (run->state != RUN_STOPPING || answer == SNIPE_ANSWER_EXPIRED)
    void_run (run, answer == SNIPE_ANSWER_STALE_RUN);
  snipe_pool_place (pool, now);
}

void
snipe_pool_on_stop (struct snipe_pool *pool, const char *id, const char *task,
                    uint32_t number, enum snipe_endpoint_answer answer,
                    const struct snipe_endpoint_report *report, snipe_time now)
{
  struct snipe_pool_endpoint *endpoint = heard (pool, id, report, now);
  struct run *run
      = endpoint == NULL ? NULL : snipe_pool_run_find (endpoint, task, number);

  if (run == NULL)
    return;
  run->stop_in_flight = false;
  switch (answer)
    {
    case SNIPE_ANSWER_OK:
      run->stop_done = true;
      run->stop_sent = now;
      snipe_pool_send_hold (pool, endpoint, true, now);
      break;
    case SNIPE_ANSWER_FENCED:
      fence (pool, endpoint);
      break;
    case SNIPE_ANSWER_RESTARTED:
      endpoint->listed = false;
      snipe_pool_lapse_all (pool, endpoint, now);
      break;
    default:
      break; /* the tick sends it again */
    }
}

static bool
listed_as_running (const struct snipe_endpoint_report *report,
                   const struct run *run)
{
  for (uint32_t i = 0; i < report->running_count; i++)
    if (report->running[i].run == run->number
        && strcmp (report->running[i].task, run->task) == 0)
      return true;
  return false;
}

/* A run of an earlier owner, or one whose start was given up and carried out
 * all the same. Its size is not known, so it counts as the whole endpoint. */
static void
found_running (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
               const struct snipe_endpoint_run *found, snipe_time now)
{
  struct run *run = snipe_pool_run_add (endpoint, found->task, found->run,
                                        &endpoint->entry.capacity);

  run->state = RUN_ACTIVE;
  run->confirmed = now;
  run->found = now;
  for (guint i = 0; i < pool->batches->len; i++)
    if (snipe_batch_adopt_run (g_ptr_array_index (pool->batches, i), run))
      return;
}

static void
note_ends (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
           const struct snipe_endpoint_report *report, snipe_time now)
{
  for (uint32_t i = 0; i < report->ended_count; i++)
    {
      const struct snipe_endpoint_ended_run *end = &report->ended[i];
      struct run *run;

      if (end->sequence <= endpoint->last_seen)
        continue;
      endpoint->last_seen = end->sequence;
      run = snipe_pool_run_find (endpoint, end->task, end->run);
      if (run != NULL)
        end_run (pool, run, end->outcome, now);
      else if (end->outcome == SNIPE_RUN_DONE
               && endpoint->claim == CLAIM_ASKED)
        snipe_batch_note_done (pool, end->task, now);
    }
}

static void
note_running (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
              const struct snipe_endpoint_report *report, snipe_time now)
{
  for (uint32_t i = 0; i < report->running_count; i++)
    {
      const struct snipe_endpoint_run *found = &report->running[i];
      struct run *run
          = snipe_pool_run_find (endpoint, found->task, found->run);

      if (run == NULL)
        found_running (pool, endpoint, found, now);
      else if (run->state == RUN_ORDERED || run->state == RUN_UNSURE)
        {
          run->state = RUN_ACTIVE;
          run->confirmed = now;
        }
    }
}

/* A run that a hold sent after its confirmation neither lists as running nor
 * as ended has ended; an earlier owner noted its end. A hold sent before may
 * have been answered before the start was carried out. */
static void
note_missing (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
              const struct snipe_endpoint_report *report, snipe_time sent,
              snipe_time now)
{
  for (guint i = endpoint->runs->len; i > 0; i--)
    {
      struct run *run = g_ptr_array_index (endpoint->runs, i - 1);
      bool settled = run->state == RUN_STOPPING
                         ? run->stop_done && run->stop_sent < sent
                         : run->state == RUN_ACTIVE && run->confirmed < sent;

      if (settled && !listed_as_running (report, run))
        end_run (pool, run, SNIPE_RUN_LEASE_EXPIRED, now);
    }
}

static void
hold_answered (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
               const struct snipe_endpoint_report *report, snipe_time now)
{
  if (report->started_ms != 0 && endpoint->entry.started_ms != 0)
    {
      if (report->started_ms < endpoint->entry.started_ms)
        return; /* of the life before */
      if (report->started_ms > endpoint->entry.started_ms)
        begin_life (endpoint, report->started_ms, now);
    }
  endpoint->acknowledged
      = MAX (endpoint->acknowledged, endpoint->hold_last_seen);
  note_ends (pool, endpoint, report, now);
  note_running (pool, endpoint, report, now);
  note_missing (pool, endpoint, report, endpoint->hold_sent, now);
  endpoint->claim = CLAIM_HELD;
  if (endpoint->runs->len > 0)
    snipe_pool_send_hold (pool, endpoint, true, now);
}

void
snipe_pool_on_poll (struct snipe_pool *pool, const char *id,
                    enum snipe_endpoint_answer answer,
                    const struct snipe_endpoint_report *report, snipe_time now)
{
  struct snipe_pool_endpoint *endpoint = heard (pool, id, report, now);

  if (endpoint == NULL)
    return;
  endpoint->hold_in_flight = false;
  switch (answer)
    {
    case SNIPE_ANSWER_OK:
      if (report != NULL)
        hold_answered (pool, endpoint, report, now);
      break;
    case SNIPE_ANSWER_FENCED:
      fence (pool, endpoint);
      return;
    case SNIPE_ANSWER_RESTARTED:
      endpoint->listed = false;
      snipe_pool_lapse_all (pool, endpoint, now);
      break;
    default:
      /* Silent: no new work until it answers again; the tick asks. */
      endpoint->suspended_until
          = MAX (endpoint->suspended_until, now + HOLD_SLACK);
      break;
    }
  snipe_pool_place (pool, now);
}
