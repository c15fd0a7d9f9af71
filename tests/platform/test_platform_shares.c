#include <CUnit/Basic.h>
#include <stdio.h>

#include "fake.h"
#include "platform/internal.h"
#include "recorder.h"
#include "snipe/status.h"
#include "suite.h"

static uint32_t
table_held (struct fake *fake)
{
  json_t *row = fake_get (fake, "quota/team");
  uint32_t held = self_held (row);

  json_decref (row);
  return held;
}

struct quota_case
{
  const char *name;
  enum fake_fault_kind fault;
  int times;
};

/* Guards against using a share that the table does not grant: an increased
 * share used before its write is confirmed, the old share still used after the
 * write of a reduced one was sent, and a write that takes effect long after
 * its timeout. */
static void
test_quota_faults (void)
{
  const struct quota_case cases[] = {
    { "no fault", FAKE_NO_FAULT, 0 },
    { "reply lost after effect", FAKE_LOSE_REPLY, 1 },
    { "503", FAKE_UNAVAILABLE, 1 },
    { "malformed reply after effect", FAKE_MALFORMED, 1 },
    { "effect long after the timeout", FAKE_STALL_LATE, 2 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const struct quota_case *c = &cases[i];
      struct snipe_platform *platform;
      struct recorder rec;
      struct fake fake;

      CU_ASSERT_TRUE_FATAL (fake_start (&fake));
      recorder_init (&rec, &fake);
      fake.on_put = on_put;
      fake.ctx = &rec;
      recorder_set_demand (&rec, 0, 10);
      fake_fault (&fake, c->fault, "\"key\":\"quota/team\"", c->times);
      platform = start_client (&fake, &rec, SELF, SNIPE_S);
      if (c->fault == FAKE_STALL_LATE)
        {
          WAIT_FOR (fake_read_counter (&fake, &fake.fault_count) >= 2);
          CU_ASSERT_EQUAL (recorder_read (&rec, &rec.share), 0);
          fake_release (&fake);
        }
      /* The slice of the only live host is the whole limit. */
      WAIT_FOR (recorder_read (&rec, &rec.share) == 20);
      CU_ASSERT_EQUAL (table_held (&fake), 20);

      /* Another host wants slots: idle slots are given back, those in use
       * are kept. */
      recorder_set_demand (&rec, 3, 0);
      fake_fault (&fake, c->fault, "\"key\":\"quota/team\"", c->times);
      set_other_share (&fake, 0, 40);
      if (c->fault == FAKE_STALL_LATE)
        {
          uint64_t seen = fake_read_counter (&fake, &fake.fault_count);

          WAIT_FOR (fake_read_counter (&fake, &fake.fault_count) >= seen + 1);
          /* Demand rises again while the write may still take effect. */
          recorder_set_demand (&rec, 3, 17);
          WAIT_FOR (fake_read_counter (&fake, &fake.fault_count) >= seen + 2);
          CU_ASSERT_TRUE (recorder_read (&rec, &rec.share) <= 3);
          recorder_set_demand (&rec, 3, 0);
          fake_release (&fake);
        }
      WAIT_FOR (table_held (&fake) == 3
                && recorder_read (&rec, &rec.share) == 3);

      /* The other host wants no slots any more, so this host gets them. */
      recorder_set_demand (&rec, 3, 9);
      set_other_share (&fake, 0, 0);
      WAIT_FOR (recorder_read (&rec, &rec.share) >= 12);
      if (rec.violations > 0)
        printf ("%s: %u times\n", c->name, rec.violations);
      CU_ASSERT_EQUAL (rec.violations, 0);
      recorder_set_demand (&rec, 0, 0);
      CU_ASSERT_EQUAL (snipe_platform_leave (platform, true), SNIPE_OK);
      CU_ASSERT_EQUAL (table_held (&fake), 0);
      CU_ASSERT_TRUE (fake_has (&fake, "quota/team"));
      snipe_platform_free (platform);
      fake_stop (&fake);
    }
}

/* Guards against a first task that waits for the next periodic round although
 * the client was asked for a quota round. Also guards against shares sized as
 * if this host were the only one when the list of hosts names no entry host,
 * and against requests that are served only at every other poll. */
static void
test_quota_request (void)
{
  struct snipe_platform_options options = SNIPE_PLATFORM_OPTIONS_INIT;
  struct snipe_platform *platform;
  struct recorder rec;
  struct fake fake;

  CU_ASSERT_TRUE_FATAL (fake_start (&fake));
  recorder_init (&rec, &fake);
  fake.on_put = on_put;
  fake.ctx = &rec;
  fake_put (&fake, "entry/" OTHER_TEXT, json_pack ("{s:s}", "name", "other"));
  recorder_set_demand (&rec, 0, 0);
  options.url = fake.url;
  options.host = "entry-1";
  /* So long that only a requested round can serve the demand below. */
  options.poll_interval = 2 * WAIT_LIMIT_S * SNIPE_S;
  options.self.incarnation = SELF;
  options.callbacks = &callbacks;
  options.ctx = &rec;
  CU_ASSERT_EQUAL_FATAL (snipe_platform_new (&platform, &options), SNIPE_OK);
  WAIT_FOR (recorder_read (&rec, &rec.share) == 10);
  CU_ASSERT_EQUAL (table_held (&fake), 10);
  recorder_set_demand (&rec, 0, 15);
  snipe_platform_quota_request (platform);
  WAIT_FOR (recorder_read (&rec, &rec.share) == 15);
  CU_ASSERT_EQUAL (rec.violations, 0);
  snipe_platform_free (platform);
  fake_stop (&fake);
}

/* Guards against giving away the slots of tasks that started after the demands
 * were read and before the lower share was reported. */
static void
test_start_during_reduction (void)
{
  struct snipe_platform *platform;
  struct recorder rec;
  struct fake fake;

  CU_ASSERT_TRUE_FATAL (fake_start (&fake));
  recorder_init (&rec, &fake);
  fake.on_put = on_put;
  fake.ctx = &rec;
  recorder_set_demand (&rec, 0, 10);
  platform = start_client (&fake, &rec, SELF, SNIPE_S);
  WAIT_FOR (recorder_read (&rec, &rec.share) == 20);
  /* The limit is reduced; when the demands are first read, 3 slots are in use
   * and 4 more starts follow. */
  pthread_mutex_lock (&rec.lock);
  rec.limit = 5;
  rec.running = 3;
  rec.queued = 0;
  rec.starts_after_demand = 4;
  pthread_mutex_unlock (&rec.lock);
  WAIT_FOR (table_held (&fake) < 20);
  CU_ASSERT_EQUAL (table_held (&fake), 7);
  CU_ASSERT_EQUAL (rec.violations, 0);
  recorder_set_demand (&rec, 0, 0);
  WAIT_FOR (table_held (&fake) < 7);
  snipe_platform_free (platform);
  fake_stop (&fake);
}

/** One read of a lease row: its times, and the version it showed. */
struct lease_step
{
  snipe_time sent;
  snipe_time ended;
  uint64_t version;
  bool expired; /**< after this read, for a wait of 100 */
};

/* Guards against reclaiming a share too early. The lease must be unchanged for
 * its duration plus that of the longest task by this host's clock, from the
 * end of the first read to the sending of the last. */
static void
test_lease_expiry (void)
{
  const struct lease_step cases[][5] = {
    { { 0, 10, 7, false },
      { 50, 60, 7, false },
      { 109, 500, 7, false },
      { 110, 500, 7, true },
      { 111, 112, 8, false } },
    { { 0, 1, 0, false },
      { 100, 101, 0, false },
      { 101, 102, 0, true },
      { 103, 104, 5, false },
      { 203, 204, 5, false } },
    { { 0, 1000, 3, false },
      { 1001, 1002, 3, false },
      { 1099, 1100, 3, false },
      { 1100, 1101, 3, true },
      { 1101, 1102, 0, false } },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      GHashTable *leases = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                                  g_free, g_free);

      CU_ASSERT_FALSE (snipe_lease_expired (leases, OTHER, 100));
      for (int k = 0; k < 5; k++)
        {
          const struct lease_step *step = &cases[i][k];

          snipe_lease_observe (leases, OTHER, step->version, step->sent,
                               step->ended);
          CU_ASSERT_EQUAL (snipe_lease_expired (leases, OTHER, 100),
                           step->expired);
        }
      g_hash_table_unref (leases);
    }
}

/* Guards against the share of a dead host that is never reclaimed, and one
 * that is used although the table does not grant it. */
static void
test_reclaim (void)
{
  struct snipe_platform_options options = SNIPE_PLATFORM_OPTIONS_INIT;
  struct snipe_platform *platform;
  struct recorder rec;
  struct fake fake;

  CU_ASSERT_TRUE_FATAL (fake_start (&fake));
  recorder_init (&rec, &fake);
  fake.on_put = on_put;
  fake.ctx = &rec;
  set_other_share (&fake, 20, 20);
  fake_put (&fake, "lease/" OTHER_TEXT, json_pack ("{s:i}", "n", 1));
  recorder_set_demand (&rec, 0, 10);
  options.url = fake.url;
  options.host = "entry-1";
  options.poll_interval = 20 * SNIPE_MS;
  options.lease_duration = 3 * SNIPE_S;
  options.task_duration_max = 500 * SNIPE_MS;
  options.self.incarnation = SELF;
  options.callbacks = &callbacks;
  options.ctx = &rec;
  CU_ASSERT_EQUAL_FATAL (snipe_platform_new (&platform, &options), SNIPE_OK);
  WAIT_FOR (recorder_read (&rec, &rec.share) >= 10);
  CU_ASSERT_EQUAL (rec.violations, 0);
  snipe_platform_free (platform);
  fake_stop (&fake);
}

static bool
lease_is_over (struct recorder *rec)
{
  bool over;

  pthread_mutex_lock (&rec->lock);
  over = snipe_clock_now () > rec->valid_until;
  pthread_mutex_unlock (&rec->lock);
  return over;
}

/* Guards against a host that uses its old share again after an outage longer
 * than its lease, although another host has reclaimed that share. */
static void
test_lease_outage (void)
{
  struct snipe_platform_options options = SNIPE_PLATFORM_OPTIONS_INIT;
  struct snipe_platform *platform;
  struct recorder rec;
  struct fake fake;
  uint64_t calls;

  CU_ASSERT_TRUE_FATAL (fake_start (&fake));
  recorder_init (&rec, &fake);
  recorder_set_demand (&rec, 0, 10);
  options.url = fake.url;
  options.host = "entry-1";
  options.poll_interval = 20 * SNIPE_MS;
  options.lease_duration = 2 * SNIPE_S;
  options.self.incarnation = SELF;
  options.callbacks = &callbacks;
  options.ctx = &rec;
  CU_ASSERT_EQUAL_FATAL (snipe_platform_new (&platform, &options), SNIPE_OK);
  WAIT_FOR (recorder_read (&rec, &rec.share) == 20);
  fake_fault (&fake, FAKE_UNAVAILABLE, "", FAULT_UNLIMITED);
  WAIT_FOR (lease_is_over (&rec));
  CU_ASSERT_EQUAL (recorder_read (&rec, &rec.share), 20);
  calls = recorder_read (&rec, &rec.share_calls);
  fake_put (&fake, "quota/team",
            json_pack ("{s:{s:i}, s:{s:i}}", "held", OTHER_TEXT, 20, "want",
                       OTHER_TEXT, 20));
  fake_fault (&fake, FAKE_NO_FAULT, "", 0);
  WAIT_FOR (recorder_read (&rec, &rec.share_calls) > calls
            && recorder_read (&rec, &rec.share) == 0);
  CU_ASSERT_EQUAL (rec.violations, 0);
  snipe_platform_free (platform);
  fake_stop (&fake);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "shares under faults", test_quota_faults },
    { "requested quota rounds", test_quota_request },
    { "starts while a share is reduced", test_start_during_reduction },
    { "expiry of leases", test_lease_expiry },
    { "share of a dead host is reclaimed", test_reclaim },
    { "outage longer than the lease", test_lease_outage },
    CU_TEST_INFO_NULL,
  };

  g_log_set_writer_func (write_log, NULL, NULL);
  return suite_run ("platform shares", tests);
}
