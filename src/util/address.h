/**
 * @file address.h
 * "ip:port" addresses. Host names are not resolved; settings contain IP
 * addresses.
 */
#ifndef SNIPE_UTIL_ADDRESS_H
#define SNIPE_UTIL_ADDRESS_H

#include <netinet/in.h>

/** Parses "ip:port" (IPv4). @return 0 or SNIPE_E_INVALID. */
int snipe_address_parse (struct sockaddr_in *out, const char *text);

#endif
