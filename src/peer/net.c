#include "peer/net.h"

#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "peer/proc.h"
#include "peer/sender.h"
#include "peer/server.h"
#include "snipe/status.h"
#include "util/address.h"

struct snipe_peer_net
{
  struct snipe_peer_server *server;
  struct snipe_peer_sender **senders;
  uint32_t sender_count;
  pthread_mutex_t lock; /* protects peers and next_sender */
  GHashTable *peers;    /* struct snipe_peer by address */
  uint32_t next_sender;
};

static void
free_peer (void *data)
{
  struct snipe_peer *peer = data;

  free (peer->address_text);
  free (peer);
}

int
snipe_peer_net_new (struct snipe_peer_net **out,
                    const struct snipe_peer_net_options *options)
{
  struct snipe_peer_net *net = NULL;
  int status = SNIPE_OK;

  if (options->version != SNIPE_PEER_NET_OPTIONS_VERSION
      || options->sender_threads == 0 || options->handlers == NULL
      || options->listen == NULL)
    return snipe_status_set (SNIPE_E_INVALID,
                             "invalid options for the peer network");
  /* libtirpc sends with write (), which raises SIGPIPE if the peer has closed
   * the connection. */
  (void)signal (SIGPIPE, SIG_IGN);
  net = calloc (1, sizeof *net);
  if (net == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for the peer network");
  pthread_mutex_init (&net->lock, NULL);
  net->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_peer);
  net->senders = calloc (options->sender_threads, sizeof *net->senders);
  if (net->senders == NULL)
    {
      status = snipe_status_set (SNIPE_E_NOMEM,
                                 "out of memory for the peer senders");
      goto on_error;
    }
  for (uint32_t i = 0; i < options->sender_threads; i++)
    {
      status
          = snipe_peer_sender_new (&net->senders[i], options->connect_timeout);
      if (status < 0)
        goto on_error;
      net->sender_count++;
    }
  status = snipe_peer_server_new (&net->server, options->listen,
                                  options->handlers, options->ctx);
  if (status < 0)
    goto on_error;
  *out = net;
  return SNIPE_OK;

on_error:
  snipe_peer_net_free (net);
  return status;
}

void
snipe_peer_net_free (struct snipe_peer_net *net)
{
  if (net == NULL)
    return;
  /* Stop the server first: its handlers may queue calls. */
  snipe_peer_server_free (net->server);
  /* Stop all senders before freeing any: the completion callback of a call
   * may queue a call to a peer of another sender. */
  for (uint32_t i = 0; net->senders != NULL && i < net->sender_count; i++)
    snipe_peer_sender_stop (net->senders[i]);
  for (uint32_t i = 0; net->senders != NULL && i < net->sender_count; i++)
    snipe_peer_sender_free (net->senders[i]);
  free (net->senders);
  g_hash_table_destroy (net->peers);
  pthread_mutex_destroy (&net->lock);
  free (net);
}

uint16_t
snipe_peer_net_port (const struct snipe_peer_net *net)
{
  return snipe_peer_server_port (net->server);
}

static struct snipe_peer *
new_peer (const char *address)
{
  struct snipe_peer *peer = calloc (1, sizeof *peer);

  if (peer == NULL)
    return NULL;
  peer->fd = -1;
  peer->address_text = strdup (address);
  if (peer->address_text == NULL
      || snipe_address_parse (&peer->address, address) < 0)
    {
      free_peer (peer);
      return NULL;
    }
  return peer;
}

/* Finds or creates the peer at @p address. New peers are assigned to the
 * senders in rotation. With a hash, two peers could share a thread while
 * another thread has none, and an unresponsive peer would delay the other. */
static struct snipe_peer *
find_peer (struct snipe_peer_net *net, const char *address)
{
  struct snipe_peer *peer;

  pthread_mutex_lock (&net->lock);
  peer = g_hash_table_lookup (net->peers, address);
  if (peer == NULL)
    {
      peer = new_peer (address);
      if (peer != NULL
          && snipe_peer_sender_assign (net->senders[net->next_sender], peer)
                 < 0)
        {
          free_peer (peer);
          peer = NULL;
        }
      if (peer != NULL)
        {
          net->next_sender = (net->next_sender + 1) % net->sender_count;
          g_hash_table_insert (net->peers, peer->address_text, peer);
        }
    }
  pthread_mutex_unlock (&net->lock);
  return peer;
}

int
snipe_peer_net_call (struct snipe_peer_net *net, const char *address,
                     struct snipe_peer_call *call, snipe_time timeout,
                     snipe_peer_done done, void *ctx)
{
  const struct snipe_peer_proc *proc = snipe_peer_proc_find (call->procedure);
  struct snipe_peer_sender_call *queued = NULL;
  unsigned long size;
  int status = SNIPE_OK;

  if (proc == NULL)
    return snipe_status_set (SNIPE_E_INVALID, "unknown peer procedure %u",
                             call->procedure);
  /* Checked before queueing, because libtirpc sends the part encoded so far
   * when encoding fails halfway. A NULL string cannot be encoded. */
  size = xdr_sizeof (proc->args, &call->args);
  if (size == 0)
    {
      status = snipe_status_set (SNIPE_E_INVALID,
                                 "arguments of peer procedure %u exceed a "
                                 "limit or contain a NULL string",
                                 call->procedure);
      goto on_error;
    }
  if (size > SNIPE_PEER_RECORD_MAX - 1024)
    {
      status = snipe_status_set (
          SNIPE_E_TOO_LARGE, "peer message of %lu bytes is too large", size);
      goto on_error;
    }
  queued = calloc (1, sizeof *queued);
  if (queued == NULL)
    {
      status
          = snipe_status_set (SNIPE_E_NOMEM, "out of memory for a peer call");
      goto on_error;
    }
  queued->peer = find_peer (net, address);
  if (queued->peer == NULL)
    {
      status = snipe_status_set (SNIPE_E_INVALID,
                                 "cannot use peer address \"%s\"", address);
      goto on_error;
    }
  queued->proc = proc;
  queued->call = *call;
  queued->deadline = snipe_clock_now () + timeout;
  queued->done = done;
  queued->ctx = ctx;
  status = snipe_peer_sender_enqueue (queued->peer->sender, queued);
  if (status < 0)
    {
      status = snipe_status_set (status, "peer network is stopping");
      goto on_error;
    }
  memset (&call->args, 0, sizeof call->args);
  return SNIPE_OK;

on_error:
  snipe_peer_proc_free_args (call->procedure,
                             (union snipe_peer_args *)&call->args);
  free (queued);
  return status;
}
