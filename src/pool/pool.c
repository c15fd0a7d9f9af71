/* The pool as a whole: what is started, refused and ended as time passes. */
#include "pool/batch.h"
#include "pool/orders.h"

#include <string.h>

#include "snipe/status.h"

/* Pause between two stop orders for a run. */
#define STOP_INTERVAL (60 * SNIPE_MS)
/* How long a run of an earlier owner waits for the host that keeps its job. */
#define ORPHAN_WAIT (500 * SNIPE_MS)
/* Time that a new list of endpoints takes after a claim, if the store is well;
 * a multiple of its answer time. */
#define DIRECTORY_WAIT (60 * SNIPE_MS)
/* A task that takes this many times its predicted duration and this much
 * longer stands still or is on an endpoint that turned slow. */
#define STRAGGLER_FACTOR 3
#define STRAGGLER_MIN (120 * SNIPE_MS)
/* Ends that nothing else has acknowledged by then are acknowledged by a hold
 * of their own, so that an endpoint which gets no more work does not keep
 * them. A host that takes over until then still learns of them. */
#define ACKNOWLEDGE_AFTER (2 * SNIPE_S)
/* Shortest and longest time after which a refused caller may come back. */
#define RETRY_AFTER_MIN (1 * SNIPE_S)
#define RETRY_AFTER_MAX (30 * SNIPE_S)

int
snipe_pool_new (struct snipe_pool **out,
                const struct snipe_pool_options *options, snipe_time now)
{
  struct snipe_pool *pool;

  if (options->version != SNIPE_POOL_OPTIONS_VERSION)
    return snipe_status_set (SNIPE_E_INVALID,
                             "unknown version %u of pool options",
                             options->version);
  pool = g_new0 (struct snipe_pool, 1);
  pool->token = options->token;
  pool->lease_max = options->lease_max;
  pool->port = options->callbacks;
  pool->created = now;
  pool->slowness = 1.0;
  pool->endpoints = g_hash_table_new_full (
      g_str_hash, g_str_equal, NULL, (GDestroyNotify)snipe_pool_endpoint_free);
  pool->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
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
  g_hash_table_destroy (pool->done);
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
  pool->directory_known = true;
}

bool
snipe_pool_has_endpoint (const struct snipe_pool *pool, const char *endpoint)
{
  return g_hash_table_contains (pool->endpoints, endpoint);
}

static uint64_t
digest_of (const struct snipe_pool *pool)
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

/* Whether the leases that an earlier owner can have given have run out. */
static bool
leases_over (const struct snipe_pool *pool, snipe_time now)
{
  return now >= pool->created + pool->lease_max + pool->lease_max / 20;
}

/* Whether a batch that may run already can only run where this owner looks. */
static bool
may_place (const struct snipe_pool *pool, const struct batch *batch,
           bool all_answered, uint64_t digest, snipe_time now)
{
  return !batch->resent || leases_over (pool, now)
         || (all_answered && batch->endpoints == digest);
}

/* Whether no earlier owner's run can be unknown to this one. */
static bool
settled (const struct snipe_pool *pool, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  /* The earlier owner may use endpoints that are not in this list yet; it
   * extends no lease after it has heard of the claim. */
  if (!pool->directory_known && !leases_over (pool, now))
    return false;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;

      if (endpoint->claim == CLAIM_ASKED && now < endpoint->claim_deadline)
        return false;
    }
  return true;
}

static void
start_task (struct snipe_pool *pool, struct batch *batch, uint32_t slot,
            struct snipe_pool_endpoint *endpoint, snipe_time now)
{
  char name[SNIPE_TASK_NAME_BYTES];
  struct run *run;

  snipe_batch_task_name (batch, slot, name, sizeof name);
  run = snipe_pool_run_add (endpoint, name, batch->tasks[slot].next_run,
                            &batch->each);
  run->ordered = now;
  run->expected = snipe_pool_predict (pool, endpoint, batch);
  run->state = RUN_ORDERED;
  snipe_batch_attach (batch, slot, run);
  snipe_pool_send_start (pool, run, now);
}

static void
place_batch (struct snipe_pool *pool, struct batch *batch, snipe_time now)
{
  for (uint32_t i = 0; i < batch->count && batch->waiting > 0; i++)
    {
      struct task *task = &batch->tasks[i];
      struct snipe_pool_endpoint *endpoint;

      if (task->run != NULL || task->end != SNIPE_TASK_PENDING
          || task->retry_at > now)
        continue;
      endpoint = snipe_pool_choose (pool, batch, now);
      if (endpoint == NULL)
        return;
      start_task (pool, batch, i, endpoint, now);
    }
}

void
snipe_pool_place (struct snipe_pool *pool, snipe_time now)
{
  GPtrArray *order;
  uint64_t digest;
  bool all;

  /* An entry of the list may be seconds old, and its endpoint leaving. */
  if (!pool->directory_known && now < pool->created + DIRECTORY_WAIT)
    return;
  /* Another owner has a higher token somewhere. What this one would start at
   * the endpoints that still obey it, the other may start elsewhere. */
  if (pool->fenced)
    return;
  order = g_ptr_array_sized_new (pool->batches->len);
  all = settled (pool, now);
  digest = digest_of (pool);
  for (guint i = 0; i < pool->batches->len; i++)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i);

      if (batch->waiting > 0 && now < batch->give_up
          && may_place (pool, batch, all, digest, now))
        g_ptr_array_add (order, batch);
    }
  snipe_pool_sort (pool, order, now);
  for (guint i = 0; i < order->len; i++)
    place_batch (pool, g_ptr_array_index (order, i), now);
  g_ptr_array_free (order, TRUE);
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

/* Refuses what cannot be served any more and ends what nobody waits for. */
static void
expire_batches (struct snipe_pool *pool, snipe_time now)
{
  for (guint i = pool->batches->len; i > 0; i--)
    {
      struct batch *batch = g_ptr_array_index (pool->batches, i - 1);
      int code = snipe_pool_refusal (pool, batch, now);

      if (now >= batch->give_up)
        code = SNIPE_E_DEADLINE;
      if (code != SNIPE_OK)
        snipe_batch_finish (pool, batch, code, retry_after (pool, now), now);
    }
}

/* Whether the lease that any order could have given has run out, also on a
 * clock that is 2 % slow, and nothing was heard since that order. */
static bool
surely_lapsed (const struct snipe_pool *pool,
               const struct snipe_pool_endpoint *endpoint, snipe_time now)
{
  snipe_time lease = pool->lease_max + pool->lease_max / 20 + HOLD_SLACK;

  return endpoint->heard < endpoint->extended
         && now - endpoint->extended > lease;
}

static void
check_run (struct snipe_pool *pool, struct run *run, snipe_time now)
{
  struct batch *batch = run->batch;
  snipe_time elapsed = now - run->ordered;

  if (run->state == RUN_STOPPING)
    {
      if (!run->stop_in_flight && !run->stop_done
          && now - run->stop_sent >= STOP_INTERVAL)
        snipe_pool_send_stop (pool, run, now);
      return;
    }
  if (batch == NULL)
    {
      if (now - run->found >= ORPHAN_WAIT)
        snipe_pool_run_stop (pool, run, now);
      return;
    }
  if (run->state != RUN_ACTIVE || run->ordered == 0
      || elapsed < STRAGGLER_FACTOR * run->expected + STRAGGLER_MIN)
    return;
  snipe_pool_endpoint_failed (run->endpoint, now);
  run->endpoint->speed_ratio
      = MAX (run->endpoint->speed_ratio, (double)STRAGGLER_FACTOR);
  if (now + snipe_pool_predict (pool, NULL, batch)
      < MIN (batch->late, batch->give_up))
    snipe_pool_run_stop (pool, run, now);
  else
    run->expected = elapsed; /* judged once per tripling */
}

static void
check_endpoint (struct snipe_pool *pool, struct snipe_pool_endpoint *endpoint,
                snipe_time now)
{
  if (endpoint->claim == CLAIM_FENCED)
    return;
  for (guint i = endpoint->runs->len; i > 0; i--)
    check_run (pool, g_ptr_array_index (endpoint->runs, i - 1), now);
  if (endpoint->runs->len > 0 && surely_lapsed (pool, endpoint, now))
    snipe_pool_lapse_all (pool, endpoint, now);
  if (!endpoint->hold_in_flight
      && ((endpoint->claim == CLAIM_ASKED && endpoint->listed)
          || (endpoint->runs->len > 0
              && now - endpoint->hold_sent >= HOLD_SLACK)
          || (endpoint->last_seen > endpoint->acknowledged && endpoint->listed
              && now - endpoint->hold_sent >= ACKNOWLEDGE_AFTER)))
    snipe_pool_send_hold (pool, endpoint, false, now);
}

void
snipe_pool_tick (struct snipe_pool *pool, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct snipe_pool_endpoint *endpoint = value;

      check_endpoint (pool, endpoint, now);
      if (!endpoint->listed && endpoint->runs->len == 0
          && !endpoint->hold_in_flight)
        g_hash_table_iter_remove (&iter);
    }
  expire_batches (pool, now);
  snipe_pool_place (pool, now);
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

      if (endpoint->runs->len > 0 || endpoint->claim == CLAIM_ASKED)
        return false;
    }
  return true;
}

uint32_t
snipe_pool_load (const struct snipe_pool *pool, struct snipe_pool_load *out,
                 uint32_t *free_cpu, uint32_t max, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t written = 0;

  *out = (struct snipe_pool_load){ .slowdown = pool->slowness,
                                   .endpoint_digest = digest_of (pool) };
  g_hash_table_iter_init (&iter, pool->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snipe_pool_endpoint *endpoint = value;
      int64_t room = endpoint->entry.capacity.cpu - endpoint->used.cpu;

      if (!snipe_pool_endpoint_usable (endpoint, now))
        continue;
      out->endpoints++;
      out->total_cpu += endpoint->entry.capacity.cpu;
      if (room > 0 && written < max)
        free_cpu[written++] = (uint32_t)room;
    }
  for (guint i = 0; i < pool->batches->len; i++)
    {
      const struct batch *batch = g_ptr_array_index (pool->batches, i);

      out->backlog += (int64_t)batch->waiting * batch->each.cpu
                      * (snipe_pool_predict (pool, NULL, batch) / SNIPE_MS);
    }
  return written;
}
