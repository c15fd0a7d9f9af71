#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net_host.h"
#include "peer/net.h"
#include "snipe/status.h"
#include "suite.h"

/* A peer that reads one whole record from each connection, then closes it. */
struct closing_peer
{
  int fd;
  char address[32];
  pthread_t thread;
  int records;
};

static void *
close_after_record (void *ctx)
{
  struct closing_peer *closing_peer = ctx;

  for (;;)
    {
      int fd = accept (closing_peer->fd, NULL, NULL);
      uint32_t header;
      char byte;

      if (fd < 0)
        return NULL;
      if (recv (fd, &header, sizeof header, MSG_WAITALL) == sizeof header)
        {
          uint32_t left = ntohl (header) & 0x7fffffffU;

          while (left > 0 && recv (fd, &byte, 1, 0) == 1)
            left--;
          if (left == 0)
            closing_peer->records++;
        }
      close (fd);
    }
}

/* Guards against a call that is sent again after the peer has read it: a batch
 * would run twice. */
static void
test_peer_closes_after_reading (void)
{
  struct host *a = host_new (0, 1);
  struct closing_peer closing_peer = { .records = 0 };

  closing_peer.fd
      = bind_loopback (closing_peer.address, sizeof closing_peer.address);
  if (listen (closing_peer.fd, 8) != 0
      || pthread_create (&closing_peer.thread, NULL, close_after_record,
                         &closing_peer)
             != 0)
    abort ();
  CU_ASSERT_EQUAL (
      call_once (a, closing_peer.address, PEER_HEARTBEAT, LONG_TIMEOUT),
      SNIPE_E_TIMEOUT);
  CU_ASSERT_EQUAL (
      call_once (a, closing_peer.address, PEER_HEARTBEAT, LONG_TIMEOUT),
      SNIPE_E_TIMEOUT);
  host_free (a);
  (void)shutdown (closing_peer.fd, SHUT_RDWR);
  pthread_join (closing_peer.thread, NULL);
  CU_ASSERT_EQUAL (closing_peer.records, 2);
  close (closing_peer.fd);
}

static int
connect_to (const struct host *host)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  in.sin_port = htons (snipe_peer_net_port (host->net));
  if (fd < 0 || connect (fd, (struct sockaddr *)&in, sizeof in) != 0)
    abort ();
  return fd;
}

/* Guards against input of a foreign or faulty client that crashes or blocks
 * the server, or makes it allocate memory without limit. */
static void
test_malformed_input (void)
{
  static const struct
  {
    const char *name;
    size_t len;
    const char *data;
    bool closed; /* the server closes the connection */
  } cases[] = {
    { "HTTP request", 18, "GET / HTTP/1.1\r\n\r\n", true },
    { "record of 2 GiB", 4, "\xff\xff\xff\xff", true },
    { "fragments that add up to 2 GiB", 10,
      "\x03\xff\xff\xff"
      "abcdef",
      false },
    { "empty record", 4, "\x80\x00\x00\x00", true },
    { "empty fragment", 4, "\x00\x00\x00\x00", true },
    { "partial header", 2, "\x80\x00", false },
    { "partial record", 8,
      "\x80\x00\x00\x28"
      "abcd",
      false },
    { "record that is not a call", 12,
      "\x80\x00\x00\x08"
      "abcdefgh",
      false },
    { "reply instead of a call", 28,
      "\x80\x00\x00\x18"
      "abcd"
      "\0\0\0\1"
      "\0\0\0\0"
      "\0\0\0\0"
      "\0\0\0\0"
      "\0\0\0\0",
      false },
    { "call with long credentials", 44,
      "\x80\x00\x00\x28"
      "abcd"
      "\0\0\0\0"
      "\0\0\0\2"
      "\x20\0\x5e\x1b"
      "\0\0\0\1"
      "\0\0\0\1"
      "\0\0\0\0"
      "\x7f\xff\xff\xff"
      "\0\0\0\0"
      "\0\0\0\0",
      false },
    { "call without arguments", 44,
      "\x80\x00\x00\x28"
      "abcd"
      "\0\0\0\0"
      "\0\0\0\2"
      "\x20\0\x5e\x1b"
      "\0\0\0\1"
      "\0\0\0\1"
      "\0\0\0\0"
      "\0\0\0\0"
      "\0\0\0\0"
      "\0\0\0\0",
      false },
    { "unknown procedure", 44,
      "\x80\x00\x00\x28"
      "abcd"
      "\0\0\0\0"
      "\0\0\0\2"
      "\x20\0\x5e\x1b"
      "\0\0\0\1"
      "\0\0\0\x63"
      "\0\0\0\0"
      "\0\0\0\0"
      "\0\0\0\0"
      "\0\0\0\0",
      false },
    { "unknown program", 44,
      "\x80\x00\x00\x28"
      "abcd"
      "\0\0\0\0"
      "\0\0\0\2"
      "\x20\0\x5e\x1c"
      "\0\0\0\1"
      "\0\0\0\1"
      "\0\0\0\0"
      "\0\0\0\0"
      "\0\0\0\0"
      "\0\0\0\0",
      false },
  };
  enum
  {
    COUNT = sizeof cases / sizeof cases[0]
  };
  struct host *a = host_new (0, 1);
  struct host *b = host_new (0, 1);
  int fds[COUNT];

  for (int i = 0; i < COUNT; i++)
    {
      char byte;

      fds[i] = connect_to (b);
      CU_ASSERT_EQUAL (
          send (fds[i], cases[i].data, cases[i].len, MSG_NOSIGNAL),
          (ssize_t)cases[i].len);
      /* End of file or a reset; if the server keeps the connection open, the
       * test program times out. */
      if (cases[i].closed)
        CU_ASSERT_TRUE (recv (fds[i], &byte, 1, 0) <= 0);
      CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HEARTBEAT, LONG_TIMEOUT),
                       SNIPE_OK);
    }
  CU_ASSERT_EQUAL (host_call_count (b, PEER_HEARTBEAT), COUNT);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_RUN_BATCH, LONG_TIMEOUT),
                   SNIPE_OK);
  /* The server must also stop while these connections are open. */
  host_free (b);
  host_free (a);
  for (int i = 0; i < COUNT; i++)
    close (fds[i]);
}

/* Guards against a call without a reply that never completes, or that makes
 * later calls fail. */
static void
test_no_reply (void)
{
  struct host *a = host_new (0, 1);
  struct host *b = host_new (0, 1);
  snipe_time timeout = 100 * SNIPE_MS;
  int status;

  b->drop_replies = true;
  do
    {
      /* On a busy machine the call may not be written in time. */
      status = call_once (a, b->address, PEER_HEARTBEAT, timeout);
      timeout *= 2;
    }
  while (status == SNIPE_E_UNREACHABLE && timeout < LONG_TIMEOUT);
  CU_ASSERT_EQUAL (status, SNIPE_E_TIMEOUT);
  while (host_call_count (b, PEER_HEARTBEAT) == 0)
    (void)usleep (1000);
  pthread_mutex_lock (&b->lock);
  b->drop_replies = false;
  pthread_mutex_unlock (&b->lock);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HEARTBEAT, LONG_TIMEOUT),
                   SNIPE_OK);
  CU_ASSERT_EQUAL (host_call_count (b, PEER_HEARTBEAT), 2);
  host_free (a);
  host_free (b);
}

/* Guards against calls whose callback is not called when the peer network
 * stops, against waiting for a suspended peer, and against reporting a call
 * that was written as SNIPE_E_UNREACHABLE. */
static void
test_free_completes_calls (void)
{
  struct host *a = host_new (0, 1);
  struct waiter written = WAITER_INIT;
  struct waiter waiting = WAITER_INIT;
  char address[32];
  char byte;
  int fd = bind_loopback (address, sizeof address);
  int connection;

  if (listen (fd, 8) != 0)
    abort ();
  start_call (a, address, PEER_HEARTBEAT, LONG_TIMEOUT, &written);
  start_call (a, address, PEER_HEARTBEAT, LONG_TIMEOUT, &waiting);
  connection = accept (fd, NULL, NULL);
  CU_ASSERT_EQUAL (recv (connection, &byte, 1, 0), 1);
  host_free (a);
  CU_ASSERT_EQUAL (written.completed, 1);
  CU_ASSERT_EQUAL (written.status, SNIPE_E_TIMEOUT);
  CU_ASSERT_EQUAL (waiting.completed, 1);
  CU_ASSERT_EQUAL (waiting.status, SNIPE_E_UNREACHABLE);
  close (connection);
  close (fd);
}

/* Guards against a server that, after it was suspended, starts a batch whose
 * sender has abandoned the call. Holding the host's lock blocks its handler,
 * and thereby its server thread. */
static void
test_abandoned_batch (void)
{
  struct host *a = host_new (0, 1);
  struct host *b = host_new (0, 1);
  struct host *c = host_new (0, 1);
  struct waiter waiter = WAITER_INIT;

  pthread_mutex_lock (&b->lock);
  start_call (a, b->address, PEER_HEARTBEAT, LONG_TIMEOUT, &waiter);
  /* The batch must not reach the server before its thread is blocked. */
  while (__atomic_load_n (&b->entered, __ATOMIC_SEQ_CST) == 0)
    (void)usleep (1000);
  CU_ASSERT_EQUAL (call_once (c, b->address, PEER_RUN_BATCH, 300 * SNIPE_MS),
                   SNIPE_E_TIMEOUT);
  pthread_mutex_unlock (&b->lock);
  wait_for_calls (&waiter, 1);
  /* Each of these calls is another iteration of the server's loop. */
  for (int i = 0; i < 10; i++)
    CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HEARTBEAT, LONG_TIMEOUT),
                     SNIPE_OK);
  CU_ASSERT_EQUAL (host_call_count (b, PEER_RUN_BATCH), 0);
  host_free (a);
  host_free (b);
  host_free (c);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "peer that closes after reading", test_peer_closes_after_reading },
    { "malformed input", test_malformed_input },
    { "no reply", test_no_reply },
    { "freeing the network completes its calls", test_free_completes_calls },
    { "abandoned batch", test_abandoned_batch },
    CU_TEST_INFO_NULL,
  };

  raise_descriptor_limit ();
  return suite_run ("peer net faults", tests);
}
