/**
 * @file set.h
 * A set of rules as the parser builds it.
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
  struct snipe_rule *lines; /**< never moves: by_key points into it */
  uint32_t count;
  GHashTable *by_key; /**< set of lines by verb, team and kind of task */
};

/** Makes an empty set with room for @p lines lines. @return NULL without
 * memory. */
struct snipe_rules *snipe_rules_new (uint32_t lines);
/** @return the line with the verb, team and kind of task, NULL if none.
 * @param task_kind NULL for limit, queue and weight */
const struct snipe_rule *snipe_rules_find (const struct snipe_rules *rules,
                                           enum snipe_rule_kind verb,
                                           const struct snipe_str *team,
                                           const struct snipe_str *task_kind);
/** @return the kind of task of an allow or retry line, NULL for others. */
const struct snipe_str *snipe_rule_task_kind (const struct snipe_rule *rule);
/** "*" as a kind of task. */
extern const struct snipe_str snipe_rule_any_kind;
void snipe_rule_clear (struct snipe_rule *rule);

#endif
