/**
 * @file evacuations.h
 * Which failure domains are evacuated, by the newest version of the store that
 * is known of each. Pure.
 */
#ifndef SNIPE_NODE_EVACUATIONS_H
#define SNIPE_NODE_EVACUATIONS_H

#include <stdbool.h>
#include <stdint.h>

struct snipe_evacuations;

/** What is known of a domain. */
struct snipe_evacuation
{
  const char *domain;
  bool evacuated;
  uint64_t version; /**< of the store at which this was so */
};

/** How the state of a domain has changed. */
enum snipe_evacuation_effect
{
  SNIPE_EVACUATION_OLDER,   /**< not newer than what was known: ignored */
  SNIPE_EVACUATION_SAME,    /**< the state is confirmed by a newer version */
  SNIPE_EVACUATION_CHANGED, /**< evacuated or taken back */
};

struct snipe_evacuations *snipe_evacuations_new (void);
void snipe_evacuations_free (struct snipe_evacuations *evacuations);

/** The domain was evacuated, or not, at that version. */
enum snipe_evacuation_effect
snipe_evacuations_set (struct snipe_evacuations *evacuations,
                       const struct snipe_evacuation *evacuation);
/** All domains evacuated at @p version have been set with that version: takes
 * back those that are only known by an older one.
 * @param taken_back called for each of them; its domain is valid during the
 * call */
void snipe_evacuations_synced (
    struct snipe_evacuations *evacuations, uint64_t version,
    void (*taken_back) (void *ctx, const struct snipe_evacuation *evacuation),
    void *ctx);
bool snipe_evacuations_contains (const struct snipe_evacuations *evacuations,
                                 const char *domain);
/** @return the number of domains that are evacuated. */
uint32_t snipe_evacuations_count (const struct snipe_evacuations *evacuations);
/** Calls @p each for every domain that is or was evacuated. */
void snipe_evacuations_each (
    const struct snipe_evacuations *evacuations,
    void (*each) (void *ctx, const struct snipe_evacuation *evacuation),
    void *ctx);

#endif
