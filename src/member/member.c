#include "snipe/member.h"

#include <glib.h>
#include <string.h>

#include "snipe/owner.h"
#include "snipe/status.h"

/* Time in which a live host opens a new connection after one was reset: a
 * heartbeat interval and a half. */
#define SUSPECT_TIME (250 * SNIPE_MS)

/* After a stop: time to hear the other hosts before anything is claimed. */
#define RESTART_SETTLE (400 * SNIPE_MS)

struct peer
{
  struct snipe_member said; /**< claims are owned */
  snipe_time heard;
  bool live;
};

struct snipe_members
{
  struct snipe_member self;
  snipe_time silence;
  snipe_time settled;
  GHashTable *peers; /**< &incarnation -> struct peer */
};

static void
peer_free (struct peer *peer)
{
  g_free ((void *)peer->said.claims);
  g_free (peer);
}

int
snipe_members_new (struct snipe_members **out,
                   const struct snipe_members_options *options, snipe_time now)
{
  struct snipe_members *members;

  if (options->version != SNIPE_MEMBERS_OPTIONS_VERSION)
    return snipe_status_set (SNIPE_E_INVALID,
                             "unknown version %u of members options",
                             options->version);
  members = g_new0 (struct snipe_members, 1);
  members->self = options->self;
  members->silence = options->silence;
  members->settled = now + options->settle;
  members->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                          (GDestroyNotify)peer_free);
  *out = members;
  return SNIPE_OK;
}

void
snipe_members_free (struct snipe_members *members)
{
  if (members == NULL)
    return;
  g_hash_table_destroy (members->peers);
  g_free (members);
}

static struct peer *
find (const struct snipe_members *members, uint64_t incarnation)
{
  return g_hash_table_lookup (members->peers, &incarnation);
}

bool
snipe_members_heard (struct snipe_members *members,
                     const struct snipe_member *member, snipe_time now)
{
  struct peer *peer = find (members, member->incarnation);
  bool was_live;

  if (member->incarnation == members->self.incarnation)
    return false;
  if (peer == NULL)
    {
      peer = g_new0 (struct peer, 1);
      peer->said.incarnation = member->incarnation;
      g_hash_table_insert (members->peers, &peer->said.incarnation, peer);
    }
  was_live = peer->live;
  g_free ((void *)peer->said.claims);
  peer->said = *member;
  peer->said.claims = g_memdup2 (
      member->claims, member->claim_count * sizeof *member->claims);
  peer->heard = now;
  peer->live = true;
  return !was_live;
}

void
snipe_members_sign (struct snipe_members *members, uint64_t incarnation,
                    snipe_time now)
{
  struct peer *peer = find (members, incarnation);

  if (peer != NULL && peer->live)
    peer->heard = now;
}

void
snipe_members_suspect (struct snipe_members *members, uint64_t incarnation,
                       snipe_time now)
{
  struct peer *peer = find (members, incarnation);

  if (peer != NULL)
    peer->heard = MIN (peer->heard, now - members->silence + SUSPECT_TIME);
}

bool
snipe_members_live (const struct snipe_members *members, uint64_t incarnation)
{
  const struct peer *peer = find (members, incarnation);

  return incarnation == members->self.incarnation
         || (peer != NULL && peer->live);
}

snipe_time
snipe_members_silence (const struct snipe_members *members,
                       uint64_t incarnation, snipe_time now)
{
  const struct peer *peer = find (members, incarnation);

  return peer == NULL ? INT64_MAX : now - peer->heard;
}

uint64_t
snipe_members_lost (struct snipe_members *members, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      if (!peer->live || now - peer->heard < members->silence)
        continue;
      peer->live = false;
      return peer->said.incarnation;
    }
  return 0;
}

void
snipe_members_restart (struct snipe_members *members, snipe_time now)
{
  members->settled = now + RESTART_SETTLE;
}

void
snipe_members_leave (struct snipe_members *members)
{
  members->self.leaving = true;
}

void
snipe_members_each (const struct snipe_members *members,
                    void (*visit) (void *ctx,
                                   const struct snipe_member *member),
                    void *ctx)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct peer *)value)->live)
      visit (ctx, &((struct peer *)value)->said);
}

static uint64_t
claimed_token (const struct snipe_member *member, const char *service,
               const char *domain)
{
  for (uint32_t i = 0; i < member->claim_count; i++)
    if (strcmp (member->claims[i].service, service) == 0
        && strcmp (member->claims[i].domain, domain) == 0)
      return member->claims[i].token;
  return 0;
}

static struct snipe_str
borrow (const char *text)
{
  return (struct snipe_str){ .data = (char *)text, .len = strlen (text) };
}

static void
add_candidate (GArray *hosts, const struct snipe_member *member)
{
  struct snipe_owner_host host = { .incarnation = member->incarnation,
                                   .name = borrow (member->name),
                                   .domain = borrow (member->domain),
                                   .size = 1.0,
                                   .live = !member->leaving };

  g_array_append_val (hosts, host);
}

/** What the view says of a pool. */
struct standing
{
  const struct snipe_member *owner; /**< live host with the highest token */
  uint64_t token;                   /**< of the owner */
  uint64_t highest;                 /**< of any claim, also of lost hosts */
};

static struct standing
find_standing (const struct snipe_members *members, const char *service,
               const char *domain, uint64_t own_token)
{
  struct standing standing = { .highest = own_token };
  GHashTableIter iter;
  gpointer value;

  if (own_token > 0)
    {
      standing.owner = &members->self;
      standing.token = own_token;
    }
  g_hash_table_iter_init (&iter, members->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      uint64_t token = claimed_token (&peer->said, service, domain);

      standing.highest = MAX (standing.highest, token);
      if (!peer->live || token <= standing.token)
        continue;
      standing.owner = &peer->said;
      standing.token = token;
    }
  return standing;
}

/* The host that should own the pool if nobody did. */
static uint64_t
find_heir (const struct snipe_members *members, const char *service,
           const char *domain, bool *domain_has_host)
{
  GArray *hosts
      = g_array_new (FALSE, FALSE, sizeof (struct snipe_owner_host));
  struct snipe_str pool = borrow (service);
  struct snipe_str where = borrow (domain);
  GHashTableIter iter;
  gpointer value;
  uint64_t heir = 0;
  int found;

  add_candidate (hosts, &members->self);
  g_hash_table_iter_init (&iter, members->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct peer *)value)->live)
      add_candidate (hosts, &((struct peer *)value)->said);
  found = snipe_owner_find ((struct snipe_owner_host *)hosts->data, hosts->len,
                            &pool, &where);
  *domain_has_host = false;
  if (found >= 0)
    {
      const struct snipe_owner_host *host
          = &g_array_index (hosts, struct snipe_owner_host, found);

      heir = host->incarnation;
      *domain_has_host = snipe_str_equal_c (&host->domain, domain);
    }
  g_array_free (hosts, TRUE);
  return heir;
}

struct snipe_ownership_result
snipe_members_decide (const struct snipe_members *members, const char *service,
                      const char *domain, uint64_t own_token, snipe_time now)
{
  struct standing standing
      = find_standing (members, service, domain, own_token);
  struct snipe_ownership_result result = { .what = SNIPE_OWN_NONE };
  bool domain_has_host;
  uint64_t heir = find_heir (members, service, domain, &domain_has_host);
  uint64_t self = members->self.incarnation;
  bool owner_stays
      = standing.owner != NULL && !standing.owner->leaving
        && (!domain_has_host || strcmp (standing.owner->domain, domain) == 0);

  if (standing.owner != NULL)
    {
      result.owner = standing.owner->incarnation;
      result.token = standing.token;
    }
  if (own_token > 0 && result.owner != self)
    {
      result.what = SNIPE_OWN_YIELD;
      return result;
    }
  if (own_token > 0)
    {
      /* A host that should let go keeps the pool until its heir has claimed
       * it, so that it is never without an owner. */
      result.what = SNIPE_OWN_KEEP;
      return result;
    }
  if (owner_stays || heir != self || now < members->settled)
    return result;
  result.what = SNIPE_OWN_CLAIM;
  result.token = standing.highest;
  return result;
}
