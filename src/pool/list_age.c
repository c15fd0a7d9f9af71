#include "snipe/list_age.h"

#include <glib.h>

/* With a store that answers within its timeout of 1.5 s, the list is at most
 * 3 s old. A start that is decided then and sent within 0.5 s is on time for a
 * capacity that shrank 4.5 s before. */
#define LIST_AGE_MAX (3000 * SNIPE_MS)
/* An owner reads the list or is told of its changes each second. */
#define REQUEST_AGE (1500 * SNIPE_MS)
#define REQUEST_INTERVAL (300 * SNIPE_MS)
/* A list that is newer by less is not worth a request. */
#define NEWER_MIN (200 * SNIPE_MS)
/* The source may be slow or lost, and the pool has to serve. */
#define WAIT_MAX (1500 * SNIPE_MS)
/* A source that is back sooner did not deliver the list before: it is not
 * waited for again. A store may serve some calls and reject others. */
#define BREAK_MIN (3000 * SNIPE_MS)

void
snipe_list_age_read (struct snipe_list_age *list, snipe_time read_at)
{
  list->read_at = MAX (list->read_at, read_at);
}

bool
snipe_list_age_is_recent (const struct snipe_list_age *list, snipe_time now)
{
  return now - list->read_at <= REQUEST_AGE;
}

bool
snipe_list_age_is_old (const struct snipe_list_age *list, snipe_time now)
{
  return now - list->read_at > LIST_AGE_MAX;
}

static bool
is_newer (const struct snipe_list_age *list, snipe_time peer_read_at)
{
  return peer_read_at > list->read_at + NEWER_MIN;
}

void
snipe_list_age_update (struct snipe_list_age *list, bool source,
                       snipe_time peer_read_at, snipe_time now)
{
  bool obtainable = source || is_newer (list, peer_read_at);

  if (obtainable == list->obtainable)
    return;
  if (obtainable && now - list->changed_at >= BREAK_MIN)
    list->obtainable_since = now;
  list->obtainable = obtainable;
  list->changed_at = now;
}

bool
snipe_list_age_request_due (const struct snipe_list_age *list,
                            snipe_time peer_read_at, snipe_time now)
{
  return is_newer (list, peer_read_at)
         && now - list->requested_at >= REQUEST_INTERVAL;
}

void
snipe_list_age_requested (struct snipe_list_age *list, snipe_time now)
{
  list->requested_at = now;
}

bool
snipe_list_age_is_awaited (const struct snipe_list_age *list,
                           snipe_time needed_since, snipe_time now)
{
  return list->obtainable && snipe_list_age_is_old (list, now)
         && now < MAX (list->obtainable_since, needed_since) + WAIT_MAX;
}
