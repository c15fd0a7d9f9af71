#include "engine/private.h"

#include <stdlib.h>
#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

/* Rule sets kept to explain past decisions. */
#define RULE_HISTORY_MAX 64

uint32_t
engine_team_share (struct snipe_engine *engine, const struct snipe_str *team)
{
  gpointer share;

  if (engine->shares_expired
      || !g_hash_table_lookup_extended (engine->quota_shares,
                                        snipe_str_c (team), NULL, &share))
    return 0;
  return GPOINTER_TO_UINT (share);
}

static uint32_t
count_lost_tasks (const struct snipe_engine *engine, uint32_t team)
{
  uint32_t count = 0;

  for (const GList *l = engine->lost_tasks.head; l != NULL; l = l->next)
    count += ((const struct lost_task *)l->data)->team == team;
  return count;
}

/** Sets the slots that the scheduler may use for a team: its share without the
 * slots of lost tasks. */
static void
update_team_share (struct snipe_engine *engine, const struct snipe_str *name)
{
  uint32_t team = snipe_sched_team (engine->sched, name);
  uint32_t share = engine_team_share (engine, name);
  uint32_t lost = count_lost_tasks (engine, team);

  snipe_sched_team_share (engine->sched, team,
                          share > lost ? share - lost : 0);
}

/** Sets the weights and limits of the active rules in the scheduler; with the
 * lock. */
static void
apply_rules (struct snipe_engine *engine, const struct snipe_rules *previous)
{
  const struct snipe_rule *lines;
  uint32_t count;

  if (previous != NULL)
    {
      lines = snipe_rules_lines (previous, &count);
      for (uint32_t i = 0; i < count; i++)
        {
          uint32_t team = snipe_sched_team (engine->sched, &lines[i].team);

          snipe_sched_team_weight (engine->sched, team, 1);
          snipe_sched_team_share (engine->sched, team, UINT32_MAX);
        }
    }
  lines = snipe_rules_lines (engine->rules, &count);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t team = snipe_sched_team (engine->sched, &lines[i].team);

      switch (lines[i].kind)
        {
        case SNIPE_RULE_WEIGHT:
          snipe_sched_team_weight (engine->sched, team,
                                   lines[i].u.weight.value);
          break;
        case SNIPE_RULE_LIMIT:
          update_team_share (engine, &lines[i].team);
          break;
        case SNIPE_RULE_ALLOW:
        case SNIPE_RULE_QUEUE:
        case SNIPE_RULE_RETRY:
          break;
        }
    }
}

static void
add_to_history (struct snipe_engine *engine, struct snipe_rules *rules)
{
  pthread_mutex_lock (&engine->decision_lock);
  g_ptr_array_add (engine->rule_history, snipe_rules_ref (rules));
  if (engine->rule_history->len > RULE_HISTORY_MAX)
    g_ptr_array_remove_index (engine->rule_history, 0);
  pthread_mutex_unlock (&engine->decision_lock);
}

void
engine_on_rules (void *ctx, uint64_t version, const struct snipe_str *text)
{
  struct snipe_engine *engine = ctx;
  struct snipe_rules *rules = NULL;
  struct snipe_rules *old = NULL;
  bool newer;

  if (snipe_rules_parse (&rules, snipe_str_c (text), text->len, version) < 0)
    {
      g_warning ("rules version %" G_GUINT64_FORMAT " cannot be used: %s",
                 (guint64)version, snipe_status_last ());
      return;
    }
  pthread_mutex_lock (&engine->sched_lock);
  newer
      = engine->rules == NULL || version > snipe_rules_version (engine->rules);
  if (newer)
    {
      old = engine->rules;
      engine->rules = snipe_rules_ref (rules);
      apply_rules (engine, old);
    }
  pthread_mutex_unlock (&engine->sched_lock);
  if (newer)
    {
      add_to_history (engine, rules);
      snipe_counter_set (SNIPE_C_RULES_VERSION, version);
      __atomic_store_n (&engine->rules_loaded, 1, __ATOMIC_RELEASE);
      g_message ("rules version %" G_GUINT64_FORMAT " in force",
                 (guint64)version);
      engine_dispatch (engine, snipe_clock_now ());
    }
  snipe_rules_unref (old);
  snipe_rules_unref (rules);
}

void
engine_on_demands (void *ctx, struct snipe_team_demand **out, uint32_t *count)
{
  struct snipe_engine *engine = ctx;
  const struct snipe_rule *lines = NULL;
  struct snipe_team_demand *list;
  uint32_t line_count = 0;
  uint32_t n = 0;

  pthread_mutex_lock (&engine->sched_lock);
  if (engine->rules != NULL)
    lines = snipe_rules_lines (engine->rules, &line_count);
  list = calloc (line_count + 1, sizeof *list);
  for (uint32_t i = 0; list != NULL && i < line_count; i++)
    {
      struct snipe_team_demand *demand = &list[n];
      uint32_t team;

      if (lines[i].kind != SNIPE_RULE_LIMIT)
        continue;
      team = snipe_sched_team (engine->sched, &lines[i].team);
      snipe_str_set (&demand->team, lines[i].team.data, lines[i].team.len);
      demand->limit = lines[i].u.limit.slots;
      snipe_sched_team_usage (engine->sched, team, &demand->running,
                              &demand->queued);
      demand->running += count_lost_tasks (engine, team);
      n++;
    }
  pthread_mutex_unlock (&engine->sched_lock);
  *out = list;
  *count = n;
}

/** Updates the share of every team that has a limit; with the lock. */
static void
update_all_shares (struct snipe_engine *engine)
{
  const struct snipe_rule *lines;
  uint32_t count;

  if (engine->rules == NULL)
    return;
  lines = snipe_rules_lines (engine->rules, &count);
  for (uint32_t i = 0; i < count; i++)
    if (lines[i].kind == SNIPE_RULE_LIMIT)
      update_team_share (engine, &lines[i].team);
}

void
engine_on_shares (void *ctx, const struct snipe_team_share *list,
                  uint32_t count, snipe_time valid_until)
{
  struct snipe_engine *engine = ctx;

  pthread_mutex_lock (&engine->sched_lock);
  g_hash_table_remove_all (engine->quota_shares);
  for (uint32_t i = 0; i < count; i++)
    g_hash_table_insert (engine->quota_shares,
                         g_strdup (snipe_str_c (&list[i].team)),
                         GUINT_TO_POINTER (list[i].share));
  engine->shares_valid_until = valid_until;
  engine->shares_expired = false;
  update_all_shares (engine);
  pthread_mutex_unlock (&engine->sched_lock);
  engine_dispatch (engine, snipe_clock_now ());
}

void
engine_count_lost_task (struct snipe_engine *engine,
                        const struct execution *execution, snipe_time now)
{
  struct lost_task *lost;

  /* The tasks of a received batch count at its coordinator. */
  if (execution->kind != EXECUTION_JOB
      || snipe_rules_limit (engine->rules, &execution->spec->team) == NULL)
    return;
  lost = g_new (struct lost_task, 1);
  lost->team = snipe_sched_team (engine->sched, &execution->spec->team);
  lost->expires_at = now + engine->options.task_duration_max;
  g_queue_push_tail (&engine->lost_tasks, lost);
  update_team_share (engine, &execution->spec->team);
}

static void
expire_lost_tasks (struct snipe_engine *engine, snipe_time now)
{
  const struct lost_task *oldest = g_queue_peek_head (&engine->lost_tasks);
  bool removed = false;

  while (oldest != NULL && now >= oldest->expires_at)
    {
      g_free (g_queue_pop_head (&engine->lost_tasks));
      oldest = g_queue_peek_head (&engine->lost_tasks);
      removed = true;
    }
  if (removed)
    update_all_shares (engine);
}

void
engine_check_shares (struct snipe_engine *engine, snipe_time now)
{
  expire_lost_tasks (engine, now);
  if (engine->shares_expired || now < engine->shares_valid_until
      || g_hash_table_size (engine->quota_shares) == 0)
    return;
  engine->shares_expired = true;
  g_warning ("the lease of this host's quota shares has expired; teams with "
             "a limit start no tasks until it is renewed");
  update_all_shares (engine);
}
