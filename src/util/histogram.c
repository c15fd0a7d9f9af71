#include "snipe/histogram.h"

#include <glib.h>
#include <string.h>

/* Upper bounds of the buckets; most tasks take 50 ms to 1 s. */
static const snipe_time bounds[]
    = { 10 * SNIPE_MS,  25 * SNIPE_MS,  50 * SNIPE_MS,  100 * SNIPE_MS,
        200 * SNIPE_MS, 400 * SNIPE_MS, 800 * SNIPE_MS, 1600 * SNIPE_MS,
        3 * SNIPE_S,    6 * SNIPE_S };

#define BUCKETS (G_N_ELEMENTS (bounds) + 1)

#define HISTOGRAM_NAME(id, name, help) { name, help },
static const struct
{
  const char *name;
  const char *help;
} names[] = { SNIPE_HISTOGRAMS (HISTOGRAM_NAME) };
#undef HISTOGRAM_NAME

static struct
{
  uint64_t buckets[BUCKETS];
  uint64_t sum; /**< microseconds */
} histograms[SNIPE_HISTOGRAM_COUNT];

void
snipe_histogram_add (enum snipe_histogram histogram, snipe_time duration)
{
  size_t bucket = 0;

  while (bucket < G_N_ELEMENTS (bounds) && duration > bounds[bucket])
    bucket++;
  __atomic_add_fetch (&histograms[histogram].buckets[bucket], 1,
                      __ATOMIC_RELAXED);
  __atomic_add_fetch (&histograms[histogram].sum, (uint64_t)MAX (duration, 0),
                      __ATOMIC_RELAXED);
}

static void
print_histogram (GString *text, size_t index)
{
  uint64_t count = 0;

  g_string_append_printf (text,
                          "# HELP snipelb_%s %s\n"
                          "# TYPE snipelb_%s histogram\n",
                          names[index].name, names[index].help,
                          names[index].name);
  for (size_t i = 0; i < BUCKETS; i++)
    {
      char bound[32] = "+Inf";

      if (i < G_N_ELEMENTS (bounds))
        g_snprintf (bound, sizeof bound, "%g", (double)bounds[i] / SNIPE_S);
      count
          += __atomic_load_n (&histograms[index].buckets[i], __ATOMIC_RELAXED);
      g_string_append_printf (
          text, "snipelb_%s_bucket{le=\"%s\"} %" G_GUINT64_FORMAT "\n",
          names[index].name, bound, count);
    }
  g_string_append_printf (
      text, "snipelb_%s_sum %.6f\nsnipelb_%s_count %" G_GUINT64_FORMAT "\n",
      names[index].name,
      (double)__atomic_load_n (&histograms[index].sum, __ATOMIC_RELAXED)
          / SNIPE_S,
      names[index].name, count);
}

int
snipe_histogram_print (struct snipe_str *out)
{
  GString *text = g_string_new_len (snipe_str_c (out), (gssize)out->len);
  int status;

  for (size_t i = 0; i < SNIPE_HISTOGRAM_COUNT; i++)
    print_histogram (text, i);
  snipe_str_clear (out);
  status = snipe_str_set (out, text->str, text->len);
  g_string_free (text, TRUE);
  return status;
}
