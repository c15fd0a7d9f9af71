#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "endpoint/client.h"
#include "snipe/status.h"
#include "suite.h"
#include "util/blocklist.h"

/* An endpoint on plain sockets. The body of a request names what to do with
 * it; each connection has a thread. */

#define CONNECTIONS_MAX 256
#define LONG_WAIT (200 * SNIPE_S)

struct fake
{
  int fd;
  char address[32];
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  bool gate_open; /* lets requests of mode "hold" go on */
  int held;       /* requests of mode "hold" that were read */
  int requests;
  int connections; /* accepted so far */
  int last_number; /* number of the last request on its connection */
  int fds[CONNECTIONS_MAX];
  pthread_t threads[CONNECTIONS_MAX];
};

struct conversation
{
  struct fake *fake;
  int fd;
};

static void
send_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t sent = send (fd, data, len, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      data += sent;
      len -= (size_t)sent;
    }
}

static void
answer (int fd, const char *status, const char *header, const char *body)
{
  char head[256];
  int len = snprintf (head, sizeof head,
                      "HTTP/1.1 %s\r\n%sContent-Length: %zu\r\n\r\n", status,
                      header, strlen (body));

  send_all (fd, head, (size_t)len);
  send_all (fd, body, strlen (body));
}

/* Reads one request. @return its body in @p text, or false at the end. */
static bool
read_request (int fd, char *text, size_t room)
{
  size_t len = 0;

  while (len < room - 1)
    {
      ssize_t got = recv (fd, text + len, room - 1 - len, 0);
      const char *end;
      const char *length;

      if (got <= 0)
        return false;
      len += (size_t)got;
      text[len] = '\0';
      end = strstr (text, "\r\n\r\n");
      length = strstr (text, "Content-Length: ");
      if (end != NULL && length != NULL
          && strlen (end + 4) >= strtoul (length + 16, NULL, 10))
        return true;
    }
  return false;
}

static void
hold (struct fake *fake)
{
  pthread_mutex_lock (&fake->lock);
  fake->held++;
  pthread_cond_broadcast (&fake->changed);
  while (!fake->gate_open)
    pthread_cond_wait (&fake->changed, &fake->lock);
  pthread_mutex_unlock (&fake->lock);
}

/* @return false to close the connection. */
static bool
act (struct fake *fake, int fd, const char *request)
{
  static const struct
  {
    const char *mode;
    const char *status;
    const char *header;
    const char *body;
  } answers[] = {
    { "\"ok\"", "200 OK", "", "{ \"result\" : {\"a\": [1, 2.5, null]} }" },
    { "\"null\"", "200 OK", "", "{\"result\":null}" },
    { "\"compact\"", "200 OK", "", "{\"result\":{\"a:b\":[\"}\",1.50]}}" },
    { "\"name\"", "200 OK", "", "{\"r\\u0065sult\":[1]}" },
    { "\"before\"", "200 OK", "", "{\"a\":{\"result\":1},\"result\":2}" },
    { "\"after\"", "200 OK", "", "{\"result\":2,\"a\":1}" },
    { "\"twice\"", "200 OK", "", "{\"result\":1,\"result\":2}" },
    { "\"twice-inside\"", "200 OK", "", "{\"result\":{\"a\":1,\"a\":2}}" },
    { "\"tail\"", "200 OK", "", "{\"result\":1}x" },
    { "\"blank-tail\"", "200 OK", "", "{\"result\":1}\n" },
    { "\"500\"", "500 Error", "", "{\"result\":1}" },
    { "\"201\"", "201 Created", "", "{\"result\":1}" },
    { "\"full\"", "503 Busy", "X-Refused: full\r\n", "" },
    { "\"leaving\"", "503 Busy", "X-Refused: leaving\r\n", "" },
    { "\"other\"", "503 Busy", "X-Refused: tired\r\n", "" },
    { "\"503\"", "503 Busy", "", "" },
    { "\"full-200\"", "200 OK", "X-Refused: full\r\n", "{}" },
    { "\"malformed\"", "200 OK", "", "{\"result\":" },
    { "\"empty\"", "200 OK", "", "" },
    { "\"array\"", "200 OK", "", "[\"result\"]" },
    { "\"no-result\"", "200 OK", "", "{\"value\":1}" },
    { "\"redirect\"", "307 Elsewhere", "Location: /run\r\n", "" },
  };
  const char *number = strstr (request, "\"n\":");
  char text[64];

  for (size_t i = 0; i < sizeof answers / sizeof answers[0]; i++)
    if (strstr (request, answers[i].mode) != NULL)
      {
        answer (fd, answers[i].status, answers[i].header, answers[i].body);
        return true;
      }
  if (strstr (request, "\"close\"") != NULL)
    return false;
  if (strstr (request, "\"truncated\"") != NULL)
    {
      const char *part
          = "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"result\":1}";

      send_all (fd, part, strlen (part));
      return false;
    }
  if (strstr (request, "\"huge\"") != NULL)
    {
      size_t len = (size_t)3 << 20;
      char *body = malloc (len);

      if (body == NULL)
        return false;
      memset (body, ' ', len);
      memcpy (body, "{\"result\":1}", 12);
      body[len - 1] = '\0';
      answer (fd, "200 OK", "", body);
      free (body);
      return true;
    }
  if (strstr (request, "\"hold\"") != NULL)
    hold (fake);
  /* Modes "echo" and "hold" answer with the request's number. */
  (void)snprintf (text, sizeof text, "{\"result\":%ld}",
                  number == NULL ? -1 : strtol (number + 4, NULL, 10));
  answer (fd, "200 OK", "", text);
  return true;
}

static void *
converse (void *ctx)
{
  struct conversation *conversation = ctx;
  struct fake *fake = conversation->fake;
  int fd = conversation->fd;
  char request[4096];
  int number = 0;

  free (conversation);
  while (read_request (fd, request, sizeof request))
    {
      pthread_mutex_lock (&fake->lock);
      fake->requests++;
      fake->last_number = ++number;
      pthread_mutex_unlock (&fake->lock);
      if (!act (fake, fd, request))
        break;
    }
  (void)shutdown (fd, SHUT_RDWR);
  return NULL;
}

static void *
accept_all (void *ctx)
{
  struct fake *fake = ctx;

  for (;;)
    {
      int fd = accept (fake->fd, NULL, NULL);
      struct conversation *conversation;

      if (fd < 0)
        return NULL;
      conversation = calloc (1, sizeof *conversation);
      pthread_mutex_lock (&fake->lock);
      if (conversation == NULL || fake->connections == CONNECTIONS_MAX)
        abort ();
      *conversation = (struct conversation){ .fake = fake, .fd = fd };
      fake->fds[fake->connections] = fd;
      if (pthread_create (&fake->threads[fake->connections], NULL, converse,
                          conversation)
          != 0)
        abort ();
      fake->connections++;
      pthread_mutex_unlock (&fake->lock);
    }
}

/* A socket bound to a free port of the loopback interface. */
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

static struct fake *
fake_new (void)
{
  struct fake *fake = calloc (1, sizeof *fake);

  if (fake == NULL)
    abort ();
  pthread_mutex_init (&fake->lock, NULL);
  pthread_cond_init (&fake->changed, NULL);
  fake->fd = bind_loopback (fake->address, sizeof fake->address);
  if (listen (fake->fd, 128) != 0
      || pthread_create (&fake->thread, NULL, accept_all, fake) != 0)
    abort ();
  return fake;
}

static void
open_gate (struct fake *fake)
{
  pthread_mutex_lock (&fake->lock);
  fake->gate_open = true;
  pthread_cond_broadcast (&fake->changed);
  pthread_mutex_unlock (&fake->lock);
}

static void
await_held (struct fake *fake, int count)
{
  pthread_mutex_lock (&fake->lock);
  while (fake->held < count)
    pthread_cond_wait (&fake->changed, &fake->lock);
  pthread_mutex_unlock (&fake->lock);
}

static int
fake_get (struct fake *fake, const int *field)
{
  int value;

  pthread_mutex_lock (&fake->lock);
  value = *field;
  pthread_mutex_unlock (&fake->lock);
  return value;
}

static void
fake_free (struct fake *fake)
{
  open_gate (fake);
  (void)shutdown (fake->fd, SHUT_RDWR);
  pthread_join (fake->thread, NULL);
  for (int i = 0; i < fake->connections; i++)
    {
      (void)shutdown (fake->fds[i], SHUT_RDWR);
      pthread_join (fake->threads[i], NULL);
      close (fake->fds[i]);
    }
  close (fake->fd);
  pthread_cond_destroy (&fake->changed);
  pthread_mutex_destroy (&fake->lock);
  free (fake);
}

/* Ends of starts, and a way to wait for them. */
struct waiter
{
  pthread_mutex_t lock;
  pthread_cond_t ended;
  int calls;
  enum snipe_attempt_outcome end;
  struct snipe_str result;
};

#define WAITER_INIT                                                           \
  {                                                                           \
    .lock = PTHREAD_MUTEX_INITIALIZER, .ended = PTHREAD_COND_INITIALIZER      \
  }

static void
on_done (void *ctx, struct snipe_start_result *result)
{
  struct waiter *waiter = ctx;

  pthread_mutex_lock (&waiter->lock);
  waiter->calls++;
  waiter->end = result->outcome;
  snipe_str_take (&waiter->result, result->result.data, result->result.len);
  result->result = (struct snipe_str)SNIPE_STR_INIT;
  pthread_cond_signal (&waiter->ended);
  pthread_mutex_unlock (&waiter->lock);
}

static void
await (struct waiter *waiter, int calls)
{
  pthread_mutex_lock (&waiter->lock);
  while (waiter->calls < calls)
    pthread_cond_wait (&waiter->ended, &waiter->lock);
  pthread_mutex_unlock (&waiter->lock);
}

static struct snipe_endpoint_client *
client_new (uint32_t connections)
{
  struct snipe_endpoint_client_options options
      = SNIPE_ENDPOINT_CLIENT_OPTIONS_INIT;
  struct snipe_endpoint_client *client = NULL;

  options.connections = connections;
  /* Long enough that a busy machine does not fail a connection. */
  options.connect_timeout = 20 * SNIPE_S;
  if (snipe_endpoint_client_new (&client, &options) != SNIPE_OK)
    abort ();
  return client;
}

static void
begin (struct snipe_endpoint_client *client, const char *address,
       const char *mode, long number, snipe_time timeout,
       struct waiter *waiter)
{
  struct snipe_str body = SNIPE_STR_INIT;
  char text[128];

  (void)snprintf (text, sizeof text, "{\"mode\":\"%s\",\"n\":%ld}", mode,
                  number);
  if (snipe_str_set_c (&body, text) != SNIPE_OK)
    abort ();
  CU_ASSERT_EQUAL (snipe_endpoint_client_start (client, address, &body,
                                                timeout, on_done, waiter),
                   SNIPE_OK);
  CU_ASSERT_PTR_NULL (body.data);
}

/* Guards against an answer of one kind being taken for another one: a start
 * that ran must never count as "not started". */
static void
test_answers (void)
{
  static const struct
  {
    const char *mode;
    enum snipe_attempt_outcome end;
    const char *result;
  } cases[] = {
    { "ok", SNIPE_ATTEMPT_OK, "{\"a\":[1,2.5,null]}" },
    { "null", SNIPE_ATTEMPT_OK, "null" },
    { "compact", SNIPE_ATTEMPT_OK, "{\"a:b\":[\"}\",1.50]}" },
    { "name", SNIPE_ATTEMPT_OK, "[1]" },
    { "before", SNIPE_ATTEMPT_OK, "2" },
    { "after", SNIPE_ATTEMPT_OK, "2" },
    { "twice", SNIPE_ATTEMPT_OK, "2" },
    { "twice-inside", SNIPE_ATTEMPT_OK, "{\"a\":2}" },
    { "tail", SNIPE_ATTEMPT_FAILED, "" },
    { "blank-tail", SNIPE_ATTEMPT_OK, "1" },
    { "500", SNIPE_ATTEMPT_FAILED, "" },
    { "201", SNIPE_ATTEMPT_FAILED, "" },
    { "full", SNIPE_ATTEMPT_REFUSED_FULL, "" },
    { "leaving", SNIPE_ATTEMPT_REFUSED_DRAINING, "" },
    { "other", SNIPE_ATTEMPT_FAILED, "" },
    { "503", SNIPE_ATTEMPT_FAILED, "" },
    { "full-200", SNIPE_ATTEMPT_FAILED, "" },
    { "malformed", SNIPE_ATTEMPT_FAILED, "" },
    { "empty", SNIPE_ATTEMPT_FAILED, "" },
    { "array", SNIPE_ATTEMPT_FAILED, "" },
    { "no-result", SNIPE_ATTEMPT_FAILED, "" },
    { "redirect", SNIPE_ATTEMPT_FAILED, "" },
    { "huge", SNIPE_ATTEMPT_FAILED, "" },
    { "truncated", SNIPE_ATTEMPT_LOST, "" },
    { "close", SNIPE_ATTEMPT_LOST, "" },
  };
  struct snipe_endpoint_client *client = client_new (64);

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct waiter waiter = WAITER_INIT;
      struct fake *fake = fake_new ();

      begin (client, fake->address, cases[i].mode, 0, LONG_WAIT, &waiter);
      await (&waiter, 1);
      CU_ASSERT_EQUAL (waiter.end, cases[i].end);
      if (waiter.end != cases[i].end)
        printf ("\n  mode %s ended as %d", cases[i].mode, waiter.end);
      CU_ASSERT_STRING_EQUAL (snipe_str_c (&waiter.result), cases[i].result);
      CU_ASSERT_EQUAL (fake_get (fake, &fake->requests), 1);
      snipe_str_clear (&waiter.result);
      fake_free (fake);
    }
  snipe_endpoint_client_free (client);
}

/* Guards against libcurl's repetition of a POST whose kept connection closes
 * before the answer: the endpoint would run the task twice. */
static void
test_kept_connection_closes (void)
{
  struct snipe_endpoint_client *client = client_new (64);
  struct waiter waiter = WAITER_INIT;
  struct fake *fake = fake_new ();

  begin (client, fake->address, "echo", 1, LONG_WAIT, &waiter);
  await (&waiter, 1);
  CU_ASSERT_EQUAL (waiter.end, SNIPE_ATTEMPT_OK);
  begin (client, fake->address, "close", 2, LONG_WAIT, &waiter);
  await (&waiter, 2);
  CU_ASSERT_EQUAL (waiter.end, SNIPE_ATTEMPT_LOST);
  CU_ASSERT_EQUAL (fake_get (fake, &fake->requests), 2);
  /* Proves that the second request went out on the kept connection. */
  CU_ASSERT_EQUAL (fake_get (fake, &fake->last_number), 2);
  /* The easy handle must work again after the refused repetition. */
  begin (client, fake->address, "echo", 3, LONG_WAIT, &waiter);
  await (&waiter, 3);
  CU_ASSERT_EQUAL (waiter.end, SNIPE_ATTEMPT_OK);
  CU_ASSERT_STRING_EQUAL (snipe_str_c (&waiter.result), "3");
  CU_ASSERT_EQUAL (fake_get (fake, &fake->requests), 3);
  snipe_str_clear (&waiter.result);
  snipe_endpoint_client_free (client);
  fake_free (fake);
}

/* Guards against counting a start that no endpoint saw as one that may have
 * run: nothing listens, or the connection is not accepted in time. */
static void
test_no_connection (void)
{
  struct snipe_endpoint_client_options options
      = SNIPE_ENDPOINT_CLIENT_OPTIONS_INIT;
  struct snipe_endpoint_client *client = client_new (64);
  struct waiter waiter = WAITER_INIT;
  struct sockaddr_in in = { .sin_family = AF_INET };
  struct snipe_str body = SNIPE_STR_INIT;
  char address[32];
  int fillers[4];
  int fd = bind_loopback (address, sizeof address);

  begin (client, address, "ok", 0, LONG_WAIT, &waiter);
  await (&waiter, 1);
  CU_ASSERT_EQUAL (waiter.end, SNIPE_ATTEMPT_NOT_CONNECTED);
  CU_ASSERT_EQUAL (snipe_endpoint_client_start (client, "", &body, LONG_WAIT,
                                                on_done, &waiter),
                   SNIPE_E_INVALID);
  CU_ASSERT_EQUAL (snipe_endpoint_client_start (client, "127.0.0.1:1/x", &body,
                                                LONG_WAIT, on_done, &waiter),
                   SNIPE_E_INVALID);
  snipe_endpoint_client_free (client);

  /* Linux drops connection requests while the accept queue is full. */
  if (listen (fd, 0) != 0)
    abort ();
  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  in.sin_port
      = htons ((uint16_t)strtoul (strchr (address, ':') + 1, NULL, 10));
  for (int i = 0; i < 4; i++)
    {
      fillers[i]
          = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      (void)connect (fillers[i], (struct sockaddr *)&in, sizeof in);
    }
  options.connect_timeout = 50 * SNIPE_MS;
  if (snipe_endpoint_client_new (&client, &options) != SNIPE_OK)
    abort ();
  begin (client, address, "ok", 0, LONG_WAIT, &waiter);
  await (&waiter, 2);
  CU_ASSERT_EQUAL (waiter.end, SNIPE_ATTEMPT_NOT_CONNECTED);
  snipe_endpoint_client_free (client);
  for (int i = 0; i < 4; i++)
    close (fillers[i]);
  close (fd);
}

/* Guards against a start that ends twice, or gets the answer of an earlier
 * one that had timed out. */
static void
test_late_answer (void)
{
  struct snipe_endpoint_client *client = client_new (64);
  struct waiter waiter = WAITER_INIT;
  struct fake *fake = fake_new ();

  begin (client, fake->address, "hold", 1, 50 * SNIPE_MS, &waiter);
  await (&waiter, 1);
  /* A machine so busy that nothing was written in time is no fault. */
  CU_ASSERT_TRUE (waiter.end == SNIPE_ATTEMPT_LOST
                  || (waiter.end == SNIPE_ATTEMPT_NOT_CONNECTED
                      && fake_get (fake, &fake->requests) == 0));
  open_gate (fake);
  for (int i = 2; i < 10; i++)
    {
      char number[16];

      begin (client, fake->address, "echo", i, LONG_WAIT, &waiter);
      await (&waiter, i);
      (void)snprintf (number, sizeof number, "%d", i);
      CU_ASSERT_EQUAL (waiter.end, SNIPE_ATTEMPT_OK);
      CU_ASSERT_STRING_EQUAL (snipe_str_c (&waiter.result), number);
    }
  snipe_endpoint_client_free (client);
  CU_ASSERT_EQUAL (waiter.calls, 9);
  snipe_str_clear (&waiter.result);
  fake_free (fake);
}

/* Guards against a partition test that leaks: nothing is sent to a refused
 * endpoint, and an answer that arrives meanwhile does not count. */
static void
test_refusal_list (void)
{
  struct snipe_endpoint_client *client = client_new (64);
  struct waiter waiter = WAITER_INIT;
  struct fake *fake = fake_new ();
  const char *refused = fake->address;

  snipe_blocklist_set (&refused, 1);
  begin (client, fake->address, "ok", 0, LONG_WAIT, &waiter);
  await (&waiter, 1);
  CU_ASSERT_EQUAL (waiter.end, SNIPE_ATTEMPT_NOT_CONNECTED);
  CU_ASSERT_EQUAL (fake_get (fake, &fake->requests), 0);
  snipe_blocklist_set (NULL, 0);
  begin (client, fake->address, "hold", 7, LONG_WAIT, &waiter);
  await_held (fake, 1);
  snipe_blocklist_set (&refused, 1);
  open_gate (fake);
  await (&waiter, 2);
  CU_ASSERT_EQUAL (waiter.end, SNIPE_ATTEMPT_LOST);
  CU_ASSERT_PTR_NULL (waiter.result.data);
  snipe_blocklist_set (NULL, 0);
  begin (client, fake->address, "echo", 8, LONG_WAIT, &waiter);
  await (&waiter, 3);
  CU_ASSERT_EQUAL (waiter.end, SNIPE_ATTEMPT_OK);
  snipe_str_clear (&waiter.result);
  snipe_endpoint_client_free (client);
  fake_free (fake);
}

/* Guards against starts that are forgotten when the client stops, and
 * against calling a written one "not started". */
static void
test_free_ends_starts (void)
{
  struct snipe_endpoint_client *client = client_new (1);
  struct waiter written = WAITER_INIT;
  struct waiter waiting = WAITER_INIT;
  struct fake *fake = fake_new ();

  begin (client, fake->address, "hold", 1, LONG_WAIT, &written);
  await_held (fake, 1);
  /* The only connection is taken. */
  begin (client, fake->address, "hold", 2, LONG_WAIT, &waiting);
  snipe_endpoint_client_free (client);
  CU_ASSERT_EQUAL (written.calls, 1);
  CU_ASSERT_EQUAL (written.end, SNIPE_ATTEMPT_LOST);
  CU_ASSERT_EQUAL (waiting.calls, 1);
  CU_ASSERT_EQUAL (waiting.end, SNIPE_ATTEMPT_NOT_CONNECTED);
  CU_ASSERT_EQUAL (fake_get (fake, &fake->requests), 1);
  fake_free (fake);
}

/* A chain of starts: each end begins the next one, so that the callback's
 * use of the client is covered too. */
struct chain
{
  struct snipe_endpoint_client *client;
  const char *address;
  struct waiter *waiter;
  long number;
  int left;
  int wrong;
};

static void on_chain_done (void *ctx, struct snipe_start_result *result);

static void
chain_next (struct chain *chain)
{
  struct snipe_str body = SNIPE_STR_INIT;
  char text[64];

  (void)snprintf (text, sizeof text, "{\"mode\":\"echo\",\"n\":%ld}",
                  ++chain->number);
  if (snipe_str_set_c (&body, text) != SNIPE_OK
      || snipe_endpoint_client_start (chain->client, chain->address, &body,
                                      LONG_WAIT, on_chain_done, chain)
             != SNIPE_OK)
    abort ();
}

static void
on_chain_done (void *ctx, struct snipe_start_result *result)
{
  struct chain *chain = ctx;
  char number[32];

  (void)snprintf (number, sizeof number, "%ld", chain->number);
  if (result->outcome != SNIPE_ATTEMPT_OK
      || !snipe_str_equal_c (&result->result, number))
    chain->wrong++;
  if (--chain->left > 0)
    chain_next (chain);
  else
    on_done (chain->waiter, result);
}

/* Guards against mixing up answers, losing a wake-up of a sleeping thread,
 * and opening more connections to an endpoint than it has. */
static void
test_many_starts (void)
{
  enum
  {
    CHAINS = 32,
    LENGTH = 50,
    CONNECTIONS = 8
  };
  struct snipe_endpoint_client *client = client_new (CONNECTIONS);
  struct waiter waiter = WAITER_INIT;
  struct fake *fakes[3] = { fake_new (), fake_new (), fake_new () };
  struct chain chains[CHAINS];
  int requests = 0;

  for (int i = 0; i < CHAINS; i++)
    {
      chains[i] = (struct chain){
        .client = client,
        .address = fakes[i % 3]->address,
        .waiter = &waiter,
        .number = i * 1000,
        .left = LENGTH,
      };
      chain_next (&chains[i]);
    }
  await (&waiter, CHAINS);
  for (int i = 0; i < CHAINS; i++)
    CU_ASSERT_EQUAL (chains[i].wrong, 0);
  snipe_endpoint_client_free (client);
  for (int i = 0; i < 3; i++)
    {
      requests += fake_get (fakes[i], &fakes[i]->requests);
      CU_ASSERT_TRUE (fake_get (fakes[i], &fakes[i]->connections)
                      <= CONNECTIONS);
      fake_free (fakes[i]);
    }
  CU_ASSERT_EQUAL (requests, CHAINS * LENGTH);
  snipe_str_clear (&waiter.result);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "each answer has its end", test_answers },
    { "a kept connection that closes", test_kept_connection_closes },
    { "no connection", test_no_connection },
    { "a late answer", test_late_answer },
    { "the refusal list", test_refusal_list },
    { "free ends the starts", test_free_ends_starts },
    { "many starts", test_many_starts },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("endpoint client", tests);
}
