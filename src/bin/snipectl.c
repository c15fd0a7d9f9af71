/* snipectl: command-line client for operators. */
#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "util/settings.h"

enum setting
{
  PLATFORM,
  HOSTS,
  WHO,
  WAIT,
  TIMEOUT,
  SETTLE,
  IF_VERSION,
  JSON,
  SETTING_COUNT
};

static struct snipe_setting settings[] = {
  [PLATFORM] = { .key = 'p',
                 .flag = "platform",
                 .env = "SNIPECTL_PLATFORM",
                 .arg = "URL",
                 .help = "Platform service, http://ip:port",
                 .type = SNIPE_SETTING_URL },
  [HOSTS] = { .key = 'H',
              .flag = "hosts",
              .env = "SNIPECTL_HOSTS",
              .arg = "IP:PORT,...",
              .help = "Entry hosts; default: those in the platform's table",
              .type = SNIPE_SETTING_HOSTS },
  [WHO] = { .key = 'w',
            .flag = "who",
            .env = "SNIPECTL_WHO",
            .arg = "NAME",
            .help = "Name of the publisher; default: $USER",
            .type = SNIPE_SETTING_TEXT,
            .min = 1,
            .max = 64 },
  [WAIT] = { .key = 'W',
             .flag = "wait",
             .env = "SNIPECTL_WAIT",
             .arg = "TIME",
             .help = "Longest wait for published rules to be in force; "
                     "default: 4s",
             .type = SNIPE_SETTING_DURATION,
             .min = 0,
             .max = 600000,
             .value = "4s" },
  [TIMEOUT] = { .key = 't',
                .flag = "timeout",
                .env = "SNIPECTL_TIMEOUT",
                .arg = "TIME",
                .help = "Time limit of one request; default: 1s",
                .type = SNIPE_SETTING_DURATION,
                .min = 10,
                .max = 60000,
                .value = "1s" },
  [SETTLE] = { .key = 's',
               .flag = "settle",
               .env = "SNIPECTL_SETTLE",
               .arg = "TIME",
               .help = "Longest time to determine whether the platform "
                       "accepted a publication; default: 30s",
               .type = SNIPE_SETTING_DURATION,
               .min = 0,
               .max = 600000,
               .value = "30s" },
  [IF_VERSION] = { .key = 'i',
                   .flag = "if-version",
                   .env = "SNIPECTL_IF_VERSION",
                   .arg = "N",
                   .help = "Publish only if this is the current version; 0: "
                           "no rules are published",
                   .type = SNIPE_SETTING_COUNT,
                   .min = 0,
                   .max = INT64_MAX },
  [JSON] = { .key = 'j',
             .flag = "json",
             .env = "SNIPECTL_JSON",
             .help = "Print JSON",
             .type = SNIPE_SETTING_SWITCH },
};

static int
run_show (const struct snipe_ctl *ctl, const char *arg)
{
  (void)arg;
  return snipe_ctl_rules_show (ctl);
}

static int
run_status (const struct snipe_ctl *ctl, const char *arg)
{
  (void)arg;
  return snipe_ctl_status (ctl);
}

struct command
{
  const char *group; /* first word; NULL: the command is its name only */
  const char *name;
  const char *arg; /* NULL: none */
  bool needs_platform;
  bool needs_hosts; /* from --hosts or --platform */
  int (*run) (const struct snipe_ctl *ctl, const char *arg);
};

static const struct command commands[] = {
  { "rules", "check", "FILE", false, false, snipe_ctl_rules_check },
  { "rules", "diff", "FILE", true, false, snipe_ctl_rules_diff },
  { "rules", "publish", "FILE", true, false, snipe_ctl_rules_publish },
  { "rules", "show", NULL, true, false, run_show },
  { NULL, "status", NULL, false, true, run_status },
  { NULL, "drain", "HOST", false, false, snipe_ctl_drain },
  { NULL, "explain", "JOB_ID", false, true, snipe_ctl_explain },
  { NULL, "metrics", "HOST", false, false, snipe_ctl_metrics },
};
#define COMMAND_COUNT (sizeof commands / sizeof commands[0])

#define ARGUMENTS_MAX 4

struct arguments
{
  const char *words[ARGUMENTS_MAX];
  int count;
};

const char *argp_program_version = "snipectl " SNIPE_VERSION;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  if (key == ARGP_KEY_ARG)
    {
      if (arguments->count == ARGUMENTS_MAX)
        argp_error (state, "too many arguments, beginning with \"%s\"", arg);
      else
        arguments->words[arguments->count++] = arg;
      return 0;
    }
  return snipe_settings_set_flag (settings, SETTING_COUNT, key, arg)
             ? 0
             : ARGP_ERR_UNKNOWN;
}

/* Finds the command that the arguments name and sets *arg to its argument. */
static const struct command *
find_command (const struct arguments *arguments, const char **arg)
{
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    {
      const struct command *command = &commands[i];
      int group_count = command->group == NULL ? 0 : 1;

      if (arguments->count != group_count + 1 + (command->arg == NULL ? 0 : 1)
          || (group_count == 1
              && strcmp (arguments->words[0], command->group) != 0)
          || strcmp (arguments->words[group_count], command->name) != 0)
        continue;
      *arg = command->arg == NULL ? NULL : arguments->words[group_count + 1];
      return command;
    }
  return NULL;
}

static void
append_commands (GString *errors)
{
  g_string_append (errors, "no such command, the commands are:");
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    {
      g_string_append (errors, i == 0 ? " " : ", ");
      if (commands[i].group != NULL)
        g_string_append_printf (errors, "%s ", commands[i].group);
      g_string_append (errors, commands[i].name);
      if (commands[i].arg != NULL)
        g_string_append_printf (errors, " %s", commands[i].arg);
    }
  g_string_append_c (errors, '\n');
}

static void
check_settings (const struct command *command, GString *errors)
{
  snipe_settings_check (settings, SETTING_COUNT, errors);
  if (command == NULL)
    {
      append_commands (errors);
      return;
    }
  if (command->needs_platform
      || (command->needs_hosts && settings[HOSTS].value == NULL))
    snipe_setting_require (&settings[PLATFORM], errors);
  if (command->run == snipe_ctl_rules_publish)
    snipe_setting_require (&settings[WHO], errors);
}

static struct snipe_ctl
make_context (void)
{
  return (struct snipe_ctl){
    .platform = settings[PLATFORM].value,
    .hosts = settings[HOSTS].value,
    .publisher = settings[WHO].value,
    .timeout_ms = settings[TIMEOUT].number,
    .wait_ms = settings[WAIT].number,
    .confirm_timeout_ms = settings[SETTLE].number,
    .if_version
    = settings[IF_VERSION].value == NULL ? -1 : settings[IF_VERSION].number,
    .json = settings[JSON].number == 1,
    .out = stdout,
    .err = stderr,
  };
}

int
main (int argc, char **argv)
{
  static const char doc[]
      = "Checks and publishes the rules of snipelb and shows its hosts."
        "\vEach option can also be set by an environment variable: "
        "SNIPECTL_ and its name in capitals, such as SNIPECTL_PLATFORM. "
        "FILE may be - for standard input. HOST is a name or ip:port.\n\n"
        "Exit codes: 0 done; 1 failed; 2 usage; 3 conflict, someone else "
        "published; 4 accepted, but not in force on every host.";
  static const char usage[] = "rules check FILE\nrules diff FILE\n"
                              "rules publish FILE\nrules show\nstatus\n"
                              "drain HOST\nexplain JOB_ID\nmetrics HOST";
  struct argp_option options[SETTING_COUNT + 1];
  struct argp argp = { options, parse_option, usage, doc, NULL, NULL, NULL };
  struct arguments arguments = { 0 };
  const char *arg = NULL;
  const struct command *command;
  GString *errors = g_string_new (NULL);
  bool usable;
  struct snipe_ctl ctl;

  settings[WHO].value = getenv ("USER");
  if (settings[WHO].value != NULL && settings[WHO].value[0] == '\0')
    settings[WHO].value = NULL;
  argp_err_exit_status = SNIPE_CTL_USAGE;
  snipe_settings_to_argp (options, settings, SETTING_COUNT);
  snipe_settings_read_environment (settings, SETTING_COUNT);
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  command = find_command (&arguments, &arg);
  check_settings (command, errors);
  usable = errors->len == 0;
  fputs (errors->str, stderr);
  g_string_free (errors, TRUE);
  if (command == NULL || !usable)
    return SNIPE_CTL_USAGE;
  ctl = make_context ();
  return command->run (&ctl, arg);
}
