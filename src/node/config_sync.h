/**
 * @file config_sync.h
 * When a host asks another one for the configuration, and which one. Pure.
 *
 * The store delivers a new configuration to all hosts at about the same time,
 * and each host announces the version that it has in its heartbeats. A host
 * that the store does not serve asks one that has announced a newer version.
 */
#ifndef SNIPE_NODE_CONFIG_SYNC_H
#define SNIPE_NODE_CONFIG_SYNC_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"

/* Hosts that are remembered: the one that is asked may have ended or be cut
 * off by then. */
#define SNIPE_CONFIG_SYNC_SOURCES 4

/** State of a host's configuration. Zero-initialised: none is in force. */
struct snipe_config_sync
{
  uint64_t version; /**< in force; 0: none */
  snipe_time in_force_at;
  uint64_t announced_version; /**< newest one that another host has */
  /** Since when another host has a newer version, 0: none has. */
  snipe_time outdated_since;
  snipe_time next_request;
  struct
  {
    uint64_t incarnation; /**< 0: none */
    uint64_t version;     /**< that it has announced */
  } sources[SNIPE_CONFIG_SYNC_SOURCES];
  uint32_t last_source; /**< the one that was asked last */
};

/** A configuration has come into force. */
void snipe_config_sync_applied (struct snipe_config_sync *sync,
                                uint64_t version, snipe_time now);
/** A host has announced the version that it has in force.
 * @return whether no host had announced that version or a newer one before,
 * and this host does not have it. */
bool snipe_config_sync_announced (struct snipe_config_sync *sync,
                                  uint64_t incarnation, uint64_t version,
                                  snipe_time now);
/** @param store_reachable whether the store may still deliver the newer
 * version
 * @return the incarnation of the host to be asked now, 0: none. The next
 * request is due an interval later, as this one may be lost. */
uint64_t snipe_config_sync_source (struct snipe_config_sync *sync,
                                   bool store_reachable, snipe_time now);
/** The host cannot be reached: another one is asked without delay. */
void snipe_config_sync_drop_source (struct snipe_config_sync *sync,
                                    uint64_t incarnation, snipe_time now);

#endif
