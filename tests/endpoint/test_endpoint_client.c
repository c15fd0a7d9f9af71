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

/* A fake endpoint on plain sockets with a thread per connection. The "mode" in
 * the body of a request selects the response. */

#define CONNECTIONS_MAX 256
#define LONG_TIMEOUT (200 * SNIPE_S)

struct fake_endpoint
{
  int fd;
  char address[32];
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  bool released; /* requests of mode "hold" are answered */
  int held;      /* number of requests of mode "hold" received */
  int requests;
  int connections; /* number accepted so far */
  int last_number; /* position of the last request on its connection */
  int fds[CONNECTIONS_MAX];
  pthread_t threads[CONNECTIONS_MAX];
};

struct server_connection
{
  struct fake_endpoint *endpoint;
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
send_response (int fd, const char *status, const char *header,
               const char *body)
{
  char head[256];
  int len = snprintf (head, sizeof head,
                      "HTTP/1.1 %s\r\n%sContent-Length: %zu\r\n\r\n", status,
                      header, strlen (body));

  send_all (fd, head, (size_t)len);
  send_all (fd, body, strlen (body));
}

/* Reads one request into @p text. @return false if the connection ended. */
static bool
read_request (int fd, char *text, size_t size)
{
  size_t len = 0;

  while (len < size - 1)
    {
      ssize_t got = recv (fd, text + len, size - 1 - len, 0);
      const char *header_end;
      const char *length;

      if (got <= 0)
        return false;
      len += (size_t)got;
      text[len] = '\0';
      header_end = strstr (text, "\r\n\r\n");
      length = strstr (text, "Content-Length: ");
      if (header_end != NULL && length != NULL
          && strlen (header_end + 4) >= strtoul (length + 16, NULL, 10))
        return true;
    }
  return false;
}

static void
hold_request (struct fake_endpoint *endpoint)
{
  pthread_mutex_lock (&endpoint->lock);
  endpoint->held++;
  pthread_cond_broadcast (&endpoint->changed);
  while (!endpoint->released)
    pthread_cond_wait (&endpoint->changed, &endpoint->lock);
  pthread_mutex_unlock (&endpoint->lock);
}

/* @return false to close the connection. */
static bool
respond (struct fake_endpoint *endpoint, int fd, const char *request)
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
        send_response (fd, answers[i].status, answers[i].header,
                       answers[i].body);
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
      send_response (fd, "200 OK", "", body);
      free (body);
      return true;
    }
  if (strstr (request, "\"hold\"") != NULL)
    hold_request (endpoint);
  /* Modes "echo" and "hold" answer with the request's number. */
  (void)snprintf (text, sizeof text, "{\"result\":%ld}",
                  number == NULL ? -1 : strtol (number + 4, NULL, 10));
  send_response (fd, "200 OK", "", text);
  return true;
}

static void *
serve_connection (void *ctx)
{
  struct server_connection *connection = ctx;
  struct fake_endpoint *endpoint = connection->endpoint;
  int fd = connection->fd;
  char request[4096];
  int number = 0;

  free (connection);
  while (read_request (fd, request, sizeof request))
    {
      pthread_mutex_lock (&endpoint->lock);
      endpoint->requests++;
      endpoint->last_number = ++number;
      pthread_mutex_unlock (&endpoint->lock);
      if (!respond (endpoint, fd, request))
        break;
    }
  (void)shutdown (fd, SHUT_RDWR);
  return NULL;
}

static void *
accept_all (void *ctx)
{
  struct fake_endpoint *endpoint = ctx;

  for (;;)
    {
      int fd = accept (endpoint->fd, NULL, NULL);
      struct server_connection *connection;

      if (fd < 0)
        return NULL;
      connection = calloc (1, sizeof *connection);
      pthread_mutex_lock (&endpoint->lock);
      if (connection == NULL || endpoint->connections == CONNECTIONS_MAX)
        abort ();
      *connection
          = (struct server_connection){ .endpoint = endpoint, .fd = fd };
      endpoint->fds[endpoint->connections] = fd;
      if (pthread_create (&endpoint->threads[endpoint->connections], NULL,
                          serve_connection, connection)
          != 0)
        abort ();
      endpoint->connections++;
      pthread_mutex_unlock (&endpoint->lock);
    }
}

/* Creates a socket bound to a free port of the loopback interface. */
static int
bind_loopback (char *address, size_t size)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  socklen_t len = sizeof in;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0 || bind (fd, (struct sockaddr *)&in, sizeof in) != 0
      || getsockname (fd, (struct sockaddr *)&in, &len) != 0)
    abort ();
  (void)snprintf (address, size, "127.0.0.1:%u",
                  (unsigned int)ntohs (in.sin_port));
  return fd;
}

static struct fake_endpoint *
fake_new (void)
{
  struct fake_endpoint *endpoint = calloc (1, sizeof *endpoint);

  if (endpoint == NULL)
    abort ();
  pthread_mutex_init (&endpoint->lock, NULL);
  pthread_cond_init (&endpoint->changed, NULL);
  endpoint->fd = bind_loopback (endpoint->address, sizeof endpoint->address);
  if (listen (endpoint->fd, 128) != 0
      || pthread_create (&endpoint->thread, NULL, accept_all, endpoint) != 0)
    abort ();
  return endpoint;
}

static void
release_held (struct fake_endpoint *endpoint)
{
  pthread_mutex_lock (&endpoint->lock);
  endpoint->released = true;
  pthread_cond_broadcast (&endpoint->changed);
  pthread_mutex_unlock (&endpoint->lock);
}

static void
wait_for_held (struct fake_endpoint *endpoint, int count)
{
  pthread_mutex_lock (&endpoint->lock);
  while (endpoint->held < count)
    pthread_cond_wait (&endpoint->changed, &endpoint->lock);
  pthread_mutex_unlock (&endpoint->lock);
}

static int
fake_get (struct fake_endpoint *endpoint, const int *field)
{
  int value;

  pthread_mutex_lock (&endpoint->lock);
  value = *field;
  pthread_mutex_unlock (&endpoint->lock);
  return value;
}

static void
fake_free (struct fake_endpoint *endpoint)
{
  release_held (endpoint);
  (void)shutdown (endpoint->fd, SHUT_RDWR);
  pthread_join (endpoint->thread, NULL);
  for (int i = 0; i < endpoint->connections; i++)
    {
      (void)shutdown (endpoint->fds[i], SHUT_RDWR);
      pthread_join (endpoint->threads[i], NULL);
      close (endpoint->fds[i]);
    }
  close (endpoint->fd);
  pthread_cond_destroy (&endpoint->changed);
  pthread_mutex_destroy (&endpoint->lock);
  free (endpoint);
}

/* Counts completed starts and lets a test wait for them. */
struct waiter
{
  pthread_mutex_t lock;
  pthread_cond_t ended;
  int calls;
  enum snipe_attempt_outcome outcome;
  struct snipe_str result;
};

#define WAITER_INIT                                                           \
  {                                                                           \
    .lock = PTHREAD_MUTEX_INITIALIZER, .ended = PTHREAD_COND_INITIALIZER      \
  }

static void
on_start_done (void *ctx, struct snipe_start_result *result)
{
  struct waiter *waiter = ctx;

  pthread_mutex_lock (&waiter->lock);
  waiter->calls++;
  waiter->outcome = result->outcome;
  snipe_str_take (&waiter->result, result->result.data, result->result.len);
  result->result = (struct snipe_str)SNIPE_STR_INIT;
  pthread_cond_signal (&waiter->ended);
  pthread_mutex_unlock (&waiter->lock);
}

static void
wait_for_starts (struct waiter *waiter, int calls)
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
  /* Long enough not to expire on a busy machine. */
  options.connect_timeout = 20 * SNIPE_S;
  if (snipe_endpoint_client_new (&client, &options) != SNIPE_OK)
    abort ();
  return client;
}

static void
start_task (struct snipe_endpoint_client *client, const char *address,
            const char *mode, long number, snipe_time timeout,
            struct waiter *waiter)
{
  struct snipe_str body = SNIPE_STR_INIT;
  char text[128];

  (void)snprintf (text, sizeof text, "{\"mode\":\"%s\",\"n\":%ld}", mode,
                  number);
  if (snipe_str_set_c (&body, text) != SNIPE_OK)
    abort ();
  CU_ASSERT_EQUAL (snipe_endpoint_client_start (
                       client, address, &body, timeout, on_start_done, waiter),
                   SNIPE_OK);
  CU_ASSERT_PTR_NULL (body.data);
}

/* Guards against a wrong outcome for a response: a task that ran must never
 * count as not started. */
static void
test_responses (void)
{
  static const struct
  {
    const char *mode;
    enum snipe_attempt_outcome outcome;
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
      struct fake_endpoint *endpoint = fake_new ();

      start_task (client, endpoint->address, cases[i].mode, 0, LONG_TIMEOUT,
                  &waiter);
      wait_for_starts (&waiter, 1);
      CU_ASSERT_EQUAL (waiter.outcome, cases[i].outcome);
      if (waiter.outcome != cases[i].outcome)
        printf ("\n  mode %s: outcome %d", cases[i].mode, waiter.outcome);
      CU_ASSERT_STRING_EQUAL (snipe_str_c (&waiter.result), cases[i].result);
      CU_ASSERT_EQUAL (fake_get (endpoint, &endpoint->requests), 1);
      snipe_str_clear (&waiter.result);
      fake_free (endpoint);
    }
  snipe_endpoint_client_free (client);
}

/* Guards against a task that runs twice: libcurl retries a POST if the reused
 * connection is closed before the response. */
static void
test_reused_connection_closed (void)
{
  struct snipe_endpoint_client *client = client_new (64);
  struct waiter waiter = WAITER_INIT;
  struct fake_endpoint *endpoint = fake_new ();

  start_task (client, endpoint->address, "echo", 1, LONG_TIMEOUT, &waiter);
  wait_for_starts (&waiter, 1);
  CU_ASSERT_EQUAL (waiter.outcome, SNIPE_ATTEMPT_OK);
  start_task (client, endpoint->address, "close", 2, LONG_TIMEOUT, &waiter);
  wait_for_starts (&waiter, 2);
  CU_ASSERT_EQUAL (waiter.outcome, SNIPE_ATTEMPT_LOST);
  CU_ASSERT_EQUAL (fake_get (endpoint, &endpoint->requests), 2);
  /* Shows that the second request was sent on the reused connection. */
  CU_ASSERT_EQUAL (fake_get (endpoint, &endpoint->last_number), 2);
  /* The easy handle must still work after the rejected retry. */
  start_task (client, endpoint->address, "echo", 3, LONG_TIMEOUT, &waiter);
  wait_for_starts (&waiter, 3);
  CU_ASSERT_EQUAL (waiter.outcome, SNIPE_ATTEMPT_OK);
  CU_ASSERT_STRING_EQUAL (snipe_str_c (&waiter.result), "3");
  CU_ASSERT_EQUAL (fake_get (endpoint, &endpoint->requests), 3);
  snipe_str_clear (&waiter.result);
  snipe_endpoint_client_free (client);
  fake_free (endpoint);
}

/* Guards against reporting a start that never reached an endpoint as one that
 * may have run: the connection is refused, or not accepted in time. */
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

  start_task (client, address, "ok", 0, LONG_TIMEOUT, &waiter);
  wait_for_starts (&waiter, 1);
  CU_ASSERT_EQUAL (waiter.outcome, SNIPE_ATTEMPT_NOT_CONNECTED);
  CU_ASSERT_EQUAL (snipe_endpoint_client_start (client, "", &body,
                                                LONG_TIMEOUT, on_start_done,
                                                &waiter),
                   SNIPE_E_INVALID);
  CU_ASSERT_EQUAL (snipe_endpoint_client_start (client, "127.0.0.1:1/x", &body,
                                                LONG_TIMEOUT, on_start_done,
                                                &waiter),
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
  start_task (client, address, "ok", 0, LONG_TIMEOUT, &waiter);
  wait_for_starts (&waiter, 2);
  CU_ASSERT_EQUAL (waiter.outcome, SNIPE_ATTEMPT_NOT_CONNECTED);
  snipe_endpoint_client_free (client);
  for (int i = 0; i < 4; i++)
    close (fillers[i]);
  close (fd);
}

/* Guards against a start that completes twice, or that gets the response to an
 * earlier start that has timed out. */
static void
test_late_response (void)
{
  struct snipe_endpoint_client *client = client_new (64);
  struct waiter waiter = WAITER_INIT;
  struct fake_endpoint *endpoint = fake_new ();

  start_task (client, endpoint->address, "hold", 1, 50 * SNIPE_MS, &waiter);
  wait_for_starts (&waiter, 1);
  /* On a busy machine the request may not be written in time. */
  CU_ASSERT_TRUE (waiter.outcome == SNIPE_ATTEMPT_LOST
                  || (waiter.outcome == SNIPE_ATTEMPT_NOT_CONNECTED
                      && fake_get (endpoint, &endpoint->requests) == 0));
  release_held (endpoint);
  for (int i = 2; i < 10; i++)
    {
      char number[16];

      start_task (client, endpoint->address, "echo", i, LONG_TIMEOUT, &waiter);
      wait_for_starts (&waiter, i);
      (void)snprintf (number, sizeof number, "%d", i);
      CU_ASSERT_EQUAL (waiter.outcome, SNIPE_ATTEMPT_OK);
      CU_ASSERT_STRING_EQUAL (snipe_str_c (&waiter.result), number);
    }
  snipe_endpoint_client_free (client);
  CU_ASSERT_EQUAL (waiter.calls, 9);
  snipe_str_clear (&waiter.result);
  fake_free (endpoint);
}

/* Guards against simulated network partitions that let messages through:
 * nothing is sent to an endpoint on the blocklist, and a response that
 * arrives while it is on the list is ignored. */
static void
test_blocklist (void)
{
  struct snipe_endpoint_client *client = client_new (64);
  struct waiter waiter = WAITER_INIT;
  struct fake_endpoint *endpoint = fake_new ();
  const char *refused = endpoint->address;

  snipe_blocklist_set (&refused, 1);
  start_task (client, endpoint->address, "ok", 0, LONG_TIMEOUT, &waiter);
  wait_for_starts (&waiter, 1);
  CU_ASSERT_EQUAL (waiter.outcome, SNIPE_ATTEMPT_NOT_CONNECTED);
  CU_ASSERT_EQUAL (fake_get (endpoint, &endpoint->requests), 0);
  snipe_blocklist_set (NULL, 0);
  start_task (client, endpoint->address, "hold", 7, LONG_TIMEOUT, &waiter);
  wait_for_held (endpoint, 1);
  snipe_blocklist_set (&refused, 1);
  release_held (endpoint);
  wait_for_starts (&waiter, 2);
  CU_ASSERT_EQUAL (waiter.outcome, SNIPE_ATTEMPT_LOST);
  CU_ASSERT_PTR_NULL (waiter.result.data);
  snipe_blocklist_set (NULL, 0);
  start_task (client, endpoint->address, "echo", 8, LONG_TIMEOUT, &waiter);
  wait_for_starts (&waiter, 3);
  CU_ASSERT_EQUAL (waiter.outcome, SNIPE_ATTEMPT_OK);
  snipe_str_clear (&waiter.result);
  snipe_endpoint_client_free (client);
  fake_free (endpoint);
}

/* Guards against starts whose callback is not called when the client stops,
 * and against reporting a start that was written as not started. */
static void
test_free_completes_starts (void)
{
  struct snipe_endpoint_client *client = client_new (1);
  struct waiter written = WAITER_INIT;
  struct waiter waiting = WAITER_INIT;
  struct fake_endpoint *endpoint = fake_new ();

  start_task (client, endpoint->address, "hold", 1, LONG_TIMEOUT, &written);
  wait_for_held (endpoint, 1);
  /* The only connection is in use. */
  start_task (client, endpoint->address, "hold", 2, LONG_TIMEOUT, &waiting);
  snipe_endpoint_client_free (client);
  CU_ASSERT_EQUAL (written.calls, 1);
  CU_ASSERT_EQUAL (written.outcome, SNIPE_ATTEMPT_LOST);
  CU_ASSERT_EQUAL (waiting.calls, 1);
  CU_ASSERT_EQUAL (waiting.outcome, SNIPE_ATTEMPT_NOT_CONNECTED);
  CU_ASSERT_EQUAL (fake_get (endpoint, &endpoint->requests), 1);
  fake_free (endpoint);
}

/* A chain of starts: the callback of each queues the next one, which also
 * covers calls of the client from a callback. */
struct chain
{
  struct snipe_endpoint_client *client;
  const char *address;
  struct waiter *waiter;
  long number;
  int left;
  int mismatches;
};

static void on_chain_done (void *ctx, struct snipe_start_result *result);

static void
chain_start_next (struct chain *chain)
{
  struct snipe_str body = SNIPE_STR_INIT;
  char text[64];

  (void)snprintf (text, sizeof text, "{\"mode\":\"echo\",\"n\":%ld}",
                  ++chain->number);
  if (snipe_str_set_c (&body, text) != SNIPE_OK
      || snipe_endpoint_client_start (chain->client, chain->address, &body,
                                      LONG_TIMEOUT, on_chain_done, chain)
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
    chain->mismatches++;
  if (--chain->left > 0)
    chain_start_next (chain);
  else
    on_start_done (chain->waiter, result);
}

/* Guards against responses assigned to the wrong start, lost wake-ups of a
 * sleeping thread, and more connections to an endpoint than allowed. */
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
  struct fake_endpoint *endpoints[3]
      = { fake_new (), fake_new (), fake_new () };
  struct chain chains[CHAINS];
  int requests = 0;

  for (int i = 0; i < CHAINS; i++)
    {
      chains[i] = (struct chain){
        .client = client,
        .address = endpoints[i % 3]->address,
        .waiter = &waiter,
        .number = i * 1000,
        .left = LENGTH,
      };
      chain_start_next (&chains[i]);
    }
  wait_for_starts (&waiter, CHAINS);
  for (int i = 0; i < CHAINS; i++)
    CU_ASSERT_EQUAL (chains[i].mismatches, 0);
  snipe_endpoint_client_free (client);
  for (int i = 0; i < 3; i++)
    {
      requests += fake_get (endpoints[i], &endpoints[i]->requests);
      CU_ASSERT_TRUE (fake_get (endpoints[i], &endpoints[i]->connections)
                      <= CONNECTIONS);
      fake_free (endpoints[i]);
    }
  CU_ASSERT_EQUAL (requests, CHAINS * LENGTH);
  snipe_str_clear (&waiter.result);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "outcome of each response", test_responses },
    { "reused connection that is closed", test_reused_connection_closed },
    { "no connection", test_no_connection },
    { "late response", test_late_response },
    { "blocklist", test_blocklist },
    { "freeing the client completes its starts", test_free_completes_starts },
    { "many starts", test_many_starts },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("endpoint client", tests);
}
