/* The callers' times are spread evenly over the horizon: the queueing delay of
 * the pools, and the time in which they serve the jobs that come back.
 *
 * Of the jobs that other hosts have rejected a host knows nothing. All hosts
 * share the pools, so each host's part of them is the rate at which its own
 * jobs were served lately, and the horizon needs no knowledge of the number of
 * hosts. */
#include "coordinator/retry_after.h"

#include <math.h>

/* Time constant with which what was served is forgotten. Shorter than a burst
 * of some seconds, and as long as several of the longest tasks. */
#define SERVED_WINDOW (4 * SNIPE_S)
/* Part of the rate at which this host was served that callers who come back
 * find free: the rest goes to new jobs, as in a fleet that is loaded to three
 * quarters. With 0.5 or 1 fewer of them are served, at four fifths as well as
 * at half of the capacity (tests/coordinator/test_retry_after.c). */
#define RETURNING_SHARE 0.25
/* A host that was served little lately is taken to get at least this part of
 * the mean capacity of a pool. */
#define SERVED_SHARE_MIN 0.125

static double
decayed_served (const struct snipe_retry_book *book, snipe_time now)
{
  return book->served
         * exp (-(double)(now - book->served_at) / (double)SERVED_WINDOW);
}

/* Clears the seconds that have passed. */
static void
advance_to (struct snipe_retry_book *book, int64_t second)
{
  const int64_t size = G_N_ELEMENTS (book->returning);

  book->second = MAX (book->second, second - size);
  for (; book->second < second; book->second++)
    book->returning[book->second % size] = 0;
}

static double
sum_returning (const struct snipe_retry_book *book)
{
  double sum = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (book->returning); i++)
    sum += book->returning[i];
  return sum;
}

/* The time in which the pools serve what waits and what comes back, in whole
 * seconds. */
static uint32_t
horizon_of (const struct snipe_retry_room *room, double returning,
            double served)
{
  double total = (double)room->total_cpu;
  double rate = MAX (served * SNIPE_MS / SERVED_WINDOW,
                     SERVED_SHARE_MIN * total / MAX (room->pools, 1));
  double seconds;

  if (room->total_cpu <= 0)
    return 1;
  seconds
      = ((double)room->backlog / total + returning / (RETURNING_SHARE * rate))
        * SNIPE_MS / SNIPE_S;
  return (uint32_t)CLAMP (ceil (seconds), 1, SNIPE_RETRY_SECONDS_MAX);
}

/* The same for the same job and second. A job that is rejected again gets
 * another part of the range than before. */
static uint32_t
hash_of (const char *job, int64_t second)
{
  uint32_t hash = 2166136261U; /* FNV-1a */

  for (const char *at = job; *at != '\0'; at++)
    hash = (hash ^ (uint8_t)*at) * 16777619U;
  hash = (hash ^ (uint32_t)second) * 16777619U;
  /* The low bits of FNV-1a depend on the low bits of the input only. */
  hash = (hash ^ (hash >> 16)) * 0x85ebca6bU;
  hash = (hash ^ (hash >> 13)) * 0xc2b2ae35U;
  return hash ^ (hash >> 16);
}

void
snipe_retry_book_add_served (struct snipe_retry_book *book, double work,
                             snipe_time now)
{
  book->served = decayed_served (book, now) + work;
  book->served_at = now;
}

void
snipe_retry_book_choose (struct snipe_retry_choice *out,
                         struct snipe_retry_book *book,
                         const struct snipe_retry_room *room, const char *job,
                         double work, snipe_time now)
{
  const int64_t size = G_N_ELEMENTS (book->returning);
  int64_t second = now / SNIPE_S;
  double served = decayed_served (book, now);
  double returning;

  advance_to (book, second);
  returning = sum_returning (book);
  out->horizon = horizon_of (room, returning + work, served);
  out->seconds = 1 + hash_of (job, second) % out->horizon;
  out->returning = (int64_t)returning;
  out->served = (int64_t)served;
  book->returning[(second + out->seconds) % size] += work;
}
