#include "snipe/owner.h"

#include <math.h>

/* Finalizer of splitmix64: every input bit affects every output bit. */
static uint64_t
mix (uint64_t x)
{
  x ^= x >> 30;
  x *= UINT64_C (0xbf58476d1ce4e5b9);
  x ^= x >> 27;
  x *= UINT64_C (0x94d049bb133111eb);
  x ^= x >> 31;
  return x;
}

static uint64_t
endpoint_hash (const struct snipe_str *name)
{
  uint64_t hash = UINT64_C (0xcbf29ce484222325);

  for (size_t i = 0; i < name->len; i++)
    {
      hash ^= (unsigned char)name->data[i];
      hash *= UINT64_C (0x100000001b3);
    }
  return mix (hash);
}

static double
score (uint64_t endpoint, const struct snipe_owner_host *host)
{
  uint64_t hash = mix (endpoint ^ mix (host->incarnation));
  /* 52 random bits plus half a step keep u strictly between 0 and 1. */
  double u = ((double)(hash >> 12) + 0.5) * 0x1p-52;

  return -host->capacity_weight / log (u);
}

int
snipe_owner_find (const struct snipe_owner_host *hosts, uint32_t count,
                  const struct snipe_str *endpoint,
                  const struct snipe_str *domain)
{
  uint64_t hash = endpoint_hash (endpoint);
  bool best_local = false;
  double best_score = 0;
  int best = -1;

  for (uint32_t i = 0; i < count; i++)
    {
      bool local;
      double value;

      if (!hosts[i].live || !(hosts[i].capacity_weight > 0))
        continue;
      local = snipe_str_equal (&hosts[i].domain, domain);
      if (best >= 0 && best_local && !local)
        continue;
      value = score (hash, &hosts[i]);
      if (best < 0 || local != best_local || value > best_score
          || (value == best_score
              && hosts[i].incarnation < hosts[best].incarnation))
        {
          best = (int)i;
          best_local = local;
          best_score = value;
        }
    }
  return best;
}
