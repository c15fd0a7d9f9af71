/**
 * @file rules.h
 * The rules file: each version is parsed once into an immutable,
 * reference-counted set, in which every scheduling decision looks up its
 * rules.
 */
#ifndef SNIPE_RULES_H
#define SNIPE_RULES_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/str.h"

enum snipe_rule_kind
{
  SNIPE_RULE_ALLOW,
  SNIPE_RULE_LIMIT,
  SNIPE_RULE_QUEUE,
  SNIPE_RULE_RETRY,
  SNIPE_RULE_WEIGHT,
};

/** One line of the rules file. */
struct snipe_rule
{
  enum snipe_rule_kind kind;
  uint32_t line;              /**< 1-based line in the file */
  struct snipe_str team;      /**< never empty */
  struct snipe_str requester; /**< NAME in "# asked by NAME" */
  struct snipe_str note;      /**< rest of the comment, may be empty */
  union
  {
    struct
    {
      struct snipe_str task_kind; /**< "*" matches every kind */
      struct snipe_str *domains;  /**< NULL with count 0: every domain */
      uint32_t domain_count;
    } allow;
    struct
    {
      uint32_t slots; /**< maximum in use, summed over all hosts */
    } limit;
    struct
    {
      uint32_t max;     /**< maximum of waiting tasks per host */
      uint32_t wait_ms; /**< maximum queueing time of a task */
    } queue;
    struct
    {
      struct snipe_str task_kind;
      uint32_t max; /**< retries of a task; idempotent tasks only */
    } retry;
    struct
    {
      uint32_t value; /**< relative share under contention, default 1 */
    } weight;
  } u;
};

struct snipe_rules;

/**
 * Parses a rules file.
 * @param version version of the store row that holds the file, 0 if it is
 * not published
 * @return 0, or SNIPE_E_INVALID with a message "line L, column C: ...".
 */
int snipe_rules_parse (struct snipe_rules **out, const char *text, size_t len,
                       uint64_t version);
/** Adds a reference. Thread-safe. */
struct snipe_rules *snipe_rules_ref (struct snipe_rules *rules);
/** Drops a reference and frees the set with the last one. NULL is allowed.
 * Thread-safe. */
void snipe_rules_unref (struct snipe_rules *rules);

uint64_t snipe_rules_version (const struct snipe_rules *rules);
/** @return the text that was parsed, owned by the set. */
const struct snipe_str *snipe_rules_text (const struct snipe_rules *rules);
/** @return the rules in file order.
 * @param count set to their number */
const struct snipe_rule *snipe_rules_lines (const struct snipe_rules *rules,
                                            uint32_t *count);

/** @return the first allow rule that matches the team and kind of task, NULL
 * if none. */
const struct snipe_rule *snipe_rules_allow (const struct snipe_rules *rules,
                                            const struct snipe_str *team,
                                            const struct snipe_str *kind);
/** @return whether the allow rule @p rule permits @p domain. */
bool snipe_rule_admits_domain (const struct snipe_rule *rule,
                               const struct snipe_str *domain);
/** @return the team's limit, queue or weight rule, NULL if none. */
const struct snipe_rule *snipe_rules_limit (const struct snipe_rules *rules,
                                            const struct snipe_str *team);
const struct snipe_rule *snipe_rules_queue (const struct snipe_rules *rules,
                                            const struct snipe_str *team);
const struct snipe_rule *snipe_rules_weight (const struct snipe_rules *rules,
                                             const struct snipe_str *team);
/** @return the first retry rule that matches the team and kind of task, NULL
 * if none. */
const struct snipe_rule *snipe_rules_retry (const struct snipe_rules *rules,
                                            const struct snipe_str *team,
                                            const struct snipe_str *kind);

#endif
