#include "engine/private.h"

#include <stdio.h>
#include <string.h>

#include "snipe/status.h"
#include "util/log.h"

/* The lines are sorted by number. A linear search would visit up to 680 rules
 * for each logged decision. */
const struct snipe_rule *
rule_by_line (const struct snipe_rules *rules, uint32_t line)
{
  const struct snipe_rule *lines;
  uint32_t from = 0;
  uint32_t to;

  if (rules == NULL || line == 0)
    return NULL;
  lines = snipe_rules_lines (rules, &to);
  while (from < to)
    {
      uint32_t middle = from + (to - from) / 2;

      if (lines[middle].line == line)
        return &lines[middle];
      if (lines[middle].line < line)
        from = middle + 1;
      else
        to = middle;
    }
  return NULL;
}

static void
write_line (const struct snipe_engine *engine, const struct decision *decision,
            const struct snipe_rule *rule)
{
  char line[512];
  int len;

  len = snprintf (
      line, sizeof line, "decision=%s job=%s task=%u target=%s reason=%s",
      decision->kind, decision->job, decision->task,
      decision->target[0] == '\0' ? "-" : decision->target, decision->reason);
  if (rule != NULL && len > 0 && (size_t)len < sizeof line)
    snprintf (line + len, sizeof line - (size_t)len,
              " rule_version=%llu rule_line=%u requester=\"%s\"",
              (unsigned long long)decision->rules_version, rule->line,
              snipe_str_c (&rule->requester));
  snipe_log_decision (engine->host, line);
}

void
decision_record (struct snipe_engine *engine, const char *job, uint32_t task,
                 const char *kind, const char *reason, const char *target,
                 uint32_t rule_line, const struct snipe_rules *rules)
{
  struct decision decision = {
    .wall_ms = snipe_clock_wall_ms (),
    .task = task,
    .rule_line = rule_line,
    .rules_version = rules == NULL ? 0 : snipe_rules_version (rules),
  };

  g_strlcpy (decision.job, job, sizeof decision.job);
  g_strlcpy (decision.kind, kind, sizeof decision.kind);
  g_strlcpy (decision.reason, reason, sizeof decision.reason);
  g_strlcpy (decision.target, target, sizeof decision.target);
  pthread_mutex_lock (&engine->decision_lock);
  engine->decision_log[engine->decision_count++
                       & (engine->options.decision_log_entries - 1)]
      = decision;
  pthread_mutex_unlock (&engine->decision_lock);
  if (snipe_log_decisions_enabled ())
    write_line (engine, &decision, rule_by_line (rules, rule_line));
}

static const struct snipe_rules *
find_rules_version (const struct snipe_engine *engine, uint64_t version)
{
  for (guint i = 0; i < engine->rule_history->len; i++)
    if (snipe_rules_version (engine->rule_history->pdata[i]) == version)
      return engine->rule_history->pdata[i];
  return NULL;
}

/** @return the text of one line of the rules file */
static json_t *
line_text (const struct snipe_rules *rules, uint32_t line)
{
  gchar **lines
      = g_strsplit (snipe_str_c (snipe_rules_text (rules)), "\n", -1);
  json_t *text = json_null ();

  if (line > 0 && line <= g_strv_length (lines))
    text = json_string (g_strstrip (lines[line - 1]));
  g_strfreev (lines);
  return text;
}

static json_t *
rule_json (const struct snipe_engine *engine, const struct decision *decision)
{
  const struct snipe_rules *rules
      = find_rules_version (engine, decision->rules_version);
  const struct snipe_rule *rule = rule_by_line (rules, decision->rule_line);

  if (rule == NULL)
    return json_null ();
  return json_pack ("{s:i, s:s, s:s, s:I, s:o}", "line", (int)rule->line,
                    "requester", snipe_str_c (&rule->requester), "note",
                    snipe_str_c (&rule->note), "version",
                    (json_int_t)decision->rules_version, "text",
                    line_text (rules, rule->line));
}

static json_t *
decision_json (const struct snipe_engine *engine,
               const struct decision *decision)
{
  bool to_peer = strcmp (decision->kind, "pass") == 0
                 || strcmp (decision->kind, "forward") == 0;

  return json_pack (
      "{s:I, s:s, s:i, s:s, s:s, s:s, s:s, s:o}", "time_ms",
      (json_int_t)decision->wall_ms, "host", engine->host, "task",
      (int)decision->task, "decision", decision->kind, "reason",
      decision->reason, "endpoint", to_peer ? "" : decision->target, "peer",
      to_peer ? decision->target : "", "rule", rule_json (engine, decision));
}

int
snipe_engine_explain (struct snipe_str *out, struct snipe_engine *engine,
                      const char *job)
{
  json_t *list = json_array ();
  json_t *root;
  uint64_t count;
  uint64_t first;
  char *text;

  pthread_mutex_lock (&engine->decision_lock);
  count = engine->decision_count;
  first = count > engine->options.decision_log_entries
              ? count - engine->options.decision_log_entries
              : 0;
  for (uint64_t i = first; i < count; i++)
    {
      const struct decision *decision
          = &engine
                 ->decision_log[i
                                & (engine->options.decision_log_entries - 1)];

      if (strcmp (decision->job, job) == 0)
        json_array_append_new (list, decision_json (engine, decision));
    }
  pthread_mutex_unlock (&engine->decision_lock);
  root = json_pack ("{s:s, s:o}", "job", job, "decisions", list);
  if (root == NULL)
    {
      json_decref (list);
      return snipe_status_set (SNIPE_E_INVALID, "job id is not UTF-8");
    }
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  snipe_str_take (out, text, strlen (text));
  return SNIPE_OK;
}
