/** Runs one CUnit suite as a test program. */
#ifndef TESTS_SUITE_H
#define TESTS_SUITE_H

#include <CUnit/Basic.h>
#include <stdlib.h>

/** @return EXIT_SUCCESS if every test passed. */
static inline int
suite_run (const char *name, CU_TestInfo *tests)
{
  CU_SuiteInfo suites[] = {
    { name, NULL, NULL, NULL, NULL, tests },
    CU_SUITE_INFO_NULL,
  };
  unsigned int failures;

  if (CU_initialize_registry () != CUE_SUCCESS
      || CU_register_suites (suites) != CUE_SUCCESS)
    return EXIT_FAILURE;
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
