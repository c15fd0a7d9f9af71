/* Messages between this host and the others. */
#include "node/private.h"

#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

/* A batch may hold all tasks of a job. */
G_STATIC_ASSERT (SNIPE_JOB_TASKS_MAX <= LINK_TASKS_MAX);

#define FREE_CPU_ENTRIES_MAX 512
/* A batch that was in transit for longer, because its connection or this
 * process was stalled, is not started: its caller may have resent the job by
 * the time its tasks would run. */
#define BATCH_DELAY_MAX (400 * SNIPE_MS)
#define SENT_MAX ((snipe_time)1 << 60)
/* Minimum interval between two load reports of a pool, and the interval per
 * host of the fleet, which keeps the cost of the reports constant as the fleet
 * grows. */
#define LOAD_INTERVAL_MIN (30 * SNIPE_MS)
#define LOAD_INTERVAL_PER_HOST (3 * SNIPE_MS / 2)
/* Hosts of other domains need less recent loads, as jobs go to the pools of
 * their own domain unless those are full. */
#define LOAD_INTERVAL_PER_HOST_OTHER_DOMAIN (6 * SNIPE_MS)
/* Cancelled jobs are sent again to a host if its connection was replaced or it
 * was lost. The longest time in which a host receives nothing before that is
 * noticed is 4.8 s, in a large fleet, and some of that may pass twice: until
 * one host closes the connection, and until the other hears of it. */
#define CANCELLED_JOB_RESEND_AGE (10 * SNIPE_S)

static int32_t
ms_until (snipe_time when, snipe_time now)
{
  return (int32_t)CLAMP ((when - now) / SNIPE_MS, INT32_MIN, INT32_MAX);
}

/* Differences of an impossible time would overflow. */
snipe_time
snipe_node_decode_sent (int64_t sent_us)
{
  return CLAMP (sent_us, 0, SENT_MAX);
}

int
snipe_node_send_to (struct snipe_node *node, uint64_t incarnation,
                    const struct snipe_link_message *message)
{
  const struct snipe_member *member
      = snipe_members_find (node->members, incarnation);

  if (member == NULL)
    return snipe_status_set (SNIPE_E_UNREACHABLE, "host is not live");
  return snipe_link_send (node->link, member->address, message);
}

link_pool
snipe_node_encode_pool (const struct snipe_pool_id *id)
{
  return (link_pool){ .service = (char *)id->service,
                      .domain = (char *)id->domain,
                      .shard = id->shard,
                      .shards = id->shards };
}

bool
snipe_node_decode_pool (struct snipe_pool_id *out, const link_pool *from)
{
  *out
      = (struct snipe_pool_id){ .shard = from->shard, .shards = from->shards };
  g_strlcpy (out->service, from->service, sizeof out->service);
  g_strlcpy (out->domain, from->domain, sizeof out->domain);
  if (snipe_pool_id_is_valid (out))
    return true;
  g_warning ("link: event=bad_pool service=%s domain=%s shard=%u/%u",
             out->service, out->domain, out->shard, out->shards);
  return false;
}

/* @return the time before @p now up to which this host has handled what its
 * callers sent, and the receiver of a message knows of those who left.
 * @param receiver 0: unknown */
static u_int
encode_unhandled (const struct snipe_node *node, uint64_t receiver,
                  snipe_time now)
{
  snipe_time handled = MIN (
      snipe_node_callers_handled (node, now),
      snipe_coordinator_cancelled_handled (node->coordinator, receiver));

  return (u_int)MIN (now - handled, UINT32_MAX);
}

/* @return the time, by the sender's clock, up to which it had handled what its
 * callers sent. */
static snipe_time
decode_handled (int64_t sent_us, u_int unhandled_us)
{
  return MAX (snipe_node_decode_sent (sent_us) - (snipe_time)unhandled_us, 0);
}

static int
queue_batch (struct snipe_node *node, const struct snipe_pool_id *pool,
             const struct snipe_pool_batch *batch, snipe_time now)
{
  struct local_message *message;
  struct snipe_pool_batch *copy;
  struct snipe_str spec = SNIPE_STR_INIT;

  if (snipe_str_set (&spec, batch->spec.data, batch->spec.len) < 0)
    return SNIPE_E_NOMEM;
  message = g_new0 (struct local_message, 1);
  copy = &message->u.batch.batch;
  message->kind = LOCAL_BATCH;
  message->u.batch.pool = *pool;
  *copy = *batch;
  copy->handled_at = snipe_node_callers_handled (node, now);
  copy->spec = spec;
  copy->job = g_strdup (batch->job);
  copy->route = g_strdup (batch->route);
  copy->label = g_strdup (batch->label);
  copy->rack = g_strdup (batch->rack);
  copy->indexes
      = g_memdup2 (batch->indexes, batch->count * sizeof *batch->indexes);
  g_queue_push_tail (&node->local_queue, message);
  return SNIPE_OK;
}

int
snipe_node_send_batch (void *ctx, uint64_t owner,
                       const struct snipe_pool_id *pool,
                       const struct snipe_pool_batch *batch)
{
  struct snipe_node *node = ctx;
  snipe_time now = snipe_clock_now ();
  const struct snipe_member *member;
  int status;
  struct snipe_link_message message = {
    .procedure = batch->held ? LINK_SEND_HELD_BATCH : LINK_SEND_BATCH,
    .args.batch = {
      .coordinator = batch->coordinator,
      .number = batch->number,
      .attempt = batch->attempt,
      .sent_us = now,
      .unhandled_us
      = (u_int)MIN (now - snipe_node_callers_handled (node, now), UINT32_MAX),
      .pool = snipe_node_encode_pool (pool),
      .job = (char *)batch->job,
      .step = batch->step,
      .route = (char *)batch->route,
      .spec = { .spec_len = (u_int)batch->spec.len,
                .spec_val = batch->spec.data },
      .indexes = { .indexes_len = batch->count,
                   .indexes_val = (u_int *)batch->indexes },
      .cpu = (u_int)batch->task_resources.cpu,
      .mem_mb = (u_int)batch->task_resources.mem_mb,
      .gpu = (u_int)batch->task_resources.gpu,
      .label = (char *)batch->label,
      .rack = (char *)batch->rack,
      .max_per_endpoint = batch->max_per_endpoint,
      .priority = batch->priority,
      .attempts = batch->attempts,
      .estimate_ms = (u_int)(batch->estimate / SNIPE_MS),
      .soft_deadline_ms = ms_until (batch->soft_deadline, now),
      .hard_deadline_ms = ms_until (batch->hard_deadline, now),
      .caller_deadline_ms = ms_until (batch->caller_deadline, now),
      .resent = batch->resent,
      .endpoint_digest = batch->endpoint_digest,
      .group = batch->group,
    },
  };

  snipe_node_log (node,
                  "event=route job=%s batch=%" G_GUINT64_FORMAT
                  " tasks=%u domain=%s shard=%u owner=%016" G_GINT64_MODIFIER
                  "x due_ms=%d late_ms=%d resent=%d held=%d",
                  batch->job, batch->number, batch->count, pool->domain,
                  pool->shard, owner, message.args.batch.soft_deadline_ms,
                  message.args.batch.hard_deadline_ms, (int)batch->resent,
                  (int)batch->held);
  if (owner == node->incarnation)
    return queue_batch (node, pool, batch, now);
  member = snipe_members_find (node->members, owner);
  if (member != NULL)
    snipe_node_send_losses_of_job (node, member->address, batch->job, now);
  status = snipe_node_send_to (node, owner, &message);
  if (status < 0)
    snipe_node_log (node,
                    "event=batch_unsent job=%s batch=%" G_GUINT64_FORMAT
                    " reason=\"%s\"",
                    batch->job, batch->number, snipe_status_last ());
  return status;
}

void
snipe_node_send_cancel (
    void *ctx, const struct snipe_coordinator_cancellation *cancellation)
{
  struct snipe_node *node = ctx;
  struct snipe_link_message message
      = { .procedure = LINK_SEND_CANCEL,
          .args.cancel = { .coordinator = node->incarnation,
                           .number = cancellation->number } };
  struct local_message *local;
  bool sent;

  if (!cancellation->again)
    snipe_node_log (node,
                    "event=%s batch=%" G_GUINT64_FORMAT
                    " owner=%016" G_GINT64_MODIFIER "x",
                    cancellation->moved ? "cancel_moved" : "cancel",
                    cancellation->number, cancellation->owner);
  if (cancellation->owner != node->incarnation)
    {
      sent = snipe_node_send_to (node, cancellation->owner, &message)
             == SNIPE_OK;
      /* It is repeated until the owner acknowledges it; only the first failure
       * is logged. */
      if (sent && cancellation->again)
        snipe_node_log (node,
                        "event=cancel_resent batch=%" G_GUINT64_FORMAT
                        " owner=%016" G_GINT64_MODIFIER "x moved=%d",
                        cancellation->number, cancellation->owner,
                        (int)cancellation->moved);
      else if (!sent && !cancellation->again)
        snipe_node_log (node,
                        "event=cancel_unsent batch=%" G_GUINT64_FORMAT
                        " owner=%016" G_GINT64_MODIFIER
                        "x moved=%d reason=\"%s\"",
                        cancellation->number, cancellation->owner,
                        (int)cancellation->moved, snipe_status_last ());
      return;
    }
  local = g_new0 (struct local_message, 1);
  local->kind = LOCAL_CANCEL;
  local->u.id.coordinator = node->incarnation;
  local->u.id.number = cancellation->number;
  g_queue_push_tail (&node->local_queue, local);
}

void
snipe_node_send_result (struct snipe_node *node,
                        const struct snipe_pool_result *result)
{
  struct snipe_link_message message
      = { .procedure = LINK_SEND_RESULT,
          .args.result
          = { .coordinator = result->coordinator,
              .number = result->number,
              .attempt = result->attempt,
              .outcomes = { .outcomes_len = result->count,
                            .outcomes_val = (u_int *)result->outcomes },
              .code = result->code,
              .retry_after_ms = (u_int)(result->retry_after / SNIPE_MS) } };

  if (snipe_node_send_to (node, result->coordinator, &message) < 0)
    snipe_node_log (node, "event=result_unsent job=%s reason=\"%s\"",
                    result->job, snipe_status_last ());
}

void
snipe_node_send_drain (struct snipe_node *node,
                       const struct snipe_pool_id *pool,
                       const struct snipe_endpoint_entry *entry)
{
  struct snipe_link_message message
      = { .procedure = LINK_SEND_DRAIN,
          .args.drain = { .pool = snipe_node_encode_pool (pool),
                          .endpoint = (char *)entry->id,
                          .started_ms = entry->started_ms } };
  uint64_t owner = snipe_members_pool_owner (node->members, pool);

  if (owner != 0 && snipe_node_send_to (node, owner, &message) < 0)
    snipe_node_log (node, "event=drain_unsent endpoint=%s reason=\"%s\"",
                    entry->id, snipe_status_last ());
}

uint32_t
snipe_node_encode_list_age (const struct snipe_node *node, snipe_time now)
{
  snipe_time age = snipe_node_list_age (node, now);

  return (uint32_t)MIN (age / SNIPE_MS, UINT32_MAX);
}

void
snipe_node_send_heartbeat (struct snipe_node *node, const char *address,
                           uint64_t incarnation, snipe_time now)
{
  link_claim *claims = g_new0 (link_claim, node->owned_pools->len + 1);
  snipe_time since_received
      = snipe_members_time_since_received (node->members, incarnation, now);
  snipe_time interval
      = snipe_members_heartbeat_interval (node->members, incarnation, now);
  struct snipe_link_message message = {
    .procedure = LINK_SEND_HEARTBEAT,
    .args.heartbeat
    = { .incarnation = node->incarnation,
        .sent_us = now,
        .unhandled_us = encode_unhandled (node, incarnation, now),
        .name = (char *)node->options.name,
        .address = node->address,
        .domain = (char *)node->options.domain,
        .cpu_millicores = node->capacity,
        .leaving = node->leaving,
        .config_version = node->config.version,
        .store_version = node->store_version,
        .since_last_received_ms
        = (u_int)MIN (since_received / SNIPE_MS, UINT32_MAX),
        .heartbeat_interval_ms = (u_int)(interval / SNIPE_MS),
        .loss_count = snipe_members_loss_count (node->members, incarnation),
        .list_age_ms = snipe_node_encode_list_age (node, now),
        .transit_us = snipe_members_transit (node->members, incarnation),
        .claims
        = { .claims_len = node->owned_pools->len, .claims_val = claims } }
  };

  for (guint i = 0; i < node->owned_pools->len; i++)
    {
      struct owned_pool *pool = g_ptr_array_index (node->owned_pools, i);

      claims[i] = (link_claim){ .pool = snipe_node_encode_pool (&pool->id),
                                .token = pool->token };
    }
  if (snipe_link_send (node->link, address, &message) == SNIPE_OK)
    snipe_members_heartbeat_sent (node->members, incarnation, interval, now);
  else
    snipe_counter_add (SNIPE_C_HELLOS_UNSENT, 1);
  g_free (claims);
}

struct broadcast
{
  struct snipe_node *node;
  struct snipe_str message;
  snipe_time now;
  bool skip_same_domain;
  bool skip_other_domains;
};

static void
send_to_member (void *ctx, const struct snipe_member *member)
{
  struct broadcast *broadcast = ctx;
  struct snipe_node *node = broadcast->node;
  bool same_domain = strcmp (member->domain, node->options.domain) == 0;

  if (same_domain ? broadcast->skip_same_domain
                  : broadcast->skip_other_domains)
    return;
  if (snipe_link_send_encoded (node->link, member->address,
                               &broadcast->message)
      == SNIPE_OK)
    snipe_members_message_sent (node->members, member->incarnation,
                                broadcast->now);
}

/* Sends a message to all live hosts that are not skipped. */
static void
send_to_hosts (struct broadcast *broadcast,
               const struct snipe_link_message *message)
{
  if (snipe_link_encode (&broadcast->message, message) == SNIPE_OK)
    snipe_members_each (broadcast->node->members, send_to_member, broadcast);
  else
    g_warning ("link: %s", snipe_status_last ());
  snipe_str_clear (&broadcast->message);
}

void
snipe_node_send_to_hosts (struct snipe_node *node,
                          const struct snipe_link_message *message,
                          snipe_time now)
{
  struct broadcast broadcast = { .node = node, .now = now };

  send_to_hosts (&broadcast, message);
}

static void
count_member (void *ctx, const struct snipe_member *member)
{
  (void)member;
  (*(uint32_t *)ctx)++;
}

/* Returns whether a load has to be reported now, and if so, sets when the next
 * report is due. */
static bool
start_report_if_due (struct load_report *report, uint64_t digest,
                     snipe_time interval, snipe_time now)
{
  if (digest == report->last_digest || now < report->next_due)
    return false;
  report->last_digest = digest;
  report->next_due = now + interval;
  return true;
}

/* The load of a pool of this host at one moment. */
struct pool_load
{
  struct snipe_pool_load load;
  uint32_t free_cpu[FREE_CPU_ENTRIES_MAX];
  uint32_t free_count;
};

static void
read_load (struct pool_load *out, const struct owned_pool *pool,
           snipe_time now)
{
  out->free_count = snipe_pool_load (pool->pool, &out->load, out->free_cpu,
                                     FREE_CPU_ENTRIES_MAX, now);
}

static void
update_own_view (struct snipe_node *node, const struct owned_pool *pool,
                 const struct pool_load *from, snipe_time now)
{
  struct snipe_coordinator_load own
      = { .pool = &pool->id,
          .owner = node->incarnation,
          .token = pool->token,
          .free_cpu = from->free_cpu,
          .free_count = from->free_count,
          .total_cpu = from->load.total_cpu,
          .backlog = from->load.backlog,
          .slowdown = from->load.slowdown,
          .endpoint_digest = from->load.endpoint_digest };

  snipe_coordinator_update_load (node->coordinator, &own, now);
}

static struct snipe_link_message
encode_load (const struct snipe_node *node, const struct owned_pool *pool,
             struct pool_load *from)
{
  return (struct snipe_link_message){
    .procedure = LINK_SEND_LOAD,
    .args.load = { .incarnation = node->incarnation,
                   .pool = snipe_node_encode_pool (&pool->id),
                   .token = pool->token,
                   .free_cpu = { .free_cpu_len = from->free_count,
                                 .free_cpu_val = from->free_cpu },
                   .total_cpu = (u_quad_t)from->load.total_cpu,
                   .backlog = (u_quad_t)from->load.backlog,
                   .endpoint_digest = from->load.endpoint_digest,
                   .slowdown_permille = (u_int)(from->load.slowdown * 1000) }
  };
}

void
snipe_node_send_decline_load (struct snipe_node *node,
                              const struct owned_pool *pool,
                              const struct snipe_pool_result *result,
                              snipe_time now)
{
  struct pool_load load;
  struct snipe_link_message message;
  int64_t free_cpu = 0;

  read_load (&load, pool, now);
  for (uint32_t i = 0; i < load.free_count; i++)
    free_cpu += load.free_cpu[i];
  snipe_node_log (node,
                  "event=batch_declined job=%s batch=%" G_GUINT64_FORMAT
                  " domain=%s shard=%u free_cpu=%" G_GINT64_FORMAT
                  " total_cpu=%" G_GINT64_FORMAT " backlog=%" G_GINT64_FORMAT,
                  result->job, result->number, pool->id.domain, pool->id.shard,
                  free_cpu, load.load.total_cpu, load.load.backlog);
  if (result->coordinator == node->incarnation)
    {
      update_own_view (node, pool, &load, now);
      return;
    }
  message = encode_load (node, pool, &load);
  if (snipe_node_send_to (node, result->coordinator, &message) == SNIPE_OK)
    snipe_counter_add (SNIPE_C_DECLINE_LOADS, 1);
  else
    snipe_node_log (node, "event=decline_load_unsent job=%s reason=\"%s\"",
                    result->job, snipe_status_last ());
}

/* Sends a host the loads of this host's pools. It may have none, or have lost
 * the last ones, and a load that does not change is not sent again. */
static void
send_loads_to (struct snipe_node *node, const char *address, snipe_time now)
{
  for (guint i = 0; i < node->owned_pools->len; i++)
    {
      const struct owned_pool *pool = g_ptr_array_index (node->owned_pools, i);
      struct pool_load load;
      struct snipe_link_message message;

      read_load (&load, pool, now);
      message = encode_load (node, pool, &load);
      if (snipe_link_send (node->link, address, &message) < 0)
        {
          snipe_node_log (node, "event=loads_unsent address=%s reason=\"%s\"",
                          address, snipe_status_last ());
          return;
        }
    }
}

/* Tells what waits in a pool by urgency, to the hosts that are told its load.
 */
static void
send_waiting (struct broadcast *broadcast, const struct owned_pool *pool)
{
  struct snipe_node *node = broadcast->node;
  int64_t waiting[SNIPE_URGENCY_CLASSES];
  u_quad_t work[SNIPE_URGENCY_CLASSES];
  struct snipe_link_message message
      = { .procedure = LINK_SEND_WAITING,
          .args.waiting = { .incarnation = node->incarnation,
                            .pool = snipe_node_encode_pool (&pool->id),
                            .token = pool->token,
                            .work = { .work_len = SNIPE_URGENCY_CLASSES,
                                      .work_val = work } } };

  snipe_pool_read_waiting (pool->pool, waiting, broadcast->now);
  snipe_coordinator_update_waiting (node->coordinator, &pool->id,
                                    node->incarnation, pool->token, waiting);
  for (uint32_t i = 0; i < SNIPE_URGENCY_CLASSES; i++)
    work[i] = (u_quad_t)waiting[i];
  if (!broadcast->skip_same_domain || !broadcast->skip_other_domains)
    send_to_hosts (broadcast, &message);
}

/* @return the number of endpoints that run more than they have room for. */
static uint32_t
send_load (struct snipe_node *node, struct owned_pool *pool, uint32_t hosts,
           snipe_time now)
{
  struct pool_load load;
  struct snipe_link_message message;
  snipe_time interval
      = MAX (LOAD_INTERVAL_MIN, hosts * LOAD_INTERVAL_PER_HOST);
  struct broadcast broadcast = { .node = node, .now = now };
  uint64_t digest;

  read_load (&load, pool, now);
  update_own_view (node, pool, &load, now);
  digest = (uint64_t)load.load.backlog + (uint64_t)load.load.total_cpu
           + load.load.endpoint_digest;
  for (uint32_t i = 0; i < load.free_count; i++)
    digest = digest * 31 + load.free_cpu[i];
  broadcast.skip_same_domain = !start_report_if_due (&pool->same_domain_report,
                                                     digest, interval, now);
  broadcast.skip_other_domains = !start_report_if_due (
      &pool->other_domains_report, digest,
      MAX (interval, hosts * LOAD_INTERVAL_PER_HOST_OTHER_DOMAIN), now);
  message = encode_load (node, pool, &load);
  if (!broadcast.skip_same_domain || !broadcast.skip_other_domains)
    send_to_hosts (&broadcast, &message);
  if (node->options.shared_order)
    send_waiting (&broadcast, pool);
  return load.load.over;
}

void
snipe_node_send_loads (struct snipe_node *node, snipe_time now)
{
  uint32_t hosts = 0;
  uint32_t over = 0;

  if (node->owned_pools->len > 0)
    snipe_members_each (node->members, count_member, &hosts);
  for (guint i = 0; i < node->owned_pools->len; i++)
    over += send_load (node, g_ptr_array_index (node->owned_pools, i), hosts,
                       now);
  snipe_counter_set (SNIPE_C_ENDPOINTS_OVER, over);
}

void
snipe_node_send_endpoint_changes (struct snipe_node *node, uint64_t after,
                                  uint64_t version,
                                  const struct snipe_str *rows, snipe_time now)
{
  struct snipe_link_message message
      = { .procedure = LINK_SEND_ENDPOINT_CHANGES,
          .args.endpoint_changes = { .sent_us = now,
                                     .after_version = after,
                                     .new_version = version,
                                     .rows = { .rows_len = (u_int)rows->len,
                                               .rows_val = rows->data } } };
  struct broadcast broadcast
      = { .node = node, .now = now, .skip_other_domains = true };

  send_to_hosts (&broadcast, &message);
}

struct cancelled_job_recipient
{
  struct snipe_node *node;
  const char *address;
};

static void
send_cancelled_job (void *ctx, const char *id)
{
  const struct cancelled_job_recipient *to = ctx;
  struct snipe_link_message message
      = { .procedure = LINK_SEND_CANCEL_JOB,
          .args.cancel_job = { .job = (char *)id } };

  if (snipe_link_send (to->node->link, to->address, &message) < 0)
    snipe_node_log (to->node, "event=cancel_job_unsent job=%s reason=\"%s\"",
                    id, snipe_status_last ());
}

/* Sends a host the jobs that were cancelled here within @p age: it may not
 * have received the first message. */
static void
resend_cancelled_jobs (struct snipe_node *node, const char *address,
                       snipe_time age, snipe_time now)
{
  struct cancelled_job_recipient to = { .node = node, .address = address };

  snipe_cancelled_jobs_each_own (node->cancelled_jobs, age, send_cancelled_job,
                                 &to, now);
}

bool
snipe_node_cancel (struct snipe_node *node, const char *id, snipe_time now)
{
  struct snipe_link_message message
      = { .procedure = LINK_SEND_CANCEL_JOB,
          .args.cancel_job = { .job = (char *)id } };
  struct broadcast broadcast = { .node = node, .now = now };
  bool here;

  snipe_node_tick_after_pause (node, now);
  snipe_cancelled_jobs_add (node->cancelled_jobs, id, true, now);
  here = snipe_coordinator_cancel (node->coordinator, id, now);
  /* A copy of the job's request may arrive at any host. */
  send_to_hosts (&broadcast, &message);
  snipe_node_process_local_queue (node, now);
  return here;
}

void
snipe_node_request_config (struct snipe_node *node, snipe_time now)
{
  struct snipe_config_sync *sync = &node->config;
  struct snipe_link_message request
      = { .procedure = LINK_SEND_CONFIG_REQUEST,
          .args.config_request = { .have_version = sync->version } };
  bool reachable = node->store_reachable_since > 0;
  uint64_t source;

  while ((source = snipe_config_sync_source (sync, reachable, now)) != 0)
    {
      bool sent = snipe_node_send_to (node, source, &request) == SNIPE_OK;

      snipe_node_log (node,
                      "event=config_request version=%" G_GUINT64_FORMAT
                      " announced=%" G_GUINT64_FORMAT
                      " outdated_ms=%" G_GINT64_FORMAT
                      " store=%d host=%016" G_GINT64_MODIFIER "x sent=%d",
                      sync->version, sync->announced_version,
                      (now - sync->outdated_since) / SNIPE_MS, (int)reachable,
                      source, (int)sent);
      if (sent)
        break;
      snipe_config_sync_drop_source (sync, source, now);
    }
}

/* Returns whether the messages of this host to the sender of a heartbeat seem
 * not to arrive. A sender that counts this host as lost cannot say for how
 * long. */
static bool
is_outbound_stalled (const struct snipe_node *node,
                     const link_heartbeat *heartbeat, snipe_time now)
{
  snipe_time silence;

  if (heartbeat->since_last_received_ms == UINT32_MAX)
    return snipe_members_outbound_unheard (node->members,
                                           heartbeat->incarnation, now);
  /* A new connection is not to blame for what was lost before it. */
  silence = MIN (heartbeat->since_last_received_ms * SNIPE_MS,
                 snipe_link_age (node->link, heartbeat->address, now));
  return snipe_members_outbound_stalled (node->members, heartbeat->incarnation,
                                         silence);
}

static void
note_config_version (struct snipe_node *node, const link_heartbeat *heartbeat,
                     snipe_time now)
{
  if (snipe_config_sync_announced (&node->config, heartbeat->incarnation,
                                   heartbeat->config_version, now))
    snipe_node_log (node,
                    "event=config_announced version=%" G_GUINT64_FORMAT
                    " announced=%" G_GUINT64_FORMAT " host=%s",
                    node->config.version, heartbeat->config_version,
                    heartbeat->name);
}

static void
on_heartbeat (struct snipe_node *node, const link_heartbeat *heartbeat,
              snipe_time now)
{
  struct snipe_member member
      = { .incarnation = heartbeat->incarnation,
          .capacity = heartbeat->cpu_millicores,
          .leaving = heartbeat->leaving,
          .heartbeat_interval = heartbeat->heartbeat_interval_ms * SNIPE_MS,
          .losses = heartbeat->loss_count,
          .list_age = heartbeat->list_age_ms == UINT32_MAX
                          ? INT64_MAX
                          : heartbeat->list_age_ms * SNIPE_MS,
          .transit = CLAMP (heartbeat->transit_us, -SENT_MAX, SENT_MAX) };
  struct snipe_claim *claims
      = g_new0 (struct snipe_claim, heartbeat->claims.claims_len + 1);
  enum snipe_heartbeat_effect effect;
  bool isolated = snipe_members_is_isolated (node->members);
  snipe_time since_received = snipe_members_time_since_received (
      node->members, heartbeat->incarnation, now);

  if (heartbeat->incarnation == node->incarnation)
    {
      g_free (claims);
      return;
    }
  g_strlcpy (member.name, heartbeat->name, sizeof member.name);
  g_strlcpy (member.address, heartbeat->address, sizeof member.address);
  g_strlcpy (member.domain, heartbeat->domain, sizeof member.domain);
  for (u_int i = 0; i < heartbeat->claims.claims_len; i++)
    {
      const link_claim *from = &heartbeat->claims.claims_val[i];
      struct snipe_claim *claim = &claims[member.claim_count];

      if (!snipe_node_decode_pool (&claim->pool, &from->pool))
        continue;
      claim->token = from->token;
      member.claim_count++;
      snipe_node_adopt_shards (node, &claim->pool, now);
      snipe_node_claim_heard (node, claim, now);
    }
  member.claims = claims;
  snipe_node_note_store_version (node, heartbeat->store_version, now);
  effect = snipe_members_handle_heartbeat (node->members, &member, now);
  snipe_members_record_transit (node->members, member.incarnation,
                                snipe_node_decode_sent (heartbeat->sent_us),
                                now);
  snipe_members_record_handled (
      node->members, member.incarnation,
      decode_handled (heartbeat->sent_us, heartbeat->unhandled_us));
  if (effect != SNIPE_HEARTBEAT_UNCHANGED)
    node->ownership_due = 0;
  if (effect == SNIPE_HEARTBEAT_NEW_HOST)
    {
      g_message ("host: event=heard name=%s domain=%s "
                 "incarnation=%016" G_GINT64_MODIFIER "x",
                 member.name, member.domain, member.incarnation);
      if (since_received != INT64_MAX)
        snipe_node_contact_regained (node, isolated, now);
      snipe_link_retry (node->link, member.address, now);
      snipe_node_send_heartbeat (node, member.address, member.incarnation,
                                 now);
      /* Nothing was sent to it while it was lost. */
      resend_cancelled_jobs (
          node, member.address,
          MIN (since_received, SNIPE_CANCELLED_JOBS_RETENTION)
              + CANCELLED_JOB_RESEND_AGE,
          now);
      snipe_node_resend_losses (node, member.address, since_received, now);
      snipe_node_send_evacuations (node, member.address);
      send_loads_to (node, member.address, now);
    }
  for (u_int i = 0; i < member.claim_count && !member.leaving; i++)
    snipe_coordinator_set_owner (node->coordinator, &claims[i].pool,
                                 member.incarnation, claims[i].token, now);
  if (now - node->last_link_reset > SNIPE_S
      && is_outbound_stalled (node, heartbeat, now))
    {
      node->last_link_reset = now;
      snipe_link_reset (node->link, member.address);
      snipe_node_send_heartbeat (node, member.address, member.incarnation,
                                 now);
      snipe_coordinator_resend (node->coordinator, member.incarnation);
    }
  if (effect == SNIPE_HEARTBEAT_LOST_SELF)
    {
      snipe_coordinator_resend (node->coordinator, member.incarnation);
      resend_cancelled_jobs (node, member.address, CANCELLED_JOB_RESEND_AGE,
                             now);
      snipe_node_resend_losses (node, member.address, 0, now);
      snipe_node_send_evacuations (node, member.address);
      send_loads_to (node, member.address, now);
    }
  note_config_version (node, heartbeat, now);
  snipe_node_request_list (node, now);
  g_free (claims);
}

static void
on_load (struct snipe_node *node, const link_load *load, snipe_time now)
{
  struct snipe_pool_id id;
  struct snipe_coordinator_load view
      = { .pool = &id,
          .owner = load->incarnation,
          .token = load->token,
          .free_cpu = load->free_cpu.free_cpu_val,
          .free_count = load->free_cpu.free_cpu_len,
          .total_cpu = (int64_t)load->total_cpu,
          .backlog = (int64_t)load->backlog,
          .slowdown = load->slowdown_permille / 1000.0,
          .endpoint_digest = load->endpoint_digest };

  if (snipe_node_decode_pool (&id, &load->pool)
      && snipe_members_is_live (node->members, load->incarnation))
    snipe_coordinator_update_load (node->coordinator, &view, now);
}

/* A host with more classes of urgency counts as one with ours: what waits in
 * its last ones is added up. */
static void
on_waiting (struct snipe_node *node, const link_waiting *from)
{
  int64_t waiting[SNIPE_URGENCY_CLASSES] = { 0 };
  struct snipe_pool_id id;

  if (!snipe_node_decode_pool (&id, &from->pool)
      || !snipe_members_is_live (node->members, from->incarnation))
    return;
  for (u_int i = 0; i < from->work.work_len; i++)
    {
      int64_t *sum = &waiting[snipe_urgency_class (i)];

      *sum += (int64_t)MIN (from->work.work_val[i],
                            (u_quad_t)(INT64_MAX - *sum));
    }
  snipe_coordinator_update_waiting (node->coordinator, &id, from->incarnation,
                                    from->token, waiting);
}

/* Rejects a batch whose coordinator does not know that its job was cancelled,
 * and tells it. */
static void
reject_cancelled_batch (struct snipe_node *node, const link_batch *batch,
                        snipe_time now)
{
  struct snipe_link_message message
      = { .procedure = LINK_SEND_CANCEL_JOB,
          .args.cancel_job = { .job = batch->job } };

  snipe_node_log (node,
                  "event=batch_cancelled_before job=%s "
                  "batch=%" G_GUINT64_FORMAT
                  " coordinator=%016" G_GINT64_MODIFIER "x",
                  batch->job, batch->number, batch->coordinator);
  /* First, so that the job is answered as a cancelled one. */
  if (snipe_node_send_to (node, batch->coordinator, &message) < 0)
    snipe_node_log (node, "event=cancel_job_unsent job=%s reason=\"%s\"",
                    batch->job, snipe_status_last ());
  snipe_node_cancel_batch (node, batch->coordinator, batch->number, now);
}

static void
on_batch (struct snipe_node *node, const link_batch *from, bool held,
          snipe_time now)
{
  struct snipe_pool_id id;
  snipe_time delay;
  snipe_time handled;
  struct snipe_pool_batch batch
      = { .coordinator = from->coordinator,
          .number = from->number,
          .attempt = from->attempt,
          .job = from->job,
          .step = from->step,
          .route = from->route,
          .spec = { .data = from->spec.spec_val, .len = from->spec.spec_len },
          .indexes = from->indexes.indexes_val,
          .count = from->indexes.indexes_len,
          .task_resources
          = { .cpu = from->cpu, .mem_mb = from->mem_mb, .gpu = from->gpu },
          .label = from->label,
          .rack = from->rack,
          .max_per_endpoint = from->max_per_endpoint,
          .priority = from->priority,
          .attempts = from->attempts,
          .estimate = from->estimate_ms * SNIPE_MS,
          .soft_deadline = now + from->soft_deadline_ms * SNIPE_MS,
          .hard_deadline = now + from->hard_deadline_ms * SNIPE_MS,
          .caller_deadline = now + from->caller_deadline_ms * SNIPE_MS,
          .declinable = from->attempt == SNIPE_POOL_DECLINABLE_ATTEMPT,
          .held = held,
          .resent = from->resent,
          .endpoint_digest = from->endpoint_digest,
          .group = from->group };

  if (!snipe_node_decode_pool (&id, &from->pool))
    {
      snipe_node_reject_batch (node, &batch, SNIPE_E_INVALID);
      return;
    }
  if (snipe_cancelled_jobs_contains (node->cancelled_jobs, from->job, now))
    {
      reject_cancelled_batch (node, from, now);
      return;
    }
  handled = decode_handled (from->sent_us, from->unhandled_us);
  delay = snipe_members_delay (node->members, from->coordinator,
                               snipe_node_decode_sent (from->sent_us), now);
  batch.sent_at
      = snipe_members_local_time (node->members, from->coordinator,
                                  snipe_node_decode_sent (from->sent_us), now);
  /* Nothing is started for it while the time is unknown. */
  batch.handled_at = MAX (snipe_members_local_time (
                              node->members, from->coordinator, handled, now),
                          1);
  if (delay <= BATCH_DELAY_MAX)
    snipe_node_accept_batch (node, &id, &batch, now);
  else
    {
      snipe_node_log (node,
                      "event=batch_late job=%s delay_ms=%" G_GINT64_FORMAT,
                      from->job, delay / SNIPE_MS);
      if (!from->resent)
        snipe_node_reject_batch (node, &batch, SNIPE_E_DEADLINE);
    }
}

static void
on_result (struct snipe_node *node, uint64_t sender, const link_result *from,
           snipe_time now)
{
  struct snipe_pool_result result
      = { .coordinator = from->coordinator,
          .number = from->number,
          .attempt = from->attempt,
          .job = "",
          .outcomes = from->outcomes.outcomes_val,
          .count = from->outcomes.outcomes_len,
          .code = from->code,
          .retry_after = from->retry_after_ms * SNIPE_MS };

  if (from->coordinator == node->incarnation)
    snipe_node_handle_result (node, sender, &result, now);
}

static void
on_drain (struct snipe_node *node, const link_drain *drain)
{
  struct snipe_pool_id id;
  struct owned_pool *pool = NULL;

  if (snipe_node_decode_pool (&id, &drain->pool))
    pool = snipe_node_find_pool (node, &id);
  if (pool == NULL)
    return;
  snipe_node_log (node, "event=endpoint id=%s state=draining source=peer",
                  drain->endpoint);
  snipe_pool_endpoint_drain (pool->pool, drain->endpoint, drain->started_ms);
}

static void
on_endpoint_changes (struct snipe_node *node, uint64_t incarnation,
                     const link_endpoint_changes *changes, snipe_time now)
{
  const struct snipe_str rows
      = { .data = changes->rows.rows_val, .len = changes->rows.rows_len };
  snipe_time delay
      = snipe_members_delay (node->members, incarnation,
                             snipe_node_decode_sent (changes->sent_us), now);
  uint64_t revision = node->directory_revision;
  bool taken;

  /* The sender has checked the age of the store's answer, so only the delay of
   * the message counts here. */
  if (!snipe_directory_sync_is_fresh (now, delay, now))
    return;
  node->applying_relay = true;
  taken = node->options.callbacks.apply_endpoint_changes (
      node->options.callbacks.ctx, changes->after_version,
      changes->new_version, &rows);
  node->applying_relay = false;
  if (!taken)
    return;
  node->last_relay = now;
  snipe_node_list_read (node, now - delay - SNIPE_DIRECTORY_RELAY_AGE_MAX);
  if (node->directory_revision != revision)
    snipe_node_split_pools (node, now);
}

static void
on_config_request (struct snipe_node *node, uint64_t incarnation,
                   const link_config_request *request)
{
  struct snipe_str text = SNIPE_STR_INIT;
  uint64_t version = 0;

  node->options.callbacks.get_config (node->options.callbacks.ctx, &version,
                                      &text);
  if (version > request->have_version && text.len > 0)
    {
      struct snipe_link_message message
          = { .procedure = LINK_SEND_CONFIG,
              .args.config = { .config_version = version,
                               .store_version = node->store_version,
                               .config = { .config_len = (u_int)text.len,
                                           .config_val = text.data } } };

      snipe_node_send_to (node, incarnation, &message);
    }
  snipe_str_clear (&text);
}

void
snipe_node_received (void *ctx, uint64_t incarnation,
                     const struct snipe_link_message *message)
{
  struct snipe_node *node = ctx;
  snipe_time now = snipe_clock_now ();

  /* A host that was counted as lost must send a heartbeat first: any other
   * message of it could revive work that was abandoned. */
  if (message->procedure != LINK_SEND_HEARTBEAT
      && !snipe_members_is_live (node->members, incarnation))
    return;
  snipe_node_tick_after_pause (node, now);
  snipe_members_message_received (node->members, incarnation, now);
  switch (message->procedure)
    {
    case LINK_SEND_HEARTBEAT:
      on_heartbeat (node, &message->args.heartbeat, now);
      break;
    case LINK_SEND_LOAD:
      on_load (node, &message->args.load, now);
      break;
    case LINK_SEND_WAITING:
      on_waiting (node, &message->args.waiting);
      break;
    case LINK_SEND_BATCH:
      on_batch (node, &message->args.batch, false, now);
      break;
    case LINK_SEND_HELD_BATCH:
      on_batch (node, &message->args.batch, true, now);
      break;
    case LINK_SEND_GRANT:
      snipe_node_on_grant (node, incarnation, &message->args.batch_id, now);
      break;
    case LINK_SEND_COMMIT:
      snipe_node_commit_batch (node, message->args.batch_id.coordinator,
                               message->args.batch_id.number, now);
      break;
    case LINK_SEND_RESULT:
      on_result (node, incarnation, &message->args.result, now);
      break;
    case LINK_SEND_CANCEL:
      snipe_node_cancel_batch (node, message->args.cancel.coordinator,
                               message->args.cancel.number, now);
      break;
    case LINK_SEND_CANCEL_JOB:
      snipe_cancelled_jobs_add (node->cancelled_jobs,
                                message->args.cancel_job.job, false, now);
      snipe_coordinator_cancel (node->coordinator,
                                message->args.cancel_job.job, now);
      break;
    case LINK_SEND_DRAIN:
      on_drain (node, &message->args.drain);
      break;
    case LINK_SEND_ENDPOINT_CHANGES:
      on_endpoint_changes (node, incarnation, &message->args.endpoint_changes,
                           now);
      break;
    case LINK_SEND_LOSSES:
      snipe_node_on_losses (node, &message->args.losses, now);
      break;
    case LINK_SEND_LIST_REQUEST:
      snipe_node_on_list_request (node, incarnation,
                                  &message->args.list_request, now);
      break;
    case LINK_SEND_LIST:
      snipe_node_on_list (node, incarnation, &message->args.list, now);
      break;
    case LINK_SEND_EVACUATION:
      snipe_node_on_evacuation (node, &message->args.evacuation, now);
      break;
    case LINK_SEND_CONFIG_REQUEST:
      on_config_request (node, incarnation, &message->args.config_request);
      break;
    case LINK_SEND_CONFIG:
      {
        const link_config *from = &message->args.config;
        struct snipe_str text = { .data = from->config.config_val,
                                  .len = from->config.config_len };

        node->options.callbacks.apply_peer_config (
            node->options.callbacks.ctx, from->config_version, &text);
        break;
      }
    default:
      break;
    }
  snipe_node_process_local_queue (node, now);
}

void
snipe_node_link_closed (void *ctx, uint64_t incarnation)
{
  struct snipe_node *node = ctx;

  snipe_members_suspect (node->members, incarnation, snipe_clock_now ());
  node->heartbeat_check_due = 0;
  /* The host may be live although batches in transit on the connection are
   * lost. */
  snipe_coordinator_resend (node->coordinator, incarnation);
  snipe_node_process_local_queue (node, snipe_clock_now ());
}

void
snipe_node_link_opened (void *ctx, const char *address)
{
  struct snipe_node *node = ctx;
  const struct snipe_member *member
      = snipe_members_find_by_address (node->members, address);
  snipe_time now = snipe_clock_now ();

  snipe_node_send_heartbeat (node, address,
                             member == NULL ? 0 : member->incarnation, now);
  /* Messages on the previous connection may be lost. A host that is not live
   * gets the jobs when it is heard. */
  if (member == NULL)
    return;
  resend_cancelled_jobs (node, address, CANCELLED_JOB_RESEND_AGE, now);
  snipe_node_resend_losses (node, address, 0, now);
  snipe_node_send_evacuations (node, address);
  send_loads_to (node, address, now);
}

void
snipe_node_link_refused (void *ctx, const char *address)
{
  struct snipe_node *node = ctx;

  snipe_members_address_refused (node->members, address, snipe_clock_now ());
}
