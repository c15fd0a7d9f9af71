#include "engine/private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "snipe/status.h"

/* Maximum number of submissions in a segment. */
#define SEGMENT_ENTRIES 2000
#define ARCHIVE_POLL_INTERVAL_US 50000

char *
archive_prefix (uint64_t incarnation)
{
  return g_strdup_printf ("archive/%016" G_GINT64_MODIFIER "x/",
                          (guint64)incarnation);
}

void
digest_hex (char *out, const uint8_t *digest)
{
  for (int i = 0; i < DIGEST_BYTES; i++)
    snprintf (out + (size_t)2 * i, 3, "%02x", digest[i]);
}

/** Memory that a cached answer occupies. */
static size_t
cached_answer_size (const struct submission *sub)
{
  return sizeof *sub + sub->answer.len;
}

void
archive_add (struct snipe_engine *engine, struct submission *sub)
{
  struct submission *evicted;

  pthread_mutex_lock (&engine->archive_lock);
  g_queue_push_tail (&engine->unarchived, submission_ref (sub));
  g_queue_push_tail (&engine->cached_answers, submission_ref (sub));
  engine->cached_bytes += cached_answer_size (sub);
  do
    {
      evicted = NULL;
      if (engine->cached_bytes > engine->options.answer_cache_bytes)
        evicted = g_queue_pop_head (&engine->cached_answers);
      if (evicted == NULL)
        break;
      engine->cached_bytes -= cached_answer_size (evicted);
      pthread_mutex_unlock (&engine->archive_lock);
      {
        struct shard *shard = shard_of_id (engine, evicted->id.text);

        pthread_mutex_lock (&shard->lock);
        snipe_str_clear (&evicted->answer);
        pthread_mutex_unlock (&shard->lock);
        submission_unref (evicted);
      }
      pthread_mutex_lock (&engine->archive_lock);
    }
  while (evicted != NULL);
  pthread_mutex_unlock (&engine->archive_lock);
}

static json_t *
entry_json (struct snipe_engine *engine, struct submission *sub)
{
  struct shard *shard = shard_of_id (engine, sub->id.text);
  struct snipe_str answer = SNIPE_STR_INIT;
  char digest[2 * DIGEST_BYTES + 1] = "";
  json_t *entry;
  int http;

  pthread_mutex_lock (&shard->lock);
  snipe_str_set (&answer, sub->answer.data, sub->answer.len);
  if (sub->has_digest)
    digest_hex (digest, sub->digest);
  http = sub->http_status;
  pthread_mutex_unlock (&shard->lock);
  if (answer.len == 0)
    {
      answer_build_failed (
          &answer, sub->id.text, SNIPE_OUTCOME_UNKNOWN, SNIPE_E_ANSWER_GONE,
          "the job has ended, but its answer is no longer available");
      http = answer_http_status (SNIPE_OUTCOME_UNKNOWN, SNIPE_E_ANSWER_GONE);
    }
  entry = json_pack ("{s:s, s:s, s:i, s:s%}", "id", sub->id.text, "digest",
                     digest, "http", http, "answer", snipe_str_c (&answer),
                     answer.len);
  snipe_str_clear (&answer);
  return entry;
}

/** Removes up to SEGMENT_ENTRIES submissions from the queue. */
static GPtrArray *
take_unarchived (struct snipe_engine *engine)
{
  GPtrArray *list = g_ptr_array_new ();
  gpointer sub;

  pthread_mutex_lock (&engine->archive_lock);
  while (list->len < SEGMENT_ENTRIES
         && (sub = g_queue_pop_head (&engine->unarchived)) != NULL)
    g_ptr_array_add (list, sub);
  pthread_mutex_unlock (&engine->archive_lock);
  return list;
}

static void
requeue_unarchived (struct snipe_engine *engine, GPtrArray *list)
{
  pthread_mutex_lock (&engine->archive_lock);
  for (guint i = list->len; i > 0; i--)
    g_queue_push_head (&engine->unarchived, list->pdata[i - 1]);
  pthread_mutex_unlock (&engine->archive_lock);
}

/** Writes one segment. @return 1 if more remain, 0 if not, or a status
 * code. */
static int
write_segment (struct snipe_engine *engine, bool final)
{
  GPtrArray *list = take_unarchived (engine);
  struct snipe_str data = SNIPE_STR_INIT;
  json_t *entries = json_array ();
  char *prefix;
  char *name;
  json_t *root;
  char *text;
  int status = SNIPE_OK;
  bool more = list->len == SEGMENT_ENTRIES;

  if (list->len == 0 && !final)
    goto cleanup;
  for (guint i = 0; i < list->len; i++)
    json_array_append_new (entries, entry_json (engine, list->pdata[i]));
  root = json_pack ("{s:b, s:O}", "final", final && !more, "entries", entries);
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  snipe_str_take (&data, text, strlen (text));
  prefix = archive_prefix (engine->options.incarnation);
  /* Each attempt has its own number: a put whose reply was lost may have taken
     effect, and readers do not read a segment twice. */
  name = g_strdup_printf ("%s%08u", prefix, engine->next_segment++);
  status = engine_platform (engine) == NULL
               ? SNIPE_E_PLATFORM
               : snipe_platform_object_put (engine_platform (engine), name,
                                            &data);
  g_free (prefix);
  g_free (name);
  if (status == SNIPE_OK)
    for (guint i = 0; i < list->len; i++)
      submission_unref (list->pdata[i]);
  else
    requeue_unarchived (engine, list);

cleanup:
  json_decref (entries);
  snipe_str_clear (&data);
  g_ptr_array_free (list, TRUE);
  return status < 0 ? status : more;
}

int
snipe_engine_archive (struct snipe_engine *engine, bool final)
{
  int status;

  pthread_mutex_lock (&engine->archive_write_lock);
  while ((status = write_segment (engine, final)) > 0)
    ;
  pthread_mutex_unlock (&engine->archive_write_lock);
  return status;
}

void *
archive_thread (void *ctx)
{
  struct snipe_engine *engine = ctx;
  snipe_time next = snipe_clock_now () + engine->options.archive_interval;

  while (__atomic_load_n (&engine->stopping, __ATOMIC_ACQUIRE) == 0)
    {
      g_usleep (ARCHIVE_POLL_INTERVAL_US);
      if (snipe_clock_now () < next)
        continue;
      snipe_engine_archive (engine, false);
      next = snipe_clock_now () + engine->options.archive_interval;
    }
  return NULL;
}
