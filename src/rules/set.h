/**
 * @file set.h
 * Internal representation of a set of rules, filled in by the parser.
 */
#ifndef SNIPE_RULES_SET_H
#define SNIPE_RULES_SET_H

#include <glib.h>
#include <stdint.h>
#include "snipe/rules.h"

struct snipe_rules
{
  unsigned int refs;
  uint64_t version;
  struct snipe_str text;
  struct snipe_rule *lines; /**< never reallocated: by_key points into it */
  uint32_t count;
  GHashTable
      *by_key; /**< set of rules, keyed by verb, team and kind of task */
};

/** Creates an empty set with room for @p lines rules. @return NULL if out of
 * memory. */
struct snipe_rules *snipe_rules_new (uint32_t lines);
/** @return the rule with exactly this verb, team and kind of task, NULL if
 * none.
 * @param task_kind NULL for limit, queue and weight */
const struct snipe_rule *snipe_rules_find (const struct snipe_rules *rules,
                                           enum snipe_rule_kind verb,
                                           const struct snipe_str *team,
                                           const struct snipe_str *task_kind);
/** @return the kind of task of an allow or retry rule, NULL for others. */
const struct snipe_str *snipe_rule_task_kind (const struct snipe_rule *rule);
/** @return the verb of a rule, as written in the file. */
const char *snipe_rule_verb (enum snipe_rule_kind kind);
/** "*", which matches every kind of task. */
extern const struct snipe_str snipe_rule_any_kind;
void snipe_rule_clear (struct snipe_rule *rule);

#endif
