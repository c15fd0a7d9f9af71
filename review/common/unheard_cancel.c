/* A job is cancelled at another host than the one that has it, shortly after
 * the connection between the two went silent. */
#include "kit.h"

#include <stdio.h>

#define ROUNDS 6
#define DEADLINE_MS 8000
#define ESTIMATE_MS 3000
#define WORK_MS 3600   /* the longest work of the site's reprints */
#define CANCEL_MS 3000 /* bounds of the rule */
#define STOP_MS 50

int
main (int argc, char **argv)
{
  char *body = kit_job_body (2, 27000, ESTIMATE_MS, WORK_MS);
  struct kit_host *hosts[3];

  if (argc != 2)
    return 2;
  kit_begin (argv[1]);
  kit_worker ("w-east-1", "perth-east", 64000);
  kit_worker ("w-north-1", "perth-north", 64000);
  kit_worker ("w-bunbury-1", "bunbury", 64000);
  hosts[0] = kit_host ("edge-east-1", "perth-east", true);
  hosts[1] = kit_host ("edge-north-1", "perth-north", true);
  hosts[2] = kit_host ("edge-bunbury-1", "bunbury", true);
  kit_start ();
  for (int round = 0; round < ROUNDS; round++)
    {
      const struct kit_host *first = hosts[round % 3];
      const struct kit_host *other = hosts[(round + 1) % 3];
      char id[17];
      struct kit_request *request;
      int64_t acknowledged_at;

      snprintf (id, sizeof id, "ae5d2f76ce90%04x", (unsigned int)round);
      request = kit_send (first, "POST", id, body, DEADLINE_MS);
      if (kit_wait_running (id, 1000) == NULL)
        kit_cannot_run ("the task was not started");
      kit_sleep_until (kit_now () + 100);
      if (kit_trouble ())
        {
          kit_record ("the connection from %s to %s goes silent", other->name,
                      first->name);
          kit_relay_silence (first->link_relay, other->name);
        }
      kit_sleep_until (kit_now () + 200);
      if (kit_wait (kit_send (other, "DELETE", id, NULL, DEADLINE_MS)) != 200)
        kit_cannot_run ("the cancellation was not acknowledged");
      acknowledged_at = kit_now ();
      kit_sleep_until (acknowledged_at + CANCEL_MS + STOP_MS + 20);
      if (kit_runs_at_work (id) > 0)
        kit_broken ("UNASKED %s: %d tasks run %d ms after the "
                    "acknowledgement of the cancellation",
                    id, kit_runs_at_work (id),
                    (int)(kit_now () - acknowledged_at));
      kit_wait (request);
      kit_sleep_until (kit_now () + 1000);
    }
  kit_end ();
}
