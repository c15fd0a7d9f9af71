#include "ctl/ctl.h"

#include <string.h>

#include "ctl/diff.h"
#include "snipe/status.h"

int
snipe_ctl_rules_check (const struct snipe_ctl *ctl, const char *file)
{
  struct snipe_rules *rules = NULL;
  uint32_t count = 0;
  int status = snipe_ctl_rules_load (&rules, file);
  json_t *json;

  if (status != SNIPE_OK && !ctl->json)
    return snipe_ctl_fail (ctl, file);
  if (status != SNIPE_OK)
    json = json_pack ("{s:b, s:s, s:s}", "ok", 0, "file", file, "error",
                      snipe_status_last ());
  else
    {
      snipe_rules_lines (rules, &count);
      json = json_pack ("{s:b, s:s, s:I}", "ok", 1, "file", file, "lines",
                        (json_int_t)count);
    }
  if (ctl->json)
    snipe_ctl_print_json (ctl, json);
  else
    fprintf (ctl->out, "%s: %u rules, no errors\n", file, count);
  json_decref (json);
  snipe_rules_unref (rules);
  return status == SNIPE_OK ? SNIPE_CTL_OK : SNIPE_CTL_FAILED;
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
  if (snipe_ctl_published_get (&row, ctl) != SNIPE_OK
      || snipe_rules_parse (&before, snipe_str_c (&row.text), row.text.len,
                            row.version)
             != SNIPE_OK)
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
