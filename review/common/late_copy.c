/* A copy of a job's request arrives seconds after the job was cancelled and
 * its request answered. */
#include "kit.h"

#include <stdio.h>
#include <string.h>

#define ROUNDS 5
#define DEADLINE_MS 1500
#define CANCEL_MS 3000 /* bound of the rule */
#define COPY_DELAY_MS 3500
#define WORK_MS 900

int
main (int argc, char **argv)
{
  char *body = kit_job_body (2, 27000, WORK_MS, WORK_MS);
  struct kit_host *hosts[3];

  if (argc != 2)
    return 2;
  kit_begin (argv[1]);
  kit_worker ("w-east-1", "perth-east", 64000);
  kit_worker ("w-north-1", "perth-north", 64000);
  kit_worker ("w-bunbury-1", "bunbury", 64000);
  hosts[0] = kit_host ("edge-east-1", "perth-east", false);
  hosts[1] = kit_host ("edge-north-1", "perth-north", false);
  hosts[2] = kit_host ("edge-bunbury-1", "bunbury", false);
  kit_start ();
  for (int round = 0; round < ROUNDS; round++)
    {
      char id[17];
      struct kit_request *request;
      struct kit_request *cancel;
      int64_t acknowledged_at;
      int64_t started_at;

      snprintf (id, sizeof id, "7d1f8b32ea5c%04x", round);
      request = kit_send (hosts[round % 3], "POST", id, body, DEADLINE_MS);
      if (kit_wait_running (id, 1000) == NULL)
        kit_cannot_run ("the task was not started");
      kit_sleep_until (kit_now () + 200);
      cancel = kit_send (hosts[round % 3], "DELETE", id, NULL, DEADLINE_MS);
      if (kit_wait (cancel) != 200)
        kit_cannot_run ("the cancellation was not acknowledged");
      acknowledged_at = kit_now ();
      if (kit_wait (request) != 200)
        kit_cannot_run ("the job was not answered");
      kit_sleep_until (acknowledged_at + COPY_DELAY_MS);
      if (kit_trouble ())
        {
          kit_record ("a late copy of the request arrives");
          kit_wait (kit_send (hosts[(round + 1) % 3], "POST", id, body,
                              DEADLINE_MS));
        }
      kit_sleep_until (kit_now () + 500);
      started_at = kit_last_start (id);
      if (started_at > acknowledged_at + CANCEL_MS)
        kit_broken ("UNASKED %s: started %d ms after the acknowledgement of "
                    "its cancellation",
                    id, (int)(started_at - acknowledged_at));
    }
  kit_end ();
}
