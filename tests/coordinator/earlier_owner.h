/**
 * @file earlier_owner.h
 * A pool with an earlier and a new owner in virtual time, and the coordinators
 * of its jobs.
 */
#ifndef TESTS_COORDINATOR_EARLIER_OWNER_H
#define TESTS_COORDINATOR_EARLIER_OWNER_H

#include "pool/model.h"
#include "snipe/coordinator.h"
#include "suite.h"

#define FIRST 0
#define SECOND 1
#define COORDINATORS 2
/* Incarnation of the host of the first owner; that of the others follow. */
#define OWNER_INCARNATION 11
#define COORDINATOR_INCARNATION 1
#define ENDPOINTS 3
#define TASKS 2
#define TASK_TIME (3 * SNIPE_S)
#define MESSAGE_DELAY (2 * SNIPE_MS)
#define TICK (20 * SNIPE_MS)
/* Callers come back no sooner than this after their connection broke. */
#define RESEND_DELAY (1300 * SNIPE_MS)
#define HEARTBEAT_INTERVAL (150 * SNIPE_MS)
#define OFFSETS 20
#define OFFSET (50 * SNIPE_MS)
/* Time until the endpoints have answered a claim, or started tasks. */
#define CLAIM_TIME (20 * SNIPE_MS)
/* A request takes 35 ms. */
#define SLOW_BYTES_PER_MS (MODEL_MESSAGE_BYTES / 35)

enum message_kind
{
  MESSAGE_BATCH,
  MESSAGE_CANCEL,
  MESSAGE_RESULT,
};

struct message
{
  enum message_kind kind;
  snipe_time time;
  uint32_t owner;
  uint64_t coordinator;
  struct snipe_pool_batch batch; /**< its strings outlive the message */
  uint32_t indexes[TASKS];
  struct snipe_pool_result result;
  uint32_t outcomes[TASKS];
};

struct fleet;

struct host
{
  struct fleet *fleet;
  struct snipe_coordinator *coordinator;
  bool answered;
  struct snipe_coordinator_answer answer;
};

struct fleet
{
  struct model model;
  GQueue messages; /**< struct message, by time */
  struct host hosts[COORDINATORS];
  uint32_t lost_cancels;  /**< next cancellations to FIRST that are lost */
  uint32_t first_cancels; /**< sent to FIRST */
  uint32_t acknowledged;  /**< of these */
};

static struct fleet *current;

static snipe_time
long_duration (const char *task)
{
  (void)task;
  return TASK_TIME;
}

static struct message *
post (struct fleet *fleet, enum message_kind kind, uint32_t owner,
      uint64_t coordinator)
{
  struct message *message = g_new0 (struct message, 1);

  message->kind = kind;
  message->time = fleet->model.now + MESSAGE_DELAY;
  message->owner = owner;
  message->coordinator = coordinator;
  g_queue_push_tail (&fleet->messages, message);
  return message;
}

static int
on_submit (void *ctx, uint64_t owner, const struct snipe_pool_id *pool,
           const struct snipe_pool_batch *batch)
{
  struct host *host = ctx;
  struct message *message
      = post (host->fleet, MESSAGE_BATCH,
              (uint32_t)(owner - OWNER_INCARNATION), batch->coordinator);

  (void)pool;
  CU_ASSERT_FATAL (batch->count <= TASKS);
  message->batch = *batch;
  memcpy (message->indexes, batch->indexes,
          batch->count * sizeof *batch->indexes);
  message->batch.indexes = message->indexes;
  /* The job may be freed while the message is under way. */
  message->batch.job = g_intern_string (batch->job);
  message->batch.route = g_intern_string (batch->route);
  message->batch.label = message->batch.rack = "";
  message->batch.spec = (struct snipe_str){ .data = (char *)"s", .len = 1 };
  return SNIPE_OK;
}

static void
on_cancel (void *ctx,
           const struct snipe_coordinator_cancellation *cancellation)
{
  struct host *host = ctx;
  struct fleet *fleet = host->fleet;
  uint32_t index = (uint32_t)(cancellation->owner - OWNER_INCARNATION);

  if (index == FIRST)
    {
      fleet->first_cancels++;
      if (fleet->lost_cancels > 0)
        {
          fleet->lost_cancels--;
          return;
        }
    }
  post (fleet, MESSAGE_CANCEL, index,
        (uint64_t)(host - fleet->hosts) + COORDINATOR_INCARNATION)
      ->batch.number
      = cancellation->number;
}

static void
on_answer (void *ctx, void *job_ctx,
           const struct snipe_coordinator_answer *answer)
{
  struct host *host = ctx;

  (void)job_ctx;
  host->answered = true;
  host->answer = *answer;
}

static void
on_result (struct model *model, const struct snipe_pool_result *result)
{
  struct message *message = post (current, MESSAGE_RESULT, model->result_owner,
                                  result->coordinator);

  message->result = *result;
  memcpy (message->outcomes, result->outcomes,
          result->count * sizeof *result->outcomes);
  message->result.outcomes = message->outcomes;
}

static void
deliver (struct fleet *fleet, const struct message *message)
{
  struct snipe_pool *pool = fleet->model.owners[message->owner].pool;
  struct host *host
      = &fleet->hosts[message->coordinator - COORDINATOR_INCARNATION];

  switch (message->kind)
    {
    case MESSAGE_BATCH:
      snipe_pool_submit (pool, &message->batch, fleet->model.now);
      break;
    case MESSAGE_CANCEL:
      {
        struct message *answer = post (fleet, MESSAGE_RESULT, message->owner,
                                       message->coordinator);

        snipe_pool_cancel (pool, message->coordinator, message->batch.number,
                           fleet->model.now);
        answer->result
            = (struct snipe_pool_result){ .coordinator = message->coordinator,
                                          .number = message->batch.number,
                                          .code = SNIPE_E_CANCELLED };
        fleet->acknowledged += message->owner == FIRST;
        break;
      }
    case MESSAGE_RESULT:
      snipe_coordinator_handle_result (host->coordinator,
                                       message->owner + OWNER_INCARNATION,
                                       &message->result, fleet->model.now);
      break;
    }
}

static void
advance (struct fleet *fleet, snipe_time time)
{
  snipe_time until = fleet->model.now + time;
  struct message *message;

  while (fleet->model.now < until)
    {
      model_advance (&fleet->model, fleet->model.now + SNIPE_MS);
      while ((message = g_queue_peek_head (&fleet->messages)) != NULL
             && message->time <= fleet->model.now)
        {
          g_queue_pop_head (&fleet->messages);
          deliver (fleet, message);
          g_free (message);
        }
      for (uint32_t i = 0; i < COORDINATORS; i++)
        {
          struct snipe_coordinator *coordinator = fleet->hosts[i].coordinator;
          snipe_time handled = snipe_coordinator_cancelled_handled (
              coordinator, FIRST + OWNER_INCARNATION);

          if (fleet->model.now % TICK == 0)
            snipe_coordinator_tick (coordinator, fleet->model.now);
          /* With model.heartbeat_interval: its heartbeats vouch for no later
           * time. */
          fleet->model.silent_since[COORDINATOR_INCARNATION + i]
              = handled == INT64_MAX ? 0 : handled;
        }
    }
}

static void
claim (struct fleet *fleet, uint32_t owner, uint64_t token)
{
  model_claim (&fleet->model, owner, token, ENDPOINTS);
  snipe_pool_directory_synced (fleet->model.owners[owner].pool);
}

/* Tells the coordinators of a claim. */
static void
report_owner (struct fleet *fleet, uint32_t owner, uint64_t token)
{
  struct snipe_pool_id pool
      = { .service = "work", .domain = "a", .shards = 1 };
  uint32_t free_cpu[ENDPOINTS] = { 64000, 64000, 64000 };
  struct snipe_coordinator_load load
      = { .pool = &pool,
          .owner = owner + OWNER_INCARNATION,
          .token = token,
          .free_cpu = free_cpu,
          .free_count = ENDPOINTS,
          .total_cpu = (int64_t)ENDPOINTS * 64000,
          .slowdown = 1.0,
          .endpoint_digest = model_digest (&fleet->model, owner) };

  for (uint32_t i = 0; i < COORDINATORS; i++)
    snipe_coordinator_update_load (fleet->hosts[i].coordinator, &load,
                                   fleet->model.now);
}

static void
submit (struct fleet *fleet, uint32_t host)
{
  struct snipe_coordinator_job job
      = { .id = "0123456789abcdef",
          .route = "r",
          .service = "work",
          .spec = { .data = (char *)"s", .len = 1 },
          .count = TASKS,
          .task_resources = { .cpu = 60000, .mem_mb = 64 },
          .label = "",
          .rack = "",
          .attempts = 3,
          .estimate = TASK_TIME,
          .slack_factor = 3,
          .caller_deadline = fleet->model.now + 6 * TASK_TIME,
          .ctx = &fleet->hosts[host] };

  snipe_coordinator_submit (fleet->hosts[host].coordinator, &job,
                            fleet->model.now);
}

static void
fleet_init (struct fleet *fleet, snipe_time heartbeat_interval)
{
  *fleet = (struct fleet){ 0 };
  current = fleet;
  g_queue_init (&fleet->messages);
  model_init (&fleet->model, ENDPOINTS, 60000, long_duration);
  fleet->model.on_result = on_result;
  fleet->model.heartbeat_interval = heartbeat_interval;
  for (uint32_t i = 0; i < COORDINATORS; i++)
    {
      struct snipe_coordinator_options options
          = SNIPE_COORDINATOR_OPTIONS_INIT;
      struct host *host = &fleet->hosts[i];

      host->fleet = fleet;
      options.incarnation = i + COORDINATOR_INCARNATION;
      options.domain = "a";
      options.callbacks
          = (struct snipe_coordinator_callbacks){ .ctx = host,
                                                  .submit = on_submit,
                                                  .cancel = on_cancel,
                                                  .answer = on_answer };
      CU_ASSERT_EQUAL_FATAL (
          snipe_coordinator_new (&host->coordinator, &options), SNIPE_OK);
    }
  claim (fleet, FIRST, 1 << 20);
  advance (fleet, CLAIM_TIME);
  report_owner (fleet, FIRST, 1 << 20);
}

static void
fleet_clear (struct fleet *fleet)
{
  struct message *message;

  for (uint32_t i = 0; i < COORDINATORS; i++)
    snipe_coordinator_free (fleet->hosts[i].coordinator);
  while ((message = g_queue_pop_head (&fleet->messages)) != NULL)
    g_free (message);
  model_clear (&fleet->model);
}

/* @return the first endpoint with a run. */
static inline uint32_t
find_run (const struct fleet *fleet)
{
  uint32_t i = 0;

  while (i + 1 < ENDPOINTS && fleet->model.endpoints[i].run_count == 0)
    i++;
  CU_ASSERT_FATAL (fleet->model.endpoints[i].run_count > 0);
  return i;
}

/* Cuts the new owner off from the first endpoint with a run. */
static inline void
cut_endpoint (struct fleet *fleet)
{
  fleet->model.endpoints[find_run (fleet)].cut_owners |= 1U << SECOND;
}

/* Claims the pool for the new owner, whose list lacks an endpoint.
 * @param lost_stops stop requests do not arrive there any more */
static inline void
claim_without (struct fleet *fleet, uint32_t unlisted, bool lost_stops)
{
  struct model *model = &fleet->model;

  model->endpoints[unlisted].drops_stops = lost_stops;
  model_claim (model, SECOND, 2 << 20, 0);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    if (i != unlisted)
      snipe_pool_endpoint_set (model->owners[SECOND].pool,
                               &model->endpoints[i].entry, model->now);
  snipe_pool_directory_synced (model->owners[SECOND].pool);
}

static inline uint32_t
running (const struct fleet *fleet)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < ENDPOINTS; i++)
    count += fleet->model.endpoints[i].run_count;
  return count;
}

#endif
