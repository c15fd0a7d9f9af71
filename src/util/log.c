#include "util/log.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "snipe/clock.h"
#include "snipe/status.h"

/* Lines logged within this time are written together, because a system call
 * per line cost more than the line itself. */
#define FLUSH_INTERVAL_US 20000
/* Above this size lines are dropped and counted, which bounds the memory. */
#define BUFFER_MAX_BYTES (8U * 1024 * 1024)

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* Signalled when the buffer becomes non-empty and when the log stops. */
static pthread_cond_t wakeup = PTHREAD_COND_INITIALIZER;
static GString *buffer;
static uint64_t dropped;
static pthread_t thread;
static bool running;
static int output_fd = STDERR_FILENO;
static GLogLevelFlags threshold = G_LOG_LEVEL_MESSAGE;

static const struct
{
  const char *name;
  GLogLevelFlags level;
} levels[] = {
  { "error", G_LOG_LEVEL_CRITICAL },  { "warning", G_LOG_LEVEL_WARNING },
  { "message", G_LOG_LEVEL_MESSAGE }, { "info", G_LOG_LEVEL_INFO },
  { "debug", G_LOG_LEVEL_DEBUG },
};

static const char *
level_name (GLogLevelFlags level)
{
  for (size_t i = 0; i < G_N_ELEMENTS (levels); i++)
    if (level <= levels[i].level)
      return levels[i].name;
  return "debug";
}

/** Appends a timestamp; the caller holds the lock. The text of the last second
 * is cached, so that the date is not formatted for each line. */
static void
append_time (GString *out, int64_t wall_ms)
{
  static char text[32];
  static time_t text_seconds = -1;
  time_t seconds = (time_t)(wall_ms / 1000);
  unsigned int ms = (unsigned int)(wall_ms % 1000);
  const char fraction[]
      = { '.', (char)('0' + ms / 100), (char)('0' + ms / 10 % 10),
          (char)('0' + ms % 10), 'Z' };

  if (seconds != text_seconds)
    {
      struct tm tm;

      gmtime_r (&seconds, &tm);
      strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%S", &tm);
      text_seconds = seconds;
    }
  g_string_append (out, text);
  g_string_append_len (out, fraction, sizeof fraction);
}

static const char *
field_value (const GLogField *fields, gsize count, const char *key)
{
  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, key) == 0)
      return fields[i].value;
  return NULL;
}

static void
write_all (const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t n = write (output_fd, data, len);

      if (n <= 0)
        return;
      data += n;
      len -= (size_t)n;
    }
}

static GLogWriterOutput
writer (GLogLevelFlags level, const GLogField *fields, gsize count,
        gpointer ctx)
{
  const char *message = field_value (fields, count, "MESSAGE");
  const char *host = field_value (fields, count, "HOST");

  (void)ctx;
  level &= G_LOG_LEVEL_MASK;
  if (level > threshold || message == NULL)
    return G_LOG_WRITER_HANDLED;
  pthread_mutex_lock (&lock);
  if (buffer == NULL || buffer->len > BUFFER_MAX_BYTES)
    {
      dropped++;
    }
  else
    {
      if (buffer->len == 0)
        pthread_cond_signal (&wakeup);
      append_time (buffer, snipe_clock_wall_ms ());
      g_string_append_c (buffer, ' ');
      g_string_append (buffer, level_name (level));
      g_string_append_c (buffer, ' ');
      if (host != NULL)
        {
          g_string_append (buffer, "host=");
          g_string_append (buffer, host);
          g_string_append_c (buffer, ' ');
        }
      g_string_append (buffer, message);
      g_string_append_c (buffer, '\n');
    }
  pthread_mutex_unlock (&lock);
  /* GLib aborts the process after an error, so its line is flushed first. */
  if (level <= G_LOG_LEVEL_ERROR)
    snipe_log_stop ();
  return G_LOG_WRITER_HANDLED;
}

static void
flush (void)
{
  GString *batch = NULL;
  uint64_t dropped_count;

  pthread_mutex_lock (&lock);
  if (buffer != NULL && buffer->len > 0)
    {
      batch = buffer;
      buffer = g_string_sized_new (4096);
    }
  dropped_count = dropped;
  dropped = 0;
  pthread_mutex_unlock (&lock);
  if (batch != NULL)
    {
      write_all (batch->str, batch->len);
      g_string_free (batch, TRUE);
    }
  if (dropped_count > 0)
    g_warning ("%" G_GUINT64_FORMAT " log lines were dropped",
               (guint64)dropped_count);
}

static void *
flush_thread (void *ctx)
{
  (void)ctx;
  while (__atomic_load_n (&running, __ATOMIC_ACQUIRE))
    {
      pthread_mutex_lock (&lock);
      while (buffer->len == 0 && __atomic_load_n (&running, __ATOMIC_ACQUIRE))
        pthread_cond_wait (&wakeup, &lock);
      pthread_mutex_unlock (&lock);
      flush ();
      g_usleep (FLUSH_INTERVAL_US);
    }
  return NULL;
}

int
snipe_log_start (const char *level)
{
  size_t i = 0;

  while (i < G_N_ELEMENTS (levels) && strcmp (levels[i].name, level) != 0)
    i++;
  if (i == G_N_ELEMENTS (levels))
    return snipe_status_set (SNIPE_E_INVALID,
                             "log level \"%s\" is not one of error, warning, "
                             "message, info, debug",
                             level);
  threshold = levels[i].level;
  buffer = g_string_sized_new (4096);
  g_log_set_writer_func (writer, NULL, NULL);
  __atomic_store_n (&running, true, __ATOMIC_RELEASE);
  if (pthread_create (&thread, NULL, flush_thread, NULL) != 0)
    return snipe_status_set (SNIPE_E_INTERNAL, "cannot start the log thread");
  return SNIPE_OK;
}

void
snipe_log_set_fd (int fd)
{
  output_fd = fd;
}

void
snipe_log_stop (void)
{
  if (!__atomic_exchange_n (&running, false, __ATOMIC_ACQ_REL))
    return;
  pthread_mutex_lock (&lock);
  pthread_cond_signal (&wakeup);
  pthread_mutex_unlock (&lock);
  if (!pthread_equal (thread, pthread_self ()))
    pthread_join (thread, NULL);
  flush ();
}

bool
snipe_log_decisions_enabled (void)
{
  return threshold >= G_LOG_LEVEL_INFO;
}

void
snipe_log_decision (const char *host, const char *line)
{
  const GLogField fields[] = {
    { "MESSAGE", line, -1 },
    { "HOST", host, -1 },
    { "GLIB_DOMAIN", G_LOG_DOMAIN, -1 },
  };

  g_log_structured_array (G_LOG_LEVEL_INFO, fields, G_N_ELEMENTS (fields));
}
