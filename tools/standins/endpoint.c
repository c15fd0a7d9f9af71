#include "endpoint.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>
#include "timer.h"
#include "web.h"

struct endpoint
{
  struct endpoint_options options;
  struct web *web;
  pthread_mutex_t lock; /**< guards the fields below */
  enum endpoint_mode mode;
  double factor;
  snipe_time draining_since; /**< when mode ENDPOINT_LEAVE was set */
  GQueue runs;
  struct endpoint_counts counts;
};

/* A running task. Owned by the endpoint's list until it has ended, and by the
 * timer while one is pending; the last of the two frees it. */
struct run
{
  struct endpoint *endpoint;
  struct starts_team *team;
  GList link;
  bool frozen;
  bool ended;
  bool timer_pending; /**< a timer refers to this run */
};

static const char *const mode_names[ENDPOINT_MODES] = {
  [ENDPOINT_OK] = "ok",       [ENDPOINT_FAIL] = "fail",
  [ENDPOINT_DEAD] = "dead",   [ENDPOINT_FREEZE] = "freeze",
  [ENDPOINT_SLOW] = "slow",   [ENDPOINT_REFUSE] = "refuse",
  [ENDPOINT_LEAVE] = "leave", [ENDPOINT_LATE] = "late",
  [ENDPOINT_CUT] = "cut",
};

/* Call with the lock held. */
static void
run_end (struct run *run, bool answered)
{
  struct endpoint *endpoint = run->endpoint;
  g_queue_unlink (&endpoint->runs, &run->link);
  run->ended = true;
  endpoint->counts.running--;
  endpoint->counts.answers += answered;
  starts_end_run (endpoint->options.starts, run->team);
  if (!run->timer_pending)
    g_free (run);
}

static void
on_run_timer (void *arg)
{
  struct run *run = arg;
  struct endpoint *endpoint = run->endpoint;
  pthread_mutex_lock (&endpoint->lock);
  run->timer_pending = false;
  if (run->ended)
    g_free (run);
  else
    run_end (run, true);
  pthread_mutex_unlock (&endpoint->lock);
}

/* Call with the lock held. */
static void
end_runs (struct endpoint *endpoint, bool frozen_only)
{
  GList *link = endpoint->runs.head;
  while (link)
    {
      struct run *run = link->data;
      link = link->next;
      if (run->frozen || !frozen_only)
        run_end (run, frozen_only);
    }
}

/* Call with the lock held. @return value of X-Refused, or NULL if the task may
 * start. */
static const char *
rejection_reason (struct endpoint *endpoint)
{
  if (endpoint->mode == ENDPOINT_LEAVE)
    {
      endpoint->counts.requests_while_draining++;
      endpoint->counts.last_request_while_draining
          = snipe_clock_now () - endpoint->draining_since;
      return "leaving";
    }
  if (endpoint->mode == ENDPOINT_REFUSE
      || endpoint->counts.running >= endpoint->options.slots)
    return "full";
  return NULL;
}

/* Call with the lock held. @return delay of the reply, WEB_UNTIL_UNFROZEN if
 * the endpoint is frozen. */
static snipe_time
begin_run (struct endpoint *endpoint, const char *team, double task_ms)
{
  snipe_time latency = endpoint->options.latency;
  double us = task_ms * 1000 / endpoint->options.speed;
  if (endpoint->mode == ENDPOINT_SLOW)
    us *= endpoint->factor;
  snipe_time busy = (snipe_time)us + latency;
  snipe_time answer = busy + latency;
  if (endpoint->mode == ENDPOINT_LATE)
    /* 1 ms is added so that the reply to a task of 0 ms is late, too. */
    answer = (snipe_time)((us + 1000) * endpoint->factor) + 2 * latency;
  struct run *run = g_new0 (struct run, 1);
  run->endpoint = endpoint;
  run->link.data = run;
  run->frozen = endpoint->mode == ENDPOINT_FREEZE;
  run->team = starts_begin_run (endpoint->options.starts, team);
  g_queue_push_tail_link (&endpoint->runs, &run->link);
  endpoint->counts.running++;
  if (run->frozen)
    return WEB_UNTIL_UNFROZEN;
  if (busy == 0)
    {
      run_end (run, true);
      return answer;
    }
  /* Set before the timer of the reply, so that the slot is free when the
   * dispatcher reads the reply. */
  run->timer_pending = true;
  timer_at (snipe_clock_now () + busy, on_run_timer, run);
  return answer;
}

static snipe_time
run_task (struct endpoint *endpoint, struct web_request *request,
          const char *task, const char *team, double task_ms)
{
  snipe_time delay = 2 * endpoint->options.latency;
  pthread_mutex_lock (&endpoint->lock);
  if (endpoint->mode == ENDPOINT_DEAD)
    {
      request->close_connection = true;
      pthread_mutex_unlock (&endpoint->lock);
      return 0;
    }
  request->rejection = rejection_reason (endpoint);
  if (request->rejection)
    endpoint->counts.rejected++;
  else
    {
      endpoint->counts.starts++;
      starts_add (endpoint->options.starts, task);
      if (endpoint->mode == ENDPOINT_CUT)
        request->close_connection = true;
      else if (endpoint->mode == ENDPOINT_FAIL)
        request->status = 500;
      else
        delay = begin_run (endpoint, team, task_ms);
    }
  pthread_mutex_unlock (&endpoint->lock);
  return delay;
}

static snipe_time
on_request (void *ctx, struct web_request *request)
{
  struct endpoint *endpoint = ctx;
  json_t *body = json_loadb (request->body->str, request->body->len, 0, NULL);
  const char *task = NULL;
  const char *team = "";
  json_t *payload = NULL;
  snipe_time delay = 0;
  if (strcmp (request->url, "/run") != 0
      || strcmp (request->method, "POST") != 0)
    {
      web_reply_error (request, 404, "no such path");
      goto cleanup;
    }
  if (json_unpack (body, "{s:s,s?s,s?o}", "task", &task, "team", &team,
                   "payload", &payload)
      != 0)
    {
      web_reply_error (request, 400, "malformed task");
      goto cleanup;
    }
  request->status = 200;
  delay = run_task (endpoint, request, task, team,
                    json_number_value (json_object_get (payload, "ms")));
  if (request->rejection)
    web_reply_error (request, 503, request->rejection);
  else if (request->status == 500)
    web_reply_error (request, 500, "task failed");
  else if (!request->close_connection)
    web_reply (
        request, 200,
        json_pack ("{s:{s:s,s:O?}}", "result", "task", task, "echo", payload));

cleanup:
  json_decref (body);
  return delay;
}

struct endpoint *
endpoint_new (const struct endpoint_options *options)
{
  struct endpoint *endpoint = g_new0 (struct endpoint, 1);
  endpoint->options = *options;
  endpoint->options.name = g_strdup (options->name);
  endpoint->factor = 1;
  pthread_mutex_init (&endpoint->lock, NULL);
  g_queue_init (&endpoint->runs);
  const struct web_options web_options = { .listen = options->listen,
                                           .threads = 1,
                                           .connections = options->connections,
                                           .handler = on_request,
                                           .ctx = endpoint };
  endpoint->web = web_new (&web_options);
  if (endpoint->web)
    return endpoint;
  g_free ((char *)endpoint->options.name);
  g_free (endpoint);
  return NULL;
}

void
endpoint_close (struct endpoint *endpoint)
{
  pthread_mutex_lock (&endpoint->lock);
  endpoint->mode = ENDPOINT_DEAD;
  end_runs (endpoint, false);
  pthread_mutex_unlock (&endpoint->lock);
  web_close (endpoint->web);
}

const char *
endpoint_name (const struct endpoint *endpoint)
{
  return endpoint->options.name;
}

const char *
endpoint_address (const struct endpoint *endpoint)
{
  return web_address (endpoint->web);
}

double
endpoint_speed (const struct endpoint *endpoint)
{
  return endpoint->options.speed;
}

enum endpoint_mode
endpoint_mode (struct endpoint *endpoint)
{
  pthread_mutex_lock (&endpoint->lock);
  enum endpoint_mode mode = endpoint->mode;
  pthread_mutex_unlock (&endpoint->lock);
  return mode;
}

int
endpoint_set_mode (struct endpoint *endpoint, enum endpoint_mode mode,
                   double factor)
{
  if (mode == ENDPOINT_DEAD)
    {
      endpoint_close (endpoint);
      return 0;
    }
  if (web_reopen (endpoint->web) != 0)
    return -1;
  if (mode == ENDPOINT_FREEZE)
    web_freeze (endpoint->web, true);
  pthread_mutex_lock (&endpoint->lock);
  if (mode == ENDPOINT_LEAVE && endpoint->mode != ENDPOINT_LEAVE)
    endpoint->draining_since = snipe_clock_now ();
  endpoint->mode = mode;
  endpoint->factor = factor > 0 ? factor : 1;
  if (mode != ENDPOINT_FREEZE)
    end_runs (endpoint, true);
  pthread_mutex_unlock (&endpoint->lock);
  if (mode != ENDPOINT_FREEZE)
    web_freeze (endpoint->web, false);
  return 0;
}

void
endpoint_counts (struct endpoint *endpoint, struct endpoint_counts *out)
{
  pthread_mutex_lock (&endpoint->lock);
  *out = endpoint->counts;
  pthread_mutex_unlock (&endpoint->lock);
}

void
endpoint_reset_counts (struct endpoint *endpoint)
{
  pthread_mutex_lock (&endpoint->lock);
  endpoint->counts
      = (struct endpoint_counts){ .running = endpoint->counts.running };
  pthread_mutex_unlock (&endpoint->lock);
}

const char *
endpoint_mode_name (enum endpoint_mode mode)
{
  return mode_names[mode];
}

enum endpoint_mode
endpoint_mode_parse (const char *name)
{
  int mode = 0;
  while (mode < ENDPOINT_MODES && g_strcmp0 (mode_names[mode], name) != 0)
    mode++;
  return (enum endpoint_mode)mode;
}
