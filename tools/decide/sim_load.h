/**
 * @file sim_load.h
 * The state of a simulation, and the loads and offers that its hosts send to
 * each other.
 */
#ifndef DECIDE_SIM_LOAD_H
#define DECIDE_SIM_LOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include "params.h"
#include "sim_event.h"
#include "sim_input.h"
#include "snipe/sched.h"

struct sim_host
{
  struct snipe_sched *sched;
  bool *has_queued; /**< per host: has tasks for this one */
  uint32_t *queued_count;
  uint32_t *offered_slots;
  snipe_time *offered_until;
  snipe_time free_since;
  uint32_t next_offer_host;
  snipe_time wakeup_at;
};

struct sim
{
  const struct params *params;
  const struct sim_input *input;
  enum snipe_policy policy;
  struct sim_host *hosts;
  struct event_queue queue;
  uint32_t *running_count; /**< per endpoint */
  snipe_time now;
  uint32_t jobs_left;
  GArray *offload_events; /**< batches of the decisions being taken */
  uint64_t task_count;
  uint64_t batch_count;
  uint64_t offloaded_count;
  uint64_t rejected_count;
  uint64_t offer_count;
  uint64_t heartbeat_count;
  uint64_t refused_start_count;
};

/** Reads the current load of a host. */
void sim_host_load (struct sim *sim, uint32_t host,
                    struct snipe_peer_load *load);
/** Sends the load of @p from to @p to; it arrives after the latency. */
void sim_send_load (struct sim *sim, uint32_t from, uint32_t to,
                    enum event_kind kind);
/** Handles the load that a peer has sent. */
void sim_handle_load (struct sim *sim, uint32_t host,
                      const struct snipe_peer_load *load);
/** Offers the free slots of a host to hosts that have queued tasks. */
void sim_offer_slots (struct sim *sim, uint32_t host);

#endif
