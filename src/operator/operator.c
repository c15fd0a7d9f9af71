#include "operator/operator.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "snipe/counter.h"
#include "snipe/status.h"
#include "util/blocklist.h"

#define REFUSE_MAX 1024

struct snipe_operator
{
  struct snipe_engine *engine;
  bool test_hooks;
  uint32_t drain_asked;
};

struct page
{
  const char *method;
  const char *path;
  void (*answer) (struct snipe_page_response *out,
                  struct snipe_operator *pages,
                  const struct snipe_page_request *request, snipe_time now);
};

static void
set_text (struct snipe_page_response *out, int http, const char *text)
{
  out->http_status = http;
  out->content_type = "text/plain; charset=utf-8";
  snipe_str_set_c (&out->body, text);
}

static void
set_error (struct snipe_page_response *out, int http, int code)
{
  json_t *root
      = json_pack ("{s:i, s:s, s:s}", "code", code, "status",
                   snipe_status_name (code), "message", snipe_status_last ());
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  out->http_status = http;
  snipe_str_take (&out->body, text, strlen (text));
}

static void
health (struct snipe_page_response *out, struct snipe_operator *pages,
        const struct snipe_page_request *request, snipe_time now)
{
  (void)pages;
  (void)request;
  (void)now;
  set_text (out, 200, "ok\n");
}

static void
ready (struct snipe_page_response *out, struct snipe_operator *pages,
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
metrics (struct snipe_page_response *out, struct snipe_operator *pages,
         const struct snipe_page_request *request, snipe_time now)
{
  (void)pages;
  (void)request;
  (void)now;
  out->content_type = "text/plain; version=0.0.4; charset=utf-8";
  snipe_counter_print (&out->body);
}

static void
status_page (struct snipe_page_response *out, struct snipe_operator *pages,
             const struct snipe_page_request *request, snipe_time now)
{
  (void)request;
  if (snipe_engine_status (&out->body, pages->engine, now) < 0)
    set_error (out, 500, SNIPE_E_INTERNAL);
}

static void
explain (struct snipe_page_response *out, struct snipe_operator *pages,
         const struct snipe_page_request *request, snipe_time now)
{
  (void)now;
  if (request->job_id == NULL)
    set_error (out, 400,
               snipe_status_set (SNIPE_E_INVALID, "argument job is missing"));
  else if (snipe_engine_explain (&out->body, pages->engine, request->job_id)
           < 0)
    set_error (out, 400, SNIPE_E_INVALID);
}

static void
drain (struct snipe_page_response *out, struct snipe_operator *pages,
       const struct snipe_page_request *request, snipe_time now)
{
  (void)request;
  (void)now;
  __atomic_store_n (&pages->drain_asked, 1, __ATOMIC_RELEASE);
  out->http_status = 202;
  snipe_str_set_c (&out->body, "{\"state\":\"draining\"}");
}

static void
refuse (struct snipe_page_response *out, struct snipe_operator *pages,
        const struct snipe_page_request *request, snipe_time now)
{
  json_t *list = json_loadb (request->body, request->body_len, 0, NULL);
  const char *names[REFUSE_MAX];
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
                                         && count < REFUSE_MAX) names[count++]
      = json_string_value (name);
  snipe_blocklist_set (names, count);
  json_decref (list);
  snipe_str_set_c (&out->body, "{}");
}

static const struct page table[] = {
  { "GET", "/healthz", health },        { "GET", "/readyz", ready },
  { "GET", "/metrics", metrics },       { "GET", "/v1/status", status_page },
  { "GET", "/v1/explain", explain },    { "POST", "/v1/drain", drain },
  { "PUT", "/v1/test/refuse", refuse },
};

int
snipe_operator_new (struct snipe_operator **out, struct snipe_engine *engine,
                    bool test_hooks)
{
  struct snipe_operator *pages = calloc (1, sizeof *pages);

  if (pages == NULL)
    return snipe_status_set (SNIPE_E_NOMEM, "no memory for operator pages");
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
  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    if (strcmp (table[i].path, request->path) == 0
        && strcmp (table[i].method, request->method) == 0)
      {
        table[i].answer (out, pages, request, now);
        return;
      }
  set_error (out, 404,
             snipe_status_set (SNIPE_E_NOT_FOUND, "no page %s %.64s",
                               request->method, request->path));
}

bool
snipe_operator_drain_requested (const struct snipe_operator *pages)
{
  return __atomic_load_n (&pages->drain_asked, __ATOMIC_ACQUIRE) != 0;
}
