/**
 * @file proc.h
 * The procedures of the peer program: their XDR codecs and their sender.
 */
#ifndef SNIPE_PEER_PROC_H
#define SNIPE_PEER_PROC_H

#include <stdbool.h>
#include "peer/net.h"

/** Longest message record; a batch's results may hold 220 answers. */
#define SNIPE_PEER_RECORD_MAX (64 << 20)

/** Arguments and replies of all procedures begin at the union's address. */
union snipe_peer_args
{
  peer_load load;
  peer_forward forward;
  peer_answer answer;
  peer_batch run_batch;
  peer_results results;
};

struct snipe_peer_proc
{
  xdrproc_t args;
  xdrproc_t reply;
};

/** @return the codecs of @p procedure, NULL if there is no such one. */
const struct snipe_peer_proc *snipe_peer_proc_find (uint32_t procedure);
/** @return whether the refusal list has the name or the address of the host
 * that sent @p args; false for PEER_ANSWER, whose arguments carry neither. */
bool snipe_peer_proc_refused (uint32_t procedure,
                              const union snipe_peer_args *args);
/** Frees @p args member by member. xdr_free () stops at the first member that
 * exceeds its limit and leaks the rest. */
void snipe_peer_proc_free_args (uint32_t procedure,
                                union snipe_peer_args *args);

#endif
