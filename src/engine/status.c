#include "engine/private.h"

#include <stdlib.h>
#include <string.h>

#include "snipe/status.h"

struct endpoint_visitor
{
  json_t *list;
  snipe_time now;
};

static void
add_endpoint (void *ctx, const struct snipe_endpoint_status *status)
{
  const struct endpoint_visitor *visitor = ctx;
  const struct snipe_endpoint_info *info = status->info;
  json_int_t retry = status->suspended && status->probe_at > visitor->now
                         ? (status->probe_at - visitor->now) / SNIPE_MS
                         : 0;

  json_array_append_new (
      visitor->list,
      json_pack ("{s:s, s:s, s:s, s:i, s:i, s:f, s:b, s:I, s:b}", "name",
                 snipe_str_c (&info->name), "address",
                 snipe_str_c (&info->address), "domain",
                 snipe_str_c (&info->domain), "slots", (int)info->slots,
                 "running", (int)status->running, "speed",
                 (double)status->speed, "suspended", status->suspended,
                 "retry_in_ms", retry, "leaving", info->draining));
}

static json_t *
peers_json (struct snipe_engine *engine, snipe_time now)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engine->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      char incarnation[17];

      g_snprintf (incarnation, sizeof incarnation,
                  "%016" G_GINT64_MODIFIER "x", (guint64)peer->incarnation);
      json_array_append_new (
          list,
          json_pack ("{s:s, s:s, s:s, s:s, s:b, s:I, s:i, s:i}", "name",
                     peer->name, "incarnation", incarnation, "address",
                     peer->address, "domain", peer->domain, "live",
                     peer_is_live (engine, peer, now), "rules_version",
                     (json_int_t)peer->rules_version, "free_slots",
                     (int)peer->free_slots, "queued", (int)peer->queued));
    }
  return list;
}

/** Lists the teams that the rules name, with limit, share and use. */
static json_t *
teams_json (struct snipe_engine *engine)
{
  json_t *list = json_array ();
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  const struct snipe_rule *lines;
  uint32_t count = 0;

  if (engine->rules != NULL)
    lines = snipe_rules_lines (engine->rules, &count);
  for (uint32_t i = 0; i < count; i++)
    {
      const char *team = snipe_str_c (&lines[i].team);
      const struct snipe_rule *limit;
      uint32_t running;
      uint32_t queued;

      if (!g_hash_table_add (seen, (gpointer)team))
        continue;
      limit = snipe_rules_limit (engine->rules, &lines[i].team);
      snipe_sched_team_usage (engine->sched,
                              snipe_sched_team (engine->sched, &lines[i].team),
                              &running, &queued);
      json_array_append_new (
          list,
          json_pack ("{s:s, s:i, s:i, s:i, s:i}", "team", team, "limit",
                     limit == NULL ? -1 : (int)limit->u.limit.slots, "share",
                     limit == NULL
                         ? -1
                         : (int)engine_team_share (engine, &lines[i].team),
                     "running", (int)running, "queued", (int)queued));
    }
  g_hash_table_destroy (seen);
  return list;
}

static json_t *
rules_json (const struct snipe_engine *engine)
{
  uint32_t count = 0;
  uint64_t version = 0;

  if (engine->rules != NULL)
    {
      snipe_rules_lines (engine->rules, &count);
      version = snipe_rules_version (engine->rules);
    }
  return json_pack ("{s:I, s:i}", "version", (json_int_t)version, "lines",
                    (int)count);
}

int
snipe_engine_status (struct snipe_str *out, struct snipe_engine *engine,
                     snipe_time now)
{
  struct endpoint_visitor visitor = { .list = json_array (), .now = now };
  struct snipe_peer_load load;
  char incarnation[17];
  uint32_t running = 0;
  json_t *root;
  json_t *endpoint;
  size_t i;
  char *text;

  g_snprintf (incarnation, sizeof incarnation, "%016" G_GINT64_MODIFIER "x",
              (guint64)engine->options.incarnation);
  pthread_mutex_lock (&engine->sched_lock);
  snipe_sched_load_get (engine->sched, now, &load);
  snipe_sched_endpoint_foreach (engine->sched, add_endpoint, &visitor);
  json_array_foreach (visitor.list, i, endpoint) running
      += (uint32_t)json_integer_value (json_object_get (endpoint, "running"));
  root = json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:o, s:i, s:i, s:i, s:i, s:o, s:o, "
      "s:o}",
      "host", engine->host, "incarnation", incarnation, "domain",
      engine->domain, "region", engine->region, "state",
      snipe_engine_draining (engine) ? "draining" : "live", "rules",
      rules_json (engine), "queued", (int)load.queued, "running", (int)running,
      "free_slots", (int)load.free_slots, "endpoints_listed",
      (int)engine->endpoints->len, "endpoints", visitor.list, "peers",
      peers_json (engine, now), "teams", teams_json (engine));
  pthread_mutex_unlock (&engine->sched_lock);
  if (root == NULL)
    return snipe_status_set (SNIPE_E_INTERNAL,
                             "cannot encode the status as JSON");
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  snipe_str_take (out, text, strlen (text));
  return SNIPE_OK;
}
