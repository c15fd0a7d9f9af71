#include "snipe/counter.h"

#include <ck_pr.h>
#include <glib.h>
#include <stdlib.h>

#include "snipe/status.h"

struct counter_info
{
  const char *name;
  const char *type;
  const char *help;
};

static const struct counter_info infos[] = {
#define SNIPE_COUNTER_ROW(id, name, type, help) { name, type, help },
  SNIPE_COUNTERS (SNIPE_COUNTER_ROW)
#undef SNIPE_COUNTER_ROW
};

/* Padded to one cache line each, so that threads that update different
   counters do not contend. */
static struct
{
  uint64_t value;
  char pad[64 - sizeof (uint64_t)];
} values[SNIPE_COUNTER_COUNT];

void
snipe_counter_add (enum snipe_counter counter, uint64_t n)
{
  ck_pr_add_64 (&values[counter].value, n);
}

void
snipe_counter_set (enum snipe_counter counter, uint64_t value)
{
  ck_pr_store_64 (&values[counter].value, value);
}

uint64_t
snipe_counter_get (enum snipe_counter counter)
{
  return ck_pr_load_64 (&values[counter].value);
}

int
snipe_counter_print (struct snipe_str *out)
{
  GString *text = g_string_new (NULL);
  int status;

  for (int i = 0; i < SNIPE_COUNTER_COUNT; i++)
    g_string_append_printf (
        text,
        "# HELP snipelb_%s %s\n# TYPE snipelb_%s %s\nsnipelb_%s "
        "%" G_GUINT64_FORMAT "\n",
        infos[i].name, infos[i].help, infos[i].name, infos[i].type,
        infos[i].name, (guint64)snipe_counter_get ((enum snipe_counter)i));
  status = snipe_str_set (out, text->str, text->len);
  g_string_free (text, TRUE);
  return status;
}
