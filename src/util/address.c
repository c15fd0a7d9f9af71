#include "util/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "snipe/status.h"

int
snipe_address_parse (struct sockaddr_in *out, const char *text)
{
  const char *colon = strrchr (text, ':');
  char ip[INET_ADDRSTRLEN];
  guint64 port;

  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  if (colon == NULL || (size_t)(colon - text) >= sizeof ip
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, 65535, &port, NULL))
    return snipe_status_set (SNIPE_E_INVALID, "\"%.64s\" is not \"ip:port\"",
                             text);
  memcpy (ip, text, (size_t)(colon - text));
  ip[colon - text] = '\0';
  if (inet_pton (AF_INET, ip, &out->sin_addr) != 1)
    return snipe_status_set (SNIPE_E_INVALID, "\"%s\" is not an IPv4 address",
                             ip);
  out->sin_port = htons ((uint16_t)port);
  return SNIPE_OK;
}
