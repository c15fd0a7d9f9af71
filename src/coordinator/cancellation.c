/* Batches that were cancelled while their job was abandoned. A cancellation
 * that was written to a connection may be lost with it, so it is repeated
 * until the pool's owner acknowledges it. */
#include "coordinator/private.h"

/* The owner acknowledges within some milliseconds. A silent connection is
 * noticed after 400 ms, and the callers of an abandoned job resend it after a
 * second or more: the tasks have to be stopped by then. */
#define CANCEL_RESEND_INTERVAL (200 * SNIPE_MS)

struct cancellation
{
  uint64_t number; /**< of the batch */
  uint64_t owner;
  snipe_time resend_at;
  snipe_time expires_at; /**< the pool ends the batch by itself then */
};

GHashTable *
snipe_cancellations_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
snipe_cancellations_add (GHashTable *cancellations, uint64_t owner,
                         uint64_t number, snipe_time expires_at,
                         snipe_time now)
{
  struct cancellation *cancellation;

  if (now >= expires_at)
    return;
  cancellation = g_new (struct cancellation, 1);
  *cancellation
      = (struct cancellation){ .number = number,
                               .owner = owner,
                               .resend_at = now + CANCEL_RESEND_INTERVAL,
                               .expires_at = expires_at };
  g_hash_table_replace (cancellations, &cancellation->number, cancellation);
}

void
snipe_cancellations_acknowledge (GHashTable *cancellations, uint64_t owner,
                                 uint64_t number)
{
  const struct cancellation *cancellation
      = g_hash_table_lookup (cancellations, &number);

  if (cancellation != NULL && cancellation->owner == owner)
    g_hash_table_remove (cancellations, &number);
}

void
snipe_cancellations_expedite (GHashTable *cancellations, uint64_t owner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, cancellations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct cancellation *)value)->owner == owner)
      ((struct cancellation *)value)->resend_at = 0;
}

void
snipe_cancellations_resend (
    GHashTable *cancellations,
    const struct snipe_coordinator_callbacks *callbacks, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, cancellations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cancellation *cancellation = value;

      if (now >= cancellation->expires_at)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (now < cancellation->resend_at)
        continue;
      cancellation->resend_at = now + CANCEL_RESEND_INTERVAL;
      callbacks->cancel (callbacks->ctx, cancellation->owner,
                         cancellation->number, true);
    }
}
