/* Two hosts whose open connections to each other go silent. */
#include <CUnit/Basic.h>
#include <glib.h>

#include "node/callbacks.h"
#include "node/private.h"
#include "node/relay.h"
#include "snipe/status.h"
#include "suite.h"

#define HOSTS 2
#define TIME_MAX (10 * SNIPE_S)
/* The hosts count each other as lost after 0.6 s. */
#define FIND_TIME_MAX (2 * SNIPE_S)
#define KEPT_TIME (500 * SNIPE_MS)

enum step
{
  STEP_MEET,   /**< the hosts find each other, */
  STEP_SILENT, /**< count each other as lost, as they receive nothing, */
  STEP_LOST,   /**< find each other again, */
  STEP_FOUND,  /**< and keep the new connections */
  STEP_END,
};

struct test
{
  struct snipe_loop *loop;
  struct relay *relays[HOSTS]; /**< before each host */
  struct snipe_node *nodes[HOSTS];
  enum step step;
  snipe_time started_at;
  snipe_time silent_at;
  snipe_time found_at;
};

/* @return how many of the hosts have the other one as a live host. */
static int
live_count (const struct test *test)
{
  int count = 0;

  for (int i = 0; i < HOSTS; i++)
    if (snipe_members_find_by_address (test->nodes[i]->members,
                                       test->relays[1 - i]->address)
        != NULL)
      count++;
  return count;
}

static snipe_time
on_tick (void *ctx, snipe_time now)
{
  struct test *test = ctx;

  for (int i = 0; i < HOSTS; i++)
    snipe_node_tick (test->nodes[i], now);
  switch (test->step)
    {
    case STEP_MEET:
      if (live_count (test) < HOSTS)
        break;
      relay_silence (test->relays[0]);
      relay_silence (test->relays[1]);
      test->silent_at = now;
      test->step = STEP_SILENT;
      break;
    case STEP_SILENT:
      if (live_count (test) == 0)
        test->step = STEP_LOST;
      break;
    case STEP_LOST:
      if (live_count (test) < HOSTS)
        break;
      test->found_at = now;
      test->step = STEP_FOUND;
      break;
    case STEP_FOUND:
      if (now - test->found_at < KEPT_TIME)
        break;
      test->step = STEP_END;
      snipe_loop_stop (test->loop);
      break;
    case STEP_END:
      break;
    }
  if (now - test->started_at > TIME_MAX)
    snipe_loop_stop (test->loop);
  return 5 * SNIPE_MS;
}

/* Guards against hosts that never find each other again once the connections
 * between them have gone silent in both directions, because each goes on to
 * send on the silent connection (RECOVER, review/3), and against closing the
 * new connections because of the time before them. */
static void
test_found_again (void)
{
  static const char *const names[HOSTS] = { "g", "h" };
  struct snipe_node_options options = SNIPE_NODE_OPTIONS_INIT;
  snipe_time now = snipe_clock_now ();
  struct test test = { .started_at = now };

  CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&test.loop), SNIPE_OK);
  options.loop = test.loop;
  options.domain = "a";
  options.listen = "127.0.0.1:0";
  options.callbacks = (struct snipe_node_callbacks)NODE_CALLBACKS_INIT;
  for (int i = 0; i < HOSTS; i++)
    {
      test.relays[i] = relay_new (test.loop);
      options.name = names[i];
      options.advertise_address = test.relays[i]->address;
      CU_ASSERT_EQUAL_FATAL (snipe_node_new (&test.nodes[i], &options, now),
                             SNIPE_OK);
      test.relays[i]->target_port = snipe_link_port (test.nodes[i]->link);
    }
  for (int i = 0; i < HOSTS; i++)
    snipe_node_host_listed (test.nodes[i], test.relays[1 - i]->address, now);
  snipe_loop_run (test.loop, on_tick, &test);
  CU_ASSERT_EQUAL (test.step, STEP_END);
  CU_ASSERT (test.found_at - test.silent_at < FIND_TIME_MAX);
  for (int i = 0; i < HOSTS; i++)
    CU_ASSERT_EQUAL (test.relays[i]->connections->len, 2);
  for (int i = 0; i < HOSTS; i++)
    snipe_node_free (test.nodes[i]);
  for (int i = 0; i < HOSTS; i++)
    relay_free (test.relays[i]);
  snipe_loop_free (test.loop);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "found again", test_found_again },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("silent_links", tests);
}
