#include "node/config.h"

#include <string.h>

static void
route_free (gpointer data)
{
  struct snipe_config_route *route = data;

  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_free (route->service);
  g_free (route);
}

struct snipe_config *
snipe_config_new (const char *text, size_t len)
{
  struct snipe_config *config = g_new0 (struct snipe_config, 1);

  config->routes = g_ptr_array_new_with_free_func (route_free);
  config->text = g_memdup2 (text, len);
  config->text_len = len;
  return config;
}

void
snipe_config_free (struct snipe_config *config)
{
  if (config == NULL)
    return;
  g_ptr_array_free (config->routes, TRUE);
  if (config->services != NULL)
    g_ptr_array_free (config->services, TRUE);
  g_free (config->text);
  g_free (config);
}

const struct snipe_config_route *
snipe_config_find (const struct snipe_config *config, const char *host,
                   const char *path)
{
  const struct snipe_config_route *best = NULL;

  for (guint i = 0; i < config->routes->len; i++)
    {
      const struct snipe_config_route *route
          = g_ptr_array_index (config->routes, i);

      if (g_ascii_strcasecmp (route->host, host) == 0
          && g_str_has_prefix (path, route->prefix)
          && (best == NULL || strlen (route->prefix) > strlen (best->prefix)))
        best = route;
    }
  return best;
}
