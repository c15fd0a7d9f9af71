#include "node/reading.h"

/* An endpoint that leaves has to be noticed within two seconds by the owner of
 * its pool. */
#define INTERVAL (1000 * SNIPE_MS)
/* A host that is told reads by itself when the next news are overdue. With the
 * age of what it was told last, this stays within the two seconds. */
#define NEWS_PATIENCE (1300 * SNIPE_MS)
#define NEWS_AGE_MAX (300 * SNIPE_MS)
/* A host that owns no pool reads the list anew when it claims one, and until
 * then only needs to know what endpoints there are. */
#define IDLE_INTERVAL (8000 * SNIPE_MS)

enum snipe_reading_source
snipe_reading_source (const struct snipe_reading *reading, snipe_time now)
{
  if (reading->first)
    return SNIPE_READING_FIRST;
  return reading->known && reading->heard > 0
                 && now - reading->heard < NEWS_PATIENCE
             ? SNIPE_READING_TOLD
             : SNIPE_READING_ALONE;
}

snipe_time
snipe_reading_due (const struct snipe_reading *reading, snipe_time asked)
{
  snipe_time due = asked + INTERVAL;

  if (!reading->known || reading->first)
    return due;
  if (!reading->owner)
    due = asked + IDLE_INTERVAL;
  if (reading->heard > 0 && reading->heard + NEWS_PATIENCE > due)
    due = reading->heard + NEWS_PATIENCE;
  return due;
}

bool
snipe_reading_is_news (snipe_time asked, snipe_time delay, snipe_time now)
{
  return now - asked <= NEWS_AGE_MAX && delay <= NEWS_AGE_MAX;
}
