/**
 * @file private.h
 * The view of the other hosts, shared by the files of this folder.
 */
#ifndef SNIPE_MEMBER_PRIVATE_H
#define SNIPE_MEMBER_PRIVATE_H

#include <glib.h>
#include "snipe/member.h"

struct peer
{
  struct snipe_member said; /**< claims are owned */
  snipe_time heard;
  snipe_time sent;     /**< last message to it */
  snipe_time promised; /**< to it: longest time until the next message */
  snipe_time related_since;
  snipe_time related_at; /**< last time that there was work between the two */
  snipe_time doubted; /**< lost unless it is heard by then, 0: not doubted */
  uint32_t losses;    /**< how often it was lost */
  /* Least difference of the two hosts' clocks, each over a time of
   * TRANSIT_TIME; the former one is kept while the present one is young. */
  snipe_time transit[2];
  snipe_time transit_since;
  bool live;
};

struct snipe_members
{
  struct snipe_member self;
  snipe_time silence;
  snipe_time settled;
  GHashTable *peers; /**< &incarnation -> struct peer */
  uint32_t live;     /**< peers that are */
  uint32_t near;     /**< and of this domain */
};

#endif
