/**
 * @file mpsc.h
 * Lock-free multi-producer, single-consumer queue on Concurrency Kit's stack.
 * The consumer pops all entries at once, oldest first.
 */
#ifndef SNIPE_UTIL_MPSC_H
#define SNIPE_UTIL_MPSC_H

#include <ck_pr.h>
#include <ck_stack.h>
#include <stdbool.h>

/* Concurrency Kit's atomics are inline assembly, which ThreadSanitizer does
 * not see; the release and the acquire are annotated explicitly. */
#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#define SNIPE_TSAN_RELEASE(addr) __tsan_release (addr)
#define SNIPE_TSAN_ACQUIRE(addr) __tsan_acquire (addr)
#else
#define SNIPE_TSAN_RELEASE(addr) ((void)(addr))
#define SNIPE_TSAN_ACQUIRE(addr) ((void)(addr))
#endif

/** Thread-safe. The same as ck_stack_push_upmc (), except that the next
 * pointer is written before the release is annotated for ThreadSanitizer. */
static inline void
snipe_mpsc_push (ck_stack_t *stack, ck_stack_entry_t *entry)
{
  ck_stack_entry_t *head;

  do
    {
      head = ck_pr_load_ptr (&stack->head);
      entry->next = head;
      SNIPE_TSAN_RELEASE (stack);
      ck_pr_fence_store ();
    }
  while (!ck_pr_cas_ptr (&stack->head, head, entry));
}

/** Removes all entries. @return the oldest, which links to the newer ones;
 * NULL if the queue is empty. */
static inline ck_stack_entry_t *
snipe_mpsc_pop_all (ck_stack_t *stack)
{
  ck_stack_entry_t *entry = ck_stack_batch_pop_upmc (stack);
  ck_stack_entry_t *oldest = NULL;

  SNIPE_TSAN_ACQUIRE (stack);
  while (entry != NULL)
    {
      ck_stack_entry_t *next = entry->next;

      entry->next = oldest;
      oldest = entry;
      entry = next;
    }
  return oldest;
}

static inline bool
snipe_mpsc_is_empty (ck_stack_t *stack)
{
  return ck_pr_load_ptr (&stack->head) == NULL;
}

#endif
