/* Batches that were cancelled at an owner of their pool: because their job was
 * abandoned, or because they have moved to another owner. A cancellation that
 * was written to a connection may be lost with it, so it is repeated until the
 * owner acknowledges it. */
#include "coordinator/private.h"

/* The owner acknowledges within some milliseconds. A silent connection is
 * noticed after 400 ms, and the callers of an abandoned job resend it after a
 * second or more: the tasks have to be stopped by then. */
#define CANCEL_RESEND_INTERVAL (200 * SNIPE_MS)
/* A batch that has moved is cancelled at its earlier owner after this time.
 * The claim of the new owner has reached the endpoints by then, where it
 * protects the runs that the new owner continues. With one interval for a
 * repetition, a cancellation that is lost twice still arrives 0.7 s before the
 * caller is back, 1.3 s after its connection broke. */
#define MOVED_CANCEL_DELAY (200 * SNIPE_MS)
/* Time after the caller's deadline for which a cancellation counts as not
 * acknowledged: the owner counts that deadline from the arrival of the batch.
 */
#define RETENTION_MARGIN (1 * SNIPE_S)

/* A batch may have cancellations at several owners at the same time, one of
 * each. */
struct cancellation
{
  struct snipe_coordinator_cancellation message; /**< the next one to send */
  snipe_time due;
  snipe_time expires_at; /**< the pool ends the batch by itself then */
  /** A time before which the caller of the batch had not left, INT64_MAX: it
   * has not. */
  snipe_time handled;
};

static guint
hash_cancellation (gconstpointer key)
{
  const struct cancellation *cancellation = key;

  return g_int64_hash (&cancellation->message.owner)
         ^ g_int64_hash (&cancellation->message.number);
}

static gboolean
equal_cancellations (gconstpointer a, gconstpointer b)
{
  const struct cancellation *one = a;
  const struct cancellation *two = b;

  return one->message.owner == two->message.owner
         && one->message.number == two->message.number;
}

GHashTable *
snipe_cancellations_new (void)
{
  return g_hash_table_new_full (hash_cancellation, equal_cancellations, g_free,
                                NULL);
}

void
snipe_cancellations_add (GHashTable *cancellations, uint64_t owner,
                         uint64_t number, snipe_time caller_deadline,
                         snipe_time handled, snipe_time now)
{
  struct cancellation *cancellation = g_new (struct cancellation, 1);

  *cancellation = (struct cancellation){
    .message = { .owner = owner, .number = number, .again = true },
    .due = now + CANCEL_RESEND_INTERVAL,
    .expires_at = caller_deadline,
    .handled = handled,
  };
  g_hash_table_replace (cancellations, cancellation, cancellation);
}

void
snipe_cancellations_add_moved (GHashTable *cancellations, uint64_t owner,
                               uint64_t number, snipe_time caller_deadline,
                               snipe_time now)
{
  struct cancellation *cancellation = g_new (struct cancellation, 1);

  *cancellation = (struct cancellation){
    .message = { .owner = owner, .number = number, .moved = true },
    .due = now + MOVED_CANCEL_DELAY,
    .expires_at = caller_deadline,
    .handled = INT64_MAX,
  };
  g_hash_table_replace (cancellations, cancellation, cancellation);
}

void
snipe_cancellations_remove (GHashTable *cancellations, uint64_t owner,
                            uint64_t number)
{
  const struct cancellation key
      = { .message = { .owner = owner, .number = number } };

  g_hash_table_remove (cancellations, &key);
}

void
snipe_cancellations_expedite (GHashTable *cancellations, uint64_t owner)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, cancellations);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct cancellation *cancellation = key;

      if (cancellation->message.owner == owner && cancellation->message.again)
        cancellation->due = 0;
    }
}

void
snipe_cancellations_batch_removed (GHashTable *cancellations, uint64_t number,
                                   snipe_time handled)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, cancellations);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct cancellation *cancellation = key;

      if (cancellation->message.number != number)
        continue;
      cancellation->handled = MIN (cancellation->handled, handled);
      if (!cancellation->message.again)
        cancellation->due = 0;
    }
}

snipe_time
snipe_cancellations_handled (GHashTable *cancellations, uint64_t owner)
{
  snipe_time handled = INT64_MAX;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, cancellations);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct cancellation *cancellation = key;

      if (owner == 0 || cancellation->message.owner == owner)
        handled = MIN (handled, cancellation->handled);
    }
  return handled;
}

void
snipe_cancellations_send (GHashTable *cancellations, uint64_t incarnation,
                          const struct snipe_coordinator_callbacks *callbacks,
                          snipe_time now)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, cancellations);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct cancellation *cancellation = key;
      struct snipe_coordinator_cancellation message = cancellation->message;

      if (now >= cancellation->expires_at + RETENTION_MARGIN)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (now < cancellation->due || now >= cancellation->expires_at)
        continue;
      cancellation->message.again = true;
      cancellation->due = now + CANCEL_RESEND_INTERVAL;
      /* A message of this host to itself is not lost, nor acknowledged. */
      if (message.owner == incarnation)
        g_hash_table_iter_remove (&iter);
      callbacks->cancel (callbacks->ctx, &message);
    }
}
