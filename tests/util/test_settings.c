#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "snipe/status.h"
#include "suite.h"
#include "util/settings.h"

static const char *address;
static const char *name;
static uint64_t number;
static uint64_t choice;
static double ratio;
static bool hooks;

static const char *const choices[] = { "a", "b", NULL };

static const struct snipe_setting table[] = {
  { .flag = "address",
    .env = "TEST_ADDRESS",
    .arg = "X",
    .help = "h",
    .type = SNIPE_SETTING_ADDRESS,
    .out.text = &address },
  { .flag = "name",
    .env = "TEST_NAME",
    .arg = "X",
    .help = "h",
    .type = SNIPE_SETTING_TEXT,
    .required = true,
    .out.text = &name },
  { .flag = "number",
    .env = "TEST_NUMBER",
    .arg = "X",
    .help = "h",
    .type = SNIPE_SETTING_COUNT,
    .min = 1,
    .max = 10,
    .out.number = &number },
  { .flag = "choice",
    .env = "TEST_CHOICE",
    .arg = "X",
    .help = "h",
    .type = SNIPE_SETTING_CHOICE,
    .choices = choices,
    .out.number = &choice },
  { .flag = "ratio",
    .env = "TEST_RATIO",
    .arg = "X",
    .help = "h",
    .type = SNIPE_SETTING_DOUBLE,
    .min = 1,
    .max = 2,
    .out.real = &ratio },
  { .flag = "hooks",
    .env = "TEST_HOOKS",
    .arg = "X",
    .help = "h",
    .type = SNIPE_SETTING_BOOL,
    .out.flag = &hooks },
  { .flag = NULL },
};

struct settings_case
{
  const char *name; /**< the failure that the case guards against */
  const char *flags;
  const char *env_number;
  int status;
  uint64_t number;
};

static const struct settings_case cases[] = {
  { "flag ignored", "--name=x --number=5", NULL, SNIPE_OK, 5 },
  { "environment ignored", "--name=x", "7", SNIPE_OK, 7 },
  { "environment overrides flag", "--name=x --number=5", "7", SNIPE_OK, 5 },
  { "default lost", "--name=x", NULL, SNIPE_OK, 3 },
  { "missing setting accepted", "--number=5", NULL, SNIPE_E_INVALID, 5 },
  { "under the range", "--name=x --number=0", NULL, SNIPE_E_INVALID, 3 },
  { "over the range", "--name=x", "11", SNIPE_E_INVALID, 3 },
  { "fraction accepted as integer", "--name=x --number=1.5", NULL,
    SNIPE_E_INVALID, 3 },
  { "text after a number accepted", "--name=x --number=5x", NULL,
    SNIPE_E_INVALID, 3 },
  { "empty number", "--name=x --number=", NULL, SNIPE_E_INVALID, 3 },
  { "unknown choice", "--name=x --choice=c", NULL, SNIPE_E_INVALID, 3 },
  { "ratio out of range", "--name=x --ratio=2.5", NULL, SNIPE_E_INVALID, 3 },
  { "ratio not a number", "--name=x --ratio=nan", NULL, SNIPE_E_INVALID, 3 },
  { "host name accepted as address", "--name=x --address=localhost:1", NULL,
    SNIPE_E_INVALID, 3 },
  { "port too large", "--name=x --address=127.0.0.1:65536", NULL,
    SNIPE_E_INVALID, 3 },
  { "valid values rejected",
    "--name=x --address=127.0.0.1:0 --choice=b --ratio=1.5 --hooks", NULL,
    SNIPE_OK, 3 },
  { "flag that is neither true nor false", "--name=x --hooks=yes", NULL,
    SNIPE_E_INVALID, 3 },
};

static void
test_settings (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct settings_case *c = &cases[i];
      char *line = g_strdup_printf ("prog %s", c->flags);
      char **argv = g_strsplit (line, " ", -1);
      bool ok;

      number = 3;
      if (c->env_number != NULL)
        setenv ("TEST_NUMBER", c->env_number, 1);
      else
        unsetenv ("TEST_NUMBER");
      ok = snipe_settings_read (table, (int)g_strv_length (argv), argv, "t")
               == c->status
           && number == c->number;
      if (!ok)
        printf ("\n    %s", c->name);
      CU_ASSERT_TRUE (ok);
      g_strfreev (argv);
      g_free (line);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "settings", test_settings },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("settings", tests);
}
