/* Room for held batches.
 *
 * Load pattern: wide jobs under a load near the capacity, for which no single
 * pool has enough free places. Their parts go to several pools by views that
 * are some milliseconds old; if one pool has no room any more, what the others
 * have started is lost. */
#include "pool/hold.h"

#include "snipe/status.h"

bool
snipe_batch_goes_first (const struct batch *batch)
{
  return batch->started || batch->hold == HOLD_GRANTED
         || batch->hold == HOLD_COMMITTED;
}

bool
snipe_batch_is_held (const struct batch *batch)
{
  return batch->hold == HOLD_WAITS || batch->hold == HOLD_GRANTED;
}

void
snipe_hold_grant (struct snipe_pool *pool, struct batch *batch, snipe_time now)
{
  batch->hold = HOLD_GRANTED;
  batch->hold_until = now + SNIPE_POOL_HOLD_TIME;
  snipe_hold_repeat_grant (pool, batch);
}

void
snipe_hold_repeat_grant (const struct snipe_pool *pool,
                         const struct batch *batch)
{
  if (batch->hold == HOLD_GRANTED && pool->callbacks.granted != NULL)
    pool->callbacks.granted (pool->callbacks.ctx, batch->coordinator,
                             batch->number);
}

void
snipe_hold_keep_room (struct snipe_pool *pool, struct batch *batch,
                      snipe_time now)
{
  const struct snipe_capacity *size = &batch->task_resources;

  for (uint32_t i = 0; i < batch->waiting; i++)
    {
      struct snipe_pool_endpoint *endpoint
          = snipe_pool_choose_endpoint (pool, batch, false, now);

      if (endpoint == NULL)
        return;
      endpoint->held.cpu += size->cpu;
      endpoint->held.mem_mb += size->mem_mb;
      endpoint->held.gpu += size->gpu;
      if (endpoint->held_batch != batch)
        endpoint->held_tasks = 0;
      endpoint->held_batch = batch;
      endpoint->held_tasks++;
      batch->kept++;
      pool->holds_room = true;
    }
}

void
snipe_hold_release_room (struct snipe_pool *pool)
{
  GHashTableIter iter;
  gpointer value;

  if (!pool->holds_room)
    return;
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct snipe_pool_endpoint *endpoint = value;

      endpoint->held = (struct snipe_capacity){ 0 };
      endpoint->held_batch = NULL;
    }
  for (guint i = 0; i < pool->batches->len; i++)
    ((struct batch *)g_ptr_array_index (pool->batches, i))->kept = 0;
  pool->holds_room = false;
}

int
snipe_hold_status (const struct batch *batch, snipe_time now)
{
  return now < batch->hold_until ? SNIPE_OK : SNIPE_E_HOLD_EXPIRED;
}
