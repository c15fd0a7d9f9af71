/**
 * @file fakes.h
 * Fakes of the platform's store and its endpoints, on loopback, with a thread
 * for each connection.
 */
#ifndef TESTS_SOAK_FAKES_H
#define TESTS_SOAK_FAKES_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct fake_store;
struct fake_store *fake_store_new (void);
uint16_t fake_store_port (const struct fake_store *store);
/** Writes or (@p value NULL) deletes a row, as an operator or an endpoint
 *  does. */
void fake_store_put (struct fake_store *store, const char *table,
                     const char *key, const json_t *value);
/** @param status HTTP status of every answer, 0: serve requests */
void fake_store_set_error (struct fake_store *store, int status);
/** Performs the next @p count writes, but sends no answer to them. */
void fake_store_drop_answers (struct fake_store *store, int count);
/** Delays every answer. */
void fake_store_set_delay (struct fake_store *store, unsigned int ms);
/** Discards the history: feeds that continue at an earlier version get 410. */
void fake_store_compact (struct fake_store *store);

struct fake_endpoint;
struct fake_endpoint *fake_endpoint_new (struct fake_store *store,
                                         const char *id, const char *domain,
                                         int64_t cpu_millicores,
                                         double slowdown);
uint16_t fake_endpoint_port (const struct fake_endpoint *endpoint);
/** Writes the endpoint to the store's list, under @p address. */
void fake_endpoint_list (struct fake_endpoint *endpoint, const char *address);
/** Restarts under the same id: the runs and the ended runs are lost, and the
 *  start time and the clock change. */
void fake_endpoint_restart (struct fake_endpoint *endpoint);
/** Changes the capacity to a share of the full one while it runs. */
void fake_endpoint_resize (struct fake_endpoint *endpoint, double share);
void fake_endpoint_drain (struct fake_endpoint *endpoint, bool drain);
/** Sets whether every new run fails at once. */
void fake_endpoint_fail (struct fake_endpoint *endpoint, bool fail);
/** Executes requests, but sends no answer to a @p share of them. */
void fake_endpoint_drop_answers (struct fake_endpoint *endpoint, double share);
/** Carries out a @p share of the stop requests, and a quarter as many of the
 *  starts, seconds later and without an answer. */
void fake_endpoint_delay_stops (struct fake_endpoint *endpoint, double share);
/** Ends runs whose time or lease is over and renews the entry in the list; to
 *  be called every few milliseconds. */
void fake_endpoint_tick (struct fake_endpoint *endpoint);

#endif
