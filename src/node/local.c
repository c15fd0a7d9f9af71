/* What a host sends to itself, and the orders of the pools that it owns. */
#include "node/private.h"

#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

/* A home may ask for a result until it gives its job up; its clock is not this
 * host's, and the message takes its time. A batch whose result was forgotten
 * would be started again. */
#define RESULT_TIME (1 * SNIPE_S)

void
snipe_pending_free (struct pending *item)
{
  switch (item->kind)
    {
    case PENDING_BATCH:
      g_free ((char *)item->u.batch.order.job);
      g_free ((char *)item->u.batch.order.route);
      g_free ((char *)item->u.batch.order.label);
      g_free ((char *)item->u.batch.order.rack);
      g_free ((void *)item->u.batch.order.indexes);
      snipe_str_clear (&item->u.batch.order.spec);
      break;
    case PENDING_RESULT:
      g_free ((char *)item->u.result.job);
      g_free ((void *)item->u.result.outcomes);
      break;
    case PENDING_CANCEL:
    case PENDING_ANSWER:
      break;
    }
  g_free (item);
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
snipe_kept_result_free (gpointer kept)
{
  struct kept_result *result = kept;

  g_free ((char *)result->result.job);
  g_free ((void *)result->result.outcomes);
  g_free (result);
}

void
snipe_node_forget_results (struct snipe_node *node, snipe_time now)
{
  for (guint i = node->results->len; i > 0; i--)
    if (((struct kept_result *)g_ptr_array_index (node->results, i - 1))->until
        < now)
      g_ptr_array_remove_index_fast (node->results, i - 1);
}

static const struct kept_result *
find_result (const struct snipe_node *node, uint64_t home, uint64_t number)
{
  for (guint i = 0; i < node->results->len; i++)
    {
      const struct kept_result *kept = g_ptr_array_index (node->results, i);

      if (kept->result.coordinator == home && kept->result.number == number)
        return kept;
    }
  return NULL;
}

struct held_pool *
snipe_node_find_pool (struct snipe_node *node, const struct snipe_pool_id *id)
{
  for (guint i = 0; i < node->pools->len; i++)
    {
      struct held_pool *pool = g_ptr_array_index (node->pools, i);

      if (snipe_pool_id_equal (&pool->id, id))
        return pool;
    }
  return NULL;
}

void
snipe_held_pool_free (gpointer pool)
{
  struct held_pool *held = pool;

  snipe_pool_free (held->pool);
  g_free (held);
}

void
snipe_held_start (void *ctx, const struct snipe_pool_start_request *order)
{
  struct held_pool *held = ctx;

  snipe_counter_add (SNIPE_C_TASK_STARTS, 1);
  snipe_node_log (held->node,
                  "event=start task=%s run=%u endpoint=%s "
                  "token=%" G_GUINT64_FORMAT " valid_until=%" G_GINT64_FORMAT,
                  order->task, order->run, order->endpoint->id, order->token,
                  order->valid_until);
  held->node->options.callbacks.start (held->node->options.callbacks.ctx,
                                       order);
}

void
snipe_held_stop (void *ctx, const struct snipe_pool_stop_request *order)
{
  struct held_pool *held = ctx;

  snipe_node_log (held->node, "event=stop task=%s run=%u endpoint=%s",
                  order->task, order->run, order->endpoint->id);
  held->node->options.callbacks.stop (held->node->options.callbacks.ctx,
                                      order);
}

void
snipe_held_hold (void *ctx, const struct snipe_pool_poll_request *order)
{
  struct held_pool *held = ctx;

  held->node->options.callbacks.poll (held->node->options.callbacks.ctx,
                                      order);
}

/* Queues a result for this host's own job keeper. */
static void
queue_result (struct snipe_node *node, const struct snipe_pool_result *result)
{
  struct pending *item = g_new0 (struct pending, 1);

  item->kind = PENDING_RESULT;
  item->u.result = copy_result (result);
  g_queue_push_tail (&node->pending, item);
}

void
snipe_held_result (void *ctx, const struct snipe_pool_result *result)
{
  struct held_pool *held = ctx;
  struct snipe_node *node = held->node;
  struct kept_result *kept;

  snipe_node_log (node,
                  "event=batch_end job=%s batch=%" G_GUINT64_FORMAT
                  " code=%s domain=%s shard=%u",
                  result->job, result->number,
                  result->code == SNIPE_OK ? "OK"
                                           : snipe_status_name (result->code),
                  held->id.domain, held->id.shard);
  if (result->coordinator == node->incarnation)
    {
      queue_result (node, result);
      return;
    }
  kept = g_new0 (struct kept_result, 1);
  kept->result = copy_result (result);
  kept->until = result->caller_deadline + RESULT_TIME;
  g_ptr_array_add (node->results, kept);
  snipe_node_send_result (node, result);
}

void
snipe_node_answer (void *ctx, void *job_ctx,
                   const struct snipe_coordinator_answer *answer)
{
  struct snipe_node *node = ctx;
  struct pending *item = g_new0 (struct pending, 1);

  item->kind = PENDING_ANSWER;
  item->u.answer.job_ctx = job_ctx;
  item->u.answer.value = *answer;
  g_queue_push_tail (&node->pending, item);
}

void
snipe_node_refuse_batch (struct snipe_node *node,
                         const struct snipe_pool_batch *batch, int code)
{
  uint32_t *ends = g_new (uint32_t, batch->count);
  struct snipe_pool_result result = { .coordinator = batch->coordinator,
                                      .number = batch->number,
                                      .attempt = batch->attempt,
                                      .job = batch->job,
                                      .outcomes = ends,
                                      .count = batch->count,
                                      .code = code };

  for (uint32_t i = 0; i < batch->count; i++)
    ends[i] = SNIPE_TASK_NOT_RUN;
  if (batch->coordinator == node->incarnation)
    queue_result (node, &result);
  else
    snipe_node_send_result (node, &result);
  g_free (ends);
}

/* Sends a result again that its home seems to have missed. What was not run
 * here may have run under another owner in between. */
static void
send_kept (struct snipe_node *node, const struct kept_result *kept,
           const struct snipe_pool_batch *batch)
{
  struct snipe_pool_result result = copy_result (&kept->result);
  uint32_t *ends = (uint32_t *)result.outcomes;

  result.attempt = batch->attempt;
  for (uint32_t i = 0; i < result.count; i++)
    if (ends[i] == SNIPE_TASK_NOT_RUN && batch->resent)
      ends[i] = SNIPE_TASK_STOPPED;
  snipe_node_send_result (node, &result);
  g_free ((char *)result.job);
  g_free (ends);
}

void
snipe_node_take_batch (struct snipe_node *node, const struct snipe_pool_id *id,
                       const struct snipe_pool_batch *batch, snipe_time now)
{
  struct held_pool *pool = snipe_node_find_pool (node, id);
  const struct kept_result *kept
      = find_result (node, batch->coordinator, batch->number);

  if (kept != NULL)
    {
      send_kept (node, kept, batch);
      return;
    }
  if (pool != NULL)
    {
      snipe_pool_submit (pool->pool, batch, now);
      return;
    }
  /* Not the owner any more: the home has sent it before it knew. A batch that
   * may run already waits for the owner that the home learns of next. */
  snipe_node_log (
      node, "event=batch_misdirected job=%s domain=%s shard=%u resent=%d",
      batch->job, id->domain, id->shard, (int)batch->resent);
  if (!batch->resent)
    snipe_node_refuse_batch (node, batch, SNIPE_E_UNREACHABLE);
}

void
snipe_node_cancel_batch (struct snipe_node *node, uint64_t home,
                         uint64_t number, snipe_time now)
{
  for (guint i = 0; i < node->pools->len; i++)
    snipe_pool_cancel (
        ((struct held_pool *)g_ptr_array_index (node->pools, i))->pool, home,
        number, now);
}

static void
carry_out (struct snipe_node *node, struct pending *item, snipe_time now)
{
  switch (item->kind)
    {
    case PENDING_BATCH:
      snipe_node_take_batch (node, &item->u.batch.pool, &item->u.batch.order,
                             now);
      break;
    case PENDING_CANCEL:
      snipe_node_cancel_batch (node, item->u.cancel.home,
                               item->u.cancel.number, now);
      break;
    case PENDING_RESULT:
      snipe_coordinator_handle_result (node->home, node->incarnation,
                                       &item->u.result, now);
      break;
    case PENDING_ANSWER:
      node->options.callbacks.answer (node->options.callbacks.ctx,
                                      item->u.answer.job_ctx,
                                      &item->u.answer.value);
      break;
    }
}

void
snipe_node_drain_pending (struct snipe_node *node, snipe_time now)
{
  struct pending *item;

  while ((item = g_queue_pop_head (&node->pending)) != NULL)
    {
      carry_out (node, item, now);
      snipe_pending_free (item);
    }
}
