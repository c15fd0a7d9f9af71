#include <string.h>

#include "sched_private.h"

static bool
peer_usable (const struct sched_peer *peer)
{
  return peer->load.live && peer->load.free_slots > 0;
}

static bool
peer_admits (const struct sched_peer *peer, uint64_t domains)
{
  return peer->load.domains == 0 ? domains == UINT64_MAX
                                 : (peer->load.domains & domains) != 0;
}

static void
peers_changed (struct snipe_sched *sched)
{
  sched->peer_best_speed = 0;
  for (guint i = 0; i < sched->peers->len; i++)
    {
      const struct sched_peer *peer
          = &g_array_index (sched->peers, struct sched_peer, i);

      /* A peer that reports no speed still counts as usable. */
      if (peer_usable (peer))
        sched->peer_best_speed
            = MAX (sched->peer_best_speed, MAX (peer->load.best_speed, 0.01F));
    }
}

/* Among peers that hold all wanted tasks the fastest, else the one that holds
 * most of them, since each batch is a message. */
static bool
peer_better (const struct sched_peer *a, const struct sched_peer *b,
             uint32_t wanted)
{
  uint32_t holds_a = MIN (a->load.free_slots, wanted);
  uint32_t holds_b = MIN (b->load.free_slots, wanted);

  if (holds_a != holds_b)
    return holds_a > holds_b;
  return a->load.best_speed > b->load.best_speed;
}

struct sched_peer *
sched_peer_find (struct snipe_sched *sched, const struct sched_shape_key *key,
                 uint32_t wanted)
{
  struct sched_peer *best = NULL;

  for (guint i = 0; i < sched->peers->len; i++)
    {
      struct sched_peer *peer
          = &g_array_index (sched->peers, struct sched_peer, i);

      if (peer_usable (peer) && peer_admits (peer, key->domains)
          && (best == NULL || peer_better (peer, best, wanted)))
        best = peer;
    }
  return best;
}

void
sched_peer_used (struct snipe_sched *sched, struct sched_peer *peer,
                 uint32_t count)
{
  peer->load.free_slots -= MIN (count, peer->load.free_slots);
  if (peer->load.free_slots == 0)
    peers_changed (sched);
}

void
snipe_sched_peer_set (struct snipe_sched *sched,
                      const struct snipe_peer_load *load, snipe_time now)
{
  struct sched_peer *peer = NULL;

  (void)now;
  for (guint i = 0; i < sched->peers->len; i++)
    {
      struct sched_peer *other
          = &g_array_index (sched->peers, struct sched_peer, i);

      if (other->load.incarnation == load->incarnation)
        peer = other;
    }
  if (peer == NULL)
    {
      g_array_set_size (sched->peers, sched->peers->len + 1);
      peer = &g_array_index (sched->peers, struct sched_peer,
                             sched->peers->len - 1);
    }
  peer->load = *load;
  peers_changed (sched);
  if (!peer_usable (peer))
    return;
  for (guint i = 0; i < sched->shapes->len; i++)
    {
      struct sched_shape *shape = g_ptr_array_index (sched->shapes, i);

      if (shape->blocked && shape->key.passable
          && peer_admits (peer, shape->key.domains))
        sched_shape_unblock (sched, shape);
    }
}

void
snipe_sched_peer_drop (struct snipe_sched *sched, uint64_t incarnation)
{
  for (guint i = 0; i < sched->peers->len; i++)
    if (g_array_index (sched->peers, struct sched_peer, i).load.incarnation
        == incarnation)
      {
        g_array_remove_index_fast (sched->peers, i);
        break;
      }
  peers_changed (sched);
}

bool
snipe_sched_fits (const struct snipe_sched *sched,
                  const struct snipe_group_task *task)
{
  struct sched_shape_key key = {
    .domains = task->domains,
    .needs = task->needs,
  };

  for (guint i = 0; i < sched->endpoints->len; i++)
    {
      const struct snipe_sched_endpoint *endpoint
          = g_ptr_array_index (sched->endpoints, i);

      if (!endpoint->dropped && !endpoint->info.draining
          && sched_endpoint_could_hold (endpoint, &key))
        return true;
    }
  if (!task->offloadable)
    return false;
  for (guint i = 0; i < sched->peers->len; i++)
    {
      const struct sched_peer *peer
          = &g_array_index (sched->peers, struct sched_peer, i);

      if (peer->load.live && peer_admits (peer, task->domains))
        return true;
    }
  return false;
}
