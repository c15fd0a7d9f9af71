#include <CUnit/Basic.h>
#include <glib.h>
#include <stdbool.h>

#include "node/capacity.h"
#include "snipe/pool_id.h"
#include "suite.h"

/* Guards against pools that are larger than the link or the processor of their
 * owner carries (24 endpoints behind 2 Mbit/s: half of the tasks waited 33 ms
 * for their start), and against fragmenting the endpoints where they are not.
 */
static void
test_pool_size (void)
{
  static const struct
  {
    const char *name;
    uint32_t cpu_millicores, link_kbps;
    uint32_t capacity_min, capacity_max;
    uint32_t pool_endpoints;
    uint32_t endpoints; /**< of a domain */
    uint32_t shards;
  } cases[] = {
    { "link unknown", 250, 0, 250, 250, 24, 24, 1 },
    { "fast link", 250, 1000000, 250, 250, 24, 25, 2 },
    { "a tenth of a core", 90, 20000, 90, 90, 24, 220, 16 },
    { "half a core", 500, 200000, 500, 500, 24, 220, 16 },
    { "narrow link", 120, 2000, 15, 30, 6, 24, 4 },
    { "hardly any link", 500, 64, 1, 2, 6, 24, 4 },
    { "no processor", 0, 0, 0, 0, 6, 24, 4 },
    { "half of that", 45, 100000, 45, 45, 12, 24, 2 },
    { "no endpoints", 250, 0, 250, 250, 24, 0, 1 },
    { "more than there may be pools", 250, 0, 250, 250, 24, UINT32_MAX,
      SNIPE_POOL_SHARDS_MAX },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      uint32_t capacity = snipe_capacity_of_host (cases[i].cpu_millicores,
                                                  cases[i].link_kbps);
      uint32_t pool_endpoints = snipe_capacity_pool_endpoints (capacity);
      uint32_t shards
          = snipe_pool_id_shards_for (cases[i].endpoints, pool_endpoints);

      if (capacity < cases[i].capacity_min || capacity > cases[i].capacity_max
          || pool_endpoints != cases[i].pool_endpoints
          || shards != cases[i].shards)
        printf ("\n  %s: capacity %u, %u endpoints in a pool, %u pools",
                cases[i].name, capacity, pool_endpoints, shards);
      CU_ASSERT_TRUE (capacity >= cases[i].capacity_min);
      CU_ASSERT_TRUE (capacity <= cases[i].capacity_max);
      CU_ASSERT_EQUAL (pool_endpoints, cases[i].pool_endpoints);
      CU_ASSERT_EQUAL (shards, cases[i].shards);
    }
}

/* Guards against a host that lists two billion pools because of one malformed
 * heartbeat, which uses up its memory. */
static void
test_pool_id (void)
{
  static const struct
  {
    uint32_t shard, shards;
    bool valid;
  } cases[] = {
    { 0, 1, true },
    { 15, 16, true },
    { SNIPE_POOL_SHARDS_MAX - 1, SNIPE_POOL_SHARDS_MAX, true },
    { 0, 0, false },
    { 1, 1, false },
    { 0, 3, false },
    { 0, 2 * SNIPE_POOL_SHARDS_MAX, false },
    { 0, 1U << 31, false },
    { UINT32_MAX, 16, false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct snipe_pool_id id
          = { .shard = cases[i].shard, .shards = cases[i].shards };

      CU_ASSERT_EQUAL (snipe_pool_id_is_valid (&id), cases[i].valid);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "pool size", test_pool_size },
    { "pool id", test_pool_id },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("capacity", tests);
}
