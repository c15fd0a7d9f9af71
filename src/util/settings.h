/**
 * @file settings.h
 * Table of a program's settings, each with a flag, an environment variable and
 * a range. A flag overrides the variable, which overrides the default. All
 * invalid values are reported together.
 */
#ifndef SNIPE_UTIL_SETTINGS_H
#define SNIPE_UTIL_SETTINGS_H

#include <argp.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum snipe_setting_type
{
  SNIPE_SETTING_TEXT,     /**< min to max bytes without control characters;
                             max 0: any */
  SNIPE_SETTING_ADDRESS,  /**< "ip:port", port 0: any free port */
  SNIPE_SETTING_URL,      /**< "http://ip:port" */
  SNIPE_SETTING_HOSTS,    /**< list of "ip:port", separated by commas */
  SNIPE_SETTING_DURATION, /**< "4s" or "500ms"; min and max in ms */
  SNIPE_SETTING_COUNT,    /**< an integer from min to max */
  SNIPE_SETTING_DOUBLE,   /**< a number from min to max */
  SNIPE_SETTING_SWITCH,   /**< flag without a value; variable 0 or 1 */
  SNIPE_SETTING_BOOL,     /**< "true" or "false"; flag alone: true */
  SNIPE_SETTING_CHOICE,   /**< one of the choices */
};

struct snipe_setting
{
  const char *flag; /**< "hosts", without the dashes */
  const char *env;  /**< environment variable, NULL: none */
  const char *arg;  /**< name of the value in --help, NULL for a switch */
  const char *help;
  enum snipe_setting_type type;
  bool required;
  double min;
  double max;
  const char *const *choices; /**< for CHOICE, NULL-terminated */
  union
  {
    const char **text; /**< TEXT, ADDRESS */
    uint64_t *number;  /**< COUNT; index of the choice for CHOICE */
    double *real;
    bool *flag;
  } out;   /**< where snipe_settings_read () stores it; first the default */
  int key; /**< argp key; snipe_settings_read () assigns its own */
  const char *value; /**< as given, or the default; NULL: none */
  int64_t number;    /**< set by the check: duration in ms, count, index of
                        the choice, or 0 or 1 */
  double real;       /**< set by the check, for DOUBLE */
  bool from_env;     /**< value came from the environment */
};

/**
 * Reads all settings of a program that takes no other arguments. The table
 * ends with an entry whose flag is NULL. --help and --version print and exit.
 * @return 0, or SNIPE_E_INVALID after printing every error to stderr.
 */
int snipe_settings_read (const struct snipe_setting *table, int argc,
                         char **argv, const char *doc);

/** Fills @p out, which has space for @p count + 1 options, with an argp option
 * for each setting and a terminating empty one. */
void snipe_settings_to_argp (struct argp_option *out,
                             const struct snipe_setting *settings,
                             size_t count);
/** Takes values from the environment; flags set later override them. */
void snipe_settings_read_environment (struct snipe_setting *settings,
                                      size_t count);
/** Sets the value of a flag; NULL is "true" for BOOL, "1" otherwise.
 * @return false if no setting has the key. */
bool snipe_settings_set_flag (struct snipe_setting *settings, size_t count,
                              int key, const char *value);
/** Checks every value; appends a line to @p errors for each invalid one:
 * flag, value and allowed range. */
void snipe_settings_check (struct snipe_setting *settings, size_t count,
                           GString *errors);
/** Appends a line to @p errors if the setting has no value. */
void snipe_setting_require (const struct snipe_setting *setting,
                            GString *errors);
/** @return whether @p text is "ip:port" ("[ip]:port" for IPv6). */
bool snipe_setting_is_address (const char *text);

#endif
