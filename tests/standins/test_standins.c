/* Tests the stand-ins on which the checks of the fault tests rely: with a
 * table that let two hosts claim one id, or a counter that missed a second
 * start, a faulty daemon would pass. */
#include "suite.h"
#include <jansson.h>
#include <string.h>
#include "standins/starts.h"
#include "standins/table.h"

struct txn_case
{
  const char *name;
  const char *txn;
  unsigned int status;
  const char *row_a; /**< row "a" after the transaction, NULL if absent */
};

/* Applied to one table in this order. */
static const struct txn_case txn_cases[] = {
  { "insert if absent",
    "{'if':[{'key':'a','version':0}],'put':[{'key':'a','value':1}]}", 200,
    "{'key':'a','version':1,'value':1}" },
  { "second insert conflicts",
    "{'if':[{'key':'a','version':0}],'put':[{'key':'a','value':2}]}", 409,
    "{'key':'a','version':1,'value':1}" },
  { "one failed condition rejects the transaction",
    "{'if':[{'key':'a','version':1},{'key':'b','version':9}],"
    "'put':[{'key':'a','value':3}],'delete':['a']}",
    409, "{'key':'a','version':1,'value':1}" },
  { "malformed transaction has no effect",
    "{'put':[{'key':'a','value':4},{'key':'b'}]}", 400,
    "{'key':'a','version':1,'value':1}" },
  { "update at the expected version",
    "{'if':[{'key':'a','version':1}],"
    "'put':[{'key':'a','value':5},{'key':'ab','value':null}]}",
    200, "{'key':'a','version':2,'value':5}" },
  { "delete", "{'if':[{'key':'a','version':2}],'delete':['a']}", 200, NULL },
  { "insert after delete gets a new version",
    "{'if':[{'key':'a','version':0}],'put':[{'key':'a','value':6}]}", 200,
    "{'key':'a','version':4,'value':6}" },
};

static json_t *
parse (const char *text)
{
  char *copy = strdup (text);
  for (char *at = copy; *at; at++)
    if (*at == '\'')
      *at = '"';
  json_t *value = json_loads (copy, JSON_DECODE_ANY, NULL);
  free (copy);
  return value;
}

static void
check_json (json_t *got, const char *want)
{
  json_t *expected = want ? parse (want) : NULL;
  CU_ASSERT (want ? json_equal (got, expected) : got == NULL);
  json_decref (expected);
  json_decref (got);
}

static void
test_table (void)
{
  struct table *table = table_new ();
  for (size_t i = 0; i < sizeof txn_cases / sizeof txn_cases[0]; i++)
    {
      const struct txn_case *c = &txn_cases[i];
      json_t *txn = parse (c->txn);
      json_t *reply = NULL;
      CU_ASSERT_EQUAL (table_txn (table, txn, &reply), c->status);
      CU_ASSERT_PTR_NOT_NULL (reply);
      json_decref (txn);
      json_decref (reply);
      check_json (table_row (table, "a"), c->row_a);
    }
  check_json (table_range (table, "a", 0, 1),
              "{'rows':[{'key':'a','version':4,'value':6}],'version':4,"
              "'more':true}");
  check_json (table_range (table, "ab", 0, 0),
              "{'rows':[{'key':'ab','version':2,'value':null}],'version':4}");
  check_json (table_range (table, "a", 2, 0),
              "{'rows':[{'key':'a','version':4,'value':6}],'version':4}");
  check_json (table_range (table, "b", 0, 0), "{'rows':[],'version':4}");
  table_free (table);
}

static void
test_starts (void)
{
  struct starts *starts = starts_new ();
  uint64_t tasks;
  uint64_t count;
  starts_add (starts, "j/0");
  starts_add (starts, "j/1");
  starts_add (starts, "j/1");
  starts_add (starts, "j/1");
  starts_add (starts, "j2/0");
  CU_ASSERT_EQUAL (starts_of_task (starts, "j/1"), 3);
  CU_ASSERT_EQUAL (starts_of_task (starts, "j/2"), 0);
  CU_ASSERT_EQUAL (starts_duplicate_count (starts), 1);
  CU_ASSERT_EQUAL (starts_total (starts), 5);
  starts_of_job (starts, "j", &tasks, &count);
  CU_ASSERT_EQUAL (tasks, 2);
  CU_ASSERT_EQUAL (count, 4);
  struct starts_team *first = starts_begin_run (starts, "t");
  struct starts_team *second = starts_begin_run (starts, "t");
  starts_end_run (starts, first);
  starts_reset (starts);
  CU_ASSERT_EQUAL (starts_total (starts), 0);
  /* One task still runs and counts towards the next maximum. */
  starts_begin_run (starts, "t");
  check_json (starts_max_running (starts), "{'t':2}");
  starts_end_run (starts, second);
  starts_free (starts);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "table transactions", test_table },
    { "start counts", test_starts },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("standins", tests);
}
