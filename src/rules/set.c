#include "rules/set.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

const struct snipe_str snipe_rule_any_kind
    = { .data = (char[]){ "*" }, .len = 1 };

const struct snipe_str *
snipe_rule_task_kind (const struct snipe_rule *rule)
{
  switch (rule->kind)
    {
    case SNIPE_RULE_ALLOW:
      return &rule->u.allow.task_kind;
    case SNIPE_RULE_RETRY:
      return &rule->u.retry.task_kind;
    case SNIPE_RULE_LIMIT:
    case SNIPE_RULE_QUEUE:
    case SNIPE_RULE_WEIGHT:
      break;
    }
  return NULL;
}

/* FNV-1a, continued from the hash of the preceding parts. */
static guint
hash_bytes (guint hash, const struct snipe_str *str)
{
  for (size_t i = 0; i < str->len; i++)
    hash = (hash ^ (unsigned char)str->data[i]) * 16777619U;
  return hash;
}

static guint
hash_rule (gconstpointer key)
{
  const struct snipe_rule *rule = key;
  const struct snipe_str *task_kind = snipe_rule_task_kind (rule);
  guint hash = (2166136261U ^ (guint)rule->kind) * 16777619U;

  hash = hash_bytes (hash, &rule->team);
  return task_kind == NULL ? hash : hash_bytes (hash, task_kind);
}

static gboolean
same_key (gconstpointer left, gconstpointer right)
{
  const struct snipe_rule *a = left;
  const struct snipe_rule *b = right;
  const struct snipe_str *task_kind = snipe_rule_task_kind (a);

  return a->kind == b->kind && snipe_str_equal (&a->team, &b->team)
         && (task_kind == NULL
             || snipe_str_equal (task_kind, snipe_rule_task_kind (b)));
}

struct snipe_rules *
snipe_rules_new (uint32_t lines)
{
  struct snipe_rules *rules = calloc (1, sizeof *rules);

  if (rules == NULL)
    return NULL;
  rules->lines = calloc (lines, sizeof *rules->lines);
  if (rules->lines == NULL)
    {
      free (rules);
      return NULL;
    }
  rules->refs = 1;
  rules->by_key = g_hash_table_new (hash_rule, same_key);
  return rules;
}

void
snipe_rule_clear (struct snipe_rule *rule)
{
  snipe_str_clear (&rule->team);
  snipe_str_clear (&rule->requester);
  snipe_str_clear (&rule->note);
  if (rule->kind == SNIPE_RULE_RETRY)
    snipe_str_clear (&rule->u.retry.task_kind);
  if (rule->kind != SNIPE_RULE_ALLOW)
    return;
  snipe_str_clear (&rule->u.allow.task_kind);
  for (uint32_t i = 0; i < rule->u.allow.domain_count; i++)
    snipe_str_clear (&rule->u.allow.domains[i]);
  free (rule->u.allow.domains);
}

struct snipe_rules *
snipe_rules_ref (struct snipe_rules *rules)
{
  ck_pr_inc_uint (&rules->refs);
  return rules;
}

void
snipe_rules_unref (struct snipe_rules *rules)
{
  bool last;

  if (rules == NULL)
    return;
  /* Reads made through this reference must complete before the thread that
   * drops the last reference frees the set. */
  ck_pr_fence_release ();
  ck_pr_dec_uint_zero (&rules->refs, &last);
  if (!last)
    return;
  ck_pr_fence_acquire ();
  for (uint32_t i = 0; i < rules->count; i++)
    snipe_rule_clear (&rules->lines[i]);
  free (rules->lines);
  g_hash_table_destroy (rules->by_key);
  snipe_str_clear (&rules->text);
  free (rules);
}

uint64_t
snipe_rules_version (const struct snipe_rules *rules)
{
  return rules->version;
}

const struct snipe_str *
snipe_rules_text (const struct snipe_rules *rules)
{
  return &rules->text;
}

const struct snipe_rule *
snipe_rules_lines (const struct snipe_rules *rules, uint32_t *count)
{
  *count = rules->count;
  return rules->lines;
}

const struct snipe_rule *
snipe_rules_find (const struct snipe_rules *rules, enum snipe_rule_kind verb,
                  const struct snipe_str *team,
                  const struct snipe_str *task_kind)
{
  struct snipe_rule probe = { .kind = verb, .team = *team };

  if (verb == SNIPE_RULE_ALLOW)
    probe.u.allow.task_kind = *task_kind;
  else if (verb == SNIPE_RULE_RETRY)
    probe.u.retry.task_kind = *task_kind;
  return g_hash_table_lookup (rules->by_key, &probe);
}

/* The parser rejects a rule for one kind after the team's kind=* rule, so a
 * rule for exactly this kind is always the first that matches. */
static const struct snipe_rule *
find_first (const struct snipe_rules *rules, enum snipe_rule_kind verb,
            const struct snipe_str *team, const struct snipe_str *task_kind)
{
  const struct snipe_rule *rule
      = snipe_rules_find (rules, verb, team, task_kind);

  return rule != NULL
             ? rule
             : snipe_rules_find (rules, verb, team, &snipe_rule_any_kind);
}

const struct snipe_rule *
snipe_rules_allow (const struct snipe_rules *rules,
                   const struct snipe_str *team, const struct snipe_str *kind)
{
  return find_first (rules, SNIPE_RULE_ALLOW, team, kind);
}

const struct snipe_rule *
snipe_rules_retry (const struct snipe_rules *rules,
                   const struct snipe_str *team, const struct snipe_str *kind)
{
  return find_first (rules, SNIPE_RULE_RETRY, team, kind);
}

const struct snipe_rule *
snipe_rules_limit (const struct snipe_rules *rules,
                   const struct snipe_str *team)
{
  return snipe_rules_find (rules, SNIPE_RULE_LIMIT, team, NULL);
}

const struct snipe_rule *
snipe_rules_queue (const struct snipe_rules *rules,
                   const struct snipe_str *team)
{
  return snipe_rules_find (rules, SNIPE_RULE_QUEUE, team, NULL);
}

const struct snipe_rule *
snipe_rules_weight (const struct snipe_rules *rules,
                    const struct snipe_str *team)
{
  return snipe_rules_find (rules, SNIPE_RULE_WEIGHT, team, NULL);
}

bool
snipe_rule_admits_domain (const struct snipe_rule *rule,
                          const struct snipe_str *domain)
{
  if (rule->u.allow.domain_count == 0)
    return true;
  for (uint32_t i = 0; i < rule->u.allow.domain_count; i++)
    if (snipe_str_equal (&rule->u.allow.domains[i], domain))
      return true;
  return false;
}
