/**
 * @file job_text.h
 * JSON text of the job that the command snipe submits.
 */
#ifndef SNIPE_CTL_JOB_TEXT_H
#define SNIPE_CTL_JOB_TEXT_H

#include <jansson.h>
#include "snipe/str.h"

/** Parses a task "kind:payload" and appends it to an array of tasks.
 * @return 0 or SNIPE_E_INVALID */
int snipe_job_text_add_task (json_t *tasks, const char *text);
/** Prints a job of @p tasks as JSON. */
int snipe_job_text_make (struct snipe_str *out, const char *team,
                         json_t *tasks);
/**
 * Reads a job from a file, "-" for standard input. The text is unchanged
 * unless @p team is given, which replaces the team in the job.
 * @return 0, SNIPE_E_NOT_FOUND, SNIPE_E_INVALID or SNIPE_E_TOO_LARGE (over
 * 16 MiB).
 */
int snipe_job_text_read (struct snipe_str *out, const char *file,
                         const char *team);

#endif
