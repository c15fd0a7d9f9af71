/**
 * @file starts.h
 * Counts of starts over all endpoints of the stand-in: per task id, which
 * judges whether a task was started twice, and per team, which judges quotas.
 * Thread-safe.
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
/** Counts over the tasks "<job>/<index>". */
void starts_of_job (struct starts *starts, const char *job, uint64_t *tasks,
                    uint64_t *count);
uint64_t starts_total (struct starts *starts);
/** @return number of task ids started more than once. */
uint64_t starts_duplicate (struct starts *starts);
/** Counts a running task of the team. @return for starts_leave (). */
struct starts_team *starts_enter (struct starts *starts, const char *team);
void starts_leave (struct starts *starts, struct starts_team *team);
/** @return {team: largest number of tasks running at one time}. */
json_t *starts_max_running (struct starts *starts);
/** Forgets the past; running tasks stay counted as running. */
void starts_reset (struct starts *starts);

#endif
