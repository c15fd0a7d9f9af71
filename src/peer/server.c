#include "peer/server.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/connection.h"
#include "peer/proc.h"
#include "snipe/status.h"
#include "util/address.h"

/* Far more than there are hosts; limits the connections that a faulty client
 * can open. */
#define CONNECTIONS_MAX 1024
/* Time without accepting connections after accept4 () failed, for instance
 * because no descriptor was left. */
#define ACCEPT_PAUSE_MS 100

struct snipe_peer_server
{
  const struct snipe_peer_handlers *handlers;
  void *ctx;
  pthread_t thread;
  int listen_fd;
  int wake_fd;
  uint16_t port;
  bool accept_paused;
  struct snipe_peer_connection *connections[CONNECTIONS_MAX];
  size_t count;
};

union reply
{
  peer_load load;
  peer_forward_reply forward;
  peer_batch_reply run_batch;
  peer_rules rules;
};

static int
call_handler (const struct snipe_peer_server *server, uint32_t procedure,
              const union snipe_peer_args *args, union reply *reply)
{
  const struct snipe_peer_handlers *handlers = server->handlers;
  void *ctx = server->ctx;

  switch (procedure)
    {
    case NULLPROC:
      return SNIPE_OK;
    case PEER_HEARTBEAT:
      return handlers->heartbeat (ctx, &args->load, &reply->load);
    case PEER_FORWARD:
      return handlers->forward (ctx, &args->forward, &reply->forward);
    case PEER_ANSWER:
      return handlers->answer (ctx, &args->answer);
    case PEER_RUN_BATCH:
      return handlers->run_batch (ctx, &args->run_batch, &reply->run_batch);
    case PEER_RESULTS:
      return handlers->results (ctx, &args->results, &reply->load);
    case PEER_OFFER:
      return handlers->offer (ctx, &args->load, &reply->load);
    case PEER_GET_RULES:
      return handlers->get_rules (ctx, &args->load, &reply->rules);
    default:
      return SNIPE_E_INTERNAL;
    }
}

/* Encodes @p msg as one record into the send buffer of the connection. */
static int
send_reply (struct snipe_peer_connection *connection, struct rpc_msg *msg)
{
  unsigned long len = xdr_sizeof ((xdrproc_t)xdr_replymsg, msg);
  char *data;
  XDR xdrs;
  bool encoded;

  if (len == 0 || len > SNIPE_PEER_RECORD_MAX)
    return SNIPE_E_INTERNAL;
  data = snipe_peer_connection_reserve (connection, (uint32_t)len);
  if (data == NULL)
    return SNIPE_E_NOMEM;
  xdrmem_create (&xdrs, data, (u_int)len, XDR_ENCODE);
  encoded = xdr_replymsg (&xdrs, msg);
  xdr_destroy (&xdrs);
  return encoded ? SNIPE_OK : SNIPE_E_INTERNAL;
}

/* Whether the caller has closed the connection and so abandoned the call,
 * which it does if this process was suspended for longer than the call's
 * timeout. An abandoned batch must not be started. */
static bool
is_abandoned (int fd)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLRDHUP };

  return poll (&poll_fd, 1, 0) > 0;
}

/* Decodes the arguments of a call from @p xdrs, runs its handler and queues
 * the reply. */
static int
handle_call (struct snipe_peer_server *server, XDR *xdrs, uint32_t procedure,
             struct snipe_peer_connection *connection,
             struct rpc_msg *reply_msg)
{
  const struct snipe_peer_proc *proc = snipe_peer_proc_find (procedure);
  struct accepted_reply *accepted_reply = &reply_msg->acpted_rply;
  union snipe_peer_args args;
  union reply reply;
  int status = SNIPE_OK;

  if (proc == NULL)
    {
      accepted_reply->ar_stat = PROC_UNAVAIL;
      return send_reply (connection, reply_msg);
    }
  memset (&args, 0, sizeof args);
  memset (&reply, 0, sizeof reply);
  if (!proc->args (xdrs, &args))
    {
      accepted_reply->ar_stat = GARBAGE_ARGS;
      status = send_reply (connection, reply_msg);
    }
  else if (!snipe_peer_proc_sender_blocked (procedure, &args)
           && (procedure != PEER_RUN_BATCH || !is_abandoned (connection->fd))
           && call_handler (server, procedure, &args, &reply) >= 0)
    {
      accepted_reply->ar_stat = SUCCESS;
      accepted_reply->ar_results.where = (char *)&reply;
      accepted_reply->ar_results.proc = proc->reply;
      status = send_reply (connection, reply_msg);
    }
  xdr_free (proc->reply, (char *)&reply);
  xdr_free (proc->args, (char *)&args);
  return status;
}

static int
on_record (void *ctx, struct snipe_peer_connection *connection)
{
  struct snipe_peer_server *server = ctx;
  char cred[MAX_AUTH_BYTES];
  char verf[MAX_AUTH_BYTES];
  struct rpc_msg call;
  struct rpc_msg reply_msg;
  XDR xdrs;
  int status = SNIPE_E_INVALID;

  memset (&call, 0, sizeof call);
  memset (&reply_msg, 0, sizeof reply_msg);
  call.rm_call.cb_cred.oa_base = cred;
  call.rm_call.cb_verf.oa_base = verf;
  xdrmem_create (&xdrs, connection->record, (u_int)connection->record_len,
                 XDR_DECODE);
  if (!xdr_callmsg (&xdrs, &call)
      || call.rm_call.cb_rpcvers != RPC_MSG_VERSION)
    goto cleanup;
  reply_msg.rm_xid = call.rm_xid;
  reply_msg.rm_direction = REPLY;
  reply_msg.rm_reply.rp_stat = MSG_ACCEPTED;
  if (call.rm_call.cb_prog != SNIPE_PEER_PROGRAM)
    {
      reply_msg.acpted_rply.ar_stat = PROG_UNAVAIL;
      status = send_reply (connection, &reply_msg);
    }
  else if (call.rm_call.cb_vers != SNIPE_PEER_V1)
    {
      reply_msg.acpted_rply.ar_stat = PROG_MISMATCH;
      reply_msg.acpted_rply.ar_vers.low = SNIPE_PEER_V1;
      reply_msg.acpted_rply.ar_vers.high = SNIPE_PEER_V1;
      status = send_reply (connection, &reply_msg);
    }
  else
    status = handle_call (server, &xdrs, call.rm_call.cb_proc, connection,
                          &reply_msg);

cleanup:
  xdr_destroy (&xdrs);
  return status;
}

static void
accept_connection (struct snipe_peer_server *server)
{
  struct snipe_peer_connection *connection;
  int yes = 1;
  int fd
      = accept4 (server->listen_fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);

  if (fd < 0)
    {
      server->accept_paused
          = errno != EAGAIN && errno != EINTR && errno != ECONNABORTED;
      return;
    }
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  connection = server->count < CONNECTIONS_MAX ? snipe_peer_connection_new (fd)
                                               : NULL;
  if (connection == NULL)
    close (fd);
  else
    server->connections[server->count++] = connection;
}

/* Reads and writes as poll () allows.
 * @return negative to close the connection */
static int
serve_connection (struct snipe_peer_server *server,
                  struct snipe_peer_connection *connection, short events)
{
  int status = SNIPE_OK;

  if (events & (POLLIN | POLLHUP | POLLERR))
    status = snipe_peer_connection_read (connection, on_record, server);
  if (status >= 0)
    status = snipe_peer_connection_flush (connection);
  return status;
}

/* Fills @p polls. A connection with unsent replies is not read from until the
 * client has read them. */
static nfds_t
fill_polls (const struct snipe_peer_server *server, struct pollfd *polls)
{
  nfds_t count = 0;

  polls[count++] = (struct pollfd){ .fd = server->wake_fd, .events = POLLIN };
  polls[count++] = (struct pollfd){
    .fd = server->accept_paused ? -1 : server->listen_fd,
    .events = POLLIN,
  };
  for (size_t i = 0; i < server->count; i++)
    polls[count++] = (struct pollfd){
      .fd = server->connections[i]->fd,
      .events = server->connections[i]->out_len > 0 ? POLLOUT : POLLIN,
    };
  return count;
}

static void *
run_server (void *ctx)
{
  struct snipe_peer_server *server = ctx;
  struct pollfd polls[CONNECTIONS_MAX + 2];

  for (;;)
    {
      nfds_t count = fill_polls (server, polls);
      size_t open_count = 0;

      if (poll (polls, count, server->accept_paused ? ACCEPT_PAUSE_MS : -1)
          < 0)
        continue;
      server->accept_paused = false;
      if (polls[0].revents != 0)
        break;
      for (size_t i = 0; i < server->count; i++)
        {
          struct snipe_peer_connection *connection = server->connections[i];

          if (polls[i + 2].revents != 0
              && serve_connection (server, connection, polls[i + 2].revents)
                     < 0)
            snipe_peer_connection_free (connection);
          else
            server->connections[open_count++] = connection;
        }
      server->count = open_count;
      if (polls[1].revents != 0)
        accept_connection (server);
    }
  for (size_t i = 0; i < server->count; i++)
    snipe_peer_connection_free (server->connections[i]);
  return NULL;
}

static int
open_listener (struct snipe_peer_server *server, const char *listen_address)
{
  struct sockaddr_in address;
  socklen_t len = sizeof address;
  int yes = 1;
  int fd = -1;
  int status = snipe_address_parse (&address, listen_address);

  if (status < 0)
    return status;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0
      || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) != 0
      || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, SOMAXCONN) != 0
      || getsockname (fd, (struct sockaddr *)&address, &len) != 0)
    goto on_error;
  server->port = ntohs (address.sin_port);
  server->listen_fd = fd;
  return SNIPE_OK;

on_error:
  status = snipe_status_set (SNIPE_E_INTERNAL,
                             "peer server cannot listen on %s: %s",
                             listen_address, strerror (errno));
  if (fd >= 0)
    close (fd);
  return status;
}

int
snipe_peer_server_new (struct snipe_peer_server **out,
                       const char *listen_address,
                       const struct snipe_peer_handlers *handlers, void *ctx)
{
  struct snipe_peer_server *server = calloc (1, sizeof *server);
  int status;

  if (server == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for the peer server");
  server->handlers = handlers;
  server->ctx = ctx;
  server->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (server->wake_fd < 0)
    {
      status = snipe_status_set (
          SNIPE_E_INTERNAL, "cannot create an eventfd for the peer server: %s",
          strerror (errno));
      goto on_error;
    }
  status = open_listener (server, listen_address);
  if (status < 0)
    goto on_error;
  if (pthread_create (&server->thread, NULL, run_server, server) != 0)
    {
      close (server->listen_fd);
      status = snipe_status_set (SNIPE_E_INTERNAL,
                                 "cannot start the peer server thread");
      goto on_error;
    }
  *out = server;
  return SNIPE_OK;

on_error:
  if (server->wake_fd >= 0)
    close (server->wake_fd);
  free (server);
  return status;
}

void
snipe_peer_server_free (struct snipe_peer_server *server)
{
  if (server == NULL)
    return;
  (void)eventfd_write (server->wake_fd, 1);
  pthread_join (server->thread, NULL);
  close (server->listen_fd);
  close (server->wake_fd);
  free (server);
}

uint16_t
snipe_peer_server_port (const struct snipe_peer_server *server)
{
  return server->port;
}
