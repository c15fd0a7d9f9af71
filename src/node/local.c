/* Messages of a host to itself, and the callbacks of the pools it owns. */
#include "node/private.h"

#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

/* Added to the caller deadline. A coordinator may ask for a result until then,
 * but its clock is not this host's, and its message takes time. A batch whose
 * result was dropped too early would be started again. */
#define RESULT_RETENTION_MARGIN (1 * SNIPE_S)
/* The time of sending is not too late but for the difference between the rates
 * of two clocks, and too early by the time that messages take. A batch that
 * was sent later, but is taken for an old copy, is acknowledged as cancelled,
 * and its coordinator sends it again. */
#define SENT_TIME_ERROR (50 * SNIPE_MS)

void
snipe_local_message_free (struct local_message *message)
{
  switch (message->kind)
    {
    case LOCAL_BATCH:
      g_free ((char *)message->u.batch.batch.job);
      g_free ((char *)message->u.batch.batch.route);
      g_free ((char *)message->u.batch.batch.label);
      g_free ((char *)message->u.batch.batch.rack);
      g_free ((void *)message->u.batch.batch.indexes);
      snipe_str_clear (&message->u.batch.batch.spec);
      break;
    case LOCAL_RESULT:
      g_free ((char *)message->u.result.job);
      g_free ((void *)message->u.result.outcomes);
      break;
    case LOCAL_CANCEL:
    case LOCAL_GRANT:
    case LOCAL_COMMIT:
    case LOCAL_ANSWER:
      break;
    }
  g_free (message);
}

static struct snipe_pool_result
copy_result (const struct snipe_pool_result *result)
{
  struct snipe_pool_result copy = *result;

  copy.job = g_strdup (result->job);
  copy.outcomes
      = g_memdup2 (result->outcomes, result->count * sizeof *result->outcomes);
  return copy;
}

void
snipe_retained_result_free (gpointer result)
{
  struct retained_result *retained = result;

  g_free ((char *)retained->result.job);
  g_free ((void *)retained->result.outcomes);
  g_free (retained);
}

void
snipe_node_expire_results (struct snipe_node *node, snipe_time now)
{
  for (guint i = node->retained_results->len; i > 0; i--)
    if (((struct retained_result *)g_ptr_array_index (node->retained_results,
                                                      i - 1))
            ->expires_at
        < now)
      g_ptr_array_remove_index_fast (node->retained_results, i - 1);
}

static void
retain_result (struct snipe_node *node, const struct snipe_pool_result *result,
               snipe_time now)
{
  struct retained_result *retained = g_new0 (struct retained_result, 1);

  retained->result = copy_result (result);
  retained->retained_at = now;
  retained->expires_at = result->caller_deadline + RESULT_RETENTION_MARGIN;
  g_ptr_array_add (node->retained_results, retained);
}

static struct retained_result *
find_retained_result (const struct snipe_node *node, uint64_t coordinator,
                      uint64_t number)
{
  for (guint i = 0; i < node->retained_results->len; i++)
    {
      struct retained_result *retained
          = g_ptr_array_index (node->retained_results, i);

      if (retained->result.coordinator == coordinator
          && retained->result.number == number)
        return retained;
    }
  return NULL;
}

struct owned_pool *
snipe_node_find_pool (struct snipe_node *node, const struct snipe_pool_id *id)
{
  for (guint i = 0; i < node->owned_pools->len; i++)
    {
      struct owned_pool *pool = g_ptr_array_index (node->owned_pools, i);

      if (snipe_pool_id_equal (&pool->id, id))
        return pool;
    }
  return NULL;
}

void
snipe_owned_pool_free (gpointer pool)
{
  struct owned_pool *owned = pool;

  snipe_pool_free (owned->pool);
  g_free (owned);
}

void
snipe_owned_pool_start (void *ctx,
                        const struct snipe_pool_start_request *request)
{
  struct owned_pool *owned = ctx;

  snipe_counter_add (
      request->again ? SNIPE_C_RESENT_STARTS : SNIPE_C_TASK_STARTS, 1);
  snipe_node_log (
      owned->node,
      "event=start task=%s run=%u endpoint=%s "
      "token=%" G_GUINT64_FORMAT " valid_until=%" G_GINT64_FORMAT
      " again=%d timeout_ms=%" G_GINT64_FORMAT
      " coordinator=%016" G_GINT64_MODIFIER "x batch=%" G_GUINT64_FORMAT
      " unconfirmed=%u list_ms=%" G_GINT64_FORMAT,
      request->task, request->run, request->endpoint->id, request->token,
      request->valid_until, (int)request->again, request->timeout / SNIPE_MS,
      request->coordinator, request->batch, request->unconfirmed_endpoints,
      (request->decided_at - owned->list.read_at) / SNIPE_MS);
  snipe_node_tell_coordinator (owned->node, request);
  owned->node->options.callbacks.start (owned->node->options.callbacks.ctx,
                                        request);
}

void
snipe_owned_pool_stop (void *ctx,
                       const struct snipe_pool_stop_request *request)
{
  struct owned_pool *owned = ctx;

  if (request->again)
    snipe_counter_add (SNIPE_C_RESENT_STOPS, 1);
  snipe_node_log (
      owned->node, "event=stop task=%s run=%u endpoint=%s again=%d",
      request->task, request->run, request->endpoint->id, (int)request->again);
  owned->node->options.callbacks.stop (owned->node->options.callbacks.ctx,
                                       request);
}

void
snipe_owned_pool_poll (void *ctx,
                       const struct snipe_pool_poll_request *request)
{
  struct owned_pool *owned = ctx;

  if (request->again)
    snipe_counter_add (SNIPE_C_RESENT_POLLS, 1);
  owned->node->options.callbacks.poll (owned->node->options.callbacks.ctx,
                                       request);
}

snipe_time
snipe_owned_pool_coordinator_heard (void *ctx, uint64_t coordinator,
                                    snipe_time now)
{
  const struct owned_pool *owned = ctx;
  const struct snipe_node *node = owned->node;

  if (coordinator == node->incarnation)
    return snipe_node_callers_handled (node, now);
  return snipe_members_heard_at (node->members, coordinator, now);
}

void
snipe_owned_pool_assumed_end (void *ctx,
                              const struct snipe_pool_assumed_end *end)
{
  static const char *const reasons[]
      = { [SNIPE_ASSUMED_LEASE] = "lease",
          [SNIPE_ASSUMED_MISSING] = "missing",
          [SNIPE_ASSUMED_RESTARTED] = "restarted" };
  struct owned_pool *owned = ctx;

  snipe_node_log (
      owned->node,
      "event=end_assumed task=%s run=%u endpoint=%s reason=%s "
      "extended_ms=%" G_GINT64_FORMAT " answered_ms=%" G_GINT64_FORMAT
      " starts=%u stop_confirmed=%d",
      end->task, end->run, end->endpoint, reasons[end->reason],
      end->since_extended / SNIPE_MS, end->since_received / SNIPE_MS,
      end->start_requests, (int)end->stop_confirmed);
}

void
snipe_owned_pool_lease (void *ctx, const struct snipe_pool_lease *lease)
{
  struct owned_pool *owned = ctx;

  snipe_node_log (owned->node,
                  "event=lease endpoint=%s task=%s lease_ms=%" G_GINT64_FORMAT
                  " bounded_by=%s run=%u claimed=%d due_ms=%" G_GINT64_FORMAT
                  " unclaimed=%u coordinator=%016" G_GINT64_MODIFIER
                  "x valid_until=%" G_GINT64_FORMAT,
                  lease->endpoint, lease->task == NULL ? "-" : lease->task,
                  MAX (lease->length, 0) / SNIPE_MS,
                  lease->bounded_by == NULL ? "-" : lease->bounded_by,
                  lease->bounding_run, (int)lease->claimed,
                  lease->bounded_by == NULL ? -1 : lease->until_due / SNIPE_MS,
                  lease->unclaimed, lease->coordinator, lease->valid_until);
}

void
snipe_owned_pool_found_run (void *ctx,
                            const struct snipe_pool_found_run *found)
{
  struct owned_pool *owned = ctx;

  snipe_node_log (owned->node,
                  "event=run_found task=%s run=%u endpoint=%s "
                  "answer_ms=%" G_GINT64_FORMAT " claimed=%d",
                  found->task, found->run, found->endpoint,
                  found->answer_age / SNIPE_MS, (int)found->claimed);
}

void
snipe_owned_pool_late_end (void *ctx, const struct snipe_pool_late_end *end)
{
  struct owned_pool *owned = ctx;

  snipe_node_log (owned->node,
                  "event=late_end task=%s run=%u endpoint=%s "
                  "answer_ms=%" G_GINT64_FORMAT " claimed=%d",
                  end->task, end->run, end->endpoint,
                  end->answer_age / SNIPE_MS, (int)end->claimed);
}

void
snipe_owned_pool_whole (void *ctx, const struct snipe_pool_whole_event *event)
{
  static const char *const decisions[] = { [SNIPE_WHOLE_WAITS] = "waits",
                                           [SNIPE_WHOLE_STARTED] = "started",
                                           [SNIPE_WHOLE_GIVEN_UP] = "given_up",
                                           [SNIPE_WHOLE_GRANTED] = "granted",
                                           [SNIPE_WHOLE_EXPIRED] = "expired" };
  static const enum snipe_counter counters[]
      = { [SNIPE_WHOLE_WAITS] = SNIPE_C_WHOLE_WAITED,
          [SNIPE_WHOLE_STARTED] = SNIPE_C_WHOLE_STARTED,
          [SNIPE_WHOLE_GIVEN_UP] = SNIPE_C_WHOLE_GIVEN_UP,
          [SNIPE_WHOLE_GRANTED] = SNIPE_C_HOLDS_GRANTED,
          [SNIPE_WHOLE_EXPIRED] = SNIPE_C_HOLDS_EXPIRED };
  struct owned_pool *owned = ctx;

  snipe_counter_add (counters[event->decision], 1);
  if (event->decision == SNIPE_WHOLE_STARTED && event->waited == 0)
    return;
  snipe_node_log (owned->node,
                  "event=whole_batch decision=%s job=%s "
                  "coordinator=%016" G_GINT64_MODIFIER
                  "x batch=%" G_GUINT64_FORMAT
                  " needed=%u free=%u waited_ms=%" G_GINT64_FORMAT
                  " start_ms=%" G_GINT64_FORMAT " end_ms=%" G_GINT64_FORMAT
                  " due_ms=%" G_GINT64_FORMAT,
                  decisions[event->decision], event->job, event->coordinator,
                  event->batch, event->needed, event->free_now,
                  event->waited / SNIPE_MS, event->until_start / SNIPE_MS,
                  event->until_end / SNIPE_MS, event->until_due / SNIPE_MS);
}

void
snipe_owned_pool_displaced (void *ctx,
                            const struct snipe_pool_displaced *event)
{
  const struct owned_pool *owned = ctx;

  snipe_counter_add (SNIPE_C_BATCHES_DISPLACED, 1);
  snipe_node_log (owned->node,
                  "event=displaced job=%s coordinator=%016" G_GINT64_MODIFIER
                  "x batch=%" G_GUINT64_FORMAT
                  " tasks=%u priority=%u waited_ms=%" G_GINT64_FORMAT
                  " by_job=%s by_priority=%u domain=%s shard=%u",
                  event->job, event->coordinator, event->batch, event->count,
                  event->priority, event->waited / SNIPE_MS, event->by_job,
                  event->by_priority, owned->id.domain, owned->id.shard);
}

void
snipe_node_batch_moved (void *ctx, const struct snipe_coordinator_move *move)
{
  const struct snipe_node *node = ctx;

  snipe_node_log (node,
                  "event=batch_moved job=%s batch=%" G_GUINT64_FORMAT
                  " domain=%s shard=%u from=%016" G_GINT64_MODIFIER
                  "x from_token=%" G_GUINT64_FORMAT
                  " from_live=%d to=%016" G_GINT64_MODIFIER
                  "x to_token=%" G_GUINT64_FORMAT,
                  move->job, move->number, move->pool->domain,
                  move->pool->shard, move->from, move->from_token,
                  (int)snipe_members_is_live (node->members, move->from),
                  move->to, move->to_token);
}

void
snipe_node_batch_routed (void *ctx,
                         const struct snipe_coordinator_choice *route)
{
  const struct snipe_node *node = ctx;

  if (!node->options.spread_load)
    return;
  snipe_node_log (node,
                  "event=pool_chosen job=%s batch=%" G_GUINT64_FORMAT
                  " domain=%s shard=%u tasks=%u of=%u free_slots=%u"
                  " wait_ms=%" G_GINT64_FORMAT " view_ms=%" G_GINT64_FORMAT
                  " queued=%d declinable=%d",
                  route->job, route->number, route->pool->domain,
                  route->pool->shard, route->count, route->candidates,
                  route->free_slots, route->wait / SNIPE_MS,
                  route->view_age < 0 ? -1 : route->view_age / SNIPE_MS,
                  (int)route->queued, (int)route->declinable);
}

void
snipe_node_job_rejected (void *ctx,
                         const struct snipe_coordinator_rejection *rejection)
{
  const struct snipe_node *node = ctx;

  snipe_counter_add (SNIPE_C_RETRIES_SPREAD, 1);
  snipe_node_log (
      node,
      "event=retry_spread job=%s service=%s code=%s seconds=%u"
      " horizon_s=%u total_cpu=%" G_GINT64_FORMAT " backlog=%" G_GINT64_FORMAT
      " returning=%" G_GINT64_FORMAT " served=%" G_GINT64_FORMAT,
      rejection->job, rejection->service, snipe_status_name (rejection->code),
      rejection->seconds, rejection->horizon, rejection->total_cpu,
      rejection->backlog, rejection->returning, rejection->served);
}

/* Queues a result for this host's own coordinator. */
static void
queue_result (struct snipe_node *node, const struct snipe_pool_result *result)
{
  struct local_message *message = g_new0 (struct local_message, 1);

  message->kind = LOCAL_RESULT;
  message->u.result = copy_result (result);
  g_queue_push_tail (&node->local_queue, message);
}

static uint32_t
count_not_run (const struct snipe_pool_result *result)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < result->count; i++)
    count += result->outcomes[i] == SNIPE_TASK_NOT_RUN;
  return count;
}

void
snipe_node_handle_result (struct snipe_node *node, uint64_t from,
                          const struct snipe_pool_result *result,
                          snipe_time now)
{
  uint32_t not_run = count_not_run (result);

  if (not_run > 0)
    snipe_node_log (
        node,
        "event=not_run batch=%" G_GUINT64_FORMAT
        " attempt=%u from=%016" G_GINT64_MODIFIER
        "x code=%s tasks=%u not_run=%u",
        result->number, result->attempt, from,
        result->code == SNIPE_OK ? "OK" : snipe_status_name (result->code),
        result->count, not_run);
  snipe_coordinator_handle_result (node->coordinator, from, result, now);
}

/* Counts and logs a batch that the pool has refused. */
static void
note_refused (struct owned_pool *owned, const struct snipe_pool_result *result)
{
  if (!snipe_pool_is_evacuated (owned->pool))
    {
      snipe_counter_add (SNIPE_C_BATCHES_DECLINED, 1);
      if (owned->node->options.spread_load)
        snipe_node_send_decline_load (owned->node, owned, result,
                                      snipe_clock_now ());
      return;
    }
  snipe_counter_add (SNIPE_C_BATCHES_HANDED_BACK, 1);
  snipe_node_log (owned->node,
                  "event=batch_handed_back job=%s batch=%" G_GUINT64_FORMAT
                  " domain=%s shard=%u tasks=%u not_run=%u",
                  result->job, result->number, owned->id.domain,
                  owned->id.shard, result->count, count_not_run (result));
}

void
snipe_owned_pool_result (void *ctx, const struct snipe_pool_result *result)
{
  struct owned_pool *owned = ctx;
  struct snipe_node *node = owned->node;

  snipe_node_log (node,
                  "event=batch_end job=%s batch=%" G_GUINT64_FORMAT
                  " code=%s domain=%s shard=%u",
                  result->job, result->number,
                  result->code == SNIPE_OK ? "OK"
                                           : snipe_status_name (result->code),
                  owned->id.domain, owned->id.shard);
  if (result->code == SNIPE_E_REFUSED)
    note_refused (owned, result);
  if (result->coordinator == node->incarnation)
    {
      queue_result (node, result);
      return;
    }
  /* A declined or displaced batch is not remembered: if its coordinator sends
   * it again, it is a new one. */
  if ((result->code == SNIPE_E_REFUSED || result->code == SNIPE_E_DISPLACED)
      && count_not_run (result) == result->count)
    {
      snipe_node_send_result (node, result);
      return;
    }
  retain_result (node, result, snipe_clock_now ());
  snipe_node_send_result (node, result);
}

void
snipe_node_answer (void *ctx, void *job_ctx,
                   const struct snipe_coordinator_answer *answer)
{
  struct snipe_node *node = ctx;
  struct local_message *message = g_new0 (struct local_message, 1);

  message->kind = LOCAL_ANSWER;
  message->u.answer.job_ctx = job_ctx;
  message->u.answer.value = *answer;
  g_queue_push_tail (&node->local_queue, message);
}

/* Tells the coordinator that no task of a batch was run and none will be. */
static void
report_not_run (struct snipe_node *node, struct snipe_pool_result *result)
{
  uint32_t *ends = g_new (uint32_t, result->count);

  for (uint32_t i = 0; i < result->count; i++)
    ends[i] = SNIPE_TASK_NOT_RUN;
  result->outcomes = ends;
  if (result->coordinator == node->incarnation)
    queue_result (node, result);
  else
    snipe_node_send_result (node, result);
  g_free (ends);
}

void
snipe_node_reject_batch (struct snipe_node *node,
                         const struct snipe_pool_batch *batch, int code)
{
  struct snipe_pool_result result = { .coordinator = batch->coordinator,
                                      .number = batch->number,
                                      .attempt = batch->attempt,
                                      .job = batch->job,
                                      .count = batch->count,
                                      .code = code };

  report_not_run (node, &result);
}

/* The coordinator of a cancelled batch may still have to tell its caller
 * whether the job has run. */
static void
report_unstarted (struct snipe_node *node, uint64_t coordinator,
                  uint64_t number,
                  const struct snipe_pool_unstarted *unstarted)
{
  struct snipe_pool_result result = { .coordinator = coordinator,
                                      .number = number,
                                      .attempt = unstarted->attempt,
                                      .job = "",
                                      .count = unstarted->count,
                                      .code = SNIPE_E_REFUSED };

  snipe_node_log (node,
                  "event=cancelled_unstarted batch=%" G_GUINT64_FORMAT
                  " coordinator=%016" G_GINT64_MODIFIER "x tasks=%u",
                  number, coordinator, unstarted->count);
  report_not_run (node, &result);
}

/* Sends a result again, because its coordinator seems not to have received it.
 * If the batch was resent, tasks that were not run here may have run under
 * another owner in between, so they are reported as stopped. */
static void
resend_result (struct snipe_node *node, const struct retained_result *retained,
               const struct snipe_pool_batch *batch)
{
  struct snipe_pool_result result = copy_result (&retained->result);
  uint32_t *ends = (uint32_t *)result.outcomes;

  result.attempt = batch->attempt;
  for (uint32_t i = 0; i < result.count; i++)
    if (ends[i] == SNIPE_TASK_NOT_RUN && batch->resent)
      ends[i] = SNIPE_TASK_STOPPED;
  snipe_node_send_result (node, &result);
  g_free ((char *)result.job);
  g_free (ends);
}

/* Whether a batch was cancelled here because it had moved to another owner,
 * and is back. The coordinator of an abandoned job sends its batch no more: a
 * copy of it that arrives was sent before the cancellation. */
static bool
is_back (const struct retained_result *retained,
         const struct snipe_pool_batch *batch)
{
  return retained->result.code == SNIPE_E_CANCELLED
         && retained->result.count == 0 && (batch->resent || batch->held)
         && batch->sent_at > retained->retained_at + SENT_TIME_ERROR;
}

void
snipe_node_accept_batch (struct snipe_node *node,
                         const struct snipe_pool_id *id,
                         const struct snipe_pool_batch *batch, snipe_time now)
{
  struct owned_pool *pool = snipe_node_find_pool (node, id);
  struct retained_result *retained
      = find_retained_result (node, batch->coordinator, batch->number);

  if (retained != NULL && is_back (retained, batch))
    {
      g_ptr_array_remove_fast (node->retained_results, retained);
      retained = NULL;
    }
  if (retained != NULL)
    {
      resend_result (node, retained, batch);
      return;
    }
  if (pool != NULL)
    {
      snipe_pool_submit (pool->pool, batch, now);
      return;
    }
  /* This host no longer owns the pool, which the coordinator did not know yet.
   * A resent batch may be running already: it is not rejected, but waits for
   * the next owner that the coordinator learns of. */
  snipe_node_log (
      node, "event=batch_misdirected job=%s domain=%s shard=%u resent=%d",
      batch->job, id->domain, id->shard, (int)batch->resent);
  if (!batch->resent)
    snipe_node_reject_batch (node, batch, SNIPE_E_UNREACHABLE);
}

void
snipe_node_cancel_batch (struct snipe_node *node, uint64_t coordinator,
                         uint64_t number, snipe_time now)
{
  struct snipe_pool_result result = { .coordinator = coordinator,
                                      .number = number,
                                      .job = "",
                                      .code = SNIPE_E_CANCELLED,
                                      .caller_deadline = now };
  bool found = false;

  for (guint i = 0; i < node->owned_pools->len; i++)
    {
      struct owned_pool *owned = g_ptr_array_index (node->owned_pools, i);
      struct snipe_pool_unstarted unstarted;

      found |= snipe_pool_has_batch (owned->pool, coordinator, number);
      unstarted = snipe_pool_cancel (owned->pool, coordinator, number, now);
      if (unstarted.count > 0)
        report_unstarted (node, coordinator, number, &unstarted);
    }
  snipe_node_log (node,
                  "event=batch_cancelled batch=%" G_GUINT64_FORMAT
                  " coordinator=%016" G_GINT64_MODIFIER "x found=%d",
                  number, coordinator, (int)found);
  if (coordinator == node->incarnation)
    return;
  /* A copy of the batch on an earlier connection may arrive after this
   * message, and must not be started. */
  if (find_retained_result (node, coordinator, number) == NULL)
    retain_result (node, &result, now);
  snipe_node_send_result (node, &result);
}

static void
deliver (struct snipe_node *node, struct local_message *message,
         snipe_time now)
{
  switch (message->kind)
    {
    case LOCAL_BATCH:
      snipe_node_accept_batch (node, &message->u.batch.pool,
                               &message->u.batch.batch, now);
      break;
    case LOCAL_CANCEL:
      snipe_node_cancel_batch (node, message->u.id.coordinator,
                               message->u.id.number, now);
      break;
    case LOCAL_GRANT:
      snipe_coordinator_handle_grant (node->coordinator, node->incarnation,
                                      message->u.id.number, now);
      break;
    case LOCAL_COMMIT:
      snipe_node_commit_batch (node, message->u.id.coordinator,
                               message->u.id.number, now);
      break;
    case LOCAL_RESULT:
      snipe_node_handle_result (node, node->incarnation, &message->u.result,
                                now);
      break;
    case LOCAL_ANSWER:
      node->options.callbacks.answer (node->options.callbacks.ctx,
                                      message->u.answer.job_ctx,
                                      &message->u.answer.value);
      break;
    }
}

void
snipe_node_process_local_queue (struct snipe_node *node, snipe_time now)
{
  struct local_message *message;

  while ((message = g_queue_pop_head (&node->local_queue)) != NULL)
    {
      deliver (node, message, now);
      snipe_local_message_free (message);
    }
}
