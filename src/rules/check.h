/**
 * @file check.h
 * Finds rules of a valid set that can never match and rules that contradict
 * each other.
 */
#ifndef SNIPE_RULES_CHECK_H
#define SNIPE_RULES_CHECK_H

#include <glib.h>
#include "snipe/rules.h"

/** Appends the findings to @p findings, in the order of the lines. The entry
 * of each is "line N, VERB team=TEAM".
 * @param findings see util/finding.h */
void snipe_rules_check (GPtrArray *findings, const struct snipe_rules *rules);

#endif
