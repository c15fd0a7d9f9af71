/**
 * @file status.h
 * Result codes and the last error message of the calling thread.
 * docs/errors.md lists every code; a test checks that the two agree.
 */
#ifndef SNIPE_STATUS_H
#define SNIPE_STATUS_H

/** Result codes: 0 is success, every failure is negative. */
enum snipe_status
{
  SNIPE_OK = 0,
  SNIPE_E_INTERNAL = -1,     /**< internal error, a bug */
  SNIPE_E_NOMEM = -2,        /**< out of memory */
  SNIPE_E_INVALID = -10,     /**< malformed or out-of-range input */
  SNIPE_E_TOO_LARGE = -11,   /**< input over a configured size limit */
  SNIPE_E_BAD_ID = -12,      /**< submission id missing or malformed */
  SNIPE_E_ID_REUSED = -13,   /**< id already used with another body */
  SNIPE_E_ID_EXPIRED = -14,  /**< id older than the id retention */
  SNIPE_E_NOT_FOUND = -15,   /**< no such item */
  SNIPE_E_CONFLICT = -16,    /**< version changed concurrently */
  SNIPE_E_NO_RULE = -20,     /**< no rule allows the job */
  SNIPE_E_UNFIT = -21,       /**< no endpoint can run a task of the job */
  SNIPE_E_OVERLOAD = -22,    /**< queue limit or wait limit reached */
  SNIPE_E_QUOTA = -23,       /**< no quota allocated to the team here */
  SNIPE_E_CANCELLED = -24,   /**< cancelled by the caller */
  SNIPE_E_DRAINING = -25,    /**< host is leaving the group */
  SNIPE_E_NOT_READY = -26,   /**< host has not loaded rules yet */
  SNIPE_E_DEADLINE = -27,    /**< job deadline passed */
  SNIPE_E_TASK_FAILED = -30, /**< a task ran and failed */
  SNIPE_E_TASK_LOST = -31,   /**< a task started, its outcome is unknown */
  SNIPE_E_HOME_AWAY = -32,   /**< coordinator of the id is unreachable */
  SNIPE_E_ANSWER_GONE = -33,
  SNIPE_E_TASK_CRASHED = -34, /**< job ran, its result is no longer kept */
  SNIPE_E_PLATFORM = -40,     /**< platform service unavailable */
  SNIPE_E_UNREACHABLE = -41,  /**< connection not established */
  SNIPE_E_TIMEOUT = -42,      /**< no response in time, effect unknown */
  SNIPE_E_REFUSED = -43,      /**< endpoint or peer rejected the request */
  SNIPE_E_HOLD_EXPIRED = -44, /**< room for a batch was kept for too long */
  SNIPE_E_DISPLACED = -45,    /**< a batch gave way to a more urgent one */
};

/** Entry of the table of result codes. */
struct snipe_status_info
{
  enum snipe_status code;
  const char *name;    /**< symbolic name, "SNIPE_E_INVALID" */
  const char *meaning; /**< one line for operators */
};

/** @return all entries, terminated by one whose name is NULL. */
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
