#include "engine/private.h"

#include <stdlib.h>
#include <string.h>

#include "snipe/status.h"

/* Archives kept in memory; the cache is cleared when it is full. */
#define ARCHIVE_CACHE_MAX 64
/* The segment list of an archive that is not final is read again after this
 * time. */
#define SEGMENT_LIST_TTL (500 * SNIPE_MS)

/** Cached contents of another incarnation's archive. */
struct archive
{
  uint64_t incarnation;
  GHashTable *entries;  /**< id -> JSON object of the entry */
  GHashTable *segments; /**< names of the segments already read */
  bool final;
  bool list_cached;
  snipe_time listed_at;
};

void
lookup_push (struct snipe_engine *engine, const struct lookup *lookup)
{
  g_async_queue_push (engine->lookups, g_memdup2 (lookup, sizeof *lookup));
}

static void
archive_free (void *ptr)
{
  struct archive *archive = ptr;

  g_hash_table_destroy (archive->entries);
  g_hash_table_destroy (archive->segments);
  g_free (archive);
}

static struct archive *
archive_get (GHashTable *cache, uint64_t incarnation)
{
  struct archive *archive = g_hash_table_lookup (cache, &incarnation);

  if (archive != NULL)
    return archive;
  if (g_hash_table_size (cache) >= ARCHIVE_CACHE_MAX)
    g_hash_table_remove_all (cache);
  archive = g_new0 (struct archive, 1);
  archive->incarnation = incarnation;
  archive->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)json_decref);
  archive->segments
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_insert (cache, &archive->incarnation, archive);
  return archive;
}

/** Adds the entries of a segment. @return whether it is marked final. */
static bool
archive_read_segment (struct archive *archive, const struct snipe_str *data)
{
  json_t *root = json_loadb (data->data, data->len, 0, NULL);
  json_t *entry;
  size_t i;
  bool final;

  if (root == NULL)
    return false;
  json_array_foreach (json_object_get (root, "entries"), i, entry)
  {
    const char *id = json_string_value (json_object_get (entry, "id"));

    if (id != NULL)
      g_hash_table_insert (archive->entries, g_strdup (id),
                           json_incref (entry));
  }
  final = json_is_true (json_object_get (root, "final"));
  json_decref (root);
  return final;
}

/** Reads the segments that are new. @return 0, or a status code if the archive
 * could not be read completely. */
static int
archive_refresh (struct snipe_engine *engine, struct archive *archive,
                 snipe_time now)
{
  struct snipe_platform *platform = engine_platform (engine);
  char *prefix;
  char **names = NULL;
  bool final = false;
  int status;

  if (archive->final
      || (archive->list_cached && now - archive->listed_at < SEGMENT_LIST_TTL))
    return SNIPE_OK;
  if (platform == NULL)
    return SNIPE_E_PLATFORM;
  prefix = archive_prefix (archive->incarnation);
  status = snipe_platform_object_list (&names, platform, prefix);
  g_free (prefix);
  for (char **name = names; status == SNIPE_OK && *name != NULL; name++)
    {
      struct snipe_str data = SNIPE_STR_INIT;

      if (g_hash_table_contains (archive->segments, *name))
        continue;
      status = snipe_platform_object_get (&data, platform, *name);
      if (status == SNIPE_OK)
        {
          final = archive_read_segment (archive, &data) || final;
          g_hash_table_add (archive->segments, g_strdup (*name));
        }
      snipe_str_clear (&data);
    }
  g_strfreev (names);
  if (status == SNIPE_OK)
    {
      /* Only if every segment was read does "final" mean that an id without an
         entry was never started. */
      archive->final = final;
      archive->list_cached = true;
      archive->listed_at = now;
    }
  return status;
}

static void
reply_with_entry (const struct lookup *lookup, json_t *entry)
{
  const char *digest = json_string_value (json_object_get (entry, "digest"));
  json_t *answer = json_object_get (entry, "answer");
  struct snipe_str body = { .data = (char *)json_string_value (answer),
                            .len = json_string_length (answer) };
  char expected[2 * DIGEST_BYTES + 1];

  digest_hex (expected, lookup->digest);
  if (lookup->has_digest && digest != NULL && digest[0] != '\0'
      && strcmp (digest, expected) != 0)
    reply_failed (lookup->reply, lookup->ctx, lookup->id.text,
                  SNIPE_OUTCOME_UNKNOWN, SNIPE_E_ID_REUSED,
                  "the id was already used with a different body");
  else
    lookup->reply (lookup->ctx,
                   (int)json_integer_value (json_object_get (entry, "http")),
                   &body);
}

static void
lookup_archive (struct snipe_engine *engine, GHashTable *cache,
                const struct lookup *lookup)
{
  struct archive *archive = archive_get (cache, lookup->coordinator);
  json_t *entry;
  int status;

  entry = g_hash_table_lookup (archive->entries, lookup->id.text);
  status = entry != NULL
               ? SNIPE_OK
               : archive_refresh (engine, archive, snipe_clock_now ());
  if (entry == NULL)
    entry = g_hash_table_lookup (archive->entries, lookup->id.text);
  if (entry != NULL)
    reply_with_entry (lookup, entry);
  else if (archive->final)
    reply_failed (lookup->reply, lookup->ctx, lookup->id.text,
                  SNIPE_OUTCOME_NOT_RUN, SNIPE_E_DRAINING,
                  "the host of this id left before the job started; request "
                  "a new id");
  else
    {
      char message[160];

      g_snprintf (message, sizeof message,
                  status == SNIPE_OK
                      ? "the host of id %s cannot be reached and its archive "
                        "does not hold the id"
                      : "neither the host of id %s nor its archive can be "
                        "reached",
                  lookup->id.text);
      reply_failed (lookup->reply, lookup->ctx, lookup->id.text,
                    SNIPE_OUTCOME_UNKNOWN, SNIPE_E_HOME_AWAY, message);
    }
}

static void
lookup_owner (struct snipe_engine *engine, const struct lookup *lookup)
{
  char *key = g_strdup_printf ("claim/%s", lookup->id.text);
  struct snipe_request request = { .verb = SNIPE_VERB_QUERY,
                                   .id = lookup->id.text,
                                   .wait = lookup->wait };
  struct snipe_str value = SNIPE_STR_INIT;
  uint64_t version;
  uint64_t owner = 0;
  int status = SNIPE_E_PLATFORM;

  if (engine_platform (engine) != NULL)
    status = snipe_platform_row_get (&value, &version,
                                     engine_platform (engine), key);
  if (status == SNIPE_OK)
    {
      json_t *row = json_loadb (value.data, value.len, 0, NULL);
      const char *text = json_string_value (json_object_get (row, "inc"));

      owner = text == NULL ? 0 : g_ascii_strtoull (text, NULL, 16);
      json_decref (row);
    }
  if (status == SNIPE_OK && owner != engine->options.incarnation)
    forward_request (engine, &lookup->id, owner, &request, true,
                     snipe_clock_now (), lookup->reply, lookup->ctx);
  else if (status == SNIPE_OK || status == SNIPE_E_NOT_FOUND)
    reply_failed (lookup->reply, lookup->ctx, lookup->id.text,
                  SNIPE_OUTCOME_UNKNOWN, SNIPE_E_NOT_FOUND,
                  "no host has accepted this id so far");
  else
    reply_failed (lookup->reply, lookup->ctx, lookup->id.text,
                  SNIPE_OUTCOME_UNKNOWN, SNIPE_E_PLATFORM,
                  "the owner of this id could not be read from the "
                  "platform's table");
  snipe_str_clear (&value);
  g_free (key);
}

void *
lookup_thread (void *ctx)
{
  struct snipe_engine *engine = ctx;
  GHashTable *cache = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                             archive_free);
  bool stop = false;

  while (!stop)
    {
      struct lookup *lookup = g_async_queue_pop (engine->lookups);

      switch (lookup->kind)
        {
        case LOOKUP_ARCHIVE:
          lookup_archive (engine, cache, lookup);
          break;
        case LOOKUP_OWNER:
          lookup_owner (engine, lookup);
          break;
        case LOOKUP_STOP:
          stop = true;
          break;
        }
      g_free (lookup);
    }
  g_hash_table_destroy (cache);
  return NULL;
}
