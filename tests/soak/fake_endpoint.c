#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak/checker.h"
#include "soak/fakes.h"
#include "soak/http_server.h"

/* Drivers of the cases in review/ define only the reports that they evaluate.
 */
#pragma weak checker_endpoint_crashed
#pragma weak checker_is_shrink_known
#pragma weak checker_started_in_domain
#pragma weak checker_run_overdue

/* A task's spec, "d=MS c=CPU x=N", gives its duration and the cores it takes,
 * in thousandths; if N is 1, its first task crashes the endpoint. */

/* Time that an endpoint goes on after it has listed itself as draining. */
#define DRAIN_MS 2000
#define LEASE_MAX_MS 1000
#define CRASH_DELAY_MS 5
/* Time for which a crashed endpoint answers nothing. */
#define DOWN_MS 3000
/* Time after which a request that receives no answer is carried out. */
#define REQUEST_DELAY_MIN_MS 1000
#define REQUEST_DELAY_MAX_MS 12000
/* Share of the starts that are delayed, over that of the stops. */
#define DELAYED_STARTS 0.25

struct run
{
  char *task;
  uint32_t run_number;
  int64_t cpu_millicores;
  int64_t end_ms;
  int64_t crash_ms; /**< when it crashes the endpoint, 0: never */
};

struct ended_run
{
  uint64_t sequence;
  char *task;
  uint32_t run_number;
  const char *outcome;
};

struct fake_endpoint
{
  struct http_server server;
  struct fake_store *store;
  GMutex lock;
  GCond run_ended;
  char id[32];
  char domain[32];
  char address[32];
  int64_t cpu_millicores;
  int64_t full_millicores; /**< before its capacity shrank */
  int64_t shrunk_at_ms;    /**< monotonic */
  int64_t down_until_ms;   /**< monotonic, 0: it is up */
  double slowdown;
  int64_t started_ms;
  int64_t clock_offset_ms; /**< own clock minus the monotonic one */
  uint64_t fencing_token;
  GPtrArray *runs;
  GPtrArray *ended_runs;
  uint64_t last_sequence;
  int64_t lease_end_ms;      /**< by its own clock */
  int64_t draining_since_ms; /**< 0: not draining */
  bool fail_runs;
  double dropped_answer_share;
  double delayed_stop_share;
  uint64_t list_sequence;
  int64_t listed_at_ms;
  GRand *rand;
};

static void
ended_run_free (gpointer data)
{
  struct ended_run *ended = data;

  g_free (ended->task);
  g_free (ended);
}

static int64_t
clock_ms (const struct fake_endpoint *endpoint)
{
  return g_get_monotonic_time () / 1000 + endpoint->clock_offset_ms;
}

static void
end_run (struct fake_endpoint *endpoint, guint index, const char *outcome)
{
  struct run *run = g_ptr_array_index (endpoint->runs, index);
  struct ended_run *ended = g_new0 (struct ended_run, 1);

  ended->sequence = ++endpoint->last_sequence;
  ended->task = g_strdup (run->task);
  ended->run_number = run->run_number;
  ended->outcome = outcome;
  g_ptr_array_add (endpoint->ended_runs, ended);
  checker_run_ended (endpoint->id, run->task, strcmp (outcome, "done") == 0);
  g_free (run->task);
  g_free (run);
  g_ptr_array_remove_index_fast (endpoint->runs, index);
  g_cond_broadcast (&endpoint->run_ended);
}

static void
lose_runs (struct fake_endpoint *endpoint)
{
  while (endpoint->runs->len > 0)
    end_run (endpoint, 0, "lapsed");
}

static void
crash_if_due (struct fake_endpoint *endpoint)
{
  int64_t now = clock_ms (endpoint);

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const struct run *run = g_ptr_array_index (endpoint->runs, i);

      if (run->crash_ms == 0 || run->crash_ms > now)
        continue;
      if (checker_endpoint_crashed != NULL)
        checker_endpoint_crashed (endpoint->id, run->task);
      lose_runs (endpoint);
      endpoint->down_until_ms = g_get_monotonic_time () / 1000 + DOWN_MS;
      return;
    }
}

static void
update_runs (struct fake_endpoint *endpoint)
{
  int64_t now = clock_ms (endpoint);

  crash_if_due (endpoint);
  for (guint i = endpoint->runs->len; i > 0; i--)
    {
      const struct run *run = g_ptr_array_index (endpoint->runs, i - 1);

      int64_t due_ms = MIN (run->end_ms, endpoint->lease_end_ms + 1);

      if (due_ms > now)
        continue;
      if (checker_run_overdue != NULL)
        checker_run_overdue (endpoint->id, run->task, now - due_ms);
      end_run (endpoint, i - 1,
               run->end_ms > now     ? "lapsed"
               : endpoint->fail_runs ? "failed"
                                     : "done");
    }
}

static void
write_list_row (struct fake_endpoint *endpoint)
{
  json_t *row = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:{s:I, s:i, s:i}, s:[s, s], s:I, s:I}",
      "service", "work", "address", endpoint->address, "zone",
      endpoint->domain, "version", "v1", "slots", 8, "state",
      endpoint->draining_since_ms > 0 ? "draining" : "ready", "capacity",
      "cpu", (json_int_t)endpoint->cpu_millicores, "mem_mb", 65536, "gpu", 0,
      "labels", "a", "r1", "born", (json_int_t)endpoint->started_ms, "seq_no",
      (json_int_t)++endpoint->list_sequence);

  if (endpoint->draining_since_ms > 0)
    {
      int64_t elapsed_ms
          = g_get_monotonic_time () / 1000 - endpoint->draining_since_ms;

      json_object_set_new (row, "clock_ms",
                           json_integer (clock_ms (endpoint)));
      json_object_set_new (row, "remaining_ms",
                           json_integer (MAX (DRAIN_MS - elapsed_ms, 0)));
    }
  fake_store_put (endpoint->store, "servers", endpoint->id, row);
  json_decref (row);
}

static void
send_answer (struct fake_endpoint *endpoint, struct http_exchange *exchange,
             json_t *object)
{
  char *text;

  json_object_set_new (object, "clock_ms", json_integer (clock_ms (endpoint)));
  json_object_set_new (object, "born", json_integer (endpoint->started_ms));
  text = json_dumps (object, JSON_COMPACT);
  exchange->answer = g_strdup (text);
  free (text);
  json_decref (object);
}

static void
send_conflict (struct fake_endpoint *endpoint, struct http_exchange *exchange,
               const char *reason)
{
  exchange->status = 409;
  send_answer (endpoint, exchange, json_pack ("{s:s}", "reason", reason));
}

static void
extend_lease (struct fake_endpoint *endpoint, const json_t *body)
{
  int64_t deadline
      = json_integer_value (json_object_get (body, "deadline_ms"));
  int64_t latest = clock_ms (endpoint) + LEASE_MAX_MS;

  endpoint->lease_end_ms
      = MAX (endpoint->lease_end_ms, MIN (deadline, latest));
}

static bool
has_ended (const struct fake_endpoint *endpoint, const char *task,
           uint32_t run_number)
{
  for (guint i = 0; i < endpoint->ended_runs->len; i++)
    {
      const struct ended_run *ended
          = g_ptr_array_index (endpoint->ended_runs, i);

      if (strcmp (ended->task, task) == 0 && ended->run_number >= run_number)
        return true;
    }
  return false;
}

static void
handle_start (struct fake_endpoint *endpoint, struct http_exchange *exchange,
              const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  uint32_t run_number
      = (uint32_t)json_integer_value (json_object_get (body, "run"));
  int64_t used = 0;
  int64_t duration_ms = 0;
  long cpu_millicores = 0;
  long ms = 0;
  int crashes = 0;
  struct run *run;

  if (json_integer_value (json_object_get (body, "deadline_ms"))
      < clock_ms (endpoint))
    {
      send_conflict (endpoint, exchange, "late");
      return;
    }
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      run = g_ptr_array_index (endpoint->runs, i);
      used += run->cpu_millicores;
      if (strcmp (run->task, task) == 0 && run->run_number == run_number)
        {
          send_answer (endpoint, exchange, json_object ());
          return;
        }
    }
  if (has_ended (endpoint, task, run_number))
    {
      extend_lease (endpoint, body);
      send_conflict (endpoint, exchange, "old");
      return;
    }
  if (sscanf (spec, "d=%ld c=%ld x=%d", &ms, &cpu_millicores, &crashes) >= 2)
    duration_ms = (int64_t)((double)ms * endpoint->slowdown);
  run = g_new0 (struct run, 1);
  run->task = g_strdup (task);
  run->run_number = run_number;
  run->cpu_millicores = cpu_millicores;
  run->end_ms = clock_ms (endpoint) + (endpoint->fail_runs ? 2 : duration_ms);
  if (crashes > 0 && g_str_has_suffix (task, ".0"))
    run->crash_ms = clock_ms (endpoint) + CRASH_DELAY_MS;
  g_ptr_array_add (endpoint->runs, run);
  extend_lease (endpoint, body);
  if (checker_started_in_domain != NULL)
    checker_started_in_domain (endpoint->id, endpoint->domain, task);
  checker_run_started (
      endpoint->id, task, spec, used + cpu_millicores,
      checker_is_shrink_known != NULL
              && checker_is_shrink_known (endpoint->shrunk_at_ms)
          ? endpoint->cpu_millicores
          : MAX (endpoint->cpu_millicores, endpoint->full_millicores),
      endpoint->draining_since_ms > 0
          ? g_get_monotonic_time () / 1000 - endpoint->draining_since_ms
          : 0);
  send_answer (endpoint, exchange, json_object ());
}

static void
handle_stop (struct fake_endpoint *endpoint, struct http_exchange *exchange,
             const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  uint32_t run_number
      = (uint32_t)json_integer_value (json_object_get (body, "run"));
  bool found = false;

  for (guint i = endpoint->runs->len; i > 0; i--)
    {
      const struct run *run = g_ptr_array_index (endpoint->runs, i - 1);

      if (strcmp (run->task, task) == 0 && run->run_number <= run_number)
        {
          end_run (endpoint, i - 1, "stopped");
          found = true;
        }
    }
  if (!found)
    {
      /* A start request for this run that arrives later is rejected. */
      struct ended_run *ended = g_new0 (struct ended_run, 1);

      ended->task = g_strdup (task);
      ended->run_number = run_number;
      ended->outcome = "stopped";
      g_ptr_array_add (endpoint->ended_runs, ended);
    }
  send_answer (endpoint, exchange, json_object ());
}

static json_t *
encode_ended_runs (const struct fake_endpoint *endpoint, uint64_t last_seen)
{
  json_t *array = json_array ();

  for (guint i = 0; i < endpoint->ended_runs->len; i++)
    {
      const struct ended_run *ended
          = g_ptr_array_index (endpoint->ended_runs, i);

      if (ended->sequence > last_seen)
        json_array_append_new (
            array, json_pack ("[I, s, i, s, s]", (json_int_t)ended->sequence,
                              ended->task, (int)ended->run_number,
                              ended->outcome, ""));
    }
  return array;
}

static void
handle_poll (struct fake_endpoint *endpoint, struct http_exchange *exchange,
             const json_t *body)
{
  uint64_t last_seen
      = (uint64_t)json_integer_value (json_object_get (body, "last_seen"));
  gint64 deadline
      = g_get_monotonic_time ()
        + 1000 * json_integer_value (json_object_get (body, "wait_ms"));
  int64_t started_ms = endpoint->started_ms;
  json_t *running = json_array ();
  json_t *finished;

  extend_lease (endpoint, body);
  while (
      endpoint->last_sequence <= last_seen
      && endpoint->started_ms == started_ms
      && g_cond_wait_until (&endpoint->run_ended, &endpoint->lock, deadline))
    update_runs (endpoint);
  finished = encode_ended_runs (endpoint, last_seen);
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const struct run *run = g_ptr_array_index (endpoint->runs, i);

      json_array_append_new (
          running,
          json_pack ("[s, i, s, i]", run->task, (int)run->run_number, "", 50));
    }
  send_answer (
      endpoint, exchange,
      json_pack ("{s:o, s:o}", "running", running, "finished", finished));
}

/* @return the delay of a request that is carried out late, 0: at once. */
static gulong
draw_delay_ms (struct fake_endpoint *endpoint, const char *path)
{
  double share = endpoint->delayed_stop_share;
  gulong delay_ms = 0;

  if (strcmp (path, "/api/run-start") == 0)
    share *= DELAYED_STARTS;
  else if (strcmp (path, "/api/run-stop") != 0)
    return 0;
  g_mutex_lock (&endpoint->lock);
  if (share > 0 && g_rand_double (endpoint->rand) < share)
    delay_ms = (gulong)g_rand_int_range (endpoint->rand, REQUEST_DELAY_MIN_MS,
                                         REQUEST_DELAY_MAX_MS);
  g_mutex_unlock (&endpoint->lock);
  return delay_ms;
}

static void
handle_exchange (void *ctx, struct http_exchange *exchange)
{
  struct fake_endpoint *endpoint = ctx;
  json_t *body
      = json_loadb (exchange->body->str, exchange->body->len, 0, NULL);
  uint64_t token
      = (uint64_t)json_integer_value (json_object_get (body, "fencing_token"));
  gulong delay_ms = draw_delay_ms (endpoint, exchange->path);

  g_usleep (1000 * delay_ms);
  g_mutex_lock (&endpoint->lock);
  update_runs (endpoint);
  if (endpoint->down_until_ms > 0)
    exchange->status = 0;
  else if (token < endpoint->fencing_token)
    send_conflict (endpoint, exchange, "fence");
  else
    {
      endpoint->fencing_token = token;
      if (strcmp (exchange->path, "/api/run-start") == 0)
        handle_start (endpoint, exchange, body);
      else if (strcmp (exchange->path, "/api/run-stop") == 0)
        handle_stop (endpoint, exchange, body);
      else if (strcmp (exchange->path, "/api/hold") == 0)
        handle_poll (endpoint, exchange, body);
      else
        exchange->status = 404;
    }
  /* It may have crashed while a poll waited. */
  if (endpoint->down_until_ms > 0 || delay_ms > 0)
    exchange->status = 0;
  if (endpoint->dropped_answer_share > 0
      && g_rand_double (endpoint->rand) < endpoint->dropped_answer_share)
    exchange->status = 0;
  g_mutex_unlock (&endpoint->lock);
  json_decref (body);
}

struct fake_endpoint *
fake_endpoint_new (struct fake_store *store, const char *id,
                   const char *domain, int64_t cpu_millicores, double slowdown)
{
  struct fake_endpoint *endpoint = g_new0 (struct fake_endpoint, 1);

  g_mutex_init (&endpoint->lock);
  g_cond_init (&endpoint->run_ended);
  endpoint->store = store;
  g_strlcpy (endpoint->id, id, sizeof endpoint->id);
  g_strlcpy (endpoint->domain, domain, sizeof endpoint->domain);
  endpoint->cpu_millicores = cpu_millicores;
  endpoint->full_millicores = cpu_millicores;
  endpoint->slowdown = slowdown;
  endpoint->started_ms = g_get_real_time () / 1000;
  endpoint->clock_offset_ms = (int64_t)g_str_hash (id) % 100000;
  endpoint->runs = g_ptr_array_new ();
  endpoint->ended_runs = g_ptr_array_new_with_free_func (ended_run_free);
  endpoint->rand = g_rand_new_with_seed (g_str_hash (id));
  endpoint->server.handle = handle_exchange;
  endpoint->server.ctx = endpoint;
  http_server_start (&endpoint->server);
  return endpoint;
}

uint16_t
fake_endpoint_port (const struct fake_endpoint *endpoint)
{
  return http_server_port (&endpoint->server);
}

void
fake_endpoint_list (struct fake_endpoint *endpoint, const char *address)
{
  g_mutex_lock (&endpoint->lock);
  g_strlcpy (endpoint->address, address, sizeof endpoint->address);
  write_list_row (endpoint);
  g_mutex_unlock (&endpoint->lock);
}

static void
begin_incarnation (struct fake_endpoint *endpoint)
{
  lose_runs (endpoint);
  g_ptr_array_set_size (endpoint->ended_runs, 0);
  endpoint->last_sequence = 0;
  endpoint->fencing_token = 0;
  endpoint->lease_end_ms = 0;
  endpoint->started_ms = g_get_real_time () / 1000;
  endpoint->clock_offset_ms -= 50000;
  endpoint->draining_since_ms = 0;
  endpoint->down_until_ms = 0;
  g_cond_broadcast (&endpoint->run_ended);
  write_list_row (endpoint);
}

void
fake_endpoint_restart (struct fake_endpoint *endpoint)
{
  g_mutex_lock (&endpoint->lock);
  begin_incarnation (endpoint);
  g_mutex_unlock (&endpoint->lock);
}

void
fake_endpoint_resize (struct fake_endpoint *endpoint, double share)
{
  g_mutex_lock (&endpoint->lock);
  endpoint->cpu_millicores
      = (int64_t)(share * (double)endpoint->full_millicores);
  if (share < 1)
    endpoint->shrunk_at_ms = g_get_monotonic_time () / 1000;
  write_list_row (endpoint);
  g_mutex_unlock (&endpoint->lock);
}

void
fake_endpoint_drain (struct fake_endpoint *endpoint, bool drain)
{
  g_mutex_lock (&endpoint->lock);
  endpoint->draining_since_ms = drain ? g_get_monotonic_time () / 1000 : 0;
  write_list_row (endpoint);
  g_mutex_unlock (&endpoint->lock);
}

void
fake_endpoint_fail (struct fake_endpoint *endpoint, bool fail)
{
  g_mutex_lock (&endpoint->lock);
  endpoint->fail_runs = fail;
  g_mutex_unlock (&endpoint->lock);
}

void
fake_endpoint_drop_answers (struct fake_endpoint *endpoint, double share)
{
  g_mutex_lock (&endpoint->lock);
  endpoint->dropped_answer_share = share;
  g_mutex_unlock (&endpoint->lock);
}

void
fake_endpoint_delay_stops (struct fake_endpoint *endpoint, double share)
{
  g_mutex_lock (&endpoint->lock);
  endpoint->delayed_stop_share = share;
  g_mutex_unlock (&endpoint->lock);
}

void
fake_endpoint_tick (struct fake_endpoint *endpoint)
{
  int64_t now = g_get_monotonic_time () / 1000;

  g_mutex_lock (&endpoint->lock);
  update_runs (endpoint);
  if (endpoint->down_until_ms > 0 && now >= endpoint->down_until_ms)
    begin_incarnation (endpoint);
  if (endpoint->down_until_ms == 0 && now - endpoint->listed_at_ms >= 1500)
    {
      endpoint->listed_at_ms = now;
      write_list_row (endpoint);
    }
  g_mutex_unlock (&endpoint->lock);
}
