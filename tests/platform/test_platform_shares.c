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
  uint32_t held = held_of (row);

  json_decref (row);
  return held;
}

struct quota_case
{
  const char *name;
  enum fake_fault_kind fault;
  int times;
};

/* Guards against a share in use that the table does not hold: a grown share
 * used before its write is confirmed, a reduced one used after the write was
 * sent, and one whose write takes effect long after its timeout. */
static void
test_quota_faults (void)
{
  const struct quota_case cases[] = {
    { "no fault", FAKE_NO_FAULT, 0 },
    { "reply lost after effect", FAKE_LOSE, 1 },
    { "503", FAKE_503, 1 },
    { "malformed reply after effect", FAKE_GARBAGE, 1 },
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
      rec_demand (&rec, 0, 10);
      fake_fault (&fake, c->fault, "\"key\":\"quota/team\"", c->times);
      platform = client (&fake, &rec, SELF, SNIPE_S);
      if (c->fault == FAKE_STALL_LATE)
        {
          WAIT_FOR (fake_count (&fake, &fake.faulted) >= 2);
          CU_ASSERT_EQUAL (rec_u32 (&rec, &rec.share), 0);
          fake_release (&fake);
        }
      /* With one live host its slice is the whole limit. */
      WAIT_FOR (rec_u32 (&rec, &rec.share) == 20);
      CU_ASSERT_EQUAL (table_held (&fake), 20);

      /* Another host is in need: idle slots go, slots in use stay. */
      rec_demand (&rec, 3, 0);
      fake_fault (&fake, c->fault, "\"key\":\"quota/team\"", c->times);
      other_wants (&fake, 0, 40);
      if (c->fault == FAKE_STALL_LATE)
        {
          uint64_t seen = fake_count (&fake, &fake.faulted);

          WAIT_FOR (fake_count (&fake, &fake.faulted) >= seen + 1);
          /* Demand is back while the write may still take effect. */
          rec_demand (&rec, 3, 17);
          WAIT_FOR (fake_count (&fake, &fake.faulted) >= seen + 2);
          CU_ASSERT_TRUE (rec_u32 (&rec, &rec.share) <= 3);
          rec_demand (&rec, 3, 0);
          fake_release (&fake);
        }
      WAIT_FOR (table_held (&fake) == 3 && rec_u32 (&rec, &rec.share) == 3);

      /* The other host is content: demand here is served again. */
      rec_demand (&rec, 3, 9);
      other_wants (&fake, 0, 0);
      WAIT_FOR (rec_u32 (&rec, &rec.share) >= 12);
      if (rec.broken > 0)
        printf ("%s: %u times\n", c->name, rec.broken);
      CU_ASSERT_EQUAL (rec.broken, 0);
      rec_demand (&rec, 0, 0);
      CU_ASSERT_EQUAL (snipe_platform_leave (platform, true), SNIPE_OK);
      CU_ASSERT_EQUAL (table_held (&fake), 0);
      CU_ASSERT_TRUE (fake_has (&fake, "quota/team"));
      snipe_platform_free (platform);
      fake_stop (&fake);
    }
}

/* Guards against a first task that waits for a periodic round, against shares
 * sized as if this host were alone when the list names no entry host, and
 * against a need that is looked at only every other poll. */
static void
test_wanted (void)
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
  rec_demand (&rec, 0, 0);
  options.url = fake.url;
  options.host = "entry-1";
  /* So long that the need below is served by a round of its own. */
  options.poll_interval = 2 * PATIENCE_S * SNIPE_S;
  options.self.incarnation = SELF;
  options.callbacks = &events;
  options.ctx = &rec;
  CU_ASSERT_EQUAL_FATAL (snipe_platform_new (&platform, &options), SNIPE_OK);
  WAIT_FOR (rec_u32 (&rec, &rec.share) == 10);
  CU_ASSERT_EQUAL (table_held (&fake), 10);
  rec_demand (&rec, 0, 15);
  snipe_platform_quota_request (platform);
  WAIT_FOR (rec_u32 (&rec, &rec.share) == 15);
  CU_ASSERT_EQUAL (rec.broken, 0);
  snipe_platform_free (platform);
  fake_stop (&fake);
}

/* Guards against giving away slots of tasks that started between the look at
 * the demands and the announcement of the lower share. */
static void
test_late_start (void)
{
  struct snipe_platform *platform;
  struct recorder rec;
  struct fake fake;

  CU_ASSERT_TRUE_FATAL (fake_start (&fake));
  recorder_init (&rec, &fake);
  fake.on_put = on_put;
  fake.ctx = &rec;
  rec_demand (&rec, 0, 10);
  platform = client (&fake, &rec, SELF, SNIPE_S);
  WAIT_FOR (rec_u32 (&rec, &rec.share) == 20);
  /* The limit shrinks, and all but 3 slots are idle at the first look. */
  pthread_mutex_lock (&rec.lock);
  rec.limit = 5;
  rec.running = 3;
  rec.queued = 0;
  rec.late = 4;
  pthread_mutex_unlock (&rec.lock);
  WAIT_FOR (table_held (&fake) < 20);
  CU_ASSERT_EQUAL (table_held (&fake), 7);
  CU_ASSERT_EQUAL (rec.broken, 0);
  rec_demand (&rec, 0, 0);
  WAIT_FOR (table_held (&fake) < 7);
  snipe_platform_free (platform);
  fake_stop (&fake);
}

/** One step of a lease's life: a read sent and ended, with its version. */
struct lease_step
{
  snipe_time sent;
  snipe_time ended;
  uint64_t version;
  bool lapsed; /**< afterwards, for a wait of 100 */
};

/* Guards against taking back a share before lease and longest task are over
 * by this host's clock, counted from the end of the first read and to the
 * sending of the last. */
static void
test_lease (void)
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

      CU_ASSERT_FALSE (snipe_lease_lapsed (leases, OTHER, 100));
      for (int k = 0; k < 5; k++)
        {
          const struct lease_step *step = &cases[i][k];

          snipe_lease_note (leases, OTHER, step->version, step->sent,
                            step->ended);
          CU_ASSERT_EQUAL (snipe_lease_lapsed (leases, OTHER, 100),
                           step->lapsed);
        }
      g_hash_table_unref (leases);
    }
}

/* Guards against the share of a dead host that is never taken back, and one
 * that is taken while the holder renews. */
static void
test_lapse (void)
{
  struct snipe_platform_options options = SNIPE_PLATFORM_OPTIONS_INIT;
  struct snipe_platform *platform;
  struct recorder rec;
  struct fake fake;

  CU_ASSERT_TRUE_FATAL (fake_start (&fake));
  recorder_init (&rec, &fake);
  fake.on_put = on_put;
  fake.ctx = &rec;
  other_wants (&fake, 20, 20);
  fake_put (&fake, "lease/" OTHER_TEXT, json_pack ("{s:i}", "n", 1));
  rec_demand (&rec, 0, 10);
  options.url = fake.url;
  options.host = "entry-1";
  options.poll_interval = 20 * SNIPE_MS;
  options.lease_duration = 3 * SNIPE_S;
  options.task_duration_max = 500 * SNIPE_MS;
  options.self.incarnation = SELF;
  options.callbacks = &events;
  options.ctx = &rec;
  CU_ASSERT_EQUAL_FATAL (snipe_platform_new (&platform, &options), SNIPE_OK);
  WAIT_FOR (rec_u32 (&rec, &rec.share) >= 10);
  CU_ASSERT_EQUAL (rec.broken, 0);
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

/* Guards against a host that takes up its old share again after an outage
 * longer than its lease, while another host has taken that share back. */
static void
test_return (void)
{
  struct snipe_platform_options options = SNIPE_PLATFORM_OPTIONS_INIT;
  struct snipe_platform *platform;
  struct recorder rec;
  struct fake fake;
  uint64_t calls;

  CU_ASSERT_TRUE_FATAL (fake_start (&fake));
  recorder_init (&rec, &fake);
  rec_demand (&rec, 0, 10);
  options.url = fake.url;
  options.host = "entry-1";
  options.poll_interval = 20 * SNIPE_MS;
  options.lease_duration = 2 * SNIPE_S;
  options.self.incarnation = SELF;
  options.callbacks = &events;
  options.ctx = &rec;
  CU_ASSERT_EQUAL_FATAL (snipe_platform_new (&platform, &options), SNIPE_OK);
  WAIT_FOR (rec_u32 (&rec, &rec.share) == 20);
  fake_fault (&fake, FAKE_503, "", MANY);
  WAIT_FOR (lease_is_over (&rec));
  CU_ASSERT_EQUAL (rec_u32 (&rec, &rec.share), 20);
  calls = rec_u32 (&rec, &rec.share_calls);
  fake_put (&fake, "quota/team",
            json_pack ("{s:{s:i}, s:{s:i}}", "held", OTHER_TEXT, 20, "want",
                       OTHER_TEXT, 20));
  fake_fault (&fake, FAKE_NO_FAULT, "", 0);
  WAIT_FOR (rec_u32 (&rec, &rec.share_calls) > calls
            && rec_u32 (&rec, &rec.share) == 0);
  CU_ASSERT_EQUAL (rec.broken, 0);
  snipe_platform_free (platform);
  fake_stop (&fake);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "shares under faults", test_quota_faults },
    { "slices and needs between rounds", test_wanted },
    { "starts while a share shrinks", test_late_start },
    { "leases by table", test_lease },
    { "share of a dead host", test_lapse },
    { "return after the lease", test_return },
    CU_TEST_INFO_NULL,
  };

  g_log_set_writer_func (write_log, NULL, NULL);
  return suite_run ("platform shares", tests);
}
