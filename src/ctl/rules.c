#include "ctl/ctl.h"

#include <string.h>

#include "ctl/diff.h"
#include "rules/check.h"
#include "snipe/status.h"
#include "util/finding.h"

/* Loads the published rules, and their row into @p row, which the caller
 * clears. */
static int
load_published (struct snipe_rules **out, struct snipe_ctl_published *row,
                const struct snipe_ctl *ctl)
{
  int status = snipe_ctl_published_get (row, ctl);

  if (status != SNIPE_OK)
    return status;
  return snipe_rules_parse (out, snipe_str_c (&row->text), row->text.len,
                            row->version);
}

/* Appends a finding for each change from the published rules.
 * @return SNIPE_CTL_OK, or SNIPE_CTL_FAILED if they cannot be read. */
static int
add_changes (GPtrArray *findings, const struct snipe_ctl *ctl,
             const struct snipe_rules *rules)
{
  struct snipe_rules *published = NULL;
  struct snipe_ctl_published row = { 0 };
  json_t *changes = NULL;
  json_t *change;
  size_t i;
  int result = SNIPE_CTL_OK;

  if (load_published (&published, &row, ctl) != SNIPE_OK)
    {
      result = snipe_ctl_fail (ctl, "published rules");
      goto cleanup;
    }
  changes = snipe_rules_diff (published, rules);
  json_array_foreach (changes, i, change)
  {
    const char *old = json_string_value (json_object_get (change, "old"));
    const char *now = json_string_value (json_object_get (change, "new"));
    char *entry = g_strdup_printf ("line %lld%s",
                                   snipe_ctl_json_number (change, "line"),
                                   now == NULL ? " in force" : "");

    snipe_findings_add (
        findings, SNIPE_FINDING_CHANGE, entry, "%s since version %llu: %s%s%s",
        snipe_ctl_json_text (change, "change"),
        (unsigned long long)row.version, old == NULL ? "" : old,
        old == NULL || now == NULL ? "" : " -> ", now == NULL ? "" : now);
    g_free (entry);
  }

cleanup:
  json_decref (changes);
  snipe_ctl_published_clear (&row);
  snipe_rules_unref (published);
  return result;
}

static json_t *
findings_to_json (const GPtrArray *findings)
{
  json_t *list = json_array ();

  for (guint i = 0; i < findings->len; i++)
    {
      const struct snipe_finding *finding = g_ptr_array_index (findings, i);

      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:s}", "kind",
                           snipe_finding_kind_name (finding->kind), "entry",
                           finding->entry, "reason", finding->reason));
    }
  return list;
}

int
snipe_ctl_rules_check (const struct snipe_ctl *ctl, const char *file)
{
  struct snipe_rules *rules = NULL;
  GPtrArray *findings = snipe_findings_new ();
  uint32_t count = 0;
  int result = SNIPE_CTL_OK;
  json_t *json = NULL;

  if (snipe_ctl_rules_load (&rules, file) != SNIPE_OK)
    {
      result = SNIPE_CTL_FAILED;
      if (!ctl->json)
        {
          snipe_ctl_fail (ctl, file);
          goto cleanup;
        }
      json = json_pack ("{s:b, s:s, s:s}", "ok", 0, "file", file, "error",
                        snipe_status_last ());
      snipe_ctl_print_json (ctl, json);
      goto cleanup;
    }
  snipe_rules_lines (rules, &count);
  snipe_rules_check (findings, rules);
  if (ctl->platform != NULL)
    result = add_changes (findings, ctl, rules);
  if (ctl->json)
    {
      json = json_pack ("{s:b, s:s, s:I, s:o}", "ok", 1, "file", file, "lines",
                        (json_int_t)count, "findings",
                        findings_to_json (findings));
      snipe_ctl_print_json (ctl, json);
    }
  else
    {
      fprintf (ctl->out, "%s: %u rules, no errors\n", file, count);
      snipe_findings_print (findings, ctl->out);
    }

cleanup:
  json_decref (json);
  g_ptr_array_free (findings, TRUE);
  snipe_rules_unref (rules);
  return result;
}

static void
print_change (const struct snipe_ctl *ctl, const json_t *change)
{
  const char *old = json_string_value (json_object_get (change, "old"));
  const char *now = json_string_value (json_object_get (change, "new"));

  if (old != NULL)
    fprintf (ctl->out, "- %s\n", old);
  if (now != NULL)
    fprintf (ctl->out, "+ %s\n", now);
}

int
snipe_ctl_rules_diff (const struct snipe_ctl *ctl, const char *file)
{
  struct snipe_rules *before = NULL;
  struct snipe_rules *after = NULL;
  struct snipe_ctl_published row = { 0 };
  json_t *changes = NULL;
  json_t *change;
  size_t i;
  int result = SNIPE_CTL_OK;

  if (snipe_ctl_rules_load (&after, file) != SNIPE_OK)
    {
      result = snipe_ctl_fail (ctl, file);
      goto cleanup;
    }
  if (load_published (&before, &row, ctl) != SNIPE_OK)
    {
      result = snipe_ctl_fail (ctl, "published rules");
      goto cleanup;
    }
  changes = snipe_rules_diff (before, after);
  if (ctl->json)
    {
      json_t *json
          = json_pack ("{s:I, s:s, s:O}", "version", (json_int_t)row.version,
                       "file", file, "changes", changes);

      snipe_ctl_print_json (ctl, json);
      json_decref (json);
      goto cleanup;
    }
  fprintf (ctl->out, "%zu changes from version %llu to %s\n",
           json_array_size (changes), (unsigned long long)row.version, file);
  json_array_foreach (changes, i, change) { print_change (ctl, change); }

cleanup:
  json_decref (changes);
  snipe_ctl_published_clear (&row);
  snipe_rules_unref (before);
  snipe_rules_unref (after);
  return result;
}

int
snipe_ctl_rules_show (const struct snipe_ctl *ctl)
{
  struct snipe_ctl_published row;

  if (snipe_ctl_published_get (&row, ctl) != SNIPE_OK)
    return snipe_ctl_fail (ctl, "published rules");
  if (ctl->json)
    {
      json_t *json = json_pack (
          "{s:I, s:s, s:s, s:s, s:s}", "version", (json_int_t)row.version,
          "who", snipe_str_c (&row.publisher), "when",
          snipe_str_c (&row.published_at), "op",
          snipe_str_c (&row.operation_id), "text", snipe_str_c (&row.text));

      snipe_ctl_print_json (ctl, json);
      json_decref (json);
    }
  else if (row.version == 0)
    fputs ("# no rules are published\n", ctl->out);
  else
    {
      fprintf (ctl->out, "# version %llu, published by %s at %s\n",
               (unsigned long long)row.version, snipe_str_c (&row.publisher),
               snipe_str_c (&row.published_at));
      fwrite (snipe_str_c (&row.text), 1, row.text.len, ctl->out);
      if (row.text.len > 0 && row.text.data[row.text.len - 1] != '\n')
        fputc ('\n', ctl->out);
    }
  snipe_ctl_published_clear (&row);
  return SNIPE_CTL_OK;
}
