#include <string.h>

#include "platform/internal.h"
#include "snipe/counter.h"
#include "snipe/status.h"

/* The platform takes several hundred writes a second from all hosts together,
 * so the claims of the fleet stay under 300 a second however many hosts and
 * ids there are. */
#define CLAIM_PAUSE_PER_HOST (SNIPE_S / 300)
/* Longest pause between attempts while the platform fails. */
#define FAIL_PAUSE_MAX (250 * SNIPE_MS)

int
snipe_platform_claim (struct snipe_platform *platform, const char *id,
                      snipe_claim_done done, void *ctx)
{
  struct snipe_claim *claim;

  /* One malformed id would fail the transaction of all others. */
  if (strlen (id) != 36 || strspn (id, "0123456789abcdef-") != 36)
    return snipe_status_set (SNIPE_E_BAD_ID, "id '%.40s' is no UUID", id);
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
      return snipe_status_set (SNIPE_E_DRAINING, "platform client stops");
    }
  g_queue_push_tail (&platform->claims, claim);
  pthread_cond_signal (&platform->claim_wake);
  pthread_mutex_unlock (&platform->lock);
  return SNIPE_OK;
}

static void
end (struct snipe_claim *claim, int status, uint64_t owner)
{
  claim->ended = true;
  claim->status = status;
  claim->owner = owner;
}

/* Ends the claims that a conflict names. @return how many. */
static uint32_t
apply_conflicts (GHashTable *batch, const json_t *conflicts, uint64_t self)
{
  uint32_t ended = 0;
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
    if (claim == NULL || claim->ended)
      continue;
    if (text != NULL && snipe_inc_parse (&owner, text) == SNIPE_OK)
      {
        end (claim, SNIPE_OK, owner);
        /* An earlier attempt took effect although its reply was lost. */
        if (owner == self)
          snipe_counter_add (SNIPE_C_CLAIMS, 1);
      }
    else
      end (claim, SNIPE_E_PLATFORM, 0);
    ended++;
  }
  return ended;
}

/* Sends one transaction for the batch and logs the first failure of a row.
 * @return whether the platform answered. */
static bool
run_batch (struct snipe_platform *platform, struct snipe_http *http,
           GHashTable *batch, bool first)
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
        rc = snipe_txn_put (&txn, key,
                            json_pack ("{s:s}", "inc", platform->inc));
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
        end (item, SNIPE_OK, platform->options.self.incarnation);
      snipe_counter_add (SNIPE_C_CLAIMS, g_hash_table_size (batch));
    }
  else if (rc == SNIPE_E_CONFLICT)
    answered = apply_conflicts (batch, conflicts,
                                platform->options.self.incarnation)
               > 0;
  else if (first)
    g_warning ("claim of %u ids failed: %s", g_hash_table_size (batch),
               snipe_status_last ());
  json_decref (conflicts);
  snipe_txn_clear (&txn);
  return answered;
}

/* Moves waiting claims whose time is over to @p ended. Lock held. */
static void
take_expired (GQueue *claims, GQueue *ended, snipe_time now)
{
  GList *link = claims->head;

  while (link != NULL)
    {
      GList *next = link->next;
      struct snipe_claim *claim = link->data;

      if (now >= claim->deadline)
        {
          end (claim, SNIPE_E_PLATFORM, 0);
          g_queue_unlink (claims, link);
          g_queue_push_tail_link (ended, link);
        }
      link = next;
    }
}

/* Moves up to SNIPE_CLAIM_BATCH ids to @p batch; a second claim of an id in
 * the batch stays for the next transaction. Lock held. */
static void
take_batch (GQueue *claims, GHashTable *batch)
{
  GList *link = claims->head;

  while (link != NULL && g_hash_table_size (batch) < SNIPE_CLAIM_BATCH)
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

/* Sorts the batch into ended claims and those that go again. */
static void
settle (GHashTable *batch, GQueue *ended, GQueue *again)
{
  GHashTableIter iter;
  gpointer item;

  g_hash_table_iter_init (&iter, batch);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      struct snipe_claim *claim = item;

      g_queue_push_tail (claim->ended ? ended : again, claim);
    }
  g_hash_table_remove_all (batch);
}

static void
report (GQueue *ended)
{
  struct snipe_claim *claim;

  while ((claim = g_queue_pop_head (ended)) != NULL)
    {
      claim->done (claim->ctx, claim->status, claim->owner);
      g_free (claim);
    }
}

static snipe_time
pause_after (const struct snipe_platform *platform, uint32_t failures)
{
  uint32_t hosts = __atomic_load_n (&platform->live_hosts, __ATOMIC_RELAXED);
  snipe_time pause
      = MAX (platform->options.claim_interval, hosts * CLAIM_PAUSE_PER_HOST);

  for (uint32_t i = 0; i < failures && pause < FAIL_PAUSE_MAX; i++)
    pause *= 2;
  return pause;
}

static void
claim_loop (struct snipe_platform *platform, struct snipe_http *http,
            GHashTable *batch)
{
  GQueue ended = G_QUEUE_INIT;
  GQueue again = G_QUEUE_INIT;
  snipe_time next_at = 0;
  uint32_t failures = 0;

  pthread_mutex_lock (&platform->lock);
  while (!platform->stop)
    {
      snipe_time now = snipe_clock_now ();

      take_expired (&platform->claims, &ended, now);
      if (!g_queue_is_empty (&ended))
        {
          pthread_mutex_unlock (&platform->lock);
          report (&ended);
          pthread_mutex_lock (&platform->lock);
          continue;
        }
      if (g_queue_is_empty (&platform->claims) || now < next_at)
        {
          snipe_platform_wait (platform, &platform->claim_wake,
                               g_queue_is_empty (&platform->claims)
                                   ? 10 * SNIPE_S
                                   : next_at - now);
          continue;
        }
      take_batch (&platform->claims, batch);
      pthread_mutex_unlock (&platform->lock);
      failures = run_batch (platform, http, batch, failures == 0)
                     ? 0
                     : failures + 1;
      next_at = now + pause_after (platform, failures);
      settle (batch, &ended, &again);
      report (&ended);
      pthread_mutex_lock (&platform->lock);
      while (!g_queue_is_empty (&again))
        g_queue_push_head (&platform->claims, g_queue_pop_tail (&again));
    }
  take_expired (&platform->claims, &ended, INT64_MAX);
  pthread_mutex_unlock (&platform->lock);
  report (&ended);
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
