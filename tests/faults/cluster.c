#include "faults/cluster.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#include "process/process.h"
#include "snipe/clock.h"
#include "util/http.h"

#define POLL_MS 10
#define REQUEST_TIMEOUT_MS 60000
#define CONTROL_TIMEOUT_MS 20000
#define RECOVER_TIMEOUT_MS 60000
#define CLUSTER_REFUSED_MAX 256

static const char *
require_env (const char *name)
{
  const char *value = getenv (name);

  if (value == NULL)
    g_error ("environment variable %s is not set: start this test by its "
             "run-*.sh script",
             name);
  return value;
}

void
cluster_load (struct cluster *out)
{
  gchar **hosts = g_strsplit (require_env ("SNIPE_TEST_HOSTS"), ";", -1);
  json_t *counts;

  memset (out, 0, sizeof *out);
  g_strlcpy (out->platform_address, require_env ("SNIPE_TEST_PLATFORM"),
             sizeof out->platform_address);
  g_strlcpy (out->control_address, require_env ("SNIPE_TEST_ENDPOINTS"),
             sizeof out->control_address);
  for (int i = 0; i < CLUSTER_HOSTS_MAX && hosts[i] != NULL; i++)
    {
      struct cluster_host *host = &out->hosts[out->host_count++];
      gchar **parts = g_strsplit (hosts[i], ",", 5);

      g_strlcpy (host->name, parts[0], sizeof host->name);
      g_strlcpy (host->domain, parts[1], sizeof host->domain);
      g_strlcpy (host->http_address, parts[2], sizeof host->http_address);
      g_strlcpy (host->rpc_address, parts[3], sizeof host->rpc_address);
      host->pid = (pid_t)g_ascii_strtoll (parts[4], NULL, 10);
      g_strfreev (parts);
    }
  g_strfreev (hosts);
  counts = cluster_get (out->control_address, "/control/counts");
  out->endpoint_count
      = (int)json_array_size (json_object_get (counts, "endpoints"));
  json_decref (counts);
}

void
cluster_sleep_ms (int64_t ms)
{
  g_usleep ((gulong)ms * 1000);
}

static void
http_call (struct snipe_http_response *out, int *status, const char *address,
           const char *method, const char *path, const char *body,
           int64_t timeout_ms)
{
  struct snipe_http_request request = SNIPE_HTTP_REQUEST_INIT;
  char *url = g_strdup_printf ("http://%s%s", address, path);

  request.method = method;
  request.url = url;
  request.body = body;
  request.body_len = body == NULL ? 0 : strlen (body);
  request.timeout_ms = timeout_ms;
  *status = snipe_http_call (out, &request);
  g_free (url);
}

json_t *
cluster_get (const char *address, const char *path)
{
  struct snipe_http_response response = { 0 };
  json_t *root = NULL;
  int status;

  http_call (&response, &status, address, "GET", path, NULL,
             CONTROL_TIMEOUT_MS);
  if (status == 0)
    root = json_loadb (response.body.data, response.body.len, 0, NULL);
  if (root == NULL)
    g_error ("GET http://%s%s failed", address, path);
  snipe_http_response_clear (&response);
  return root;
}

static void
post (const char *address, const char *method, const char *path,
      const char *json)
{
  struct snipe_http_response response = { 0 };
  int status;

  http_call (&response, &status, address, method, path, json,
             CONTROL_TIMEOUT_MS);
  if (status != 0 || response.status != 200)
    g_error ("%s http://%s%s failed: code %d, HTTP status %d", method, address,
             path, status, response.status);
  snipe_http_response_clear (&response);
}

void
cluster_platform_control (const struct cluster *cluster, const char *json)
{
  post (cluster->platform_address, "POST", "/control", json);
}

void
cluster_endpoints_control (const struct cluster *cluster, const char *json)
{
  post (cluster->control_address, "POST", "/control", json);
}

void
cluster_publish_rules (const struct cluster *cluster, const char *text)
{
  json_t *row
      = cluster_get (cluster->platform_address, "/table/row?key=rules");
  json_t *txn = json_pack (
      "{s:[{s:s, s:O}], s:[{s:s, s:{s:s, s:s, s:s, s:s}}]}", "if", "key",
      "rules", "version", json_object_get (row, "version"), "put", "key",
      "rules", "value", "text", text, "who", "test", "when", "", "op", "0");
  char *body = json_dumps (txn, JSON_COMPACT);

  post (cluster->platform_address, "POST", "/table/txn", body);
  free (body);
  json_decref (txn);
  json_decref (row);
}

void
cluster_issue_id (char *id, const struct cluster *cluster, int host)
{
  struct snipe_http_response response = { 0 };
  json_t *root = NULL;
  const char *text;
  int status;

  http_call (&response, &status, cluster->hosts[host].http_address, "POST",
             "/v1/ids", "", CONTROL_TIMEOUT_MS);
  if (status == 0)
    root = json_loadb (response.body.data, response.body.len, 0, NULL);
  text = json_string_value (json_array_get (json_object_get (root, "ids"), 0));
  if (text == NULL)
    g_error ("host %s issued no id", cluster->hosts[host].name);
  g_strlcpy (id, text, CLUSTER_TEXT_MAX);
  json_decref (root);
  snipe_http_response_clear (&response);
}

void
cluster_make_caller_id (char *id, int64_t age_ms)
{
  uint64_t random[2];
  uint64_t ms = (uint64_t)(snipe_clock_wall_ms () - age_ms);

  if (getrandom (random, sizeof random, 0) != (ssize_t)sizeof random)
    g_error ("cannot get random numbers for an id");
  snprintf (id, CLUSTER_TEXT_MAX, "%08x-%04x-7%03x-8%03x-%012llx",
            (unsigned int)(ms >> 16), (unsigned int)(ms & 0xffff),
            (unsigned int)(random[0] & 0xfff),
            (unsigned int)(random[0] >> 12 & 0xfff),
            (unsigned long long)(random[1] & 0xffffffffffffULL));
}

char *
cluster_job_body (const struct cluster_job *job)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text, "{\"team\":\"%s\",", job->team);
  if (job->deadline_ms > 0)
    g_string_append_printf (text, "\"deadline_ms\":%d,", job->deadline_ms);
  g_string_append (text, "\"tasks\":[");
  for (int i = 0; i < job->tasks; i++)
    g_string_append_printf (
        text,
        "%s{\"kind\":\"%s\",\"run_ms\":%d,\"idempotent\":%s,\"cores\":%d,"
        "\"payload\":{\"ms\":%d,\"n\":%d}}",
        i == 0 ? "" : ",", job->kind == NULL ? "price-strip" : job->kind,
        job->ms, job->idempotent ? "true" : "false",
        job->cores == 0 ? 1 : job->cores, job->ms, i);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

char *
cluster_simple_job_body (const char *team, int tasks, int ms, bool idempotent)
{
  const struct cluster_job job
      = { .team = team, .tasks = tasks, .ms = ms, .idempotent = idempotent };

  return cluster_job_body (&job);
}

void
cluster_send (struct cluster_answer *out, const struct cluster *cluster,
              int host, const char *method, const char *path, const char *body,
              int64_t timeout_ms)
{
  struct snipe_http_response response = { 0 };
  const char *outcome;

  memset (out, 0, sizeof *out);
  http_call (&response, &out->call_status, cluster->hosts[host].http_address,
             method, path, body, timeout_ms);
  if (out->call_status == 0)
    {
      out->http_status = response.status;
      out->root = json_loadb (response.body.data, response.body.len, 0, NULL);
      outcome = json_string_value (json_object_get (out->root, "outcome"));
      g_strlcpy (out->outcome, outcome == NULL ? "" : outcome,
                 sizeof out->outcome);
      out->code
          = (int)json_integer_value (json_object_get (out->root, "code"));
    }
  snipe_http_response_clear (&response);
}

void
cluster_submit (struct cluster_answer *out, const struct cluster *cluster,
                int host, const char *id, const char *body)
{
  char path[CLUSTER_PATH_MAX];

  snprintf (path, sizeof path, "/v1/jobs/%s", id);
  cluster_send (out, cluster, host, "PUT", path, body, REQUEST_TIMEOUT_MS);
}

void
cluster_answer_clear (struct cluster_answer *answer)
{
  json_decref (answer->root);
  answer->root = NULL;
}

static void *
request_thread (void *arg)
{
  struct cluster_request *request = arg;

  cluster_send (&request->answer, request->cluster, request->host,
                request->method, request->path, request->body,
                request->timeout_ms);
  return NULL;
}

void
cluster_submit_async (struct cluster_request *out,
                      const struct cluster *cluster, int host, const char *id,
                      const char *body)
{
  memset (out, 0, sizeof *out);
  out->cluster = cluster;
  out->host = host;
  out->method = "PUT";
  snprintf (out->path, sizeof out->path, "/v1/jobs/%s", id);
  out->body = g_strdup (body);
  out->timeout_ms = REQUEST_TIMEOUT_MS;
  if (pthread_create (&out->thread, NULL, request_thread, out) != 0)
    g_error ("cannot create a thread for a request");
}

void
cluster_join (struct cluster_request *request)
{
  pthread_join (request->thread, NULL);
  g_free (request->body);
  request->body = NULL;
}

static int
read_counter (const char *address, const char *path, const char *field)
{
  json_t *root = cluster_get (address, path);
  int value = (int)json_integer_value (json_object_get (root, field));

  json_decref (root);
  return value;
}

int
cluster_job_starts (const struct cluster *cluster, const char *id)
{
  char path[CLUSTER_PATH_MAX];

  snprintf (path, sizeof path, "/control/job?id=%s", id);
  return read_counter (cluster->control_address, path, "starts");
}

int
cluster_duplicate_starts (const struct cluster *cluster)
{
  return read_counter (cluster->control_address, "/control/counts",
                       "duplicate_starts");
}

int
cluster_task_starts (const struct cluster *cluster, const char *id, int task)
{
  char path[CLUSTER_PATH_MAX];

  snprintf (path, sizeof path, "/control/task?id=%s/%d", id, task);
  return read_counter (cluster->control_address, path, "starts");
}

int
cluster_total_starts (const struct cluster *cluster)
{
  return read_counter (cluster->control_address, "/control/counts", "starts");
}

/** @return whether a result is the echo of a task that cluster_job_body ()
 * built. */
static bool
is_echo (json_t *result, const char *id, int task)
{
  char name[CLUSTER_PATH_MAX];
  json_t *echo = json_object_get (result, "echo");

  snprintf (name, sizeof name, "%s/%d", id, task);
  return g_strcmp0 (json_string_value (json_object_get (result, "task")), name)
             == 0
         && json_is_integer (json_object_get (echo, "n"))
         && json_integer_value (json_object_get (echo, "n")) == task;
}

int
cluster_answer_error_count (const struct cluster *cluster, const char *id,
                            int tasks, const struct cluster_answer *answer)
{
  bool complete = strcmp (answer->outcome, "complete") == 0;
  bool not_run = strcmp (answer->outcome, "not_run") == 0;
  json_t *results = json_object_get (answer->root, "results");
  json_t *states = json_object_get (answer->root, "tasks");
  int faults = 0;

  if (!complete && !not_run && strcmp (answer->outcome, "unknown") != 0)
    faults += printf ("\n      %s: answer has no outcome, HTTP status %d", id,
                      answer->http_status)
              > 0;
  if (json_array_size (results) != (complete ? (size_t)tasks : 0)
      || (states != NULL && json_array_size (states) != (size_t)tasks)
      || (complete && states != NULL) || complete != (answer->code == 0))
    faults
        += printf ("\n      %s: answer is partial or contradicts itself", id)
           > 0;
  if (not_run && cluster_job_starts (cluster, id) != 0)
    faults += printf ("\n      %s: not_run, but tasks were started", id) > 0;
  for (int i = 0; i < tasks && (complete || states != NULL); i++)
    {
      const char *state = json_string_value (json_array_get (states, i));
      int starts = cluster_task_starts (cluster, id, i);

      if (complete
              ? starts == 0 || !is_echo (json_array_get (results, i), id, i)
              : (g_strcmp0 (state, "ran") == 0 && starts == 0)
                    || (g_strcmp0 (state, "not_run") == 0 && starts != 0)
                    || (not_run && g_strcmp0 (state, "not_run") != 0))
        faults += printf ("\n      %s/%d: \"%s\" with %d starts", id, i,
                          complete ? "complete" : state, starts)
                  > 0;
    }
  return faults;
}

bool
cluster_wait (bool (*done) (const struct cluster *cluster, void *arg),
              const struct cluster *cluster, void *arg, int64_t timeout_ms)
{
  for (int64_t waited = 0; waited < timeout_ms; waited += POLL_MS)
    {
      if (done (cluster, arg))
        return true;
      cluster_sleep_ms (POLL_MS);
    }
  return false;
}

struct starts_wanted
{
  const char *id;
  int starts;
};

static bool
has_starts (const struct cluster *cluster, void *arg)
{
  const struct starts_wanted *wanted = arg;

  return cluster_job_starts (cluster, wanted->id) >= wanted->starts;
}

bool
cluster_wait_starts (const struct cluster *cluster, const char *id, int starts,
                     int64_t timeout_ms)
{
  struct starts_wanted wanted = { .id = id, .starts = starts };

  return cluster_wait (has_starts, cluster, &wanted, timeout_ms);
}

void
cluster_set_modes (const struct cluster *cluster, int every, const char *mode,
                   double factor)
{
  char text[CLUSTER_TEXT_MAX];

  for (int i = 0; i < cluster->endpoint_count; i += every)
    {
      snprintf (text, sizeof text,
                "{\"endpoint\":\"ep-%03d\",\"mode\":\"%s\",\"factor\":%g}", i,
                mode, factor);
      cluster_endpoints_control (cluster, text);
    }
}

int
cluster_endpoint_counter (const struct cluster *cluster, int endpoint,
                          const char *field)
{
  json_t *root = cluster_get (cluster->control_address, "/control/counts");
  json_t *list = json_object_get (root, "endpoints");
  int value = (int)json_integer_value (
      json_object_get (json_array_get (list, (size_t)endpoint), field));

  json_decref (root);
  return value;
}

int
cluster_endpoint_owner (const struct cluster *cluster, int endpoint)
{
  char name[CLUSTER_TEXT_MAX];
  int owner = -1;

  snprintf (name, sizeof name, "ep-%03d", endpoint);
  for (int h = 0; h < cluster->host_count && owner < 0; h++)
    {
      json_t *root
          = cluster_get (cluster->hosts[h].http_address, "/v1/status");
      json_t *item;
      size_t i;

      json_array_foreach (json_object_get (root, "endpoints"), i, item)
      {
        if (g_strcmp0 (json_string_value (json_object_get (item, "name")),
                       name)
            == 0)
          owner = h;
      }
      json_decref (root);
    }
  return owner;
}

/** @return whether an item of a list on a host's status page has @p flag set
 * to @p value. */
static bool
status_list_has_flag (const struct cluster *cluster, int host,
                      const char *list, const char *flag, bool value)
{
  json_t *root = cluster_get (cluster->hosts[host].http_address, "/v1/status");
  json_t *item;
  bool found = false;
  size_t i;

  json_array_foreach (json_object_get (root, list), i, item)
  {
    if (json_is_true (json_object_get (item, flag)) == value)
      found = true;
  }
  json_decref (root);
  return found;
}

/** Submits a small job to each host that has an endpoint suspended, as an
 * endpoint is only probed with a task. @return whether none is suspended. */
static bool
none_suspended (const struct cluster *cluster, void *arg)
{
  bool none = true;

  for (int h = 0; h < cluster->host_count; h++)
    {
      struct cluster_answer answer;
      char id[CLUSTER_TEXT_MAX];
      char *body;

      if (process_ended (cluster->hosts[h].pid)
          || !status_list_has_flag (cluster, h, "endpoints", "suspended",
                                    true))
        continue;
      none = false;
      body = cluster_job_body (&(struct cluster_job){ .team = arg,
                                                      .tasks = 16,
                                                      .ms = 1,
                                                      .idempotent = true,
                                                      .deadline_ms = 2000 });
      cluster_issue_id (id, cluster, h);
      cluster_submit (&answer, cluster, h, id, body);
      cluster_answer_clear (&answer);
      g_free (body);
    }
  return none;
}

bool
cluster_recover_endpoints (const struct cluster *cluster, const char *team)
{
  char *name = g_strdup (team);
  bool recovered;

  cluster_set_modes (cluster, 1, "ok", 1);
  recovered = cluster_wait (none_suspended, cluster, name, RECOVER_TIMEOUT_MS);
  g_free (name);
  return recovered;
}

bool
cluster_all_live (const struct cluster *cluster, void *unused)
{
  (void)unused;
  for (int h = 0; h < cluster->host_count; h++)
    if (!process_ended (cluster->hosts[h].pid)
        && status_list_has_flag (cluster, h, "peers", "live", false))
      return false;
  return true;
}

void
cluster_signal (const struct cluster *cluster, int host, int signal)
{
  if (kill (cluster->hosts[host].pid, signal) != 0)
    g_error ("cannot signal host %s, process %d", cluster->hosts[host].name,
             (int)cluster->hosts[host].pid);
}

bool
cluster_wait_exit (const struct cluster *cluster, int host, int64_t timeout_ms)
{
  for (int64_t waited = 0; waited < timeout_ms; waited += POLL_MS)
    {
      if (process_ended (cluster->hosts[host].pid))
        return true;
      cluster_sleep_ms (POLL_MS);
    }
  return false;
}

void
cluster_refuse_connections (const struct cluster *cluster, int host,
                            const char *const *names)
{
  json_t *list = json_array ();
  char *text;

  for (; *names != NULL; names++)
    json_array_append_new (list, json_string (*names));
  text = json_dumps (list, JSON_COMPACT);
  post (cluster->hosts[host].http_address, "PUT", "/v1/test/refuse", text);
  free (text);
  json_decref (list);
}

/** Makes a host refuse connections with the hosts and endpoints on the other
 * side of the partition of @p domain; NULL ends the partition. */
static void
refuse_across_partition (const struct cluster *cluster, int host,
                         const char *domain, bool platform, json_t *list)
{
  const char *names[CLUSTER_REFUSED_MAX + 1];
  const struct cluster_host *self = &cluster->hosts[host];
  json_t *item;
  size_t i;
  int n = 0;

  json_array_foreach (list, i, item)
  {
    const char *other = json_string_value (json_object_get (item, "domain"));
    bool inside = g_strcmp0 (other, domain) == 0;

    if (inside == (g_strcmp0 (self->domain, domain) == 0)
        || n + 2 > CLUSTER_REFUSED_MAX - 1)
      continue;
    names[n++] = json_string_value (json_object_get (item, "name"));
    names[n++] = json_string_value (json_object_get (item, "address"));
  }
  if (domain != NULL && platform && strcmp (self->domain, domain) == 0)
    names[n++] = "platform";
  names[n] = NULL;
  cluster_refuse_connections (cluster, host, names);
}

void
cluster_partition (const struct cluster *cluster, const char *domain,
                   bool platform)
{
  json_t *root = NULL;
  json_t *list = NULL;

  if (domain != NULL)
    {
      root = cluster_get (cluster->platform_address, "/hosts");
      list = json_object_get (root, "hosts");
      /* The platform's list lacks the RPC addresses of entry hosts. */
      for (int i = 0; i < cluster->host_count; i++)
        json_array_append_new (
            list, json_pack ("{s:s, s:s, s:s}", "name", cluster->hosts[i].name,
                             "address", cluster->hosts[i].rpc_address,
                             "domain", cluster->hosts[i].domain));
    }
  for (int i = 0; i < cluster->host_count; i++)
    refuse_across_partition (cluster, i, domain, platform, list);
  json_decref (root);
}

int
cluster_domain_host (const struct cluster *cluster, const char *domain,
                     int nth)
{
  for (int i = 0; i < cluster->host_count; i++)
    if (strcmp (cluster->hosts[i].domain, domain) == 0 && nth-- == 0)
      return i;
  return -1;
}
