/**
 * @file standin.h
 * Stand-ins for the platform's store and its workers, on loopback, with a
 * thread for each connection.
 */
#ifndef TESTS_SOAK_STANDIN_H
#define TESTS_SOAK_STANDIN_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* The store. */
struct store;
struct store *store_new (void);
uint16_t store_port (const struct store *store);
/** Writes or (with @p value NULL) drops a row, as the operator or a worker. */
void store_put (struct store *store, const char *table, const char *key,
                const json_t *value);
/** @param http answer to every call, 0: serve */
void store_refuse (struct store *store, int http);
/** Performs the next writes without an answer. */
void store_lose_answers (struct store *store, int count);
/** Delay of every answer. */
void store_slow (struct store *store, unsigned int ms);
/** Drops the history, so that calls that follow a table get 410. */
void store_compact (struct store *store);

/* A worker; it lists itself under the address @p listed. */
struct worker;
struct worker *worker_new (struct store *store, const char *id,
                           const char *domain, int64_t cpu, double slowness);
uint16_t worker_port (const struct worker *worker);
void worker_list (struct worker *worker, const char *address);
/** A new life under the same id: everything that ran is gone. */
void worker_restart (struct worker *worker);
void worker_drain (struct worker *worker, bool drain);
/** Every task fails at once, or (false) as it should. */
void worker_fail (struct worker *worker, bool fail);
/** Carries orders out, but gives no answer to a part of them. */
void worker_mute (struct worker *worker, double share);
/** Lets time pass; called every few milliseconds. */
void worker_pass (struct worker *worker);

#endif
