#include "operator/operator.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"
#include "util/blocklist.h"

#define REFUSED_HOSTS_MAX 1024

struct snipe_operator
{
  struct snipe_engine *engine;
  bool test_hooks;
  uint32_t drain_requested;
};

struct page
{
  const char *method;
  const char *path;
  void (*handle) (struct snipe_page_response *out,
                  struct snipe_operator *pages,
                  const struct snipe_page_request *request, snipe_time now);
};

static void
set_text (struct snipe_page_response *out, int http_status, const char *text)
{
  out->http_status = http_status;
  out->content_type = "text/plain; charset=utf-8";
  snipe_str_set_c (&out->body, text);
}

static void
set_error (struct snipe_page_response *out, int http_status, int code)
{
  json_t *root
      = json_pack ("{s:i, s:s, s:s}", "code", code, "status",
                   snipe_status_name (code), "message", snipe_status_last ());
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  out->http_status = http_status;
  snipe_str_take (&out->body, text, strlen (text));
}

static void
handle_health (struct snipe_page_response *out, struct snipe_operator *pages,
               const struct snipe_page_request *request, snipe_time now)
{
  (void)pages;
  (void)request;
  (void)now;
  set_text (out, 200, "ok\n");
}

static void
handle_ready (struct snipe_page_response *out, struct snipe_operator *pages,
              const struct snipe_page_request *request, snipe_time now)
{
  (void)request;
  (void)now;
  if (snipe_engine_ready (pages->engine))
    set_text (out, 200, "ready\n");
  else
    set_text (out, 503,
              snipe_engine_draining (pages->engine) ? "draining\n"
                                                    : "no rules yet\n");
}

static void
handle_metrics (struct snipe_page_response *out, struct snipe_operator *pages,
                const struct snipe_page_request *request, snipe_time now)
{
  (void)pages;
  (void)request;
  (void)now;
  out->content_type = "text/plain; version=0.0.4; charset=utf-8";
  snipe_counter_print (&out->body);
}

static void
handle_status (struct snipe_page_response *out, struct snipe_operator *pages,
               const struct snipe_page_request *request, snipe_time now)
{
  (void)request;
  if (snipe_engine_status (&out->body, pages->engine, now) < 0)
    set_error (out, 500, SNIPE_E_INTERNAL);
}

static void
handle_explain (struct snipe_page_response *out, struct snipe_operator *pages,
                const struct snipe_page_request *request, snipe_time now)
{
  (void)now;
  if (request->job_id == NULL)
    set_error (out, 400,
               snipe_status_set (SNIPE_E_INVALID,
                                 "query argument \"job\" is missing"));
  else if (snipe_engine_explain (&out->body, pages->engine, request->job_id)
           < 0)
    set_error (out, 400, SNIPE_E_INVALID);
}

static void
handle_drain (struct snipe_page_response *out, struct snipe_operator *pages,
              const struct snipe_page_request *request, snipe_time now)
{
  (void)request;
  (void)now;
  __atomic_store_n (&pages->drain_requested, 1, __ATOMIC_RELEASE);
  out->http_status = 202;
  snipe_str_set_c (&out->body, "{\"state\":\"draining\"}");
}

static void
handle_refuse (struct snipe_page_response *out, struct snipe_operator *pages,
               const struct snipe_page_request *request, snipe_time now)
{
  json_t *list = json_loadb (request->body, request->body_len, 0, NULL);
  const char *names[REFUSED_HOSTS_MAX];
  uint32_t count = 0;
  json_t *name;
  size_t i;

  (void)now;
  if (!pages->test_hooks)
    {
      json_decref (list);
      set_error (
          out, 404,
          snipe_status_set (SNIPE_E_NOT_FOUND, "test hooks are not enabled"));
      return;
    }
  json_array_foreach (list, i, name) if (json_is_string (name)
                                         && count < REFUSED_HOSTS_MAX)
      names[count++]
      = json_string_value (name);
  snipe_blocklist_set (names, count);
  json_decref (list);
  snipe_str_set_c (&out->body, "{}");
}

static const struct page page_table[] = {
  { "GET", "/healthz", handle_health },
  { "GET", "/readyz", handle_ready },
  { "GET", "/metrics", handle_metrics },
  { "GET", "/v1/status", handle_status },
  { "GET", "/v1/explain", handle_explain },
  { "POST", "/v1/drain", handle_drain },
  { "PUT", "/v1/test/refuse", handle_refuse },
};

int
snipe_operator_new (struct snipe_operator **out, struct snipe_engine *engine,
                    bool test_hooks)
{
  struct snipe_operator *pages = calloc (1, sizeof *pages);

  if (pages == NULL)
    return snipe_status_set (SNIPE_E_NOMEM,
                             "out of memory for the operators' pages");
  pages->engine = engine;
  pages->test_hooks = test_hooks;
  *out = pages;
  return SNIPE_OK;
}

void
snipe_operator_free (struct snipe_operator *pages)
{
  free (pages);
}

void
snipe_operator_handle (struct snipe_page_response *out,
                       struct snipe_operator *pages,
                       const struct snipe_page_request *request,
                       snipe_time now)
{
  *out = (struct snipe_page_response){ .http_status = 200,
                                       .content_type = "application/json" };
  for (size_t i = 0; i < G_N_ELEMENTS (page_table); i++)
    if (strcmp (page_table[i].path, request->path) == 0
        && strcmp (page_table[i].method, request->method) == 0)
      {
        page_table[i].handle (out, pages, request, now);
        return;
      }
  set_error (out, 404,
             snipe_status_set (SNIPE_E_NOT_FOUND, "unknown page: %s %.64s",
                               request->method, request->path));
}

bool
snipe_operator_drain_requested (const struct snipe_operator *pages)
{
  return __atomic_load_n (&pages->drain_requested, __ATOMIC_ACQUIRE) != 0;
}
