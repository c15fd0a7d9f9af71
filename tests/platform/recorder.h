/**
 * @file recorder.h
 * Starts a client of the fake platform and records what its callbacks report.
 * Included by the test programs of this folder.
 */
#ifndef TESTS_PLATFORM_RECORDER_H
#define TESTS_PLATFORM_RECORDER_H

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake.h"
#include "platform/internal.h"
#include "snipe/status.h"

#define SELF UINT64_C (0xa1)
#define OTHER UINT64_C (0xb2)
#define SELF_TEXT "00000000000000a1"
#define OTHER_TEXT "00000000000000b2"
/* Requests to fail for a fault that lasts until the test removes it. */
#define FAULT_UNLIMITED 1000000

/* Sufficient on a busy machine. Only a failing run waits this long. */
#define WAIT_LIMIT_S 200

/** What the callbacks of one client reported, and the demand they return. */
struct recorder
{
  pthread_mutex_t lock;
  uint64_t rules_version;
  char rules_text[64];
  uint32_t rules_calls;
  uint32_t endpoint_calls;
  uint32_t endpoint_count;
  uint32_t draining_count;
  uint32_t entry_calls;
  uint32_t entry_count;
  uint32_t listed_count;
  bool has_limit;
  uint32_t limit;
  uint32_t running;
  uint32_t queued;
  uint32_t starts_after_demand; /**< added to running after the next read */
  uint32_t share;               /**< last reported */
  uint32_t share_calls;
  snipe_time valid_until;
  uint32_t violations; /**< times a share in use exceeded the table's */
  struct fake *fake;
};

static inline void
on_rules (void *ctx, uint64_t version, const struct snipe_str *text)
{
  struct recorder *rec = ctx;

  pthread_mutex_lock (&rec->lock);
  rec->rules_version = version;
  g_strlcpy (rec->rules_text, snipe_str_c (text), sizeof rec->rules_text);
  rec->rules_calls++;
  pthread_mutex_unlock (&rec->lock);
}

static inline void
on_endpoints (void *ctx, const struct snipe_endpoint_info *list,
              uint32_t count)
{
  struct recorder *rec = ctx;

  pthread_mutex_lock (&rec->lock);
  rec->endpoint_calls++;
  rec->endpoint_count = count;
  rec->draining_count = 0;
  for (uint32_t i = 0; i < count; i++)
    rec->draining_count += list[i].draining ? 1 : 0;
  pthread_mutex_unlock (&rec->lock);
}

static inline void
on_entries (void *ctx, const struct snipe_entry_info *list, uint32_t count)
{
  struct recorder *rec = ctx;

  pthread_mutex_lock (&rec->lock);
  rec->entry_calls++;
  rec->entry_count = count;
  rec->listed_count = 0;
  for (uint32_t i = 0; i < count; i++)
    rec->listed_count += list[i].listed ? 1 : 0;
  pthread_mutex_unlock (&rec->lock);
}

static inline void
on_demands (void *ctx, struct snipe_team_demand **out, uint32_t *count)
{
  struct recorder *rec = ctx;

  pthread_mutex_lock (&rec->lock);
  if (rec->has_limit)
    {
      *out = calloc (1, sizeof **out);
      CU_ASSERT_EQUAL (snipe_str_set_c (&(*out)->team, "team"), SNIPE_OK);
      (*out)->limit = rec->limit;
      (*out)->running = rec->running;
      (*out)->queued = rec->queued;
      *count = 1;
      rec->running += rec->starts_after_demand;
      rec->starts_after_demand = 0;
    }
  pthread_mutex_unlock (&rec->lock);
}

static inline uint32_t
self_held (const json_t *row)
{
  return (uint32_t)json_integer_value (
      json_object_get (json_object_get (row, "held"), SELF_TEXT));
}

/* A share must be in the table before the client reports it. */
static inline void
on_shares (void *ctx, const struct snipe_team_share *list, uint32_t count,
           snipe_time valid_until)
{
  struct recorder *rec = ctx;
  const struct fake_row *row;

  /* Same lock order as in on_put (): the table's lock first. */
  pthread_mutex_lock (&rec->fake->lock);
  pthread_mutex_lock (&rec->lock);
  rec->share = count > 0 ? list[0].share : 0;
  rec->share_calls++;
  rec->valid_until = valid_until;
  row = g_tree_lookup (rec->fake->rows, "quota/team");
  if (rec->share > (row == NULL ? 0 : self_held (row->value)))
    rec->violations++;
  pthread_mutex_unlock (&rec->lock);
  pthread_mutex_unlock (&rec->fake->lock);
}

/* A write may give slots away only once they are no longer in use. */
static inline void
on_put (void *ctx, const char *key, const json_t *old, const json_t *value)
{
  struct recorder *rec = ctx;

  (void)old;
  if (strcmp (key, "quota/team") != 0)
    return;
  pthread_mutex_lock (&rec->lock);
  if (self_held (value) < rec->share || self_held (value) < rec->running)
    rec->violations++;
  pthread_mutex_unlock (&rec->lock);
}

static const struct snipe_platform_callbacks callbacks
    = { .rules = on_rules,
        .endpoints = on_endpoints,
        .entries = on_entries,
        .demands = on_demands,
        .shares = on_shares };

static inline void
recorder_init (struct recorder *rec, struct fake *fake)
{
  memset (rec, 0, sizeof *rec);
  pthread_mutex_init (&rec->lock, NULL);
  rec->fake = fake;
  rec->limit = 20;
}

static inline uint64_t
recorder_read (struct recorder *rec, const uint32_t *value)
{
  uint32_t copy;

  pthread_mutex_lock (&rec->lock);
  copy = *value;
  pthread_mutex_unlock (&rec->lock);
  return copy;
}

static inline void
recorder_set_demand (struct recorder *rec, uint32_t running, uint32_t queued)
{
  pthread_mutex_lock (&rec->lock);
  rec->has_limit = true;
  rec->running = running;
  rec->queued = queued;
  pthread_mutex_unlock (&rec->lock);
}

static inline struct snipe_platform *
start_client (struct fake *fake, struct recorder *rec, uint64_t incarnation,
              snipe_time claim_timeout)
{
  struct snipe_platform_options options = SNIPE_PLATFORM_OPTIONS_INIT;
  struct snipe_platform *platform = NULL;
  char name[] = "entry-1";

  options.url = fake->url;
  options.host = incarnation == SELF ? "entry-1" : "entry-2";
  options.timeout = 300 * SNIPE_MS;
  options.poll_interval = 20 * SNIPE_MS;
  options.claim_timeout = claim_timeout;
  options.self.incarnation = incarnation;
  options.self.name = (struct snipe_str){ .data = name, .len = 7 };
  options.self.capacity_weight = 2;
  options.callbacks = &callbacks;
  options.ctx = rec;
  CU_ASSERT_EQUAL_FATAL (snipe_platform_new (&platform, &options), SNIPE_OK);
  return platform;
}

/* Waits until the expression is true; fails after WAIT_LIMIT_S. */
#define WAIT_FOR(expression)                                                  \
  do                                                                          \
    {                                                                         \
      int left = WAIT_LIMIT_S * 1000;                                         \
      while (!(expression) && left-- > 0)                                     \
        usleep (1000);                                                        \
      CU_ASSERT_TRUE (left > 0);                                              \
    }                                                                         \
  while (0)

static inline json_t *
host_json (const char *name, const char *role, const char *state)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:i}", "name", name, "role", role,
                    "state", state, "address", "127.0.0.1:1", "slots", 8);
}

/* Sets the other host's entry in the quota row. Reads and writes under one
 * lock, so that no write of the client in between is undone. */
static inline void
set_other_share (struct fake *fake, uint32_t held, uint32_t want)
{
  const struct fake_row *row;
  json_t *value;

  pthread_mutex_lock (&fake->lock);
  row = g_tree_lookup (fake->rows, "quota/team");
  value = row == NULL ? json_pack ("{s:{}, s:{}}", "held", "want")
                      : json_deep_copy (row->value);
  json_object_set_new (json_object_get (value, "held"), OTHER_TEXT,
                       json_integer (held));
  json_object_set_new (json_object_get (value, "want"), OTHER_TEXT,
                       json_integer (want));
  fake->version++;
  fake_put_locked (fake, "quota/team", value);
  pthread_mutex_unlock (&fake->lock);
}

/* Replaces GLib's log writer, which formats times under locks that
 * ThreadSanitizer cannot see. */
static inline GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize count,
           gpointer ctx)
{
  (void)level;
  (void)ctx;
  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      fprintf (stderr, "log: %s\n", (const char *)fields[i].value);
  return G_LOG_WRITER_HANDLED;
}

#endif
