/* The store turns away the only host of a zone, which owns the zone's pool. A
 * worker of the zone reports a smaller capacity, which the store and all other
 * hosts know. The host goes on starting tasks up to the earlier capacity. */
#include <glib.h>
#include <stdio.h>

#include "../stand/stand.h"

#define JOBS 70
#define TASKS 2
#define TASK_CPU 14000
#define TASK_MS 200
#define PAUSE_MS 150
#define AWAY_MS 1000
#define SHRINK_MS 1500
#define SHRUNK_SHARE 0.25
/* The site's stores turn machines away for up to 9 s. */
#define BACK_MS 10000

int
main (int argc, char **argv)
{
  struct stand_options options = { .program = argc > 2 ? argv[1] : "",
                                   .folder = argc > 2 ? argv[2] : "",
                                   .workers_per_zone = 1,
                                   .slo_ms = 60,
                                   .store_proxy = true };
  struct stand_request *requests[JOBS];
  char *body = stand_job (TASKS, TASK_CPU, TASK_MS, "");
  bool away = false;
  bool shrunk = false;
  bool back = false;
  int64_t from;
  int over;

  if (argc < 3 || !stand_start (&options))
    {
      stand_end ();
      return STAND_NOT_RUN;
    }
  from = stand_ms ();
  for (int i = 0; i < JOBS; i++)
    {
      int64_t at = (int64_t)i * PAUSE_MS;
      char *job = g_strdup_printf ("8a%014x", i + 1);

      stand_sleep_until (from + at);
      if (!away && at >= AWAY_MS && stand_wants_trouble ())
        stand_store_turn_away (away = true);
      if (!shrunk && at >= SHRINK_MS)
        {
          shrunk = true;
          stand_worker_resize ("enna", SHRUNK_SHARE);
        }
      if (away && !back && at >= BACK_MS)
        {
          back = true;
          stand_store_turn_away (false);
        }
      requests[i] = stand_send (STAND_ENNA_1, "POST", job, body, 1500);
      g_free (job);
    }
  for (int i = 0; i < JOBS; i++)
    stand_wait (requests[i]);
  over = stand_starts_over_capacity ();
  stand_record ("result   %d starts brought a worker over its capacity", over);
  printf ("%d starts brought a worker over its capacity\n", over);
  stand_end ();
  g_free (body);
  return over > 0 ? STAND_RULE_BROKEN : STAND_RULE_HELD;
}
