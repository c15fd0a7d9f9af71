#include "submitter.h"

#include <curl/curl.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include "fetch.h"
#include "snipe/clock.h"

/* Issued ids fetched from a host at a time. More are requested when fewer than
 * half of them are left, which at 1,000 jobs/s to one host last for 0.5 s. */
#define IDS_PER_REQUEST 1000
/* Time after the job's deadline at which a request times out. */
#define ANSWER_GRACE_MS 10000
/* Number of wrong answers written to stderr; all of them are counted. */
#define MAX_WRONG_ANSWERS_SHOWN 20

enum request_type
{
  REQUEST_SUBMIT,
  REQUEST_CANCEL,
  REQUEST_IDS,
};

struct transfer
{
  enum request_type type;
  uint32_t target_index; /**< of a job; of a host for REQUEST_IDS */
  CURL *easy;
  GString *request_body;
  GString *response_body;
};

struct cancellation
{
  double time;
  uint32_t job_index;
};

struct submitter
{
  const struct submitter_options *options;
  struct submitter_report *report;
  CURLM *multi;
  int epoll_fd;
  snipe_time start;
  snipe_time curl_timer_at; /**< expiry of libcurl's timer, or INT64_MAX */
  struct curl_slist *headers;
  GPtrArray *idle_handles; /**< CURL handles for reuse */
  GPtrArray **issued_ids;  /**< unused ids per host */
  bool *ids_requested;     /**< per host: whether a REQUEST_IDS is active */
  struct cancellation *cancellations;
  uint32_t cancellation_count;
  uint32_t next_cancellation;
  uint32_t next_job;
  uint32_t active_transfers;
  uint32_t wrong_answers;
};

static double
elapsed (const struct submitter *submitter)
{
  return (double)(snipe_clock_now () - submitter->start) / SNIPE_S;
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *ctx,
           void *socket_data)
{
  struct submitter *submitter = ctx;
  struct epoll_event event = { .data.fd = fd };
  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      epoll_ctl (submitter->epoll_fd, EPOLL_CTL_DEL, fd, &event);
      return 0;
    }
  event.events = (what & CURL_POLL_IN ? EPOLLIN : 0)
                 | (what & CURL_POLL_OUT ? EPOLLOUT : 0);
  epoll_ctl (submitter->epoll_fd, socket_data ? EPOLL_CTL_MOD : EPOLL_CTL_ADD,
             fd, &event);
  curl_multi_assign (submitter->multi, fd, submitter);
  return 0;
}

static int
on_timer (CURLM *multi, long timeout_ms, void *ctx)
{
  struct submitter *submitter = ctx;
  (void)multi;
  submitter->curl_timer_at = timeout_ms < 0
                                 ? INT64_MAX
                                 : snipe_clock_now () + timeout_ms * SNIPE_MS;
  return 0;
}

static size_t
on_data (char *data, size_t size, size_t count, void *ctx)
{
  g_string_append_len (ctx, data, (gssize)(size * count));
  return size * count;
}

static void
send_request (struct submitter *submitter, enum request_type type,
              uint32_t target_index, GString *request_body)
{
  const struct submitter_options *options = submitter->options;
  struct transfer *transfer = g_new0 (struct transfer, 1);
  const struct workload_job *job
      = type == REQUEST_IDS ? NULL : &options->jobs[target_index];
  const char *host = options->hosts[job ? job->host : target_index];
  static const char *const methods[] = { [REQUEST_SUBMIT] = "PUT",
                                         [REQUEST_CANCEL] = "DELETE",
                                         [REQUEST_IDS] = "POST" };
  char *url = job ? g_strdup_printf ("http://%s/v1/jobs/%s", host, job->id)
                  : g_strdup_printf ("http://%s/v1/ids?count=%d", host,
                                     IDS_PER_REQUEST);
  CURL *easy
      = submitter->idle_handles->len > 0 ? g_ptr_array_steal_index_fast (
            submitter->idle_handles, submitter->idle_handles->len - 1)
                                         : curl_easy_init ();
  transfer->type = type;
  transfer->target_index = target_index;
  transfer->easy = easy;
  transfer->request_body = request_body;
  transfer->response_body = g_string_new (NULL);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, methods[type]);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, submitter->headers);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE,
                    request_body ? (long)request_body->len : 0L);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                    request_body ? request_body->str : "");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer->response_body);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long)options->submission.deadline_ms + ANSWER_GRACE_MS);
  curl_multi_add_handle (submitter->multi, easy);
  submitter->active_transfers++;
  g_free (url);
}

static bool
add_ids (struct submitter *submitter, uint32_t host, const char *body,
         size_t length)
{
  json_t *response = json_loadb (body, length, 0, NULL);
  json_t *id;
  size_t i;
  json_array_foreach (json_object_get (response, "ids"), i, id)
  {
    if (json_string_length (id) > 0 && json_string_length (id) < 40)
      g_ptr_array_add (submitter->issued_ids[host],
                       g_strdup (json_string_value (id)));
  }
  json_decref (response);
  return submitter->issued_ids[host]->len > 0;
}

/* Blocks. Called before the run, and during it when no issued id is left. */
static bool
fetch_ids (struct submitter *submitter, uint32_t host)
{
  char *url
      = g_strdup_printf ("http://%s/v1/ids?count=%d",
                         submitter->options->hosts[host], IDS_PER_REQUEST);
  GString *body = fetch_body (url, "");
  bool added = body && add_ids (submitter, host, body->str, body->len);
  if (body)
    g_string_free (body, TRUE);
  g_free (url);
  return added;
}

static bool
assign_id (struct submitter *submitter, struct workload_job *job)
{
  if (submitter->options->caller_supplied_ids)
    {
      workload_uuid (job->id, snipe_clock_wall_ms ());
      return true;
    }
  GPtrArray *ids = submitter->issued_ids[job->host];
  if (ids->len == 0)
    {
      submitter->report->id_stalls++;
      if (!fetch_ids (submitter, job->host))
        return false;
    }
  char *id = g_ptr_array_steal_index (ids, 0);
  g_strlcpy (job->id, id, sizeof job->id);
  g_free (id);
  if (ids->len < IDS_PER_REQUEST / 2 && !submitter->ids_requested[job->host])
    {
      submitter->ids_requested[job->host] = true;
      send_request (submitter, REQUEST_IDS, job->host, NULL);
    }
  return true;
}

static void
submit_job (struct submitter *submitter, uint32_t job_index)
{
  struct workload_job *job = &submitter->options->jobs[job_index];
  if (!assign_id (submitter, job))
    return;
  job->send_lag = elapsed (submitter) - job->arrival;
  send_request (
      submitter, REQUEST_SUBMIT, job_index,
      workload_body (job, job_index, &submitter->options->submission));
}

static void
handle_answer (struct submitter *submitter, const struct transfer *transfer,
               CURLcode rc)
{
  struct workload_job *job = &submitter->options->jobs[transfer->target_index];
  long status = 0;
  job->response = elapsed (submitter) - job->arrival;
  if (rc != CURLE_OK)
    return;
  curl_easy_getinfo (transfer->easy, CURLINFO_RESPONSE_CODE, &status);
  const char *error = workload_check_answer (
      job, transfer->target_index, status, transfer->response_body->str,
      transfer->response_body->len);
  if (error && submitter->wrong_answers++ < MAX_WRONG_ANSWERS_SHOWN)
    fprintf (stderr, "job %s: %s (HTTP %ld): %.200s\n", job->id, error, status,
             transfer->response_body->str);
}

static void
finish_transfer (struct submitter *submitter, CURL *easy, CURLcode rc)
{
  struct transfer *transfer = NULL;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&transfer);
  switch (transfer->type)
    {
    case REQUEST_SUBMIT:
      handle_answer (submitter, transfer, rc);
      break;
    case REQUEST_CANCEL:
      break;
    case REQUEST_IDS:
      submitter->ids_requested[transfer->target_index] = false;
      add_ids (submitter, transfer->target_index, transfer->response_body->str,
               transfer->response_body->len);
      break;
    }
  curl_multi_remove_handle (submitter->multi, easy);
  curl_easy_reset (easy);
  g_ptr_array_add (submitter->idle_handles, easy);
  if (transfer->request_body)
    g_string_free (transfer->request_body, TRUE);
  g_string_free (transfer->response_body, TRUE);
  g_free (transfer);
  submitter->active_transfers--;
}

static void
send_due_requests (struct submitter *submitter)
{
  const struct submitter_options *options = submitter->options;
  double now = elapsed (submitter);
  while (submitter->next_job < options->job_count
         && options->jobs[submitter->next_job].arrival <= now)
    submit_job (submitter, submitter->next_job++);
  while (submitter->next_cancellation < submitter->cancellation_count
         && submitter->cancellations[submitter->next_cancellation].time <= now)
    {
      uint32_t job_index
          = submitter->cancellations[submitter->next_cancellation++].job_index;
      if (options->jobs[job_index].id[0] != '\0')
        {
          send_request (submitter, REQUEST_CANCEL, job_index, NULL);
          submitter->report->cancels++;
        }
    }
}

static void
wait_for_events (struct submitter *submitter)
{
  struct epoll_event events[64];
  snipe_time wake_at = submitter->curl_timer_at;
  int running;
  if (submitter->next_job < submitter->options->job_count)
    wake_at
        = MIN (wake_at,
               submitter->start
                   + (snipe_time)(submitter->options->jobs[submitter->next_job]
                                      .arrival
                                  * SNIPE_S));
  if (submitter->next_cancellation < submitter->cancellation_count)
    wake_at = MIN (
        wake_at,
        submitter->start
            + (snipe_time)(submitter
                               ->cancellations[submitter->next_cancellation]
                               .time
                           * SNIPE_S));
  snipe_time wait = CLAMP (wake_at - snipe_clock_now (), 0, SNIPE_S);
  struct timespec timeout
      = { .tv_sec = wait / SNIPE_S, .tv_nsec = wait % SNIPE_S * 1000 };
  int count = epoll_pwait2 (submitter->epoll_fd, events, 64, &timeout, NULL);
  for (int i = 0; i < count; i++)
    {
      uint32_t ready = events[i].events;
      int action = (ready & EPOLLIN ? CURL_CSELECT_IN : 0)
                   | (ready & EPOLLOUT ? CURL_CSELECT_OUT : 0)
                   | (ready & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0);
      curl_multi_socket_action (submitter->multi, events[i].data.fd, action,
                                &running);
    }
  if (submitter->curl_timer_at <= snipe_clock_now ())
    {
      submitter->curl_timer_at = INT64_MAX;
      curl_multi_socket_action (submitter->multi, CURL_SOCKET_TIMEOUT, 0,
                                &running);
    }
}

static void
run_loop (struct submitter *submitter)
{
  submitter->start = snipe_clock_now ();
  while (submitter->next_job < submitter->options->job_count
         || submitter->next_cancellation < submitter->cancellation_count
         || submitter->active_transfers > 0)
    {
      int left;
      CURLMsg *msg;
      send_due_requests (submitter);
      wait_for_events (submitter);
      while ((msg = curl_multi_info_read (submitter->multi, &left)))
        if (msg->msg == CURLMSG_DONE)
          finish_transfer (submitter, msg->easy_handle, msg->data.result);
    }
  submitter->report->seconds = elapsed (submitter);
}

static int
compare_cancellation_time (const void *a, const void *b)
{
  double x = ((const struct cancellation *)a)->time;
  double y = ((const struct cancellation *)b)->time;
  return (x > y) - (x < y);
}

static void
plan_cancellations (struct submitter *submitter)
{
  submitter->cancellations
      = g_new0 (struct cancellation, submitter->options->job_count);
  for (uint32_t i = 0; i < submitter->options->job_count; i++)
    if (submitter->options->jobs[i].cancel_at > 0)
      submitter->cancellations[submitter->cancellation_count++]
          = (struct cancellation){ .time
                                   = submitter->options->jobs[i].cancel_at,
                                   .job_index = i };
  qsort (submitter->cancellations, submitter->cancellation_count,
         sizeof (struct cancellation), compare_cancellation_time);
}

int
submitter_run (const struct submitter_options *options,
               struct submitter_report *report)
{
  struct submitter submitter = { .options = options,
                                 .report = report,
                                 .curl_timer_at = INT64_MAX,
                                 .epoll_fd = epoll_create1 (EPOLL_CLOEXEC),
                                 .multi = curl_multi_init (),
                                 .idle_handles = g_ptr_array_new () };
  uint32_t hosts = g_strv_length (options->hosts);
  int rc = 0;
  *report = (struct submitter_report){ 0 };
  /* Disables "Expect: 100-continue", which adds a round trip to large
   * requests. */
  submitter.headers = curl_slist_append (NULL, "Expect:");
  submitter.headers = curl_slist_append (submitter.headers,
                                         "Content-Type: application/json");
  curl_multi_setopt (submitter.multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (submitter.multi, CURLMOPT_SOCKETDATA, &submitter);
  curl_multi_setopt (submitter.multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (submitter.multi, CURLMOPT_TIMERDATA, &submitter);
  curl_multi_setopt (submitter.multi, CURLMOPT_MAXCONNECTS, 4096L);
  submitter.issued_ids = g_new0 (GPtrArray *, hosts);
  submitter.ids_requested = g_new0 (bool, hosts);
  for (uint32_t i = 0; i < hosts; i++)
    {
      submitter.issued_ids[i] = g_ptr_array_new_with_free_func (g_free);
      if (!options->caller_supplied_ids && rc == 0
          && !fetch_ids (&submitter, i))
        {
          fprintf (stderr, "cannot get job ids from %s\n", options->hosts[i]);
          rc = -1;
        }
    }
  plan_cancellations (&submitter);
  if (rc == 0)
    run_loop (&submitter);

  for (uint32_t i = 0; i < hosts; i++)
    g_ptr_array_unref (submitter.issued_ids[i]);
  for (guint i = 0; i < submitter.idle_handles->len; i++)
    curl_easy_cleanup (submitter.idle_handles->pdata[i]);
  g_ptr_array_unref (submitter.idle_handles);
  g_free (submitter.issued_ids);
  g_free (submitter.ids_requested);
  g_free (submitter.cancellations);
  curl_multi_cleanup (submitter.multi);
  curl_slist_free_all (submitter.headers);
  close (submitter.epoll_fd);
  return rc;
}
