/* What the event loop says of the time up to which it has looked at its
 * descriptors. */
#include <CUnit/Basic.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop/loop.h"
#include "suite.h"

/* More than one epoll_wait () returns. */
#define BUSY_MAX 300
/* In which a closed connection may be handled, with all that is ready. */
#define ROUNDS 20

struct test
{
  struct snipe_loop *loop;
  struct snipe_loop_watch busy[BUSY_MAX];
  struct snipe_loop_watch client;
  int other_end;
  snipe_time closed_at; /**< 0: it is open */
  bool noticed;
  uint32_t busy_calls;
  uint32_t ticks;
  uint32_t advances; /**< of the time that the loop tells */
  uint32_t too_late; /**< the time that it told was too late */
  snipe_time told;
};

/* A connection that was closed before the time that the loop tells has been
 * noticed. */
static void
check (struct test *test)
{
  snipe_time told = snipe_loop_handled_until (test->loop);

  test->advances += told > test->told;
  test->too_late += told < test->told || told > snipe_clock_now ();
  test->too_late
      += test->closed_at != 0 && told > test->closed_at && !test->noticed;
  test->told = told;
}

/* Remains ready, as nothing is read. */
static void
on_busy (void *ctx, uint32_t events)
{
  struct test *test = ctx;

  (void)events;
  check (test);
  if (++test->busy_calls == BUSY_MAX + BUSY_MAX / 2)
    {
      close (test->other_end);
      test->closed_at = snipe_clock_now ();
    }
  check (test);
}

static void
on_client (void *ctx, uint32_t events)
{
  struct test *test = ctx;

  (void)events;
  check (test);
  test->noticed = true;
  snipe_loop_remove (test->loop, &test->client);
}

static snipe_time
on_tick (void *ctx, snipe_time now)
{
  struct test *test = ctx;

  (void)now;
  check (test);
  if (++test->ticks == ROUNDS * BUSY_MAX)
    snipe_loop_stop (test->loop);
  return 0;
}

/* Guards against a host that vouches for its callers up to a time at which one
 * of them had left without being noticed, and against one that never vouches
 * because more descriptors are ready than one call returns. */
static void
test_handled_until (void)
{
  static const uint32_t counts[] = { 1, 63, 64, 65, BUSY_MAX };

  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      struct test test = { 0 };
      int ends[2];

      CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&test.loop), 0);
      CU_ASSERT_EQUAL_FATAL (socketpair (AF_UNIX, SOCK_STREAM, 0, ends), 0);
      test.other_end = ends[1];
      test.client = (struct snipe_loop_watch){ .fd = ends[0],
                                               .ready = on_client,
                                               .ctx = &test };
      for (uint32_t k = 0; k < counts[i]; k++)
        {
          test.busy[k] = (struct snipe_loop_watch){
            .fd = eventfd (1, EFD_NONBLOCK), .ready = on_busy, .ctx = &test
          };
          CU_ASSERT_EQUAL (snipe_loop_add (test.loop, &test.busy[k], EPOLLIN),
                           0);
        }
      CU_ASSERT_EQUAL (snipe_loop_add (test.loop, &test.client, EPOLLRDHUP),
                       0);
      snipe_loop_run (test.loop, on_tick, &test);
      CU_ASSERT_TRUE (test.closed_at != 0);
      CU_ASSERT_TRUE (test.noticed);
      CU_ASSERT_EQUAL (test.too_late, 0);
      CU_ASSERT_TRUE (test.advances > ROUNDS);
      CU_ASSERT_TRUE (test.told > test.closed_at);
      for (uint32_t k = 0; k < counts[i]; k++)
        close (test.busy[k].fd);
      close (ends[0]);
      snipe_loop_free (test.loop);
    }
}

struct hangup_test
{
  struct snipe_loop *loop;
  struct snipe_loop_watch clients[BUSY_MAX];
  int other_ends[BUSY_MAX];
  uint32_t count;
  uint32_t left;        /**< clients whose end has not been noticed */
  snipe_time closed_at; /**< 0: they are open */
  uint32_t ticks;
  uint32_t too_late; /**< times told after the end of an unnoticed client */
};

struct hangup_client
{
  struct hangup_test *test;
  uint32_t index;
};

static void
on_hangup (void *ctx, uint32_t events)
{
  const struct hangup_client *client = ctx;
  struct hangup_test *test = client->test;

  (void)events;
  snipe_loop_remove (test->loop, &test->clients[client->index]);
  test->left--;
}

/* As the tick of a host, in which it sends heartbeats. All clients leave in
 * the first one, while the process stands still. */
static snipe_time
on_hangup_tick (void *ctx, snipe_time now)
{
  struct hangup_test *test = ctx;

  (void)now;
  if (test->closed_at == 0)
    {
      test->closed_at = snipe_clock_now ();
      for (uint32_t i = 0; i < test->count; i++)
        close (test->other_ends[i]);
      g_usleep (2000);
      return 0;
    }
  test->too_late += test->left > 0
                    && snipe_loop_handled_until (test->loop) > test->closed_at;
  if (++test->ticks == ROUNDS)
    snipe_loop_stop (test->loop);
  return 0;
}

/* Guards against a host that vouches for callers whose end it has not noticed
 * because many left at the same time: those that one call returned are not
 * watched any more when it counts what is left. */
static void
test_many_hangups (void)
{
  static const uint32_t counts[] = { 1, 64, 65, 127, 128, 200, BUSY_MAX };

  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      struct hangup_test test = { .count = counts[i], .left = counts[i] };
      struct hangup_client clients[BUSY_MAX];

      CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&test.loop), 0);
      for (uint32_t k = 0; k < counts[i]; k++)
        {
          int ends[2];

          CU_ASSERT_EQUAL_FATAL (socketpair (AF_UNIX, SOCK_STREAM, 0, ends),
                                 0);
          test.other_ends[k] = ends[1];
          clients[k] = (struct hangup_client){ .test = &test, .index = k };
          test.clients[k] = (struct snipe_loop_watch){ .fd = ends[0],
                                                       .ready = on_hangup,
                                                       .ctx = &clients[k] };
          CU_ASSERT_EQUAL (
              snipe_loop_add (test.loop, &test.clients[k], EPOLLRDHUP), 0);
        }
      snipe_loop_run (test.loop, on_hangup_tick, &test);
      if (test.too_late > 0)
        printf ("\n  %u clients: %u times too late", counts[i], test.too_late);
      CU_ASSERT_EQUAL (test.too_late, 0);
      CU_ASSERT_EQUAL (test.left, 0);
      CU_ASSERT_TRUE (snipe_loop_handled_until (test.loop) > test.closed_at);
      for (uint32_t k = 0; k < counts[i]; k++)
        close (test.clients[k].fd);
      snipe_loop_free (test.loop);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "handled until", test_handled_until },
    { "many hangups", test_many_hangups },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("loop", tests);
}
