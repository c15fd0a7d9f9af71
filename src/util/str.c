#include "snipe/str.h"

#include <stdlib.h>
#include <string.h>

#include "snipe/status.h"

int
snipe_str_set (struct snipe_str *out, const char *data, size_t len)
{
  char *copy = malloc (len + 1);

  if (copy == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for a string of %zu bytes", len);
  if (len > 0)
    memcpy (copy, data, len);
  copy[len] = '\0';
  snipe_str_clear (out);
  out->data = copy;
  out->len = len;
  return SNIPE_OK;
}

int
snipe_str_set_c (struct snipe_str *out, const char *text)
{
  if (text == NULL)
    text = "";
  return snipe_str_set (out, text, strlen (text));
}

void
snipe_str_take (struct snipe_str *out, char *data, size_t len)
{
  snipe_str_clear (out);
  out->data = data;
  out->len = len;
}

void
snipe_str_clear (struct snipe_str *str)
{
  free (str->data);
  str->data = NULL;
  str->len = 0;
}

bool
snipe_str_equal (const struct snipe_str *a, const struct snipe_str *b)
{
  return a->len == b->len
         && (a->len == 0 || memcmp (a->data, b->data, a->len) == 0);
}

bool
snipe_str_equal_c (const struct snipe_str *a, const char *b)
{
  size_t len = strlen (b);

  return a->len == len && (len == 0 || memcmp (a->data, b, len) == 0);
}

const char *
snipe_str_c (const struct snipe_str *str)
{
  return str->data == NULL ? "" : str->data;
}
