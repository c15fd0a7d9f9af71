#include "member/private.h"

#include <string.h>

#include "snipe/status.h"

/* Three heartbeats may be missed before a host counts as lost. */
#define SIGNS_PER_SILENCE 4
/* Up to this many other hosts all get heartbeats at the same interval. In
 * larger fleets, and in domains of more than NEAR_HOSTS hosts, those with
 * which this host has no work get them in proportion more rarely, so that
 * their sum stays. At one in RARE_FACTOR_MAX a host without common work is
 * lost after five seconds; 300 hosts that were told each 150 ms cost 1,100
 * messages a second each. */
#define ALL_HOSTS 8
#define NEAR_HOSTS 24
#define RARE_FACTOR_MAX 8
/* What changes is told at once; so this only makes up for lost messages, and
 * costs each host at most 50 messages a second. */
#define FULL_INTERVAL_MIN (600 * SNIPE_MS)
#define FULL_INTERVAL_HOST (20 * SNIPE_MS)
/* An address at which nobody is heard is greeted after a part of the time that
 * it was silent: a cut that heals is noticed in a sixteenth of its length
 * more, and the rows of hosts that were lost for good cost next to nothing. */
#define GREET_PAUSE_MIN (300 * SNIPE_MS)
#define GREET_PAUSE_MAX (15 * SNIPE_S)
#define GREET_PAUSE_PART 16
/* Regions lose each other for minutes. Seven hosts a day are lost for good at
 * the target, and each one that stays listed is greeted by all others. */
#define FORGET_AFTER (1800 * SNIPE_S)
/* Work that was just answered is often followed by more. */
#define RELATED_TIME (1 * SNIPE_S)
/* Time in which a live host opens a new connection after one was reset: it
 * does so with its next heartbeat, and is slow at times. */
#define SUSPECT_INTERVALS (5.0 / 3)
#define SUSPECT_MIN (250 * SNIPE_MS)
/* Messages of a connection that works are hardly later than this many
 * intervals. */
#define UNHEARD_INTERVALS 2.6

/* After a stop: time to hear the other hosts before anything is claimed. */
#define RESTART_SETTLE (400 * SNIPE_MS)

/* Clocks may drift by 2 %, so old differences are forgotten. A time of silence
 * does not count: the first messages after it may all be late. */
#define TRANSIT_TIME (10 * SNIPE_S)

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
  members->silence = options->failure_timeout;
  members->settled = now + options->settle_delay;
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

static bool
is_near (const struct snipe_members *members, const struct peer *peer)
{
  return strcmp (peer->said.domain, members->self.domain) == 0;
}

static bool
is_related (const struct peer *peer, snipe_time now)
{
  return peer->related_at > 0 && now - peer->related_at < RELATED_TIME;
}

/* @return when the peer counts as lost if it is not heard before. */
static snipe_time
lost_at (const struct snipe_members *members, const struct peer *peer,
         snipe_time now)
{
  snipe_time promised = SIGNS_PER_SILENCE * peer->said.heartbeat_interval;
  snipe_time at = peer->heard + MAX (members->silence, promised);

  /* It learns of the work between the two no sooner than this host. */
  if (is_related (peer, now))
    at = MIN (at, MAX (peer->heard, peer->related_since) + members->silence);
  return peer->doubted > 0 ? MIN (at, peer->doubted) : at;
}

static void
doubt (struct peer *peer, snipe_time until)
{
  if (peer->doubted == 0 || until < peer->doubted)
    peer->doubted = until;
}

/* The process that was heard at the address, unless it is @p heir, has
 * ended. */
static void
doubt_address (struct snipe_members *members, const char *address,
               const struct peer *heir, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      if (peer != heir && peer->live
          && strcmp (peer->said.address, address) == 0)
        doubt (peer, now);
    }
}

static bool
has_changed (const struct snipe_member *old, const struct snipe_member *new)
{
  if (old->leaving != new->leaving || old->claim_count != new->claim_count)
    return true;
  for (uint32_t i = 0; i < new->claim_count; i++)
    if (old->claims[i].token != new->claims[i].token
        || !snipe_pool_id_equal (&old->claims[i].pool, &new->claims[i].pool))
      return true;
  return false;
}

enum snipe_heartbeat_effect
snipe_members_handle_heartbeat (struct snipe_members *members,
                                const struct snipe_member *member,
                                snipe_time now)
{
  struct peer *peer = find (members, member->incarnation);
  enum snipe_heartbeat_effect heard = SNIPE_HEARTBEAT_UNCHANGED;

  if (member->incarnation == members->self.incarnation)
    return heard;
  if (peer == NULL)
    {
      peer = g_new0 (struct peer, 1);
      peer->said.incarnation = member->incarnation;
      g_hash_table_insert (members->peers, &peer->said.incarnation, peer);
    }
  if (!peer->live)
    heard = SNIPE_HEARTBEAT_NEW_HOST;
  else if (member->losses > peer->said.losses)
    heard = SNIPE_HEARTBEAT_LOST_SELF;
  else if (has_changed (&peer->said, member))
    heard = SNIPE_HEARTBEAT_CHANGED;
  g_free ((void *)peer->said.claims);
  peer->said = *member;
  peer->said.claims = g_memdup2 (member->claims,
                                 member->claim_count * sizeof *member->claims);
  peer->heard = now;
  peer->doubted = 0;
  if (!peer->live)
    {
      members->live++;
      members->near += is_near (members, peer);
      doubt_address (members, peer->said.address, peer, now);
    }
  peer->live = true;
  return heard;
}

void
snipe_members_message_received (struct snipe_members *members,
                                uint64_t incarnation, snipe_time now)
{
  struct peer *peer = find (members, incarnation);

  if (peer == NULL || !peer->live)
    return;
  peer->heard = now;
  peer->doubted = 0;
}

void
snipe_members_record_transit (struct snipe_members *members,
                              uint64_t incarnation, snipe_time sent,
                              snipe_time now)
{
  struct peer *peer = find (members, incarnation);

  if (peer == NULL)
    return;
  if (peer->transit_since == 0)
    peer->transit[0] = peer->transit[1] = now - sent;
  if (peer->transit_since == 0 || now - peer->transit_since > TRANSIT_TIME)
    {
      peer->transit_since = now;
      peer->transit[1] = peer->transit[0];
      peer->transit[0] = now - sent;
    }
  peer->transit[0] = MIN (peer->transit[0], now - sent);
}

snipe_time
snipe_members_delay (const struct snipe_members *members, uint64_t incarnation,
                     snipe_time sent, snipe_time now)
{
  const struct peer *peer = find (members, incarnation);

  if (peer == NULL || peer->transit_since == 0)
    return INT64_MAX;
  return now - sent - MIN (peer->transit[0], peer->transit[1]);
}

void
snipe_members_message_sent (struct snipe_members *members,
                            uint64_t incarnation, snipe_time now)
{
  struct peer *peer = find (members, incarnation);

  if (peer != NULL)
    peer->sent = now;
}

void
snipe_members_note_shared_work (struct snipe_members *members,
                                uint64_t incarnation, snipe_time now)
{
  struct peer *peer = find (members, incarnation);

  if (peer == NULL)
    return;
  if (!is_related (peer, now))
    peer->related_since = now;
  peer->related_at = now;
}

snipe_time
snipe_members_heartbeat_interval (const struct snipe_members *members,
                                  uint64_t incarnation, snipe_time now)
{
  const struct peer *peer = find (members, incarnation);
  snipe_time near = members->silence / SIGNS_PER_SILENCE;
  snipe_time shared;

  if (peer == NULL || is_related (peer, now))
    return near;
  shared = is_near (members, peer) ? near * members->near / NEAR_HOSTS
                                   : near * members->live / ALL_HOSTS;
  return CLAMP (shared, near, near * RARE_FACTOR_MAX);
}

snipe_time
snipe_members_broadcast_interval (const struct snipe_members *members)
{
  return MAX (FULL_INTERVAL_MIN, members->live * FULL_INTERVAL_HOST);
}

void
snipe_members_heartbeat_sent (struct snipe_members *members,
                              uint64_t incarnation, snipe_time promise,
                              snipe_time now)
{
  struct peer *peer = find (members, incarnation);

  if (peer == NULL)
    return;
  peer->sent = now;
  peer->promised = promise;
}

bool
snipe_members_heartbeat_due (const struct snipe_members *members,
                             uint64_t incarnation, snipe_time now)
{
  const struct peer *peer = find (members, incarnation);

  return peer == NULL
         || now - peer->sent >= MIN (
                peer->promised,
                snipe_members_heartbeat_interval (members, incarnation, now));
}

bool
snipe_members_outbound_stalled (const struct snipe_members *members,
                                uint64_t incarnation, snipe_time silence)
{
  const struct peer *peer = find (members, incarnation);

  return peer != NULL
         && (double)silence > UNHEARD_INTERVALS * (double)peer->promised;
}

void
snipe_members_suspect (struct snipe_members *members, uint64_t incarnation,
                       snipe_time now)
{
  struct peer *peer = find (members, incarnation);

  if (peer == NULL)
    return;
  doubt (peer,
         now
             + MAX (SUSPECT_MIN,
                    (snipe_time)(SUSPECT_INTERVALS
                                 * (double)peer->said.heartbeat_interval)));
  /* A heartbeat at once finds out whether its address still answers. */
  peer->sent = 0;
}

void
snipe_members_address_refused (struct snipe_members *members,
                               const char *address, snipe_time now)
{
  doubt_address (members, address, NULL, now);
}

bool
snipe_members_is_live (const struct snipe_members *members,
                       uint64_t incarnation)
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

uint32_t
snipe_members_loss_count (const struct snipe_members *members,
                          uint64_t incarnation)
{
  const struct peer *peer = find (members, incarnation);

  return peer == NULL ? 0 : peer->losses;
}

static void
lose (struct snipe_members *members, struct peer *peer)
{
  peer->live = false;
  peer->losses++;
  members->live--;
  members->near -= is_near (members, peer);
}

uint64_t
snipe_members_next_lost (struct snipe_members *members, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      if (!peer->live && now - peer->heard > FORGET_AFTER)
        g_hash_table_iter_remove (&iter);
      else if (peer->live && now >= lost_at (members, peer, now))
        {
          lose (members, peer);
          return peer->said.incarnation;
        }
    }
  return 0;
}

void
snipe_members_end_settling (struct snipe_members *members, snipe_time now)
{
  members->settled = MIN (members->settled, now);
}

void
snipe_members_resume (struct snipe_members *members, snipe_time now)
{
  members->settled = now + RESTART_SETTLE;
}

void
snipe_members_leave (struct snipe_members *members)
{
  members->self.leaving = true;
}

const struct snipe_member *
snipe_members_find (const struct snipe_members *members, uint64_t incarnation)
{
  const struct peer *peer = find (members, incarnation);

  return peer != NULL && peer->live ? &peer->said : NULL;
}

const struct snipe_member *
snipe_members_find_by_address (const struct snipe_members *members,
                               const char *address)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;

      if (peer->live && strcmp (peer->said.address, address) == 0)
        return &peer->said;
    }
  return NULL;
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

bool
snipe_members_is_domain_leader (const struct snipe_members *members)
{
  const struct snipe_member *self = &members->self;
  GHashTableIter iter;
  gpointer value;

  if (self->leaving)
    return false;
  g_hash_table_iter_init (&iter, members->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;

      if (peer->live && !peer->said.leaving
          && strcmp (peer->said.domain, self->domain) == 0
          && (peer->said.cpu_millicores > self->cpu_millicores
              || (peer->said.cpu_millicores == self->cpu_millicores
                  && peer->said.incarnation < self->incarnation)))
        return false;
    }
  return true;
}

bool
snipe_members_should_unlist (const struct snipe_members *members,
                             snipe_time silent)
{
  return silent > FORGET_AFTER && snipe_members_is_domain_leader (members);
}

snipe_time
snipe_members_discovery_interval (snipe_time silent)
{
  return CLAMP (silent / GREET_PAUSE_PART, GREET_PAUSE_MIN, GREET_PAUSE_MAX);
}
