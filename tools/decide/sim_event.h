/**
 * @file sim_event.h
 * The queue of events of a simulation, earliest first.
 */
#ifndef DECIDE_SIM_EVENT_H
#define DECIDE_SIM_EVENT_H

#include <stdint.h>
#include "snipe/clock.h"
#include "snipe/sched.h"

enum event_kind
{
  EVENT_ARRIVE,
  EVENT_TASK_END,
  EVENT_BATCH,   /**< RUN_BATCH reaches the peer */
  EVENT_REPLY,   /**< the reply to RUN_BATCH reaches the home host */
  EVENT_RESULTS, /**< RESULTS reach the home host */
  EVENT_REPORT,  /**< OFFER or HELLO reaches a host */
  EVENT_LOAD,    /**< the load in a reply reaches a host */
  EVENT_HELLO,   /**< time to send HELLO */
  EVENT_WAKE,
};

struct event
{
  snipe_time at;
  uint64_t seq;
  enum event_kind kind;
  uint32_t host;
  uint32_t task;
  uint32_t endpoint;
  void *subject; /**< work, batch or job */
  struct snipe_peer_load load;
};

struct event_queue
{
  struct event *events;
  uint32_t count;
  uint32_t room;
  uint64_t seq;
};

/** Adds a copy; events of the same time keep the order they came in. */
void event_push (struct event_queue *queue, const struct event *event);
/** Takes the earliest event of a queue that is not empty. */
struct event event_pop (struct event_queue *queue);

#endif
