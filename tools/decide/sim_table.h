/**
 * @file sim_table.h
 * Comparison of the policies with the clairvoyant schedules at several loads.
 */
#ifndef DECIDE_SIM_TABLE_H
#define DECIDE_SIM_TABLE_H

#include "params.h"

/** Prints a row for each load and schedule. */
void sim_table (const struct params *params);

#endif
