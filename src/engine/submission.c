#include "engine/private.h"

#include <stdlib.h>
#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

/* Records are kept this much longer than the ids are valid, so that an id is
 * rejected by its age before its record is removed. */
#define RECORD_RETENTION_MARGIN_MS 60000

int64_t
engine_wall_ms (const struct snipe_engine *engine, snipe_time now)
{
  return engine->wall_offset_ms + now / SNIPE_MS;
}

struct shard *
shard_of_id (struct snipe_engine *engine, const char *id)
{
  return &engine->shards[g_str_hash (id) % SHARD_COUNT];
}

struct submission *
submission_new (const struct snipe_id *id)
{
  struct submission *sub = calloc (1, sizeof *sub);

  if (sub == NULL)
    g_error ("out of memory for a submission");
  sub->references = 1;
  sub->id = *id;
  return sub;
}

struct submission *
submission_ref (struct submission *sub)
{
  __atomic_add_fetch (&sub->references, 1, __ATOMIC_RELAXED);
  return sub;
}

void
submission_unref (struct submission *sub)
{
  if (__atomic_sub_fetch (&sub->references, 1, __ATOMIC_ACQ_REL) > 0)
    return;
  snipe_str_clear (&sub->body);
  snipe_str_clear (&sub->answer);
  free (sub);
}

static const char *
outcome_name (enum snipe_outcome outcome)
{
  switch (outcome)
    {
    case SNIPE_OUTCOME_COMPLETE:
      return "complete";
    case SNIPE_OUTCOME_NOT_RUN:
      return "not_run";
    case SNIPE_OUTCOME_UNKNOWN:
      break;
    }
  return "unknown";
}

int
answer_http_status (enum snipe_outcome outcome, int code)
{
  if (outcome == SNIPE_OUTCOME_COMPLETE)
    return 200;
  switch (code)
    {
    case SNIPE_E_INVALID:
    case SNIPE_E_BAD_ID:
      return 400;
    case SNIPE_E_NO_RULE:
      return 403;
    case SNIPE_E_NOT_FOUND:
      return 404;
    case SNIPE_E_ID_REUSED:
    case SNIPE_E_CANCELLED:
      return 409;
    case SNIPE_E_ID_EXPIRED:
    case SNIPE_E_ANSWER_GONE:
      return 410;
    case SNIPE_E_TOO_LARGE:
      return 413;
    case SNIPE_E_UNFIT:
      return 422;
    case SNIPE_E_OVERLOAD:
    case SNIPE_E_QUOTA:
      return 429;
    case SNIPE_E_DRAINING:
    case SNIPE_E_NOT_READY:
    case SNIPE_E_PLATFORM:
      return 503;
    default:
      return 502;
    }
}

void
answer_build_failed (struct snipe_str *out, const char *id,
                     enum snipe_outcome outcome, int code, const char *message)
{
  json_t *root = json_pack ("{s:s#, s:s, s:i, s:s, s:s}", "id", id,
                            (int)strnlen (id, 64), "outcome",
                            outcome_name (outcome), "code", code, "status",
                            snipe_status_name (code), "message", message);
  char *text = root == NULL ? NULL : json_dumps (root, JSON_COMPACT);

  json_decref (root);
  if (text == NULL) /* an id that is not valid UTF-8 cannot be returned */
    text = g_strdup_printf ("{\"id\":\"\",\"outcome\":\"%s\",\"code\":%d,"
                            "\"status\":\"%s\",\"message\":\"\"}",
                            outcome_name (outcome), code,
                            snipe_status_name (code));
  snipe_str_take (out, text, strlen (text));
}

void
reply_failed (snipe_reply reply, void *ctx, const char *id,
              enum snipe_outcome outcome, int code, const char *message)
{
  struct snipe_str body = SNIPE_STR_INIT;

  answer_build_failed (&body, id, outcome, code, message);
  reply (ctx, answer_http_status (outcome, code), &body);
  snipe_str_clear (&body);
}

void
waiters_answer (struct waiter *list, int http, const struct snipe_str *body)
{
  while (list != NULL)
    {
      struct waiter *next = list->next;

      list->reply (list->ctx, http, body);
      free (list);
      list = next;
    }
}

static void
count_outcome (enum snipe_outcome outcome)
{
  switch (outcome)
    {
    case SNIPE_OUTCOME_COMPLETE:
      snipe_counter_add (SNIPE_C_JOBS_COMPLETE, 1);
      break;
    case SNIPE_OUTCOME_NOT_RUN:
      snipe_counter_add (SNIPE_C_JOBS_NOT_RUN, 1);
      break;
    case SNIPE_OUTCOME_UNKNOWN:
      snipe_counter_add (SNIPE_C_JOBS_UNKNOWN, 1);
      break;
    }
}

void
submission_finish (struct snipe_engine *engine, struct submission *sub,
                   enum snipe_outcome outcome, int code,
                   struct snipe_str *answer)
{
  struct shard *shard = shard_of_id (engine, sub->id.text);
  struct waiter *waiters;
  struct snipe_str copy = SNIPE_STR_INIT;
  int http = answer_http_status (outcome, code);

  count_outcome (outcome);
  snipe_str_set (&copy, answer->data, answer->len);
  pthread_mutex_lock (&shard->lock);
  sub->state = SUBMISSION_DONE;
  sub->outcome = outcome;
  sub->code = code;
  sub->http_status = http;
  sub->execution = NULL;
  snipe_str_clear (&sub->body);
  snipe_str_take (&sub->answer, answer->data, answer->len);
  *answer = (struct snipe_str)SNIPE_STR_INIT;
  waiters = sub->waiters;
  sub->waiters = NULL;
  for (const struct waiter *w = waiters; w != NULL; w = w->next)
    if (w->deadline != INT64_MAX)
      shard->timed_waiters--;
  pthread_mutex_unlock (&shard->lock);
  archive_add (engine, sub);
  waiters_answer (waiters, http, &copy);
  snipe_str_clear (&copy);
}

bool
engine_id_expired (struct snipe_engine *engine, const struct snipe_id *id,
                   snipe_time now)
{
  const struct issue_block *oldest;
  bool expired;

  switch (id->kind)
    {
    case SNIPE_ID_CALLER_SUPPLIED:
      return engine_wall_ms (engine, now) - id->u.caller_supplied.created_ms
             > engine->options.id_retention / SNIPE_MS;
    case SNIPE_ID_ISSUED:
      break;
    }
  pthread_mutex_lock (&engine->issue_lock);
  /* Keeps the newest expired block: it shows that all sequence numbers below
     the next block have expired. */
  while ((oldest = g_queue_peek_nth (&engine->issue_blocks, 1)) != NULL
         && now - oldest->closes_at > engine->options.id_retention)
    g_free (g_queue_pop_head (&engine->issue_blocks));
  oldest = g_queue_peek_head (&engine->issue_blocks);
  if (oldest == NULL)
    expired = false;
  else if (now - oldest->closes_at <= engine->options.id_retention)
    expired = id->u.issued.sequence < oldest->first;
  else
    {
      const struct issue_block *next
          = g_queue_peek_nth (&engine->issue_blocks, 1);
      uint32_t floor = next != NULL ? next->first : engine->next_sequence;

      expired = id->u.issued.sequence < floor;
    }
  pthread_mutex_unlock (&engine->issue_lock);
  return expired;
}

/** Removes the waiters whose deadline has passed from a submission. */
static struct waiter *
remove_expired_waiters (struct submission *sub, struct shard *shard,
                        snipe_time now)
{
  struct waiter **link = &sub->waiters;
  struct waiter *expired = NULL;

  while (*link != NULL)
    {
      struct waiter *waiter = *link;

      if (waiter->deadline > now)
        {
          link = &waiter->next;
          continue;
        }
      *link = waiter->next;
      waiter->next = expired;
      expired = waiter;
      shard->timed_waiters--;
    }
  return expired;
}

static bool
submission_is_expired (struct snipe_engine *engine,
                       const struct submission *sub, snipe_time now)
{
  if (sub->state != SUBMISSION_DONE)
    return false;
  return engine_id_expired (engine, &sub->id,
                            now - RECORD_RETENTION_MARGIN_MS * SNIPE_MS);
}

void
submission_sweep (struct snipe_engine *engine, struct shard *shard,
                  snipe_time now)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *expired_ids = g_ptr_array_new_with_free_func (g_free);
  GPtrArray *expired_lists = g_ptr_array_new ();

  pthread_mutex_lock (&shard->lock);
  g_hash_table_iter_init (&iter, shard->submissions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct submission *sub = value;

      if (sub->waiters != NULL && shard->timed_waiters > 0)
        {
          struct waiter *list = remove_expired_waiters (sub, shard, now);

          if (list != NULL)
            {
              g_ptr_array_add (expired_lists, list);
              g_ptr_array_add (expired_ids, g_strdup (sub->id.text));
            }
        }
      else if (submission_is_expired (engine, sub, now))
        {
          g_hash_table_iter_remove (&iter);
        }
    }
  pthread_mutex_unlock (&shard->lock);

  for (guint i = 0; i < expired_lists->len; i++)
    {
      char *text = g_strdup_printf ("{\"id\":\"%s\",\"state\":\"running\"}",
                                    (char *)expired_ids->pdata[i]);
      struct snipe_str body = { .data = text, .len = strlen (text) };

      waiters_answer (expired_lists->pdata[i], 202, &body);
      g_free (text);
    }
  g_ptr_array_free (expired_lists, TRUE);
  g_ptr_array_free (expired_ids, TRUE);
}
