#include "member/private.h"

#include <string.h>

#include "snipe/status.h"

/* Up to three heartbeats in a row may be missed before a host counts as lost.
 */
#define HEARTBEATS_PER_TIMEOUT 4
/* With up to FULL_RATE_HOSTS live peers, all get heartbeats at the same
 * interval. With more, the interval to peers of other domains without shared
 * work grows in proportion to the number of peers. The same holds for peers of
 * this domain if it has more than FULL_RATE_DOMAIN_HOSTS of them. So the total
 * rate stays constant. At INTERVAL_FACTOR_MAX, a host without shared work is
 * declared lost after five seconds. 300 hosts with a fixed interval of 150 ms
 * sent 1,100 messages a second each. */
#define FULL_RATE_HOSTS 8
#define FULL_RATE_DOMAIN_HOSTS 12
#define INTERVAL_FACTOR_MAX 8
/* Changes are sent at once, so this interval only makes up for lost messages.
 * It costs each host at most 50 messages a second. */
#define BROADCAST_INTERVAL_MIN (600 * SNIPE_MS)
#define BROADCAST_INTERVAL_PER_HOST (20 * SNIPE_MS)
/* An address from which no message arrives gets a discovery heartbeat at an
 * interval that is a fraction of the time since the last message: the end of a
 * partition is detected with a delay of a sixteenth of its length, and entries
 * of hosts that were lost for good cost next to nothing. */
#define DISCOVERY_INTERVAL_MIN (300 * SNIPE_MS)
#define DISCOVERY_INTERVAL_MAX (15 * SNIPE_S)
#define DISCOVERY_INTERVAL_DIVISOR 16
/* Partitions between regions last for minutes. Seven hosts a day are lost for
 * good at the target size, and each one that stays listed gets discovery
 * heartbeats from all others. */
#define LOST_HOST_RETENTION (1800 * SNIPE_S)
/* Work that was just answered is often followed by more. */
#define SHARED_WORK_TIME (1 * SNIPE_S)
/* Time in which a live host opens a new connection after a reset: it does so
 * with its next heartbeat, and is slow at times. */
#define SUSPECT_INTERVALS (5.0 / 3)
#define SUSPECT_MIN (250 * SNIPE_MS)
/* On a working connection, messages are hardly ever later than this many
 * intervals. */
#define STALLED_INTERVALS 2.6

/* Time after a pause of the process in which heartbeats of the other hosts are
 * received before a pool is claimed. */
#define RESUME_SETTLE_DELAY (400 * SNIPE_MS)

/* A host whose list of endpoints was not older in its last heartbeat keeps it
 * up to date. */
#define LIST_KEPT_AGE (1500 * SNIPE_MS)

/* Clocks may drift by 2 %, so old minima expire. The window is not extended by
 * a time without messages: the first messages after it may all be delayed. */
#define TRANSIT_WINDOW (10 * SNIPE_S)

static void
peer_free (struct peer *peer)
{
  g_free ((void *)peer->advertised.claims);
  g_free (peer);
}

int
snipe_members_new (struct snipe_members **out,
                   const struct snipe_members_options *options, snipe_time now)
{
  struct snipe_members *members;

  if (options->version != SNIPE_MEMBERS_OPTIONS_VERSION)
    return snipe_status_set (SNIPE_E_INVALID,
                             "unknown version %u of membership options",
                             options->version);
  members = g_new0 (struct snipe_members, 1);
  members->self = options->self;
  members->failure_timeout = options->failure_timeout;
  members->settle_until = now + options->settle_delay;
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
find_peer (const struct snipe_members *members, uint64_t incarnation)
{
  return g_hash_table_lookup (members->peers, &incarnation);
}

static bool
is_in_own_domain (const struct snipe_members *members, const struct peer *peer)
{
  return strcmp (peer->advertised.domain, members->self.domain) == 0;
}

static bool
shares_work (const struct peer *peer, snipe_time now)
{
  return peer->shared_work_at > 0
         && now - peer->shared_work_at < SHARED_WORK_TIME;
}

/* @return the longest time between the last message of a host that was lost
 * and its loss. */
static snipe_time
loss_delay_max (const struct snipe_members *members, const struct peer *peer)
{
  return MAX (members->failure_timeout,
              HEARTBEATS_PER_TIMEOUT * peer->advertised.heartbeat_interval);
}

/* @return when the peer counts as lost unless a message arrives before. */
static snipe_time
failure_deadline (const struct snipe_members *members, const struct peer *peer,
                  snipe_time now)
{
  snipe_time at = peer->last_received_at + loss_delay_max (members, peer);

  /* The peer learns of the shared work no sooner than this host. */
  if (shares_work (peer, now))
    at = MIN (at, MAX (peer->last_received_at, peer->shared_work_since)
                      + members->failure_timeout);
  return peer->suspect_deadline > 0 ? MIN (at, peer->suspect_deadline) : at;
}

static void
suspect (struct peer *peer, snipe_time until)
{
  if (peer->suspect_deadline == 0 || until < peer->suspect_deadline)
    peer->suspect_deadline = until;
}

/* Suspects the peers at the address other than @p successor: their process has
 * ended. */
static void
suspect_address (struct snipe_members *members, const char *address,
                 const struct peer *successor, snipe_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      if (peer != successor && peer->live
          && strcmp (peer->advertised.address, address) == 0)
        suspect (peer, now);
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
  struct peer *peer = find_peer (members, member->incarnation);
  enum snipe_heartbeat_effect effect = SNIPE_HEARTBEAT_UNCHANGED;
  snipe_time transit = member->transit;

  if (member->incarnation == members->self.incarnation)
    return effect;
  if (peer == NULL)
    {
      peer = g_new0 (struct peer, 1);
      peer->advertised.incarnation = member->incarnation;
      g_hash_table_insert (members->peers, &peer->advertised.incarnation,
                           peer);
    }
  if (!peer->live)
    effect = SNIPE_HEARTBEAT_NEW_HOST;
  else if (member->losses > peer->advertised.losses)
    effect = SNIPE_HEARTBEAT_LOST_SELF;
  else if (has_changed (&peer->advertised, member))
    effect = SNIPE_HEARTBEAT_CHANGED;
  g_free ((void *)peer->advertised.claims);
  /* A host that has lost this one does not tell it. */
  if (transit == 0)
    transit = peer->advertised.transit;
  peer->advertised = *member;
  peer->advertised.transit = transit;
  peer->advertised.claims = g_memdup2 (
      member->claims, member->claim_count * sizeof *member->claims);
  peer->last_received_at = now;
  peer->described_at = now;
  peer->suspect_deadline = 0;
  if (!peer->live)
    {
      members->live_count++;
      members->domain_live_count += is_in_own_domain (members, peer);
      suspect_address (members, peer->advertised.address, peer, now);
    }
  if (!peer->live)
    peer->live_since = now;
  peer->live = true;
  return effect;
}

void
snipe_members_message_received (struct snipe_members *members,
                                uint64_t incarnation, snipe_time now)
{
  struct peer *peer = find_peer (members, incarnation);

  if (peer == NULL || !peer->live)
    return;
  peer->last_received_at = now;
  peer->suspect_deadline = 0;
}

void
snipe_members_record_transit (struct snipe_members *members,
                              uint64_t incarnation, snipe_time sent,
                              snipe_time now)
{
  struct peer *peer = find_peer (members, incarnation);

  if (peer == NULL)
    return;
  if (peer->transit_window_start == 0)
    peer->min_transit[0] = peer->min_transit[1] = now - sent;
  if (peer->transit_window_start == 0
      || now - peer->transit_window_start > TRANSIT_WINDOW)
    {
      peer->transit_window_start = now;
      peer->min_transit[1] = peer->min_transit[0];
      peer->min_transit[0] = now - sent;
    }
  peer->min_transit[0] = MIN (peer->min_transit[0], now - sent);
}

snipe_time
snipe_members_delay (const struct snipe_members *members, uint64_t incarnation,
                     snipe_time sent, snipe_time now)
{
  const struct peer *peer = find_peer (members, incarnation);

  if (peer == NULL || peer->transit_window_start == 0)
    return INT64_MAX;
  return now - sent - MIN (peer->min_transit[0], peer->min_transit[1]);
}

void
snipe_members_record_handled (struct snipe_members *members,
                              uint64_t incarnation, snipe_time handled)
{
  struct peer *peer = find_peer (members, incarnation);

  if (peer != NULL)
    peer->handled_stamp = MAX (peer->handled_stamp, handled);
}

snipe_time
snipe_members_transit (const struct snipe_members *members,
                       uint64_t incarnation)
{
  const struct peer *peer = find_peer (members, incarnation);

  return peer == NULL || peer->transit_window_start == 0
             ? 0
             : MIN (peer->min_transit[0], peer->min_transit[1]);
}

snipe_time
snipe_members_round_trip_max (const struct snipe_members *members)
{
  snipe_time longest = 0;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, members->peers);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct peer *peer = value;

      /* The difference of the clocks is in both, with opposite signs. */
      if (peer->live && peer->advertised.transit != 0)
        longest = MAX (longest, peer->advertised.transit
                                    + snipe_members_transit (
                                        members, *(const uint64_t *)key));
    }
  return longest;
}

/* The peer's clock showed the peer's transit more than this one when a message
 * of this host had reached it, so at no later moment. The transit of its own
 * messages tells a time that is later than the true one by an unknown part. */
static snipe_time
local_time_of (const struct peer *peer, snipe_time stamp, snipe_time now)
{
  if (stamp == 0 || peer->advertised.transit == 0)
    return 0;
  return MIN (stamp - peer->advertised.transit, now);
}

snipe_time
snipe_members_local_time (const struct snipe_members *members,
                          uint64_t incarnation, snipe_time stamp,
                          snipe_time now)
{
  const struct peer *peer = find_peer (members, incarnation);

  return peer == NULL ? 0 : local_time_of (peer, stamp, now);
}

snipe_time
snipe_members_heard_at (const struct snipe_members *members,
                        uint64_t incarnation, snipe_time now)
{
  const struct peer *peer = find_peer (members, incarnation);

  return peer == NULL ? 0 : local_time_of (peer, peer->handled_stamp, now);
}

void
snipe_members_message_sent (struct snipe_members *members,
                            uint64_t incarnation, snipe_time now)
{
  struct peer *peer = find_peer (members, incarnation);

  if (peer != NULL)
    peer->last_sent_at = now;
}

void
snipe_members_note_shared_work (struct snipe_members *members,
                                uint64_t incarnation, snipe_time now)
{
  struct peer *peer = find_peer (members, incarnation);

  if (peer == NULL)
    return;
  if (!shares_work (peer, now))
    peer->shared_work_since = now;
  peer->shared_work_at = now;
}

snipe_time
snipe_members_heartbeat_interval (const struct snipe_members *members,
                                  uint64_t incarnation, snipe_time now)
{
  const struct peer *peer = find_peer (members, incarnation);
  snipe_time base_interval = members->failure_timeout / HEARTBEATS_PER_TIMEOUT;
  snipe_time scaled_interval;

  if (peer == NULL || shares_work (peer, now))
    return base_interval;
  scaled_interval
      = is_in_own_domain (members, peer)
            ? base_interval * members->domain_live_count
                  / FULL_RATE_DOMAIN_HOSTS
            : base_interval * members->live_count / FULL_RATE_HOSTS;
  return CLAMP (scaled_interval, base_interval,
                base_interval * INTERVAL_FACTOR_MAX);
}

snipe_time
snipe_members_broadcast_interval (const struct snipe_members *members)
{
  return MAX (BROADCAST_INTERVAL_MIN,
              members->live_count * BROADCAST_INTERVAL_PER_HOST);
}

void
snipe_members_heartbeat_sent (struct snipe_members *members,
                              uint64_t incarnation, snipe_time interval,
                              snipe_time now)
{
  struct peer *peer = find_peer (members, incarnation);

  if (peer == NULL)
    return;
  peer->last_sent_at = now;
  peer->last_heartbeat_at = now;
  peer->announced_interval = interval;
}

bool
snipe_members_heartbeat_due (const struct snipe_members *members,
                             uint64_t incarnation, snipe_time now)
{
  const struct peer *peer = find_peer (members, incarnation);
  snipe_time last;

  if (peer == NULL)
    return true;
  /* The lease of a task that a peer runs for this host depends on when the
   * last message was sent, and only heartbeats and batches tell it. */
  last
      = shares_work (peer, now) ? peer->last_heartbeat_at : peer->last_sent_at;
  return now - last
         >= MIN (peer->announced_interval,
                 snipe_members_heartbeat_interval (members, incarnation, now));
}

bool
snipe_members_outbound_stalled (const struct snipe_members *members,
                                uint64_t incarnation,
                                snipe_time since_received)
{
  const struct peer *peer = find_peer (members, incarnation);

  return peer != NULL
         && (double)since_received
                > STALLED_INTERVALS * (double)peer->announced_interval;
}

bool
snipe_members_outbound_unheard (const struct snipe_members *members,
                                uint64_t incarnation, snipe_time now)
{
  const struct peer *peer = find_peer (members, incarnation);

  return peer != NULL && peer->live
         && now - peer->live_since > members->failure_timeout;
}

void
snipe_members_suspect (struct snipe_members *members, uint64_t incarnation,
                       snipe_time now)
{
  struct peer *peer = find_peer (members, incarnation);

  if (peer == NULL)
    return;
  suspect (
      peer,
      now
          + MAX (SUSPECT_MIN,
                 (snipe_time)(SUSPECT_INTERVALS
                              * (double)peer->advertised.heartbeat_interval)));
  /* Makes a heartbeat due at once, which shows whether the address still
   * accepts connections. */
  peer->last_sent_at = 0;
  peer->last_heartbeat_at = 0;
}

void
snipe_members_address_refused (struct snipe_members *members,
                               const char *address, snipe_time now)
{
  suspect_address (members, address, NULL, now);
}

bool
snipe_members_is_live (const struct snipe_members *members,
                       uint64_t incarnation)
{
  const struct peer *peer = find_peer (members, incarnation);

  return incarnation == members->self.incarnation
         || (peer != NULL && peer->live);
}

snipe_time
snipe_members_time_since_received (const struct snipe_members *members,
                                   uint64_t incarnation, snipe_time now)
{
  const struct peer *peer = find_peer (members, incarnation);

  return peer == NULL ? INT64_MAX : now - peer->last_received_at;
}

bool
snipe_members_is_isolated (const struct snipe_members *members)
{
  return members->live_count == 0 && g_hash_table_size (members->peers) > 0;
}

/* @return when the host's list was read, 0: it has none. */
static snipe_time
list_read_at (const struct peer *peer, snipe_time now)
{
  snipe_time age = peer->advertised.list_age;

  if (age == INT64_MAX)
    return 0;
  return (age <= LIST_KEPT_AGE ? now : peer->described_at) - age;
}

uint64_t
snipe_members_newest_list (const struct snipe_members *members,
                           uint64_t skipped, snipe_time *read_at,
                           snipe_time now)
{
  const struct peer *newest = NULL;
  GHashTableIter iter;
  gpointer value;

  *read_at = 0;
  g_hash_table_iter_init (&iter, members->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      snipe_time at = list_read_at (peer, now);

      if (!peer->live || peer->advertised.incarnation == skipped
          || at <= *read_at)
        continue;
      newest = peer;
      *read_at = at;
    }
  return newest == NULL ? 0 : newest->advertised.incarnation;
}

uint32_t
snipe_members_loss_count (const struct snipe_members *members,
                          uint64_t incarnation)
{
  const struct peer *peer = find_peer (members, incarnation);

  return peer == NULL ? 0 : peer->losses;
}

static void
mark_lost (struct snipe_members *members, struct peer *peer)
{
  peer->live = false;
  peer->losses++;
  members->live_count--;
  members->domain_live_count -= is_in_own_domain (members, peer);
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

      if (!peer->live && now - peer->last_received_at > LOST_HOST_RETENTION)
        g_hash_table_iter_remove (&iter);
      else if (peer->live && now >= failure_deadline (members, peer, now))
        {
          mark_lost (members, peer);
          return peer->advertised.incarnation;
        }
    }
  return 0;
}

void
snipe_members_end_settling (struct snipe_members *members, snipe_time now)
{
  members->settle_until = MIN (members->settle_until, now);
}

void
snipe_members_resume (struct snipe_members *members, snipe_time now)
{
  members->settle_until = now + RESUME_SETTLE_DELAY;
}

void
snipe_members_leave (struct snipe_members *members)
{
  members->self.leaving = true;
}

const struct snipe_member *
snipe_members_find (const struct snipe_members *members, uint64_t incarnation)
{
  const struct peer *peer = find_peer (members, incarnation);

  return peer != NULL && peer->live ? &peer->advertised : NULL;
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

      if (peer->live && strcmp (peer->advertised.address, address) == 0)
        return &peer->advertised;
    }
  return NULL;
}

const char *
snipe_members_address (const struct snipe_members *members,
                       uint64_t incarnation)
{
  const struct peer *peer = find_peer (members, incarnation);

  return peer == NULL ? NULL : peer->advertised.address;
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
      visit (ctx, &((struct peer *)value)->advertised);
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

      if (peer->live && !peer->advertised.leaving
          && strcmp (peer->advertised.domain, self->domain) == 0
          && (peer->advertised.capacity > self->capacity
              || (peer->advertised.capacity == self->capacity
                  && peer->advertised.incarnation < self->incarnation)))
        return false;
    }
  return true;
}

bool
snipe_members_should_unlist (const struct snipe_members *members,
                             snipe_time since_received)
{
  return since_received > LOST_HOST_RETENTION
         && snipe_members_is_domain_leader (members);
}

snipe_time
snipe_members_discovery_interval (snipe_time since_received)
{
  return CLAMP (since_received / DISCOVERY_INTERVAL_DIVISOR,
                DISCOVERY_INTERVAL_MIN, DISCOVERY_INTERVAL_MAX);
}
