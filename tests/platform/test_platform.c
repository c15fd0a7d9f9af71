#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "fake.h"
#include "platform/internal.h"
#include "recorder.h"
#include "snipe/counter.h"
#include "snipe/status.h"
#include "suite.h"
#include "util/blocklist.h"

#define OLD_ID "0190a6e0-0000-7000-8000-000000000001"

/** Makes a UUID of the present time, as the sweeper deletes rows of old ones.
 */
static void
make_id (char out[40], int number)
{
  int64_t now = snipe_clock_wall_ms ();

  snprintf (out, 40, "%08x-%04x-7000-8000-%012d", (unsigned int)(now >> 16),
            (unsigned int)(now & 0xffff), number);
}

/** Result of one claim. */
struct claim_result
{
  pthread_mutex_t lock;
  int calls;
  int status;
  uint64_t owner;
};

static void
on_claim (void *ctx, int status, uint64_t owner)
{
  struct claim_result *result = ctx;

  pthread_mutex_lock (&result->lock);
  result->calls++;
  result->status = status;
  result->owner = owner;
  pthread_mutex_unlock (&result->lock);
}

static bool
claim_finished (struct claim_result *result)
{
  bool ended;

  pthread_mutex_lock (&result->lock);
  ended = result->calls > 0;
  pthread_mutex_unlock (&result->lock);
  return ended;
}

static void
start_partition (void *ctx)
{
  const char *const names[] = { "platform" };

  (void)ctx;
  CU_ASSERT_EQUAL (snipe_blocklist_set (names, 1), SNIPE_OK);
}

struct claim_case
{
  const char *name;
  const char *row; /**< value of the claim row before the claim */
  uint64_t owner;
  enum fake_fault_kind fault;
  int times;
  int status;
  bool partitioned; /**< the platform is on the blocklist */
  bool in_table;    /**< a row exists afterwards */
};

#define SHORT_CLAIM_TIMEOUT (600 * SNIPE_MS)

/* Guards against a submission that two hosts start because this host wrongly
 * considered itself the owner of the id, and against claims that never get a
 * result. */
static void
test_claim_faults (void)
{
  const struct claim_case cases[] = {
    { .name = "normal", .owner = SELF, .in_table = true },
    { .name = "owned by another host",
      .row = "{\"inc\":\"" OTHER_TEXT "\"}",
      .owner = OTHER,
      .in_table = true },
    { .name = "owned by this host already",
      .row = "{\"inc\":\"" SELF_TEXT "\"}",
      .owner = SELF,
      .in_table = true },
    { .name = "row without owner",
      .row = "{\"who\":1}",
      .status = SNIPE_E_PLATFORM,
      .in_table = true },
    { .name = "reply lost after effect",
      .fault = FAKE_LOSE_REPLY,
      .times = 1,
      .owner = SELF,
      .in_table = true },
    { .name = "reply lost, owned by another host",
      .fault = FAKE_LOSE_REPLY,
      .times = 2,
      .row = "{\"inc\":\"" OTHER_TEXT "\"}",
      .owner = OTHER,
      .in_table = true },
    { .name = "malformed reply after effect",
      .fault = FAKE_MALFORMED,
      .times = 1,
      .owner = SELF,
      .in_table = true },
    { .name = "503 twice",
      .fault = FAKE_UNAVAILABLE,
      .times = 2,
      .owner = SELF,
      .in_table = true },
    { .name = "timeout without effect",
      .fault = FAKE_STALL,
      .times = 1,
      .owner = SELF,
      .in_table = true },
    { .name = "effect long after the timeout",
      .fault = FAKE_STALL_LATE,
      .times = 1,
      .owner = SELF,
      .in_table = true },
    { .name = "503 until the claim times out",
      .fault = FAKE_UNAVAILABLE,
      .times = FAULT_UNLIMITED,
      .status = SNIPE_E_PLATFORM },
    { .name = "replies lost until the claim times out",
      .fault = FAKE_LOSE_REPLY,
      .times = FAULT_UNLIMITED,
      .status = SNIPE_E_PLATFORM,
      .in_table = true },
    { .name = "partition before the claim",
      .partitioned = true,
      .status = SNIPE_E_PLATFORM },
    { .name = "partition during the reply",
      .fault = FAKE_PARTITION,
      .times = 1,
      .status = SNIPE_E_PLATFORM,
      .in_table = true },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const struct claim_case *c = &cases[i];
      struct claim_result result = { .lock = PTHREAD_MUTEX_INITIALIZER };
      struct snipe_platform *platform;
      struct recorder rec;
      struct fake fake;
      char id[40];
      char key[48];

      make_id (id, (int)i);
      snprintf (key, sizeof key, "claim/%s", id);
      CU_ASSERT_TRUE_FATAL (fake_start (&fake));
      recorder_init (&rec, &fake);
      fake.on_partition = start_partition;
      if (c->row != NULL)
        fake_put (&fake, key, json_loads (c->row, 0, NULL));
      fake_fault (&fake, c->fault, key, c->times);
      if (c->partitioned)
        start_partition (NULL);
      platform = start_client (&fake, &rec, SELF,
                               c->status == SNIPE_OK ? WAIT_LIMIT_S * SNIPE_S
                                                     : SHORT_CLAIM_TIMEOUT);
      CU_ASSERT_EQUAL (snipe_platform_claim (platform, id, on_claim, &result),
                       SNIPE_OK);
      WAIT_FOR (claim_finished (&result));
      if (result.status != c->status
          || (result.status == SNIPE_OK && result.owner != c->owner))
        printf ("%s: status %d owner %lx\n", c->name, result.status,
                (unsigned long)result.owner);
      CU_ASSERT_EQUAL (result.status, c->status);
      CU_ASSERT_TRUE (result.status != SNIPE_OK || result.owner == c->owner);
      CU_ASSERT_EQUAL (fake_has (&fake, key), c->in_table);
      if (c->partitioned)
        CU_ASSERT_EQUAL (fake_read_counter (&fake, &fake.request_count), 0);
      CU_ASSERT_EQUAL (snipe_blocklist_set (NULL, 0), SNIPE_OK);
      fake_release (&fake);
      snipe_platform_free (platform);
      CU_ASSERT_EQUAL (result.calls, 1);
      fake_stop (&fake);
    }
}

/* Guards against pending claims that are dropped without a result when the
 * client is freed. */
static void
test_claim_shutdown (void)
{
  struct claim_result result = { .lock = PTHREAD_MUTEX_INITIALIZER };
  struct snipe_platform *platform;
  struct recorder rec;
  struct fake fake;
  char id[40];

  make_id (id, 1);
  CU_ASSERT_TRUE_FATAL (fake_start (&fake));
  recorder_init (&rec, &fake);
  fake_fault (&fake, FAKE_UNAVAILABLE, "\"key\":\"claim/", FAULT_UNLIMITED);
  platform = start_client (&fake, &rec, SELF, WAIT_LIMIT_S * SNIPE_S);
  CU_ASSERT_EQUAL (
      snipe_platform_claim (platform, "no-uuid", on_claim, &result),
      SNIPE_E_BAD_ID);
  CU_ASSERT_EQUAL (snipe_platform_claim (platform, id, on_claim, &result),
                   SNIPE_OK);
  WAIT_FOR (fake_read_counter (&fake, &fake.fault_count) > 0);
  snipe_platform_free (platform);
  CU_ASSERT_EQUAL (result.calls, 1);
  CU_ASSERT_EQUAL (result.status, SNIPE_E_PLATFORM);
  fake_stop (&fake);
}

#define RACE_IDS 1200

/* Guards against an id with two owners or none when two hosts claim it at the
 * same time and replies are lost. Also guards against too much load: a host
 * may have one claim transaction in flight, send one per interval, and put 500
 * ids into each. */
static void
test_claim_race (void)
{
  static struct claim_result results[2][RACE_IDS];
  static char ids[RACE_IDS][40];
  const uint64_t incs[] = { SELF, OTHER };
  struct snipe_platform *platforms[2];
  struct recorder rec;
  struct fake fake;
  snipe_time start;
  snipe_time elapsed;
  uint32_t wins[2] = { 0, 0 };

  CU_ASSERT_TRUE_FATAL (fake_start (&fake));
  recorder_init (&rec, &fake);
  for (int i = 0; i < RACE_IDS; i++)
    make_id (ids[i], i);
  for (int h = 0; h < 2; h++)
    platforms[h] = start_client (&fake, &rec, incs[h], WAIT_LIMIT_S * SNIPE_S);
  fake_fault (&fake, FAKE_LOSE_REPLY, "\"key\":\"claim/", 2);
  start = snipe_clock_now ();
  for (int i = 0; i < RACE_IDS; i++)
    for (int h = 0; h < 2; h++)
      {
        /* The hosts claim the ids in opposite order. */
        int k = h == 0 ? i : RACE_IDS - 1 - i;
        pthread_mutex_init (&results[h][k].lock, NULL);
        CU_ASSERT_EQUAL (snipe_platform_claim (platforms[h], ids[k], on_claim,
                                               &results[h][k]),
                         SNIPE_OK);
      }
  for (int h = 0; h < 2; h++)
    for (int i = 0; i < RACE_IDS; i++)
      WAIT_FOR (claim_finished (&results[h][i]));
  elapsed = snipe_clock_now () - start;
  for (int i = 0; i < RACE_IDS; i++)
    {
      char key[64];
      char text[SNIPE_INCARNATION_TEXT_BYTES];
      json_t *row;

      snprintf (key, sizeof key, "claim/%.39s", ids[i]);
      row = fake_get (&fake, key);
      CU_ASSERT_EQUAL (results[0][i].status, SNIPE_OK);
      CU_ASSERT_EQUAL (results[1][i].status, SNIPE_OK);
      CU_ASSERT_EQUAL (results[0][i].owner, results[1][i].owner);
      snipe_incarnation_format (text, results[0][i].owner);
      CU_ASSERT_PTR_NOT_NULL_FATAL (row);
      CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (row, "inc")),
                              text);
      wins[results[0][i].owner == SELF ? 0 : 1]++;
      json_decref (row);
    }
  printf ("%d ids of two hosts: %u and %u won, %lu transactions, largest %lu "
          "ids, %ld ms\n",
          RACE_IDS, wins[0], wins[1], (unsigned long)fake.claim_txns,
          (unsigned long)fake.claim_batch_max, (long)(elapsed / SNIPE_MS));
  CU_ASSERT_FALSE (fake.claims_overlapped);
  CU_ASSERT_TRUE (fake.claim_batch_max <= SNIPE_CLAIM_BATCH_MAX);
  CU_ASSERT_TRUE ((int64_t)fake.claim_txns
                  <= 2 * (elapsed / (10 * SNIPE_MS) + 1));
  for (int h = 0; h < 2; h++)
    {
      snipe_platform_free (platforms[h]);
      for (int i = 0; i < RACE_IDS; i++)
        CU_ASSERT_EQUAL (results[h][i].calls, 1);
    }
  fake_stop (&fake);
}

/* Guards against missed rule changes, against lists that become empty while
 * the platform is unreachable, and against this host's entry row not being
 * written again after it was deleted. */
static void
test_watch (void)
{
  struct snipe_platform *platform;
  struct recorder rec;
  struct fake fake;
  uint64_t version;
  uint64_t seen;
  uint32_t calls;
  json_t *row;

  CU_ASSERT_TRUE_FATAL (fake_start (&fake));
  recorder_init (&rec, &fake);
  fake_set_hosts (&fake, json_pack ("[o, o, o]",
                                    host_json ("ep-1", "endpoint", "live"),
                                    host_json ("ep-2", "endpoint", "leaving"),
                                    host_json ("entry-1", "entry", "live")));
  version = fake_put (&fake, "rules", json_pack ("{s:s}", "text", "first"));
  platform = start_client (&fake, &rec, SELF, SNIPE_S);
  WAIT_FOR (recorder_read (&rec, &rec.rules_calls) > 0
            && recorder_read (&rec, &rec.endpoint_calls) > 0
            && recorder_read (&rec, &rec.entry_count) == 1
            && recorder_read (&rec, &rec.listed_count) == 1);
  CU_ASSERT_EQUAL (rec.rules_version, version);
  CU_ASSERT_STRING_EQUAL (rec.rules_text, "first");
  CU_ASSERT_EQUAL (rec.endpoint_count, 2);
  CU_ASSERT_EQUAL (rec.draining_count, 1);
  CU_ASSERT_TRUE (fake_has (&fake, "entry/" SELF_TEXT));
  WAIT_FOR (fake_has (&fake, "lease/" SELF_TEXT));

  version = fake_put (&fake, "rules", json_pack ("{s:s}", "text", "second"));
  WAIT_FOR (recorder_read (&rec, &rec.rules_calls) > 1);
  CU_ASSERT_EQUAL (rec.rules_version, version);
  CU_ASSERT_STRING_EQUAL (rec.rules_text, "second");

  /* The entries are reported without the row, then with it again. */
  calls = (uint32_t)recorder_read (&rec, &rec.entry_calls);
  fake_delete (&fake, "entry/" SELF_TEXT);
  WAIT_FOR (recorder_read (&rec, &rec.entry_calls) >= calls + 2);
  CU_ASSERT_TRUE (fake_has (&fake, "entry/" SELF_TEXT));

  /* The lists change during an outage. The client must keep the old ones. */
  fake_fault (&fake, FAKE_UNAVAILABLE, "", FAULT_UNLIMITED);
  seen = fake_read_counter (&fake, &fake.fault_count);
  WAIT_FOR (fake_read_counter (&fake, &fake.fault_count) > seen + 8);
  calls = rec.endpoint_calls;
  CU_ASSERT_EQUAL (snipe_counter_get (SNIPE_C_PLATFORM_UP), 0);
  fake_set_hosts (&fake, json_array ());
  seen = fake_read_counter (&fake, &fake.fault_count);
  WAIT_FOR (fake_read_counter (&fake, &fake.fault_count) > seen + 8);
  CU_ASSERT_EQUAL (recorder_read (&rec, &rec.endpoint_calls), calls);
  CU_ASSERT_EQUAL (recorder_read (&rec, &rec.endpoint_count), 2);
  CU_ASSERT_EQUAL (recorder_read (&rec, &rec.listed_count), 1);
  CU_ASSERT_EQUAL (recorder_read (&rec, &rec.entry_count), 1);
  fake_fault (&fake, FAKE_NO_FAULT, "", 0);
  WAIT_FOR (recorder_read (&rec, &rec.endpoint_count) == 0
            && recorder_read (&rec, &rec.listed_count) == 0);

  CU_ASSERT_EQUAL (snipe_platform_leave (platform, false), SNIPE_OK);
  row = fake_get (&fake, "entry/" SELF_TEXT);
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (row, "state")),
                          "leaving");
  json_decref (row);
  CU_ASSERT_EQUAL (snipe_platform_leave (platform, true), SNIPE_OK);
  seen = fake_read_counter (&fake, &fake.request_count);
  snipe_platform_free (platform);
  CU_ASSERT_FALSE (fake_has (&fake, "entry/" SELF_TEXT));
  CU_ASSERT_FALSE (fake_has (&fake, "lease/" SELF_TEXT));
  CU_ASSERT_EQUAL (fake_read_counter (&fake, &fake.request_count), seen);
  fake_stop (&fake);
}

/* Guards against polls that read all rows each time, so that their traffic
 * grows with the fleet, and against reads of changes that miss a changed row,
 * a row of a new rule or a deletion. */
static void
test_incremental_reads (void)
{
  struct snipe_platform_options options = SNIPE_PLATFORM_OPTIONS_INIT;
  struct snipe_platform *platform;
  struct recorder rec;
  struct fake fake;
  uint64_t seen;
  uint64_t lists;
  uint64_t bytes;

  CU_ASSERT_TRUE_FATAL (fake_start (&fake));
  recorder_init (&rec, &fake);
  fake_set_hosts (&fake,
                  json_pack ("[o]", host_json ("ep-1", "endpoint", "live")));
  fake_put (&fake, "rules", json_pack ("{s:s}", "text", "first"));
  fake_put (&fake, "entry/" OTHER_TEXT, json_pack ("{s:s}", "name", "other"));
  fake_put (&fake, "lease/" OTHER_TEXT, json_pack ("{s:i}", "n", 1));
  set_other_share (&fake, 5, 0);
  options.url = fake.url;
  options.host = "entry-1";
  /* Long enough that no full read falls between the two counts. */
  options.poll_interval = 100 * SNIPE_MS;
  options.self.incarnation = SELF;
  options.callbacks = &callbacks;
  options.ctx = &rec;
  CU_ASSERT_EQUAL_FATAL (snipe_platform_new (&platform, &options), SNIPE_OK);
  WAIT_FOR (recorder_read (&rec, &rec.entry_count) == 2);
  /* The team's rule is added after its row was omitted by every read. */
  recorder_set_demand (&rec, 0, 0);
  WAIT_FOR (recorder_read (&rec, &rec.share) == 10);
  CU_ASSERT_EQUAL (rec.violations, 0);
  seen = fake_read_counter (&fake, &fake.hosts_not_modified);
  WAIT_FOR (fake_read_counter (&fake, &fake.hosts_not_modified) >= seen + 4);

  seen = fake_read_counter (&fake, &fake.rows_sent);
  lists = fake_read_counter (&fake, &fake.host_lists_sent);
  bytes = snipe_counter_get (SNIPE_C_STORE_BYTES);
  WAIT_FOR (fake_read_counter (&fake, &fake.request_count) >= 20
            && fake_read_counter (&fake, &fake.hosts_not_modified) >= 10);
  CU_ASSERT_TRUE (snipe_counter_get (SNIPE_C_STORE_BYTES) > bytes);
  CU_ASSERT_TRUE (
      lists <= 1 && fake_read_counter (&fake, &fake.host_lists_sent) == lists);
  /* Polls 1 to 29 return no row. On a slow machine one full read may fall in
   * between, which returns 4. */
  CU_ASSERT_TRUE (fake_read_counter (&fake, &fake.rows_sent) <= seen + 4);

  fake_set_hosts (&fake, json_array ());
  WAIT_FOR (recorder_read (&rec, &rec.endpoint_count) == 0);
  /* The other host wants more slots, and this client sees the change. */
  set_other_share (&fake, 5, 15);
  WAIT_FOR (recorder_read (&rec, &rec.share) <= 5);
  fake_delete (&fake, "entry/" OTHER_TEXT);
  WAIT_FOR (recorder_read (&rec, &rec.entry_count) == 1);
  CU_ASSERT_EQUAL (rec.violations, 0);
  snipe_platform_free (platform);
  fake_stop (&fake);
}

/* Guards against old claim rows that accumulate, and against the deletion of
 * recent ones. */
static void
test_sweep_claims (void)
{
  struct snipe_platform *platform;
  struct recorder rec;
  struct fake fake;
  char young[48];
  int64_t now = snipe_clock_wall_ms ();

  CU_ASSERT_TRUE_FATAL (fake_start (&fake));
  recorder_init (&rec, &fake);
  snprintf (young, sizeof young, "claim/%08x-%04x-7000-8000-000000000001",
            (unsigned int)(now >> 16), (unsigned int)(now & 0xffff));
  fake_put (&fake, "claim/" OLD_ID, json_pack ("{s:s}", "inc", OTHER_TEXT));
  fake_put (&fake, young, json_pack ("{s:s}", "inc", OTHER_TEXT));
  fake_put (&fake, "claim/odd", json_pack ("{s:s}", "inc", OTHER_TEXT));
  platform = start_client (&fake, &rec, SELF, SNIPE_S);
  WAIT_FOR (!fake_has (&fake, "claim/" OLD_ID));
  CU_ASSERT_TRUE (fake_has (&fake, young));
  CU_ASSERT_TRUE (fake_has (&fake, "claim/odd"));
  snipe_platform_free (platform);
  fake_stop (&fake);
}

/* Guards against rows of dead hosts that accumulate, and against deleting the
 * rows of a host that renews its lease or those of this host. */
static void
test_sweep_hosts (void)
{
  const char *const keys[]
      = { "entry/" OTHER_TEXT, "lease/" OTHER_TEXT, "entry/00000000000000c3" };
  struct snipe_platform *platform;
  struct recorder rec;
  struct fake fake;

  CU_ASSERT_TRUE_FATAL (fake_start (&fake));
  recorder_init (&rec, &fake);
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    fake_put (&fake, keys[i], json_pack ("{s:i}", "n", 1));
  platform = start_client (&fake, &rec, SELF, SNIPE_S);
  WAIT_FOR (fake_has (&fake, "lease/" SELF_TEXT));
  WAIT_FOR (fake_has (&fake, "entry/" SELF_TEXT));
  /* Waits until the client has read all three entries. */
  for (bool ready = false; !ready; usleep (1000))
    {
      pthread_mutex_lock (&platform->round_lock);
      ready = json_array_size (platform->entries) == 3;
      pthread_mutex_unlock (&platform->round_lock);
    }
  pthread_mutex_lock (&platform->round_lock);
  g_hash_table_remove_all (platform->sweep_leases);
  CU_ASSERT_EQUAL (snipe_sweep_hosts (platform, 1), SNIPE_OK);
  usleep (1000);
  /* The lease is renewed between the two reads, so the rows are kept. */
  fake_put (&fake, "lease/" OTHER_TEXT, json_pack ("{s:i}", "n", 2));
  CU_ASSERT_EQUAL (snipe_sweep_hosts (platform, 1), SNIPE_OK);
  CU_ASSERT_TRUE (fake_has (&fake, "lease/" OTHER_TEXT));
  CU_ASSERT_TRUE (fake_has (&fake, "entry/" OTHER_TEXT));
  CU_ASSERT_FALSE (fake_has (&fake, "entry/00000000000000c3"));
  usleep (1000);
  CU_ASSERT_EQUAL (snipe_sweep_hosts (platform, 1), SNIPE_OK);
  CU_ASSERT_FALSE (fake_has (&fake, "lease/" OTHER_TEXT));
  CU_ASSERT_FALSE (fake_has (&fake, "entry/" OTHER_TEXT));
  CU_ASSERT_TRUE (fake_has (&fake, "lease/" SELF_TEXT));
  CU_ASSERT_TRUE (fake_has (&fake, "entry/" SELF_TEXT));
  pthread_mutex_unlock (&platform->round_lock);
  snipe_platform_free (platform);
  fake_stop (&fake);
}

/* Guards against objects and rows that are altered in transfer, and against
 * conflicts or lost replies that are reported as success. */
static void
test_objects_rows (void)
{
  const struct snipe_str data = { .data = "a\0\"b", .len = 4 };
  const struct snipe_str value = { .data = "{\"a\":1}", .len = 7 };
  const struct snipe_str broken = { .data = "{", .len = 1 };
  struct snipe_platform *platform;
  struct snipe_str out = SNIPE_STR_INIT;
  struct recorder rec;
  struct fake fake;
  char **names = NULL;
  uint64_t version = 0;
  uint64_t first;

  CU_ASSERT_TRUE_FATAL (fake_start (&fake));
  recorder_init (&rec, &fake);
  platform = start_client (&fake, &rec, SELF, SNIPE_S);
  CU_ASSERT_EQUAL (snipe_platform_object_get (&out, platform, "archive/1/1"),
                   SNIPE_E_NOT_FOUND);
  CU_ASSERT_EQUAL (snipe_platform_object_put (platform, "archive/1/1", &data),
                   SNIPE_OK);
  CU_ASSERT_EQUAL (snipe_platform_object_put (platform, "archive/2/1", &value),
                   SNIPE_OK);
  CU_ASSERT_EQUAL (snipe_platform_object_get (&out, platform, "archive/1/1"),
                   SNIPE_OK);
  CU_ASSERT_TRUE (snipe_str_equal (&out, &data));
  CU_ASSERT_EQUAL (snipe_platform_object_list (&names, platform, "archive/1/"),
                   SNIPE_OK);
  CU_ASSERT_EQUAL_FATAL (g_strv_length (names), 1);
  CU_ASSERT_STRING_EQUAL (names[0], "archive/1/1");
  g_strfreev (names);

  CU_ASSERT_EQUAL (snipe_platform_row_get (&out, &version, platform, "r"),
                   SNIPE_E_NOT_FOUND);
  CU_ASSERT_EQUAL (snipe_platform_row_swap (&first, platform, "r", 0, &value),
                   SNIPE_OK);
  CU_ASSERT_EQUAL (
      snipe_platform_row_swap (&version, platform, "r", first, &broken),
      SNIPE_E_INVALID);
  CU_ASSERT_EQUAL (
      snipe_platform_row_swap (&version, platform, "r", first + 9, &value),
      SNIPE_E_CONFLICT);
  CU_ASSERT_EQUAL (version, first);
  CU_ASSERT_EQUAL (snipe_platform_row_get (&out, &version, platform, "r"),
                   SNIPE_OK);
  CU_ASSERT_EQUAL (version, first);
  CU_ASSERT_TRUE (snipe_str_equal (&out, &value));
  fake_fault (&fake, FAKE_LOSE_REPLY, "\"key\":\"r\"", 1);
  CU_ASSERT_EQUAL (
      snipe_platform_row_swap (&version, platform, "r", first, &value),
      SNIPE_E_PLATFORM);
  CU_ASSERT_EQUAL (snipe_platform_row_get (&out, &version, platform, "r"),
                   SNIPE_OK);
  CU_ASSERT_TRUE (version > first);
  start_partition (NULL);
  CU_ASSERT_EQUAL (snipe_platform_row_get (&out, &version, platform, "r"),
                   SNIPE_E_PLATFORM);
  CU_ASSERT_EQUAL (snipe_blocklist_set (NULL, 0), SNIPE_OK);
  snipe_str_clear (&out);
  snipe_platform_free (platform);
  fake_stop (&fake);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "claims under faults", test_claim_faults },
    { "claims at shutdown", test_claim_shutdown },
    { "two hosts claim the same ids", test_claim_race },
    { "rules, lists and this host's entry row", test_watch },
    { "polls read only changed rows", test_incremental_reads },
    { "old claims are deleted", test_sweep_claims },
    { "rows of dead hosts are deleted", test_sweep_hosts },
    { "objects and rows", test_objects_rows },
    CU_TEST_INFO_NULL,
  };

  g_log_set_writer_func (write_log, NULL, NULL);
  return suite_run ("platform", tests);
}
