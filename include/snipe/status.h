/**
 * @file status.h
 * Numbered result codes and the last message of the calling thread.
 * docs/errors.md lists every code; a test keeps the two equal.
 */
#ifndef SNIPE_STATUS_H
#define SNIPE_STATUS_H

/** Result codes: 0 is success, every failure is negative. */
enum snipe_status
{
  SNIPE_OK = 0,
  SNIPE_E_INTERNAL = -1,     /**< fault of the program itself */
  SNIPE_E_NOMEM = -2,        /**< out of memory */
  SNIPE_E_INVALID = -10,     /**< malformed or out-of-range input */
  SNIPE_E_TOO_LARGE = -11,   /**< input over a configured size limit */
  SNIPE_E_BAD_ID = -12,      /**< submission id missing or malformed */
  SNIPE_E_ID_REUSED = -13,   /**< id already used with another body */
  SNIPE_E_ID_EXPIRED = -14,  /**< id older than the memory of ids */
  SNIPE_E_NOT_FOUND = -15,   /**< no such item */
  SNIPE_E_CONFLICT = -16,    /**< version changed by someone else */
  SNIPE_E_NO_RULE = -20,     /**< no rule allows the work */
  SNIPE_E_UNFIT = -21,       /**< work fits no endpoint */
  SNIPE_E_OVERLOAD = -22,    /**< queue limit or wait limit reached */
  SNIPE_E_QUOTA = -23,       /**< team has no share of its quota */
  SNIPE_E_CANCELLED = -24,   /**< cancelled by the caller */
  SNIPE_E_DRAINING = -25,    /**< host is leaving */
  SNIPE_E_NOT_READY = -26,   /**< host has no rules yet */
  SNIPE_E_DEADLINE = -27,    /**< job deadline passed */
  SNIPE_E_TASK_FAILED = -30, /**< a task ran and failed */
  SNIPE_E_TASK_LOST = -31,   /**< a task was started, answer lost */
  SNIPE_E_HOME_AWAY = -32,   /**< host that owns the id is unreachable */
  SNIPE_E_ANSWER_GONE = -33, /**< ran, but the answer is not held */
  SNIPE_E_PLATFORM = -40,    /**< platform service unavailable */
  SNIPE_E_UNREACHABLE = -41, /**< connection was never made */
  SNIPE_E_TIMEOUT = -42,     /**< no answer in time, effect unknown */
  SNIPE_E_REFUSED = -43,     /**< endpoint or peer refused */
};

/** One row of the table of result codes. */
struct snipe_status_info
{
  enum snipe_status code;
  const char *name;    /**< symbolic name, "SNIPE_E_INVALID" */
  const char *meaning; /**< one line for operators */
};

/** All rows, ending with a row whose name is NULL. */
const struct snipe_status_info *snipe_status_table (void);

/** @return the symbolic name of @p code, or "SNIPE_E_INTERNAL". */
const char *snipe_status_name (int code);

/**
 * Records a message for the calling thread and returns @p code, so that a
 * failing function can end with `return snipe_status_set (code, ...)`.
 */
int snipe_status_set (int code, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/** @return the last message of this thread, "" if none; valid until the next
 * snipe_status_set () of this thread. */
const char *snipe_status_last (void);

#endif
