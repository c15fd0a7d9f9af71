/**
 * @file kit.h
 * What the cases share: hosts as separate processes, the stand-ins of the
 * store and the workers from tests/soak, clients on raw sockets, a relay for
 * the links between hosts, and the record of what was seen.
 */
#ifndef REVIEW_COMMON_KIT_H
#define REVIEW_COMMON_KIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "../../tests/soak/fakes.h"

#define KIT_HOSTS_MAX 8
#define KIT_ROUTE_HOST "desk.example"
#define KIT_PREFIX "/desk/"

struct kit_relay;

struct kit_host
{
  const char *name;
  const char *zone;
  pid_t pid;
  uint16_t front_port;
  uint16_t ready_port;
  uint16_t link_port;
  /** The address at which the other hosts reach this one, 0: its own. */
  struct kit_relay *link_relay;
};

/** A request of a client, on a connection of its own. */
struct kit_request
{
  int fd;
  int status; /**< atomic: HTTP status, 0: open, -1: connection broken */
  char *answer;
  GThread *thread;
};

/** Opens DIRECTORY/record.txt and starts the store. */
void kit_begin (const char *directory);
/** @return whether the case runs with its disruption. */
bool kit_trouble (void);
/** @return milliseconds since kit_begin (). */
int64_t kit_now (void);
void kit_sleep_until (int64_t ms);
void kit_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/** Counts a break of the rule. */
void kit_broken (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/** The case cannot run. */
void kit_cannot_run (const char *reason) __attribute__ ((noreturn));
/** Ends all processes and exits with 0 or 1. */
void kit_end (void) __attribute__ ((noreturn));

struct fake_endpoint *kit_worker (const char *id, const char *zone,
                                  int64_t cpu_millicores);
struct kit_host *kit_host (const char *name, const char *zone,
                           bool with_relay);
/** Starts a host with the command of deploy/system.toml. Its log is appended
 * to the file that the variable KIT_LOG names. */
void kit_start_host (const struct kit_host *host, bool first_start);
/** Starts all hosts, and waits until they are ready. */
void kit_start (void);
void kit_kill_host (struct kit_host *host);
bool kit_is_ready (const struct kit_host *host);

/** Resets the connections on which the host named @p from sends to the host
 * behind the relay. What they still carry is lost. */
void kit_relay_reset (struct kit_relay *relay, const char *from);

/** Silences the open connections on which the host named @p from (NULL: any
 * host) sends to the host behind the relay: they stay open, but carry nothing
 * any more. New ones work. */
void kit_relay_silence (struct kit_relay *relay, const char *from);

/** Sends a request. @param deadline_ms Deadline-Ms header, 0: none */
struct kit_request *kit_send (const struct kit_host *host, const char *method,
                              const char *id, const char *body,
                              int deadline_ms);
/** Resets the connection of a request. */
void kit_reset (struct kit_request *request);
/** Waits for the answer. @return its status, -1: broken connection */
int kit_wait (struct kit_request *request);
char *kit_job_body (int tasks, int cpu_millicores, int estimate_ms,
                    int work_ms);

/** @return the worker that runs the task of index 0 of the job, waiting up to
 * @p timeout_ms for it; NULL: none. */
const char *kit_wait_running (const char *job, int timeout_ms);
/** @return when the last start of a task of the job was, -1: never. */
int64_t kit_last_start (const char *job);
/** @return the number of runs of the job that are at work. */
int kit_runs_at_work (const char *job);
/** @return the longest time for which two runs of one task of the job were at
 * work together, in ms; 0: never. */
int64_t kit_overlap (const char *job);

#endif
