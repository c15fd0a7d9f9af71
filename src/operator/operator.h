/**
 * @file operator.h
 * HTTP pages for operators: health, readiness, metrics, status, explain and
 * drain.
 */
#ifndef SNIPE_OPERATOR_H
#define SNIPE_OPERATOR_H

#include <stdbool.h>
#include "engine/engine.h"

struct snipe_operator;

/** HTTP request for one of the pages. */
struct snipe_page_request
{
  const char *method;
  const char *path;
  const char *job_id; /**< query argument "job", or NULL */
  const char *body;
  size_t body_len;
};

struct snipe_page_response
{
  int http_status;
  const char *content_type;
  struct snipe_str body;
};

/** @param test_hooks also serve PUT /v1/test/refuse */
int snipe_operator_new (struct snipe_operator **out,
                        struct snipe_engine *engine, bool test_hooks);
void snipe_operator_free (struct snipe_operator *pages);
/** Answers a request; 404 if there is no such page. The caller clears the
 * body. */
void snipe_operator_handle (struct snipe_page_response *out,
                            struct snipe_operator *pages,
                            const struct snipe_page_request *request,
                            snipe_time now);
/** @return whether an operator has requested that this host drain. */
bool snipe_operator_drain_requested (const struct snipe_operator *pages);

#endif
