#include "util/settings.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "snipe/status.h"
#include "util/address.h"

#define HOSTS_MAX 256
/* Above every character, because argp shows such a key as a short flag. */
#define FLAG_KEY_FIRST 1000

void
snipe_settings_to_argp (struct argp_option *out,
                        const struct snipe_setting *settings, size_t count)
{
  for (size_t i = 0; i < count; i++)
    out[i] = (struct argp_option){
      .name = settings[i].flag,
      .key = settings[i].key,
      .arg = settings[i].arg,
      .doc = settings[i].help,
      .flags
      = settings[i].type == SNIPE_SETTING_BOOL ? OPTION_ARG_OPTIONAL : 0,
    };
  out[count] = (struct argp_option){ 0 };
}

void
snipe_settings_read_environment (struct snipe_setting *settings, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      const char *value
          = settings[i].env == NULL ? NULL : getenv (settings[i].env);

      if (value == NULL)
        continue;
      settings[i].value = value;
      settings[i].from_env = true;
    }
}

bool
snipe_settings_set_flag (struct snipe_setting *settings, size_t count, int key,
                         const char *value)
{
  for (size_t i = 0; i < count; i++)
    {
      if (settings[i].key != key)
        continue;
      settings[i].value = value != NULL                            ? value
                          : settings[i].type == SNIPE_SETTING_BOOL ? "true"
                                                                   : "1";
      settings[i].from_env = false;
      return true;
    }
  return false;
}

static bool
read_count (int64_t *out, const char *text, const char **rest)
{
  gchar *end = NULL;

  if (!g_ascii_isdigit (*text))
    return false;
  *out = g_ascii_strtoll (text, &end, 10);
  *rest = end;
  return true;
}

static bool
read_duration (int64_t *ms, const char *text)
{
  const char *unit;

  if (!read_count (ms, text, &unit))
    return false;
  if (strcmp (unit, "ms") == 0)
    return true;
  if (strcmp (unit, "s") != 0 || *ms > INT64_MAX / 1000)
    return false;
  *ms *= 1000;
  return true;
}

bool
snipe_setting_is_address (const char *text)
{
  const char *colon = strrchr (text, ':');
  const char *rest = "";
  unsigned char address[sizeof (struct in6_addr)];
  char *ip;
  size_t len;
  int64_t port = 0;
  bool valid;

  if (colon == NULL || !read_count (&port, colon + 1, &rest) || *rest != '\0'
      || port < 1 || port > 65535)
    return false;
  len = (size_t)(colon - text);
  if (len > 2 && text[0] == '[' && text[len - 1] == ']')
    {
      ip = g_strndup (text + 1, len - 2);
      valid = inet_pton (AF_INET6, ip, address) == 1;
    }
  else
    {
      ip = g_strndup (text, len);
      valid = inet_pton (AF_INET, ip, address) == 1;
    }
  g_free (ip);
  return valid;
}

static bool
is_host_list (const char *text)
{
  gchar **list = g_strsplit (text, ",", HOSTS_MAX + 1);
  guint count = g_strv_length (list);
  bool valid = count >= 1 && count <= HOSTS_MAX;

  for (guint i = 0; i < count && valid; i++)
    valid = snipe_setting_is_address (list[i]);
  g_strfreev (list);
  return valid;
}

static bool
is_text (const struct snipe_setting *setting)
{
  size_t len = strlen (setting->value);

  if (setting->max == 0)
    return true;
  if ((double)len < setting->min || (double)len > setting->max
      || !g_utf8_validate (setting->value, (gssize)len, NULL))
    return false;
  for (const char *at = setting->value; *at != '\0';
       at = g_utf8_next_char (at))
    if (g_unichar_iscntrl (g_utf8_get_char (at)))
      return false;
  return true;
}

static bool
is_choice (struct snipe_setting *setting)
{
  for (int i = 0; setting->choices[i] != NULL; i++)
    if (strcmp (setting->choices[i], setting->value) == 0)
      {
        setting->number = i;
        return true;
      }
  return false;
}

/* @return whether the value is one of two words; the number becomes 1 for
   @p yes, else 0. */
static bool
is_either (struct snipe_setting *setting, const char *no, const char *yes)
{
  setting->number = strcmp (setting->value, yes) == 0;
  return setting->number == 1 || strcmp (setting->value, no) == 0;
}

static bool
is_real (struct snipe_setting *setting)
{
  char *end;

  setting->real = g_ascii_strtod (setting->value, &end);
  return *setting->value != '\0' && *end == '\0'
         && setting->real >= setting->min && setting->real <= setting->max;
}

static bool
is_valid (struct snipe_setting *setting)
{
  struct sockaddr_in address;
  const char *rest = "";
  bool valid = false;

  switch (setting->type)
    {
    case SNIPE_SETTING_TEXT:
      return is_text (setting);
    case SNIPE_SETTING_ADDRESS:
      return snipe_address_parse (&address, setting->value) == SNIPE_OK;
    case SNIPE_SETTING_URL:
      return g_str_has_prefix (setting->value, "http://")
             && snipe_setting_is_address (setting->value + strlen ("http://"));
    case SNIPE_SETTING_HOSTS:
      return is_host_list (setting->value);
    case SNIPE_SETTING_DURATION:
      valid = read_duration (&setting->number, setting->value);
      break;
    case SNIPE_SETTING_COUNT:
      valid = read_count (&setting->number, setting->value, &rest)
              && *rest == '\0';
      break;
    case SNIPE_SETTING_DOUBLE:
      return is_real (setting);
    case SNIPE_SETTING_SWITCH:
      return is_either (setting, "0", "1");
    case SNIPE_SETTING_BOOL:
      return is_either (setting, "false", "true");
    case SNIPE_SETTING_CHOICE:
      return is_choice (setting);
    }
  return valid && (double)setting->number >= setting->min
         && (double)setting->number <= setting->max;
}

static void
append_range (GString *out, const struct snipe_setting *setting)
{
  char *choices;

  switch (setting->type)
    {
    case SNIPE_SETTING_TEXT:
      if (setting->max == 0)
        g_string_append (out, "any text");
      else
        g_string_append_printf (
            out, "%.15g to %.15g bytes of UTF-8 without control characters",
            setting->min, setting->max);
      break;
    case SNIPE_SETTING_ADDRESS:
      g_string_append (out, "ip:port");
      break;
    case SNIPE_SETTING_URL:
      g_string_append (out, "http://ip:port, port 1 to 65535");
      break;
    case SNIPE_SETTING_HOSTS:
      g_string_append_printf (
          out, "1 to %d of ip:port divided by commas, port 1 to 65535",
          HOSTS_MAX);
      break;
    case SNIPE_SETTING_DURATION:
      g_string_append_printf (out,
                              "%.15gms to %.15gms, written as 4s or 500ms",
                              setting->min, setting->max);
      break;
    case SNIPE_SETTING_COUNT:
    case SNIPE_SETTING_DOUBLE:
      g_string_append_printf (out, "%.15g to %.15g", setting->min,
                              setting->max);
      break;
    case SNIPE_SETTING_SWITCH:
      g_string_append (out, "0 or 1");
      break;
    case SNIPE_SETTING_BOOL:
      g_string_append (out, "true or false");
      break;
    case SNIPE_SETTING_CHOICE:
      choices = g_strjoinv (", ", (char **)setting->choices);
      g_string_append_printf (out, "one of %s", choices);
      g_free (choices);
      break;
    }
}

void
snipe_settings_check (struct snipe_setting *settings, size_t count,
                      GString *errors)
{
  for (size_t i = 0; i < count; i++)
    {
      struct snipe_setting *setting = &settings[i];

      if (setting->value == NULL || is_valid (setting))
        continue;
      g_string_append_printf (errors, "--%s", setting->flag);
      if (setting->from_env)
        g_string_append_printf (errors, " (from %s)", setting->env);
      g_string_append_printf (
          errors, ": \"%s\" is not allowed, allowed: ", setting->value);
      append_range (errors, setting);
      g_string_append_c (errors, '\n');
    }
}

void
snipe_setting_require (const struct snipe_setting *setting, GString *errors)
{
  if (setting->value != NULL)
    return;
  g_string_append_printf (errors, "--%s", setting->flag);
  if (setting->env != NULL)
    g_string_append_printf (errors, " (or %s)", setting->env);
  g_string_append (errors, ": required, allowed: ");
  append_range (errors, setting);
  g_string_append_c (errors, '\n');
}

/** Input of the argp parser, which sets the values. */
struct settings_table
{
  struct snipe_setting *rows;
  size_t count;
};

static error_t
on_option (int key, char *arg, struct argp_state *state)
{
  struct settings_table *settings = state->input;

  if (key == ARGP_KEY_ARG)
    argp_error (state, "unexpected argument \"%s\"", arg);
  return snipe_settings_set_flag (settings->rows, settings->count, key, arg)
             ? 0
             : ARGP_ERR_UNKNOWN;
}

/* @return the default as text, "required", or NULL if there is neither. */
static char *
default_text (const struct snipe_setting *row)
{
  switch (row->type)
    {
    case SNIPE_SETTING_COUNT:
      return g_strdup_printf ("default %" G_GUINT64_FORMAT,
                              (guint64)*row->out.number);
    case SNIPE_SETTING_DOUBLE:
      return g_strdup_printf ("default %.15g", *row->out.real);
    case SNIPE_SETTING_CHOICE:
      return g_strdup_printf ("default %s", row->choices[*row->out.number]);
    case SNIPE_SETTING_BOOL:
      return g_strdup_printf ("default %s", *row->out.flag ? "true" : "false");
    default:
      if (row->required)
        return g_strdup ("required");
      return *row->out.text == NULL
                 ? NULL
                 : g_strdup_printf ("default %s", *row->out.text);
    }
}

/** @return the help text: description, allowed values, default, environment
 * variable. */
static char *
help_text (const struct snipe_setting *row)
{
  GString *text = g_string_new (row->help);
  char *default_value = default_text (row);

  if (row->type != SNIPE_SETTING_TEXT)
    {
      g_string_append (text, "; ");
      append_range (text, row);
    }
  if (default_value != NULL)
    g_string_append_printf (text, "%s%s",
                            row->type == SNIPE_SETTING_TEXT ? "; " : ", ",
                            default_value);
  g_string_append_printf (text, " [%s]", row->env);
  g_free (default_value);
  return g_string_free (text, FALSE);
}

/* Copies a checked value to its destination. */
static void
store_value (const struct snipe_setting *row)
{
  switch (row->type)
    {
    case SNIPE_SETTING_COUNT:
    case SNIPE_SETTING_DURATION:
    case SNIPE_SETTING_CHOICE:
      *row->out.number = (uint64_t)row->number;
      break;
    case SNIPE_SETTING_DOUBLE:
      *row->out.real = row->real;
      break;
    case SNIPE_SETTING_SWITCH:
    case SNIPE_SETTING_BOOL:
      *row->out.flag = row->number == 1;
      break;
    case SNIPE_SETTING_TEXT:
    case SNIPE_SETTING_ADDRESS:
    case SNIPE_SETTING_URL:
    case SNIPE_SETTING_HOSTS:
      *row->out.text = row->value;
      break;
    }
}

/* Stores the valid values; appends a line to @p errors for each invalid or
   missing one. */
static void
store_values (const struct settings_table *settings, GString *errors)
{
  for (size_t i = 0; i < settings->count; i++)
    {
      struct snipe_setting *row = &settings->rows[i];
      gsize before = errors->len;

      snipe_settings_check (row, 1, errors);
      if (row->required)
        snipe_setting_require (row, errors);
      if (row->value != NULL && errors->len == before)
        store_value (row);
    }
}

int
snipe_settings_read (const struct snipe_setting *table, int argc, char **argv,
                     const char *doc)
{
  struct settings_table settings = { 0 };
  struct argp argp = { .parser = on_option, .doc = doc };
  GString *errors = g_string_new (NULL);
  struct argp_option *options;
  int status = SNIPE_OK;

  while (table[settings.count].flag != NULL)
    settings.count++;
  settings.rows = g_memdup2 (table, settings.count * sizeof *table);
  for (size_t i = 0; i < settings.count; i++)
    {
      settings.rows[i].key = FLAG_KEY_FIRST + (int)i;
      settings.rows[i].help = help_text (&table[i]);
    }
  options = g_new (struct argp_option, settings.count + 1);
  snipe_settings_to_argp (options, settings.rows, settings.count);
  argp.options = options;
  argp_program_version = "snipelb " SNIPE_VERSION;
  snipe_settings_read_environment (settings.rows, settings.count);
  if (argp_parse (&argp, argc, argv, 0, NULL, &settings) != 0)
    status = SNIPE_E_INVALID;
  store_values (&settings, errors);
  if (errors->len > 0)
    status = SNIPE_E_INVALID;
  fputs (errors->str, stderr);
  for (size_t i = 0; i < settings.count; i++)
    g_free ((char *)settings.rows[i].help);
  g_string_free (errors, TRUE);
  g_free (options);
  g_free (settings.rows);
  return status;
}
