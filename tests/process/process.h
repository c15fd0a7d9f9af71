/** State of other processes, read from /proc. */
#ifndef TESTS_PROCESS_PROCESS_H
#define TESTS_PROCESS_PROCESS_H

#include <stdbool.h>
#include <sys/types.h>

/** @return whether a process has ended with all its threads, so that its
 * sockets are closed; its parent need not have waited for it. */
bool process_ended (pid_t pid);

#endif
