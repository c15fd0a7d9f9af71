/* Callers' command. */
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

#define KEY_TASK 'k'

static struct snipe_setting settings[] = {
  [HOST] = { .key = 'H',
             .type = SNIPE_SETTING_HOSTS,
             .flag = "host",
             .env = "SNIPE_HOST",
             .arg = "IP:PORT,...",
             .help = "Entry hosts; the later ones when the first fail" },
  [ID] = { .key = 'i',
           .type = SNIPE_SETTING_TEXT,
           .flag = "id",
           .arg = "ID",
           .help = "Submit under this id again; default: a new one",
           .min = 1,
           .max = 39 },
  [OWN] = { .key = 'o',
            .type = SNIPE_SETTING_SWITCH,
            .flag = "own",
            .env = "SNIPE_OWN",
            .help = "Make an id (UUID version 7) instead of asking a host" },
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

struct words
{
  const char **list;
  uint32_t count;
  json_t *tasks;
  GString *errors;
};

const char *argp_program_version = "snipe " SNIPE_VERSION;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct words *words = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      words->list[words->count++] = arg;
      return 0;
    case KEY_TASK:
      if (snipe_job_text_add_task (words->tasks, arg) != SNIPE_OK)
        g_string_append_printf (words->errors, "--task: %s\n",
                                snipe_status_last ());
      return 0;
    default:
      return snipe_settings_set_flag (settings, SETTING_COUNT, key, arg)
                 ? 0
                 : ARGP_ERR_UNKNOWN;
    }
}

static bool
is_command (const struct words *words, const char *name)
{
  return words->count > 0 && strcmp (words->list[0], name) == 0;
}

static void
check_words (const struct words *words)
{
  size_t tasks = json_array_size (words->tasks);
  bool submit = is_command (words, "submit");

  if (!submit && !is_command (words, "get") && !is_command (words, "cancel"))
    g_string_append (words->errors,
                     "no such command, the commands are: submit, get, "
                     "cancel\n");
  else if (submit && (words->count > 2 || (words->count == 2) == (tasks > 0)))
    g_string_append (words->errors,
                     "submit: give one FILE, or - for standard input, or "
                     "--task once or more\n");
  else if (is_command (words, "get") && words->count != 2)
    g_string_append (words->errors, "get: give one ID\n");
  else if (is_command (words, "cancel") && words->count < 2)
    g_string_append (words->errors, "cancel: give one ID or more\n");
  if (submit && tasks > 0)
    snipe_setting_require (&settings[TEAM], words->errors);
  if (submit && settings[ID].value != NULL && settings[OWN].number == 1
      && !settings[OWN].from_env)
    g_string_append (words->errors, "--id and --own: give one of them\n");
  snipe_setting_require (&settings[HOST], words->errors);
}

static int
run_submit (const struct snipe_submit *submit, const struct words *words)
{
  const char *team = settings[TEAM].value;
  const char *id = settings[ID].value;
  bool own = id == NULL && settings[OWN].number == 1;
  char uuid[SNIPE_UUID_BYTES];
  struct snipe_str body = SNIPE_STR_INIT;
  int status = words->count == 2
                   ? snipe_job_text_read (&body, words->list[1], team)
                   : snipe_job_text_make (&body, team, words->tasks);
  int result;

  if (status == SNIPE_OK && own)
    status = snipe_uuid_make (uuid, snipe_clock_wall_ms ());
  if (status != SNIPE_OK)
    {
      fprintf (stderr, "snipe: %s\n", snipe_status_last ());
      snipe_str_clear (&body);
      return SNIPE_SUBMIT_USAGE;
    }
  result = snipe_submit_job (submit, own ? uuid : id, own, snipe_str_c (&body),
                             body.len);
  snipe_str_clear (&body);
  return result;
}

static int
run (const struct words *words)
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
  if (is_command (words, "submit"))
    result = run_submit (&submit, words);
  else if (is_command (words, "get"))
    result = snipe_submit_get (&submit, words->list[1]);
  else
    result = snipe_submit_cancel (&submit, words->list + 1, words->count - 1);
  g_strfreev (submit.hosts);
  return result;
}

int
main (int argc, char **argv)
{
  static const char doc[]
      = "Submits a job to snipelb, waits, and prints the whole answer."
        "\vPrints the id on standard error before the job is submitted. "
        "Options other than --id and --task can also be set by environment "
        "variables, such as SNIPE_HOST.\n\n"
        "Exit codes: 0 complete, or a cancellation was taken; 1 no host "
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
  struct words words = { .tasks = json_array (), .errors = NULL };
  int result = SNIPE_SUBMIT_USAGE;

  words.errors = g_string_new (NULL);
  words.list = g_new0 (const char *, (gsize)argc + 1);
  argp_err_exit_status = SNIPE_SUBMIT_USAGE;
  snipe_settings_to_argp (options, settings, SETTING_COUNT);
  options[SETTING_COUNT] = (struct argp_option){
    .name = "task",
    .key = KEY_TASK,
    .arg = "KIND:JSON",
    .doc = "A task with its payload; repeat for each task",
  };
  options[SETTING_COUNT + 1] = (struct argp_option){ 0 };
  snipe_settings_read_environment (settings, SETTING_COUNT);
  argp_parse (&argp, argc, argv, 0, NULL, &words);
  snipe_settings_check (settings, SETTING_COUNT, words.errors);
  check_words (&words);
  if (words.errors->len > 0)
    fputs (words.errors->str, stderr);
  else
    result = run (&words);
  g_string_free (words.errors, TRUE);
  json_decref (words.tasks);
  g_free (words.list);
  return result;
}
