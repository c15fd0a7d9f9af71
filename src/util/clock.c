#include "snipe/clock.h"

#include <time.h>

snipe_time
snipe_clock_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (snipe_time)ts.tv_sec * SNIPE_S + ts.tv_nsec / 1000;
}

int64_t
snipe_clock_wall_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}
