#include "soak/judge.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "snipe/clock.h"

/* How long an endpoint may be given work after it has said that it leaves:
 * the interval of reading the list, and a margin for its answer. */
#define LEAVING_MS 2500

struct job
{
  uint32_t count;
  uint32_t open;    /**< attempts under way */
  uint32_t refused; /**< attempts answered with "not run" */
  uint32_t attempts;
  uint32_t started;
  uint64_t done; /**< bit for each task that has ended well */
};

static GMutex lock;
static GHashTable *jobs;    /* id -> struct job */
static GHashTable *running; /* task -> endpoint */
static struct judge_totals totals;
static int broken;
static snipe_time begun;

void
judge_init (void)
{
  jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  running = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  begun = snipe_clock_now ();
}

static void
report (const char *rule, const char *format, va_list args)
{
  char text[256];

  vsnprintf (text, sizeof text, format, args);
  printf ("BROKEN %s at %.3f s: %s\n", rule,
          (double)(snipe_clock_now () - begun) / 1e6, text);
  fflush (stdout);
  broken++;
}

void
judge_broken (const char *rule, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  report (rule, format, args);
  va_end (args);
}

int
judge_broken_count (void)
{
  return broken;
}

static struct job *
job_of (const char *task)
{
  char id[17];

  g_strlcpy (id, task, sizeof id);
  return g_hash_table_lookup (jobs, id);
}

static uint32_t
index_of (const char *task)
{
  const char *dot = strrchr (task, '.');

  return dot == NULL ? 0 : (uint32_t)g_ascii_strtoull (dot + 1, NULL, 10);
}

void
judge_sent (const char *id, uint32_t count)
{
  struct job *job;

  g_mutex_lock (&lock);
  job = g_hash_table_lookup (jobs, id);
  if (job == NULL)
    {
      job = g_new0 (struct job, 1);
      job->count = count;
      g_hash_table_insert (jobs, g_strdup (id), job);
      totals.jobs++;
    }
  job->open++;
  job->attempts++;
  g_mutex_unlock (&lock);
}

void
judge_answered (const char *id, int http, bool completed)
{
  struct job *job;

  g_mutex_lock (&lock);
  job = g_hash_table_lookup (jobs, id);
  job->open--;
  if (http == 503 || http == 429 || http == 404)
    {
      job->refused++;
      totals.refused++;
    }
  else if (http == 200 && completed)
    {
      totals.completed++;
      if (job->done
          != (job->count >= 64 ? UINT64_MAX : ((uint64_t)1 << job->count) - 1))
        judge_broken ("MIXED",
                      "%s: answered as complete, not all its tasks "
                      "have ended well",
                      id);
    }
  else
    totals.failed++;
  g_mutex_unlock (&lock);
}

void
judge_started (const char *endpoint, const char *task, const char *spec,
               int64_t used_cpu, int64_t capacity_cpu, int64_t leaving_for_ms)
{
  const char *at;
  struct job *job;

  g_mutex_lock (&lock);
  totals.starts++;
  job = job_of (task);
  at = g_hash_table_lookup (running, task);
  if (job == NULL || !g_str_has_prefix (spec, "d="))
    judge_broken ("UNASKED", "%s at %s", task, endpoint);
  if (at != NULL)
    judge_broken ("TWICE", "%s at %s, runs at %s", task, endpoint, at);
  if (used_cpu > capacity_cpu)
    judge_broken ("LIMIT", "%s at %s: %ld of %ld", task, endpoint,
                  (long)used_cpu, (long)capacity_cpu);
  if (leaving_for_ms > LEAVING_MS)
    judge_broken ("DRAIN", "%s at %s, which leaves for %ld ms", task, endpoint,
                  (long)leaving_for_ms);
  if (job != NULL)
    {
      job->started++;
      if (job->open == 0 && job->refused == job->attempts)
        judge_broken ("REFUSED", "%s at %s: all attempts were refused", task,
                      endpoint);
    }
  g_hash_table_replace (running, g_strdup (task), g_strdup (endpoint));
  g_mutex_unlock (&lock);
}

void
judge_ended (const char *endpoint, const char *task, bool done)
{
  const char *at;
  struct job *job;

  g_mutex_lock (&lock);
  at = g_hash_table_lookup (running, task);
  if (at != NULL && strcmp (at, endpoint) == 0)
    g_hash_table_remove (running, task);
  job = job_of (task);
  if (done && job != NULL && index_of (task) < 64)
    job->done |= (uint64_t)1 << index_of (task);
  g_mutex_unlock (&lock);
}

void
judge_finish (void)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_mutex_lock (&lock);
  g_hash_table_iter_init (&iter, jobs);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct job *job = value;

      if (job->started > 0 && job->refused == job->attempts)
        judge_broken ("REFUSED", "%s: %u starts, all attempts were refused",
                      (const char *)key, job->started);
    }
  g_mutex_unlock (&lock);
}

struct judge_totals
judge_totals (void)
{
  struct judge_totals copy;

  g_mutex_lock (&lock);
  copy = totals;
  g_mutex_unlock (&lock);
  return copy;
}

void
judge_reset_totals (void)
{
  g_mutex_lock (&lock);
  totals = (struct judge_totals){ 0 };
  g_mutex_unlock (&lock);
}
