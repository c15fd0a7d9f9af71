#include "ctl/ctl.h"

#include <glib.h>
#include <string.h>

#include "snipe/status.h"

static gint
compare_times (gconstpointer left, gconstpointer right)
{
  long long a = snipe_ctl_json_number (*(json_t *const *)left, "time_ms");
  long long b = snipe_ctl_json_number (*(json_t *const *)right, "time_ms");

  return a < b ? -1 : a > b;
}

/* Collects the decisions of all hosts, sorted by time. The elements are
 * borrowed from the replies of the fleet. */
static GPtrArray *
collect_decisions (const struct snipe_fleet *fleet)
{
  GPtrArray *list = g_ptr_array_new ();

  for (uint32_t i = 0; i < fleet->count; i++)
    {
      const json_t *decisions
          = json_object_get (fleet->hosts[i].reply, "decisions");
      size_t j;
      json_t *decision;

      json_array_foreach (decisions, j, decision)
      {
        g_ptr_array_add (list, decision);
      }
    }
  g_ptr_array_sort (list, compare_times);
  return list;
}

static void
print_decision (FILE *out, const json_t *decision)
{
  const json_t *rule = json_object_get (decision, "rule");
  const json_t *task = json_object_get (decision, "task");
  const char *note = snipe_ctl_json_text (rule, "note");

  fprintf (out, "%lld %s", snipe_ctl_json_number (decision, "time_ms"),
           snipe_ctl_json_text (decision, "host"));
  if (json_is_integer (task))
    fprintf (out, " task=%lld", snipe_ctl_json_number (decision, "task"));
  fprintf (out, " %s: %s", snipe_ctl_json_text (decision, "decision"),
           snipe_ctl_json_text (decision, "reason"));
  if (json_string_length (json_object_get (decision, "endpoint")) > 0)
    fprintf (out, " endpoint=%s", snipe_ctl_json_text (decision, "endpoint"));
  if (json_string_length (json_object_get (decision, "peer")) > 0)
    fprintf (out, " peer=%s", snipe_ctl_json_text (decision, "peer"));
  if (json_is_object (rule))
    fprintf (out, "\n    rule: version %lld, line %lld, asked by %s%s%s: %s",
             snipe_ctl_json_number (rule, "version"),
             snipe_ctl_json_number (rule, "line"),
             snipe_ctl_json_text (rule, "requester"),
             strcmp (note, "-") == 0 || *note == '\0' ? "" : ", ",
             strcmp (note, "-") == 0 ? "" : note,
             snipe_ctl_json_text (rule, "text"));
  fputc ('\n', out);
}

int
snipe_ctl_explain (const struct snipe_ctl *ctl, const char *job)
{
  struct snipe_fleet fleet;
  char *escaped;
  char *path;
  GPtrArray *decisions;
  json_t *list;
  uint32_t unreachable_count = 0;
  int result;

  if (snipe_ctl_fleet_load (&fleet, ctl) != SNIPE_OK)
    return snipe_ctl_fail (ctl, "list of entry hosts");
  escaped = g_uri_escape_string (job, NULL, FALSE);
  path = g_strconcat ("/v1/explain?job=", escaped, NULL);
  snipe_fleet_get (&fleet, path, ctl->timeout_ms);
  decisions = collect_decisions (&fleet);
  list = json_array ();
  for (guint i = 0; i < decisions->len; i++)
    {
      if (!ctl->json)
        print_decision (ctl->out, decisions->pdata[i]);
      json_array_append (list, decisions->pdata[i]);
    }
  /* Reports hosts that did not reply, since tasks may have been offloaded to
   * one of them. */
  for (uint32_t i = 0; i < fleet.count; i++)
    if (fleet.hosts[i].reply == NULL)
      {
        unreachable_count++;
        fprintf (ctl->err, "snipectl: %s: %s\n", fleet.hosts[i].name,
                 fleet.hosts[i].message);
      }
  if (ctl->json)
    {
      json_t *json
          = json_pack ("{s:s, s:O, s:I}", "job", job, "decisions", list,
                       "hosts_silent", (json_int_t)unreachable_count);

      snipe_ctl_print_json (ctl, json);
      json_decref (json);
    }
  else if (decisions->len == 0)
    fprintf (ctl->out, "%s: no host that answered has a decision\n", job);
  result = decisions->len > 0 ? SNIPE_CTL_OK : SNIPE_CTL_FAILED;
  json_decref (list);
  g_ptr_array_free (decisions, TRUE);
  g_free (path);
  g_free (escaped);
  snipe_fleet_clear (&fleet);
  return result;
}
