#include "sched_private.h"

static bool
node_before (const struct sched_heap_node *a, const struct sched_heap_node *b)
{
  return a->key < b->key || (a->key <= b->key && a->seq < b->seq);
}

static void
heap_set (struct sched_heap *heap, uint32_t index,
          struct sched_heap_node *node)
{
  heap->nodes[index] = node;
  node->index = index;
}

static void
sift_up (struct sched_heap *heap, struct sched_heap_node *node)
{
  uint32_t index = node->index;

  while (index > 0)
    {
      uint32_t parent = (index - 1) / 2;

      if (!node_before (node, heap->nodes[parent]))
        break;
      heap_set (heap, index, heap->nodes[parent]);
      index = parent;
    }
  heap_set (heap, index, node);
}

static void
sift_down (struct sched_heap *heap, struct sched_heap_node *node)
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
      heap_set (heap, index, heap->nodes[child]);
      index = child;
    }
  heap_set (heap, index, node);
}

void
sched_heap_push (struct sched_heap *heap, struct sched_heap_node *node)
{
  if (heap->count == heap->capacity)
    {
      heap->capacity = heap->capacity + heap->capacity / 2 + 4;
      heap->nodes
          = g_renew (struct sched_heap_node *, heap->nodes, heap->capacity);
    }
  heap_set (heap, heap->count++, node);
  sift_up (heap, node);
}

void
sched_heap_remove (struct sched_heap *heap, struct sched_heap_node *node)
{
  uint32_t index = node->index;
  struct sched_heap_node *last;

  if (index == SCHED_HEAP_INDEX_NONE)
    return;
  last = heap->nodes[--heap->count];
  node->index = SCHED_HEAP_INDEX_NONE;
  if (last == node)
    return;
  heap_set (heap, index, last);
  sched_heap_update (heap, last);
}

void
sched_heap_update (struct sched_heap *heap, struct sched_heap_node *node)
{
  sift_up (heap, node);
  sift_down (heap, node);
}
