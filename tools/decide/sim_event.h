/**
 * @file sim_event.h
 * The event queue of a simulation: a binary heap, earliest event first.
 */
#ifndef DECIDE_SIM_EVENT_H
#define DECIDE_SIM_EVENT_H

#include <stdint.h>
#include "snipe/clock.h"
#include "snipe/sched.h"

enum event_kind
{
  EVENT_JOB_ARRIVAL,
  EVENT_TASK_END,
  EVENT_BATCH,     /**< RUN_BATCH reaches the peer */
  EVENT_REPLY,     /**< the reply to RUN_BATCH reaches the coordinator */
  EVENT_RESULTS,   /**< RESULTS reaches the coordinator */
  EVENT_REPORT,    /**< an offer or a heartbeat reaches a host */
  EVENT_LOAD,      /**< the load in a reply reaches a host */
  EVENT_HEARTBEAT, /**< time to send a heartbeat */
  EVENT_WAKEUP,
};

struct event
{
  snipe_time at;
  uint64_t seq;
  enum event_kind kind;
  uint32_t host;
  uint32_t task;
  uint32_t endpoint;
  void *subject; /**< task group, batch or job */
  struct snipe_peer_load load;
};

struct event_queue
{
  struct event *events;
  uint32_t count;
  uint32_t capacity;
  uint64_t seq;
};

/** Adds a copy; events of the same time keep the order of their addition. */
void event_push (struct event_queue *queue, const struct event *event);
/** Removes the earliest event; the queue must not be empty. */
struct event event_pop (struct event_queue *queue);

#endif
