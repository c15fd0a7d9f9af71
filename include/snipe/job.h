/**
 * @file job.h
 * Jobs and tasks as submitted by callers, and the ids of submissions.
 */
#ifndef SNIPE_JOB_H
#define SNIPE_JOB_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"
#include "snipe/str.h"

/** Limits on a submitted job; each is a setting of the daemon. */
struct snipe_job_limits
{
  unsigned int version;
  size_t body_bytes;    /**< default 1 MiB */
  size_t payload_bytes; /**< of one task, default 64 KiB */
  uint32_t tasks;       /**< default 220 */
  uint32_t depth;       /**< nesting depth of the JSON body, default 16 */
};

#define SNIPE_JOB_LIMITS_VERSION 1
#define SNIPE_JOB_LIMITS_INIT                                                 \
  {                                                                           \
    .version = SNIPE_JOB_LIMITS_VERSION, .body_bytes = 1048576,               \
    .payload_bytes = 65536, .tasks = 220, .depth = 16                         \
  }

/** Resources that one task requires of an endpoint. */
struct snipe_task_resources
{
  uint32_t cores;  /**< default 1 */
  uint32_t mem_mb; /**< default 0: no requirement */
  uint32_t accel;  /**< accelerators, default 0 */
};

struct snipe_task_spec
{
  struct snipe_str kind;
  struct snipe_str payload; /**< serialized JSON */
  struct snipe_task_resources resources;
  uint32_t run_ms; /**< declared duration, default 200 */
  bool idempotent; /**< default false */
};

struct snipe_job_spec
{
  struct snipe_str team;
  uint32_t deadline_ms; /**< default 30000 */
  uint32_t task_count;
  struct snipe_task_spec *tasks;
};

/**
 * Parses a job from JSON.
 * @return 0, SNIPE_E_INVALID or SNIPE_E_TOO_LARGE with a message that names
 * the field and the value.
 */
int snipe_job_spec_parse (struct snipe_job_spec **out, const char *body,
                          size_t len, const struct snipe_job_limits *limits);
void snipe_job_spec_free (struct snipe_job_spec *spec);

/** Kind of a submission id. */
enum snipe_id_kind
{
  SNIPE_ID_ISSUED, /**< issued by a host: s-<incarnation>-<sequence> */
  SNIPE_ID_CALLER_SUPPLIED, /**< chosen by the caller: UUID version 7 */
};

struct snipe_id
{
  enum snipe_id_kind kind;
  union
  {
    struct
    {
      uint64_t incarnation;
      uint32_t sequence;
    } issued;
    struct
    {
      int64_t created_ms; /**< wall-clock time in the UUID */
    } caller_supplied;
  } u;
  char text[40]; /**< canonical form, in lower case */
};

/** @return 0 or SNIPE_E_BAD_ID. */
int snipe_id_parse (struct snipe_id *out, const char *text);
/** Formats an issued id. */
void snipe_id_issue (struct snipe_id *out, uint64_t incarnation,
                     uint32_t sequence);

#endif
