/*
 * workhttp.c -- calls to workers over HTTP
 *
 *   POST ADDR/call, body gl_wcall_t in XDR; 200 with gl_wreply_t in XDR
 */
#include "platform.h"

#include <stdio.h>
#include <stdlib.h>

#include "codec.h"

/** struct pending_t - a call in flight */
typedef struct
{
  worker_done_t done;
  void *ctx;
  uint32_t worker;
  uint32_t call;
} pending_t;

static void
on_response (void *ctx, httpc_result_t *r)
{
  pending_t *p = ctx;
  gl_wreply_t reply = { 0 };

  if (r->outcome == HTTPC_NOT_SENT)
    p->done (p->ctx, p->worker, p->call, GL_CALL_NOT_SENT, NULL);
  else if (r->outcome == HTTPC_COMPLETE && r->status == 200
           && !codec_decode ((xdrproc_t)xdr_gl_wreply_t, &reply, r->body,
                             r->len))
    {
      p->done (p->ctx, p->worker, p->call, GL_CALL_ANSWERED, &reply);
      codec_free ((xdrproc_t)xdr_gl_wreply_t, &reply);
    }
  else
    p->done (p->ctx, p->worker, p->call, GL_CALL_UNKNOWN, NULL);
  free (p);
}

static void
send_call (void *ctx, const char *addr, const char *msg, size_t len,
           gl_ms_t timeout, gl_ms_t send_before, uint32_t worker,
           uint32_t call, worker_done_t done, void *done_ctx)
{
  static const char *const headers[]
      = { "Content-Type: application/octet-stream", NULL };
  pending_t *p = malloc (sizeof *p);
  char url[128];
  httpc_request_t r = { .method = "POST",
                        .url = url,
                        .headers = headers,
                        .body = msg,
                        .len = len,
                        .timeout = timeout,
                        .send_before = send_before,
                        .done = on_response,
                        .ctx = p };

  snprintf (url, sizeof url, "%s/call", addr);
  if (p)
    {
      p->done = done;
      p->ctx = done_ctx;
      p->worker = worker;
      p->call = call;
      if (!httpc_send (ctx, &r))
        return;
    }
  free (p);
  done (done_ctx, worker, call, GL_CALL_NOT_SENT, NULL);
}

int
worker_client_http_init (worker_client_t *out, httpc_t *c)
{
  out->ctx = c;
  out->call = send_call;
  return 0;
}
