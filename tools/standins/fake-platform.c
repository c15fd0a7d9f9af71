/* Stand-in for the platform: transactional table, object store and host list
 * with a propagation delay, over HTTP (docs/design.md, section 6). */
#include <argp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "table.h"
#include "timer.h"
#include "web.h"

#define HANG_DELAY (5 * SNIPE_S)

enum availability
{
  AVAILABLE,
  UNAVAILABLE,
  HANGING,
};

/* A version of the host list, current from `since` until the next one. */
struct snapshot
{
  snipe_time since;
  char *text;
  char *etag; /**< digest of the text: stays valid when the process restarts */
};

struct platform
{
  const char *listen;
  const char *port_file;
  pthread_mutex_t lock; /**< guards the fields below */
  struct table *table;
  GTree *objects; /**< name -> GBytes */
  GTree *hosts;   /**< name -> json_t */
  GQueue snapshots;
  json_t *rejected_hosts;
  snipe_time latency;
  snipe_time list_lag;
  enum availability availability;
  uint64_t lose_replies;
  uint64_t reads, writes, object_reads, object_writes, host_reads;
};

static gint
compare (gconstpointer a, gconstpointer b, gpointer ctx)
{
  (void)ctx;
  return strcmp (a, b);
}

static void
json_free (gpointer value)
{
  json_decref (value);
}

static void
bytes_free (gpointer value)
{
  g_bytes_unref (value);
}

static gboolean
append_host (gpointer name, gpointer host, gpointer array)
{
  (void)name;
  json_array_append (array, host);
  return FALSE;
}

static void
snapshot_add (struct platform *platform)
{
  json_t *array = json_array ();
  g_tree_foreach (platform->hosts, append_host, array);
  json_t *list = json_pack ("{s:o}", "hosts", array);
  struct snapshot *snapshot = g_new0 (struct snapshot, 1);
  snapshot->since = snipe_clock_now ();
  snapshot->text = json_dumps (list, JSON_COMPACT);
  char *digest
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, snapshot->text, -1);
  snapshot->etag = g_strdup_printf ("\"%s\"", digest);
  g_free (digest);
  json_decref (list);
  g_queue_push_tail (&platform->snapshots, snapshot);
}

static const struct snapshot *
snapshot_visible (struct platform *platform)
{
  snipe_time visible_at = snipe_clock_now () - platform->list_lag;
  while (platform->snapshots.length > 1)
    {
      struct snapshot *next = platform->snapshots.head->next->data;
      if (next->since > visible_at)
        break;
      struct snapshot *old = g_queue_pop_head (&platform->snapshots);
      free (old->text);
      g_free (old->etag);
      g_free (old);
    }
  return platform->snapshots.head->data;
}

static bool
host_set (struct platform *platform, json_t *host)
{
  const char *name = json_string_value (json_object_get (host, "name"));
  if (!name)
    return false;
  g_tree_replace (platform->hosts, g_strdup (name), json_incref (host));
  return true;
}

static bool
update_hosts (struct platform *platform, json_t *control)
{
  json_t *host = json_object_get (control, "host");
  json_t *hosts = json_object_get (control, "hosts");
  const char *remove
      = json_string_value (json_object_get (control, "remove_host"));
  json_t *item;
  size_t i;
  if (!host && !hosts && !remove)
    return true;
  bool ok = !host || host_set (platform, host);
  json_array_foreach (hosts, i, item) { ok = host_set (platform, item) && ok; }
  if (remove)
    g_tree_remove (platform->hosts, remove);
  snapshot_add (platform);
  return ok;
}

static void
handle_control (struct platform *platform, struct web_request *request)
{
  json_t *body = json_loadb (request->body->str, request->body->len, 0, NULL);
  json_t *value;
  if (!json_is_object (body))
    {
      web_reply_error (request, 400, "body is not a JSON object");
      json_decref (body);
      return;
    }
  if ((value = json_object_get (body, "latency_ms")))
    platform->latency = (snipe_time)(json_number_value (value) * 1000);
  if ((value = json_object_get (body, "list_lag_ms")))
    platform->list_lag = (snipe_time)(json_number_value (value) * 1000);
  if ((value = json_object_get (body, "lose_replies")))
    platform->lose_replies = (uint64_t)json_integer_value (value);
  if ((value = json_object_get (body, "down")))
    platform->availability = json_is_string (value) ? HANGING
                             : json_is_true (value) ? UNAVAILABLE
                                                    : AVAILABLE;
  if ((value = json_object_get (body, "refuse")))
    {
      json_decref (platform->rejected_hosts);
      platform->rejected_hosts = json_incref (value);
    }
  if (update_hosts (platform, body))
    web_reply (request, 200, json_object ());
  else
    web_reply_error (request, 400, "an entry of the host list has no name");
  json_decref (body);
}

static json_t *
counts_json (const struct platform *platform)
{
  return json_pack ("{s:I,s:I,s:I,s:I,s:I}", "reads",
                    (json_int_t)platform->reads, "writes",
                    (json_int_t)platform->writes, "object_reads",
                    (json_int_t)platform->object_reads, "object_writes",
                    (json_int_t)platform->object_writes, "host_reads",
                    (json_int_t)platform->host_reads);
}

static void
table_write (struct platform *platform, struct web_request *request,
             json_t *txn)
{
  json_t *reply = NULL;
  platform->writes++;
  unsigned int status = table_txn (platform->table, txn, &reply);
  web_reply (request, status, reply);
  if (status == 200 && platform->lose_replies > 0)
    {
      platform->lose_replies--;
      request->close_connection = true;
    }
}

static uint64_t
arg_number (const struct web_request *request, const char *name)
{
  const char *text = web_arg (request, name);
  return text ? strtoull (text, NULL, 10) : 0;
}

static void
table_read (struct platform *platform, struct web_request *request)
{
  platform->reads++;
  if (strcmp (request->url, "/table/row") == 0)
    {
      const char *key = web_arg (request, "key");
      json_t *row = key ? table_row (platform->table, key) : NULL;
      if (row)
        web_reply (request, 200, row);
      else
        web_reply_error (request, 404, "no such row");
      return;
    }
  const char *prefix = web_arg (request, "prefix");
  web_reply (request, 200,
             table_range (platform->table, prefix ? prefix : "",
                          arg_number (request, "since"),
                          arg_number (request, "limit")));
}

static void
host_list (struct platform *platform, struct web_request *request)
{
  const struct snapshot *snapshot = snapshot_visible (platform);
  const char *if_none_match = web_header (request, "If-None-Match");
  platform->host_reads++;
  g_strlcpy (request->etag, snapshot->etag, sizeof request->etag);
  request->status
      = if_none_match && strcmp (if_none_match, snapshot->etag) == 0 ? 304
                                                                     : 200;
  if (request->status == 304)
    return;
  request->reply = strdup (snapshot->text);
  request->reply_len = request->reply ? strlen (request->reply) : 0;
}

static json_t *
object_names (const struct platform *platform, const char *prefix)
{
  json_t *names = json_array ();
  GTreeNode *node = g_tree_lower_bound (platform->objects, prefix);
  for (; node && g_str_has_prefix (g_tree_node_key (node), prefix);
       node = g_tree_node_next (node))
    json_array_append_new (names, json_string (g_tree_node_key (node)));
  return json_pack ("{s:o}", "names", names);
}

static void
handle_object (struct platform *platform, struct web_request *request)
{
  const char *name = request->url + strlen ("/objects");
  name += *name == '/';
  if (strcmp (request->method, "PUT") == 0 && *name)
    {
      platform->object_writes++;
      g_tree_replace (platform->objects, g_strdup (name),
                      g_bytes_new (request->body->str, request->body->len));
      web_reply (request, 200, json_object ());
      return;
    }
  if (strcmp (request->method, "GET") != 0)
    {
      web_reply_error (request, 405, "objects take GET and PUT");
      return;
    }
  platform->object_reads++;
  if (!*name)
    {
      const char *prefix = web_arg (request, "prefix");
      web_reply (request, 200, object_names (platform, prefix ? prefix : ""));
      return;
    }
  GBytes *bytes = g_tree_lookup (platform->objects, name);
  if (!bytes)
    {
      web_reply_error (request, 404, "no such object");
      return;
    }
  gsize len;
  const char *data = g_bytes_get_data (bytes, &len);
  request->status = 200;
  request->reply = malloc (len + 1);
  if (request->reply && len > 0)
    memcpy (request->reply, data, len);
  request->reply_len = request->reply ? len : 0;
}

static bool
is_host_rejected (const struct platform *platform,
                  const struct web_request *request)
{
  const char *host = web_header (request, "X-Snipe-Host");
  json_t *name;
  size_t i;
  if (!host)
    return false;
  json_array_foreach (platform->rejected_hosts, i, name)
  {
    if (g_strcmp0 (json_string_value (name), host) == 0)
      return true;
  }
  return false;
}

/* Call with the lock held. A request takes effect at once; the latency delays
 * only the reply. @return delay of the reply. */
static snipe_time
dispatch (struct platform *platform, struct web_request *request, json_t *txn)
{
  const char *url = request->url;
  bool get = strcmp (request->method, "GET") == 0;
  if (strcmp (url, "/control/counts") == 0)
    {
      web_reply (request, 200, counts_json (platform));
      return 0;
    }
  if (strcmp (url, "/control") == 0)
    {
      handle_control (platform, request);
      return 0;
    }
  if (is_host_rejected (platform, request))
    {
      request->close_connection = true;
      return 0;
    }
  if (platform->availability != AVAILABLE)
    {
      web_reply_error (request, 503, "platform is down");
      return platform->availability == HANGING ? HANG_DELAY : 0;
    }
  if (strcmp (url, "/table/txn") == 0)
    table_write (platform, request, txn);
  else if (get
           && (strcmp (url, "/table/row") == 0
               || strcmp (url, "/table/range") == 0))
    table_read (platform, request);
  else if (strcmp (url, "/objects") == 0
           || g_str_has_prefix (url, "/objects/"))
    handle_object (platform, request);
  else if (get && strcmp (url, "/hosts") == 0)
    {
      host_list (platform, request);
      return 0;
    }
  else
    {
      web_reply_error (request, 404, "no such path");
      return 0;
    }
  return platform->latency;
}

static snipe_time
on_request (void *ctx, struct web_request *request)
{
  struct platform *platform = ctx;
  json_t *txn = NULL;
  /* Parsed before the lock is taken, as all threads share it. */
  if (strcmp (request->url, "/table/txn") == 0)
    txn = json_loadb (request->body->str, request->body->len, 0, NULL);
  pthread_mutex_lock (&platform->lock);
  snipe_time delay = dispatch (platform, request, txn);
  /* The transaction shares values with the table; jansson changes their
   * reference counts atomically, so they can be dropped outside the lock. */
  pthread_mutex_unlock (&platform->lock);
  json_decref (txn);
  return delay;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct platform *platform = state->input;
  switch (key)
    {
    case 'l':
      platform->listen = arg;
      return 0;
    case 'p':
      platform->port_file = arg;
      return 0;
    case 't':
      platform->latency = (snipe_time)(strtod (arg, NULL) * 1000);
      return 0;
    case 'g':
      platform->list_lag = (snipe_time)(strtod (arg, NULL) * 1000);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
  { "listen", 'l', "IP:PORT", 0,
    "Listen address (port 0: chosen by the system)", 0 },
  { "port-file", 'p', "PATH", 0, "Write ip:port to PATH once listening", 0 },
  { "latency-ms", 't', "MS", 0, "Latency of each table and object request",
    0 },
  { "list-lag-ms", 'g', "MS", 0, "Propagation delay of the host list", 0 },
  { 0 },
};
static const struct argp parser = { .options = options,
                                    .parser = parse_option,
                                    .doc = "Stand-in for the platform." };

int
main (int argc, char **argv)
{
  /* Static, as timers may still refer to the server at exit. */
  static struct platform platform = { .listen = "127.0.0.1:0" };
  if (argp_parse (&parser, argc, argv, 0, NULL, &platform) != 0)
    return EXIT_FAILURE;
  web_process_init ();
  pthread_mutex_init (&platform.lock, NULL);
  platform.table = table_new ();
  platform.objects = g_tree_new_full (compare, NULL, g_free, bytes_free);
  platform.hosts = g_tree_new_full (compare, NULL, g_free, json_free);
  g_queue_init (&platform.snapshots);
  snapshot_add (&platform);
  const struct web_options web_options = { .listen = platform.listen,
                                           .threads = 4,
                                           .connections = 4096,
                                           .handler = on_request,
                                           .ctx = &platform };
  static struct web *web;
  web = timer_start () == 0 ? web_new (&web_options) : NULL;
  if (!web)
    return EXIT_FAILURE;
  if (platform.port_file
      && web_write_file (platform.port_file, web_address (web)) != 0)
    return EXIT_FAILURE;
  web_wait_for_signal ();
  web_close (web);
  return EXIT_SUCCESS;
}
