#include "engine/private.h"

#include <stdlib.h>
#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

#define TICK_US 5000
/* Checks for due heartbeats per heartbeat interval. */
#define HEARTBEAT_CHECKS_PER_INTERVAL 16
/* Interval between sweeps for expired records, one shard each. */
#define SWEEP_INTERVAL (500 * SNIPE_MS)

static void
submission_drop (gpointer sub)
{
  submission_unref (sub);
}

static void
rules_drop (gpointer rules)
{
  snipe_rules_unref (rules);
}

static int
check_options (const struct snipe_engine_options *options)
{
  if (options->version != SNIPE_ENGINE_OPTIONS_VERSION)
    return snipe_status_set (SNIPE_E_INVALID, "engine options version %u",
                             options->version);
  if (options->decision_log_entries == 0
      || (options->decision_log_entries & (options->decision_log_entries - 1))
             != 0)
    return snipe_status_set (
        SNIPE_E_INVALID,
        "size of the decision log must be a power of two, not %u",
        options->decision_log_entries);
  return SNIPE_OK;
}

static void
init_tables (struct snipe_engine *engine)
{
  for (int i = 0; i < SHARD_COUNT; i++)
    {
      pthread_mutex_init (&engine->shards[i].lock, NULL);
      engine->shards[i].submissions = g_hash_table_new_full (
          g_str_hash, g_str_equal, NULL, submission_drop);
    }
  pthread_mutex_init (&engine->sched_lock, NULL);
  pthread_mutex_init (&engine->issue_lock, NULL);
  pthread_mutex_init (&engine->forward_lock, NULL);
  pthread_mutex_init (&engine->archive_lock, NULL);
  pthread_mutex_init (&engine->archive_write_lock, NULL);
  pthread_mutex_init (&engine->decision_lock, NULL);
  engine->peers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  engine->offloaded_batches
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  engine->forwards = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            forward_free);
  engine->endpoints = g_ptr_array_new ();
  engine->owned_endpoints
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  engine->owned_domains = g_ptr_array_new_with_free_func (g_free);
  engine->quota_shares
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  engine->rule_history = g_ptr_array_new_with_free_func (rules_drop);
  engine->lookups = g_async_queue_new_full (g_free);
  g_queue_init (&engine->issue_blocks);
  g_queue_init (&engine->delivery_retries);
  g_queue_init (&engine->unarchived);
  g_queue_init (&engine->cached_answers);
  g_queue_init (&engine->lost_tasks);
}

int
snipe_engine_new (struct snipe_engine **out,
                  const struct snipe_engine_options *options)
{
  struct snipe_engine *engine = NULL;
  int status = check_options (options);

  if (status < 0)
    return status;
  engine = calloc (1, sizeof *engine);
  if (engine == NULL)
    return snipe_status_set (SNIPE_E_NOMEM, "out of memory for the engine");
  engine->options = *options;
  g_strlcpy (engine->host, options->host, sizeof engine->host);
  g_strlcpy (engine->domain, options->domain, sizeof engine->domain);
  g_strlcpy (engine->region, options->region, sizeof engine->region);
  /* The wall clock is read only once: an expired id must not become valid
     again because an operator sets the clock back. */
  engine->wall_offset_ms
      = snipe_clock_wall_ms () - snipe_clock_now () / SNIPE_MS;
  engine->retry_budget = (struct snipe_retry_budget)SNIPE_RETRY_BUDGET_INIT;
  status = snipe_sched_new (&engine->sched, &options->sched);
  if (status < 0)
    {
      free (engine);
      return status;
    }
  engine->decision_log
      = calloc (options->decision_log_entries, sizeof *engine->decision_log);
  if (engine->decision_log == NULL)
    g_error ("out of memory for a decision log of %u entries",
             options->decision_log_entries);
  init_tables (engine);
  *out = engine;
  return SNIPE_OK;
}

const struct snipe_peer_handlers *
snipe_engine_peer_handlers (void)
{
  static const struct snipe_peer_handlers handlers = {
    .heartbeat = engine_on_heartbeat,
    .forward = engine_on_forward,
    .answer = engine_on_answer,
    .run_batch = engine_on_run_batch,
    .results = engine_on_results,
    .offer = engine_on_offer,
    .get_rules = engine_on_get_rules,
  };

  return &handlers;
}

const struct snipe_platform_callbacks *
snipe_engine_platform_callbacks (void)
{
  static const struct snipe_platform_callbacks callbacks = {
    .rules = engine_on_rules,
    .endpoints = engine_on_endpoints,
    .entries = engine_on_entries,
    .demands = engine_on_demands,
    .shares = engine_on_shares,
  };

  return &callbacks;
}

static void
add_running (void *ctx, const struct snipe_endpoint_status *status)
{
  *(uint32_t *)ctx += status->running;
}

static void
update_gauges (struct snipe_engine *engine, snipe_time now)
{
  struct snipe_peer_load load;
  uint32_t running = 0;

  pthread_mutex_lock (&engine->sched_lock);
  snipe_sched_load_get (engine->sched, now, &load);
  snipe_sched_endpoint_foreach (engine->sched, add_running, &running);
  pthread_mutex_unlock (&engine->sched_lock);
  snipe_counter_set (SNIPE_C_TASKS_QUEUED, load.queued);
  snipe_counter_set (SNIPE_C_TASKS_RUNNING, running);
}

static void *
tick_thread (void *ctx)
{
  struct snipe_engine *engine = ctx;
  snipe_time next_sweep = 0;
  unsigned int shard = 0;

  while (__atomic_load_n (&engine->stopping, __ATOMIC_ACQUIRE) == 0)
    {
      snipe_time now;
      snipe_time wakeup;

      g_usleep (TICK_US);
      now = snipe_clock_now ();
      if (now >= engine->next_heartbeat_check)
        {
          engine->next_heartbeat_check = now
                                         + engine->options.heartbeat_interval
                                               / HEARTBEAT_CHECKS_PER_INTERVAL;
          engine_send_heartbeats (engine, false, now);
          update_gauges (engine, now);
        }
      engine_check_peers (engine, now);
      forward_sweep (engine, now);
      received_batch_resend_results (engine, now);
      for (int i = 0; i < SHARD_COUNT; i++)
        if (__atomic_load_n (&engine->shards[i].timed_waiters,
                             __ATOMIC_RELAXED)
            > 0)
          submission_sweep (engine, &engine->shards[i], now);
      if (now >= next_sweep)
        {
          submission_sweep (engine, &engine->shards[shard++ % SHARD_COUNT],
                            now);
          next_sweep = now + SWEEP_INTERVAL;
        }
      pthread_mutex_lock (&engine->sched_lock);
      wakeup = snipe_sched_wakeup_time (engine->sched, now);
      pthread_mutex_unlock (&engine->sched_lock);
      if (wakeup <= now)
        engine_dispatch (engine, now);
      engine_send_offer (engine, now);
    }
  return NULL;
}

int
snipe_engine_start (struct snipe_engine *engine,
                    const struct snipe_engine_dependencies *dependencies)
{
  engine->dependencies = *dependencies;
  g_strlcpy (engine->rpc_address, dependencies->rpc_address,
             sizeof engine->rpc_address);
  if (pthread_create (&engine->tick_thread, NULL, tick_thread, engine) != 0
      || pthread_create (&engine->archive_thread, NULL, archive_thread, engine)
             != 0
      || pthread_create (&engine->lookup_thread, NULL, lookup_thread, engine)
             != 0)
    return snipe_status_set (SNIPE_E_INTERNAL,
                             "cannot create the threads of the engine");
  engine->threads_started = true;
  return SNIPE_OK;
}

void
snipe_engine_set_platform (struct snipe_engine *engine,
                           struct snipe_platform *platform)
{
  __atomic_store_n (&engine->platform, platform, __ATOMIC_RELEASE);
}

void
snipe_engine_stop (struct snipe_engine *engine)
{
  struct lookup stop = { .kind = LOOKUP_STOP };

  if (!engine->threads_started)
    return;
  __atomic_store_n (&engine->stopping, 1, __ATOMIC_RELEASE);
  lookup_push (engine, &stop);
  pthread_join (engine->tick_thread, NULL);
  pthread_join (engine->archive_thread, NULL);
  pthread_join (engine->lookup_thread, NULL);
  engine->threads_started = false;
}

static void
free_submissions (GQueue *queue)
{
  gpointer sub;

  while ((sub = g_queue_pop_head (queue)) != NULL)
    submission_unref (sub);
}

void
snipe_engine_free (struct snipe_engine *engine)
{
  if (engine == NULL)
    return;
  snipe_engine_stop (engine);
  free_submissions (&engine->unarchived);
  free_submissions (&engine->cached_answers);
  for (int i = 0; i < SHARD_COUNT; i++)
    g_hash_table_destroy (engine->shards[i].submissions);
  g_hash_table_destroy (engine->peers);
  g_hash_table_destroy (engine->offloaded_batches);
  g_hash_table_destroy (engine->forwards);
  g_ptr_array_free (engine->endpoints, TRUE);
  g_hash_table_destroy (engine->owned_endpoints);
  g_ptr_array_free (engine->owned_domains, TRUE);
  g_hash_table_destroy (engine->quota_shares);
  g_ptr_array_free (engine->rule_history, TRUE);
  g_async_queue_unref (engine->lookups);
  g_queue_clear_full (&engine->issue_blocks, g_free);
  g_queue_clear_full (&engine->lost_tasks, g_free);
  snipe_rules_unref (engine->rules);
  snipe_sched_free (engine->sched);
  free (engine->decision_log);
  free (engine);
}

void
snipe_engine_drain (struct snipe_engine *engine)
{
  __atomic_store_n (&engine->draining, 1, __ATOMIC_RELEASE);
  g_message ("draining: no new work is accepted");
  engine_send_heartbeats (engine, true, snipe_clock_now ());
}

bool
snipe_engine_draining (const struct snipe_engine *engine)
{
  return __atomic_load_n (&engine->draining, __ATOMIC_ACQUIRE) != 0;
}

bool
snipe_engine_idle (struct snipe_engine *engine)
{
  bool idle;

  pthread_mutex_lock (&engine->sched_lock);
  idle
      = engine->execution_count == 0
        && __atomic_load_n (&engine->result_deliveries, __ATOMIC_RELAXED) == 0;
  pthread_mutex_unlock (&engine->sched_lock);
  pthread_mutex_lock (&engine->forward_lock);
  idle = idle && g_hash_table_size (engine->forwards) == 0;
  pthread_mutex_unlock (&engine->forward_lock);
  return idle && g_async_queue_length (engine->lookups) <= 0;
}

bool
snipe_engine_ready (const struct snipe_engine *engine)
{
  return __atomic_load_n (&engine->rules_loaded, __ATOMIC_ACQUIRE) != 0
         && !snipe_engine_draining (engine);
}
