/**
 * @file lex.h
 * Words of one line of the rules file, read by GLib's GScanner, with their
 * columns.
 */
#ifndef SNIPE_RULES_LEX_H
#define SNIPE_RULES_LEX_H

#include <stddef.h>
#include <stdint.h>

enum snipe_token_kind
{
  SNIPE_TOKEN_WORD,
  SNIPE_TOKEN_EQUALS,
  SNIPE_TOKEN_COMMA,
  SNIPE_TOKEN_OTHER, /**< a character that no rule may hold */
  SNIPE_TOKEN_END,
};

struct snipe_token
{
  enum snipe_token_kind kind;
  uint32_t column;  /**< 1-based, in characters; a tab counts as one */
  const char *text; /**< in the text of the line, not NUL-terminated */
  size_t len;       /**< bytes */
};

struct snipe_lex;

/** @return NULL without memory. */
struct snipe_lex *snipe_lex_new (void);
void snipe_lex_free (struct snipe_lex *lex);
/** Starts on a line without its comment; the text must outlive the tokens. */
void snipe_lex_line (struct snipe_lex *lex, const char *text, size_t len);
struct snipe_token snipe_lex_next (struct snipe_lex *lex);

#endif
