/* All hosts are killed and come back within a second, while a worker runs the
 * task of a job. Its client sends the job again after its broken connection.
 */
#include "kit.h"

#include <stdio.h>

#define HOSTS 4
#define ROUNDS 12
#define DEADLINE_MS 1500
#define RETRY_MS 1300
#define ESTIMATE_MS 900
#define WORK_MS 1450
/* Each host is back after a delay within these bounds. */
#define RESTART_MIN_MS 550
#define RESTART_MAX_MS 850

static struct kit_host *hosts[HOSTS];

static void
restart_all (GRand *rand)
{
  int64_t killed_at = kit_now ();
  int64_t due[HOSTS];
  int restarted = 0;

  for (int i = 0; i < HOSTS; i++)
    {
      kit_kill_host (hosts[i]);
      due[i] = killed_at
               + g_rand_int_range (rand, RESTART_MIN_MS, RESTART_MAX_MS);
    }
  while (restarted < HOSTS)
    {
      for (int i = 0; i < HOSTS; i++)
        if (hosts[i]->pid == 0 && kit_now () >= due[i])
          {
            kit_start_host (hosts[i], false);
            restarted++;
          }
      g_usleep (500);
    }
}

int
main (int argc, char **argv)
{
  GRand *rand = g_rand_new_with_seed (1);
  char *body = kit_job_body (1, 27000, ESTIMATE_MS, WORK_MS);

  if (argc != 2)
    return 2;
  kit_begin (argv[1]);
  for (int i = 0; i < 8; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "w-%s-%d", i % 2 == 0 ? "east" : "north",
                i / 2);
      kit_worker (id, i % 2 == 0 ? "perth-east" : "perth-north", 64000);
    }
  hosts[0] = kit_host ("edge-east-1", "perth-east", false);
  hosts[1] = kit_host ("edge-east-2", "perth-east", false);
  hosts[2] = kit_host ("edge-north-1", "perth-north", false);
  hosts[3] = kit_host ("edge-north-2", "perth-north", false);
  kit_start ();
  for (int round = 0; round < ROUNDS; round++)
    {
      char id[17];
      struct kit_request *request;
      int64_t overlap;

      snprintf (id, sizeof id, "8c3b0d54ac7e%04x", (unsigned int)round);
      request = kit_send (hosts[round % 2], "POST", id, body, DEADLINE_MS);
      if (kit_wait_running (id, 1000) == NULL)
        kit_cannot_run ("the task was not started");
      kit_sleep_until (kit_now () + 20);
      if (kit_trouble ())
        {
          int64_t killed_at = kit_now ();

          restart_all (rand);
          kit_wait (request);
          kit_sleep_until (killed_at + RETRY_MS);
          request
              = kit_send (hosts[2 + round % 2], "POST", id, body, DEADLINE_MS);
        }
      kit_wait (request);
      kit_sleep_until (kit_now () + 2500);
      overlap = kit_overlap (id);
      if (overlap > 0)
        kit_broken ("TWICE %s: two runs at work together for %d ms", id,
                    (int)overlap);
    }
  kit_end ();
}
