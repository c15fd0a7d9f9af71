/**
 * @file loop.h
 * Single-threaded event loop: file descriptors, functions posted by other
 * threads, and a periodic tick. Only this thread accesses the owner's state.
 */
#ifndef SNIPE_LOOP_LOOP_H
#define SNIPE_LOOP_LOOP_H

#include <stdint.h>
#include "snipe/clock.h"

struct snipe_loop;

/** A watched file descriptor; embedded in the struct that owns it. */
struct snipe_loop_watch
{
  int fd;
  /** @param events ready, as returned by epoll_wait () */
  void (*ready) (void *ctx, uint32_t events);
  void *ctx;
};

int snipe_loop_new (struct snipe_loop **out);
void snipe_loop_free (struct snipe_loop *loop);

/** Adds a descriptor or changes the events it is watched for. @p watch must
 * stay valid until it is removed. */
int snipe_loop_add (struct snipe_loop *loop, struct snipe_loop_watch *watch,
                    uint32_t events);
int snipe_loop_change (struct snipe_loop *loop, struct snipe_loop_watch *watch,
                       uint32_t events);
/** Stops watching a descriptor. Its callback is not called again, not even for
 * events that epoll_wait () has already returned. */
void snipe_loop_remove (struct snipe_loop *loop,
                        struct snipe_loop_watch *watch);

/** Calls @p prepare before each wait for events. It runs the expired timers
 * and returns the time at which the next one expires, 0 if there is none. */
void snipe_loop_set_prepare (struct snipe_loop *loop,
                             snipe_time (*prepare) (void *ctx, snipe_time now),
                             void *ctx);
/** Runs @p function on the loop's thread. Thread-safe. */
void snipe_loop_post (struct snipe_loop *loop, void (*function) (void *ctx),
                      void *ctx);
/** Makes snipe_loop_run () return. Thread-safe and async-signal-safe. */
void snipe_loop_stop (struct snipe_loop *loop);
/** @return the latest time up to which everything that was ready at the
 * watched descriptors has been handled: a connection that was closed before
 * then has been noticed. 0 before the loop runs. */
snipe_time snipe_loop_handled_until (const struct snipe_loop *loop);
/** Runs until the loop is stopped. @p tick is called periodically and returns
 * the delay until its next call. */
void snipe_loop_run (struct snipe_loop *loop,
                     snipe_time (*tick) (void *ctx, snipe_time now),
                     void *ctx);

#endif
