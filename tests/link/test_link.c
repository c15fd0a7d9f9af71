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

#define TEST_DURATION (200 * SNIPE_MS)
#define SENDER_INCARNATION 7

/** A link with the messages and connection events that it reported. */
struct link_peer
{
  struct snipe_link *link;
  struct snipe_loop *loop;
  snipe_time stop_at;
  uint32_t procedures[8];
  uint64_t incarnations[8];
  int received;
  int refused;
  int closed;
  /** Called once, TEST_DURATION before stop_at. */
  void (*step) (struct link_peer *peer);
  struct link_peer *other;
  const char *address; /**< of the other peer */
  int unresponsive[2]; /**< sockets that fill its accept queue */
};

static void
on_received (void *ctx, uint64_t incarnation,
             const struct snipe_link_message *message)
{
  struct link_peer *peer = ctx;

  CU_ASSERT_FATAL (peer->received < 8);
  peer->procedures[peer->received] = message->procedure;
  peer->incarnations[peer->received++] = incarnation;
}

static void
on_closed (void *ctx, uint64_t incarnation)
{
  (void)incarnation;
  ((struct link_peer *)ctx)->closed++;
}

static void
on_refused (void *ctx, const char *address)
{
  (void)address;
  ((struct link_peer *)ctx)->refused++;
}

/* Sends a heartbeat first, as a host does. */
static void
on_opened (void *ctx, const char *address)
{
  struct link_peer *peer = ctx;
  struct snipe_link_message heartbeat = {
    .procedure = LINK_SEND_HEARTBEAT,
    .args.heartbeat = { .incarnation = SENDER_INCARNATION,
                        .name = (char *)"h",
                        .address = (char *)"127.0.0.1:1",
                        .domain = (char *)"a" },
  };

  snipe_link_send (peer->link, address, &heartbeat);
}

static snipe_time
on_tick (void *ctx, snipe_time now)
{
  struct link_peer *peer = ctx;

  if (peer->step != NULL && now >= peer->stop_at - TEST_DURATION)
    {
      peer->step (peer);
      peer->step = NULL;
    }
  if (now >= peer->stop_at)
    snipe_loop_stop (peer->loop);
  return 5 * SNIPE_MS;
}

static void
start_link_at (struct link_peer *peer, struct snipe_loop *loop,
               const char *address)
{
  struct snipe_link_options options = SNIPE_LINK_OPTIONS_INIT;

  peer->loop = loop;
  options.loop = loop;
  options.listen = address;
  options.received = on_received;
  options.closed = on_closed;
  options.opened = on_opened;
  options.refused = on_refused;
  options.ctx = peer;
  CU_ASSERT_EQUAL_FATAL (snipe_link_new (&peer->link, &options), SNIPE_OK);
}

static void
start_link (struct link_peer *peer, struct snipe_loop *loop)
{
  start_link_at (peer, loop, "127.0.0.1:0");
}

/* Guards against a result being dropped because it is the first message on a
 * new connection, whose sender is unknown before its heartbeat (seen with 35
 * idle hosts). */
static void
test_first_message (void)
{
  struct link_peer sender = { 0 };
  struct link_peer receiver = { 0 };
  struct snipe_link_message result = { .procedure = LINK_SEND_RESULT };
  struct snipe_loop *loop;
  char address[32];

  CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&loop), SNIPE_OK);
  start_link (&sender, loop);
  start_link (&receiver, loop);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            snipe_link_port (receiver.link));
  CU_ASSERT_EQUAL (snipe_link_send (sender.link, address, &result), SNIPE_OK);
  receiver.stop_at = snipe_clock_now () + TEST_DURATION;
  snipe_loop_run (loop, on_tick, &receiver);
  CU_ASSERT_EQUAL_FATAL (receiver.received, 2);
  CU_ASSERT_EQUAL (receiver.procedures[0], LINK_SEND_HEARTBEAT);
  CU_ASSERT_EQUAL (receiver.procedures[1], LINK_SEND_RESULT);
  CU_ASSERT_EQUAL (receiver.incarnations[1], SENDER_INCARNATION);
  CU_ASSERT_EQUAL (sender.refused, 0);
  snipe_link_free (sender.link);
  snipe_link_free (receiver.link);
  snipe_loop_free (loop);
}

/* Guards against a terminated process being treated as an unresponsive one. */
static void
test_refused (void)
{
  struct link_peer sender = { 0 };
  struct link_peer stopped = { 0 };
  struct snipe_link_message cancel = { .procedure = LINK_SEND_CANCEL };
  struct snipe_loop *loop;
  char address[32];

  CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&loop), SNIPE_OK);
  start_link (&sender, loop);
  start_link (&stopped, loop);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            snipe_link_port (stopped.link));
  snipe_link_free (stopped.link);
  CU_ASSERT_EQUAL (snipe_link_send (sender.link, address, &cancel), SNIPE_OK);
  sender.stop_at = snipe_clock_now () + TEST_DURATION;
  snipe_loop_run (loop, on_tick, &sender);
  CU_ASSERT_EQUAL (sender.refused, 1);
  snipe_link_free (sender.link);
  snipe_loop_free (loop);
}

/** Opens a port whose accept queue is full, so that an attempt to connect to
 * it gets no response. */
static void
open_unresponsive_port (int *sockets, struct sockaddr_in *address)
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

/* Starts the other host again and reports it as live. */
static void
restart_peer (struct link_peer *peer)
{
  struct snipe_link_message cancel = { .procedure = LINK_SEND_CANCEL };

  close (peer->unresponsive[0]);
  close (peer->unresponsive[1]);
  start_link_at (peer->other, peer->loop, peer->address);
  snipe_link_retry (peer->link, peer->address, snipe_clock_now ());
  CU_ASSERT_EQUAL (snipe_link_send (peer->link, peer->address, &cancel),
                   SNIPE_OK);
}

/* Guards against a restarted host receiving nothing for half a second because
 * this one had tried to connect to it while it was down (inc-ab90: jobs
 * rejected after all hosts lost power). */
static void
test_retry (void)
{
  struct link_peer receiver = { 0 };
  struct link_peer sender = { .step = restart_peer, .other = &receiver };
  struct snipe_link_message fetch = { .procedure = LINK_SEND_CONFIG_REQUEST };
  struct snipe_loop *loop;
  struct sockaddr_in at;
  char address[32];

  CU_ASSERT_EQUAL_FATAL (snipe_loop_new (&loop), SNIPE_OK);
  open_unresponsive_port (sender.unresponsive, &at);
  snprintf (address, sizeof address, "127.0.0.1:%u", ntohs (at.sin_port));
  sender.address = address;
  start_link (&sender, loop);
  CU_ASSERT_EQUAL (snipe_link_send (sender.link, address, &fetch), SNIPE_OK);
  sender.stop_at = snipe_clock_now () + 2 * TEST_DURATION;
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
