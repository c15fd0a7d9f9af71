/**
 * @file lex.h
 * Lexer for one line of the rules file, based on GLib's GScanner. Reports
 * the column of each token.
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
  SNIPE_TOKEN_OTHER, /**< a character that is invalid in a rule */
  SNIPE_TOKEN_END,
};

struct snipe_token
{
  enum snipe_token_kind kind;
  uint32_t column;  /**< 1-based, in characters; a tab counts as one */
  const char *text; /**< points into the line, not NUL-terminated */
  size_t len;       /**< bytes */
};

struct snipe_lex;

/** @return NULL if out of memory. */
struct snipe_lex *snipe_lex_new (void);
void snipe_lex_free (struct snipe_lex *lex);
/** Sets the line to read, without its comment. The text must outlive the
 * tokens. */
void snipe_lex_set_line (struct snipe_lex *lex, const char *text, size_t len);
struct snipe_token snipe_lex_next (struct snipe_lex *lex);

#endif
