/* The host that owns a pool and coordinates a job is killed, and its worker
 * carries orders out late. The next owner keeps the worker's lease for another
 * job's run, while its stops of the run of the killed host get no answer; the
 * client comes back at another pool. */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "../rig/rig.h"

#define HOSTS 3
#define CONTACT_MS 3000
#define RETRY_MS 1300
#define DOWN_MS 3400
#define ROUNDS 16
/* Jobs of the host that is killed, and of the other one, in a round. */
#define VICTIM_JOBS 6
#define OTHER_JOBS 3
/* Half of the orders to the worker of zone a get no answer and are carried out
   late. */
#define LATE_PERMILLE 500
#define BODY                                                                  \
  "{\"spec\":\"d=%d\",\"best_effort\":true,\"steps\":[{\"count\":1,"          \
  "\"cpu\":3000,\"mem_mb\":64,\"estimate_ms\":%d}]}"

struct call
{
  int host;
  int attempts;
  char path[64];
  char body[200];
};

static struct rig_host hosts[HOSTS];
static int open_calls; /* atomic */
static int next_id = 0xa000;

/* A client whose connection breaks comes back RETRY_MS later, at host 2. */
static gpointer
submit (gpointer data)
{
  struct call *call = data;
  struct rig_answer answer = { 0 };

  for (int i = 0; i < call->attempts && answer.status == 0; i++)
    {
      const struct rig_host *host = &hosts[i == 0 ? call->host : 2];

      if (i > 0)
        rig_sleep (RETRY_MS);
      rig_note ("client: POST %s to %s", call->path, host->name);
      rig_call (&answer, host->front, "POST", call->path, call->body, 1500);
      rig_note ("client: POST %s -> %d %s after %d ms", call->path,
                answer.status, answer.body, (int)answer.took);
    }
  g_free (call);
  g_atomic_int_add (&open_calls, -1);
  return NULL;
}

static void
send_job (int host, int duration_ms, int estimate_ms)
{
  struct call *call = g_new0 (struct call, 1);

  call->host = host;
  call->attempts = 2;
  snprintf (call->path, sizeof call->path, "/q/%016x", next_id++);
  snprintf (call->body, sizeof call->body, BODY, duration_ms, estimate_ms);
  g_atomic_int_inc (&open_calls);
  g_thread_unref (g_thread_new ("client", submit, call));
}

/* @return the number of runs that began while the task had another run. */
static int
count_double_runs (void)
{
  GArray *runs = rig_runs ();
  int count = 0;

  for (guint i = 0; i < runs->len; i++)
    for (guint k = 0; k < i; k++)
      {
        const struct rig_run *one = &g_array_index (runs, struct rig_run, i);
        const struct rig_run *two = &g_array_index (runs, struct rig_run, k);

        if (strcmp (one->task, two->task) != 0
            || (two->ended != 0 && two->ended <= one->started))
          continue;
        count++;
        rig_note ("two runs: %s on %s since %d ms, on %s from %d to %d ms",
                  one->task, one->worker, (int)one->started, two->worker,
                  (int)two->started, (int)two->ended);
      }
  g_array_unref (runs);
  return count;
}

static void
play_round (struct rig_worker *worker, const char *seeds, int victim)
{
  /* A small job each, so that all hosts hear of the loads. */
  for (int i = 0; i < HOSTS; i++)
    send_job (i, 50, 50);
  rig_sleep (500);
  for (int i = 0; i < OTHER_JOBS; i++)
    send_job (1 - victim, 1350, 1300);
  for (int i = 0; i < VICTIM_JOBS; i++)
    send_job (victim, 3000, 1300);
  rig_sleep (100);
  if (rig_trouble ())
    {
      g_atomic_int_set (&worker->late_permille, LATE_PERMILLE);
      rig_note ("host %s: SIGKILL; orders are late", hosts[victim].name);
      kill (hosts[victim].pid, SIGKILL);
      waitpid (hosts[victim].pid, NULL, 0);
      hosts[victim].pid = 0;
    }
  rig_sleep (DOWN_MS);
  g_atomic_int_set (&worker->late_permille, 0);
  if (rig_trouble ())
    rig_host_start (&hosts[victim], seeds, false);
  while (g_atomic_int_get (&open_calls) > 0)
    rig_sleep (20);
  rig_sleep (2000);
}

int
main (int argc, char **argv)
{
  static struct rig_worker workers[]
      = { { .id = "w-a1", .zone = "a", .kind = "x", .rack = "ra" },
          { .id = "w-b1", .zone = "b", .kind = "x", .rack = "rb" } };
  static const char *const zones[HOSTS] = { "a", "a", "b" };
  char seeds[96];
  int doubles;

  rig_begin (argc, argv);
  for (size_t i = 0; i < G_N_ELEMENTS (workers); i++)
    {
      workers[i].cpu = 32000;
      rig_worker_start (&workers[i]);
    }
  for (int i = 0; i < HOSTS; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "h-%d", i + 1);
      rig_host_init (&hosts[i], name, zones[i], false);
    }
  snprintf (seeds, sizeof seeds, "127.0.0.1:%u,127.0.0.1:%u,127.0.0.1:%u",
            hosts[0].link, hosts[1].link, hosts[2].link);
  for (int i = 0; i < HOSTS; i++)
    rig_host_start (&hosts[i], seeds, true);
  for (int i = 0; i < HOSTS; i++)
    if (!rig_host_wait (&hosts[i]))
      rig_end (RIG_CANNOT_RUN, "a host does not get ready");
  rig_sleep (CONTACT_MS + 500);
  for (int i = 0; i < ROUNDS; i++)
    /* The other host of the zone takes the pool over and is the next. */
    play_round (&workers[0], seeds, i % 2);
  doubles = count_double_runs ();
  rig_end (doubles > 0 ? RIG_BROKEN : RIG_HELD,
           "%d runs began beside another run of their task", doubles);
}
