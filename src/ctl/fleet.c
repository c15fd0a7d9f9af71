#include "ctl/fleet.h"

#include <ck_pr.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "snipe/status.h"
#include "util/http.h"

#define THREADS_MAX 64

/* One request to all hosts, shared by the threads that send it. */
struct request_batch
{
  struct snipe_fleet *fleet;
  const char *path;
  int64_t timeout_ms;
  uint32_t next_host;
};

static void
add_host (struct snipe_fleet *fleet, const char *name, const char *address)
{
  fleet->hosts
      = g_renew (struct snipe_fleet_host, fleet->hosts, fleet->count + 1);
  fleet->hosts[fleet->count] = (struct snipe_fleet_host){
    .name = g_strdup (name),
    .address = g_strdup (address),
  };
  fleet->count++;
}

void
snipe_fleet_parse (struct snipe_fleet *out, const char *addresses)
{
  gchar **list = g_strsplit (addresses, ",", -1);

  *out = (struct snipe_fleet){ 0 };
  for (guint i = 0; list[i] != NULL; i++)
    add_host (out, list[i], list[i]);
  g_strfreev (list);
}

/* @return whether a row with a higher version has the same address. */
static bool
is_superseded (const json_t *rows, const char *address, json_int_t version)
{
  size_t i;
  json_t *row;

  json_array_foreach (rows, i, row)
  {
    const char *other = json_string_value (
        json_object_get (json_object_get (row, "value"), "http"));

    if (other != NULL && strcmp (other, address) == 0
        && json_integer_value (json_object_get (row, "version")) > version)
      return true;
  }
  return false;
}

int
snipe_fleet_load (struct snipe_fleet *out, const struct snipe_table *table)
{
  json_t *rows = NULL;
  json_t *row;
  size_t i;
  int status = snipe_table_range (&rows, table, "entry/");

  *out = (struct snipe_fleet){ 0 };
  if (status != SNIPE_OK)
    return status;
  json_array_foreach (rows, i, row)
  {
    const char *name = NULL;
    const char *address = NULL;
    json_int_t version = 0;

    if (json_unpack (row, "{s:I, s:{s:s, s:s}}", "version", &version, "value",
                     "name", &name, "http", &address)
            == 0
        && !is_superseded (rows, address, version))
      add_host (out, name, address);
  }
  json_decref (rows);
  return SNIPE_OK;
}

static void
clear_reply (struct snipe_fleet_host *host)
{
  json_decref (host->reply);
  g_free (host->message);
  host->reply = NULL;
  host->message = NULL;
}

static void
request_host (struct snipe_fleet_host *host, const char *path,
              int64_t timeout_ms)
{
  struct snipe_http_request request = SNIPE_HTTP_REQUEST_INIT;
  struct snipe_http_response response = { 0 };
  char *url = g_strconcat ("http://", host->address, path, NULL);

  clear_reply (host);
  request.url = url;
  request.timeout_ms = timeout_ms;
  host->result = snipe_http_call (&response, &request);
  if (host->result == SNIPE_OK)
    {
      host->reply = json_loadb (snipe_str_c (&response.body),
                                response.body.len, 0, NULL);
      if (response.status != 200 || !json_is_object (host->reply))
        host->result = snipe_status_set (SNIPE_E_REFUSED,
                                         "%s: unexpected reply, HTTP %d", url,
                                         response.status);
    }
  if (host->result != SNIPE_OK)
    {
      clear_reply (host);
      host->message = g_strdup (snipe_status_last ());
    }
  snipe_http_response_clear (&response);
  g_free (url);
}

static void *
run_batch (void *ctx)
{
  struct request_batch *batch = ctx;

  for (;;)
    {
      uint32_t i = ck_pr_faa_32 (&batch->next_host, 1);

      if (i >= batch->fleet->count)
        return NULL;
      if (!batch->fleet->hosts[i].skip)
        request_host (&batch->fleet->hosts[i], batch->path, batch->timeout_ms);
    }
}

void
snipe_fleet_get (struct snipe_fleet *fleet, const char *path,
                 int64_t timeout_ms)
{
  struct request_batch batch = {
    .fleet = fleet,
    .path = path,
    .timeout_ms = timeout_ms,
  };
  pthread_t threads[THREADS_MAX];
  uint32_t thread_count = MIN (fleet->count, THREADS_MAX);
  uint32_t started = 0;

  while (started < thread_count
         && pthread_create (&threads[started], NULL, run_batch, &batch) == 0)
    started++;
  run_batch (&batch); /* on this thread too, in case none could be started */
  for (uint32_t i = 0; i < started; i++)
    pthread_join (threads[i], NULL);
}

void
snipe_fleet_clear (struct snipe_fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      clear_reply (&fleet->hosts[i]);
      g_free (fleet->hosts[i].name);
      g_free (fleet->hosts[i].address);
    }
  g_free (fleet->hosts);
  *fleet = (struct snipe_fleet){ 0 };
}
