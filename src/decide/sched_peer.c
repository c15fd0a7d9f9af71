#include <string.h>

#include "sched_private.h"

static bool
peer_usable (const struct sched_peer *peer)
{
  return peer->load.live && peer->load.free_slots > 0;
}

static bool
peer_in_domains (const struct sched_peer *peer, uint64_t domains)
{
  return peer->load.domains == 0 ? domains == UINT64_MAX
                                 : (peer->load.domains & domains) != 0;
}

static void
update_best_speed (struct snipe_sched *sched)
{
  sched->peer_best_speed = 0;
  for (guint i = 0; i < sched->peers->len; i++)
    {
      const struct sched_peer *peer
          = &g_array_index (sched->peers, struct sched_peer, i);

      /* The minimum of 0.01 keeps a peer that reports no speed usable. */
      if (peer_usable (peer))
        sched->peer_best_speed
            = MAX (sched->peer_best_speed, MAX (peer->load.best_speed, 0.01F));
    }
}

/* Prefers the peer with free capacity for more of the wanted tasks, since each
 * batch costs a message, and among equal ones the faster. */
static bool
peer_better (const struct sched_peer *a, const struct sched_peer *b,
             uint32_t wanted)
{
  uint32_t usable_a = MIN (a->load.free_slots, wanted);
  uint32_t usable_b = MIN (b->load.free_slots, wanted);

  if (usable_a != usable_b)
    return usable_a > usable_b;
  return a->load.best_speed > b->load.best_speed;
}

struct sched_peer *
sched_peer_find (struct snipe_sched *sched,
                 const struct sched_task_class_key *key, uint32_t wanted)
{
  struct sched_peer *best = NULL;

  for (guint i = 0; i < sched->peers->len; i++)
    {
      struct sched_peer *peer
          = &g_array_index (sched->peers, struct sched_peer, i);

      if (peer_usable (peer) && peer_in_domains (peer, key->domains)
          && (best == NULL || peer_better (peer, best, wanted)))
        best = peer;
    }
  return best;
}

void
sched_peer_reduce_free_slots (struct snipe_sched *sched,
                              struct sched_peer *peer, uint32_t count)
{
  peer->load.free_slots -= MIN (count, peer->load.free_slots);
  if (peer->load.free_slots == 0)
    update_best_speed (sched);
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
  update_best_speed (sched);
  if (!peer_usable (peer))
    return;
  for (guint i = 0; i < sched->task_classes->len; i++)
    {
      struct sched_task_class *task_class
          = g_ptr_array_index (sched->task_classes, i);

      if (task_class->blocked && task_class->key.offloadable
          && peer_in_domains (peer, task_class->key.domains))
        sched_task_class_unblock (sched, task_class);
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
  update_best_speed (sched);
}

bool
snipe_sched_is_feasible (const struct snipe_sched *sched,
                         const struct snipe_group_task *task)
{
  struct sched_task_class_key key = {
    .domains = task->domains,
    .needs = task->needs,
  };

  for (guint i = 0; i < sched->endpoints->len; i++)
    {
      const struct snipe_sched_endpoint *endpoint
          = g_ptr_array_index (sched->endpoints, i);

      if (!endpoint->removed && !endpoint->info.draining
          && sched_endpoint_could_hold (endpoint, &key))
        return true;
    }
  if (!task->offloadable)
    return false;
  for (guint i = 0; i < sched->peers->len; i++)
    {
      const struct sched_peer *peer
          = &g_array_index (sched->peers, struct sched_peer, i);

      if (peer->load.live && peer_in_domains (peer, task->domains))
        return true;
    }
  return false;
}
