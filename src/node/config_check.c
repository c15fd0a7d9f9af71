#include "node/config_check.h"

#include <string.h>

#include "util/finding.h"

static const struct snipe_config_route *
route_at (const struct snipe_config *draft, guint index)
{
  return g_ptr_array_index (draft->routes, index);
}

static bool
lists_service (const struct snipe_config *draft, const char *service)
{
  return draft->services != NULL
         && g_ptr_array_find_with_equal_func (draft->services, service,
                                              g_str_equal, NULL);
}

static void add_route (GPtrArray *findings, enum snipe_finding_kind kind,
                       const struct snipe_config_route *route,
                       const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

static void
add_route (GPtrArray *findings, enum snipe_finding_kind kind,
           const struct snipe_config_route *route, const char *format, ...)
{
  char *entry = g_strdup_printf ("route %s (%s%s)", route->name, route->host,
                                 route->prefix);
  char *reason;
  va_list args;

  va_start (args, format);
  reason = g_strdup_vprintf (format, args);
  va_end (args);
  snipe_findings_add (findings, kind, entry, "%s", reason);
  g_free (reason);
  g_free (entry);
}

static bool
same_host (const struct snipe_config_route *a,
           const struct snipe_config_route *b)
{
  return g_ascii_strcasecmp (a->host, b->host) == 0;
}

static bool
same_key (const struct snipe_config_route *a,
          const struct snipe_config_route *b)
{
  return same_host (a, b) && strcmp (a->prefix, b->prefix) == 0;
}

/* @return whether ids of jobs of @p route, which follow its prefix, may begin
 * with what the prefix of @p longer has in addition. */
static bool
takes_ids (const struct snipe_config_route *longer,
           const struct snipe_config_route *route, uint32_t id_digits)
{
  size_t len = strlen (route->prefix);
  const char *rest;
  size_t digits;

  if (!same_host (longer, route)
      || !g_str_has_prefix (longer->prefix, route->prefix))
    return false;
  rest = longer->prefix + len;
  digits = strspn (rest, "0123456789abcdefABCDEF");
  return digits > 0 && digits <= id_digits && rest[digits] == '\0';
}

/* Compares a route with those that are listed before it. Of two that match,
 * the one with the longer prefix is taken, else the earlier one. */
static void
check_earlier_routes (GPtrArray *findings, const struct snipe_config *draft,
                      guint index, uint32_t id_digits)
{
  const struct snipe_config_route *route = route_at (draft, index);
  bool same_name = false;

  for (guint i = 0; i < index; i++)
    {
      const struct snipe_config_route *other = route_at (draft, i);

      if (same_key (other, route))
        {
          add_route (findings, SNIPE_FINDING_NO_EFFECT, route,
                     "never matches, route %s has the same host and prefix "
                     "and is listed before",
                     other->name);
          return;
        }
      /* One finding a route: N routes of one name make N * N / 2 pairs. */
      if (!same_name && strcmp (other->name, route->name) == 0)
        {
          add_route (findings, SNIPE_FINDING_CONFLICT, route,
                     "has the name of the route of %s%s, their jobs are "
                     "counted together",
                     other->host, other->prefix);
          same_name = true;
        }
      if (takes_ids (route, other, id_digits))
        add_route (findings, SNIPE_FINDING_CONFLICT, route,
                   "takes the jobs of route %s whose ids begin with %s",
                   other->name, route->prefix + strlen (other->prefix));
      if (takes_ids (other, route, id_digits))
        add_route (findings, SNIPE_FINDING_CONFLICT, other,
                   "takes the jobs of route %s whose ids begin with %s",
                   route->name, other->prefix + strlen (route->prefix));
    }
}

static void
check_route (GPtrArray *findings, const struct snipe_config *draft,
             const struct snipe_config_route *route)
{
  /* Hosts compare the Host header without its port, and the path without its
   * query. */
  if (*route->host == '\0' || strchr (route->host, ':') != NULL
      || *route->prefix != '/' || strchr (route->prefix, '?') != NULL)
    add_route (findings, SNIPE_FINDING_NO_EFFECT, route,
               "never matches, requests have a host without a port and a path "
               "that begins with / and has no query");
  if (*route->service == '\0')
    add_route (findings, SNIPE_FINDING_NO_EFFECT, route,
               "its jobs find no endpoint, its service is empty");
  else if (draft->services != NULL && !lists_service (draft, route->service))
    add_route (findings, SNIPE_FINDING_NO_EFFECT, route,
               "its jobs find no endpoint, service %s is not listed",
               route->service);
  if (route->attempts == 0)
    add_route (findings, SNIPE_FINDING_CONFLICT, route,
               "0 attempts count as 1, a task has to run once");
  if (route->timeout == 0)
    add_route (findings, SNIPE_FINDING_CONFLICT, route,
               "a timeout of 0 ms refuses each job without a deadline");
  else if (route->timeout <= route->slo)
    add_route (findings, SNIPE_FINDING_CONFLICT, route,
               "jobs without a deadline time out after %" G_GINT64_FORMAT
               " ms, which is not over the %" G_GINT64_FORMAT
               " ms of the target that are added to their duration",
               route->timeout / SNIPE_MS, route->slo / SNIPE_MS);
}

/* Priorities order the jobs of one service. */
static void
check_service (GPtrArray *findings, const struct snipe_config *draft,
               guint index)
{
  const char *service = g_ptr_array_index (draft->services, index);
  const struct snipe_config_route *first = NULL;
  bool equal = true;
  guint count = 0;
  guint first_index = 0;
  char *entry;

  for (guint i = 0; i < draft->routes->len; i++)
    {
      const struct snipe_config_route *route = route_at (draft, i);

      if (strcmp (route->service, service) != 0)
        continue;
      count++;
      if (first == NULL)
        first = route;
      equal = equal && route->priority == first->priority;
    }
  entry = g_strdup_printf ("service %s", service);
  g_ptr_array_find_with_equal_func (draft->services, service, g_str_equal,
                                    &first_index);
  if (first_index < index)
    snipe_findings_add (findings, SNIPE_FINDING_CONFLICT, entry,
                        "is listed more than once");
  else if (count == 0)
    snipe_findings_add (findings, SNIPE_FINDING_NO_EFFECT, entry,
                        "no route leads to it");
  else if (count > 1 && equal && first->priority != 0)
    snipe_findings_add (findings, SNIPE_FINDING_NO_EFFECT, entry,
                        "priority %u of all of its %u routes orders nothing",
                        first->priority, count);
  g_free (entry);
}

static void
check_limits (GPtrArray *findings, const struct snipe_config *draft,
              const struct snipe_config_bounds *bounds)
{
  static const char entry[] = "limits";

  if (draft->body_max < bounds->spec_max)
    snipe_findings_add (
        findings, SNIPE_FINDING_CONFLICT, entry,
        "bodies of %zu bytes at most do not hold a specification, which "
        "may have %zu bytes",
        draft->body_max, bounds->spec_max);
  else if (draft->body_max > bounds->body_max)
    snipe_findings_add (findings, SNIPE_FINDING_CONFLICT, entry,
                        "bodies of up to %zu bytes are allowed, a host has "
                        "memory for one of %zu "
                        "bytes",
                        draft->body_max, bounds->body_max);
  if (draft->idle_timeout == 0)
    snipe_findings_add (findings, SNIPE_FINDING_CONFLICT, entry,
                        "an idle timeout of 0 ms sets no limit to the pauses "
                        "within a body");
}

void
snipe_config_check (GPtrArray *findings, const struct snipe_config *draft,
                    const struct snipe_config_bounds *bounds)
{
  for (guint i = 0; i < draft->routes->len; i++)
    {
      check_earlier_routes (findings, draft, i, bounds->id_digits);
      check_route (findings, draft, route_at (draft, i));
    }
  for (guint i = 0; draft->services != NULL && i < draft->services->len; i++)
    check_service (findings, draft, i);
  check_limits (findings, draft, bounds);
}

static const struct snipe_config_route *
find_route (const struct snipe_config *draft,
            const struct snipe_config_route *key)
{
  for (guint i = 0; i < draft->routes->len; i++)
    if (same_key (route_at (draft, i), key))
      return route_at (draft, i);
  return NULL;
}

static void
append_text (GString *out, const char *name, const char *old, const char *new)
{
  if (strcmp (old, new) != 0)
    g_string_append_printf (out, "%s%s %s -> %s", out->len == 0 ? "" : ", ",
                            name, old, new);
}

static void
append_number (GString *out, const char *name, double old, double new)
{
  if (old < new || old > new)
    g_string_append_printf (out, "%s%s %.15g -> %.15g",
                            out->len == 0 ? "" : ", ", name, old, new);
}

static double
to_ms (snipe_time time)
{
  return (double)time / SNIPE_MS;
}

static void
diff_route (GPtrArray *findings, const struct snipe_config_route *old,
            const struct snipe_config_route *new)
{
  GString *text = g_string_new (NULL);

  append_text (text, "name", old->name, new->name);
  append_text (text, "service", old->service, new->service);
  append_number (text, "priority", old->priority, new->priority);
  append_number (text, "attempts", old->attempts, new->attempts);
  append_number (text, "slack", old->slack_factor, new->slack_factor);
  append_number (text, "target ms", to_ms (old->slo), to_ms (new->slo));
  append_number (text, "timeout ms", to_ms (old->timeout),
                 to_ms (new->timeout));
  if (text->len > 0)
    add_route (findings, SNIPE_FINDING_CHANGE, new, "changed: %s", text->str);
  g_string_free (text, TRUE);
}

static void
diff_services (GPtrArray *findings, const struct snipe_config *from,
               const struct snipe_config *to, const char *change)
{
  for (guint i = 0; from->services != NULL && i < from->services->len; i++)
    {
      const char *service = g_ptr_array_index (from->services, i);
      char *entry = g_strdup_printf ("service %s", service);

      if (!lists_service (to, service))
        snipe_findings_add (findings, SNIPE_FINDING_CHANGE, entry, "%s",
                            change);
      g_free (entry);
    }
}

void
snipe_config_diff (GPtrArray *findings, const struct snipe_config *in_force,
                   const struct snipe_config *draft)
{
  GString *limits = g_string_new (NULL);

  /* Version 0 is one that cannot be read, which is an error already. */
  if (draft->version > 0 && draft->version <= in_force->version)
    snipe_findings_add (findings, SNIPE_FINDING_ERROR, "version",
                        "hosts ignore version %" G_GUINT64_FORMAT
                        ", it is not higher than %" G_GUINT64_FORMAT
                        " in force",
                        draft->version, in_force->version);
  for (guint i = 0; i < in_force->routes->len; i++)
    if (find_route (draft, route_at (in_force, i)) == NULL)
      add_route (findings, SNIPE_FINDING_CHANGE, route_at (in_force, i),
                 "removed");
  for (guint i = 0; i < draft->routes->len; i++)
    {
      const struct snipe_config_route *route = route_at (draft, i);
      const struct snipe_config_route *old = find_route (in_force, route);

      if (find_route (draft, route) != route)
        continue; /* never matches */
      if (old == NULL)
        add_route (findings, SNIPE_FINDING_CHANGE, route, "added");
      else
        diff_route (findings, old, route);
    }
  diff_services (findings, in_force, draft, "removed");
  diff_services (findings, draft, in_force, "added");
  append_number (limits, "body bytes", (double)in_force->body_max,
                 (double)draft->body_max);
  append_number (limits, "idle timeout ms", to_ms (in_force->idle_timeout),
                 to_ms (draft->idle_timeout));
  if (limits->len > 0)
    snipe_findings_add (findings, SNIPE_FINDING_CHANGE, "limits",
                        "changed: %s", limits->str);
  g_string_free (limits, TRUE);
}
