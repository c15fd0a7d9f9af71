/* Held batches: grants and commits between this host and the others. */
#include "node/private.h"

#include "snipe/counter.h"
#include "snipe/status.h"

static struct snipe_link_message
encode (uint32_t procedure, uint64_t coordinator, uint64_t number)
{
  return (struct snipe_link_message){
    .procedure = procedure,
    .args.batch_id = { .coordinator = coordinator, .number = number }
  };
}

static void
queue_id (struct snipe_node *node, int kind, uint64_t number)
{
  struct local_message *message = g_new0 (struct local_message, 1);

  message->kind = kind;
  message->u.id.coordinator = node->incarnation;
  message->u.id.number = number;
  g_queue_push_tail (&node->local_queue, message);
}

/* A grant that is lost is repeated when its connection is replaced and the
 * batch arrives again; without one, its room is given up. */
void
snipe_owned_pool_granted (void *ctx, uint64_t coordinator, uint64_t number)
{
  struct owned_pool *owned = ctx;
  struct snipe_node *node = owned->node;
  struct snipe_link_message message
      = encode (LINK_SEND_GRANT, coordinator, number);

  if (coordinator == node->incarnation)
    queue_id (node, LOCAL_GRANT, number);
  else if (snipe_node_send_to (node, coordinator, &message) < 0)
    snipe_node_log (node,
                    "event=grant_unsent batch=%" G_GUINT64_FORMAT
                    " coordinator=%016" G_GINT64_MODIFIER "x reason=\"%s\"",
                    number, coordinator, snipe_status_last ());
}

void
snipe_node_on_grant (struct snipe_node *node, uint64_t from,
                     const link_batch_id *id, snipe_time now)
{
  if (id->coordinator == node->incarnation)
    snipe_coordinator_handle_grant (node->coordinator, from, id->number, now);
}

int
snipe_node_send_commit (void *ctx, uint64_t owner, uint64_t number)
{
  struct snipe_node *node = ctx;
  struct snipe_link_message message
      = encode (LINK_SEND_COMMIT, node->incarnation, number);
  int status = SNIPE_OK;

  if (owner == node->incarnation)
    queue_id (node, LOCAL_COMMIT, number);
  else
    status = snipe_node_send_to (node, owner, &message);
  snipe_node_log (node,
                  "event=commit batch=%" G_GUINT64_FORMAT
                  " owner=%016" G_GINT64_MODIFIER "x sent=%d reason=\"%s\"",
                  number, owner, (int)(status == SNIPE_OK),
                  status == SNIPE_OK ? "" : snipe_status_last ());
  return status;
}

void
snipe_node_commit_batch (struct snipe_node *node, uint64_t coordinator,
                         uint64_t number, snipe_time now)
{
  for (guint i = 0; i < node->owned_pools->len; i++)
    {
      struct owned_pool *owned = g_ptr_array_index (node->owned_pools, i);

      if (snipe_pool_commit (owned->pool, coordinator, number, now))
        {
          snipe_counter_add (SNIPE_C_HOLDS_COMMITTED, 1);
          return;
        }
    }
  snipe_node_log (node,
                  "event=commit_unknown batch=%" G_GUINT64_FORMAT
                  " coordinator=%016" G_GINT64_MODIFIER "x",
                  number, coordinator);
}
