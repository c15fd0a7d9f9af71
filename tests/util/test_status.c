#include <CUnit/Basic.h>
#include <string.h>

#include "snipe/status.h"
#include "snipe/str.h"
#include "suite.h"

/* Guards against two entries for one code, and an entry without a meaning. */
static void
test_table_is_unique (void)
{
  const struct snipe_status_info *table = snipe_status_table ();

  for (int i = 0; table[i].name != NULL; i++)
    {
      CU_ASSERT_STRING_EQUAL (snipe_status_name (table[i].code),
                              table[i].name);
      CU_ASSERT_TRUE (strlen (table[i].meaning) > 0);
    }
}

/* Guards against comparing strings only up to their first NUL instead of by
 * their length. */
static void
test_str_counts_length (void)
{
  struct snipe_str a = SNIPE_STR_INIT;
  struct snipe_str b = SNIPE_STR_INIT;

  CU_ASSERT_EQUAL (snipe_str_set (&a, "ab\0c", 4), SNIPE_OK);
  CU_ASSERT_EQUAL (snipe_str_set (&b, "ab\0d", 4), SNIPE_OK);
  CU_ASSERT_FALSE (snipe_str_equal (&a, &b));
  CU_ASSERT_FALSE (snipe_str_equal_c (&a, "ab"));
  snipe_str_clear (&a);
  CU_ASSERT_TRUE (snipe_str_equal_c (&a, ""));
  snipe_str_clear (&b);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "status table is unique", test_table_is_unique },
    { "strings compare by length", test_str_counts_length },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("util", tests);
}
