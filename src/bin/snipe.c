/* snipe: command-line client for callers. */
#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/job_text.h"
#include "util/settings.h"
#include "ctl/submit.h"
#include "snipe/clock.h"
#include "snipe/status.h"

enum setting
{
  HOST,
  ID,
  OWN,
  TEAM,
  WAIT,
  RETRIES,
  TIMEOUT,
  SETTING_COUNT
};

#define OPTION_KEY_TASK 'k'

static struct snipe_setting settings[] = {
  [HOST] = { .key = 'H',
             .type = SNIPE_SETTING_HOSTS,
             .flag = "host",
             .env = "SNIPE_HOST",
             .arg = "IP:PORT,...",
             .help = "Entry hosts; the next is tried when one fails" },
  [ID] = { .key = 'i',
           .type = SNIPE_SETTING_TEXT,
           .flag = "id",
           .arg = "ID",
           .help = "Submit again under this id; default: a new id",
           .min = 1,
           .max = 39 },
  [OWN]
  = { .key = 'o',
      .type = SNIPE_SETTING_SWITCH,
      .flag = "own",
      .env = "SNIPE_OWN",
      .help = "Generate the id (UUID version 7) instead of requesting one "
              "from a host" },
  [TEAM] = { .key = 't',
             .type = SNIPE_SETTING_TEXT,
             .flag = "team",
             .env = "SNIPE_TEAM",
             .arg = "NAME",
             .help = "Team of the job; replaces that of FILE",
             .min = 1,
             .max = 64 },
  [WAIT] = { .key = 'W',
             .type = SNIPE_SETTING_DURATION,
             .flag = "wait",
             .env = "SNIPE_WAIT",
             .arg = "TIME",
             .help = "Longest wait for the answer; default: 60s",
             .min = 0,
             .max = 3600000,
             .value = "60s" },
  [RETRIES] = { .key = 'r',
                .type = SNIPE_SETTING_COUNT,
                .flag = "retries",
                .env = "SNIPE_RETRIES",
                .arg = "N",
                .help = "Attempts after the first; default: 5",
                .min = 0,
                .max = 100,
                .value = "5" },
  [TIMEOUT] = { .key = 'T',
                .type = SNIPE_SETTING_DURATION,
                .flag = "timeout",
                .env = "SNIPE_TIMEOUT",
                .arg = "TIME",
                .help = "Time limit of a request beyond the wait it asks "
                        "for; default: 2s",
                .min = 10,
                .max = 60000,
                .value = "2s" },
};

struct arguments
{
  const char **words;
  uint32_t count;
  json_t *tasks;
  GString *errors;
};

const char *argp_program_version = "snipe " SNIPE_VERSION;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      arguments->words[arguments->count++] = arg;
      return 0;
    case OPTION_KEY_TASK:
      if (snipe_job_text_add_task (arguments->tasks, arg) != SNIPE_OK)
        g_string_append_printf (arguments->errors, "--task: %s\n",
                                snipe_status_last ());
      return 0;
    default:
      return snipe_settings_set_flag (settings, SETTING_COUNT, key, arg)
                 ? 0
                 : ARGP_ERR_UNKNOWN;
    }
}

static bool
is_command (const struct arguments *arguments, const char *name)
{
  return arguments->count > 0 && strcmp (arguments->words[0], name) == 0;
}

static void
check_arguments (const struct arguments *arguments)
{
  size_t tasks = json_array_size (arguments->tasks);
  bool submit = is_command (arguments, "submit");

  if (!submit && !is_command (arguments, "get")
      && !is_command (arguments, "cancel"))
    g_string_append (arguments->errors,
                     "no such command, the commands are: submit, get, "
                     "cancel\n");
  else if (submit
           && (arguments->count > 2 || (arguments->count == 2) == (tasks > 0)))
    g_string_append (arguments->errors,
                     "submit: give one FILE, or - for standard input, or "
                     "--task once or more\n");
  else if (is_command (arguments, "get") && arguments->count != 2)
    g_string_append (arguments->errors, "get: give one ID\n");
  else if (is_command (arguments, "cancel") && arguments->count < 2)
    g_string_append (arguments->errors, "cancel: give one ID or more\n");
  if (submit && tasks > 0)
    snipe_setting_require (&settings[TEAM], arguments->errors);
  if (submit && settings[ID].value != NULL && settings[OWN].number == 1
      && !settings[OWN].from_env)
    g_string_append (arguments->errors,
                     "--id and --own: give only one of them\n");
  snipe_setting_require (&settings[HOST], arguments->errors);
}

static int
run_submit (const struct snipe_submit *submit,
            const struct arguments *arguments)
{
  const char *team = settings[TEAM].value;
  const char *id = settings[ID].value;
  bool caller_supplied_id = id == NULL && settings[OWN].number == 1;
  char uuid[SNIPE_UUID_BYTES];
  struct snipe_str body = SNIPE_STR_INIT;
  int status = arguments->count == 2
                   ? snipe_job_text_read (&body, arguments->words[1], team)
                   : snipe_job_text_make (&body, team, arguments->tasks);
  int result;

  if (status == SNIPE_OK && caller_supplied_id)
    status = snipe_uuid_make (uuid, snipe_clock_wall_ms ());
  if (status != SNIPE_OK)
    {
      fprintf (stderr, "snipe: %s\n", snipe_status_last ());
      snipe_str_clear (&body);
      return SNIPE_SUBMIT_USAGE;
    }
  result
      = snipe_submit_job (submit, caller_supplied_id ? uuid : id,
                          caller_supplied_id, snipe_str_c (&body), body.len);
  snipe_str_clear (&body);
  return result;
}

static int
run (const struct arguments *arguments)
{
  struct snipe_submit submit = {
    .hosts = g_strsplit (settings[HOST].value, ",", -1),
    .retries = (uint32_t)settings[RETRIES].number,
    .wait_ms = settings[WAIT].number,
    .timeout_ms = settings[TIMEOUT].number,
    .out = stdout,
    .err = stderr,
  };
  int result;

  submit.host_count = g_strv_length (submit.hosts);
  if (is_command (arguments, "submit"))
    result = run_submit (&submit, arguments);
  else if (is_command (arguments, "get"))
    result = snipe_submit_get (&submit, arguments->words[1]);
  else
    result = snipe_submit_cancel (&submit, arguments->words + 1,
                                  arguments->count - 1);
  g_strfreev (submit.hosts);
  return result;
}

int
main (int argc, char **argv)
{
  static const char doc[]
      = "Submits a job to snipelb, waits, and prints the complete answer."
        "\vPrints the id on standard error before the job is submitted. "
        "Options other than --id and --task can also be set by environment "
        "variables, such as SNIPE_HOST.\n\n"
        "Exit codes: 0 complete, or a cancellation was accepted; 1 no host "
        "answered (get, cancel); 2 usage; 10 not run; 11 unknown, the job "
        "may have run; 12 still running after the wait.";
  struct argp_option options[SETTING_COUNT + 2];
  struct argp argp = { options,
                       parse_option,
                       "submit FILE|-\nsubmit --task KIND:JSON...\n"
                       "get ID\ncancel ID...",
                       doc,
                       NULL,
                       NULL,
                       NULL };
  struct arguments arguments = { .tasks = json_array (), .errors = NULL };
  int result = SNIPE_SUBMIT_USAGE;

  arguments.errors = g_string_new (NULL);
  arguments.words = g_new0 (const char *, (gsize)argc + 1);
  argp_err_exit_status = SNIPE_SUBMIT_USAGE;
  snipe_settings_to_argp (options, settings, SETTING_COUNT);
  options[SETTING_COUNT] = (struct argp_option){
    .name = "task",
    .key = OPTION_KEY_TASK,
    .arg = "KIND:JSON",
    .doc = "A task with its payload; repeat for each task",
  };
  options[SETTING_COUNT + 1] = (struct argp_option){ 0 };
  snipe_settings_read_environment (settings, SETTING_COUNT);
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  snipe_settings_check (settings, SETTING_COUNT, arguments.errors);
  check_arguments (&arguments);
  if (arguments.errors->len > 0)
    fputs (arguments.errors->str, stderr);
  else
    result = run (&arguments);
  g_string_free (arguments.errors, TRUE);
  json_decref (arguments.tasks);
  g_free (arguments.words);
  return result;
}
