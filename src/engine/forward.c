#include "engine/private.h"

#include <stdlib.h>
#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

/* The coordinator replies to a forward at once, if only with PEER_PENDING. */
#define FORWARD_TIMEOUT (1500 * SNIPE_MS)
/* Interval between queries for a pending forward, in case its answer was
 * lost. */
#define FORWARD_QUERY_INTERVAL (2 * SNIPE_S)
#define ANSWER_TIMEOUT (2 * SNIPE_S)
/* A draining coordinator is queried until this long after its last message. */
#define DRAINING_COORDINATOR_TIMEOUT (4 * SNIPE_S)
/* Token of a query that does not wait. */
#define TOKEN_NONE 0

/** A request that waits for the answer of the coordinator of its id. */
struct forward
{
  uint64_t token;
  struct snipe_id id;
  uint64_t coordinator;
  enum snipe_verb verb;
  bool has_digest;
  uint8_t digest[DIGEST_BYTES];
  snipe_time deadline;
  snipe_time next_query;
  snipe_reply reply;
  void *ctx;
};

/** Context of an RPC for a forward. */
struct forward_rpc
{
  struct snipe_engine *engine;
  uint64_t token;
};

/** A forwarded request that this host answers as coordinator. */
struct inbound_forward
{
  pthread_mutex_t lock;
  struct snipe_engine *engine;
  uint64_t token;
  char address[ADDRESS_BYTES];
  uint32_t references;
  bool rpc_open;   /**< the RPC reply can still carry the answer */
  int http_status; /**< 0 until answered */
  struct snipe_str body;
};

void
forward_free (void *forward)
{
  g_free (forward);
}

/** Removes a forward from the table. The caller that gets it answers it. */
static struct forward *
forward_remove (struct snipe_engine *engine, uint64_t token)
{
  struct forward *forward;

  pthread_mutex_lock (&engine->forward_lock);
  forward = g_hash_table_lookup (engine->forwards, &token);
  if (forward != NULL)
    g_hash_table_steal (engine->forwards, &token);
  pthread_mutex_unlock (&engine->forward_lock);
  return forward;
}

/** Answers a forward from the archive of its coordinator. */
static void
forward_look_up_archive (struct snipe_engine *engine, struct forward *forward)
{
  struct lookup lookup = {
    .kind = LOOKUP_ARCHIVE,
    .id = forward->id,
    .coordinator = forward->coordinator,
    .has_digest = forward->has_digest,
    .reply = forward->reply,
    .ctx = forward->ctx,
  };

  memcpy (lookup.digest, forward->digest, DIGEST_BYTES);
  lookup_push (engine, &lookup);
  forward_free (forward);
}

static void
forward_done (void *ctx, int status, union snipe_peer_reply *reply)
{
  struct forward_rpc *call = ctx;
  struct snipe_engine *engine = call->engine;
  struct forward *forward;
  struct snipe_str body;

  if (status == SNIPE_OK && reply->forward.state == PEER_PENDING)
    {
      g_free (call);
      return;
    }
  forward = forward_remove (engine, call->token);
  g_free (call);
  if (forward == NULL)
    return;
  if (status != SNIPE_OK || reply->forward.state == PEER_NOT_COORDINATOR)
    {
      forward_look_up_archive (engine, forward);
      return;
    }
  body = (struct snipe_str){
    .data = reply->forward.peer_forward_reply_u.answer.body.body_val,
    .len = reply->forward.peer_forward_reply_u.answer.body.body_len
  };
  forward->reply (forward->ctx,
                  reply->forward.peer_forward_reply_u.answer.http_status,
                  &body);
  forward_free (forward);
}

/** Handles the reply to a repeated query. On failure the forward keeps
 * waiting: the coordinator may only be slow. */
static void
query_done (void *ctx, int status, union snipe_peer_reply *reply)
{
  struct forward_rpc *call = ctx;

  if (status == SNIPE_OK && reply->forward.state == PEER_ANSWERED
      && reply->forward.peer_forward_reply_u.answer.http_status != 202)
    {
      forward_done (ctx, status, reply);
      return;
    }
  g_free (call);
}

static peer_verb
verb_to_wire (enum snipe_verb verb)
{
  switch (verb)
    {
    case SNIPE_VERB_SUBMIT:
      return PEER_SUBMIT;
    case SNIPE_VERB_CANCEL:
      return PEER_CANCEL;
    case SNIPE_VERB_QUERY:
      break;
    }
  return PEER_QUERY;
}

static enum snipe_verb
verb_from_wire (peer_verb verb)
{
  switch (verb)
    {
    case PEER_SUBMIT:
      return SNIPE_VERB_SUBMIT;
    case PEER_CANCEL:
      return SNIPE_VERB_CANCEL;
    case PEER_QUERY:
      break;
    }
  return SNIPE_VERB_QUERY;
}

static bool
coordinator_address (struct snipe_engine *engine, uint64_t coordinator,
                     char *out)
{
  const struct peer *peer;

  pthread_mutex_lock (&engine->sched_lock);
  peer = engine_find_peer (engine, coordinator);
  if (peer != NULL)
    g_strlcpy (out, peer->address, ADDRESS_BYTES);
  pthread_mutex_unlock (&engine->sched_lock);
  return peer != NULL;
}

static void
send_forward (struct snipe_engine *engine, const char *address,
              const struct snipe_id *id, const struct snipe_request *request,
              bool claimed, uint64_t token, snipe_time now)
{
  struct snipe_peer_call call = { .procedure = PEER_FORWARD };
  struct forward_rpc *ctx = g_new0 (struct forward_rpc, 1);
  peer_forward *args = &call.args.forward;
  int status;

  ctx->engine = engine;
  ctx->token = token;
  engine_fill_load_report (engine, now, &args->from);
  args->token = token;
  args->verb = verb_to_wire (request->verb);
  args->id = strdup (id->text);
  args->claimed = claimed;
  if (request->verb == SNIPE_VERB_SUBMIT)
    {
      args->body.body_len = (u_int)request->body_len;
      args->body.body_val = g_memdup2 (request->body, request->body_len);
    }
  snipe_counter_add (SNIPE_C_FORWARDS, 1);
  status = snipe_peer_net_call (engine->dependencies.net, address, &call,
                                FORWARD_TIMEOUT, forward_done, ctx);
  if (status < 0)
    forward_done (ctx, status, NULL);
}

static void
send_query (struct snipe_engine *engine, const char *address,
            const struct snipe_id *id, uint64_t token, snipe_time now)
{
  struct snipe_peer_call call = { .procedure = PEER_FORWARD };
  struct forward_rpc *ctx = g_new0 (struct forward_rpc, 1);
  peer_forward *args = &call.args.forward;

  ctx->engine = engine;
  ctx->token = token;
  engine_fill_load_report (engine, now, &args->from);
  args->token = TOKEN_NONE;
  args->verb = PEER_QUERY;
  args->id = strdup (id->text);
  args->claimed = true;
  snipe_counter_add (SNIPE_C_FORWARDS, 1);
  if (snipe_peer_net_call (engine->dependencies.net, address, &call,
                           FORWARD_TIMEOUT, query_done, ctx)
      < 0)
    g_free (ctx);
}

/** Adds a forward to the table and sends it. */
static void
forward_start (struct snipe_engine *engine, const char *address,
               const struct snipe_id *id, uint64_t coordinator,
               const struct snipe_request *request, bool claimed,
               snipe_time now, snipe_reply reply, void *ctx)
{
  struct forward *forward = g_new0 (struct forward, 1);
  uint64_t token;

  forward->id = *id;
  forward->coordinator = coordinator;
  forward->verb = request->verb;
  forward->deadline = request->wait < 0 ? INT64_MAX : now + request->wait;
  forward->next_query = now + FORWARD_QUERY_INTERVAL;
  forward->reply = reply;
  forward->ctx = ctx;
  if (request->verb == SNIPE_VERB_SUBMIT)
    {
      forward->has_digest = true;
      digest_body (forward->digest, request->body, request->body_len);
    }
  pthread_mutex_lock (&engine->forward_lock);
  token = ++engine->last_token;
  forward->token = token;
  g_hash_table_insert (engine->forwards, &forward->token, forward);
  pthread_mutex_unlock (&engine->forward_lock);
  send_forward (engine, address, id, request, claimed, token, now);
}

void
forward_request (struct snipe_engine *engine, const struct snipe_id *id,
                 uint64_t coordinator, const struct snipe_request *request,
                 bool claimed, snipe_time now, snipe_reply reply, void *ctx)
{
  char address[ADDRESS_BYTES];

  /* A coordinator that seems dead is tried all the same: this host's view of
     its peers may be stale. */
  if (coordinator_address (engine, coordinator, address))
    {
      decision_record (engine, id->text, 0, "forward", "home", address, 0,
                       NULL);
      forward_start (engine, address, id, coordinator, request, claimed, now,
                     reply, ctx);
    }
  else
    {
      struct lookup lookup = { .kind = LOOKUP_ARCHIVE,
                               .id = *id,
                               .coordinator = coordinator,
                               .reply = reply,
                               .ctx = ctx };

      if (request->verb == SNIPE_VERB_SUBMIT)
        {
          lookup.has_digest = true;
          digest_body (lookup.digest, request->body, request->body_len);
        }
      lookup_push (engine, &lookup);
    }
}

bool
forward_to_any_peer (struct snipe_engine *engine, const struct snipe_id *id,
                     const struct snipe_request *request, snipe_time now,
                     snipe_reply reply, void *ctx)
{
  char address[ADDRESS_BYTES];
  uint64_t coordinator = 0;
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&engine->sched_lock);
  g_hash_table_iter_init (&iter, engine->peers);
  while (coordinator == 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;

      if (!peer_is_live (engine, peer, now))
        continue;
      coordinator = peer->incarnation;
      g_strlcpy (address, peer->address, sizeof address);
    }
  pthread_mutex_unlock (&engine->sched_lock);
  if (coordinator == 0)
    return false;
  decision_record (engine, id->text, 0, "forward", "leaving", address, 0,
                   NULL);
  forward_start (engine, address, id, coordinator, request, false, now, reply,
                 ctx);
  return true;
}

static bool
coordinator_is_live (struct snipe_engine *engine, uint64_t coordinator,
                     snipe_time now, char *address)
{
  const struct peer *peer;
  bool live;

  pthread_mutex_lock (&engine->sched_lock);
  peer = engine_find_peer (engine, coordinator);
  live = peer != NULL
         && (peer_is_live (engine, peer, now)
             || (peer->leaving
                 && now - peer->last_received_at
                        < DRAINING_COORDINATOR_TIMEOUT));
  if (live)
    g_strlcpy (address, peer->address, ADDRESS_BYTES);
  pthread_mutex_unlock (&engine->sched_lock);
  return live;
}

/** Lists the tokens of forwards that timed out or have a query due. */
static GArray *
list_due_forwards (struct snipe_engine *engine, snipe_time now)
{
  GArray *tokens = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&engine->forward_lock);
  g_hash_table_iter_init (&iter, engine->forwards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct forward *forward = value;

      if (now >= forward->deadline || now >= forward->next_query)
        g_array_append_val (tokens, forward->token);
    }
  pthread_mutex_unlock (&engine->forward_lock);
  return tokens;
}

static void
answer_running (struct forward *forward)
{
  char *text = g_strdup_printf ("{\"id\":\"%s\",\"state\":\"running\"}",
                                forward->id.text);
  struct snipe_str body = { .data = text, .len = strlen (text) };

  forward->reply (forward->ctx, 202, &body);
  g_free (text);
  forward_free (forward);
}

void
forward_sweep (struct snipe_engine *engine, snipe_time now)
{
  GArray *tokens = list_due_forwards (engine, now);

  for (guint i = 0; i < tokens->len; i++)
    {
      uint64_t token = g_array_index (tokens, uint64_t, i);
      struct forward *forward = forward_remove (engine, token);
      char address[ADDRESS_BYTES];
      struct snipe_id id;

      if (forward == NULL)
        continue;
      if (now >= forward->deadline)
        {
          answer_running (forward);
          continue;
        }
      if (!coordinator_is_live (engine, forward->coordinator, now, address))
        {
          forward_look_up_archive (engine, forward);
          continue;
        }
      id = forward->id;
      forward->next_query = now + FORWARD_QUERY_INTERVAL;
      pthread_mutex_lock (&engine->forward_lock);
      g_hash_table_insert (engine->forwards, &forward->token, forward);
      pthread_mutex_unlock (&engine->forward_lock);
      send_query (engine, address, &id, token, now);
    }
  g_array_free (tokens, TRUE);
}

static void
inbound_unref (struct inbound_forward *inbound)
{
  if (__atomic_sub_fetch (&inbound->references, 1, __ATOMIC_ACQ_REL) > 0)
    return;
  pthread_mutex_destroy (&inbound->lock);
  snipe_str_clear (&inbound->body);
  g_free (inbound);
}

static void
answer_sent (void *ctx, int status, union snipe_peer_reply *reply)
{
  (void)ctx;
  (void)status;
  (void)reply; /* if the answer is lost, the other host queries again */
}

static void
send_answer (struct inbound_forward *inbound, int http,
             const struct snipe_str *body)
{
  struct snipe_peer_call call = { .procedure = PEER_ANSWER };
  peer_answer *args = &call.args.answer;

  args->token = inbound->token;
  args->http_status = http;
  args->body.body_len = (u_int)body->len;
  args->body.body_val = g_memdup2 (body->data, body->len);
  snipe_peer_net_call (inbound->engine->dependencies.net, inbound->address,
                       &call, ANSWER_TIMEOUT, answer_sent, NULL);
}

/** Receives the coordinator's answer to a forwarded request. */
static void
inbound_reply (void *ctx, int http, const struct snipe_str *body)
{
  struct inbound_forward *inbound = ctx;
  bool send;

  pthread_mutex_lock (&inbound->lock);
  inbound->http_status = http;
  send = !inbound->rpc_open;
  if (!send)
    snipe_str_set (&inbound->body, body->data, body->len);
  pthread_mutex_unlock (&inbound->lock);
  if (send && inbound->token != TOKEN_NONE)
    send_answer (inbound, http, body);
  inbound_unref (inbound);
}

static bool
is_coordinator (struct snipe_engine *engine, const struct snipe_id *id,
                const peer_forward *args)
{
  switch (id->kind)
    {
    case SNIPE_ID_ISSUED:
      return id->u.issued.incarnation == engine->options.incarnation;
    case SNIPE_ID_CALLER_SUPPLIED:
      break;
    }
  /* Any host may claim an id that is not claimed yet. */
  return args->verb != PEER_QUERY || args->claimed;
}

static void
fill_reply (struct inbound_forward *inbound, peer_forward_reply *reply)
{
  pthread_mutex_lock (&inbound->lock);
  inbound->rpc_open = false;
  if (inbound->http_status != 0)
    {
      peer_answer *answer = &reply->peer_forward_reply_u.answer;

      reply->state = PEER_ANSWERED;
      answer->token = inbound->token;
      answer->http_status = inbound->http_status;
      answer->body.body_len = (u_int)inbound->body.len;
      answer->body.body_val = inbound->body.data;
      inbound->body = (struct snipe_str)SNIPE_STR_INIT;
    }
  else
    {
      reply->state = PEER_PENDING;
    }
  pthread_mutex_unlock (&inbound->lock);
  inbound_unref (inbound);
}

int
engine_on_forward (void *ctx, const peer_forward *args,
                   peer_forward_reply *reply)
{
  struct snipe_engine *engine = ctx;
  snipe_time now = snipe_clock_now ();
  struct inbound_forward *inbound;
  struct snipe_id id;
  struct snipe_request request = {
    .verb = verb_from_wire (args->verb),
    .id = args->id,
    .body = args->body.body_val,
    .body_len = args->body.body_len,
    .wait = args->token == TOKEN_NONE ? 0 : -1,
  };

  engine_on_load_report (engine, &args->from, now);
  *reply = (peer_forward_reply){ .state = PEER_NOT_COORDINATOR };
  if (snipe_id_parse (&id, args->id) < 0
      || !is_coordinator (engine, &id, args))
    return 0;
  inbound = g_new0 (struct inbound_forward, 1);
  pthread_mutex_init (&inbound->lock, NULL);
  inbound->engine = engine;
  inbound->token = args->token;
  inbound->references = 2;
  inbound->rpc_open = true;
  g_strlcpy (inbound->address, args->from.address, sizeof inbound->address);
  coordinator_request (engine, &id, &request, args->claimed, now,
                       inbound_reply, inbound);
  fill_reply (inbound, reply);
  return 0;
}

int
engine_on_answer (void *ctx, const peer_answer *args)
{
  struct snipe_engine *engine = ctx;
  struct forward *forward = forward_remove (engine, args->token);
  struct snipe_str body
      = { .data = args->body.body_val, .len = args->body.body_len };

  if (forward == NULL)
    return 0;
  forward->reply (forward->ctx, args->http_status, &body);
  forward_free (forward);
  return 0;
}
