/**
 * @file stand.h
 * A small deployment for the cases of this review: snipelb-platform as seven
 * separate processes in four zones, the project's own stand-ins of the store
 * and the workers, proxies between the hosts, and clients. Everything that is
 * sent, answered and run is written to a record.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  STAND_HOSTS = 7,
  STAND_CATANIA_1 = 0,
  STAND_PALERMO_1 = 2,
  STAND_SIRACUSA_1 = 4,
  STAND_ENNA_1 = 6,
  STAND_RULE_HELD = 0,
  STAND_RULE_BROKEN = 1,
  STAND_NOT_RUN = 2,
};

/** Values of the site's bounds, as the deploy file passes them on. */
#define STAND_CANCEL_MS 3000
#define STAND_CONTACT_MS 3000
#define STAND_HEARTBEAT_MS 1500

struct stand_options
{
  const char *program;  /**< snipelb-platform */
  const char *folder;   /**< for the record and the logs of the hosts */
  int workers_per_zone; /**< each with 64 cores */
  int64_t slo_ms;       /**< of the only queue */
  bool cuts;            /**< hosts reach each other through proxies */
  bool store_proxy;     /**< edge-enna-1 reaches the store through a proxy */
  /** What is sent to a host in a cut is lost, and so are its connections; all
   *  hosts reach the store through proxies. */
  bool cuts_lose;
};

/** What a client saw of a request. */
struct stand_answer
{
  int status; /**< 0: none */
  char body[256];
  int64_t sent_ms;
  int64_t ended_ms;
};

/** A request that a client has sent and that may still be unanswered. */
struct stand_request;

/** Starts all hosts for the first time and waits for as long as the site does
 *  before its traffic starts. @return false if a host does not become ready */
bool stand_start (const struct stand_options *options);
/** Ends all hosts. */
void stand_end (void);
/** @return the time since the start of the script. */
int64_t stand_ms (void);
void stand_sleep_until (int64_t ms);
/** Writes a line with the time to the record. */
void stand_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/** Whether the disruption is wanted: the variable TROUBLE is not 0. */
bool stand_wants_trouble (void);

void stand_host_kill (int host);
/** Starts a host again, with the same settings. */
void stand_host_restart (int host);
/** Cuts one host off from all other hosts, silently, or ends the cut. */
void stand_host_cut (int host, bool cut);

/** Cuts one host off from the store, silently, or ends that. */
void stand_store_cut (int host, bool cut);
/** Resets all connections of edge-enna-1 to the store, or ends that. */
void stand_store_turn_away (bool away);
/** Adds a worker to a zone. */
void stand_worker_add (const char *zone);
/** Changes the capacity of a zone's first worker, which reports it. */
void stand_worker_resize (const char *zone, double share);
/** @return the number of starts that brought a worker over its capacity. One
 *  that has shrunk counts contact_ms and a heartbeat later. */
int stand_starts_over_capacity (void);

/** @return the body of a best-effort job of one step.
 *  @param extra further fields of the step, starting with a comma, or "" */
char *stand_job (int count, int cpu, int duration_ms, const char *extra);
/** Sends a request for a job of the queue on a connection of its own.
 *  @param body NULL: none */
struct stand_request *stand_send (int host, const char *method,
                                  const char *job, const char *body,
                                  int deadline_ms);
/** Waits for the answer and frees the request. */
struct stand_answer stand_wait (struct stand_request *request);

/** @return how many tasks of the job workers have started from a time on. */
int stand_count_starts (const char *job, int64_t from_ms);
/** @return how many times two runs of one task overlapped by 20 ms or more. */
int stand_count_twice (void);
/** @return the most tasks of the job that ran on one worker at a time. */
int stand_most_on_one_worker (const char *job);

#endif
