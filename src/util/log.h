/**
 * @file log.h
 * Logging: GLib's structured log with a buffered writer, so that a decision
 * line costs no system call of the thread that decides.
 */
#ifndef SNIPE_UTIL_LOG_H
#define SNIPE_UTIL_LOG_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Installs the writer and starts its thread.
 * @param level least severe level: "error", "warning", "message", "info"
 *   (decision lines) or "debug"
 * @return 0 or SNIPE_E_INVALID.
 */
int snipe_log_start (const char *level);
/** Writes to the descriptor @p fd from now on; the default is standard
 * error. */
void snipe_log_set_fd (int fd);
/** Writes what is buffered and stops the thread. */
void snipe_log_stop (void);
/** @return whether decision lines are written. */
bool snipe_log_decisions_enabled (void);
/** Logs one decision at level info. @param line key=value pairs */
void snipe_log_decision (const char *host, const char *line);

#endif
