#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "formats.h"
#include "snipe/status.h"
#include "suite.h"

static struct snipe_str
text (const char *value)
{
  return (struct snipe_str){ .data = (char *)value, .len = strlen (value) };
}

struct endpoint_case
{
  const char *name;
  const char *value;
  bool good;
  bool draining;
};

#define ENDPOINT_AT(address, born)                                            \
  "{\"service\":\"s\",\"address\":\"" address "\",\"zone\":\"z\","            \
  "\"state\":\"ready\",\"capacity\":{\"cpu\":16000},\"born\":" born "}"
#define NESTING 60000

/* Guards against using an entry with missing or unknown values, and against an
 * odd one of another writer that ends the process, waits for an endpoint that
 * cannot exist, or hides all later incarnations of its endpoint. */
static void
test_endpoint (void)
{
  char *nested = g_strnfill (NESTING, '[');
  const struct endpoint_case cases[] = {
    { "ready",
      "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
      "\"state\":\"ready\",\"capacity\":{\"cpu\":16000,\"mem_mb\":32},"
      "\"labels\":[\"a\",\"r1-3\"],\"born\":17}",
      true, false },
    { "draining",
      "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
      "\"state\":\"draining\",\"capacity\":{\"cpu\":16000}}",
      true, true },
    { "unknown state",
      "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
      "\"state\":\"idle\",\"capacity\":{\"cpu\":16000}}",
      false, false },
    { "no capacity",
      "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
      "\"state\":\"ready\"}",
      false, false },
    { "address of wrong type",
      "{\"service\":\"s\",\"address\":1,\"zone\":\"z\",\"state\":\"ready\","
      "\"capacity\":{\"cpu\":16000}}",
      false, false },
    { "not JSON", "\xff\xfe{", false, false },
    { "empty", "", false, false },
    { "port out of range", ENDPOINT_AT ("10.0.0.1:65536", "17"), false,
      false },
    { "port of many digits",
      ENDPOINT_AT ("10.0.0.1:99999999999999999999", "17"), false, false },
    { "negative port", ENDPOINT_AT ("10.0.0.1:-1", "17"), false, false },
    { "port 0", ENDPOINT_AT ("10.0.0.1:0", "17"), false, false },
    { "no port", ENDPOINT_AT ("10.0.0.1", "17"), false, false },
    { "address with a path", ENDPOINT_AT ("10.0.0.1:1/x", "17"), false,
      false },
    { "start too large", ENDPOINT_AT ("10.0.0.1:1", "9223372036854775807"),
      false, false },
    { "start beyond the numbers of JSON",
      ENDPOINT_AT ("10.0.0.1:1", "99999999999999999999"), false, false },
    { "start beyond the real numbers", ENDPOINT_AT ("10.0.0.1:1", "1e999"),
      false, false },
    { "negative start", ENDPOINT_AT ("10.0.0.1:1", "-1"), false, false },
    { "deeply nested", nested, false, false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct platform_row row = { .key = "i-1",
                                  .value = (char *)cases[i].value,
                                  .len = strlen (cases[i].value) };
      struct snipe_endpoint_entry entry;
      int status = platform_endpoint_decode (&entry, &row);

      if ((status == 0) != cases[i].good)
        printf ("%s\n", cases[i].name);
      CU_ASSERT_EQUAL (status == 0, cases[i].good);
      if (status == 0)
        CU_ASSERT_EQUAL (entry.draining, cases[i].draining);
    }
  g_free (nested);
}

/* Guards against an endpoint of which it is not known when it leaves, or that
 * does not leave, being taken for one that leaves at a certain time. */
static void
test_leaves (void)
{
  static const struct
  {
    const char *name;
    const char *state;
    const char *times;
    int64_t leaves_clock_ms; /**< 0: unknown */
  } cases[] = {
    { "draining", "draining", "\"clock_ms\":500,\"remaining_ms\":2000", 2500 },
    { "ready", "ready", "\"clock_ms\":500,\"remaining_ms\":2000", 0 },
    { "no clock", "draining", "\"remaining_ms\":2000", 0 },
    { "no time", "draining", "\"clock_ms\":500", 0 },
    { "gone", "draining", "\"clock_ms\":500,\"remaining_ms\":0", 0 },
    { "negative", "draining", "\"clock_ms\":500,\"remaining_ms\":-1", 0 },
    { "too large", "draining",
      "\"clock_ms\":500,\"remaining_ms\":9223372036854775807", 0 },
    { "text", "draining", "\"clock_ms\":500,\"remaining_ms\":\"2000\"", 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = g_strdup_printf (
          "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
          "\"state\":\"%s\",\"capacity\":{\"cpu\":16000},%s}",
          cases[i].state, cases[i].times);
      struct platform_row row
          = { .key = "i-1", .value = text, .len = strlen (text) };
      struct snipe_endpoint_entry entry;

      CU_ASSERT_EQUAL (platform_endpoint_decode (&entry, &row), 0);
      if (entry.leaves_clock_ms != cases[i].leaves_clock_ms)
        printf ("%s\n", cases[i].name);
      CU_ASSERT_EQUAL (entry.leaves_clock_ms, cases[i].leaves_clock_ms);
      CU_ASSERT_EQUAL (entry.draining_clock_ms,
                       cases[i].leaves_clock_ms > 0 ? 500 : 0);
      g_free (text);
    }
}

/* Guards against a change of an endpoint's entry being taken for a mere
 * heartbeat, and against a heartbeat that also changes a clock being taken for
 * a change, which made hosts decode all entries and relay them to all hosts.
 */
static void
test_digest (void)
{
  const struct
  {
    const char *name;
    const char *value;
    bool same;
  } cases[] = {
    { "heartbeat",
      "{\"state\":\"ready\",\"seq_no\":1234,\"born\":17,\"clock_ms\":7}",
      true },
    { "clock",
      "{\"state\":\"ready\",\"seq_no\":9,\"born\":17,\"clock_ms\":12345}",
      true },
    { "draining",
      "{\"state\":\"draining\",\"seq_no\":9,\"born\":17,\"clock_ms\":7}",
      false },
    { "new incarnation",
      "{\"state\":\"ready\",\"seq_no\":9,\"born\":18,\"clock_ms\":7}", false },
    { "no counter", "{\"state\":\"ready\",\"born\":17,\"clock_ms\":7}",
      false },
    { "counter of wrong type",
      "{\"state\":\"ready\",\"seq_no\":\"9\",\"born\":17,\"clock_ms\":7}",
      false },
    { "truncated", "{\"state\":\"ready\",\"seq_no\":9", false },
    { "empty", "", false },
  };
  struct platform_row first
      = { .value = (char *)"{\"state\":\"ready\",\"seq_no\":9,"
                           "\"born\":17,\"clock_ms\":7}" };

  first.len = strlen (first.value);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct platform_row row = { .value = (char *)cases[i].value,
                                  .len = strlen (cases[i].value) };
      bool same = platform_endpoint_row_digest (&row)
                  == platform_endpoint_row_digest (&first);

      if (same != cases[i].same)
        printf ("%s\n", cases[i].name);
      CU_ASSERT_EQUAL (same, cases[i].same);
    }
}

struct report_case
{
  const char *name;
  int http;
  const char *body;
  enum snipe_endpoint_answer answer;
  uint32_t runs;
  uint32_t ends;
};

/* Guards against a response being decoded as another one: a rejected start
 * counts as not executed, a start without a response may have been executed.
 */
static void
test_report (void)
{
  const struct report_case cases[] = {
    { "lists", 200,
      "{\"clock_ms\":5,\"born\":9,\"running\":[[\"t.0.0.1\",2,\"\",41]],"
      "\"finished\":[[58,\"t.0.0.9\",1,\"done\",\"\"],"
      "[59,\"t.0.0.8\",1,\"lapsed\",\"\"]]}",
      SNIPE_ANSWER_OK, 1, 2 },
    { "fenced", 409, "{\"clock_ms\":5,\"reason\":\"fence\"}",
      SNIPE_ANSWER_FENCED, 0, 0 },
    { "stale run", 409, "{\"clock_ms\":5,\"reason\":\"old\"}",
      SNIPE_ANSWER_STALE_RUN, 0, 0 },
    { "expired", 409, "{\"clock_ms\":5,\"reason\":\"late\"}",
      SNIPE_ANSWER_EXPIRED, 0, 0 },
    { "no capacity", 409, "{\"clock_ms\":5,\"reason\":\"room\"}",
      SNIPE_ANSWER_NO_CAPACITY, 0, 0 },
    { "other incarnation", 421, "", SNIPE_ANSWER_RESTARTED, 0, 0 },
    { "unhealthy", 503, "", SNIPE_ANSWER_UNHEALTHY, 0, 0 },
    { "malformed", 400, "", SNIPE_ANSWER_INVALID, 0, 0 },
    { "no response", 0, "", SNIPE_ANSWER_NONE, 0, 0 },
    { "no connection", -1, "", SNIPE_ANSWER_UNREACHABLE, 0, 0 },
    { "undocumented status", 500, "", SNIPE_ANSWER_NONE, 0, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct snipe_endpoint_report report;
      struct snipe_str body = text (cases[i].body);
      enum snipe_endpoint_answer answer
          = platform_report_decode (&report, cases[i].http, &body);

      if (answer != cases[i].answer)
        printf ("%s: %d\n", cases[i].name, (int)answer);
      CU_ASSERT_EQUAL (answer, cases[i].answer);
      CU_ASSERT_EQUAL (report.running_count, cases[i].runs);
      CU_ASSERT_EQUAL (report.ended_count, cases[i].ends);
      if (report.ended_count == 2)
        {
          CU_ASSERT_EQUAL (report.started_ms, 9);
          CU_ASSERT_STRING_EQUAL (report.running[0].task, "t.0.0.1");
          CU_ASSERT_EQUAL (report.ended[0].sequence, 58);
          CU_ASSERT_EQUAL (report.ended[0].outcome, SNIPE_RUN_DONE);
          CU_ASSERT_EQUAL (report.ended[1].outcome, SNIPE_RUN_LEASE_EXPIRED);
        }
      platform_report_clear (&report);
    }
}

struct job_case
{
  const char *name;
  const char *body;
  int status;
  uint32_t count;
  bool group;
};

/* Guards against a job that has to be stored, or has several steps, being run
 * as a best-effort job of one step, and against a group whose tasks are spread
 * as if they were independent. */
static void
test_job (void)
{
  const struct job_case cases[] = {
    { "one step",
      "{\"spec\":\"s\",\"best_effort\":true,\"steps\":[{\"count\":3,"
      "\"cpu\":500,\"estimate_ms\":90}]}",
      SNIPE_OK, 3 },
    { "no count",
      "{\"spec\":\"s\",\"best_effort\":true,\"steps\":[{\"cpu\":500}]}",
      SNIPE_E_INVALID, 0 },
    { "same rack",
      "{\"spec\":\"s\",\"best_effort\":true,\"steps\":[{\"count\":3,"
      "\"same_rack\":true}]}",
      SNIPE_OK, 3, true },
    { "two steps", "{\"spec\":\"s\",\"best_effort\":true,\"steps\":[{},{}]}",
      SNIPE_E_UNFIT, 0 },
    { "to be stored", "{\"spec\":\"s\",\"steps\":[{\"count\":3}]}",
      SNIPE_E_UNFIT, 0 },
    { "gang",
      "{\"spec\":\"s\",\"best_effort\":true,\"steps\":[{\"count\":2,\"gang\":"
      "true}]"
      "}",
      SNIPE_E_UNFIT, 0 },
    { "no steps", "{\"spec\":\"s\"}", SNIPE_E_INVALID, 0 },
    { "no spec", "{\"steps\":[{}]}", SNIPE_E_INVALID, 0 },
    { "not JSON", "[", SNIPE_E_INVALID, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct platform_job job;
      int status
          = platform_job_decode (&job, cases[i].body, strlen (cases[i].body));

      if (status != cases[i].status)
        printf ("%s: %d\n", cases[i].name, status);
      CU_ASSERT_EQUAL (status, cases[i].status);
      if (status == SNIPE_OK)
        {
          CU_ASSERT_EQUAL (job.count, cases[i].count);
          CU_ASSERT_EQUAL (job.group, cases[i].group);
          json_decref (job.root);
        }
    }
}

/* Fields of a job, of its only step and outside of it. */
struct field_case
{
  const char *step;
  const char *job;
  int status;
  const char
      *reason; /**< part of the error: the field, its value, the limit */
};

/* Guards against a field that is not kept being changed in silence: the job
 * was answered as completed although other tasks had run, or had run
 * otherwise. */
static void
test_job_fields (void)
{
  static const struct field_case cases[] = {
    { "'count':4096", "", SNIPE_OK, "" },
    { "'count':4097", "", SNIPE_E_UNFIT,
      "count is 4097: has to be 1 to 4096" },
    { "'count':1e30", "", SNIPE_E_UNFIT, "count is 1e30: " },
    { "'count':0", "", SNIPE_E_INVALID, "count is 0: has to be 1 to " },
    { "", "", SNIPE_E_INVALID, "count is missing" },
    { "'count':null", "", SNIPE_E_INVALID, "count is null" },
    { "'count':-3", "", SNIPE_E_INVALID, "count is -3" },
    { "'count':'5'", "", SNIPE_E_INVALID, "count is \"5\"" },
    { "'count':2.5", "", SNIPE_E_INVALID, "count is 2.5" },
    { "'count':2.0", "", SNIPE_OK, "" },
    { "'count':2,'count':3", "", SNIPE_E_INVALID, "duplicate" },
    { "'count':2,'max_per_server':-1", "", SNIPE_E_INVALID,
      "max_per_server is -1" },
    { "'count':2,'max_per_server':'1'", "", SNIPE_E_INVALID,
      "max_per_server is" },
    { "'count':2,'max_per_server':4294967296", "", SNIPE_E_INVALID,
      "0 to 4294967295" },
    { "'count':2,'max_per_server':0", "", SNIPE_OK, "" },
    { "'count':2,'requires':7", "", SNIPE_E_INVALID, "requires is 7" },
    { "'count':2,'requires':['zz']", "", SNIPE_E_INVALID, "requires is" },
    { "'count':2,'requires':''", "", SNIPE_OK, "" },
    { "'count':2,'affinity':3", "", SNIPE_E_INVALID, "affinity is 3" },
    { "'count':2,'same_rack':1", "", SNIPE_E_INVALID, "same_rack is 1" },
    { "'count':2,'gang':'true'", "", SNIPE_E_INVALID, "gang is" },
    { "'count':2,'gang':1", "", SNIPE_E_INVALID, "gang is 1" },
    { "'count':2,'gang':false", "", SNIPE_OK, "" },
    { "'count':2,'long_running':true", "", SNIPE_E_UNFIT,
      "long_running is true" },
    { "'count':2,'may_miss':1", "", SNIPE_E_UNFIT, "may_miss is 1" },
    { "'count':2,'target_ms':20", "", SNIPE_E_UNFIT, "target_ms is 20" },
    { "'count':2,'fills':true", "", SNIPE_E_UNFIT, "fills is true" },
    { "'count':2,'after':[0]", "", SNIPE_E_INVALID, "after is [0]" },
    { "'count':2,'after':[]", "", SNIPE_OK, "" },
    { "'count':2,'speculative':true,'checkpointing':true,'image':'i'", "",
      SNIPE_OK, "" },
    { "'count':2,'cpu':'900000'", "", SNIPE_E_INVALID, "cpu is" },
    { "'count':2,'cpu':-500", "", SNIPE_E_INVALID, "cpu is -500" },
    { "'count':2,'gpu':1099511627776", "", SNIPE_E_INVALID, "gpu is" },
    { "'count':2,'cpu':0,'mem_mb':null", "", SNIPE_OK, "" },
    { "'count':2,'estimate_ms':-5", "", SNIPE_E_INVALID, "estimate_ms is -5" },
    { "'count':2,'estimate_ms':1e15", "", SNIPE_E_UNFIT, "0 to 86400000" },
    { "'count':2,'estimate_ms':62.5", "", SNIPE_OK, "" },
    { "'count':2", ",'repeat_count':'3'", SNIPE_E_INVALID, "repeat_count is" },
    { "'count':2", ",'repeat_count':3", SNIPE_E_UNFIT, "repeat_count is 3" },
    { "'count':2", ",'repeat_count':0,'first_run_ms':0", SNIPE_OK, "" },
    { "'count':2", ",'first_run_ms':5", SNIPE_E_UNFIT, "first_run_ms is 5" },
    { "'count':2", ",'best_effort':true", SNIPE_E_INVALID, "duplicate" },
    { "'count':2", ",'spec':7", SNIPE_E_INVALID, "spec is 7" },
    { "'count':2", ",'spec':''", SNIPE_OK, "" },
    { "'count':2", "", SNIPE_OK, "" },
    { "'count':2,'later':1", ",'newer':[1]", SNIPE_OK, "" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *body = g_strdup_printf ("{'best_effort':true,'steps':[{%s}]%s}",
                                    cases[i].step, cases[i].job);
      struct platform_job job;
      int status;

      g_strdelimit (body, "'", '"');
      status = platform_job_decode (&job, body, strlen (body));
      if (status != cases[i].status
          || (status < 0
              && strstr (snipe_status_last (), cases[i].reason) == NULL))
        printf ("%s: %d %s\n", body, status,
                status < 0 ? snipe_status_last () : "");
      CU_ASSERT_EQUAL (status, cases[i].status);
      if (status < 0)
        CU_ASSERT_PTR_NOT_NULL (
            strstr (snipe_status_last (), cases[i].reason));
      if (status == SNIPE_OK)
        json_decref (job.root);
      g_free (body);
    }
}

/* Guards against keeping a spec over the pages' limit for as long as its job
 * runs, and against decoding a body of many small values, which takes eighty
 * times its size. */
static void
test_large_jobs (void)
{
  static const struct
  {
    const char *name;
    int spec_bytes;
    int empty_steps;
    int status;
  } cases[] = {
    { "largest spec", 4000, 0, SNIPE_OK },
    { "one byte more", 4001, 0, SNIPE_E_INVALID },
    { "many values", 4000, 80000, SNIPE_E_UNFIT },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GString *body = g_string_new ("{\"best_effort\":true,\"steps\":[");
      char *spec = g_strnfill ((gsize)cases[i].spec_bytes, ',');
      struct platform_job job;
      int status;

      for (int k = 0; k < cases[i].empty_steps; k++)
        g_string_append (body, "{},");
      g_string_append_printf (
          body, "{\"count\":1,\"cpu\":1,\"mem_mb\":1}],\"spec\":\"%s\"}",
          spec);
      status = platform_job_decode (&job, body->str, body->len);
      if (status != cases[i].status)
        printf ("%s: %d\n", cases[i].name, status);
      CU_ASSERT_EQUAL (status, cases[i].status);
      if (status == SNIPE_OK)
        json_decref (job.root);
      g_free (spec);
      g_string_free (body, TRUE);
    }
}

/* Guards against rows being altered when a host encodes them to relay changes
 * to other hosts. */
static void
test_rows (void)
{
  static const char body[]
      = "{\"rows\":[{\"key\":\"i-1\",\"value\":\"AP9hYg==\",\"ver\":7},"
        "{\"key\":\"i-2\",\"ver\":9,\"deleted\":true}],\"ver\":12}";
  struct snipe_str first = SNIPE_STR_INIT;
  struct snipe_str second = SNIPE_STR_INIT;
  struct platform_rows rows[2];

  snipe_str_set (&first, body, strlen (body));
  CU_ASSERT_EQUAL_FATAL (platform_rows_decode (&rows[0], &first), 0);
  platform_rows_encode (&second, rows[0].rows, rows[0].version);
  CU_ASSERT_EQUAL_FATAL (platform_rows_decode (&rows[1], &second), 0);
  CU_ASSERT_EQUAL (rows[1].version, 12);
  CU_ASSERT_EQUAL_FATAL (rows[1].rows->len, 2);
  for (guint i = 0; i < 2; i++)
    {
      const struct platform_row *was
          = &g_array_index (rows[0].rows, struct platform_row, i);
      const struct platform_row *is
          = &g_array_index (rows[1].rows, struct platform_row, i);

      CU_ASSERT_STRING_EQUAL (is->key, was->key);
      CU_ASSERT_EQUAL (is->version, was->version);
      CU_ASSERT_EQUAL (is->deleted, was->deleted);
      CU_ASSERT_EQUAL (is->len, was->len);
      CU_ASSERT_EQUAL (is->value == NULL, was->value == NULL);
      if (is->value != NULL && was->value != NULL)
        CU_ASSERT_EQUAL (memcmp (is->value, was->value, was->len), 0);
    }
  platform_rows_clear (&rows[0]);
  platform_rows_clear (&rows[1]);
  snipe_str_clear (&first);
  snipe_str_clear (&second);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "leaves", test_leaves },
    { "endpoint", test_endpoint },
    { "digest", test_digest },
    { "report", test_report },
    { "job", test_job },
    { "fields of a job", test_job_fields },
    { "large jobs", test_large_jobs },
    { "rows", test_rows },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("formats", tests);
}
