#include "util/intake.h"

/* A host of 120 MB, the smallest in use, serves as many connections. */
#define CONNECTIONS_MAX 1500U
#define CONNECTIONS_MIN 16U
/* The rest is for the host itself, for the decoded form of one job at a time
 * and for jobs passed by other hosts. */
#define CONNECTIONS_MEMORY_SHARE 2U
#define BODIES_MEMORY_SHARE 8U
/* Descriptors that the system keeps for files. */
#define FILE_FDS 200U
/* The other descriptors are for endpoints, the store and other hosts. */
#define CONNECTIONS_FDS_SHARE 2U
#define BYTES_PER_MB 1000000U

void
snipe_intake_init (struct snipe_intake *intake, uint64_t memory_mb,
                   uint64_t max_fds)
{
  uint64_t memory = memory_mb * BYTES_PER_MB;
  uint64_t by_memory
      = memory / CONNECTIONS_MEMORY_SHARE
        / (SNIPE_INTAKE_CONNECTION_BYTES + SNIPE_INTAKE_OWN_BYTES);
  uint64_t by_fds
      = (max_fds > FILE_FDS ? max_fds - FILE_FDS : 0) / CONNECTIONS_FDS_SHARE;

  *intake = (struct snipe_intake){
    .connections_max = (uint32_t)CLAMP (MIN (by_memory, by_fds),
                                        CONNECTIONS_MIN, CONNECTIONS_MAX),
    .shared_max = memory / BODIES_MEMORY_SHARE,
    .idle = G_QUEUE_INIT,
  };
}

static void
dequeue (struct snipe_intake *intake, struct snipe_intake_client *client)
{
  if (client->queued)
    g_queue_unlink (&intake->idle, &client->link);
  client->queued = false;
}

static void
enqueue (struct snipe_intake *intake, struct snipe_intake_client *client,
         snipe_time now)
{
  dequeue (intake, client);
  client->since = now;
  if (client->closing)
    return;
  client->queued = true;
  g_queue_push_tail_link (&intake->idle, &client->link);
}

/* The connection still exists until its server has closed it. */
static struct snipe_intake_client *
begin_close (struct snipe_intake *intake, struct snipe_intake_client *client)
{
  dequeue (intake, client);
  client->closing = true;
  intake->connections--;
  return client;
}

struct snipe_intake_client *
snipe_intake_connect (struct snipe_intake *intake,
                      struct snipe_intake_client *client, snipe_time now)
{
  *client = (struct snipe_intake_client){ .link.data = client };
  enqueue (intake, client, now);
  intake->connections++;
  if (intake->connections <= intake->connections_max)
    return NULL;
  return begin_close (intake, intake->idle.head->data);
}

void
snipe_intake_disconnect (struct snipe_intake *intake,
                         struct snipe_intake_client *client)
{
  dequeue (intake, client);
  snipe_intake_release (intake, client);
  if (!client->closing)
    intake->connections--;
}

void
snipe_intake_begin_work (struct snipe_intake *intake,
                         struct snipe_intake_client *client)
{
  dequeue (intake, client);
}

void
snipe_intake_end_work (struct snipe_intake *intake,
                       struct snipe_intake_client *client, snipe_time now)
{
  enqueue (intake, client, now);
}

enum snipe_intake_verdict
snipe_intake_reserve (struct snipe_intake *intake,
                      struct snipe_intake_client *client, size_t size,
                      size_t body_max)
{
  size_t wanted
      = size > SNIPE_INTAKE_OWN_BYTES ? size - SNIPE_INTAKE_OWN_BYTES : 0;

  /* A body that was accepted stays so when the limit becomes lower. */
  if (wanted > 0 && wanted <= client->reserved)
    return SNIPE_INTAKE_TAKE;
  if (size > body_max)
    return SNIPE_INTAKE_TOO_LARGE;
  if (wanted == 0)
    return SNIPE_INTAKE_TAKE;
  if (wanted - client->reserved > intake->shared_max - intake->shared)
    return SNIPE_INTAKE_FULL;
  intake->shared += wanted - client->reserved;
  client->reserved = wanted;
  return SNIPE_INTAKE_TAKE;
}

void
snipe_intake_release (struct snipe_intake *intake,
                      struct snipe_intake_client *client)
{
  intake->shared -= client->reserved;
  client->reserved = 0;
}

struct snipe_intake_client *
snipe_intake_take_slow (struct snipe_intake *intake, snipe_time time_max,
                        snipe_time now)
{
  for (GList *link = intake->idle.head; link != NULL; link = link->next)
    {
      struct snipe_intake_client *client = link->data;

      if (now - client->since <= time_max)
        return NULL;
      if (client->reserved > 0)
        return begin_close (intake, client);
    }
  return NULL;
}
