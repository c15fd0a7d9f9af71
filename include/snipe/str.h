/**
 * @file str.h
 * Length-counted strings. A string owns its buffer, which ends with a NUL that
 * is not part of the length, so that it can be used as a C string.
 */
#ifndef SNIPE_STR_H
#define SNIPE_STR_H

#include <stdbool.h>
#include <stddef.h>

struct snipe_str
{
  char *data; /**< NULL for the empty string */
  size_t len; /**< bytes */
};

#define SNIPE_STR_INIT                                                        \
  {                                                                           \
    .data = NULL, .len = 0                                                    \
  }

/** Copies @p len bytes. @return 0 or SNIPE_E_NOMEM. */
int snipe_str_set (struct snipe_str *out, const char *data, size_t len);
/** Copies a NUL-terminated string, NULL is the empty string. */
int snipe_str_set_c (struct snipe_str *out, const char *text);
/** Takes ownership of @p data, which was allocated with malloc (). */
void snipe_str_take (struct snipe_str *out, char *data, size_t len);
void snipe_str_clear (struct snipe_str *str);
bool snipe_str_equal (const struct snipe_str *a, const struct snipe_str *b);
bool snipe_str_equal_c (const struct snipe_str *a, const char *b);
/** @return the bytes as a C string, "" if empty. */
const char *snipe_str_c (const struct snipe_str *str);

#endif
