#include "snipe/crash_table.h"

#include <glib.h>
#include <string.h>

#include "snipe/status.h"

/* The task that changed least recently is dropped for a new one. Of each
 * crash, an endpoint's eight slots give eight tasks at most. */
#define TASKS_MAX 4096U

struct loss
{
  char endpoint[SNIPE_NAME_BYTES];
  int64_t started_ms;
  uint32_t run;
  enum snipe_loss_kind kind;
  snipe_time changed_at;
  bool told; /**< other hosts know of it */
};

struct suspect
{
  GList link; /**< in the order of changes; its data is this struct */
  char task[SNIPE_TASK_NAME_BYTES];
  snipe_time changed_at;
  uint32_t loss_count;
  struct loss losses[SNIPE_LOSSES_MAX];
};

struct snipe_crash_table
{
  struct snipe_crash_table_options options;
  GHashTable *suspects; /**< task -> struct suspect */
  GQueue by_time;       /**< least recently changed first */
  /** Endpoint -> number of its losses of which it is unknown whether they are
   * crashes. */
  GHashTable *open;
  uint64_t revision;
};

int
snipe_crash_table_new (struct snipe_crash_table **out,
                       const struct snipe_crash_table_options *options)
{
  struct snipe_crash_table *table;

  if (options->version != SNIPE_CRASH_TABLE_OPTIONS_VERSION)
    return snipe_status_set (SNIPE_E_INVALID,
                             "unknown version %u of crash table options",
                             options->version);
  table = g_new0 (struct snipe_crash_table, 1);
  table->options = *options;
  table->suspects
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->open = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&table->by_time);
  *out = table;
  return SNIPE_OK;
}

void
snipe_crash_table_free (struct snipe_crash_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_destroy (table->suspects);
  g_hash_table_destroy (table->open);
  g_free (table);
}

static bool
is_open (enum snipe_loss_kind kind)
{
  return kind == SNIPE_LOSS_SILENT || kind == SNIPE_LOSS_LIKELY;
}

static void
count_open (struct snipe_crash_table *table, const char *endpoint, int change)
{
  gint count = GPOINTER_TO_INT (g_hash_table_lookup (table->open, endpoint));

  if (count + change == 0)
    g_hash_table_remove (table->open, endpoint);
  else
    g_hash_table_replace (table->open, g_strdup (endpoint),
                          GINT_TO_POINTER (count + change));
}

static void
remove_suspect (struct snipe_crash_table *table, struct suspect *suspect)
{
  for (uint32_t i = 0; i < suspect->loss_count; i++)
    if (is_open (suspect->losses[i].kind))
      count_open (table, suspect->losses[i].endpoint, -1);
  g_queue_unlink (&table->by_time, &suspect->link);
  g_hash_table_remove (table->suspects, suspect->task);
  table->revision++;
}

void
snipe_crash_table_expire (struct snipe_crash_table *table, snipe_time now)
{
  GList *oldest;

  while ((oldest = table->by_time.head) != NULL
         && now - ((struct suspect *)oldest->data)->changed_at
                > SNIPE_LOSS_RETENTION)
    remove_suspect (table, oldest->data);
}

static struct suspect *
find_or_add_suspect (struct snipe_crash_table *table, const char *task)
{
  struct suspect *suspect = g_hash_table_lookup (table->suspects, task);

  if (suspect != NULL)
    return suspect;
  if (g_hash_table_size (table->suspects) >= TASKS_MAX)
    remove_suspect (table, table->by_time.head->data);
  suspect = g_new0 (struct suspect, 1);
  g_strlcpy (suspect->task, task, sizeof suspect->task);
  suspect->link.data = suspect;
  g_queue_push_tail_link (&table->by_time, &suspect->link);
  g_hash_table_insert (table->suspects, suspect->task, suspect);
  return suspect;
}

/* @return the loss of this run, a free place for it, or that of a loss that
 * counts for nothing; NULL if there is none. */
static struct loss *
find_place (struct suspect *suspect, const struct snipe_loss *loss)
{
  struct loss *refuted = NULL;

  for (uint32_t i = 0; i < suspect->loss_count; i++)
    {
      struct loss *known = &suspect->losses[i];

      if (known->run == loss->run && known->started_ms == loss->started_ms
          && strcmp (known->endpoint, loss->endpoint) == 0)
        return known;
      if (known->kind == SNIPE_LOSS_REFUTED)
        refuted = known;
    }
  if (suspect->loss_count < SNIPE_LOSSES_MAX)
    return &suspect->losses[suspect->loss_count++];
  if (refuted != NULL)
    *refuted = (struct loss){ .run = 0 };
  return refuted;
}

static struct snipe_loss_count
count_losses (const struct suspect *suspect)
{
  struct snipe_loss_count count = { .crashes = 0 };

  for (uint32_t i = 0; suspect != NULL && i < suspect->loss_count; i++)
    switch (suspect->losses[i].kind)
      {
      case SNIPE_LOSS_UNANSWERED:
      case SNIPE_LOSS_SILENT:
        count.silent++;
        break;
      case SNIPE_LOSS_LIKELY:
        count.likely++;
        break;
      case SNIPE_LOSS_REFUTED:
        break;
      case SNIPE_LOSS_CRASH:
        count.crashes++;
        break;
      }
  return count;
}

/* Whether other hosts have to be told of a loss that was recorded here. */
static bool
has_to_be_told (const struct loss *loss, const struct snipe_loss_count *count)
{
  return loss->told || loss->kind == SNIPE_LOSS_LIKELY
         || loss->kind == SNIPE_LOSS_CRASH
         || count->silent + count->likely + count->crashes > 1;
}

static void
add_loss (struct snipe_crash_table *table, const struct snipe_loss *loss,
          bool own, snipe_time now)
{
  enum snipe_loss_source source = SNIPE_LOSS_MERGED;
  struct suspect *suspect;
  struct snipe_loss_count count;
  struct loss *place;

  snipe_crash_table_expire (table, now);
  /* Nothing is known of the run, and there is nothing to suspect. */
  if (loss->kind == SNIPE_LOSS_REFUTED
      && !g_hash_table_contains (table->suspects, loss->task))
    return;
  suspect = find_or_add_suspect (table, loss->task);
  place = find_place (suspect, loss);
  if (place == NULL || place->kind >= loss->kind)
    return;
  if (is_open (place->kind))
    count_open (table, place->endpoint, -1);
  place->started_ms = loss->started_ms;
  place->run = loss->run;
  place->kind = loss->kind;
  place->changed_at = now;
  g_strlcpy (place->endpoint, loss->endpoint, sizeof place->endpoint);
  if (is_open (place->kind))
    count_open (table, place->endpoint, 1);
  suspect->changed_at = now;
  g_queue_unlink (&table->by_time, &suspect->link);
  g_queue_push_tail_link (&table->by_time, &suspect->link);
  table->revision++;
  count = count_losses (suspect);
  if (own)
    source
        = has_to_be_told (place, &count) ? SNIPE_LOSS_TELL : SNIPE_LOSS_KEEP;
  place->told |= source == SNIPE_LOSS_TELL;
  if (table->options.changed != NULL)
    table->options.changed (table->options.ctx, loss, &count, source);
}

void
snipe_crash_table_record (struct snipe_crash_table *table,
                          const struct snipe_loss *loss, snipe_time now)
{
  add_loss (table, loss, true, now);
}

void
snipe_crash_table_merge (struct snipe_crash_table *table,
                         const struct snipe_loss *loss, snipe_time now)
{
  add_loss (table, loss, false, now);
}

static struct snipe_loss
describe (const struct suspect *suspect, const struct loss *loss)
{
  return (struct snipe_loss){ .task = suspect->task,
                              .run = loss->run,
                              .endpoint = loss->endpoint,
                              .started_ms = loss->started_ms,
                              .kind = loss->kind };
}

/* Copies the losses at an endpoint of which it is unknown whether they are
 * crashes, as recording them changes the table. */
static GArray *
copy_open_losses (const struct snipe_crash_table *table, const char *endpoint,
                  snipe_time before)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct snipe_loss));

  for (const GList *at = table->by_time.head; at != NULL; at = at->next)
    {
      const struct suspect *suspect = at->data;

      for (uint32_t i = 0; i < suspect->loss_count; i++)
        {
          struct snipe_loss loss = describe (suspect, &suspect->losses[i]);

          loss.endpoint = endpoint;
          if (is_open (loss.kind) && suspect->losses[i].changed_at < before
              && strcmp (suspect->losses[i].endpoint, endpoint) == 0)
            g_array_append_val (found, loss);
        }
    }
  return found;
}

void
snipe_crash_table_endpoint_ended (struct snipe_crash_table *table,
                                  const char *endpoint, int64_t started_ms,
                                  snipe_time now)
{
  GArray *losses;

  if (!snipe_crash_table_is_open (table, endpoint))
    return;
  losses = copy_open_losses (table, endpoint, INT64_MAX);
  for (guint i = 0; i < losses->len; i++)
    {
      struct snipe_loss *loss = &g_array_index (losses, struct snipe_loss, i);

      if (loss->started_ms > started_ms)
        continue;
      loss->kind = SNIPE_LOSS_CRASH;
      add_loss (table, loss, true, now);
    }
  g_array_free (losses, TRUE);
}

void
snipe_crash_table_endpoint_answered (
    struct snipe_crash_table *table, const char *endpoint, int64_t started_ms,
    snipe_time sent,
    bool (*at_work) (void *ctx, const char *task, uint32_t run), void *ctx,
    snipe_time now)
{
  GArray *losses;

  if (!snipe_crash_table_is_open (table, endpoint))
    return;
  losses = copy_open_losses (table, endpoint, sent);
  for (guint i = 0; i < losses->len; i++)
    {
      struct snipe_loss *loss = &g_array_index (losses, struct snipe_loss, i);

      if (loss->started_ms > started_ms
          || (loss->started_ms == started_ms
              && at_work (ctx, loss->task, loss->run)))
        continue;
      loss->kind = loss->started_ms == started_ms ? SNIPE_LOSS_REFUTED
                                                  : SNIPE_LOSS_CRASH;
      add_loss (table, loss, true, now);
    }
  g_array_free (losses, TRUE);
}

bool
snipe_crash_table_is_open (const struct snipe_crash_table *table,
                           const char *endpoint)
{
  return g_hash_table_size (table->open) > 0
         && g_hash_table_contains (table->open, endpoint);
}

struct snipe_loss_count
snipe_crash_table_count (const struct snipe_crash_table *table,
                         const char *task)
{
  return count_losses (g_hash_table_lookup (table->suspects, task));
}

enum snipe_suspicion
snipe_crash_table_judge (const struct snipe_crash_table *table,
                         const char *task)
{
  struct snipe_loss_count count = snipe_crash_table_count (table, task);

  if (count.crashes >= SNIPE_CRASHES_MAX)
    return SNIPE_SUSPICION_GIVEN_UP;
  if (count.crashes + count.likely + count.silent >= SNIPE_LOST_RUNS_MAX)
    return SNIPE_SUSPICION_WAIT;
  /* One silent endpoint is more often a cut, which takes many tasks at once,
   * than a crash. */
  return count.crashes > 0 || count.likely > 0 || count.silent > 1
             ? SNIPE_SUSPICION_ALONE
             : SNIPE_SUSPICION_NONE;
}

uint64_t
snipe_crash_table_revision (const struct snipe_crash_table *table)
{
  return table->revision;
}

void
snipe_crash_table_each (const struct snipe_crash_table *table, snipe_time age,
                        void (*each) (void *ctx,
                                      const struct snipe_loss *loss),
                        void *ctx, snipe_time now)
{
  for (const GList *at = table->by_time.tail; at != NULL; at = at->prev)
    {
      const struct suspect *suspect = at->data;

      if (now - suspect->changed_at > age)
        return;
      for (uint32_t i = 0; i < suspect->loss_count; i++)
        {
          struct snipe_loss loss = describe (suspect, &suspect->losses[i]);

          if (suspect->losses[i].told
              && now - suspect->losses[i].changed_at <= age)
            each (ctx, &loss);
        }
    }
}

void
snipe_crash_table_each_of_job (
    const struct snipe_crash_table *table, const char *job,
    void (*each) (void *ctx, const struct snipe_loss *loss), void *ctx)
{
  size_t len = strlen (job);

  for (const GList *at = table->by_time.head; at != NULL; at = at->next)
    {
      const struct suspect *suspect = at->data;

      if (strncmp (suspect->task, job, len) != 0 || suspect->task[len] != '.')
        continue;
      for (uint32_t i = 0; i < suspect->loss_count; i++)
        {
          struct snipe_loss loss = describe (suspect, &suspect->losses[i]);

          each (ctx, &loss);
        }
    }
}
