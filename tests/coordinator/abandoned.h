/**
 * @file abandoned.h
 * A coordinator with a job that is abandoned, and the cancellations that it
 * sends.
 */
#ifndef TESTS_COORDINATOR_ABANDONED_H
#define TESTS_COORDINATOR_ABANDONED_H

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>

#include "snipe/coordinator.h"
#include "snipe/status.h"
#include "suite.h"

#define SELF 1
#define OWNER 2
#define OTHER_HOST 3
#define START SNIPE_S
#define CALLER_TIMEOUT (1500 * SNIPE_MS)
#define TICK (20 * SNIPE_MS)
#define NEVER (-1)
/* Half of the time after which callers resend the job, in whole ticks. */
#define HALF_RESEND_DELAY (640 * SNIPE_MS)

struct record
{
  uint64_t number; /**< of the batch */
  uint32_t cancels;
  uint32_t repeated; /**< of these, marked as sent again */
  uint64_t owner;    /**< to which the last one was sent */
  bool moves;        /**< the batch has moved */
};

/* The caller left while its host stood still. */
#define HANDLED (START - 300 * SNIPE_MS)

static snipe_time
callers_handled (void *ctx, snipe_time now)
{
  (void)ctx;
  return MIN (now, HANDLED);
}

static int
on_submit (void *ctx, uint64_t owner, const struct snipe_pool_id *pool,
           const struct snipe_pool_batch *batch)
{
  (void)owner;
  (void)pool;
  ((struct record *)ctx)->number = batch->number;
  return SNIPE_OK;
}

static void
on_cancel (void *ctx,
           const struct snipe_coordinator_cancellation *cancellation)
{
  struct record *record = ctx;

  CU_ASSERT_EQUAL (cancellation->number, record->number);
  CU_ASSERT_EQUAL (cancellation->moved, record->moves);
  record->owner = cancellation->owner;
  record->cancels++;
  record->repeated += cancellation->again;
}

static void
on_answer (void *ctx, void *job_ctx,
           const struct snipe_coordinator_answer *answer)
{
  (void)ctx;
  (void)job_ctx;
  (void)answer;
}

/* Submits a job to the pool of @p owner. */
static struct snipe_coordinator *
submit_job (struct record *record, uint64_t owner)
{
  struct snipe_coordinator_options options = SNIPE_COORDINATOR_OPTIONS_INIT;
  struct snipe_pool_id pool
      = { .service = "work", .domain = "a", .shards = 1 };
  uint32_t free_cpu = 64000;
  struct snipe_coordinator_load load = { .pool = &pool,
                                         .owner = owner,
                                         .token = 1,
                                         .free_cpu = &free_cpu,
                                         .free_count = 1,
                                         .total_cpu = 64000,
                                         .slowdown = 1.0 };
  struct snipe_coordinator_job job
      = { .id = "0123456789abcdef",
          .route = "r",
          .service = "work",
          .spec = { .data = (char *)"s", .len = 1 },
          .count = 1,
          .task_resources = { .cpu = 1000, .mem_mb = 1 },
          .label = "",
          .rack = "",
          .attempts = 1,
          .estimate = 200 * SNIPE_MS,
          .slack_factor = 2,
          .caller_deadline = START + CALLER_TIMEOUT,
          .ctx = record };
  struct snipe_coordinator *coordinator;

  *record = (struct record){ 0 };
  options.incarnation = SELF;
  options.domain = "a";
  options.callbacks
      = (struct snipe_coordinator_callbacks){ .ctx = record,
                                              .submit = on_submit,
                                              .cancel = on_cancel,
                                              .callers_handled
                                              = callers_handled,
                                              .answer = on_answer };
  CU_ASSERT_EQUAL_FATAL (snipe_coordinator_new (&coordinator, &options),
                         SNIPE_OK);
  snipe_coordinator_update_load (coordinator, &load, START);
  snipe_coordinator_submit (coordinator, &job, START);
  return coordinator;
}

/* Submits a job to the pool of @p owner, and abandons it. */
static inline struct snipe_coordinator *
abandon_job (struct record *record, uint64_t owner)
{
  struct snipe_coordinator *coordinator = submit_job (record, owner);

  snipe_coordinator_abandon (coordinator, record, START);
  return coordinator;
}

#endif
