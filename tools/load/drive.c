#include "drive.h"

#include <curl/curl.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include "fetch.h"
#include "snipe/clock.h"

/* Ids in stock per host; the next request for ids goes out at half of it.
 * At 1,000 jobs/s to one host half is half a second's supply. */
#define ID_STOCK 1000
/* Grace over the job's deadline until a missing answer is given up. */
#define ANSWER_GRACE_MS 10000
/* Wrong answers written to stderr; all are counted. */
#define FAULTS_SHOWN 20

enum call
{
  CALL_SUBMIT,
  CALL_CANCEL,
  CALL_IDS,
};

struct transfer
{
  enum call call;
  uint32_t number; /**< of the job, or of the host for CALL_IDS */
  CURL *easy;
  GString *out;
  GString *in;
};

struct cancel
{
  double at;
  uint32_t number;
};

struct drive
{
  const struct drive_options *options;
  struct drive_report *report;
  CURLM *multi;
  int epoll;
  snipe_time start;
  snipe_time curl_due; /**< time of libcurl's timer, INT64_MAX if none */
  struct curl_slist *headers;
  GPtrArray *spare;  /**< CURL handles */
  GPtrArray **stock; /**< issued ids per host */
  bool *asked;       /**< whether a request for ids is under way */
  struct cancel *cancels;
  uint32_t cancel_count;
  uint32_t next_cancel;
  uint32_t next_job;
  uint32_t open; /**< transfers */
  uint32_t faults;
};

static double
elapsed (const struct drive *drive)
{
  return (double)(snipe_clock_now () - drive->start) / SNIPE_S;
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *ctx, void *known)
{
  struct drive *drive = ctx;
  struct epoll_event event = { .data.fd = fd };
  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      epoll_ctl (drive->epoll, EPOLL_CTL_DEL, fd, &event);
      return 0;
    }
  event.events = (what & CURL_POLL_IN ? EPOLLIN : 0)
                 | (what & CURL_POLL_OUT ? EPOLLOUT : 0);
  epoll_ctl (drive->epoll, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
  curl_multi_assign (drive->multi, fd, drive);
  return 0;
}

static int
on_timer (CURLM *multi, long timeout_ms, void *ctx)
{
  struct drive *drive = ctx;
  (void)multi;
  drive->curl_due = timeout_ms < 0
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
call (struct drive *drive, enum call what, uint32_t number, GString *out)
{
  const struct drive_options *options = drive->options;
  struct transfer *transfer = g_new0 (struct transfer, 1);
  const struct workload_job *job
      = what == CALL_IDS ? NULL : &options->jobs[number];
  const char *host = options->hosts[job ? job->host : number];
  static const char *const methods[] = {
    [CALL_SUBMIT] = "PUT", [CALL_CANCEL] = "DELETE", [CALL_IDS] = "POST"
  };
  char *url
      = job ? g_strdup_printf ("http://%s/v1/jobs/%s", host, job->id)
            : g_strdup_printf ("http://%s/v1/ids?count=%d", host, ID_STOCK);
  CURL *easy = drive->spare->len > 0 ? g_ptr_array_steal_index_fast (
                   drive->spare, drive->spare->len - 1)
                                     : curl_easy_init ();
  transfer->call = what;
  transfer->number = number;
  transfer->easy = easy;
  transfer->out = out;
  transfer->in = g_string_new (NULL);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, methods[what]);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, drive->headers);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, out ? (long)out->len : 0L);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, out ? out->str : "");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer->in);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long)options->form.deadline_ms + ANSWER_GRACE_MS);
  curl_multi_add_handle (drive->multi, easy);
  drive->open++;
  g_free (url);
}

static bool
add_ids (struct drive *drive, uint32_t host, const char *body, size_t len)
{
  json_t *answer = json_loadb (body, len, 0, NULL);
  json_t *id;
  size_t i;
  json_array_foreach (json_object_get (answer, "ids"), i, id)
  {
    if (json_string_length (id) > 0 && json_string_length (id) < 40)
      g_ptr_array_add (drive->stock[host], g_strdup (json_string_value (id)));
  }
  json_decref (answer);
  return drive->stock[host]->len > 0;
}

/* Blocks; used before the start and when a host's stock is used up. */
static bool
fetch_ids (struct drive *drive, uint32_t host)
{
  char *url = g_strdup_printf ("http://%s/v1/ids?count=%d",
                               drive->options->hosts[host], ID_STOCK);
  GString *body = fetch_call (url, "");
  bool got = body && add_ids (drive, host, body->str, body->len);
  if (body)
    g_string_free (body, TRUE);
  g_free (url);
  return got;
}

static bool
take_id (struct drive *drive, struct workload_job *job)
{
  if (drive->options->own_ids)
    {
      workload_uuid (job->id, snipe_clock_wall_ms ());
      return true;
    }
  GPtrArray *stock = drive->stock[job->host];
  if (stock->len == 0)
    {
      drive->report->id_stalls++;
      if (!fetch_ids (drive, job->host))
        return false;
    }
  char *id = g_ptr_array_steal_index (stock, 0);
  g_strlcpy (job->id, id, sizeof job->id);
  g_free (id);
  if (stock->len < ID_STOCK / 2 && !drive->asked[job->host])
    {
      drive->asked[job->host] = true;
      call (drive, CALL_IDS, job->host, NULL);
    }
  return true;
}

static void
submit (struct drive *drive, uint32_t number)
{
  struct workload_job *job = &drive->options->jobs[number];
  if (!take_id (drive, job))
    return;
  job->lag = elapsed (drive) - job->arrival;
  call (drive, CALL_SUBMIT, number,
        workload_body (job, number, &drive->options->form));
}

static void
submitted (struct drive *drive, const struct transfer *transfer, CURLcode rc)
{
  struct workload_job *job = &drive->options->jobs[transfer->number];
  long status = 0;
  job->response = elapsed (drive) - job->arrival;
  if (rc != CURLE_OK)
    return;
  curl_easy_getinfo (transfer->easy, CURLINFO_RESPONSE_CODE, &status);
  const char *fault = workload_check (job, transfer->number, status,
                                      transfer->in->str, transfer->in->len);
  if (fault && drive->faults++ < FAULTS_SHOWN)
    fprintf (stderr, "job %s: %s (HTTP %ld): %.200s\n", job->id, fault, status,
             transfer->in->str);
}

static void
finish (struct drive *drive, CURL *easy, CURLcode rc)
{
  struct transfer *transfer = NULL;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&transfer);
  switch (transfer->call)
    {
    case CALL_SUBMIT:
      submitted (drive, transfer, rc);
      break;
    case CALL_CANCEL:
      break;
    case CALL_IDS:
      drive->asked[transfer->number] = false;
      add_ids (drive, transfer->number, transfer->in->str, transfer->in->len);
      break;
    }
  curl_multi_remove_handle (drive->multi, easy);
  curl_easy_reset (easy);
  g_ptr_array_add (drive->spare, easy);
  if (transfer->out)
    g_string_free (transfer->out, TRUE);
  g_string_free (transfer->in, TRUE);
  g_free (transfer);
  drive->open--;
}

static void
send_due (struct drive *drive)
{
  const struct drive_options *options = drive->options;
  double now = elapsed (drive);
  while (drive->next_job < options->job_count
         && options->jobs[drive->next_job].arrival <= now)
    submit (drive, drive->next_job++);
  while (drive->next_cancel < drive->cancel_count
         && drive->cancels[drive->next_cancel].at <= now)
    {
      uint32_t number = drive->cancels[drive->next_cancel++].number;
      if (options->jobs[number].id[0] != '\0')
        {
          call (drive, CALL_CANCEL, number, NULL);
          drive->report->cancels++;
        }
    }
}

static void
wait_events (struct drive *drive)
{
  struct epoll_event events[64];
  snipe_time due = drive->curl_due;
  int running;
  if (drive->next_job < drive->options->job_count)
    due = MIN (due,
               drive->start
                   + (snipe_time)(drive->options->jobs[drive->next_job].arrival
                                  * SNIPE_S));
  if (drive->next_cancel < drive->cancel_count)
    due = MIN (due, drive->start
                        + (snipe_time)(drive->cancels[drive->next_cancel].at
                                       * SNIPE_S));
  snipe_time wait = CLAMP (due - snipe_clock_now (), 0, SNIPE_S);
  struct timespec timeout
      = { .tv_sec = wait / SNIPE_S, .tv_nsec = wait % SNIPE_S * 1000 };
  int count = epoll_pwait2 (drive->epoll, events, 64, &timeout, NULL);
  for (int i = 0; i < count; i++)
    {
      uint32_t got = events[i].events;
      int what = (got & EPOLLIN ? CURL_CSELECT_IN : 0)
                 | (got & EPOLLOUT ? CURL_CSELECT_OUT : 0)
                 | (got & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0);
      curl_multi_socket_action (drive->multi, events[i].data.fd, what,
                                &running);
    }
  if (drive->curl_due <= snipe_clock_now ())
    {
      drive->curl_due = INT64_MAX;
      curl_multi_socket_action (drive->multi, CURL_SOCKET_TIMEOUT, 0,
                                &running);
    }
}

static void
loop (struct drive *drive)
{
  drive->start = snipe_clock_now ();
  while (drive->next_job < drive->options->job_count
         || drive->next_cancel < drive->cancel_count || drive->open > 0)
    {
      int left;
      CURLMsg *msg;
      send_due (drive);
      wait_events (drive);
      while ((msg = curl_multi_info_read (drive->multi, &left)))
        if (msg->msg == CURLMSG_DONE)
          finish (drive, msg->easy_handle, msg->data.result);
    }
  drive->report->seconds = elapsed (drive);
}

static int
by_time (const void *a, const void *b)
{
  double x = ((const struct cancel *)a)->at;
  double y = ((const struct cancel *)b)->at;
  return (x > y) - (x < y);
}

static void
plan_cancels (struct drive *drive)
{
  drive->cancels = g_new0 (struct cancel, drive->options->job_count);
  for (uint32_t i = 0; i < drive->options->job_count; i++)
    if (drive->options->jobs[i].cancel_at > 0)
      drive->cancels[drive->cancel_count++]
          = (struct cancel){ .at = drive->options->jobs[i].cancel_at,
                             .number = i };
  qsort (drive->cancels, drive->cancel_count, sizeof (struct cancel), by_time);
}

int
drive_run (const struct drive_options *options, struct drive_report *report)
{
  struct drive drive = { .options = options,
                         .report = report,
                         .curl_due = INT64_MAX,
                         .epoll = epoll_create1 (EPOLL_CLOEXEC),
                         .multi = curl_multi_init (),
                         .spare = g_ptr_array_new () };
  uint32_t hosts = g_strv_length (options->hosts);
  int rc = 0;
  *report = (struct drive_report){ 0 };
  /* "Expect: 100-continue" would add a round trip to large jobs. */
  drive.headers = curl_slist_append (NULL, "Expect:");
  drive.headers
      = curl_slist_append (drive.headers, "Content-Type: application/json");
  curl_multi_setopt (drive.multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (drive.multi, CURLMOPT_SOCKETDATA, &drive);
  curl_multi_setopt (drive.multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (drive.multi, CURLMOPT_TIMERDATA, &drive);
  curl_multi_setopt (drive.multi, CURLMOPT_MAXCONNECTS, 4096L);
  drive.stock = g_new0 (GPtrArray *, hosts);
  drive.asked = g_new0 (bool, hosts);
  for (uint32_t i = 0; i < hosts; i++)
    {
      drive.stock[i] = g_ptr_array_new_with_free_func (g_free);
      if (!options->own_ids && rc == 0 && !fetch_ids (&drive, i))
        {
          fprintf (stderr, "no ids from %s\n", options->hosts[i]);
          rc = -1;
        }
    }
  plan_cancels (&drive);
  if (rc == 0)
    loop (&drive);

  for (uint32_t i = 0; i < hosts; i++)
    g_ptr_array_unref (drive.stock[i]);
  for (guint i = 0; i < drive.spare->len; i++)
    curl_easy_cleanup (drive.spare->pdata[i]);
  g_ptr_array_unref (drive.spare);
  g_free (drive.stock);
  g_free (drive.asked);
  g_free (drive.cancels);
  curl_multi_cleanup (drive.multi);
  curl_slist_free_all (drive.headers);
  close (drive.epoll);
  return rc;
}
