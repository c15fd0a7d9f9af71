/* All connections between the hosts that are open at one moment go silent for
 * good; new ones work. The jobs are the site's full-board-reprints. */
#include "kit.h"

#include <stdio.h>
#include <string.h>

#define HOSTS 7
#define WORKERS 12
#define DEADLINE_MS 1500
#define RETRY_MS 1300
#define ATTEMPTS_MAX 3
#define ARRIVAL_INTERVAL_MS                                                   \
  600 /* a quarter of the site's, as of its workers */
#define TASKS 4
#define WORK_MS 900
#define BEFORE_MS 10000
#define RECOVERY_MS 12000 /* bound of the rule */
#define AFTER_MS 30000
#define JOBS_MAX 200

struct job
{
  int number;
  int64_t sent_at;
  bool served;
};

static struct kit_host *hosts[HOSTS];

static gpointer
run_client (gpointer data)
{
  struct job *job = data;
  char *body = kit_job_body (TASKS, 27000, WORK_MS, WORK_MS);
  char id[17];
  int status = 0;

  snprintf (id, sizeof id, "9d4c1e65bd8f%04x", (unsigned int)job->number);
  for (int i = 0; i < ATTEMPTS_MAX; i++)
    {
      struct kit_request *request;

      if (i > 0)
        kit_sleep_until (kit_now () + RETRY_MS);
      request = kit_send (hosts[(job->number + i) % HOSTS], "POST", id, body,
                          DEADLINE_MS);
      status = kit_wait (request);
      if (status == 200 && strstr (request->answer, "completed") != NULL)
        job->served = true;
      if (status != -1 && status != 502 && status != 504)
        break;
    }
  kit_record ("job %s ends with %d", id, status);
  if (kit_overlap (id) > 0)
    kit_record ("note: two runs of a task of %s at work together for %d ms",
                id, (int)kit_overlap (id));
  g_free (body);
  return NULL;
}

/* Reports the share of the jobs sent in a span that was served.
 * @return it in percent. */
static int
report_share (const struct job *jobs, int count, int64_t from, int64_t to,
              const char *when)
{
  int sent = 0;
  int served = 0;

  for (int i = 0; i < count; i++)
    if (jobs[i].sent_at >= from && jobs[i].sent_at < to)
      {
        sent++;
        served += jobs[i].served;
      }
  kit_record ("%s: %d of %d served", when, served, sent);
  return sent == 0 ? 0 : served * 100 / sent;
}

int
main (int argc, char **argv)
{
  static const char *const zones[]
      = { "perth-east", "perth-north", "bunbury" };
  static struct job jobs[JOBS_MAX];
  static GThread *clients[JOBS_MAX];
  static char names[HOSTS][24];
  int64_t began;
  int64_t silent_at;
  int count = 0;
  int before;
  int after;

  if (argc != 2)
    return 2;
  kit_begin (argv[1]);
  for (int i = 0; i < WORKERS; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "w-%d", i);
      kit_worker (id, zones[i % 3], 64000);
    }
  for (int i = 0; i < HOSTS; i++)
    {
      snprintf (names[i], sizeof names[i], "edge-%s-%d", zones[i % 3],
                i / 3 + 1);
      hosts[i] = kit_host (names[i], zones[i % 3], true);
    }
  kit_start ();
  began = kit_now ();
  silent_at = began + BEFORE_MS;
  for (bool silent = false; count < JOBS_MAX; count++)
    {
      struct job *job = &jobs[count];

      kit_sleep_until (began + (int64_t)count * ARRIVAL_INTERVAL_MS);
      if (!silent && kit_now () >= silent_at)
        {
          silent = true;
          kit_record ("the open connections between the hosts go silent");
          for (int i = 0; i < HOSTS && kit_trouble (); i++)
            kit_relay_silence (hosts[i]->link_relay, NULL);
        }
      if (kit_now () >= silent_at + RECOVERY_MS + AFTER_MS)
        break;
      *job = (struct job){ .number = count, .sent_at = kit_now () };
      clients[count] = g_thread_new ("client", run_client, job);
    }
  for (int i = 0; i < count; i++)
    g_thread_join (clients[i]);
  before = report_share (jobs, count, began, silent_at, "before");
  after = report_share (jobs, count, silent_at + RECOVERY_MS, INT64_MAX,
                        "after the recovery time");
  if (before < 25)
    kit_cannot_run ("too few jobs are served without the disruption");
  if (after < 25)
    kit_broken ("RECOVER %d of 100 jobs are served later than %d ms after the "
                "disruption, %d before it",
                after, RECOVERY_MS, before);
  kit_end ();
}
