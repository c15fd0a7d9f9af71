#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak/judge.h"
#include "soak/standin.h"
#include "soak/web.h"

#define MAX_HOLD_MS 1000
/* Cores that a task takes, in its spec: "d=MS c=CPU". */

struct run
{
  char *task;
  uint32_t run;
  int64_t cpu;
  int64_t until_ms;
};

struct end
{
  uint64_t number;
  char *task;
  uint32_t run;
  const char *how;
};

struct worker
{
  struct web web;
  struct store *store;
  GMutex lock;
  GCond ended;
  char id[32];
  char domain[32];
  char address[32];
  int64_t cpu;
  double slowness;
  int64_t born_ms;
  int64_t clock_base; /**< own clock less the steady one, ms */
  uint64_t token;
  GPtrArray *runs;
  GPtrArray *ends;
  uint64_t next_end;
  int64_t lease_ms; /**< own clock */
  int64_t draining_since;
  bool fails;
  double mute;
  uint64_t seq;
  int64_t beat_ms;
  GRand *rand;
};

static int64_t
clock_ms (const struct worker *worker)
{
  return g_get_monotonic_time () / 1000 + worker->clock_base;
}

static void
end_run (struct worker *worker, guint index, const char *how)
{
  struct run *run = g_ptr_array_index (worker->runs, index);
  struct end *end = g_new0 (struct end, 1);

  end->number = ++worker->next_end;
  end->task = g_strdup (run->task);
  end->run = run->run;
  end->how = how;
  g_ptr_array_add (worker->ends, end);
  judge_ended (worker->id, run->task, strcmp (how, "done") == 0);
  g_free (run->task);
  g_free (run);
  g_ptr_array_remove_index_fast (worker->runs, index);
  g_cond_broadcast (&worker->ended);
}

static void
pass (struct worker *worker)
{
  int64_t now = clock_ms (worker);

  for (guint i = worker->runs->len; i > 0; i--)
    {
      const struct run *run = g_ptr_array_index (worker->runs, i - 1);

      if (run->until_ms <= now)
        end_run (worker, i - 1, worker->fails ? "failed" : "done");
      else if (worker->lease_ms < now)
        end_run (worker, i - 1, "lapsed");
    }
}

static void
list (struct worker *worker)
{
  json_t *row = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:{s:I, s:i, s:i}, s:[s, s], s:I, s:I}",
      "service", "work", "address", worker->address, "zone", worker->domain,
      "version", "v1", "slots", 8, "state",
      worker->draining_since > 0 ? "draining" : "ready", "capacity", "cpu",
      (json_int_t)worker->cpu, "mem_mb", 65536, "gpu", 0, "labels", "a", "r1",
      "born", (json_int_t)worker->born_ms, "seq_no",
      (json_int_t)++worker->seq);

  store_put (worker->store, "servers", worker->id, row);
  json_decref (row);
}

static void
answer (struct worker *worker, struct web_call *call, json_t *out)
{
  char *text;

  json_object_set_new (out, "clock_ms", json_integer (clock_ms (worker)));
  json_object_set_new (out, "born", json_integer (worker->born_ms));
  text = json_dumps (out, JSON_COMPACT);
  call->answer = g_strdup (text);
  free (text);
  json_decref (out);
}

static void
conflict (struct worker *worker, struct web_call *call, const char *reason)
{
  call->http = 409;
  answer (worker, call, json_pack ("{s:s}", "reason", reason));
}

static void
extend (struct worker *worker, const json_t *body)
{
  int64_t until = json_integer_value (json_object_get (body, "deadline_ms"));
  int64_t most = clock_ms (worker) + MAX_HOLD_MS;

  worker->lease_ms = MAX (worker->lease_ms, MIN (until, most));
}

static bool
ended_before (const struct worker *worker, const char *task, uint32_t run)
{
  for (guint i = 0; i < worker->ends->len; i++)
    {
      const struct end *end = g_ptr_array_index (worker->ends, i);

      if (strcmp (end->task, task) == 0 && end->run >= run)
        return true;
    }
  return false;
}

static void
start (struct worker *worker, struct web_call *call, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  uint32_t number
      = (uint32_t)json_integer_value (json_object_get (body, "run"));
  int64_t used = 0;
  int64_t length = 0;
  long cpu = 0;
  long ms = 0;
  struct run *run;

  if (json_integer_value (json_object_get (body, "deadline_ms"))
      < clock_ms (worker))
    {
      conflict (worker, call, "late");
      return;
    }
  for (guint i = 0; i < worker->runs->len; i++)
    {
      run = g_ptr_array_index (worker->runs, i);
      used += run->cpu;
      if (strcmp (run->task, task) == 0 && run->run == number)
        {
          answer (worker, call, json_object ());
          return;
        }
    }
  if (ended_before (worker, task, number))
    {
      extend (worker, body);
      conflict (worker, call, "old");
      return;
    }
  if (sscanf (spec, "d=%ld c=%ld", &ms, &cpu) == 2)
    length = (int64_t)((double)ms * worker->slowness);
  run = g_new0 (struct run, 1);
  run->task = g_strdup (task);
  run->run = number;
  run->cpu = cpu;
  run->until_ms = clock_ms (worker) + (worker->fails ? 2 : length);
  g_ptr_array_add (worker->runs, run);
  extend (worker, body);
  judge_started (worker->id, task, spec, used + cpu, worker->cpu,
                 worker->draining_since > 0
                     ? g_get_monotonic_time () / 1000 - worker->draining_since
                     : 0);
  answer (worker, call, json_object ());
}

static void
stop (struct worker *worker, struct web_call *call, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  uint32_t number
      = (uint32_t)json_integer_value (json_object_get (body, "run"));
  bool found = false;

  for (guint i = worker->runs->len; i > 0; i--)
    {
      const struct run *run = g_ptr_array_index (worker->runs, i - 1);

      if (strcmp (run->task, task) == 0 && run->run <= number)
        {
          end_run (worker, i - 1, "stopped");
          found = true;
        }
    }
  if (!found)
    {
      /* A run that is not there yet is refused from now on. */
      struct end *end = g_new0 (struct end, 1);

      end->task = g_strdup (task);
      end->run = number;
      end->how = "stopped";
      g_ptr_array_add (worker->ends, end);
    }
  answer (worker, call, json_object ());
}

static json_t *
list_ends (const struct worker *worker, uint64_t seen)
{
  json_t *out = json_array ();

  for (guint i = 0; i < worker->ends->len; i++)
    {
      const struct end *end = g_ptr_array_index (worker->ends, i);

      if (end->number > seen)
        json_array_append_new (
            out, json_pack ("[I, s, i, s, s]", (json_int_t)end->number,
                            end->task, (int)end->run, end->how, ""));
    }
  return out;
}

static void
hold (struct worker *worker, struct web_call *call, const json_t *body)
{
  uint64_t seen
      = (uint64_t)json_integer_value (json_object_get (body, "last_seen"));
  gint64 until
      = g_get_monotonic_time ()
        + 1000 * json_integer_value (json_object_get (body, "wait_ms"));
  int64_t life = worker->born_ms;
  json_t *running = json_array ();
  json_t *ends;

  extend (worker, body);
  while (worker->next_end <= seen && worker->born_ms == life
         && g_cond_wait_until (&worker->ended, &worker->lock, until))
    pass (worker);
  ends = list_ends (worker, seen);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct run *run = g_ptr_array_index (worker->runs, i);

      json_array_append_new (running, json_pack ("[s, i, s, i]", run->task,
                                                 (int)run->run, "", 50));
    }
  answer (worker, call,
          json_pack ("{s:o, s:o}", "running", running, "finished", ends));
}

static void
handle (void *ctx, struct web_call *call)
{
  struct worker *worker = ctx;
  json_t *body = json_loadb (call->body->str, call->body->len, 0, NULL);
  uint64_t token
      = (uint64_t)json_integer_value (json_object_get (body, "fencing_token"));

  g_mutex_lock (&worker->lock);
  pass (worker);
  if (token < worker->token)
    conflict (worker, call, "fence");
  else
    {
      worker->token = token;
      if (strcmp (call->path, "/api/run-start") == 0)
        start (worker, call, body);
      else if (strcmp (call->path, "/api/run-stop") == 0)
        stop (worker, call, body);
      else if (strcmp (call->path, "/api/hold") == 0)
        hold (worker, call, body);
      else
        call->http = 404;
    }
  if (worker->mute > 0 && g_rand_double (worker->rand) < worker->mute)
    call->http = 0;
  g_mutex_unlock (&worker->lock);
  json_decref (body);
}

struct worker *
worker_new (struct store *store, const char *id, const char *domain,
            int64_t cpu, double slowness)
{
  struct worker *worker = g_new0 (struct worker, 1);

  g_mutex_init (&worker->lock);
  g_cond_init (&worker->ended);
  worker->store = store;
  g_strlcpy (worker->id, id, sizeof worker->id);
  g_strlcpy (worker->domain, domain, sizeof worker->domain);
  worker->cpu = cpu;
  worker->slowness = slowness;
  worker->born_ms = g_get_real_time () / 1000;
  worker->clock_base = (int64_t)g_str_hash (id) % 100000;
  worker->runs = g_ptr_array_new ();
  worker->ends = g_ptr_array_new ();
  worker->rand = g_rand_new_with_seed (g_str_hash (id));
  worker->web.handle = handle;
  worker->web.ctx = worker;
  web_start (&worker->web);
  return worker;
}

uint16_t
worker_port (const struct worker *worker)
{
  return web_port (&worker->web);
}

void
worker_list (struct worker *worker, const char *address)
{
  g_mutex_lock (&worker->lock);
  g_strlcpy (worker->address, address, sizeof worker->address);
  list (worker);
  g_mutex_unlock (&worker->lock);
}

void
worker_restart (struct worker *worker)
{
  g_mutex_lock (&worker->lock);
  while (worker->runs->len > 0)
    end_run (worker, 0, "lapsed");
  g_ptr_array_set_size (worker->ends, 0);
  worker->next_end = 0;
  worker->token = 0;
  worker->lease_ms = 0;
  worker->born_ms = g_get_real_time () / 1000;
  worker->clock_base -= 50000;
  worker->draining_since = 0;
  g_cond_broadcast (&worker->ended);
  list (worker);
  g_mutex_unlock (&worker->lock);
}

void
worker_drain (struct worker *worker, bool drain)
{
  g_mutex_lock (&worker->lock);
  worker->draining_since = drain ? g_get_monotonic_time () / 1000 : 0;
  list (worker);
  g_mutex_unlock (&worker->lock);
}

void
worker_fail (struct worker *worker, bool fail)
{
  g_mutex_lock (&worker->lock);
  worker->fails = fail;
  g_mutex_unlock (&worker->lock);
}

void
worker_mute (struct worker *worker, double share)
{
  g_mutex_lock (&worker->lock);
  worker->mute = share;
  g_mutex_unlock (&worker->lock);
}

void
worker_pass (struct worker *worker)
{
  int64_t now = g_get_monotonic_time () / 1000;

  g_mutex_lock (&worker->lock);
  pass (worker);
  if (now - worker->beat_ms >= 1500)
    {
      worker->beat_ms = now;
      list (worker);
    }
  g_mutex_unlock (&worker->lock);
}
