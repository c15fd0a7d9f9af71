/* Guards against a killed host that a test takes for ended while its threads
   still accept connections: work sent to it then ends "unknown". */

#include "process/process.h"

#include <CUnit/Basic.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

#include "suite.h"

#define SETTLE_US 10000
#define SETTLE_TRIES 500

enum child
{
  CHILD_RUNS,
  CHILD_FIRST_THREAD_GONE,
  CHILD_KILLED,
  CHILD_WAITED_FOR,
};

static const struct
{
  const char *name;
  enum child child;
  bool ended;
} cases[] = {
  { "runs", CHILD_RUNS, false },
  { "first thread is a zombie, another runs", CHILD_FIRST_THREAD_GONE, false },
  { "killed, not waited for", CHILD_KILLED, true },
  { "killed and waited for", CHILD_WAITED_FOR, true },
};

static void *
wait_for_ever (void *unused)
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
  if (pthread_create (&thread, NULL, wait_for_ever, NULL) != 0)
    _exit (1);
  if (child == CHILD_FIRST_THREAD_GONE)
    pthread_exit (NULL);
  (void)wait_for_ever (NULL);
  return 0;
}

/** Waits until the first thread of a process is in a state. */
static bool
wait_for_state (pid_t pid, char wanted)
{
  char path[64];
  char state = 0;

  (void)snprintf (path, sizeof path, "/proc/%d/stat", (int)pid);
  for (int i = 0; i < SETTLE_TRIES && state != wanted; i++)
    {
      FILE *file = fopen (path, "r");

      if (file != NULL)
        {
          if (fscanf (file, "%*d %*s %c", &state) != 1)
            state = 0;
          (void)fclose (file);
        }
      if (state != wanted)
        usleep (SETTLE_US);
    }
  return state == wanted;
}

static bool
wait_for_end (pid_t pid)
{
  for (int i = 0; i < SETTLE_TRIES && !process_ended (pid); i++)
    usleep (SETTLE_US);
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
        case CHILD_FIRST_THREAD_GONE:
          CU_ASSERT_TRUE (wait_for_state (pid, 'Z'));
          break;
        case CHILD_KILLED:
        case CHILD_WAITED_FOR:
          CU_ASSERT_EQUAL (kill (pid, SIGKILL), 0);
          break;
        }
      if (cases[i].child == CHILD_WAITED_FOR)
        CU_ASSERT_EQUAL (waitpid (pid, NULL, 0), pid);
      CU_ASSERT_EQUAL (cases[i].ended ? wait_for_end (pid)
                                      : process_ended (pid),
                       cases[i].ended);
      if (cases[i].child != CHILD_WAITED_FOR)
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
