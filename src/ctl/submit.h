/**
 * @file submit.h
 * Requests of a caller to the entry hosts, as the command snipe makes them.
 */
#ifndef SNIPE_CTL_SUBMIT_H
#define SNIPE_CTL_SUBMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/** Exit codes of snipe. */
enum snipe_submit_exit
{
  SNIPE_SUBMIT_COMPLETE = 0,
  SNIPE_SUBMIT_FAILED = 1, /**< get and cancel: no host answered */
  SNIPE_SUBMIT_USAGE = 2,
  SNIPE_SUBMIT_NOT_RUN = 10,
  SNIPE_SUBMIT_UNKNOWN = 11,
  SNIPE_SUBMIT_RUNNING = 12, /**< still running when the wait ended */
};

/** Settings and streams of the requests. */
struct snipe_submit
{
  char **hosts; /**< "ip:port", NULL-terminated, at least one */
  uint32_t host_count;
  uint32_t retries;   /**< after the first attempt */
  int64_t wait_ms;    /**< for the answer, over all attempts */
  int64_t timeout_ms; /**< of one request, beyond the wait it asks for */
  FILE *out;          /**< answers */
  FILE *err;          /**< ids and progress */
};

/** Size of the text of a UUID with its NUL. */
#define SNIPE_UUID_BYTES 37

/** Generates a UUID version 7 (RFC 9562).
 * @param wall_ms milliseconds since 1970
 * @return 0 or SNIPE_E_INTERNAL */
int snipe_uuid_make (char out[SNIPE_UUID_BYTES], int64_t wall_ms);

/**
 * Submits a job and prints its answer. After a lost connection the job is
 * submitted again under the same id, at the next host.
 * @param id NULL: requested from a host
 * @param id_is_new @p id has not been used before
 * @return enum snipe_submit_exit
 */
int snipe_submit_job (const struct snipe_submit *submit, const char *id,
                      bool id_is_new, const char *body, size_t len);
/** Prints the answer of a job without submitting it. */
int snipe_submit_get (const struct snipe_submit *submit, const char *id);
/** Cancels jobs and prints the reply. @return 0 if a host accepted the
 * request, else SNIPE_SUBMIT_FAILED. */
int snipe_submit_cancel (const struct snipe_submit *submit,
                         const char *const *ids, uint32_t count);

#endif
