#include "starts.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

/* Each endpoint has a thread; 64 locks avoid contention on a single one. */
#define SHARDS 64

struct shard
{
  pthread_mutex_t lock;
  GHashTable *tasks; /**< task id -> number of starts */
  uint64_t total;
  uint64_t duplicate;
};

struct starts_team
{
  uint64_t running;
  uint64_t max;
};

struct starts
{
  struct shard shards[SHARDS];
  pthread_mutex_t team_lock;
  GHashTable *teams; /**< name -> struct starts_team */
};

/* Hashes only the job's part of the id, so that all tasks of a job are in one
 * shard. */
static struct shard *
shard_of_task (struct starts *starts, const char *task)
{
  uint32_t hash = 2166136261U;
  for (; *task && *task != '/'; task++)
    hash = (hash ^ (unsigned char)*task) * 16777619U;
  return &starts->shards[hash % SHARDS];
}

struct starts *
starts_new (void)
{
  struct starts *starts = g_new0 (struct starts, 1);
  for (int i = 0; i < SHARDS; i++)
    {
      pthread_mutex_init (&starts->shards[i].lock, NULL);
      starts->shards[i].tasks
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  pthread_mutex_init (&starts->team_lock, NULL);
  starts->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return starts;
}

void
starts_free (struct starts *starts)
{
  if (!starts)
    return;
  for (int i = 0; i < SHARDS; i++)
    {
      pthread_mutex_destroy (&starts->shards[i].lock);
      g_hash_table_unref (starts->shards[i].tasks);
    }
  pthread_mutex_destroy (&starts->team_lock);
  g_hash_table_unref (starts->teams);
  g_free (starts);
}

void
starts_add (struct starts *starts, const char *task)
{
  struct shard *shard = shard_of_task (starts, task);
  char *key = g_strdup (task);
  pthread_mutex_lock (&shard->lock);
  guint count
      = GPOINTER_TO_UINT (g_hash_table_lookup (shard->tasks, task)) + 1;
  g_hash_table_replace (shard->tasks, key, GUINT_TO_POINTER (count));
  shard->total++;
  shard->duplicate += count == 2;
  pthread_mutex_unlock (&shard->lock);
}

uint64_t
starts_of_task (struct starts *starts, const char *task)
{
  struct shard *shard = shard_of_task (starts, task);
  pthread_mutex_lock (&shard->lock);
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (shard->tasks, task));
  pthread_mutex_unlock (&shard->lock);
  return count;
}

void
starts_of_job (struct starts *starts, const char *job, uint64_t *tasks,
               uint64_t *count)
{
  struct shard *shard = shard_of_task (starts, job);
  char *prefix = g_strconcat (job, "/", NULL);
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  *tasks = 0;
  *count = 0;
  pthread_mutex_lock (&shard->lock);
  g_hash_table_iter_init (&iter, shard->tasks);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (g_str_has_prefix (key, prefix))
      {
        (*tasks)++;
        *count += GPOINTER_TO_UINT (value);
      }
  pthread_mutex_unlock (&shard->lock);
  g_free (prefix);
}

uint64_t
starts_total (struct starts *starts)
{
  uint64_t sum = 0;
  for (int i = 0; i < SHARDS; i++)
    {
      pthread_mutex_lock (&starts->shards[i].lock);
      sum += starts->shards[i].total;
      pthread_mutex_unlock (&starts->shards[i].lock);
    }
  return sum;
}

uint64_t
starts_duplicate_count (struct starts *starts)
{
  uint64_t sum = 0;
  for (int i = 0; i < SHARDS; i++)
    {
      pthread_mutex_lock (&starts->shards[i].lock);
      sum += starts->shards[i].duplicate;
      pthread_mutex_unlock (&starts->shards[i].lock);
    }
  return sum;
}

struct starts_team *
starts_begin_run (struct starts *starts, const char *name)
{
  pthread_mutex_lock (&starts->team_lock);
  struct starts_team *team = g_hash_table_lookup (starts->teams, name);
  if (!team)
    {
      team = g_new0 (struct starts_team, 1);
      g_hash_table_insert (starts->teams, g_strdup (name), team);
    }
  team->running++;
  if (team->running > team->max)
    team->max = team->running;
  pthread_mutex_unlock (&starts->team_lock);
  return team;
}

void
starts_end_run (struct starts *starts, struct starts_team *team)
{
  pthread_mutex_lock (&starts->team_lock);
  team->running--;
  pthread_mutex_unlock (&starts->team_lock);
}

json_t *
starts_max_running (struct starts *starts)
{
  json_t *out = json_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  pthread_mutex_lock (&starts->team_lock);
  g_hash_table_iter_init (&iter, starts->teams);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct starts_team *team = value;
      json_object_set_new (out, name, json_integer ((json_int_t)team->max));
    }
  pthread_mutex_unlock (&starts->team_lock);
  return out;
}

void
starts_reset (struct starts *starts)
{
  GHashTableIter iter;
  gpointer value;
  for (int i = 0; i < SHARDS; i++)
    {
      struct shard *shard = &starts->shards[i];
      pthread_mutex_lock (&shard->lock);
      g_hash_table_remove_all (shard->tasks);
      shard->total = 0;
      shard->duplicate = 0;
      pthread_mutex_unlock (&shard->lock);
    }
  pthread_mutex_lock (&starts->team_lock);
  g_hash_table_iter_init (&iter, starts->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct starts_team *team = value;
      team->max = team->running;
    }
  pthread_mutex_unlock (&starts->team_lock);
}
