#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/net.h"
#include "snipe/status.h"
#include "suite.h"
#include "util/refuse.h"

#define LONG_WAIT (200 * SNIPE_S)
#define BIG_BODY 300000 /* more than the buffers of libtirpc and a socket */

/* What the handlers of one host saw and do. */
struct host
{
  struct snipe_peer_net *net;
  char address[32];
  pthread_mutex_t lock;
  int calls[8]; /* by procedure */
  bool silent;  /* send no reply */
  const char *refuse_in_call;
  uint64_t last_token;
  int out_of_order;
  uint32_t answer_len;
};

static char *
copy_text (const char *text)
{
  char *copy = strdup (text);

  if (copy == NULL)
    abort ();
  return copy;
}

static char *
copy_bytes (const char *data, size_t len)
{
  char *copy = malloc (len + 1);

  if (copy == NULL)
    abort ();
  if (len > 0)
    memcpy (copy, data, len);
  return copy;
}

static char *
big_bytes (void)
{
  char *data = malloc (BIG_BODY);

  if (data == NULL)
    abort ();
  for (size_t i = 0; i < BIG_BODY; i++)
    data[i] = (char)(i * 31 >> 3);
  return data;
}

static bool
is_big (const char *data, uint32_t len)
{
  char *expected;
  bool same;

  if (len != BIG_BODY)
    return false;
  expected = big_bytes ();
  same = memcmp (data, expected, BIG_BODY) == 0;
  free (expected);
  return same;
}

static void
load_fill (peer_load *load, const char *name)
{
  memset (load, 0, sizeof *load);
  load->incarnation = 0xfedcba9876543210U;
  load->name = copy_text (name);
  load->address = copy_text ("10.1.2.3:4567");
  load->domain = copy_text ("enna");
  load->size_permille = 1500;
  load->state = PEER_LEAVING;
  load->rules_version = 77;
  load->free_slots = 5;
  load->domains.domains_val = calloc (2, sizeof (peer_name));
  if (load->domains.domains_val == NULL)
    abort ();
  load->domains.domains_len = 2;
  load->domains.domains_val[0] = copy_text ("enna");
  load->domains.domains_val[1] = copy_text ("catania");
}

static bool
load_is (const peer_load *load, const char *name)
{
  return load->incarnation == 0xfedcba9876543210U
         && strcmp (load->name, name) == 0
         && strcmp (load->address, "10.1.2.3:4567") == 0
         && load->size_permille == 1500 && strcmp (load->domain, "enna") == 0
         && load->state == PEER_LEAVING && load->rules_version == 77
         && load->free_slots == 5 && load->domains.domains_len == 2
         && strcmp (load->domains.domains_val[1], "catania") == 0;
}

static int
count_call (struct host *host, uint32_t procedure)
{
  bool silent;

  pthread_mutex_lock (&host->lock);
  host->calls[procedure]++;
  silent = host->silent;
  if (host->refuse_in_call != NULL)
    (void)snipe_refuse_set (&host->refuse_in_call, 1);
  pthread_mutex_unlock (&host->lock);
  return silent ? SNIPE_E_INTERNAL : SNIPE_OK;
}

static int
on_load (struct host *host, uint32_t procedure, const peer_load *args,
         peer_load *reply)
{
  load_fill (reply, load_is (args, "caller") ? "echo" : "wrong");
  return count_call (host, procedure);
}

static int
on_hello (void *ctx, const peer_load *args, peer_load *reply)
{
  return on_load (ctx, PEER_HELLO, args, reply);
}

static int
on_offer (void *ctx, const peer_load *args, peer_load *reply)
{
  return on_load (ctx, PEER_OFFER, args, reply);
}

static int
on_forward (void *ctx, const peer_forward *args, peer_forward_reply *reply)
{
  struct host *host = ctx;
  peer_answer *answer = &reply->peer_forward_reply_u.answer;

  pthread_mutex_lock (&host->lock);
  if (args->token <= host->last_token)
    host->out_of_order++;
  host->last_token = args->token;
  pthread_mutex_unlock (&host->lock);
  reply->state = PEER_ANSWERED;
  answer->token = args->token;
  answer->http_status = 202;
  answer->body.body_val
      = copy_bytes (args->body.body_val, args->body.body_len);
  answer->body.body_len = args->body.body_len;
  return count_call (host, PEER_FORWARD);
}

static int
on_answer (void *ctx, const peer_answer *args)
{
  struct host *host = ctx;

  pthread_mutex_lock (&host->lock);
  host->answer_len = is_big (args->body.body_val, args->body.body_len)
                         ? args->body.body_len
                         : 0;
  pthread_mutex_unlock (&host->lock);
  return count_call (host, PEER_ANSWER);
}

static int
on_run_batch (void *ctx, const peer_batch *args, peer_batch_reply *reply)
{
  load_fill (&reply->load, args->job);
  reply->refused.refused_val
      = calloc (args->tasks.tasks_len + 1, sizeof (u_int));
  if (reply->refused.refused_val == NULL)
    abort ();
  reply->refused.refused_len = args->tasks.tasks_len;
  for (u_int i = 0; i < args->tasks.tasks_len; i++)
    reply->refused.refused_val[i] = args->tasks.tasks_val[i].index;
  return count_call (ctx, PEER_RUN_BATCH);
}

static int
on_results (void *ctx, const peer_results *args, peer_load *reply)
{
  const peer_result *result = &args->results.results_val[1];

  load_fill (reply, args->results.results_len == 2
                            && result->outcome == PEER_UNKNOWN
                            && result->index == 9
                            && is_big (result->result.result_val,
                                       result->result.result_len)
                        ? "echo"
                        : "wrong");
  return count_call (ctx, PEER_RESULTS);
}

static int
on_get_rules (void *ctx, const peer_load *args, peer_rules *reply)
{
  (void)args;
  reply->rules_version = 78;
  reply->text.text_val = big_bytes ();
  reply->text.text_len = BIG_BODY;
  return count_call (ctx, PEER_GET_RULES);
}

static const struct snipe_peer_handlers handlers = {
  .hello = on_hello,
  .forward = on_forward,
  .answer = on_answer,
  .run_batch = on_run_batch,
  .results = on_results,
  .offer = on_offer,
  .get_rules = on_get_rules,
};

/* @param port 0, or a port that an earlier host used */
static struct host *
host_new (uint16_t port, uint32_t threads)
{
  struct snipe_peer_net_options options = SNIPE_PEER_NET_OPTIONS_INIT;
  struct host *host = calloc (1, sizeof *host);

  if (host == NULL)
    abort ();
  pthread_mutex_init (&host->lock, NULL);
  (void)snprintf (host->address, sizeof host->address, "127.0.0.1:%u",
                  (unsigned int)port);
  options.listen = host->address;
  options.sender_threads = threads;
  /* Long enough that a busy machine does not fail a connection. */
  options.connect_timeout = 20 * SNIPE_S;
  options.handlers = &handlers;
  options.ctx = host;
  if (snipe_peer_net_new (&host->net, &options) != SNIPE_OK)
    {
      printf ("\n  %s", snipe_status_last ());
      abort ();
    }
  (void)snprintf (host->address, sizeof host->address, "127.0.0.1:%u",
                  (unsigned int)snipe_peer_net_port (host->net));
  return host;
}

static void
host_free (struct host *host)
{
  snipe_peer_net_free (host->net);
  pthread_mutex_destroy (&host->lock);
  free (host);
}

static int
host_calls (struct host *host, uint32_t procedure)
{
  int calls;

  pthread_mutex_lock (&host->lock);
  calls = host->calls[procedure];
  pthread_mutex_unlock (&host->lock);
  return calls;
}

/* Ends of calls. */
struct waiter
{
  pthread_mutex_t lock;
  pthread_cond_t ended;
  int ends;
  int status;
  int failures;
  uint32_t procedure;
  bool echoed; /* the reply is the one that the handlers give */
};

#define WAITER_INIT                                                           \
  {                                                                           \
    .lock = PTHREAD_MUTEX_INITIALIZER, .ended = PTHREAD_COND_INITIALIZER      \
  }

static bool
is_echo (uint32_t procedure, const union snipe_peer_reply *reply)
{
  const peer_answer *answer = &reply->forward.peer_forward_reply_u.answer;

  switch (procedure)
    {
    case PEER_FORWARD:
      return reply->forward.state == PEER_ANSWERED
             && answer->http_status == 202
             && is_big (answer->body.body_val, answer->body.body_len);
    case PEER_RUN_BATCH:
      return load_is (&reply->run_batch.load, "s-1")
             && reply->run_batch.refused.refused_len == 2
             && reply->run_batch.refused.refused_val[1] == 9;
    case PEER_GET_RULES:
      return reply->rules.rules_version == 78
             && is_big (reply->rules.text.text_val,
                        reply->rules.text.text_len);
    case PEER_ANSWER:
      return true;
    default:
      return load_is (&reply->load, "echo");
    }
}

static void
on_done (void *ctx, int status, union snipe_peer_reply *reply)
{
  struct waiter *waiter = ctx;

  pthread_mutex_lock (&waiter->lock);
  waiter->status = status;
  waiter->echoed = status == SNIPE_OK && is_echo (waiter->procedure, reply);
  if (status != SNIPE_OK)
    waiter->failures++;
  if (status != SNIPE_OK && reply != NULL)
    abort ();
  waiter->ends++;
  pthread_cond_signal (&waiter->ended);
  pthread_mutex_unlock (&waiter->lock);
}

static void
await (struct waiter *waiter, int ends)
{
  pthread_mutex_lock (&waiter->lock);
  while (waiter->ends < ends)
    pthread_cond_wait (&waiter->ended, &waiter->lock);
  pthread_mutex_unlock (&waiter->lock);
}

static struct snipe_peer_call
call_of (uint32_t procedure, uint64_t token)
{
  struct snipe_peer_call call = { .procedure = procedure };

  switch (procedure)
    {
    case PEER_FORWARD:
      load_fill (&call.args.forward.from, "caller");
      call.args.forward.token = token;
      call.args.forward.id = copy_text ("s-1");
      call.args.forward.body.body_val = big_bytes ();
      call.args.forward.body.body_len = BIG_BODY;
      break;
    case PEER_ANSWER:
      call.args.answer.body.body_val = big_bytes ();
      call.args.answer.body.body_len = BIG_BODY;
      break;
    case PEER_RUN_BATCH:
      load_fill (&call.args.run_batch.from, "caller");
      call.args.run_batch.job = copy_text ("s-1");
      call.args.run_batch.team = copy_text ("reorder");
      call.args.run_batch.tasks.tasks_val = calloc (2, sizeof (peer_task));
      if (call.args.run_batch.tasks.tasks_val == NULL)
        abort ();
      call.args.run_batch.tasks.tasks_len = 2;
      for (int i = 0; i < 2; i++)
        {
          peer_task *task = &call.args.run_batch.tasks.tasks_val[i];

          task->index = i == 0 ? 4 : 9;
          task->kind = copy_text ("price-strip");
          task->payload.payload_val = big_bytes ();
          task->payload.payload_len = BIG_BODY;
        }
      break;
    case PEER_RESULTS:
      load_fill (&call.args.results.from, "caller");
      call.args.results.results.results_val = calloc (2, sizeof (peer_result));
      if (call.args.results.results.results_val == NULL)
        abort ();
      call.args.results.results.results_len = 2;
      call.args.results.results.results_val[1] = (peer_result){
        .index = 9,
        .outcome = PEER_UNKNOWN,
        .result = { .result_len = BIG_BODY, .result_val = big_bytes () },
      };
      break;
    default:
      load_fill (&call.args.hello, "caller");
      break;
    }
  return call;
}

static void
begin (struct host *from, const char *address, uint32_t procedure,
       snipe_time timeout, struct waiter *waiter)
{
  struct snipe_peer_call call = call_of (procedure, 1);

  waiter->procedure = procedure;
  CU_ASSERT_EQUAL (snipe_peer_net_call (from->net, address, &call, timeout,
                                        on_done, waiter),
                   SNIPE_OK);
}

/* One call from start to end. @return its status */
static int
call_once (struct host *from, const char *address, uint32_t procedure,
           snipe_time timeout)
{
  struct waiter waiter = WAITER_INIT;

  begin (from, address, procedure, timeout, &waiter);
  await (&waiter, 1);
  if (waiter.status == SNIPE_OK)
    CU_ASSERT_TRUE (waiter.echoed);
  return waiter.status;
}

/* Guards against a procedure that is wired to another one's types, and
 * against messages longer than one buffer. */
static void
test_every_procedure (void)
{
  struct host *a = host_new (0, 2);
  struct host *b = host_new (0, 2);

  for (uint32_t procedure = PEER_HELLO; procedure <= PEER_GET_RULES;
       procedure++)
    {
      CU_ASSERT_EQUAL (call_once (a, b->address, procedure, LONG_WAIT),
                       SNIPE_OK);
      CU_ASSERT_EQUAL (host_calls (b, procedure), 1);
    }
  CU_ASSERT_EQUAL (b->answer_len, BIG_BODY);
  CU_ASSERT_EQUAL (call_once (b, a->address, PEER_HELLO, LONG_WAIT), SNIPE_OK);
  /* A host may call itself. */
  CU_ASSERT_EQUAL (call_once (a, a->address, PEER_HELLO, LONG_WAIT), SNIPE_OK);
  host_free (a);
  host_free (b);
}

/* A socket on a free port of the loopback interface. */
static int
bind_loopback (char *address, size_t room)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  socklen_t len = sizeof in;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0 || bind (fd, (struct sockaddr *)&in, sizeof in) != 0
      || getsockname (fd, (struct sockaddr *)&in, &len) != 0)
    abort ();
  (void)snprintf (address, room, "127.0.0.1:%u",
                  (unsigned int)ntohs (in.sin_port));
  return fd;
}

/* Guards against calls that surely were not delivered being reported as
 * possibly delivered, and against a dead peer that stops its thread. */
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
    begin (a, address, PEER_HELLO, LONG_WAIT, &waiter);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HELLO, LONG_WAIT), SNIPE_OK);
  await (&waiter, 20);
  CU_ASSERT_EQUAL (waiter.failures, 20);
  CU_ASSERT_EQUAL (waiter.status, SNIPE_E_UNREACHABLE);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HELLO, 0),
                   SNIPE_E_UNREACHABLE);
  CU_ASSERT_EQUAL (host_calls (b, PEER_HELLO), 1);

  call = call_of (PEER_HELLO, 0);
  CU_ASSERT_EQUAL (snipe_peer_net_call (a->net, "nowhere", &call, LONG_WAIT,
                                        on_done, &waiter),
                   SNIPE_E_INVALID);
  call = call_of (PEER_HELLO, 0);
  /* One byte over the limit. A NULL string is refused in the same way, but
   * the sanitizers' xdr_string () cannot take one. */
  free (call.args.hello.domain);
  call.args.hello.domain = calloc (1, PEER_NAME_MAX + 2);
  if (call.args.hello.domain == NULL)
    abort ();
  memset (call.args.hello.domain, 'd', PEER_NAME_MAX + 1);
  CU_ASSERT_EQUAL (snipe_peer_net_call (a->net, b->address, &call, LONG_WAIT,
                                        on_done, &waiter),
                   SNIPE_E_INVALID);
  host_free (a);
  CU_ASSERT_EQUAL (waiter.ends, 20);
  host_free (b);
  close (fd);
}

/* A peer that reads one whole record from each connection, then closes it. */
struct killer
{
  int fd;
  char address[32];
  pthread_t thread;
  int records;
};

static void *
kill_connections (void *ctx)
{
  struct killer *killer = ctx;

  for (;;)
    {
      int fd = accept (killer->fd, NULL, NULL);
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
            killer->records++;
        }
      close (fd);
    }
}

/* Guards against a call that is sent again after the peer read it: a batch
 * would run twice. */
static void
test_peer_dies_after_reading (void)
{
  struct host *a = host_new (0, 1);
  struct killer killer = { .records = 0 };

  killer.fd = bind_loopback (killer.address, sizeof killer.address);
  if (listen (killer.fd, 8) != 0
      || pthread_create (&killer.thread, NULL, kill_connections, &killer) != 0)
    abort ();
  CU_ASSERT_EQUAL (call_once (a, killer.address, PEER_HELLO, LONG_WAIT),
                   SNIPE_E_TIMEOUT);
  CU_ASSERT_EQUAL (call_once (a, killer.address, PEER_HELLO, LONG_WAIT),
                   SNIPE_E_TIMEOUT);
  host_free (a);
  (void)shutdown (killer.fd, SHUT_RDWR);
  pthread_join (killer.thread, NULL);
  CU_ASSERT_EQUAL (killer.records, 2);
  close (killer.fd);
}

/* Guards against writing to a kept connection that the peer has closed: a
 * call to a restarted peer would count as possibly delivered. */
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
      CU_ASSERT_EQUAL (call_once (a, address, PEER_HELLO, LONG_WAIT),
                       SNIPE_OK);
      host_free (b);
      b = host_new (port, 1);
    }
  CU_ASSERT_EQUAL (call_once (a, address, PEER_HELLO, LONG_WAIT), SNIPE_OK);
  CU_ASSERT_EQUAL (host_calls (b, PEER_HELLO), 1);
  host_free (a);
  host_free (b);
}

/* Guards against a partition test that leaks in either direction. */
static void
test_refusal_list (void)
{
  static const uint32_t named[]
      = { PEER_HELLO,   PEER_FORWARD, PEER_RUN_BATCH,
          PEER_RESULTS, PEER_OFFER,   PEER_GET_RULES };
  enum
  {
    COUNT = sizeof named / sizeof named[0]
  };
  struct host *a = host_new (0, 1);
  struct host *b = host_new (0, 1);
  const char *refused = b->address;

  (void)snipe_refuse_set (&refused, 1);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HELLO, LONG_WAIT),
                   SNIPE_E_UNREACHABLE);
  for (size_t i = 0; i < 2 * COUNT; i++)
    {
      uint32_t procedure = named[i % COUNT];

      refused = i < COUNT ? "caller" : "10.1.2.3:4567";
      (void)snipe_refuse_set (&refused, 1);
      /* On a busy machine the time may end before the call is written. */
      CU_ASSERT_NOT_EQUAL (call_once (a, b->address, procedure, 50 * SNIPE_MS),
                           SNIPE_OK);
      CU_ASSERT_EQUAL (host_calls (b, procedure), 0);
    }
  (void)snipe_refuse_set (NULL, 0);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HELLO, LONG_WAIT), SNIPE_OK);
  /* The peer becomes refused while it handles the call. */
  b->refuse_in_call = b->address;
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_OFFER, LONG_WAIT),
                   SNIPE_E_TIMEOUT);
  CU_ASSERT_EQUAL (host_calls (b, PEER_OFFER), 1);
  b->refuse_in_call = NULL;
  (void)snipe_refuse_set (NULL, 0);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HELLO, LONG_WAIT), SNIPE_OK);
  host_free (a);
  host_free (b);
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

/* Guards against a server that a foreign or broken client crashes, blocks or
 * makes reserve memory without limit. */
static void
test_garbage (void)
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
    { "half a header", 2, "\x80\x00", false },
    { "half a record", 8,
      "\x80\x00\x00\x28"
      "abcd",
      false },
    { "record that is no call", 12,
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
      /* 0 or a reset; a server that keeps the connection runs into the
       * test's own limit of time. */
      if (cases[i].closed)
        CU_ASSERT_TRUE (recv (fds[i], &byte, 1, 0) <= 0);
      CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HELLO, LONG_WAIT),
                       SNIPE_OK);
    }
  CU_ASSERT_EQUAL (host_calls (b, PEER_HELLO), COUNT);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_RUN_BATCH, LONG_WAIT),
                   SNIPE_OK);
  /* The server must also stop while these connections are open. */
  host_free (b);
  host_free (a);
  for (int i = 0; i < COUNT; i++)
    close (fds[i]);
}

/* Guards against a call without a reply that never ends, or that spoils the
 * calls after it. */
static void
test_no_reply (void)
{
  struct host *a = host_new (0, 1);
  struct host *b = host_new (0, 1);
  snipe_time timeout = 100 * SNIPE_MS;
  int status;

  b->silent = true;
  do
    {
      /* On a busy machine the time may end before the call is written. */
      status = call_once (a, b->address, PEER_HELLO, timeout);
      timeout *= 2;
    }
  while (status == SNIPE_E_UNREACHABLE && timeout < LONG_WAIT);
  CU_ASSERT_EQUAL (status, SNIPE_E_TIMEOUT);
  while (host_calls (b, PEER_HELLO) == 0)
    (void)usleep (1000);
  pthread_mutex_lock (&b->lock);
  b->silent = false;
  pthread_mutex_unlock (&b->lock);
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_HELLO, LONG_WAIT), SNIPE_OK);
  CU_ASSERT_EQUAL (host_calls (b, PEER_HELLO), 2);
  host_free (a);
  host_free (b);
}

/* Guards against records whose end falls on the end of libtirpc's buffer of
 * 64 KiB: such a record ends with an empty fragment. */
static void
test_fragment_ends (void)
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

      call.args.answer.body.body_val = big_bytes ();
      call.args.answer.body.body_len = len;
      CU_ASSERT_EQUAL (snipe_peer_net_call (a->net, b->address, &call,
                                            LONG_WAIT, on_done, &waiter),
                       SNIPE_OK);
      calls++;
    }
  await (&waiter, calls);
  CU_ASSERT_EQUAL (waiter.failures, 0);
  CU_ASSERT_EQUAL (host_calls (b, PEER_ANSWER), calls);
  host_free (a);
  host_free (b);
}

/* Guards against calls that overtake each other: a batch's results must not
 * arrive before a reply that was sent earlier. */
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
                                            LONG_WAIT, on_done, &waiter),
                       SNIPE_OK);
    }
  await (&waiter, CALLS);
  CU_ASSERT_EQUAL (waiter.failures, 0);
  CU_ASSERT_EQUAL (host_calls (b, PEER_FORWARD), CALLS);
  CU_ASSERT_EQUAL (b->out_of_order, 0);
  host_free (a);
  host_free (b);
}

/* Guards against calls that are forgotten when the net stops, against
 * waiting for a frozen peer, and against calling a written one
 * "unreachable". */
static void
test_free_ends_calls (void)
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
  begin (a, address, PEER_HELLO, LONG_WAIT, &written);
  begin (a, address, PEER_HELLO, LONG_WAIT, &waiting);
  connection = accept (fd, NULL, NULL);
  CU_ASSERT_EQUAL (recv (connection, &byte, 1, 0), 1);
  host_free (a);
  CU_ASSERT_EQUAL (written.ends, 1);
  CU_ASSERT_EQUAL (written.status, SNIPE_E_TIMEOUT);
  CU_ASSERT_EQUAL (waiting.ends, 1);
  CU_ASSERT_EQUAL (waiting.status, SNIPE_E_UNREACHABLE);
  close (connection);
  close (fd);
}

/* Guards against descriptors above FD_SETSIZE, which a daemon with
 * connections to many endpoints has. */
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
  CU_ASSERT_EQUAL (call_once (a, b->address, PEER_RUN_BATCH, LONG_WAIT),
                   SNIPE_OK);
  CU_ASSERT_EQUAL (call_once (b, a->address, PEER_HELLO, LONG_WAIT), SNIPE_OK);
  host_free (a);
  host_free (b);
  for (int i = 0; i < FILLERS; i++)
    close (fds[i]);
  free (fds);
}

int
main (void)
{
  struct rlimit limit;
  CU_TestInfo tests[] = {
    { "every procedure", test_every_procedure },
    { "unreachable peers", test_unreachable },
    { "a peer that dies after reading", test_peer_dies_after_reading },
    { "a peer that restarts", test_peer_restarts },
    { "the refusal list", test_refusal_list },
    { "garbage", test_garbage },
    { "no reply", test_no_reply },
    { "ends of fragments", test_fragment_ends },
    { "order of calls", test_order },
    { "free ends the calls", test_free_ends_calls },
    { "high descriptors", test_high_descriptors },
    CU_TEST_INFO_NULL,
  };

  /* libtirpc sizes its tables by this limit at its first use. */
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0)
    {
      limit.rlim_cur = limit.rlim_max < 8192 ? limit.rlim_max : 8192;
      (void)setrlimit (RLIMIT_NOFILE, &limit);
    }
  return suite_run ("peer net", tests);
}
