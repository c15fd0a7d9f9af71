#include "peer/proc.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "util/blocklist.h"

/* Replaces xdr_void (), which is declared without parameters, unlike the other
 * codecs. */
static bool_t
xdr_nothing (XDR *xdrs, void *value)
{
  (void)xdrs;
  (void)value;
  return TRUE;
}

static const struct snipe_peer_proc procs[] = {
  [NULLPROC] = { (xdrproc_t)xdr_nothing, (xdrproc_t)xdr_nothing },
  [PEER_HEARTBEAT] = { (xdrproc_t)xdr_peer_load, (xdrproc_t)xdr_peer_load },
  [PEER_FORWARD]
  = { (xdrproc_t)xdr_peer_forward, (xdrproc_t)xdr_peer_forward_reply },
  [PEER_ANSWER] = { (xdrproc_t)xdr_peer_answer, (xdrproc_t)xdr_nothing },
  [PEER_RUN_BATCH]
  = { (xdrproc_t)xdr_peer_batch, (xdrproc_t)xdr_peer_batch_reply },
  [PEER_RESULTS] = { (xdrproc_t)xdr_peer_results, (xdrproc_t)xdr_peer_load },
  [PEER_OFFER] = { (xdrproc_t)xdr_peer_load, (xdrproc_t)xdr_peer_load },
  [PEER_GET_RULES] = { (xdrproc_t)xdr_peer_load, (xdrproc_t)xdr_peer_rules },
};

const struct snipe_peer_proc *
snipe_peer_proc_find (uint32_t procedure)
{
  if (procedure >= sizeof procs / sizeof procs[0]
      || procs[procedure].args == NULL)
    return NULL;
  return &procs[procedure];
}

static const peer_load *
find_sender (uint32_t procedure, const union snipe_peer_args *args)
{
  switch (procedure)
    {
    case PEER_HEARTBEAT:
    case PEER_OFFER:
    case PEER_GET_RULES:
      return &args->load;
    case PEER_FORWARD:
      return &args->forward.from;
    case PEER_RUN_BATCH:
      return &args->run_batch.from;
    case PEER_RESULTS:
      return &args->results.from;
    default:
      return NULL;
    }
}

bool
snipe_peer_proc_sender_blocked (uint32_t procedure,
                                const union snipe_peer_args *args)
{
  const peer_load *from = find_sender (procedure, args);

  return from != NULL
         && (snipe_blocklist_contains (from->name)
             || snipe_blocklist_contains (from->address));
}

static void
free_load (peer_load *load)
{
  for (u_int i = 0;
       load->domains.domains_val != NULL && i < load->domains.domains_len; i++)
    free (load->domains.domains_val[i]);
  free (load->domains.domains_val);
  free (load->address);
  free (load->domain);
  free (load->name);
}

static void
free_batch (peer_batch *batch)
{
  free_load (&batch->from);
  free (batch->job);
  free (batch->team);
  for (u_int i = 0;
       batch->tasks.tasks_val != NULL && i < batch->tasks.tasks_len; i++)
    {
      free (batch->tasks.tasks_val[i].kind);
      free (batch->tasks.tasks_val[i].payload.payload_val);
    }
  free (batch->tasks.tasks_val);
}

static void
free_results (peer_results *results)
{
  free_load (&results->from);
  for (u_int i = 0; results->results.results_val != NULL
                    && i < results->results.results_len;
       i++)
    free (results->results.results_val[i].result.result_val);
  free (results->results.results_val);
}

void
snipe_peer_proc_free_args (uint32_t procedure, union snipe_peer_args *args)
{
  switch (procedure)
    {
    case PEER_HEARTBEAT:
    case PEER_OFFER:
    case PEER_GET_RULES:
      free_load (&args->load);
      break;
    case PEER_FORWARD:
      free_load (&args->forward.from);
      free (args->forward.id);
      free (args->forward.body.body_val);
      break;
    case PEER_ANSWER:
      free (args->answer.body.body_val);
      break;
    case PEER_RUN_BATCH:
      free_batch (&args->run_batch);
      break;
    case PEER_RESULTS:
      free_results (&args->results);
      break;
    default:
      break;
    }
  memset (args, 0, sizeof *args);
}
