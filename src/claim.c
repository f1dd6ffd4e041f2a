/*
 * claim.c -- at most one run for an idempotency key
 *
 * Before a request with an idempotency key is first sent, the key is claimed
 * in the key-value service by a write that succeeds only if the key is
 * absent.  Every entry that the caller may use does the same, so at most one
 * of them sends the request.  The value written is unique to the request: if
 * the reply to the write is lost, the value is read back, and finding its own
 * value tells the request that it holds the claim.  When the request ends as
 * "not run", the claim is released by writing CLAIM_RELEASED, so that the
 * caller may retry.
 *
 * A claim costs the service one write, out of the few hundred a second that
 * the domains' owner leases also need.  Each entry therefore claims at a
 * bounded rate and refuses at once the requests that exceed it.
 *
 * If the service cannot be reached, the request is answered "not run" at
 * once: it has not been sent, and without a claim it must not be.
 */
#include "routeint.h"

#include <stdio.h>
#include <string.h>

/* Most reads of one claim, after writes that conflicted or whose reply was
   lost. */
#define CLAIM_READS_MAX 3
/* Stored value of a claim that was released. */
#define CLAIM_RELEASED "free"

/* Read the request's claim, or write it if its index is claim_index. */
static void
claim_access (gl_router_t *r, handle_t h, request_t *q,
              gl_route_fx_kind_t kind)
{
  gl_route_effect_t *e = effect_add (r, kind);

  if (!e)
    return;
  e->request = h;
  e->index = q->claim_index;
  snprintf (e->key, sizeof e->key, "%s", q->key);
  snprintf (e->value, sizeof e->value, "%s", q->claim_id);
  q->state = kind == GL_ROUTE_FX_CLAIM_GET ? REQ_CLAIM_GET : REQ_CLAIM_CAS;
}

/* Take a token from the bucket of claims, which holds at most the tokens of
   one second; 0 if it is empty. */
static int
claim_rate_allows (gl_router_t *r)
{
  double rate = r->conf.claims_per_s;

  r->claim_tokens += rate * (double)(r->now - r->claim_refilled_at) / 1000;
  r->claim_refilled_at = r->now;
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
      request_enqueue (r, h);
      return;
    }
  if (!claim_rate_allows (r))
    {
      r->c.claim_limit++;
      request_error (r, h, 503, "claim_limit", 1,
                     RETRY_AFTER_MS + route_jitter (r, RETRY_AFTER_MS));
      return;
    }
  r->c.claims++;
  q->claim_index = 0;
  snprintf (q->claim_id, sizeof q->claim_id, "%.40s/%llu", r->node,
            (unsigned long long)++r->claim_serial);
  claim_access (r, h, q, GL_ROUTE_FX_CLAIM_CAS);
}

static void
claim_fail (gl_router_t *r, handle_t h)
{
  request_error (r, h, 503, "claim_failed", 1, RETRY_AFTER_MS);
}

static void
claim_won (gl_router_t *r, handle_t h, request_t *q, uint64_t index)
{
  q->claimed = 1;
  q->claim_index = index;
  request_enqueue (r, h);
}

static void
on_cas_done (gl_router_t *r, handle_t h, request_t *q,
             const gl_route_event_t *ev)
{
  switch (ev->u.claim.status)
    {
    case GL_ST_OK:
      claim_won (r, h, q, ev->u.claim.index);
      break;
    case GL_ST_REFUSED:
      claim_fail (r, h);
      break;
    default:
      if (++q->claim_reads > CLAIM_READS_MAX)
        claim_fail (r, h);
      else
        claim_access (r, h, q, GL_ROUTE_FX_CLAIM_GET);
    }
}

/* Whether the value that was read is @v. */
static int
value_is (const gl_route_event_t *ev, const char *v)
{
  return ev->u.claim.len == strlen (v)
         && !memcmp (ev->u.claim.data, v, ev->u.claim.len);
}

static void
on_get_done (gl_router_t *r, handle_t h, request_t *q,
             const gl_route_event_t *ev)
{
  switch (ev->u.claim.status)
    {
    case GL_ST_OK:
      if (value_is (ev, q->claim_id))
        claim_won (r, h, q, ev->u.claim.index);
      else if (value_is (ev, CLAIM_RELEASED))
        {
          q->claim_index = ev->u.claim.index;
          claim_access (r, h, q, GL_ROUTE_FX_CLAIM_CAS);
        }
      else
        {
          r->c.claim_taken++;
          request_error (r, h, 409, "already_taken", 0, 0);
        }
      break;
    case GL_ST_ABSENT:
      q->claim_index = 0;
      claim_access (r, h, q, GL_ROUTE_FX_CLAIM_CAS);
      break;
    default:
      claim_fail (r, h);
    }
}

void
claim_done (gl_router_t *r, const gl_route_event_t *ev)
{
  handle_t h = ev->u.claim.request;
  request_t *q = pool_get (&r->requests, h);

  if (!q)
    return;
  if (q->state == REQ_CLAIM_CAS)
    on_cas_done (r, h, q, ev);
  else if (q->state == REQ_CLAIM_GET)
    on_get_done (r, h, q, ev);
}

void
claim_release (gl_router_t *r, const request_t *q)
{
  gl_route_effect_t *e;

  if (!q->claimed)
    return;
  e = effect_add (r, GL_ROUTE_FX_CLAIM_CAS);
  if (!e)
    return;
  e->index = q->claim_index;
  snprintf (e->key, sizeof e->key, "%s", q->key);
  snprintf (e->value, sizeof e->value, CLAIM_RELEASED);
}
