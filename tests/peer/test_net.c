#include <CUnit/Basic.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/select.h>
#include <unistd.h>

#include "net_host.h"
#include "peer/net.h"
#include "snipe/status.h"
#include "suite.h"
#include "util/blocklist.h"

/* Guards against a procedure that uses the codecs of another one, and against
 * messages larger than one buffer. */
static void
test_every_procedure (void)
{
  struct host *a = host_new (0, 2);
  struct host *b = host_new (0, 2);

  for (uint32_t procedure = PEER_HEARTBEAT; procedure <= PEER_GET_RULES;
       procedure++)
    {
      CU_ASSERT_EQUAL (call_once (a, b->address, procedure, LONG_TIMEOUT),
                       SNIPE_OK);
      CU_ASSERT_EQUAL (host_call_count (b, procedure), 1);
    }
  CU_ASSERT_EQUAL (b->answer_len, LARGE_BODY_BYTES);
  CU_ASSERT_EQUAL (call_once (b, a->address, PEER_HEARTBEAT, LONG_TIMEOUT),
                   SNIPE_OK);
  /* A host may call itself. */
  CU_ASSERT_EQUAL (call_once (a, a->address, PEER_HEARTBEAT, LONG_TIMEOUT),
                   SNIPE_OK);
  host_free (a);
  host_free (b);
}

/* Guards against reporting calls that were certainly not delivered as possibly
 * delivered, and against an unreachable peer that blocks its sender thread. */
static void
test_unreachable (void)
{
  struct host *a = host_new (0, 1);
  struct host *b = host_new (0, 1);
  struct waiter waiter = WAITER_INIT;
  struct snipe_peer_call call;
  char address[32];
  int fd = bind_loopback (address, sizeof address);

  for (int i = 0; i < 20; i++)
    start_call (a, address, PEER_HEARTBEAT, LONG_TIMEOUT, &waiter);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HEARTBEAT, LONG_TIMEOUT),
                   SNIPE_OK);
  wait_for_calls (&waiter, 20);
  CU_ASSERT_EQUAL (waiter.failures, 20);
  CU_ASSERT_EQUAL (waiter.status, SNIPE_E_UNREACHABLE);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HEARTBEAT, 0),
                   SNIPE_E_UNREACHABLE);
  CU_ASSERT_EQUAL (host_call_count (b, PEER_HEARTBEAT), 1);

  call = new_call (PEER_HEARTBEAT, 0);
  CU_ASSERT_EQUAL (snipe_peer_net_call (a->net, "nowhere", &call, LONG_TIMEOUT,
                                        on_call_done, &waiter),
                   SNIPE_E_INVALID);
  call = new_call (PEER_HEARTBEAT, 0);
  /* One byte over the limit. A NULL string is rejected in the same way, but
   * the xdr_string () of the sanitizers does not accept one. */
  free (call.args.load.domain);
  call.args.load.domain = calloc (1, PEER_NAME_MAX + 2);
  if (call.args.load.domain == NULL)
    abort ();
  memset (call.args.load.domain, 'd', PEER_NAME_MAX + 1);
  CU_ASSERT_EQUAL (snipe_peer_net_call (a->net, b->address, &call,
                                        LONG_TIMEOUT, on_call_done, &waiter),
                   SNIPE_E_INVALID);
  host_free (a);
  CU_ASSERT_EQUAL (waiter.completed, 20);
  host_free (b);
  close (fd);
}

/* Guards against writing to an idle connection that the peer has closed: a
 * call to a restarted peer would be reported as possibly delivered. */
static void
test_peer_restarts (void)
{
  struct host *a = host_new (0, 1);
  struct host *b = host_new (0, 1);
  uint16_t port = snipe_peer_net_port (b->net);
  char address[32];

  (void)snprintf (address, sizeof address, "%s", b->address);
  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT_EQUAL (call_once (a, address, PEER_HEARTBEAT, LONG_TIMEOUT),
                       SNIPE_OK);
      host_free (b);
      b = host_new (port, 1);
    }
  CU_ASSERT_EQUAL (call_once (a, address, PEER_HEARTBEAT, LONG_TIMEOUT),
                   SNIPE_OK);
  CU_ASSERT_EQUAL (host_call_count (b, PEER_HEARTBEAT), 1);
  host_free (a);
  host_free (b);
}

/* Guards against simulated network partitions that let messages through in
 * either direction. */
static void
test_blocklist (void)
{
  static const uint32_t named[]
      = { PEER_HEARTBEAT, PEER_FORWARD, PEER_RUN_BATCH,
          PEER_RESULTS,   PEER_OFFER,   PEER_GET_RULES };
  enum
  {
    COUNT = sizeof named / sizeof named[0]
  };
  struct host *a = host_new (0, 1);
  struct host *b = host_new (0, 1);
  const char *refused = b->address;

  (void)snipe_blocklist_set (&refused, 1);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HEARTBEAT, LONG_TIMEOUT),
                   SNIPE_E_UNREACHABLE);
  for (size_t i = 0; i < 2 * COUNT; i++)
    {
      uint32_t procedure = named[i % COUNT];

      refused = i < COUNT ? "caller" : "10.1.2.3:4567";
      (void)snipe_blocklist_set (&refused, 1);
      /* On a busy machine the call may not be written in time, which gives
       * another status. */
      CU_ASSERT_NOT_EQUAL (call_once (a, b->address, procedure, 50 * SNIPE_MS),
                           SNIPE_OK);
      CU_ASSERT_EQUAL (host_call_count (b, procedure), 0);
    }
  (void)snipe_blocklist_set (NULL, 0);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HEARTBEAT, LONG_TIMEOUT),
                   SNIPE_OK);
  /* The peer is put on the blocklist while it handles the call. */
  b->block_during_call = b->address;
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_OFFER, LONG_TIMEOUT),
                   SNIPE_E_TIMEOUT);
  CU_ASSERT_EQUAL (host_call_count (b, PEER_OFFER), 1);
  b->block_during_call = NULL;
  (void)snipe_blocklist_set (NULL, 0);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HEARTBEAT, LONG_TIMEOUT),
                   SNIPE_OK);
  host_free (a);
  host_free (b);
}

/* Guards against faults with records that exactly fill libtirpc's buffer of
 * 64 KiB: such a record ends with an empty fragment. */
static void
test_fragment_boundaries (void)
{
  enum
  {
    BUFFER = 65536,
    AROUND = 400
  };
  struct host *a = host_new (0, 1);
  struct host *b = host_new (0, 1);
  struct waiter waiter = WAITER_INIT;
  int calls = 0;

  for (u_int len = BUFFER - AROUND; len < BUFFER + AROUND; len += 4)
    {
      struct snipe_peer_call call = { .procedure = PEER_ANSWER };

      call.args.answer.body.body_val = new_large_body ();
      call.args.answer.body.body_len = len;
      CU_ASSERT_EQUAL (snipe_peer_net_call (a->net, b->address, &call,
                                            LONG_TIMEOUT, on_call_done,
                                            &waiter),
                       SNIPE_OK);
      calls++;
    }
  wait_for_calls (&waiter, calls);
  CU_ASSERT_EQUAL (waiter.failures, 0);
  CU_ASSERT_EQUAL (host_call_count (b, PEER_ANSWER), calls);
  host_free (a);
  host_free (b);
}

/* Guards against reordered calls: the results of a batch must not arrive
 * before a reply that was sent earlier. */
static void
test_order (void)
{
  enum
  {
    CALLS = 2000
  };
  struct host *a = host_new (0, 3);
  struct host *b = host_new (0, 1);
  struct waiter waiter = WAITER_INIT;

  waiter.procedure = PEER_FORWARD;
  for (uint64_t token = 1; token <= CALLS; token++)
    {
      struct snipe_peer_call call = { .procedure = PEER_FORWARD };

      load_fill (&call.args.forward.from, "caller");
      call.args.forward.token = token;
      call.args.forward.id = copy_text ("s-1");
      CU_ASSERT_EQUAL (snipe_peer_net_call (a->net, b->address, &call,
                                            LONG_TIMEOUT, on_call_done,
                                            &waiter),
                       SNIPE_OK);
    }
  wait_for_calls (&waiter, CALLS);
  CU_ASSERT_EQUAL (waiter.failures, 0);
  CU_ASSERT_EQUAL (host_call_count (b, PEER_FORWARD), CALLS);
  CU_ASSERT_EQUAL (b->out_of_order, 0);
  host_free (a);
  host_free (b);
}

/* Guards against faults with descriptors above FD_SETSIZE, which occur in a
 * daemon with connections to many endpoints. */
static void
test_high_descriptors (void)
{
  enum
  {
    FILLERS = FD_SETSIZE
  };
  struct host *a;
  struct host *b;
  int *fds = calloc (FILLERS, sizeof *fds);

  if (fds == NULL)
    abort ();
  for (int i = 0; i < FILLERS; i++)
    {
      fds[i] = open ("/dev/null", O_RDONLY | O_CLOEXEC);
      CU_ASSERT_TRUE_FATAL (fds[i] >= 0);
    }
  a = host_new (0, 1);
  b = host_new (0, 1);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_RUN_BATCH, LONG_TIMEOUT),
                   SNIPE_OK);
  CU_ASSERT_EQUAL (call_once (b, a->address, PEER_HEARTBEAT, LONG_TIMEOUT),
                   SNIPE_OK);
  host_free (a);
  host_free (b);
  for (int i = 0; i < FILLERS; i++)
    close (fds[i]);
  free (fds);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "every procedure", test_every_procedure },
    { "unreachable peers", test_unreachable },
    { "peer that restarts", test_peer_restarts },
    { "blocklist", test_blocklist },
    { "fragment boundaries", test_fragment_boundaries },
    { "order of calls", test_order },
    { "descriptors above FD_SETSIZE", test_high_descriptors },
    CU_TEST_INFO_NULL,
  };

  raise_descriptor_limit ();
  return suite_run ("peer net", tests);
}
