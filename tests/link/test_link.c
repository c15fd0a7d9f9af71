#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

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
  void (*step) (struct end *end); /**< called once, halfway */
  struct end *other;
  const char *address; /**< of the other end */
  int silent[2];       /**< sockets that keep its port from answering */
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
    .procedure = LINK_SEND_HEARTBEAT,
    .args.heartbeat = { .incarnation = SENDER,
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

  if (end->step != NULL && now >= end->until - TIME)
    {
      end->step (end);
      end->step = NULL;
    }
  if (now >= end->until)
    snipe_loop_stop (end->loop);
  return 5 * SNIPE_MS;
}

static void
begin_at (struct end *end, struct snipe_loop *loop, const char *address)
{
  struct snipe_link_options options = SNIPE_LINK_OPTIONS_INIT;

  end->loop = loop;
  options.loop = loop;
  options.listen = address;
  options.received = on_received;
  options.closed = on_closed;
  options.opened = on_opened;
  options.refused = on_refused;
  options.ctx = end;
  CU_ASSERT_EQUAL_FATAL (snipe_link_new (&end->link, &options), SNIPE_OK);
}

static void
begin (struct end *end, struct snipe_loop *loop)
{
  begin_at (end, loop, "127.0.0.1:0");
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
  CU_ASSERT_EQUAL (receiver.procedures[0], LINK_SEND_HEARTBEAT);
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

/** Opens a port whose queue of connections is full, so that an attempt to
 * connect to it is not answered. */
static void
open_silent_port (int *sockets, struct sockaddr_in *address)
{
  socklen_t len = sizeof *address;

  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  address->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  sockets[0] = socket (AF_INET, SOCK_STREAM, 0);
  sockets[1] = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (
      bind (sockets[0], (struct sockaddr *)address, sizeof *address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (sockets[0], 0), 0);
  CU_ASSERT_EQUAL_FATAL (
      getsockname (sockets[0], (struct sockaddr *)address, &len), 0);
  CU_ASSERT_EQUAL_FATAL (
      connect (sockets[1], (struct sockaddr *)address, sizeof *address), 0);
}

/* The other host comes back, and is heard. */
static void
come_back (struct end *end)
{
  struct snipe_link_message cancel = { .procedure = LINK_SEND_CANCEL };

  close (end->silent[0]);
  close (end->silent[1]);
  begin_at (end->other, end->loop, end->address);
  snipe_link_retry (end->link, end->address, snipe_clock_now ());
  CU_ASSERT_EQUAL (snipe_link_send (end->link, end->address, &cancel),
                   SNIPE_OK);
}

/* Guards against a host that comes back getting nothing for half a second,
 * because this one had tried to connect to it while it was away (inc-ab90:
 * jobs refused after all hosts lost power). */
static void
test_retry (void)
{
  struct end receiver = { 0 };
  struct end sender = { .step = come_back, .other = &receiver };
  struct snipe_link_message fetch = { .procedure = LINK_SEND_CONFIG_REQUEST };
  struct snipe_loop *loop;
  struct sockaddr_in at;
  char address[32];

  CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&loop), SNIPE_OK);
  open_silent_port (sender.silent, &at);
  snprintf (address, sizeof address, "127.0.0.1:%u", ntohs (at.sin_port));
  sender.address = address;
  begin (&sender, loop);
  CU_ASSERT_EQUAL (snipe_link_send (sender.link, address, &fetch), SNIPE_OK);
  sender.until = snipe_clock_now () + 2 * TIME;
  snipe_loop_run (loop, on_tick, &sender);
  CU_ASSERT_EQUAL_FATAL (receiver.received, 2);
  CU_ASSERT_EQUAL (receiver.procedures[0], LINK_SEND_HEARTBEAT);
  CU_ASSERT_EQUAL (receiver.procedures[1], LINK_SEND_CANCEL);
  snipe_link_free (sender.link);
  snipe_link_free (receiver.link);
  snipe_loop_free (loop);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "first message", test_first_message },
    { "refused", test_refused },
    { "retry", test_retry },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("link", tests);
}
