#include "node/private.h"

#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include "node/capacity.h"
#include "snipe/counter.h"
#include "snipe/status.h"
#include "util/log.h"

/* A host from which nothing was received for longer counts as lost. A longer
 * timeout than the maximum has no benefit; with a shorter one than the minimum
 * a slow host would often be taken for a dead one. */
#define FAILURE_TIMEOUT_MAX (600 * SNIPE_MS)
#define FAILURE_TIMEOUT_MIN (200 * SNIPE_MS)
#define HEARTBEAT_CHECK_INTERVAL (50 * SNIPE_MS)
/* A wake-up costs some 10 us, or 0.1 % of a core at 100 per second. What a
 * tick decides need only be accurate to some ten milliseconds; starts and ends
 * of tasks do not wait for it. */
#define TICK_INTERVAL_BUSY (20 * SNIPE_MS)
#define TICK_INTERVAL_IDLE (50 * SNIPE_MS)
/* Interval of the search for listed addresses at which no host is live. */
#define DISCOVERY_INTERVAL (300 * SNIPE_MS)
/* The store changes several times a second, as each endpoint writes there, and
 * hosts tell each other its version. */
#define STORE_SILENCE_MIN (3 * SNIPE_S)
/* A host that joins running hosts gets heartbeats from all live ones within
 * some 20 ms of reading the list of hosts. */
#define RESTART_SETTLE_DELAY (300 * SNIPE_MS)

/* The runs started for a failed host must have been stopped before its
 * callers resend their jobs: the host has to be lost within half of that time,
 * less the duration of a stop. */
static snipe_time
choose_failure_timeout (const struct snipe_node_options *options)
{
  return CLAMP (options->resend_after / 2 - options->stop_max,
                FAILURE_TIMEOUT_MIN, FAILURE_TIMEOUT_MAX);
}

static snipe_time
on_callers_handled (void *ctx, snipe_time now)
{
  return snipe_node_callers_handled (ctx, now);
}

int
snipe_node_new (struct snipe_node **out,
                const struct snipe_node_options *options, snipe_time now)
{
  struct snipe_members_options members = SNIPE_MEMBERS_OPTIONS_INIT;
  struct snipe_coordinator_options coordinator
      = SNIPE_COORDINATOR_OPTIONS_INIT;
  struct snipe_link_options link = SNIPE_LINK_OPTIONS_INIT;
  struct snipe_node *node = g_new0 (struct snipe_node, 1);
  const char *colon = strrchr (options->listen, ':');
  int status;

  node->options = *options;
  if (getrandom (&node->incarnation, sizeof node->incarnation, 0) < 0
      || colon == NULL)
    {
      g_free (node);
      return snipe_status_set (SNIPE_E_INVALID,
                               "\"%s\" is not an address of the form ip:port",
                               options->listen);
    }
  node->token_host_id
      = node->incarnation & ((1U << SNIPE_NODE_TOKEN_HOST_BITS) - 1);
  node->last_tick = now;
  node->owned_pools = g_ptr_array_new_with_free_func (snipe_owned_pool_free);
  node->directory
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  node->unlisted_endpoints
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  node->listed_hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  node->groups = g_ptr_array_new_with_free_func (g_free);
  node->all_pools = g_array_new (FALSE, FALSE, sizeof (struct snipe_pool_id));
  g_queue_init (&node->local_queue);
  node->retained_results
      = g_ptr_array_new_with_free_func (snipe_retained_result_free);
  node->cancelled_jobs = snipe_cancelled_jobs_new ();
  node->evacuations = snipe_evacuations_new ();
  status = snipe_node_losses_init (node);
  if (status < 0)
    goto on_error;
  link.loop = options->loop;
  link.listen = options->listen;
  link.received = snipe_node_received;
  link.closed = snipe_node_link_closed;
  link.opened = snipe_node_link_opened;
  link.refused = snipe_node_link_refused;
  link.ctx = node;
  status = snipe_link_new (&node->link, &link);
  if (status < 0)
    goto on_error;
  snprintf (node->address, sizeof node->address, "%.*s:%u",
            (int)(colon - options->listen), options->listen,
            snipe_link_port (node->link));
  if (options->advertise_address != NULL)
    g_strlcpy (node->address, options->advertise_address,
               sizeof node->address);
  node->config.last_source
      = (uint32_t)(node->incarnation % SNIPE_CONFIG_SYNC_SOURCES);
  members.self.incarnation = node->incarnation;
  g_strlcpy (members.self.name, options->name, sizeof members.self.name);
  g_strlcpy (members.self.domain, options->domain, sizeof members.self.domain);
  g_strlcpy (members.self.address, node->address, sizeof members.self.address);
  node->capacity
      = snipe_capacity_of_host (options->cpu_millicores, options->link_kbps);
  members.self.capacity = node->capacity;
  if (!options->first_start)
    members.settle_delay = RESTART_SETTLE_DELAY;
  members.failure_timeout = choose_failure_timeout (options);
  node->failure_timeout = members.failure_timeout;
  coordinator.incarnation = node->incarnation;
  coordinator.domain = options->domain;
  coordinator.whole_jobs = options->whole_jobs;
  coordinator.spread_load = options->spread_load;
  coordinator.shared_order = options->shared_order;
  coordinator.callbacks = (struct snipe_coordinator_callbacks){
    .ctx = node,
    .submit = snipe_node_send_batch,
    .cancel = snipe_node_send_cancel,
    .commit = snipe_node_send_commit,
    .callers_handled = on_callers_handled,
    .moved = snipe_node_batch_moved,
    .routed = snipe_node_batch_routed,
    .rejected = snipe_node_job_rejected,
    .answer = snipe_node_answer
  };
  status = snipe_members_new (&node->members, &members, now);
  if (status == SNIPE_OK)
    status = snipe_coordinator_new (&node->coordinator, &coordinator);
  if (status < 0)
    goto on_error;
  *out = node;
  return SNIPE_OK;

on_error:
  snipe_node_free (node);
  return status;
}

void
snipe_node_free (struct snipe_node *node)
{
  struct local_message *message;

  if (node == NULL)
    return;
  while ((message = g_queue_pop_head (&node->local_queue)) != NULL)
    snipe_local_message_free (message);
  snipe_link_free (node->link);
  snipe_coordinator_free (node->coordinator);
  snipe_members_free (node->members);
  g_ptr_array_free (node->owned_pools, TRUE);
  g_hash_table_destroy (node->directory);
  g_hash_table_destroy (node->unlisted_endpoints);
  g_hash_table_destroy (node->listed_hosts);
  g_ptr_array_free (node->groups, TRUE);
  g_array_free (node->all_pools, TRUE);
  g_ptr_array_free (node->retained_results, TRUE);
  snipe_cancelled_jobs_free (node->cancelled_jobs);
  snipe_evacuations_free (node->evacuations);
  snipe_node_losses_clear (node);
  g_free (node);
}

void
snipe_node_log (const struct snipe_node *node, const char *format, ...)
{
  char line[512];
  va_list args;

  if (!snipe_log_decisions_enabled ())
    return;
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  snipe_log_decision (node->options.name, line);
}

snipe_time
snipe_node_callers_handled (const struct snipe_node *node, snipe_time now)
{
  const struct snipe_node_callbacks *callbacks = &node->options.callbacks;

  return callbacks->callers_handled == NULL
             ? now
             : MIN (callbacks->callers_handled (callbacks->ctx), now);
}

void
snipe_node_tick_after_pause (struct snipe_node *node, snipe_time now)
{
  if (now - node->last_tick > node->failure_timeout)
    snipe_node_tick (node, now);
}

void
snipe_node_host_listed (struct snipe_node *node, const char *address,
                        snipe_time now)
{
  struct listed_host *host;

  if (strcmp (address, node->address) == 0)
    return;
  host = g_hash_table_lookup (node->listed_hosts, address);
  if (host == NULL)
    {
      g_message ("host: event=listed address=%s", address);
      host = g_new0 (struct listed_host, 1);
      g_hash_table_insert (node->listed_hosts, g_strdup (address), host);
      /* It may own the pools that this host is about to claim. */
      node->heartbeat_check_due = 0;
      node->discovery_due = 0;
    }
  *host = (struct listed_host){ .last_received_at = now };
}

void
snipe_node_host_unlisted (struct snipe_node *node, const char *address)
{
  if (g_hash_table_remove (node->listed_hosts, address))
    g_message ("host: event=unlisted address=%s", address);
}

void
snipe_node_hosts_synced (struct snipe_node *node)
{
  node->awaiting_listed_hosts = true;
}

/* Ends the settle delay as soon as every listed host is live. */
static void
end_settling_if_all_live (struct snipe_node *node, snipe_time now)
{
  GHashTableIter iter;
  gpointer key;

  if (!node->awaiting_listed_hosts || node->options.first_start)
    return;
  g_hash_table_iter_init (&iter, node->listed_hosts);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (snipe_members_find_by_address (node->members, key) == NULL)
      return;
  node->awaiting_listed_hosts = false;
  node->ownership_due = 0;
  snipe_members_end_settling (node->members, now);
}

void
snipe_node_set_store_version (struct snipe_node *node, uint64_t version,
                              bool registered, snipe_time now)
{
  snipe_node_note_store_version (node, version, now);
  if (registered)
    node->token_host_id = version & ((1U << SNIPE_NODE_TOKEN_HOST_BITS) - 1);
}

void
snipe_node_config_changed (struct snipe_node *node, uint64_t version,
                           snipe_time now)
{
  snipe_config_sync_applied (&node->config, version, now);
  node->full_heartbeat_due = 0;
}

const struct snipe_config_sync *
snipe_node_config (const struct snipe_node *node)
{
  return &node->config;
}

/* Answers a late copy of the request of a job that was cancelled. */
static void
answer_cancelled_job (struct snipe_node *node,
                      const struct snipe_coordinator_job *job, snipe_time now)
{
  struct snipe_coordinator_answer answer
      = { .outcome = SNIPE_COORDINATOR_FAILED, .code = SNIPE_E_CANCELLED };

  snipe_node_log (node, "event=job_cancelled_before job=%s", job->id);
  snipe_node_answer (node, job->ctx, &answer);
  snipe_node_process_local_queue (node, now);
}

void
snipe_node_submit (struct snipe_node *node,
                   const struct snipe_coordinator_job *job, snipe_time now)
{
  struct snipe_coordinator_job checked = *job;

  snipe_node_tick_after_pause (node, now);
  if (snipe_cancelled_jobs_contains (node->cancelled_jobs, job->id, now))
    {
      answer_cancelled_job (node, job, now);
      return;
    }
  checked.feasibility = snipe_node_job_feasibility (node, job, now);
  snipe_counter_add (SNIPE_C_JOBS_ACCEPTED, 1);
  snipe_node_log (
      node,
      "event=job job=%s route=%s config=%" G_GUINT64_FORMAT
      " service=%s tasks=%u cpu=%" G_GINT64_FORMAT
      " estimate_ms=%" G_GINT64_FORMAT
      " priority=%u fit=%d due_ms=%" G_GINT64_FORMAT " known=%d",
      job->id, job->route, job->rules_version, job->service, job->count,
      job->task_resources.cpu, job->estimate / SNIPE_MS, job->priority,
      (int)checked.feasibility, (job->caller_deadline - now) / SNIPE_MS,
      (int)snipe_coordinator_has_job (node->coordinator, job->id));
  if (checked.feasibility == SNIPE_FEASIBILITY_STALE)
    node->options.callbacks.refresh_directory (node->options.callbacks.ctx);
  snipe_coordinator_submit (node->coordinator, &checked, now);
  snipe_node_process_local_queue (node, now);
}

void
snipe_node_abandon (struct snipe_node *node, void *job_ctx, snipe_time now)
{
  snipe_node_tick_after_pause (node, now);
  snipe_coordinator_abandon (node->coordinator, job_ctx, now);
  snipe_node_process_local_queue (node, now);
}

bool
snipe_node_has_job (const struct snipe_node *node, const char *id)
{
  return snipe_coordinator_has_job (node->coordinator, id);
}

uint32_t
snipe_node_pending_count (const struct snipe_node *node, const char *route)
{
  return snipe_coordinator_pending_count (node->coordinator, route);
}

/* Returns the pool that sent a request, NULL if this host no longer owns it.
 */
static struct owned_pool *
pool_by_token (struct snipe_node *node, uint64_t token, const char *endpoint)
{
  for (guint i = 0; i < node->owned_pools->len; i++)
    {
      struct owned_pool *pool = g_ptr_array_index (node->owned_pools, i);

      if (pool->token == token
          && snipe_pool_has_endpoint (pool->pool, endpoint))
        return pool;
    }
  return NULL;
}

void
snipe_node_on_start (struct snipe_node *node, uint64_t token,
                     const char *endpoint, const char *task, uint32_t run,
                     enum snipe_endpoint_answer answer,
                     const struct snipe_endpoint_report *report,
                     snipe_time now)
{
  struct owned_pool *pool;

  snipe_node_tick_after_pause (node, now);
  pool = pool_by_token (node, token, endpoint);
  if (answer != SNIPE_ANSWER_OK)
    snipe_node_log (node,
                    "event=start_failed task=%s run=%u endpoint=%s "
                    "token=%" G_GUINT64_FORMAT " answer=%d",
                    task, run, endpoint, token, (int)answer);
  if (pool != NULL)
    snipe_pool_on_start (pool->pool, endpoint, task, run, answer, report, now);
  snipe_node_process_local_queue (node, now);
}

void
snipe_node_on_stop (struct snipe_node *node, uint64_t token,
                    const char *endpoint, const char *task, uint32_t run,
                    enum snipe_endpoint_answer answer,
                    const struct snipe_endpoint_report *report, snipe_time now)
{
  struct owned_pool *pool;

  snipe_node_tick_after_pause (node, now);
  pool = pool_by_token (node, token, endpoint);
  if (pool != NULL)
    snipe_pool_on_stop (pool->pool, endpoint, task, run, answer, report, now);
  snipe_node_process_local_queue (node, now);
}

void
snipe_node_on_poll (struct snipe_node *node, uint64_t token,
                    const char *endpoint, enum snipe_endpoint_answer answer,
                    const struct snipe_endpoint_report *report, snipe_time now)
{
  struct owned_pool *pool;

  snipe_node_tick_after_pause (node, now);
  pool = pool_by_token (node, token, endpoint);
  if (token == SNIPE_NODE_PROBE_TOKEN)
    {
      snipe_node_note_probe_reply (node, endpoint, answer, now);
      return;
    }
  if (answer != SNIPE_ANSWER_OK)
    snipe_node_log (node, "event=hold_failed endpoint=%s answer=%d", endpoint,
                    (int)answer);
  for (uint32_t i = 0; report != NULL && i < report->ended_count; i++)
    snipe_node_log (node, "event=end task=%s run=%u endpoint=%s how=%d",
                    report->ended[i].task, report->ended[i].run, endpoint,
                    (int)report->ended[i].outcome);
  if (pool != NULL)
    snipe_pool_on_poll (pool->pool, endpoint, answer, report, now);
  snipe_node_process_local_queue (node, now);
}

struct heartbeat_round
{
  struct snipe_node *node;
  snipe_time now;
  bool all; /**< also hosts that got another message lately */
};

/* Returns whether one of the two hosts has an open batch at the other. */
static bool
shares_work (const struct snipe_node *node, uint64_t incarnation)
{
  if (snipe_coordinator_has_batch_at (node->coordinator, incarnation))
    return true;
  for (guint i = 0; i < node->owned_pools->len; i++)
    if (snipe_pool_has_batch_of (
            ((struct owned_pool *)g_ptr_array_index (node->owned_pools, i))
                ->pool,
            incarnation))
      return true;
  return false;
}

static void
send_due_heartbeat (void *ctx, const struct snipe_member *member)
{
  struct heartbeat_round *round = ctx;
  struct snipe_node *node = round->node;

  if (shares_work (node, member->incarnation))
    snipe_members_note_shared_work (node->members, member->incarnation,
                                    round->now);
  if (round->all
      || snipe_members_heartbeat_due (node->members, member->incarnation,
                                      round->now))
    snipe_node_send_heartbeat (node, member->address, member->incarnation,
                               round->now);
}

static void
note_host_seen (void *ctx, const struct snipe_member *member)
{
  struct heartbeat_round *round = ctx;
  struct listed_host *host
      = g_hash_table_lookup (round->node->listed_hosts, member->address);

  if (host != NULL)
    host->last_received_at = round->now;
}

/* Sends heartbeats to the listed addresses at which no host is live. */
static void
discover_listed_hosts (struct snipe_node *node, snipe_time now)
{
  struct heartbeat_round round = { .node = node, .now = now };
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (now < node->discovery_due)
    return;
  node->discovery_due = now + DISCOVERY_INTERVAL;
  snipe_members_each (node->members, note_host_seen, &round);
  g_hash_table_iter_init (&iter, node->listed_hosts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct listed_host *host = value;

      if (snipe_members_should_unlist (node->members,
                                       now - host->last_received_at))
        {
          host->last_received_at = now;
          node->options.callbacks.deregister_host (node->options.callbacks.ctx,
                                                   key);
        }
      else if (host->last_received_at < now && now >= host->discovery_due)
        {
          host->discovery_due = now
                                + snipe_members_discovery_interval (
                                    now - host->last_received_at);
          snipe_node_send_heartbeat (node, key, 0, now);
        }
    }
}

/* Sends the heartbeats that are due to live hosts, and does discovery. */
static void
send_heartbeats (struct snipe_node *node, snipe_time now)
{
  struct heartbeat_round round = { .node = node, .now = now };

  if (now < node->full_heartbeat_due && now < node->heartbeat_check_due)
    return;
  /* All hosts get a heartbeat after a change and at the broadcast interval; in
   * between only those that got no other message for a heartbeat interval. */
  round.all = now >= node->full_heartbeat_due;
  if (round.all)
    node->full_heartbeat_due
        = now + snipe_members_broadcast_interval (node->members);
  node->heartbeat_check_due = now + HEARTBEAT_CHECK_INTERVAL;
  snipe_members_each (node->members, send_due_heartbeat, &round);
  discover_listed_hosts (node, now);
}

/* Closes the connection to a host that was lost, and calls the host on a new
 * one. The old one may have gone silent in both directions: then no heartbeat
 * of the host says so, and discovery heartbeats would go into it as well. */
static void
reconnect_lost_host (struct snipe_node *node, uint64_t lost, snipe_time now)
{
  const char *address = snipe_members_address (node->members, lost);

  /* Another process at the address uses the connection by now. */
  if (address == NULL
      || snipe_members_find_by_address (node->members, address) != NULL)
    return;
  snipe_link_reset (node->link, address);
  snipe_node_send_heartbeat (node, address, lost, now);
}

static void
handle_lost_hosts (struct snipe_node *node, snipe_time now)
{
  uint64_t lost;

  while ((lost = snipe_members_next_lost (node->members, now)) != 0)
    {
      g_message ("host: event=lost incarnation=%016" G_GINT64_MODIFIER "x",
                 lost);
      reconnect_lost_host (node, lost, now);
      node->ownership_due = 0;
      snipe_coordinator_owner_lost (node->coordinator, lost, now);
      for (guint i = 0; i < node->owned_pools->len; i++)
        snipe_pool_coordinator_lost (
            ((struct owned_pool *)g_ptr_array_index (node->owned_pools, i))
                ->pool,
            lost, now);
    }
}

/* After a pause of this process, other hosts may have taken over: all
 * decisions made before it are discarded. */
static void
recover_from_pause (struct snipe_node *node, snipe_time gap, snipe_time now)
{
  g_warning ("host: event=stopped gap_ms=%" G_GINT64_FORMAT
             " pools=%u jobs=%u",
             gap / SNIPE_MS, node->owned_pools->len,
             snipe_coordinator_job_count (node->coordinator));
  g_ptr_array_set_size (node->owned_pools, 0);
  snipe_members_resume (node->members, now);
  snipe_coordinator_fail_all (node->coordinator, now);
  node->full_heartbeat_due = 0;
  node->discovery_due = 0;
}

void
snipe_node_contact_regained (struct snipe_node *node, bool cut_off,
                             snipe_time now)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (cut_off)
    {
      g_message (
          "host: event=contact_regained list_ms=%" G_GINT64_FORMAT " pools=%u",
          snipe_node_list_age (node, now) / SNIPE_MS, node->owned_pools->len);
      snipe_members_resume (node->members, now);
      node->awaiting_listed_hosts = true;
      /* By now the list of hosts is complete. */
      node->options.first_start = false;
    }
  for (guint i = 0; i < node->owned_pools->len; i++)
    snipe_pool_earlier_owner_heard (
        ((struct owned_pool *)g_ptr_array_index (node->owned_pools, i))->pool,
        now);
  if (now - node->regained_at < DISCOVERY_INTERVAL)
    return;
  node->regained_at = now;
  g_hash_table_iter_init (&iter, node->listed_hosts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      /* The first packet of a connection that was lost in a cut is repeated
       * late. */
      snipe_link_retry (node->link, key, now);
      ((struct listed_host *)value)->discovery_due = 0;
    }
  node->discovery_due = 0;
  node->heartbeat_check_due = 0;
}

void
snipe_node_note_store_version (struct snipe_node *node, uint64_t version,
                               snipe_time now)
{
  if (version <= node->store_version)
    return;
  node->store_version = version;
  /* Before the next claim, whose token would be higher than those of hosts
   * that have claimed pools meanwhile. */
  if (node->store_version_at > 0
      && now - node->store_version_at >= STORE_SILENCE_MIN)
    snipe_node_contact_regained (node, true, now);
  node->store_version_at = now;
}

/* Returns whether something may become due within milliseconds. */
static bool
is_busy (const struct snipe_node *node)
{
  if (snipe_coordinator_job_count (node->coordinator) > 0)
    return true;
  for (guint i = 0; i < node->owned_pools->len; i++)
    if (!snipe_pool_idle (
            ((struct owned_pool *)g_ptr_array_index (node->owned_pools, i))
                ->pool))
      return true;
  return false;
}

snipe_time
snipe_node_tick (struct snipe_node *node, snipe_time now)
{
  snipe_time gap = now - node->last_tick;

  node->last_tick = now;
  if (gap > node->failure_timeout)
    recover_from_pause (node, gap, now);
  handle_lost_hosts (node, now);
  send_heartbeats (node, now);
  end_settling_if_all_live (node, now);
  snipe_node_check_endpoints (node, now);
  snipe_node_request_list (node, now);
  snipe_node_update_ownership (node, now);
  for (guint i = 0; i < node->owned_pools->len; i++)
    {
      struct owned_pool *pool = g_ptr_array_index (node->owned_pools, i);

      snipe_pool_tick (pool->pool, now);
    }
  snipe_coordinator_tick (node->coordinator, now);
  snipe_node_process_local_queue (node, now);
  snipe_node_tell_losses (node, now);
  snipe_node_send_loads (node, now);
  snipe_node_request_config (node, now);
  snipe_node_expire_results (node, now);
  snipe_cancelled_jobs_expire (node->cancelled_jobs, now);
  return is_busy (node) ? TICK_INTERVAL_BUSY : TICK_INTERVAL_IDLE;
}

void
snipe_node_leave (struct snipe_node *node)
{
  node->leaving = true;
  node->ownership_due = 0;
  snipe_members_leave (node->members);
  node->full_heartbeat_due = 0;
}

bool
snipe_node_idle (const struct snipe_node *node)
{
  return snipe_coordinator_job_count (node->coordinator) == 0
         && node->owned_pools->len == 0;
}

bool
snipe_node_can_serve (const struct snipe_node *node)
{
  return snipe_coordinator_can_serve (node->coordinator);
}

void
snipe_node_fail_jobs (struct snipe_node *node, snipe_time now)
{
  snipe_coordinator_fail_all (node->coordinator, now);
  snipe_node_process_local_queue (node, now);
}
