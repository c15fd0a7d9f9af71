/* Encoding and decoding of messages between hosts as ONC RPC calls. */
#include "link/link.h"

#include <stdlib.h>

#include "snipe/status.h"

static xdrproc_t
message_codec (uint32_t procedure)
{
  switch (procedure)
    {
    case LINK_SEND_HEARTBEAT:
      return (xdrproc_t)xdr_link_heartbeat;
    case LINK_SEND_LOAD:
      return (xdrproc_t)xdr_link_load;
    case LINK_SEND_BATCH:
    case LINK_SEND_HELD_BATCH:
      return (xdrproc_t)xdr_link_batch;
    case LINK_SEND_RESULT:
      return (xdrproc_t)xdr_link_result;
    case LINK_SEND_CANCEL:
      return (xdrproc_t)xdr_link_cancel;
    case LINK_SEND_CANCEL_JOB:
      return (xdrproc_t)xdr_link_cancel_job;
    case LINK_SEND_CONFIG_REQUEST:
      return (xdrproc_t)xdr_link_config_request;
    case LINK_SEND_CONFIG:
      return (xdrproc_t)xdr_link_config;
    case LINK_SEND_DRAIN:
      return (xdrproc_t)xdr_link_drain;
    case LINK_SEND_ENDPOINT_CHANGES:
      return (xdrproc_t)xdr_link_endpoint_changes;
    case LINK_SEND_LOSSES:
      return (xdrproc_t)xdr_link_losses;
    case LINK_SEND_LIST_REQUEST:
      return (xdrproc_t)xdr_link_list_request;
    case LINK_SEND_LIST:
      return (xdrproc_t)xdr_link_list;
    case LINK_SEND_EVACUATION:
      return (xdrproc_t)xdr_link_evacuation;
    case LINK_SEND_WAITING:
      return (xdrproc_t)xdr_link_waiting;
    case LINK_SEND_GRANT:
    case LINK_SEND_COMMIT:
      return (xdrproc_t)xdr_link_batch_id;
    default:
      return NULL;
    }
}

int
snipe_link_encode (struct snipe_str *out,
                   const struct snipe_link_message *message)
{
  struct rpc_msg header = { .rm_direction = CALL };
  xdrproc_t body = message_codec (message->procedure);
  unsigned long len;
  char *data;
  bool encoded;
  XDR xdrs;

  header.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  header.rm_call.cb_prog = SNIPE_LINK;
  header.rm_call.cb_vers = SNIPE_LINK_V1;
  header.rm_call.cb_proc = message->procedure;
  header.rm_call.cb_cred = _null_auth;
  header.rm_call.cb_verf = _null_auth;
  len = xdr_sizeof (body, (void *)&message->args);
  if (len == 0)
    return snipe_status_set (SNIPE_E_TOO_LARGE,
                             "message %u exceeds a size limit of the protocol",
                             message->procedure);
  len += xdr_sizeof ((xdrproc_t)xdr_callmsg, &header);
  data = malloc (len);
  if (data == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for encoding a message");
  xdrmem_create (&xdrs, data, (u_int)len, XDR_ENCODE);
  encoded
      = xdr_callmsg (&xdrs, &header) && body (&xdrs, (void *)&message->args);
  xdr_destroy (&xdrs);
  snipe_str_take (out, data, len);
  return encoded ? SNIPE_OK : SNIPE_E_INTERNAL;
}

int
snipe_link_decode (struct snipe_link_message *out, const char *data,
                   size_t len)
{
  struct rpc_msg header = { 0 };
  char verifier[2 * MAX_AUTH_BYTES];
  int status = SNIPE_E_INVALID;
  xdrproc_t decode;
  XDR xdrs;

  *out = (struct snipe_link_message){ 0 };
  header.rm_call.cb_cred.oa_base = verifier;
  header.rm_call.cb_verf.oa_base = verifier + MAX_AUTH_BYTES;
  xdrmem_create (&xdrs, (char *)data, (u_int)len, XDR_DECODE);
  if (xdr_callmsg (&xdrs, &header) && header.rm_call.cb_prog == SNIPE_LINK
      && header.rm_call.cb_vers == SNIPE_LINK_V1)
    {
      out->procedure = (uint32_t)header.rm_call.cb_proc;
      decode = message_codec (out->procedure);
      if (decode != NULL && decode (&xdrs, &out->args))
        status = SNIPE_OK;
      else if (decode != NULL)
        xdr_free (decode, (char *)&out->args);
    }
  xdr_destroy (&xdrs);
  return status;
}

void
snipe_link_message_clear (struct snipe_link_message *message)
{
  xdr_free (message_codec (message->procedure), (char *)&message->args);
}
