#include "snipe/job.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "snipe/status.h"

#define ISSUED_PREFIX "s-"
#define ISSUED_LEN 27 /* s-<16 hex>-<8 hex> */
#define UUID_LEN 36

/** Reads exactly @p digits lower- or upper-case hex digits. */
static bool
parse_hex (uint64_t *out, const char *text, unsigned int digits)
{
  uint64_t value = 0;

  for (unsigned int i = 0; i < digits; i++)
    {
      int digit = g_ascii_xdigit_value (text[i]);

      if (digit < 0)
        return false;
      value = value << 4 | (uint64_t)digit;
    }
  *out = value;
  return true;
}

static bool
parse_issued (struct snipe_id *out, const char *text)
{
  uint64_t incarnation;
  uint64_t sequence;

  if (strlen (text) != ISSUED_LEN || text[18] != '-'
      || !parse_hex (&incarnation, text + 2, 16)
      || !parse_hex (&sequence, text + 19, 8))
    return false;
  snipe_id_issue (out, incarnation, (uint32_t)sequence);
  return true;
}

static bool
parse_uuid7 (struct snipe_id *out, const char *text)
{
  uint64_t high;
  uint64_t low;

  if (strlen (text) != UUID_LEN || !g_uuid_string_is_valid (text)
      || text[14] != '7' || !parse_hex (&high, text, 8)
      || !parse_hex (&low, text + 9, 4))
    return false;
  out->kind = SNIPE_ID_CALLER_SUPPLIED;
  out->u.caller_supplied.created_ms = (int64_t)(high << 16 | low);
  for (unsigned int i = 0; i <= UUID_LEN; i++)
    out->text[i] = g_ascii_tolower (text[i]);
  return true;
}

int
snipe_id_parse (struct snipe_id *out, const char *text)
{
  if (strncmp (text, ISSUED_PREFIX, 2) == 0 ? parse_issued (out, text)
                                            : parse_uuid7 (out, text))
    return SNIPE_OK;
  return snipe_status_set (
      SNIPE_E_BAD_ID,
      "id \"%.64s\" is neither one from POST /v1/ids nor a UUID version 7",
      text);
}

void
snipe_id_issue (struct snipe_id *out, uint64_t incarnation, uint32_t sequence)
{
  out->kind = SNIPE_ID_ISSUED;
  out->u.issued.incarnation = incarnation;
  out->u.issued.sequence = sequence;
  snprintf (out->text, sizeof out->text, ISSUED_PREFIX "%016llx-%08x",
            (unsigned long long)incarnation, sequence);
}
