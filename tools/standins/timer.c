#include "timer.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <time.h>

struct entry
{
  snipe_time time;
  uint64_t sequence; /**< orders entries of the same time */
  timer_fn fn;
  void *arg;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static GArray *heap;
static uint64_t next_sequence;

static struct entry *
entry_at (guint i)
{
  return &g_array_index (heap, struct entry, i);
}

static bool
is_before (guint a, guint b)
{
  if (entry_at (a)->time != entry_at (b)->time)
    return entry_at (a)->time < entry_at (b)->time;
  return entry_at (a)->sequence < entry_at (b)->sequence;
}

static void
swap (guint a, guint b)
{
  struct entry saved = *entry_at (a);
  *entry_at (a) = *entry_at (b);
  *entry_at (b) = saved;
}

static void
sift_up (guint i)
{
  for (; i > 0 && is_before (i, (i - 1) / 2); i = (i - 1) / 2)
    swap (i, (i - 1) / 2);
}

static void
sift_down (guint i)
{
  for (;;)
    {
      guint least = i;
      for (guint c = 2 * i + 1; c <= 2 * i + 2 && c < heap->len; c++)
        if (is_before (c, least))
          least = c;
      if (least == i)
        return;
      swap (i, least);
      i = least;
    }
}

static void
wait_until (snipe_time due)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  int64_t wait = due - snipe_clock_now ();
  if (wait < 0)
    return;
  int64_t ns = now.tv_nsec + wait % SNIPE_S * 1000;
  struct timespec when
      = { .tv_sec = now.tv_sec + wait / SNIPE_S + ns / 1000000000,
          .tv_nsec = ns % 1000000000 };
  pthread_cond_timedwait (&changed, &lock, &when);
}

static void *
timer_thread (void *arg)
{
  (void)arg;
  pthread_mutex_lock (&lock);
  for (;;)
    {
      if (heap->len == 0)
        {
          pthread_cond_wait (&changed, &lock);
          continue;
        }
      struct entry first = *entry_at (0);
      if (first.time > snipe_clock_now ())
        {
          wait_until (first.time);
          continue;
        }
      swap (0, heap->len - 1);
      g_array_set_size (heap, heap->len - 1);
      sift_down (0);
      pthread_mutex_unlock (&lock);
      first.fn (first.arg);
      pthread_mutex_lock (&lock);
    }
  return NULL;
}

int
timer_start (void)
{
  pthread_condattr_t attr;
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&changed, &attr);
  pthread_condattr_destroy (&attr);
  heap = g_array_new (FALSE, FALSE, sizeof (struct entry));
  pthread_t thread;
  if (pthread_create (&thread, NULL, timer_thread, NULL) != 0)
    return -1;
  pthread_detach (thread);
  return 0;
}

void
timer_at (snipe_time due, timer_fn fn, void *arg)
{
  struct entry entry = { .time = due, .fn = fn, .arg = arg };
  pthread_mutex_lock (&lock);
  entry.sequence = next_sequence++;
  g_array_append_val (heap, entry);
  sift_up (heap->len - 1);
  bool first = entry_at (0)->sequence == entry.sequence;
  pthread_mutex_unlock (&lock);
  if (first)
    pthread_cond_signal (&changed);
}
