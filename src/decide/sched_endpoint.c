#include <math.h>
#include <string.h>

#include "sched_private.h"
#include "snipe/status.h"

int
sched_speed_bucket (double log_speed)
{
  int bucket = (int)floor (log_speed / SCHED_SPEED_BUCKET_WIDTH)
               + SCHED_SPEED_BUCKETS / 2;

  return CLAMP (bucket, 0, SCHED_SPEED_BUCKETS - 1);
}

static void
free_index_insert (struct snipe_sched *sched,
                   struct snipe_sched_endpoint *endpoint, int bucket)
{
  struct sched_domain *domain = sched->domains[endpoint->domain];

  endpoint->free_bucket = bucket;
  endpoint->next = NULL;
  endpoint->prev = domain->tail[bucket];
  if (endpoint->prev != NULL)
    endpoint->prev->next = endpoint;
  else
    domain->head[bucket] = endpoint;
  domain->tail[bucket] = endpoint;
  domain->bucket_bitmap[bucket / 64] |= UINT64_C (1) << (bucket % 64);
  sched->domains_free |= endpoint->domain_bit;
}

static void
free_index_remove (struct snipe_sched *sched,
                   struct snipe_sched_endpoint *endpoint)
{
  struct sched_domain *domain = sched->domains[endpoint->domain];
  int bucket = endpoint->free_bucket;
  uint64_t any = 0;

  endpoint->free_bucket = -1;
  if (endpoint->prev != NULL)
    endpoint->prev->next = endpoint->next;
  else
    domain->head[bucket] = endpoint->next;
  if (endpoint->next != NULL)
    endpoint->next->prev = endpoint->prev;
  else
    domain->tail[bucket] = endpoint->prev;
  if (domain->head[bucket] != NULL)
    return;
  domain->bucket_bitmap[bucket / 64] &= ~(UINT64_C (1) << (bucket % 64));
  for (int i = 0; i < SCHED_SPEED_BITMAP_WORDS; i++)
    any |= domain->bucket_bitmap[i];
  if (any == 0)
    sched->domains_free &= ~endpoint->domain_bit;
}

bool
sched_endpoint_usable (const struct snipe_sched_endpoint *endpoint,
                       snipe_time now)
{
  return !endpoint->removed && !endpoint->info.draining && !endpoint->suspended
         && endpoint->full_until <= now;
}

bool
sched_endpoint_could_hold (const struct snipe_sched_endpoint *endpoint,
                           const struct sched_task_class_key *key)
{
  const struct snipe_endpoint_info *info = &endpoint->info;

  return (key->domains & endpoint->domain_bit) != 0
         && (info->cores == 0 || key->needs.cores <= info->cores)
         && (info->mem_mb == 0 || key->needs.mem_mb <= info->mem_mb)
         && key->needs.accel <= info->accel;
}

bool
sched_endpoint_can_hold (const struct snipe_sched_endpoint *endpoint,
                         const struct sched_task_class_key *key)
{
  return (key->domains & endpoint->domain_bit) != 0
         && endpoint->running < endpoint->slots
         && (int64_t)key->needs.cores <= endpoint->cores_left
         && (int64_t)key->needs.mem_mb <= endpoint->mem_left
         && (int64_t)key->needs.accel <= endpoint->accel_left;
}

static void
update_domain_live (struct snipe_sched *sched,
                    struct snipe_sched_endpoint *endpoint, bool live)
{
  uint32_t *count = &sched->domain_live[endpoint->domain];

  if (endpoint->live_counted == live)
    return;
  endpoint->live_counted = live;
  *count += live ? 1U : UINT32_MAX;
  if (*count > 0)
    sched->domains_live |= endpoint->domain_bit;
  else
    sched->domains_live &= ~endpoint->domain_bit;
}

void
sched_endpoint_update_index (struct snipe_sched *sched,
                             struct snipe_sched_endpoint *endpoint,
                             snipe_time now)
{
  bool usable = sched_endpoint_usable (endpoint, now);
  bool full = endpoint->running >= endpoint->slots;
  uint32_t counted = 0;
  int bucket = -1;

  update_domain_live (sched, endpoint,
                      !endpoint->removed && !endpoint->info.draining);
  if (endpoint->reserved_for != NULL && !usable)
    sched_endpoint_unreserve (sched, endpoint, now);
  if (usable && !full && endpoint->reserved_for == NULL)
    {
      counted = endpoint->slots - endpoint->running;
      bucket = sched_speed_bucket (endpoint->log_speed);
    }
  sched->free_slots += counted - endpoint->free_slots_counted;
  endpoint->free_slots_counted = counted;
  if (bucket == endpoint->free_bucket)
    return;
  if (endpoint->free_bucket >= 0)
    free_index_remove (sched, endpoint);
  if (bucket >= 0)
    free_index_insert (sched, endpoint, bucket);
}

void
sched_endpoint_unblock_classes (struct snipe_sched *sched,
                                struct snipe_sched_endpoint *endpoint,
                                snipe_time now)
{
  bool probe = endpoint->probe_ready && !endpoint->probe_running;

  if (!probe && !sched_endpoint_usable (endpoint, now))
    return;
  for (guint i = 0; i < sched->task_classes->len; i++)
    {
      struct sched_task_class *task_class
          = g_ptr_array_index (sched->task_classes, i);

      if (!task_class->blocked
          || (endpoint->reserved_for != NULL
              && endpoint->reserved_for != task_class))
        continue;
      /* The baseline policies start tasks at full endpoints too. */
      if (sched_endpoint_can_hold (endpoint, &task_class->key)
          || (sched->options.policy != SNIPE_POLICY_POOLED
              && sched_endpoint_could_hold (endpoint, &task_class->key)))
        sched_task_class_unblock (sched, task_class);
      else if (task_class->starved_since == 0 && task_class->queued > 0
               && task_class->reserved_endpoint == NULL
               && endpoint->running < endpoint->slots
               && sched_endpoint_could_hold (endpoint, &task_class->key))
        {
          task_class->starved_since = now;
          sched->starvation_check_at = MIN (sched->starvation_check_at,
                                            now + SCHED_STARVATION_TIMEOUT);
        }
    }
}

void
sched_endpoint_acquire (struct snipe_sched *sched,
                        struct snipe_sched_endpoint *endpoint,
                        const struct snipe_task_resources *needs,
                        snipe_time now)
{
  endpoint->running++;
  /* Under the baseline policies this may leave less than 0. */
  endpoint->cores_left -= needs->cores;
  endpoint->mem_left -= needs->mem_mb;
  endpoint->accel_left -= needs->accel;
  if (endpoint->reserved_for != NULL)
    sched_endpoint_unreserve (sched, endpoint, now);
  sched_endpoint_update_index (sched, endpoint, now);
}

void
sched_endpoint_free (struct snipe_sched *sched,
                     struct snipe_sched_endpoint *endpoint)
{
  struct snipe_sched_endpoint *last;

  sched_heap_remove (&sched->timers, &endpoint->timer);
  sched_health_set_probe_ready (sched, endpoint, false);
  g_hash_table_remove (sched->endpoints_by_name,
                       snipe_str_c (&endpoint->info.name));
  last = g_ptr_array_index (sched->endpoints, sched->endpoints->len - 1);
  last->index = endpoint->index;
  g_ptr_array_remove_index_fast (sched->endpoints, endpoint->index);
  snipe_str_clear (&endpoint->info.name);
  snipe_str_clear (&endpoint->info.address);
  snipe_str_clear (&endpoint->info.domain);
  snipe_str_clear (&endpoint->info.region);
  snipe_str_clear (&endpoint->info.rack);
  g_free (endpoint);
}

void
sched_endpoint_release (struct snipe_sched *sched,
                        struct snipe_sched_endpoint *endpoint,
                        const struct snipe_task_resources *needs,
                        snipe_time now)
{
  endpoint->running--;
  endpoint->cores_left += needs->cores;
  endpoint->mem_left += needs->mem_mb;
  endpoint->accel_left += needs->accel;
  if (endpoint->removed && endpoint->running == 0)
    {
      sched_endpoint_free (sched, endpoint);
      return;
    }
  sched_endpoint_update_index (sched, endpoint, now);
  sched_endpoint_unblock_classes (sched, endpoint, now);
}

void
sched_endpoint_set_timer (struct snipe_sched *sched,
                          struct snipe_sched_endpoint *endpoint)
{
  sched_heap_remove (&sched->timers, &endpoint->timer);
  if (endpoint->suspended && !endpoint->probe_ready)
    endpoint->timer.key = (double)endpoint->probe_at;
  else if (!endpoint->suspended && endpoint->full_until != 0)
    endpoint->timer.key = (double)endpoint->full_until;
  else
    return;
  sched_heap_push (&sched->timers, &endpoint->timer);
}

void
sched_endpoints_run_timers (struct snipe_sched *sched, snipe_time now)
{
  while (sched->timers.count > 0 && sched->timers.nodes[0]->key <= (double)now)
    {
      struct sched_heap_node *node = sched->timers.nodes[0];
      struct snipe_sched_endpoint *endpoint
          = (struct snipe_sched_endpoint *)((char *)node
                                            - offsetof (
                                                struct snipe_sched_endpoint,
                                                timer));

      sched_heap_remove (&sched->timers, node);
      if (endpoint->suspended)
        sched_health_set_probe_ready (sched, endpoint, !endpoint->removed);
      else
        endpoint->full_until = 0;
      sched_endpoint_update_index (sched, endpoint, now);
      sched_endpoint_unblock_classes (sched, endpoint, now);
    }
}

void
sched_endpoint_reserve (struct snipe_sched *sched,
                        struct snipe_sched_endpoint *endpoint,
                        struct sched_task_class *task_class, snipe_time now)
{
  endpoint->reserved_for = task_class;
  task_class->reserved_endpoint = endpoint;
  sched->reservations++;
  sched_endpoint_update_index (sched, endpoint, now);
  sched_endpoint_unblock_classes (sched, endpoint, now);
}

void
sched_endpoint_unreserve (struct snipe_sched *sched,
                          struct snipe_sched_endpoint *endpoint,
                          snipe_time now)
{
  if (endpoint->reserved_for == NULL)
    return;
  endpoint->reserved_for->reserved_endpoint = NULL;
  endpoint->reserved_for = NULL;
  sched->reservations--;
  sched_endpoint_update_index (sched, endpoint, now);
  sched_endpoint_unblock_classes (sched, endpoint, now);
}

static int
copy_string (struct snipe_str *to, const struct snipe_str *from)
{
  /* Callers keep pointers to the strings, so equal ones are not replaced. */
  if (snipe_str_equal (to, from))
    return SNIPE_OK;
  return snipe_str_set (to, from->data, from->len);
}

static int
copy_info (struct snipe_endpoint_info *to,
           const struct snipe_endpoint_info *from)
{
  int code = copy_string (&to->name, &from->name);

  if (code == SNIPE_OK)
    code = copy_string (&to->address, &from->address);
  if (code == SNIPE_OK)
    code = copy_string (&to->domain, &from->domain);
  if (code == SNIPE_OK)
    code = copy_string (&to->region, &from->region);
  if (code == SNIPE_OK)
    code = copy_string (&to->rack, &from->rack);
  if (code != SNIPE_OK)
    return code;
  to->slots = from->slots;
  to->connections = from->connections;
  to->cores = from->cores;
  to->mem_mb = from->mem_mb;
  to->accel = from->accel;
  to->draining = from->draining;
  return SNIPE_OK;
}

/* A total of 0 cores or MB means that the store's list does not state it; such
 * an endpoint is not limited by it. */
static int64_t
total_or_unlimited (uint32_t total)
{
  return total == 0 ? INT64_MAX / 2 : total;
}

int
snipe_sched_endpoint_set (struct snipe_sched *sched,
                          const struct snipe_endpoint_info *info,
                          snipe_time now)
{
  struct snipe_sched_endpoint *endpoint = g_hash_table_lookup (
      sched->endpoints_by_name, snipe_str_c (&info->name));
  int64_t cores_used = 0;
  int64_t mem_used = 0;
  int64_t accel_used = 0;
  uint64_t bit = snipe_sched_domain (sched, &info->domain);
  int code;

  if (bit == 0)
    return snipe_status_set (SNIPE_E_TOO_LARGE,
                             "endpoint %s: more than %d failure domains",
                             snipe_str_c (&info->name), SCHED_DOMAINS_MAX);
  if (endpoint == NULL)
    {
      endpoint = g_new0 (struct snipe_sched_endpoint, 1);
      endpoint->timer.index = SCHED_HEAP_INDEX_NONE;
      endpoint->free_bucket = -1;
      endpoint->log_speed = sched_learn_initial_log_speed (sched);
      endpoint->speed = (float)exp (endpoint->log_speed);
      endpoint->index = sched->endpoints->len;
      g_ptr_array_add (sched->endpoints, endpoint);
      code = copy_info (&endpoint->info, info);
      g_hash_table_insert (sched->endpoints_by_name,
                           g_strdup (snipe_str_c (&info->name)), endpoint);
    }
  else
    {
      if (endpoint->free_bucket >= 0)
        free_index_remove (sched, endpoint);
      update_domain_live (sched, endpoint, false);
      if (endpoint->removed)
        endpoint->reported_draining = false;
      cores_used
          = total_or_unlimited (endpoint->info.cores) - endpoint->cores_left;
      mem_used
          = total_or_unlimited (endpoint->info.mem_mb) - endpoint->mem_left;
      accel_used = (int64_t)endpoint->info.accel - endpoint->accel_left;
      code = copy_info (&endpoint->info, info);
    }
  endpoint->removed = false;
  if (endpoint->reported_draining)
    endpoint->info.draining = true;
  endpoint->domain_bit = bit;
  endpoint->domain = (uint32_t)__builtin_ctzll (bit);
  endpoint->slots = info->connections == 0
                        ? info->slots
                        : MIN (info->slots, info->connections);
  /* Negative until enough tasks have ended if the totals were lowered. */
  endpoint->cores_left
      = total_or_unlimited (endpoint->info.cores) - cores_used;
  endpoint->mem_left = total_or_unlimited (endpoint->info.mem_mb) - mem_used;
  endpoint->accel_left = (int64_t)endpoint->info.accel - accel_used;
  sched_endpoint_set_timer (sched, endpoint);
  sched_endpoint_update_index (sched, endpoint, now);
  sched_endpoint_unblock_classes (sched, endpoint, now);
  return code;
}

void
snipe_sched_endpoint_drop (struct snipe_sched *sched,
                           const struct snipe_str *name, snipe_time now)
{
  struct snipe_sched_endpoint *endpoint
      = g_hash_table_lookup (sched->endpoints_by_name, snipe_str_c (name));

  if (endpoint == NULL || endpoint->removed)
    return;
  endpoint->removed = true;
  sched_health_set_probe_ready (sched, endpoint, false);
  sched_endpoint_update_index (sched, endpoint, now);
  if (endpoint->running == 0)
    sched_endpoint_free (sched, endpoint);
}

const struct snipe_endpoint_info *
snipe_sched_endpoint_info (const struct snipe_sched_endpoint *endpoint)
{
  return &endpoint->info;
}

void
snipe_sched_endpoint_foreach (
    const struct snipe_sched *sched,
    void (*visit) (void *ctx, const struct snipe_endpoint_status *status),
    void *ctx)
{
  for (guint i = 0; i < sched->endpoints->len; i++)
    {
      const struct snipe_sched_endpoint *endpoint
          = g_ptr_array_index (sched->endpoints, i);
      struct snipe_endpoint_status status = {
        .info = &endpoint->info,
        .running = endpoint->running,
        .speed = endpoint->speed,
        .suspended = endpoint->suspended,
        .probe_at = endpoint->suspended ? endpoint->probe_at : 0,
      };

      if (!endpoint->removed)
        visit (ctx, &status);
    }
}

void
snipe_sched_load_get (const struct snipe_sched *sched, snipe_time now,
                      struct snipe_peer_load *out)
{
  (void)now;
  *out = (struct snipe_peer_load){
    .domains = sched->domains_live,
    .free_slots = sched->free_slots,
    .queued = sched->queued,
  };
  for (uint64_t left = sched->domains_free; left != 0; left &= left - 1)
    {
      const struct sched_domain *domain
          = sched->domains[__builtin_ctzll (left)];
      int word = SCHED_SPEED_BITMAP_WORDS - 1;
      int bucket;

      while (domain->bucket_bitmap[word] == 0)
        word--;
      bucket = word * 64 + 63 - __builtin_clzll (domain->bucket_bitmap[word]);
      out->best_speed = MAX (out->best_speed, domain->head[bucket]->speed);
    }
}
