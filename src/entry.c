/*
 * entry.c -- the entry daemon: an HTTP front end of the router
 *
 *   /SERVICE/PATH   forwarded to an instance of SERVICE as /PATH
 *   /-/healthz      200, or 503 once a stop was requested
 *   /-/metrics      counters and histograms
 *   /-/instances    the router's instances and their state, as JSON
 *
 * Request headers: Priority (RFC 9218; u=0..1 urgent, u=2..4 normal, u=5..7
 * bulk), Idempotency-Key, Deadline-Ms.  GET, HEAD, PUT and DELETE without a
 * key are repeatable; all other requests are not.
 *
 * The control thread runs the router.  The HTTP server's and clients' threads
 * post items to its queue; it turns each into an event and carries out the
 * resulting effects.
 */
#include <ck_pr.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ask.h"
#include "budget.h"
#include "daemon.h"
#include "httpd.h"
#include "listwatch.h"
#include "logs.h"
#include "metrics.h"
#include "platform.h"

/* Longest bodies forwarded, bytes.  The least memory_mb of settings.c is that
   of one request of this length, with its copy for the upstream, and of its
   response. */
#define REQUEST_BODY_MAX 8388608
#define RESPONSE_BODY_MAX 8388608
#define HTTP_THREADS 2
/* The part of the memory for answers that has to be free when a request is
   sent: one in so many. */
#define ANSWER_ROOM_PART 8
/* When there is no room for a response, one that its client has not taken for
   so long is given up, in ms. */
#define UNREAD_MS 1000
/* Least time between two log lines about that, in ms. */
#define NO_ROOM_LOG_MS 10000
/* Most connections to one instance address, for each slot of an instance.  An
   address accepts about 60 connections from all its clients together. */
#define CONNS_PER_SLOT 16
/* Time after which a claim of an idempotency key expires, seconds: a day. */
#define CLAIM_TTL_S 86400
/* Longest idempotency key, characters. */
#define KEY_MAX 64
/* The process ends this long after it closed the listener, at the latest,
   milliseconds: after STOP_ANSWER_MS of routeint.h, with time to send the
   answers.  With the default linger_ms that is 10 s, as in gl-scheduler. */
#define STOP_MS 8000

/**
 * enum item_kind_t - kind of an item for the control thread
 * @ITEM_REQUEST: a caller's request
 * @ITEM_SEND_DONE: a request sent to an instance has ended
 * @ITEM_PROBE_DONE: a health probe has ended
 * @ITEM_CLAIM_DONE: a read or write of a claim has ended
 * @ITEM_VMS: a watch of the VM list has ended
 * @ITEM_CONF: a new configuration
 * @ITEM_VIEW, @ITEM_METRICS: a query of the router's state
 * @ITEM_STOP: a stop was requested
 */
typedef enum
{
  ITEM_REQUEST,
  ITEM_SEND_DONE,
  ITEM_PROBE_DONE,
  ITEM_CLAIM_DONE,
  ITEM_VMS,
  ITEM_CONF,
  ITEM_VIEW,
  ITEM_METRICS,
  ITEM_STOP
} item_kind_t;

/**
 * struct item_t - one item for the control thread
 * @ev: event for the router; its pointers refer to the other members
 * @call: HTTP call of a request
 * @data, @len: malloc'd response body, or value of a claim
 * @budget, @reserved: budget in which @data is reserved, and its bytes there
 * @status, @type: HTTP status and content type of a response
 * @vms, @index: VM list, NULL if none arrived, and its index
 * @conf: the configuration, owned by the item
 * @service, @key: service name and idempotency key of a request
 * @reply_slot: slot for the reply to a query
 */
typedef struct
{
  item_kind_t kind;
  gl_route_event_t ev;
  httpd_call_t *call;
  char *data;
  size_t len;
  budget_t *budget;
  size_t reserved;
  int status;
  char type[64];
  gl_vm_t *vms;
  uint64_t index;
  gl_conf_t *conf;
  char service[64];
  char key[KEY_MAX + 1];
  reply_slot_t *reply_slot;
} item_t;

/**
 * struct daemon_t - state of the entry daemon
 * @upstreams: HTTP client for callers' requests
 * @http: HTTP client for all else: probes, claims and the VM list
 * @bodies: bound on the bodies of callers' requests
 * @answers: bound on their copies for upstreams and on upstreams' responses;
 * apart from @bodies, so that these leave room to send and to answer
 * @list: watch of the VM list
 * @stop_at: time at which the router gets GL_ROUTE_EV_STOP: 0 before a stop is
 * requested, UINT64_MAX once the event was sent
 * @ends_at: when the process ends at the latest, set with that event
 * @stopping: a stop was requested; read by the server's threads, so atomic
 * @no_room_logged_at: when lack of memory was last logged; atomic
 * @current: item that the control thread handles now, or NULL
 */
typedef struct
{
  settings_t settings;
  loop_t *loop;
  gl_router_t *router;
  httpc_t *upstreams;
  httpc_t *http;
  store_t store;
  budget_t *bodies;
  budget_t *answers;
  listwatch_t list;
  httpd_t *server;
  conf_pull_t *pull;
  gl_ms_t stop_at;
  gl_ms_t ends_at;
  unsigned int stopping;
  uint64_t no_room_logged_at;
  item_t *current;
} daemon_t;

static item_t *
item_new (item_kind_t kind)
{
  item_t *it = calloc (1, sizeof *it);

  if (!it)
    abort ();
  it->kind = kind;
  return it;
}

static void
item_free (item_t *it)
{
  free (it->data);
  budget_give (it->budget, it->reserved);
  free (it->vms);
  conf_free (it->conf);
  free (it);
}

static void
post_item (daemon_t *d, item_t *it)
{
  loop_must_post (d->loop, it);
}

/* ---- results of effects, on other threads ---- */

/** struct send_ctx_t - identifies a send when it ends */
typedef struct
{
  daemon_t *d;
  uint32_t request;
  uint32_t attempt;
} send_ctx_t;

/* There was no room for a request to an upstream, or for its response. */
static void
note_no_room (daemon_t *d)
{
  uint64_t now = clock_ms ();
  uint64_t last = ck_pr_load_64 (&d->no_room_logged_at);

  httpd_cut_unread (d->server, UNREAD_MS);
  if (now >= last + NO_ROOM_LOG_MS
      && ck_pr_cas_64 (&d->no_room_logged_at, last, now))
    log_info ("no room for requests or answers: %zu of %zu bytes held",
              budget_held (d->answers), budget_limit (d->answers));
}

/* A 503 with the header Not-Run is a refusal; any other complete response is
   the answer. */
static gl_send_result_t
send_result (const httpc_result_t *res)
{
  if (res->outcome == HTTPC_NOT_SENT)
    return GL_SEND_NOT_SENT;
  if (res->outcome == HTTPC_UNKNOWN && !res->too_long && !res->no_room)
    return GL_SEND_UNKNOWN;
  if (res->status == 503 && res->not_run)
    return GL_SEND_REFUSED;
  return res->outcome == HTTPC_UNKNOWN ? GL_SEND_DROPPED : GL_SEND_ANSWERED;
}

static void
on_send_done (void *ctx, httpc_result_t *res)
{
  send_ctx_t *s = ctx;
  item_t *it = item_new (ITEM_SEND_DONE);

  it->ev.kind = GL_ROUTE_EV_SEND_DONE;
  it->ev.u.send_done.request = s->request;
  it->ev.u.send_done.attempt = s->attempt;
  it->ev.u.send_done.result = send_result (res);
  if (res->no_room)
    note_no_room (s->d);
  /* An instance that refuses because it is leaving says so in the body. */
  it->ev.u.send_done.leaving
      = res->body && strstr (res->body, "leaving") != NULL;
  it->ev.u.send_done.retry_after = (gl_ms_t)res->retry_after_s * 1000;
  it->status = res->status;
  memcpy (it->type, res->content_type, sizeof it->type);
  it->data = res->body;
  it->len = res->len;
  it->budget = s->d->answers;
  it->reserved = res->reserved;
  res->body = NULL;
  res->reserved = 0;
  post_item (s->d, it);
  free (s);
}

/* This process could not pass the request on. */
static void
on_no_room (send_ctx_t *s)
{
  item_t *it = item_new (ITEM_SEND_DONE);

  it->ev.kind = GL_ROUTE_EV_SEND_DONE;
  it->ev.u.send_done.request = s->request;
  it->ev.u.send_done.attempt = s->attempt;
  it->ev.u.send_done.result = GL_SEND_NO_ROOM;
  note_no_room (s->d);
  post_item (s->d, it);
  free (s);
}

/** struct probe_ctx_t - identifies a probe when it ends */
typedef struct
{
  daemon_t *d;
  uint32_t instance;
} probe_ctx_t;

static void
on_probe_done (void *ctx, httpc_result_t *res)
{
  probe_ctx_t *p = ctx;
  item_t *it = item_new (ITEM_PROBE_DONE);
  int complete = res->outcome == HTTPC_COMPLETE;

  it->ev.kind = GL_ROUTE_EV_PROBE_DONE;
  it->ev.u.probe_done.instance = p->instance;
  it->ev.u.probe_done.healthy = complete && res->status == 200;
  it->ev.u.probe_done.leaving = complete && res->status == 503;
  post_item (p->d, it);
  free (p);
}

static void
on_claim_done (void *ctx, uint32_t tag, gl_store_status_t status,
               uint64_t index, const char *data, size_t len)
{
  item_t *it;

  if (!tag)
    return;
  it = item_new (ITEM_CLAIM_DONE);
  it->ev.kind = GL_ROUTE_EV_CLAIM_DONE;
  it->ev.u.claim.request = tag;
  it->ev.u.claim.status = status;
  it->ev.u.claim.index = index;
  if (data && len)
    {
      it->data = malloc (len);
      if (!it->data)
        abort ();
      memcpy (it->data, data, len);
    }
  it->ev.u.claim.data = it->data;
  it->ev.u.claim.len = it->data ? len : 0;
  post_item (ctx, it);
}

static void
on_vm_list (void *ctx, uint64_t index, const gl_vm_t *vms, size_t n)
{
  item_t *it = item_new (ITEM_VMS);

  it->ev.kind = GL_ROUTE_EV_VMS;
  it->index = index;
  it->vms = vmlist_copy (vms, n);
  it->ev.u.vms.vms = it->vms;
  it->ev.u.vms.n = n;
  post_item (ctx, it);
}

static void
on_conf (void *ctx, gl_conf_t *conf)
{
  item_t *it = item_new (ITEM_CONF);

  it->conf = conf;
  it->ev.kind = GL_ROUTE_EV_CONF;
  it->ev.u.conf = conf;
  post_item (ctx, it);
}

static void
on_stop_signal (void *ctx)
{
  daemon_t *d = ctx;
  item_t *it = item_new (ITEM_STOP);

  ck_pr_store_uint (&d->stopping, 1);
  post_item (d, it);
}

static void
fill_status (void *ctx, gl_status_t *s)
{
  daemon_t *d = ctx;

  daemon_status (s, &d->settings, "entry");
  free (s->rpc);
  s->rpc = strdup (d->settings.entry_http);
  s->net_bytes = httpc_bytes (d->http);
}

/* ---- effects ---- */

/* Whether an answer of usual length will find room; without it, a request is
   better refused than run. */
static int
has_room_for_answer (const daemon_t *d)
{
  size_t limit = budget_limit (d->answers);

  return budget_held (d->answers) <= limit - limit / ANSWER_ROOM_PART;
}

static void
send_request (daemon_t *d, const gl_route_effect_t *e)
{
  httpd_call_t *call = (httpd_call_t *)(uintptr_t)e->token;
  const char *rest = strchr (call->path + 1, '/');
  const char *type = httpd_header (call, "Content-Type");
  char url[2300];
  char h_type[128];
  char h_key[128];
  char h_deadline[64];
  const char *headers[] = { h_deadline, NULL, NULL, NULL };
  int n = 1;
  send_ctx_t *s = malloc (sizeof *s);
  httpc_request_t r = { .method = call->method,
                        .url = url,
                        .headers = headers,
                        .body = call->body,
                        .len = call->len,
                        .timeout = e->timeout,
                        .at_most_once = e->once,
                        .max_body = RESPONSE_BODY_MAX,
                        .budget = d->answers,
                        .done = on_send_done,
                        .ctx = s };

  if (!s)
    abort ();
  s->d = d;
  s->request = e->request;
  s->attempt = e->attempt;
  snprintf (url, sizeof url, "%s%.2000s", e->addr, rest ? rest : "/");
  snprintf (h_deadline, sizeof h_deadline, "Deadline-Ms: %llu",
            (unsigned long long)e->timeout);
  if (type)
    {
      snprintf (h_type, sizeof h_type, "Content-Type: %.100s", type);
      headers[n++] = h_type;
    }
  if (e->key[0])
    {
      snprintf (h_key, sizeof h_key, "Idempotency-Key: %s",
                strrchr (e->key, '/') + 1);
      headers[n++] = h_key;
    }
  if (!has_room_for_answer (d) || httpc_send (d->upstreams, &r))
    on_no_room (s);
}

static void
send_probe (daemon_t *d, const gl_route_effect_t *e)
{
  probe_ctx_t *p = malloc (sizeof *p);
  char url[128];
  httpc_request_t r = { .method = "GET",
                        .url = url,
                        .timeout = e->timeout,
                        .max_body = 4096,
                        .fresh_conn = 1,
                        .done = on_probe_done,
                        .ctx = p };

  if (!p)
    abort ();
  p->d = d;
  p->instance = e->instance;
  snprintf (url, sizeof url, "%s/healthz", e->addr);
  if (httpc_send (d->http, &r))
    {
      httpc_result_t res = { .outcome = HTTPC_NOT_SENT };
      on_probe_done (p, &res);
    }
}

static void
reply_error (const gl_route_effect_t *e)
{
  httpd_call_t *call = (httpd_call_t *)(uintptr_t)e->token;

  httpd_drop_body (call);
  if (e->retry_after)
    httpd_add_header (call, "Retry-After: %llu",
                      (unsigned long long)(e->retry_after + 999) / 1000);
  if (e->not_run)
    httpd_add_header (call, "Not-Run: 1");
  httpd_text (call, e->status,
              "{\"error\":\"%s\",\"not_run\":%s,\"retry_ms\":%llu}\n", e->code,
              e->not_run ? "true" : "false",
              (unsigned long long)e->retry_after);
}

/* Give the response in the current item to the caller. */
static void
reply_response (daemon_t *d, const gl_route_effect_t *e)
{
  httpd_call_t *call = (httpd_call_t *)(uintptr_t)e->token;
  item_t *it = d->current;

  httpd_drop_body (call);
  httpd_reply_reserved (call, it->budget, it->reserved);
  httpd_reply (call, it->status, it->type, it->data, it->len);
  it->data = NULL;
  it->reserved = 0;
}

static void
run_effect (daemon_t *d, const gl_route_effect_t *e)
{
  switch (e->kind)
    {
    case GL_ROUTE_FX_SEND:
      send_request (d, e);
      break;
    case GL_ROUTE_FX_PROBE:
      send_probe (d, e);
      break;
    case GL_ROUTE_FX_RETIRE_CONNS:
      httpc_retire_conns (d->upstreams);
      break;
    case GL_ROUTE_FX_CLAIM_GET:
      d->store.get (d->store.ctx, e->key, 0, 0, e->request, on_claim_done, d);
      break;
    case GL_ROUTE_FX_CLAIM_CAS:
      d->store.cas (d->store.ctx, e->key, e->index, e->value,
                    strlen (e->value), CLAIM_TTL_S, e->request, on_claim_done,
                    d);
      break;
    case GL_ROUTE_FX_REPLY:
      reply_response (d, e);
      break;
    case GL_ROUTE_FX_ERROR:
      reply_error (e);
      break;
    case GL_ROUTE_FX_LOG:
      log_info ("%s", e->log);
      break;
    case GL_ROUTE_FX_STOPPED:
      loop_quit (d->loop);
      break;
    }
}

static void
step_router (daemon_t *d, const gl_route_event_t *ev)
{
  gl_route_effects_t fx = { 0 };

  gl_router_step (d->router, ev, clock_ms (), &fx);
  for (size_t i = 0; i < fx.n; i++)
    run_effect (d, &fx.v[i]);
  free (fx.v);
}

/* ---- the control thread ---- */

static char *
metrics_text (daemon_t *d)
{
  text_t t = { 0 };
  char *router = gl_router_metrics (d->router);

  text_add (&t, "%s", router ? router : "");
  free (router);
  httpd_metrics (d->server, "callers", &t);
  text_add (&t, "memory_held{for=\"requests\"} %zu\n",
            budget_held (d->bodies));
  text_add (&t, "memory_held{for=\"answers\"} %zu\n",
            budget_held (d->answers));
  return t.s;
}

static void
take_vm_list (daemon_t *d, item_t *it)
{
  listwatch_answered (&d->list, it->index, it->vms != NULL);
  if (it->vms)
    step_router (d, &it->ev);
}

static void
on_item (void *ctx, void *item)
{
  daemon_t *d = ctx;
  item_t *it = item;
  char *text;

  d->current = it;
  switch (it->kind)
    {
    case ITEM_VMS:
      take_vm_list (d, it);
      break;
    case ITEM_VIEW:
    case ITEM_METRICS:
      text = it->kind == ITEM_VIEW ? gl_router_view (d->router, clock_ms ())
                                   : metrics_text (d);
      reply_slot_complete (it->reply_slot, GL_OK, 0, 0, NULL, text);
      break;
    case ITEM_STOP:
      /* /-/healthz fails and connections end from now on; until stop_at the
         load balancer has time to notice and to send requests elsewhere. */
      httpd_set_closing (d->server);
      if (!d->stop_at)
        d->stop_at = clock_ms () + (gl_ms_t)d->settings.linger_ms;
      break;
    default:
      step_router (d, &it->ev);
    }
  d->current = NULL;
  item_free (it);
}

static void
on_tick (void *ctx)
{
  daemon_t *d = ctx;
  gl_route_event_t ev = { .kind = GL_ROUTE_EV_TICK };

  if (d->stop_at && d->stop_at <= clock_ms ())
    {
      d->stop_at = UINT64_MAX;
      d->ends_at = clock_ms () + STOP_MS;
      httpd_quiesce (d->server);
      ev.kind = GL_ROUTE_EV_STOP;
      step_router (d, &ev);
      return;
    }
  listwatch_poll (&d->list, on_vm_list, d);
  if (gl_router_due (d->router) <= clock_ms ())
    step_router (d, &ev);
}

static gl_ms_t
next_due (void *ctx)
{
  daemon_t *d = ctx;
  gl_ms_t t = gl_router_due (d->router);

  if (listwatch_due (&d->list) < t)
    t = listwatch_due (&d->list);
  if (d->stop_at && d->stop_at < t)
    t = d->stop_at;
  return t;
}

/* ---- callers ---- */

/* Serve a path below /-/.  Metrics and instances come from the control
   thread, which alone may read the router. */
static void
serve_own_path (daemon_t *d, httpd_call_t *call)
{
  item_t *it;
  reply_slot_t *slot;

  if (!strcmp (call->path, "/-/healthz"))
    {
      int stopping = (int)ck_pr_load_uint (&d->stopping);
      httpd_text (call, stopping ? 503 : 200, "{\"status\":\"%s\"}\n",
                  stopping ? "leaving" : "ok");
      return;
    }
  if (strcmp (call->path, "/-/metrics") && strcmp (call->path, "/-/instances"))
    {
      httpd_text (call, 404, "{\"error\":\"not_found\"}\n");
      return;
    }
  it = item_new (strcmp (call->path, "/-/metrics") ? ITEM_VIEW : ITEM_METRICS);
  slot = it->reply_slot = reply_slot_new ();
  if (!slot)
    abort ();
  post_item (d, it);
  if (!reply_slot_wait (slot, 2000) && slot->text)
    httpd_reply (call, 200, "text/plain; version=0.0.4", strdup (slot->text),
                 strlen (slot->text));
  else
    httpd_text (call, 503, "{\"error\":\"retry\"}\n");
  reply_slot_release (slot);
}

static gl_urgency_t
urgency_of (httpd_call_t *call)
{
  const char *v = httpd_header (call, "Priority");
  const char *u = v ? strstr (v, "u=") : NULL;

  if (!u || u[2] < '0' || u[2] > '7')
    return GL_REQ_NORMAL;
  return u[2] <= '1'   ? GL_REQ_URGENT
         : u[2] <= '4' ? GL_REQ_NORMAL
                       : GL_REQ_BULK;
}

static int
key_valid (const char *key)
{
  size_t n = strlen (key);

  return n && n <= KEY_MAX
         && strspn (key, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                         "0123456789-_.")
                == n;
}

static int
method_idempotent (const char *m)
{
  return !strcmp (m, "GET") || !strcmp (m, "HEAD") || !strcmp (m, "PUT")
         || !strcmp (m, "DELETE");
}

static void
on_http_request (void *ctx, httpd_call_t *call)
{
  daemon_t *d = ctx;
  const char *key = httpd_header (call, "Idempotency-Key");
  const char *deadline = httpd_header (call, "Deadline-Ms");
  const char *slash = strchr (call->path + 1, '/');
  size_t n = slash ? (size_t)(slash - call->path - 1) : 0;
  item_t *it;

  if (!strncmp (call->path, "/-/", 3))
    {
      serve_own_path (d, call);
      return;
    }
  if (!n || n >= sizeof it->service || strlen (call->path) > 2000)
    {
      httpd_text (call, 404,
                  "{\"error\":\"no_such_service\","
                  "\"not_run\":true}\n");
      return;
    }
  if (key && !key_valid (key))
    {
      httpd_text (call, 400,
                  "{\"error\":\"bad_idempotency_key\","
                  "\"not_run\":true}\n");
      return;
    }
  it = item_new (ITEM_REQUEST);
  memcpy (it->service, call->path + 1, n);
  snprintf (it->key, sizeof it->key, "%s", key ? key : "");
  it->call = call;
  it->ev.kind = GL_ROUTE_EV_REQUEST;
  it->ev.u.request.token = (uint64_t)(uintptr_t)call;
  it->ev.u.request.service = it->service;
  it->ev.u.request.key = it->key;
  it->ev.u.request.urgency = urgency_of (call);
  it->ev.u.request.repeatable = !key && method_idempotent (call->method);
  it->ev.u.request.deadline = deadline ? strtoull (deadline, NULL, 10) : 0;
  if (loop_post (d->loop, it))
    {
      item_free (it);
      httpd_add_header (call, "Retry-After: 1");
      httpd_add_header (call, "Not-Run: 1");
      httpd_text (call, 503, "{\"error\":\"overloaded\",\"not_run\":true}\n");
    }
}

/* ---- start and stop ---- */

/* Start the server; a third of memory_mb is for requests as they arrive. */
static httpd_t *
open_server (daemon_t *d)
{
  const settings_t *s = &d->settings;
  size_t memory = (size_t)s->entry_memory_mb << 20;
  httpd_limits_t l;

  d->bodies = budget_new (memory / 3);
  d->answers = budget_new (memory - memory / 3);
  if (!d->bodies || !d->answers)
    return NULL;
  httpd_limits_init (&l, REQUEST_BODY_MAX, (unsigned int)s->entry_connections);
  l.header_ms = (gl_ms_t)s->entry_header_ms;
  l.body_ms = (gl_ms_t)s->entry_body_ms;
  l.reply_ms = (gl_ms_t)s->entry_reply_ms;
  l.bytes_per_s = (unsigned int)s->entry_bytes_per_s;
  l.budget = d->bodies;
  return httpd_open (s->entry_http, &l, HTTP_THREADS, on_http_request, d);
}

static int
start (daemon_t *d)
{
  const settings_t *s = &d->settings;
  char node[96];
  gl_router_opts_t o = { 0 };

  if (!s->entry_http[0])
    {
      log_error ("[entry] http is needed");
      return -1;
    }
  d->loop = loop_new ();
  if (!d->loop || daemon_signals (on_stop_signal, d))
    return -1;
  snprintf (node, sizeof node, "%s.%d", s->node, (int)getpid ());
  o.node = node;
  o.domain = s->domain;
  o.entries = s->entries;
  o.entry_number = s->entry_number;
  o.slots = s->slots;
  o.seed = (unsigned long)clock_ms () ^ ((unsigned long)getpid () << 20);
  d->router = gl_router_new (&o, clock_ms ());
  d->upstreams = httpc_new (CONNS_PER_SLOT * s->slots);
  d->http = httpc_new (0);
  d->list.domain = "all";
  if (!d->router || !d->upstreams || !d->http
      || store_http_init (&d->store, d->http, s->platform)
      || vmlist_http_init (&d->list.source, d->http, s->platform))
    return -1;
  d->pull = conf_pull_new (s, on_conf, fill_status, d);
  d->server = open_server (d);
  if (!d->server)
    log_error ("cannot listen on %s", s->entry_http);
  return d->pull && d->server ? 0 : -1;
}

/* Handle the items that are posted while the loop ends, and wait at most until
   ends_at for all replies to be sent and all connections to end, since an
   open one may hold a request that is not read; returns the number of replies
   that are not sent.  */
static unsigned int
drain_replies (daemon_t *d, const loop_handlers_t *part)
{
  do
    {
      loop_drain (d->loop, part);
      usleep (10000);
    }
  while (httpd_connections (d->server) && clock_ms () < d->ends_at);
  return httpd_open_requests (d->server);
}

int
main (int argc, char **argv)
{
  static daemon_t d;
  loop_handlers_t part = { on_item, on_tick, next_due, &d };
  unsigned int open_calls;
  int rc = daemon_options (argc, argv, "gl-entry", &d.settings);

  if (rc)
    return rc - 1;
  if (start (&d))
    {
      log_error ("cannot start");
      return 1;
    }
  log_info ("serving callers on %s", d.settings.entry_http);
  loop_run (d.loop, &part);
  open_calls = drain_replies (&d, &part);
  log_info ("stopped, %u answers cut", open_calls);
  logs_close ();
  return 0;
}
