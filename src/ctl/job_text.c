#include "ctl/job_text.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "snipe/status.h"

#define FILE_MAX_BYTES (16UL * 1024 * 1024)

int
snipe_job_text_add_task (json_t *tasks, const char *text)
{
  const char *colon = strchr (text, ':');
  json_error_t error;
  json_t *payload;

  if (colon == NULL || colon == text)
    return snipe_status_set (SNIPE_E_INVALID,
                             "task \"%.80s\" is not kind:payload-json", text);
  payload = json_loads (colon + 1, JSON_DECODE_ANY | JSON_REJECT_DUPLICATES,
                        &error);
  if (payload == NULL)
    return snipe_status_set (SNIPE_E_INVALID,
                             "payload of task \"%.80s\" is not JSON: %s", text,
                             error.text);
  if (json_array_append_new (tasks, json_pack ("{s:s%, s:o}", "kind", text,
                                               (size_t)(colon - text),
                                               "payload", payload))
      != 0)
    return snipe_status_set (SNIPE_E_INVALID,
                             "kind of task \"%.80s\" is not UTF-8", text);
  return SNIPE_OK;
}

static int
print_job (struct snipe_str *out, const json_t *job)
{
  char *text = json_dumps (job, JSON_COMPACT);

  if (text == NULL)
    return snipe_status_set (SNIPE_E_INVALID, "cannot print the job as JSON");
  snipe_str_take (out, text, strlen (text));
  return SNIPE_OK;
}

int
snipe_job_text_make (struct snipe_str *out, const char *team, json_t *tasks)
{
  json_t *job = json_pack ("{s:s, s:O}", "team", team, "tasks", tasks);
  int status = print_job (out, job);

  json_decref (job);
  return status;
}

static int
read_file (GString *out, const char *file)
{
  FILE *in = strcmp (file, "-") == 0 ? stdin : fopen (file, "re");
  char part[65536];
  size_t len;
  int status = SNIPE_OK;

  if (in == NULL)
    return snipe_status_set (SNIPE_E_NOT_FOUND, "cannot open %s: %s", file,
                             g_strerror (errno));
  while (out->len <= FILE_MAX_BYTES
         && (len = fread (part, 1, sizeof part, in)) > 0)
    g_string_append_len (out, part, (gssize)len);
  if (ferror (in))
    status = snipe_status_set (SNIPE_E_INVALID, "cannot read %s: %s", file,
                               g_strerror (errno));
  else if (out->len > FILE_MAX_BYTES)
    status = snipe_status_set (SNIPE_E_TOO_LARGE, "%s exceeds %lu bytes", file,
                               FILE_MAX_BYTES);
  if (in != stdin)
    fclose (in);
  return status;
}

int
snipe_job_text_read (struct snipe_str *out, const char *file, const char *team)
{
  GString *text = g_string_new (NULL);
  json_error_t error;
  json_t *job = NULL;
  int status = read_file (text, file);

  if (status != SNIPE_OK)
    goto cleanup;
  if (team == NULL)
    {
      status = snipe_str_set (out, text->str, text->len);
      goto cleanup;
    }
  job = json_loadb (text->str, text->len, JSON_REJECT_DUPLICATES, &error);
  if (json_object_set_new (job, "team", json_string (team)) != 0)
    status = snipe_status_set (SNIPE_E_INVALID, "%s is not a JSON object: %s",
                               file, job == NULL ? error.text : "other value");
  else
    status = print_job (out, job);

cleanup:
  json_decref (job);
  g_string_free (text, TRUE);
  return status;
}
