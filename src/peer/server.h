/**
 * @file server.h
 * The server thread of a peer network. Messages are encoded and decoded by
 * libtirpc; the service is not registered with a port mapper.
 */
#ifndef SNIPE_PEER_SERVER_H
#define SNIPE_PEER_SERVER_H

#include "peer/net.h"

struct snipe_peer_server;

/** Listens on @p listen and starts the thread. */
int snipe_peer_server_new (struct snipe_peer_server **out, const char *listen,
                           const struct snipe_peer_handlers *handlers,
                           void *ctx);
void snipe_peer_server_free (struct snipe_peer_server *server);
uint16_t snipe_peer_server_port (const struct snipe_peer_server *server);

#endif
