/* Stand-in for the endpoints: many in one process, each on its own port, with
 * faults and counts under a control port (docs/design.md, section 6). */
#include <argp.h>
#include <curl/curl.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "endpoint.h"
#include "timer.h"
#include "web.h"

/* Each endpoint has a thread; a machine's limit is a few hundred. */
#define COUNT_MAX 256

struct farm
{
  unsigned int count;
  unsigned int slots;
  unsigned int connections;
  unsigned int rack_size;
  unsigned int cores;
  unsigned int mem_mb;
  unsigned int seed;
  double speed_min;
  double speed_max;
  snipe_time latency;
  const char *domains;
  const char *region;
  const char *listen;
  const char *platform;
  const char *control;
  const char *port_file;
  const char *register_file;
  char **domain_names;
  unsigned int domain_count;
  struct endpoint **endpoints;
  struct starts *starts;
};

static json_t *
host_json (const struct farm *farm, unsigned int i)
{
  struct endpoint *endpoint = farm->endpoints[i];
  const char *domain = farm->domain_names[i % farm->domain_count];
  bool leaving = endpoint_mode (endpoint) == ENDPOINT_LEAVE;
  char *rack = g_strdup_printf ("%s-r%u", domain,
                                i / farm->domain_count / farm->rack_size);
  json_t *host = json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:i,s:i}", "name",
      endpoint_name (endpoint), "role", "endpoint", "address",
      endpoint_address (endpoint), "domain", domain, "region", farm->region,
      "rack", rack, "state", leaving ? "leaving" : "live", "slots",
      (json_int_t)farm->slots, "connections", (json_int_t)farm->connections,
      "cores", (json_int_t)farm->cores, "mem_mb", (json_int_t)farm->mem_mb,
      "accel", 0, "size", 1);
  g_free (rack);
  return host;
}

static size_t
discard (char *data, size_t size, size_t count, void *ctx)
{
  (void)data;
  (void)ctx;
  return size * count;
}

static int
post_control (const struct farm *farm, const char *text)
{
  long status = 0;
  char *url = g_strconcat (farm->platform, "/control", NULL);
  CURL *curl = curl_easy_init ();
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, text);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT, 10L);
  CURLcode rc = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  if (rc != CURLE_OK || status != 200)
    fprintf (stderr, "cannot register at %s: %s, status %ld\n", url,
             curl_easy_strerror (rc), status);
  curl_easy_cleanup (curl);
  g_free (url);
  return rc == CURLE_OK && status == 200 ? 0 : -1;
}

static int
report (const struct farm *farm, json_t *hosts)
{
  json_t *body = json_pack ("{s:o}", "hosts", hosts);
  char *text = json_dumps (body, JSON_COMPACT);
  int rc = 0;
  if (farm->register_file)
    rc = web_write_file (farm->register_file, text);
  else if (farm->platform)
    rc = post_control (farm, text);
  free (text);
  json_decref (body);
  return rc;
}

static int
report_all (const struct farm *farm)
{
  json_t *hosts = json_array ();
  for (unsigned int i = 0; i < farm->count; i++)
    json_array_append_new (hosts, host_json (farm, i));
  return report (farm, hosts);
}

static json_t *
counts (const struct farm *farm)
{
  struct endpoint_counts sum = { 0 };
  json_t *list = json_array ();
  for (unsigned int i = 0; i < farm->count; i++)
    {
      struct endpoint *endpoint = farm->endpoints[i];
      struct endpoint_counts one;
      endpoint_counts (endpoint, &one);
      sum.answers += one.answers;
      sum.refused += one.refused;
      sum.running += one.running;
      sum.after_leave += one.after_leave;
      sum.after_leave_us = MAX (sum.after_leave_us, one.after_leave_us);
      json_array_append_new (
          list,
          json_pack ("{s:s,s:s,s:f,s:I,s:I,s:I,s:I,s:s}", "name",
                     endpoint_name (endpoint), "address",
                     endpoint_address (endpoint), "speed",
                     endpoint_speed (endpoint), "slots",
                     (json_int_t)farm->slots, "starts", (json_int_t)one.starts,
                     "refused", (json_int_t)one.refused, "running",
                     (json_int_t)one.running, "mode",
                     endpoint_mode_name (endpoint_mode (endpoint))));
    }
  return json_pack ("{s:I,s:I,s:I,s:I,s:I,s:o,s:I,s:f,s:o}", "starts",
                    (json_int_t)starts_total (farm->starts), "answers",
                    (json_int_t)sum.answers, "refused",
                    (json_int_t)sum.refused, "duplicate_starts",
                    (json_int_t)starts_duplicate (farm->starts), "running",
                    (json_int_t)sum.running, "max_running_team",
                    starts_max_running (farm->starts), "after_leave_starts",
                    (json_int_t)sum.after_leave, "after_leave_last_ms",
                    (double)sum.after_leave_us / 1000, "endpoints", list);
}

/* @return error message or NULL. */
static const char *
set_modes (struct farm *farm, const char *name, json_t *body)
{
  enum endpoint_mode mode = endpoint_mode_parse (
      json_string_value (json_object_get (body, "mode")));
  double factor = json_number_value (json_object_get (body, "factor"));
  json_t *changed = json_array ();
  const char *error = NULL;
  bool found = false;
  if (mode == ENDPOINT_MODES)
    error = "no such mode";
  for (unsigned int i = 0; i < farm->count && !error; i++)
    {
      struct endpoint *endpoint = farm->endpoints[i];
      if (strcmp (name, "*") != 0
          && strcmp (name, endpoint_name (endpoint)) != 0)
        continue;
      found = true;
      bool left = endpoint_mode (endpoint) == ENDPOINT_LEAVE;
      if (endpoint_set_mode (endpoint, mode, factor) != 0)
        error = "cannot listen again";
      /* The dead do not report; the list still has them as they were. */
      else if (mode != ENDPOINT_DEAD && left != (mode == ENDPOINT_LEAVE))
        json_array_append_new (changed, host_json (farm, i));
    }
  if (!error && !found)
    error = "no such endpoint";
  if (json_array_size (changed) == 0)
    json_decref (changed);
  else if (report (farm, changed) != 0)
    error = "cannot report to the platform";
  return error;
}

static void
control (struct farm *farm, struct web_request *request)
{
  json_t *body = json_loadb (request->body->str, request->body->len, 0, NULL);
  const char *name = json_string_value (json_object_get (body, "endpoint"));
  const char *error = NULL;
  if (json_is_true (json_object_get (body, "reset")))
    {
      starts_reset (farm->starts);
      for (unsigned int i = 0; i < farm->count; i++)
        endpoint_reset (farm->endpoints[i]);
    }
  else if (name)
    error = set_modes (farm, name, body);
  else
    error = "neither \"reset\" nor \"endpoint\" given";
  if (error)
    web_fail (request, 400, error);
  else
    web_reply (request, 200, json_object ());
  json_decref (body);
}

static snipe_time
on_control (void *ctx, struct web_request *request)
{
  struct farm *farm = ctx;
  const char *id = web_arg (request, "id");
  uint64_t tasks;
  uint64_t total;
  if (strcmp (request->url, "/control") == 0)
    control (farm, request);
  else if (strcmp (request->url, "/control/counts") == 0)
    web_reply (request, 200, counts (farm));
  else if (id && strcmp (request->url, "/control/task") == 0)
    web_reply (request, 200,
               json_pack ("{s:I}", "starts",
                          (json_int_t)starts_of_task (farm->starts, id)));
  else if (id && strcmp (request->url, "/control/job") == 0)
    {
      starts_of_job (farm->starts, id, &tasks, &total);
      web_reply (request, 200,
                 json_pack ("{s:I,s:I}", "tasks_started", (json_int_t)tasks,
                            "starts", (json_int_t)total));
    }
  else
    web_fail (request, 404, "no such path");
  return 0;
}

static int
open_endpoints (struct farm *farm)
{
  GRand *rand = g_rand_new_with_seed (farm->seed);
  int rc = 0;
  for (unsigned int i = 0; i < farm->count && rc == 0; i++)
    {
      char *name = g_strdup_printf ("ep-%03u", i);
      double ratio = farm->speed_max / farm->speed_min;
      const struct endpoint_options options
          = { .name = name,
              .listen = farm->listen,
              .slots = farm->slots,
              .connections = farm->connections,
              .speed = farm->speed_min * pow (ratio, g_rand_double (rand)),
              .latency = farm->latency,
              .starts = farm->starts };
      farm->endpoints[i] = endpoint_new (&options);
      if (!farm->endpoints[i])
        rc = -1;
      g_free (name);
    }
  g_rand_free (rand);
  return rc;
}

enum option_key
{
  OPT_COUNT = 256,
  OPT_SLOTS,
  OPT_CONNECTIONS,
  OPT_DOMAINS,
  OPT_REGION,
  OPT_RACK_SIZE,
  OPT_CORES,
  OPT_MEM_MB,
  OPT_SPEED_MIN,
  OPT_SPEED_MAX,
  OPT_SEED,
  OPT_LATENCY_US,
  OPT_LISTEN,
  OPT_PLATFORM,
  OPT_CONTROL,
  OPT_PORT_FILE,
  OPT_REGISTER_FILE,
};

static const struct argp_option options[] = {
  { "count", OPT_COUNT, "N", 0, "Endpoints (1 to 256)", 0 },
  { "slots", OPT_SLOTS, "N", 0, "Tasks an endpoint runs at one time", 0 },
  { "connections", OPT_CONNECTIONS, "N", 0, "Connections of an endpoint", 0 },
  { "domains", OPT_DOMAINS, "A,B", 0, "Failure domains, round robin", 0 },
  { "region", OPT_REGION, "NAME", 0, "Region of all", 0 },
  { "rack-size", OPT_RACK_SIZE, "N", 0, "Endpoints of a rack", 0 },
  { "cores", OPT_CORES, "N", 0, "Cores of an endpoint", 0 },
  { "mem-mb", OPT_MEM_MB, "N", 0, "Memory of an endpoint", 0 },
  { "speed-min", OPT_SPEED_MIN, "F", 0, "Lowest speed", 0 },
  { "speed-max", OPT_SPEED_MAX, "F", 0, "Highest speed", 0 },
  { "seed", OPT_SEED, "N", 0, "Seed of the speeds", 0 },
  { "latency-us", OPT_LATENCY_US, "US", 0, "One-way latency", 0 },
  { "listen", OPT_LISTEN, "IP:PORT", 0, "Address of endpoints", 0 },
  { "platform", OPT_PLATFORM, "URL", 0, "Platform to register at", 0 },
  { "control", OPT_CONTROL, "IP:PORT", 0, "Address of the control port", 0 },
  { "port-file", OPT_PORT_FILE, "PATH", 0,
    "Write ip:port of the control port there once all listen", 0 },
  { "register-only-file", OPT_REGISTER_FILE, "PATH", 0,
    "Write what would be registered there instead", 0 },
  { 0 },
};

static unsigned int
number (const char *arg, struct argp_state *state)
{
  char *end;
  unsigned long value = strtoul (arg, &end, 10);
  if (*arg == '\0' || *end != '\0' || value > INT32_MAX)
    argp_error (state, "\"%s\" is not a number", arg);
  return (unsigned int)value;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct farm *farm = state->input;
  switch (key)
    {
    case OPT_COUNT:
      farm->count = number (arg, state);
      return 0;
    case OPT_SLOTS:
      farm->slots = number (arg, state);
      return 0;
    case OPT_CONNECTIONS:
      farm->connections = number (arg, state);
      return 0;
    case OPT_DOMAINS:
      farm->domains = arg;
      return 0;
    case OPT_REGION:
      farm->region = arg;
      return 0;
    case OPT_RACK_SIZE:
      farm->rack_size = number (arg, state);
      return 0;
    case OPT_CORES:
      farm->cores = number (arg, state);
      return 0;
    case OPT_MEM_MB:
      farm->mem_mb = number (arg, state);
      return 0;
    case OPT_SPEED_MIN:
      farm->speed_min = strtod (arg, NULL);
      return 0;
    case OPT_SPEED_MAX:
      farm->speed_max = strtod (arg, NULL);
      return 0;
    case OPT_SEED:
      farm->seed = number (arg, state);
      return 0;
    case OPT_LATENCY_US:
      farm->latency = (snipe_time)number (arg, state);
      return 0;
    case OPT_LISTEN:
      farm->listen = arg;
      return 0;
    case OPT_PLATFORM:
      farm->platform = arg;
      return 0;
    case OPT_CONTROL:
      farm->control = arg;
      return 0;
    case OPT_PORT_FILE:
      farm->port_file = arg;
      return 0;
    case OPT_REGISTER_FILE:
      farm->register_file = arg;
      return 0;
    case ARGP_KEY_END:
      if (farm->count == 0 || farm->count > COUNT_MAX)
        argp_error (state, "--count is not 1 to %d", COUNT_MAX);
      if (farm->speed_min <= 0 || farm->speed_max < farm->speed_min)
        argp_error (state, "speeds are not 0 < min <= max");
      if (farm->rack_size == 0 || *farm->domains == '\0')
        argp_error (state, "--rack-size or --domains is empty");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp parser = { .options = options,
                                      .parser = parse_option,
                                      .doc = "Stand-in for endpoints." };
  /* Static, as the timer may still hold tasks of the endpoints at exit. */
  static struct farm farm = { .count = 8,
                              .slots = 8,
                              .connections = 64,
                              .rack_size = 8,
                              .cores = 64,
                              .mem_mb = 131072,
                              .seed = 1,
                              .speed_min = 1,
                              .speed_max = 1,
                              .domains = "a",
                              .region = "region",
                              .listen = "127.0.0.1:0",
                              .control = "127.0.0.1:0" };
  static struct web *web;
  int rc = EXIT_FAILURE;
  if (argp_parse (&parser, argc, argv, 0, NULL, &farm) != 0)
    return EXIT_FAILURE;
  web_prepare ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  farm.domain_names = g_strsplit (farm.domains, ",", -1);
  farm.domain_count = g_strv_length (farm.domain_names);
  farm.endpoints = g_new0 (struct endpoint *, farm.count);
  farm.starts = starts_new ();
  const struct web_options web_options = { .listen = farm.control,
                                           .threads = 1,
                                           .connections = 64,
                                           .handler = on_control,
                                           .ctx = &farm };
  if (timer_start () != 0 || open_endpoints (&farm) != 0)
    goto cleanup;
  web = web_new (&web_options);
  if (!web || report_all (&farm) != 0)
    goto cleanup;
  if (farm.port_file
      && web_write_file (farm.port_file, web_address (web)) != 0)
    goto cleanup;
  web_wait ();
  rc = EXIT_SUCCESS;

cleanup:
  if (web)
    web_close (web);
  for (unsigned int i = 0; i < farm.count && farm.endpoints[i]; i++)
    endpoint_close (farm.endpoints[i]);
  return rc;
}
