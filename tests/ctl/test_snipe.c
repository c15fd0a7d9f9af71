#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "ctl/fake.h"
#include "ctl/job_text.h"
#include "ctl/submit.h"
#include "snipe/status.h"
#include "suite.h"

#define ID "s-00000000000000aa-00000001"
#define BODY "{\"team\":\"a\", \"tasks\":[]}"
#define IDS "{\"ids\":[\"" ID "\"]}"
#define ANSWER(outcome, more)                                                 \
  "{\"id\":\"" ID "\",\"outcome\":\"" outcome "\"" more "}"
#define COMPLETE ANSWER ("complete", ",\"results\":[1]")

/* A request that a host expects, and its reply. */
struct exchange
{
  const char *method; /* NULL ends the script */
  int status;         /* 0: the connection is closed */
  const char *reply;
};

#define EXCHANGES_MAX 6

struct exchange_script
{
  const struct exchange *exchanges;
  uint32_t next;
  uint32_t requests_by_host[2];
};

struct scripted_host
{
  struct exchange_script *script;
  uint32_t number;
};

static int
handle_request (void *ctx, struct MHD_Connection *connection,
                const char *method, const char *url, const char *body,
                char **reply)
{
  const struct scripted_host *host = ctx;
  struct exchange_script *script = host->script;
  const struct exchange *exchange = &script->exchanges[script->next];

  (void)connection;
  CU_ASSERT_PTR_NOT_NULL (exchange->method);
  if (exchange->method == NULL)
    return 500;
  script->next++;
  script->requests_by_host[host->number]++;
  CU_ASSERT_STRING_EQUAL (method, exchange->method);
  if (strcmp (method, "PUT") == 0)
    CU_ASSERT_STRING_EQUAL (body, BODY);
  if (strcmp (method, "POST") != 0)
    CU_ASSERT_STRING_EQUAL (url, "/v1/jobs/" ID);
  *reply = g_strdup (exchange->reply);
  return exchange->status;
}

enum action
{
  SUBMIT_NEW,
  SUBMIT_AGAIN,
  GET,
  CANCEL_ONE,
  CANCEL_TWO,
};

struct submit_case
{
  enum action action;
  int exit_code;
  const char *out;
  const char *err;
  uint32_t second_host_requests;
  struct exchange exchanges[EXCHANGES_MAX];
};

static const struct submit_case cases[] = {
  { SUBMIT_NEW,
    0,
    COMPLETE "\n",
    "id: " ID "\n",
    0,
    { { "POST", 200, IDS }, { "PUT", 200, COMPLETE } } },
  { SUBMIT_NEW,
    10,
    "not_run",
    "",
    0,
    { { "POST", 200, IDS },
      { "PUT", 403, ANSWER ("not_run", ",\"code\":-20") } } },
  { SUBMIT_NEW,
    11,
    "unknown",
    "",
    0,
    { { "POST", 200, IDS }, { "PUT", 502, ANSWER ("unknown", "") } } },
  /* lost connections */
  { SUBMIT_NEW,
    0,
    COMPLETE,
    "",
    1,
    { { "POST", 200, IDS }, { "PUT", 0, NULL }, { "PUT", 200, COMPLETE } } },
  { SUBMIT_NEW,
    0,
    COMPLETE,
    "",
    1,
    { { "POST", 200, IDS },
      { "PUT", 202, "{\"state\":\"running\"}" },
      { "GET", 0, NULL },
      { "PUT", 200, COMPLETE } } },
  { SUBMIT_NEW,
    11,
    "",
    "--id " ID,
    1,
    { { "POST", 200, IDS },
      { "PUT", 0, NULL },
      { "PUT", 0, NULL },
      { "PUT", 0, NULL } } },
  { SUBMIT_AGAIN,
    0,
    COMPLETE,
    "id: " ID "\n",
    1,
    { { "PUT", 0, NULL }, { "PUT", 200, COMPLETE } } },
  /* waiting */
  { SUBMIT_NEW,
    0,
    COMPLETE,
    "",
    0,
    { { "POST", 200, IDS },
      { "PUT", 202, "{}" },
      { "GET", 202, "{}" },
      { "GET", 200, COMPLETE } } },
  /* ids */
  { SUBMIT_NEW,
    0,
    COMPLETE,
    "no id: HTTP 503",
    2,
    { { "POST", 503, "{}" },
      { "POST", 200, IDS },
      { "PUT", 200, COMPLETE } } },
  { SUBMIT_NEW,
    10,
    "",
    "no host issued an id",
    1,
    { { "POST", 503, "{}" }, { "POST", 0, NULL }, { "POST", 200, "[]" } } },
  /* replies that are not a complete answer of this job */
  { SUBMIT_AGAIN,
    0,
    COMPLETE,
    "without a complete answer",
    1,
    { { "PUT", 200,
        "{\"id\":\"s-1\",\"outcome\":\"complete\","
        "\"results\":[1]}" },
      { "PUT", 200, ANSWER ("complete", "") },
      { "PUT", 200, COMPLETE } } },
  { SUBMIT_NEW,
    11,
    "",
    "HTTP 400",
    0,
    { { "POST", 200, IDS }, { "PUT", 400, "no" } } },
  /* get and cancel */
  { GET,
    0,
    COMPLETE,
    "",
    1,
    { { "GET", 0, NULL }, { "GET", 200, COMPLETE } } },
  { GET, 10, "not_run", "", 0, { { "GET", 409, ANSWER ("not_run", "") } } },
  { GET, 1, "", "HTTP 404", 0, { { "GET", 404, "" } } },
  { GET,
    1,
    "",
    "no answer from any host",
    1,
    { { "GET", 0, NULL }, { "GET", 0, NULL }, { "GET", 500, "" } } },
  { CANCEL_ONE,
    0,
    "not_run",
    "",
    1,
    { { "DELETE", 0, NULL }, { "DELETE", 409, ANSWER ("not_run", "") } } },
  { CANCEL_ONE, 1, "", "HTTP 404", 0, { { "DELETE", 404, "" } } },
  { CANCEL_TWO,
    0,
    "{\"a\":1}",
    "",
    1,
    { { "POST", 503, "" }, { "POST", 200, "{\"a\":1}" } } },
};

static int
run_action (const struct snipe_submit *submit, enum action action)
{
  static const char *const ids[] = { ID, "s-2" };

  switch (action)
    {
    case SUBMIT_NEW:
      return snipe_submit_job (submit, NULL, false, BODY, strlen (BODY));
    case SUBMIT_AGAIN:
      return snipe_submit_job (submit, ID, false, BODY, strlen (BODY));
    case GET:
      return snipe_submit_get (submit, ID);
    case CANCEL_ONE:
      return snipe_submit_cancel (submit, ids, 1);
    case CANCEL_TWO:
      return snipe_submit_cancel (submit, ids, 2);
    }
  return -1;
}

static void
assert_contains (const char *text, const char *part)
{
  if (strstr (text, part) != NULL)
    return;
  g_printerr ("expected \"%s\" in \"%s\"\n", part, text);
  CU_FAIL ("output");
}

/* Guards against a job submitted again under another id, an answer of another
 * job accepted for this one, and a wrong outcome after a lost connection. */
static void
test_requests (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct exchange_script script = { .exchanges = cases[i].exchanges };
      struct scripted_host hosts[2] = { { &script, 0 }, { &script, 1 } };
      struct fake_server servers[2];
      char *addresses[3] = { NULL };
      char *out = NULL;
      char *err = NULL;
      size_t len;
      struct snipe_submit submit = { .hosts = addresses,
                                     .host_count = 2,
                                     .retries = 2,
                                     .wait_ms = 2000,
                                     .timeout_ms = 1000 };
      int code;

      for (int n = 0; n < 2; n++)
        {
          fake_start (&servers[n], handle_request, &hosts[n]);
          addresses[n] = servers[n].address;
        }
      submit.out = open_memstream (&out, &len);
      submit.err = open_memstream (&err, &len);
      code = run_action (&submit, cases[i].action);
      fclose (submit.out);
      fclose (submit.err);
      if (code != cases[i].exit_code)
        g_printerr ("case %zu: exit code %d\n%s%s", i, code, out, err);
      CU_ASSERT_EQUAL (code, cases[i].exit_code);
      assert_contains (out, cases[i].out);
      assert_contains (err, cases[i].err);
      free (out);
      free (err);
      fake_stop (&servers[0]);
      fake_stop (&servers[1]);
      CU_ASSERT_PTR_NULL (script.exchanges[script.next].method);
      CU_ASSERT_EQUAL (script.requests_by_host[1],
                       cases[i].second_host_requests);
    }
}

static int
reply_running (void *ctx, struct MHD_Connection *connection,
               const char *method, const char *url, const char *body,
               char **reply)
{
  (void)ctx;
  (void)connection;
  (void)method;
  (void)url;
  (void)body;
  *reply = g_strdup ("{\"state\":\"running\"}");
  return 202;
}

/* Guards against reporting a running job as unknown, and a job that reached no
 * host as anything but not run. */
static void
test_jobs_without_answer (void)
{
  struct fake_server server;
  char *addresses[2] = { server.address, NULL };
  char *out = NULL;
  char *err = NULL;
  size_t len;
  struct snipe_submit submit = { .hosts = addresses,
                                 .host_count = 1,
                                 .retries = 1,
                                 .wait_ms = 100,
                                 .timeout_ms = 1000 };

  fake_start (&server, reply_running, NULL);
  submit.out = open_memstream (&out, &len);
  submit.err = open_memstream (&err, &len);
  CU_ASSERT_EQUAL (snipe_submit_job (&submit, ID, true, BODY, strlen (BODY)),
                   SNIPE_SUBMIT_RUNNING);
  fake_stop (&server);
  CU_ASSERT_EQUAL (snipe_submit_job (&submit, ID, true, BODY, strlen (BODY)),
                   SNIPE_SUBMIT_NOT_RUN);
  CU_ASSERT_EQUAL (snipe_submit_job (&submit, ID, false, BODY, strlen (BODY)),
                   SNIPE_SUBMIT_UNKNOWN);
  CU_ASSERT_EQUAL (snipe_submit_job (&submit, NULL, false, BODY, 1),
                   SNIPE_SUBMIT_NOT_RUN);
  CU_ASSERT_EQUAL (snipe_submit_get (&submit, ID), SNIPE_SUBMIT_FAILED);
  fclose (submit.out);
  fclose (submit.err);
  assert_contains (out, "{\"state\":\"running\"}\n");
  free (out);
  free (err);
}

/* Guards against a UUID that hosts refuse or that has a wrong time. */
static void
test_uuid (void)
{
  char a[SNIPE_UUID_BYTES];
  char b[SNIPE_UUID_BYTES];

  CU_ASSERT_EQUAL (snipe_uuid_make (a, 0x0123456789AB), SNIPE_OK);
  CU_ASSERT_EQUAL (snipe_uuid_make (b, 0x0123456789AB), SNIPE_OK);
  CU_ASSERT_EQUAL (strncmp (a, "01234567-89ab-7", 15), 0);
  CU_ASSERT_EQUAL (strlen (a), 36);
  CU_ASSERT_PTR_NOT_NULL (strchr ("89ab", a[19]));
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
}

/* Guards against a job that differs from the command line or the file. */
static void
test_job_text (void)
{
  static const char *const bad[] = { "x", ":1", "x:", "x:{", "x:1 2" };
  json_t *tasks = json_array ();
  struct snipe_str text = SNIPE_STR_INIT;
  char file[] = "/tmp/snipe-XXXXXX";
  int fd = mkstemp (file);

  CU_ASSERT_EQUAL (snipe_job_text_add_task (tasks, "x:{\"a\":\"b:c\"}"),
                   SNIPE_OK);
  CU_ASSERT_EQUAL (snipe_job_text_add_task (tasks, "y:1"), SNIPE_OK);
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    CU_ASSERT_EQUAL (snipe_job_text_add_task (tasks, bad[i]), SNIPE_E_INVALID);
  CU_ASSERT_EQUAL (snipe_job_text_make (&text, "t", tasks), SNIPE_OK);
  CU_ASSERT_TRUE (snipe_str_equal_c (
      &text, "{\"team\":\"t\",\"tasks\":[{\"kind\":\"x\",\"payload\":{\"a\":"
             "\"b:c\"}},{\"kind\":\"y\",\"payload\":1}]}"));
  json_decref (tasks);

  CU_ASSERT_TRUE_FATAL (fd >= 0);
  CU_ASSERT_EQUAL (write (fd, BODY, strlen (BODY)), (ssize_t)strlen (BODY));
  CU_ASSERT_EQUAL (snipe_job_text_read (&text, file, NULL), SNIPE_OK);
  CU_ASSERT_TRUE (snipe_str_equal_c (&text, BODY));
  CU_ASSERT_EQUAL (snipe_job_text_read (&text, file, "b"), SNIPE_OK);
  CU_ASSERT_TRUE (snipe_str_equal_c (&text, "{\"team\":\"b\",\"tasks\":[]}"));
  CU_ASSERT_EQUAL (ftruncate (fd, 3), 0);
  CU_ASSERT_EQUAL (snipe_job_text_read (&text, file, "b"), SNIPE_E_INVALID);
  close (fd);
  unlink (file);
  CU_ASSERT_EQUAL (snipe_job_text_read (&text, file, NULL), SNIPE_E_NOT_FOUND);
  snipe_str_clear (&text);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "requests", test_requests },
    { "jobs without an answer", test_jobs_without_answer },
    { "UUID version 7", test_uuid },
    { "text of a job", test_job_text },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("snipe", tests);
}
