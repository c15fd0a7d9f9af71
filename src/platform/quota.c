#include <stdlib.h>
#include <string.h>

#include "platform/internal.h"
#include "snipe/status.h"

/* Between two transactions of this host that change shares. */
#define WRITE_INTERVAL SNIPE_S

/** Change of a team's quota row that a round plans. */
struct row_change
{
  struct snipe_quota_team *team;
  struct snipe_share_row row;
  uint32_t target_share;
  uint32_t held_share;
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
  if (p->callbacks.demands != NULL)
    p->callbacks.demands (p->options.ctx, list, count);
}

/* Slots that the team may use at this host now. */
static uint32_t
usable_share (const struct snipe_quota_team *team)
{
  uint32_t share = MIN (team->confirmed_share, team->target_share);

  return team->write_pending ? MIN (share, team->pending_held) : share;
}

static void
report_shares (struct snipe_platform *p)
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
      list[count].share = usable_share (team);
      count++;
    }
  if (p->callbacks.shares != NULL && count > 0)
    p->callbacks.shares (p->options.ctx, list, count, p->valid_until);
  g_free (list);
}

/* After this host's lease has expired, others may have reclaimed its shares,
 * so none counts until the table has been read again. */
static void
reset_confirmed_shares (struct snipe_platform *p)
{
  GHashTableIter iter;
  gpointer item;

  p->entries_version = 0;
  p->leases_version = 0;
  p->quotas_version = 0;
  g_hash_table_iter_init (&iter, p->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    ((struct snipe_quota_team *)item)->confirmed_share = 0;
}

int
snipe_lease_renew (struct snipe_platform *platform, snipe_time now)
{
  struct snipe_txn txn;
  int rc;

  if (platform->lease_renewed
      && now - platform->lease_sent_at < platform->options.lease_duration / 6)
    return SNIPE_OK;
  platform->lease_renewed = false;
  rc = snipe_txn_init (&txn);
  if (rc == SNIPE_OK)
    rc = snipe_txn_put (
        &txn, platform->lease_key,
        json_pack ("{s:I}", "n", (json_int_t)++platform->renewal_count));
  if (rc == SNIPE_OK)
    rc = snipe_txn_run (NULL, NULL, &txn, &platform->watch_http,
                        platform->options.timeout);
  snipe_txn_clear (&txn);
  if (rc != SNIPE_OK)
    return rc;
  if (snipe_clock_now () >= platform->valid_until)
    reset_confirmed_shares (platform);
  platform->lease_renewed = true;
  platform->lease_sent_at = now;
  platform->valid_until = now + platform->options.lease_duration;
  report_shares (platform);
  return SNIPE_OK;
}

static bool
is_reclaimable (void *ctx, uint64_t incarnation)
{
  struct snipe_platform *p = ctx;

  return snipe_lease_expired (p->quota_leases, incarnation,
                              p->options.lease_duration
                                  + p->options.task_duration_max);
}

/* Updates lease_versions. */
static int
read_lease_changes (struct snipe_platform *p, snipe_time sent)
{
  json_t *rows;
  json_t *row;
  size_t i;
  bool full_read;
  int rc;

  if (sent >= p->leases_full_read_at)
    p->leases_version = 0;
  full_read = p->leases_version == 0;
  rc = snipe_range_read_changes (&rows, &p->leases_version, &p->watch_http,
                                 "lease/", p->options.timeout);
  if (rc != SNIPE_OK)
    return rc;
  if (full_read)
    {
      g_hash_table_remove_all (p->lease_versions);
      p->leases_full_read_at
          = sent + SNIPE_FULL_READ_POLLS * p->options.poll_interval;
    }
  json_array_foreach (rows, i, row)
  {
    uint64_t version
        = (uint64_t)json_integer_value (json_object_get (row, "version"));
    uint64_t incarnation;

    if (snipe_row_parse_incarnation (&incarnation, row, "lease/"))
      g_hash_table_replace (p->lease_versions,
                            g_memdup2 (&incarnation, sizeof incarnation),
                            g_memdup2 (&version, sizeof version));
  }
  json_decref (rows);
  return SNIPE_OK;
}

/* Records the versions of all leases. A lease that a read of changes omits has
 * not been renewed; if it was deleted, the next full read shows that. */
static int
read_leases (struct snipe_platform *p)
{
  snipe_time sent = snipe_clock_now ();
  snipe_time now;
  GHashTableIter iter;
  gpointer key;
  gpointer version;
  int rc = read_lease_changes (p, sent);

  if (rc != SNIPE_OK)
    return rc;
  now = snipe_clock_now ();
  g_hash_table_iter_init (&iter, p->lease_versions);
  while (g_hash_table_iter_next (&iter, &key, &version))
    snipe_lease_observe (p->quota_leases, *(const uint64_t *)key,
                         *(const uint64_t *)version, sent, now);
  if (!g_hash_table_contains (p->lease_versions, &p->options.self.incarnation))
    p->lease_renewed = false;
  return SNIPE_OK;
}

/* Records that holders have no lease row. The wait until their shares are
 * reclaimable starts with the first such read. */
static void
observe_missing_leases (struct snipe_platform *p,
                        const struct snipe_share_row *row, snipe_time sent,
                        snipe_time now)
{
  for (uint32_t i = 0; i < row->count; i++)
    if (!g_hash_table_contains (p->lease_versions,
                                &row->entries[i].incarnation))
      snipe_lease_observe (p->quota_leases, row->entries[i].incarnation, 0,
                           sent, now);
}

static gboolean
lease_is_unused (gpointer key, gpointer value, gpointer ctx)
{
  const struct snipe_lease_observation *seen = value;

  (void)key;
  /* Missing in this round's reads of leases, and holder of no share. */
  return seen->last_read_sent_at < *(const snipe_time *)ctx;
}

/* While the platform is unreachable no share can be given back, so the whole
 * confirmed share may be used, up to the present limit. */
static void
raise_targets (struct snipe_platform *p, const struct snipe_team_demand *list,
               uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      struct snipe_quota_team *team
          = g_hash_table_lookup (p->quotas, snipe_str_c (&list[i].team));

      if (team != NULL)
        team->target_share = list[i].limit;
    }
}

/* Makes the teams in quotas those of the demands. */
static void
sync_teams (struct snipe_platform *p, const struct snipe_team_demand *list,
            uint32_t count)
{
  GHashTable *demanded = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer key;

  for (uint32_t i = 0; i < count; i++)
    {
      const char *name = snipe_str_c (&list[i].team);

      g_hash_table_add (demanded, (gpointer)name);
      if (!g_hash_table_contains (p->quotas, name))
        {
          struct snipe_quota_team *team = g_new0 (struct snipe_quota_team, 1);

          snipe_str_set_c (&team->team, name);
          team->target_share = list[i].limit;
          g_hash_table_insert (p->quotas, team->team.data, team);
          /* A read of changes would omit its row if that is unchanged. */
          p->quotas_version = 0;
        }
    }
  g_hash_table_iter_init (&iter, p->quotas);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (demanded, key))
      g_hash_table_iter_remove (&iter);
  g_hash_table_unref (demanded);
}

/* Sets the confirmed share from the team's row as read from the table. */
static void
confirm_row (struct snipe_quota_team *team, uint64_t version, uint64_t self)
{
  /* The pending write was conditional on a version that the row no longer
   * has: it has taken effect already, or never will. */
  if (team->write_pending && version != team->pending_if_version)
    team->write_pending = false;
  team->version = version;
  team->confirmed_share
      = team->row_valid ? snipe_share_held (&team->row, self) : 0;
}

/* Applies one row as read. @return its team, NULL if it has no limit. */
static struct snipe_quota_team *
apply_row (struct snipe_platform *p, const json_t *row)
{
  const char *key = json_string_value (json_object_get (row, "key"));
  json_int_t version = json_integer_value (json_object_get (row, "version"));
  struct snipe_quota_team *team = NULL;

  if (key != NULL && g_str_has_prefix (key, "quota/"))
    team = g_hash_table_lookup (p->quotas, key + strlen ("quota/"));
  if (team == NULL)
    return NULL;
  team->row_valid
      = snipe_quota_row_parse (&team->row, json_object_get (row, "value"))
        == SNIPE_OK;
  if (!team->row_valid)
    g_warning ("row %s is malformed: %s", key, snipe_status_last ());
  confirm_row (team, (uint64_t)version, p->options.self.incarnation);
  return team;
}

/* Updates the teams from their rows. Rows are never deleted, so a row that a
 * read of changes omits is unchanged. */
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
  bool full_read = p->quotas_version == 0;
  int rc = snipe_range_read_changes (&rows, &p->quotas_version, &p->watch_http,
                                     "quota/", p->options.timeout);

  now = snipe_clock_now ();
  json_array_foreach (rows, i, row)
  {
    struct snipe_quota_team *team = apply_row (p, row);

    if (team != NULL)
      g_hash_table_add (seen, team->team.data);
  }
  g_hash_table_iter_init (&iter, p->quotas);
  while (rc == SNIPE_OK && g_hash_table_iter_next (&iter, NULL, &item))
    {
      struct snipe_quota_team *team = item;

      if (full_read && !g_hash_table_contains (seen, team->team.data))
        {
          team->row.count = 0;
          team->row_valid = true;
          confirm_row (team, 0, p->options.self.incarnation);
        }
      observe_missing_leases (p, &team->row, sent, now);
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

/* Plans the change of one team's row. */
static int
plan_change (struct snipe_platform *p, const struct snipe_team_demand *demand,
             struct row_change *change)
{
  struct snipe_quota_team *team
      = g_hash_table_lookup (p->quotas, snipe_str_c (&demand->team));
  struct snipe_share_input input = { .self = p->options.self.incarnation,
                                     .limit = demand->limit,
                                     .running = demand->running,
                                     .queued = demand->queued,
                                     .hosts = p->live_host_count,
                                     .reclaimable = is_reclaimable,
                                     .ctx = p };
  int rc;

  change->team = team;
  if (team == NULL || !team->row_valid)
    return SNIPE_OK;
  rc = copy_row (&change->row, &team->row);
  if (rc == SNIPE_OK)
    rc = snipe_share_decide (&change->row, &input, &change->target_share);
  if (rc < 0)
    return rc;
  /* A write of unknown effect limits the share until the row's version
   * changes, so the row is written even if its content stays the same. */
  change->write = rc > 0 || team->write_pending;
  change->held_share = snipe_share_held (&change->row, input.self);
  team->target_share = change->target_share;
  return SNIPE_OK;
}

/* Keeps the slots of tasks that started after the demands were read and before
 * the lower share was reported. */
static int
keep_running (struct row_change *change, uint64_t self, uint32_t running)
{
  uint32_t keep = MIN (change->team->confirmed_share, running);
  struct snipe_share_entry entry
      = { .incarnation = self, .held = keep, .want = running };

  if (!change->write || change->held_share >= keep)
    return SNIPE_OK;
  for (uint32_t i = 0; i < change->row.count; i++)
    if (change->row.entries[i].incarnation == self)
      entry.want = change->row.entries[i].want;
  change->held_share = keep;
  return snipe_share_row_set (&change->row, &entry);
}

static int
keep_all_running (struct snipe_platform *p, struct row_change *changes,
                  uint32_t count)
{
  struct snipe_team_demand *demands;
  uint32_t demand_count;
  int rc = SNIPE_OK;

  get_demands (p, &demands, &demand_count);
  for (uint32_t i = 0; i < count && rc == SNIPE_OK; i++)
    {
      struct row_change *change = &changes[i];
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
      /* Without a demand the rule was removed; the next round plans again. */
      change->write = found;
    }
  free_demands (demands, demand_count);
  return rc;
}

static int
build_txn (struct snipe_txn *txn, const struct row_change *changes,
           uint32_t count)
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

/* Updates the confirmed share by the result of the transaction. */
static void
apply_write_result (struct row_change *change, int rc, uint64_t version)
{
  struct snipe_quota_team *team = change->team;
  struct snipe_share_row old;

  if (!change->write)
    return;
  if (rc == SNIPE_OK)
    {
      team->write_pending = false;
      team->version = version;
      team->confirmed_share = change->held_share;
      old = team->row;
      team->row = change->row;
      change->row = old;
      return;
    }
  /* The write had no effect, so the share in the table is unchanged. */
  if (rc == SNIPE_E_CONFLICT || rc == SNIPE_E_UNREACHABLE)
    return;
  team->pending_held = team->write_pending
                           ? MIN (team->pending_held, change->held_share)
                           : change->held_share;
  team->write_pending = true;
  team->pending_if_version = team->version;
}

static int
write_changes (struct snipe_platform *p, struct row_change *changes,
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
      p->quota_round_next_at = snipe_clock_now () + WRITE_INTERVAL;
      rc = snipe_txn_run (&version, NULL, &txn, &p->watch_http,
                          p->options.timeout);
      for (uint32_t i = 0; i < count; i++)
        apply_write_result (&changes[i], rc, version);
    }
  snipe_txn_clear (&txn);
  return rc == SNIPE_E_CONFLICT ? SNIPE_OK : rc;
}

static int
adjust_shares (struct snipe_platform *p,
               const struct snipe_team_demand *demands, uint32_t count)
{
  struct row_change *changes = g_new0 (struct row_change, count + 1);
  int rc = SNIPE_OK;

  for (uint32_t i = 0; i < count && rc == SNIPE_OK; i++)
    rc = plan_change (p, &demands[i], &changes[i]);
  /* Reduced shares apply at this host before the table lets others take the
   * slots. */
  report_shares (p);
  if (rc == SNIPE_OK)
    rc = keep_all_running (p, changes, count);
  if (rc == SNIPE_OK)
    rc = write_changes (p, changes, count);
  report_shares (p);
  for (uint32_t i = 0; i < count; i++)
    snipe_share_row_clear (&changes[i].row);
  g_free (changes);
  return rc;
}

/* @return whether a team has queued tasks and uses its whole share. */
static bool
tasks_exceed_shares (const struct snipe_platform *p,
                     const struct snipe_team_demand *list, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      const struct snipe_quota_team *team
          = g_hash_table_lookup (p->quotas, snipe_str_c (&list[i].team));

      if (team != NULL && list[i].queued > 0
          && list[i].running >= usable_share (team))
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

  /* Without a valid lease others could reclaim a share at any time. */
  if (start >= platform->valid_until || start < platform->quota_round_next_at)
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
          g_hash_table_foreach_remove (platform->quota_leases, lease_is_unused,
                                       &start);
          rc = adjust_shares (platform, demands, count);
        }
      if (rc != SNIPE_OK)
        {
          raise_targets (platform, demands, count);
          report_shares (platform);
        }
    }
  platform->tasks_await_quota = tasks_exceed_shares (platform, demands, count);
  free_demands (demands, count);
  return rc;
}
