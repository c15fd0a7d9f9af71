#include "node/cancelled_jobs.h"

#include <glib.h>
#include <string.h>

/* Each cancellation drops a job once there are too many. */
#define LOG_INTERVAL (1 * SNIPE_S)

struct cancelled_job
{
  GList link; /**< in the order of time; its data is this struct */
  snipe_time at;
  bool own;
  char id[]; /**< key of the table */
};

struct snipe_cancelled_jobs
{
  GHashTable *by_id;
  GQueue by_time; /**< oldest first */
  uint64_t dropped;
  snipe_time log_due;
};

struct snipe_cancelled_jobs *
snipe_cancelled_jobs_new (void)
{
  struct snipe_cancelled_jobs *jobs = g_new0 (struct snipe_cancelled_jobs, 1);

  jobs->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  g_queue_init (&jobs->by_time);
  return jobs;
}

void
snipe_cancelled_jobs_free (struct snipe_cancelled_jobs *jobs)
{
  if (jobs == NULL)
    return;
  g_hash_table_destroy (jobs->by_id);
  g_free (jobs);
}

static bool
has_expired (const struct cancelled_job *job, snipe_time now)
{
  return now - job->at >= SNIPE_CANCELLED_JOBS_RETENTION;
}

static struct cancelled_job *
oldest (const struct snipe_cancelled_jobs *jobs)
{
  return jobs->by_time.head == NULL ? NULL : jobs->by_time.head->data;
}

static void
remove_job (struct snipe_cancelled_jobs *jobs, struct cancelled_job *job)
{
  g_queue_unlink (&jobs->by_time, &job->link);
  g_hash_table_remove (jobs->by_id, job->id);
}

static void
drop_oldest (struct snipe_cancelled_jobs *jobs, snipe_time now)
{
  struct cancelled_job *job = oldest (jobs);

  jobs->dropped++;
  if (now >= jobs->log_due)
    {
      jobs->log_due = now + LOG_INTERVAL;
      g_warning ("host: event=cancelled_job_dropped job=%s "
                 "age_ms=%" G_GINT64_FORMAT " dropped=%" G_GUINT64_FORMAT,
                 job->id, (now - job->at) / SNIPE_MS, jobs->dropped);
    }
  remove_job (jobs, job);
}

void
snipe_cancelled_jobs_expire (struct snipe_cancelled_jobs *jobs, snipe_time now)
{
  struct cancelled_job *job;

  while ((job = oldest (jobs)) != NULL && has_expired (job, now))
    remove_job (jobs, job);
}

void
snipe_cancelled_jobs_add (struct snipe_cancelled_jobs *jobs, const char *id,
                          bool own, snipe_time now)
{
  struct cancelled_job *job;
  size_t size = strlen (id) + 1;

  snipe_cancelled_jobs_expire (jobs, now);
  job = g_hash_table_lookup (jobs->by_id, id);
  if (job != NULL && !own)
    return;
  if (job != NULL)
    remove_job (jobs, job);
  while (jobs->by_time.length >= SNIPE_CANCELLED_JOBS_MAX)
    drop_oldest (jobs, now);
  job = g_malloc0 (sizeof *job + size);
  job->link.data = job;
  job->at = now;
  job->own = own;
  memcpy (job->id, id, size);
  g_queue_push_tail_link (&jobs->by_time, &job->link);
  g_hash_table_insert (jobs->by_id, job->id, job);
}

bool
snipe_cancelled_jobs_contains (const struct snipe_cancelled_jobs *jobs,
                               const char *id, snipe_time now)
{
  const struct cancelled_job *job = g_hash_table_lookup (jobs->by_id, id);

  return job != NULL && !has_expired (job, now);
}

void
snipe_cancelled_jobs_each_own (const struct snipe_cancelled_jobs *jobs,
                               snipe_time age,
                               void (*visit) (void *ctx, const char *id),
                               void *ctx, snipe_time now)
{
  for (const GList *at = jobs->by_time.tail; at != NULL; at = at->prev)
    {
      const struct cancelled_job *job = at->data;

      if (now - job->at > age || has_expired (job, now))
        return;
      if (job->own)
        visit (ctx, job->id);
    }
}

uint32_t
snipe_cancelled_jobs_count (const struct snipe_cancelled_jobs *jobs)
{
  return jobs->by_time.length;
}

uint64_t
snipe_cancelled_jobs_dropped (const struct snipe_cancelled_jobs *jobs)
{
  return jobs->dropped;
}
