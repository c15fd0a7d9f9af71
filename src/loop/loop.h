/**
 * @file loop.h
 * Event loop of one thread: descriptors, functions posted by other threads,
 * and a tick. What the loop's owner keeps is touched by this thread only.
 */
#ifndef SNIPE_LOOP_LOOP_H
#define SNIPE_LOOP_LOOP_H

#include <stdint.h>
#include "snipe/clock.h"

struct snipe_loop;

/** A descriptor in the loop; embedded in its owner. */
struct snipe_loop_watch
{
  int fd;
  /** @param events of epoll_wait () */
  void (*ready) (void *ctx, uint32_t events);
  void *ctx;
};

int snipe_loop_new (struct snipe_loop **out);
void snipe_loop_free (struct snipe_loop *loop);

/** Adds a descriptor or changes its events. @p watch must outlive it. */
int snipe_loop_add (struct snipe_loop *loop, struct snipe_loop_watch *watch,
                    uint32_t events);
int snipe_loop_change (struct snipe_loop *loop, struct snipe_loop_watch *watch,
                       uint32_t events);
/** Removes it; its function is not called again, also not for events that
 * were already read. */
void snipe_loop_remove (struct snipe_loop *loop,
                        struct snipe_loop_watch *watch);

/** Calls @p prepare before each wait for events; it does what is due and
 * returns when it has to be called again, 0: not by time. */
void snipe_loop_set_prepare (struct snipe_loop *loop,
                             snipe_time (*prepare) (void *ctx, snipe_time now),
                             void *ctx);
/** Runs @p function on the loop's thread. Thread-safe. */
void snipe_loop_post (struct snipe_loop *loop, void (*function) (void *ctx),
                      void *ctx);
/** Ends snipe_loop_run (). Thread-safe, also in signal handlers. */
void snipe_loop_stop (struct snipe_loop *loop);
/** Calls @p tick until the loop is stopped; it returns the time until its next
 * call. */
void snipe_loop_run (struct snipe_loop *loop,
                     snipe_time (*tick) (void *ctx, snipe_time now),
                     void *ctx);

#endif
