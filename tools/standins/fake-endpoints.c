/* Stand-in for the endpoints: simulates many in one process, each on its own
 * port. A control port sets their fault modes and returns their counts
 * (docs/design.md, section 6). */
#include <argp.h>
#include <curl/curl.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "endpoint.h"
#include "timer.h"
#include "web.h"

/* Each endpoint has a thread, and a machine allows a few hundred. */
#define ENDPOINTS_MAX 256

struct endpoint_set
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
host_json (const struct endpoint_set *set, unsigned int i)
{
  struct endpoint *endpoint = set->endpoints[i];
  const char *domain = set->domain_names[i % set->domain_count];
  bool leaving = endpoint_mode (endpoint) == ENDPOINT_LEAVE;
  char *rack = g_strdup_printf ("%s-r%u", domain,
                                i / set->domain_count / set->rack_size);
  json_t *host = json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:i,s:i}", "name",
      endpoint_name (endpoint), "role", "endpoint", "address",
      endpoint_address (endpoint), "domain", domain, "region", set->region,
      "rack", rack, "state", leaving ? "leaving" : "live", "slots",
      (json_int_t)set->slots, "connections", (json_int_t)set->connections,
      "cores", (json_int_t)set->cores, "mem_mb", (json_int_t)set->mem_mb,
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
post_to_platform (const struct endpoint_set *set, const char *text)
{
  long status = 0;
  char *url = g_strconcat (set->platform, "/control", NULL);
  CURL *curl = curl_easy_init ();
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, text);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT, 10L);
  CURLcode rc = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  if (rc != CURLE_OK || status != 200)
    fprintf (stderr, "cannot register endpoints at %s: %s, HTTP status %ld\n",
             url, curl_easy_strerror (rc), status);
  curl_easy_cleanup (curl);
  g_free (url);
  return rc == CURLE_OK && status == 200 ? 0 : -1;
}

static int
register_hosts (const struct endpoint_set *set, json_t *hosts)
{
  json_t *body = json_pack ("{s:o}", "hosts", hosts);
  char *text = json_dumps (body, JSON_COMPACT);
  int rc = 0;
  if (set->register_file)
    rc = web_write_file (set->register_file, text);
  else if (set->platform)
    rc = post_to_platform (set, text);
  free (text);
  json_decref (body);
  return rc;
}

static int
register_all (const struct endpoint_set *set)
{
  json_t *hosts = json_array ();
  for (unsigned int i = 0; i < set->count; i++)
    json_array_append_new (hosts, host_json (set, i));
  return register_hosts (set, hosts);
}

static json_t *
counts_json (const struct endpoint_set *set)
{
  struct endpoint_counts sum = { 0 };
  json_t *list = json_array ();
  for (unsigned int i = 0; i < set->count; i++)
    {
      struct endpoint *endpoint = set->endpoints[i];
      struct endpoint_counts one;
      endpoint_counts (endpoint, &one);
      sum.answers += one.answers;
      sum.rejected += one.rejected;
      sum.running += one.running;
      sum.requests_while_draining += one.requests_while_draining;
      sum.last_request_while_draining = MAX (sum.last_request_while_draining,
                                             one.last_request_while_draining);
      json_array_append_new (
          list,
          json_pack ("{s:s,s:s,s:f,s:I,s:I,s:I,s:I,s:s}", "name",
                     endpoint_name (endpoint), "address",
                     endpoint_address (endpoint), "speed",
                     endpoint_speed (endpoint), "slots",
                     (json_int_t)set->slots, "starts", (json_int_t)one.starts,
                     "refused", (json_int_t)one.rejected, "running",
                     (json_int_t)one.running, "mode",
                     endpoint_mode_name (endpoint_mode (endpoint))));
    }
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:o,s:I,s:f,s:o}", "starts",
      (json_int_t)starts_total (set->starts), "answers",
      (json_int_t)sum.answers, "refused", (json_int_t)sum.rejected,
      "duplicate_starts", (json_int_t)starts_duplicate_count (set->starts),
      "running", (json_int_t)sum.running, "max_running_team",
      starts_max_running (set->starts), "after_leave_starts",
      (json_int_t)sum.requests_while_draining, "after_leave_last_ms",
      (double)sum.last_request_while_draining / 1000, "endpoints", list);
}

/* @return error message, or NULL on success. */
static const char *
set_modes (struct endpoint_set *set, const char *name, json_t *body)
{
  enum endpoint_mode mode = endpoint_mode_parse (
      json_string_value (json_object_get (body, "mode")));
  double factor = json_number_value (json_object_get (body, "factor"));
  json_t *changed = json_array ();
  const char *error = NULL;
  bool found = false;
  if (mode == ENDPOINT_MODES)
    error = "no such mode";
  for (unsigned int i = 0; i < set->count && !error; i++)
    {
      struct endpoint *endpoint = set->endpoints[i];
      if (strcmp (name, "*") != 0
          && strcmp (name, endpoint_name (endpoint)) != 0)
        continue;
      found = true;
      bool left = endpoint_mode (endpoint) == ENDPOINT_LEAVE;
      if (endpoint_set_mode (endpoint, mode, factor) != 0)
        error = "cannot reopen the port of an endpoint";
      /* A dead endpoint does not register: its entry in the host list stays as
       * it was. */
      else if (mode != ENDPOINT_DEAD && left != (mode == ENDPOINT_LEAVE))
        json_array_append_new (changed, host_json (set, i));
    }
  if (!error && !found)
    error = "no such endpoint";
  if (json_array_size (changed) == 0)
    json_decref (changed);
  else if (register_hosts (set, changed) != 0)
    error = "cannot register endpoints at the platform";
  return error;
}

static void
handle_control (struct endpoint_set *set, struct web_request *request)
{
  json_t *body = json_loadb (request->body->str, request->body->len, 0, NULL);
  const char *name = json_string_value (json_object_get (body, "endpoint"));
  const char *error = NULL;
  if (json_is_true (json_object_get (body, "reset")))
    {
      starts_reset (set->starts);
      for (unsigned int i = 0; i < set->count; i++)
        endpoint_reset_counts (set->endpoints[i]);
    }
  else if (name)
    error = set_modes (set, name, body);
  else
    error = "neither \"reset\" nor \"endpoint\" given";
  if (error)
    web_reply_error (request, 400, error);
  else
    web_reply (request, 200, json_object ());
  json_decref (body);
}

static snipe_time
on_control (void *ctx, struct web_request *request)
{
  struct endpoint_set *set = ctx;
  const char *id = web_arg (request, "id");
  uint64_t tasks;
  uint64_t total;
  if (strcmp (request->url, "/control") == 0)
    handle_control (set, request);
  else if (strcmp (request->url, "/control/counts") == 0)
    web_reply (request, 200, counts_json (set));
  else if (id && strcmp (request->url, "/control/task") == 0)
    web_reply (request, 200,
               json_pack ("{s:I}", "starts",
                          (json_int_t)starts_of_task (set->starts, id)));
  else if (id && strcmp (request->url, "/control/job") == 0)
    {
      starts_of_job (set->starts, id, &tasks, &total);
      web_reply (request, 200,
                 json_pack ("{s:I,s:I}", "tasks_started", (json_int_t)tasks,
                            "starts", (json_int_t)total));
    }
  else
    web_reply_error (request, 404, "no such path");
  return 0;
}

static int
create_endpoints (struct endpoint_set *set)
{
  GRand *rand = g_rand_new_with_seed (set->seed);
  int rc = 0;
  for (unsigned int i = 0; i < set->count && rc == 0; i++)
    {
      char *name = g_strdup_printf ("ep-%03u", i);
      double ratio = set->speed_max / set->speed_min;
      const struct endpoint_options options
          = { .name = name,
              .listen = set->listen,
              .slots = set->slots,
              .connections = set->connections,
              .speed = set->speed_min * pow (ratio, g_rand_double (rand)),
              .latency = set->latency,
              .starts = set->starts };
      set->endpoints[i] = endpoint_new (&options);
      if (!set->endpoints[i])
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
  { "count", OPT_COUNT, "N", 0, "Number of endpoints (1 to 256)", 0 },
  { "slots", OPT_SLOTS, "N", 0, "Tasks that an endpoint runs at one time", 0 },
  { "connections", OPT_CONNECTIONS, "N", 0,
    "Largest number of connections of an endpoint", 0 },
  { "domains", OPT_DOMAINS, "A,B", 0, "Failure domains, round robin", 0 },
  { "region", OPT_REGION, "NAME", 0, "Region of all endpoints", 0 },
  { "rack-size", OPT_RACK_SIZE, "N", 0, "Endpoints in a rack", 0 },
  { "cores", OPT_CORES, "N", 0, "Cores of an endpoint", 0 },
  { "mem-mb", OPT_MEM_MB, "N", 0, "Memory of an endpoint, MB", 0 },
  { "speed-min", OPT_SPEED_MIN, "F", 0, "Lowest speed of an endpoint", 0 },
  { "speed-max", OPT_SPEED_MAX, "F", 0, "Highest speed of an endpoint", 0 },
  { "seed", OPT_SEED, "N", 0, "Seed of the random speeds", 0 },
  { "latency-us", OPT_LATENCY_US, "US", 0, "One-way latency", 0 },
  { "listen", OPT_LISTEN, "IP:PORT", 0, "Listen address of each endpoint", 0 },
  { "platform", OPT_PLATFORM, "URL", 0,
    "Platform at which to register the endpoints", 0 },
  { "control", OPT_CONTROL, "IP:PORT", 0, "Listen address of the control port",
    0 },
  { "port-file", OPT_PORT_FILE, "PATH", 0,
    "Write ip:port of the control port to PATH once all ports listen", 0 },
  { "register-only-file", OPT_REGISTER_FILE, "PATH", 0,
    "Write the registration to PATH instead of sending it", 0 },
  { 0 },
};

static unsigned int
parse_number (const char *arg, struct argp_state *state)
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
  struct endpoint_set *set = state->input;
  switch (key)
    {
    case OPT_COUNT:
      set->count = parse_number (arg, state);
      return 0;
    case OPT_SLOTS:
      set->slots = parse_number (arg, state);
      return 0;
    case OPT_CONNECTIONS:
      set->connections = parse_number (arg, state);
      return 0;
    case OPT_DOMAINS:
      set->domains = arg;
      return 0;
    case OPT_REGION:
      set->region = arg;
      return 0;
    case OPT_RACK_SIZE:
      set->rack_size = parse_number (arg, state);
      return 0;
    case OPT_CORES:
      set->cores = parse_number (arg, state);
      return 0;
    case OPT_MEM_MB:
      set->mem_mb = parse_number (arg, state);
      return 0;
    case OPT_SPEED_MIN:
      set->speed_min = strtod (arg, NULL);
      return 0;
    case OPT_SPEED_MAX:
      set->speed_max = strtod (arg, NULL);
      return 0;
    case OPT_SEED:
      set->seed = parse_number (arg, state);
      return 0;
    case OPT_LATENCY_US:
      set->latency = (snipe_time)parse_number (arg, state);
      return 0;
    case OPT_LISTEN:
      set->listen = arg;
      return 0;
    case OPT_PLATFORM:
      set->platform = arg;
      return 0;
    case OPT_CONTROL:
      set->control = arg;
      return 0;
    case OPT_PORT_FILE:
      set->port_file = arg;
      return 0;
    case OPT_REGISTER_FILE:
      set->register_file = arg;
      return 0;
    case ARGP_KEY_END:
      if (set->count == 0 || set->count > ENDPOINTS_MAX)
        argp_error (state, "--count is not between 1 and %d", ENDPOINTS_MAX);
      if (set->speed_min <= 0 || set->speed_max < set->speed_min)
        argp_error (state,
                    "--speed-min and --speed-max are not 0 < min <= max");
      if (set->rack_size == 0 || *set->domains == '\0')
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
  /* Static, as timers may still refer to the endpoints at exit. */
  static struct endpoint_set set = { .count = 8,
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
  if (argp_parse (&parser, argc, argv, 0, NULL, &set) != 0)
    return EXIT_FAILURE;
  web_process_init ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  set.domain_names = g_strsplit (set.domains, ",", -1);
  set.domain_count = g_strv_length (set.domain_names);
  set.endpoints = g_new0 (struct endpoint *, set.count);
  set.starts = starts_new ();
  const struct web_options web_options = { .listen = set.control,
                                           .threads = 1,
                                           .connections = 64,
                                           .handler = on_control,
                                           .ctx = &set };
  if (timer_start () != 0 || create_endpoints (&set) != 0)
    goto cleanup;
  web = web_new (&web_options);
  if (!web || register_all (&set) != 0)
    goto cleanup;
  if (set.port_file && web_write_file (set.port_file, web_address (web)) != 0)
    goto cleanup;
  web_wait_for_signal ();
  rc = EXIT_SUCCESS;

cleanup:
  if (web)
    web_close (web);
  for (unsigned int i = 0; i < set.count && set.endpoints[i]; i++)
    endpoint_close (set.endpoints[i]);
  return rc;
}
