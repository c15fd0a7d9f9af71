/**
 * @file judge.h
 * Checks the promises of the pages from what callers and endpoints see.
 * Thread-safe.
 */
#ifndef TESTS_SOAK_JUDGE_H
#define TESTS_SOAK_JUDGE_H

#include <stdbool.h>
#include <stdint.h>

void judge_init (void);
/** A promise was broken. Printed at once with the time. */
void judge_broken (const char *rule, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
int judge_broken_count (void);

/** A caller is about to send a job of @p count tasks. */
void judge_sent (const char *job, uint32_t count);
/** The attempt has ended. @param http 0: no answer */
void judge_answered (const char *job, int http, bool completed);
/** An endpoint begins a task. */
void judge_started (const char *endpoint, const char *task, const char *spec,
                    int64_t used_cpu, int64_t capacity_cpu,
                    int64_t leaving_for_ms);
/** A run has ended at an endpoint. @param done it ran to its end */
void judge_ended (const char *endpoint, const char *task, bool done);
/** All attempts have ended: checks what only shows then. */
void judge_finish (void);

struct judge_totals
{
  uint32_t jobs;
  uint32_t completed;
  uint32_t refused;
  uint32_t failed;
  uint32_t starts;
};
struct judge_totals judge_totals (void);
/** Forgets the totals, e.g. to count what is served after the last fault. */
void judge_reset_totals (void);

#endif
