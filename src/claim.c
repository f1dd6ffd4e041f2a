/*
 * claim.c -- at most one run for an idempotency key
 *
 * Before a keyed request is first sent, its key is claimed in the key-value
 * service by a write that succeeds only if the key is absent.  Every entry
 * that the caller may turn to does the same, so one of them at most ever
 * sends it.  The record carries a mark that is unique to the request: after
 * a lost answer the record is read back, and our own mark means that the
 * claim is ours.  When the request ends as "not run" the claim is released,
 * so that the caller may send it again.
 *
 * A claim costs the service one write, out of the same few hundred a second
 * that keep the domains' owners.  So each entry claims at a bounded rate and
 * gives up at once what exceeds it.
 *
 * When the service cannot be reached the request is answered "not run" at
 * once: it has not been sent, and without a claim it must not be.
 */
#include "routeint.h"

#include <stdio.h>
#include <string.h>

#define CLAIM_TRIES 3
#define MARK_FREE "free"

static void
ask (gl_router_t *r, handle_t h, request_t *q, gl_route_fx_kind_t kind)
{
  gl_route_effect_t *e = rfx_add (r, kind);

  if (!e)
    return;
  e->request = h;
  e->index = q->claim_index;
  snprintf (e->key, sizeof e->key, "%s", q->key);
  snprintf (e->value, sizeof e->value, "%s", q->mark);
  q->state = kind == GL_ROUTE_FX_CLAIM_GET ? REQ_CLAIM_GET : REQ_CLAIM_CAS;
}

/* Take one from the bucket of claims, which holds a second's worth. */
static int
claim_allowed (gl_router_t *r)
{
  double rate = r->conf.claims_per_s;

  r->claim_tokens += rate * (double)(r->now - r->claim_filled) / 1000;
  r->claim_filled = r->now;
  if (r->claim_tokens > rate)
    r->claim_tokens = rate;
  if (r->claim_tokens < 1)
    return 0;
  r->claim_tokens -= 1;
  return 1;
}

void
claim_begin (gl_router_t *r, handle_t h)
{
  request_t *q = pool_get (&r->requests, h);

  if (FAULT (FAULT_NO_CLAIM))
    {
      request_ready (r, h);
      return;
    }
  if (!claim_allowed (r))
    {
      r->c.claim_limit++;
      request_error (r, h, 503, "claim_limit", 1,
                     RETRY_MS + route_jitter (r, RETRY_MS));
      return;
    }
  r->c.claims++;
  q->claim_index = 0;
  snprintf (q->mark, sizeof q->mark, "%.40s/%llu", r->node,
            (unsigned long long)++r->marks);
  ask (r, h, q, GL_ROUTE_FX_CLAIM_CAS);
}

static void
give_up (gl_router_t *r, handle_t h)
{
  request_error (r, h, 503, "claim_failed", 1, RETRY_MS);
}

static void
claimed (gl_router_t *r, handle_t h, request_t *q, uint64_t index)
{
  q->claimed = 1;
  q->claim_index = index;
  request_ready (r, h);
}

static void
after_cas (gl_router_t *r, handle_t h, request_t *q,
           const gl_route_event_t *ev)
{
  switch (ev->u.claim.status)
    {
    case GL_ST_OK:
      claimed (r, h, q, ev->u.claim.index);
      break;
    case GL_ST_REFUSED:
      give_up (r, h);
      break;
    default:
      if (++q->claim_tries > CLAIM_TRIES)
        give_up (r, h);
      else
        ask (r, h, q, GL_ROUTE_FX_CLAIM_GET);
    }
}

static int
value_is (const gl_route_event_t *ev, const char *v)
{
  return ev->u.claim.len == strlen (v)
         && !memcmp (ev->u.claim.data, v, ev->u.claim.len);
}

static void
after_get (gl_router_t *r, handle_t h, request_t *q,
           const gl_route_event_t *ev)
{
  switch (ev->u.claim.status)
    {
    case GL_ST_OK:
      if (value_is (ev, q->mark))
        claimed (r, h, q, ev->u.claim.index);
      else if (value_is (ev, MARK_FREE))
        {
          q->claim_index = ev->u.claim.index;
          ask (r, h, q, GL_ROUTE_FX_CLAIM_CAS);
        }
      else
        {
          r->c.claim_taken++;
          request_error (r, h, 409, "already_taken", 0, 0);
        }
      break;
    case GL_ST_ABSENT:
      q->claim_index = 0;
      ask (r, h, q, GL_ROUTE_FX_CLAIM_CAS);
      break;
    default:
      give_up (r, h);
    }
}

void
claim_answered (gl_router_t *r, const gl_route_event_t *ev)
{
  handle_t h = ev->u.claim.request;
  request_t *q = pool_get (&r->requests, h);

  if (!q)
    return;
  if (q->state == REQ_CLAIM_CAS)
    after_cas (r, h, q, ev);
  else if (q->state == REQ_CLAIM_GET)
    after_get (r, h, q, ev);
}

void
claim_release (gl_router_t *r, const request_t *q)
{
  gl_route_effect_t *e;

  if (!q->claimed)
    return;
  e = rfx_add (r, GL_ROUTE_FX_CLAIM_CAS);
  if (!e)
    return;
  e->index = q->claim_index;
  snprintf (e->key, sizeof e->key, "%s", q->key);
  snprintf (e->value, sizeof e->value, MARK_FREE);
}
