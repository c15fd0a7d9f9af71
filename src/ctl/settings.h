/**
 * @file settings.h
 * Settings of a command line program, each given by a flag or an environment
 * variable. All bad ones are reported together.
 */
#ifndef SNIPE_CTL_SETTINGS_H
#define SNIPE_CTL_SETTINGS_H

#include <argp.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum snipe_setting_type
{
  SNIPE_SETTING_TEXT,     /**< min to max bytes without control characters */
  SNIPE_SETTING_URL,      /**< "http://ip:port" */
  SNIPE_SETTING_HOSTS,    /**< "ip:port", divided by commas */
  SNIPE_SETTING_DURATION, /**< "4s" or "500ms"; min and max in ms */
  SNIPE_SETTING_COUNT,    /**< a number from min to max */
  SNIPE_SETTING_SWITCH,   /**< flag without a value; variable 0 or 1 */
};

struct snipe_setting
{
  int key; /**< of argp */
  enum snipe_setting_type type;
  const char *flag; /**< "hosts", without the dashes */
  const char *env;  /**< environment variable */
  const char *arg;  /**< name of the value in --help, NULL for a switch */
  const char *help;
  int64_t min;
  int64_t max;
  const char *value; /**< as given, or the default; NULL: none */
  int64_t number;    /**< duration in ms, count or switch, once checked */
  bool from_env;     /**< value came from the environment */
};

/** Fills @p out with an argp option for each setting and an empty last one;
 * it has room for @p count + 1. */
void snipe_settings_options (struct argp_option *out,
                             const struct snipe_setting *settings,
                             size_t count);
/** Reads the environment; flags given later override it. */
void snipe_settings_environment (struct snipe_setting *settings, size_t count);
/** Takes the value of a flag. @return false if no setting has the key. */
bool snipe_settings_give (struct snipe_setting *settings, size_t count,
                          int key, const char *value);
/** Checks every value; appends a line to @p errors for each bad one: flag,
 * value and allowed range. */
void snipe_settings_check (struct snipe_setting *settings, size_t count,
                           GString *errors);
/** Appends a line to @p errors if the setting has no value. */
void snipe_setting_require (const struct snipe_setting *setting,
                            GString *errors);
/** @return whether @p text is "ip:port" ("[ip]:port" for IPv6). */
bool snipe_setting_is_address (const char *text);

#endif
