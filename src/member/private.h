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
  struct snipe_member advertised; /**< its claims are owned by the peer */
  snipe_time last_received_at;
  snipe_time described_at; /**< when the last heartbeat was received */
  snipe_time last_sent_at;
  snipe_time last_heartbeat_at;  /**< sent to it */
  snipe_time announced_interval; /**< by the last heartbeat to it */
  snipe_time shared_work_since;
  snipe_time shared_work_at;   /**< last time that shared work was noted */
  snipe_time suspect_deadline; /**< counts as lost then, 0: not suspected */
  uint32_t losses;             /**< how often it was declared lost */
  /* Minimum of receive time minus send time, by the clocks of the two hosts,
   * each over a window of TRANSIT_WINDOW. The minimum of the previous window
   * counts too while the present window is short. */
  snipe_time min_transit[2];
  snipe_time transit_window_start;
  /** Latest time, by the peer's clock, up to which it had handled all that its
   * callers sent, 0: unknown. */
  snipe_time handled_stamp;
  bool live;
  snipe_time live_since;
};

struct snipe_members
{
  struct snipe_member self;
  snipe_time failure_timeout;
  snipe_time settle_until;
  GHashTable *peers; /**< &incarnation -> struct peer */
  uint32_t live_count;
  uint32_t domain_live_count; /**< live peers of this domain */
};

#endif
