#include "ctl/submit.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "snipe/clock.h"
#include "snipe/status.h"
#include "util/http.h"

/* Longest wait asked for in one request, so that a host that no longer answers
 * is noticed before the whole wait is over. */
#define REQUEST_WAIT_MAX_MS 5000
#define RUNNING_INTERVAL_US ((gulong)(20 * SNIPE_MS))
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 2000

/* Result of one request for a job. */
enum reply_state
{
  REPLY_ENDED,   /* the reply has an outcome */
  REPLY_RUNNING, /* HTTP 202 */
  REPLY_REFUSED, /* HTTP 4xx without an outcome: not worth a retry */
  REPLY_LOST,    /* no reply, or one without a usable answer */
};

struct job
{
  const struct snipe_submit *submit;
  const char *id;
  const char *body; /* NULL: only query the answer */
  size_t len;
  bool id_is_new;     /* not submitted before, as far as known */
  bool maybe_written; /* a host may have received the submission */
  bool accepted;      /* a host replied that the job is running */
  uint32_t host;
  snipe_time deadline;
  struct snipe_http_response response;
};

static int
call (struct snipe_http_response *out, const struct snipe_submit *submit,
      uint32_t host, const char *method, const char *path, const char *body,
      size_t len, int64_t wait_ms)
{
  struct snipe_http_request request = SNIPE_HTTP_REQUEST_INIT;
  char *url = g_strconcat ("http://", submit->hosts[host % submit->host_count],
                           path, NULL);
  int status;

  request.method = method;
  request.url = url;
  request.body = body;
  request.body_len = len;
  request.timeout_ms = wait_ms + submit->timeout_ms;
  status = snipe_http_call (out, &request);
  g_free (url);
  return status;
}

/* Sleeps before retry @p n. The jitter spreads the retries of callers that
 * lost the same host. */
static void
back_off (uint32_t n)
{
  gint32 base = MIN (BACKOFF_MIN_MS << MIN (n, 5U), BACKOFF_MAX_MS);

  g_usleep ((gulong)g_random_int_range (base / 2, base + 1) * 1000);
}

static char *
job_path (const char *id, int64_t wait_ms)
{
  char *escaped = g_uri_escape_string (id, NULL, FALSE);
  char *path = g_strdup_printf ("/v1/jobs/%s?wait=%" G_GINT64_FORMAT, escaped,
                                wait_ms);

  g_free (escaped);
  return path;
}

/* Parses the outcome of job @p id (NULL: any) from a body.
 * @return static text; NULL if the body is not a complete answer of that job.
 */
static const char *
parse_outcome (const struct snipe_str *body, const char *id)
{
  static const char *const outcomes[] = { "complete", "not_run", "unknown" };
  json_t *json = json_loadb (snipe_str_c (body), body->len, 0, NULL);
  const char *text = json_string_value (json_object_get (json, "outcome"));
  const char *answer_id = json_string_value (json_object_get (json, "id"));
  const char *found = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (outcomes) && text != NULL; i++)
    if (strcmp (text, outcomes[i]) == 0)
      found = outcomes[i];
  if (id != NULL
      && (answer_id == NULL || g_ascii_strcasecmp (answer_id, id) != 0))
    found = NULL;
  if (found == outcomes[0]
      && !json_is_array (json_object_get (json, "results")))
    found = NULL;
  json_decref (json);
  return found;
}

static enum reply_state
poll_once (struct job *job)
{
  const struct snipe_submit *submit = job->submit;
  bool put = job->body != NULL && !job->accepted;
  int64_t left_ms = (job->deadline - snipe_clock_now ()) / SNIPE_MS;
  int64_t wait_ms = CLAMP (left_ms, 0, REQUEST_WAIT_MAX_MS);
  char *path = job_path (job->id, wait_ms);
  int status
      = call (&job->response, submit, job->host, put ? "PUT" : "GET", path,
              put ? job->body : NULL, put ? job->len : 0, wait_ms);

  g_free (path);
  if (put && status != SNIPE_E_UNREACHABLE)
    job->maybe_written = true;
  if (status != SNIPE_OK)
    return REPLY_LOST;
  if (job->response.status == 202)
    return REPLY_RUNNING;
  if (parse_outcome (&job->response.body, job->id) != NULL)
    return REPLY_ENDED;
  snipe_status_set (SNIPE_E_REFUSED,
                    "HTTP %d without a complete answer of this job: %.200s",
                    job->response.status, snipe_str_c (&job->response.body));
  return job->response.status / 100 == 4 ? REPLY_REFUSED : REPLY_LOST;
}

static void
print_body (const struct snipe_submit *submit, const struct snipe_str *body)
{
  fwrite (snipe_str_c (body), 1, body->len, submit->out);
  if (body->len == 0 || body->data[body->len - 1] != '\n')
    fputc ('\n', submit->out);
}

static int
report_ended (const struct job *job)
{
  const char *outcome = parse_outcome (&job->response.body, job->id);

  print_body (job->submit, &job->response.body);
  if (strcmp (outcome, "complete") == 0)
    return SNIPE_SUBMIT_COMPLETE;
  return strcmp (outcome, "not_run") == 0 ? SNIPE_SUBMIT_NOT_RUN
                                          : SNIPE_SUBMIT_UNKNOWN;
}

static int
report_lost (const struct job *job)
{
  FILE *err = job->submit->err;

  if (job->body == NULL)
    {
      fprintf (err, "snipe: %s: no answer from any host\n", job->id);
      return SNIPE_SUBMIT_FAILED;
    }
  if (job->id_is_new && !job->maybe_written)
    {
      fprintf (err, "snipe: %s: no host was reached, nothing has run\n",
               job->id);
      return SNIPE_SUBMIT_NOT_RUN;
    }
  fprintf (err,
           "snipe: %s: no answer, the job may have run; ask again with "
           "\"snipe get %s\" or submit the same job with --id %s\n",
           job->id, job->id, job->id);
  return SNIPE_SUBMIT_UNKNOWN;
}

/* Sends requests until an outcome is known, the wait is over or no retries are
 * left. */
static int
poll_until_known (struct job *job)
{
  const struct snipe_submit *submit = job->submit;
  uint32_t failures = 0;

  job->deadline = snipe_clock_now () + submit->wait_ms * SNIPE_MS;
  for (;;)
    {
      switch (poll_once (job))
        {
        case REPLY_ENDED:
          return report_ended (job);
        case REPLY_RUNNING:
          job->accepted = true;
          if (snipe_clock_now () < job->deadline)
            {
              /* Limits the request rate at a host that replies before the wait
               * that was asked for is over. */
              g_usleep (RUNNING_INTERVAL_US);
              continue;
            }
          print_body (submit, &job->response.body);
          return SNIPE_SUBMIT_RUNNING;
        case REPLY_REFUSED:
          fprintf (submit->err, "snipe: %s: %s\n", job->id,
                   snipe_status_last ());
          return job->body == NULL ? SNIPE_SUBMIT_FAILED
                                   : SNIPE_SUBMIT_UNKNOWN;
        case REPLY_LOST:
          break;
        }
      fprintf (submit->err, "snipe: %s: %s\n", job->id, snipe_status_last ());
      if (failures == submit->retries)
        return report_lost (job);
      back_off (failures++);
      /* The host that accepted the job may be lost, so the job is submitted
       * again under the same id, which starts no task twice. */
      job->accepted = false;
      job->host++;
    }
}

/* Requests an id from one host after another.
 * @return the id, to be freed with g_free (); NULL if no host issues one. */
static char *
request_id (const struct snipe_submit *submit, uint32_t *host)
{
  char *id = NULL;

  for (uint32_t i = 0; id == NULL; i++)
    {
      struct snipe_http_response response = { 0 };
      json_t *json = NULL;
      const char *text = NULL;
      int status
          = call (&response, submit, i, "POST", "/v1/ids?count=1", "", 0, 0);

      if (status == SNIPE_OK)
        json = json_loadb (snipe_str_c (&response.body), response.body.len, 0,
                           NULL);
      if (status == SNIPE_OK && response.status == 200
          && json_unpack (json, "{s:[s]}", "ids", &text) == 0)
        id = g_strdup (text);
      else if (status == SNIPE_OK)
        snipe_status_set (SNIPE_E_REFUSED, "HTTP %d: %.200s", response.status,
                          snipe_str_c (&response.body));
      *host = i;
      json_decref (json);
      snipe_http_response_clear (&response);
      if (id != NULL)
        break;
      fprintf (submit->err, "snipe: no id: %s\n", snipe_status_last ());
      if (i == submit->retries)
        break;
      back_off (i);
    }
  return id;
}

int
snipe_submit_job (const struct snipe_submit *submit, const char *id,
                  bool id_is_new, const char *body, size_t len)
{
  struct job job = {
    .submit = submit,
    .body = body,
    .len = len,
    .id_is_new = id_is_new,
  };
  char *issued = NULL;
  int result;

  if (id == NULL)
    {
      issued = request_id (submit, &job.host);
      if (issued == NULL)
        {
          fputs ("snipe: no host issued an id, nothing was submitted\n",
                 submit->err);
          return SNIPE_SUBMIT_NOT_RUN;
        }
      job.id_is_new = true;
    }
  job.id = id == NULL ? issued : id;
  fprintf (submit->err, "id: %s\n", job.id);
  fflush (submit->err);
  result = poll_until_known (&job);
  snipe_http_response_clear (&job.response);
  g_free (issued);
  return result;
}

int
snipe_submit_get (const struct snipe_submit *submit, const char *id)
{
  struct job job = { .submit = submit, .id = id };
  int result = poll_until_known (&job);

  snipe_http_response_clear (&job.response);
  return result;
}

int
snipe_submit_cancel (const struct snipe_submit *submit, const char *const *ids,
                     uint32_t count)
{
  struct snipe_http_response response = { 0 };
  json_t *list = json_array ();
  json_t *json;
  char *body;
  char *path;
  int result = SNIPE_SUBMIT_FAILED;

  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (list, json_string (ids[i]));
  json = json_pack ("{s:o}", "ids", list);
  body = json_dumps (json, JSON_COMPACT);
  path = count == 1 ? job_path (ids[0], submit->wait_ms)
                    : g_strdup ("/v1/cancel");
  for (uint32_t i = 0; i <= submit->retries; i++)
    {
      int status = call (&response, submit, i, count == 1 ? "DELETE" : "POST",
                         path, count == 1 ? NULL : body,
                         count == 1 ? 0 : strlen (body), submit->wait_ms);

      if (status == SNIPE_OK
          && (response.status / 100 == 2
              || parse_outcome (&response.body, NULL) != NULL))
        {
          print_body (submit, &response.body);
          result = SNIPE_SUBMIT_COMPLETE;
          break;
        }
      if (status == SNIPE_OK)
        snipe_status_set (SNIPE_E_REFUSED, "HTTP %d: %.200s", response.status,
                          snipe_str_c (&response.body));
      fprintf (submit->err, "snipe: cancel: %s\n", snipe_status_last ());
      if ((status == SNIPE_OK && response.status / 100 == 4)
          || i == submit->retries)
        break;
      back_off (i);
    }
  snipe_http_response_clear (&response);
  g_free (path);
  free (body);
  json_decref (json);
  return result;
}
