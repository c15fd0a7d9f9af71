/**
 * @file start.h
 * One start at an endpoint: the libcurl transfer and the end that it
 * comes to.
 */
#ifndef SNIPE_ENDPOINT_START_H
#define SNIPE_ENDPOINT_START_H

#include <ck_stack.h>
#include <curl/curl.h>
#include <stdbool.h>
#include "endpoint/client.h"

/** "255.255.255.255:65535" or a bracketed IPv6 address with a port. */
#define SNIPE_START_ADDRESS_MAX 64

struct snipe_start
{
  ck_stack_entry_t link;        /**< first: cast from the hand-over stack */
  struct snipe_start *previous; /**< in the thread's list of transfers */
  struct snipe_start *next;
  CURL *easy; /**< while it is a transfer */
  char address[SNIPE_START_ADDRESS_MAX];
  struct snipe_str body;
  snipe_time begun;
  snipe_time timeout;
  snipe_start_done done;
  void *ctx;
  char *answer;
  size_t answer_len;
  size_t answer_room;
  bool written;   /**< the request was handed to a connection */
  bool too_large; /**< the answer exceeded the limit */
};

/** Sets the options that do not change between starts. */
int snipe_start_easy_prepare (CURL *easy, struct curl_slist *headers,
                              snipe_time connect_timeout);
/** Sets the options of @p start. */
int snipe_start_easy_set (CURL *easy, struct snipe_start *start,
                          snipe_time now);
/** Ends @p start as @p end says, calls its callback and frees it. */
void snipe_start_end (struct snipe_start *start,
                      enum snipe_attempt_outcome end);
/** Ends @p start by the code of its transfer. */
void snipe_start_finish (struct snipe_start *start, CURLcode code);

#endif
