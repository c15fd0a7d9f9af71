#include "peer/sender.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "snipe/counter.h"
#include "snipe/status.h"
#include "util/blocklist.h"

/* Delay after a failed connection attempt, because each attempt delays the
 * calls to the other peers of the thread. */
#define RECONNECT_DELAY (200 * SNIPE_MS)
/* Interval between checks for idle connections that the peer has closed. */
#define STALE_CHECK_INTERVAL_S 5
/* Record marks and RPC headers: 44 bytes of the call and 28 of its reply. */
#define CALL_OVERHEAD_BYTES 72
/* Sizes of libtirpc's buffers per connection. A longer message is sent in
   several fragments, which the server reassembles. */
#define SEND_BUFFER_BYTES (64U << 10)
#define RECEIVE_BUFFER_BYTES (64U << 10)

struct snipe_peer_sender
{
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t ready;
  struct snipe_peer_sender_call *first;
  struct snipe_peer_sender_call *last;
  bool stopping;
  int busy_fd; /* socket of the call in progress, -1: none */
  struct snipe_peer **peers;
  size_t peer_count;
  size_t peer_capacity;
  snipe_time connect_timeout;
};

static void
close_peer (struct snipe_peer *peer)
{
  if (peer->client == NULL)
    return;
  clnt_destroy (peer->client);
  peer->client = NULL;
  peer->fd = -1;
}

/* Whether an idle connection can no longer be used: the peer has closed it or
 * has sent data without a call. */
static bool
is_stale (const struct snipe_peer *peer)
{
  struct pollfd poll_fd = { .fd = peer->fd, .events = POLLIN | POLLRDHUP };

  return poll (&poll_fd, 1, 0) != 0;
}

/* Connects within @p limit. @return a socket in blocking mode, or -1 */
static int
open_socket (const struct snipe_peer *peer, snipe_time limit)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  snipe_time until = snipe_clock_now () + limit;
  int yes = 1;
  int error = 0;
  socklen_t len = sizeof error;

  if (fd < 0)
    return -1;
  if (connect (fd, (const struct sockaddr *)&peer->address,
               sizeof peer->address)
      != 0)
    {
      struct pollfd poll_fd = { .fd = fd, .events = POLLOUT };
      int ready = -1;

      if (errno != EINPROGRESS)
        goto on_error;
      do
        {
          snipe_time left = until - snipe_clock_now ();

          if (left < 0)
            left = 0;
          ready = poll (&poll_fd, 1, (int)((left + SNIPE_MS - 1) / SNIPE_MS));
        }
      while (ready < 0 && errno == EINTR);
      if (ready != 1
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0
          || error != 0)
        goto on_error;
    }
  if (setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes) != 0
      || fcntl (fd, F_SETFL, 0) != 0)
    goto on_error;
  return fd;

on_error:
  close (fd);
  return -1;
}

static int
open_peer (struct snipe_peer *peer, snipe_time limit)
{
  struct netbuf address = {
    .maxlen = sizeof peer->address,
    .len = sizeof peer->address,
    .buf = &peer->address,
  };
  int fd = open_socket (peer, limit);

  if (fd < 0)
    return SNIPE_E_UNREACHABLE;
  peer->client
      = clnt_vc_create (fd, &address, SNIPE_PEER_PROGRAM, SNIPE_PEER_V1,
                        SEND_BUFFER_BYTES, RECEIVE_BUFFER_BYTES);
  if (peer->client == NULL)
    {
      close (fd);
      return SNIPE_E_UNREACHABLE;
    }
  (void)clnt_control (peer->client, CLSET_FD_CLOSE, NULL);
  peer->fd = fd;
  return SNIPE_OK;
}

/* Ensures that @p peer has a usable connection. */
static int
connect_peer (struct snipe_peer_sender *sender, struct snipe_peer *peer,
              snipe_time deadline)
{
  snipe_time now = snipe_clock_now ();
  snipe_time limit = deadline - now;

  if (limit <= 0 || snipe_blocklist_contains (peer->address_text))
    return SNIPE_E_UNREACHABLE;
  if (peer->client != NULL && is_stale (peer))
    close_peer (peer);
  if (peer->client != NULL)
    return SNIPE_OK;
  if (now < peer->retry_at)
    return SNIPE_E_UNREACHABLE;
  if (limit > sender->connect_timeout)
    limit = sender->connect_timeout;
  if (open_peer (peer, limit) == SNIPE_OK)
    return SNIPE_OK;
  peer->retry_at = snipe_clock_now () + RECONNECT_DELAY;
  return SNIPE_E_UNREACHABLE;
}

/* Records the socket of the call in progress, so that
 * snipe_peer_sender_stop () can shut it down.
 * @return false if the sender is stopping */
static bool
set_busy (struct snipe_peer_sender *sender, int fd)
{
  bool stopping;

  pthread_mutex_lock (&sender->lock);
  sender->busy_fd = fd;
  stopping = sender->stopping;
  pthread_mutex_unlock (&sender->lock);
  return !stopping;
}

static void
complete_call (struct snipe_peer_sender_call *call, int status,
               union snipe_peer_reply *reply)
{
  call->done (call->ctx, status, reply);
  xdr_free (call->proc->args, (char *)&call->call.args);
  free (call);
}

static void
send_call (struct snipe_peer_sender *sender,
           struct snipe_peer_sender_call *call)
{
  struct snipe_peer *peer = call->peer;
  const struct snipe_peer_proc *proc = call->proc;
  union snipe_peer_reply reply;
  struct timeval limit;
  snipe_time left;
  enum clnt_stat result;
  int status = connect_peer (sender, peer, call->deadline);

  if (status == SNIPE_OK && !set_busy (sender, peer->fd))
    status = SNIPE_E_UNREACHABLE;
  left = call->deadline - snipe_clock_now ();
  if (status < 0 || left <= 0)
    {
      (void)set_busy (sender, -1);
      complete_call (call, SNIPE_E_UNREACHABLE, NULL);
      return;
    }
  /* libtirpc waits in whole milliseconds, and 0 means not to wait. */
  left = (left + SNIPE_MS - 1) / SNIPE_MS * SNIPE_MS;
  limit = (struct timeval){ .tv_sec = left / SNIPE_S,
                            .tv_usec = left % SNIPE_S };
  (void)setsockopt (peer->fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  memset (&reply, 0, sizeof reply);
  result = clnt_call (peer->client, call->call.procedure, proc->args,
                      (char *)&call->call.args, proc->reply, (char *)&reply,
                      limit);
  (void)set_busy (sender, -1);
  if (result != RPC_SUCCESS)
    {
      /* Part of the call may have reached the peer, and the state of the
       * stream is unknown. */
      close_peer (peer);
      status = SNIPE_E_TIMEOUT;
    }
  else if (snipe_blocklist_contains (peer->address_text))
    status = SNIPE_E_TIMEOUT;
  snipe_counter_add (SNIPE_C_PEER_BYTES,
                     CALL_OVERHEAD_BYTES
                         + xdr_sizeof (proc->args, &call->call.args));
  /* If the call failed, the reply is empty and cannot be encoded. */
  if (result == RPC_SUCCESS)
    snipe_counter_add (SNIPE_C_PEER_BYTES, xdr_sizeof (proc->reply, &reply));
  complete_call (call, status, status == SNIPE_OK ? &reply : NULL);
  xdr_free (proc->reply, (char *)&reply);
}

/* Closes idle connections that the peer has closed. */
static void
close_stale_connections (struct snipe_peer_sender *sender)
{
  struct snipe_peer *peer;

  pthread_mutex_lock (&sender->lock);
  for (size_t i = 0; i < sender->peer_count; i++)
    {
      peer = sender->peers[i];
      if (peer->client != NULL && is_stale (peer))
        close_peer (peer);
    }
  pthread_mutex_unlock (&sender->lock);
}

/* Waits for a queued call. @return it, or NULL if the sender is stopping */
static struct snipe_peer_sender_call *
wait_for_call (struct snipe_peer_sender *sender)
{
  struct snipe_peer_sender_call *call = NULL;
  struct timespec until;
  int waited;

  pthread_mutex_lock (&sender->lock);
  while (sender->first == NULL && !sender->stopping)
    {
      (void)clock_gettime (CLOCK_MONOTONIC, &until);
      until.tv_sec += STALE_CHECK_INTERVAL_S;
      waited = pthread_cond_timedwait (&sender->ready, &sender->lock, &until);
      if (waited == ETIMEDOUT)
        {
          pthread_mutex_unlock (&sender->lock);
          close_stale_connections (sender);
          pthread_mutex_lock (&sender->lock);
        }
    }
  if (!sender->stopping)
    {
      call = sender->first;
      sender->first = call->next;
      if (sender->first == NULL)
        sender->last = NULL;
    }
  pthread_mutex_unlock (&sender->lock);
  return call;
}

static void *
run_sender (void *ctx)
{
  struct snipe_peer_sender *sender = ctx;
  struct snipe_peer_sender_call *call;

  while ((call = wait_for_call (sender)) != NULL)
    send_call (sender, call);
  /* No call is added once the sender is stopping. */
  while (sender->first != NULL)
    {
      call = sender->first;
      sender->first = call->next;
      complete_call (call, SNIPE_E_UNREACHABLE, NULL);
    }
  pthread_mutex_lock (&sender->lock);
  for (size_t i = 0; i < sender->peer_count; i++)
    close_peer (sender->peers[i]);
  pthread_mutex_unlock (&sender->lock);
  return NULL;
}

int
snipe_peer_sender_new (struct snipe_peer_sender **out,
                       snipe_time connect_timeout)
{
  struct snipe_peer_sender *sender = calloc (1, sizeof *sender);
  pthread_condattr_t attr;

  if (sender == NULL)
    return snipe_status_set (SNIPE_E_NOMEM, "out of memory for a peer sender");
  sender->busy_fd = -1;
  sender->connect_timeout = connect_timeout;
  pthread_mutex_init (&sender->lock, NULL);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&sender->ready, &attr);
  pthread_condattr_destroy (&attr);
  if (pthread_create (&sender->thread, NULL, run_sender, sender) != 0)
    {
      pthread_cond_destroy (&sender->ready);
      pthread_mutex_destroy (&sender->lock);
      free (sender);
      return snipe_status_set (SNIPE_E_INTERNAL,
                               "cannot start a peer sender thread");
    }
  *out = sender;
  return SNIPE_OK;
}

void
snipe_peer_sender_stop (struct snipe_peer_sender *sender)
{
  pthread_mutex_lock (&sender->lock);
  sender->stopping = true;
  if (sender->busy_fd >= 0)
    (void)shutdown (sender->busy_fd, SHUT_RDWR);
  pthread_cond_signal (&sender->ready);
  pthread_mutex_unlock (&sender->lock);
  pthread_join (sender->thread, NULL);
}

void
snipe_peer_sender_free (struct snipe_peer_sender *sender)
{
  pthread_cond_destroy (&sender->ready);
  pthread_mutex_destroy (&sender->lock);
  free (sender->peers);
  free (sender);
}

int
snipe_peer_sender_enqueue (struct snipe_peer_sender *sender,
                           struct snipe_peer_sender_call *call)
{
  bool stopping;

  call->next = NULL;
  pthread_mutex_lock (&sender->lock);
  stopping = sender->stopping;
  if (!stopping)
    {
      if (sender->last == NULL)
        sender->first = call;
      else
        sender->last->next = call;
      sender->last = call;
      pthread_cond_signal (&sender->ready);
    }
  pthread_mutex_unlock (&sender->lock);
  return stopping ? SNIPE_E_DRAINING : SNIPE_OK;
}

int
snipe_peer_sender_assign (struct snipe_peer_sender *sender,
                          struct snipe_peer *peer)
{
  int status = SNIPE_OK;

  pthread_mutex_lock (&sender->lock);
  if (sender->peer_count == sender->peer_capacity)
    {
      size_t capacity = 2 * sender->peer_capacity + 16;
      struct snipe_peer **grown
          = realloc (sender->peers, capacity * sizeof *sender->peers);

      if (grown == NULL)
        status = SNIPE_E_NOMEM;
      else
        {
          sender->peers = grown;
          sender->peer_capacity = capacity;
        }
    }
  if (status == SNIPE_OK)
    {
      peer->sender = sender;
      sender->peers[sender->peer_count++] = peer;
    }
  pthread_mutex_unlock (&sender->lock);
  return status;
}
