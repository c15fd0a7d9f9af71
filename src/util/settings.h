/**
 * @file settings.h
 * Settings of a program as a table: each has a flag, an environment variable
 * and a range. They are checked as a whole, so that every mistake is listed
 * at once.
 */
#ifndef SNIPE_UTIL_SETTINGS_H
#define SNIPE_UTIL_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

enum snipe_setting_kind
{
  SNIPE_SETTING_TEXT,
  SNIPE_SETTING_UINT,
  SNIPE_SETTING_DOUBLE,
  SNIPE_SETTING_BOOL,
  SNIPE_SETTING_CHOICE,
  SNIPE_SETTING_ADDRESS,
};

struct snipe_setting
{
  const char *flag; /**< without dashes */
  const char *env;
  const char *arg; /**< name of the value in --help */
  const char *help;
  enum snipe_setting_kind kind;
  bool required;
  double min; /**< of UINT and DOUBLE */
  double max;
  const char *const *choices; /**< of CHOICE, NULL-terminated */
  union
  {
    const char **text; /**< TEXT, ADDRESS */
    uint64_t *number;  /**< UINT; index of the choice for CHOICE */
    double *real;
    bool *flag;
  } out; /**< holds the default before parsing */
};

/**
 * Reads settings: a flag goes before its environment variable, which goes
 * before the default. The table ends with a row whose flag is NULL.
 * --help and --version print and exit.
 * @return 0, or SNIPE_E_INVALID after every mistake was printed to stderr.
 */
int snipe_settings_read (const struct snipe_setting *table, int argc,
                         char **argv, const char *doc);

#endif
