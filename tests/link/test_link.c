#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>

#include "link/link.h"
#include "snipe/status.h"
#include "suite.h"

#define TIME (200 * SNIPE_MS)
#define SENDER 7

/** What a link received, and what was said of its connections. */
struct end
{
  struct snipe_link *link;
  struct snipe_loop *loop;
  snipe_time until;
  uint32_t procedures[8];
  uint64_t incarnations[8];
  int received;
  int refused;
  int closed;
};

static void
on_received (void *ctx, uint64_t incarnation,
             const struct snipe_link_message *message)
{
  struct end *end = ctx;

  CU_ASSERT_FATAL (end->received < 8);
  end->procedures[end->received] = message->procedure;
  end->incarnations[end->received++] = incarnation;
}

static void
on_closed (void *ctx, uint64_t incarnation)
{
  (void)incarnation;
  ((struct end *)ctx)->closed++;
}

static void
on_refused (void *ctx, const char *address)
{
  (void)address;
  ((struct end *)ctx)->refused++;
}

/* Introduces the sender, as a host does. */
static void
on_opened (void *ctx, const char *address)
{
  struct end *end = ctx;
  struct snipe_link_message hello = {
    .procedure = LINK_SEND_HELLO,
    .args.hello = { .incarnation = SENDER,
                    .name = (char *)"h",
                    .address = (char *)"127.0.0.1:1",
                    .domain = (char *)"a" },
  };

  snipe_link_send (end->link, address, &hello);
}

static snipe_time
on_tick (void *ctx, snipe_time now)
{
  struct end *end = ctx;

  if (now >= end->until)
    snipe_loop_stop (end->loop);
  return 5 * SNIPE_MS;
}

static void
begin (struct end *end, struct snipe_loop *loop)
{
  struct snipe_link_options options = SNIPE_LINK_OPTIONS_INIT;

  end->loop = loop;
  options.loop = loop;
  options.listen = "127.0.0.1:0";
  options.received = on_received;
  options.closed = on_closed;
  options.opened = on_opened;
  options.refused = on_refused;
  options.ctx = end;
  CU_ASSERT_EQUAL_FATAL (snipe_link_new (&end->link, &options), SNIPE_OK);
}

/* Guards against a result being dropped because it is the first message on a
 * new connection, whose sender is not known before its HELLO (idle fleet of 35
 * hosts). */
static void
test_first_message (void)
{
  struct end sender = { 0 };
  struct end receiver = { 0 };
  struct snipe_link_message result = { .procedure = LINK_SEND_RESULT };
  struct snipe_loop *loop;
  char address[32];

  CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&loop), SNIPE_OK);
  begin (&sender, loop);
  begin (&receiver, loop);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            snipe_link_port (receiver.link));
  CU_ASSERT_EQUAL (snipe_link_send (sender.link, address, &result), SNIPE_OK);
  receiver.until = snipe_clock_now () + TIME;
  snipe_loop_run (loop, on_tick, &receiver);
  CU_ASSERT_EQUAL_FATAL (receiver.received, 2);
  CU_ASSERT_EQUAL (receiver.procedures[0], LINK_SEND_HELLO);
  CU_ASSERT_EQUAL (receiver.procedures[1], LINK_SEND_RESULT);
  CU_ASSERT_EQUAL (receiver.incarnations[1], SENDER);
  CU_ASSERT_EQUAL (sender.refused, 0);
  snipe_link_free (sender.link);
  snipe_link_free (receiver.link);
  snipe_loop_free (loop);
}

/* Guards against a process that has ended counting as one that is silent. */
static void
test_refused (void)
{
  struct end sender = { 0 };
  struct end gone = { 0 };
  struct snipe_link_message cancel = { .procedure = LINK_SEND_CANCEL };
  struct snipe_loop *loop;
  char address[32];

  CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&loop), SNIPE_OK);
  begin (&sender, loop);
  begin (&gone, loop);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            snipe_link_port (gone.link));
  snipe_link_free (gone.link);
  CU_ASSERT_EQUAL (snipe_link_send (sender.link, address, &cancel), SNIPE_OK);
  sender.until = snipe_clock_now () + TIME;
  snipe_loop_run (loop, on_tick, &sender);
  CU_ASSERT_EQUAL (sender.refused, 1);
  snipe_link_free (sender.link);
  snipe_loop_free (loop);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "first message", test_first_message },
    { "refused", test_refused },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("link", tests);
}
