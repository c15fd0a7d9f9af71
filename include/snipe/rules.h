/**
 * @file rules.h
 * The rules file: parsed once per version into an immutable, reference
 * counted set that every decision consults.
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
  struct snipe_str requester; /**< from "# asked by NAME" */
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
      uint32_t slots; /**< slots in use over all hosts */
    } limit;
    struct
    {
      uint32_t max;     /**< waiting tasks per host */
      uint32_t wait_ms; /**< longest wait of a task */
    } queue;
    struct
    {
      struct snipe_str task_kind;
      uint32_t max; /**< starts after the first, idempotent tasks only */
    } retry;
    struct
    {
      uint32_t value; /**< part under contention, default 1 */
    } weight;
  } u;
};

struct snipe_rules;

/**
 * Parses a rules file.
 * @param version version of the table row that held it, 0 if unpublished
 * @return 0, or SNIPE_E_INVALID with a message "line L, column C: ...".
 */
int snipe_rules_parse (struct snipe_rules **out, const char *text, size_t len,
                       uint64_t version);
/** Adds a reference. Thread-safe. */
struct snipe_rules *snipe_rules_ref (struct snipe_rules *rules);
/** Drops a reference; the last one frees. NULL is allowed. Thread-safe. */
void snipe_rules_unref (struct snipe_rules *rules);

uint64_t snipe_rules_version (const struct snipe_rules *rules);
/** @return the text that was parsed; valid as long as the set. */
const struct snipe_str *snipe_rules_text (const struct snipe_rules *rules);
/** @return the lines in file order, and their number. */
const struct snipe_rule *snipe_rules_lines (const struct snipe_rules *rules,
                                            uint32_t *count);

/** @return the first allow line for the work, NULL if none. */
const struct snipe_rule *snipe_rules_allow (const struct snipe_rules *rules,
                                            const struct snipe_str *team,
                                            const struct snipe_str *kind);
/** @return whether allow line @p rule admits @p domain. */
bool snipe_rule_admits_domain (const struct snipe_rule *rule,
                               const struct snipe_str *domain);
/** @return the team's line of that kind, NULL if none. */
const struct snipe_rule *snipe_rules_limit (const struct snipe_rules *rules,
                                            const struct snipe_str *team);
const struct snipe_rule *snipe_rules_queue (const struct snipe_rules *rules,
                                            const struct snipe_str *team);
const struct snipe_rule *snipe_rules_weight (const struct snipe_rules *rules,
                                             const struct snipe_str *team);
/** @return the first retry line for the work, NULL if none. */
const struct snipe_rule *snipe_rules_retry (const struct snipe_rules *rules,
                                            const struct snipe_str *team,
                                            const struct snipe_str *kind);

#endif
