#include <stdlib.h>
#include <string.h>

#include "platform/internal.h"
#include "snipe/status.h"

/* Between two transactions of this host that move shares. */
#define WRITE_INTERVAL SNIPE_S

/** A team's next row, while one round plans its transaction. */
struct change
{
  struct snipe_quota_team *team;
  struct snipe_share_row row;
  uint32_t use;
  uint32_t held;
  bool write;
};

void
snipe_quota_team_free (void *item)
{
  struct snipe_quota_team *team = item;

  snipe_share_row_clear (&team->row);
  snipe_str_clear (&team->team);
  g_free (team);
}

static void
free_demands (struct snipe_team_demand *list, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    snipe_str_clear (&list[i].team);
  free (list);
}

static void
get_demands (const struct snipe_platform *p, struct snipe_team_demand **list,
             uint32_t *count)
{
  *list = NULL;
  *count = 0;
  if (p->events.demands != NULL)
    p->events.demands (p->options.ctx, list, count);
}

/* Slots the team may use here now. */
static uint32_t
usable (const struct snipe_quota_team *team)
{
  uint32_t share = MIN (team->confirmed, team->use);

  return team->pending ? MIN (share, team->pending_held) : share;
}

static void
announce (struct snipe_platform *p)
{
  uint32_t count = 0;
  struct snipe_team_share *list
      = g_new0 (struct snipe_team_share, g_hash_table_size (p->quotas) + 1);
  GHashTableIter iter;
  gpointer item;

  g_hash_table_iter_init (&iter, p->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const struct snipe_quota_team *team = item;

      list[count].team = team->team;
      list[count].share = usable (team);
      count++;
    }
  if (p->events.shares != NULL && count > 0)
    p->events.shares (p->options.ctx, list, count, p->valid_until);
  g_free (list);
}

/* After a gap others may have taken the shares back: none counts until the
 * table has been read again. */
static void
forget_shares (struct snipe_platform *p)
{
  GHashTableIter iter;
  gpointer item;

  p->entries_since = 0;
  p->leases_since = 0;
  p->quotas_since = 0;
  g_hash_table_iter_init (&iter, p->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    ((struct snipe_quota_team *)item)->confirmed = 0;
}

int
snipe_quota_renew (struct snipe_platform *platform, snipe_time now)
{
  struct snipe_txn txn;
  int rc;

  if (platform->lease_ok
      && now - platform->lease_sent < platform->options.lease_duration / 6)
    return SNIPE_OK;
  platform->lease_ok = false;
  rc = snipe_txn_init (&txn);
  if (rc == SNIPE_OK)
    rc = snipe_txn_put (
        &txn, platform->lease_key,
        json_pack ("{s:I}", "n", (json_int_t)++platform->lease_n));
  if (rc == SNIPE_OK)
    rc = snipe_txn_run (NULL, NULL, &txn, &platform->watch_http,
                        platform->options.timeout);
  snipe_txn_clear (&txn);
  if (rc != SNIPE_OK)
    return rc;
  if (snipe_clock_now () >= platform->valid_until)
    forget_shares (platform);
  platform->lease_ok = true;
  platform->lease_sent = now;
  platform->valid_until = now + platform->options.lease_duration;
  announce (platform);
  return SNIPE_OK;
}

static bool
is_lapsed (void *ctx, uint64_t incarnation)
{
  struct snipe_platform *p = ctx;

  return snipe_lease_lapsed (p->leases, incarnation,
                             p->options.lease_duration
                                 + p->options.task_duration_max);
}

/* Brings lease_rows up to date. */
static int
follow_leases (struct snipe_platform *p, snipe_time sent)
{
  json_t *rows;
  json_t *row;
  size_t i;
  bool whole;
  int rc;

  if (sent >= p->leases_whole)
    p->leases_since = 0;
  whole = p->leases_since == 0;
  rc = snipe_range_follow (&rows, &p->leases_since, &p->watch_http, "lease/",
                           p->options.timeout);
  if (rc != SNIPE_OK)
    return rc;
  if (whole)
    {
      g_hash_table_remove_all (p->lease_rows);
      p->leases_whole = sent + SNIPE_WHOLE_POLLS * p->options.poll_interval;
    }
  json_array_foreach (rows, i, row)
  {
    uint64_t version
        = (uint64_t)json_integer_value (json_object_get (row, "version"));
    uint64_t incarnation;

    if (snipe_row_incarnation (&incarnation, row, "lease/"))
      g_hash_table_replace (p->lease_rows,
                            g_memdup2 (&incarnation, sizeof incarnation),
                            g_memdup2 (&version, sizeof version));
  }
  json_decref (rows);
  return SNIPE_OK;
}

/* A lease that a read of changes leaves out has not been renewed. It may have
 * been deleted, which the next whole read shows. */
static int
read_leases (struct snipe_platform *p)
{
  snipe_time sent = snipe_clock_now ();
  snipe_time now;
  GHashTableIter iter;
  gpointer key;
  gpointer version;
  int rc = follow_leases (p, sent);

  if (rc != SNIPE_OK)
    return rc;
  now = snipe_clock_now ();
  g_hash_table_iter_init (&iter, p->lease_rows);
  while (g_hash_table_iter_next (&iter, &key, &version))
    snipe_lease_note (p->leases, *(const uint64_t *)key,
                      *(const uint64_t *)version, sent, now);
  if (!g_hash_table_contains (p->lease_rows, &p->options.self.incarnation))
    p->lease_ok = false;
  return SNIPE_OK;
}

/* Holders without a lease row count from their first sight without one. */
static void
note_absent (struct snipe_platform *p, const struct snipe_share_row *row,
             snipe_time sent, snipe_time now)
{
  for (uint32_t i = 0; i < row->count; i++)
    if (!g_hash_table_contains (p->lease_rows, &row->entries[i].incarnation))
      snipe_lease_note (p->leases, row->entries[i].incarnation, 0, sent, now);
}

static gboolean
lease_is_stale (gpointer key, gpointer value, gpointer ctx)
{
  const struct snipe_lease_seen *seen = value;

  (void)key;
  /* Neither in the last reads of leases nor holder of any share. */
  return seen->last < *(const snipe_time *)ctx;
}

/* While the platform is away nothing can be given back, so the whole
 * confirmed share may be used, up to the limit as it is now. */
static void
use_confirmed (struct snipe_platform *p, const struct snipe_team_demand *list,
               uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      struct snipe_quota_team *team
          = g_hash_table_lookup (p->quotas, snipe_str_c (&list[i].team));

      if (team != NULL)
        team->use = list[i].limit;
    }
}

/* Makes the set of teams equal to the demands. */
static void
sync_teams (struct snipe_platform *p, const struct snipe_team_demand *list,
            uint32_t count)
{
  GHashTable *named = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer key;

  for (uint32_t i = 0; i < count; i++)
    {
      const char *name = snipe_str_c (&list[i].team);

      g_hash_table_add (named, (gpointer)name);
      if (!g_hash_table_contains (p->quotas, name))
        {
          struct snipe_quota_team *team = g_new0 (struct snipe_quota_team, 1);

          snipe_str_set_c (&team->team, name);
          team->use = list[i].limit;
          g_hash_table_insert (p->quotas, team->team.data, team);
          /* Its row may not have changed since the last read. */
          p->quotas_since = 0;
        }
    }
  g_hash_table_iter_init (&iter, p->quotas);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (named, key))
      g_hash_table_iter_remove (&iter);
  g_hash_table_unref (named);
}

/* Takes over a row as the table shows it. */
static void
confirm_row (struct snipe_quota_team *team, uint64_t version, uint64_t self)
{
  /* The pending write was conditional on a version that is gone: it has
   * taken effect already, or never will. */
  if (team->pending && version != team->pending_if)
    team->pending = false;
  team->version = version;
  team->confirmed = team->valid ? snipe_share_held (&team->row, self) : 0;
}

/* Takes over one row as read. @return its team, NULL if none has a limit. */
static struct snipe_quota_team *
read_row (struct snipe_platform *p, const json_t *row)
{
  const char *key = json_string_value (json_object_get (row, "key"));
  json_int_t version = json_integer_value (json_object_get (row, "version"));
  struct snipe_quota_team *team = NULL;

  if (key != NULL && g_str_has_prefix (key, "quota/"))
    team = g_hash_table_lookup (p->quotas, key + strlen ("quota/"));
  if (team == NULL)
    return NULL;
  team->valid
      = snipe_quota_row_parse (&team->row, json_object_get (row, "value"))
        == SNIPE_OK;
  if (!team->valid)
    g_warning ("row %s is malformed: %s", key, snipe_status_last ());
  confirm_row (team, (uint64_t)version, p->options.self.incarnation);
  return team;
}

/* Rows are never deleted, so that one that a read of changes leaves out is as
 * it was. */
static int
read_rows (struct snipe_platform *p)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  snipe_time sent = snipe_clock_now ();
  snipe_time now;
  GHashTableIter iter;
  gpointer item;
  json_t *rows;
  json_t *row;
  size_t i;
  bool whole = p->quotas_since == 0;
  int rc = snipe_range_follow (&rows, &p->quotas_since, &p->watch_http,
                               "quota/", p->options.timeout);

  now = snipe_clock_now ();
  json_array_foreach (rows, i, row)
  {
    struct snipe_quota_team *team = read_row (p, row);

    if (team != NULL)
      g_hash_table_add (seen, team->team.data);
  }
  g_hash_table_iter_init (&iter, p->quotas);
  while (rc == SNIPE_OK && g_hash_table_iter_next (&iter, NULL, &item))
    {
      struct snipe_quota_team *team = item;

      if (whole && !g_hash_table_contains (seen, team->team.data))
        {
          team->row.count = 0;
          team->valid = true;
          confirm_row (team, 0, p->options.self.incarnation);
        }
      note_absent (p, &team->row, sent, now);
    }
  json_decref (rows);
  g_hash_table_unref (seen);
  return rc;
}

static int
copy_row (struct snipe_share_row *out, const struct snipe_share_row *in)
{
  int rc = SNIPE_OK;

  for (uint32_t i = 0; i < in->count && rc == SNIPE_OK; i++)
    rc = snipe_share_row_set (out, &in->entries[i]);
  return rc;
}

/* Decides one team's next row. */
static int
plan (struct snipe_platform *p, const struct snipe_team_demand *demand,
      struct change *change)
{
  struct snipe_quota_team *team
      = g_hash_table_lookup (p->quotas, snipe_str_c (&demand->team));
  struct snipe_share_input input = { .self = p->options.self.incarnation,
                                     .limit = demand->limit,
                                     .running = demand->running,
                                     .queued = demand->queued,
                                     .hosts = p->live_hosts,
                                     .reclaimable = is_lapsed,
                                     .ctx = p };
  int rc;

  change->team = team;
  if (team == NULL || !team->valid)
    return SNIPE_OK;
  rc = copy_row (&change->row, &team->row);
  if (rc == SNIPE_OK)
    rc = snipe_share_decide (&change->row, &input, &change->use);
  if (rc < 0)
    return rc;
  /* A write of unknown effect caps the share until the version moves, so
   * the row is written even if it stays the same. */
  change->write = rc > 0 || team->pending;
  change->held = snipe_share_held (&change->row, input.self);
  team->use = change->use;
  return SNIPE_OK;
}

/* Starts that happened between the first look at the demands and the lower
 * announcement still hold their slots. */
static int
keep_running (struct change *change, uint64_t self, uint32_t running)
{
  uint32_t keep = MIN (change->team->confirmed, running);
  struct snipe_share_entry entry
      = { .incarnation = self, .held = keep, .want = running };

  if (!change->write || change->held >= keep)
    return SNIPE_OK;
  for (uint32_t i = 0; i < change->row.count; i++)
    if (change->row.entries[i].incarnation == self)
      entry.want = change->row.entries[i].want;
  change->held = keep;
  return snipe_share_row_set (&change->row, &entry);
}

static int
keep_all_running (struct snipe_platform *p, struct change *changes,
                  uint32_t count)
{
  struct snipe_team_demand *demands;
  uint32_t demand_count;
  int rc = SNIPE_OK;

  get_demands (p, &demands, &demand_count);
  for (uint32_t i = 0; i < count && rc == SNIPE_OK; i++)
    {
      struct change *change = &changes[i];
      bool found = false;

      if (!change->write)
        continue;
      for (uint32_t k = 0; k < demand_count && !found; k++)
        if (snipe_str_equal (&demands[k].team, &change->team->team))
          {
            found = true;
            rc = keep_running (change, p->options.self.incarnation,
                               demands[k].running);
          }
      /* The rule has gone meanwhile; the next round starts anew. */
      change->write = found;
    }
  free_demands (demands, demand_count);
  return rc;
}

static int
build_txn (struct snipe_txn *txn, const struct change *changes, uint32_t count)
{
  int rc = SNIPE_OK;

  for (uint32_t i = 0; i < count && rc == SNIPE_OK; i++)
    {
      char *key;

      if (!changes[i].write)
        continue;
      key = g_strconcat ("quota/", changes[i].team->team.data, NULL);
      rc = snipe_txn_if (txn, key, changes[i].team->version);
      if (rc == SNIPE_OK)
        rc = snipe_txn_put (txn, key,
                            snipe_quota_row_format (&changes[i].row));
      g_free (key);
    }
  return rc;
}

/* Applies the outcome of the transaction to what counts as confirmed. */
static void
settle (struct change *change, int rc, uint64_t version)
{
  struct snipe_quota_team *team = change->team;
  struct snipe_share_row old;

  if (!change->write)
    return;
  if (rc == SNIPE_OK)
    {
      team->pending = false;
      team->version = version;
      team->confirmed = change->held;
      old = team->row;
      team->row = change->row;
      change->row = old;
      return;
    }
  /* Without effect for certain: the table's share still stands. */
  if (rc == SNIPE_E_CONFLICT || rc == SNIPE_E_UNREACHABLE)
    return;
  team->pending_held
      = team->pending ? MIN (team->pending_held, change->held) : change->held;
  team->pending = true;
  team->pending_if = team->version;
}

static int
write_changes (struct snipe_platform *p, struct change *changes,
               uint32_t count)
{
  struct snipe_txn txn;
  uint64_t version = 0;
  int rc = snipe_txn_init (&txn);

  if (rc != SNIPE_OK)
    return rc;
  rc = build_txn (&txn, changes, count);
  if (rc == SNIPE_OK && json_array_size (txn.puts) > 0)
    {
      p->quota_next = snipe_clock_now () + WRITE_INTERVAL;
      rc = snipe_txn_run (&version, NULL, &txn, &p->watch_http,
                          p->options.timeout);
      for (uint32_t i = 0; i < count; i++)
        settle (&changes[i], rc, version);
    }
  snipe_txn_clear (&txn);
  return rc == SNIPE_E_CONFLICT ? SNIPE_OK : rc;
}

static int
move_shares (struct snipe_platform *p, const struct snipe_team_demand *demands,
             uint32_t count)
{
  struct change *changes = g_new0 (struct change, count + 1);
  int rc = SNIPE_OK;

  for (uint32_t i = 0; i < count && rc == SNIPE_OK; i++)
    rc = plan (p, &demands[i], &changes[i]);
  /* Lower shares are in force here before the table gives them away. */
  announce (p);
  if (rc == SNIPE_OK)
    rc = keep_all_running (p, changes, count);
  if (rc == SNIPE_OK)
    rc = write_changes (p, changes, count);
  announce (p);
  for (uint32_t i = 0; i < count; i++)
    snipe_share_row_clear (&changes[i].row);
  g_free (changes);
  return rc;
}

/* @return whether a team has tasks that wait for more than its share. */
static bool
is_short (const struct snipe_platform *p, const struct snipe_team_demand *list,
          uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      const struct snipe_quota_team *team
          = g_hash_table_lookup (p->quotas, snipe_str_c (&list[i].team));

      if (team != NULL && list[i].queued > 0
          && list[i].running >= usable (team))
        return true;
    }
  return false;
}

int
snipe_quota_round (struct snipe_platform *platform)
{
  struct snipe_team_demand *demands;
  uint32_t count;
  snipe_time start = snipe_clock_now ();
  int rc = SNIPE_OK;

  /* Without a valid lease a share read now could be taken back any time. */
  if (start >= platform->valid_until || start < platform->quota_next)
    return SNIPE_OK;
  get_demands (platform, &demands, &count);
  sync_teams (platform, demands, count);
  if (count > 0)
    {
      rc = read_leases (platform);
      if (rc == SNIPE_OK && !snipe_platform_stopping (platform))
        rc = read_rows (platform);
      if (rc == SNIPE_OK && !snipe_platform_stopping (platform))
        {
          g_hash_table_foreach_remove (platform->leases, lease_is_stale,
                                       &start);
          rc = move_shares (platform, demands, count);
        }
      if (rc != SNIPE_OK)
        {
          use_confirmed (platform, demands, count);
          announce (platform);
        }
    }
  platform->quota_short = is_short (platform, demands, count);
  free_demands (demands, count);
  return rc;
}
