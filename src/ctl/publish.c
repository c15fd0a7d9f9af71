#include "ctl/ctl.h"

#include <glib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "snipe/clock.h"
#include "snipe/status.h"

#define RETRY_INTERVAL_US (200 * SNIPE_MS)

enum publish_outcome
{
  PUBLISH_ACCEPTED,
  PUBLISH_UNCHANGED,  /* the same text is already published */
  PUBLISH_CONFLICT,   /* another version is published; this publication was
                         not accepted */
  PUBLISH_SUPERSEDED, /* the same, but since a reply was lost, this publication
                         may have been accepted before it */
  PUBLISH_NOT_SENT,   /* platform unreachable; not accepted */
  PUBLISH_UNKNOWN,
};

struct publication
{
  const struct snipe_ctl *ctl;
  struct snipe_rules *rules;
  struct snipe_ctl_published before; /* the row to replace */
  struct snipe_ctl_published now;    /* the row as last read */
  char operation_id[33];
  json_t *value;
  uint64_t version; /* once accepted */
  enum publish_outcome outcome;
  struct snipe_fleet fleet;
};

static int
generate_operation_id (char *operation_id)
{
  unsigned char bytes[16];

  if (getrandom (bytes, sizeof bytes, 0) != (ssize_t)sizeof bytes)
    return snipe_status_set (
        SNIPE_E_INTERNAL, "cannot generate an operation id: no random bytes");
  for (size_t i = 0; i < sizeof bytes; i++)
    g_snprintf (operation_id + 2 * i, 3, "%02x", bytes[i]);
  return SNIPE_OK;
}

static int
make_row (struct publication *pub)
{
  GDateTime *now = g_date_time_new_now_utc ();
  char *when = g_date_time_format (now, "%Y-%m-%dT%H:%M:%SZ");
  const struct snipe_str *text = snipe_rules_text (pub->rules);
  int status = generate_operation_id (pub->operation_id);

  if (status == SNIPE_OK)
    pub->value = json_pack (
        "{s:s%, s:s, s:s, s:s}", "text", snipe_str_c (text), text->len, "who",
        pub->ctl->publisher, "when", when, "op", pub->operation_id);
  if (status == SNIPE_OK && pub->value == NULL)
    status = snipe_status_set (SNIPE_E_INTERNAL,
                               "cannot build the row \"rules\" as JSON");
  g_free (when);
  g_date_time_unref (now);
  return status;
}

/* Reads the row back. @return whether this determines the outcome. */
static bool
read_back (struct publication *pub, bool maybe_written)
{
  snipe_ctl_published_clear (&pub->now);
  if (snipe_ctl_published_get (&pub->now, pub->ctl) != SNIPE_OK)
    return false;
  if (snipe_str_equal_c (&pub->now.operation_id, pub->operation_id))
    {
      pub->version = pub->now.version;
      pub->outcome = PUBLISH_ACCEPTED;
      return true;
    }
  if (pub->now.version == pub->before.version)
    return false;
  pub->outcome = maybe_written ? PUBLISH_SUPERSEDED : PUBLISH_CONFLICT;
  return true;
}

/* Writes the row until the outcome is known. Repeated writes are harmless:
 * they carry the same expected version and operation id, so at most one of
 * them takes effect. */
static void
write_until_known (struct publication *pub)
{
  struct snipe_table table = snipe_ctl_table (pub->ctl);
  snipe_time deadline
      = snipe_clock_now () + pub->ctl->confirm_timeout_ms * SNIPE_MS;
  bool maybe_written = false;

  do
    {
      int status = snipe_table_compare_and_swap (
          &pub->version, &table, "rules", pub->before.version, pub->value);

      if (status == SNIPE_OK)
        {
          pub->outcome = PUBLISH_ACCEPTED;
          return;
        }
      if (status != SNIPE_E_UNREACHABLE && status != SNIPE_E_CONFLICT)
        maybe_written = true;
      fprintf (pub->ctl->err, "publish: %s; reading the row back\n",
               snipe_status_last ());
      if (read_back (pub, maybe_written))
        return;
      g_usleep ((gulong)RETRY_INTERVAL_US);
    }
  while (snipe_clock_now () < deadline);
  pub->outcome = maybe_written ? PUBLISH_UNKNOWN : PUBLISH_NOT_SENT;
}

/* Reads the row, then writes it unless it has this text already or is not the
 * version to replace. */
static int
publish (struct publication *pub)
{
  const struct snipe_ctl *ctl = pub->ctl;
  int status = snipe_ctl_published_get (&pub->before, ctl);

  if (status != SNIPE_OK)
    return status;
  if (ctl->if_version >= 0 && pub->before.version != (uint64_t)ctl->if_version)
    {
      pub->now = pub->before;
      pub->before = (struct snipe_ctl_published){ 0 };
      pub->outcome = PUBLISH_CONFLICT;
      return SNIPE_OK;
    }
  if (pub->before.version > 0
      && snipe_str_equal (&pub->before.text, snipe_rules_text (pub->rules)))
    {
      pub->outcome = PUBLISH_UNCHANGED;
      pub->version = pub->before.version;
      return SNIPE_OK;
    }
  status = make_row (pub);
  if (status == SNIPE_OK)
    write_until_known (pub);
  return status;
}

static void
print_accepted_json (const struct publication *pub, const char *error)
{
  json_t *json
      = json_pack ("{s:b, s:b, s:I, s:s*}", "accepted", 1, "unchanged",
                   pub->outcome == PUBLISH_UNCHANGED, "version",
                   (json_int_t)pub->version, "error", error);

  snipe_ctl_in_force_json (json, &pub->fleet);
  snipe_ctl_print_json (pub->ctl, json);
  json_decref (json);
}

static int
report_accepted (struct publication *pub)
{
  const struct snipe_ctl *ctl = pub->ctl;
  char *error = NULL;
  bool everywhere = false;

  if (!ctl->json && pub->outcome == PUBLISH_UNCHANGED)
    fprintf (ctl->out, "unchanged: version %llu by %s has this text\n",
             (unsigned long long)pub->version,
             snipe_str_c (&pub->before.publisher));
  else if (!ctl->json)
    fprintf (ctl->out, "accepted as version %llu\n",
             (unsigned long long)pub->version);
  fflush (ctl->out);
  if (snipe_ctl_fleet_load (&pub->fleet, ctl) != SNIPE_OK)
    error = g_strdup_printf ("cannot list the entry hosts: %s",
                             snipe_status_last ());
  else if (pub->fleet.count == 0)
    error = g_strdup ("no entry host is listed");
  else
    everywhere = snipe_ctl_in_force_wait (ctl, &pub->fleet, pub->version);
  if (ctl->json)
    print_accepted_json (pub, error);
  else if (error != NULL)
    fprintf (ctl->out, "in force on: not known, %s\n", error);
  else
    snipe_ctl_in_force_print (ctl, &pub->fleet);
  g_free (error);
  return everywhere ? SNIPE_CTL_OK : SNIPE_CTL_NOT_IN_FORCE;
}

static int
report_refused (const struct publication *pub)
{
  const struct snipe_ctl *ctl = pub->ctl;
  const char *who = pub->now.publisher.len == 0
                        ? "nobody"
                        : snipe_str_c (&pub->now.publisher);
  bool conflict
      = pub->outcome == PUBLISH_CONFLICT || pub->outcome == PUBLISH_SUPERSEDED;
  char *text;

  if (pub->outcome == PUBLISH_CONFLICT)
    text = g_strdup_printf ("conflict: %s published version %llu at %s, "
                            "nothing was changed",
                            who, (unsigned long long)pub->now.version,
                            snipe_str_c (&pub->now.published_at));
  else if (pub->outcome == PUBLISH_SUPERSEDED)
    text = g_strdup_printf (
        "conflict: %s published version %llu at %s; a reply to this "
        "publication was lost, so it may have been in force before that",
        who, (unsigned long long)pub->now.version,
        snipe_str_c (&pub->now.published_at));
  else if (pub->outcome == PUBLISH_NOT_SENT)
    text = g_strdup ("the platform was unreachable, nothing was changed");
  else
    text = g_strdup_printf (
        "it is not known whether the rules were accepted (operation %s); "
        "see \"snipectl rules show\" before publishing again",
        pub->operation_id);
  if (ctl->json)
    {
      json_t *json = json_pack ("{s:o, s:s, s:s*, s:I}", "accepted",
                                pub->outcome == PUBLISH_UNKNOWN
                                        || pub->outcome == PUBLISH_SUPERSEDED
                                    ? json_null ()
                                    : json_false (),
                                "error", text, "other", conflict ? who : NULL,
                                "version", (json_int_t)pub->now.version);

      snipe_ctl_print_json (ctl, json);
      json_decref (json);
    }
  else
    fprintf (ctl->err, "snipectl: %s\n", text);
  g_free (text);
  return conflict ? SNIPE_CTL_CONFLICT : SNIPE_CTL_FAILED;
}

int
snipe_ctl_rules_publish (const struct snipe_ctl *ctl, const char *file)
{
  struct publication pub = { .ctl = ctl };
  int result;

  if (snipe_ctl_rules_load (&pub.rules, file) != SNIPE_OK)
    return snipe_ctl_fail (ctl, file);
  if (publish (&pub) != SNIPE_OK)
    result = snipe_ctl_fail (ctl, "published rules");
  else if (pub.outcome == PUBLISH_ACCEPTED || pub.outcome == PUBLISH_UNCHANGED)
    result = report_accepted (&pub);
  else
    result = report_refused (&pub);
  snipe_fleet_clear (&pub.fleet);
  json_decref (pub.value);
  snipe_ctl_published_clear (&pub.before);
  snipe_ctl_published_clear (&pub.now);
  snipe_rules_unref (pub.rules);
  return result;
}
