#include "ctl/settings.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS_MAX 256

void
snipe_settings_options (struct argp_option *out,
                        const struct snipe_setting *settings, size_t count)
{
  for (size_t i = 0; i < count; i++)
    out[i] = (struct argp_option){
      .name = settings[i].flag,
      .key = settings[i].key,
      .arg = settings[i].arg,
      .doc = settings[i].help,
    };
  out[count] = (struct argp_option){ 0 };
}

void
snipe_settings_environment (struct snipe_setting *settings, size_t count)
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
snipe_settings_give (struct snipe_setting *settings, size_t count, int key,
                     const char *value)
{
  for (size_t i = 0; i < count; i++)
    {
      if (settings[i].key != key)
        continue;
      settings[i].value = value == NULL ? "1" : value;
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

  if ((int64_t)len < setting->min || (int64_t)len > setting->max
      || !g_utf8_validate (setting->value, (gssize)len, NULL))
    return false;
  for (const char *at = setting->value; *at != '\0';
       at = g_utf8_next_char (at))
    if (g_unichar_iscntrl (g_utf8_get_char (at)))
      return false;
  return true;
}

static bool
is_valid (struct snipe_setting *setting)
{
  const char *rest = "";
  bool valid = false;

  switch (setting->type)
    {
    case SNIPE_SETTING_TEXT:
      return is_text (setting);
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
    case SNIPE_SETTING_SWITCH:
      setting->number = strcmp (setting->value, "1") == 0;
      return setting->number == 1 || strcmp (setting->value, "0") == 0;
    }
  return valid && setting->number >= setting->min
         && setting->number <= setting->max;
}

static void
append_range (GString *out, const struct snipe_setting *setting)
{
  switch (setting->type)
    {
    case SNIPE_SETTING_TEXT:
      g_string_append_printf (out,
                              "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
                              " bytes of UTF-8 without control characters",
                              setting->min, setting->max);
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
                              "%" G_GINT64_FORMAT "ms to %" G_GINT64_FORMAT
                              "ms, written as 4s or 500ms",
                              setting->min, setting->max);
      break;
    case SNIPE_SETTING_COUNT:
      g_string_append_printf (out, "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                              setting->min, setting->max);
      break;
    case SNIPE_SETTING_SWITCH:
      g_string_append (out, "0 or 1");
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
