#include "sim_load.h"

#include <glib.h>

/* A host offers its free slots when they suffice for all tasks queued at the
 * other host, when there are this many, or after this time. */
#define OFFER_MIN_SLOTS 8
#define OFFER_WAIT_MAX (100 * SNIPE_MS)

void
sim_host_load (struct sim *sim, uint32_t host, struct snipe_peer_load *load)
{
  snipe_sched_load_get (sim->hosts[host].sched, sim->now, load);
  load->incarnation = host + 1;
  load->live = true;
}

static void
sim_send_load_limited (struct sim *sim, uint32_t from, uint32_t to,
                       enum event_kind kind, uint32_t max_free_slots)
{
  struct event event = {
    .at = sim->now + sim->params->latency,
    .kind = kind,
    .host = to,
  };

  sim_host_load (sim, from, &event.load);
  event.load.free_slots = MIN (event.load.free_slots, max_free_slots);
  event_push (&sim->queue, &event);
}

void
sim_send_load (struct sim *sim, uint32_t from, uint32_t to,
               enum event_kind kind)
{
  sim_send_load_limited (sim, from, to, kind, UINT32_MAX);
}

void
sim_handle_load (struct sim *sim, uint32_t host,
                 const struct snipe_peer_load *load)
{
  snipe_sched_peer_set (sim->hosts[host].sched, load, sim->now);
  sim->hosts[host].has_queued[load->incarnation - 1] = load->queued > 0;
  sim->hosts[host].queued_count[load->incarnation - 1] = load->queued;
}

void
sim_offer_slots (struct sim *sim, uint32_t host)
{
  struct sim_host *self = &sim->hosts[host];
  struct snipe_peer_load load;
  uint32_t offered = 0;

  sim_host_load (sim, host, &load);
  if (load.free_slots == 0 || load.queued > 0)
    {
      self->free_since = 0;
      return;
    }
  for (uint32_t i = 0; i < sim->input->hosts; i++)
    {
      if (self->offered_until[i] <= sim->now)
        self->offered_slots[i] = 0;
      offered += self->offered_slots[i];
    }
  for (uint32_t i = 0; i < sim->input->hosts && load.free_slots > offered; i++)
    {
      uint32_t to = (self->next_offer_host + i) % sim->input->hosts;
      uint32_t count = MIN (self->queued_count[to], load.free_slots - offered);

      if (!self->has_queued[to] || count == 0)
        continue;
      if (count < OFFER_MIN_SLOTS && count < self->queued_count[to]
          && (self->free_since == 0
              || sim->now - self->free_since < OFFER_WAIT_MAX))
        {
          if (self->free_since == 0)
            {
              struct event event = {
                .at = sim->now + OFFER_WAIT_MAX,
                .kind = EVENT_WAKEUP,
                .host = host,
              };

              self->free_since = sim->now;
              event_push (&sim->queue, &event);
            }
          return;
        }
      self->has_queued[to] = false;
      self->offered_slots[to] = count;
      self->offered_until[to] = sim->now + 4 * sim->params->latency + 1000;
      offered += count;
      sim->offer_count++;
      sim_send_load_limited (sim, host, to, EVENT_REPORT, count);
      self->free_since = 0;
    }
  self->next_offer_host++;
}
