/* A job with more tasks than the program keeps is answered as completed. */
#include <stdio.h>
#include <string.h>

#include "../rig/rig.h"

#define WORKERS 4
#define USUAL_TASKS 4000
#define LARGE_TASKS 5000
#define PATIENCE_MS 15000
#define JOB "00000000000000c1"

/* @return how many tasks of the job have a run that has ended as done. */
static int
count_done (int tasks)
{
  GArray *runs = rig_runs ();
  bool *done = g_new0 (bool, tasks);
  int count = 0;

  for (guint i = 0; i < runs->len; i++)
    {
      const struct rig_run *run = &g_array_index (runs, struct rig_run, i);
      int index = 0;

      if (run->ended > 0 && strcmp (run->how, "done") == 0
          && sscanf (run->task, JOB ".0.0.%d", &index) == 1 && index >= 0
          && index < tasks)
        done[index] = true;
    }
  for (int i = 0; i < tasks; i++)
    count += done[i];
  g_free (done);
  g_array_unref (runs);
  return count;
}

int
main (int argc, char **argv)
{
  static struct rig_worker workers[WORKERS];
  static struct rig_host host;
  struct rig_answer answer;
  char seeds[64];
  char body[400];
  int tasks;
  int done;
  bool completed;

  rig_begin (argc, argv);
  tasks = rig_trouble () ? LARGE_TASKS : USUAL_TASKS;
  for (int i = 0; i < WORKERS; i++)
    {
      workers[i] = (struct rig_worker){ .id = g_strdup_printf ("w-%d", i),
                                        .zone = "a",
                                        .kind = "x",
                                        .rack = "ra",
                                        .cpu = 32000 };
      rig_worker_start (&workers[i]);
    }
  rig_host_init (&host, "h-a", "a", false);
  snprintf (seeds, sizeof seeds, "127.0.0.1:%u", host.link);
  rig_host_start (&host, seeds, true);
  if (!rig_host_wait (&host))
    rig_end (RIG_CANNOT_RUN, "the host does not get ready");
  rig_sleep (3000);
  snprintf (body, sizeof body,
            "{\"spec\":\"d=100\",\"best_effort\":true,\"steps\":[{"
            "\"count\":%d,\"cpu\":500,\"mem_mb\":16,\"estimate_ms\":2000}]}",
            tasks);
  rig_note ("client: POST /q/" JOB " %s", body);
  rig_call (&answer, host.front, "POST", "/q/" JOB, body, PATIENCE_MS);
  rig_note ("client: POST /q/" JOB " -> %d %s after %d ms", answer.status,
            answer.body, (int)answer.took);
  completed = answer.status == 200 && strstr (answer.body, "completed");
  done = count_done (tasks);
  if (!completed)
    rig_end (rig_trouble () ? RIG_HELD : RIG_CANNOT_RUN,
             "the job of %d tasks was answered with %d %s", tasks,
             answer.status, answer.body);
  rig_sleep (3000);
  rig_end (done < tasks ? RIG_BROKEN : RIG_HELD,
           "the job of %d tasks was shown as completed when %d had ended done "
           "(%d 3 s later)",
           tasks, done, count_done (tasks));
}
