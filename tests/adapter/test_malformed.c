#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "check.h"
#include "config.h"
#include "formats.h"
#include "snipe/status.h"
#include "suite.h"
#include "util/finding.h"

#define SEEDS 4000
#define CONFIG                                                                \
  "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","                \
  "\"path_prefix\":\"/a/\",\"service\":\"s\",\"priority\":1,"                 \
  "\"attempts\":3,\"slack_factor\":1.6,\"slo_ms\":60,"                        \
  "\"timeout_ms\":1500}],\"limits\":{\"max_body_bytes\":100}}"
#define RESOURCE_LIMIT ((int64_t)1 << 40)

static const char *const values[] = { "-1",
                                      "0",
                                      "9223372036854775807",
                                      "-9223372036854775808",
                                      "4294967296",
                                      "1e308",
                                      "null",
                                      "[]",
                                      "{}",
                                      "\"x\"",
                                      "true",
                                      "\"\"" };

/* Returns a copy of a valid message with one to four changes: bytes that are
 * replaced or removed, or a number that is replaced by another value. */
static GString *
mutate (const char *message, GRand *rand)
{
  GString *text = g_string_new (message);
  int changes = g_rand_int_range (rand, 1, 5);

  for (int i = 0; i < changes && text->len > 0; i++)
    {
      gsize at = (gsize)g_rand_int_range (rand, 0, (gint32)text->len);
      gsize end;

      switch (g_rand_int_range (rand, 0, 4))
        {
        case 0:
          text->str[at] = (char)g_rand_int_range (rand, 1, 256);
          break;
        case 1:
          g_string_erase (text, (gssize)at, MIN (8, (gssize)(text->len - at)));
          break;
        case 2:
          g_string_truncate (text, at);
          break;
        default:
          while (at < text->len && !g_ascii_isdigit (text->str[at]))
            at++;
          for (end = at; end < text->len && g_ascii_isdigit (text->str[end]);)
            end++;
          g_string_erase (text, (gssize)at, (gssize)(end - at));
          g_string_insert (
              text, (gssize)at,
              values[g_rand_int_range (rand, 0, G_N_ELEMENTS (values))]);
          break;
        }
    }
  return text;
}

static bool
is_valid_capacity (const struct snipe_capacity *capacity)
{
  return capacity->cpu >= 0 && capacity->cpu < RESOURCE_LIMIT
         && capacity->mem_mb >= 0 && capacity->mem_mb < RESOURCE_LIMIT
         && capacity->gpu >= 0 && capacity->gpu < RESOURCE_LIMIT;
}

static void
decode_config (const GString *text)
{
  snipe_config_free (platform_config_decode (text->str, text->len));
}

/* Checks that a number which is set has the value that was written. */
static void
compare_number (const json_t *object, const char *name, double value)
{
  const json_t *written = json_object_get (object, name);

  if (written != NULL)
    CU_ASSERT_DOUBLE_EQUAL (json_number_value (written), value, 0);
}

/* Checks that hosts read a configuration as it was written. */
static void
compare_config (const json_t *root, const struct snipe_config *config)
{
  const json_t *routes = json_object_get (root, "routes");

  compare_number (root, "version", (double)config->version);
  compare_number (json_object_get (root, "limits"), "max_body_bytes",
                  (double)config->body_max);
  CU_ASSERT_EQUAL (json_array_size (routes), config->routes->len);
  for (guint i = 0; i < config->routes->len; i++)
    {
      const struct snipe_config_route *route
          = g_ptr_array_index (config->routes, i);
      const json_t *from = json_array_get (routes, i);

      compare_number (from, "priority", route->priority);
      compare_number (from, "attempts", route->attempts);
      compare_number (from, "slack_factor", route->slack_factor);
      compare_number (from, "slo_ms", (double)route->slo / SNIPE_MS);
      compare_number (from, "timeout_ms", (double)route->timeout / SNIPE_MS);
      CU_ASSERT_STRING_EQUAL (
          json_string_value (json_object_get (from, "service")),
          route->service);
    }
}

/* Guards against a check that finds no error in a configuration that hosts
 * reject or read differently from what was written. */
static void
check_config (const GString *text)
{
  GPtrArray *findings = snipe_findings_new ();
  struct snipe_config *config = platform_config_decode (text->str, text->len);
  json_t *root = json_loadb (text->str, text->len, 0, NULL);

  platform_check (findings, text->str, text->len, 1, text->len, NULL);
  if (snipe_findings_count (findings, SNIPE_FINDING_ERROR) > 0)
    goto cleanup;
  CU_ASSERT_PTR_NOT_NULL (config);
  if (config != NULL)
    compare_config (root, config);

cleanup:
  json_decref (root);
  snipe_config_free (config);
  g_ptr_array_free (findings, TRUE);
}

/* Guards against a job that runs as another one than was written: a field that
 * was not understood had the value of one that is missing. */
static void
decode_job (const GString *text)
{
  struct platform_job job;
  const json_t *step;

  if (platform_job_decode (&job, text->str, text->len) < 0)
    return;
  step = json_array_get (json_object_get (job.root, "steps"), 0);
  CU_ASSERT_EQUAL (json_number_value (json_object_get (step, "count")),
                   job.count);
  CU_ASSERT_EQUAL (
      json_number_value (json_object_get (step, "max_per_server")),
      job.max_per_endpoint);
  CU_ASSERT_EQUAL (json_number_value (json_object_get (step, "cpu")),
                   (double)job.task_resources.cpu);
  CU_ASSERT_EQUAL (json_string_length (json_object_get (step, "requires")),
                   strlen (job.label));
  CU_ASSERT_TRUE (is_valid_capacity (&job.task_resources));
  CU_ASSERT_TRUE (job.count >= 1 && job.count <= 4096);
  CU_ASSERT_TRUE (job.estimate > 0 && job.estimate < RESOURCE_LIMIT);
  json_decref (job.root);
}

static void
decode_rows (const GString *text)
{
  const struct snipe_str body = { .data = text->str, .len = text->len };
  struct platform_rows rows;

  if (platform_rows_decode (&rows, &body) == SNIPE_OK)
    platform_rows_clear (&rows);
}

static void
decode_endpoint (const GString *text)
{
  const struct platform_row row
      = { .key = "e1", .value = text->str, .len = text->len };
  struct snipe_endpoint_entry entry;

  platform_endpoint_row_digest (&row);
  if (platform_endpoint_decode (&entry, &row) == SNIPE_OK)
    CU_ASSERT_TRUE (is_valid_capacity (&entry.capacity));
}

static void
decode_host (const GString *text)
{
  const struct platform_row row
      = { .key = "h1", .value = text->str, .len = text->len };
  struct platform_host host;

  (void)platform_host_decode (&host, &row);
}

static void
decode_report (const GString *text)
{
  const struct snipe_str body = { .data = text->str, .len = text->len };
  struct snipe_endpoint_report report;

  (void)platform_report_decode (&report, 200, &body);
  for (uint32_t i = 0; i < report.ended_count; i++)
    CU_ASSERT_TRUE (report.ended[i].sequence >= 1
                    && report.ended[i].sequence <= INT64_MAX);
  platform_report_clear (&report);
}

/* Guards against a message that crashes the process, and against a value that
 * passes the decoder and does harm later: a task of -1 cores would free
 * capacity, and an end with the number -1 would hide all that follow it. Runs
 * under the sanitizers in CI. */
static void
test_mutations (void)
{
  static const struct
  {
    const char *name;
    const char *message;
    void (*decode) (const GString *text);
  } cases[] = {
    { "configuration", CONFIG, decode_config },
    { "configuration to check", CONFIG, check_config },
    { "job",
      "{\"spec\":\"text\",\"best_effort\":true,\"steps\":[{\"count\":4,"
      "\"cpu\":500,\"mem_mb\":256,\"gpu\":0,\"estimate_ms\":900,"
      "\"max_per_server\":2,\"affinity\":\"r1-3\",\"requires\":\"a\"}]}",
      decode_job },
    { "rows",
      "{\"rows\":[{\"table\":\"t\",\"key\":\"k\",\"value\":\"e30=\","
      "\"ver\":12},{\"key\":\"l\",\"ver\":13,\"deleted\":true}],"
      "\"ver\":14,\"now_ms\":5,\"has_more\":false}",
      decode_rows },
    { "endpoint",
      "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"version\":\"1\",\"slots\":8,\"state\":\"ready\",\"seq_no\":12,"
      "\"cold_left_ms\":0,\"born\":1700000000000,\"capacity\":{\"cpu\":64000,"
      "\"mem_mb\":131072,\"gpu\":0},\"labels\":[\"a\",\"r1\"]}",
      decode_endpoint },
    { "host", "{\"address\":\"10.0.0.1:80\",\"domain\":\"z\"}", decode_host },
    { "report",
      "{\"clock_ms\":482113,\"born\":1700000000000,\"running\":"
      "[[\"5c0e7a21d94b36f8.0.1.17\",2,\"\",41,500]],\"finished\":"
      "[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"],"
      "[59,\"5c0e7a21d94b36f8.0.1.8\",1,\"failed\",\"\"]]}",
      decode_report },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GString *valid = g_string_new (cases[i].message);

      cases[i].decode (valid);
      g_string_free (valid, TRUE);
      for (guint32 seed = 1; seed <= SEEDS; seed++)
        {
          GRand *rand = g_rand_new_with_seed (seed);
          GString *text = mutate (cases[i].message, rand);
          unsigned int before = CU_get_number_of_failures ();

          cases[i].decode (text);
          if (CU_get_number_of_failures () != before)
            printf ("\n  %s, seed %u: %s", cases[i].name, seed, text->str);
          g_string_free (text, TRUE);
          g_rand_free (rand);
        }
    }
}

static void
discard_log (const gchar *domain, GLogLevelFlags level, const gchar *message,
             gpointer ctx)
{
  (void)domain;
  (void)level;
  (void)message;
  (void)ctx;
}

static GLogWriterOutput
discard_structured_log (GLogLevelFlags level, const GLogField *fields,
                        gsize count, gpointer ctx)
{
  (void)level;
  (void)fields;
  (void)count;
  (void)ctx;
  return G_LOG_WRITER_HANDLED;
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "mutations", test_mutations },
    CU_TEST_INFO_NULL,
  };

  g_log_set_default_handler (discard_log, NULL);
  g_log_set_writer_func (discard_structured_log, NULL, NULL);
  return suite_run ("malformed", tests);
}
