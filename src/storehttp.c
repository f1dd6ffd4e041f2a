/*
 * storehttp.c -- the key-value service over HTTP
 *
 * The compare-and-swap is a conditional request (RFC 9110); the entity tag of
 * a key is its index.
 *
 *   GET /kv/KEY                       200 with ETag, or 404
 *   GET /kv/KEY  If-None-Match: "N", Prefer: wait=S (RFC 7240)
 *                                     waits up to S seconds while the index
 *                                     is N, then 304
 *   PUT /kv/KEY  If-Match: "N"        200 with the new ETag, or 412
 *   PUT /kv/KEY  If-None-Match: *     the same, but only if the key is absent
 *   PUT /kv/KEY?ttl=S                 the key expires after S seconds
 *
 * A response with a Not-Run header, such as a 429 or 503, says that the
 * request was not executed.
 */
#include "platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Timeout of a call, beyond its wait; well below the owner's lease. */
#define CALL_TIMEOUT_MS 900

/** struct store_http_t - @url is the prefix of the service, without a slash
    at its end */
typedef struct
{
  httpc_t *http;
  char url[128];
} store_http_t;

/** struct pending_t - a call in flight */
typedef struct
{
  uint32_t tag;
  store_done_t done;
  void *ctx;
} pending_t;

static gl_store_status_t
store_status (const httpc_result_t *r)
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
on_response (void *ctx, httpc_result_t *r)
{
  pending_t *p = ctx;
  gl_store_status_t st = store_status (r);

  /* A 304 says only that the index has not changed within the wait; it does
     not mean that the key is absent. */
  if (st == GL_ST_ABSENT && r->status == 304)
    st = GL_ST_REFUSED;
  p->done (p->ctx, p->tag, st, r->etag, st == GL_ST_OK ? r->body : NULL,
           st == GL_ST_OK ? r->len : 0);
  free (p);
}

static void
send_call (store_http_t *s, httpc_request_t *r, uint32_t tag,
           store_done_t done, void *ctx)
{
  pending_t *p = malloc (sizeof *p);

  if (p)
    {
      p->tag = tag;
      p->done = done;
      p->ctx = ctx;
      r->done = on_response;
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
  httpc_request_t r
      = { .method = "GET", .url = url, .timeout = CALL_TIMEOUT_MS };

  snprintf (url, sizeof url, "%s/kv/%s", s->url, key);
  if (index)
    {
      snprintf (match, sizeof match, "If-None-Match: \"%llu\"",
                (unsigned long long)index);
      snprintf (prefer, sizeof prefer, "Prefer: wait=%llu",
                (unsigned long long)(wait / 1000));
      r.headers = headers;
      r.timeout = wait + CALL_TIMEOUT_MS;
    }
  send_call (s, &r, tag, done, done_ctx);
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
                        .timeout = CALL_TIMEOUT_MS };

  if (ttl_s)
    snprintf (url, sizeof url, "%s/kv/%s?ttl=%u", s->url, key, ttl_s);
  else
    snprintf (url, sizeof url, "%s/kv/%s", s->url, key);
  if (index)
    snprintf (match, sizeof match, "If-Match: \"%llu\"",
              (unsigned long long)index);
  else
    snprintf (match, sizeof match, "If-None-Match: *");
  send_call (s, &r, tag, done, done_ctx);
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
