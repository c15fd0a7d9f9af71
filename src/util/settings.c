#include "util/settings.h"

#include <argp.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "snipe/status.h"
#include "util/address.h"

#define FIRST_KEY 1000

/** What argp collected: the value of each row, or NULL. */
struct reading
{
  const struct snipe_setting *table;
  const char **values;
  size_t count;
};

static error_t
on_option (int key, char *arg, struct argp_state *state)
{
  struct reading *reading = state->input;

  if (key == ARGP_KEY_ARG)
    argp_error (state, "unexpected argument \"%s\"", arg);
  if (key < FIRST_KEY || (size_t)(key - FIRST_KEY) >= reading->count)
    return ARGP_ERR_UNKNOWN;
  reading->values[key - FIRST_KEY] = arg == NULL ? "true" : arg;
  return 0;
}

static void
complain (const struct snipe_setting *row, const char *value,
          const char *allowed)
{
  fprintf (stderr, "--%s (%s): \"%s\" is not allowed: %s\n", row->flag,
           row->env, value, allowed);
}

static bool
set_choice (const struct snipe_setting *row, const char *value)
{
  char *allowed;

  for (size_t i = 0; row->choices[i] != NULL; i++)
    if (strcmp (row->choices[i], value) == 0)
      {
        *row->out.number = i;
        return true;
      }
  allowed = g_strjoinv (", ", (char **)row->choices);
  complain (row, value, allowed);
  g_free (allowed);
  return false;
}

static bool
set_number (const struct snipe_setting *row, const char *value)
{
  char allowed[96];
  char *end;
  double real = g_ascii_strtod (value, &end);
  bool whole = row->kind == SNIPE_SETTING_UINT;
  guint64 number = 0;

  if (*value != '\0' && *end == '\0' && real >= row->min && real <= row->max
      && (!whole
          || g_ascii_string_to_unsigned (value, 10, 0, UINT64_MAX, &number,
                                         NULL)))
    {
      if (whole)
        *row->out.number = number;
      else
        *row->out.real = real;
      return true;
    }
  snprintf (allowed, sizeof allowed, "a %snumber from %.15g to %.15g",
            whole ? "whole " : "", row->min, row->max);
  complain (row, value, allowed);
  return false;
}

static bool
set_value (const struct snipe_setting *row, const char *value)
{
  struct sockaddr_in address;

  switch (row->kind)
    {
    case SNIPE_SETTING_TEXT:
      *row->out.text = value;
      return true;
    case SNIPE_SETTING_ADDRESS:
      if (snipe_address_parse (&address, value) < 0)
        {
          complain (row, value, "an address ip:port");
          return false;
        }
      *row->out.text = value;
      return true;
    case SNIPE_SETTING_UINT:
    case SNIPE_SETTING_DOUBLE:
      return set_number (row, value);
    case SNIPE_SETTING_BOOL:
      if (strcmp (value, "true") != 0 && strcmp (value, "false") != 0)
        {
          complain (row, value, "true or false");
          return false;
        }
      *row->out.flag = strcmp (value, "true") == 0;
      return true;
    case SNIPE_SETTING_CHOICE:
      return set_choice (row, value);
    }
  return false;
}

/** Help of a setting: what it is, allowed values, default, environment. */
static char *
help_text (const struct snipe_setting *row)
{
  GString *text = g_string_new (row->help);
  char *choices;

  switch (row->kind)
    {
    case SNIPE_SETTING_UINT:
      g_string_append_printf (text,
                              "; %.15g to %.15g, default %" G_GUINT64_FORMAT,
                              row->min, row->max, (guint64)*row->out.number);
      break;
    case SNIPE_SETTING_DOUBLE:
      g_string_append_printf (text, "; %.15g to %.15g, default %.15g",
                              row->min, row->max, *row->out.real);
      break;
    case SNIPE_SETTING_CHOICE:
      choices = g_strjoinv (", ", (char **)row->choices);
      g_string_append_printf (text, "; one of %s, default %s", choices,
                              row->choices[*row->out.number]);
      g_free (choices);
      break;
    case SNIPE_SETTING_BOOL:
      g_string_append (text, "; true or false, default false");
      break;
    case SNIPE_SETTING_TEXT:
    case SNIPE_SETTING_ADDRESS:
      if (row->required)
        g_string_append (text, "; required");
      else if (*row->out.text != NULL)
        g_string_append_printf (text, "; default %s", *row->out.text);
      break;
    }
  g_string_append_printf (text, " [%s]", row->env);
  return g_string_free (text, FALSE);
}

static struct argp_option *
make_options (const struct snipe_setting *table, size_t count)
{
  struct argp_option *options = g_new0 (struct argp_option, count + 1);

  for (size_t i = 0; i < count; i++)
    {
      char *doc = help_text (&table[i]);

      options[i].name = table[i].flag;
      options[i].key = FIRST_KEY + (int)i;
      options[i].arg = table[i].arg;
      options[i].flags
          = table[i].kind == SNIPE_SETTING_BOOL ? OPTION_ARG_OPTIONAL : 0;
      options[i].doc = doc;
    }
  return options;
}

int
snipe_settings_read (const struct snipe_setting *table, int argc, char **argv,
                     const char *doc)
{
  struct reading reading = { .table = table };
  struct argp_option *options;
  struct argp argp = { .parser = on_option, .doc = doc };
  int status = SNIPE_OK;

  while (table[reading.count].flag != NULL)
    reading.count++;
  reading.values = g_new0 (const char *, reading.count);
  options = make_options (table, reading.count);
  argp.options = options;
  argp_program_version = "snipelb " SNIPE_VERSION;
  if (argp_parse (&argp, argc, argv, 0, NULL, &reading) != 0)
    status = SNIPE_E_INVALID;
  for (size_t i = 0; i < reading.count; i++)
    {
      const char *value = reading.values[i];

      if (value == NULL)
        value = getenv (table[i].env);
      if (value != NULL && !set_value (&table[i], value))
        status = SNIPE_E_INVALID;
      if (value == NULL && table[i].required)
        {
          fprintf (stderr, "--%s (%s): missing; %s\n", table[i].flag,
                   table[i].env, table[i].help);
          status = SNIPE_E_INVALID;
        }
    }
  for (size_t i = 0; i < reading.count; i++)
    g_free ((char *)options[i].doc);
  g_free (options);
  g_free (reading.values);
  return status;
}
