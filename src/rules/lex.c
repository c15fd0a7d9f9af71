#include "rules/lex.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

struct snipe_lex
{
  GScanner *scanner;
  GString *copy; /* the line with tabs replaced by spaces */
  const char *text;
};

/* A word may begin with a digit: numbers and names such as 3d-render are both
 * read as words and validated by the key they belong to. */
static const GScannerConfig scanner_config = {
  .cset_skip_characters = " ",
  .cset_identifier_first = G_CSET_A_2_Z G_CSET_a_2_z "0123456789_-.:/+*",
  .cset_identifier_nth = G_CSET_A_2_Z G_CSET_a_2_z "0123456789_-.:/+*",
  .cpair_comment_single = "#\n",
  .case_sensitive = TRUE,
  .scan_identifier = TRUE,
  .scan_identifier_1char = TRUE,
  .char_2_token = TRUE,
};

struct snipe_lex *
snipe_lex_new (void)
{
  struct snipe_lex *lex = calloc (1, sizeof *lex);

  if (lex == NULL)
    return NULL;
  lex->scanner = g_scanner_new (&scanner_config);
  lex->copy = g_string_new (NULL);
  return lex;
}

void
snipe_lex_free (struct snipe_lex *lex)
{
  if (lex == NULL)
    return;
  g_scanner_destroy (lex->scanner);
  g_string_free (lex->copy, TRUE);
  free (lex);
}

void
snipe_lex_set_line (struct snipe_lex *lex, const char *text, size_t len)
{
  lex->text = text;
  g_string_truncate (lex->copy, 0);
  g_string_append_len (lex->copy, text, (gssize)len);
  /* GScanner counts a tab as up to eight columns; editors report it as one
   * character. */
  for (size_t i = 0; i < len; i++)
    if (lex->copy->str[i] == '\t')
      lex->copy->str[i] = ' ';
  g_scanner_input_text (lex->scanner, lex->copy->str, (guint)len);
}

struct snipe_token
snipe_lex_next (struct snipe_lex *lex)
{
  struct snipe_token token = { .kind = SNIPE_TOKEN_OTHER };
  GTokenType type = g_scanner_get_next_token (lex->scanner);
  size_t end = g_scanner_cur_position (lex->scanner);

  switch ((int)type)
    {
    case G_TOKEN_EOF:
      token.kind = SNIPE_TOKEN_END;
      end = lex->copy->len;
      while (end > 0 && lex->copy->str[end - 1] == ' ')
        end--;
      break;
    case G_TOKEN_IDENTIFIER:
      token.kind = SNIPE_TOKEN_WORD;
      token.len = strlen (g_scanner_cur_value (lex->scanner).v_identifier);
      break;
    case '=':
      token.kind = SNIPE_TOKEN_EQUALS;
      token.len = 1;
      break;
    case ',':
      token.kind = SNIPE_TOKEN_COMMA;
      token.len = 1;
      break;
    default:
      token.len = 1;
      break;
    }
  /* The byte offset equals the character offset: words are ASCII, and parsing
   * of the line stops at the first non-ASCII character. */
  token.column = (uint32_t)(end - token.len) + 1;
  token.text = lex->text + (end - token.len);
  if (token.kind == SNIPE_TOKEN_OTHER)
    token.len = (size_t)(g_utf8_next_char (token.text) - token.text);
  return token;
}
