#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "snipe/job.h"
#include "snipe/status.h"
#include "suite.h"

struct id_case
{
  const char *name; /**< failure that the case guards against */
  const char *text;
  int status;
  enum snipe_id_kind kind;
  uint64_t value; /**< incarnation, or wall-clock time in ms */
};

static const struct id_case cases[] = {
  { "issued id refused", "s-00000000000000ff-0000000a", SNIPE_OK,
    SNIPE_ID_ISSUED, 0xff },
  { "case of digits tells ids apart", "s-00000000000000FF-0000000A", SNIPE_OK,
    SNIPE_ID_ISSUED, 0xff },
  { "UUID version 7 refused", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", SNIPE_OK,
    SNIPE_ID_CALLER_SUPPLIED, 0x017f22e279b0 },
  { "UUID version 4 has no time", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
    SNIPE_E_BAD_ID, SNIPE_ID_CALLER_SUPPLIED, 0 },
  { "short sequence", "s-00000000000000ff-0000000", SNIPE_E_BAD_ID,
    SNIPE_ID_ISSUED, 0 },
  { "text after an id", "s-00000000000000ff-0000000a0", SNIPE_E_BAD_ID,
    SNIPE_ID_ISSUED, 0 },
  { "letters in hex", "s-00000000000000fg-0000000a", SNIPE_E_BAD_ID,
    SNIPE_ID_ISSUED, 0 },
  { "missing dash", "s-00000000000000ff00000000a", SNIPE_E_BAD_ID,
    SNIPE_ID_ISSUED, 0 },
  { "empty", "", SNIPE_E_BAD_ID, SNIPE_ID_ISSUED, 0 },
  { "prefix only", "s-", SNIPE_E_BAD_ID, SNIPE_ID_ISSUED, 0 },
};

static void
test_parse (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct id_case *c = &cases[i];
      struct snipe_id id;
      uint64_t value;

      if (snipe_id_parse (&id, c->text) != c->status)
        {
          CU_FAIL (c->name);
          continue;
        }
      if (c->status != SNIPE_OK)
        continue;
      value = id.kind == SNIPE_ID_ISSUED
                  ? id.u.issued.incarnation
                  : (uint64_t)id.u.caller_supplied.created_ms;
      if (id.kind != c->kind || value != c->value
          || g_ascii_strcasecmp (id.text, c->text) != 0)
        CU_FAIL (c->name);
      /* The text is the lookup key of stored records, so it must have one
       * canonical form. */
      for (const char *t = id.text; *t != '\0'; t++)
        CU_ASSERT_FALSE (g_ascii_isupper (*t));
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "ids", test_parse },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("id", tests);
}
