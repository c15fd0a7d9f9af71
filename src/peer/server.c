#include "peer/server.h"

#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/address.h"
#include "peer/proc.h"
#include "snipe/status.h"
#include "util/refuse.h"

struct snipe_peer_server
{
  const struct snipe_peer_handlers *handlers;
  void *ctx;
  pthread_t thread;
  SVCXPRT *listener;
  int listen_fd;
  int wake_fd;
  uint16_t port;
  struct pollfd *polls; /* wake_fd, the connections, listen_fd */
  size_t poll_count;
  size_t poll_room;
};

/* libtirpc keeps the transports and svc_pollfd once per process. The lock is
 * held across each call into it, so that several nets can share a process. */
static pthread_mutex_t svc_lock = PTHREAD_MUTEX_INITIALIZER;
/* The server that each registered descriptor belongs to. */
static struct snipe_peer_server **owners;
static size_t owner_count;

/* The server whose thread this is; NULL while it closes its connections. */
static _Thread_local struct snipe_peer_server *serving;

union reply
{
  peer_load load;
  peer_forward_reply forward;
  peer_batch_reply run_batch;
  peer_rules rules;
};

static int
handle (const struct snipe_peer_server *server, uint32_t procedure,
        const union snipe_peer_args *args, union reply *reply)
{
  const struct snipe_peer_handlers *handlers = server->handlers;
  void *ctx = server->ctx;

  switch (procedure)
    {
    case NULLPROC:
      return SNIPE_OK;
    case PEER_HELLO:
      return handlers->hello (ctx, &args->load, &reply->load);
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

static void
dispatch (struct svc_req *request, SVCXPRT *transport)
{
  const struct snipe_peer_proc *proc = snipe_peer_proc_find (request->rq_proc);
  union snipe_peer_args args;
  union reply reply;

  if (serving == NULL)
    return;
  if (proc == NULL)
    {
      svcerr_noproc (transport);
      return;
    }
  memset (&args, 0, sizeof args);
  memset (&reply, 0, sizeof reply);
  if (!svc_getargs (transport, proc->args, &args))
    svcerr_decode (transport);
  else if (!snipe_refuse_match (snipe_peer_proc_from (request->rq_proc, &args))
           && handle (serving, request->rq_proc, &args, &reply) >= 0)
    (void)svc_sendreply (transport, proc->reply, &reply);
  xdr_free (proc->reply, (char *)&reply);
  (void)svc_freeargs (transport, proc->args, &args);
}

static bool
is_registered (int fd)
{
  for (int i = 0; i < svc_max_pollfd; i++)
    if (svc_pollfd[i].fd == fd)
      return true;
  return false;
}

static int
set_owner (int fd, struct snipe_peer_server *server)
{
  if ((size_t)fd >= owner_count)
    {
      size_t count = 2 * (size_t)fd + 64;
      struct snipe_peer_server **grown
          = realloc (owners, count * sizeof *owners);

      if (grown == NULL)
        return -1;
      memset (grown + owner_count, 0,
              (count - owner_count) * sizeof (struct snipe_peer_server *));
      owners = grown;
      owner_count = count;
    }
  owners[fd] = server;
  return 0;
}

static void
forget_closed (void)
{
  for (size_t fd = 0; fd < owner_count; fd++)
    if (owners[fd] != NULL && !is_registered ((int)fd))
      owners[fd] = NULL;
}

/* Reads from one descriptor with the lock held: accepts a connection, or
 * answers the requests that have arrived in full. */
static void
serve (struct snipe_peer_server *server, int fd)
{
  svc_getreq_common (fd);
  forget_closed ();
  if (fd != server->listen_fd)
    return;
  for (int i = 0; i < svc_max_pollfd; i++)
    {
      int new_fd = svc_pollfd[i].fd;

      if (new_fd >= 0
          && ((size_t)new_fd >= owner_count || owners[new_fd] == NULL))
        (void)set_owner (new_fd, server);
    }
}

static int
add_poll (struct snipe_peer_server *server, int fd)
{
  if (server->poll_count == server->poll_room)
    {
      size_t room = 2 * server->poll_room + 16;
      struct pollfd *grown
          = realloc (server->polls, room * sizeof *server->polls);

      if (grown == NULL)
        return -1;
      server->polls = grown;
      server->poll_room = room;
    }
  server->polls[server->poll_count++]
      = (struct pollfd){ .fd = fd, .events = POLLIN };
  return 0;
}

/* The listening descriptor comes last: a connection accepted in this round
 * must not meet an event of a closed one with the same descriptor. */
static int
list_polls (struct snipe_peer_server *server)
{
  int bad = 0;

  server->poll_count = 0;
  bad |= add_poll (server, server->wake_fd);
  pthread_mutex_lock (&svc_lock);
  for (size_t fd = 0; fd < owner_count; fd++)
    if (owners[fd] == server && (int)fd != server->listen_fd)
      bad |= add_poll (server, (int)fd);
  pthread_mutex_unlock (&svc_lock);
  bad |= add_poll (server, server->listen_fd);
  return bad;
}

/* libtirpc has no call that destroys a transport by its descriptor: the
 * connection is shut down and read until libtirpc sees its end. */
static void
close_connections (struct snipe_peer_server *server)
{
  serving = NULL;
  pthread_mutex_lock (&svc_lock);
  for (size_t fd = 0; fd < owner_count; fd++)
    if (owners[fd] == server && (int)fd != server->listen_fd)
      {
        (void)shutdown ((int)fd, SHUT_RDWR);
        while (owners[fd] == server)
          serve (server, (int)fd);
      }
  svc_destroy (server->listener);
  forget_closed ();
  pthread_mutex_unlock (&svc_lock);
}

static void *
run_server (void *ctx)
{
  struct snipe_peer_server *server = ctx;

  serving = server;
  for (;;)
    {
      if (list_polls (server) != 0)
        {
          /* Out of memory: try again instead of losing the server. */
          (void)usleep (10000);
          continue;
        }
      if (poll (server->polls, server->poll_count, -1) < 0)
        continue;
      if (server->polls[0].revents != 0)
        break;
      for (size_t i = 1; i < server->poll_count; i++)
        if (server->polls[i].revents != 0)
          {
            pthread_mutex_lock (&svc_lock);
            serve (server, server->polls[i].fd);
            pthread_mutex_unlock (&svc_lock);
          }
    }
  close_connections (server);
  return NULL;
}

static int
open_listener (struct snipe_peer_server *server, const char *listen_on)
{
  struct snipe_peer_address address;
  union
  {
    struct sockaddr any;
    struct sockaddr_in in;
    struct sockaddr_in6 in6;
  } bound = { .in6 = { 0 } };
  socklen_t len = sizeof bound;
  int yes = 1;
  int record_max = SNIPE_PEER_RECORD_MAX;
  int fd = -1;
  bool registered;
  int status = snipe_peer_address_parse (&address, listen_on);

  if (status < 0)
    return status;
  fd = socket (address.addr.ss_family,
               SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0
      || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) != 0
      || bind (fd, (struct sockaddr *)&address.addr, address.len) != 0
      || listen (fd, SOMAXCONN) != 0
      || getsockname (fd, &bound.any, &len) != 0)
    goto on_error;
  if (bound.any.sa_family == AF_INET6)
    server->port = ntohs (bound.in6.sin6_port);
  else
    server->port = ntohs (bound.in.sin_port);
  pthread_mutex_lock (&svc_lock);
  server->listener = svc_vc_create (fd, 0, 0);
  /* A record limit also makes libtirpc read accepted connections without
   * blocking: a client that sends half a record holds up nobody. */
  registered
      = server->listener != NULL
        && SVC_CONTROL (server->listener, SVCSET_CONNMAXREC, &record_max)
        && svc_reg (server->listener, SNIPE_PEER_PROGRAM, SNIPE_PEER_V1,
                    dispatch, NULL)
        && set_owner (fd, server) == 0;
  if (!registered && server->listener != NULL)
    {
      svc_destroy (server->listener);
      fd = -1;
    }
  pthread_mutex_unlock (&svc_lock);
  if (!registered)
    goto on_error;
  server->listen_fd = fd;
  return SNIPE_OK;

on_error:
  status = snipe_status_set (SNIPE_E_INTERNAL, "cannot listen on %s: %s",
                             listen_on, strerror (errno));
  if (fd >= 0)
    close (fd);
  return status;
}

int
snipe_peer_server_new (struct snipe_peer_server **out, const char *listen_on,
                       const struct snipe_peer_handlers *handlers, void *ctx)
{
  struct snipe_peer_server *server = calloc (1, sizeof *server);
  int status;

  if (server == NULL)
    return snipe_status_set (SNIPE_E_NOMEM, "no memory for peer server");
  server->handlers = handlers;
  server->ctx = ctx;
  server->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (server->wake_fd < 0)
    {
      status = snipe_status_set (SNIPE_E_INTERNAL, "eventfd: %s",
                                 strerror (errno));
      goto on_error;
    }
  status = open_listener (server, listen_on);
  if (status < 0)
    goto on_error;
  if (pthread_create (&server->thread, NULL, run_server, server) != 0)
    {
      close_connections (server);
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
  close (server->wake_fd);
  free (server->polls);
  free (server);
}

uint16_t
snipe_peer_server_port (const struct snipe_peer_server *server)
{
  return server->port;
}
