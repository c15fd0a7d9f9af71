/**
 * @file address.h
 * Numeric addresses of the form "ip:port" or "[ip]:port".
 */
#ifndef SNIPE_PEER_ADDRESS_H
#define SNIPE_PEER_ADDRESS_H

#include <sys/socket.h>

struct snipe_peer_address
{
  struct sockaddr_storage addr;
  socklen_t len;
};

/** @return 0 or SNIPE_E_INVALID; names are not looked up. */
int snipe_peer_address_parse (struct snipe_peer_address *out,
                              const char *text);

#endif
