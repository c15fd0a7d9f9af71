#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "platform/internal.h"
#include "snipe/status.h"

/* Idle connections that are kept for blocking calls. */
#define IDLE_HTTP_MAX 4
/* Between two attempts to take a lock. */
#define LOCK_RETRY_INTERVAL (2 * SNIPE_MS)

void
snipe_incarnation_format (char out[SNIPE_INCARNATION_TEXT_BYTES],
                          uint64_t incarnation)
{
  g_snprintf (out, SNIPE_INCARNATION_TEXT_BYTES, "%016" G_GINT64_MODIFIER "x",
              incarnation);
}

int
snipe_incarnation_parse (uint64_t *out, const char *text)
{
  if (strlen (text) != 16 || strspn (text, "0123456789abcdef") != 16)
    return snipe_status_set (SNIPE_E_INVALID, "'%.40s' is not an incarnation",
                             text);
  *out = strtoull (text, NULL, 16);
  return SNIPE_OK;
}

bool
snipe_row_parse_incarnation (uint64_t *out, const json_t *row,
                             const char *prefix)
{
  const char *key = json_string_value (json_object_get (row, "key"));

  return key != NULL && g_str_has_prefix (key, prefix)
         && snipe_incarnation_parse (out, key + strlen (prefix)) == SNIPE_OK;
}

bool
snipe_platform_stopping (struct snipe_platform *platform)
{
  bool stopping;

  pthread_mutex_lock (&platform->lock);
  stopping = platform->stop || platform->deregistered;
  pthread_mutex_unlock (&platform->lock);
  return stopping;
}

void
snipe_platform_wait (struct snipe_platform *platform, pthread_cond_t *cond,
                     snipe_time wait)
{
  struct timespec until;

  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += wait / SNIPE_S;
  until.tv_nsec += (wait % SNIPE_S) * 1000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  pthread_cond_timedwait (cond, &platform->lock, &until);
}

struct snipe_platform_http *
snipe_platform_http_acquire (struct snipe_platform *platform)
{
  struct snipe_platform_http *http;

  pthread_mutex_lock (&platform->idle_http_lock);
  http = g_queue_pop_head (&platform->idle_http);
  pthread_mutex_unlock (&platform->idle_http_lock);
  if (http != NULL)
    return http;
  http = g_new0 (struct snipe_platform_http, 1);
  if (snipe_platform_http_init (http, platform->url, platform->host)
      == SNIPE_OK)
    return http;
  g_free (http);
  return NULL;
}

static void
http_free (gpointer item)
{
  struct snipe_platform_http *http = item;

  snipe_platform_http_clear (http);
  g_free (http);
}

void
snipe_platform_http_release (struct snipe_platform *platform,
                             struct snipe_platform_http *http)
{
  if (http == NULL)
    return;
  pthread_mutex_lock (&platform->idle_http_lock);
  if (g_queue_get_length (&platform->idle_http) < IDLE_HTTP_MAX)
    {
      g_queue_push_head (&platform->idle_http, http);
      http = NULL;
    }
  pthread_mutex_unlock (&platform->idle_http_lock);
  if (http != NULL)
    http_free (http);
}

int
snipe_platform_status_map (int rc)
{
  switch (rc)
    {
    case SNIPE_E_UNREACHABLE:
    case SNIPE_E_TIMEOUT:
      return SNIPE_E_PLATFORM;
    default:
      return rc;
    }
}

static void
global_init (void)
{
  /* In some builds of jansson, seeding at first use is not thread-safe. */
  json_object_seed (0);
}

static void
cond_init (pthread_cond_t *cond)
{
  pthread_condattr_t attr;

  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (cond, &attr);
  pthread_condattr_destroy (&attr);
}

static int
copy_entry (struct snipe_entry_info *out, const struct snipe_entry_info *in)
{
  const struct snipe_str *from[]
      = { &in->name, &in->rpc, &in->http, &in->domain, &in->region };
  struct snipe_str *to[]
      = { &out->name, &out->rpc, &out->http, &out->domain, &out->region };
  int rc = SNIPE_OK;

  for (size_t i = 0; i < G_N_ELEMENTS (from) && rc == SNIPE_OK; i++)
    {
      to[i]->data = NULL;
      rc = snipe_str_set (to[i], from[i]->data, from[i]->len);
    }
  return rc;
}

static int
check_options (const struct snipe_platform_options *options)
{
  if (options->version != SNIPE_PLATFORM_OPTIONS_VERSION)
    return snipe_status_set (SNIPE_E_INVALID,
                             "platform options have version %u, not %d",
                             options->version, SNIPE_PLATFORM_OPTIONS_VERSION);
  if (options->url == NULL || options->host == NULL
      || options->callbacks == NULL)
    return snipe_status_set (SNIPE_E_INVALID,
                             "platform options lack url, host or callbacks");
  if (options->timeout <= 0 || options->poll_interval <= 0
      || options->claim_interval <= 0 || options->lease_duration <= 0)
    return snipe_status_set (SNIPE_E_INVALID,
                             "platform options have a duration of 0 or less");
  return SNIPE_OK;
}

static int
init (struct snipe_platform *p, const struct snipe_platform_options *options)
{
  int rc;

  pthread_mutex_init (&p->lock, NULL);
  pthread_mutex_init (&p->idle_http_lock, NULL);
  pthread_mutex_init (&p->round_lock, NULL);
  cond_init (&p->claim_cond);
  cond_init (&p->watch_cond);
  g_queue_init (&p->claims);
  g_queue_init (&p->idle_http);
  p->quota_leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  p->lease_versions
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  p->sweep_leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  p->quotas = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                     snipe_quota_team_free);
  p->url = g_strdup (options->url);
  p->host = g_strdup (options->host);
  p->callbacks = *options->callbacks;
  p->options = *options;
  p->options.url = p->url;
  p->options.host = p->host;
  p->options.callbacks = &p->callbacks;
  p->live_host_count = 1;
  /* All strings of self are cleared first, so that after a failed copy none
   * still belongs to the caller. */
  memset (&p->options.self, 0, sizeof p->options.self);
  p->options.self.incarnation = options->self.incarnation;
  p->options.self.capacity_weight = options->self.capacity_weight;
  p->leaving = options->self.leaving;
  snipe_incarnation_format (p->incarnation_text, options->self.incarnation);
  p->entry_key = g_strconcat ("entry/", p->incarnation_text, NULL);
  p->lease_key = g_strconcat ("lease/", p->incarnation_text, NULL);
  rc = copy_entry (&p->options.self, &options->self);
  if (rc == SNIPE_OK)
    rc = snipe_platform_http_init (&p->claim_http, p->url, p->host);
  if (rc == SNIPE_OK)
    rc = snipe_platform_http_init (&p->watch_http, p->url, p->host);
  return rc;
}

static void
destroy (struct snipe_platform *p)
{
  struct snipe_entry_info *self = &p->options.self;

  snipe_platform_http_clear (&p->claim_http);
  snipe_platform_http_clear (&p->watch_http);
  g_queue_clear_full (&p->idle_http, http_free);
  json_decref (p->hosts);
  json_decref (p->entries);
  g_hash_table_unref (p->quota_leases);
  g_hash_table_unref (p->lease_versions);
  g_hash_table_unref (p->sweep_leases);
  g_hash_table_unref (p->quotas);
  snipe_str_clear (&self->name);
  snipe_str_clear (&self->rpc);
  snipe_str_clear (&self->http);
  snipe_str_clear (&self->domain);
  snipe_str_clear (&self->region);
  g_free (p->entry_key);
  g_free (p->lease_key);
  g_free (p->url);
  g_free (p->host);
  pthread_cond_destroy (&p->claim_cond);
  pthread_cond_destroy (&p->watch_cond);
  pthread_mutex_destroy (&p->lock);
  pthread_mutex_destroy (&p->idle_http_lock);
  pthread_mutex_destroy (&p->round_lock);
  free (p);
}

static void
stop_threads (struct snipe_platform *p, bool watch)
{
  pthread_mutex_lock (&p->lock);
  p->stop = true;
  pthread_cond_broadcast (&p->claim_cond);
  pthread_cond_broadcast (&p->watch_cond);
  pthread_mutex_unlock (&p->lock);
  pthread_join (p->claim_thread, NULL);
  if (watch)
    pthread_join (p->watch_thread, NULL);
}

int
snipe_platform_new (struct snipe_platform **out,
                    const struct snipe_platform_options *options)
{
  static pthread_once_t once = PTHREAD_ONCE_INIT;
  struct snipe_platform *p;
  int rc = check_options (options);

  *out = NULL;
  if (rc != SNIPE_OK)
    return rc;
  pthread_once (&once, global_init);
  p = calloc (1, sizeof *p);
  if (p == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for the platform client");
  rc = init (p, options);
  if (rc != SNIPE_OK)
    goto on_error;
  if (pthread_create (&p->claim_thread, NULL, snipe_claim_main, p) != 0)
    {
      rc = snipe_status_set (SNIPE_E_INTERNAL,
                             "cannot start the platform's claim thread");
      goto on_error;
    }
  if (pthread_create (&p->watch_thread, NULL, snipe_watch_main, p) != 0)
    {
      rc = snipe_status_set (SNIPE_E_INTERNAL,
                             "cannot start the platform's watch thread");
      stop_threads (p, false);
      goto on_error;
    }
  *out = p;
  return SNIPE_OK;
on_error:
  destroy (p);
  return rc;
}

void
snipe_platform_free (struct snipe_platform *platform)
{
  if (platform == NULL)
    return;
  stop_threads (platform, true);
  destroy (platform);
}

/* Waits until the watch thread's call has ended. Polls the lock, because
 * pthread_mutex_timedlock () uses a clock that may jump, and ThreadSanitizer
 * in GCC 12 does not support pthread_mutex_clocklock (). */
static bool
lock_round (struct snipe_platform *platform, snipe_time deadline)
{
  while (pthread_mutex_trylock (&platform->round_lock) != 0)
    {
      if (snipe_clock_now () >= deadline)
        return false;
      g_usleep (LOCK_RETRY_INTERVAL);
    }
  return true;
}

int
snipe_platform_leave (struct snipe_platform *platform, bool deregister)
{
  snipe_time deadline = snipe_clock_now () + 2 * platform->options.timeout;
  struct snipe_platform_http *http;
  int rc;

  pthread_mutex_lock (&platform->lock);
  platform->leaving = true;
  platform->deregistered = platform->deregistered || deregister;
  pthread_mutex_unlock (&platform->lock);
  http = snipe_platform_http_acquire (platform);
  if (http == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for a platform connection");
  if (!deregister)
    {
      rc = snipe_watch_register (platform, http, true,
                                 platform->options.timeout);
      goto cleanup;
    }
  /* The watch thread checks "deregistered" before each call, so once this
   * lock is held no other thread changes this host's rows. */
  if (!lock_round (platform, deadline))
    {
      rc = snipe_status_set (SNIPE_E_TIMEOUT,
                             "a call of the watch thread is still pending");
      goto cleanup;
    }
  rc = snipe_quota_release (platform, http, deadline);
  pthread_mutex_unlock (&platform->round_lock);
cleanup:
  snipe_platform_http_release (platform, http);
  return snipe_platform_status_map (rc);
}
