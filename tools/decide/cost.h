/**
 * @file cost.h
 * The cost of a scheduling decision, in time and memory.
 */
#ifndef DECIDE_COST_H
#define DECIDE_COST_H

#include "params.h"

/** Prints a row for each combination of endpoints, teams and queued tasks. */
void cost_table (const struct params *params);

#endif
