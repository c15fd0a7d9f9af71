/**
 * @file starts.h
 * Counts of task starts over all endpoints of the stand-in: per task id, to
 * detect a task that was started twice, and running tasks per team, to check
 * quotas. Thread-safe.
 */
#ifndef STANDINS_STARTS_H
#define STANDINS_STARTS_H

#include <jansson.h>
#include <stdint.h>

struct starts;
struct starts_team;

struct starts *starts_new (void);
void starts_free (struct starts *starts);
void starts_add (struct starts *starts, const char *task);
uint64_t starts_of_task (struct starts *starts, const char *task);
/** Counts the started tasks "<job>/<index>" and their starts. */
void starts_of_job (struct starts *starts, const char *job, uint64_t *tasks,
                    uint64_t *count);
uint64_t starts_total (struct starts *starts);
/** @return number of task ids that were started more than once. */
uint64_t starts_duplicate_count (struct starts *starts);
/** Counts a task as running for its team.
 * @return the team, for starts_end_run (). */
struct starts_team *starts_begin_run (struct starts *starts, const char *team);
void starts_end_run (struct starts *starts, struct starts_team *team);
/** @return {team: most tasks that ran at one time}. */
json_t *starts_max_running (struct starts *starts);
/** Sets all counts to 0, except those of running tasks; the maxima restart
 * from these. */
void starts_reset (struct starts *starts);

#endif
