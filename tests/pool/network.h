/**
 * @file network.h
 * How requests travel to endpoints that restart, in virtual time: the rules of
 * the HTTP client, and faults of it that a search has to find.
 */
#ifndef TESTS_POOL_NETWORK_H
#define TESTS_POOL_NETWORK_H

#include <stdbool.h>

#include "snipe/clock.h"

/* As in platform/workers.c: a call ends this long after its timeout. */
#define MODEL_LATE_ANSWER_MAX (2 * SNIPE_S)

enum model_network
{
  /** A request reaches any incarnation, however late. */
  MODEL_ANY_INCARNATION,
  /** A request is sent once, on a connection to one incarnation, and not later
   * than the pool allows. */
  MODEL_CONNECTIONS,
  /** Faults of the client, for showing that they are found: */
  MODEL_SENT_AGAIN, /**< if its connection ends without an answer */
  MODEL_SENT_LATE,  /**< if its connection is established late */
};

/** Whether a request is sent when its connection has been established,
 * @p waited after its call. */
static inline bool
model_network_sends (enum model_network network, snipe_time waited,
                     snipe_time send_within, snipe_time timeout)
{
  if (network == MODEL_ANY_INCARNATION)
    return true;
  if (send_within == 0 || network == MODEL_SENT_LATE)
    return waited <= timeout + MODEL_LATE_ANSWER_MAX;
  return waited <= send_within;
}

/** Whether a request is lost that arrives @p age after its call at an
 * incarnation which has started after its connection was established. A client
 * that sends it again does so up to @p again_within after the call. */
static inline bool
model_network_resets (enum model_network network, snipe_time age,
                      snipe_time again_within)
{
  switch (network)
    {
    case MODEL_ANY_INCARNATION:
      return false;
    case MODEL_SENT_AGAIN:
      return age > again_within;
    case MODEL_CONNECTIONS:
    case MODEL_SENT_LATE:
      return true;
    }
  return true;
}

#endif
