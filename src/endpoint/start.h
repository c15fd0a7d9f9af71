/**
 * @file start.h
 * One start of a task at an endpoint: its libcurl transfer, and how the
 * response or error of the transfer maps to the outcome of the start.
 */
#ifndef SNIPE_ENDPOINT_START_H
#define SNIPE_ENDPOINT_START_H

#include <ck_stack.h>
#include <curl/curl.h>
#include <stdbool.h>
#include "endpoint/client.h"

/** Size of the buffer for "255.255.255.255:65535" or a bracketed IPv6 address
 * with a port. */
#define SNIPE_START_ADDRESS_MAX 64

struct snipe_start
{
  ck_stack_entry_t link;        /**< must be first: queue entries are cast */
  struct snipe_start *previous; /**< in the worker's list of transfers */
  struct snipe_start *next;
  CURL *easy; /**< set while the transfer is in progress */
  char address[SNIPE_START_ADDRESS_MAX];
  struct snipe_str body;
  snipe_time queued_at;
  snipe_time timeout;
  snipe_start_done done;
  void *ctx;
  char *response;
  size_t response_len;
  size_t response_capacity;
  bool connecting; /**< on a new connection */
  bool written;    /**< libcurl was allowed to write the request */
  bool too_large;  /**< the response exceeded the limit */
};

/** Sets the options of an easy handle that are the same for all starts. */
int snipe_start_easy_prepare (CURL *easy, struct curl_slist *headers,
                              snipe_time connect_timeout);
/** Sets the options of an easy handle that are specific to @p start. */
int snipe_start_easy_set (CURL *easy, struct snipe_start *start,
                          snipe_time now);
/** Completes @p start with @p outcome: calls its callback and frees it. */
void snipe_start_complete (struct snipe_start *start,
                           enum snipe_attempt_outcome outcome);
/** Completes @p start with the outcome of its finished transfer. */
void snipe_start_complete_transfer (struct snipe_start *start, CURLcode code);

#endif
