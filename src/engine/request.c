#include "engine/private.h"

#include <stdlib.h>
#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

/* Allowed lead of a caller's clock over the clock of this host. */
#define ID_CLOCK_SKEW_MAX_MS 60000

/** A claim of a caller-supplied id, in progress. */
struct claim
{
  struct snipe_engine *engine;
  struct submission *sub;
};

void
digest_body (uint8_t *digest, const char *body, size_t len)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize size = DIGEST_BYTES;

  g_checksum_update (sum, (const guchar *)body, (gssize)len);
  g_checksum_get_digest (sum, digest, &size);
  g_checksum_free (sum);
}

static void
add_waiter (struct shard *shard, struct submission *sub,
            const struct snipe_request *request, snipe_time now,
            snipe_reply reply, void *ctx)
{
  struct waiter *waiter = calloc (1, sizeof *waiter);

  if (waiter == NULL)
    g_error ("out of memory for a waiting request");
  waiter->reply = reply;
  waiter->ctx = ctx;
  waiter->verb = request->verb;
  waiter->deadline = request->wait < 0 ? INT64_MAX : now + request->wait;
  if (waiter->deadline != INT64_MAX)
    shard->timed_waiters++;
  waiter->next = sub->waiters;
  sub->waiters = waiter;
}

/** Answers a request from an existing record, now or when the job ends. Called
 * with the shard's lock, which it releases. */
static void
attach_request (struct snipe_engine *engine, struct shard *shard,
                struct submission *sub, const struct snipe_request *request,
                const uint8_t *digest, snipe_time now, snipe_reply reply,
                void *ctx)
{
  struct snipe_str answer = SNIPE_STR_INIT;
  char id[sizeof sub->id.text];
  bool cancel_execution = false;
  char message[160];
  int http;

  memcpy (id, sub->id.text, sizeof id);
  if (request->verb == SNIPE_VERB_SUBMIT && sub->has_digest
      && memcmp (sub->digest, digest, DIGEST_BYTES) != 0)
    {
      pthread_mutex_unlock (&shard->lock);
      g_snprintf (
          message, sizeof message,
          "id %s was already used with a different body; this body was "
          "not run, the earlier one may have been",
          id);
      reply_failed (reply, ctx, id, SNIPE_OUTCOME_UNKNOWN, SNIPE_E_ID_REUSED,
                    message);
      return;
    }
  if (request->verb == SNIPE_VERB_SUBMIT)
    snipe_counter_add (SNIPE_C_JOBS_RESUBMITTED, 1);
  if (sub->state != SUBMISSION_DONE)
    {
      if (request->verb == SNIPE_VERB_CANCEL)
        {
          sub->cancelled = true;
          cancel_execution = sub->execution != NULL;
        }
      add_waiter (shard, sub, request, now, reply, ctx);
      if (cancel_execution)
        submission_ref (sub);
      pthread_mutex_unlock (&shard->lock);
      if (cancel_execution)
        {
          execution_cancel (engine, sub, now);
          submission_unref (sub);
        }
      return;
    }
  http = sub->http_status;
  if (sub->answer.data != NULL)
    {
      snipe_str_set (&answer, sub->answer.data, sub->answer.len);
    }
  else
    {
      answer_build_failed (
          &answer, id, SNIPE_OUTCOME_UNKNOWN, SNIPE_E_ANSWER_GONE,
          "the job has ended, but its answer is no longer available");
      http = answer_http_status (SNIPE_OUTCOME_UNKNOWN, SNIPE_E_ANSWER_GONE);
    }
  pthread_mutex_unlock (&shard->lock);
  reply (ctx, http, &answer);
  snipe_str_clear (&answer);
}

/** Ends a submission that this host coordinates without starting it. */
static void
finish_not_run (struct snipe_engine *engine, struct submission *sub, int code,
                const char *message)
{
  struct snipe_str answer = SNIPE_STR_INIT;

  decision_record (engine, sub->id.text, 0, "refuse", snipe_status_name (code),
                   "", 0, NULL);
  answer_build_failed (&answer, sub->id.text, SNIPE_OUTCOME_NOT_RUN, code,
                       message);
  submission_finish (engine, sub, SNIPE_OUTCOME_NOT_RUN, code, &answer);
}

/** Starts the job of an id that this host coordinates, or records the id as
 * not run, so that it can never start. */
static void
submission_begin (struct snipe_engine *engine, struct submission *sub,
                  const char *body, size_t len, snipe_time now)
{
  struct shard *shard = shard_of_id (engine, sub->id.text);
  bool cancelled;

  pthread_mutex_lock (&shard->lock);
  cancelled = sub->cancelled;
  pthread_mutex_unlock (&shard->lock);
  if (cancelled)
    finish_not_run (engine, sub, SNIPE_E_CANCELLED,
                    "the job was cancelled before it started");
  else if (snipe_engine_draining (engine))
    finish_not_run (
        engine, sub, SNIPE_E_DRAINING,
        "this host is draining; request a new id from another host");
  else
    execution_start_job (engine, sub, body, len, now);
}

/** Removes a submission that was not started, so that the id is unknown again.
 * @return its waiters. */
static struct waiter *
submission_withdraw (struct snipe_engine *engine, struct submission *sub)
{
  struct shard *shard = shard_of_id (engine, sub->id.text);
  struct waiter *waiters;

  pthread_mutex_lock (&shard->lock);
  waiters = sub->waiters;
  sub->waiters = NULL;
  for (const struct waiter *w = waiters; w != NULL; w = w->next)
    if (w->deadline != INT64_MAX)
      shard->timed_waiters--;
  g_hash_table_remove (shard->submissions, sub->id.text);
  pthread_mutex_unlock (&shard->lock);
  return waiters;
}

static void
claim_owned_elsewhere (struct snipe_engine *engine, struct submission *sub,
                       uint64_t owner, snipe_time now)
{
  struct waiter *waiters = submission_withdraw (engine, sub);

  while (waiters != NULL)
    {
      struct waiter *waiter = waiters;
      struct snipe_request request = {
        .verb = waiter->verb,
        .id = sub->id.text,
        .body = sub->body.data,
        .body_len = sub->body.len,
        .wait = waiter->deadline == INT64_MAX ? -1 : waiter->deadline - now,
      };

      waiters = waiter->next;
      forward_request (engine, &sub->id, owner, &request, true, now,
                       waiter->reply, waiter->ctx);
      free (waiter);
    }
}

static void
claim_done (void *ctx, int status, uint64_t owner)
{
  struct claim *claim = ctx;
  struct snipe_engine *engine = claim->engine;
  struct submission *sub = claim->sub;
  snipe_time now = snipe_clock_now ();

  if (status < 0)
    {
      struct snipe_str body = SNIPE_STR_INIT;

      answer_build_failed (
          &body, sub->id.text, SNIPE_OUTCOME_UNKNOWN, SNIPE_E_PLATFORM,
          "the platform's table did not confirm the claim of this id; "
          "this attempt started nothing");
      waiters_answer (
          submission_withdraw (engine, sub),
          answer_http_status (SNIPE_OUTCOME_UNKNOWN, SNIPE_E_PLATFORM), &body);
      snipe_str_clear (&body);
    }
  else if (owner != engine->options.incarnation)
    {
      claim_owned_elsewhere (engine, sub, owner, now);
    }
  else
    {
      struct snipe_str body = sub->body;

      /* While the state is SUBMISSION_CLAIMING, only this thread uses the
         body. */
      sub->body = (struct snipe_str)SNIPE_STR_INIT;
      submission_begin (engine, sub, body.data, body.len, now);
      snipe_str_clear (&body);
    }
  submission_unref (sub);
  g_free (claim);
}

static void
claim_start (struct snipe_engine *engine, struct submission *sub)
{
  struct claim *claim = g_new0 (struct claim, 1);
  int status = SNIPE_E_PLATFORM;

  claim->engine = engine;
  claim->sub = submission_ref (sub);
  if (engine_platform (engine) != NULL)
    status = snipe_platform_claim (engine_platform (engine), sub->id.text,
                                   claim_done, claim);
  if (status < 0)
    claim_done (claim, status, 0);
}

/** Checks an id that has no record here. @return 0 if its job may start here,
 * else a status code with a message. */
static int
check_unknown_id (struct snipe_engine *engine, const struct snipe_id *id,
                  snipe_time now)
{
  uint32_t issued;

  if (engine_id_expired (engine, id, now))
    return snipe_status_set (
        SNIPE_E_ID_EXPIRED,
        "id %s is older than the id retention time "
        "(%lld s); it is not started, an earlier "
        "attempt may have run",
        id->text, (long long)(engine->options.id_retention / SNIPE_S));
  switch (id->kind)
    {
    case SNIPE_ID_CALLER_SUPPLIED:
      if (id->u.caller_supplied.created_ms - engine_wall_ms (engine, now)
          > ID_CLOCK_SKEW_MAX_MS)
        return snipe_status_set (SNIPE_E_BAD_ID,
                                 "the timestamp of id %s is more than %d s in "
                                 "the future",
                                 id->text, ID_CLOCK_SKEW_MAX_MS / 1000);
      return SNIPE_OK;
    case SNIPE_ID_ISSUED:
      break;
    }
  pthread_mutex_lock (&engine->issue_lock);
  issued = engine->next_sequence;
  pthread_mutex_unlock (&engine->issue_lock);
  if (id->u.issued.sequence >= issued)
    return snipe_status_set (SNIPE_E_BAD_ID, "id %s was never issued",
                             id->text);
  return SNIPE_OK;
}

/** Inserts a submission into its shard. @return whether its id has to be
 * claimed first. */
static bool
submission_insert (struct shard *shard, struct submission *sub,
                   const struct snipe_request *request, bool claimed)
{
  bool needs_claim = sub->id.kind == SNIPE_ID_CALLER_SUPPLIED && !claimed;

  if (needs_claim && request->verb == SNIPE_VERB_SUBMIT)
    snipe_str_set (&sub->body, request->body, request->body_len);
  sub->state = needs_claim ? SUBMISSION_CLAIMING : SUBMISSION_RUNNING;
  g_hash_table_insert (shard->submissions, sub->id.text, sub);
  return needs_claim;
}

void
coordinator_request (struct snipe_engine *engine, const struct snipe_id *id,
                     const struct snipe_request *request, bool claimed,
                     snipe_time now, snipe_reply reply, void *ctx)
{
  struct shard *shard = shard_of_id (engine, id->text);
  struct submission *sub;
  uint8_t digest[DIGEST_BYTES] = { 0 };
  bool needs_claim;
  int status;

  if (request->verb == SNIPE_VERB_SUBMIT)
    digest_body (digest, request->body, request->body_len);
  pthread_mutex_lock (&shard->lock);
  sub = g_hash_table_lookup (shard->submissions, id->text);
  if (sub != NULL)
    {
      attach_request (engine, shard, sub, request, digest, now, reply, ctx);
      return;
    }
  status = check_unknown_id (engine, id, now);
  if (status < 0)
    {
      pthread_mutex_unlock (&shard->lock);
      reply_failed (reply, ctx, id->text, SNIPE_OUTCOME_UNKNOWN, status,
                    snipe_status_last ());
      return;
    }
  if (request->verb == SNIPE_VERB_QUERY)
    {
      pthread_mutex_unlock (&shard->lock);
      reply_failed (reply, ctx, id->text, SNIPE_OUTCOME_UNKNOWN,
                    SNIPE_E_NOT_FOUND,
                    "no job with this id was submitted to this host");
      return;
    }
  sub = submission_new (id);
  if (request->verb == SNIPE_VERB_SUBMIT)
    {
      sub->has_digest = true;
      memcpy (sub->digest, digest, DIGEST_BYTES);
    }
  sub->cancelled = request->verb == SNIPE_VERB_CANCEL;
  needs_claim = submission_insert (shard, sub, request, claimed);
  add_waiter (shard, sub, request, now, reply, ctx);
  submission_ref (sub);
  pthread_mutex_unlock (&shard->lock);
  if (needs_claim)
    claim_start (engine, sub);
  else
    submission_begin (engine, sub, request->body, request->body_len, now);
  submission_unref (sub);
}

/** Whether this host has a record of the id. */
static bool
has_record (struct snipe_engine *engine, const struct snipe_id *id)
{
  struct shard *shard = shard_of_id (engine, id->text);
  bool known;

  pthread_mutex_lock (&shard->lock);
  known = g_hash_table_contains (shard->submissions, id->text);
  pthread_mutex_unlock (&shard->lock);
  return known;
}

static void
caller_id_request (struct snipe_engine *engine, const struct snipe_id *id,
                   const struct snipe_request *request, snipe_time now,
                   snipe_reply reply, void *ctx)
{
  bool known = has_record (engine, id);

  if (!known && request->verb == SNIPE_VERB_QUERY)
    {
      struct lookup lookup = { .kind = LOOKUP_OWNER,
                               .id = *id,
                               .wait = request->wait,
                               .reply = reply,
                               .ctx = ctx };

      lookup_push (engine, &lookup);
      return;
    }
  if (known || !snipe_engine_draining (engine)
      || !forward_to_any_peer (engine, id, request, now, reply, ctx))
    coordinator_request (engine, id, request, false, now, reply, ctx);
}

void
snipe_engine_request (struct snipe_engine *engine,
                      const struct snipe_request *request, snipe_time now,
                      snipe_reply reply, void *ctx)
{
  struct snipe_id id;

  if (snipe_id_parse (&id, request->id) < 0)
    {
      reply_failed (reply, ctx, request->id, SNIPE_OUTCOME_UNKNOWN,
                    SNIPE_E_BAD_ID, snipe_status_last ());
      return;
    }
  switch (id.kind)
    {
    case SNIPE_ID_CALLER_SUPPLIED:
      caller_id_request (engine, &id, request, now, reply, ctx);
      return;
    case SNIPE_ID_ISSUED:
      if (id.u.issued.incarnation == engine->options.incarnation)
        coordinator_request (engine, &id, request, false, now, reply, ctx);
      else
        forward_request (engine, &id, id.u.issued.incarnation, request, false,
                         now, reply, ctx);
      return;
    }
}

int
snipe_engine_issue_ids (struct snipe_str *out, struct snipe_engine *engine,
                        uint32_t count, snipe_time now)
{
  struct issue_block *block;
  GString *text;
  uint32_t first;

  pthread_mutex_lock (&engine->issue_lock);
  if (UINT32_MAX - engine->next_sequence < count)
    {
      pthread_mutex_unlock (&engine->issue_lock);
      return snipe_status_set (SNIPE_E_OVERLOAD,
                               "this process has issued all of its ids");
    }
  first = engine->next_sequence;
  engine->next_sequence += count;
  block = g_queue_peek_tail (&engine->issue_blocks);
  /* At most one block per second, so that the list stays short; all ids of a
     block count as issued when it closes. */
  if (block == NULL || now > block->closes_at)
    {
      block = g_new0 (struct issue_block, 1);
      block->first = first;
      block->closes_at = now + SNIPE_S;
      g_queue_push_tail (&engine->issue_blocks, block);
    }
  pthread_mutex_unlock (&engine->issue_lock);

  text = g_string_new ("{\"ids\":[");
  for (uint32_t i = 0; i < count; i++)
    {
      struct snipe_id id;

      snipe_id_issue (&id, engine->options.incarnation, first + i);
      g_string_append_printf (text, "%s\"%s\"", i == 0 ? "" : ",", id.text);
    }
  g_string_append (text, "]}");
  snipe_str_take (out, text->str, text->len);
  g_string_free (text, FALSE);
  return SNIPE_OK;
}
