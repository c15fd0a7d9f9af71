/**
 * @file sim.h
 * Virtual time for a fleet of hosts: a queue of events, random numbers that a
 * seed determines, and the record of what happened. Replaces the clock, the
 * decision log and getrandom () of the library.
 */
#ifndef TESTS_FLEET_SIM_H
#define TESTS_FLEET_SIM_H

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include "node/node.h"
#include "util/log.h"

#define SIM_HOSTS 5
#define SIM_NO_HOST UINT32_MAX

struct sim_random
{
  uint64_t state;
};

struct sim_event
{
  snipe_time time;
  uint64_t sequence;
  void (*run) (void *data);
  void *data;
  /** Process that handles it: while it is stopped, the event waits; once it is
   * gone, the event is dropped. */
  uint32_t host;
  uint32_t generation;
};

struct sim_line
{
  snipe_time time;
  uint32_t host;
  bool fleet; /**< concerns all jobs */
  char text[320];
};

struct sim
{
  snipe_time now;
  uint64_t last_sequence;
  GPtrArray *events; /**< binary heap of struct sim_event */
  struct sim_random random;
  uint32_t current_host;
  bool tracing;
  GArray *lines; /**< struct sim_line */
  GPtrArray *allocations;
  struct
  {
    uint32_t generation;
    bool running;
    bool frozen;
    /** Since when it has not handled what reached it, 0: it has. */
    snipe_time behind_since;
    GQueue deferred; /**< struct sim_event */
  } processes[SIM_HOSTS];
};

static struct sim sim;

static uint64_t
sim_random_next (struct sim_random *random)
{
  uint64_t z = random->state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

/* Returns a number from @p low to @p high. */
static int64_t
sim_draw (struct sim_random *random, int64_t low, int64_t high)
{
  return low
         + (int64_t)(sim_random_next (random) % (uint64_t)(high - low + 1));
}

static bool
sim_chance (struct sim_random *random, int64_t percent)
{
  return sim_draw (random, 0, 99) < percent;
}

snipe_time
snipe_clock_now (void)
{
  return sim.now;
}

int64_t
snipe_clock_wall_ms (void)
{
  return sim.now / SNIPE_MS;
}

ssize_t
getrandom (void *out, size_t size, unsigned int flags)
{
  uint64_t value = 0;

  (void)flags;
  for (size_t i = 0; i < size; i++)
    {
      if (i % sizeof value == 0)
        value = sim_random_next (&sim.random);
      ((unsigned char *)out)[i] = (unsigned char)(value >> (i % 8 * 8));
    }
  return (ssize_t)size;
}

static void G_GNUC_PRINTF (3, 4)
    sim_note (uint32_t host, bool fleet, const char *format, ...)
{
  struct sim_line line = { .time = sim.now, .host = host, .fleet = fleet };
  va_list args;

  if (!sim.tracing)
    return;
  va_start (args, format);
  vsnprintf (line.text, sizeof line.text, format, args);
  va_end (args);
  g_array_append_val (sim.lines, line);
}

bool
snipe_log_decisions_enabled (void)
{
  return sim.tracing;
}

void
snipe_log_decision (const char *host, const char *line)
{
  (void)host;
  sim_note (sim.current_host, false, "%s", line);
}

static GLogWriterOutput
sim_log_writer (GLogLevelFlags level, const GLogField *fields, gsize count,
                gpointer ctx)
{
  (void)ctx;
  if ((level & G_LOG_LEVEL_MASK) < G_LOG_LEVEL_WARNING)
    return g_log_writer_default (level, fields, count, NULL);
  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      sim_note (sim.current_host, true, "%s", (const char *)fields[i].value);
  return G_LOG_WRITER_HANDLED;
}

static void *
sim_alloc (size_t size)
{
  void *data = g_malloc0 (size);

  g_ptr_array_add (sim.allocations, data);
  return data;
}

static bool
sim_before (const struct sim_event *a, const struct sim_event *b)
{
  return a->time < b->time
         || (a->time == b->time && a->sequence < b->sequence);
}

static void
sim_push (struct sim_event *event)
{
  GPtrArray *heap = sim.events;
  guint at = heap->len;

  event->sequence = ++sim.last_sequence;
  g_ptr_array_add (heap, event);
  while (at > 0 && sim_before (event, heap->pdata[(at - 1) / 2]))
    {
      heap->pdata[at] = heap->pdata[(at - 1) / 2];
      at = (at - 1) / 2;
    }
  heap->pdata[at] = event;
}

static struct sim_event *
sim_pop (void)
{
  GPtrArray *heap = sim.events;
  struct sim_event *first = heap->pdata[0];
  struct sim_event *last = heap->pdata[heap->len - 1];
  guint at = 0;

  g_ptr_array_set_size (heap, (gint)heap->len - 1);
  if (heap->len == 0)
    return first;
  for (;;)
    {
      guint child = 2 * at + 1;

      if (child >= heap->len)
        break;
      if (child + 1 < heap->len
          && sim_before (heap->pdata[child + 1], heap->pdata[child]))
        child++;
      if (!sim_before (heap->pdata[child], last))
        break;
      heap->pdata[at] = heap->pdata[child];
      at = child;
    }
  heap->pdata[at] = last;
  return first;
}

/* Schedules a call that a process of a host handles, or none. */
static void
sim_at_process (snipe_time time, uint32_t host, uint32_t generation,
                void (*run) (void *data), void *data)
{
  struct sim_event *event = g_new0 (struct sim_event, 1);

  event->time = MAX (time, sim.now);
  event->run = run;
  event->data = data;
  event->host = host;
  event->generation = generation;
  sim_push (event);
}

/* Schedules a call that the present process of a host handles, or none. */
static void
sim_at (snipe_time time, uint32_t host, void (*run) (void *data), void *data)
{
  sim_at_process (time, host,
                  host == SIM_NO_HOST ? 0 : sim.processes[host].generation,
                  run, data);
}

static void
sim_step (void)
{
  struct sim_event *event = sim_pop ();

  sim.now = event->time;
  if (event->host != SIM_NO_HOST)
    {
      if (!sim.processes[event->host].running
          || sim.processes[event->host].generation != event->generation)
        {
          g_free (event);
          return;
        }
      if (sim.processes[event->host].frozen)
        {
          g_queue_push_tail (&sim.processes[event->host].deferred, event);
          return;
        }
    }
  sim.current_host = event->host;
  event->run (event->data);
  sim.current_host = SIM_NO_HOST;
  g_free (event);
}

/* The process stands still, if there is one. */
static void
sim_freeze (uint32_t host)
{
  if (!sim.processes[host].running || sim.processes[host].frozen)
    return;
  sim.processes[host].behind_since = sim.now;
  sim.processes[host].frozen = true;
}

static void
sim_caught_up (void *data)
{
  *(snipe_time *)data = 0;
}

/* The process continues. Its waiting events are handled in the order of their
 * arrival, or the last ones first. */
static void
sim_thaw (uint32_t host, bool reverse)
{
  struct sim_event *event;

  sim.processes[host].frozen = false;
  while ((event = reverse ? g_queue_pop_tail (&sim.processes[host].deferred)
                          : g_queue_pop_head (&sim.processes[host].deferred))
         != NULL)
    {
      event->time = sim.now;
      sim_push (event);
    }
  sim_at (sim.now, host, sim_caught_up, &sim.processes[host].behind_since);
}

static void
sim_process_start (uint32_t host)
{
  sim.processes[host].generation++;
  sim.processes[host].running = true;
  sim.processes[host].frozen = false;
  sim.processes[host].behind_since = 0;
}

static void
sim_process_end (uint32_t host)
{
  struct sim_event *event;

  sim.processes[host].running = false;
  sim.processes[host].frozen = false;
  while ((event = g_queue_pop_head (&sim.processes[host].deferred)) != NULL)
    g_free (event);
}

static void
sim_begin (uint64_t seed, bool tracing)
{
  sim = (struct sim){ .now = 1000 * SNIPE_S,
                      .random = { seed },
                      .tracing = tracing,
                      .current_host = SIM_NO_HOST };
  sim.events = g_ptr_array_new ();
  sim.lines = g_array_new (FALSE, FALSE, sizeof (struct sim_line));
  sim.allocations = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < SIM_HOSTS; i++)
    g_queue_init (&sim.processes[i].deferred);
}

static void
sim_end (void)
{
  for (uint32_t i = 0; i < SIM_HOSTS; i++)
    sim_process_end (i);
  for (guint i = 0; i < sim.events->len; i++)
    g_free (sim.events->pdata[i]);
  g_ptr_array_free (sim.events, TRUE);
  g_array_free (sim.lines, TRUE);
  g_ptr_array_free (sim.allocations, TRUE);
}

#endif
