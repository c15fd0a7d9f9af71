#include "util/finding.h"

static void
finding_free (gpointer data)
{
  struct snipe_finding *finding = data;

  g_free (finding->entry);
  g_free (finding->reason);
  g_free (finding);
}

GPtrArray *
snipe_findings_new (void)
{
  return g_ptr_array_new_with_free_func (finding_free);
}

static char *
without_controls (char *text)
{
  for (char *at = text; *at != '\0'; at++)
    if (g_ascii_iscntrl (*at))
      *at = ' ';
  return text;
}

void
snipe_findings_add (GPtrArray *findings, enum snipe_finding_kind kind,
                    const char *entry, const char *format, ...)
{
  struct snipe_finding *finding = g_new0 (struct snipe_finding, 1);
  va_list args;

  va_start (args, format);
  finding->kind = kind;
  finding->entry = without_controls (g_strdup (entry));
  finding->reason = without_controls (g_strdup_vprintf (format, args));
  va_end (args);
  g_ptr_array_add (findings, finding);
}

guint
snipe_findings_count (const GPtrArray *findings, enum snipe_finding_kind kind)
{
  guint count = 0;

  for (guint i = 0; i < findings->len; i++)
    {
      const struct snipe_finding *finding = g_ptr_array_index (findings, i);

      count += finding->kind == kind ? 1 : 0;
    }
  return count;
}

const char *
snipe_finding_kind_name (enum snipe_finding_kind kind)
{
  switch (kind)
    {
    case SNIPE_FINDING_NO_EFFECT:
      return "no-effect";
    case SNIPE_FINDING_CONFLICT:
      return "conflict";
    case SNIPE_FINDING_CHANGE:
      return "change";
    case SNIPE_FINDING_ERROR:
      break;
    }
  return "error";
}

void
snipe_findings_print (const GPtrArray *findings, FILE *out)
{
  for (guint i = 0; i < findings->len; i++)
    {
      const struct snipe_finding *finding = g_ptr_array_index (findings, i);

      fprintf (out, "%s: %s: %s\n", snipe_finding_kind_name (finding->kind),
               finding->entry, finding->reason);
    }
}
