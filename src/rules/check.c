#include "rules/check.h"

#include "rules/set.h"
#include "util/finding.h"

struct check
{
  GPtrArray *findings;
  const struct snipe_rules *rules;
  /* Names of the teams that an allow rule admits -> their allow rules, const
   * struct snipe_rule. */
  GHashTable *teams;
};

static void
collect_teams (struct check *check)
{
  uint32_t count;
  const struct snipe_rule *rules = snipe_rules_lines (check->rules, &count);

  for (uint32_t i = 0; i < count; i++)
    {
      const char *name = snipe_str_c (&rules[i].team);
      GPtrArray *allow_rules = g_hash_table_lookup (check->teams, name);

      if (rules[i].kind != SNIPE_RULE_ALLOW)
        continue;
      if (allow_rules == NULL)
        {
          allow_rules = g_ptr_array_new ();
          g_hash_table_insert (check->teams, (char *)name, allow_rules);
        }
      g_ptr_array_add (allow_rules, (gpointer)&rules[i]);
    }
}

static void add (const struct check *check, enum snipe_finding_kind kind,
                 const struct snipe_rule *rule, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

static void
add (const struct check *check, enum snipe_finding_kind kind,
     const struct snipe_rule *rule, const char *format, ...)
{
  char *entry
      = g_strdup_printf ("line %u, %s team=%s", rule->line,
                         snipe_rule_verb (rule->kind), rule->team.data);
  char *reason;
  va_list args;

  va_start (args, format);
  reason = g_strdup_vprintf (format, args);
  va_end (args);
  snipe_findings_add (check->findings, kind, entry, "%s", reason);
  g_free (reason);
  g_free (entry);
}

/* @return whether two allow rules admit the same failure domains, which no
 * rule lists twice. */
static bool
same_domains (const struct snipe_rule *a, const struct snipe_rule *b)
{
  if (a->u.allow.domain_count != b->u.allow.domain_count)
    return false;
  for (uint32_t i = 0; i < a->u.allow.domain_count; i++)
    if (!snipe_rule_admits_domain (b, &a->u.allow.domains[i]))
      return false;
  return true;
}

/* @return the team's rule for every kind of task that follows the rule for one
 * kind, NULL if none. */
static const struct snipe_rule *
find_general (const struct check *check, const struct snipe_rule *rule)
{
  const struct snipe_rule *general = snipe_rules_find (
      check->rules, rule->kind, &rule->team, &snipe_rule_any_kind);

  return general == rule ? NULL : general;
}

static void
check_allow (const struct check *check, const struct snipe_rule *rule)
{
  const struct snipe_rule *general = find_general (check, rule);

  if (general != NULL && same_domains (rule, general))
    add (check, SNIPE_FINDING_NO_EFFECT, rule,
         "line %u admits every kind in the same failure domains",
         general->line);
}

/* @return whether each kind of task that the team may run has a retry rule of
 * its own. */
static bool
each_kind_has_retry (const struct check *check, const GPtrArray *allow_rules)
{
  for (guint i = 0; i < allow_rules->len; i++)
    {
      const struct snipe_rule *allow = g_ptr_array_index (allow_rules, i);

      if (snipe_str_equal (&allow->u.allow.task_kind, &snipe_rule_any_kind)
          || snipe_rules_find (check->rules, SNIPE_RULE_RETRY, &allow->team,
                               &allow->u.allow.task_kind)
                 == NULL)
        return false;
    }
  return true;
}

static void
check_retry (const struct check *check, const GPtrArray *allow_rules,
             const struct snipe_rule *rule)
{
  const struct snipe_str *kind = &rule->u.retry.task_kind;
  const struct snipe_rule *general = find_general (check, rule);

  if (snipe_str_equal (kind, &snipe_rule_any_kind))
    {
      if (each_kind_has_retry (check, allow_rules))
        add (check, SNIPE_FINDING_NO_EFFECT, rule,
             "each kind that the team may run has a retry rule of its own");
    }
  else if (snipe_rules_allow (check->rules, &rule->team, kind) == NULL)
    add (check, SNIPE_FINDING_NO_EFFECT, rule,
         "no allow rule admits kind \"%s\" of the team", kind->data);
  else if (general != NULL && general->u.retry.max == rule->u.retry.max)
    add (check, SNIPE_FINDING_NO_EFFECT, rule,
         "line %u sets the same number of retries for every kind",
         general->line);
}

/* The engine refuses a job if the team's waiting tasks and those of the job
 * are more than max. The scheduler takes a wait of 0 as no limit. */
static void
check_queue (const struct check *check, const GPtrArray *allow_rules,
             const struct snipe_rule *rule)
{
  const struct snipe_rule *allow = g_ptr_array_index (allow_rules, 0);

  if (rule->u.queue.max == 0)
    add (check, SNIPE_FINDING_CONFLICT, rule,
         "max=0 refuses every job that line %u admits, wait_ms=%u is never "
         "used",
         allow->line, rule->u.queue.wait_ms);
  else if (rule->u.queue.wait_ms == 0)
    add (check, SNIPE_FINDING_CONFLICT, rule,
         "wait_ms=0 sets no limit to the wait of the %u tasks that may wait",
         rule->u.queue.max);
}

static void
check_rule (const struct check *check, const struct snipe_rule *rule)
{
  const GPtrArray *allow_rules
      = g_hash_table_lookup (check->teams, snipe_str_c (&rule->team));

  if (allow_rules == NULL)
    {
      add (check, SNIPE_FINDING_NO_EFFECT, rule,
           "no allow rule admits the team");
      return;
    }
  switch (rule->kind)
    {
    case SNIPE_RULE_ALLOW:
      check_allow (check, rule);
      break;
    case SNIPE_RULE_QUEUE:
      check_queue (check, allow_rules, rule);
      break;
    case SNIPE_RULE_RETRY:
      check_retry (check, allow_rules, rule);
      break;
    case SNIPE_RULE_WEIGHT:
      if (g_hash_table_size (check->teams) == 1)
        add (check, SNIPE_FINDING_NO_EFFECT, rule,
             "no allow rule admits another team");
      break;
    case SNIPE_RULE_LIMIT:
      break;
    }
}

void
snipe_rules_check (GPtrArray *findings, const struct snipe_rules *rules)
{
  struct check check = {
    .findings = findings,
    .rules = rules,
    .teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                    (GDestroyNotify)g_ptr_array_unref),
  };
  uint32_t count;
  const struct snipe_rule *lines = snipe_rules_lines (rules, &count);

  collect_teams (&check);
  for (uint32_t i = 0; i < count; i++)
    check_rule (&check, &lines[i]);
  g_hash_table_destroy (check.teams);
}
