#include <CUnit/Basic.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "snipe/rules.h"
#include "snipe/status.h"
#include "suite.h"

#define BY " # asked by Dana Wills"
#define TEXT(s) (s), sizeof (s) - 1

static struct snipe_rules *
parse (const char *text)
{
  struct snipe_rules *rules = NULL;
  int status = snipe_rules_parse (&rules, text, strlen (text), 7);

  if (status != SNIPE_OK)
    g_printerr ("%s\n", snipe_status_last ());
  CU_ASSERT_EQUAL_FATAL (status, SNIPE_OK);
  return rules;
}

/* Guards against rejecting a file that is valid according to the design page.
 */
static void
test_valid_files (void)
{
  static const struct
  {
    const char *text;
    uint32_t lines;
    const char *requester; /* of the last line */
    const char *note;
  } cases[] = {
    { "", 0, "", "" },
    { "\n\n", 0, "", "" },
    { "# only a comment, caf\xc3\xa9\n  \t# another\n", 0, "", "" },
    { "allow team=reorder kind=price-strip domain=perth-east,perth-north   "
      "# asked by Dana Wills, SMP-14\n",
      1, "Dana Wills", "SMP-14" },
    { "limit team=reorder slots=120 # asked by Lee Park", 1, "Lee Park", "" },
    { "\tlimit\tteam=a\tslots=1\t#asked by\tLee Park  ,  a, b  \t\n", 1,
      "Lee Park", "a, b" },
    { "limit team = a slots = 1" BY "\n", 1, "Dana Wills", "" },
    { "limit slots=1000000 team=a" BY ",\n", 1, "Dana Wills", "" },
    { "queue team=a max=0 wait_ms=600000" BY " # two\n", 1, "Dana Wills # two",
      "" },
    { "retry team=3d kind=* max=10" BY "\n", 1, "Dana Wills", "" },
    { "weight team=0x1F value=0001 # asked by Zo\xc3\xab, "
      "r\xc3\xa9sum\xc3\xa9",
      1, "Zo\xc3\xab", "r\xc3\xa9sum\xc3\xa9" },
    { "allow team=a kind=x domain=*" BY "\n"
      "allow team=a kind=* domain=p , q" BY "\n"
      "allow team=b kind=x domain=*" BY "\n"
      "retry team=a kind=x max=1" BY "\n"
      "limit team=a slots=1" BY "\nqueue team=a max=1 wait_ms=1" BY "\n"
      "weight team=a value=2" BY "\n",
      7, "Dana Wills", "" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct snipe_rules *rules = parse (cases[i].text);
      uint32_t count;
      const struct snipe_rule *lines = snipe_rules_lines (rules, &count);

      CU_ASSERT_EQUAL (count, cases[i].lines);
      if (count > 0)
        {
          CU_ASSERT_TRUE (snipe_str_equal_c (&lines[count - 1].requester,
                                             cases[i].requester));
          CU_ASSERT_TRUE (
              snipe_str_equal_c (&lines[count - 1].note, cases[i].note));
        }
      CU_ASSERT_EQUAL (snipe_rules_version (rules), 7);
      CU_ASSERT_TRUE (
          snipe_str_equal_c (snipe_rules_text (rules), cases[i].text));
      snipe_rules_unref (rules);
    }
}

struct invalid_file
{
  const char *text;
  size_t len;
  const char *prefix;    /* of the message */
  const char *substring; /* of the message */
};

static const struct invalid_file invalid_files[] = {
  /* requester */
  { TEXT ("limit team=a slots=1\n"),
    "line 1, column 21:", "names no requester" },
  { TEXT ("limit team=a slots=1  \t\n"), "line 1, column 21:", "asked by" },
  { TEXT ("limit team=a slots=1 # Lee Park\n"),
    "line 1, column 22:", "# Lee Park" },
  { TEXT ("limit team=a slots=1 # asked byLee\n"),
    "line 1, column 22:", "asked byLee" },
  { TEXT ("limit team=a slots=1 # asked by\n"),
    "line 1, column 22:", "requester" },
  { TEXT ("limit team=a slots=1 # asked by , SMP-1\n"),
    "line 1, column 33:", "name of the requester is missing" },
  /* verbs and keys */
  { TEXT ("\n# x\n  alow team=a" BY), "line 3, column 3:", "\"alow\"" },
  { TEXT ("Limit team=a slots=1" BY), "line 1, column 1:", "\"Limit\"" },
  { TEXT ("=" BY), "line 1, column 1:", "\"=\"" },
  { TEXT ("limit team=a slot=1" BY), "line 1, column 14:", "\"slot\"" },
  { TEXT ("limit\tteam=a\tslot=1" BY), "line 1, column 14:", "\"slot\"" },
  { TEXT ("limit team=a kind=b slots=1" BY),
    "line 1, column 14:", "\"kind\"" },
  { TEXT ("limit slots=1" BY), "line 1, column 1:", "\"team\"" },
  { TEXT ("  limit team=a" BY), "line 1, column 3:", "\"slots\"" },
  { TEXT ("queue team=a max=1" BY), "line 1, column 1:", "\"wait_ms\"" },
  { TEXT ("allow team=a kind=b" BY), "line 1, column 1:", "\"domain\"" },
  { TEXT ("allow team=a domain=b" BY), "line 1, column 1:", "\"kind\"" },
  { TEXT ("retry team=a max=1" BY), "line 1, column 1:", "\"kind\"" },
  { TEXT ("weight team=a" BY), "line 1, column 1:", "\"value\"" },
  { TEXT ("limit team=a slots=1 team=b" BY),
    "line 1, column 22:", "repeated key \"team\"" },
  /* syntax */
  { TEXT ("limit team a" BY), "line 1, column 12:", "not \"a\"" },
  { TEXT ("limit team" BY), "line 1, column 11:", "end of the rule" },
  { TEXT ("limit team= # asked by A"),
    "line 1, column 12:", "end of the rule" },
  { TEXT ("limit team==a" BY), "line 1, column 12:", "not \"=\"" },
  { TEXT ("limit team=a, slots=1" BY), "line 1, column 13:", "not \",\"" },
  { TEXT ("limit team=a;slots=1" BY), "line 1, column 13:", "not \";\"" },
  { TEXT ("limit team=\"a\" slots=1" BY), "line 1, column 12:", "not \"\"\"" },
  { TEXT ("limit team=caf\xc3\xa9 slots=1" BY),
    "line 1, column 15:", "not \"\xc3\xa9\"" },
  { TEXT ("allow team=a kind=b domain=c," BY),
    "line 1, column 30:", "a domain" },
  { TEXT ("allow team=a kind=b domain=c,,d" BY),
    "line 1, column 30:", "not \",\"" },
  { TEXT ("allow team=a kind=b,c domain=d" BY),
    "line 1, column 20:", "not \",\"" },
  /* values */
  { TEXT ("limit team=* slots=1" BY), "line 1, column 12:", "\"*\"" },
  { TEXT ("allow team=a kind=b* domain=c" BY),
    "line 1, column 19:", "\"b*\"" },
  { TEXT ("allow team=a kind=b domain=c,*" BY),
    "line 1, column 30:", "\"*\"" },
  { TEXT ("allow team=a kind=b domain=*,c" BY),
    "line 1, column 29:", "\",\"" },
  { TEXT ("allow team=a kind=b domain=c,d,c" BY),
    "line 1, column 32:", "\"c\" is repeated" },
  { TEXT ("limit team=a slots=0" BY),
    "line 1, column 20:", "slots=0 is outside the range 1 to 1000000" },
  { TEXT ("limit team=a slots=1000001" BY),
    "line 1, column 20:", "range 1 to 1000000" },
  { TEXT ("limit team=a slots=4294967297" BY),
    "line 1, column 20:", "range 1 to 1000000" },
  { TEXT ("limit team=a slots=18446744073709551617" BY),
    "line 1, column 20:", "range 1 to 1000000" },
  { TEXT ("limit team=a slots=-1" BY), "line 1, column 20:", "slots=-1" },
  { TEXT ("limit team=a slots=0x10" BY), "line 1, column 20:", "slots=0x10" },
  { TEXT ("limit team=a slots=many" BY), "line 1, column 20:", "slots=many" },
  { TEXT ("queue team=a max=1000001 wait_ms=1" BY),
    "line 1, column 18:", "range 0 to 1000000" },
  { TEXT ("queue team=a max=1 wait_ms=600001" BY),
    "line 1, column 28:", "range 0 to 600000" },
  { TEXT ("retry team=a kind=* max=11" BY),
    "line 1, column 25:", "range 0 to 10" },
  { TEXT ("weight team=a value=0" BY),
    "line 1, column 21:", "range 1 to 1000" },
  { TEXT ("limit team=a2345678901234567890123456789012345678901234567890123456"
          "789012345 slots=1" BY),
    "line 1, column 12:", "range is 1 to 64" },
  /* duplicates and contradictions */
  { TEXT ("allow team=a kind=b domain=c" BY
          "\n\nallow team=a kind=b domain=d" BY),
    "line 3, column 1:", "duplicate of line 1" },
  { TEXT ("retry team=a kind=b max=1" BY "\n retry team=a kind=b max=1" BY),
    "line 2, column 2:", "duplicate of line 1" },
  { TEXT ("limit team=a slots=1" BY "\nlimit team=a slots=2" BY),
    "line 2, column 1:", "contradicts line 1" },
  { TEXT ("queue team=a max=1 wait_ms=1" BY "\nlimit team=a slots=2" BY
          "\nqueue team=a max=1 wait_ms=2" BY),
    "line 3, column 1:", "contradicts line 1" },
  { TEXT ("weight team=a value=1" BY "\nweight team=a value=1" BY),
    "line 2, column 1:", "contradicts line 1" },
  { TEXT ("allow team=a kind=* domain=c" BY
          "\nallow team=a kind=b domain=d" BY),
    "line 2, column 1:", "can never match, line 1" },
  { TEXT ("retry team=a kind=* max=1" BY "\nretry team=a kind=b max=1" BY),
    "line 2, column 1:", "can never match, line 1" },
  /* characters */
  { TEXT ("# caf\xc3\xa9 \xff\n"), "line 1, column 8:", "0xFF" },
  { TEXT ("# cut \xc3"), "line 1, column 7:", "0xC3" },
  { TEXT ("limit team=a slots=1" BY "\r\n"), "line 1, column 43:", "0x0D" },
  { TEXT ("\nlimit team=a\0b slots=1" BY), "line 2, column 13:", "0x00" },
  { TEXT ("# a\x1b[31m\n"), "line 1, column 4:", "0x1B" },
  { TEXT ("# a\x7f\n"), "line 1, column 4:", "0x7F" },
  { TEXT ("# a\xc2\x9b\n"), "line 1, column 4:", "0x9B" },
};

static void
check_rejected (const struct invalid_file *file)
{
  struct snipe_rules *rules = NULL;
  int status = snipe_rules_parse (&rules, file->text, file->len, 0);
  const char *message = snipe_status_last ();

  CU_ASSERT_EQUAL (status, SNIPE_E_INVALID);
  CU_ASSERT_PTR_NULL (rules);
  if (status != SNIPE_E_INVALID || !g_str_has_prefix (message, file->prefix)
      || strstr (message, file->substring) == NULL)
    {
      g_printerr ("expected \"%s ... %s\", got \"%s\"\n", file->prefix,
                  file->substring, message);
      CU_FAIL ("unexpected error message");
    }
  snipe_rules_unref (rules);
}

/* Guards against accepting an invalid file, and against reporting an error at
 * the wrong line or column. */
static void
test_errors (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_files); i++)
    check_rejected (&invalid_files[i]);
}

/* Guards against files without a size limit. A file of exactly the maximum
 * size is valid. */
static void
test_size (void)
{
  GString *text = g_string_new (NULL);
  struct snipe_rules *rules;
  uint32_t count;

  for (int i = 0; i < 10000; i++)
    g_string_append_printf (text, "limit team=t%d slots=1" BY "\n", i);
  rules = parse (text->str);
  snipe_rules_lines (rules, &count);
  CU_ASSERT_EQUAL (count, 10000);
  snipe_rules_unref (rules);
  g_string_append_c (text, '#');
  check_rejected (&(struct invalid_file){
      text->str, text->len, "line 10001, column 1:", "0 to 10000" });

  g_string_assign (text, "# one\n#");
  while (text->len < 1048576)
    g_string_append_c (text, 'x');
  rules = parse (text->str);
  snipe_rules_unref (rules);
  g_string_append_c (text, 'x');
  check_rejected (&(struct invalid_file){
      text->str, text->len, "line 2, column 1048571:", "0 to 1048576" });
  g_string_free (text, TRUE);
}

static const char lookup_text[] = "allow team=a kind=x domain=p,q" BY "\n"
                                  "allow team=a kind=* domain=*" BY "\n"
                                  "allow team=b kind=y domain=p" BY "\n"
                                  "limit team=a slots=120" BY "\n"
                                  "queue team=a max=5000 wait_ms=4000" BY "\n"
                                  "retry team=a kind=x max=2" BY "\n"
                                  "retry team=a kind=* max=1" BY "\n"
                                  "weight team=b value=3" BY "\n";

static struct snipe_str
str (const char *text)
{
  return (struct snipe_str){ .data = (char *)text, .len = strlen (text) };
}

static uint32_t
line_of (const struct snipe_rule *rule)
{
  return rule == NULL ? 0 : rule->line;
}

/* Guards against a lookup that returns the rule of another team or kind, or
 * not the first rule that matches. */
static void
test_lookups (void)
{
  static const struct
  {
    const char *team, *kind;
    uint32_t allow, retry, limit, queue, weight; /* line numbers, 0: none */
  } cases[] = {
    { "a", "x", 1, 6, 4, 5, 0 }, { "a", "y", 2, 7, 4, 5, 0 },
    { "a", "", 2, 7, 4, 5, 0 },  { "b", "y", 3, 0, 0, 0, 8 },
    { "b", "x", 0, 0, 0, 0, 8 }, { "b", "*", 0, 0, 0, 0, 8 },
    { "", "x", 0, 0, 0, 0, 0 },  { "ab", "y", 0, 0, 0, 0, 0 },
    { "*", "*", 0, 0, 0, 0, 0 },
  };
  struct snipe_rules *rules = parse (lookup_text);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct snipe_str team = str (cases[i].team);
      struct snipe_str kind = str (cases[i].kind);

      CU_ASSERT_EQUAL (line_of (snipe_rules_allow (rules, &team, &kind)),
                       cases[i].allow);
      CU_ASSERT_EQUAL (line_of (snipe_rules_retry (rules, &team, &kind)),
                       cases[i].retry);
      CU_ASSERT_EQUAL (line_of (snipe_rules_limit (rules, &team)),
                       cases[i].limit);
      CU_ASSERT_EQUAL (line_of (snipe_rules_queue (rules, &team)),
                       cases[i].queue);
      CU_ASSERT_EQUAL (line_of (snipe_rules_weight (rules, &team)),
                       cases[i].weight);
    }
  snipe_rules_unref (rules);
}

/* Guards against storing a value in the field of another key. */
static void
test_values (void)
{
  struct snipe_rules *rules = parse (lookup_text);
  struct snipe_str p = str ("p");
  struct snipe_str q = str ("q");
  struct snipe_str other = str ("pq");
  uint32_t count;
  const struct snipe_rule *lines = snipe_rules_lines (rules, &count);

  CU_ASSERT_EQUAL_FATAL (count, 8);
  CU_ASSERT_TRUE (snipe_rule_admits_domain (&lines[0], &p));
  CU_ASSERT_TRUE (snipe_rule_admits_domain (&lines[0], &q));
  CU_ASSERT_FALSE (snipe_rule_admits_domain (&lines[0], &other));
  CU_ASSERT_TRUE (snipe_rule_admits_domain (&lines[1], &other));
  CU_ASSERT_PTR_NULL (lines[1].u.allow.domains);
  CU_ASSERT_FALSE (snipe_rule_admits_domain (&lines[2], &q));
  CU_ASSERT_EQUAL (lines[3].u.limit.slots, 120);
  CU_ASSERT_EQUAL (lines[4].u.queue.max, 5000);
  CU_ASSERT_EQUAL (lines[4].u.queue.wait_ms, 4000);
  CU_ASSERT_EQUAL (lines[5].u.retry.max, 2);
  CU_ASSERT_EQUAL (lines[7].u.weight.value, 3);
  snipe_rules_unref (rules);
}

static void *
ref_and_unref (void *ctx)
{
  for (int i = 0; i < 20000; i++)
    snipe_rules_unref (snipe_rules_ref (ctx));
  snipe_rules_unref (ctx);
  return NULL;
}

/* Guards against freeing a set while a thread holds a reference, and against
 * leaking it (reported by AddressSanitizer). */
static void
test_references (void)
{
  struct snipe_rules *rules = parse (lookup_text);
  pthread_t threads[4];

  for (int i = 0; i < 4; i++)
    CU_ASSERT_EQUAL_FATAL (pthread_create (&threads[i], NULL, ref_and_unref,
                                           snipe_rules_ref (rules)),
                           0);
  snipe_rules_unref (rules);
  for (int i = 0; i < 4; i++)
    pthread_join (threads[i], NULL);
  snipe_rules_unref (NULL);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "valid files", test_valid_files },
    { "errors with line and column", test_errors },
    { "size limits", test_size },
    { "lookups", test_lookups },
    { "values", test_values },
    { "references", test_references },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("rules", tests);
}
