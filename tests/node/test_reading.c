/* Guards against every host following the rows of all endpoints (507 KB/s a
   host with 300 hosts), and against an owner that is told late that an
   endpoint leaves (DRAIN), and against one that was without the store and
   never reads the list anew because another host tells it (jobs that fit no
   endpoint would wait). */

#include "node/reading.h"

#include <CUnit/Basic.h>
#include <stdio.h>

#include "suite.h"

#define MS SNIPE_MS
#define ASKED (5000 * MS)

static const struct
{
  const char *name;
  struct snipe_reading reading;
  snipe_time due;
  enum snipe_reading_source source; /**< a second after the list was read */
} due_cases[] = {
  { "reads for its domain",
    { .known = true, .first = true },
    6000 * MS,
    SNIPE_READING_FIRST },
  { "reads for its domain, told by another one",
    { .known = true, .first = true, .heard = 5900 * MS },
    6000 * MS,
    SNIPE_READING_FIRST },
  { "nothing known", { .first = false }, 6000 * MS, SNIPE_READING_ALONE },
  { "nothing known, but told",
    { .owner = true, .heard = 5900 * MS },
    6000 * MS,
    SNIPE_READING_ALONE },
  { "owner that nobody tells",
    { .known = true, .owner = true },
    6000 * MS,
    SNIPE_READING_ALONE },
  { "owner that is told",
    { .known = true, .owner = true, .heard = 5900 * MS },
    7200 * MS,
    SNIPE_READING_TOLD },
  { "owner, news long ago",
    { .known = true, .owner = true, .heard = 1000 * MS },
    6000 * MS,
    SNIPE_READING_ALONE },
  { "no pool, nobody tells",
    { .known = true },
    13000 * MS,
    SNIPE_READING_ALONE },
  { "no pool, told",
    { .known = true, .heard = 5900 * MS },
    13000 * MS,
    SNIPE_READING_TOLD },
  { "no pool, told since",
    { .known = true, .heard = 12900 * MS },
    14200 * MS,
    SNIPE_READING_TOLD },
};

static const struct
{
  const char *name;
  snipe_time asked;
  snipe_time delay;
  bool news;
} news_cases[] = {
  { "at once", 1000 * MS, 0, true },
  { "slow store", 600 * MS, 0, false },
  { "slow connection", 1000 * MS, 400 * MS, false },
  { "sender whose clock is not known", 1000 * MS, INT64_MAX, false },
};

static void
test_due (void)
{
  for (size_t i = 0; i < sizeof due_cases / sizeof due_cases[0]; i++)
    {
      snipe_time due = snipe_reading_due (&due_cases[i].reading, ASKED);

      if (due != due_cases[i].due)
        printf ("%s: %lld\n", due_cases[i].name, (long long)due);
      CU_ASSERT_EQUAL (due, due_cases[i].due);
      CU_ASSERT_EQUAL (
          snipe_reading_source (&due_cases[i].reading, ASKED + 1000 * MS),
          due_cases[i].source);
    }
}

static void
test_is_news (void)
{
  for (size_t i = 0; i < sizeof news_cases / sizeof news_cases[0]; i++)
    CU_ASSERT_EQUAL (snipe_reading_is_news (news_cases[i].asked,
                                            news_cases[i].delay, 1000 * MS),
                     news_cases[i].news);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "when the list is read", test_due },
    { "what counts as news", test_is_news },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("reading", tests);
}
