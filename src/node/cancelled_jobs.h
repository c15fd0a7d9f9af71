/**
 * @file cancelled_jobs.h
 * The ids of jobs that were cancelled lately, at this host or at another one.
 * A copy of a job's request may arrive at any host seconds after the job was
 * cancelled, and must not be started. The module does no I/O.
 */
#ifndef SNIPE_NODE_CANCELLED_JOBS_H
#define SNIPE_NODE_CANCELLED_JOBS_H

#include <stdbool.h>
#include <stdint.h>
#include "snipe/clock.h"

/** A copy of a request may arrive seconds after the answer, by the users'
 * rules, which set no limit. */
#define SNIPE_CANCELLED_JOBS_RETENTION (60 * SNIPE_S)
/** 270 cancellations a second in the whole fleet. An entry takes some 150
 * bytes, 2.5 MB in all. */
#define SNIPE_CANCELLED_JOBS_MAX 16384

struct snipe_cancelled_jobs;

struct snipe_cancelled_jobs *snipe_cancelled_jobs_new (void);
void snipe_cancelled_jobs_free (struct snipe_cancelled_jobs *jobs);

/**
 * Remembers a job for SNIPE_CANCELLED_JOBS_RETENTION. If there are too many,
 * the oldest one is dropped, which is logged.
 * @param own whether the caller cancelled it at this host, which then has to
 *   tell the others. If not, a job that is remembered already keeps its time,
 *   so that hosts do not renew each other's entries.
 */
void snipe_cancelled_jobs_add (struct snipe_cancelled_jobs *jobs,
                               const char *id, bool own, snipe_time now);
/** @return whether the job is remembered as cancelled. */
bool snipe_cancelled_jobs_contains (const struct snipe_cancelled_jobs *jobs,
                                    const char *id, snipe_time now);
/** Calls @p visit for each remembered job that was cancelled at this host
 * within @p age. */
void snipe_cancelled_jobs_each_own (const struct snipe_cancelled_jobs *jobs,
                                    snipe_time age,
                                    void (*visit) (void *ctx, const char *id),
                                    void *ctx, snipe_time now);
/** Forgets the jobs whose time is over. */
void snipe_cancelled_jobs_expire (struct snipe_cancelled_jobs *jobs,
                                  snipe_time now);
/** @return the number of jobs that are remembered. */
uint32_t snipe_cancelled_jobs_count (const struct snipe_cancelled_jobs *jobs);
/** @return how many jobs were dropped before their time was over. */
uint64_t
snipe_cancelled_jobs_dropped (const struct snipe_cancelled_jobs *jobs);

#endif
