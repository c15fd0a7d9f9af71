/**
 * @file proc.h
 * The procedures of the peer RPC program: the XDR codecs of their messages,
 * and access to the sending host in their arguments.
 */
#ifndef SNIPE_PEER_PROC_H
#define SNIPE_PEER_PROC_H

#include <stdbool.h>
#include "peer/net.h"

/** Maximum length of an RPC record in bytes; the results of one batch may
 * contain 220 answers. */
#define SNIPE_PEER_RECORD_MAX (64 << 20)

/** Arguments of a call; the procedure selects the member. All members start at
 * the union's address, which is what the codecs get. */
union snipe_peer_args
{
  peer_load load;
  peer_forward forward;
  peer_answer answer;
  peer_batch run_batch;
  peer_results results;
};

/** XDR codecs of a procedure. */
struct snipe_peer_proc
{
  xdrproc_t args;
  xdrproc_t reply;
};

/** @return the codecs of @p procedure, NULL if it does not exist. */
const struct snipe_peer_proc *snipe_peer_proc_find (uint32_t procedure);
/** @return whether the blocklist contains the name or the address of the
 * host that sent @p args; false for PEER_ANSWER, whose arguments contain
 * neither. */
bool snipe_peer_proc_sender_blocked (uint32_t procedure,
                                     const union snipe_peer_args *args);
/** Frees @p args member by member. xdr_free () is not used, because it stops
 * at the first member that exceeds its limit and leaks the rest. */
void snipe_peer_proc_free_args (uint32_t procedure,
                                union snipe_peer_args *args);

#endif
