#include <string.h>

#include "sched_private.h"
#include "snipe/status.h"

uint64_t
sched_random (struct snipe_sched *sched)
{
  uint64_t z;

  /* splitmix64 */
  sched->random_state += UINT64_C (0x9e3779b97f4a7c15);
  z = sched->random_state;
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

void
sched_team_update_load (struct sched_team *team)
{
  team->load_per_weight = (double)team->active / team->weight;
}

static guint
class_key_hash (gconstpointer data)
{
  const struct sched_task_class_key *key = data;
  uint64_t hash = key->domains * UINT64_C (0x9e3779b97f4a7c15);

  hash ^= key->needs.cores + ((uint64_t)key->needs.mem_mb << 20)
          + ((uint64_t)key->needs.accel << 10);
  hash ^= (uint64_t)key->offloadable << 61 | (uint64_t)key->idempotent << 62
          | (uint64_t)key->counts_against_quota << 63;
  hash *= UINT64_C (0xbf58476d1ce4e5b9);
  return (guint)(hash >> 32);
}

static gboolean
class_key_equal (gconstpointer a, gconstpointer b)
{
  const struct sched_task_class_key *x = a;
  const struct sched_task_class_key *y = b;

  return x->domains == y->domains && x->needs.cores == y->needs.cores
         && x->needs.mem_mb == y->needs.mem_mb
         && x->needs.accel == y->needs.accel
         && x->offloadable == y->offloadable && x->idempotent == y->idempotent
         && x->counts_against_quota == y->counts_against_quota;
}

int
snipe_sched_new (struct snipe_sched **out,
                 const struct snipe_sched_options *options)
{
  struct snipe_sched *sched;

  *out = NULL;
  if (options->version != SNIPE_SCHED_OPTIONS_VERSION
      || options->offload_min_speedup < 0 || options->suspend_min <= 0
      || options->suspend_max < options->suspend_min)
    return snipe_status_set (SNIPE_E_INVALID, "invalid scheduler options");
  sched = g_new0 (struct snipe_sched, 1);
  sched->options = *options;
  sched->team_ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sched->kind_ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sched->domain_ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sched->endpoints_by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sched->task_classes_by_key
      = g_hash_table_new (class_key_hash, class_key_equal);
  sched->teams = g_array_new (FALSE, TRUE, sizeof (struct sched_team));
  sched->kinds
      = g_array_new (FALSE, TRUE, sizeof (struct sched_kind_estimate));
  sched->peers = g_array_new (FALSE, TRUE, sizeof (struct sched_peer));
  sched->endpoints = g_ptr_array_new ();
  sched->task_classes = g_ptr_array_new ();
  sched->probe_ready_endpoints = g_ptr_array_new ();
  sched->random_state = options->seed;
  sched->starvation_check_at = INT64_MAX;
  *out = sched;
  return SNIPE_OK;
}

void
snipe_sched_free (struct snipe_sched *sched)
{
  if (sched == NULL)
    return;
  while (sched->endpoints->len > 0)
    sched_endpoint_free (sched, g_ptr_array_index (sched->endpoints, 0));
  for (guint i = 0; i < sched->teams->len; i++)
    {
      struct sched_team *team = sched_team_at (sched, i);

      for (guint j = 0; j < team->class_queues->len; j++)
        {
          struct sched_class_queue *queue
              = g_ptr_array_index (team->class_queues, j);

          g_free (queue->subgroups.nodes);
          g_free (queue);
        }
      g_ptr_array_free (team->class_queues, TRUE);
    }
  for (guint i = 0; i < sched->task_classes->len; i++)
    g_free (g_ptr_array_index (sched->task_classes, i));
  for (uint32_t i = 0; i < SCHED_DOMAINS_MAX; i++)
    g_free (sched->domains[i]);
  g_hash_table_destroy (sched->team_ids);
  g_hash_table_destroy (sched->kind_ids);
  g_hash_table_destroy (sched->domain_ids);
  g_hash_table_destroy (sched->endpoints_by_name);
  g_hash_table_destroy (sched->task_classes_by_key);
  g_array_free (sched->teams, TRUE);
  g_array_free (sched->kinds, TRUE);
  g_array_free (sched->peers, TRUE);
  g_ptr_array_free (sched->endpoints, TRUE);
  g_ptr_array_free (sched->task_classes, TRUE);
  g_ptr_array_free (sched->probe_ready_endpoints, TRUE);
  g_free (sched->timers.nodes);
  g_free (sched->expiries.nodes);
  g_free (sched);
}

/* Interns a name and takes ownership of it. @return its id, from 0 on. */
static uint32_t
intern (GHashTable *ids, char *name, bool *added)
{
  gpointer value;
  uint32_t id = g_hash_table_size (ids);

  *added = !g_hash_table_lookup_extended (ids, name, NULL, &value);
  if (!*added)
    {
      g_free (name);
      return GPOINTER_TO_UINT (value);
    }
  g_hash_table_insert (ids, name, GUINT_TO_POINTER (id));
  return id;
}

uint32_t
snipe_sched_team (struct snipe_sched *sched, const struct snipe_str *team)
{
  bool added;
  uint32_t id
      = intern (sched->team_ids, g_strdup (snipe_str_c (team)), &added);

  if (added)
    {
      struct sched_team entry = {
        .weight = 1,
        .share = UINT32_MAX,
        .class_queues = g_ptr_array_new (),
      };

      g_array_append_val (sched->teams, entry);
    }
  return id;
}

uint32_t
snipe_sched_kind (struct snipe_sched *sched, const struct snipe_str *team,
                  const struct snipe_str *kind)
{
  bool added;
  /* Without the separator ("a", "bc") and ("ab", "c") would be one kind. */
  char *name
      = g_strdup_printf ("%s\x1f%s", snipe_str_c (team), snipe_str_c (kind));
  uint32_t id = intern (sched->kind_ids, name, &added);

  if (added)
    {
      struct sched_kind_estimate entry
          = { .log_factor = sched->kinds_log_mean };

      g_array_append_val (sched->kinds, entry);
    }
  return id;
}

uint64_t
snipe_sched_domain (struct snipe_sched *sched, const struct snipe_str *domain)
{
  bool added;
  uint32_t id;

  if (g_hash_table_size (sched->domain_ids) == SCHED_DOMAINS_MAX
      && !g_hash_table_contains (sched->domain_ids, snipe_str_c (domain)))
    return 0;
  id = intern (sched->domain_ids, g_strdup (snipe_str_c (domain)), &added);
  if (added)
    sched->domains[id] = g_new0 (struct sched_domain, 1);
  return UINT64_C (1) << id;
}

void
snipe_sched_team_weight (struct snipe_sched *sched, uint32_t team,
                         uint32_t weight)
{
  struct sched_team *entry = sched_team_at (sched, team);

  entry->weight = MAX (weight, 1);
  sched_team_update_load (entry);
}

void
snipe_sched_team_share (struct snipe_sched *sched, uint32_t team,
                        uint32_t share)
{
  sched_team_at (sched, team)->share = share;
}

void
snipe_sched_team_usage (const struct snipe_sched *sched, uint32_t team,
                        uint32_t *running, uint32_t *queued)
{
  const struct sched_team *entry = sched_team_at (sched, team);

  *running = entry->quota_used;
  *queued = entry->quota_queued;
}

static void
release_task (struct snipe_sched *sched, struct snipe_task_group *group,
              struct sched_task *entry)
{
  struct sched_team *team = sched_team_at (sched, group->team);

  entry->state = SNIPE_TASK_ENDED;
  entry->endpoint = NULL;
  team->active--;
  if (group->counts_against_quota)
    team->quota_used--;
  sched_team_update_load (team);
  sched_group_reduce_remaining (group, (double)entry->expected_us);
}

void
snipe_sched_task_end (struct snipe_sched *sched,
                      struct snipe_task_group *group, uint32_t task,
                      enum snipe_attempt_outcome outcome, snipe_time duration,
                      snipe_time now)
{
  struct sched_task *entry = &group->tasks[task];
  struct snipe_sched_endpoint *endpoint = entry->endpoint;
  const struct sched_task_class *task_class;

  if (entry->state != SNIPE_TASK_RUNNING)
    return;
  task_class
      = sched_group_subgroups (group)[entry->subgroup].class_queue->task_class;
  release_task (sched, group, entry);
  if (entry->probe)
    endpoint->probe_running = false;
  switch (outcome)
    {
    case SNIPE_ATTEMPT_OK:
      sched_learn_update (sched, endpoint, entry->kind,
                          (double)entry->declared_us, duration);
      sched_health_record (sched, endpoint, false, entry->probe, now);
      break;
    case SNIPE_ATTEMPT_FAILED:
    case SNIPE_ATTEMPT_LOST:
    case SNIPE_ATTEMPT_NOT_CONNECTED:
      sched_health_record (sched, endpoint, true, entry->probe, now);
      break;
    case SNIPE_ATTEMPT_REFUSED_FULL:
      endpoint->full_until = now + sched->options.full_backoff;
      if (endpoint->probe_ready)
        {
          endpoint->probe_at = endpoint->full_until;
          sched_health_set_probe_ready (sched, endpoint, false);
        }
      sched_endpoint_set_timer (sched, endpoint);
      break;
    case SNIPE_ATTEMPT_REFUSED_DRAINING:
      endpoint->info.draining = true;
      endpoint->reported_draining = true;
      break;
    default:
      break;
    }
  sched_endpoint_release (sched, endpoint, &task_class->key.needs, now);
}

void
snipe_sched_offload_end (struct snipe_sched *sched,
                         struct snipe_task_group *group, uint32_t task,
                         snipe_time now)
{
  (void)now;
  if (group->tasks[task].state == SNIPE_TASK_OFFLOADED)
    release_task (sched, group, &group->tasks[task]);
}

const char *
snipe_reason_name (enum snipe_reason reason)
{
  switch (reason)
    {
    case SNIPE_REASON_FASTEST_FREE:
      return "fastest-free";
    case SNIPE_REASON_IN_TIME:
      return "slowest-in-time";
    case SNIPE_REASON_PROBE:
      return "probe";
    case SNIPE_REASON_HOME_FULL:
      return "home-full";
    case SNIPE_REASON_PEER_FASTER:
      return "peer-faster";
    case SNIPE_REASON_TOO_SLOW:
      return "too-slow";
    case SNIPE_REASON_WAITED:
      return "waited";
    case SNIPE_REASON_BASELINE:
      return "baseline";
    default:
      return "unknown";
    }
}
