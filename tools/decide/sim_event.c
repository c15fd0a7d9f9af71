#include "sim_event.h"

#include <glib.h>
#include <stdbool.h>

static bool
event_before (const struct event *a, const struct event *b)
{
  return a->at < b->at || (a->at == b->at && a->seq < b->seq);
}

void
event_push (struct event_queue *queue, const struct event *event)
{
  uint32_t index = queue->count++;
  struct event added = *event;

  added.seq = queue->seq++;
  if (queue->count > queue->capacity)
    {
      queue->capacity = queue->capacity * 2 + 64;
      queue->events = g_renew (struct event, queue->events, queue->capacity);
    }
  while (index > 0 && event_before (&added, &queue->events[(index - 1) / 2]))
    {
      queue->events[index] = queue->events[(index - 1) / 2];
      index = (index - 1) / 2;
    }
  queue->events[index] = added;
}

struct event
event_pop (struct event_queue *queue)
{
  struct event first = queue->events[0];
  struct event last = queue->events[--queue->count];
  uint32_t index = 0;

  for (;;)
    {
      uint32_t child = 2 * index + 1;

      if (child >= queue->count)
        break;
      if (child + 1 < queue->count
          && event_before (&queue->events[child + 1], &queue->events[child]))
        child++;
      if (!event_before (&queue->events[child], &last))
        break;
      queue->events[index] = queue->events[child];
      index = child;
    }
  queue->events[index] = last;
  return first;
}
