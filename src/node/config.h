/**
 * @file config.h
 * A decoded configuration: routes, which map jobs to the endpoints of a
 * service, and limits of requests.
 */
#ifndef SNIPE_NODE_CONFIG_H
#define SNIPE_NODE_CONFIG_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>
#include "snipe/clock.h"

struct snipe_config_route
{
  char *name;
  char *host;
  char *prefix; /**< of the paths of requests */
  char *service;
  uint32_t priority; /**< 0 is the highest */
  uint32_t attempts;
  double slack_factor; /**< target duration over the longest task's */
  snipe_time slo;      /**< added to the target duration */
  snipe_time timeout;  /**< of a request without a deadline */
};

struct snipe_config
{
  uint64_t version;
  GPtrArray *routes;   /**< struct snipe_config_route */
  GPtrArray *services; /**< char *; NULL: they are not listed */
  size_t body_max;     /**< bytes */
  snipe_time idle_timeout;
  char *text; /**< undecoded */
  size_t text_len;
};

/** @param text is copied
 * @param len bytes */
struct snipe_config *snipe_config_new (const char *text, size_t len);
/** NULL is allowed. */
void snipe_config_free (struct snipe_config *config);
/** @return the route with the longest prefix of @p path, the first one of
 * several; NULL if none. */
const struct snipe_config_route *
snipe_config_find (const struct snipe_config *config, const char *host,
                   const char *path);

#endif
