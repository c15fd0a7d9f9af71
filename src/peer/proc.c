#include "peer/proc.h"

#include <stddef.h>

/* xdr_void () is declared without parameters, unlike other codecs. */
static bool_t
xdr_nothing (XDR *xdrs, void *value)
{
  (void)xdrs;
  (void)value;
  return TRUE;
}

static const struct snipe_peer_proc procs[] = {
  [NULLPROC] = { (xdrproc_t)xdr_nothing, (xdrproc_t)xdr_nothing },
  [PEER_HELLO] = { (xdrproc_t)xdr_peer_load, (xdrproc_t)xdr_peer_load },
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

const char *
snipe_peer_proc_from (uint32_t procedure, const union snipe_peer_args *args)
{
  switch (procedure)
    {
    case PEER_HELLO:
    case PEER_OFFER:
    case PEER_GET_RULES:
      return args->load.name;
    case PEER_FORWARD:
      return args->forward.from.name;
    case PEER_RUN_BATCH:
      return args->run_batch.from.name;
    case PEER_RESULTS:
      return args->results.from.name;
    default:
      return NULL;
    }
}
