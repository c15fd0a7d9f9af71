/* Runs that were lost with their endpoints: logged, and told to all hosts, as
 * a task may be started again by any owner, and its job may be submitted again
 * to any host. */
#include "node/private.h"

#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"

/* A host that missed a message gets those of this age with the next
 * connection; as for cancelled jobs. */
#define RESEND_AGE (10 * SNIPE_S)
/* Losses that wait for the next tick. One crash takes some eight runs. */
#define UNTOLD_MAX 2048U

struct untold_loss
{
  char task[SNIPE_TASK_NAME_BYTES];
  char endpoint[SNIPE_NAME_BYTES];
  int64_t started_ms;
  uint32_t run;
  enum snipe_loss_kind kind;
};

/** Losses that are being written to messages for one host, or for all. */
struct loss_writer
{
  struct snipe_node *node;
  const char *address; /**< NULL: all hosts */
  link_loss losses[LINK_LOSSES_MAX];
  u_int count;
  snipe_time now;
};

static void
flush (struct loss_writer *writer)
{
  struct snipe_link_message message
      = { .procedure = LINK_SEND_LOSSES,
          .args.losses = { .losses = { .losses_len = writer->count,
                                       .losses_val = writer->losses } } };

  if (writer->count == 0)
    return;
  if (writer->address == NULL)
    snipe_node_send_to_hosts (writer->node, &message, writer->now);
  else if (snipe_link_send (writer->node->link, writer->address, &message) < 0)
    snipe_node_log (writer->node,
                    "event=losses_unsent count=%u address=%s reason=\"%s\"",
                    writer->count, writer->address, snipe_status_last ());
  writer->count = 0;
}

static void
write_loss (void *ctx, const struct snipe_loss *loss)
{
  struct loss_writer *writer = ctx;

  writer->losses[writer->count++]
      = (link_loss){ .task = (char *)loss->task,
                     .run = loss->run,
                     .endpoint = (char *)loss->endpoint,
                     .started_ms = loss->started_ms,
                     .kind = (u_int)loss->kind };
  if (writer->count == LINK_LOSSES_MAX)
    flush (writer);
}

static void
on_changed (void *ctx, const struct snipe_loss *loss,
            const struct snipe_loss_count *count,
            enum snipe_loss_source source)
{
  static const char *const kinds[] = { [SNIPE_LOSS_UNANSWERED] = "unanswered",
                                       [SNIPE_LOSS_SILENT] = "silent",
                                       [SNIPE_LOSS_LIKELY] = "likely",
                                       [SNIPE_LOSS_REFUTED] = "refuted",
                                       [SNIPE_LOSS_CRASH] = "crash" };
  struct snipe_node *node = ctx;
  bool merged = source == SNIPE_LOSS_MERGED;
  struct untold_loss untold = { .started_ms = loss->started_ms,
                                .run = loss->run,
                                .kind = loss->kind };

  if (loss->kind == SNIPE_LOSS_CRASH && !merged)
    snipe_counter_add (SNIPE_C_RUNS_CRASHED, 1);
  if (loss->kind == SNIPE_LOSS_LIKELY || loss->kind == SNIPE_LOSS_CRASH)
    node->last_crash_at = node->last_tick;
  /* Each host would log what one host tells all others. */
  if (!merged || count->crashes > 1)
    snipe_node_log (node,
                    "event=run_lost task=%s run=%u endpoint=%s "
                    "born=%" G_GINT64_FORMAT
                    " kind=%s crashes=%u likely=%u silent=%u merged=%d",
                    loss->task, loss->run, loss->endpoint, loss->started_ms,
                    kinds[loss->kind], count->crashes, count->likely,
                    count->silent, (int)merged);
  /* What is not told now is told with the next connection. */
  if (source != SNIPE_LOSS_TELL || node->untold_losses->len >= UNTOLD_MAX)
    return;
  g_strlcpy (untold.task, loss->task, sizeof untold.task);
  g_strlcpy (untold.endpoint, loss->endpoint, sizeof untold.endpoint);
  g_array_append_val (node->untold_losses, untold);
}

int
snipe_node_losses_init (struct snipe_node *node)
{
  struct snipe_crash_table_options options = SNIPE_CRASH_TABLE_OPTIONS_INIT;

  options.ctx = node;
  options.changed = on_changed;
  node->untold_losses
      = g_array_new (FALSE, FALSE, sizeof (struct untold_loss));
  return snipe_crash_table_new (&node->crashes, &options);
}

void
snipe_node_losses_clear (struct snipe_node *node)
{
  snipe_crash_table_free (node->crashes);
  if (node->untold_losses != NULL)
    g_array_free (node->untold_losses, TRUE);
}

void
snipe_node_tell_losses (struct snipe_node *node, snipe_time now)
{
  struct loss_writer writer = { .node = node, .now = now };

  snipe_crash_table_expire (node->crashes, now);
  for (guint i = 0; i < node->untold_losses->len; i++)
    {
      const struct untold_loss *untold
          = &g_array_index (node->untold_losses, struct untold_loss, i);
      struct snipe_loss loss = { .task = untold->task,
                                 .run = untold->run,
                                 .endpoint = untold->endpoint,
                                 .started_ms = untold->started_ms,
                                 .kind = untold->kind };

      write_loss (&writer, &loss);
    }
  flush (&writer);
  g_array_set_size (node->untold_losses, 0);
}

void
snipe_node_resend_losses (struct snipe_node *node, const char *address,
                          snipe_time silence, snipe_time now)
{
  struct loss_writer writer = { .node = node, .address = address, .now = now };

  snipe_crash_table_each (node->crashes,
                          MIN (silence, SNIPE_LOSS_RETENTION) + RESEND_AGE,
                          write_loss, &writer, now);
  flush (&writer);
}

void
snipe_node_send_losses_of_job (struct snipe_node *node, const char *address,
                               const char *job, snipe_time now)
{
  struct loss_writer writer = { .node = node, .address = address, .now = now };

  snipe_crash_table_each_of_job (node->crashes, job, write_loss, &writer);
  flush (&writer);
}

void
snipe_node_tell_coordinator (struct snipe_node *node,
                             const struct snipe_pool_start_request *request)
{
  struct snipe_loss_count count
      = snipe_crash_table_count (node->crashes, request->task);
  const struct snipe_member *member;
  char job[SNIPE_TASK_NAME_BYTES];

  if (request->again || count.crashes + count.likely + count.silent == 0)
    return;
  member = snipe_members_find (node->members, request->coordinator);
  if (member == NULL)
    return;
  g_strlcpy (job, request->task, sizeof job);
  job[strcspn (job, ".")] = '\0';
  snipe_node_send_losses_of_job (node, member->address, job,
                                 request->decided_at);
}

void
snipe_node_on_losses (struct snipe_node *node, const link_losses *losses,
                      snipe_time now)
{
  for (u_int i = 0; i < losses->losses.losses_len; i++)
    {
      const link_loss *from = &losses->losses.losses_val[i];
      struct snipe_loss loss = { .task = from->task,
                                 .run = from->run,
                                 .endpoint = from->endpoint,
                                 .started_ms = from->started_ms,
                                 .kind = (enum snipe_loss_kind)from->kind };

      if (from->kind < SNIPE_LOSS_UNANSWERED || from->kind > SNIPE_LOSS_CRASH
          || strlen (from->task) >= SNIPE_TASK_NAME_BYTES
          || strlen (from->endpoint) >= SNIPE_NAME_BYTES)
        g_warning ("link: event=bad_loss task=%s kind=%u", from->task,
                   from->kind);
      else
        snipe_crash_table_merge (node->crashes, &loss, now);
    }
}

void
snipe_owned_pool_given_up (void *ctx,
                           const struct snipe_pool_given_up *given_up)
{
  const struct owned_pool *owned = ctx;

  snipe_counter_add (SNIPE_C_TASKS_GIVEN_UP, 1);
  snipe_node_log (owned->node,
                  "event=given_up task=%s batch=%" G_GUINT64_FORMAT
                  " coordinator=%016" G_GINT64_MODIFIER
                  "x crashes=%u likely=%u silent=%u",
                  given_up->task, given_up->batch, given_up->coordinator,
                  given_up->losses.crashes, given_up->losses.likely,
                  given_up->losses.silent);
}
