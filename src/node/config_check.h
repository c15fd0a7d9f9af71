/**
 * @file config_check.h
 * Finds routes of a configuration that can never match, values that contradict
 * each other, and what differs between two configurations. Does no I/O.
 */
#ifndef SNIPE_NODE_CONFIG_CHECK_H
#define SNIPE_NODE_CONFIG_CHECK_H

#include <glib.h>
#include <stdint.h>
#include "node/config.h"

/** What hosts can take. */
struct snipe_config_bounds
{
  size_t body_max;    /**< bytes of the largest body that fits in memory */
  size_t spec_max;    /**< bytes of the largest valid job specification */
  uint32_t id_digits; /**< of a job; hexadecimal */
};

/** Appends findings about one configuration, see util/finding.h. */
void snipe_config_check (GPtrArray *findings, const struct snipe_config *draft,
                         const struct snipe_config_bounds *bounds);
/** Appends a finding for each difference between the configuration in force
 * and @p draft, and an error if hosts would ignore @p draft because its
 * version is not higher. Routes are compared by host and prefix. */
void snipe_config_diff (GPtrArray *findings,
                        const struct snipe_config *in_force,
                        const struct snipe_config *draft);

#endif
