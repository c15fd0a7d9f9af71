/* Guards against reporting a killed process as ended while its threads still
   accept connections: tasks that a test sends to such a host then end with an
   unknown outcome. */

#include "process/process.h"

#include <CUnit/Basic.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

#include "suite.h"

#define POLL_INTERVAL_US 10000
#define POLL_COUNT_MAX 500

enum child
{
  CHILD_RUNS,
  CHILD_MAIN_THREAD_EXITED,
  CHILD_KILLED,
  CHILD_REAPED,
};

static const struct
{
  const char *name;
  enum child child;
  bool ended;
} cases[] = {
  { "runs", CHILD_RUNS, false },
  { "main thread is a zombie, another runs", CHILD_MAIN_THREAD_EXITED, false },
  { "killed, not reaped", CHILD_KILLED, true },
  { "killed and reaped", CHILD_REAPED, true },
};

static void *
pause_forever (void *unused)
{
  for (;;)
    pause ();
  return unused;
}

static pid_t
start_child (enum child child)
{
  pid_t pid = fork ();
  pthread_t thread;

  if (pid != 0)
    return pid;
  if (pthread_create (&thread, NULL, pause_forever, NULL) != 0)
    _exit (1);
  if (child == CHILD_MAIN_THREAD_EXITED)
    pthread_exit (NULL);
  (void)pause_forever (NULL);
  return 0;
}

/** Waits until the main thread of a process is in state @p wanted. */
static bool
wait_for_state (pid_t pid, char wanted)
{
  char path[64];
  char state = 0;

  (void)snprintf (path, sizeof path, "/proc/%d/stat", (int)pid);
  for (int i = 0; i < POLL_COUNT_MAX && state != wanted; i++)
    {
      FILE *file = fopen (path, "r");

      if (file != NULL)
        {
          if (fscanf (file, "%*d %*s %c", &state) != 1)
            state = 0;
          (void)fclose (file);
        }
      if (state != wanted)
        usleep (POLL_INTERVAL_US);
    }
  return state == wanted;
}

static bool
wait_for_end (pid_t pid)
{
  for (int i = 0; i < POLL_COUNT_MAX && !process_ended (pid); i++)
    usleep (POLL_INTERVAL_US);
  return process_ended (pid);
}

static void
test_ended (void)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      pid_t pid = start_child (cases[i].child);

      CU_ASSERT_TRUE_FATAL (pid > 0);
      switch (cases[i].child)
        {
        case CHILD_RUNS:
          break;
        case CHILD_MAIN_THREAD_EXITED:
          CU_ASSERT_TRUE (wait_for_state (pid, 'Z'));
          break;
        case CHILD_KILLED:
        case CHILD_REAPED:
          CU_ASSERT_EQUAL (kill (pid, SIGKILL), 0);
          break;
        }
      if (cases[i].child == CHILD_REAPED)
        CU_ASSERT_EQUAL (waitpid (pid, NULL, 0), pid);
      CU_ASSERT_EQUAL (cases[i].ended ? wait_for_end (pid)
                                      : process_ended (pid),
                       cases[i].ended);
      if (cases[i].child != CHILD_REAPED)
        {
          (void)kill (pid, SIGKILL);
          CU_ASSERT_EQUAL (waitpid (pid, NULL, 0), pid);
        }
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "a process has ended when all its threads have", test_ended },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("process", tests);
}
