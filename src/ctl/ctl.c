#include "ctl/ctl.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "snipe/status.h"

/* One byte over the parser's limit, so that the parser reports that the file
 * is too large. */
#define FILE_READ_MAX_BYTES (1024 * 1024 + 1)

struct snipe_table
snipe_ctl_table (const struct snipe_ctl *ctl)
{
  return (struct snipe_table){
    .url = ctl->platform,
    .timeout_ms = ctl->timeout_ms,
  };
}

int
snipe_ctl_fail (const struct snipe_ctl *ctl, const char *subject)
{
  fprintf (ctl->err, "snipectl: %s: %s\n", subject, snipe_status_last ());
  return SNIPE_CTL_FAILED;
}

void
snipe_ctl_print_json (const struct snipe_ctl *ctl, const json_t *json)
{
  json_dumpf (json, ctl->out, JSON_COMPACT);
  fputc ('\n', ctl->out);
}

int
snipe_ctl_rules_load (struct snipe_rules **out, const char *file)
{
  FILE *in = strcmp (file, "-") == 0 ? stdin : fopen (file, "re");
  char *text;
  size_t len;
  int status;

  if (in == NULL)
    return snipe_status_set (SNIPE_E_NOT_FOUND, "cannot open the file: %s",
                             g_strerror (errno));
  text = g_malloc (FILE_READ_MAX_BYTES);
  len = fread (text, 1, FILE_READ_MAX_BYTES, in);
  if (ferror (in))
    status = snipe_status_set (SNIPE_E_INVALID, "cannot read the file: %s",
                               g_strerror (errno));
  else
    status = snipe_rules_parse (out, text, len, 0);
  if (in != stdin)
    fclose (in);
  g_free (text);
  return status;
}

/* Copies a member, a string or an integer, of the JSON object @p value. */
static void
copy_field (struct snipe_str *out, const json_t *value, const char *name)
{
  const json_t *field = json_object_get (value, name);

  if (json_is_string (field))
    snipe_str_set (out, json_string_value (field), json_string_length (field));
  else if (json_is_integer (field))
    {
      char *text = g_strdup_printf ("%" JSON_INTEGER_FORMAT,
                                    json_integer_value (field));

      snipe_str_set_c (out, text);
      g_free (text);
    }
}

int
snipe_ctl_published_get (struct snipe_ctl_published *out,
                         const struct snipe_ctl *ctl)
{
  struct snipe_table table = snipe_ctl_table (ctl);
  json_t *value = NULL;
  int status;

  *out = (struct snipe_ctl_published){ 0 };
  status = snipe_table_get (&value, &out->version, &table, "rules");
  if (status == SNIPE_E_NOT_FOUND)
    return SNIPE_OK;
  if (status != SNIPE_OK)
    return status;
  copy_field (&out->text, value, "text");
  copy_field (&out->publisher, value, "who");
  copy_field (&out->published_at, value, "when");
  copy_field (&out->operation_id, value, "op");
  json_decref (value);
  return SNIPE_OK;
}

void
snipe_ctl_published_clear (struct snipe_ctl_published *row)
{
  snipe_str_clear (&row->text);
  snipe_str_clear (&row->publisher);
  snipe_str_clear (&row->published_at);
  snipe_str_clear (&row->operation_id);
}

int
snipe_ctl_fleet_load (struct snipe_fleet *out, const struct snipe_ctl *ctl)
{
  struct snipe_table table = snipe_ctl_table (ctl);

  if (ctl->hosts == NULL)
    return snipe_fleet_load (out, &table);
  snipe_fleet_parse (out, ctl->hosts);
  return SNIPE_OK;
}

const char *
snipe_ctl_json_text (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text == NULL ? "-" : text;
}

long long
snipe_ctl_json_number (const json_t *object, const char *name)
{
  return (long long)json_number_value (json_object_get (object, name));
}

bool
snipe_ctl_json_flag (const json_t *object, const char *name)
{
  return json_is_true (json_object_get (object, name));
}
