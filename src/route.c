/*
 * route.c -- the router's reducer: requests from arrival to answer
 *
 * A request with an idempotency key is claimed first.  Then it is queued by
 * service and urgency, sent to an instance with a free slot, and answered
 * exactly once.  The result of a send decides what follows:
 *
 *   complete response   given to the caller
 *   not sent, refused   the request did not run, so it is sent again, to
 *                       another instance if possible, whether or not it is
 *                       repeatable
 *   unknown             the request may have run, so it is sent again only
 *                       if it is repeatable and the retry budget of its
 *                       class allows it, after a jittered delay; otherwise
 *                       it is answered "unknown" at once
 *   no room             not run, and refused: it finds no memory to be sent
 *   dropped             answered "unknown": it ran, and there is no memory
 *                       for its response
 *
 * A request that cannot be served before its deadline is answered as soon as
 * that is known: on arrival, if the queue is full or the expected wait is too
 * long, and at each later sweep.  The answer says when to retry.  A request
 * that is bound to fail is never kept waiting for its error.
 *
 * A stop bounds all deadlines, since what is open when the process ends gets
 * no answer.
 */
#include "routeint.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Urgent requests always go first.  After this many turns of normal requests
   a waiting bulk request has one, so that it does not starve. */
#define NORMAL_TURNS_MAX 5

static const char *const urgency_names[URGENCIES]
    = { "urgent", "normal", "bulk" };

gl_route_effect_t *
effect_add (gl_router_t *r, gl_route_fx_kind_t kind)
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
queue_for (gl_router_t *r, const request_t *q)
{
  return &r->services[q->service].queues[q->urgency];
}

/* Add a request to its queue: at the tail, or at the head for one that was
   sent before. */
static void
queue_push (gl_router_t *r, handle_t h, int at_head)
{
  request_t *q = pool_get (&r->requests, h);
  queue_t *l = queue_for (r, q);
  handle_t *end = at_head ? &l->head : &l->tail;
  request_t *old = pool_get (&r->requests, *end);

  q->prev = at_head ? 0 : *end;
  q->next = at_head ? *end : 0;
  if (old && at_head)
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
queue_remove (gl_router_t *r, request_t *q)
{
  queue_t *l = queue_for (r, q);

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

/* ---- final answers ---- */

static void
request_free (gl_router_t *r, handle_t h)
{
  request_t *q = pool_get (&r->requests, h);

  if (q->state == REQ_QUEUED)
    queue_remove (r, q);
  pool_del (&r->requests, h);
}

void
request_error (gl_router_t *r, handle_t h, int status, const char *code,
               int not_run, gl_ms_t retry_after)
{
  request_t *q = pool_get (&r->requests, h);
  gl_route_effect_t *e = effect_add (r, GL_ROUTE_FX_ERROR);

  if (e)
    {
      e->token = q->token;
      e->status = status;
      e->code = code;
      e->not_run = not_run;
      e->retry_after = retry_after;
    }
  if (not_run)
    claim_release (r, q);
  request_free (r, h);
}

static void
request_reply (gl_router_t *r, handle_t h)
{
  request_t *q = pool_get (&r->requests, h);
  gl_route_effect_t *e = effect_add (r, GL_ROUTE_FX_REPLY);

  if (e)
    e->token = q->token;
  if (FAULT (FAULT_ANSWER_TWICE) && (e = effect_add (r, GL_ROUTE_FX_REPLY)))
    e->token = q->token;
  r->c.passed++;
  hist_add (&r->latency[q->urgency], (double)(r->now - q->arrived));
  hist_add (&r->services[q->service].latency, (double)(r->now - q->arrived));
  request_free (r, h);
}

/* ---- admission ---- */

/* Expected time, ms, until a request with @ahead others queued before it gets
   a slot; 0 if there is no usable instance. */
static gl_ms_t
expected_wait (const gl_router_t *r, const request_t *q, int ahead)
{
  double latency_ms;
  int slots = upstream_slots (r, q->service, &latency_ms);

  if (!slots)
    return 0;
  return (gl_ms_t)(ahead * latency_ms / slots);
}

/* Whether the service has no usable instance; its requests are then refused
   rather than queued. */
static int
no_instance (const gl_router_t *r, int service)
{
  double latency_ms;

  return !upstream_slots (r, service, &latency_ms);
}

/* Number of queued requests of the same service whose urgency is at least
   that of @q. */
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

/* Answer a new request with an error if it cannot be served in time; returns
   1 if it did. */
static int
admission_refused (gl_router_t *r, handle_t h)
{
  request_t *q = pool_get (&r->requests, h);
  int ahead = queue_ahead (r, q);
  gl_ms_t wait = expected_wait (r, q, ahead);

  if (no_instance (r, q->service))
    {
      r->c.refused_service++;
      request_error (r, h, 503, "no_instance", 1,
                     RETRY_AFTER_MS + route_jitter (r, RETRY_AFTER_MS));
      return 1;
    }
  if (ahead < r->conf.queue_len && r->now + wait < q->deadline)
    return 0;
  r->c.refused_overload++;
  request_error (r, h, 503, "overloaded", 1,
                 RETRY_AFTER_MS + wait / 2 + route_jitter (r, RETRY_AFTER_MS));
  return 1;
}

/* Answer a request that was not entered into the table. */
static void
reject (gl_router_t *r, uint64_t token, int status, const char *code,
        gl_ms_t retry_after)
{
  gl_route_effect_t *e = effect_add (r, GL_ROUTE_FX_ERROR);

  if (!e)
    return;
  e->token = token;
  e->status = status;
  e->code = code;
  e->not_run = 1;
  e->retry_after = retry_after;
}

/* Fill in a new request from its event; a caller's deadline can only shorten
   the configured one. */
static void
request_init (gl_router_t *r, request_t *q, const gl_route_event_t *ev,
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
      reject (r, token, 503, "stopping", RETRY_AFTER_MS);
      return;
    }
  if (service < 0)
    {
      r->c.refused_service++;
      if (r->list_received)
        reject (r, token, 404, "no_such_service", 0);
      else
        reject (r, token, 503, "starting", RETRY_AFTER_MS);
      return;
    }
  h = r->requests.count < REQUESTS_MAX ? pool_add (&r->requests) : 0;
  q = pool_get (&r->requests, h);
  if (!q)
    {
      r->c.refused_overload++;
      reject (r, token, 503, "overloaded", RETRY_AFTER_MS);
      return;
    }
  request_init (r, q, ev, service);
  /* A resend after a lost response costs 100 hundredths, so retry_percent
     bounds the share of such resends in all requests. */
  r->retry_budget[q->urgency] += r->conf.retry_percent;
  if (r->retry_budget[q->urgency] > RETRY_BUDGET_MAX)
    r->retry_budget[q->urgency] = RETRY_BUDGET_MAX;
  /* Any state but REQ_QUEUED, since request_free unlinks a queued request. */
  q->state = REQ_CLAIM_CAS;
  if (admission_refused (r, h))
    return;
  if (!q->repeatable && ev->u.request.key[0])
    {
      snprintf (q->key, sizeof q->key, "gl/once/%.80s", ev->u.request.key);
      claim_begin (r, h);
    }
  else
    request_enqueue (r, h);
}

void
request_enqueue (gl_router_t *r, handle_t h)
{
  request_t *q = pool_get (&r->requests, h);

  if (r->now >= q->deadline)
    {
      r->c.expired++;
      request_error (r, h, 504, "deadline", 1, RETRY_AFTER_MS);
      return;
    }
  queue_push (r, h, 0);
  route_dispatch (r, q->service);
}

/* ---- sending ---- */

static void
request_send (gl_router_t *r, handle_t h, request_t *q, int i)
{
  gl_route_effect_t *e = effect_add (r, GL_ROUTE_FX_SEND);
  gl_ms_t left = q->deadline - r->now;
  gl_ms_t bound = (gl_ms_t)r->conf.first_byte_ms;

  if (!e)
    return;
  queue_remove (r, q);
  q->state = REQ_SENT;
  q->instance = i;
  q->sent_at = r->now;
  q->sends++;
  q->attempt++;
  r->inst[i].open++;
  r->c.sent++;
  r->c.resent += q->sends > 1;
  e->token = q->token;
  e->request = h;
  e->attempt = q->attempt;
  e->instance = (uint32_t)i;
  e->timeout = left < bound ? left : bound;
  e->once = !q->repeatable;
  memcpy (e->addr, r->inst[i].addr, sizeof e->addr);
  memcpy (e->key, q->key, sizeof e->key);
}

/* The queued request whose turn it is, 0 for none. */
static handle_t
next_request (gl_router_t *r, int service)
{
  service_t *s = &r->services[service];

  if (s->queues[GL_REQ_URGENT].n)
    return s->queues[GL_REQ_URGENT].head;
  if (s->queues[GL_REQ_BULK].n
      && (!s->queues[GL_REQ_NORMAL].n || s->normal_turns >= NORMAL_TURNS_MAX))
    {
      s->normal_turns = 0;
      return s->queues[GL_REQ_BULK].head;
    }
  s->normal_turns++;
  return s->queues[GL_REQ_NORMAL].head;
}

void
route_dispatch (gl_router_t *r, int service)
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
          request_error (r, h, 504, "deadline", !q->may_have_run,
                         RETRY_AFTER_MS);
          continue;
        }
      i = upstream_choose (r, service, q->last_instance);
      if (i < 0)
        return;
      request_send (r, h, q, i);
    }
}

/* ---- results of sends ---- */

/* Queue a request that was not run for another send, to another instance if
   there is one, since last_instance is avoided. */
static void
requeue (gl_router_t *r, handle_t h, request_t *q)
{
  if (q->sends >= SENDS_MAX)
    {
      r->c.not_run++;
      request_error (r, h, 503, "not_run", !q->may_have_run, RETRY_AFTER_MS);
      return;
    }
  queue_push (r, h, 1);
  route_dispatch (r, q->service);
}

static void
answer_unknown (gl_router_t *r, handle_t h)
{
  r->c.unknown++;
  request_error (r, h, 502, "unknown", 0, 0);
}

/* A send ended without a complete response: schedule another send if the
   request is repeatable and number of sends, retry budget and deadline allow
   it, else answer "unknown". */
static void
resend_or_answer_unknown (gl_router_t *r, handle_t h, request_t *q)
{
  gl_ms_t pause = RESEND_BACKOFF_MS << q->sends;

  q->may_have_run = 1;
  if ((!q->repeatable && !FAULT (FAULT_RESEND_SENT)) || q->sends >= SENDS_MAX)
    {
      answer_unknown (r, h);
      return;
    }
  /* 100 hundredths: one retry. */
  if (r->retry_budget[q->urgency] < 100)
    {
      r->c.no_budget++;
      answer_unknown (r, h);
      return;
    }
  if (pause > RESEND_BACKOFF_MAX_MS)
    pause = RESEND_BACKOFF_MAX_MS;
  pause = pause / 2 + route_jitter (r, pause);
  if (r->now + pause >= q->deadline)
    {
      answer_unknown (r, h);
      return;
    }
  r->retry_budget[q->urgency] -= 100;
  q->state = REQ_BACKOFF;
  q->resend_at = r->now + pause;
  timer_arm_before (&r->timers, r->t_sweep, q->resend_at);
}

static void
on_send_done (gl_router_t *r, const gl_route_event_t *ev)
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
      upstream_answered (r, i, r->now - q->sent_at);
      request_reply (r, h);
      break;
    case GL_SEND_REFUSED:
      upstream_refused (r, i, ev->u.send_done.leaving,
                        ev->u.send_done.retry_after);
      requeue (r, h, q);
      break;
    case GL_SEND_NOT_SENT:
      upstream_send_failed (r, i);
      requeue (r, h, q);
      break;
    case GL_SEND_UNKNOWN:
      upstream_send_failed (r, i);
      if (FAULT (FAULT_PARTIAL_AS_WHOLE))
        request_reply (r, h);
      else
        resend_or_answer_unknown (r, h, q);
      break;
    case GL_SEND_NO_ROOM:
      r->c.no_room++;
      request_error (r, h, 503, "overloaded", !q->may_have_run,
                     RETRY_AFTER_MS);
      break;
    case GL_SEND_DROPPED:
      /* The upstream has run it, and is not to blame. */
      upstream_answered (r, i, r->now - q->sent_at);
      r->c.dropped++;
      request_error (r, h, 502, "unknown", 0, RETRY_AFTER_MS);
      break;
    }
  route_dispatch (r, service);
}

/* ---- sweep ---- */

/* Answer the requests of a queue that can no longer be served in time.
   @ahead is the number of requests queued in more urgent classes. */
static void
expire_queue (gl_router_t *r, queue_t *l, int ahead)
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
          request_error (r, h, 503, "overloaded", !q->may_have_run,
                         RETRY_AFTER_MS + wait / 2);
        }
      else
        ahead++;
      h = next;
    }
}

/* Queue the requests whose resend delay is over. */
static void
requeue_due_resends (gl_router_t *r)
{
  size_t pos = 0;
  handle_t h;

  while ((h = pool_next (&r->requests, &pos)))
    {
      request_t *q = pool_get (&r->requests, h);

      if (q->state != REQ_BACKOFF)
        continue;
      if (q->resend_at <= r->now)
        {
          queue_push (r, h, 1);
          route_dispatch (r, q->service);
        }
      else
        timer_arm_before (&r->timers, r->t_sweep, q->resend_at);
    }
}

/* Timer function: queue the resends that are due, send what can be sent, and
   answer what cannot be served in time. */
static void
sweep (void *ctx, gl_ms_t now)
{
  gl_router_t *r = ctx;

  (void)now;
  requeue_due_resends (r);
  for (int s = 0; s < r->nservices; s++)
    {
      int ahead = 0;

      route_dispatch (r, s);
      for (int u = 0; u < URGENCIES; u++)
        {
          expire_queue (r, &r->services[s].queues[u], ahead);
          ahead += r->services[s].queues[u].n;
        }
    }
  if (r->requests.count)
    timer_arm_before (&r->timers, r->t_sweep, r->now + SWEEP_MS);
}

/* ---- events ---- */

/* Adopt a configuration unless it is older than the one in force.  The router
   has no use for the teams, which the caller keeps and frees. */
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
on_stop (gl_router_t *r)
{
  size_t pos = 0;
  handle_t h;

  if (r->stopping)
    return;
  r->stopping = 1;
  r->stop_answer_at = r->now + STOP_ANSWER_MS;
  while ((h = pool_next (&r->requests, &pos)))
    {
      request_t *q = pool_get (&r->requests, h);

      if (q->deadline > r->stop_answer_at)
        q->deadline = r->stop_answer_at;
    }
}

/* Answer all open requests once a stop must end. */
static void
answer_for_stop (gl_router_t *r)
{
  size_t pos = 0;
  handle_t h;

  if (!r->stopping || r->now < r->stop_answer_at)
    return;
  while ((h = pool_next (&r->requests, &pos)))
    {
      request_t *q = pool_get (&r->requests, h);
      int not_run = q->state != REQ_SENT && !q->may_have_run;

      r->c.cut_by_stop++;
      request_error (r, h, not_run ? 503 : 504, "stopping", not_run,
                     RETRY_AFTER_MS);
    }
}

/* Report the stop as complete once all requests are answered. */
static void
finish_stop (gl_router_t *r)
{
  if (!r->stopping || r->stopped)
    return;
  if (r->requests.count && !FAULT (FAULT_CUT_ON_STOP))
    return;
  r->stopped = 1;
  effect_add (r, GL_ROUTE_FX_STOPPED);
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
      on_send_done (r, ev);
      break;
    case GL_ROUTE_EV_PROBE_DONE:
      upstream_probed (r, (int)ev->u.probe_done.instance,
                       ev->u.probe_done.healthy, ev->u.probe_done.leaving);
      break;
    case GL_ROUTE_EV_CLAIM_DONE:
      claim_done (r, ev);
      break;
    case GL_ROUTE_EV_VMS:
      r->list_received = 1;
      upstreams_update (r, ev->u.vms.vms, ev->u.vms.n);
      break;
    case GL_ROUTE_EV_CONF:
      on_conf (r, ev->u.conf);
      break;
    case GL_ROUTE_EV_STOP:
      on_stop (r);
      break;
    }
  answer_for_stop (r);
  timer_run (&r->timers, now);
  if (r->requests.count)
    timer_arm_before (&r->timers, r->t_sweep, now + SWEEP_MS);
  finish_stop (r);
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
  r->entry_number = opts->entry_number;
  r->slots = opts->slots > 0 ? opts->slots : 8;
  r->now = now;
  r->claim_refilled_at = now;
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
  r->claim_serial = (uint64_t)gsl_rng_get (r->rng) << 24;
  r->t_sweep = timer_subscribe (&r->timers, sweep, r);
  r->t_probe = timer_subscribe (&r->timers, upstreams_check, r);
  return r;
}

void
gl_router_free (gl_router_t *r)
{
  if (!r)
    return;
  pool_destroy (&r->requests);
  free (r->inst);
  for (int i = 0; i < URGENCIES; i++)
    hist_destroy (&r->latency[i]);
  for (int i = 0; i < r->nservices; i++)
    hist_destroy (&r->services[i].latency);
  conf_destroy (&r->conf);
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
                    states[n->state], "listed", n->listed, "own",
                    n->same_domain, "share", n->share, "open", n->open,
                    "took_ms", n->latency_ms);
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
                &r->latency[u]);
  for (int s = 0; s < r->nservices; s++)
    hist_print (&t, "gl_entry_answer_ms", "service", r->services[s].name,
                &r->services[s].latency);
  return t.s;
}
