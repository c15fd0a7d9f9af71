/**
 * @file transport.h
 * Replaces the library's transport between hosts: the functions of link.h in
 * virtual time. Messages are encoded and decoded by the library's code.
 */
#ifndef TESTS_FLEET_TRANSPORT_H
#define TESTS_FLEET_TRANSPORT_H

#include "fleet/sim.h"
#include "link/link.h"
#include "snipe/status.h"

/* As in link.c. */
#define TRANSPORT_UNACKED_TIMEOUT (500 * SNIPE_MS)
#define TRANSPORT_RETRY_DELAY (100 * SNIPE_MS)
#define TRANSPORT_CONNECT_TIME_MAX (50 * SNIPE_MS)
/* The kernel repeats the first packet of a connection after this time. */
#define TRANSPORT_CONNECT_REPEAT (1 * SNIPE_S)
#define TRANSPORT_DELAY (SNIPE_MS / 2)

struct transport_message
{
  struct snipe_str data;
  snipe_time arrives;
};

struct transport_connection
{
  uint32_t from;
  uint32_t to;
  uint64_t incarnation; /**< that the receiver knows */
  snipe_time opened_at;
  bool connecting;
  bool sender_closed;
  bool receiver_closed;
  bool silent; /**< delivers nothing more */
  bool finish; /**< the receiver is told of the end after the last message */
  bool timeout_pending;
  GQueue queue; /**< struct transport_message */
};

struct snipe_link
{
  struct snipe_link_options options;
  uint32_t host;
  struct transport_connection *outgoing[SIM_HOSTS];
  snipe_time retry_times[SIM_HOSTS];
};

struct transport
{
  struct snipe_link *links[SIM_HOSTS];
  bool machine_down[SIM_HOSTS]; /**< answers no packet */
  /** Number of cuts that hold what is sent from one host to another. A lossy
   * cut drops packets, so that the sender's kernel closes the connection. */
  uint32_t cuts[SIM_HOSTS][SIM_HOSTS];
  uint32_t lossy_cuts[SIM_HOSTS][SIM_HOSTS];
  GPtrArray *connections;
  bool drops_losses; /**< planted: hosts are not told of lost runs */
};

static struct transport transport;

static void
transport_address (uint32_t host, char out[32])
{
  g_snprintf (out, 32, "10.0.0.%u:700", host + 1);
}

static uint32_t
transport_host (const char *address)
{
  unsigned int host = 0;

  if (sscanf (address, "10.0.0.%u:700", &host) != 1 || host < 1
      || host > SIM_HOSTS)
    g_error ("unknown address %s", address);
  return host - 1;
}

static bool
transport_blocked (uint32_t from, uint32_t to)
{
  return transport.cuts[from][to] > 0 || transport.machine_down[to]
         || transport.machine_down[from];
}

static bool
transport_lossy (const struct transport_connection *connection)
{
  return transport.lossy_cuts[connection->from][connection->to] > 0
         || transport.lossy_cuts[connection->to][connection->from] > 0
         || transport.machine_down[connection->to];
}

static void
transport_drop_queue (struct transport_connection *connection)
{
  struct transport_message *message;

  while ((message = g_queue_pop_head (&connection->queue)) != NULL)
    {
      snipe_str_clear (&message->data);
      g_free (message);
    }
}

static void
transport_deliver (struct transport_connection *connection,
                   const struct transport_message *message)
{
  struct snipe_link *link = transport.links[connection->to];
  struct snipe_link_message decoded;

  if (snipe_link_decode (&decoded, message->data.data, message->data.len) < 0)
    g_error ("cannot decode a message of %zu bytes", message->data.len);
  if (decoded.procedure == LINK_SEND_HEARTBEAT)
    connection->incarnation = decoded.args.heartbeat.incarnation;
  if (decoded.procedure != LINK_SEND_LOSSES || !transport.drops_losses)
    link->options.received (link->options.ctx, connection->incarnation,
                            &decoded);
  snipe_link_message_clear (&decoded);
}

/* Delivers what has arrived at the receiver. */
static void
transport_pump (void *data)
{
  struct transport_connection *connection = data;
  uint32_t to = connection->to;
  struct transport_message *message;

  if (connection->connecting || connection->receiver_closed
      || connection->silent || transport_blocked (connection->from, to)
      || !sim.processes[to].running || sim.processes[to].frozen)
    return;
  sim.current_host = to;
  while ((message = g_queue_peek_head (&connection->queue)) != NULL
         && message->arrives <= sim.now)
    {
      g_queue_pop_head (&connection->queue);
      transport_deliver (connection, message);
      snipe_str_clear (&message->data);
      g_free (message);
    }
  if (connection->finish && g_queue_is_empty (&connection->queue))
    {
      struct snipe_link *link = transport.links[to];

      connection->receiver_closed = true;
      if (connection->incarnation != 0)
        link->options.closed (link->options.ctx, connection->incarnation);
    }
  sim.current_host = SIM_NO_HOST;
}

/* After a cut has healed or a process continues. */
static void
transport_pump_all (void)
{
  for (guint i = 0; i < transport.connections->len; i++)
    sim_at (sim.now + TRANSPORT_DELAY, SIM_NO_HOST, transport_pump,
            transport.connections->pdata[i]);
}

static void
transport_detach (struct transport_connection *connection)
{
  struct snipe_link *link = transport.links[connection->from];

  connection->sender_closed = true;
  if (link != NULL && link->outgoing[connection->to] == connection)
    {
      link->outgoing[connection->to] = NULL;
      link->retry_times[connection->to]
          = sim.now + (connection->connecting ? TRANSPORT_RETRY_DELAY : 0);
    }
}

/* The sender's connection breaks: what has not arrived is lost. */
static void
transport_break (void *data)
{
  struct transport_connection *connection = data;

  if (connection->sender_closed)
    return;
  transport_detach (connection);
  transport_drop_queue (connection);
}

/* The sender closes the connection. Its kernel still sends what is queued, but
 * may give up if that is held by a cut. */
static void
transport_close (struct transport_connection *connection)
{
  bool lost
      = connection->connecting || connection->silent
        || (transport_blocked (connection->from, connection->to)
            && (transport_lossy (connection) || sim_chance (&sim.random, 50)));

  transport_detach (connection);
  if (lost)
    {
      transport_drop_queue (connection);
      return;
    }
  connection->finish = true;
  sim_at (sim.now + 2 * TRANSPORT_DELAY, SIM_NO_HOST, transport_pump,
          connection);
}

static void
transport_on_unacked (void *data)
{
  struct transport_connection *connection = data;

  connection->timeout_pending = false;
  if (transport_lossy (connection) || connection->receiver_closed)
    transport_break (connection);
}

static void
transport_on_connect (void *data)
{
  struct transport_connection *connection = data;
  struct snipe_link *link = transport.links[connection->from];
  uint32_t to = connection->to;
  bool repeated = sim.now - connection->opened_at >= TRANSPORT_CONNECT_REPEAT;
  char address[32];

  if (connection->sender_closed)
    return;
  if (transport_blocked (connection->from, to)
      || transport_blocked (to, connection->from))
    {
      if (repeated)
        transport_break (connection);
      else
        sim_at (connection->opened_at + TRANSPORT_CONNECT_REPEAT,
                connection->from, transport_on_connect, connection);
      return;
    }
  if (!sim.processes[to].running)
    {
      transport_address (to, address);
      if (link->options.refused != NULL)
        link->options.refused (link->options.ctx, address);
      transport_break (connection);
      return;
    }
  connection->connecting = false;
  sim_at (sim.now + TRANSPORT_DELAY, SIM_NO_HOST, transport_pump, connection);
}

static struct transport_connection *
transport_open (struct snipe_link *link, uint32_t to, const char *address)
{
  struct transport_connection *connection;

  if (sim.now < link->retry_times[to])
    return NULL;
  connection = sim_alloc (sizeof *connection);
  g_queue_init (&connection->queue);
  connection->from = link->host;
  connection->to = to;
  connection->opened_at = sim.now;
  connection->connecting = true;
  g_ptr_array_add (transport.connections, connection);
  link->outgoing[to] = connection;
  sim_at (sim.now + 2 * TRANSPORT_DELAY, link->host, transport_on_connect,
          connection);
  if (link->options.opened != NULL)
    link->options.opened (link->options.ctx, address);
  return connection;
}

int
snipe_link_new (struct snipe_link **out,
                const struct snipe_link_options *options)
{
  struct snipe_link *link = g_new0 (struct snipe_link, 1);

  link->options = *options;
  link->host = transport_host (options->listen);
  transport.links[link->host] = link;
  *out = link;
  return SNIPE_OK;
}

void
snipe_link_free (struct snipe_link *link)
{
  if (link == NULL)
    return;
  for (uint32_t i = 0; i < SIM_HOSTS; i++)
    if (link->outgoing[i] != NULL)
      transport_close (link->outgoing[i]);
  transport.links[link->host] = NULL;
  g_free (link);
}

uint16_t
snipe_link_port (const struct snipe_link *link)
{
  (void)link;
  return 700;
}

int
snipe_link_send_encoded (struct snipe_link *link, const char *address,
                         const struct snipe_str *message)
{
  uint32_t to = transport_host (address);
  struct transport_connection *connection = link->outgoing[to];
  struct transport_message *copy;

  if (connection == NULL)
    connection = transport_open (link, to, address);
  if (connection == NULL)
    return snipe_status_set (SNIPE_E_UNREACHABLE, "no connection to %s",
                             address);
  copy = g_new0 (struct transport_message, 1);
  snipe_str_set (&copy->data, message->data, message->len);
  copy->arrives
      = sim.now + TRANSPORT_DELAY + sim_draw (&sim.random, 0, TRANSPORT_DELAY);
  if (!g_queue_is_empty (&connection->queue))
    copy->arrives = MAX (copy->arrives,
                         ((const struct transport_message *)g_queue_peek_tail (
                              &connection->queue))
                             ->arrives);
  g_queue_push_tail (&connection->queue, copy);
  sim_at (copy->arrives, SIM_NO_HOST, transport_pump, connection);
  if ((transport_lossy (connection) || connection->receiver_closed)
      && !connection->connecting && !connection->timeout_pending)
    {
      connection->timeout_pending = true;
      sim_at (sim.now
                  + (transport_lossy (connection) ? TRANSPORT_UNACKED_TIMEOUT
                                                  : 2 * TRANSPORT_DELAY),
              link->host, transport_on_unacked, connection);
    }
  return SNIPE_OK;
}

int
snipe_link_send (struct snipe_link *link, const char *address,
                 const struct snipe_link_message *message)
{
  struct snipe_str encoded = SNIPE_STR_INIT;
  int status = snipe_link_encode (&encoded, message);

  if (status == SNIPE_OK)
    status = snipe_link_send_encoded (link, address, &encoded);
  snipe_str_clear (&encoded);
  return status;
}

snipe_time
snipe_link_age (const struct snipe_link *link, const char *address,
                snipe_time now)
{
  const struct transport_connection *connection
      = link->outgoing[transport_host (address)];

  return connection == NULL ? INT64_MAX : now - connection->opened_at;
}

void
snipe_link_reset (struct snipe_link *link, const char *address)
{
  uint32_t to = transport_host (address);

  if (link->outgoing[to] != NULL)
    {
      transport_close (link->outgoing[to]);
      link->retry_times[to] = 0;
    }
}

void
snipe_link_retry (struct snipe_link *link, const char *address, snipe_time now)
{
  uint32_t to = transport_host (address);
  struct transport_connection *connection = link->outgoing[to];

  if (connection != NULL && connection->connecting
      && now - connection->opened_at > TRANSPORT_CONNECT_TIME_MAX)
    transport_break (connection);
  link->retry_times[to] = 0;
}

static void
transport_cut (uint32_t from, uint32_t to, bool lossy)
{
  transport.cuts[from][to]++;
  transport.lossy_cuts[from][to] += lossy;
}

static void
transport_heal (uint32_t from, uint32_t to, bool lossy)
{
  transport.cuts[from][to]--;
  transport.lossy_cuts[from][to] -= lossy;
  transport_pump_all ();
}

/* Resets the connection from one host to another: both learn of it. */
static void
transport_reset (uint32_t from, uint32_t to)
{
  struct transport_connection *connection
      = transport.links[from] == NULL ? NULL
                                      : transport.links[from]->outgoing[to];

  if (connection == NULL || connection->connecting)
    return;
  transport_drop_queue (connection);
  connection->finish = true;
  sim_at (sim.now, from, transport_break, connection);
  sim_at (sim.now, SIM_NO_HOST, transport_pump, connection);
}

static void
transport_silence (uint32_t from, uint32_t to)
{
  struct transport_connection *connection
      = transport.links[from] == NULL ? NULL
                                      : transport.links[from]->outgoing[to];

  if (connection != NULL)
    connection->silent = true;
}

/* Called before the node of a host that ends is freed. If the machine ends
 * too, nobody is told. */
static void
transport_host_ends (uint32_t host, bool machine)
{
  transport.machine_down[host] = machine;
  for (guint i = 0; i < transport.connections->len; i++)
    {
      struct transport_connection *connection
          = transport.connections->pdata[i];

      if (connection->from == host && machine)
        connection->silent = true;
      if (connection->to != host || connection->connecting
          || connection->receiver_closed)
        continue;
      connection->receiver_closed = true;
      if (!machine && !transport_blocked (host, connection->from))
        sim_at (sim.now + TRANSPORT_DELAY, connection->from, transport_break,
                connection);
    }
}

static void
transport_begin (void)
{
  transport = (struct transport){ .connections = g_ptr_array_new () };
}

static void
transport_end (void)
{
  for (guint i = 0; i < transport.connections->len; i++)
    transport_drop_queue (transport.connections->pdata[i]);
  g_ptr_array_free (transport.connections, TRUE);
}

#endif
