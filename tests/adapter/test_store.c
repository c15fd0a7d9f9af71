#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "snipe/status.h"
#include "store.h"
#include "suite.h"

#define CALLS_MAX 64
#define CONTACT (400 * SNIPE_MS)
#define ENDPOINTS_INTERVAL (200 * SNIPE_MS)
#define CASE_TIME (600 * SNIPE_MS)
/* A case that ends with what it waits for may take this long on a slow
 * machine. */
#define DONE_TIME (10 * SNIPE_S)

/** A stand-in for the store: answers by a script and keeps what was asked. */
struct store
{
  struct MHD_Daemon *daemon;
  char address[32];
  GMutex lock;
  char calls[CALLS_MAX][160];
  int count;
  int http;             /**< of every answer, 0: 200 */
  int feed_http;        /**< of the next call that follows a table */
  const char *endpoint; /**< value of the entry i-1; NULL: no entry */
  const char *later;    /**< its value in a call about changes, NULL: same */
  const char *config;
  bool cut_short; /**< the first answer about changes ends before version 20 */
  bool late_peer; /**< another host is listed once this one is */
  bool registered;
  bool peer_leaves;  /**< its row is dropped with the first change */
  char written[256]; /**< body of the last write */
  bool self_removed; /**< this host's row is dropped once */
  bool parts; /**< the endpoints come in two parts, with a change in between */
};

/** What the client passed on. */
struct seen
{
  struct store *store;
  struct snipe_loop *loop;
  struct platform_store *client;
  snipe_time until;
  snipe_time later; /**< added to the time once the endpoints were read */
  int configs;
  int endpoints;
  int gone;
  int hosts;
  int hosts_gone;
  int reads;
  bool reached;
  int registered;
  int news;
  uint64_t news_after; /**< of the first news */
  int news_rows;
  void (*once_read) (struct seen *seen, snipe_time now);  /**< called once */
  void (*once_hosts) (struct seen *seen, snipe_time now); /**< the same */
  bool (*done) (const struct seen *seen); /**< NULL: when the time is over */
};

static char *
row (const char *key, const char *value)
{
  char *encoded = g_base64_encode ((const guchar *)value, strlen (value));
  char *text = g_strdup_printf ("{\"table\":\"t\",\"part\":\"\",\"key\":"
                                "\"%s\",\"value\":\"%s\",\"ver\":11}",
                                key, encoded);

  g_free (encoded);
  return text;
}

static char *
rows_of (const struct store *store, const char *table, bool feed)
{
  if (strcmp (table, PLATFORM_TABLE_OPERATOR) == 0 && store->config != NULL)
    return row ("config", store->config);
  if (strcmp (table, PLATFORM_TABLE_ENDPOINTS) == 0 && store->endpoint != NULL)
    return row ("i-1",
                feed && store->later != NULL ? store->later : store->endpoint);
  if (strcmp (table, PLATFORM_TABLE_HOSTS) == 0 && store->peer_leaves && feed)
    return g_strdup ("{\"table\":\"t\",\"part\":\"\",\"key\":\"h2\","
                     "\"ver\":11,\"deleted\":true}");
  if (strcmp (table, PLATFORM_TABLE_HOSTS) == 0 && store->self_removed && feed)
    return g_strdup ("{\"table\":\"t\",\"part\":\"\",\"key\":\"h1\","
                     "\"ver\":11,\"deleted\":true}");
  if (strcmp (table, PLATFORM_TABLE_HOSTS) == 0
      && (store->late_peer ? store->registered : store->peer_leaves))
    return row ("h2", "{\"address\":\"127.0.0.2:1\",\"domain\":\"a\"}");
  return g_strdup ("");
}

static enum MHD_Result
on_request (void *ctx, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **state)
{
  struct store *store = ctx;
  const char *table = MHD_lookup_connection_value (
      connection, MHD_GET_ARGUMENT_KIND, "table");
  bool rest
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "from")
        != NULL;
  bool feed = strcmp (url, "/api/rows-feed") == 0;
  struct MHD_Response *response;
  enum MHD_Result result;
  char *rows;
  char *body;
  int http = 200;

  (void)method;
  (void)version;
  if (*state == NULL)
    {
      *state = store;
      return MHD_YES;
    }
  if (*size > 0)
    {
      g_mutex_lock (&store->lock);
      g_strlcpy (store->written, data, MIN (*size + 1, sizeof store->written));
      g_mutex_unlock (&store->lock);
      *size = 0;
      return MHD_YES;
    }
  /* The first read of the hosts is answered before this host is listed. */
  if (strcmp (url, "/api/rows-tx") == 0)
    g_usleep (100000);
  g_mutex_lock (&store->lock);
  if (store->count < CALLS_MAX)
    {
      const char *after = MHD_lookup_connection_value (
          connection, MHD_GET_ARGUMENT_KIND, "after");

      snprintf (store->calls[store->count++], sizeof store->calls[0],
                "%s %s%s%s", url, table == NULL ? "" : table,
                after == NULL ? "" : " ", after == NULL ? "" : after);
    }
  if (store->http != 0)
    http = store->http;
  else if (feed && store->feed_http != 0)
    {
      http = store->feed_http;
      store->feed_http = 0;
    }
  rows = rows_of (store, table == NULL ? "" : table, feed);
  if (http == 200 && strcmp (url, "/api/rows-tx") == 0)
    store->registered = true;
  body = g_strdup_printf ("{\"rows\":[%s],\"ver\":%d,\"now_ms\":1%s}", rows,
                          feed   ? 20
                          : rest ? 15
                                 : 9,
                          (feed ? store->cut_short : store->parts && !rest)
                                  && *rows != '\0'
                              ? ",\"has_more\":true"
                              : "");
  if (feed && *rows != '\0')
    store->cut_short = false;
  g_mutex_unlock (&store->lock);
  if (feed)
    g_usleep (20000);
  response = MHD_create_response_from_buffer (strlen (body), body,
                                              MHD_RESPMEM_MUST_COPY);
  result = MHD_queue_response (connection, (unsigned int)http, response);
  MHD_destroy_response (response);
  g_free (rows);
  g_free (body);
  return result;
}

static void
start_store (struct store *store)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  g_mutex_init (&store->lock);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  store->daemon = MHD_start_daemon (
      MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0, NULL,
      NULL, on_request, store, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
  CU_ASSERT_PTR_NOT_NULL_FATAL (store->daemon);
  snprintf (
      store->address, sizeof store->address, "127.0.0.1:%u",
      MHD_get_daemon_info (store->daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
}

static void
on_version (void *ctx, uint64_t version, bool registered)
{
  struct seen *seen = ctx;

  CU_ASSERT_TRUE (version == 9 || version == 15 || version == 20);
  seen->registered += registered;
}

static void
on_config (void *ctx, const char *text, size_t len)
{
  (void)text;
  (void)len;
  ((struct seen *)ctx)->configs++;
}

static void
on_endpoint (void *ctx, const struct snipe_endpoint_entry *entry)
{
  (void)entry;
  ((struct seen *)ctx)->endpoints++;
}

static void
on_gone (void *ctx, const char *id)
{
  (void)id;
  ((struct seen *)ctx)->gone++;
}

static void
on_host (void *ctx, const struct platform_host *host)
{
  (void)host;
  ((struct seen *)ctx)->hosts++;
}

static void
on_read (void *ctx, snipe_time asked)
{
  (void)asked;
  ((struct seen *)ctx)->reads++;
}

static void
on_reached (void *ctx, bool reached)
{
  ((struct seen *)ctx)->reached = reached;
}

static void
on_host_gone (void *ctx, const char *address)
{
  CU_ASSERT_STRING_EQUAL (address, "127.0.0.2:1");
  ((struct seen *)ctx)->hosts_gone++;
}

static void
on_hosts_read (void *ctx)
{
  struct seen *seen = ctx;

  /* The peer that was listed together with this host is known by now. */
  if (seen->store->late_peer)
    CU_ASSERT_TRUE (seen->hosts > 0);
}

static snipe_time
endpoints_due (void *ctx, snipe_time asked)
{
  (void)ctx;
  return asked + ENDPOINTS_INTERVAL;
}

static void
on_news (void *ctx, uint64_t after, uint64_t version,
         const struct snipe_str *rows, snipe_time asked)
{
  struct seen *seen = ctx;
  struct platform_rows decoded;

  if (seen->news++ == 0)
    seen->news_after = after;
  CU_ASSERT_TRUE (asked > 0);
  CU_ASSERT_EQUAL_FATAL (platform_rows_decode (&decoded, rows), 0);
  CU_ASSERT_EQUAL (decoded.version, version);
  seen->news_rows += (int)decoded.rows->len;
  platform_rows_clear (&decoded);
}

static snipe_time
on_tick (void *ctx, snipe_time now)
{
  struct seen *seen = ctx;

  if (seen->reads > 0 && seen->once_read != NULL)
    {
      seen->once_read (seen, now + seen->later);
      seen->once_read = NULL;
    }
  if (seen->hosts > 0 && seen->once_hosts != NULL)
    {
      seen->once_hosts (seen, now);
      seen->once_hosts = NULL;
    }
  platform_store_tick (seen->client,
                       now + (seen->reads > 0 ? seen->later : 0));
  if (now >= seen->until || (seen->done != NULL && seen->done (seen)))
    snipe_loop_stop (seen->loop);
  return 10 * SNIPE_MS;
}

static struct platform_store_options
options_for (struct store *store, struct seen *seen)
{
  return (struct platform_store_options){
    .address = store->address,
    .self = { .name = "h1", .address = "127.0.0.1:1", .domain = "a" },
    .contact = CONTACT,
    .ctx = seen,
    .version = on_version,
    .config = on_config,
    .endpoint = on_endpoint,
    .endpoint_gone = on_gone,
    .host = on_host,
    .host_gone = on_host_gone,
    .endpoints_read = on_read,
    .reached = on_reached,
    .hosts_read = on_hosts_read,
    .news = on_news,
    .endpoints_due = endpoints_due,
  };
}

struct store_case
{
  const char *name;
  struct store store;
  int configs_min;
  int endpoints_min;
  int hosts_min;
  int gone;
  int whole_reads_min; /**< rows-get of the endpoints; 0: one */
  const char *call;    /**< that has to be made, NULL: any */
  snipe_time later;    /**< time that passes after the first read */
  int news_rows;       /**< rows that other hosts have to be told of */
  bool (*done) (const struct seen *seen);
};

#define ENTRY_WITH(state, more)                                               \
  "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\","            \
  "\"state\":\"" state "\",\"capacity\":{\"cpu\":16000}" more "}"
#define ENTRY ENTRY_WITH ("ready", "")

static int
count_calls (const struct store *store, const char *call)
{
  int count = 0;

  for (int i = 0; i < store->count; i++)
    count += strcmp (store->calls[i], call) == 0;
  return count;
}

static bool
has_news (const struct seen *seen)
{
  return seen->news > 0 && seen->configs > 1;
}

static bool
is_back (const struct seen *seen)
{
  return seen->registered > 1;
}

static bool
has_written_twice (const struct seen *seen)
{
  bool twice;

  g_mutex_lock (&seen->store->lock);
  twice = count_calls (seen->store, "/api/rows-tx ") > 1;
  g_mutex_unlock (&seen->store->lock);
  return twice;
}

/* Lets a client read from the store. */
static void
play (struct seen *seen)
{
  struct store *store = seen->store;
  struct platform_store_options options = options_for (store, seen);

  start_store (store);
  CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&seen->loop), 0);
  CU_ASSERT_EQUAL_FATAL (snipe_http_async_new (&options.web, seen->loop, 16),
                         0);
  platform_store_new (&seen->client, &options);
  seen->until
      = snipe_clock_now () + (seen->done == NULL ? CASE_TIME : DONE_TIME);
  snipe_loop_run (seen->loop, on_tick, seen);
  snipe_http_async_free (options.web);
  platform_store_free (seen->client);
  snipe_loop_free (seen->loop);
  MHD_stop_daemon (store->daemon);
}

/* Guards against two hosts that start together missing each other, a history
 * that was dropped hiding later changes, an entry that cannot be read
 * stopping the others, and changes after the last row of a full answer being
 * skipped (DRAIN and TWICE on the grown site), a host that reads the list
 * rarely having to go through all changes since (hosts of a tenth of a core
 * stood still for half a second), and changes of a part that was read being
 * missed while the other parts are read, and a host that others have taken off
 * the list staying away from it. */
static void
test_cases (void)
{
  const struct store_case cases[] = {
    { "calm",
      { .endpoint = ENTRY, .config = "{}" },
      .configs_min = 2,
      .endpoints_min = 1 },
    { "peer listed together with this host",
      { .late_peer = true },
      .hosts_min = 1 },
    { "peer leaves", { .peer_leaves = true }, .hosts_min = 1 },
    { "history dropped",
      { .endpoint = ENTRY, .config = "{}", .feed_http = 410 },
      .configs_min = 2,
      .endpoints_min = 1 },
    { "changes cut short",
      { .config = "{}", .cut_short = true },
      .configs_min = 2,
      .call = "/api/rows-feed op 11" },
    { "bad entry", { .endpoint = "\xff{", .config = "{}" }, .configs_min = 2 },
    { "list not read for a while",
      { .endpoint = ENTRY, .config = "{}" },
      .configs_min = 2,
      .endpoints_min = 1,
      .whole_reads_min = 2,
      .later = 10 * SNIPE_S },
    { "list in parts, changed in between",
      { .endpoint = ENTRY, .config = "{}", .parts = true },
      .configs_min = 2,
      .endpoints_min = 1,
      .whole_reads_min = 2,
      .call = "/api/rows-feed servers 9" },
    { "heartbeat with an unknown number",
      { .endpoint = ENTRY_WITH ("ready", ",\"odd\":1"),
        .later = ENTRY_WITH ("ready", ",\"odd\":2"),
        .config = "{}" },
      .configs_min = 2,
      .endpoints_min = 1,
      .done = has_news },
    { "endpoint drains",
      { .endpoint = ENTRY_WITH ("ready", ""),
        .later = ENTRY_WITH ("draining", ""),
        .config = "{}" },
      .configs_min = 2,
      .endpoints_min = 2,
      .news_rows = 1,
      .done = has_news },
    { "this host is taken for lost",
      { .self_removed = true },
      .done = is_back },
    { "store refuses", { .http = 503 } },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct store_case *row = &cases[i];
      struct store store = row->store;
      struct seen seen
          = { .store = &store, .later = row->later, .done = row->done };

      play (&seen);
      if (seen.configs < row->configs_min
          || seen.endpoints < row->endpoints_min || seen.hosts < row->hosts_min
          || seen.gone != row->gone)
        printf ("%s: %d configs, %d endpoints, %d hosts, %d gone\n", row->name,
                seen.configs, seen.endpoints, seen.hosts, seen.gone);
      CU_ASSERT_TRUE (seen.configs >= row->configs_min);
      CU_ASSERT_TRUE (seen.endpoints >= row->endpoints_min);
      CU_ASSERT_TRUE (seen.hosts >= row->hosts_min);
      CU_ASSERT_EQUAL (seen.gone, row->gone);
      CU_ASSERT_EQUAL (seen.hosts_gone > 0, row->store.peer_leaves);
      CU_ASSERT_TRUE (count_calls (&store, "/api/rows-get servers")
                      >= MAX (row->whole_reads_min, 1));
      CU_ASSERT_EQUAL (seen.news_rows, row->news_rows);
      if (row->call != NULL)
        CU_ASSERT_TRUE (count_calls (&store, row->call) > 0);
      CU_ASSERT_EQUAL (seen.registered, row->store.http != 0      ? 0
                                        : row->store.self_removed ? 2
                                                                  : 1);
    }
}

/** What another host tells a client that has read the list as of version 9. */
struct news_case
{
  const char *name;
  uint64_t after;
  uint64_t version;
  const char *rows;
  bool taken;
  int endpoints; /**< passed on because of it */
  int gone;
};

static void
tell (struct seen *seen, snipe_time now)
{
  char *old = row ("i-2", ENTRY);
  char *other = row ("i-3", ENTRY);
  const struct news_case cases[] = {
    { "nothing new", 9, 9, "", true, 0, 0 },
    { "older", 5, 8, old, false, 0, 0 },
    { "not all since", 10, 12, old, false, 0, 0 },
    { "continues", 9, 12, old, true, 1, 0 },
    { "repeated in part", 9, 14, old, true, 0, 0 },
    { "not new any more", 9, 12, other, false, 0, 0 },
    { "unreadable", 14, 16, "{", false, 0, 0 },
    { "removed", 14, 16, "{\"key\":\"i-2\",\"ver\":15,\"deleted\":true}", true,
      0, 1 },
    { "past the next answer", 16, 19, "", true, 0, 0 },
  };

  CU_ASSERT_EQUAL (seen->endpoints, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct news_case *c = &cases[i];
      char *text = g_strdup_printf ("{\"rows\":[%s],\"ver\":%d}", c->rows,
                                    (int)c->version);
      struct snipe_str rows = { .data = text, .len = strlen (text) };
      int endpoints = seen->endpoints;
      int gone = seen->gone;
      bool taken = platform_store_take_news (seen->client, c->after,
                                             c->version, &rows, now);

      platform_store_tick (seen->client, now);
      if (taken != c->taken || seen->endpoints - endpoints != c->endpoints
          || seen->gone - gone != c->gone)
        printf ("%s: taken %d, %d endpoints, %d gone\n", c->name, taken,
                seen->endpoints - endpoints, seen->gone - gone);
      CU_ASSERT_EQUAL (taken, c->taken);
      CU_ASSERT_EQUAL (seen->endpoints - endpoints, c->endpoints);
      CU_ASSERT_EQUAL (seen->gone - gone, c->gone);
      g_free (text);
    }
  /* Calls that are under way bring another text of the entry in version 11. */
  g_mutex_lock (&seen->store->lock);
  seen->store->endpoint = ENTRY " ";
  g_mutex_unlock (&seen->store->lock);
  g_free (old);
  g_free (other);
}

/* Guards against an endpoint that leaves being missed, or an old entry coming
 * back, because changes were taken over that do not continue what was read,
 * or that the store's own answer then repeats. */
static void
test_news (void)
{
  struct store store = { .endpoint = ENTRY, .config = "{}" };
  struct seen seen = {
    .store = &store, .later = 10 * SNIPE_S, .once_read = tell, .done = has_news
  };

  play (&seen);
  CU_ASSERT_TRUE (seen.news > 0);
  CU_ASSERT_EQUAL (seen.news_after, 19);
  CU_ASSERT_EQUAL (seen.endpoints, 2);
}

static void
forget_peer (struct seen *seen, snipe_time now)
{
  (void)now;
  platform_store_forget_host (seen->client, "127.0.0.9:1");
  platform_store_forget_host (seen->client, "127.0.0.2:1");
}

/* Guards against the row of a lost host staying in the store, and against that
 * of a host that lists itself anew at the same time being removed. */
static void
test_forget (void)
{
  struct store store
      = { .endpoint = ENTRY, .config = "{}", .late_peer = true };
  struct seen seen = { .store = &store,
                       .once_hosts = forget_peer,
                       .done = has_written_twice };

  play (&seen);
  /* This host's own row, and the removal of the other one's. */
  CU_ASSERT_EQUAL (count_calls (&store, "/api/rows-tx "), 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (store.written, "\"key\":\"h2\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (store.written, "\"ver\":11"));
  CU_ASSERT_PTR_NOT_NULL (strstr (store.written, "\"puts\":[]"));
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "cases", test_cases },
    { "news of another host", test_news },
    { "lost host", test_forget },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("platform_store", tests);
}
