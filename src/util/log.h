/**
 * @file log.h
 * Logging: GLib's structured log with a buffered writer, so that the
 * scheduling thread makes no system call to log a decision.
 */
#ifndef SNIPE_UTIL_LOG_H
#define SNIPE_UTIL_LOG_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Installs the writer and starts its thread.
 * @param level least severe level that is written: "error", "warning",
 * "message", "info" (decision lines) or "debug"
 * @return 0 or SNIPE_E_INVALID.
 */
int snipe_log_start (const char *level);
/** Sets the descriptor that is written to; the default is standard error. */
void snipe_log_set_fd (int fd);
/** Flushes the buffer and stops the thread. */
void snipe_log_stop (void);
/** @return whether decision lines are written. */
bool snipe_log_decisions_enabled (void);
/** Logs one decision at level info. @param line key=value pairs */
void snipe_log_decision (const char *host, const char *line);

#endif
