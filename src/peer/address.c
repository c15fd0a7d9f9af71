#include "peer/address.h"

#include <netdb.h>
#include <stdio.h>
#include <string.h>

#include "snipe/status.h"

int
snipe_peer_address_parse (struct snipe_peer_address *out, const char *text)
{
  const struct addrinfo hints = {
    .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
    .ai_socktype = SOCK_STREAM,
  };
  struct addrinfo *list = NULL;
  char host[64];
  const char *colon = text == NULL ? NULL : strrchr (text, ':');
  const char *begin = text;
  size_t len;

  if (colon == NULL)
    goto on_error;
  len = (size_t)(colon - text);
  if (len >= 2 && text[0] == '[' && text[len - 1] == ']')
    {
      begin++;
      len -= 2;
    }
  if (len == 0 || len >= sizeof host)
    goto on_error;
  memcpy (host, begin, len);
  host[len] = '\0';
  if (getaddrinfo (host, colon + 1, &hints, &list) != 0)
    goto on_error;
  memcpy (&out->addr, list->ai_addr, list->ai_addrlen);
  out->len = list->ai_addrlen;
  freeaddrinfo (list);
  return SNIPE_OK;

on_error:
  return snipe_status_set (SNIPE_E_INVALID, "\"%s\" is not \"ip:port\"",
                           text == NULL ? "" : text);
}
