#include "ctl/ctl.h"

#include "snipe/status.h"

static void
print_endpoints (FILE *out, const json_t *endpoints)
{
  size_t i;
  json_t *row;

  json_array_foreach (endpoints, i, row)
  {
    const json_t *speed = json_object_get (row, "speed");

    fprintf (out, "  endpoint %s %s domain=%s running=%lld/%lld speed=%.2f",
             snipe_ctl_json_text (row, "name"),
             snipe_ctl_json_text (row, "address"),
             snipe_ctl_json_text (row, "domain"),
             snipe_ctl_json_number (row, "running"),
             snipe_ctl_json_number (row, "slots"), json_number_value (speed));
    if (snipe_ctl_json_flag (row, "suspended"))
      fprintf (out, " suspended retry_in_ms=%lld",
               snipe_ctl_json_number (row, "retry_in_ms"));
    fputs (snipe_ctl_json_flag (row, "leaving") ? " leaving\n" : "\n", out);
  }
}

static void
print_peers (FILE *out, const json_t *peers)
{
  size_t i;
  json_t *row;

  json_array_foreach (peers, i, row)
  {
    fprintf (out,
             "  peer %s %s domain=%s %s rules=%lld free_slots=%lld "
             "queued=%lld\n",
             snipe_ctl_json_text (row, "name"),
             snipe_ctl_json_text (row, "address"),
             snipe_ctl_json_text (row, "domain"),
             snipe_ctl_json_flag (row, "live") ? "live" : "away",
             snipe_ctl_json_number (row, "rules_version"),
             snipe_ctl_json_number (row, "free_slots"),
             snipe_ctl_json_number (row, "queued"));
  }
}

static void
print_quota (FILE *out, const json_t *row, const char *name)
{
  long long value = snipe_ctl_json_number (row, name);

  if (value < 0)
    fprintf (out, " %s=none", name);
  else
    fprintf (out, " %s=%lld", name, value);
}

static void
print_teams (FILE *out, const json_t *teams)
{
  size_t i;
  json_t *row;

  json_array_foreach (teams, i, row)
  {
    fprintf (out, "  team %s", snipe_ctl_json_text (row, "team"));
    print_quota (out, row, "limit");
    print_quota (out, row, "share");
    fprintf (out, " running=%lld queued=%lld\n",
             snipe_ctl_json_number (row, "running"),
             snipe_ctl_json_number (row, "queued"));
  }
}

static void
print_host (FILE *out, const struct snipe_fleet_host *host)
{
  const json_t *status = host->reply;
  const json_t *rules = json_object_get (status, "rules");

  if (status == NULL)
    {
      fprintf (out, "%s %s: no status: %s\n", host->name, host->address,
               host->message);
      return;
    }
  fprintf (out,
           "%s %s: %s incarnation=%s domain=%s region=%s rules=%lld (%lld "
           "lines) queued=%lld running=%lld\n",
           snipe_ctl_json_text (status, "host"), host->address,
           snipe_ctl_json_text (status, "state"),
           snipe_ctl_json_text (status, "incarnation"),
           snipe_ctl_json_text (status, "domain"),
           snipe_ctl_json_text (status, "region"),
           snipe_ctl_json_number (rules, "version"),
           snipe_ctl_json_number (rules, "lines"),
           snipe_ctl_json_number (status, "queued"),
           snipe_ctl_json_number (status, "running"));
  print_endpoints (out, json_object_get (status, "endpoints"));
  print_peers (out, json_object_get (status, "peers"));
  print_teams (out, json_object_get (status, "teams"));
}

int
snipe_ctl_status (const struct snipe_ctl *ctl)
{
  struct snipe_fleet fleet;
  json_t *list;
  int result = SNIPE_CTL_OK;

  if (snipe_ctl_fleet_load (&fleet, ctl) != SNIPE_OK)
    return snipe_ctl_fail (ctl, "list of entry hosts");
  list = json_array ();
  snipe_fleet_get (&fleet, "/v1/status", ctl->timeout_ms);
  for (uint32_t i = 0; i < fleet.count; i++)
    {
      const struct snipe_fleet_host *host = &fleet.hosts[i];

      if (host->reply == NULL)
        result = SNIPE_CTL_FAILED;
      if (!ctl->json)
        print_host (ctl->out, host);
      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:O?, s:s*}", "name", host->name,
                           "address", host->address, "status", host->reply,
                           "error", host->message));
    }
  if (ctl->json)
    snipe_ctl_print_json (ctl, list);
  else if (fleet.count == 0)
    fputs ("no entry host is listed\n", ctl->out);
  json_decref (list);
  snipe_fleet_clear (&fleet);
  return result;
}
