#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "snipe/owner.h"
#include "suite.h"

#define HOSTS_MAX 8
#define ENDPOINTS 4000

/* A string that is not copied and so must not be freed. */
static struct snipe_str
borrowed_str (const char *string)
{
  return (struct snipe_str){ .data = (char *)string, .len = strlen (string) };
}

static struct snipe_owner_host
host (uint64_t incarnation, const char *domain, double size, bool live)
{
  return (struct snipe_owner_host){ .incarnation = incarnation,
                                    .domain = borrowed_str (domain),
                                    .capacity_weight = size,
                                    .live = live };
}

struct find_case
{
  const char *name;
  const char *domain;
  uint32_t count;
  int first; /**< lowest index that may be the owner, -1: none */
  int last;
  struct snipe_owner_host hosts[3];
};

/* Guards against owners outside the domain although it has a live host, dead
 * owners, and endpoints without an owner although another domain has a live
 * host. */
static void
test_find (void)
{
  const struct find_case cases[] = {
    { "no hosts", "a", 0, -1, -1, { { 0 } } },
    { "no live host", "a", 1, -1, -1, { host (1, "a", 1, false) } },
    { "no capacity weight", "a", 1, -1, -1, { host (1, "a", 0, true) } },
    { "host of the same domain preferred",
      "a",
      3,
      1,
      1,
      { host (1, "b", 100, true), host (2, "a", 0.01, true),
        host (3, "b", 100, true) } },
    { "only host of the domain is dead",
      "a",
      3,
      0,
      1,
      { host (1, "b", 1, true), host (2, "c", 1, true),
        host (3, "a", 1, false) } },
    { "no host in the domain", "z", 1, 0, 0, { host (9, "b", 1, true) } },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    for (int k = 0; k < 50; k++)
      {
        char name[32];
        struct snipe_str endpoint;
        struct snipe_str domain = borrowed_str (cases[i].domain);
        int owner;

        snprintf (name, sizeof name, "ep-%d", k);
        endpoint = borrowed_str (name);
        owner = snipe_owner_find (cases[i].hosts, cases[i].count, &endpoint,
                                  &domain);
        if (owner < cases[i].first || owner > cases[i].last)
          printf ("%s: owner %d\n", cases[i].name, owner);
        CU_ASSERT_TRUE (owner >= cases[i].first && owner <= cases[i].last);
      }
}

static void
assign_all (const struct snipe_owner_host *hosts, uint32_t count,
            uint64_t owners[ENDPOINTS], uint32_t counts[HOSTS_MAX])
{
  struct snipe_str domain = borrowed_str ("a");

  memset (counts, 0, HOSTS_MAX * sizeof *counts);
  for (int k = 0; k < ENDPOINTS; k++)
    {
      char name[32];
      struct snipe_str endpoint;
      int owner;

      snprintf (name, sizeof name, "endpoint-%d", k);
      endpoint = borrowed_str (name);
      owner = snipe_owner_find (hosts, count, &endpoint, &domain);
      CU_ASSERT_FATAL (owner >= 0);
      owners[k] = hosts[owner].incarnation;
      counts[owner]++;
    }
}

/* Guards against numbers of endpoints that are not in proportion to the
 * capacity weights of the hosts. */
static void
test_sizes (void)
{
  static uint64_t owners[ENDPOINTS];
  const struct snipe_owner_host hosts[]
      = { host (0x1111, "a", 1, true), host (0x2222, "a", 2, true),
          host (0x3333, "a", 4, true), host (0x4444, "a", 1, true) };
  const double sizes[] = { 1, 2, 4, 1 };
  uint32_t counts[HOSTS_MAX];

  assign_all (hosts, 4, owners, counts);
  for (int i = 0; i < 4; i++)
    {
      double ratio = counts[i] / (ENDPOINTS * sizes[i] / 8);

      printf ("size %.0f: %u endpoints, %.3f of its expected share\n",
              sizes[i], counts[i], ratio);
      CU_ASSERT_TRUE (ratio > 0.85 && ratio < 1.15);
    }
}

/* Guards against endpoints that move although neither their old nor their new
 * owner joined or left, and against owners that depend on the order of the
 * list of hosts, which differs between hosts. */
static void
test_stable (void)
{
  static uint64_t before[ENDPOINTS];
  static uint64_t after[ENDPOINTS];
  struct snipe_owner_host hosts[HOSTS_MAX];
  struct snipe_owner_host reversed[HOSTS_MAX];
  uint32_t counts[HOSTS_MAX];

  for (uint32_t i = 0; i < HOSTS_MAX; i++)
    hosts[i] = host (0x1000 + i, "a", 1 + i % 3, true);
  assign_all (hosts, HOSTS_MAX, before, counts);
  for (uint32_t i = 0; i < HOSTS_MAX; i++)
    reversed[i] = hosts[HOSTS_MAX - 1 - i];
  assign_all (reversed, HOSTS_MAX, after, counts);
  CU_ASSERT_EQUAL (memcmp (before, after, sizeof before), 0);
  for (uint32_t dead = 0; dead < HOSTS_MAX; dead++)
    {
      uint32_t moved = 0;
      uint32_t wrong = 0;

      hosts[dead].live = false;
      assign_all (hosts, HOSTS_MAX, after, counts);
      hosts[dead].live = true;
      for (int k = 0; k < ENDPOINTS; k++)
        {
          bool was_dead = before[k] == hosts[dead].incarnation;

          moved += before[k] != after[k] ? 1 : 0;
          wrong += (before[k] != after[k]) != was_dead ? 1 : 0;
        }
      CU_ASSERT_EQUAL (wrong, 0);
      CU_ASSERT_TRUE (moved > 0);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "owner by domain and liveness", test_find },
    { "shares follow capacity weights", test_sizes },
    { "only a dead host's endpoints move", test_stable },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("owner", tests);
}
