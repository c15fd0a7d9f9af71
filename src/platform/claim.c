#include <string.h>

#include "platform/internal.h"
#include "snipe/counter.h"
#include "snipe/status.h"

/* The platform accepts several hundred writes per second from all hosts
 * together, so the whole fleet sends at most 300 claim transactions per
 * second, however many hosts and ids there are. */
#define CLAIM_INTERVAL_PER_HOST (SNIPE_S / 300)
/* While the platform fails, the delay between attempts doubles until it
 * reaches this. */
#define FAILURE_DELAY_MAX (250 * SNIPE_MS)

int
snipe_platform_claim (struct snipe_platform *platform, const char *id,
                      snipe_claim_done done, void *ctx)
{
  struct snipe_claim *claim;

  /* A malformed id would make the transaction fail for all ids in it. */
  if (strlen (id) != 36 || strspn (id, "0123456789abcdef-") != 36)
    return snipe_status_set (SNIPE_E_BAD_ID, "id '%.40s' is not a UUID", id);
  claim = g_new0 (struct snipe_claim, 1);
  g_strlcpy (claim->id, id, sizeof claim->id);
  claim->done = done;
  claim->ctx = ctx;
  claim->deadline = snipe_clock_now () + platform->options.claim_timeout;
  pthread_mutex_lock (&platform->lock);
  if (platform->stop)
    {
      pthread_mutex_unlock (&platform->lock);
      g_free (claim);
      return snipe_status_set (SNIPE_E_DRAINING,
                               "platform client is shutting down");
    }
  g_queue_push_tail (&platform->claims, claim);
  pthread_cond_signal (&platform->claim_cond);
  pthread_mutex_unlock (&platform->lock);
  return SNIPE_OK;
}

static void
finish_claim (struct snipe_claim *claim, int status, uint64_t owner)
{
  claim->finished = true;
  claim->status = status;
  claim->owner = owner;
}

/* Finishes the claims whose rows conflicted. @return their number. */
static uint32_t
apply_conflicts (GHashTable *batch, const json_t *conflicts, uint64_t self)
{
  uint32_t finished = 0;
  size_t i;
  json_t *row;

  json_array_foreach (conflicts, i, row)
  {
    const char *key = json_string_value (json_object_get (row, "key"));
    const char *text = json_string_value (
        json_object_get (json_object_get (row, "value"), "inc"));
    struct snipe_claim *claim = NULL;
    uint64_t owner = 0;

    if (key != NULL && g_str_has_prefix (key, "claim/"))
      claim = g_hash_table_lookup (batch, key + strlen ("claim/"));
    if (claim == NULL || claim->finished)
      continue;
    if (text != NULL && snipe_incarnation_parse (&owner, text) == SNIPE_OK)
      {
        finish_claim (claim, SNIPE_OK, owner);
        /* An earlier attempt of this host took effect, but its reply was lost.
         */
        if (owner == self)
          snipe_counter_add (SNIPE_C_CLAIMS, 1);
      }
    else
      finish_claim (claim, SNIPE_E_PLATFORM, 0);
    finished++;
  }
  return finished;
}

/* Sends the batch in one transaction. A failure is logged if @p log_failure.
 * @return whether the platform answered. */
static bool
send_batch (struct snipe_platform *platform, struct snipe_platform_http *http,
            GHashTable *batch, bool log_failure)
{
  struct snipe_txn txn;
  json_t *conflicts = NULL;
  GHashTableIter iter;
  gpointer item;
  bool answered;
  int rc = snipe_txn_init (&txn);

  g_hash_table_iter_init (&iter, batch);
  while (rc == SNIPE_OK && g_hash_table_iter_next (&iter, NULL, &item))
    {
      struct snipe_claim *claim = item;
      char key[48];

      g_snprintf (key, sizeof key, "claim/%s", claim->id);
      rc = snipe_txn_if (&txn, key, 0);
      if (rc == SNIPE_OK)
        rc = snipe_txn_put (
            &txn, key, json_pack ("{s:s}", "inc", platform->incarnation_text));
    }
  if (rc == SNIPE_OK)
    {
      snipe_counter_add (SNIPE_C_CLAIM_TXNS, 1);
      rc = snipe_txn_run (NULL, &conflicts, &txn, http,
                          platform->options.timeout);
    }
  answered = rc == SNIPE_OK;
  if (rc == SNIPE_OK)
    {
      g_hash_table_iter_init (&iter, batch);
      while (g_hash_table_iter_next (&iter, NULL, &item))
        finish_claim (item, SNIPE_OK, platform->options.self.incarnation);
      snipe_counter_add (SNIPE_C_CLAIMS, g_hash_table_size (batch));
    }
  else if (rc == SNIPE_E_CONFLICT)
    answered = apply_conflicts (batch, conflicts,
                                platform->options.self.incarnation)
               > 0;
  else if (log_failure)
    g_warning ("cannot claim %u ids: %s", g_hash_table_size (batch),
               snipe_status_last ());
  json_decref (conflicts);
  snipe_txn_clear (&txn);
  return answered;
}

/* Moves queued claims past their deadline to @p finished. Lock held. */
static void
move_expired (GQueue *claims, GQueue *finished, snipe_time now)
{
  GList *link = claims->head;

  while (link != NULL)
    {
      GList *next = link->next;
      struct snipe_claim *claim = link->data;

      if (now >= claim->deadline)
        {
          finish_claim (claim, SNIPE_E_PLATFORM, 0);
          g_queue_unlink (claims, link);
          g_queue_push_tail_link (finished, link);
        }
      link = next;
    }
}

/* Moves up to SNIPE_CLAIM_BATCH_MAX claims to @p batch. A second claim of the
 * same id stays queued for a later transaction. Lock held. */
static void
move_batch (GQueue *claims, GHashTable *batch)
{
  GList *link = claims->head;

  while (link != NULL && g_hash_table_size (batch) < SNIPE_CLAIM_BATCH_MAX)
    {
      GList *next = link->next;
      struct snipe_claim *claim = link->data;

      if (!g_hash_table_contains (batch, claim->id))
        {
          g_hash_table_insert (batch, claim->id, claim);
          g_queue_delete_link (claims, link);
        }
      link = next;
    }
}

/* Splits the batch into finished claims and claims to retry. */
static void
split_batch (GHashTable *batch, GQueue *finished, GQueue *retry)
{
  GHashTableIter iter;
  gpointer item;

  g_hash_table_iter_init (&iter, batch);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      struct snipe_claim *claim = item;

      g_queue_push_tail (claim->finished ? finished : retry, claim);
    }
  g_hash_table_remove_all (batch);
}

static void
report_finished (GQueue *finished)
{
  struct snipe_claim *claim;

  while ((claim = g_queue_pop_head (finished)) != NULL)
    {
      claim->done (claim->ctx, claim->status, claim->owner);
      g_free (claim);
    }
}

static snipe_time
next_delay (const struct snipe_platform *platform, uint32_t failures)
{
  uint32_t hosts
      = __atomic_load_n (&platform->live_host_count, __ATOMIC_RELAXED);
  snipe_time delay = MAX (platform->options.claim_interval,
                          hosts * CLAIM_INTERVAL_PER_HOST);

  for (uint32_t i = 0; i < failures && delay < FAILURE_DELAY_MAX; i++)
    delay = MIN (delay * 2, FAILURE_DELAY_MAX);
  return delay;
}

static void
claim_loop (struct snipe_platform *platform, struct snipe_platform_http *http,
            GHashTable *batch)
{
  GQueue finished = G_QUEUE_INIT;
  GQueue retry = G_QUEUE_INIT;
  snipe_time next_at = 0;
  uint32_t failures = 0;

  pthread_mutex_lock (&platform->lock);
  while (!platform->stop)
    {
      snipe_time now = snipe_clock_now ();

      move_expired (&platform->claims, &finished, now);
      if (!g_queue_is_empty (&finished))
        {
          pthread_mutex_unlock (&platform->lock);
          report_finished (&finished);
          pthread_mutex_lock (&platform->lock);
          continue;
        }
      if (g_queue_is_empty (&platform->claims) || now < next_at)
        {
          snipe_platform_wait (platform, &platform->claim_cond,
                               g_queue_is_empty (&platform->claims)
                                   ? 10 * SNIPE_S
                                   : next_at - now);
          continue;
        }
      move_batch (&platform->claims, batch);
      pthread_mutex_unlock (&platform->lock);
      failures = send_batch (platform, http, batch, failures == 0)
                     ? 0
                     : failures + 1;
      next_at = now + next_delay (platform, failures);
      split_batch (batch, &finished, &retry);
      report_finished (&finished);
      pthread_mutex_lock (&platform->lock);
      while (!g_queue_is_empty (&retry))
        g_queue_push_head (&platform->claims, g_queue_pop_tail (&retry));
    }
  move_expired (&platform->claims, &finished, INT64_MAX);
  pthread_mutex_unlock (&platform->lock);
  report_finished (&finished);
}

void *
snipe_claim_main (void *arg)
{
  struct snipe_platform *platform = arg;
  GHashTable *batch = g_hash_table_new (g_str_hash, g_str_equal);

  claim_loop (platform, &platform->claim_http, batch);
  g_hash_table_unref (batch);
  return NULL;
}
