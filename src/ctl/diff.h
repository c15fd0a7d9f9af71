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
 * Order, blanks and comment lines are ignored, since no decision depends on
 * them.
 * @return an array of {"change":"added|removed|changed","line":N,"old":..,
 * "new":..}: removed lines come first, then the others in the order of @p
 * after; "line" is the line number in @p after, for a removed line that in @p
 * before. New reference.
 */
json_t *snipe_rules_diff (const struct snipe_rules *before,
                          const struct snipe_rules *after);

#endif
