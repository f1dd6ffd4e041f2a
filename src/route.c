/*
 * route.c -- the router's reducer: one request from arrival to its answer
 *
 * A request is claimed if it carries a key, queued by service and urgency,
 * sent to an instance with a free slot, and answered once.  What a sending
 * came to decides what may follow:
 *
 *   whole answer        passed on
 *   not sent, refused   sent elsewhere, whatever kind of request it is
 *   unknown             sent elsewhere only if repeatable, only within the
 *                       retry budget of its class, after a jittered pause;
 *                       otherwise "unknown" is the answer, at once
 *
 * A request that cannot be served in time is answered when that becomes
 * clear: at arrival if the queue is full or too slow for its deadline, and
 * again at each sweep.  The answer says when to come back; nothing is held
 * to keep a caller quiet.
 */
#include "routeint.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Urgent requests always go first; a bulk request gets every BULK_TURN-th
   turn of the rest, so that it is not starved by normal ones. */
#define BULK_TURN 5

static const char *const urgency_names[URGENCIES]
    = { "urgent", "normal", "bulk" };

gl_route_effect_t *
rfx_add (gl_router_t *r, gl_route_fx_kind_t kind)
{
  gl_route_effects_t *fx = r->fx;
  gl_route_effect_t *e;

  if (fx->n == fx->cap)
    {
      size_t cap = fx->cap ? 2 * fx->cap : 16;
      gl_route_effect_t *v = realloc (fx->v, cap * sizeof *v);
      if (!v)
        return NULL;
      fx->v = v;
      fx->cap = cap;
    }
  e = &fx->v[fx->n++];
  memset (e, 0, sizeof *e);
  e->kind = kind;
  return e;
}

gl_ms_t
route_jitter (gl_router_t *r, gl_ms_t span)
{
  return span ? gsl_rng_uniform_int (r->rng, span) : 0;
}

/* ---- queues ---- */

static queue_t *
queue_of (gl_router_t *r, const request_t *q)
{
  return &r->services[q->service].queues[q->urgency];
}

static void
queue_put (gl_router_t *r, handle_t h, int first)
{
  request_t *q = pool_get (&r->requests, h);
  queue_t *l = queue_of (r, q);
  handle_t *end = first ? &l->head : &l->tail;
  request_t *old = pool_get (&r->requests, *end);

  q->prev = first ? 0 : *end;
  q->next = first ? *end : 0;
  if (old && first)
    old->prev = h;
  else if (old)
    old->next = h;
  *end = h;
  if (!old)
    l->head = l->tail = h;
  l->n++;
  q->state = REQ_QUEUED;
}

static void
queue_take (gl_router_t *r, request_t *q)
{
  queue_t *l = queue_of (r, q);

  if (q->prev)
    ((request_t *)pool_get (&r->requests, q->prev))->next = q->next;
  else
    l->head = q->next;
  if (q->next)
    ((request_t *)pool_get (&r->requests, q->next))->prev = q->prev;
  else
    l->tail = q->prev;
  l->n--;
  q->prev = 0;
  q->next = 0;
}

/* ---- ends ---- */

static void
request_forget (gl_router_t *r, handle_t h)
{
  request_t *q = pool_get (&r->requests, h);

  if (q->state == REQ_QUEUED)
    queue_take (r, q);
  pool_del (&r->requests, h);
}

void
request_error (gl_router_t *r, handle_t h, int status, const char *code,
               int not_run, gl_ms_t retry)
{
  request_t *q = pool_get (&r->requests, h);
  gl_route_effect_t *e = rfx_add (r, GL_ROUTE_FX_ERROR);

  if (e)
    {
      e->token = q->token;
      e->status = status;
      e->code = code;
      e->not_run = not_run;
      e->retry_after = retry;
    }
  if (not_run)
    claim_release (r, q);
  request_forget (r, h);
}

static void
request_pass (gl_router_t *r, handle_t h)
{
  request_t *q = pool_get (&r->requests, h);
  gl_route_effect_t *e = rfx_add (r, GL_ROUTE_FX_REPLY);

  if (e)
    e->token = q->token;
  if (FAULT (FAULT_ANSWER_TWICE) && (e = rfx_add (r, GL_ROUTE_FX_REPLY)))
    e->token = q->token;
  r->c.passed++;
  hist_add (&r->wait[q->urgency], (double)(r->now - q->arrived));
  hist_add (&r->services[q->service].took, (double)(r->now - q->arrived));
  request_forget (r, h);
}

/* ---- admission ---- */

/* How long a request at the end of this queue waits for a slot. */
static gl_ms_t
expected_wait (const gl_router_t *r, const request_t *q, int ahead)
{
  double took;
  int slots = upstream_slots (r, q->service, &took);

  if (!slots)
    return 0;
  return (gl_ms_t)(ahead * took / slots);
}

/* Nothing is held for a service that no instance offers at the moment. */
static int
no_instance (const gl_router_t *r, int service)
{
  double took;

  return !upstream_slots (r, service, &took);
}

static int
queue_ahead (const gl_router_t *r, const request_t *q)
{
  int n = 0;

  for (int u = 0; u <= (int)q->urgency; u++)
    n += r->services[q->service].queues[u].n;
  return n;
}

static int
find_service (const gl_router_t *r, const char *name)
{
  for (int i = 0; i < r->nservices; i++)
    if (!strcmp (r->services[i].name, name))
      return i;
  return -1;
}

/* Refuse at once what cannot be served in time; 1 when it was refused. */
static int
refuse (gl_router_t *r, handle_t h)
{
  request_t *q = pool_get (&r->requests, h);
  int ahead = queue_ahead (r, q);
  gl_ms_t wait = expected_wait (r, q, ahead);

  if (no_instance (r, q->service))
    {
      r->c.refused_service++;
      request_error (r, h, 503, "no_instance", 1,
                     RETRY_MS + route_jitter (r, RETRY_MS));
      return 1;
    }
  if (ahead < r->conf.queue_len && r->now + wait < q->deadline)
    return 0;
  r->c.refused_overload++;
  request_error (r, h, 503, "overloaded", 1,
                 RETRY_MS + wait / 2 + route_jitter (r, RETRY_MS));
  return 1;
}

static void
early_error (gl_router_t *r, uint64_t token, int status, const char *code,
             gl_ms_t retry)
{
  gl_route_effect_t *e = rfx_add (r, GL_ROUTE_FX_ERROR);

  if (!e)
    return;
  e->token = token;
  e->status = status;
  e->code = code;
  e->not_run = 1;
  e->retry_after = retry;
}

static void
fill_request (gl_router_t *r, request_t *q, const gl_route_event_t *ev,
              int service)
{
  gl_ms_t span = (gl_ms_t)r->conf.deadline_ms;

  if (ev->u.request.deadline && ev->u.request.deadline < span)
    span = ev->u.request.deadline;
  q->token = ev->u.request.token;
  q->service = service;
  q->urgency = ev->u.request.urgency;
  q->repeatable = ev->u.request.repeatable;
  q->arrived = r->now;
  q->deadline = r->now + span;
  q->last_instance = -1;
  q->instance = -1;
}

static void
on_request (gl_router_t *r, const gl_route_event_t *ev)
{
  int service = find_service (r, ev->u.request.service);
  uint64_t token = ev->u.request.token;
  handle_t h;
  request_t *q;

  r->c.requests++;
  if (r->stopping)
    {
      r->c.refused_stop++;
      early_error (r, token, 503, "stopping", RETRY_MS);
      return;
    }
  if (service < 0)
    {
      r->c.refused_service++;
      if (r->list_known)
        early_error (r, token, 404, "no_such_service", 0);
      else
        early_error (r, token, 503, "starting", RETRY_MS);
      return;
    }
  h = r->requests.count < REQUESTS_MAX ? pool_add (&r->requests) : 0;
  q = pool_get (&r->requests, h);
  if (!q)
    {
      r->c.refused_overload++;
      early_error (r, token, 503, "overloaded", RETRY_MS);
      return;
    }
  fill_request (r, q, ev, service);
  r->budget[q->urgency] += r->conf.retry_percent;
  if (r->budget[q->urgency] > BUDGET_CAP)
    r->budget[q->urgency] = BUDGET_CAP;
  q->state = REQ_CLAIM_CAS;
  if (refuse (r, h))
    return;
  if (!q->repeatable && ev->u.request.key[0])
    {
      snprintf (q->key, sizeof q->key, "gl/once/%.80s", ev->u.request.key);
      claim_begin (r, h);
    }
  else
    request_ready (r, h);
}

void
request_ready (gl_router_t *r, handle_t h)
{
  request_t *q = pool_get (&r->requests, h);

  if (r->now >= q->deadline)
    {
      r->c.expired++;
      request_error (r, h, 504, "deadline", 1, RETRY_MS);
      return;
    }
  queue_put (r, h, 0);
  route_serve (r, q->service);
}

/* ---- sending ---- */

static void
send_to (gl_router_t *r, handle_t h, request_t *q, int i)
{
  gl_route_effect_t *e = rfx_add (r, GL_ROUTE_FX_SEND);
  gl_ms_t left = q->deadline - r->now;
  gl_ms_t bound = (gl_ms_t)r->conf.first_byte_ms;

  if (!e)
    return;
  queue_take (r, q);
  q->state = REQ_SENT;
  q->instance = i;
  q->sent_at = r->now;
  q->tries++;
  q->attempt++;
  r->inst[i].open++;
  r->c.sent++;
  r->c.resent += q->tries > 1;
  e->token = q->token;
  e->request = h;
  e->attempt = q->attempt;
  e->instance = (uint32_t)i;
  e->timeout = left < bound ? left : bound;
  e->once = !q->repeatable;
  memcpy (e->addr, r->inst[i].addr, sizeof e->addr);
  memcpy (e->key, q->key, sizeof e->key);
}

/* The request whose turn it is, 0 when none waits. */
static handle_t
next_request (gl_router_t *r, int service)
{
  service_t *s = &r->services[service];

  if (s->queues[GL_REQ_URGENT].n)
    return s->queues[GL_REQ_URGENT].head;
  if (s->queues[GL_REQ_BULK].n
      && (!s->queues[GL_REQ_NORMAL].n || s->turn >= BULK_TURN))
    {
      s->turn = 0;
      return s->queues[GL_REQ_BULK].head;
    }
  s->turn++;
  return s->queues[GL_REQ_NORMAL].head;
}

void
route_serve (gl_router_t *r, int service)
{
  for (;;)
    {
      handle_t h = next_request (r, service);
      request_t *q = pool_get (&r->requests, h);
      int i;

      if (!q)
        return;
      if (r->now >= q->deadline)
        {
          r->c.expired++;
          request_error (r, h, 504, "deadline", !q->sent_once, RETRY_MS);
          continue;
        }
      i = upstream_choose (r, service, q->last_instance);
      if (i < 0)
        return;
      send_to (r, h, q, i);
    }
}

/* ---- after a sending ---- */

static void
again_elsewhere (gl_router_t *r, handle_t h, request_t *q)
{
  if (q->tries >= TRIES_MAX)
    {
      r->c.not_run++;
      request_error (r, h, 503, "not_run", !q->sent_once, RETRY_MS);
      return;
    }
  queue_put (r, h, 1);
  route_serve (r, q->service);
}

static void
end_unknown (gl_router_t *r, handle_t h)
{
  r->c.unknown++;
  request_error (r, h, 502, "unknown", 0, 0);
}

static void
after_unknown (gl_router_t *r, handle_t h, request_t *q)
{
  gl_ms_t pause = RESEND_MIN_MS << q->tries;

  q->sent_once = 1;
  if ((!q->repeatable && !FAULT (FAULT_RESEND_SENT)) || q->tries >= TRIES_MAX)
    {
      end_unknown (r, h);
      return;
    }
  if (r->budget[q->urgency] < 100)
    {
      r->c.no_budget++;
      end_unknown (r, h);
      return;
    }
  if (pause > RESEND_MAX_MS)
    pause = RESEND_MAX_MS;
  pause = pause / 2 + route_jitter (r, pause);
  if (r->now + pause >= q->deadline)
    {
      end_unknown (r, h);
      return;
    }
  r->budget[q->urgency] -= 100;
  q->state = REQ_PAUSED;
  q->paused_until = r->now + pause;
  timer_arm_before (&r->timers, r->t_expire, q->paused_until);
}

static void
on_tried (gl_router_t *r, const gl_route_event_t *ev)
{
  handle_t h = ev->u.send_done.request;
  request_t *q = pool_get (&r->requests, h);
  int i;
  int service;

  if (!q || q->state != REQ_SENT || q->attempt != ev->u.send_done.attempt)
    return;
  i = q->instance;
  service = q->service;
  r->inst[i].open--;
  q->last_instance = i;
  switch (ev->u.send_done.result)
    {
    case GL_SEND_ANSWERED:
      upstream_took (r, i, r->now - q->sent_at);
      request_pass (r, h);
      break;
    case GL_SEND_REFUSED:
      upstream_refused (r, i, ev->u.send_done.leaving,
                        ev->u.send_done.retry_after);
      again_elsewhere (r, h, q);
      break;
    case GL_SEND_NOT_SENT:
      upstream_doubt (r, i);
      again_elsewhere (r, h, q);
      break;
    case GL_SEND_UNKNOWN:
      upstream_doubt (r, i);
      if (FAULT (FAULT_PARTIAL_AS_WHOLE))
        request_pass (r, h);
      else
        after_unknown (r, h, q);
      break;
    }
  route_serve (r, service);
}

/* ---- time ---- */

/* Answer what can no longer be served in time. */
static void
sweep_queue (gl_router_t *r, queue_t *l, int ahead)
{
  handle_t h = l->head;

  while (h)
    {
      request_t *q = pool_get (&r->requests, h);
      handle_t next = q->next;
      gl_ms_t wait = expected_wait (r, q, ahead);

      if (r->now + wait >= q->deadline || no_instance (r, q->service))
        {
          r->c.expired++;
          request_error (r, h, 503, "overloaded", !q->sent_once,
                         RETRY_MS + wait / 2);
        }
      else
        ahead++;
      h = next;
    }
}

static void
wake_paused (gl_router_t *r)
{
  size_t pos = 0;
  handle_t h;

  while ((h = pool_next (&r->requests, &pos)))
    {
      request_t *q = pool_get (&r->requests, h);

      if (q->state != REQ_PAUSED)
        continue;
      if (q->paused_until <= r->now)
        {
          queue_put (r, h, 1);
          route_serve (r, q->service);
        }
      else
        timer_arm_before (&r->timers, r->t_expire, q->paused_until);
    }
}

static void
sweep (void *ctx, gl_ms_t now)
{
  gl_router_t *r = ctx;

  (void)now;
  wake_paused (r);
  for (int s = 0; s < r->nservices; s++)
    {
      int ahead = 0;

      route_serve (r, s);
      for (int u = 0; u < URGENCIES; u++)
        {
          sweep_queue (r, &r->services[s].queues[u], ahead);
          ahead += r->services[s].queues[u].n;
        }
    }
  if (r->requests.count)
    timer_arm_before (&r->timers, r->t_expire, r->now + EXPIRE_MS);
}

/* ---- life ---- */

static void
on_conf (gl_router_t *r, const gl_conf_t *c)
{
  if (c->revision < r->conf.revision && !FAULT (FAULT_REVISION_FALLS))
    return;
  r->conf = *c;
  r->conf.teams = NULL;
  r->conf.nteams = 0;
}

static void
go_on_stopping (gl_router_t *r)
{
  if (!r->stopping || r->stopped)
    return;
  if (r->requests.count && !FAULT (FAULT_CUT_ON_STOP))
    return;
  r->stopped = 1;
  rfx_add (r, GL_ROUTE_FX_STOPPED);
}

void
gl_router_step (gl_router_t *r, const gl_route_event_t *ev, gl_ms_t now,
                gl_route_effects_t *fx)
{
  r->now = now;
  r->fx = fx;
  switch (ev->kind)
    {
    case GL_ROUTE_EV_TICK:
      break;
    case GL_ROUTE_EV_REQUEST:
      on_request (r, ev);
      break;
    case GL_ROUTE_EV_SEND_DONE:
      on_tried (r, ev);
      break;
    case GL_ROUTE_EV_PROBE_DONE:
      upstream_probed (r, (int)ev->u.probe_done.instance,
                       ev->u.probe_done.healthy, ev->u.probe_done.leaving);
      break;
    case GL_ROUTE_EV_CLAIM_DONE:
      claim_answered (r, ev);
      break;
    case GL_ROUTE_EV_VMS:
      r->list_known = 1;
      upstreams_listed (r, ev->u.vms.vms, ev->u.vms.n);
      break;
    case GL_ROUTE_EV_CONF:
      on_conf (r, ev->u.conf);
      break;
    case GL_ROUTE_EV_STOP:
      r->stopping = 1;
      break;
    }
  timer_run (&r->timers, now);
  if (r->requests.count)
    timer_arm_before (&r->timers, r->t_expire, now + EXPIRE_MS);
  go_on_stopping (r);
  r->fx = NULL;
}

gl_ms_t
gl_router_due (const gl_router_t *r)
{
  return timer_next (&r->timers);
}

gl_router_t *
gl_router_new (const gl_router_opts_t *opts, gl_ms_t now)
{
  gl_router_t *r = calloc (1, sizeof *r);

  if (!r)
    return NULL;
  snprintf (r->node, sizeof r->node, "%s", opts->node);
  snprintf (r->domain, sizeof r->domain, "%s", opts->domain);
  r->entries = opts->entries > 0 ? opts->entries : 1;
  r->number = opts->entry_number;
  r->slots = opts->slots > 0 ? opts->slots : 8;
  r->now = now;
  r->claim_filled = now;
  r->claim_tokens = 1;
  pool_init (&r->requests, sizeof (request_t));
  conf_init (&r->conf);
  r->rng = gsl_rng_alloc (gsl_rng_taus2);
  if (!r->rng)
    {
      free (r);
      return NULL;
    }
  gsl_rng_set (r->rng, opts->seed);
  r->marks = (uint64_t)gsl_rng_get (r->rng) << 24;
  r->t_expire = timer_subscribe (&r->timers, sweep, r);
  r->t_probe = timer_subscribe (&r->timers, upstreams_probe, r);
  return r;
}

void
gl_router_free (gl_router_t *r)
{
  if (!r)
    return;
  pool_done (&r->requests);
  free (r->inst);
  for (int i = 0; i < URGENCIES; i++)
    hist_done (&r->wait[i]);
  for (int i = 0; i < r->nservices; i++)
    hist_done (&r->services[i].took);
  conf_done (&r->conf);
  gsl_rng_free (r->rng);
  free (r);
}

/* ---- views ---- */

static json_t *
instance_json (const gl_router_t *r, const instance_t *n)
{
  static const char *const states[] = { "ok", "suspect", "leaving" };

  return json_pack ("{s:s,s:s,s:s,s:b,s:b,s:i,s:i,s:f}", "name", n->name,
                    "service", r->services[n->service].name, "state",
                    states[n->state], "listed", n->listed, "own", n->own,
                    "share", n->share, "open", n->open, "took_ms", n->took);
}

char *
gl_router_view (gl_router_t *r, gl_ms_t now)
{
  json_t *a = json_array ();
  json_t *o;
  char *text;

  r->now = now;
  for (int i = 0; i < r->ninst; i++)
    json_array_append_new (a, instance_json (r, &r->inst[i]));
  o = json_pack ("{s:s,s:s,s:I,s:I,s:b,s:o}", "node", r->node, "domain",
                 r->domain, "revision", (json_int_t)r->conf.revision,
                 "open_requests", (json_int_t)r->requests.count, "stopping",
                 r->stopping, "instances", a);
  text = json_dumps (o, JSON_COMPACT);
  json_decref (o);
  return text;
}

char *
gl_router_metrics (gl_router_t *r)
{
  text_t t = { 0 };

#define X(name, help)                                                         \
  text_add (&t, "# HELP gl_entry_%s %s\ngl_entry_%s{domain=\"%s\"} %llu\n",   \
            #name, help, #name, r->domain, (unsigned long long)r->c.name);
  ROUTE_COUNTERS (X)
#undef X
  for (int u = 0; u < URGENCIES; u++)
    hist_print (&t, "gl_entry_answer_ms", "urgency", urgency_names[u],
                &r->wait[u]);
  for (int s = 0; s < r->nservices; s++)
    hist_print (&t, "gl_entry_answer_ms", "service", r->services[s].name,
                &r->services[s].took);
  return t.s;
}
