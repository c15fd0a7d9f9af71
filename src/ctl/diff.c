#include "ctl/diff.h"

#include <glib.h>
#include <string.h>

#include "rules/set.h"

static gboolean
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

/* Splits the text into lines. In each, runs of blanks become one blank, and
 * leading and trailing blanks are removed. */
static gchar **
split_lines (const struct snipe_rules *rules)
{
  const struct snipe_str *text = snipe_rules_text (rules);
  gchar **lines = g_strsplit (snipe_str_c (text), "\n", -1);

  for (gchar **line = lines; *line != NULL; line++)
    {
      char *to = *line;

      for (const char *from = *line; *from != '\0'; from++)
        if (!is_blank (*from))
          *to++ = *from;
        else if (to > *line && !is_blank (from[1]) && from[1] != '\0')
          *to++ = ' ';
      *to = '\0';
    }
  return lines;
}

static void
add_change (json_t *changes, const char *change, uint32_t line,
            const char *old_line, const char *new_line)
{
  json_array_append_new (
      changes, json_pack ("{s:s, s:I, s:s*, s:s*}", "change", change, "line",
                          (json_int_t)line, "old", old_line, "new", new_line));
}

json_t *
snipe_rules_diff (const struct snipe_rules *before,
                  const struct snipe_rules *after)
{
  json_t *changes = json_array ();
  gchar **old_lines = split_lines (before);
  gchar **new_lines = split_lines (after);
  uint32_t count;
  const struct snipe_rule *rules = snipe_rules_lines (before, &count);

  for (uint32_t i = 0; i < count; i++)
    if (snipe_rules_find (after, rules[i].kind, &rules[i].team,
                          snipe_rule_task_kind (&rules[i]))
        == NULL)
      add_change (changes, "removed", rules[i].line,
                  old_lines[rules[i].line - 1], NULL);
  rules = snipe_rules_lines (after, &count);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct snipe_rule *old
          = snipe_rules_find (before, rules[i].kind, &rules[i].team,
                              snipe_rule_task_kind (&rules[i]));
      const char *new_line = new_lines[rules[i].line - 1];

      if (old == NULL)
        add_change (changes, "added", rules[i].line, NULL, new_line);
      else if (strcmp (old_lines[old->line - 1], new_line) != 0)
        add_change (changes, "changed", rules[i].line,
                    old_lines[old->line - 1], new_line);
    }
  g_strfreev (old_lines);
  g_strfreev (new_lines);
  return changes;
}
