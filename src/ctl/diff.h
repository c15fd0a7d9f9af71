/**
 * @file diff.h
 * Difference between two sets of rules.
 */
#ifndef SNIPE_CTL_DIFF_H
#define SNIPE_CTL_DIFF_H

#include <jansson.h>
#include "snipe/rules.h"

/**
 * Compares two sets by the key of each line: verb, team and kind of task.
 * Order, blanks and comment lines do not count, since they change no
 * decision.
 * @return an array of {"change":"added|removed|changed","line":N,"old":..,
 * "new":..}: removed lines first, then the others in the order of @p after;
 * "line" is the line in @p after, of a removed one in @p before. New
 * reference.
 */
json_t *snipe_rules_diff (const struct snipe_rules *before,
                          const struct snipe_rules *after);

#endif
