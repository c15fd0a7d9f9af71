/* Connections of a host are reset while it coordinates a job whose task runs
 * in the pool of another host of its zone. */
#include "kit.h"

#include <stdio.h>

#define ROUNDS 10
#define DEADLINE_MS 1500
#define RETRY_MS 1300
#define ESTIMATE_MS 900
#define WORK_MS 1450

int
main (int argc, char **argv)
{
  char *body = kit_job_body (1, 27000, ESTIMATE_MS, WORK_MS);
  struct kit_host *east[2];
  struct kit_host *north;

  if (argc != 2)
    return 2;
  kit_begin (argv[1]);
  kit_worker ("w-east-1", "perth-east", 64000);
  kit_worker ("w-east-2", "perth-east", 64000);
  kit_worker ("w-north-1", "perth-north", 64000);
  kit_worker ("w-north-2", "perth-north", 64000);
  east[0] = kit_host ("edge-east-1", "perth-east", true);
  east[1] = kit_host ("edge-east-2", "perth-east", true);
  north = kit_host ("edge-north-1", "perth-north", true);
  kit_host ("edge-north-2", "perth-north", true);
  kit_start ();
  /* One of the two hosts owns the pool of the zone, so every second round has
   * its cancellation on the link between them. */
  for (int round = 0; round < ROUNDS; round++)
    {
      const struct kit_host *first = east[round % 2];
      const struct kit_host *mate = east[1 - round % 2];
      char id[17];
      struct kit_request *request;
      int64_t overlap;

      snprintf (id, sizeof id, "5c0e7a21d94b%04x", round);
      request = kit_send (first, "POST", id, body, DEADLINE_MS);
      if (kit_wait_running (id, 1000) == NULL)
        kit_cannot_run ("the task was not started");
      kit_sleep_until (kit_now () + 20);
      if (kit_trouble ())
        {
          int64_t broken_at = kit_now ();

          kit_record ("reset connections of %s: its client's and its link to "
                      "%s",
                      first->name, mate->name);
          kit_reset (request);
          kit_relay_reset (mate->link_relay, first->name);
          kit_wait (request);
          kit_sleep_until (broken_at + RETRY_MS);
          request = kit_send (north, "POST", id, body, DEADLINE_MS);
        }
      kit_wait (request);
      kit_sleep_until (kit_now () + 1500);
      overlap = kit_overlap (id);
      if (overlap > 0)
        kit_broken ("TWICE %s: two runs at work together for %d ms", id,
                    (int)overlap);
    }
  kit_end ();
}
