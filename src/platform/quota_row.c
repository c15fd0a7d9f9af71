#include "platform/internal.h"
#include "snipe/status.h"

/* Adds the slot counts of one member of a row, "held" or "want". */
static int
parse_slots (struct snipe_share_row *row, const json_t *slots, bool held)
{
  const char *key;
  json_t *number;
  int rc = SNIPE_OK;

  json_object_foreach ((json_t *)slots, key, number)
  {
    json_int_t value = json_integer_value (number);
    struct snipe_share_entry entry = { .held = 0 };

    if (rc != SNIPE_OK)
      continue;
    rc = snipe_incarnation_parse (&entry.incarnation, key);
    if (rc == SNIPE_OK
        && (!json_is_integer (number) || value < 0 || value > UINT32_MAX))
      rc = snipe_status_set (SNIPE_E_INVALID,
                             "slots in quota row are not a 32-bit number");
    for (uint32_t i = 0; i < row->count; i++)
      if (row->entries[i].incarnation == entry.incarnation)
        entry = row->entries[i];
    if (held)
      entry.held = (uint32_t)value;
    else
      entry.want = (uint32_t)value;
    if (rc == SNIPE_OK)
      rc = snipe_share_row_set (row, &entry);
  }
  return rc;
}

int
snipe_quota_row_parse (struct snipe_share_row *row, const json_t *value)
{
  int rc;

  row->count = 0;
  if (!json_is_object (value))
    return snipe_status_set (SNIPE_E_INVALID,
                             "quota row is not a JSON object");
  rc = parse_slots (row, json_object_get (value, "held"), true);
  if (rc == SNIPE_OK)
    rc = parse_slots (row, json_object_get (value, "want"), false);
  return rc;
}

json_t *
snipe_quota_row_format (const struct snipe_share_row *row)
{
  json_t *held = json_object ();
  json_t *want = json_object ();

  for (uint32_t i = 0; i < row->count; i++)
    {
      const struct snipe_share_entry *entry = &row->entries[i];
      char inc[SNIPE_INCARNATION_TEXT_BYTES];

      snipe_incarnation_format (inc, entry->incarnation);
      if (entry->held > 0
          && json_object_set_new (held, inc, json_integer (entry->held)) != 0)
        goto on_error;
      if (entry->want > 0
          && json_object_set_new (want, inc, json_integer (entry->want)) != 0)
        goto on_error;
    }
  return json_pack ("{s:o, s:o}", "held", held, "want", want);
on_error:
  json_decref (held);
  json_decref (want);
  return NULL;
}
