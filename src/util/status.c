#include "snipe/status.h"

#include <stdarg.h>
#include <stdio.h>

#define MESSAGE_BYTES 512

static _Thread_local char last_message[MESSAGE_BYTES];

static const struct snipe_status_info table[] = {
  { SNIPE_OK, "SNIPE_OK", "success" },
  { SNIPE_E_INTERNAL, "SNIPE_E_INTERNAL", "fault of the program itself" },
  { SNIPE_E_NOMEM, "SNIPE_E_NOMEM", "out of memory" },
  { SNIPE_E_INVALID, "SNIPE_E_INVALID", "malformed or out-of-range input" },
  { SNIPE_E_TOO_LARGE, "SNIPE_E_TOO_LARGE",
    "input over a configured size limit" },
  { SNIPE_E_BAD_ID, "SNIPE_E_BAD_ID", "submission id missing or malformed" },
  { SNIPE_E_ID_REUSED, "SNIPE_E_ID_REUSED",
    "id already used with another body" },
  { SNIPE_E_ID_EXPIRED, "SNIPE_E_ID_EXPIRED",
    "id older than the memory of ids" },
  { SNIPE_E_NOT_FOUND, "SNIPE_E_NOT_FOUND", "no such item" },
  { SNIPE_E_CONFLICT, "SNIPE_E_CONFLICT", "version changed by someone else" },
  { SNIPE_E_NO_RULE, "SNIPE_E_NO_RULE", "no rule allows the work" },
  { SNIPE_E_UNFIT, "SNIPE_E_UNFIT", "work fits no endpoint" },
  { SNIPE_E_OVERLOAD, "SNIPE_E_OVERLOAD",
    "queue limit or wait limit reached" },
  { SNIPE_E_QUOTA, "SNIPE_E_QUOTA", "team has no share of its quota" },
  { SNIPE_E_CANCELLED, "SNIPE_E_CANCELLED", "cancelled by the caller" },
  { SNIPE_E_DRAINING, "SNIPE_E_DRAINING", "host is leaving" },
  { SNIPE_E_NOT_READY, "SNIPE_E_NOT_READY", "host has no rules yet" },
  { SNIPE_E_DEADLINE, "SNIPE_E_DEADLINE", "job deadline passed" },
  { SNIPE_E_TASK_FAILED, "SNIPE_E_TASK_FAILED", "a task ran and failed" },
  { SNIPE_E_TASK_LOST, "SNIPE_E_TASK_LOST",
    "a task was started, its answer was lost" },
  { SNIPE_E_HOME_AWAY, "SNIPE_E_HOME_AWAY",
    "host that owns the id is unreachable" },
  { SNIPE_E_ANSWER_GONE, "SNIPE_E_ANSWER_GONE",
    "job ran, but its answer is no longer held" },
  { SNIPE_E_TASK_CRASHED, "SNIPE_E_TASK_CRASHED",
    "endpoints crashed while a task ran" },
  { SNIPE_E_PLATFORM, "SNIPE_E_PLATFORM", "platform service unavailable" },
  { SNIPE_E_UNREACHABLE, "SNIPE_E_UNREACHABLE", "connection was never made" },
  { SNIPE_E_TIMEOUT, "SNIPE_E_TIMEOUT", "no answer in time, effect unknown" },
  { SNIPE_E_REFUSED, "SNIPE_E_REFUSED", "endpoint or peer refused" },
  { SNIPE_E_HOLD_EXPIRED, "SNIPE_E_HOLD_EXPIRED",
    "room for a batch was kept for too long" },
  { SNIPE_E_DISPLACED, "SNIPE_E_DISPLACED",
    "a batch that waited gave way to a more urgent one; it did not run" },
  { 0, NULL, NULL },
};

const struct snipe_status_info *
snipe_status_table (void)
{
  return table;
}

const char *
snipe_status_name (int code)
{
  const struct snipe_status_info *row;

  for (row = table; row->name != NULL; row++)
    if ((int)row->code == code)
      return row->name;
  return "SNIPE_E_INTERNAL";
}

int
snipe_status_set (int code, const char *fmt, ...)
{
  va_list args;

  va_start (args, fmt);
  vsnprintf (last_message, sizeof last_message, fmt, args);
  va_end (args);
  return code;
}

const char *
snipe_status_last (void)
{
  return last_message;
}
