#include "snipe/job.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "snipe/status.h"

#define RUN_MS_DEFAULT 200
#define RUN_MS_MAX 3600000
#define DEADLINE_MS_DEFAULT 30000
#define DEADLINE_MS_MAX 600000
#define CORES_MAX 4096
#define MEM_MB_MAX 16777216
#define ACCEL_MAX 64
#define NAME_BYTES_MAX 64

/** Checks the nesting depth before the recursive parser runs; skips strings.
 */
static int
check_depth (const char *body, size_t len, uint32_t limit)
{
  uint32_t depth = 0;
  bool quoted = false;

  for (size_t i = 0; i < len; i++)
    {
      char c = body[i];

      if (quoted && c == '\\')
        i++;
      else if (c == '"')
        quoted = !quoted;
      else if (quoted)
        continue;
      else if (c == '{' || c == '[')
        {
          if (++depth > limit)
            return snipe_status_set (SNIPE_E_TOO_LARGE,
                                     "JSON nested deeper than %u at byte %zu",
                                     limit, i);
        }
      else if ((c == '}' || c == ']') && depth > 0)
        depth--;
    }
  return SNIPE_OK;
}

/** Reads an optional unsigned integer field. */
static int
get_uint (uint32_t *out, json_t *obj, const char *where, const char *field,
          uint32_t fallback, uint32_t min, uint32_t max)
{
  json_t *value = json_object_get (obj, field);

  *out = fallback;
  if (value == NULL)
    return SNIPE_OK;
  if (!json_is_integer (value) || json_integer_value (value) < min
      || json_integer_value (value) > max)
    return snipe_status_set (SNIPE_E_INVALID,
                             "%s: \"%s\" must be a whole number from %u to %u",
                             where, field, min, max);
  *out = (uint32_t)json_integer_value (value);
  return SNIPE_OK;
}

/** Reads a required name: printable, without white space, quotes or
 * backslashes, so that it can be written to rules and log lines unquoted. */
static int
get_name (struct snipe_str *out, json_t *obj, const char *where,
          const char *field)
{
  json_t *value = json_object_get (obj, field);
  const char *text = json_string_value (value);
  size_t len = json_string_length (value);

  if (text == NULL || len == 0 || len > NAME_BYTES_MAX)
    return snipe_status_set (SNIPE_E_INVALID,
                             "%s: \"%s\" must be a string of 1 to %d bytes",
                             where, field, NAME_BYTES_MAX);
  for (size_t i = 0; i < len; i++)
    if ((unsigned char)text[i] <= ' ' || strchr ("\"\\\x7f", text[i]) != NULL)
      return snipe_status_set (SNIPE_E_INVALID,
                               "%s: \"%s\" has a blank, quote, backslash or "
                               "control character at byte %zu",
                               where, field, i);
  return snipe_str_set (out, text, len);
}

static int
check_fields (json_t *obj, const char *where, const char *const *known)
{
  const char *key;
  json_t *value;

  json_object_foreach (obj, key, value)
  {
    const char *const *name = known;

    while (*name != NULL && strcmp (*name, key) != 0)
      name++;
    if (*name == NULL)
      return snipe_status_set (SNIPE_E_INVALID, "%s: unknown field \"%.64s\"",
                               where, key);
  }
  return SNIPE_OK;
}

static int
parse_task (struct snipe_task_spec *out, json_t *obj, uint32_t index,
            const struct snipe_job_limits *limits)
{
  static const char *const known[]
      = { "kind",  "run_ms",     "cores",   "mem_mb",
          "accel", "idempotent", "payload", NULL };
  char where[32];
  json_t *idempotent;
  json_t *payload;
  int status;

  snprintf (where, sizeof where, "tasks[%u]", index);
  if (!json_is_object (obj))
    return snipe_status_set (SNIPE_E_INVALID, "%s must be an object", where);
  if ((status = check_fields (obj, where, known)) < 0
      || (status = get_name (&out->kind, obj, where, "kind")) < 0
      || (status = get_uint (&out->run_ms, obj, where, "run_ms",
                             RUN_MS_DEFAULT, 0, RUN_MS_MAX))
             < 0
      || (status = get_uint (&out->resources.cores, obj, where, "cores", 1, 0,
                             CORES_MAX))
             < 0
      || (status = get_uint (&out->resources.mem_mb, obj, where, "mem_mb", 0,
                             0, MEM_MB_MAX))
             < 0
      || (status = get_uint (&out->resources.accel, obj, where, "accel", 0, 0,
                             ACCEL_MAX))
             < 0)
    return status;

  idempotent = json_object_get (obj, "idempotent");
  if (idempotent != NULL && !json_is_boolean (idempotent))
    return snipe_status_set (
        SNIPE_E_INVALID, "%s: \"idempotent\" must be true or false", where);
  out->idempotent = json_is_true (idempotent);

  payload = json_object_get (obj, "payload");
  if (payload == NULL)
    return snipe_str_set_c (&out->payload, "null");
  snipe_str_take (&out->payload,
                  json_dumps (payload, JSON_COMPACT | JSON_ENCODE_ANY), 0);
  if (out->payload.data == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for a task payload");
  out->payload.len = strlen (out->payload.data);
  if (out->payload.len > limits->payload_bytes)
    return snipe_status_set (SNIPE_E_TOO_LARGE,
                             "%s: payload of %zu bytes is over the limit "
                             "of %zu",
                             where, out->payload.len, limits->payload_bytes);
  return SNIPE_OK;
}

static int
parse_tasks (struct snipe_job_spec *spec, json_t *root,
             const struct snipe_job_limits *limits)
{
  json_t *tasks = json_object_get (root, "tasks");
  size_t count = json_array_size (tasks);

  if (!json_is_array (tasks) || count == 0)
    return snipe_status_set (
        SNIPE_E_INVALID, "job: \"tasks\" must be an array of 1 to %u tasks",
        limits->tasks);
  if (count > limits->tasks)
    return snipe_status_set (SNIPE_E_TOO_LARGE,
                             "job: %zu tasks are over the limit of %u", count,
                             limits->tasks);
  spec->tasks = calloc (count, sizeof *spec->tasks);
  if (spec->tasks == NULL)
    return snipe_status_set (SNIPE_E_NOMEM, "out of memory for %zu tasks",
                             count);
  spec->task_count = (uint32_t)count;
  for (uint32_t i = 0; i < spec->task_count; i++)
    {
      int status
          = parse_task (&spec->tasks[i], json_array_get (tasks, i), i, limits);

      if (status < 0)
        return status;
    }
  return SNIPE_OK;
}

int
snipe_job_spec_parse (struct snipe_job_spec **out, const char *body,
                      size_t len, const struct snipe_job_limits *limits)
{
  static const char *const known[] = { "team", "tasks", "deadline_ms", NULL };
  struct snipe_job_spec *spec = NULL;
  json_t *root = NULL;
  json_error_t error;
  int status;

  if (len > limits->body_bytes)
    return snipe_status_set (SNIPE_E_TOO_LARGE,
                             "body of %zu bytes is over the limit of %zu", len,
                             limits->body_bytes);
  if (len == 0)
    return snipe_status_set (SNIPE_E_INVALID, "body is empty");
  if ((status = check_depth (body, len, limits->depth)) < 0)
    return status;
  root = json_loadb (body, len, JSON_REJECT_DUPLICATES, &error);
  if (root == NULL)
    {
      status = snipe_status_set (SNIPE_E_INVALID,
                                 "body is not JSON: line %d, column %d: %s",
                                 error.line, error.column, error.text);
      goto cleanup;
    }
  if (!json_is_object (root))
    {
      status = snipe_status_set (SNIPE_E_INVALID, "job must be an object");
      goto cleanup;
    }
  spec = calloc (1, sizeof *spec);
  if (spec == NULL)
    {
      status = snipe_status_set (SNIPE_E_NOMEM, "out of memory for a job");
      goto cleanup;
    }
  if ((status = check_fields (root, "job", known)) < 0
      || (status = get_name (&spec->team, root, "job", "team")) < 0
      || (status = get_uint (&spec->deadline_ms, root, "job", "deadline_ms",
                             DEADLINE_MS_DEFAULT, 1, DEADLINE_MS_MAX))
             < 0
      || (status = parse_tasks (spec, root, limits)) < 0)
    goto cleanup;
  *out = spec;
  spec = NULL;

cleanup:
  snipe_job_spec_free (spec);
  json_decref (root);
  return status;
}

void
snipe_job_spec_free (struct snipe_job_spec *spec)
{
  if (spec == NULL)
    return;
  for (uint32_t i = 0; i < spec->task_count; i++)
    {
      snipe_str_clear (&spec->tasks[i].kind);
      snipe_str_clear (&spec->tasks[i].payload);
    }
  free (spec->tasks);
  snipe_str_clear (&spec->team);
  free (spec);
}
