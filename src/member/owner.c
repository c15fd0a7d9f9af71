/* Assignment of pools to hosts. */
#include "member/private.h"

#include <stdlib.h>
#include <string.h>

/** A host that may own pools, with the number of those that it has. */
struct candidate
{
  const struct snipe_member *member;
  uint32_t pools; /**< that it owns by this view, or gets by this plan */
};

/** Ownership of a pool by this view. */
struct claim_state
{
  const struct snipe_member *owner; /**< live host with the highest token */
  uint64_t token;                   /**< of the owner */
  uint64_t highest_token; /**< of all claims, also those of lost hosts */
};

static void
note_claim (struct claim_state *claim_state, const struct peer *peer,
            uint64_t token)
{
  claim_state->highest_token = MAX (claim_state->highest_token, token);
  if (!peer->live || token <= claim_state->token)
    return;
  claim_state->owner = &peer->advertised;
  claim_state->token = token;
}

static int
compare_pools (const void *a, const void *b)
{
  return snipe_pool_id_compare (a, b);
}

/* Collects the claims of all hosts in one pass. Going through all hosts for
 * each pool took 0.7 ms with 300 hosts and 192 pools, ten times a second. */
static void
collect_claims (struct claim_state *claim_states,
                const struct snipe_members *members,
                const struct snipe_pool_id *pools, const uint64_t *own_tokens,
                uint32_t count)
{
  GHashTableIter iter;
  gpointer value;

  for (uint32_t i = 0; i < count; i++)
    claim_states[i]
        = (struct claim_state){ .owner
                                = own_tokens[i] > 0 ? &members->self : NULL,
                                .token = own_tokens[i],
                                .highest_token = own_tokens[i] };
  g_hash_table_iter_init (&iter, members->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;

      for (uint32_t i = 0; i < peer->advertised.claim_count; i++)
        {
          const struct snipe_claim *claim = &peer->advertised.claims[i];
          const struct snipe_pool_id *pool = bsearch (
              &claim->pool, pools, count, sizeof *pools, compare_pools);

          if (pool != NULL)
            note_claim (&claim_states[pool - pools], peer, claim->token);
        }
    }
}

uint64_t
snipe_members_pool_owner (const struct snipe_members *members,
                          const struct snipe_pool_id *pool)
{
  const uint64_t no_token = 0;
  struct claim_state claim_state;

  collect_claims (&claim_state, members, pool, &no_token, 1);
  return claim_state.owner == NULL ? 0 : claim_state.owner->incarnation;
}

static GArray *
list_candidates (const struct snipe_members *members)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  struct candidate self = { .member = &members->self };
  GHashTableIter iter;
  gpointer value;

  if (!members->self.leaving)
    g_array_append_val (candidates, self);
  g_hash_table_iter_init (&iter, members->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      struct candidate candidate = { .member = &peer->advertised };

      if (peer->live && !peer->advertised.leaving)
        g_array_append_val (candidates, candidate);
    }
  return candidates;
}

static void
add_pool (GArray *candidates, const struct snipe_member *owner)
{
  for (guint i = 0; i < candidates->len; i++)
    {
      struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);

      if (candidate->member == owner)
        candidate->pools++;
    }
}

static bool
is_in_domain (const struct candidate *candidate, const char *domain)
{
  return g_str_equal (candidate->member->domain, domain);
}

static bool
domain_has_candidate (GArray *candidates, const char *domain)
{
  for (guint i = 0; i < candidates->len; i++)
    if (is_in_domain (&g_array_index (candidates, struct candidate, i),
                      domain))
      return true;
  return false;
}

/* Whether @p a should get a pool rather than @p b. All hosts decide the same
 * from the same view. */
static bool
is_better_candidate (const struct candidate *a, const struct candidate *b)
{
  uint64_t a_load = (uint64_t)(a->pools + 1) * MAX (b->member->capacity, 1);
  uint64_t b_load = (uint64_t)(b->pools + 1) * MAX (a->member->capacity, 1);

  if (a_load != b_load)
    return a_load < b_load;
  return a->member->incarnation < b->member->incarnation;
}

static struct candidate *
find_successor (GArray *candidates, const char *domain, bool in_domain)
{
  struct candidate *best = NULL;

  for (guint i = 0; i < candidates->len; i++)
    {
      struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);

      if (in_domain && !is_in_domain (candidate, domain))
        continue;
      if (best == NULL || is_better_candidate (candidate, best))
        best = candidate;
    }
  return best;
}

static bool
owner_is_valid (const struct claim_state *claim_state,
                const struct snipe_pool_id *pool, bool in_domain)
{
  return claim_state->owner != NULL && !claim_state->owner->leaving
         && (!in_domain
             || strcmp (claim_state->owner->domain, pool->domain) == 0);
}

static struct snipe_ownership_result
decide (const struct snipe_members *members,
        const struct claim_state *claim_state, uint64_t own_token,
        const struct candidate *successor, snipe_time now)
{
  uint64_t self = members->self.incarnation;
  struct snipe_ownership_result result = { .action = SNIPE_OWN_NONE };

  if (claim_state->owner != NULL)
    {
      result.owner = claim_state->owner->incarnation;
      result.token = claim_state->token;
    }
  /* A host that has to hand over a pool keeps it until its successor has
   * claimed it, so that the pool always has an owner. */
  if (own_token > 0)
    result.action = result.owner == self ? SNIPE_OWN_KEEP : SNIPE_OWN_RELEASE;
  else if (successor != NULL && successor->member->incarnation == self
           && now >= members->settle_until)
    {
      result.action = SNIPE_OWN_CLAIM;
      result.token = claim_state->highest_token;
    }
  return result;
}

void
snipe_members_plan_ownership (const struct snipe_members *members,
                              const struct snipe_pool_id *pools,
                              const uint64_t *own_tokens, uint32_t count,
                              struct snipe_ownership_result *results,
                              snipe_time now)
{
  GArray *candidates = list_candidates (members);
  struct claim_state *claim_states = g_new0 (struct claim_state, count + 1);

  collect_claims (claim_states, members, pools, own_tokens, count);
  for (uint32_t i = 0; i < count; i++)
    if (claim_states[i].owner != NULL)
      add_pool (candidates, claim_states[i].owner);
  for (uint32_t i = 0; i < count; i++)
    {
      bool in_domain = domain_has_candidate (candidates, pools[i].domain);
      struct candidate *successor = NULL;

      if (!owner_is_valid (&claim_states[i], &pools[i], in_domain))
        successor = find_successor (candidates, pools[i].domain, in_domain);
      if (successor != NULL)
        successor->pools++;
      results[i]
          = decide (members, &claim_states[i], own_tokens[i], successor, now);
    }
  g_free (claim_states);
  g_array_free (candidates, TRUE);
}
