#include "loop/loop.h"

#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "snipe/status.h"
#include "util/mpsc.h"

#define EVENTS_MAX 64
/* A longer time than planned in which the loop has not looked at its
 * descriptors is logged: at most ten lines a second. */
#define STALL_LOGGED (100 * SNIPE_MS)

struct posted_call
{
  ck_stack_entry_t entry;
  void (*function) (void *ctx);
  void *ctx;
};

struct snipe_loop
{
  int epoll_fd;
  int wake_fd;
  bool stopped; /**< atomic */
  ck_stack_t posted;
  /* Returned by the last epoll_wait (). snipe_loop_remove () clears those of
   * the removed watch, so that its callback is not called. */
  struct epoll_event events[EVENTS_MAX];
  int event_count;
  uint32_t watch_count;
  snipe_time handled_until;
  /* If the last call did not return all ready descriptors: since which call,
   * how many were watched then, and how many were returned since. */
  snipe_time truncated_since;
  uint32_t ready_max;
  uint32_t returned_count;
  struct snipe_loop_watch wake;
  snipe_time (*prepare) (void *ctx, snipe_time now);
  void *prepare_ctx;
};

static void
on_wake (void *ctx, uint32_t events)
{
  struct snipe_loop *loop = ctx;
  uint64_t value;
  ck_stack_entry_t *entry;

  (void)events;
  while (read (loop->wake_fd, &value, sizeof value) < 0 && errno == EINTR)
    continue;
  entry = snipe_mpsc_pop_all (&loop->posted);
  while (entry != NULL)
    {
      /* The entry is the first member. */
      struct posted_call *posted = (struct posted_call *)entry;

      entry = entry->next;
      posted->function (posted->ctx);
      free (posted);
    }
}

int
snipe_loop_new (struct snipe_loop **out)
{
  struct snipe_loop *loop = g_new0 (struct snipe_loop, 1);

  ck_stack_init (&loop->posted);
  loop->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  loop->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  loop->wake = (struct snipe_loop_watch){ .fd = loop->wake_fd,
                                          .ready = on_wake,
                                          .ctx = loop };
  if (loop->epoll_fd < 0 || loop->wake_fd < 0
      || snipe_loop_add (loop, &loop->wake, EPOLLIN) < 0)
    {
      snipe_loop_free (loop);
      return snipe_status_set (SNIPE_E_INTERNAL,
                               "cannot create descriptors for the event loop");
    }
  *out = loop;
  return SNIPE_OK;
}

void
snipe_loop_free (struct snipe_loop *loop)
{
  if (loop == NULL)
    return;
  if (loop->epoll_fd >= 0)
    close (loop->epoll_fd);
  if (loop->wake_fd >= 0)
    close (loop->wake_fd);
  g_free (loop);
}

void
snipe_loop_set_prepare (struct snipe_loop *loop,
                        snipe_time (*prepare) (void *ctx, snipe_time now),
                        void *ctx)
{
  loop->prepare = prepare;
  loop->prepare_ctx = ctx;
}

static int
update_epoll (struct snipe_loop *loop, int operation,
              struct snipe_loop_watch *watch, uint32_t events)
{
  struct epoll_event event = { .events = events, .data = { .ptr = watch } };

  if (epoll_ctl (loop->epoll_fd, operation, watch->fd, &event) < 0)
    return snipe_status_set (SNIPE_E_INTERNAL,
                             "cannot watch descriptor %d: %s", watch->fd,
                             g_strerror (errno));
  return SNIPE_OK;
}

int
snipe_loop_add (struct snipe_loop *loop, struct snipe_loop_watch *watch,
                uint32_t events)
{
  int status = update_epoll (loop, EPOLL_CTL_ADD, watch, events);

  if (status == SNIPE_OK)
    loop->watch_count++;
  return status;
}

int
snipe_loop_change (struct snipe_loop *loop, struct snipe_loop_watch *watch,
                   uint32_t events)
{
  return update_epoll (loop, EPOLL_CTL_MOD, watch, events);
}

void
snipe_loop_remove (struct snipe_loop *loop, struct snipe_loop_watch *watch)
{
  if (epoll_ctl (loop->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL) == 0)
    loop->watch_count--;
  for (int i = 0; i < loop->event_count; i++)
    if (loop->events[i].data.ptr == watch)
      loop->events[i].data.ptr = NULL;
}

static void
wake (struct snipe_loop *loop)
{
  uint64_t one = 1;

  /* A full counter means that a wakeup is pending already. */
  if (write (loop->wake_fd, &one, sizeof one) < 0)
    return;
}

void
snipe_loop_post (struct snipe_loop *loop, void (*function) (void *ctx),
                 void *ctx)
{
  struct posted_call *posted = calloc (1, sizeof *posted);

  if (posted == NULL)
    abort ();
  posted->function = function;
  posted->ctx = ctx;
  snipe_mpsc_push (&loop->posted, &posted->entry);
  wake (loop);
}

void
snipe_loop_stop (struct snipe_loop *loop)
{
  __atomic_store_n (&loop->stopped, true, __ATOMIC_RELEASE);
  wake (loop);
}

static void
dispatch_events (struct snipe_loop *loop)
{
  for (int i = 0; i < loop->event_count; i++)
    {
      struct snipe_loop_watch *watch = loop->events[i].data.ptr;

      if (watch != NULL)
        watch->ready (watch->ctx, loop->events[i].events);
    }
  loop->event_count = 0;
}

/* Notes that the events of an epoll_wait () that was called at @p called_at,
 * with @p watch_count descriptors, are handled. A call that returns EVENTS_MAX
 * may have left out others; further calls go round all ready descriptors
 * (epoll_wait (2)). */
static void
note_handled (struct snipe_loop *loop, int count, uint32_t watch_count,
              snipe_time called_at)
{
  if (loop->truncated_since == 0)
    {
      loop->truncated_since = called_at;
      loop->returned_count = 0;
      loop->ready_max = watch_count;
    }
  loop->returned_count += (uint32_t)MAX (count, 0);
  if (count < 0
      || (count == EVENTS_MAX && loop->returned_count < loop->ready_max))
    return;
  loop->handled_until = loop->truncated_since;
  loop->truncated_since = 0;
}

/* @param where the time was spent: in a wait, by which the process has stood
 * still, or in callbacks */
static void
log_stall (const char *where, snipe_time gap)
{
  if (gap >= STALL_LOGGED)
    g_message ("loop: event=stalled where=%s gap_ms=%" G_GINT64_FORMAT, where,
               gap / SNIPE_MS);
}

snipe_time
snipe_loop_handled_until (const struct snipe_loop *loop)
{
  return loop->handled_until;
}

void
snipe_loop_run (struct snipe_loop *loop,
                snipe_time (*tick) (void *ctx, snipe_time now), void *ctx)
{
  snipe_time next_tick = snipe_clock_now ();
  snipe_time returned_at = next_tick;

  loop->handled_until = next_tick;
  while (!__atomic_load_n (&loop->stopped, __ATOMIC_ACQUIRE))
    {
      snipe_time now = snipe_clock_now ();
      snipe_time timer_due
          = loop->prepare == NULL ? 0 : loop->prepare (loop->prepare_ctx, now);
      snipe_time remaining
          = (timer_due > 0 && timer_due < next_tick ? timer_due : next_tick)
            - now;
      int timeout_ms
          = remaining <= 0 ? 0 : (int)((remaining + SNIPE_MS - 1) / SNIPE_MS);
      int count;
      uint32_t watch_count;

      log_stall ("callbacks", now - returned_at);
      count
          = epoll_wait (loop->epoll_fd, loop->events, EVENTS_MAX, timeout_ms);
      returned_at = snipe_clock_now ();
      log_stall ("wait", returned_at - now - timeout_ms * SNIPE_MS);
      loop->event_count = count < 0 ? 0 : count;
      watch_count = loop->watch_count;
      dispatch_events (loop);
      note_handled (loop, count, watch_count, now);
      now = snipe_clock_now ();
      if (now >= next_tick)
        next_tick = now + tick (ctx, now);
    }
}
