#include "ctl/ctl.h"

#include <glib.h>
#include <string.h>

#include "util/settings.h"
#include "snipe/status.h"
#include "util/http.h"

/* @return the address of the host with this name or address, to be freed with
 * g_free (); NULL with a message if there is none. */
static char *
find_address (const struct snipe_ctl *ctl, const char *name)
{
  struct snipe_fleet fleet = { 0 };
  char *address = NULL;

  if (snipe_setting_is_address (name))
    return g_strdup (name);
  if (ctl->platform == NULL)
    {
      snipe_status_set (
          SNIPE_E_INVALID,
          "a host name requires --platform; without it give ip:port");
      return NULL;
    }
  if (snipe_ctl_fleet_load (&fleet, ctl) != SNIPE_OK)
    return NULL;
  for (uint32_t i = 0; i < fleet.count && address == NULL; i++)
    if (strcmp (fleet.hosts[i].name, name) == 0)
      address = g_strdup (fleet.hosts[i].address);
  snipe_fleet_clear (&fleet);
  if (address == NULL)
    snipe_status_set (SNIPE_E_NOT_FOUND, "no entry host has this name");
  return address;
}

/* Sends one request to a host. A status other than 2xx is an error. */
static int
call_host (struct snipe_http_response *out, const struct snipe_ctl *ctl,
           const char *name, const char *method, const char *path)
{
  struct snipe_http_request request = SNIPE_HTTP_REQUEST_INIT;
  char *address = find_address (ctl, name);
  char *url;
  int status;

  if (address == NULL)
    return SNIPE_E_NOT_FOUND;
  url = g_strconcat ("http://", address, path, NULL);
  request.method = method;
  request.url = url;
  request.timeout_ms = ctl->timeout_ms;
  if (strcmp (method, "POST") == 0)
    request.body = "";
  status = snipe_http_call (out, &request);
  if (status == SNIPE_OK && out->status / 100 != 2)
    status = snipe_status_set (SNIPE_E_REFUSED, "HTTP %d: %s", out->status,
                               snipe_str_c (&out->body));
  g_free (url);
  g_free (address);
  return status;
}

int
snipe_ctl_drain (const struct snipe_ctl *ctl, const char *host)
{
  struct snipe_http_response response = { 0 };
  int result = SNIPE_CTL_OK;

  if (call_host (&response, ctl, host, "POST", "/v1/drain") != SNIPE_OK)
    result = snipe_ctl_fail (ctl, host);
  else if (ctl->json)
    {
      json_t *json = json_pack ("{s:s, s:b}", "host", host, "draining", 1);

      snipe_ctl_print_json (ctl, json);
      json_decref (json);
    }
  else
    fprintf (ctl->out, "%s: draining\n", host);
  snipe_http_response_clear (&response);
  return result;
}

/* Converts lines "name value" of the Prometheus text format to an object. */
static json_t *
metrics_json (const char *text)
{
  json_t *json = json_object ();
  gchar **lines = g_strsplit (text, "\n", -1);

  for (gchar **line = lines; *line != NULL; line++)
    {
      char *space = strrchr (*line, ' ');

      if (**line == '#' || space == NULL)
        continue;
      *space = '\0';
      json_object_set_new (json, *line,
                           json_real (g_ascii_strtod (space + 1, NULL)));
    }
  g_strfreev (lines);
  return json;
}

int
snipe_ctl_metrics (const struct snipe_ctl *ctl, const char *host)
{
  struct snipe_http_response response = { 0 };
  int result = SNIPE_CTL_OK;

  if (call_host (&response, ctl, host, "GET", "/metrics") != SNIPE_OK)
    result = snipe_ctl_fail (ctl, host);
  else if (ctl->json)
    {
      json_t *json = metrics_json (snipe_str_c (&response.body));

      snipe_ctl_print_json (ctl, json);
      json_decref (json);
    }
  else
    fwrite (snipe_str_c (&response.body), 1, response.body.len, ctl->out);
  snipe_http_response_clear (&response);
  return result;
}
