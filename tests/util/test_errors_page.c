#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "snipe/status.h"
#include "suite.h"

#define HEADING "| code | name | meaning |\n| --- | --- | --- |\n"

/* @return the text of docs/errors.md from its table on, "" if there is none.
 * The path is relative to this file. */
static char *
read_table (void)
{
  char *dir = g_path_get_dirname (__FILE__);
  char *path = g_build_filename (dir, "..", "..", "docs", "errors.md", NULL);
  char *text = NULL;
  const char *table = NULL;
  char *copy;

  if (g_file_get_contents (path, &text, NULL, NULL) && text != NULL)
    table = strstr (text, HEADING);
  else
    g_printerr ("cannot read %s\n", path);
  copy = g_strdup (table == NULL ? "" : table);
  g_free (text);
  g_free (path);
  g_free (dir);
  return copy;
}

/* Guards against a page that lacks a code, lists a removed one, or gives
 * another number, name or meaning than the program. */
static void
test_page_equals_table (void)
{
  GString *expected = g_string_new (HEADING);
  char *table = read_table ();

  for (const struct snipe_status_info *row = snipe_status_table ();
       row->name != NULL; row++)
    g_string_append_printf (expected, "| %d | %s | %s |\n", (int)row->code,
                            row->name, row->meaning);
  if (!g_str_equal (table, expected->str))
    g_printerr ("the table of docs/errors.md should be:\n%s", expected->str);
  CU_ASSERT_STRING_EQUAL (table, expected->str);
  g_string_free (expected, TRUE);
  g_free (table);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "page equals table", test_page_equals_table },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("errors page", tests);
}
