#include "sched_private.h"

static bool
node_before (const struct sched_node *a, const struct sched_node *b)
{
  return a->key < b->key || (a->key <= b->key && a->seq < b->seq);
}

static void
heap_put (struct sched_heap *heap, uint32_t index, struct sched_node *node)
{
  heap->nodes[index] = node;
  node->index = index;
}

static void
heap_up (struct sched_heap *heap, struct sched_node *node)
{
  uint32_t index = node->index;

  while (index > 0)
    {
      uint32_t parent = (index - 1) / 2;

      if (!node_before (node, heap->nodes[parent]))
        break;
      heap_put (heap, index, heap->nodes[parent]);
      index = parent;
    }
  heap_put (heap, index, node);
}

static void
heap_down (struct sched_heap *heap, struct sched_node *node)
{
  uint32_t index = node->index;

  for (;;)
    {
      uint32_t child = 2 * index + 1;

      if (child >= heap->count)
        break;
      if (child + 1 < heap->count
          && node_before (heap->nodes[child + 1], heap->nodes[child]))
        child++;
      if (!node_before (heap->nodes[child], node))
        break;
      heap_put (heap, index, heap->nodes[child]);
      index = child;
    }
  heap_put (heap, index, node);
}

void
sched_heap_push (struct sched_heap *heap, struct sched_node *node)
{
  if (heap->count == heap->room)
    {
      heap->room = heap->room + heap->room / 2 + 4;
      heap->nodes = g_renew (struct sched_node *, heap->nodes, heap->room);
    }
  heap_put (heap, heap->count++, node);
  heap_up (heap, node);
}

void
sched_heap_remove (struct sched_heap *heap, struct sched_node *node)
{
  uint32_t index = node->index;
  struct sched_node *last;

  if (index == SCHED_NOWHERE)
    return;
  last = heap->nodes[--heap->count];
  node->index = SCHED_NOWHERE;
  if (last == node)
    return;
  heap_put (heap, index, last);
  sched_heap_update (heap, last);
}

void
sched_heap_update (struct sched_heap *heap, struct sched_node *node)
{
  heap_up (heap, node);
  heap_down (heap, node);
}
