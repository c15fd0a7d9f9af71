/**
 * @file rig.h
 * Small stand-ins of the platform's store, its workers and its clients, and
 * the start of the project's program with the command of the deploy file.
 * All of it is on loopback addresses and the real clock. What is sent,
 * answered and run goes to the record file.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "../../tests/soak/proxy.h"

#define RIG_HOSTS_MAX 8

/** Exit codes of a case. */
enum rig_verdict
{
  RIG_HELD = 0,
  RIG_BROKEN = 1,
  RIG_CANNOT_RUN = 2
};

/** Milliseconds since rig_begin (). */
int64_t rig_now (void);
void rig_sleep (int64_t ms);
/** Writes a line to the record. */
void rig_note (const char *format, ...) G_GNUC_PRINTF (1, 2);
/** Opens the record, reads the deploy file, and starts the store with a
 * configuration of one route: host "shop.example", prefix "/q/".
 * @param argv of the case: RECORD DEPLOY-FILE */
void rig_begin (int argc, char **argv);
/** @return whether the disruption is wanted: TROUBLE is not 0. */
bool rig_trouble (void);
/** Ends all processes that were started, writes the verdict and exits. */
G_NORETURN void rig_end (enum rig_verdict verdict, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/** Writes or (@p value NULL) removes a row, as another writer does. */
void rig_store_put (const char *table, const char *key, const char *value);

/** A run of a task at a worker. */
struct rig_run
{
  char task[96];
  int run;
  char spec[64];
  const char *worker;
  int64_t started; /**< as rig_now () */
  int64_t ended;   /**< 0: it runs */
  const char *how;
};

/** Settings of a worker, to be set before rig_worker_start (). */
struct rig_worker
{
  const char *id;
  const char *zone;
  const char *kind;
  const char *rack;
  int64_t cpu;
  int late_permille; /**< atomic: so many orders get no answer and are carried
                        out late */
  struct rig_worker_state *state;
};
/** A worker that runs a task for as long as "d=MS" in its spec says. */
void rig_worker_start (struct rig_worker *worker);
/** @return copies of all runs so far; free with g_array_unref (). */
GArray *rig_runs (void);

/** A host: a process of the project's program. */
struct rig_host
{
  char name[32];
  char zone[32];
  uint16_t front;
  uint16_t ready;
  uint16_t link;
  struct proxy *link_proxy; /**< NULL: the other hosts reach it directly */
  pid_t pid;
};
/** Sets the ports of a host.
 * @param proxied the other hosts reach it through a proxy */
void rig_host_init (struct rig_host *host, const char *name, const char *zone,
                    bool proxied);
/** @param seeds link addresses, separated by commas */
void rig_host_start (struct rig_host *host, const char *seeds, bool first);
/** Waits until the host reports itself ready; false after 15 s. */
bool rig_host_wait (const struct rig_host *host);
/** @return whether the process has ended, and how. */
bool rig_host_ended (struct rig_host *host, int *status);

/** An answer to a client. */
struct rig_answer
{
  int status; /**< HTTP status, 0: no complete answer */
  char body[512];
  int64_t took;
};
/** @return a connection, -1 if it is refused. */
int rig_connect (uint16_t port);
/** @return whether the host has closed a connection on which no answer is due.
 */
bool rig_is_closed (int fd);
/** Sends a request on an open connection, which stays open. */
void rig_call_on (struct rig_answer *out, int fd, const char *method,
                  const char *path, const char *body, int64_t patience);
/** Sends a request on a new connection, and waits for the answer or for
 * @p patience ms, whichever is first; then it closes the connection. */
void rig_call (struct rig_answer *out, uint16_t port, const char *method,
               const char *path, const char *body, int64_t patience);

#endif
