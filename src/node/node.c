#include "node/private.h"

#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include "snipe/counter.h"
#include "snipe/status.h"
#include "util/log.h"

/* A host not heard for longer counts as lost. Above the maximum nothing is
 * gained; below the minimum a slow host would often be taken for a dead one.
 */
#define SILENCE_MAX (600 * SNIPE_MS)
#define SILENCE_MIN (200 * SNIPE_MS)
#define HELLO_CHECK_INTERVAL (50 * SNIPE_MS)
/* A wake-up costs some 10 us, or 0.1 % of a core at 100 a second. What a tick
 * decides is due to some ten milliseconds; starts and ends do not wait for it.
 */
#define TICK_BUSY (20 * SNIPE_MS)
#define TICK_IDLE (50 * SNIPE_MS)
/* The listed addresses are looked through this often. */
#define GREET_INTERVAL (300 * SNIPE_MS)
/* A host that starts among others hears those that live within some 20 ms of
 * reading their list. */
#define RESTART_SETTLE (300 * SNIPE_MS)

/* The runs of a host that died must have been stopped before its callers send
 * their jobs again: its silence is noticed in half of that time, less what a
 * stop takes. */
static snipe_time
silence_of (const struct snipe_node_options *options)
{
  return CLAMP (options->resend_after / 2 - options->stop_max, SILENCE_MIN,
                SILENCE_MAX);
}

int
snipe_node_new (struct snipe_node **out,
                const struct snipe_node_options *options, snipe_time now)
{
  struct snipe_members_options members = SNIPE_MEMBERS_OPTIONS_INIT;
  struct snipe_coordinator_options home = SNIPE_COORDINATOR_OPTIONS_INIT;
  struct snipe_link_options link = SNIPE_LINK_OPTIONS_INIT;
  struct snipe_node *node = g_new0 (struct snipe_node, 1);
  const char *colon = strrchr (options->listen, ':');
  int status;

  node->options = *options;
  if (getrandom (&node->incarnation, sizeof node->incarnation, 0) < 0
      || colon == NULL)
    {
      g_free (node);
      return snipe_status_set (SNIPE_E_INVALID, "\"%s\" is no address",
                               options->listen);
    }
  node->slot = node->incarnation & ((1U << SNIPE_NODE_SLOT_BITS) - 1);
  node->last_tick = now;
  node->pools = g_ptr_array_new_with_free_func (snipe_held_pool_free);
  node->directory
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  node->unlisted
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  node->listed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  node->groups = g_ptr_array_new_with_free_func (g_free);
  node->known_pools
      = g_array_new (FALSE, FALSE, sizeof (struct snipe_pool_id));
  g_queue_init (&node->pending);
  node->results = g_ptr_array_new_with_free_func (snipe_kept_result_free);
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
  members.self.incarnation = node->incarnation;
  g_strlcpy (members.self.name, options->name, sizeof members.self.name);
  g_strlcpy (members.self.domain, options->domain, sizeof members.self.domain);
  g_strlcpy (members.self.address, node->address, sizeof members.self.address);
  members.self.cpu_millicores = options->cpu_millicores;
  if (!options->first_start)
    members.settle_delay = RESTART_SETTLE;
  members.failure_timeout = silence_of (options);
  node->silence = members.failure_timeout;
  home.incarnation = node->incarnation;
  home.domain = options->domain;
  home.callbacks
      = (struct snipe_coordinator_callbacks){ .ctx = node,
                                              .submit = snipe_node_send_batch,
                                              .cancel = snipe_node_send_cancel,
                                              .answer = snipe_node_answer };
  status = snipe_members_new (&node->members, &members, now);
  if (status == SNIPE_OK)
    status = snipe_coordinator_new (&node->home, &home);
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
  struct pending *item;

  if (node == NULL)
    return;
  while ((item = g_queue_pop_head (&node->pending)) != NULL)
    snipe_pending_free (item);
  snipe_link_free (node->link);
  snipe_coordinator_free (node->home);
  snipe_members_free (node->members);
  g_ptr_array_free (node->pools, TRUE);
  g_hash_table_destroy (node->directory);
  g_hash_table_destroy (node->unlisted);
  g_hash_table_destroy (node->listed);
  g_ptr_array_free (node->groups, TRUE);
  g_array_free (node->known_pools, TRUE);
  g_ptr_array_free (node->results, TRUE);
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

/* After a stop, the tick finds out first what has become of this host. */
static void
enter (struct snipe_node *node, snipe_time now)
{
  if (now - node->last_tick > node->silence)
    snipe_node_tick (node, now);
}

void
snipe_node_host_listed (struct snipe_node *node, const char *address,
                        snipe_time now)
{
  struct listed_host *host;

  if (strcmp (address, node->address) == 0)
    return;
  host = g_hash_table_lookup (node->listed, address);
  if (host == NULL)
    {
      g_message ("host: event=listed address=%s", address);
      host = g_new0 (struct listed_host, 1);
      g_hash_table_insert (node->listed, g_strdup (address), host);
    }
  *host = (struct listed_host){ .heard = now };
}

void
snipe_node_host_unlisted (struct snipe_node *node, const char *address)
{
  if (g_hash_table_remove (node->listed, address))
    g_message ("host: event=unlisted address=%s", address);
}

void
snipe_node_hosts_synced (struct snipe_node *node)
{
  node->hosts_read = true;
}

/* Claims need not wait once every listed host is heard. */
static void
check_settled (struct snipe_node *node, snipe_time now)
{
  GHashTableIter iter;
  gpointer key;

  if (!node->hosts_read || node->options.first_start)
    return;
  g_hash_table_iter_init (&iter, node->listed);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (snipe_members_find_by_address (node->members, key) == NULL)
      return;
  node->hosts_read = false;
  node->owner_due = 0;
  snipe_members_end_settling (node->members, now);
}

void
snipe_node_set_store_version (struct snipe_node *node, uint64_t version,
                              bool registered)
{
  node->store_version = MAX (node->store_version, version);
  if (registered)
    node->slot = version & ((1U << SNIPE_NODE_SLOT_BITS) - 1);
}

void
snipe_node_config_changed (struct snipe_node *node, uint64_t version)
{
  node->config_version = version;
  node->outdated_since = 0;
  node->hello_due = 0;
}

void
snipe_node_submit (struct snipe_node *node,
                   const struct snipe_coordinator_job *job, snipe_time now)
{
  struct snipe_coordinator_job judged = *job;

  enter (node, now);
  judged.feasibility = snipe_node_fit (node, job, now);
  snipe_counter_add (SNIPE_C_JOBS_ACCEPTED, 1);
  snipe_node_log (node,
                  "event=job job=%s route=%s config=%" G_GUINT64_FORMAT
                  " service=%s tasks=%u cpu=%" G_GINT64_FORMAT
                  " estimate_ms=%" G_GINT64_FORMAT " priority=%u fit=%d",
                  job->id, job->route, job->rules_version, job->service,
                  job->count, job->task_resources.cpu,
                  job->estimate / SNIPE_MS, job->priority,
                  (int)judged.feasibility);
  if (judged.feasibility == SNIPE_FEASIBILITY_STALE)
    node->options.callbacks.refresh_directory (node->options.callbacks.ctx);
  snipe_coordinator_submit (node->home, &judged, now);
  snipe_node_drain_pending (node, now);
}

void
snipe_node_abandon (struct snipe_node *node, void *job_ctx, snipe_time now)
{
  snipe_coordinator_abandon (node->home, job_ctx, now);
  snipe_node_drain_pending (node, now);
}

bool
snipe_node_has_job (const struct snipe_node *node, const char *id)
{
  return snipe_coordinator_has_job (node->home, id);
}

uint32_t
snipe_node_pending_count (const struct snipe_node *node, const char *route)
{
  return snipe_coordinator_pending_count (node->home, route);
}

/* The pool that sent an order; NULL if this host owns it no longer. */
static struct held_pool *
pool_by_token (struct snipe_node *node, uint64_t token, const char *endpoint)
{
  for (guint i = 0; i < node->pools->len; i++)
    {
      struct held_pool *pool = g_ptr_array_index (node->pools, i);

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
  struct held_pool *pool;

  enter (node, now);
  pool = pool_by_token (node, token, endpoint);
  if (answer != SNIPE_ANSWER_OK)
    snipe_node_log (node,
                    "event=start_failed task=%s run=%u endpoint=%s "
                    "token=%" G_GUINT64_FORMAT " answer=%d",
                    task, run, endpoint, token, (int)answer);
  if (pool != NULL)
    snipe_pool_on_start (pool->pool, endpoint, task, run, answer, report, now);
  snipe_node_drain_pending (node, now);
}

void
snipe_node_on_stop (struct snipe_node *node, uint64_t token,
                    const char *endpoint, const char *task, uint32_t run,
                    enum snipe_endpoint_answer answer,
                    const struct snipe_endpoint_report *report, snipe_time now)
{
  struct held_pool *pool;

  enter (node, now);
  pool = pool_by_token (node, token, endpoint);
  if (pool != NULL)
    snipe_pool_on_stop (pool->pool, endpoint, task, run, answer, report, now);
  snipe_node_drain_pending (node, now);
}

void
snipe_node_on_poll (struct snipe_node *node, uint64_t token,
                    const char *endpoint, enum snipe_endpoint_answer answer,
                    const struct snipe_endpoint_report *report, snipe_time now)
{
  struct held_pool *pool;

  enter (node, now);
  pool = pool_by_token (node, token, endpoint);
  if (token == SNIPE_NODE_PROBE_TOKEN)
    {
      snipe_node_note_probe (node, endpoint, answer, now);
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
  snipe_node_drain_pending (node, now);
}

struct greeting
{
  struct snipe_node *node;
  snipe_time now;
  bool all; /**< also hosts that had another message lately */
};

/* Whether a batch of one of the two hosts is open at the other. */
static bool
shares_work (const struct snipe_node *node, uint64_t incarnation)
{
  if (snipe_coordinator_has_batch_at (node->home, incarnation))
    return true;
  for (guint i = 0; i < node->pools->len; i++)
    if (snipe_pool_has_batch_of (
            ((struct held_pool *)g_ptr_array_index (node->pools, i))->pool,
            incarnation))
      return true;
  return false;
}

static void
greet (void *ctx, const struct snipe_member *member)
{
  struct greeting *greeting = ctx;
  struct snipe_node *node = greeting->node;

  if (shares_work (node, member->incarnation))
    snipe_members_note_shared_work (node->members, member->incarnation,
                                    greeting->now);
  if (greeting->all
      || snipe_members_heartbeat_due (node->members, member->incarnation,
                                      greeting->now))
    snipe_node_send_hello (node, member->address, member->incarnation,
                           greeting->now);
}

static void
note_heard (void *ctx, const struct snipe_member *member)
{
  struct greeting *greeting = ctx;
  struct listed_host *host
      = g_hash_table_lookup (greeting->node->listed, member->address);

  if (host != NULL)
    host->heard = greeting->now;
}

/* Greets the addresses at which no host is heard. */
static void
greet_listed (struct snipe_node *node, snipe_time now)
{
  struct greeting greeting = { .node = node, .now = now };
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (now < node->greet_due)
    return;
  node->greet_due = now + GREET_INTERVAL;
  snipe_members_each (node->members, note_heard, &greeting);
  g_hash_table_iter_init (&iter, node->listed);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct listed_host *host = value;

      if (snipe_members_should_unlist (node->members, now - host->heard))
        {
          host->heard = now;
          node->options.callbacks.deregister_host (node->options.callbacks.ctx,
                                                   key);
        }
      else if (host->heard < now && now >= host->due)
        {
          host->due
              = now + snipe_members_discovery_interval (now - host->heard);
          snipe_node_send_hello (node, key, 0, now);
        }
    }
}

/* Greets the hosts that are heard, and now and then those that are listed. */
static void
send_hellos (struct snipe_node *node, snipe_time now)
{
  struct greeting greeting = { .node = node, .now = now };

  if (now < node->hello_due && now < node->check_due)
    return;
  /* Whole heartbeats after a change, and now and then; in between only to
   * those that had no other message for an interval. */
  greeting.all = now >= node->hello_due;
  if (greeting.all)
    node->hello_due = now + snipe_members_broadcast_interval (node->members);
  node->check_due = now + HELLO_CHECK_INTERVAL;
  snipe_members_each (node->members, greet, &greeting);
  greet_listed (node, now);
}

static void
drop_lost (struct snipe_node *node, snipe_time now)
{
  uint64_t lost;

  while ((lost = snipe_members_next_lost (node->members, now)) != 0)
    {
      g_message ("host: event=lost incarnation=%016" G_GINT64_MODIFIER "x",
                 lost);
      node->owner_due = 0;
      snipe_coordinator_owner_lost (node->home, lost, now);
      for (guint i = 0; i < node->pools->len; i++)
        snipe_pool_coordinator_lost (
            ((struct held_pool *)g_ptr_array_index (node->pools, i))->pool,
            lost, now);
    }
}

/* After a stop of this process, others may have taken over: nothing that was
 * decided before it is carried out. */
static void
recover_from_stop (struct snipe_node *node, snipe_time gap, snipe_time now)
{
  g_warning ("host: event=stopped gap_ms=%" G_GINT64_FORMAT
             " pools=%u jobs=%u",
             gap / SNIPE_MS, node->pools->len,
             snipe_coordinator_job_count (node->home));
  g_ptr_array_set_size (node->pools, 0);
  snipe_members_resume (node->members, now);
  snipe_coordinator_fail_all (node->home, now);
  node->hello_due = 0;
  node->greet_due = 0;
}

/* Whether something may come due within milliseconds. */
static bool
is_busy (const struct snipe_node *node)
{
  if (snipe_coordinator_job_count (node->home) > 0)
    return true;
  for (guint i = 0; i < node->pools->len; i++)
    if (!snipe_pool_idle (
            ((struct held_pool *)g_ptr_array_index (node->pools, i))->pool))
      return true;
  return false;
}

snipe_time
snipe_node_tick (struct snipe_node *node, snipe_time now)
{
  snipe_time gap = now - node->last_tick;

  node->last_tick = now;
  if (gap > node->silence)
    recover_from_stop (node, gap, now);
  drop_lost (node, now);
  send_hellos (node, now);
  check_settled (node, now);
  snipe_node_check_endpoints (node, now);
  snipe_node_decide_owners (node, now);
  for (guint i = 0; i < node->pools->len; i++)
    {
      struct held_pool *pool = g_ptr_array_index (node->pools, i);

      snipe_pool_tick (pool->pool, now);
    }
  snipe_coordinator_tick (node->home, now);
  snipe_node_drain_pending (node, now);
  snipe_node_send_loads (node, now);
  snipe_node_forget_results (node, now);
  return is_busy (node) ? TICK_BUSY : TICK_IDLE;
}

void
snipe_node_leave (struct snipe_node *node)
{
  node->leaving = true;
  node->owner_due = 0;
  snipe_members_leave (node->members);
  node->hello_due = 0;
}

bool
snipe_node_idle (const struct snipe_node *node)
{
  return snipe_coordinator_job_count (node->home) == 0
         && node->pools->len == 0;
}

bool
snipe_node_can_serve (const struct snipe_node *node)
{
  return snipe_coordinator_can_serve (node->home);
}

void
snipe_node_fail_jobs (struct snipe_node *node, snipe_time now)
{
  snipe_coordinator_fail_all (node->home, now);
  snipe_node_drain_pending (node, now);
}
