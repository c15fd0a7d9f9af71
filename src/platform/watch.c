#include <stdlib.h>
#include <string.h>

#include "platform/internal.h"
#include "snipe/status.h"

/* With more live entry hosts the lists are read at every other poll only. */
#define LARGE_FLEET_HOSTS 16
/* A round ends after this many failures, so that a slow platform delays the
 * next lease renewal and the next read of the rules by a bounded time. */
#define ROUND_FAILURES_MAX 2
/* Between two quota rounds that waiting tasks request. Also limits the reads
 * that such requests add. */
#define REQUESTED_ROUND_INTERVAL SNIPE_S

static const char *
text_field (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text == NULL ? "" : text;
}

static uint32_t
u32_field (const json_t *object, const char *name)
{
  json_int_t value = json_integer_value (json_object_get (object, name));

  if (value < 0)
    return 0;
  return value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

static int
copy_field (struct snipe_str *out, const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);

  return snipe_str_set (out, text_field (object, name),
                        json_string_length (value));
}

int
snipe_watch_register (struct snipe_platform *platform,
                      struct snipe_platform_http *http, bool leaving,
                      snipe_time timeout)
{
  const struct snipe_entry_info *self = &platform->options.self;
  struct snipe_txn txn;
  int rc = snipe_txn_init (&txn);

  if (rc == SNIPE_OK)
    rc = snipe_txn_put (
        &txn, platform->entry_key,
        json_pack ("{s:s, s:s, s:s, s:s, s:s, s:f, s:s}", "name",
                   snipe_str_c (&self->name), "rpc", snipe_str_c (&self->rpc),
                   "http", snipe_str_c (&self->http), "domain",
                   snipe_str_c (&self->domain), "region",
                   snipe_str_c (&self->region), "size", self->capacity_weight,
                   "state", leaving ? "leaving" : "live"));
  if (rc == SNIPE_OK)
    rc = snipe_txn_run (NULL, NULL, &txn, http, timeout);
  snipe_txn_clear (&txn);
  return rc;
}

static int
step_register (struct snipe_platform *p)
{
  bool leaving;
  int rc;

  pthread_mutex_lock (&p->lock);
  leaving = p->leaving;
  pthread_mutex_unlock (&p->lock);
  if (p->registered && p->registered_leaving == leaving)
    return SNIPE_OK;
  rc = snipe_watch_register (p, &p->watch_http, leaving, p->options.timeout);
  if (rc == SNIPE_OK)
    {
      p->registered = true;
      p->registered_leaving = leaving;
    }
  return rc;
}

static int
apply_rules (struct snipe_platform *p, const json_t *row)
{
  struct snipe_str text = SNIPE_STR_INIT;
  const json_t *number = json_object_get (row, "version");
  const json_t *value
      = json_object_get (json_object_get (row, "value"), "text");
  uint64_t version = (uint64_t)json_integer_value (number);
  int rc;

  if (!json_is_integer (number) || !json_is_string (value))
    return snipe_status_set (SNIPE_E_PLATFORM,
                             "row 'rules' has no version or no text");
  if (version <= p->rules_version)
    return SNIPE_OK;
  rc = snipe_str_set (&text, json_string_value (value),
                      json_string_length (value));
  if (rc == SNIPE_OK)
    {
      p->rules_version = version;
      if (p->callbacks.rules != NULL)
        p->callbacks.rules (p->options.ctx, version, &text);
    }
  snipe_str_clear (&text);
  return rc;
}

/* Reads the rules as a range, which omits a text that is unchanged. */
static int
step_rules (struct snipe_platform *p)
{
  const struct snipe_range range
      = { .prefix = "rules", .since = p->rules_version };
  json_t *rows;
  json_t *row;
  size_t i;
  int rc = snipe_range_read (&rows, NULL, &p->watch_http, &range,
                             p->options.timeout);

  json_array_foreach (rows, i, row)
  {
    if (rc == SNIPE_OK && strcmp (text_field (row, "key"), "rules") == 0)
      rc = apply_rules (p, row);
  }
  json_decref (rows);
  return rc;
}

static void
clear_endpoint (struct snipe_endpoint_info *info)
{
  snipe_str_clear (&info->name);
  snipe_str_clear (&info->address);
  snipe_str_clear (&info->domain);
  snipe_str_clear (&info->region);
  snipe_str_clear (&info->rack);
}

static int
parse_endpoint (struct snipe_endpoint_info *info, const json_t *host)
{
  int rc = copy_field (&info->name, host, "name");

  if (rc == SNIPE_OK)
    rc = copy_field (&info->address, host, "address");
  if (rc == SNIPE_OK)
    rc = copy_field (&info->domain, host, "domain");
  if (rc == SNIPE_OK)
    rc = copy_field (&info->region, host, "region");
  if (rc == SNIPE_OK)
    rc = copy_field (&info->rack, host, "rack");
  info->slots = u32_field (host, "slots");
  info->connections = u32_field (host, "connections");
  info->cores = u32_field (host, "cores");
  info->mem_mb = u32_field (host, "mem_mb");
  info->accel = u32_field (host, "accel");
  info->draining = strcmp (text_field (host, "state"), "leaving") == 0;
  return rc;
}

static int
report_endpoints (const struct snipe_platform *p, const json_t *hosts)
{
  struct snipe_endpoint_info *list
      = calloc (json_array_size (hosts) + 1, sizeof *list);
  uint32_t count = 0;
  int rc = SNIPE_OK;
  size_t i;
  json_t *host;

  if (list == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for the list of endpoints");
  json_array_foreach (hosts, i, host)
  {
    if (rc == SNIPE_OK && strcmp (text_field (host, "role"), "endpoint") == 0
        && text_field (host, "name")[0] != '\0')
      rc = parse_endpoint (&list[count++], host);
  }
  if (rc == SNIPE_OK && p->callbacks.endpoints != NULL)
    p->callbacks.endpoints (p->options.ctx, list, count);
  for (uint32_t k = 0; k < count; k++)
    clear_endpoint (&list[k]);
  free (list);
  return rc;
}

static int
step_hosts (struct snipe_platform *p, bool *changed)
{
  struct snipe_platform_http_call call
      = { .method = "GET", .path = "/hosts", .timeout = p->options.timeout };
  json_t *reply;
  json_t *hosts;
  int rc;

  if (p->hosts != NULL && p->hosts_etag[0] != '\0')
    call.etag = p->hosts_etag;
  rc = snipe_platform_http_json (&reply, &p->watch_http, &call);
  if (rc != SNIPE_OK || p->watch_http.reply.status == 304)
    return rc;
  hosts = json_object_get (reply, "hosts");
  if (!json_is_array (hosts))
    rc = snipe_status_set (SNIPE_E_PLATFORM,
                           "reply to a read of hosts has no list");
  else if (p->hosts == NULL || !json_equal (p->hosts, hosts))
    rc = report_endpoints (p, hosts);
  if (rc == SNIPE_OK && !json_equal (p->hosts, hosts))
    {
      json_decref (p->hosts);
      p->hosts = json_incref (hosts);
      *changed = true;
    }
  if (rc == SNIPE_OK)
    g_strlcpy (p->hosts_etag, p->watch_http.reply.etag, sizeof p->hosts_etag);
  json_decref (reply);
  return rc;
}

static bool
names_entry_hosts (const json_t *hosts)
{
  size_t i;
  json_t *host;

  json_array_foreach (hosts, i, host)
  {
    if (strcmp (text_field (host, "role"), "entry") == 0)
      return true;
  }
  return false;
}

static bool
is_listed_live (const json_t *hosts, const char *name)
{
  size_t i;
  json_t *host;

  json_array_foreach (hosts, i, host)
  {
    if (strcmp (text_field (host, "role"), "entry") == 0
        && strcmp (text_field (host, "name"), name) == 0)
      return strcmp (text_field (host, "state"), "live") == 0;
  }
  return false;
}

static void
clear_entry (struct snipe_entry_info *info)
{
  snipe_str_clear (&info->name);
  snipe_str_clear (&info->rpc);
  snipe_str_clear (&info->http);
  snipe_str_clear (&info->domain);
  snipe_str_clear (&info->region);
}

static int
parse_entry (struct snipe_entry_info *info, const json_t *hosts,
             uint64_t incarnation, const json_t *value)
{
  double size = json_number_value (json_object_get (value, "size"));
  int rc = copy_field (&info->name, value, "name");

  if (rc == SNIPE_OK)
    rc = copy_field (&info->rpc, value, "rpc");
  if (rc == SNIPE_OK)
    rc = copy_field (&info->http, value, "http");
  if (rc == SNIPE_OK)
    rc = copy_field (&info->domain, value, "domain");
  if (rc == SNIPE_OK)
    rc = copy_field (&info->region, value, "region");
  info->incarnation = incarnation;
  info->capacity_weight = size > 0 ? size : 1;
  info->leaving = strcmp (text_field (value, "state"), "leaving") == 0;
  info->listed = is_listed_live (hosts, text_field (value, "name"));
  return rc;
}

static int
report_entries (struct snipe_platform *p)
{
  struct snipe_entry_info *list
      = calloc (json_array_size (p->entries) + 1, sizeof *list);
  uint32_t count = 0;
  uint32_t live = 0;
  /* A list that names no entry host is not used to count the live ones, or
   * shares would be sized as if this host were the only one. */
  bool list_has_entries = names_entry_hosts (p->hosts);
  int rc = SNIPE_OK;
  size_t i;
  json_t *row;

  if (list == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for the list of entry hosts");
  json_array_foreach (p->entries, i, row)
  {
    uint64_t incarnation;

    if (rc != SNIPE_OK
        || !snipe_row_parse_incarnation (&incarnation, row, "entry/"))
      continue;
    rc = parse_entry (&list[count], p->hosts, incarnation,
                      json_object_get (row, "value"));
    live += (list[count].listed || !list_has_entries) && !list[count].leaving
                ? 1
                : 0;
    count++;
  }
  if (rc == SNIPE_OK)
    {
      __atomic_store_n (&p->live_host_count, live > 0 ? live : 1,
                        __ATOMIC_RELAXED);
      if (p->callbacks.entries != NULL)
        p->callbacks.entries (p->options.ctx, list, count);
    }
  for (uint32_t k = 0; k < count; k++)
    clear_entry (&list[k]);
  free (list);
  return rc;
}

static bool
has_key (const json_t *rows, const char *key)
{
  size_t i;
  json_t *row;

  json_array_foreach (rows, i, row)
  {
    if (strcmp (text_field (row, "key"), key) == 0)
      return true;
  }
  return false;
}

/* Inserts a row into a list in key order, or replaces the row of that key. */
static void
merge_row (json_t *rows, json_t *row)
{
  const char *key = text_field (row, "key");
  size_t i = 0;
  int order = 1;

  while (
      i < json_array_size (rows)
      && (order = strcmp (key, text_field (json_array_get (rows, i), "key")))
             > 0)
    i++;
  if (order == 0)
    json_array_set (rows, i, row);
  else
    json_array_insert (rows, i, row);
}

/* Updates the entry rows. @p changed is set to whether they differ from
 * before. */
static int
read_entries (struct snipe_platform *p, bool *changed)
{
  json_t *rows;
  json_t *row;
  size_t i;
  bool full_read;
  int rc;

  if (p->entries == NULL || p->poll_count % SNIPE_FULL_READ_POLLS == 0)
    p->entries_version = 0;
  full_read = p->entries_version == 0;
  rc = snipe_range_read_changes (&rows, &p->entries_version, &p->watch_http,
                                 "entry/", p->options.timeout);
  if (rc != SNIPE_OK)
    return rc;
  if (full_read)
    {
      *changed = !json_equal (p->entries, rows);
      json_decref (p->entries);
      p->entries = rows;
      return SNIPE_OK;
    }
  *changed = json_array_size (rows) > 0;
  json_array_foreach (rows, i, row) { merge_row (p->entries, row); }
  json_decref (rows);
  return SNIPE_OK;
}

/* Entries are reported only once a list of hosts has been read: without one
 * every peer would be reported as unlisted. */
static int
step_entries (struct snipe_platform *p, bool hosts_changed)
{
  bool changed = false;
  int rc = read_entries (p, &changed);

  if (rc != SNIPE_OK)
    return rc;
  if (!has_key (p->entries, p->entry_key))
    p->registered = false;
  if ((hosts_changed || changed) && p->hosts != NULL)
    rc = report_entries (p);
  if (rc != SNIPE_OK)
    {
      /* Makes the next poll read and report all entries again. */
      json_decref (p->entries);
      p->entries = NULL;
    }
  return rc;
}

enum step
{
  STEP_RENEW_LEASE,
  STEP_REGISTER,
  STEP_RULES,
  STEP_HOSTS,
  STEP_ENTRIES,
  STEP_REGISTER_AGAIN,
  STEP_QUOTA,
  STEP_SWEEP,
  STEP_COUNT
};

/* @return whether this poll reads the lists of hosts and entries. In a large
 * fleet only every other poll does, which halves the traffic; two polls stay
 * within the bound for noticing leaving endpoints (list lag plus 2 s). */
static bool
lists_due (const struct snipe_platform *p)
{
  return p->live_host_count <= LARGE_FLEET_HOSTS || p->hosts == NULL
         || p->entries == NULL || p->hosts_changed || p->poll_count % 2 == 0;
}

static int
run_step (struct snipe_platform *p, enum step step, snipe_time now)
{
  int rc;

  switch (step)
    {
    case STEP_RENEW_LEASE:
      return snipe_lease_renew (p, now);
    case STEP_REGISTER:
    case STEP_REGISTER_AGAIN:
      return step_register (p);
    case STEP_RULES:
      return step_rules (p);
    case STEP_HOSTS:
      return lists_due (p) ? step_hosts (p, &p->hosts_changed) : SNIPE_OK;
    case STEP_ENTRIES:
      if (!lists_due (p))
        return SNIPE_OK;
      rc = step_entries (p, p->hosts_changed);
      p->hosts_changed = p->hosts_changed && rc != SNIPE_OK;
      return rc;
    case STEP_QUOTA:
      return p->poll_count % 2 == 0 || p->tasks_await_quota
                 ? snipe_quota_round (p)
                 : SNIPE_OK;
    case STEP_SWEEP:
      return snipe_sweep (p, now, snipe_clock_wall_ms ());
    default:
      return SNIPE_OK;
    }
}

static void
run_round (struct snipe_platform *p)
{
  uint32_t failures = 0;

  for (int step = 0; step < STEP_COUNT; step++)
    {
      if (snipe_platform_stopping (p) || failures >= ROUND_FAILURES_MAX)
        break;
      if (run_step (p, (enum step)step, snipe_clock_now ()) != SNIPE_OK)
        {
          failures++;
          if (!p->last_round_failed)
            g_warning ("platform poll failed: %s", snipe_status_last ());
        }
    }
  p->last_round_failed = failures > 0;
}

void
snipe_platform_quota_request (struct snipe_platform *platform)
{
  pthread_mutex_lock (&platform->lock);
  if (!platform->quota_requested)
    {
      platform->quota_requested = true;
      pthread_cond_broadcast (&platform->watch_cond);
    }
  pthread_mutex_unlock (&platform->lock);
}

/* Waits until @p next, with platform->lock held. A requested quota round runs
 * in between, as soon as its minimum interval has passed. */
static void
wait_for_round (struct snipe_platform *p, snipe_time next)
{
  snipe_time now;

  while (!p->stop && (now = snipe_clock_now ()) < next)
    {
      snipe_time until = next;

      if (p->quota_requested)
        until = MIN (until,
                     MAX (p->quota_request_next_at, p->quota_round_next_at));
      if (now < until)
        {
          snipe_platform_wait (p, &p->watch_cond, until - now);
          continue;
        }
      p->quota_requested = false;
      p->quota_request_next_at = now + REQUESTED_ROUND_INTERVAL;
      pthread_mutex_unlock (&p->lock);
      pthread_mutex_lock (&p->round_lock);
      /* A lasting failure is logged by the next regular round. */
      if (!snipe_platform_stopping (p))
        snipe_quota_round (p);
      pthread_mutex_unlock (&p->round_lock);
      pthread_mutex_lock (&p->lock);
    }
}

void *
snipe_watch_main (void *arg)
{
  struct snipe_platform *p = arg;

  pthread_mutex_lock (&p->lock);
  while (!p->stop)
    {
      snipe_time next = snipe_clock_now () + p->options.poll_interval;

      pthread_mutex_unlock (&p->lock);
      pthread_mutex_lock (&p->round_lock);
      run_round (p);
      p->poll_count++;
      pthread_mutex_unlock (&p->round_lock);
      pthread_mutex_lock (&p->lock);
      wait_for_round (p, next);
    }
  pthread_mutex_unlock (&p->lock);
  return NULL;
}
