#include "ctl/submit.h"

#include <glib.h>
#include <string.h>
#include <sys/random.h>

#include "snipe/status.h"

int
snipe_uuid_make (char out[SNIPE_UUID_BYTES], int64_t wall_ms)
{
  static const char digits[] = "0123456789abcdef";
  unsigned char bytes[16];
  size_t len = 0;

  if (getrandom (bytes, sizeof bytes, 0) != (ssize_t)sizeof bytes)
    return snipe_status_set (SNIPE_E_INTERNAL,
                             "cannot generate a UUID: no random bytes");
  for (int i = 0; i < 6; i++)
    bytes[i] = (unsigned char)((uint64_t)wall_ms >> (40 - 8 * i));
  bytes[6] = (bytes[6] & 0x0FU) | 0x70U; /* version 7 */
  bytes[8] = (bytes[8] & 0x3FU) | 0x80U; /* variant of RFC 9562 */
  for (size_t i = 0; i < sizeof bytes; i++)
    {
      if (i == 4 || i == 6 || i == 8 || i == 10)
        out[len++] = '-';
      out[len++] = digits[bytes[i] >> 4U];
      out[len++] = digits[bytes[i] & 0x0FU];
    }
  out[len] = '\0';
  return SNIPE_OK;
}
