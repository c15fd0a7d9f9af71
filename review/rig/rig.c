#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <inttypes.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../tests/soak/http_server.h"

#define LEASE_MAX_MS 1000
#define HEARTBEAT_MS 1500
#define WAIT_MAX_MS 2000
#define ENDED_MAX 500
/* When an order without an answer is carried out. */
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000

extern char **environ;

struct row
{
  char *table;
  char *key;
  char *value; /**< base64, NULL: removed */
  int64_t version;
};

/** A run and an end at a worker, by the worker's own numbers. */
struct listed_end
{
  int64_t number;
  char *task;
  int run;
  const char *how;
};

struct rig_worker_state
{
  const struct rig_worker *worker;
  struct http_server server;
  GMutex lock;
  GCond changed;
  GPtrArray *running; /**< struct active */
  GPtrArray *ends;    /**< struct listed_end */
  int64_t last_number;
  int64_t token;
  int64_t lease_end; /**< on the worker's clock */
  int64_t born;
  int64_t clock_offset;
  int64_t sequence;
};

struct active
{
  char *task;
  int run;
  int64_t due;   /**< on the worker's clock */
  guint log_row; /**< in runs */
};

static struct
{
  FILE *record;
  GMutex lock;
  int64_t began;
  char *command; /**< run of the deploy file */
  GArray *runs;
  struct rig_host *hosts[RIG_HOSTS_MAX];
  int host_count;
} rig;

static struct
{
  struct http_server server;
  GMutex lock;
  GCond changed;
  GPtrArray *rows;
  int64_t version;
} store;

static int64_t
monotonic_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

int64_t
rig_now (void)
{
  return monotonic_ms () - rig.began;
}

void
rig_sleep (int64_t ms)
{
  if (ms > 0)
    g_usleep ((gulong)ms * 1000);
}

void
rig_note (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_mutex_lock (&rig.lock);
  fprintf (rig.record, "%7.3f ", (double)rig_now () / 1000);
  vfprintf (rig.record, format, args);
  fputc ('\n', rig.record);
  fflush (rig.record);
  g_mutex_unlock (&rig.lock);
  va_end (args);
}

bool
rig_trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return value == NULL || strcmp (value, "0") != 0;
}

void
rig_end (enum rig_verdict verdict, const char *format, ...)
{
  static const char *const names[] = { "held", "broken", "could not run" };
  char why[1024];
  va_list args;

  va_start (args, format);
  vsnprintf (why, sizeof why, format, args);
  va_end (args);
  for (int i = 0; i < rig.host_count; i++)
    if (rig.hosts[i]->pid > 0)
      {
        kill (rig.hosts[i]->pid, SIGCONT);
        kill (rig.hosts[i]->pid, SIGKILL);
        waitpid (rig.hosts[i]->pid, NULL, 0);
      }
  rig_note ("verdict: %s: %s", names[verdict], why);
  printf ("%s: %s\n", names[verdict], why);
  fflush (stdout);
  _Exit ((int)verdict);
}

/* The store. */

static void
write_row (const char *table, const char *key, const char *value)
{
  struct row *row = NULL;

  for (guint i = 0; i < store.rows->len; i++)
    {
      struct row *other = g_ptr_array_index (store.rows, i);

      if (strcmp (other->table, table) == 0 && strcmp (other->key, key) == 0)
        row = other;
    }
  if (row == NULL)
    {
      row = g_new0 (struct row, 1);
      row->table = g_strdup (table);
      row->key = g_strdup (key);
      g_ptr_array_add (store.rows, row);
    }
  g_free (row->value);
  row->value = g_strdup (value);
  row->version = store.version;
}

static gint
by_key (gconstpointer a, gconstpointer b)
{
  const struct row *one = *(struct row *const *)a;
  const struct row *two = *(struct row *const *)b;

  return strcmp (one->key, two->key);
}

static gint
by_version (gconstpointer a, gconstpointer b)
{
  const struct row *one = *(struct row *const *)a;
  const struct row *two = *(struct row *const *)b;

  return (one->version > two->version) - (one->version < two->version);
}

static json_t *
encode_rows (const char *table, int64_t after, bool present_only)
{
  json_t *out = json_array ();

  g_ptr_array_sort (store.rows, present_only ? by_key : by_version);
  for (guint i = 0; i < store.rows->len; i++)
    {
      const struct row *row = g_ptr_array_index (store.rows, i);
      json_t *item;

      if (strcmp (row->table, table) != 0
          || (present_only ? row->value == NULL : row->version <= after))
        continue;
      item = json_pack ("{s:s, s:s, s:s, s:I}", "table", row->table, "part",
                        "", "key", row->key, "ver", (json_int_t)row->version);
      if (row->value == NULL)
        json_object_set_new (item, "deleted", json_true ());
      else
        json_object_set_new (item, "value", json_string (row->value));
      json_array_append_new (out, item);
    }
  return out;
}

static void
answer_json (struct http_exchange *exchange, json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);

  exchange->answer = g_strdup (text);
  free (text);
  json_decref (object);
}

static void
answer_rows (struct http_exchange *exchange, json_t *rows)
{
  answer_json (exchange,
               json_pack ("{s:o, s:b, s:I, s:I}", "rows", rows, "has_more", 0,
                          "ver", (json_int_t)store.version, "now_ms",
                          (json_int_t)monotonic_ms ()));
}

static bool
versions_match (const json_t *expected)
{
  for (size_t i = 0; i < json_array_size (expected); i++)
    {
      const json_t *item = json_array_get (expected, i);
      const char *table = json_string_value (json_object_get (item, "table"));
      const char *key = json_string_value (json_object_get (item, "key"));
      int64_t wanted = json_integer_value (json_object_get (item, "ver"));
      int64_t present = 0;

      for (guint k = 0; k < store.rows->len; k++)
        {
          const struct row *row = g_ptr_array_index (store.rows, k);

          if (strcmp (row->table, table) == 0 && strcmp (row->key, key) == 0
              && row->value != NULL)
            present = row->version;
        }
      if (present != wanted)
        return false;
    }
  return true;
}

static void
write_rows (const json_t *rows, bool remove)
{
  for (size_t i = 0; i < json_array_size (rows); i++)
    {
      const json_t *item = json_array_get (rows, i);

      write_row (json_string_value (json_object_get (item, "table")),
                 json_string_value (json_object_get (item, "key")),
                 remove ? NULL
                        : json_string_value (json_object_get (item, "value")));
    }
}

static void
handle_transaction (struct http_exchange *exchange)
{
  json_t *body
      = json_loadb (exchange->body->str, exchange->body->len, 0, NULL);

  if (!versions_match (json_object_get (body, "expected_rev")))
    exchange->status = 412;
  else
    {
      store.version++;
      write_rows (json_object_get (body, "puts"), false);
      write_rows (json_object_get (body, "remove"), true);
      g_cond_broadcast (&store.changed);
    }
  json_decref (body);
  answer_rows (exchange, json_array ());
}

static void
handle_feed (struct http_exchange *exchange)
{
  const char *table = http_query_argument (exchange, "table");
  int64_t after
      = g_ascii_strtoll (http_query_argument (exchange, "after"), NULL, 10);
  gint64 until
      = g_get_monotonic_time ()
        + 1000
              * g_ascii_strtoll (http_query_argument (exchange, "wait_ms"),
                                 NULL, 10);
  json_t *rows = encode_rows (table, after, false);

  while (json_array_size (rows) == 0
         && g_cond_wait_until (&store.changed, &store.lock, until))
    {
      json_decref (rows);
      rows = encode_rows (table, after, false);
    }
  answer_rows (exchange, rows);
}

static void
serve_store (void *ctx, struct http_exchange *exchange)
{
  (void)ctx;
  g_usleep (2000);
  g_mutex_lock (&store.lock);
  if (strcmp (exchange->path, "/api/rows-get") == 0)
    answer_rows (
        exchange,
        encode_rows (http_query_argument (exchange, "table"), 0, true));
  else if (strcmp (exchange->path, "/api/rows-feed") == 0)
    handle_feed (exchange);
  else if (strcmp (exchange->path, "/api/rows-tx") == 0)
    handle_transaction (exchange);
  else
    exchange->status = 404;
  g_mutex_unlock (&store.lock);
}

void
rig_store_put (const char *table, const char *key, const char *value)
{
  char *encoded = value == NULL ? NULL
                                : g_base64_encode ((const guchar *)value,
                                                   strlen (value));

  g_mutex_lock (&store.lock);
  store.version++;
  write_row (table, key, encoded);
  g_cond_broadcast (&store.changed);
  g_mutex_unlock (&store.lock);
  g_free (encoded);
}

static void
store_put (const char *table, const char *key, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  rig_store_put (table, key, text);
  free (text);
  json_decref (value);
}

/* The workers. */

static int64_t
worker_clock (const struct rig_worker_state *state)
{
  return monotonic_ms () - state->clock_offset;
}

/* Ends a run. Its log row gets the end, and the worker lists it. */
static void
end_run (struct rig_worker_state *state, guint index, const char *how)
{
  struct active *active = g_ptr_array_index (state->running, index);
  struct listed_end *end = g_new0 (struct listed_end, 1);
  struct rig_run *logged;

  g_mutex_lock (&rig.lock);
  logged = &g_array_index (rig.runs, struct rig_run, active->log_row);
  logged->ended = rig_now ();
  logged->how = how;
  g_mutex_unlock (&rig.lock);
  rig_note ("worker %s: end task=%s run=%d how=%s", state->worker->id,
            active->task, active->run, how);
  end->number = ++state->last_number;
  end->task = active->task;
  end->run = active->run;
  end->how = how;
  g_ptr_array_add (state->ends, end);
  g_free (active);
  g_ptr_array_remove_index (state->running, index);
  g_cond_broadcast (&state->changed);
}

static void
update_runs (struct rig_worker_state *state)
{
  int64_t now = worker_clock (state);

  for (guint i = state->running->len; i > 0; i--)
    {
      const struct active *active = g_ptr_array_index (state->running, i - 1);

      if (active->due <= now)
        end_run (state, i - 1, "done");
      else if (state->lease_end < now)
        end_run (state, i - 1, "lapsed");
    }
}

static void
extend_lease (struct rig_worker_state *state, const json_t *body)
{
  int64_t until = json_integer_value (json_object_get (body, "deadline_ms"));

  state->lease_end = MAX (state->lease_end,
                          MIN (until, worker_clock (state) + LEASE_MAX_MS));
}

static void
answer_worker (const struct rig_worker_state *state,
               struct http_exchange *exchange, json_t *object)
{
  json_object_set_new (object, "clock_ms",
                       json_integer (worker_clock (state)));
  json_object_set_new (object, "born", json_integer (state->born));
  answer_json (exchange, object);
}

static void
answer_conflict (const struct rig_worker_state *state,
                 struct http_exchange *exchange, const char *reason)
{
  exchange->status = 409;
  answer_worker (state, exchange, json_pack ("{s:s}", "reason", reason));
}

static int
find_running (const struct rig_worker_state *state, const char *task)
{
  for (guint i = 0; i < state->running->len; i++)
    {
      const struct active *active = g_ptr_array_index (state->running, i);

      if (strcmp (active->task, task) == 0)
        return (int)i;
    }
  return -1;
}

/* Whether this run or a higher one of the task was stopped or has ended. */
static bool
is_old (const struct rig_worker_state *state, const char *task, int run)
{
  for (guint i = 0; i < state->ends->len; i++)
    {
      const struct listed_end *end = g_ptr_array_index (state->ends, i);

      if (strcmp (end->task, task) == 0 && end->run >= run)
        return true;
    }
  return false;
}

static void
begin_run (struct rig_worker_state *state, const char *task, int run,
           const char *spec)
{
  struct active *active = g_new0 (struct active, 1);
  struct rig_run logged = { .run = run, .worker = state->worker->id };
  const char *duration = strstr (spec, "d=");

  g_strlcpy (logged.task, task, sizeof logged.task);
  g_strlcpy (logged.spec, spec, sizeof logged.spec);
  active->task = g_strdup (task);
  active->run = run;
  active->due
      = worker_clock (state)
        + (duration == NULL ? 100 : g_ascii_strtoll (duration + 2, NULL, 10));
  g_mutex_lock (&rig.lock);
  logged.started = rig_now ();
  active->log_row = rig.runs->len;
  g_array_append_val (rig.runs, logged);
  g_mutex_unlock (&rig.lock);
  g_ptr_array_add (state->running, active);
  rig_note ("worker %s: start task=%s run=%d spec=\"%.40s\" token=%" PRId64,
            state->worker->id, task, run, spec, state->token);
}

static void
handle_start (struct rig_worker_state *state, struct http_exchange *exchange,
              const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  int run = (int)json_integer_value (json_object_get (body, "run"));
  int at = task == NULL ? -1 : find_running (state, task);

  if (task == NULL || spec == NULL)
    {
      exchange->status = 400;
      return;
    }
  if (json_integer_value (json_object_get (body, "deadline_ms"))
      < worker_clock (state))
    {
      answer_conflict (state, exchange, "late");
      return;
    }
  extend_lease (state, body);
  if (at >= 0
      && ((const struct active *)g_ptr_array_index (state->running, at))->run
             == run)
    {
      answer_worker (state, exchange, json_object ());
      return;
    }
  if (is_old (state, task, run))
    {
      answer_conflict (state, exchange, "old");
      return;
    }
  begin_run (state, task, run, spec);
  answer_worker (state, exchange, json_object ());
}

static void
handle_stop (struct rig_worker_state *state, struct http_exchange *exchange,
             const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  int run = (int)json_integer_value (json_object_get (body, "run"));
  int at = task == NULL ? -1 : find_running (state, task);

  if (at >= 0
      && ((const struct active *)g_ptr_array_index (state->running, at))->run
             <= run)
    end_run (state, (guint)at, "stopped");
  else if (task != NULL)
    {
      struct listed_end *end = g_new0 (struct listed_end, 1);

      /* Not listed: its number is 0. A start of this run is rejected. */
      end->task = g_strdup (task);
      end->run = run;
      end->how = "stopped";
      g_ptr_array_add (state->ends, end);
    }
  answer_worker (state, exchange, json_object ());
}

static void
handle_hold (struct rig_worker_state *state, struct http_exchange *exchange,
             const json_t *body)
{
  int64_t seen = json_integer_value (json_object_get (body, "last_seen"));
  int64_t wait = json_integer_value (json_object_get (body, "wait_ms"));
  gint64 until = g_get_monotonic_time () + 1000 * MIN (wait, WAIT_MAX_MS);
  json_t *running = json_array ();
  json_t *finished = json_array ();

  extend_lease (state, body);
  while (state->last_number <= seen
         && g_cond_wait_until (&state->changed, &state->lock, until))
    continue;
  for (guint i = 0; i < state->running->len; i++)
    {
      const struct active *active = g_ptr_array_index (state->running, i);

      json_array_append_new (running, json_pack ("[s, i, s, i]", active->task,
                                                 active->run, "", 50));
    }
  for (guint i = 0; i < state->ends->len; i++)
    {
      const struct listed_end *end = g_ptr_array_index (state->ends, i);

      if (end->number > seen && json_array_size (finished) < ENDED_MAX)
        json_array_append_new (
            finished, json_pack ("[I, s, i, s, s]", (json_int_t)end->number,
                                 end->task, end->run, end->how, ""));
    }
  answer_worker (
      state, exchange,
      json_pack ("{s:o, s:o}", "running", running, "finished", finished));
}

/* Whether an order gets no answer and is carried out late. */
static bool
is_late (const struct rig_worker_state *state)
{
  int permille = g_atomic_int_get (&state->worker->late_permille);

  return permille > 0 && g_random_int_range (0, 1000) < permille;
}

static void
serve_worker (void *ctx, struct http_exchange *exchange)
{
  struct rig_worker_state *state = ctx;
  json_t *body
      = json_loadb (exchange->body->str, exchange->body->len, 0, NULL);
  int64_t token = json_integer_value (json_object_get (body, "fencing_token"));

  bool late = strcmp (exchange->path, "/api/hold") != 0 && is_late (state);

  if (late)
    {
      const json_t *task = json_object_get (body, "task");
      int delay = g_random_int_range (LATE_MIN_MS, LATE_MAX_MS);

      rig_note ("worker %s: %s %s gets no answer, carried out %d ms later",
                state->worker->id, exchange->path,
                task == NULL ? "" : json_string_value (task), delay);
      rig_sleep (delay);
    }
  g_mutex_lock (&state->lock);
  update_runs (state);
  if (token < state->token)
    answer_conflict (state, exchange, "fence");
  else
    {
      state->token = token;
      if (strcmp (exchange->path, "/api/run-start") == 0)
        handle_start (state, exchange, body);
      else if (strcmp (exchange->path, "/api/run-stop") == 0)
        handle_stop (state, exchange, body);
      else if (strcmp (exchange->path, "/api/hold") == 0)
        handle_hold (state, exchange, body);
      else
        exchange->status = 404;
    }
  if (late)
    exchange->status = 0;
  g_mutex_unlock (&state->lock);
  json_decref (body);
}

static void
list_worker (struct rig_worker_state *state)
{
  const struct rig_worker *worker = state->worker;
  char address[64];

  snprintf (address, sizeof address, "127.0.0.1:%u",
            http_server_port (&state->server));
  store_put (
      "servers", worker->id,
      json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:I, s:i, s:i}, "
                 "s:[s, s], s:I, s:I, s:I}",
                 "service", "desk", "address", address, "zone", worker->zone,
                 "version", "v1", "slots", 8, "state", "ready", "cold_left_ms",
                 0, "capacity", "cpu", (json_int_t)worker->cpu, "mem_mb",
                 65536, "gpu", 0, "labels", worker->kind, worker->rack, "born",
                 (json_int_t)state->born, "clock_ms",
                 (json_int_t)worker_clock (state), "seq_no",
                 (json_int_t)++state->sequence));
}

static gpointer
live (gpointer data)
{
  struct rig_worker_state *state = data;
  int64_t listed = 0;

  for (;;)
    {
      if (listed == 0 || monotonic_ms () - listed >= HEARTBEAT_MS)
        {
          listed = monotonic_ms ();
          list_worker (state);
        }
      g_mutex_lock (&state->lock);
      update_runs (state);
      g_mutex_unlock (&state->lock);
      g_usleep (2000);
    }
  return NULL;
}

void
rig_worker_start (struct rig_worker *worker)
{
  struct rig_worker_state *state = g_new0 (struct rig_worker_state, 1);

  worker->state = state;
  state->worker = worker;
  g_mutex_init (&state->lock);
  g_cond_init (&state->changed);
  state->running = g_ptr_array_new ();
  state->ends = g_ptr_array_new ();
  state->born = g_get_real_time () / 1000;
  state->clock_offset = monotonic_ms () - 5000;
  state->server.handle = serve_worker;
  state->server.ctx = state;
  http_server_start (&state->server);
  g_thread_unref (g_thread_new ("worker", live, state));
}

GArray *
rig_runs (void)
{
  GArray *copy = g_array_new (FALSE, TRUE, sizeof (struct rig_run));

  g_mutex_lock (&rig.lock);
  g_array_append_vals (copy, rig.runs->data, rig.runs->len);
  g_mutex_unlock (&rig.lock);
  return copy;
}

/* The hosts. */

static uint16_t
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) < 0
      || getsockname (fd, (struct sockaddr *)&address, &len) < 0)
    rig_end (RIG_CANNOT_RUN, "no free port");
  close (fd);
  return ntohs (address.sin_port);
}

void
rig_host_init (struct rig_host *host, const char *name, const char *zone,
               bool proxied)
{
  *host = (struct rig_host){ .front = free_port (),
                             .ready = free_port (),
                             .link = free_port () };
  g_strlcpy (host->name, name, sizeof host->name);
  g_strlcpy (host->zone, zone, sizeof host->zone);
  if (proxied)
    host->link_proxy = proxy_new (host->link);
  rig.hosts[rig.host_count++] = host;
}

static char *
replace (char *text, const char *field, const char *value)
{
  char *mark = g_strdup_printf ("{{%s}}", field);
  char **parts = g_strsplit (text, mark, -1);
  char *out = g_strjoinv (value, parts);

  g_strfreev (parts);
  g_free (mark);
  g_free (text);
  return out;
}

/* The command of the deploy file, with the values of a small deployment. */
static char *
fill_command (const struct rig_host *host, const char *seeds, bool first)
{
  static const char *const fixed[][2] = {
    { "bounds.max_hold_ms", "1000" }, { "bounds.stop_timeout_ms", "50" },
    { "bounds.retry_ms", "1300" },    { "bounds.grace_s", "6" },
    { "bounds.contact_ms", "3000" },  { "limits.memory_mb", "260" },
    { "limits.max_fds", "4100" },     { "limits.cpu_share", "0.25" },
    { "limits.link_mbps", "1000" },   { "bounds.remote_factor", "1.5" },
  };
  char *text = g_strdup (rig.command);
  char address[64];

  for (size_t i = 0; i < G_N_ELEMENTS (fixed); i++)
    text = replace (text, fixed[i][0], fixed[i][1]);
  text = replace (text, "node", host->name);
  text = replace (text, "zone", host->zone);
  text = replace (text, "seeds", seeds);
  text = replace (text, "bootstrap", first ? "true" : "false");
  snprintf (address, sizeof address, "127.0.0.1:%u", host->front);
  text = replace (text, "listen.front", address);
  snprintf (address, sizeof address, "127.0.0.1:%u", host->ready);
  text = replace (text, "listen.ready", address);
  snprintf (address, sizeof address, "127.0.0.1:%u", host->link);
  text = replace (text, "listen.control", address);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            http_server_port (&store.server));
  return replace (text, "platform.address", address);
}

void
rig_host_start (struct rig_host *host, const char *seeds, bool first)
{
  char *command = fill_command (host, seeds, first);
  char *log = g_strdup_printf (
      "%s/%s.log", getenv ("RIG_LOGS") == NULL ? "/tmp" : getenv ("RIG_LOGS"),
      host->name);
  GPtrArray *argv = g_ptr_array_new_with_free_func (g_free);
  char **words = g_strsplit (command, " ", -1);
  posix_spawn_file_actions_t actions;

  for (char **word = words; *word != NULL; word++)
    if (**word != '\0')
      g_ptr_array_add (argv, g_strdup (*word));
  if (host->link_proxy != NULL)
    g_ptr_array_add (argv, g_strdup_printf ("--link-address=127.0.0.1:%u",
                                            proxy_port (host->link_proxy)));
  g_ptr_array_add (argv, NULL);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (
      &actions, 1, getenv ("RIG_LOGS") == NULL ? "/dev/null" : log,
      O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2 (&actions, 1, 2);
  if (posix_spawn (&host->pid, argv->pdata[0], &actions, NULL,
                   (char **)argv->pdata, environ)
      != 0)
    rig_end (RIG_CANNOT_RUN, "cannot start %s", (char *)argv->pdata[0]);
  posix_spawn_file_actions_destroy (&actions);
  rig_note ("host %s: started", host->name);
  g_ptr_array_free (argv, TRUE);
  g_strfreev (words);
  g_free (command);
  g_free (log);
}

bool
rig_host_wait (const struct rig_host *host)
{
  struct rig_answer answer;

  for (int i = 0; i < 150; i++)
    {
      rig_call (&answer, host->ready, "GET", "/api/readiness", NULL, 1000);
      if (answer.status == 200)
        return true;
      rig_sleep (100);
    }
  return false;
}

bool
rig_host_ended (struct rig_host *host, int *status)
{
  if (host->pid <= 0 || waitpid (host->pid, status, WNOHANG) <= 0)
    return false;
  host->pid = 0;
  return true;
}

/* The clients. */

int
rig_connect (uint16_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
rig_is_closed (int fd)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

  return poll (&poll_fd, 1, 0) != 0;
}

/* @return whether the text is a complete HTTP response. */
static bool
is_complete (const char *text, size_t len)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *length = strcasestr (text, "content-length:");

  if (end == NULL)
    return false;
  if (length == NULL || length > end)
    return true;
  return len - (size_t)(end + 4 - text)
         >= g_ascii_strtoull (length + 15, NULL, 10);
}

void
rig_call_on (struct rig_answer *out, int fd, const char *method,
             const char *path, const char *body, int64_t patience)
{
  int64_t began = rig_now ();
  char text[8192] = "";
  size_t len = 0;
  char *request = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: shop.example\r\n"
      "Content-Type: application/json\r\nDeadline-Ms: %" PRId64 "\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      method, path, patience, body == NULL ? (size_t)0 : strlen (body),
      body == NULL ? "" : body);

  *out = (struct rig_answer){ 0 };
  if (fd >= 0
      && send (fd, request, strlen (request), MSG_NOSIGNAL)
             == (ssize_t)strlen (request))
    while (out->status == 0 && rig_now () - began < patience)
      {
        struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
        ssize_t got;

        if (poll (&poll_fd, 1, (int)(patience - (rig_now () - began))) <= 0)
          continue;
        got = recv (fd, text + len, sizeof text - 1 - len, 0);
        if (got <= 0)
          break;
        len += (size_t)got;
        text[len] = '\0';
        if (is_complete (text, len))
          {
            const char *space = strchr (text, ' ');
            const char *rest = strstr (text, "\r\n\r\n");

            out->status
                = space == NULL ? 0 : (int)strtol (space + 1, NULL, 10);
            g_strlcpy (out->body, rest + 4, sizeof out->body);
          }
      }
  g_free (request);
  out->took = rig_now () - began;
}

void
rig_call (struct rig_answer *out, uint16_t port, const char *method,
          const char *path, const char *body, int64_t patience)
{
  int fd = rig_connect (port);

  rig_call_on (out, fd, method, path, body, patience);
  if (fd >= 0)
    close (fd);
}

/* Ends the hosts if the case itself is ended. */
static void
on_signal (int number)
{
  (void)number;
  for (int i = 0; i < rig.host_count; i++)
    if (rig.hosts[i]->pid > 0)
      kill (rig.hosts[i]->pid, SIGKILL);
  _Exit (RIG_CANNOT_RUN);
}

void
rig_begin (int argc, char **argv)
{
  char *text = NULL;
  char **lines;

  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  rig.began = monotonic_ms ();
  g_mutex_init (&rig.lock);
  rig.runs = g_array_new (FALSE, TRUE, sizeof (struct rig_run));
  rig.record = argc < 3 ? NULL : fopen (argv[1], "w");
  if (rig.record == NULL)
    {
      fprintf (stderr, "usage: %s RECORD DEPLOY-FILE\n", argv[0]);
      exit (RIG_CANNOT_RUN);
    }
  if (!g_file_get_contents (argv[2], &text, NULL, NULL))
    rig_end (RIG_CANNOT_RUN, "cannot read the deploy file");
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    if (g_str_has_prefix (*line, "run = \""))
      {
        rig.command = g_strdup (*line + strlen ("run = \""));
        *strrchr (rig.command, '"') = '\0';
      }
  g_strfreev (lines);
  g_free (text);
  if (rig.command == NULL)
    rig_end (RIG_CANNOT_RUN, "the deploy file has no command");
  g_mutex_init (&store.lock);
  g_cond_init (&store.changed);
  store.rows = g_ptr_array_new ();
  store.version = 1;
  store.server.handle = serve_store;
  http_server_start (&store.server);
  store_put (
      "op", "config",
      json_pack (
          "{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:f}], "
          "s:[{s:s, s:s, s:i, s:s, s:b, s:b, s:b}], s:{s:i, s:i, s:i, s:i}}",
          "version", 1, "routes", "name", "q", "host", "shop.example",
          "path_prefix", "/q/", "route_type", "non_idempotent", "timeout_ms",
          1500, "slo_ms", 60, "priority", 1, "service", "desk", "attempts", 3,
          "slack_factor", 1.6, "services", "name", "desk", "health_path",
          "/health", "max_conns", 64, "protocol", "h1", "tls", 0,
          "rejects_overload", 0, "standby", 0, "limits", "max_header_bytes",
          16384, "max_body_bytes", 262144, "header_timeout_ms", 3000,
          "idle_timeout_ms", 15000));
}
