/**
 * @file callbacks.h
 * Callbacks of a node that do nothing; a test replaces those that it observes.
 */
#ifndef TESTS_NODE_CALLBACKS_H
#define TESTS_NODE_CALLBACKS_H

#include "node/node.h"

static inline void
ignore_start (void *ctx, const struct snipe_pool_start_request *request)
{
  (void)ctx;
  (void)request;
}

static inline void
ignore_stop (void *ctx, const struct snipe_pool_stop_request *request)
{
  (void)ctx;
  (void)request;
}

static inline void
ignore_poll (void *ctx, const struct snipe_pool_poll_request *request)
{
  (void)ctx;
  (void)request;
}

static inline void
ignore_answer (void *ctx, void *job_ctx,
               const struct snipe_coordinator_answer *answer)
{
  (void)ctx;
  (void)job_ctx;
  (void)answer;
}

static inline void
ignore_refresh (void *ctx)
{
  (void)ctx;
}

static inline void
ignore_deregister (void *ctx, const char *address)
{
  (void)ctx;
  (void)address;
}

static inline bool
reject_endpoint_changes (void *ctx, uint64_t after, uint64_t version,
                         const struct snipe_str *rows)
{
  (void)ctx;
  (void)after;
  (void)version;
  (void)rows;
  return false;
}

static inline void
no_config (void *ctx, uint64_t *version, struct snipe_str *text)
{
  (void)ctx;
  (void)version;
  (void)text;
}

static inline void
ignore_config (void *ctx, uint64_t version, const struct snipe_str *text)
{
  (void)ctx;
  (void)version;
  (void)text;
}

#define NODE_CALLBACKS_INIT                                                   \
  {                                                                           \
    .start = ignore_start, .stop = ignore_stop, .poll = ignore_poll,          \
    .answer = ignore_answer, .refresh_directory = ignore_refresh,             \
    .deregister_host = ignore_deregister,                                     \
    .apply_endpoint_changes = reject_endpoint_changes,                        \
    .get_config = no_config, .apply_peer_config = ignore_config               \
  }

#endif
