#include "util/blocklist.h"

#include <ck_pr.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "snipe/status.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char **list;
static uint32_t list_count;

int
snipe_blocklist_set (const char *const *entries, uint32_t count)
{
  char **copy = calloc (count + 1, sizeof *copy);
  char **old;
  uint32_t old_count;

  if (copy == NULL)
    return snipe_status_set (SNIPE_E_NOMEM, "out of memory for the blocklist");
  for (uint32_t i = 0; i < count; i++)
    copy[i] = strdup (entries[i]);
  pthread_mutex_lock (&lock);
  old = list;
  old_count = list_count;
  list = copy;
  ck_pr_store_32 (&list_count, count);
  pthread_mutex_unlock (&lock);
  for (uint32_t i = 0; i < old_count; i++)
    free (old[i]);
  free (old);
  return SNIPE_OK;
}

bool
snipe_blocklist_contains (const char *entry)
{
  bool found = false;

  if (ck_pr_load_32 (&list_count) == 0 || entry == NULL)
    return false;
  pthread_mutex_lock (&lock);
  for (uint32_t i = 0; i < list_count && !found; i++)
    found = list[i] != NULL && strcmp (list[i], entry) == 0;
  pthread_mutex_unlock (&lock);
  return found;
}
