/**
 * @file sim_load.h
 * The state of a simulation, and the loads and offers that its hosts report
 * to each other.
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
  bool *waiting; /**< hosts that have work for this one */
  uint32_t *wanted;
  uint32_t *offered;
  snipe_time *offered_until;
  snipe_time free_since;
  uint32_t next;
  snipe_time wake;
};

struct sim
{
  const struct params *params;
  const struct sim_input *input;
  enum snipe_policy policy;
  struct sim_host *hosts;
  struct event_queue queue;
  uint32_t *running; /**< of each endpoint */
  snipe_time now;
  uint32_t jobs_left;
  GArray *passes; /**< batches of the decisions being taken */
  uint64_t tasks;
  uint64_t batches;
  uint64_t passed;
  uint64_t passed_refused;
  uint64_t offers;
  uint64_t hellos;
  uint64_t refused;
};

/** Reads the load of a host as it is now. */
void sim_load (struct sim *sim, uint32_t host, struct snipe_peer_load *load);
/** Sends the load of @p from to @p to; it arrives after the latency. */
void sim_report (struct sim *sim, uint32_t from, uint32_t to,
                 enum event_kind kind);
/** Takes in the load that a peer reported. */
void sim_load_received (struct sim *sim, uint32_t host,
                        const struct snipe_peer_load *load);
/** Offers the free slots of a host to hosts that have tasks waiting. */
void sim_offer (struct sim *sim, uint32_t host);

#endif
