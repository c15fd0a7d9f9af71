/**
 * @file net_host.h
 * Hosts that call each other over the peer protocol. Their handlers send fixed
 * replies and record the calls. Shared by the test programs of this folder.
 */
#ifndef TESTS_PEER_NET_HOST_H
#define TESTS_PEER_NET_HOST_H

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "peer/net.h"
#include "snipe/status.h"
#include "util/blocklist.h"

#define LONG_TIMEOUT (200 * SNIPE_S)
/* Larger than the buffers of libtirpc and a socket. */
#define LARGE_BODY_BYTES 300000

/* A host: the calls that its handlers received and how they reply. */
struct host
{
  struct snipe_peer_net *net;
  char address[32];
  pthread_mutex_t lock;
  int entered;                   /* calls that reached a handler; atomic */
  int calls[8];                  /* by procedure */
  bool drop_replies;             /* send no reply */
  const char *block_during_call; /* put on the blocklist by the handlers */
  uint64_t last_token;
  int out_of_order;
  uint32_t answer_len;
};

static inline char *
copy_text (const char *text)
{
  char *copy = strdup (text);

  if (copy == NULL)
    abort ();
  return copy;
}

static inline char *
copy_bytes (const char *data, size_t len)
{
  char *copy = malloc (len + 1);

  if (copy == NULL)
    abort ();
  if (len > 0)
    memcpy (copy, data, len);
  return copy;
}

static inline char *
new_large_body (void)
{
  char *data = malloc (LARGE_BODY_BYTES);

  if (data == NULL)
    abort ();
  for (size_t i = 0; i < LARGE_BODY_BYTES; i++)
    data[i] = (char)(i * 31 >> 3);
  return data;
}

static inline bool
is_large_body (const char *data, uint32_t len)
{
  char *expected;
  bool same;

  if (len != LARGE_BODY_BYTES)
    return false;
  expected = new_large_body ();
  same = memcmp (data, expected, LARGE_BODY_BYTES) == 0;
  free (expected);
  return same;
}

static inline void
load_fill (peer_load *load, const char *name)
{
  memset (load, 0, sizeof *load);
  load->incarnation = 0xfedcba9876543210U;
  load->name = copy_text (name);
  load->address = copy_text ("10.1.2.3:4567");
  load->domain = copy_text ("enna");
  load->capacity_weight_permille = 1500;
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

static inline bool
load_matches (const peer_load *load, const char *name)
{
  return load->incarnation == 0xfedcba9876543210U
         && strcmp (load->name, name) == 0
         && strcmp (load->address, "10.1.2.3:4567") == 0
         && load->capacity_weight_permille == 1500
         && strcmp (load->domain, "enna") == 0 && load->state == PEER_LEAVING
         && load->rules_version == 77 && load->free_slots == 5
         && load->domains.domains_len == 2
         && strcmp (load->domains.domains_val[1], "catania") == 0;
}

static inline int
count_call (struct host *host, uint32_t procedure)
{
  bool drop_replies;

  __atomic_fetch_add (&host->entered, 1, __ATOMIC_SEQ_CST);
  pthread_mutex_lock (&host->lock);
  host->calls[procedure]++;
  drop_replies = host->drop_replies;
  if (host->block_during_call != NULL)
    (void)snipe_blocklist_set (&host->block_during_call, 1);
  pthread_mutex_unlock (&host->lock);
  return drop_replies ? SNIPE_E_INTERNAL : SNIPE_OK;
}

static inline int
on_load (struct host *host, uint32_t procedure, const peer_load *args,
         peer_load *reply)
{
  load_fill (reply, load_matches (args, "caller") ? "echo" : "wrong");
  return count_call (host, procedure);
}

static inline int
on_heartbeat (void *ctx, const peer_load *args, peer_load *reply)
{
  return on_load (ctx, PEER_HEARTBEAT, args, reply);
}

static inline int
on_offer (void *ctx, const peer_load *args, peer_load *reply)
{
  return on_load (ctx, PEER_OFFER, args, reply);
}

static inline int
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

static inline int
on_answer (void *ctx, const peer_answer *args)
{
  struct host *host = ctx;

  pthread_mutex_lock (&host->lock);
  host->answer_len = is_large_body (args->body.body_val, args->body.body_len)
                         ? args->body.body_len
                         : 0;
  pthread_mutex_unlock (&host->lock);
  return count_call (host, PEER_ANSWER);
}

static inline int
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

static inline int
on_results (void *ctx, const peer_results *args, peer_load *reply)
{
  const peer_result *result = &args->results.results_val[1];

  load_fill (reply, args->results.results_len == 2
                            && result->outcome == PEER_UNKNOWN
                            && result->index == 9
                            && is_large_body (result->result.result_val,
                                              result->result.result_len)
                        ? "echo"
                        : "wrong");
  return count_call (ctx, PEER_RESULTS);
}

static inline int
on_get_rules (void *ctx, const peer_load *args, peer_rules *reply)
{
  (void)args;
  reply->rules_version = 78;
  reply->text.text_val = new_large_body ();
  reply->text.text_len = LARGE_BODY_BYTES;
  return count_call (ctx, PEER_GET_RULES);
}

static const struct snipe_peer_handlers handlers = {
  .heartbeat = on_heartbeat,
  .forward = on_forward,
  .answer = on_answer,
  .run_batch = on_run_batch,
  .results = on_results,
  .offer = on_offer,
  .get_rules = on_get_rules,
};

/* @param port 0, or the port of a host that was freed before */
static inline struct host *
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
  /* Long enough not to expire on a busy machine. */
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

static inline void
host_free (struct host *host)
{
  snipe_peer_net_free (host->net);
  pthread_mutex_destroy (&host->lock);
  free (host);
}

static inline int
host_call_count (struct host *host, uint32_t procedure)
{
  int calls;

  pthread_mutex_lock (&host->lock);
  calls = host->calls[procedure];
  pthread_mutex_unlock (&host->lock);
  return calls;
}

/* Counts completed calls and lets a test wait for them. */
struct waiter
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  int completed;
  int status;
  int failures;
  uint32_t procedure;
  bool reply_matches; /* the last reply is the one that the handlers send */
};

#define WAITER_INIT                                                           \
  {                                                                           \
    .lock = PTHREAD_MUTEX_INITIALIZER, .changed = PTHREAD_COND_INITIALIZER    \
  }

static inline bool
is_expected_reply (uint32_t procedure, const union snipe_peer_reply *reply)
{
  const peer_answer *answer = &reply->forward.peer_forward_reply_u.answer;

  switch (procedure)
    {
    case PEER_FORWARD:
      return reply->forward.state == PEER_ANSWERED
             && answer->http_status == 202
             && is_large_body (answer->body.body_val, answer->body.body_len);
    case PEER_RUN_BATCH:
      return load_matches (&reply->run_batch.load, "s-1")
             && reply->run_batch.refused.refused_len == 2
             && reply->run_batch.refused.refused_val[1] == 9;
    case PEER_GET_RULES:
      return reply->rules.rules_version == 78
             && is_large_body (reply->rules.text.text_val,
                               reply->rules.text.text_len);
    case PEER_ANSWER:
      return true;
    default:
      return load_matches (&reply->load, "echo");
    }
}

static inline void
on_call_done (void *ctx, int status, union snipe_peer_reply *reply)
{
  struct waiter *waiter = ctx;

  pthread_mutex_lock (&waiter->lock);
  waiter->status = status;
  waiter->reply_matches
      = status == SNIPE_OK && is_expected_reply (waiter->procedure, reply);
  if (status != SNIPE_OK)
    waiter->failures++;
  if (status != SNIPE_OK && reply != NULL)
    abort ();
  waiter->completed++;
  pthread_cond_signal (&waiter->changed);
  pthread_mutex_unlock (&waiter->lock);
}

static inline void
wait_for_calls (struct waiter *waiter, int completed)
{
  pthread_mutex_lock (&waiter->lock);
  while (waiter->completed < completed)
    pthread_cond_wait (&waiter->changed, &waiter->lock);
  pthread_mutex_unlock (&waiter->lock);
}

static inline struct snipe_peer_call
new_call (uint32_t procedure, uint64_t token)
{
  struct snipe_peer_call call = { .procedure = procedure };

  switch (procedure)
    {
    case PEER_FORWARD:
      load_fill (&call.args.forward.from, "caller");
      call.args.forward.token = token;
      call.args.forward.id = copy_text ("s-1");
      call.args.forward.body.body_val = new_large_body ();
      call.args.forward.body.body_len = LARGE_BODY_BYTES;
      break;
    case PEER_ANSWER:
      call.args.answer.body.body_val = new_large_body ();
      call.args.answer.body.body_len = LARGE_BODY_BYTES;
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
          task->payload.payload_val = new_large_body ();
          task->payload.payload_len = LARGE_BODY_BYTES;
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
        .result
        = { .result_len = LARGE_BODY_BYTES, .result_val = new_large_body () },
      };
      break;
    default:
      load_fill (&call.args.load, "caller");
      break;
    }
  return call;
}

static inline void
start_call (struct host *from, const char *address, uint32_t procedure,
            snipe_time timeout, struct waiter *waiter)
{
  struct snipe_peer_call call = new_call (procedure, 1);

  waiter->procedure = procedure;
  CU_ASSERT_EQUAL (snipe_peer_net_call (from->net, address, &call, timeout,
                                        on_call_done, waiter),
                   SNIPE_OK);
}

/* Makes one call and waits for it. @return its status */
static inline int
call_once (struct host *from, const char *address, uint32_t procedure,
           snipe_time timeout)
{
  struct waiter waiter = WAITER_INIT;

  start_call (from, address, procedure, timeout, &waiter);
  wait_for_calls (&waiter, 1);
  if (waiter.status == SNIPE_OK)
    CU_ASSERT_TRUE (waiter.reply_matches);
  return waiter.status;
}

/* Creates a socket bound to a free port of the loopback interface. */
static inline int
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

/** Must be called first in main (). */
static inline void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  /* libtirpc sizes its tables by this limit at its first use. */
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0)
    {
      limit.rlim_cur = limit.rlim_max < 8192 ? limit.rlim_max : 8192;
      (void)setrlimit (RLIMIT_NOFILE, &limit);
    }
}

#endif
