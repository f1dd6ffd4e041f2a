/*
 * storehttp.c -- the key-value service over HTTP
 *
 * Conditional requests of RFC 9110 carry the compare-and-swap: the entity
 * tag of a key is its index.
 *
 *   GET /kv/KEY                          200 with ETag, or 404
 *   ... If-None-Match: "N", Prefer: wait=S  304 when nothing came (RFC 7240)
 *   PUT /kv/KEY  If-Match: "N"           200 with the new ETag, or 412
 *   PUT /kv/KEY  If-None-Match: *        the same, when the key is absent
 *   PUT /kv/KEY?ttl=S                    the key goes away after S seconds
 *   429 or 503 with Not-Run              refused, certainly not done
 */
#include "platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bound on a call; well under the owner lease. */
#define CALL_MS 900

typedef struct
{
  httpc_t *http;
  char url[128];
} store_http_t;

typedef struct
{
  uint32_t tag;
  store_done_t done;
  void *ctx;
} pending_t;

static gl_store_status_t
status_of (const httpc_result_t *r)
{
  if (r->outcome == HTTPC_NOT_SENT)
    return GL_ST_REFUSED;
  if (r->outcome == HTTPC_UNKNOWN)
    return GL_ST_UNKNOWN;
  switch (r->status)
    {
    case 200:
      return GL_ST_OK;
    case 304:
    case 404:
      return GL_ST_ABSENT;
    case 412:
      return GL_ST_CONFLICT;
    default:
      return r->not_run ? GL_ST_REFUSED : GL_ST_UNKNOWN;
    }
}

static void
on_done (void *ctx, httpc_result_t *r)
{
  pending_t *p = ctx;
  gl_store_status_t st = status_of (r);

  /* Nothing new in time is no answer about the key. */
  if (st == GL_ST_ABSENT && r->status == 304)
    st = GL_ST_REFUSED;
  p->done (p->ctx, p->tag, st, r->etag, st == GL_ST_OK ? r->body : NULL,
           st == GL_ST_OK ? r->len : 0);
  free (p);
}

static void
submit (store_http_t *s, httpc_request_t *r, uint32_t tag, store_done_t done,
        void *ctx)
{
  pending_t *p = malloc (sizeof *p);

  if (p)
    {
      p->tag = tag;
      p->done = done;
      p->ctx = ctx;
      r->done = on_done;
      r->ctx = p;
      if (!httpc_send (s->http, r))
        return;
    }
  free (p);
  done (ctx, tag, GL_ST_REFUSED, 0, NULL, 0);
}

static void
get (void *ctx, const char *key, uint64_t index, gl_ms_t wait, uint32_t tag,
     store_done_t done, void *done_ctx)
{
  store_http_t *s = ctx;
  char url[256];
  char match[64];
  char prefer[64];
  const char *const headers[] = { match, prefer, NULL };
  httpc_request_t r = { .method = "GET", .url = url, .timeout = CALL_MS };

  snprintf (url, sizeof url, "%s/kv/%s", s->url, key);
  if (index)
    {
      snprintf (match, sizeof match, "If-None-Match: \"%llu\"",
                (unsigned long long)index);
      snprintf (prefer, sizeof prefer, "Prefer: wait=%llu",
                (unsigned long long)(wait / 1000));
      r.headers = headers;
      r.timeout = wait + CALL_MS;
    }
  submit (s, &r, tag, done, done_ctx);
}

static void
cas (void *ctx, const char *key, uint64_t index, const char *data, size_t len,
     unsigned int ttl_s, uint32_t tag, store_done_t done, void *done_ctx)
{
  store_http_t *s = ctx;
  char url[256];
  char match[64];
  const char *const headers[]
      = { match, "Content-Type: application/octet-stream", NULL };
  httpc_request_t r = { .method = "PUT",
                        .url = url,
                        .headers = headers,
                        .body = data,
                        .len = len,
                        .timeout = CALL_MS };

  if (ttl_s)
    snprintf (url, sizeof url, "%s/kv/%s?ttl=%u", s->url, key, ttl_s);
  else
    snprintf (url, sizeof url, "%s/kv/%s", s->url, key);
  if (index)
    snprintf (match, sizeof match, "If-Match: \"%llu\"",
              (unsigned long long)index);
  else
    snprintf (match, sizeof match, "If-None-Match: *");
  submit (s, &r, tag, done, done_ctx);
}

int
store_http_init (store_t *out, httpc_t *c, const char *url)
{
  store_http_t *s = calloc (1, sizeof *s);

  if (!s)
    return -1;
  s->http = c;
  snprintf (s->url, sizeof s->url, "%s", url);
  out->ctx = s;
  out->get = get;
  out->cas = cas;
  return 0;
}
