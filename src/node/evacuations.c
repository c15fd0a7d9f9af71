#include "node/evacuations.h"

#include <glib.h>

struct snipe_evacuations
{
  GHashTable *domains; /**< domain -> struct snipe_evacuation */
  /** Version of the last complete reading, which contained no domain that is
   * not known here. */
  uint64_t synced_version;
};

struct snipe_evacuations *
snipe_evacuations_new (void)
{
  struct snipe_evacuations *evacuations = g_new0 (struct snipe_evacuations, 1);

  evacuations->domains
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return evacuations;
}

void
snipe_evacuations_free (struct snipe_evacuations *evacuations)
{
  if (evacuations == NULL)
    return;
  g_hash_table_destroy (evacuations->domains);
  g_free (evacuations);
}

enum snipe_evacuation_effect
snipe_evacuations_set (struct snipe_evacuations *evacuations,
                       const struct snipe_evacuation *evacuation)
{
  struct snipe_evacuation *known
      = g_hash_table_lookup (evacuations->domains, evacuation->domain);
  enum snipe_evacuation_effect effect = SNIPE_EVACUATION_SAME;
  char *domain;

  if (evacuation->version
      <= (known == NULL ? evacuations->synced_version : known->version))
    return SNIPE_EVACUATION_OLDER;
  if (known == NULL)
    {
      domain = g_strdup (evacuation->domain);
      known = g_new0 (struct snipe_evacuation, 1);
      known->domain = domain;
      g_hash_table_insert (evacuations->domains, domain, known);
    }
  if (known->evacuated != evacuation->evacuated)
    effect = SNIPE_EVACUATION_CHANGED;
  known->evacuated = evacuation->evacuated;
  known->version = evacuation->version;
  return effect;
}

void
snipe_evacuations_synced (
    struct snipe_evacuations *evacuations, uint64_t version,
    void (*taken_back) (void *ctx, const struct snipe_evacuation *evacuation),
    void *ctx)
{
  GHashTableIter iter;
  gpointer value;

  evacuations->synced_version = MAX (evacuations->synced_version, version);
  g_hash_table_iter_init (&iter, evacuations->domains);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct snipe_evacuation *known = value;
      bool evacuated = known->evacuated;

      if (known->version >= version)
        continue;
      known->evacuated = false;
      known->version = version;
      if (evacuated)
        taken_back (ctx, known);
    }
}

bool
snipe_evacuations_contains (const struct snipe_evacuations *evacuations,
                            const char *domain)
{
  const struct snipe_evacuation *known
      = g_hash_table_lookup (evacuations->domains, domain);

  return known != NULL && known->evacuated;
}

uint32_t
snipe_evacuations_count (const struct snipe_evacuations *evacuations)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, evacuations->domains);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const struct snipe_evacuation *)value)->evacuated;
  return count;
}

void
snipe_evacuations_each (
    const struct snipe_evacuations *evacuations,
    void (*each) (void *ctx, const struct snipe_evacuation *evacuation),
    void *ctx)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, evacuations->domains);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    each (ctx, value);
}
