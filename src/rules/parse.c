#include "snipe/rules.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "rules/lex.h"
#include "rules/set.h"
#include "snipe/status.h"

#define FILE_LINES_MAX 10000
#define FILE_BYTES_MAX (1024 * 1024)
#define NAME_BYTES_MAX 64
#define DOMAINS_MAX 64
/* An error message quotes at most this much of an invalid word. */
#define WORD_BYTES_SHOWN 80

struct parser
{
  struct snipe_rules *rules;
  struct snipe_lex *lex;
  uint32_t line;
};

enum key_type
{
  KEY_TEAM,    /* a name */
  KEY_KIND,    /* a name or * */
  KEY_DOMAINS, /* names separated by commas, or * */
  KEY_NUMBER,
};

#define KEYS_MAX 3

struct key
{
  const char *name;
  enum key_type type;
  uint32_t min;
  uint32_t max;
};

struct verb
{
  const char *name;
  struct key keys[KEYS_MAX + 1]; /* ends with a NULL name */
};

static const struct verb verbs[] = {
  [SNIPE_RULE_ALLOW] = { "allow",
                         { { "team", KEY_TEAM, 0, 0 },
                           { "kind", KEY_KIND, 0, 0 },
                           { "domain", KEY_DOMAINS, 0, 0 } } },
  [SNIPE_RULE_LIMIT]
  = { "limit",
      { { "team", KEY_TEAM, 0, 0 }, { "slots", KEY_NUMBER, 1, 1000000 } } },
  [SNIPE_RULE_QUEUE] = { "queue",
                         { { "team", KEY_TEAM, 0, 0 },
                           { "max", KEY_NUMBER, 0, 1000000 },
                           { "wait_ms", KEY_NUMBER, 0, 600000 } } },
  [SNIPE_RULE_RETRY] = { "retry",
                         { { "team", KEY_TEAM, 0, 0 },
                           { "kind", KEY_KIND, 0, 0 },
                           { "max", KEY_NUMBER, 0, 10 } } },
  [SNIPE_RULE_WEIGHT]
  = { "weight",
      { { "team", KEY_TEAM, 0, 0 }, { "value", KEY_NUMBER, 1, 1000 } } },
};
#define VERB_COUNT (sizeof verbs / sizeof verbs[0])

const char *
snipe_rule_verb (enum snipe_rule_kind kind)
{
  return verbs[kind].name;
}

static int fail_at (const struct parser *parser, uint32_t column,
                    const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

static int
fail_at (const struct parser *parser, uint32_t column, const char *fmt, ...)
{
  char message[400];
  va_list args;

  va_start (args, fmt);
  g_vsnprintf (message, sizeof message, fmt, args);
  va_end (args);
  return snipe_status_set (SNIPE_E_INVALID, "line %u, column %u: %s",
                           parser->line, column, message);
}

/* Fails with "expected WHAT, not TOKEN". */
static int
fail_expected (const struct parser *parser, const struct snipe_token *token,
               const char *what)
{
  if (token->kind == SNIPE_TOKEN_END)
    return fail_at (parser, token->column,
                    "expected %s before the end of the rule", what);
  return fail_at (parser, token->column, "expected %s, not \"%.*s\"", what,
                  (int)MIN (token->len, WORD_BYTES_SHOWN), token->text);
}

static bool
token_is (const struct snipe_token *token, const char *word)
{
  return token->len == strlen (word)
         && memcmp (token->text, word, token->len) == 0;
}

static int
read_word (struct parser *parser, struct snipe_token *token, const char *what)
{
  *token = snipe_lex_next (parser->lex);
  if (token->kind != SNIPE_TOKEN_WORD)
    return fail_expected (parser, token, what);
  return SNIPE_OK;
}

static int
set_name (const struct parser *parser, struct snipe_str *out,
          const struct snipe_token *token, const char *key, bool any)
{
  if (token->len > NAME_BYTES_MAX)
    return fail_at (parser, token->column,
                    "%s \"%.*s\" is %zu bytes long, the range is 1 to %d", key,
                    (int)MIN (token->len, WORD_BYTES_SHOWN), token->text,
                    token->len, NAME_BYTES_MAX);
  if (memchr (token->text, '*', token->len) != NULL
      && !(any && token->len == 1))
    return fail_at (parser, token->column, "%s \"%.*s\" must be a name%s", key,
                    (int)token->len, token->text,
                    any ? " or * alone" : ", * is not allowed here");
  return snipe_str_set (out, token->text, token->len);
}

static int
set_number (const struct parser *parser, uint32_t *out,
            const struct snipe_token *token, const struct key *key)
{
  uint64_t value = 0;
  bool digits = true;

  for (size_t i = 0; i < token->len && digits; i++)
    {
      digits = g_ascii_isdigit (token->text[i]);
      /* Clamped, so that a long number cannot overflow into the valid range.
       */
      value = MIN (value * 10 + (uint64_t)(token->text[i] - '0'), UINT32_MAX);
    }
  if (!digits || value < key->min || value > key->max)
    return fail_at (parser, token->column,
                    "%s=%.*s is outside the range %u to %u", key->name,
                    (int)MIN (token->len, WORD_BYTES_SHOWN), token->text,
                    key->min, key->max);
  *out = (uint32_t)value;
  return SNIPE_OK;
}

/* Appends a domain to the rule's list. "*" is an error here: it is valid only
 * as the whole list, which read_domains () handles. */
static int
add_domain (const struct parser *parser, struct snipe_rule *rule,
            const struct snipe_token *token)
{
  uint32_t count = rule->u.allow.domain_count;
  struct snipe_str *domains = rule->u.allow.domains;

  if (count == DOMAINS_MAX)
    return fail_at (parser, token->column,
                    "domain \"%.*s\" is one too many, the range is 1 to %d",
                    (int)MIN (token->len, WORD_BYTES_SHOWN), token->text,
                    DOMAINS_MAX);
  for (uint32_t i = 0; i < count; i++)
    if (token_is (token, domains[i].data))
      return fail_at (parser, token->column, "domain \"%s\" is repeated",
                      domains[i].data);
  domains = realloc (domains, (count + 1) * sizeof *domains);
  if (domains == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for the domains of a rule");
  rule->u.allow.domains = domains;
  domains[count] = (struct snipe_str)SNIPE_STR_INIT;
  rule->u.allow.domain_count = count + 1;
  return set_name (parser, &domains[count], token, "domain", false);
}

/* Reads a list whose first word is @p token, and stores the first token after
 * the list in @p token. */
static int
read_domains (struct parser *parser, struct snipe_rule *rule,
              struct snipe_token *token)
{
  bool any = token_is (token, "*");
  int status = any ? SNIPE_OK : add_domain (parser, rule, token);

  while (status == SNIPE_OK)
    {
      uint32_t column;

      *token = snipe_lex_next (parser->lex);
      if (token->kind != SNIPE_TOKEN_COMMA)
        return SNIPE_OK;
      column = token->column;
      if (any)
        return fail_at (parser, column,
                        "\",\" after domain=*, which covers every domain");
      status = read_word (parser, token, "a domain");
      if (status == SNIPE_OK)
        status = add_domain (parser, rule, token);
    }
  return status;
}

static uint32_t *
number_field (struct snipe_rule *rule, const char *key)
{
  switch (rule->kind)
    {
    case SNIPE_RULE_LIMIT:
      return &rule->u.limit.slots;
    case SNIPE_RULE_QUEUE:
      return strcmp (key, "max") == 0 ? &rule->u.queue.max
                                      : &rule->u.queue.wait_ms;
    case SNIPE_RULE_RETRY:
      return &rule->u.retry.max;
    case SNIPE_RULE_WEIGHT:
    case SNIPE_RULE_ALLOW:
      break;
    }
  return &rule->u.weight.value;
}

/* Reads a value whose first word is @p token, and stores the first token after
 * the value in @p token. */
static int
read_value (struct parser *parser, struct snipe_rule *rule,
            const struct key *key, struct snipe_token *token)
{
  int status = SNIPE_E_INTERNAL;

  switch (key->type)
    {
    case KEY_DOMAINS:
      return read_domains (parser, rule, token);
    case KEY_TEAM:
      status = set_name (parser, &rule->team, token, key->name, false);
      break;
    case KEY_KIND:
      status = set_name (parser,
                         rule->kind == SNIPE_RULE_ALLOW
                             ? &rule->u.allow.task_kind
                             : &rule->u.retry.task_kind,
                         token, key->name, true);
      break;
    case KEY_NUMBER:
      status = set_number (parser, number_field (rule, key->name), token, key);
      break;
    }
  *token = snipe_lex_next (parser->lex);
  return status;
}

static const struct key *
find_key (const struct verb *verb, const struct snipe_token *token)
{
  for (const struct key *key = verb->keys; key->name != NULL; key++)
    if (token_is (token, key->name))
      return key;
  return NULL;
}

static int
read_keys (struct parser *parser, struct snipe_rule *rule,
           const struct snipe_token *start)
{
  const struct verb *verb = &verbs[rule->kind];
  bool seen[KEYS_MAX] = { false };
  struct snipe_token token = snipe_lex_next (parser->lex);

  while (token.kind != SNIPE_TOKEN_END)
    {
      const struct key *key;
      struct snipe_token equals;
      int status;

      if (token.kind != SNIPE_TOKEN_WORD)
        return fail_expected (parser, &token, "a key");
      key = find_key (verb, &token);
      if (key == NULL)
        return fail_at (parser, token.column, "unknown key \"%.*s\" for %s",
                        (int)MIN (token.len, WORD_BYTES_SHOWN), token.text,
                        verb->name);
      if (seen[key - verb->keys])
        return fail_at (parser, token.column, "repeated key \"%s\"",
                        key->name);
      seen[key - verb->keys] = true;
      equals = snipe_lex_next (parser->lex);
      if (equals.kind != SNIPE_TOKEN_EQUALS)
        return fail_expected (parser, &equals, "=");
      status = read_word (parser, &token, "a value");
      if (status == SNIPE_OK)
        status = read_value (parser, rule, key, &token);
      if (status != SNIPE_OK)
        return status;
    }
  for (int i = 0; i < KEYS_MAX && verb->keys[i].name != NULL; i++)
    if (!seen[i])
      return fail_at (parser, start->column, "\"%s\" lacks the key \"%s\"",
                      verb->name, verb->keys[i].name);
  return SNIPE_OK;
}

static int
read_verb (struct parser *parser, struct snipe_rule *rule,
           struct snipe_token *token)
{
  int status = read_word (parser, token, "a verb");

  if (status != SNIPE_OK)
    return status;
  for (unsigned int i = 0; i < VERB_COUNT; i++)
    if (token_is (token, verbs[i].name))
      {
        rule->kind = (enum snipe_rule_kind)i;
        return SNIPE_OK;
      }
  return fail_at (parser, token->column,
                  "unknown verb \"%.*s\", the verbs are allow, limit, queue, "
                  "retry, weight",
                  (int)MIN (token->len, WORD_BYTES_SHOWN), token->text);
}

static const char *
skip_blanks (const char *at, const char *end)
{
  while (at < end && (*at == ' ' || *at == '\t'))
    at++;
  return at;
}

static const char *
trim_blanks (const char *start, const char *end)
{
  while (end > start && (end[-1] == ' ' || end[-1] == '\t'))
    end--;
  return end;
}

/* Reads "# asked by NAME[, text]" at @p at; @p start is the start of the
 * line. */
static int
read_requester (const struct parser *parser, struct snipe_rule *rule,
                const char *start, const char *at, const char *end)
{
  static const char prefix[] = "asked by";
  const char *name;
  const char *name_end;
  const char *note = NULL;
  int status;

  if (at == end)
    return fail_at (parser, (uint32_t)(trim_blanks (start, end) - start) + 1,
                    "the rule names no requester, expected "
                    "\"# asked by NAME\" at its end");
  name = skip_blanks (at + 1, end);
  if ((size_t)(end - name) < strlen (prefix)
      || memcmp (name, prefix, strlen (prefix)) != 0
      || skip_blanks (name + strlen (prefix), end) == name + strlen (prefix))
    {
      const char *shown = at + MIN (end - at, WORD_BYTES_SHOWN);

      while (shown < end && ((unsigned char)*shown & 0xC0U) == 0x80U)
        shown--;
      return fail_at (parser, (uint32_t)(at - start) + 1,
                      "comment \"%.*s\" names no requester, expected "
                      "\"# asked by NAME\"",
                      (int)(shown - at), at);
    }
  name = skip_blanks (name + strlen (prefix), end);
  name_end = memchr (name, ',', (size_t)(end - name));
  if (name_end != NULL)
    note = skip_blanks (name_end + 1, end);
  else
    name_end = end;
  name_end = trim_blanks (name, name_end);
  if (name_end == name)
    return fail_at (parser, (uint32_t)(name - start) + 1,
                    "the name of the requester is missing after "
                    "\"# asked by\"");
  status = snipe_str_set (&rule->requester, name, (size_t)(name_end - name));
  end = trim_blanks (name, end);
  if (status == SNIPE_OK && note != NULL && note < end)
    status = snipe_str_set (&rule->note, note, (size_t)(end - note));
  return status;
}

static int
check_conflict (const struct parser *parser, const struct snipe_rule *rule,
                const struct snipe_token *verb)
{
  const struct snipe_str *task_kind = snipe_rule_task_kind (rule);
  const struct snipe_rule *earlier
      = snipe_rules_find (parser->rules, rule->kind, &rule->team, task_kind);

  if (earlier != NULL && task_kind != NULL)
    return fail_at (parser, verb->column,
                    "\"%s\" for team \"%s\" and kind \"%s\" is a duplicate "
                    "of line %u",
                    verbs[rule->kind].name, rule->team.data, task_kind->data,
                    earlier->line);
  if (earlier != NULL)
    return fail_at (parser, verb->column,
                    "\"%s\" for team \"%s\" contradicts line %u, a team has "
                    "one such line",
                    verbs[rule->kind].name, rule->team.data, earlier->line);
  if (task_kind == NULL)
    return SNIPE_OK;
  earlier = snipe_rules_find (parser->rules, rule->kind, &rule->team,
                              &snipe_rule_any_kind);
  if (earlier == NULL)
    return SNIPE_OK;
  return fail_at (parser, verb->column,
                  "\"%s\" for team \"%s\" and kind \"%s\" can never match, "
                  "line %u covers every kind",
                  verbs[rule->kind].name, rule->team.data, task_kind->data,
                  earlier->line);
}

/* Checks that a line is valid UTF-8 without control characters except tab. */
static int
check_characters (const struct parser *parser, const char *text, size_t len)
{
  const char *end = text;
  uint32_t column = 1;
  /* GLib stops at a NUL, although it is valid UTF-8. */
  bool valid = g_utf8_validate (text, (gssize)len, &end);

  for (const char *at = text; at < end; at = g_utf8_next_char (at))
    {
      gunichar c = g_utf8_get_char (at);

      if (c != '\t' && g_unichar_iscntrl (c))
        return fail_at (parser, column, "control character 0x%02X",
                        (unsigned int)c);
      column++;
    }
  if (valid)
    return SNIPE_OK;
  if (*end == '\0')
    return fail_at (parser, column, "control character 0x00");
  return fail_at (parser, column, "byte 0x%02X is not valid UTF-8",
                  (unsigned int)(unsigned char)*end);
}

static int
read_line (struct parser *parser, const char *text, size_t len)
{
  struct snipe_rules *rules = parser->rules;
  struct snipe_rule *rule = &rules->lines[rules->count];
  const char *end = text + len;
  const char *comment;
  struct snipe_token verb;
  int status = check_characters (parser, text, len);

  if (status != SNIPE_OK)
    return status;
  comment = memchr (text, '#', len);
  if (comment == NULL)
    comment = end;
  if (skip_blanks (text, comment) == comment)
    return SNIPE_OK;
  snipe_lex_set_line (parser->lex, text, (size_t)(comment - text));
  *rule = (struct snipe_rule){ .line = parser->line };
  status = read_verb (parser, rule, &verb);
  if (status == SNIPE_OK)
    status = read_keys (parser, rule, &verb);
  if (status == SNIPE_OK)
    status = read_requester (parser, rule, text, comment, end);
  if (status == SNIPE_OK)
    status = check_conflict (parser, rule, &verb);
  if (status != SNIPE_OK)
    {
      snipe_rule_clear (rule);
      return status;
    }
  g_hash_table_add (rules->by_key, rule);
  rules->count++;
  return SNIPE_OK;
}

static uint32_t
count_lines (const char *text, size_t len)
{
  uint32_t lines = len > 0 && text[len - 1] != '\n' ? 1 : 0;

  for (size_t i = 0; i < len; i++)
    if (text[i] == '\n')
      lines++;
  return lines;
}

static int
check_size (const char *text, size_t len)
{
  struct parser at = { .line = FILE_LINES_MAX + 1 };

  if (len > FILE_BYTES_MAX)
    {
      size_t start = FILE_BYTES_MAX;

      while (start > 0 && text[start - 1] != '\n')
        start--;
      at.line = count_lines (text, start) + 1;
      return fail_at (&at, (uint32_t)(FILE_BYTES_MAX - start) + 1,
                      "the file has %zu bytes, the range is 0 to %d", len,
                      FILE_BYTES_MAX);
    }
  if (count_lines (text, len) > FILE_LINES_MAX)
    return fail_at (&at, 1, "the file has %u lines, the range is 0 to %d",
                    count_lines (text, len), FILE_LINES_MAX);
  return SNIPE_OK;
}

int
snipe_rules_parse (struct snipe_rules **out, const char *text, size_t len,
                   uint64_t version)
{
  struct parser parser = { 0 };
  int status = check_size (text, len);

  if (status != SNIPE_OK)
    return status;
  parser.rules = snipe_rules_new (count_lines (text, len) + 1);
  parser.lex = snipe_lex_new ();
  if (parser.rules == NULL || parser.lex == NULL)
    {
      status = snipe_status_set (SNIPE_E_NOMEM,
                                 "out of memory for a set of rules");
      goto cleanup;
    }
  parser.rules->version = version;
  status = snipe_str_set (&parser.rules->text, text, len);
  for (size_t at = 0; at < len && status == SNIPE_OK;)
    {
      const char *end = memchr (text + at, '\n', len - at);
      size_t bytes = end == NULL ? len - at : (size_t)(end - text) - at;

      parser.line++;
      status = read_line (&parser, text + at, bytes);
      at += bytes + 1;
    }
  if (status == SNIPE_OK)
    {
      *out = parser.rules;
      parser.rules = NULL;
    }

cleanup:
  snipe_lex_free (parser.lex);
  snipe_rules_unref (parser.rules);
  return status;
}
