/**
 * @file finding.h
 * Findings of a check of a configuration, each printed as one line: kind,
 * entry, reason.
 */
#ifndef SNIPE_UTIL_FINDING_H
#define SNIPE_UTIL_FINDING_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

enum snipe_finding_kind
{
  SNIPE_FINDING_ERROR,     /**< rejected by the hosts, or read differently */
  SNIPE_FINDING_NO_EFFECT, /**< never matches, or changes nothing */
  SNIPE_FINDING_CONFLICT,  /**< contradicts another value */
  SNIPE_FINDING_CHANGE,    /**< differs from the version in force */
};

struct snipe_finding
{
  enum snipe_finding_kind kind;
  char *entry;
  char *reason;
};

/** @return an empty list of struct snipe_finding, which owns them. */
GPtrArray *snipe_findings_new (void);
/** Appends a finding. Control characters, which would break the line, become
 * blanks. */
void snipe_findings_add (GPtrArray *findings, enum snipe_finding_kind kind,
                         const char *entry, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
/** @return the number of findings of a kind. */
guint snipe_findings_count (const GPtrArray *findings,
                            enum snipe_finding_kind kind);
/** @return "error", "no-effect", "conflict" or "change". */
const char *snipe_finding_kind_name (enum snipe_finding_kind kind);
/** Prints a line "KIND: ENTRY: REASON" for each finding. */
void snipe_findings_print (const GPtrArray *findings, FILE *out);

#endif
