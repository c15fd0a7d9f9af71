#include "ctl/ctl.h"

#include <glib.h>

#include "snipe/clock.h"

#define POLL_INTERVAL_US (100 * SNIPE_MS)
/* The last poll may exceed the deadline by up to this, so that a host that
 * replies near the end of the wait is still counted. */
#define POLL_TIMEOUT_MIN_MS ((int64_t)100)

static long long
version_of (const struct snipe_fleet_host *host)
{
  return snipe_ctl_json_number (json_object_get (host->reply, "rules"),
                                "version");
}

/* Polls the hosts that do not have the version yet.
 * @return the number of hosts that have it. */
static uint32_t
poll_hosts (struct snipe_fleet *fleet, uint64_t version, int64_t timeout_ms)
{
  uint32_t in_force = 0;

  snipe_fleet_get (fleet, "/v1/status", timeout_ms);
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      struct snipe_fleet_host *host = &fleet->hosts[i];

      host->skip = host->skip
                   || (host->reply != NULL
                       && version_of (host) >= (long long)version);
      in_force += host->skip ? 1 : 0;
    }
  return in_force;
}

bool
snipe_ctl_in_force_wait (const struct snipe_ctl *ctl,
                         struct snipe_fleet *fleet, uint64_t version)
{
  snipe_time deadline = snipe_clock_now () + ctl->wait_ms * SNIPE_MS;
  uint32_t reported = UINT32_MAX;

  for (;;)
    {
      int64_t left_ms = (deadline - snipe_clock_now ()) / SNIPE_MS;
      uint32_t in_force = poll_hosts (
          fleet, version,
          MAX (MIN (ctl->timeout_ms, left_ms), POLL_TIMEOUT_MIN_MS));

      if (in_force != reported)
        fprintf (ctl->err, "version %llu is in force on %u of %u hosts\n",
                 (unsigned long long)version, in_force, fleet->count);
      reported = in_force;
      if (in_force == fleet->count
          || snipe_clock_now () + POLL_INTERVAL_US >= deadline)
        return in_force == fleet->count;
      g_usleep ((gulong)POLL_INTERVAL_US);
    }
}

/* @return why a host does not have the version, to be freed with g_free (). */
static char *
reason_of (const struct snipe_fleet_host *host)
{
  if (host->reply == NULL)
    return g_strdup (host->message == NULL ? "not asked" : host->message);
  return g_strdup_printf ("has version %lld", version_of (host));
}

static void
print_hosts (const struct snipe_ctl *ctl, const struct snipe_fleet *fleet,
             bool in_force)
{
  const char *separator = "";

  fputs (in_force ? "in force on: " : "not yet on: ", ctl->out);
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      const struct snipe_fleet_host *host = &fleet->hosts[i];
      char *reason;

      if (host->skip != in_force)
        continue;
      fprintf (ctl->out, "%s%s", separator, host->name);
      separator = ", ";
      if (in_force)
        continue;
      reason = reason_of (host);
      fprintf (ctl->out, " (%s)", reason);
      g_free (reason);
    }
  fputs (*separator == '\0' ? "none\n" : "\n", ctl->out);
}

void
snipe_ctl_in_force_print (const struct snipe_ctl *ctl,
                          const struct snipe_fleet *fleet)
{
  print_hosts (ctl, fleet, true);
  print_hosts (ctl, fleet, false);
}

void
snipe_ctl_in_force_json (json_t *out, const struct snipe_fleet *fleet)
{
  json_t *in_force = json_array ();
  json_t *not_yet = json_array ();

  for (uint32_t i = 0; i < fleet->count; i++)
    {
      const struct snipe_fleet_host *host = &fleet->hosts[i];
      char *reason = reason_of (host);

      if (host->skip)
        json_array_append_new (in_force, json_string (host->name));
      else
        json_array_append_new (
            not_yet,
            json_pack ("{s:s, s:s}", "host", host->name, "reason", reason));
      g_free (reason);
    }
  json_object_set_new (out, "in_force", in_force);
  json_object_set_new (out, "not_yet", not_yet);
}
